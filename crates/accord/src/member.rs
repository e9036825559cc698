//! The state machine of one member: voter, leader and follower.

use std::collections::BTreeSet;

use crate::message::{Ballot, Message, PlanNumber, Query};
use crate::recovery::PlanRecovery;
use crate::{MemberId, Millis};

/// This many unanswered queries in a row are not taken for a failure yet.
const TOLERATED_UNANSWERED: u8 = 2;
/// Rounds from here on are invalid.
const MAX_ROUND: u32 = u32::MAX / 2;

/// The time constants of the agreement, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// The duration of a leader's lease, from before it is requested.
    pub lease: Millis,
    /// How long a voter keeps to a grant; longer than the lease by more than two clocks can differ over it.
    pub grant: Millis,
    /// How long a follower acts on a plan after the query that was last answered.
    pub plan_validity: Millis,
    /// The interval between queries of a follower.
    pub query_interval: Millis,
    /// After this long a campaign asks voters again that have not answered.
    pub retry_interval: Millis,
    /// By how many thousandths of a lease a follower's clock may run slower than the leader's.
    pub drift_per_mille: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease: 2_000,
            grant: 2_200,
            plan_validity: 8_000,
            query_interval: 500,
            retry_interval: 120,
            drift_per_mille: 20,
        }
    }
}

/// The configuration of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The number of this member.
    pub me: MemberId,
    /// The voters, the same at every member.
    pub voters: Vec<MemberId>,
    /// The time constants, the same at every member.
    pub timing: Timing,
}

/// An action that the state machine requests, or a change that it reports to its node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message to a member.
    Send(MemberId, Message),
    /// Act on this plan from now on.
    ApplyPlan(PlanNumber, Vec<u8>),
    /// Act on no plan from now on: nothing was received for too long.
    DropPlan,
    /// This member is the leader from now on.
    BecameLeader(Ballot),
    /// This member is no longer the leader.
    SteppedDown,
    /// Evidence of another member; reported to a leader only.
    Evidence(MemberId, Vec<u8>),
    /// Another member has acted on this leader's plan of this sequence number, or on a later one.
    PlanApplied(MemberId, u32),
    /// A former leader's plan, newer than any that this leader knew; reported while it must not choose a plan of its
    /// own yet.
    RecoveredPlan(Vec<u8>),
}

