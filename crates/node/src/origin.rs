//! HTTP/1.1 client for the origin, with one call at a time on a connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::{ServerId, Status};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request};
use mothpier_host::Host;
use mothpier_host::failure::ConnectFailure;
use mothpier_ops::Metrics;
use mothpier_resp::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::command::{
    AttemptExtras, AttemptId, Command, LargeValue, LargeValuePart, MAX_CHUNK_BYTES, ReceivedValue, Reply,
    STREAM_STALL_TIMEOUT,
};
use crate::duplicate_responses::{Doubt, Fingerprint, RecentResponses, VerificationState};
use crate::http::{self, Connection};
use crate::input::Input;
use crate::local_failures::LocalFailures;
use crate::memory::{MemoryBudget, ReceiveMemory};

/// A connection that has been idle for this share of the idle time-out is not used again.
const REUSABLE_IDLE_SHARE: f64 = 0.7;
/// Time within which the body must continue after the head of a response.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of doubted values that are kept until their keys are requested again.
const MAX_DOUBTS: usize = 16;
/// Characters of a key that are percent-encoded: all that a path segment cannot contain literally.
const PATH_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b':')
    .remove(b'@')
    .remove(b'!')
    .remove(b'$')
    .remove(b'&')
    .remove(b'\'')
    .remove(b'(')
    .remove(b')')
    .remove(b'*')
    .remove(b'+')
    .remove(b',')
    .remove(b';')
    .remove(b'=');

/// Result of a call.
pub struct CallResult {
    pub status: Status,
    pub value: Option<Reply>,
    /// The load report as received.
    pub load: String,
}

impl CallResult {
    fn from_status(status: Status) -> Self {
        CallResult { status, value: None, load: String::new() }
    }
}

/// What a call is about.
struct CallSubject {
    key: Bytes,
    /// Whether the call may be repeated although it may have been executed.
    may_run_twice: bool,
}

/// A request to be sent.
struct OutgoingRequest {
    request: Request<Full<Bytes>>,
    /// `None` for a probe.
    subject: Option<CallSubject>,
    /// Extras of an attempt, which state the time left when they are written; `None` for a probe.
    extras: Option<AttemptExtras>,
}

impl OutgoingRequest {
    /// Builds the request to be sent now; `None` if the attempt has no time left.
    fn into_request(mut self) -> Option<Request<Full<Bytes>>> {
        if let Some(extras) = self.extras {
            // Extras are printable: the parser of client commands rejects all others.
            let list = HeaderValue::from_maybe_shared(extras.encode_now()?).ok()?;
            self.request.headers_mut().insert("X-Extras", list);
        }
        Some(self.request)
    }
}

/// A call in flight.
pub struct Call {
    written: Rc<Cell<bool>>,
    task: AbortHandle,
}

impl Call {
    /// Whether sending has begun, so that the origin may execute the call.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Cancels the call and closes its connection. Returns whether the origin may have executed it.
    pub fn cancel(self) -> bool {
        self.task.abort();
        self.written.get()
    }
}

struct ConnectionPool {
    address: Option<SocketAddr>,
    ready: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    verification: RefCell<VerificationState>,
    /// Doubted values whose keys have not been requested on a new connection since, the latest last.
    doubts: RefCell<VecDeque<(Bytes, Doubt)>>,
}

/// A connection with its descriptor permit and the responses received on it.
struct PooledConnection {
    connection: Connection,
    _permit: OwnedSemaphorePermit,
    recent: RecentResponses,
}

/// An idle connection, and since when it is idle.
struct IdleConnection(PooledConnection, Instant);

impl ConnectionPool {
    fn new(address: Option<SocketAddr>, ready: bool) -> Self {
        ConnectionPool {
            address,
            ready: Cell::new(ready),
            idle: RefCell::default(),
            verification: RefCell::default(),
            doubts: RefCell::default(),
        }
    }

