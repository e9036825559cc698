//! Replies that wait for their turn, without a connection.

use std::sync::Arc;

use mothpier_ops::Metrics;

use super::*;
use crate::command::REFUSED_RETRY_AFTER_MS;

const READ: usize = 0;
const WRITE: usize = 1;

fn metrics() -> Arc<Metrics> {
    Arc::new(Metrics::new(["read", "write"]))
}

#[test]
fn refusals_in_a_row_share_an_entry_and_each_gets_its_reply() {
    let metrics = metrics();
    let mut entry = PendingReply::refusal(metrics.request_started(READ));
    for class in [WRITE, READ, WRITE] {
        assert!(entry.add_refusal(metrics.request_started(class)).is_ok());
    }
    assert!(matches!(&entry.state, ReplyState::Refusals(tickets) if tickets.len() == 2));
    assert_eq!(entry.ready_bytes(), Some(4 * REFUSAL.len()));
    let one = resp::encode_error(&format!("BUSY {REFUSED_RETRY_AFTER_MS}"));
    assert_eq!(entry.take_bytes(), one.repeat(4));
    assert_eq!(metrics.in_flight(), 4);
    assert_eq!(entry.count_end(), 4);
    assert_eq!(metrics.in_flight(), 0);
    let text = metrics.to_text();
    for class in ["read", "write"] {
        assert!(text.contains(&format!("refused_total{{class=\"{class}\"}} 2\n")), "{text}");
    }
}

#[test]
fn an_entry_takes_a_bounded_number_of_refusals_and_no_other_reply_takes_any() {
    let metrics = metrics();
    let mut entry = PendingReply::refusal(metrics.request_started(READ));
    for _ in 1..MAX_REFUSALS_PER_ENTRY {
        assert!(entry.add_refusal(metrics.request_started(READ)).is_ok());
    }
    assert!(entry.add_refusal(metrics.request_started(READ)).is_err());
    let mut other = PendingReply::ready(Bytes::new(), None);
    assert!(other.add_refusal(metrics.request_started(READ)).is_err());
}
