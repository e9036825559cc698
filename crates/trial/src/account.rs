//! The account of a trial: every request from the clients' and the stand-ins' side, and the figures that follow.

use std::collections::BTreeMap;
use std::time::Duration;

use chalksill_world::clients::{CompletedRequest, FinalOutcome};
use chalksill_world::observe::{
    AttemptOutcome, NodeIndex, Observation, ObservedEvent, RequestId, ServerIndex,
};

use crate::party::Map;
use crate::plan::Figure;
use crate::plan::Trial;

/// A request waits for what can't answer when nobody got it for this part of the shortest aim: well over any distance
/// and any queue of a fleet that bears its load.
const WAITS: f64 = 0.2;
/// A node acts when of the requests of this time ...
const SPAN: Duration = Duration::from_secs(1);
/// ... at most this part waited ...
const MAY_WAIT: f64 = 0.05;
/// ... and there were at least so many to tell by.
const ENOUGH: usize = 10;
/// A node has given a zone up when it sends it less than this part of what it sent before.
const GIVEN_UP: f64 = 0.25;
/// What is back is this part of what is usual.
const BACK: f64 = 0.95;
/// Seconds at the beginning that count as usual for nothing: connections are made then.
const SETTLE: f64 = 1.0;
/// What a zone gets in so many seconds from then on is usual for it; trials do nothing to it before.
const USUAL: f64 = 1.5;
/// A zone is back when it gets this part of what is usual, over two looks in a row: cold boxes are spared some.
const RETURNED: f64 = 0.8;
/// Between two looks at that.
const LOOK: Duration = Duration::from_millis(250);

/// One try of a client at a node.
struct Try {
    asked: Duration,
    node: NodeIndex,
    /// When the first box or origin got it, or its client its answer: the end of waiting for nothing.
    moved: Option<Duration>,
    ended: bool,
}

struct Attempt {
    at: Duration,
    node: NodeIndex,
    server: ServerIndex,
}

/// What became of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Sums {
    /// Tries that were written whole to a node.
    pub asked: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, left by their clients when their time was up, or before.
    pub left: u64,
    /// Of these, lost with their connection.
    pub lost: u64,
    /// Sent again after the close of an idle connection.
    pub crossed: u64,
    /// Without any end: none of these may be.
    pub open: u64,
    /// Answered more than once: none of these may be.
    pub twice: u64,
}

/// Of what a figure is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Of {
    /// A zone, by its place.
    pub zone: Option<usize>,
    /// A class of requests, by its place; all of them without one.
    pub class: Option<usize>,
}

/// Collects what is seen.
pub struct Account {
    map: Map,
    origin: ServerIndex,
    waits: Duration,
    aims: Vec<Duration>,
    tries: BTreeMap<RequestId, Try>,
    attempts: Vec<Attempt>,
    reads: Vec<(Duration, bool)>,
    played: Vec<CompletedRequest>,
    fallen: Vec<Duration>,
    sums: Sums,
}

impl Account {
    /// An empty account.
    pub fn new(trial: &Trial) -> Account {
        let world = &trial.scenario;
        let ms = Duration::from_millis;
        let shortest = world.class.iter().map(|c| c.aim_ms).min().unwrap_or(1000);
        Account {
            map: trial.map.clone(),
            origin: world.boxes.count,
            waits: ms(shortest).mul_f64(WAITS),
            aims: world.class.iter().map(|c| ms(c.aim_ms)).collect(),
            tries: BTreeMap::new(),
            attempts: Vec::new(),
            reads: Vec::new(),
            played: Vec::new(),
            fallen: Vec::new(),
            sums: Sums::default(),
        }
    }

