//! The discovery client: the format of the server list, the ids derived from server names, and the watch for
//! changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Condition, ServerEntry, ServerId};
use bytes::Bytes;
use http_body_util::Full;
use mothpier_host::Host;
use mothpier_host::failure::ConnectFailure;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::http::{self, Connection};
use crate::input::{DiscoveryEvent, Input};
use crate::start_times::StartTimes;

/// Long-poll wait of a watch call. Short, so that a silent watch is noticed soon: changes that it misses
/// count as delivered 6 s after it falls silent, and by then it must have been abandoned, reopened and
/// answered.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Long-poll wait of the first watch call to a shared service, which may also have to queue for its turn.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time after the wait by which an agent must have answered. It also holds for a shared service once the
/// watch is established, since only the first call queues there.
const WATCH_GRACE: Duration = Duration::from_millis(1500);
/// The same for the first call to a shared service, which handles calls in turn and fails those that have
/// queued for 2 s. A client that gives up earlier loses its place while the service still does the work: if
/// many do so, none gets an answer.
const SERVICE_GRACE: Duration = Duration::from_millis(2500);
/// Pause between calls after a failure. A watch is not interrupted if the next call arrives within 200 ms.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_LIST_BYTES: usize = 4 << 20;

/// A list from discovery, complete or with changes only.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    pub revision: u64,
    /// Whether the list is complete, rather than a set of changes.
    pub complete: bool,
    /// The servers.
    pub members: Vec<ListedServer>,
}

impl ServerList {
    /// Whether the list has a ready server other than origins.
    pub(crate) fn has_ready_cache_server(&self, origin: Option<&String>) -> bool {
        self.members.iter().any(|member| member.phase == "ready" && Some(&member.flavor) != origin)
    }
}

/// A server as listed by discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedServer {
    pub(crate) id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u16,
    pub(crate) phase: String,
    size: Option<f32>,
    #[serde(default)]
    pub(crate) up_since_ms: u64,
}

impl ListedServer {
    /// Whether the server is in service; in any phase but ready and draining it has left.
    pub(crate) fn is_in_service(&self) -> bool {
        matches!(self.phase.as_str(), "ready" | "draining")
    }
}

/// What the decision module wants of discovery.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Subscription {
    pub watch: bool,
    /// Counts the calls requested in addition to a watch or to start one.
    pub requested_calls: u32,
}

/// Maps server names to the ids that the decision module uses. Ids depend on the names alone, so that all
/// nodes rank servers in the same order.
#[derive(Default)]
pub struct ServerIds(HashMap<String, ServerId>, HashSet<ServerId>);

impl ServerIds {
    /// Returns the id of a server.
    pub(crate) fn id_of(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.0.get(name) {
            return *id;
        }
        // On a hash collision the later name takes the next hash that is free.
        let mut seed = 0;
        let id = loop {
            let id = xxh3_64_with_seed(name.as_bytes(), seed) as ServerId;
            if !self.1.contains(&id) {
                break id;
            }
            seed += 1;
        };
        self.0.insert(name.into(), id);
        self.1.insert(id);
        id
    }

    /// Number of ids kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.0.len().max(self.1.len())
    }

    /// Drops the ids of servers that have left. A server that returns gets the same id, since it is derived
    /// from the name.
    pub fn forget(&mut self, has_left: impl Fn(ServerId) -> bool) {
        self.0.retain(|_, id| !has_left(*id));
        self.1.retain(|id| !has_left(*id));
    }

    /// Converts a list for the decision module and adds the addresses. Servers are handled in the order of
    /// their names, so that nodes with the same list resolve collisions alike. Start times are given on this
    /// node's clock.
    pub fn resolve_entries(
        &mut self,
        host: &impl Host,
        list: &mut ServerList,
        settings: &DeploymentSettings,
        start_times: &StartTimes,
    ) -> Vec<(ServerEntry, Option<SocketAddr>)> {
        list.members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut entries = Vec::with_capacity(list.members.len());
        for server in &list.members {
            let condition = match server.phase.as_str() {
                "ready" => Condition::Ready,
                "draining" => Condition::Draining,
                _ => Condition::Gone,
            };
            let address = server.host_port.parse().ok();
            if address.is_none() && condition == Condition::Ready {
                host.log(format_args!(
                    "discovery: ignoring server {}: {:?} is not an address",
                    server.id, server.host_port
                ));
                continue;
            }
            let entry = ServerEntry {
                id: self.id_of(&server.id),
                zone: name_index(&settings.zone_names, &server.locality, u8::MAX.into()) as u8,
                cell: server.cell,
                machine_type: name_index(&settings.machine_type_names, &server.flavor, u16::MAX.into())
                    as u16,
                weight: server.size.filter(|s| s.is_finite()).unwrap_or(1.0),
                started_at: start_times.started(&server.id, server.up_since_ms),
                condition,
            };
            entries.push((entry, address));
        }
        entries
    }
}

