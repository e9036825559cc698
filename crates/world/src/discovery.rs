//! A stub of discovery: the list of servers over HTTP/1.1, in full or as a watch; its responses may be late,
//! failing, old or empty.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use mothpier_host::{Host, Listener};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::fleet::{Fleet, Member};
use crate::observe::{NodeIndex, ObservedEvent, Phase, ServerIndex};

/// The longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

struct Change {
    revision: u64,
    index: ServerIndex,
    member: Member,
}

struct State {
    /// The current state.
    members: BTreeMap<ServerIndex, Member>,
    /// The listed changes, in order.
    history: Vec<Change>,
    revision: u64,
    /// Watches from before this revision get the full list.
    full_list_before: u64,
    /// When the latest change of each server is listed: changes of a server are listed in order.
    listed_at: BTreeMap<ServerIndex, Instant>,
    /// The revision that each node was last sent; a node would have stored that list.
    sent_revisions: BTreeMap<NodeIndex, u64>,
}

/// Discovery.
pub struct Discovery {
    fleet: Rc<Fleet>,
    state: RefCell<State>,
    /// Wakes watches in the order of their calls, which a watch channel does not guarantee.
    changed: Notify,
    call_slot: Semaphore,
    rng: RefCell<Pcg64Mcg>,
}

impl Discovery {
    /// A discovery that lists these members from the start.
    pub fn new(fleet: &Rc<Fleet>, members: BTreeMap<ServerIndex, Member>) -> Rc<Discovery> {
        let revision = members.len() as u64;
        let change = |(i, (index, member)): (usize, (&ServerIndex, &Member))| Change {
            revision: i as u64 + 1,
            index: *index,
            member: member.clone(),
        };
        let history = members.iter().enumerate().map(change).collect();
        let state = State {
            members,
            history,
            revision,
            full_list_before: 0,
            listed_at: BTreeMap::new(),
            sent_revisions: BTreeMap::new(),
        };
        Rc::new(Discovery {
            fleet: fleet.clone(),
            state: RefCell::new(state),
            changed: Notify::new(),
            call_slot: Semaphore::new(1),
            rng: RefCell::new(fleet.rng("discovery", 0)),
        })
    }

    /// The current state of a server.
    pub fn member(&self, index: ServerIndex) -> Option<Member> {
        self.state.borrow().members.get(&index).cloned()
    }

    /// Indexes of the cache servers that are ready now.
    pub fn ready_servers(&self) -> Vec<ServerIndex> {
        let state = self.state.borrow();
        let ready = |(n, m): (&ServerIndex, &Member)| (m.phase == Phase::Ready && !m.is_origin).then_some(*n);
        state.members.iter().filter_map(ready).collect()
    }

    /// The next unused server index.
    pub fn next_index(&self) -> ServerIndex {
        self.state.borrow().members.keys().next_back().map_or(0, |n| n + 1)
    }

    /// Changes the state of a server now; the change is listed after a random lag.
    pub fn update(self: &Rc<Self>, index: ServerIndex, member: Member) {
        let [least, most] = self.fleet.scenario.discovery.lag_ms;
        let lag = least + ((most - least) as f64 * self.rng.borrow_mut().random::<f64>()) as u64;
        self.update_after(index, member, Duration::from_millis(lag));
    }

    /// Changes the state of a server now; the change is listed after `lag`.
    pub fn update_after(self: &Rc<Self>, index: ServerIndex, member: Member, lag: Duration) {
        let at = {
            let mut state = self.state.borrow_mut();
            state.members.insert(index, member.clone());
            let earliest = state.listed_at.get(&index).copied().unwrap_or_else(Instant::now);
            let at = (Instant::now() + lag).max(earliest);
            state.listed_at.insert(index, at);
            at
        };
        if lag.is_zero() {
            return self.publish(index, member);
        }
        let discovery = self.clone();
        spawn_local(async move {
            sleep_until(at).await;
            discovery.publish(index, member);
        });
    }

