//! A node: what it may call, by its lease or else by its turns.

use crate::holder::{Holder, Lease, Usage};
use crate::message::Message;
use crate::meter::{CallId, Meter};
use crate::{HolderId, Life, Millis, Mutant, Permits, Rotation, Timing};

/// What a call was allowed by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The node's lease.
    Lease,
    /// Its turn in the rotation.
    Turn,
}

/// A call that may be begun now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// By what.
    pub source: Source,
    /// When it must have been given up at the latest, by the node's own clock.
    pub gives_up_at: Millis,
}

/// What a node has done in its present turn.
#[derive(Clone, Copy, Debug, Default)]
struct TurnUse {
    slot: Millis,
    calls: u32,
    /// The call that runs, and when it is given up.
    running: Option<(CallId, Millis)>,
}

/// One node's machine.
#[derive(Clone, Debug)]
pub struct Node {
    timing: Timing,
    place: u32,
    holder: Holder,
    meter: Meter,
    rotation: Option<Rotation>,
    /// The first slot whose turn it may use; `None` while another process is the same node.
    first_slot: Option<Millis>,
    turn: TurnUse,
    mutant: Option<Mutant>,
}

impl Node {
    /// A node that starts: its number is its place in the rotation too. `shared` is the shared clock's value, `now` its own.
    pub fn start(
        place: HolderId,
        life: Life,
        timing: Timing,
        (grantors, rotation): (usize, Option<Rotation>),
        (now, shared): (Millis, Millis),
    ) -> Node {
        Node {
            timing,
            place,
            holder: Holder::start(place, life, timing, grantors, now),
            meter: Meter::new(timing.surely_passed(timing.window)),
            rotation,
            first_slot: rotation.map(|rotation| rotation.first_slot(shared)),
            turn: TurnUse::default(),
            mutant: None,
        }
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Node {
        self.holder = self.holder.with_mutant(mutant);
        if mutant == Some(Mutant::FixedWindow) {
            self.meter = self.meter.with_fixed_windows();
        }
        Node { mutant, ..self }
    }

    /// Whether no other process is this node now: two that relieve each other have one turn.
    pub fn set_alone(&mut self, shared: Millis, alone: bool) {
        let slot = self.rotation.map(|rotation| rotation.first_slot(shared));
        self.first_slot = if alone { self.first_slot.or(slot) } else { None };
    }

    /// Its lease.
    pub fn lease(&self, now: Millis) -> Option<Lease> {
        self.holder.lease(now)
    }

    /// When it next has something to do by itself.
    pub fn due(&self) -> Millis {
        self.holder.due()
    }

    /// Time has come to a value, and the node could use so much: what is to be sent, and to the how manyth grantor.
    pub fn tick(&mut self, now: Millis, wanted: Permits) -> Option<(usize, Message)> {
        let in_use = self.meter.used(now);
        self.holder.tick(now, Usage { wanted, in_use })
    }

    /// A grantor's answer has come.
    pub fn handle(&mut self, now: Millis, message: &Message) {
        self.holder.handle(now, message);
    }

    /// Begins a call that lasts so long at most, if its lease or its turn allows one.
    pub fn begin(
        &mut self,
        (now, shared): (Millis, Millis),
        call: CallId,
        longest: Millis,
    ) -> Option<Permit> {
        let gives_up_at = now + longest;
        let source = if self.begin_by_lease(now, call, gives_up_at) {
            Source::Lease
        } else if self.begin_by_turn((now, shared), call, longest) {
            Source::Turn
        } else {
            return None;
        };
        Some(Permit { source, gives_up_at })
    }

    fn begin_by_lease(&mut self, now: Millis, call: CallId, gives_up_at: Millis) -> bool {
        let Some(lease) = self.holder.lease(now) else { return false };
        let ends_in_time = gives_up_at <= lease.until || self.mutant == Some(Mutant::BeginsPastEnd);
        ends_in_time && self.meter.begin(now, call, gives_up_at, lease.permits)
    }

    fn begin_by_turn(&mut self, (now, shared): (Millis, Millis), call: CallId, longest: Millis) -> bool {
        let turn = self.rotation.and_then(|rotation| rotation.turn(self.place, shared));
        let Some((turn, first_slot)) = turn.zip(self.first_slot) else { return false };
        if turn.slot < first_slot || shared < turn.from {
            return false;
        }
        // The shared clock goes on by itself while the call is timed by the node's own.
        if shared + self.timing.at_most_passed(longest) > turn.until {
            return false;
        }
        if self.turn.slot != turn.slot {
            self.turn = TurnUse { slot: turn.slot, ..TurnUse::default() };
        }
        let runs = self.turn.running.is_some_and(|(_, gives_up_at)| now < gives_up_at);
        if runs || self.turn.calls >= turn.calls {
            return false;
        }
        self.turn.calls += 1;
        self.turn.running = Some((call, now + longest));
        true
    }

    /// A call has ended, and the origin knows.
    pub fn end(&mut self, call: CallId) {
        self.meter.end(call);
        self.turn.running = self.turn.running.filter(|(running, _)| *running != call);
    }
}
