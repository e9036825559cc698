//! Discovery: the list of boxes over HTTP/1.1, whole or as a watch on changes; late, down, old or empty when told.

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

/// The longest wait of a watch.
const LONGEST: u64 = 60_000;

struct Change {
    revision: u64,
    number: ServerIndex,
    member: Member,
}

struct State {
    /// What is true now.
    members: BTreeMap<ServerIndex, Member>,
    /// What has been listed, in order.
    history: Vec<Change>,
    revision: u64,
    /// Watches from before this revision get the whole list.
    whole_before: u64,
    /// When the latest change of a box is listed: none is listed before an earlier one.
    listed_at: BTreeMap<ServerIndex, Instant>,
    /// The version that each node was last told: it would have kept that list.
    told: BTreeMap<NodeIndex, u64>,
}

/// Discovery.
pub struct Discovery {
    fleet: Rc<Fleet>,
    state: RefCell<State>,
    /// Wakes watches in the order of their calls, which a watch channel does not.
    changed: Notify,
    turn: Semaphore,
    rng: RefCell<Pcg64Mcg>,
}

impl Discovery {
    /// A discovery that lists these from the start.
    pub fn new(fleet: &Rc<Fleet>, members: BTreeMap<ServerIndex, Member>) -> Rc<Discovery> {
        let revision = members.len() as u64;
        let change = |(i, (number, member)): (usize, (&ServerIndex, &Member))| Change {
            revision: i as u64 + 1,
            number: *number,
            member: member.clone(),
        };
        let history = members.iter().enumerate().map(change).collect();
        let state = State {
            members,
            history,
            revision,
            whole_before: 0,
            listed_at: BTreeMap::new(),
            told: BTreeMap::new(),
        };
        Rc::new(Discovery {
            fleet: fleet.clone(),
            state: RefCell::new(state),
            changed: Notify::new(),
            turn: Semaphore::new(1),
            rng: RefCell::new(fleet.rng("discovery", 0)),
        })
    }

    /// What is true of a box now.
    pub fn member(&self, number: ServerIndex) -> Option<Member> {
        self.state.borrow().members.get(&number).cloned()
    }

    /// Numbers of the boxes that are ready now.
    pub fn ready_servers(&self) -> Vec<ServerIndex> {
        let state = self.state.borrow();
        let ready = |(n, m): (&ServerIndex, &Member)| (m.phase == Phase::Ready && !m.is_origin).then_some(*n);
        state.members.iter().filter_map(ready).collect()
    }

    /// How many boxes there ever were.
    pub fn next_index(&self) -> ServerIndex {
        self.state.borrow().members.keys().next_back().map_or(0, |n| n + 1)
    }

    /// Something about a box becomes true now; it is listed some time later.
    pub fn update(self: &Rc<Self>, number: ServerIndex, member: Member) {
        let [least, most] = self.fleet.scenario.discovery.lag_ms;
        let lag = least + ((most - least) as f64 * self.rng.borrow_mut().random::<f64>()) as u64;
        self.update_after(number, member, Duration::from_millis(lag));
    }

    /// Something about a box becomes true now, and is listed after a time of the caller's choice.
    pub fn update_after(self: &Rc<Self>, number: ServerIndex, member: Member, lag: Duration) {
        let at = {
            let mut state = self.state.borrow_mut();
            state.members.insert(number, member.clone());
            let earliest = state.listed_at.get(&number).copied().unwrap_or_else(Instant::now);
            let at = (Instant::now() + lag).max(earliest);
            state.listed_at.insert(number, at);
            at
        };
        if lag.is_zero() {
            return self.list(number, member);
        }
        let discovery = self.clone();
        spawn_local(async move {
            sleep_until(at).await;
            discovery.list(number, member);
        });
    }

