//! Holds a lease, for a node or an aggregator.

use crate::message::{Fence, Message, Refusal, RequestId};
use crate::random::Random;
use crate::{HolderId, Incarnation, Millis, Mutant, Permits, Timing};

/// The pause doubles with each request without a reply, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// What a holder may use, until a time of its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// What may be used.
    pub permits: Permits,
    /// When all use of it must have ended.
    pub until: Millis,
    /// Fencing token of the term under which it was granted.
    pub fence: Fence,
}

/// Demand and current usage of a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// What it could use, judging by recent demand.
    pub wanted: Permits,
    /// What it uses: running calls and those begun in the last window, or what it has granted itself.
    pub in_use: Permits,
}

/// The latest request.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    sequence: u32,
    /// Time from before it was sent.
    sent_at: Millis,
    /// Index of the grantor it was sent to.
    grantor: usize,
    /// What was requested: the holder uses no more, whatever is granted.
    wanted: Permits,
    /// Whether the reply is outstanding and its time-out has not passed.
    awaiting_reply: bool,
}

/// State machine of one holder. It has at most one lease, from any of its grantors, which it asks in their
/// order.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    incarnation: Incarnation,
    timing: Timing,
    grantors: usize,
    lease: Option<Lease>,
    renew_at: Millis,
    sequence: u32,
    last_request: Option<LastRequest>,
    /// Index of the grantor to ask next.
    next_grantor: usize,
    /// Index of the grantor of the current lease.
    granted_by: usize,
    next_request_at: Millis,
    consecutive_timeouts: u32,
    highest_fence: Fence,
    random: Random,
    mutant: Option<Mutant>,
}

