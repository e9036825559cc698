//! The same events through the present module: where its choices part from those recorded, and by how much.
//!
//! Events after a parting tell of what the old choices brought: an attempt that the present module would not have made
//! still ends, one that it makes has no end. So the first parting is sure, and the counts are a lower bound of how much
//! another module would do otherwise, the less exact the later. Every segment begins anew from its own state, where
//! that can be read.

use std::collections::BTreeMap;

use brassrouter::Micros;
use mothpier_record::Segment;
use mothpier_record::entry::RecordedAction;
use mothpier_record::replay::{Difference, InitialState, Outcome, replay_with};
use serde::Serialize;

/// How the present module's choices differ from those recorded.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Divergence {
    /// Events told.
    pub events: u64,
    /// Requests among them.
    pub requests: u64,
    /// Events whose decisions differ.
    #[serde(rename = "parted")]
    pub diverged_events: u64,
    /// By what was decided then and now.
    #[serde(rename = "kinds")]
    pub changes: BTreeMap<String, u64>,
    /// Sum of the differences of advice where both refuse, microseconds.
    #[serde(rename = "advice")]
    pub retry_after_difference: Micros,
    /// Clock of the first parting.
    #[serde(rename = "first")]
    pub first_divergence_at: Option<Micros>,
}

/// Plays a segment through the present module; with the first decision that differs, timers and words to peers aside.
///
/// # Errors
/// A segment that can't be read.
pub fn find_divergence(segment: &mut Segment<'_>) -> Result<(Divergence, Option<Difference>), String> {
    let mut parting = Divergence::default();
    let mut first = None;
    let (outcome, _): (Outcome, _) = replay_with(
        segment,
        InitialState::Best,
        |_, _| {},
        |step| {
            let mothpier_record::entry::Body::Event { event, actions: then, .. } = &step.entry.body else {
                return;
            };
            let decided = |all: &[RecordedAction]| -> Vec<RecordedAction> {
                all.iter().filter(|a| a.request().is_some()).cloned().collect()
            };
            let (then, now) = (decided(then), decided(step.now));
            if then == now {
                return;
            }
            if first.is_none() {
                parting.first_divergence_at = Some(step.entry.at);
                first = Some(Difference {
                    entry: step.number,
                    at: step.entry.at,
                    event: event.clone(),
                    recorded: then.clone(),
                    replayed: now.clone(),
                });
            }
            for (was, is) in then.iter().zip(&now) {
                if let (
                    RecordedAction::Refuse { retry_after: a, .. },
                    RecordedAction::Refuse { retry_after: b, .. },
                ) = (was, is)
                {
                    parting.retry_after_difference += a.abs_diff(*b);
                }
            }
            let kind = format!("{} -> {}", kinds(&then), kinds(&now));
            *parting.changes.entry(kind).or_default() += 1;
        },
    )?;
    (parting.events, parting.requests, parting.diverged_events) =
        (outcome.events, outcome.requests, outcome.parted);
    Ok((parting, first))
}

fn kinds(actions: &[RecordedAction]) -> String {
    let name = |a: &RecordedAction| match a {
        RecordedAction::Send { .. } => "send",
        RecordedAction::Refuse { .. } => "refuse",
        RecordedAction::Fail(_) => "fail",
        _ => "call off",
    };
    let mut names: Vec<_> = actions.iter().map(name).collect();
    names.dedup();
    if names.is_empty() { "nothing".into() } else { names.join(" and ") }
}
