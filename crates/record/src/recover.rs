//! Determines from the record of the previous incarnation what a restarted node must count.
//!
//! The wall clock may have been stepped since, so it proves no age. If both incarnations have a reading of
//! the monotonic clock of the same boot, the record's age is known. Otherwise its calls are treated as if
//! they had been recorded just now, and its keyed writes as if their windows had just ended.

use std::io;

use brassrouter::interface::Class;
use brassrouter::{InheritedState, Micros, Policy, STATE_VERSION, Settings};

use crate::monotonic::ClockReading;
use crate::replay::{Outcome, replay};
use crate::segment::Segment;

/// Limit of unreadable segments that are skipped: the start must not wait for a folder full of them.
const MAX_UNREADABLE_SEGMENTS: usize = 64;
/// Limit of the calls assumed for missing entries; far above any limit of outstanding calls.
const MAX_ASSUMED_CALLS: f64 = 4096.0;
/// Added to the age of keyed writes, because the two clocks are not read at the same instant.
const CLOCK_READ_MARGIN_US: Micros = 10_000;

/// The end of a record that a kill may have lost because it was not handed to the disk.
#[derive(Debug, Clone, Copy)]
pub struct UnrecordedTail {
    /// Its longest duration, while the disk works.
    pub duration: Micros,
}

/// Result of a recovery.
#[derive(Debug, Clone, PartialEq)]
pub enum Found {
    /// What the previous incarnation left behind, and a line for the log.
    Inherited(InheritedState, String),
    /// Nothing usable, and why.
    Nothing(String),
}

/// Recovery of a starting node from the record of its previous incarnation.
#[derive(Debug, Clone, Copy)]
pub struct Recovery<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Settings of the new incarnation.
    pub settings: &'a Settings,
    /// Its clocks.
    pub now: ClockReading,
    /// What a kill may have lost of the record.
    pub unrecorded_tail: UnrecordedTail,
}

/// Why a segment can't be used.
enum UnusableSegment {
    /// It can't be read; the previous segment may be usable.
    Unreadable(String),
    /// It can be read, but does not belong to this node's history; neither do the segments before it.
    NotApplicable(String),
}

