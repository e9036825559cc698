//! Trace of the connections of a cache server, and analysis of responses that reached the wrong client.
//!
//! A node matches the responses of a connection to its commands by position. Once it has taken a duplicate for a
//! response, all later responses are shifted.

use std::fmt;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{MISSING, value_of};

/// A response that was sent.
#[derive(Clone, Debug)]
pub struct SentResponse {
    pub at: Duration,
    /// Index of the command that it answers.
    pub answers: usize,
    /// Whether it is a duplicate.
    pub is_duplicate: bool,
    /// Number of commands received and not yet answered.
    pub open: usize,
}

/// Trace of a connection. Times are relative to the start of the server.
#[derive(Debug, Default)]
pub struct ConnectionTrace {
    /// Arrival time and key of each command.
    pub commands: Vec<(Duration, String)>,
    pub responses: Vec<SentResponse>,
    /// Number of answered commands.
    answered: usize,
    /// When the node closed the connection.
    pub closed: Option<Duration>,
}

impl ConnectionTrace {
    /// Records a command and returns its index.
    pub fn record_command(&mut self, at: Duration, key: &str) -> usize {
        self.commands.push((at, key.to_owned()));
        self.commands.len() - 1
    }

    /// Records a response.
    pub fn record_response(&mut self, at: Duration, answers: usize, is_duplicate: bool) {
        let open = self.commands.len() - self.answered;
        self.answered += usize::from(!is_duplicate);
        self.responses.push(SentResponse { at, answers, is_duplicate, open });
    }

    /// Number of first responses that were sent between the response at this index and the first response to its command.
    fn answers_before(&self, response: usize) -> usize {
        let answers = self.responses[response].answers;
        let between = self.responses[..response].iter().filter(|f| !f.is_duplicate && f.answers > answers);
        between.count()
    }

    /// Delay of the response at this index after the first response to its command.
    fn lateness(&self, response: usize) -> Duration {
        let duplicate = &self.responses[response];
        let first =
            self.responses.iter().find(|f| f.answers == duplicate.answers).map_or(duplicate.at, |f| f.at);
        duplicate.at.saturating_sub(first)
    }

    /// Index of a command for `key` whose position among the responses holds one with `value`.
    fn mismatched_command(&self, key: &str, value: &str) -> Option<usize> {
        let places = self.commands.iter().zip(&self.responses).enumerate();
        places
            .filter(|(_, ((_, asked), _))| asked == key)
            .map(|(number, (_, response))| (number, &self.commands[response.answers].1))
            .find(|(_, answered)| !answered.starts_with(MISSING) && value_of(answered) == value)
            .map(|(number, _)| number)
    }
}

/// All connections of a cache server.
pub struct Trace {
    pub begun: Instant,
    connections: Mutex<Vec<Arc<Mutex<ConnectionTrace>>>>,
}

/// Counts over all connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub connections: usize,
    pub commands: usize,
    pub duplicates: usize,
    pub duplicates_while_idle: usize,
    pub duplicates_with_one_open: usize,
    pub duplicates_with_several_open: usize,
}

/// A wrong value that a client received.
#[derive(Clone, Debug)]
pub struct Wrong {
    pub key: String,
    pub got: String,
}

/// Causes of wrong values.
#[derive(Debug, Default)]
pub struct Causes {
    /// Wrong values that were the value of a duplicate.
    duplicates: usize,
    /// Wrong values that were the first response to another command: by how many positions it was shifted, and how often.
    shifted: Vec<(usize, usize)>,
    /// Wrong values that no connection's trace explains.
    unexplained: Vec<Wrong>,
    /// Delays of the duplicates that were taken for other responses, in microseconds.
    lateness: Vec<u128>,
    /// Number of responses between a first response and its duplicate that was taken for another response.
    between: Vec<usize>,
    /// How long the command for whose response a duplicate was taken had been at the server, in microseconds; 0 if it
    /// arrived after the duplicate was sent.
    waited: Vec<u128>,
    /// Number of those duplicates that were sent while no command was open, and crossed the next command.
    crossed: usize,
    /// For each connection with wrong values: their number, the time from the first shifted response to the end of the
    /// connection, and how it ended.
    shifts: Vec<(usize, Duration, &'static str)>,
}

impl Trace {
    pub fn new() -> Self {
        Trace { begun: Instant::now(), connections: Mutex::default() }
    }

    /// Adds the trace of a new connection.
    pub fn connection(&self) -> Arc<Mutex<ConnectionTrace>> {
        let record = Arc::<Mutex<ConnectionTrace>>::default();
        self.connections.lock().unwrap().push(record.clone());
        record
    }

    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for record in &*self.connections.lock().unwrap() {
            let record = record.lock().unwrap();
            counts.connections += 1;
            counts.commands += record.commands.len();
            for duplicate in record.responses.iter().filter(|f| f.is_duplicate) {
                counts.duplicates += 1;
                match duplicate.open {
                    0 => counts.duplicates_while_idle += 1,
                    1 => counts.duplicates_with_one_open += 1,
                    _ => counts.duplicates_with_several_open += 1,
                }
            }
        }
        counts
    }

