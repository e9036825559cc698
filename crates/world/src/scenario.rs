//! Scenarios: the configuration of a simulated environment, as a TOML file whose errors are reported with
//! line and key.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::faults::Kind;
use crate::users::ConnectionUse;
use crate::values::Values;

/// A scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long requests arrive; the run continues until all are answered.
    pub seconds: f64,
    /// The zones; nodes, cache servers and clients are assigned to them in turn.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// What clients request.
    pub load: Load,
    /// The classes of requests; shares are relative to their sum.
    pub class: Vec<Class>,
    /// The tenants.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// The nodes.
    pub nodes: Nodes,
    /// The cache servers.
    pub boxes: CacheServers,
    /// The origin.
    pub origin: Origin,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// Parameters of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Random faults.
    #[serde(default)]
    pub faults: RandomFaults,
}

/// What clients request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second, without retries.
    pub rate: f64,
    /// How many keys there are.
    pub keys: u64,
    /// The exponent of their Zipf distribution.
    #[serde(default = "zipf")]
    pub zipf: f64,
    /// Size of the filler of a value, in bytes.
    #[serde(default = "value_bytes")]
    pub value_bytes: usize,
    /// What values look like.
    #[serde(default)]
    pub values: Values,
    /// How long a client waits for one try, as a share of the deadline of the class: minimum and maximum.
    #[serde(default = "patience")]
    pub patience: [f64; 2],
    /// How often a client retries.
    #[serde(default = "retries")]
    pub retries: u32,
    /// How long it waits before a retry, in milliseconds; 0 to retry at once.
    #[serde(default)]
    pub retry_ms: u64,
    /// Share of clients that respect the retry delay of a refusal.
    #[serde(default = "half")]
    pub heeds_advice: f64,
    /// Number of clients with a connection of their own each; 0 for clients that share kept connections.
    #[serde(default)]
    pub callers: usize,
    /// Share of these clients that reconnect at once when a connection is lost, without a request to send.
    #[serde(default)]
    pub eager: f64,
    /// Retry policies of clients by share; `retry_ms` applies where there are none.
    #[serde(default, rename = "habit")]
    pub habits: Vec<RetryPolicy>,
    /// Number of additional clients that each use one connection until the node closes it.
    #[serde(default)]
    pub users: usize,
    /// How they use it, in turn.
    #[serde(default)]
    pub uses: Vec<ConnectionUse>,
}

/// How a client retries, as client libraries do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetryPolicy {
    /// Its share of the clients.
    pub share: f64,
    /// How the wait grows.
    pub retry: Backoff,
    /// The first wait, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
    /// The longest wait, in milliseconds.
    #[serde(default = "longest_wait")]
    pub most_ms: u64,
}

/// How the wait before a retry grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// No wait.
    AtOnce,
    /// The same wait each time.
    Fixed,
    /// Doubled each time, up to the longest wait.
    Exponential,
    /// A random part of the exponential wait ("full jitter").
    Jittered,
}

impl RetryPolicy {
    /// The wait before the next try in milliseconds, after `tries` tries; `draw` is a random number from 0 to
    /// 1.
    pub fn wait(&self, tries: u32, draw: f64) -> u64 {
        let grown = self.wait_ms.saturating_mul(1 << tries.saturating_sub(1).min(20)).min(self.most_ms);
        match self.retry {
            Backoff::AtOnce => 0,
            Backoff::Fixed => self.wait_ms,
            Backoff::Exponential => grown,
            Backoff::Jittered => (grown as f64 * draw) as u64,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Latency target: a reply within this time is in time.
    pub aim_ms: u64,
    /// How long a client waits over all its tries.
    pub deadline_ms: u64,
    /// Value of a served request.
    #[serde(default = "one")]
    pub worth: f64,
    /// The effect of a retry.
    pub effect: Effect,
    /// Deduplication window for writes with an idempotency key.
    #[serde(default = "window")]
    pub window_ms: u64,
    /// The work of a request in milliseconds of a core of speed 1, minimum and maximum.
    pub work_ms: [f64; 2],
    /// The only zones whose cache servers may serve it; empty for all.
    #[serde(default)]
    pub only_zones: Vec<String>,
}

/// The effect of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// None.
    Pure,
    /// Dropped within the deduplication window, by its idempotency key.
    Token,
    /// The effect happens again.
    SideEffect,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Quota in requests per second.
    pub quota: f64,
}

/// The nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes.
    pub count: usize,
    /// Descriptors per node.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Memory per node in megabytes.
    #[serde(default = "memory")]
    pub memory_mb: f64,
    /// The operator's file, as TOML text.
    #[serde(default)]
    pub operator: String,
    /// How long the load balancer keeps sending to a dead node, minimum and maximum.
    #[serde(default = "notice")]
    pub front_notices_ms: [u64; 2],
}