    /// Takes a connection that has been idle for less than `max_idle`. With `quiet`, only one on which no
    /// duplicate response can still arrive.
    fn take_idle(&self, max_idle: Duration, quiet: bool) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|IdleConnection(pooled, since)| {
            pooled.connection.sender.is_ready() && since.elapsed() < max_idle
        });
        let position = idle
            .iter()
            .rposition(|IdleConnection(pooled, _)| !quiet || pooled.recent.duplicates_expired())?;
        Some(idle.remove(position).0)
    }

    fn put_back(&self, pooled: PooledConnection) {
        if self.ready.get() {
            self.idle.borrow_mut().push(IdleConnection(pooled, Instant::now()));
        }
    }

    /// Whether a value may be a duplicate of another on its connection; if not, it is recorded. The call is
    /// not repeated here, since each call counts against the limits: the decision module handles the failure.
    fn is_doubtful(
        &self,
        subject: &CallSubject,
        value: &[u8],
        recent: &mut RecentResponses,
        written_at: Instant,
    ) -> bool {
        let value = Fingerprint::of_value(value);
        let mut verification = self.verification.borrow_mut();
        verification.record_response();
        if recent.is_empty() {
            self.resolve_doubt(subject, value, &mut verification);
        }
        // Equal rejections are common at an overloaded origin, and fetching a value again is expensive.
        let is_known = |doubt: &Doubt| doubt.is_sync_doubt() && !verification.is_distrusted();
        let doubt = recent.doubt(&subject.key, written_at, value).filter(|doubt| !is_known(doubt));
        match doubt.filter(|doubt| verification.needs_check(*doubt)) {
            Some(doubt) => {
                let mut doubts = self.doubts.borrow_mut();
                if doubts.len() == MAX_DOUBTS {
                    doubts.pop_front();
                }
                doubts.push_back((subject.key.clone(), doubt));
                true
            }
            None => {
                recent.push(&subject.key, value);
                false
            }
        }
    }

    /// Resolves a doubt with the first value on a connection, which cannot be a duplicate.
    fn resolve_doubt(&self, subject: &CallSubject, value: Fingerprint, verification: &mut VerificationState) {
        let mut doubts = self.doubts.borrow_mut();
        let Some(position) = doubts.iter().position(|(key, _)| *key == subject.key) else { return };
        if let Some((_, doubt)) = doubts.remove(position) {
            verification.resolve_doubt(doubt, value);
        }
    }
}

/// Opens connections to origins.
#[derive(Clone)]
struct Connector<H> {
    host: H,
    timeout: Duration,
    /// Limits the open connections to all origins.
    permits: Arc<Semaphore>,
    /// A shortage on this machine affects the connections to all origins.
    local_failures: Rc<RefCell<LocalFailures>>,
    /// Memory for responses that are being received.
    memory: Rc<MemoryBudget>,
}

impl<H: Host> Connector<H> {
    /// Opens a connection, or returns the status of the attempt. A lack of descriptors, or a retry too soon
    /// after a shortage on this machine, does not count as a failure of the origin.
    async fn connect(&self, to: SocketAddr) -> Result<PooledConnection, Status> {
        let permit = self.permits.clone().try_acquire_owned().map_err(|_| Status::LocalFailure)?;
        if !self.local_failures.borrow().may_connect() {
            return Err(Status::LocalFailure);
        }
        let connected = http::connect(&self.host, to, self.timeout).await;
        let mut failures = self.local_failures.borrow_mut();
        match connected {
            Ok(connection) => {
                failures.record_success();
                Ok(PooledConnection { connection, _permit: permit, recent: RecentResponses::default() })
            }
            Err(error) if ConnectFailure::from_error(&error) == ConnectFailure::Local => {
                if failures.record_failure() {
                    self.host.log(format_args!("this machine cannot connect to the origin: {error}"));
                }
                Err(Status::LocalFailure)
            }
            Err(_) => Err(Status::ConnectFailed),
        }
    }
}

/// Limits of the calls.
pub struct Limits {
    /// Limit of the connections to all origins together; at least one may be open.
    pub max_connections: usize,
    /// Memory for responses that are being received.
    pub memory: Rc<MemoryBudget>,
}

/// The origins in the server list.
pub struct Origins<H> {
    connector: Connector<H>,
    pools: BTreeMap<ServerId, Rc<ConnectionPool>>,
    reusable_for: Duration,
    /// Maximum number of open connections to all origins.
    max_connections: usize,
    metrics: Arc<Metrics>,
    events: mpsc::Sender<Input>,
}

impl<H: Host> Origins<H> {
    pub fn new(
        host: H,
        idle_timeout: Duration,
        connect_timeout: Duration,
        limits: Limits,
        metrics: Arc<Metrics>,
        events: mpsc::Sender<Input>,
    ) -> Self {
        let max_connections = limits.max_connections.max(1);
        let connector = Connector {
            host,
            timeout: connect_timeout,
            permits: Arc::new(Semaphore::new(max_connections)),
            local_failures: Rc::default(),
            memory: limits.memory,
        };
        let reusable_for = idle_timeout.mul_f64(REUSABLE_IDLE_SHARE);
        Origins { connector, pools: BTreeMap::new(), reusable_for, max_connections, metrics, events }
    }

