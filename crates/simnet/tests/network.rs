//! Compares the simulated network with the behaviour of TCP and UDP on Linux.
#![allow(missing_docs)]

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use chalksill_simnet::{Links, Net, SimHost, SimListener, SimStream, WINDOW_BYTES, run};
use mothpier_host::{Datagrams, Host, Listener, Reading, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const A: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const B: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
const AT: SocketAddr = SocketAddr::new(B, 80);
const SOON: Duration = Duration::from_millis(100);

struct Two {
    net: Net,
    a: SimHost,
    b: SimHost,
}

fn two_machines() -> Two {
    let net = Net::new(1, Duration::from_secs(1000), Links::default());
    spawn_local(net.clone().deliver_packets());
    let (a, b) = (net.start_process(A, 0, "a"), net.start_process(B, 0, "b"));
    Two { net, a, b }
}

async fn connected_pair(two: &Two) -> (SimStream, SimStream, SimListener) {
    let listener = two.b.listen(AT).await.unwrap();
    let near = two.a.connect(AT).await.unwrap();
    let (far, from) = listener.accept().await.unwrap();
    assert_eq!(from.ip(), A);
    (near, far, listener)
}

#[test]
fn connects_are_refused_or_hang_or_succeed() {
    run(|| async {
        let two = two_machines();
        assert_eq!(two.a.connect(AT).await.err().unwrap().kind(), ErrorKind::ConnectionRefused);
        two.net.cut_off(B);
        assert!(
            timeout(Duration::from_secs(60), two.a.connect(AT)).await.is_err(),
            "a silent machine answered"
        );
        two.net.restore(B);
        drop(connected_pair(&two).await);
    });
}

#[test]
fn half_close_leaves_the_other_half_open() {
    run(|| async {
        let two = two_machines();
        let (mut near, mut far, _listener) = connected_pair(&two).await;
        near.write_all(b"question").await.unwrap();
        near.shutdown().await.unwrap();
        let mut asked = Vec::new();
        far.read_to_end(&mut asked).await.unwrap();
        assert_eq!(asked, b"question");
        far.write_all(b"answer").await.unwrap();
        drop(far);
        let mut answer = Vec::new();
        near.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer, b"answer");
        assert_eq!(near.write_all(b"more").await.err().unwrap().kind(), ErrorKind::BrokenPipe);
    });
}

#[test]
fn kill_resets_connections_and_arrived_data_stays_readable() {
    run(|| async {
        let two = two_machines();
        let (mut near, mut far, _listener) = connected_pair(&two).await;
        far.write_all(b"half an ans").await.unwrap();
        sleep(SOON).await;
        two.net.kill(two.b.process());
        sleep(SOON).await;
        let mut read = [0; 64];
        assert_eq!(near.read(&mut read).await.unwrap(), 11);
        assert_eq!(near.read(&mut read).await.err().unwrap().kind(), ErrorKind::ConnectionReset);
        assert_eq!(two.a.connect(AT).await.err().unwrap().kind(), ErrorKind::ConnectionRefused);
        assert_eq!(two.net.socket_count(two.b.process()), 0);
    });
}

#[test]
fn close_with_unread_data_and_data_after_close_reset() {
    run(|| async {
        let two = two_machines();
        let (mut near, far, listener) = connected_pair(&two).await;
        near.write_all(b"never read").await.unwrap();
        sleep(SOON).await;
        drop(far);
        assert_eq!(near.read(&mut [0; 8]).await.err().unwrap().kind(), ErrorKind::ConnectionReset);

        let mut near = two.a.connect(AT).await.unwrap();
        drop(listener.accept().await.unwrap());
        sleep(SOON).await;
        assert_eq!(near.read(&mut [0; 8]).await.unwrap(), 0, "a plain close");
        near.write_all(b"too late").await.unwrap();
        sleep(SOON).await;
        assert!(near.write_all(b"again").await.is_err());
    });
}

#[test]
fn machine_without_power_sends_nothing_until_restored() {
    run(|| async {
        let two = two_machines();
        let (mut near, _far, _listener) = connected_pair(&two).await;
        two.net.lose_power(B, two.b.process());
        near.write_all(b"anybody there?").await.unwrap();
        let mut read = [0; 8];
        assert!(timeout(Duration::from_secs(600), near.read(&mut read)).await.is_err());
        two.net.restore(B);
        assert_eq!(near.read(&mut read).await.err().unwrap().kind(), ErrorKind::ConnectionReset);
    });
}

