//! Trial files (TOML): the topology, the steps with their times, and the expectations. Errors name the line and the key.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use chalksill_world::scenario::{Scenario, ScenarioError, check_range, line_of_key, parse};
use serde::{Deserialize, Serialize};

use crate::topology::{EndpointKind, Endpoints, Topology};

/// Limit of the first tries of one trial, for all of them are kept in memory until its end.
const MAX_FIRST_TRIES: f64 = 1e6;
/// A step whose condition has not come true after this time fails the trial, unless the step sets a time of its own.
const DEFAULT_CONDITION_TIMEOUT_S: f64 = 15.0;

/// A trial, read and checked.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Its name.
    pub name: String,
    /// What it is meant to show.
    pub about: String,
    /// The scenario of the simulated environment: load, fleet sizes, network.
    pub scenario: Scenario,
    /// Zones, regions and endpoints.
    pub topology: Topology,
    /// Delays between endpoints.
    pub link_delays: LinkDelays,
    /// Where discovery runs.
    pub discovery: DiscoveryPlacement,
    /// Steps, in order.
    pub steps: Vec<Step>,
    /// What must hold at its end.
    pub expectations: Vec<Expectation>,
    /// Nodes that don't have the `[places]` and `[accord]` settings, as nodes of an older version.
    pub older_nodes: Endpoints,
    /// Whether nodes get operations endpoints.
    pub operations_enabled: bool,
    /// Whether the platform holds the nodes' client sockets, which each of their processes inherits.
    pub inherited_sockets: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TrialFile {
    name: String,
    #[serde(default)]
    about: String,
    /// Path of the scenario file, relative to the trial file.
    world: String,
    /// Settings that override those of the scenario file.
    #[serde(default)]
    with: toml::Table,
    #[serde(default, rename = "region")]
    regions: Vec<Region>,
    #[serde(default)]
    ways: LinkDelays,
    /// The zone of the origin; the first zone if absent.
    origin: Option<String>,
    /// Selector of the nodes that don't have the `[places]` and `[accord]` settings.
    before: Option<String>,
    #[serde(default)]
    discovery: DiscoveryPlacement,
    #[serde(default, rename = "step")]
    steps: Vec<Step>,
    #[serde(default, rename = "must")]
    expectations: Vec<Expectation>,
}

/// A region and its zones.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Its zones, by the names in the scenario.
    pub zones: Vec<String>,
}

/// One-way delays between endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkDelays {
    /// Within a zone, milliseconds.
    pub zone_ms: f64,
    /// Between zones of a region, milliseconds.
    pub region_ms: f64,
    /// Between regions, milliseconds.
    pub across_ms: f64,
    /// Share of the delay by which it grows at most, at random.
    pub jitter: f64,
}

impl Default for LinkDelays {
    fn default() -> Self {
        LinkDelays { zone_ms: 0.0, region_ms: 1.0, across_ms: 20.0, jitter: 0.1 }
    }
}

/// Where discovery runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryPlacement {
    /// One service for all nodes, in the zone of the origin.
    #[default]
    One,
    /// A service in the first zone of each region.
    EachRegion,
}

/// The action of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// No action: gives a time a name, or waits for a condition.
    Mark,
    /// Blocks links silently.
    Cut,
    /// Unblocks links, and releases or resets what they held.
    Heal,
    /// Makes links refuse new connections and resets open ones.
    Refuse,
    /// Resets open connections of links.
    Reset,
    /// Changes the delay, rate and loss of links.
    Weather,
    /// Kills nodes or cache servers.
    Kill,
    /// Starts killed nodes or cache servers, without any of their former state.
    Start,
    /// Stops the processes of nodes by SIGSTOP.
    Stop,
    /// Lets stopped processes continue with the state that they had.
    Continue,
    /// Terminates nodes as at a planned restart.
    Term,
    /// Sets the load to a multiple of its usual rate.
    Load,
    /// Makes discovery answer late, not at all, or with an old or an empty list.
    Discovery,
    /// Blocks and unblocks links repeatedly.
    Flap,
    /// Makes discovery list cache servers as gone or ready, whatever their state.
    List,
    /// Sends an operator's order to a node: to keep a zone in or out for some time.
    Hold,
    /// Sends an operator's order to a node: to release a zone that is held.
    Release,
}

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryBehavior {
    /// Normally.
    Well,
    /// After the step's `delay_ms`.
    Late,
    /// With 503.
    Down,
    /// With the list as it is at the time of the step.
    Old,
    /// With an empty list.
    Empty,
}

