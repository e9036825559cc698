//! What a restart counts if the wall clock was stepped, if the newest segment is truncated, and if entries
//! are missing.

mod common;

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use brassrouter::{Action, Event, InheritedState, ListKind, Micros, Policy, Request, ServerEntry, Settings};
use mothpier_record::entry::{Body, RecordedAction};
use mothpier_record::monotonic::{ClockReading, MonotonicReading};
use mothpier_record::recorder::{Chunk, Sink};
use mothpier_record::recover::{Found, Recovery, UnrecordedTail};
use mothpier_record::replay::replay;
use mothpier_record::segment::{Segment, Writer};
use mothpier_record::{Header, Recorder, Tuning};

const START_READING: MonotonicReading = MonotonicReading { boot_id: 7, at: 50_000_000 };
const LONGEST_DEADLINE: Micros = 3_000_000;
const SECOND: i64 = 1_000_000;
const STEPS: [i64; 4] = [2 * SECOND, -2 * SECOND, 3600 * SECOND, -3600 * SECOND];
const WRITES: u64 = 4;

fn settings() -> Settings {
    Settings { node_count: 1, tenants: Vec::new(), ..common::deployment().policy }
}

fn origin() -> Event {
    let servers = vec![ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() }];
    Event::ServerList { kind: ListKind::Full, servers }
}

fn write_request(id: u64, is_retry: bool) -> Event {
    let request = Request {
        id,
        class: 1,
        key: 100 + id,
        is_write: true,
        is_retry,
        time_left: 3_000_000,
        ..Request::default()
    };
    Event::Request(request)
}

/// A segment with unanswered writes at the origin, and the clock value of its last entry. The policy is
/// advanced.
fn segment(
    policy: &mut Policy,
    number: u32,
    start: Micros,
    writes: std::ops::Range<u64>,
    clean_shutdown: bool,
) -> (Vec<u8>, Micros) {
    let monotonic = Some(START_READING.later(start - common::START));
    let header = Header { settings: settings(), number, started_at: start, monotonic, ..common::header() };
    let mut writer = Writer::begin(&header).unwrap();
    writer.write_state(start, policy).unwrap();
    let mut now = start;
    for event in std::iter::once(origin()).chain(writes.map(|id| write_request(id, false))) {
        now += 1000;
        let mut actions = Vec::new();
        writer.begin_event(now, &event, None);
        policy.handle(now, event, &mut actions);
        writer.finish_event(actions.iter().map(RecordedAction::from));
    }
    if clean_shutdown {
        writer.write_entry(now, &Body::End);
    }
    (writer.take(), now)
}

fn record(clean_shutdown: bool) -> (Vec<u8>, Micros) {
    segment(&mut Policy::new(settings(), 1), 0, common::START, 1..WRITES + 1, clean_shutdown)
}

fn recover(segments: &[&[u8]], now: ClockReading) -> (InheritedState, String) {
    let names: Vec<String> = (0..segments.len()).map(|i| i.to_string()).collect();
    let settings = settings();
    let recovery = Recovery {
        node: "n1",
        settings: &settings,
        now,
        unrecorded_tail: UnrecordedTail { duration: 20_000 },
    };
    let read = |name: &str| match segments[name.parse::<usize>().unwrap()] {
        b"EIO" => Err(io::Error::from_raw_os_error(5)),
        bytes => Ok(bytes.to_vec()),
    };
    match recovery.recover_newest(&names, read) {
        Found::Inherited(inherited, line) => (inherited, line),
        Found::Nothing(why) => panic!("{why}"),
    }
}

fn step_clock(clock: Micros, step: i64) -> Micros {
    clock.saturating_add_signed(step)
}

/// If the monotonic clock proves the age, a step of the wall clock makes no difference.
#[test]
fn a_wall_clock_step_changes_nothing_if_the_monotonic_clock_proves_the_age() {
    let (bytes, end_time) = record(true);
    let now = end_time + 500_000;
    let monotonic = Some(START_READING.later(now - common::START));
    let (expected, _) = recover(&[&bytes], ClockReading { clock: now, monotonic });
    assert_eq!(
        (expected.origin_calls.len(), expected.keyed_writes.len()),
        (WRITES as usize, WRITES as usize)
    );
    for step in STEPS {
        let clock = step_clock(now, step);
        let (inherited, _) = recover(&[&bytes], ClockReading { clock, monotonic });
        let shifted = |time: Micros| step_clock(time, step);
        assert_eq!(
            inherited.origin_calls,
            expected.origin_calls.iter().map(|(f, until)| (*f, shifted(*until))).collect::<Vec<_>>()
        );
        assert_eq!(
            inherited.keyed_writes,
            expected.keyed_writes.iter().map(|(k, first)| (*k, shifted(*first))).collect::<Vec<_>>()
        );
        assert_eq!(inherited.window_start, shifted(expected.window_start), "step {step}");
    }
}

/// Without a proof of age every call counts, up to the longest deadline, and no retry is sent.
#[test]
fn without_proof_of_age_calls_count_to_the_longest_deadline_and_retries_fail() {
    let (bytes, end_time) = record(true);
    let other_boot = Some(MonotonicReading { boot_id: 8, at: 1 });
    for step in STEPS.into_iter().chain([0]) {
        for monotonic in [None, other_boot] {
            let clock = step_clock(end_time + 500_000, step);
            let (inherited, line) = recover(&[&bytes], ClockReading { clock, monotonic });
            assert!(line.contains("unknown time"), "{line}");
            assert_eq!(inherited.origin_calls.len(), WRITES as usize, "step {step}");
            let bound = clock + 1..=clock + LONGEST_DEADLINE;
            assert!(
                inherited.origin_calls.iter().all(|(_, until)| bound.contains(until)),
                "step {step}: {inherited:?}"
            );
            let mut policy = Policy::new(settings(), 2);
            policy.handle(clock, Event::Inherited(inherited), &mut Vec::new());
            policy.handle(clock, origin(), &mut Vec::new());
            for (id, delay) in [(1, 1000), (2, 6_000_000), (3, 11_000_000)] {
                let mut actions = Vec::new();
                policy.handle(clock + delay, write_request(id, true), &mut actions);
                assert!(
                    !actions.iter().any(|a| matches!(a, Action::Send { .. })),
                    "step {step}: {actions:?}"
                );
            }
        }
    }
}

