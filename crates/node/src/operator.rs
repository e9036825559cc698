//! The operator's file: what a deployment switches on beside what the platform tells the node. Without the file, and
//! for what it does not name, the node is as it was before there was one.

use brassrouter::Damping;
use mothpier_storm::Settings;
use serde::Deserialize;

/// What the operator has switched on.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Storms after an outage.
    pub storm: Storm,
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
    operator.storm.figures.check().map_err(|e| {
        let key = e.key;
        let line = text.lines().position(|l| l.trim_start().starts_with(key)).map(|l| l + 1);
        line.map_or(format!("storm.figures.{e}"), |line| format!("line {line}: storm.figures.{e}"))
    })?;
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
        assert_eq!(read("").unwrap(), Operator::default());
        assert!(!read("").unwrap().storm.detect, "nothing is on that the operator did not switch on");
    }
}
