//! A fleet of 6,600 nodes on 66 sites, without faults and with the loss of the root: the sum, what it costs, and how soon leases are there.

use std::collections::VecDeque;

use mothpier_allowance::{
    Aggregator, Budget, Fence, Message, Millis, Node, Permits, Root, Rotation, Source, Tenure, Timing,
};

const SITES: usize = 66;
const NODES_OF_SITE: usize = 100;
/// The first aggregator of a site, and one in its stead.
const AGGREGATORS_OF_SITE: usize = 2;
/// One way of a message, in milliseconds.
const WAY: Millis = 50;
/// Between two looks at a machine.
const STEP: Millis = 50;
const LONGEST_CALL: Millis = 2_000;
const TIMING: Timing =
    Timing { length: 10_000, window: 1_000, drift: 5, reply: 1_000, retry: 1_000, retry_most: 10_000 };

#[derive(Clone, Copy)]
enum At {
    Root,
    Aggregator(usize),
    Node(usize),
}

#[derive(Default, Debug)]
struct Figures {
    most_outstanding: usize,
    most_in_window: usize,
    calls: usize,
    to_root: usize,
    to_busiest_aggregator: usize,
    of_nodes: usize,
    bytes: usize,
    first_call: Millis,
    nodes_that_called: usize,
    /// The longest span without a call by a lease, after the first.
    longest_pause: Millis,
}

/// Another root takes over, some time after the one before was lost.
const ELECTION: Millis = 3_000;

/// Of a hundred nodes so many want two calls at a time, for so long; perhaps the root is lost at some time.
fn play(whole: Permits, wanting: usize, lasts: Millis, lost_at: Option<Millis>) -> Figures {
    let budget = Budget::divide(whole, Permits::NONE, 250);
    let nodes_in_all = SITES * NODES_OF_SITE;
    let rotation = Rotation::new(nodes_in_all as u32, budget.rotating, TIMING.window, LONGEST_CALL, 500);
    let mut root = Root::new(TIMING, budget.leased);
    let mut aggregators: Vec<_> = (0..SITES * AGGREGATORS_OF_SITE)
        .map(|i| Aggregator::start(100_000 + i as u32, 1, TIMING, 1, 0))
        .collect();
    let mut nodes: Vec<_> = (0..nodes_in_all)
        .map(|i| Node::start(i as u32, 1 + i as u64, TIMING, (AGGREGATORS_OF_SITE, rotation), (0, 0)))
        .collect();
    let mut messages: VecDeque<(Millis, At, At, Message)> = VecDeque::new();
    let mut calls: Vec<(Millis, usize, u64)> = Vec::new();
    let mut begun: VecDeque<Millis> = VecDeque::new();
    let mut called = vec![false; nodes_in_all];
    let mut to_aggregator = vec![0; aggregators.len()];
    let (mut figures, mut next_call, mut last_by_lease) = (Figures::default(), 0, None);
    let wanted = Permits { outstanding: 2, calls: 2 };
    for now in (0..lasts).step_by(STEP as usize) {
        if lost_at == Some(now) {
            root = Root::new(TIMING, budget.leased);
        }
        let round = 1 + u32::from(lost_at.is_some_and(|lost| now >= lost));
        let leads = lost_at.is_none_or(|lost| now < lost || now >= lost + ELECTION);
        let tenure = Tenure { fence: Fence { round, ..Fence::default() }, until: now + 500 };
        root.tenure(now, leads.then_some(tenure));
        calls.retain(|(ends, node, call)| {
            if now >= *ends {
                nodes[*node].end(*call);
            }
            now < *ends
        });
        while messages.front().is_some_and(|(comes, ..)| *comes <= now) {
            let Some((_, from, to, message)) = messages.pop_front() else { break };
            figures.bytes += message.encode().map_or(0, |bytes| bytes.len());
            let answer = match to {
                At::Root => {
                    figures.to_root += 1;
                    root.handle(now, &message)
                }
                At::Aggregator(i) => {
                    to_aggregator[i] += 1;
                    aggregators[i].handle(now, &message)
                }
                At::Node(i) => {
                    nodes[i].handle(now, &message);
                    None
                }
            };
            messages.extend(answer.map(|answer| (now + WAY, to, from, answer)));
        }
        for (i, aggregator) in aggregators.iter_mut().enumerate() {
            let asked = aggregator.tick(now);
            messages.extend(asked.map(|(_, asked)| (now + WAY, At::Aggregator(i), At::Root, asked)));
        }
        for (i, node) in nodes.iter_mut().enumerate() {
            let wants = i % 100 < wanting;
            let asked = node.tick(now, if wants { wanted } else { Permits::NONE });
            figures.of_nodes += usize::from(asked.is_some());
            let site = i / NODES_OF_SITE;
            let above = |number| At::Aggregator(site * AGGREGATORS_OF_SITE + number);
            messages.extend(asked.map(|(number, asked)| (now + WAY, At::Node(i), above(number), asked)));
            next_call += 1;
            if !wants {
                continue;
            }
            if let Some(permit) = node.begin((now, now), next_call, LONGEST_CALL) {
                calls.push((now + 300, i, next_call));
                begun.push_back(now);
                figures.calls += 1;
                called[i] = true;
                if figures.first_call == 0 {
                    figures.first_call = now;
                }
                if permit.source == Source::Lease {
                    let pause = last_by_lease.map_or(0, |last| now - last);
                    figures.longest_pause = figures.longest_pause.max(pause);
                    last_by_lease = Some(now);
                }
            }
        }
        while begun.front().is_some_and(|at| at + TIMING.window <= now) {
            begun.pop_front();
        }
        figures.most_outstanding = figures.most_outstanding.max(calls.len());
        figures.most_in_window = figures.most_in_window.max(begun.len());
    }
    figures.nodes_that_called = called.into_iter().filter(|called| *called).count();
    figures.to_busiest_aggregator = to_aggregator.into_iter().max().unwrap_or(0);
    figures
}

