//! The story of one request: what was known of each server when it was decided, and why it came out so.

use brassrouter::{Condition, Event, Micros, RequestId, ServerView, View};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry, RecordedAction, client_id_checksum};
use mothpier_record::replay::{InitialState, concerns, replay_with};
use serde::Serialize;

use crate::describe;

/// Which request is meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestSelector {
    /// By the module's number of it.
    Number(RequestId),
    /// By the id that its client gave it.
    ClientId(String),
}

impl RequestSelector {
    /// Whether an entry is the arrival of that request; its number.
    pub fn arrival(&self, entry: &Entry) -> Option<RequestId> {
        let Body::Event { event: Event::Request(r), reference: known, .. } = &entry.body else { return None };
        let meant = match self {
            RequestSelector::Number(number) => r.id == *number,
            RequestSelector::ClientId(id) => *known == Some(client_id_checksum(id.as_bytes())),
        };
        meant.then_some(r.id)
    }
}

/// One moment of a request's story.
#[derive(Debug, Clone, Serialize)]
pub struct RequestStep {
    /// The clock.
    pub at: Micros,
    /// Since the request arrived.
    #[serde(rename = "since")]
    pub since_arrival: Micros,
    /// What happened.
    pub event: String,
    /// What was decided.
    #[serde(rename = "decided")]
    pub decisions: Vec<String>,
    /// Why, as far as the module's state tells.
    #[serde(rename = "because")]
    pub reasons: Vec<String>,
    /// What the module knew after the event, with servers in the request's order.
    #[serde(rename = "known")]
    pub view: View,
}

/// Tells the story of a request.
///
/// # Errors
/// A segment that can't be replayed, or no such request in it.
pub fn explain_request(
    segment: &mut Segment<'_>,
    which: &RequestSelector,
) -> Result<Vec<RequestStep>, String> {
    let header = segment.header.clone();
    let mut moments = Vec::new();
    let mut request: Option<(RequestId, Micros)> = None;
    let counts = std::cell::RefCell::new(Vec::new());
    replay_with(
        segment,
        InitialState::Recorded,
        |policy, _| *counts.borrow_mut() = policy.refusal_counts().collect(),
        |step| {
            if request.is_none() {
                request = which.arrival(step.entry).map(|id| (id, step.entry.at));
            }
            let Some((id, came)) = request.filter(|(id, _)| concerns(step.entry, step.now, *id)) else {
                return;
            };
            let Body::Event { event, reference, .. } = &step.entry.body else { return };
            let about = step.now.iter().filter(|a| a.request() == Some(id));
            let known = step.policy.view(Some(id));
            let mut because = Vec::new();
            for action in about.clone() {
                match action {
                    RecordedAction::Send { server, .. } => because.extend(chosen(&known, *server)),
                    RecordedAction::Refuse { .. } | RecordedAction::Fail(_) => {
                        let before = counts.borrow();
                        // Its line about them resets the counts: then the reason can't be told apart.
                        let reasons = before.iter().zip(step.policy.refusal_counts());
                        let reason =
                            reasons.filter(|((_, was), (_, is))| is > was).map(|(_, (name, _))| name);
                        because.push(format!("because: {}", reason.collect::<Vec<_>>().join(", ")));
                        because.push(describe_view(&known));
                    }
                    _ => {}
                }
            }
            moments.push(RequestStep {
                at: step.entry.at,
                since_arrival: step.entry.at - came,
                event: describe::event(&header, event, *reference),
                decisions: about.map(describe::action).collect(),
                reasons: because,
                view: known,
            });
        },
    )?;
    if moments.is_empty() { Err("no such request arrives in this record".into()) } else { Ok(moments) }
}

/// What is known of the whole, in a line.
pub fn describe_view(known: &View) -> String {
    format!(
        "level {:.2}, strain {:.3}{}, retries {:.1}, gate {} of {:.1} out ({} in this window), {} open",
        known.admission_level,
        known.overload,
        if known.storm { ", in a storm" } else { "" },
        known.retry_budget,
        known.gate_outstanding[0],
        known.gate_limit,
        known.gate_calls_in_window[0],
        known.open_requests
    )
}

/// Why a server was chosen: those before it in the request's order, and what spoke against each.
fn chosen(known: &View, server: u32) -> Vec<String> {
    let mut lines = Vec::new();
    for (place, s) in known.servers.iter().filter(|s| !s.origin).enumerate() {
        if s.id == server {
            lines.push(format!("server {server} is number {} of its order: {}", place + 1, server_line(s)));
            return lines;
        }
        lines.push(format!("passed over server {}: {}", s.id, against(s)));
    }
    // At the origin, or at one that the list has dropped since: the order does not tell.
    vec![describe_view(known)]
}

fn server_line(s: &ServerView) -> String {
    format!(
        "{} in flight with this one (bound {:.1}), keeps {:.0}% of its keys, {:.0}% warm, backlog {}",
        s.in_flight,
        s.load_bound,
        s.key_share * 100.0,
        s.capacity_share * 100.0,
        describe::milliseconds(s.backlog)
    )
}

fn against(s: &ServerView) -> String {
    let mut all = Vec::new();
    match s.condition {
        Condition::Ready => {}
        Condition::Draining => all.push("it drains".to_owned()),
        Condition::Gone => all.push("it is gone".to_owned()),
    }
    if s.excluded {
        all.push("the request has been there or may not go there".into());
    }
    if f64::from(s.in_flight.saturating_sub(s.overtaken)) >= s.load_bound {
        all.push(format!("{} in flight, over its bound of {:.1}", s.in_flight, s.load_bound));
    }
    if s.capacity_share < 1.0 {
        all.push(format!(
            "{:.0}% warm, bucket {:.1} of {:.1}",
            s.capacity_share * 100.0,
            s.slow_start_bucket.0,
            s.slow_start_bucket.1
        ));
    }
    if s.key_share < 1.0 {
        all.push(format!("in trouble, keeps {:.0}% of its keys", s.key_share * 100.0));
    }
    if all.is_empty() {
        all.push(format!("no ground can be seen now ({})", server_line(s)));
    }
    all.join("; ")
}
