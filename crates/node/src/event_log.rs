//! Log of events, one per line in `key=value` form. Lines are limited for each kind of event, and omitted
//! ones are counted.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use mothpier_host::Host;
use tokio::time::Instant;

/// Maximum number of lines of each kind in [`WINDOW`]: enough to see what happens, and cheap if thousands are
/// affected.
const MAX_LINES: u32 = 10;
/// See [`MAX_LINES`].
const WINDOW: Duration = Duration::from_secs(1);

/// Kinds of events, each with its own limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The node closed or rejected a client connection.
    ConnectionClosed,
    /// A connection has sent very many commands within a second.
    ConnectionBusy,
    /// A connection is still open after the time by which it had to be closed.
    ConnectionHeld,
    /// A request was refused.
    RequestRefused,
    /// A request got a further attempt.
    FurtherAttempt,
    /// A step of a drain or of the shutdown of the process.
    Retirement,
}

impl EventKind {
    const COUNT: usize = 6;

    fn name(self) -> &'static str {
        match self {
            EventKind::ConnectionClosed => "connection_closed",
            EventKind::ConnectionBusy => "connection_busy",
            EventKind::ConnectionHeld => "connection_held",
            EventKind::RequestRefused => "request_refused",
            EventKind::FurtherAttempt => "further_attempt",
            EventKind::Retirement => "retirement",
        }
    }
}

/// The lines of one kind in the current window.
#[derive(Clone, Copy, Default)]
struct Window {
    started_at: Option<Instant>,
    lines: u32,
    omitted: u64,
}

/// Writes events to the log.
pub struct EventLog<H> {
    host: H,
    windows: [Cell<Window>; EventKind::COUNT],
}

impl<H: Host> EventLog<H> {
    /// Creates a log that writes through this host.
    pub fn new(host: H) -> Self {
        EventLog { host, windows: Default::default() }
    }

    /// Writes an event unless there were too many of its kind in the current window; the next one written
    /// states how many were omitted.
    pub fn write(&self, kind: EventKind, fields: fmt::Arguments<'_>) {
        let cell = &self.windows[kind as usize];
        let mut window = cell.get();
        let now = Instant::now();
        if window.started_at.is_none_or(|started_at| now - started_at >= WINDOW) {
            (window.started_at, window.lines) = (Some(now), 0);
        }
        window.lines += 1;
        let omitted = window.omitted;
        window.omitted = if window.lines > MAX_LINES { omitted + 1 } else { 0 };
        cell.set(window);
        match omitted {
            _ if window.lines > MAX_LINES => {}
            0 => self.host.log(format_args!("event={} {fields}", kind.name())),
            _ => self.host.log(format_args!("event={} {fields} omitted_before={omitted}", kind.name())),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_log.rs"]
mod tests;
