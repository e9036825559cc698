//! State that the stubs of a run share: the cache servers, the versions of keys, and where requests missed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::cache::CacheServer;
use crate::observe::{NodeIndex, Observer, Phase, RequestId, ServerIndex};
use crate::scenario::Scenario;
use crate::values::Value;

/// Most requests whose misses are remembered; the oldest are dropped first.
const MAX_REMEMBERED_REQUESTS: usize = 100_000;

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Its address for each node, by node index; the last one stands for further nodes.
    pub addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: usize,
    /// Whether it is the origin.
    pub is_origin: bool,
    /// Its state in the list.
    pub phase: Phase,
    /// Start time as Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
}

impl Member {
    /// The address that a node uses for it.
    pub fn address(&self, node: NodeIndex) -> SocketAddr {
        self.addresses[node.min(self.addresses.len() - 1)]
    }
}

/// Settings that active faults change.
#[derive(Debug)]
pub struct FaultSettings {
    /// Factor on the request rate.
    pub load_factor: Cell<f64>,
    /// No request is due before this.
    pub quiet_until: Cell<Option<Instant>>,
    /// Share of clients that leave before their time-out.
    pub early_leaver_share: Cell<f64>,
    /// Share of clients that read their reply slowly.
    pub slow_reader_share: Cell<f64>,
    /// Share of clients that write commands in pieces.
    pub slow_writer_share: Cell<f64>,
    /// Share of keys with large values, and the size of these in bytes.
    pub large_values: Cell<(f64, usize)>,
    /// Delay of discovery's responses in milliseconds.
    pub list_delay_ms: Cell<u64>,
    /// Whether discovery answers with 503 only.
    pub discovery_down: Cell<bool>,
    /// The revision of the list that discovery answers with; `None` for the current one.
    pub pinned_revision: Cell<Option<u64>>,
    /// Whether discovery's list has no cache servers.
    pub empty_list: Cell<bool>,
    /// Share of the origin's calls that end in a reset after they ran.
    pub origin_reset_share: Cell<f64>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        FaultSettings {
            load_factor: Cell::new(1.0),
            quiet_until: Cell::new(None),
            early_leaver_share: Cell::new(0.0),
            slow_reader_share: Cell::new(0.0),
            slow_writer_share: Cell::new(0.0),
            large_values: Cell::new((0.0, 0)),
            list_delay_ms: Cell::new(0),
            discovery_down: Cell::new(false),
            pinned_revision: Cell::new(None),
            empty_list: Cell::new(false),
            origin_reset_share: Cell::new(0.0),
        }
    }
}

/// The servers at which each request missed, and the requests in the order of their first miss.
#[derive(Default)]
struct Missed {
    servers: BTreeMap<RequestId, Vec<ServerIndex>>,
    order: VecDeque<RequestId>,
}

/// State that is shared by all stubs of a run.
pub struct Fleet {
    /// The scenario.
    pub scenario: Scenario,
    /// Where the stubs report.
    pub observer: Observer,
    /// Settings that active faults change.
    pub fault_settings: FaultSettings,
    seed: u64,
    caches: RefCell<BTreeMap<ServerIndex, Rc<CacheServer>>>,
    missed: RefCell<Missed>,
    /// How often each key was written. A write removes all cached copies, so that every remaining copy has
    /// the last version.
    versions: RefCell<BTreeMap<u64, u64>>,
}

impl Fleet {
    /// The current value of a key, as a cache server or the origin returns it for a request.
    pub fn value(&self, key: u64, request: RequestId, by: ServerIndex) -> Value {
        let version = self.versions.borrow().get(&key).copied().unwrap_or_default();
        self.scenario.load.values.value(key, version, request, by)
    }

    /// Size of the filler of a key's value, the same on all servers.
    pub fn filler_bytes(&self, key: u64) -> usize {
        let (share, bytes) = self.fault_settings.large_values.get();
        // Keys are hashes: their upper bits serve as a random draw.
        let draw = (key >> 11) as f64 / (1u64 << 53) as f64;
        if draw < share { bytes } else { self.scenario.load.value_bytes }
    }

    /// A fleet without cache servers; all random draws in it follow from the seed.
    pub fn new(scenario: Scenario, seed: u64, observer: Observer) -> Rc<Fleet> {
        Rc::new(Fleet {
            scenario,
            observer,
            fault_settings: FaultSettings::default(),
            seed,
            caches: RefCell::default(),
            missed: RefCell::default(),
            versions: RefCell::default(),
        })
    }

    /// A random number generator for a purpose; the same purpose always gets the same sequence.
    pub fn rng(&self, purpose: &str, number: u64) -> Pcg64Mcg {
        let seed =
            xxhash_rust::xxh3::xxh3_64_with_seed(purpose.as_bytes(), self.seed ^ number.rotate_left(32));
        Pcg64Mcg::seed_from_u64(seed)
    }

    /// Drops all cache servers at the end of a run: they and the fleet refer to each other, which would leak
    /// both.
    pub fn clear(&self) {
        self.caches.borrow_mut().clear();
    }

    /// Adds a cache server, or its next incarnation.
    pub fn add_cache_server(&self, number: ServerIndex, cache: Rc<CacheServer>) {
        self.caches.borrow_mut().insert(number, cache);
    }

    /// A running cache server.
    pub fn cache_server(&self, number: ServerIndex) -> Option<Rc<CacheServer>> {
        self.caches.borrow().get(&number).cloned()
    }

    /// Fills the initial caches with the most popular keys, unless the scenario starts cold. Which server a
    /// node will ask for a key is up to its policy, so all of them get the same keys.
    pub fn warm_caches(&self, servers: &[ServerIndex]) {
        if self.scenario.boxes.start_cold {
            return;
        }
        for rank in 1..=self.scenario.load.keys.min(self.scenario.boxes.keys as u64) {
            let key = crate::clients::key_of(rank);
            servers.iter().filter_map(|n| self.cache_server(*n)).for_each(|cache| cache.store(key));
        }
    }

    /// Removes a cache server with all that it holds.
    pub fn remove_cache_server(&self, number: ServerIndex) {
        self.caches.borrow_mut().remove(&number);
    }

    /// Records that a request missed at a cache server.
    pub fn record_miss(&self, request: RequestId, server: ServerIndex) {
        let mut missed = self.missed.borrow_mut();
        let Missed { servers, order } = &mut *missed;
        let missed_at = servers.entry(request).or_insert_with(|| {
            order.push_back(request);
            Vec::new()
        });
        missed_at.push(server);
        if order.len() > MAX_REMEMBERED_REQUESTS
            && let Some(old) = order.pop_front()
        {
            servers.remove(&old);
        }
    }

    /// The origin answered a read: stores the key where the request had missed.
    pub fn record_fetch(&self, request: RequestId, key: u64) {
        let servers = self.missed.borrow_mut().servers.remove(&request).unwrap_or_default();
        for server in servers.into_iter().take(2) {
            if let Some(cache) = self.cache_server(server) {
                cache.store(key);
            }
        }
    }

    /// A write was carried out: the key gets a new version, and cached copies are dropped.
    pub fn record_write(&self, key: u64) {
        *self.versions.borrow_mut().entry(key).or_default() += 1;
        self.caches.borrow().values().for_each(|cache| cache.drop_key(key));
    }
}
