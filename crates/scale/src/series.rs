//! Series of values over a size, taken from runs.

use std::collections::BTreeMap;
use std::fmt;

use crate::models::Point;
use crate::record::{Change, FleetSize, Limit, Role, RoleCost, Run};
use crate::records::word;

/// What grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Axis {
    /// Nodes.
    Nodes,
    /// Cache servers.
    CacheServers,
    /// Changes of discovery's list a second.
    Changes,
}

impl Axis {
    const ALL: [Axis; 3] = [Axis::Nodes, Axis::CacheServers, Axis::Changes];

    fn of(self, size: &FleetSize) -> f64 {
        match self {
            Axis::Nodes => f64::from(size.nodes),
            Axis::CacheServers => f64::from(size.cache_servers),
            Axis::Changes => size.changes_per_s,
        }
    }
}

impl fmt::Display for Axis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Axis::Nodes => "nodes",
            Axis::CacheServers => "cache servers",
            Axis::Changes => "changes a second",
        })
    }
}

/// Whose figure it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A role's, the mean of a member.
    Role(Role),
    /// A sum's over the fleet.
    Sum(Limit),
    /// A change's.
    Spread(Change),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Role(role) => f.write_str(&word(role)),
            Subject::Sum(limit) => write!(f, "sum of {}", word(limit)),
            Subject::Spread(change) => write!(f, "change of {}", word(change)),
        }
    }
}

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Messages a second, both ways together.
    Messages,
    /// Bytes a second, both ways together.
    Bytes,
    /// Processor time, user and system together, seconds a second.
    Cpu,
    /// Resident memory, in bytes.
    ResidentMemory,
    /// Connections, the most at a time.
    Connections,
    /// What the nodes' own limits add up to.
    Allowed,
    /// The most that was seen at once.
    Peak,
    /// The time until the last that acted on a change, in seconds.
    LastActs,
}

impl Quantity {
    const OF_ROLES: [Quantity; 5] =
        [Quantity::Messages, Quantity::Bytes, Quantity::Cpu, Quantity::ResidentMemory, Quantity::Connections];

    /// The value of a role's cost, where it was measured.
    pub fn of(self, cost: &RoleCost) -> Option<f64> {
        match self {
            Quantity::Messages => Some(cost.messages_in_per_s + cost.messages_out_per_s),
            Quantity::Bytes => Some(cost.bytes_in_per_s + cost.bytes_out_per_s),
            Quantity::Cpu => Some(cost.user_cpu? + cost.system_cpu?),
            Quantity::ResidentMemory => cost.resident_bytes,
            Quantity::Connections => Some(cost.connections),
            Quantity::Allowed | Quantity::Peak | Quantity::LastActs => None,
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Quantity::Messages => "messages/s",
            Quantity::Bytes => "bytes/s",
            Quantity::Cpu => "cores",
            Quantity::ResidentMemory => "resident bytes",
            Quantity::Connections => "connections",
            Quantity::Allowed => "allowed",
            Quantity::Peak => "peak",
            Quantity::LastActs => "last acts, s",
        })
    }
}

/// What tells a series from others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Whose.
    pub subject: Subject,
    /// What.
    pub quantity: Quantity,
    /// Over what.
    pub axis: Axis,
    /// The other two axes, in words: their values, or that they grow along.
    pub others: String,
}

/// Values of one quantity over one axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// What they are.
    pub key: Key,
    /// The values, one for each run.
    pub points: Vec<Point>,
    /// The design's limit at each size, where the runs tell one.
    pub bounds: Vec<Point>,
    /// Runs in which not all that should have acted did: the time of the last is only that of those that did.
    pub incomplete: usize,
}

impl Series {
    /// The design's limit at the largest of the sizes up to this one, where the runs tell it.
    pub fn bound_at(&self, size: f64) -> Option<f64> {
        let up_to = self.bounds.iter().filter(|bound| bound.size <= size);
        up_to.max_by(|a, b| a.size.total_cmp(&b.size)).map(|bound| bound.value)
    }

