//! Rare faults of clients and of the node's process: incomplete commands, long idle times, a paused process, very short
//! deadlines, and restarts during a drain. On real sockets, with the daemon as a process.
#![allow(missing_docs)]

mod harness;
mod load;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use harness::*;
use load::{ANSWER_GRACE, Load, Tally};

/// A client that stops in the middle of a command must get an error or a close within this time.
const ERROR_BOUND: Duration = Duration::from_secs(3);
/// Maximum pause of the process.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Time that sending the signals may add to a pause. It is subtracted, to keep the pause below [`MAX_PAUSE`].
const SIGNAL_TIME: Duration = Duration::from_millis(10);

/// The drain grace of the settings: for this long a draining server may still get requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Pauses the process for up to [`MAX_PAUSE`] while `events` runs. Returns how long the pause was.
fn pause_process(node: &Node, events: impl FnOnce()) -> Duration {
    let begun = Instant::now();
    node.signal("STOP");
    events();
    thread::sleep((MAX_PAUSE - SIGNAL_TIME).saturating_sub(begun.elapsed()));
    node.signal("CONT");
    begun.elapsed()
}

// Incomplete commands.

/// Incomplete commands, with a name for each.
fn incomplete_commands() -> Vec<(&'static str, Vec<u8>)> {
    let write = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$20\r\nc=once,t=acme,d=9000\r\n";
    let large = format!("{write}$60000\r\n{}", "v".repeat(20_000));
    let larger = format!("{write}$1000000\r\n{}", "v".repeat(300_000));
    [
        ("one byte", "*"),
        ("the array's count", "*4"),
        ("the array's header but for its last byte", "*4\r"),
        ("the array's header", "*4\r\n"),
        ("a length line", "*4\r\n$"),
        ("a length", "*4\r\n$9"),
        ("a word's header", "*4\r\n$9\r\n"),
        ("a word", "*4\r\n$9\r\nCACHE"),
        ("a word's end", "*4\r\n$9\r\nCACHE.GET\r"),
        ("two words", "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n"),
        ("all but the last byte", "*1\r\n$4\r\nPING\r"),
        ("an inline word", "PING"),
        ("a value's length", &format!("{write}$5")),
        ("a value's header", &format!("{write}$5\r\n")),
        ("a value", &format!("{write}$5\r\nva")),
        ("a value's end", &format!("{write}$5\r\nvalue")),
        ("a large value", &large),
        ("a value beyond the limit of values", &larger),
    ]
    .map(|(name, text)| (name, text.as_bytes().to_vec()))
    .into()
}

