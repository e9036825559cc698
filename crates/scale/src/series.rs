//! Series of values as a function of a size, extracted from runs.

use std::collections::BTreeMap;
use std::fmt;

use crate::models::Point;
use crate::record::{Change, FleetSize, Limit, Role, RoleCost, Run};
use crate::records::serialized_name;

/// The size that varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Axis {
    /// Number of nodes.
    Nodes,
    /// Number of cache servers.
    CacheServers,
    /// Changes of discovery's list per second.
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

/// What a series describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A role; values are means over its members.
    Role(Role),
    /// A sum over the fleet.
    Sum(Limit),
    /// The propagation of a change.
    Propagation(Change),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Role(role) => f.write_str(&serialized_name(role)),
            Subject::Sum(limit) => write!(f, "sum of {}", serialized_name(limit)),
            Subject::Propagation(change) => write!(f, "change of {}", serialized_name(change)),
        }
    }
}

/// A measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Messages per second in both directions.
    Messages,
    /// Bytes per second in both directions.
    Bytes,
    /// Processor time in user mode and in the system, in seconds per second.
    Cpu,
    /// Resident memory, in bytes.
    ResidentMemory,
    /// Maximum number of concurrent connections.
    Connections,
    /// What the nodes' own limits add up to.
    Allowed,
    /// The highest value observed.
    Peak,
    /// Time until the last node acted on a change, in seconds.
    PropagationTime,
}

impl Quantity {
    const OF_ROLES: [Quantity; 5] =
        [Quantity::Messages, Quantity::Bytes, Quantity::Cpu, Quantity::ResidentMemory, Quantity::Connections];

    /// The value of a role's cost, if it was measured.
    pub fn of(self, cost: &RoleCost) -> Option<f64> {
        match self {
            Quantity::Messages => Some(cost.messages_in_per_s + cost.messages_out_per_s),
            Quantity::Bytes => Some(cost.bytes_in_per_s + cost.bytes_out_per_s),
            Quantity::Cpu => Some(cost.user_cpu? + cost.system_cpu?),
            Quantity::ResidentMemory => cost.resident_bytes,
            Quantity::Connections => Some(cost.connections),
            Quantity::Allowed | Quantity::Peak | Quantity::PropagationTime => None,
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
            Quantity::PropagationTime => "last acts, s",
        })
    }
}

/// Identifies a series.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// What the series describes.
    pub subject: Subject,
    /// The measured quantity.
    pub quantity: Quantity,
    /// The size that varies.
    pub axis: Axis,
    /// The other two axes as text: their values, or that they grow with the axis.
    pub others: String,
}

/// Values of one quantity along one axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Identifies the series.
    pub key: Key,
    /// The values, one for each run.
    pub points: Vec<Point>,
    /// The design's limit at each size, if the runs contain one.
    pub bounds: Vec<Point>,
    /// Number of runs in which not all expected nodes acted on a change. Their values cover only the nodes
    /// that did.
    pub incomplete: usize,
}

impl Series {
    /// The design's limit at the largest size up to this one, if the runs contain one.
    pub fn bound_at(&self, size: f64) -> Option<f64> {
        let up_to = self.bounds.iter().filter(|bound| bound.size <= size);
        up_to.max_by(|a, b| a.size.total_cmp(&b.size)).map(|bound| bound.value)
    }

    /// Whether the design's limit depends on the size, so that it is unknown at sizes that were not run.
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
    for propagation in &run.spreads {
        let (last, complete) = slowest.entry(propagation.change).or_insert((0.0, true));
        *last = last.max(propagation.last_s);
        *complete &= propagation.acted >= propagation.expected;
    }
    for (change, (value, complete)) in slowest {
        let (subject, quantity) = (Subject::Propagation(change), Quantity::PropagationTime);
        values.push(Value { subject, quantity, value, bound: None, complete });
    }
    values
}

/// The sizes on the other axes of a run, as text.
fn others(axis: Axis, size: &FleetSize) -> String {
    let axis_text = |other: &Axis| format!("{} {other}", other.of(size));
    let others: Vec<String> = Axis::ALL.iter().filter(|a| **a != axis).map(axis_text).collect();
    others.join(", ")
}

/// The range of zones in these runs as text, if it is more than one value: the effect of zones cannot be
/// separated from that of the axis then.
fn zone_range(runs: &[&Run]) -> String {
    let zones = || runs.iter().map(|run| run.size.zones);
    match (zones().min(), zones().max()) {
        (Some(min), Some(max)) if min < max => format!("; {min} to {max} zones along"),
        _ => String::new(),
    }
}

/// Groups runs that differ along one axis only. If there is no such group with two sizes, all runs form one
/// group over the nodes.
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
                let others = others + &zone_range(&members);
                groups.push((axis, others, members));
            }
        }
    }
    if groups.is_empty() && !runs.is_empty() {
        let first = &runs[0].size;
        let nodes_vary = runs.iter().any(|run| run.size.nodes != first.nodes);
        let group_name = if nodes_vary { "all else grows along".into() } else { others(Axis::Nodes, first) };
        groups.push((Axis::Nodes, group_name, runs.to_vec()));
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
