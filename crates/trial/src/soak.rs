//! Soak of real nodes: for each seed some nodes as processes, clients that go on using their connections until the node ends
//! them, and what operators, the platform and bad luck do to both, drawn from the seed.

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

use crate::runner::Watch;
use crate::stage::{Doing, Stage};

pub mod plan;

use plan::{Event, Fault, Plan};

/// At so long after a drain its node's connections are judged.
const HELD_AT_MOST: Duration = Duration::from_secs(4);
/// What came in so long a time before that is recent.
const RECENT: Duration = Duration::from_secs(2);
/// New connections come for so long after a drain.
const NEW_CONNECTIONS: Duration = Duration::from_millis(200);
/// What a client sent may be under way to a node that does not read at once for so long, where nothing holds this machine up.
const CROSSING: Duration = Duration::from_millis(150);
/// Between two looks whether this process is held up.
const TICK: Duration = Duration::from_millis(5);
/// After the load, this much more than the longest deadline for the last answers.
const LAST: Duration = Duration::from_secs(2);

/// What came of one seed.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// What happened, in order.
    pub events: Vec<String>,
    /// First tries of the open loop, and the part of them that was served in time.
    pub tries: u64,
    /// See `tries`.
    pub in_time: f64,
    /// For how long this process was held up at most: judgements allow for it.
    pub held_up: Duration,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// What went wrong with the play itself, processes that ended by themselves included.
    pub broken: Vec<String>,
}

impl Outcome {
    /// Whether all held.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.broken.is_empty()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { seed, events, tries, in_time, held_up, violations, broken } = self;
        let verdict = if self.passed() { "held" } else { "BROKEN" };
        write!(
            f,
            "seed {seed}: {verdict}; {} events, {tries} tries, {:.1}% in time",
            events.len(),
            in_time * 1e2
        )?;
        write!(f, ", held up {} ms", held_up.as_millis())?;
        violations.iter().try_for_each(|violation| write!(f, "; {violation}"))?;
        broken.iter().try_for_each(|what| write!(f, "; {what}"))
    }
}

/// Plays one seed with a daemon; files and logs go to a folder. Must run inside a `LocalSet`.
///
/// # Errors
/// What hinders its start.
pub async fn run_seed(seed: u64, program: &Path, folder: &Path) -> Result<Outcome, String> {
    let plan = Plan::draw(seed);
    let trial = plan.trial()?;
    let watch = Watch::begin(&trial, seed, plan.latest_words());
    let collector = watch.collector.clone();
    let played = move |played| collector.borrow_mut().record_result(&played);
    let stage = Stage::set(trial, seed, program, folder, &watch.witness, played).await?;
    let delays = Delays::watch();
    let crossing = delays.clone();
    let users = PersistentClients::with_close_race_window(stage.clients.clone(), move || {
        CROSSING + 2 * crossing.lately()
    });
    let soak =
        Rc::new(Soak { stage: stage.clone(), users, events: RefCell::default(), broken: RefCell::default() });
    soak.clone().run(&plan).await;
    stage.strike().await;
    soak.broken.borrow_mut().extend(stage.look_at_nodes());
    watch.checker.borrow_mut().finish(watch.witness.elapsed());
    let report = watch.collector.borrow().report();
    let violations = watch.checker.borrow().violations().to_vec();
    Ok(Outcome {
        seed,
        events: soak.events.take(),
        tries: report.all.offered,
        in_time: report.all.in_time_share(),
        held_up: delays.most.get(),
        violations,
        broken: soak.broken.take(),
    })
}

/// How long this process is held up.
struct Delays {
    most: Cell<Duration>,
    lately: Cell<Duration>,
}

impl Delays {
    fn watch() -> Rc<Delays> {
        let delays = Rc::new(Delays { most: Cell::default(), lately: Cell::default() });
        let told = delays.clone();
        spawn_local(async move {
            loop {
                let begun = Instant::now();
                sleep(TICK).await;
                let late = begun.elapsed().saturating_sub(TICK);
                told.most.set(told.most.get().max(late));
                // What was long ago counts less and less.
                told.lately.set(late.max(told.lately.get().mul_f64(0.99)));
            }
        });
        delays
    }

    fn lately(&self) -> Duration {
        self.lately.get()
    }
}

/// One seed that is being played.
struct Soak {
    stage: Rc<Stage>,
    users: Rc<PersistentClients<SystemHost>>,
    events: RefCell<Vec<String>>,
    broken: RefCell<Vec<String>>,
}

