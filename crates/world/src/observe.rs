//! Events that the stubs observe: the only input of the rules.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::agreement::ReportedPlan;
use crate::system_calls::SystemCall;
use crate::values::Value;

/// Identifies a request of a client; each retry has its own.
pub type RequestId = u64;
/// Index of a cache server (or the origin) among all that ever existed.
pub type ServerIndex = usize;
/// Index of a node.
pub type NodeIndex = usize;

/// How a cache server or the origin finished an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It returned this value or receipt.
    Value(Value),
    /// It holds nothing for the key.
    Miss,
    /// It rejected the attempt without running it.
    Busy,
    /// It failed after the attempt may have run.
    Failed,
    /// It closed without a response; the attempt may have run if it had started.
    Dropped {
        /// Whether the attempt had started.
        started: bool,
    },
}

/// A final reply as a client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value.
    Value(Value),
    /// `-BUSY`, with its number of milliseconds; 0 for none.
    Busy(u64),
    /// Any other error.
    Failed,
}

/// State of a cache server in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Running.
    Ready,
    /// Finishing what it has.
    Draining,
    /// Gone.
    Gone,
}

/// An event that a stub observed or caused.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservedEvent {
    /// A client wrote a whole command to a connection that the node's machine had accepted.
    RequestSent {
        /// The request.
        request: RequestId,
        /// The first try of the request: itself, or the one that it retries.
        first_try: RequestId,
        /// The node.
        node: NodeIndex,
        /// Its class, by index in the scenario.
        class: usize,
        /// Its tenant, by index in the scenario.
        tenant: usize,
        /// The requested key.
        key: u64,
        /// How long the client waits.
        timeout: Duration,
    },
    /// A client read a whole reply.
    ReplyReceived {
        /// The request.
        request: RequestId,
        /// The reply.
        reply: Reply,
        /// Whether the client deliberately waited before it read.
        slow_reader: bool,
    },
    /// Discovery lists a new state of a cache server from now on.
    Listed {
        /// The cache server.
        server: ServerIndex,
        /// Its state.
        phase: Phase,
    },
    /// Discovery became reachable and up to date, or stopped being so.
    DiscoveryHealth {
        /// The state from now on.
        healthy: bool,
    },
    /// A client with a connection of its own has connected.
    ClientConnected {
        /// The node.
        node: NodeIndex,
    },
    /// Bytes arrived on a connection without pending requests.
    UnsolicitedReply {
        /// The node.
        node: NodeIndex,
    },
    /// A reply could not be parsed.
    MalformedReply {
        /// The request.
        request: RequestId,
    },
    /// The connection ended without a whole reply.
    ConnectionLost {
        /// The request.
        request: RequestId,
        /// When the connection attempt started, since the start of the run.
        connect_started: Duration,
    },
    /// A value ended before it was complete, in a way that the client could notice.
    TruncatedReply {
        /// The request.
        request: RequestId,
    },
    /// A drained node holds connections for longer than it may.
    ConnectionsAfterDrain {
        /// The node.
        node: NodeIndex,
        /// Connections without pending requests.
        idle: usize,
        /// Connections with a request from the last two seconds.
        recent: usize,
    },
    /// A process that was asked to stop had not exited when it could be killed.
    StopOverdue {
        /// The node.
        node: NodeIndex,
    },
    /// A connection without a finished command was neither answered nor closed in time.
    StalledConnectionKept {
        /// The node.
        node: NodeIndex,
        /// When it was established, since the start of the run.
        connected_at: Duration,
    },
    /// The node closed an idle connection while the request was under way: it was not read, and is sent
    /// again.
    RacedWithClose {
        /// The request.
        request: RequestId,
    },
    /// The client closed its connection, at its time-out or, if `early`, before it.
    ClientLeft {
        /// The request.
        request: RequestId,
        /// Whether it left before its time-out.
        early: bool,
    },
    /// A cache server or the origin received the last byte of an attempt.
    AttemptArrived {
        /// The cache server or the origin.
        server: ServerIndex,
        /// The node that sent it.
        node: NodeIndex,
        /// The request.
        request: RequestId,
        /// Whether it is a write.
        is_write: bool,
        /// Its work, in milliseconds of a core of speed 1.
        work: f64,
        /// At the origin: other calls of this node that are running or queued there, including those that the
        /// node has given up or that an earlier incarnation of it started; 0 at cache servers.
        running: u32,
        /// When the last byte reached the machine, since the start of the run. A server that is busy with a
        /// response may read it long after.
        received_at: Duration,
        /// When the remaining time that it carries ends, counted from `received_at`; since the start of the
        /// run.
        deadline: Duration,
    },
    /// The connection of an attempt ended before its response.
    AttemptAbandoned {
        /// The cache server or the origin.
        server: ServerIndex,
        /// The node.
        node: NodeIndex,
        /// The request.
        request: RequestId,
    },
    /// A cache server or the origin finished an attempt.
    AttemptEnded {
        /// The cache server or the origin.
        server: ServerIndex,
        /// The node that sent it.
        node: NodeIndex,
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// The origin carried out a write.
    WriteExecuted {
        /// The request.
        request: RequestId,
        /// Its idempotency key.
        idempotency_key: u64,
        /// The key whose value has changed.
        key: u64,
    },
    /// The origin dropped a retry of a write with an idempotency key.
    DuplicateWriteDropped {
        /// The request.
        request: RequestId,
    },
    /// Discovery wrote a list, or changes of it, to a node.
    ListSent {
        /// The node.
        node: NodeIndex,
        /// Revision of the list.
        revision: u64,
        /// Whether it is the full list: servers that are missing in it are gone.
        full: bool,
        /// The cache servers with their state and the start time that the list gives.
        servers: Vec<(ServerIndex, Phase, u64)>,
    },
    /// A cache server started.
    CacheServerStarted {
        /// The cache server.
        server: ServerIndex,
        /// Its start time as the list gives it; 0 for long ago.
        started_ms: u64,
        /// Its capacity when warm, in milliseconds of a core of speed 1 per millisecond.
        capacity: f64,
        /// Whether its cache is cold.
        cold: bool,
    },
    /// A cache server became unreachable (it ended, or its machine was cut off) or reachable again.
    ReachabilityChanged {
        /// The cache server.
        server: ServerIndex,
        /// Whether it is unreachable now.
        unreachable: bool,
    },
    /// A wave of connections that finish no command begins or ends; meanwhile connections wait before nodes
    /// accept them.
    ConnectionPressure {
        /// Whether it begins.
        begins: bool,
    },
    /// A cache server ended: a response that it was writing is truncated.
    CacheServerEnded {
        /// The cache server.
        server: ServerIndex,
    },
    /// A cold cache server collapsed under its load.
    CacheServerCollapsed {
        /// The cache server.
        server: ServerIndex,
    },
    /// A node started.
    NodeStarted {
        /// The node.
        node: NodeIndex,
    },
    /// A node was asked to stop.
    NodeStopping {
        /// The node.
        node: NodeIndex,
    },
    /// A node was killed, or exited after it was asked to stop.
    NodeEnded {
        /// The node.
        node: NodeIndex,
        /// Whether it had been asked to stop before.
        planned: bool,
    },
    /// How many sockets a node has open.
    OpenSockets {
        /// The node.
        node: NodeIndex,
        /// The number of sockets.
        count: usize,
    },
    /// A fault begins or ends.
    Fault(String),
    /// A node applies a plan of zones, according to its log.
    PlanAdopted {
        /// The node.
        node: NodeIndex,
        /// The plan.
        plan: ReportedPlan,
    },
    /// A node became leader, or stopped being it, according to its log.
    LeadershipChanged {
        /// The node.
        node: NodeIndex,
        /// Whether it leads now.
        leads: bool,
    },
    /// A node with failing system calls became ready after its start, or did not within the observed time.
    StartupChecked {
        /// The node.
        node: NodeIndex,
        /// Time since its start.
        elapsed: Duration,
        /// Whether it is ready and listens.
        ready: bool,
    },
    /// A failing system call is retried in a loop without a pause.
    BusyLoop {
        /// The node.
        node: NodeIndex,
        /// The call.
        call: SystemCall,
    },
    /// A cache server sent a response a second time.
    DuplicateResponse {
        /// The cache server.
        server: ServerIndex,
        /// The node.
        node: NodeIndex,
        /// The request whose attempt it had answered; `None` for a command that was no attempt.
        request: Option<RequestId>,
        /// Commands on the connection that are received and not answered: the node may take this response for
        /// that of the first of them.
        pending: usize,
    },
}

