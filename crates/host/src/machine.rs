//! The machine that the program runs on: tokio's sockets, the system's clock and standard error.

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Host;
use crate::sockets::{MachineDatagrams, MachineListener, MachineStream};

/// The machine that the program runs on.
#[derive(Clone, Copy, Debug)]
pub struct SystemHost {
    /// Stands before each line of the log.
    pub program: &'static str,
}

impl SystemHost {
    /// Goes on with a listener that was made elsewhere. Must run inside the runtime that will drive it.
    ///
    /// # Errors
    /// What the machine says.
    pub fn adopt(&self, listener: std::net::TcpListener) -> io::Result<MachineListener> {
        MachineListener::adopt(listener)
    }
}

impl Host for SystemHost {
    type Stream = MachineStream;
    type Listener = MachineListener;
    type Datagrams = MachineDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<MachineStream> {
        MachineStream::connect(to).await
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<MachineListener> {
        MachineListener::bind(at).await
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<MachineDatagrams> {
        MachineDatagrams::bind(at).await
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    /// A log that can't be written must not end the program.
    fn log(&self, line: fmt::Arguments<'_>) {
        let _ = writeln!(io::stderr(), "{}: {line}", self.program);
    }
}
