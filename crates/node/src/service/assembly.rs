//! The parts of a node, put together and started.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::{Micros, Policy};
use mothpier_host::opening::listen_with_retry;
use mothpier_host::{Host, Listener};
use mothpier_ops::{LifecycleEvent, OpsEndpoint, Phase, ZoneStatusBoard};
use mothpier_storm::ConnectionAdmission;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::StartOptions;
use crate::clients::{Bounds, Clients, Grammar, Retiring};
use crate::config::Config;
use crate::discovery::DiscoveryKind;
use crate::handover::{self, Budget, Side};
use crate::input::Input;
use crate::locality::LocalityController;
use crate::node::{Clock, Components, Node, ResumedState, cache_server_descriptors};
use crate::storm_monitor::StormMonitor;
use crate::{agreement, discovery, ops, origin, peers, servers};

/// Inputs that wait for the node; who brings more waits in turn.
const QUEUE: usize = 1024;
/// Between two looks whether a node that shares its listener can serve: until then it accepts nothing.
const READY_LOOK: Duration = Duration::from_millis(5);
/// A node that was given no server is used all the same after this time, when discovery is silent.
const WITHOUT_DISCOVERY: Duration = Duration::from_secs(1);
/// Descriptors for the listener, the peers, discovery, the runtime and the standard streams.
const OWN_DESCRIPTORS: usize = 16;

/// Connections to each cache server that the node can do with.
const FOR_EACH_SERVER: usize = 4;
/// The same for all origins together.
const FOR_ORIGINS: usize = 12;

/// How many of the descriptors are for servers: as many as those that are known need, but neither may leave the other side
/// without. Three eighths is the least, and half of them the most.
fn for_servers(pool: usize, known: usize) -> usize {
    let (least, most) = ((pool * 3 / 8).max(1), (pool / 2).max(1));
    (known * FOR_EACH_SERVER + FOR_ORIGINS).clamp(least, most)
}

/// A node that runs.
pub(super) struct Running<H: Host> {
    pub(super) host: H,
    pub(super) desk: Arc<OpsEndpoint>,
    pub(super) clients: Rc<Clients<H>>,
    pub(super) retiring: Rc<Retiring>,
    /// What its other processes are told.
    pub(super) side: Side<H>,
    /// Where the node's own part hears of everything.
    pub(super) events: mpsc::Sender<Input>,
    pub(super) node: JoinHandle<()>,
    pub(super) accepting: JoinHandle<()>,
    /// Where discovery is.
    pub(super) discovery: watch::Sender<SocketAddr>,
    /// Told where the lifecycle has taken a step by itself.
    pub(super) moved: Rc<Notify>,
    /// Whether other processes hold its listener, too.
    pub(super) shared: bool,
    /// Whether what the decision module is told is recorded.
    pub(super) recorded: bool,
    /// No request lives longer.
    pub(super) longest_deadline: Duration,
}

