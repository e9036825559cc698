//! Failures and lists in quick succession, and what a cache lacks in calm times.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// Where attempts of these actions go, with their requests.
fn attempts(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let sent = |a: &Action| match a {
        Action::Send { request, server, .. } => Some((*request, *server)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Ends every attempt of these actions at once with a status, those that follow from it too, and counts them.
fn end_all(node: &mut Node, actions: Vec<Action>, status: Status, numbers: &mut [u16]) -> usize {
    let (mut count, mut open) = (0, attempts(&actions));
    while let Some((request, server)) = open.pop() {
        let number = &mut numbers[request as usize];
        *number += 1;
        count += 1;
        open.extend(attempts(&node.outcome(request, *number - 1, server, status)));
    }
    count
}

#[test]
fn retries_and_hedges_that_fail_at_once_stay_within_their_budget_and_all_is_answered() {
    // A connection that is refused costs a server nothing: only the settings' four attempts hold those.
    let most =
        [(Status::Full, 130), (Status::Error, 130), (Status::Reset, 130), (Status::ConnectFailed, 400)];
    for (status, most) in most {
        let mut node = Node::new(settings(), 6);
        let begun = node.now;
        let mut numbers = vec![0; 101];
        let mut sent = 0;
        for id in 1..=100 {
            let first = node.request(read(id, id));
            // Of every second request the first attempt is without an answer until it is hedged.
            if id % 2 == 0 {
                numbers[id as usize] += sends(&first) as u16;
                sent += sends(&first);
            } else {
                sent += end_all(&mut node, first, status, &mut numbers);
            }
            let passed = node.pass(20 * MS);
            sent += end_all(&mut node, passed, status, &mut numbers);
        }
        let rest = node.pass(2 * SECOND);
        sent += end_all(&mut node, rest, status, &mut numbers);
        let answers = node.actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 100, "{status:?}: every request has one final answer");
        assert!(node.now <= begun + 4 * SECOND);
        assert!(sent <= most, "{status:?}: {sent} attempts of 100 requests");
        assert!(numbers.iter().all(|n| *n <= 4), "{status:?}: more attempts than one may make");
        assert!(node.policy.view(None).retry_budget >= 0.0);
    }
}

#[test]
fn in_calm_times_what_a_cache_lacks_is_always_fetched() {
    let tenants = vec![Tenant { quota_per_s: 40.0 }];
    let mut node = Node::new(Settings { tenants, ..settings() }, 4);
    node.actions.clear();
    for id in 1..=400 {
        let server = sent_to(&node.request(read(id, id))).expect("a cache server");
        let fetch = node.outcome(id, 0, server, Status::Miss);
        assert_eq!(sent_to(&fetch), Some(ORIGIN), "request {id} is not fetched: {fetch:?}");
        node.pass(45 * MS);
        node.outcome_after(id, 1, ORIGIN, Status::Served, 45 * MS);
        node.pass(5 * MS);
    }
    let unserved = node.actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_)));
    assert_eq!(unserved.count(), 0);
}

#[test]
fn many_whole_lists_in_quick_succession_keep_what_is_known_of_servers_that_stay() {
    let mut node = Node::new(settings(), 6);
    let line = |id| if id == ORIGIN { origin() } else { server(id) };
    let all: Vec<ServerId> = (1..=6).chain([ORIGIN]).collect();
    // One is in trouble and has lost keys, one has just started, one has an attempt out.
    for id in 1..=300 {
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            node.outcome(id, 0, to, if to == 1 { Status::Error } else { Status::Served });
        }
        node.event(Event::ClientGone(id));
        node.pass(5 * MS);
    }
    let started = node.now;
    let cold = ServerEntry { started_at: started, ..server(2) };
    node.list(ListKind::Delta, vec![cold.clone()]);
    // The first request that goes to one that stays is left out there.
    let (id, busy) = (1_000..1_100)
        .find_map(|id| {
            let to = sent_to(&node.request(read(id, id))).filter(|to| *to != 6);
            if to.is_none() {
                node.event(Event::ClientGone(id));
            }
            Some((id, to?))
        })
        .expect("a request at a server that stays");
    let known = |node: &Node| {
        let seen = |s: &ServerView| (s.id, s.key_share, s.slow_start_bucket.0, s.in_flight, s.condition);
        let mut servers: Vec<_> = node.policy.view(None).servers.iter().map(seen).collect();
        servers.retain(|s| s.0 != 6);
        servers
    };
    let before = known(&node);
    assert!(before.iter().any(|s| s.1 < 1.0), "none has lost keys: {before:?}");
    assert!(before.iter().any(|s| s.0 == busy && s.3 > 0));
    for turn in 0..100 {
        // The sixth comes and goes; each list is whole, in another order.
        let mut lines: Vec<ServerEntry> =
            all.iter().filter(|id| turn % 2 == 1 || **id != 6).map(|id| line(*id)).collect();
        lines.iter_mut().filter(|l| l.id == 2).for_each(|l| *l = cold.clone());
        lines.rotate_left(turn % 5);
        let answers = node.list(ListKind::Full, lines);
        assert_eq!((sends(&answers), refusals(&answers)), (0, 0));
        assert_eq!(known(&node), before, "after list {turn}");
    }
    assert_eq!(sends(&node.outcome(id, 0, busy, Status::Served)), 0);
}
