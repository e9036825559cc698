//! The machine itself, explored: asks in any order, late, twice or never, also from an earlier life; a clock that goes on while the process is
//! stopped; restarts at any point, in the middle of storing too; storing that fails.
#![allow(missing_docs)]

use std::collections::{BTreeSet, HashSet, VecDeque};

use mothpier_change::{Answer, Ask, Change, Effect, Millis, Mutant, Number, Phase, Refused, Set, What};

/// How long sets are kept, and on trial, in ticks.
const KEEP: Millis = 2;
const WITHIN: Millis = 2;

fn set(number: Number) -> Set {
    Set { number, digest: number.wrapping_mul(10) }
}

/// A text that nobody has checked, under a number that was.
fn other(number: Number) -> Set {
    Set { digest: 7, ..set(number) }
}

#[derive(Clone, Copy)]
struct Bounds {
    /// Asks that are sent, of all kinds.
    asks: u8,
    restarts: u8,
    time: Millis,
    sets: Number,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    node: Change,
    clock: Millis,
    disk: Set,
    storing: Option<Set>,
    /// All that was ever asked: each may come at any time, again and again, or never.
    asked: BTreeSet<Ask>,
    /// What the node has said is gone, and what it has said is there to stay.
    undone: BTreeSet<Number>,
    confirmed: BTreeSet<Number>,
    /// Sets that were staged in this life: their texts were checked.
    checked: BTreeSet<Set>,
    asks: u8,
    restarts: u8,
}

#[derive(Clone, Debug)]
enum Step {
    Send(Ask),
    Give(Ask),
    /// Time goes on; the process runs, or is stopped.
    Time {
        runs: bool,
    },
    Stored {
        whole: bool,
    },
    /// A new life; what was being stored is there, or not.
    Restart {
        whole: bool,
    },
}

fn begin(mutant: Option<Mutant>, bounds: Bounds) -> World {
    World {
        node: Change::start(1, set(0), 0).with_mutant(mutant),
        clock: 0,
        disk: set(0),
        storing: None,
        asked: BTreeSet::new(),
        undone: BTreeSet::new(),
        confirmed: BTreeSet::new(),
        checked: BTreeSet::new(),
        asks: bounds.asks,
        restarts: bounds.restarts,
    }
}

fn steps(w: &World, bounds: Bounds) -> Vec<Step> {
    let mut steps: Vec<Step> = w.asked.iter().map(|ask| Step::Give(*ask)).collect();
    if w.asks > 0 {
        let life = w.node.life();
        for number in 1..=bounds.sets {
            let mut all = vec![What::Undo(number)];
            // Whoever asks does not go on with what it knows to be gone.
            if !w.undone.contains(&number) {
                all.push(What::Stage { set: set(number), keep: KEEP });
                all.push(What::Try { set: set(number), within: WITHIN });
                all.push(What::Try { set: other(number), within: WITHIN });
                all.push(What::Confirm(number));
            }
            let asks = all.into_iter().map(|what| Ask { life, what });
            steps.extend(asks.filter(|ask| !w.asked.contains(ask)).map(Step::Send));
        }
    }
    if w.clock < bounds.time {
        steps.extend([Step::Time { runs: true }, Step::Time { runs: false }]);
    }
    if w.storing.is_some() {
        steps.extend([Step::Stored { whole: true }, Step::Stored { whole: false }]);
    }
    if w.restarts > 0 {
        steps.push(Step::Restart { whole: false });
        if w.storing.is_some() {
            steps.push(Step::Restart { whole: true });
        }
    }
    steps
}

