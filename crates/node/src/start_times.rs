//! Start times of cache servers on this node's own clock. Discovery dates starts by its wall clock, which may
//! differ from this node's and may be stepped, so the two clocks are never compared.
//!
//! A start that this node saw appear is taken as happening now. Others in the same list are older by the
//! difference of their dates, but not older than the latest list without them. In the first list, too, the
//! newest start is taken as happening now. A server may thus be taken for younger than it is, by the delay of
//! the list that reports it. It is taken for older only if discovery's clock is stepped between two starts of
//! one list, by no more than the time since the previous list (without bound in the first one).

use std::collections::{HashMap, HashSet, VecDeque};

use brassrouter::{ListKind, Micros};

use crate::discovery::{ListedServer, ServerList};

/// How long a start is remembered after its server has left, in case it is listed again: longer than
/// discovery may serve an old or empty list, and than any slow start.
const DEPARTED_RETENTION_US: Micros = 900_000_000;
/// Maximum number of remembered servers that have left: several times the largest fleet.
const MAX_DEPARTED_SERVERS: usize = 4096;
/// Starts remembered for each server, since an old list may report an earlier one again.
const MAX_STARTS_PER_SERVER: usize = 8;

/// The starts of all servers that are, or recently were, in the list.
#[derive(Default)]
pub(crate) struct StartTimes {
    servers: HashMap<String, ServerStarts>,
    /// Time of the last list from discovery.
    last_list_at: Option<Micros>,
}

/// The known starts of one server.
#[derive(Default)]
struct ServerStarts {
    /// In the order in which they were first reported.
    known: VecDeque<Start>,
    /// When the server left the list.
    left_at: Option<Micros>,
}

/// One start of a server.
#[derive(Clone, Copy)]
struct Start {
    /// The date given by discovery: identifies the start, and is comparable only with others from the same
    /// list.
    up_since_ms: u64,
    /// On this node's clock.
    started_at: Micros,
}

impl StartTimes {
    /// Takes over a start from the predecessor process, on the clock that both processes share.
    pub(crate) fn inherit(&mut self, id: &str, up_since_ms: u64, started_at: Micros, now: Micros) {
        if up_since_ms > 0 {
            let starts = self.servers.entry(id.to_owned()).or_default();
            starts.known.push_back(Start { up_since_ms, started_at });
        }
        self.last_list_at = Some(now);
    }

    /// Processes a list; must be called before [`started`](Self::started) is asked about its servers.
    pub(crate) fn apply_list(&mut self, list: &ServerList, kind: ListKind, now: Micros) {
        if kind != ListKind::Delta {
            let listed: HashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            let unlisted = self.servers.iter_mut().filter(|(id, _)| !listed.contains(id.as_str()));
            unlisted.for_each(|(_, starts)| starts.mark_left(now));
        }
        let is_new = |m: &&ListedServer| m.is_in_service() && self.known(&m.id, m.up_since_ms).is_none();
        let new_starts: Vec<&ListedServer> = list.members.iter().filter(is_new).collect();
        let newest = new_starts.iter().map(|m| m.up_since_ms).max().unwrap_or_default();
        for server in new_starts {
            let date_difference = (newest - server.up_since_ms).saturating_mul(1000);
            let age = self.last_list_at.map_or(date_difference, |last_list_at| {
                date_difference.min(now.saturating_sub(last_list_at))
            });
            // 0 stands for long ago.
            let started_at = now.saturating_sub(age).max(1);
            let starts = self.servers.entry(server.id.clone()).or_default();
            starts.add(server.up_since_ms, started_at);
        }
        for server in &list.members {
            if let Some(starts) = self.servers.get_mut(&server.id) {
                if server.is_in_service() { starts.left_at = None } else { starts.mark_left(now) }
            }
        }
        if kind != ListKind::Cached {
            self.last_list_at = Some(now);
        }
        self.prune_departed(now);
    }

    /// When the server with this date started, on this node's clock; 0 for long ago, and for a start of a
    /// departed server that was never reported.
    pub(crate) fn started(&self, id: &str, up_since_ms: u64) -> Micros {
        self.known(id, up_since_ms).unwrap_or_default()
    }

    fn known(&self, id: &str, up_since_ms: u64) -> Option<Micros> {
        if up_since_ms == 0 {
            return Some(0);
        }
        let starts = self.servers.get(id)?;
        starts.known.iter().find(|start| start.up_since_ms == up_since_ms).map(|start| start.started_at)
    }

    fn prune_departed(&mut self, now: Micros) {
        self.servers.retain(|_, s| {
            s.left_at.is_none_or(|departed| now.saturating_sub(departed) < DEPARTED_RETENTION_US)
        });
        let mut departed: Vec<Micros> = self.servers.values().filter_map(|s| s.left_at).collect();
        if departed.len() > MAX_DEPARTED_SERVERS {
            departed.sort_unstable();
            let earliest = departed[departed.len() - MAX_DEPARTED_SERVERS];
            self.servers.retain(|_, s| s.left_at.is_none_or(|departed| departed >= earliest));
        }
    }

    /// Number of remembered servers.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }
}

impl ServerStarts {
    /// Adds an unknown start. It is later than all previous ones, whatever its date.
    fn add(&mut self, up_since_ms: u64, started_at: Micros) {
        let latest = self.known.iter().map(|start| start.started_at).max().unwrap_or_default();
        self.known.push_back(Start { up_since_ms, started_at: started_at.max(latest + 1) });
        if self.known.len() > MAX_STARTS_PER_SERVER {
            self.known.pop_front();
        }
    }

    fn mark_left(&mut self, now: Micros) {
        self.left_at.get_or_insert(now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/start_times.rs"]
mod tests;
