//! One member: voter, decider and follower in one machine.

use std::collections::BTreeSet;

use crate::message::{Ballot, Message, PlanNumber, Question};
use crate::succession::Succession;
use crate::{MemberId, Millis};

/// So many questions in a row without an answer may be bad luck.
const UNANSWERED: u8 = 2;
/// Rounds from which on a ballot is nonsense.
const MOST_ROUNDS: u32 = u32::MAX / 2;

/// Spans of the accord, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// A decider's lease, from before it asks for it.
    pub lease: Millis,
    /// For how long a voter keeps to a grant; longer than the lease by more than two clocks can differ over it.
    pub grant: Millis,
    /// A follower acts on a plan for this long after the question that was last answered.
    pub plan_validity: Millis,
    /// Between two questions of a follower.
    pub query_interval: Millis,
    /// A campaign asks voters that have not answered again after this long.
    pub retry_interval: Millis,
    /// The part of a lease, in thousandths, by which a follower's clock may run slower than the decider's.
    pub drift: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease: 2_000,
            grant: 2_200,
            plan_validity: 8_000,
            query_interval: 500,
            retry_interval: 120,
            drift: 20,
        }
    }
}

/// Who takes part, and how.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// This member.
    pub me: MemberId,
    /// The voters, the same at every member.
    pub voters: Vec<MemberId>,
    /// Spans, the same at every member.
    pub timing: Timing,
}

/// Something that the machine wants done, or tells its node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message to a member.
    Send(MemberId, Message),
    /// From now on act on this plan.
    ApplyPlan(PlanNumber, Vec<u8>),
    /// From now on act on no plan: nothing was heard for too long.
    DropPlan,
    /// This member decides from now on.
    BecameLeader(Ballot),
    /// It no longer does.
    SteppedDown,
    /// What another member sees; told to a decider only.
    Evidence(MemberId, Vec<u8>),
    /// Another member has acted on this decider's plan of this sequence number, or on a later one.
    PlanApplied(MemberId, u32),
    /// An earlier decider's plan, newer than any that this decider knew; told while it may choose nothing of its own yet.
    RecoveredPlan(Vec<u8>),
}

/// A guard that is left out: for tests, which must catch each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// A voter that starts takes part at once.
    VotesAtOnce,
    /// A voter forgets a grant when its lease would be over by the decider's clock.
    HoldsTooShort,
    /// A voter that holds a grant does not tell.
    HidesGrant,
    /// A voter grants to a lower ballot than it has promised.
    BreaksPromise,
    /// A decider's lease begins when it is granted.
    LeaseFromGrant,
    /// A decider's lease begins when it is asked for, as published, and not when the campaign begins.
    LeaseFromPropose,
    /// A decider does not look whether its lease is over before it answers.
    AnswersLate,
    /// A follower takes an answer however late it comes.
    TakesLate,
    /// A follower takes an answer that was meant for its earlier life.
    TakesForeign,
    /// A follower takes a lower number than it has acted on.
    GoesBack,
    /// A follower never falls back.
    NeverFallsBack,
    /// A new decider begins its tenure with the number of another life of its own.
    ReusesLife,
    /// A campaign counts answers of members that are no voters.
    CountsAnybody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Campaign {
    ballot: Ballot,
    /// Voters that have promised, or granted once it has proposed.
    voters: BTreeSet<MemberId>,
    /// When the lease would end.
    until: Millis,
    proposed: bool,
    /// When those that have not answered are asked again.
    again: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Tenure {
    began: Ballot,
    until: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    number: PlanNumber,
    plan: Vec<u8>,
    /// The question that was last answered with it.
    confirmed: Millis,
}

/// One member's machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    config: Config,
    life: u32,
    now: Millis,
    mutant: Option<Mutant>,
    // As a voter.
    abstains_until: Millis,
    promised: Ballot,
    granted: Option<(Ballot, Millis)>,
    // As one that would decide.
    seen: u32,
    campaign: Option<Campaign>,
    campaign_at: Millis,
    tenure: Option<Tenure>,
    plan: (u32, Vec<u8>),
    succession: Succession,
    // As a follower.
    known: Option<Known>,
    highest: PlanNumber,
    guess: usize,
    /// The voter that is asked next to pass a question on.
    relay: usize,
    ask_at: Millis,
    unanswered: u8,
    evidence: Vec<u8>,
    hurries: bool,
}

