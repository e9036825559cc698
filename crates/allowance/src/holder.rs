//! One that holds a lease: a node, or an aggregator.

use crate::message::{Asker, Fence, Message, Refusal};
use crate::random::Random;
use crate::{HolderId, Life, Millis, Mutant, Permits, Timing};

/// Twice as long a pause after each question without an answer, so many times at most.
const MOST_DOUBLINGS: u32 = 4;

/// What may be used until a time of the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// What may be used.
    pub permits: Permits,
    /// When all use of it must have ended.
    pub until: Millis,
    /// The tenure that it goes back to.
    pub fence: Fence,
}

/// What a holder tells its machine of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// What it could use, by what it has seen lately.
    pub wanted: Permits,
    /// What it uses: calls that run and those begun in the last window, or what it has granted on.
    pub in_use: Permits,
}

/// The last question.
#[derive(Clone, Copy, Debug)]
struct Asked {
    sequence: u32,
    /// When, from before it was sent.
    at: Millis,
    /// The how manyth grantor was asked.
    grantor: usize,
    /// What was asked for: no more is taken, whatever is granted.
    wanted: Permits,
    /// Whether neither an answer has come nor the time for one is over.
    open: bool,
}

/// One holder's machine. It has one lease at most, from any of its grantors, and asks these in their order.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    life: Life,
    timing: Timing,
    grantors: usize,
    lease: Option<Lease>,
    renew_at: Millis,
    sequence: u32,
    asked: Option<Asked>,
    /// The grantor that is asked next.
    grantor: usize,
    /// The one that granted the lease.
    granted_by: usize,
    next_at: Millis,
    unanswered: u32,
    highest: Fence,
    random: Random,
    mutant: Option<Mutant>,
}

impl Holder {
    /// One that starts, with so many grantors that it may ask; its life is a number that no other life of it has had.
    pub fn start(id: HolderId, life: Life, timing: Timing, grantors: usize, now: Millis) -> Holder {
        let mut random = Random::new(life ^ u64::from(id) << 32);
        Holder {
            id,
            life,
            timing,
            grantors: grantors.max(1),
            lease: None,
            renew_at: 0,
            sequence: 0,
            asked: None,
            grantor: 0,
            granted_by: 0,
            next_at: now + random.spread(timing.retry) - timing.retry,
            unanswered: 0,
            highest: Fence::default(),
            random,
            mutant: None,
        }
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Holder {
        Holder { mutant, ..self }
    }

    /// Its lease, where it has one that has not ended.
    pub fn lease(&self, now: Millis) -> Option<Lease> {
        let never_ends = self.mutant == Some(Mutant::NeverEnds);
        let lease = self.lease.filter(|lease| now < lease.until || never_ends);
        lease.map(|lease| if never_ends { Lease { until: Millis::MAX, ..lease } } else { lease })
    }

    /// When it next has something to do, unless its needs change.
    pub fn due(&self) -> Millis {
        match self.asked {
            Some(asked) if asked.open => asked.at + self.timing.reply,
            _ => self.next_at,
        }
    }

    /// Time has come to a value: what is to be sent, and to the how manyth grantor.
    pub fn tick(&mut self, now: Millis, usage: Usage) -> Option<(usize, Message)> {
        self.lease = self.lease(now);
        self.look_for_answer(now);
        if self.asked.is_some_and(|asked| asked.open) || now < self.next_at {
            return None;
        }
        let limit = self.lease.map_or(Permits::NONE, |lease| lease.permits);
        if has_too_much(limit, usage.wanted) {
            return Some((self.granted_by, self.give_back(now, usage)));
        }
        let renews = now >= self.renew_at || !usage.wanted.within(limit);
        (!usage.wanted.is_useless() && renews).then(|| (self.grantor, self.ask(now, limit, usage)))
    }

    /// A question whose time is over is followed by one to the next grantor, after a pause.
    fn look_for_answer(&mut self, now: Millis) {
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.open) else { return };
        if now >= asked.at + self.timing.reply {
            asked.open = false;
            self.unanswered += 1;
            let pause = self.timing.retry << self.unanswered.min(MOST_DOUBLINGS);
            self.turn_to_next();
            self.next_at = now + self.random.spread(pause.min(self.timing.retry_most));
        }
    }

