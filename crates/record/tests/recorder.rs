//! The recorder and its store when the disk is full, slow, gone or failing: record is lost, said once, counted and
//! marked; the node is told nothing else.

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
use mothpier_record::store::{Direct, Files, Output, Store, of_node};
use mothpier_record::{Header, Recorder, Segment, Tuning};

/// Plays a made-up day with a recorder; the lines that it gave for the log.
fn play(
    recorder: &mut Recorder,
    events: usize,
    seed: u64,
    mut each: impl FnMut(usize, &mut Recorder, Micros),
) -> Vec<String> {
    let mut policy = common::policy(seed);
    let mut day = common::Day::new(seed);
    let mut notices = Vec::new();
    recorder.start("n1", seed, &common::site(), common::BEGIN);
    for i in 0..events {
        let event = day.next();
        each(i, recorder, day.now);
        let mut actions = Vec::new();
        notices.extend(recorder.record_event(day.now, &policy, &event, None));
        policy.handle(day.now, event, &mut actions);
        day.take(&actions);
        notices.extend(recorder.record_actions(day.now, &actions));
    }
    notices.extend(recorder.finish(day.now));
    notices
}

fn replayed(bytes: &[u8]) -> Outcome {
    let (outcome, _) = replay(&mut Segment::open(bytes).expect("a header")).expect("a record");
    assert_eq!(outcome.first_difference, None, "what was recorded is played again identically");
    outcome
}

type Kept = Rc<RefCell<Vec<(u32, Vec<u8>)>>>;

/// A sink that refuses the pieces of some numbers.
struct Choosy {
    number: u32,
    refuse: std::ops::Range<u32>,
    kept: Kept,
}

impl Sink for Choosy {
    fn write(&mut self, header: &Header, first: bool, piece: Chunk) -> Result<(), String> {
        self.number += 1;
        if self.refuse.contains(&self.number) {
            return Err("no room".into());
        }
        let mut kept = self.kept.borrow_mut();
        if first {
            kept.push((header.number, piece.bytes));
        } else {
            kept.last_mut().expect("a segment that has begun").1.extend(piece.bytes);
        }
        Ok(())
    }

    fn take_dropped_events(&mut self) -> u64 {
        0
    }
}

fn figures() -> Tuning {
    Tuning { again_ms: 200.0, ..Tuning::default() }
}

#[test]
fn what_the_sink_refuses_is_lost_said_once_counted_and_marked() {
    let kept = Kept::default();
    let sink = Choosy { number: 0, refuse: 5..9, kept: kept.clone() };
    let mut recorder = Recorder::new(figures(), true, Box::new(sink), None);
    let notices = play(&mut recorder, 3000, 1, |_, _, _| {});
    let Counts { events, lost, refused, .. } = recorder.counts();
    assert_eq!(events + lost, 3000, "every event is either recorded or counted as lost");
    // Each try waits twice as long as the one before: 0.2, 0.4, 0.8 and 1.6 s at some 130 events a second.
    assert!((300..800).contains(&lost) && refused == 4, "{lost} lost, {refused} refused");
    assert_eq!(notices.iter().filter(|n| n.contains("gap")).count(), 1, "{notices:?}");
    assert_eq!(notices.iter().filter(|n| n.contains("recording again")).count(), 1, "{notices:?}");
    let kept = kept.borrow();
    let played: Vec<Outcome> = kept.iter().map(|(_, bytes)| replayed(bytes)).collect();
    assert_eq!(played.iter().map(|o| o.events).sum::<u64>(), events);
    assert_eq!(played.iter().map(|o| o.missing_events).sum::<u64>(), lost, "the gap says how much it is");
    assert!(played.last().is_some_and(|o| o.clean_shutdown));
}

#[test]
fn segments_end_when_they_have_grown_and_each_can_be_read_alone() {
    let kept = Kept::default();
    let sink = Choosy { number: 0, refuse: 0..0, kept: kept.clone() };
    let figures = Tuning { segment_mib: 0.05, most_mib: 2.0, ..figures() };
    let mut recorder = Recorder::new(figures, true, Box::new(sink), None);
    assert_eq!(play(&mut recorder, 12_000, 2, |_, _, _| {}), Vec::<String>::new());
    let kept = kept.borrow();
    assert!(kept.len() > 3, "{} segments", kept.len());
    assert_eq!(kept.iter().map(|(_, bytes)| replayed(bytes).events).sum::<u64>(), 12_000);
    assert!(kept.iter().all(|(_, bytes)| bytes.len() < 80_000), "a segment grows little past its size");
}

