//! The published state of client connections: for the choice of the one to evict, and for the log of a retirement.

use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::eviction_priority::Activity;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionState {
    /// It has sent no request yet.
    Unasked,
    /// It is idle after a reply.
    Resting,
    /// A partial command has arrived.
    CommandBegun,
    /// It waits for replies.
    Waiting,
    /// Replies are being written to it.
    Writing,
    /// A large value is being relayed to it.
    LargeValue,
    /// It has pending replies, and nothing more is read as a command.
    Finishing,
    /// The end of the stream has been sent.
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

/// One open connection, as other tasks see it.
pub(super) struct ConnectionEntry {
    /// When it last sent something or was answered; `None` while a reply is pending.
    pub(super) idle_since: Option<Instant>,
    pub(super) activity: Activity,
    pub(super) evict: Rc<Notify>,
    /// When it was accepted.
    pub(super) accepted_at: Instant,
    pub(super) state: ConnectionState,
    /// Number of pending replies.
    pub(super) pending_replies: usize,
    /// When input was last received.
    pub(super) last_received_at: Instant,
    /// When something was last written to it.
    pub(super) last_replied_at: Option<Instant>,
}

impl ConnectionEntry {
    /// For a connection that was just accepted.
    pub(super) fn new(evict: Rc<Notify>) -> ConnectionEntry {
        let now = Instant::now();
        ConnectionEntry {
            idle_since: Some(now),
            activity: Activity::Starting,
            evict,
            accepted_at: now,
            state: ConnectionState::Unasked,
            pending_replies: 0,
            last_received_at: now,
            last_replied_at: None,
        }
    }
}
