//! Explores the state machine exhaustively within bounds: requests in any order, late, duplicated or lost,
//! also from an earlier incarnation; a clock that advances while the process is stopped; restarts at any
//! point, also while storing; failures to store.
#![allow(missing_docs)]

use std::collections::{BTreeSet, HashSet, VecDeque};

use mothpier_change::{
    Command, Effect, Millis, Mutant, Phase, Rejection, Reply, Request, SettingsChange, SettingsVersion,
    VersionNumber,
};

/// How long versions stay staged and on trial, in ticks.
const KEEP_FOR: Millis = 2;
const CONFIRM_WITHIN: Millis = 2;

fn version(number: VersionNumber) -> SettingsVersion {
    SettingsVersion { number, digest: number.wrapping_mul(10) }
}

/// A text that was never validated, under a number that was.
fn unchecked(number: VersionNumber) -> SettingsVersion {
    SettingsVersion { digest: 7, ..version(number) }
}

#[derive(Clone, Copy)]
struct Bounds {
    /// Number of requests that may be sent, of all kinds.
    requests: u8,
    restarts: u8,
    time: Millis,
    versions: VersionNumber,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct SystemState {
    node: SettingsChange,
    now: Millis,
    stored_version: SettingsVersion,
    storing: Option<SettingsVersion>,
    /// All requests ever sent: each may be delivered at any time, repeatedly, or never.
    sent: BTreeSet<Request>,
    /// Versions that the node has reported as dropped, and those reported as kept.
    reverted: BTreeSet<VersionNumber>,
    confirmed: BTreeSet<VersionNumber>,
    /// Versions staged in this incarnation, whose texts were validated.
    checked: BTreeSet<SettingsVersion>,
    requests: u8,
    restarts: u8,
}

#[derive(Clone, Debug)]
enum Step {
    Send(Request),
    Deliver(Request),
    /// The clock advances; the process runs, or is stopped.
    Time {
        runs: bool,
    },
    Stored {
        succeeded: bool,
    },
    /// A new incarnation starts; the version that was being stored is there, or not.
    Restart {
        succeeded: bool,
    },
}

fn initial_state(mutant: Option<Mutant>, bounds: Bounds) -> SystemState {
    SystemState {
        node: SettingsChange::start(1, version(0), 0).with_mutant(mutant),
        now: 0,
        stored_version: version(0),
        storing: None,
        sent: BTreeSet::new(),
        reverted: BTreeSet::new(),
        confirmed: BTreeSet::new(),
        checked: BTreeSet::new(),
        requests: bounds.requests,
        restarts: bounds.restarts,
    }
}

fn possible_steps(state: &SystemState, bounds: Bounds) -> Vec<Step> {
    let mut steps: Vec<Step> = state.sent.iter().map(|request| Step::Deliver(*request)).collect();
    if state.requests > 0 {
        let incarnation = state.node.incarnation();
        for number in 1..=bounds.versions {
            let mut all = vec![Command::Revert(number)];
            // The operator does not go on with a version that it knows to be dropped.
            if !state.reverted.contains(&number) {
                all.push(Command::Stage { version: version(number), keep_for: KEEP_FOR });
                all.push(Command::StartTrial { version: version(number), confirm_within: CONFIRM_WITHIN });
                all.push(Command::StartTrial { version: unchecked(number), confirm_within: CONFIRM_WITHIN });
                all.push(Command::Confirm(number));
            }
            let requests = all.into_iter().map(|command| Request { incarnation, command });
            steps.extend(requests.filter(|request| !state.sent.contains(request)).map(Step::Send));
        }
    }
    if state.now < bounds.time {
        steps.extend([Step::Time { runs: true }, Step::Time { runs: false }]);
    }
    if state.storing.is_some() {
        steps.extend([Step::Stored { succeeded: true }, Step::Stored { succeeded: false }]);
    }
    if state.restarts > 0 {
        steps.push(Step::Restart { succeeded: false });
        if state.storing.is_some() {
            steps.push(Step::Restart { succeeded: true });
        }
    }
    steps
}

fn apply(state: &SystemState, step: &Step, mutant: Option<Mutant>) -> Result<SystemState, String> {
    let mut state = state.clone();
    let mut effects = Vec::new();
    match step {
        Step::Send(request) => {
            state.requests -= 1;
            state.sent.insert(*request);
        }
        Step::Deliver(request) => {
            let late = matches!(state.node.phase(), Phase::OnTrial { until } if state.now >= until);
            let reply = state.node.handle(state.now, *request, &mut effects);
            match (request.command, reply) {
                (Command::Confirm(number), Ok(_)) if late && state.node.active() == version(number) => {
                    return Err(format!("version {number} was confirmed after the end of its trial"));
                }
                (Command::Confirm(number), Ok(Reply::Done)) => {
                    if state.stored_version.number != number {
                        return Err(format!("version {number} was reported as kept, but is not stored"));
                    }
                    state.confirmed.insert(number);
                }
                (Command::Revert(number), Ok(_)) => drop(state.reverted.insert(number)),
                (Command::Stage { version, .. }, Ok(_)) => drop(state.checked.insert(version)),
                _ => {}
            }
        }
        Step::Time { runs } => {
            state.now += 1;
            if *runs {
                state.node.tick(state.now, &mut effects);
                if state.node.next_deadline().is_some_and(|deadline| deadline <= state.now) {
                    return Err("an expired phase goes on".into());
                }
            }
        }
        Step::Stored { succeeded } => {
            let Some(stored) = state.storing.take() else { return Ok(state) };
            if *succeeded {
                state.stored_version = stored;
            }
            state.node.store_finished(state.now, stored, *succeeded, &mut effects);
        }
        Step::Restart { succeeded } => {
            state.restarts -= 1;
            if let Some(stored) = state.storing.take().filter(|_| *succeeded) {
                state.stored_version = stored;
            }
            state.node = SettingsChange::start(state.node.incarnation() + 1, state.stored_version, state.now)
                .with_mutant(mutant);
            state.checked.clear();
        }
    }
    for effect in effects {
        if let Effect::Persist(stored) = effect {
            state.storing = Some(stored);
        }
    }
    check_invariants(&state).map(|()| state)
}

fn check_invariants(state: &SystemState) -> Result<(), String> {
    let active = state.node.active();
    if active != state.stored_version && !state.checked.contains(&active) {
        return Err(format!("{active:?} is in use, but was neither stored nor validated"));
    }
    if let Some(reverted_number) =
        state.reverted.iter().find(|n| active.number == **n || state.stored_version.number == **n)
    {
        return Err(format!("version {reverted_number} was reported as dropped, but is in use or stored"));
    }
    if let Some(confirmed_number) = state.confirmed.iter().find(|n| state.stored_version.number < **n) {
        return Err(format!("version {confirmed_number} was reported as kept, but is not stored"));
    }
    // Without further requests the node becomes idle on its own, unless its disk does not answer.
    let mut isolated = state.node.clone();
    isolated.tick(state.now + KEEP_FOR + CONFIRM_WITHIN, &mut Vec::new());
    match isolated.phase() {
        Phase::Idle if state.storing.is_none() && isolated.active() != state.stored_version => {
            Err("the idle node uses a version that is not stored".into())
        }
        Phase::Idle | Phase::Storing { failed: false, .. } => Ok(()),
        phase => Err(format!("without requests the node does not become idle: {phase:?}")),
    }
}

/// Visits all states, breadth first, and returns the shortest path to a violation, if there is one.
fn explore(mutant: Option<Mutant>, bounds: Bounds) -> (usize, Option<(String, Vec<Step>)>) {
    let initial = initial_state(mutant, bounds);
    let mut seen = HashSet::from([initial.clone()]);
    let mut predecessors: Vec<(usize, Option<Step>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(initial, 0usize)]);
    while let Some((state, index)) = queue.pop_front() {
        for step in possible_steps(&state, bounds) {
            match apply(&state, &step, mutant) {
                Err(violation) => {
                    let (mut path, mut current) = (vec![step], index);
                    while let (previous, Some(step)) = &predecessors[current] {
                        path.push(step.clone());
                        current = *previous;
                    }
                    path.reverse();
                    return (seen.len(), Some((violation, path)));
                }
                Ok(next) if seen.insert(next.clone()) => {
                    predecessors.push((index, Some(step)));
                    queue.push_back((next, predecessors.len() - 1));
                }
                Ok(_) => {}
            }
        }
    }
    (seen.len(), None)
}

