//! Failing calls to the folder, once and for a while, with each error that Linux documents: the record has a
//! gap, the recorder resumes on its own in a new segment, and nothing is written after a failed sync.

mod common;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex};

use brassrouter::Micros;
use mothpier_record::recorder::Counts;
use mothpier_record::replay::{Outcome, replay};
use mothpier_record::store::{BlockingStore, SegmentFile, SegmentFolder, Store, newest_first};
use mothpier_record::{Recorder, Segment, Tuning};

/// A call to the folder or to a file in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FolderCall {
    Create,
    /// The file exists then, but its name is not synced.
    FolderSync,
    Write,
    Sync,
    Remove,
    List,
}

const ALL_CALLS: [FolderCall; 6] = [
    FolderCall::Create,
    FolderCall::FolderSync,
    FolderCall::Write,
    FolderCall::Sync,
    FolderCall::Remove,
    FolderCall::List,
];

/// Error numbers of Linux.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const EACCES: i32 = 13;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EROFS: i32 = 30;
const EDQUOT: i32 = 122;
const PERSISTENT_ERRORS: [i32; 7] = [EIO, ENOMEM, EACCES, EMFILE, ENOSPC, EROFS, EDQUOT];

/// Which calls fail, how, and how many times from now on.
#[derive(Clone, Copy, Debug)]
struct Fault {
    call: FolderCall,
    error: i32,
    count: u32,
}

#[derive(Default)]
struct FolderState {
    files: BTreeMap<String, Vec<u8>>,
    fault: Option<Fault>,
    /// Number of failed calls.
    failed_calls: u32,
    /// Files of which a sync has failed.
    sync_failed: Vec<String>,
    /// Writes and syncs of such files.
    writes_after_failed_sync: u32,
    /// The next write fails after half of its bytes.
    was_halved: bool,
}

impl FolderState {
    fn check_fault(&mut self, call: FolderCall) -> io::Result<()> {
        let Some(fault) = self.fault.as_mut().filter(|f| f.call == call && f.count > 0) else {
            return Ok(());
        };
        fault.count -= 1;
        self.failed_calls += 1;
        Err(io::Error::from_raw_os_error(fault.error))
    }
}

/// A folder in memory.
#[derive(Clone, Default)]
struct FailingFolder(Arc<Mutex<FolderState>>);

struct FailingFile(FailingFolder, String);

/// Largest number of bytes that a write accepts.
const MAX_WRITE_BYTES: usize = 1000;

impl Write for FailingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.0.lock().unwrap();
        if state.sync_failed.contains(&self.1) {
            state.writes_after_failed_sync += 1;
        }
        let mut count = bytes.len().min(MAX_WRITE_BYTES);
        let will_fail = state.fault.is_some_and(|f| f.call == FolderCall::Write && f.count > 0);
        if will_fail && count > 1 && !state.was_halved {
            // The bytes before the failing one are written.
            (count, state.was_halved) = (count / 2, true);
        } else {
            state.check_fault(FolderCall::Write)?;
            state.was_halved = false;
        }
        // Like Linux, accepts bytes for a file that was removed.
        if let Some(file) = state.files.get_mut(&self.1) {
            file.extend(&bytes[..count]);
        }
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SegmentFile for FailingFile {
    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.0.0.lock().unwrap();
        if state.sync_failed.contains(&self.1) {
            state.writes_after_failed_sync += 1;
        }
        let result = state.check_fault(FolderCall::Sync);
        if result.as_ref().is_err_and(|e| e.kind() != ErrorKind::Interrupted) {
            state.sync_failed.push(self.1.clone());
        }
        result
    }
}

