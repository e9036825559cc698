//! The planner: turns evidence of nodes into a plan.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::announcement::{Announced, Announcement};
use crate::evidence::{Evidence, MIN_ATTEMPTS, Plan, UNITS_PER_ATTEMPT, ZonePlan, ZoneState};
use crate::orders::{OrderKind, ZoneOrders};
use crate::{MOST_ZONES, Millis};

/// The fewest recent attempts, of all nodes together, in a zone that is given up that suffice to judge it.
const MIN_PROBES_ALL_NODES: f64 = 2.0;
/// The same where one node plans for itself alone.
const MIN_PROBES_SINGLE_NODE: f64 = 0.5;
/// How long evidence of a node counts, in milliseconds.
const EVIDENCE_VALIDITY_MS: Millis = 2_000;
/// The longest hold before a return, as a multiple of the usual one.
const MAX_HOLD_FACTOR: u64 = 16;
/// How long a node must have lost a zone before it leaves it by itself, in milliseconds: a plan takes about half as
/// long.
const SINGLE_NODE_CONFIRM_MS: Millis = 1_500;
/// The percentage of one node's keys that must still go to a zone to show when the node can reach it again.
const SINGLE_NODE_PROBE_PERCENT: u8 = 5;
/// The longest time, in milliseconds, that a zone is kept because too few nodes know that it is to be given up. Nodes
/// that see trouble query the leader every 167 ms, and report with the next query that they act on a plan.
const MAX_ANNOUNCEMENT_MS: Millis = 1_000;
/// The percentage that stands for all of a zone's keys.
const ALL_KEYS_PERCENT: u8 = 100;

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// A node sees a zone as lost from this share of unanswered attempts on.
    #[serde(rename = "lost")]
    pub lost_share: f64,
    /// A zone is given up when this share of the nodes that can judge it see it as lost.
    #[serde(rename = "nodes")]
    pub node_share: f64,
    /// How long a zone is suspected first, in milliseconds.
    pub confirm_ms: Millis,
    /// Between two steps of a move, in milliseconds: longer than a new plan takes to reach all nodes.
    pub step_ms: Millis,
    /// The percentage of a zone's keys that one step moves away.
    #[serde(rename = "away")]
    pub step_percent: u8,
    /// The percentage of its keys that stays with a zone that is given up: attempts there show when it is back.
    #[serde(rename = "scouts")]
    pub probe_percent: u8,
    /// How long a zone must answer before it gets keys back, in milliseconds; twice as long after each failed return.
    pub hold_ms: Millis,
    /// The largest share of zones that is given up at once: the others could not bear more.
    #[serde(rename = "most")]
    pub max_zone_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            lost_share: 0.6,
            node_share: 0.25,
            confirm_ms: 200,
            step_ms: 500,
            step_percent: 60,
            probe_percent: 4,
            hold_ms: 2_000,
            max_zone_share: 0.5,
        }
    }
}

impl Tuning {
    /// Checks that every setting is in its valid range.
    ///
    /// # Errors
    /// The first setting that is not: its key, and its value with the range.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let ranges = [
            ("lost", self.lost_share, 0.1, 1.0),
            ("nodes", self.node_share, 0.01, 1.0),
            ("confirm_ms", self.confirm_ms as f64, 0.0, 60_000.0),
            ("step_ms", self.step_ms as f64, 100.0, 600_000.0),
            ("away", f64::from(self.step_percent), 1.0, 100.0),
            ("scouts", f64::from(self.probe_percent), 1.0, 20.0),
            ("hold_ms", self.hold_ms as f64, 100.0, 3_600_000.0),
            ("most", self.max_zone_share, 0.0, 1.0),
        ];
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err((key, format!("{value} is not between {min} and {max}")));
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct ZoneCourse {
    planned: ZonePlan,
    /// When it entered its state, and when its last step was made.
    since: Millis,
    stepped_at: Millis,
    /// Since when it answers, where it does.
    answering_since: Option<Millis>,
    /// Whether enough nodes see it as lost now, and since when, apart from times in which no node could judge it.
    lost: bool,
    lost_since: Option<Millis>,
    /// How other nodes know that it is suspected.
    announced: Announced,
    hold_factor: u64,
}

/// Makes plans. A new leader starts with the plan that it has acted on, and without evidence.
#[derive(Debug)]
pub struct Planner {
    tuning: Tuning,
    zones: Vec<ZoneCourse>,
    evidence: BTreeMap<u16, (Millis, Evidence)>,
    orders: ZoneOrders,
    /// Whether it plans for one node only.
    single_node: bool,
    /// What other nodes know of its plans, where it plans for them.
    announcement: Option<Announcement>,
}