/// An incomplete command, on a new connection and after a complete command, must get an error or a close in time.
#[test]
fn an_incomplete_command_gets_an_error_or_close_in_time() {
    let discovery = Discovery::start("");
    let node = Node::start("stops-anywhere", &discovery);
    let mut clients = Vec::new();
    for behind in [false, true] {
        for (name, bytes) in incomplete_commands() {
            let mut client = node.client();
            clients.push(thread::spawn(move || {
                if behind {
                    client.send(&["PING"]);
                    client.answer();
                }
                client.write(&bytes);
                let begun = Instant::now();
                let answer = client.answer();
                (name, behind, answer, begun.elapsed())
            }));
        }
    }
    for client in clients {
        let (name, behind, answer, took) = client.join().unwrap();
        assert!(answer == "end" || answer.starts_with("-ERR"), "{name}, behind {behind}: {answer}");
        assert!(took < ERROR_BOUND, "{name}, behind {behind}: {answer} after {took:?}");
    }
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// An incomplete command after an open request: the client gets the answer to the request, and then an error or a close.
#[test]
fn an_incomplete_command_does_not_affect_the_request_before_it() {
    let server = serve(read_command, |asked| hit(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = Node::start("stops-behind", &discovery);
    let mut clients = Vec::new();
    for (number, (name, bytes)) in incomplete_commands().into_iter().enumerate() {
        let mut client = node.client();
        clients.push(thread::spawn(move || {
            client.send(&["CACHE.GET", "k", &format!("i-{number}"), "c=read,t=acme,d=9000"]);
            client.write(&bytes);
            let begun = Instant::now();
            let answers = (client.answer(), client.answer());
            (name, format!("$i-{number}"), answers, begun.elapsed())
        }));
    }
    for client in clients {
        let (name, served, (first, second), took) = client.join().unwrap();
        assert_eq!(first, served, "{name}");
        assert!(second == "end" || second.starts_with("-ERR"), "{name}: {second}");
        assert!(took < ERROR_BOUND, "{name}: {second} after {took:?}");
    }
}

// Faults after a long idle time.

/// Setting for servers that close connections after this idle time.
const IDLE_CLOSE: (&str, &str) = (r#""idleCloseUs":60000000"#, r#""idleCloseUs":400000"#);
/// Many times the idle time after which servers close connections.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Sends a number of reads concurrently, each on its own connection.
fn reads(node: &Node, name: &str, count: usize) -> Vec<String> {
    let asked: Vec<_> = (0..count)
        .map(|number| {
            let (mut client, id) = (node.client(), format!("{name}-{number}"));
            thread::spawn(move || client.ask(&["CACHE.GET", &id, &id, "c=read,t=acme,d=3000"]))
        })
        .collect();
    asked.into_iter().map(|asked| asked.join().unwrap()).collect()
}

fn values(name: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("${name}-{number}")).collect()
}

/// A cache server that closes idle connections, and can be stopped, after which it accepts no connections.
struct StoppableServer {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
}

impl StoppableServer {
    fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (stopped, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let server = StoppableServer { address, stopped: stopped.clone(), asked: asked.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let asked = asked.clone();
                thread::spawn(move || answer_until_idle(stream, &asked));
            }
        });
        server
    }

    /// Closes the listener. Idle connections have been closed long before.
    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        drop(std::net::TcpStream::connect(self.address));
        while std::net::TcpStream::connect(self.address).is_ok() {}
    }

    fn asked(&self) -> usize {
        self.asked.load(Ordering::SeqCst)
    }
}

fn answer_until_idle(stream: std::net::TcpStream, asked: &AtomicUsize) {
    stream.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    while let Some(words) = read_command(&mut reader) {
        asked.fetch_add(1, Ordering::SeqCst);
        if let Reaction::Answer(bytes) = hit(&words[2])
            && std::io::Write::write_all(&mut stream, &bytes).is_err()
        {
            return;
        }
    }
}

#[test]
fn requests_after_an_idle_time_succeed_although_a_server_has_stopped() {
    let servers = [0; 3].map(|_| StoppableServer::start());
    let list = |number: usize| member(&format!("s-{number}"), servers[number].address, "m", "ready");
    let discovery = Discovery::start(&(0..3).map(list).collect::<Vec<_>>().join(","));
    let node = start_node("quiet-stopped", &discovery, &[IDLE_CLOSE]);
    assert_eq!(reads(&node, "before", 30), values("before", 30));
    thread::sleep(IDLE_TIME);
    servers[0].stop();
    assert_eq!(reads(&node, "after", 30), values("after", 30));
    assert!(servers[1].asked() > 0 && servers[2].asked() > 0, "a remaining server got no request");
}

#[test]
fn a_list_change_after_an_idle_time_applies_to_the_first_requests() {
    let servers = [0; 4].map(|_| StoppableServer::start());
    let list = |number: usize, phase| member(&format!("s-{number}"), servers[number].address, "m", phase);
    let discovery = Discovery::start(&[list(0, "ready"), list(1, "ready")].join(","));
    let node = start_node("quiet-list", &discovery, &[IDLE_CLOSE]);
    assert_eq!(reads(&node, "before", 30), values("before", 30));
    thread::sleep(IDLE_TIME);
    let asked_before = servers[0].asked();
    discovery
        .change(2, &[list(0, "draining"), list(1, "ready"), list(2, "ready"), list(3, "ready")].join(","));
    discovery.wait_for_watch_after(2);
    assert_eq!(reads(&node, "after", 30), values("after", 30));
    assert_eq!(servers[0].asked(), asked_before, "a draining server was asked");
    assert!(servers[2].asked() + servers[3].asked() > 0, "the new servers were not asked");
}

