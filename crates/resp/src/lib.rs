//! Reading and writing RESP2 frames. `redis_protocol` decodes; the scan before it bounds what it is given.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use redis_protocol::resp2::{decode, encode};

/// The largest value of a key, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// A value up to this size is buffered whole; a larger one is streamed.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The longest simple string or error line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// The longest number in a header, in bytes, with its end of line.
const MAX_NUMBER_BYTES: usize = 12;
/// The end of a line and of a value.
pub const END_OF_LINE: &[u8] = b"\r\n";
/// A frame of up to this many bytes is copied off its buffer. A slice would keep the whole buffer alive.
const MAX_COPIED_FRAME_BYTES: usize = 4096;
/// The most elements of one frame, nested ones included: also bounds the recursion of the decoder.
const MAX_ELEMENTS: usize = 32;

/// Why bytes can't be the beginning of a frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Takes the first complete frame off a buffer; `None` while it is incomplete. Values may have `max_value` bytes.
///
/// # Errors
/// The frame can't be read.
pub fn take_frame(buffer: &mut BytesMut, max_value: usize) -> Result<Option<BytesFrame>, Malformed> {
    let Some(bytes) = take_bytes(buffer, max_value)? else { return Ok(None) };
    match decode::decode_bytes(&bytes) {
        Ok(Some((frame, used))) if used == bytes.len() => Ok(Some(frame)),
        _ => Err(Malformed("unreadable frame")),
    }
}

/// As [`take_frame`], but returns the frame's bytes without decoding them.
///
/// # Errors
/// The frame's extent can't be determined.
pub fn take_bytes(buffer: &mut BytesMut, max_value: usize) -> Result<Option<Bytes>, Malformed> {
    let length = first_frame(buffer, max_value)?.map(<[u8]>::len);
    Ok(length.map(|length| {
        if length > MAX_COPIED_FRAME_BYTES {
            return buffer.split_to(length).freeze();
        }
        let frame = Bytes::copy_from_slice(&buffer[..length]);
        buffer.advance(length);
        frame
    }))
}

/// The bytes of the first complete frame; `None` while it is incomplete. Values may have `max_value` bytes.
///
/// # Errors
/// The frame's extent can't be determined.
pub fn first_frame(bytes: &[u8], max_value: usize) -> Result<Option<&[u8]>, Malformed> {
    match frame_extent(bytes, max_value)? {
        FrameExtent::Complete(end) => Ok(Some(&bytes[..end])),
        FrameExtent::Unknown | FrameExtent::InValue { .. } => Ok(None),
    }
}

/// How far the first frame of a buffer extends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameExtent {
    /// The frame is complete and has this length.
    Complete(usize),
    /// A header, of an element or of the frame, is incomplete.
    Unknown,
    /// The buffer ends inside a value.
    InValue {
        /// The offset of the value's header.
        header: usize,
        /// The offset of the end of this value.
        end: usize,
        /// Whether the value is the frame's last element.
        last: bool,
    },
}

/// Finds the extent of the first frame. Walks headers only, so that a value that arrives in many parts is not decoded
/// again with each, and rejects what is too large or too deep before any memory is allocated for it.
pub fn frame_extent(bytes: &[u8], max_value: usize) -> Result<FrameExtent, Malformed> {
    let (mut offset, mut elements_left, mut elements_seen) = (0, 1usize, 0usize);
    while elements_left > 0 {
        elements_left -= 1;
        elements_seen += 1;
        let header = offset;
        let Some(kind) = bytes.get(offset) else { return Ok(FrameExtent::Unknown) };
        let limit = match kind {
            b'$' | b'*' => MAX_NUMBER_BYTES,
            b':' => MAX_NUMBER_BYTES * 2,
            b'+' | b'-' => MAX_LINE_BYTES,
            _ => return Err(Malformed("unknown frame type")),
        };
        let line = &bytes[offset + 1..bytes.len().min(offset + 1 + limit)];
        let Some(length) = line.iter().position(|b| *b == b'\n') else {
            return if line.len() == limit {
                Err(Malformed("line too long"))
            } else {
                Ok(FrameExtent::Unknown)
            };
        };
        let Some(text) = line[..length].strip_suffix(b"\r") else { return Err(Malformed("bad end of line")) };
        offset += 2 + length;
        if !matches!(kind, b'$' | b'*') || text == b"-1" {
            continue;
        }
        let number = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let number: usize = number.and_then(|t| t.parse().ok()).ok_or(Malformed("bad length"))?;
        if *kind == b'*' {
            if number > MAX_ELEMENTS || elements_seen + elements_left + number > MAX_ELEMENTS {
                return Err(Malformed("too many elements"));
            }
            elements_left += number;
            continue;
        }
        if number > max_value {
            return Err(Malformed("value too large"));
        }
        offset += number + 2;
        match bytes.get(offset - 2..offset) {
            None => return Ok(FrameExtent::InValue { header, end: offset, last: elements_left == 0 }),
            Some(b"\r\n") => {}
            Some(_) => return Err(Malformed("bad end of value")),
        }
    }
    Ok(FrameExtent::Complete(offset))
}