    /// Takes something that was seen.
    pub fn saw(&mut self, o: &Observation) {
        match &o.event {
            ObservedEvent::RequestSent { request, node, .. } => {
                self.sums.asked += 1;
                let entry = Try { asked: o.at, node: *node, moved: None, ended: false };
                self.tries.insert(*request, entry);
            }
            ObservedEvent::AttemptArrived { server: at, node, request, .. } => {
                if let Some(t) = self.tries.get_mut(request) {
                    t.moved.get_or_insert(o.at);
                }
                self.attempts.push(Attempt { at: o.at, node: *node, server: *at });
            }
            ObservedEvent::AttemptEnded { server: at, outcome: how, .. } if *at != self.origin => match how {
                AttemptOutcome::Value(_) => self.reads.push((o.at, true)),
                AttemptOutcome::Miss => self.reads.push((o.at, false)),
                _ => {}
            },
            ObservedEvent::ReplyReceived { request, .. } => {
                if let Some(t) = self.tries.get_mut(request) {
                    t.moved.get_or_insert(o.at);
                }
                self.end(*request, |sums| &mut sums.answered);
            }
            ObservedEvent::MalformedReply { request }
            | ObservedEvent::TruncatedReply { request }
            | ObservedEvent::ConnectionLost { request, .. } => {
                self.end(*request, |sums| &mut sums.lost);
            }
            ObservedEvent::ClientLeft { request, .. } => self.end(*request, |sums| &mut sums.left),
            ObservedEvent::RacedWithClose { request } => self.end(*request, |sums| &mut sums.crossed),
            ObservedEvent::CacheServerCollapsed { .. } => self.fallen.push(o.at),
            _ => {}
        }
    }

    fn end(&mut self, request: RequestId, count: impl FnOnce(&mut Sums) -> &mut u64) {
        let Some(t) = self.tries.get_mut(&request) else { return };
        if std::mem::replace(&mut t.ended, true) {
            self.sums.twice += 1;
        } else {
            *count(&mut self.sums) += 1;
        }
    }

    /// Takes a first try that has ended.
    pub fn played(&mut self, played: CompletedRequest) {
        self.played.push(played);
    }

    /// What became of all requests so far.
    pub fn sums(&self) -> Sums {
        let open = self.tries.values().filter(|t| !t.ended).count() as u64;
        Sums { open, ..self.sums }
    }

    /// Nodes at which a try that was asked since then has been answered or sent on.
    pub fn served(&self, node: NodeIndex, since: Duration) -> bool {
        self.tries
            .values()
            .rev()
            .take_while(|t| t.asked >= since)
            .any(|t| t.node == node && t.moved.is_some())
    }

    /// Whether a box or the origin has got an attempt since then.
    pub fn reached(&self, server: ServerIndex, since: Duration) -> bool {
        self.attempts.iter().rev().take_while(|a| a.at >= since).any(|a| a.server == server)
    }

    fn waited(&self, t: &Try) -> bool {
        t.moved.is_none_or(|moved| moved > t.asked + self.waits)
    }

    /// When a node acts on what happened at a time: from when on, for a span, its requests do not wait for nothing. What
    /// is younger than the wait itself can't be told yet. `None` where it does not by `now`.
    fn acts(&self, node: NodeIndex, since: Duration, now: Duration) -> Option<Duration> {
        let told = now.saturating_sub(self.waits);
        let tries: Vec<(Duration, bool)> = self
            .tries
            .values()
            .filter(|t| t.node == node && t.asked >= since && t.asked <= told)
            .map(|t| (t.asked, self.waited(t)))
            .collect();
        let mut end = 0;
        let mut waited = 0;
        for begin in 0..tries.len() {
            let from = if begin == 0 { since } else { tries[begin].0 };
            while end < tries.len() && tries[end].0 < from + SPAN {
                waited += usize::from(tries[end].1);
                end += 1;
            }
            if from + SPAN > told {
                return None;
            }
            let all = end - begin;
            if all >= ENOUGH && waited as f64 <= MAY_WAIT * all as f64 && !tries[begin].1 {
                return Some(from - since);
            }
            waited -= usize::from(tries[begin].1);
        }
        None
    }

    /// When each node acted on what happened at a time, in order; those that have not by `now` are left out.
    pub fn acting(&self, since: Duration, now: Duration) -> Vec<Duration> {
        let nodes: std::collections::BTreeSet<NodeIndex> = self.tries.values().map(|t| t.node).collect();
        let mut times: Vec<Duration> = nodes.into_iter().filter_map(|n| self.acts(n, since, now)).collect();
        times.sort();
        times
    }

