//! Upgrades: two processes of one node share an inherited listener. What clients, the origin and peers notice of it.
#![allow(missing_docs)]

mod world;

use std::net::{TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use world::*;

/// The listener and the folder that the processes of one node share.
struct Platform {
    name: &'static str,
    listener: TcpListener,
    folder: String,
    /// File descriptor limit of both processes together.
    sockets: usize,
    /// Replacements in the text of the settings.
    changed: &'static [(&'static str, &'static str)],
}

/// Maximum concurrent origin calls of a node that is alone.
const CALLS_OUT: usize = 100;
/// The longest deadline of [`SHORT_DEADLINES`].
const SHORT_DEADLINE: Duration = Duration::from_secs(2);
const SHORT_DEADLINES: [(&str, &str); 1] = [(r#""deadlineUs":20000000"#, r#""deadlineUs":2000000"#)];

impl Platform {
    fn new(name: &'static str) -> Self {
        let folder = scratch(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir(&folder).unwrap();
        Platform {
            name,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            folder,
            sockets: 1024,
            changed: &[],
        }
    }

    fn command(&self, discovery: &Discovery) -> Command {
        let command = node_command(self.name, discovery.address, self.sockets, "exec 4<&0 0</dev/null;");
        let mut text = config(self.name, discovery.address, self.sockets);
        self.changed.iter().for_each(|(from, to)| text = text.replace(from, to));
        std::fs::write(scratch(&format!("{}.json", self.name)), text).unwrap();
        let mut command = inheriting(command, &self.listener, "4");
        command.env("TMPDIR", &self.folder);
        command
    }

    /// Starts a process and waits until it reports ready.
    fn start(&self, discovery: &Discovery) -> Node {
        let node = Node::spawn(self.command(discovery));
        node.ready();
        node
    }
}

fn inheriting(mut command: Command, socket: &TcpListener, number: &str) -> Command {
    command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap())));
    command.env("ROUTER_SOCKET_FD", number).env("ROUTER_OPS", "127.0.0.1:0");
    command
}

#[test]
fn a_descriptor_that_is_no_listener_is_said_and_ends_the_start() {
    let server = serve(command, |_| array("v"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    for (number, before, told) in [
        ("four", "", "\"four\" is no number of an inherited descriptor"),
        ("-1", "", "\"-1\" is no number of an inherited descriptor"),
        ("1", "", "\"1\" is no number of an inherited descriptor"),
        ("99999999999", "", "is no number of an inherited descriptor"),
        ("77", "", "descriptor 77 can't be taken: Bad file descriptor"),
        ("4", "exec 4</dev/null;", "descriptor 4 is no socket"),
    ] {
        let mut command =
            inheriting(node_command("no-listener", discovery.address, 1024, before), &listener, number);
        let ended = command.stderr(Stdio::piped()).output().unwrap();
        let log = String::from_utf8(ended.stderr).unwrap();
        assert!(!ended.status.success(), "{number}");
        assert!(log.contains("ROUTER_SOCKET_FD: ") && log.contains(told), "{number}: {log}");
    }
    // A TCP socket that does not listen.
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut command = node_command("no-listener", discovery.address, 1024, "exec 4<&0 0</dev/null;");
    command.stdin(Stdio::from(OwnedFd::from(stream))).env("ROUTER_SOCKET_FD", "4");
    let ended = command.stderr(Stdio::piped()).output().unwrap();
    let log = String::from_utf8(ended.stderr).unwrap();
    assert!(!ended.status.success() && log.contains("descriptor 4 is no TCP socket that listens"), "{log}");
}

#[test]
fn a_new_version_takes_over_under_load_and_no_request_is_lost() {
    let server = serve(command, |asked| {
        std::thread::sleep(Duration::from_millis(5));
        array(&asked[2])
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("take-over");
    let old = platform.start(&discovery);
    let address = old.address;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut client, mut asked, mut renewed) = (Client::connect(address), 0, 0);
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    let id = format!("c{number}-{asked}");
                    let mut answer = client.ask(&["CACHE.GET", &id, &id, "c=read,t=acme,d=9000"]);
                    // Closed between requests: sent once more, on a new connection.
                    if answer == "end" {
                        (client, renewed) = (Client::connect(address), renewed + 1);
                        answer = client.ask(&["CACHE.GET", &id, &format!("{id}-2"), "c=read,t=acme,d=9000"]);
                    }
                    assert!(answer.starts_with(&format!("${id}")) || answer.starts_with("-BUSY"), "{answer}");
                    asked += 1;
                }
                (asked, renewed)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let new = platform.start(&discovery);
    let mut old = old;
    old.signal("TERM");
    assert!(old.ended().success());
    std::thread::sleep(Duration::from_millis(300));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let (asked, renewed): (Vec<u32>, Vec<u32>) = clients.into_iter().map(|c| c.join().unwrap()).unzip();
    assert!(renewed.iter().all(|r| *r <= 1), "a client was disconnected more than once: {renewed:?}");
    assert!(asked.iter().all(|a| *a > 20), "{asked:?}");
    assert_eq!(Client::connect(address).ask(&["PING"]), "+PONG");
    assert!(new.figure("edge_router_served_total{class=\"read\"}").unwrap() > 0);
}

#[test]
fn a_new_process_accepts_nothing_before_it_can_serve_and_one_that_dies_changes_nothing() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("dies");
    let old = platform.start(&discovery);
    // Killed before it is ready, and after.
    drop(Node::spawn(platform.command(&discovery)));
    drop(platform.start(&discovery));
    for i in 0..20 {
        let mut client = old.client();
        assert_eq!(client.ask(&["PING"]), "+PONG");
        assert_eq!(
            client.ask(&["CACHE.GET", "k", &format!("i{i}"), "c=read,t=acme,d=9000"]),
            format!("$i{i}")
        );
    }
}

#[test]
fn one_process_at_a_time_hears_the_peers() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("duty");
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let duty = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (here, there) = (duty.to_string(), peer.local_addr().unwrap().to_string());
    let start = || {
        let path = scratch("duty-peers.json");
        let config = config(platform.name, discovery.address, 1024);
        let peers = format!(r#""peer_listen":"{here}","peers":["{here}","{there}"],"settings""#);
        let config = config.replace(r#""settings""#, &peers).replace(r#""balancers":1"#, r#""balancers":2"#);
        std::fs::write(&path, config).unwrap();
        let mut command = platform.command(&discovery);
        command.env("ROUTER_CONFIG", path);
        let node = Node::spawn(command);
        node.ready();
        node
    };
    let mut old = start();
    peer.set_read_timeout(Some(HUNG)).unwrap();
    let mut buffer = [0; 512];
    assert_eq!(peer.recv_from(&mut buffer).unwrap().1, duty);
    let new = start();
    old.signal("TERM");
    new.logged("messages of peers come here from now on");
    let begun = Instant::now();
    // The successor sends from the same address.
    assert!(old.ended().success());
    assert_eq!(peer.recv_from(&mut buffer).unwrap().1, duty);
    assert!(begun.elapsed() < HUNG);
}

#[test]
fn what_the_old_process_took_it_answers() {
    let (server, commands, go) = held(|asked| asked[2].clone());
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("answers");
    let mut old = platform.start(&discovery);
    let mut client = old.client();
    client.send(&["CACHE.GET", "k", "id", "c=read,t=acme,d=9000"]);
    commands.recv_timeout(HUNG).unwrap();
    let new = platform.start(&discovery);
    old.signal("TERM");
    old.logged("stopping");
    // The successor accepts new connections.
    assert_eq!(Client::connect(old.address).ask(&["PING"]), "+PONG");
    go.send(()).unwrap();
    assert_eq!(client.answer(), "$id");
    assert_eq!(client.answer(), "end");
    assert!(old.ended().success());
    assert_eq!(new.status("GET /ready"), 200);
}

/// A stopping process leaves new connections to its successor, and must accept them again if the successor dies: otherwise
/// nobody would.
#[test]
fn an_old_process_that_was_told_to_stop_serves_what_comes_once_the_new_one_has_died() {
    let (server, commands, go) = held(|asked| asked[2].clone());
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("dies-after-sigterm");
    let mut old = platform.start(&discovery);
    let mut client = old.client();
    client.send(&["CACHE.GET", "k", "early", "c=read,t=acme,d=9000"]);
    commands.recv_timeout(HUNG).unwrap();
    let new = platform.start(&discovery);
    old.signal("TERM");
    old.logged("stopping");
    assert_eq!(
        Client::connect(old.address).ask(&["PING"]),
        "+PONG",
        "served by the successor while it lives"
    );
    drop(new);
    let mut late = Client::connect(old.address);
    late.send(&["CACHE.GET", "other", "late", "c=read,t=acme,d=9000"]);
    go.send(()).unwrap();
    go.send(()).unwrap();
    assert_eq!(client.answer(), "$early");
    assert_eq!(late.answer(), "$late");
    assert_eq!((client.answer(), late.answer()), ("end".into(), "end".into()));
    assert!(old.ended().success());
}

#[test]
fn a_drain_holds_for_the_process_that_was_told_and_not_for_the_one_after_it() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("drained");
    let mut old = platform.start(&discovery);
    let address = old.address;
    let mut client = old.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(old.status("PUT /drain"), 200);
    let new = platform.start(&discovery);
    assert_eq!(client.answer(), "end", "the drain goes on while a successor runs");
    assert_eq!((old.status("GET /ready"), new.status("GET /ready")), (503, 200));
    old.signal("TERM");
    assert!(old.ended().success());
    assert_eq!(Client::connect(address).ask(&["PING"]), "+PONG");
    assert_eq!(new.status("PUT /drain"), 200);
    assert_eq!(Client::connect(address).ask(&["PING"]), "-ERR drained");
    // A drain does not pass on to the next process.
    let third = platform.start(&discovery);
    assert_eq!(third.status("GET /ready"), 200);
    assert_eq!(new.status("PUT /undrain"), 200);
    drop(third);
    new.logged("this one goes on");
    assert_eq!(Client::connect(address).ask(&["CACHE.GET", "k", "i", "c=read,t=acme,d=9000"]), "$i");
}

#[test]
fn a_crowd_that_never_asks_keeps_no_client_out_while_processes_change() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform { sockets: 64, ..Platform::new("crowd") };
    let mut old = platform.start(&discovery);
    let address = old.address;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stopped = |stop: &std::sync::atomic::AtomicBool| stop.load(std::sync::atomic::Ordering::Relaxed);
    let crowd = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let mut held = Vec::new();
            while !stopped(&stop) {
                let mut client = Client::connect(address);
                client.write("*4\r\n$9\r\nCACHE");
                held.push(client);
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    // Long enough for the idle clients to take every connection slot.
    std::thread::sleep(Duration::from_millis(600));
    let client = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let mut asked = 0;
            while !stopped(&stop) {
                let id = format!("i{asked}");
                let answer = Client::connect(address).ask(&["CACHE.GET", &id, &id, "c=read,t=acme,d=9000"]);
                assert!(answer == format!("${id}") || answer.starts_with("-BUSY"), "{id}: {answer}");
                asked += 1;
            }
            asked
        })
    };
    std::thread::sleep(Duration::from_millis(700));
    let new = platform.start(&discovery);
    old.signal("TERM");
    assert!(old.ended().success());
    assert_eq!(new.status("GET /ready"), 200);
    std::thread::sleep(Duration::from_millis(300));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    crowd.join().unwrap();
    assert!(client.join().unwrap() > 50);
}

