//! One that grants parts of its own lease: a site's, or a region's.

use crate::grantor::Grantor;
use crate::holder::{Holder, Lease, Usage};
use crate::message::{Message, Refusal};
use crate::{HolderId, Life, Millis, Mutant, Permits, Timing};

/// A holder towards the level above, a grantor towards the level below. Several may serve the same site: each has a lease of its own.
#[derive(Clone, Debug)]
pub struct Aggregator {
    timing: Timing,
    holder: Holder,
    grantor: Grantor,
    mutant: Option<Mutant>,
}

impl Aggregator {
    /// One that starts, with so many grantors above it.
    pub fn start(id: HolderId, life: Life, timing: Timing, grantors: usize, now: Millis) -> Aggregator {
        let holder = Holder::start(id, life, timing, grantors, now);
        Aggregator { timing, holder, grantor: Grantor::new(timing, Permits::NONE), mutant: None }
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Aggregator {
        let (holder, grantor) = (self.holder.with_mutant(mutant), self.grantor.with_mutant(mutant));
        Aggregator { holder, grantor, mutant, ..self }
    }

    /// Its own lease.
    pub fn lease(&self, now: Millis) -> Option<Lease> {
        self.holder.lease(now)
    }

    /// What it has granted and still counts.
    pub fn counted(&self, now: Millis) -> Permits {
        self.grantor.counted(now)
    }

    /// When it next has something to do by itself.
    pub fn due(&self) -> Millis {
        self.holder.due()
    }

    /// Time has come to a value: what is to be sent, and to the how manyth grantor.
    pub fn tick(&mut self, now: Millis) -> Option<(usize, Message)> {
        self.grantor.forget(now);
        self.holder.tick(now, Usage { wanted: self.grantor.wanted(), in_use: self.grantor.counted(now) })
    }

    /// A message has come, from above or from below; perhaps there is an answer.
    pub fn handle(&mut self, now: Millis, message: &Message) -> Option<Message> {
        match *message {
            Message::Grant { .. } | Message::Refused { .. } => {
                self.holder.handle(now, message);
                None
            }
            Message::Return { from, keeps } => {
                self.grantor.give_back(now, from, keeps);
                None
            }
            Message::Ask { from, keeps, wanted } => {
                let lease = self.holder.lease(now);
                self.grantor.set_budget(lease.map_or(Permits::NONE, |lease| lease.permits));
                let fence = lease.map(|lease| lease.fence).unwrap_or_default();
                let left = lease.map_or(0, |lease| lease.until - now);
                let longest = match self.mutant {
                    Some(Mutant::OutlivesOwnLease) => self.timing.length,
                    _ => left,
                };
                let answer = self.grantor.ask(now, from, (keeps, wanted), (fence, longest))?;
                Some(self.soon_if_without_lease(lease, answer))
            }
        }
    }

    /// Without a lease it has been told just now what is wanted: it can have one after an answer's time.
    fn soon_if_without_lease(&self, lease: Option<Lease>, answer: Message) -> Message {
        match answer {
            Message::Refused { to, why: Refusal::Spent, .. } if lease.is_none() => {
                Message::Refused { to, why: Refusal::NoGrantor, retry_after: self.timing.retry }
            }
            answer => answer,
        }
    }
}