impl SegmentFolder for FailingFolder {
    fn create(&mut self, name: &str) -> io::Result<Box<dyn SegmentFile>> {
        let mut state = self.0.lock().unwrap();
        state.check_fault(FolderCall::Create)?;
        let interrupted = |fault: Fault| fault.error == EINTR;
        if state.fault.is_some_and(|f| f.call == FolderCall::FolderSync && !interrupted(f)) {
            state.files.insert(name.into(), Vec::new());
        }
        state.check_fault(FolderCall::FolderSync)?;
        state.files.insert(name.into(), Vec::new());
        Ok(Box::new(FailingFile(self.clone(), name.into())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.check_fault(FolderCall::Remove)?;
        state.files.remove(name).map(drop).ok_or(io::Error::from(ErrorKind::NotFound))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut state = self.0.lock().unwrap();
        state.check_fault(FolderCall::List)?;
        Ok(state.files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }
}

impl FailingFolder {
    fn begin_fault(&self, fault: Fault) {
        self.0.lock().unwrap().fault = Some(fault);
    }

    fn end_fault(&self) {
        self.0.lock().unwrap().fault = None;
    }

    /// The outcome of each file that has a header and a state, oldest first.
    fn readable(&self) -> Vec<Outcome> {
        let state = self.0.lock().unwrap();
        let outcomes = state.files.values().filter_map(|bytes| replay(&mut Segment::open(bytes).ok()?).ok());
        outcomes.map(|(outcome, _)| outcome).collect()
    }

    /// Number of unreadable files.
    fn unreadable(&self) -> usize {
        let readable = self.readable().len();
        self.0.lock().unwrap().files.len() - readable
    }

    fn failed_calls(&self) -> u32 {
        self.0.lock().unwrap().failed_calls
    }

    fn writes_after_failed_sync(&self) -> u32 {
        self.0.lock().unwrap().writes_after_failed_sync
    }
}

const EVENTS: usize = 9000;
/// The fault begins before this event: by then the oldest segments are being removed.
const FAULT_BEGINS: usize = 3000;
/// End of a lasting fault, some 15 s later at the workload's rate.
const FAULT_ENDS: usize = 5000;

fn tuning() -> Tuning {
    Tuning { again_ms: 200.0, sync_ms: 0.0, segment_mib: 0.02, most_mib: 0.07, ..Tuning::default() }
}

/// Runs the workload; returns the counts and the log lines.
fn run_workload(
    recorder: &mut Recorder,
    mut before_event: impl FnMut(usize, &mut Recorder, Micros),
) -> (Counts, Vec<String>) {
    let mut policy = common::policy(1);
    // Zone routing is not part of the state that a segment begins with.
    let mut workload = common::Workload::new(1).without_zone_routing();
    let mut notices = Vec::new();
    recorder.start("n1", 1, &common::deployment(), common::START);
    for i in 0..EVENTS {
        let event = workload.next_event();
        before_event(i, recorder, workload.now);
        let mut actions = Vec::new();
        notices.extend(recorder.record_event(workload.now, &policy, &event, None));
        policy.handle(workload.now, event, &mut actions);
        workload.apply_actions(&actions);
        notices.extend(recorder.record_actions(workload.now, &actions));
    }
    notices.extend(recorder.finish(workload.now));
    (recorder.counts(), notices)
}

fn run_with_fault(fault: Fault) -> (FailingFolder, Counts, Vec<String>) {
    let folder = FailingFolder::default();
    let store = BlockingStore::new(folder.clone(), &tuning());
    let mut recorder = Recorder::new(tuning(), true, Box::new(store), None);
    // The folder is listed once, before the first segment.
    let fault_begins = if fault.call == FolderCall::List { 0 } else { FAULT_BEGINS };
    let (counts, notices) = run_workload(&mut recorder, |i, _, _| {
        if i == fault_begins {
            folder.begin_fault(fault);
        }
        if i == FAULT_ENDS {
            folder.end_fault();
        }
    });
    (folder, counts, notices)
}

/// What must hold after every fault.
fn assert_resumed(folder: &FailingFolder, counts: Counts, notices: &[String], case: &str) {
    assert!(folder.failed_calls() > 0, "{case}: no call has failed, so the case is not covered");
    assert_eq!(
        counts.events + counts.lost,
        EVENTS as u64,
        "{case}: every event is written or counted as lost"
    );
    assert_eq!(folder.writes_after_failed_sync(), 0, "{case}: nothing is written after a failed sync");
    let outcomes = folder.readable();
    let differs: Vec<_> = outcomes.iter().filter_map(|o| o.first_difference.as_ref()).collect();
    assert!(differs.is_empty(), "{case}: the segments replay identically: {differs:?}");
    let last = outcomes.last().expect("a segment");
    assert!(
        last.clean_shutdown && last.read_error.is_none(),
        "{case}: recording resumes in a complete segment: {last:?}"
    );
    let interrupted = notices.iter().filter(|n| n.contains("recording interrupted")).count();
    let resumed = notices.iter().filter(|n| n.contains("recording resumed")).count();
    assert_eq!(
        (interrupted, resumed),
        (usize::from(counts.lost > 0), interrupted),
        "{case}: each reported once: {notices:?}"
    );
}

#[test]
fn a_single_failure_causes_a_gap_and_a_new_segment() {
    for call in ALL_CALLS {
        for error in PERSISTENT_ERRORS {
            let case = format!("{call:?}, error {error}");
            let (folder, counts, notices) = run_with_fault(Fault { call, error, count: 1 });
            assert_resumed(&folder, counts, &notices, &case);
            assert!(counts.lost < 300, "{case}: {counts:?}");
        }
    }
}

#[test]
fn lasting_failures_are_retried_with_backoff_and_recording_resumes() {
    for call in ALL_CALLS {
        for error in PERSISTENT_ERRORS {
            let case = format!("{call:?}, error {error}");
            let (folder, counts, notices) = run_with_fault(Fault { call, error, count: u32::MAX });
            assert_resumed(&folder, counts, &notices, &case);
            // Attempts within 15 s: 0.2 s apart at first, each delay twice as long as the one before; up to
            // eight files are skipped when removing.
            assert!(folder.failed_calls() <= 8 * 8, "{case}: {} calls have failed", folder.failed_calls());
            assert!(counts.lost < 7000, "{case}: {counts:?}");
        }
    }
}

#[test]
fn an_interrupted_call_is_retried_without_loss() {
    for call in ALL_CALLS {
        for count in [1, 5] {
            let case = format!("{call:?}, {count} times");
            let (folder, counts, notices) = run_with_fault(Fault { call, error: EINTR, count });
            assert_resumed(&folder, counts, &notices, &case);
            assert_eq!((counts.lost, counts.refused), (0, 0), "{case}: {notices:?}");
        }
    }
}

/// A failed attempt must not leave an unreadable file: it would hide the segment before it, and each attempt
/// would add one.
#[test]
fn a_segment_without_a_complete_first_chunk_is_removed() {
    for error in [ENOSPC, EIO] {
        let fault = Fault { call: FolderCall::Write, error, count: u32::MAX };
        let (folder, counts, _) = run_with_fault(fault);
        assert!(counts.refused > 3, "{counts:?}");
        assert_eq!(folder.unreadable(), 0);
    }
}

/// The total size stays within its limit while some segments can't be removed but others can.
#[test]
fn unremovable_segments_are_skipped() {
    let (folder, counts, notices) =
        run_with_fault(Fault { call: FolderCall::Remove, error: EACCES, count: 2 });
    assert_resumed(&folder, counts, &notices, "two unremovable segments");
    assert_eq!(counts.lost, 0, "other segments are removed instead: {notices:?}");
    let size: usize = folder.0.lock().unwrap().files.values().map(Vec::len).sum();
    assert!(size as f64 <= tuning().most_mib * 1048576.0, "{size} bytes");
}

/// With the store's own thread the node is never blocked, and learns of a failure with a later chunk.
#[test]
fn recording_also_resumes_with_the_writing_thread() {
    for call in [FolderCall::Create, FolderCall::Write, FolderCall::Sync] {
        let folder = FailingFolder::default();
        let store = Store::start(folder.clone(), &tuning()).expect("a thread");
        let mut recorder = Recorder::new(tuning(), true, Box::new(store), None);
        folder.begin_fault(Fault { call, error: EIO, count: u32::MAX });
        let (counts, notices) = run_workload(&mut recorder, |i, recorder, _| {
            if i == FAULT_ENDS {
                folder.end_fault();
            }
            // Gives the thread time to report a failure: the workload has no pauses.
            if i.is_multiple_of(100) && recorder.counts().bytes > 0 && i < FAULT_ENDS {
                let deadline = std::time::Instant::now() + std::time::Duration::from_secs(10);
                while folder.failed_calls() == 0 && std::time::Instant::now() < deadline {
                    std::thread::yield_now();
                }
            }
        });
        drop(recorder);
        assert_eq!(counts.events + counts.lost, EVENTS as u64, "{call:?}");
        assert!(notices.iter().any(|n| n.contains("recording resumed")), "{call:?}: {notices:?}");
        assert_eq!(folder.writes_after_failed_sync(), 0, "{call:?}");
        assert!(
            folder.readable().last().is_some_and(|o| o.clean_shutdown && o.read_error.is_none()),
            "{call:?}"
        );
    }
}

/// If the folder can't be listed at the start, the first segment's name must still be greater than any
/// existing one.
#[test]
fn a_new_incarnation_sorts_last_although_its_clock_is_behind() {
    let mut folder = FailingFolder::default();
    let ahead = mothpier_record::store::segment_file_name("n1", common::START + 3_600_000_000, 5);
    folder.0.lock().unwrap().files.insert(ahead.clone(), Vec::new());
    let store = BlockingStore::new(folder.clone(), &Tuning::default());
    let mut recorder = Recorder::new(Tuning::default(), true, Box::new(store), None);
    run_workload(&mut recorder, |_, _, _| {});
    let names = newest_first(&mut folder, "n1").expect("a readable folder");
    assert!(names.len() > 1 && names.last() == Some(&ahead), "{names:?}");
}