    /// Whether the design's limit is another one at another size, so that nothing is known of it at sizes that were not run.
    pub fn bound_varies(&self) -> bool {
        self.bounds.windows(2).any(|pair| pair[0].value != pair[1].value)
    }
}

/// One value of one run.
struct Value {
    subject: Subject,
    quantity: Quantity,
    value: f64,
    bound: Option<f64>,
    complete: bool,
}

fn values(run: &Run) -> Vec<Value> {
    let mut values = Vec::new();
    for (role, cost) in &run.roles {
        for quantity in Quantity::OF_ROLES {
            let subject = Subject::Role(*role);
            let value = quantity.of(cost);
            values.extend(value.map(|value| Value { subject, quantity, value, bound: None, complete: true }));
        }
    }
    for sum in &run.sums {
        for (quantity, value) in [(Quantity::Allowed, sum.allowed), (Quantity::Peak, sum.peak)] {
            let subject = Subject::Sum(sum.limit);
            values.push(Value { subject, quantity, value, bound: Some(sum.bound), complete: true });
        }
    }
    let mut slowest: BTreeMap<Change, (f64, bool)> = BTreeMap::new();
    for spread in &run.spreads {
        let (last, complete) = slowest.entry(spread.change).or_insert((0.0, true));
        *last = last.max(spread.last_s);
        *complete &= spread.acted >= spread.expected;
    }
    for (change, (value, complete)) in slowest {
        let (subject, quantity) = (Subject::Spread(change), Quantity::LastActs);
        values.push(Value { subject, quantity, value, bound: None, complete });
    }
    values
}

/// The sizes of the other axes of a run, in words.
fn others(axis: Axis, size: &FleetSize) -> String {
    let other = |other: &Axis| format!("{} {other}", other.of(size));
    let others: Vec<String> = Axis::ALL.iter().filter(|a| **a != axis).map(other).collect();
    others.join(", ")
}

/// The zones of runs, in words, where they are not the same in all: what grows with them is not told apart from the axis.
fn zones_along(runs: &[&Run]) -> String {
    let zones = || runs.iter().map(|run| run.size.zones);
    match (zones().min(), zones().max()) {
        (Some(least), Some(most)) if least < most => format!("; {least} to {most} zones along"),
        _ => String::new(),
    }
}

/// Axes along which runs differ, each with the runs whose other axes stand still; where that is so of no two sizes, all runs over nodes.
fn groups<'a>(runs: &[&'a Run]) -> Vec<(Axis, String, Vec<&'a Run>)> {
    let mut groups = Vec::new();
    for axis in Axis::ALL {
        let mut by_others: BTreeMap<String, Vec<&Run>> = BTreeMap::new();
        for run in runs {
            by_others.entry(others(axis, &run.size)).or_default().push(run);
        }
        for (others, members) in by_others {
            let first = axis.of(&members[0].size);
            if members.iter().any(|run| axis.of(&run.size) != first) {
                let others = others + &zones_along(&members);
                groups.push((axis, others, members));
            }
        }
    }
    if groups.is_empty() && !runs.is_empty() {
        let first = &runs[0].size;
        let several = runs.iter().any(|run| run.size.nodes != first.nodes);
        let what = if several { "all else grows along".into() } else { others(Axis::Nodes, first) };
        groups.push((Axis::Nodes, what, runs.to_vec()));
    }
    groups
}

/// All series of runs of one kind, in a fixed order.
pub fn all(runs: &[&Run]) -> Vec<Series> {
    let mut series: BTreeMap<Key, Series> = BTreeMap::new();
    for (axis, others, members) in groups(runs) {
        for run in members {
            for value in values(run) {
                let (subject, quantity) = (value.subject, value.quantity);
                let key = Key { subject, quantity, axis, others: others.clone() };
                let new =
                    || Series { key: key.clone(), points: Vec::new(), bounds: Vec::new(), incomplete: 0 };
                let entry = series.entry(key.clone()).or_insert_with(new);
                let size = axis.of(&run.size);
                entry.points.push(Point { size, value: value.value });
                entry.bounds.extend(value.bound.map(|value| Point { size, value }));
                entry.incomplete += usize::from(!value.complete);
            }
        }
    }
    series.into_values().collect()
}
