//! A breadth-first exploration of the state machine: every order of messages, losses, duplicates, restarts without
//! state, stopped processes and clocks that differ within bounds, so that a counterexample is as short as possible.
//!
//! A stopped process is one that gets neither ticks nor messages while time goes on; a lost message is one that is
//! never delivered. Both are part of every exploration.
#![allow(missing_docs)]

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use mothpier_accord::{Ballot, Config, Effect, Member, Message, Millis, Mutant, PlanNumber, Timing};

/// The most that may happen in an exploration; arrays are by member.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds<const N: usize> {
    time: Millis,
    campaigns: [u8; N],
    restarts: [u8; N],
    queries: [u8; N],
    /// Queries that a member sends through another one.
    relays: [u8; N],
    plans: u8,
    /// How often, in total, a clock may run ahead by one.
    clock_leaps: u8,
    timing: Timing,
}

/// A lease of two ticks, and grants that are kept for three.
const EQUAL_CLOCKS: Timing = Timing {
    lease: 2,
    grant: 3,
    plan_validity: 4,
    query_interval: 100,
    retry_interval: 100,
    drift_per_mille: 0,
};
/// A lease of two ticks where one clock may run ahead by one over it, and another by one more.
const DRIFTING_CLOCKS: Timing = Timing {
    lease: 2,
    grant: 4,
    plan_validity: 6,
    query_interval: 100,
    retry_interval: 100,
    drift_per_mille: 500,
};

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState<const N: usize> {
    time: Millis,
    clocks: [Millis; N],
    members: [Member; N],
    /// All messages ever sent: each may be delivered at any time, repeatedly, or never.
    messages: Rc<BTreeSet<(u16, u16, Message)>>,
    remaining: Bounds<N>,
    /// The plan that each number stands for, as far as any member has acted on it.
    plans: Rc<BTreeMap<PlanNumber, Vec<u8>>>,
    /// The latest end of each term's lease, in the time of the simulated environment.
    leases: Rc<BTreeMap<Ballot, Millis>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick(Option<usize>),
    Campaign(usize),
    Query(usize, u16),
    Relay(usize, u16),
    SetPlan(usize),
    Restart(usize),
    Deliver(u16, u16, Message),
}

struct Explorer<const N: usize> {
    bounds: Bounds<N>,
    mutant: Option<Mutant>,
}

/// The result of an exploration.
struct Outcome {
    states: usize,
    depth: usize,
    /// Every reachable state was explored.
    complete: bool,
    violation: Option<(String, Vec<Step>)>,
    /// Several members came to act on a plan that was set.
    plan_applied: bool,
}

impl<const N: usize> Explorer<N> {
    fn member(&self, me: usize, incarnation: u32, now: Millis) -> Member {
        let config = Config { me: me as u16, voters: (0..N as u16).collect(), timing: self.bounds.timing };
        let member = Member::start(config, incarnation, now);
        match self.mutant {
            Some(mutant) => member.with_mutant(mutant),
            None => member,
        }
    }

    fn initial_state(&self) -> ModelState<N> {
        ModelState {
            time: 0,
            // All members have been up for as long as they abstain: the exploration begins where they may vote.
            clocks: [self.bounds.timing.grant; N],
            members: std::array::from_fn(|me| self.member(me, me as u32 + 1, 0)),
            messages: Rc::default(),
            remaining: self.bounds,
            plans: Rc::default(),
            leases: Rc::default(),
        }
    }

    fn steps(&self, state: &ModelState<N>) -> Vec<Step> {
        let mut steps: Vec<Step> = state
            .messages
            .iter()
            .map(|(from, to, message)| Step::Deliver(*from, *to, message.clone()))
            .collect();
        for i in 0..N {
            if state.remaining.campaigns[i] > 0 {
                steps.push(Step::Campaign(i));
            }
            if state.remaining.plans > 0 && state.members[i].leader_ballot().is_some() {
                steps.push(Step::SetPlan(i));
            }
            if state.remaining.restarts[i] > 0 {
                steps.push(Step::Restart(i));
            }
            if state.remaining.queries[i] > 0 {
                let others = (0..N).filter(|j| *j != i && state.members[*j].lease_ends().is_some());
                steps.extend(others.map(|j| Step::Query(i, j as u16)));
            }
            if state.remaining.relays[i] > 0 {
                let others = (0..N).filter(|j| *j != i && state.members[*j].lease_ends().is_none());
                steps.extend(others.map(|j| Step::Relay(i, j as u16)));
            }
        }
        if state.time < self.bounds.time {
            steps.push(Step::Tick(None));
            if state.remaining.clock_leaps > 0 {
                steps.extend((0..N).map(|i| Step::Tick(Some(i))));
            }
        }
        steps
    }

