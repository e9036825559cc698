//! Forms of values, and that the rules check them whatever their form.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use std::time::Duration;

use chalksill_world::mutant::Mutant;
use chalksill_world::observe::{AttemptOutcome, Observation, ObservedEvent, Reply};
use chalksill_world::rules::{Checker, Rule};
use chalksill_world::values::{Value, Values};
use common::{assert_rules_kept, play_seed, scenario};

const ALL: [Values; 3] = [Values::PerRequest, Values::PerKey, Values::OftenEqual];

#[test]
fn value_round_trips_through_its_bytes() {
    for values in ALL {
        for key in 0..200 {
            for filling in [0, 7, 200_000] {
                let value = values.value(key, key % 3, 0xabc, 12);
                assert_eq!(Value::parse(&value.bytes(filling)), Some(value), "{values:?}");
            }
        }
    }
    for none in ["2", "k12", "k12:", "kxy.1:", "abc", "abc:", "abc:x:", ":", "0:", "\u{e9}"] {
        assert_eq!(Value::parse(none.as_bytes()), None, "{none}");
    }
    assert_eq!(Value::parse(b"\xff"), None);
}

#[test]
fn key_has_one_value_until_it_is_written_unless_values_are_per_request() {
    for (values, same) in [(Values::PerRequest, false), (Values::PerKey, true), (Values::OftenEqual, true)] {
        let read = |version, request, by| values.value(7, version, request, by);
        assert_eq!(read(0, 1, 0) == read(0, 2, 1), same, "{values:?}");
    }
    assert_ne!(Values::PerKey.of_key(7, 0), Values::PerKey.of_key(7, 1));
    assert_ne!(Values::PerKey.of_key(7, 0), Values::PerKey.of_key(8, 0));
}

#[test]
fn three_quarters_of_keys_have_a_common_value_and_half_the_same_one() {
    let of = |key| Values::OftenEqual.of_key(key, 0).unwrap();
    let part = |is: &dyn Fn(Value) -> bool| (0..8000).filter(|key| is(of(*key))).count() as f64 / 8000.0;
    let common = part(&|value| matches!(value, Value::Common(_)));
    let zero = part(&|value| value.bytes(64) == "0");
    assert!((0.73..0.77).contains(&common) && (0.48..0.52).contains(&zero), "{common}, {zero}");
}

/// With writes, restarts and all other faults of the scenario.
#[test]
fn seeds_keep_the_rules_with_all_kinds_of_values() {
    for values in ALL {
        let mut scenario = scenario("small");
        scenario.load.values = values;
        for seed in 0..12 {
            assert_rules_kept(&play_seed(&scenario, seed, None));
        }
    }
}

#[test]
fn value_of_another_key_is_detected_with_all_kinds_of_values() {
    for values in ALL {
        let mut scenario = scenario("small");
        scenario.load.values = values;
        let breaks = |seed, mutant| {
            let report = play_seed(&scenario, seed, mutant);
            report.violations.iter().any(|v| v.rule == Rule::OwnKey)
        };
        let found = (0..16).find(|seed| breaks(*seed, Some(Mutant::SwapsValues)));
        assert!(found.is_some(), "{values:?}: a value of another key was not found");
        assert!(!breaks(found.unwrap(), None), "{values:?}: the rule is broken without the mutant, too");
    }
}

