//! Decoding of frames that are whole, split, corrupted, foreign and too long.

use brassrouter::InheritedState;
use mothpier_handover::{
    DecodeError, Decoder, MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION, PredecessorState, RemainingResources,
    encode,
};
use proptest::prelude::*;

fn state() -> Message {
    let inherited = InheritedState {
        origin_calls: vec![(true, 7)],
        window_start: 3,
        calls_in_window: [2, 1],
        outstanding_limit: 4.5,
        keyed_writes: vec![(9, 8)],
    };
    let remaining = RemainingResources { inherited, descriptors: 120 };
    Message::State(PredecessorState {
        list_revision: 41,
        list: b"{}".to_vec(),
        module_state: vec![1, 2, 3],
        remaining,
    })
}

#[test]
fn messages_survive_any_split_of_the_byte_stream() {
    let hello = Message::Hello { node_name: "n0".into(), state_layout: 2 };
    let messages = [
        hello,
        state(),
        Message::Declined("x".into()),
        Message::ForwardedIds(vec![0, 7, u64::MAX]),
        Message::Memory { most_bytes: u64::MAX },
    ];
    let frames = messages.each_ref().map(|message| encode(message).unwrap());
    for chunk_size in 1..40 {
        let (mut decoder, mut decoded) = (Decoder::default(), Vec::new());
        for chunk in frames.concat().chunks(chunk_size) {
            decoder.push(chunk);
            while let Some(message) = decoder.next_message().unwrap() {
                decoded.push(message);
            }
        }
        assert_eq!(decoded, messages, "{chunk_size}");
    }
}

/// Processes of older versions read the messages that they know: a new kind comes behind all others.
#[test]
fn kinds_of_messages_keep_their_numbers() {
    const HEADER_BYTES: usize = 14;
    let remaining = Message::Remaining(RemainingResources::default());
    let hello = Message::Hello { node_name: String::new(), state_layout: 0 };
    let messages = [
        hello,
        state(),
        Message::Declined(String::new()),
        remaining,
        Message::ForwardedIds(vec![]),
        Message::Memory { most_bytes: 0 },
    ];
    let kinds = messages.map(|message| encode(&message).unwrap()[HEADER_BYTES]);
    assert_eq!(kinds, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn invalid_frames_are_rejected_with_the_kind_of_error() {
    let decode = |bytes: &[u8]| {
        let mut decoder = Decoder::default();
        decoder.push(bytes);
        decoder.next_message()
    };
    let valid = encode(&state()).unwrap();
    assert_eq!(decode(b"GET / HTTP/1.1\r\n"), Err(DecodeError::NotAFrame));
    assert_eq!(decode(b"x"), Err(DecodeError::NotAFrame), "at the first byte");
    let mut wrong_version = valid.clone();
    wrong_version[4] = PROTOCOL_VERSION as u8 + 1;
    assert_eq!(decode(&wrong_version), Err(DecodeError::Version(PROTOCOL_VERSION + 1)));
    let mut too_long = valid.clone();
    too_long[6..10].copy_from_slice(&(MAX_MESSAGE_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(decode(&too_long), Err(DecodeError::TooLong(MAX_MESSAGE_BYTES + 1)));
    let mut corrupted = valid.clone();
    *corrupted.last_mut().unwrap() ^= 1;
    assert_eq!(decode(&corrupted), Err(DecodeError::Checksum));
    for length in 0..valid.len() {
        assert_eq!(decode(&valid[..length]), Ok(None), "{length}");
    }
    assert_eq!(
        encode(&Message::Declined("x".repeat(MAX_MESSAGE_BYTES))),
        Err(DecodeError::TooLong(MAX_MESSAGE_BYTES + 5))
    );
}

proptest! {
    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), start in 0usize..80) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let _ = decoder.next_message();
        // Also with a valid header.
        let mut frame = encode(&state()).unwrap();
        let end = (start + bytes.len()).min(frame.len());
        let start = start.min(end);
        frame[start..end].copy_from_slice(&bytes[..end - start]);
        let mut decoder = Decoder::default();
        decoder.push(&frame);
        let _ = decoder.next_message();
    }
}
