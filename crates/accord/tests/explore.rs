//! A breadth-first exploration of the state machine: every order of messages, losses, duplicates, restarts without state, stopped
//! processes and clocks that differ within bounds, so that a counterexample is as short as possible.
//!
//! A stopped process is one that gets neither ticks nor messages while time goes on; a lost message is one that is never
//! delivered. Both are part of every exploration.
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
    stands: [u8; N],
    restarts: [u8; N],
    asks: [u8; N],
    /// Queries that a member sends through another one.
    passes: [u8; N],
    plans: u8,
    /// How often, in total, a clock may run ahead by one.
    leaps: u8,
    timing: Timing,
}

/// A lease of two ticks, and grants that are kept for three.
const STEADY: Timing = Timing {
    lease: 2,
    grant: 3,
    plan_validity: 4,
    query_interval: 100,
    retry_interval: 100,
    drift_per_mille: 0,
};
/// A lease of two ticks where one clock may run ahead by one over it, and another by one more.
const DRIFTING: Timing = Timing {
    lease: 2,
    grant: 4,
    plan_validity: 6,
    query_interval: 100,
    retry_interval: 100,
    drift_per_mille: 500,
};

#[derive(Clone, PartialEq, Eq, Hash)]
struct World<const N: usize> {
    time: Millis,
    clocks: [Millis; N],
    members: [Member; N],
    /// All messages ever sent: each may be delivered at any time, repeatedly, or never.
    messages: Rc<BTreeSet<(u16, u16, Message)>>,
    left: Bounds<N>,
    /// The plan that each number stands for, as far as any member has acted on it.
    plans: Rc<BTreeMap<PlanNumber, Vec<u8>>>,
    /// The latest end of each term's lease, in the time of the simulated environment.
    leases: Rc<BTreeMap<Ballot, Millis>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick(Option<usize>),
    Stand(usize),
    Ask(usize, u16),
    Pass(usize, u16),
    Plan(usize),
    Restart(usize),
    Give(u16, u16, Message),
}

struct Explorer<const N: usize> {
    bounds: Bounds<N>,
    mutant: Option<Mutant>,
}

/// The result of an exploration.
struct Found {
    states: usize,
    deepest: usize,
    /// Every reachable state was explored.
    whole: bool,
    broken: Option<(String, Vec<Step>)>,
    /// Several members came to act on a plan that was set.
    agreed: bool,
}

impl<const N: usize> Explorer<N> {
    fn member(&self, me: usize, life: u32, now: Millis) -> Member {
        let config = Config { me: me as u16, voters: (0..N as u16).collect(), timing: self.bounds.timing };
        let member = Member::start(config, life, now);
        match self.mutant {
            Some(mutant) => member.with_mutant(mutant),
            None => member,
        }
    }

    fn begin(&self) -> World<N> {
        World {
            time: 0,
            // All members have been up for as long as they abstain: the exploration begins where they may vote.
            clocks: [self.bounds.timing.grant; N],
            members: std::array::from_fn(|me| self.member(me, me as u32 + 1, 0)),
            messages: Rc::default(),
            left: self.bounds,
            plans: Rc::default(),
            leases: Rc::default(),
        }
    }

    fn steps(&self, w: &World<N>) -> Vec<Step> {
        let mut steps: Vec<Step> =
            w.messages.iter().map(|(from, to, m)| Step::Give(*from, *to, m.clone())).collect();
        for i in 0..N {
            if w.left.stands[i] > 0 {
                steps.push(Step::Stand(i));
            }
            if w.left.plans > 0 && w.members[i].leader_ballot().is_some() {
                steps.push(Step::Plan(i));
            }
            if w.left.restarts[i] > 0 {
                steps.push(Step::Restart(i));
            }
            if w.left.asks[i] > 0 {
                let others = (0..N).filter(|j| *j != i && w.members[*j].lease_ends().is_some());
                steps.extend(others.map(|j| Step::Ask(i, j as u16)));
            }
            if w.left.passes[i] > 0 {
                let others = (0..N).filter(|j| *j != i && w.members[*j].lease_ends().is_none());
                steps.extend(others.map(|j| Step::Pass(i, j as u16)));
            }
        }
        if w.time < self.bounds.time {
            steps.push(Step::Tick(None));
            if w.left.leaps > 0 {
                steps.extend((0..N).map(|i| Step::Tick(Some(i))));
            }
        }
        steps
    }

