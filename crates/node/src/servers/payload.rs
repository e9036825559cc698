//! A command for a cache server, and its encoding.

use std::rc::Rc;

use bytes::Bytes;
use mothpier_resp as resp;
use tokio::time::Instant;

use crate::command::{AttemptExtras, AttemptId, Command as ClientCommand};

/// A command of an attempt or a probe.
pub struct AttemptCommand {
    pub attempt: AttemptId,
    pub payload: Payload,
}

impl AttemptCommand {
    /// A command that has not been written yet.
    pub fn new(attempt: AttemptId, payload: Payload) -> Self {
        AttemptCommand { attempt, payload }
    }
}

/// The content of a command.
pub enum Payload {
    /// A client's request. It is encoded when it is written because it carries the time left at that moment.
    Request { command: Rc<ClientCommand>, extras: AttemptExtras, may_run_twice: bool },
    /// A query for the load report, which has a response of its own form.
    Probe,
}

impl Payload {
    /// Until when the response is waited for; `None` for a probe.
    pub(super) fn deadline(&self) -> Option<Instant> {
        match self {
            Payload::Request { extras, .. } => Some(extras.deadline()),
            Payload::Probe => None,
        }
    }

    /// Whether there is time left to send it.
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

    pub(super) fn kind(&self) -> CommandKind {
        match self {
            Payload::Request { command, .. } if command.write => CommandKind::Write,
            Payload::Request { .. } => CommandKind::Read,
            Payload::Probe => CommandKind::Probe,
        }
    }

    /// The bytes to write now; `None` if the attempt has no time left.
    pub(super) fn encode_now(&self) -> Option<Bytes> {
        match self {
            Payload::Request { command, extras, .. } => Some(command.encode_with(extras.encode_now()?)),
            Payload::Probe => Some(resp::encode_command(["INFO".into(), "load".into()])),
        }
    }
}

/// How a written command may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandKind {
    /// Reads the load only.
    Probe,
    /// May run twice.
    Read,
    /// May run twice only if the decision module allows it.
    Write,
}