/// The cache servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheServers {
    /// Number of cache servers.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Speeds of a core, assigned in turn.
    pub speeds: Vec<f64>,
    /// Requests that may wait for a core; further ones are rejected.
    pub room: usize,
    /// Keys that each holds.
    pub keys: usize,
    /// Connections that each accepts; requests on further ones are rejected.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Work of a new connection, in milliseconds of a core.
    #[serde(default = "handshake")]
    pub handshake_ms: f64,
    /// Work of a miss, as a share of that of a hit.
    #[serde(default = "miss_work")]
    pub miss_work: f64,
    /// Whether they are cold and empty at the start.
    #[serde(default)]
    pub start_cold: bool,
}

/// The origin.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Calls that it processes at once.
    pub slots: usize,
    /// Calls that may wait; further ones are rejected.
    pub room: usize,
    /// Duration of a call in milliseconds, minimum and maximum.
    pub time_ms: [f64; 2],
    /// Share of calls that fail after they ran.
    #[serde(default)]
    pub fails: f64,
}

/// Discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay until a change is listed, minimum and maximum.
    pub lag_ms: [u64; 2],
    /// Duration of a call; calls are processed one after another.
    pub call_ms: f64,
    /// Whether lists are pushed: each node watches the list from its start. Otherwise nodes ask when they
    /// need it.
    pub pushed: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { lag_ms: [200, 1500], call_ms: 1.0, pushed: false }
    }
}

/// The network.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay within a zone, minimum and maximum.
    pub within_ms: [f64; 2],
    /// One-way delay between zones, minimum and maximum.
    pub across_ms: [f64; 2],
    /// One-way delay of messages between nodes, minimum and maximum.
    pub datagrams_ms: [f64; 2],
    /// Share of those messages that is lost.
    pub datagrams_lost: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            within_ms: [0.15, 0.6],
            across_ms: [5.6, 10.0],
            datagrams_ms: [2.6, 18.0],
            datagrams_lost: 0.02,
        }
    }
}

/// Parameters of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Grace period for new attempts to a cache server after the node was notified that it drains or is gone.
    pub drain_grace_ms: u64,
    /// How long after the deadline a final reply still counts.
    pub answer_grace_ms: u64,
    /// Share of its capacity that a cold cache server starts with.
    pub cold_share: f64,
    /// Time until it is warm.
    pub warm_ms: u64,
    /// A cold cache server collapses when it gets more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... over this time.
    pub fall_ms: u64,
    /// Most attempts per request.
    pub max_attempts: u32,
    /// The longest retry delay that a client respects.
    pub max_retry_after_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 1000,
            answer_grace_ms: 70,
            cold_share: 0.3,
            warm_ms: 8700,
            fall_multiple: 3.0,
            fall_ms: 3000,
            max_attempts: 6,
            max_retry_after_ms: 2000,
        }
    }
}

/// Random faults.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RandomFaults {
    /// The kinds of faults.
    pub kinds: Vec<Kind>,
    /// How many happen in a run, minimum and maximum.
    pub count: [usize; 2],
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}
fn zipf() -> f64 {
    0.9
}
fn value_bytes() -> usize {
    64
}
fn patience() -> [f64; 2] {
    [0.42, 0.55]
}
fn retries() -> u32 {
    3
}
fn half() -> f64 {
    0.5
}
fn one() -> f64 {
    1.0
}
fn window() -> u64 {
    12_000
}
fn sockets() -> usize {
    1024
}
fn memory() -> f64 {
    192.0
}
fn notice() -> [u64; 2] {
    [1100, 4000]
}
fn connections() -> usize {
    128
}
fn handshake() -> f64 {
    1.0
}
fn longest_wait() -> u64 {
    10_000
}

