//! Questions to records of simulated nodes in a world where things go wrong.

use std::sync::OnceLock;

use brassrouter::Event;
use chalksill_inquest::cut::{Round, cut};
use chalksill_inquest::differ::compare;
use chalksill_inquest::merge::{Named, merge};
use chalksill_inquest::parting::part;
use chalksill_inquest::why::{Which, why};
use chalksill_world::faults::{Fault, What};
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{Plan, run_recorded};
use chalksill_world::tape::{Recording, Tape};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry, Noted};
use mothpier_record::replay::replay;
use mothpier_record::segment::Writer;

/// Four seconds in which two boxes are away, a third of the peers' messages are lost and lists come late.
fn tapes() -> &'static [Tape] {
    static TAPES: OnceLock<Vec<Tape>> = OnceLock::new();
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
        let plan = Plan { scenario, seed: 11, script: Some(script), mutant: None };
        let (report, tapes) = run_recorded(&plan, None, Recording::default());
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
        let Body::Told { event, actions, .. } = &entry.body else { continue };
        for action in actions {
            match (action, event) {
                (Noted::Refuse { request, .. }, _) => refused = refused.or(Some(*request)),
                (Noted::Send { request, .. }, Event::Outcome(o)) if o.request == *request => {
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
    let story = why(&mut open(bytes), &Which::Number(refused)).unwrap();
    let last = story.iter().find(|m| m.decided.iter().any(|d| d.starts_with("refuse"))).expect("its refusal");
    assert!(last.decided[0].contains("come back after"), "{last:?}");
    let reason = last.because.iter().find(|b| b.starts_with("because: ")).expect("a reason");
    assert!(reason.len() > "because: ".len(), "the module says why: {last:?}");

    let story = why(&mut open(bytes), &Which::Number(twice)).unwrap();
    let sends: Vec<_> = story.iter().filter(|m| m.decided.iter().any(|d| d.starts_with("send"))).collect();
    assert!(sends.len() >= 2 && story[0].since == 0, "{story:?}");
    assert!(story.windows(2).all(|w| w[0].at <= w[1].at));
    assert!(why(&mut open(bytes), &Which::Number(u64::MAX)).unwrap_err().contains("no such request"));
}

#[test]
fn a_request_is_found_by_the_id_that_its_client_gave_it() {
    let bytes = &tapes()[0].bytes;
    let known = entries(bytes).into_iter().find_map(|e| match e.body {
        Body::Told { event: Event::Request(r), reference, .. } => reference.map(|sum| (r.id, sum)),
        _ => None,
    });
    let (id, sum) = known.expect("a request with a reference");
    // Clients of the world name their requests by sixteen hexadecimal digits of a count.
    let text = (0..1_000_000u64)
        .map(|n| format!("{n:016x}"))
        .find(|t| mothpier_record::entry::reference(t.as_bytes()) == sum);
    let Some(text) = text else {
        return assert!(sum != 0, "ids of another form: only the checksum is known");
    };
    let story = why(&mut open(bytes), &Which::Client(text)).unwrap();
    assert!(story[0].event.starts_with(&format!("request {id}:")));
}

#[test]
fn what_is_cut_out_stands_alone_and_is_played_again_identically() {
    let bytes = &tapes()[0].bytes;
    let (refused, _) = examples(bytes);
    let all = entries(bytes);
    let middle = all[all.len() / 2].at;
    let server = all.iter().find_map(|e| match &e.body {
        Body::Told { actions, .. } => actions.iter().find_map(|a| match a {
            Noted::Send { server, .. } => Some(*server),
            _ => None,
        }),
        _ => None,
    });
    let server = server.expect("something was sent");
    for round in [Round::Request(Which::Number(refused)), Round::Time(middle), Round::Server(server)] {
        let part = cut(bytes, &round, 50_000).unwrap();
        let (outcome, _) = replay(&mut open(&part.bytes)).unwrap();
        assert_eq!((outcome.first, outcome.torn, outcome.events), (None, None, part.events), "{round:?}");
        // The same entries as in the whole, in the same order.
        let cut: Vec<_> = entries(&part.bytes).split_off(1);
        let at = all.iter().position(|e| *e == cut[0]).expect("its first entry is one of the whole");
        assert_eq!(cut[..], all[at..at + cut.len()], "{round:?}");
        if let Round::Request(which) = &round {
            assert!(part.events < all.len() as u64 / 4, "a part, not the whole");
            assert_eq!(
                why(&mut open(&part.bytes), which).unwrap().len(),
                why(&mut open(bytes), which).unwrap().len()
            );
        }
    }
    assert!(cut(bytes, &Round::Server(999), 0).is_err());
    assert!(cut(bytes, &Round::Time(5), 0).is_err());
    assert!(cut(&bytes[..50], &Round::Time(middle), 0).is_err());
}

/// A record whose clock runs ahead by a span, as a machine with a wrong clock would have made it.
fn shifted(bytes: &[u8], by: i64) -> Vec<u8> {
    let segment = open(bytes);
    let mut header = segment.header.clone();
    header.at = header.at.saturating_add_signed(by);
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
    let named = |all: &'static [Tape]| -> Vec<Named<'static>> {
        all.iter()
            .map(|t| Named { name: format!("n{}", t.node), segments: vec![t.bytes.as_slice()] })
            .collect()
    };
    let wrong: Vec<Named> = moved
        .iter()
        .zip(tapes)
        .map(|(b, t)| Named { name: format!("n{}", t.node), segments: vec![b] })
        .collect();
    let (offsets, lines) = merge(&wrong, true).unwrap();
    for (offset, ahead) in offsets.iter().zip(aheads) {
        let within = offset.within.expect("messages went both ways") as i64;
        assert!((offset.add + ahead).abs() <= within.max(1), "{offset:?}, {ahead} ahead");
        assert!(within < 12_000, "no more than the way of a datagram there and back: {offset:?}");
    }
    assert!(lines.windows(2).all(|w| w[0].at <= w[1].at));
    let (_, right) = merge(&named(tapes), true).unwrap();
    assert_eq!(lines.len(), right.len(), "nothing is lost");
}

#[test]
fn records_without_words_between_them_are_put_together_as_their_clocks_say() {
    let one = &tapes()[0].bytes;
    let pair =
        [Named { name: "a".into(), segments: vec![one] }, Named { name: "b".into(), segments: vec![one] }];
    let (offsets, _) = merge(&pair, false).unwrap();
    assert_eq!((offsets[1].add, offsets[1].within), (0, None));
}

#[test]
fn two_records_part_where_they_do() {
    let tapes = tapes();
    let bytes = &tapes[0].bytes;
    assert_eq!(compare(open(bytes), open(bytes)).first, None);
    let segment = open(bytes);
    let mut writer = Writer::begin(&segment.header).unwrap();
    for (i, mut entry) in segment.enumerate() {
        if let Body::Told { actions, .. } = &mut entry.body
            && i >= 500
            && !actions.is_empty()
        {
            actions.clear();
        }
        writer.entry(entry.at, &entry.body);
    }
    let other = writer.take();
    let found = compare(open(bytes), open(&other));
    assert!(found.same >= 500 && found.events == 0 && found.actions > 10, "{found:?}");
    // The same two questions to the module: it comes to the actions of the one, not of the other.
    let (parting, first) = part(&mut open(&other)).unwrap();
    assert!(parting.parted > 10 && first.is_some_and(|d| d.entry >= 500), "{parting:?}");
    assert!(parting.kinds.keys().all(|kind| kind.starts_with("nothing -> ")), "{parting:?}");
    assert_eq!(part(&mut open(bytes)).unwrap().0.parted, 0);
}
