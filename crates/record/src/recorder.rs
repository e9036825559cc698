//! Takes events from a node and makes segments of them. No I/O: pieces go to a [`Sink`], which may refuse them.
//!
//! Nothing here waits. Where the sink has no room or fails, the segment ends there (what is on disk stays a valid
//! beginning), the events that follow are counted as lost, and after a while a new segment begins with the module's
//! state and says how many are missing before it.

use std::fmt;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Action, Event, InheritedState, Micros, Policy, STATE_VERSION};
use serde::Deserialize;

use crate::entry::{Body, RecordedAction};
use crate::monotonic::{ClockReading, MonotonicReading};
use crate::segment::{Header, Writer};

/// Figures of a recorder.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// A segment ends when it has grown to so many mebibytes.
    pub segment_mib: f64,
    /// The oldest segments go when all of the node's together would exceed so many mebibytes.
    pub most_mib: f64,
    /// What was recorded is handed to the disk after so many milliseconds at the latest: a kill loses no more.
    pub hand_over_ms: f64,
    /// What was handed over is forced onto the disk (fdatasync) so often, milliseconds: a power cut loses no more.
    pub sync_ms: f64,
    /// Mebibytes that may wait for a slow disk; what comes on top is lost and marked.
    pub wait_mib: f64,
    /// After a loss, recording begins anew so much later, milliseconds.
    pub again_ms: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            segment_mib: 16.0,
            most_mib: 1024.0,
            hand_over_ms: 100.0,
            sync_ms: 1000.0,
            wait_mib: 4.0,
            again_ms: 1000.0,
        }
    }
}

/// A figure outside its range.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfRange {
    /// Its name.
    pub key: &'static str,
    value: f64,
    range: (f64, f64),
}

impl fmt::Display for OutOfRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is not between {} and {}", self.key, self.value, self.range.0, self.range.1)
    }
}

impl Tuning {
    /// Checks every figure against its range.
    ///
    /// # Errors
    /// The first one outside.
    pub fn validate(&self) -> Result<(), OutOfRange> {
        let most = self.most_mib.max(0.0);
        for (key, value, range) in [
            ("most_mib", self.most_mib, (2.0, 1_048_576.0)),
            ("segment_mib", self.segment_mib, (0.05, most / 2.0)),
            ("hand_over_ms", self.hand_over_ms, (1.0, 1000.0)),
            ("sync_ms", self.sync_ms, (0.0, 60_000.0)),
            ("wait_mib", self.wait_mib, (0.25, 64.0)),
            ("again_ms", self.again_ms, (100.0, 60_000.0)),
        ] {
            if !(range.0..=range.1).contains(&value) {
                return Err(OutOfRange { key, value, range });
            }
        }
        Ok(())
    }
}

/// Where a piece of a record goes, and what the recorder is told of it.
pub trait Sink {
    /// Takes a piece; `first` where it begins a segment. Never waits.
    ///
    /// # Errors
    /// Why it could not be taken, or an earlier one not kept; the rest of its segment is not given then.
    fn write(&mut self, header: &Header, first: bool, piece: Chunk) -> Result<(), String>;

    /// Events of pieces that were taken and not kept after all, since the last call.
    fn take_dropped_events(&mut self) -> u64;
}

/// A part of a segment.
pub struct Chunk {
    /// Whole entries, except that the first piece of a segment begins with the header.
    pub bytes: Vec<u8>,
    /// Events among them.
    pub events: u64,
}

/// What was recorded and lost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Events whose entries the sink has taken or will be given.
    pub events: u64,
    /// Events that are in no segment.
    pub lost: u64,
    /// Bytes given to the sink.
    pub bytes: u64,
    /// Segments begun.
    pub segments: u32,
    /// Times that the sink refused a piece.
    pub refused: u32,
}

/// A line for the log, where something has changed.
pub type Notice = Option<String>;

struct Open {
    header: Header,
    writer: Writer,
    first: bool,
    /// When its waiting bytes began to wait.
    since: Micros,
    /// Events among the waiting bytes.
    events: u64,
    /// When it began.
    begun: Micros,
    /// Missing before it; `None` once it is sure that this has been written.
    gap: Option<u64>,
}

/// Makes segments of what a node's module is told.
pub struct Recorder {
    figures: Tuning,
    sink: Box<dyn Sink>,
    legacy: Option<InheritedState>,
    header: Option<Header>,
    on: bool,
    open: Option<Open>,
    /// An event has been written whose actions are still to come.
    half: bool,
    /// No segment is begun before.
    not_before: Micros,
    /// Lost since the last segment ended.
    missing: u64,
    told_of_loss: bool,
    /// Failures in a row.
    failures: u32,
    counts: Counts,
    program: String,
    secret_keys: bool,
    /// The largest incarnation in the folder.
    largest: Option<u64>,
    /// Reads the monotonic clock.
    monotonic: Box<dyn Fn() -> Option<MonotonicReading>>,
    /// Both clocks when the node began.
    begun: ClockReading,
    /// The clock in which the times of `legacy` are told, where it is not the node's own.
    recovered_at: Option<Micros>,
}