/// Calls of a process that died may run at the origin for up to the longest deadline. A process that takes over meanwhile
/// must reserve half of the caps for them and a quarter for its predecessor, and keep to the remaining quarter; it has its
/// half once those calls are over.
#[test]
fn a_process_that_takes_over_after_a_dead_one_leaves_it_its_part_and_calls_within_its_own() {
    let server = serve(command, |_| miss());
    let (told, calls) = channel();
    let told = report(told);
    // No call ends before the test does: all calls that were begun are concurrent.
    let (_over, lasts) = channel::<()>();
    let lasts = std::sync::Mutex::new(lasts);
    let origin = serve(call, move |asked| {
        told(asked);
        let _ = lasts.lock().unwrap().recv();
        http("200 OK", "v")
    });
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    let platform = Platform { changed: &SHORT_DEADLINES, ..Platform::new("caps-of-dead") };
    let old = platform.start(&discovery);
    drop(platform.start(&discovery));
    let ended = Instant::now();
    old.logged("this one goes on");
    let _new = platform.start(&discovery);
    old.logged("a new process takes over");
    // Only the successor accepts clients from now on.
    old.signal("STOP");
    let mut clients: Vec<_> = (0..CALLS_OUT).map(|_| Client::connect(old.address)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("i{number}");
        client.send(&["CACHE.GET", &id, &id, "c=read,t=acme,d=2000"]);
    }
    std::thread::sleep(Duration::from_secs(1).saturating_sub(ended.elapsed()));
    let within = calls.try_iter().count();
    assert!((1..=CALLS_OUT / 4).contains(&within), "{within} calls while those of the dead process may run");
    std::thread::sleep((SHORT_DEADLINE + Duration::from_millis(500)).saturating_sub(ended.elapsed()));
    let mut later: Vec<_> = (0..CALLS_OUT).map(|_| Client::connect(old.address)).collect();
    for (number, client) in later.iter_mut().enumerate() {
        let id = format!("j{number}");
        client.send(&["CACHE.GET", &id, &id, "c=read,t=acme,d=1000"]);
    }
    std::thread::sleep(Duration::from_millis(500));
    let after = calls.try_iter().count();
    assert!((1..=CALLS_OUT / 2).contains(&after), "{after} calls once those of the dead process are over");
    assert!(after > within, "{after} calls with half of the caps, {within} with a quarter");
}

