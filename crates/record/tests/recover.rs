//! What a next life counts of an earlier one, and which records it does not believe.

mod common;

use brassrouter::{Action, Event, InheritedState, ListKind, Micros, Policy, Request, ServerEntry, Settings};
use mothpier_record::Header;
use mothpier_record::entry::{Body, RecordedAction};
use mothpier_record::monotonic::{ClockReading, MonotonicReading};
use mothpier_record::recover::{Found, Recovery, UnrecordedTail};
use mothpier_record::segment::Writer;

const UNSEEN: UnrecordedTail = UnrecordedTail { duration: 20_000 };
/// The monotonic clock when the records begin.
const BOOTED: MonotonicReading = MonotonicReading { boot_id: 7, at: 50_000_000 };

/// Both clocks, where the wall clock was not stepped.
fn both(clock: Micros) -> ClockReading {
    ClockReading { clock, monotonic: Some(BOOTED.later(clock - common::BEGIN)) }
}

fn recover(bytes: &[u8], node: &str, settings: &Settings, now: ClockReading) -> Found {
    Recovery { node, settings, now, unrecorded_tail: UNSEEN }.recover(bytes)
}

fn settings() -> Settings {
    Settings { node_count: 1, tenants: Vec::new(), ..common::site().policy }
}

/// A life that sends so many writes to the origin, each with an answer still out; its record, with or without an end.
fn life(writes: u64, ended: bool) -> (Vec<u8>, Micros) {
    let mut policy = Policy::new(settings(), 1);
    let header = Header { settings: settings(), monotonic: Some(BOOTED), ..common::header() };
    let mut writer = Writer::begin(&header).unwrap();
    writer.entry(common::BEGIN, &Body::State(postcard::to_allocvec(&policy).unwrap()));
    let origin = ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() };
    let mut now = common::BEGIN;
    let mut tell = |now: Micros, event: Event| {
        let mut actions: Vec<Action> = Vec::new();
        writer.event(now, &event, None);
        policy.handle(now, event, &mut actions);
        writer.actions(actions.iter().map(RecordedAction::from));
        actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    };
    tell(now, Event::ServerList { kind: ListKind::Full, servers: vec![origin] });
    for id in 1..=writes {
        now += 1000;
        let request = Request {
            id,
            class: 1,
            key: 100 + id,
            is_write: true,
            time_left: 3_000_000,
            ..Request::default()
        };
        assert_eq!(tell(now, Event::Request(request)), 1, "write {id} goes out");
    }
    if ended {
        writer.entry(now, &Body::End);
    }
    (writer.take(), now)
}

fn left(bytes: &[u8], now: Micros) -> InheritedState {
    left_at(bytes, both(now))
}

fn left_at(bytes: &[u8], now: ClockReading) -> InheritedState {
    match recover(bytes, "n1", &settings(), now) {
        Found::Inherited(left, _) => left,
        Found::Nothing(why) => panic!("{why}"),
    }
}

fn refused(bytes: &[u8], node: &str, settings: &Settings, now: Micros) -> String {
    match recover(bytes, node, settings, both(now)) {
        Found::Inherited(left, _) => panic!("{left:?}"),
        Found::Nothing(why) => why,
    }
}

#[test]
fn calls_that_may_still_run_and_writes_that_may_have_run_come_along() {
    let (bytes, end) = life(4, true);
    let found = left(&bytes, end + 500_000);
    assert_eq!((found.origin_calls.len(), found.calls_in_window, found.keyed_writes.len()), (4, [4, 0], 4));
    assert!(found.origin_calls.iter().all(|(fetch, until)| !fetch && *until > end + 500_000));
    // Their clients have given up by then, and the origin was told so: only the window of the writes is left.
    let late = left(&bytes, end + 3_500_000);
    assert_eq!((late.origin_calls.len(), late.keyed_writes.len()), (0, 4));
}

