//! Parses plans of zones from nodes' logs, and writes the agreement settings of a node.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The port of agreement messages in simulated runs and trials.
pub const PORT: u16 = 7947;

/// A plan as reported by a node's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedPlan {
    /// The round of the leader's term, the number of the plan in it, and the leader.
    pub number: (u32, u32, u16),
    /// Its description.
    pub description: String,
}

impl ReportedPlan {
    /// Parses a log line; `None` if it does not report a plan.
    pub fn parse(line: &str) -> Option<ReportedPlan> {
        let (_, plan) = line.split_once("accord: plan ")?;
        let (number, rest) = plan.split_once(" of node ")?;
        let (round, sequence) = number.split_once('.')?;
        let (voter, description) = rest.split_once(": ")?;
        let number = (round.parse().ok()?, sequence.parse().ok()?, voter.parse().ok()?);
        Some(ReportedPlan { number, description: description.to_owned() })
    }

    /// The zones that it gives up.
    pub fn given_up_zones(&self) -> BTreeSet<&str> {
        let zones = self.description.split("; ").filter_map(|zone| zone.split_once(" is given up"));
        zones.map(|(zone, _)| zone).collect()
    }
}

/// Whether a log line says that its node became leader (`true`) or stopped being it (`false`).
pub fn leadership_change(line: &str) -> Option<bool> {
    if line.contains("accord: this node decides from now on") {
        return Some(true);
    }
    line.contains("accord: this node no longer decides").then_some(false)
}

/// The operator's file, with the node's own agreement address and those of all members added if it enables
/// agreement.
///
/// # Errors
/// A file that is no valid TOML.
pub fn operator_config(text: &str, own: SocketAddr, members: &[SocketAddr]) -> Result<String, String> {
    let mut table: toml::Table = toml::from_str(text).map_err(|e| format!("the operator's file: {e}"))?;
    let Some(accord) = table.get_mut("accord").and_then(toml::Value::as_table_mut) else {
        return Ok(text.to_owned());
    };
    if accord.get("on").and_then(toml::Value::as_bool) != Some(true) {
        return Ok(text.to_owned());
    }
    let members = members.iter().map(|a| toml::Value::String(a.to_string()));
    accord.insert("members".into(), toml::Value::Array(members.collect()));
    accord.insert("listen".into(), toml::Value::String(own.to_string()));
    toml::to_string(&table).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_of_plans_are_read_and_others_are_not() {
        let line = "mothpier: accord: plan 6.3 of node 1: south is given up, 40% of its keys go there; east is suspected, 100% of its keys go there";
        let plan = ReportedPlan::parse(line).unwrap();
        assert_eq!(plan.number, (6, 3, 1));
        assert_eq!(plan.given_up_zones(), BTreeSet::from(["south"]));
        for other in
            ["accord: plan x.3 of node 1: all zones serve", "accord: this node decides from now on (round 6)"]
        {
            assert_eq!(ReportedPlan::parse(other), None);
        }
        assert_eq!(leadership_change("accord: this node decides from now on (round 6)"), Some(true));
        assert_eq!(leadership_change("accord: this node no longer decides"), Some(false));
        assert_eq!(leadership_change(line), None);
    }
}
