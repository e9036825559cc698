//! Calls to the origin over HTTP/1.1, one at a time on a connection.

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
    AttemptExtras, AttemptId, Command, LargeValue, MAX_CHUNK_BYTES, Reply, STREAM_STALL_TIMEOUT,
};
use crate::duplicate_responses::{Doubt, Fingerprint, RecentResponses, VerificationState};
use crate::http::{self, Connection};
use crate::input::Input;
use crate::local_failures::LocalFailures;

/// A connection idle for this part of the time after which it is closed is not used again.
const FRESH: f64 = 0.7;
/// After its head an answer's body goes on within this time.
const BEGUN: Duration = Duration::from_millis(250);
/// Doubts that are kept until their keys are asked for again.
const MOST_DOUBTS: usize = 16;
/// What of a key stands in a path as something else: all that a path segment can't hold as it is.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
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

/// How a call ended.
pub struct Ended {
    pub status: Status,
    pub value: Option<Reply>,
    /// The load report, as it came.
    pub load: String,
}

impl Ended {
    fn with(status: Status) -> Self {
        Ended { status, value: None, load: String::new() }
    }
}

/// What a call is about.
struct Subject {
    key: Bytes,
    /// Whether it may be called again after it may have run.
    may_run_twice: bool,
}

/// A request that is to be written.
struct Outgoing {
    request: Request<Full<Bytes>>,
    /// `None` for a probe.
    subject: Option<Subject>,
    /// Of an attempt, which tells the time left when it is written; a probe has none.
    extras: Option<AttemptExtras>,
}

impl Outgoing {
    /// The request to be written now; `None` where the attempt has no time left.
    fn into_request(mut self) -> Option<Request<Full<Bytes>>> {
        if let Some(extras) = self.extras {
            // Extras are printable: `Clients::parse` lets nothing else through.
            let list = HeaderValue::from_maybe_shared(extras.encode_now()?).ok()?;
            self.request.headers_mut().insert("X-Extras", list);
        }
        Some(self.request)
    }
}

/// A call that is out.
pub struct Call {
    written: Rc<Cell<bool>>,
    task: AbortHandle,
}

impl Call {
    /// Whether its writing has begun: it may run.
    pub fn written(&self) -> bool {
        self.written.get()
    }

    /// Stops waiting, which closes its connection; whether it may have run.
    pub fn give_up(self) -> bool {
        self.task.abort();
        self.written.get()
    }
}

struct Pool {
    address: Option<SocketAddr>,
    ready: Cell<bool>,
    idle: RefCell<Vec<Idle>>,
    findings: RefCell<VerificationState>,
    /// Doubts about values of which the keys have not been asked for on a new connection since, the latest last.
    doubts: RefCell<VecDeque<(Bytes, Doubt)>>,
}

/// A connection with its part of the descriptors, and the responses that came on it.
struct Lease {
    connection: Connection,
    _permit: OwnedSemaphorePermit,
    recent: RecentResponses,
}

/// A connection that carries nothing, and since when.
struct Idle(Lease, Instant);

impl Pool {
    fn new(address: Option<SocketAddr>, ready: bool) -> Self {
        Pool {
            address,
            ready: Cell::new(ready),
            idle: RefCell::default(),
            findings: RefCell::default(),
            doubts: RefCell::default(),
        }
    }