impl Member {
    /// A member that starts from nothing; `life` is a number that no other life of it has had.
    pub fn start(config: Config, life: u32, now: Millis) -> Member {
        let hold = config.timing.grant;
        // Each voter waits otherwise before it campaigns: by its place, and by a draw that follows from its life.
        let place = config.voters.iter().position(|v| *v == config.me).unwrap_or(0) as u64;
        let wait = hold
            + (place * config.timing.query_interval)
            + u64::from(life).wrapping_mul(0x9e37_79b9) % config.timing.query_interval.max(1);
        Member {
            life,
            now,
            mutant: None,
            abstains_until: now + hold,
            promised: Ballot::default(),
            granted: None,
            seen: 0,
            campaign: None,
            campaign_at: now + wait,
            tenure: None,
            plan: (0, Vec::new()),
            succession: Succession::default(),
            known: None,
            highest: PlanNumber::default(),
            guess: 0,
            relay: 0,
            ask_at: now,
            unanswered: 0,
            evidence: Vec::new(),
            hurries: false,
            config,
        }
    }

    /// The same member, from nothing, in another life: for a process that had no way to others before. It abstains from now on.
    pub fn restarted(&self, now: Millis) -> Member {
        Member::start(self.config.clone(), self.life, now)
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(mut self, mutant: Mutant) -> Member {
        self.mutant = Some(mutant);
        if mutant == Mutant::VotesAtOnce {
            self.abstains_until = self.now;
        }
        if mutant == Mutant::ReusesLife {
            self.life = 0;
        }
        self
    }

    /// For explorations: forgets what only says when it acts by itself, and takes a clock value. What it would do with the next
    /// message is the same.
    #[doc(hidden)]
    pub fn settled(mut self, now: Millis) -> Member {
        self.advance(now, &mut Vec::new());
        (self.campaign_at, self.ask_at, self.unanswered) = (0, 0, 0);
        (self.guess, self.relay) = (0, 0);
        if let Some(campaign) = &mut self.campaign {
            campaign.again = 0;
        }
        self
    }

    /// For explorations: whether an answer to a campaign can still mean anything to it; ballots are never used again.
    #[doc(hidden)]
    pub fn awaits(&self, message: &Message) -> bool {
        let campaign = self.campaign.as_ref();
        match message {
            Message::Promise { ballot, .. } => campaign.is_some_and(|c| c.ballot == *ballot && !c.proposed),
            Message::Accepted { ballot } => campaign.is_some_and(|c| c.ballot == *ballot),
            _ => true,
        }
    }

    fn lacks(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Whether it holds a lease, and with which ballot its tenure began.
    pub fn leader_ballot(&self) -> Option<Ballot> {
        self.tenure.filter(|t| self.now < t.until).map(|t| t.began)
    }

    /// When its lease ends by its own clock, where it has one.
    pub fn lease_until(&self) -> Option<Millis> {
        self.tenure.map(|t| t.until)
    }

    /// Until when it learns its predecessor's plan, where it decides: it should choose nothing of its own before.
    pub fn recovery_ends(&self) -> Option<Millis> {
        self.tenure.map(|_| self.succession.until())
    }

    /// The plan that it acts on.
    pub fn applied_plan(&self) -> Option<(PlanNumber, &[u8])> {
        self.known.as_ref().map(|k| (k.number, k.plan.as_slice()))
    }

    /// When the question was asked whose answer last confirmed that plan.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.known.as_ref().map(|k| k.confirmed)
    }

    /// The highest number that it has acted on in this life.
    pub fn highest(&self) -> PlanNumber {
        self.highest
    }

    /// What it tells the decider that it sees, from now on.
    pub fn set_evidence(&mut self, evidence: Vec<u8>) {
        self.evidence = evidence;
    }

    /// Something is the matter, or a plan is moving: until told otherwise it asks three times as often.
    pub fn set_urgent(&mut self, hurries: bool) {
        let ask = self.config.timing.query_interval;
        if hurries && !self.hurries {
            self.ask_at = self.ask_at.min(self.now + ask / 3);
        }
        self.hurries = hurries;
    }

    /// When it next has something to do by itself.
    pub fn next_due(&self) -> Millis {
        let mut due = self.ask_at;
        if self.votes() {
            due = due.min(self.campaign_at);
        }
        if let Some(tenure) = self.tenure {
            due = due.min(tenure.until);
        }
        if let Some(campaign) = &self.campaign {
            due = due.min(campaign.again);
        }
        if let Some(known) = &self.known {
            due = due.min(known.confirmed + self.config.timing.plan_validity);
        }
        due.max(self.now + 1)
    }

    fn votes(&self) -> bool {
        self.config.voters.contains(&self.config.me)
    }

    fn majority(&self) -> usize {
        self.config.voters.len() / 2 + 1
    }

    fn ask_voters(&mut self, message: Message, out: &mut Vec<Effect>) {
        for voter in self.config.voters.clone() {
            self.send(voter, message.clone(), out);
        }
    }

    /// A message to itself takes no way.
    fn send(&mut self, to: MemberId, message: Message, out: &mut Vec<Effect>) {
        if to == self.config.me {
            self.message(to, message, out);
        } else {
            out.push(Effect::Send(to, message));
        }
    }

    /// Time has come to a value: whatever has run out ends, and what is due is done.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.advance(now, out);
        if self.votes() && now >= self.campaign_at && now >= self.abstains_until {
            self.campaign(out);
        }
        if now >= self.ask_at {
            self.ask(out);
        }
        self.campaign_again(out);
    }

