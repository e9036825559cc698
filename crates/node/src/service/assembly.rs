//! Assembles and starts the components of a node.

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
use crate::clients::{ClientLimits, Clients, NodeHandle, ParserConfig, RetirementControl};
use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::DiscoveryKind;
use crate::handover::{self, DescriptorBudget, HandoverParticipant};
use crate::input::{Input, InputQueues};
use crate::locality::LocalityController;
use crate::memory::MemoryBudget;
use crate::node::{Components, Node, ResumedState, cache_server_descriptors};
use crate::storm_monitor::StormMonitor;
use crate::{agreement, discovery, ops, origin, peers, servers};

/// Interval of the readiness check of a node with a shared listener: until it is ready it accepts nothing.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A node that has received no server list becomes ready after this time, when discovery does not respond.
const READY_WITHOUT_DISCOVERY_AFTER: Duration = Duration::from_secs(1);
/// Descriptors for the listener, the peers, discovery, the runtime and the standard streams.
const RESERVED_DESCRIPTORS: usize = 16;

/// Connections that the node needs to each cache server.
const CONNECTIONS_PER_SERVER: usize = 4;
/// Connections that the node needs to all origins together.
const ORIGIN_CONNECTIONS: usize = 12;

/// Number of descriptors for connections to servers: what the known servers need, but between three eighths and one half,
/// so that enough are left for clients.
fn server_descriptors(pool: usize, known: usize) -> usize {
    let (least, most) = ((pool * 3 / 8).max(1), (pool / 2).max(1));
    (known * CONNECTIONS_PER_SERVER + ORIGIN_CONNECTIONS).clamp(least, most)
}

/// A running node.
pub(super) struct RunningNode<H: Host> {
    pub(super) host: H,
    pub(super) ops_endpoint: Arc<OpsEndpoint>,
    pub(super) clients: Rc<Clients<H>>,
    pub(super) retirement: Rc<RetirementControl>,
    /// This process in a handover.
    pub(super) handover: HandoverParticipant<H>,
    /// The input of the node's own task.
    pub(super) events: mpsc::Sender<Input>,
    pub(super) node: JoinHandle<()>,
    pub(super) accepting: JoinHandle<()>,
    /// The address of discovery.
    pub(super) discovery_address: watch::Sender<SocketAddr>,
    /// Notified when the lifecycle has changed by itself.
    pub(super) lifecycle_changed: Rc<Notify>,
    /// Whether other processes share its listener.
    pub(super) shares_listener: bool,
    /// Whether the events of the decision module are recorded.
    pub(super) has_recorder: bool,
    /// No request lives longer.
    pub(super) longest_deadline: Duration,
}

