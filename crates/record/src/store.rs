//! Pieces to files in a folder, on a thread of its own: the node never waits for a disk.
//!
//! One file for each segment, named `NODE-LIFE-NUMBER.rec` (life and number in hexadecimal, so that names sort in time).
//! What is on disk after a power cut at any byte is a beginning of what was written: entries up to the last whole one
//! can be read, and all that was synced is there. A new file's name is synced with its folder.
//!
//! Where a call fails, the segment ends there and is not written again: after a failed sync the kernel may have dropped
//! what it held of the file, so that no later sync of it says anything. The recorder is told at its next piece, and
//! begins a new segment after its backoff.

use std::collections::VecDeque;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::folder::{incarnation, uninterrupted};
use crate::recorder::{Chunk, Sink, Tuning};
use crate::segment::Header;

pub use crate::folder::{
    FILE_EXTENSION, Files, Folder, Output, largest_incarnation, newest_first, of_node, segment_file_name,
};

/// A node that ends waits no longer than this for the rest to be written.
const LAST_WAIT: Duration = Duration::from_secs(1);

struct Job {
    node: String,
    life: u64,
    number: u32,
    first: bool,
    piece: Chunk,
}

#[derive(Default)]
struct Shared {
    /// What went wrong last, until it is told.
    trouble: Option<String>,
    waiting: usize,
    /// Events that were taken and not written.
    dropped: u64,
}

/// What a thread that panicked left there is still whole: counts, and a line of text.
fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The way to the thread that writes.
pub struct Store {
    pieces: Option<SyncSender<Job>>,
    shared: Arc<Mutex<Shared>>,
    most_waiting: usize,
    thread: Option<JoinHandle<()>>,
    ended: Receiver<()>,
}

impl Store {
    /// Starts the thread.
    ///
    /// # Errors
    /// Where the machine gives no thread.
    pub fn start(files: impl Files, figures: &Tuning) -> io::Result<Store> {
        let (pieces, inbox) = sync_channel(4096);
        let (end, ended) = sync_channel(1);
        let shared = Arc::new(Mutex::new(Shared::default()));
        let mut writing = Writing::new(files, shared.clone(), figures);
        let thread = std::thread::Builder::new().name("record".into()).spawn(move || {
            writing.run(&inbox);
            drop(end);
        })?;
        let most_waiting = (figures.wait_mib * 1048576.0) as usize;
        Ok(Store { pieces: Some(pieces), shared, most_waiting, thread: Some(thread), ended })
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        locked(&self.shared)
    }
}

impl Sink for Store {
    fn write(&mut self, header: &Header, first: bool, piece: Chunk) -> Result<(), String> {
        let length = piece.bytes.len();
        {
            let mut shared = self.shared();
            if let Some(trouble) = shared.trouble.take() {
                return Err(trouble);
            }
            if shared.waiting + length > self.most_waiting {
                return Err(format!("{} bytes wait for the disk", shared.waiting));
            }
            shared.waiting += length;
        }
        let job =
            Job { node: header.node.clone(), life: header.incarnation, number: header.number, first, piece };
        let sent = self.pieces.as_ref().map(|pieces| pieces.try_send(job));
        match sent {
            Some(Ok(())) => Ok(()),
            Some(Err(TrySendError::Full(_))) => {
                self.shared().waiting -= length;
                Err("too many pieces wait for the disk".into())
            }
            Some(Err(TrySendError::Disconnected(_))) | None => Err("the thread that writes has ended".into()),
        }
    }

    fn take_dropped_events(&mut self) -> u64 {
        std::mem::take(&mut self.shared().dropped)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.pieces = None;
        // A disk that hangs must not keep the node from ending.
        if let Err(RecvTimeoutError::Disconnected) = self.ended.recv_timeout(LAST_WAIT)
            && let Some(thread) = self.thread.take()
        {
            let _ = thread.join();
        }
    }
}

/// Writes where it is called, and waits for the disk: for tools, which may.
pub struct Direct<F: Files>(Writing<F>);

impl<F: Files> Direct<F> {
    /// Into a folder.
    pub fn new(files: F, figures: &Tuning) -> Self {
        Direct(Writing::new(files, Arc::default(), figures))
    }
}