fn after(w: &World, step: &Step, mutant: Option<Mutant>) -> Result<World, String> {
    let mut w = w.clone();
    let mut out = Vec::new();
    match step {
        Step::Send(ask) => {
            w.asks -= 1;
            w.asked.insert(*ask);
        }
        Step::Give(ask) => {
            let late = matches!(w.node.phase(), Phase::OnTrial { until } if w.clock >= until);
            let said = w.node.ask(w.clock, *ask, &mut out);
            match (ask.what, said) {
                (What::Confirm(number), Ok(_)) if late && w.node.used() == set(number) => {
                    return Err(format!("set {number} was confirmed after its trial"));
                }
                (What::Confirm(number), Ok(Answer::Done)) => {
                    if w.disk.number != number {
                        return Err(format!("set {number} is said to stay, and is not stored"));
                    }
                    w.confirmed.insert(number);
                }
                (What::Undo(number), Ok(_)) => drop(w.undone.insert(number)),
                (What::Stage { set, .. }, Ok(_)) => drop(w.checked.insert(set)),
                _ => {}
            }
        }
        Step::Time { runs } => {
            w.clock += 1;
            if *runs {
                w.node.tick(w.clock, &mut out);
                if w.node.due().is_some_and(|due| due <= w.clock) {
                    return Err("what is over goes on".into());
                }
            }
        }
        Step::Stored { whole } => {
            let Some(stored) = w.storing.take() else { return Ok(w) };
            if *whole {
                w.disk = stored;
            }
            w.node.stored(w.clock, stored, *whole, &mut out);
        }
        Step::Restart { whole } => {
            w.restarts -= 1;
            if let Some(stored) = w.storing.take().filter(|_| *whole) {
                w.disk = stored;
            }
            w.node = Change::start(w.node.life() + 1, w.disk, w.clock).with_mutant(mutant);
            w.checked.clear();
        }
    }
    for effect in out {
        if let Effect::Store(stored) = effect {
            w.storing = Some(stored);
        }
    }
    judge(&w).map(|()| w)
}

fn judge(w: &World) -> Result<(), String> {
    let used = w.node.used();
    if used != w.disk && !w.checked.contains(&used) {
        return Err(format!("{used:?} is used, which is neither stored nor was it checked"));
    }
    if let Some(gone) = w.undone.iter().find(|n| used.number == **n || w.disk.number == **n) {
        return Err(format!("set {gone} was said to be gone, and is here"));
    }
    if let Some(stays) = w.confirmed.iter().find(|n| w.disk.number < **n) {
        return Err(format!("set {stays} was said to stay, and is not stored"));
    }
    // Heard of nobody from here on, it comes to rest by itself, unless its disk does not answer.
    let mut alone = w.node.clone();
    alone.tick(w.clock + KEEP + WITHIN, &mut Vec::new());
    match alone.phase() {
        Phase::Steady if w.storing.is_none() && alone.used() != w.disk => {
            Err("it rests on a set that is not stored".into())
        }
        Phase::Steady | Phase::Storing { failed: false, .. } => Ok(()),
        phase => Err(format!("left alone it does not come to rest: {phase:?}")),
    }
}

/// All states, breadth first; the shortest way to harm, if there is one.
fn explore(mutant: Option<Mutant>, bounds: Bounds) -> (usize, Option<(String, Vec<Step>)>) {
    let first = begin(mutant, bounds);
    let mut seen = HashSet::from([first.clone()]);
    let mut ways: Vec<(usize, Option<Step>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(first, 0usize)]);
    while let Some((world, place)) = queue.pop_front() {
        for step in steps(&world, bounds) {
            match after(&world, &step, mutant) {
                Err(what) => {
                    let (mut path, mut at) = (vec![step], place);
                    while let (before, Some(step)) = &ways[at] {
                        path.push(step.clone());
                        at = *before;
                    }
                    path.reverse();
                    return (seen.len(), Some((what, path)));
                }
                Ok(next) if seen.insert(next.clone()) => {
                    ways.push((place, Some(step)));
                    queue.push_back((next, ways.len() - 1));
                }
                Ok(_) => {}
            }
        }
    }
    (seen.len(), None)
}

/// One set, restarts, and time enough for a trial to end; two sets, and a restart less.
const ONE: Bounds = Bounds { asks: 5, restarts: 2, time: 4, sets: 1 };
const TWO: Bounds = Bounds { asks: 4, restarts: 1, time: 2, sets: 2 };

