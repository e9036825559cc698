//! The steps of one request: what was view of each server at each decision, and the reasons for it.

use brassrouter::{Condition, Event, Micros, RequestId, ServerView, View};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry, RecordedAction, client_id_checksum};
use mothpier_record::replay::{InitialState, concerns, replay_with};
use serde::Serialize;

use crate::describe;

/// Identifies a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestSelector {
    /// The module's number of the request.
    Number(RequestId),
    /// The id assigned by the client.
    ClientId(String),
}

impl RequestSelector {
    /// If the entry is the arrival of the request, returns the request's number.
    pub fn arrival(&self, entry: &Entry) -> Option<RequestId> {
        let Body::Event { event: Event::Request(r), client_id_checksum: recorded, .. } = &entry.body else {
            return None;
        };
        let matches = match self {
            RequestSelector::Number(number) => r.id == *number,
            RequestSelector::ClientId(id) => *recorded == Some(client_id_checksum(id.as_bytes())),
        };
        matches.then_some(r.id)
    }
}

/// One step of a request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestStep {
    /// Clock value.
    pub at: Micros,
    /// Time since the request arrived.
    #[serde(rename = "since")]
    pub since_arrival: Micros,
    /// What happened.
    pub event: String,
    /// What was decided.
    #[serde(rename = "decided")]
    pub decisions: Vec<String>,
    /// The reasons, as far as the module's state shows them.
    #[serde(rename = "because")]
    pub reasons: Vec<String>,
    /// What the module knew after the event, with servers in the request's order of preference.
    #[serde(rename = "known")]
    pub view: View,
}

/// Lists the steps of a request.
///
/// # Errors
/// The segment can't be replayed, or does not contain the request.
pub fn explain_request(
    segment: &mut Segment<'_>,
    selector: &RequestSelector,
) -> Result<Vec<RequestStep>, String> {
    let header = segment.header.clone();
    let mut steps = Vec::new();
    let mut request: Option<(RequestId, Micros)> = None;
    let counts_before = std::cell::RefCell::new(Vec::new());
    replay_with(
        segment,
        InitialState::Recorded,
        |policy, _| *counts_before.borrow_mut() = policy.refusal_counts().collect(),
        |step| {
            if request.is_none() {
                request = selector.arrival(step.entry).map(|id| (id, step.entry.at));
            }
            let Some((id, arrived_at)) = request.filter(|(id, _)| concerns(step.entry, step.replayed, *id))
            else {
                return;
            };
            let Body::Event { event, client_id_checksum, .. } = &step.entry.body else { return };
            let request_actions = step.replayed.iter().filter(|a| a.request() == Some(id));
            let view = step.policy.view(Some(id));
            let mut reasons = Vec::new();
            for action in request_actions.clone() {
                match action {
                    RecordedAction::Send { server, .. } => reasons.extend(reasons_for_choice(&view, *server)),
                    RecordedAction::Refuse { .. } | RecordedAction::Fail(_) => {
                        let previous_counts = counts_before.borrow();
                        // The module resets the counts when it logs them. The reason can't be determined
                        // then.
                        let changed_counts = previous_counts.iter().zip(step.policy.refusal_counts());
                        let changed_reasons = changed_counts
                            .filter(|((_, old), (_, new))| new > old)
                            .map(|(_, (name, _))| name);
                        reasons.push(format!("because: {}", changed_reasons.collect::<Vec<_>>().join(", ")));
                        reasons.push(describe_view(&view));
                    }
                    _ => {}
                }
            }
            steps.push(RequestStep {
                at: step.entry.at,
                since_arrival: step.entry.at - arrived_at,
                event: describe::event(&header, event, *client_id_checksum),
                decisions: request_actions.map(describe::action).collect(),
                reasons,
                view,
            });
        },
    )?;
    if steps.is_empty() { Err("no such request arrives in this record".into()) } else { Ok(steps) }
}

/// Summarizes the state of the module in one line.
pub fn describe_view(view: &View) -> String {
    format!(
        "admission level {:.2}, overload {:.3}{}, retry budget {:.1}, gate {} of {:.1} outstanding ({} in this window), {} open requests",
        view.admission_level,
        view.overload,
        if view.storm { ", in a storm" } else { "" },
        view.retry_budget,
        view.gate_outstanding[0],
        view.gate_limit,
        view.gate_calls_in_window[0],
        view.open_requests
    )
}

/// Why a server was chosen: the servers before it in the request's order, and the reasons against each.
fn reasons_for_choice(view: &View, server_id: u32) -> Vec<String> {
    let mut lines = Vec::new();
    for (position, s) in view.servers.iter().filter(|s| !s.origin).enumerate() {
        if s.id == server_id {
            lines.push(format!(
                "server {server_id} has rank {} for this request: {}",
                position + 1,
                describe_server(s)
            ));
            return lines;
        }
        lines.push(format!("skipped server {}: {}", s.id, reasons_against(s)));
    }
    // The origin, or a server that has since left the list: the order does not explain the choice.
    vec![describe_view(view)]
}

fn describe_server(s: &ServerView) -> String {
    format!(
        "{} in flight including this one (limit {:.1}), serves {:.0}% of its keys, {:.0}% warmed up, backlog {}",
        s.in_flight,
        s.load_bound,
        s.key_share * 100.0,
        s.capacity_share * 100.0,
        describe::milliseconds(s.backlog)
    )
}

fn reasons_against(s: &ServerView) -> String {
    let mut reasons = Vec::new();
    match s.condition {
        Condition::Ready => {}
        Condition::Draining => reasons.push("draining".to_owned()),
        Condition::Gone => reasons.push("gone".to_owned()),
    }
    if s.excluded {
        reasons.push("already tried, or not allowed for this request".into());
    }
    if f64::from(s.in_flight.saturating_sub(s.overtaken)) >= s.load_bound {
        reasons.push(format!("{} in flight, at or over its limit of {:.1}", s.in_flight, s.load_bound));
    }
    if s.capacity_share < 1.0 {
        reasons.push(format!(
            "{:.0}% warmed up, slow-start bucket {:.1} of {:.1}",
            s.capacity_share * 100.0,
            s.slow_start_bucket.0,
            s.slow_start_bucket.1
        ));
    }
    if s.key_share < 1.0 {
        reasons.push(format!("degraded, serves {:.0}% of its keys", s.key_share * 100.0));
    }
    if reasons.is_empty() {
        reasons.push(format!("no reason visible after the decision ({})", describe_server(s)));
    }
    reasons.join("; ")
}
