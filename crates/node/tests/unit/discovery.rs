//! The watch on the list, told apart from the node.

use super::*;
use crate::failing_host::{EMFILE, FailingHost, LOCAL_ERRORS, REMOTE_ERRORS};

/// Only what has hung waits for so long; nothing is measured by it.
const HUNG: Duration = Duration::from_secs(10);

/// Starts a watch on a host whose connections fail, and lets it go on for a time.
async fn watch_for(host: &FailingHost, span: Duration) -> mpsc::Receiver<Input> {
    let (events, inputs) = mpsc::channel(64);
    let (_address, addresses) = watch::channel("127.0.0.1:1".parse().unwrap());
    let (_wanted, wanted) = watch::channel(Subscription { watch: true, requested_calls: 1 });
    let watch = run(host.clone(), DiscoveryKind::Agent, addresses, None, wanted, events);
    let _ = timeout(span, watch).await;
    inputs
}

/// Discovery has not been asked where this machine lacks something: it is said once, and tried again in a measured way.
#[tokio::test(start_paused = true)]
async fn a_watch_that_this_machine_cannot_open_is_tried_again_with_its_pause_and_blames_nobody() {
    for error in LOCAL_ERRORS {
        let host = FailingHost::failing_with(error);
        let mut inputs = watch_for(&host, Duration::from_secs(10)).await;
        assert!(inputs.try_recv().is_err(), "error {error} told as a failure of discovery's");
        let tries = host.connects.get();
        assert!((50..=101).contains(&tries), "{tries} tries in 10 s");
        let log = host.log.borrow();
        assert_eq!(log.len(), 1, "{log:?}");
        assert!(log[0].contains("this machine"), "{log:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_discovery_or_the_way_to_it_turns_down_is_told_as_failed() {
    for error in REMOTE_ERRORS {
        let host = FailingHost::failing_with(error);
        let mut inputs = watch_for(&host, Duration::from_secs(1)).await;
        assert!(matches!(inputs.try_recv(), Ok(Input::Discovery(Heard::Failed))), "error {error}");
        assert!(!host.log.borrow().iter().any(|line| line.contains("this machine")));
    }
}

/// A call that was asked for once is owed, also where there is no watch to go on with.
#[test]
fn a_call_for_the_whole_list_outlasts_a_shortage_of_this_machines() {
    let service = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = service.local_addr().unwrap();
    let host = FailingHost::failing_with(EMFILE);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (events, mut inputs) = mpsc::channel(8);
        let (_address, addresses) = watch::channel(address);
        let (_wanted, wanted) = watch::channel(Subscription { watch: false, requested_calls: 1 });
        tokio::task::spawn_local(run(host.clone(), DiscoveryKind::Service, addresses, None, wanted, events));
        while host.connects.get() < 2 {
            tokio::task::yield_now().await;
        }
        host.error.set(None);
        let answer = std::thread::spawn(move || {
            use std::io::{Read, Write};
            let mut stream = service.accept().unwrap().0;
            let mut asked = Vec::new();
            while !asked.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                asked.push(byte[0]);
            }
            let list = r#"{"revision":3,"complete":true,"members":[]}"#;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all([head.as_bytes(), list.as_bytes()].concat().as_slice()).unwrap();
            stream
        });
        let heard = timeout(HUNG, inputs.recv()).await;
        let Ok(Some(Input::Discovery(Heard::List(list)))) = heard else { panic!("no list") };
        assert_eq!(list.revision, 3);
        drop(answer.join());
    });
}

/// Reads the head of a call, and answers it.
async fn answer_call(stream: &mut tokio::net::TcpStream, status: &str, body: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes()).await.unwrap();
    String::from_utf8(head).unwrap()
}

/// A node that was held up takes back what it wants when it reads of the failure, after the next call has been answered;
/// it reads of that answer next, and takes itself for subscribed.
#[test]
fn a_failure_that_is_read_late_does_not_end_the_watch_that_went_on_after_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let service = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (host, address) = (FailingHost::failing_with(EMFILE), service.local_addr().unwrap());
        host.error.set(None);
        let (events, mut inputs) = mpsc::channel(8);
        let (_address, addresses) = watch::channel(address);
        let (wanted_by_node, wanted) = watch::channel(Subscription { watch: true, requested_calls: 1 });
        tokio::task::spawn_local(run(host, DiscoveryKind::Service, addresses, Some(2), wanted, events));
        let calls = async {
            let mut stream = service.accept().await.unwrap().0;
            answer_call(&mut stream, "503 Service Unavailable", "").await;
            let mut stream = service.accept().await.unwrap().0;
            answer_call(&mut stream, "200 OK", r#"{"revision":3,"complete":false,"members":[]}"#).await;
            assert!(matches!(inputs.recv().await, Some(Input::Discovery(Heard::Failed))));
            assert!(matches!(inputs.recv().await, Some(Input::Discovery(Heard::List(_)))));
            wanted_by_node.send_modify(|wanted| wanted.watch = false);
            answer_call(&mut stream, "200 OK", r#"{"revision":4,"complete":false,"members":[]}"#).await;
            answer_call(&mut stream, "200 OK", r#"{"revision":5,"complete":false,"members":[]}"#).await
        };
        let last = timeout(HUNG, calls).await.expect("the watch has ended");
        assert!(last.contains("after=4"), "{last}");
    });
}
