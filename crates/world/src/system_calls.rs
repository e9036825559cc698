//! System calls that fail in the ways that Linux documents: which call, with which error, and for which nodes they fail now.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use nix::errno::Errno;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::faults::What;
use crate::observe::{NodeIndex, ObservedEvent, Observer};

/// So many failures of a call within one instant of the virtual clock are a busy loop: nobody has waited between them, and
/// chance makes no more than a few dozen in a row.
const BUSY_LOOP: u32 = 1_000;
/// The longest time for which a node can't open its sockets. It has to be ready within seconds of its start.
const LONGEST_UNOPENED_MS: u64 = 1_500;
/// The longest time for which no other call succeeds: shorter than what the platform takes for a dead node.
const LONGEST_MS: u64 = 3_000;

/// A system call on a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SystemCall {
    /// A TCP connection is opened.
    Connect,
    /// A TCP socket is bound and listens.
    Listen,
    /// A UDP socket is bound.
    BindDatagrams,
    /// A TCP connection is accepted.
    Accept,
    /// Bytes are read from a TCP connection.
    Read,
    /// Bytes are written to a TCP connection.
    Write,
    /// One direction of a TCP connection is shut down.
    Shutdown,
    /// A datagram is received.
    Receive,
    /// A datagram is sent.
    Send,
}

/// How a system call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
#[allow(missing_docs)]
pub enum Failure {
    Eaddrinuse,
    Eaddrnotavail,
    Econnaborted,
    Econnrefused,
    Ehostunreach,
    Eintr,
    Emfile,
    Enetunreach,
    Enfile,
    Enobufs,
    Enomem,
    Enotconn,
    Eperm,
    Eproto,
    Etimedout,
    /// No error: fewer bytes than there were are read or written.
    Short,
}

impl SystemCall {
    /// All calls.
    pub const ALL: [SystemCall; 9] = [
        SystemCall::Connect,
        SystemCall::Listen,
        SystemCall::BindDatagrams,
        SystemCall::Accept,
        SystemCall::Read,
        SystemCall::Write,
        SystemCall::Shutdown,
        SystemCall::Receive,
        SystemCall::Send,
    ];

    /// How it may fail. Reads, writes and shutdowns of streams that a signal interrupts are made again below the seam that
    /// a simulated machine takes the place of.
    pub fn failures(self) -> &'static [Failure] {
        use Failure::*;
        match self {
            SystemCall::Connect => &[
                Eaddrnotavail,
                Enobufs,
                Enomem,
                Enfile,
                Emfile,
                Enetunreach,
                Etimedout,
                Ehostunreach,
                Econnrefused,
                Eintr,
            ],
            SystemCall::Listen | SystemCall::BindDatagrams => {
                &[Enobufs, Enomem, Enfile, Emfile, Eaddrnotavail, Eintr, Eaddrinuse]
            }
            SystemCall::Accept => &[Econnaborted, Eproto, Eintr, Emfile, Enfile, Enobufs, Enomem],
            SystemCall::Read | SystemCall::Write => &[Short],
            SystemCall::Shutdown => &[Enotconn],
            SystemCall::Receive => &[Econnrefused, Eintr, Enomem],
            SystemCall::Send => &[Eintr, Enobufs, Eperm],
        }
    }

    /// Whether it opens a socket that a node needs from its start on.
    pub fn opens(self) -> bool {
        matches!(self, SystemCall::Listen | SystemCall::BindDatagrams)
    }

    /// The part of the calls that may fail, from and to.
    fn part(self, failure: Failure) -> (f64, f64) {
        match self {
            SystemCall::Listen | SystemCall::BindDatagrams => (1.0, 1.0),
            SystemCall::Receive if failure == Failure::Enomem => (1.0, 1.0),
            // Whoever waits to be accepted has its time running.
            SystemCall::Accept if failure.is_shortage() => (0.02, 0.25),
            // What is told of one connection or datagram is told once, not for ever.
            SystemCall::Accept | SystemCall::Receive => (0.05, 0.9),
            // After each comes a pause.
            SystemCall::Write => (0.02, 0.5),
            _ => (0.02, 1.0),
        }
    }
}

impl Failure {
    /// Whether the process or the machine is short of descriptors or memory.
    pub fn is_shortage(self) -> bool {
        matches!(self, Failure::Emfile | Failure::Enfile | Failure::Enobufs | Failure::Enomem)
    }

    /// Whether a failed connect with it tells of this machine alone.
    pub fn is_local(self) -> bool {
        self.is_shortage() || matches!(self, Failure::Eaddrnotavail | Failure::Enetunreach | Failure::Eintr)
    }

