//! Calls to the origin, told apart from the node that makes them.

use mothpier_host::Machine;
use mothpier_ops::Desk;

use super::*;
use crate::command::{Claim, Ids};

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
        let figures = Desk::new(["read"]).figures.clone();
        let (idle, within) = (Duration::from_secs(60), Duration::from_secs(30));
        let mut origins = Origins::new(Machine { program: "test" }, idle, within, 8, figures, events);
        origins.listed(7, Some(address), true);
        let command = Command {
            name: "CACHE.SET".into(),
            key: "k".into(),
            id: "i".into(),
            extras: "c=read,d=9000".into(),
            value: Some("value".into()),
            write: true,
            _claim: Claim::of(&Ids::default(), &"i".into()).unwrap(),
        };
        let extras = command.attempt_extras(Instant::now());
        let call = origins.call(7, 1, &command, extras).unwrap();
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
