//! Replays recorded events through the module and compares the actions with the recorded ones.

use brassrouter::{Action, Event, ListKind, Micros, Policy, RequestId, STATE_VERSION};

use crate::entry::{Body, Entry, RecordedAction};
use crate::segment::{ReadError, Segment};

/// An event whose replayed actions differ from the recorded ones.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Number of the entry, from 0.
    pub entry: u64,
    /// Clock value of the entry.
    pub at: Micros,
    /// The event.
    pub event: Event,
    /// The recorded actions.
    pub recorded: Vec<RecordedAction>,
    /// The replayed actions.
    pub replayed: Vec<RecordedAction>,
}

/// Result of a replay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Replayed events.
    pub events: u64,
    /// Actions that they caused.
    pub actions: u64,
    /// Requests among the events.
    pub requests: u64,
    /// Clock values of the first and the last event.
    pub time_range: Option<(Micros, Micros)>,
    /// Events missing before the segment, as stated in it.
    pub missing_events: u64,
    /// Whether the node shut down in order.
    pub clean_shutdown: bool,
    /// The first difference.
    pub first_difference: Option<Difference>,
    /// Events with different decisions; timers, log lines and peer messages don't count.
    pub differing_decisions: u64,
    /// Why reading stopped before the end of the segment, if it did.
    pub read_error: Option<ReadError>,
}

/// How to obtain the module's initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialState {
    /// Use the recorded state. Fails if its layout is another.
    Recorded,
    /// Use the recorded state if it can be read, otherwise a new module with the recorded settings, seed and
    /// server list.
    RecordedOrFresh,
}

/// One step of a replay.
pub struct Step<'a> {
    /// The recorded entry.
    pub entry: &'a Entry,
    /// Its number, from 0.
    pub number: u64,
    /// The replayed actions, as they would be recorded.
    pub replayed: &'a [RecordedAction],
    /// The replayed actions with their texts.
    pub actions: &'a [Action],
    /// The module after the event.
    pub policy: &'a Policy,
}

/// Replays the events of a segment. `watch` observes each step; `before` is called before each event and may
/// replace the module.
///
/// # Errors
/// The initial state is missing or can't be read.
pub fn replay_with(
    segment: &mut Segment<'_>,
    start: InitialState,
    mut before: impl FnMut(&mut Policy, &Entry),
    mut watch: impl FnMut(Step<'_>),
) -> Result<(Outcome, Policy), String> {
    let mut policy = initial_policy(segment, start)?;
    let mut outcome = Outcome::default();
    let (mut actions, mut replayed) = (Vec::new(), Vec::new());
    for (number, entry) in (1..).zip(segment.by_ref()) {
        match &entry.body {
            Body::State(_) => {
                return Err(format!("entry {number} is a state, which is valid only as the first entry"));
            }
            Body::Gap { events } => outcome.missing_events += events,
            Body::End => outcome.clean_shutdown = true,
            Body::Event { event, actions: recorded, .. } => {
                check_event(&policy, event).map_err(|e| format!("entry {number}: {e}"))?;
                before(&mut policy, &entry);
                actions.clear();
                policy.handle(entry.at, event.clone(), &mut actions);
                replayed.clear();
                replayed.extend(actions.iter().map(RecordedAction::from));
                outcome.events += 1;
                outcome.actions += actions.len() as u64;
                outcome.requests += u64::from(matches!(event, Event::Request(_)));
                outcome.time_range =
                    Some((outcome.time_range.map_or(entry.at, |(first, _)| first), entry.at));
                if replayed != *recorded {
                    if decisions(&replayed).ne(decisions(recorded)) {
                        outcome.differing_decisions += 1;
                    }
                    if outcome.first_difference.is_none() {
                        outcome.first_difference = Some(Difference {
                            entry: number,
                            at: entry.at,
                            event: event.clone(),
                            recorded: recorded.clone(),
                            replayed: replayed.clone(),
                        });
                    }
                }
                watch(Step {
                    entry: &entry,
                    number,
                    replayed: &replayed,
                    actions: &actions,
                    policy: &policy,
                });
            }
        }
    }
    outcome.read_error = segment.read_error().cloned();
    Ok((outcome, policy))
}

/// Whether an event is valid input for a module: a forged record must not cause a panic.
fn check_event(policy: &Policy, event: &Event) -> Result<(), &'static str> {
    match event {
        Event::Request(r) if r.class >= policy.settings().classes.len() => Err("request of an unknown class"),
        _ => Ok(()),
    }
}

/// The actions that decide on requests: where they go, whether they are admitted, and how they end.
fn decisions(actions: &[RecordedAction]) -> impl Iterator<Item = &RecordedAction> {
    actions.iter().filter(|a| a.request().is_some())
}

/// Replays a segment from its recorded state.
///
/// # Errors
/// As [`replay_with`].
pub fn replay(segment: &mut Segment<'_>) -> Result<(Outcome, Policy), String> {
    replay_with(segment, InitialState::Recorded, |_, _| {}, |_| {})
}

fn initial_policy(segment: &mut Segment<'_>, start: InitialState) -> Result<Policy, String> {
    let first = segment.next().ok_or_else(|| {
        segment
            .read_error()
            .map_or("it has no entries".into(), |error| format!("no entry can be read: {error}"))
    })?;
    let Body::State(state) = first.body else { return Err("its first entry is not a state".into()) };
    let header = &segment.header;
    if header.state_version == STATE_VERSION {
        let policy: Policy =
            postcard::from_bytes(&state).map_err(|e| format!("the module's state can't be decoded: {e}"))?;
        let same = *policy.settings() == header.settings;
        return if same {
            Ok(policy)
        } else {
            Err("the settings of its state and of its header differ".into())
        };
    }
    if start == InitialState::Recorded {
        return Err(format!(
            "the module's state has layout {}, but this program has layout {STATE_VERSION}: --policy-changed replays \
             the events through the current module",
            header.state_version
        ));
    }
    let mut policy = Policy::new(header.settings.clone(), header.seed);
    let server_list = Event::ServerList { kind: ListKind::Full, servers: header.servers.clone() };
    policy.handle(header.started_at, server_list, &mut Vec::new());
    Ok(policy)
}

/// Whether a step concerns a request.
pub fn concerns(entry: &Entry, replayed: &[RecordedAction], request: RequestId) -> bool {
    entry.request() == Some(request) || replayed.iter().any(|a| a.request() == Some(request))
}