/// A new life counts them until they have ended: the old and the new ones together stay under the cap.
#[test]
fn old_and_new_calls_together_stay_under_the_cap() {
    let sent = |legacy: Option<InheritedState>, now: Micros| {
        let mut policy = Policy::new(settings(), 2);
        let (mut actions, mut out) = (Vec::new(), 0);
        if let Some(left) = legacy {
            policy.handle(now, Event::Inherited(left), &mut actions);
        }
        let origin = ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() };
        policy.handle(now, Event::ServerList { kind: ListKind::Full, servers: vec![origin] }, &mut actions);
        for id in 1..=40 {
            actions.clear();
            let request =
                Request { id, class: 1, key: id, is_write: true, time_left: 3_000_000, ..Request::default() };
            // So far apart that the tally of a window stops none of them.
            policy.handle(now + 60_000 * id, Event::Request(request), &mut actions);
            out += actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        }
        out
    };
    // The longer the node was away, the more calls may be missing in the record: with the second, all that the cap allows.
    for (writes, away) in [(2, UNSEEN.duration), (6, 200_000)] {
        let (bytes, end) = life(writes, false);
        let now = end + away;
        let left = left(&bytes, now);
        let unseen = left.origin_calls.len() - writes as usize;
        assert!(unseen >= 1, "what was not handed to the disk may have been calls");
        let (with, without) = (sent(Some(left), now), sent(None, now));
        assert!(without > 6);
        let still_run = writes as usize + unseen;
        assert!(
            away > UNSEEN.duration || without > still_run,
            "{without} of new ones, {still_run} still run"
        );
        assert_eq!(
            with,
            without.saturating_sub(still_run),
            "the calls that still run take the place of new ones"
        );
    }
}

#[test]
fn a_keyed_write_that_is_repeated_past_its_window_fails_in_the_next_life_too() {
    let (bytes, end) = life(3, true);
    let now = end + 2_000_000;
    let mut policy = Policy::new(settings(), 3);
    let mut actions = Vec::new();
    policy.handle(now, Event::Inherited(left(&bytes, now)), &mut actions);
    let origin = ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() };
    policy.handle(now, Event::ServerList { kind: ListKind::Full, servers: vec![origin] }, &mut actions);
    let mut repeat = |id, at| {
        let mut actions = Vec::new();
        let request = Request {
            id,
            class: 1,
            key: 101,
            is_write: true,
            is_retry: true,
            time_left: 3_000_000,
            ..Request::default()
        };
        policy.handle(at, Event::Request(request), &mut actions);
        actions
            .into_iter()
            .find(|a| matches!(a, Action::Send { .. } | Action::Fail(_) | Action::Refuse { .. }))
    };
    let first = common::BEGIN + 1000;
    assert!(matches!(repeat(1, first + 10_000_000), Some(Action::Send { .. })), "well inside the window");
    assert_eq!(repeat(2, first + 11_500_000), Some(Action::Fail(2)), "it would be answered after the window");
    assert_eq!(repeat(3, first + 13_000_000), Some(Action::Fail(3)), "past the window");
}

#[test]
fn records_that_are_not_this_lifes_past_are_not_used() {
    let (bytes, end) = life(4, true);
    let now = end + 100_000;
    assert!(refused(&bytes, "n2", &settings(), now).contains("of node \"n1\""));
    let other = Settings { node_count: 2, ..settings() };
    assert!(refused(&bytes, "n1", &other, now).contains("other settings"));
    assert!(refused(&bytes, "n1", &settings(), now + 3_600_000_000).contains("3600.1 s ago"));
    assert!(refused(&bytes[..100], "n1", &settings(), now).contains("cut off"));
    assert!(refused(b"", "n1", &settings(), now).contains("byte 0"));
}

#[test]
fn torn_anywhere_it_gives_what_is_whole_and_counts_the_unseen_part() {
    let (bytes, end) = life(5, true);
    let mut most = 0;
    for length in 0..bytes.len() {
        if let Found::Inherited(left, line) = recover(&bytes[..length], "n1", &settings(), both(end)) {
            assert!(
                left.keyed_writes.len() <= 5 && left.origin_calls.len() >= left.keyed_writes.len(),
                "cut to {length}: {line}"
            );
            assert!(left.keyed_writes.len() >= most, "a longer beginning never tells of less");
            most = left.keyed_writes.len();
        }
    }
    assert_eq!(most, 5);
}

/// The system's clock was set back by an hour between the lives: nothing may be counted for that hour.
#[test]
fn a_clock_that_was_set_back_makes_nothing_last_longer() {
    let (bytes, end) = life(4, true);
    let now = end - 3_600_000_000;
    let found = left_at(&bytes, ClockReading { clock: now, ..both(end + 100_000) });
    assert_eq!(found.origin_calls.len(), 4);
    assert!(found.origin_calls.iter().all(|(_, until)| *until <= now + 3_000_000));
    assert!(found.keyed_writes.iter().all(|(_, first)| *first <= now) && found.window_start <= now);
}