    /// Adds or updates an origin in service.
    pub fn update_origin(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) {
        let known = self.pools.get(&server).filter(|p| address.is_none() || p.address == address);
        if let Some(pool) = known {
            pool.ready.set(ready);
            if !ready {
                pool.idle.borrow_mut().clear();
            }
        } else {
            let pool = ConnectionPool::new(address, ready);
            if let Some(old) = self.pools.insert(server, Rc::new(pool)) {
                old.ready.set(false);
            }
        }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.max_connections.saturating_sub(self.connector.permits.available_permits())
    }

    /// Number of origins kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Removes an origin that has left the list.
    pub fn remove(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.remove(&server) {
            // A call in progress holds the pool and must see that no connection is to be kept.
            pool.ready.set(false);
        }
    }

    /// Sends a command to the origin; the result arrives as an input of the node. Counted among the attempts,
    /// since the list contains origins beside cache servers.
    pub fn send(
        &self,
        server: ServerId,
        attempt: AttemptId,
        command: &Command,
        extras: AttemptExtras,
        may_run_twice: bool,
    ) -> Option<Call> {
        let pool = self.pools.get(&server).filter(|p| p.ready.get())?.clone();
        let address = pool.address?;
        let method = if command.write { Method::PUT } else { Method::GET };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{}", percent_encode(&command.key, PATH_ENCODE_SET)))
            .header("Host", address.to_string())
            .header("X-Request-Id", command.id.as_ref())
            .body(Full::new(command.value.clone().unwrap_or_default()))
            .ok()?;
        let subject = CallSubject { key: command.key.clone(), may_run_twice };
        let outgoing = OutgoingRequest { request, subject: Some(subject), extras: Some(extras) };
        Some(self.spawn(pool, address, attempt, outgoing))
    }

    /// Requests the load of an origin.
    pub fn probe(&self, server: ServerId, attempt: AttemptId) -> Option<Call> {
        let pool = self.pools.get(&server).filter(|p| p.ready.get())?.clone();
        let address = pool.address?;
        let request =
            Request::get("/-/load").header("Host", address.to_string()).body(Full::default()).ok()?;
        Some(self.spawn(pool, address, attempt, OutgoingRequest { request, subject: None, extras: None }))
    }

    fn spawn(
        &self,
        pool: Rc<ConnectionPool>,
        address: SocketAddr,
        attempt: AttemptId,
        outgoing: OutgoingRequest,
    ) -> Call {
        let written = Rc::new(Cell::new(false));
        let metrics = outgoing.extras.is_some().then(|| self.metrics.clone());
        let (connector, is_written, events) = (self.connector.clone(), written.clone(), self.events.clone());
        let on_write = move || {
            is_written.set(true);
            metrics.iter().for_each(|metrics| metrics.attempt_sent());
        };
        let max_idle = self.reusable_for;
        let task = tokio::task::spawn_local(async move {
            let exchanged = exchange(&connector, &pool, address, outgoing, max_idle, on_write).await;
            let (result, large) = match exchanged {
                Ok((result, large)) => (result, large),
                Err(status) => (CallResult::from_status(status), None),
            };
            let _ = events.send(Input::Origin { attempt, result, read_at: Instant::now() }).await;
            if let Some(large) = large {
                large.pass_on().await;
            }
        });
        Call { written, task: task.abort_handle() }
    }

    /// Closes the idle connections to an origin.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pool) = self.pools.get(&server) {
            pool.idle.borrow_mut().clear();
        }
    }

    /// Closes the idle connections to all origins.
    pub fn close_all_idle(&self) {
        self.pools.values().for_each(|pool| pool.idle.borrow_mut().clear());
    }
}

