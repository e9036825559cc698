//! Connections that give way where there are many: those open, and which of them goes. The order in which they go is
//! [`crate::crowd`]'s.

use std::rc::Rc;

use mothpier_host::Host;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Clients;
use crate::crowd::{Activity, turn};

pub(super) struct Entry {
    /// When it last sent something or was answered; `None` while an answer is owed to it.
    pub(super) idle: Option<Instant>,
    pub(super) activity: Activity,
    pub(super) evict: Rc<Notify>,
}

impl<H: Host> Clients<H> {
    /// Whether half of the connections that there may be are open.
    pub(super) fn crowded(&self) -> bool {
        self.count() * 2 >= self.most.get()
    }

    /// Lets the connection give way whose turn it is, if there is one.
    pub(super) fn evict(&self, no_room: bool) {
        let mut open = self.open.borrow_mut();
        let place = |e: &Entry| Some((turn(e.activity, e.idle?.elapsed(), no_room)?, e.idle));
        let turns = open.values_mut().filter_map(|e| place(e).map(|at| (at, e)));
        if let Some((_, entry)) = turns.min_by_key(|(at, _)| *at) {
            // Not chosen again while it closes: the next one that comes needs another's place.
            entry.idle = None;
            entry.evict.notify_one();
        }
    }
}
