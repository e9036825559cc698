//! The state of a node: plain types, the queue of scheduled tasks and the placement hash. No decisions are
//! made here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::attempts::Attempts;
use crate::estimate::{LatencyEstimate, Rate, Ratio};
use crate::interface::{Action, Key, Micros, RequestId, ServerEntry, ServerId, Settings};
use crate::random::Random;

/// The purpose of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptKind {
    /// A read at a cache server.
    Cache,
    /// A read at the origin after a miss.
    Fetch,
    /// A write at the origin.
    Write,
}

/// An attempt that has no outcome yet; it may outlive its request.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct InFlightAttempt {
    pub server: ServerId,
    pub kind: AttemptKind,
    pub sent_at: Micros,
    pub target_latency: Micros,
    /// The attempt counts as slow once it has been in flight for this long.
    pub slow_after: Micros,
    /// Its server has answered an attempt that was sent later.
    pub overtaken: bool,
}

/// A server of the list, and what this node has observed of it.
#[derive(Default, Serialize, Deserialize)]
pub struct Server {
    pub entry: ServerEntry,
    pub is_origin: bool,
    pub in_flight: u32,
    /// How many of them are overtaken: lost or long-running, and not waiting in a queue.
    pub overtaken: u32,
    pub last_answer_at: Micros,
    /// When the newest of the answered attempts was sent.
    pub newest_answered_sent_at: Micros,
    /// Answers within about one latency target, as an exponentially decaying count.
    pub recent_answers: f64,
    /// Signs of trouble in recent attempts.
    pub trouble: Ratio,
    /// The share of its keys that it keeps while in trouble; 1 when healthy.
    pub key_share: f64,
    pub last_outcome_at: Micros,
    /// When it was last sent an attempt, or was reported to have started.
    pub last_used_at: Micros,
    /// Level at that time of the slow-start bucket, which limits bursts while the server is cold.
    pub slow_start_level: f64,
    /// A connection was established and has not been lost or closed since.
    pub connected: bool,
}

impl Server {
    /// The count of recent answers at a time, decaying with a time constant.
    pub fn recent_answers_at(&self, now: Micros, time_constant: Micros) -> f64 {
        self.recent_answers * (-((now - self.last_answer_at) as f64) / time_constant as f64).exp()
    }

    /// Marks an attempt as overtaken if one that was sent later has been answered.
    pub fn mark_overtaken(&mut self, attempt: &mut InFlightAttempt) {
        if self.newest_answered_sent_at > attempt.sent_at && !attempt.overtaken {
            attempt.overtaken = true;
            self.overtaken += 1;
        }
    }

    /// The share of its capacity that the server has at least, by the time since its start.
    pub fn capacity_share(&self, now: Micros, settings: &Settings) -> f64 {
        let age = now.saturating_sub(self.entry.started_at) as f64 / settings.warm_up_time.max(1) as f64;
        let cold = settings.cold_capacity_share;
        if self.entry.started_at == 0 { 1.0 } else { (cold + (1.0 - cold) * age).min(1.0) }
    }

    /// Estimated time until the attempts in flight from this node are answered, at the rate of the latest
    /// answers (Little's law). `credit` is a number of answers for servers that have had few to give.
    pub fn backlog(&self, now: Micros, time_constant: Micros, credit: f64) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.overtaken)) * time_constant as f64
            / (self.recent_answers_at(now, time_constant) + credit)
    }
}

/// A request without a final answer.
#[derive(Default, Serialize, Deserialize)]
pub struct PendingRequest {
    pub class: usize,
    pub key: Key,
    /// The key whose order of servers the request follows: its own, or one of several derived from a hot key.
    pub order_key: Key,
    pub is_write: bool,
    /// The client marked the request as a retry.
    pub is_retry: bool,
    pub missed: bool,
    pub target_at: Micros,
    pub expires_at: Micros,
    pub attempts: Attempts,
    pub in_flight: u16,
    /// Attempts that are running or may have run.
    pub may_have_run: u16,
    pub tried: Vec<ServerId>,
    /// The server at which a connection of this request was lost last.
    pub connection_lost_at: Option<ServerId>,
    /// Number of the current postponement; a task that was scheduled for an earlier one is ignored.
    pub postponement: u32,
}

