//! The runs that are kept, grouped into those that one fit may go through.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::record::{FleetState, Run, RunRecord};
use crate::records::word;
use crate::report::{Fitted, fit_all};

/// Runs of one scenario, host and state.
#[derive(Debug)]
pub struct Kept<'a> {
    /// Their name in tables.
    pub name: String,
    /// The state that the fleet was in.
    pub state: FleetState,
    /// The records that hold them.
    pub records: Vec<&'a RunRecord>,
    /// Fits of all series but those that are 0 in every run.
    pub fits: Vec<Fitted>,
}

/// The name of a record's runs in tables.
fn name(record: &RunRecord) -> String {
    format!("{} ({}, {})", record.scenario, word(&record.host), word(&record.state))
}

/// Groups records, in the order of their names.
pub fn group(records: &[(PathBuf, RunRecord)]) -> Vec<Kept<'_>> {
    let mut by_name: BTreeMap<String, Vec<&RunRecord>> = BTreeMap::new();
    for (_, record) in records {
        by_name.entry(name(record)).or_default().push(record);
    }
    let mut kept = Vec::new();
    for (name, records) in by_name {
        let runs: Vec<&Run> = records.iter().flat_map(|record| &record.runs).collect();
        let mut fits = fit_all(&runs);
        fits.retain(|fitted| !fitted.is_nothing());
        kept.push(Kept { name, state: records[0].state, records, fits });
    }
    kept
}
