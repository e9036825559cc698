//! The recorder and its store with a full, slow, missing or failing disk: events are lost, and the loss is
//! reported once, counted and marked in the record; the node is not affected otherwise.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use brassrouter::{Event, Micros};
use mothpier_record::entry::Body;
use mothpier_record::recorder::{Chunk, Counts, Sink};
use mothpier_record::replay::{Outcome, replay};
use mothpier_record::store::{BlockingStore, SegmentFile, SegmentFolder, Store, segments_of_node};
use mothpier_record::{Header, Recorder, Segment, Tuning};

/// Runs the workload with a recorder; returns its log lines.
fn run_workload(
    recorder: &mut Recorder,
    events: usize,
    seed: u64,
    mut before_event: impl FnMut(usize, &mut Recorder, Micros),
) -> Vec<String> {
    let mut policy = common::policy(seed);
    let mut workload = common::Workload::new(seed);
    let mut notices = Vec::new();
    recorder.start("n1", seed, &common::deployment(), common::START);
    for i in 0..events {
        let event = workload.next_event();
        before_event(i, recorder, workload.now);
        let mut actions = Vec::new();
        notices.extend(recorder.record_event(workload.now, &policy, &event, None));
        policy.handle(workload.now, event, &mut actions);
        workload.apply_actions(&actions);
        notices.extend(recorder.record_actions(workload.now, &actions));
    }
    notices.extend(recorder.finish(workload.now));
    notices
}

fn replay_identically(bytes: &[u8]) -> Outcome {
    let (outcome, _) = replay(&mut Segment::open(bytes).expect("a header")).expect("a record");
    assert_eq!(outcome.first_difference, None, "the record replays identically");
    outcome
}

type Segments = Rc<RefCell<Vec<(u32, Vec<u8>)>>>;

/// A sink that refuses chunks with numbers in a range.
struct RefusingSink {
    chunk_number: u32,
    refused_range: std::ops::Range<u32>,
    segments: Segments,
}

