//! A node that is shut down answers every request that it has read.
#![allow(missing_docs)]

mod harness;

use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use harness::{
    Discovery, HANG_TIMEOUT, LONG_DEADLINES, Node, Reaction, hit, member, read_command, serve, start_node,
};

/// Delay after SIGTERM, at which the node forwards no more requests (from 3.35 s on) and has not yet failed the open ones
/// (3.5 s). A shutdown counts at most 3 s of the longest deadline.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(3380);
/// Maximum number of runs. A run in which the test was delayed past that time proves nothing.
const MAX_RUNS: usize = 5;

#[test]
fn a_request_behind_one_that_is_open_at_the_end_is_refused() {
    for run in 0..MAX_RUNS {
        let silent = serve(read_command, |_| Reaction::Silence);
        let discovery = Discovery::start(&member("s-1", silent, "m", "ready"));
        let mut node = start_node(&format!("end-{run}"), &discovery, &LONG_DEADLINES);
        let mut client = node.client();
        client.send(&["CACHE.GET", "k", "open", "c=read,t=acme,d=600000"]);
        node.wait_for_metric("edge_router_in_flight", 1);
        node.signal("TERM");
        thread::sleep(LATE_REQUEST_DELAY);
        client.send(&["CACHE.GET", "k", "behind", "c=read,t=acme,d=600000"]);
        if client.has_ended() {
            continue;
        }
        assert_eq!(client.answer(), "-ERR failed");
        assert_eq!(client.answer(), "-BUSY 100");
        assert_eq!(client.answer(), "end");
        drop(client);
        let _ = node.child.kill();
        node.wait_for_exit();
        return;
    }
    panic!("the test was delayed in each of {MAX_RUNS} runs");
}

