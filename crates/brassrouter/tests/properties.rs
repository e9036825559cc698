//! Random valid event sequences from a fixed seed, checked against the rules that events and actions can
//! show.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use brassrouter::*;
use common::{ORIGIN_TYPE, take_due};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Arrive { class: usize, tenant: usize, key: Key, write: bool, time_left: u64 },
    AttemptEnds { which: usize, status: usize },
    StartResponse { which: usize },
    ClientLeaves { which: usize },
    Delta { which: usize, condition: u8, restarted: bool },
    FullList { mask: u32 },
    ListFailed,
    MessageArrives { from: u32, bytes: Vec<u8> },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let arrival = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Wait),
        1 => (0..3_000_000u64).prop_map(Step::Wait),
        10 => arrival.prop_map(|(class, tenant, key, write, time_left)| Step::Arrive { class, tenant, key, write, time_left }),
        10 => (any::<usize>(), 0..11usize).prop_map(|(which, status)| Step::AttemptEnds { which, status }),
        1 => any::<usize>().prop_map(|which| Step::StartResponse { which }),
        1 => any::<usize>().prop_map(|which| Step::ClientLeaves { which }),
        2 => (any::<usize>(), 0..3u8, any::<bool>())
            .prop_map(|(which, condition, restarted)| Step::Delta { which, condition, restarted }),
        1 => any::<u32>().prop_map(|mask| Step::FullList { mask }),
        1 => Just(Step::ListFailed),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(from, bytes)| Step::MessageArrives { from, bytes }),
        1 => Just(Step::Restart),
    ]
}

fn config() -> impl Strategy<Value = Settings> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let rules = (any::<bool>(), 0..3u8, any::<bool>());
    // Settings of other deployments: one node or hundreds, latency targets beyond deadlines, windows of zero
    // or shorter than both, classes in another order or a single one, short and long resubscribe intervals.
    let node_count = prop_oneof![4 => 1..5u32, 1 => Just(30), 1 => Just(300)];
    let window = prop_oneof![1 => Just(0), 1 => Just(100_000), 2 => Just(300_000), 1 => Just(5_000_000)];
    let target_latency = prop_oneof![2 => Just(200_000), 1 => Just(1), 1 => Just(2_000_000)];
    let resubscribe_within = prop_oneof![3 => Just(1_000_000), 1 => Just(60_000_000)];
    let times = (window, target_latency, resubscribe_within);
    let classes = (0..3usize, 1..4usize);
    (flags, 1..5u32, node_count, 0..4usize, 0..3u8, 0.0..1.0f64, rules, times, classes).prop_map(
        |(
            (cache_aside, may_duplicate, subscribes_to_discovery, may_send_to_peers, weights_are_capacities),
            max_attempts,
            node_count,
            tenants,
            scope,
            cold_capacity_share,
            (may_cancel, restriction, closes_idle),
            (window, target_latency, resubscribe_within),
            (rotation, class_count),
        )| {
            let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(scope)];
            let class = |effect| Class {
                target_latency,
                deadline: 900_000,
                effect,
                allowed_zones: (restriction == 1).then(|| vec![1]),
                allowed_machine_types: (restriction == 2).then(|| vec![0]),
                ..Class::default()
            };
            let mut classes = vec![
                class(Effect::Idempotent),
                class(Effect::Deduplicated { scope, window }),
                class(Effect::NonIdempotent),
            ];
            classes.rotate_left(rotation);
            classes.truncate(class_count);
            Settings {
                node_count,
                classes,
                tenants: vec![Tenant { quota_per_s: 5.0 }; tenants],
                subscribes_to_discovery,
                resubscribe_within,
                origin_machine_type: cache_aside.then_some(ORIGIN_TYPE),
                weights_are_capacities,
                max_attempts,
                may_duplicate,
                may_cancel,
                drain_close_within: closes_idle.then_some(400_000),
                may_send_to_peers,
                cold_capacity_share,
                warm_up_time: 2_000_000,
                ..Settings::default()
            }
        },
    )
}

struct PendingRequest {
    class: usize,
    expires_at: u64,
    attempts: Vec<Attempt>,
}

#[derive(Clone)]
struct Attempt {
    server: ServerId,
    at: u64,
    in_flight: bool,
    may_have_run: bool,
    /// It was a local failure and does not count against the attempts of the request.
    local_failure: bool,
}

