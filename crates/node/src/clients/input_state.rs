//! State machine of a client's input: which received bytes are read as commands, and which are discarded. No I/O.

use bytes::{Buf, BytesMut};
use tokio::sync::OwnedSemaphorePermit;

/// The part of the newest command that has not arrived yet.
#[derive(Debug)]
pub enum Missing {
    /// Its head, or all of it: no value is known to follow.
    Head,
    /// The rest of its value.
    Value {
        /// Memory for a value larger than the reservation of each request, acquired before the value is read.
        reserved: Option<OwnedSemaphorePermit>,
    },
    /// The rest of a value that there is no memory for: its request has been refused, and the value is discarded as it
    /// arrives.
    RefusedValue {
        /// Bytes still to arrive.
        remaining: usize,
    },
}

/// What is done with bytes that arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputUse {
    /// They are read as commands.
    Read,
    /// They are discarded, at a bounded rate.
    Discard,
}

/// State of a client's input.
///
/// ```text
/// Reading --finish--> Finishing
///    |
///  hang_up
///    v
/// HungUp  --finish--> Gone <--hang_up-- Finishing
/// ```
#[derive(Debug)]
pub enum InputState {
    /// Commands are read.
    Reading(Missing),
    /// The client has closed its side. Commands read before are still executed, then the connection closes.
    HungUp(Missing),
    /// No more commands are read, and the connection closes after its last reply. What arrives is discarded, so that the
    /// end of the input is noticed.
    Finishing {
        /// Memory for a value that had not arrived completely; released with the connection.
        _reserved: Option<OwnedSemaphorePermit>,
    },
    /// The client has closed its side, and no more commands are read: the connection closes at once.
    Gone {
        /// As in [`InputState::Finishing`].
        _reserved: Option<OwnedSemaphorePermit>,
    },
}

impl InputState {
    /// For a connection that was just accepted.
    pub fn new() -> InputState {
        InputState::Reading(Missing::Head)
    }

    /// Whether received bytes are parsed as commands.
    pub fn reads_commands(&self) -> bool {
        self.missing().is_some()
    }

    /// Whether the client has closed its side.
    pub fn client_has_closed(&self) -> bool {
        matches!(self, InputState::HungUp(_) | InputState::Gone { .. })
    }

    /// Whether commands may still arrive.
    pub fn awaits_commands(&self) -> bool {
        matches!(self, InputState::Reading(_))
    }

    /// What is done with bytes that arrive; `None` if nothing is read any more.
    pub fn input_use(&self) -> Option<InputUse> {
        match self {
            InputState::Reading(_) => Some(InputUse::Read),
            InputState::Finishing { .. } => Some(InputUse::Discard),
            InputState::HungUp(_) | InputState::Gone { .. } => None,
        }
    }

    /// The missing part of the newest command; `None` once commands are no longer read.
    pub fn missing(&self) -> Option<&Missing> {
        match self {
            InputState::Reading(missing) | InputState::HungUp(missing) => Some(missing),
            InputState::Finishing { .. } | InputState::Gone { .. } => None,
        }
    }

    /// Whether a value is known to follow.
    pub fn awaits_value(&self) -> bool {
        matches!(self.missing(), Some(Missing::Value { .. } | Missing::RefusedValue { .. }))
    }

    /// Whether memory is reserved for the value that follows.
    pub fn has_reservation(&self) -> bool {
        matches!(self.missing(), Some(Missing::Value { reserved: Some(_) }))
    }

    /// Records that the newest command is complete; returns the reservation for its value.
    pub fn command_complete(&mut self) -> Option<OwnedSemaphorePermit> {
        let missing = self.missing_mut()?;
        std::mem::replace(missing, Missing::Head).into_reservation()
    }

    /// Records that the head of the newest command is still missing.
    pub fn expect_head(&mut self) {
        if let Some(missing) = self.missing_mut() {
            *missing = Missing::Head;
        }
    }

    /// Records that the head of the newest command has arrived, and its value has not. An existing reservation is kept.
    pub fn expect_value(&mut self) {
        if let Some(missing) = self.missing_mut()
            && !matches!(missing, Missing::Value { .. })
        {
            *missing = Missing::Value { reserved: None };
        }
    }

    /// Stores the reservation for the value that follows.
    pub fn reserve(&mut self, reservation: OwnedSemaphorePermit) {
        if let Some(missing) = self.missing_mut() {
            *missing = Missing::Value { reserved: Some(reservation) };
        }
    }

    /// Records that there is no memory for the value that follows, with this many bytes still to arrive.
    pub fn refuse_value(&mut self, remaining: usize) {
        if let Some(missing) = self.missing_mut() {
            *missing = Missing::RefusedValue { remaining };
        }
    }

    /// Discards the received part of a refused value.
    pub fn discard_refused(&mut self, buffer: &mut BytesMut) {
        let Some(missing) = self.missing_mut() else { return };
        if let Missing::RefusedValue { remaining } = missing {
            let arrived = buffer.len().min(*remaining);
            buffer.advance(arrived);
            *remaining -= arrived;
            if *remaining == 0 {
                *missing = Missing::Head;
            }
        }
    }

    /// Records that the client has closed its side.
    pub fn hang_up(&mut self) {
        *self = match std::mem::replace(self, InputState::new()) {
            InputState::Reading(missing) | InputState::HungUp(missing) => InputState::HungUp(missing),
            InputState::Finishing { _reserved } | InputState::Gone { _reserved } => {
                InputState::Gone { _reserved }
            }
        };
    }

    /// Stops reading commands.
    pub fn finish(&mut self) {
        *self = match std::mem::replace(self, InputState::new()) {
            InputState::Reading(missing) => InputState::Finishing { _reserved: missing.into_reservation() },
            InputState::HungUp(missing) => InputState::Gone { _reserved: missing.into_reservation() },
            finished => finished,
        };
    }

    fn missing_mut(&mut self) -> Option<&mut Missing> {
        match self {
            InputState::Reading(missing) | InputState::HungUp(missing) => Some(missing),
            InputState::Finishing { .. } | InputState::Gone { .. } => None,
        }
    }
}

impl Missing {
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
