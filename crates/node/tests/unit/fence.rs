//! What the reply to a fence proves, determined from bytes alone.

use std::time::Duration;

use super::*;
use crate::command::AttemptId;
use crate::servers::pipeline::InFlightCommand;
use crate::servers::tests::read_until;

const VALUE: &str = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
const PONG: &str = "+PONG\r\n";

/// A read in flight, with this many fences behind it.
fn in_flight(attempt: AttemptId, fences: usize) -> InFlightCommand {
    let command = read_until(attempt, Instant::now() + Duration::from_secs(9));
    InFlightCommand { command, written_at: Instant::now(), given_up: false, fences_behind: fences }
}

/// A pipeline of reads, each with this many fences behind it.
fn pipeline(fences: &[usize]) -> Pipeline {
    let mut pipeline = Pipeline::default();
    pipeline.in_flight.extend(fences.iter().zip(1..).map(|(fences, attempt)| in_flight(attempt, *fences)));
    pipeline
}

/// What these frames behind the first response prove.
fn check(fences: &[usize], frames: &[&str]) -> OrderCheck {
    check_order(&pipeline(fences), frames.concat().as_bytes())
}

#[test]
fn fence_reply_in_place_proves_order_of_responses_before_it() {
    assert_eq!(check(&[1], &[PONG]), OrderCheck::InOrder { responses: 0 });
    assert_eq!(check(&[0, 0, 1, 0], &[VALUE, VALUE, PONG]), OrderCheck::InOrder { responses: 2 });
    assert_eq!(check(&[0, 1], &["-BUSY\r\n", PONG, VALUE]), OrderCheck::InOrder { responses: 1 });
    assert_eq!(check(&[0, 1], &["-ERR failed\r\n", PONG]), OrderCheck::InOrder { responses: 1 });
}

/// By the protocol, a cache server answers anything but reads and writes with an error.
#[test]
fn any_other_reply_is_a_fence_reply() {
    for reply in [PONG, "-ERR unknown command\r\n", "$4\r\nPING\r\n"] {
        assert_eq!(check(&[1], &[reply]), OrderCheck::InOrder { responses: 0 }, "{reply}");
    }
    for reply in [VALUE, "-ERR failed\r\n", "-BUSY\r\n", "-BUSY 20\r\n"] {
        assert_eq!(check(&[1], &[reply]), OrderCheck::DuplicateFound, "{reply}");
    }
}

#[test]
fn extra_response_is_found_with_or_without_a_fence() {
    assert_eq!(check(&[1], &[VALUE, PONG]), OrderCheck::DuplicateFound);
    assert_eq!(check(&[0, 1], &[VALUE, VALUE, PONG]), OrderCheck::DuplicateFound);
    assert_eq!(check(&[0], &[VALUE]), OrderCheck::DuplicateFound, "not written yet");
    assert_eq!(check(&[0, 0], &[VALUE, VALUE]), OrderCheck::DuplicateFound, "not written yet");
}

/// An error would be taken for the response to a command, were it not the reply to an earlier fence.
#[test]
fn duplicate_fence_reply_is_no_response() {
    const ERROR: &str = "-ERR unknown command\r\n";
    let mut pipeline = pipeline(&[0, 2]);
    assert_eq!(
        check_order(&pipeline, [ERROR, ERROR, ERROR].concat().as_bytes()),
        OrderCheck::InOrder { responses: 1 }
    );
    assert!(pipeline.fences.accept_reply(ERROR.into()));
    assert_eq!(check_order(&pipeline, [ERROR, ERROR, ERROR].concat().as_bytes()), OrderCheck::DuplicateFound);
    assert_eq!(
        check_order(&pipeline, [VALUE, ERROR, ERROR].concat().as_bytes()),
        OrderCheck::InOrder { responses: 1 }
    );
}

/// A fence reply that comes too early, or is a duplicate of an earlier one, proves nothing.
#[test]
fn early_fence_reply_proves_nothing() {
    assert_eq!(check(&[0, 1], &[PONG]), OrderCheck::DuplicateFound);
    assert_eq!(check(&[0, 1], &[PONG, VALUE]), OrderCheck::DuplicateFound);
    // Two fences were written because one reply may be a duplicate of an earlier one.
    assert_eq!(check(&[2], &[PONG]), OrderCheck::Unknown);
    assert_eq!(check(&[2], &[PONG, VALUE, PONG, PONG]), OrderCheck::DuplicateFound);
    assert_eq!(check(&[2], &[PONG, PONG]), OrderCheck::InOrder { responses: 0 });
}

#[test]
fn incomplete_input_proves_nothing() {
    let frames = [VALUE, PONG].concat();
    for cut in 0..frames.len() {
        let order = check_order(&pipeline(&[0, 1]), &frames.as_bytes()[..cut]);
        assert_eq!(order, OrderCheck::Unknown, "{cut}");
    }
    assert_eq!(check(&[0], &[]), OrderCheck::Unknown);
    let large = format!("*3\r\n${}\r\n", resp::MAX_BUFFERED_VALUE_BYTES + 1);
    assert_eq!(check(&[0, 1], &[&large]), OrderCheck::Unreadable);
}

/// As many fences are written as replies may be duplicated, plus one, up to a limit.
#[test]
fn enough_fences_are_written_for_duplicable_replies() {
    const LIMIT: usize = 4;
    let mut pipeline = pipeline(&[0]);
    let write_fences = |pipeline: &mut Pipeline| {
        pipeline.request_fences(LIMIT);
        let requested = pipeline.fences.requested;
        pipeline.record_fences_written(requested);
        assert!(pipeline.has_pending_fence());
        requested
    };
    assert_eq!(write_fences(&mut pipeline), 1);
    assert_eq!(write_fences(&mut pipeline), 2);
    assert_eq!(write_fences(&mut pipeline), LIMIT);
    assert!(pipeline.pop_answered().is_some());
    assert!(!pipeline.has_pending_fence());
    assert_eq!((pipeline.fences.awaited, pipeline.duplicable_fences()), (7, 7));
    for _ in 0..7 {
        assert!(pipeline.fences.accept_reply(PONG.into()));
    }
    assert!(!pipeline.fences.accept_reply(VALUE.into()));
    assert_eq!((pipeline.fences.awaited, pipeline.duplicable_fences()), (0, 7));
    let long_ago = |at: &mut Instant| *at -= MAX_DUPLICATE_DELAY;
    pipeline.fences.replied_at.iter_mut().for_each(long_ago);
    assert_eq!(pipeline.duplicable_fences(), 0);
    assert_eq!(pipeline.fences.duplicate_length([PONG, VALUE].concat().as_bytes()), Some(PONG.len()));
    assert_eq!(pipeline.fences.duplicate_length(VALUE.as_bytes()), None);
}

/// The responses between a response and its fence are proved to be in order, and none behind the fence.
#[test]
fn only_proved_responses_count_as_in_order() {
    let mut pipeline = pipeline(&[0, 1, 0]);
    pipeline.confirmed_in_order = 2;
    for remaining in [1, 0, 0] {
        assert!(pipeline.pop_answered().is_some());
        assert_eq!(pipeline.confirmed_in_order, remaining);
    }
    assert_eq!(pipeline.fences.awaited, 1);
    pipeline.record_fences_written(2);
    assert_eq!(pipeline.fences.awaited, 3, "behind no command in flight");
}
