//! A stub of the origin: HTTP/1.1 with few slots and a queue; retries of a write with an idempotency key are
//! dropped within its window.

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
    index: ServerIndex,
    fleet: Rc<Fleet>,
    slots: Arc<Semaphore>,
    queued: RefCell<usize>,
    /// Calls that wait or run, by node.
    running: RefCell<BTreeMap<NodeIndex, u32>>,
    /// Idempotency keys of the writes that were carried out, and when.
    applied_writes: RefCell<BTreeMap<u64, Instant>>,
    rng: RefCell<Pcg64Mcg>,
}

/// An outstanding attempt; it counts as abandoned if it is dropped with the connection's task.
struct OutstandingAttempt {
    origin: Rc<Origin>,
    node: NodeIndex,
    request: RequestId,
    ended: bool,
}

impl Drop for OutstandingAttempt {
    fn drop(&mut self) {
        if !self.ended {
            let (server, node, request) = (self.origin.index, self.node, self.request);
            self.origin.fleet.observer.record(ObservedEvent::AttemptAbandoned { server, node, request });
        }
    }
}

impl Origin {
    /// An origin with this index among the servers.
    pub fn new(fleet: &Rc<Fleet>, number: ServerIndex) -> Rc<Origin> {
        Rc::new(Origin {
            index: number,
            fleet: fleet.clone(),
            slots: Arc::new(Semaphore::new(fleet.scenario.origin.slots)),
            queued: RefCell::new(0),
            running: RefCell::default(),
            applied_writes: RefCell::default(),
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
                // Lets a call end its connection without a response.
                let cut = Rc::new(Notify::new());
                let calls = {
                    let cut = cut.clone();
                    service_fn(move |request| origin.clone().handle_call(request, node, cut.clone()))
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

    async fn handle_call(
        self: Rc<Self>,
        request: Request<Incoming>,
        node: NodeIndex,
        cut: Rc<Notify>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let response = |status: u16, body: Bytes| {
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
        let (Some(id), Some(key), Some(wait)) = (id, key, wait) else { return response(400, Bytes::new()) };
        let idempotency_key = extra("k").and_then(|(_, k)| number(k));
        let dedup_window =
            extra("c").and_then(|(_, c)| self.fleet.scenario.class.iter().find(|k| k.name == c));
        let dedup_window = Duration::from_millis(dedup_window.map_or(0, |c| c.window_ms));
        let is_write = request.method() == Method::PUT;
        if request.into_body().collect().await.is_err() {
            return response(400, Bytes::new());
        }
        let settings = &self.fleet.scenario.origin;
        let [least, most] = settings.time_ms;
        let (work, failure_draw, reset_draw): (f64, f64, f64) = {
            let mut rng = self.rng.borrow_mut();
            (least + (most - least) * rng.random::<f64>(), rng.random(), rng.random())
        };
        let record = |event| self.fleet.observer.record(event);
        let running = RunningCall::begin(&self, node);
        let received_at = self.fleet.observer.elapsed();
        let (server, others, deadline) = (self.index, running.1, received_at + wait);
        record(ObservedEvent::AttemptArrived {
            server,
            node,
            request: id,
            is_write,
            work,
            running: others,
            received_at,
            deadline,
        });
        let mut attempt = OutstandingAttempt { origin: self.clone(), node, request: id, ended: false };
        let ended = |attempt: &mut OutstandingAttempt, outcome| {
            attempt.ended = true;
            record(ObservedEvent::AttemptEnded { server: self.index, node, request: id, outcome });
        };
        if *self.queued.borrow() >= settings.room && self.slots.available_permits() == 0 {
            ended(&mut attempt, AttemptOutcome::Busy);
            return response(503, Bytes::new());
        }
        *self.queued.borrow_mut() += 1;
        let waiting = QueuedCall(self.clone());
        let Ok(slot) = self.slots.clone().acquire_owned().await else { return response(503, Bytes::new()) };
        drop(waiting);
        // A call that has started is carried out whether or not anybody still waits for it.
        let carried_out = spawn_local(self.clone().carry_out(
            slot,
            running,
            OriginCall { request: id, key, idempotency_key, dedup_window, is_write, duration_ms: work },
        ));
        let _ = carried_out.await;
        if reset_draw < self.fleet.fault_settings.origin_reset_share.get() {
            ended(&mut attempt, AttemptOutcome::Dropped { started: true });
            cut.notify_one();
            std::future::pending::<()>().await;
        }
        if failure_draw < settings.fails {
            ended(&mut attempt, AttemptOutcome::Failed);
            return response(500, Bytes::new());
        }
        if !is_write {
            self.fleet.record_fetch(id, key);
        }
        let value = self.fleet.value(key, id, self.index);
        ended(&mut attempt, AttemptOutcome::Value(value));
        response(200, value.bytes(self.fleet.filler_bytes(key)))
    }
}

/// A call that is carried out.
struct OriginCall {
    request: RequestId,
    key: u64,
    idempotency_key: Option<u64>,
    dedup_window: Duration,
    is_write: bool,
    duration_ms: f64,
}

impl Origin {
    async fn carry_out(self: Rc<Self>, _slot: OwnedSemaphorePermit, _running: RunningCall, work: OriginCall) {
        let OriginCall { request, key, idempotency_key, dedup_window, is_write, duration_ms } = work;
        let record = |event| self.fleet.observer.record(event);
        if is_write {
            let duplicate = idempotency_key.is_some_and(|k| {
                let mut applied_writes = self.applied_writes.borrow_mut();
                applied_writes.retain(|_, at| at.elapsed() < dedup_window);
                let known = applied_writes.contains_key(&k);
                applied_writes.entry(k).or_insert_with(Instant::now);
                known
            });
            if !duplicate {
                record(ObservedEvent::WriteExecuted {
                    request,
                    idempotency_key: idempotency_key.unwrap_or(0),
                    key,
                });
                self.fleet.record_write(key);
            } else {
                record(ObservedEvent::DuplicateWriteDropped { request });
            }
        }
        sleep(Duration::from_secs_f64(duration_ms / 1e3)).await;
    }
}

/// Counts a call of a node while it waits or runs; contains the number of calls before it.
struct RunningCall(Rc<Origin>, u32, NodeIndex);

impl RunningCall {
    fn begin(origin: &Rc<Origin>, node: NodeIndex) -> RunningCall {
        let mut running = origin.running.borrow_mut();
        let count = running.entry(node).or_default();
        *count += 1;
        RunningCall(origin.clone(), *count - 1, node)
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running.borrow_mut().entry(self.2).and_modify(|count| *count -= 1);
    }
}

/// Counts a call as waiting while it exists.
struct QueuedCall(Rc<Origin>);

impl Drop for QueuedCall {
    fn drop(&mut self) {
        *self.0.queued.borrow_mut() -= 1;
    }
}