    /// The state after a step, or the rule that it violates.
    fn after(&self, w: &World<N>, step: &Step) -> Result<World<N>, String> {
        let mut w = w.clone();
        let mut out = Vec::new();
        let mut at = None;
        match step {
            Step::Tick(leap) => {
                w.time += 1;
                w.clocks.iter_mut().for_each(|c| *c += 1);
                if let Some(i) = leap {
                    w.clocks[*i] += 1;
                    w.left.leaps -= 1;
                }
            }
            Step::Stand(i) => {
                w.left.stands[*i] -= 1;
                at = Some(*i);
                w.members[*i].start_campaign(w.clocks[*i], &mut out);
            }
            Step::Ask(i, to) => {
                w.left.asks[*i] -= 1;
                at = Some(*i);
                w.members[*i].send_query(w.clocks[*i], *to, &mut out);
            }
            Step::Pass(i, to) => {
                w.left.passes[*i] -= 1;
                at = Some(*i);
                w.members[*i].send_query_through(w.clocks[*i], *to, &mut out);
            }
            Step::Plan(i) => {
                w.left.plans -= 1;
                at = Some(*i);
                // A plan of its own: no other member ever sets this one.
                w.members[*i].set_plan(
                    w.clocks[*i],
                    vec![*i as u8 + 1, w.left.plans, w.left.restarts[*i]],
                    &mut out,
                );
            }
            Step::Restart(i) => {
                w.left.restarts[*i] -= 1;
                let life = 100 * u32::from(self.bounds.restarts[*i] - w.left.restarts[*i]) + *i as u32;
                // Its clock starts anew with it.
                w.clocks[*i] = 0;
                w.members[*i] = self.member(*i, life, 0);
            }
            Step::Give(from, to, message) => {
                let i = usize::from(*to);
                at = Some(i);
                let before = w.members[i].highest_number();
                w.members[i].handle(w.clocks[i], *from, message.clone(), &mut out);
                self.followed(&w, i, message, before, &out)?;
            }
        }
        if let Some(i) = at {
            self.did(&mut w, i, out)?;
        }
        let deciding: Vec<usize> = (0..N).filter(|i| self.holds_lease(&w, *i)).collect();
        if deciding.len() > 1 {
            return Err(format!("members {deciding:?} hold a lease at once"));
        }
        for i in 0..N {
            w.members[i] = w.members[i].clone().normalized(w.clocks[i]);
        }
        // Messages without effect would make equal states differ. They are kept where ballots are reused.
        let dead = |(_, to, message): &(u16, u16, Message)| !w.members[usize::from(*to)].can_affect(message);
        if self.mutant != Some(Mutant::ReusesIncarnation) && w.messages.iter().any(dead) {
            let alive = w.messages.iter().filter(|m| !dead(m)).cloned().collect();
            w.messages = Rc::new(alive);
        }
        Ok(w)
    }

    /// By its own clock, whether or not it has noticed the end of the lease.
    fn holds_lease(&self, w: &World<N>, i: usize) -> bool {
        w.members[i].lease_ends().is_some_and(|until| w.clocks[i] < until)
    }

    /// Checks a follower after a reply.
    fn followed(
        &self,
        w: &World<N>,
        i: usize,
        message: &Message,
        before: PlanNumber,
        out: &[Effect],
    ) -> Result<(), String> {
        let Message::Reply { number, .. } = message else { return Ok(()) };
        let took = w.members[i].applied_plan().is_some_and(|(n, _)| n == *number)
            && w.members[i].highest_number() == *number;
        let acted = out.iter().any(|e| matches!(e, Effect::ApplyPlan(n, _) if n == number));
        if acted {
            if *number < before {
                return Err(format!("member {i} went back from {before:?} to {number:?}"));
            }
            let until = w.leases.get(&number.term).copied().unwrap_or(0);
            if took && w.time >= until {
                return Err(format!("member {i} acts on {number:?} when its decider's lease is over"));
            }
        }
        Ok(())
    }

