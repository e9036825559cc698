//! Soak test of real nodes. Each seed starts some nodes as processes and clients that use their connections until the node
//! closes them, and draws what operators, the platform and faults do to both.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::observe::{NodeIndex, ObservedEvent};
use chalksill_world::rules::Violation;
use chalksill_world::users::{PersistentClients, RetainedConnections};
use mothpier_host::SystemHost;
use nix::sys::signal::Signal;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::environment::{Environment, ProcessState};
use crate::runner::Observers;

pub mod flood;
pub mod plan;

use flood::Flood;
use plan::{Event, Fault, FloodPlan, Plan};

/// A drained node has closed its idle connections and reports that it is not ready after this time.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection is recently used if a command arrived on it within this time before the check.
const RECENT_ACTIVITY: Duration = Duration::from_secs(2);
/// Clients may open new connections for this long after a drain.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// A command may be in transit or unread at its node for this long, in which the node may close the connection; more if
/// this process stalls.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(150);
/// Interval of checks, and of the measurement of stalls.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// After the load, the wait for the last replies is the longest deadline and this time.
const FINAL_REPLIES_GRACE: Duration = Duration::from_secs(2);

/// The results of one seed.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Events, in order.
    pub events: Vec<String>,
    /// Number of first tries of the open loop.
    pub first_tries: u64,
    /// Share of them that was served in time.
    pub in_time: f64,
    /// Longest stall of this process; the rules allow for it.
    pub longest_stall: Duration,
    /// Violated rules.
    pub violations: Vec<Violation>,
    /// Other failures, unexpected exits included.
    pub failures: Vec<String>,
}

impl Outcome {
    /// Whether all rules were met.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { seed, events, first_tries, in_time, longest_stall, violations, failures } = self;
        let verdict = if self.passed() { "held" } else { "BROKEN" };
        write!(
            f,
            "seed {seed}: {verdict}; {} events, {first_tries} tries, {:.1}% in time",
            events.len(),
            in_time * 1e2
        )?;
        write!(f, ", held up {} ms", longest_stall.as_millis())?;
        violations.iter().try_for_each(|violation| write!(f, "; {violation}"))?;
        failures.iter().try_for_each(|failure| write!(f, "; {failure}"))
    }
}

/// Runs one seed with a daemon's executable; files and logs go to a folder. Must run inside a `LocalSet`.
///
/// # Errors
/// What keeps it from starting.
pub async fn run_seed(seed: u64, program: &Path, folder: &Path) -> Result<Outcome, String> {
    let plan = Plan::draw(seed);
    let trial = plan.trial()?;
    let observers = Observers::start(&trial, seed, plan.max_extra_server_delay());
    let collector = observers.collector.clone();
    let on_completed = move |completed| collector.borrow_mut().record_result(&completed);
    let environment =
        Environment::launch(trial, seed, program, folder, &observers.observer, on_completed).await?;
    let stalls = StallMonitor::start();
    let stalls_of_clients = stalls.clone();
    let persistent_clients =
        PersistentClients::with_close_race_window(environment.clients.clone(), move || {
            CLOSE_RACE_WINDOW + 2 * stalls_of_clients.recent()
        });
    let soak = Rc::new(SoakRun {
        environment: environment.clone(),
        persistent_clients,
        events: RefCell::default(),
        failures: RefCell::default(),
    });
    soak.clone().run(&plan).await;
    environment.shut_down().await;
    soak.failures.borrow_mut().extend(environment.poll_nodes());
    observers.checker.borrow_mut().finish(observers.observer.elapsed());
    let report = observers.collector.borrow().report();
    let violations = observers.checker.borrow().violations().to_vec();
    Ok(Outcome {
        seed,
        events: soak.events.take(),
        first_tries: report.all.offered,
        in_time: report.all.in_time_share(),
        longest_stall: stalls.longest.get(),
        violations,
        failures: soak.failures.take(),
    })
}

