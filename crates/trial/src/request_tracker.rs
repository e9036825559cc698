//! Follows every request of a trial by what clients and stubs observe, and computes the metrics from that.

use std::collections::BTreeMap;
use std::time::Duration;

use chalksill_world::clients::{CompletedRequest, FinalOutcome};
use chalksill_world::observe::{
    AttemptOutcome, NodeIndex, Observation, ObservedEvent, RequestId, ServerIndex,
};

use crate::plan::{Metric, Trial};
use crate::topology::Topology;

/// A request waits for an unresponsive server if no server has received it after this share of the shortest latency
/// target: well above any network delay and any queue of a fleet that bears its load.
const WAIT_LIMIT_SHARE: f64 = 0.2;
/// A node has reacted when at most [`MAX_WAITING_SHARE`] of its requests in a window of this length waited, and there
/// were at least [`MIN_REQUESTS`] of them.
const REACTION_WINDOW: Duration = Duration::from_secs(1);
/// See [`REACTION_WINDOW`].
const MAX_WAITING_SHARE: f64 = 0.05;
/// See [`REACTION_WINDOW`].
const MIN_REQUESTS: usize = 10;
/// A node has given a zone up when it sends it less than this share of what it sent before.
const GIVEN_UP_SHARE: f64 = 0.25;
/// The service has recovered at this share of its usual share of first tries in time.
const RECOVERED_SHARE: f64 = 0.95;
/// Seconds at the beginning that are left out of the usual rates, for connections are established then.
const WARM_UP_S: f64 = 1.0;
/// Seconds after the warm-up in which the usual share of a zone is measured; trials inject no zone faults before.
const ZONE_BASELINE_S: f64 = 1.5;
/// A zone has returned when it gets this share of its usual share in two checks in a row; less than all, for nodes
/// spare cold cache servers.
const RETURNED_SHARE: f64 = 0.8;
/// Interval between these two checks.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A request that a client sent to a node; a retry is a request of its own.
struct TrackedRequest {
    sent_at: Duration,
    node: NodeIndex,
    /// When the first server received it, or its client the reply: the end of waiting for an unresponsive server.
    progressed_at: Option<Duration>,
    ended: bool,
}

/// An attempt that arrived at a server.
struct Attempt {
    at: Duration,
    node: NodeIndex,
    server: ServerIndex,
}

/// Counts of all requests by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RequestTotals {
    /// Requests that were written to a node completely.
    #[serde(rename = "asked")]
    pub sent: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, abandoned by their clients at the client's time limit, or before.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Of these, lost with their connection.
    pub lost: u64,
    /// Of these, sent again after they raced with the close of an idle connection.
    #[serde(rename = "crossed")]
    pub raced_with_close: u64,
    /// Without any end; must be 0.
    #[serde(rename = "open")]
    pub unfinished: u64,
    /// Ended more than once; must be 0.
    #[serde(rename = "twice")]
    pub ended_twice: u64,
}

/// Zone and class that a metric is restricted to.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricScope {
    /// A zone, by index.
    pub zone: Option<usize>,
    /// A class of requests, by index; all classes if absent.
    pub class: Option<usize>,
}

/// Collects observations of requests.
pub struct RequestTracker {
    topology: Topology,
    origin: ServerIndex,
    wait_limit: Duration,
    target_latencies: Vec<Duration>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    attempts: Vec<Attempt>,
    reads: Vec<(Duration, bool)>,
    completed: Vec<CompletedRequest>,
    collapses: Vec<Duration>,
    totals: RequestTotals,
}