/// Deadline of all classes in [`SHORT_DEADLINES`].
const SHORT_DEADLINE: Duration = Duration::from_millis(50);
const SHORT_DEADLINES: [(&str, &str); 3] = [
    (r#""deadlineUs":20000000,"goalTimeUs":2000000,"#, r#""deadlineUs":50000,"goalTimeUs":50000,"#),
    (r#""deadlineUs":20000000,"goalTimeUs":1000000,"#, r#""deadlineUs":50000,"goalTimeUs":50000,"#),
    (r#""deadlineUs":400000,"goalTimeUs":400000,"#, r#""deadlineUs":50000,"goalTimeUs":50000,"#),
];
/// Response time of the cache server for "slow" keys.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(25);
/// Response time for "late" keys: longer than the deadline.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Time from the longest deadline, counted from SIGTERM, to SIGKILL.
const BEYOND_DEADLINE: Duration = Duration::from_millis(700);
/// From this time after SIGTERM on, connections that are idle for a moment are closed. Some must stay in use for longer.
const LAST_USE: Duration = Duration::from_millis(300);
/// A request that was sent this long before the client saw its connection closed counts as read by the node.
const CLOSE_CROSSING: Duration = Duration::from_millis(20);
/// A longer scheduling delay, of the test or of the node, makes a run inconclusive: a machine that delays the test delays
/// the node as well.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of runs with [`SHORT_DEADLINE`]: see `end_with_short_deadlines`.
const MAX_SHORT_RUNS: usize = 12;

/// The outcome of the requests on a connection that a client uses until the node closes it.
struct ConnectionUse {
    /// Ids of the requests without an answer and when each was sent, in order.
    unanswered: VecDeque<(String, Instant)>,
    /// When each answered request was sent.
    answered: Vec<Instant>,
    /// When the client saw the connection closed.
    ended: Instant,
}

/// Sends a request after each pause, whether or not the last one is answered, until the node closes the connection.
fn use_until_closed(
    node: &Node,
    number: usize,
    kind: &'static str,
    pause: Duration,
) -> JoinHandle<ConnectionUse> {
    let mut client = node.client();
    let mut sending = client.sending_side();
    // With Nagle's algorithm a request could wait in this machine for the acknowledgement of the one before it.
    sending.set_nodelay(true).unwrap();
    let open = Arc::new(Mutex::new(VecDeque::new()));
    let sent = open.clone();
    thread::spawn(move || {
        for request in 0.. {
            let id = format!("{number}-{request}");
            // The node may merge concurrent reads of one key.
            let key = format!("{kind}-{id}");
            let words = ["CACHE.GET", &key, &id, "c=read,t=acme,d=50"];
            let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
            let this = id.clone();
            sent.lock().unwrap().push_back((id, Instant::now()));
            if sending.write_all(format!("*4\r\n{words}").as_bytes()).is_err() {
                return;
            }
            // Only now has the request certainly reached the node.
            if let Some((_, at)) = sent.lock().unwrap().iter_mut().find(|(id, _)| *id == this) {
                *at = Instant::now();
            }
            thread::sleep(pause);
        }
    });
    thread::spawn(move || {
        let mut answered = Vec::new();
        loop {
            let answer = client.answer();
            if answer == "end" {
                let ended = Instant::now();
                return ConnectionUse {
                    unanswered: std::mem::take(&mut *open.lock().unwrap()),
                    answered,
                    ended,
                };
            }
            let (id, at) = open.lock().unwrap().pop_front().expect("an answer without a request");
            let refused = answer.starts_with("-BUSY") || answer.starts_with("-ERR failed");
            assert!(refused || answer == format!("${id}"), "{id}: {answer}");
            answered.push(at);
        }
    })
}

/// Time since its start for which a process was runnable and did not run. `None` once it has ended.
fn run_queue_wait(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    Some(Duration::from_nanos(text.split(' ').nth(1)?.parse().ok()?))
}

/// Measures, until `stop` is set, the longest scheduling delay of the test or of a process.
fn measure_scheduling_delay(process: u32, stop: Arc<AtomicBool>) -> JoinHandle<Duration> {
    const STEP: Duration = Duration::from_millis(2);
    thread::spawn(move || {
        let mut most = Duration::ZERO;
        let mut before = run_queue_wait(process).expect("no scheduler statistics of the process");
        while !stop.load(Ordering::Relaxed) {
            let begun = Instant::now();
            thread::sleep(STEP);
            let now = run_queue_wait(process).unwrap_or(before);
            most = most.max(begun.elapsed().saturating_sub(STEP)).max(now.saturating_sub(before));
            before = now;
        }
        most
    })
}

/// Waits for the node's process to exit, and returns when that was.
fn wait_for_own_exit(node: &mut Node) -> Instant {
    let begun = Instant::now();
    loop {
        if let Some(status) = node.child.try_wait().unwrap() {
            assert!(status.success(), "{status}");
            return Instant::now();
        }
        assert!(begun.elapsed() < HANG_TIMEOUT, "the process does not exit");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Shuts a node down under load with short deadlines. `None` if the machine delayed the run, or no connection stayed in
/// use until the node closed the last ones.
fn end_with_short_deadlines(run: usize) -> Option<()> {
    let server = serve(read_command, |asked| {
        match asked[1].split('-').next() {
            Some("late") => thread::sleep(LATE_RESPONSE_TIME),
            Some("slow") => thread::sleep(SLOW_RESPONSE_TIME),
            _ => {}
        }
        hit(&asked[2])
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let mut node = start_node(&format!("short-{run}"), &discovery, &SHORT_DEADLINES);
    // Some clients always have a request open, as an answer takes longer than the pause; others are idle at times.
    let patterns = [("slow", 8), ("slow", 12), ("late", 30), ("quick", 5), ("quick", 70), ("late", 110)];
    let used: Vec<_> = (0..12)
        .map(|number| {
            let (kind, pause) = patterns[number % patterns.len()];
            use_until_closed(&node, number, kind, Duration::from_millis(pause))
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let watch = measure_scheduling_delay(node.child.id(), stop.clone());
    thread::sleep(Duration::from_millis(300));
    let terminated = Instant::now();
    node.signal("TERM");
    let ended = wait_for_own_exit(&mut node);
    let used: Vec<ConnectionUse> = used.into_iter().map(|client| client.join().unwrap()).collect();
    stop.store(true, Ordering::Relaxed);
    if watch.join().unwrap() > MAX_SCHEDULING_DELAY {
        return None;
    }
    let lasted = ended - terminated;
    assert!(lasted < SHORT_DEADLINE + BEYOND_DEADLINE, "ended {lasted:?} after SIGTERM");
    for (number, used) in used.iter().enumerate() {
        let lost: Vec<_> = used
            .unanswered
            .iter()
            .filter(|(_, sent)| *sent + CLOSE_CROSSING < used.ended)
            .map(|(id, _)| id)
            .collect();
        assert!(
            lost.is_empty(),
            "client {number}: read and not answered: {lost:?}, connection closed at {:?}, process ended at {lasted:?}",
            used.ended - terminated
        );
    }
    let after: usize =
        used.iter().map(|used| used.answered.iter().filter(|sent| **sent > terminated).count()).sum();
    assert!(after > 0, "no request was sent after SIGTERM");
    // If every connection was closed early because it happened to be idle, the run shows nothing about the end.
    if used.iter().all(|used| used.ended < terminated + LAST_USE) {
        return None;
    }
    println!("run {run}: ended after {lasted:?}, {after} requests answered that were sent after SIGTERM");
    Some(())
}

#[test]
fn with_short_deadlines_every_request_read_is_answered_and_the_process_ends_in_time() {
    assert!((0..MAX_SHORT_RUNS).any(|run| end_with_short_deadlines(run).is_some()), "no run was conclusive");
}