impl Recorder {
    /// A recorder that gives its pieces to a sink. `legacy` is what an earlier life's record says that this one must
    /// count.
    pub fn new(figures: Tuning, on: bool, sink: Box<dyn Sink>, legacy: Option<InheritedState>) -> Self {
        Recorder {
            figures,
            sink,
            legacy,
            header: None,
            on,
            open: None,
            half: false,
            not_before: 0,
            missing: 0,
            told_of_loss: false,
            failures: 0,
            counts: Counts::default(),
            program: String::new(),
            secret_keys: false,
            largest: None,
            monotonic: Box::new(|| None),
            begun: ClockReading { clock: 0, monotonic: None },
            recovered_at: None,
        }
    }

    /// The largest incarnation in the folder: that of this node is greater, whatever the wall clock says.
    pub fn after_incarnation(mut self, largest: Option<u64>) -> Self {
        self.largest = largest;
        self
    }

    /// Reads the monotonic clock when the node begins, so that the age of its segments can be proven later.
    pub fn with_monotonic_clock(mut self, read: impl Fn() -> Option<MonotonicReading> + 'static) -> Self {
        self.monotonic = Box::new(read);
        self
    }

    /// The times of the legacy are told in a clock that stood here when it was recovered: they move with the node's
    /// own, which may have been stepped since.
    pub fn recovered_at(mut self, clock: Micros) -> Self {
        self.recovered_at = Some(clock);
        self
    }

    /// Says which program records, and whether keys were hashed with a secret.
    pub fn with_program(mut self, program: &str, secret_keys: bool) -> Self {
        (self.program, self.secret_keys) = (program.into(), secret_keys);
        self
    }

    /// The node begins: its name, its seed, its settings and its clock.
    pub fn start(&mut self, node: &str, seed: u64, site: &DeploymentSettings, now: Micros) {
        self.begun = ClockReading { clock: now, monotonic: (self.monotonic)() };
        if let (Some(then), Some(legacy)) = (self.recovered_at.take(), &mut self.legacy) {
            move_times(legacy, then, now);
        }
        self.header = Some(Header {
            node: node.into(),
            incarnation: self.largest.map_or(now, |largest| now.max(largest.saturating_add(1))),
            number: 0,
            started_at: now,
            program: self.program.clone(),
            state_version: STATE_VERSION,
            seed,
            secret_keys: self.secret_keys,
            settings: site.policy.clone(),
            classes: site.class_names.clone(),
            tenants: site.tenant_names.clone(),
            servers: Vec::new(),
            monotonic: None,
        });
    }

    /// What this life must count of an earlier one; told once.
    pub fn take_inherited_state(&mut self) -> Option<InheritedState> {
        self.legacy.take()
    }

    /// What was recorded and lost so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Switches recording on or off.
    pub fn set_enabled(&mut self, on: bool, now: Micros) -> Notice {
        if on == self.on {
            return None;
        }
        if !on && let Some(mut open) = self.open.take() {
            open.writer.entry(now, &Body::End);
            let events = open.events;
            if self.give(&mut open).is_err() {
                self.lose(events);
            }
        }
        (self.on, self.not_before, self.missing) = (on, 0, 0);
        Some(if on { "recording".into() } else { format!("recording has stopped; {}", self.line()) })
    }

    /// Whether events are wanted at all.
    pub fn is_enabled(&self) -> bool {
        self.on
    }

    /// An event is about to be told to the module; of a request, the `reference` of its client's id.
    pub fn record_event(
        &mut self,
        now: Micros,
        policy: &Policy,
        event: &Event,
        reference: Option<u32>,
    ) -> Notice {
        self.half = false;
        if !self.on {
            return None;
        }
        let mut notice = None;
        if self
            .open
            .as_ref()
            .is_some_and(|open| open.writer.len() as f64 > self.figures.segment_mib * 1048576.0)
        {
            notice = self.hand_over(now);
            // A gap that is not yet sure to be written is said again.
            self.missing += self.open.take().and_then(|open| open.gap).unwrap_or(0);
        }
        if self.open.is_none() && now >= self.not_before {
            notice = notice.or(self.begin(now, policy));
        }
        match &mut self.open {
            Some(open) => {
                open.writer.event(now, event, reference);
                self.half = true;
            }
            None => self.lose(1),
        }
        notice
    }