/// Starts all parts of a node.
///
/// # Errors
/// One plain line: an address that cannot be opened.
pub(super) async fn assemble<H: Host>(
    host: H,
    config: Config,
    desk: Arc<OpsEndpoint>,
    start: StartOptions<H>,
) -> Result<Running<H>, String> {
    let mut clock = Clock::start(&host);
    let StartOptions { mut recorder, listener, handover } = start;
    let shared = listener.is_some();
    let (events, inputs) = mpsc::channel(QUEUE);
    let mut site = config.site;
    let storm = config.operator.storm;
    site.policy.storm_mitigation = storm.damping();
    let idle_close = Duration::from_micros(site.server_idle_timeout);
    let connect_timeout = Duration::from_micros(site.policy.connect_timeout);
    let staff = config.ops_listen.map_or(0, |_| ops::reserved_descriptors(config.max_descriptors));
    let pool = (config.max_descriptors - OWN_DESCRIPTORS).saturating_sub(staff).max(2);
    let servers = for_servers(pool, config.cached_list.as_ref().map_or(0, |list| list.members.len()));
    let descriptors = pool - servers;
    let limits = servers::Limits {
        node_count: site.policy.node_count as usize,
        // A request that may have one attempt out must close the connection of one given up, so that no other
        // may be on it.
        attempts_per_connection: if site.policy.may_duplicate { site.attempts_per_connection } else { 1 },
        idle_close,
        connect_timeout,
        max_connections: cache_server_descriptors(servers),
    };
    let peers = match config.peer_listen.filter(|_| site.policy.may_send_to_peers) {
        Some(listen) => peers::Peers::open(
            host.clone(),
            listen,
            shared,
            config.peers,
            config.peer_broadcast,
            events.clone(),
        )
        .await
        .map(Some)
        .map_err(|e| format!("cannot open {listen}: {e}"))?,
        None => None,
    };
    let aims = site.class_names.iter().zip(&site.policy.classes);
    let aims =
        aims.map(|(name, c)| format!("{name} {} of {} ms", c.target_latency / 1000, c.deadline / 1000));
    let aims = format!("aims: {}; {} nodes", aims.collect::<Vec<_>>().join(", "), site.policy.node_count);
    let teller =
        if site.policy.subscribes_to_discovery { DiscoveryKind::Service } else { DiscoveryKind::Agent };
    let watched = discovery::Subscription { watch: teller == DiscoveryKind::Agent, requested_calls: 0 };
    let (wanted, wishes) = watch::channel(watched);
    let mut parts = Components {
        servers: servers::Servers::new(host.clone(), limits, desk.metrics.clone(), events.clone()),
        origins: origin::Origins::new(
            host.clone(),
            idle_close,
            connect_timeout,
            servers - cache_server_descriptors(servers),
            desk.metrics.clone(),
            events.clone(),
        ),
        peers,
        subscription: wanted,
        ops_endpoint: desk.clone(),
        has_ops_address: config.ops_listen.is_some(),
        storm_monitor: None,
        locality: LocalityController::new(&config.operator.places, &site, config.seed)
            .map_err(|e| format!("places.{e}"))?,
        agreement: None,
        lifecycle_changed: Rc::default(),
        predecessor: None,
        supports_handover: handover.is_some(),
        recorder: None,
    };
    let members = &config.operator.agreement;
    if config.operator.places.on {
        // Set once, by the one node that this desk is of.
        let _ = desk.zone_status.set(ZoneStatusBoard::new(site.zone_names.clone(), members.on));
    }
    let moved: Rc<Notify> = parts.lifecycle_changed.clone();
    let (who, zones) = ((site.policy.node_index, config.seed), (site.zone_names.clone(), site.zone));
    let accord = agreement::Agreement::open(&host, (members, shared), who, zones, events.clone()).await;
    parts.agreement = accord.map_err(|e| format!("accord: {e}"))?;
    let (before, successors) = handover.map_or((None, None), |h| (h.predecessor, Some(h.successors)));
    let mut known = config.cached_list;
    if let Some((state, _)) = &before {
        match handover::decode_list(state) {
            Ok(list) => known = Some(list),
            Err(e) => host.log(format_args!("handover: {e}")),
        }
        let policy: Option<Policy> = postcard::from_bytes(&state.module_state).ok();
        if let Some(policy) = &policy {
            clock = clock.continued_from(policy.now());
        }
        let warm = if policy.is_some() { "its state" } else { "no state of the module" };
        host.log(format_args!("this process takes over: revision {}, {warm}", state.list_revision));
        parts.predecessor = Some(ResumedState { policy, inherited: state.remaining.inherited.clone() });
    }
    // A list from before is a start: discovery, where many call it, may take seconds to tell what has changed since.
    let origin =
        site.policy.origin_machine_type.and_then(|kind| site.machine_type_names.get(usize::from(kind)));
    if known.as_ref().is_some_and(|list| list.has_ready_cache_server(origin)) {
        desk.lifecycle.apply(LifecycleEvent::Ready);
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
    let longest: Micros = site.policy.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let longest_deadline = Duration::from_micros(longest);
    let bounds = Bounds {
        most: descriptors,
        memory: config.memory_bytes / 2,
        admission: ConnectionAdmission::new(&storm.tuning, descriptors),
    };
    let clients = Clients::new(
        host.clone(),
        Grammar { site: site.clone(), keys: config.key_hasher },
        Box::new(move || clock.now()),
        desk.clone(),
        bounds,
        retiring.clone(),
        events.clone(),
    );
    parts.storm_monitor = StormMonitor::new(&storm, site.tenant_names.len(), clients.connections());
    if let Some(recorder) = &mut recorder {
        recorder.born(&config.name, config.seed, &site, clock.now());
    }
    parts.recorder = recorder;
    let ends = events.clone();
    let recorded = parts.recorder.is_some();
    let node = Node::new(host.clone(), site, config.seed, clock, parts);
    let node = spawn_local(node.run(known, inputs));
    let (discovery, addresses) = watch::channel(config.discovery);
    spawn_local(discovery::run(host.clone(), teller, addresses, revision, wishes, events));
    let own = OWN_DESCRIPTORS + config.ops_listen.map_or(0, |_| ops::IDLE_DESCRIPTORS);
    let budget = Budget { limit: config.max_descriptors, clients: descriptors, servers, own };
    let side = Side {
        host: host.clone(),
        name: config.name.clone(),
        clients: clients.clone(),
        node: ends.clone(),
        budget,
        successor: Rc::default(),
        successor_ended: Rc::default(),
        longest_deadline,
    };
    if let Some((state, link)) = before {
        spawn_local(side.clone().beside_predecessor(state.remaining, link));
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
        waits.lifecycle.apply(LifecycleEvent::Ready);
    });
    host.log(format_args!("{} listens on {listening}", config.name));
    host.log(format_args!("{aims}"));
    Ok(Running {
        host,
        desk,
        clients,
        retiring,
        side,
        events: ends,
        node,
        accepting,
        discovery,
        moved,
        shared,
        recorded,
        longest_deadline,
    })
}
