//! Reads stored records. Errors name the file and, if known, the place in it.

use std::fmt;
use std::path::{Path, PathBuf};

use crate::record::{RunRecord, VERSION};

/// Why a record, or a set of records, cannot be used.
#[derive(Debug)]
pub enum RecordError {
    /// The file or folder cannot be read.
    Unreadable {
        /// The path.
        path: PathBuf,
        /// The reason.
        error: std::io::Error,
    },
    /// The file is not a valid record: invalid JSON, or an unknown or missing key.
    Malformed {
        /// The file.
        path: PathBuf,
        /// The reason and the place.
        error: serde_json::Error,
    },
    /// The record has another version.
    Version {
        /// The file.
        path: PathBuf,
        /// Its version, if it has one.
        found: Option<u64>,
    },
    /// A value that cannot be negative is.
    Negative {
        /// The file.
        path: PathBuf,
        /// The run in the file, from 0, and the negative value.
        place: String,
    },
    /// The records belong to several scenarios, hosts or states, which cannot be fitted together.
    Mixed {
        /// The first file.
        path: PathBuf,
        /// What it contains.
        holds: String,
        /// The first file with something else.
        other_path: PathBuf,
        /// What that file contains.
        other: String,
    },
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Unreadable { path, error } => {
                write!(f, "cannot read {}: {error}", path.display())
            }
            RecordError::Malformed { path, error } => {
                write!(f, "{}, line {}, column {}: {error}", path.display(), error.line(), error.column())
            }
            RecordError::Version { path, found: Some(found) } => {
                write!(f, "{}: version {found}, and this program reads version {VERSION}", path.display())
            }
            RecordError::Version { path, found: None } => {
                write!(f, "{}: not a run record: it has no version", path.display())
            }
            RecordError::Negative { path, place } => {
                write!(f, "{}: {place} is below 0", path.display())
            }
            RecordError::Mixed { path, holds, other_path, other } => write!(
                f,
                "{} holds {holds}, and {} holds {other}: only runs of the same kind can be fitted together",
                path.display(),
                other_path.display()
            ),
        }
    }
}

impl std::error::Error for RecordError {}

/// Reads one record. A record of another version is reported as such, whatever else is wrong with it.
///
/// # Errors
/// What is wrong with the record, and where.
pub fn read(path: &Path) -> Result<RunRecord, RecordError> {
    let unreadable = |error| RecordError::Unreadable { path: path.into(), error };
    let malformed = |error| RecordError::Malformed { path: path.into(), error };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let json: serde_json::Value = serde_json::from_str(&text).map_err(malformed)?;
    let found = json.get("version").and_then(serde_json::Value::as_u64);
    if found != Some(u64::from(VERSION)) {
        return Err(RecordError::Version { path: path.into(), found });
    }
    let record: RunRecord = serde_json::from_str(&text).map_err(malformed)?;
    match first_negative(&record) {
        Some(place) => Err(RecordError::Negative { path: path.into(), place }),
        None => Ok(record),
    }
}

/// The first value of a record that is negative although it cannot be. Memory and processor time may be
/// negative, since they are differences from a run without members.
fn first_negative(record: &RunRecord) -> Option<String> {
    for (index, run) in record.runs.iter().enumerate() {
        for (role, cost) in &run.roles {
            let values = [
                ("messages_in_per_s", cost.messages_in_per_s),
                ("messages_out_per_s", cost.messages_out_per_s),
                ("bytes_in_per_s", cost.bytes_in_per_s),
                ("bytes_out_per_s", cost.bytes_out_per_s),
                ("connections", cost.connections),
            ];
            if let Some((name, _)) = values.iter().find(|(_, value)| *value < 0.0) {
                return Some(format!("run {index}, {role:?}, {name}"));
            }
        }
        if run.sums.iter().any(|sum| sum.allowed < 0.0 || sum.peak < 0.0 || sum.bound < 0.0) {
            return Some(format!("run {index}, a sum"));
        }
        if run.spreads.iter().any(|spread| spread.last_s < 0.0) {
            return Some(format!("run {index}, a spread"));
        }
    }
    None
}

/// Reads all `.json` files of a folder, ordered by name. A missing folder counts as empty.
///
/// # Errors
/// The first file that cannot be read.
pub fn read_folder(folder: &Path) -> Result<Vec<(PathBuf, RunRecord)>, RecordError> {
    let unreadable = |error| RecordError::Unreadable { path: folder.into(), error };
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(unreadable(error)),
    };
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry.map_err(unreadable)?.path());
    }
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
    paths.sort();
    paths.into_iter().map(|path| read(&path).map(|record| (path, record))).collect()
}

/// Describes what a record contains runs of.
pub fn describe_kind(record: &RunRecord) -> String {
    format!(
        "scenario {}, host {}, state {}",
        record.scenario,
        serialized_name(&record.host),
        serialized_name(&record.state)
    )
}

/// Checks whether all records are of the same scenario, host and state.
///
/// # Errors
/// The first record that differs.
pub fn check_one_kind(records: &[(PathBuf, RunRecord)]) -> Result<(), RecordError> {
    let Some((path, first)) = records.first() else { return Ok(()) };
    match records.iter().find(|(_, record)| describe_kind(record) != describe_kind(first)) {
        Some((other_path, record)) => Err(RecordError::Mixed {
            path: path.clone(),
            holds: describe_kind(first),
            other_path: other_path.clone(),
            other: describe_kind(record),
        }),
        None => Ok(()),
    }
}

/// The name of an enum value in the record format.
pub fn serialized_name(value: &impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
