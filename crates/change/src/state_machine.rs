//! The state machine of one node.

use std::fmt;

use crate::{MAX_DURATION_MS, Millis, VersionNumber};

/// How far the number of a new version may exceed the highest known one. Accepting an arbitrary number could
/// leave no higher number for later versions.
const MAX_NUMBER_GAP: VersionNumber = 1_000_000;

/// A version of the settings: its number and a digest of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SettingsVersion {
    /// Number of the version.
    pub number: VersionNumber,
    /// Digest of the text.
    pub digest: u64,
}

/// What the operator asks of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Command {
    /// Keep this version, whose text was validated, for some time.
    Stage {
        /// The version.
        version: SettingsVersion,
        /// How long to keep it, in milliseconds.
        keep_for: Millis,
    },
    /// Apply the staged version from now on, and roll back unless it is confirmed in time.
    StartTrial {
        /// The version.
        version: SettingsVersion,
        /// Time limit for the confirmation, in milliseconds.
        confirm_within: Millis,
    },
    /// Keep the version that is on trial.
    Confirm(VersionNumber),
    /// Drop the version that is staged or on trial.
    Revert(VersionNumber),
}

/// A command, and the incarnation of the node that it is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Request {
    /// The incarnation, as reported by the node.
    pub incarnation: u32,
    /// The command.
    pub command: Command,
}

/// Why a request is rejected. A rejected request changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The request was meant for another incarnation of the node.
    WrongIncarnation {
        /// The current incarnation.
        incarnation: u32,
    },
    /// A version with this number or a higher one has been seen before.
    StaleNumber {
        /// The highest number so far.
        highest: VersionNumber,
    },
    /// Another version is staged, on trial, or being stored.
    Busy {
        /// Number of that version.
        number: VersionNumber,
    },
    /// This version is not staged.
    NotStaged,
    /// This version is not on trial.
    NotOnTrial,
    /// The version is being stored, and may be stored already.
    Storing,
    /// The number is too far above the highest one so far.
    NumberTooHigh {
        /// The highest number so far.
        highest: VersionNumber,
    },
    /// The duration is zero or exceeds [`MAX_DURATION_MS`].
    InvalidDuration,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::WrongIncarnation { incarnation } => {
                write!(f, "meant for another incarnation of this node; the current one is {incarnation}")
            }
            Rejection::StaleNumber { highest } => write!(f, "numbers up to {highest} have been used before"),
            Rejection::NumberTooHigh { highest } => {
                write!(f, "the number is more than {MAX_NUMBER_GAP} above {highest}, the highest so far")
            }
            Rejection::Busy { number } => write!(f, "settings version {number} is staged or on trial"),
            Rejection::NotStaged => f.write_str("this settings version is not staged"),
            Rejection::NotOnTrial => f.write_str("this settings version is not on trial"),
            Rejection::Storing => {
                f.write_str("the settings version is being stored and cannot be reverted now")
            }
            Rejection::InvalidDuration => write!(f, "a duration must be between 1 and {MAX_DURATION_MS} ms"),
        }
    }
}

impl std::error::Error for Rejection {}

/// A node's reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The command was carried out.
    Done,
    /// The version is confirmed and being stored; repeat the request to learn the result.
    Storing,
}

/// What the node must do, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Apply this version to every request that begins from now on. A request that has begun keeps the
    /// version that it began with.
    Apply(SettingsVersion),
    /// Replace the stored version by this one atomically, and report the result with
    /// [`SettingsChange::store_finished`].
    Persist(SettingsVersion),
    /// A version was dropped because its time ran out.
    Expired(VersionNumber),
}

/// Progress of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No change is in progress.
    Idle,
    /// A version is staged and can be put on trial until `until`.
    Staged {
        /// The version.
        staged: SettingsVersion,
        /// When it is dropped.
        until: Millis,
    },
    /// A version is in use until `until`, unless it is confirmed.
    OnTrial {
        /// When the node rolls back.
        until: Millis,
    },
    /// The version was confirmed in time and is being stored. It is still on trial: the node rolls back if it
    /// can't be stored.
    Storing {
        /// When the node rolls back if storing has failed by then.
        until: Millis,
        /// Whether storing has failed.
        failed: bool,
    },
}

