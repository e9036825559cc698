//! A node accepts new connections and keeps the open ones although `accept4` fails now and then.
#![allow(missing_docs)]

mod harness;

#[path = "../../host/tests/interposed/mod.rs"]
mod interposed;

use std::thread;
use std::time::Duration;

use harness::{Client, Discovery, Node, Reaction, hit, member, node_command, read_command, serve};
use interposed::let_calls_fail;

/// Idle clients while others connect.
const IDLE_CLIENTS: usize = 20;
/// Clients that connect one after the other.
const NEW_CLIENTS: usize = 60;
/// Longer than the time for which a new connection is protected from eviction.
const PAST_EVICTION_PROTECTION: Duration = Duration::from_millis(100);

/// Starts a node with a limit of descriptors in which system calls fail by `rules`.
fn start_node(name: &str, discovery: &Discovery, sockets: usize, rules: &str) -> Node {
    let mut command = node_command(name, discovery.address, sockets, "");
    let_calls_fail(&mut command, rules);
    Node::run(command, discovery)
}

fn discovery() -> Discovery {
    let server = serve(read_command, |_| hit("value"));
    Discovery::start(&member("s-1", server, "m", "ready"))
}

/// Connects clients that ask once and are idle afterwards.
fn idle_clients(node: &Node) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..IDLE_CLIENTS).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    thread::sleep(PAST_EVICTION_PROTECTION);
    clients
}

/// Connects more clients one after the other, each of which must be answered.
fn connect_clients(node: &Node) {
    for number in 0..NEW_CLIENTS {
        assert_eq!(node.client().ask(&["PING"]), "+PONG", "client {number}");
    }
}

#[test]
fn aborted_connections_evict_no_idle_client() {
    let discovery = discovery();
    for error in [libc::ECONNABORTED, libc::EPROTO, libc::EINTR, libc::EPERM, libc::ENETDOWN] {
        let node = start_node("aborted", &discovery, 1024, &format!("accept4:{error}:2"));
        let idle = idle_clients(&node);
        connect_clients(&node);
        let ended = idle.iter().filter(|client| client.has_ended()).count();
        assert_eq!(ended, 0, "errno {error}: idle clients evicted");
    }
}

#[test]
fn out_of_descriptors_an_idle_client_is_evicted_and_new_clients_are_answered() {
    let discovery = discovery();
    for error in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        // The failures begin after the calls for the idle clients: each needs one call, and one more that finds the
        // queue empty.
        let node =
            start_node("short", &discovery, 1024, &format!("accept4:{error}:{}:2", 2 * IDLE_CLIENTS + 10));
        let idle = idle_clients(&node);
        // Enough clients to reach the second failure even if no call finds the queue empty.
        connect_clients(&node);
        connect_clients(&node);
        let ended = idle.iter().filter(|client| client.has_ended()).count();
        assert_eq!(ended, 2, "errno {error}: idle clients evicted");
    }
}

#[test]
fn permanent_accept_failure_neither_spins_nor_floods_the_log() {
    let discovery = discovery();
    for error in [libc::EINVAL, libc::ENETDOWN, libc::EMFILE] {
        let mut node = start_node("lasting", &discovery, 1024, &format!("accept4:{error}:1"));
        let clients: Vec<Client> = (0..NEW_CLIENTS).map(|_| node.client()).collect();
        node.wait_for_log("accepting failed");
        let before = node.cpu_ticks();
        thread::sleep(Duration::from_secs(1));
        let used = node.cpu_ticks() - before;
        // Of 100 ticks in a second.
        assert!(used < 30, "errno {error}: {used} ticks of CPU time in a second");
        let _ = node.child.kill();
        let lines = node.remaining_log().iter().filter(|line| line.contains("accepting failed")).count();
        assert!(lines <= 4, "errno {error}: {lines} lines");
        drop(clients);
    }
}

#[test]
fn at_shutdown_connections_queued_behind_an_aborted_one_are_answered() {
    let silent = serve(read_command, |_| Reaction::Silence);
    let discovery = Discovery::start(&member("s-1", silent, "m", "ready"));
    // Client connections of a node with 64 descriptors. More connections wait in the kernel's accept queue.
    const CLIENT_LIMIT: usize = 23;
    const BEYOND: usize = 7;
    for error in [libc::ECONNABORTED, libc::EMFILE] {
        let mut command = node_command("rest", discovery.address, 64, "");
        command.env("ROUTER_OPS", "127.0.0.1:0");
        let_calls_fail(&mut command, &format!("accept4:{error}:2"));
        let mut node = Node::run(command, &discovery);
        let mut busy: Vec<Client> = (0..CLIENT_LIMIT + BEYOND).map(|number| busy(&node, number)).collect();
        node.wait_for_metric("edge_router_in_flight", CLIENT_LIMIT as u64);
        let mut waiting: Vec<Client> = (0..8).map(|_| node.client()).collect();
        for client in &mut waiting {
            client.send(&["PING"]);
        }
        // None of them is accepted, though there is enough time.
        thread::sleep(Duration::from_millis(300));
        assert!(
            waiting.iter().all(|client| !client.has_ended()),
            "errno {error}: a queued connection has ended"
        );
        node.signal("TERM");
        for client in &mut waiting {
            assert_eq!(client.answer(), "+PONG", "errno {error}");
        }
        for client in &mut busy {
            assert_ne!(client.answer(), "end", "errno {error}: not answered");
        }
        assert!(node.wait_for_exit().success());
    }
}

/// A client that has sent a request which stays open.
fn busy(node: &Node, number: usize) -> Client {
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", &format!("id-{number}"), "c=read,t=acme,d=20000"]);
    client
}