fn miss_work() -> f64 {
    0.15
}

/// An error in a scenario, and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// The line, from 1, if known.
    pub line: Option<usize>,
    /// The key, from the outermost table on; empty if the text is no valid TOML.
    pub key: String,
    /// The error.
    pub message: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for ScenarioError {}

/// The line that contains a byte offset.
fn line_of_offset(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// The line of a key's value, or of the innermost table round it.
pub fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::ImDocument::parse(text).ok()?;
    let (mut item, mut found) = (document.as_item(), None);
    for part in key.split('.') {
        let next = match part.parse::<usize>() {
            Ok(index) => item.get(index),
            Err(_) => item.get(part),
        };
        let Some(next) = next else { break };
        item = next;
        found = item.span().map(|s| line_of_offset(text, s.start)).or(found);
    }
    found
}

/// Parses a TOML text without checking its values.
///
/// # Errors
/// Text that is no valid TOML or does not fit the type, with its line.
pub fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, ScenarioError> {
    toml::from_str(text).map_err(|e| ScenarioError {
        line: e.span().map(|s| line_of_offset(text, s.start)),
        key: String::new(),
        message: e.message().trim().replace('\n', " "),
    })
}

/// Checks that a value lies within a range.
///
/// # Errors
/// The key with a message.
pub fn check_range(key: &str, value: f64, least: f64, most: f64) -> Result<(), (String, String)> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    Err((key.to_owned(), format!("{value} is not within {least} to {most}")))
}