/// Path of the handover socket.
fn socket(platform: &Platform) -> String {
    format!("{}/mothpier-handover.sock", platform.folder)
}

#[test]
fn a_new_process_goes_on_from_the_old_one_without_discovery_and_is_alone_after_it() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("warm");
    let mut old = platform.start(&discovery);
    let mut client = old.client();
    assert_eq!(client.ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=9000"]), "$i1");
    // Discovery never answers: the server list can come from the predecessor only.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = platform.command(&discovery);
    command.env("ROUTER_DISCOVERY", silent.local_addr().unwrap().to_string());
    let new = Node::spawn(command);
    new.ready();
    old.signal("TERM");
    assert!(old.ended().success());
    new.logged("the process before this one has ended");
    let mut client = Client::connect(old.address);
    assert_eq!(client.ask(&["CACHE.GET", "k", "i2", "c=read,t=acme,d=9000"]), "$i2");
    new.figure_becomes("edge_router_cache_servers_known", 1);
    // It is the next successor's predecessor.
    let third = platform.start(&discovery);
    new.logged("a new process takes over");
    drop(third);
    new.logged("this one goes on");
    assert_eq!(Client::connect(old.address).ask(&["PING"]), "+PONG");
}

#[test]
fn an_old_process_that_is_killed_leaves_the_new_one_whole() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("killed");
    let mut old = platform.start(&discovery);
    let address = old.address;
    let new = platform.start(&discovery);
    old.signal("KILL");
    assert!(!old.ended().success());
    new.logged("the process before this one has ended");
    assert_eq!(Client::connect(address).ask(&["CACHE.GET", "k", "i", "c=read,t=acme,d=9000"]), "$i");
    // A killed process leaves its socket behind, which the next process removes.
    drop(new);
    assert!(std::fs::exists(socket(&platform)).unwrap());
    let next = platform.start(&discovery);
    assert_eq!(Client::connect(address).ask(&["PING"]), "+PONG");
    let after = platform.start(&discovery);
    next.logged("a new process takes over");
    drop(after);
}

