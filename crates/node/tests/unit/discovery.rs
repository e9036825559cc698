//! Tests of the discovery client without a node.

use super::*;
use crate::failing_host::{EMFILE, FailingHost, LOCAL_ERRORS, REMOTE_ERRORS};

/// Time limit that only a hanging test reaches.
const HANG_LIMIT: Duration = Duration::from_secs(10);

/// Runs a watch for a while on a host whose connections fail.
async fn watch_for(host: &FailingHost, duration: Duration) -> mpsc::Receiver<Input> {
    let (events, inputs) = mpsc::channel(64);
    let (_address, addresses) = watch::channel("127.0.0.1:1".parse().unwrap());
    let (_subscription, subscriptions) = watch::channel(Subscription { watch: true, requested_calls: 1 });
    let watch = run(host.clone(), DiscoveryKind::Agent, addresses, None, subscriptions, events);
    let _ = timeout(duration, watch).await;
    inputs
}

/// A failure on this machine is no failure of discovery: it is logged once, and the call is retried at a
/// limited rate.
#[tokio::test(start_paused = true)]
async fn local_connect_failures_are_retried_and_not_reported() {
    for error in LOCAL_ERRORS {
        let host = FailingHost::failing_with(error);
        let mut inputs = watch_for(&host, Duration::from_secs(10)).await;
        assert!(inputs.try_recv().is_err(), "error {error} reported as a failure of discovery");
        let tries = host.connects.get();
        assert!((50..=101).contains(&tries), "{tries} tries in 10 s");
        let log = host.log.borrow();
        assert_eq!(log.len(), 1, "{log:?}");
        assert!(log[0].contains("this machine"), "{log:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn remote_connect_failures_are_reported() {
    for error in REMOTE_ERRORS {
        let host = FailingHost::failing_with(error);
        let mut inputs = watch_for(&host, Duration::from_secs(1)).await;
        assert!(matches!(inputs.try_recv(), Ok(Input::Discovery(DiscoveryEvent::Failed))), "error {error}");
        assert!(!host.log.borrow().iter().any(|line| line.contains("this machine")));
    }
}

/// A requested call must be made even if there is no watch to continue.
#[test]
fn full_list_call_survives_a_local_shortage() {
    let service = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = service.local_addr().unwrap();
    let host = FailingHost::failing_with(EMFILE);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (events, mut inputs) = mpsc::channel(8);
        let (_address, addresses) = watch::channel(address);
        let (_subscription, subscriptions) =
            watch::channel(Subscription { watch: false, requested_calls: 1 });
        tokio::task::spawn_local(run(
            host.clone(),
            DiscoveryKind::Service,
            addresses,
            None,
            subscriptions,
            events,
        ));
        while host.connects.get() < 2 {
            tokio::task::yield_now().await;
        }
        host.error.set(None);
        let server_thread = std::thread::spawn(move || {
            use std::io::{Read, Write};
            let mut stream = service.accept().unwrap().0;
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                request.push(byte[0]);
            }
            let list = r#"{"revision":3,"complete":true,"members":[]}"#;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all([head.as_bytes(), list.as_bytes()].concat().as_slice()).unwrap();
            stream
        });
        let input = timeout(HANG_LIMIT, inputs.recv()).await;
        let Ok(Some(Input::Discovery(DiscoveryEvent::List(list)))) = input else { panic!("no list") };
        assert_eq!(list.revision, 3);
        drop(server_thread.join());
    });
}

/// Reads the head of a request and answers it.
async fn answer_call(stream: &mut tokio::net::TcpStream, status: &str, body: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).await.unwrap();
    String::from_utf8(head).unwrap()
}

/// A delayed node withdraws the subscription when it reads of the failure, although the next call has already
/// been answered; it then reads that answer and considers itself subscribed.
#[test]
fn late_read_failure_does_not_end_a_resumed_watch() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let service = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (host, address) = (FailingHost::failing_with(EMFILE), service.local_addr().unwrap());
        host.error.set(None);
        let (events, mut inputs) = mpsc::channel(8);
        let (_address, addresses) = watch::channel(address);
        let (subscription_of_node, subscriptions) =
            watch::channel(Subscription { watch: true, requested_calls: 1 });
        tokio::task::spawn_local(run(
            host,
            DiscoveryKind::Service,
            addresses,
            Some(2),
            subscriptions,
            events,
        ));
        let calls = async {
            let mut stream = service.accept().await.unwrap().0;
            answer_call(&mut stream, "503 Service Unavailable", "").await;
            let mut stream = service.accept().await.unwrap().0;
            answer_call(&mut stream, "200 OK", r#"{"revision":3,"complete":false,"members":[]}"#).await;
            assert!(matches!(inputs.recv().await, Some(Input::Discovery(DiscoveryEvent::Failed))));
            assert!(matches!(inputs.recv().await, Some(Input::Discovery(DiscoveryEvent::List(_)))));
            subscription_of_node.send_modify(|subscriptions| subscriptions.watch = false);
            answer_call(&mut stream, "200 OK", r#"{"revision":4,"complete":false,"members":[]}"#).await;
            answer_call(&mut stream, "200 OK", r#"{"revision":5,"complete":false,"members":[]}"#).await
        };
        let last = timeout(HANG_LIMIT, calls).await.expect("the watch has ended");
        assert!(last.contains("after=4"), "{last}");
    });
}