#[test]
fn it_starts_and_stops_while_the_node_runs() {
    let kept = Kept::default();
    let sink = Choosy { number: 0, refuse: 0..0, kept: kept.clone() };
    let mut recorder = Recorder::new(figures(), false, Box::new(sink), None);
    let mut said = Vec::new();
    play(&mut recorder, 1000, 3, |i, recorder, now| match i {
        300 => said.extend(recorder.set_enabled(true, now)),
        600 => said.extend(recorder.set_enabled(false, now)),
        _ => {}
    });
    let kept = kept.borrow();
    assert_eq!((said.len(), kept.len()), (2, 1), "{said:?}");
    let outcome = replayed(&kept[0].1);
    assert_eq!((outcome.events, outcome.clean_shutdown, outcome.missing_events), (300, true, 0));
}

/// A folder in memory with room for so many bytes, where a test holds the writing up.
#[derive(Clone, Default)]
struct Shelf {
    files: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    room: Arc<Mutex<Option<usize>>>,
    gone: Arc<Mutex<bool>>,
    gate: Option<Arc<Mutex<Receiver<()>>>>,
}

struct OnShelf(Shelf, String);

impl Write for OnShelf {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(gate) = &self.0.gate {
            // The sender is dropped when the disk is to be quick again.
            let _ = gate.lock().unwrap().recv();
        }
        if *self.0.gone.lock().unwrap() {
            return Err(io::Error::from(io::ErrorKind::NotFound));
        }
        let mut room = self.0.room.lock().unwrap();
        let count = room.map_or(bytes.len(), |room| room.min(bytes.len()));
        if count == 0 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        if let Some(room) = &mut *room {
            *room -= count;
        }
        self.0.files.lock().unwrap().entry(self.1.clone()).or_default().extend(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output for OnShelf {
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Files for Shelf {
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Output>> {
        if *self.gone.lock().unwrap() {
            return Err(io::Error::from(io::ErrorKind::NotFound));
        }
        self.files.lock().unwrap().insert(name.into(), Vec::new());
        Ok(Box::new(OnShelf(self.clone(), name.into())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.lock().unwrap().remove(name).map(drop).ok_or(io::Error::from(io::ErrorKind::NotFound))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Ok(self.files.lock().unwrap().iter().map(|(n, b)| (n.clone(), b.len() as u64)).collect())
    }
}

impl Shelf {
    /// What can be read of each file, whole entries only, oldest first.
    fn outcomes(&self) -> Vec<Outcome> {
        let files = self.files.lock().unwrap();
        files.values().filter(|b| !b.is_empty()).map(|bytes| replayed(bytes)).collect()
    }
}

fn record(
    shelf: &Shelf,
    figures: Tuning,
    events: usize,
    each: impl FnMut(usize, &mut Recorder, Micros),
) -> (Counts, Vec<String>) {
    let store = Direct::new(shelf.clone(), &figures);
    let mut recorder = Recorder::new(figures, true, Box::new(store), None);
    let notices = play(&mut recorder, events, 5, each);
    (recorder.counts(), notices)
}

#[test]
fn on_a_good_disk_everything_is_there_when_the_node_has_ended() {
    let shelf = Shelf::default();
    let (counts, notices) = record(&shelf, figures(), 4000, |_, _, _| {});
    let outcomes = shelf.outcomes();
    assert_eq!((outcomes.len(), outcomes[0].events, outcomes[0].clean_shutdown), (1, 4000, true));
    assert_eq!((counts.events, counts.lost, notices.len()), (4000, 0, 0), "{notices:?}");
}

#[test]
fn on_a_full_disk_a_torn_beginning_stays_and_the_loss_is_told() {
    let shelf = Shelf::default();
    *shelf.room.lock().unwrap() = Some(20_000);
    let (counts, notices) = record(&shelf, figures(), 12_000, |_, _, _| {});
    let outcomes = shelf.outcomes();
    assert!(outcomes[0].events > 100 && !outcomes[0].clean_shutdown, "{outcomes:?}");
    assert_eq!(counts.events + counts.lost, 12_000);
    assert_eq!(notices.len(), 1, "said once: {notices:?}");
    assert!(notices[0].contains("no storage space"), "{notices:?}");
    // Some 90 s of tries 0.2 s apart at first and 12.8 s at last.
    assert!((8..16).contains(&counts.segments), "ever more seldom: {counts:?}");
}

#[test]
fn a_folder_that_vanishes_costs_record_until_it_is_back() {
    let shelf = Shelf::default();
    let path = shelf.clone();
    let (counts, notices) = record(&shelf, figures(), 30_000, |i, _, _| {
        if i == 5_000 || i == 6_000 {
            *path.gone.lock().unwrap() = i == 5_000;
        }
    });
    let outcomes = shelf.outcomes();
    assert_eq!(notices.len(), 2, "{notices:?}");
    assert!(notices[0].contains("cannot write") && notices[1].contains("recording again"), "{notices:?}");
    assert_eq!(counts.events + counts.lost, 30_000);
    let last = outcomes.last().expect("a segment");
    assert_eq!((last.clean_shutdown, last.missing_events), (true, counts.lost), "the gap is marked");
}

/// On the store's own thread: the writing hangs, and goes on at a moment that the test chooses.
#[test]
fn a_disk_that_hangs_holds_nobody_up_and_its_gap_is_marked_once_it_goes_on() {
    let (hold, gate): (Sender<()>, Receiver<()>) = channel();
    let shelf = Shelf { gate: Some(Arc::new(Mutex::new(gate))), ..Shelf::default() };
    let figures = Tuning { wait_mib: 0.25, ..figures() };
    let store = Store::start(shelf.clone(), &figures).expect("a thread");
    let mut recorder = Recorder::new(figures, true, Box::new(store), None);
    let (mut hold, mut told) = (Some(hold), 0);
    let notices = play(&mut recorder, 60_000, 5, |i, recorder, _| {
        if i == 30_000 {
            (told, hold) = (recorder.counts().lost, None);
            // Until the disk has taken what waited.
            let written = || shelf.files.lock().unwrap().values().map(Vec::len).sum::<usize>() as u64;
            while written() < recorder.counts().bytes {
                std::thread::yield_now();
            }
        }
    });
    let counts = recorder.counts();
    // The rest is written when the store is dropped.
    drop(recorder);
    assert!(told > 1000, "{told} lost while it hung");
    assert_eq!(counts.events + counts.lost, 60_000);
    assert!(notices[0].contains("wait for the disk"), "{notices:?}");
    let outcomes = shelf.outcomes();
    assert!(outcomes.len() >= 2, "a new segment begins once it goes on");
    assert!(outcomes.iter().map(|o| o.missing_events).sum::<u64>() >= told, "the gap says how much it is");
}

#[test]
fn the_oldest_segments_go_whole_when_all_would_be_too_much() {
    let shelf = Shelf::default();
    // Of an earlier life, and of another node with a longer name.
    shelf.files.lock().unwrap().insert("n1-0000000000000001-00000000.rec".into(), vec![0; 1 << 20]);
    shelf.files.lock().unwrap().insert("n1-b-0000000000000001-00000000.rec".into(), vec![0; 1 << 20]);
    let figures = Tuning { segment_mib: 0.1, most_mib: 0.5, ..figures() };
    let (counts, _) = record(&shelf, figures, 60_000, |_, _, _| {});
    assert!(counts.segments > 6, "{counts:?}");
    let own = of_node("n1", shelf.clone().list().unwrap());
    let all: u64 = own.iter().map(|(_, size)| size).sum();
    assert!(all <= 512 * 1024 && all > 256 * 1024, "{all} bytes in {} segments", own.len());
    assert!(
        shelf.files.lock().unwrap().contains_key("n1-b-0000000000000001-00000000.rec"),
        "another node's stays"
    );
    assert!(
        !own.iter().any(|(name, _)| name.contains("-0000000000000001-")),
        "the earlier life's went first"
    );
    // What is left reads to its end, the newest ones in a row.
    let files = shelf.files.lock().unwrap();
    let last = files.iter().rfind(|(name, _)| name.starts_with("n1-0006")).map(|(_, bytes)| bytes.clone());
    assert!(last.is_some_and(|bytes| replayed(&bytes).clean_shutdown));
}

#[test]
fn a_real_folder_is_made_written_and_read() {
    use mothpier_record::store::{Folder, newest_first};
    let folder = std::env::temp_dir().join(format!("record-test-{}", std::process::id()));
    let store = Store::start(Folder(folder.join("deep")), &figures()).expect("a thread");
    let mut recorder = Recorder::new(figures(), true, Box::new(store), None);
    play(&mut recorder, 500, 6, |_, _, _| {});
    drop(recorder);
    let mut deep = Folder(folder.join("deep"));
    let names = newest_first(&mut deep, "n1").expect("it can be listed");
    assert_eq!(names.len(), 1);
    let bytes = std::fs::read(deep.0.join(&names[0])).expect("it can be read");
    assert_eq!(replayed(&bytes).events, 500);
    assert_eq!(newest_first(&mut deep, "n2").expect("it can be listed"), Vec::<String>::new());
    std::fs::remove_dir_all(folder).expect("it was made here");
}

#[test]
fn a_record_holds_no_more_of_an_event_than_the_module_is_told() {
    let (bytes, _) = common::record(8, 400);
    let told = Segment::open(&bytes)
        .unwrap()
        .filter(|e| matches!(&e.body, Body::Event { event: Event::Request(_), .. }));
    assert!(told.count() > 50);
    // The id that the driver gives for every client is there by its checksum only.
    assert!(!bytes.windows(6).any(|w| w == b"client"));
}
