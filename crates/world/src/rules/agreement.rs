//! Rules on agreement between nodes: one plan, one leader, and no oscillation.

use std::time::Duration;

use super::{Agreed, Checker, Rule};
use crate::observe::NodeIndex;

/// A leader whose lease has expired notices it when it next checks its clock, within this time.
const LEASE_CHECK: Duration = Duration::from_millis(300);
/// A zone may be given up this many times in this window: its hold time doubles with each return that fails.
const MAX_GIVE_UPS: usize = 3;
const GIVE_UP_WINDOW: Duration = Duration::from_secs(10);

impl Checker {
    /// Checks that there is one leader; the previous one may not have checked its clock yet.
    pub(super) fn check_single_leader(&mut self, now: Duration) {
        let mut since: Vec<(Duration, NodeIndex)> =
            self.leaders.iter().map(|(node, at)| (*at, *node)).collect();
        since.sort_unstable();
        if let [.., (_, a), (last, b)] = since[..]
            && now > last + LEASE_CHECK
        {
            self.leaders.remove(&a);
            self.add_violation(now, Rule::OnePlan, format!("nodes {a} and {b} lead at once"));
        }
    }

    pub(super) fn plan_adopted(&mut self, now: Duration, node: NodeIndex, plan: &Agreed) {
        let known = self.plans.entry(plan.number).or_insert_with(|| plan.description.clone());
        if *known != plan.description {
            let what = format!(
                "plan {:?} is {known:?} at one node and {:?} at node {node}",
                plan.number, plan.description
            );
            self.add_violation(now, Rule::OnePlan, what);
        }
        // Numbers are ordered by round, then by voter, then by the sequence within its term.
        let order = |(round, sequence, voter): (u32, u32, u16)| (round, voter, sequence);
        let before = std::mem::replace(&mut self.nodes[node].plan, plan.number);
        if order(plan.number) < order(before) {
            let what = format!("node {node} went back from plan {before:?} to {:?}", plan.number);
            self.add_violation(now, Rule::OnePlan, what);
        }
        if order(plan.number) <= order(self.given_up_now.0) {
            return;
        }
        let given_up: Vec<String> = plan.given_up_zones().into_iter().map(str::to_owned).collect();
        let (_, before) = std::mem::replace(&mut self.given_up_now, (plan.number, given_up.clone()));
        for zone in given_up.into_iter().filter(|zone| !before.contains(zone)) {
            let times = self.given_up_at.entry(zone.clone()).or_default();
            times.retain(|at| *at + GIVE_UP_WINDOW > now);
            times.push_back(now);
            if times.len() > MAX_GIVE_UPS {
                let what = format!("{zone} was given up {} times within {:?}", times.len(), GIVE_UP_WINDOW);
                self.add_violation(now, Rule::NoSwinging, what);
            }
        }
    }
}
