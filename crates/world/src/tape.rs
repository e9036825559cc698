//! Records of simulated nodes, kept in memory: what a disk that outlives the node would hold.

use std::cell::RefCell;
use std::rc::Rc;

use brassrouter::{Legacy, Settings};
use mothpier_node::config::Config;
use mothpier_record::recorder::{Piece, Sink};
use mothpier_record::recover::{Found, Unseen, recover};
use mothpier_record::{Figures, Header, Recorder};

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
}

impl Tapes {
    pub(crate) fn new(recording: Recording) -> Self {
        Tapes { recording, all: Rc::default() }
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
        let left: Option<Legacy> = left;
        let reel = Box::new(Reel { node, all: self.all.clone() });
        (Recorder::new(self.recording.figures.clone(), true, reel, left).about("world", false), line)
    }

    fn left(&self, node: NodeNo, config: &Config, now: u64) -> Option<Found> {
        let all = self.all.borrow();
        let last = all.iter().rev().find(|t| t.node == node).filter(|_| self.recording.recover)?;
        let settings = Settings { damping: config.operator.storm.damping(), ..config.site.decisions.clone() };
        let unseen = Unseen { span: (self.recording.figures.hand_over_ms * 1000.0) as u64 };
        Some(recover(&last.bytes, &config.name, &settings, now, unseen))
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
