//! The origin: HTTP/1.1, few slots, a queue, and repeats of a keyed write dropped for their window.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use mothpier_host::{Host, Listener};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::fleet::Fleet;
use crate::observe::{AttemptOutcome, NodeIndex, ObservedEvent, RequestId, ServerIndex};

/// The origin.
pub struct Origin {
    number: ServerIndex,
    fleet: Rc<Fleet>,
    slots: Arc<Semaphore>,
    waiting: RefCell<usize>,
    /// Calls that wait or are carried out, by node.
    running: RefCell<BTreeMap<NodeIndex, u32>>,
    /// Keyed writes that were carried out, and when.
    done: RefCell<BTreeMap<u64, Instant>>,
    rng: RefCell<Pcg64Mcg>,
}

/// An attempt that is out; dropped with the connection's task, it was abandoned.
struct Out {
    origin: Rc<Origin>,
    node: NodeIndex,
    request: RequestId,
    ended: bool,
}

impl Drop for Out {
    fn drop(&mut self) {
        if !self.ended {
            let (at, node, request) = (self.origin.number, self.node, self.request);
            self.origin.fleet.observer.record(ObservedEvent::AttemptAbandoned { server: at, node, request });
        }
    }
}

impl Origin {
    /// An origin that stands at this place among the boxes.
    pub fn new(fleet: &Rc<Fleet>, number: ServerIndex) -> Rc<Origin> {
        Rc::new(Origin {
            number,
            fleet: fleet.clone(),
            slots: Arc::new(Semaphore::new(fleet.scenario.origin.slots)),
            waiting: RefCell::new(0),
            running: RefCell::default(),
            done: RefCell::default(),
            rng: RefCell::new(fleet.rng("origin", 0)),
        })
    }

    /// Serves connections until its tasks are dropped.
    pub async fn serve<H: Host>(
        self: Rc<Self>,
        listener: H::Listener,
        node: impl Fn(SocketAddr) -> NodeIndex,
    ) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let (origin, node) = (self.clone(), node(from));
            spawn_local(async move {
                // A call may have to end its connection without an answer.
                let cut = Rc::new(Notify::new());
                let calls = {
                    let cut = cut.clone();
                    service_fn(move |request| origin.clone().call(request, node, cut.clone()))
                };
                let serving = hyper::server::conn::http1::Builder::new()
                    .auto_date_header(false)
                    .serve_connection(TokioIo::new(stream), calls);
                tokio::select! {
                    biased;
                    () = cut.notified() => {}
                    _ = serving => {}
                }
            });
        }
    }

    async fn call(
        self: Rc<Self>,
        request: Request<Incoming>,
        node: NodeIndex,
        cut: Rc<Notify>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let answer = |status: u16, body: Bytes| {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
            if status == 503 {
                response.headers_mut().insert("X-Not-Run", hyper::header::HeaderValue::from_static("1"));
            }
            Ok(response)
        };
        let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let number = |text: &str| u64::from_str_radix(text, 16).ok();
        let extras = header("X-Extras").to_owned();
        let extra = |name| extras.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        let id = number(header("X-Request-Id"));
        let key = number(request.uri().path().trim_start_matches('/'));
        let wait = extra("d").and_then(|(_, d)| d.parse().ok()).map(Duration::from_millis);
        let (Some(id), Some(key), Some(wait)) = (id, key, wait) else { return answer(400, Bytes::new()) };
        let token = extra("k").and_then(|(_, k)| number(k));
        let window = extra("c").and_then(|(_, c)| self.fleet.scenario.class.iter().find(|k| k.name == c));
        let window = Duration::from_millis(window.map_or(0, |c| c.window_ms));
        let write = request.method() == Method::PUT;
        if request.into_body().collect().await.is_err() {
            return answer(400, Bytes::new());
        }
        let figures = &self.fleet.scenario.origin;
        let [least, most] = figures.time_ms;
        let (work, luck, fate): (f64, f64, f64) = {
            let mut rng = self.rng.borrow_mut();
            (least + (most - least) * rng.random::<f64>(), rng.random(), rng.random())
        };
        let saw = |seen| self.fleet.observer.record(seen);
        let running = Running::begin(&self, node);
        let came = self.fleet.observer.elapsed();
        let (at, beside, until) = (self.number, running.1, came + wait);
        saw(ObservedEvent::AttemptArrived {
            server: at,
            node,
            request: id,
            is_write: write,
            work,
            running: beside,
            received_at: came,
            deadline: until,
        });
        let mut out = Out { origin: self.clone(), node, request: id, ended: false };
        let ended = |out: &mut Out, how| {
            out.ended = true;
            saw(ObservedEvent::AttemptEnded { server: self.number, node, request: id, outcome: how });
        };
        if *self.waiting.borrow() >= figures.room && self.slots.available_permits() == 0 {
            ended(&mut out, AttemptOutcome::Busy);
            return answer(503, Bytes::new());
        }
        *self.waiting.borrow_mut() += 1;
        let waiting = Waiting(self.clone());
        let Ok(slot) = self.slots.clone().acquire_owned().await else { return answer(503, Bytes::new()) };
        drop(waiting);
        // What has begun is carried out, whether or not anybody still waits for it.
        let carried_out = spawn_local(self.clone().carry_out(
            slot,
            running,
            Work { id, key, token, window, write, ms: work },
        ));
        let _ = carried_out.await;
        if fate < self.fleet.fault_settings.origin_resets.get() {
            ended(&mut out, AttemptOutcome::Dropped { started: true });
            cut.notify_one();
            std::future::pending::<()>().await;
        }
        if luck < figures.fails {
            ended(&mut out, AttemptOutcome::Failed);
            return answer(500, Bytes::new());
        }
        if !write {
            self.fleet.fetched(id, key);
        }
        let value = self.fleet.value(key, id, self.number);
        ended(&mut out, AttemptOutcome::Value(value));
        answer(200, value.bytes(self.fleet.filling(key)))
    }
}

