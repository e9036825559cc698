//! The operator's file: optional functions that a deployment enables beside the configuration from the
//! platform. Everything is disabled without the file, and where it has no entry.

use brassrouter::StormMitigation;
use brassrouter::settings::DeploymentSettings;
use mothpier_places::Places;
use mothpier_record::Tuning;
use mothpier_storm::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Contents of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// Handling of request storms after an outage.
    pub storm: StormConfig,
    /// Recording of the events of the decision module.
    pub record: RecordConfig,
    /// Layout of zones, and whether traffic stays in nearby ones.
    pub places: Places,
    /// Agreement among nodes on the zones in service.
    #[serde(rename = "accord")]
    pub agreement: AgreementConfig,
}

/// How nodes agree on the zones in service.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgreementConfig {
    /// Whether the agreement is enabled.
    pub on: bool,
    /// Indices of the voting nodes: an odd number in several locations, the same at every node.
    pub voters: Vec<u16>,
    /// Address on which this node receives the messages of members.
    pub listen: Option<SocketAddr>,
    /// Address of each node by its index, for sending and for identifying senders.
    #[serde(deserialize_with = "shared_slice")]
    pub members: Arc<[SocketAddr]>,
    /// Tuning of the plan.
    pub plan: mothpier_plan::Tuning,
}

/// Reads addresses into a slice that many nodes of one process can share.
fn shared_slice<'a, D: serde::Deserializer<'a>>(from: D) -> Result<Arc<[SocketAddr]>, D::Error> {
    Vec::deserialize(from).map(Arc::from)
}

impl AgreementConfig {
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

impl OperatorConfig {
    /// Checks the file against a node's settings; `text` is its source.
    ///
    /// # Errors
    /// One line with the place of the error.
    pub fn check_against(&self, text: &str, settings: &DeploymentSettings) -> Result<(), String> {
        if self.agreement.on {
            let (members, nodes) = (self.agreement.members.len(), settings.policy.node_count as usize);
            if !self.places.on {
                return Err(with_line(text, "accord", "on", "accord.on: requires places.on".into()));
            }
            if members != nodes || settings.policy.node_index as usize >= nodes {
                let message = format!("accord.members: {members} are named; the settings have {nodes} nodes");
                return Err(with_line(text, "accord", "members", message));
            }
            if settings.zone_names.len() > mothpier_plan::MOST_ZONES {
                let message = format!("accord.on: at most {} zones", mothpier_plan::MOST_ZONES);
                return Err(with_line(text, "accord", "on", message));
            }
        }
        if !self.places.on {
            return Ok(());
        }
        let rings = self.places.rings(&settings.zone_names, settings.zone);
        rings.map(drop).map_err(|e| with_line(text, "places", &e.key, format!("places.{e}")))
    }
}

/// Prefixes a message with the line of a key in a table, or of the table, if the text has it.
fn with_line(text: &str, table: &str, key: &str, message: String) -> String {
    let key = key.rsplit('.').next().unwrap_or(key);
    let lines = || text.lines().map(str::trim_start).enumerate().map(|(at, line)| (at + 1, line));
    let table_line = lines().find(|(_, l)| l.starts_with(&format!("[{table}"))).map(|(at, _)| at);
    let named = |l: &str| l.starts_with(key) || l.starts_with(&format!("[[{table}.{key}"));
    let found = lines().find(|(at, l)| Some(*at) >= table_line && named(l)).map(|(at, _)| at).or(table_line);
    found.map_or(message.clone(), |line| format!("line {line}: {message}"))
}

/// What is recorded.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecordConfig {
    /// Whether the node records. Can be changed at run time.
    pub on: bool,
    /// Folder of the segments; required for recording.
    pub folder: Option<PathBuf>,
    /// Whether a starting node restores what its earlier incarnation left behind, according to the record.
    pub recover: bool,
    /// File with the secret for hashing keys; the same on all nodes of the tier.
    pub key_file: Option<PathBuf>,
    /// Tuning of the recorder.
    #[serde(rename = "figures")]
    pub tuning: Tuning,
}

impl Default for RecordConfig {
    fn default() -> Self {
        RecordConfig { on: false, folder: None, recover: true, key_file: None, tuning: Tuning::default() }
    }
}

/// Handling of request storms.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StormConfig {
    /// Whether storms are detected.
    pub detect: bool,
    /// Whether refused requests are placed in a virtual queue that advances as capacity returns, during a
    /// storm.
    pub advice: bool,
    /// Whether retries are limited to a share of the first attempts of clients, during a storm.
    pub repeats: bool,
    /// Tuning of the detector and of connection admission.
    #[serde(rename = "figures")]
    pub tuning: Settings,
}

impl Default for StormConfig {
    fn default() -> Self {
        StormConfig { detect: false, advice: true, repeats: true, tuning: Settings::default() }
    }
}

impl StormConfig {
    /// What the decision module does during a storm.
    pub fn damping(&self) -> StormMitigation {
        StormMitigation { virtual_queue: self.advice, limit_retries: self.repeats }
    }
}

