//! What a node that restarts must count of its earlier incarnation, from the record of that.
//!
//! The wall clock may have been stepped since, so it proves no age. Where both have a reading of the monotonic clock of
//! the same boot, the record's age is known; else what it says of calls is taken as if it had been written just now, and
//! what it says of keyed writes as if their windows had just ended.

use std::io;

use brassrouter::interface::Class;
use brassrouter::{InheritedState, Micros, Policy, STATE_VERSION, Settings};

use crate::monotonic::ClockReading;
use crate::replay::{Outcome, replay};
use crate::segment::Segment;

/// Segments that can't be read are passed over, so many at the most: the start must not wait for a folder full of them.
const MOST_UNREADABLE: usize = 64;
/// At most so many calls are assumed where entries are missing; far more than any limit of calls out.
const MOST_ASSUMED: f64 = 4096.0;
/// Keyed writes are taken as so much older: the two clocks of one moment are not read at once.
const READ_APART: Micros = 10_000;

/// Calls a second that a balancer may make in the part of its last moments that was not handed to the disk.
#[derive(Debug, Clone, Copy)]
pub struct UnrecordedTail {
    /// How long that part is at the most, while the disk works.
    pub duration: Micros,
}

/// What was found.
#[derive(Debug, Clone, PartialEq)]
pub enum Found {
    /// What the earlier life left behind, and a line for the log.
    Inherited(InheritedState, String),
    /// Nothing that could be used, and why.
    Nothing(String),
}

/// A node that starts and looks at the record of its earlier incarnation.
#[derive(Debug, Clone, Copy)]
pub struct Recovery<'a> {
    /// The node's name.
    pub node: &'a str,
    /// The settings that it will act on.
    pub settings: &'a Settings,
    /// Its clocks.
    pub now: ClockReading,
    /// What a kill may have cost of the record.
    pub unrecorded_tail: UnrecordedTail,
}

/// Why a segment gives nothing.
enum Unusable {
    /// It can't be read: the one before it may say something.
    Unreadable(String),
    /// It can be read, and is not this node's past; nor are those before it.
    Foreign(String),
}

