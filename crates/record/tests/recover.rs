//! What the next incarnation counts of the previous one, and which records it does not use.

mod common;

use brassrouter::{Action, Event, InheritedState, ListKind, Micros, Policy, Request, ServerEntry, Settings};
use mothpier_record::Header;
use mothpier_record::entry::{Body, RecordedAction};
use mothpier_record::monotonic::{ClockReading, MonotonicReading};
use mothpier_record::recover::{Found, Recovery, UnrecordedTail};
use mothpier_record::segment::Writer;

const UNRECORDED_TAIL: UnrecordedTail = UnrecordedTail { duration: 20_000 };
/// The monotonic clock at the start of the records.
const START_READING: MonotonicReading = MonotonicReading { boot_id: 7, at: 50_000_000 };

/// Both clocks, with a wall clock that was not stepped.
fn clocks(clock: Micros) -> ClockReading {
    ClockReading { clock, monotonic: Some(START_READING.later(clock - common::START)) }
}

fn recover(bytes: &[u8], node: &str, settings: &Settings, now: ClockReading) -> Found {
    Recovery { node, settings, now, unrecorded_tail: UNRECORDED_TAIL }.recover(bytes)
}

fn settings() -> Settings {
    Settings { node_count: 1, tenants: Vec::new(), ..common::deployment().policy }
}

/// The record of an incarnation that sends this many writes to the origin, all still unanswered, with or
/// without an orderly end.
fn record_incarnation(writes: u64, clean_shutdown: bool) -> (Vec<u8>, Micros) {
    let mut policy = Policy::new(settings(), 1);
    let header = Header { settings: settings(), monotonic: Some(START_READING), ..common::header() };
    let mut writer = Writer::begin(&header).unwrap();
    writer.write_entry(common::START, &Body::State(postcard::to_allocvec(&policy).unwrap()));
    let origin = ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() };
    let mut now = common::START;
    let mut handle = |now: Micros, event: Event| {
        let mut actions: Vec<Action> = Vec::new();
        writer.begin_event(now, &event, None);
        policy.handle(now, event, &mut actions);
        writer.finish_event(actions.iter().map(RecordedAction::from));
        actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    };
    handle(now, Event::ServerList { kind: ListKind::Full, servers: vec![origin] });
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
        assert_eq!(handle(now, Event::Request(request)), 1, "write {id} is sent");
    }
    if clean_shutdown {
        writer.write_entry(now, &Body::End);
    }
    (writer.take(), now)
}

fn inherited_state(bytes: &[u8], now: Micros) -> InheritedState {
    inherited_state_at(bytes, clocks(now))
}

fn inherited_state_at(bytes: &[u8], now: ClockReading) -> InheritedState {
    match recover(bytes, "n1", &settings(), now) {
        Found::Inherited(inherited_state, _) => inherited_state,
        Found::Nothing(why) => panic!("{why}"),
    }
}

fn rejection(bytes: &[u8], node: &str, settings: &Settings, now: Micros) -> String {
    match recover(bytes, node, settings, clocks(now)) {
        Found::Inherited(inherited_state, _) => panic!("{inherited_state:?}"),
        Found::Nothing(why) => why,
    }
}

#[test]
fn running_calls_and_possible_writes_are_inherited() {
    let (bytes, end_time) = record_incarnation(4, true);
    let inherited = inherited_state(&bytes, end_time + 500_000);
    assert_eq!(
        (inherited.origin_calls.len(), inherited.calls_in_window, inherited.keyed_writes.len()),
        (4, [4, 0], 4)
    );
    assert!(inherited.origin_calls.iter().all(|(fetch, until)| !fetch && *until > end_time + 500_000));
    // Their clients have given up by then, and the origin was notified: only the deduplication window of the
    // writes remains.
    let late = inherited_state(&bytes, end_time + 3_500_000);
    assert_eq!((late.origin_calls.len(), late.keyed_writes.len()), (0, 4));
}