/// The phase that discovery lists a cache server with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedPhase {
    /// Serving.
    Ready,
    /// No longer there.
    Gone,
}

/// A step of a trial.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Its name, to which expectations may refer.
    #[serde(default)]
    pub name: String,
    /// Earliest time in seconds since the load began; without one, right after the step before.
    #[serde(default)]
    pub at_s: f64,
    /// The step waits for this condition.
    pub after: Option<Condition>,
    /// Time limit for the condition, in seconds.
    pub within_s: Option<f64>,
    /// The action.
    #[serde(rename = "do")]
    pub action: Action,
    /// Selector of one end of the links.
    pub from: Option<String>,
    /// Selector of the other end.
    pub to: Option<String>,
    /// Blocks only the traffic from `from` to `to`.
    #[serde(default)]
    pub one_way: bool,
    /// Selector of what is killed, started, stopped, continued, terminated, listed or sent an order.
    pub who: Option<String>,
    /// Heal: resets the held connections instead of releasing their traffic.
    #[serde(default)]
    pub reset: bool,
    /// Weather: one-way delay. Discovery: how late it answers.
    pub delay_ms: Option<f64>,
    /// Weather: share of the delay by which it grows at most, at random.
    pub jitter: Option<f64>,
    /// Weather: bytes per second of each direction of a connection.
    pub rate: Option<f64>,
    /// Weather: share of the datagrams that is lost.
    pub lost: Option<f64>,
    /// Weather: share of the datagrams that is duplicated.
    pub twice: Option<f64>,
    /// Weather: share of the datagrams that is delayed by `late_ms`, and so reordered.
    pub late: Option<f64>,
    /// Weather: additional delay of late datagrams, in milliseconds.
    pub late_ms: Option<f64>,
    /// Load: the multiple. Flap: the number of repetitions.
    pub times: Option<f64>,
    /// Discovery: how it answers.
    pub answers: Option<DiscoveryBehavior>,
    /// Flap: seconds from a cut to its end, and from there to the next cut.
    pub every_s: Option<f64>,
    /// List: the phase that discovery lists the cache servers with.
    pub says: Option<ListedPhase>,
    /// Hold, release: the zone.
    pub zone: Option<String>,
    /// Hold: `in`, `out` or `drain`.
    pub how: Option<String>,
    /// Hold: for how long, in seconds.
    pub for_s: Option<u32>,
}

impl Step {
    /// Time limit for the step's condition.
    pub fn condition_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.within_s.unwrap_or(DEFAULT_CONDITION_TIMEOUT_S))
    }
}

/// A condition on a trial's state, of what can be observed from outside the nodes. Exactly one field is set.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// All of these nodes answer `PING` with `PONG`.
    pub ready: Option<String>,
    /// The processes of all of these nodes have exited.
    pub ended: Option<String>,
    /// Each of these nodes has served a request since the previous step.
    pub served: Option<String>,
    /// Each of these cache servers, or the origin, has received an attempt since the previous step.
    pub reached: Option<String>,
    /// This share of the nodes no longer lets requests wait for what the previous step made unreachable.
    pub acts: Option<f64>,
}

impl Condition {
    /// The selectors that are set, with their keys.
    pub fn named_endpoints(&self) -> impl Iterator<Item = (&'static str, &String)> {
        let selectors = [
            ("ready", &self.ready),
            ("ended", &self.ended),
            ("served", &self.served),
            ("reached", &self.reached),
        ];
        selectors.into_iter().filter_map(|(key, selector)| selector.as_ref().map(|selector| (key, selector)))
    }
}

