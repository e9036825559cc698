//! Handover between two processes of one node. The links between them are opened elsewhere; this module defines what they
//! exchange and how either process reacts: they share limits and budgets, divide descriptors and memory, and the
//! successor inherits the server list and the state of the decision module.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::STATE_VERSION;
use mothpier_handover::{Message, PredecessorState, RemainingResources};
use mothpier_host::Host;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::clients::Clients;
use crate::discovery::ServerList;
use crate::input::Input;
use crate::memory::OtherProcess;

mod id_exchange;
mod memory_exchange;

use id_exchange::IdExchange;
use memory_exchange::{PredecessorMemory, SuccessorMemory};

/// Interval of the messages with the state that the predecessor would leave behind.
const STATE_INTERVAL: Duration = Duration::from_millis(100);
/// A new process identifies itself within this time, and the node replies to a request for its state within it.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the final message to be sent before the process ends.
const FLUSH_DELAY: Duration = Duration::from_millis(20);
/// Each handover divides a process's share of the limits between two.
const PROCESSES_PER_HANDOVER: u32 = 2;
/// Connections of a kind that a process may open even if the other one holds nearly all.
const MIN_CONNECTIONS: usize = 8;

/// A connection to another process of this node. When either side closes it, the other side's inbox ends.
pub struct Link {
    /// Messages from the other process; ends when that process does.
    pub inbox: mpsc::Receiver<Message>,
    /// Messages to the other process.
    pub outbox: mpsc::Sender<Message>,
}

/// The other processes of this node.
pub struct Handover {
    /// The process that this one replaces, and its state.
    pub predecessor: Option<(PredecessorState, Link)>,
    /// Processes that are to replace this one.
    pub successors: mpsc::Receiver<Link>,
}

/// The file descriptors of one process.
#[derive(Clone, Copy)]
pub(crate) struct DescriptorBudget {
    /// All that it may hold.
    pub(crate) total: usize,
    /// Those for connections of clients.
    pub(crate) clients: usize,
    /// Those for connections to servers.
    pub(crate) servers: usize,
    /// Those that it always needs.
    pub(crate) reserved: usize,
}

/// One process in a handover, in either role.
pub(crate) struct HandoverParticipant<H: Host> {
    pub(crate) host: H,
    pub(crate) name: String,
    pub(crate) clients: Rc<Clients<H>>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) budget: DescriptorBudget,
    /// Messages to the successor, while there is one.
    pub(crate) successor: Rc<RefCell<Option<mpsc::Sender<Message>>>>,
    /// Notified when the successor has ended.
    pub(crate) successor_ended: Rc<Notify>,
    /// No call at the origin lives longer.
    pub(crate) longest_deadline: Duration,
}

impl<H: Host> Clone for HandoverParticipant<H> {
    fn clone(&self) -> Self {
        let HandoverParticipant {
            host,
            name,
            clients,
            inputs,
            budget,
            successor,
            successor_ended,
            longest_deadline,
        } = self;
        HandoverParticipant {
            host: host.clone(),
            name: name.clone(),
            clients: clients.clone(),
            inputs: inputs.clone(),
            budget: *budget,
            successor: successor.clone(),
            successor_ended: successor_ended.clone(),
            longest_deadline: *longest_deadline,
        }
    }
}

impl<H: Host> HandoverParticipant<H> {
    async fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    /// Divides the node between two processes: this one gets one of `parts` equal shares of the limits, and this many
    /// descriptors.
    async fn share_node(&self, parts: u32, descriptors: (usize, usize)) {
        self.send_input(Input::ProcessCount(parts)).await;
        self.set_descriptor_limits(descriptors).await;
    }

    /// Sets how many connections of clients and to servers may be open.
    async fn set_descriptor_limits(&self, (clients, servers): (usize, usize)) {
        self.clients.set_max_connections(clients);
        self.send_input(Input::ServerDescriptorLimit(servers)).await;
    }

    /// Makes this process the whole node.
    async fn take_over_alone(&self, memory: SuccessorMemory<H>) {
        drop(memory);
        self.send_input(Input::ProcessCount(1)).await;
        self.restore_descriptor_limits().await;
    }

    /// Restores all descriptors of this process.
    async fn restore_descriptor_limits(&self) {
        self.set_descriptor_limits((self.budget.clients, self.budget.servers)).await;
    }

