//! The listener and RESP2 from clients. Answers go out in the order of the commands on a connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Micros, RequestId};
use mothpier_host::{Host, Stream};
use mothpier_ops::OpsEndpoint;
use mothpier_storm::ConnectionAdmission;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

use crate::command::RequestIds;
use crate::event_log::EventLog;
use crate::input::Input;
use crate::keys::KeyHasher;
use crate::memory_shortage::RetryingStream;

mod answers;
mod eviction;
mod grammar;
mod inbox;
mod listening;
mod owed;
mod reading;
mod retirement;
mod retiring;
mod serving;
mod session;
mod shown;
mod state;
mod timing;
mod watching;

pub use grammar::Grammar;
pub use retirement::Plan;
pub use retiring::{Listening, Retiring};
use shown::Entry;

/// The half of a client's connection that is written to.
type ClientWriting<H> = RetryingStream<<<H as Host>::Stream as Stream>::Writing>;

/// Connections that are being told to come back at once, as a part of all that there may be; while there are so many no
/// other is accepted.
const TURNED_AWAY: usize = 8;

/// What clients may take of the node.
pub struct Bounds {
    /// Connections open.
    pub most: usize,
    /// Bytes of open requests.
    pub memory: usize,
    /// How connections are let in.
    pub admission: ConnectionAdmission,
}

/// What all client connections share.
pub struct Clients<H> {
    host: H,
    site: DeploymentSettings,
    now: Box<dyn Fn() -> Micros>,
    desk: Arc<OpsEndpoint>,
    next_request: Cell<RequestId>,
    ids: RequestIds,
    /// Permits of a KB.
    memory: Arc<Semaphore>,
    memory_kb: usize,
    most: Cell<usize>,
    keys: KeyHasher,
    admission: RefCell<ConnectionAdmission>,
    /// Open connections that have not sent a whole command yet.
    newcomers: Rc<Cell<usize>>,
    turning_away: Arc<Semaphore>,
    began: Instant,
    retiring: Rc<Retiring>,
    /// Connections since the start.
    connections: Rc<Cell<u64>>,
    events: mpsc::Sender<Input>,
    log: EventLog<H>,
    open: RefCell<BTreeMap<u64, Entry>>,
    closed: Notify,
}

impl<H: Host> Clients<H> {
    pub fn new(
        host: H,
        grammar: Grammar,
        now: Box<dyn Fn() -> Micros>,
        desk: Arc<OpsEndpoint>,
        bounds: Bounds,
        retiring: Rc<Retiring>,
        events: mpsc::Sender<Input>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            log: EventLog::new(host.clone()),
            host,
            site: grammar.site,
            keys: grammar.keys,
            now,
            desk,
            next_request: Cell::new(1),
            ids: RequestIds::default(),
            memory: Arc::new(Semaphore::new(bounds.memory / 1024)),
            memory_kb: bounds.memory / 1024,
            most: Cell::new(bounds.most),
            admission: RefCell::new(bounds.admission),
            newcomers: Rc::default(),
            turning_away: Arc::new(Semaphore::new((bounds.most / TURNED_AWAY).max(1))),
            began: Instant::now(),
            retiring,
            connections: Rc::default(),
            events,
            open: RefCell::default(),
            closed: Notify::new(),
        })
    }

    /// How many connections there have been since the start, as it goes on counting.
    pub fn connections(&self) -> Rc<Cell<u64>> {
        self.connections.clone()
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// So many connections may be open from now on. Those beyond stay, and none is accepted until they are fewer.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
    }

    /// Holds half of the memory for requests, or what is left of that half, for another process of this node.
    pub fn reserve_half(&self) -> Option<OwnedSemaphorePermit> {
        let half = (self.memory_kb / 2).min(self.memory.available_permits());
        self.memory.clone().try_acquire_many_owned(half as u32).ok()
    }

    /// Waits until a connection has closed.
    pub async fn one_closed(&self) {
        self.closed.notified().await;
    }
}