/// A metric of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Share of the first tries that are served within their latency target.
    InTime,
    /// Share of the first tries that are finally refused.
    Refused,
    /// Share of the first tries that finally fail or get no reply.
    Failed,
    /// Median latency of served requests, in milliseconds.
    P50Ms,
    /// 99th percentile of the latency of served requests, in milliseconds.
    P99Ms,
    /// Share of the attempts at cache servers that leave the zone of their node.
    LeavesZone,
    /// Share of the attempts at cache servers that leave the region of their node.
    LeavesRegion,
    /// Share of the reads at cache servers that are hits.
    HitShare,
    /// Calls to the origin per first try.
    OriginCalls,
    /// Share of the requests that wait for an unresponsive server: no server receives them within a fifth of the shortest
    /// latency target.
    Waits,
    /// Seconds until half of the nodes have reacted to the step `from`.
    ActsHalfS,
    /// Seconds until nine tenths of the nodes have reacted to it.
    ActsMostS,
    /// Disagreement on giving up `zone`: the share of nodes that have, or of those that have not, whichever is less.
    Split,
    /// Seconds after `from` until 95% of the usual share of first tries is served in time, for two seconds in a row.
    BackS,
    /// Share of the attempts at cache servers that go to `zone`.
    ZoneShare,
    /// Share of the requests that clients send to nodes of `zone`.
    ZoneAsked,
    /// Seconds after `from` until `zone` gets most of the share that it got in the first seconds of the load.
    ReturnedS,
    /// Number of cache servers that collapsed under load.
    Fallen,
    /// Number of plans by which nodes began to give a zone up.
    Moves,
    /// Share of the nodes that act on the most common plan at the end of the interval, according to their logs.
    Agree,
}

/// An expectation: bounds of a metric over an interval.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The metric.
    #[serde(rename = "figure")]
    pub metric: Metric,
    /// Start of the interval: the step of this name; the start of the load if absent.
    pub from: Option<String>,
    /// Seconds added to the start.
    #[serde(default)]
    pub from_s: f64,
    /// End of the interval: the step of this name; the end of the load if absent.
    pub until: Option<String>,
    /// Seconds added to the end.
    #[serde(default)]
    pub until_s: f64,
    /// The zone that the metric is of.
    pub zone: Option<String>,
    /// The request class that the metric is of; all classes if absent.
    pub class: Option<String>,
    /// Upper bound.
    pub at_most: Option<f64>,
    /// Lower bound.
    pub at_least: Option<f64>,
}

/// Merges one table into another: nested tables key by key, all other values replaced.
fn merge_tables(overrides: &toml::Table, base: &mut toml::Table) {
    for (key, value) in overrides {
        match (value, base.get_mut(key)) {
            (toml::Value::Table(overrides), Some(toml::Value::Table(base))) => merge_tables(overrides, base),
            _ => drop(base.insert(key.clone(), value.clone())),
        }
    }
}

