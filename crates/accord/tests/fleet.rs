//! Members and planner together at the size of a fleet: how soon nodes act on the loss of a zone, and what the
//! agreement costs each node as the fleet grows. Evidence comes from a model of attempts; members, planner and recent
//! attempts are the real code.
#![allow(missing_docs)]

use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use std::cmp::Reverse;

use mothpier_accord::{Config, Effect, Member, Message, Millis, Timing};
use mothpier_plan::{AttemptCounts, Evidence, Plan, Planner, RecentAttempts, Tuning};
use oorandom::Rand64;

const ZONES: usize = 3;
/// The interval at which a node counts its attempts, and the time after which an attempt counts as unanswered.
const COUNT_INTERVAL: Millis = 250;
const UNANSWERED_AFTER: Millis = 200;
/// The interval at which the leader updates the plan.
const PLAN_INTERVAL: Millis = 100;
/// From this share of unanswered attempts on (of 255) a node sends queries more often.
const URGENT_FROM: u8 = 80;
/// The zone that is lost, and the time of the loss.
const LOST_ZONE: usize = 2;
const LOST_AT: Millis = 10_000;

/// Arrival time, sequence number, sender, receiver and message.
type InFlight = (Millis, u64, u16, u16, Message);

struct Node {
    member: Member,
    planner: Option<Planner>,
    recent: RecentAttempts,
    counts: [AttemptCounts; ZONES],
    /// When unanswered attempts at the lost zone were sent.
    waiting: Vec<Millis>,
    plan: Plan,
    count_at: Millis,
    plan_at: Millis,
    /// When it acted on the loss.
    applied_at: Option<Millis>,
    /// Messages sent, their bytes, and time spent in the state machines.
    cost: (u64, u64, Duration),
}

/// Results of a run.
struct Results {
    half_applied: Millis,
    most_applied: Millis,
    /// Messages a second, bytes a second and the share of a core: of a follower, then of the leader.
    follower: (f64, f64, f64),
    leader: (f64, f64, f64),
    moves: usize,
}

fn run(members: usize, per_s: f64, unanswered: f64, lost: bool, seconds: u64, seed: u64) -> Results {
    let mut rng = Rand64::new(seed.into());
    let begin = |me: usize| {
        let voters = vec![0, 1, 2];
        let config = Config { me: me as u16, voters, timing: Timing::default() };
        Node {
            member: Member::start(config, me as u32 + 1, 0),
            planner: None,
            recent: RecentAttempts::new(ZONES),
            counts: Default::default(),
            waiting: Vec::new(),
            plan: Plan::default(),
            count_at: me as Millis * 37 % COUNT_INTERVAL,
            plan_at: 0,
            applied_at: None,
            cost: Default::default(),
        }
    };
    let mut nodes: Vec<Node> = (0..members).map(begin).collect();
    let mut net: BinaryHeap<Reverse<InFlight>> = BinaryHeap::new();
    let (mut last_sequence, mut moves) = (0u64, 0);
    for now in 0..seconds * 1000 {
        let mut due = Vec::new();
        while net.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            due.extend(net.pop().map(|Reverse((_, _, from, to, message))| (to, Some((from, message)))));
        }
        for (i, node) in nodes.iter_mut().enumerate() {
            if rng.rand_float() < per_s / 1000.0 {
                let zone = rng.rand_range(0..ZONES as u64) as usize;
                if rng.rand_float() < node.plan.open_share(zone) {
                    if lost && zone == LOST_ZONE && now >= LOST_AT {
                        node.waiting.push(now);
                    } else if rng.rand_float() < unanswered {
                        node.counts[zone].unanswered += 1;
                    } else {
                        node.counts[zone].answered += 1;
                    }
                }
            }
            if now >= node.count_at {
                node.count_at = now + COUNT_INTERVAL * 3 / 4 + rng.rand_range(0..COUNT_INTERVAL / 2);
                let before = node.waiting.len();
                node.waiting.retain(|at| at + UNANSWERED_AFTER > now);
                node.counts[LOST_ZONE].unanswered += (before - node.waiting.len()) as u32;
                let open: Vec<f64> = (0..ZONES).map(|z| node.plan.open_share(z)).collect();
                node.recent.record(&node.counts, &open);
                node.counts = Default::default();
                due.push((i as u16, None));
            } else if now >= node.member.next_due() || node.planner.is_some() && now >= node.plan_at {
                due.push((i as u16, None));
            }
        }
        for (to, what) in due {
            let node = &mut nodes[usize::from(to)];
            let mut out = Vec::new();
            let work = Instant::now();
            match what {
                Some((from, message)) => node.member.handle(now, from, message, &mut out),
                None => {
                    let recent = node.recent.evidence();
                    node.member.set_evidence(recent.encode());
                    let bad = recent.zones.iter().any(|(_, unanswered)| *unanswered >= URGENT_FROM);
                    let moving = node.plan.zones.iter().any(|z| z.state != mothpier_plan::ZoneState::Serving);
                    node.member.set_urgent(bad || moving);
                    node.member.tick(now, &mut out);
                    if now >= node.plan_at
                        && let Some(planner) = &mut node.planner
                    {
                        node.plan_at = now + PLAN_INTERVAL;
                        planner.add_evidence(now, to, recent);
                        let plan = planner.step(now);
                        node.member.set_plan(now, plan.encode(), &mut out);
                        if let Some((number, _)) = node.member.applied_plan() {
                            planner.plan_published(to, number.sequence);
                        }
                    }
                }
            }
            for effect in &out {
                match effect {
                    Effect::Evidence(from, bytes) => {
                        if let (Some(planner), Ok(recent)) = (&mut node.planner, Evidence::decode(bytes)) {
                            planner.add_evidence(now, *from, recent);
                        }
                    }
                    Effect::ApplyPlan(_, bytes) => {
                        let plan = Plan::decode(bytes).unwrap();
                        let leaves_lost_zone = plan.open_share(LOST_ZONE) < 0.5;
                        if leaves_lost_zone
                            && node.plan.open_share(LOST_ZONE) >= 0.5
                            && node.member.leader_ballot().is_some()
                        {
                            moves += 1;
                        }
                        if leaves_lost_zone && now >= LOST_AT {
                            node.applied_at.get_or_insert(now);
                        }
                        node.plan = plan;
                    }
                    Effect::BecameLeader(_) => {
                        let learns_until = node.member.recovery_ends().unwrap();
                        let times = (now, learns_until);
                        node.planner =
                            Some(Planner::for_new_leader(Tuning::default(), ZONES, &node.plan, times));
                    }
                    Effect::SteppedDown => node.planner = None,
                    Effect::DropPlan => node.plan = Plan::default(),
                    Effect::PlanApplied(from, sequence) => {
                        if let Some(planner) = &mut node.planner {
                            planner.plan_applied(*from, *sequence);
                        }
                    }
                    // No node is killed here: a new leader knows the plan.
                    Effect::RecoveredPlan(_) | Effect::Send(..) => {}
                }
            }
            let sends = out.into_iter().filter_map(|e| match e {
                Effect::Send(to, message) => Some((to, message)),
                _ => None,
            });
            let sends: Vec<_> =
                sends.map(|(to, message)| (to, message.encode().unwrap().len(), message)).collect();
            node.cost.2 += work.elapsed();
            for (other, bytes, message) in sends {
                node.cost.0 += 1;
                node.cost.1 += bytes as u64;
                // One message in a hundred is lost; the one-way delay is 20 ms.
                if rng.rand_float() >= 0.01 {
                    last_sequence += 1;
                    net.push(Reverse((now + 20 + rng.rand_range(0..3), last_sequence, to, other, message)));
                }
            }
        }
    }
    let mut applied_at: Vec<Millis> =
        nodes.iter().filter_map(|n| n.applied_at.map(|at| at - LOST_AT)).collect();
    applied_at.sort_unstable();
    let after = |part: f64| {
        applied_at.get((members as f64 * part).ceil() as usize - 1).copied().unwrap_or(Millis::MAX)
    };
    let rate = |n: &Node| {
        let (messages, bytes, time) = n.cost;
        let s = seconds as f64;
        (messages as f64 / s, bytes as f64 / s, time.as_secs_f64() / s)
    };
    let mut rates: Vec<_> = nodes.iter().map(rate).collect();
    rates.sort_by(|a, b| a.0.total_cmp(&b.0));
    Results {
        half_applied: after(0.5),
        most_applied: after(0.9),
        follower: rates[members / 2],
        leader: rates[members - 1],
        moves,
    }
}

