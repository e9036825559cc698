//! Decides which calls a node may begin, by its lease or else by its turns in the rotation.

use crate::holder::{Holder, Lease, Usage};
use crate::message::Message;
use crate::meter::{CallId, Meter};
use crate::{HolderId, Incarnation, Millis, Mutant, Permits, Rotation, Timing, Turn};

/// What allows a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The node's lease.
    Lease,
    /// Its turn in the rotation.
    Turn,
}

/// Permission to begin one call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// What allows the call.
    pub source: Source,
    /// When the call must have been given up, by the node's own clock.
    pub deadline: Millis,
}

/// What may be begun from now on, for a caller that decides itself which calls to begin and reports each one
/// ([`Node::record_call`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// What allows the calls.
    pub source: Source,
    /// Limit of outstanding calls, including those already running, and the number of calls that may still be
    /// begun.
    pub permits: Permits,
    /// When each of them must have been given up, by the node's own clock.
    pub until: Millis,
}

/// What a node has used of its current turn.
#[derive(Clone, Copy, Debug, Default)]
struct TurnUsage {
    slot_start: Millis,
    calls: u32,
    /// The running call and its deadline.
    running: Option<(CallId, Millis)>,
}

/// State machine of one node.
#[derive(Clone, Debug)]
pub struct Node {
    timing: Timing,
    position: u32,
    holder: Holder,
    meter: Meter,
    rotation: Option<Rotation>,
    /// The first slot whose turn it may use; `None` while another process of the same node runs.
    first_slot: Option<Millis>,
    turn: TurnUsage,
    mutant: Option<Mutant>,
}

impl Node {
    /// Starts a node. Its number is also its position in the rotation. `shared` is the value of the shared
    /// clock, `now` of its own.
    pub fn start(
        position: HolderId,
        incarnation: Incarnation,
        timing: Timing,
        (grantors, rotation): (usize, Option<Rotation>),
        (now, shared): (Millis, Millis),
    ) -> Node {
        Node {
            timing,
            position,
            holder: Holder::start(position, incarnation, timing, grantors, now),
            meter: Meter::new(timing.certainly_elapsed(timing.window)),
            rotation,
            first_slot: rotation.map(|rotation| rotation.first_slot(shared)),
            turn: TurnUsage::default(),
            mutant: None,
        }
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Node {
        self.holder = self.holder.with_mutant(mutant);
        if mutant == Some(Mutant::UsesFixedWindows) {
            self.meter = self.meter.with_fixed_windows();
        }
        Node { mutant, ..self }
    }

    /// Sets whether this is the only process of the node: a process and its successor share one turn, which
    /// neither uses while both may run.
    pub fn set_sole_process(&mut self, shared: Millis, is_sole: bool) {
        let slot = self.rotation.map(|rotation| rotation.first_slot(shared));
        self.first_slot = if is_sole { self.first_slot.or(slot) } else { None };
    }

    /// The current lease.
    pub fn lease(&self, now: Millis) -> Option<Lease> {
        self.holder.lease(now)
    }

    /// When it next has something to do without a message.
    pub fn next_wakeup(&self) -> Millis {
        self.holder.next_wakeup()
    }

    /// Advances the clock, given the current demand. Returns a message to send and the index of the grantor
    /// to send it to.
    pub fn tick(&mut self, now: Millis, wanted: Permits) -> Option<(usize, Message)> {
        let in_use = self.meter.usage(now);
        self.holder.tick(now, Usage { wanted, in_use })
    }

    /// Handles a grantor's reply.
    pub fn handle(&mut self, now: Millis, message: &Message) {
        self.holder.handle(now, message);
    }

    /// Begins a call that lasts at most `max_duration`, if the lease or the turn allows one.
    pub fn begin_call(
        &mut self,
        (now, shared): (Millis, Millis),
        call: CallId,
        max_duration: Millis,
    ) -> Option<Permit> {
        let deadline = now + max_duration;
        let source = if self.begin_within_lease(now, call, deadline) {
            Source::Lease
        } else if self.begin_within_turn((now, shared), call, max_duration) {
            Source::Turn
        } else {
            return None;
        };
        Some(Permit { source, deadline })
    }

    fn begin_within_lease(&mut self, now: Millis, call: CallId, deadline: Millis) -> bool {
        let Some(lease) = self.holder.lease(now) else { return false };
        let ends_in_time = deadline <= lease.until || self.mutant == Some(Mutant::BeginsCallPastExpiry);
        ends_in_time && self.meter.try_begin(now, call, deadline, lease.permits)
    }

    /// The turn that may be used now.
    fn current_turn(&mut self, shared: Millis) -> Option<Turn> {
        let turn = self.rotation?.turn(self.position, shared)?;
        if turn.slot_start < self.first_slot? || shared < turn.from {
            return None;
        }
        if self.turn.slot_start != turn.slot_start {
            self.turn = TurnUsage { slot_start: turn.slot_start, ..TurnUsage::default() };
        }
        Some(turn)
    }

    fn begin_within_turn(
        &mut self,
        (now, shared): (Millis, Millis),
        call: CallId,
        max_duration: Millis,
    ) -> bool {
        let Some(turn) = self.current_turn(shared) else { return false };
        // The turn ends by the shared clock, while the call is timed by the node's own clock.
        if shared + self.timing.max_elapsed(max_duration) > turn.until {
            return false;
        }
        let is_running = self.turn.running.is_some_and(|(_, deadline)| now < deadline);
        if is_running || self.turn.calls >= turn.calls {
            return false;
        }
        self.turn.calls += 1;
        self.turn.running = Some((call, now + max_duration));
        true
    }

    /// What may be begun from now on: by the lease, else by the turn. It is valid until its end or until the
    /// next offer. The caller must fetch a new offer after each message that was handled, and a part of a
    /// window later when calls become available again.
    pub fn offer(&mut self, now: Millis, shared: Millis) -> Option<Offer> {
        if let Some(lease) = self.holder.lease(now) {
            let started_calls = self.meter.usage(now).calls;
            let calls = lease.permits.calls.saturating_sub(started_calls);
            let permits = Permits { calls, ..lease.permits };
            return Some(Offer { source: Source::Lease, permits, until: lease.until });
        }
        let turn = self.current_turn(shared)?;
        let remaining = self.timing.usable_duration(turn.until.saturating_sub(shared));
        let permits = Permits { outstanding: 1, calls: turn.calls.saturating_sub(self.turn.calls) };
        Some(Offer { source: Source::Turn, permits, until: now + remaining })
    }

    /// Records a call that was begun within an offer.
    pub fn record_call(&mut self, now: Millis, call: CallId, permit: Permit) {
        match permit.source {
            Source::Lease => self.meter.record(now, call, permit.deadline),
            Source::Turn => {
                self.turn.calls += 1;
                self.turn.running = Some((call, permit.deadline));
            }
        }
    }

    /// Records that a call has ended with the origin's knowledge.
    pub fn end_call(&mut self, call: CallId) {
        self.meter.end(call);
        self.turn.running = self.turn.running.filter(|(running, _)| *running != call);
    }
}
