//! From what nodes see to a plan.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::announcement::{Announced, Announcement};
use crate::evidence::{ENOUGH, Evidence, PARTS, Plan, Zone, ZoneState};
use crate::orders::{OrderKind, ZoneOrders};
use crate::{MOST_ZONES, Millis};

/// All nodes together must have sent a zone that is given up so many to tell how it is, and a node that decides for itself.
const ENOUGH_SCOUTS: (f64, f64) = (2.0, 0.5);
/// Nodes that are heard for this long count.
const HEARD: Millis = 2_000;
/// The longest hold before a return, a multiple of the usual one.
const LONGEST_HOLD: u64 = 16;
/// A node leaves a zone by itself when it has lost it for so long, in milliseconds: a plan takes about half of it.
const ALONE: Millis = 1_500;
/// In hundredths: of one node's keys so many must go on by which it sees that it can reach the zone again.
const ALONE_SCOUTS: u8 = 5;
/// In milliseconds: longer than this a zone is not kept because too few nodes know that it is the one to be given up. Nodes that see
/// trouble ask for plans every 167 ms, and tell with the next question that they act on one.
const LONGEST_ANNOUNCEMENT: Millis = 1_000;
/// All of a zone's keys.
const ALL: u8 = 100;

/// Figures of the planner.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// A node sees a zone as lost from this part of silent attempts on.
    pub lost: f64,
    /// A zone is given up when this part of the nodes that can tell see it as lost.
    pub nodes: f64,
    /// It is suspected for this long first, in milliseconds.
    pub confirm_ms: Millis,
    /// Between two steps of a move, in milliseconds: longer than a new plan takes to all nodes.
    pub step_ms: Millis,
    /// The part of a zone's keys that a step away moves, in hundredths.
    pub away: u8,
    /// The part of its keys that stays with a zone that is given up, in hundredths: by it a return is seen.
    pub scouts: u8,
    /// A zone must answer for this long before it gets keys back, in milliseconds; twice as long after each return that failed.
    pub hold_ms: Millis,
    /// At most this part of the zones is given up at once: the others could not bear more.
    pub most: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            lost: 0.6,
            nodes: 0.25,
            confirm_ms: 200,
            step_ms: 500,
            away: 60,
            scouts: 4,
            hold_ms: 2_000,
            most: 0.5,
        }
    }
}

