//! Random walks of the whole system: two members of which at most one is the root, two aggregators of a site,
//! six nodes, and an origin that counts calls. Messages are lost, duplicated, delayed and reordered;
//! processes are partitioned, stopped for longer than a lease, and restarted, also twice in a row; clocks
//! drift and the shared clock is read with an error. The origin must never see more than the allowance, and a
//! violation must be found for each check that is left out.

use std::collections::VecDeque;

use mothpier_allowance::{
    Aggregator, Budget, Fence, Holder, Message, Millis, Mutant, Node, Permit, Permits, RequestId, Root,
    Rotation, Source, Term, Timing, Usage,
};

/// Short durations, so that a walk of some seconds covers many leases.
const TIMING: Timing = Timing {
    lease_duration: 2_000,
    window: 400,
    drift_per_mille: 50,
    reply_timeout: 150,
    min_retry: 40,
    max_retry: 200,
};
/// The longest call, in milliseconds.
const LONGEST_CALL: u64 = 900;
/// Largest error in reading the shared clock.
const GUARD: Millis = 60;
/// A term is repeatedly extended to this long from now.
const TERM_EXTENSION: Millis = 300;
const ROOT_COUNT: usize = 2;
const AGGREGATOR_COUNT: usize = 2;
const NODE_COUNT: usize = 6;
const PROCESS_COUNT: usize = ROOT_COUNT + AGGREGATOR_COUNT + NODE_COUNT;
/// Duration of a walk, in milliseconds of true time.
const WALK_DURATION: Millis = 24_000;

struct Rng(oorandom::Rand64);

impl Rng {
    fn below(&mut self, most: u64) -> u64 {
        self.0.rand_range(0..most.max(1))
    }

    fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}

enum Participant {
    Root(Root),
    Aggregator(Box<Aggregator>),
    Node(Box<Node>),
}

/// Computes what a process reads on its own clock and on the shared one, from true time.
#[derive(Clone, Copy)]
struct Clocks {
    offset: u64,
    /// Thousandths by which its own clock is fast (or slow, if negative).
    drift_per_mille: i64,
    /// Milliseconds by which it reads the shared clock too high.
    shared_clock_error: i64,
}

impl Clocks {
    fn any(rng: &mut Rng) -> Clocks {
        let drift_per_mille = TIMING.drift_per_mille as i64;
        let extreme_or_random = |rng: &mut Rng, most: i64| match rng.below(3) {
            0 => -most,
            1 => most,
            _ => rng.below(2 * most as u64 + 1) as i64 - most,
        };
        Clocks {
            offset: rng.below(10_000),
            drift_per_mille: extreme_or_random(rng, drift_per_mille),
            shared_clock_error: extreme_or_random(rng, GUARD as i64),
        }
    }

    fn local(&self, time: Millis) -> Millis {
        self.offset + (time as i64 * (1_000 + self.drift_per_mille) / 1_000) as u64
    }

    fn shared(&self, time: Millis) -> Millis {
        (1_000_000 + time as i64 + self.shared_clock_error) as u64
    }
}

struct Process {
    participant: Participant,
    clocks: Clocks,
    incarnation: u64,
    stopped_until: Millis,
    partitioned_until: Millis,
    /// Messages that arrived while it was stopped.
    inbox: Vec<(usize, Message)>,
    wanted: Permits,
}

struct Call {
    id: u64,
    process: usize,
    incarnation: u64,
    clocks: Clocks,
    deadline: Millis,
    source: Source,
}

/// What the origin sees of one part of the allowance.
#[derive(Default)]
struct OriginView {
    started: VecDeque<Millis>,
    total: u64,
    /// Calls of nodes that use an aggregator.
    by_aggregator: u64,
}

struct Walk {
    rng: Rng,
    mutant: Option<Mutant>,
    budget: Budget,
    rotation: Option<Rotation>,
    time: Millis,
    processes: Vec<Process>,
    /// Messages in transit: arrival time, sender, receiver.
    messages: Vec<(Millis, usize, usize, Message)>,
    calls: Vec<Call>,
    origin_views: [OriginView; 2],
    term: Option<(usize, Fence, Millis)>,
    next_term: Millis,
    rounds: u32,
    incarnations: u64,
    next_call: u64,
    profile: FaultProfile,
    /// Nodes decide themselves which calls to begin, within what they are offered.
    uses_offers: bool,
    /// The second aggregator asks the first, as that of a site does with that of a region, and a root only
    /// without a reply.
    has_region: bool,
}

