//! The commands of one connection: those that wait to be written, the one that is being written, and those written whole.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::fence::Fences;
use super::payload::{AttemptCommand, Kind};
use crate::command::AttemptId;
use crate::duplicate_responses::{Doubt, RecentResponses};

/// A cache server may drop a request without a word when less of its time is left than this, however it counts: as much as
/// the protocol allows its times to differ.
const LITTLE_TIME: Duration = Duration::from_millis(50);
/// A command that was written whole.
pub(super) struct Sent {
    pub command: AttemptCommand,
    /// When its last byte was written.
    pub written: Instant,
    /// The node waits for it no longer.
    pub given_up: bool,
    /// So many fences were written behind it, before the next command.
    pub fences: usize,
}

impl Sent {
    pub fn attempt(&self) -> AttemptId {
        self.command.attempt
    }

    pub fn kind(&self) -> Kind {
        self.command.payload.kind()
    }

    /// Whether its server may have dropped it without a word: too little of its time is left, or none.
    fn may_be_dropped(&self) -> bool {
        has_little_time(self.command.payload.ends())
    }
}

/// Whether a command that ends then has so little time left that its server may drop it without a word.
fn has_little_time(ends: Option<Instant>) -> bool {
    ends.is_some_and(|ends| ends.saturating_duration_since(Instant::now()) < LITTLE_TIME)
}

/// What a connection is writing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Writing {
    #[default]
    Nothing,
    /// A command that has begun and is not whole.
    Begun(AttemptId),
    /// It was given up before it was whole: the rest must never be written, for then it would run. What was written before
    /// it is still answered; then the connection ends.
    Abandoned,
}

#[derive(Default)]
pub(super) struct Line {
    pub up: bool,
    /// What came last makes it useless: it is about to end.
    pub ending: bool,
    /// A large value is passing: how long that takes is up to its client.
    pub streaming: bool,
    /// The large value that is passing has stood still.
    pub held_up: bool,
    pub unsent: VecDeque<AttemptCommand>,
    pub writing: Writing,
    /// In order.
    pub sent: VecDeque<Sent>,
    /// The first answer, which can't be a repeat, settles this if it is that of this attempt.
    pub settles: Option<(AttemptId, Doubt)>,
    /// An answer has come on it.
    pub has_answered: bool,
    /// The answers that have come.
    pub recent: RecentResponses,
    pub fences: Fences,
    /// The answers to so many of those sent are shown to be theirs.
    pub in_order: usize,
}

impl Line {
    pub fn load(&self) -> usize {
        self.unsent.len() + self.sent.len() + usize::from(matches!(self.writing, Writing::Begun(_)))
    }

    /// Whether nothing on it is waited for any more, though something was.
    pub fn in_vain(&self) -> bool {
        let writes = !self.unsent.is_empty() || matches!(self.writing, Writing::Begun(_));
        !writes && self.sent.iter().all(|s| s.given_up)
    }

    /// Whether something given up is ahead: what is written behind it may wait for ever.
    pub fn stalled(&self) -> bool {
        self.sent.iter().any(|s| s.given_up)
    }

    /// Whether what is written now would be answered without waiting for something that stands still.
    pub fn moves(&self) -> bool {
        !self.stalled() && !self.held_up && self.writing != Writing::Abandoned
    }

    /// Whether the answer to what is written now could be told from that of the command before without asking again.
    pub fn is_in_step(&self) -> bool {
        !self.recent.may_be_out_of_step(Instant::now())
    }

    /// Whether a large value of this length may not be that of the command that waits for it.
    pub fn may_be_another(&self, length: usize) -> bool {
        let written = self.sent.front().map(|sent| sent.written);
        self.settles.is_some()
            || self.recent.have_length(length)
            || written.is_some_and(|written| self.recent.may_be_out_of_step(written))
    }

    /// The command that has waited longest has been answered: takes it off.
    pub fn take_answered(&mut self) -> Option<Sent> {
        let answered = self.sent.pop_front()?;
        self.fences.due += answered.fences;
        self.in_order = self.in_order.saturating_sub(1);
        Some(answered)
    }

    /// Keeps an answer without a value; whether it may be the repeat of another.
    pub fn push_empty(&mut self, answer: &[u8]) -> bool {
        let may_repeat = self.recent.push_without_value(answer);
        let is_shown = self.in_order > 0;
        if is_shown {
            self.recent.found_in_step();
        }
        may_repeat && !is_shown
    }

    /// Whether a fence is on its way to the server or back, behind a command that has not been answered.
    pub fn has_fence(&self) -> bool {
        self.fences.wanted > 0 || self.sent.iter().any(|sent| sent.fences > 0)
    }

    /// Has a fence written before the next command: as many as answers to earlier ones may still be repeated, up to a bound,
    /// and one more. So one answer at least is no repeat.
    pub fn want_fence(&mut self, most: usize) {
        self.fences.wanted = most.min(1 + self.repeatable_fences());
    }

    /// Answers to fences that may come a second time while a further one is waited for.
    pub fn repeatable_fences(&self) -> usize {
        let out: usize = self.sent.iter().map(|sent| sent.fences).sum();
        self.fences.repeatable() + out
    }

    /// So many fences have been written.
    pub fn fences_written(&mut self, fences: usize) {
        self.fences.wanted = 0;
        match self.sent.back_mut() {
            Some(sent) => sent.fences += fences,
            None => self.fences.due += fences,
        }
    }

    /// Whether an answer is waited for behind the one that comes now.
    pub fn others_wait(&self) -> bool {
        let writes = !self.unsent.is_empty() || matches!(self.writing, Writing::Begun(_));
        writes || self.sent.iter().skip(1).any(|s| !s.given_up)
    }

    /// Whether the answer that comes next is that of an attempt that was given up, and others wait behind it.
    pub fn is_held_up_by(&self, attempt: AttemptId) -> bool {
        self.sent.front().is_some_and(|s| s.attempt() == attempt && s.given_up) && self.others_wait()
    }

    /// Stops waiting for the reads that are written behind the answer that comes next, and returns them. Writes wait on,
    /// for they may run.
    pub fn release_reads(&mut self) -> Vec<AttemptId> {
        let behind = self.sent.iter_mut().skip(1).filter(|s| s.kind() == Kind::Read && !s.given_up);
        behind
            .map(|sent| {
                sent.given_up = true;
                sent.attempt()
            })
            .collect()
    }

    /// Whether a command ahead may be dropped without a word: the answer to one behind it would be taken for its own.
    pub fn may_skip_an_answer(&self) -> bool {
        self.sent.iter().any(Sent::may_be_dropped)
            || self.unsent.iter().any(|command| {
                // One without any time left is never written.
                has_little_time(command.payload.ends()) && command.payload.has_time()
            })
    }

    /// Whether the answer that comes next may be that of the second command: the first may have been dropped.
    pub fn next_answer_is_ambiguous(&self) -> bool {
        self.sent.len() > 1 && self.sent.front().is_some_and(Sent::may_be_dropped)
    }
}
