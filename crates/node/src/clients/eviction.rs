//! Connections that give way where there are many. The order in which they go is [`crate::crowd`]'s.

use mothpier_host::Host;

use super::Clients;
use super::shown::Entry;
use crate::eviction_priority::{EvictionPriority, eviction_priority};

impl<H: Host> Clients<H> {
    /// Whether half of the connections that there may be are open.
    pub fn crowded(&self) -> bool {
        self.count() * 2 >= self.most.get()
    }

    /// Lets all connections go that will hardly end their command: another process of this node needs the descriptors.
    pub fn evict_stalled(&self) {
        for entry in self.open.borrow_mut().values_mut() {
            let turn = entry.idle.and_then(|idle| eviction_priority(entry.activity, idle.elapsed(), false));
            if turn == Some(EvictionPriority::Stalled) {
                entry.give_way();
            }
        }
    }

    /// Lets the connection give way whose turn it is, if there is one.
    pub(super) fn evict(&self, no_room: bool) {
        let mut open = self.open.borrow_mut();
        let place = |e: &Entry| Some((eviction_priority(e.activity, e.idle?.elapsed(), no_room)?, e.idle));
        let turns = open.values_mut().filter_map(|e| place(e).map(|at| (at, e)));
        if let Some((_, entry)) = turns.min_by_key(|(at, _)| *at) {
            entry.give_way();
        }
    }
}

impl Entry {
    /// Has the connection close, if it still is idle.
    fn give_way(&mut self) {
        // Not chosen again while it closes: the next one that comes needs another's place.
        self.idle = None;
        self.evict.notify_one();
    }
}
