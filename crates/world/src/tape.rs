//! Records of simulated nodes, kept in memory: what a disk that outlives the node would hold.

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
    /// Figures of their recorders.
    pub tuning: Tuning,
    /// Whether a node that restarts counts what its record says.
    pub recover: bool,
}

/// One segment that a node recorded.
#[derive(Clone, Debug)]
pub struct RecordedSegment {
    /// The node.
    pub node: NodeIndex,
    /// When that life of it began.
    pub incarnation: u64,
    /// Number of the segment within the life.
    pub number: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The tapes of a world.
#[derive(Clone)]
pub(crate) struct Tapes {
    recording: RecordingOptions,
    all: Rc<RefCell<Vec<RecordedSegment>>>,
    /// When the first recorder was made: where the monotonic clock of the world begins.
    booted: Rc<OnceCell<Instant>>,
}

impl Tapes {
    pub(crate) fn new(recording: RecordingOptions) -> Self {
        Tapes { recording, all: Rc::default(), booted: Rc::default() }
    }

    /// Reads the monotonic clock of the world.
    fn monotonic(&self) -> impl Fn() -> Option<MonotonicReading> + 'static {
        let booted = *self.booted.get_or_init(Instant::now);
        move || Some(MonotonicReading { boot_id: 0, at: booted.elapsed().as_micros() as u64 })
    }

    pub(crate) fn take(&self) -> Vec<RecordedSegment> {
        self.all.take()
    }

    /// The recorder of a node that starts, and a line of what it takes over.
    pub(crate) fn recorder(&self, node: NodeIndex, config: &Config, now: u64) -> (Recorder, Option<String>) {
        let (left, line) = match self.left(node, config, now) {
            Some(Found::Inherited(left, line)) => (Some(left), Some(line)),
            Some(Found::Nothing(line)) => (None, Some(line)),
            None => (None, None),
        };
        let left: Option<InheritedState> = left;
        let reel = Box::new(Reel { node, all: self.all.clone() });
        let recorder = Recorder::new(self.recording.tuning.clone(), true, reel, left)
            .with_program("world", false)
            .with_monotonic_clock(self.monotonic())
            .recovered_at(now)
            .after_incarnation(self.largest_incarnation(node));
        (recorder, line)
    }

    fn largest_incarnation(&self, node: NodeIndex) -> Option<u64> {
        self.all.borrow().iter().filter(|tape| tape.node == node).map(|tape| tape.incarnation).max()
    }

    fn left(&self, node: NodeIndex, config: &Config, now: u64) -> Option<Found> {
        let all = self.all.borrow();
        let last = all.iter().rev().find(|t| t.node == node).filter(|_| self.recording.recover)?;
        let settings =
            Settings { storm_mitigation: config.operator.storm.damping(), ..config.site.policy.clone() };
        let unseen = UnrecordedTail { duration: (self.recording.tuning.hand_over_ms * 1000.0) as u64 };
        let now = ClockReading { clock: now, monotonic: self.monotonic()() };
        Some(
            Recovery { node: &config.name, settings: &settings, now, unrecorded_tail: unseen }
                .recover(&last.bytes),
        )
    }
}

struct Reel {
    node: NodeIndex,
    all: Rc<RefCell<Vec<RecordedSegment>>>,
}

impl Sink for Reel {
    fn write(&mut self, header: &Header, first: bool, piece: Chunk) -> Result<(), String> {
        let mut all = self.all.borrow_mut();
        let (node, life, number) = (self.node, header.incarnation, header.number);
        if first {
            all.push(RecordedSegment { node, incarnation: life, number, bytes: piece.bytes });
            return Ok(());
        }
        let own = all.iter_mut().rev().find(|t| (t.node, t.incarnation, t.number) == (node, life, number));
        own.ok_or("the segment has not begun")?.bytes.extend(piece.bytes);
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}
