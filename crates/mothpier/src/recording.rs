//! The recorder that the operator's file asks for, and what the record of an earlier incarnation left to count.
//!
//! What fails here costs the record, never the node: each failure is a line of the log.

use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

use brassrouter::Settings;
use mothpier_host::{Host, SystemHost};
use mothpier_node::config::Config;
use mothpier_node::keys::KeyHasher;
use mothpier_record::Recorder;
use mothpier_record::monotonic::{Now, Reading};
use mothpier_record::recover::{Found, Recovery, Unseen};
use mothpier_record::store::{Folder, Store, largest_incarnation, newest_first};
use nix::time::ClockId;

/// A number that the kernel draws at each boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// A start waits no longer for the folder: a disk that hangs costs the record.
const FOLDER_WAIT: Duration = Duration::from_secs(1);

/// The recorder, where the operator's file names a folder.
pub fn recorder(host: SystemHost, config: &Config) -> Option<Recorder> {
    let record = &config.operator.record;
    let folder = record.folder.as_ref()?;
    let now = Now { clock: host.unix_time().as_micros() as u64, monotonic: monotonic() };
    let earlier = look_back(config, folder.clone(), now);
    let legacy = match earlier.found {
        Some(Found::Legacy(legacy, line)) => {
            host.log(format_args!("{line}"));
            Some(legacy)
        }
        Some(Found::Nothing(why)) => {
            host.log(format_args!("{why}"));
            None
        }
        None => None,
    };
    let store = Store::start(Folder(folder.clone()), &record.tuning)
        .inspect_err(|e| host.log(format_args!("nothing is recorded: {e}")))
        .ok()?;
    let secret = matches!(config.key_hasher, KeyHasher::Secret(_));
    let recorder = Recorder::new(record.tuning.clone(), record.on, Box::new(store), legacy)
        .about(concat!("mothpier ", env!("CARGO_PKG_VERSION")), secret)
        .monotonic(monotonic)
        .recovered_at(now.clock)
        .after_incarnation(earlier.largest_incarnation);
    Some(recorder)
}

/// What the folder says of earlier incarnations.
#[derive(Default)]
struct Earlier {
    largest_incarnation: Option<u64>,
    /// `None` where there is no segment, or the operator does not want to know.
    found: Option<Found>,
}

/// Reads the folder on a thread of its own, and waits for that with a bound.
fn look_back(config: &Config, folder: PathBuf, now: Now) -> Earlier {
    let record = &config.operator.record;
    let wanted = record.on && record.recover;
    let node = config.name.clone();
    // As the node will act on them.
    let settings =
        Settings { storm_mitigation: config.operator.storm.damping(), ..config.site.policy.clone() };
    let unseen = Unseen { span: (record.tuning.hand_over_ms * 1000.0) as u64 };
    let (done, result) = mpsc::sync_channel(1);
    let (its_node, its_settings) = (node.clone(), settings.clone());
    let reads = move || {
        let recovery = Recovery { node: &its_node, settings: &its_settings, now, unseen };
        // Nobody waits any longer where this fails.
        let _ = done.send(read_folder(&recovery, folder, wanted));
    };
    let started = std::thread::Builder::new().name("recover".into()).spawn(reads);
    let why = match started.map(|_| result.recv_timeout(FOLDER_WAIT)) {
        Ok(Ok(earlier)) => return earlier,
        Ok(Err(_)) => "its folder did not answer in time".to_string(),
        Err(e) => format!("it was not read: {e}"),
    };
    let recovery = Recovery { node: &node, settings: &settings, now, unseen };
    Earlier { largest_incarnation: None, found: wanted.then(|| recovery.assume_most(&why)) }
}

fn read_folder(recovery: &Recovery<'_>, folder: PathBuf, wanted: bool) -> Earlier {
    let mut folder = Folder(folder);
    let segments = match newest_first(&mut folder, recovery.node) {
        Ok(segments) => segments,
        Err(e) => {
            let why = format!("cannot read {}: {e}", folder.0.display());
            return Earlier { found: wanted.then(|| recovery.assume_most(&why)), ..Earlier::default() };
        }
    };
    let read = |name: &str| std::fs::read(folder.0.join(name));
    let found = (wanted && !segments.is_empty()).then(|| recovery.recover_newest(&segments, read));
    Earlier { largest_incarnation: largest_incarnation(&segments), found }
}

/// The machine's monotonic clock, that of `Instant`; `None` where it can't be told from that of another boot.
fn monotonic() -> Option<Reading> {
    let boot_id = std::fs::read_to_string(BOOT_ID).ok()?;
    let digits: String = boot_id.chars().filter(char::is_ascii_hexdigit).collect();
    let boot = u128::from_str_radix(&digits, 16).ok()?;
    let time = ClockId::CLOCK_MONOTONIC.now().ok()?;
    let at = u64::try_from(time.tv_sec()).ok()? * 1_000_000 + u64::try_from(time.tv_nsec()).ok()? / 1000;
    Some(Reading { boot, at })
}
