//! The format: what is written is read back, and nothing else ever is.

mod common;

use brassrouter::{CacheResult, Event, LoadReport, Outcome, Status};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use mothpier_record::replay::replay;
use mothpier_record::segment::{MAGIC, Writer};
use proptest::prelude::*;

fn whole(bytes: &[u8]) -> Vec<Entry> {
    let mut segment = Segment::open(bytes).expect("a header");
    let entries: Vec<Entry> = segment.by_ref().collect();
    assert_eq!(segment.read_error(), None);
    entries
}

#[test]
fn a_day_is_read_back_and_comes_to_the_same_actions() {
    for seed in 0..20 {
        let (bytes, ends) = common::record(seed, 600);
        let entries = whole(&bytes);
        assert_eq!(entries.len(), ends.len() - 1, "seed {seed}");
        let (outcome, _) = replay(&mut Segment::open(&bytes).unwrap()).unwrap();
        assert_eq!(
            (outcome.events, outcome.first_difference, outcome.read_error),
            (600, None, None),
            "seed {seed}"
        );
        assert!(
            outcome.actions > 300 && outcome.requests > 100,
            "a day in which little happens shows little"
        );
    }
}

/// The numbers that statuses have in records that are kept: a new one goes to the end.
const STATUSES: [Status; 10] = [
    Status::Served,
    Status::Miss,
    Status::Error,
    Status::Full,
    Status::TimedOut,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
    Status::LocalFailure,
];

#[test]
fn every_status_is_read_back_and_keeps_its_number() {
    for (number, status) in STATUSES.into_iter().enumerate() {
        let ended = Outcome {
            request: 0,
            attempt: 0,
            server: 0,
            status,
            request_finished: false,
            cache_result: CacheResult::None,
            duration: 0,
            load: LoadReport::default(),
        };
        let event = Event::Outcome(ended);
        let mut writer = Writer::begin(&common::header()).expect("a header");
        let mut bytes = writer.take();
        let begin = bytes.len();
        writer.event(common::header().started_at, &event, None);
        writer.actions([].into_iter());
        bytes.extend(writer.take());
        // The entry's length, its kind, and no steps of time and of the request's id come before it.
        assert_eq!(usize::from(bytes[begin + 4]), number, "{status:?}");
        let body = Body::Event { event, reference: None, actions: Vec::new() };
        assert_eq!(whole(&bytes), [Entry { at: common::header().started_at, body }], "{status:?}");
    }
}

/// A power cut or a kill leaves a beginning of the file, of any length.
#[test]
fn torn_at_every_byte_it_reads_up_to_the_last_whole_entry_and_says_where_it_stopped() {
    let (bytes, ends) = common::record(3, 60);
    let entries = whole(&bytes);
    for length in 0..bytes.len() {
        let part = &bytes[..length];
        let Ok(mut segment) = Segment::open(part) else {
            assert!(length < ends[0], "the header is whole at byte {length}");
            continue;
        };
        let read: Vec<Entry> = segment.by_ref().collect();
        let held = ends[1..].iter().filter(|end| **end <= length).count();
        assert_eq!(read[..], entries[..held], "cut at byte {length}");
        match segment.read_error() {
            None => assert!(ends.contains(&length), "a cut at byte {length} went unnoticed"),
            Some(torn) => assert_eq!(torn.at, ends[held], "cut at byte {length}"),
        }
    }
}

#[test]
fn a_bit_flipped_anywhere_is_never_read_as_something_else() {
    let (bytes, _) = common::record(4, 12);
    let entries = whole(&bytes);
    for bit in 0..bytes.len() * 8 {
        let mut spoilt = bytes.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        let Ok(mut segment) = Segment::open(&spoilt) else { continue };
        let read: Vec<Entry> = segment.by_ref().collect();
        assert!(segment.read_error().is_some(), "bit {bit} flipped unnoticed");
        assert!(read.len() < entries.len() && read[..] == entries[..read.len()], "bit {bit}");
    }
}

