//! Configuration at the start: the environment and the JSON file that it names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use brassrouter::settings::{self, DeploymentSettings};
use serde::Deserialize;
use serde::de::IgnoredAny;
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::ServerList;
use crate::keys::KeyHasher;
use crate::operator::OperatorConfig;
use crate::setting_ranges;

/// The complete configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of random numbers, different at each start.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Warnings about the configuration, for the log.
    pub warnings: Vec<String>,
    /// Address of the operations endpoint; `None` for no endpoint.
    pub ops_listen: Option<SocketAddr>,
    /// Address on which messages from other nodes are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all nodes of the tier, by node index; shared, since simulations run thousands of nodes in
    /// one process.
    pub peers: Arc<[SocketAddr]>,
    /// Address that reaches all nodes.
    pub peer_broadcast: Option<SocketAddr>,
    /// The server list as last known.
    pub cached_list: Option<ServerList>,
    /// Settings of the decision module and the deployment.
    pub site: DeploymentSettings,
    /// What the operator's file enables; the default without a file.
    pub operator: OperatorConfig,
    /// How keys are hashed.
    pub key_hasher: KeyHasher,
}

/// The keys of [`File`].
const FILE_KEYS: [&str; 11] = [
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

/// Values from the environment, which complement the file.
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

/// Which source takes precedence for the address of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Precedence {
    /// At the start, the environment.
    Environment,
    /// At a reload, the file, since the environment of a running process cannot be changed.
    File,
}

/// Parses the configuration file.
///
/// # Errors
/// One line that names the invalid value.
pub fn read(text: &[u8], env: Environment, precedence: Precedence) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let site = settings::parse(file.settings.to_string().as_bytes())?;
    if site.class_names.is_empty() {
        return Err("unreadable settings: no classes".into());
    }
    let address = |name: &str, text: Option<String>| {
        let text = text.ok_or_else(|| format!("{name}: no address given"))?;
        text.parse::<SocketAddr>().map_err(|_| format!("{name}: {text:?} is not an address"))
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
        return Err(format!("limits.sockets: {} is too few; at least 32 are needed", file.limits.sockets));
    }
    let mut warnings = unknown_keys(text);
    warnings.extend(setting_ranges::check_settings(&file.settings));
    warnings.extend(setting_ranges::check_memory(file.limits.memory_mb));
    // Discovery supplies the list as well: an unreadable one must not prevent the start.
    let cached_list = file.known.and_then(|cached_list| {
        let list = serde_json::from_value(cached_list);
        list.map_err(|e| warnings.push(format!("known: ignoring an invalid server list: {e}"))).ok()
    });
    if let (Some(env), Some(file)) = (&env.ops, &file.ops)
        && env != file
    {
        warnings.push(format!("ops: the environment gives {env}, the file {file}; using the environment's"));
    }
    let ops_listen = optional("ops", env.ops.or(file.ops))?;
    if ops_listen.is_none() {
        warnings.push("ops: no address of an operations endpoint, so this node cannot be drained".into());
    }
    Ok(Config {
        warnings,
        name: env.name.or(file.name).unwrap_or_else(|| "mothpier".into()),
        listen: address("listen", env.listen.or(file.listen))?,
        discovery: address("discovery", discovery)?,
        seed,
        max_descriptors: file.limits.sockets,
        memory_bytes: (file
            .limits
            .memory_mb
            .clamp(setting_ranges::MIN_MEMORY_MB, setting_ranges::MAX_MEMORY_MB)
            * 1048576.0) as usize,
        ops_listen,
        peer_listen: optional("peer_listen", file.peer_listen)?,
        peers: file.peers.into_iter().map(|p| address("peers", Some(p))).collect::<Result<_, _>>()?,
        peer_broadcast: optional("peers_all", file.peers_all)?,
        cached_list,
        site,
        operator: OperatorConfig::default(),
        key_hasher: KeyHasher::default(),
    })
}

/// A log line that names the keys of the file that are not used: they may be misspelt or meant for another
/// version.
fn unknown_keys(text: &[u8]) -> Vec<String> {
    let keys: BTreeMap<String, IgnoredAny> = serde_json::from_slice(text).unwrap_or_default();
    let unknown: Vec<&str> = keys.keys().map(String::as_str).filter(|key| !FILE_KEYS.contains(key)).collect();
    match unknown.as_slice() {
        [] => Vec::new(),
        unknown => vec![format!("the configuration has unknown keys: {}", unknown.join(", "))],
    }
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