    /// What the call returns; none for one that is cut short.
    pub fn error(self) -> io::Error {
        let number = match self {
            Failure::Eaddrinuse => Errno::EADDRINUSE,
            Failure::Eaddrnotavail => Errno::EADDRNOTAVAIL,
            Failure::Econnaborted => Errno::ECONNABORTED,
            Failure::Econnrefused => Errno::ECONNREFUSED,
            Failure::Ehostunreach => Errno::EHOSTUNREACH,
            Failure::Eintr => Errno::EINTR,
            Failure::Emfile => Errno::EMFILE,
            Failure::Enetunreach => Errno::ENETUNREACH,
            Failure::Enfile => Errno::ENFILE,
            Failure::Enobufs => Errno::ENOBUFS,
            Failure::Enomem => Errno::ENOMEM,
            Failure::Enotconn => Errno::ENOTCONN,
            Failure::Eperm => Errno::EPERM,
            Failure::Eproto => Errno::EPROTO,
            Failure::Etimedout => Errno::ETIMEDOUT,
            Failure::Short => Errno::EAGAIN,
        };
        io::Error::from_raw_os_error(number as i32)
    }
}

/// Draws calls of a node that fail for a while.
pub fn draw(node: NodeIndex, rng: &mut Pcg64Mcg) -> What {
    let call = *SystemCall::ALL.choose(rng).unwrap_or(&SystemCall::Connect);
    let failure = *call.failures().choose(rng).unwrap_or(&Failure::Emfile);
    let (least, most) = call.part(failure);
    let part = rng.random_range(least..=most);
    let longest = if call.opens() { LONGEST_UNOPENED_MS } else { LONGEST_MS };
    What::SystemCalls { node, call, failure, part, for_ms: rng.random_range(100..=longest) }
}

/// A part of the calls of a node fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailingCall {
    /// The node.
    pub node: NodeIndex,
    /// The call.
    pub call: SystemCall,
    /// How it fails.
    pub failure: Failure,
    /// The part that does.
    pub part: f64,
}

/// The calls of a world that fail now. A clone is the same.
#[derive(Clone)]
pub struct FailingCalls(Rc<Inner>);

struct Inner {
    failing: RefCell<Vec<FailingCall>>,
    rng: RefCell<Pcg64Mcg>,
    witness: Observer,
    /// The last call that failed, when, and how often it has within that instant.
    last: Cell<Option<(NodeIndex, SystemCall, Instant, u32)>>,
}

impl FailingCalls {
    /// None fails yet.
    pub fn new(witness: Observer, rng: Pcg64Mcg) -> FailingCalls {
        FailingCalls(Rc::new(Inner {
            failing: RefCell::default(),
            rng: RefCell::new(rng),
            witness,
            last: Cell::default(),
        }))
    }

    /// These fail from now on.
    pub fn begin(&self, failing: FailingCall) {
        self.0.failing.borrow_mut().push(failing);
    }

    /// These succeed again.
    pub fn end(&self, failing: FailingCall) {
        let mut all = self.0.failing.borrow_mut();
        if let Some(at) = all.iter().position(|f| *f == failing) {
            all.remove(at);
        }
    }

    /// How a call that is made now fails, if it does.
    pub fn failure(&self, node: NodeIndex, call: SystemCall) -> Option<Failure> {
        let failing = self.0.failing.borrow();
        let mut these = failing.iter().filter(|f| f.node == node && f.call == call);
        these.find(|f| self.0.rng.borrow_mut().random::<f64>() < f.part).map(|f| f.failure)
    }

    /// A number below a bound.
    pub fn below(&self, bound: usize) -> usize {
        self.0.rng.borrow_mut().random_range(0..bound)
    }

    /// Counts a failure; whether so many came within one instant that the caller must be in a busy loop, which is reported
    /// once: the clock would stand still for ever.
    pub fn is_busy_loop(&self, node: NodeIndex, call: SystemCall) -> bool {
        let now = Instant::now();
        let same = self.0.last.get().filter(|(n, c, at, _)| (*n, *c, *at) == (node, call, now));
        let count = same.map_or(1, |(.., count)| count + 1);
        self.0.last.set(Some((node, call, now, count)));
        if count == BUSY_LOOP {
            self.0.witness.record(ObservedEvent::BusyLoop { node, call });
        }
        count >= BUSY_LOOP
    }
}

/// After this time of the virtual clock a call in a busy loop goes on.
pub(crate) const GRAIN: Duration = Duration::from_millis(1);
