//! Origin allowances in a record: they are read back as written, and a segment that begins under an allowance
//! replays identically although the module's saved state omits it.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use brassrouter::{Event, OriginAllowance};
use mothpier_record::entry::Body;
use mothpier_record::recorder::{Chunk, Sink};
use mothpier_record::replay::replay;
use mothpier_record::segment::Writer;
use mothpier_record::{Header, Recorder, Segment, Tuning};

fn allowances() -> Vec<Option<OriginAllowance>> {
    let largest = OriginAllowance {
        outstanding: u32::MAX,
        calls_left: u32::MAX,
        reserved_for_writes: 7,
        expires_at: u64::MAX / 2,
    };
    vec![None, Some(OriginAllowance::default()), Some(OriginAllowance::new(3, 100, 5_000_000)), Some(largest)]
}

#[test]
fn an_allowance_is_read_back() {
    let mut writer = Writer::begin(&common::header()).expect("a header");
    writer.write_state(common::START, &common::policy(1)).expect("a state");
    for (at, allowance) in (common::START..).zip(allowances()) {
        writer.begin_event(at, &Event::OriginAllowance(allowance), None);
        writer.finish_event([].into_iter());
    }
    let bytes = writer.take();
    let mut segment = Segment::open(&bytes).expect("a header");
    let read: Vec<_> = segment
        .by_ref()
        .filter_map(|entry| match entry.body {
            Body::Event { event: Event::OriginAllowance(allowance), .. } => Some(allowance),
            _ => None,
        })
        .collect();
    assert_eq!(read, allowances());
    assert_eq!(segment.read_error(), None);
}

/// Keeps each segment in memory.
#[derive(Clone, Default)]
struct MemorySink(Rc<RefCell<Vec<Vec<u8>>>>);

impl Sink for MemorySink {
    fn write(&mut self, _: &Header, is_first: bool, chunk: Chunk) -> Result<(), String> {
        let mut segments = self.0.borrow_mut();
        if is_first {
            segments.push(Vec::new());
        }
        segments.last_mut().ok_or("no segment")?.extend(chunk.bytes);
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

#[test]
fn a_segment_that_begins_under_an_allowance_replays_identically() {
    let tuning = Tuning { segment_mib: 0.05, ..Tuning::default() };
    for seed in 0..6 {
        let sink = MemorySink::default();
        let mut recorder = Recorder::new(tuning.clone(), true, Box::new(sink.clone()), None);
        let mut policy = common::policy(seed);
        let mut workload = common::Workload::new(seed).without_zone_routing();
        recorder.start("n1", seed, &common::deployment(), common::START);
        let mut under_allowance = 0;
        for number in 0..12_000u32 {
            let event = match number % 40 {
                // Rare, so that most segments begin long after it.
                39 => {
                    let limited =
                        OriginAllowance::new(number / 40 % 4, number / 40 % 9, workload.now + 1_000_000);
                    Event::OriginAllowance((number % 400 != 399).then_some(limited))
                }
                _ => workload.next_event(),
            };
            let mut actions = Vec::new();
            recorder.record_event(workload.now, &policy, &event, None);
            under_allowance += u32::from(policy.origin_allowance().is_some());
            policy.handle(workload.now, event, &mut actions);
            workload.apply_actions(&actions);
            recorder.record_actions(workload.now, &actions);
        }
        recorder.finish(workload.now);
        let segments = sink.0.borrow();
        assert!(segments.len() > 3 && under_allowance > 6_000, "{} segments", segments.len());
        for (number, bytes) in segments.iter().enumerate() {
            let (outcome, _) = replay(&mut Segment::open(bytes).expect("a header")).expect("a record");
            assert_eq!(outcome.first_difference, None, "seed {seed}, segment {number}");
            assert_eq!(outcome.read_error, None);
        }
    }
}
