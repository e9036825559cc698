//! What a restart counts when the wall clock was stepped, when the newest segment was half written, and when entries
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

const BOOTED: MonotonicReading = MonotonicReading { boot_id: 7, at: 50_000_000 };
const LONGEST_DEADLINE: Micros = 3_000_000;
const SECOND: i64 = 1_000_000;
const STEPS: [i64; 4] = [2 * SECOND, -2 * SECOND, 3600 * SECOND, -3600 * SECOND];
const WRITES: u64 = 4;

fn settings() -> Settings {
    Settings { node_count: 1, tenants: Vec::new(), ..common::site().policy }
}

fn origin() -> Event {
    let servers = vec![ServerEntry { id: 6, machine_type: 1, ..ServerEntry::default() }];
    Event::ServerList { kind: ListKind::Full, servers }
}

fn write(id: u64, repeat: bool) -> Event {
    let request = Request {
        id,
        class: 1,
        key: 100 + id,
        is_write: true,
        is_retry: repeat,
        time_left: 3_000_000,
        ..Request::default()
    };
    Event::Request(request)
}

/// A segment with writes at the origin that have no answer; the clock of its last entry. The policy goes on from there.
fn segment(
    policy: &mut Policy,
    number: u32,
    begin: Micros,
    writes: std::ops::Range<u64>,
    ended: bool,
) -> (Vec<u8>, Micros) {
    let monotonic = Some(BOOTED.later(begin - common::BEGIN));
    let header = Header { settings: settings(), number, started_at: begin, monotonic, ..common::header() };
    let mut writer = Writer::begin(&header).unwrap();
    writer.state(begin, policy).unwrap();
    let mut now = begin;
    for event in std::iter::once(origin()).chain(writes.map(|id| write(id, false))) {
        now += 1000;
        let mut actions = Vec::new();
        writer.event(now, &event, None);
        policy.handle(now, event, &mut actions);
        writer.actions(actions.iter().map(RecordedAction::from));
    }
    if ended {
        writer.entry(now, &Body::End);
    }
    (writer.take(), now)
}

fn record(ended: bool) -> (Vec<u8>, Micros) {
    segment(&mut Policy::new(settings(), 1), 0, common::BEGIN, 1..WRITES + 1, ended)
}

fn found(segments: &[&[u8]], now: ClockReading) -> (InheritedState, String) {
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
        Found::Inherited(legacy, line) => (legacy, line),
        Found::Nothing(why) => panic!("{why}"),
    }
}

fn stepped(clock: Micros, step: i64) -> Micros {
    clock.saturating_add_signed(step)
}

/// With the monotonic clock as proof, a step changes nothing.
#[test]
fn a_stepped_wall_clock_changes_nothing_where_the_monotonic_clock_proves_the_age() {
    let (bytes, end) = record(true);
    let now = end + 500_000;
    let monotonic = Some(BOOTED.later(now - common::BEGIN));
    let (expected, _) = found(&[&bytes], ClockReading { clock: now, monotonic });
    assert_eq!(
        (expected.origin_calls.len(), expected.keyed_writes.len()),
        (WRITES as usize, WRITES as usize)
    );
    for step in STEPS {
        let clock = stepped(now, step);
        let (left, _) = found(&[&bytes], ClockReading { clock, monotonic });
        let moved = |time: Micros| stepped(time, step);
        assert_eq!(
            left.origin_calls,
            expected.origin_calls.iter().map(|(f, until)| (*f, moved(*until))).collect::<Vec<_>>()
        );
        assert_eq!(
            left.keyed_writes,
            expected.keyed_writes.iter().map(|(k, first)| (*k, moved(*first))).collect::<Vec<_>>()
        );
        assert_eq!(left.window_start, moved(expected.window_start), "step {step}");
    }
}

/// Without a proof every call counts, for no longer than the longest deadline, and no repeat is sent.
#[test]
fn without_a_proof_of_age_calls_count_to_the_longest_deadline_and_repeats_fail() {
    let (bytes, end) = record(true);
    let other_boot = Some(MonotonicReading { boot_id: 8, at: 1 });
    for step in STEPS.into_iter().chain([0]) {
        for monotonic in [None, other_boot] {
            let clock = stepped(end + 500_000, step);
            let (left, line) = found(&[&bytes], ClockReading { clock, monotonic });
            assert!(line.contains("not known"), "{line}");
            assert_eq!(left.origin_calls.len(), WRITES as usize, "step {step}");
            let bound = clock + 1..=clock + LONGEST_DEADLINE;
            assert!(
                left.origin_calls.iter().all(|(_, until)| bound.contains(until)),
                "step {step}: {left:?}"
            );
            let mut policy = Policy::new(settings(), 2);
            policy.handle(clock, Event::Inherited(left), &mut Vec::new());
            policy.handle(clock, origin(), &mut Vec::new());
            for (id, after) in [(1, 1000), (2, 6_000_000), (3, 11_000_000)] {
                let mut actions = Vec::new();
                policy.handle(clock + after, write(id, true), &mut actions);
                assert!(
                    !actions.iter().any(|a| matches!(a, Action::Send { .. })),
                    "step {step}: {actions:?}"
                );
            }
        }
    }
}

