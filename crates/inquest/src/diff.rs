//! Where two records part.

use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use serde::Serialize;

use crate::describe;

/// What two records have in common, and where they part.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Comparison {
    /// Fields of the headers that differ.
    #[serde(rename = "headers")]
    pub differing_headers: Vec<String>,
    /// Entries from the begin on that are the same.
    #[serde(rename = "same")]
    pub common_entries: u64,
    /// The first entry that differs, of the one and of the other; `None` where one is at its end.
    #[serde(rename = "first")]
    pub first_difference: Option<(Option<String>, Option<String>)>,
    /// Of the entries compared, those whose event differs.
    #[serde(rename = "events")]
    pub differing_events: u64,
    /// Those whose event is the same and whose actions differ.
    #[serde(rename = "actions")]
    pub differing_actions: u64,
}

/// Compares two records, entry by entry.
pub fn compare(mut a: Segment<'_>, mut b: Segment<'_>) -> Comparison {
    let mut found = Comparison::default();
    let (one, other) = (a.header.clone(), b.header.clone());
    for (name, differs) in [
        ("node", one.node != other.node),
        ("life", one.incarnation != other.incarnation),
        ("program", one.program != other.program),
        ("state", one.state_version != other.state_version),
        ("seed", one.seed != other.seed),
        ("settings", one.settings != other.settings),
        ("servers", one.servers != other.servers),
    ] {
        if differs {
            found.differing_headers.push(name.into());
        }
    }
    loop {
        let (x, y) = (a.next(), b.next());
        if x.is_none() && y.is_none() {
            return found;
        }
        if x == y {
            found.common_entries += u64::from(found.first_difference.is_none());
            continue;
        }
        if found.first_difference.is_none() {
            let line = |e: &Entry, h| format!("{}: {}", describe::utc_time(e.at), describe::entry(h, e));
            found.first_difference =
                Some((x.as_ref().map(|e| line(e, &one)), y.as_ref().map(|e| line(e, &other))));
        }
        match (x.map(|e| e.body), y.map(|e| e.body)) {
            (Some(Body::Event { event: x, .. }), Some(Body::Event { event: y, .. })) if x == y => {
                found.differing_actions += 1
            }
            _ => found.differing_events += 1,
        }
    }
}