/// One version, with restarts and enough time for a trial to end; two versions, with one restart less.
const ONE_VERSION: Bounds = Bounds { requests: 5, restarts: 2, time: 4, versions: 1 };
const TWO_VERSIONS: Bounds = Bounds { requests: 4, restarts: 1, time: 2, versions: 2 };

#[test]
fn settings_are_entirely_old_or_entirely_new_after_any_fault() {
    for bounds in [ONE_VERSION, TWO_VERSIONS] {
        let (states, violation) = explore(None, bounds);
        println!("{states} states");
        assert!(violation.is_none(), "{violation:#?}");
        assert!(states > 10_000, "only {states} states were explored");
    }
}

#[test]
fn each_missing_check_is_detected() {
    for (mutant, expected) in [
        (Mutant::AcceptsOtherIncarnations, "was reported as dropped"),
        (Mutant::AcceptsOldNumbers, "was reported as dropped"),
        (Mutant::TriesUnchecked, "was neither stored"),
        (Mutant::NeverRollsBack, "does not become idle"),
        (Mutant::ConfirmsBeforeStored, "but is not stored"),
        (Mutant::RevertsWhileStoring, "was neither stored"),
        (Mutant::AcceptsLateConfirmation, "after the end of its trial"),
    ] {
        let (states, violation) = explore(Some(mutant), ONE_VERSION);
        let (violation, path) = violation.unwrap_or_else(|| panic!("{mutant:?}: no violation is found"));
        println!("{mutant:?}: {states} states, {} steps: {violation}", path.len());
        assert!(violation.contains(expected), "{mutant:?}: {violation}: {path:#?}");
    }
}

