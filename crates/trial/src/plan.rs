//! Trials as TOML files: where everything lies, what is done when, and what must hold. Checked with the place at fault.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use chalksill_world::scenario::{Scenario, ScenarioError, check_range, line_of_key, parse};
use serde::{Deserialize, Serialize};

use crate::party::{Kind, Map, Parties};

/// First tries of one trial: all of them are kept in memory until its end.
const MOST_REQUESTS: f64 = 1e6;
/// A fact that has not come within this time never will, unless a step says otherwise.
const FACT: f64 = 15.0;

/// A trial.
#[derive(Clone, Debug)]
pub struct Trial {
    /// What it is called.
    pub name: String,
    /// What it is to show.
    pub about: String,
    /// The world in it.
    pub scenario: Scenario,
    /// Where everything lies.
    pub map: Map,
    /// Distances.
    pub ways: Ways,
    /// Whether each region has a discovery of its own.
    pub discovery: PerRegion,
    /// What is done, in order.
    pub steps: Vec<Step>,
    /// What must hold at its end.
    pub musts: Vec<Must>,
    /// Nodes that know nothing of places and of the accord, as a version from before them.
    pub before: Parties,
    /// Whether staff order something in it.
    pub staffed: bool,
    /// Whether the platform holds the sockets of nodes, which each of their processes inherits.
    pub held_sockets: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    #[serde(default)]
    about: String,
    /// The world's file, from where this one is.
    world: String,
    /// Laid over the world's file.
    #[serde(default)]
    with: toml::Table,
    #[serde(default, rename = "region")]
    regions: Vec<Region>,
    #[serde(default)]
    ways: Ways,
    /// The zone of the origin, the first one by default.
    origin: Option<String>,
    /// Nodes that know nothing of places and of the accord.
    before: Option<String>,
    #[serde(default)]
    discovery: PerRegion,
    #[serde(default, rename = "step")]
    steps: Vec<Step>,
    #[serde(default, rename = "must")]
    musts: Vec<Must>,
}

/// A region, and the zones in it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// What it is called.
    pub name: String,
    /// Its zones, as the world names them.
    pub zones: Vec<String>,
}

/// Distances, one way.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ways {
    /// Within a zone, milliseconds.
    pub zone_ms: f64,
    /// Between zones of a region, milliseconds.
    pub region_ms: f64,
    /// Between regions, milliseconds.
    pub across_ms: f64,
    /// Up to this part is added.
    pub jitter: f64,
}

impl Default for Ways {
    fn default() -> Self {
        Ways { zone_ms: 0.0, region_ms: 1.0, across_ms: 20.0, jitter: 0.1 }
    }
}

/// Whether there is one of something for all, or one in each region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PerRegion {
    /// One for all, in the zone of the origin.
    #[default]
    One,
    /// One in the first zone of each region.
    EachRegion,
}

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Nothing: a name for a time, or a wait for a fact.
    Mark,
    /// Ways carry nothing and say nothing.
    Cut,
    /// Ways carry again what they held, or reset it.
    Heal,
    /// Ways refuse new connections and reset those that are open.
    Refuse,
    /// Ways reset what is open.
    Reset,
    /// Ways get other delays, rates, losses.
    Weather,
    /// Processes of nodes, or boxes, die.
    Kill,
    /// What has died begins again from nothing.
    Start,
    /// Processes are stopped in their midst.
    Stop,
    /// Stopped processes go on, believing what they believed.
    Continue,
    /// Nodes are told to end as at a planned restart.
    Term,
    /// The load becomes another multiple of the usual.
    Load,
    /// Discovery answers late, or not at all, or with an old or an empty list.
    Discovery,
    /// Ways are cut and mended again and again.
    Flap,
    /// Discovery says of boxes that they are gone, or ready, whatever they are.
    List,
    /// Staff order at a node that a zone is kept in or out for a time.
    Hold,
    /// Staff take that back at a node.
    Release,
}

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answers {
    /// As it should.
    Well,
    /// Late, by the step's `delay_ms`.
    Late,
    /// With 503.
    Down,
    /// With the list as it was at this step.
    Old,
    /// With an empty list.
    Empty,
}

/// What discovery says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Says {
    /// It serves.
    Ready,
    /// It is no longer there.
    Gone,
}

