//! When cache servers started, on this node's own clock. Discovery dates starts by its wall clock, which may differ from
//! this node's and may be stepped: the two are never compared.
//!
//! A start that this node saw appear is taken as happening now; others in the same list are as much older as the list
//! dates them apart, but no older than the latest list without them. In the first list the newest start is taken as happening
//! now as well. So a server may be taken for younger than it is, by the delay of the list that tells of it; it is taken for
//! older only if discovery's clock is stepped between two starts of one list, by no more than the time since the list before
//! (without bound in the first).

use std::collections::{HashMap, HashSet, VecDeque};

use brassrouter::{ListKind, Micros};

use crate::discovery::{Member, ServerList};

/// A start that is told of again after its server had left keeps its age this long: longer than discovery may tell an old or
/// an empty list, and than any slow start.
const KEEP_LEFT: Micros = 900_000_000;
/// Servers that have left and are remembered: several times the largest fleet.
const MOST_LEFT: usize = 4096;
/// Starts of one server that are remembered: an old list may tell of a former one once more.
const MOST_STARTS: usize = 8;

/// The starts of all servers that the list names, or named of late.
#[derive(Default)]
pub(crate) struct StartTimes {
    servers: HashMap<String, Starts>,
    /// When discovery last told its list.
    last_list: Option<Micros>,
}

/// What is known of one server's starts.
#[derive(Default)]
struct Starts {
    /// The latest heard of is the last.
    known: VecDeque<Start>,
    /// When the list ceased to name the server.
    left: Option<Micros>,
}

/// One start of a server.
#[derive(Clone, Copy)]
struct Start {
    /// Discovery's date: an identifier of the start, ordered only among those that came in the same list.
    up_since_ms: u64,
    /// On this node's clock.
    started: Micros,
}

impl StartTimes {
    /// Goes on from another process of this node, which had this start at this time of the clock that both share.
    pub(crate) fn inherit(&mut self, id: &str, up_since_ms: u64, started: Micros, now: Micros) {
        if up_since_ms > 0 {
            let starts = self.servers.entry(id.to_owned()).or_default();
            starts.known.push_back(Start { up_since_ms, started });
        }
        self.last_list = Some(now);
    }

    /// Takes in a list, before [`started`](Self::started) is asked about its lines.
    pub(crate) fn heard(&mut self, list: &ServerList, kind: ListKind, now: Micros) {
        if kind != ListKind::Delta {
            let named: HashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            let unnamed = self.servers.iter_mut().filter(|(id, _)| !named.contains(id.as_str()));
            unnamed.for_each(|(_, starts)| starts.leaves(now));
        }
        let is_new = |m: &&Member| m.is_listed() && self.known(&m.id, m.up_since_ms).is_none();
        let fresh: Vec<&Member> = list.members.iter().filter(is_new).collect();
        let newest = fresh.iter().map(|m| m.up_since_ms).max().unwrap_or_default();
        for member in fresh {
            let by_list = (newest - member.up_since_ms).saturating_mul(1000);
            let age = self.last_list.map_or(by_list, |seen| by_list.min(now.saturating_sub(seen)));
            // 0 would stand for long ago.
            let started = now.saturating_sub(age).max(1);
            let starts = self.servers.entry(member.id.clone()).or_default();
            starts.add(member.up_since_ms, started);
        }
        for member in &list.members {
            if let Some(starts) = self.servers.get_mut(&member.id) {
                if member.is_listed() { starts.left = None } else { starts.leaves(now) }
            }
        }
        if kind != ListKind::Cached {
            self.last_list = Some(now);
        }
        self.forget_left(now);
    }

    /// When a server that the list dates so has started, on this node's clock; 0 for long ago, and for a start of a server
    /// that is gone and was never heard of.
    pub(crate) fn started(&self, id: &str, up_since_ms: u64) -> Micros {
        self.known(id, up_since_ms).unwrap_or_default()
    }

    fn known(&self, id: &str, up_since_ms: u64) -> Option<Micros> {
        if up_since_ms == 0 {
            return Some(0);
        }
        let starts = self.servers.get(id)?;
        starts.known.iter().find(|start| start.up_since_ms == up_since_ms).map(|start| start.started)
    }

    fn forget_left(&mut self, now: Micros) {
        self.servers.retain(|_, s| s.left.is_none_or(|left| now.saturating_sub(left) < KEEP_LEFT));
        let mut left: Vec<Micros> = self.servers.values().filter_map(|s| s.left).collect();
        if left.len() > MOST_LEFT {
            left.sort_unstable();
            let earliest = left[left.len() - MOST_LEFT];
            self.servers.retain(|_, s| s.left.is_none_or(|left| left >= earliest));
        }
    }

    /// How many servers are remembered.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }
}

impl Starts {
    /// A start that was not known: it is later than all before, whatever discovery dates it.
    fn add(&mut self, up_since_ms: u64, started: Micros) {
        let latest = self.known.iter().map(|start| start.started).max().unwrap_or_default();
        self.known.push_back(Start { up_since_ms, started: started.max(latest + 1) });
        if self.known.len() > MOST_STARTS {
            self.known.pop_front();
        }
    }

    fn leaves(&mut self, now: Micros) {
        self.left.get_or_insert(now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/start_times.rs"]
mod tests;
