//! Messages are bounded, versioned and checked; nothing that comes in makes a process fail.

use mothpier_allowance::{Asker, Fence, MOST, Message, Permits, Refusal, Unreadable, VERSION};

/// The longest of each kind: every number takes the most bytes that it can.
fn longest() -> Vec<Message> {
    let asker = Asker { holder: u32::MAX, life: u64::MAX, sequence: u32::MAX };
    let permits = Permits { outstanding: u32::MAX, calls: u32::MAX };
    let fence = Fence { round: u32::MAX, member: u16::MAX, life: u32::MAX };
    let refused = |why| Message::Refused { to: asker, why, retry_after: u64::MAX };
    vec![
        Message::Ask { from: asker, keeps: permits, wanted: permits },
        Message::Return { from: asker, keeps: permits },
        Message::Grant { to: asker, fence, permits, length: u64::MAX },
        refused(Refusal::Spent),
        refused(Refusal::Waiting),
        refused(Refusal::Full),
        refused(Refusal::Quiet),
        refused(Refusal::NoGrantor),
    ]
}

#[test]
fn each_message_is_read_as_it_was_written_and_fits_a_datagram() {
    for message in longest() {
        let bytes = message.encode().expect("it fits");
        println!("{} bytes: {message:?}", bytes.len());
        assert!(bytes.len() <= MOST);
        assert_eq!(Message::decode(&bytes), Ok(message));
    }
}

#[test]
fn what_is_cut_spoilt_foreign_or_of_another_version_is_no_message() {
    for message in longest() {
        let bytes = message.encode().expect("it fits");
        for length in 0..bytes.len() {
            assert!(Message::decode(&bytes[..length]).is_err(), "cut to {length} bytes");
        }
        for at in 0..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 0x10;
            assert!(Message::decode(&spoilt).is_err(), "byte {at} spoilt");
        }
        let mut longer = bytes.clone();
        longer.push(0);
        assert_eq!(Message::decode(&longer), Err(Unreadable::Spoilt));
    }
    assert_eq!(Message::decode(&[0; MOST + 1]), Err(Unreadable::Length(MOST + 1)));
    assert_eq!(Message::decode(&[0; 20]), Err(Unreadable::Foreign));
    let mut newer = longest()[0].encode().expect("it fits");
    newer[1] = VERSION + 1;
    assert_eq!(Message::decode(&newer), Err(Unreadable::Version(VERSION + 1)));
}

#[test]
fn bytes_at_random_are_read_or_refused_but_never_fail() {
    let mut random = oorandom::Rand64::new(11);
    for _ in 0..100_000 {
        let length = random.rand_range(0..300) as usize;
        let mut bytes: Vec<u8> = (0..length).map(|_| random.rand_u64() as u8).collect();
        if length > 2 {
            (bytes[0], bytes[1]) = (longest()[0].encode().expect("it fits")[0], VERSION);
        }
        let _ = Message::decode(&bytes);
    }
}
