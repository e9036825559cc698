//! Records of simulated nodes, kept in memory: what a disk that outlives the node would hold.

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;

use brassrouter::{InheritedState, Settings};
use mothpier_node::config::Config;
use mothpier_record::monotonic::{Now, Reading};
use mothpier_record::recorder::{Piece, Sink};
use mothpier_record::recover::{Found, Recovery, Unseen};
use mothpier_record::{Figures, Header, Recorder};
use tokio::time::Instant;

use crate::observe::NodeNo;

/// How nodes record.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    /// Figures of their recorders.
    pub figures: Figures,
    /// Whether a node that restarts counts what its record says.
    pub recover: bool,
}

/// One segment that a node recorded.
#[derive(Clone, Debug)]
pub struct Tape {
    /// The node.
    pub node: NodeNo,
    /// When that life of it began.
    pub life: u64,
    /// Number of the segment within the life.
    pub number: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The tapes of a world.
#[derive(Clone)]
pub(crate) struct Tapes {
    recording: Recording,
    all: Rc<RefCell<Vec<Tape>>>,
    /// When the first recorder was made: where the monotonic clock of the world begins.
    booted: Rc<OnceCell<Instant>>,
}

impl Tapes {
    pub(crate) fn new(recording: Recording) -> Self {
        Tapes { recording, all: Rc::default(), booted: Rc::default() }
    }

    /// Reads the monotonic clock of the world.
    fn monotonic(&self) -> impl Fn() -> Option<Reading> + 'static {
        let booted = *self.booted.get_or_init(Instant::now);
        move || Some(Reading { boot: 0, at: booted.elapsed().as_micros() as u64 })
    }

    pub(crate) fn take(&self) -> Vec<Tape> {
        self.all.take()
    }

    /// The recorder of a node that starts, and a line of what it takes over.
    pub(crate) fn recorder(&self, node: NodeNo, config: &Config, now: u64) -> (Recorder, Option<String>) {
        let (left, line) = match self.left(node, config, now) {
            Some(Found::Legacy(left, line)) => (Some(left), Some(line)),
            Some(Found::Nothing(line)) => (None, Some(line)),
            None => (None, None),
        };
        let left: Option<InheritedState> = left;
        let reel = Box::new(Reel { node, all: self.all.clone() });
        let recorder = Recorder::new(self.recording.figures.clone(), true, reel, left)
            .about("world", false)
            .monotonic(self.monotonic())
            .recovered_at(now)
            .after_incarnation(self.largest_incarnation(node));
        (recorder, line)
    }

    fn largest_incarnation(&self, node: NodeNo) -> Option<u64> {
        self.all.borrow().iter().filter(|tape| tape.node == node).map(|tape| tape.life).max()
    }

    fn left(&self, node: NodeNo, config: &Config, now: u64) -> Option<Found> {
        let all = self.all.borrow();
        let last = all.iter().rev().find(|t| t.node == node).filter(|_| self.recording.recover)?;
        let settings =
            Settings { storm_mitigation: config.operator.storm.damping(), ..config.site.policy.clone() };
        let unseen = Unseen { span: (self.recording.figures.hand_over_ms * 1000.0) as u64 };
        let now = Now { clock: now, monotonic: self.monotonic()() };
        Some(Recovery { node: &config.name, settings: &settings, now, unseen }.recover(&last.bytes))
    }
}

struct Reel {
    node: NodeNo,
    all: Rc<RefCell<Vec<Tape>>>,
}

impl Sink for Reel {
    fn piece(&mut self, header: &Header, first: bool, piece: Piece) -> Result<(), String> {
        let mut all = self.all.borrow_mut();
        let (node, life, number) = (self.node, header.life, header.number);
        if first {
            all.push(Tape { node, life, number, bytes: piece.bytes });
            return Ok(());
        }
        let own = all.iter_mut().rev().find(|t| (t.node, t.life, t.number) == (node, life, number));
        own.ok_or("the segment has not begun")?.bytes.extend(piece.bytes);
        Ok(())
    }

    fn dropped(&mut self) -> u64 {
        0
    }
}
