//! Messages to the node from its other parts, and the queues that they wait in. The other parts depend on this module, but
//! not on the node or on each other.

use std::time::Duration;

use brassrouter::{InheritedState, Micros, Request, RequestId, ServerId};
use mothpier_accord::{MemberId, Message};
use mothpier_handover::PredecessorState;
use mothpier_plan::ZoneOrder;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::command::{AttemptId, Command, Delivery};
use crate::discovery::ServerList;
use crate::{origin, servers};

/// Length of the queue of inputs; senders wait while it is full.
const INPUT_QUEUE_LENGTH: usize = 1024;
/// Length of the queue of new requests; the connection whose turn it is waits while it is full.
const REQUEST_QUEUE_LENGTH: usize = 64;
/// After this many inputs in a row a request is taken.
const MAX_INPUTS_IN_A_ROW: usize = 64;

/// The receiving ends of the queues into the node. New requests have a queue of their own: whatever ends a request, or
/// tells of servers, does not wait behind them.
pub struct InputQueues {
    inputs: mpsc::Receiver<Input>,
    requests: mpsc::Receiver<NewRequest>,
    inputs_in_a_row: usize,
}

/// What the node handles next.
pub enum NextInput {
    Input(Input),
    Request(NewRequest),
}

impl InputQueues {
    /// Creates the queues, and their sending ends.
    pub fn new() -> (mpsc::Sender<Input>, mpsc::Sender<NewRequest>, InputQueues) {
        let (input_sender, inputs) = mpsc::channel(INPUT_QUEUE_LENGTH);
        let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        (input_sender, request_sender, InputQueues { inputs, requests, inputs_in_a_row: 0 })
    }

    /// Waits for the next input or request; `None` once all senders of inputs are dropped. Cancellation safe.
    pub async fn next(&mut self) -> Option<NextInput> {
        if self.inputs_in_a_row >= MAX_INPUTS_IN_A_ROW {
            self.inputs_in_a_row = 0;
            if let Ok(request) = self.requests.try_recv() {
                return Some(NextInput::Request(request));
            }
        }
        tokio::select! {
            biased;
            input = self.inputs.recv() => {
                self.inputs_in_a_row += 1;
                input.map(NextInput::Input)
            }
            Some(request) = self.requests.recv() => {
                self.inputs_in_a_row = 0;
                Some(NextInput::Request(request))
            }
        }
    }
}

/// A message to the node from one of its other parts.
pub enum Input {
    /// Nobody waits for the reply to a request any more.
    ClientGone(RequestId),
    Server {
        server: ServerId,
        connection: u64,
        event: servers::ConnectionEvent,
        /// When it was read.
        read_at: Instant,
    },
    Origin {
        attempt: AttemptId,
        result: origin::CallResult,
        /// When it was read.
        read_at: Instant,
    },
    Discovery(DiscoveryEvent),
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
    /// A message from a member of the agreement.
    AgreementMessage {
        from: MemberId,
        message: Message,
    },
    /// This process now owns the agreement's address and takes part in it.
    JoinAgreement,
    /// The operator has given an order about a zone.
    ZoneOrder(ZoneOrder),
    /// The number of equal shares that the limits are divided into, one of which belongs to this process: one
    /// for each process of this node, plus those still held for processes that have died.
    ProcessCount(u32),
    /// The number of descriptors available for connections to servers.
    ServerDescriptorLimit(usize),
    /// The server list as the predecessor process has received it.
    ListFromPredecessor(ServerList),
    /// State that the predecessor process left behind.
    Inherited(InheritedState),
    /// A process that shared the limits has ended. Its share stays reserved until its origin calls are over,
    /// after this time at the latest.
    ProcessEnded {
        origin_calls_end_within: Duration,
    },
    /// Requests the state for a successor process: what would be left behind, and with `full` everything that
    /// is known.
    TakeSnapshot {
        full: bool,
        reply: oneshot::Sender<PredecessorState>,
    },
    /// The successor receives the messages of peers from now on.
    ReleasePeerAddresses,
    /// The successor takes over and needs the descriptors: connections to servers are closed as soon as they
    /// are idle.
    CloseIdleConnections,
    /// Switches recording on or off.
    SetRecording(bool),
    /// Ends the node after all accepted requests have been answered.
    Shutdown,
}

/// A request of a client that begins.
pub struct NewRequest {
    pub request: Request,
    /// The connection that the request arrived on.
    pub connection: u64,
    /// When it arrived at this machine, on the clock of requests.
    pub received_at: Micros,
    pub command: Box<Command>,
    /// Closed by the connection once nobody waits for the reply any more.
    pub reply: oneshot::Sender<Delivery>,
}

/// What the discovery client reports to the node.
pub enum DiscoveryEvent {
    List(ServerList),
    /// A call failed, or the watch was interrupted.
    Failed,
}

#[cfg(test)]
#[path = "../tests/unit/input_queues.rs"]
mod tests;