/// One step.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// What it is called: what must hold may name it.
    #[serde(default)]
    pub name: String,
    /// Not before this time since the load began, in seconds; at once after the step before it without one.
    #[serde(default)]
    pub at_s: f64,
    /// Not before this fact.
    pub after: Option<Fact>,
    /// How long the fact may take, in seconds.
    pub within_s: Option<f64>,
    /// What it does.
    #[serde(rename = "do")]
    pub act: Act,
    /// One end of the ways.
    pub from: Option<String>,
    /// The other end.
    pub to: Option<String>,
    /// Only what goes from `from` to `to` is cut, and nothing of what goes back.
    #[serde(default)]
    pub one_way: bool,
    /// What is killed, started, stopped, continued, told to end.
    pub who: Option<String>,
    /// Heal: what was held is reset, instead of released.
    #[serde(default)]
    pub reset: bool,
    /// Weather: one way, added to the distance. Discovery: how late it answers.
    pub delay_ms: Option<f64>,
    /// Weather: up to this part of the delay is added.
    pub jitter: Option<f64>,
    /// Weather: bytes a second of each direction of a connection.
    pub rate: Option<f64>,
    /// Weather: part of the datagrams lost.
    pub lost: Option<f64>,
    /// Weather: part of the datagrams that comes twice.
    pub twice: Option<f64>,
    /// Weather: part of the datagrams that comes late, and out of order.
    pub late: Option<f64>,
    /// Weather: by how much, milliseconds.
    pub late_ms: Option<f64>,
    /// Load: the multiple. Flap: how often.
    pub times: Option<f64>,
    /// Discovery: how it answers.
    pub answers: Option<Answers>,
    /// Flap: seconds between a cut and its end, and until the next.
    pub every_s: Option<f64>,
    /// List: what discovery says.
    pub says: Option<Says>,
    /// Hold, release: of which zone.
    pub zone: Option<String>,
    /// Hold: `in`, `out` or `drain`.
    pub how: Option<String>,
    /// Hold: for how long, in seconds.
    pub for_s: Option<u32>,
}

impl Step {
    /// How long its fact may take.
    pub fn patience(&self) -> Duration {
        Duration::from_secs_f64(self.within_s.unwrap_or(FACT))
    }
}

/// Something that comes true in a trial, told by what can be seen from outside.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fact {
    /// All of these nodes answer `PING` with yes.
    pub ready: Option<String>,
    /// The processes of all of these nodes have ended.
    pub ended: Option<String>,
    /// Each of these nodes has served a request since the step before.
    pub served: Option<String>,
    /// Each of these boxes or the origin has got an attempt since the step before.
    pub reached: Option<String>,
    /// This part of the nodes no longer lets requests wait for what was hit by the step before.
    pub acts: Option<f64>,
}

impl Fact {
    /// The parties that it names.
    pub fn names(&self) -> impl Iterator<Item = (&'static str, &String)> {
        let all = [
            ("ready", &self.ready),
            ("ended", &self.ended),
            ("served", &self.served),
            ("reached", &self.reached),
        ];
        all.into_iter().filter_map(|(key, named)| named.as_ref().map(|named| (key, named)))
    }
}

/// A figure of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Part of the first tries that is served within its aim.
    InTime,
    /// Part that is refused at last.
    Refused,
    /// Part that fails at last or gets no answer.
    Failed,
    /// Half of those served take less, milliseconds.
    P50Ms,
    /// 99 of 100 take less, milliseconds.
    P99Ms,
    /// Part of the attempts at boxes that leave the zone of their node.
    LeavesZone,
    /// Part of the attempts at boxes that leave the region of their node.
    LeavesRegion,
    /// Part of the reads at boxes that are hits.
    HitShare,
    /// Calls at the origin for each first try.
    OriginCalls,
    /// Part of the tries that wait for what can't answer: nobody gets them for a fifth of the shortest aim.
    Waits,
    /// Seconds until half of the nodes act on what the step `from` did.
    ActsHalfS,
    /// Seconds until nine tenths of the nodes act on it.
    ActsMostS,
    /// How far the nodes are from agreeing on giving up `zone`: the part that has, or that has not, if that is less.
    Split,
    /// Seconds after `from` until a second in which 95% of what is usual is served in time.
    BackS,
    /// Part of the attempts at boxes that goes to `zone`.
    ZoneShare,
    /// Part of the tries that clients ask at nodes of `zone`.
    ZoneAsked,
    /// Seconds after `from` until `zone` gets most of what it got in the first seconds of the load.
    ReturnedS,
    /// Boxes that were pushed over.
    Fallen,
    /// Plans by which nodes began to give a zone up.
    Moves,
    /// Part of the nodes that act on the commonest plan at the end of the time, by what their logs say of it.
    Agree,
}