    /// The state after a step, or the rule that it violates.
    fn after(&self, state: &ModelState<N>, step: &Step) -> Result<ModelState<N>, String> {
        let mut state = state.clone();
        let mut out = Vec::new();
        let mut at = None;
        match step {
            Step::Tick(leap) => {
                state.time += 1;
                state.clocks.iter_mut().for_each(|c| *c += 1);
                if let Some(i) = leap {
                    state.clocks[*i] += 1;
                    state.remaining.clock_leaps -= 1;
                }
            }
            Step::Campaign(i) => {
                state.remaining.campaigns[*i] -= 1;
                at = Some(*i);
                state.members[*i].start_campaign(state.clocks[*i], &mut out);
            }
            Step::Query(i, to) => {
                state.remaining.queries[*i] -= 1;
                at = Some(*i);
                state.members[*i].send_query(state.clocks[*i], *to, &mut out);
            }
            Step::Relay(i, to) => {
                state.remaining.relays[*i] -= 1;
                at = Some(*i);
                state.members[*i].send_query_through(state.clocks[*i], *to, &mut out);
            }
            Step::SetPlan(i) => {
                state.remaining.plans -= 1;
                at = Some(*i);
                // A plan of its own: no other member ever sets this one.
                state.members[*i].set_plan(
                    state.clocks[*i],
                    vec![*i as u8 + 1, state.remaining.plans, state.remaining.restarts[*i]],
                    &mut out,
                );
            }
            Step::Restart(i) => {
                state.remaining.restarts[*i] -= 1;
                let incarnation =
                    100 * u32::from(self.bounds.restarts[*i] - state.remaining.restarts[*i]) + *i as u32;
                // Its clock starts anew with it.
                state.clocks[*i] = 0;
                state.members[*i] = self.member(*i, incarnation, 0);
            }
            Step::Deliver(from, to, message) => {
                let i = usize::from(*to);
                at = Some(i);
                let before = state.members[i].highest_number();
                state.members[i].handle(state.clocks[i], *from, message.clone(), &mut out);
                self.check_follower(&state, i, message, before, &out)?;
            }
        }
        if let Some(i) = at {
            self.apply_effects(&mut state, i, out)?;
        }
        let leading: Vec<usize> = (0..N).filter(|i| self.holds_lease(&state, *i)).collect();
        if leading.len() > 1 {
            return Err(format!("members {leading:?} hold a lease at once"));
        }
        for i in 0..N {
            state.members[i] = state.members[i].clone().normalized(state.clocks[i]);
        }
        // Messages without effect would make equal states differ. They are kept where ballots are reused.
        let dead =
            |(_, to, message): &(u16, u16, Message)| !state.members[usize::from(*to)].can_affect(message);
        if self.mutant != Some(Mutant::ReusesIncarnation) && state.messages.iter().any(dead) {
            let alive = state.messages.iter().filter(|message| !dead(message)).cloned().collect();
            state.messages = Rc::new(alive);
        }
        Ok(state)
    }

    /// By its own clock, whether or not it has noticed the end of the lease.
    fn holds_lease(&self, state: &ModelState<N>, i: usize) -> bool {
        state.members[i].lease_ends().is_some_and(|until| state.clocks[i] < until)
    }

    /// Checks a follower after a reply.
    fn check_follower(
        &self,
        state: &ModelState<N>,
        i: usize,
        message: &Message,
        before: PlanNumber,
        out: &[Effect],
    ) -> Result<(), String> {
        let Message::Reply { number, .. } = message else { return Ok(()) };
        let took = state.members[i].applied_plan().is_some_and(|(n, _)| n == *number)
            && state.members[i].highest_number() == *number;
        let acted = out.iter().any(|e| matches!(e, Effect::ApplyPlan(n, _) if n == number));
        if acted {
            if *number < before {
                return Err(format!("member {i} went back from {before:?} to {number:?}"));
            }
            let until = state.leases.get(&number.term).copied().unwrap_or(0);
            if took && state.time >= until {
                return Err(format!("member {i} acts on {number:?} after its leader's lease has expired"));
            }
        }
        Ok(())
    }