    fn publish(&self, index: ServerIndex, member: Member) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let revision = state.revision;
        self.fleet.observer.record(ObservedEvent::Listed { server: index, phase: member.phase });
        state.history.push(Change { revision, index, member });
        self.changed.notify_waiters();
    }

    /// The list changes as a whole: every watch gets the full list.
    pub fn invalidate_watches(&self) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        state.full_list_before = state.revision;
        self.changed.notify_waiters();
    }

    /// The current revision of the list.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// The list that a node was last sent, or the current one, in discovery's format: what the node starts
    /// with.
    pub fn known_list(&self, node: NodeIndex) -> Value {
        let revision = self.state.borrow().sent_revisions.get(&node).copied().unwrap_or(self.revision());
        let (value, event) = self.list_at(node, None, revision, false);
        self.fleet.observer.record(event);
        value
    }

    /// The response to a call of a node and its observation: the full list, or the changes since a revision.
    fn list_for(&self, node: NodeIndex, after: Option<u64>) -> (Value, ObservedEvent) {
        let last_revision =
            self.fleet.fault_settings.pinned_revision.get().unwrap_or(u64::MAX).min(self.revision());
        self.list_at(node, after, last_revision, self.fleet.fault_settings.empty_list.get())
    }

    fn list_at(
        &self,
        node: NodeIndex,
        after: Option<u64>,
        last_revision: u64,
        empty: bool,
    ) -> (Value, ObservedEvent) {
        let state = self.state.borrow();
        let full = after.is_none_or(|a| a < state.full_list_before || a > last_revision);
        let since = if full { 0 } else { after.unwrap_or(0) };
        let mut latest: BTreeMap<ServerIndex, &Member> = BTreeMap::new();
        for change in state.history.iter().filter(|c| c.revision > since && c.revision <= last_revision) {
            latest.insert(change.index, &change.member);
        }
        if full {
            latest.retain(|_, m| m.phase != Phase::Gone && (m.is_origin || !empty));
        }
        let entry = |member: &Member| {
            let phase = match member.phase {
                Phase::Ready => "ready",
                Phase::Draining => "draining",
                Phase::Gone => "gone",
            };
            json!({"id": member.id, "host_port": member.address(node).to_string(),
                "locality": self.fleet.scenario.zones[member.zone],
                "flavor": if member.is_origin { "origin" } else { "box" }, "cell": 0, "phase": phase,
                "size": 1.0, "up_since_ms": member.started_ms})
        };
        let members: Vec<Value> = latest.values().map(|m| entry(m)).collect();
        let servers = latest.iter().map(|(n, m)| (*n, m.phase, m.started_ms)).collect();
        let value = json!({"revision": last_revision, "complete": full, "members": members});
        (value, ObservedEvent::ListSent { node, revision: last_revision, full, servers })
    }

    /// Serves connections until its tasks are dropped. `node` maps a remote address to the node that
    /// connects.
    pub async fn serve<H: Host>(
        self: Rc<Self>,
        listener: H::Listener,
        node: impl Fn(std::net::SocketAddr) -> NodeIndex,
    ) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let (discovery, node) = (self.clone(), node(from));
            spawn_local(async move {
                let calls = service_fn(move |request| discovery.clone().handle_call(request, node));
                let _ = hyper::server::conn::http1::Builder::new()
                    .auto_date_header(false)
                    .serve_connection(TokioIo::new(stream), calls)
                    .await;
            });
        }
    }

    async fn handle_call(
        self: Rc<Self>,
        request: Request<Incoming>,
        node: NodeIndex,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let response = |status, body: String| {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            *response.status_mut() = status;
            Ok(response)
        };
        let down = hyper::StatusCode::SERVICE_UNAVAILABLE;
        if request.uri().path() != "/api/targets" {
            return response(hyper::StatusCode::NOT_FOUND, String::new());
        }
        if let Ok(_slot) = self.call_slot.acquire().await {
            sleep(Duration::from_secs_f64(self.fleet.scenario.discovery.call_ms / 1e3)).await;
        }
        if self.fleet.fault_settings.discovery_down.get() {
            return response(down, String::new());
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let parameter = |name: &str| -> Option<u64> {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
        };
        let (after, wait) = (parameter("after"), parameter("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        if let Some(after) = after {
            let until = Instant::now() + Duration::from_millis(wait);
            let newer = || {
                self.revision() > after
                    && self.fleet.fault_settings.pinned_revision.get().is_none_or(|old| old > after)
            };
            let change = async {
                while !newer() {
                    self.changed.notified().await;
                }
            };
            let _ = timeout_at(until, change).await;
        }
        let delay = self.fleet.fault_settings.list_delay_ms.get();
        if delay > 0 {
            // Each response is delayed by itself, so that an older one may arrive after a newer one.
            let delay = delay as f64 * (0.5 + self.rng.borrow_mut().random::<f64>());
            let (value, event) = self.list_for(node, after);
            sleep(Duration::from_secs_f64(delay / 1e3)).await;
            return self.send_list(node, value, event);
        }
        if self.fleet.fault_settings.discovery_down.get() {
            return response(down, String::new());
        }
        let (value, event) = self.list_for(node, after);
        self.send_list(node, value, event)
    }

    fn send_list(
        &self,
        node: NodeIndex,
        value: Value,
        event: ObservedEvent,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let body = value.to_string();
        if let ObservedEvent::ListSent { revision, .. } = event {
            self.state.borrow_mut().sent_revisions.insert(node, revision);
        }
        self.fleet.observer.record(event);
        Ok(Response::new(Full::new(Bytes::from(body))))
    }
}
