//! Random walks of the composed system: two members of which one at a time may be the root, two aggregators of a site, six nodes, and an
//! origin that counts. Messages are lost, doubled, late and out of order; processes are cut off, stopped for longer than a lease, and
//! restarted, also twice in a row; clocks drift and the shared clock is read wrong. The origin must never see more than the allowance, and
//! each guard that is left out must be missed.

use std::collections::VecDeque;

use mothpier_allowance::{
    Aggregator, Asker, Budget, Fence, Holder, Message, Millis, Mutant, Node, Permit, Permits, Root, Rotation,
    Source, Tenure, Timing, Usage,
};

/// Small spans, so that a walk of some seconds meets many leases.
const TIMING: Timing =
    Timing { length: 2_000, window: 400, drift: 50, reply: 150, retry: 40, retry_most: 200 };
/// The longest call, in milliseconds.
const LONGEST_CALL: u64 = 900;
/// By how much the shared clock may be read wrong.
const GUARD: Millis = 60;
/// A tenure is prolonged to this long from now, again and again.
const PROLONGED: Millis = 300;
const ROOTS: usize = 2;
const AGGREGATORS: usize = 2;
const NODES: usize = 6;
const PROCESSES: usize = ROOTS + AGGREGATORS + NODES;
/// How long a walk lasts, in milliseconds of true time.
const WALK: Millis = 24_000;

struct Dice(oorandom::Rand64);

impl Dice {
    fn below(&mut self, most: u64) -> u64 {
        self.0.rand_range(0..most.max(1))
    }

    fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}

enum Machine {
    Root(Root),
    Aggregator(Box<Aggregator>),
    Node(Box<Node>),
}

/// What a process reads: its own clock and the shared one, from true time.
#[derive(Clone, Copy)]
struct Clocks {
    offset: u64,
    /// Thousandths by which its own clock is fast, or slow.
    fast: i64,
    /// Milliseconds by which it reads the shared clock too high.
    wrong: i64,
}

impl Clocks {
    fn any(dice: &mut Dice) -> Clocks {
        let drift = TIMING.drift as i64;
        let edge = |dice: &mut Dice, most: i64| match dice.below(3) {
            0 => -most,
            1 => most,
            _ => dice.below(2 * most as u64 + 1) as i64 - most,
        };
        Clocks { offset: dice.below(10_000), fast: edge(dice, drift), wrong: edge(dice, GUARD as i64) }
    }

    fn own(&self, time: Millis) -> Millis {
        self.offset + (time as i64 * (1_000 + self.fast) / 1_000) as u64
    }

    fn shared(&self, time: Millis) -> Millis {
        (1_000_000 + time as i64 + self.wrong) as u64
    }
}

struct Process {
    machine: Machine,
    clocks: Clocks,
    life: u64,
    stopped_until: Millis,
    cut_until: Millis,
    /// What came while it was stopped.
    inbox: Vec<(usize, Message)>,
    wanted: Permits,
}

struct Call {
    id: u64,
    process: usize,
    life: u64,
    clocks: Clocks,
    gives_up_at: Millis,
    source: Source,
}

/// What the origin sees of one part of the allowance.
#[derive(Default)]
struct Seen {
    begun: VecDeque<Millis>,
    all: u64,
    /// Of nodes that ask aggregators.
    by_aggregator: u64,
}

struct Walk {
    dice: Dice,
    mutant: Option<Mutant>,
    budget: Budget,
    rotation: Option<Rotation>,
    time: Millis,
    processes: Vec<Process>,
    /// Messages under way: when they come, from whom, to whom.
    messages: Vec<(Millis, usize, usize, Message)>,
    calls: Vec<Call>,
    seen: [Seen; 2],
    tenure: Option<(usize, Fence, Millis)>,
    next_tenure: Millis,
    rounds: u32,
    lives: u64,
    next_call: u64,
    habits: Habits,
    /// Nodes decide by themselves which calls to begin, within what they are offered.
    by_offers: bool,
    /// The second aggregator asks the first, as a site's does a region's, and only without answer a root.
    region: bool,
}