/// Something that must hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Must {
    /// The figure.
    pub figure: Figure,
    /// From the step of this name on; from the beginning without one.
    pub from: Option<String>,
    /// So many seconds later.
    #[serde(default)]
    pub from_s: f64,
    /// Until the step of this name; until the end of the load without one.
    pub until: Option<String>,
    /// So many seconds later.
    #[serde(default)]
    pub until_s: f64,
    /// Of which zone.
    pub zone: Option<String>,
    /// Of which class of requests, where the figure is of requests; of all without one.
    pub class: Option<String>,
    /// It is no more than this.
    pub at_most: Option<f64>,
    /// It is no less than this.
    pub at_least: Option<f64>,
}

/// Lays one table over another: tables key by key, everything else whole.
fn lay(over: &toml::Table, under: &mut toml::Table) {
    for (key, value) in over {
        match (value, under.get_mut(key)) {
            (toml::Value::Table(over), Some(toml::Value::Table(under))) => lay(over, under),
            _ => drop(under.insert(key.clone(), value.clone())),
        }
    }
}

impl Trial {
    /// Reads and checks a trial and the world that it names.
    ///
    /// # Errors
    /// One line with file, line, key and what is wrong.
    pub fn read(path: &Path) -> Result<Trial, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        let fault = |f: ScenarioError| format!("{}: {f}", path.display());
        let file: File = parse(&text).map_err(fault)?;
        let under = path.parent().unwrap_or(Path::new(".")).join(&file.world);
        let below = std::fs::read_to_string(&under)
            .map_err(|e| format!("{}: world: cannot read {}: {e}", path.display(), under.display()))?;
        // Its own faults are told with its own lines, before anything is laid over it.
        Scenario::read(&below).map_err(|e| format!("{}: {e}", under.display()))?;
        Trial::of(&text, file, &below).map_err(fault)
    }

    fn of(text: &str, file: File, world: &str) -> Result<Trial, ScenarioError> {
        let located = |(key, what): (String, String)| ScenarioError {
            line: line_of_key(text, &key),
            key,
            message: what,
        };
        let mut table: toml::Table =
            toml::from_str(world).map_err(|e| located(("world".into(), e.to_string())))?;
        lay(&file.with, &mut table);
        let world: Scenario = table
            .try_into()
            .map_err(|e: toml::de::Error| located(("with".into(), e.message().trim().replace('\n', " "))))?;
        world.validate().map_err(|f| located((format!("with.{}", f.key), f.message)))?;
        let map = Map::new(&world, &file.regions, file.origin.as_deref()).map_err(located)?;
        let before = file.before.as_ref().map_or(Ok(Vec::new()), |word| {
            let parties = map.parties(word).map_err(|what| located(("before".into(), what)))?;
            let others = || located(("before".into(), format!("{word:?} names other parties than nodes")));
            if parties.iter().all(|p| p.kind == Kind::Node) { Ok(parties) } else { Err(others()) }
        })?;
        let orders = |step: &Step| matches!(step.act, Act::Hold | Act::Release);
        let trial = Trial {
            staffed: file.steps.iter().any(orders),
            held_sockets: false,
            before,
            name: file.name,
            about: file.about,
            scenario: world,
            map,
            ways: file.ways,
            discovery: file.discovery,
            steps: file.steps,
            musts: file.musts,
        };
        trial.check().map_err(located)?;
        Ok(trial)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let bad = |key: String, what: &str| Err((key, what.to_owned()));
        if self.name.is_empty() || !self.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return bad("name".into(), "letters, digits and dashes only");
        }
        if self.scenario.load.rate * self.scenario.seconds > MOST_REQUESTS {
            return bad("world".into(), &format!("more than {MOST_REQUESTS} first tries"));
        }
        let ways = &self.ways;
        for (key, value) in
            [("zone_ms", ways.zone_ms), ("region_ms", ways.region_ms), ("across_ms", ways.across_ms)]
        {
            check_range(&format!("ways.{key}"), value, 0.0, 1000.0)?;
        }
        check_range("ways.jitter", ways.jitter, 0.0, 10.0)?;
        let mut names = BTreeSet::new();
        for (i, step) in self.steps.iter().enumerate() {
            self.check_step(&format!("step.{i}"), step)?;
            if !step.name.is_empty() && !names.insert(step.name.as_str()) {
                return bad(format!("step.{i}.name"), "two steps of this name");
            }
        }
        for (i, must) in self.musts.iter().enumerate() {
            self.check_must(&format!("must.{i}"), must, &names)?;
        }
        Ok(())
    }

    fn parties(&self, key: &str, named: Option<&String>) -> Result<Parties, (String, String)> {
        let Some(named) = named else { return Err((key.to_owned(), "is missing".into())) };
        self.map.parties(named).map_err(|what| (key.to_owned(), what))
    }

    fn check_step(&self, at: &str, step: &Step) -> Result<(), (String, String)> {
        let key = |name: &str| format!("{at}.{name}");
        check_range(&key("at_s"), step.at_s, 0.0, 3600.0)?;
        if let Some(within) = step.within_s {
            check_range(&key("within_s"), within, 0.1, 3600.0)?;
        }
        if let Some(fact) = &step.after {
            let told = fact.names().count() + usize::from(fact.acts.is_some());
            if told != 1 {
                return Err((key("after"), "one fact is needed".into()));
            }
            for (name, named) in fact.names() {
                let parties = self.parties(&key(&format!("after.{name}")), Some(named))?;
                let fits = |kind| match name {
                    "reached" => matches!(kind, Kind::Box | Kind::Origin),
                    _ => kind == Kind::Node,
                };
                if !parties.iter().all(|p| fits(p.kind)) {
                    return Err((
                        key(&format!("after.{name}")),
                        format!("{named:?} names other parties too"),
                    ));
                }
            }
            if let Some(part) = fact.acts {
                check_range(&key("after.acts"), part, 0.01, 1.0)?;
            }
        }
        match step.act {
            Act::Mark => {}
            Act::Cut | Act::Heal | Act::Refuse | Act::Reset | Act::Weather => {
                self.parties(&key("from"), step.from.as_ref())?;
                self.parties(&key("to"), step.to.as_ref())?;
            }
            Act::Kill | Act::Start | Act::Stop | Act::Continue | Act::Term => {
                let parties = self.parties(&key("who"), step.who.as_ref())?;
                let boxes = matches!(step.act, Act::Kill | Act::Start);
                let fits = |kind| kind == Kind::Node || boxes && kind == Kind::Box;
                if !parties.iter().all(|p| fits(p.kind)) {
                    let which = if boxes { "nodes and boxes only" } else { "nodes only" };
                    return Err((key("who"), which.into()));
                }
            }
            Act::Flap => {
                self.parties(&key("from"), step.from.as_ref())?;
                self.parties(&key("to"), step.to.as_ref())?;
                check_range(&key("every_s"), step.every_s.unwrap_or(f64::NAN), 0.05, 600.0)?;
                check_range(&key("times"), step.times.unwrap_or(f64::NAN), 1.0, 10_000.0)?;
            }
            Act::List => {
                let parties = self.parties(&key("who"), step.who.as_ref())?;
                if parties.iter().any(|p| p.kind != Kind::Box) {
                    return Err((key("who"), "boxes only".into()));
                }
                step.says.ok_or((key("says"), "is missing".to_owned()))?;
            }
            Act::Load => check_range(&key("times"), step.times.unwrap_or(f64::NAN), 0.0, 100.0)?,
            Act::Discovery => {
                if step.answers.is_none() {
                    return Err((key("answers"), "is missing".into()));
                }
            }
            Act::Hold | Act::Release => {
                let parties = self.parties(&key("who"), step.who.as_ref())?;
                if parties.len() != 1 || parties[0].kind != Kind::Node {
                    return Err((key("who"), "one node takes an order".into()));
                }
                let named = step.zone.as_ref().filter(|z| self.scenario.zones.contains(z));
                named.ok_or((key("zone"), "a zone of the world is needed".to_owned()))?;
                if step.act == Act::Hold {
                    let how = step.how.as_deref().filter(|how| ["in", "out", "drain"].contains(how));
                    how.ok_or((key("how"), "in, out or drain is needed".to_owned()))?;
                    check_range(&key("for_s"), step.for_s.map_or(f64::NAN, f64::from), 1.0, 64_800.0)?;
                }
            }
        }
        let shares = [("lost", step.lost), ("twice", step.twice), ("late", step.late)];
        for (name, value) in shares {
            check_range(&key(name), value.unwrap_or(0.0), 0.0, 1.0)?;
        }
        check_range(&key("jitter"), step.jitter.unwrap_or(0.0), 0.0, 10.0)?;
        for (name, value) in [("delay_ms", step.delay_ms), ("late_ms", step.late_ms)] {
            check_range(&key(name), value.unwrap_or(0.0), 0.0, 60_000.0)?;
        }
        check_range(&key("rate"), step.rate.unwrap_or(0.0), 0.0, 1e9)
    }

    fn check_must(&self, at: &str, must: &Must, names: &BTreeSet<&str>) -> Result<(), (String, String)> {
        for (key, named) in [("from", &must.from), ("until", &must.until)] {
            if let Some(named) = named.as_ref().filter(|n| !names.contains(n.as_str())) {
                return Err((format!("{at}.{key}"), format!("no step is called {named:?}")));
            }
        }
        for (key, value) in [("from_s", must.from_s), ("until_s", must.until_s)] {
            check_range(&format!("{at}.{key}"), value, 0.0, 3600.0)?;
        }
        if must.at_most.is_none() && must.at_least.is_none() {
            return Err((at.to_owned(), "neither at_most nor at_least".into()));
        }
        for (key, value) in [("at_most", must.at_most), ("at_least", must.at_least)] {
            check_range(&format!("{at}.{key}"), value.unwrap_or(0.0), 0.0, 1e9)?;
        }
        let from_a_step =
            [Figure::ActsHalfS, Figure::ActsMostS, Figure::BackS, Figure::ReturnedS].contains(&must.figure);
        if from_a_step && must.from.is_none() {
            return Err((format!("{at}.from"), "this figure counts from a step".into()));
        }
        let of_requests = [Figure::InTime, Figure::Refused, Figure::Failed, Figure::P50Ms, Figure::P99Ms];
        if let Some(class) = &must.class {
            if !self.scenario.class.iter().any(|c| c.name == *class) {
                return Err((format!("{at}.class"), format!("there is no class {class:?}")));
            }
            if !of_requests.contains(&must.figure) {
                return Err((format!("{at}.class"), "this figure is not of requests by class".into()));
            }
        }
        let zone = |named: &String| self.scenario.zones.contains(named);
        let of_a_zone = [Figure::Split, Figure::ReturnedS, Figure::ZoneShare, Figure::ZoneAsked];
        match (&must.zone, of_a_zone.contains(&must.figure)) {
            (None, true) => Err((format!("{at}.zone"), "this figure is of a zone".into())),
            (Some(named), _) if !zone(named) => {
                Err((format!("{at}.zone"), format!("there is no zone {named:?}")))
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WORLD: &str = include_str!("../../../scenarios/site.toml");

    fn bad(text: &str) -> String {
        let all = format!("name = \"t\"\nworld = \"w\"\n{text}");
        match parse::<File>(&all).and_then(|file| Trial::of(&all, file, WORLD)) {
            Ok(_) => panic!("taken: {text}"),
            Err(e) => e.to_string(),
        }
    }

    #[test]
    fn nonsense_is_refused_with_line_key_and_range() {
        let near = |text: &str, told: &str| assert_eq!(bad(text), told);
        near("[[region]]\nname = \"r\"\nzones = [\"x\"]", "line 5: region.0.zones: there is no zone \"x\"");
        near(
            "[[region]]\nname = \"r\"\nzones = [\"recife\"]\n[[region]]\nname = \"s\"\nzones = [\"recife\"]",
            "line 8: region.1.zones: \"recife\" is in two regions",
        );
        near(
            "[[region]]\nname = \"r\"\nzones = [\"recife\"]",
            "line 3: region: no region has the zone \"fortaleza\"",
        );
        near("origin = \"x\"", "line 3: origin: there is no zone \"x\"");
        near("[ways]\nzone_ms = -1", "line 4: ways.zone_ms: -1 is not within 0 to 1000");
        near("[[step]]\ndo = \"kill\"\nwho = \"origin\"", "line 5: step.0.who: nodes and boxes only");
        near("[[step]]\ndo = \"kill\"\nwho = \"node:7\"", "line 5: step.0.who: there is no node:7");
        near("[[step]]\ndo = \"cut\"\nto = \"*\"", "line 3: step.0.from: is missing");
        near("[[step]]\ndo = \"hold\"\nwho = \"nodes\"", "line 5: step.0.who: one node takes an order");
        near(
            "[[step]]\ndo = \"hold\"\nwho = \"node:1\"\nzone = \"recife\"\nhow = \"off\"",
            "line 7: step.0.how: in, out or drain is needed",
        );
        near(
            "[[must]]\nfigure = \"in_time\"\nat_least = 1\nclass = \"x\"",
            "line 6: must.0.class: there is no class \"x\"",
        );
        near("[[step]]\ndo = \"mark\"\nafter = {}", "line 5: step.0.after: one fact is needed");
        near("[[must]]\nfigure = \"in_time\"", "line 3: must.0: neither at_most nor at_least");
        near(
            "[[must]]\nfigure = \"in_time\"\nat_least = 1\nfrom = \"x\"",
            "line 6: must.0.from: no step is called \"x\"",
        );
        near("[with]\nseconds = -2", "line 4: with.seconds: -2 is not within 0.1 to 3600");
        assert!(bad("[[step]]\ndo = \"fly\"").starts_with("line 4: unknown variant `fly`"));
        assert!(bad("[with.load]\nratte = 3").contains("ratte"));
    }
}