impl Sink for RefusingSink {
    fn write(&mut self, header: &Header, is_first: bool, chunk: Chunk) -> Result<(), String> {
        self.chunk_number += 1;
        if self.refused_range.contains(&self.chunk_number) {
            return Err("no room".into());
        }
        let mut segments = self.segments.borrow_mut();
        if is_first {
            segments.push((header.number, chunk.bytes));
        } else {
            segments.last_mut().expect("a segment that has begun").1.extend(chunk.bytes);
        }
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

fn tuning() -> Tuning {
    Tuning { again_ms: 200.0, ..Tuning::default() }
}

#[test]
fn refused_chunks_are_counted_marked_and_reported_once() {
    let segments = Segments::default();
    let sink = RefusingSink { chunk_number: 0, refused_range: 5..9, segments: segments.clone() };
    let mut recorder = Recorder::new(tuning(), true, Box::new(sink), None);
    let notices = run_workload(&mut recorder, 3000, 1, |_, _, _| {});
    let Counts { events, lost, refused, .. } = recorder.counts();
    assert_eq!(events + lost, 3000, "every event is either recorded or counted as lost");
    // Each delay is twice as long as the one before: 0.2, 0.4, 0.8 and 1.6 s, at some 130 events a second.
    assert!((300..800).contains(&lost) && refused == 4, "{lost} lost, {refused} refused");
    assert_eq!(notices.iter().filter(|n| n.contains("recording interrupted")).count(), 1, "{notices:?}");
    assert_eq!(notices.iter().filter(|n| n.contains("recording resumed")).count(), 1, "{notices:?}");
    let segments = segments.borrow();
    let outcomes: Vec<Outcome> = segments.iter().map(|(_, bytes)| replay_identically(bytes)).collect();
    assert_eq!(outcomes.iter().map(|o| o.events).sum::<u64>(), events);
    assert_eq!(
        outcomes.iter().map(|o| o.missing_events).sum::<u64>(),
        lost,
        "the gap states the number of missing events"
    );
    assert!(outcomes.last().is_some_and(|o| o.clean_shutdown));
}

#[test]
fn segments_end_at_their_size_and_can_be_read_separately() {
    let segments = Segments::default();
    let sink = RefusingSink { chunk_number: 0, refused_range: 0..0, segments: segments.clone() };
    let tuning = Tuning { segment_mib: 0.05, most_mib: 2.0, ..tuning() };
    let mut recorder = Recorder::new(tuning, true, Box::new(sink), None);
    assert_eq!(run_workload(&mut recorder, 12_000, 2, |_, _, _| {}), Vec::<String>::new());
    let segments = segments.borrow();
    assert!(segments.len() > 3, "{} segments", segments.len());
    assert_eq!(segments.iter().map(|(_, bytes)| replay_identically(bytes).events).sum::<u64>(), 12_000);
    assert!(segments.iter().all(|(_, bytes)| bytes.len() < 80_000), "a segment grows little past its size");
}

#[test]
fn recording_can_be_enabled_and_disabled_at_run_time() {
    let segments = Segments::default();
    let sink = RefusingSink { chunk_number: 0, refused_range: 0..0, segments: segments.clone() };
    let mut recorder = Recorder::new(tuning(), false, Box::new(sink), None);
    let mut notices = Vec::new();
    run_workload(&mut recorder, 1000, 3, |i, recorder, now| match i {
        300 => notices.extend(recorder.set_enabled(true, now)),
        600 => notices.extend(recorder.set_enabled(false, now)),
        _ => {}
    });
    let segments = segments.borrow();
    assert_eq!((notices.len(), segments.len()), (2, 1), "{notices:?}");
    let outcome = replay_identically(&segments[0].1);
    assert_eq!((outcome.events, outcome.clean_shutdown, outcome.missing_events), (300, true, 0));
}

/// A folder in memory with limited capacity, in which a test can block writes.
#[derive(Clone, Default)]
struct MemoryFolder {
    files: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    capacity: Arc<Mutex<Option<usize>>>,
    is_missing: Arc<Mutex<bool>>,
    blocked_by: Option<Arc<Mutex<Receiver<()>>>>,
}

struct MemoryFile(MemoryFolder, String);

impl Write for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(blocked_by) = &self.0.blocked_by {
            // The test drops the sender to unblock the disk.
            let _ = blocked_by.lock().unwrap().recv();
        }
        if *self.0.is_missing.lock().unwrap() {
            return Err(io::Error::from(io::ErrorKind::NotFound));
        }
        let mut capacity = self.0.capacity.lock().unwrap();
        let count = capacity.map_or(bytes.len(), |capacity| capacity.min(bytes.len()));
        if count == 0 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        if let Some(capacity) = &mut *capacity {
            *capacity -= count;
        }
        self.0.files.lock().unwrap().entry(self.1.clone()).or_default().extend(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SegmentFile for MemoryFile {
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SegmentFolder for MemoryFolder {
    fn create(&mut self, name: &str) -> io::Result<Box<dyn SegmentFile>> {
        if *self.is_missing.lock().unwrap() {
            return Err(io::Error::from(io::ErrorKind::NotFound));
        }
        self.files.lock().unwrap().insert(name.into(), Vec::new());
        Ok(Box::new(MemoryFile(self.clone(), name.into())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.lock().unwrap().remove(name).map(drop).ok_or(io::Error::from(io::ErrorKind::NotFound))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Ok(self.files.lock().unwrap().iter().map(|(n, b)| (n.clone(), b.len() as u64)).collect())
    }
}

impl MemoryFolder {
    /// The outcome of each file, complete entries only, oldest first.
    fn outcomes(&self) -> Vec<Outcome> {
        let files = self.files.lock().unwrap();
        files.values().filter(|b| !b.is_empty()).map(|bytes| replay_identically(bytes)).collect()
    }
}

fn record_workload(
    folder: &MemoryFolder,
    tuning: Tuning,
    events: usize,
    before_event: impl FnMut(usize, &mut Recorder, Micros),
) -> (Counts, Vec<String>) {
    let store = BlockingStore::new(folder.clone(), &tuning);
    let mut recorder = Recorder::new(tuning, true, Box::new(store), None);
    let notices = run_workload(&mut recorder, events, 5, before_event);
    (recorder.counts(), notices)
}

#[test]
fn a_working_disk_has_everything_after_shutdown() {
    let folder = MemoryFolder::default();
    let (counts, notices) = record_workload(&folder, tuning(), 4000, |_, _, _| {});
    let outcomes = folder.outcomes();
    assert_eq!((outcomes.len(), outcomes[0].events, outcomes[0].clean_shutdown), (1, 4000, true));
    assert_eq!((counts.events, counts.lost, notices.len()), (4000, 0, 0), "{notices:?}");
}

#[test]
fn a_full_disk_keeps_a_readable_prefix_and_the_loss_is_reported() {
    let folder = MemoryFolder::default();
    *folder.capacity.lock().unwrap() = Some(20_000);
    let (counts, notices) = record_workload(&folder, tuning(), 12_000, |_, _, _| {});
    let outcomes = folder.outcomes();
    assert!(outcomes[0].events > 100 && !outcomes[0].clean_shutdown, "{outcomes:?}");
    assert_eq!(counts.events + counts.lost, 12_000);
    assert_eq!(notices.len(), 1, "reported once: {notices:?}");
    assert!(notices[0].contains("no storage space"), "{notices:?}");
    // About 90 s of attempts, 0.2 s apart at first and 12.8 s at the end.
    assert!((8..16).contains(&counts.segments), "too many attempts: {counts:?}");
}

#[test]
fn events_are_lost_only_while_the_folder_is_missing() {
    let folder = MemoryFolder::default();
    let folder_handle = folder.clone();
    let (counts, notices) = record_workload(&folder, tuning(), 30_000, |i, _, _| {
        if i == 5_000 || i == 6_000 {
            *folder_handle.is_missing.lock().unwrap() = i == 5_000;
        }
    });
    let outcomes = folder.outcomes();
    assert_eq!(notices.len(), 2, "{notices:?}");
    assert!(notices[0].contains("cannot write") && notices[1].contains("recording resumed"), "{notices:?}");
    assert_eq!(counts.events + counts.lost, 30_000);
    let last = outcomes.last().expect("a segment");
    assert_eq!((last.clean_shutdown, last.missing_events), (true, counts.lost), "the gap is marked");
}

/// With the store's own thread: writing blocks until the test unblocks it.
#[test]
fn a_hanging_disk_blocks_nobody_and_its_gap_is_marked_afterwards() {
    let (blocker, blocked_by): (Sender<()>, Receiver<()>) = channel();
    let folder =
        MemoryFolder { blocked_by: Some(Arc::new(Mutex::new(blocked_by))), ..MemoryFolder::default() };
    let tuning = Tuning { wait_mib: 0.25, ..tuning() };
    let store = Store::start(folder.clone(), &tuning).expect("a thread");
    let mut recorder = Recorder::new(tuning, true, Box::new(store), None);
    let (mut blocker, mut lost_while_blocked) = (Some(blocker), 0);
    let notices = run_workload(&mut recorder, 60_000, 5, |i, recorder, _| {
        if i == 30_000 {
            (lost_while_blocked, blocker) = (recorder.counts().lost, None);
            // Waits until the disk has written the pending chunks.
            let written = || folder.files.lock().unwrap().values().map(Vec::len).sum::<usize>() as u64;
            while written() < recorder.counts().bytes {
                std::thread::yield_now();
            }
        }
    });
    let counts = recorder.counts();
    // The rest is written when the store is dropped.
    drop(recorder);
    assert!(lost_while_blocked > 1000, "{lost_while_blocked} lost while the disk hung");
    assert_eq!(counts.events + counts.lost, 60_000);
    assert!(notices[0].contains("waiting for the disk"), "{notices:?}");
    let outcomes = folder.outcomes();
    assert!(outcomes.len() >= 2, "a new segment begins when the disk works again");
    assert!(
        outcomes.iter().map(|o| o.missing_events).sum::<u64>() >= lost_while_blocked,
        "the gap states the number of missing events"
    );
}

#[test]
fn the_oldest_segments_go_whole_when_all_would_be_too_much() {
    let folder = MemoryFolder::default();
    // Segments of an earlier incarnation, and of another node whose name starts the same.
    folder.files.lock().unwrap().insert("n1-0000000000000001-00000000.rec".into(), vec![0; 1 << 20]);
    folder.files.lock().unwrap().insert("n1-b-0000000000000001-00000000.rec".into(), vec![0; 1 << 20]);
    let tuning = Tuning { segment_mib: 0.1, most_mib: 0.5, ..tuning() };
    let (counts, _) = record_workload(&folder, tuning, 60_000, |_, _, _| {});
    assert!(counts.segments > 6, "{counts:?}");
    let segments = segments_of_node("n1", folder.clone().list().unwrap());
    let total_bytes: u64 = segments.iter().map(|(_, size)| size).sum();
    assert!(
        total_bytes <= 512 * 1024 && total_bytes > 256 * 1024,
        "{total_bytes} bytes in {} segments",
        segments.len()
    );
    assert!(
        folder.files.lock().unwrap().contains_key("n1-b-0000000000000001-00000000.rec"),
        "the segment of another node stays"
    );
    assert!(
        !segments.iter().any(|(name, _)| name.contains("-0000000000000001-")),
        "the segment of the earlier incarnation is removed first"
    );
    // The remaining segments can be read to the end.
    let files = folder.files.lock().unwrap();
    let last = files.iter().rfind(|(name, _)| name.starts_with("n1-0006")).map(|(_, bytes)| bytes.clone());
    assert!(last.is_some_and(|bytes| replay_identically(&bytes).clean_shutdown));
}

#[test]
fn a_real_folder_is_created_written_and_read() {
    use mothpier_record::store::{Folder, newest_first};
    let folder = std::env::temp_dir().join(format!("record-test-{}", std::process::id()));
    let store = Store::start(Folder(folder.join("deep")), &tuning()).expect("a thread");
    let mut recorder = Recorder::new(tuning(), true, Box::new(store), None);
    run_workload(&mut recorder, 500, 6, |_, _, _| {});
    drop(recorder);
    let mut subfolder = Folder(folder.join("deep"));
    let names = newest_first(&mut subfolder, "n1").expect("a readable folder");
    assert_eq!(names.len(), 1);
    let bytes = std::fs::read(subfolder.0.join(&names[0])).expect("a readable file");
    assert_eq!(replay_identically(&bytes).events, 500);
    assert_eq!(newest_first(&mut subfolder, "n2").expect("a readable folder"), Vec::<String>::new());
    std::fs::remove_dir_all(folder).expect("a folder of this test");
}

#[test]
fn a_record_contains_only_what_the_module_receives() {
    let (bytes, _) = common::record(8, 400);
    let requests = Segment::open(&bytes)
        .unwrap()
        .filter(|e| matches!(&e.body, Body::Event { event: Event::Request(_), .. }));
    assert!(requests.count() > 50);
    // The id that the workload assigns to every client is stored as a checksum only.
    assert!(!bytes.windows(6).any(|w| w == b"client"));
}
