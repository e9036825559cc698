//! Load reports of servers: names and values, in text.

use brassrouter::settings::DeploymentSettings;
use brassrouter::{LoadField, LoadReport};

/// Largest plausible load in cores; reports beyond it are rejected.
const MAX_BUSY_CORES: f32 = 8.0;
/// Largest plausible value of any other load field: a minute in milliseconds.
const MAX_LOAD_VALUE: f32 = 60_000.0;

/// Parses a load report. Its values are in the order of the configured fields.
pub fn parse_load_report(settings: &DeploymentSettings, report: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, field) in
        settings.load_field_names.iter().zip(&settings.policy.load_fields).take(load.values.len())
    {
        let max = if *field == LoadField::Busy { MAX_BUSY_CORES } else { MAX_LOAD_VALUE };
        let value = report.split(',').filter_map(|p| p.trim().split_once('=')).find(|(n, _)| n == name);
        // Reports can be corrupt: a value that no load can have must not reach the module's averages.
        let value = value.and_then(|(_, v)| v.parse::<f32>().ok()).filter(|v| (0.0..=max).contains(v));
        let Some(value) = value else { return LoadReport::default() };
        load.values[usize::from(load.count)] = value;
        load.count += 1;
    }
    load
}

#[cfg(test)]
#[path = "../tests/unit/load_report.rs"]
mod tests;
