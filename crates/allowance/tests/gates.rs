//! Leases and the decision modules that act on them, together: several modules with requests for more than the origin allows, whose nodes
//! ask a root over a network that loses and delays. The origin counts.

use std::collections::{BTreeMap, VecDeque};

use brassrouter::{
    Action, CacheResult, Class, Condition, Event, ListKind, LoadReport, OriginAllowance, Outcome, Policy,
    Request, RequestId, ServerEntry, Settings, Status,
};
use mothpier_allowance::{
    Fence, Message, Millis, Node, Offer, Permit, Permits, Root, Rotation, Source, Tenure, Timing,
};

const TIMING: Timing =
    Timing { length: 3_000, window: 500, drift: 5, reply: 200, retry: 100, retry_most: 400 };
const LEASED: Permits = Permits { outstanding: 6, calls: 40 };
const ROTATING: Permits = Permits { outstanding: 2, calls: 8 };
const NODES: usize = 5;
const ORIGIN_KIND: u16 = 1;
const ORIGIN: u32 = 9;
/// The aim of the requests and the longest that their clients wait, in milliseconds.
const WAITS: Millis = 400;

struct Daemon {
    policy: Policy,
    node: Node,
    timers: Vec<Millis>,
    offer: Option<Offer>,
    /// Calls at the origin: by what, and when they are given up.
    calls: BTreeMap<(RequestId, u16), Permit>,
    attempts: BTreeMap<RequestId, u16>,
}

#[derive(Default)]
struct Origin {
    /// Calls that run, by node, request and attempt, and until when at the latest.
    running: BTreeMap<(usize, RequestId, u16), (Source, Millis)>,
    begun: [VecDeque<Millis>; 2],
    all: [usize; 2],
}

impl Origin {
    fn count(&mut self, now: Millis, source: Source) {
        let (limit, at) = match source {
            Source::Lease => (LEASED, 0),
            Source::Turn => (ROTATING, 1),
        };
        self.all[at] += 1;
        let begun = &mut self.begun[at];
        begun.push_back(now);
        while begun.front().is_some_and(|first| first + TIMING.window <= now) {
            begun.pop_front();
        }
        let running = self.running.values().filter(|(of, until)| *of == source && now < *until);
        let used = Permits { outstanding: running.count() as u32, calls: begun.len() as u32 };
        assert!(used.within(limit), "{source:?}: {used:?} of {limit:?} at {now} ms");
    }
}

fn daemon(i: usize, life: u64, now: Millis) -> Daemon {
    let class = Class { target_latency: WAITS * 1_000, deadline: WAITS * 1_000, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        origin_machine_type: Some(ORIGIN_KIND),
        node_count: NODES as u32,
        node_index: i as u32,
        ..Settings::default()
    };
    let rotation = Rotation::new(NODES as u32, ROTATING, TIMING.window, WAITS, 20);
    let mut daemon = Daemon {
        policy: Policy::new(settings, life),
        node: Node::start(i as u32, life, TIMING, (1, rotation), (now, now)),
        timers: Vec::new(),
        offer: None,
        calls: BTreeMap::new(),
        attempts: BTreeMap::new(),
    };
    // Before anything else: without an allowance the module would act on its settings.
    let nothing = Event::OriginAllowance(Some(OriginAllowance::default()));
    daemon.policy.handle(now * 1_000, nothing, &mut Vec::new());
    let origin = ServerEntry { id: ORIGIN, machine_type: ORIGIN_KIND, ..ServerEntry::default() };
    let cache = ServerEntry { id: 1, condition: Condition::Ready, ..ServerEntry::default() };
    let list = Event::ServerList { kind: ListKind::Cached, servers: vec![origin, cache] };
    let mut out = Vec::new();
    daemon.policy.handle(now * 1_000, list, &mut out);
    daemon.timers.push(now);
    daemon
}

impl Daemon {
    /// Passes an event on; what it sends to the origin is told to the node's machine and counted.
    fn event(&mut self, i: usize, now: Millis, event: Event, origin: &mut Origin) {
        let mut out = Vec::new();
        self.policy.handle(now * 1_000, event, &mut out);
        for action in out {
            match action {
                Action::Timer { after, .. } => self.timers.push(now + after.div_ceil(1_000).max(1)),
                Action::Send { request, server: ORIGIN, timeout: give_up_after } => {
                    let attempt = self.attempts.entry(request).or_default();
                    let source = self.offer.expect("nothing is sent without an offer").source;
                    let gives_up_at = now + (give_up_after / 1_000).min(WAITS);
                    let permit = Permit { source, gives_up_at };
                    let call = request << 8 | u64::from(*attempt);
                    self.node.began(now, call, permit);
                    self.calls.insert((request, *attempt), permit);
                    origin.running.insert((i, request, *attempt), (source, gives_up_at));
                    *attempt += 1;
                    origin.count(now, source);
                }
                _ => {}
            }
        }
    }

