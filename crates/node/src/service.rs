//! A node from its start to its end: its parts put together, and what it does when told to stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::Micros;
use mothpier_host::opening::listen_with_retry;
use mothpier_host::{Host, Listener};
use mothpier_ops::{Board, Desk, Phase, Step};
use mothpier_plan::Wish;
use mothpier_record::Recorder;
use mothpier_storm::Door;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};

use crate::clients::{Bounds, Clients, Grammar, Leaving, Listening, Retiring};
use crate::config::Config;
use crate::discovery::Teller;
use crate::handover::{self, Budget, Handover, Side};
use crate::input::Input;
use crate::near::Nearby;
use crate::node::{Clock, Inherited, Node, Parts, SERVERS};
use crate::weather::Weather;
use crate::{accord, discovery, ops, origin, peers, servers};

/// Inputs that wait for the node; who brings more waits in turn.
const QUEUE: usize = 1024;
/// After SIGTERM new connections come for 0.4 s at most; this much longer they are still taken.
const KEEP_ACCEPTING: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and 0.7 s more; a longer one counts as this.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// When connections begin to leave behind their answers, and when those that rest leave too. New ones come for 0.2 s after
/// a drain and for 0.4 s after SIGTERM; a drained node may hold nothing at 4 s that was used since 2 s.
const DRAIN: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(1200));
/// At its end a node has less time: what comes later than 0.7 s after SIGTERM is its own to answer before SIGKILL.
const STOP: (Duration, Duration) = (Duration::from_millis(300), KEEP_ACCEPTING);
/// Where another process accepts what is new already, connections leave at once.
const HAND_OVER: (Duration, Duration) = (Duration::ZERO, Duration::from_millis(650));
/// Between two looks whether a node that shares its listener can serve: until then it accepts nothing.
const READY_LOOK: Duration = Duration::from_millis(5);
/// A node that was given no server is used all the same after this time, when discovery is silent.
const WITHOUT_DISCOVERY: Duration = Duration::from_secs(1);
/// Descriptors for the listener, the peers, discovery, the runtime and the standard streams.
const OWN_DESCRIPTORS: usize = 16;

/// Connections to each server that the node can do with, and to all origins.
const NEEDED: (usize, usize) = (4, 12);
/// The least part of the descriptors that is kept for servers; half of them is the most.
const FOR_SERVERS: (usize, usize) = (3, 8);

/// How many of the descriptors are for servers: as many as those that are known need, but neither may leave the other side
/// without.
fn for_servers(pool: usize, known: usize) -> usize {
    (known * NEEDED.0 + NEEDED.1).clamp((pool * FOR_SERVERS.0 / FOR_SERVERS.1).max(1), (pool / 2).max(1))
}

/// What the one who started a node tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// End: take nothing new soon, answer what was taken.
    Stop,
    /// The lifecycle at the desk took a step that its connections are to follow.
    Lifecycle,
    /// Discovery is at this address from now on.
    Discovery(SocketAddr),
    /// Staff have ordered something of a zone.
    Order(Wish),
    /// Recording goes on or off, where the node has a recorder.
    Record(bool),
}

/// What a node begins with beside its configuration.
pub struct Start<H: Host> {
    /// Where the decision module's events are recorded.
    pub recorder: Option<Recorder>,
    /// The listener for clients, where it is one that other processes hold, too; else one is opened.
    pub listener: Option<H::Listener>,
    /// The other processes of this node, where there can be any.
    pub handover: Option<Handover>,
}

impl<H: Host> Default for Start<H> {
    fn default() -> Self {
        Start { recorder: None, listener: None, handover: None }
    }
}

