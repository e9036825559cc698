//! Runs a trial: carries out its steps, waits for their conditions, and evaluates the results.

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

use crate::environment::{Environment, LogLine, ProcessState};
use crate::plan::{Action, Condition, DiscoveryBehavior, Expectation, ListedPhase, Metric, Step, Trial};
use crate::report::{ExpectationResult, Report};
use crate::request_tracker::{MetricScope, RequestTracker};
use crate::topology::{EndpointKind, Endpoints};

/// Interval of checks of a condition, and of reads of the nodes' state and logs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// After the load, the wait for the last replies is the longest deadline and this time.
const FINAL_REPLIES_GRACE: Duration = Duration::from_secs(2);

/// How a trial that could be started has ended.
pub enum TrialEnd {
    /// It ran to its end.
    Completed(Box<Report>),
    /// It was interrupted by a signal; everything that it had started has ended.
    Interrupted,
}

/// What observes a running trial and collects the results.
pub(crate) struct Observers {
    pub(crate) observer: Observer,
    tracker: Rc<RefCell<RequestTracker>>,
    pub(crate) collector: Rc<RefCell<Collector>>,
    pub(crate) checker: Rc<RefCell<Checker>>,
    timeline: Rc<RefCell<Vec<(f64, String)>>>,
}

impl Observers {
    pub(crate) fn start(trial: &Trial, seed: u64, extra_server_delay: Duration) -> Observers {
        let observer = Observer::starting_now();
        let origin = trial.scenario.boxes.count;
        let tracker = Rc::new(RefCell::new(RequestTracker::new(trial)));
        let collector = Rc::new(RefCell::new(Collector::new(&trial.scenario, seed, origin)));
        let checker = Checker::new(&trial.scenario, origin);
        let checker =
            Rc::new(RefCell::new(checker.with_unbounded_delay().with_extra_server_delay(extra_server_delay)));
        let timeline = Rc::new(RefCell::new(Vec::new()));
        let (requests, results, rules, events) =
            (tracker.clone(), collector.clone(), checker.clone(), timeline.clone());
        observer.subscribe(move |o| {
            requests.borrow_mut().observe(o);
            results.borrow_mut().observe(o);
            rules.borrow_mut().observe(o);
            let entry = match &o.event {
                ObservedEvent::Fault(description) => Some(description.clone()),
                ObservedEvent::CacheServerCollapsed { server } => {
                    Some(format!("cache server {server} collapsed under load"))
                }
                _ => None,
            };
            events.borrow_mut().extend(entry.map(|text| (o.at.as_secs_f64(), text)));
        });
        Observers { observer, tracker, collector, checker, timeline }
    }
}