    /// Sends a member's messages, and checks the plan that it acts on.
    fn did(&self, w: &mut World<N>, i: usize, out: Vec<Effect>) -> Result<(), String> {
        for effect in out {
            match effect {
                Effect::Send(to, message) => {
                    Rc::make_mut(&mut w.messages).insert((i as u16, to, message));
                }
                Effect::ApplyPlan(number, plan) => {
                    if !w.plans.contains_key(&number) {
                        Rc::make_mut(&mut w.plans).insert(number, plan.clone());
                    }
                    let known = &w.plans[&number];
                    if *known != plan {
                        return Err(format!("{number:?} is {known:?} for one and {plan:?} for another"));
                    }
                }
                _ => {}
            }
        }
        if let (Some(began), Some(until)) = (w.members[i].leader_ballot(), w.members[i].lease_ends()) {
            let until = w.time + until - w.clocks[i];
            if w.leases.get(&began).is_none_or(|known| *known < until) {
                Rc::make_mut(&mut w.leases).insert(began, until);
            }
        }
        if w.members[i].applied_plan().is_some() {
            let mut looked = w.members[i].clone();
            looked.tick(w.clocks[i] + self.bounds.timing.plan_validity, &mut Vec::new());
            // It receives nothing from here on: a plan of another member, which it does not renew itself, must expire.
            if looked.applied_plan().is_some() {
                return Err(format!("member {i} acts on a plan for ever"));
            }
        }
        Ok(())
    }

    fn run(&self, most: usize) -> Found {
        let begin = self.begin();
        let mut seen = HashSet::from([fingerprint(&begin)]);
        // How each state was reached: its predecessor, and the index of the step among the predecessor's steps.
        let mut parents: Vec<(u32, u16)> = vec![(0, 0)];
        let mut queue = VecDeque::from([(begin, 0u32, 0usize)]);
        let mut found = Found { states: 1, deepest: 0, whole: false, broken: None, agreed: false };
        while let Some((world, place, depth)) = queue.pop_front() {
            found.deepest = depth;
            for (number, step) in self.steps(&world).into_iter().enumerate() {
                match self.after(&world, &step) {
                    Err(what) => {
                        let mut numbers = vec![number as u16];
                        let mut at = place;
                        while at != 0 {
                            numbers.push(parents[at as usize].1);
                            at = parents[at as usize].0;
                        }
                        numbers.reverse();
                        found.broken = Some((what, self.again(&numbers)));
                        return found;
                    }
                    Ok(next) if seen.insert(fingerprint(&next)) => {
                        let acting = next
                            .members
                            .iter()
                            .filter(|m| m.applied_plan().is_some_and(|(_, p)| !p.is_empty()));
                        found.agreed |= acting.count() > 1;
                        found.states += 1;
                        parents.push((place, number as u16));
                        queue.push_back((next, parents.len() as u32 - 1, depth + 1));
                    }
                    Ok(_) => {}
                }
            }
            if found.states >= most {
                return found;
            }
        }
        found.whole = true;
        found
    }

    /// The steps of a path, from their indexes.
    fn again(&self, numbers: &[u16]) -> Vec<Step> {
        let mut world = self.begin();
        let mut steps = Vec::new();
        for number in numbers {
            let step = self.steps(&world).swap_remove(usize::from(*number));
            if let Ok(next) = self.after(&world, &step) {
                world = next;
            }
            steps.push(step);
        }
        steps
    }
}

fn fingerprint<const N: usize>(world: &World<N>) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

