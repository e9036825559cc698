//! Tests of relays of connections and datagrams on loopback sockets.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chalksill_trial::relay::{LinkConditions, Relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

const ANY: &str = "127.0.0.1:0";
/// Time limit of a test, reached only by a hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Long enough for a byte to arrive that is not held back.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(300);

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(TEST_TIMEOUT, test).await.expect("the test hangs") })
}

/// Starts a server that sends back what it receives, and a relay in front of it.
async fn echo(conditions: LinkConditions) -> Relay {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let to = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut reading, mut writing) = stream.split();
                let _ = tokio::io::copy(&mut reading, &mut writing).await;
            });
        }
    });
    Relay::connections(ANY.parse().unwrap(), to, conditions, 1).unwrap()
}

async fn echoes(stream: &mut TcpStream, text: &[u8]) -> bool {
    stream.write_all(text).await.unwrap();
    receive(stream, text.len()).await.as_deref() == Some(text)
}

async fn receive(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut reply = vec![0; length];
    timeout(ARRIVAL_TIMEOUT, stream.read_exact(&mut reply)).await.ok()?.ok()?;
    Some(reply)
}

#[test]
fn a_silent_cut_holds_open_connections_establishes_no_new_ones_and_releases_held_bytes() {
    run(async {
        let relay = echo(LinkConditions::healthy(Duration::ZERO, 0.0)).await;
        let mut open = TcpStream::connect(relay.address).await.unwrap();
        assert!(echoes(&mut open, b"one").await);
        relay.update(|c| (c.blocked_forward, c.blocked_backward) = (true, true));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!echoes(&mut open, b"two").await, "nothing arrives, and the connection stays open");
        assert!(
            timeout(ARRIVAL_TIMEOUT, TcpStream::connect(relay.address)).await.is_err(),
            "no new connection is established"
        );
        relay.update(|c| (c.blocked_forward, c.blocked_backward) = (false, false));
        assert_eq!(receive(&mut open, 3).await.as_deref(), Some(&b"two"[..]), "held bytes arrive");
        let mut new = timeout(TEST_TIMEOUT, TcpStream::connect(relay.address)).await.unwrap().unwrap();
        assert!(echoes(&mut new, b"three").await);
    });
}

#[test]
fn blocking_one_direction_leaves_the_other_open() {
    run(async {
        let relay = echo(LinkConditions::healthy(Duration::ZERO, 0.0)).await;
        let mut open = TcpStream::connect(relay.address).await.unwrap();
        assert!(echoes(&mut open, b"one").await);
        relay.update(|conditions| conditions.blocked_backward = true);
        let before = relay.totals();
        assert!(!echoes(&mut open, b"two").await);
        let after = relay.totals();
        assert_eq!(after.bytes_forward - before.bytes_forward, 3);
        assert_eq!(
            after.bytes_backward - before.bytes_backward,
            3,
            "the request has arrived, and the reply is held"
        );
        relay.update(|conditions| conditions.blocked_backward = false);
        assert_eq!(receive(&mut open, 3).await.as_deref(), Some(&b"two"[..]));
    });
}

