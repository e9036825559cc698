//! The part of the allowance that is never leased: it rotates over all nodes by the shared clock.

use crate::{Millis, Mutant, Permits};

/// Determines when each node may call without a lease, as a pure function of the shared clock.
///
/// Time is divided into slots. In each slot, the next few positions of the ring of all nodes have a turn, in
/// which a node makes one call at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    positions: u32,
    slot_length: Millis,
    guard: Millis,
    turns_per_slot: u32,
    calls_per_turn: u32,
    mutant: Option<Mutant>,
}

/// One turn of one position, in values of the shared clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// When its slot begins.
    pub slot_start: Millis,
    /// When calls may be begun.
    pub from: Millis,
    /// When all calls must have been given up.
    pub until: Millis,
    /// Total number of calls allowed, one at a time.
    pub calls: u32,
}

impl Rotation {
    /// Creates a rotation over `positions` positions; all nodes must use the same parameters. `guard` bounds
    /// the error with which any process reads the shared clock. `None` if the permits are not enough for one
    /// turn at a time.
    ///
    /// A slot is at least as long as a window, so that a window overlaps at most two slots: each gets half of
    /// the calls.
    pub fn new(
        positions: u32,
        permits: Permits,
        window: Millis,
        longest_call: Millis,
        guard: Millis,
    ) -> Option<Rotation> {
        let calls_per_slot = permits.calls / 2;
        let turns_per_slot = permits.outstanding.min(calls_per_slot).min(positions);
        if turns_per_slot == 0 {
            return None;
        }
        let slot_length = (2 * longest_call + 2 * guard).max(window).max(1);
        Some(Rotation {
            positions,
            slot_length,
            guard,
            turns_per_slot,
            calls_per_turn: calls_per_slot / turns_per_slot,
            mutant: None,
        })
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Rotation {
        Rotation { mutant, ..self }
    }

    /// The turn of a position at a time of the shared clock, if it has one.
    pub fn turn(&self, position: u32, shared: Millis) -> Option<Turn> {
        let number = shared / self.slot_length;
        let positions = u64::from(self.positions);
        let first = (number % positions) * u64::from(self.turns_per_slot) % positions;
        let ahead = (u64::from(position) + positions - first) % positions;
        if position >= self.positions || ahead >= u64::from(self.turns_per_slot) {
            return None;
        }
        let slot_start = number * self.slot_length;
        let guard = if self.mutant == Some(Mutant::IgnoresGuard) { 0 } else { self.guard };
        Some(Turn {
            slot_start,
            from: slot_start + guard,
            until: slot_start + self.slot_length - guard,
            calls: self.calls_per_turn,
        })
    }

    /// The first slot that a process started at this time of the shared clock may use. Its previous
    /// incarnation may have used earlier ones, and both may have read the clock with an error.
    pub fn first_slot(&self, started: Millis) -> Millis {
        match self.mutant {
            Some(Mutant::UsesTurnAtStart) => 0,
            _ => started + 2 * self.guard,
        }
    }

    /// How long it takes until a position has its turn again.
    pub fn cycle_duration(&self) -> Millis {
        self.slot_length * u64::from(self.positions).div_ceil(u64::from(self.turns_per_slot))
    }
}
