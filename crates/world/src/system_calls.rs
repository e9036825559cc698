//! Failing system calls: which calls may fail, with which errors that Linux documents, and for which nodes
//! they fail now.

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

/// This many failures of a call within one instant of the virtual clock are a busy loop: there was no pause
/// between them, and random failures make at most a few dozen in a row.
const BUSY_LOOP_FAILURES: u32 = 1_000;
/// The longest time for which a node cannot open its sockets: it must be ready within seconds of its start.
const MAX_OPEN_FAILURE_MS: u64 = 1_500;
/// The longest time for which all calls of another kind fail: shorter than the time after which the platform
/// considers a node dead.
const MAX_FAILURE_MS: u64 = 3_000;

/// A system call on a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SystemCall {
    /// Opens a TCP connection.
    Connect,
    /// Binds a TCP socket and listens.
    Listen,
    /// Binds a UDP socket.
    BindDatagrams,
    /// Accepts a TCP connection.
    Accept,
    /// Reads from a TCP connection.
    Read,
    /// Writes to a TCP connection.
    Write,
    /// Shuts down one direction of a TCP connection.
    Shutdown,
    /// Receives a datagram.
    Receive,
    /// Sends a datagram.
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
    /// No error: fewer bytes than available are read or written.
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

    /// The possible failures. Interrupted reads, writes and shutdowns of streams are retried below the
    /// interface that a simulated host replaces.
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

    /// Whether the call opens a socket that a node needs from its start.
    pub fn opens_socket(self) -> bool {
        matches!(self, SystemCall::Listen | SystemCall::BindDatagrams)
    }

    /// The share of calls that may fail, minimum and maximum.
    fn failing_share(self, failure: Failure) -> (f64, f64) {
        match self {
            SystemCall::Listen | SystemCall::BindDatagrams => (1.0, 1.0),
            SystemCall::Receive if failure == Failure::Enomem => (1.0, 1.0),
            // Clients that wait to be accepted have their time-out running.
            SystemCall::Accept if failure.is_shortage() => (0.02, 0.25),
            // Errors on a single connection or datagram are reported once, not forever.
            SystemCall::Accept | SystemCall::Receive => (0.05, 0.9),
            // A pause follows each short write.
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

    /// Whether a connect that fails with it says nothing about the remote machine.
    pub fn is_local(self) -> bool {
        self.is_shortage() || matches!(self, Failure::Eaddrnotavail | Failure::Enetunreach | Failure::Eintr)
    }

    /// The error that the call returns; not used for short reads and writes.
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

/// Draws failing calls of a node.
pub fn draw(node: NodeIndex, rng: &mut Pcg64Mcg) -> What {
    let call = *SystemCall::ALL.choose(rng).unwrap_or(&SystemCall::Connect);
    let failure = *call.failures().choose(rng).unwrap_or(&Failure::Emfile);
    let (least, most) = call.failing_share(failure);
    let part = rng.random_range(least..=most);
    let longest = if call.opens_socket() { MAX_OPEN_FAILURE_MS } else { MAX_FAILURE_MS };
    What::SystemCalls { node, call, failure, part, for_ms: rng.random_range(100..=longest) }
}

/// Some of the calls of a node fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailingCall {
    /// The node.
    pub node: NodeIndex,
    /// The call.
    pub call: SystemCall,
    /// How it fails.
    pub failure: Failure,
    /// The share of calls that fail.
    pub share: f64,
}

/// The calls that fail now; clones share the same state.
#[derive(Clone)]
pub struct FailingCalls(Rc<FailureState>);

struct FailureState {
    failing: RefCell<Vec<FailingCall>>,
    rng: RefCell<Pcg64Mcg>,
    observer: Observer,
    /// The last failed call, when, and how often it failed within that instant.
    last_failure: Cell<Option<(NodeIndex, SystemCall, Instant, u32)>>,
}

impl FailingCalls {
    /// No call fails yet.
    pub fn new(observer: Observer, rng: Pcg64Mcg) -> FailingCalls {
        FailingCalls(Rc::new(FailureState {
            failing: RefCell::default(),
            rng: RefCell::new(rng),
            observer,
            last_failure: Cell::default(),
        }))
    }

    /// Starts a failure.
    pub fn begin(&self, failing: FailingCall) {
        self.0.failing.borrow_mut().push(failing);
    }

    /// Ends a failure.
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
        these.find(|f| self.0.rng.borrow_mut().random::<f64>() < f.share).map(|f| f.failure)
    }

    /// A random number below a bound.
    pub fn below(&self, bound: usize) -> usize {
        self.0.rng.borrow_mut().random_range(0..bound)
    }

    /// Counts a failure; returns whether so many came within one instant that the caller must be in a busy
    /// loop, as the virtual clock would never advance. Each loop is reported once.
    pub fn is_busy_loop(&self, node: NodeIndex, call: SystemCall) -> bool {
        let now = Instant::now();
        let same = self.0.last_failure.get().filter(|(n, c, at, _)| (*n, *c, *at) == (node, call, now));
        let count = same.map_or(1, |(.., count)| count + 1);
        self.0.last_failure.set(Some((node, call, now, count)));
        if count == BUSY_LOOP_FAILURES {
            self.0.observer.record(ObservedEvent::BusyLoop { node, call });
        }
        count >= BUSY_LOOP_FAILURES
    }
}

/// A call in a busy loop goes on after this time of the virtual clock.
pub(crate) const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);