impl Planner {
    /// A planner for this many zones that continues a plan.
    pub fn new(tuning: Tuning, zones: usize, plan: &Plan, now: Millis) -> Planner {
        let zone_course = |i: usize| {
            let zone = plan
                .zones
                .get(i)
                .copied()
                .unwrap_or(ZonePlan { state: ZoneState::Serving, open_percent: ALL_KEYS_PERCENT });
            ZoneCourse {
                planned: zone,
                since: now,
                stepped_at: now,
                answering_since: None,
                lost: false,
                lost_since: None,
                announced: Announced::No,
                hold_factor: 1,
            }
        };
        let mut orders = ZoneOrders::default();
        orders.merge(now, &plan.orders, zones);
        let zones = (0..zones.min(MOST_ZONES)).map(zone_course).collect();
        Planner { tuning, zones, evidence: BTreeMap::new(), orders, single_node: false, announcement: None }
    }

    /// A planner for a new leader: until a time it only recovers its predecessor's plan, and it gives a zone up only
    /// when other nodes know which one it is.
    pub fn for_new_leader(
        tuning: Tuning,
        zones: usize,
        plan: &Plan,
        (now, recovery_ends): (Millis, Millis),
    ) -> Planner {
        let announcement = Some(Announcement::new(recovery_ends));
        Planner { announcement, ..Planner::new(tuning, zones, plan, now) }
    }

    /// Continues the predecessor's last plan, as a node has reported it. Its orders come with evidence. Returns whether
    /// recovery was still going on.
    pub fn adopt_predecessor_plan(&mut self, now: Millis, plan: &Plan) -> bool {
        if self.announcement.as_ref().is_none_or(|announcement| announcement.recovery_is_over(now)) {
            return false;
        }
        for (zone_course, zone) in self.zones.iter_mut().zip(&plan.zones) {
            (zone_course.planned, zone_course.since, zone_course.stepped_at) = (*zone, now, now);
            zone_course.announced = match zone.state {
                ZoneState::Suspected => Announced::ByPredecessor,
                _ => Announced::No,
            };
        }
        true
    }

    /// The present plan is sent to other nodes under a sequence number; this node acts on it at once.
    pub fn plan_published(&mut self, me: u16, sequence: u32) {
        for zone_course in &mut self.zones {
            zone_course.announced = match (zone_course.planned.state, zone_course.announced) {
                (ZoneState::Suspected, Announced::No) => Announced::InPlan(sequence),
                (ZoneState::Suspected, announced) => announced,
                _ => Announced::No,
            };
        }
        self.plan_applied(me, sequence);
    }

    /// A node has acted on the plan with a sequence number, or on a later one.
    pub fn plan_applied(&mut self, node: u16, sequence: u32) {
        if let Some(announcement) = &mut self.announcement {
            announcement.plan_applied(node, sequence);
        }
    }

    /// A planner for what one node does by itself about zones that the common plan keeps: too few nodes for the plan
    /// may have lost the zone, or no more zones may be given up. It waits until a plan would have moved, and keeps at
    /// least one zone.
    pub fn for_single_node(tuning: &Tuning, zones: usize, now: Millis) -> Planner {
        let max_zone_share = zones.saturating_sub(1) as f64 / zones.max(1) as f64;
        let tuning = Tuning {
            confirm_ms: SINGLE_NODE_CONFIRM_MS,
            probe_percent: SINGLE_NODE_PROBE_PERCENT,
            node_share: 1.0,
            max_zone_share,
            ..tuning.clone()
        };
        Planner { single_node: true, ..Planner::new(tuning, zones, &Plan::default(), now) }
    }

    /// The evidence that a node reports to others, where this is its own planner. To a zone that it has left by
    /// itself and that the common plan keeps, it sends fewer attempts than others need to judge. It reports the
    /// zone as lost while those few are unanswered. The remaining weight of earlier attempts fades, their share
    /// of unanswered ones does not, so less than half an attempt reports nothing any more.
    pub fn evidence_to_report(&self, measured: &Evidence, common: &Plan) -> Evidence {
        let mut reported = measured.clone();
        for (zone, (zone_course, report)) in self.zones.iter().zip(&mut reported.zones).enumerate() {
            let (attempts, unanswered_share) = (f64::from(report.0), f64::from(report.1) / 255.0);
            let still_lost = attempts >= MIN_PROBES_SINGLE_NODE * UNITS_PER_ATTEMPT
                && unanswered_share >= self.tuning.lost_share;
            if still_lost && zone_course.planned.state == ZoneState::GivenUp && common.open_share(zone) >= 1.0
            {
                *report = Evidence::LOST;
            }
        }
        reported
    }

