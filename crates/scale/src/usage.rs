//! Processor time and memory of this process, and properties of the machine.

use std::time::Duration;

use nix::sys::resource::{UsageWho, getrusage};

use crate::record::Machine;

/// Size of a memory page in bytes, on all machines that are supported.
const PAGE_BYTES: u64 = 4096;

/// Processor time of this process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessorTime {
    /// In user mode.
    pub user: Duration,
    /// In the system.
    pub system: Duration,
}

impl ProcessorTime {
    /// The processor time used until now.
    pub fn now() -> ProcessorTime {
        let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return ProcessorTime::default() };
        let duration = |time: nix::sys::time::TimeVal| {
            Duration::from_micros((time.tv_sec() * 1_000_000 + time.tv_usec()).max(0) as u64)
        };
        ProcessorTime { user: duration(usage.user_time()), system: duration(usage.system_time()) }
    }

    /// The processor time used since an earlier reading.
    pub fn since(self, earlier: ProcessorTime) -> ProcessorTime {
        ProcessorTime {
            user: self.user.saturating_sub(earlier.user),
            system: self.system.saturating_sub(earlier.system),
        }
    }
}

/// Resident memory of this process in bytes; `None` if the kernel does not report it.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// The value in the first line of a kernel file that starts with a name.
fn kernel_value(path: &str, name: &str) -> Option<String> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// The machine on which this program runs.
pub fn machine() -> Machine {
    let kib =
        kernel_value("/proc/meminfo", "MemTotal").and_then(|t| t.split(' ').next()?.parse::<u64>().ok());
    Machine {
        cores: std::thread::available_parallelism().map_or(1, |cores| cores.get() as u32),
        memory_bytes: kib.unwrap_or(0) * 1024,
        processor: kernel_value("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown".into()),
    }
}