#[test]
fn a_change_is_staged_tried_and_confirmed_and_rejections_name_the_reason() {
    let mut node = SettingsChange::start(9, version(3), 1_000);
    let mut effects = Vec::new();
    let mut request = |now, command| {
        effects.clear();
        let reply = node.handle(now, Request { incarnation: 9, command }, &mut effects);
        (reply, effects.clone())
    };
    let stage = |number| Command::Stage { version: version(number), keep_for: 500 };
    let start_trial = |number| Command::StartTrial { version: version(number), confirm_within: 2_000 };
    assert_eq!(request(1_000, stage(3)).0, Err(Rejection::StaleNumber { highest: 3 }));
    assert_eq!(request(1_000, stage(u64::MAX)).0, Err(Rejection::NumberTooHigh { highest: 3 }));
    assert_eq!(
        request(1_000, Command::Stage { version: version(4), keep_for: 0 }).0,
        Err(Rejection::InvalidDuration)
    );
    assert_eq!(request(1_000, start_trial(4)).0, Err(Rejection::NotStaged));
    assert_eq!(request(1_000, stage(4)).0, Ok(Reply::Done));
    assert_eq!(request(1_100, stage(5)).0, Err(Rejection::Busy { number: 4 }));
    // Too late: the version was dropped in the meantime, and its number is used up.
    assert_eq!(request(1_500, start_trial(4)), (Err(Rejection::NotStaged), vec![Effect::Expired(4)]));
    assert_eq!(request(1_500, stage(4)).0, Err(Rejection::StaleNumber { highest: 4 }));
    assert_eq!(request(1_600, stage(5)).0, Ok(Reply::Done));
    assert_eq!(request(1_700, start_trial(5)), (Ok(Reply::Done), vec![Effect::Apply(version(5))]));
    assert_eq!(
        request(1_700, start_trial(5)),
        (Ok(Reply::Done), vec![]),
        "a duplicate request has no further effect"
    );
    assert_eq!(request(1_800, Command::Confirm(4)).0, Err(Rejection::NotOnTrial));
    assert_eq!(request(1_800, Command::Confirm(5)), (Ok(Reply::Storing), vec![Effect::Persist(version(5))]));
    assert_eq!(request(1_900, Command::Revert(5)).0, Err(Rejection::Storing));
    node.store_finished(2_000, version(5), false, &mut Vec::new());
    let mut effects = Vec::new();
    let again = node.handle(2_100, Request { incarnation: 9, command: Command::Confirm(5) }, &mut effects);
    assert_eq!((again, effects.as_slice()), (Ok(Reply::Storing), &[Effect::Persist(version(5))][..]));
    node.store_finished(2_200, version(5), true, &mut Vec::new());
    let stale_request = Request { incarnation: 8, command: Command::Confirm(5) };
    assert_eq!(
        node.handle(2_300, stale_request, &mut Vec::new()),
        Err(Rejection::WrongIncarnation { incarnation: 9 })
    );
    let confirmed =
        node.handle(2_300, Request { incarnation: 9, command: Command::Confirm(5) }, &mut Vec::new());
    assert_eq!((confirmed, node.active(), node.phase()), (Ok(Reply::Done), version(5), Phase::Idle));
}
