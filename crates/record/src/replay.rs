//! The same events through the module again: the same actions, or the first that differ.

use brassrouter::{Action, Event, ListKind, Micros, Policy, RequestId, STATE_VERSION};

use crate::entry::{Body, Entry, RecordedAction};
use crate::segment::{Segment, Torn};

/// Where what the module wants now is not what it wanted then.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The entry, counted from 0.
    pub entry: u64,
    /// The clock then.
    pub at: Micros,
    /// The event.
    pub event: Event,
    /// What was recorded.
    pub recorded: Vec<RecordedAction>,
    /// What comes now.
    pub replayed: Vec<RecordedAction>,
}

/// What a replay came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Events told.
    pub events: u64,
    /// Actions that came of them.
    pub actions: u64,
    /// Requests among the events.
    pub requests: u64,
    /// Clock of the first and of the last event.
    pub time_range: Option<(Micros, Micros)>,
    /// Events missing before the segment, where it says so.
    pub missing_events: u64,
    /// Whether the node ended in order.
    pub clean_shutdown: bool,
    /// The first difference.
    pub first_difference: Option<Difference>,
    /// Events whose decisions differ; timers, lines of the log and words to peers aside.
    pub parted: u64,
    /// What stopped the reading, where it did not come to the end.
    pub read_error: Option<Torn>,
}

/// How the module's state at the begin is had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialState {
    /// As the segment has it. Fails where its layout is another.
    Recorded,
    /// As recorded where it can be read, else from nothing but the settings, the seed and the server list.
    Best,
}

/// One step of a replay.
pub struct Step<'a> {
    /// The entry as recorded.
    pub entry: &'a Entry,
    /// Its number, from 0.
    pub number: u64,
    /// What the module wants now, as it would be recorded.
    pub now: &'a [RecordedAction],
    /// The same with its texts.
    pub actions: &'a [Action],
    /// The module after the event.
    pub policy: &'a Policy,
}

/// Plays the events of a segment. `watch` sees each step; `before` sees the module before each event, and may put
/// another in its place.
///
/// # Errors
/// A state that can't be read, or none at the begin.
pub fn replay_with(
    segment: &mut Segment<'_>,
    start: InitialState,
    mut before: impl FnMut(&mut Policy, &Entry),
    mut watch: impl FnMut(Step<'_>),
) -> Result<(Outcome, Policy), String> {
    let mut policy = begin(segment, start)?;
    let mut outcome = Outcome::default();
    let (mut actions, mut noted) = (Vec::new(), Vec::new());
    for (number, entry) in (1..).zip(segment.by_ref()) {
        match &entry.body {
            Body::State(_) => {
                return Err(format!("entry {number} is a state, which only the first one can be"));
            }
            Body::Gap { events } => outcome.missing_events += events,
            Body::End => outcome.clean_shutdown = true,
            Body::Event { event, actions: then, .. } => {
                possible(&policy, event).map_err(|e| format!("entry {number}: {e}"))?;
                before(&mut policy, &entry);
                actions.clear();
                policy.handle(entry.at, event.clone(), &mut actions);
                noted.clear();
                noted.extend(actions.iter().map(RecordedAction::from));
                outcome.events += 1;
                outcome.actions += actions.len() as u64;
                outcome.requests += u64::from(matches!(event, Event::Request(_)));
                outcome.time_range =
                    Some((outcome.time_range.map_or(entry.at, |(first, _)| first), entry.at));
                if noted != *then {
                    if decisions(&noted).ne(decisions(then)) {
                        outcome.parted += 1;
                    }
                    if outcome.first_difference.is_none() {
                        outcome.first_difference = Some(Difference {
                            entry: number,
                            at: entry.at,
                            event: event.clone(),
                            recorded: then.clone(),
                            replayed: noted.clone(),
                        });
                    }
                }
                watch(Step { entry: &entry, number, now: &noted, actions: &actions, policy: &policy });
            }
        }
    }
    outcome.read_error = segment.read_error().cloned();
    Ok((outcome, policy))
}

/// Whether an event can have been told to a module: a forged record must not bring it down.
fn possible(policy: &Policy, event: &Event) -> Result<(), &'static str> {
    match event {
        Event::Request(r) if r.class >= policy.settings().classes.len() => {
            Err("a request of a class that there is not")
        }
        _ => Ok(()),
    }
}

/// What is decided for requests: where to, whether, and how it ends.
fn decisions(actions: &[RecordedAction]) -> impl Iterator<Item = &RecordedAction> {
    actions.iter().filter(|a| a.request().is_some())
}

/// Plays a segment from its own state.
///
/// # Errors
/// As [`replay_with`].
pub fn replay(segment: &mut Segment<'_>) -> Result<(Outcome, Policy), String> {
    replay_with(segment, InitialState::Recorded, |_, _| {}, |_| {})
}

fn begin(segment: &mut Segment<'_>, start: InitialState) -> Result<Policy, String> {
    let first = segment.next().ok_or_else(|| {
        segment.read_error().map_or("it has no entry".into(), |t| format!("no entry can be read: {t}"))
    })?;
    let Body::State(state) = first.body else { return Err("its first entry is no state".into()) };
    let header = &segment.header;
    if header.state_version == STATE_VERSION {
        let policy: Policy =
            postcard::from_bytes(&state).map_err(|e| format!("the module's state can't be read: {e}"))?;
        let same = *policy.settings() == header.settings;
        return if same { Ok(policy) } else { Err("its state is of other settings than its header".into()) };
    }
    if start == InitialState::Recorded {
        return Err(format!(
            "the module's state is of layout {}, and this program has layout {STATE_VERSION}: --policy-changed plays the \
             events through the present module",
            header.state_version
        ));
    }
    let mut policy = Policy::new(header.settings.clone(), header.seed);
    let list = Event::ServerList { kind: ListKind::Full, servers: header.servers.clone() };
    policy.handle(header.started_at, list, &mut Vec::new());
    Ok(policy)
}

/// Whether a step has to do with a request.
pub fn concerns(entry: &Entry, now: &[RecordedAction], request: RequestId) -> bool {
    entry.request() == Some(request) || now.iter().any(|a| a.request() == Some(request))
}