/// Simulated environment of one node; checks every action against the rules.
struct Environment {
    settings: Settings,
    policy: Policy,
    now: u64,
    next: RequestId,
    entries: BTreeMap<ServerId, ServerEntry>,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight: request, number, server.
    in_flight: Vec<(RequestId, u16, ServerId)>,
    timers: Vec<u64>,
    /// By when idle connections to a draining server must have been closed.
    close_by: BTreeMap<ServerId, u64>,
    /// By when a node without a subscription must have subscribed.
    subscribe_by: Option<u64>,
    log: Vec<Action>,
}

impl Environment {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 3);
        let entry = |id: ServerId| ServerEntry {
            id,
            zone: (id % 2) as u8,
            cell: (id % 3) as u16,
            machine_type: if id >= 6 { ORIGIN_TYPE } else { 0 },
            weight: id as f32,
            ..ServerEntry::default()
        };
        let mut environment = Environment {
            settings,
            policy,
            now: 50_000_000,
            next: 0,
            entries: (0..8).map(|id| (id, entry(id))).collect(),
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: Vec::new(),
            close_by: BTreeMap::new(),
            subscribe_by: None,
            log: Vec::new(),
        };
        environment.send_list(ListKind::Cached);
        environment
    }

    fn send_list(&mut self, kind: ListKind) {
        let servers = self.entries.values().filter(|l| l.condition != Condition::Gone).cloned().collect();
        self.event(Event::ServerList { kind, servers });
    }

    fn event(&mut self, event: Event) {
        self.note_drains(&event);
        if let Event::ServerList { kind, .. } = &event {
            let unsubscribed =
                matches!(kind, ListKind::Cached | ListKind::Failed) && self.settings.subscribes_to_discovery;
            self.subscribe_by = unsubscribed.then_some(self.now + self.settings.resubscribe_within);
        }
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    /// Notes by when idle connections must be closed: after a drain notice, and after an outcome at a
    /// draining server.
    fn note_drains(&mut self, event: &Event) {
        let Some(close) = self.settings.drain_close_within else { return };
        let draining: Vec<ServerId> = match event {
            Event::ServerList { servers, .. } => {
                servers.iter().filter(|l| l.condition == Condition::Draining).map(|l| l.id).collect()
            }
            Event::Outcome(o) => vec![o.server],
            _ => return,
        };
        for id in draining.into_iter().filter(|id| self.entries[id].condition == Condition::Draining) {
            self.close_by.insert(id, self.now + close);
        }
    }

    fn check_closed(&self) {
        let late = self.close_by.iter().find(|(_, due)| **due < self.now);
        assert!(
            self.subscribe_by.is_none_or(|by| self.now <= by),
            "neither subscribed nor resubscribed in time"
        );
        assert!(late.is_none(), "idle connections to a draining server are still open: {late:?}");
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, .. } => {
                let pending = self.pending.get(request).expect("an attempt of a request that has ended");
                let entry = &self.entries[server];
                assert_eq!(entry.condition, Condition::Ready, "an attempt at a draining or gone server");
                let class = &self.settings.classes[pending.class];
                let open = class.allowed_zones.as_ref().is_none_or(|z| z.contains(&entry.zone))
                    && class.allowed_machine_types.as_ref().is_none_or(|k| k.contains(&entry.machine_type));
                let origin = self.settings.origin_machine_type == Some(entry.machine_type);
                assert!(open || origin, "an attempt at a server that the class may not use");
                let made = pending.attempts.iter().filter(|a| !a.local_failure).count();
                assert!(made < self.settings.max_attempts as usize, "too many attempts");
                assert!(self.now < pending.expires_at, "an attempt after the request's time is up");
                assert!(
                    self.settings.may_duplicate || pending.attempts.iter().all(|a| !a.in_flight),
                    "two attempts in flight"
                );
                let running: Vec<_> = pending.attempts.iter().filter(|a| a.may_have_run).collect();
                match self.settings.classes[pending.class].effect {
                    Effect::Idempotent => {}
                    Effect::NonIdempotent => {
                        assert!(running.is_empty(), "a non-idempotent request sent twice")
                    }
                    Effect::Deduplicated { scope, window } => {
                        for a in running {
                            let first = &self.entries[&a.server];
                            let same = match scope {
                                DedupScope::All => true,
                                DedupScope::Zone => first.zone == entry.zone,
                                DedupScope::Cell => first.cell == entry.cell,
                            };
                            assert!(
                                same && self.now < a.at + window,
                                "a deduplicated request sent again outside its scope or window"
                            );
                        }
                    }
                }
                let attempt = Attempt {
                    server: *server,
                    at: self.now,
                    in_flight: true,
                    may_have_run: true,
                    local_failure: false,
                };
                let pending = self.pending.get_mut(request).unwrap();
                self.in_flight.push((*request, pending.attempts.len() as u16, *server));
                pending.attempts.push(attempt);
            }
            Action::Refuse { request, .. } => {
                let pending = self.pending.remove(request).expect("a second final answer");
                let safe = self.settings.classes[pending.class].effect == Effect::Idempotent;
                assert!(
                    safe || pending.attempts.iter().all(|a| !a.may_have_run),
                    "a refusal of a request that may have run"
                );
            }
            Action::Fail(request) => {
                self.pending.remove(request).expect("a second final answer");
            }
            Action::Timer { after, .. } => self.timers.push(self.now + (*after).max(1)),
            Action::SendToPeers { bytes, .. } => {
                assert!(self.settings.may_send_to_peers && bytes.len() <= 256)
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.may_cancel, "a cancel that the settings do not allow");
                let known = self.in_flight.iter().any(|(r, a, _)| r == request && a == attempt);
                assert!(known, "a cancel of an attempt that is not in flight");
            }
            Action::CloseIdle(server) => drop(self.close_by.remove(server)),
            Action::Subscribe(true) => self.subscribe_by = Some(self.now + self.settings.resubscribe_within),
            Action::Probe(_) => panic!("an unexpected probe"),
            _ => {}
        }
    }

    fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.check_closed();
            self.event(Event::Timer(0));
            let now = self.now;
            assert!(
                self.pending.values().all(|o| now < o.expires_at),
                "a request without a final answer in time"
            );
        }
        self.now = end;
        self.check_closed();
        let now = self.now;
        assert!(
            self.pending.values().all(|o| now <= o.expires_at),
            "a request without a final answer in time"
        );
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.pass(*time),
            Step::Arrive { class, tenant, key, write, time_left } => {
                let tenant = tenant % self.settings.tenants.len().max(1);
                let class = class % self.settings.classes.len();
                let request = Request {
                    id: self.next,
                    class,
                    tenant,
                    key: *key,
                    is_write: *write,
                    time_left: *time_left,
                    ..Request::default()
                };
                let pending =
                    PendingRequest { class, expires_at: self.now + time_left, attempts: Vec::new() };
                self.pending.insert(self.next, pending);
                self.next += 1;
                self.event(Event::Request(request));
            }
            Step::AttemptEnds { which, status } if !self.in_flight.is_empty() => {
                let (request, attempt, server) = self.in_flight.swap_remove(which % self.in_flight.len());
                let status = [
                    Status::Served,
                    Status::Miss,
                    Status::Error,
                    Status::Full,
                    Status::TimedOut,
                    Status::ConnectFailed,
                    Status::Reset,
                    Status::Served,
                    Status::Miss,
                    Status::Cancelled,
                    Status::LocalFailure,
                ][*status];
                if let Some(pending) = self.pending.get_mut(&request) {
                    let a = &mut pending.attempts[usize::from(attempt)];
                    a.in_flight = false;
                    a.may_have_run &= !status.proves_not_run();
                    a.local_failure = status == Status::LocalFailure;
                }
                if status == Status::Served {
                    self.pending.remove(&request);
                }
                let request_finished = !self.pending.contains_key(&request);
                let (cache_result, load) = (CacheResult::None, LoadReport::default());
                let before = self.log.len();
                self.event(Event::Outcome(Outcome {
                    request,
                    attempt,
                    server,
                    status,
                    request_finished,
                    cache_result,
                    duration: 1,
                    load,
                }));
                let again = |a: &Action| matches!(a, Action::Send { request: of, .. } if *of == request);
                assert!(
                    status != Status::LocalFailure || !self.log[before..].iter().any(again),
                    "sent again at once after a local failure"
                );
            }
            Step::StartResponse { which } if !self.in_flight.is_empty() => {
                let (request, attempt, _) = self.in_flight[which % self.in_flight.len()];
                self.pending.remove(&request);
                self.event(Event::ResponseStarted { request, attempt });
            }
            Step::ClientLeaves { which } if !self.pending.is_empty() => {
                let id = *self.pending.keys().nth(which % self.pending.len()).unwrap();
                self.pending.remove(&id);
                self.event(Event::ClientGone(id));
            }
            Step::Delta { which, condition, restarted } => {
                let id = (which % self.entries.len()) as ServerId;
                let entry = self.entries.get_mut(&id).unwrap();
                entry.condition =
                    [Condition::Ready, Condition::Draining, Condition::Gone][usize::from(*condition)];
                entry.started_at = if *restarted { self.now } else { entry.started_at };
                let servers = vec![entry.clone()];
                self.event(Event::ServerList { kind: ListKind::Delta, servers });
            }
            Step::FullList { mask } => {
                for (id, entry) in &mut self.entries {
                    let there = mask >> id & 1 == 1;
                    entry.condition = if there { Condition::Ready } else { Condition::Gone };
                }
                self.send_list(ListKind::Full);
            }
            Step::ListFailed => self.event(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() }),
            Step::MessageArrives { from, bytes } => {
                self.event(Event::PeerMessage { from: *from, bytes: bytes.clone() });
            }
            Step::Restart => {
                self.policy = Policy::new(self.settings.clone(), 4);
                self.pending.clear();
                self.in_flight.clear();
                self.timers.clear();
                self.close_by.clear();
                self.send_list(ListKind::Cached);
            }
            _ => {}
        }
    }
}

