//! How the connections of clients retire: for a drain, for the end of the node, and for a process that takes over.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Which connections of clients are to go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leaving {
    /// None: the node serves.
    #[default]
    None,
    /// Each behind the answer that it was owed: a close that goes out with an answer crosses no request.
    Answered,
    /// Those that rest, too.
    Resting,
}

/// Whether new connections are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listening {
    #[default]
    Yes,
    /// Not any more, but those that the machine has accepted are: no other process would.
    TakeRest,
    /// Not any more: another process accepts from the same socket.
    LeaveRest,
}

/// How connections retire, for a drain and for the end of the node alike. Those that wait for a change are woken in the
/// order in which they began to wait: a watch channel would wake them in a random one.
#[derive(Default)]
pub struct Retiring {
    leaving: Cell<Leaving>,
    /// Nothing more is accepted.
    pub(super) listening: Cell<Listening>,
    /// When the process must have ended: all is answered before.
    pub(super) ends: Cell<Option<Instant>>,
    pub(super) changed: Notify,
}

impl Retiring {
    /// From now on these connections go.
    pub fn set(&self, leaving: Leaving) {
        self.leaving.set(leaving);
        self.changed.notify_waiters();
    }

    /// Nothing is accepted from now on but, where they are told to be taken, what has arrived by now.
    pub fn end_listening(&self, rest: Listening) {
        self.listening.set(rest);
        self.changed.notify_waiters();
    }

    /// The process must have ended by then: nothing may be open any more.
    pub fn end_by(&self, time: Instant) {
        self.ends.set(Some(time));
        self.changed.notify_waiters();
    }

    /// Which connections go now.
    pub fn leaving(&self) -> Leaving {
        self.leaving.get()
    }

    /// Waits until nothing is accepted any more. Safe to drop and call again.
    pub(super) async fn listening_ended(&self) {
        while self.listening.get() == Listening::Yes {
            self.changed.notified().await;
        }
    }
}