    fn list(&self, number: ServerIndex, member: Member) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let revision = state.revision;
        self.fleet.observer.record(ObservedEvent::Listed { server: number, phase: member.phase });
        state.history.push(Change { revision, number, member });
        self.changed.notify_waiters();
    }

    /// What is listed has changed as a whole: every watch gets all of it.
    pub fn invalidate_watches(&self) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        state.whole_before = state.revision;
        self.changed.notify_waiters();
    }

    /// The version of the list.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// The list that a node was last told, in discovery's form, or the present one: what it starts with.
    pub fn known_list(&self, node: NodeIndex) -> Value {
        let most = self.state.borrow().told.get(&node).copied().unwrap_or(self.revision());
        let (value, told) = self.view_at(node, None, most, false);
        self.fleet.observer.record(told);
        value
    }

    /// The answer to a call of a node, and what it tells: the whole list, or what has changed since a revision.
    fn view(&self, node: NodeIndex, after: Option<u64>) -> (Value, ObservedEvent) {
        let most = self.fleet.fault_settings.pinned_revision.get().unwrap_or(u64::MAX).min(self.revision());
        self.view_at(node, after, most, self.fleet.fault_settings.empty_list.get())
    }

    fn view_at(&self, node: NodeIndex, after: Option<u64>, most: u64, empty: bool) -> (Value, ObservedEvent) {
        let state = self.state.borrow();
        let whole = after.is_none_or(|a| a < state.whole_before || a > most);
        let since = if whole { 0 } else { after.unwrap_or(0) };
        let mut latest: BTreeMap<ServerIndex, &Member> = BTreeMap::new();
        for change in state.history.iter().filter(|c| c.revision > since && c.revision <= most) {
            latest.insert(change.number, &change.member);
        }
        if whole {
            latest.retain(|_, m| m.phase != Phase::Gone && (m.is_origin || !empty));
        }
        let line = |member: &Member| {
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
        let members: Vec<Value> = latest.values().map(|m| line(m)).collect();
        let boxes = latest.iter().map(|(n, m)| (*n, m.phase, m.started_ms)).collect();
        let value = json!({"revision": most, "complete": whole, "members": members});
        (value, ObservedEvent::ListSent { node, revision: most, full: whole, servers: boxes })
    }

    /// Serves one node until its tasks are dropped.
    pub async fn serve<H: Host>(
        self: Rc<Self>,
        listener: H::Listener,
        node: impl Fn(std::net::SocketAddr) -> NodeIndex,
    ) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let (discovery, node) = (self.clone(), node(from));
            spawn_local(async move {
                let calls = service_fn(move |request| discovery.clone().call(request, node));
                let _ = hyper::server::conn::http1::Builder::new()
                    .auto_date_header(false)
                    .serve_connection(TokioIo::new(stream), calls)
                    .await;
            });
        }
    }

    async fn call(
        self: Rc<Self>,
        request: Request<Incoming>,
        node: NodeIndex,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let answer = |status, body: String| {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            *response.status_mut() = status;
            Ok(response)
        };
        let down = hyper::StatusCode::SERVICE_UNAVAILABLE;
        if request.uri().path() != "/api/targets" {
            return answer(hyper::StatusCode::NOT_FOUND, String::new());
        }
        if let Ok(_turn) = self.turn.acquire().await {
            sleep(Duration::from_secs_f64(self.fleet.scenario.discovery.call_ms / 1e3)).await;
        }
        if self.fleet.fault_settings.discovery_down.get() {
            return answer(down, String::new());
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let figure = |name: &str| -> Option<u64> {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
        };
        let (after, wait) = (figure("after"), figure("wait_ms").unwrap_or(0).min(LONGEST));
        if let Some(after) = after {
            let until = Instant::now() + Duration::from_millis(wait);
            let newer = || {
                self.revision() > after
                    && self.fleet.fault_settings.pinned_revision.get().is_none_or(|old| old > after)
            };
            let news = async {
                while !newer() {
                    self.changed.notified().await;
                }
            };
            let _ = timeout_at(until, news).await;
        }
        let late = self.fleet.fault_settings.list_delay_ms.get();
        if late > 0 {
            // Each answer by itself: an older one may come after a newer one.
            let late = late as f64 * (0.5 + self.rng.borrow_mut().random::<f64>());
            let (value, told) = self.view(node, after);
            sleep(Duration::from_secs_f64(late / 1e3)).await;
            return self.tell(node, value, told);
        }
        if self.fleet.fault_settings.discovery_down.get() {
            return answer(down, String::new());
        }
        let (value, told) = self.view(node, after);
        self.tell(node, value, told)
    }

    fn tell(
        &self,
        node: NodeIndex,
        value: Value,
        told: ObservedEvent,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let body = value.to_string();
        if let ObservedEvent::ListSent { revision, .. } = told {
            self.state.borrow_mut().told.insert(node, revision);
        }
        self.fleet.observer.record(told);
        Ok(Response::new(Full::new(Bytes::from(body))))
    }
}