    fn turn_to_next(&mut self) {
        self.grantor = (self.grantor + 1) % self.grantors;
    }

    fn numbered(&mut self) -> Asker {
        self.sequence += 1;
        Asker { holder: self.id, life: self.life, sequence: self.sequence }
    }

    /// No more than this is in use until a later grant is taken.
    fn keeps(&self, limit: Permits, usage: Usage) -> Permits {
        if self.mutant == Some(Mutant::HidesUse) { limit } else { limit.max(usage.in_use) }
    }

    /// From here on it uses no more than it wants, and takes no grant for an earlier question.
    fn give_back(&mut self, now: Millis, usage: Usage) -> Message {
        self.lease = self.lease.and_then(|lease| {
            let permits = lease.permits.min(usage.wanted);
            (!permits.is_useless()).then_some(Lease { permits, ..lease })
        });
        self.asked = None;
        self.next_at = now + self.random.spread(self.timing.retry);
        let limit = self.lease.map_or(Permits::NONE, |lease| lease.permits);
        Message::Return { from: self.numbered(), keeps: self.keeps(limit, usage) }
    }

    fn ask(&mut self, now: Millis, limit: Permits, usage: Usage) -> Message {
        let from = self.numbered();
        self.asked = Some(Asked {
            sequence: from.sequence,
            at: now,
            grantor: self.grantor,
            wanted: usage.wanted,
            open: true,
        });
        Message::Ask { from, keeps: self.keeps(limit, usage), wanted: usage.wanted }
    }

    /// A grantor's answer has come.
    pub fn handle(&mut self, now: Millis, message: &Message) {
        match *message {
            Message::Grant { to, fence, permits, length } => self.granted(now, to, fence, (permits, length)),
            Message::Refused { to, why, retry_after } if self.awaits(to) => {
                self.refused(now, why, retry_after);
            }
            _ => {}
        }
    }

    /// Whether an answer is to the last question of this life.
    fn awaits(&self, to: Asker) -> bool {
        let own =
            self.id == to.holder && (self.life == to.life || self.mutant == Some(Mutant::TakesFormerLife));
        let any = [Mutant::TakesOldAnswer, Mutant::TakesFormerLife].map(Some).contains(&self.mutant);
        own && self.asked.is_some_and(|asked| asked.sequence == to.sequence || any)
    }

    fn granted(&mut self, now: Millis, to: Asker, fence: Fence, (permits, length): (Permits, Millis)) {
        let back = fence < self.highest && self.mutant != Some(Mutant::GoesBack);
        let Some(asked) = self.asked.filter(|_| self.awaits(to) && !back) else { return };
        let length = length.min(self.timing.length);
        let usable = match self.mutant {
            Some(Mutant::NoDrift) => length,
            _ => self.timing.usable(length),
        };
        let from = if self.mutant == Some(Mutant::LeaseFromReceipt) { now } else { asked.at };
        // The same grant may come twice; it must not undo what was given back since, nor prolong anything.
        self.asked = None;
        self.highest = self.highest.max(fence);
        self.unanswered = 0;
        self.grantor = asked.grantor;
        self.granted_by = asked.grantor;
        self.next_at = now + self.random.spread(self.timing.retry);
        if now >= from + usable {
            return;
        }
        let permits = permits.min(asked.wanted);
        self.lease = Some(Lease { permits, until: from + usable, fence });
        // Early: while a new root is quiet, what is left of the lease is all that there is.
        self.renew_at = from + self.random.spread(usable / 3);
    }

    fn refused(&mut self, now: Millis, why: Refusal, retry_after: Millis) {
        self.asked = None;
        self.unanswered = 0;
        let pause = retry_after.clamp(self.timing.retry, self.timing.retry_most);
        if matches!(why, Refusal::Full | Refusal::NoGrantor) {
            // The next one may say otherwise at once.
            self.turn_to_next();
            self.next_at = now + self.random.spread(self.timing.retry);
        } else {
            self.next_at = now + self.random.spread(pause);
        }
    }
}

/// Whether less than half of a lease is wanted: then the rest is worth a message.
fn has_too_much(limit: Permits, wanted: Permits) -> bool {
    limit != Permits::NONE && (wanted.is_useless() || limit.outstanding / 2 > wanted.outstanding)
}
