//! Files of the command: scenarios, replay files, reports. Errors name the file and the place in it.

use std::path::Path;

use chalksill_world::faults::Fault;
use chalksill_world::mutant::Mutant;
use chalksill_world::report::Report;
use chalksill_world::rules::Violation;
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::RunPlan;
use serde::{Deserialize, Serialize};

/// The version of replay files that this program writes and reads.
pub const VERSION: u32 = 1;

/// All that is needed to play a run again, and what came of it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replay {
    /// [`VERSION`].
    pub version: u32,
    /// The seed of everything.
    pub seed: u64,
    /// The faults, not to be drawn anew.
    pub script: Vec<Fault>,
    /// A fault that was planted in the nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mutant: Option<Mutant>,
    /// The digest of the run.
    pub digest: String,
    /// The rules that it broke.
    pub violations: Vec<Violation>,
    /// The scenario as it was.
    pub scenario: Scenario,
}

impl Replay {
    /// The file of a run.
    pub fn of(plan: &RunPlan, script: &[Fault], report: &Report) -> Replay {
        Replay {
            version: VERSION,
            seed: plan.seed,
            script: script.to_vec(),
            mutant: plan.mutant,
            digest: report.digest.clone(),
            violations: report.violations.clone(),
            scenario: plan.scenario.clone(),
        }
    }

    /// The run.
    pub fn plan(&self) -> RunPlan {
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
pub fn scenario(path: &Path) -> Result<Scenario, String> {
    Scenario::read(&text(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads a replay file. A file of another version is said to be one, whatever else is in it.
pub fn replay(path: &Path) -> Result<Replay, String> {
    let text = text(path)?;
    let named =
        |e: serde_json::Error| format!("{}, line {}, column {}: {e}", path.display(), e.line(), e.column());
    let any: serde_json::Value = serde_json::from_str(&text).map_err(named)?;
    match any.get("version").and_then(serde_json::Value::as_u64) {
        Some(version) if version == u64::from(VERSION) => {}
        Some(version) => {
            return Err(format!(
                "{}: version {version}, and this program reads version {VERSION}",
                path.display()
            ));
        }
        None => return Err(format!("{}: no replay file: it names no version", path.display())),
    }
    let replay: Replay = serde_json::from_str(&text).map_err(named)?;
    replay.scenario.validate().map_err(|e| format!("{}: scenario: {e}", path.display()))?;
    let boxes = replay.scenario.boxes.count;
    let nodes = replay.scenario.nodes.count;
    for (i, fault) in replay.script.iter().enumerate() {
        fault.validate(boxes, nodes).map_err(|e| format!("{}: script, fault {i}: {e}", path.display()))?;
    }
    Ok(replay)
}

/// Reads a report.
pub fn report(path: &Path) -> Result<Report, String> {
    serde_json::from_str(&text(path)?)
        .map_err(|e| format!("{}, line {}, column {}: {e}", path.display(), e.line(), e.column()))
}

/// Writes a file whole, or not at all.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    write_bytes(path, text.as_bytes())
}

/// Writes a file whole, or not at all.
pub fn write_bytes(path: &Path, bytes: &[u8]) -> Result<(), String> {
    let failed = |e: std::io::Error| format!("cannot write {}: {e}", path.display());
    if let Some(folder) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(failed)?;
    }
    let part = path.with_extension("part");
    std::fs::write(&part, bytes).and_then(|()| std::fs::rename(&part, path)).map_err(failed)
}

/// Something as JSON for a file or a script.
pub fn json(value: &impl Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(value).map_err(|e| e.to_string())
}
