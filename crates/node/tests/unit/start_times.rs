//! Tests of start times for various combinations of discovery's and this node's clocks.

use super::*;

/// The node's clock when a test begins. Any value will do, since it is compared with no other clock.
const BEGIN: Micros = 5_000_000;
const SECOND: Micros = 1_000_000;
/// Discovery's clock when a test begins, in milliseconds.
const DATE: u64 = 1_700_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn list(members: &[(&str, &str, u64)]) -> ServerList {
    let members = members
        .iter()
        .map(|(id, phase, up_since)| format!(r#"{{"id":"{id}","phase":"{phase}","up_since_ms":{up_since}}}"#))
        .collect::<Vec<_>>()
        .join(",");
    serde_json::from_str(&format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#)).unwrap()
}

/// Processes a list of ready servers this many seconds after the beginning, and returns their ages in
/// seconds.
fn ages(times: &mut StartTimes, kind: ListKind, after: f64, members: &[(&str, u64)]) -> Vec<Option<f64>> {
    let now = BEGIN * 1000 + (after * SECOND as f64) as Micros;
    let ready: Vec<_> = members.iter().map(|(id, up_since)| (*id, "ready", *up_since)).collect();
    times.apply_list(&list(&ready), kind, now);
    let started_at = members.iter().map(|(id, up_since)| times.started(id, *up_since));
    started_at
        .map(|started_at| (started_at > 0).then(|| (now as f64 - started_at as f64) / SECOND as f64))
        .collect()
}

use ListKind::{Cached, Delta, Full};

#[test]
fn first_list_is_dated_by_its_own_order() {
    let members = [("old", 0), ("first", DATE), ("second", DATE + 20_000), ("last", DATE + 30_500)];
    for kind in [Cached, Full, Delta] {
        let ages_now = ages(&mut StartTimes::default(), kind, 0.0, &members);
        assert_eq!(ages_now, [None, Some(30.5), Some(10.5), Some(0.0)], "{kind:?}");
    }
}

#[test]
fn new_starts_are_as_old_as_they_have_been_known() {
    // Independent of the offset between discovery's clock and this node's, and of steps in either direction.
    for step in [0i64, 2_000, -2_000, HOUR_MS as i64, -(HOUR_MS as i64)] {
        let mut times = StartTimes::default();
        ages(&mut times, Full, 0.0, &[("a", DATE), ("b", DATE + 5_000)]);
        let restart = (DATE as i64 + 9_000 + step) as u64;
        let ages_now = ages(&mut times, Delta, 9.5, &[("a", restart)]);
        assert_eq!(ages_now, [Some(0.0)], "a step of {step} ms");
        // Known ages are kept and advance with this node's clock alone.
        let ages_now = ages(&mut times, Full, 20.0, &[("a", restart), ("b", DATE + 5_000)]);
        assert_eq!(ages_now, [Some(10.5), Some(20.0)], "a step of {step} ms");
    }
}

#[test]
fn starts_in_one_list_are_dated_apart_but_no_older_than_the_previous_list() {
    let mut times = StartTimes::default();
    ages(&mut times, Full, 0.0, &[("a", 0)]);
    ages(&mut times, Delta, 10.0, &[]);
    // Discovery was silent for a minute: the starts in between keep their order.
    let ages_now = ages(&mut times, Full, 70.0, &[("b", DATE), ("c", DATE + 15_000), ("d", DATE + 40_000)]);
    assert_eq!(ages_now, [Some(40.0), Some(25.0), Some(0.0)]);
    // With a clock step between them, none is older than the silence.
    let ages_now = ages(&mut times, Full, 72.0, &[("e", DATE + 71_000), ("f", DATE + 71_000 + HOUR_MS)]);
    assert_eq!(ages_now, [Some(2.0), Some(0.0)]);
}

#[test]
fn cached_list_does_not_prove_absence() {
    let mut times = StartTimes::default();
    ages(&mut times, Cached, 0.0, &[("a", DATE)]);
    let ages_now = ages(&mut times, Full, 1.0, &[("a", DATE), ("b", DATE + 100_000), ("c", DATE + 130_000)]);
    assert_eq!(ages_now, [Some(1.0), Some(30.0), Some(0.0)]);
}

#[test]
fn restart_is_later_than_the_previous_start_whatever_its_date() {
    for (up_since, kind) in [(DATE - HOUR_MS, Delta), (DATE - 1, Full), (DATE + 1, Delta)] {
        let mut times = StartTimes::default();
        ages(&mut times, Cached, 0.0, &[("a", DATE)]);
        let before = times.started("a", DATE);
        ages(&mut times, kind, 0.0, &[("a", up_since)]);
        let after = times.started("a", up_since);
        assert!(after > before, "{before} then {after}");
    }
}

#[test]
fn old_and_empty_lists_do_not_make_servers_younger() {
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
fn departed_servers_are_forgotten_and_bounded() {
    let mut times = StartTimes::default();
    ages(&mut times, Full, 0.0, &[("a", DATE)]);
    ages(&mut times, Full, 1.0, &[]);
    assert_eq!(times.len(), 1);
    ages(&mut times, Full, 1.0 + (DEPARTED_RETENTION_US / SECOND) as f64, &[]);
    assert_eq!(times.len(), 0);
    for number in 0..2 * MAX_DEPARTED_SERVERS as u64 {
        let now = BEGIN * 1000 + number;
        let id = format!("s-{number}");
        times.apply_list(&list(&[(&id, "ready", DATE + number)]), Delta, now);
        times.apply_list(&list(&[(&id, "gone", DATE + number)]), Delta, now);
        assert!(times.len() <= MAX_DEPARTED_SERVERS + 1);
    }
    for number in 1..=100 {
        times.apply_list(&list(&[("often", "ready", DATE + number)]), Delta, BEGIN * 2000 + number);
    }
    assert_eq!(times.servers["often"].known.len(), MAX_STARTS_PER_SERVER);
}

#[test]
fn clock_that_starts_at_zero_dates_nothing_as_long_ago() {
    let mut times = StartTimes::default();
    times.apply_list(&list(&[("a", "ready", DATE), ("b", "ready", DATE + HOUR_MS)]), Full, 10 * SECOND);
    assert_eq!((times.started("a", DATE), times.started("b", DATE + HOUR_MS)), (1, 10 * SECOND));
}

#[test]
fn start_times_of_the_predecessor_are_taken_over() {
    let mut times = StartTimes::default();
    let now = BEGIN * 1000;
    for (id, up_since, started_at) in
        [("a", 0, 0), ("b", DATE, now - 3 * SECOND), ("c", DATE, now - 7 * SECOND)]
    {
        times.inherit(id, up_since, started_at, now);
    }
    let ages_now = ages(&mut times, Cached, 0.0, &[("a", 0), ("b", DATE), ("c", DATE)]);
    assert_eq!(ages_now, [None, Some(3.0), Some(7.0)]);
    // The predecessor has watched the list: a server that is new now was not there a moment ago.
    let ages_now = ages(&mut times, Full, 1.5, &[("d", DATE), ("e", DATE + HOUR_MS)]);
    assert_eq!(ages_now, [Some(1.5), Some(0.0)]);
}
