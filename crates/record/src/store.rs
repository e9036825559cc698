//! Writes chunks to files in a folder, on a separate thread: the node never waits for a disk.
//!
//! There is one file for each segment, named `NODE-LIFE-NUMBER.rec` (incarnation and number in hexadecimal,
//! so that names sort by time). After a power failure at any byte, the disk holds a prefix of what was
//! written: entries up to the last complete one can be read, and everything that was synced is there. A new
//! file's name is synced with its folder.
//!
//! After a failed call the segment ends and is not written again: after a failed sync the kernel may have
//! dropped its buffers of the file, so that a later sync proves nothing. The recorder learns of the failure
//! with its next chunk and begins a new segment after its backoff.

use std::collections::VecDeque;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::folder::{parse_incarnation, retry_interrupted};
use crate::recorder::{Chunk, Sink, Tuning};
use crate::segment::Header;

pub use crate::folder::{
    FILE_EXTENSION, Folder, SegmentFile, SegmentFolder, largest_incarnation, newest_first, segment_file_name,
    segments_of_node,
};

/// Longest time that a node waits at shutdown for the pending chunks to be written.
const SHUTDOWN_WAIT: Duration = Duration::from_secs(1);

struct Job {
    node: String,
    incarnation: u64,
    number: u32,
    is_first: bool,
    chunk: Chunk,
}

#[derive(Default)]
struct SharedState {
    /// The latest failure, until it is reported.
    last_error: Option<String>,
    pending_bytes: usize,
    /// Events that were taken but not written.
    dropped_events: u64,
}

/// Ignores poisoning: the counts and the error text remain valid if a thread panicked.
fn lock(shared: &Mutex<SharedState>) -> MutexGuard<'_, SharedState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Passes chunks to the writing thread.
pub struct Store {
    sender: Option<SyncSender<Job>>,
    shared: Arc<Mutex<SharedState>>,
    max_pending_bytes: usize,
    thread: Option<JoinHandle<()>>,
    ended: Receiver<()>,
}

impl Store {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread can't be created.
    pub fn start(files: impl SegmentFolder, tuning: &Tuning) -> io::Result<Store> {
        let (sender, receiver) = sync_channel(4096);
        let (end, ended) = sync_channel(1);
        let shared = Arc::new(Mutex::new(SharedState::default()));
        let mut writer = FolderWriter::new(files, shared.clone(), tuning);
        let thread = std::thread::Builder::new().name("record".into()).spawn(move || {
            writer.run(&receiver);
            drop(end);
        })?;
        let max_pending_bytes = (tuning.wait_mib * 1048576.0) as usize;
        Ok(Store { sender: Some(sender), shared, max_pending_bytes, thread: Some(thread), ended })
    }

    fn shared(&self) -> MutexGuard<'_, SharedState> {
        lock(&self.shared)
    }
}

impl Sink for Store {
    fn write(&mut self, header: &Header, is_first: bool, chunk: Chunk) -> Result<(), String> {
        let length = chunk.bytes.len();
        {
            let mut shared = self.shared();
            if let Some(last_error) = shared.last_error.take() {
                return Err(last_error);
            }
            if shared.pending_bytes + length > self.max_pending_bytes {
                return Err(format!("{} bytes are waiting for the disk", shared.pending_bytes));
            }
            shared.pending_bytes += length;
        }
        let job = Job {
            node: header.node.clone(),
            incarnation: header.incarnation,
            number: header.number,
            is_first,
            chunk,
        };
        let sent = self.sender.as_ref().map(|sender| sender.try_send(job));
        match sent {
            Some(Ok(())) => Ok(()),
            Some(Err(TrySendError::Full(_))) => {
                self.shared().pending_bytes -= length;
                Err("too many chunks are waiting for the disk".into())
            }
            Some(Err(TrySendError::Disconnected(_))) | None => Err("the writing thread has ended".into()),
        }
    }

    fn take_dropped_events(&mut self) -> u64 {
        std::mem::take(&mut self.shared().dropped_events)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.sender = None;
        // A disk that hangs must not keep the node from ending.
        if let Err(RecvTimeoutError::Disconnected) = self.ended.recv_timeout(SHUTDOWN_WAIT)
            && let Some(thread) = self.thread.take()
        {
            let _ = thread.join();
        }
    }
}

/// Writes in the calling thread and waits for the disk, for tools that may block.
pub struct BlockingStore<F: SegmentFolder>(FolderWriter<F>);

impl<F: SegmentFolder> BlockingStore<F> {
    /// Writes to a folder.
    pub fn new(files: F, tuning: &Tuning) -> Self {
        BlockingStore(FolderWriter::new(files, Arc::default(), tuning))
    }
}

