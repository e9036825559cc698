//! Order in which client connections are evicted if there are too many. No I/O.

use std::time::Duration;

/// A new connection stays this long: where all others are busy it would be evicted before it could send a
/// request.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(20);
/// A connection that has sent nothing, or only the first part of a command, is evicted as stalled after this
/// time: genuine clients send at once.
const STARTING_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a connection that has continued a command: slow clients pause up to 0.6 s before the last
/// bytes.
const WRITING_STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a connection without pending replies is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It has sent nothing, or the first part of a command.
    Starting,
    /// It has sent several parts of an incomplete command.
    Writing,
    /// It has sent a complete command in the agreed form, and nothing since: no request can be lost by
    /// closing it.
    Idle,
}

/// Priority of an eviction: the least is evicted first, and among equals the one that has been idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// Unlikely to complete its command; such connections would keep all others out.
    Stalled,
    Idle,
    /// It may be about to send a request: evicted only if there is no room.
    MayBeStarting,
}

/// Returns the priority of a connection by its activity since it last received or sent something; `None` if
/// it must stay.
pub fn eviction_priority(activity: Activity, idle: Duration, no_room: bool) -> Option<EvictionPriority> {
    if idle < NEW_CONNECTION_GRACE {
        return None;
    }
    match activity {
        Activity::Idle => Some(EvictionPriority::Idle),
        Activity::Starting if idle >= STARTING_STALL_TIMEOUT => Some(EvictionPriority::Stalled),
        Activity::Writing if idle >= WRITING_STALL_TIMEOUT => Some(EvictionPriority::Stalled),
        Activity::Starting | Activity::Writing => no_room.then_some(EvictionPriority::MayBeStarting),
    }
}

#[cfg(test)]
#[path = "../tests/unit/eviction_priority.rs"]
mod tests;
