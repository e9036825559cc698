//! A cold server under many processes: what all of them send it together, against its budget.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use brassrouter::*;
use common::{MS, SECOND};
use oorandom::Rand64;

/// Requests a second that a warm server can bear, and how many servers there are.
const CAPACITY: f64 = 40.0;
const SERVERS: u32 = 10;
/// When one of them starts anew, and how long its nodes take to hear of it at the most.
const STARTS: Micros = 80 * SECOND;
const HEARD: Micros = 2 * SECOND;
const ENDS: Micros = 92 * SECOND;

#[derive(Clone, Copy, Debug)]
struct Day {
    nodes: u32,
    /// Of what all servers can bear; a burst half as much again begins with the start.
    load: f64,
    multiple: f64,
    /// Half of the nodes start anew a second after the server.
    restarts: bool,
    seed: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Ask,
    Timer(usize, u32),
    Answer(usize, u32, RequestId, u16, ServerId),
    Hears(usize),
    Restarts(usize),
}

struct Fleet {
    day: Day,
    settings: Settings,
    nodes: Vec<Policy>,
    /// How often each has started, and whether it knows of the server's start.
    lives: Vec<u32>,
    knows: Vec<bool>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    count: u64,
    /// When the cold server was sent something by nodes that knew.
    sent: Vec<Micros>,
}

impl Fleet {
    fn new(day: Day) -> Fleet {
        let class = Class { aim: 750 * MS, deadline: 2500 * MS, ..Class::default() };
        let settings = Settings {
            balancers: day.nodes,
            classes: vec![class],
            cold_share: 0.3,
            warm_up: 8 * SECOND,
            fall_multiple: day.multiple,
            fall_after: 3 * SECOND,
            ..Settings::default()
        };
        let nodes = (0..day.nodes)
            .map(|me| Policy::new(Settings { me, ..settings.clone() }, day.seed + u64::from(me)));
        let many = day.nodes as usize;
        Fleet {
            day,
            nodes: nodes.collect(),
            settings,
            lives: vec![0; many],
            knows: vec![false; many],
            due: BinaryHeap::new(),
            count: 0,
            sent: Vec::new(),
        }
    }

    fn at(&mut self, time: Micros, due: Due) {
        self.count += 1;
        self.due.push(Reverse((time, self.count, due)));
    }

    fn event(&mut self, now: Micros, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        let life = self.lives[node];
        let mut attempts = 0;
        for action in actions {
            match action {
                Action::Timer { after, .. } => self.at(now + after.max(1), Due::Timer(node, life)),
                Action::Send { request, server, .. } => {
                    if server == 0 && now >= STARTS && self.knows[node] {
                        self.sent.push(now);
                    }
                    self.at(now + 60 * MS, Due::Answer(node, life, request, attempts, server));
                    attempts += 1;
                }
                _ => {}
            }
        }
    }

    fn list(&mut self, now: Micros, node: usize, kind: ListKind) {
        let started = if self.knows[node] { STARTS } else { 0 };
        let line =
            |id| ServerLine { id, started: if id == 0 { started } else { 0 }, ..ServerLine::default() };
        let servers = (0..SERVERS).map(line).collect();
        self.event(now, node, Event::ServerList { kind, servers });
    }

    /// Plays the day; the most that any window holds beyond the budget, in roots of the budget.
    fn play(mut self) -> f64 {
        let mut random = Rand64::new(self.day.seed.into());
        let many = self.nodes.len();
        let begins = 60 * SECOND;
        for node in 0..many {
            self.list(begins, node, ListKind::Full);
            self.at(STARTS + random.rand_range(0..HEARD), Due::Hears(node));
            if self.day.restarts && node % 2 == 0 {
                self.at(STARTS + SECOND, Due::Restarts(node));
            }
        }
        self.at(begins, Due::Ask);
        let mut next = 0;
        while let Some(Reverse((now, _, due))) = self.due.pop() {
            if now >= ENDS {
                break;
            }
            match due {
                Due::Ask => {
                    let burst = if now >= STARTS { 1.5 } else { 1.0 };
                    let rate = self.day.load * burst * CAPACITY * f64::from(SERVERS);
                    let gap = -random.rand_float().max(1e-9).ln() / rate * 1e6;
                    self.at(now + gap as Micros + 1, Due::Ask);
                    let (node, key) =
                        (random.rand_range(0..many as u64) as usize, random.rand_range(1..100_000));
                    next += 1;
                    let request = Request { id: next, key, time_left: 2500 * MS, ..Request::default() };
                    self.event(now, node, Event::Request(request));
                }
                Due::Timer(node, life) if self.lives[node] == life => self.event(now, node, Event::Timer(0)),
                Due::Answer(node, life, request, attempt, server) if self.lives[node] == life => {
                    let (status, over, note, took) = (Status::Served, true, Note::None, 60 * MS);
                    let load = Load::default();
                    self.event(
                        now,
                        node,
                        Event::Outcome(Outcome { request, attempt, server, status, over, note, took, load }),
                    );
                }
                Due::Hears(node) => {
                    self.knows[node] = true;
                    self.list(now, node, ListKind::Delta);
                }
                Due::Restarts(node) => {
                    self.lives[node] += 1;
                    let settings = Settings { me: node as u32, ..self.settings.clone() };
                    self.nodes[node] = Policy::new(settings, self.day.seed ^ 77 ^ node as u64);
                    // What a process that starts is given is as new as its node heard.
                    self.list(now, node, ListKind::Cached);
                }
                _ => {}
            }
        }
        let span = self.settings.fall_after;
        let beyond = |from: &Micros| {
            let count = self.sent.iter().filter(|t| (*from..*from + span).contains(t)).count() as f64;
            let age = (*from - STARTS) as f64 / self.settings.warm_up as f64;
            let share = (0.3 + 0.7 * age).min(1.0);
            let budget = self.day.multiple * share * CAPACITY * span as f64 / 1e6;
            (count - budget) / budget.sqrt()
        };
        self.sent.iter().map(beyond).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Chance may bring two roots of the budget and two beyond it.
#[test]
fn what_all_processes_send_a_cold_server_together_stays_within_its_budget() {
    for (multiple, load) in [(3.0, 1.0), (2.0, 0.7), (2.0, 1.0)] {
        for nodes in [10, 20, 30] {
            for (seed, restarts) in [(1, false), (2, true)] {
                let day = Day { nodes, load, multiple, restarts, seed };
                let beyond = Fleet::new(day).play();
                assert!(beyond <= 2.0, "{day:?}: {beyond:.2} roots beyond the budget");
            }
        }
    }
}