/// Fault rates of a walk, drawn once for each.
struct FaultProfile {
    /// One message in this many is lost.
    loss_rate: u64,
    /// One message in this many is delayed, by up to this many milliseconds.
    delay: (u64, u64),
    /// One step in this many has a fault of each kind.
    fault_rate: u64,
    /// Of the faults of a root, one in this many takes place.
    root_fault_rate: u64,
    /// A running call is answered in one step of this many.
    reply_rate: u64,
    /// A term lasts up to this many milliseconds.
    max_term: u64,
    /// One in this many changes of a node's demand makes it want less than it can ever get.
    low_demand_rate: u64,
    /// The last nodes, this many, ask the root directly.
    direct_nodes: usize,
}

impl FaultProfile {
    fn any(rng: &mut Rng) -> FaultProfile {
        let mut one_of = |choices: [u64; 3]| choices[rng.below(3) as usize];
        FaultProfile {
            loss_rate: one_of([4, 10, 50]),
            delay: (one_of([2, 8, 30]), one_of([200, 1_000, 4_000])),
            fault_rate: one_of([20, 60, 300]),
            root_fault_rate: one_of([1, 8, 1_000]),
            reply_rate: one_of([3, 12, 200]),
            max_term: one_of([3_000, 15_000, 60_000]),
            low_demand_rate: one_of([1, 4, 1_000]),
            direct_nodes: one_of([1, 3, 6]) as usize,
        }
    }
}

impl Walk {
    fn new(seed: u64, mutant: Option<Mutant>) -> Walk {
        // Few outstanding calls in one half of the walks, few calls per window in the other; with the
        // smallest limits, two at once are too many.
        let (outstanding, calls, rotating) =
            [(8, 32, 250), (40, 16, 250), (2, 32, 500), (40, 4, 500)][(seed % 4) as usize];
        let budget = Budget::split(Permits { outstanding, calls }, Permits::NONE, rotating);
        let rotation = Rotation::new(NODE_COUNT as u32, budget.rotating, TIMING.window, LONGEST_CALL, GUARD);
        let rotation = rotation.map(|rotation| rotation.with_mutant(mutant));
        let mut rng = Rng(oorandom::Rand64::new(u128::from(seed) * 2 + 1));
        let profile = FaultProfile::any(&mut rng);
        let mut walk = Walk {
            rng,
            mutant,
            budget,
            rotation,
            time: 0,
            processes: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            origin_views: Default::default(),
            term: None,
            next_term: 0,
            rounds: 0,
            incarnations: 0,
            next_call: 0,
            profile,
            uses_offers: seed / 4 % 2 == 1,
            has_region: seed / 8 % 2 == 1,
        };
        walk.processes = (0..PROCESS_COUNT).map(|i| walk.start(i)).collect();
        walk
    }

    fn start(&mut self, i: usize) -> Process {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let clocks = Clocks::any(&mut self.rng);
        let (local, shared) = (clocks.local(self.time), clocks.shared(self.time));
        let participant = if i < ROOT_COUNT {
            Participant::Root(Root::new(TIMING, self.budget.leased).with_mutant(self.mutant))
        } else if i < ROOT_COUNT + AGGREGATOR_COUNT {
            let aggregator = Aggregator::start(100 + i as u32, incarnation, TIMING, ROOT_COUNT, local);
            Participant::Aggregator(Box::new(aggregator.with_mutant(self.mutant)))
        } else {
            let position = (i - ROOT_COUNT - AGGREGATOR_COUNT) as u32;
            let node = Node::start(position, incarnation, TIMING, (2, self.rotation), (local, shared));
            Participant::Node(Box::new(node.with_mutant(self.mutant)))
        };
        let (stopped_until, partitioned_until) = (0, 0);
        Process {
            participant,
            clocks,
            incarnation,
            stopped_until,
            partitioned_until,
            inbox: Vec::new(),
            wanted: Permits::NONE,
        }
    }