    /// Of a majority that is just one every answer counts: what was lost is asked for again.
    fn campaign_again(&mut self, out: &mut Vec<Effect>) {
        let Some(campaign) = self.campaign.as_mut().filter(|c| self.now >= c.again) else { return };
        campaign.again = self.now + self.config.timing.retry_interval;
        let ballot = campaign.ballot;
        let message =
            if campaign.proposed { Message::Propose { ballot } } else { Message::Prepare { ballot } };
        let missing =
            self.config.voters.iter().filter(|v| !campaign.voters.contains(v) && **v != self.config.me);
        out.extend(missing.map(|voter| Effect::Send(*voter, message.clone())));
    }

    /// What has run out by a time ends.
    fn advance(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        if self.tenure.is_some_and(|t| self.now >= t.until) && !self.lacks(Mutant::AnswersLate) {
            self.tenure = None;
            out.push(Effect::SteppedDown);
        }
        let hold = match self.mutant {
            Some(Mutant::HoldsTooShort) => self.config.timing.grant - self.config.timing.lease,
            _ => 0,
        };
        if self.granted.is_some_and(|(_, until)| self.now + hold >= until) {
            self.granted = None;
        }
        // Two mutants let a campaign go on past its end; `accepted` looks again for all others.
        let goes_on = [Mutant::LeaseFromGrant, Mutant::LeaseFromPropose].into_iter().any(|m| self.lacks(m));
        if self.campaign.as_ref().is_some_and(|c| self.now >= c.until) && !goes_on {
            self.campaign = None;
        }
        let life = self.config.timing.plan_validity;
        let over = self.known.as_ref().is_some_and(|k| self.now >= k.confirmed + life);
        if over && !self.lacks(Mutant::NeverFallsBack) {
            self.known = None;
            out.push(Effect::DropPlan);
        }
    }

