//! Where two records part.

use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use serde::Serialize;

use crate::tell;

/// What two records have in common, and where they part.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Comparison {
    /// Fields of the headers that differ.
    pub headers: Vec<String>,
    /// Entries from the begin on that are the same.
    pub same: u64,
    /// The first entry that differs, of the one and of the other; `None` where one is at its end.
    pub first: Option<(Option<String>, Option<String>)>,
    /// Of the entries compared, those whose event differs.
    pub events: u64,
    /// Those whose event is the same and whose actions differ.
    pub actions: u64,
}

/// Compares two records, entry by entry.
pub fn compare(mut a: Segment<'_>, mut b: Segment<'_>) -> Comparison {
    let mut found = Comparison::default();
    let (one, other) = (a.header.clone(), b.header.clone());
    for (name, differs) in [
        ("node", one.node != other.node),
        ("life", one.life != other.life),
        ("program", one.program != other.program),
        ("state", one.state != other.state),
        ("seed", one.seed != other.seed),
        ("settings", one.settings != other.settings),
        ("servers", one.servers != other.servers),
    ] {
        if differs {
            found.headers.push(name.into());
        }
    }
    loop {
        let (x, y) = (a.next(), b.next());
        if x.is_none() && y.is_none() {
            return found;
        }
        if x == y {
            found.same += u64::from(found.first.is_none());
            continue;
        }
        if found.first.is_none() {
            let line = |e: &Entry, h| format!("{}: {}", tell::clock(e.at), tell::entry(h, e));
            found.first = Some((x.as_ref().map(|e| line(e, &one)), y.as_ref().map(|e| line(e, &other))));
        }
        match (x.map(|e| e.body), y.map(|e| e.body)) {
            (Some(Body::Told { event: x, .. }), Some(Body::Told { event: y, .. })) if x == y => {
                found.actions += 1
            }
            _ => found.events += 1,
        }
    }
}
