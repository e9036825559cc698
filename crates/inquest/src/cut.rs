//! Extracts the part of a record around a request, a time or a server as a separate record.

use brassrouter::{Event, Micros, Policy, ServerId};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry, RecordedAction};
use mothpier_record::replay::{InitialState, replay_with};
use mothpier_record::segment::{Header, Writer};

use crate::explain::RequestSelector;

/// What to extract.
#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    /// A request, from its arrival to its last event.
    Request(RequestSelector),
    /// A time.
    Time(Micros),
    /// A server, from its first to its last event.
    Server(ServerId),
}

/// A part of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Excerpt {
    /// A complete segment.
    pub bytes: Vec<u8>,
    /// Number of events in it.
    pub events: u64,
    /// Clock values of its first and last event.
    pub time_range: (Micros, Micros),
}

/// Extracts a part of a segment, with a margin of time on both sides.
///
/// # Errors
/// The segment can't be read, or contains nothing of the selection.
pub fn cut(bytes: &[u8], selection: &Selection, margin: Micros) -> Result<Excerpt, String> {
    let open = || Segment::open(bytes).map_err(|error| error.to_string());
    let (from, to) = find_time_range(open()?, selection).ok_or("the selection is not in this record")?;
    let (from, to) = (from.saturating_sub(margin), to.saturating_add(margin));
    let mut segment = open()?;
    let header = segment.header.clone();
    // The new segment starts with the state just before its first event; the entries are copied.
    let writer = std::cell::RefCell::new(None::<Result<Writer, String>>);
    let mut excerpt = Excerpt { bytes: Vec::new(), events: 0, time_range: (0, 0) };
    replay_with(
        &mut segment,
        InitialState::Recorded,
        |policy, entry| {
            if entry.at >= from && writer.borrow().is_none() {
                *writer.borrow_mut() = Some(begin_excerpt(&header, policy, entry.at));
            }
        },
        |step| {
            if let Some(Ok(writer)) = writer.borrow_mut().as_mut().filter(|_| step.entry.at <= to) {
                writer.write_entry(step.entry.at, &step.entry.body);
                excerpt.events += 1;
                excerpt.time_range.0 = if excerpt.events == 1 { step.entry.at } else { excerpt.time_range.0 };
                excerpt.time_range.1 = step.entry.at;
            }
        },
    )?;
    if excerpt.events == 0 {
        return Err("the selection is not in this record".into());
    }
    let mut writer = writer.into_inner().ok_or("the selection is not in this record")??;
    excerpt.bytes = writer.take();
    Ok(excerpt)
}

fn begin_excerpt(header: &Header, policy: &Policy, at: Micros) -> Result<Writer, String> {
    let mut writer = Writer::begin(&Header {
        started_at: at,
        servers: policy.listed_servers(),
        monotonic: None,
        ..header.clone()
    })?;
    writer.write_state(at, policy)?;
    Ok(writer)
}

fn find_time_range(segment: Segment<'_>, selection: &Selection) -> Option<(Micros, Micros)> {
    if let Selection::Time(time) = selection {
        return Some((*time, *time));
    }
    let mut time_range: Option<(Micros, Micros)> = None;
    let mut request = None;
    for entry in segment {
        let is_involved = match selection {
            Selection::Time(_) => false,
            Selection::Server(server) => involves_server(&entry, *server),
            Selection::Request(selector) => {
                request = request.or(selector.arrival(&entry));
                request.is_some_and(|id| involves_request(&entry, id))
            }
        };
        if is_involved {
            time_range = Some((time_range.map_or(entry.at, |(from, _)| from), entry.at));
        }
    }
    time_range
}

fn involves_request(entry: &Entry, request: u64) -> bool {
    let Body::Event { actions, .. } = &entry.body else { return false };
    mothpier_record::replay::concerns(entry, actions, request)
}

fn involves_server(entry: &Entry, server: ServerId) -> bool {
    let Body::Event { event, actions, .. } = &entry.body else { return false };
    let is_in_event = match event {
        Event::Outcome(o) => o.server == server,
        Event::ServerList { servers, .. } => servers.iter().any(|s| s.id == server),
        Event::Probed { server: probed, .. } => *probed == server,
        _ => false,
    };
    is_in_event
        || actions.iter().any(|a| matches!(a, RecordedAction::Send { server: to, .. } if *to == server))
}
