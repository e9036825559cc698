//! A folder whose calls fail, once and for a while, each in all the ways that Linux documents: the record has a gap, the
//! recorder goes on by itself in a new segment, and nothing is written behind a sync that failed.

mod common;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex};

use brassrouter::Micros;
use mothpier_record::recorder::Counts;
use mothpier_record::replay::{Outcome, replay};
use mothpier_record::store::{Direct, Files, Output, Store, newest_first};
use mothpier_record::{Recorder, Segment, Tuning};

/// A call to the folder or to a file in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    Create,
    /// The file is there then, and its name is not synced.
    FolderSync,
    Write,
    Sync,
    Remove,
    List,
}

const CALLS: [Call; 6] = [Call::Create, Call::FolderSync, Call::Write, Call::Sync, Call::Remove, Call::List];

/// Error numbers of Linux.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const EACCES: i32 = 13;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EROFS: i32 = 30;
const EDQUOT: i32 = 122;
const LASTING: [i32; 7] = [EIO, ENOMEM, EACCES, EMFILE, ENOSPC, EROFS, EDQUOT];

/// Which calls fail, and how: so many from now on.
#[derive(Clone, Copy, Debug)]
struct Fault {
    call: Call,
    error: i32,
    times: u32,
}

#[derive(Default)]
struct Inside {
    files: BTreeMap<String, Vec<u8>>,
    fault: Option<Fault>,
    /// How often a call has failed.
    failed: u32,
    /// Files of which a sync has failed.
    unsynced: Vec<String>,
    /// Writes and syncs of such files.
    misplaced: u32,
    /// The next write fails behind half of its bytes.
    halved: bool,
}

impl Inside {
    fn fails(&mut self, call: Call) -> io::Result<()> {
        let Some(fault) = self.fault.as_mut().filter(|f| f.call == call && f.times > 0) else {
            return Ok(());
        };
        fault.times -= 1;
        self.failed += 1;
        Err(io::Error::from_raw_os_error(fault.error))
    }
}

/// A folder in memory.
#[derive(Clone, Default)]
struct FailingFolder(Arc<Mutex<Inside>>);

struct FailingFile(FailingFolder, String);

/// No write takes more at once.
const SHORT_WRITE: usize = 1000;

impl Write for FailingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut inside = self.0.0.lock().unwrap();
        if inside.unsynced.contains(&self.1) {
            inside.misplaced += 1;
        }
        let mut count = bytes.len().min(SHORT_WRITE);
        let fails = inside.fault.is_some_and(|f| f.call == Call::Write && f.times > 0);
        if fails && count > 1 && !inside.halved {
            // What comes before the failing byte is taken.
            (count, inside.halved) = (count / 2, true);
        } else {
            inside.fails(Call::Write)?;
            inside.halved = false;
        }
        // A file that was removed takes bytes all the same.
        if let Some(file) = inside.files.get_mut(&self.1) {
            file.extend(&bytes[..count]);
        }
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output for FailingFile {
    fn sync(&mut self) -> io::Result<()> {
        let mut inside = self.0.0.lock().unwrap();
        if inside.unsynced.contains(&self.1) {
            inside.misplaced += 1;
        }
        let done = inside.fails(Call::Sync);
        if done.as_ref().is_err_and(|e| e.kind() != ErrorKind::Interrupted) {
            inside.unsynced.push(self.1.clone());
        }
        done
    }
}

