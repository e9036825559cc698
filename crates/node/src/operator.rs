//! The operator's file: what a deployment switches on beside what the platform tells the node. Without the file, and
//! for what it does not name, the node is as it was before there was one.

use brassrouter::Damping;
use mothpier_record::Figures;
use mothpier_storm::Settings;
use serde::Deserialize;
use std::path::PathBuf;

/// What the operator has switched on.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Storms after an outage.
    pub storm: Storm,
    /// A record of what the decision module was told.
    pub record: Record,
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
    pub figures: Figures,
}

impl Default for Record {
    fn default() -> Self {
        Record { on: false, folder: None, recover: true, key_file: None, figures: Figures::default() }
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
    pub figures: Settings,
}

impl Default for Storm {
    fn default() -> Self {
        Storm { detect: false, advice: true, repeats: true, figures: Settings::default() }
    }
}

impl Storm {
    /// What the decision module does in a storm.
    pub fn damping(&self) -> Damping {
        Damping { advice: self.advice, repeats: self.repeats }
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
    let line = |key: &str| text.lines().position(|l| l.trim_start().starts_with(key)).map(|l| l + 1);
    let at = |key, told: String| line(key).map_or(told.clone(), |line| format!("line {line}: {told}"));
    operator.storm.figures.check().map_err(|e| at(e.key, format!("storm.figures.{e}")))?;
    operator.record.figures.check().map_err(|e| at(e.key, format!("record.figures.{e}")))?;
    if operator.record.on && operator.record.folder.is_none() {
        return Err(at("on", "record.on: there is no record.folder to record to".into()));
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
        assert_eq!(read("").unwrap(), Operator::default());
        assert!(!read("").unwrap().storm.detect, "nothing is on that the operator did not switch on");
    }
}
