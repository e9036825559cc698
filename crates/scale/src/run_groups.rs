//! Groups stored runs into those that may be fitted together.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::record::{FleetState, Run, RunRecord};
use crate::records::serialized_name;
use crate::report::{FittedSeries, fit_all};

/// Runs of the same scenario, host and state.
#[derive(Debug)]
pub struct RunGroup<'a> {
    /// The name in tables.
    pub name: String,
    /// The state in which the fleet was measured.
    pub state: FleetState,
    /// The records that contain the runs.
    pub records: Vec<&'a RunRecord>,
    /// Fits of all series except those that are 0 in every run.
    pub fits: Vec<FittedSeries>,
}

/// The name of a record's runs in tables.
fn name(record: &RunRecord) -> String {
    format!("{} ({}, {})", record.scenario, serialized_name(&record.host), serialized_name(&record.state))
}

/// Groups records by name, in the order of names.
pub fn group_records(records: &[(PathBuf, RunRecord)]) -> Vec<RunGroup<'_>> {
    let mut by_name: BTreeMap<String, Vec<&RunRecord>> = BTreeMap::new();
    for (_, record) in records {
        by_name.entry(name(record)).or_default().push(record);
    }
    let mut groups = Vec::new();
    for (name, records) in by_name {
        let runs: Vec<&Run> = records.iter().flat_map(|record| &record.runs).collect();
        let mut fits = fit_all(&runs);
        fits.retain(|fitted| !fitted.is_zero());
        groups.push(RunGroup { name, state: records[0].state, records, fits });
    }
    groups
}
