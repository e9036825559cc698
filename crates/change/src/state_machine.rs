//! The machine of one node.

use std::fmt;

use crate::{LONGEST, Millis, Number};

/// A number that is further beyond the highest so far than this is nonsense: taken, it would leave no higher one.
const MOST_LEAP: Number = 1_000_000;

/// A set of settings: its number, and what tells its text from any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Set {
    /// Its number.
    pub number: Number,
    /// A digest of its text.
    pub digest: u64,
}

/// What is asked of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum What {
    /// Keep this set, which was checked and fits, for so long.
    Stage {
        /// The set.
        set: Set,
        /// For how long, in milliseconds.
        keep: Millis,
    },
    /// Use the staged set from now on, and go back unless it is confirmed within this time.
    Try {
        /// The set.
        set: Set,
        /// Within this time, in milliseconds.
        within: Millis,
    },
    /// The set on trial stays.
    Confirm(Number),
    /// The set that is staged or on trial goes.
    Undo(Number),
}

/// An ask, and the life of the node that it is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ask {
    /// The life, as the node has told it.
    pub life: u32,
    /// What is asked.
    pub what: What,
}

/// Why something is not done. Nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refused {
    /// It was meant for another life of the node.
    OtherLife {
        /// The present one.
        life: u32,
    },
    /// A set of this number, or of a higher one, was here before.
    OldNumber {
        /// The highest so far.
        highest: Number,
    },
    /// Another set is staged, on trial, or being stored.
    Busy {
        /// Its number.
        number: Number,
    },
    /// No such set is staged.
    NotStaged,
    /// No such set is on trial.
    NotOnTrial,
    /// It is being stored, and may be stored already.
    Storing,
    /// A number far beyond any that was here.
    FarNumber {
        /// The highest so far.
        highest: Number,
    },
    /// No span, or a longer one than [`LONGEST`].
    Span,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::OtherLife { life } => {
                write!(f, "meant for another life of this node; the present one is {life}")
            }
            Refused::OldNumber { highest } => write!(f, "sets up to number {highest} were here before"),
            Refused::FarNumber { highest } => {
                write!(f, "more than {MOST_LEAP} beyond set {highest}, the last that was here")
            }
            Refused::Busy { number } => write!(f, "set {number} is staged or on trial"),
            Refused::NotStaged => f.write_str("no such set is staged"),
            Refused::NotOnTrial => f.write_str("no such set is on trial"),
            Refused::Storing => f.write_str("the set is being stored; nothing can be taken back now"),
            Refused::Span => write!(f, "a time is between 1 and {LONGEST} ms"),
        }
    }
}

impl std::error::Error for Refused {}

/// What a node answers to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It is done.
    Done,
    /// It is confirmed and being stored; ask again to hear that it is.
    Storing,
}

/// What the node does about it, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Use this set for every request that begins from now on. One that has begun goes on under the set it began with.
    Use(Set),
    /// Store this set in the place of the one before, whole or not at all, and say what came of it ([`Change::stored`]).
    Store(Set),
    /// A set is gone by itself: its time was over.
    Over(Number),
}

/// Where a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing is going on.
    Steady,
    /// A set is ready to be tried until a time.
    Staged {
        /// The set.
        next: Set,
        /// When it is dropped.
        until: Millis,
    },
    /// A set is in use until a time, unless it is confirmed.
    OnTrial {
        /// When the node goes back.
        until: Millis,
    },
    /// It was confirmed in time and is being stored. It is still on trial: where it can't be stored the node goes back.
    Storing {
        /// When the node goes back, where storing has failed by then.
        until: Millis,
        /// Whether storing has failed.
        failed: bool,
    },
}

/// A guard that is left out: for tests, which must catch each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// An ask from an earlier life is taken.
    TakesOtherLives,
    /// A set of a number that was here before is taken.
    TakesOldNumbers,
    /// A set is tried whose text is not the one that was checked.
    TriesUnchecked,
    /// A trial does not end by itself.
    NeverGoesBack,
    /// It is said to be confirmed before it is stored.
    SaysBeforeStored,
    /// It can be taken back while it is being stored.
    UndoesWhileStoring,
    /// A confirmation that comes after the trial's end is taken.
    ConfirmsLate,
}

/// A node's machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    life: u32,
    now: Millis,
    /// What the next life begins with, as far as is known.
    stored: Set,
    /// What requests that begin now are served under.
    used: Set,
    highest: Number,
    phase: Phase,
    mutant: Option<Mutant>,
}

impl Change {
    /// A node that starts with the set that is stored; `life` is a number that no other life of it has had.
    pub fn start(life: u32, stored: Set, now: Millis) -> Change {
        Change { life, now, stored, used: stored, highest: stored.number, phase: Phase::Steady, mutant: None }
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Change {
        self.mutant = mutant;
        self
    }

    fn lacks(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// This life, which asks must name.
    pub fn life(&self) -> u32 {
        self.life
    }

    /// What requests that begin now are served under.
    pub fn used(&self) -> Set {
        self.used
    }

    /// Where a change is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When something ends by itself; never, where nothing is going on.
    pub fn due(&self) -> Option<Millis> {
        match self.phase {
            Phase::Steady | Phase::Storing { failed: false, .. } => None,
            Phase::Staged { until, .. } | Phase::OnTrial { until } | Phase::Storing { until, .. } => {
                Some(until)
            }
        }
    }

    /// Time has come to a value: what is over ends.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        if self.due().is_none_or(|due| self.now < due) {
            return;
        }
        match self.phase {
            Phase::Steady => {}
            Phase::Staged { next, .. } => {
                self.phase = Phase::Steady;
                out.push(Effect::Over(next.number));
            }
            Phase::OnTrial { .. } | Phase::Storing { .. } if self.lacks(Mutant::NeverGoesBack) => {}
            Phase::OnTrial { .. } | Phase::Storing { .. } => {
                out.push(Effect::Over(self.used.number));
                self.back(out);
            }
        }
    }

