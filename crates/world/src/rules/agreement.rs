//! Rules on nodes that agree: one plan, one that decides, and no swinging.

use std::time::Duration;

use super::{Agreed, Checker, Rule};
use crate::observe::NodeIndex;

/// A decider whose lease is over says so when it next looks at its clock.
const LOOKS: Duration = Duration::from_millis(300);
/// A zone may be given up so many times within such a time: its hold doubles with each return that fails.
const SWINGS: (usize, Duration) = (3, Duration::from_secs(10));

impl Checker {
    /// One decides: the one before may not have looked at its clock yet.
    pub(super) fn deciders(&mut self, now: Duration) {
        let mut since: Vec<(Duration, NodeIndex)> =
            self.deciding.iter().map(|(node, at)| (*at, *node)).collect();
        since.sort_unstable();
        if let [.., (_, a), (last, b)] = since[..]
            && now > last + LOOKS
        {
            self.deciding.remove(&a);
            self.broken(now, Rule::OnePlan, format!("nodes {a} and {b} decide at once"));
        }
    }

    pub(super) fn acts(&mut self, now: Duration, node: NodeIndex, plan: &Agreed) {
        let known = self.plans.entry(plan.number).or_insert_with(|| plan.description.clone());
        if *known != plan.description {
            let what = format!(
                "plan {:?} says {known:?} at one node and {:?} at node {node}",
                plan.number, plan.description
            );
            self.broken(now, Rule::OnePlan, what);
        }
        // Rounds first, then the voter, then the plan within its tenure.
        let order = |(round, sequence, voter): (u32, u32, u16)| (round, voter, sequence);
        let before = std::mem::replace(&mut self.nodes[node].plan, plan.number);
        if order(plan.number) < order(before) {
            let what = format!("node {node} went back from plan {before:?} to {:?}", plan.number);
            self.broken(now, Rule::OnePlan, what);
        }
        if order(plan.number) <= order(self.away_now.0) {
            return;
        }
        let away: Vec<String> = plan.given_up_zones().into_iter().map(str::to_owned).collect();
        let (_, before) = std::mem::replace(&mut self.away_now, (plan.number, away.clone()));
        for zone in away.into_iter().filter(|zone| !before.contains(zone)) {
            let times = self.given_up.entry(zone.clone()).or_default();
            times.retain(|at| *at + SWINGS.1 > now);
            times.push_back(now);
            if times.len() > SWINGS.0 {
                let what = format!("{zone} was given up {} times within {:?}", times.len(), SWINGS.1);
                self.broken(now, Rule::NoSwinging, what);
            }
        }
    }
}
