//! The part of a record round a request, a time or a server, as a record of its own.

use brassrouter::{Event, Micros, Policy, ServerId};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry, RecordedAction};
use mothpier_record::replay::{InitialState, replay_with};
use mothpier_record::segment::{Header, Writer};

use crate::explain::RequestSelector;

/// What to cut round.
#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    /// A request, from its arrival to its last trace.
    Request(RequestSelector),
    /// A time.
    Time(Micros),
    /// A server, from its first to its last trace.
    Server(ServerId),
}

/// A part of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Excerpt {
    /// A segment that stands alone.
    pub bytes: Vec<u8>,
    /// Events in it.
    pub events: u64,
    /// The clock at its begin and end.
    pub time_range: (Micros, Micros),
}

/// Cuts a part out of a segment, with a margin of time on both sides.
///
/// # Errors
/// A segment that can't be read, or nothing of what was asked for in it.
pub fn cut(bytes: &[u8], round: &Selection, margin: Micros) -> Result<Excerpt, String> {
    let open = || Segment::open(bytes).map_err(|torn| torn.to_string());
    let (from, to) = span(open()?, round).ok_or("nothing of that is in this record")?;
    let (from, to) = (from.saturating_sub(margin), to.saturating_add(margin));
    let mut segment = open()?;
    let header = segment.header.clone();
    // The state just before the first event of the part; the rest is copied.
    let writer = std::cell::RefCell::new(None::<Result<Writer, String>>);
    let mut part = Excerpt { bytes: Vec::new(), events: 0, time_range: (0, 0) };
    replay_with(
        &mut segment,
        InitialState::Recorded,
        |policy, entry| {
            if entry.at >= from && writer.borrow().is_none() {
                *writer.borrow_mut() = Some(begin(&header, policy, entry.at));
            }
        },
        |step| {
            if let Some(Ok(writer)) = writer.borrow_mut().as_mut().filter(|_| step.entry.at <= to) {
                writer.entry(step.entry.at, &step.entry.body);
                part.events += 1;
                part.time_range.0 = if part.events == 1 { step.entry.at } else { part.time_range.0 };
                part.time_range.1 = step.entry.at;
            }
        },
    )?;
    if part.events == 0 {
        return Err("nothing of that is in this record".into());
    }
    let mut writer = writer.into_inner().ok_or("nothing of that is in this record")??;
    part.bytes = writer.take();
    Ok(part)
}

fn begin(header: &Header, policy: &Policy, at: Micros) -> Result<Writer, String> {
    let mut writer = Writer::begin(&Header {
        started_at: at,
        servers: policy.listed_servers(),
        monotonic: None,
        ..header.clone()
    })?;
    writer.state(at, policy)?;
    Ok(writer)
}

fn span(segment: Segment<'_>, round: &Selection) -> Option<(Micros, Micros)> {
    if let Selection::Time(time) = round {
        return Some((*time, *time));
    }
    let mut span: Option<(Micros, Micros)> = None;
    let mut request = None;
    for entry in segment {
        let touches = match round {
            Selection::Time(_) => false,
            Selection::Server(server) => names(&entry, *server),
            Selection::Request(which) => {
                request = request.or(which.arrival(&entry));
                request.is_some_and(|id| touches(&entry, id))
            }
        };
        if touches {
            span = Some((span.map_or(entry.at, |(from, _)| from), entry.at));
        }
    }
    span
}

fn touches(entry: &Entry, request: u64) -> bool {
    let Body::Event { actions, .. } = &entry.body else { return false };
    mothpier_record::replay::concerns(entry, actions, request)
}

fn names(entry: &Entry, server: ServerId) -> bool {
    let Body::Event { event, actions, .. } = &entry.body else { return false };
    let told = match event {
        Event::Outcome(o) => o.server == server,
        Event::ServerList { servers, .. } => servers.iter().any(|s| s.id == server),
        Event::Probed { server: probed, .. } => *probed == server,
        _ => false,
    };
    told || actions.iter().any(|a| matches!(a, RecordedAction::Send { server: to, .. } if *to == server))
}
