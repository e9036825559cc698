//! Many members over minutes of virtual time, with loss, delay, duplication, partitions, kills, stops and clock drift:
//! safety is checked at every step, and whenever a majority of voters can communicate for a while all members that
//! reach it act on one plan.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use mothpier_accord::{Config, Effect, Member, MemberId, Message, Millis, PlanNumber, Timing};
use oorandom::Rand64;

/// Arrival time, sequence number, sender, receiver and message.
type InFlight = (Millis, u64, MemberId, MemberId, Message);

struct Net {
    members: Vec<Member>,
    /// Local clocks: rate in thousandths, and offset.
    rates: Vec<(u64, Millis)>,
    incarnations: Vec<u32>,
    stopped: Vec<Option<Millis>>,
    /// The partition of each member; members of different partitions can't communicate.
    partition: Vec<u8>,
    queue: BinaryHeap<Reverse<InFlight>>,
    last_sequence: u64,
    rng: Rand64,
    now: Millis,
    loss: f64,
    plans: BTreeMap<PlanNumber, Vec<u8>>,
    plans_set: u8,
    messages: u64,
}

const VOTERS: u16 = 5;

impl Net {
    fn new(members: u16, seed: u64) -> Net {
        let mut rng = Rand64::new(seed.into());
        // Clocks differ by up to two in a hundred: grants are kept a tenth longer than leases last.
        let rates = (0..members)
            .map(|_| (980 + rng.rand_range(0..41), rng.rand_range(0..1_000_000)))
            .collect::<Vec<_>>();
        let mut net = Net {
            members: Vec::new(),
            incarnations: vec![0; usize::from(members)],
            stopped: vec![None; usize::from(members)],
            partition: vec![0; usize::from(members)],
            queue: BinaryHeap::new(),
            last_sequence: 0,
            now: 0,
            loss: 0.05,
            plans: BTreeMap::new(),
            plans_set: 0,
            messages: 0,
            rates,
            rng,
        };
        net.members = (0..members).map(|me| net.start(me)).collect();
        net
    }

    fn clock(&self, of: usize) -> Millis {
        let (rate, offset) = self.rates[of];
        offset + self.now * rate / 1000
    }

    fn start(&mut self, me: u16) -> Member {
        let i = usize::from(me);
        self.incarnations[i] = self.rng.rand_u64() as u32 | 1;
        let config = Config { me, voters: (0..VOTERS).collect(), timing: Timing::default() };
        Member::start(config, self.incarnations[i], self.clock(i))
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    fn step(&mut self) {
        self.now += 10;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, _, from, to, message))) = self.queue.pop() else { break };
            let i = usize::from(to);
            if self.stopped[i].is_some() {
                // It waits in the socket buffer until the process continues.
                self.last_sequence += 1;
                self.queue.push(Reverse((self.now + 50, self.last_sequence, from, to, message)));
                continue;
            }
            let before = self.members[i].highest_number();
            let mut out = Vec::new();
            let now = self.clock(i);
            self.members[i].handle(now, from, message, &mut out);
            assert!(self.members[i].highest_number() >= before);
            self.apply_effects(i, out);
        }
        for i in 0..self.members.len() {
            let now = self.clock(i);
            if self.stopped[i].is_none() && now >= self.members[i].next_due() {
                let mut out = Vec::new();
                self.members[i].tick(now, &mut out);
                self.apply_effects(i, out);
            }
        }
        let leading: Vec<usize> = (0..self.members.len())
            .filter(|i| self.members[*i].lease_ends().is_some_and(|until| self.clock(*i) < until))
            .collect();
        assert!(leading.len() <= 1, "{leading:?} at {}", self.now);
    }

    fn apply_effects(&mut self, i: usize, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, message) => {
                    self.messages += 1;
                    let j = usize::from(to);
                    if self.partition[i] != self.partition[j] || self.rng.rand_float() < self.loss {
                        continue;
                    }
                    let copies = 1 + u64::from(self.draw(20) == 0);
                    for _ in 0..copies {
                        // One in fifty is very late.
                        let late = if self.draw(50) == 0 { self.draw(4_000) } else { 0 };
                        let at = self.now + 5 + self.draw(40) + late;
                        self.last_sequence += 1;
                        self.queue.push(Reverse((at, self.last_sequence, i as u16, to, message.clone())));
                    }
                }
                Effect::ApplyPlan(number, plan) => {
                    let known = self.plans.entry(number).or_insert_with(|| plan.clone());
                    assert_eq!(*known, plan, "{number:?}");
                }
                _ => {}
            }
        }
    }

    /// Whoever leads sets a new plan.
    fn set_new_plan(&mut self) {
        for i in 0..self.members.len() {
            if self.stopped[i].is_none() && self.members[i].leader_ballot().is_some() {
                self.plans_set = self.plans_set.wrapping_add(1);
                let (plan, now, mut out) = (vec![self.plans_set, i as u8], self.clock(i), Vec::new());
                self.members[i].set_plan(now, plan, &mut out);
                self.apply_effects(i, out);
            }
        }
    }

    fn run(&mut self, millis: Millis) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// The state of all members, for the message of a failed assertion.
    fn describe(&self) -> String {
        let one = |i: usize| {
            let m = &self.members[i];
            let (number, lease) = (m.applied_plan().map(|(n, _)| n), m.lease_ends());
            let (clock, partition) = (self.clock(i), self.partition[i]);
            format!(
                "{i} in {partition}, clock {clock}: acts on {number:?}, highest {:?}, lease {lease:?}",
                m.highest_number()
            )
        };
        (0..self.members.len()).map(one).collect::<Vec<_>>().join("\n")
    }

    /// The number of the plan that all of these members act on, if it is the same.
    fn agreed(&self, among: impl Fn(usize) -> bool) -> Option<PlanNumber> {
        let mut numbers = (0..self.members.len())
            .filter(|i| among(*i))
            .map(|i| self.members[i].applied_plan().map(|(n, _)| n));
        let first = numbers.next()??;
        numbers.all(|n| n == Some(first)).then_some(first)
    }
}