// A paused process.

/// A command that arrived at a cache server.
struct Arrival {
    at: Instant,
    server: usize,
    /// The remaining time that the command states, in milliseconds.
    remaining_ms: u64,
    /// When the client sent the request, in milliseconds of Unix time.
    sent_ms: u64,
    /// The time that the client gave the request, in milliseconds.
    given_ms: u64,
    /// When the command arrived, in milliseconds of Unix time.
    wall_ms: u64,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn extra(extras: &str, name: &str) -> u64 {
    let value = extras.split(',').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {extras}"))
}

/// A cache server that reports the commands that arrive, and fails or delays some, so that there are retries.
fn reporting_server(server: usize, arrivals: mpsc::Sender<Arrival>) -> SocketAddr {
    let (arrivals, count) = (Mutex::new(arrivals), AtomicUsize::new(0));
    serve(read_command, move |asked| {
        if asked[0] != "CACHE.GET" {
            return Reaction::Answer(b"+OK\r\n".to_vec());
        }
        let extras = &asked[3];
        let arrival = Arrival {
            at: Instant::now(),
            server,
            remaining_ms: extra(extras, "d"),
            sent_ms: extra(extras, "sent"),
            given_ms: extra(extras, "given"),
            wall_ms: wall_ms(),
        };
        arrivals.lock().unwrap().send(arrival).unwrap_or_default();
        // One in six fails and one in six is slow, which causes retries and hedges.
        match count.fetch_add(1, Ordering::Relaxed) % 6 {
            3 => Reaction::Answer(b"-ERR failed\r\n".to_vec()),
            5 => {
                thread::sleep(Duration::from_millis(40));
                hit(&asked[2])
            }
            _ => hit(&asked[2]),
        }
    })
}

/// Runs, until `stop` is set, clients whose requests state when they were sent and how long the client waits. Each returns
/// the number of requests, and those without a final answer in time.
fn timed_clients(node: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<(usize, Vec<String>)>> {
    let client = |client: usize| {
        let stop = stop.clone();
        thread::spawn(move || {
            let (mut connection, mut asked, mut missing) = (Client::connect(node), 0, Vec::new());
            while !stop.load(Ordering::Relaxed) {
                let given = [60, 150, 300, 1000][asked % 4];
                let id = format!("timed-{client}-{asked}");
                let extras = format!("c=read,t=acme,d={given},sent={},given={given}", wall_ms());
                let begun = Instant::now();
                let answer = connection.ask(&["CACHE.GET", &id, &id, &extras]);
                let late = begun.elapsed() > Duration::from_millis(given) + ANSWER_GRACE;
                if late || !(answer == format!("${id}") || answer.starts_with('-')) {
                    missing.push(format!("{id} of {given} ms: {answer} after {:?}", begun.elapsed()));
                    connection = Client::connect(node);
                }
                asked += 1;
                thread::sleep(Duration::from_millis(2));
            }
            (asked, missing)
        })
    };
    (0..4).map(client).collect()
}

/// Measures, until `stop` is set, the longest delay with which the machine wakes a thread.
fn wake_up_delay(stop: &Arc<AtomicBool>) -> thread::JoinHandle<Duration> {
    const STEP: Duration = Duration::from_millis(1);
    let stop = stop.clone();
    thread::spawn(move || {
        let mut latest = Duration::ZERO;
        while !stop.load(Ordering::Relaxed) {
            let begun = Instant::now();
            thread::sleep(STEP);
            latest = latest.max(begun.elapsed() - STEP);
        }
        latest
    })
}

#[test]
fn a_paused_node_passes_on_no_excess_time_and_stops_using_draining_servers() {
    let (sender, arrivals) = mpsc::channel();
    let servers: Vec<_> = (0..3).map(|number| reporting_server(number, sender.clone())).collect();
    drop(sender);
    let list = |number: usize, phase| member(&format!("s-{number}"), servers[number], "m", phase);
    let discovery = Discovery::start(&(0..3).map(|n| list(n, "ready")).collect::<Vec<_>>().join(","));
    let node = start_node("held-up", &discovery, &[]);
    let stop = Arc::new(AtomicBool::new(false));
    let (clients, wake_up_delay) = (timed_clients(node.address, &stop), wake_up_delay(&stop));
    let mut longest = Duration::ZERO;
    let mut drained = None;
    for round in 0..12 {
        // Pauses at varying points of the node's work.
        thread::sleep(Duration::from_millis(37 + round * 11));
        let drain = || {
            if round == 6 {
                discovery.change(2, &[list(0, "draining"), list(1, "ready"), list(2, "ready")].join(","));
                drained = Some(Instant::now());
            }
        };
        longest = longest.max(pause_process(&node, drain));
    }
    thread::sleep(DRAIN_GRACE);
    stop.store(true, Ordering::Relaxed);
    let mut asked = 0;
    for client in clients {
        let (count, missing) = client.join().unwrap();
        asked += count;
        assert!(missing.is_empty(), "{missing:?}");
    }
    drop(node);
    // After a pause two threads have to wake: the node's, and that of the server which records the time.
    let busy = wake_up_delay.join().unwrap() * 2;
    let slack_ms = (MAX_PAUSE.max(longest) + busy).as_millis() as u64 + 1;
    let drained = drained.unwrap();
    let arrivals: Vec<_> = arrivals.try_iter().collect();
    assert!(arrivals.len() > asked / 2 && asked > 200, "{asked} asked, {} arrived", arrivals.len());
    for arrival in arrivals {
        let left = (arrival.sent_ms + arrival.given_ms + slack_ms).saturating_sub(arrival.wall_ms);
        let (remaining, late) = (arrival.remaining_ms, arrival.wall_ms - arrival.sent_ms);
        let given = arrival.given_ms;
        assert!(
            remaining <= left,
            "{remaining} ms of {given} left after {late} ms, paused {longest:?}, delay {busy:?}"
        );
        let after = arrival.at.saturating_duration_since(drained);
        assert!(arrival.server != 0 || after < DRAIN_GRACE, "asked a draining server after {after:?}");
    }
}

// Very short deadlines.

/// A cache server that silently drops some requests, after which it answers nothing on their connection, and delays
/// others.
fn dropping_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = count.clone();
            thread::spawn(move || answer_until_one_is_dropped(stream, &count));
        }
    });
    address
}

