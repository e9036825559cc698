//! Events in the log, one a line in `key=value` fields. Each kind has its own limit of lines, and what is beyond is counted.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use mothpier_host::Host;
use tokio::time::Instant;

/// Lines of each kind in [`WINDOW`]: enough to see what happens, and cheap when it happens to thousands.
const LINES: u32 = 10;
/// See [`LINES`].
const WINDOW: Duration = Duration::from_secs(1);

/// Kinds of events, each with a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The node has closed the connection of a client, or turned it away.
    ConnectionClosed,
    /// A connection is still held when it had to be gone.
    ConnectionHeld,
    /// A request was refused.
    RequestRefused,
    /// A request got a further attempt.
    FurtherAttempt,
    /// A step of a drain or of the end of the process.
    Retirement,
}

impl EventKind {
    const COUNT: usize = 5;

    fn name(self) -> &'static str {
        match self {
            EventKind::ConnectionClosed => "connection_closed",
            EventKind::ConnectionHeld => "connection_held",
            EventKind::RequestRefused => "request_refused",
            EventKind::FurtherAttempt => "further_attempt",
            EventKind::Retirement => "retirement",
        }
    }
}

/// The lines of one kind in the present window.
#[derive(Clone, Copy, Default)]
struct Window {
    began: Option<Instant>,
    lines: u32,
    omitted: u64,
}

/// Writes events to the log.
pub struct EventLog<H> {
    host: H,
    windows: [Cell<Window>; EventKind::COUNT],
}

impl<H: Host> EventLog<H> {
    /// A log that is written through this host.
    pub fn new(host: H) -> Self {
        EventLog { host, windows: Default::default() }
    }

    /// Writes an event with these fields, unless there were too many of its kind of late; the next one that is written tells how
    /// many were left out.
    pub fn write(&self, kind: EventKind, fields: fmt::Arguments<'_>) {
        let place = &self.windows[kind as usize];
        let mut window = place.get();
        let now = Instant::now();
        if window.began.is_none_or(|began| now - began >= WINDOW) {
            (window.began, window.lines) = (Some(now), 0);
        }
        window.lines += 1;
        let omitted = window.omitted;
        window.omitted = if window.lines > LINES { omitted + 1 } else { 0 };
        place.set(window);
        match omitted {
            _ if window.lines > LINES => {}
            0 => self.host.log(format_args!("event={} {fields}", kind.name())),
            _ => self.host.log(format_args!("event={} {fields} omitted_before={omitted}", kind.name())),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_log.rs"]
mod tests;