    /// Tries to become the decider, or to stay it; [`tick`](Self::tick) does so by itself.
    pub fn stand(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.advance(now, out);
        self.campaign(out);
    }

    fn campaign(&mut self, out: &mut Vec<Effect>) {
        let timing = self.config.timing;
        let held = self.granted.map(|(ballot, _)| ballot).filter(|b| !self.is_own(*b));
        self.campaign = None;
        // A decider renews long before its lease ends; others look again when the present grant may have run out.
        let spread = timing.query_interval * (1 + u64::from(self.config.me) % 4) / 2;
        self.campaign_at =
            self.now + if self.tenure.is_some() { timing.lease / 3 } else { timing.grant / 2 + spread };
        if held.is_some() || self.now < self.abstains_until {
            return;
        }
        self.seen += 1;
        let ballot = Ballot { round: self.seen, voter: self.config.me, incarnation: self.life };
        // From the campaign's beginning: a voter that restarts forgets what it has promised, not only what it has granted. A
        // campaign that could go on with an old promise for longer than that voter abstains would meet a grant which the
        // promise should have prevented.
        let until = self.now + timing.lease;
        let again = self.now + timing.retry_interval;
        self.campaign = Some(Campaign { ballot, voters: BTreeSet::new(), until, proposed: false, again });
        self.ask_voters(Message::Prepare { ballot }, out);
    }

    fn is_own(&self, ballot: Ballot) -> bool {
        ballot.voter == self.config.me && ballot.incarnation == self.life
    }

    /// This member wants another plan, which counts only while it decides.
    pub fn set_plan(&mut self, now: Millis, plan: Vec<u8>, out: &mut Vec<Effect>) {
        self.advance(now, out);
        if self.leader_ballot().is_some() && plan != self.plan.1 {
            self.plan = (self.plan.0 + 1, plan);
            self.act_on_own(out);
        }
    }

    /// A decider needs nobody to tell it what it has decided.
    fn act_on_own(&mut self, out: &mut Vec<Effect>) {
        let Some(tenure) = self.tenure else { return };
        let number = PlanNumber { term: tenure.began, sequence: self.plan.0 };
        if number >= self.highest {
            self.take(number, self.plan.1.clone(), self.now, out);
        }
    }

    fn take(&mut self, number: PlanNumber, plan: Vec<u8>, confirmed: Millis, out: &mut Vec<Effect>) {
        let before = self.known.as_ref().map(|k| k.number);
        self.highest = self.highest.max(number);
        if before != Some(number) {
            out.push(Effect::ApplyPlan(number, plan.clone()));
        }
        self.known = Some(Known { number, plan, confirmed });
    }

    fn puts(&self) -> Question {
        let (life, number, evidence) = (self.life, self.highest, self.evidence.clone());
        Question { stamp: self.now, life, number, evidence }
    }

    /// Asks one voter, now; [`tick`](Self::tick) asks by itself.
    pub fn question(&mut self, now: Millis, to: MemberId, out: &mut Vec<Effect>) {
        self.advance(now, out);
        let Question { stamp, life, number, evidence } = self.puts();
        out.push(Effect::Send(to, Message::Query { asked_at: stamp, incarnation: life, number, evidence }));
    }

    /// Asks one voter to pass its question on, now; [`tick`](Self::tick) does so by itself where it gets no answer.
    pub fn question_through(&mut self, now: Millis, voter: MemberId, out: &mut Vec<Effect>) {
        self.advance(now, out);
        out.push(Effect::Send(voter, Message::Pass { ask: self.puts() }));
    }