#[test]
fn a_second_new_process_and_one_of_another_node_begin_from_nothing() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("twice");
    let old = platform.start(&discovery);
    let mut stranger = platform.command(&discovery);
    stranger.env("ROUTER_NAME", "another");
    let stranger = Node::spawn(stranger);
    stranger.ready();
    drop(stranger);
    let first = platform.start(&discovery);
    let second = platform.start(&discovery);
    assert_eq!(second.status("GET /ready"), 200);
    drop((first, second));
    old.logged("this one goes on");
    assert_eq!(old.client().ask(&["CACHE.GET", "k", "i", "c=read,t=acme,d=9000"]), "$i");
}

#[test]
fn a_partner_that_is_none_means_a_plain_start() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let head =
        |version: u8, length: u32| [&b"mpho"[..], &[version, 0], &length.to_le_bytes(), &[0; 4]].concat();
    let answers: [(&'static str, Option<Vec<u8>>); 6] = [
        ("silent", None),
        ("closes", Some(Vec::new())),
        ("random", Some((0..200u8).map(|i| i.wrapping_mul(37)).collect())),
        ("version", Some(head(99, 10))),
        ("oversized", Some(head(1, u32::MAX))),
        ("truncated", Some([head(1, 1000), vec![1; 500]].concat())),
    ];
    for (name, answer) in answers {
        let platform = Platform::new(name);
        let partner = std::os::unix::net::UnixListener::bind(socket(&platform)).unwrap();
        std::thread::spawn(move || {
            let mut kept = Vec::new();
            for mut stream in partner.incoming().map_while(Result::ok) {
                if let Some(answer) = &answer {
                    std::io::Write::write_all(&mut stream, answer).unwrap_or_default();
                } else {
                    kept.push(stream);
                }
            }
        });
        let begun = Instant::now();
        let node = platform.start(&discovery);
        assert!(begun.elapsed() < Duration::from_secs(6), "{name}: {:?}", begun.elapsed());
        assert_eq!(node.client().ask(&["CACHE.GET", "k", "i", "c=read,t=acme,d=9000"]), "$i", "{name}");
    }
}

