//! What came of a trial: its account, its figures, what had to hold, and a line of time.

use std::collections::BTreeMap;
use std::fmt;

use chalksill_world::rules::Violation;
use serde::Serialize;

use crate::account::Sums;
use crate::plan::{Figure, Must};
use crate::relay::Carried;
use crate::stage::Line;

/// Something that had to hold, and whether it did.
#[derive(Clone, Debug, Serialize)]
pub struct Held {
    /// What had to hold.
    pub must: Must,
    /// What it was; nothing where it could not be told, or where what it waits for has not come.
    pub value: Option<f64>,
    /// Whether it held.
    pub holds: bool,
}

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let must = &self.must;
        write!(f, "{} {:?}", if self.holds { "holds " } else { "BROKEN" }, must.figure)?;
        if let Some(zone) = &must.zone {
            write!(f, " of {zone}")?;
        }
        if let Some(class) = &must.class {
            write!(f, " of {class}")?;
        }
        if let Some(from) = &must.from {
            write!(f, " from {from}")?;
        }
        match self.value {
            Some(value) => write!(f, " = {value:.3}")?,
            None => write!(f, " has not come")?,
        }
        if let Some(most) = must.at_most {
            write!(f, ", at most {most}")?;
        }
        if let Some(least) = must.at_least {
            write!(f, ", at least {least}")?;
        }
        Ok(())
    }
}

/// What all relays have carried.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Connections.
    pub connections: u64,
    /// Their bytes, both ways.
    pub bytes: u64,
    /// Datagrams between nodes.
    pub datagrams: u64,
}

impl Traffic {
    /// Adds what one relay has carried.
    pub fn add(&mut self, datagrams: bool, carried: Carried) {
        if datagrams {
            self.datagrams += carried.datagrams;
        } else {
            self.connections += carried.connections;
            self.bytes += carried.bytes_out + carried.bytes_back;
        }
    }
}

/// What came of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Its name.
    pub trial: String,
    /// Its seed.
    pub seed: u64,
    /// What became of every request.
    pub sums: Sums,
    /// Figures over the whole load.
    pub figures: BTreeMap<Figure, f64>,
    /// What had to hold.
    pub musts: Vec<Held>,
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// What went wrong beside: facts that did not come, processes that ended by themselves, requests without an end.
    pub broken: Vec<String>,
    /// When the load began, in seconds.
    pub begin_s: f64,
    /// The steps, and when they were done.
    pub steps: Vec<(String, Option<f64>)>,
    /// The line of time: seconds, and what.
    pub line: Vec<(f64, String)>,
    /// Second by second: first tries, and the part of them served in time.
    pub seconds: Vec<(u64, f64)>,
    /// The logs of all nodes by time.
    pub log: Vec<Line>,
    /// What the relays have carried.
    pub carried: Traffic,
    /// CPU time of the nodes' processes that ran at the end.
    pub cpu_s: f64,
    /// Most memory of one of them.
    pub memory_kib: u64,
    /// The figures that worlds have as well.
    pub world: chalksill_world::report::Report,
}

impl Report {
    /// Whether everything held: rules, account and what the trial asks for.
    pub fn passed(&self) -> bool {
        self.kept() && self.musts.iter().all(|m| m.holds)
    }

    /// Whether the rules were kept and every request is accounted for, whatever the trial asks for.
    pub fn kept(&self) -> bool {
        self.violations.is_empty() && self.broken.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "trial {}, seed {}", self.trial, self.seed)?;
        let s = &self.sums;
        writeln!(
            f,
            "account: {} tries asked, {} answered, {} left, {} lost, {} crossed, {} open, {} twice",
            s.asked, s.answered, s.left, s.lost, s.crossed, s.open, s.twice
        )?;
        for (figure, value) in &self.figures {
            writeln!(f, "  {:<14} {value:.3}", format!("{figure:?}"))?;
        }
        writeln!(
            f,
            "ways: {} connections, {:.1} MB, {} datagrams; nodes: {:.2} s of CPU, {} KiB at most",
            self.carried.connections,
            self.carried.bytes as f64 / 1e6,
            self.carried.datagrams,
            self.cpu_s,
            self.memory_kib
        )?;
        writeln!(f, "line of time, seconds since the load began:")?;
        for (at, what) in &self.line {
            writeln!(f, "  {:8.3} {what}", at - self.begin_s)?;
        }
        write!(f, "in time, second by second:")?;
        for (_, part) in &self.seconds {
            write!(f, " {part:.2}")?;
        }
        writeln!(f)?;
        for held in &self.musts {
            writeln!(f, "{held}")?;
        }
        for violation in &self.violations {
            writeln!(f, "BROKEN {violation}")?;
        }
        for broken in &self.broken {
            writeln!(f, "BROKEN {broken}")?;
        }
        write!(f, "{}", if self.passed() { "all held" } else { "not all held" })
    }
}