/// The header of a large value at the beginning of a cache server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeValue {
    /// The bytes before the value.
    pub header_length: usize,
    /// The length of the value in bytes.
    pub length: usize,
}

/// The header of a value too large to be buffered whole, where a buffer begins with an array with such a first element.
pub fn large_value_header(buffer: &[u8]) -> Option<LargeValue> {
    let rest = buffer.strip_prefix(b"*3\r\n")?;
    let line = rest.strip_prefix(b"$")?.get(..MAX_NUMBER_BYTES.min(rest.len() - 1))?;
    let digits = line.iter().position(|b| *b == b'\r').filter(|end| line.get(end + 1) == Some(&b'\n'))?;
    let text = std::str::from_utf8(&line[..digits]).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?;
    let length =
        text.parse().ok().filter(|n| (MAX_BUFFERED_VALUE_BYTES + 1..=MAX_VALUE_BYTES).contains(n))?;
    Some(LargeValue { header_length: 4 + 1 + digits + 2, length })
}

/// The header of a value; its bytes and an end of line follow.
pub fn value_header(length: usize) -> Bytes {
    format!("${length}\r\n").into()
}

/// Takes the end of line that closes a value off a buffer; `None` while it is incomplete.
pub fn take_line_end(buffer: &mut BytesMut) -> Result<Option<()>, Malformed> {
    if buffer.len() < END_OF_LINE.len() {
        return Ok(None);
    }
    match &buffer.split_to(END_OF_LINE.len())[..] {
        END_OF_LINE => Ok(Some(())),
        _ => Err(Malformed("bad end of value")),
    }
}

/// Serializes a value into a buffer of exactly its size.
pub fn encode_value(value: &[u8]) -> Bytes {
    let header = value_header(value.len());
    let mut out = BytesMut::with_capacity(header.len() + value.len() + END_OF_LINE.len());
    out.extend_from_slice(&header);
    out.extend_from_slice(value);
    out.extend_from_slice(END_OF_LINE);
    out.freeze()
}

/// Serializes a frame.
pub fn encode(frame: &BytesFrame) -> Bytes {
    let mut out = BytesMut::new();
    // Fails only where the buffer is too small, and the call grows it first.
    let _ = encode::extend_encode(&mut out, frame, false);
    out.freeze()
}

/// Serializes a command: an array of bulk strings.
pub fn encode_command(words: impl IntoIterator<Item = Bytes>) -> Bytes {
    encode(&BytesFrame::Array(words.into_iter().map(BytesFrame::BulkString).collect()))
}

