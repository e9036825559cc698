//! What a node has read by its end is answered.
#![allow(missing_docs)]

mod world;

use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use world::{Discovery, HUNG, LONG, Node, Reaction, array, command, member, node, serve};

/// From SIGTERM on: between the time when the node passes no more requests on (3.35 s) and the one when those that are
/// open fail (3.5 s), for the longest deadline counts as 3 s.
const NEAR_THE_END: Duration = Duration::from_millis(3380);
/// Runs at most: one in which the test was held up beyond that time shows nothing.
const RUNS: usize = 5;

#[test]
fn a_request_behind_one_that_is_open_at_the_end_is_refused_and_not_left_unread() {
    for run in 0..RUNS {
        let silent = serve(command, |_| Reaction::Silence);
        let discovery = Discovery::start(&member("s-1", silent, "m", "ready"));
        let mut node = node(&format!("end-{run}"), &discovery, &LONG);
        let mut client = node.client();
        client.send(&["CACHE.GET", "k", "open", "c=read,t=acme,d=600000"]);
        node.figure_becomes("edge_router_in_flight", 1);
        node.signal("TERM");
        thread::sleep(NEAR_THE_END);
        client.send(&["CACHE.GET", "k", "behind", "c=read,t=acme,d=600000"]);
        if client.has_ended() {
            continue;
        }
        assert_eq!(client.answer(), "-ERR failed");
        assert_eq!(client.answer(), "-BUSY 100");
        assert_eq!(client.answer(), "end");
        drop(client);
        let _ = node.child.kill();
        node.ended();
        return;
    }
    panic!("held up in each of {RUNS} runs");
}

