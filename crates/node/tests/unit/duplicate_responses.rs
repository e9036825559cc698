//! Repeated answers, told apart without any connection.

use super::*;

fn value(text: &str) -> Fingerprint {
    Fingerprint::of_value(text.as_bytes())
}

fn key(name: &str) -> Bytes {
    Bytes::copy_from_slice(name.as_bytes())
}

/// The doubt about a value for a key on a connection that brought one value for another.
fn doubt_about(text: &str) -> Doubt {
    let mut recent = RecentResponses::default();
    recent.push(&key("first"), value(text));
    recent.doubt(&key("second"), Instant::now(), value(text)).unwrap()
}

/// A repeat may come behind many other answers, and only as many are kept as it can come behind.
#[test]
fn a_value_is_doubted_that_came_before_on_the_connection_however_many_came_between() {
    let mut recent = RecentResponses::default();
    recent.push(&key("first"), value("first"));
    for number in 1..COMPARED_ANSWERS {
        assert_eq!(recent.doubt(&key("other"), Instant::now(), value(&number.to_string())), None);
        recent.push(&key("other"), value(&number.to_string()));
    }
    let doubt = recent.doubt(&key("last"), Instant::now(), value("first"));
    assert_eq!(doubt, Some(Doubt { value: value("first"), cause: Cause::OtherKey }));
    recent.push(&key("other"), value("one more"));
    assert_eq!(recent.doubt(&key("last"), Instant::now(), value("first")), None, "kept for ever");
    assert_eq!(recent.with_value.len(), COMPARED_ANSWERS);
}

/// A key that is asked for twice has the same value both times at most servers.
#[test]
fn equal_values_of_one_key_are_doubted_until_they_are_known_to_stay() {
    let mut recent = RecentResponses::default();
    recent.push(&key("one"), value("same"));
    let doubt = recent.doubt(&key("one"), Instant::now(), value("same")).unwrap();
    assert_eq!(doubt.cause, Cause::SameKey);
    let mut findings = VerificationState::default();
    assert!(findings.needs_check(doubt));
    findings.confirmed(doubt);
    assert!(!findings.needs_check(doubt));
    findings.repeated();
    assert!(!findings.needs_check(doubt), "its own value was not taken for true");
}

/// What many keys have is asked for again once, unless the server has sent an answer twice since.
#[test]
fn a_common_value_is_checked_once_and_again_at_a_server_that_repeats() {
    let doubt = doubt_about("0");
    let mut findings = VerificationState::default();
    assert!(findings.needs_check(doubt));
    findings.confirmed(doubt);
    assert!(!findings.needs_check(doubt));
    assert!(findings.needs_check(doubt_about("1")));
    findings.repeated();
    assert!(findings.needs_check(doubt), "taken for true at a server that repeats");
}

/// That several keys have a value says nothing of the next one: it is never believed for that alone, nor are checks spent on
/// it, whichever key it comes for and however often.
#[test]
fn a_common_value_takes_no_checks_and_is_doubted_for_each_key() {
    let doubt = doubt_about("0");
    let mut findings = VerificationState::default();
    assert!(!findings.is_often_true(doubt), "not known to be common");
    findings.confirmed(doubt);
    for _ in 0..2 * CHECKS_IN_A_ROW {
        assert!(findings.is_often_true(doubt));
        assert_eq!(findings.value_checks.left, CHECKS_IN_A_ROW);
    }
    assert!(!findings.is_often_true(doubt_about("1")));
    for number in 0..CHECKS_IN_A_ROW {
        assert!(findings.grants_check(doubt_about(&format!("rare {number}"))));
    }
    assert!(!findings.grants_check(doubt_about("one more")));
    findings.repeated();
    assert!(findings.is_often_true(doubt) && findings.grants_check(doubt));
}

/// A large value can't be held back until more is known: it is asked for again as often as may be.
#[test]
fn a_large_value_that_several_keys_have_is_asked_for_again_as_often_as_may_be() {
    let doubt = doubt_about("0");
    let mut findings = VerificationState::default();
    findings.confirmed(doubt);
    for number in 0..2 * CHECKS_IN_A_ROW {
        assert_eq!(findings.wants_check_of_large(doubt), number < CHECKS_IN_A_ROW, "{number}");
    }
    findings.repeated();
    assert!(findings.wants_check_of_large(doubt));
}