    fn back(&mut self, out: &mut Vec<Effect>) {
        self.phase = Phase::Steady;
        self.used = self.stored;
        out.push(Effect::Use(self.stored));
    }

    /// Something is asked of the node.
    ///
    /// # Errors
    /// Why it is not done; nothing has changed then but by time.
    pub fn ask(&mut self, now: Millis, ask: Ask, out: &mut Vec<Effect>) -> Result<Answer, Refused> {
        // A mutant hears of the time only from what it is asked.
        if !(self.lacks(Mutant::ConfirmsLate) && matches!(ask.what, What::Confirm(_))) {
            self.tick(now, out);
        }
        if ask.life != self.life && !self.lacks(Mutant::TakesOtherLives) {
            return Err(Refused::OtherLife { life: self.life });
        }
        match ask.what {
            What::Stage { set, keep } => self.stage(set, keep),
            What::Try { set, within } => self.try_out(set, within, out),
            What::Confirm(number) => self.confirm(number, out),
            What::Undo(number) => self.undo(number, out),
        }
    }

    fn stage(&mut self, set: Set, keep: Millis) -> Result<Answer, Refused> {
        if !(1..=LONGEST).contains(&keep) {
            return Err(Refused::Span);
        }
        match self.phase {
            // Asked twice: once is enough, and the first time holds.
            Phase::Staged { next, .. } if next == set => return Ok(Answer::Done),
            Phase::Staged { next, .. } => return Err(Refused::Busy { number: next.number }),
            Phase::OnTrial { .. } | Phase::Storing { .. } => {
                return Err(Refused::Busy { number: self.used.number });
            }
            Phase::Steady => {}
        }
        self.near(set.number)?;
        if set.number <= self.highest && !self.lacks(Mutant::TakesOldNumbers) {
            return Err(Refused::OldNumber { highest: self.highest });
        }
        self.highest = self.highest.max(set.number);
        self.phase = Phase::Staged { next: set, until: self.now + keep };
        Ok(Answer::Done)
    }

    fn near(&self, number: Number) -> Result<(), Refused> {
        let highest = self.highest;
        if number > highest.saturating_add(MOST_LEAP) { Err(Refused::FarNumber { highest }) } else { Ok(()) }
    }

    fn try_out(&mut self, set: Set, within: Millis, out: &mut Vec<Effect>) -> Result<Answer, Refused> {
        if !(1..=LONGEST).contains(&within) {
            return Err(Refused::Span);
        }
        match self.phase {
            Phase::OnTrial { .. } | Phase::Storing { .. } if self.used == set => Ok(Answer::Done),
            Phase::Staged { next, .. } if next == set || self.lacks(Mutant::TriesUnchecked) => {
                self.phase = Phase::OnTrial { until: self.now + within };
                self.used = set;
                out.push(Effect::Use(set));
                Ok(Answer::Done)
            }
            _ => Err(Refused::NotStaged),
        }
    }

    fn confirm(&mut self, number: Number, out: &mut Vec<Effect>) -> Result<Answer, Refused> {
        match self.phase {
            // Asked again: it was stored.
            Phase::Steady | Phase::Staged { .. } if self.stored.number == number => Ok(Answer::Done),
            Phase::OnTrial { until } if self.used.number == number => {
                self.phase = Phase::Storing { until, failed: false };
                out.push(Effect::Store(self.used));
                Ok(if self.lacks(Mutant::SaysBeforeStored) { Answer::Done } else { Answer::Storing })
            }
            Phase::Storing { until, failed: true } if self.used.number == number => {
                self.phase = Phase::Storing { until, failed: false };
                out.push(Effect::Store(self.used));
                Ok(Answer::Storing)
            }
            Phase::Storing { .. } if self.used.number == number => Ok(Answer::Storing),
            _ => Err(Refused::NotOnTrial),
        }
    }

    fn undo(&mut self, number: Number, out: &mut Vec<Effect>) -> Result<Answer, Refused> {
        match self.phase {
            Phase::Staged { next, .. } if next.number == number => {
                self.phase = Phase::Steady;
                Ok(Answer::Done)
            }
            Phase::Storing { failed: false, .. }
                if self.used.number == number && !self.lacks(Mutant::UndoesWhileStoring) =>
            {
                Err(Refused::Storing)
            }
            Phase::OnTrial { .. } | Phase::Storing { .. } if self.used.number == number => {
                self.back(out);
                Ok(Answer::Done)
            }
            // It is not here: gone already, or never come. It will not come any more either.
            Phase::Steady | Phase::Staged { .. } if self.stored.number != number => {
                self.near(number)?;
                self.highest = self.highest.max(number);
                Ok(Answer::Done)
            }
            Phase::OnTrial { .. } | Phase::Storing { .. } => Err(Refused::Busy { number: self.used.number }),
            Phase::Steady | Phase::Staged { .. } => Err(Refused::NotOnTrial),
        }
    }

    /// What came of storing a set: whole, or not at all.
    pub fn stored(&mut self, now: Millis, set: Set, whole: bool, out: &mut Vec<Effect>) {
        if let Phase::Storing { until, .. } = self.phase
            && set == self.used
        {
            if whole {
                self.stored = set;
                self.phase = Phase::Steady;
            } else {
                self.phase = Phase::Storing { until, failed: true };
            }
        }
        self.tick(now, out);
    }
}
