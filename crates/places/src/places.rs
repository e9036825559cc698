//! The operator's settings of places, and their checks.

use std::fmt;

use serde::Deserialize;

/// The zones among which a key's server is chosen in normal operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingScope {
    /// The node's own zone.
    Zone,
    /// The node's own region.
    #[default]
    Region,
    /// Every zone, as without places.
    All,
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name of the region.
    pub name: String,
    /// Its zones, by their names in the settings.
    pub zones: Vec<String>,
}

/// The table `places` of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Places {
    /// Whether traffic is kept local at all.
    pub on: bool,
    /// The zones among which a key's server is chosen in normal operation.
    #[serde(rename = "pool")]
    pub scope: RoutingScope,
    /// The regions; a zone that is in none is a region by itself.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// Settings of the spillover.
    #[serde(rename = "figures")]
    pub tuning: Tuning,
}

/// Settings of the spillover.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Between two steps, in milliseconds. Each node's interval deviates from it by up to a quarter, at random.
    pub step_ms: u64,
    /// After this long an attempt without an answer counts as unanswered, in milliseconds.
    #[serde(rename = "silent_ms")]
    pub unanswered_after_ms: u64,
    /// The share of unanswered attempts from which a ring counts as lost.
    #[serde(rename = "lost")]
    pub lost_share: f64,
    /// The share of attempts that are refused, fail or are late from which a ring counts as overloaded.
    #[serde(rename = "strained")]
    pub overloaded_share: f64,
    /// The first step away from a lost ring; each further one is twice as large.
    #[serde(rename = "first_step")]
    pub first_lost_step: f64,
    /// A step away from an overloaded ring.
    #[serde(rename = "strained_step")]
    pub overloaded_step: f64,
    /// A step back.
    #[serde(rename = "back_step")]
    pub return_step: f64,
    /// How long after the last sign of trouble the first step back is made, in milliseconds; twice as long after each
    /// failed return, up to sixteen times.
    pub hold_ms: u64,
    /// The share of keys that stays near in any case: its attempts show when a ring is back.
    #[serde(rename = "scouts")]
    pub probe_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            step_ms: 250,
            unanswered_after_ms: 200,
            lost_share: 0.6,
            overloaded_share: 0.15,
            first_lost_step: 0.25,
            overloaded_step: 0.05,
            return_step: 0.05,
            hold_ms: 2000,
            probe_share: 0.02,
        }
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key, relative to `places`.
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
    /// Checks tuning and regions by themselves.
    ///
    /// # Errors
    /// The first invalid setting, with its key.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let tuning = &self.tuning;
        let ranges = [
            ("step_ms", tuning.step_ms as f64, 50.0, 10_000.0),
            ("silent_ms", tuning.unanswered_after_ms as f64, 10.0, 60_000.0),
            ("lost", tuning.lost_share, 0.1, 1.0),
            ("strained", tuning.overloaded_share, 0.01, 1.0),
            ("first_step", tuning.first_lost_step, 0.01, 1.0),
            ("strained_step", tuning.overloaded_step, 0.01, 1.0),
            ("back_step", tuning.return_step, 0.01, 1.0),
            ("hold_ms", tuning.hold_ms as f64, 100.0, 600_000.0),
            ("scouts", tuning.probe_share, 0.001, 0.2),
        ];
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                let problem = format!("{value} is not between {min} and {max}");
                return Err(InvalidSetting { key: format!("figures.{key}"), problem });
            }
        }
        let invalid_region = |problem: String| Err(InvalidSetting { key: "region".into(), problem });
        for (index, region) in self.regions.iter().enumerate() {
            if region.name.is_empty() || region.zones.is_empty() {
                return invalid_region(format!("region {:?} needs a name and a zone", region.name));
            }
            if self.regions[..index].iter().any(|r| r.name == region.name) {
                return invalid_region(format!("two regions are called {:?}", region.name));
            }
            for (zone_index, zone) in region.zones.iter().enumerate() {
                if region.zones[..zone_index].contains(zone)
                    || self.regions[..index].iter().any(|r| r.zones.contains(zone))
                {
                    return invalid_region(format!("zone {zone:?} is named twice"));
                }
            }
        }
        Ok(())
    }

    /// Checks the regions against the zones of the node's settings, and returns the ring of each zone, seen from one of
    /// them: 0 for zones among which servers are chosen, 1 and 2 for zones farther out.
    ///
    /// # Errors
    /// A zone that the settings lack, or a node without a zone.
    pub fn rings(&self, zones: &[String], own: Option<u8>) -> Result<Vec<u8>, InvalidSetting> {
        for zone in self.regions.iter().flat_map(|r| &r.zones) {
            if !zones.contains(zone) {
                let problem = format!("there is no zone {zone:?}; the settings have {}", zones.join(", "));
                return Err(InvalidSetting { key: "region".into(), problem });
            }
        }
        let Some(own) = own.map(usize::from).filter(|own| *own < zones.len()) else {
            return Err(InvalidSetting {
                key: "on".into(),
                problem: "the settings name no zone for this node".into(),
            });
        };
        let region = |zone: usize| self.regions.iter().position(|r| r.zones.contains(&zones[zone]));
        let same_region = |zone: usize| zone == own || region(zone).is_some() && region(zone) == region(own);
        let ring = |zone: usize| match self.scope {
            RoutingScope::All => 0,
            RoutingScope::Region => {
                if same_region(zone) {
                    0
                } else {
                    2
                }
            }
            RoutingScope::Zone if zone == own => 0,
            RoutingScope::Zone => {
                if same_region(zone) {
                    1
                } else {
                    2
                }
            }
        };
        Ok((0..zones.len()).map(ring).collect())
    }
}
