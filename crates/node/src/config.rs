//! What the node is told at its start: the environment and the JSON file that it names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use brassrouter::settings::{self, DeploymentSettings};
use serde::Deserialize;
use serde::de::IgnoredAny;
use xxhash_rust::xxh3::xxh3_64;

use crate::clamped;
use crate::discovery::ServerList;
use crate::keys::KeyHasher;
use crate::operator::Operator;

/// Everything that the node is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// The one address to listen on for clients.
    pub listen: SocketAddr,
    /// Where discovery is asked.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Bytes that the process may use.
    pub memory_bytes: usize,
    /// What is odd about what it was told, for the log.
    pub warnings: Vec<String>,
    /// Where staff ask the node; nowhere without it.
    pub ops_listen: Option<SocketAddr>,
    /// Where messages of other nodes come in.
    pub peer_listen: Option<SocketAddr>,
    /// The tier's nodes by their numbers; shared, since simulations run thousands of nodes in one process.
    pub peers: Arc<[SocketAddr]>,
    /// The address that reaches all of them.
    pub peer_broadcast: Option<SocketAddr>,
    /// The list of servers as it was last held.
    pub cached_list: Option<ServerList>,
    /// The settings.
    pub site: DeploymentSettings,
    /// What the operator's file switches on; nothing without one.
    pub operator: Operator,
    /// How keys become numbers.
    pub key_hasher: KeyHasher,
}

/// The keys that [`File`] has.
const KEYS: [&str; 11] = [
    "name",
    "listen",
    "discovery",
    "seed",
    "limits",
    "ops",
    "peer_listen",
    "peers",
    "peers_all",
    "known",
    "settings",
];

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    ops: Option<String>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<serde_json::Value>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// What the environment says beside the file.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `ROUTER_NAME`.
    pub name: Option<String>,
    /// `ROUTER_LISTEN`.
    pub listen: Option<String>,
    /// `ROUTER_DISCOVERY`.
    pub discovery: Option<String>,
    /// `ROUTER_OPS`.
    pub ops: Option<String>,
}

/// What has the last word on the address of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Precedence {
    /// At the start: the environment.
    Environment,
    /// At a reload: the file, since a process can't be given a new environment.
    File,
}

/// Reads the text of the file.
///
/// # Errors
/// One plain line that names what is wrong.
pub fn read(text: &[u8], env: Environment, precedence: Precedence) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let site = settings::parse(file.settings.to_string().as_bytes())?;
    if site.class_names.is_empty() {
        return Err("unreadable settings: no classes".into());
    }
    let address = |name: &str, text: Option<String>| {
        let text = text.ok_or_else(|| format!("no address for {name}"))?;
        text.parse::<SocketAddr>().map_err(|_| format!("{name}: {text:?} is no address"))
    };
    let optional = |name, text: Option<String>| text.map(|t| address(name, Some(t))).transpose();
    let seed = match &file.seed {
        serde_json::Value::String(s) => u64::from_str_radix(s, 16).unwrap_or_else(|_| xxh3_64(s.as_bytes())),
        other => other.as_u64().unwrap_or_default(),
    };
    let discovery = match precedence {
        Precedence::Environment => env.discovery.or(file.discovery),
        Precedence::File => file.discovery.or(env.discovery),
    };
    if file.limits.sockets < 32 {
        return Err(format!("limits.sockets: {} are too few to work with", file.limits.sockets));
    }
    let mut notes = unknown_keys(text);
    notes.extend(clamped::settings(&file.settings));
    notes.extend(clamped::memory(file.limits.memory_mb));
    // Discovery has it anyhow: what can't be read of it must not keep the node from its start.
    let known = file.known.and_then(|known| {
        let list = serde_json::from_value(known);
        list.map_err(|e| notes.push(format!("known: unreadable, and not used: {e}"))).ok()
    });
    if let (Some(env), Some(file)) = (&env.ops, &file.ops)
        && env != file
    {
        notes.push(format!("ops: the environment says {env}, the file {file}; the environment's holds"));
    }
    let ops = optional("ops", env.ops.or(file.ops))?;
    if ops.is_none() {
        notes.push("ops: no second address is given, so that staff can't drain this node".into());
    }
    let (least_mb, most_mb) = clamped::MEMORY_MB;
    Ok(Config {
        warnings: notes,
        name: env.name.or(file.name).unwrap_or_else(|| "mothpier".into()),
        listen: address("listen", env.listen.or(file.listen))?,
        discovery: address("discovery", discovery)?,
        seed,
        max_descriptors: file.limits.sockets,
        memory_bytes: (file.limits.memory_mb.clamp(least_mb, most_mb) * 1048576.0) as usize,
        ops_listen: ops,
        peer_listen: optional("peer_listen", file.peer_listen)?,
        peers: file.peers.into_iter().map(|p| address("peers", Some(p))).collect::<Result<_, _>>()?,
        peer_broadcast: optional("peers_all", file.peers_all)?,
        cached_list: known,
        site,
        operator: Operator::default(),
        key_hasher: KeyHasher::default(),
    })
}

/// A line for the log that names the keys of the file that nothing here reads: one of them may be meant for something that the
/// node knows by another name.
fn unknown_keys(text: &[u8]) -> Vec<String> {
    let keys: BTreeMap<String, IgnoredAny> = serde_json::from_slice(text).unwrap_or_default();
    let unknown: Vec<&str> = keys.keys().map(String::as_str).filter(|key| !KEYS.contains(key)).collect();
    match unknown.as_slice() {
        [] => Vec::new(),
        unknown => vec![format!("the configuration has keys that nothing reads: {}", unknown.join(", "))],
    }
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