    /// Requests the state that the node would leave behind, and with `full` all of its state.
    async fn request_state(&self, full: bool) -> Option<PredecessorState> {
        let (reply, snapshot) = oneshot::channel();
        self.send_input(Input::TakeSnapshot { full, reply }).await;
        let mut state = timeout(HELLO_TIMEOUT, snapshot).await.ok()?.ok()?;
        state.remaining.descriptors += (self.clients.open_count() + self.budget.reserved) as u32;
        Some(state)
    }

    /// Whether a successor that has taken over the state is running.
    pub(crate) fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Waits until no successor is running. Cancellation safe.
    pub(crate) async fn wait_for_successor_end(&self) {
        while self.has_successor() {
            self.successor_ended.notified().await;
        }
    }

    /// Sends the state left behind to the successor, if there is one, before this process ends.
    pub(crate) async fn send_final_state(&self) {
        let Some(successor) = self.successor.borrow_mut().take() else { return };
        let Some(state) = self.request_state(false).await else { return };
        if successor.send(Message::Remaining(state.remaining)).await.is_ok() {
            sleep(FLUSH_DELAY).await;
        }
    }

    /// Runs beside the predecessor until that ends.
    pub(crate) async fn run_beside_predecessor(self, first: RemainingResources, mut link: Link) {
        let shared_memory = self.clients.share_memory(OtherProcess::Predecessor);
        let mut memory = SuccessorMemory::new(self.host.clone(), shared_memory);
        let own_limits = |held_by_predecessor: u32| {
            let taken = held_by_predecessor as usize + self.budget.reserved;
            let free = self.budget.total.saturating_sub(taken);
            let DescriptorBudget { clients, servers, .. } = self.budget;
            let share =
                |of: usize| (free * of / (clients + servers).max(1)).clamp(MIN_CONNECTIONS.min(of), of);
            (share(clients), share(servers))
        };
        self.share_node(PROCESSES_PER_HANDOVER, own_limits(first.descriptors)).await;
        let mut last = first;
        let mut is_updated = false;
        let mut ids = IdExchange::new(self.clients.clone());
        loop {
            let message = tokio::select! {
                biased;
                message = link.inbox.recv() => message,
                () = ids.send_next(&link.outbox) => continue,
            };
            let Some(message) = message else { break };
            match message {
                Message::Remaining(remaining) => {
                    self.set_descriptor_limits(own_limits(remaining.descriptors)).await;
                    memory.assume_half_if_untold();
                    (last, is_updated) = (remaining, true);
                }
                // A server list that the predecessor received counts as received by the node.
                Message::State(state) => match decode_list(&state) {
                    Ok(list) => self.send_input(Input::ListFromPredecessor(list)).await,
                    Err(e) => self.host.log(format_args!("handover: {e}")),
                },
                Message::Hello { .. } => {
                    ids.begin();
                    memory.receive_hello(&link.outbox).await;
                }
                Message::Memory { most_bytes } => memory.receive_predecessor_memory(most_bytes),
                Message::ForwardedIds(forwarded) => ids.learn(&forwarded),
                Message::Declined(_) => {}
            }
        }
        // Origin calls last reported by the predecessor may still be running. Those reported at the start were counted by
        // half, because this process was one of two.
        if is_updated {
            self.take_over_alone(memory).await;
            self.send_input(Input::Inherited(last.inherited)).await;
        } else {
            self.send_input(Input::Inherited(last.inherited)).await;
            self.take_over_alone(memory).await;
        }
        self.host.log(format_args!("the process before this one has ended"));
    }

