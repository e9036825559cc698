//! The file format: what is written is read back, and corrupted or truncated input is never read as something
//! else.

mod common;

use brassrouter::{CacheResult, Event, LoadReport, Outcome, Status};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use mothpier_record::replay::replay;
use mothpier_record::segment::{MAGIC, Writer};
use proptest::prelude::*;

fn read_all(bytes: &[u8]) -> Vec<Entry> {
    let mut segment = Segment::open(bytes).expect("a header");
    let entries: Vec<Entry> = segment.by_ref().collect();
    assert_eq!(segment.read_error(), None);
    entries
}

#[test]
fn a_workload_is_read_back_and_replays_identically() {
    for seed in 0..20 {
        let (bytes, ends) = common::record(seed, 600);
        let entries = read_all(&bytes);
        assert_eq!(entries.len(), ends.len() - 1, "seed {seed}");
        let (outcome, _) = replay(&mut Segment::open(&bytes).unwrap()).unwrap();
        assert_eq!(
            (outcome.events, outcome.first_difference, outcome.read_error),
            (600, None, None),
            "seed {seed}"
        );
        assert!(
            outcome.actions > 300 && outcome.requests > 100,
            "too few actions or requests to be conclusive"
        );
    }
}

/// Codes of the statuses in stored records: a new status must be appended.
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
fn every_status_is_read_back_and_keeps_its_code() {
    for (number, status) in STATUSES.into_iter().enumerate() {
        let outcome = Outcome {
            request: 0,
            attempt: 0,
            server: 0,
            status,
            request_finished: false,
            cache_result: CacheResult::None,
            duration: 0,
            load: LoadReport::default(),
        };
        let event = Event::Outcome(outcome);
        let mut writer = Writer::begin(&common::header()).expect("a header");
        let mut bytes = writer.take();
        let entry_start = bytes.len();
        writer.begin_event(common::header().started_at, &event, None);
        writer.finish_event([].into_iter());
        bytes.extend(writer.take());
        // Preceded by the entry's length, its kind, and the differences of the time and of the request id
        // (both zero).
        assert_eq!(usize::from(bytes[entry_start + 4]), number, "{status:?}");
        let body = Body::Event { event, client_id_checksum: None, actions: Vec::new() };
        assert_eq!(read_all(&bytes), [Entry { at: common::header().started_at, body }], "{status:?}");
    }
}

/// A power failure or a kill leaves a prefix of the file, of any length.
#[test]
fn a_truncated_segment_is_read_up_to_the_last_complete_entry() {
    let (bytes, ends) = common::record(3, 60);
    let entries = read_all(&bytes);
    for length in 0..bytes.len() {
        let prefix = &bytes[..length];
        let Ok(mut segment) = Segment::open(prefix) else {
            assert!(length < ends[0], "the header is complete at byte {length}");
            continue;
        };
        let entries_read: Vec<Entry> = segment.by_ref().collect();
        let complete_entries = ends[1..].iter().filter(|end| **end <= length).count();
        assert_eq!(entries_read[..], entries[..complete_entries], "truncated at byte {length}");
        match segment.read_error() {
            None => assert!(ends.contains(&length), "truncation at byte {length} was not detected"),
            Some(error) => assert_eq!(error.offset, ends[complete_entries], "truncated at byte {length}"),
        }
    }
}

#[test]
fn a_flipped_bit_is_always_detected() {
    let (bytes, _) = common::record(4, 12);
    let entries = read_all(&bytes);
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        let Ok(mut segment) = Segment::open(&corrupted) else { continue };
        let entries_read: Vec<Entry> = segment.by_ref().collect();
        assert!(segment.read_error().is_some(), "flipped bit {bit} was not detected");
        assert!(
            entries_read.len() < entries.len() && entries_read[..] == entries[..entries_read.len()],
            "bit {bit}"
        );
    }
}

