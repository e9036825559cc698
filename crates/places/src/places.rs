//! What the operator says of places, checked.

use std::fmt;

use serde::Deserialize;

/// The pool in which a key's order is taken while nothing is wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// The node's own zone.
    Zone,
    /// The node's own region.
    #[default]
    Region,
    /// Every zone, as without places.
    All,
}

/// A region, and the zones in it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// What it is called.
    pub name: String,
    /// Its zones, as the settings name them.
    pub zones: Vec<String>,
}

/// Places, as the operator's file has them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Places {
    /// Whether traffic stays near at all.
    pub on: bool,
    /// How far a key's order reaches while nothing is wrong.
    pub pool: Reach,
    /// The regions; a zone that none names is a region of its own.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// Figures of the spill-over.
    #[serde(rename = "figures")]
    pub tuning: Tuning,
}

/// Figures of the spill-over.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Between two steps, in milliseconds. Each node's steps differ from it by up to a quarter, by chance.
    pub step_ms: u64,
    /// An attempt that nobody has answered for this long counts as silent, in milliseconds.
    #[serde(rename = "silent_ms")]
    pub unanswered_after_ms: u64,
    /// The part of silent attempts from which a ring counts as lost.
    pub lost: f64,
    /// The part of attempts that are turned away, fail or are late from which a ring counts as strained.
    pub strained: f64,
    /// The first step away from a lost ring; each further one is twice as large.
    pub first_step: f64,
    /// A step away from a strained ring.
    pub strained_step: f64,
    /// A step back.
    pub back_step: f64,
    /// So long after the last sign of trouble the first step back is made, in milliseconds; twice as long after each return
    /// that failed, up to sixteen times.
    pub hold_ms: u64,
    /// The part of the keys that stays near whatever happens: by it a node learns that a ring is back.
    pub scouts: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            step_ms: 250,
            unanswered_after_ms: 200,
            lost: 0.6,
            strained: 0.15,
            first_step: 0.25,
            strained_step: 0.05,
            back_step: 0.05,
            hold_ms: 2000,
            scouts: 0.02,
        }
    }
}

/// What is wrong with places: the key, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key, from `places` on.
    pub key: String,
    /// What is wrong, with the value and what is allowed.
    pub problem: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

impl Places {
    /// Looks whether figures and regions make sense by themselves.
    ///
    /// # Errors
    /// The first thing that does not, with its key.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let f = &self.tuning;
        let figures = [
            ("step_ms", f.step_ms as f64, 50.0, 10_000.0),
            ("silent_ms", f.unanswered_after_ms as f64, 10.0, 60_000.0),
            ("lost", f.lost, 0.1, 1.0),
            ("strained", f.strained, 0.01, 1.0),
            ("first_step", f.first_step, 0.01, 1.0),
            ("strained_step", f.strained_step, 0.01, 1.0),
            ("back_step", f.back_step, 0.01, 1.0),
            ("hold_ms", f.hold_ms as f64, 100.0, 600_000.0),
            ("scouts", f.scouts, 0.001, 0.2),
        ];
        for (key, value, least, most) in figures {
            if !(least..=most).contains(&value) {
                let what = format!("{value} is not between {least} and {most}");
                return Err(InvalidSetting { key: format!("figures.{key}"), problem: what });
            }
        }
        let bad = |what: String| Err(InvalidSetting { key: "region".into(), problem: what });
        for (i, region) in self.regions.iter().enumerate() {
            if region.name.is_empty() || region.zones.is_empty() {
                return bad(format!("region {:?} needs a name and a zone", region.name));
            }
            if self.regions[..i].iter().any(|r| r.name == region.name) {
                return bad(format!("two regions are called {:?}", region.name));
            }
            for (j, zone) in region.zones.iter().enumerate() {
                if region.zones[..j].contains(zone)
                    || self.regions[..i].iter().any(|r| r.zones.contains(zone))
                {
                    return bad(format!("zone {zone:?} is named twice"));
                }
            }
        }
        Ok(())
    }

    /// Looks whether they fit the zones that the settings name, and says in which ring each zone is, seen from one of
    /// them: 0 the pool, 1 and 2 what lies farther out.
    ///
    /// # Errors
    /// A zone that the settings lack, or a node that has no zone.
    pub fn rings(&self, zones: &[String], own: Option<u8>) -> Result<Vec<u8>, InvalidSetting> {
        for zone in self.regions.iter().flat_map(|r| &r.zones) {
            if !zones.contains(zone) {
                let what = format!("there is no zone {zone:?}; the settings have {}", zones.join(", "));
                return Err(InvalidSetting { key: "region".into(), problem: what });
            }
        }
        let Some(own) = own.map(usize::from).filter(|own| *own < zones.len()) else {
            return Err(InvalidSetting {
                key: "on".into(),
                problem: "the settings name no zone for this node".into(),
            });
        };
        let region = |zone: usize| self.regions.iter().position(|r| r.zones.contains(&zones[zone]));
        let together = |zone: usize| zone == own || region(zone).is_some() && region(zone) == region(own);
        let ring = |zone: usize| match self.pool {
            Reach::All => 0,
            Reach::Region => {
                if together(zone) {
                    0
                } else {
                    2
                }
            }
            Reach::Zone if zone == own => 0,
            Reach::Zone => {
                if together(zone) {
                    1
                } else {
                    2
                }
            }
        };
        Ok((0..zones.len()).map(ring).collect())
    }
}