/// Something to be done at a certain time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ScheduledTask {
    /// End a request whose time is up.
    Expire(RequestId),
    /// Continue with a postponed request, by the number of its postponement.
    Resume(RequestId, u32),
    /// Check whether an attempt is still without an answer.
    CheckSlow(RequestId, u16),
    /// Subscribe to the server list.
    Subscribe,
    /// Close idle connections to a draining server.
    CloseDrained(ServerId),
    /// Review the estimates.
    Review,
    /// Stop counting a call of an earlier incarnation.
    EndInheritedCall(AttemptKind),
}

/// Deduplicated writes that may have run, by key, with the time at which the earliest attempt was sent. A
/// retry after the deduplication window would run again.
#[derive(Default, Serialize, Deserialize)]
pub struct KeyedWrites(BTreeMap<Key, Micros>);

impl KeyedWrites {
    /// Most writes that are remembered. Retries of others are as unknown as those of writes at other nodes.
    const MAX_WRITES: usize = 4096;

    /// Records that a write is sent, if its class has a deduplication window. A first try is a new write; a
    /// retry belongs to the write that is known.
    pub fn record_sent(&mut self, key: Key, window: Option<Micros>, now: Micros, is_retry: bool) {
        if window.is_some() && !(is_retry && self.0.contains_key(&key)) && self.0.len() < Self::MAX_WRITES {
            self.0.insert(key, now);
        }
    }

    /// Whether the deduplication window of a key's write has ended by a time.
    pub fn window_over(&self, key: Key, window: Option<Micros>, time: Micros) -> bool {
        self.0.get(&key).zip(window).is_some_and(|(first, window)| time >= first + window)
    }

    /// Takes over the writes of an earlier incarnation.
    pub fn inherit(&mut self, writes: Vec<(Key, Micros)>) {
        self.0.extend(writes.into_iter().take(Self::MAX_WRITES));
    }

    /// Forgets a write of which no attempt has run.
    pub fn forget(&mut self, key: Key) {
        self.0.remove(&key);
    }

    /// Forgets the writes that were first sent before a time.
    pub fn forget_before(&mut self, time: Micros) {
        self.0.retain(|_, first| *first >= time);
    }

    /// All writes, each with the time of its earliest attempt.
    pub fn to_vec(&self) -> Vec<(Key, Micros)> {
        self.0.iter().map(|(key, first)| (*key, *first)).collect()
    }
}

/// What is known about a machine type: a factor on its weight, its reported CPU utilization, and its latency.
#[derive(Serialize, Deserialize)]
pub struct MachineType {
    pub weight: f64,
    pub busy: Ratio,
    pub latency: LatencyEstimate,
}

impl MachineType {
    /// Adjusts the weight in proportion to how much less busy than the fleet the type reports to be. `decay`
    /// is the share of the reports that is kept.
    pub fn weigh(&mut self, fleet_busy: f64, (step, min_weight, decay): (f64, f64, f64)) {
        if self.busy.total >= 1.0 {
            self.weight = (self.weight * (1.0 + step * (fleet_busy - self.busy.value())))
                .clamp(min_weight, 1.0 / min_weight);
            self.busy.decay(decay);
        }
    }
}

impl Default for MachineType {
    fn default() -> Self {
        MachineType { weight: 1.0, busy: Ratio::default(), latency: LatencyEstimate::default() }
    }
}

/// The request rate of a tenant at this node, and its unspent admission credit.
#[derive(Default, Clone, Serialize, Deserialize)]
pub struct TenantState {
    pub rate: Rate,
    pub credit: f64,
    /// Client retries that are still allowed while they are limited to a share of the first tries.
    pub retries_left: f64,
}

/// Spaces the return of clients that were refused in a storm; holds the time of the last place assigned.
#[derive(Default, Serialize, Deserialize)]
pub struct VirtualQueue(Micros);

impl VirtualQueue {
    /// Assigns a number of places, at a rate of places per second; returns the time until the last of them.
    fn next_place(&mut self, now: Micros, per_s: f64, places: f64) -> Micros {
        self.0 = self.0.max(now) + (places * 1e6 / per_s.max(1.0)) as Micros;
        self.0 - now
    }