impl Recovery<'_> {
    /// Reads a segment, the last of the earlier incarnation.
    ///
    /// Not used are records of another node, of other settings, of another layout, and those so old that nothing of
    /// them can still run. One that does not end in order misses the last moments: the calls that its gate would have
    /// let through in that time are counted as made.
    pub fn recover(&self, bytes: &[u8]) -> Found {
        match self.read(bytes, 0) {
            Ok((legacy, line)) => Found::Inherited(legacy, line),
            Err(Unusable::Unreadable(why) | Unusable::Foreign(why)) => unused(&why),
        }
    }

    /// Reads the newest segment of a folder that can be read. What those after it said is missing; where none can be
    /// read, as many calls are counted as the gate lets be out.
    pub fn recover_newest(
        &self,
        newest_first: &[String],
        mut read: impl FnMut(&str) -> io::Result<Vec<u8>>,
    ) -> Found {
        let mut first_failure = None;
        for (passed_over, name) in newest_first.iter().take(MOST_UNREADABLE).enumerate() {
            let bytes = read(name).map_err(|e| Unusable::Unreadable(format!("cannot read it: {e}")));
            match bytes.and_then(|bytes| self.read(&bytes, passed_over)) {
                Ok((legacy, line)) => return Found::Inherited(legacy, line),
                Err(Unusable::Foreign(why)) => return unused(&why),
                Err(Unusable::Unreadable(why)) => first_failure.get_or_insert(format!("{name}: {why}")),
            };
        }
        match first_failure {
            Some(why) => self.assume_maximum(&why),
            None => Found::Nothing("there is no record of an earlier incarnation".into()),
        }
    }

    fn read(&self, bytes: &[u8], passed_over: usize) -> Result<(InheritedState, String), Unusable> {
        let mut segment = Segment::open(bytes).map_err(|torn| Unusable::Unreadable(torn.to_string()))?;
        self.is_own(&segment).map_err(Unusable::Foreign)?;
        let (outcome, policy) = replay(&mut segment).map_err(Unusable::Unreadable)?;
        if let Some(difference) = &outcome.first_difference {
            let why = format!("entry {} does not come to the same actions here", difference.entry);
            return Err(Unusable::Foreign(why));
        }
        let ending = Ending {
            at: policy.now(),
            age: self.age(&segment, &policy),
            whole: outcome.clean_shutdown && outcome.read_error.is_none() && passed_over == 0,
        };
        if let Some(age) = ending.age.filter(|age| ending.whole && *age > self.longest_memory()) {
            let age = age as f64 / 1e6;
            let why = format!("it ended {age:.1} s ago, and nothing of it can still run");
            return Err(Unusable::Foreign(why));
        }
        let legacy = self.legacy(&policy, &ending);
        let line = line(&legacy, &ending, &outcome, passed_over);
        Ok((legacy, line))
    }

    fn is_own(&self, segment: &Segment<'_>) -> Result<(), String> {
        let header = &segment.header;
        if header.node != self.node {
            return Err(format!("it is of node {:?}", header.node));
        }
        if header.state_version != STATE_VERSION {
            return Err(format!("its state is of layout {}, not {STATE_VERSION}", header.state_version));
        }
        if header.settings != *self.settings {
            return Err("it was made with other settings".into());
        }
        Ok(())
    }

    /// How long ago the last entry was, where the monotonic clock proves it.
    fn age(&self, segment: &Segment<'_>, policy: &Policy) -> Option<Micros> {
        let header = &segment.header;
        let last = header.monotonic?.later(policy.now().saturating_sub(header.started_at));
        self.now.monotonic?.since(last)
    }

    fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// For how long anything that a node did matters to the next incarnation.
    fn longest_memory(&self) -> Micros {
        let windows = self.settings.classes.iter().filter_map(Class::dedup_window).max().unwrap_or(0);
        self.longest_deadline().max(2 * windows)
    }

    fn legacy(&self, policy: &Policy, ending: &Ending) -> InheritedState {
        let now = self.now.clock;
        let longest = self.longest_deadline();
        let age = ending.age.unwrap_or(0);
        let mut left = policy.inheritable_state();
        let assumed = if ending.whole { 0 } else { self.assumed(&left, ending) };
        left.origin_calls.retain_mut(|(_, until)| {
            let rest = until.saturating_sub(ending.at).min(longest).saturating_sub(age);
            *until = now + rest;
            rest > 0
        });
        left.origin_calls.extend(std::iter::repeat_n((true, now + longest), assumed));
        left.window_start =
            now.saturating_sub(ending.at.saturating_sub(left.window_start).saturating_add(age));
        for (_, first) in &mut left.keyed_writes {
            let then = ending.at.saturating_sub(*first);
            *first = now.saturating_sub(self.age_of_write(then, ending.age));
        }
        left
    }

    /// How long ago a keyed write was first sent, which was `then` old at the record's end.
    ///
    /// A repeat may be sent only if it is surely inside the write's window. With an unknown age that is not sure of any:
    /// the write is as old as makes a repeat fail from now on, whatever its class, and no older, so that it stays known
    /// for as long as can be.
    fn age_of_write(&self, then: Micros, age: Option<Micros>) -> Micros {
        let windows = self
            .settings
            .classes
            .iter()
            .filter_map(|c| Some(c.dedup_window()?.saturating_sub(c.target_latency)));
        match age {
            Some(age) => then.saturating_add(age).saturating_add(READ_APART),
            None => then.max(windows.max().unwrap_or(0)),
        }
    }

    /// Calls that may have been begun and are not in the record: at the pace of its last moments, for as long as entries
    /// may be missing, and no more than the gate lets be out at once. Where entries of a longest deadline or more may be
    /// missing, as after a failing disk, the pace then says nothing of the end: as many as the gate let be out.
    fn assumed(&self, left: &InheritedState, ending: &Ending) -> usize {
        let longest = self.longest_deadline();
        let most = left.outstanding_limit.ceil().clamp(1.0, MOST_ASSUMED);
        let span = match ending.age {
            Some(age) if age < longest => age.max(self.unrecorded_tail.duration),
            _ => return most as usize,
        };
        let in_window = ending.at.saturating_sub(left.window_start).max(self.unrecorded_tail.duration).max(1);
        let of_window = f64::from(left.calls_in_window[0]) / in_window as f64;
        let of_calls_out = left.origin_calls.len() as f64 / longest.max(1) as f64;
        let begun = (of_window.max(of_calls_out) * span as f64).ceil();
        begun.clamp(1.0, most) as usize
    }

    /// There was an earlier incarnation, and nothing is known of it: as many calls as the gate lets be out may run.
    pub fn assume_maximum(&self, why: &str) -> Found {
        let now = self.now.clock;
        let mut left = Policy::new(self.settings.clone(), 0).inheritable_state();
        let most = left.outstanding_limit.ceil().clamp(1.0, MOST_ASSUMED) as usize;
        left.origin_calls = vec![(true, now + self.longest_deadline()); most];
        left.window_start = now;
        let line = format!(
            "the record is not used: {why}; {most} calls at the origin are taken to run until the longest deadline"
        );
        Found::Inherited(left, line)
    }
}

/// How a record ends.
struct Ending {
    /// The clock of its last entry.
    at: Micros,
    /// How long ago that was, where it is proven.
    age: Option<Micros>,
    /// Whether the node ended in order and nothing that it wrote is missing.
    whole: bool,
}

fn unused(why: &str) -> Found {
    Found::Nothing(format!("the record is not used: {why}"))
}

fn line(legacy: &InheritedState, ending: &Ending, outcome: &Outcome, passed_over: usize) -> String {
    let order = if outcome.clean_shutdown { "in order" } else { "without its end" };
    let ago = match ending.age {
        Some(age) => format!("{:.3} s ago", age as f64 / 1e6),
        None => "at a time that is not known".into(),
    };
    let torn = outcome.read_error.as_ref().map_or(String::new(), |t| format!("; torn at {t}"));
    let passed_over = match passed_over {
        0 => String::new(),
        count => format!("; {count} newer segments can't be read"),
    };
    format!(
        "from the record: {} calls at the origin may still run, {} keyed writes may have run; it ended {order} \
         {ago}{torn}{passed_over}",
        legacy.origin_calls.len(),
        legacy.keyed_writes.len(),
    )
}
