//! What the kernel and the machine tell of this process: processor time, memory, and which machine it is.

use std::time::Duration;

use nix::sys::resource::{UsageWho, getrusage};

use crate::record::Machine;

/// Bytes of a page of memory, as on every machine that this program is built for.
const PAGE: u64 = 4096;

/// Processor time of this process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessorTime {
    /// In user mode.
    pub user: Duration,
    /// In the system.
    pub system: Duration,
}

impl ProcessorTime {
    /// What has been used until now.
    pub fn now() -> ProcessorTime {
        let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return ProcessorTime::default() };
        let span = |time: nix::sys::time::TimeVal| {
            Duration::from_micros((time.tv_sec() * 1_000_000 + time.tv_usec()).max(0) as u64)
        };
        ProcessorTime { user: span(usage.user_time()), system: span(usage.system_time()) }
    }

    /// What has been used since an earlier time.
    pub fn since(self, earlier: ProcessorTime) -> ProcessorTime {
        ProcessorTime {
            user: self.user.saturating_sub(earlier.user),
            system: self.system.saturating_sub(earlier.system),
        }
    }
}

/// Resident memory of this process in bytes; `None` where the kernel does not tell.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// The value of the first line of a file of the kernel's that begins with a name.
fn line_of(path: &str, name: &str) -> Option<String> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// The machine that this program runs on.
pub fn machine() -> Machine {
    let kib = line_of("/proc/meminfo", "MemTotal").and_then(|t| t.split(' ').next()?.parse::<u64>().ok());
    Machine {
        cores: std::thread::available_parallelism().map_or(1, |cores| cores.get() as u32),
        memory_bytes: kib.unwrap_or(0) * 1024,
        processor: line_of("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown".into()),
    }
}
