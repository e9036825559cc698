//! Reading kept records. What can't be read is told with its file, and its place there where it is known.

use std::fmt;
use std::path::{Path, PathBuf};

use crate::record::{RunRecord, VERSION};

/// Why a record, or several together, can't be used.
#[derive(Debug)]
pub enum RecordError {
    /// The file or folder can't be read.
    Unreadable {
        /// Which.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// It is no record: bad JSON, an unknown key, or a missing one.
    Malformed {
        /// The file.
        path: PathBuf,
        /// What and where.
        error: serde_json::Error,
    },
    /// A record of another version.
    Version {
        /// The file.
        path: PathBuf,
        /// Its version, where it names one.
        found: Option<u64>,
    },
    /// A figure that can't be measured: below 0.
    Negative {
        /// The file.
        path: PathBuf,
        /// The run in it, from 0, and what is negative there.
        place: String,
    },
    /// Records of several scenarios, hosts or states, which no fit can go through.
    Mixed {
        /// The first file.
        path: PathBuf,
        /// What it holds.
        holds: String,
        /// The first that holds something else.
        other_path: PathBuf,
        /// What that one holds.
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
                write!(f, "{}: no record of a run: it names no version", path.display())
            }
            RecordError::Negative { path, place } => {
                write!(f, "{}: {place} is below 0", path.display())
            }
            RecordError::Mixed { path, holds, other_path, other } => write!(
                f,
                "{} holds {holds}, and {} holds {other}: one fit goes through runs of one kind",
                path.display(),
                other_path.display()
            ),
        }
    }
}

impl std::error::Error for RecordError {}

/// Reads one record. One of another version is said to be one, whatever else is in it.
///
/// # Errors
/// What is wrong with it, and where.
pub fn read(path: &Path) -> Result<RunRecord, RecordError> {
    let unreadable = |error| RecordError::Unreadable { path: path.into(), error };
    let malformed = |error| RecordError::Malformed { path: path.into(), error };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let any: serde_json::Value = serde_json::from_str(&text).map_err(malformed)?;
    let found = any.get("version").and_then(serde_json::Value::as_u64);
    if found != Some(u64::from(VERSION)) {
        return Err(RecordError::Version { path: path.into(), found });
    }
    let record: RunRecord = serde_json::from_str(&text).map_err(malformed)?;
    match negative(&record) {
        Some(place) => Err(RecordError::Negative { path: path.into(), place }),
        None => Ok(record),
    }
}

/// The first figure of a record that is below 0, where there is one. Memory and processor time may be: they are differences from a
/// run without members.
fn negative(record: &RunRecord) -> Option<String> {
    for (index, run) in record.runs.iter().enumerate() {
        for (role, cost) in &run.roles {
            let figures = [
                ("messages_in_per_s", cost.messages_in_per_s),
                ("messages_out_per_s", cost.messages_out_per_s),
                ("bytes_in_per_s", cost.bytes_in_per_s),
                ("bytes_out_per_s", cost.bytes_out_per_s),
                ("connections", cost.connections),
            ];
            if let Some((name, _)) = figures.iter().find(|(_, figure)| *figure < 0.0) {
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

/// Reads every `.json` file of a folder, in the order of names. A folder that is not there holds none.
///
/// # Errors
/// The first that can't be read.
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

/// What a record holds runs of, in words.
pub fn kind(record: &RunRecord) -> String {
    format!("scenario {}, host {}, state {}", record.scenario, word(&record.host), word(&record.state))
}

/// Looks whether all records are of one scenario, host and state.
///
/// # Errors
/// The first that is not.
pub fn check_one_kind(records: &[(PathBuf, RunRecord)]) -> Result<(), RecordError> {
    let Some((path, first)) = records.first() else { return Ok(()) };
    match records.iter().find(|(_, record)| kind(record) != kind(first)) {
        Some((other_path, record)) => Err(RecordError::Mixed {
            path: path.clone(),
            holds: kind(first),
            other_path: other_path.clone(),
            other: kind(record),
        }),
        None => Ok(()),
    }
}

/// A word of the record's format, as it is written there.
pub fn word(value: &impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        _ => String::new(),
    }
}
