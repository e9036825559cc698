//! What the stand-ins of one world share: the boxes that are and were, and what is known of requests under way.

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

/// Requests of which it is remembered where they missed; older ones are forgotten.
const MISSES: usize = 100_000;

/// A line of discovery's list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where nodes reach it, by their numbers; the last one stands for those beyond.
    pub addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: usize,
    /// Whether it is the origin.
    pub is_origin: bool,
    /// What the list will say of it.
    pub phase: Phase,
    /// When it started: Unix time in milliseconds, 0 for long ago.
    pub started_ms: u64,
}

impl Member {
    /// Where a node reaches it.
    pub fn address(&self, node: NodeIndex) -> SocketAddr {
        self.addresses[node.min(self.addresses.len() - 1)]
    }
}

/// Figures that faults set while they last.
#[derive(Debug)]
pub struct FaultSettings {
    /// The load is so many times the usual.
    pub load_factor: Cell<f64>,
    /// No request is due before this.
    pub quiet_until: Cell<Option<Instant>>,
    /// Part of the clients that leave before their time.
    pub leavers: Cell<f64>,
    /// Part of the clients that read their answer slowly.
    pub slow_readers: Cell<f64>,
    /// Part of the clients that write their heads in pieces.
    pub slow_heads: Cell<f64>,
    /// Part of the keys that have large values, and the bytes of these.
    pub large: Cell<(f64, usize)>,
    /// Answers of discovery come so much later, milliseconds.
    pub list_delay_ms: Cell<u64>,
    /// Discovery answers nothing but 503.
    pub discovery_down: Cell<bool>,
    /// Discovery answers with the list as it was at this revision, if any.
    pub pinned_revision: Cell<Option<u64>>,
    /// Discovery's list has no boxes at all.
    pub empty_list: Cell<bool>,
    /// The origin's part of calls that end in a reset after they ran.
    pub origin_resets: Cell<f64>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        FaultSettings {
            load_factor: Cell::new(1.0),
            quiet_until: Cell::new(None),
            leavers: Cell::new(0.0),
            slow_readers: Cell::new(0.0),
            slow_heads: Cell::new(0.0),
            large: Cell::new((0.0, 0)),
            list_delay_ms: Cell::new(0),
            discovery_down: Cell::new(false),
            pinned_revision: Cell::new(None),
            empty_list: Cell::new(false),
            origin_resets: Cell::new(0.0),
        }
    }
}

/// Where each request missed, and the requests in the order of their first miss.
#[derive(Default)]
struct Missed {
    places: BTreeMap<RequestId, Vec<ServerIndex>>,
    order: VecDeque<RequestId>,
}

/// What the stand-ins of one world share.
pub struct Fleet {
    /// The scenario.
    pub scenario: Scenario,
    /// Where they report.
    pub observer: Observer,
    /// What faults set.
    pub fault_settings: FaultSettings,
    seed: u64,
    caches: RefCell<BTreeMap<ServerIndex, Rc<CacheServer>>>,
    missed: RefCell<Missed>,
    /// How often each key was written. Copies go with a write, so that all there are of a key are of its last
    /// version.
    versions: RefCell<BTreeMap<u64, u64>>,
}

impl Fleet {
    /// The value of a key as a box or the origin gives it now for a request.
    pub fn value(&self, key: u64, request: RequestId, by: ServerIndex) -> Value {
        let version = self.versions.borrow().get(&key).copied().unwrap_or_default();
        self.scenario.load.values.value(key, version, request, by)
    }

    /// How many bytes the value of a key has, wherever it comes from.
    pub fn filling(&self, key: u64) -> usize {
        let (part, bytes) = self.fault_settings.large.get();
        // Keys are hashes: their upper bits are a draw of their own.
        let draw = (key >> 11) as f64 / (1u64 << 53) as f64;
        if draw < part { bytes } else { self.scenario.load.value_bytes }
    }

    /// A fleet without boxes yet; everything that is drawn at random in it follows from the seed.
    pub fn new(scenario: Scenario, seed: u64, witness: Observer) -> Rc<Fleet> {
        Rc::new(Fleet {
            scenario,
            observer: witness,
            fault_settings: FaultSettings::default(),
            seed,
            caches: RefCell::default(),
            missed: RefCell::default(),
            versions: RefCell::default(),
        })
    }

    /// Random numbers for one purpose; the same purpose always gets the same.
    pub fn rng(&self, purpose: &str, number: u64) -> Pcg64Mcg {
        let seed =
            xxhash_rust::xxh3::xxh3_64_with_seed(purpose.as_bytes(), self.seed ^ number.rotate_left(32));
        Pcg64Mcg::seed_from_u64(seed)
    }

    /// The end of the world: boxes and fleet know each other, and would keep each other for good.
    pub fn clear(&self) {
        self.caches.borrow_mut().clear();
    }

    /// Takes a box in, or its next life.
    pub fn add_cache_server(&self, number: ServerIndex, cache: Rc<CacheServer>) {
        self.caches.borrow_mut().insert(number, cache);
    }

    /// A box at work.
    pub fn cache_server(&self, number: ServerIndex) -> Option<Rc<CacheServer>> {
        self.caches.borrow().get(&number).cloned()
    }

    /// Boxes that run at the beginning hold what is asked for most, unless they begin cold. Where a node will look for
    /// a key is the module's business: the most popular are everywhere.
    pub fn warm_caches(&self, boxes: &[ServerIndex]) {
        if self.scenario.boxes.start_cold {
            return;
        }
        for rank in 1..=self.scenario.load.keys.min(self.scenario.boxes.keys as u64) {
            let key = crate::clients::key_of(rank);
            boxes.iter().filter_map(|n| self.cache_server(*n)).for_each(|cache| cache.store(key));
        }
    }

    /// A box is no more, with all that it held.
    pub fn remove_cache_server(&self, number: ServerIndex) {
        self.caches.borrow_mut().remove(&number);
    }

    /// A request missed at a box.
    pub fn missed(&self, request: RequestId, at: ServerIndex) {
        let mut missed = self.missed.borrow_mut();
        let Missed { places, order } = &mut *missed;
        let here = places.entry(request).or_insert_with(|| {
            order.push_back(request);
            Vec::new()
        });
        here.push(at);
        if order.len() > MISSES
            && let Some(old) = order.pop_front()
        {
            places.remove(&old);
        }
    }

    /// The origin has answered a read: what it gave is kept where the request missed.
    pub fn fetched(&self, request: RequestId, key: u64) {
        let places = self.missed.borrow_mut().places.remove(&request).unwrap_or_default();
        for at in places.into_iter().take(2) {
            if let Some(cache) = self.cache_server(at) {
                cache.store(key);
            }
        }
    }

    /// A write was carried out: the key has another value, and copies of it go.
    pub fn changed(&self, key: u64) {
        *self.versions.borrow_mut().entry(key).or_default() += 1;
        self.caches.borrow().values().for_each(|cache| cache.drop_key(key));
    }
}