    /// Sends a member's messages, and checks the plan that it acts on.
    fn apply_effects(&self, state: &mut ModelState<N>, i: usize, out: Vec<Effect>) -> Result<(), String> {
        for effect in out {
            match effect {
                Effect::Send(to, message) => {
                    Rc::make_mut(&mut state.messages).insert((i as u16, to, message));
                }
                Effect::ApplyPlan(number, plan) => {
                    if !state.plans.contains_key(&number) {
                        Rc::make_mut(&mut state.plans).insert(number, plan.clone());
                    }
                    let known = &state.plans[&number];
                    if *known != plan {
                        return Err(format!("{number:?} is {known:?} for one and {plan:?} for another"));
                    }
                }
                _ => {}
            }
        }
        if let (Some(ballot), Some(until)) = (state.members[i].leader_ballot(), state.members[i].lease_ends())
        {
            let until = state.time + until - state.clocks[i];
            if state.leases.get(&ballot).is_none_or(|known| *known < until) {
                Rc::make_mut(&mut state.leases).insert(ballot, until);
            }
        }
        if state.members[i].applied_plan().is_some() {
            let mut member = state.members[i].clone();
            member.tick(state.clocks[i] + self.bounds.timing.plan_validity, &mut Vec::new());
            // It receives nothing from here on: a plan of another member, which it does not renew itself, must expire.
            if member.applied_plan().is_some() {
                return Err(format!("member {i} acts on a plan for ever"));
            }
        }
        Ok(())
    }

    fn run(&self, max_states: usize) -> Outcome {
        let initial_state = self.initial_state();
        let mut seen = HashSet::from([fingerprint(&initial_state)]);
        // How each state was reached: its predecessor, and the index of the step among the predecessor's steps.
        let mut parents: Vec<(u32, u16)> = vec![(0, 0)];
        let mut queue = VecDeque::from([(initial_state, 0u32, 0usize)]);
        let mut outcome =
            Outcome { states: 1, depth: 0, complete: false, violation: None, plan_applied: false };
        while let Some((state, state_index, depth)) = queue.pop_front() {
            outcome.depth = depth;
            for (step_index, step) in self.steps(&state).into_iter().enumerate() {
                match self.after(&state, &step) {
                    Err(problem) => {
                        let mut step_indexes = vec![step_index as u16];
                        let mut index = state_index;
                        while index != 0 {
                            step_indexes.push(parents[index as usize].1);
                            index = parents[index as usize].0;
                        }
                        step_indexes.reverse();
                        outcome.violation = Some((problem, self.replay(&step_indexes)));
                        return outcome;
                    }
                    Ok(next) if seen.insert(fingerprint(&next)) => {
                        let acting = next
                            .members
                            .iter()
                            .filter(|message| message.applied_plan().is_some_and(|(_, p)| !p.is_empty()));
                        outcome.plan_applied |= acting.count() > 1;
                        outcome.states += 1;
                        parents.push((state_index, step_index as u16));
                        queue.push_back((next, parents.len() as u32 - 1, depth + 1));
                    }
                    Ok(_) => {}
                }
            }
            if outcome.states >= max_states {
                return outcome;
            }
        }
        outcome.complete = true;
        outcome
    }

    /// The steps of a path, from their indexes.
    fn replay(&self, step_indexes: &[u16]) -> Vec<Step> {
        let mut state = self.initial_state();
        let mut steps = Vec::new();
        for step_index in step_indexes {
            let step = self.steps(&state).swap_remove(usize::from(*step_index));
            if let Ok(next) = self.after(&state, &step) {
                state = next;
            }
            steps.push(step);
        }
        steps
    }
}

fn fingerprint<const N: usize>(state: &ModelState<N>) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

fn explore<const N: usize>(bounds: Bounds<N>, mutant: Option<Mutant>, max_states: usize) -> Outcome {
    let started_at = std::time::Instant::now();
    let outcome = Explorer { bounds, mutant }.run(max_states);
    let (states, depth, complete) = (outcome.states, outcome.depth, outcome.complete);
    println!("{mutant:?}: {states} states, depth {depth}, whole {complete}, {:?}", started_at.elapsed());
    if let Some((problem, path)) = &outcome.violation {
        println!("  {problem}");
        path.iter().for_each(|step| println!("    {step:?}"));
    }
    outcome
}

