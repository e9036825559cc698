//! What the answer to a fence shows, told from bytes alone.

use std::time::Duration;

use super::*;
use crate::command::AttemptId;
use crate::servers::line::Sent;
use crate::servers::tests::read_until;

const VALUE: &str = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
const PONG: &str = "+PONG\r\n";

/// A read that has been written, with so many fences behind it.
fn sent(attempt: AttemptId, fences: usize) -> Sent {
    let command = read_until(attempt, Instant::now() + Duration::from_secs(9));
    Sent { command, written: Instant::now(), given_up: false, fences }
}

/// A line with reads that have so many fences behind them each.
fn line(fences: &[usize]) -> Line {
    let mut line = Line::default();
    line.sent.extend(fences.iter().zip(1..).map(|(fences, attempt)| sent(attempt, *fences)));
    line
}

/// What some frames show that came behind the first answer.
fn shown(fences: &[usize], frames: &[&str]) -> Order {
    order(&line(fences), frames.concat().as_bytes())
}

#[test]
fn a_fence_in_its_place_shows_that_all_answers_before_it_are_in_order() {
    assert_eq!(shown(&[1], &[PONG]), Order::Kept { answers: 0 });
    assert_eq!(shown(&[0, 0, 1, 0], &[VALUE, VALUE, PONG]), Order::Kept { answers: 2 });
    assert_eq!(shown(&[0, 1], &["-BUSY\r\n", PONG, VALUE]), Order::Kept { answers: 1 });
    assert_eq!(shown(&[0, 1], &["-ERR failed\r\n", PONG]), Order::Kept { answers: 1 });
}

/// The protocol page has it that a cache server answers with an error what is neither a read nor a write.
#[test]
fn any_answer_that_is_neither_a_reads_nor_a_writes_is_a_fences() {
    for answer in [PONG, "-ERR unknown command\r\n", "$4\r\nPING\r\n"] {
        assert_eq!(shown(&[1], &[answer]), Order::Kept { answers: 0 }, "{answer}");
    }
    for answer in [VALUE, "-ERR failed\r\n", "-BUSY\r\n", "-BUSY 20\r\n"] {
        assert_eq!(shown(&[1], &[answer]), Order::Broken, "{answer}");
    }
}

#[test]
fn an_answer_too_many_is_found_before_the_fence_or_without_one() {
    assert_eq!(shown(&[1], &[VALUE, PONG]), Order::Broken);
    assert_eq!(shown(&[0, 1], &[VALUE, VALUE, PONG]), Order::Broken);
    assert_eq!(shown(&[0], &[VALUE]), Order::Broken, "not written yet");
    assert_eq!(shown(&[0, 0], &[VALUE, VALUE]), Order::Broken, "not written yet");
}

/// An error would pass for the answer to a command, were it not that of an earlier fence.
#[test]
fn a_repeat_of_an_earlier_fences_answer_is_no_commands() {
    const ERROR: &str = "-ERR unknown command\r\n";
    let mut line = line(&[0, 2]);
    assert_eq!(order(&line, [ERROR, ERROR, ERROR].concat().as_bytes()), Order::Kept { answers: 1 });
    assert!(line.fences.take(ERROR.into()));
    assert_eq!(order(&line, [ERROR, ERROR, ERROR].concat().as_bytes()), Order::Broken);
    assert_eq!(order(&line, [VALUE, ERROR, ERROR].concat().as_bytes()), Order::Kept { answers: 1 });
}

/// A server that answers a fence ahead of its turn, or an earlier one again, shows nothing by it.
#[test]
fn a_fence_before_its_turn_is_no_proof() {
    assert_eq!(shown(&[0, 1], &[PONG]), Order::Broken);
    assert_eq!(shown(&[0, 1], &[PONG, VALUE]), Order::Broken);
    // Two were written, for one may be the repeat of an earlier one's answer.
    assert_eq!(shown(&[2], &[PONG]), Order::Unknown);
    assert_eq!(shown(&[2], &[PONG, VALUE, PONG, PONG]), Order::Broken);
    assert_eq!(shown(&[2], &[PONG, PONG]), Order::Kept { answers: 0 });
}

#[test]
fn what_has_not_all_come_shows_nothing_yet() {
    let frames = [VALUE, PONG].concat();
    for cut in 0..frames.len() {
        let order = order(&line(&[0, 1]), &frames.as_bytes()[..cut]);
        assert_eq!(order, Order::Unknown, "{cut}");
    }
    assert_eq!(shown(&[0], &[]), Order::Unknown);
    let large = format!("*3\r\n${}\r\n", resp::MAX_BUFFERED_VALUE_BYTES + 1);
    assert_eq!(shown(&[0, 1], &[&large]), Order::Unreadable);
}

/// As many as may be repeated are written, and one more, up to a bound.
#[test]
fn a_fence_is_written_again_for_each_answer_that_may_be_repeated() {
    const MOST: usize = 4;
    let mut line = line(&[0]);
    let written = |line: &mut Line| {
        line.want_fence(MOST);
        let wanted = line.fences.wanted;
        line.fences_written(wanted);
        assert!(line.has_fence());
        wanted
    };
    assert_eq!(written(&mut line), 1);
    assert_eq!(written(&mut line), 2);
    assert_eq!(written(&mut line), MOST);
    assert!(line.take_answered().is_some());
    assert!(!line.has_fence());
    assert_eq!((line.fences.due, line.repeatable_fences()), (7, 7));
    for _ in 0..7 {
        assert!(line.fences.take(PONG.into()));
    }
    assert!(!line.fences.take(VALUE.into()));
    assert_eq!((line.fences.due, line.repeatable_fences()), (0, 7));
    let long_ago = |at: &mut Instant| *at -= LATEST_REPEAT;
    line.fences.answered.iter_mut().for_each(long_ago);
    assert_eq!(line.repeatable_fences(), 0);
    assert_eq!(line.fences.repeated([PONG, VALUE].concat().as_bytes()), Some(PONG.len()));
    assert_eq!(line.fences.repeated(VALUE.as_bytes()), None);
}

/// What stands between an answer and its fence is shown to be in order with it, and nothing behind that.
#[test]
fn as_many_answers_are_in_order_as_were_shown_to_be() {
    let mut line = line(&[0, 1, 0]);
    line.in_order = 2;
    for left in [1, 0, 0] {
        assert!(line.take_answered().is_some());
        assert_eq!(line.in_order, left);
    }
    assert_eq!(line.fences.due, 1);
    line.fences_written(2);
    assert_eq!(line.fences.due, 3, "behind nothing that waits");
}