impl<F: SegmentFolder> Sink for BlockingStore<F> {
    fn write(&mut self, header: &Header, is_first: bool, chunk: Chunk) -> Result<(), String> {
        let (node, incarnation, number) = (header.node.clone(), header.incarnation, header.number);
        let result = self.0.write_chunk(&Job { node, incarnation, number, is_first, chunk });
        result.map(drop).inspect_err(|_| self.0.abandon())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

struct CurrentSegment {
    name: String,
    file: Box<dyn SegmentFile>,
    size: u64,
    /// Since when written data has not been synced.
    unsynced: Option<Instant>,
    /// Whether its first chunk has been written: without that, nothing in the file can be read.
    readable: bool,
}

struct FolderWriter<F: SegmentFolder> {
    files: F,
    shared: Arc<Mutex<SharedState>>,
    max_total_bytes: u64,
    sync_interval: Duration,
    current: Option<CurrentSegment>,
    /// Older segments and their sizes, oldest first.
    closed_segments: VecDeque<(String, u64)>,
    listed: bool,
    /// Replaces the recorder's incarnation in file names, if the folder contains one that is not smaller.
    incarnation_override: Option<u64>,
}

impl<F: SegmentFolder> FolderWriter<F> {
    fn new(files: F, shared: Arc<Mutex<SharedState>>, tuning: &Tuning) -> Self {
        FolderWriter {
            files,
            shared,
            max_total_bytes: (tuning.most_mib * 1048576.0) as u64,
            sync_interval: Duration::from_secs_f64(tuning.sync_ms / 1000.0),
            current: None,
            closed_segments: VecDeque::new(),
            listed: false,
            incarnation_override: None,
        }
    }

    /// Drops the rest of this segment, which would follow a hole, until the next segment begins.
    fn abandon(&mut self) {
        let Some(old) = self.current.take() else { return };
        drop(old.file);
        // An unreadable file would hide the segment before it, and every attempt would leave another one.
        if old.readable || self.files.remove(&old.name).is_err() {
            self.closed_segments.push_back((old.name, old.size));
        }
    }

    fn run(&mut self, receiver: &Receiver<Job>) {
        loop {
            let due = self.current.as_ref().and_then(|c| c.unsynced).map(|since| since + self.sync_interval);
            let wait =
                due.map_or(Duration::from_secs(3600), |due| due.saturating_duration_since(Instant::now()));
            let result = match receiver.recv_timeout(wait) {
                Ok(job) => {
                    let (length, events) = (job.chunk.bytes.len(), job.chunk.events);
                    let result = self.write_chunk(&job);
                    let mut shared = lock(&self.shared);
                    shared.pending_bytes -= length;
                    shared.dropped_events += if result == Ok(true) { 0 } else { events };
                    result.map(drop)
                }
                Err(RecvTimeoutError::Timeout) => self.sync_current(),
                Err(RecvTimeoutError::Disconnected) => {
                    let _ = self.sync_current();
                    return;
                }
            };
            if let Err(e) = result {
                self.abandon();
                lock(&self.shared).last_error = Some(e);
            }
        }
    }

    /// Writes a chunk; `false` if its segment has already been abandoned.
    fn write_chunk(&mut self, job: &Job) -> Result<bool, String> {
        if job.is_first {
            self.open_segment(job)?;
        }
        let Some(current) = &mut self.current else { return Ok(false) };
        let failed = |e: io::Error| format!("cannot write {}: {e}", current.name);
        // Counted first, because a failed write may have written a part.
        current.size += job.chunk.bytes.len() as u64;
        current.file.write_all(&job.chunk.bytes).map_err(failed)?;
        current.readable = true;
        let since = *current.unsynced.get_or_insert_with(Instant::now);
        if since.elapsed() >= self.sync_interval {
            self.sync_current()?;
        }
        self.remove_oldest()?;
        Ok(true)
    }

    fn open_segment(&mut self, job: &Job) -> Result<(), String> {
        self.sync_current()?;
        if let Some(old) = self.current.take() {
            self.closed_segments.push_back((old.name, old.size));
        }
        self.list_existing(job)?;
        self.remove_oldest()?;
        let name =
            segment_file_name(&job.node, self.incarnation_override.unwrap_or(job.incarnation), job.number);
        let created = retry_interrupted(|| self.files.create(&name));
        let file = created.map_err(|e| format!("cannot create {name}: {e}"))?;
        self.current = Some(CurrentSegment { name, file, size: 0, unsynced: None, readable: false });
        Ok(())
    }

    /// Lists the segments of earlier incarnations, once.
    fn list_existing(&mut self, job: &Job) -> Result<(), String> {
        if self.listed {
            return Ok(());
        }
        let files = retry_interrupted(|| self.files.list());
        let closed_segments =
            segments_of_node(&job.node, files.map_err(|e| format!("cannot read the folder: {e}"))?);
        let largest = closed_segments.iter().filter_map(|(name, _)| parse_incarnation(name)).max();
        self.incarnation_override =
            largest.filter(|largest| *largest >= job.incarnation).map(|largest| largest.saturating_add(1));
        self.closed_segments = closed_segments.into();
        self.listed = true;
        Ok(())
    }

    fn sync_current(&mut self) -> Result<(), String> {
        if let Some(current) = &mut self.current
            && current.unsynced.take().is_some()
        {
            let synced = retry_interrupted(|| current.file.sync());
            synced.map_err(|e| format!("cannot sync {}: {e}", current.name))?;
        }
        Ok(())
    }

    /// Removes the oldest segments until all fit; skips those that can't be removed.
    fn remove_oldest(&mut self) -> Result<(), String> {
        let current = self.current.as_ref().map_or(0, |c| c.size);
        let mut total_bytes = current + self.closed_segments.iter().map(|(_, size)| size).sum::<u64>();
        let (mut skipped, mut failed) = (0, Ok(()));
        while total_bytes > self.max_total_bytes && skipped < MAX_UNREMOVABLE {
            let Some((name, size)) = self.closed_segments.get(skipped) else { break };
            match retry_interrupted(|| self.files.remove(name)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => {
                    failed = Err(format!("cannot remove {name}: {e}"));
                    skipped += 1;
                }
                _ => {
                    total_bytes -= size;
                    self.closed_segments.remove(skipped);
                }
            }
        }
        // The current segment alone may exceed the limit: it ends soon.
        if total_bytes > self.max_total_bytes { failed } else { Ok(()) }
    }
}

/// Limit of segments skipped per call because they can't be removed, so that a failing folder costs few
/// calls.
const MAX_UNREMOVABLE: usize = 8;