impl Tuning {
    /// Looks whether every figure makes sense.
    ///
    /// # Errors
    /// The first one that does not: its key, and its value and range.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let figures = [
            ("lost", self.lost, 0.1, 1.0),
            ("nodes", self.nodes, 0.01, 1.0),
            ("confirm_ms", self.confirm_ms as f64, 0.0, 60_000.0),
            ("step_ms", self.step_ms as f64, 100.0, 600_000.0),
            ("away", f64::from(self.away), 1.0, 100.0),
            ("scouts", f64::from(self.scouts), 1.0, 20.0),
            ("hold_ms", self.hold_ms as f64, 100.0, 3_600_000.0),
            ("most", self.most, 0.0, 1.0),
        ];
        for (key, value, least, most) in figures {
            if !(least..=most).contains(&value) {
                return Err((key, format!("{value} is not between {least} and {most}")));
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct Course {
    zone: Zone,
    /// Since when it is as it is, and when its last step was made.
    since: Millis,
    stepped: Millis,
    /// Since when it answers, where it does.
    well_since: Option<Millis>,
    /// Enough nodes see it as lost now, and since when they did, but for times in which nobody could tell.
    bad: bool,
    lost_since: Option<Millis>,
    /// Who knows that it is suspected.
    announced: Announced,
    hold: u64,
}

/// Makes plans. Whoever begins to decide begins with the plan that it has acted on, and with no evidence.
#[derive(Debug)]
pub struct Planner {
    figures: Tuning,
    courses: Vec<Course>,
    heard: BTreeMap<u16, (Millis, Evidence)>,
    orders: ZoneOrders,
    /// It is one node's own.
    alone: bool,
    /// What others know of its plans, where it decides for them.
    announcement: Option<Announcement>,
}

impl Planner {
    /// For so many zones, going on from a plan.
    pub fn new(figures: Tuning, zones: usize, plan: &Plan, now: Millis) -> Planner {
        let course = |i: usize| {
            let zone =
                plan.zones.get(i).copied().unwrap_or(Zone { state: ZoneState::Serving, open_percent: ALL });
            Course {
                zone,
                since: now,
                stepped: now,
                well_since: None,
                bad: false,
                lost_since: None,
                announced: Announced::No,
                hold: 1,
            }
        };
        let mut orders = ZoneOrders::default();
        orders.merge(now, &plan.orders, zones);
        let courses = (0..zones.min(MOST_ZONES)).map(course).collect();
        Planner { figures, courses, heard: BTreeMap::new(), orders, alone: false, announcement: None }
    }

    /// The same for a node that begins to decide for others: until a time it only learns what its predecessor had planned, and it
    /// gives a zone up only when others know that it is the one.
    pub fn for_new_leader(
        figures: Tuning,
        zones: usize,
        plan: &Plan,
        (now, learns_until): (Millis, Millis),
    ) -> Planner {
        let announcement = Some(Announcement::new(learns_until));
        Planner { announcement, ..Planner::new(figures, zones, plan, now) }
    }

    /// The predecessor's last plan, as a node has told it: goes on from that. Orders are told with evidence. Returns whether there
    /// was still time for it.
    pub fn adopt_predecessor_plan(&mut self, now: Millis, plan: &Plan) -> bool {
        if self.announcement.as_ref().is_none_or(|announcement| announcement.may_choose(now)) {
            return false;
        }
        for (course, zone) in self.courses.iter_mut().zip(&plan.zones) {
            (course.zone, course.since, course.stepped) = (*zone, now, now);
            course.announced = match zone.state {
                ZoneState::Suspected => Announced::Earlier,
                _ => Announced::No,
            };
        }
        true
    }

    /// The plan as it is now is told to others under a sequence number; this node acts on it at once.
    pub fn plan_published(&mut self, me: u16, sequence: u32) {
        for course in &mut self.courses {
            course.announced = match (course.zone.state, course.announced) {
                (ZoneState::Suspected, Announced::No) => Announced::With(sequence),
                (ZoneState::Suspected, announced) => announced,
                _ => Announced::No,
            };
        }
        self.plan_applied(me, sequence);
    }

    /// A node has acted on the plan of a sequence number, or on a later one.
    pub fn plan_applied(&mut self, node: u16, sequence: u32) {
        if let Some(announcement) = &mut self.announcement {
            announcement.follows(node, sequence);
        }
    }

    /// What one node does by itself about zones that the common plan keeps: fewer nodes than the plan goes by may have no way there,
    /// or there is no room to give one more up. It waits until a plan would have moved, and leaves at least one zone.
    pub fn for_single_node(figures: &Tuning, zones: usize, now: Millis) -> Planner {
        let most = zones.saturating_sub(1) as f64 / zones.max(1) as f64;
        let figures = Tuning { confirm_ms: ALONE, scouts: ALONE_SCOUTS, nodes: 1.0, most, ..figures.clone() };
        Planner { alone: true, ..Planner::new(figures, zones, &Plan::default(), now) }
    }

    /// What one node tells others of what it sees, where this is its own planner: to a zone that it has
    /// left by itself and the common plan keeps it sends fewer attempts than others need to tell by. It
    /// tells the zone as lost while those few are silent. What is left of earlier attempts fades in number
    /// and not in its silent part, so that less than half an attempt tells nothing any more.
    pub fn evidence_to_report(&self, seen: &Evidence, common: &Plan) -> Evidence {
        let mut tells = seen.clone();
        for (zone, (course, told)) in self.courses.iter().zip(&mut tells.zones).enumerate() {
            let (all, silent) = (f64::from(told.0), f64::from(told.1) / 255.0);
            let still_lost = all >= ENOUGH_SCOUTS.1 * PARTS && silent >= self.figures.lost;
            if still_lost && course.zone.state == ZoneState::GivenUp && common.open_share(zone) >= 1.0 {
                *told = Evidence::LOST;
            }
        }
        tells
    }

    /// What a node sees.
    pub fn add_evidence(&mut self, now: Millis, node: u16, evidence: Evidence) {
        self.orders.merge(now, &evidence.orders, self.courses.len());
        self.heard.insert(node, (now, evidence));
    }

    /// The plan now.
    pub fn plan(&self, now: Millis) -> Plan {
        Plan { zones: self.courses.iter().map(|c| c.zone).collect(), orders: self.orders.planned(now) }
    }

    /// How many nodes see a zone as lost, and how many see that it answers: why the plan is as it is.
    pub fn vote_counts(&self, zone: usize) -> Option<(usize, usize)> {
        (zone < self.courses.len()).then(|| self.votes(zone))
    }

    /// One step: what nodes have told of late, and time.
    pub fn step(&mut self, now: Millis) -> Plan {
        self.heard.retain(|_, (at, _)| *at + HEARD >= now);
        // Parts such as two thirds are a little less than they should be.
        let most = (self.figures.most * self.courses.len() as f64 + 1e-9).floor() as usize;
        let may_choose = self.announcement.as_ref().is_none_or(|a| a.may_choose(now));
        for i in 0..self.courses.len() {
            let (lost, well) = self.votes(i);
            let room = self.reserved_beside(i) < most;
            let known = self.is_known(i, now);
            match self.orders.active(i, now) {
                Some((how, _)) => self.courses[i].ordered(&self.figures, now, how),
                None => {
                    self.courses[i].see(&self.figures, now, (lost, well));
                    if may_choose {
                        self.courses[i].step(&self.figures, now, lost + well, room, known);
                    }
                }
            }
        }
        self.plan(now)
    }

    /// How many other zones are given up or are about to be. Of several that are suspected (a plan of an earlier version may have
    /// those) the first ones go before the others.
    fn reserved_beside(&self, zone: usize) -> usize {
        let suspected = self.courses[zone].zone.state == ZoneState::Suspected;
        let reserves = |(other, course): &(usize, &Course)| match course.zone.state {
            _ if *other == zone => false,
            ZoneState::GivenUp | ZoneState::Returning => true,
            ZoneState::Suspected => !suspected || *other < zone,
            ZoneState::Serving => false,
        };
        self.courses.iter().enumerate().filter(reserves).count()
    }

    /// Whether a zone may be given up as far as others must know of it first.
    fn is_known(&self, zone: usize, now: Millis) -> bool {
        let Some(announcement) = &self.announcement else { return true };
        let course = &self.courses[zone];
        now >= course.since + self.figures.confirm_ms + LONGEST_ANNOUNCEMENT
            || announcement.is_known(course.announced, self.heard.keys())
    }

    /// How many nodes see a zone as lost, and how many see that it answers.
    fn votes(&self, zone: usize) -> (usize, usize) {
        let figures = || self.heard.values().filter_map(|(_, e)| e.zones.get(zone));
        if self.courses[zone].zone.open_percent < ALL {
            // Few go there: what all nodes together see counts as one that tells. It was given up for a part of the nodes,
            // and must not come back while that part still loses what it sends.
            let (all, silent) = figures().fold((0.0, 0.0), |(all, silent), (a, s)| {
                (all + f64::from(*a), silent + f64::from(*a) * f64::from(*s) / 255.0)
            });
            let is = silent >= self.figures.lost.min(self.figures.nodes) * all;
            let enough = if self.alone { ENOUGH_SCOUTS.1 } else { ENOUGH_SCOUTS.0 };
            return if all < enough * PARTS { (0, 0) } else { (usize::from(is), usize::from(!is)) };
        }
        let told = figures().filter(|(all, _)| f64::from(*all) >= ENOUGH * PARTS);
        told.fold((0, 0), |(lost, well), (_, silent)| {
            let is = f64::from(*silent) / 255.0 >= self.figures.lost;
            (lost + usize::from(is), well + usize::from(!is))
        })
    }
}

impl Course {
    fn become_(&mut self, now: Millis, state: ZoneState) {
        if self.zone.state != state {
            (self.zone.state, self.since) = (state, now);
        }
    }

    /// What nodes tell of it now. Where nobody can tell, nothing changes but what time alone moves.
    fn see(&mut self, figures: &Tuning, now: Millis, (lost, well): (usize, usize)) {
        let told = lost + well;
        self.bad = lost > 0 && lost as f64 >= figures.nodes * told as f64;
        let well = !self.bad && told > 0;
        if well || !self.bad && self.zone.state == ZoneState::Serving {
            self.lost_since = None;
        } else if self.bad {
            self.lost_since = self.lost_since.or(Some(now));
        }
        self.well_since = if self.bad { None } else { self.well_since.or(well.then_some(now)) };
    }

    fn step(&mut self, figures: &Tuning, now: Millis, told: usize, room: bool, known: bool) {
        let bad = self.bad;
        let confirmed = self.lost_since.is_some_and(|since| now >= since + figures.confirm_ms);
        let due = now >= self.stepped + figures.step_ms;
        match self.zone.state {
            // The one that is suspected is the one that others know to be given up next: no more of them than there is room for.
            ZoneState::Serving if bad && room => self.become_(now, ZoneState::Suspected),
            ZoneState::Serving => {
                if now >= self.since + figures.hold_ms * LONGEST_HOLD {
                    self.hold = 1;
                }
            }
            ZoneState::Suspected if !bad && told > 0 => self.become_(now, ZoneState::Serving),
            // Nobody can tell any more: it does not keep the room from others.
            ZoneState::Suspected if !bad && now >= self.since + figures.confirm_ms + LONGEST_ANNOUNCEMENT => {
                self.become_(now, ZoneState::Serving);
            }
            ZoneState::Suspected => {
                if bad && confirmed && room && known {
                    self.become_(now, ZoneState::GivenUp);
                    self.away(figures, now);
                }
            }
            // Kept out by hand until now: scouts first, by which it is seen whether it answers.
            ZoneState::GivenUp if self.zone.open_percent < figures.scouts => {
                self.zone.open_percent = figures.scouts;
                (self.stepped, self.well_since) = (now, None);
            }
            ZoneState::GivenUp => {
                let answers = self.well_since.is_some_and(|since| now >= since + figures.hold_ms * self.hold);
                if answers && due {
                    self.become_(now, ZoneState::Returning);
                    self.back(now);
                } else if due && self.zone.open_percent > figures.scouts {
                    self.away(figures, now);
                }
            }
            ZoneState::Returning if bad => {
                self.hold = (self.hold * 2).min(LONGEST_HOLD);
                self.become_(now, ZoneState::GivenUp);
                self.zone.open_percent = figures.scouts;
                self.stepped = now;
            }
            ZoneState::Returning if due => self.back(now),
            ZoneState::Returning => {}
        }
    }

    /// Staff's word goes before what nodes see; it moves keys in the same steps.
    fn ordered(&mut self, figures: &Tuning, now: Millis, how: OrderKind) {
        // What is seen meanwhile is not held against the zone, nor for it, when the order ends.
        (self.well_since, self.lost_since, self.hold) = (None, None, 1);
        let due = now >= self.stepped + figures.step_ms;
        match how {
            OrderKind::KeepOut | OrderKind::Drain => {
                let first = self.zone.state != ZoneState::GivenUp;
                self.become_(now, ZoneState::GivenUp);
                if self.zone.open_percent > 0 && (first || due) {
                    self.zone.open_percent = self.zone.open_percent.saturating_sub(figures.away);
                    self.stepped = now;
                }
            }
            OrderKind::KeepIn if self.zone.open_percent == ALL => self.become_(now, ZoneState::Serving),
            OrderKind::KeepIn => {
                self.become_(now, ZoneState::Returning);
                if due {
                    self.back(now);
                }
            }
            OrderKind::Released => {}
        }
    }

    fn away(&mut self, figures: &Tuning, now: Millis) {
        self.zone.open_percent = self.zone.open_percent.saturating_sub(figures.away).max(figures.scouts);
        self.stepped = now;
    }

    /// Cold as it is, it gets its keys back in steps that double.
    fn back(&mut self, now: Millis) {
        self.zone.open_percent = self.zone.open_percent.saturating_mul(2).clamp(10, ALL);
        self.stepped = now;
        if self.zone.open_percent == ALL {
            self.become_(now, ZoneState::Serving);
        }
    }
}
