//! A node keeps serving, without spinning, while receiving messages of its peers fails.
#![allow(missing_docs)]

mod harness;

#[path = "../../host/tests/interposed/mod.rs"]
mod interposed;

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

use harness::{Discovery, Node, config, hit, member, node_command, read_command, scratch_path, serve};
use interposed::let_calls_fail;

/// Starts a node that receives messages of its peers at an address, and in which system calls fail by `rules`.
fn start_node(name: &str, discovery: &Discovery, peers: SocketAddr, rules: &str) -> Node {
    let path = scratch_path(&format!("{name}-datagrams.json"));
    let addresses = format!(r#""peer_listen":"{peers}","peers":["{peers}"],"limits""#);
    let text = config(name, discovery.address, 1024).replacen(r#""limits""#, &addresses, 1);
    std::fs::write(&path, text).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.env("ROUTER_CONFIG", path);
    let_calls_fail(&mut command, rules);
    Node::run(command, discovery)
}

#[test]
fn permanent_receive_failure_does_not_spin() {
    let server = serve(read_command, |_| hit("value"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    for error in [libc::ENOBUFS, libc::ENOMEM, libc::ECONNREFUSED] {
        let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
        let peers = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let node = start_node("receives", &discovery, peers, &format!("recvfrom:{error}:1"));
        // The call is made only if there is something to read.
        sender.send_to(b"something", peers).unwrap();
        thread::sleep(Duration::from_millis(100));
        let before = node.cpu_ticks();
        thread::sleep(Duration::from_secs(1));
        let used = node.cpu_ticks() - before;
        // Of 100 ticks in a second.
        assert!(used < 30, "errno {error}: {used} ticks of CPU time in a second");
        // It serves meanwhile.
        let answer = node.client().ask(&["CACHE.GET", "k", "id", "c=read,t=acme,d=20000"]);
        assert_eq!(answer, "$value", "errno {error}");
    }
}
