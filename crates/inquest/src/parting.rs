//! The same events through the present module: where its choices part from those recorded, and by how much.
//!
//! Events after a parting tell of what the old choices brought: an attempt that the present module would not have made
//! still ends, one that it makes has no end. So the first parting is sure, and the counts are a lower bound of how much
//! another module would do otherwise, the less exact the later. Every segment begins anew from its own state, where
//! that can be read.

use std::collections::BTreeMap;

use brassrouter::Micros;
use mothpier_record::Segment;
use mothpier_record::entry::Noted;
use mothpier_record::replay::{Difference, Outcome, Start, play};
use serde::Serialize;

/// How the present module's choices differ from those recorded.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Parting {
    /// Events told.
    pub events: u64,
    /// Requests among them.
    pub requests: u64,
    /// Events whose decisions differ.
    pub parted: u64,
    /// By what was decided then and now.
    pub kinds: BTreeMap<String, u64>,
    /// Sum of the differences of advice where both refuse, microseconds.
    pub advice: Micros,
    /// Clock of the first parting.
    pub first: Option<Micros>,
}

/// Plays a segment through the present module; with the first decision that differs, timers and words to peers aside.
///
/// # Errors
/// A segment that can't be read.
pub fn part(segment: &mut Segment<'_>) -> Result<(Parting, Option<Difference>), String> {
    let mut parting = Parting::default();
    let mut first = None;
    let (outcome, _): (Outcome, _) = play(
        segment,
        Start::Best,
        |_, _| {},
        |step| {
            let mothpier_record::entry::Body::Told { event, actions: then, .. } = &step.entry.body else {
                return;
            };
            let decided = |all: &[Noted]| -> Vec<Noted> {
                all.iter().filter(|a| a.request().is_some()).cloned().collect()
            };
            let (then, now) = (decided(then), decided(step.now));
            if then == now {
                return;
            }
            if first.is_none() {
                parting.first = Some(step.entry.at);
                first = Some(Difference {
                    entry: step.number,
                    at: step.entry.at,
                    event: event.clone(),
                    then: then.clone(),
                    now: now.clone(),
                });
            }
            for (was, is) in then.iter().zip(&now) {
                if let (Noted::Refuse { retry_after: a, .. }, Noted::Refuse { retry_after: b, .. }) =
                    (was, is)
                {
                    parting.advice += a.abs_diff(*b);
                }
            }
            let kind = format!("{} -> {}", kinds(&then), kinds(&now));
            *parting.kinds.entry(kind).or_default() += 1;
        },
    )?;
    (parting.events, parting.requests, parting.parted) = (outcome.events, outcome.requests, outcome.parted);
    Ok((parting, first))
}

fn kinds(actions: &[Noted]) -> String {
    let name = |a: &Noted| match a {
        Noted::Send { .. } => "send",
        Noted::Refuse { .. } => "refuse",
        Noted::Fail(_) => "fail",
        _ => "call off",
    };
    let mut names: Vec<_> = actions.iter().map(name).collect();
    names.dedup();
    if names.is_empty() { "nothing".into() } else { names.join(" and ") }
}
