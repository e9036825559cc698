//! A node: what it may call, by its lease or else by its turns.

use crate::holder::{Holder, Lease, Usage};
use crate::message::Message;
use crate::meter::{CallId, Meter};
use crate::{HolderId, Life, Millis, Mutant, Permits, Rotation, Timing, Turn};

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

/// What may be begun from now on, for one that decides by itself which calls to begin and tells of each ([`Node::began`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// By what.
    pub source: Source,
    /// Calls that may be outstanding at once, those that are already included, and calls that may still be begun.
    pub permits: Permits,
    /// When each of them must have been given up, by the node's own clock.
    pub until: Millis,
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

    /// The turn that it may use now.
    fn present_turn(&mut self, shared: Millis) -> Option<Turn> {
        let turn = self.rotation?.turn(self.place, shared)?;
        if turn.slot < self.first_slot? || shared < turn.from {
            return None;
        }
        if self.turn.slot != turn.slot {
            self.turn = TurnUse { slot: turn.slot, ..TurnUse::default() };
        }
        Some(turn)
    }

    fn begin_by_turn(&mut self, (now, shared): (Millis, Millis), call: CallId, longest: Millis) -> bool {
        let Some(turn) = self.present_turn(shared) else { return false };
        // The shared clock goes on by itself while the call is timed by the node's own.
        if shared + self.timing.at_most_passed(longest) > turn.until {
            return false;
        }
        let runs = self.turn.running.is_some_and(|(_, gives_up_at)| now < gives_up_at);
        if runs || self.turn.calls >= turn.calls {
            return false;
        }
        self.turn.calls += 1;
        self.turn.running = Some((call, now + longest));
        true
    }

    /// What may be begun from now on: by its lease, else by its turn. It holds until its end, or until the next offer: whoever acts on it
    /// must be told of the next one as soon as a message has been handled, and some of a window later of calls that may be begun again.
    pub fn offer(&mut self, now: Millis, shared: Millis) -> Option<Offer> {
        if let Some(lease) = self.holder.lease(now) {
            let begun = self.meter.used(now).calls;
            let calls = lease.permits.calls.saturating_sub(begun);
            let permits = Permits { calls, ..lease.permits };
            return Some(Offer { source: Source::Lease, permits, until: lease.until });
        }
        let turn = self.present_turn(shared)?;
        let left = self.timing.usable(turn.until.saturating_sub(shared));
        let permits = Permits { outstanding: 1, calls: turn.calls.saturating_sub(self.turn.calls) };
        Some(Offer { source: Source::Turn, permits, until: now + left })
    }

    /// A call was begun within an offer.
    pub fn began(&mut self, now: Millis, call: CallId, permit: Permit) {
        match permit.source {
            Source::Lease => self.meter.note(now, call, permit.gives_up_at),
            Source::Turn => {
                self.turn.calls += 1;
                self.turn.running = Some((call, permit.gives_up_at));
            }
        }
    }

    /// A call has ended, and the origin knows.
    pub fn end(&mut self, call: CallId) {
        self.meter.end(call);
        self.turn.running = self.turn.running.filter(|(running, _)| *running != call);
    }
}
