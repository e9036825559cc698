//! The state of a client's connection: what of the bytes that still arrive is read as commands, and what is discarded.
//! No I/O.

use bytes::{Buf, BytesMut};
use tokio::sync::OwnedSemaphorePermit;

/// Bytes discarded behind the end of a connection's commands, while answers before that are owed: enough to notice that the
/// client has gone; from one that sends more nothing further is read.
pub const MAX_DISCARDED: usize = 1024 * 1024;

/// The part of the newest command that has not arrived yet.
#[derive(Debug)]
pub enum Missing {
    /// Its head, or all of it: no value is known to be on its way.
    Head,
    /// The rest of its value.
    Value {
        /// Memory for a value too large for what each request reserves; taken before the value is read.
        reserved: Option<OwnedSemaphorePermit>,
    },
    /// The rest of a value that there is no memory for: its request is refused already, and the value is discarded as it
    /// arrives.
    RefusedValue {
        /// Bytes that are still to come.
        left: usize,
    },
}

/// How far a client's connection has come.
///
/// ```text
/// Reading --finish--> Finishing
///    |
///  hang_up
///    v
/// HungUp  --finish--> Gone <--hang_up-- Finishing
/// ```
#[derive(Debug)]
pub enum State {
    /// Commands are read.
    Reading(Missing),
    /// The client has closed its side. Commands that were read before are still carried out, then the connection closes.
    HungUp(Missing),
    /// No more commands are read, and the connection closes behind its last answer.
    Finishing {
        /// Bytes that have come behind the last command.
        discarded: usize,
        /// Nothing more is read once so many have come.
        limit: usize,
        /// What was reserved for a value that had not arrived whole; given back with the connection.
        _reserved: Option<OwnedSemaphorePermit>,
    },
    /// The client has closed its side, and no more commands are read: the connection closes at once.
    Gone {
        /// As in [`State::Finishing`].
        _reserved: Option<OwnedSemaphorePermit>,
    },
}

impl State {
    /// A connection that has only just been accepted.
    pub fn new() -> State {
        State::Reading(Missing::Head)
    }

    /// Whether what has been read is looked through for commands.
    pub fn reads_commands(&self) -> bool {
        self.missing().is_some()
    }

    /// Whether the client has closed its side.
    pub fn client_has_closed(&self) -> bool {
        matches!(self, State::HungUp(_) | State::Gone { .. })
    }

    /// Whether commands may still arrive.
    pub fn awaits_commands(&self) -> bool {
        matches!(self, State::Reading(_))
    }

    /// Whether bytes are still read from the client.
    pub fn takes_bytes(&self) -> bool {
        match self {
            State::Reading(_) => true,
            State::Finishing { discarded, limit, .. } => discarded < limit,
            State::HungUp(_) | State::Gone { .. } => false,
        }
    }

    /// The part of the newest command that is missing; `None` once commands are no longer read.
    pub fn missing(&self) -> Option<&Missing> {
        match self {
            State::Reading(missing) | State::HungUp(missing) => Some(missing),
            State::Finishing { .. } | State::Gone { .. } => None,
        }
    }

    /// Whether a value is known to be on its way.
    pub fn misses_value(&self) -> bool {
        matches!(self.missing(), Some(Missing::Value { .. } | Missing::RefusedValue { .. }))
    }

    /// Whether memory is reserved for the value that is on its way.
    pub fn has_reservation(&self) -> bool {
        matches!(self.missing(), Some(Missing::Value { reserved: Some(_) }))
    }

    /// The newest command has arrived whole; gives what was reserved for its value.
    pub fn command_complete(&mut self) -> Option<OwnedSemaphorePermit> {
        let missing = self.missing_mut()?;
        std::mem::replace(missing, Missing::Head).into_reservation()
    }

    /// The head of the newest command is still missing.
    pub fn expect_head(&mut self) {
        if let Some(missing) = self.missing_mut() {
            *missing = Missing::Head;
        }
    }

    /// The head of the newest command has arrived, and its value has not. What is reserved for that stays so.
    pub fn expect_value(&mut self) {
        if let Some(missing) = self.missing_mut()
            && !matches!(missing, Missing::Value { .. })
        {
            *missing = Missing::Value { reserved: None };
        }
    }

    /// Reserves this memory for the value that is on its way.
    pub fn reserve(&mut self, reservation: OwnedSemaphorePermit) {
        if let Some(missing) = self.missing_mut() {
            *missing = Missing::Value { reserved: Some(reservation) };
        }
    }

    /// There is no memory for the value that is on its way, of which so many bytes are still to come.
    pub fn refuse_value(&mut self, left: usize) {
        if let Some(missing) = self.missing_mut() {
            *missing = Missing::RefusedValue { left };
        }
    }

    /// Discards what has arrived of a refused value.
    pub fn discard_refused(&mut self, buffer: &mut BytesMut) {
        let Some(missing) = self.missing_mut() else { return };
        if let Missing::RefusedValue { left } = missing {
            let arrived = buffer.len().min(*left);
            buffer.advance(arrived);
            *left -= arrived;
            if *left == 0 {
                *missing = Missing::Head;
            }
        }
    }

    /// So many bytes have come that are no commands any more.
    pub fn discard_bytes(&mut self, count: usize) {
        if let State::Finishing { discarded, .. } = self {
            *discarded += count;
        }
    }

    /// The client has closed its side.
    pub fn hang_up(&mut self) {
        *self = match std::mem::replace(self, State::new()) {
            State::Reading(missing) | State::HungUp(missing) => State::HungUp(missing),
            State::Finishing { _reserved, .. } | State::Gone { _reserved } => State::Gone { _reserved },
        };
    }

    /// No more commands are read.
    pub fn finish(&mut self) {
        *self = match std::mem::replace(self, State::new()) {
            State::Reading(missing) => State::Finishing {
                discarded: 0,
                // The rest of a refused value is no flood.
                limit: MAX_DISCARDED + missing.refused(),
                _reserved: missing.into_reservation(),
            },
            State::HungUp(missing) => State::Gone { _reserved: missing.into_reservation() },
            finished => finished,
        };
    }

    fn missing_mut(&mut self) -> Option<&mut Missing> {
        match self {
            State::Reading(missing) | State::HungUp(missing) => Some(missing),
            State::Finishing { .. } | State::Gone { .. } => None,
        }
    }
}

impl Missing {
    /// Bytes of a refused value that are still to come.
    fn refused(&self) -> usize {
        match self {
            Missing::RefusedValue { left } => *left,
            Missing::Head | Missing::Value { .. } => 0,
        }
    }

    fn into_reservation(self) -> Option<OwnedSemaphorePermit> {
        match self {
            Missing::Value { reserved } => reserved,
            Missing::Head | Missing::RefusedValue { .. } => None,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_state.rs"]
mod tests;
