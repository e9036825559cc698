//! Pairs of keys and values, without any connection.

use super::*;

fn value(text: &str) -> Fingerprint {
    Fingerprint::of_value(text.as_bytes())
}

/// A value that one key has says nothing of another, nor of another value of the same key.
#[test]
fn a_value_is_known_for_the_key_alone_that_had_it() {
    let mut known = KnownValues::default();
    known.insert(b"one", value("0"));
    assert!(known.contains(b"one", value("0")));
    assert!(!known.contains(b"two", value("0")));
    assert!(!known.contains(b"one", value("1")));
}

/// However many keys there are, the memory is bounded; what came last is kept, and what came again counts once.
#[test]
fn no_more_pairs_are_kept_than_there_is_room_for() {
    let mut known = KnownValues::default();
    for number in 0..2 * MOST_PAIRS {
        known.insert(&number.to_le_bytes(), value("0"));
        known.insert(&number.to_le_bytes(), value("0"));
    }
    assert_eq!((known.pairs.len(), known.order.len()), (MOST_PAIRS, MOST_PAIRS));
    assert!(known.contains(&(2 * MOST_PAIRS - 1).to_le_bytes(), value("0")));
    assert!(!known.contains(&0usize.to_le_bytes(), value("0")));
}