    /// The module is told what may be begun, as soon as it is something else.
    fn tell(&mut self, i: usize, now: Millis, origin: &mut Origin) {
        let offer = self.node.offer(now, now);
        let told = self.policy.origin_allowance().unwrap_or_default();
        let wanted = offer.map_or(OriginAllowance::default(), |offer| {
            let permits = offer.permits;
            OriginAllowance::new(permits.outstanding, permits.calls, offer.until * 1_000)
        });
        self.offer = offer;
        if (told.outstanding, told.calls_left, told.expires_at)
            != (wanted.outstanding, wanted.calls_left, wanted.expires_at)
        {
            self.event(i, now, Event::OriginAllowance(Some(wanted)), origin);
        }
    }

    fn end(&mut self, i: usize, now: Millis, (request, attempt): (RequestId, u16), origin: &mut Origin) {
        let Some(permit) = self.calls.remove(&(request, attempt)) else { return };
        origin.running.remove(&(i, request, attempt));
        self.node.end(request << 8 | u64::from(attempt));
        let late = now >= permit.gives_up_at;
        let status = if late { Status::TimedOut } else { Status::Served };
        let (over, note, load) = (!late, CacheResult::None, LoadReport::default());
        let outcome = Outcome {
            request,
            attempt,
            server: ORIGIN,
            status,
            request_finished: over,
            cache_result: note,
            duration: 1_000,
            load,
        };
        self.event(i, now, Event::Outcome(outcome), origin);
    }
}

/// A run of so many milliseconds with restarts of one process in so many steps; calls by leases and by turns.
fn play(seed: u128, restarts: u64, root_leads: bool) -> [usize; 2] {
    let mut random = oorandom::Rand64::new(seed);
    let mut one_in = |times: u64| random.rand_range(0..times) == 0;
    let mut root = Root::new(TIMING, LEASED);
    let mut origin = Origin::default();
    let mut daemons: Vec<Daemon> = (0..NODES).map(|i| daemon(i, 1 + i as u64, 0)).collect();
    let mut messages: Vec<(Millis, usize, Message, bool)> = Vec::new();
    let (mut life, mut request) = (100, 0);
    for now in (0..30_000).step_by(5) {
        let fence = Fence { round: 1, ..Fence::default() };
        root.tenure(now, root_leads.then_some(Tenure { fence, until: now + 100 }));
        let (due, rest) = messages.into_iter().partition(|(comes, ..)| *comes <= now);
        messages = rest;
        let due: Vec<_> = due;
        for (_, i, message, to_root) in due {
            if !to_root {
                daemons[i].node.handle(now, &message);
                daemons[i].tell(i, now, &mut origin);
            } else if let Some(answer) = root.handle(now, &message).filter(|_| !one_in(20)) {
                messages.push((now + if one_in(10) { 300 } else { 10 }, i, answer, false));
            }
        }
        // A call of a process that is gone ends at the origin by itself.
        origin.running.retain(|_, (_, until)| now < *until);
        for (i, daemon_i) in daemons.iter_mut().enumerate() {
            if one_in(restarts) {
                life += 1;
                *daemon_i = daemon(i, life, now);
            }
            let ended: Vec<_> =
                daemon_i.calls.iter().map(|(call, permit)| (*call, permit.gives_up_at)).collect();
            for (call, gives_up_at) in ended {
                if now >= gives_up_at || one_in(8) {
                    daemon_i.end(i, now, call, &mut origin);
                }
            }
            daemon_i.tell(i, now, &mut origin);
            let timers = daemon_i.timers.len();
            daemon_i.timers.retain(|at| *at > now);
            if daemon_i.timers.len() < timers {
                daemon_i.event(i, now, Event::Timer(0), &mut origin);
            }
            if one_in(3) {
                request += 1;
                let write =
                    Request { id: request, is_write: true, time_left: WAITS * 1_000, ..Request::default() };
                daemon_i.event(i, now, Event::Request(write), &mut origin);
            }
            let wanted = daemon_i.policy.origin_calls_wanted();
            let asked = daemon_i.node.tick(now, Permits { outstanding: wanted, calls: 4 * wanted });
            let lost = one_in(20);
            messages.extend(asked.filter(|_| !lost).map(|(_, asked)| (now + 10, i, asked, true)));
            // A return has made the lease smaller at once.
            daemon_i.tell(i, now, &mut origin);
        }
    }
    origin.all
}

#[test]
fn modules_that_act_on_leases_keep_the_sum_at_the_origin() {
    let mut all = [0, 0];
    for seed in 0..20 {
        let calls = play(seed, 4_000, true);
        all.iter_mut().zip(calls).for_each(|(all, calls)| *all += calls);
    }
    println!("{all:?} calls by leases and by turns in 20 runs of 30 s");
    assert!(all[0] > 10_000 && all[1] > 200, "{all:?}");
}

#[test]
fn without_any_root_modules_call_in_their_turns_alone_and_the_sum_holds_as_well() {
    let mut all = [0, 0];
    for seed in 0..5 {
        let calls = play(seed, 4_000, false);
        all.iter_mut().zip(calls).for_each(|(all, calls)| *all += calls);
    }
    println!("{all:?} calls by leases and by turns in 5 runs of 30 s");
    assert!(all[0] == 0 && all[1] > 250, "{all:?}");
}