    /// The process at the given index of another process's list of grantors.
    fn grantor(&self, i: usize, number: usize) -> usize {
        if self.has_region && i == ROOT_COUNT + 1 && number == 0 {
            return ROOT_COUNT;
        }
        let above = if i < ROOT_COUNT + AGGREGATOR_COUNT || i >= PROCESS_COUNT - self.profile.direct_nodes {
            0
        } else {
            ROOT_COUNT
        };
        above + number
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message.encode().expect("no message is too long");
        let message = Message::decode(&bytes).expect("an encoded message can be decoded");
        let partitioned = [from, to].iter().any(|i| self.time < self.processes[*i].partitioned_until);
        if partitioned || self.rng.one_in(self.profile.loss_rate) {
            return;
        }
        for _ in 0..1 + u64::from(self.rng.one_in(8)) {
            let delay = if self.rng.one_in(self.profile.delay.0) { self.profile.delay.1 } else { 60 };
            let arrives_at = self.time + self.rng.below(delay);
            self.messages.push((arrives_at, from, to, message.clone()));
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while self.time < WALK_DURATION {
            self.time += 1 + self.rng.below(40);
            self.end_calls();
            self.inject_faults();
            self.change_term();
            self.deliver();
            for i in 0..PROCESS_COUNT {
                if self.time >= self.processes[i].stopped_until {
                    self.act(i)?;
                }
            }
        }
        Ok(())
    }

    /// Ends calls at their deadline or earlier; their process may not be there to see it.
    fn end_calls(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            let deadline_passed = call.clocks.local(self.time) >= call.deadline;
            let answered = self.rng.one_in(self.profile.reply_rate);
            if !deadline_passed && !answered {
                self.calls.push(call);
                continue;
            }
            let process = &mut self.processes[call.process];
            let is_running = process.incarnation == call.incarnation && self.time >= process.stopped_until;
            if let Participant::Node(node) = &mut process.participant
                && is_running
            {
                node.end_call(call.id);
            }
        }
    }

    /// Faults of a root are rarer than others: after each change of the root nobody is granted anything for a
    /// while.
    fn inject_faults(&mut self) {
        let i = self.rng.below(PROCESS_COUNT as u64) as usize;
        if i < ROOT_COUNT && !self.rng.one_in(self.profile.root_fault_rate) {
            return;
        }
        if self.rng.one_in(self.profile.fault_rate) {
            self.restart(i);
            if self.rng.one_in(3) {
                self.time += self.rng.below(30);
                self.end_calls();
                self.restart(i);
            }
        }
        if self.rng.one_in(self.profile.fault_rate) {
            self.processes[i].stopped_until = self.time + self.rng.below(6_000);
            // It cannot extend its term then.
            if let Some((member, _, end)) = &mut self.term
                && *member == i
            {
                *end = (*end).min(self.time + TERM_EXTENSION);
            }
        }
        if self.rng.one_in(self.profile.fault_rate / 3) {
            self.processes[i].partitioned_until = self.time + self.rng.below(3_000);
        }
    }

    fn restart(&mut self, i: usize) {
        self.processes[i] = self.start(i);
        if self.term.is_some_and(|(member, ..)| member == i) {
            self.end_term();
        }
    }

    fn end_term(&mut self) {
        self.term = None;
        self.next_term = self.time + self.rng.below(1_000);
    }

    /// Keeps at most one term at a time, with gaps; each has a higher fencing token.
    fn change_term(&mut self) {
        if self.term.is_some_and(|(_, _, end)| self.time >= end) {
            self.end_term();
        }
        if self.term.is_none() && self.time >= self.next_term {
            let member = self.rng.below(ROOT_COUNT as u64) as usize;
            self.rounds += 1;
            let fence = Fence { round: self.rounds, member: member as u16, incarnation: 0 };
            let lasts = if self.rng.one_in(8) { 500 } else { self.profile.max_term };
            self.term = Some((member, fence, self.time + 1 + self.rng.below(lasts)));
        }
    }

    fn deliver(&mut self) {
        let time = self.time;
        let (due, rest) =
            std::mem::take(&mut self.messages).into_iter().partition(|(arrives_at, ..)| *arrives_at <= time);
        self.messages = rest;
        let due: Vec<_> = due;
        for (_, from, to, message) in due {
            self.processes[to].inbox.push((from, message));
        }
    }