#[test]
fn link_blocked_in_one_direction_delays_that_direction_only() {
    run(|| async {
        let two = two_machines();
        let (mut near, mut far, _listener) = connected_pair(&two).await;
        two.net.block_link(A, B);
        near.write_all(b"one").await.unwrap();
        near.write_all(b"two").await.unwrap();
        far.write_all(b"back").await.unwrap();
        let mut read = [0; 6];
        near.read_exact(&mut read[..4]).await.unwrap();
        assert!(timeout(Duration::from_secs(5), far.read(&mut read)).await.is_err());
        two.net.unblock_link(A, B);
        far.read_exact(&mut read).await.unwrap();
        assert_eq!(&read, b"onetwo");
    });
}

#[test]
fn writer_waits_while_nothing_is_read() {
    run(|| async {
        let two = two_machines();
        let (mut near, far, _listener) = connected_pair(&two).await;
        let all = vec![7u8; WINDOW_BYTES * 3];
        let writing = spawn_local(async move { near.write_all(&all).await.map(|()| near) });
        sleep(SOON).await;
        assert!(!writing.is_finished(), "more than the window was taken");
        let (reading, _writing) = far.into_halves();
        let (mut read, mut buffer) = (0, BytesMut::new());
        while read < WINDOW_BYTES * 3 {
            reading.readable().await.unwrap();
            buffer.clear();
            buffer.reserve(4096);
            match reading.try_read_buf(&mut buffer) {
                Ok(n) => read += n,
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
        }
        drop(writing.await.unwrap().unwrap());
    });
}

#[test]
fn datagrams_are_delayed_or_lost() {
    run(|| async {
        let two = two_machines();
        let (from, to) = (SocketAddr::new(A, 9), SocketAddr::new(B, 9));
        let (near, far) = (two.a.datagrams(from).await.unwrap(), two.b.datagrams(to).await.unwrap());
        let begin = Instant::now();
        near.try_send_to(b"hello", to).unwrap();
        let mut buffer = [0; 3];
        assert_eq!(far.recv_from(&mut buffer).await.unwrap(), (3, from));
        assert!(begin.elapsed() >= Duration::from_millis(2));
        two.net.set_datagram_loss(0.5);
        for _ in 0..200 {
            near.try_send_to(b"x", to).unwrap();
            sleep(SOON).await;
        }
        let mut come = 0;
        while timeout(SOON, far.recv_from(&mut buffer)).await.is_ok() {
            come += 1;
        }
        assert!((60..140).contains(&come), "{come} of 200 with half of them lost");
    });
}

#[test]
fn digest_reflects_seed_and_data() {
    let digest = |seed: u64, word: &'static [u8]| {
        run(move || async move {
            let net = Net::new(seed, Duration::from_secs(1000), Links::default());
            spawn_local(net.clone().deliver_packets());
            let two = Two { a: net.start_process(A, 0, "a"), b: net.start_process(B, 0, "b"), net };
            let (mut near, mut far, _listener) = connected_pair(&two).await;
            near.write_all(word).await.unwrap();
            far.read_exact(&mut vec![0; word.len()]).await.unwrap();
            two.net.digest()
        })
    };
    assert_eq!(digest(1, b"same"), digest(1, b"same"));
    assert_ne!(digest(1, b"same"), digest(1, b"some"));
    assert_ne!(digest(1, b"same"), digest(2, b"same"));
}

#[test]
fn shared_listener_outlives_either_process() {
    run(|| async {
        let two = two_machines();
        let first = two.b.listen(AT).await.unwrap();
        let other = two.net.start_process(B, 0, "b again");
        assert!(other.listen(AT).await.is_err(), "bound a second time");
        let second = other.inherit(AT).unwrap();
        let _near = two.a.connect(AT).await.unwrap();
        let (_far, _) = second.accept().await.unwrap();
        assert!(timeout(SOON, first.accept()).await.is_err(), "accepted twice");
        // Queued connections go to the other process when one drops the listener or is killed.
        let _waits = two.a.connect(AT).await.unwrap();
        drop(first);
        let (_taken, _) = timeout(SOON, second.accept()).await.expect("lost with the first").unwrap();
        let third = two.net.start_process(B, 0, "b for the third time");
        let last = third.inherit(AT).unwrap();
        let mut kept = two.a.connect(AT).await.unwrap();
        two.net.kill(other.process());
        let (mut far, _) = timeout(SOON, last.accept()).await.expect("lost with the second").unwrap();
        far.write_all(b"x").await.unwrap();
        let mut byte = [0];
        kept.read_exact(&mut byte).await.unwrap();
        drop(last);
        assert!(two.a.connect(AT).await.is_err(), "listens without a holder");
    });
}
