//! Two processes that are one node for a while. The links between them are made outside; here is what goes over them and
//! what either process makes of it: caps and budgets shared, descriptors and memory divided, and one list, one memory of
//! what was learned, handed on.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::STATE_VERSION;
use mothpier_handover::{Message, PredecessorState, RemainingResources};
use mothpier_host::Host;
use tokio::sync::{Notify, OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::clients::Clients;
use crate::discovery::ServerList;
use crate::input::Input;

/// Between two words of what the old process would leave behind.
const WORD: Duration = Duration::from_millis(100);
/// A new process says who it is within this time, and the node's own parts answer.
const HELLO: Duration = Duration::from_secs(1);
/// The last word gets this long to leave before the process ends.
const FLUSH: Duration = Duration::from_millis(20);
/// Each hand-over divides what a process has of the caps between two.
const TWO: u32 = 2;
/// What a process may still open of a kind when the other holds nearly all.
const LEAST: usize = 8;

/// A connection to another process of this node. Either end closing it ends the other's inbox.
pub struct Link {
    /// What the other says; its end is the other's.
    pub inbox: mpsc::Receiver<Message>,
    /// What is said to the other.
    pub outbox: mpsc::Sender<Message>,
}

/// The other processes of this node.
pub struct Handover {
    /// The one whose place this one takes, and what it knew.
    pub predecessor: Option<(PredecessorState, Link)>,
    /// Those that would take this one's place.
    pub successors: mpsc::Receiver<Link>,
}

/// The descriptors of one process.
#[derive(Clone, Copy)]
pub(crate) struct Budget {
    /// All that it may hold.
    pub(crate) limit: usize,
    /// Those for clients.
    pub(crate) clients: usize,
    /// Those for servers.
    pub(crate) servers: usize,
    /// Those that it always needs.
    pub(crate) own: usize,
}

/// What both sides of a handover work on.
pub(crate) struct Side<H: Host> {
    pub(crate) host: H,
    pub(crate) name: String,
    pub(crate) clients: Rc<Clients<H>>,
    pub(crate) node: mpsc::Sender<Input>,
    pub(crate) budget: Budget,
    /// What is said to the new process, while there is one.
    pub(crate) successor: Rc<RefCell<Option<mpsc::Sender<Message>>>>,
    /// Told when the new process has ended.
    pub(crate) successor_ended: Rc<Notify>,
    /// No call at the origin lives longer.
    pub(crate) longest_deadline: Duration,
}

impl<H: Host> Clone for Side<H> {
    fn clone(&self) -> Self {
        let Side { host, name, clients, node, budget, successor, successor_ended, longest_deadline } = self;
        Side {
            host: host.clone(),
            name: name.clone(),
            clients: clients.clone(),
            node: node.clone(),
            budget: *budget,
            successor: successor.clone(),
            successor_ended: successor_ended.clone(),
            longest_deadline: *longest_deadline,
        }
    }
}

/// What the old process holds for as long as the new one lives: half of the memory for requests.
type Reserve = Option<OwnedSemaphorePermit>;

impl<H: Host> Side<H> {
    async fn tell(&self, input: Input) {
        let _ = self.node.send(input).await;
    }

    /// From now on two processes share what this node may have, of the caps one part of so many each; so many descriptors are
    /// this one's.
    async fn share(&self, parts: u32, descriptors: (usize, usize)) -> Reserve {
        self.tell(Input::ProcessCount(parts)).await;
        self.divide(descriptors).await;
        self.clients.reserve_half()
    }

    /// So many connections of clients and to servers may be open.
    async fn divide(&self, (clients, servers): (usize, usize)) {
        self.clients.set_most(clients);
        self.tell(Input::ServerDescriptorLimit(servers)).await;
    }

    /// This process is the whole node.
    async fn alone(&self, reserve: Reserve) {
        self.tell(Input::ProcessCount(1)).await;
        self.hold_alone(reserve).await;
    }

    /// This process holds all memory and descriptors again.
    async fn hold_alone(&self, reserve: Reserve) {
        drop(reserve);
        self.divide((self.budget.clients, self.budget.servers)).await;
    }

    /// What the node would leave behind, and with `whole` all that it knows.
    async fn ask(&self, whole: bool) -> Option<PredecessorState> {
        let (reply, told) = oneshot::channel();
        self.tell(Input::TakeSnapshot { full: whole, reply }).await;
        let mut state = timeout(HELLO, told).await.ok()?.ok()?;
        state.remaining.descriptors += (self.clients.count() + self.budget.own) as u32;
        Some(state)
    }

    /// Whether another process has taken over what this one knew, and lives.
    pub(crate) fn succeeded(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Waits until no process lives that has taken over what this one knew. Safe to drop and call again.
    pub(crate) async fn no_longer_succeeded(&self) {
        while self.succeeded() {
            self.successor_ended.notified().await;
        }
    }

    /// Before this process ends: tells the new one what is left behind now, where there is one.
    pub(crate) async fn last_word(&self) {
        let Some(successor) = self.successor.borrow_mut().take() else { return };
        let Some(state) = self.ask(false).await else { return };
        if successor.send(Message::Remaining(state.remaining)).await.is_ok() {
            sleep(FLUSH).await;
        }
    }

    /// Beside the old process until that ends.
    pub(crate) async fn beside_predecessor(self, first: RemainingResources, mut link: Link) {
        let room = |held: u32| {
            let taken = held as usize + self.budget.own;
            let free = self.budget.limit.saturating_sub(taken);
            let Budget { clients, servers, .. } = self.budget;
            let part = |of: usize| (free * of / (clients + servers).max(1)).clamp(LEAST.min(of), of);
            (part(clients), part(servers))
        };
        let reserve = self.share(TWO, room(first.descriptors)).await;
        let mut last = first;
        let mut news = false;
        while let Some(message) = link.inbox.recv().await {
            match message {
                Message::Remaining(left) => {
                    self.divide(room(left.descriptors)).await;
                    (last, news) = (left, true);
                }
                // What the old process is told of the list counts as told to the node.
                Message::State(state) => match decode_list(&state) {
                    Ok(list) => self.tell(Input::ListFromPredecessor(list)).await,
                    Err(e) => self.host.log(format_args!("handover: {e}")),
                },
                Message::Hello { .. } | Message::Declined(_) => {}
            }
        }
        // What it had out when it was last heard of may still run. Of what this one was told at the start it has counted half, as
        // one of two.
        if news {
            self.alone(reserve).await;
            self.tell(Input::Inherited(last.inherited)).await;
        } else {
            self.tell(Input::Inherited(last.inherited)).await;
            self.alone(reserve).await;
        }
        self.host.log(format_args!("the process before this one has ended"));
    }

    /// Serves those that would take this process' place, one at a time, for as long as it lives.
    pub(crate) async fn beside_successors(self, mut successors: mpsc::Receiver<Link>) {
        // A process that has died may have calls at the origin, which this one does not know of: until they are over the dead
        // one's part of the caps is nobody's, and this one goes on with its own, or shares that with the next.
        let mut calls_over: Option<Instant> = None;
        let mut parts = 1;
        loop {
            let found = tokio::select! {
                biased;
                found = successors.recv() => found,
                () = passed(calls_over) => {
                    (calls_over, parts) = (None, 1);
                    self.tell(Input::ProcessCount(parts)).await;
                    continue;
                }
            };
            let Some(mut link) = found else { return };
            let hello = timeout(HELLO, link.inbox.recv()).await;
            let layout = match hello {
                Ok(Some(Message::Hello { node_name: name, state_layout: layout })) if name == self.name => {
                    layout
                }
                Ok(Some(Message::Hello { node_name: name, .. })) => {
                    let why = format!("this is node {:?}, not {name:?}", self.name);
                    let _ = link.outbox.send(Message::Declined(why)).await;
                    continue;
                }
                _ => continue,
            };
            // Where clients crowd in here, those that only hold a place keep others out at the new process.
            let crowded = self.clients.crowded();
            // What it holds it keeps, and gets little more.
            let held = self.clients.count().max(LEAST);
            parts = parts.saturating_mul(TWO);
            let reserve = self.share(parts, (held, self.budget.servers / 2)).await;
            let Some(mut state) = self.ask(true).await else { return };
            if layout != STATE_VERSION {
                state.module_state.clear();
            }
            self.host
                .log(format_args!("a new process takes over: {} bytes of state", state.module_state.len()));
            let mut revision = state.list_revision;
            let mut told = link.outbox.send(Message::State(state)).await.is_ok();
            *self.successor.borrow_mut() = Some(link.outbox.clone());
            while told {
                tokio::select! {
                    biased;
                    // It has nothing more to say: this is its end.
                    _ = link.inbox.recv() => told = false,
                    () = passed(calls_over) => {
                        (calls_over, parts) = (None, TWO);
                        self.tell(Input::ProcessCount(parts)).await;
                    }
                    () = sleep(WORD) => {
                        if crowded {
                            self.clients.evict_stalled();
                        }
                        let Some(state) = self.ask(false).await else { return };
                        if state.list_revision != revision {
                            let Some(mut news) = self.ask(true).await else { return };
                            news.module_state.clear();
                            revision = news.list_revision;
                            let _ = link.outbox.send(Message::State(news)).await;
                        }
                        told = link.outbox.send(Message::Remaining(state.remaining)).await.is_ok();
                    }
                }
            }
            self.successor.borrow_mut().take();
            self.successor_ended.notify_waiters();
            self.hold_alone(reserve).await;
            calls_over = Some(Instant::now() + self.longest_deadline);
            // Nor does one that takes over meanwhile: it is told of them.
            self.tell(Input::ProcessEnded { origin_calls_end_within: self.longest_deadline }).await;
            self.host.log(format_args!("the new process has ended; this one goes on"));
        }
    }
}

/// Waits until a time, or for ever where there is none.
async fn passed(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// The list of a handed-over state.
///
/// # Errors
/// It can't be read.
pub(crate) fn decode_list(state: &PredecessorState) -> Result<ServerList, String> {
    let members = serde_json::from_slice(&state.list).map_err(|e| format!("unreadable list: {e}"))?;
    Ok(ServerList { revision: state.list_revision, complete: true, members })
}
