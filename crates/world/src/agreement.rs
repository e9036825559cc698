//! What nodes' logs tell of plans of zones, and what a node is given so that it can agree with others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The port on which members of the accord hear each other in worlds and trials.
pub const PORT: u16 = 7947;

/// A plan as a node's log tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedPlan {
    /// The round of the decider's tenure, the plan's number in it, and the decider.
    pub number: (u32, u32, u16),
    /// What it says.
    pub description: String,
}

impl ReportedPlan {
    /// Reads a line of a log; `None` where it tells of no plan.
    pub fn parse(line: &str) -> Option<ReportedPlan> {
        let (_, told) = line.split_once("accord: plan ")?;
        let (number, rest) = told.split_once(" of node ")?;
        let (round, sequence) = number.split_once('.')?;
        let (voter, says) = rest.split_once(": ")?;
        let number = (round.parse().ok()?, sequence.parse().ok()?, voter.parse().ok()?);
        Some(ReportedPlan { number, description: says.to_owned() })
    }

    /// The zones that it gives up.
    pub fn given_up_zones(&self) -> BTreeSet<&str> {
        let zones = self.description.split("; ").filter_map(|zone| zone.split_once(" is given up"));
        zones.map(|(zone, _)| zone).collect()
    }
}

/// Whether a line of a log says that its node decides from now on, or no longer.
pub fn leadership_change(line: &str) -> Option<bool> {
    if line.contains("accord: this node decides from now on") {
        return Some(true);
    }
    line.contains("accord: this node no longer decides").then_some(false)
}

/// The operator's file with a node's own address and those at which it finds all members, where it switches the accord on; else as it
/// is.
///
/// # Errors
/// A file that is no TOML.
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
        let told = ReportedPlan::parse(line).unwrap();
        assert_eq!(told.number, (6, 3, 1));
        assert_eq!(told.given_up_zones(), BTreeSet::from(["south"]));
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
