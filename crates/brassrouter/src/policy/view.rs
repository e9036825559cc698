//! What can be seen of the decisions' state from outside. It is read here, never changed.

use serde::Serialize;

use super::*;

/// What a balancer knows at one moment, for people and for the node round it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct View {
    /// Requests without their final answer.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// Multiple of its quota that a tenant may send.
    #[serde(rename = "level")]
    pub admission_level: f64,
    /// Signs of overload an attempt, here and at the peers heard lately.
    #[serde(rename = "strain")]
    pub overload: f64,
    /// Whether the node has told of a storm.
    pub storm: bool,
    /// Attempts that may still be made again.
    pub retry_budget: f64,
    /// Limit of calls at the origin that may be out.
    pub gate_limit: f64,
    /// Calls at the origin that are out: of all kinds, and fetches.
    #[serde(rename = "gate_out")]
    pub gate_outstanding: [u32; 2],
    /// Calls at the origin in this window: of all kinds, and fetches.
    #[serde(rename = "gate_tally")]
    pub gate_calls_in_window: [u32; 2],
    /// The servers of the list, in the order of the key where one was asked for.
    pub servers: Vec<ServerView>,
}

/// What a balancer knows of a server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerView {
    /// The server.
    pub id: ServerId,
    /// Whether it is the origin.
    pub origin: bool,
    /// What the list says.
    pub condition: Condition,
    /// Attempts in flight from here.
    pub in_flight: u32,
    /// How many of them were overtaken by later ones.
    pub overtaken: u32,
    /// Attempts in flight from which it is passed over.
    #[serde(rename = "bound")]
    pub load_bound: f64,
    /// The part of its keys that it keeps while in trouble.
    #[serde(rename = "part")]
    pub key_share: f64,
    /// The part of its capacity that it has at the least.
    #[serde(rename = "warmth")]
    pub capacity_share: f64,
    /// Level of the bucket that holds bursts while it is cold, and its depth.
    #[serde(rename = "cold")]
    pub slow_start_bucket: (f64, f64),
    /// Time until it has answered what is in flight there.
    pub backlog: Micros,
    /// Its weight.
    pub weight: f64,
    /// Whether the request has been there, or its class may not go there.
    #[serde(rename = "ruled_out")]
    pub excluded: bool,
}

impl Policy {
    /// What it acts on.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The latest clock value that it was told.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many requests ended unserved since its last line about them, by the reason.
    pub fn refusal_counts(&self) -> impl Iterator<Item = (&'static str, u32)> {
        Unserved::NAMES.into_iter().zip(self.unserved.0)
    }

    /// The server list that it holds.
    pub fn listed_servers(&self) -> Vec<ServerEntry> {
        self.servers.values().map(|s| s.line.clone()).filter(|l| l.condition != Condition::Gone).collect()
    }

    /// What the cache servers can do now, as a part of what they can when all are warm that were here lately.
    pub fn fleet_capacity_share(&self) -> f64 {
        let now: f64 = self.ready(false).map(|s| self.weight(s) * s.warmth(self.now, &self.settings)).sum();
        let all = self.weights_lately.iter().copied().fold(0.0, f64::max);
        if all > 0.0 { (now / all).min(1.0) } else { 0.0 }
    }

    /// How many cache servers the list has, and how many of them it avoids now: those that drain, and those in trouble
    /// that keep less than half of their keys.
    pub fn known_and_avoided_servers(&self) -> (usize, usize) {
        let listed = self.servers.values().filter(|s| !s.origin && s.line.condition != Condition::Gone);
        listed.fold((0, 0), |(known, avoided), s| {
            let avoids = s.line.condition != Condition::Ready || s.part < PART.2;
            (known + 1, avoided + usize::from(avoids))
        })
    }

    /// Calls that are out at the origin, and as many as may be now: its part, where two processes are one balancer.
    pub fn origin_calls(&self) -> (u32, u32) {
        (self.gate.out[0], self.gate.most_outstanding(self.now, self.sharers))
    }

    /// How many calls at the origin it could use now: those that are out, and those that wait for one.
    pub fn origin_calls_wanted(&self) -> u32 {
        let waits = |h: &&Held| h.out == 0 && (h.write || h.missed);
        self.gate.out[0] + self.held.values().filter(waits).count() as u32
    }

    /// What is left of the allowance that it was told. The saved state leaves it out: it must be told again with that.
    pub fn origin_allowance(&self) -> Option<OriginAllowance> {
        self.gate.allowance
    }

    /// What it would leave behind if it ended now: what a next life should count.
    pub fn inheritable_state(&self) -> InheritedState {
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let origin = self.flights.iter().filter(|(_, f)| f.call != Call::Cache);
        let calls = origin.map(|((request, _), f)| {
            // The origin is told how long a call is waited for, and drops it then.
            let until = self.held.get(request).map_or(f.sent + longest, |h| h.ends);
            (f.call == Call::Fetch, until)
        });
        let g = &self.gate;
        InheritedState {
            origin_calls: calls.collect(),
            window_start: g.window,
            calls_in_window: g.tally,
            outstanding_limit: g.limit,
            keyed_writes: self.writes.all(),
        }
    }

    /// What it knows now; with a request that is open, in the order of servers that this one follows.
    pub fn view(&self, request: Option<RequestId>) -> View {
        let held = request.and_then(|id| self.held.get(&id));
        let (class, order) = held.map_or((0, 0), |h| (h.class, h.order));
        let floor = (BOUND.1 / f64::from(self.settings.node_count.max(2))).max(2.0);
        let span = self.settings.classes.get(class).map_or(self.aim, |c| c.target_latency);
        let mut servers: Vec<(f64, ServerView)> = Vec::new();
        for s in self.servers.values().filter(|s| s.line.condition != Condition::Gone) {
            let (due, of) = if class < self.weights.len() { self.due(s, class, false) } else { (0.0, 1.0) };
            let bound = BOUND.0 * f64::from(self.cache_out + 1) * due / of.max(0.01);
            let seen = ServerView {
                id: s.line.id,
                origin: s.origin,
                condition: s.line.condition,
                in_flight: s.in_flight,
                overtaken: s.overtaken,
                load_bound: bound.max(floor),
                key_share: s.part,
                capacity_share: s.warmth(self.now, &self.settings),
                slow_start_bucket: if class < self.weights_lately.len() {
                    self.cold_bucket(s, class)
                } else {
                    (0.0, 0.0)
                },
                backlog: s.backlog(self.now, span, FULL.1) as Micros,
                weight: self.weight(s),
                excluded: held.is_some_and(|h| h.tried.contains(&s.line.id) || !self.may_use(h.class, s)),
            };
            servers.push((self.place(order, s), seen));
        }
        if held.is_some() {
            servers.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
        View {
            open_requests: self.held.len(),
            admission_level: self.level,
            overload: self.peers.strain(&self.strain).value(),
            storm: self.storm,
            retry_budget: self.retry_budget,
            gate_limit: self.gate.limit,
            gate_outstanding: self.gate.out,
            gate_calls_in_window: self.gate.tally,
            servers: servers.into_iter().map(|(_, s)| s).collect(),
        }
    }
}
