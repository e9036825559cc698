//! The host that a program really runs on: tokio's sockets, the system's clock and standard error.

use std::fmt;
use std::fs;
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

    fn resident_memory(&self) -> Option<u64> {
        resident_memory(&fs::read_to_string("/proc/self/status").ok()?)
    }

    /// Ignores write errors: a log that can't be written must not end the program.
    fn log(&self, line: fmt::Arguments<'_>) {
        let _ = writeln!(io::stderr(), "{}: {line}", self.program);
    }
}

/// Anonymous resident memory in bytes, from the contents of `/proc/self/status` (proc_pid_status(5)).
fn resident_memory(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * 1024)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resident_memory_is_read_from_the_status_of_a_process() {
        let status = "VmRSS:\t    5120 kB\nRssAnon:\t    1204 kB\nRssFile:\t    3916 kB\n";
        assert_eq!(resident_memory(status), Some(1204 * 1024));
        assert_eq!(resident_memory("VmRSS:\t    5120 kB\n"), None);
        assert_eq!(resident_memory("RssAnon: many kB"), None);
        assert!(SystemHost { program: "test" }.resident_memory().is_some_and(|bytes| bytes > 0));
    }
}