/// Index of a name in the settings. A name that is not configured gets an index beyond them, the same at
/// every node.
fn name_index(names: &[String], name: &str, max: u64) -> u64 {
    let hashed = || {
        names.len() as u64
            + xxh3_64_with_seed(name.as_bytes(), 0) % max.saturating_sub(names.len() as u64).max(1)
    };
    names.iter().position(|n| n == name).map_or_else(hashed, |at| at as u64)
}

/// The kind of discovery that this node talks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent of this node's own; calls to it are cheap.
    Agent,
    /// One service of limited capacity, shared by all nodes.
    Service,
}

impl DiscoveryKind {
    /// How long a call waits at the server if nothing has changed, and how much later it times out.
    fn call_timeouts(self, state: WatchState) -> (Duration, Duration) {
        match (self, state) {
            (DiscoveryKind::Agent, _) | (DiscoveryKind::Service, WatchState::Established) => {
                (WATCH_WAIT, WATCH_GRACE)
            }
            (DiscoveryKind::Service, WatchState::Opening) => (FIRST_WATCH_WAIT, SERVICE_GRACE),
        }
    }
}

/// Progress of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// Nothing has been received on this connection.
    Opening,
    /// The watch continues from an earlier response.
    Established,
}

/// The pending response to a call.
type ResponseFuture = Pin<Box<dyn Future<Output = Result<Bytes, String>>>>;

/// A call that has timed out. Its response may have been written at that moment, and then counts as
/// delivered.
struct LateResponse {
    response: ResponseFuture,
    _connection: Connection,
}

impl LateResponse {
    /// Waits for the list; never returns if none arrives.
    async fn wait_for_list(late: &mut Option<LateResponse>) -> ServerList {
        if let Some(LateResponse { response, .. }) = late {
            let response = response.await;
            *late = None;
            if let Some(list) = response.ok().and_then(|body| parse_list(&body).ok()) {
                return list;
            }
        }
        std::future::pending().await
    }
}

/// Why a call returned no list.
enum CallFailure {
    /// The call timed out. An established watch has fallen silent.
    TimedOut(LateResponse),
    /// The call was rejected or interrupted.
    Failed(String),
    /// This machine could not open the connection, which says nothing about discovery.
    Local(std::io::Error),
}

impl std::fmt::Display for CallFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallFailure::TimedOut(_) => f.write_str("no response"),
            CallFailure::Failed(reason) => f.write_str(reason),
            CallFailure::Local(error) => write!(f, "this machine cannot connect: {error}"),
        }
    }
}