/// How rough a walk is: drawn once for each.
struct Habits {
    /// One message in so many is lost.
    lost: u64,
    /// One in so many is late, by up to this many milliseconds.
    late: (u64, u64),
    /// One step in so many, a fault of each kind.
    faults: u64,
    /// Of a root, one in so many of these.
    root_faults: u64,
    /// A call that runs is answered in one step of so many.
    answered: u64,
    /// A tenure lasts up to this many milliseconds.
    tenure: u64,
    /// One in so many changes of a node's demand makes it want less than it can ever get.
    modest: u64,
    /// The last so many nodes ask the root itself.
    direct: usize,
}

impl Habits {
    fn any(dice: &mut Dice) -> Habits {
        let mut one_of = |choices: [u64; 3]| choices[dice.below(3) as usize];
        Habits {
            lost: one_of([4, 10, 50]),
            late: (one_of([2, 8, 30]), one_of([200, 1_000, 4_000])),
            faults: one_of([20, 60, 300]),
            root_faults: one_of([1, 8, 1_000]),
            answered: one_of([3, 12, 200]),
            tenure: one_of([3_000, 15_000, 60_000]),
            modest: one_of([1, 4, 1_000]),
            direct: one_of([1, 3, 6]) as usize,
        }
    }
}

impl Walk {
    fn new(seed: u64, mutant: Option<Mutant>) -> Walk {
        // Few outstanding calls in the one half of walks, few calls in a window in the other; of the fewest, two at once are too many.
        let (outstanding, calls, rotating) =
            [(8, 32, 250), (40, 16, 250), (2, 32, 500), (40, 4, 500)][(seed % 4) as usize];
        let budget = Budget::divide(Permits { outstanding, calls }, Permits::NONE, rotating);
        let rotation = Rotation::new(NODES as u32, budget.rotating, TIMING.window, LONGEST_CALL, GUARD);
        let rotation = rotation.map(|rotation| rotation.with_mutant(mutant));
        let mut dice = Dice(oorandom::Rand64::new(u128::from(seed) * 2 + 1));
        let habits = Habits::any(&mut dice);
        let mut walk = Walk {
            dice,
            mutant,
            budget,
            rotation,
            time: 0,
            processes: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            seen: Default::default(),
            tenure: None,
            next_tenure: 0,
            rounds: 0,
            lives: 0,
            next_call: 0,
            habits,
            by_offers: seed / 4 % 2 == 1,
            region: seed / 8 % 2 == 1,
        };
        walk.processes = (0..PROCESSES).map(|i| walk.start(i)).collect();
        walk
    }

    fn start(&mut self, i: usize) -> Process {
        self.lives += 1;
        let life = self.lives;
        let clocks = Clocks::any(&mut self.dice);
        let (own, shared) = (clocks.own(self.time), clocks.shared(self.time));
        let machine = if i < ROOTS {
            Machine::Root(Root::new(TIMING, self.budget.leased).with_mutant(self.mutant))
        } else if i < ROOTS + AGGREGATORS {
            let aggregator = Aggregator::start(100 + i as u32, life, TIMING, ROOTS, own);
            Machine::Aggregator(Box::new(aggregator.with_mutant(self.mutant)))
        } else {
            let place = (i - ROOTS - AGGREGATORS) as u32;
            let node = Node::start(place, life, TIMING, (2, self.rotation), (own, shared));
            Machine::Node(Box::new(node.with_mutant(self.mutant)))
        };
        let (stopped_until, cut_until) = (0, 0);
        Process { machine, clocks, life, stopped_until, cut_until, inbox: Vec::new(), wanted: Permits::NONE }
    }

