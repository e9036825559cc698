//! The records of several nodes as one timeline, with clocks that disagree.
//!
//! Nodes tell each other of their traffic; such a message stands in the record of the one that sent it (by its
//! checksum) and in that of the one that got it. The least difference of clocks one way is the offset and the fastest
//! way there, the least the other way is the way back less the offset: half their difference is the offset, to within
//! half of the sum (as NTP has it, RFC 5905). Messages that are alike are left out, as are those that were lost.

use std::collections::BTreeMap;

use brassrouter::{Event, Micros};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, RecordedAction};
use serde::Serialize;

use crate::describe;

/// A record among others.
pub struct NodeRecord<'a> {
    /// What to call it.
    pub name: String,
    /// Its segments, in order.
    pub segments: Vec<&'a [u8]>,
}

/// How a node's clock stands to that of the first.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Offset {
    /// The record.
    pub name: String,
    /// To add to its clock, microseconds.
    #[serde(rename = "add")]
    pub offset_us: i64,
    /// The offset is known to within so many microseconds; `None` where no messages went both ways.
    #[serde(rename = "within")]
    pub uncertainty_us: Option<u64>,
}

/// One line of the timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// The clock, corrected to that of the first record.
    pub at: Micros,
    /// Whose it is.
    pub name: String,
    /// What happened.
    pub text: String,
}

#[derive(Default)]
struct Talk {
    me: u32,
    /// By peer and checksum: when it was sent, and how often such a one was.
    sent: BTreeMap<(u32, u32), (Micros, u32)>,
    got: BTreeMap<(u32, u32), (Micros, u32)>,
}

/// Puts records together. `all` tells everything; else only what tells of failures and of the whole: refusals,
/// failures, lists, storms, losses, gaps.
///
/// # Errors
/// A segment whose header can't be read.
pub fn merge(records: &[NodeRecord<'_>], all: bool) -> Result<(Vec<Offset>, Vec<TimelineEntry>), String> {
    let open = |name: &str, bytes| Segment::open(bytes).map_err(|torn| format!("{name}: {torn}"));
    let mut talks = Vec::new();
    for record in records {
        let mut talk = Talk::default();
        for bytes in &record.segments {
            let segment = open(&record.name, bytes)?;
            talk.me = segment.header.settings.node_index;
            listen(segment, &mut talk);
        }
        talks.push(talk);
    }
    let mut offsets = vec![None; records.len()];
    if let Some(first) = offsets.first_mut() {
        *first = Some((0i64, Some(0u64)));
    }
    // From the first outwards, each along the best known way.
    while let Some((from, to, add, within)) = next(&talks, &offsets) {
        offsets[to] = Some((offsets[from].map_or(0, |(base, _)| base) + add, within));
    }
    let offsets: Vec<Offset> = records
        .iter()
        .zip(offsets)
        .map(|(r, o)| Offset {
            name: r.name.clone(),
            offset_us: o.map_or(0, |o| o.0),
            uncertainty_us: o.and_then(|o| o.1),
        })
        .collect();
    let mut lines = Vec::new();
    for (record, offset) in records.iter().zip(&offsets) {
        for bytes in &record.segments {
            let mut segment = open(&record.name, bytes)?;
            let header = segment.header.clone();
            for entry in segment.by_ref().filter(|e| all || tells(&e.body)) {
                lines.push(TimelineEntry {
                    at: entry.at.saturating_add_signed(offset.offset_us),
                    name: record.name.clone(),
                    text: describe::entry(&header, &entry),
                });
            }
            if let Some(torn) = segment.read_error() {
                let at = lines.last().map_or(header.started_at, |l| l.at);
                lines.push(TimelineEntry {
                    at,
                    name: record.name.clone(),
                    text: format!("the record is torn at {torn}"),
                });
            }
        }
    }
    lines.sort_by_key(|l| l.at);
    Ok((offsets, lines))
}

fn tells(body: &Body) -> bool {
    let Body::Event { event, actions, .. } = body else { return true };
    let failed = |a: &RecordedAction| {
        matches!(
            a,
            RecordedAction::Refuse { .. }
                | RecordedAction::Fail(_)
                | RecordedAction::Log(_)
                | RecordedAction::Fault(_)
        )
    };
    matches!(
        event,
        Event::ServerList { .. }
            | Event::Storm(_)
            | Event::Inherited(_)
            | Event::ProcessCount(_)
            | Event::ZoneRouting(_)
            | Event::OriginAllowance(None)
    ) || actions.iter().any(failed)
}

fn listen(segment: Segment<'_>, talk: &mut Talk) {
    let count = |all: &mut BTreeMap<(u32, u32), (Micros, u32)>, key, at| {
        let known = all.entry(key).or_insert((at, 0));
        known.1 += 1;
    };
    for entry in segment {
        let Body::Event { event, actions, .. } = &entry.body else { continue };
        if let Event::PeerMessage { from, bytes } = event {
            count(&mut talk.got, (*from, mothpier_record::entry::client_id_checksum(bytes)), entry.at);
        }
        for action in actions {
            if let RecordedAction::SendToPeers { to: Some(to), sum } = action {
                count(&mut talk.sent, (*to, *sum), entry.at);
            }
        }
    }
}

/// The least difference of clocks from a sender to a receiver.
fn least(from: &Talk, to: &Talk) -> Option<i64> {
    let pairs = from.sent.iter().filter(|((peer, _), (_, times))| *peer == to.me && *times == 1);
    let ways = pairs.filter_map(|((_, sum), (sent, _))| {
        let (got, times) = to.got.get(&(from.me, *sum))?;
        (*times == 1).then(|| *got as i64 - *sent as i64)
    });
    ways.min()
}

type Known = Option<(i64, Option<u64>)>;

/// The next record whose clock can be told from one that is known, by the surest way.
fn next(talks: &[Talk], offsets: &[Known]) -> Option<(usize, usize, i64, Option<u64>)> {
    let mut best: Option<(u64, usize, usize, i64)> = None;
    for (from, known) in offsets.iter().enumerate() {
        let Some((_, Some(base))) = known else { continue };
        for to in (0..offsets.len()).filter(|to| offsets[*to].is_none()) {
            let (Some(there), Some(back)) =
                (least(&talks[from], &talks[to]), least(&talks[to], &talks[from]))
            else {
                continue;
            };
            // there = way + (clock of `to` ahead), back = way - that.
            let ahead = (there - back) / 2;
            let within = base + ((there + back).max(0) as u64).div_ceil(2);
            if best.is_none_or(|(least, ..)| within < least) {
                best = Some((within, from, to, -ahead));
            }
        }
    }
    best.map(|(within, from, to, add)| (from, to, add, Some(within)))
}