/// The rules that are broken when request 1, for key 7, is answered with a value. Its attempt at cache server
/// 2 returned `gave` at 150 ms, if any. Key 7 is written at 130 ms.
fn broken_rules(values: Values, gave: Option<Value>, served: Value, answered_ms: u64) -> Vec<Rule> {
    let mut scenario = scenario("small");
    scenario.load.values = values;
    let mut checker = Checker::new(&scenario, 90);
    let ms = Duration::from_millis;
    let mut observe = |at, event| checker.observe(&Observation { at: ms(at), event });
    let sent = |request, key| ObservedEvent::RequestSent {
        request,
        first_try: request,
        node: 0,
        class: 0,
        tenant: 0,
        key,
        timeout: ms(900),
    };
    let arrived = |at, request, received_at| {
        let (received_at, deadline) = (ms(received_at), ms(1_000));
        ObservedEvent::AttemptArrived {
            server: at,
            node: 0,
            request,
            is_write: false,
            work: 5.0,
            running: 0,
            received_at,
            deadline,
        }
    };
    observe(0, ObservedEvent::NodeStarted { node: 0 });
    observe(100, sent(1, 7));
    observe(100, sent(2, 8));
    observe(100, sent(3, 7));
    observe(110, arrived(2, 1, 110));
    observe(110, arrived(2, 2, 110));
    observe(130, ObservedEvent::WriteExecuted { request: 9, idempotency_key: 9, key: 7 });
    let reply = ObservedEvent::ReplyReceived { request: 1, reply: Reply::Value(served), slow_reader: false };
    if answered_ms < 150 {
        observe(answered_ms, reply.clone());
    }
    if let Some(value) = gave {
        observe(
            150,
            ObservedEvent::AttemptEnded {
                server: 2,
                node: 0,
                request: 1,
                outcome: AttemptOutcome::Value(value),
            },
        );
    }
    if answered_ms >= 150 {
        observe(answered_ms, reply);
    }
    checker.violations().iter().map(|v| v.rule).collect()
}

#[test]
fn value_must_be_made_for_the_request_and_belong_to_its_key() {
    let (one, own) = (vec![Rule::OneAnswer], vec![Rule::OneAnswer, Rule::OwnKey]);
    let of_request = |of, by| Value::OfRequest { of, by };
    let of_key = |key, version| Value::OfKey { key, version };
    for (served, broken) in [
        (of_request(1, 2), &vec![]),
        // Of another key, of a request that was never sent, of another request for the same key, by a server
        // that had no attempt.
        (of_request(2, 2), &own),
        (of_request(99, 2), &own),
        (of_request(3, 2), &one),
        (of_request(1, 0), &one),
        (of_key(7, 1), &own),
    ] {
        let gave = Some(of_request(1, 2));
        assert_eq!(broken_rules(Values::PerRequest, gave, served, 160), *broken, "{served:?}");
        // Before its server has answered, or where that answered with a miss.
        let and_one = if broken.is_empty() { &one } else { broken };
        assert_eq!(broken_rules(Values::PerRequest, gave, served, 140), *and_one, "{served:?}, early");
        assert_eq!(broken_rules(Values::PerRequest, None, served, 160), *and_one, "{served:?}, never given");
    }
    for (gave, served, broken) in [
        // As it was when the request was sent, and as it is since.
        (of_key(7, 0), of_key(7, 0), &vec![]),
        (of_key(7, 1), of_key(7, 1), &vec![]),
        // Not the one that its server returned, one that the key never had, one of another key.
        (of_key(7, 1), of_key(7, 0), &one),
        (of_key(7, 1), of_key(7, 2), &own),
        (of_key(7, 1), of_key(8, 1), &own),
        (of_key(7, 1), of_request(1, 2), &own),
    ] {
        assert_eq!(broken_rules(Values::PerKey, Some(gave), served, 160), *broken, "{served:?}");
    }
}

/// A common value describes nothing: it must be one that the key had, and one that a server returned for this
/// request.
#[test]
fn common_value_must_be_of_the_key_and_returned_by_a_server() {
    let had = [0, 1].map(|version| Values::OftenEqual.of_key(7, version).unwrap());
    let never = (0..5).map(Value::Common).find(|value| !had.contains(value)).unwrap();
    let broken = |gave, served, at| broken_rules(Values::OftenEqual, gave, served, at);
    assert_eq!(broken(Some(had[1]), had[1], 160), vec![]);
    assert_eq!(broken(Some(had[1]), had[1], 140), vec![Rule::OneAnswer], "before its server gave it");
    assert_eq!(broken(None, had[1], 160), vec![Rule::OneAnswer], "given by nobody");
    assert_eq!(broken(Some(had[1]), never, 160), vec![Rule::OneAnswer, Rule::OwnKey], "of another key");
    assert_eq!(broken(Some(never), never, 160), vec![Rule::OwnKey], "a value that the key never had");
}
