//! The operator's file: what a deployment switches on beside what the platform tells the node. Without the file, and
//! for what it does not name, the node is as it was before there was one.

use brassrouter::StormMitigation;
use brassrouter::settings::DeploymentSettings;
use mothpier_places::Places;
use mothpier_record::Figures;
use mothpier_storm::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// What the operator has switched on.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Storms after an outage.
    pub storm: Storm,
    /// A record of what the decision module was told.
    pub record: Record,
    /// Where zones lie, and whether traffic stays near.
    pub places: Places,
    /// Whether nodes agree on which zones serve.
    #[serde(rename = "accord")]
    pub agreement: Accord,
}

/// How nodes agree on which zones serve.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Accord {
    /// Whether they do at all.
    pub on: bool,
    /// The numbers of the nodes that vote, the same at every node: an odd number of them, in several places.
    pub voters: Vec<u16>,
    /// Where this node hears the others.
    pub listen: Option<SocketAddr>,
    /// Where this node finds each node, by its number, and from where it hears it.
    #[serde(deserialize_with = "shared")]
    pub members: Arc<[SocketAddr]>,
    /// Figures of the plan.
    pub plan: mothpier_plan::Tuning,
}

/// Addresses that many nodes of one process may share.
fn shared<'a, D: serde::Deserializer<'a>>(from: D) -> Result<Arc<[SocketAddr]>, D::Error> {
    Vec::deserialize(from).map(Arc::from)
}

impl Accord {
    fn check(&self) -> Result<(), (String, String)> {
        self.plan.validate().map_err(|(key, what)| (format!("plan.{key}"), what))?;
        self.check_members().map_err(|(key, what)| (key.to_owned(), what))
    }

    fn check_members(&self) -> Result<(), (&'static str, String)> {
        if !self.on {
            return Ok(());
        }
        if self.listen.is_none() {
            return Err(("on", "accord.listen is missing".into()));
        }
        if self.voters.is_empty() || self.voters.len() > 9 || self.voters.len().is_multiple_of(2) {
            return Err(("voters", format!("{} voters: 1, 3, 5, 7 or 9 are allowed", self.voters.len())));
        }
        if let Some(voter) = self.voters.iter().find(|v| usize::from(**v) >= self.members.len()) {
            return Err(("voters", format!("there is no member {voter}; there are {}", self.members.len())));
        }
        if self.voters.iter().enumerate().any(|(i, v)| self.voters[..i].contains(v)) {
            return Err(("voters", "a voter is named twice".into()));
        }
        Ok(())
    }
}

impl Operator {
    /// Looks whether what it says fits a node's settings; the text is that which it was read from.
    ///
    /// # Errors
    /// One plain line with the place.
    pub fn check_against(&self, text: &str, site: &DeploymentSettings) -> Result<(), String> {
        if self.agreement.on {
            let (members, nodes) = (self.agreement.members.len(), site.policy.node_count as usize);
            if !self.places.on {
                return Err(at(text, "accord", "on", "accord.on: it needs places.on".into()));
            }
            if members != nodes || site.policy.node_index as usize >= nodes {
                let told = format!("accord.members: {members} are named; the settings have {nodes} nodes");
                return Err(at(text, "accord", "members", told));
            }
            if site.zone_names.len() > mothpier_plan::MOST_ZONES {
                let told = format!("accord.on: at most {} zones", mothpier_plan::MOST_ZONES);
                return Err(at(text, "accord", "on", told));
            }
        }
        if !self.places.on {
            return Ok(());
        }
        let fits = self.places.rings(&site.zone_names, site.zone);
        fits.map(drop).map_err(|e| at(text, "places", &e.key, format!("places.{e}")))
    }
}

/// A message with the line of a key in a table, or that of the table, where the text shows it.
fn at(text: &str, table: &str, key: &str, told: String) -> String {
    let key = key.rsplit('.').next().unwrap_or(key);
    let lines = || text.lines().map(str::trim_start).enumerate().map(|(at, line)| (at + 1, line));
    let begin = lines().find(|(_, l)| l.starts_with(&format!("[{table}"))).map(|(at, _)| at);
    let named = |l: &str| l.starts_with(key) || l.starts_with(&format!("[[{table}.{key}"));
    let found = lines().find(|(at, l)| Some(*at) >= begin && named(l)).map(|(at, _)| at).or(begin);
    found.map_or(told.clone(), |line| format!("line {line}: {told}"))
}

/// What is recorded.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Record {
    /// Whether the node records. May be changed while it runs.
    pub on: bool,
    /// Where segments go; without it there can be no record.
    pub folder: Option<PathBuf>,
    /// Whether a node that starts counts what the record says that its earlier life left behind.
    pub recover: bool,
    /// A file with the secret under which keys are hashed; the same on all nodes of the tier.
    pub key_file: Option<PathBuf>,
    /// Figures of the recorder.
    #[serde(rename = "figures")]
    pub tuning: Figures,
}

impl Default for Record {
    fn default() -> Self {
        Record { on: false, folder: None, recover: true, key_file: None, tuning: Figures::default() }
    }
}

/// What is done about storms.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Storm {
    /// Whether they are looked for at all.
    pub detect: bool,
    /// In a storm, those refused get places in a line that moves as capacity returns.
    pub advice: bool,
    /// In a storm, repeats are held to a part of the first tries.
    pub repeats: bool,
    /// Figures of the detector and of the door.
    #[serde(rename = "figures")]
    pub tuning: Settings,
}

