//! The machine that the tests run on, whose connections fail as a test says.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothpier_host::{Host, SystemHost};

/// Numbers of Linux's errors.
pub const EPERM: i32 = 1;
pub const EINTR: i32 = 4;
pub const EAGAIN: i32 = 11;
pub const ENOMEM: i32 = 12;
pub const ENFILE: i32 = 23;
pub const EMFILE: i32 = 24;
pub const EADDRNOTAVAIL: i32 = 99;
pub const ENETDOWN: i32 = 100;
pub const ENETUNREACH: i32 = 101;
pub const ECONNRESET: i32 = 104;
pub const ENOBUFS: i32 = 105;
pub const ETIMEDOUT: i32 = 110;
pub const ECONNREFUSED: i32 = 111;
pub const EHOSTUNREACH: i32 = 113;

/// Those that lie on this machine.
pub const LOCAL_ERRORS: [i32; 10] =
    [EPERM, EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOBUFS];
/// Those that lie at the other side or on the way to it.
pub const REMOTE_ERRORS: [i32; 4] = [ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH];

/// A clone shares the counts.
#[derive(Clone)]
pub struct FailingHost {
    machine: SystemHost,
    /// The error of each connection that is tried, where it fails.
    pub error: Rc<Cell<Option<i32>>>,
    /// Connections that were tried.
    pub connects: Rc<Cell<u32>>,
    /// Lines of the log.
    pub log: Rc<RefCell<Vec<String>>>,
}

impl FailingHost {
    pub fn new() -> Self {
        FailingHost {
            machine: SystemHost { program: "test" },
            error: Rc::default(),
            connects: Rc::default(),
            log: Rc::default(),
        }
    }

    /// One whose connections fail with an error from the start.
    pub fn failing_with(error: i32) -> Self {
        let host = FailingHost::new();
        host.error.set(Some(error));
        host
    }
}

impl Host for FailingHost {
    type Stream = <SystemHost as Host>::Stream;
    type Listener = <SystemHost as Host>::Listener;
    type Datagrams = <SystemHost as Host>::Datagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<Self::Stream> {
        self.connects.set(self.connects.get() + 1);
        match self.error.get() {
            Some(error) => Err(io::Error::from_raw_os_error(error)),
            None => self.machine.connect(to).await,
        }
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<Self::Listener> {
        self.machine.listen(at).await
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<Self::Datagrams> {
        self.machine.datagrams(at).await
    }

    fn unix_time(&self) -> Duration {
        self.machine.unix_time()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        self.log.borrow_mut().push(line.to_string());
    }
}