impl Holder {
    /// Starts a holder that can ask `grantors` grantors. No other incarnation of it has had the number
    /// `incarnation`.
    pub fn start(
        id: HolderId,
        incarnation: Incarnation,
        timing: Timing,
        grantors: usize,
        now: Millis,
    ) -> Holder {
        let mut random = Random::new(incarnation ^ u64::from(id) << 32);
        Holder {
            id,
            incarnation,
            timing,
            grantors: grantors.max(1),
            lease: None,
            renew_at: 0,
            sequence: 0,
            last_request: None,
            next_grantor: 0,
            granted_by: 0,
            next_request_at: now + random.with_jitter(timing.min_retry) - timing.min_retry,
            consecutive_timeouts: 0,
            highest_fence: Fence::default(),
            random,
            mutant: None,
        }
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Holder {
        Holder { mutant, ..self }
    }

    /// The current lease, unless it has ended.
    pub fn lease(&self, now: Millis) -> Option<Lease> {
        let ignores_expiry = self.mutant == Some(Mutant::IgnoresExpiry);
        let lease = self.lease.filter(|lease| now < lease.until || ignores_expiry);
        lease.map(|lease| if ignores_expiry { Lease { until: Millis::MAX, ..lease } } else { lease })
    }

    /// When it next has something to do, unless its demand changes.
    pub fn next_wakeup(&self) -> Millis {
        match self.last_request {
            Some(last_request) if last_request.awaiting_reply => {
                last_request.sent_at + self.timing.reply_timeout
            }
            _ => self.next_request_at,
        }
    }

    /// Advances the clock. Returns a message to send and the index of the grantor to send it to.
    pub fn tick(&mut self, now: Millis, usage: Usage) -> Option<(usize, Message)> {
        self.lease = self.lease(now);
        self.check_reply_timeout(now);
        if self.last_request.is_some_and(|last_request| last_request.awaiting_reply)
            || now < self.next_request_at
        {
            return None;
        }
        let limit = self.lease.map_or(Permits::NONE, |lease| lease.permits);
        if holds_too_much(limit, usage.wanted) {
            return Some((self.granted_by, self.release(now, usage)));
        }
        let renewal_due = now >= self.renew_at || !usage.wanted.is_within(limit);
        (!usage.wanted.allows_no_call() && renewal_due)
            .then(|| (self.next_grantor, self.request_lease(now, limit, usage)))
    }

    /// After a time-out, the next request goes to the next grantor, after a pause.
    fn check_reply_timeout(&mut self, now: Millis) {
        let Some(last_request) =
            self.last_request.as_mut().filter(|last_request| last_request.awaiting_reply)
        else {
            return;
        };
        if now >= last_request.sent_at + self.timing.reply_timeout {
            last_request.awaiting_reply = false;
            self.consecutive_timeouts += 1;
            let pause = self.timing.min_retry << self.consecutive_timeouts.min(MAX_BACKOFF_DOUBLINGS);
            self.select_next_grantor();
            self.next_request_at = now + self.random.with_jitter(pause.min(self.timing.max_retry));
        }
    }

    fn select_next_grantor(&mut self) {
        self.next_grantor = (self.next_grantor + 1) % self.grantors;
    }

    fn next_request_id(&mut self) -> RequestId {
        self.sequence += 1;
        RequestId { holder: self.id, incarnation: self.incarnation, sequence: self.sequence }
    }

    /// Upper bound of what is in use until a later grant is accepted.
    fn retained(&self, limit: Permits, usage: Usage) -> Permits {
        if self.mutant == Some(Mutant::UnderreportsUsage) { limit } else { limit.max(usage.in_use) }
    }

    /// Reduces the lease to the demand. Grants for earlier requests are ignored from now on.
    fn release(&mut self, now: Millis, usage: Usage) -> Message {
        self.lease = self.lease.and_then(|lease| {
            let permits = lease.permits.min(usage.wanted);
            (!permits.allows_no_call()).then_some(Lease { permits, ..lease })
        });
        self.last_request = None;
        self.next_request_at = now + self.random.with_jitter(self.timing.min_retry);
        let limit = self.lease.map_or(Permits::NONE, |lease| lease.permits);
        Message::Release { from: self.next_request_id(), retained: self.retained(limit, usage) }
    }

    fn request_lease(&mut self, now: Millis, limit: Permits, usage: Usage) -> Message {
        let from = self.next_request_id();
        self.last_request = Some(LastRequest {
            sequence: from.sequence,
            sent_at: now,
            grantor: self.next_grantor,
            wanted: usage.wanted,
            awaiting_reply: true,
        });
        Message::Request { from, retained: self.retained(limit, usage), wanted: usage.wanted }
    }

    /// Handles a grantor's reply.
    pub fn handle(&mut self, now: Millis, message: &Message) {
        match *message {
            Message::Grant { to, fence, permits, duration } => {
                self.accept_grant(now, to, fence, (permits, duration))
            }
            Message::Refused { to, reason, retry_after } if self.is_expected_reply(to) => {
                self.accept_refusal(now, reason, retry_after);
            }
            _ => {}
        }
    }

    /// Whether a reply belongs to the latest request of this incarnation.
    fn is_expected_reply(&self, to: RequestId) -> bool {
        let own = self.id == to.holder
            && (self.incarnation == to.incarnation
                || self.mutant == Some(Mutant::AcceptsPreviousIncarnation));
        let any_reply =
            [Mutant::AcceptsStaleReply, Mutant::AcceptsPreviousIncarnation].map(Some).contains(&self.mutant);
        own && self.last_request.is_some_and(|last_request| last_request.sequence == to.sequence || any_reply)
    }

    fn accept_grant(
        &mut self,
        now: Millis,
        to: RequestId,
        fence: Fence,
        (permits, duration): (Permits, Millis),
    ) {
        let is_lower_fence = fence < self.highest_fence && self.mutant != Some(Mutant::AcceptsLowerFence);
        let Some(last_request) = self.last_request.filter(|_| self.is_expected_reply(to) && !is_lower_fence)
        else {
            return;
        };
        let duration = duration.min(self.timing.lease_duration);
        let usable_duration = match self.mutant {
            Some(Mutant::IgnoresClockDrift) => duration,
            _ => self.timing.usable_duration(duration),
        };
        let from =
            if self.mutant == Some(Mutant::TimesLeaseFromReceipt) { now } else { last_request.sent_at };
        // A duplicated grant must neither undo a later release nor extend anything.
        self.last_request = None;
        self.highest_fence = self.highest_fence.max(fence);
        self.consecutive_timeouts = 0;
        self.next_grantor = last_request.grantor;
        self.granted_by = last_request.grantor;
        self.next_request_at = now + self.random.with_jitter(self.timing.min_retry);
        if now >= from + usable_duration {
            return;
        }
        let permits = permits.min(last_request.wanted);
        self.lease = Some(Lease { permits, until: from + usable_duration, fence });
        // Renews early: while a new root waits out its grace period, the rest of this lease is all there is.
        self.renew_at = from + self.random.with_jitter(usable_duration / 3);
    }

    fn accept_refusal(&mut self, now: Millis, reason: Refusal, retry_after: Millis) {
        self.last_request = None;
        self.consecutive_timeouts = 0;
        let pause = retry_after.clamp(self.timing.min_retry, self.timing.max_retry);
        if matches!(reason, Refusal::TableFull | Refusal::NoAuthority) {
            // Another grantor may be able to grant at once.
            self.select_next_grantor();
            self.next_request_at = now + self.random.with_jitter(self.timing.min_retry);
        } else {
            self.next_request_at = now + self.random.with_jitter(pause);
        }
    }
}

/// Whether less than half of a lease is wanted, so that releasing the rest is worth a message.
fn holds_too_much(limit: Permits, wanted: Permits) -> bool {
    limit != Permits::NONE && (wanted.allows_no_call() || limit.outstanding / 2 > wanted.outstanding)
}
