//! The memory of a node while a test runs.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::harness::Node;

/// Interval at which the memory of the node is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(1);

/// Reads the anonymous resident memory of the processes of a node while a test runs.
pub struct MemoryWatch {
    stop: Arc<AtomicBool>,
    processes: Arc<Mutex<Vec<WatchedProcess>>>,
    thread: JoinHandle<u64>,
}

struct WatchedProcess {
    id: u32,
    /// A process that ends counts as 0 then; any other must not end.
    may_end: bool,
}

impl WatchedProcess {
    fn new(node: &Node) -> Self {
        WatchedProcess { id: node.child.id(), may_end: false }
    }

    /// Its anonymous resident memory in KiB.
    fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        assert!(line.is_some() || self.may_end, "process {} has ended", self.id);
        line.map_or(0, |line| line.trim().trim_end_matches(" kB").parse().unwrap())
    }
}

impl MemoryWatch {
    pub fn start(node: &Node) -> Self {
        let (processes, stop) =
            (Arc::new(Mutex::new(vec![WatchedProcess::new(node)])), Arc::new(AtomicBool::new(false)));
        let (watched, stopped) = (processes.clone(), stop.clone());
        let thread = thread::spawn(move || {
            let mut peak = 0;
            while !stopped.load(Relaxed) {
                let together = watched.lock().unwrap().iter().map(WatchedProcess::resident_kib).sum();
                peak = peak.max(together);
                thread::sleep(WATCH_INTERVAL);
            }
            peak
        });
        MemoryWatch { stop, processes, thread }
    }

    /// Counts another process from now on.
    #[allow(dead_code)]
    pub fn add(&self, node: &Node) {
        self.processes.lock().unwrap().push(WatchedProcess::new(node));
    }

    /// Lets a process end from now on.
    #[allow(dead_code)]
    pub fn let_end(&self, node: &Node) {
        let mut processes = self.processes.lock().unwrap();
        processes.iter_mut().filter(|process| process.id == node.child.id()).for_each(|p| p.may_end = true);
    }

    /// The most memory that was seen, in KiB.
    pub fn peak_kib(self) -> u64 {
        self.stop.store(true, Relaxed);
        self.thread.join().unwrap()
    }
}
