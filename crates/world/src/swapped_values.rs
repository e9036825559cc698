//! For the mutant that sends the value of another request to a client: keeps the value of the previous reply.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::BytesMut;
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;

/// The last value that a node sent to a client; clones share the same state.
#[derive(Clone, Default)]
pub struct LastValue(Rc<RefCell<Option<Vec<u8>>>>);

impl LastValue {
    /// Keeps a reply that holds one whole value; returns the previous one if it differs.
    pub fn replace(&self, answer: &[u8]) -> Option<Vec<u8>> {
        if !is_one_value(answer) {
            return None;
        }
        self.0.replace(Some(answer.to_vec())).filter(|before| before != answer)
    }
}

fn is_one_value(answer: &[u8]) -> bool {
    let mut rest = BytesMut::from(answer);
    let frame = resp::take_frame(&mut rest, resp::MAX_VALUE_BYTES);
    matches!(frame, Ok(Some(BytesFrame::BulkString(_)))) && rest.is_empty()
}
