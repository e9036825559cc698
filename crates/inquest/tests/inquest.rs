//! Analysis of records of simulated nodes during faults.

use std::sync::OnceLock;

use brassrouter::Event;
use chalksill_inquest::cut::{Selection, cut};
use chalksill_inquest::diff::compare;
use chalksill_inquest::divergence::find_divergence;
use chalksill_inquest::explain::{RequestSelector, explain_request};
use chalksill_inquest::merge::{NodeRecord, merge};
use chalksill_world::faults::{Fault, What};
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{RunPlan, run_recorded};
use chalksill_world::tape::{RecordedSegment, RecordingOptions};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry, RecordedAction};
use mothpier_record::replay::replay;
use mothpier_record::segment::Writer;

/// Four seconds in which two cache servers are down, a third of the peer messages are lost and server lists
/// are late.
fn recordings() -> &'static [RecordedSegment] {
    static RECORDINGS: OnceLock<Vec<RecordedSegment>> = OnceLock::new();
    RECORDINGS.get_or_init(|| {
        let mut scenario =
            Scenario::read(include_str!("../../../scenarios/small.toml")).expect("a valid scenario");
        scenario.seconds = 4.0;
        let fault = |at_ms, what| Fault { at_ms, what };
        let script = vec![
            fault(300, What::PeersLost { part: 0.3, for_ms: 3000 }),
            fault(500, What::ListLate { late_ms: 2000, for_ms: 2500 }),
            fault(1000, What::Crash { boxes: vec![0, 1], down_ms: 1500 }),
            fault(1200, What::Burst { factor: 6.0, for_ms: 1500 }),
        ];
        let plan = RunPlan { scenario, seed: 11, script: Some(script), mutant: None };
        let (report, recordings) = run_recorded(&plan, None, RecordingOptions::default());
        assert_eq!(report.violations.len(), 0);
        recordings
    })
}

fn open(bytes: &[u8]) -> Segment<'_> {
    Segment::open(bytes).expect("a segment")
}

fn entries(bytes: &[u8]) -> Vec<Entry> {
    open(bytes).collect()
}

/// A request that was refused, and one that needed two attempts.
fn examples(bytes: &[u8]) -> (u64, u64) {
    let (mut refused, mut retried) = (None, None);
    for entry in entries(bytes) {
        let Body::Event { event, actions, .. } = &entry.body else { continue };
        for action in actions {
            match (action, event) {
                (RecordedAction::Refuse { request, .. }, _) => refused = refused.or(Some(*request)),
                (RecordedAction::Send { request, .. }, Event::Outcome(o)) if o.request == *request => {
                    retried = retried.or(Some(*request));
                }
                _ => {}
            }
        }
    }
    (refused.expect("a refusal"), retried.expect("a second attempt"))
}

#[test]
fn a_request_is_explained_with_decisions_and_reasons() {
    let bytes = &recordings()[0].bytes;
    let (refused, retried) = examples(bytes);
    let steps = explain_request(&mut open(bytes), &RequestSelector::Number(refused)).unwrap();
    let last =
        steps.iter().find(|m| m.decisions.iter().any(|d| d.starts_with("refuse"))).expect("its refusal");
    assert!(last.decisions[0].contains("come back after"), "{last:?}");
    let reason = last.reasons.iter().find(|b| b.starts_with("because: ")).expect("a reason");
    assert!(reason.len() > "because: ".len(), "the module states a reason: {last:?}");

    let steps = explain_request(&mut open(bytes), &RequestSelector::Number(retried)).unwrap();
    let sends: Vec<_> = steps.iter().filter(|m| m.decisions.iter().any(|d| d.starts_with("send"))).collect();
    assert!(sends.len() >= 2 && steps[0].since_arrival == 0, "{steps:?}");
    assert!(steps.windows(2).all(|w| w[0].at <= w[1].at));
    assert!(
        explain_request(&mut open(bytes), &RequestSelector::Number(u64::MAX))
            .unwrap_err()
            .contains("no such request")
    );
}

#[test]
fn a_request_is_found_by_its_client_id() {
    let bytes = &recordings()[0].bytes;
    let recorded = entries(bytes).into_iter().find_map(|e| match e.body {
        Body::Event { event: Event::Request(r), client_id_checksum, .. } => {
            client_id_checksum.map(|checksum| (r.id, checksum))
        }
        _ => None,
    });
    let (id, checksum) = recorded.expect("a request with a client id");
    // Simulated clients identify their requests by sixteen hexadecimal digits of a counter.
    let text = (0..1_000_000u64)
        .map(|n| format!("{n:016x}"))
        .find(|t| mothpier_record::entry::client_id_checksum(t.as_bytes()) == checksum);
    let Some(text) = text else {
        return assert!(checksum != 0, "ids of another form: only the checksum is recorded");
    };
    let steps = explain_request(&mut open(bytes), &RequestSelector::ClientId(text)).unwrap();
    assert!(steps[0].event.starts_with(&format!("request {id}:")));
}