/// Every class has this deadline.
const SHORT_DEADLINE: Duration = Duration::from_millis(50);
const SHORT: [(&str, &str); 3] = [
    (r#""deadlineUs":20000000,"goalTimeUs":2000000,"#, r#""deadlineUs":50000,"goalTimeUs":50000,"#),
    (r#""deadlineUs":20000000,"goalTimeUs":1000000,"#, r#""deadlineUs":50000,"goalTimeUs":50000,"#),
    (r#""deadlineUs":400000,"goalTimeUs":400000,"#, r#""deadlineUs":50000,"goalTimeUs":50000,"#),
];
/// What a server takes for a slow answer.
const SLOW: Duration = Duration::from_millis(25);
/// The same for one that comes when its request is over.
const LATE: Duration = Duration::from_millis(60);
/// SIGKILL comes so long after the longest deadline is over, which is counted from SIGTERM.
const BEYOND_DEADLINE: Duration = Duration::from_millis(700);
/// Connections that ask nothing for a moment are closed from 0.3 s after SIGTERM on: some are used longer than that.
const LAST_USE: Duration = Duration::from_millis(300);
/// A request that was sent so long before its client saw the end of the connection was read.
const CROSSING: Duration = Duration::from_millis(20);
/// A thread of the test that sleeps this much too long shows a machine that holds up the node as well.
const HELD_UP: Duration = Duration::from_millis(10);
/// Runs at most with [`SHORT_DEADLINE`]: see `end_with_short_deadlines`.
const SHORT_RUNS: usize = 12;

/// What became of the requests on one connection that a client uses until its end.
struct Used {
    /// The requests that have no answer, by id, and when each was sent; in their order.
    unanswered: VecDeque<(String, Instant)>,
    /// When each request that has an answer was sent.
    answered: Vec<Instant>,
    /// When the client saw the end.
    ended: Instant,
}

/// Uses a connection until its end: a request goes out after each pause, whether or not the last is answered.
fn use_to_the_end(node: &Node, number: usize, kind: &'static str, pause: Duration) -> JoinHandle<Used> {
    let mut client = node.client();
    let mut sending = client.sending();
    // Else the system holds a request back until the answer before it has come, and it is not with the node when it was sent.
    sending.set_nodelay(true).unwrap();
    let open = Arc::new(Mutex::new(VecDeque::new()));
    let sent = open.clone();
    thread::spawn(move || {
        for request in 0.. {
            let id = format!("{number}-{request}");
            // Reads of one key may share an answer.
            let key = format!("{kind}-{id}");
            let words = ["CACHE.GET", &key, &id, "c=read,t=acme,d=50"];
            let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
            let this = id.clone();
            sent.lock().unwrap().push_back((id, Instant::now()));
            if sending.write_all(format!("*4\r\n{words}").as_bytes()).is_err() {
                return;
            }
            // Only now it certainly is with the node.
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
                return Used { unanswered: std::mem::take(&mut *open.lock().unwrap()), answered, ended };
            }
            let (id, at) = open.lock().unwrap().pop_front().expect("an answer that nobody asked for");
            let refused = answer.starts_with("-BUSY") || answer.starts_with("-ERR failed");
            assert!(refused || answer == format!("${id}"), "{id}: {answer}");
            answered.push(at);
        }
    })
}

/// How long a process was ready to run and did not, since its start; `None` once it has ended.
fn time_not_run(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    Some(Duration::from_nanos(text.split(' ').nth(1)?.parse().ok()?))
}

/// Tells for how long at a time the test or a process was held up at most, until it is told to stop.
fn watch_machine(process: u32, stop: Arc<AtomicBool>) -> JoinHandle<Duration> {
    const STEP: Duration = Duration::from_millis(2);
    thread::spawn(move || {
        let mut most = Duration::ZERO;
        let mut before = time_not_run(process).expect("no account of the scheduler");
        while !stop.load(Ordering::Relaxed) {
            let begun = Instant::now();
            thread::sleep(STEP);
            let now = time_not_run(process).unwrap_or(before);
            most = most.max(begun.elapsed().saturating_sub(STEP)).max(now.saturating_sub(before));
            before = now;
        }
        most
    })
}

/// Waits for the end of the node's process, and gives when that was.
fn ended_by_itself(node: &mut Node) -> Instant {
    let begun = Instant::now();
    loop {
        if let Some(status) = node.child.try_wait().unwrap() {
            assert!(status.success(), "{status}");
            return Instant::now();
        }
        assert!(begun.elapsed() < HUNG, "it does not end");
        thread::sleep(Duration::from_millis(1));
    }
}

/// One end under load with short deadlines; `None` where the machine was held up, or no connection was used up
/// to the end.
fn end_with_short_deadlines(run: usize) -> Option<()> {
    let server = serve(command, |asked| {
        match asked[1].split('-').next() {
            Some("late") => thread::sleep(LATE),
            Some("slow") => thread::sleep(SLOW),
            _ => {}
        }
        array(&asked[2])
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let mut node = node(&format!("short-{run}"), &discovery, &SHORT);
    // Some are never idle, for an answer takes longer than the pause; others are between two requests.
    let uses = [("slow", 8), ("slow", 12), ("late", 30), ("quick", 5), ("quick", 70), ("late", 110)];
    let used: Vec<_> = (0..12)
        .map(|number| {
            let (kind, pause) = uses[number % uses.len()];
            use_to_the_end(&node, number, kind, Duration::from_millis(pause))
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let watch = watch_machine(node.child.id(), stop.clone());
    thread::sleep(Duration::from_millis(300));
    let told = Instant::now();
    node.signal("TERM");
    let ended = ended_by_itself(&mut node);
    let used: Vec<Used> = used.into_iter().map(|client| client.join().unwrap()).collect();
    stop.store(true, Ordering::Relaxed);
    if watch.join().unwrap() > HELD_UP {
        return None;
    }
    let lasted = ended - told;
    assert!(lasted < SHORT_DEADLINE + BEYOND_DEADLINE, "ended {lasted:?} after SIGTERM");
    for (number, used) in used.iter().enumerate() {
        let lost: Vec<_> = used
            .unanswered
            .iter()
            .filter(|(_, sent)| *sent + CROSSING < used.ended)
            .map(|(id, _)| id)
            .collect();
        assert!(
            lost.is_empty(),
            "client {number}: read and not answered: {lost:?}, closed at {:?}, process at {lasted:?}",
            used.ended - told
        );
    }
    let after: usize =
        used.iter().map(|used| used.answered.iter().filter(|sent| **sent > told).count()).sum();
    assert!(after > 0, "no request came after SIGTERM");
    // Where each connection happened to be idle, and was closed, before the last moments, those were not seen.
    if used.iter().all(|used| used.ended < told + LAST_USE) {
        return None;
    }
    println!("run {run}: ended after {lasted:?}, {after} requests answered that were sent after SIGTERM");
    Some(())
}

#[test]
fn with_short_deadlines_all_that_was_read_is_answered_and_the_process_ends_in_time() {
    assert!((0..SHORT_RUNS).any(|run| end_with_short_deadlines(run).is_some()), "no run shows the end");
}
