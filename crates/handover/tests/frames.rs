//! Frames that are whole, cut, spoilt, foreign and too long.

use brassrouter::InheritedState;
use mothpier_handover::{
    DecodeError, Decoder, LONGEST, Message, PredecessorState, RemainingResources, VERSION, encode,
};
use proptest::prelude::*;

fn state() -> Message {
    let legacy = InheritedState {
        origin_calls: vec![(true, 7)],
        window_start: 3,
        calls_in_window: [2, 1],
        outstanding_limit: 4.5,
        keyed_writes: vec![(9, 8)],
    };
    let left = RemainingResources { inherited: legacy, descriptors: 120 };
    Message::State(PredecessorState {
        list_revision: 41,
        list: b"{}".to_vec(),
        module_state: vec![1, 2, 3],
        remaining: left,
    })
}

#[test]
fn messages_come_back_as_they_were_however_they_are_cut() {
    let hello = Message::Hello { node_name: "n0".into(), state_layout: 2 };
    let all =
        [encode(&hello).unwrap(), encode(&state()).unwrap(), encode(&Message::Declined("x".into())).unwrap()];
    for size in 1..40 {
        let (mut decoder, mut seen) = (Decoder::default(), Vec::new());
        for part in all.concat().chunks(size) {
            decoder.push(part);
            while let Some(message) = decoder.next_message().unwrap() {
                seen.push(message);
            }
        }
        assert_eq!(seen, [hello.clone(), state(), Message::Declined("x".into())], "{size}");
    }
}

#[test]
fn what_is_no_message_is_told_by_its_kind() {
    let read = |bytes: &[u8]| {
        let mut decoder = Decoder::default();
        decoder.push(bytes);
        decoder.next_message()
    };
    let good = encode(&state()).unwrap();
    assert_eq!(read(b"GET / HTTP/1.1\r\n"), Err(DecodeError::Foreign));
    assert_eq!(read(b"x"), Err(DecodeError::Foreign), "at the first byte");
    let mut other = good.clone();
    other[4] = VERSION as u8 + 1;
    assert_eq!(read(&other), Err(DecodeError::Version(VERSION + 1)));
    let mut long = good.clone();
    long[6..10].copy_from_slice(&(LONGEST as u32 + 1).to_le_bytes());
    assert_eq!(read(&long), Err(DecodeError::TooLong(LONGEST + 1)));
    let mut spoilt = good.clone();
    *spoilt.last_mut().unwrap() ^= 1;
    assert_eq!(read(&spoilt), Err(DecodeError::Checksum));
    for cut in 0..good.len() {
        assert_eq!(read(&good[..cut]), Ok(None), "{cut}");
    }
    assert_eq!(encode(&Message::Declined("x".repeat(LONGEST))), Err(DecodeError::TooLong(LONGEST + 5)));
}

proptest! {
    #[test]
    fn no_bytes_bring_it_down(bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..80) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let _ = decoder.next_message();
        // Behind a good head, too.
        let mut frame = encode(&state()).unwrap();
        let end = (at + bytes.len()).min(frame.len());
        let at = at.min(end);
        frame[at..end].copy_from_slice(&bytes[..end - at]);
        let mut decoder = Decoder::default();
        decoder.push(&frame);
        let _ = decoder.next_message();
    }
}
