//! Restores the original time-outs of requests in a node's attempts, for the mutant `tells-all-time`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;

/// Positions of the request id and the extras among the words of a command.
const ID_WORD: usize = 2;
const EXTRAS_WORD: usize = 3;
/// Headers of an origin call that hold the request id and the extras.
const ID_HEADER: &str = "x-request-id";
const EXTRAS_HEADER: &str = "x-extras";

/// The time-out that each request came with, by request id; clones share the same state.
#[derive(Clone, Default)]
pub struct OriginalTimeOuts(Rc<RefCell<BTreeMap<String, String>>>);

impl OriginalTimeOuts {
    /// Takes complete commands from what was read from a client.
    pub fn record_commands(&self, received: &mut BytesMut) {
        while let Ok(Some(frame)) = resp::take_frame(received, resp::MAX_BUFFERED_VALUE_BYTES) {
            let Some(words) = words(frame) else { continue };
            if let (Some(id), Some(extras)) = (text(&words, ID_WORD), text(&words, EXTRAS_WORD))
                && let Some(time_out) = time_out_of(extras)
            {
                self.0.borrow_mut().insert(id.to_owned(), time_out.to_owned());
            }
        }
    }

    /// The bytes of an attempt with its original time-out; `None` for bytes that are no attempt.
    pub fn restore(&self, written: &[u8]) -> Option<Vec<u8>> {
        if written.starts_with(b"*") {
            self.restore_in_command(written)
        } else {
            self.restore_in_call(written)
        }
    }

    fn restore_in_command(&self, written: &[u8]) -> Option<Vec<u8>> {
        let mut rest = BytesMut::from(written);
        let mut words = words(resp::take_frame(&mut rest, resp::MAX_VALUE_BYTES).ok()??)?;
        let extras = self.extras_with_time_out(text(&words, ID_WORD)?, text(&words, EXTRAS_WORD)?)?;
        words[EXTRAS_WORD] = extras.into();
        Some([resp::encode_command(words).as_ref(), rest.as_ref()].concat())
    }

    fn restore_in_call(&self, written: &[u8]) -> Option<Vec<u8>> {
        let end = written.windows(4).position(|w| w == b"\r\n\r\n")?;
        let (head, rest) = (std::str::from_utf8(&written[..end]).ok()?, &written[end..]);
        let header = |wanted: &str| {
            let fields = head.lines().filter_map(|line| line.split_once(": "));
            fields.filter(|(name, _)| name.eq_ignore_ascii_case(wanted)).map(|(_, value)| value).next()
        };
        let extras = header(EXTRAS_HEADER)?;
        let head = head.replacen(extras, &self.extras_with_time_out(header(ID_HEADER)?, extras)?, 1);
        Some([head.as_bytes(), rest].concat())
    }

    /// The extras of an attempt with its original time-out.
    fn extras_with_time_out(&self, id: &str, extras: &str) -> Option<String> {
        let time_outs = self.0.borrow();
        let time_out = time_outs.get(id)?;
        let part = |part: &str| match part.split_once('=') {
            Some(("d", _)) => format!("d={time_out}"),
            _ => part.to_owned(),
        };
        Some(extras.split(',').map(part).collect::<Vec<_>>().join(","))
    }
}

fn words(frame: BytesFrame) -> Option<Vec<Bytes>> {
    let BytesFrame::Array(parts) = frame else { return None };
    let word = |part| match part {
        BytesFrame::BulkString(word) => Some(word),
        _ => None,
    };
    parts.into_iter().map(word).collect()
}

fn text(words: &[Bytes], at: usize) -> Option<&str> {
    std::str::from_utf8(words.get(at)?).ok()
}

/// The time-out among the extras.
fn time_out_of(extras: &str) -> Option<&str> {
    extras
        .split(',')
        .filter_map(|part| part.split_once('='))
        .find(|(name, _)| *name == "d")
        .map(|(_, time)| time)
}