/// An event and when it was observed.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When, since the start of the run.
    pub at: Duration,
    /// The event.
    pub event: ObservedEvent,
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:10.3} ms {:?}", self.at.as_secs_f64() * 1e3, self.event)
    }
}

type Sink = Box<dyn FnMut(&Observation)>;

/// Receives the events of the stubs and passes them on to its subscribers; clones share the same state.
#[derive(Clone)]
pub struct Observer {
    started_at: Instant,
    subscribers: Rc<RefCell<Vec<Sink>>>,
}

impl Observer {
    /// An observer whose clock starts now.
    pub fn starting_now() -> Observer {
        Observer { started_at: Instant::now(), subscribers: Rc::default() }
    }

    /// Passes all events from now on to `sink` as well, which must not record events itself.
    pub fn subscribe(&self, sink: impl FnMut(&Observation) + 'static) {
        self.subscribers.borrow_mut().push(Box::new(sink));
    }

    /// Records an event.
    pub fn record(&self, event: ObservedEvent) {
        let observation = Observation { at: self.started_at.elapsed(), event };
        self.subscribers.borrow_mut().iter_mut().for_each(|sink| sink(&observation));
    }

    /// The time from the start of the run to `moment`.
    pub fn since_start(&self, moment: Instant) -> Duration {
        moment.duration_since(self.started_at)
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// When the run started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }
}