    /// What the module wants after that event.
    pub fn record_actions(&mut self, now: Micros, actions: &[Action]) -> Notice {
        if !std::mem::take(&mut self.half) {
            return None;
        }
        let open = self.open.as_mut()?;
        open.writer.actions(actions.iter().map(RecordedAction::from));
        open.events += 1;
        if open.events == 1 {
            open.since = now;
        }
        let due = now.saturating_sub(open.since) as f64 >= self.figures.hand_over_ms * 1000.0;
        if due || open.writer.waiting() >= ENOUGH { self.hand_over(now) } else { None }
    }

    /// The node ends in order.
    pub fn finish(&mut self, now: Micros) -> Notice {
        if let Some(open) = &mut self.open {
            open.writer.entry(now, &Body::End);
        }
        self.hand_over(now)
    }

    fn begin(&mut self, now: Micros, policy: &Policy) -> Notice {
        self.late_losses();
        let header = self.header.as_mut()?;
        (header.started_at, header.servers) = (now, policy.listed_servers());
        let since_birth = now.saturating_sub(self.begun.clock);
        header.monotonic = self.begun.monotonic.map(|reading| reading.later(since_birth));
        let begun = Writer::begin(header).and_then(|mut writer| {
            writer.state(now, policy)?;
            Ok(writer)
        });
        let mut writer = match begun {
            Ok(writer) => writer,
            Err(e) => return self.failed(now, 0, &e),
        };
        if self.missing > 0 {
            writer.entry(now, &Body::Gap { events: self.missing });
        }
        self.counts.segments += 1;
        let gap = Some(std::mem::take(&mut self.missing));
        self.open = Some(Open {
            header: header.clone(),
            writer,
            first: true,
            since: now,
            events: 0,
            begun: now,
            gap,
        });
        header.number += 1;
        None
    }

    /// What a disk does with a piece is known only later: after a loss, recording counts as begun again when a segment
    /// has gone well for as long as one waits for the next try, and has been synced once.
    fn confirm(&mut self, now: Micros) -> Notice {
        let wait = ((self.figures.again_ms + self.figures.sync_ms) * 1000.0) as Micros;
        let open = self.open.as_mut().filter(|open| open.gap.is_some() && now >= open.begun + wait)?;
        let missing = open.gap.take()?;
        self.failures = 0;
        let told = std::mem::take(&mut self.told_of_loss);
        told.then(|| format!("recording again; {missing} events are missing before; {}", self.line()))
    }

    fn give(&mut self, open: &mut Open) -> Result<(), String> {
        let piece = Chunk { bytes: open.writer.take(), events: std::mem::take(&mut open.events) };
        let (bytes, events) = (piece.bytes.len() as u64, piece.events);
        self.sink.write(&open.header, std::mem::take(&mut open.first), piece)?;
        self.counts.bytes += bytes;
        self.counts.events += events;
        Ok(())
    }

    fn hand_over(&mut self, now: Micros) -> Notice {
        let mut open = self.open.take()?;
        let events = open.events;
        match self.give(&mut open) {
            Ok(()) => {
                self.open = Some(open);
                self.confirm(now)
            }
            Err(e) => {
                // What it would have said of the time before is to be said by the next one.
                self.missing += open.gap.unwrap_or(0);
                self.failed(now, events, &e)
            }
        }
    }

    fn failed(&mut self, now: Micros, events: u64, why: &str) -> Notice {
        self.lose(events);
        self.late_losses();
        self.counts.refused += 1;
        // Every try costs a state: ever more seldom while it goes on, up to a minute.
        let wait = (self.figures.again_ms * f64::from(1u32 << self.failures.min(6))).min(60_000.0);
        self.failures += 1;
        self.not_before = now + (wait * 1000.0) as Micros;
        // Said once, until it records again.
        (!std::mem::replace(&mut self.told_of_loss, true))
            .then(|| format!("the record has a gap from here on: {why}"))
    }

    /// Takes in what the sink had taken and did not keep.
    fn late_losses(&mut self) {
        let dropped = self.sink.take_dropped_events();
        self.counts.events = self.counts.events.saturating_sub(dropped);
        self.lose(dropped);
    }

    fn lose(&mut self, events: u64) {
        self.missing += events;
        self.counts.lost += events;
    }

    fn line(&self) -> String {
        let c = self.counts;
        format!("{} events in {} segments, {} bytes, {} events lost", c.events, c.segments, c.bytes, c.lost)
    }
}

/// Moves the times of a legacy from a clock that stands at `from` to one that stands at `to`.
fn move_times(legacy: &mut InheritedState, from: Micros, to: Micros) {
    let moved = |time: Micros| to.saturating_add_signed(time.wrapping_sub(from).cast_signed());
    legacy.origin_calls.iter_mut().for_each(|(_, until)| *until = moved(*until));
    legacy.keyed_writes.iter_mut().for_each(|(_, first)| *first = moved(*first));
    legacy.window_start = moved(legacy.window_start);
}

/// Bytes of one piece, about.
const ENOUGH: usize = 32 * 1024;
