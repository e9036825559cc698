//! Names the figures of a configuration that are out of range and are taken as the nearest that is not.

use serde_json::Value;

/// The longest span that the decision module takes, in microseconds: 31 years.
const LONGEST_US: f64 = 1e15;
/// Megabytes that a process may be given.
pub(crate) const MEMORY_MB: (f64, f64) = (16.0, 1e6);

/// What the figure of a setting may be.
#[derive(Clone, Copy)]
struct Range {
    least: f64,
    most: f64,
}

const SPAN: Range = Range { least: 0.0, most: LONGEST_US };
const COUNT: Range = Range { least: 1.0, most: f64::MAX };

/// Figures of the settings, by the object that holds them.
const SETTINGS: [(&str, &str, Range); 8] = [
    ("", "periodUs", SPAN),
    ("limits", "connectTimeoutUs", SPAN),
    ("limits", "idleCloseUs", SPAN),
    ("limits", "maxRetryAfterUs", SPAN),
    ("limits", "multiplex", COUNT),
    ("limits", "maxOpen", COUNT),
    ("guarantees", "askWithinUs", SPAN),
    ("guarantees", "coldUs", SPAN),
];
/// Figures of each class.
const CLASS: [&str; 3] = ["goalTimeUs", "deadlineUs", "dedupWindowUs"];

/// A line for the log on each figure of the settings that is taken as another.
pub(crate) fn settings(settings: &Value) -> Vec<String> {
    let mut notes = Vec::new();
    for (object, name, range) in SETTINGS {
        let (holder, path) = match object {
            "" => (settings, name.to_owned()),
            object => (&settings[object], format!("{object}.{name}")),
        };
        notes.extend(holder[name].as_f64().and_then(|value| note(&path, value, range)));
    }
    let classes = settings["classes"].as_array().map_or(&[][..], Vec::as_slice);
    for (number, class) in classes.iter().enumerate() {
        for name in CLASS {
            let path = format!("classes[{number}].{name}");
            notes.extend(class[name].as_f64().and_then(|value| note(&path, value, SPAN)));
        }
    }
    notes
}

/// A line for the log where so many megabytes are taken as another number of them.
pub(crate) fn memory(megabytes: f64) -> Option<String> {
    let (least, most) = MEMORY_MB;
    note("limits.memory_mb", megabytes, Range { least, most })
}

fn note(path: &str, value: f64, Range { least, most }: Range) -> Option<String> {
    let taken = value.clamp(least, most);
    (taken != value).then(|| format!("{path}: {value} is out of range, and is taken as {taken}"))
}
