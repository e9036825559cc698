//! Messages that are truncated, corrupted, foreign, of another version or too long are rejected and never acted on.
#![allow(missing_docs)]

use mothpier_accord::{
    Ballot, Config, DecodeError, Effect, MAX_MESSAGE_BYTES, Member, Message, Mutant, PlanNumber, Query,
    Timing,
};
use oorandom::Rand64;

fn draw(rng: &mut Rand64, bound: u64) -> u64 {
    rng.rand_range(0..bound.max(1))
}

fn ballot(rng: &mut Rand64) -> Ballot {
    // Includes values that no member would send.
    let arbitrary =
        |rng: &mut Rand64| if draw(rng, 8) == 0 { u64::MAX >> draw(rng, 64) } else { draw(rng, 4) };
    Ballot { round: arbitrary(rng) as u32, voter: arbitrary(rng) as u16, incarnation: arbitrary(rng) as u32 }
}

fn message(rng: &mut Rand64) -> Message {
    let bytes = |rng: &mut Rand64| (0..draw(rng, 150)).map(|_| draw(rng, 256) as u8).collect::<Vec<u8>>();
    let asked_at = |rng: &mut Rand64| if draw(rng, 8) == 0 { u64::MAX } else { draw(rng, 10_000) };
    let number = |rng: &mut Rand64| PlanNumber { term: ballot(rng), sequence: draw(rng, 3) as u32 };
    let query = |rng: &mut Rand64| {
        let (asked_at, number, evidence) = (asked_at(rng), number(rng), bytes(rng));
        Query { asked_at, incarnation: draw(rng, 9) as u32, number, evidence }
    };
    match draw(rng, 11) {
        8 => Message::Relay { query: query(rng) },
        9 => Message::RelayedQuery { requester: draw(rng, 5) as u16, query: query(rng) },
        10 => Message::RelayedReply {
            requester: draw(rng, 5) as u16,
            asked_at: asked_at(rng),
            incarnation: draw(rng, 9) as u32,
            number: number(rng),
            lease_left: asked_at(rng),
            plan: bytes(rng),
        },
        0 => Message::Prepare { ballot: ballot(rng) },
        1 => Message::Promise { ballot: ballot(rng), granted: (draw(rng, 2) == 0).then(|| ballot(rng)) },
        2 => Message::Propose { ballot: ballot(rng) },
        3 => Message::Accepted { ballot: ballot(rng) },
        4 => Message::Rejected { highest_seen: ballot(rng) },
        5 => Message::Query {
            asked_at: asked_at(rng),
            incarnation: draw(rng, 9) as u32,
            number: number(rng),
            evidence: bytes(rng),
        },
        6 => Message::Reply {
            asked_at: asked_at(rng),
            incarnation: draw(rng, 9) as u32,
            number: number(rng),
            lease_left: asked_at(rng),
            plan: bytes(rng),
        },
        _ => Message::Redirect { voter: draw(rng, 70_000) as u16 },
    }
}

#[test]
fn encoded_messages_decode_and_truncated_or_corrupted_ones_do_not() {
    let mut rng = Rand64::new(11);
    let mut encoded_count = 0;
    for _ in 0..3_000 {
        let message = message(&mut rng);
        let Some(bytes) = message.encode() else { continue };
        encoded_count += 1;
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(Message::decode(&bytes).as_ref(), Ok(&message));
        for length in 0..bytes.len() {
            assert!(Message::decode(&bytes[..length]).is_err());
        }
        let mut corrupted = bytes.clone();
        let at = draw(&mut rng, bytes.len() as u64) as usize;
        corrupted[at] ^= 1 << draw(&mut rng, 8);
        assert!(Message::decode(&corrupted).is_err(), "a bit was flipped");
        let mut extended = bytes.clone();
        extended.push(0);
        assert!(Message::decode(&extended).is_err());
    }
    assert!(encoded_count > 2_000);
}

#[test]
fn decode_errors_give_their_reason() {
    let long =
        Message::Query { asked_at: 1, incarnation: 1, number: PlanNumber::default(), evidence: vec![7; 250] };
    assert_eq!(long.encode(), None, "a message longer than a datagram is not sent");
    assert_eq!(Message::decode(&[0xac; 257]), Err(DecodeError::Length(257)));
    assert_eq!(Message::decode(&[]), Err(DecodeError::Length(0)));
    assert_eq!(Message::decode(&[0; 40]), Err(DecodeError::NotAMessage));
    let mut bytes = Message::Redirect { voter: 3 }.encode().unwrap();
    bytes[1] = 2;
    assert_eq!(Message::decode(&bytes).unwrap_err().to_string(), "message of version 2, expected version 1");
}

#[test]
fn no_message_makes_a_member_panic_or_leave_its_bounds() {
    for seed in 0..300 {
        let mut rng = Rand64::new(seed);
        let timing = Timing::default();
        let config = Config { me: 1, voters: vec![0, 1, 2], timing };
        let mut member = Member::start(config, 5, 100);
        let mut now = 100;
        for _ in 0..200 {
            now += draw(&mut rng, 400);
            let mut out = Vec::new();
            if draw(&mut rng, 4) == 0 {
                member.tick(now, &mut out);
            } else {
                member.handle(now, draw(&mut rng, 4) as u16, message(&mut rng), &mut out);
            }
            // Nobody answers its campaigns properly, so it never leads, and the plan it acts on expires.
            assert!(out.len() < 16, "{out:?}");
        }
        member.tick(now + timing.plan_validity, &mut Vec::new());
        assert_eq!(member.applied_plan(), None);
    }
}

/// Has members answer a campaign in place of voters; returns whether the candidate becomes the leader.
fn becomes_leader(mutant: Option<Mutant>, answering: [u16; 2]) -> bool {
    let timing = Timing::default();
    let config = Config { me: 1, voters: vec![0, 1, 2], timing };
    let member = Member::start(config, 5, 0);
    let mut member = mutant.map_or(member.clone(), |m| member.with_mutant(m));
    let now = timing.grant + 1;
    let mut out = Vec::new();
    member.start_campaign(now, &mut out);
    let Some(Effect::Send(_, Message::Prepare { ballot })) = out.first().cloned() else {
        panic!("the member does not campaign: {out:?}")
    };
    member.handle(now, answering[0], Message::Promise { ballot, granted: None }, &mut out);
    member.handle(now, answering[1], Message::Accepted { ballot }, &mut out);
    member.leader_ballot().is_some()
}

#[test]
fn answers_of_members_that_are_not_voters_complete_no_majority() {
    assert!(becomes_leader(None, [0, 0]), "one voter and itself are a majority of three");
    for from in [[7, 7], [0, 7], [7, 0]] {
        assert!(!becomes_leader(None, from), "{from:?}");
    }
    assert!(becomes_leader(Some(Mutant::CountsNonVoters), [7, 7]), "only the safeguard rejects them");
}
