//! Leases together with the decision modules that act on them: several modules with requests for more than
//! the origin allows, whose nodes ask a root over a network that loses and delays messages. The origin counts
//! the calls.

use std::collections::{BTreeMap, VecDeque};

use brassrouter::{
    Action, CacheResult, Class, Condition, Event, ListKind, LoadReport, OriginAllowance, Outcome, Policy,
    Request, RequestId, ServerEntry, Settings, Status,
};
use mothpier_allowance::{
    Fence, Message, Millis, Node, Offer, Permit, Permits, Root, Rotation, Source, Term, Timing,
};

const TIMING: Timing = Timing {
    lease_duration: 3_000,
    window: 500,
    drift_per_mille: 5,
    reply_timeout: 200,
    min_retry: 100,
    max_retry: 400,
};
const LEASED: Permits = Permits { outstanding: 6, calls: 40 };
const ROTATING: Permits = Permits { outstanding: 2, calls: 8 };
const NODES: usize = 5;
const ORIGIN_KIND: u16 = 1;
const ORIGIN: u32 = 9;
/// Latency target of the requests and the longest time that their clients wait, in milliseconds.
const CLIENT_TIMEOUT: Millis = 400;

struct NodeProcess {
    policy: Policy,
    node: Node,
    timers: Vec<Millis>,
    offer: Option<Offer>,
    /// Calls at the origin, with what allowed them and their deadlines.
    calls: BTreeMap<(RequestId, u16), Permit>,
    attempts: BTreeMap<RequestId, u16>,
}

#[derive(Default)]
struct Origin {
    /// Running calls, by node, request and attempt, with their latest end.
    running: BTreeMap<(usize, RequestId, u16), (Source, Millis)>,
    started: [VecDeque<Millis>; 2],
    totals: [usize; 2],
}

impl Origin {
    fn count(&mut self, now: Millis, source: Source) {
        let (limit, index) = match source {
            Source::Lease => (LEASED, 0),
            Source::Turn => (ROTATING, 1),
        };
        self.totals[index] += 1;
        let started = &mut self.started[index];
        started.push_back(now);
        while started.front().is_some_and(|first| first + TIMING.window <= now) {
            started.pop_front();
        }
        let running =
            self.running.values().filter(|(call_source, until)| *call_source == source && now < *until);
        let used = Permits { outstanding: running.count() as u32, calls: started.len() as u32 };
        assert!(used.is_within(limit), "{source:?}: {used:?} of {limit:?} at {now} ms");
    }
}

fn start_process(node_index: usize, incarnation: u64, now: Millis) -> NodeProcess {
    let class = Class {
        target_latency: CLIENT_TIMEOUT * 1_000,
        deadline: CLIENT_TIMEOUT * 1_000,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        origin_machine_type: Some(ORIGIN_KIND),
        node_count: NODES as u32,
        node_index: node_index as u32,
        ..Settings::default()
    };
    let rotation = Rotation::new(NODES as u32, ROTATING, TIMING.window, CLIENT_TIMEOUT, 20);
    let mut process = NodeProcess {
        policy: Policy::new(settings, incarnation),
        node: Node::start(node_index as u32, incarnation, TIMING, (1, rotation), (now, now)),
        timers: Vec::new(),
        offer: None,
        calls: BTreeMap::new(),
        attempts: BTreeMap::new(),
    };
    // Must come first: without an allowance the module would act on its settings.
    let no_calls = Event::OriginAllowance(Some(OriginAllowance::default()));
    process.policy.handle(now * 1_000, no_calls, &mut Vec::new());
    let origin = ServerEntry { id: ORIGIN, machine_type: ORIGIN_KIND, ..ServerEntry::default() };
    let cache = ServerEntry { id: 1, condition: Condition::Ready, ..ServerEntry::default() };
    let list = Event::ServerList { kind: ListKind::Cached, servers: vec![origin, cache] };
    let mut actions = Vec::new();
    process.policy.handle(now * 1_000, list, &mut actions);
    process.timers.push(now);
    process
}