/// While a value is asked for again, more doubts of the same value wait for what that shows, but not at a server that repeats,
/// where each value may be a repeat of its own.
#[test]
fn a_value_that_is_being_asked_for_again_is_waited_for_until_that_is_known() {
    let (doubt, other) = (doubt_about("0"), doubt_about("1"));
    for answer in ["0", "changed"] {
        let mut findings = VerificationState::default();
        assert!(!findings.is_under_check(doubt));
        assert!(findings.needs_check(doubt));
        assert!(findings.is_under_check(doubt));
        assert!(!findings.is_under_check(other));
        findings.resolve_doubt(other, value("1"));
        assert!(findings.is_under_check(doubt), "another one's end");
        findings.resolve_doubt(doubt, value(answer));
        assert!(!findings.is_under_check(doubt));
    }
    let mut findings = VerificationState::default();
    assert!(findings.needs_check(doubt));
    findings.repeated();
    assert!(!findings.is_under_check(doubt));
    let mut findings = VerificationState::default();
    assert!(findings.needs_check(doubt));
    findings.under_check = findings.under_check.map(|(value, since)| (value, since - LONGEST_CHECK));
    assert!(!findings.is_under_check(doubt), "its answer may never come");
}

/// A value that all keys have may change for all of them at once, again and again.
#[test]
fn a_common_value_that_turns_out_to_be_another_is_no_proof_of_a_repeat() {
    let doubt = doubt_about("0");
    let mut findings = VerificationState::default();
    findings.confirmed(doubt);
    for number in 0..2 * REFUTED_TO_DISTRUST {
        assert_eq!(findings.resolve_doubt(doubt, value(&number.to_string())), Some(number == 0));
    }
    assert!(!findings.is_distrusted());
    findings.repeated();
    findings.repeated_at = findings.repeated_at.and_then(|at| at.checked_sub(DISTRUST / 2));
    for _ in 0..REFUTED_TO_DISTRUST {
        assert_eq!(findings.resolve_doubt(doubt, value("other")), Some(false));
    }
    let since = findings.repeated_at.map(|at| at.elapsed());
    assert!(since < Some(DISTRUST / 2), "at a server that repeats it is one more");
}

/// Few values for many keys must not cost an attempt for each answer; a server that repeats is checked each time.
#[test]
fn checks_are_bounded_at_a_server_that_has_not_repeated() {
    let mut findings = VerificationState::default();
    let checks = |findings: &mut VerificationState, answers: u32| -> u32 {
        let wants = |number: u32| {
            findings.record_response();
            u32::from(findings.needs_check(doubt_about(&number.to_string())))
        };
        (0..answers).map(wants).sum()
    };
    let first = checks(&mut findings, 1_000);
    assert_eq!(first, CHECKS_IN_A_ROW + 1_000 / ANSWERS_FOR_A_CHECK);
    assert_eq!(checks(&mut findings, 1_000), 1_000 / ANSWERS_FOR_A_CHECK);
    findings.repeated();
    assert_eq!(checks(&mut findings, 1_000), 1_000);
}

/// A receipt can't be asked for again: whether receipts differ has to be known before one is doubted.
#[test]
fn receipts_that_are_equal_for_two_writes_are_not_doubted() {
    for (second, is_common) in [("OK", true), ("other", false)] {
        let mut findings = VerificationState::default();
        assert!(!findings.wants_write_alone(), "nothing to compare with");
        findings.receipt(value("OK"), false);
        assert!(findings.wants_write_alone());
        findings.receipt(value(second), false);
        assert!(findings.wants_write_alone(), "it may be a repeat");
        findings.receipt(value(second), true);
        assert!(!findings.wants_write_alone());
        assert_eq!(findings.needs_check(doubt_about("OK")), !is_common);
        findings.repeated();
        assert!(findings.wants_write_alone());
    }
}

