//! What the stand-ins see, one thing at a time: all that the rules are judged by.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::agreement::ReportedPlan;
use crate::system_calls::SystemCall;
use crate::values::Value;

/// Numbers a request of a client, a retry having its own.
pub type RequestId = u64;
/// Numbers a box (or the origin) by its place among all that ever were.
pub type ServerIndex = usize;
/// Numbers a node.
pub type NodeIndex = usize;

/// What a box or the origin did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It gave this value or receipt.
    Value(Value),
    /// It holds nothing for the key.
    Miss,
    /// It turned it away unseen.
    Busy,
    /// It failed after it may have run.
    Failed,
    /// It dropped it without an answer; it may have run where it had begun.
    Dropped {
        /// Whether it had begun.
        started: bool,
    },
}

/// A final answer as a client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value, by what it tells.
    Value(Value),
    /// `-BUSY`, with the milliseconds told, 0 for none.
    Busy(u64),
    /// Any other error.
    Failed,
}

/// What a list says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// It runs.
    Ready,
    /// It ends what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// Something that a stand-in saw or did.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservedEvent {
    /// A client's command was written whole to a connection that the node's machine accepted.
    RequestSent {
        /// The request.
        request: RequestId,
        /// The one whose client tries again, or itself.
        first_try: RequestId,
        /// The node.
        node: NodeIndex,
        /// Its class, by its place in the scenario.
        class: usize,
        /// Its tenant.
        tenant: usize,
        /// The key that it asks for.
        key: u64,
        /// For how long the client waits.
        timeout: Duration,
    },
    /// A client read the whole answer.
    ReplyReceived {
        /// The request.
        request: RequestId,
        /// What it said.
        reply: Reply,
        /// Whether the client took its time before it read.
        slow_reader: bool,
    },
    /// Discovery has something about a box from now on.
    Listed {
        /// The box.
        server: ServerIndex,
        /// What it is.
        phase: Phase,
    },
    /// Whether discovery can be reached and tells what it has.
    DiscoveryHealth {
        /// From now on.
        healthy: bool,
    },
    /// A caller has made a connection of its own.
    ClientConnected {
        /// To which node.
        node: NodeIndex,
    },
    /// Something came on a connection on which nothing was owed.
    UnsolicitedReply {
        /// The node.
        node: NodeIndex,
    },
    /// What came can't be read as an answer.
    MalformedReply {
        /// The request.
        request: RequestId,
    },
    /// The connection ended without a whole answer.
    ConnectionLost {
        /// The request.
        request: RequestId,
        /// When its connection was begun, counted from the beginning.
        connect_started: Duration,
    },
    /// A value had begun and ended before it was whole, where the client could tell.
    TruncatedReply {
        /// The request.
        request: RequestId,
    },
    /// A drained node holds connections beyond their time.
    ConnectionsAfterDrain {
        /// The node.
        node: NodeIndex,
        /// Connections on which nothing is open.
        idle: usize,
        /// Connections with a request from the last two seconds.
        recent: usize,
    },
    /// A process that was told to stop had not ended when it might be killed.
    StopOverdue {
        /// The node.
        node: NodeIndex,
    },
    /// A connection on which no command was finished has met neither an answer nor a close in its time.
    StalledConnectionKept {
        /// The node.
        node: NodeIndex,
        /// When it was made, counted from the beginning.
        connected_at: Duration,
    },
    /// The close of an idle connection crossed the request: it was not read, and goes out once more.
    RacedWithClose {
        /// The request.
        request: RequestId,
    },
    /// The client has gone, having waited for as long as it said or, where `early`, for less.
    ClientLeft {
        /// The request.
        request: RequestId,
        /// Whether it went before its time.
        early: bool,
    },
    /// The last byte of an attempt came to a box or the origin.
    AttemptArrived {
        /// Where.
        server: ServerIndex,
        /// From which node.
        node: NodeIndex,
        /// For which request.
        request: RequestId,
        /// Whether it writes.
        is_write: bool,
        /// Its work, in core-milliseconds of speed 1.
        work: f64,
        /// At the origin: calls of this node that are carried out or wait there, those included that it has given up
        /// or that an earlier life of it has left behind; 0 at boxes.
        running: u32,
        /// When that byte reached the machine, counted from the beginning. One that is busy with an answer before it may read it
        /// long after.
        received_at: Duration,
        /// Until when it is waited for by what it tells, counted from the beginning: the time that it tells, from when it came.
        deadline: Duration,
    },
    /// The connection on which an attempt was out ended before its answer.
    AttemptAbandoned {
        /// Where.
        server: ServerIndex,
        /// By which node.
        node: NodeIndex,
        /// For which request.
        request: RequestId,
    },
    /// A box or the origin is done with an attempt.
    AttemptEnded {
        /// Where.
        server: ServerIndex,
        /// From which node it was.
        node: NodeIndex,
        /// For which request.
        request: RequestId,
        /// What it did.
        outcome: AttemptOutcome,
    },
    /// The origin carried a write out.
    WriteExecuted {
        /// The request.
        request: RequestId,
        /// Its idempotency key.
        idempotency_key: u64,
        /// The key that has another value from now on.
        key: u64,
    },
    /// The origin dropped the repeat of a keyed write.
    DuplicateWriteDropped {
        /// The request.
        request: RequestId,
    },
    /// Discovery has written to a node what it has to say of these boxes.
    ListSent {
        /// The node.
        node: NodeIndex,
        /// The version.
        revision: u64,
        /// Whether it is the whole list: what it lacks is gone.
        full: bool,
        /// The boxes: their phase, and which start of theirs the list knows of.
        servers: Vec<(ServerIndex, Phase, u64)>,
    },
    /// A box starts: the number of the start, its cores times their speed, and whether it is cold.
    CacheServerStarted {
        /// The box.
        server: ServerIndex,
        /// The time of the start, as the list gives it.
        started_ms: u64,
        /// What it can do when warm, core-milliseconds of speed 1 a millisecond.
        capacity: f64,
        /// Whether it is cold.
        cold: bool,
    },
    /// A box is no more, or its machine is cut off; `false` when it can be reached again.
    ReachabilityChanged {
        /// The box.
        server: ServerIndex,
        /// Whether it is away.
        unreachable: bool,
    },
    /// A crowd begins, or is over: while there is one, connections wait before nodes accept them.
    ConnectionPressure {
        /// Whether it begins.
        begins: bool,
    },
    /// A box has ended: what it was writing is cut.
    CacheServerEnded {
        /// The box.
        server: ServerIndex,
    },
    /// A cold box was pushed over.
    CacheServerCollapsed {
        /// The box.
        server: ServerIndex,
    },
    /// A node starts.
    NodeStarted {
        /// The node.
        node: NodeIndex,
    },
    /// A node was told to stop.
    NodeStopping {
        /// The node.
        node: NodeIndex,
    },
    /// A node was killed, or ended by itself after it was told to stop.
    NodeEnded {
        /// The node.
        node: NodeIndex,
        /// Whether it had been told to stop before.
        planned: bool,
    },
    /// How many sockets a node has open.
    OpenSockets {
        /// The node.
        node: NodeIndex,
        /// How many.
        count: usize,
    },
    /// A fault begins or ends.
    Fault(String),
    /// A node acts on a plan of zones, as its log tells.
    PlanAdopted {
        /// The node.
        node: NodeIndex,
        /// The plan.
        plan: ReportedPlan,
    },
    /// A node decides on plans from now on, or no longer, as its log tells.
    LeadershipChanged {
        /// The node.
        node: NodeIndex,
        /// Whether it does.
        leads: bool,
    },
    /// A node whose system calls may fail has started, or still has not.
    StartupChecked {
        /// The node.
        node: NodeIndex,
        /// How long its start has taken.
        elapsed: Duration,
        /// Whether it is ready and listens.
        ready: bool,
    },
    /// A failing system call is made again and again, without a pause between.
    BusyLoop {
        /// The node.
        node: NodeIndex,
        /// The call.
        call: SystemCall,
    },
    /// A box answers a command a second time.
    DuplicateResponse {
        /// Which box.
        server: ServerIndex,
        /// To which node.
        node: NodeIndex,
        /// The request whose attempt it has answered before; `None` for a command that was no attempt.
        request: Option<RequestId>,
        /// How many commands of the connection have come and are not answered: the first of them is the one
        /// for whose answer this may be taken.
        pending: usize,
    },
}