/// The next incarnation counts them until they have ended: the old and the new calls together stay under the
/// limit.
#[test]
fn old_and_new_calls_together_stay_under_the_limit() {
    let sent_calls = |inherited: Option<InheritedState>, now: Micros| {
        let mut policy = Policy::new(settings(), 2);
        let (mut actions, mut sent) = (Vec::new(), 0);
        if let Some(inherited_state) = inherited {
            policy.handle(now, Event::Inherited(inherited_state), &mut actions);
        }
        let origin = ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() };
        policy.handle(now, Event::ServerList { kind: ListKind::Full, servers: vec![origin] }, &mut actions);
        for id in 1..=40 {
            actions.clear();
            let request =
                Request { id, class: 1, key: id, is_write: true, time_left: 3_000_000, ..Request::default() };
            // Far enough apart that the limit per window stops none of them.
            policy.handle(now + 60_000 * id, Event::Request(request), &mut actions);
            sent += actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        }
        sent
    };
    // The longer the node was away, the more calls may be missing in the record: in the second case, as many
    // as the limit allows.
    for (writes, downtime) in [(2, UNRECORDED_TAIL.duration), (6, 200_000)] {
        let (bytes, end_time) = record_incarnation(writes, false);
        let now = end_time + downtime;
        let inherited_state = inherited_state(&bytes, now);
        let assumed_calls = inherited_state.origin_calls.len() - writes as usize;
        assert!(assumed_calls >= 1, "events not handed to the disk may have been calls");
        let (sent_with_record, sent_without_record) =
            (sent_calls(Some(inherited_state), now), sent_calls(None, now));
        assert!(sent_without_record > 6);
        let still_running = writes as usize + assumed_calls;
        assert!(
            downtime > UNRECORDED_TAIL.duration || sent_without_record > still_running,
            "{sent_without_record} new calls, {still_running} still running"
        );
        assert_eq!(
            sent_with_record,
            sent_without_record.saturating_sub(still_running),
            "calls that are still running reduce the number of new ones"
        );
    }
}

#[test]
fn a_retry_of_a_keyed_write_after_its_window_fails_in_the_next_incarnation() {
    let (bytes, end_time) = record_incarnation(3, true);
    let now = end_time + 2_000_000;
    let mut policy = Policy::new(settings(), 3);
    let mut actions = Vec::new();
    policy.handle(now, Event::Inherited(inherited_state(&bytes, now)), &mut actions);
    let origin = ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() };
    policy.handle(now, Event::ServerList { kind: ListKind::Full, servers: vec![origin] }, &mut actions);
    let mut retry = |id, at| {
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
    let first_sent = common::START + 1000;
    assert!(matches!(retry(1, first_sent + 10_000_000), Some(Action::Send { .. })), "inside the window");
    assert_eq!(
        retry(2, first_sent + 11_500_000),
        Some(Action::Fail(2)),
        "its response might come after the window"
    );
    assert_eq!(retry(3, first_sent + 13_000_000), Some(Action::Fail(3)), "past the window");
}

#[test]
fn records_of_other_nodes_settings_or_times_are_not_used() {
    let (bytes, end_time) = record_incarnation(4, true);
    let now = end_time + 100_000;
    assert!(rejection(&bytes, "n2", &settings(), now).contains("of node \"n1\""));
    let other = Settings { node_count: 2, ..settings() };
    assert!(rejection(&bytes, "n1", &other, now).contains("other settings"));
    assert!(rejection(&bytes, "n1", &settings(), now + 3_600_000_000).contains("3600.1 s ago"));
    assert!(rejection(&bytes[..100], "n1", &settings(), now).contains("truncated"));
    assert!(rejection(b"", "n1", &settings(), now).contains("byte 0"));
}

#[test]
fn a_truncated_record_yields_its_prefix_and_assumes_calls_for_the_rest() {
    let (bytes, end_time) = record_incarnation(5, true);
    let mut most_writes = 0;
    for length in 0..bytes.len() {
        if let Found::Inherited(inherited_state, line) =
            recover(&bytes[..length], "n1", &settings(), clocks(end_time))
        {
            assert!(
                inherited_state.keyed_writes.len() <= 5
                    && inherited_state.origin_calls.len() >= inherited_state.keyed_writes.len(),
                "truncated to {length} bytes: {line}"
            );
            assert!(inherited_state.keyed_writes.len() >= most_writes, "a longer prefix never contains less");
            most_writes = inherited_state.keyed_writes.len();
        }
    }
    assert_eq!(most_writes, 5);
}

/// The system clock was set back by an hour between the incarnations: nothing may be counted for that hour.
#[test]
fn a_clock_that_was_set_back_extends_nothing() {
    let (bytes, end_time) = record_incarnation(4, true);
    let now = end_time - 3_600_000_000;
    let inherited = inherited_state_at(&bytes, ClockReading { clock: now, ..clocks(end_time + 100_000) });
    assert_eq!(inherited.origin_calls.len(), 4);
    assert!(inherited.origin_calls.iter().all(|(_, until)| *until <= now + 3_000_000));
    assert!(
        inherited.keyed_writes.iter().all(|(_, first_sent)| *first_sent <= now)
            && inherited.window_start <= now
    );
}
