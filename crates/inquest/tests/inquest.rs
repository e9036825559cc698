//! Questions to records of simulated nodes in a world where things go wrong.

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

/// Four seconds in which two boxes are away, a third of the peers' messages are lost and lists come late.
fn tapes() -> &'static [RecordedSegment] {
    static TAPES: OnceLock<Vec<RecordedSegment>> = OnceLock::new();
    TAPES.get_or_init(|| {
        let mut scenario =
            Scenario::read(include_str!("../../../scenarios/small.toml")).expect("a scenario of the project");
        scenario.seconds = 4.0;
        let fault = |at_ms, what| Fault { at_ms, what };
        let script = vec![
            fault(300, What::PeersLost { part: 0.3, for_ms: 3000 }),
            fault(500, What::ListLate { late_ms: 2000, for_ms: 2500 }),
            fault(1000, What::Crash { boxes: vec![0, 1], down_ms: 1500 }),
            fault(1200, What::Burst { factor: 6.0, for_ms: 1500 }),
        ];
        let plan = RunPlan { scenario, seed: 11, script: Some(script), mutant: None };
        let (report, tapes) = run_recorded(&plan, None, RecordingOptions::default());
        assert_eq!(report.violations.len(), 0);
        tapes
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
    let (mut refused, mut twice) = (None, None);
    for entry in entries(bytes) {
        let Body::Event { event, actions, .. } = &entry.body else { continue };
        for action in actions {
            match (action, event) {
                (RecordedAction::Refuse { request, .. }, _) => refused = refused.or(Some(*request)),
                (RecordedAction::Send { request, .. }, Event::Outcome(o)) if o.request == *request => {
                    twice = twice.or(Some(*request));
                }
                _ => {}
            }
        }
    }
    (refused.expect("a refusal"), twice.expect("a second attempt"))
}

#[test]
fn why_tells_the_whole_story_of_a_request() {
    let bytes = &tapes()[0].bytes;
    let (refused, twice) = examples(bytes);
    let story = explain_request(&mut open(bytes), &RequestSelector::Number(refused)).unwrap();
    let last =
        story.iter().find(|m| m.decisions.iter().any(|d| d.starts_with("refuse"))).expect("its refusal");
    assert!(last.decisions[0].contains("come back after"), "{last:?}");
    let reason = last.reasons.iter().find(|b| b.starts_with("because: ")).expect("a reason");
    assert!(reason.len() > "because: ".len(), "the module says why: {last:?}");

    let story = explain_request(&mut open(bytes), &RequestSelector::Number(twice)).unwrap();
    let sends: Vec<_> = story.iter().filter(|m| m.decisions.iter().any(|d| d.starts_with("send"))).collect();
    assert!(sends.len() >= 2 && story[0].since_arrival == 0, "{story:?}");
    assert!(story.windows(2).all(|w| w[0].at <= w[1].at));
    assert!(
        explain_request(&mut open(bytes), &RequestSelector::Number(u64::MAX))
            .unwrap_err()
            .contains("no such request")
    );
}

#[test]
fn a_request_is_found_by_the_id_that_its_client_gave_it() {
    let bytes = &tapes()[0].bytes;
    let known = entries(bytes).into_iter().find_map(|e| match e.body {
        Body::Event { event: Event::Request(r), reference, .. } => reference.map(|sum| (r.id, sum)),
        _ => None,
    });
    let (id, sum) = known.expect("a request with a reference");
    // Clients of the world name their requests by sixteen hexadecimal digits of a count.
    let text = (0..1_000_000u64)
        .map(|n| format!("{n:016x}"))
        .find(|t| mothpier_record::entry::client_id_checksum(t.as_bytes()) == sum);
    let Some(text) = text else {
        return assert!(sum != 0, "ids of another form: only the checksum is known");
    };
    let story = explain_request(&mut open(bytes), &RequestSelector::ClientId(text)).unwrap();
    assert!(story[0].event.starts_with(&format!("request {id}:")));
}

#[test]
fn what_is_cut_out_stands_alone_and_is_played_again_identically() {
    let bytes = &tapes()[0].bytes;
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
    let server = server.expect("something was sent");
    for round in [
        Selection::Request(RequestSelector::Number(refused)),
        Selection::Time(middle),
        Selection::Server(server),
    ] {
        let part = cut(bytes, &round, 50_000).unwrap();
        let (outcome, _) = replay(&mut open(&part.bytes)).unwrap();
        assert_eq!(
            (outcome.first_difference, outcome.read_error, outcome.events),
            (None, None, part.events),
            "{round:?}"
        );
        // The same entries as in the whole, in the same order.
        let cut: Vec<_> = entries(&part.bytes).split_off(1);
        let at = all.iter().position(|e| *e == cut[0]).expect("its first entry is one of the whole");
        assert_eq!(cut[..], all[at..at + cut.len()], "{round:?}");
        if let Selection::Request(which) = &round {
            assert!(part.events < all.len() as u64 / 4, "a part, not the whole");
            assert_eq!(
                explain_request(&mut open(&part.bytes), which).unwrap().len(),
                explain_request(&mut open(bytes), which).unwrap().len()
            );
        }
    }
    assert!(cut(bytes, &Selection::Server(999), 0).is_err());
    assert!(cut(bytes, &Selection::Time(5), 0).is_err());
    assert!(cut(&bytes[..50], &Selection::Time(middle), 0).is_err());
}

/// A record whose clock runs ahead by a span, as a machine with a wrong clock would have made it.
fn shifted(bytes: &[u8], by: i64) -> Vec<u8> {
    let segment = open(bytes);
    let mut header = segment.header.clone();
    header.started_at = header.started_at.saturating_add_signed(by);
    let mut writer = Writer::begin(&header).unwrap();
    for entry in segment {
        writer.entry(entry.at.saturating_add_signed(by), &entry.body);
    }
    writer.take()
}

#[test]
fn clocks_that_disagree_are_told_from_the_words_between_nodes() {
    let tapes = tapes();
    let aheads = [0, 7_250_000, -90_000_000i64];
    let moved: Vec<Vec<u8>> = tapes.iter().zip(aheads).map(|(t, by)| shifted(&t.bytes, by)).collect();
    let named = |all: &'static [RecordedSegment]| -> Vec<NodeRecord<'static>> {
        all.iter()
            .map(|t| NodeRecord { name: format!("n{}", t.node), segments: vec![t.bytes.as_slice()] })
            .collect()
    };
    let wrong: Vec<NodeRecord> = moved
        .iter()
        .zip(tapes)
        .map(|(b, t)| NodeRecord { name: format!("n{}", t.node), segments: vec![b] })
        .collect();
    let (offsets, lines) = merge(&wrong, true).unwrap();
    for (offset, ahead) in offsets.iter().zip(aheads) {
        let within = offset.uncertainty_us.expect("messages went both ways") as i64;
        assert!((offset.offset_us + ahead).abs() <= within.max(1), "{offset:?}, {ahead} ahead");
        assert!(within < 12_000, "no more than the way of a datagram there and back: {offset:?}");
    }
    assert!(lines.windows(2).all(|w| w[0].at <= w[1].at));
    let (_, right) = merge(&named(tapes), true).unwrap();
    assert_eq!(lines.len(), right.len(), "nothing is lost");
}

#[test]
fn records_without_words_between_them_are_put_together_as_their_clocks_say() {
    let one = &tapes()[0].bytes;
    let pair = [
        NodeRecord { name: "a".into(), segments: vec![one] },
        NodeRecord { name: "b".into(), segments: vec![one] },
    ];
    let (offsets, _) = merge(&pair, false).unwrap();
    assert_eq!((offsets[1].offset_us, offsets[1].uncertainty_us), (0, None));
}

#[test]
fn two_records_part_where_they_do() {
    let tapes = tapes();
    let bytes = &tapes[0].bytes;
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
        writer.entry(entry.at, &entry.body);
    }
    let other = writer.take();
    let found = compare(open(bytes), open(&other));
    assert!(
        found.common_entries >= 500 && found.differing_events == 0 && found.differing_actions > 10,
        "{found:?}"
    );
    // The same two questions to the module: it comes to the actions of the one, not of the other.
    let (parting, first) = find_divergence(&mut open(&other)).unwrap();
    assert!(parting.diverged_events > 10 && first.is_some_and(|d| d.entry >= 500), "{parting:?}");
    assert!(parting.changes.keys().all(|kind| kind.starts_with("nothing -> ")), "{parting:?}");
    assert_eq!(find_divergence(&mut open(bytes)).unwrap().0.diverged_events, 0);
}