#[test]
fn whatever_is_late_twice_or_lost_and_wherever_it_dies_it_is_wholly_old_or_wholly_new() {
    for bounds in [ONE, TWO] {
        let (states, broken) = explore(None, bounds);
        println!("{states} states");
        assert!(broken.is_none(), "{broken:#?}");
        assert!(states > 10_000, "{states} states show little");
    }
}

#[test]
fn each_guard_is_missed_where_it_is_left_out() {
    for (mutant, harm) in [
        (Mutant::TakesOtherLives, "was said to be gone"),
        (Mutant::TakesOldNumbers, "was said to be gone"),
        (Mutant::TriesUnchecked, "which is neither stored"),
        (Mutant::NeverGoesBack, "does not come to rest"),
        (Mutant::SaysBeforeStored, "is not stored"),
        (Mutant::UndoesWhileStoring, "which is neither stored"),
        (Mutant::ConfirmsLate, "after its trial"),
    ] {
        let (states, broken) = explore(Some(mutant), ONE);
        let (what, path) = broken.unwrap_or_else(|| panic!("{mutant:?}: nothing is broken without it"));
        println!("{mutant:?}: {states} states, {} steps: {what}", path.len());
        assert!(what.contains(harm), "{mutant:?}: {what}: {path:#?}");
    }
}

#[test]
fn a_change_goes_its_way_and_each_refusal_says_why() {
    let mut node = Change::start(9, set(3), 1_000);
    let mut out = Vec::new();
    let mut ask = |now, what| {
        out.clear();
        let said = node.ask(now, Ask { life: 9, what }, &mut out);
        (said, out.clone())
    };
    let stage = |number| What::Stage { set: set(number), keep: 500 };
    let try_out = |number| What::Try { set: set(number), within: 2_000 };
    assert_eq!(ask(1_000, stage(3)).0, Err(Refused::OldNumber { highest: 3 }));
    assert_eq!(ask(1_000, stage(u64::MAX)).0, Err(Refused::FarNumber { highest: 3 }));
    assert_eq!(ask(1_000, What::Stage { set: set(4), keep: 0 }).0, Err(Refused::Span));
    assert_eq!(ask(1_000, try_out(4)).0, Err(Refused::NotStaged));
    assert_eq!(ask(1_000, stage(4)).0, Ok(Answer::Done));
    assert_eq!(ask(1_100, stage(5)).0, Err(Refused::Busy { number: 4 }));
    // Too late: it was dropped meanwhile, and its number is used up.
    assert_eq!(ask(1_500, try_out(4)), (Err(Refused::NotStaged), vec![Effect::Over(4)]));
    assert_eq!(ask(1_500, stage(4)).0, Err(Refused::OldNumber { highest: 4 }));
    assert_eq!(ask(1_600, stage(5)).0, Ok(Answer::Done));
    assert_eq!(ask(1_700, try_out(5)), (Ok(Answer::Done), vec![Effect::Use(set(5))]));
    assert_eq!(ask(1_700, try_out(5)), (Ok(Answer::Done), vec![]), "asked twice, done once");
    assert_eq!(ask(1_800, What::Confirm(4)).0, Err(Refused::NotOnTrial));
    assert_eq!(ask(1_800, What::Confirm(5)), (Ok(Answer::Storing), vec![Effect::Store(set(5))]));
    assert_eq!(ask(1_900, What::Undo(5)).0, Err(Refused::Storing));
    node.stored(2_000, set(5), false, &mut Vec::new());
    let mut out = Vec::new();
    let again = node.ask(2_100, Ask { life: 9, what: What::Confirm(5) }, &mut out);
    assert_eq!((again, out.as_slice()), (Ok(Answer::Storing), &[Effect::Store(set(5))][..]));
    node.stored(2_200, set(5), true, &mut Vec::new());
    let life = Ask { life: 8, what: What::Confirm(5) };
    assert_eq!(node.ask(2_300, life, &mut Vec::new()), Err(Refused::OtherLife { life: 9 }));
    let confirmed = node.ask(2_300, Ask { life: 9, what: What::Confirm(5) }, &mut Vec::new());
    assert_eq!((confirmed, node.used(), node.phase()), (Ok(Answer::Done), set(5), Phase::Steady));
}