/// Something seen, and when, counted from the beginning of the world.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When.
    pub at: Duration,
    /// What.
    pub event: ObservedEvent,
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:10.3} ms {:?}", self.at.as_secs_f64() * 1e3, self.event)
    }
}

type Sink = Box<dyn FnMut(&Observation)>;

/// Where stand-ins report; a clone is the same place.
#[derive(Clone)]
pub struct Observer {
    start: Instant,
    sinks: Rc<RefCell<Vec<Sink>>>,
}

impl Observer {
    /// One whose time begins now.
    pub fn starting_now() -> Observer {
        Observer { start: Instant::now(), sinks: Rc::default() }
    }

    /// Also gives all that is seen from now on to this one. It must not report itself.
    pub fn subscribe(&self, sink: impl FnMut(&Observation) + 'static) {
        self.sinks.borrow_mut().push(Box::new(sink));
    }

    /// Reports something.
    pub fn record(&self, seen: ObservedEvent) {
        let observation = Observation { at: self.start.elapsed(), event: seen };
        self.sinks.borrow_mut().iter_mut().for_each(|sink| sink(&observation));
    }

    /// A moment, counted from the beginning.
    pub fn since_start(&self, moment: Instant) -> Duration {
        moment.duration_since(self.start)
    }

    /// Time since the beginning.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// When it began.
    pub fn started_at(&self) -> Instant {
        self.start
    }
}
