//! Splits a node's events into segments. No I/O: chunks go to a [`Sink`], which may refuse them.
//!
//! Nothing here blocks. If the sink is full or fails, the segment ends there (what is on disk remains a valid
//! prefix), the events that follow are counted as lost, and after a backoff a new segment begins with the
//! module's state and the number of missing events.

use std::fmt;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Action, Event, InheritedState, Micros, Policy, STATE_VERSION};
use serde::Deserialize;

use crate::entry::{Body, RecordedAction};
use crate::monotonic::{ClockReading, MonotonicReading};
use crate::segment::{Header, Writer};

/// Settings of a recorder.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Size at which a segment ends, in mebibytes.
    pub segment_mib: f64,
    /// Limit of the total size of a node's segments, in mebibytes; the oldest ones are removed.
    pub most_mib: f64,
    /// Longest time until recorded events are handed to the disk, in milliseconds: a kill loses no more.
    pub hand_over_ms: f64,
    /// Interval of flushing to the disk (fdatasync), in milliseconds: a power failure loses no more.
    pub sync_ms: f64,
    /// Mebibytes that may be pending for a slow disk; events beyond that are lost and the gap is marked.
    pub wait_mib: f64,
    /// Delay after a loss before recording resumes, in milliseconds.
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

/// A setting outside its range.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfRange {
    /// Name of the setting.
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
    /// Checks every setting against its range.
    ///
    /// # Errors
    /// The first setting outside its range.
    pub fn validate(&self) -> Result<(), OutOfRange> {
        let max_total_mib = self.most_mib.max(0.0);
        for (key, value, range) in [
            ("most_mib", self.most_mib, (2.0, 1_048_576.0)),
            ("segment_mib", self.segment_mib, (0.05, max_total_mib / 2.0)),
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

/// Destination of a record's chunks, which reports failures to the recorder.
pub trait Sink {
    /// Takes a chunk; `is_first` is true for the first chunk of a segment. Must not block.
    ///
    /// # Errors
    /// Why this chunk was not taken or an earlier one not stored; the recorder passes no more chunks of the
    /// segment then.
    fn write(&mut self, header: &Header, is_first: bool, chunk: Chunk) -> Result<(), String>;

    /// Number of events in chunks that were taken but not stored, since the last call.
    fn take_dropped_events(&mut self) -> u64;
}

/// A part of a segment.
pub struct Chunk {
    /// Complete entries; the first chunk of a segment starts with the header.
    pub bytes: Vec<u8>,
    /// Number of events among them.
    pub events: u64,
}

/// Counts of what was recorded and lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Events whose entries the sink has taken or will be given.
    pub events: u64,
    /// Events that are in no segment.
    pub lost: u64,
    /// Bytes passed to the sink.
    pub bytes: u64,
    /// Segments begun.
    pub segments: u32,
    /// Chunks that the sink refused.
    pub refused: u32,
}

/// A line for the log, if something has changed.
pub type Notice = Option<String>;

struct OpenSegment {
    header: Header,
    writer: Writer,
    is_first: bool,
    /// When the oldest pending event was recorded.
    pending_since: Micros,
    /// Number of pending events.
    events: u64,
    /// When the segment began.
    started_at: Micros,
    /// Events missing before it; `None` once it is certain that this number has been written.
    gap: Option<u64>,
}

/// Records the events of a node's module in segments.
pub struct Recorder {
    tuning: Tuning,
    sink: Box<dyn Sink>,
    inherited_state: Option<InheritedState>,
    header: Option<Header>,
    enabled: bool,
    segment: Option<OpenSegment>,
    /// An event has been written whose actions are still missing.
    awaiting_actions: bool,
    /// No segment is begun before this time.
    resume_at: Micros,
    /// Events lost since the last segment ended.
    missing_events: u64,
    loss_reported: bool,
    /// Consecutive failures.
    consecutive_failures: u32,
    counts: Counts,
    program: String,
    secret_keys: bool,
    /// The largest incarnation in the folder.
    largest_incarnation: Option<u64>,
    /// Reads the monotonic clock.
    monotonic: Box<dyn Fn() -> Option<MonotonicReading>>,
    /// Both clocks when the node started.
    start_clocks: ClockReading,
    /// The clock to which the times of `inherited_state` refer, if it is not the node's own.
    recovered_at: Option<Micros>,
}

impl Recorder {
    /// Creates a recorder that passes its chunks to a sink. `inherited_state` is what this incarnation must
    /// count of the previous one, according to its record.
    pub fn new(
        tuning: Tuning,
        enabled: bool,
        sink: Box<dyn Sink>,
        inherited_state: Option<InheritedState>,
    ) -> Self {
        Recorder {
            tuning,
            sink,
            inherited_state,
            header: None,
            enabled,
            segment: None,
            awaiting_actions: false,
            resume_at: 0,
            missing_events: 0,
            loss_reported: false,
            consecutive_failures: 0,
            counts: Counts::default(),
            program: String::new(),
            secret_keys: false,
            largest_incarnation: None,
            monotonic: Box::new(|| None),
            start_clocks: ClockReading { clock: 0, monotonic: None },
            recovered_at: None,
        }
    }

    /// Sets the largest incarnation in the folder: that of this node becomes greater, whatever the wall clock
    /// shows.
    pub fn after_incarnation(mut self, largest_incarnation: Option<u64>) -> Self {
        self.largest_incarnation = largest_incarnation;
        self
    }

    /// Reads the monotonic clock when the node starts, so that the age of its segments can be proven later.
    pub fn with_monotonic_clock(mut self, read: impl Fn() -> Option<MonotonicReading> + 'static) -> Self {
        self.monotonic = Box::new(read);
        self
    }

    /// Sets the clock value at which the inherited state was recovered. Its times are shifted by the
    /// difference to the node's own clock, which may have been stepped since.
    pub fn recovered_at(mut self, clock: Micros) -> Self {
        self.recovered_at = Some(clock);
        self
    }

    /// Sets the program that records, and whether keys were hashed with a secret.
    pub fn with_program(mut self, program: &str, secret_keys: bool) -> Self {
        (self.program, self.secret_keys) = (program.into(), secret_keys);
        self
    }

    /// Starts recording for a node with this name, seed, settings and clock value.
    pub fn start(&mut self, node: &str, seed: u64, deployment: &DeploymentSettings, now: Micros) {
        self.start_clocks = ClockReading { clock: now, monotonic: (self.monotonic)() };
        if let (Some(then), Some(inherited_state)) = (self.recovered_at.take(), &mut self.inherited_state) {
            shift_times(inherited_state, then, now);
        }
        self.header = Some(Header {
            node: node.into(),
            incarnation: self
                .largest_incarnation
                .map_or(now, |largest_incarnation| now.max(largest_incarnation.saturating_add(1))),
            number: 0,
            started_at: now,
            program: self.program.clone(),
            state_version: STATE_VERSION,
            seed,
            secret_keys: self.secret_keys,
            settings: deployment.policy.clone(),
            classes: deployment.class_names.clone(),
            tenants: deployment.tenant_names.clone(),
            servers: Vec::new(),
            monotonic: None,
        });
    }

    /// What this incarnation must count of the previous one; returned once.
    pub fn take_inherited_state(&mut self) -> Option<InheritedState> {
        self.inherited_state.take()
    }

    /// Counts of what was recorded and lost.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Enables or disables recording.
    pub fn set_enabled(&mut self, enabled: bool, now: Micros) -> Notice {
        if enabled == self.enabled {
            return None;
        }
        if !enabled && let Some(mut segment) = self.segment.take() {
            segment.writer.write_entry(now, &Body::End);
            let events = segment.events;
            if self.send_chunk(&mut segment).is_err() {
                self.count_lost(events);
            }
        }
        (self.enabled, self.resume_at, self.missing_events) = (enabled, 0, 0);
        Some(if enabled {
            "recording started".into()
        } else {
            format!("recording stopped; {}", self.summary())
        })
    }

    /// Whether recording is enabled.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Records an event before it is passed to the module; `client_id_checksum` belongs to the id of a
    /// request.
    pub fn record_event(
        &mut self,
        now: Micros,
        policy: &Policy,
        event: &Event,
        client_id_checksum: Option<u32>,
    ) -> Notice {
        self.awaiting_actions = false;
        if !self.enabled {
            return None;
        }
        let mut notice = None;
        if self
            .segment
            .as_ref()
            .is_some_and(|segment| segment.writer.len() as f64 > self.tuning.segment_mib * 1048576.0)
        {
            notice = self.hand_over(now);
            // A gap that is not certain to be written is reported again in the next segment.
            self.missing_events += self.segment.take().and_then(|segment| segment.gap).unwrap_or(0);
        }
        if self.segment.is_none() && now >= self.resume_at {
            notice = notice.or(self.begin_segment(now, policy));
        }
        match &mut self.segment {
            Some(segment) => {
                segment.writer.begin_event(now, event, client_id_checksum);
                self.awaiting_actions = true;
            }
            None => self.count_lost(1),
        }
        notice
    }

    /// Records the actions that the event caused.
    pub fn record_actions(&mut self, now: Micros, actions: &[Action]) -> Notice {
        if !std::mem::take(&mut self.awaiting_actions) {
            return None;
        }
        let segment = self.segment.as_mut()?;
        segment.writer.finish_event(actions.iter().map(RecordedAction::from));
        segment.events += 1;
        if segment.events == 1 {
            segment.pending_since = now;
        }
        let is_due = now.saturating_sub(segment.pending_since) as f64 >= self.tuning.hand_over_ms * 1000.0;
        if is_due || segment.writer.pending_bytes() >= CHUNK_BYTES { self.hand_over(now) } else { None }
    }

    /// Ends the record at an orderly shutdown of the node.
    pub fn finish(&mut self, now: Micros) -> Notice {
        if let Some(segment) = &mut self.segment {
            segment.writer.write_entry(now, &Body::End);
        }
        self.hand_over(now)
    }

    fn begin_segment(&mut self, now: Micros, policy: &Policy) -> Notice {
        self.count_late_losses();
        let header = self.header.as_mut()?;
        (header.started_at, header.servers) = (now, policy.listed_servers());
        let since_start = now.saturating_sub(self.start_clocks.clock);
        header.monotonic = self.start_clocks.monotonic.map(|reading| reading.later(since_start));
        let created = Writer::begin(header).and_then(|mut writer| {
            writer.write_state(now, policy)?;
            Ok(writer)
        });
        let mut writer = match created {
            Ok(writer) => writer,
            Err(e) => return self.handle_failure(now, 0, &e),
        };
        if self.missing_events > 0 {
            writer.write_entry(now, &Body::Gap { events: self.missing_events });
        }
        self.counts.segments += 1;
        let gap = Some(std::mem::take(&mut self.missing_events));
        self.segment = Some(OpenSegment {
            header: header.clone(),
            writer,
            is_first: true,
            pending_since: now,
            events: 0,
            started_at: now,
            gap,
        });
        header.number += 1;
        None
    }

    /// Whether a disk stores a chunk is known only later. After a loss, recording counts as resumed when a
    /// segment has been written without failure for the retry delay plus one sync interval.
    fn confirm_resumed(&mut self, now: Micros) -> Notice {
        let wait = ((self.tuning.again_ms + self.tuning.sync_ms) * 1000.0) as Micros;
        let segment = self
            .segment
            .as_mut()
            .filter(|segment| segment.gap.is_some() && now >= segment.started_at + wait)?;
        let missing_events = segment.gap.take()?;
        self.consecutive_failures = 0;
        let was_reported = std::mem::take(&mut self.loss_reported);
        was_reported
            .then(|| format!("recording resumed after a gap of {missing_events} events; {}", self.summary()))
    }

    fn send_chunk(&mut self, segment: &mut OpenSegment) -> Result<(), String> {
        let chunk = Chunk { bytes: segment.writer.take(), events: std::mem::take(&mut segment.events) };
        let (bytes, events) = (chunk.bytes.len() as u64, chunk.events);
        self.sink.write(&segment.header, std::mem::take(&mut segment.is_first), chunk)?;
        self.counts.bytes += bytes;
        self.counts.events += events;
        Ok(())
    }

    fn hand_over(&mut self, now: Micros) -> Notice {
        let mut segment = self.segment.take()?;
        let events = segment.events;
        match self.send_chunk(&mut segment) {
            Ok(()) => {
                self.segment = Some(segment);
                self.confirm_resumed(now)
            }
            Err(e) => {
                // The next segment must report the gap that this one would have reported.
                self.missing_events += segment.gap.unwrap_or(0);
                self.handle_failure(now, events, &e)
            }
        }
    }

    fn handle_failure(&mut self, now: Micros, events: u64, reason: &str) -> Notice {
        self.count_lost(events);
        self.count_late_losses();
        self.counts.refused += 1;
        // Every attempt costs encoding a state, so the delay doubles with each failure, up to a minute.
        let wait = (self.tuning.again_ms * f64::from(1u32 << self.consecutive_failures.min(6))).min(60_000.0);
        self.consecutive_failures += 1;
        self.resume_at = now + (wait * 1000.0) as Micros;
        // Reported once, until recording resumes.
        (!std::mem::replace(&mut self.loss_reported, true))
            .then(|| format!("recording interrupted, events are lost: {reason}"))
    }

    /// Counts events that the sink had taken but did not store.
    fn count_late_losses(&mut self) {
        let dropped = self.sink.take_dropped_events();
        self.counts.events = self.counts.events.saturating_sub(dropped);
        self.count_lost(dropped);
    }

    fn count_lost(&mut self, events: u64) {
        self.missing_events += events;
        self.counts.lost += events;
    }

    fn summary(&self) -> String {
        let counts = self.counts;
        format!(
            "{} events in {} segments, {} bytes, {} events lost",
            counts.events, counts.segments, counts.bytes, counts.lost
        )
    }
}

/// Shifts the times of an inherited state from a clock that shows `from` to one that shows `to`.
fn shift_times(inherited_state: &mut InheritedState, from: Micros, to: Micros) {
    let shifted = |time: Micros| to.saturating_add_signed(time.wrapping_sub(from).cast_signed());
    inherited_state.origin_calls.iter_mut().for_each(|(_, until)| *until = shifted(*until));
    inherited_state.keyed_writes.iter_mut().for_each(|(_, first_sent)| *first_sent = shifted(*first_sent));
    inherited_state.window_start = shifted(inherited_state.window_start);
}

/// Approximate size of a chunk, in bytes.
const CHUNK_BYTES: usize = 32 * 1024;
