//! What clients tell of their time, put back into the attempts of a node: the bytes behind the mutant `tells-all-time`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;

/// The words of a command before its value: its name, its key, its id and its extras.
const ID: usize = 2;
const EXTRAS: usize = 3;
/// The headers of a call that hold its id and its extras.
const ID_HEADER: &str = "x-request-id";
const EXTRAS_HEADER: &str = "x-extras";

/// The time that each request came with, by its id. A clone is the same.
#[derive(Clone, Default)]
pub struct TimesAsTheyCame(Rc<RefCell<BTreeMap<String, String>>>);

impl TimesAsTheyCame {
    /// Takes the commands that are whole off what has come from a client.
    pub fn heard(&self, come: &mut BytesMut) {
        while let Ok(Some(frame)) = resp::take_frame(come, resp::MAX_BUFFERED_VALUE_BYTES) {
            let Some(words) = words(frame) else { continue };
            if let (Some(id), Some(extras)) = (text(&words, ID), text(&words, EXTRAS))
                && let Some(time) = time_of(extras)
            {
                self.0.borrow_mut().insert(id.to_owned(), time.to_owned());
            }
        }
    }

    /// The bytes of an attempt with the time that its request came with; `None` for what is no attempt.
    pub fn put_back(&self, written: &[u8]) -> Option<Vec<u8>> {
        if written.starts_with(b"*") {
            self.put_back_in_command(written)
        } else {
            self.put_back_in_call(written)
        }
    }

    fn put_back_in_command(&self, written: &[u8]) -> Option<Vec<u8>> {
        let mut rest = BytesMut::from(written);
        let mut words = words(resp::take_frame(&mut rest, resp::MAX_VALUE_BYTES).ok()??)?;
        let extras = self.extras(text(&words, ID)?, text(&words, EXTRAS)?)?;
        words[EXTRAS] = extras.into();
        Some([resp::encode_command(words).as_ref(), rest.as_ref()].concat())
    }

    fn put_back_in_call(&self, written: &[u8]) -> Option<Vec<u8>> {
        let end = written.windows(4).position(|w| w == b"\r\n\r\n")?;
        let (head, rest) = (std::str::from_utf8(&written[..end]).ok()?, &written[end..]);
        let header = |wanted: &str| {
            let fields = head.lines().filter_map(|line| line.split_once(": "));
            fields.filter(|(name, _)| name.eq_ignore_ascii_case(wanted)).map(|(_, value)| value).next()
        };
        let extras = header(EXTRAS_HEADER)?;
        let head = head.replacen(extras, &self.extras(header(ID_HEADER)?, extras)?, 1);
        Some([head.as_bytes(), rest].concat())
    }

    /// The extras of an attempt with the time that its request came with.
    fn extras(&self, id: &str, extras: &str) -> Option<String> {
        let times = self.0.borrow();
        let time = times.get(id)?;
        let part = |part: &str| match part.split_once('=') {
            Some(("d", _)) => format!("d={time}"),
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

/// The time among the extras.
fn time_of(extras: &str) -> Option<&str> {
    extras
        .split(',')
        .filter_map(|part| part.split_once('='))
        .find(|(name, _)| *name == "d")
        .map(|(_, time)| time)
}