fn answer_until_one_is_dropped(mut stream: std::net::TcpStream, count: &AtomicUsize) {
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    let mut dropped = false;
    while let Some(asked) = read_command(&mut reader) {
        let number = count.fetch_add(1, Ordering::Relaxed);
        dropped |= number % 4 == 1;
        if number % 4 == 2 {
            thread::sleep(Duration::from_millis(8));
        }
        if !dropped
            && let Reaction::Answer(bytes) = hit(&asked[2])
            && std::io::Write::write_all(&mut stream, &bytes).is_err()
        {
            return;
        }
    }
}

#[test]
fn requests_with_very_short_deadlines_get_a_final_answer() {
    static LITTLE: [u64; 20] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20];
    let servers = [0; 3].map(|_| dropping_server());
    let members: Vec<_> = (0..3).map(|n| member(&format!("s-{n}"), servers[n], "m", "ready")).collect();
    let node = start_node("little-time", &Discovery::start(&members.join(",")), &[]);
    let load = Load { deadlines_ms: &LITTLE, ..Load::on(node.address) };
    let mut tally = Tally::default();
    for round in 0..3 {
        tally += load.run(round);
    }
    assert!(tally.missing.is_empty(), "{tally:?}");
    assert_eq!(tally.served + tally.refused + tally.failed, tally.asked);
    node.wait_for_metric("edge_router_in_flight", 0);
}