/// Watches the list while the node wants it, at the current address of discovery.
pub async fn run<H: Host>(
    host: H,
    kind: DiscoveryKind,
    mut addresses: watch::Receiver<SocketAddr>,
    known_revision: Option<u64>,
    mut subscriptions: watch::Receiver<Subscription>,
    events: mpsc::Sender<Input>,
) {
    let (mut connection, mut revision, mut served_calls, mut is_failing) = (None, known_revision, 0, false);
    let mut is_failing_locally = false;
    // The decision module takes any list for the response to its watch, including one requested because
    // discovery has moved. The watch therefore continues until a call fails, even if a failure reported
    // before that list has just withdrawn the subscription.
    let mut continue_watch = false;
    // The list known at the start may be stale. An agent supplies a complete list at no cost; a shared
    // service is asked only for the changes since.
    let mut needs_first_list = kind == DiscoveryKind::Agent;
    let mut has_moved = false;
    let mut watch_state = WatchState::Opening;
    // The call that timed out last.
    let mut late_response: Option<LateResponse> = None;
    loop {
        let subscription = *subscriptions.borrow_and_update();
        if addresses.has_changed().unwrap_or(false) {
            has_moved = true;
        }
        let address = *addresses.borrow_and_update();
        if has_moved {
            // A different service: its revisions are unrelated to the old ones, so the complete list is
            // requested and late responses of the old service are ignored.
            (connection, revision, is_failing, watch_state) = (None, None, false, WatchState::Opening);
            late_response = None;
        }
        let watch = subscription.watch || continue_watch;
        if !watch && subscription.requested_calls == served_calls && !has_moved {
            tokio::select! {
                biased;
                changed = subscriptions.changed() => if changed.is_err() { return },
                Ok(()) = addresses.changed() => has_moved = true,
                list = LateResponse::wait_for_list(&mut late_response) => {
                    // The decision module takes it for the response to a watch.
                    continue_watch = true;
                    revision = Some(list.revision);
                    if events.send(Input::Discovery(DiscoveryEvent::List(list))).await.is_err() {
                        return;
                    }
                }
            }
            continue;
        }
        let is_complete = needs_first_list || !watch;
        let after = revision.filter(|_| !is_complete);
        let is_reused = connection.is_some();
        let result = {
            let mut call =
                pin!(fetch_list(&host, kind.call_timeouts(watch_state), &mut connection, address, after));
            loop {
                tokio::select! {
                    biased;
                    Ok(()) = addresses.changed() => {
                        has_moved = true;
                        break None;
                    }
                    result = &mut call => break Some(result),
                    list = LateResponse::wait_for_list(&mut late_response) => {
                        // The response to the call in progress is newer, or the same.
                        revision = Some(list.revision);
                        if events.send(Input::Discovery(DiscoveryEvent::List(list))).await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        let Some(result) = result else { continue };
        if let Err(CallFailure::Local(error)) = result {
            // Discovery was not reached: the call is repeated, and no failure of discovery is reported.
            if !is_failing_locally {
                host.log(format_args!("discovery: {}; retrying", CallFailure::Local(error)));
            }
            (connection, watch_state, is_failing_locally) = (None, WatchState::Opening, true);
            sleep(RETRY_DELAY).await;
            if events.is_closed() {
                return;
            }
            continue;
        }
        if let Ok(list) = &result
            && is_reused
            && after.is_some_and(|after| list.revision < after)
        {
            // A duplicate response to an earlier call; a new connection has none.
            host.log(format_args!(
                "discovery: received revision {} after a newer one; reconnecting",
                list.revision
            ));
            (connection, watch_state) = (None, WatchState::Opening);
            continue;
        }
        let continues = watch || has_moved;
        (has_moved, served_calls) = (false, subscription.requested_calls);
        let event = match result {
            Ok(list) => {
                (needs_first_list, is_failing, watch_state, is_failing_locally) =
                    (false, false, WatchState::Established, false);
                late_response = None;
                continue_watch = continues;
                revision = Some(list.revision);
                DiscoveryEvent::List(list)
            }
            // Reopened without a pause: changes that the watch misses count as delivered soon.
            Err(CallFailure::TimedOut(response)) if watch_state == WatchState::Established => {
                host.log(format_args!("discovery: the watch timed out; reopening it"));
                (late_response, watch_state) = (Some(response), WatchState::Opening);
                continue;
            }
            Err(e) => {
                // Start again on a new connection, so that a broken one cannot block the watch.
                (connection, watch_state, continue_watch) = (None, WatchState::Opening, false);
                if !is_failing {
                    host.log(format_args!("discovery: {e}; retrying"));
                }
                is_failing = true;
                if let CallFailure::TimedOut(response) = e {
                    late_response = Some(response);
                }
                DiscoveryEvent::Failed
            }
        };
        if events.send(Input::Discovery(event)).await.is_err() {
            return;
        }
        if is_failing {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Classifies a failure to connect.
fn classify_connect_error(error: std::io::Error) -> CallFailure {
    match ConnectFailure::from_error(&error) {
        ConnectFailure::Local => CallFailure::Local(error),
        ConnectFailure::Remote => CallFailure::Failed(format!("cannot connect: {error}")),
    }
}

async fn fetch_list<H: Host>(
    host: &H,
    (wait, grace): (Duration, Duration),
    connection_slot: &mut Option<Connection>,
    address: SocketAddr,
    after: Option<u64>,
) -> Result<ServerList, CallFailure> {
    let failed = |reason: String| CallFailure::Failed(reason);
    let path = match after {
        Some(revision) => format!("/api/targets?after={revision}&wait_ms={}", wait.as_millis()),
        None => "/api/targets".into(),
    };
    if connection_slot.as_ref().is_none_or(|c| !c.sender.is_ready()) {
        *connection_slot = Some(http::connect(host, address, grace).await.map_err(classify_connect_error)?);
    }
    let Some(mut connection) = connection_slot.take() else { return Err(failed("no connection".into())) };
    let request =
        hyper::Request::get(path).header("Host", address.to_string()).body(Full::<Bytes>::default());
    let request = request.map_err(|e| failed(e.to_string()))?;
    // Calls for a complete list do not long-poll: a longer time-out would use up the time within which a move
    // of discovery must be followed.
    let time_limit = if after.is_some() { wait + grace } else { grace };
    let response = connection.sender.send_request(request);
    let mut response_body: ResponseFuture = Box::pin(async {
        let response = response.await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("unexpected status {}", response.status()));
        }
        http::read_body(response.into_body(), MAX_LIST_BYTES, None).await
    });
    let Ok(body) = timeout(time_limit, &mut response_body).await else {
        return Err(CallFailure::TimedOut(LateResponse { response: response_body, _connection: connection }));
    };
    let body = body.map_err(failed)?;
    let _ = tokio::time::timeout(RETRY_DELAY, connection.sender.ready()).await;
    *connection_slot = Some(connection);
    parse_list(&body).map_err(failed)
}

/// Parses the body of a response.
///
/// # Errors
/// A message if the body is not a list.
fn parse_list(body: &[u8]) -> Result<ServerList, String> {
    serde_json::from_slice(body).map_err(|e| format!("invalid server list: {e}"))
}

#[cfg(test)]
#[path = "../tests/unit/discovery.rs"]
mod tests;
