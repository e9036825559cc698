//! Calls to the origin, told apart from the node that makes them.

use mothpier_host::SystemHost;
use mothpier_ops::OpsEndpoint;

use super::*;
use crate::command::{RequestIdGuard, RequestIds};
use crate::failing_host::{FailingHost, LOCAL_ERRORS, REMOTE_ERRORS};

/// Only what has hung waits for so long; nothing is measured by it.
const HUNG: Duration = Duration::from_secs(10);

/// There is no time that it could tell: the origin gets nothing of it, and the node is told so.
#[test]
fn a_call_without_time_left_is_not_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (events, mut inputs) = mpsc::channel(8);
        let figures = OpsEndpoint::new(["read"]).metrics.clone();
        let (idle, within) = (Duration::from_secs(60), Duration::from_secs(30));
        let mut origins = Origins::new(SystemHost { program: "test" }, idle, within, 8, figures, events);
        origins.listed(7, Some(address), true);
        let command = Command {
            name: "CACHE.SET".into(),
            key: "k".into(),
            id: "i".into(),
            extras: "c=read,d=9000".into(),
            value: Some("value".into()),
            write: true,
            _id_guard: RequestIdGuard::acquire(&RequestIds::default(), &"i".into()).unwrap(),
        };
        let extras = command.attempt_extras(Instant::now());
        let call = origins.call(7, 1, &command, extras, false).unwrap();
        let ended = match timeout(HUNG, inputs.recv()).await {
            Ok(Some(Input::Origin { attempt: 1, ended })) => ended,
            _ => panic!("something else"),
        };
        assert_eq!(ended.status, Status::NotSent);
        assert!(!call.give_up(), "said to have run");
    });
    let mut written = Vec::new();
    let (mut stream, _) = listener.accept().unwrap();
    std::io::Read::read_to_end(&mut stream, &mut written).unwrap();
    assert_eq!(written, b"");
}

/// Calls to an origin on a host where connections fail, and how the first of them ended.
async fn first_call(host: &FailingHost) -> (Origins<FailingHost>, mpsc::Receiver<Input>, Status) {
    let (events, mut inputs) = mpsc::channel(8);
    let figures = OpsEndpoint::new(["read"]).metrics.clone();
    let (idle, within) = (Duration::from_secs(60), Duration::from_secs(30));
    let mut origins = Origins::new(host.clone(), idle, within, 8, figures, events);
    origins.listed(7, Some("127.0.0.1:1".parse().unwrap()), true);
    assert!(origins.probe(7, 1).is_some());
    let status = ended(&mut inputs).await;
    (origins, inputs, status)
}

async fn ended(inputs: &mut mpsc::Receiver<Input>) -> Status {
    match timeout(HUNG, inputs.recv()).await {
        Ok(Some(Input::Origin { ended, .. })) => ended.status,
        _ => panic!("something else"),
    }
}

/// Runs a test on one thread with a clock that stands still unless it is moved.
fn with_paused_clock(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// What this machine lacks is no trouble of the origin's, and is not asked of the machine again at once.
#[test]
fn a_call_that_this_machine_cannot_make_is_told_as_a_local_failure() {
    with_paused_clock(async {
        for error in LOCAL_ERRORS {
            let host = FailingHost::failing_with(error);
            let (origins, mut inputs, status) = first_call(&host).await;
            assert_eq!(status, Status::LocalFailure, "error {error}");
            for attempt in 2..50 {
                origins.probe(7, attempt).unwrap();
                assert_eq!(ended(&mut inputs).await, Status::LocalFailure);
            }
            assert_eq!(host.connects.get(), 1, "tried again at once");
            tokio::time::advance(Duration::from_millis(10)).await;
            origins.probe(7, 50).unwrap();
            ended(&mut inputs).await;
            assert_eq!(host.connects.get(), 2);
            assert_eq!(host.log.borrow().len(), 1);
        }
    });
}

#[test]
fn a_call_that_fails_at_the_origin_or_on_the_way_to_it_is_not_connected() {
    with_paused_clock(async {
        for error in REMOTE_ERRORS {
            let (_, _, status) = first_call(&FailingHost::failing_with(error)).await;
            assert_eq!(status, Status::ConnectFailed, "error {error}");
        }
    });
}