/// Runs a node until it is told to stop and has answered what it took. What the decision module is told goes to the
/// recorder, where one is given. Must run inside a
/// [`LocalSet`](tokio::task::LocalSet): dropping that ends the node at once, as a kill would.
///
/// # Errors
/// One plain line: an address that cannot be opened, or the end of one of the node's parts.
pub async fn run<H: Host>(
    host: H,
    config: Config,
    desk: Arc<Desk>,
    mut control: mpsc::Receiver<Control>,
    start: Start<H>,
) -> Result<(), String> {
    let clock = Clock::start(&host);
    let Start { mut recorder, listener, handover } = start;
    let shared = listener.is_some();
    let (events, inputs) = mpsc::channel(QUEUE);
    let mut site = config.site;
    let storm = config.operator.storm;
    site.decisions.damping = storm.damping();
    let idle_close = Duration::from_micros(site.idle_close);
    let connect_timeout = Duration::from_micros(site.decisions.connect_timeout);
    let staff = config.ops.map_or(0, |_| ops::descriptors(config.sockets));
    let pool = (config.sockets - OWN_DESCRIPTORS).saturating_sub(staff).max(2);
    let servers = for_servers(pool, config.known.as_ref().map_or(0, |list| list.members.len()));
    let descriptors = pool - servers;
    let limits = servers::Limits {
        balancers: site.decisions.balancers as usize,
        // A request that may have one attempt out must close the connection of one given up, so that no other
        // may be on it.
        multiplex: if site.decisions.may_duplicate { site.multiplex } else { 1 },
        idle_close,
        connect_timeout,
        descriptors: servers * SERVERS.0 / SERVERS.1,
    };
    let peers = match config.peer_listen.filter(|_| site.decisions.may_tell_peers) {
        Some(listen) => {
            peers::Peers::open(host.clone(), listen, shared, config.peers, config.peers_all, events.clone())
                .await
                .map(Some)
                .map_err(|e| format!("cannot open {listen}: {e}"))?
        }
        None => None,
    };
    let aims = site.classes.iter().zip(&site.decisions.classes);
    let aims = aims.map(|(name, c)| format!("{name} {} of {} ms", c.aim / 1000, c.deadline / 1000));
    let aims = format!("aims: {}; {} nodes", aims.collect::<Vec<_>>().join(", "), site.decisions.balancers);
    let teller = if site.decisions.ask_discovery { Teller::Service } else { Teller::Agent };
    let watched = discovery::Wanted { watch: teller == Teller::Agent, calls: 0 };
    let (wanted, wishes) = watch::channel(watched);
    let mut parts = Parts {
        servers: servers::Servers::new(host.clone(), limits, desk.figures.clone(), events.clone()),
        origins: origin::Origins::new(
            host.clone(),
            idle_close,
            connect_timeout,
            servers - servers * SERVERS.0 / SERVERS.1,
            desk.figures.clone(),
            events.clone(),
        ),
        peers,
        wanted,
        desk: desk.clone(),
        staffed: config.ops.is_some(),
        weather: None,
        near: Nearby::new(&config.operator.places, &site, config.seed).map_err(|e| format!("places.{e}"))?,
        accord: None,
        moved: Rc::default(),
        inherited: None,
        hands_over: handover.is_some(),
        recorder: None,
    };
    let members = &config.operator.accord;
    if config.operator.places.on {
        // Set once, by the one node that this desk is of.
        let _ = desk.board.set(Board::new(site.zones.clone(), members.on));
    }
    let moved: Rc<Notify> = parts.moved.clone();
    let (who, zones) = ((site.decisions.me, config.seed), (site.zones.clone(), site.zone));
    let accord = accord::Accord::open(&host, (members, shared), who, zones, events.clone()).await;
    parts.accord = accord.map_err(|e| format!("accord: {e}"))?;
    let (before, successors) = handover.map_or((None, None), |h| (h.before, Some(h.successors)));
    let mut known = config.known;
    if let Some((state, _)) = &before {
        match handover::list(state) {
            Ok(list) => known = Some(list),
            Err(e) => host.log(format_args!("handover: {e}")),
        }
        let policy = postcard::from_bytes(&state.module).ok();
        let warm = if policy.is_some() { "its state" } else { "no state of the module" };
        host.log(format_args!("this process takes over: revision {}, {warm}", state.revision));
        parts.inherited = Some(Inherited { policy, legacy: state.left.legacy.clone() });
    }
    // A list from before is a start: discovery, where many call it, may take seconds to tell what has changed since.
    let origin = site.decisions.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)));
    if known.as_ref().is_some_and(|list| list.names_a_server(origin)) {
        desk.lifecycle.step(Step::Ready);
    }
    let revision = known.as_ref().map(|l| l.revision);
    let listener = match listener {
        Some(listener) => listener,
        None => {
            let listener = listen_with_retry(&host, config.listen).await;
            listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?
        }
    };
    // Only for the log: a node that can't tell where it listens serves all the same.
    let listening = listener.local_addr().unwrap_or(config.listen);
    let retiring = Rc::new(Retiring::default());
    let longest: Micros = site.decisions.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let bounds = Bounds {
        most: descriptors,
        memory: config.memory / 2,
        admission: Door::new(&storm.figures, descriptors),
    };
    let clients = Clients::new(
        host.clone(),
        Grammar { site: site.clone(), keys: config.keys },
        Box::new(move || clock.now()),
        desk.clone(),
        bounds,
        retiring.clone(),
        events.clone(),
    );
    parts.weather = Weather::new(&storm, site.tenants.len(), clients.connections());
    if let Some(recorder) = &mut recorder {
        recorder.born(&config.name, config.seed, &site, clock.now());
    }
    parts.recorder = recorder;
    let ends = events.clone();
    let recorded = parts.recorder.is_some();
    let node = Node::new(host.clone(), site, config.seed, clock, parts);
    let mut node = spawn_local(node.run(known, inputs));
    let (discovery, addresses) = watch::channel(config.discovery);
    spawn_local(discovery::run(host.clone(), teller, addresses, revision, wishes, events));
    let own = OWN_DESCRIPTORS + config.ops.map_or(0, |_| ops::IN_USE);
    let budget = Budget { limit: config.sockets, clients: descriptors, servers, own };
    let side = Side {
        host: host.clone(),
        name: config.name.clone(),
        clients: clients.clone(),
        node: ends.clone(),
        budget,
        successor: Rc::default(),
    };
    if let Some((state, link)) = before {
        spawn_local(side.clone().beside_predecessor(state.left, link));
    }
    if let Some(successors) = successors {
        spawn_local(side.clone().beside_successors(successors));
    }
    let (accepts, waits) = (clients.clone(), desk.clone());
    let accepting = spawn_local(async move {
        while shared && waits.lifecycle.phase() == Phase::Starting {
            sleep(READY_LOOK).await;
        }
        accepts.accept(listener).await;
    });
    let waits = desk.clone();
    spawn_local(async move {
        sleep(WITHOUT_DISCOVERY).await;
        waits.lifecycle.step(Step::Ready);
    });
    host.log(format_args!("{} listens on {listening}", config.name));
    host.log(format_args!("{aims}"));
    let mut drain: Option<AbortHandle> = None;
    loop {
        let told = tokio::select! {
            biased;
            told = control.recv() => told,
            () = moved.notified() => Some(Control::Lifecycle),
            ended = &mut node => return Err(format!("the node ended: {ended:?}")),
        };
        match told {
            Some(Control::Discovery(address)) => {
                let moved = discovery.send_if_modified(|a| std::mem::replace(a, address) != address);
                let what = if moved { "now" } else { "still" };
                host.log(format_args!("configuration read again: discovery is {what} at {address}"));
            }
            // With no recorder there is nobody to tell.
            Some(Control::Record(on)) if recorded => {
                let _ = ends.send(Input::Record(on)).await;
            }
            Some(Control::Record(_)) => {}
            Some(Control::Lifecycle) => {
                let drained = desk.lifecycle.phase() == Phase::Drained;
                if drained && drain.is_none() {
                    drain = Some(retire(&retiring, DRAIN));
                } else if !drained && let Some(drain) = drain.take() {
                    drain.abort();
                    retiring.set(Leaving::None);
                }
            }
            Some(Control::Order(wish)) => {
                let _ = ends.send(Input::Order(wish)).await;
            }
            Some(Control::Stop) | None => break,
        }
    }
    desk.lifecycle.step(Step::Stop);
    host.log(format_args!("stopping"));
    let kill = Instant::now() + Duration::from_micros(longest) + KEEP_ACCEPTING;
    let counted = Duration::from_micros(longest).min(LONGEST_COUNTED);
    retiring.end_by(Instant::now() + counted + KEEP_ACCEPTING);
    // On a shared listener another process takes what comes, but only where there is one: a node that is simply told to stop
    // would leave in the queue what nobody comes for.
    if shared && side.succeeded() {
        retiring.end_listening(Listening::LeaveRest);
        let _ = ends.send(Input::LeavePeers).await;
        retire(&retiring, HAND_OVER);
        sleep(HAND_OVER.1).await;
    } else {
        retire(&retiring, STOP);
        sleep(KEEP_ACCEPTING).await;
        retiring.end_listening(Listening::TakeRest);
    }
    let _ = timeout_at(kill, accepting).await;
    let all_closed = async {
        while clients.count() > 0 {
            clients.one_closed().await;
        }
    };
    if timeout_at(kill, all_closed).await.is_err() {
        host.log(format_args!("{} client connections still open at the end", clients.count()));
    }
    side.last_word().await;
    if recorded && ends.send(Input::End).await.is_ok() {
        // It writes the record's last entry and is gone.
        let _ = node.await;
    }
    Ok(())
}

/// Lets the connections of clients go, first behind their answers, then all that rest.
fn retire(retiring: &Rc<Retiring>, (answered, resting): (Duration, Duration)) -> AbortHandle {
    let retiring = retiring.clone();
    let task = spawn_local(async move {
        sleep(answered).await;
        // A drain may have come further: the end of the node takes nothing back.
        retiring.set(retiring.leaving().max(Leaving::Answered));
        sleep(resting.saturating_sub(answered)).await;
        retiring.set(Leaving::Resting);
    });
    task.abort_handle()
}
