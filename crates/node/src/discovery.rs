//! The list of servers: its form, the numbers behind its names, and the watch on its changes.

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
use crate::input::{Heard, Input};
use crate::start_times::StartTimes;

/// How long a watch waits at the other side: short, so that a silent one is noticed soon. What it misses counts as told 6 s
/// after it fell silent, and until then it must have been given up, opened anew and answered.
const WAIT: Duration = Duration::from_millis(2000);
/// The same of the first call of a watch at a service, which may have to wait for its turn beside that.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// An answer of an agent that is this late after the wait will not come; nor will one on a watch that a service has
/// answered before, for only its first call waits for its turn.
const WATCH_LATE: Duration = Duration::from_millis(1500);
/// A service for all nodes takes calls in turn and fails those that have waited 2 s. Who gives up before loses what it has
/// waited for and costs the service the call all the same: where many do, nobody gets an answer any more.
const SERVICE_LATE: Duration = Duration::from_millis(2500);
/// Between calls after a failure; a watch goes on if the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
const MAX_LIST: usize = 4 << 20;

/// A list as it comes, whole or only what changed.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// The version of the list.
    pub revision: u64,
    /// Whether it is whole.
    pub complete: bool,
    /// Its lines.
    pub members: Vec<Member>,
}

impl ServerList {
    /// Whether it has a server that may be asked, beside those of the origin's kind.
    pub(crate) fn has_ready_cache_server(&self, origin: Option<&String>) -> bool {
        self.members.iter().any(|member| member.phase == "ready" && Some(&member.flavor) != origin)
    }
}

/// One server in a list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
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

impl Member {
    /// Whether it is there: what is neither ready nor draining has left.
    pub(crate) fn is_listed(&self) -> bool {
        matches!(self.phase.as_str(), "ready" | "draining")
    }
}

/// What the module asks for where discovery must be asked.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Subscription {
    pub watch: bool,
    /// Counts the calls that are asked for beside or at the start of a watch.
    pub requested_calls: u32,
}

/// The numbers by which the module knows servers. They are made from the ids alone, so that every node has
/// the same and the order of servers is shared.
#[derive(Default)]
pub struct Numbers(HashMap<String, ServerId>, HashSet<ServerId>);

impl Numbers {
    /// The number of a server.
    pub(crate) fn of(&mut self, id: &str) -> ServerId {
        if let Some(number) = self.0.get(id) {
            return *number;
        }
        // Two ids of one hash must not merge: the later one takes the next hash that is free.
        let mut seed = 0;
        let number = loop {
            let number = xxh3_64_with_seed(id.as_bytes(), seed) as ServerId;
            if !self.1.contains(&number) {
                break number;
            }
            seed += 1;
        };
        self.0.insert(id.into(), number);
        self.1.insert(number);
        number
    }

    /// How many are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.0.len().max(self.1.len())
    }

    /// Forgets the numbers of servers that have left. One that comes back gets the same again, for it is made from
    /// the id.
    pub fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.0.retain(|_, number| !left(*number));
        self.1.retain(|number| !left(*number));
    }

    /// Puts a list into the module's form, with the addresses beside it. Taken in the order of the ids, so
    /// that nodes that hear the same list resolve a clash alike. Starts are told on this node's clock.
    pub fn lines(
        &mut self,
        host: &impl Host,
        list: &mut ServerList,
        site: &DeploymentSettings,
        start_times: &StartTimes,
    ) -> Vec<(ServerEntry, Option<SocketAddr>)> {
        list.members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut lines = Vec::with_capacity(list.members.len());
        for m in &list.members {
            let condition = match m.phase.as_str() {
                "ready" => Condition::Ready,
                "draining" => Condition::Draining,
                _ => Condition::Gone,
            };
            let address = m.host_port.parse().ok();
            if address.is_none() && condition == Condition::Ready {
                host.log(format_args!("{}: {:?} is no address: passed over", m.id, m.host_port));
                continue;
            }
            let line = ServerEntry {
                id: self.of(&m.id),
                zone: place(&site.zone_names, &m.locality, u8::MAX.into()) as u8,
                cell: m.cell,
                machine_type: place(&site.machine_type_names, &m.flavor, u16::MAX.into()) as u16,
                weight: m.size.filter(|s| s.is_finite()).unwrap_or(1.0),
                started_at: start_times.started(&m.id, m.up_since_ms),
                condition,
            };
            lines.push((line, address));
        }
        lines
    }
}