/// Requests a second of a node in a large fleet, where each node sees few.
const FEW_REQUESTS_PER_S: f64 = 14.0;

#[test]
fn a_hundred_nodes_with_little_traffic_act_on_a_lost_zone_within_seconds() {
    for seed in [1, 2, 3] {
        let results = run(100, FEW_REQUESTS_PER_S, 0.02, true, 16, seed);
        println!(
            "seed {seed}: half after {} ms, nine tenths after {} ms",
            results.half_applied, results.most_applied
        );
        assert!(
            results.half_applied <= 2_000 && results.most_applied <= 3_000,
            "half {} ms, nine tenths {} ms",
            results.half_applied,
            results.most_applied
        );
    }
}

#[test]
fn tolerable_loss_moves_nothing_in_a_large_fleet() {
    // One attempt in five is unanswered, in every zone, for two minutes.
    let results = run(60, FEW_REQUESTS_PER_S, 0.2, false, 120, 4);
    assert_eq!(results.moves, 0);
}

#[test]
fn the_cost_of_a_follower_does_not_grow_with_the_fleet() {
    let (few, many) =
        (run(9, FEW_REQUESTS_PER_S, 0.02, false, 20, 5), run(100, FEW_REQUESTS_PER_S, 0.02, false, 20, 5));
    assert!(many.follower.0 <= few.follower.0 * 1.1, "{} {}", few.follower.0, many.follower.0);
    assert!(many.follower.1 <= few.follower.1 * 1.1, "{} {}", few.follower.1, many.follower.1);
}

/// Prints the measurements by size: `cargo test --release -p mothpier-accord --test fleet -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_costs_and_times_by_size() {
    for (members, per_s) in [
        (3, 33.0),
        (9, 33.0),
        (30, 33.0),
        (100, 33.0),
        (300, 33.0),
        (100, FEW_REQUESTS_PER_S),
        (300, FEW_REQUESTS_PER_S),
    ] {
        for seed in [1, 2, 3] {
            let calm = run(members, per_s, 0.02, false, 30, seed);
            let lost = run(members, per_s, 0.02, true, 16, seed);
            println!(
                "{members:3} nodes, {per_s:2} a second each, seed {seed}: half {} ms, nine tenths {} ms; per second without loss: follower {:.1} messages, \
                 {:.0} bytes, {:.4}% of a core; leader {:.0} messages, {:.0} bytes, {:.3}%",
                lost.half_applied,
                lost.most_applied,
                calm.follower.0,
                calm.follower.1,
                calm.follower.2 * 100.0,
                calm.leader.0,
                calm.leader.1,
                calm.leader.2 * 100.0
            );
        }
    }
    let hour = run(30, FEW_REQUESTS_PER_S, 0.2, false, 3_600, 9);
    println!("an hour in which one attempt in five is unanswered: {} moves", hour.moves);
}
