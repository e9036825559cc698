//! No attempt begins for a client that has disconnected.
#![allow(missing_docs)]

mod harness;

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::{
    Discovery, HANG_TIMEOUT, Reaction, http, member, miss, read_call, read_command, serve, start_node,
};

/// Length of a value that the node streams, in bytes.
const VALUE_BYTES: usize = 4 << 20;
/// Length of the part of the value that the cache server sends before it stalls, in bytes.
const SENT_BYTES: usize = 1 << 20;
/// For this long after a client has disconnected an attempt may still begin for it.
const GRACE: Duration = Duration::from_millis(100);
/// Time from the disconnect until the servers react: longer than [`GRACE`], with a margin for a busy machine.
const REACTION_DELAY: Duration = Duration::from_millis(500);
/// Deadline of the request behind the large response. The node allows a server to stall in a value for longer (10 s).
const DEADLINE: Duration = Duration::from_millis(4000);
/// Settings with a class whose deadline is so long that no attempt times out before the test ends it.
const CLASS: [(&str, &str); 1] =
    [(r#""deadlineUs":20000000,"goalTimeUs":2000000,"#, r#""deadlineUs":20000000,"goalTimeUs":20000000,"#)];

/// When a stub was asked something, and the words of the command or call.
type Seen = (Instant, Vec<String>);

fn get(id: &str) -> String {
    let options = format!("c=read,t=acme,d={}", DEADLINE.as_millis());
    format!("*4\r\n$9\r\nCACHE.GET\r\n$6\r\n{id}\r\n$6\r\n{id}\r\n${}\r\n{options}\r\n", options.len())
}

/// Returns a function that reports when a stub was asked what.
fn recorder(seen: &Sender<Seen>) -> impl Fn(&[String]) + Send + Sync + 'static {
    let seen = Mutex::new(seen.clone());
    move |asked| seen.lock().unwrap().send((Instant::now(), asked.to_vec())).unwrap_or_default()
}

/// Closes the connection once the command is read.
fn reset() -> Reaction {
    Reaction::Reset
}

/// A cache server that stalls in a large value, and reacts to other commands only when the test signals it.
fn cache_server(
    seen: &Sender<Seen>,
    react: fn() -> Reaction,
    wait: Arc<Mutex<Receiver<()>>>,
) -> std::net::SocketAddr {
    let recorder = recorder(seen);
    serve(read_command, move |asked| {
        recorder(asked);
        if asked[1] == "large-" {
            let head = format!("*3\r\n${VALUE_BYTES}\r\n");
            return Reaction::Answer([head.as_bytes(), &[b'v'; SENT_BYTES]].concat());
        }
        let _ = wait.lock().unwrap().recv();
        react()
    })
}

/// What a client sends after its two requests.
enum Following<'a> {
    Nothing,
    /// Together with them.
    AtOnce(&'a str),
    /// Once the large response has begun. The node does not process it before that response has ended.
    Later(&'a str),
}

/// A client disconnects (or stays, for comparison) while a large response to it stalls. Then a server ends the attempt of
/// the request behind it so that a further attempt would follow. Returns the attempts that began too late: the time after
/// the disconnect and the words.
fn attempts_after_disconnect(
    name: &str,
    react: fn() -> Reaction,
    close: bool,
    following: Following<'_>,
) -> Vec<(Duration, Vec<String>)> {
    let (seen, received) = channel();
    let (release, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let servers = [(); 2].map(|()| cache_server(&seen, react, wait.clone()));
    let record = recorder(&seen);
    let origin = serve(read_call, move |asked| {
        record(asked);
        http("200 OK", "v")
    });
    let members = [
        member("s-1", servers[0], "m", "ready"),
        member("s-2", servers[1], "m", "ready"),
        member("o-1", origin, "origin", "ready"),
    ];
    let node = start_node(name, &Discovery::start(&members.join(",")), &CLASS);
    let mut client = node.client();
    // Sent together: the node would process a later command only after the large response.
    let begun = Instant::now();
    let (at_once, later) = match following {
        Following::Nothing => ("", ""),
        Following::AtOnce(following) => (following, ""),
        Following::Later(following) => ("", following),
    };
    client.write(get("large-") + &get("behind") + at_once);
    client.discard(SENT_BYTES);
    // Wait until the first attempt of the request behind has begun.
    while !received
        .recv_timeout(HANG_TIMEOUT)
        .expect("no command for the request behind")
        .1
        .contains(&"behind".into())
    {}
    client.write(later);
    let closed = Instant::now();
    let _stays = (!close).then_some(client);
    // The servers react only when no attempt may begin any more.
    thread::sleep(REACTION_DELAY);
    drop(release);
    let mut late = Vec::new();
    while let Some(left) = DEADLINE.checked_sub(begun.elapsed()) {
        if let Ok((at, words)) = received.recv_timeout(left)
            && words.iter().any(|word| word.contains("behind"))
            && at > closed + GRACE
        {
            late.push((at - closed, words));
        }
    }
    late
}

#[test]
fn no_origin_call_after_a_miss_for_a_disconnected_client() {
    // For a client that stays, the miss leads to a call.
    assert!(
        !attempts_after_disconnect("miss-stays", miss, false, Following::Nothing).is_empty(),
        "no call though the client stays"
    );
    assert_eq!(attempts_after_disconnect("miss-gone", miss, true, Following::Nothing), []);
}

#[test]
fn no_retry_after_a_reset_for_a_disconnected_client() {
    assert!(
        !attempts_after_disconnect("reset-stays", reset, false, Following::Nothing).is_empty(),
        "no retry though the client stays"
    );
    assert_eq!(attempts_after_disconnect("reset-gone", reset, true, Following::Nothing), []);
}

/// The node parses no further commands after a protocol error, and once failed to notice the disconnect of such a client.
#[test]
fn no_origin_call_for_a_client_that_disconnected_after_a_protocol_error() {
    assert_eq!(attempts_after_disconnect("miss-gone-malformed", miss, true, Following::AtOnce("!\r\n")), []);
}

/// While a response stalls the node reads at most 16 KB ahead. A disconnect behind more data than that must be noticed all
/// the same.
#[test]
fn no_origin_call_for_a_client_that_disconnected_behind_unread_data() {
    let requests: String = (0..1000).map(|number| get(&format!("ahead-{number}"))).collect();
    assert!(requests.len() > 3 * 16 * 1024);
    assert_eq!(attempts_after_disconnect("miss-gone-ahead", miss, true, Following::Later(&requests)), []);
}
