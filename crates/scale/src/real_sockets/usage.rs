//! Resource usage of a run's processes, as reported by the kernel.

use procfs::process::Process;

use super::error::RealSocketsError;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Processor time of the main thread since its start, in seconds.
    pub cpu_s: f64,
    /// Share of that time in user mode, according to the coarser clocks of the process.
    pub user_share: f64,
}

impl Usage {
    /// Reads the current usage of a process. All processes of a run do all their work on the main thread.
    ///
    /// # Errors
    /// The process has ended, or the kernel does not report its usage.
    pub fn of(process: u32) -> Result<Usage, RealSocketsError> {
        let read = || {
            let process = Process::new(process as i32)?;
            let stat = process.stat()?;
            Ok((
                stat.rss * procfs::page_size(),
                stat.utime,
                stat.stime,
                process.schedstat()?.sum_exec_runtime,
            ))
        };
        let usage: Result<_, procfs::ProcError> = read();
        let (resident, user, system, nanoseconds) =
            usage.map_err(|e| RealSocketsError::Usage(e.to_string()))?;
        Ok(Usage {
            resident_bytes: resident as f64,
            cpu_s: nanoseconds as f64 / 1e9,
            user_share: user as f64 / (user + system).max(1) as f64,
        })
    }

    /// Processor time in user mode and in the system since an earlier reading, in seconds. The sum is exact
    /// to the nanosecond. Its split is known in clock ticks only, and is therefore that of the whole run time
    /// of the process.
    pub fn cpu_since(&self, earlier: &Usage) -> (f64, f64) {
        let spent = (self.cpu_s - earlier.cpu_s).max(0.0);
        (spent * self.user_share, spent * (1.0 - self.user_share))
    }
}
