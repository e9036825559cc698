//! Merges the records of several nodes into one timeline, although their clocks differ.
//!
//! Nodes exchange messages about their traffic. Such a message is in the record of its sender (by its
//! checksum) and of its receiver. The smallest difference of timestamps in one direction is the clock offset
//! plus the shortest delay; in the other direction it is the shortest delay minus the offset. Half of their
//! difference is the offset, with an error of at most half of their sum (as in NTP, RFC 5905). Messages that
//! are not unique or were lost are ignored.

use std::collections::BTreeMap;

use brassrouter::{Event, Micros};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, RecordedAction};
use serde::Serialize;

use crate::describe;

/// The record of one node.
pub struct NodeRecord<'a> {
    /// Name of the record.
    pub name: String,
    /// Its segments, in order.
    pub segments: Vec<&'a [u8]>,
}

/// Offset of a node's clock from that of the first record.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Offset {
    /// Name of the record.
    pub name: String,
    /// Microseconds to add to its clock.
    #[serde(rename = "add")]
    pub offset_us: i64,
    /// Largest error of the offset in microseconds; `None` if no messages were exchanged in both directions.
    #[serde(rename = "within")]
    pub uncertainty_us: Option<u64>,
}

/// One line of the timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Clock value, converted to the clock of the first record.
    pub at: Micros,
    /// Name of the record.
    pub name: String,
    /// What happened.
    pub text: String,
}

#[derive(Default)]
struct MessageTimes {
    node_index: u32,
    /// First time and number of messages, by peer and checksum.
    sent: BTreeMap<(u32, u32), (Micros, u32)>,
    received: BTreeMap<(u32, u32), (Micros, u32)>,
}

/// Merges records. With `all`, includes every entry; otherwise only those about failures and the whole node:
/// refusals, failures, server lists, storms, losses, gaps.
///
/// # Errors
/// The header of a segment can't be read.
pub fn merge(records: &[NodeRecord<'_>], all: bool) -> Result<(Vec<Offset>, Vec<TimelineEntry>), String> {
    let open = |name: &str, bytes| Segment::open(bytes).map_err(|error| format!("{name}: {error}"));
    let mut all_node_times = Vec::new();
    for record in records {
        let mut node_times = MessageTimes::default();
        for bytes in &record.segments {
            let segment = open(&record.name, bytes)?;
            node_times.node_index = segment.header.settings.node_index;
            collect_messages(segment, &mut node_times);
        }
        all_node_times.push(node_times);
    }
    let mut offsets = vec![None; records.len()];
    if let Some(first) = offsets.first_mut() {
        *first = Some((0i64, Some(0u64)));
    }
    // Starting at the first record, follows the path of the smallest error.
    while let Some((from, to, offset_us, error)) = next_offset(&all_node_times, &offsets) {
        offsets[to] = Some((offsets[from].map_or(0, |(base_offset, _)| base_offset) + offset_us, error));
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
    let mut timeline = Vec::new();
    for (record, offset) in records.iter().zip(&offsets) {
        for bytes in &record.segments {
            let mut segment = open(&record.name, bytes)?;
            let header = segment.header.clone();
            for entry in segment.by_ref().filter(|e| all || is_notable(&e.body)) {
                timeline.push(TimelineEntry {
                    at: entry.at.saturating_add_signed(offset.offset_us),
                    name: record.name.clone(),
                    text: describe::entry(&header, &entry),
                });
            }
            if let Some(error) = segment.read_error() {
                let at = timeline.last().map_or(header.started_at, |l| l.at);
                timeline.push(TimelineEntry {
                    at,
                    name: record.name.clone(),
                    text: format!("the record is unreadable from {error}"),
                });
            }
        }
    }
    timeline.sort_by_key(|l| l.at);
    Ok((offsets, timeline))
}

fn is_notable(body: &Body) -> bool {
    let Body::Event { event, actions, .. } = body else { return true };
    let is_failure = |a: &RecordedAction| {
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
    ) || actions.iter().any(is_failure)
}

fn collect_messages(segment: Segment<'_>, node_times: &mut MessageTimes) {
    let count_message = |all: &mut BTreeMap<(u32, u32), (Micros, u32)>, key, at| {
        let known = all.entry(key).or_insert((at, 0));
        known.1 += 1;
    };
    for entry in segment {
        let Body::Event { event, actions, .. } = &entry.body else { continue };
        if let Event::PeerMessage { from, bytes } = event {
            // The recorder uses the same checksum for client ids and for sent messages.
            count_message(
                &mut node_times.received,
                (*from, mothpier_record::entry::client_id_checksum(bytes)),
                entry.at,
            );
        }
        for action in actions {
            if let RecordedAction::SendToPeers { to: Some(to), checksum } = action {
                count_message(&mut node_times.sent, (*to, *checksum), entry.at);
            }
        }
    }
}

/// Smallest difference of timestamps from a sender to a receiver.
fn smallest_difference(from: &MessageTimes, to: &MessageTimes) -> Option<i64> {
    let pairs = from.sent.iter().filter(|((peer, _), (_, count))| *peer == to.node_index && *count == 1);
    let differences = pairs.filter_map(|((_, checksum), (sent, _))| {
        let (received, count) = to.received.get(&(from.node_index, *checksum))?;
        (*count == 1).then(|| *received as i64 - *sent as i64)
    });
    differences.min()
}

type KnownOffset = Option<(i64, Option<u64>)>;

/// The next record whose clock offset can be determined from a known one, with the smallest error.
fn next_offset(
    all_node_times: &[MessageTimes],
    offsets: &[KnownOffset],
) -> Option<(usize, usize, i64, Option<u64>)> {
    let mut best: Option<(u64, usize, usize, i64)> = None;
    for (from, known) in offsets.iter().enumerate() {
        let Some((_, Some(base_error))) = known else { continue };
        for to in (0..offsets.len()).filter(|to| offsets[*to].is_none()) {
            let (Some(forward), Some(backward)) = (
                smallest_difference(&all_node_times[from], &all_node_times[to]),
                smallest_difference(&all_node_times[to], &all_node_times[from]),
            ) else {
                continue;
            };
            // forward = delay + (offset of `to`), backward = delay - (offset of `to`).
            let offset = (forward - backward) / 2;
            let error = base_error + ((forward + backward).max(0) as u64).div_ceil(2);
            if best.is_none_or(|(smallest_error, ..)| error < smallest_error) {
                best = Some((error, from, to, -offset));
            }
        }
    }
    best.map(|(error, from, to, offset_us)| (from, to, offset_us, Some(error)))
}
