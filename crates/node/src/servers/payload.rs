//! A command for a cache server, and the bytes that are written of it.

use std::rc::Rc;

use bytes::Bytes;
use mothpier_resp as resp;
use tokio::time::Instant;

use crate::command::{AttemptExtras, AttemptId, Command as ClientCommand};

/// A command that is to be written.
pub struct AttemptCommand {
    pub attempt: AttemptId,
    pub payload: Payload,
}

impl AttemptCommand {
    /// One that was not written yet.
    pub fn new(attempt: AttemptId, payload: Payload) -> Self {
        AttemptCommand { attempt, payload }
    }
}

/// What a command asks for.
pub enum Payload {
    /// What a client asked for. Its bytes are made when they are written, since they tell the time left by then.
    Request { command: Rc<ClientCommand>, extras: AttemptExtras, may_run_twice: bool },
    /// The load only, which has another answer.
    Probe,
}

impl Payload {
    /// Until when the command is waited for; `None` for a probe.
    pub(super) fn ends(&self) -> Option<Instant> {
        match self {
            Payload::Request { extras, .. } => Some(extras.deadline()),
            Payload::Probe => None,
        }
    }

    /// Whether it may still be written.
    pub(super) fn has_time(&self) -> bool {
        match self {
            Payload::Request { extras, .. } => extras.milliseconds_left().is_some(),
            Payload::Probe => true,
        }
    }

    /// Whether it may be sent again after it may have run.
    pub(super) fn may_run_twice(&self) -> bool {
        match self {
            Payload::Request { may_run_twice, .. } => *may_run_twice,
            Payload::Probe => true,
        }
    }

    pub(super) fn kind(&self) -> Kind {
        match self {
            Payload::Request { command, .. } if command.write => Kind::Write,
            Payload::Request { .. } => Kind::Read,
            Payload::Probe => Kind::Probe,
        }
    }

    /// The bytes to be written now; `None` where the attempt has no time left.
    pub(super) fn encode_now(&self) -> Option<Bytes> {
        match self {
            Payload::Request { command, extras, .. } => Some(command.encode_with(extras.encode_now()?)),
            Payload::Probe => Some(resp::encode_command(["INFO".into(), "load".into()])),
        }
    }
}

/// What may be done with a command that has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Asks for the load only.
    Probe,
    /// May run twice.
    Read,
    /// May not run twice unless the decision module says so.
    Write,
}
