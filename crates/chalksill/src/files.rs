//! Reads and writes scenarios, replay files and reports. Errors name the file and the position in it.

use std::path::Path;

use chalksill_world::faults::Fault;
use chalksill_world::mutant::Mutant;
use chalksill_world::report::Report;
use chalksill_world::rules::Violation;
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::RunPlan;
use serde::{Deserialize, Serialize};

/// Version of the replay file format that this program writes and reads.
pub const REPLAY_VERSION: u32 = 1;

/// Everything needed to repeat a run, and its outcome.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replay {
    /// Format version, [`REPLAY_VERSION`].
    pub version: u32,
    /// The seed of everything that is random.
    pub seed: u64,
    /// The faults of the run; none are drawn from the seed when it is repeated.
    pub script: Vec<Fault>,
    /// A fault that was planted in the code of the nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mutant: Option<Mutant>,
    /// The digest of the run.
    pub digest: String,
    /// The rule violations of the run.
    pub violations: Vec<Violation>,
    /// The scenario of the run.
    pub scenario: Scenario,
}

impl Replay {
    /// The replay file of a completed run.
    pub fn from_run(plan: &RunPlan, script: &[Fault], report: &Report) -> Replay {
        Replay {
            version: REPLAY_VERSION,
            seed: plan.seed,
            script: script.to_vec(),
            mutant: plan.mutant,
            digest: report.digest.clone(),
            violations: report.violations.clone(),
            scenario: plan.scenario.clone(),
        }
    }

    /// The plan that repeats the run.
    pub fn run_plan(&self) -> RunPlan {
        RunPlan {
            scenario: self.scenario.clone(),
            seed: self.seed,
            script: Some(self.script.clone()),
            mutant: self.mutant,
        }
    }
}

/// Reads a file as text.
pub fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
}

/// Reads a scenario.
pub fn read_scenario(path: &Path) -> Result<Scenario, String> {
    Scenario::read(&text(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads a replay file. The version is checked first, so that a file of another version is reported as such, whatever
/// else differs in it.
pub fn read_replay(path: &Path) -> Result<Replay, String> {
    let text = text(path)?;
    let parse_error =
        |e: serde_json::Error| format!("{}, line {}, column {}: {e}", path.display(), e.line(), e.column());
    let document: serde_json::Value = serde_json::from_str(&text).map_err(parse_error)?;
    match document.get("version").and_then(serde_json::Value::as_u64) {
        Some(version) if version == u64::from(REPLAY_VERSION) => {}
        Some(version) => {
            return Err(format!(
                "{}: version {version}, and this program reads version {REPLAY_VERSION}",
                path.display()
            ));
        }
        None => return Err(format!("{}: not a replay file: it names no version", path.display())),
    }
    let replay: Replay = serde_json::from_str(&text).map_err(parse_error)?;
    replay.scenario.validate().map_err(|e| format!("{}: scenario: {e}", path.display()))?;
    let cache_servers = replay.scenario.boxes.count;
    let nodes = replay.scenario.nodes.count;
    for (index, fault) in replay.script.iter().enumerate() {
        fault
            .validate(cache_servers, nodes)
            .map_err(|e| format!("{}: script, fault {index}: {e}", path.display()))?;
    }
    Ok(replay)
}

/// Reads a report.
pub fn read_report(path: &Path) -> Result<Report, String> {
    serde_json::from_str(&text(path)?)
        .map_err(|e| format!("{}, line {}, column {}: {e}", path.display(), e.line(), e.column()))
}

/// Writes a text file atomically: into a temporary file that is then renamed.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    write_bytes(path, text.as_bytes())
}

/// Writes a file atomically, and creates its folder where it does not exist.
pub fn write_bytes(path: &Path, bytes: &[u8]) -> Result<(), String> {
    let write_error = |e: std::io::Error| format!("cannot write {}: {e}", path.display());
    if let Some(folder) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(write_error)?;
    }
    let temporary = path.with_extension("part");
    std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path)).map_err(write_error)
}

/// Formats a value as indented JSON.
pub fn to_json(value: &impl Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(value).map_err(|e| e.to_string())
}