impl Default for Storm {
    fn default() -> Self {
        Storm { detect: false, advice: true, repeats: true, tuning: Settings::default() }
    }
}

impl Storm {
    /// What the decision module does in a storm.
    pub fn damping(&self) -> StormMitigation {
        StormMitigation { virtual_queue: self.advice, limit_retries: self.repeats }
    }
}

/// Reads the text of an operator's file.
///
/// # Errors
/// One plain line with the place: text that is no TOML, an unknown key, a figure outside its range.
pub fn read(text: &str) -> Result<Operator, String> {
    let operator: Operator = toml::from_str(text).map_err(|e| {
        let line = e.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        let at = line.map_or(String::new(), |line| format!("line {line}: "));
        format!("{at}{}", e.message().replace('\n', " "))
    })?;
    let located = |table, key: &str, told| at(text, table, key, told);
    operator.storm.tuning.validate().map_err(|e| located("storm", e.key, format!("storm.figures.{e}")))?;
    operator.record.tuning.check().map_err(|e| located("record", e.key, format!("record.figures.{e}")))?;
    operator.places.validate().map_err(|e| located("places", &e.key, format!("places.{e}")))?;
    operator.agreement.check().map_err(|(key, e)| located("accord", &key, format!("accord.{key}: {e}")))?;
    if operator.record.on && operator.record.folder.is_none() {
        let told = "record.on: there is no record.folder to record to";
        return Err(located("record", "on", told.into()));
    }
    Ok(operator)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nonsense_is_refused_with_its_place_key_value_and_range() {
        let bad = |text: &str| read(text).expect_err(text);
        assert_eq!(
            bad("[storm]\n[storm.figures]\naccepts_per_s = -3"),
            "line 3: storm.figures.accepts_per_s: -3 is not between 1 and 1000000"
        );
        assert!(bad("[storm.figures]\nrepeats = 1.5").ends_with("is not between 0.01 and 1"));
        assert!(bad("[storm.figures]\nleave_ms = 100").contains("is not between 500"));
        assert!(bad("[storm]\ndetectt = true").starts_with("line 2: unknown field `detectt`"));
        assert!(bad("[storm\n").starts_with("line 1: "));
        assert!(bad("[storm.figures]\nenter_ms = -5").starts_with("line 2: "));
        assert_eq!(
            bad("[record]\non = true\nfolder = \"r\"\n[record.figures]\nmost_mib = 4\nsegment_mib = 3"),
            "line 6: record.figures.segment_mib: 3 is not between 0.05 and 2"
        );
        assert_eq!(bad("[record]\non = true"), "line 2: record.on: there is no record.folder to record to");
        assert_eq!(
            bad("[storm]\ndetect = true\n[places]\non = true\n[places.figures]\nscouts = 0.5"),
            "line 6: places.figures.scouts: 0.5 is not between 0.001 and 0.2"
        );
        let twice = "[places]\n[[places.region]]\nname = \"a\"\nzones = [\"x\", \"x\"]";
        assert_eq!(bad(twice), "line 2: places.region: zone \"x\" is named twice");
        assert!(bad("[places]\npool = \"town\"").starts_with("line 2: unknown variant `town`"));
        assert_eq!(read("").unwrap(), Operator::default());
        assert!(!read("").unwrap().places.on && !read("").unwrap().agreement.on);
        let accord = |rest: &str| format!("[accord]\non = true\nlisten = \"127.0.0.1:9\"\n{rest}");
        assert_eq!(bad("[accord]\non = true"), "line 2: accord.on: accord.listen is missing");
        assert_eq!(
            bad(&accord("voters = [0, 1]")),
            "line 4: accord.voters: 2 voters: 1, 3, 5, 7 or 9 are allowed"
        );
        let one = accord("members = [\"127.0.0.1:9\"]\nvoters = [1]");
        assert_eq!(bad(&one), "line 5: accord.voters: there is no member 1; there are 1");
        assert_eq!(bad("[accord.plan]\nmost = 3"), "line 2: accord.plan.most: 3 is not between 0 and 1");
        assert!(!read("").unwrap().storm.detect, "nothing is on that the operator did not switch on");
    }

    #[test]
    fn places_must_fit_the_zones_of_the_settings() {
        let site = |zone: &str| {
            let text = format!(r#"{{"classes":[{{"name":"read"}}],"zones":["a","b"]{zone}}}"#);
            brassrouter::settings::parse(text.as_bytes()).unwrap()
        };
        let text = "[places]\non = true\n[[places.region]]\nname = \"r\"\nzones = [\"a\", \"c\"]";
        let operator = read(text).unwrap();
        let told = "line 3: places.region: there is no zone \"c\"; the settings have a, b";
        assert_eq!(operator.check_against(text, &site(r#","zone":0"#)).unwrap_err(), told);
        let text = "[places]\non = true";
        let operator = read(text).unwrap();
        assert!(operator.check_against(text, &site(r#","zone":1"#)).is_ok());
        let told = "line 2: places.on: the settings name no zone for this node";
        assert_eq!(operator.check_against(text, &site("")).unwrap_err(), told);
        assert_eq!(operator.check_against(text, &site(r#","zone":2"#)).unwrap_err(), told);
        assert!(
            read("").unwrap().check_against("", &site("")).is_ok(),
            "switched off, nothing is asked of the settings"
        );
    }
}