/// A safeguard that is left out: for tests, which must detect each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// A voter votes at once after its start.
    VotesAtOnce,
    /// A voter forgets a grant when its lease expires by the leader's clock.
    HoldsTooShort,
    /// A voter does not report its grant.
    HidesGrant,
    /// A voter grants to a lower ballot than it has promised.
    BreaksPromise,
    /// A leader's lease begins when it is granted.
    LeaseFromGrant,
    /// A leader's lease begins when it is requested, as published, and not when the campaign begins.
    LeaseFromPropose,
    /// A leader does not check whether its lease has expired before it replies.
    AnswersLate,
    /// A follower accepts a reply however late it arrives.
    AcceptsLateReply,
    /// A follower accepts a reply to a query of its former incarnation.
    AcceptsForeignReply,
    /// A follower accepts a lower plan number than it has acted on.
    GoesBack,
    /// A follower acts on a plan for ever.
    NeverDropsPlan,
    /// A new leader begins its term with the number of a former incarnation.
    ReusesIncarnation,
    /// A campaign counts answers of members that are not voters.
    CountsNonVoters,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Campaign {
    ballot: Ballot,
    /// Voters that have promised, or that have granted once the ballot is proposed.
    voters: BTreeSet<MemberId>,
    /// When the lease would end.
    lease_ends: Millis,
    proposed: bool,
    /// When voters that have not answered are asked again.
    retry_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Term {
    ballot: Ballot,
    lease_ends: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AppliedPlan {
    number: PlanNumber,
    plan: Vec<u8>,
    /// The time of the query that was last answered with it.
    confirmed_at: Millis,
}

/// The state machine of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    config: Config,
    incarnation: u32,
    now: Millis,
    mutant: Option<Mutant>,
    // State of a voter.
    abstains_until: Millis,
    promised: Ballot,
    granted: Option<(Ballot, Millis)>,
    // State of a candidate or leader.
    highest_round: u32,
    campaign: Option<Campaign>,
    campaign_at: Millis,
    term: Option<Term>,
    plan: (u32, Vec<u8>),
    recovery: PlanRecovery,
    // State of a follower.
    applied: Option<AppliedPlan>,
    highest_number: PlanNumber,
    leader_guess: usize,
    /// The voter that relays the next query.
    relay: usize,
    query_at: Millis,
    unanswered: u8,
    evidence: Vec<u8>,
    urgent: bool,
}

impl Member {
    /// A member that starts without state; `incarnation` must be a number that no former start of it has had.
    pub fn start(config: Config, incarnation: u32, now: Millis) -> Member {
        let grant = config.timing.grant;
        // Voters campaign after different delays, by their position and by a draw from their incarnation.
        let position = config.voters.iter().position(|v| *v == config.me).unwrap_or(0) as u64;
        let delay = grant
            + (position * config.timing.query_interval)
            + u64::from(incarnation).wrapping_mul(0x9e37_79b9) % config.timing.query_interval.max(1);
        Member {
            incarnation,
            now,
            mutant: None,
            abstains_until: now + grant,
            promised: Ballot::default(),
            granted: None,
            highest_round: 0,
            campaign: None,
            campaign_at: now + delay,
            term: None,
            plan: (0, Vec::new()),
            recovery: PlanRecovery::default(),
            applied: None,
            highest_number: PlanNumber::default(),
            leader_guess: 0,
            relay: 0,
            query_at: now,
            unanswered: 0,
            evidence: Vec::new(),
            urgent: false,
            config,
        }
    }

    /// The same member without state, for a process that could not reach others before. It abstains from now on.
    pub fn restarted(&self, now: Millis) -> Member {
        Member::start(self.config.clone(), self.incarnation, now)
    }

    /// The same member with a safeguard left out: for tests.
    pub fn with_mutant(mut self, mutant: Mutant) -> Member {
        self.mutant = Some(mutant);
        if mutant == Mutant::VotesAtOnce {
            self.abstains_until = self.now;
        }
        if mutant == Mutant::ReusesIncarnation {
            self.incarnation = 0;
        }
        self
    }

    /// For explorations: resets what only affects when the member acts by itself, and sets its clock. Its reaction to
    /// the next message stays the same.
    #[doc(hidden)]
    pub fn normalized(mut self, now: Millis) -> Member {
        self.advance(now, &mut Vec::new());
        (self.campaign_at, self.query_at, self.unanswered) = (0, 0, 0);
        (self.leader_guess, self.relay) = (0, 0);
        if let Some(campaign) = &mut self.campaign {
            campaign.retry_at = 0;
        }
        self
    }

    /// For explorations: whether an answer to a campaign can still have an effect; ballots are never reused.
    #[doc(hidden)]
    pub fn can_affect(&self, message: &Message) -> bool {
        let campaign = self.campaign.as_ref();
        match message {
            Message::Promise { ballot, .. } => campaign.is_some_and(|c| c.ballot == *ballot && !c.proposed),
            Message::Accepted { ballot } => campaign.is_some_and(|c| c.ballot == *ballot),
            _ => true,
        }
    }

    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// The ballot with which the present term began, where this member holds a lease.
    pub fn leader_ballot(&self) -> Option<Ballot> {
        self.term.filter(|t| self.now < t.lease_ends).map(|t| t.ballot)
    }

    /// When the lease ends by this member's clock, where it has one.
    pub fn lease_ends(&self) -> Option<Millis> {
        self.term.map(|t| t.lease_ends)
    }

    /// When recovery of the predecessor's plan ends, where this member leads: it should choose no plan of its own
    /// before.
    pub fn recovery_ends(&self) -> Option<Millis> {
        self.term.map(|_| self.recovery.ends())
    }

    /// The plan that this member acts on.
    pub fn applied_plan(&self) -> Option<(PlanNumber, &[u8])> {
        self.applied.as_ref().map(|k| (k.number, k.plan.as_slice()))
    }

    /// The time of the query whose reply last confirmed that plan.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.applied.as_ref().map(|k| k.confirmed_at)
    }

    /// The highest plan number that this incarnation has acted on.
    pub fn highest_number(&self) -> PlanNumber {
        self.highest_number
    }

    /// Sets the evidence that is reported to the leader from now on.
    pub fn set_evidence(&mut self, evidence: Vec<u8>) {
        self.evidence = evidence;
    }

    /// Sets whether queries are three times as frequent: for times of trouble, or while a plan moves.
    pub fn set_urgent(&mut self, urgent: bool) {
        let interval = self.config.timing.query_interval;
        if urgent && !self.urgent {
            self.query_at = self.query_at.min(self.now + interval / 3);
        }
        self.urgent = urgent;
    }

    /// When this member next has to act by itself.
    pub fn next_due(&self) -> Millis {
        let mut due = self.query_at;
        if self.is_voter() {
            due = due.min(self.campaign_at);
        }
        if let Some(term) = self.term {
            due = due.min(term.lease_ends);
        }
        if let Some(campaign) = &self.campaign {
            due = due.min(campaign.retry_at);
        }
        if let Some(applied) = &self.applied {
            due = due.min(applied.confirmed_at + self.config.timing.plan_validity);
        }
        due.max(self.now + 1)
    }

    fn is_voter(&self) -> bool {
        self.config.voters.contains(&self.config.me)
    }

    fn majority(&self) -> usize {
        self.config.voters.len() / 2 + 1
    }

    fn send_to_voters(&mut self, message: Message, out: &mut Vec<Effect>) {
        for voter in self.config.voters.clone() {
            self.send(voter, message.clone(), out);
        }
    }

    /// A message to itself is handled directly.
    fn send(&mut self, to: MemberId, message: Message, out: &mut Vec<Effect>) {
        if to == self.config.me {
            self.dispatch(to, message, out);
        } else {
            out.push(Effect::Send(to, message));
        }
    }

    /// Advances the clock: handles expirations and does what is due.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.advance(now, out);
        if self.is_voter() && now >= self.campaign_at && now >= self.abstains_until {
            self.campaign(out);
        }
        if now >= self.query_at {
            self.query_leader(out);
        }
        self.retry_campaign(out);
    }

    /// Asks missing voters again. With a bare majority of voters alive every answer counts, so lost messages are
    /// repeated.
    fn retry_campaign(&mut self, out: &mut Vec<Effect>) {
        let Some(campaign) = self.campaign.as_mut().filter(|c| self.now >= c.retry_at) else { return };
        campaign.retry_at = self.now + self.config.timing.retry_interval;
        let ballot = campaign.ballot;
        let message =
            if campaign.proposed { Message::Propose { ballot } } else { Message::Prepare { ballot } };
        let missing =
            self.config.voters.iter().filter(|v| !campaign.voters.contains(v) && **v != self.config.me);
        out.extend(missing.map(|voter| Effect::Send(*voter, message.clone())));
    }

    /// Advances the clock and handles expirations.
    fn advance(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        if self.term.is_some_and(|t| self.now >= t.lease_ends) && !self.has_mutant(Mutant::AnswersLate) {
            self.term = None;
            out.push(Effect::SteppedDown);
        }
        let too_early = match self.mutant {
            Some(Mutant::HoldsTooShort) => self.config.timing.grant - self.config.timing.lease,
            _ => 0,
        };
        if self.granted.is_some_and(|(_, expires_at)| self.now + too_early >= expires_at) {
            self.granted = None;
        }
        // Two mutants let a campaign outlive its end; for all others `handle_accepted` checks again.
        let outlives_lease =
            [Mutant::LeaseFromGrant, Mutant::LeaseFromPropose].into_iter().any(|m| self.has_mutant(m));
        if self.campaign.as_ref().is_some_and(|c| self.now >= c.lease_ends) && !outlives_lease {
            self.campaign = None;
        }
        let plan_validity = self.config.timing.plan_validity;
        let expired = self.applied.as_ref().is_some_and(|k| self.now >= k.confirmed_at + plan_validity);
        if expired && !self.has_mutant(Mutant::NeverDropsPlan) {
            self.applied = None;
            out.push(Effect::DropPlan);
        }
    }

    /// Tries to become the leader, or to remain it; [`tick`](Self::tick) does so by itself.
    pub fn start_campaign(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.advance(now, out);
        self.campaign(out);
    }

    fn campaign(&mut self, out: &mut Vec<Effect>) {
        let timing = self.config.timing;
        let other_grant = self.granted.map(|(ballot, _)| ballot).filter(|b| !self.is_own(*b));
        self.campaign = None;
        // A leader renews long before its lease ends; others try again when the present grant may have expired.
        let stagger = timing.query_interval * (1 + u64::from(self.config.me) % 4) / 2;
        self.campaign_at =
            self.now + if self.term.is_some() { timing.lease / 3 } else { timing.grant / 2 + stagger };
        if other_grant.is_some() || self.now < self.abstains_until {
            return;
        }
        self.highest_round += 1;
        let ballot =
            Ballot { round: self.highest_round, voter: self.config.me, incarnation: self.incarnation };
        // The lease counts from the beginning of the campaign, because a voter that restarts forgets its promises as
        // well as its grants. A campaign that could continue with an old promise for longer than that voter abstains
        // would meet a grant that the promise should have prevented.
        let lease_ends = self.now + timing.lease;
        let retry_at = self.now + timing.retry_interval;
        self.campaign =
            Some(Campaign { ballot, voters: BTreeSet::new(), lease_ends, proposed: false, retry_at });
        self.send_to_voters(Message::Prepare { ballot }, out);
    }

    fn is_own(&self, ballot: Ballot) -> bool {
        ballot.voter == self.config.me && ballot.incarnation == self.incarnation
    }

    /// Sets another plan; it is ignored unless this member leads.
    pub fn set_plan(&mut self, now: Millis, plan: Vec<u8>, out: &mut Vec<Effect>) {
        self.advance(now, out);
        if self.leader_ballot().is_some() && plan != self.plan.1 {
            self.plan = (self.plan.0 + 1, plan);
            self.apply_own_plan(out);
        }
    }

    /// Acts on this leader's own plan, for which it needs no message.
    fn apply_own_plan(&mut self, out: &mut Vec<Effect>) {
        let Some(term) = self.term else { return };
        let number = PlanNumber { term: term.ballot, sequence: self.plan.0 };
        if number >= self.highest_number {
            self.apply(number, self.plan.1.clone(), self.now, out);
        }
    }

    fn apply(&mut self, number: PlanNumber, plan: Vec<u8>, confirmed_at: Millis, out: &mut Vec<Effect>) {
        let before = self.applied.as_ref().map(|k| k.number);
        self.highest_number = self.highest_number.max(number);
        if before != Some(number) {
            out.push(Effect::ApplyPlan(number, plan.clone()));
        }
        self.applied = Some(AppliedPlan { number, plan, confirmed_at });
    }

    fn current_query(&self) -> Query {
        let (incarnation, number, evidence) = (self.incarnation, self.highest_number, self.evidence.clone());
        Query { asked_at: self.now, incarnation, number, evidence }
    }

    /// Sends a query to one voter now; [`tick`](Self::tick) does so by itself.
    pub fn send_query(&mut self, now: Millis, to: MemberId, out: &mut Vec<Effect>) {
        self.advance(now, out);
        let Query { asked_at, incarnation, number, evidence } = self.current_query();
        out.push(Effect::Send(to, Message::Query { asked_at, incarnation, number, evidence }));
    }

    /// Sends a query through one voter now; [`tick`](Self::tick) does so by itself where replies are missing.
    pub fn send_query_through(&mut self, now: Millis, voter: MemberId, out: &mut Vec<Effect>) {
        self.advance(now, out);
        out.push(Effect::Send(voter, Message::Relay { query: self.current_query() }));
    }

    fn query_leader(&mut self, out: &mut Vec<Effect>) {
        self.query_at = self.now + self.config.timing.query_interval / if self.urgent { 3 } else { 1 };
        if self.leader_ballot().is_some() {
            return self.apply_own_plan(out);
        }
        let (me, now) = (self.config.me, self.now);
        let voters = self.config.voters.len().max(1);
        // After unanswered queries another voter may know the leader, or be able to reach it.
        self.unanswered = self.unanswered.saturating_add(1);
        if self.unanswered > TOLERATED_UNANSWERED {
            self.leader_guess = (self.leader_guess + 1) % voters;
            self.relay = (self.relay + 1) % voters;
            if let Some(&through) = self.config.voters.get(self.relay).filter(|v| **v != me) {
                self.send_query_through(now, through, out);
            }
        }
        let Some(&to) = self.config.voters.get(self.leader_guess) else { return };
        if to == me {
            // This member does not lead: the next voter may.
            self.leader_guess = (self.leader_guess + 1) % voters;
        } else {
            self.send_query(now, to, out);
        }
    }

    /// Handles a message from a member.
    pub fn handle(&mut self, now: Millis, from: MemberId, message: Message, out: &mut Vec<Effect>) {
        self.advance(now, out);
        self.dispatch(from, message, out);
    }

    fn dispatch(&mut self, from: MemberId, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Prepare { ballot } => self.handle_prepare(from, ballot, out),
            Message::Promise { ballot, granted } => self.handle_promise(from, ballot, granted, out),
            Message::Propose { ballot } => self.handle_propose(from, ballot, out),
            Message::Accepted { ballot } => self.handle_accepted(from, ballot, out),
            Message::Rejected { highest_seen } => self.note_round(highest_seen),
            Message::Query { asked_at, incarnation, number, evidence } => {
                self.handle_query(from, asked_at, incarnation, number, evidence, out)
            }
            Message::Reply { asked_at, incarnation, number, lease_left, plan } => {
                self.handle_reply((asked_at, incarnation), number, lease_left, plan, out)
            }
            Message::Relay { query } => self.handle_relay(from, query, out),
            Message::RelayedQuery { requester, query } => {
                self.handle_relayed_query(from, requester, query, out)
            }
            Message::RelayedReply { requester, asked_at, incarnation, number, lease_left, plan } => {
                // Nothing is remembered about relayed queries: the member knows whether it has sent this one.
                if self.config.voters.contains(&from) {
                    self.send(
                        requester,
                        Message::Reply { asked_at, incarnation, number, lease_left, plan },
                        out,
                    );
                }
            }
            Message::Redirect { voter } => {
                if let Some(index) = self.config.voters.iter().position(|v| *v == voter) {
                    self.leader_guess = index;
                }
            }
        }
    }

    /// Notes the round of a ballot. A round that no term reaches in a century is invalid, and would leave no higher
    /// one.
    fn note_round(&mut self, ballot: Ballot) {
        if ballot.round < MAX_ROUND {
            self.highest_round = self.highest_round.max(ballot.round);
        }
    }

    /// Only voters vote, only for voters, and only when they can't have forgotten a grant.
    fn may_vote(&self, from: MemberId, ballot: Ballot) -> bool {
        let voters = &self.config.voters;
        self.is_voter() && voters.contains(&from) && ballot.voter == from && self.now >= self.abstains_until
    }

    fn handle_prepare(&mut self, from: MemberId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.may_vote(from, ballot) {
            return;
        }
        self.note_round(ballot);
        if ballot < self.promised || ballot.round >= MAX_ROUND {
            return self.send(from, Message::Rejected { highest_seen: self.promised }, out);
        }
        self.promised = ballot;
        let granted =
            self.granted.map(|(granted, _)| granted).filter(|_| !self.has_mutant(Mutant::HidesGrant));
        self.send(from, Message::Promise { ballot, granted }, out);
    }

    /// Only answers of voters count towards a majority.
    fn counts_as_voter(&self, from: MemberId) -> bool {
        self.config.voters.contains(&from) || self.has_mutant(Mutant::CountsNonVoters)
    }

    fn handle_promise(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        granted: Option<Ballot>,
        out: &mut Vec<Effect>,
    ) {
        if !self.counts_as_voter(from) {
            return;
        }
        let majority = self.majority();
        let own = granted.is_none_or(|held| self.is_own(held));
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.ballot == ballot && !c.proposed) else {
            return;
        };
        if !own {
            // Another member leads.
            self.campaign = None;
            return;
        }
        campaign.voters.insert(from);
        if campaign.voters.len() < majority {
            return;
        }
        if self.mutant == Some(Mutant::LeaseFromPropose) {
            campaign.lease_ends = self.now + self.config.timing.lease;
        }
        campaign.proposed = true;
        campaign.voters.clear();
        self.send_to_voters(Message::Propose { ballot }, out);
    }

    fn handle_propose(&mut self, from: MemberId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.may_vote(from, ballot) {
            return;
        }
        self.note_round(ballot);
        if ballot < self.promised && !self.has_mutant(Mutant::BreaksPromise) {
            return self.send(from, Message::Rejected { highest_seen: self.promised }, out);
        }
        self.promised = self.promised.max(ballot);
        self.granted = Some((ballot, self.now + self.config.timing.grant));
        self.send(from, Message::Accepted { ballot }, out);
    }

    fn handle_accepted(&mut self, from: MemberId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.counts_as_voter(from) {
            return;
        }
        let majority = self.majority();
        let lease_from_grant = self.has_mutant(Mutant::LeaseFromGrant);
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.ballot == ballot && c.proposed) else {
            return;
        };
        let mut lease_ends = campaign.lease_ends;
        campaign.voters.insert(from);
        if campaign.voters.len() < majority {
            return;
        }
        self.campaign = None;
        if lease_from_grant {
            lease_ends = self.now + self.config.timing.lease;
        }
        // A grant that arrives when the lease would have ended is worthless.
        if self.now >= lease_ends {
            return;
        }
        match &mut self.term {
            Some(term) => term.lease_ends = term.lease_ends.max(lease_ends),
            None => {
                self.term = Some(Term { ballot, lease_ends });
                // The next campaign, scheduled as a candidate, may come after the lease's end.
                self.campaign_at = self.campaign_at.min(self.now + self.config.timing.lease / 3);
                let known_number = self.applied.as_ref().map(|k| k.number);
                // A member that sees trouble, or acts on a moving plan, sends two queries in this time.
                let recovery_ends = self.now + self.config.timing.query_interval * 2 / 3;
                self.recovery = PlanRecovery::begin(known_number, recovery_ends);
                // The new term begins with the plan that this member last acted on.
                self.plan = (0, self.applied.as_ref().map(|k| k.plan.clone()).unwrap_or_default());
                out.push(Effect::BecameLeader(ballot));
                self.apply_own_plan(out);
            }
        }
    }

    /// The leader, as far as this voter has granted a lease.
    fn granted_to(&self) -> Option<MemberId> {
        self.granted.map(|(ballot, _)| ballot.voter).filter(|v| *v != self.config.me)
    }

    fn handle_query(
        &mut self,
        from: MemberId,
        asked_at: Millis,
        incarnation: u32,
        number: PlanNumber,
        evidence: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        self.note_round(number.term);
        if self.term.is_none() {
            match self.granted_to() {
                Some(voter) if voter != from => out.push(Effect::Send(from, Message::Redirect { voter })),
                _ => self.send_applied_plan(from, (asked_at, incarnation), out),
            }
            return;
        }
        let Some((own_number, lease_left, plan)) = self.reply_to(from, number, evidence, out) else { return };
        if self.must_recover_from(from, number) {
            return self.send_query(self.now, from, out);
        }
        out.push(Effect::Send(
            from,
            Message::Reply { asked_at, incarnation, number: own_number, lease_left, plan },
        ));
    }

    /// Whether a member knows a plan of an earlier term that this leader doesn't: the reply has to wait until it has
    /// sent it.
    fn must_recover_from(&mut self, member: MemberId, number: PlanNumber) -> bool {
        let earlier = self.term.is_some_and(|t| number.term != t.ballot);
        earlier && self.recovery.should_query(self.now, member, number)
    }

    /// Sends the known plan to a new leader that recovers it: with no time left on the lease no member acts on it.
    fn send_applied_plan(&self, to: MemberId, (asked_at, incarnation): (Millis, u32), out: &mut Vec<Effect>) {
        let Some(AppliedPlan { number, plan, .. }) = self.applied.clone() else { return };
        if self.config.voters.contains(&to) {
            out.push(Effect::Send(to, Message::Reply { asked_at, incarnation, number, lease_left: 0, plan }));
        }
    }

    /// Handles a plan that a member reports to this leader.
    fn recover(&mut self, term: Term, number: PlanNumber, plan: Vec<u8>, out: &mut Vec<Effect>) {
        if number.term < term.ballot && self.recovery.record_if_newer(self.now, number) {
            out.push(Effect::RecoveredPlan(plan));
        }
    }

    /// Relays the query of a member without replies to the leader, or answers it where this is the leader.
    fn handle_relay(&mut self, from: MemberId, query: Query, out: &mut Vec<Effect>) {
        self.note_round(query.number.term);
        if self.term.is_some() {
            self.handle_query(from, query.asked_at, query.incarnation, query.number, query.evidence, out);
        } else if let Some(leader) = self.granted_to() {
            out.push(Effect::Send(leader, Message::RelayedQuery { requester: from, query }));
        }
    }

    /// Handles a query that a voter has relayed: the voter also relays the reply. A former leader does not relay it
    /// further, or relaying could go on for ever.
    fn handle_relayed_query(
        &mut self,
        from: MemberId,
        requester: MemberId,
        query: Query,
        out: &mut Vec<Effect>,
    ) {
        self.note_round(query.number.term);
        if self.term.is_none() || !self.config.voters.contains(&from) || requester == self.config.me {
            return;
        }
        let (asked_at, incarnation) = (query.asked_at, query.incarnation);
        let Some((number, lease_left, plan)) = self.reply_to(requester, query.number, query.evidence, out)
        else {
            return;
        };
        if self.must_recover_from(requester, query.number) {
            // The member may be reachable directly by now; if not, its next queries are answered.
            return self.send_query(self.now, requester, out);
        }
        out.push(Effect::Send(
            from,
            Message::RelayedReply { requester, asked_at, incarnation, number, lease_left, plan },
        ));
    }

    /// A leader's reply to a member's query; `None` where its term must begin anew first.
    fn reply_to(
        &mut self,
        requester: MemberId,
        number: PlanNumber,
        evidence: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Option<(PlanNumber, Millis, Vec<u8>)> {
        let term = self.term?;
        if number.term == term.ballot {
            out.push(Effect::PlanApplied(requester, number.sequence));
        }
        out.push(Effect::Evidence(requester, evidence));
        let own_number = PlanNumber { term: term.ballot, sequence: self.plan.0 };
        if number > own_number && number.term.round < MAX_ROUND {
            // The member has acted on a plan of a term that no voter here remembers: this one must begin anew, above
            // it.
            self.term = None;
            self.campaign_at = self.now;
            out.push(Effect::SteppedDown);
            return None;
        }
        let lease_left = term.lease_ends.saturating_sub(self.now);
        let lease_left =
            if self.has_mutant(Mutant::AnswersLate) { self.config.timing.lease } else { lease_left };
        Some((own_number, lease_left, self.plan.1.clone()))
    }

    fn handle_reply(
        &mut self,
        (asked_at, incarnation): (Millis, u32),
        number: PlanNumber,
        lease_left: Millis,
        plan: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        if incarnation != self.incarnation && !self.has_mutant(Mutant::AcceptsForeignReply) {
            return;
        }
        if let Some(term) = self.term.filter(|_| lease_left == 0) {
            return self.recover(term, number, plan, out);
        }
        // The query was sent before the reply: the time left on the lease counts from the query.
        let trusted = lease_left.min(self.config.timing.lease)
            * (1000 - self.config.timing.drift_per_mille.min(1000))
            / 1000;
        let in_time = asked_at <= self.now && self.now < asked_at.saturating_add(trusted);
        if !in_time && !self.has_mutant(Mutant::AcceptsLateReply) {
            return;
        }
        if number.term.round >= MAX_ROUND
            || number < self.highest_number && !self.has_mutant(Mutant::GoesBack)
        {
            return;
        }
        self.note_round(number.term);
        self.unanswered = 0;
        let confirmed_at = self
            .applied
            .as_ref()
            .filter(|k| k.number == number)
            .map_or(asked_at, |k| k.confirmed_at.max(asked_at));
        self.apply(number, plan, confirmed_at, out);
    }
}
