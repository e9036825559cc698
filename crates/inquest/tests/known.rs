//! Faults that were fixed, each kept as a record of the decisions of the old module: the current module must
//! make another decision at the same entry, and the same decisions up to there.

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
    /// What the fault was.
    what: String,
    /// Title of the commit that fixed it.
    mended: String,
    /// How the record was made.
    made: String,
    /// The entry at which the decisions differ, and the old and the new decision.
    entry: u64,
    parts: String,
}

#[test]
fn each_fixed_fault_leads_to_another_decision_at_the_same_entry() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../records");
    let text = std::fs::read_to_string(format!("{folder}/index.toml")).expect("an index");
    let index: Index = toml::from_str(&text).expect("a valid index");
    assert!(!index.record.is_empty());
    let mut files: Vec<String> = std::fs::read_dir(folder)
        .expect("the folder")
        .filter_map(|e| e.ok()?.file_name().into_string().ok())
        .filter(|name| name.ends_with(".rec"))
        .collect();
    files.sort();
    let mut named: Vec<String> = index.record.iter().map(|k| k.file.clone()).collect();
    named.sort();
    assert_eq!(files, named, "the index must list exactly the records of the folder");
    for known in index.record {
        let Known { file, what, mended, made, entry, parts } = known;
        assert!(
            !what.is_empty() && !mended.is_empty() && !made.is_empty(),
            "{file}: the index entry is incomplete"
        );
        let bytes = std::fs::read(format!("{folder}/{file}")).expect("the record");
        let mut segment = Segment::open(&bytes).expect("a header");
        assert_eq!(
            segment.header.state_version,
            brassrouter::STATE_VERSION,
            "{file}: recorded by a module with another state layout"
        );
        let (divergence_found, first) = find_divergence(&mut segment).expect("a record that can be replayed");
        assert_eq!(segment.read_error(), None, "{file}");
        let first = first.unwrap_or_else(|| panic!("{file}: no decision differs: the fault is back: {what}"));
        assert_eq!(first.entry, entry, "{file}: the decisions differ elsewhere: {first:?}");
        assert!(divergence_found.changes.contains_key(&parts), "{file}: {:?}", divergence_found.changes);
    }
}