impl RequestTracker {
    /// A tracker without observations.
    pub fn new(trial: &Trial) -> RequestTracker {
        let scenario = &trial.scenario;
        let ms = Duration::from_millis;
        let shortest = scenario.class.iter().map(|c| c.aim_ms).min().unwrap_or(1000);
        RequestTracker {
            topology: trial.topology.clone(),
            origin: scenario.boxes.count,
            wait_limit: ms(shortest).mul_f64(WAIT_LIMIT_SHARE),
            target_latencies: scenario.class.iter().map(|c| ms(c.aim_ms)).collect(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            reads: Vec::new(),
            completed: Vec::new(),
            collapses: Vec::new(),
            totals: RequestTotals::default(),
        }
    }

    /// Takes an observation into account.
    pub fn observe(&mut self, o: &Observation) {
        match &o.event {
            ObservedEvent::RequestSent { request, node, .. } => {
                self.totals.sent += 1;
                let entry = TrackedRequest { sent_at: o.at, node: *node, progressed_at: None, ended: false };
                self.requests.insert(*request, entry);
            }
            ObservedEvent::AttemptArrived { server, node, request, .. } => {
                if let Some(t) = self.requests.get_mut(request) {
                    t.progressed_at.get_or_insert(o.at);
                }
                self.attempts.push(Attempt { at: o.at, node: *node, server: *server });
            }
            ObservedEvent::AttemptEnded { server, outcome, .. } if *server != self.origin => match outcome {
                AttemptOutcome::Value(_) => self.reads.push((o.at, true)),
                AttemptOutcome::Miss => self.reads.push((o.at, false)),
                _ => {}
            },
            ObservedEvent::ReplyReceived { request, .. } => {
                if let Some(t) = self.requests.get_mut(request) {
                    t.progressed_at.get_or_insert(o.at);
                }
                self.record_end(*request, |totals| &mut totals.answered);
            }
            ObservedEvent::MalformedReply { request }
            | ObservedEvent::TruncatedReply { request }
            | ObservedEvent::ConnectionLost { request, .. } => {
                self.record_end(*request, |totals| &mut totals.lost);
            }
            ObservedEvent::ClientLeft { request, .. } => {
                self.record_end(*request, |totals| &mut totals.abandoned)
            }
            ObservedEvent::RacedWithClose { request } => {
                self.record_end(*request, |totals| &mut totals.raced_with_close)
            }
            ObservedEvent::CacheServerCollapsed { .. } => self.collapses.push(o.at),
            _ => {}
        }
    }

    fn record_end(&mut self, request: RequestId, count: impl FnOnce(&mut RequestTotals) -> &mut u64) {
        let Some(t) = self.requests.get_mut(&request) else { return };
        if std::mem::replace(&mut t.ended, true) {
            self.totals.ended_twice += 1;
        } else {
            *count(&mut self.totals) += 1;
        }
    }

    /// Adds a first try that has ended.
    pub fn record_completed(&mut self, completed: CompletedRequest) {
        self.completed.push(completed);
    }

    /// The counts of all requests so far.
    pub fn totals(&self) -> RequestTotals {
        let unfinished = self.requests.values().filter(|t| !t.ended).count() as u64;
        RequestTotals { unfinished, ..self.totals }
    }

    /// Whether a request sent to this node since then has been answered or forwarded.
    pub fn has_served(&self, node: NodeIndex, since: Duration) -> bool {
        self.requests
            .values()
            .rev()
            .take_while(|t| t.sent_at >= since)
            .any(|t| t.node == node && t.progressed_at.is_some())
    }

    /// Whether a cache server or the origin has received an attempt since then.
    pub fn has_received_attempt(&self, server: ServerIndex, since: Duration) -> bool {
        self.attempts.iter().rev().take_while(|a| a.at >= since).any(|a| a.server == server)
    }

    fn has_waited(&self, t: &TrackedRequest) -> bool {
        t.progressed_at.is_none_or(|progressed_at| progressed_at > t.sent_at + self.wait_limit)
    }

    /// Time that a node took to react to a fault: from then on, for a whole window, its requests don't wait for unresponsive
    /// servers. Requests younger than the wait limit can't be judged yet. `None` if it has not reacted by `now`.
    fn reaction_time(&self, node: NodeIndex, since: Duration, now: Duration) -> Option<Duration> {
        let judged_until = now.saturating_sub(self.wait_limit);
        let requests: Vec<(Duration, bool)> = self
            .requests
            .values()
            .filter(|t| t.node == node && t.sent_at >= since && t.sent_at <= judged_until)
            .map(|t| (t.sent_at, self.has_waited(t)))
            .collect();
        let mut end = 0;
        let mut waited = 0;
        for begin in 0..requests.len() {
            let from = if begin == 0 { since } else { requests[begin].0 };
            while end < requests.len() && requests[end].0 < from + REACTION_WINDOW {
                waited += usize::from(requests[end].1);
                end += 1;
            }
            if from + REACTION_WINDOW > judged_until {
                return None;
            }
            let all = end - begin;
            if all >= MIN_REQUESTS && waited as f64 <= MAX_WAITING_SHARE * all as f64 && !requests[begin].1 {
                return Some(from - since);
            }
            waited -= usize::from(requests[begin].1);
        }
        None
    }

    /// The times that the nodes took to react to a fault, in ascending order; nodes that have not by `now` are left out.
    pub fn reaction_times(&self, since: Duration, now: Duration) -> Vec<Duration> {
        let nodes: std::collections::BTreeSet<NodeIndex> = self.requests.values().map(|t| t.node).collect();
        let mut times: Vec<Duration> =
            nodes.into_iter().filter_map(|n| self.reaction_time(n, since, now)).collect();
        times.sort();
        times
    }

    /// Number of nodes that clients have sent requests to.
    pub fn node_count(&self) -> usize {
        self.requests.values().map(|t| t.node).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Share of the first tries due in an interval that were served in time; `None` if there were none.
    fn in_time_share(&self, from: Duration, until: Duration) -> Option<f64> {
        self.in_time_share_of_class(None, from, until)
    }

    fn in_time_share_of_class(&self, class: Option<usize>, from: Duration, until: Duration) -> Option<f64> {
        let (mut all, mut in_time) = (0, 0);
        let within = |p: &&CompletedRequest| {
            p.due_at >= from && p.due_at < until && class.is_none_or(|c| c == p.class)
        };
        for p in self.completed.iter().filter(within) {
            all += 1;
            in_time +=
                u64::from(p.outcome == FinalOutcome::Served && p.latency <= self.target_latencies[p.class]);
        }
        (all > 0).then(|| in_time as f64 / all as f64)
    }

    /// Per second since the start: the number of first tries, and the share of them that was served in time.
    pub fn per_second(&self) -> Vec<(u64, f64)> {
        let last = self.completed.iter().map(|p| p.due_at.as_secs() + 1).max().unwrap_or(0);
        let second = |s: u64| {
            let (from, until) = (Duration::from_secs(s), Duration::from_secs(s + 1));
            let all = self.completed.iter().filter(|p| p.due_at >= from && p.due_at < until).count() as u64;
            (all, self.in_time_share(from, until).unwrap_or(1.0))
        };
        (0..last).map(second).collect()
    }

    /// A metric over an interval. `None` if there are no observations for it, or what it measures the time to has not come.
    pub fn metric(
        &self,
        metric: Metric,
        MetricScope { zone, class }: MetricScope,
        from: Duration,
        until: Duration,
    ) -> Option<f64> {
        let within = |at: Duration| at >= from && at < until;
        let in_scope = |p: &&CompletedRequest| within(p.due_at) && class.is_none_or(|c| c == p.class);
        let completed: Vec<&CompletedRequest> = self.completed.iter().filter(in_scope).collect();
        let share = |matches: &dyn Fn(&CompletedRequest) -> bool| {
            (!completed.is_empty())
                .then(|| completed.iter().filter(|p| matches(p)).count() as f64 / completed.len() as f64)
        };
        let sent = || self.attempts.iter().filter(|a| within(a.at) && a.server != self.origin);
        let share_leaving = |other: &dyn Fn(usize, usize) -> bool| {
            let (all, out) = sent().fold((0u64, 0u64), |(all, out), a| {
                (
                    all + 1,
                    out + u64::from(other(self.topology.zone_of(a.node), self.topology.zone_of(a.server))),
                )
            });
            (all > 0).then(|| out as f64 / all as f64)
        };
        let quantile = |q: f64| {
            let served = completed.iter().filter(|p| p.outcome == FinalOutcome::Served);
            let mut latencies: Vec<f64> = served.map(|p| p.latency.as_secs_f64() * 1e3).collect();
            latencies.sort_by(f64::total_cmp);
            latencies
                .get(((latencies.len() as f64 * q) as usize).min(latencies.len().saturating_sub(1)))
                .copied()
        };
        let reaction_time_of = |share: f64| {
            let times = self.reaction_times(from, until);
            let needed = (self.node_count() as f64 * share).ceil() as usize;
            times.get(needed.max(1) - 1).map(Duration::as_secs_f64)
        };
        match metric {
            Metric::InTime => self.in_time_share_of_class(class, from, until),
            Metric::Refused => share(&|p| p.outcome == FinalOutcome::Refused),
            Metric::Failed => {
                share(&|p| matches!(p.outcome, FinalOutcome::Failed | FinalOutcome::Unanswered))
            }
            Metric::P50Ms => quantile(0.5),
            Metric::P99Ms => quantile(0.99),
            Metric::LeavesZone => share_leaving(&|a, b| a != b),
            Metric::LeavesRegion => {
                share_leaving(&|a, b| self.topology.region_of[a] != self.topology.region_of[b])
            }
            Metric::HitShare => {
                let (all, hits) = self
                    .reads
                    .iter()
                    .filter(|(at, _)| within(*at))
                    .fold((0u64, 0u64), |(all, hits), (_, hit)| (all + 1, hits + u64::from(*hit)));
                (all > 0).then(|| hits as f64 / all as f64)
            }
            Metric::OriginCalls => {
                let calls = self.attempts.iter().filter(|a| within(a.at) && a.server == self.origin).count();
                (!completed.is_empty()).then(|| calls as f64 / completed.len() as f64)
            }
            Metric::Waits => {
                let sent: Vec<&TrackedRequest> =
                    self.requests.values().filter(|t| within(t.sent_at)).collect();
                let waited = sent.iter().filter(|t| self.has_waited(t)).count();
                (!sent.is_empty()).then(|| waited as f64 / sent.len() as f64)
            }
            Metric::ActsHalfS => reaction_time_of(0.5),
            Metric::ActsMostS => reaction_time_of(0.9),
            Metric::Split => Some(self.split(zone?, from, until)),
            Metric::BackS => self.time_to_recover(from, until),
            Metric::ZoneShare => self.zone_share(zone?, |_| true, from, until),
            Metric::ZoneAsked => {
                let sent = self.requests.values().filter(|t| within(t.sent_at));
                let (all, there) = sent.fold((0u64, 0u64), |(all, there), t| {
                    (all + 1, there + u64::from(Some(self.topology.zone_of(t.node)) == zone))
                });
                (all > 0).then(|| there as f64 / all as f64)
            }
            Metric::ReturnedS => self.time_to_return(zone?, from, until),
            // Computed from the nodes' logs, which the tracker doesn't see.
            Metric::Moves | Metric::Agree => None,
            Metric::Fallen => Some(self.collapses.iter().filter(|at| within(**at)).count() as f64),
        }
    }

    /// The share of the nodes that has given a zone up, or of those that have not, whichever is less.
    fn split(&self, zone: usize, from: Duration, until: Duration) -> f64 {
        let share = |node, since, to| self.zone_share(zone, |a| a.node == node, since, to).unwrap_or(0.0);
        let nodes: std::collections::BTreeSet<NodeIndex> = self.attempts.iter().map(|a| a.node).collect();
        let (mut all, mut gave_up) = (0u64, 0u64);
        for node in nodes {
            let before = share(node, Duration::ZERO, from);
            if before > 0.01 {
                all += 1;
                gave_up += u64::from(share(node, from, until) < before * GIVEN_UP_SHARE);
            }
        }
        let gave_up_share = if all == 0 { 0.0 } else { gave_up as f64 / all as f64 };
        gave_up_share.min(1.0 - gave_up_share)
    }

    /// Share of the selected attempts in an interval that went to a zone; `None` if there were none.
    fn zone_share(
        &self,
        zone: usize,
        in_scope: impl Fn(&Attempt) -> bool,
        from: Duration,
        until: Duration,
    ) -> Option<f64> {
        let within = |a: &&Attempt| a.at >= from && a.at < until && a.server != self.origin && in_scope(a);
        let sent = self.attempts.iter().filter(within);
        let (all, there) = sent.fold((0u64, 0u64), |(all, there), a| {
            (all + 1, there + u64::from(self.topology.zone_of(a.server) == zone))
        });
        (all > 0).then(|| there as f64 / all as f64)
    }

    /// Seconds until a zone gets [`RETURNED_SHARE`] of its usual share in two checks in a row.
    fn time_to_return(&self, zone: usize, from: Duration, until: Duration) -> Option<f64> {
        let second = Duration::from_secs(1);
        let settled = self.requests.values().next()?.sent_at + second.mul_f64(WARM_UP_S);
        let usual_share =
            self.zone_share(zone, |_| true, settled, settled + second.mul_f64(ZONE_BASELINE_S))?;
        let is_usual = |at: Duration| {
            self.zone_share(zone, |_| true, at, at + second)
                .is_some_and(|s| s >= RETURNED_SHARE * usual_share)
        };
        let mut at = from;
        while at + RETURN_CHECK_INTERVAL + second <= until {
            if is_usual(at) && is_usual(at + RETURN_CHECK_INTERVAL) {
                return Some((at - from).as_secs_f64());
            }
            at += RETURN_CHECK_INTERVAL;
        }
        None
    }

    /// Seconds until two seconds in a row reach [`RECOVERED_SHARE`] of the usual share in time.
    fn time_to_recover(&self, from: Duration, until: Duration) -> Option<f64> {
        let usual_share = self.in_time_share(Duration::from_secs_f64(WARM_UP_S), from)?;
        let second = Duration::from_secs(1);
        let is_usual = |at: Duration| {
            self.in_time_share(at, at + second).is_none_or(|share| share >= RECOVERED_SHARE * usual_share)
        };
        let mut at = from;
        while at + second * 2 <= until {
            if is_usual(at) && is_usual(at + second) {
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

    fn empty_tracker() -> RequestTracker {
        let scenario = Scenario::read(include_str!("../../../scenarios/site.toml")).unwrap();
        let topology = Topology::new(&scenario, &[], None).unwrap();
        let trial = Trial {
            name: "t".into(),
            about: String::new(),
            scenario,
            topology,
            link_delays: Default::default(),
            discovery: Default::default(),
            steps: Vec::new(),
            expectations: Vec::new(),
            older_nodes: Vec::new(),
            operations_enabled: false,
            inherited_sockets: false,
        };
        RequestTracker::new(&trial)
    }

    fn in_zone(zone: usize) -> MetricScope {
        MetricScope { zone: Some(zone), ..MetricScope::default() }
    }

    fn ms(at: u64) -> Duration {
        Duration::from_millis(at)
    }

    fn sent(tracker: &mut RequestTracker, at: u64, request: RequestId, node: NodeIndex) {
        let (first, timeout) = (request, ms(1000));
        let event = ObservedEvent::RequestSent {
            request,
            first_try: first,
            node,
            class: 0,
            tenant: 0,
            key: 7,
            timeout,
        };
        tracker.observe(&Observation { at: ms(at), event });
    }

    fn arrived(
        tracker: &mut RequestTracker,
        at: u64,
        request: RequestId,
        node: NodeIndex,
        server: ServerIndex,
    ) {
        let event = ObservedEvent::AttemptArrived {
            server,
            node,
            request,
            is_write: false,
            work: 1.0,
            running: 0,
            received_at: ms(at),
            deadline: ms(at),
        };
        tracker.observe(&Observation { at: ms(at), event });
    }

    #[test]
    fn a_node_has_reacted_when_its_requests_no_longer_wait_for_a_lost_server() {
        let mut tracker = empty_tracker();
        for i in 0..400u64 {
            let (at, node) = (i * 20, (i % 2) as usize);
            sent(&mut tracker, at, i, node);
            // Node 0 lets one in four requests wait until 3 s, node 1 until 5 s; the wait limit is 150 ms here.
            let waits = at >= 1000 && at < if node == 0 { 3000 } else { 5000 } && i / 2 % 4 == 0;
            arrived(&mut tracker, at + if waits { 400 } else { 5 }, i, node, 0);
        }
        let times = tracker.reaction_times(ms(1000), ms(8000));
        assert_eq!(times.len(), 2);
        assert!(times[0] > ms(1500) && times[0] <= ms(2050), "{times:?}");
        assert!(times[1] > ms(3500) && times[1] <= ms(4050), "{times:?}");
        assert_eq!(tracker.reaction_times(ms(1000), ms(4000)).len(), 1, "node 1 has not reacted by then");
        assert!(tracker.metric(Metric::ActsMostS, MetricScope::default(), ms(1000), ms(4000)).is_none());
    }

    #[test]
    fn requests_with_no_end_or_two_are_counted_and_a_zone_given_up_by_half_of_the_nodes_is_split() {
        let mut tracker = empty_tracker();
        for i in 0..200u64 {
            let (at, node) = (i * 10, (i % 2) as usize);
            sent(&mut tracker, at, i, node);
            let zone = if at >= 1000 && node == 1 { 0 } else { i / 2 % 2 };
            arrived(&mut tracker, at + 1, i, node, zone as usize);
        }
        let answered = |request| {
            let reply = chalksill_world::observe::Reply::Failed;
            Observation {
                at: ms(3000),
                event: ObservedEvent::ReplyReceived { request, reply, slow_reader: false },
            }
        };
        (0..199).for_each(|i| tracker.observe(&answered(i)));
        tracker.observe(&answered(7));
        let totals = tracker.totals();
        assert_eq!((totals.sent, totals.answered, totals.unfinished, totals.ended_twice), (200, 199, 1, 1));
        assert_eq!(tracker.metric(Metric::Split, in_zone(1), ms(1000), ms(2000)), Some(0.5));
        assert_eq!(tracker.metric(Metric::Split, in_zone(0), ms(1000), ms(2000)), Some(0.0));
        let share_leaving =
            tracker.metric(Metric::LeavesZone, MetricScope::default(), ms(0), ms(1000)).unwrap();
        assert!((share_leaving - 0.5).abs() < 0.02, "{share_leaving}");
        assert_eq!(tracker.metric(Metric::LeavesRegion, MetricScope::default(), ms(0), ms(2000)), Some(0.0));
    }

    #[test]
    fn a_zone_has_returned_when_it_gets_most_of_its_first_share_again() {
        let mut tracker = empty_tracker();
        for i in 0..1000u64 {
            let at = i * 10;
            sent(&mut tracker, at, i, 0);
            // Half of all attempts until 3 s, none until 6 s, a tenth until 8 s, then half again.
            let there = match at {
                3000..6000 => false,
                6000..8000 => i % 10 == 0,
                _ => i % 2 == 0,
            };
            arrived(&mut tracker, at + 1, i, 0, usize::from(there));
        }
        let returned = |until| tracker.metric(Metric::ReturnedS, in_zone(1), ms(6000), ms(until));
        let after = returned(10_000).unwrap();
        assert!((1.5..=2.0).contains(&after), "{after}");
        assert_eq!(returned(8000), None, "the zone has not returned by then");
    }
}
