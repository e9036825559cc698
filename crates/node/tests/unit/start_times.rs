//! What becomes of the dates of starts: a table of lists as discovery's and this node's clocks may have it.

use super::*;

/// The node's clock when a test begins: any value, for it is compared with no other clock.
const BEGIN: Micros = 5_000_000;
const SECOND: Micros = 1_000_000;
/// Discovery's clock when a test begins, in milliseconds.
const DATE: u64 = 1_700_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn list(members: &[(&str, &str, u64)]) -> ServerList {
    let members = members
        .iter()
        .map(|(id, phase, up)| format!(r#"{{"id":"{id}","phase":"{phase}","up_since_ms":{up}}}"#))
        .collect::<Vec<_>>()
        .join(",");
    serde_json::from_str(&format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#)).unwrap()
}

/// Takes a list of ready servers in, so many seconds after the beginning, and tells their ages in seconds.
fn ages(times: &mut StartTimes, kind: ListKind, after: f64, members: &[(&str, u64)]) -> Vec<Option<f64>> {
    let now = BEGIN * 1000 + (after * SECOND as f64) as Micros;
    let ready: Vec<_> = members.iter().map(|(id, up)| (*id, "ready", *up)).collect();
    times.heard(&list(&ready), kind, now);
    let started = members.iter().map(|(id, up)| times.started(id, *up));
    started.map(|started| (started > 0).then(|| (now as f64 - started as f64) / SECOND as f64)).collect()
}

use ListKind::{Cached, Delta, Full};

#[test]
fn the_first_list_is_dated_by_its_own_order() {
    let members = [("old", 0), ("first", DATE), ("second", DATE + 20_000), ("last", DATE + 30_500)];
    for kind in [Cached, Full, Delta] {
        let told = ages(&mut StartTimes::default(), kind, 0.0, &members);
        assert_eq!(told, [None, Some(30.5), Some(10.5), Some(0.0)], "{kind:?}");
    }
}

#[test]
fn what_is_seen_to_appear_is_as_old_as_it_has_been_known() {
    // However far discovery's clock is from this node's, and whichever way it was stepped.
    for step in [0i64, 2_000, -2_000, HOUR_MS as i64, -(HOUR_MS as i64)] {
        let mut times = StartTimes::default();
        ages(&mut times, Full, 0.0, &[("a", DATE), ("b", DATE + 5_000)]);
        let restart = (DATE as i64 + 9_000 + step) as u64;
        let told = ages(&mut times, Delta, 9.5, &[("a", restart)]);
        assert_eq!(told, [Some(0.0)], "a step of {step} ms");
        // Ages that were taken once stay, and grow by this node's clock alone.
        let told = ages(&mut times, Full, 20.0, &[("a", restart), ("b", DATE + 5_000)]);
        assert_eq!(told, [Some(10.5), Some(20.0)], "a step of {step} ms");
    }
}

#[test]
fn what_comes_together_is_dated_apart_but_no_older_than_the_list_before() {
    let mut times = StartTimes::default();
    ages(&mut times, Full, 0.0, &[("a", 0)]);
    ages(&mut times, Delta, 10.0, &[]);
    // Discovery was silent for a minute: the starts in between keep their order.
    let told = ages(&mut times, Full, 70.0, &[("b", DATE), ("c", DATE + 15_000), ("d", DATE + 40_000)]);
    assert_eq!(told, [Some(40.0), Some(25.0), Some(0.0)]);
    // With a step between two of them none is older than the silence.
    let told = ages(&mut times, Full, 72.0, &[("e", DATE + 71_000), ("f", DATE + 71_000 + HOUR_MS)]);
    assert_eq!(told, [Some(2.0), Some(0.0)]);
}

#[test]
fn a_list_from_before_the_start_tells_nobody_absent() {
    let mut times = StartTimes::default();
    ages(&mut times, Cached, 0.0, &[("a", DATE)]);
    let told = ages(&mut times, Full, 1.0, &[("a", DATE), ("b", DATE + 100_000), ("c", DATE + 130_000)]);
    assert_eq!(told, [Some(1.0), Some(30.0), Some(0.0)]);
}

#[test]
fn a_restart_is_later_than_the_start_before_it_whatever_its_date() {
    for (up, kind) in [(DATE - HOUR_MS, Delta), (DATE - 1, Full), (DATE + 1, Delta)] {
        let mut times = StartTimes::default();
        ages(&mut times, Cached, 0.0, &[("a", DATE)]);
        let before = times.started("a", DATE);
        ages(&mut times, kind, 0.0, &[("a", up)]);
        let after = times.started("a", up);
        assert!(after > before, "{before} then {after}");
    }
}

#[test]
fn old_and_empty_lists_make_nobody_younger() {
    let mut times = StartTimes::default();
    ages(&mut times, Full, 0.0, &[("a", DATE), ("b", DATE)]);
    ages(&mut times, Delta, 10.0, &[("a", DATE + 10_000)]);
    let old = [("a", DATE), ("b", DATE)];
    assert_eq!(ages(&mut times, Full, 20.0, &old), [Some(20.0), Some(20.0)]);
    let right = [("a", DATE + 10_000), ("b", DATE)];
    assert_eq!(ages(&mut times, Full, 21.0, &right), [Some(11.0), Some(21.0)]);
    ages(&mut times, Full, 22.0, &[]);
    assert_eq!(ages(&mut times, Full, 30.0, &right), [Some(20.0), Some(30.0)]);
}

#[test]
fn what_has_left_is_forgotten_in_the_end_and_never_much_of_it() {
    let mut times = StartTimes::default();
    ages(&mut times, Full, 0.0, &[("a", DATE)]);
    ages(&mut times, Full, 1.0, &[]);
    assert_eq!(times.len(), 1);
    ages(&mut times, Full, 1.0 + (KEEP_LEFT / SECOND) as f64, &[]);
    assert_eq!(times.len(), 0);
    for number in 0..2 * MOST_LEFT as u64 {
        let now = BEGIN * 1000 + number;
        let id = format!("s-{number}");
        times.heard(&list(&[(&id, "ready", DATE + number)]), Delta, now);
        times.heard(&list(&[(&id, "gone", DATE + number)]), Delta, now);
        assert!(times.len() <= MOST_LEFT + 1);
    }
    for number in 1..=100 {
        times.heard(&list(&[("often", "ready", DATE + number)]), Delta, BEGIN * 2000 + number);
    }
    assert_eq!(times.servers["often"].known.len(), MOST_STARTS);
}

#[test]
fn a_machine_whose_clock_begins_at_zero_dates_nothing_as_long_ago() {
    let mut times = StartTimes::default();
    times.heard(&list(&[("a", "ready", DATE), ("b", "ready", DATE + HOUR_MS)]), Full, 10 * SECOND);
    assert_eq!((times.started("a", DATE), times.started("b", DATE + HOUR_MS)), (1, 10 * SECOND));
}

#[test]
fn what_another_process_knew_is_taken_over() {
    let mut times = StartTimes::default();
    let now = BEGIN * 1000;
    for (id, up, started) in [("a", 0, 0), ("b", DATE, now - 3 * SECOND), ("c", DATE, now - 7 * SECOND)] {
        times.inherit(id, up, started, now);
    }
    let told = ages(&mut times, Cached, 0.0, &[("a", 0), ("b", DATE), ("c", DATE)]);
    assert_eq!(told, [None, Some(3.0), Some(7.0)]);
    // It has been on the watch: what is new now was not there a moment ago.
    let told = ages(&mut times, Full, 1.5, &[("d", DATE), ("e", DATE + HOUR_MS)]);
    assert_eq!(told, [Some(1.5), Some(0.0)]);
}
