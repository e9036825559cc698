//! The host that a program really runs on: tokio's sockets, the system's clock and standard error.

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Host;
use crate::sockets::{SystemDatagrams, SystemListener, SystemStream};

/// The host that a program really runs on.
#[derive(Clone, Copy, Debug)]
pub struct SystemHost {
    /// The prefix of each log line.
    pub program: &'static str,
}

impl SystemHost {
    /// Uses a listener that was opened elsewhere. Must run inside the runtime that will drive it.
    ///
    /// # Errors
    /// An error of the system.
    pub fn adopt(&self, listener: std::net::TcpListener) -> io::Result<SystemListener> {
        SystemListener::adopt(listener)
    }
}

impl Host for SystemHost {
    type Stream = SystemStream;
    type Listener = SystemListener;
    type Datagrams = SystemDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<SystemStream> {
        SystemStream::connect(to).await
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<SystemListener> {
        SystemListener::bind(at).await
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SystemDatagrams> {
        SystemDatagrams::bind(at).await
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    /// Ignores write errors: a log that can't be written must not end the program.
    fn log(&self, line: fmt::Arguments<'_>) {
        let _ = writeln!(io::stderr(), "{}: {line}", self.program);
    }
}