#[test]
fn an_excerpt_is_a_complete_record_and_replays_identically() {
    let bytes = &recordings()[0].bytes;
    let (refused, _) = examples(bytes);
    let all = entries(bytes);
    let middle = all[all.len() / 2].at;
    let server = all.iter().find_map(|e| match &e.body {
        Body::Event { actions, .. } => actions.iter().find_map(|a| match a {
            RecordedAction::Send { server, .. } => Some(*server),
            _ => None,
        }),
        _ => None,
    });
    let server = server.expect("a request was sent");
    for selection in [
        Selection::Request(RequestSelector::Number(refused)),
        Selection::Time(middle),
        Selection::Server(server),
    ] {
        let excerpt = cut(bytes, &selection, 50_000).unwrap();
        let (outcome, _) = replay(&mut open(&excerpt.bytes)).unwrap();
        assert_eq!(
            (outcome.first_difference, outcome.read_error, outcome.events),
            (None, None, excerpt.events),
            "{selection:?}"
        );
        // The same entries as in the whole record, in the same order.
        let cut: Vec<_> = entries(&excerpt.bytes).split_off(1);
        let start =
            all.iter().position(|e| *e == cut[0]).expect("the first entry is one of the whole record");
        assert_eq!(cut[..], all[start..start + cut.len()], "{selection:?}");
        if let Selection::Request(selector) = &selection {
            assert!(excerpt.events < all.len() as u64 / 4, "a part, not the whole");
            assert_eq!(
                explain_request(&mut open(&excerpt.bytes), selector).unwrap().len(),
                explain_request(&mut open(bytes), selector).unwrap().len()
            );
        }
    }
    assert!(cut(bytes, &Selection::Server(999), 0).is_err());
    assert!(cut(bytes, &Selection::Time(5), 0).is_err());
    assert!(cut(&bytes[..50], &Selection::Time(middle), 0).is_err());
}

/// The record that a node with a wrong clock would have made.
fn shifted(bytes: &[u8], by: i64) -> Vec<u8> {
    let segment = open(bytes);
    let mut header = segment.header.clone();
    header.started_at = header.started_at.saturating_add_signed(by);
    let mut writer = Writer::begin(&header).unwrap();
    for entry in segment {
        writer.write_entry(entry.at.saturating_add_signed(by), &entry.body);
    }
    writer.take()
}

#[test]
fn clock_offsets_are_determined_from_peer_messages() {
    let recordings = recordings();
    let clock_offsets = [0, 7_250_000, -90_000_000i64];
    let shifted_records: Vec<Vec<u8>> =
        recordings.iter().zip(clock_offsets).map(|(t, by)| shifted(&t.bytes, by)).collect();
    let node_records = |all: &'static [RecordedSegment]| -> Vec<NodeRecord<'static>> {
        all.iter()
            .map(|t| NodeRecord { name: format!("n{}", t.node), segments: vec![t.bytes.as_slice()] })
            .collect()
    };
    let shifted: Vec<NodeRecord> = shifted_records
        .iter()
        .zip(recordings)
        .map(|(b, t)| NodeRecord { name: format!("n{}", t.node), segments: vec![b] })
        .collect();
    let (offsets, lines) = merge(&shifted, true).unwrap();
    for (offset, clock_offset) in offsets.iter().zip(clock_offsets) {
        let uncertainty = offset.uncertainty_us.expect("messages in both directions") as i64;
        assert!(
            (offset.offset_us + clock_offset).abs() <= uncertainty.max(1),
            "{offset:?}, {clock_offset} ahead"
        );
        assert!(uncertainty < 12_000, "at most the round-trip time of a datagram: {offset:?}");
    }
    assert!(lines.windows(2).all(|w| w[0].at <= w[1].at));
    let (_, expected) = merge(&node_records(recordings), true).unwrap();
    assert_eq!(lines.len(), expected.len(), "no lines are missing");
}

#[test]
fn records_without_peer_messages_are_merged_by_their_clocks() {
    let one = &recordings()[0].bytes;
    let records = [
        NodeRecord { name: "a".into(), segments: vec![one] },
        NodeRecord { name: "b".into(), segments: vec![one] },
    ];
    let (offsets, _) = merge(&records, false).unwrap();
    assert_eq!((offsets[1].offset_us, offsets[1].uncertainty_us), (0, None));
}

#[test]
fn a_comparison_finds_the_first_difference() {
    let recordings = recordings();
    let bytes = &recordings[0].bytes;
    assert_eq!(compare(open(bytes), open(bytes)).first_difference, None);
    let segment = open(bytes);
    let mut writer = Writer::begin(&segment.header).unwrap();
    for (i, mut entry) in segment.enumerate() {
        if let Body::Event { actions, .. } = &mut entry.body
            && i >= 500
            && !actions.is_empty()
        {
            actions.clear();
        }
        writer.write_entry(entry.at, &entry.body);
    }
    let changed = writer.take();
    let comparison = compare(open(bytes), open(&changed));
    assert!(
        comparison.common_entries >= 500
            && comparison.differing_events == 0
            && comparison.differing_actions > 10,
        "{comparison:?}"
    );
    // The module reproduces the actions of the original record, not of the changed one.
    let (divergence, first) = find_divergence(&mut open(&changed)).unwrap();
    assert!(divergence.diverged_events > 10 && first.is_some_and(|d| d.entry >= 500), "{divergence:?}");
    assert!(divergence.changes.keys().all(|kind| kind.starts_with("nothing -> ")), "{divergence:?}");
    assert_eq!(find_divergence(&mut open(bytes)).unwrap().0.diverged_events, 0);
}