impl Recovery<'_> {
    /// Reads a segment, the last one of the previous incarnation.
    ///
    /// A record is not used if it is of another node, of other settings or of another state layout, or so old
    /// that nothing of it can still be running. If it does not end in order, its last moments are missing:
    /// the calls that the gate would have admitted in that time are counted as begun.
    pub fn recover(&self, bytes: &[u8]) -> Found {
        match self.read_segment(bytes, 0) {
            Ok((inherited, log_line)) => Found::Inherited(inherited, log_line),
            Err(UnusableSegment::Unreadable(reason) | UnusableSegment::NotApplicable(reason)) => {
                not_used(&reason)
            }
        }
    }

    /// Reads the newest readable segment of a folder. The content of the newer ones is missing; if none can
    /// be read, as many calls are counted as the gate allows to be outstanding.
    pub fn recover_newest(
        &self,
        newest_first: &[String],
        mut read: impl FnMut(&str) -> io::Result<Vec<u8>>,
    ) -> Found {
        let mut first_failure = None;
        for (skipped, name) in newest_first.iter().take(MAX_UNREADABLE_SEGMENTS).enumerate() {
            let bytes = read(name).map_err(|e| UnusableSegment::Unreadable(format!("cannot read it: {e}")));
            match bytes.and_then(|bytes| self.read_segment(&bytes, skipped)) {
                Ok((inherited, log_line)) => return Found::Inherited(inherited, log_line),
                Err(UnusableSegment::NotApplicable(reason)) => return not_used(&reason),
                Err(UnusableSegment::Unreadable(reason)) => {
                    first_failure.get_or_insert(format!("{name}: {reason}"))
                }
            };
        }
        match first_failure {
            Some(reason) => self.assume_maximum(&reason),
            None => Found::Nothing("there is no record of an earlier incarnation".into()),
        }
    }

    fn read_segment(
        &self,
        bytes: &[u8],
        skipped: usize,
    ) -> Result<(InheritedState, String), UnusableSegment> {
        let mut segment =
            Segment::open(bytes).map_err(|error| UnusableSegment::Unreadable(error.to_string()))?;
        self.check_applicable(&segment).map_err(UnusableSegment::NotApplicable)?;
        let (outcome, policy) = replay(&mut segment).map_err(UnusableSegment::Unreadable)?;
        if let Some(difference) = &outcome.first_difference {
            let reason = format!("entry {} causes other actions in this program", difference.entry);
            return Err(UnusableSegment::NotApplicable(reason));
        }
        let end = RecordEnd {
            at: policy.now(),
            age: self.age(&segment, &policy),
            complete: outcome.clean_shutdown && outcome.read_error.is_none() && skipped == 0,
        };
        if let Some(age) = end.age.filter(|age| end.complete && *age > self.relevant_period()) {
            let age = age as f64 / 1e6;
            let reason = format!("it ended {age:.1} s ago, so nothing of it can still be running");
            return Err(UnusableSegment::NotApplicable(reason));
        }
        let inherited = self.inherited_state(&policy, &end);
        let log_line = describe(&inherited, &end, &outcome, skipped);
        Ok((inherited, log_line))
    }

    fn check_applicable(&self, segment: &Segment<'_>) -> Result<(), String> {
        let header = &segment.header;
        if header.node != self.node {
            return Err(format!("it is of node {:?}", header.node));
        }
        if header.state_version != STATE_VERSION {
            return Err(format!("its state has layout {}, not {STATE_VERSION}", header.state_version));
        }
        if header.settings != *self.settings {
            return Err("it was recorded with other settings".into());
        }
        Ok(())
    }

    /// How long ago the last entry was recorded, if the monotonic clock proves it.
    fn age(&self, segment: &Segment<'_>, policy: &Policy) -> Option<Micros> {
        let header = &segment.header;
        let last = header.monotonic?.later(policy.now().saturating_sub(header.started_at));
        self.now.monotonic?.since(last)
    }

    fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// How long anything that a node did can matter to the next incarnation.
    fn relevant_period(&self) -> Micros {
        let windows = self.settings.classes.iter().filter_map(Class::dedup_window).max().unwrap_or(0);
        self.longest_deadline().max(2 * windows)
    }

    fn inherited_state(&self, policy: &Policy, end: &RecordEnd) -> InheritedState {
        let now = self.now.clock;
        let longest = self.longest_deadline();
        let age = end.age.unwrap_or(0);
        let mut inherited = policy.inheritable_state();
        let assumed_calls = if end.complete { 0 } else { self.assumed_calls(&inherited, end) };
        inherited.origin_calls.retain_mut(|(_, until)| {
            let remaining = until.saturating_sub(end.at).min(longest).saturating_sub(age);
            *until = now + remaining;
            remaining > 0
        });
        inherited.origin_calls.extend(std::iter::repeat_n((true, now + longest), assumed_calls));
        inherited.window_start =
            now.saturating_sub(end.at.saturating_sub(inherited.window_start).saturating_add(age));
        for (_, first_sent) in &mut inherited.keyed_writes {
            let age_at_end = end.at.saturating_sub(*first_sent);
            *first_sent = now.saturating_sub(self.write_age(age_at_end, end.age));
        }
        inherited
    }

    /// Age of a keyed write whose age was `age_at_end` at the end of the record.
    ///
    /// A retry may be sent only if it is certainly inside the write's deduplication window. If the age is
    /// unknown, that is certain for none: the write is assigned the lowest age at which a retry of any class
    /// fails, so that it stays known for as long as possible.
    fn write_age(&self, age_at_end: Micros, age: Option<Micros>) -> Micros {
        let windows = self
            .settings
            .classes
            .iter()
            .filter_map(|c| Some(c.dedup_window()?.saturating_sub(c.target_latency)));
        match age {
            Some(age) => age_at_end.saturating_add(age).saturating_add(CLOCK_READ_MARGIN_US),
            None => age_at_end.max(windows.max().unwrap_or(0)),
        }
    }

    /// Calls that may have been begun but are not in the record, estimated from the call rate at its end and
    /// the duration for which entries may be missing, up to the gate's limit of outstanding calls. If entries
    /// of the longest deadline or more may be missing, for example after a disk failure, the rate says
    /// nothing about the end: the gate's limit is used.
    fn assumed_calls(&self, inherited: &InheritedState, end: &RecordEnd) -> usize {
        let longest = self.longest_deadline();
        let max_calls = inherited.outstanding_limit.ceil().clamp(1.0, MAX_ASSUMED_CALLS);
        let missing_duration = match end.age {
            Some(age) if age < longest => age.max(self.unrecorded_tail.duration),
            _ => return max_calls as usize,
        };
        let window_duration =
            end.at.saturating_sub(inherited.window_start).max(self.unrecorded_tail.duration).max(1);
        let rate_in_window = f64::from(inherited.calls_in_window[0]) / window_duration as f64;
        let rate_of_outstanding = inherited.origin_calls.len() as f64 / longest.max(1) as f64;
        let begun_calls = (rate_in_window.max(rate_of_outstanding) * missing_duration as f64).ceil();
        begun_calls.clamp(1.0, max_calls) as usize
    }

    /// The result if there was a previous incarnation about which nothing is known: as many calls as the gate
    /// allows to be outstanding may be running.
    pub fn assume_maximum(&self, reason: &str) -> Found {
        let now = self.now.clock;
        let mut inherited = Policy::new(self.settings.clone(), 0).inheritable_state();
        let max_calls = inherited.outstanding_limit.ceil().clamp(1.0, MAX_ASSUMED_CALLS) as usize;
        inherited.origin_calls = vec![(true, now + self.longest_deadline()); max_calls];
        inherited.window_start = now;
        let log_line = format!(
            "the record is not used: {reason}; {max_calls} origin calls are assumed to run until the longest deadline"
        );
        Found::Inherited(inherited, log_line)
    }
}

/// The end of a record.
struct RecordEnd {
    /// Clock value of the last entry.
    at: Micros,
    /// How long ago that was, if it is proven.
    age: Option<Micros>,
    /// Whether the node shut down in order and no entry is missing.
    complete: bool,
}

fn not_used(reason: &str) -> Found {
    Found::Nothing(format!("the record is not used: {reason}"))
}

fn describe(inherited: &InheritedState, end: &RecordEnd, outcome: &Outcome, skipped: usize) -> String {
    let ending = if outcome.clean_shutdown { "in order" } else { "abruptly" };
    let age_text = match end.age {
        Some(age) => format!("{:.3} s ago", age as f64 / 1e6),
        None => "at an unknown time".into(),
    };
    let unreadable =
        outcome.read_error.as_ref().map_or(String::new(), |error| format!("; unreadable from {error}"));
    let skipped = match skipped {
        0 => String::new(),
        count => format!("; {count} newer segments are unreadable"),
    };
    format!(
        "recovered from the record: {} origin calls may still be running, {} keyed writes may have run; it ended \
         {ending} {age_text}{unreadable}{skipped}",
        inherited.origin_calls.len(),
        inherited.keyed_writes.len(),
    )
}