    /// Lets a process do what is due: it handles the messages that arrived while it was stopped before it
    /// learns about its term.
    fn act(&mut self, i: usize) -> Result<(), String> {
        let (time, term) = (self.time, self.term);
        let process = &mut self.processes[i];
        let now = process.clocks.local(time);
        let inbox = std::mem::take(&mut process.inbox);
        let mut out = Vec::new();
        for (from, message) in inbox {
            let reply = match &mut process.participant {
                Participant::Root(root) => root.handle(now, &message),
                Participant::Aggregator(aggregator) => aggregator.handle(now, &message),
                Participant::Node(node) => {
                    node.handle(now, &message);
                    None
                }
            };
            out.extend(reply.map(|reply| (from, reply)));
        }
        if self.rng.one_in(20) {
            let low_demand = self.rng.one_in(self.profile.low_demand_rate);
            let wanted = if low_demand { self.rng.below(4) as u32 } else { 12 };
            process.wanted = Permits { outstanding: wanted, calls: wanted * 2 };
        }
        let request = match &mut process.participant {
            Participant::Root(root) => {
                let own_term = term.filter(|(member, ..)| *member == i);
                let until = |end: Millis| process.clocks.local(end.min(time + TERM_EXTENSION));
                // The root learns of its term late now and then: the end of the term must be sufficient.
                if self.rng.one_in(4) {
                    root.set_term(now, own_term.map(|(_, fence, end)| Term { fence, until: until(end) }));
                }
                None
            }
            Participant::Aggregator(aggregator) => aggregator.tick(now),
            Participant::Node(node) => node.tick(now, process.wanted),
        };
        out.extend(request.map(|(number, message)| (self.grantor(i, number), message)));
        for (to, message) in out {
            self.send(i, to, message);
        }
        self.call(i)
    }

    /// A node with demand begins as many calls as it may, or some.
    fn call(&mut self, i: usize) -> Result<(), String> {
        let most = self.rng.below(8);
        for _ in 0..most {
            let choice = self.rng.below(4);
            let short = self.rng.below(LONGEST_CALL) + 1;
            let id = self.next_call;
            let process = &mut self.processes[i];
            let clocks = process.clocks;
            let Participant::Node(node) = &mut process.participant else { return Ok(()) };
            let times = (clocks.local(self.time), clocks.shared(self.time));
            let left = node.lease(times.0).map_or(LONGEST_CALL, |lease| lease.until.saturating_sub(times.0));
            let until_end = left.min(TIMING.lease_duration);
            let max_duration = [LONGEST_CALL, short, until_end, until_end][choice as usize];
            let incarnation = process.incarnation;
            let running_calls =
                self.calls.iter().filter(|call| (call.process, call.incarnation) == (i, incarnation)).count();
            let permit = match self.uses_offers {
                true => begin_call_within_offer(node, times, (id, max_duration), running_calls as u32),
                false => node.begin_call(times, id, max_duration),
            };
            let Some(permit) = permit else { return Ok(()) };
            let (deadline, source) = (permit.deadline, permit.source);
            self.calls.push(Call { id, process: i, incarnation, clocks, deadline, source });
            self.next_call += 1;
            self.check_origin(source, i)?;
        }
        Ok(())
    }

    /// The origin checks each part of the allowance separately.
    fn check_origin(&mut self, source: Source, caller: usize) -> Result<(), String> {
        let limit = match source {
            Source::Lease => self.budget.leased,
            Source::Turn => self.budget.rotating,
        };
        let view = &mut self.origin_views[usize::from(source == Source::Turn)];
        view.started.push_back(self.time);
        view.total += 1;
        view.by_aggregator += u64::from(caller < PROCESS_COUNT - self.profile.direct_nodes);
        while view.started.front().is_some_and(|started| started + TIMING.window <= self.time) {
            view.started.pop_front();
        }
        let outstanding = self.calls.iter().filter(|call| call.source == source).count() as u32;
        let used = Permits { outstanding, calls: view.started.len() as u32 };
        if used.is_within(limit) {
            return Ok(());
        }
        Err(format!("{source:?}: {used:?} of {limit:?} at {} ms", self.time))
    }
}

/// Begins calls as a node's decision module does: it counts all running calls, and gives each up by the end
/// of the offer.
fn begin_call_within_offer(
    node: &mut Node,
    (now, shared): (Millis, Millis),
    (call, max_duration): (u64, Millis),
    running_calls: u32,
) -> Option<Permit> {
    let offer = node.offer(now, shared)?;
    let deadline = offer.until.min(now + max_duration);
    let used = Permits { outstanding: running_calls + 1, calls: 1 };
    if deadline <= now || !used.is_within(offer.permits) {
        return None;
    }
    let permit = Permit { source: offer.source, deadline };
    node.record_call(now, call, permit);
    Some(permit)
}

