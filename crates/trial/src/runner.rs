//! Plays a trial: carries its steps out, waits for facts, and judges what came of it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::agreement::ReportedPlan;
use chalksill_world::observe::{ObservedEvent, Observer, Phase};
use chalksill_world::report::Collector;
use chalksill_world::rules::Checker;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::account::{Account, Of};
use crate::party::{Kind, Parties};
use crate::plan::{Act, Answers, Fact, Figure, Must, Says, Step, Trial};
use crate::report::{Held, Report};
use crate::stage::{Doing, Line, Stage};

/// How often a fact is looked for, and nodes and their logs are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// After the load, this much more than the longest deadline for the last answers.
const LAST: Duration = Duration::from_secs(2);

/// How a trial ended that could be played.
pub enum TrialEnd {
    /// To its end.
    Completed(Box<Report>),
    /// By a signal; all that it had started has ended.
    Interrupted,
}

/// What judges and counts while a trial runs.
pub(crate) struct Watch {
    pub(crate) witness: Observer,
    account: Rc<RefCell<Account>>,
    pub(crate) collector: Rc<RefCell<Collector>>,
    pub(crate) checker: Rc<RefCell<Checker>>,
    line: Rc<RefCell<Vec<(f64, String)>>>,
}

impl Watch {
    pub(crate) fn begin(trial: &Trial, seed: u64, late_ways: Duration) -> Watch {
        let witness = Observer::starting_now();
        let origin = trial.scenario.boxes.count;
        let account = Rc::new(RefCell::new(Account::new(trial)));
        let collector = Rc::new(RefCell::new(Collector::new(&trial.scenario, seed, origin)));
        let checker = Checker::new(&trial.scenario, origin);
        let checker =
            Rc::new(RefCell::new(checker.with_unbounded_delay().with_extra_server_delay(late_ways)));
        let line = Rc::new(RefCell::new(Vec::new()));
        let (a, c, j, l) = (account.clone(), collector.clone(), checker.clone(), line.clone());
        witness.subscribe(move |o| {
            a.borrow_mut().saw(o);
            c.borrow_mut().observe(o);
            j.borrow_mut().observe(o);
            let told = match &o.event {
                ObservedEvent::Fault(what) => Some(what.clone()),
                ObservedEvent::CacheServerCollapsed { server: at } => Some(format!("box {at} fell over")),
                _ => None,
            };
            l.borrow_mut().extend(told.map(|what| (o.at.as_secs_f64(), what)));
        });
        Watch { witness, account, collector, checker, line }
    }
}