#[test]
fn one_member_leads_through_faults_and_a_stable_majority_agrees_on_a_plan() {
    let (mut agreed, mut slowest) = (0, 0);
    for seed in 0..200 {
        let mut net = Net::new(12, seed);
        for round in 0..12 {
            // Faults: some members are killed, some stopped, some cut off.
            net.loss = net.draw(50) as f64 / 100.0;
            for i in 0..net.members.len() {
                match net.draw(8) {
                    0 => net.members[i] = net.start(i as u16),
                    1 => net.stopped[i] = Some(net.now),
                    2 => net.partition[i] = 1 + net.draw(2) as u8,
                    _ => {}
                }
            }
            for _ in 0..8 {
                let duration = 200 + net.draw(900);
                net.run(duration);
                net.set_new_plan();
            }
            // Moderate loss, with a minority of voters cut off.
            net.loss = 0.1;
            net.partition.fill(0);
            net.stopped.fill(None);
            let cut_off = net.draw(u64::from(VOTERS)) as usize;
            net.partition[cut_off] = 9;
            net.partition[(cut_off + 2) % usize::from(VOTERS)] = 9;
            let groups = net.partition.clone();
            let begin = net.now;
            net.set_new_plan();
            while net.agreed(|i| groups[i] == 0).is_none() {
                net.step();
                assert!(
                    net.now < begin + 30_000,
                    "seed {seed}, round {round}: no plan after 30 s:\n{}",
                    net.describe()
                );
            }
            slowest = slowest.max(net.now - begin);
            agreed += 1;
        }
    }
    println!("agreed {agreed} times, the slowest after {slowest} ms");
}

#[test]
fn a_cut_off_member_drops_its_plan_and_restarted_voters_begin_above_all_applied_plans() {
    let mut net = Net::new(9, 77);
    net.run(15_000);
    let first = net.agreed(|_| true).expect("a plan");
    net.partition[8] = 3;
    net.run(Timing::default().plan_validity + 2_000);
    assert_eq!(net.members[8].applied_plan(), None, "it is cut off");
    assert!(net.agreed(|i| i != 8).is_some());
    net.partition[8] = 0;
    net.run(5_000);
    let second = net.agreed(|_| true).expect("all agree again");
    assert!(second >= first);
    // Every voter loses its state; the others keep theirs.
    for voter in 0..VOTERS {
        net.members[usize::from(voter)] = net.start(voter);
    }
    net.run(20_000);
    let third = net.agreed(|_| true).expect("a plan again");
    assert!(third > second, "{third:?} after {second:?}");
}

#[test]
fn messages_per_member_do_not_grow_with_the_number_of_members() {
    let per_member = |members: u16| {
        let mut net = Net::new(members, 5);
        net.run(10_000);
        let before = net.messages;
        net.run(20_000);
        let followers = f64::from(members - 1);
        // Replies are counted as well: the leader alone answers all queries.
        (net.messages - before) as f64 / followers / 20.0
    };
    let (few, many) = (per_member(9), per_member(100));
    println!("messages a follower and second, answers included: {few:.2} of 9, {many:.2} of 100");
    assert!(many <= few * 1.1 && many < 5.0);
}