const LASTS: Millis = 120_000;

/// Plays it and looks at the sum.
fn holds(whole: Permits, wanting: usize, lost_at: Option<Millis>) -> Figures {
    let begin = std::time::Instant::now();
    let figures = play(whole, wanting, LASTS, lost_at);
    println!("{whole:?}, {wanting} of 100 want, root lost {lost_at:?}: {figures:?}, {:?}", begin.elapsed());
    assert!(figures.most_outstanding <= whole.outstanding as usize);
    assert!(figures.most_in_window <= whole.calls as usize);
    figures
}

#[test]
fn of_80_outstanding_calls_a_fleet_of_6600_nodes_never_has_more() {
    let figures = holds(Permits { outstanding: 80, calls: 300 }, 100, None);
    assert!(figures.most_in_window >= 100 && figures.nodes_that_called >= 300, "hardly used");
}

/// The 330 nodes that want some begin two calls a second each: 660 in a window.
#[test]
fn of_1320_outstanding_calls_as_well_and_those_that_want_some_have_them() {
    let figures = holds(Permits { outstanding: 1_320, calls: 4_000 }, 5, None);
    assert!(figures.most_in_window >= 600 && figures.nodes_that_called == 330, "hardly used");
}

/// While the new root waits there are the leases of the old one, which are renewed early, and then turns alone.
#[test]
fn when_the_root_is_lost_the_sum_holds_and_leases_are_back_within_a_named_time() {
    let figures = holds(Permits { outstanding: 1_320, calls: 4_000 }, 5, Some(60_000));
    let quiet = TIMING.surely_passed(TIMING.length + TIMING.window);
    // Less what is left of a lease when the root is lost, more what it takes to come back and ask.
    let most = ELECTION + quiet - TIMING.usable(TIMING.length) / 2 + LONGEST_CALL + 2 * TIMING.retry;
    assert!(
        figures.longest_pause > 0 && figures.longest_pause <= most,
        "{} of {most}",
        figures.longest_pause
    );
    assert!(figures.nodes_that_called == 330);
}