impl Soak {
    async fn run(self: Rc<Self>, plan: &Plan) {
        let begin = Instant::now();
        let until = begin + plan.span;
        self.users.start(until);
        let load = spawn_local(self.stage.clients.clone().generate_load(plan.span));
        if let Some(per_s) = plan.crowd {
            spawn_local(self.stage.clients.clone().open_stalled_connections(per_s, plan.span));
        }
        let mut stories = Vec::new();
        for (node, events) in plan.nodes.iter().enumerate() {
            let (soak, events) = (self.clone(), events.clone());
            stories.push(spawn_local(async move { soak.story(node, begin, events).await }));
        }
        for (at, fault) in plan.faults.clone() {
            let soak = self.clone();
            stories.push(spawn_local(async move {
                sleep_until(begin + at).await;
                soak.strike(fault).await;
            }));
        }
        for story in stories {
            let _ = story.await;
        }
        let _ = load.await;
        let last = Instant::now() + self.stage.trial.scenario.longest_deadline() + LAST;
        while self.stage.clients.in_flight() + self.users.open_connections() > 0 && Instant::now() < last {
            sleep(TICK).await;
        }
        self.broken.borrow_mut().extend(self.stage.look_at_nodes());
    }

    fn tell(&self, what: String) {
        self.stage.tell(what.clone());
        self.events.borrow_mut().push(what);
    }

    /// What happens to one node.
    async fn story(self: Rc<Self>, node: NodeIndex, begin: Instant, events: Vec<(Duration, Event)>) {
        let mut drained: Option<Instant> = None;
        for (at, event) in events {
            sleep_until(begin + at).await;
            self.tell(format!("{:.2} s node {node}: {event:?}", at.as_secs_f64()));
            match event {
                Event::Drain => {
                    let told = Instant::now();
                    if self.call(node, "PUT /drain").await && drained.is_none() {
                        drained = Some(told);
                    }
                }
                Event::Undrain => {
                    drained = None;
                    self.call(node, "PUT /undrain").await;
                }
                Event::Judge => self.judge(node, drained).await,
                Event::Reload => self.stage.signal(node, Signal::SIGHUP),
                Event::End => {
                    // Others go on meanwhile: staff call a node that ends, too.
                    let stage = self.stage.clone();
                    spawn_local(async move { stage.end_early(node).await });
                }
                Event::Kill => {
                    let killed = self.stage.kill(self.stage.trial.map.node(node)).await;
                    self.note(killed);
                }
                Event::Start => {
                    drained = None;
                    while self.stage.doing(node) != Doing::Ended {
                        sleep(TICK).await;
                    }
                    let started = self.stage.start(self.stage.trial.map.node(node)).await;
                    self.note(started);
                }
                Event::Upgrade => {
                    drained = None;
                    let upgraded = self.stage.upgrade(node).await;
                    self.note(upgraded);
                }
            }
        }
    }

    fn note(&self, done: Result<(), String>) {
        self.broken.borrow_mut().extend(done.err());
    }

    /// Calls a node as staff; whether it did what it was told. One that has ended says nothing.
    async fn call(&self, node: NodeIndex, call: &str) -> bool {
        let running = self.stage.life(node).is_some();
        match self.stage.staff(node, call).await {
            Ok(status) => status == 200,
            Err(what) => {
                if running && self.stage.life(node).is_some() {
                    self.broken.borrow_mut().push(what);
                }
                false
            }
        }
    }

    /// Judges what a drained node holds four seconds after it was told.
    async fn judge(&self, node: NodeIndex, drained: Option<Instant>) {
        let Some(told) = drained else { return };
        let life = self.stage.life(node);
        sleep_until(told + HELD_AT_MOST).await;
        if life.is_none() || self.stage.life(node) != life {
            return;
        }
        let RetainedConnections { idle, recent } =
            self.users.retained_connections(node, told + NEW_CONNECTIONS, told + HELD_AT_MOST - RECENT);
        if idle + recent > 0 {
            self.stage.fleet.observer.record(ObservedEvent::ConnectionsAfterDrain { node, idle, recent });
        }
        if self.stage.ready(node).await {
            self.broken.borrow_mut().push(format!("node {node} says yes 4 s after its drain"));
        }
    }

    async fn strike(&self, fault: Fault) {
        self.tell(format!("{fault:?}"));
        let stage = &self.stage;
        let everybody = |word: &str| stage.trial.map.parties(word).unwrap_or_default();
        let (nodes, boxes) = (everybody("nodes"), everybody("boxes"));
        match fault {
            Fault::ServersReset => stage.reset(&nodes, &boxes, false),
            Fault::ServerHangs { server, span } => {
                let server = vec![stage.trial.map.server(server)];
                stage.cut(&nodes, &server, false);
                sleep(span).await;
                stage.heal(&nodes, &server, true);
            }
            Fault::ServersLate { by, span } => {
                stage.weather(&nodes, &boxes, |weather| weather.delay += by);
                sleep(span).await;
                stage.weather(&nodes, &boxes, |weather| weather.delay = weather.delay.saturating_sub(by));
            }
            Fault::DiscoveryDown { span } => {
                stage.fleet.fault_settings.discovery_down.set(true);
                sleep(span).await;
                stage.fleet.fault_settings.discovery_down.set(false);
            }
        }
    }
}
