//! The simulated network against what TCP and UDP on Linux do in the same case.
#![allow(missing_docs)]

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use chalksill_simnet::{Links, Net, SimHost, SimListener, SimStream, WINDOW, run};
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

fn two() -> Two {
    let net = Net::new(1, Duration::from_secs(1000), Links::default());
    spawn_local(net.clone().deliver_packets());
    let (a, b) = (net.start_process(A, 0, "a"), net.start_process(B, 0, "b"));
    Two { net, a, b }
}

async fn joined(two: &Two) -> (SimStream, SimStream, SimListener) {
    let listener = two.b.listen(AT).await.unwrap();
    let near = two.a.connect(AT).await.unwrap();
    let (far, from) = listener.accept().await.unwrap();
    assert_eq!(from.ip(), A);
    (near, far, listener)
}

#[test]
fn a_connection_is_refused_or_never_comes_up_or_comes_up() {
    run(|| async {
        let two = two();
        assert_eq!(two.a.connect(AT).await.err().unwrap().kind(), ErrorKind::ConnectionRefused);
        two.net.silence(B);
        assert!(
            timeout(Duration::from_secs(60), two.a.connect(AT)).await.is_err(),
            "a silent machine answered"
        );
        two.net.restore(B);
        drop(joined(&two).await);
    });
}

#[test]
fn half_a_close_leaves_the_other_half_open() {
    run(|| async {
        let two = two();
        let (mut near, mut far, _listener) = joined(&two).await;
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
fn a_kill_resets_and_what_had_arrived_can_still_be_read() {
    run(|| async {
        let two = two();
        let (mut near, mut far, _listener) = joined(&two).await;
        far.write_all(b"half an ans").await.unwrap();
        sleep(SOON).await;
        two.net.kill(two.b.process());
        sleep(SOON).await;
        let mut read = [0; 64];
        assert_eq!(near.read(&mut read).await.unwrap(), 11);
        assert_eq!(near.read(&mut read).await.err().unwrap().kind(), ErrorKind::ConnectionReset);
        assert_eq!(two.a.connect(AT).await.err().unwrap().kind(), ErrorKind::ConnectionRefused);
        assert_eq!(two.net.sockets(two.b.process()), 0);
    });
}

#[test]
fn a_close_with_unread_bytes_resets_and_so_do_bytes_after_a_close() {
    run(|| async {
        let two = two();
        let (mut near, far, listener) = joined(&two).await;
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
fn a_machine_that_vanishes_says_nothing_until_it_is_back() {
    run(|| async {
        let two = two();
        let (mut near, _far, _listener) = joined(&two).await;
        two.net.vanish(B, two.b.process());
        near.write_all(b"anybody there?").await.unwrap();
        let mut read = [0; 8];
        assert!(timeout(Duration::from_secs(600), near.read(&mut read)).await.is_err());
        two.net.restore(B);
        assert_eq!(near.read(&mut read).await.err().unwrap().kind(), ErrorKind::ConnectionReset);
    });
}

#[test]
fn a_cut_in_one_direction_holds_that_direction_only_and_loses_nothing() {
    run(|| async {
        let two = two();
        let (mut near, mut far, _listener) = joined(&two).await;
        two.net.cut(A, B);
        near.write_all(b"one").await.unwrap();
        near.write_all(b"two").await.unwrap();
        far.write_all(b"back").await.unwrap();
        let mut read = [0; 6];
        near.read_exact(&mut read[..4]).await.unwrap();
        assert!(timeout(Duration::from_secs(5), far.read(&mut read)).await.is_err());
        two.net.mend(A, B);
        far.read_exact(&mut read).await.unwrap();
        assert_eq!(&read, b"onetwo");
    });
}

#[test]
fn a_writer_waits_when_nobody_reads() {
    run(|| async {
        let two = two();
        let (mut near, far, _listener) = joined(&two).await;
        let all = vec![7u8; WINDOW * 3];
        let writing = spawn_local(async move { near.write_all(&all).await.map(|()| near) });
        sleep(SOON).await;
        assert!(!writing.is_finished(), "more than the window was taken");
        let (reading, _writing) = far.into_halves();
        let (mut read, mut buffer) = (0, BytesMut::new());
        while read < WINDOW * 3 {
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
fn datagrams_come_late_or_not_at_all() {
    run(|| async {
        let two = two();
        let (from, to) = (SocketAddr::new(A, 9), SocketAddr::new(B, 9));
        let (near, far) = (two.a.datagrams(from).await.unwrap(), two.b.datagrams(to).await.unwrap());
        let begin = Instant::now();
        near.try_send_to(b"hello", to).unwrap();
        let mut buffer = [0; 3];
        assert_eq!(far.recv_from(&mut buffer).await.unwrap(), (3, from));
        assert!(begin.elapsed() >= Duration::from_millis(2));
        two.net.lose_datagrams(0.5);
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
fn the_digest_tells_any_difference_and_nothing_else() {
    let digest = |seed: u64, word: &'static [u8]| {
        run(move || async move {
            let net = Net::new(seed, Duration::from_secs(1000), Links::default());
            spawn_local(net.clone().deliver_packets());
            let two = Two { a: net.start_process(A, 0, "a"), b: net.start_process(B, 0, "b"), net };
            let (mut near, mut far, _listener) = joined(&two).await;
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
fn a_listener_that_two_processes_hold_outlives_either_and_gives_each_connection_to_one() {
    run(|| async {
        let two = two();
        let first = two.b.listen(AT).await.unwrap();
        let other = two.net.start_process(B, 0, "b again");
        assert!(other.listen(AT).await.is_err(), "bound a second time");
        let second = other.inherit(AT).unwrap();
        let _near = two.a.connect(AT).await.unwrap();
        let (_far, _) = second.accept().await.unwrap();
        assert!(timeout(SOON, first.accept()).await.is_err(), "accepted twice");
        // What waits when one lets go, or is killed, is the other's.
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