    /// A retry delay around the next place, given the places per second and the places to assign. If the
    /// queue is longer than the longest delay that clients honour, the delay is random in the second half of
    /// that, since all clients at its end would return at the same time. Places beyond that are assigned
    /// again.
    pub fn retry_delay(
        &mut self,
        now: Micros,
        rate_and_places: (f64, f64),
        max: Micros,
        jitter: f64,
        rng: &mut Random,
    ) -> Micros {
        let delay = self.next_place(now, rate_and_places.0, rate_and_places.1) as f64;
        self.0 = self.0.min(now + max);
        let base_and_range =
            if delay < max as f64 { (delay, (1.0 - jitter, 1.0 + jitter)) } else { (max as f64, (0.5, 1.0)) };
        (base_and_range.0 * rng.between(base_and_range.1)) as Micros
    }
}

/// Metrics that a node sends to its peers: request rates by tenant, signs of overload, signs of trouble by
/// server, and typical latencies by machine type.
#[derive(Default, Serialize, Deserialize)]
pub struct PeerMetrics {
    pub tenant_rates: Vec<f64>,
    pub overload: Ratio,
    pub trouble: Vec<(ServerId, f64)>,
    pub latencies: Vec<(u16, f64)>,
}

/// The latest metrics of each peer, and when they were received.
#[derive(Default, Serialize, Deserialize)]
pub struct Peers(BTreeMap<u32, (Micros, PeerMetrics)>);

impl Peers {
    /// In a message, ids from here on stand for machine types instead of servers: the difference is the
    /// number of the type, and the value is its typical latency.
    const FIRST_MACHINE_TYPE: ServerId = ServerId::MAX - u16::MAX as ServerId;

    /// A message of at most 256 bytes. Values are the upper halves of 32-bit floats: the two counts of
    /// overload, a rate for each of up to 64 tenants, then 6 bytes each for up to 4 machine types and up to
    /// 16 servers with signs of trouble, those with the most signs first.
    pub fn message(
        overload: &Ratio,
        tenants: &[TenantState],
        machine_types: &BTreeMap<u16, MachineType>,
        servers: &BTreeMap<ServerId, Server>,
    ) -> Vec<u8> {
        let upper_half = |f: f64| (((f as f32).to_bits() >> 16) as u16).to_le_bytes();
        let rates = tenants.iter().take(64).map(|t| t.rate.per_s);
        let mut bytes: Vec<u8> =
            [overload.cases, overload.total].into_iter().chain(rates).flat_map(upper_half).collect();
        let mut troubled: Vec<_> = servers.iter().filter(|(_, s)| s.trouble.cases >= 0.25).collect();
        troubled.sort_by(|a, b| b.1.trouble.cases.total_cmp(&a.1.trouble.cases));
        let latencies = machine_types
            .iter()
            .filter_map(|(id, t)| Some((Self::FIRST_MACHINE_TYPE + u32::from(*id), t.latency.typical()?)));
        let trouble = troubled.into_iter().take(16).map(|(id, s)| (*id, s.trouble.cases));
        for (id, value) in latencies.take(4).chain(trouble) {
            bytes.extend(id.to_le_bytes());
            bytes.extend(upper_half(value));
        }
        bytes
    }

    /// The next recipients in turn, at most `max`; `last` is the distance from this node to the last one.
    pub fn next_recipients(last: &mut u32, node_index: u32, node_count: u32, max: u32) -> Vec<u32> {
        let others = node_count.saturating_sub(1);
        let mut next = || {
            *last = *last % others + 1;
            (node_index + *last) % node_count
        };
        (0..others.min(max)).map(|_| next()).collect()
    }