/// A value may have changed since it was given for another key: that is no repeat.
#[test]
fn one_value_that_turns_out_to_be_another_is_no_proof_of_a_repeat() {
    let mut findings = VerificationState::default();
    let refute = |findings: &mut VerificationState| findings.resolve_doubt(doubt_about("old"), value("new"));
    assert_eq!(refute(&mut findings), Some(false));
    assert!(!findings.is_distrusted());
    assert_eq!(findings.resolve_doubt(doubt_about("0"), value("0")), Some(true));
    refute(&mut findings);
    assert!(!findings.is_distrusted());
    refute(&mut findings);
    assert!(findings.is_distrusted());
}

/// Checks of one cause must leave those of the other.
#[test]
fn values_behind_misses_use_up_no_checks_of_values_that_came_before() {
    let mut findings = VerificationState::default();
    let behind_miss = Doubt { value: value("one"), cause: Cause::BehindRepeat };
    while findings.needs_check(behind_miss) {}
    assert!(findings.needs_check(doubt_about("0")));
}

/// The values that are known to be common are bounded, the latest staying.
#[test]
fn no_more_common_values_are_kept_than_there_is_room_for() {
    let mut findings = VerificationState::default();
    for number in 0..2 * COMMON_VALUES {
        findings.confirmed(doubt_about(&number.to_string()));
    }
    assert_eq!(findings.common.len(), COMMON_VALUES);
    assert!(!findings.needs_check(doubt_about(&(2 * COMMON_VALUES - 1).to_string())));
}

/// A repeated miss harms nobody by itself, but the answer behind it belongs to the command before.
#[test]
fn a_value_soon_behind_two_equal_misses_is_checked() {
    let mut recent = RecentResponses::default();
    assert!(!recent.push_without_value(b"miss"));
    assert!(!recent.push_without_value(b"pending"));
    assert_eq!(recent.doubt(&key("one"), Instant::now(), value("one")), None);
    assert!(recent.push_without_value(b"pending"));
    let doubt = recent.doubt(&key("one"), Instant::now(), value("one")).unwrap();
    assert_eq!(doubt.cause, Cause::BehindRepeat);
    let mut findings = VerificationState::default();
    assert!(findings.needs_check(doubt));
    findings.step_checks.left = 0;
    assert!(!findings.needs_check(doubt), "each second miss would cost an attempt");
    findings.repeated();
    assert!(findings.needs_check(doubt));
    assert_eq!(
        findings.resolve_doubt(doubt, value("another")),
        None,
        "values may differ from one request to the next"
    );
    let later = Instant::now() + LATEST_TRUE_ANSWER;
    assert_eq!(recent.doubt(&key("one"), later, value("one")), None, "after a time without another answer");
    recent.found_in_step();
    assert_eq!(recent.doubt(&key("one"), Instant::now(), value("one")), None, "none more came");
}

/// However the pieces are cut in which a large value comes, it has one fingerprint, and it is told once.
#[test]
fn a_large_value_is_known_by_its_length_and_its_first_bytes() {
    let bytes: Vec<u8> = (0..3 * LARGE_PREFIX).map(|i| (i % 251) as u8).collect();
    let fingerprint = |bytes: &[u8], piece: usize| {
        let mut large = LargeFingerprint::new(bytes.len());
        let told: Vec<Fingerprint> = bytes.chunks(piece).filter_map(|piece| large.update(piece)).collect();
        assert_eq!(told.len(), 1);
        told[0]
    };
    let whole = fingerprint(&bytes, bytes.len());
    assert_eq!(fingerprint(&bytes, 1_000), whole);
    assert_eq!(fingerprint(&bytes, LARGE_PREFIX), whole);
    assert_ne!(fingerprint(&bytes[1..], 1_000), whole);
}

/// An answer without a value says nothing of a key that could be wrong for another.
#[test]
fn answers_without_a_value_have_no_fingerprint() {
    let miss = BytesFrame::Array(vec![BytesFrame::Null, BytesFrame::Null, BytesFrame::Null]);
    assert_eq!(Fingerprint::of_answer(&miss), None);
    assert_eq!(Fingerprint::of_answer(&BytesFrame::Error("BUSY".into())), None);
}