impl<F: Files> Sink for Direct<F> {
    fn write(&mut self, header: &Header, first: bool, piece: Chunk) -> Result<(), String> {
        let (node, life, number) = (header.node.clone(), header.incarnation, header.number);
        let done = self.0.write(&Job { node, life, number, first, piece });
        done.map(drop).inspect_err(|_| self.0.abandon())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

struct Current {
    name: String,
    file: Box<dyn Output>,
    size: u64,
    /// Since when something waits to be synced.
    unsynced: Option<Instant>,
    /// Whether its first piece has been written: without that nothing of it can be read.
    readable: bool,
}

struct Writing<F: Files> {
    files: F,
    shared: Arc<Mutex<Shared>>,
    most: u64,
    sync: Duration,
    current: Option<Current>,
    /// Older segments and their sizes, oldest first.
    kept: VecDeque<(String, u64)>,
    listed: bool,
    /// Stands in the names for the recorder's incarnation, where the folder has one that is not smaller.
    raised: Option<u64>,
}

impl<F: Files> Writing<F> {
    fn new(files: F, shared: Arc<Mutex<Shared>>, figures: &Tuning) -> Self {
        Writing {
            files,
            shared,
            most: (figures.most_mib * 1048576.0) as u64,
            sync: Duration::from_secs_f64(figures.sync_ms / 1000.0),
            current: None,
            kept: VecDeque::new(),
            listed: false,
            raised: None,
        }
    }

    /// What follows of this segment would leave a hole: it is dropped until the next one begins.
    fn abandon(&mut self) {
        let Some(old) = self.current.take() else { return };
        drop(old.file);
        // One that can't be read would hide the segment before it, and be one more with every try.
        if old.readable || self.files.remove(&old.name).is_err() {
            self.kept.push_back((old.name, old.size));
        }
    }

    fn run(&mut self, inbox: &Receiver<Job>) {
        loop {
            let due = self.current.as_ref().and_then(|c| c.unsynced).map(|since| since + self.sync);
            let wait =
                due.map_or(Duration::from_secs(3600), |due| due.saturating_duration_since(Instant::now()));
            let done = match inbox.recv_timeout(wait) {
                Ok(job) => {
                    let (length, events) = (job.piece.bytes.len(), job.piece.events);
                    let done = self.write(&job);
                    let mut shared = locked(&self.shared);
                    shared.waiting -= length;
                    shared.dropped += if done == Ok(true) { 0 } else { events };
                    done.map(drop)
                }
                Err(RecvTimeoutError::Timeout) => self.sync(),
                Err(RecvTimeoutError::Disconnected) => {
                    let _ = self.sync();
                    return;
                }
            };
            if let Err(e) = done {
                self.abandon();
                locked(&self.shared).trouble = Some(e);
            }
        }
    }

    /// Writes a piece; `false` where its segment has come to an untimely end before.
    fn write(&mut self, job: &Job) -> Result<bool, String> {
        if job.first {
            self.open(job)?;
        }
        let Some(current) = &mut self.current else { return Ok(false) };
        let failed = |e: io::Error| format!("cannot write {}: {e}", current.name);
        // What a failed write has left counts, too.
        current.size += job.piece.bytes.len() as u64;
        current.file.write_all(&job.piece.bytes).map_err(failed)?;
        current.readable = true;
        let since = *current.unsynced.get_or_insert_with(Instant::now);
        if since.elapsed() >= self.sync {
            self.sync()?;
        }
        self.make_room()?;
        Ok(true)
    }

    fn open(&mut self, job: &Job) -> Result<(), String> {
        self.sync()?;
        if let Some(old) = self.current.take() {
            self.kept.push_back((old.name, old.size));
        }
        self.list(job)?;
        self.make_room()?;
        let name = segment_file_name(&job.node, self.raised.unwrap_or(job.life), job.number);
        let created = uninterrupted(|| self.files.create(&name));
        let file = created.map_err(|e| format!("cannot create {name}: {e}"))?;
        self.current = Some(Current { name, file, size: 0, unsynced: None, readable: false });
        Ok(())
    }

    /// Looks once at what earlier incarnations left there.
    fn list(&mut self, job: &Job) -> Result<(), String> {
        if self.listed {
            return Ok(());
        }
        let files = uninterrupted(|| self.files.list());
        let kept = of_node(&job.node, files.map_err(|e| format!("cannot read the folder: {e}"))?);
        let largest = kept.iter().filter_map(|(name, _)| incarnation(name)).max();
        self.raised = largest.filter(|largest| *largest >= job.life).map(|largest| largest.saturating_add(1));
        self.kept = kept.into();
        self.listed = true;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), String> {
        if let Some(current) = &mut self.current
            && current.unsynced.take().is_some()
        {
            let synced = uninterrupted(|| current.file.sync());
            synced.map_err(|e| format!("cannot sync {}: {e}", current.name))?;
        }
        Ok(())
    }

    /// The oldest segments go, whole, until all fit; one that can't be removed stays, and the next one goes.
    fn make_room(&mut self) -> Result<(), String> {
        let current = self.current.as_ref().map_or(0, |c| c.size);
        let mut all = current + self.kept.iter().map(|(_, size)| size).sum::<u64>();
        let (mut stay, mut failed) = (0, Ok(()));
        while all > self.most && stay < MOST_UNREMOVABLE {
            let Some((name, size)) = self.kept.get(stay) else { break };
            match uninterrupted(|| self.files.remove(name)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => {
                    failed = Err(format!("cannot remove {name}: {e}"));
                    stay += 1;
                }
                _ => {
                    all -= size;
                    self.kept.remove(stay);
                }
            }
        }
        // The current segment alone may be larger than all may be: it ends soon.
        if all > self.most { failed } else { Ok(()) }
    }
}

/// So many segments that can't be removed are passed over in one go: a folder that fails costs few calls each time.
const MOST_UNREMOVABLE: usize = 8;