/// Serializes an error line; the text must contain no line end.
pub fn encode_error(text: &str) -> Bytes {
    encode(&BytesFrame::Error(text.into()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_complete_frames_are_taken_and_malformed_ones_are_errors() {
        let whole = b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n";
        for cut in 0..whole.len() {
            assert_eq!(
                take_frame(&mut BytesMut::from(&whole[..cut]), MAX_BUFFERED_VALUE_BYTES),
                Ok(None),
                "{cut}"
            );
        }
        let mut two = BytesMut::from(&[whole.as_slice(), b"+PONG\r\n"].concat()[..]);
        let words = ["GET", "k"].map(|w| BytesFrame::BulkString(Bytes::from(w))).to_vec();
        assert_eq!(take_frame(&mut two, MAX_BUFFERED_VALUE_BYTES), Ok(Some(BytesFrame::Array(words))));
        assert_eq!(
            take_frame(&mut two, MAX_BUFFERED_VALUE_BYTES),
            Ok(Some(BytesFrame::SimpleString("PONG".into())))
        );
        assert!(two.is_empty());
        let nested = "*1\r\n".repeat(100_000); // Would exhaust the stack of a decoder that recurses.
        for bad in [
            "GET k\r\n",
            "*x\r\n",
            "*-2\r\n",
            "$65537\r\n",
            "$1\r\nkk\r\n",
            "*99\r\n",
            "$1\n",
            nested.as_str(),
        ] {
            assert!(take_frame(&mut BytesMut::from(bad), MAX_BUFFERED_VALUE_BYTES).is_err(), "{:.20}", bad);
        }
    }

    #[test]
    fn the_first_frame_is_complete_and_readable() {
        let frames = b"*1\r\n$1\r\nk\r\n-BUSY\r\n$2\r\nab\r\n";
        let whole = |bytes: &[u8], max_value: usize| {
            let (mut rest, mut taken) = (bytes, Vec::new());
            while let Ok(Some(frame)) = first_frame(rest, max_value) {
                taken.push(frame.len());
                rest = &rest[frame.len()..];
            }
            assert_eq!(
                take_bytes(&mut BytesMut::from(bytes), max_value).ok(),
                first_frame(bytes, max_value).ok().map(|f| f.map(Bytes::copy_from_slice))
            );
            taken
        };
        let lengths: [(usize, &[usize]); 6] = [
            (0, &[]),
            (11, &[11]),
            (18, &[11, 7]),
            (19, &[11, 7]),
            (frames.len() - 1, &[11, 7]),
            (frames.len(), &[11, 7, 8]),
        ];
        for (cut, expected) in lengths {
            assert_eq!(whole(&frames[..cut], MAX_BUFFERED_VALUE_BYTES), expected, "{cut}");
        }
        assert_eq!(whole(b"+one\r\nnothing\r\n+two\r\n", MAX_BUFFERED_VALUE_BYTES), [6]);
        assert_eq!(whole(frames, 1), [11, 7], "a value that is too large");
        assert!(first_frame(b"nothing\r\n", MAX_BUFFERED_VALUE_BYTES).is_err());
    }

    #[test]
    fn a_large_value_is_recognized_by_its_header_alone() {
        let answer = |length: usize| format!("*3\r\n${length}\r\nabc");
        assert_eq!(
            large_value_header(answer(70_000).as_bytes()),
            Some(LargeValue { header_length: 12, length: 70_000 })
        );
        assert_eq!(
            large_value_header(answer(MAX_VALUE_BYTES).as_bytes()),
            Some(LargeValue { header_length: 14, length: MAX_VALUE_BYTES })
        );
        let whole = answer(70_000);
        for cut in 0..12 {
            assert_eq!(large_value_header(&whole.as_bytes()[..cut]), None, "{cut}");
        }
        for other in [answer(MAX_BUFFERED_VALUE_BYTES), answer(MAX_VALUE_BYTES + 1)] {
            assert_eq!(large_value_header(other.as_bytes()), None, "{other}");
        }
        for other in [
            "*2\r\n$70000\r\n",
            "*3\r\n$-1\r\n",
            "*3\r\n$7e4\r\n",
            "*3\r\n+70000\r\n",
            "$70000\r\n",
            "*3\r\n$",
        ] {
            assert_eq!(large_value_header(other.as_bytes()), None, "{other}");
        }
    }

    #[test]
    fn the_extent_of_a_command_covers_bytes_still_to_arrive() {
        let command = b"*2\r\n$3\r\nSET\r\n$100\r\nabc";
        let last = FrameExtent::InValue { header: 13, end: 13 + 6 + 100 + 2, last: true };
        assert_eq!(frame_extent(command, MAX_BUFFERED_VALUE_BYTES), Ok(last));
        assert_eq!(
            frame_extent(&command[..10], MAX_BUFFERED_VALUE_BYTES),
            Ok(FrameExtent::InValue { header: 4, end: 13, last: false })
        );
        assert_eq!(frame_extent(&command[..15], MAX_BUFFERED_VALUE_BYTES), Ok(FrameExtent::Unknown));
        assert!(frame_extent(command, 99).is_err());
        let mut end = BytesMut::from(&b"\r"[..]);
        assert_eq!(take_line_end(&mut end), Ok(None));
        end.extend_from_slice(b"\nx");
        assert_eq!(take_line_end(&mut end), Ok(Some(())));
        assert_eq!(&end[..], b"x");
        assert!(take_line_end(&mut BytesMut::from(&b"xx"[..])).is_err());
    }
}