/// Entries that are reordered, left out or duplicated are each intact on their own, but the checksum detects
/// them.
#[test]
fn moved_duplicated_and_missing_entries_are_detected() {
    let (bytes, ends) = common::record(5, 30);
    let entry = |i: usize| &bytes[ends[i]..ends[i + 1]];
    let without = [&bytes[..ends[10]], &bytes[ends[11]..]].concat();
    let twice = [&bytes[..ends[11]], &bytes[ends[10]..]].concat();
    let swapped = [&bytes[..ends[10]], entry(11), entry(10), &bytes[ends[12]..]].concat();
    for (what, corrupted, valid) in
        [("left out", without, 10), ("duplicated", twice, 11), ("swapped", swapped, 10)]
    {
        let mut segment = Segment::open(&corrupted).unwrap();
        assert_eq!(segment.by_ref().count(), valid, "{what}");
        assert!(segment.read_error().is_some(), "{what}");
    }
}

#[test]
fn another_version_and_foreign_files_are_distinguished() {
    let (mut bytes, _) = common::record(1, 2);
    bytes[8] = 2;
    let error_text =
        |bytes: &[u8]| Segment::open(bytes).err().map(|error| error.to_string()).unwrap_or_default();
    assert_eq!(error_text(&bytes), "byte 8: record of another format version; this program reads version 1");
    assert_eq!(error_text(b"{\"version\":1}"), "byte 0: not a record: wrong magic bytes");
    assert_eq!(error_text(b""), "byte 0: unexpected end");
}

#[test]
fn a_state_of_another_layout_needs_a_fresh_module() {
    use mothpier_record::replay::{InitialState, replay_with};
    let mut header = common::header();
    header.state_version += 1;
    let mut writer = mothpier_record::segment::Writer::begin(&header).unwrap();
    writer.write_entry(common::START, &Body::State(vec![1, 2, 3]));
    let bytes = writer.take();
    let mut segment = Segment::open(&bytes).unwrap();
    assert!(replay(&mut segment).err().is_some_and(|e| e.contains("layout")));
    let mut segment = Segment::open(&bytes).unwrap();
    assert!(replay_with(&mut segment, InitialState::RecordedOrFresh, |_, _| {}, |_| {}).is_ok());
}

/// Changes one byte of an entry and corrects the checksums, to produce input that checksums can't reject.
fn forge(bytes: &[u8], ends: &[usize], entry: usize, position: usize, byte: u8) -> Vec<u8> {
    let mut out = bytes.to_vec();
    let body = ends[entry + 1] - ends[entry] - 4;
    out[ends[entry] + position % body] = byte;
    let mut checksum = u32::from_le_bytes(out[ends[entry] - 4..ends[entry]].try_into().unwrap());
    for i in entry..ends.len() - 1 {
        let mut hasher = crc32fast::Hasher::new_with_initial(checksum);
        hasher.update(&out[ends[i]..ends[i + 1] - 4]);
        checksum = hasher.finalize();
        out[ends[i + 1] - 4..ends[i + 1]].copy_from_slice(&checksum.to_le_bytes());
    }
    out
}

proptest! {
    #[test]
    fn forged_entries_never_cause_a_panic(
        seed in 0u64..20, entry in 2usize..40, position in 0usize..64, byte in any::<u8>(),
    ) {
        let (bytes, ends) = common::record(seed, 40);
        let forged = forge(&bytes, &ends, entry, position, byte);
        let mut segment = Segment::open(&forged).unwrap();
        let entries_read = segment.by_ref().count();
        prop_assert!(entries_read >= entry - 1);
    }

    #[test]
    fn random_bytes_never_cause_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200), with_header in any::<bool>()) {
        if with_header {
            let (valid, ends) = common::record(2, 3);
            let mut all = valid[..ends[2]].to_vec();
            all.extend(&bytes);
            bytes = all;
            prop_assert_eq!(&bytes[..8], &MAGIC[..]);
        }
        if let Ok(segment) = Segment::open(&bytes) {
            prop_assert!(segment.count() >= 2);
        }
    }
}
