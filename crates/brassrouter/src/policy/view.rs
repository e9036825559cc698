//! Read access to the state of a [`Policy`] from outside.

use serde::Serialize;

use super::*;

/// A snapshot of what a node knows, for operators and for the embedding node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct View {
    /// Requests without a final answer.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// Multiple of its quota that a tenant may send.
    #[serde(rename = "level")]
    pub admission_level: f64,
    /// Signs of overload per attempt, here and at the peers received recently.
    #[serde(rename = "strain")]
    pub overload: f64,
    /// Whether the embedding node reports a storm.
    pub storm: bool,
    /// Retries that may still be made.
    pub retry_budget: f64,
    /// Limit of outstanding calls to the origin.
    pub gate_limit: f64,
    /// Outstanding calls to the origin: all, and fetches.
    #[serde(rename = "gate_out")]
    pub gate_outstanding: [u32; 2],
    /// Calls to the origin begun in the current window: all, and fetches.
    #[serde(rename = "gate_tally")]
    pub gate_calls_in_window: [u32; 2],
    /// The servers of the list; in the order of the request's key if a request was given.
    pub servers: Vec<ServerView>,
}

/// What a node knows about a server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerView {
    /// Id of the server.
    pub id: ServerId,
    /// Whether it is the origin.
    pub origin: bool,
    /// Its condition in the server list.
    pub condition: Condition,
    /// Attempts in flight from this node.
    pub in_flight: u32,
    /// How many of them were overtaken by later ones.
    pub overtaken: u32,
    /// Attempts in flight from which the server is skipped.
    #[serde(rename = "bound")]
    pub load_bound: f64,
    /// The share of its keys that it keeps while in trouble.
    #[serde(rename = "part")]
    pub key_share: f64,
    /// The share of its capacity that it has at least.
    #[serde(rename = "warmth")]
    pub capacity_share: f64,
    /// Level and depth of the slow-start bucket.
    #[serde(rename = "cold")]
    pub slow_start_bucket: (f64, f64),
    /// Estimated time until the attempts in flight are answered.
    pub backlog: Micros,
    /// Its weight.
    pub weight: f64,
    /// Whether the request has tried it, or its class may not be sent there.
    #[serde(rename = "ruled_out")]
    pub excluded: bool,
}

impl Policy {
    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The clock value of the latest event.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Requests refused or failed since the last log line about them, by reason.
    pub fn refusal_counts(&self) -> impl Iterator<Item = (&'static str, u32)> {
        RefusalLog::REASON_NAMES.into_iter().zip(self.refusal_log.0)
    }

    /// The servers of the current list.
    pub fn listed_servers(&self) -> Vec<ServerEntry> {
        self.servers.values().map(|s| s.entry.clone()).filter(|e| e.condition != Condition::Gone).collect()
    }

    /// The present capacity of the cache servers, as a share of that of all recently listed ones when warm.
    pub fn fleet_capacity_share(&self) -> f64 {
        let now: f64 = self
            .ready_servers(false)
            .map(|s| self.weight(s) * s.capacity_share(self.now, &self.settings))
            .sum();
        let total = self.recent_class_weights.iter().copied().fold(0.0, f64::max);
        if total > 0.0 { (now / total).min(1.0) } else { 0.0 }
    }

    /// The number of cache servers in the list, and how many of them are avoided: those that drain, and those
    /// in trouble that keep less than half of their keys.
    pub fn known_and_avoided_servers(&self) -> (usize, usize) {
        let listed = self.servers.values().filter(|s| !s.is_origin && s.entry.condition != Condition::Gone);
        listed.fold((0, 0), |(known, avoided), s| {
            let is_avoided = s.entry.condition != Condition::Ready || s.key_share < AVOIDED_KEY_SHARE;
            (known + 1, avoided + usize::from(is_avoided))
        })
    }