/// Entries that are put in another order, left out or doubled are each whole in themselves.
#[test]
fn entries_stand_only_where_they_were_written() {
    let (bytes, ends) = common::record(5, 30);
    let piece = |i: usize| &bytes[ends[i]..ends[i + 1]];
    let without = [&bytes[..ends[10]], &bytes[ends[11]..]].concat();
    let twice = [&bytes[..ends[11]], &bytes[ends[10]..]].concat();
    let swapped = [&bytes[..ends[10]], piece(11), piece(10), &bytes[ends[12]..]].concat();
    for (what, spoilt, good) in [("left out", without, 10), ("doubled", twice, 11), ("swapped", swapped, 10)]
    {
        let mut segment = Segment::open(&spoilt).unwrap();
        assert_eq!(segment.by_ref().count(), good, "{what}");
        assert!(segment.read_error().is_some(), "{what}");
    }
}

#[test]
fn another_version_and_no_record_at_all_are_told_apart() {
    let (mut bytes, _) = common::record(1, 2);
    bytes[8] = 2;
    let why = |bytes: &[u8]| Segment::open(bytes).err().map(|torn| torn.to_string()).unwrap_or_default();
    assert_eq!(why(&bytes), "byte 8: a record of another version; this program reads version 1");
    assert_eq!(why(b"{\"version\":1}"), "byte 0: no record: it does not begin as one");
    assert_eq!(why(b""), "byte 0: it ends too early");
}

#[test]
fn a_state_of_another_layout_is_refused_unless_the_module_may_differ() {
    use mothpier_record::replay::{InitialState, replay_with};
    let mut header = common::header();
    header.state_version += 1;
    let mut writer = mothpier_record::segment::Writer::begin(&header).unwrap();
    writer.entry(common::BEGIN, &Body::State(vec![1, 2, 3]));
    let bytes = writer.take();
    let mut segment = Segment::open(&bytes).unwrap();
    assert!(replay(&mut segment).err().is_some_and(|e| e.contains("layout")));
    let mut segment = Segment::open(&bytes).unwrap();
    assert!(replay_with(&mut segment, InitialState::Best, |_, _| {}, |_| {}).is_ok());
}

/// The same bytes with a body changed and the checksums made good: what a checksum can't keep out.
fn forge(bytes: &[u8], ends: &[usize], entry: usize, at: usize, to: u8) -> Vec<u8> {
    let mut out = bytes.to_vec();
    let body = ends[entry + 1] - ends[entry] - 4;
    out[ends[entry] + at % body] = to;
    let mut sum = u32::from_le_bytes(out[ends[entry] - 4..ends[entry]].try_into().unwrap());
    for i in entry..ends.len() - 1 {
        let mut hasher = crc32fast::Hasher::new_with_initial(sum);
        hasher.update(&out[ends[i]..ends[i + 1] - 4]);
        sum = hasher.finalize();
        out[ends[i + 1] - 4..ends[i + 1]].copy_from_slice(&sum.to_le_bytes());
    }
    out
}

proptest! {
    #[test]
    fn forged_entries_are_read_or_refused_and_nothing_else(
        seed in 0u64..20, entry in 2usize..40, at in 0usize..64, to in any::<u8>(),
    ) {
        let (bytes, ends) = common::record(seed, 40);
        let forged = forge(&bytes, &ends, entry, at, to);
        let mut segment = Segment::open(&forged).unwrap();
        let read = segment.by_ref().count();
        prop_assert!(read >= entry - 1);
    }

    #[test]
    fn any_bytes_are_read_or_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..200), begin in any::<bool>()) {
        if begin {
            let (good, ends) = common::record(2, 3);
            let mut all = good[..ends[2]].to_vec();
            all.extend(&bytes);
            bytes = all;
            prop_assert_eq!(&bytes[..8], &MAGIC[..]);
        }
        if let Ok(segment) = Segment::open(&bytes) {
            prop_assert!(segment.count() >= 2);
        }
    }
}
