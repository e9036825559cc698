//! Connections of clients: the listener and RESP2. Replies are written in the order of the commands on a connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Micros, RequestId};
use mothpier_host::{Host, Stream};
use mothpier_ops::{HeldBytes, MemoryUse, OpsEndpoint};
use mothpier_storm::ConnectionAdmission;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::Instant;

use crate::command::RequestIds;
use crate::discarding::DiscardRate;
use crate::event_log::EventLog;
use crate::forwarded_ids::ForwardedIds;
use crate::input::{Input, NewRequest};
use crate::keys::KeyHasher;
use crate::memory::{MemoryBudget, OtherProcess, SharedMemory};
use crate::memory_shortage::RetryingStream;

mod accepting;
mod connection_state;
mod eviction;
mod executing;
mod inbox;
mod input_state;
mod large_values;
mod parsing;
mod pending_replies;
mod reading;
mod retirement;
mod retirement_control;
mod retirement_log;
mod serving;
mod session;
mod timing;
mod turns;
mod work;
mod writing;

use connection_state::ConnectionEntry;
pub use parsing::ParserConfig;
pub use retirement::RetirementPlan;
pub use retirement_control::{AcceptMode, RetirementControl};
use turns::TurnQueue;

/// The write half of a client's connection.
type ClientWriting<H> = RetryingStream<<<H as Host>::Stream as Stream>::Writing>;

/// The connection limit divided by this is the number of connections that may be turned away at the same time; while
/// there are that many, no other is accepted.
const TURNED_AWAY_DIVISOR: usize = 8;

/// Limits of what clients may use.
pub struct ClientLimits {
    /// Limit of open connections.
    pub max_connections: usize,
    /// Memory for open requests.
    pub memory: Rc<MemoryBudget>,
    /// Admission control of new connections.
    pub admission: ConnectionAdmission,
}

/// What connects clients with the node.
pub struct NodeHandle {
    /// What the node handles before new requests.
    pub events: mpsc::Sender<Input>,
    /// New requests.
    pub requests: mpsc::Sender<NewRequest>,
    /// Ids of forwarded requests that must not run twice.
    pub forwarded_ids: Rc<ForwardedIds>,
}

/// State shared by all client connections.
pub struct Clients<H> {
    host: H,
    settings: DeploymentSettings,
    now: Box<dyn Fn() -> Micros>,
    ops_endpoint: Arc<OpsEndpoint>,
    next_request: Cell<RequestId>,
    open_ids: RequestIds,
    forwarded_ids: Rc<ForwardedIds>,
    memory: Rc<MemoryBudget>,
    max_connections: Cell<usize>,
    key_hasher: KeyHasher,
    admission: RefCell<ConnectionAdmission>,
    /// The turns of connections at having their commands executed.
    turns: TurnQueue,
    /// The rate at which connections discard what they do not read.
    discard_rate: DiscardRate,
    /// Open connections that have not sent a complete command yet.
    newcomers: Rc<Cell<usize>>,
    turn_away_permits: Arc<Semaphore>,
    started_at: Instant,
    retirement: Rc<RetirementControl>,
    /// Connections since the start.
    total_connections: Rc<Cell<u64>>,
    events: mpsc::Sender<Input>,
    requests: mpsc::Sender<NewRequest>,
    log: EventLog<H>,
    open_connections: RefCell<BTreeMap<u64, ConnectionEntry>>,
    connection_closed: Notify,
}

impl<H: Host> Clients<H> {
    pub fn new(
        host: H,
        parser_config: ParserConfig,
        now: Box<dyn Fn() -> Micros>,
        ops_endpoint: Arc<OpsEndpoint>,
        limits: ClientLimits,
        retirement: Rc<RetirementControl>,
        node: NodeHandle,
    ) -> Rc<Self> {
        let NodeHandle { events, requests, forwarded_ids } = node;
        Rc::new(Clients {
            log: EventLog::new(host.clone()),
            host,
            settings: parser_config.settings,
            key_hasher: parser_config.key_hasher,
            now,
            ops_endpoint,
            next_request: Cell::new(1),
            open_ids: RequestIds::default(),
            forwarded_ids,
            memory: limits.memory,
            max_connections: Cell::new(limits.max_connections),
            admission: RefCell::new(limits.admission),
            turns: TurnQueue::default(),
            discard_rate: DiscardRate::default(),
            newcomers: Rc::default(),
            turn_away_permits: Arc::new(Semaphore::new(
                (limits.max_connections / TURNED_AWAY_DIVISOR).max(1),
            )),
            started_at: Instant::now(),
            retirement,
            total_connections: Rc::default(),
            events,
            requests,
            open_connections: RefCell::default(),
            connection_closed: Notify::new(),
        })
    }

    /// Ids of forwarded requests that must not run twice.
    pub(crate) fn forwarded_ids(&self) -> &ForwardedIds {
        &self.forwarded_ids
    }

    /// A shared counter of the connections since the start.
    pub fn total_connections(&self) -> Rc<Cell<u64>> {
        self.total_connections.clone()
    }

    /// Counts bytes as held until the result is dropped.
    fn hold(&self, use_: MemoryUse, bytes: usize) -> HeldBytes {
        HeldBytes::new(&self.ops_endpoint.metrics.memory, use_, bytes)
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open_connections.borrow().len()
    }

    /// Sets the limit of open connections. Those beyond it stay open, and none is accepted until there are fewer.
    pub fn set_max_connections(&self, limit: usize) {
        self.max_connections.set(limit);
    }

    /// Shares the memory with another process of this node.
    pub fn share_memory(&self, other: OtherProcess) -> SharedMemory {
        self.memory.share_with(other)
    }

    /// Waits until a connection has closed.
    pub async fn wait_for_close(&self) {
        self.connection_closed.notified().await;
    }
}
