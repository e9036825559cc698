//! Eviction of client connections when many are open, in the order of [`crate::eviction_priority`].

use mothpier_host::Host;

use super::Clients;
use super::connection_state::ConnectionEntry;
use crate::eviction_priority::{EvictionPriority, eviction_priority};

impl<H: Host> Clients<H> {
    /// Whether at least half of the permitted connections are open.
    pub fn is_crowded(&self) -> bool {
        self.open_count() * 2 >= self.max_connections.get()
    }

    /// Closes all connections whose command has stalled: another process of this node needs the descriptors.
    pub fn evict_stalled(&self) {
        for entry in self.open_connections.borrow_mut().values_mut() {
            let priority =
                entry.idle_since.and_then(|idle| eviction_priority(entry.activity, idle.elapsed(), false));
            if priority == Some(EvictionPriority::Stalled) {
                entry.close();
            }
        }
    }

    /// Closes the connection with the highest eviction priority, if any may be evicted.
    pub(super) fn evict(&self, at_limit: bool) {
        let mut open = self.open_connections.borrow_mut();
        let priority = |e: &ConnectionEntry| {
            Some((eviction_priority(e.activity, e.idle_since?.elapsed(), at_limit)?, e.idle_since))
        };
        let candidates = open.values_mut().filter_map(|e| priority(e).map(|at| (at, e)));
        if let Some((_, entry)) = candidates.min_by_key(|(at, _)| *at) {
            entry.close();
        }
    }
}

impl ConnectionEntry {
    /// Closes the connection if it is still idle.
    fn close(&mut self) {
        // Not chosen again while it closes: the next new connection needs the place of another one.
        self.idle_since = None;
        self.evict.notify_one();
    }
}
