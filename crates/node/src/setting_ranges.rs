//! Reports settings that are out of range and are replaced by the nearest valid value.

use serde_json::Value;

/// Maximum duration that the decision module accepts, in microseconds: 31 years.
const MAX_DURATION_US: f64 = 1e15;
/// Least memory of a process, in megabytes.
pub(crate) const MIN_MEMORY_MB: f64 = 16.0;
/// Largest memory of a process, in megabytes.
pub(crate) const MAX_MEMORY_MB: f64 = 1e6;

/// Valid range of a setting.
#[derive(Clone, Copy)]
struct Range {
    min: f64,
    max: f64,
}

const DURATION_US: Range = Range { min: 0.0, max: MAX_DURATION_US };
const COUNT: Range = Range { min: 1.0, max: f64::MAX };

/// Settings with a range, by the object that contains them.
const SETTING_RANGES: [(&str, &str, Range); 8] = [
    ("", "periodUs", DURATION_US),
    ("limits", "connectTimeoutUs", DURATION_US),
    ("limits", "idleCloseUs", DURATION_US),
    ("limits", "maxRetryAfterUs", DURATION_US),
    ("limits", "multiplex", COUNT),
    ("limits", "maxOpen", COUNT),
    ("guarantees", "askWithinUs", DURATION_US),
    ("guarantees", "coldUs", DURATION_US),
];
/// Durations in the settings of each class.
const CLASS_DURATIONS: [&str; 3] = ["goalTimeUs", "deadlineUs", "dedupWindowUs"];

/// One log line for each setting that is replaced.
pub(crate) fn check_settings(settings: &Value) -> Vec<String> {
    let mut warnings = Vec::new();
    for (object, name, range) in SETTING_RANGES {
        let (holder, path) = match object {
            "" => (settings, name.to_owned()),
            object => (&settings[object], format!("{object}.{name}")),
        };
        warnings.extend(holder[name].as_f64().and_then(|value| replacement_warning(&path, value, range)));
    }
    let classes = settings["classes"].as_array().map_or(&[][..], Vec::as_slice);
    for (index, class) in classes.iter().enumerate() {
        for name in CLASS_DURATIONS {
            let path = format!("classes[{index}].{name}");
            warnings.extend(
                class[name].as_f64().and_then(|value| replacement_warning(&path, value, DURATION_US)),
            );
        }
    }
    warnings
}

/// A log line if the memory setting is replaced.
pub(crate) fn check_memory(megabytes: f64) -> Option<String> {
    replacement_warning("limits.memory_mb", megabytes, Range { min: MIN_MEMORY_MB, max: MAX_MEMORY_MB })
}

fn replacement_warning(path: &str, value: f64, Range { min, max }: Range) -> Option<String> {
    let replacement = value.clamp(min, max);
    (replacement != value).then(|| format!("{path}: {value} is out of range, and is taken as {replacement}"))
}