    /// Finds the response that caused each wrong value.
    pub fn causes(&self, wrong: &[Wrong], end: Duration) -> Causes {
        let mut causes = Causes::default();
        let mut unexplained = wrong.to_vec();
        for record in &*self.connections.lock().unwrap() {
            let record = record.lock().unwrap();
            let mut here = 0;
            unexplained.retain(|w| {
                let Some(number) = record.mismatched_command(&w.key, &w.got) else { return true };
                here += 1;
                causes.explain(&record, number);
                false
            });
            if here > 0 {
                causes.shifts.push(shift(&record, here, end));
            }
        }
        causes.unexplained = unexplained;
        causes
    }

    /// Writes one line for each command and response.
    pub fn write(&self, mut to: impl Write) {
        for (connection, record) in self.connections.lock().unwrap().iter().enumerate() {
            let record = record.lock().unwrap();
            let commands = record
                .commands
                .iter()
                .enumerate()
                .map(|(number, (at, key))| (at.as_micros(), 0, format!("command {number} {key}")));
            let responses = record.responses.iter().enumerate().map(|(place, f)| {
                let kind = if f.is_duplicate { "repeat" } else { "answer" };
                let key = &record.commands[f.answers].1;
                (f.at.as_micros(), 1, format!("{kind} {} {key} in place {place}, {} out", f.answers, f.open))
            });
            let closed = record.closed.map(|at| (at.as_micros(), 2, "closed".to_owned()));
            let mut lines: Vec<_> = commands.chain(responses).chain(closed).collect();
            lines.sort();
            for (at, _, what) in lines {
                writeln!(to, "{connection} {at} {what}").unwrap();
            }
        }
    }
}

/// The shift on a connection with this many wrong values.
fn shift(record: &ConnectionTrace, wrong: usize, end: Duration) -> (usize, Duration, &'static str) {
    let places = record.commands.iter().zip(&record.responses).enumerate();
    let first = places.filter(|(number, (_, f))| f.answers != *number).map(|(_, (_, f))| f.at).next();
    // A response that was in flight when the node closed the connection may be recorded a moment later.
    let surplus = record.responses.len() > record.commands.len();
    let how = match record.closed {
        Some(_) if surplus => "closed because of a surplus response",
        Some(_) => "closed for another reason",
        None => "open at the end",
    };
    (wrong, record.closed.unwrap_or(end).saturating_sub(first.unwrap_or_default()), how)
}

impl Causes {
    /// Records why the command at this index got the response at its position.
    fn explain(&mut self, record: &ConnectionTrace, number: usize) {
        let response = &record.responses[number];
        if response.is_duplicate {
            self.duplicates += 1;
            self.lateness.push(record.lateness(number).as_micros());
            self.between.push(record.answers_before(number));
            self.waited.push(response.at.saturating_sub(record.commands[number].0).as_micros());
            self.crossed += usize::from(response.open == 0);
            return;
        }
        let by = number - response.answers;
        match self.shifted.iter_mut().find(|(places, _)| *places == by) {
            Some((_, count)) => *count += 1,
            None => self.shifted.push((by, 1)),
        }
        self.shifted.sort_unstable();
    }
}

/// Minimum, median and maximum of some values.
fn spread<T: Ord + Copy + fmt::Debug>(figures: impl IntoIterator<Item = T>) -> String {
    let mut figures: Vec<T> = figures.into_iter().collect();
    figures.sort_unstable();
    match figures.as_slice() {
        [] => "none".to_owned(),
        all => format!("{:?} / {:?} / {:?}", all[0], all[all.len() / 2], all[all.len() - 1]),
    }
}

impl fmt::Display for Causes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  a duplicate: {}", self.duplicates)?;
        for (places, count) in &self.shifted {
            writeln!(f, "  a first response, shifted by {places}: {count}")?;
        }
        writeln!(f, "  unexplained: {} {:?}", self.unexplained.len(), self.unexplained.first())?;
        writeln!(f, "  harmful duplicates, us late (min / median / max): {}", spread(self.lateness.clone()))?;
        writeln!(f, "  harmful duplicates, responses between: {}", spread(self.between.clone()))?;
        writeln!(f, "  harmful duplicates, us after the other command: {}", spread(self.waited.clone()))?;
        writeln!(f, "  harmful duplicates that crossed the other command: {}", self.crossed)?;
        let wrong = spread(self.shifts.iter().map(|s| s.0));
        let lasted = spread(self.shifts.iter().map(|s| s.1.as_micros()));
        writeln!(f, "  connections with wrong values: {}, wrong on each {wrong}", self.shifts.len())?;
        writeln!(f, "  duration of a shift, us: {lasted}")?;
        let mut ends: Vec<&str> = self.shifts.iter().map(|s| s.2).collect();
        ends.sort_unstable();
        for group in ends.chunk_by(|a, b| a == b) {
            writeln!(f, "  {}: {}", group[0], group.len())?;
        }
        Ok(())
    }
}