    /// Takes a connection that carries nothing and has done so for less than a time; a quiet one is one on which
    /// no response may still be repeated.
    fn take_idle(&self, fresh: Duration, quiet: bool) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|Idle(lease, since)| lease.connection.sender.is_ready() && since.elapsed() < fresh);
        let place = idle.iter().rposition(|Idle(lease, _)| !quiet || lease.recent.duplicates_expired())?;
        Some(idle.remove(place).0)
    }

    fn keep(&self, lease: Lease) {
        if self.ready.get() {
            self.idle.borrow_mut().push(Idle(lease, Instant::now()));
        }
    }

    /// Whether a value may be the repeat of another that came on its connection; keeps it where it is not. Nothing is asked
    /// again here, for each call counts against the caps: its failure is for the decision module.
    fn doubts_value(
        &self,
        subject: &Subject,
        value: &[u8],
        recent: &mut RecentResponses,
        written: Instant,
    ) -> bool {
        let value = Fingerprint::of_value(value);
        let mut findings = self.findings.borrow_mut();
        findings.record_response();
        if recent.is_empty() {
            self.settle(subject, value, &mut findings);
        }
        // An origin that turns calls away does so often, and its values are dear.
        let is_known = |doubt: &Doubt| doubt.is_sync_doubt() && !findings.is_distrusted();
        let doubt = recent.doubt(&subject.key, written, value).filter(|doubt| !is_known(doubt));
        match doubt.filter(|doubt| findings.needs_check(*doubt)) {
            Some(doubt) => {
                let mut doubts = self.doubts.borrow_mut();
                if doubts.len() == MOST_DOUBTS {
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

    /// Learns from the first value on a connection, which can't be a repeat.
    fn settle(&self, subject: &Subject, value: Fingerprint, findings: &mut VerificationState) {
        let mut doubts = self.doubts.borrow_mut();
        let Some(place) = doubts.iter().position(|(key, _)| *key == subject.key) else { return };
        if let Some((_, doubt)) = doubts.remove(place) {
            findings.resolve_doubt(doubt, value);
        }
    }
}

/// Opens connections to origins.
#[derive(Clone)]
struct Connector<H> {
    host: H,
    timeout: Duration,
    /// Connections that may be open to all together.
    descriptors: Arc<Semaphore>,
    /// A shortage of this machine's concerns the connections to all of them.
    local_failures: Rc<RefCell<LocalFailures>>,
}

impl<H: Host> Connector<H> {
    /// Opens one; the status of its attempt where it can't be made. Too few descriptors, or too early after a shortage of
    /// this machine's, are no failure of the origin's.
    async fn connect(&self, to: SocketAddr) -> Result<Lease, Status> {
        let permit = self.descriptors.clone().try_acquire_owned().map_err(|_| Status::LocalFailure)?;
        if !self.local_failures.borrow().may_connect() {
            return Err(Status::LocalFailure);
        }
        let connected = http::connect(&self.host, to, self.timeout).await;
        let mut failures = self.local_failures.borrow_mut();
        match connected {
            Ok(connection) => {
                failures.record_success();
                Ok(Lease { connection, _permit: permit, recent: RecentResponses::default() })
            }
            Err(error) if ConnectFailure::from_error(&error) == ConnectFailure::Local => {
                if failures.record_failure() {
                    self.host.log(format_args!("this machine can't connect to the origin: {error}"));
                }
                Err(Status::LocalFailure)
            }
            Err(_) => Err(Status::ConnectFailed),
        }
    }
}

/// The origins of the list.
pub struct Origins<H> {
    connector: Connector<H>,
    pools: BTreeMap<ServerId, Rc<Pool>>,
    idle_close: Duration,
    /// Connections that may be open to all together.
    most: usize,
    figures: Arc<Metrics>,
    events: mpsc::Sender<Input>,
}

impl<H: Host> Origins<H> {
    pub fn new(
        host: H,
        idle_close: Duration,
        connect_timeout: Duration,
        descriptors: usize,
        figures: Arc<Metrics>,
        events: mpsc::Sender<Input>,
    ) -> Self {
        let most = descriptors.max(1);
        let connector = Connector {
            host,
            timeout: connect_timeout,
            descriptors: Arc::new(Semaphore::new(most)),
            local_failures: Rc::default(),
        };
        let idle_close = idle_close.mul_f64(FRESH);
        Origins { connector, pools: BTreeMap::new(), idle_close, most, figures, events }
    }

    /// Takes a line of the list of one that is not gone.
    pub fn listed(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) {
        let known = self.pools.get(&server).filter(|p| address.is_none() || p.address == address);
        if let Some(pool) = known {
            pool.ready.set(ready);
            if !ready {
                pool.idle.borrow_mut().clear();
            }
        } else {
            let pool = Pool::new(address, ready);
            if let Some(old) = self.pools.insert(server, Rc::new(pool)) {
                old.ready.set(false);
            }
        }
    }

    /// How many connections there are.
    pub fn open(&self) -> usize {
        self.most.saturating_sub(self.connector.descriptors.available_permits())
    }

    /// How many are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Forgets an origin that the list names no longer.
    pub fn gone(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.remove(&server) {
            // A call that is under way holds its pool: it must find that nothing new is wanted.
            pool.ready.set(false);
        }
    }

    /// Calls the origin for a command; its end comes as an event. Counted among the attempts, as the list has origins
    /// among its cache servers.
    pub fn call(
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
            .uri(format!("/{}", percent_encode(&command.key, ENCODED)))
            .header("Host", address.to_string())
            .header("X-Request-Id", command.id.as_ref())
            .body(Full::new(command.value.clone().unwrap_or_default()))
            .ok()?;
        let subject = Subject { key: command.key.clone(), may_run_twice };
        let outgoing = Outgoing { request, subject: Some(subject), extras: Some(extras) };
        Some(self.spawn(pool, address, attempt, outgoing))
    }

    /// Asks an origin for its load.
    pub fn probe(&self, server: ServerId, attempt: AttemptId) -> Option<Call> {
        let pool = self.pools.get(&server).filter(|p| p.ready.get())?.clone();
        let address = pool.address?;
        let request =
            Request::get("/-/load").header("Host", address.to_string()).body(Full::default()).ok()?;
        Some(self.spawn(pool, address, attempt, Outgoing { request, subject: None, extras: None }))
    }

    fn spawn(&self, pool: Rc<Pool>, address: SocketAddr, attempt: AttemptId, outgoing: Outgoing) -> Call {
        let written = Rc::new(Cell::new(false));
        let figures = outgoing.extras.is_some().then(|| self.figures.clone());
        let (connector, begun, events) = (self.connector.clone(), written.clone(), self.events.clone());
        let begins = move || {
            begun.set(true);
            figures.iter().for_each(|f| f.attempt_sent());
        };
        let fresh = self.idle_close;
        let task = tokio::task::spawn_local(async move {
            let answered = exchange(&connector, &pool, address, outgoing, fresh, begins).await;
            let (ended, large) = match answered {
                Ok((ended, large)) => (ended, large),
                Err(status) => (Ended::with(status), None),
            };
            let _ = events.send(Input::Origin { attempt, ended }).await;
            if let Some(large) = large {
                large.pass_on().await;
            }
        });
        Call { written, task: task.abort_handle() }
    }

    /// Closes the connections to an origin that carry nothing.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pool) = self.pools.get(&server) {
            pool.idle.borrow_mut().clear();
        }
    }

    /// Closes the connections to all origins that carry nothing.
    pub fn close_all_idle(&self) {
        self.pools.values().for_each(|pool| pool.idle.borrow_mut().clear());
    }
}

async fn exchange<H: Host>(
    connector: &Connector<H>,
    pool: &Pool,
    address: SocketAddr,
    mut outgoing: Outgoing,
    fresh: Duration,
    begins: impl FnOnce(),
) -> Result<(Ended, Option<Large>), Status> {
    // Once round the runtime: a close that has come in is noticed before a connection is chosen, or a write that
    // must not run twice would be lost on it.
    tokio::task::yield_now().await;
    let subject = outgoing.subject.take();
    let runs_once = subject.as_ref().is_some_and(|subject| !subject.may_run_twice);
    let mut lease = match pool.take_idle(fresh, runs_once) {
        Some(lease) => lease,
        None => match connector.connect(address).await {
            // Where this machine can make no more, one that there is has to do.
            Err(Status::LocalFailure) => pool.take_idle(fresh, false).ok_or(Status::LocalFailure)?,
            connected => connected?,
        },
    };
    // What comes for it then is its own.
    let is_certain = runs_once && lease.recent.duplicates_expired();
    // It may have begun to drain while the connection was made: nothing new goes there then.
    if !pool.ready.get() {
        return Err(Status::NotSent);
    }
    let request = outgoing.into_request().ok_or(Status::NotSent)?;
    begins();
    let written = Instant::now();
    let response = match lease.connection.sender.try_send_request(request).await {
        Ok(response) => response,
        // Given back: the connection had ended before any of it was written.
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
        let (into, stream) = LargeValue::new(length);
        let large = Large { body: response.into_body(), into, _lease: lease };
        return Ok((Ended { status, value: Some(Reply::Stream(stream)), load }, Some(large)));
    }
    // A body that stands still, or is too long for one whose length was not told, is no answer; its connection goes
    // with it.
    let value = http::body(response.into_body(), MAX_BUFFERED_VALUE_BYTES, Some(BEGUN))
        .await
        .map_err(|_| Status::Reset)?;
    if let Some(subject) = &subject {
        if status == Status::Served && is_certain {
            lease.recent.push(&subject.key, Fingerprint::of_value(&value));
        } else if status == Status::Served && pool.doubts_value(subject, &value, &mut lease.recent, written) {
            return Err(Status::Reset);
        }
        let may_repeat = status != Status::Served && lease.recent.push_without_value(&code.to_le_bytes());
        if may_repeat && !is_certain {
            // The true response may still come, and would be taken for the next call's: the connection is not kept.
            return match subject.may_run_twice {
                true => Ok((Ended { status, value: Some(Reply::Value(value)), load }, None)),
                // Nor can it be believed that it never ran.
                false => Err(Status::Error),
            };
        }
    }
    pool.keep(lease);
    Ok((Ended { status, value: Some(Reply::Value(value)), load }, None))
}

/// A large value that has begun to come.
struct Large {
    body: Incoming,
    into: mpsc::Sender<Bytes>,
    _lease: Lease,
}

impl Large {
    /// Passes it on as fast as its client takes it. The connection ends with it: what is passed on as it comes can't be compared
    /// with another value, so that a repeat of it must meet no other call.
    async fn pass_on(mut self) {
        while let Ok(Some(Ok(frame))) = timeout(STREAM_STALL_TIMEOUT, self.body.frame()).await {
            let Ok(mut data) = frame.into_data() else { continue };
            while !data.is_empty() {
                let piece = data.split_to(data.len().min(MAX_CHUNK_BYTES));
                if self.into.send(piece).await.is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/origin.rs"]
mod tests;