/// Cut anywhere, the newest segment hides nothing of the one before it.
#[test]
fn cut_at_every_byte_the_newest_segment_gives_what_is_whole_or_the_one_before_does() {
    let mut policy = Policy::new(settings(), 1);
    let (older, end) = segment(&mut policy, 0, common::BEGIN, 1..3, false);
    let (newest, end) = segment(&mut policy, 1, end + 1000, 3..5, false);
    let now =
        ClockReading { clock: end + 100_000, monotonic: Some(BOOTED.later(end + 100_000 - common::BEGIN)) };
    for length in 0..newest.len() {
        let cut = &newest[..length];
        let (left, line) = found(&[cut, &older], now);
        let whole = Segment::open(cut).ok().and_then(|mut segment| replay(&mut segment).ok());
        match whole {
            Some((outcome, policy)) => {
                let known = policy.inheritable_state();
                assert_eq!(left.keyed_writes.len(), known.keyed_writes.len(), "cut at {length}");
                assert!(
                    left.origin_calls.len() > known.origin_calls.len(),
                    "cut at {length}: some may be missing"
                );
                assert_eq!(
                    line.contains("torn at byte"),
                    outcome.read_error.is_some(),
                    "cut at {length}: {line}"
                );
            }
            None => {
                assert_eq!(left.keyed_writes.len(), 2, "cut at {length}");
                assert!(
                    left.origin_calls.len() > 2 && line.contains("1 newer segments can't be read"),
                    "{line}"
                );
            }
        }
    }
}

#[test]
fn segments_that_can_not_be_read_are_passed_over() {
    let (bytes, end) = record(true);
    let now =
        ClockReading { clock: end + 100_000, monotonic: Some(BOOTED.later(end + 100_000 - common::BEGIN)) };
    for newest in [&b""[..], b"EIO", b"chalkrec", &[0xff; 300], &bytes[..40]] {
        let (left, line) = found(&[newest, newest, &bytes], now);
        assert_eq!(left.keyed_writes.len(), WRITES as usize, "{line}");
        assert!(left.origin_calls.len() > WRITES as usize, "what the newer ones said is missing: {line}");
    }
}

/// Where as much as the longest deadline is missing, or all, the whole limit of calls counts as out; that ends.
#[test]
fn after_a_failing_disk_as_many_calls_are_counted_as_the_gate_lets_be_out() {
    let limit = Policy::new(settings(), 1).inheritable_state().outstanding_limit as usize;
    let (bytes, end) = record(false);
    let late = end + 10_000_000;
    for segments in [&[&bytes[..]][..], &[b"EIO"], &[b""]] {
        let (left, _) = found(
            segments,
            ClockReading { clock: late, monotonic: Some(BOOTED.later(late - common::BEGIN)) },
        );
        assert!(left.origin_calls.len() >= limit, "{} of {limit}", left.origin_calls.len());
        assert!(left.origin_calls.iter().all(|(_, until)| *until <= late + LONGEST_DEADLINE));
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

/// The wall clock is stepped between the recovery and the node's begin, and stood ahead in the life before.
#[test]
fn the_legacy_moves_with_the_nodes_clock_and_the_incarnation_is_greater_than_the_largest() {
    for step in STEPS {
        let begin = stepped(common::BEGIN, step);
        let headers = Rc::new(RefCell::new(Vec::new()));
        let legacy = InheritedState {
            origin_calls: vec![(true, common::BEGIN + 700_000)],
            ..InheritedState::default()
        };
        let sink = Box::new(Headers(headers.clone()));
        let mut recorder = Recorder::new(Tuning::default(), true, sink, Some(legacy))
            .recovered_at(common::BEGIN)
            .with_monotonic_clock(|| Some(BOOTED))
            .after_incarnation(Some(common::BEGIN));
        recorder.start("n1", 1, &common::site(), begin);
        assert_eq!(
            recorder.take_inherited_state().map(|l| l.origin_calls),
            Some(vec![(true, begin + 700_000)]),
            "step {step}"
        );
        recorder.record_event(begin + 5_000_000, &Policy::new(settings(), 1), &origin(), None);
        recorder.record_actions(begin + 5_000_000, &[]);
        recorder.finish(begin + 5_000_000);
        let headers = headers.borrow();
        assert_eq!(headers[0].incarnation, begin.max(common::BEGIN + 1), "step {step}");
        assert_eq!(headers[0].monotonic, Some(BOOTED.later(5_000_000)), "step {step}");
    }
}
