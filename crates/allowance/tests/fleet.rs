//! A fleet of 6,600 nodes at 66 sites, without faults and with the loss of the root: the sum of calls, the
//! cost, and the time until leases are granted.

use std::collections::VecDeque;

use mothpier_allowance::{
    Aggregator, Budget, Fence, Message, Millis, Node, Permits, Root, Rotation, Source, Term, Timing,
};

const SITES: usize = 66;
const NODES_PER_SITE: usize = 100;
/// The first aggregator of a site, and its backup.
const AGGREGATORS_PER_SITE: usize = 2;
/// One-way delay of a message, in milliseconds.
const ONE_WAY_DELAY: Millis = 50;
/// Interval between two steps of a state machine.
const STEP: Millis = 50;
const LONGEST_CALL: Millis = 2_000;
const TIMING: Timing = Timing {
    lease_duration: 10_000,
    window: 1_000,
    drift_per_mille: 5,
    reply_timeout: 1_000,
    min_retry: 1_000,
    max_retry: 10_000,
};

#[derive(Clone, Copy)]
enum Address {
    Root,
    Aggregator(usize),
    Node(usize),
}

#[derive(Default, Debug)]
struct Metrics {
    most_outstanding: usize,
    most_in_window: usize,
    calls: usize,
    to_root: usize,
    to_busiest_aggregator: usize,
    from_nodes: usize,
    bytes: usize,
    first_call: Millis,
    nodes_that_called: usize,
    /// Longest time without a call by a lease, after the first.
    longest_pause: Millis,
}

/// Time until another root takes over after the loss of one.
const ELECTION: Millis = 3_000;

/// Of every hundred nodes, this many want two calls at a time, throughout the run; the root may be lost at
/// some time.
fn simulate(
    allowance: Permits,
    demanding_percent: usize,
    run_duration: Millis,
    root_lost_at: Option<Millis>,
) -> Metrics {
    let budget = Budget::split(allowance, Permits::NONE, 250);
    let node_count = SITES * NODES_PER_SITE;
    let rotation = Rotation::new(node_count as u32, budget.rotating, TIMING.window, LONGEST_CALL, 500);
    let mut root = Root::new(TIMING, budget.leased);
    let mut aggregators: Vec<_> = (0..SITES * AGGREGATORS_PER_SITE)
        .map(|i| Aggregator::start(100_000 + i as u32, 1, TIMING, 1, 0))
        .collect();
    let mut nodes: Vec<_> = (0..node_count)
        .map(|i| Node::start(i as u32, 1 + i as u64, TIMING, (AGGREGATORS_PER_SITE, rotation), (0, 0)))
        .collect();
    let mut messages: VecDeque<(Millis, Address, Address, Message)> = VecDeque::new();
    let mut calls: Vec<(Millis, usize, u64)> = Vec::new();
    let mut started: VecDeque<Millis> = VecDeque::new();
    let mut has_called = vec![false; node_count];
    let mut to_aggregator = vec![0; aggregators.len()];
    let (mut metrics, mut next_call, mut last_by_lease) = (Metrics::default(), 0, None);
    let wanted = Permits { outstanding: 2, calls: 2 };
    for now in (0..run_duration).step_by(STEP as usize) {
        if root_lost_at == Some(now) {
            root = Root::new(TIMING, budget.leased);
        }
        let round = 1 + u32::from(root_lost_at.is_some_and(|lost| now >= lost));
        let leads = root_lost_at.is_none_or(|lost| now < lost || now >= lost + ELECTION);
        let term = Term { fence: Fence { round, ..Fence::default() }, until: now + 500 };
        root.set_term(now, leads.then_some(term));
        calls.retain(|(ends_at, node, call)| {
            if now >= *ends_at {
                nodes[*node].end_call(*call);
            }
            now < *ends_at
        });
        while messages.front().is_some_and(|(arrives_at, ..)| *arrives_at <= now) {
            let Some((_, from, to, message)) = messages.pop_front() else { break };
            metrics.bytes += message.encode().map_or(0, |bytes| bytes.len());
            let reply = match to {
                Address::Root => {
                    metrics.to_root += 1;
                    root.handle(now, &message)
                }
                Address::Aggregator(i) => {
                    to_aggregator[i] += 1;
                    aggregators[i].handle(now, &message)
                }
                Address::Node(i) => {
                    nodes[i].handle(now, &message);
                    None
                }
            };
            messages.extend(reply.map(|reply| (now + ONE_WAY_DELAY, to, from, reply)));
        }
        for (i, aggregator) in aggregators.iter_mut().enumerate() {
            let request = aggregator.tick(now);
            messages.extend(
                request.map(|(_, request)| {
                    (now + ONE_WAY_DELAY, Address::Aggregator(i), Address::Root, request)
                }),
            );
        }
        for (i, node) in nodes.iter_mut().enumerate() {
            let has_demand = i % 100 < demanding_percent;
            let request = node.tick(now, if has_demand { wanted } else { Permits::NONE });
            metrics.from_nodes += usize::from(request.is_some());
            let site = i / NODES_PER_SITE;
            let site_aggregator = |number| Address::Aggregator(site * AGGREGATORS_PER_SITE + number);
            messages.extend(request.map(|(number, request)| {
                (now + ONE_WAY_DELAY, Address::Node(i), site_aggregator(number), request)
            }));
            next_call += 1;
            if !has_demand {
                continue;
            }
            if let Some(permit) = node.begin_call((now, now), next_call, LONGEST_CALL) {
                calls.push((now + 300, i, next_call));
                started.push_back(now);
                metrics.calls += 1;
                has_called[i] = true;
                if metrics.first_call == 0 {
                    metrics.first_call = now;
                }
                if permit.source == Source::Lease {
                    let pause = last_by_lease.map_or(0, |last| now - last);
                    metrics.longest_pause = metrics.longest_pause.max(pause);
                    last_by_lease = Some(now);
                }
            }
        }
        while started.front().is_some_and(|at| at + TIMING.window <= now) {
            started.pop_front();
        }
        metrics.most_outstanding = metrics.most_outstanding.max(calls.len());
        metrics.most_in_window = metrics.most_in_window.max(started.len());
    }
    metrics.nodes_that_called = has_called.into_iter().filter(|called| *called).count();
    metrics.to_busiest_aggregator = to_aggregator.into_iter().max().unwrap_or(0);
    metrics
}