/// Runs a trial with a daemon's executable; files and logs go to a folder. Must run inside a `LocalSet`.
///
/// # Errors
/// What keeps it from starting; all that was started by then has ended.
pub async fn run_trial(trial: Trial, seed: u64, program: &Path, folder: &Path) -> Result<TrialEnd, String> {
    let observers = Observers::start(&trial, seed, Duration::ZERO);
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupted = Box::pin(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    let (tracker, collector) = (observers.tracker.clone(), observers.collector.clone());
    let on_completed = move |completed| {
        tracker.borrow_mut().record_completed(completed);
        collector.borrow_mut().record_result(&completed);
    };
    let launch = Environment::launch(trial, seed, program, folder, &observers.observer, on_completed);
    // An environment that is dropped before it has started ends the processes that it has created.
    let environment = tokio::select! {
        environment = launch => environment?,
        () = &mut interrupted => return Ok(TrialEnd::Interrupted),
    };
    let outcome = tokio::select! {
        outcome = run_steps(&environment, &observers) => Some(outcome),
        () = &mut interrupted => None,
    };
    let resource_usage = environment.resource_usage();
    environment.shut_down().await;
    environment.poll_nodes();
    let Some(run) = outcome else { return Ok(TrialEnd::Interrupted) };
    Ok(TrialEnd::Completed(Box::new(build_report(&environment, &observers, seed, run, resource_usage))))
}

/// What a run leaves for evaluation.
struct CompletedRun {
    /// When the load began, since the start of the trial.
    load_began: Duration,
    /// When the load ended.
    load_ended: Duration,
    /// When each step was carried out.
    step_times: Vec<Option<Duration>>,
    /// Failures of the trial itself: conditions that did not come true, unexpected exits.
    failures: Vec<String>,
}

async fn run_steps(environment: &Rc<Environment>, observers: &Observers) -> CompletedRun {
    let failures = Rc::new(RefCell::new(Vec::new()));
    let poller = {
        let (environment, failures) = (environment.clone(), failures.clone());
        spawn_local(async move {
            loop {
                failures.borrow_mut().extend(environment.poll_nodes());
                sleep(POLL_INTERVAL).await;
            }
        })
        .abort_handle()
    };
    let load_began = observers.observer.elapsed();
    let load_duration = environment.trial.scenario.load_duration();
    let load = spawn_local(environment.clients.clone().generate_load(load_duration));
    let mut step_times = vec![None; environment.trial.steps.len()];
    let mut previous_step_at = load_began;
    for (i, step) in environment.trial.steps.iter().enumerate() {
        sleep_until(observers.observer.started_at() + load_began + Duration::from_secs_f64(step.at_s)).await;
        if let Some(condition) = &step.after
            && let Err(message) = wait_for_condition(
                environment,
                observers,
                condition,
                previous_step_at,
                step.condition_timeout(),
            )
            .await
        {
            failures.borrow_mut().push(format!("step {}: {message}", step_name(i, step)));
            break;
        }
        previous_step_at = observers.observer.elapsed();
        step_times[i] = Some(previous_step_at);
        environment.record_event(describe_step(i, step));
        if let Err(message) = perform_step(environment, step).await {
            failures.borrow_mut().push(format!("step {}: {message}", step_name(i, step)));
            break;
        }
    }
    let _ = load.await;
    let load_ended = load_began + load_duration;
    let until = Instant::now() + environment.trial.scenario.longest_deadline() + FINAL_REPLIES_GRACE;
    while environment.clients.in_flight() > 0 && Instant::now() < until {
        sleep(POLL_INTERVAL).await;
    }
    poller.abort();
    let failures = failures.take();
    CompletedRun { load_began, load_ended, step_times, failures }
}

fn step_name(index: usize, step: &Step) -> String {
    if step.name.is_empty() { index.to_string() } else { format!("{index} ({})", step.name) }
}

fn describe_step(index: usize, step: &Step) -> String {
    let mut text = format!("step {}: {:?}", step_name(index, step), step.action).to_lowercase();
    if let (Some(from), Some(to)) = (&step.from, &step.to) {
        text += &format!(" {from} {} {to}", if step.one_way { "->" } else { "<->" });
    }
    for detail in [&step.who, &step.zone, &step.how].into_iter().flatten() {
        text += &format!(" {detail}");
    }
    text
}

async fn wait_for_condition(
    environment: &Rc<Environment>,
    observers: &Observers,
    condition: &Condition,
    since: Duration,
    timeout: Duration,
) -> Result<(), String> {
    let until = Instant::now() + timeout;
    while !condition_holds(environment, observers, condition, since).await {
        if Instant::now() >= until {
            let expected = match condition.acts {
                Some(share) => format!("a share of {share} of the nodes has reacted"),
                None => {
                    condition.named_endpoints().map(|(key, selector)| format!("{key} {selector}")).collect()
                }
            };
            return Err(format!("condition did not come true within {timeout:?}: {expected}"));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn condition_holds(
    environment: &Rc<Environment>,
    observers: &Observers,
    condition: &Condition,
    since: Duration,
) -> bool {
    if let Some(share) = condition.acts {
        let tracker = observers.tracker.borrow();
        let reacted = tracker.reaction_times(since, observers.observer.elapsed()).len();
        return reacted as f64 >= share * tracker.node_count() as f64;
    }
    let Some((key, selector)) = condition.named_endpoints().next() else { return true };
    let endpoints = endpoints(environment, selector);
    let cache_servers = environment.trial.scenario.boxes.count;
    for endpoint in endpoints {
        let holds = match key {
            "ready" => {
                environment.process_state(endpoint.number) == ProcessState::Running
                    && environment.is_ready(endpoint.number).await
            }
            "ended" => environment.process_state(endpoint.number) == ProcessState::Exited,
            "served" => observers.tracker.borrow().has_served(endpoint.number, since),
            _ => {
                let server =
                    if endpoint.kind == EndpointKind::Origin { cache_servers } else { endpoint.number };
                observers.tracker.borrow().has_received_attempt(server, since)
            }
        };
        if !holds {
            return false;
        }
    }
    true
}

/// The endpoints of a selector that the trial's validation has accepted.
fn endpoints(environment: &Environment, selector: &str) -> Endpoints {
    environment.trial.topology.endpoints(selector).unwrap_or_default()
}

async fn perform_step(environment: &Rc<Environment>, step: &Step) -> Result<(), String> {
    let select = |selector: &Option<String>| endpoints(environment, selector.as_deref().unwrap_or_default());
    let (from, to, targets) = (select(&step.from), select(&step.to), select(&step.who));
    match step.action {
        Action::Mark => {}
        Action::Cut => environment.cut(&from, &to, step.one_way),
        Action::Heal => environment.heal(&from, &to, step.reset),
        Action::Refuse => environment.reset_links(&from, &to, true),
        Action::Reset => environment.reset_links(&from, &to, false),
        Action::Weather => environment.change_links(&from, &to, |conditions| {
            let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
            conditions.delay = step.delay_ms.map_or(conditions.delay, ms);
            conditions.jitter = step.jitter.unwrap_or(conditions.jitter);
            conditions.bytes_per_s = step.rate.unwrap_or(conditions.bytes_per_s);
            conditions.lost_share = step.lost.unwrap_or(conditions.lost_share);
            conditions.duplicated_share = step.twice.unwrap_or(conditions.duplicated_share);
            conditions.late_share = step.late.unwrap_or(conditions.late_share);
            conditions.late_by = step.late_ms.map_or(conditions.late_by, ms);
        }),
        Action::Kill => {
            for endpoint in targets {
                environment.kill(endpoint).await?;
            }
        }
        Action::Start => {
            for endpoint in targets {
                environment.start_endpoint(endpoint).await?;
            }
        }
        Action::Stop => targets.iter().for_each(|p| environment.pause(p.number)),
        Action::Continue => targets.iter().for_each(|p| environment.resume(p.number)),
        Action::Flap => {
            let every = Duration::from_secs_f64(step.every_s.unwrap_or(1.0));
            for _ in 0..step.times.unwrap_or(1.0) as usize {
                environment.cut(&from, &to, step.one_way);
                sleep(every).await;
                environment.heal(&from, &to, step.reset);
                sleep(every).await;
            }
        }
        Action::List => {
            let gone = step.says == Some(ListedPhase::Gone);
            targets.iter().for_each(|p| {
                environment.set_listed_phase(p.number, if gone { Phase::Gone } else { Phase::Ready })
            });
        }
        Action::Hold | Action::Release => {
            let zone = step.zone.as_deref().unwrap_or_default();
            let path = match (step.action, &step.how, step.for_s) {
                (Action::Hold, Some(how), Some(seconds)) => {
                    format!("/places/hold?zone={zone}&how={how}&for_s={seconds}")
                }
                _ => format!("/places/release?zone={zone}"),
            };
            for endpoint in targets {
                environment.send_zone_order(endpoint.number, &path).await?;
            }
        }
        Action::Term => targets.iter().for_each(|p| environment.terminate(p.number)),
        Action::Load => environment.fleet.fault_settings.load_factor.set(step.times.unwrap_or(1.0).max(1e-3)),
        Action::Discovery => {
            let settings = &environment.fleet.fault_settings;
            let answers = step.answers.unwrap_or(DiscoveryBehavior::Well);
            settings.discovery_down.set(answers == DiscoveryBehavior::Down);
            settings.empty_list.set(answers == DiscoveryBehavior::Empty);
            let late = step.delay_ms.unwrap_or(1000.0) as u64;
            settings.list_delay_ms.set(if answers == DiscoveryBehavior::Late { late } else { 0 });
            settings
                .pinned_revision
                .set((answers == DiscoveryBehavior::Old).then(|| environment.oldest_list_revision()));
        }
    }
    Ok(())
}

/// Number of times that nodes began to give a zone up, according to their logs. A plan is logged by many nodes and counts
/// once; so does a zone that stays given up over several plans.
fn count_zone_moves(log: &[LogLine], from: Duration, until: Duration) -> usize {
    let within = |at: f64| at >= from.as_secs_f64() && at < until.as_secs_f64();
    let reported = log.iter().filter(|l| within(l.at_s)).filter_map(|l| ReportedPlan::parse(&l.text));
    let plans: BTreeMap<_, _> = reported.map(|plan| (plan.number, plan)).collect();
    let (mut given_up, mut count) = (BTreeSet::new(), 0);
    for plan in plans.values() {
        count += plan.given_up_zones().difference(&given_up).count();
        given_up = plan.given_up_zones();
    }
    count
}

/// Share of the nodes that act on the most common plan at a time, by the plan that each logged last. A node that has
/// since logged that it no longer hears of plans acts on none.
fn agreement_share(log: &[LogLine], nodes: usize, at: Duration) -> f64 {
    let mut acts_on = vec![None; nodes];
    for line in log.iter().filter(|l| l.at_s < at.as_secs_f64()) {
        if let Some(plan) = ReportedPlan::parse(&line.text) {
            acts_on[line.node] = Some(plan.description);
        } else if line.text.contains("accord: nothing heard for too long") {
            acts_on[line.node] = None;
        }
    }
    let mut nodes_by_plan: BTreeMap<Option<String>, usize> = BTreeMap::new();
    acts_on.into_iter().for_each(|plan| *nodes_by_plan.entry(plan).or_default() += 1);
    nodes_by_plan.into_values().max().unwrap_or(0) as f64 / nodes.max(1) as f64
}

fn build_report(
    environment: &Environment,
    observers: &Observers,
    seed: u64,
    run: CompletedRun,
    (cpu, memory_kib): (Duration, u64),
) -> Report {
    let trial = &environment.trial;
    observers.checker.borrow_mut().finish(observers.observer.elapsed());
    let tracker = observers.tracker.borrow();
    let totals = tracker.totals();
    let mut failures = run.failures;
    // A request whose connection was lost has ended with it; the rules judge whether it may be lost.
    if totals.unfinished > 0 {
        failures.push(format!("{} requests never ended", totals.unfinished));
    }
    if totals.ended_twice > 0 {
        failures.push(format!("{} requests ended more than once", totals.ended_twice));
    }
    let violations = observers.checker.borrow().violations().to_vec();
    let step_at = |name: &Option<String>| {
        let index = trial.steps.iter().position(|s| Some(&s.name) == name.as_ref())?;
        run.step_times[index]
    };
    let interval = |expectation: &Expectation| {
        let from = match &expectation.from {
            Some(_) => step_at(&expectation.from)?,
            None => run.load_began,
        };
        let until = match &expectation.until {
            Some(_) => step_at(&expectation.until)? + Duration::from_secs_f64(expectation.until_s),
            None if expectation.until_s > 0.0 => from + Duration::from_secs_f64(expectation.until_s),
            None => run.load_ended,
        };
        Some((from + Duration::from_secs_f64(expectation.from_s), until))
    };
    let evaluate = |expectation: &Expectation| {
        let zone =
            expectation.zone.as_ref().and_then(|z| trial.topology.zones.iter().position(|name| name == z));
        let class = expectation.class.as_ref();
        let class = class.and_then(|c| trial.scenario.class.iter().position(|known| known.name == *c));
        let value = interval(expectation).and_then(|(from, until)| match expectation.metric {
            Metric::Moves => Some(count_zone_moves(&environment.log.borrow(), from, until) as f64),
            Metric::Agree => Some(agreement_share(
                &environment.log.borrow(),
                environment.trial.scenario.nodes.count,
                until,
            )),
            metric => tracker.metric(metric, MetricScope { zone, class }, from, until),
        });
        let holds = value.is_some_and(|v| {
            expectation.at_most.is_none_or(|most| v <= most)
                && expectation.at_least.is_none_or(|least| v >= least)
        });
        ExpectationResult { expectation: expectation.clone(), value, holds }
    };
    let expectations: Vec<ExpectationResult> = trial.expectations.iter().map(evaluate).collect();
    let overall_metrics = [
        Metric::InTime,
        Metric::Refused,
        Metric::Failed,
        Metric::P50Ms,
        Metric::P99Ms,
        Metric::LeavesZone,
        Metric::LeavesRegion,
        Metric::HitShare,
        Metric::OriginCalls,
        Metric::Fallen,
    ];
    let metrics = overall_metrics
        .into_iter()
        .filter_map(|f| Some((f, tracker.metric(f, MetricScope::default(), run.load_began, run.load_ended)?)))
        .collect();
    let steps = trial.steps.iter().zip(&run.step_times).enumerate();
    let per_second = tracker.per_second().into_iter().skip(run.load_began.as_secs() as usize).collect();
    Report {
        trial: trial.name.clone(),
        seed,
        totals,
        metrics,
        expectations,
        violations,
        failures,
        begin_s: run.load_began.as_secs_f64(),
        steps: steps.map(|(i, (s, at))| (describe_step(i, s), at.map(|at| at.as_secs_f64()))).collect(),
        timeline: observers.timeline.borrow().clone(),
        per_second,
        log: environment.log.borrow().clone(),
        traffic: environment.links.iter().fold(
            Default::default(),
            |mut all: crate::report::Traffic, link| {
                all.add(link.carries_datagrams, link.relay.totals());
                all
            },
        ),
        cpu_s: cpu.as_secs_f64(),
        memory_kib,
        world: observers.collector.borrow().report(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_given_up_zone_counts_once_however_many_nodes_and_plans_report_it() {
        let plan = |at_s: f64, number: &str, what: &str| LogLine {
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
        assert_eq!(count_zone_moves(&log, s(0), s(10)), 3);
        assert_eq!(count_zone_moves(&log, s(0), s(4)), 2);
        assert_eq!(count_zone_moves(&log, s(0), s(2)), 0);
        let of = |line: &LogLine, node| LogLine { node, ..line.clone() };
        let log = [of(&log[0], 0), of(&log[0], 1), of(&log[3], 1), of(&log[3], 0), of(&log[5], 2)];
        assert!((agreement_share(&log, 3, s(10)) - 2.0 / 3.0).abs() < 1e-9);
        assert!((agreement_share(&log, 4, s(2)) - 0.5).abs() < 1e-9, "two nodes act on no plan");
    }
}
