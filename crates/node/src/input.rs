//! What comes to the node from its other parts. They know this module, not the node nor each other.

use std::time::Duration;

use brassrouter::{InheritedState, Request, RequestId, ServerId};
use mothpier_accord::{MemberId, Message};
use mothpier_handover::PredecessorState;
use mothpier_plan::ZoneOrder;
use tokio::sync::oneshot;

use crate::command::{AttemptId, Command, Reply};
use crate::discovery::ServerList;
use crate::{origin, servers};

/// What comes to the node from its other parts.
pub enum Input {
    Client(ClientEvent),
    Server {
        server: ServerId,
        connection: u64,
        event: servers::ConnectionEvent,
    },
    Origin {
        attempt: AttemptId,
        ended: origin::Ended,
    },
    Discovery(Heard),
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
    /// A member of the accord has told something.
    Member {
        from: MemberId,
        message: Message,
    },
    /// This process has the accord's address from now on.
    Joins,
    /// Staff have ordered something of a zone.
    ZoneOrder(ZoneOrder),
    /// The caps are divided into so many equal parts, of which one is this process': as many as processes are this node, and more
    /// while some belong to processes that have died.
    ProcessCount(u32),
    /// So many connections to servers may be open.
    ServerDescriptorLimit(usize),
    /// The list as another process of this node has been told.
    ListFromPredecessor(ServerList),
    /// What another process of this node has left behind.
    Inherited(InheritedState),
    /// A process that shared the caps has ended; what it had out at the origin is over after this time at the latest. Its part
    /// belongs to it until then.
    ProcessEnded {
        origin_calls_end_within: Duration,
    },
    /// What would be left behind, and with `whole` all that is known.
    TakeSnapshot {
        full: bool,
        reply: oneshot::Sender<PredecessorState>,
    },
    /// Another process of this node hears its peers from now on.
    ReleasePeerAddresses,
    /// Another process of this node does its work from now on and needs the descriptors: connections to servers are closed as
    /// soon as they carry nothing.
    CloseIdleConnections,
    /// Recording goes on or off.
    SetRecording(bool),
    /// The node ends in order: all that was taken is answered.
    Shutdown,
}

/// What clients tell the node.
pub enum ClientEvent {
    Request {
        request: Request,
        /// The connection that it came on.
        connection: u64,
        command: Box<Command>,
        reply: oneshot::Sender<Reply>,
    },
    Disconnected(RequestId),
}

/// What the node is told of the list.
pub enum Heard {
    List(ServerList),
    /// A call failed, or the watch broke.
    Failed,
}