fn explore<const N: usize>(bounds: Bounds<N>, mutant: Option<Mutant>, most: usize) -> Found {
    let begin = std::time::Instant::now();
    let found = Explorer { bounds, mutant }.run(most);
    let (states, depth, whole) = (found.states, found.deepest, found.whole);
    println!("{mutant:?}: {states} states, depth {depth}, whole {whole}, {:?}", begin.elapsed());
    if let Some((what, path)) = &found.broken {
        println!("  {what}");
        path.iter().for_each(|step| println!("    {step:?}"));
    }
    found
}

/// Nothing but messages and time.
const NONE: Bounds<3> = Bounds {
    time: 3,
    stands: [0; 3],
    restarts: [0; 3],
    asks: [0; 3],
    passes: [0; 3],
    plans: 0,
    leaps: 0,
    timing: STEADY,
};
/// Two candidates, and a voter that restarts.
const RIVALS: Bounds<3> = Bounds { stands: [1, 1, 0], restarts: [0, 0, 1], ..NONE };
/// Two candidates, and time enough for one lease after the other.
const IN_TURN: Bounds<3> = Bounds { stands: [1, 1, 0], time: 4, ..NONE };
/// A leader that restarts and leads again.
const AGAIN: Bounds<3> = Bounds { stands: [2, 0, 0], restarts: [1, 0, 0], plans: 2, ..NONE };
/// A follower that restarts between query and reply.
const FORGETS: Bounds<3> = Bounds { stands: [1, 0, 0], asks: [0, 0, 1], restarts: [0, 0, 1], ..NONE };
/// One leader, two plans of it, and a follower.
const PLANS: Bounds<3> = Bounds { stands: [1, 0, 0], asks: [0, 0, 2], plans: 1, ..NONE };
/// The same, where the follower's query is relayed by the third member.
const PASSED: Bounds<3> = Bounds { stands: [1, 0, 0], passes: [0, 0, 1], plans: 1, ..NONE };
/// The same, where the follower restarts between query and reply.
const PASSED_FORGETS: Bounds<3> = Bounds { restarts: [0, 0, 1], plans: 0, ..PASSED };
/// A clock that runs ahead.
const CLOCKS: Bounds<3> = Bounds { stands: [1, 1, 0], leaps: 1, timing: DRIFTING, ..NONE };

fn holds(bounds: Bounds<3>) -> Found {
    let found = explore(bounds, None, 3_000_000);
    assert_eq!(found.broken, None);
    assert!(found.whole, "not all of it was seen");
    found
}

/// Checks that a missing safeguard is detected: the shortest path to the violation is printed.
fn caught<const N: usize>(mutant: Mutant, bounds: Bounds<N>, harm: &str) {
    let (what, path) = explore(bounds, Some(mutant), 3_000_000).broken.expect("nothing is broken without it");
    assert!(what.contains(harm), "{what}");
    assert!(!path.is_empty());
}

/// Five voters, two candidates and two voters that restart: three of five must grant.
const FIVE: Bounds<5> = Bounds {
    time: 4,
    stands: [1, 1, 0, 0, 0],
    restarts: [0, 0, 1, 1, 0],
    asks: [0; 5],
    passes: [0; 5],
    plans: 0,
    leaps: 0,
    timing: STEADY,
};

const TWO: &str = "hold a lease at once";
const LATE: &str = "when its decider's lease is over";

#[test]
fn of_two_rivals_one_decides_whatever_is_late_lost_or_restarted() {
    holds(RIVALS);
}

/// Five voters have too many message orders to explore all: random walks instead, each to its end.
fn walk(mutant: Option<Mutant>, bounds: Bounds<5>, walks: u64) -> Option<String> {
    let explorer = Explorer { bounds, mutant };
    let mut rng = oorandom::Rand64::new(7);
    let mut most = 0;
    for _ in 0..walks {
        let mut world = explorer.begin();
        // Each message at most twice: a walk that repeats the same delivery makes no progress.
        let mut given: BTreeMap<(u16, u16, Message), u8> = BTreeMap::new();
        for depth in 0..200 {
            let mut steps = explorer.steps(&world);
            steps.retain(|step| match step {
                Step::Give(from, to, m) => given.get(&(*from, *to, m.clone())).is_none_or(|n| *n < 2),
                _ => true,
            });
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(rng.rand_range(0..steps.len() as u64) as usize);
            if let Step::Give(from, to, m) = &step {
                *given.entry((*from, *to, m.clone())).or_default() += 1;
            }
            match explorer.after(&world, &step) {
                Ok(next) => world = next,
                Err(what) => return Some(what),
            }
            most = most.max(depth);
        }
    }
    println!("{mutant:?}: {walks} walks, the longest of {most} steps");
    None
}

