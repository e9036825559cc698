//! Messages are bounded, versioned and checked; no input makes a process fail.

use mothpier_allowance::{
    DecodeError, Fence, MAX_MESSAGE_BYTES, Message, Permits, Refusal, RequestId, VERSION,
};

/// The longest message of each kind: every number takes the most bytes that it can.
fn longest_messages() -> Vec<Message> {
    let request_id = RequestId { holder: u32::MAX, incarnation: u64::MAX, sequence: u32::MAX };
    let permits = Permits { outstanding: u32::MAX, calls: u32::MAX };
    let fence = Fence { round: u32::MAX, member: u16::MAX, incarnation: u32::MAX };
    let refused = |reason| Message::Refused { to: request_id, reason, retry_after: u64::MAX };
    vec![
        Message::Request { from: request_id, retained: permits, wanted: permits },
        Message::Release { from: request_id, retained: permits },
        Message::Grant { to: request_id, fence, permits, duration: u64::MAX },
        refused(Refusal::Exhausted),
        refused(Refusal::Yield),
        refused(Refusal::TableFull),
        refused(Refusal::GracePeriod),
        refused(Refusal::NoAuthority),
    ]
}

#[test]
fn each_message_survives_encoding_and_fits_a_datagram() {
    for message in longest_messages() {
        let bytes = message.encode().expect("the message fits");
        println!("{} bytes: {message:?}", bytes.len());
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(Message::decode(&bytes), Ok(message));
    }
}

#[test]
fn truncated_corrupt_foreign_and_other_version_bytes_are_rejected() {
    for message in longest_messages() {
        let bytes = message.encode().expect("the message fits");
        for length in 0..bytes.len() {
            assert!(Message::decode(&bytes[..length]).is_err(), "truncated to {length} bytes");
        }
        for index in 0..bytes.len() {
            let mut corrupt = bytes.clone();
            corrupt[index] ^= 0x10;
            assert!(Message::decode(&corrupt).is_err(), "byte {index} corrupted");
        }
        let mut longer = bytes.clone();
        longer.push(0);
        assert_eq!(Message::decode(&longer), Err(DecodeError::Corrupt));
    }
    assert_eq!(Message::decode(&[0; MAX_MESSAGE_BYTES + 1]), Err(DecodeError::Length(MAX_MESSAGE_BYTES + 1)));
    assert_eq!(Message::decode(&[0; 20]), Err(DecodeError::WrongMagic));
    let mut newer = longest_messages()[0].encode().expect("the message fits");
    newer[1] = VERSION + 1;
    assert_eq!(Message::decode(&newer), Err(DecodeError::Version(VERSION + 1)));
}

#[test]
fn random_bytes_never_cause_a_panic() {
    let mut random = oorandom::Rand64::new(11);
    for _ in 0..100_000 {
        let length = random.rand_range(0..300) as usize;
        let mut bytes: Vec<u8> = (0..length).map(|_| random.rand_u64() as u8).collect();
        if length > 2 {
            (bytes[0], bytes[1]) = (longest_messages()[0].encode().expect("the message fits")[0], VERSION);
        }
        let _ = Message::decode(&bytes);
    }
}
