//! Replays the events through the current module, and counts where its decisions differ from the recorded
//! ones.
//!
//! Events after the first divergence still follow from the recorded decisions: an attempt that the current
//! module would not have made still ends, and one that only the current module makes never ends. The first
//! divergence is therefore exact, and the counts are a lower bound that becomes less accurate with time. Each
//! segment starts from its own recorded state, if that can be read.

use std::collections::BTreeMap;

use brassrouter::Micros;
use mothpier_record::Segment;
use mothpier_record::entry::RecordedAction;
use mothpier_record::replay::{Difference, InitialState, Outcome, replay_with};
use serde::Serialize;

/// How the current module's decisions differ from the recorded ones.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Divergence {
    /// Replayed events.
    pub events: u64,
    /// Requests among them.
    pub requests: u64,
    /// Events with different decisions.
    #[serde(rename = "parted")]
    pub diverged_events: u64,
    /// Number of differences, by recorded and current decision.
    #[serde(rename = "kinds")]
    pub changes: BTreeMap<String, u64>,
    /// Sum of the differences of the retry delay where both refuse, in microseconds.
    #[serde(rename = "advice")]
    pub retry_after_difference: Micros,
    /// Clock value of the first divergence.
    #[serde(rename = "first")]
    pub first_divergence_at: Option<Micros>,
}

/// Replays a segment through the current module. Also returns the first different decision; timers and peer
/// messages don't count.
///
/// # Errors
/// The segment can't be read.
pub fn find_divergence(segment: &mut Segment<'_>) -> Result<(Divergence, Option<Difference>), String> {
    let mut divergence = Divergence::default();
    let mut first = None;
    let (outcome, _): (Outcome, _) = replay_with(
        segment,
        InitialState::RecordedOrFresh,
        |_, _| {},
        |step| {
            let mothpier_record::entry::Body::Event { event, actions: recorded, .. } = &step.entry.body
            else {
                return;
            };
            let decisions = |all: &[RecordedAction]| -> Vec<RecordedAction> {
                all.iter().filter(|a| a.request().is_some()).cloned().collect()
            };
            let (recorded, replayed) = (decisions(recorded), decisions(step.replayed));
            if recorded == replayed {
                return;
            }
            if first.is_none() {
                divergence.first_divergence_at = Some(step.entry.at);
                first = Some(Difference {
                    entry: step.number,
                    at: step.entry.at,
                    event: event.clone(),
                    recorded: recorded.clone(),
                    replayed: replayed.clone(),
                });
            }
            for (old, new) in recorded.iter().zip(&replayed) {
                if let (
                    RecordedAction::Refuse { retry_after: old_delay, .. },
                    RecordedAction::Refuse { retry_after: new_delay, .. },
                ) = (old, new)
                {
                    divergence.retry_after_difference += old_delay.abs_diff(*new_delay);
                }
            }
            let change = format!("{} -> {}", summarize(&recorded), summarize(&replayed));
            *divergence.changes.entry(change).or_default() += 1;
        },
    )?;
    (divergence.events, divergence.requests, divergence.diverged_events) =
        (outcome.events, outcome.requests, outcome.differing_decisions);
    Ok((divergence, first))
}

fn summarize(actions: &[RecordedAction]) -> String {
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