#[test]
fn of_five_voters_as_well_no_two_decide_and_each_guard_of_theirs_is_missed() {
    assert_eq!(walk(None, FIVE, 40_000), None);
    for mutant in [Mutant::VotesAtOnce, Mutant::HidesGrant, Mutant::BreaksPromise, Mutant::LeaseFromGrant] {
        let what = walk(Some(mutant), FIVE, 40_000);
        assert!(what.as_ref().is_some_and(|w| w.contains(TWO)), "{mutant:?}: {what:?}");
    }
}

#[test]
fn one_lease_follows_the_other_and_never_lies_over_it() {
    holds(IN_TURN);
}

#[test]
fn a_decider_that_restarts_never_gives_a_number_again() {
    holds(AGAIN);
}

#[test]
fn followers_act_within_the_lease_and_never_go_back() {
    assert!(holds(PLANS).agreed, "nobody ever acted on a plan: the exploration shows nothing");
    holds(FORGETS);
}

#[test]
fn a_question_that_is_passed_on_is_fenced_as_one_that_is_not() {
    assert!(holds(PASSED).agreed, "nobody ever acted on a plan: the exploration shows nothing");
    holds(PASSED_FORGETS);
    caught(Mutant::AcceptsLateReply, PASSED, LATE);
    caught(Mutant::AnswersLate, PASSED, LATE);
    caught(Mutant::AcceptsForeignReply, PASSED_FORGETS, LATE);
}

#[test]
fn clocks_may_differ_by_what_the_hold_allows() {
    holds(CLOCKS);
}

#[test]
fn each_guard_of_voters_is_missed_where_it_is_left_out() {
    caught(Mutant::VotesAtOnce, RIVALS, TWO);
    caught(Mutant::HidesGrant, IN_TURN, TWO);
    caught(Mutant::BreaksPromise, IN_TURN, TWO);
    caught(Mutant::HoldsTooShort, CLOCKS, TWO);
}

#[test]
fn each_guard_of_deciders_is_missed_where_it_is_left_out() {
    caught(Mutant::LeaseFromGrant, IN_TURN, TWO);
    caught(Mutant::LeaseFromPropose, RIVALS, TWO);
    caught(Mutant::AnswersLate, PLANS, LATE);
}

#[test]
fn lives_that_are_not_told_apart_are_missed() {
    caught(Mutant::ReusesIncarnation, AGAIN, "for another");
}

#[test]
fn each_guard_of_followers_is_missed_where_it_is_left_out() {
    caught(Mutant::AcceptsLateReply, PLANS, LATE);
    caught(Mutant::AcceptsForeignReply, FORGETS, LATE);
    caught(Mutant::GoesBack, PLANS, "went back");
    caught(Mutant::NeverDropsPlan, PLANS, "for ever");
}

/// Takes minutes and gigabytes, so not part of every run: `cargo test --release -p mothpier-accord -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn more_of_the_same_holds_as_well() {
    let far = [
        Bounds { stands: [2, 0, 0], asks: [0, 0, 1], plans: 1, ..NONE },
        Bounds { leaps: 2, ..CLOCKS },
        Bounds { restarts: [0, 1, 1], ..RIVALS },
        Bounds { stands: [1, 1, 1], time: 2, ..NONE },
    ];
    for bounds in far {
        let found = explore(bounds, None, 6_000_000);
        assert_eq!(found.broken, None);
    }
}
