//! Failures that were found and mended, each kept as a record of what the old module decided: the present module must
//! come to another choice at the same place, and to the same one up to there.

use chalksill_inquest::divergence::find_divergence;
use mothpier_record::Segment;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Index {
    record: Vec<Known>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Known {
    file: String,
    /// What it was.
    what: String,
    /// Title of the commit that mended it.
    mended: String,
    /// How the record was made.
    made: String,
    /// The entry at which the choices part, and from what to what.
    entry: u64,
    parts: String,
}

#[test]
fn each_known_failure_is_decided_otherwise_now_and_at_the_same_place() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../records");
    let text = std::fs::read_to_string(format!("{folder}/index.toml")).expect("an index");
    let index: Index = toml::from_str(&text).expect("an index that can be read");
    assert!(!index.record.is_empty());
    let mut files: Vec<String> = std::fs::read_dir(folder)
        .expect("the folder")
        .filter_map(|e| e.ok()?.file_name().into_string().ok())
        .filter(|name| name.ends_with(".rec"))
        .collect();
    files.sort();
    let mut named: Vec<String> = index.record.iter().map(|k| k.file.clone()).collect();
    named.sort();
    assert_eq!(files, named, "every record is in the index, and the other way round");
    for known in index.record {
        let Known { file, what, mended, made, entry, parts } = known;
        assert!(
            !what.is_empty() && !mended.is_empty() && !made.is_empty(),
            "{file}: the index says too little"
        );
        let bytes = std::fs::read(format!("{folder}/{file}")).expect("the record");
        let mut segment = Segment::open(&bytes).expect("a header");
        assert_eq!(
            segment.header.state_version,
            brassrouter::STATE_VERSION,
            "{file}: made by a module of another layout"
        );
        let (parting, first) = find_divergence(&mut segment).expect("it can be played");
        assert_eq!(segment.read_error(), None, "{file}");
        let first = first.unwrap_or_else(|| panic!("{file}: nothing differs: {what} is back"));
        assert_eq!(first.entry, entry, "{file}: the choices part elsewhere: {first:?}");
        assert!(parting.changes.contains_key(&parts), "{file}: {:?}", parting.changes);
    }
}