impl Files for FailingFolder {
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Output>> {
        let mut inside = self.0.lock().unwrap();
        inside.fails(Call::Create)?;
        let interrupted = |fault: Fault| fault.error == EINTR;
        if inside.fault.is_some_and(|f| f.call == Call::FolderSync && !interrupted(f)) {
            inside.files.insert(name.into(), Vec::new());
        }
        inside.fails(Call::FolderSync)?;
        inside.files.insert(name.into(), Vec::new());
        Ok(Box::new(FailingFile(self.clone(), name.into())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inside = self.0.lock().unwrap();
        inside.fails(Call::Remove)?;
        inside.files.remove(name).map(drop).ok_or(io::Error::from(ErrorKind::NotFound))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut inside = self.0.lock().unwrap();
        inside.fails(Call::List)?;
        Ok(inside.files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }
}

impl FailingFolder {
    fn begin(&self, fault: Fault) {
        self.0.lock().unwrap().fault = Some(fault);
    }

    fn end(&self) {
        self.0.lock().unwrap().fault = None;
    }

    /// What can be read of each file that has a header and a state, oldest first.
    fn readable(&self) -> Vec<Outcome> {
        let inside = self.0.lock().unwrap();
        let outcomes = inside.files.values().filter_map(|bytes| replay(&mut Segment::open(bytes).ok()?).ok());
        outcomes.map(|(outcome, _)| outcome).collect()
    }

    /// Files that can't be read.
    fn unreadable(&self) -> usize {
        let readable = self.readable().len();
        self.0.lock().unwrap().files.len() - readable
    }

    fn failed(&self) -> u32 {
        self.0.lock().unwrap().failed
    }

    fn misplaced(&self) -> u32 {
        self.0.lock().unwrap().misplaced
    }
}

const EVENTS: usize = 9000;
/// The fault begins before this event: by then the oldest segments are being removed.
const FAULT_BEGINS: usize = 3000;
/// Of those for a while; some 15 s later at the day's pace.
const FAULT_ENDS: usize = 5000;

fn figures() -> Tuning {
    Tuning { again_ms: 200.0, sync_ms: 0.0, segment_mib: 0.02, most_mib: 0.07, ..Tuning::default() }
}

/// Plays a made-up day; what was counted, and the lines of the log.
fn play(
    recorder: &mut Recorder,
    mut each: impl FnMut(usize, &mut Recorder, Micros),
) -> (Counts, Vec<String>) {
    let mut policy = common::policy(1);
    // The pool is no part of the state that a segment begins with.
    let mut day = common::Day::new(1).without_pools();
    let mut notices = Vec::new();
    recorder.start("n1", 1, &common::site(), common::BEGIN);
    for i in 0..EVENTS {
        let event = day.next();
        each(i, recorder, day.now);
        let mut actions = Vec::new();
        notices.extend(recorder.record_event(day.now, &policy, &event, None));
        policy.handle(day.now, event, &mut actions);
        day.take(&actions);
        notices.extend(recorder.record_actions(day.now, &actions));
    }
    notices.extend(recorder.finish(day.now));
    (recorder.counts(), notices)
}

fn play_fault(fault: Fault) -> (FailingFolder, Counts, Vec<String>) {
    let folder = FailingFolder::default();
    let store = Direct::new(folder.clone(), &figures());
    let mut recorder = Recorder::new(figures(), true, Box::new(store), None);
    // The folder is listed once, before the first segment.
    let begins = if fault.call == Call::List { 0 } else { FAULT_BEGINS };
    let (counts, notices) = play(&mut recorder, |i, _, _| {
        if i == begins {
            folder.begin(fault);
        }
        if i == FAULT_ENDS {
            folder.end();
        }
    });
    (folder, counts, notices)
}

/// What holds after every fault.
fn goes_on(folder: &FailingFolder, counts: Counts, notices: &[String], case: &str) {
    assert!(folder.failed() > 0, "{case}: nothing has failed, so this shows nothing");
    assert_eq!(
        counts.events + counts.lost,
        EVENTS as u64,
        "{case}: every event is written or counted as lost"
    );
    assert_eq!(folder.misplaced(), 0, "{case}: nothing is written behind a sync that failed");
    let outcomes = folder.readable();
    let differs: Vec<_> = outcomes.iter().filter_map(|o| o.first_difference.as_ref()).collect();
    assert!(differs.is_empty(), "{case}: what was written replays identically: {differs:?}");
    let last = outcomes.last().expect("a segment");
    assert!(
        last.clean_shutdown && last.read_error.is_none(),
        "{case}: it records again, in a segment that is whole: {last:?}"
    );
    let gaps = notices.iter().filter(|n| n.contains("gap")).count();
    let again = notices.iter().filter(|n| n.contains("recording again")).count();
    assert_eq!((gaps, again), (usize::from(counts.lost > 0), gaps), "{case}: said once each: {notices:?}");
}

#[test]
fn a_call_that_fails_once_costs_a_gap_and_a_new_segment() {
    for call in CALLS {
        for error in LASTING {
            let case = format!("{call:?}, error {error}");
            let (folder, counts, notices) = play_fault(Fault { call, error, times: 1 });
            goes_on(&folder, counts, &notices, &case);
            assert!(counts.lost < 300, "{case}: {counts:?}");
        }
    }
}

#[test]
fn a_call_that_fails_for_a_while_is_tried_ever_more_seldom_and_recording_goes_on_afterwards() {
    for call in CALLS {
        for error in LASTING {
            let case = format!("{call:?}, error {error}");
            let (folder, counts, notices) = play_fault(Fault { call, error, times: u32::MAX });
            goes_on(&folder, counts, &notices, &case);
            // 15 s of tries 0.2 s apart at first, each twice as long as the one before; removing passes over eight.
            assert!(folder.failed() <= 8 * 8, "{case}: {} calls have failed", folder.failed());
            assert!(counts.lost < 7000, "{case}: {counts:?}");
        }
    }
}

#[test]
fn an_interrupted_call_is_tried_again_and_costs_nothing() {
    for call in CALLS {
        for times in [1, 5] {
            let case = format!("{call:?}, {times} times");
            let (folder, counts, notices) = play_fault(Fault { call, error: EINTR, times });
            goes_on(&folder, counts, &notices, &case);
            assert_eq!((counts.lost, counts.refused), (0, 0), "{case}: {notices:?}");
        }
    }
}

/// A try that fails leaves no file that can't be read: it would hide the segment before it, and be one more each time.
#[test]
fn a_segment_whose_beginning_could_not_be_written_is_removed() {
    for error in [ENOSPC, EIO] {
        let fault = Fault { call: Call::Write, error, times: u32::MAX };
        let (folder, counts, _) = play_fault(fault);
        assert!(counts.refused > 3, "{counts:?}");
        assert_eq!(folder.unreadable(), 0);
    }
}

/// The bound of all segments holds while some can't be removed, where others can.
#[test]
fn segments_that_cannot_be_removed_are_passed_over() {
    let (folder, counts, notices) = play_fault(Fault { call: Call::Remove, error: EACCES, times: 2 });
    goes_on(&folder, counts, &notices, "two that stay");
    assert_eq!(counts.lost, 0, "others go in their place: {notices:?}");
    let size: usize = folder.0.lock().unwrap().files.values().map(Vec::len).sum();
    assert!(size as f64 <= figures().most_mib * 1048576.0, "{size} bytes");
}

/// On the thread of the store: the node is never held up, and hears of the trouble at a later piece.
#[test]
fn on_its_own_thread_recording_goes_on_by_itself_too() {
    for call in [Call::Create, Call::Write, Call::Sync] {
        let folder = FailingFolder::default();
        let store = Store::start(folder.clone(), &figures()).expect("a thread");
        let mut recorder = Recorder::new(figures(), true, Box::new(store), None);
        folder.begin(Fault { call, error: EIO, times: u32::MAX });
        let (counts, notices) = play(&mut recorder, |i, recorder, _| {
            if i == FAULT_ENDS {
                folder.end();
            }
            // The thread has time to tell of what has failed: the made-up day has no pauses.
            if i.is_multiple_of(100) && recorder.counts().bytes > 0 && i < FAULT_ENDS {
                let bound = std::time::Instant::now() + std::time::Duration::from_secs(10);
                while folder.failed() == 0 && std::time::Instant::now() < bound {
                    std::thread::yield_now();
                }
            }
        });
        drop(recorder);
        assert_eq!(counts.events + counts.lost, EVENTS as u64, "{call:?}");
        assert!(notices.iter().any(|n| n.contains("recording again")), "{call:?}: {notices:?}");
        assert_eq!(folder.misplaced(), 0, "{call:?}");
        assert!(
            folder.readable().last().is_some_and(|o| o.clean_shutdown && o.read_error.is_none()),
            "{call:?}"
        );
    }
}

/// Where the folder could not be listed at the start, the first segment's name is greater than any there all the same.
#[test]
fn a_new_incarnation_comes_after_all_others_though_its_clock_is_behind() {
    let mut folder = FailingFolder::default();
    let ahead = mothpier_record::store::segment_file_name("n1", common::BEGIN + 3_600_000_000, 5);
    folder.0.lock().unwrap().files.insert(ahead.clone(), Vec::new());
    let store = Direct::new(folder.clone(), &Tuning::default());
    let mut recorder = Recorder::new(Tuning::default(), true, Box::new(store), None);
    play(&mut recorder, |_, _, _| {});
    let names = newest_first(&mut folder, "n1").expect("it can be listed");
    assert!(names.len() > 1 && names.last() == Some(&ahead), "{names:?}");
}