    /// Outstanding calls to the origin, and their present limit: this process's part of it if several
    /// processes run as one node.
    pub fn origin_calls(&self) -> (u32, u32) {
        (self.gate.outstanding[0], self.gate.outstanding_limit(self.now, self.process_count))
    }

    /// How many calls to the origin the node could use now: those outstanding, and requests that wait for
    /// one.
    pub fn origin_calls_wanted(&self) -> u32 {
        let waits = |p: &&PendingRequest| p.in_flight == 0 && (p.is_write || p.missed);
        self.gate.outstanding[0] + self.pending.values().filter(waits).count() as u32
    }

    /// What is left of the current allowance. It is not part of the saved state: whoever restores that must
    /// send the allowance again.
    pub fn origin_allowance(&self) -> Option<OriginAllowance> {
        self.gate.allowance
    }

    /// The state that the next incarnation would have to take over if this process ended now.
    pub fn inheritable_state(&self) -> InheritedState {
        let max_deadline = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let at_origin = self.in_flight_attempts.iter().filter(|(_, a)| a.kind != AttemptKind::Cache);
        let origin_calls = at_origin.map(|((request, _), a)| {
            // The origin is given the time-out of each call and drops the call then.
            let until = self.pending.get(request).map_or(a.sent_at + max_deadline, |p| p.expires_at);
            (a.kind == AttemptKind::Fetch, until)
        });
        let gate = &self.gate;
        InheritedState {
            origin_calls: origin_calls.collect(),
            window_start: gate.window_start,
            calls_in_window: gate.calls_in_window,
            outstanding_limit: gate.limit,
            keyed_writes: self.keyed_writes.to_vec(),
        }
    }

    /// A snapshot; with a pending request, its servers are in the order that this request follows.
    pub fn view(&self, request: Option<RequestId>) -> View {
        let pending = request.and_then(|id| self.pending.get(&id));
        let (class, order_key) = pending.map_or((0, 0), |p| (p.class, p.order_key));
        let min_bound = (MIN_LOAD_BOUND_ATTEMPTS / f64::from(self.settings.node_count.max(2))).max(2.0);
        let target_latency =
            self.settings.classes.get(class).map_or(self.max_target_latency, |c| c.target_latency);
        let mut servers: Vec<(f64, ServerView)> = Vec::new();
        for s in self.servers.values().filter(|s| s.entry.condition != Condition::Gone) {
            let (due, total) =
                if class < self.class_weights.len() { self.due_share(s, class, false) } else { (0.0, 1.0) };
            let bound =
                LOAD_BOUND_MULTIPLE * f64::from(self.cache_attempts_in_flight + 1) * due / total.max(0.01);
            let view = ServerView {
                id: s.entry.id,
                origin: s.is_origin,
                condition: s.entry.condition,
                in_flight: s.in_flight,
                overtaken: s.overtaken,
                load_bound: bound.max(min_bound),
                key_share: s.key_share,
                capacity_share: s.capacity_share(self.now, &self.settings),
                slow_start_bucket: if class < self.recent_class_weights.len() {
                    self.slow_start_bucket(s, class)
                } else {
                    (0.0, 0.0)
                },
                backlog: s.backlog(self.now, target_latency, BACKLOG_CREDIT_ANSWERS) as Micros,
                weight: self.weight(s),
                excluded: pending.is_some_and(|p| p.tried.contains(&s.entry.id) || !self.may_use(p.class, s)),
            };
            servers.push((self.key_order_rank(order_key, s), view));
        }
        if pending.is_some() {
            servers.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
        View {
            open_requests: self.pending.len(),
            admission_level: self.admission_level,
            overload: self.peers.overload(&self.overload).value(),
            storm: self.storm,
            retry_budget: self.retry_budget,
            gate_limit: self.gate.limit,
            gate_outstanding: self.gate.outstanding,
            gate_calls_in_window: self.gate.calls_in_window,
            servers: servers.into_iter().map(|(_, s)| s).collect(),
        }
    }
}
