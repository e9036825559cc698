//! What the kernel tells of a run's processes.

use procfs::process::Process;

use super::error::RealSocketsError;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Processor time of its main thread since its start, in seconds.
    pub cpu_s: f64,
    /// The part of that which was in user mode, as the process's coarser clocks have it.
    pub user_part: f64,
}

impl Usage {
    /// What a process uses now. All work of the processes of a run is on their main thread.
    ///
    /// # Errors
    /// A process that is no more, or a kernel that does not tell.
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
        let told: Result<_, procfs::ProcError> = read();
        let (resident, user, system, nanoseconds) =
            told.map_err(|e| RealSocketsError::Usage(e.to_string()))?;
        Ok(Usage {
            resident_bytes: resident as f64,
            cpu_s: nanoseconds as f64 / 1e9,
            user_part: user as f64 / (user + system).max(1) as f64,
        })
    }

    /// Processor time in user mode and in the system since an earlier look, in seconds. Their sum is exact to the nanosecond;
    /// how it is divided is known in clock ticks only, and therefore taken over the whole life of the process.
    pub fn cpu_since(&self, earlier: &Usage) -> (f64, f64) {
        let spent = (self.cpu_s - earlier.cpu_s).max(0.0);
        (spent * self.user_part, spent * (1.0 - self.user_part))
    }
}