/// Measures stalls of this process: how late its timers fire.
struct StallMonitor {
    longest: Cell<Duration>,
    recent: Cell<Duration>,
}

impl StallMonitor {
    fn start() -> Rc<StallMonitor> {
        let monitor = Rc::new(StallMonitor { longest: Cell::default(), recent: Cell::default() });
        let task_monitor = monitor.clone();
        spawn_local(async move {
            loop {
                let slept_since = Instant::now();
                sleep(POLL_INTERVAL).await;
                let late = slept_since.elapsed().saturating_sub(POLL_INTERVAL);
                task_monitor.longest.set(task_monitor.longest.get().max(late));
                // Earlier stalls count less and less.
                task_monitor.recent.set(late.max(task_monitor.recent.get().mul_f64(0.99)));
            }
        });
        monitor
    }

    fn recent(&self) -> Duration {
        self.recent.get()
    }
}

/// One running seed.
struct SoakRun {
    environment: Rc<Environment>,
    persistent_clients: Rc<PersistentClients<SystemHost>>,
    events: RefCell<Vec<String>>,
    failures: RefCell<Vec<String>>,
}

impl SoakRun {
    async fn run(self: Rc<Self>, plan: &Plan) {
        let begin = Instant::now();
        let load_ends = begin + plan.load_duration;
        self.persistent_clients.start(load_ends);
        let load = spawn_local(self.environment.clients.clone().generate_load(plan.load_duration));
        if let Some(per_s) = plan.stalled_connections_per_s {
            spawn_local(self.environment.clients.clone().open_stalled_connections(per_s, plan.load_duration));
        }
        let mut tasks = Vec::new();
        for (node, events) in plan.nodes.iter().enumerate() {
            let (soak, events) = (self.clone(), events.clone());
            tasks.push(spawn_local(async move { soak.run_node_events(node, begin, events).await }));
        }
        if let Some(flood) = plan.flood {
            let soak = self.clone();
            tasks.push(spawn_local(async move { soak.flood(begin, flood).await }));
        }
        for (at, fault) in plan.faults.clone() {
            let soak = self.clone();
            tasks.push(spawn_local(async move {
                sleep_until(begin + at).await;
                soak.inject_fault(fault).await;
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        let _ = load.await;
        let deadline =
            Instant::now() + self.environment.trial.scenario.longest_deadline() + FINAL_REPLIES_GRACE;
        while self.environment.clients.in_flight() + self.persistent_clients.open_connections() > 0
            && Instant::now() < deadline
        {
            sleep(POLL_INTERVAL).await;
        }
        self.failures.borrow_mut().extend(self.environment.poll_nodes());
    }

    /// Lets clients send to a node at full speed for a while.
    async fn flood(&self, begin: Instant, plan: FloodPlan) {
        let FloodPlan { at, duration, node, kind, connections } = plan;
        sleep_until(begin + at).await;
        self.record_event(format!("{:.2} s {plan:?}", at.as_secs_f64()));
        let flood = Flood::start(self.environment.node_address(node), kind, connections);
        sleep(duration).await;
        drop(flood);
    }

    fn record_event(&self, description: String) {
        self.environment.record_event(description.clone());
        self.events.borrow_mut().push(description);
    }

    /// Applies the events of one node at their times.
    async fn run_node_events(
        self: Rc<Self>,
        node: NodeIndex,
        begin: Instant,
        events: Vec<(Duration, Event)>,
    ) {
        let mut drained_at: Option<Instant> = None;
        for (at, event) in events {
            sleep_until(begin + at).await;
            self.record_event(format!("{:.2} s node {node}: {event:?}", at.as_secs_f64()));
            match event {
                Event::Drain => {
                    let called_at = Instant::now();
                    if self.call_operations(node, "PUT /drain").await && drained_at.is_none() {
                        drained_at = Some(called_at);
                    }
                }
                Event::Undrain => {
                    drained_at = None;
                    self.call_operations(node, "PUT /undrain").await;
                }
                Event::CheckDrained => self.check_drained(node, drained_at).await,
                Event::Reload => self.environment.signal(node, Signal::SIGHUP),
                Event::Terminate => {
                    // Not awaited: the following events happen while the node terminates.
                    let environment = self.environment.clone();
                    spawn_local(async move { environment.terminate_with_earliest_kill(node).await });
                }
                Event::Kill => {
                    let killed = self.environment.kill(self.environment.trial.topology.node(node)).await;
                    self.record_failure(killed);
                }
                Event::Start => {
                    drained_at = None;
                    while self.environment.process_state(node) != ProcessState::Exited {
                        sleep(POLL_INTERVAL).await;
                    }
                    let started =
                        self.environment.start_endpoint(self.environment.trial.topology.node(node)).await;
                    self.record_failure(started);
                }
                Event::Upgrade => {
                    drained_at = None;
                    let upgraded = self.environment.upgrade(node).await;
                    self.record_failure(upgraded);
                }
            }
        }
    }

    fn record_failure(&self, outcome: Result<(), String>) {
        self.failures.borrow_mut().extend(outcome.err());
    }

    /// Calls a node's operations endpoint; whether the node carried the call out. A node that is not running may not answer.
    async fn call_operations(&self, node: NodeIndex, call: &str) -> bool {
        let was_running = self.environment.incarnation(node).is_some();
        match self.environment.call_operations(node, call).await {
            Ok(status) => status == 200,
            Err(message) => {
                if was_running && self.environment.incarnation(node).is_some() {
                    self.failures.borrow_mut().push(message);
                }
                false
            }
        }
    }

    /// Checks which connections a drained node still holds [`DRAIN_TIMEOUT`] after the call, and that it is not ready.
    async fn check_drained(&self, node: NodeIndex, drained_at: Option<Instant>) {
        let Some(called_at) = drained_at else { return };
        let incarnation = self.environment.incarnation(node);
        sleep_until(called_at + DRAIN_TIMEOUT).await;
        if incarnation.is_none() || self.environment.incarnation(node) != incarnation {
            return;
        }
        let RetainedConnections { idle, recent } = self.persistent_clients.retained_connections(
            node,
            called_at + NEW_CONNECTION_GRACE,
            called_at + DRAIN_TIMEOUT - RECENT_ACTIVITY,
        );
        if idle + recent > 0 {
            self.environment.fleet.observer.record(ObservedEvent::ConnectionsAfterDrain {
                node,
                idle,
                recent,
            });
        }
        if self.environment.is_ready(node).await {
            self.failures.borrow_mut().push(format!("node {node} is ready 4 s after its drain"));
        }
    }

    async fn inject_fault(&self, fault: Fault) {
        self.record_event(format!("{fault:?}"));
        let environment = &self.environment;
        let select = |selector: &str| environment.trial.topology.endpoints(selector).unwrap_or_default();
        let (nodes, cache_servers) = (select("nodes"), select("boxes"));
        match fault {
            Fault::ServersReset => environment.reset_links(&nodes, &cache_servers, false),
            Fault::ServerHangs { server, duration } => {
                let server = vec![environment.trial.topology.server(server)];
                environment.cut(&nodes, &server, false);
                sleep(duration).await;
                environment.heal(&nodes, &server, true);
            }
            Fault::ServersLate { by, duration } => {
                environment.change_links(&nodes, &cache_servers, |conditions| conditions.delay += by);
                sleep(duration).await;
                environment.change_links(&nodes, &cache_servers, |conditions| {
                    conditions.delay = conditions.delay.saturating_sub(by)
                });
            }
            Fault::DiscoveryDown { duration } => {
                environment.fleet.fault_settings.discovery_down.set(true);
                sleep(duration).await;
                environment.fleet.fault_settings.discovery_down.set(false);
            }
        }
    }
}