impl Trial {
    /// Reads and validates a trial file and the scenario file that it names.
    ///
    /// # Errors
    /// One line with the file, line, key, and what is wrong.
    pub fn read(path: &Path) -> Result<Trial, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        let with_path = |e: ScenarioError| format!("{}: {e}", path.display());
        let file: TrialFile = parse(&text).map_err(with_path)?;
        let scenario_path = path.parent().unwrap_or(Path::new(".")).join(&file.world);
        let scenario_text = std::fs::read_to_string(&scenario_path).map_err(|e| {
            format!("{}: world: cannot read {}: {e}", path.display(), scenario_path.display())
        })?;
        // Checked before it is merged, so that errors of the scenario file name its own lines.
        Scenario::read(&scenario_text).map_err(|e| format!("{}: {e}", scenario_path.display()))?;
        Trial::from_parts(&text, file, &scenario_text).map_err(with_path)
    }

    fn from_parts(text: &str, file: TrialFile, scenario_text: &str) -> Result<Trial, ScenarioError> {
        let located =
            |(key, message): (String, String)| ScenarioError { line: line_of_key(text, &key), key, message };
        let mut table: toml::Table =
            toml::from_str(scenario_text).map_err(|e| located(("world".into(), e.to_string())))?;
        merge_tables(&file.with, &mut table);
        let scenario: Scenario = table
            .try_into()
            .map_err(|e: toml::de::Error| located(("with".into(), e.message().trim().replace('\n', " "))))?;
        scenario.validate().map_err(|f| located((format!("with.{}", f.key), f.message)))?;
        let topology = Topology::new(&scenario, &file.regions, file.origin.as_deref()).map_err(located)?;
        let older_nodes = file.before.as_ref().map_or(Ok(Vec::new()), |selector| {
            let endpoints =
                topology.endpoints(selector).map_err(|message| located(("before".into(), message)))?;
            let wrong_kind =
                || located(("before".into(), format!("{selector:?} names other endpoints than nodes")));
            if endpoints.iter().all(|endpoint| endpoint.kind == EndpointKind::Node) {
                Ok(endpoints)
            } else {
                Err(wrong_kind())
            }
        })?;
        let is_order = |step: &Step| matches!(step.action, Action::Hold | Action::Release);
        let trial = Trial {
            operations_enabled: file.steps.iter().any(is_order),
            inherited_sockets: false,
            older_nodes,
            name: file.name,
            about: file.about,
            scenario,
            topology,
            link_delays: file.ways,
            discovery: file.discovery,
            steps: file.steps,
            expectations: file.expectations,
        };
        trial.validate().map_err(located)?;
        Ok(trial)
    }

    fn validate(&self) -> Result<(), (String, String)> {
        let invalid = |key: String, message: &str| Err((key, message.to_owned()));
        if self.name.is_empty() || !self.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return invalid("name".into(), "letters, digits and dashes only");
        }
        if self.scenario.load.rate * self.scenario.seconds > MAX_FIRST_TRIES {
            return invalid("world".into(), &format!("more than {MAX_FIRST_TRIES} first tries"));
        }
        let delays = &self.link_delays;
        for (key, value) in
            [("zone_ms", delays.zone_ms), ("region_ms", delays.region_ms), ("across_ms", delays.across_ms)]
        {
            check_range(&format!("ways.{key}"), value, 0.0, 1000.0)?;
        }
        check_range("ways.jitter", delays.jitter, 0.0, 10.0)?;
        let mut names = BTreeSet::new();
        for (i, step) in self.steps.iter().enumerate() {
            self.validate_step(&format!("step.{i}"), step)?;
            if !step.name.is_empty() && !names.insert(step.name.as_str()) {
                return invalid(format!("step.{i}.name"), "two steps of this name");
            }
        }
        for (i, expectation) in self.expectations.iter().enumerate() {
            self.validate_expectation(&format!("must.{i}"), expectation, &names)?;
        }
        Ok(())
    }

    fn endpoints(&self, key: &str, selector: Option<&String>) -> Result<Endpoints, (String, String)> {
        let Some(selector) = selector else { return Err((key.to_owned(), "is missing".into())) };
        self.topology.endpoints(selector).map_err(|message| (key.to_owned(), message))
    }

    fn validate_step(&self, at: &str, step: &Step) -> Result<(), (String, String)> {
        let key = |name: &str| format!("{at}.{name}");
        check_range(&key("at_s"), step.at_s, 0.0, 3600.0)?;
        if let Some(within) = step.within_s {
            check_range(&key("within_s"), within, 0.1, 3600.0)?;
        }
        if let Some(condition) = &step.after {
            let set_fields = condition.named_endpoints().count() + usize::from(condition.acts.is_some());
            if set_fields != 1 {
                return Err((key("after"), "exactly one condition is needed".into()));
            }
            for (name, selector) in condition.named_endpoints() {
                let endpoints = self.endpoints(&key(&format!("after.{name}")), Some(selector))?;
                let is_allowed = |kind| match name {
                    "reached" => matches!(kind, EndpointKind::CacheServer | EndpointKind::Origin),
                    _ => kind == EndpointKind::Node,
                };
                if !endpoints.iter().all(|p| is_allowed(p.kind)) {
                    return Err((
                        key(&format!("after.{name}")),
                        format!("{selector:?} names endpoints of other kinds too"),
                    ));
                }
            }
            if let Some(share) = condition.acts {
                check_range(&key("after.acts"), share, 0.01, 1.0)?;
            }
        }
        match step.action {
            Action::Mark => {}
            Action::Cut | Action::Heal | Action::Refuse | Action::Reset | Action::Weather => {
                self.endpoints(&key("from"), step.from.as_ref())?;
                self.endpoints(&key("to"), step.to.as_ref())?;
            }
            Action::Kill | Action::Start | Action::Stop | Action::Continue | Action::Term => {
                let endpoints = self.endpoints(&key("who"), step.who.as_ref())?;
                let with_cache_servers = matches!(step.action, Action::Kill | Action::Start);
                let is_allowed = |kind| {
                    kind == EndpointKind::Node || with_cache_servers && kind == EndpointKind::CacheServer
                };
                if !endpoints.iter().all(|p| is_allowed(p.kind)) {
                    let message = if with_cache_servers { "nodes and boxes only" } else { "nodes only" };
                    return Err((key("who"), message.into()));
                }
            }
            Action::Flap => {
                self.endpoints(&key("from"), step.from.as_ref())?;
                self.endpoints(&key("to"), step.to.as_ref())?;
                check_range(&key("every_s"), step.every_s.unwrap_or(f64::NAN), 0.05, 600.0)?;
                check_range(&key("times"), step.times.unwrap_or(f64::NAN), 1.0, 10_000.0)?;
            }
            Action::List => {
                let endpoints = self.endpoints(&key("who"), step.who.as_ref())?;
                if endpoints.iter().any(|p| p.kind != EndpointKind::CacheServer) {
                    return Err((key("who"), "boxes only".into()));
                }
                step.says.ok_or((key("says"), "is missing".to_owned()))?;
            }
            Action::Load => check_range(&key("times"), step.times.unwrap_or(f64::NAN), 0.0, 100.0)?,
            Action::Discovery => {
                if step.answers.is_none() {
                    return Err((key("answers"), "is missing".into()));
                }
            }
            Action::Hold | Action::Release => {
                let endpoints = self.endpoints(&key("who"), step.who.as_ref())?;
                if endpoints.len() != 1 || endpoints[0].kind != EndpointKind::Node {
                    return Err((key("who"), "exactly one node is needed".into()));
                }
                let zone = step.zone.as_ref().filter(|z| self.scenario.zones.contains(z));
                zone.ok_or((key("zone"), "a zone of the scenario is needed".to_owned()))?;
                if step.action == Action::Hold {
                    let how = step.how.as_deref().filter(|how| ["in", "out", "drain"].contains(how));
                    how.ok_or((key("how"), "in, out or drain is needed".to_owned()))?;
                    check_range(&key("for_s"), step.for_s.map_or(f64::NAN, f64::from), 1.0, 64_800.0)?;
                }
            }
        }
        let share_fields = [("lost", step.lost), ("twice", step.twice), ("late", step.late)];
        for (name, value) in share_fields {
            check_range(&key(name), value.unwrap_or(0.0), 0.0, 1.0)?;
        }
        check_range(&key("jitter"), step.jitter.unwrap_or(0.0), 0.0, 10.0)?;
        for (name, value) in [("delay_ms", step.delay_ms), ("late_ms", step.late_ms)] {
            check_range(&key(name), value.unwrap_or(0.0), 0.0, 60_000.0)?;
        }
        check_range(&key("rate"), step.rate.unwrap_or(0.0), 0.0, 1e9)
    }

    fn validate_expectation(
        &self,
        at: &str,
        expectation: &Expectation,
        names: &BTreeSet<&str>,
    ) -> Result<(), (String, String)> {
        for (key, name) in [("from", &expectation.from), ("until", &expectation.until)] {
            if let Some(name) = name.as_ref().filter(|n| !names.contains(n.as_str())) {
                return Err((format!("{at}.{key}"), format!("no step is called {name:?}")));
            }
        }
        for (key, value) in [("from_s", expectation.from_s), ("until_s", expectation.until_s)] {
            check_range(&format!("{at}.{key}"), value, 0.0, 3600.0)?;
        }
        if expectation.at_most.is_none() && expectation.at_least.is_none() {
            return Err((at.to_owned(), "neither at_most nor at_least".into()));
        }
        for (key, value) in [("at_most", expectation.at_most), ("at_least", expectation.at_least)] {
            check_range(&format!("{at}.{key}"), value.unwrap_or(0.0), 0.0, 1e9)?;
        }
        let needs_start = [Metric::ActsHalfS, Metric::ActsMostS, Metric::BackS, Metric::ReturnedS]
            .contains(&expectation.metric);
        if needs_start && expectation.from.is_none() {
            return Err((format!("{at}.from"), "this figure needs a step to start from".into()));
        }
        let by_class = [Metric::InTime, Metric::Refused, Metric::Failed, Metric::P50Ms, Metric::P99Ms];
        if let Some(class) = &expectation.class {
            if !self.scenario.class.iter().any(|c| c.name == *class) {
                return Err((format!("{at}.class"), format!("there is no class {class:?}")));
            }
            if !by_class.contains(&expectation.metric) {
                return Err((format!("{at}.class"), "this figure cannot be restricted to a class".into()));
            }
        }
        let is_zone = |name: &String| self.scenario.zones.contains(name);
        let by_zone = [Metric::Split, Metric::ReturnedS, Metric::ZoneShare, Metric::ZoneAsked];
        match (&expectation.zone, by_zone.contains(&expectation.metric)) {
            (None, true) => Err((format!("{at}.zone"), "this figure needs a zone".into())),
            (Some(name), _) if !is_zone(name) => {
                Err((format!("{at}.zone"), format!("there is no zone {name:?}")))
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SCENARIO: &str = include_str!("../../../scenarios/site.toml");

    fn error_of(text: &str) -> String {
        let all = format!("name = \"t\"\nworld = \"w\"\n{text}");
        match parse::<TrialFile>(&all).and_then(|file| Trial::from_parts(&all, file, SCENARIO)) {
            Ok(_) => panic!("accepted: {text}"),
            Err(e) => e.to_string(),
        }
    }

    #[test]
    fn invalid_trials_are_refused_with_line_key_and_range() {
        let refused = |text: &str, message: &str| assert_eq!(error_of(text), message);
        refused(
            "[[region]]\nname = \"r\"\nzones = [\"x\"]",
            "line 5: region.0.zones: there is no zone \"x\"",
        );
        refused(
            "[[region]]\nname = \"r\"\nzones = [\"recife\"]\n[[region]]\nname = \"s\"\nzones = [\"recife\"]",
            "line 8: region.1.zones: \"recife\" is in two regions",
        );
        refused(
            "[[region]]\nname = \"r\"\nzones = [\"recife\"]",
            "line 3: region: no region has the zone \"fortaleza\"",
        );
        refused("origin = \"x\"", "line 3: origin: there is no zone \"x\"");
        refused("[ways]\nzone_ms = -1", "line 4: ways.zone_ms: -1 is not within 0 to 1000");
        refused("[[step]]\ndo = \"kill\"\nwho = \"origin\"", "line 5: step.0.who: nodes and boxes only");
        refused("[[step]]\ndo = \"kill\"\nwho = \"node:7\"", "line 5: step.0.who: there is no node:7");
        refused("[[step]]\ndo = \"cut\"\nto = \"*\"", "line 3: step.0.from: is missing");
        refused("[[step]]\ndo = \"hold\"\nwho = \"nodes\"", "line 5: step.0.who: exactly one node is needed");
        refused(
            "[[step]]\ndo = \"hold\"\nwho = \"node:1\"\nzone = \"recife\"\nhow = \"off\"",
            "line 7: step.0.how: in, out or drain is needed",
        );
        refused(
            "[[must]]\nfigure = \"in_time\"\nat_least = 1\nclass = \"x\"",
            "line 6: must.0.class: there is no class \"x\"",
        );
        refused(
            "[[step]]\ndo = \"mark\"\nafter = {}",
            "line 5: step.0.after: exactly one condition is needed",
        );
        refused("[[must]]\nfigure = \"in_time\"", "line 3: must.0: neither at_most nor at_least");
        refused(
            "[[must]]\nfigure = \"in_time\"\nat_least = 1\nfrom = \"x\"",
            "line 6: must.0.from: no step is called \"x\"",
        );
        refused("[with]\nseconds = -2", "line 4: with.seconds: -2 is not within 0.1 to 3600");
        assert!(error_of("[[step]]\ndo = \"fly\"").starts_with("line 4: unknown variant `fly`"));
        assert!(error_of("[with.load]\nratte = 3").contains("ratte"));
    }
}