/// Starts all components of a node.
///
/// # Errors
/// One line of text: an address that cannot be opened.
pub(super) async fn assemble<H: Host>(
    host: H,
    config: Config,
    ops_endpoint: Arc<OpsEndpoint>,
    start: StartOptions<H>,
) -> Result<RunningNode<H>, String> {
    let mut clock = Clock::start(&host);
    let StartOptions { mut recorder, listener, handover } = start;
    let shares_listener = listener.is_some();
    let (events, requests, queues) = InputQueues::new();
    let mut settings = config.site;
    let storm = config.operator.storm;
    settings.policy.storm_mitigation = storm.damping();
    let idle_close = Duration::from_micros(settings.server_idle_timeout);
    let connect_timeout = Duration::from_micros(settings.policy.connect_timeout);
    let ops_descriptors = config.ops_listen.map_or(0, |_| ops::reserved_descriptors(config.max_descriptors));
    let available = (config.max_descriptors - RESERVED_DESCRIPTORS).saturating_sub(ops_descriptors).max(2);
    let for_servers =
        server_descriptors(available, config.cached_list.as_ref().map_or(0, |list| list.members.len()));
    let client_descriptors = available - for_servers;
    let memory = MemoryBudget::new(config.memory_bytes, ops_endpoint.metrics.memory.clone());
    let limits = servers::Limits {
        node_count: settings.policy.node_count as usize,
        // A request with only one attempt allowed at a time must close the connection of a given-up attempt, so no other
        // command may be on it.
        attempts_per_connection: if settings.policy.may_duplicate {
            settings.attempts_per_connection
        } else {
            1
        },
        idle_close,
        connect_timeout,
        max_connections: cache_server_descriptors(for_servers),
        memory: memory.clone(),
    };
    let peers = match config.peer_listen.filter(|_| settings.policy.may_send_to_peers) {
        Some(listen) => peers::Peers::open(
            host.clone(),
            listen,
            shares_listener,
            config.peers,
            config.peer_broadcast,
            events.clone(),
        )
        .await
        .map(Some)
        .map_err(|e| format!("cannot open {listen}: {e}"))?,
        None => None,
    };
    let targets = settings.class_names.iter().zip(&settings.policy.classes);
    let targets =
        targets.map(|(name, c)| format!("{name} {} of {} ms", c.target_latency / 1000, c.deadline / 1000));
    let targets = format!(
        "latency targets (of deadlines): {}; {} nodes",
        targets.collect::<Vec<_>>().join(", "),
        settings.policy.node_count
    );
    let discovery_kind =
        if settings.policy.subscribes_to_discovery { DiscoveryKind::Service } else { DiscoveryKind::Agent };
    let initial =
        discovery::Subscription { watch: discovery_kind == DiscoveryKind::Agent, requested_calls: 0 };
    let (subscription, subscriptions) = watch::channel(initial);
    let mut components = Components {
        servers: servers::Servers::new(host.clone(), limits, ops_endpoint.metrics.clone(), events.clone()),
        origins: origin::Origins::new(
            host.clone(),
            idle_close,
            connect_timeout,
            origin::Limits {
                max_connections: for_servers - cache_server_descriptors(for_servers),
                memory: memory.clone(),
            },
            ops_endpoint.metrics.clone(),
            events.clone(),
        ),
        peers,
        subscription,
        forwarded_ids: Rc::default(),
        ops_endpoint: ops_endpoint.clone(),
        has_ops_address: config.ops_listen.is_some(),
        storm_monitor: None,
        locality: LocalityController::new(&config.operator.places, &settings, config.seed)
            .map_err(|e| format!("places.{e}"))?,
        agreement: None,
        lifecycle_changed: Rc::default(),
        predecessor: None,
        supports_handover: handover.is_some(),
        recorder: None,
    };
    let members = &config.operator.agreement;
    if config.operator.places.on {
        // Set only once, by the one node of this operations endpoint.
        let _ = ops_endpoint.zone_status.set(ZoneStatusBoard::new(settings.zone_names.clone(), members.on));
    }
    let lifecycle_changed: Rc<Notify> = components.lifecycle_changed.clone();
    let (identity, zones) =
        ((settings.policy.node_index, config.seed), (settings.zone_names.clone(), settings.zone));
    let agreement =
        agreement::Agreement::open(&host, (members, shares_listener), identity, zones, events.clone()).await;
    components.agreement = agreement.map_err(|e| format!("accord: {e}"))?;
    let (predecessor, successors) = handover.map_or((None, None), |h| (h.predecessor, Some(h.successors)));
    let mut known = config.cached_list;
    if let Some((state, _)) = &predecessor {
        match handover::decode_list(state) {
            Ok(list) => known = Some(list),
            Err(e) => host.log(format_args!("handover: {e}")),
        }
        let policy: Option<Policy> = postcard::from_bytes(&state.module_state).ok();
        if let Some(policy) = &policy {
            clock = clock.continued_from(policy.now());
        }
        let module_state =
            if policy.is_some() { "with the module state" } else { "without the module state" };
        host.log(format_args!(
            "this process takes over: list revision {}, {module_state}",
            state.list_revision
        ));
        components.predecessor = Some(ResumedState { policy, inherited: state.remaining.inherited.clone() });
    }
    // A list from an earlier run is enough to start: discovery under load may take seconds to send the changes since.
    let origin = settings
        .policy
        .origin_machine_type
        .and_then(|kind| settings.machine_type_names.get(usize::from(kind)));
    if known.as_ref().is_some_and(|list| list.has_ready_cache_server(origin)) {
        ops_endpoint.lifecycle.apply(LifecycleEvent::Ready);
    }
    let revision = known.as_ref().map(|l| l.revision);
    let listener = match listener {
        Some(listener) => listener,
        None => {
            let listener = listen_with_retry(&host, config.listen).await;
            listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?
        }
    };
    // Only for the log: a node that can't determine its address serves all the same.
    let address = listener.local_addr().unwrap_or(config.listen);
    let retirement = Rc::new(RetirementControl::default());
    let longest: Micros = settings.policy.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let longest_deadline = Duration::from_micros(longest);
    let client_limits = ClientLimits {
        max_connections: client_descriptors,
        memory,
        admission: ConnectionAdmission::new(&storm.tuning, client_descriptors),
    };
    let clients = Clients::new(
        host.clone(),
        ParserConfig { settings: settings.clone(), key_hasher: config.key_hasher },
        Box::new(move || clock.now()),
        ops_endpoint.clone(),
        client_limits,
        retirement.clone(),
        NodeHandle { events: events.clone(), requests, forwarded_ids: components.forwarded_ids.clone() },
    );
    components.storm_monitor =
        StormMonitor::new(&storm, settings.tenant_names.len(), clients.total_connections());
    if let Some(recorder) = &mut recorder {
        recorder.start(&config.name, config.seed, &settings, clock.now());
    }
    components.recorder = recorder;
    let inputs_sender = events.clone();
    let has_recorder = components.recorder.is_some();
    let node = Node::new(host.clone(), settings, config.seed, clock, components);
    let node = spawn_local(node.run(known, queues));
    let (discovery, addresses) = watch::channel(config.discovery);
    spawn_local(discovery::run(host.clone(), discovery_kind, addresses, revision, subscriptions, events));
    let reserved = RESERVED_DESCRIPTORS + config.ops_listen.map_or(0, |_| ops::IDLE_DESCRIPTORS);
    let budget = DescriptorBudget {
        total: config.max_descriptors,
        clients: client_descriptors,
        servers: for_servers,
        reserved,
    };
    let participant = HandoverParticipant {
        host: host.clone(),
        name: config.name.clone(),
        clients: clients.clone(),
        inputs: inputs_sender.clone(),
        budget,
        successor: Rc::default(),
        successor_ended: Rc::default(),
        longest_deadline,
    };
    if let Some((state, link)) = predecessor {
        spawn_local(participant.clone().run_beside_predecessor(state.remaining, link));
    }
    if let Some(successors) = successors {
        spawn_local(participant.clone().serve_successors(successors));
    }
    let (clients_to_accept, endpoint) = (clients.clone(), ops_endpoint.clone());
    let accepting = spawn_local(async move {
        while shares_listener && endpoint.lifecycle.phase() == Phase::Starting {
            sleep(READY_POLL_INTERVAL).await;
        }
        clients_to_accept.accept(listener).await;
    });
    let endpoint = ops_endpoint.clone();
    spawn_local(async move {
        sleep(READY_WITHOUT_DISCOVERY_AFTER).await;
        endpoint.lifecycle.apply(LifecycleEvent::Ready);
    });
    host.log(format_args!("{} listens on {address}", config.name));
    host.log(format_args!("{targets}"));
    Ok(RunningNode {
        host,
        ops_endpoint,
        clients,
        retirement,
        handover: participant,
        events: inputs_sender,
        node,
        accepting,
        discovery_address: discovery,
        lifecycle_changed,
        shares_listener,
        has_recorder,
        longest_deadline,
    })
}
