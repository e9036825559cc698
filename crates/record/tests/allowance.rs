//! What the origin allows, in a record: it is read as it was written, and a segment that begins under an allowance is played again
//! identically though the module's saved state leaves it out.

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
    let most = OriginAllowance {
        outstanding: u32::MAX,
        calls_left: u32::MAX,
        reserved_for_writes: 7,
        expires_at: u64::MAX / 2,
    };
    vec![None, Some(OriginAllowance::default()), Some(OriginAllowance::new(3, 100, 5_000_000)), Some(most)]
}

#[test]
fn it_is_read_as_it_was_written() {
    let mut writer = Writer::begin(&common::header()).expect("a header");
    writer.state(common::BEGIN, &common::policy(1)).expect("a state");
    for (at, allowance) in (common::BEGIN..).zip(allowances()) {
        writer.event(at, &Event::OriginAllowance(allowance), None);
        writer.actions([].into_iter());
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
struct Memory(Rc<RefCell<Vec<Vec<u8>>>>);

impl Sink for Memory {
    fn write(&mut self, _: &Header, first: bool, piece: Chunk) -> Result<(), String> {
        let mut segments = self.0.borrow_mut();
        if first {
            segments.push(Vec::new());
        }
        segments.last_mut().ok_or("no segment")?.extend(piece.bytes);
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

#[test]
fn a_segment_that_begins_under_an_allowance_is_played_again_identically() {
    let figures = Tuning { segment_mib: 0.05, ..Tuning::default() };
    for seed in 0..6 {
        let memory = Memory::default();
        let mut recorder = Recorder::new(figures.clone(), true, Box::new(memory.clone()), None);
        let mut policy = common::policy(seed);
        let mut day = common::Day::new(seed).without_pools();
        recorder.start("n1", seed, &common::site(), common::BEGIN);
        let mut under_allowance = 0;
        for number in 0..12_000u32 {
            let event = match number % 40 {
                // Told seldom: most segments begin long after it.
                39 => {
                    let scarce = OriginAllowance::new(number / 40 % 4, number / 40 % 9, day.now + 1_000_000);
                    Event::OriginAllowance((number % 400 != 399).then_some(scarce))
                }
                _ => day.next(),
            };
            let mut actions = Vec::new();
            recorder.record_event(day.now, &policy, &event, None);
            under_allowance += u32::from(policy.origin_allowance().is_some());
            policy.handle(day.now, event, &mut actions);
            day.take(&actions);
            recorder.record_actions(day.now, &actions);
        }
        recorder.finish(day.now);
        let segments = memory.0.borrow();
        assert!(segments.len() > 3 && under_allowance > 6_000, "{} segments", segments.len());
        for (number, bytes) in segments.iter().enumerate() {
            let (outcome, _) = replay(&mut Segment::open(bytes).expect("a header")).expect("a record");
            assert_eq!(outcome.first_difference, None, "seed {seed}, segment {number}");
            assert_eq!(outcome.read_error, None);
        }
    }
}