    /// The process that is the how manyth grantor of another.
    fn grantor(&self, i: usize, number: usize) -> usize {
        if self.region && i == ROOTS + 1 && number == 0 {
            return ROOTS;
        }
        let above = if i < ROOTS + AGGREGATORS || i >= PROCESSES - self.habits.direct { 0 } else { ROOTS };
        above + number
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message.encode().expect("no message is too long");
        let message = Message::decode(&bytes).expect("what was encoded is read");
        let cut = [from, to].iter().any(|i| self.time < self.processes[*i].cut_until);
        if cut || self.dice.one_in(self.habits.lost) {
            return;
        }
        for _ in 0..1 + u64::from(self.dice.one_in(8)) {
            let late = if self.dice.one_in(self.habits.late.0) { self.habits.late.1 } else { 60 };
            let comes = self.time + self.dice.below(late);
            self.messages.push((comes, from, to, message.clone()));
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while self.time < WALK {
            self.time += 1 + self.dice.below(40);
            self.end_calls();
            self.faults();
            self.change_tenure();
            self.deliver();
            for i in 0..PROCESSES {
                if self.time >= self.processes[i].stopped_until {
                    self.act(i)?;
                }
            }
        }
        Ok(())
    }

    /// Calls end when they are given up, or before; their process may not be there to see it.
    fn end_calls(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            let over = call.clocks.own(self.time) >= call.gives_up_at;
            let answered = self.dice.one_in(self.habits.answered);
            if !over && !answered {
                self.calls.push(call);
                continue;
            }
            let process = &mut self.processes[call.process];
            let there = process.life == call.life && self.time >= process.stopped_until;
            if let Machine::Node(node) = &mut process.machine
                && there
            {
                node.end(call.id);
            }
        }
    }

    /// A root is at fault more seldom than others: whenever it changes, nobody is granted anything for a while.
    fn faults(&mut self) {
        let i = self.dice.below(PROCESSES as u64) as usize;
        if i < ROOTS && !self.dice.one_in(self.habits.root_faults) {
            return;
        }
        if self.dice.one_in(self.habits.faults) {
            self.restart(i);
            if self.dice.one_in(3) {
                self.time += self.dice.below(30);
                self.end_calls();
                self.restart(i);
            }
        }
        if self.dice.one_in(self.habits.faults) {
            self.processes[i].stopped_until = self.time + self.dice.below(6_000);
            // It cannot prolong its tenure then.
            if let Some((member, _, end)) = &mut self.tenure
                && *member == i
            {
                *end = (*end).min(self.time + PROLONGED);
            }
        }
        if self.dice.one_in(self.habits.faults / 3) {
            self.processes[i].cut_until = self.time + self.dice.below(3_000);
        }
    }

    fn restart(&mut self, i: usize) {
        self.processes[i] = self.start(i);
        if self.tenure.is_some_and(|(member, ..)| member == i) {
            self.end_tenure();
        }
    }

    fn end_tenure(&mut self) {
        self.tenure = None;
        self.next_tenure = self.time + self.dice.below(1_000);
    }

    /// At most one tenure at a time, with gaps; each has a higher fence.
    fn change_tenure(&mut self) {
        if self.tenure.is_some_and(|(_, _, end)| self.time >= end) {
            self.end_tenure();
        }
        if self.tenure.is_none() && self.time >= self.next_tenure {
            let member = self.dice.below(ROOTS as u64) as usize;
            self.rounds += 1;
            let fence = Fence { round: self.rounds, member: member as u16, life: 0 };
            let lasts = if self.dice.one_in(8) { 500 } else { self.habits.tenure };
            self.tenure = Some((member, fence, self.time + 1 + self.dice.below(lasts)));
        }
    }

    fn deliver(&mut self) {
        let time = self.time;
        let (due, rest) =
            std::mem::take(&mut self.messages).into_iter().partition(|(comes, ..)| *comes <= time);
        self.messages = rest;
        let due: Vec<_> = due;
        for (_, from, to, message) in due {
            self.processes[to].inbox.push((from, message));
        }
    }