/// A cache server that silently drops one in four requests, and answers the ones behind them.
fn skipping_server() -> SocketAddr {
    let count = AtomicUsize::new(0);
    serve(read_command, move |asked| match count.fetch_add(1, Ordering::Relaxed) % 4 {
        1 => Reaction::Silence,
        2 => {
            thread::sleep(Duration::from_millis(8));
            hit(&asked[2])
        }
        _ => hit(&asked[2]),
    })
}

/// The response to the next request must not be taken for that of the dropped one.
#[test]
fn a_response_behind_a_dropped_request_is_not_taken_for_its_own() {
    static LITTLE: [u64; 20] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20];
    let members: Vec<_> =
        (0..3).map(|n| member(&format!("s-{n}"), skipping_server(), "m", "ready")).collect();
    let node = start_node("skipping", &Discovery::start(&members.join(",")), &[]);
    let load = Load { deadlines_ms: &LITTLE, ..Load::on(node.address) };
    let mut tally = Tally::default();
    for round in 0..6 {
        tally += load.run(round);
    }
    assert!(tally.missing.is_empty(), "{tally:?}");
}

// Clients that disconnect while the process is paused.

/// A cache server that counts the reads it receives.
fn counting_server(count: &Arc<AtomicUsize>) -> SocketAddr {
    let count = count.clone();
    serve(read_command, move |asked| {
        if asked[0] == "CACHE.GET" {
            count.fetch_add(1, Ordering::SeqCst);
        }
        hit(&asked[2])
    })
}