impl NodeProcess {
    /// Passes an event to the module; what it sends to the origin is recorded in the node's state machine and
    /// counted.
    fn event(&mut self, node_index: usize, now: Millis, event: Event, origin: &mut Origin) {
        let mut actions = Vec::new();
        self.policy.handle(now * 1_000, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, .. } => self.timers.push(now + after.div_ceil(1_000).max(1)),
                Action::Send { request, server: ORIGIN, timeout } => {
                    let attempt = self.attempts.entry(request).or_default();
                    let source = self.offer.expect("nothing is sent without an offer").source;
                    let deadline = now + (timeout / 1_000).min(CLIENT_TIMEOUT);
                    let permit = Permit { source, deadline };
                    let call = request << 8 | u64::from(*attempt);
                    self.node.record_call(now, call, permit);
                    self.calls.insert((request, *attempt), permit);
                    origin.running.insert((node_index, request, *attempt), (source, deadline));
                    *attempt += 1;
                    origin.count(now, source);
                }
                _ => {}
            }
        }
    }

    /// Passes a changed offer to the module.
    fn update_allowance(&mut self, node_index: usize, now: Millis, origin: &mut Origin) {
        let offer = self.node.offer(now, now);
        let current = self.policy.origin_allowance().unwrap_or_default();
        let wanted = offer.map_or(OriginAllowance::default(), |offer| {
            let permits = offer.permits;
            OriginAllowance::new(permits.outstanding, permits.calls, offer.until * 1_000)
        });
        self.offer = offer;
        if (current.outstanding, current.calls_left, current.expires_at)
            != (wanted.outstanding, wanted.calls_left, wanted.expires_at)
        {
            self.event(node_index, now, Event::OriginAllowance(Some(wanted)), origin);
        }
    }

    fn end(
        &mut self,
        node_index: usize,
        now: Millis,
        (request, attempt): (RequestId, u16),
        origin: &mut Origin,
    ) {
        let Some(permit) = self.calls.remove(&(request, attempt)) else { return };
        origin.running.remove(&(node_index, request, attempt));
        self.node.end_call(request << 8 | u64::from(attempt));
        let late = now >= permit.deadline;
        let status = if late { Status::TimedOut } else { Status::Served };
        let (request_finished, cache_result, load) = (!late, CacheResult::None, LoadReport::default());
        let outcome = Outcome {
            request,
            attempt,
            server: ORIGIN,
            status,
            request_finished,
            cache_result,
            duration: 1_000,
            load,
        };
        self.event(node_index, now, Event::Outcome(outcome), origin);
    }
}

/// Runs for 30 s, restarting each process once in `restarts` steps on average. Returns the number of calls by
/// leases and by turns.
fn simulate(seed: u128, restarts: u64, root_leads: bool) -> [usize; 2] {
    let mut random = oorandom::Rand64::new(seed);
    let mut chance = |times: u64| random.rand_range(0..times) == 0;
    let mut root = Root::new(TIMING, LEASED);
    let mut origin = Origin::default();
    let mut processes: Vec<NodeProcess> =
        (0..NODES).map(|node_index| start_process(node_index, 1 + node_index as u64, 0)).collect();
    let mut messages: Vec<(Millis, usize, Message, bool)> = Vec::new();
    let (mut incarnation, mut request) = (100, 0);
    for now in (0..30_000).step_by(5) {
        let fence = Fence { round: 1, ..Fence::default() };
        root.set_term(now, root_leads.then_some(Term { fence, until: now + 100 }));
        let (delivered, pending) = messages.into_iter().partition(|(arrives_at, ..)| *arrives_at <= now);
        messages = pending;
        let delivered: Vec<_> = delivered;
        for (_, node_index, message, to_root) in delivered {
            if !to_root {
                processes[node_index].node.handle(now, &message);
                processes[node_index].update_allowance(node_index, now, &mut origin);
            } else if let Some(reply) = root.handle(now, &message).filter(|_| !chance(20)) {
                messages.push((now + if chance(10) { 300 } else { 10 }, node_index, reply, false));
            }
        }
        // A call of a process that is gone ends at the origin by itself.
        origin.running.retain(|_, (_, until)| now < *until);
        for (node_index, process) in processes.iter_mut().enumerate() {
            if chance(restarts) {
                incarnation += 1;
                *process = start_process(node_index, incarnation, now);
            }
            let open_calls: Vec<_> =
                process.calls.iter().map(|(call, permit)| (*call, permit.deadline)).collect();
            for (call, deadline) in open_calls {
                if now >= deadline || chance(8) {
                    process.end(node_index, now, call, &mut origin);
                }
            }
            process.update_allowance(node_index, now, &mut origin);
            let timers = process.timers.len();
            process.timers.retain(|due_at| *due_at > now);
            if process.timers.len() < timers {
                process.event(node_index, now, Event::Timer(0), &mut origin);
            }
            if chance(3) {
                request += 1;
                let write = Request {
                    id: request,
                    is_write: true,
                    time_left: CLIENT_TIMEOUT * 1_000,
                    ..Request::default()
                };
                process.event(node_index, now, Event::Request(write), &mut origin);
            }
            let wanted = process.policy.origin_calls_wanted();
            let request = process.node.tick(now, Permits { outstanding: wanted, calls: 4 * wanted });
            let lost = chance(20);
            messages
                .extend(request.filter(|_| !lost).map(|(_, request)| (now + 10, node_index, request, true)));
            // A release makes the lease smaller immediately.
            process.update_allowance(node_index, now, &mut origin);
        }
    }
    origin.totals
}

#[test]
fn modules_that_act_on_leases_stay_within_the_sum_at_the_origin() {
    let mut totals = [0, 0];
    for seed in 0..20 {
        let calls = simulate(seed, 4_000, true);
        totals.iter_mut().zip(calls).for_each(|(total, calls)| *total += calls);
    }
    println!("{totals:?} calls by leases and by turns in 20 runs of 30 s");
    assert!(totals[0] > 10_000 && totals[1] > 200, "{totals:?}");
}

#[test]
fn without_a_root_modules_call_only_in_their_turns_within_the_sum() {
    let mut totals = [0, 0];
    for seed in 0..5 {
        let calls = simulate(seed, 4_000, false);
        totals.iter_mut().zip(calls).for_each(|(total, calls)| *total += calls);
    }
    println!("{totals:?} calls by leases and by turns in 5 runs of 30 s");
    assert!(totals[0] == 0 && totals[1] > 250, "{totals:?}");
}