    /// One process does what is due: what came while it was stopped first, before anyone tells it what has become of its tenure.
    fn act(&mut self, i: usize) -> Result<(), String> {
        let (time, tenure) = (self.time, self.tenure);
        let process = &mut self.processes[i];
        let now = process.clocks.own(time);
        let inbox = std::mem::take(&mut process.inbox);
        let mut out = Vec::new();
        for (from, message) in inbox {
            let answer = match &mut process.machine {
                Machine::Root(root) => root.handle(now, &message),
                Machine::Aggregator(aggregator) => aggregator.handle(now, &message),
                Machine::Node(node) => {
                    node.handle(now, &message);
                    None
                }
            };
            out.extend(answer.map(|answer| (from, answer)));
        }
        if self.dice.one_in(20) {
            let modest = self.dice.one_in(self.habits.modest);
            let wanted = if modest { self.dice.below(4) as u32 } else { 12 };
            process.wanted = Permits { outstanding: wanted, calls: wanted * 2 };
        }
        let asked = match &mut process.machine {
            Machine::Root(root) => {
                let own = tenure.filter(|(member, ..)| *member == i);
                let until = |end: Millis| process.clocks.own(end.min(time + PROLONGED));
                // It is told late, now and then: its tenure's end must be enough.
                if self.dice.one_in(4) {
                    root.tenure(now, own.map(|(_, fence, end)| Tenure { fence, until: until(end) }));
                }
                None
            }
            Machine::Aggregator(aggregator) => aggregator.tick(now),
            Machine::Node(node) => node.tick(now, process.wanted),
        };
        out.extend(asked.map(|(number, message)| (self.grantor(i, number), message)));
        for (to, message) in out {
            self.send(i, to, message);
        }
        self.call(i)
    }

    /// A node that wants to call begins as many calls as it may, or some.
    fn call(&mut self, i: usize) -> Result<(), String> {
        let most = self.dice.below(8);
        for _ in 0..most {
            let choice = self.dice.below(4);
            let short = self.dice.below(LONGEST_CALL) + 1;
            let id = self.next_call;
            let process = &mut self.processes[i];
            let clocks = process.clocks;
            let Machine::Node(node) = &mut process.machine else { return Ok(()) };
            let times = (clocks.own(self.time), clocks.shared(self.time));
            let left = node.lease(times.0).map_or(LONGEST_CALL, |lease| lease.until.saturating_sub(times.0));
            let until_end = left.min(TIMING.length);
            let longest = [LONGEST_CALL, short, until_end, until_end][choice as usize];
            let life = process.life;
            let runs = self.calls.iter().filter(|call| (call.process, call.life) == (i, life)).count();
            let permit = match self.by_offers {
                true => begin_within_offer(node, times, (id, longest), runs as u32),
                false => node.begin(times, id, longest),
            };
            let Some(permit) = permit else { return Ok(()) };
            let (gives_up_at, source) = (permit.gives_up_at, permit.source);
            self.calls.push(Call { id, process: i, life, clocks, gives_up_at, source });
            self.next_call += 1;
            self.look(source, i)?;
        }
        Ok(())
    }

    /// The origin counts each part of the allowance by itself.
    fn look(&mut self, source: Source, caller: usize) -> Result<(), String> {
        let limit = match source {
            Source::Lease => self.budget.leased,
            Source::Turn => self.budget.rotating,
        };
        let seen = &mut self.seen[usize::from(source == Source::Turn)];
        seen.begun.push_back(self.time);
        seen.all += 1;
        seen.by_aggregator += u64::from(caller < PROCESSES - self.habits.direct);
        while seen.begun.front().is_some_and(|begun| begun + TIMING.window <= self.time) {
            seen.begun.pop_front();
        }
        let outstanding = self.calls.iter().filter(|call| call.source == source).count() as u32;
        let used = Permits { outstanding, calls: seen.begun.len() as u32 };
        if used.within(limit) {
            return Ok(());
        }
        Err(format!("{source:?}: {used:?} of {limit:?} at {} ms", self.time))
    }
}

/// As a node's decision module does it: it counts all calls that run, and gives each up by the offer's end.
fn begin_within_offer(
    node: &mut Node,
    (now, shared): (Millis, Millis),
    (call, longest): (u64, Millis),
    runs: u32,
) -> Option<Permit> {
    let offer = node.offer(now, shared)?;
    let gives_up_at = offer.until.min(now + longest);
    let used = Permits { outstanding: runs + 1, calls: 1 };
    if gives_up_at <= now || !used.within(offer.permits) {
        return None;
    }
    let permit = Permit { source: offer.source, gives_up_at };
    node.began(now, call, permit);
    Some(permit)
}

