//! Grants parts of its own lease, for a site or a region.

use crate::grantor::Grantor;
use crate::holder::{Holder, Lease, Usage};
use crate::message::{Message, Refusal};
use crate::{HolderId, Incarnation, Millis, Mutant, Permits, Timing};

/// A holder towards the level above and a grantor towards the level below. Several aggregators may serve the
/// same site: each has a lease of its own.
#[derive(Clone, Debug)]
pub struct Aggregator {
    timing: Timing,
    holder: Holder,
    grantor: Grantor,
    mutant: Option<Mutant>,
}

impl Aggregator {
    /// Starts an aggregator that can ask `grantors` grantors.
    pub fn start(
        id: HolderId,
        incarnation: Incarnation,
        timing: Timing,
        grantors: usize,
        now: Millis,
    ) -> Aggregator {
        let holder = Holder::start(id, incarnation, timing, grantors, now);
        Aggregator { timing, holder, grantor: Grantor::new(timing, Permits::NONE), mutant: None }
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Aggregator {
        let (holder, grantor) = (self.holder.with_mutant(mutant), self.grantor.with_mutant(mutant));
        Aggregator { holder, grantor, mutant, ..self }
    }

    /// Its own lease.
    pub fn lease(&self, now: Millis) -> Option<Lease> {
        self.holder.lease(now)
    }

    /// What it has granted and still counts as used.
    pub fn reserved(&self, now: Millis) -> Permits {
        self.grantor.reserved(now)
    }

    /// When it next has something to do without a message.
    pub fn next_wakeup(&self) -> Millis {
        self.holder.next_wakeup()
    }

    /// Advances the clock. Returns a message to send and the index of the grantor to send it to.
    pub fn tick(&mut self, now: Millis) -> Option<(usize, Message)> {
        self.grantor.remove_idle_holders(now);
        self.holder.tick(now, Usage { wanted: self.grantor.wanted(), in_use: self.grantor.reserved(now) })
    }

    /// Handles a message from above or below; may return a reply.
    pub fn handle(&mut self, now: Millis, message: &Message) -> Option<Message> {
        match *message {
            Message::Grant { .. } | Message::Refused { .. } => {
                self.holder.handle(now, message);
                None
            }
            Message::Release { from, retained } => {
                self.grantor.handle_release(now, from, retained);
                None
            }
            Message::Request { from, retained, wanted } => {
                let lease = self.holder.lease(now);
                self.grantor.set_budget(lease.map_or(Permits::NONE, |lease| lease.permits));
                let fence = lease.map(|lease| lease.fence).unwrap_or_default();
                let remaining = lease.map_or(0, |lease| lease.until - now);
                let max_duration = match self.mutant {
                    Some(Mutant::GrantsBeyondOwnLease) => self.timing.lease_duration,
                    _ => remaining,
                };
                let reply =
                    self.grantor.handle_request(now, from, (retained, wanted), (fence, max_duration))?;
                Some(self.shorten_retry_without_lease(lease, reply))
            }
        }
    }

    /// Without a lease, the aggregator has just learned what is wanted and can have a lease as soon as its
    /// own request is answered, so the holder should retry soon.
    fn shorten_retry_without_lease(&self, lease: Option<Lease>, reply: Message) -> Message {
        match reply {
            Message::Refused { to, reason: Refusal::Exhausted, .. } if lease.is_none() => {
                Message::Refused { to, reason: Refusal::NoAuthority, retry_after: self.timing.min_retry }
            }
            reply => reply,
        }
    }
}