    /// Adds a node's evidence.
    pub fn add_evidence(&mut self, now: Millis, node: u16, evidence: Evidence) {
        self.orders.merge(now, &evidence.orders, self.zones.len());
        self.evidence.insert(node, (now, evidence));
    }

    /// The present plan.
    pub fn plan(&self, now: Millis) -> Plan {
        Plan { zones: self.zones.iter().map(|c| c.planned).collect(), orders: self.orders.plan_messages(now) }
    }

    /// How many nodes see a zone as lost, and how many see that it answers: the reason for the plan.
    pub fn vote_counts(&self, zone: usize) -> Option<(usize, usize)> {
        (zone < self.zones.len()).then(|| self.votes(zone))
    }

    /// Makes one step, from recent evidence and time.
    pub fn step(&mut self, now: Millis) -> Plan {
        self.evidence.retain(|_, (at, _)| *at + EVIDENCE_VALIDITY_MS >= now);
        // Shares such as two thirds are slightly less than exact in floating point.
        let max_given_up = (self.tuning.max_zone_share * self.zones.len() as f64 + 1e-9).floor() as usize;
        let may_choose = self.announcement.as_ref().is_none_or(|a| a.recovery_is_over(now));
        for i in 0..self.zones.len() {
            let (lost, answering) = self.votes(i);
            let room = self.others_given_up(i) < max_given_up;
            let others_know = self.others_know(i, now);
            match self.orders.active(i, now) {
                Some((kind, _)) => self.zones[i].apply_order(&self.tuning, now, kind),
                None => {
                    self.zones[i].apply_votes(&self.tuning, now, (lost, answering));
                    if may_choose {
                        self.zones[i].step(&self.tuning, now, lost + answering, room, others_know);
                    }
                }
            }
        }
        self.plan(now)
    }

    /// How many other zones are given up or about to be. Of several suspected zones (a plan of an earlier version may
    /// have them) the first ones go before the others.
    fn others_given_up(&self, zone: usize) -> usize {
        let suspected = self.zones[zone].planned.state == ZoneState::Suspected;
        let counts = |(other, zone_course): &(usize, &ZoneCourse)| match zone_course.planned.state {
            _ if *other == zone => false,
            ZoneState::GivenUp | ZoneState::Returning => true,
            ZoneState::Suspected => !suspected || *other < zone,
            ZoneState::Serving => false,
        };
        self.zones.iter().enumerate().filter(counts).count()
    }

    /// Whether a zone may be given up, as far as other nodes must know of it first.
    fn others_know(&self, zone: usize, now: Millis) -> bool {
        let Some(announcement) = &self.announcement else { return true };
        let zone_course = &self.zones[zone];
        now >= zone_course.since + self.tuning.confirm_ms + MAX_ANNOUNCEMENT_MS
            || announcement.is_known(zone_course.announced, self.evidence.keys())
    }

    /// How many nodes see a zone as lost, and how many see that it answers.
    fn votes(&self, zone: usize) -> (usize, usize) {
        let reports = || self.evidence.values().filter_map(|(_, e)| e.zones.get(zone));
        if self.zones[zone].planned.open_percent < ALL_KEYS_PERCENT {
            // Few attempts go there: the sum over all nodes counts as one vote. The zone was given up for some of the
            // nodes, and must not come back while those still lose what they send.
            let (attempts, unanswered) = reports().fold((0.0, 0.0), |(attempts, unanswered), (a, s)| {
                (attempts + f64::from(*a), unanswered + f64::from(*a) * f64::from(*s) / 255.0)
            });
            let lost = unanswered >= self.tuning.lost_share.min(self.tuning.node_share) * attempts;
            let min_probes = if self.single_node { MIN_PROBES_SINGLE_NODE } else { MIN_PROBES_ALL_NODES };
            return if attempts < min_probes * UNITS_PER_ATTEMPT {
                (0, 0)
            } else {
                (usize::from(lost), usize::from(!lost))
            };
        }
        let judging =
            reports().filter(|(attempts, _)| f64::from(*attempts) >= MIN_ATTEMPTS * UNITS_PER_ATTEMPT);
        judging.fold((0, 0), |(lost, answering), (_, unanswered)| {
            let sees_lost = f64::from(*unanswered) / 255.0 >= self.tuning.lost_share;
            (lost + usize::from(sees_lost), answering + usize::from(!sees_lost))
        })
    }
}

impl ZoneCourse {
    fn enter(&mut self, now: Millis, state: ZoneState) {
        if self.planned.state != state {
            (self.planned.state, self.since) = (state, now);
        }
    }