/// Runs walks until a violation. Returns how many calls the origin saw by leases, by leases of aggregators,
/// and by turns.
fn run_walks(mutant: Option<Mutant>, seeds: u64) -> Result<[u64; 3], String> {
    let mut total = [0, 0, 0];
    for seed in 0..seeds {
        let mut walk = Walk::new(seed, mutant);
        walk.run().map_err(|violation| format!("seed {seed}: {violation}"))?;
        let [by_lease, by_turn] = &walk.origin_views;
        let calls = [by_lease.total, by_lease.by_aggregator, by_turn.total];
        total.iter_mut().zip(calls).for_each(|(total, calls)| *total += calls);
    }
    Ok(total)
}

#[test]
fn the_sum_holds_at_every_moment_in_2000_walks() {
    let started_at = std::time::Instant::now();
    let calls = run_walks(None, 2_000);
    println!("{calls:?} in {:?}", started_at.elapsed());
    let [by_lease, by_aggregator, by_turn] = calls.expect("the sum exceeds the allowance");
    assert!(
        by_lease > 100_000 && by_aggregator > 20_000 && by_turn > 10_000,
        "too few calls: the walks cover nothing"
    );
}

/// `cargo test -p mothpier-allowance -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn the_sum_holds_in_many_more_walks() {
    let calls = run_walks(None, 40_000);
    println!("{calls:?}");
    calls.expect("the sum exceeds the allowance");
}

/// Checks that leaving out a check leads to a violation.
fn assert_detected(mutant: Mutant) {
    let started_at = std::time::Instant::now();
    let violation = run_walks(Some(mutant), 2_000);
    println!("{mutant:?}: {violation:?}, {:?}", started_at.elapsed());
    violation.expect_err("no violation without this check");
}

#[test]
fn each_missing_check_of_grantors_is_detected() {
    assert_detected(Mutant::IgnoresOtherLeases);
    assert_detected(Mutant::ShrinksImmediately);
    assert_detected(Mutant::ForgetsPreviousIncarnation);
    assert_detected(Mutant::FreesCallsImmediately);
    assert_detected(Mutant::AcceptsStaleRequest);
    assert_detected(Mutant::GrantsBeyondOwnLease);
}

#[test]
fn each_missing_check_of_the_root_is_detected() {
    assert_detected(Mutant::SkipsGracePeriod);
    assert_detected(Mutant::KeepsTableOfPreviousTerm);
    assert_detected(Mutant::GrantsAfterTerm);
}

#[test]
fn each_missing_check_of_holders_is_detected() {
    assert_detected(Mutant::TimesLeaseFromReceipt);
    assert_detected(Mutant::AcceptsStaleReply);
    assert_detected(Mutant::AcceptsPreviousIncarnation);
    assert_detected(Mutant::IgnoresClockDrift);
    assert_detected(Mutant::UnderreportsUsage);
    assert_detected(Mutant::IgnoresExpiry);
}

#[test]
fn each_missing_check_of_calls_and_turns_is_detected() {
    assert_detected(Mutant::BeginsCallPastExpiry);
    assert_detected(Mutant::UsesFixedWindows);
    assert_detected(Mutant::IgnoresGuard);
    assert_detected(Mutant::UsesTurnAtStart);
}

/// No walk can show this case: a new root waits until no lease with a lower fencing token is left. The check
/// guards against a fault in the agreement itself.
#[test]
fn a_holder_rejects_a_lower_fence() {
    let fences = |mutant| {
        let mut holder = Holder::start(1, 1, TIMING, 1, 0).with_mutant(mutant);
        let wanted = Permits { outstanding: 1, calls: 1 };
        let usage = Usage { wanted, in_use: Permits::NONE };
        for (now, round) in [(1_000, 2), (2_500, 1)] {
            let Some((_, Message::Request { from, .. })) = holder.tick(now, usage) else {
                panic!("a holder with demand sends a request")
            };
            let fence = Fence { round, ..Fence::default() };
            let grant = Message::Grant { to: from, fence, permits: wanted, duration: TIMING.lease_duration };
            holder.handle(now, &grant);
            // Addressed to another holder: never accepted.
            let to = RequestId { holder: 2, ..from };
            holder
                .handle(now, &Message::Grant { to, fence, permits: wanted, duration: TIMING.lease_duration });
        }
        holder.lease(2_600).map(|lease| lease.fence.round)
    };
    assert_eq!(fences(None), Some(2));
    assert_eq!(fences(Some(Mutant::AcceptsLowerFence)), Some(1));
}
