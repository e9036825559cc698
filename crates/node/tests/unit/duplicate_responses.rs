//! Detection of duplicate responses, without any connection.

use super::*;

fn value(text: &str) -> Fingerprint {
    Fingerprint::of_value(text.as_bytes())
}

fn key(name: &str) -> Bytes {
    Bytes::copy_from_slice(name.as_bytes())
}

/// The doubt about a value for one key on a connection that returned it for another.
fn doubt_about(text: &str) -> Doubt {
    let mut recent = RecentResponses::default();
    recent.push(&key("first"), value(text));
    recent.doubt(&key("second"), Instant::now(), value(text)).unwrap()
}

/// A duplicate may arrive behind many other responses; only as many are remembered as it can be late by.
#[test]
fn earlier_value_is_doubted_however_many_came_between() {
    let mut recent = RecentResponses::default();
    recent.push(&key("first"), value("first"));
    for number in 1..COMPARED_RESPONSES {
        assert_eq!(recent.doubt(&key("other"), Instant::now(), value(&number.to_string())), None);
        recent.push(&key("other"), value(&number.to_string()));
    }
    let doubt = recent.doubt(&key("last"), Instant::now(), value("first"));
    assert_eq!(doubt, Some(Doubt { value: value("first"), cause: DoubtCause::OtherKey }));
    recent.push(&key("other"), value("one more"));
    assert_eq!(recent.doubt(&key("last"), Instant::now(), value("first")), None, "kept beyond the limit");
    assert_eq!(recent.with_value.len(), COMPARED_RESPONSES);
}

/// At most servers, two requests for one key return the same value.
#[test]
fn equal_values_of_one_key_are_doubted_until_known_stable() {
    let mut recent = RecentResponses::default();
    recent.push(&key("one"), value("same"));
    let doubt = recent.doubt(&key("one"), Instant::now(), value("same")).unwrap();
    assert_eq!(doubt.cause, DoubtCause::SameKey);
    let mut verification = VerificationState::default();
    assert!(verification.needs_check(doubt));
    verification.confirm(doubt);
    assert!(!verification.needs_check(doubt));
    verification.record_duplicate();
    assert!(!verification.needs_check(doubt), "its confirmed value was not accepted");
}

/// A value of many keys is checked once, unless the server has sent a duplicate since.
#[test]
fn common_value_is_checked_once_and_again_after_a_duplicate() {
    let doubt = doubt_about("0");
    let mut verification = VerificationState::default();
    assert!(verification.needs_check(doubt));
    verification.confirm(doubt);
    assert!(!verification.needs_check(doubt));
    assert!(verification.needs_check(doubt_about("1")));
    verification.record_duplicate();
    assert!(verification.needs_check(doubt), "accepted at a server that sends duplicates");
}

/// That several keys have a value says nothing about the next one: it is never trusted for that alone, and uses no checks,
/// whichever key it is for and however often.
#[test]
fn common_value_uses_no_checks_and_is_doubted_for_each_key() {
    let doubt = doubt_about("0");
    let mut verification = VerificationState::default();
    assert!(!verification.is_usually_valid(doubt), "not known to be common");
    verification.confirm(doubt);
    for _ in 0..2 * CHECK_BURST {
        assert!(verification.is_usually_valid(doubt));
        assert_eq!(verification.value_checks.tokens, CHECK_BURST);
    }
    assert!(!verification.is_usually_valid(doubt_about("1")));
    for number in 0..CHECK_BURST {
        assert!(verification.take_check_token(doubt_about(&format!("rare {number}"))));
    }
    assert!(!verification.take_check_token(doubt_about("one more")));
    verification.record_duplicate();
    assert!(verification.is_usually_valid(doubt) && verification.take_check_token(doubt));
}

/// A large value can't be held back until more is known: it is checked by resending as often as the budget allows.
#[test]
fn common_large_value_is_checked_as_often_as_budget_allows() {
    let doubt = doubt_about("0");
    let mut verification = VerificationState::default();
    verification.confirm(doubt);
    for number in 0..2 * CHECK_BURST {
        assert_eq!(verification.needs_check_of_large_value(doubt), number < CHECK_BURST, "{number}");
    }
    verification.record_duplicate();
    assert!(verification.needs_check_of_large_value(doubt));
}