/// A newest segment that is truncated anywhere hides nothing of the previous one.
#[test]
fn a_truncated_newest_segment_yields_its_prefix_or_the_previous_segment() {
    let mut policy = Policy::new(settings(), 1);
    let (older, end_time) = segment(&mut policy, 0, common::START, 1..3, false);
    let (newest, end_time) = segment(&mut policy, 1, end_time + 1000, 3..5, false);
    let now = ClockReading {
        clock: end_time + 100_000,
        monotonic: Some(START_READING.later(end_time + 100_000 - common::START)),
    };
    for length in 0..newest.len() {
        let truncated = &newest[..length];
        let (inherited, line) = recover(&[truncated, &older], now);
        let readable = Segment::open(truncated).ok().and_then(|mut segment| replay(&mut segment).ok());
        match readable {
            Some((outcome, policy)) => {
                let recorded_state = policy.inheritable_state();
                assert_eq!(
                    inherited.keyed_writes.len(),
                    recorded_state.keyed_writes.len(),
                    "truncated to {length} bytes"
                );
                assert!(
                    inherited.origin_calls.len() > recorded_state.origin_calls.len(),
                    "truncated to {length} bytes: some may be missing"
                );
                assert_eq!(
                    line.contains("unreadable from byte"),
                    outcome.read_error.is_some(),
                    "truncated to {length} bytes: {line}"
                );
            }
            None => {
                assert_eq!(inherited.keyed_writes.len(), 2, "truncated to {length} bytes");
                assert!(
                    inherited.origin_calls.len() > 2 && line.contains("1 newer segments are unreadable"),
                    "{line}"
                );
            }
        }
    }
}

#[test]
fn unreadable_segments_are_skipped() {
    let (bytes, end_time) = record(true);
    let now = ClockReading {
        clock: end_time + 100_000,
        monotonic: Some(START_READING.later(end_time + 100_000 - common::START)),
    };
    for newest in [&b""[..], b"EIO", b"chalkrec", &[0xff; 300], &bytes[..40]] {
        let (inherited, line) = recover(&[newest, newest, &bytes], now);
        assert_eq!(inherited.keyed_writes.len(), WRITES as usize, "{line}");
        assert!(
            inherited.origin_calls.len() > WRITES as usize,
            "entries of the newer segments are missing: {line}"
        );
    }
}

/// If as much as the longest deadline or everything is missing, the whole limit of calls counts as
/// outstanding, until that deadline.
#[test]
fn after_a_disk_failure_the_limit_of_outstanding_calls_is_counted() {
    let limit = Policy::new(settings(), 1).inheritable_state().outstanding_limit as usize;
    let (bytes, end_time) = record(false);
    let late_time = end_time + 10_000_000;
    for segments in [&[&bytes[..]][..], &[b"EIO"], &[b""]] {
        let (inherited, _) = recover(
            segments,
            ClockReading {
                clock: late_time,
                monotonic: Some(START_READING.later(late_time - common::START)),
            },
        );
        assert!(inherited.origin_calls.len() >= limit, "{} of {limit}", inherited.origin_calls.len());
        assert!(inherited.origin_calls.iter().all(|(_, until)| *until <= late_time + LONGEST_DEADLINE));
    }
}

struct Headers(Rc<RefCell<Vec<Header>>>);

impl Sink for Headers {
    fn write(&mut self, header: &Header, _: bool, _: Chunk) -> Result<(), String> {
        self.0.borrow_mut().push(header.clone());
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

/// The wall clock is stepped between the recovery and the node's start, and was ahead in the previous
/// incarnation.
#[test]
fn inherited_times_follow_the_clock_and_the_incarnation_exceeds_the_largest() {
    for step in STEPS {
        let start = step_clock(common::START, step);
        let headers = Rc::new(RefCell::new(Vec::new()));
        let inherited = InheritedState {
            origin_calls: vec![(true, common::START + 700_000)],
            ..InheritedState::default()
        };
        let sink = Box::new(Headers(headers.clone()));
        let mut recorder = Recorder::new(Tuning::default(), true, sink, Some(inherited))
            .recovered_at(common::START)
            .with_monotonic_clock(|| Some(START_READING))
            .after_incarnation(Some(common::START));
        recorder.start("n1", 1, &common::deployment(), start);
        assert_eq!(
            recorder.take_inherited_state().map(|inherited| inherited.origin_calls),
            Some(vec![(true, start + 700_000)]),
            "step {step}"
        );
        recorder.record_event(start + 5_000_000, &Policy::new(settings(), 1), &origin(), None);
        recorder.record_actions(start + 5_000_000, &[]);
        recorder.finish(start + 5_000_000);
        let headers = headers.borrow();
        assert_eq!(headers[0].incarnation, start.max(common::START + 1), "step {step}");
        assert_eq!(headers[0].monotonic, Some(START_READING.later(5_000_000)), "step {step}");
    }
}