/// The place of a name in the settings; a name that they lack gets a number past them, the same at every node.
fn place(names: &[String], name: &str, most: u64) -> u64 {
    let hashed = || {
        names.len() as u64
            + xxh3_64_with_seed(name.as_bytes(), 0) % most.saturating_sub(names.len() as u64).max(1)
    };
    names.iter().position(|n| n == name).map_or_else(hashed, |at| at as u64)
}

/// Who tells of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent of this node's own, which is asked as often as one likes.
    Agent,
    /// One service of little capacity for all nodes.
    Service,
}

impl DiscoveryKind {
    /// How long a call waits at the other side where nothing has changed, and how long after that it is given up.
    fn patience(self, stage: Stage) -> (Duration, Duration) {
        match (self, stage) {
            (DiscoveryKind::Agent, _) | (DiscoveryKind::Service, Stage::Goes) => (WAIT, WATCH_LATE),
            (DiscoveryKind::Service, Stage::Opens) => (FIRST_WAIT, SERVICE_LATE),
        }
    }
}

/// How far a watch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing has been answered on this connection yet.
    Opens,
    /// It goes on from an answer.
    Goes,
}

/// The answer of a call, whatever it is.
type Answer = Pin<Box<dyn Future<Output = Result<Bytes, String>>>>;

/// A call that nobody waits for any more. Its answer may have been written in that moment; what it tells counts as told then.
struct LateAnswer {
    answer: Answer,
    _connection: Connection,
}

impl LateAnswer {
    /// Waits for the list; for ever where none comes.
    async fn list(late: &mut Option<LateAnswer>) -> ServerList {
        if let Some(LateAnswer { answer, .. }) = late {
            let answer = answer.await;
            *late = None;
            if let Some(list) = answer.ok().and_then(|body| read(&body).ok()) {
                return list;
            }
        }
        std::future::pending().await
    }
}

/// Why a call brought no list.
enum Failure {
    /// Nothing came: where the watch had gone on before, it has fallen silent.
    Silent(LateAnswer),
    /// It was answered otherwise, or broke.
    Failed(String),
    /// This machine could not make the connection, which tells nothing of discovery.
    Local(std::io::Error),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Silent(_) => f.write_str("no answer"),
            Failure::Failed(why) => f.write_str(why),
            Failure::Local(error) => write!(f, "this machine can't connect: {error}"),
        }
    }
}

