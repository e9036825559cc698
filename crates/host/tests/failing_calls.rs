//! The system's sockets in a process whose calls fail from time to time.

mod interposed;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use interposed::run_with_failing_calls;
use mothpier_host::{Datagrams, Host, Listener, Reading, Stream, SystemHost};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::timeout;

const HOST: SystemHost = SystemHost { program: "test" };
/// Only a test that hangs takes this long.
const HUNG: Duration = Duration::from_secs(20);
/// The number and size of the pieces sent over each connection: more in total than the socket buffers hold.
const PIECES: usize = 200;
const PIECE: usize = 30_000;

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Runs a test on a runtime like the node's, with a time-out.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(HUNG, test).await.expect("the test hangs") });
}

/// Reads to the end as client sessions do, and returns the number of bytes.
async fn drain(reading: impl Reading) -> usize {
    let mut read = 0;
    loop {
        reading.readable().await.unwrap();
        let mut buffer = BytesMut::with_capacity(4096);
        match reading.try_read_buf(&mut buffer) {
            Ok(0) => return read,
            Ok(length) => read += length,
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock),
        }
    }
}

#[test]
#[ignore = "run by the tests below, in a process whose calls fail"]
fn a_connection_carries_all_that_is_sent() {
    run(async {
        let listener = HOST.listen(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let (reading, mut writing) = stream.into_halves();
            assert_eq!(drain(reading).await, PIECES * PIECE);
            for _ in 0..PIECES {
                writing.write_all(&[1; PIECE]).await.unwrap();
            }
            writing.shutdown().await.unwrap();
        });
        // Unsplit, as hyper uses it.
        let mut stream = HOST.connect(address).await.unwrap();
        for _ in 0..PIECES {
            stream.write_all(&[2; PIECE]).await.unwrap();
        }
        stream.shutdown().await.unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.unwrap();
        assert_eq!(received.len(), PIECES * PIECE);
        server.await.unwrap();
    });
}

#[test]
#[ignore = "run by the tests below, in a process whose calls fail"]
fn datagrams_arrive() {
    run(async {
        // The address is determined beforehand: getsockname is not called later in this process.
        let receiver = std::net::UdpSocket::bind(any_port()).unwrap();
        let address = receiver.local_addr().unwrap();
        drop(receiver);
        let receiver = HOST.datagrams(address).await.unwrap();
        let sender = HOST.datagrams(any_port()).await.unwrap();
        for number in 0..50 {
            // Retries until the runtime has seen that the socket is writable.
            while let Err(e) = sender.try_send_to(&[number], address) {
                assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock);
                yield_now().await;
            }
            let mut buffer = [0; 8];
            let (length, _) = receiver.recv_from(&mut buffer).await.unwrap();
            assert_eq!(&buffer[..length], [number]);
        }
    });
}

#[test]
fn a_connection_outlives_interrupted_reads_and_writes() {
    let test = "a_connection_carries_all_that_is_sent";
    run_with_failing_calls(test, "recv:4:2,read:4:2,readv:4:2,send:4:2,write:4:2,writev:4:2,sendmsg:4:2");
}

#[test]
fn an_interrupted_connect_accept_or_shutdown_is_retried() {
    let test = "a_connection_carries_all_that_is_sent";
    for call in ["connect", "accept4", "shutdown", "getsockname"] {
        run_with_failing_calls(test, &format!("{call}:{}:1:2", libc::EINTR));
    }
}

#[test]
fn a_connection_without_nodelay_is_used() {
    let test = "a_connection_carries_all_that_is_sent";
    // The first setsockopt call sets SO_REUSEADDR on the listener.
    run_with_failing_calls(test, &format!("setsockopt:{}:2", libc::ENOBUFS));
}

#[test]
fn interrupted_datagrams_are_sent_and_received() {
    run_with_failing_calls("datagrams_arrive", "recvfrom:4:2,sendto:4:2,recvmsg:4:2,sendmsg:4:2");
}