    /// Serves processes that are to replace this one, one at a time, for as long as this one lives.
    pub(crate) async fn serve_successors(self, mut successors: mpsc::Receiver<Link>) {
        // A process that has crashed may have left calls at the origin that this one does not know of. Until they are over,
        // nobody uses its share of the limits: this process keeps its own share, or divides that with the next successor.
        let mut calls_end_at: Option<Instant> = None;
        let mut parts = 1;
        loop {
            let next = tokio::select! {
                biased;
                next = successors.recv() => next,
                () = wait_until(calls_end_at) => {
                    (calls_end_at, parts) = (None, 1);
                    self.send_input(Input::ProcessCount(parts)).await;
                    continue;
                }
            };
            let Some(mut link) = next else { return };
            let hello = timeout(HELLO_TIMEOUT, link.inbox.recv()).await;
            let state_layout = match hello {
                Ok(Some(Message::Hello { node_name, state_layout })) if node_name == self.name => {
                    state_layout
                }
                Ok(Some(Message::Hello { node_name, .. })) => {
                    let reason = format!("this is node {:?}, not {node_name:?}", self.name);
                    let _ = link.outbox.send(Message::Declined(reason)).await;
                    continue;
                }
                _ => continue,
            };
            // If connections are crowded here, those that are only held open keep others out at the successor.
            let is_crowded = self.clients.is_crowded();
            // It keeps the connections that it holds and gets few more.
            let client_limit = self.clients.open_count().max(MIN_CONNECTIONS);
            parts = parts.saturating_mul(PROCESSES_PER_HANDOVER);
            let shared_memory = self.clients.share_memory(OtherProcess::Successor);
            let mut memory = PredecessorMemory::new(self.host.clone(), shared_memory);
            self.share_node(parts, (client_limit, self.budget.servers / 2)).await;
            let Some(mut state) = self.request_state(true).await else { return };
            if state_layout != STATE_VERSION {
                state.module_state.clear();
            }
            self.host
                .log(format_args!("a new process takes over: {} bytes of state", state.module_state.len()));
            let mut revision = state.list_revision;
            let mut is_connected = link.outbox.send(Message::State(state)).await.is_ok();
            // The second one tells of messages about memory.
            let hello = Message::Hello { node_name: self.name.clone(), state_layout: STATE_VERSION };
            for hello in [hello.clone(), hello] {
                is_connected = is_connected && link.outbox.send(hello).await.is_ok();
            }
            *self.successor.borrow_mut() = Some(link.outbox.clone());
            let mut ids = IdExchange::new(self.clients.clone());
            while is_connected {
                tokio::select! {
                    biased;
                    message = link.inbox.recv() => match message {
                        Some(Message::ForwardedIds(forwarded)) => ids.learn(&forwarded),
                        Some(Message::Memory { .. }) => {
                            memory.begin();
                            is_connected = send_memory(&memory, &link.outbox).await;
                        }
                        // The successor sends nothing else: this is its end.
                        _ => is_connected = false,
                    },
                    () = ids.send_next(&link.outbox) => {}
                    () = wait_until(calls_end_at) => {
                        (calls_end_at, parts) = (None, PROCESSES_PER_HANDOVER);
                        self.send_input(Input::ProcessCount(parts)).await;
                    }
                    () = sleep(STATE_INTERVAL) => {
                        if is_crowded {
                            self.clients.evict_stalled();
                        }
                        let Some(state) = self.request_state(false).await else { return };
                        if state.list_revision != revision {
                            let Some(mut update) = self.request_state(true).await else { return };
                            update.module_state.clear();
                            revision = update.list_revision;
                            let _ = link.outbox.send(Message::State(update)).await;
                        }
                        is_connected = link.outbox.send(Message::Remaining(state.remaining)).await.is_ok()
                            && send_memory(&memory, &link.outbox).await;
                    }
                }
            }
            self.successor.borrow_mut().take();
            self.successor_ended.notify_waiters();
            drop(memory);
            self.restore_descriptor_limits().await;
            calls_end_at = Some(Instant::now() + self.longest_deadline);
            // Nor does the next successor use that share: it is notified of these calls.
            self.send_input(Input::ProcessEnded { origin_calls_end_within: self.longest_deadline }).await;
            self.host.log(format_args!("the successor has ended; this process continues"));
        }
    }
}

/// Tells the successor what memory this process may hold, if it takes that; returns whether it is still connected.
async fn send_memory<H: Host>(memory: &PredecessorMemory<H>, outbox: &mpsc::Sender<Message>) -> bool {
    match memory.update() {
        Some(message) => outbox.send(message).await.is_ok(),
        None => true,
    }
}

/// Waits until a time, or forever if there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Decodes the server list of a handed-over state.
///
/// # Errors
/// The list can't be parsed.
pub(crate) fn decode_list(state: &PredecessorState) -> Result<ServerList, String> {
    let members = serde_json::from_slice(&state.list).map_err(|e| format!("invalid server list: {e}"))?;
    Ok(ServerList { revision: state.list_revision, complete: true, members })
}
