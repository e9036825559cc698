//! The part of the allowance that is never leased: it goes round all nodes by the shared clock.

use crate::{Millis, Mutant, Permits};

/// Who may call when, for nodes that reach nobody: a pure function of the shared clock.
///
/// Time is cut into slots. In each slot the next few places of the ring of all nodes have a turn, in which a node makes one call at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    places: u32,
    slot: Millis,
    guard: Millis,
    turns: u32,
    calls: u32,
    mutant: Option<Mutant>,
}

/// One turn of one place, in values of the shared clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// When its slot begins.
    pub slot: Millis,
    /// From when on calls may be begun.
    pub from: Millis,
    /// When all of them must have been given up.
    pub until: Millis,
    /// How many calls it allows in all, one at a time.
    pub calls: u32,
}

impl Rotation {
    /// A rotation over so many places; all nodes must be given the same figures. No process reads the shared clock wrong by more than the
    /// guard. `None` where the permits are not enough for one turn at a time.
    ///
    /// A slot is at least as long as a window, so that a window meets two slots at most: each has half of the calls.
    pub fn new(
        places: u32,
        permits: Permits,
        window: Millis,
        longest_call: Millis,
        guard: Millis,
    ) -> Option<Rotation> {
        let in_slot = permits.calls / 2;
        let turns = permits.outstanding.min(in_slot).min(places);
        if turns == 0 {
            return None;
        }
        let slot = (2 * longest_call + 2 * guard).max(window).max(1);
        Some(Rotation { places, slot, guard, turns, calls: in_slot / turns, mutant: None })
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Rotation {
        Rotation { mutant, ..self }
    }

    /// The turn that a place has at a time of the shared clock; `None` where it has none.
    pub fn turn(&self, place: u32, shared: Millis) -> Option<Turn> {
        let number = shared / self.slot;
        let places = u64::from(self.places);
        let first = (number % places) * u64::from(self.turns) % places;
        let ahead = (u64::from(place) + places - first) % places;
        if place >= self.places || ahead >= u64::from(self.turns) {
            return None;
        }
        let slot = number * self.slot;
        let guard = if self.mutant == Some(Mutant::TurnWithoutGuard) { 0 } else { self.guard };
        Some(Turn { slot, from: slot + guard, until: slot + self.slot - guard, calls: self.calls })
    }

    /// The first slot that a process may use which started at a time of the shared clock: its former life may have used those before, and
    /// both may have read the clock wrong.
    pub fn first_slot(&self, started: Millis) -> Millis {
        match self.mutant {
            Some(Mutant::TurnAtStart) => 0,
            _ => started + 2 * self.guard,
        }
    }

    /// How long it takes until a place has its turn again.
    pub fn round(&self) -> Millis {
        self.slot * u64::from(self.places).div_ceil(u64::from(self.turns))
    }
}