    /// Applies the votes. Where no node can judge the zone, only time changes anything.
    fn apply_votes(&mut self, tuning: &Tuning, now: Millis, (lost, answering): (usize, usize)) {
        let votes = lost + answering;
        self.lost = lost > 0 && lost as f64 >= tuning.node_share * votes as f64;
        let answering = !self.lost && votes > 0;
        if answering || !self.lost && self.planned.state == ZoneState::Serving {
            self.lost_since = None;
        } else if self.lost {
            self.lost_since = self.lost_since.or(Some(now));
        }
        self.answering_since =
            if self.lost { None } else { self.answering_since.or(answering.then_some(now)) };
    }

    fn step(&mut self, tuning: &Tuning, now: Millis, votes: usize, room: bool, others_know: bool) {
        let lost = self.lost;
        let confirmed = self.lost_since.is_some_and(|since| now >= since + tuning.confirm_ms);
        let due = now >= self.stepped_at + tuning.step_ms;
        match self.planned.state {
            // A suspected zone is the one that others know to be given up next: no more of them than there is room for.
            ZoneState::Serving if lost && room => self.enter(now, ZoneState::Suspected),
            ZoneState::Serving => {
                if now >= self.since + tuning.hold_ms * MAX_HOLD_FACTOR {
                    self.hold_factor = 1;
                }
            }
            ZoneState::Suspected if !lost && votes > 0 => self.enter(now, ZoneState::Serving),
            // No node can judge it any more: it does not take the room of other zones.
            ZoneState::Suspected if !lost && now >= self.since + tuning.confirm_ms + MAX_ANNOUNCEMENT_MS => {
                self.enter(now, ZoneState::Serving);
            }
            ZoneState::Suspected => {
                if lost && confirmed && room && others_know {
                    self.enter(now, ZoneState::GivenUp);
                    self.step_away(tuning, now);
                }
            }
            // An order has kept it out until now: probe traffic first, which shows whether it answers.
            ZoneState::GivenUp if self.planned.open_percent < tuning.probe_percent => {
                self.planned.open_percent = tuning.probe_percent;
                (self.stepped_at, self.answering_since) = (now, None);
            }
            ZoneState::GivenUp => {
                let answers = self
                    .answering_since
                    .is_some_and(|since| now >= since + tuning.hold_ms * self.hold_factor);
                if answers && due {
                    self.enter(now, ZoneState::Returning);
                    self.step_back(now);
                } else if due && self.planned.open_percent > tuning.probe_percent {
                    self.step_away(tuning, now);
                }
            }
            ZoneState::Returning if lost => {
                self.hold_factor = (self.hold_factor * 2).min(MAX_HOLD_FACTOR);
                self.enter(now, ZoneState::GivenUp);
                self.planned.open_percent = tuning.probe_percent;
                self.stepped_at = now;
            }
            ZoneState::Returning if due => self.step_back(now),
            ZoneState::Returning => {}
        }
    }

    /// Applies an operator's order, which takes precedence over evidence and moves keys in the same steps.
    fn apply_order(&mut self, tuning: &Tuning, now: Millis, kind: OrderKind) {
        // What is measured meanwhile counts neither against the zone nor for it when the order ends.
        (self.answering_since, self.lost_since, self.hold_factor) = (None, None, 1);
        let due = now >= self.stepped_at + tuning.step_ms;
        match kind {
            OrderKind::KeepOut | OrderKind::Drain => {
                let first_step = self.planned.state != ZoneState::GivenUp;
                self.enter(now, ZoneState::GivenUp);
                if self.planned.open_percent > 0 && (first_step || due) {
                    self.planned.open_percent = self.planned.open_percent.saturating_sub(tuning.step_percent);
                    self.stepped_at = now;
                }
            }
            OrderKind::KeepIn if self.planned.open_percent == ALL_KEYS_PERCENT => {
                self.enter(now, ZoneState::Serving)
            }
            OrderKind::KeepIn => {
                self.enter(now, ZoneState::Returning);
                if due {
                    self.step_back(now);
                }
            }
            OrderKind::Released => {}
        }
    }

    fn step_away(&mut self, tuning: &Tuning, now: Millis) {
        self.planned.open_percent =
            self.planned.open_percent.saturating_sub(tuning.step_percent).max(tuning.probe_percent);
        self.stepped_at = now;
    }

    /// Gives keys back to a cold zone, in steps that double.
    fn step_back(&mut self, now: Millis) {
        self.planned.open_percent = self.planned.open_percent.saturating_mul(2).clamp(10, ALL_KEYS_PERCENT);
        self.stepped_at = now;
        if self.planned.open_percent == ALL_KEYS_PERCENT {
            self.enter(now, ZoneState::Serving);
        }
    }
}