const RUN_DURATION: Millis = 120_000;

/// Runs the simulation and checks the sum.
fn assert_sum_holds(allowance: Permits, demanding_percent: usize, root_lost_at: Option<Millis>) -> Metrics {
    let started_at = std::time::Instant::now();
    let metrics = simulate(allowance, demanding_percent, RUN_DURATION, root_lost_at);
    println!(
        "{allowance:?}, demand at {demanding_percent} of 100 nodes, root lost {root_lost_at:?}: {metrics:?}, {:?}",
        started_at.elapsed()
    );
    assert!(metrics.most_outstanding <= allowance.outstanding as usize);
    assert!(metrics.most_in_window <= allowance.calls as usize);
    metrics
}

#[test]
fn a_fleet_of_6600_nodes_never_exceeds_80_outstanding_calls() {
    let metrics = assert_sum_holds(Permits { outstanding: 80, calls: 300 }, 100, None);
    assert!(metrics.most_in_window >= 100 && metrics.nodes_that_called >= 300, "too few calls");
}

/// The 330 nodes with demand begin two calls a second each: 660 in a window.
#[test]
fn with_1320_outstanding_calls_all_nodes_with_demand_get_some() {
    let metrics = assert_sum_holds(Permits { outstanding: 1_320, calls: 4_000 }, 5, None);
    assert!(metrics.most_in_window >= 600 && metrics.nodes_that_called == 330, "too few calls");
}

/// While the new root waits there are the leases of the old one, which are renewed early, and then only
/// turns.
#[test]
fn after_the_loss_of_the_root_the_sum_holds_and_leases_return_in_time() {
    let metrics = assert_sum_holds(Permits { outstanding: 1_320, calls: 4_000 }, 5, Some(60_000));
    let grace_period = TIMING.certainly_elapsed(TIMING.lease_duration + TIMING.window);
    // Minus what is left of a lease when the root is lost, plus the time for a retry and a request.
    let max_pause = ELECTION + grace_period - TIMING.usable_duration(TIMING.lease_duration) / 2
        + LONGEST_CALL
        + 2 * TIMING.min_retry;
    assert!(
        metrics.longest_pause > 0 && metrics.longest_pause <= max_pause,
        "{} of {max_pause}",
        metrics.longest_pause
    );
    assert!(metrics.nodes_that_called == 330);
}