impl Scenario {
    /// Parses and checks a scenario.
    ///
    /// # Errors
    /// The first error, with line and key.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = parse(text)?;
        scenario.check().map_err(|(key, message)| ScenarioError {
            line: line_of_key(text, &key),
            key,
            message,
        })?;
        Ok(scenario)
    }

    /// Checks a scenario that was not read from text.
    ///
    /// # Errors
    /// The first error, with its key.
    pub fn validate(&self) -> Result<(), ScenarioError> {
        self.check().map_err(|(key, message)| ScenarioError { line: None, key, message })
    }

    fn check(&self) -> Result<(), (String, String)> {
        let error = |key: &str, message: &str| Err((key.to_owned(), message.to_owned()));
        let range = |key: &str, pair: [f64; 2], least: f64, most: f64| {
            check_range(key, pair[0], least, most)?;
            check_range(key, pair[1], least, most)?;
            if pair[0] > pair[1] {
                return Err((key.to_owned(), format!("{} is more than {}", pair[0], pair[1])));
            }
            Ok(())
        };
        let as_f64 = |pair: [u64; 2]| pair.map(|v| v as f64);
        if self.name.is_empty() {
            return error("name", "is empty");
        }
        check_range("seconds", self.seconds, 0.1, 3600.0)?;
        if self.zones.is_empty() || self.zones.len() > 16 {
            return error("zones", "1 to 16 are needed");
        }
        check_range("load.rate", self.load.rate, 0.1, 1e6)?;
        check_range("load.keys", self.load.keys as f64, 1.0, 1e9)?;
        check_range("load.zipf", self.load.zipf, 0.0, 4.0)?;
        check_range("load.value_bytes", self.load.value_bytes as f64, 0.0, 60_000.0)?;
        range("load.patience", self.load.patience, 0.01, 1.0)?;
        check_range("load.retries", f64::from(self.load.retries), 0.0, 100.0)?;
        check_range("load.heeds_advice", self.load.heeds_advice, 0.0, 1.0)?;
        check_range("load.callers", self.load.callers as f64, 0.0, 100_000.0)?;
        check_range("load.eager", self.load.eager, 0.0, 1.0)?;
        for (i, h) in self.load.habits.iter().enumerate() {
            check_range(&format!("load.habit.{i}.share"), h.share, 0.0, 1e6)?;
            check_range(&format!("load.habit.{i}.wait_ms"), h.wait_ms as f64, 0.0, 600_000.0)?;
            check_range(&format!("load.habit.{i}.most_ms"), h.most_ms as f64, 0.0, 600_000.0)?;
        }
        if !self.load.habits.is_empty() && self.load.habits.iter().map(|h| h.share).sum::<f64>() <= 0.0 {
            return error("load.habit", "all shares are 0");
        }
        if self.class.is_empty() {
            return error("class", "at least one is needed");
        }
        for (i, c) in self.class.iter().enumerate() {
            let at = |name: &str| format!("class.{i}.{name}");
            if c.name.is_empty() || !c.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
                return error(&at("name"), "letters, digits and dashes only");
            }
            check_range(&at("share"), c.share, 0.0, 1e6)?;
            check_range(&at("deadline_ms"), c.deadline_ms as f64, 1.0, 600_000.0)?;
            check_range(&at("aim_ms"), c.aim_ms as f64, 1.0, c.deadline_ms as f64)?;
            check_range(&at("worth"), c.worth, 0.0, 1e6)?;
            check_range(&at("window_ms"), c.window_ms as f64, 1.0, 3_600_000.0)?;
            range(&at("work_ms"), c.work_ms, 0.001, 60_000.0)?;
            if let Some(zone) = c.only_zones.iter().find(|z| !self.zones.contains(z)) {
                return error(&at("only_zones"), &format!("there is no zone {zone:?}"));
            }
        }
        if self.class.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            return error("class", "all shares are 0");
        }
        for (i, t) in self.tenant.iter().enumerate() {
            check_range(&format!("tenant.{i}.share"), t.share, 0.0, 1e6)?;
            check_range(&format!("tenant.{i}.quota"), t.quota, 0.01, 1e9)?;
        }
        if !self.tenant.is_empty() && self.tenant.iter().map(|t| t.share).sum::<f64>() <= 0.0 {
            return error("tenant", "all shares are 0");
        }
        check_range("nodes.count", self.nodes.count as f64, 1.0, 200.0)?;
        check_range("nodes.sockets", self.nodes.sockets as f64, 32.0, 1e6)?;
        check_range("nodes.memory_mb", self.nodes.memory_mb, 16.0, 1e6)?;
        if let Err(e) = mothpier_node::operator::read(&self.nodes.operator) {
            return error("nodes.operator", &e);
        }
        if self.agreement_enabled() && self.zones.len() < 2 {
            return error("nodes.operator", "accord.on: one zone has nothing to agree on");
        }
        range("nodes.front_notices_ms", as_f64(self.nodes.front_notices_ms), 0.0, 60_000.0)?;
        check_range("boxes.count", self.boxes.count as f64, 1.0, 1000.0)?;
        check_range("boxes.cores", self.boxes.cores as f64, 1.0, 1024.0)?;
        if self.boxes.speeds.is_empty() {
            return error("boxes.speeds", "at least one is needed");
        }
        for (i, speed) in self.boxes.speeds.iter().enumerate() {
            check_range(&format!("boxes.speeds.{i}"), *speed, 0.01, 100.0)?;
        }
        check_range("boxes.room", self.boxes.room as f64, 0.0, 1e6)?;
        check_range("boxes.keys", self.boxes.keys as f64, 1.0, 1e7)?;
        check_range("boxes.connections", self.boxes.connections as f64, 1.0, 1e6)?;
        check_range("boxes.handshake_ms", self.boxes.handshake_ms, 0.0, 1000.0)?;
        check_range("boxes.miss_work", self.boxes.miss_work, 0.0, 1.0)?;
        check_range("origin.slots", self.origin.slots as f64, 1.0, 1e6)?;
        check_range("origin.room", self.origin.room as f64, 0.0, 1e6)?;
        range("origin.time_ms", self.origin.time_ms, 0.01, 600_000.0)?;
        check_range("origin.fails", self.origin.fails, 0.0, 1.0)?;
        range("discovery.lag_ms", as_f64(self.discovery.lag_ms), 0.0, 60_000.0)?;
        check_range("discovery.call_ms", self.discovery.call_ms, 0.0, 1000.0)?;
        range("network.within_ms", self.network.within_ms, 0.0, 1000.0)?;
        range("network.across_ms", self.network.across_ms, 0.0, 1000.0)?;
        range("network.datagrams_ms", self.network.datagrams_ms, 0.0, 10_000.0)?;
        check_range("network.datagrams_lost", self.network.datagrams_lost, 0.0, 1.0)?;
        check_range("rules.cold_share", self.rules.cold_share, 0.01, 1.0)?;
        check_range("rules.warm_ms", self.rules.warm_ms as f64, 1.0, 3_600_000.0)?;
        check_range("rules.fall_multiple", self.rules.fall_multiple, 1.0, 1000.0)?;
        check_range("rules.fall_ms", self.rules.fall_ms as f64, 1.0, 600_000.0)?;
        check_range("rules.max_attempts", f64::from(self.rules.max_attempts), 1.0, 100.0)?;
        range("faults.count", [self.faults.count[0] as f64, self.faults.count[1] as f64], 0.0, 100.0)?;
        if self.faults.count[1] > 0 && self.faults.kinds.is_empty() {
            return error("faults.kinds", "is empty, but count asks for some");
        }
        Ok(())
    }

    /// Whether the operator's file enables agreement on which zones serve.
    pub fn agreement_enabled(&self) -> bool {
        mothpier_node::operator::read(&self.nodes.operator).is_ok_and(|o| o.agreement.on)
    }

    /// How long requests arrive.
    pub fn load_duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_millis(self.class.iter().map(|c| c.deadline_ms).max().unwrap_or(0))
    }

    /// The settings that the platform gives to a node.
    pub fn node_settings(&self, node: usize) -> serde_json::Value {
        use serde_json::json;
        let classes: Vec<_> = self
            .class
            .iter()
            .map(|c| {
                let zone_index = |name: &String| self.zones.iter().position(|z| z == name);
                let zones: Vec<usize> = c.only_zones.iter().filter_map(zone_index).collect();
                let mut class = json!({"name": c.name, "goalTimeUs": c.aim_ms * 1000, "deadlineUs": c.deadline_ms * 1000,
                    "gain": c.worth, "lateValue": 0.0, "effect": c.effect, "dedupScope": "all",
                    "dedupWindowUs": c.window_ms * 1000, "streamed": false});
                if !zones.is_empty() {
                    class["runsIn"] = json!(zones);
                }
                class
            })
            .collect();
        let all: f64 = self.tenant.iter().map(|t| t.share).sum();
        let realms: Vec<_> = self
            .tenant
            .iter()
            .map(|t| json!({"name": t.name, "fraction": t.share / all, "quotaPerS": t.quota}))
            .collect();
        let rules = &self.rules;
        json!({
            "balancers": self.nodes.count, "me": node, "classes": classes, "realms": realms,
            "discovery": if self.discovery.pushed { "push" } else { "ask" }, "zones": self.zones, "machineTypes": ["box", "origin"],
            "zone": node % self.zones.len(), "weightSource": "silent", "periodUs": 1000,
            "specifics": {"mode": "aside", "originKind": 1}, "report": {"fields": [], "via": "silent"},
            "limits": {"maxAttempts": rules.max_attempts, "mayDuplicate": true, "mayCancel": true,
                "multiplex": 32, "idleCloseUs": 60_000_000, "connectTimeoutUs": 250_000, "maxOpen": 20_000,
                "maxRetryAfterUs": rules.max_retry_after_ms * 1000, "peers": true, "probes": false,
                "retryAfter": true},
            "guarantees": {"askWithinUs": 10_000_000, "coldShare": rules.cold_share,
                "coldUs": rules.warm_ms * 1000, "drainGraceUs": rules.drain_grace_ms * 1000,
                "fallMultiple": rules.fall_multiple, "tipAfterUs": rules.fall_ms * 1000,
                "graceToAnswerUs": 20_000},
        })
    }
}