    /// Stores the metrics of a peer's message; invalid values count as 0.
    pub fn receive(&mut self, now: Micros, from: u32, bytes: &[u8], tenants: usize) {
        let float = |c: &[u8]| f64::from(f32::from_bits(u32::from(u16::from_le_bytes([c[0], c[1]])) << 16));
        let valid = |c: &[u8]| Some(float(c)).filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(0.0);
        let (values, servers) = bytes.split_at((4 + 2 * tenants.min(64)).min(bytes.len()));
        let mut values = values.chunks_exact(2).map(valid);
        let mut next = || values.next().unwrap_or(0.0);
        let overload = Ratio { cases: next(), total: next() };
        let server = |c: &[u8]| (ServerId::from_le_bytes([c[0], c[1], c[2], c[3]]), valid(&c[4..]));
        let (machine_types, trouble): (Vec<_>, Vec<_>) =
            servers.chunks_exact(6).map(server).partition(|(id, _)| *id >= Self::FIRST_MACHINE_TYPE);
        let latencies = machine_types
            .into_iter()
            .map(|(id, typical)| ((id - Self::FIRST_MACHINE_TYPE) as u16, typical))
            .collect();
        self.0.insert(
            from,
            (now, PeerMetrics { tenant_rates: values.collect(), overload, trouble, latencies }),
        );
    }

    /// Signs of trouble at each server, summed over the peers received recently.
    pub fn trouble(&self) -> BTreeMap<ServerId, f64> {
        let mut sums = BTreeMap::new();
        for (server, cases) in self.0.values().flat_map(|(_, m)| &m.trouble) {
            *sums.entry(*server).or_default() += cases;
        }
        sums
    }

    /// Latency of a machine type here and at the peers received recently.
    pub fn latency(&self, machine_type: u16, own: &LatencyEstimate) -> LatencyEstimate {
        let mut latency = *own;
        let reported = self.0.values().flat_map(|(_, m)| &m.latencies).filter(|(of, _)| *of == machine_type);
        reported.for_each(|(_, typical)| latency.record_reported(*typical));
        latency
    }

    /// Request rate of a tenant at all nodes, extrapolated from the peers received recently, which are at
    /// most `max_received`. Without any, all nodes are assumed to be alike.
    pub fn total_rate(&self, tenant: usize, own: f64, node_count: u32, max_received: u32) -> f64 {
        let others = node_count.max(2) - 1;
        let peers_per_received = f64::from(others) / f64::from(others.min(max_received));
        self.received_rate(tenant)
            .map_or(own * f64::from(node_count.max(1)), |received| own + received * peers_per_received)
    }

    /// Request rate of a tenant at the peers received recently; `None` if there are none.
    fn received_rate(&self, tenant: usize) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.values().filter_map(|(_, m)| m.tenant_rates.get(tenant)).sum())
    }

    /// Signs of overload here and at the peers received recently.
    pub fn overload(&self, own: &Ratio) -> Ratio {
        let mut overload = *own;
        self.0.values().for_each(|(_, m)| overload.add(m.overload.cases, m.overload.total));
        overload
    }

    /// Forgets the peers that were last received before a time.
    pub fn forget_silent_since(&mut self, time: Micros) {
        self.0.retain(|_, (received_at, _)| *received_at >= time);
    }
}

/// Scheduled tasks in the order of their times. One timer of the embedding node serves all of them.
#[derive(Default, Serialize, Deserialize)]
pub struct ScheduledTasks {
    queue: BinaryHeap<Reverse<(Micros, ScheduledTask)>>,
    /// When the timers that are set fire; several if an earlier one was set after a later one.
    armed: BTreeSet<Micros>,
}

impl ScheduledTasks {
    /// Schedules a task.
    pub fn schedule(&mut self, time: Micros, task: ScheduledTask) {
        self.queue.push(Reverse((time, task)));
    }

    /// Notes that the timers up to now have fired.
    pub fn timer_fired(&mut self, now: Micros) {
        self.armed = self.armed.split_off(&(now + 1));
    }

    /// The next task that is due. If none is, makes sure that a timer is set for the first.
    pub fn next_due(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<ScheduledTask> {
        let &Reverse((time, task)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(task);
        }
        if self.armed.first().is_none_or(|first| time < *first) {
            self.armed.insert(time);
            out.push(Action::Timer { after: time - now, token: 0 });
        }
        None
    }
}

/// A hash between 0 and 1 of a key, a server and a purpose.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    ((xxh3_64_with_seed(&bytes, purpose) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