/// Parses an operator's file.
///
/// # Errors
/// One line with the place of the error: invalid TOML, an unknown key, or a value outside its range.
pub fn read(text: &str) -> Result<OperatorConfig, String> {
    let operator: OperatorConfig = toml::from_str(text).map_err(|e| {
        let line = e.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        let at = line.map_or(String::new(), |line| format!("line {line}: "));
        format!("{at}{}", e.message().replace('\n', " "))
    })?;
    let located = |table, key: &str, message| with_line(text, table, key, message);
    operator.storm.tuning.validate().map_err(|e| located("storm", e.key, format!("storm.figures.{e}")))?;
    operator.record.tuning.validate().map_err(|e| located("record", e.key, format!("record.figures.{e}")))?;
    operator.places.validate().map_err(|e| located("places", &e.key, format!("places.{e}")))?;
    operator.agreement.check().map_err(|(key, e)| located("accord", &key, format!("accord.{key}: {e}")))?;
    if operator.record.on && operator.record.folder.is_none() {
        let message = "record.on: there is no record.folder to record to";
        return Err(located("record", "on", message.into()));
    }
    Ok(operator)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_name_line_key_value_and_range() {
        let error = |text: &str| read(text).expect_err(text);
        assert_eq!(
            error("[storm]\n[storm.figures]\naccepts_per_s = -3"),
            "line 3: storm.figures.accepts_per_s: -3 is not between 1 and 1000000"
        );
        assert!(error("[storm.figures]\nrepeats = 1.5").ends_with("is not between 0.01 and 1"));
        assert!(error("[storm.figures]\nleave_ms = 100").contains("is not between 500"));
        assert!(error("[storm]\ndetectt = true").starts_with("line 2: unknown field `detectt`"));
        assert!(error("[storm\n").starts_with("line 1: "));
        assert!(error("[storm.figures]\nenter_ms = -5").starts_with("line 2: "));
        assert_eq!(
            error("[record]\non = true\nfolder = \"r\"\n[record.figures]\nmost_mib = 4\nsegment_mib = 3"),
            "line 6: record.figures.segment_mib: 3 is not between 0.05 and 2"
        );
        assert_eq!(error("[record]\non = true"), "line 2: record.on: there is no record.folder to record to");
        assert_eq!(
            error("[storm]\ndetect = true\n[places]\non = true\n[places.figures]\nscouts = 0.5"),
            "line 6: places.figures.scouts: 0.5 is not between 0.001 and 0.2"
        );
        let twice = "[places]\n[[places.region]]\nname = \"a\"\nzones = [\"x\", \"x\"]";
        assert_eq!(error(twice), "line 2: places.region: zone \"x\" is named twice");
        assert!(error("[places]\npool = \"town\"").starts_with("line 2: unknown variant `town`"));
        assert_eq!(read("").unwrap(), OperatorConfig::default());
        assert!(!read("").unwrap().places.on && !read("").unwrap().agreement.on);
        let accord = |rest: &str| format!("[accord]\non = true\nlisten = \"127.0.0.1:9\"\n{rest}");
        assert_eq!(error("[accord]\non = true"), "line 2: accord.on: accord.listen is missing");
        assert_eq!(
            error(&accord("voters = [0, 1]")),
            "line 4: accord.voters: 2 voters: 1, 3, 5, 7 or 9 are allowed"
        );
        let one = accord("members = [\"127.0.0.1:9\"]\nvoters = [1]");
        assert_eq!(error(&one), "line 5: accord.voters: there is no member 1; there are 1");
        assert_eq!(error("[accord.plan]\nmost = 3"), "line 2: accord.plan.most: 3 is not between 0 and 1");
        assert!(!read("").unwrap().storm.detect, "everything is disabled by default");
    }

    #[test]
    fn places_must_match_the_configured_zones() {
        let settings = |zone: &str| {
            let text = format!(r#"{{"classes":[{{"name":"read"}}],"zones":["a","b"]{zone}}}"#);
            brassrouter::settings::parse(text.as_bytes()).unwrap()
        };
        let text = "[places]\non = true\n[[places.region]]\nname = \"r\"\nzones = [\"a\", \"c\"]";
        let operator = read(text).unwrap();
        let message = "line 3: places.region: there is no zone \"c\"; the settings have a, b";
        assert_eq!(operator.check_against(text, &settings(r#","zone":0"#)).unwrap_err(), message);
        let text = "[places]\non = true";
        let operator = read(text).unwrap();
        assert!(operator.check_against(text, &settings(r#","zone":1"#)).is_ok());
        let message = "line 2: places.on: the settings name no zone for this node";
        assert_eq!(operator.check_against(text, &settings("")).unwrap_err(), message);
        assert_eq!(operator.check_against(text, &settings(r#","zone":2"#)).unwrap_err(), message);
        assert!(
            read("").unwrap().check_against("", &settings("")).is_ok(),
            "disabled functions place no demands on the settings"
        );
    }
}