#[test]
fn the_rules_hold_over_random_events_and_the_same_events_give_the_same_actions() {
    let config_of_runs = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config_of_runs, rng);
    let strategy = (config(), proptest::collection::vec(step(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let run = || {
            let mut environment = Environment::new(settings.clone());
            steps.iter().for_each(|s| environment.step(s));
            environment.pass(2_000_000);
            assert!(environment.pending.is_empty(), "a request without a final answer");
            environment.log
        };
        prop_assert_eq!(run(), run());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_cold_server_is_sent_no_more_than_its_budget_in_every_window() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (3..9u32, 0.12..0.5f64, 10..40u64, any::<u64>());
    let result = runner.run(&strategy, |(servers, cold_capacity_share, gap_ms, seed)| {
        let settings =
            Settings { cold_capacity_share, origin_machine_type: Some(ORIGIN_TYPE), ..Settings::default() };
        let (collapse_multiple, window, warm_up_time) =
            (settings.collapse_multiple, settings.collapse_window, settings.warm_up_time);
        let mut policy = Policy::new(settings, seed);
        let (mut now, mut out, mut sends) = (60_000_000, Vec::new(), Vec::new());
        let entry = |id, started_at| ServerEntry { id, started_at, ..ServerEntry::default() };
        let all = (0..servers).map(|id| entry(id, 0)).collect();
        policy.handle(now, Event::ServerList { kind: ListKind::Cached, servers: all }, &mut out);
        let started = now + 10_000_000;
        for id in 0..20_000_000 / (gap_ms * 1_000) {
            now += gap_ms * 1_000;
            if now >= started && now < started + gap_ms * 1_000 {
                let servers = vec![entry(1, now)];
                policy.handle(now, Event::ServerList { kind: ListKind::Delta, servers }, &mut out);
            }
            out.clear();
            policy.handle(now, Event::Timer(0), &mut out);
            let request = Request { id, key: seed ^ id, time_left: 900_000, ..Request::default() };
            policy.handle(now, Event::Request(request), &mut out);
            let to = out.iter().find_map(|a| match a {
                Action::Send { request, server, .. } if *request == id => Some(*server),
                _ => None,
            });
            let Some(server) = to else { continue };
            sends.extend((server == 1 && now >= started).then_some(now));
            let (status, request_finished) = (Status::Served, true);
            let (cache_result, load) = (CacheResult::None, LoadReport::default());
            let o = Outcome {
                request: id,
                attempt: 0,
                server,
                status,
                request_finished,
                cache_result,
                duration: 1_000,
                load,
            };
            policy.handle(now, Event::Outcome(o), &mut out);
        }
        let warm = window as f64 / (gap_ms as f64 * 1e3) / f64::from(servers);
        for from in &sends {
            let count = sends.iter().filter(|t| (*from..from + window).contains(t)).count() as f64;
            let age = (from - started) as f64 / warm_up_time as f64;
            let capacity = (cold_capacity_share + (1.0 - cold_capacity_share) * age).min(1.0);
            // One attempt of tolerance for random variation.
            prop_assert!(
                count <= collapse_multiple * capacity * warm + 1.0,
                "{count} attempts at {capacity} of {warm}"
            );
        }
        Ok(())
    });
    result.unwrap();
}
