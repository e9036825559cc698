//! For the mutant that gives a client the value of another request: the value that was given before.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::BytesMut;
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;

/// The value that a node gave to a client last; a clone is the same place.
#[derive(Clone, Default)]
pub struct LastValue(Rc<RefCell<Option<Vec<u8>>>>);

impl LastValue {
    /// Keeps an answer that holds one whole value; what was kept before where that is another one.
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