/// Walks until one goes wrong; how many calls the origin saw by leases, by those of aggregators, and by turns.
fn walks(mutant: Option<Mutant>, seeds: u64) -> Result<[u64; 3], String> {
    let mut all = [0, 0, 0];
    for seed in 0..seeds {
        let mut walk = Walk::new(seed, mutant);
        walk.run().map_err(|what| format!("seed {seed}: {what}"))?;
        let [by_lease, by_turn] = &walk.seen;
        let calls = [by_lease.all, by_lease.by_aggregator, by_turn.all];
        all.iter_mut().zip(calls).for_each(|(all, calls)| *all += calls);
    }
    Ok(all)
}

#[test]
fn the_sum_holds_at_every_moment_in_2000_walks() {
    let begin = std::time::Instant::now();
    let calls = walks(None, 2_000);
    println!("{calls:?} in {:?}", begin.elapsed());
    let [by_lease, by_aggregator, by_turn] = calls.expect("the sum is broken");
    assert!(
        by_lease > 100_000 && by_aggregator > 20_000 && by_turn > 10_000,
        "hardly anyone called: the walks show nothing"
    );
}

/// `cargo test -p mothpier-allowance -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn the_sum_holds_in_many_more_walks() {
    let calls = walks(None, 40_000);
    println!("{calls:?}");
    calls.expect("the sum is broken");
}

/// A guard that is left out is missed.
fn caught(mutant: Mutant) {
    let begin = std::time::Instant::now();
    let what = walks(Some(mutant), 2_000);
    println!("{mutant:?}: {what:?}, {:?}", begin.elapsed());
    what.expect_err("nothing is broken without it");
}

#[test]
fn each_guard_of_grantors_is_missed_where_it_is_left_out() {
    caught(Mutant::GrantsOver);
    caught(Mutant::ShrinksAtOnce);
    caught(Mutant::ForgetsFormerLife);
    caught(Mutant::ReturnsCallsAtOnce);
    caught(Mutant::GoesByOldMessage);
    caught(Mutant::OutlivesOwnLease);
}

#[test]
fn each_guard_of_the_root_is_missed_where_it_is_left_out() {
    caught(Mutant::NoQuiet);
    caught(Mutant::KeepsTableOfFormerTenure);
    caught(Mutant::GrantsAfterTenure);
}

#[test]
fn each_guard_of_holders_is_missed_where_it_is_left_out() {
    caught(Mutant::LeaseFromReceipt);
    caught(Mutant::TakesOldAnswer);
    caught(Mutant::TakesFormerLife);
    caught(Mutant::NoDrift);
    caught(Mutant::HidesUse);
    caught(Mutant::NeverEnds);
}

#[test]
fn each_guard_of_calls_and_turns_is_missed_where_it_is_left_out() {
    caught(Mutant::BeginsPastEnd);
    caught(Mutant::FixedWindow);
    caught(Mutant::TurnWithoutGuard);
    caught(Mutant::TurnAtStart);
}

/// No walk can show this one: a new root waits until no lease of a lower fence is left. It stands for the case that the agreement itself
/// is broken.
#[test]
fn a_holder_goes_back_to_no_lower_fence() {
    let fences = |mutant| {
        let mut holder = Holder::start(1, 1, TIMING, 1, 0).with_mutant(mutant);
        let wanted = Permits { outstanding: 1, calls: 1 };
        let usage = Usage { wanted, in_use: Permits::NONE };
        for (now, round) in [(1_000, 2), (2_500, 1)] {
            let Some((_, Message::Ask { from, .. })) = holder.tick(now, usage) else {
                panic!("it asks for what it wants")
            };
            let fence = Fence { round, ..Fence::default() };
            let grant = Message::Grant { to: from, fence, permits: wanted, length: TIMING.length };
            holder.handle(now, &grant);
            // Meant for somebody else: never taken.
            let to = Asker { holder: 2, ..from };
            holder.handle(now, &Message::Grant { to, fence, permits: wanted, length: TIMING.length });
        }
        holder.lease(2_600).map(|lease| lease.fence.round)
    };
    assert_eq!(fences(None), Some(2));
    assert_eq!(fences(Some(Mutant::GoesBack)), Some(1));
}