    /// How many nodes clients have asked.
    pub fn nodes(&self) -> usize {
        self.tries.values().map(|t| t.node).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Part of the first tries of a time that is served in time; `None` where there were none.
    fn in_time(&self, from: Duration, until: Duration) -> Option<f64> {
        self.in_time_of(None, from, until)
    }

    fn in_time_of(&self, class: Option<usize>, from: Duration, until: Duration) -> Option<f64> {
        let (mut all, mut good) = (0, 0);
        let within = |p: &&CompletedRequest| {
            p.due_at >= from && p.due_at < until && class.is_none_or(|c| c == p.class)
        };
        for p in self.played.iter().filter(within) {
            all += 1;
            good += u64::from(p.outcome == FinalOutcome::Served && p.latency <= self.aims[p.class]);
        }
        (all > 0).then(|| good as f64 / all as f64)
    }

    /// Per second since the beginning: first tries, and the part of them that was served in time.
    pub fn seconds(&self) -> Vec<(u64, f64)> {
        let last = self.played.iter().map(|p| p.due_at.as_secs() + 1).max().unwrap_or(0);
        let second = |s: u64| {
            let (from, until) = (Duration::from_secs(s), Duration::from_secs(s + 1));
            let all = self.played.iter().filter(|p| p.due_at >= from && p.due_at < until).count() as u64;
            (all, self.in_time(from, until).unwrap_or(1.0))
        };
        (0..last).map(second).collect()
    }

    /// A figure over a time. `None` where there is nothing to tell it by, or where what it waits for has not come.
    pub fn figure(
        &self,
        figure: Figure,
        Of { zone, class }: Of,
        from: Duration,
        until: Duration,
    ) -> Option<f64> {
        let within = |at: Duration| at >= from && at < until;
        let meant = |p: &&CompletedRequest| within(p.due_at) && class.is_none_or(|c| c == p.class);
        let played: Vec<&CompletedRequest> = self.played.iter().filter(meant).collect();
        let part = |of: &dyn Fn(&CompletedRequest) -> bool| {
            (!played.is_empty()).then(|| played.iter().filter(|p| of(p)).count() as f64 / played.len() as f64)
        };
        let sent = || self.attempts.iter().filter(|a| within(a.at) && a.server != self.origin);
        let leaves = |other: &dyn Fn(usize, usize) -> bool| {
            let (all, out) = sent().fold((0u64, 0u64), |(all, out), a| {
                (all + 1, out + u64::from(other(self.map.zone_of(a.node), self.map.zone_of(a.server))))
            });
            (all > 0).then(|| out as f64 / all as f64)
        };
        let quantile = |q: f64| {
            let served = played.iter().filter(|p| p.outcome == FinalOutcome::Served);
            let mut took: Vec<f64> = served.map(|p| p.latency.as_secs_f64() * 1e3).collect();
            took.sort_by(f64::total_cmp);
            took.get(((took.len() as f64 * q) as usize).min(took.len().saturating_sub(1))).copied()
        };
        let acting = |part: f64| {
            let times = self.acting(from, until);
            let needed = (self.nodes() as f64 * part).ceil() as usize;
            times.get(needed.max(1) - 1).map(Duration::as_secs_f64)
        };
        match figure {
            Figure::InTime => self.in_time_of(class, from, until),
            Figure::Refused => part(&|p| p.outcome == FinalOutcome::Refused),
            Figure::Failed => part(&|p| matches!(p.outcome, FinalOutcome::Failed | FinalOutcome::Unanswered)),
            Figure::P50Ms => quantile(0.5),
            Figure::P99Ms => quantile(0.99),
            Figure::LeavesZone => leaves(&|a, b| a != b),
            Figure::LeavesRegion => leaves(&|a, b| self.map.region_of[a] != self.map.region_of[b]),
            Figure::HitShare => {
                let (all, hits) = self
                    .reads
                    .iter()
                    .filter(|(at, _)| within(*at))
                    .fold((0u64, 0u64), |(all, hits), (_, hit)| (all + 1, hits + u64::from(*hit)));
                (all > 0).then(|| hits as f64 / all as f64)
            }
            Figure::OriginCalls => {
                let calls = self.attempts.iter().filter(|a| within(a.at) && a.server == self.origin).count();
                (!played.is_empty()).then(|| calls as f64 / played.len() as f64)
            }
            Figure::Waits => {
                let asked: Vec<&Try> = self.tries.values().filter(|t| within(t.asked)).collect();
                let waited = asked.iter().filter(|t| self.waited(t)).count();
                (!asked.is_empty()).then(|| waited as f64 / asked.len() as f64)
            }
            Figure::ActsHalfS => acting(0.5),
            Figure::ActsMostS => acting(0.9),
            Figure::Split => Some(self.split(zone?, from, until)),
            Figure::BackS => self.back(from, until),
            Figure::ZoneShare => self.share(zone?, |_| true, from, until),
            Figure::ZoneAsked => {
                let asked = self.tries.values().filter(|t| within(t.asked));
                let (all, there) = asked.fold((0u64, 0u64), |(all, there), t| {
                    (all + 1, there + u64::from(Some(self.map.zone_of(t.node)) == zone))
                });
                (all > 0).then(|| there as f64 / all as f64)
            }
            Figure::ReturnedS => self.returned(zone?, from, until),
            // Told by the nodes' logs, which are not seen here.
            Figure::Moves | Figure::Agree => None,
            Figure::Fallen => Some(self.fallen.iter().filter(|at| within(**at)).count() as f64),
        }
    }

    /// The part of the nodes that has given a zone up, or that has not, whichever is less.
    fn split(&self, zone: usize, from: Duration, until: Duration) -> f64 {
        let share = |node, since, to| self.share(zone, |a| a.node == node, since, to).unwrap_or(0.0);
        let nodes: std::collections::BTreeSet<NodeIndex> = self.attempts.iter().map(|a| a.node).collect();
        let (mut all, mut gave_up) = (0u64, 0u64);
        for node in nodes {
            let before = share(node, Duration::ZERO, from);
            if before > 0.01 {
                all += 1;
                gave_up += u64::from(share(node, from, until) < before * GIVEN_UP);
            }
        }
        let part = if all == 0 { 0.0 } else { gave_up as f64 / all as f64 };
        part.min(1.0 - part)
    }

    /// The part of the attempts of a time, of those that are meant, that went to a zone; `None` where there were none.
    fn share(
        &self,
        zone: usize,
        meant: impl Fn(&Attempt) -> bool,
        from: Duration,
        until: Duration,
    ) -> Option<f64> {
        let within = |a: &&Attempt| a.at >= from && a.at < until && a.server != self.origin && meant(a);
        let sent = self.attempts.iter().filter(within);
        let (all, there) = sent.fold((0u64, 0u64), |(all, there), a| {
            (all + 1, there + u64::from(self.map.zone_of(a.server) == zone))
        });
        (all > 0).then(|| there as f64 / all as f64)
    }

    /// Seconds until a zone gets most of its usual part, and goes on to.
    fn returned(&self, zone: usize, from: Duration, until: Duration) -> Option<f64> {
        let second = Duration::from_secs(1);
        let settled = self.tries.values().next()?.asked + second.mul_f64(SETTLE);
        let usual = self.share(zone, |_| true, settled, settled + second.mul_f64(USUAL))?;
        let good =
            |at: Duration| self.share(zone, |_| true, at, at + second).is_some_and(|s| s >= RETURNED * usual);
        let mut at = from;
        while at + LOOK + second <= until {
            if good(at) && good(at + LOOK) {
                return Some((at - from).as_secs_f64());
            }
            at += LOOK;
        }
        None
    }

    /// Seconds until two seconds in a row are as good as it was before.
    fn back(&self, from: Duration, until: Duration) -> Option<f64> {
        let usual = self.in_time(Duration::from_secs_f64(SETTLE), from)?;
        let second = Duration::from_secs(1);
        let good = |at: Duration| self.in_time(at, at + second).is_none_or(|part| part >= BACK * usual);
        let mut at = from;
        while at + second * 2 <= until {
            if good(at) && good(at + second) {
                return Some((at - from).as_secs_f64());
            }
            at += second;
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chalksill_world::scenario::Scenario;

    fn account() -> Account {
        let world = Scenario::read(include_str!("../../../scenarios/site.toml")).unwrap();
        let map = Map::new(&world, &[], None).unwrap();
        let trial = Trial {
            name: "t".into(),
            about: String::new(),
            scenario: world,
            map,
            ways: Default::default(),
            discovery: Default::default(),
            steps: Vec::new(),
            musts: Vec::new(),
            before: Vec::new(),
            staffed: false,
            held_sockets: false,
        };
        Account::new(&trial)
    }

    fn of(zone: usize) -> Of {
        Of { zone: Some(zone), ..Of::default() }
    }

    fn ms(at: u64) -> Duration {
        Duration::from_millis(at)
    }

    fn asked(a: &mut Account, at: u64, request: RequestId, node: NodeIndex) {
        let (first, patience) = (request, ms(1000));
        let seen = ObservedEvent::RequestSent {
            request,
            first_try: first,
            node,
            class: 0,
            tenant: 0,
            key: 7,
            timeout: patience,
        };
        a.saw(&Observation { at: ms(at), event: seen });
    }

    fn arrived(a: &mut Account, at: u64, request: RequestId, node: NodeIndex, server: ServerIndex) {
        let seen = ObservedEvent::AttemptArrived {
            server,
            node,
            request,
            is_write: false,
            work: 1.0,
            running: 0,
            received_at: ms(at),
            deadline: ms(at),
        };
        a.saw(&Observation { at: ms(at), event: seen });
    }

    #[test]
    fn a_node_acts_when_its_requests_no_longer_wait_for_what_is_gone() {
        let mut a = account();
        for i in 0..400u64 {
            let (at, node) = (i * 20, (i % 2) as usize);
            asked(&mut a, at, i, node);
            // Node 0 lets one in four wait until 3 s, node 1 until 5 s; 150 ms are the limit here.
            let waits = at >= 1000 && at < if node == 0 { 3000 } else { 5000 } && i / 2 % 4 == 0;
            arrived(&mut a, at + if waits { 400 } else { 5 }, i, node, 0);
        }
        let times = a.acting(ms(1000), ms(8000));
        assert_eq!(times.len(), 2);
        assert!(times[0] > ms(1500) && times[0] <= ms(2050), "{times:?}");
        assert!(times[1] > ms(3500) && times[1] <= ms(4050), "{times:?}");
        assert_eq!(a.acting(ms(1000), ms(4000)).len(), 1, "the other has not yet");
        assert!(a.figure(Figure::ActsMostS, Of::default(), ms(1000), ms(4000)).is_none());
    }

    #[test]
    fn what_has_no_end_or_two_is_told_and_a_zone_that_half_have_given_up_is_split() {
        let mut a = account();
        for i in 0..200u64 {
            let (at, node) = (i * 10, (i % 2) as usize);
            asked(&mut a, at, i, node);
            let zone = if at >= 1000 && node == 1 { 0 } else { i / 2 % 2 };
            arrived(&mut a, at + 1, i, node, zone as usize);
        }
        let answered = |request| {
            let reply = chalksill_world::observe::Reply::Failed;
            Observation {
                at: ms(3000),
                event: ObservedEvent::ReplyReceived { request, reply, slow_reader: false },
            }
        };
        (0..199).for_each(|i| a.saw(&answered(i)));
        a.saw(&answered(7));
        let sums = a.sums();
        assert_eq!((sums.asked, sums.answered, sums.open, sums.twice), (200, 199, 1, 1));
        assert_eq!(a.figure(Figure::Split, of(1), ms(1000), ms(2000)), Some(0.5));
        assert_eq!(a.figure(Figure::Split, of(0), ms(1000), ms(2000)), Some(0.0));
        let leaves = a.figure(Figure::LeavesZone, Of::default(), ms(0), ms(1000)).unwrap();
        assert!((leaves - 0.5).abs() < 0.02, "{leaves}");
        assert_eq!(a.figure(Figure::LeavesRegion, Of::default(), ms(0), ms(2000)), Some(0.0));
    }

    #[test]
    fn a_zone_is_back_when_it_gets_most_of_what_it_got_at_first() {
        let mut a = account();
        for i in 0..1000u64 {
            let at = i * 10;
            asked(&mut a, at, i, 0);
            // Half of all until 3 s, nothing until 6 s, a tenth until 8 s, then half again.
            let there = match at {
                3000..6000 => false,
                6000..8000 => i % 10 == 0,
                _ => i % 2 == 0,
            };
            arrived(&mut a, at + 1, i, 0, usize::from(there));
        }
        let returned = |until| a.figure(Figure::ReturnedS, of(1), ms(6000), ms(until));
        let after = returned(10_000).unwrap();
        assert!((1.5..=2.0).contains(&after), "{after}");
        assert_eq!(returned(8000), None, "it has not come back by then");
    }
}