#[test]
fn refused_and_reset_connections_fail_at_once() {
    run(async {
        let relay = echo(LinkConditions::healthy(Duration::ZERO, 0.0)).await;
        let mut open = TcpStream::connect(relay.address).await.unwrap();
        assert!(echoes(&mut open, b"one").await);
        relay.reset();
        let result = open.read(&mut [0; 8]).await;
        assert_eq!(result.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
        relay.update(|conditions| conditions.refusing = true);
        while let Ok(stream) = TcpStream::connect(relay.address).await {
            drop(stream);
            tokio::task::yield_now().await;
        }
        relay.update(|conditions| conditions.refusing = false);
        let mut again = loop {
            if let Ok(stream) = TcpStream::connect(relay.address).await {
                break stream;
            }
            tokio::task::yield_now().await;
        };
        assert!(echoes(&mut again, b"two").await);
    });
}

#[test]
fn a_shutdown_is_relayed_and_the_other_direction_stays_open() {
    run(async {
        let relay = echo(LinkConditions::healthy(Duration::ZERO, 0.0)).await;
        let mut open = TcpStream::connect(relay.address).await.unwrap();
        open.write_all(b"last").await.unwrap();
        open.shutdown().await.unwrap();
        let mut all = Vec::new();
        open.read_to_end(&mut all).await.unwrap();
        assert_eq!(all, b"last");
    });
}

#[test]
fn delay_keeps_the_order_and_a_rate_limit_adds_transmission_time() {
    run(async {
        let delay = Duration::from_millis(20);
        let relay = echo(LinkConditions::healthy(delay, 0.5)).await;
        let begin = Instant::now();
        let mut open = TcpStream::connect(relay.address).await.unwrap();
        assert!(echoes(&mut open, b"hello").await);
        assert!(begin.elapsed() >= delay * 4, "a handshake and a round trip: {:?}", begin.elapsed());
        let text: Vec<u8> = (0..200u8).collect();
        let mut all = Vec::new();
        for piece in text.chunks(1) {
            open.write_all(piece).await.unwrap();
            tokio::task::yield_now().await;
        }
        while all.len() < text.len() {
            assert!(open.read_buf(&mut all).await.unwrap() > 0);
        }
        assert_eq!(all, text);
        relay.update(|conditions| conditions.bytes_per_s = 10_000.0);
        let begin = Instant::now();
        open.write_all(&[7; 2000]).await.unwrap();
        let mut back = vec![0; 2000];
        open.read_exact(&mut back).await.unwrap();
        assert!(
            begin.elapsed() >= Duration::from_millis(200),
            "2000 bytes at 10000 bytes per second: {:?}",
            begin.elapsed()
        );
    });
}

#[test]
fn datagrams_are_lost_repeated_reordered_and_cut_in_one_direction_only() {
    run(async {
        let socket = || async { Rc::new(UdpSocket::bind(ANY).await.unwrap()) };
        let (a, b) = (socket().await, socket().await);
        let (b_for_a, a_for_b) = (socket().await, socket().await);
        let at = |s: &Rc<UdpSocket>| -> SocketAddr { s.local_addr().unwrap() };
        let healthy = LinkConditions::healthy(Duration::ZERO, 0.0);
        let there =
            Relay::datagrams(b_for_a.clone(), a_for_b.clone(), at(&a), at(&b), healthy.clone(), 1).unwrap();
        let back = Relay::datagrams(a_for_b.clone(), b_for_a.clone(), at(&b), at(&a), healthy, 2).unwrap();
        let mut buffer = [0; 64];
        let receive = async |s: &UdpSocket, buffer: &mut [u8]| {
            timeout(ARRIVAL_TIMEOUT, s.recv_from(buffer)).await.ok().map(|r| r.unwrap())
        };
        a.send_to(b"hi", at(&b_for_a)).await.unwrap();
        assert_eq!(
            receive(&b, &mut buffer).await,
            Some((2, at(&a_for_b))),
            "it comes from the address at which b sees a"
        );
        there.update(|conditions| conditions.blocked_forward = true);
        a.send_to(b"hi", at(&b_for_a)).await.unwrap();
        assert_eq!(receive(&b, &mut buffer).await, None);
        b.send_to(b"yo", at(&a_for_b)).await.unwrap();
        assert_eq!(receive(&a, &mut buffer).await, Some((2, at(&b_for_a))), "the other direction is open");
        there.update(|c| (c.blocked_forward, c.duplicated_share) = (false, 1.0));
        a.send_to(b"hi", at(&b_for_a)).await.unwrap();
        assert!(receive(&b, &mut buffer).await.is_some() && receive(&b, &mut buffer).await.is_some());
        assert_eq!(receive(&b, &mut buffer).await, None, "duplicated once");
        there.update(|c| {
            (c.duplicated_share, c.late_share, c.late_by) = (0.0, 1.0, Duration::from_millis(100))
        });
        a.send_to(b"first", at(&b_for_a)).await.unwrap();
        while there.totals().datagrams < 4 {
            tokio::task::yield_now().await;
        }
        there.update(|conditions| conditions.late_share = 0.0);
        a.send_to(b"second", at(&b_for_a)).await.unwrap();
        assert_eq!(receive(&b, &mut buffer).await.map(|(n, _)| n), Some(6));
        assert_eq!(receive(&b, &mut buffer).await.map(|(n, _)| n), Some(5));
        there.update(|conditions| conditions.lost_share = 1.0);
        a.send_to(b"hi", at(&b_for_a)).await.unwrap();
        assert_eq!(receive(&b, &mut buffer).await, None);
        let other_sender = socket().await;
        back.update(|conditions| conditions.duplicated_share = 0.0);
        other_sender.send_to(b"xx", at(&a_for_b)).await.unwrap();
        assert_eq!(receive(&a, &mut buffer).await, None, "datagrams of other senders are dropped");
    });
}