/// Plays a trial with a daemon; files and logs go to a folder. Must run inside a `LocalSet`.
///
/// # Errors
/// What hinders its start; whatever was started by then has ended.
pub async fn run_trial(trial: Trial, seed: u64, program: &Path, folder: &Path) -> Result<TrialEnd, String> {
    let watch = Watch::begin(&trial, seed, Duration::ZERO);
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
    let mut told = Box::pin(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    let (account, collector) = (watch.account.clone(), watch.collector.clone());
    let played = move |played| {
        account.borrow_mut().played(played);
        collector.borrow_mut().record_result(&played);
    };
    let set = Stage::set(trial, seed, program, folder, &watch.witness, played);
    // Dropped halfway, a stage ends the processes that it has started.
    let stage = tokio::select! {
        stage = set => stage?,
        () = &mut told => return Ok(TrialEnd::Interrupted),
    };
    let outcome = tokio::select! {
        outcome = run(&stage, &watch) => Some(outcome),
        () = &mut told => None,
    };
    let cost = stage.cost();
    stage.strike().await;
    stage.look_at_nodes();
    let Some(run) = outcome else { return Ok(TrialEnd::Interrupted) };
    Ok(TrialEnd::Completed(Box::new(judge(&stage, &watch, seed, run, cost))))
}

/// What a run leaves to be judged.
struct Run {
    /// When the load began.
    begin: Duration,
    /// When it ended.
    end: Duration,
    /// When each step was done.
    steps: Vec<Option<Duration>>,
    /// What went wrong with the trial itself: facts that did not come, processes that ended.
    broken: Vec<String>,
}

async fn run(stage: &Rc<Stage>, watch: &Watch) -> Run {
    let broken = Rc::new(RefCell::new(Vec::new()));
    let looks = {
        let (stage, broken) = (stage.clone(), broken.clone());
        spawn_local(async move {
            loop {
                broken.borrow_mut().extend(stage.look_at_nodes());
                sleep(LOOK).await;
            }
        })
        .abort_handle()
    };
    let begin = watch.witness.elapsed();
    let span = stage.trial.scenario.load_duration();
    let load = spawn_local(stage.clients.clone().generate_load(span));
    let mut steps = vec![None; stage.trial.steps.len()];
    let mut before = begin;
    for (i, step) in stage.trial.steps.iter().enumerate() {
        sleep_until(watch.witness.started_at() + begin + Duration::from_secs_f64(step.at_s)).await;
        if let Some(fact) = &step.after
            && let Err(what) = wait_for(stage, watch, fact, before, step.patience()).await
        {
            broken.borrow_mut().push(format!("step {}: {what}", name(i, step)));
            break;
        }
        before = watch.witness.elapsed();
        steps[i] = Some(before);
        stage.tell(describe(i, step));
        if let Err(what) = carry_out(stage, step).await {
            broken.borrow_mut().push(format!("step {}: {what}", name(i, step)));
            break;
        }
    }
    let _ = load.await;
    let end = begin + span;
    let until = Instant::now() + stage.trial.scenario.longest_deadline() + LAST;
    while stage.clients.in_flight() > 0 && Instant::now() < until {
        sleep(LOOK).await;
    }
    looks.abort();
    let broken = broken.take();
    Run { begin, end, steps, broken }
}

fn name(place: usize, step: &Step) -> String {
    if step.name.is_empty() { place.to_string() } else { format!("{place} ({})", step.name) }
}

fn describe(place: usize, step: &Step) -> String {
    let mut text = format!("step {}: {:?}", name(place, step), step.act).to_lowercase();
    if let (Some(from), Some(to)) = (&step.from, &step.to) {
        text += &format!(" {from} {} {to}", if step.one_way { "->" } else { "<->" });
    }
    for word in [&step.who, &step.zone, &step.how].into_iter().flatten() {
        text += &format!(" {word}");
    }
    text
}

async fn wait_for(
    stage: &Rc<Stage>,
    watch: &Watch,
    fact: &Fact,
    since: Duration,
    patience: Duration,
) -> Result<(), String> {
    let until = Instant::now() + patience;
    while !holds(stage, watch, fact, since).await {
        if Instant::now() >= until {
            let wanted = match fact.acts {
                Some(part) => format!("{part} of the nodes act"),
                None => fact.names().map(|(key, named)| format!("{key} {named}")).collect(),
            };
            return Err(format!("after {patience:?} it is still not so that: {wanted}"));
        }
        sleep(LOOK).await;
    }
    Ok(())
}

async fn holds(stage: &Rc<Stage>, watch: &Watch, fact: &Fact, since: Duration) -> bool {
    if let Some(part) = fact.acts {
        let account = watch.account.borrow();
        let acting = account.acting(since, watch.witness.elapsed()).len();
        return acting as f64 >= part * account.nodes() as f64;
    }
    let Some((key, named)) = fact.names().next() else { return true };
    let parties = parties(stage, named);
    let boxes = stage.trial.scenario.boxes.count;
    for party in parties {
        let so = match key {
            "ready" => stage.doing(party.number) == Doing::Runs && stage.ready(party.number).await,
            "ended" => stage.doing(party.number) == Doing::Ended,
            "served" => watch.account.borrow().served(party.number, since),
            _ => {
                let server = if party.kind == Kind::Origin { boxes } else { party.number };
                watch.account.borrow().reached(server, since)
            }
        };
        if !so {
            return false;
        }
    }
    true
}

/// The parties of a word that the trial's check has taken.
fn parties(stage: &Stage, word: &str) -> Parties {
    stage.trial.map.parties(word).unwrap_or_default()
}

async fn carry_out(stage: &Rc<Stage>, step: &Step) -> Result<(), String> {
    let named = |word: &Option<String>| parties(stage, word.as_deref().unwrap_or_default());
    let (from, to, who) = (named(&step.from), named(&step.to), named(&step.who));
    match step.act {
        Act::Mark => {}
        Act::Cut => stage.cut(&from, &to, step.one_way),
        Act::Heal => stage.heal(&from, &to, step.reset),
        Act::Refuse => stage.reset(&from, &to, true),
        Act::Reset => stage.reset(&from, &to, false),
        Act::Weather => stage.weather(&from, &to, |w| {
            let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
            w.delay = step.delay_ms.map_or(w.delay, ms);
            w.jitter = step.jitter.unwrap_or(w.jitter);
            w.rate = step.rate.unwrap_or(w.rate);
            w.lost = step.lost.unwrap_or(w.lost);
            w.twice = step.twice.unwrap_or(w.twice);
            w.late = step.late.unwrap_or(w.late);
            w.late_by = step.late_ms.map_or(w.late_by, ms);
        }),
        Act::Kill => {
            for party in who {
                stage.kill(party).await?;
            }
        }
        Act::Start => {
            for party in who {
                stage.start(party).await?;
            }
        }
        Act::Stop => who.iter().for_each(|p| stage.stop(p.number)),
        Act::Continue => who.iter().for_each(|p| stage.go_on(p.number)),
        Act::Flap => {
            let every = Duration::from_secs_f64(step.every_s.unwrap_or(1.0));
            for _ in 0..step.times.unwrap_or(1.0) as usize {
                stage.cut(&from, &to, step.one_way);
                sleep(every).await;
                stage.heal(&from, &to, step.reset);
                sleep(every).await;
            }
        }
        Act::List => {
            let gone = step.says == Some(Says::Gone);
            who.iter().for_each(|p| stage.list(p.number, if gone { Phase::Gone } else { Phase::Ready }));
        }
        Act::Hold | Act::Release => {
            let zone = step.zone.as_deref().unwrap_or_default();
            let target = match (step.act, &step.how, step.for_s) {
                (Act::Hold, Some(how), Some(span)) => {
                    format!("/places/hold?zone={zone}&how={how}&for_s={span}")
                }
                _ => format!("/places/release?zone={zone}"),
            };
            for party in who {
                stage.order(party.number, &target).await?;
            }
        }
        Act::Term => who.iter().for_each(|p| stage.end(p.number)),
        Act::Load => stage.fleet.fault_settings.load_factor.set(step.times.unwrap_or(1.0).max(1e-3)),
        Act::Discovery => {
            let knobs = &stage.fleet.fault_settings;
            let answers = step.answers.unwrap_or(Answers::Well);
            knobs.discovery_down.set(answers == Answers::Down);
            knobs.empty_list.set(answers == Answers::Empty);
            let late = step.delay_ms.unwrap_or(1000.0) as u64;
            knobs.list_delay_ms.set(if answers == Answers::Late { late } else { 0 });
            knobs.pinned_revision.set((answers == Answers::Old).then(|| stage.revision()));
        }
    }
    Ok(())
}

/// How often nodes began to give a zone up, by their logs: each plan is told by many and counts once, as does a zone that stays away.
fn moves(log: &[Line], from: Duration, until: Duration) -> usize {
    let within = |at: f64| at >= from.as_secs_f64() && at < until.as_secs_f64();
    let told = log.iter().filter(|l| within(l.at_s)).filter_map(|l| ReportedPlan::parse(&l.text));
    let plans: BTreeMap<_, _> = told.map(|plan| (plan.number, plan)).collect();
    let (mut away, mut count) = (BTreeSet::new(), 0);
    for plan in plans.values() {
        count += plan.given_up_zones().difference(&away).count();
        away = plan.given_up_zones();
    }
    count
}

/// The part of the nodes that act on the commonest plan at a time: what each last told of one, and nothing where it told that it has
/// heard nothing for too long.
fn agree(log: &[Line], nodes: usize, at: Duration) -> f64 {
    let mut acts_on = vec![None; nodes];
    for line in log.iter().filter(|l| l.at_s < at.as_secs_f64()) {
        if let Some(plan) = ReportedPlan::parse(&line.text) {
            acts_on[line.node] = Some(plan.description);
        } else if line.text.contains("accord: nothing heard for too long") {
            acts_on[line.node] = None;
        }
    }
    let mut common: BTreeMap<Option<String>, usize> = BTreeMap::new();
    acts_on.into_iter().for_each(|what| *common.entry(what).or_default() += 1);
    common.into_values().max().unwrap_or(0) as f64 / nodes.max(1) as f64
}

fn judge(stage: &Stage, watch: &Watch, seed: u64, run: Run, (cpu, memory_kib): (Duration, u64)) -> Report {
    let trial = &stage.trial;
    watch.checker.borrow_mut().finish(watch.witness.elapsed());
    let account = watch.account.borrow();
    let sums = account.sums();
    let mut broken = run.broken;
    // One whose connection was lost with its process has ended with it; the rules judge which may.
    if sums.open > 0 {
        broken.push(format!("{} requests have no end", sums.open));
    }
    if sums.twice > 0 {
        broken.push(format!("{} requests have ended twice", sums.twice));
    }
    let violations = watch.checker.borrow().violations().to_vec();
    let step_at = |name: &Option<String>| {
        let place = trial.steps.iter().position(|s| Some(&s.name) == name.as_ref())?;
        run.steps[place]
    };
    let span = |must: &Must| {
        let from = match &must.from {
            Some(_) => step_at(&must.from)?,
            None => run.begin,
        };
        let until = match &must.until {
            Some(_) => step_at(&must.until)? + Duration::from_secs_f64(must.until_s),
            None if must.until_s > 0.0 => from + Duration::from_secs_f64(must.until_s),
            None => run.end,
        };
        Some((from + Duration::from_secs_f64(must.from_s), until))
    };
    let held = |must: &Must| {
        let zone = must.zone.as_ref().and_then(|z| trial.map.zones.iter().position(|name| name == z));
        let class = must.class.as_ref();
        let class = class.and_then(|c| trial.scenario.class.iter().position(|known| known.name == *c));
        let value = span(must).and_then(|(from, until)| match must.figure {
            Figure::Moves => Some(moves(&stage.log.borrow(), from, until) as f64),
            Figure::Agree => Some(agree(&stage.log.borrow(), stage.trial.scenario.nodes.count, until)),
            figure => account.figure(figure, Of { zone, class }, from, until),
        });
        let holds = value.is_some_and(|v| {
            must.at_most.is_none_or(|most| v <= most) && must.at_least.is_none_or(|least| v >= least)
        });
        Held { must: must.clone(), value, holds }
    };
    let musts: Vec<Held> = trial.musts.iter().map(held).collect();
    let whole = [
        Figure::InTime,
        Figure::Refused,
        Figure::Failed,
        Figure::P50Ms,
        Figure::P99Ms,
        Figure::LeavesZone,
        Figure::LeavesRegion,
        Figure::HitShare,
        Figure::OriginCalls,
        Figure::Fallen,
    ];
    let figures = whole
        .into_iter()
        .filter_map(|f| Some((f, account.figure(f, Of::default(), run.begin, run.end)?)))
        .collect();
    let steps = trial.steps.iter().zip(&run.steps).enumerate();
    let seconds = account.seconds().into_iter().skip(run.begin.as_secs() as usize).collect();
    Report {
        trial: trial.name.clone(),
        seed,
        sums,
        figures,
        musts,
        violations,
        broken,
        begin_s: run.begin.as_secs_f64(),
        steps: steps.map(|(i, (s, at))| (describe(i, s), at.map(|at| at.as_secs_f64()))).collect(),
        line: watch.line.borrow().clone(),
        seconds,
        log: stage.log.borrow().clone(),
        carried: stage.ways.iter().fold(Default::default(), |mut all: crate::report::Traffic, way| {
            all.add(way.datagrams, way.relay.carried());
            all
        }),
        cpu_s: cpu.as_secs_f64(),
        memory_kib,
        world: watch.collector.borrow().report(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_zone_that_is_given_up_counts_once_however_many_nodes_and_plans_tell_of_it() {
        let plan = |at_s: f64, number: &str, what: &str| Line {
            at_s,
            node: 0,
            text: format!("mothpier: accord: plan {number} of node 1: {what}"),
        };
        let log = [
            plan(1.0, "1.2", "south is suspected, 100% of its keys go there"),
            plan(2.0, "1.3", "south is given up, 40% of its keys go there"),
            plan(2.1, "1.3", "south is given up, 40% of its keys go there"),
            plan(
                3.0,
                "1.4",
                "south is given up, 4% of its keys go there; east is suspected, 100% of its keys go there",
            ),
            plan(
                3.2,
                "2.0",
                "south is given up, 4% of its keys go there; east is given up, 40% of its keys go there",
            ),
            plan(5.0, "2.1", "all zones serve"),
            plan(6.0, "2.2", "south is given up, 40% of its keys go there"),
        ];
        let s = Duration::from_secs;
        assert_eq!(moves(&log, s(0), s(10)), 3);
        assert_eq!(moves(&log, s(0), s(4)), 2);
        assert_eq!(moves(&log, s(0), s(2)), 0);
        let of = |line: &Line, node| Line { node, ..line.clone() };
        let log = [of(&log[0], 0), of(&log[0], 1), of(&log[3], 1), of(&log[3], 0), of(&log[5], 2)];
        assert!((agree(&log, 3, s(10)) - 2.0 / 3.0).abs() < 1e-9);
        assert!((agree(&log, 4, s(2)) - 0.5).abs() < 1e-9, "two know of no plan");
    }
}