/// A check that is left out, so that tests can verify that they detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Accepts a request meant for an earlier incarnation.
    AcceptsOtherIncarnations,
    /// Accepts a version with a number that was used before.
    AcceptsOldNumbers,
    /// Starts a trial of a version whose text was not validated.
    TriesUnchecked,
    /// Does not end a trial that was not confirmed.
    NeverRollsBack,
    /// Reports a version as confirmed before it is stored.
    ConfirmsBeforeStored,
    /// Allows a revert while the version is being stored.
    RevertsWhileStoring,
    /// Accepts a confirmation after the end of the trial.
    AcceptsLateConfirmation,
}

/// The state machine of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SettingsChange {
    incarnation: u32,
    now: Millis,
    /// What the next incarnation starts with, as far as is known.
    stored: SettingsVersion,
    /// What requests that begin now are served with.
    active: SettingsVersion,
    highest: VersionNumber,
    phase: Phase,
    mutant: Option<Mutant>,
}

impl SettingsChange {
    /// Starts a node with the stored version. `incarnation` is a number that no other incarnation of it has
    /// had.
    pub fn start(incarnation: u32, stored: SettingsVersion, now: Millis) -> SettingsChange {
        SettingsChange {
            incarnation,
            now,
            stored,
            active: stored,
            highest: stored.number,
            phase: Phase::Idle,
            mutant: None,
        }
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> SettingsChange {
        self.mutant = mutant;
        self
    }

    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// The current incarnation, which requests must name.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// The version that requests beginning now are served with.
    pub fn active(&self) -> SettingsVersion {
        self.active
    }

    /// Progress of the current change.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When something ends without a request; `None` if nothing is in progress.
    pub fn next_deadline(&self) -> Option<Millis> {
        match self.phase {
            Phase::Idle | Phase::Storing { failed: false, .. } => None,
            Phase::Staged { until, .. } | Phase::OnTrial { until } | Phase::Storing { until, .. } => {
                Some(until)
            }
        }
    }

    /// Advances the clock and ends what has expired.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        if self.next_deadline().is_none_or(|deadline| self.now < deadline) {
            return;
        }
        match self.phase {
            Phase::Idle => {}
            Phase::Staged { staged, .. } => {
                self.phase = Phase::Idle;
                effects.push(Effect::Expired(staged.number));
            }
            Phase::OnTrial { .. } | Phase::Storing { .. } if self.has_mutant(Mutant::NeverRollsBack) => {}
            Phase::OnTrial { .. } | Phase::Storing { .. } => {
                effects.push(Effect::Expired(self.active.number));
                self.roll_back(effects);
            }
        }
    }

    fn roll_back(&mut self, effects: &mut Vec<Effect>) {
        self.phase = Phase::Idle;
        self.active = self.stored;
        effects.push(Effect::Apply(self.stored));
    }

    /// Handles a request.
    ///
    /// # Errors
    /// Why the request is rejected. Nothing but expiry has changed then.
    pub fn handle(
        &mut self,
        now: Millis,
        request: Request,
        effects: &mut Vec<Effect>,
    ) -> Result<Reply, Rejection> {
        // The mutant learns of the time only from other requests.
        if !(self.has_mutant(Mutant::AcceptsLateConfirmation)
            && matches!(request.command, Command::Confirm(_)))
        {
            self.tick(now, effects);
        }
        if request.incarnation != self.incarnation && !self.has_mutant(Mutant::AcceptsOtherIncarnations) {
            return Err(Rejection::WrongIncarnation { incarnation: self.incarnation });
        }
        match request.command {
            Command::Stage { version, keep_for } => self.stage(version, keep_for),
            Command::StartTrial { version, confirm_within } => {
                self.start_trial(version, confirm_within, effects)
            }
            Command::Confirm(number) => self.confirm(number, effects),
            Command::Revert(number) => self.revert(number, effects),
        }
    }

    fn stage(&mut self, version: SettingsVersion, keep_for: Millis) -> Result<Reply, Rejection> {
        if !(1..=MAX_DURATION_MS).contains(&keep_for) {
            return Err(Rejection::InvalidDuration);
        }
        match self.phase {
            // A duplicate: the first request counts.
            Phase::Staged { staged, .. } if staged == version => return Ok(Reply::Done),
            Phase::Staged { staged, .. } => return Err(Rejection::Busy { number: staged.number }),
            Phase::OnTrial { .. } | Phase::Storing { .. } => {
                return Err(Rejection::Busy { number: self.active.number });
            }
            Phase::Idle => {}
        }
        self.check_number(version.number)?;
        if version.number <= self.highest && !self.has_mutant(Mutant::AcceptsOldNumbers) {
            return Err(Rejection::StaleNumber { highest: self.highest });
        }
        self.highest = self.highest.max(version.number);
        self.phase = Phase::Staged { staged: version, until: self.now + keep_for };
        Ok(Reply::Done)
    }

    fn check_number(&self, number: VersionNumber) -> Result<(), Rejection> {
        let highest = self.highest;
        if number > highest.saturating_add(MAX_NUMBER_GAP) {
            Err(Rejection::NumberTooHigh { highest })
        } else {
            Ok(())
        }
    }

    fn start_trial(
        &mut self,
        version: SettingsVersion,
        confirm_within: Millis,
        effects: &mut Vec<Effect>,
    ) -> Result<Reply, Rejection> {
        if !(1..=MAX_DURATION_MS).contains(&confirm_within) {
            return Err(Rejection::InvalidDuration);
        }
        match self.phase {
            Phase::OnTrial { .. } | Phase::Storing { .. } if self.active == version => Ok(Reply::Done),
            Phase::Staged { staged, .. } if staged == version || self.has_mutant(Mutant::TriesUnchecked) => {
                self.phase = Phase::OnTrial { until: self.now + confirm_within };
                self.active = version;
                effects.push(Effect::Apply(version));
                Ok(Reply::Done)
            }
            _ => Err(Rejection::NotStaged),
        }
    }

    fn confirm(&mut self, number: VersionNumber, effects: &mut Vec<Effect>) -> Result<Reply, Rejection> {
        match self.phase {
            // A duplicate: the version is stored already.
            Phase::Idle | Phase::Staged { .. } if self.stored.number == number => Ok(Reply::Done),
            Phase::OnTrial { until } if self.active.number == number => {
                self.phase = Phase::Storing { until, failed: false };
                effects.push(Effect::Persist(self.active));
                Ok(if self.has_mutant(Mutant::ConfirmsBeforeStored) { Reply::Done } else { Reply::Storing })
            }
            Phase::Storing { until, failed: true } if self.active.number == number => {
                self.phase = Phase::Storing { until, failed: false };
                effects.push(Effect::Persist(self.active));
                Ok(Reply::Storing)
            }
            Phase::Storing { .. } if self.active.number == number => Ok(Reply::Storing),
            _ => Err(Rejection::NotOnTrial),
        }
    }

    fn revert(&mut self, number: VersionNumber, effects: &mut Vec<Effect>) -> Result<Reply, Rejection> {
        match self.phase {
            Phase::Staged { staged, .. } if staged.number == number => {
                self.phase = Phase::Idle;
                Ok(Reply::Done)
            }
            Phase::Storing { failed: false, .. }
                if self.active.number == number && !self.has_mutant(Mutant::RevertsWhileStoring) =>
            {
                Err(Rejection::Storing)
            }
            Phase::OnTrial { .. } | Phase::Storing { .. } if self.active.number == number => {
                self.roll_back(effects);
                Ok(Reply::Done)
            }
            // The version is gone or was never staged. Its number is used up, so that it can't be staged
            // later either.
            Phase::Idle | Phase::Staged { .. } if self.stored.number != number => {
                self.check_number(number)?;
                self.highest = self.highest.max(number);
                Ok(Reply::Done)
            }
            Phase::OnTrial { .. } | Phase::Storing { .. } => {
                Err(Rejection::Busy { number: self.active.number })
            }
            Phase::Idle | Phase::Staged { .. } => Err(Rejection::NotOnTrial),
        }
    }

    /// Reports the result of storing a version: stored entirely, or not at all.
    pub fn store_finished(
        &mut self,
        now: Millis,
        version: SettingsVersion,
        succeeded: bool,
        effects: &mut Vec<Effect>,
    ) {
        if let Phase::Storing { until, .. } = self.phase
            && version == self.active
        {
            if succeeded {
                self.stored = version;
                self.phase = Phase::Idle;
            } else {
                self.phase = Phase::Storing { until, failed: true };
            }
        }
        self.tick(now, effects);
    }
}
