//! Records of simulated nodes, kept in memory as on a disk that outlives the node.

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;

use brassrouter::{InheritedState, Settings};
use mothpier_node::config::Config;
use mothpier_record::monotonic::{ClockReading, MonotonicReading};
use mothpier_record::recorder::{Chunk, Sink};
use mothpier_record::recover::{Found, Recovery, UnrecordedTail};
use mothpier_record::{Header, Recorder, Tuning};
use tokio::time::Instant;

use crate::observe::NodeIndex;

/// How nodes record.
#[derive(Clone, Debug, Default)]
pub struct RecordingOptions {
    /// Tuning of their recorders.
    pub tuning: Tuning,
    /// Whether a restarting node recovers state from its record.
    pub recover: bool,
}

/// A recorded segment.
#[derive(Clone, Debug)]
pub struct RecordedSegment {
    /// The node.
    pub node: NodeIndex,
    /// The incarnation of the node, by its start time.
    pub incarnation: u64,
    /// Number of the segment within the incarnation.
    pub number: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// All recorded segments of a run.
#[derive(Clone)]
pub(crate) struct Recordings {
    options: RecordingOptions,
    segments: Rc<RefCell<Vec<RecordedSegment>>>,
    /// When the first recorder was created; the monotonic clock starts there.
    clock_started: Rc<OnceCell<Instant>>,
}

impl Recordings {
    pub(crate) fn new(options: RecordingOptions) -> Self {
        Recordings { options, segments: Rc::default(), clock_started: Rc::default() }
    }

    /// The monotonic clock of the run.
    fn monotonic(&self) -> impl Fn() -> Option<MonotonicReading> + 'static {
        let started = *self.clock_started.get_or_init(Instant::now);
        move || Some(MonotonicReading { boot_id: 0, at: started.elapsed().as_micros() as u64 })
    }

    pub(crate) fn take(&self) -> Vec<RecordedSegment> {
        self.segments.take()
    }

    /// The recorder of a node that starts, with a log line on the recovered state.
    pub(crate) fn recorder(&self, node: NodeIndex, config: &Config, now: u64) -> (Recorder, Option<String>) {
        let (inherited, line) = match self.recovered(node, config, now) {
            Some(Found::Inherited(inherited, line)) => (Some(inherited), Some(line)),
            Some(Found::Nothing(line)) => (None, Some(line)),
            None => (None, None),
        };
        let inherited: Option<InheritedState> = inherited;
        let sink = Box::new(SegmentSink { node, segments: self.segments.clone() });
        let recorder = Recorder::new(self.options.tuning.clone(), true, sink, inherited)
            .with_program("world", false)
            .with_monotonic_clock(self.monotonic())
            .recovered_at(now)
            .after_incarnation(self.largest_incarnation(node));
        (recorder, line)
    }

    fn largest_incarnation(&self, node: NodeIndex) -> Option<u64> {
        self.segments
            .borrow()
            .iter()
            .filter(|segment| segment.node == node)
            .map(|segment| segment.incarnation)
            .max()
    }

    fn recovered(&self, node: NodeIndex, config: &Config, now: u64) -> Option<Found> {
        let segments = self.segments.borrow();
        let last = segments.iter().rev().find(|t| t.node == node).filter(|_| self.options.recover)?;
        let settings =
            Settings { storm_mitigation: config.operator.storm.damping(), ..config.site.policy.clone() };
        let unseen = UnrecordedTail { duration: (self.options.tuning.hand_over_ms * 1000.0) as u64 };
        let now = ClockReading { clock: now, monotonic: self.monotonic()() };
        Some(
            Recovery { node: &config.name, settings: &settings, now, unrecorded_tail: unseen }
                .recover(&last.bytes),
        )
    }
}

struct SegmentSink {
    node: NodeIndex,
    segments: Rc<RefCell<Vec<RecordedSegment>>>,
}

impl Sink for SegmentSink {
    fn write(&mut self, header: &Header, first: bool, piece: Chunk) -> Result<(), String> {
        let mut all = self.segments.borrow_mut();
        let (node, incarnation, number) = (self.node, header.incarnation, header.number);
        if first {
            all.push(RecordedSegment { node, incarnation, number, bytes: piece.bytes });
            return Ok(());
        }
        let own =
            all.iter_mut().rev().find(|t| (t.node, t.incarnation, t.number) == (node, incarnation, number));
        own.ok_or("the segment has not begun")?.bytes.extend(piece.bytes);
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}