/// While a value is being checked, further doubts about it wait for the result, but not at a server that sends
/// duplicates, where each value may be a duplicate of its own.
#[test]
fn doubts_wait_for_a_check_in_progress() {
    let (doubt, other) = (doubt_about("0"), doubt_about("1"));
    for response in ["0", "changed"] {
        let mut verification = VerificationState::default();
        assert!(!verification.is_under_check(doubt));
        assert!(verification.needs_check(doubt));
        assert!(verification.is_under_check(doubt));
        assert!(!verification.is_under_check(other));
        verification.resolve_doubt(other, value("1"));
        assert!(verification.is_under_check(doubt), "ended by the check of another value");
        verification.resolve_doubt(doubt, value(response));
        assert!(!verification.is_under_check(doubt));
    }
    let mut verification = VerificationState::default();
    assert!(verification.needs_check(doubt));
    verification.record_duplicate();
    assert!(!verification.is_under_check(doubt));
    let mut verification = VerificationState::default();
    assert!(verification.needs_check(doubt));
    verification.under_check = verification.under_check.map(|(value, since)| (value, since - CHECK_TIMEOUT));
    assert!(!verification.is_under_check(doubt), "its response may never arrive");
}

/// A value shared by all keys may change for all of them at once, repeatedly.
#[test]
fn refuted_common_value_proves_no_duplicate() {
    let doubt = doubt_about("0");
    let mut verification = VerificationState::default();
    verification.confirm(doubt);
    for number in 0..2 * REFUTATIONS_TO_DISTRUST {
        assert_eq!(verification.resolve_doubt(doubt, value(&number.to_string())), Some(number == 0));
    }
    assert!(!verification.is_distrusted());
    verification.record_duplicate();
    verification.last_duplicate_at =
        verification.last_duplicate_at.and_then(|at| at.checked_sub(DISTRUST_PERIOD / 2));
    for _ in 0..REFUTATIONS_TO_DISTRUST {
        assert_eq!(verification.resolve_doubt(doubt, value("other")), Some(false));
    }
    let since = verification.last_duplicate_at.map(|at| at.elapsed());
    assert!(since < Some(DISTRUST_PERIOD / 2), "counts as a duplicate at a server that sends them");
}

/// Few values for many keys must not cost an attempt for each response; a server that sends duplicates is checked each
/// time.
#[test]
fn checks_are_bounded_without_duplicates() {
    let mut verification = VerificationState::default();
    let checks = |verification: &mut VerificationState, responses: u32| -> u32 {
        let needs_check = |number: u32| {
            verification.record_response();
            u32::from(verification.needs_check(doubt_about(&number.to_string())))
        };
        (0..responses).map(needs_check).sum()
    };
    let first = checks(&mut verification, 1_000);
    assert_eq!(first, CHECK_BURST + 1_000 / RESPONSES_PER_CHECK);
    assert_eq!(checks(&mut verification, 1_000), 1_000 / RESPONSES_PER_CHECK);
    verification.record_duplicate();
    assert_eq!(checks(&mut verification, 1_000), 1_000);
}

/// A write can't be resent: whether responses to writes differ must be known before one is doubted.
#[test]
fn equal_write_responses_are_not_doubted() {
    for (second, is_common) in [("OK", true), ("other", false)] {
        let mut verification = VerificationState::default();
        assert!(!verification.needs_fresh_connection_for_write(), "nothing to compare with");
        verification.record_write_response(value("OK"), false);
        assert!(verification.needs_fresh_connection_for_write());
        verification.record_write_response(value(second), false);
        assert!(verification.needs_fresh_connection_for_write(), "it may be a duplicate");
        verification.record_write_response(value(second), true);
        assert!(!verification.needs_fresh_connection_for_write());
        assert_eq!(verification.needs_check(doubt_about("OK")), !is_common);
        verification.record_duplicate();
        assert!(verification.needs_fresh_connection_for_write());
    }
}