/// The state of the agreement that a node reports to operators.
fn accord(node: &Node) -> serde_json::Value {
    let answer = node.call("GET /places");
    let body = answer.split_once("\r\n\r\n").unwrap_or_default().1;
    serde_json::from_str::<serde_json::Value>(body).unwrap_or_default()["accord"].clone()
}

#[test]
fn of_two_processes_one_takes_part_in_the_accord_and_the_next_abstains_for_what_that_one_has_granted() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("accord");
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let file = scratch("accord-operator.toml");
    let accord_on = format!("[accord]\non = true\nvoters = [0]\nlisten = \"{own}\"\nmembers = [\"{own}\"]");
    std::fs::write(&file, format!("[places]\non = true\n{accord_on}")).unwrap();
    let start = || {
        let mut command = platform.command(&discovery);
        // The agreement requires that the node is in a zone.
        let path = scratch("accord.json");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, text.replace(r#""zones":["a"],"#, r#""zones":["a"],"zone":0,"#)).unwrap();
        let node = Node::spawn({
            command.env("ROUTER_OPERATOR", &file);
            command
        });
        node.ready();
        node
    };
    let decides = |node: &Node| accord(node)["decides"] == true;
    let wait_until = |node: &Node| {
        let begin = Instant::now();
        while !decides(node) {
            assert!(begin.elapsed() < Duration::from_secs(20), "the node never decides: {}", accord(node));
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let mut old = start();
    wait_until(&old);
    let new = start();
    assert!(decides(&old) && !decides(&new), "the predecessor holds the address");
    // Long enough that a member which had started with the new process would no longer abstain.
    std::thread::sleep(Duration::from_millis(2500));
    assert!(decides(&old) && !decides(&new));
    let told = Instant::now();
    old.signal("TERM");
    assert!(old.ended().success());
    assert!(!decides(&new), "the predecessor's last grant has not expired");
    wait_until(&new);
    // A grant lasts for 2.2 s.
    assert!(told.elapsed() >= Duration::from_millis(2200), "{:?}", told.elapsed());
}