/// A call that is carried out.
struct Work {
    id: RequestId,
    key: u64,
    token: Option<u64>,
    window: Duration,
    write: bool,
    ms: f64,
}

impl Origin {
    async fn carry_out(self: Rc<Self>, _slot: OwnedSemaphorePermit, _running: Running, work: Work) {
        let Work { id, key, token, window, write, ms } = work;
        let saw = |seen| self.fleet.observer.record(seen);
        if write {
            let again = token.is_some_and(|k| {
                let mut done = self.done.borrow_mut();
                done.retain(|_, at| at.elapsed() < window);
                let known = done.contains_key(&k);
                done.entry(k).or_insert_with(Instant::now);
                known
            });
            if !again {
                saw(ObservedEvent::WriteExecuted { request: id, idempotency_key: token.unwrap_or(0), key });
                self.fleet.changed(key);
            } else {
                saw(ObservedEvent::DuplicateWriteDropped { request: id });
            }
        }
        sleep(Duration::from_secs_f64(ms / 1e3)).await;
    }
}

/// Counts a call of a node for as long as it waits or is carried out; with how many there were before it.
struct Running(Rc<Origin>, u32, NodeIndex);

impl Running {
    fn begin(origin: &Rc<Origin>, node: NodeIndex) -> Running {
        let mut running = origin.running.borrow_mut();
        let count = running.entry(node).or_default();
        *count += 1;
        Running(origin.clone(), *count - 1, node)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.borrow_mut().entry(self.2).and_modify(|count| *count -= 1);
    }
}

/// Counts a call as waiting for as long as it lives.
struct Waiting(Rc<Origin>);

impl Drop for Waiting {
    fn drop(&mut self) {
        *self.0.waiting.borrow_mut() -= 1;
    }
}