/// A value may have changed since it was returned for another key: that is no duplicate.
#[test]
fn single_refuted_value_proves_no_duplicate() {
    let mut verification = VerificationState::default();
    let refute =
        |verification: &mut VerificationState| verification.resolve_doubt(doubt_about("old"), value("new"));
    assert_eq!(refute(&mut verification), Some(false));
    assert!(!verification.is_distrusted());
    assert_eq!(verification.resolve_doubt(doubt_about("0"), value("0")), Some(true));
    refute(&mut verification);
    assert!(!verification.is_distrusted());
    refute(&mut verification);
    assert!(verification.is_distrusted());
}

/// Checks for one cause must not use the budget of the other.
#[test]
fn sync_checks_use_no_value_checks() {
    let mut verification = VerificationState::default();
    let sync_doubt = Doubt { value: value("one"), cause: DoubtCause::PossiblyOutOfSync };
    while verification.needs_check(sync_doubt) {}
    assert!(verification.needs_check(doubt_about("0")));
}

/// The number of common values is bounded, and the latest are kept.
#[test]
fn common_values_are_bounded() {
    let mut verification = VerificationState::default();
    for number in 0..2 * MAX_COMMON_VALUES {
        verification.confirm(doubt_about(&number.to_string()));
    }
    assert_eq!(verification.common_values.len(), MAX_COMMON_VALUES);
    assert!(!verification.needs_check(doubt_about(&(2 * MAX_COMMON_VALUES - 1).to_string())));
}

/// A duplicated miss is harmless by itself, but the response behind it belongs to the previous command.
#[test]
fn value_behind_two_equal_misses_is_checked() {
    let mut recent = RecentResponses::default();
    assert!(!recent.push_without_value(b"miss"));
    assert!(!recent.push_without_value(b"pending"));
    assert_eq!(recent.doubt(&key("one"), Instant::now(), value("one")), None);
    assert!(recent.push_without_value(b"pending"));
    let doubt = recent.doubt(&key("one"), Instant::now(), value("one")).unwrap();
    assert_eq!(doubt.cause, DoubtCause::PossiblyOutOfSync);
    let mut verification = VerificationState::default();
    assert!(verification.needs_check(doubt));
    verification.sync_checks.tokens = 0;
    assert!(!verification.needs_check(doubt), "each second miss would cost an attempt");
    verification.record_duplicate();
    assert!(verification.needs_check(doubt));
    assert_eq!(
        verification.resolve_doubt(doubt, value("another")),
        None,
        "values may differ from one request to the next"
    );
    let later = Instant::now() + MAX_SHIFTED_RESPONSE_DELAY;
    assert_eq!(recent.doubt(&key("one"), later, value("one")), None, "long after the possible duplicate");
    recent.confirm_in_sync();
    assert_eq!(recent.doubt(&key("one"), Instant::now(), value("one")), None, "confirmed in sync");
}

/// A large value has one fingerprint, returned once, however it is cut into chunks.
#[test]
fn large_value_is_identified_by_length_and_prefix() {
    let bytes: Vec<u8> = (0..3 * LARGE_VALUE_PREFIX_BYTES).map(|i| (i % 251) as u8).collect();
    let fingerprint = |bytes: &[u8], chunk: usize| {
        let mut large = LargeFingerprint::new(bytes.len());
        let fingerprints: Vec<Fingerprint> =
            bytes.chunks(chunk).filter_map(|chunk| large.update(chunk)).collect();
        assert_eq!(fingerprints.len(), 1);
        fingerprints[0]
    };
    let expected = fingerprint(&bytes, bytes.len());
    assert_eq!(fingerprint(&bytes, 1_000), expected);
    assert_eq!(fingerprint(&bytes, LARGE_VALUE_PREFIX_BYTES), expected);
    assert_ne!(fingerprint(&bytes[1..], 1_000), expected);
}

/// A response without a value proves nothing about a key that could be wrong for another.
#[test]
fn responses_without_value_have_no_fingerprint() {
    let miss = BytesFrame::Array(vec![BytesFrame::Null, BytesFrame::Null, BytesFrame::Null]);
    assert_eq!(Fingerprint::of_response(&miss), None);
    assert_eq!(Fingerprint::of_response(&BytesFrame::Error("BUSY".into())), None);
}
