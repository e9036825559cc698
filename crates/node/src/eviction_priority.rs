//! Which connection of a client gives way where there are many. No I/O.

use std::time::Duration;

/// A connection that has only just come stays: where all others are busy it would go before it could ask.
const JUST_COME: Duration = Duration::from_millis(20);
/// So long nothing has come of a command that is to begin, or of one of which a first piece has come, before its connection
/// gives way as one that only holds a place: a true client begins at once.
const STALLED_AT_BEGIN: Duration = Duration::from_millis(300);
/// The same for one that has gone on writing: slow ones leave up to 0.6 s before their last bytes.
const STALLED_IN_WRITING: Duration = Duration::from_millis(1000);

/// What a connection does that is owed no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It has sent nothing, or the first piece of a command.
    Starting,
    /// It has sent several pieces of a command that is not whole.
    Writing,
    /// It has sent a command in the agreed form, and nothing of another: a close crosses nothing.
    Idle,
}

/// When a connection's turn to give way comes: the least goes first, and of those alike the one that was idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// It will hardly end its command; if these stayed they would keep all others out.
    Stalled,
    Idle,
    /// It may be about to ask: it goes only where there is no room.
    MayBeStarting,
}

/// The turn of a connection that has done this since it was last heard or answered; `None` for one that stays.
pub fn eviction_priority(activity: Activity, idle: Duration, no_room: bool) -> Option<EvictionPriority> {
    if idle < JUST_COME {
        return None;
    }
    match activity {
        Activity::Idle => Some(EvictionPriority::Idle),
        Activity::Starting if idle >= STALLED_AT_BEGIN => Some(EvictionPriority::Stalled),
        Activity::Writing if idle >= STALLED_IN_WRITING => Some(EvictionPriority::Stalled),
        Activity::Starting | Activity::Writing => no_room.then_some(EvictionPriority::MayBeStarting),
    }
}

#[cfg(test)]
#[path = "../tests/unit/eviction_priority.rs"]
mod tests;