/// Nothing but messages and time.
const NONE: Bounds<3> = Bounds {
    time: 3,
    campaigns: [0; 3],
    restarts: [0; 3],
    queries: [0; 3],
    relays: [0; 3],
    plans: 0,
    clock_leaps: 0,
    timing: EQUAL_CLOCKS,
};
/// Two candidates, and a voter that restarts.
const CANDIDATES: Bounds<3> = Bounds { campaigns: [1, 1, 0], restarts: [0, 0, 1], ..NONE };
/// Two candidates, and time enough for one lease after the other.
const IN_TURN: Bounds<3> = Bounds { campaigns: [1, 1, 0], time: 4, ..NONE };
/// A leader that restarts and leads again.
const LEADS_AGAIN: Bounds<3> = Bounds { campaigns: [2, 0, 0], restarts: [1, 0, 0], plans: 2, ..NONE };
/// A follower that restarts between query and reply.
const FOLLOWER_RESTARTS: Bounds<3> =
    Bounds { campaigns: [1, 0, 0], queries: [0, 0, 1], restarts: [0, 0, 1], ..NONE };
/// One leader, two plans of it, and a follower.
const TWO_PLANS: Bounds<3> = Bounds { campaigns: [1, 0, 0], queries: [0, 0, 2], plans: 1, ..NONE };
/// The same, where the follower's query is relayed by the third member.
const RELAYED: Bounds<3> = Bounds { campaigns: [1, 0, 0], relays: [0, 0, 1], plans: 1, ..NONE };
/// The same, where the follower restarts between query and reply.
const RELAYED_AND_RESTARTED: Bounds<3> = Bounds { restarts: [0, 0, 1], plans: 0, ..RELAYED };
/// A clock that runs ahead.
const CLOCK_LEAP: Bounds<3> =
    Bounds { campaigns: [1, 1, 0], clock_leaps: 1, timing: DRIFTING_CLOCKS, ..NONE };

fn assert_safe(bounds: Bounds<3>) -> Outcome {
    let outcome = explore(bounds, None, 3_000_000);
    assert_eq!(outcome.violation, None);
    assert!(outcome.complete, "the exploration is incomplete");
    outcome
}

/// Checks that a missing safeguard is detected: the shortest path to the violation is printed.
fn assert_detected<const N: usize>(mutant: Mutant, bounds: Bounds<N>, violation: &str) {
    let (problem, path) =
        explore(bounds, Some(mutant), 3_000_000).violation.expect("no violation without the safeguard");
    assert!(problem.contains(violation), "{problem}");
    assert!(!path.is_empty());
}

/// Five voters, two candidates and two voters that restart: three of five must grant.
const FIVE_VOTERS: Bounds<5> = Bounds {
    time: 4,
    campaigns: [1, 1, 0, 0, 0],
    restarts: [0, 0, 1, 1, 0],
    queries: [0; 5],
    relays: [0; 5],
    plans: 0,
    clock_leaps: 0,
    timing: EQUAL_CLOCKS,
};

const TWO_LEADERS: &str = "hold a lease at once";
const ACTS_TOO_LATE: &str = "after its leader's lease has expired";

#[test]
fn of_two_candidates_one_leads_whatever_is_late_lost_or_restarted() {
    assert_safe(CANDIDATES);
}

/// Five voters have too many message orders to explore all: random walks instead, each to its end.
fn walk(mutant: Option<Mutant>, bounds: Bounds<5>, walks: u64) -> Option<String> {
    let explorer = Explorer { bounds, mutant };
    let mut rng = oorandom::Rand64::new(7);
    let mut longest = 0;
    for _ in 0..walks {
        let mut state = explorer.initial_state();
        // Each message at most twice: a walk that repeats the same delivery makes no progress.
        let mut deliveries: BTreeMap<(u16, u16, Message), u8> = BTreeMap::new();
        for depth in 0..200 {
            let mut steps = explorer.steps(&state);
            steps.retain(|step| match step {
                Step::Deliver(from, to, message) => {
                    deliveries.get(&(*from, *to, message.clone())).is_none_or(|n| *n < 2)
                }
                _ => true,
            });
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(rng.rand_range(0..steps.len() as u64) as usize);
            if let Step::Deliver(from, to, message) = &step {
                *deliveries.entry((*from, *to, message.clone())).or_default() += 1;
            }
            match explorer.after(&state, &step) {
                Ok(next) => state = next,
                Err(what) => return Some(what),
            }
            longest = longest.max(depth);
        }
    }
    println!("{mutant:?}: {walks} walks, the longest of {longest} steps");
    None
}