async fn exchange<H: Host>(
    connector: &Connector<H>,
    pool: &ConnectionPool,
    address: SocketAddr,
    mut outgoing: OutgoingRequest,
    max_idle: Duration,
    on_write: impl FnOnce(),
) -> Result<(CallResult, Option<LargeValueTransfer>), Status> {
    // Yield once, so that a close by the origin is noticed before a connection is chosen: a write that must
    // not run twice would be lost on it.
    tokio::task::yield_now().await;
    let subject = outgoing.subject.take();
    let runs_once = subject.as_ref().is_some_and(|subject| !subject.may_run_twice);
    let mut pooled = match pool.take_idle(max_idle, runs_once) {
        Some(pooled) => pooled,
        None => match connector.connect(address).await {
            // This machine cannot open another connection, so any idle one has to do.
            Err(Status::LocalFailure) => pool.take_idle(max_idle, false).ok_or(Status::LocalFailure)?,
            connected => connected?,
        },
    };
    // The next response is then certain to belong to this call.
    let is_certain = runs_once && pooled.recent.duplicates_expired();
    // The origin may have begun to drain while the connection was opened; nothing new is sent to it then.
    if !pool.ready.get() {
        return Err(Status::NotSent);
    }
    let request = outgoing.into_request().ok_or(Status::NotSent)?;
    on_write();
    let written_at = Instant::now();
    let response = match pooled.connection.sender.try_send_request(request).await {
        Ok(response) => response,
        // Returned unsent: the connection had ended before anything was written.
        Err(e) if e.message().is_some() => return Err(Status::ConnectFailed),
        Err(_) => return Err(Status::Reset),
    };
    let header = |name: &str| {
        response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let load = header("X-Load");
    let code = response.status().as_u16();
    let status = match code {
        200 => Status::Served,
        503 | 504 if header("X-Not-Run") == "1" => Status::Full,
        _ => Status::Error,
    };
    let length = response.body().size_hint().exact().and_then(|n| usize::try_from(n).ok());
    if status == Status::Served
        && let Some(length) = length.filter(|n| (MAX_BUFFERED_VALUE_BYTES + 1..=MAX_VALUE_BYTES).contains(n))
    {
        let (parts, stream) = LargeValue::new(length);
        let large = LargeValueTransfer { body: response.into_body(), parts, _connection: pooled };
        return Ok((CallResult { status, value: Some(Reply::Stream(stream)), load }, Some(large)));
    }
    let mut memory = ReceiveMemory::new(connector.memory.clone());
    let expected = length.unwrap_or(MAX_BUFFERED_VALUE_BYTES).min(MAX_BUFFERED_VALUE_BYTES);
    memory.reserve(expected, BODY_STALL_TIMEOUT).await.map_err(|_| Status::Reset)?;
    // A body that stalls, or that is too long without a stated length, is no response; its connection is
    // dropped.
    let value = http::read_body(response.into_body(), expected, Some(BODY_STALL_TIMEOUT))
        .await
        .map_err(|_| Status::Reset)?;
    if let Some(subject) = &subject {
        if status == Status::Served && is_certain {
            pooled.recent.push(&subject.key, Fingerprint::of_value(&value));
        } else if status == Status::Served
            && pool.is_doubtful(subject, &value, &mut pooled.recent, written_at)
        {
            return Err(Status::Reset);
        }
        let may_be_duplicate =
            status != Status::Served && pooled.recent.push_without_value(&code.to_le_bytes());
        if may_be_duplicate && !is_certain {
            // The actual response may still arrive and would be taken for that of the next call, so the
            // connection is not kept.
            return match subject.may_run_twice {
                true => {
                    let value = ReceivedValue { bytes: value, memory: memory.take() };
                    Ok((CallResult { status, value: Some(Reply::Value(value)), load }, None))
                }
                // Nor is the statement reliable that the call was not executed.
                false => Err(Status::Error),
            };
        }
    }
    pool.put_back(pooled);
    let value = ReceivedValue { bytes: value, memory: memory.take() };
    Ok((CallResult { status, value: Some(Reply::Value(value)), load }, None))
}

/// A large value whose transfer has begun.
struct LargeValueTransfer {
    body: Incoming,
    parts: mpsc::Sender<LargeValuePart>,
    _connection: PooledConnection,
}

impl LargeValueTransfer {
    /// Passes the value on as fast as the client reads it, and closes the connection afterwards: a streamed
    /// value cannot be compared with another one, so no later call may meet a duplicate of it.
    async fn pass_on(mut self) {
        loop {
            let data = match timeout(STREAM_STALL_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    // If it fails, the client has gone.
                    let _ = self.parts.send(LargeValuePart::End).await;
                    return;
                }
                // The body stalls, or ends before its stated length.
                Ok(Some(Err(_))) | Err(_) => return,
            };
            if self.send_chunks(data).await.is_err() {
                return;
            }
        }
    }

    /// Sends a part of the body; fails once the client has gone.
    async fn send_chunks(&self, mut data: Bytes) -> Result<(), mpsc::error::SendError<LargeValuePart>> {
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(MAX_CHUNK_BYTES));
            self.parts.send(LargeValuePart::Chunk(chunk)).await?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/origin.rs"]
mod tests;
