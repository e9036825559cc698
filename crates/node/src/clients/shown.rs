//! What the connections of clients show of themselves: for the choice of the one that gives way, and for those who watch a node
//! retire.

use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::eviction_priority::Activity;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionState {
    /// It has asked nothing yet.
    Unasked,
    /// It has been answered, and asks nothing.
    Resting,
    /// Part of a command has come.
    CommandBegun,
    /// It waits for answers.
    Waiting,
    /// Answers are being written to it.
    Writing,
    /// A large value is being passed on to it.
    LargeValue,
    /// It is owed answers, and nothing more is read as a command.
    Finishing,
    /// Its end has been sent.
    Closing,
}

impl ConnectionState {
    /// All states.
    pub(super) const ALL: [ConnectionState; 8] = [
        ConnectionState::Unasked,
        ConnectionState::Resting,
        ConnectionState::CommandBegun,
        ConnectionState::Waiting,
        ConnectionState::Writing,
        ConnectionState::LargeValue,
        ConnectionState::Finishing,
        ConnectionState::Closing,
    ];

    /// Its name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            ConnectionState::Unasked => "unasked",
            ConnectionState::Resting => "resting",
            ConnectionState::CommandBegun => "command_begun",
            ConnectionState::Waiting => "waiting",
            ConnectionState::Writing => "writing",
            ConnectionState::LargeValue => "large_value",
            ConnectionState::Finishing => "finishing",
            ConnectionState::Closing => "closing",
        }
    }
}

/// One open connection, as others see it.
pub(super) struct Entry {
    /// When it last sent something or was answered; `None` while an answer is owed to it.
    pub(super) idle: Option<Instant>,
    pub(super) activity: Activity,
    pub(super) evict: Rc<Notify>,
    /// When it was accepted.
    pub(super) accepted: Instant,
    pub(super) state: ConnectionState,
    /// Answers that are owed to it.
    pub(super) open: usize,
    /// When something last came from the client.
    pub(super) received: Instant,
    /// When something was last written to it.
    pub(super) answered: Option<Instant>,
}

impl Entry {
    /// Of a connection that has only just been accepted.
    pub(super) fn new(evict: Rc<Notify>) -> Entry {
        let now = Instant::now();
        Entry {
            idle: Some(now),
            activity: Activity::Starting,
            evict,
            accepted: now,
            state: ConnectionState::Unasked,
            open: 0,
            received: now,
            answered: None,
        }
    }
}