#[test]
fn five_voters_have_one_leader_and_need_each_safeguard() {
    assert_eq!(walk(None, FIVE_VOTERS, 40_000), None);
    for mutant in [Mutant::VotesAtOnce, Mutant::HidesGrant, Mutant::BreaksPromise, Mutant::LeaseFromGrant] {
        let what = walk(Some(mutant), FIVE_VOTERS, 40_000);
        assert!(what.as_ref().is_some_and(|state| state.contains(TWO_LEADERS)), "{mutant:?}: {what:?}");
    }
}

#[test]
fn leases_never_overlap() {
    assert_safe(IN_TURN);
}

#[test]
fn a_leader_that_restarts_never_reuses_a_plan_number() {
    assert_safe(LEADS_AGAIN);
}

#[test]
fn followers_act_within_the_lease_and_never_go_back() {
    assert!(
        assert_safe(TWO_PLANS).plan_applied,
        "no member ever acted on a plan: the exploration shows nothing"
    );
    assert_safe(FOLLOWER_RESTARTS);
}

#[test]
fn a_relayed_query_is_fenced_like_a_direct_one() {
    assert!(
        assert_safe(RELAYED).plan_applied,
        "no member ever acted on a plan: the exploration shows nothing"
    );
    assert_safe(RELAYED_AND_RESTARTED);
    assert_detected(Mutant::AcceptsLateReply, RELAYED, ACTS_TOO_LATE);
    assert_detected(Mutant::AnswersLate, RELAYED, ACTS_TOO_LATE);
    assert_detected(Mutant::AcceptsForeignReply, RELAYED_AND_RESTARTED, ACTS_TOO_LATE);
}

#[test]
fn clocks_may_differ_by_what_grants_allow() {
    assert_safe(CLOCK_LEAP);
}

#[test]
fn voters_need_each_safeguard() {
    assert_detected(Mutant::VotesAtOnce, CANDIDATES, TWO_LEADERS);
    assert_detected(Mutant::HidesGrant, IN_TURN, TWO_LEADERS);
    assert_detected(Mutant::BreaksPromise, IN_TURN, TWO_LEADERS);
    assert_detected(Mutant::HoldsTooShort, CLOCK_LEAP, TWO_LEADERS);
}

#[test]
fn leaders_need_each_safeguard() {
    assert_detected(Mutant::LeaseFromGrant, IN_TURN, TWO_LEADERS);
    assert_detected(Mutant::LeaseFromPropose, CANDIDATES, TWO_LEADERS);
    assert_detected(Mutant::AnswersLate, TWO_PLANS, ACTS_TOO_LATE);
}

#[test]
fn incarnations_must_differ() {
    assert_detected(Mutant::ReusesIncarnation, LEADS_AGAIN, "for another");
}

#[test]
fn followers_need_each_safeguard() {
    assert_detected(Mutant::AcceptsLateReply, TWO_PLANS, ACTS_TOO_LATE);
    assert_detected(Mutant::AcceptsForeignReply, FOLLOWER_RESTARTS, ACTS_TOO_LATE);
    assert_detected(Mutant::GoesBack, TWO_PLANS, "went back");
    assert_detected(Mutant::NeverDropsPlan, TWO_PLANS, "for ever");
}

/// Takes minutes and gigabytes, so it is not part of every run:
/// `cargo test --release -p mothpier-accord -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn larger_explorations_are_safe() {
    let larger = [
        Bounds { campaigns: [2, 0, 0], queries: [0, 0, 1], plans: 1, ..NONE },
        Bounds { clock_leaps: 2, ..CLOCK_LEAP },
        Bounds { restarts: [0, 1, 1], ..CANDIDATES },
        Bounds { campaigns: [1, 1, 1], time: 2, ..NONE },
    ];
    for bounds in larger {
        let outcome = explore(bounds, None, 6_000_000);
        assert_eq!(outcome.violation, None);
    }
}