#[test]
fn no_attempt_begins_for_a_client_that_sends_and_disconnects_during_a_pause() {
    let count = Arc::new(AtomicUsize::new(0));
    let members = [
        member("s-1", counting_server(&count), "m", "ready"),
        member("s-2", counting_server(&count), "m", "ready"),
    ];
    let node = start_node("left-held-up", &Discovery::start(&members.join(",")), &[]);
    for round in 0..5 {
        let mut idle = node.client();
        assert_eq!(idle.ask(&["PING"]), "+PONG");
        let mut halfway = node.client();
        halfway.write(format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nh-{round}\r\n"));
        let mut many = node.client();
        assert_eq!(many.ask(&["PING"]), "+PONG");
        pause_process(&node, || {
            let get = |id: &str| ["CACHE.GET", "k", id, "c=read,t=acme,d=9000"].map(str::to_owned);
            let words = |words: [String; 4], client: &mut Client| {
                client.send(&words.each_ref().map(String::as_str));
            };
            words(get(&format!("r-{round}")), &mut idle);
            halfway.write("$20\r\nc=read,t=acme,d=9000\r\n");
            (0..20).for_each(|n| words(get(&format!("m-{round}-{n}")), &mut many));
            let mut new = node.client();
            words(get(&format!("n-{round}")), &mut new);
            drop((idle, halfway, many, new));
        });
        // Answered after all of these: any attempt that would begin has begun.
        assert_eq!(node.client().ask(&["PING"]), "+PONG");
        node.wait_for_metric("edge_router_in_flight", 0);
    }
    assert_eq!(count.load(Ordering::SeqCst), 0, "attempts for clients that had disconnected");
}

/// The first attempt fails or misses just as the client disconnects: no further attempt may begin.
#[test]
fn no_further_attempt_begins_for_a_client_that_disconnected_during_a_pause() {
    let failures: [fn() -> Reaction; 3] =
        [|| Reaction::Reset, || Reaction::Answer(b"-BUSY\r\n".to_vec()), miss];
    for (number, failure) in failures.into_iter().enumerate() {
        for answer_first in [false, true] {
            let (arrived, commands) = mpsc::channel();
            let (release, wait) = mpsc::channel::<()>();
            let (arrived, wait) = (Mutex::new(arrived), Arc::new(Mutex::new(wait)));
            let react = Arc::new(move |asked: &[String]| {
                arrived.lock().unwrap().send(asked.to_vec()).unwrap_or_default();
                let _ = wait.lock().unwrap().recv();
                failure()
            });
            let [first, second] =
                [react.clone(), react.clone()].map(|react| serve(read_command, move |asked| react(asked)));
            let origin = serve(read_call, move |asked| react(asked));
            let members = [
                member("s-1", first, "m", "ready"),
                member("s-2", second, "m", "ready"),
                member("o-1", origin, "origin", "ready"),
            ];
            let name = format!("left-further-{number}-{answer_first}");
            let node = start_node(&name, &Discovery::start(&members.join(",")), &LONG_DEADLINES);
            let mut client = node.client();
            client.send(&["CACHE.GET", "k", "i", "c=read,t=acme,d=9000"]);
            commands.recv_timeout(HANG_TIMEOUT).unwrap();
            pause_process(&node, || {
                if answer_first {
                    release.send(()).unwrap();
                    thread::sleep(Duration::from_millis(20));
                }
                drop(client);
                if !answer_first {
                    release.send(()).unwrap();
                }
            });
            node.wait_for_metric("edge_router_in_flight", 0);
            let further: Vec<_> = commands.try_iter().collect();
            assert!(further.is_empty(), "{name}: {further:?}");
        }
    }
}

// Restarts during a drain.

#[test]
fn a_restart_during_a_drain_loses_no_request() {
    let asked_last = Arc::new(Mutex::new(None));
    let noted = asked_last.clone();
    let draining = serve(read_command, move |asked| {
        *noted.lock().unwrap() = Some(Instant::now());
        hit(&asked[2])
    });
    let others = [0; 2].map(|_| serve(read_command, |asked| hit(&asked[2])));
    let written = Arc::new(Mutex::new(Vec::new()));
    let ids = written.clone();
    let origin = serve(read_call, move |asked| {
        let id = asked
            .iter()
            .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-request-id:").map(str::to_owned));
        let id = id.unwrap_or_default().trim().to_owned();
        if asked[0].starts_with("PUT ") {
            ids.lock().unwrap().push(id.clone());
        }
        http("200 OK", &id)
    });
    let list = |phase| {
        [
            member("s-0", draining, "m", phase),
            member("s-1", others[0], "m", "ready"),
            member("s-2", others[1], "m", "ready"),
            member("o-1", origin, "origin", "ready"),
        ]
        .join(",")
    };
    let discovery = Discovery::start(&list("ready"));
    let mut old = start_node("restart-old", &discovery, &[]);
    let load = Load { resends: true, ..Load::on(old.address) };
    let stop = Arc::new(AtomicBool::new(false));
    let (clients, until) = (load.clone(), stop.clone());
    let clients = thread::spawn(move || clients.run_until(&until));
    thread::sleep(Duration::from_millis(300));
    // The drain begins together with the SIGTERM, and the new process starts while the old one runs.
    old.signal("TERM");
    discovery.change(2, &list("draining"));
    let drained = Instant::now();
    let mut command = node_command("restart-new", discovery.address, 1024, "");
    command.env("ROUTER_OPS", "127.0.0.1:0");
    let new = Node::spawn(command);
    new.wait_until_ready();
    *load.node.lock().unwrap() = new.address;
    assert!(old.wait_for_exit().success());
    thread::sleep(DRAIN_GRACE);
    let last = asked_last.lock().unwrap().unwrap();
    let after = last.saturating_duration_since(drained);
    assert!(after < DRAIN_GRACE, "asked a draining server after {after:?}");
    // The draining server comes back.
    discovery.change(3, &list("ready"));
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    let tally = clients.join().unwrap();
    assert!(tally.missing.is_empty(), "{tally:?}");
    assert!(tally.served * 100 >= tally.asked * 97, "{tally:?}");
    let mut written = written.lock().unwrap().clone();
    let count = written.len();
    written.sort();
    written.dedup();
    assert_eq!(written.len(), count, "a write ran twice");
}
