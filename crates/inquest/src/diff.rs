//! Compares two records.

use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use serde::Serialize;

use crate::describe;

/// What two records have in common, and where they differ.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Comparison {
    /// Header fields that differ.
    #[serde(rename = "headers")]
    pub differing_headers: Vec<String>,
    /// Identical entries at the start.
    #[serde(rename = "same")]
    pub common_entries: u64,
    /// The first entry that differs, in the first and in the second record; `None` if a record has ended.
    #[serde(rename = "first")]
    pub first_difference: Option<(Option<String>, Option<String>)>,
    /// Entries with different events, among those compared.
    #[serde(rename = "events")]
    pub differing_events: u64,
    /// Entries with the same event and different actions.
    #[serde(rename = "actions")]
    pub differing_actions: u64,
}

/// Compares two records entry by entry.
pub fn compare(mut first_record: Segment<'_>, mut second_record: Segment<'_>) -> Comparison {
    let mut comparison = Comparison::default();
    let (first_header, second_header) = (first_record.header.clone(), second_record.header.clone());
    for (name, differs) in [
        ("node", first_header.node != second_header.node),
        ("life", first_header.incarnation != second_header.incarnation),
        ("program", first_header.program != second_header.program),
        ("state", first_header.state_version != second_header.state_version),
        ("seed", first_header.seed != second_header.seed),
        ("settings", first_header.settings != second_header.settings),
        ("servers", first_header.servers != second_header.servers),
    ] {
        if differs {
            comparison.differing_headers.push(name.into());
        }
    }
    loop {
        let (first, second) = (first_record.next(), second_record.next());
        if first.is_none() && second.is_none() {
            return comparison;
        }
        if first == second {
            comparison.common_entries += u64::from(comparison.first_difference.is_none());
            continue;
        }
        if comparison.first_difference.is_none() {
            let line = |e: &Entry, h| format!("{}: {}", describe::utc_time(e.at), describe::entry(h, e));
            comparison.first_difference = Some((
                first.as_ref().map(|e| line(e, &first_header)),
                second.as_ref().map(|e| line(e, &second_header)),
            ));
        }
        match (first.map(|e| e.body), second.map(|e| e.body)) {
            (Some(Body::Event { event: first, .. }), Some(Body::Event { event: second, .. }))
                if first == second =>
            {
                comparison.differing_actions += 1
            }
            _ => comparison.differing_events += 1,
        }
    }
}