    fn ask(&mut self, out: &mut Vec<Effect>) {
        self.ask_at = self.now + self.config.timing.query_interval / if self.hurries { 3 } else { 1 };
        if self.leader_ballot().is_some() {
            return self.act_on_own(out);
        }
        let (me, now) = (self.config.me, self.now);
        let voters = self.config.voters.len().max(1);
        // Questions without an answer: somebody else may know who decides, or have a way there.
        self.unanswered = self.unanswered.saturating_add(1);
        if self.unanswered > UNANSWERED {
            self.guess = (self.guess + 1) % voters;
            self.relay = (self.relay + 1) % voters;
            if let Some(&through) = self.config.voters.get(self.relay).filter(|v| **v != me) {
                self.question_through(now, through, out);
            }
        }
        let Some(&to) = self.config.voters.get(self.guess) else { return };
        if to == me {
            // It does not decide: the next one may.
            self.guess = (self.guess + 1) % voters;
        } else {
            self.question(now, to, out);
        }
    }

    /// A message has come from a member.
    pub fn handle(&mut self, now: Millis, from: MemberId, message: Message, out: &mut Vec<Effect>) {
        self.advance(now, out);
        self.message(from, message, out);
    }

    fn message(&mut self, from: MemberId, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Prepare { ballot } => self.prepare(from, ballot, out),
            Message::Promise { ballot, held } => self.promise(from, ballot, held, out),
            Message::Propose { ballot } => self.propose(from, ballot, out),
            Message::Accepted { ballot } => self.accepted(from, ballot, out),
            Message::Refused { seen } => self.hear_of(seen),
            Message::Query { asked_at: stamp, incarnation: life, number, evidence } => {
                self.asked(from, stamp, life, number, evidence, out)
            }
            Message::Reply { asked_at: stamp, incarnation: life, number, lease_left: left, plan } => {
                self.told((stamp, life), number, left, plan, out)
            }
            Message::Pass { ask } => self.pass(from, ask, out),
            Message::Passed { asker, ask } => self.passed(from, asker, ask, out),
            Message::Answer { asker, stamp, life, number, left, plan } => {
                // It keeps nothing of what it passes on: the asker knows whether it has asked this.
                if self.config.voters.contains(&from) {
                    self.send(
                        asker,
                        Message::Reply { asked_at: stamp, incarnation: life, number, lease_left: left, plan },
                        out,
                    );
                }
            }
            Message::Elsewhere { voter } => {
                if let Some(at) = self.config.voters.iter().position(|v| *v == voter) {
                    self.guess = at;
                }
            }
        }
    }

    /// A round that no tenure comes to in a century is nonsense, and would leave no higher one.
    fn hear_of(&mut self, ballot: Ballot) {
        if ballot.round < MOST_ROUNDS {
            self.seen = self.seen.max(ballot.round);
        }
    }

    /// Only voters vote, and only of voters, and none that may have forgotten what it has granted.
    fn may_vote(&self, from: MemberId, ballot: Ballot) -> bool {
        let voters = &self.config.voters;
        self.votes() && voters.contains(&from) && ballot.voter == from && self.now >= self.abstains_until
    }

    fn prepare(&mut self, from: MemberId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.may_vote(from, ballot) {
            return;
        }
        self.hear_of(ballot);
        if ballot < self.promised || ballot.round >= MOST_ROUNDS {
            return self.send(from, Message::Refused { seen: self.promised }, out);
        }
        self.promised = ballot;
        let held = self.granted.map(|(held, _)| held).filter(|_| !self.lacks(Mutant::HidesGrant));
        self.send(from, Message::Promise { ballot, held }, out);
    }

    /// Only what voters answer counts towards a majority.
    fn is_voter(&self, from: MemberId) -> bool {
        self.config.voters.contains(&from) || self.lacks(Mutant::CountsAnybody)
    }

    fn promise(&mut self, from: MemberId, ballot: Ballot, held: Option<Ballot>, out: &mut Vec<Effect>) {
        if !self.is_voter(from) {
            return;
        }
        let majority = self.majority();
        let own = held.is_none_or(|held| self.is_own(held));
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.ballot == ballot && !c.proposed) else {
            return;
        };
        if !own {
            // Somebody decides.
            self.campaign = None;
            return;
        }
        campaign.voters.insert(from);
        if campaign.voters.len() < majority {
            return;
        }
        if self.mutant == Some(Mutant::LeaseFromPropose) {
            campaign.until = self.now + self.config.timing.lease;
        }
        campaign.proposed = true;
        campaign.voters.clear();
        self.ask_voters(Message::Propose { ballot }, out);
    }

    fn propose(&mut self, from: MemberId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.may_vote(from, ballot) {
            return;
        }
        self.hear_of(ballot);
        if ballot < self.promised && !self.lacks(Mutant::BreaksPromise) {
            return self.send(from, Message::Refused { seen: self.promised }, out);
        }
        self.promised = self.promised.max(ballot);
        self.granted = Some((ballot, self.now + self.config.timing.grant));
        self.send(from, Message::Accepted { ballot }, out);
    }

    fn accepted(&mut self, from: MemberId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.is_voter(from) {
            return;
        }
        let majority = self.majority();
        let late = self.lacks(Mutant::LeaseFromGrant);
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.ballot == ballot && c.proposed) else {
            return;
        };
        let mut until = campaign.until;
        campaign.voters.insert(from);
        if campaign.voters.len() < majority {
            return;
        }
        self.campaign = None;
        if late {
            until = self.now + self.config.timing.lease;
        }
        // One that comes when the lease would be over grants nothing.
        if self.now >= until {
            return;
        }
        match &mut self.tenure {
            Some(tenure) => tenure.until = tenure.until.max(until),
            None => {
                self.tenure = Some(Tenure { began: ballot, until });
                // What it had planned as one that would decide may come after the lease's end.
                self.campaign_at = self.campaign_at.min(self.now + self.config.timing.lease / 3);
                let known = self.known.as_ref().map(|k| k.number);
                // A member that sees trouble, or acts on a plan that moves, asks twice in this.
                let learns_until = self.now + self.config.timing.query_interval * 2 / 3;
                self.succession = Succession::begin(known, learns_until);
                // It goes on from what it has acted on last.
                self.plan = (0, self.known.as_ref().map(|k| k.plan.clone()).unwrap_or_default());
                out.push(Effect::BecameLeader(ballot));
                self.act_on_own(out);
            }
        }
    }

    /// Who decides, as far as this voter has granted it.
    fn granted_to(&self) -> Option<MemberId> {
        self.granted.map(|(ballot, _)| ballot.voter).filter(|v| *v != self.config.me)
    }

    fn asked(
        &mut self,
        from: MemberId,
        stamp: Millis,
        life: u32,
        number: PlanNumber,
        evidence: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        self.hear_of(number.term);
        if self.tenure.is_none() {
            match self.granted_to() {
                Some(voter) if voter != from => out.push(Effect::Send(from, Message::Elsewhere { voter })),
                _ => self.tell_known(from, (stamp, life), out),
            }
            return;
        }
        let Some((own, left, plan)) = self.answers(from, number, evidence, out) else { return };
        if self.must_learn_from(from, number) {
            return self.question(self.now, from, out);
        }
        out.push(Effect::Send(
            from,
            Message::Reply { asked_at: stamp, incarnation: life, number: own, lease_left: left, plan },
        ));
    }

    /// Whether a member knows a plan of an earlier tenure that this decider doesn't: it keeps that one until it has told it.
    fn must_learn_from(&mut self, member: MemberId, number: PlanNumber) -> bool {
        let earlier = self.tenure.is_some_and(|t| number.term != t.began);
        earlier && self.succession.queries(self.now, member, number)
    }

    /// A new decider asks for its predecessor's plan: with no time left on the lease nobody acts on what is told.
    fn tell_known(&self, to: MemberId, (stamp, life): (Millis, u32), out: &mut Vec<Effect>) {
        let Some(Known { number, plan, .. }) = self.known.clone() else { return };
        if self.config.voters.contains(&to) {
            out.push(Effect::Send(
                to,
                Message::Reply { asked_at: stamp, incarnation: life, number, lease_left: 0, plan },
            ));
        }
    }

    /// What a member acts on, told by it to this decider.
    fn learn(&mut self, tenure: Tenure, number: PlanNumber, plan: Vec<u8>, out: &mut Vec<Effect>) {
        if number.term < tenure.began && self.succession.learns(self.now, number) {
            out.push(Effect::RecoveredPlan(plan));
        }
    }

    /// A member gets no answer: its question goes on to the decider, or is answered where this is it.
    fn pass(&mut self, from: MemberId, ask: Question, out: &mut Vec<Effect>) {
        self.hear_of(ask.number.term);
        if self.tenure.is_some() {
            self.asked(from, ask.stamp, ask.life, ask.number, ask.evidence, out);
        } else if let Some(decider) = self.granted_to() {
            out.push(Effect::Send(decider, Message::Passed { asker: from, ask }));
        }
    }

    /// A voter has passed a question on: it passes on the answer, too. One that no longer decides says nothing: there would be no
    /// end to passing on.
    fn passed(&mut self, from: MemberId, asker: MemberId, ask: Question, out: &mut Vec<Effect>) {
        self.hear_of(ask.number.term);
        if self.tenure.is_none() || !self.config.voters.contains(&from) || asker == self.config.me {
            return;
        }
        let (stamp, life) = (ask.stamp, ask.life);
        let Some((number, left, plan)) = self.answers(asker, ask.number, ask.evidence, out) else { return };
        if self.must_learn_from(asker, ask.number) {
            // There may be a direct way by now; where there is none, its next questions are answered.
            return self.question(self.now, asker, out);
        }
        out.push(Effect::Send(from, Message::Answer { asker, stamp, life, number, left, plan }));
    }

    /// What a decider answers to a member's question; nothing where its tenure must begin anew first.
    fn answers(
        &mut self,
        asker: MemberId,
        number: PlanNumber,
        evidence: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Option<(PlanNumber, Millis, Vec<u8>)> {
        let tenure = self.tenure?;
        if number.term == tenure.began {
            out.push(Effect::PlanApplied(asker, number.sequence));
        }
        out.push(Effect::Evidence(asker, evidence));
        let own = PlanNumber { term: tenure.began, sequence: self.plan.0 };
        if number > own && number.term.round < MOST_ROUNDS {
            // It has acted on a plan of a tenure that nobody here remembers: ours must begin anew, above it.
            self.tenure = None;
            self.campaign_at = self.now;
            out.push(Effect::SteppedDown);
            return None;
        }
        let left = tenure.until.saturating_sub(self.now);
        let left = if self.lacks(Mutant::AnswersLate) { self.config.timing.lease } else { left };
        Some((own, left, self.plan.1.clone()))
    }

    fn told(
        &mut self,
        (stamp, life): (Millis, u32),
        number: PlanNumber,
        left: Millis,
        plan: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        if life != self.life && !self.lacks(Mutant::TakesForeign) {
            return;
        }
        if let Some(tenure) = self.tenure.filter(|_| left == 0) {
            return self.learn(tenure, number, plan, out);
        }
        // The question was asked before the answer was given: what the lease had left then counts from the question on.
        let trusted = left.min(self.config.timing.lease) * (1000 - self.config.timing.drift.min(1000)) / 1000;
        let in_time = stamp <= self.now && self.now < stamp.saturating_add(trusted);
        if !in_time && !self.lacks(Mutant::TakesLate) {
            return;
        }
        if number.term.round >= MOST_ROUNDS || number < self.highest && !self.lacks(Mutant::GoesBack) {
            return;
        }
        self.hear_of(number.term);
        self.unanswered = 0;
        let confirmed =
            self.known.as_ref().filter(|k| k.number == number).map_or(stamp, |k| k.confirmed.max(stamp));
        self.take(number, plan, confirmed, out);
    }
}