/// Watches the list for as long as the node wants it, at the address that holds at the time.
pub async fn run<H: Host>(
    host: H,
    teller: DiscoveryKind,
    mut addresses: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    mut wanted: watch::Receiver<Subscription>,
    events: mpsc::Sender<Input>,
) {
    let (mut connection, mut revision, mut calls, mut failing) = (None, known, 0, false);
    let mut failing_locally = false;
    // The module takes a list for the answer to its watch, also one that was asked for because discovery had moved: the
    // watch goes on until a call fails, though a failure told before the list may still be taking back what is wanted.
    let mut goes_on = false;
    // What was held at the start may be old. An agent gives the whole list at no cost; where discovery is one
    // service for all, only what changed since is asked for.
    let mut first = teller == DiscoveryKind::Agent;
    let mut moved = false;
    let mut stage = Stage::Opens;
    // The call that was given up last.
    let mut late: Option<LateAnswer> = None;
    loop {
        let now = *wanted.borrow_and_update();
        if addresses.has_changed().unwrap_or(false) {
            moved = true;
        }
        let address = *addresses.borrow_and_update();
        if moved {
            // Another service: its revisions have nothing to do with the old ones, so the whole list is asked for,
            // and what the old one has still to say is not waited for.
            (connection, revision, failing, stage) = (None, None, false, Stage::Opens);
            late = None;
        }
        let watch = now.watch || goes_on;
        if !watch && now.requested_calls == calls && !moved {
            tokio::select! {
                biased;
                changed = wanted.changed() => if changed.is_err() { return },
                Ok(()) = addresses.changed() => moved = true,
                list = LateAnswer::list(&mut late) => {
                    // It is taken for the answer to a watch.
                    goes_on = true;
                    revision = Some(list.revision);
                    if events.send(Input::Discovery(Heard::List(list))).await.is_err() {
                        return;
                    }
                }
            }
            continue;
        }
        let whole = first || !watch;
        let after = revision.filter(|_| !whole);
        let is_kept = connection.is_some();
        let answer = {
            let mut call = pin!(call(&host, teller.patience(stage), &mut connection, address, after));
            loop {
                tokio::select! {
                    biased;
                    Ok(()) = addresses.changed() => {
                        moved = true;
                        break None;
                    }
                    answer = &mut call => break Some(answer),
                    list = LateAnswer::list(&mut late) => {
                        // What the call under way brings is newer, or the same again.
                        revision = Some(list.revision);
                        if events.send(Input::Discovery(Heard::List(list))).await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        let Some(answer) = answer else { continue };
        if let Err(Failure::Local(error)) = answer {
            // Discovery has not been asked: the same call is made again, and nobody is told of a failure of discovery's.
            if !failing_locally {
                host.log(format_args!("discovery: {}; trying again until it can", Failure::Local(error)));
            }
            (connection, stage, failing_locally) = (None, Stage::Opens, true);
            sleep(PAUSE).await;
            if events.is_closed() {
                return;
            }
            continue;
        }
        if let Ok(list) = &answer
            && is_kept
            && after.is_some_and(|after| list.revision < after)
        {
            // An answer to an earlier call that came twice: what a new connection brings is true.
            host.log(format_args!("discovery: revision {} behind a newer one; asking again", list.revision));
            (connection, stage) = (None, Stage::Opens);
            continue;
        }
        let opened = watch || moved;
        (moved, calls) = (false, now.requested_calls);
        let heard = match answer {
            Ok(list) => {
                (first, failing, stage, failing_locally) = (false, false, Stage::Goes, false);
                late = None;
                goes_on = opened;
                revision = Some(list.revision);
                Heard::List(list)
            }
            // It has to be opened anew at once: what it misses counts as told soon, and there is no pause in that time.
            Err(Failure::Silent(answer)) if stage == Stage::Goes => {
                host.log(format_args!("discovery: the watch has fallen silent; opening it anew"));
                (late, stage) = (Some(answer), Stage::Opens);
                continue;
            }
            Err(e) => {
                // A broken one must not hang the watch: begin again on a new connection.
                (connection, stage, goes_on) = (None, Stage::Opens, false);
                if !failing {
                    host.log(format_args!("discovery: {e}; trying again until it answers"));
                }
                failing = true;
                if let Failure::Silent(answer) = e {
                    late = Some(answer);
                }
                Heard::Failed
            }
        };
        if events.send(Input::Discovery(heard)).await.is_err() {
            return;
        }
        if failing {
            sleep(PAUSE).await;
        }
    }
}

/// Reads why there is no connection.
fn not_connected(error: std::io::Error) -> Failure {
    match ConnectFailure::from_error(&error) {
        ConnectFailure::Local => Failure::Local(error),
        ConnectFailure::Remote => Failure::Failed(format!("no connection: {error}")),
    }
}

async fn call<H: Host>(
    host: &H,
    (wait, late): (Duration, Duration),
    open: &mut Option<Connection>,
    address: SocketAddr,
    after: Option<u64>,
) -> Result<ServerList, Failure> {
    let failed = |why: String| Failure::Failed(why);
    let path = match after {
        Some(revision) => format!("/api/targets?after={revision}&wait_ms={}", wait.as_millis()),
        None => "/api/targets".into(),
    };
    if open.as_ref().is_none_or(|c| !c.sender.is_ready()) {
        *open = Some(http::connect(host, address, late).await.map_err(not_connected)?);
    }
    let Some(mut connection) = open.take() else { return Err(failed("no connection".into())) };
    let request =
        hyper::Request::get(path).header("Host", address.to_string()).body(Full::<Bytes>::default());
    let request = request.map_err(|e| failed(e.to_string()))?;
    // No call for a whole list waits at the other side: a longer one would take up the time in which a move must be done.
    let within = if after.is_some() { wait + late } else { late };
    let response = connection.sender.send_request(request);
    let mut answer: Answer = Box::pin(async {
        let response = response.await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("answered {}", response.status()));
        }
        http::body(response.into_body(), MAX_LIST, None).await
    });
    let Ok(body) = timeout(within, &mut answer).await else {
        return Err(Failure::Silent(LateAnswer { answer, _connection: connection }));
    };
    let body = body.map_err(failed)?;
    let _ = tokio::time::timeout(PAUSE, connection.sender.ready()).await;
    *open = Some(connection);
    read(&body).map_err(failed)
}

/// Reads the body of an answer.
///
/// # Errors
/// It is no list; in words.
fn read(body: &[u8]) -> Result<ServerList, String> {
    serde_json::from_slice(body).map_err(|e| format!("unreadable list: {e}"))
}

#[cfg(test)]
#[path = "../tests/unit/discovery.rs"]
mod tests;
