//! Starts the recorder that the operator's file configures, and recovers state from the records of earlier
//! incarnations.
//!
//! A failure here disables recording or recovery and is logged; the node starts all the same.

use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

use brassrouter::Settings;
use mothpier_host::{Host, SystemHost};
use mothpier_node::config::Config;
use mothpier_node::keys::KeyHasher;
use mothpier_record::Recorder;
use mothpier_record::monotonic::{ClockReading, MonotonicReading};
use mothpier_record::recover::{Found, Recovery, UnrecordedTail};
use mothpier_record::store::{Folder, Store, largest_incarnation, newest_first};
use nix::time::ClockId;

/// File with the random UUID that the kernel generates at each boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// How long the start waits for the folder of records to be read. A hanging disk must not delay the node.
const FOLDER_WAIT: Duration = Duration::from_secs(1);

/// Creates the recorder if the operator's file names a folder.
pub fn recorder(host: SystemHost, config: &Config) -> Option<Recorder> {
    let record = &config.operator.record;
    let folder = record.folder.as_ref()?;
    let now = ClockReading { clock: host.unix_time().as_micros() as u64, monotonic: monotonic() };
    let earlier = read_earlier_incarnations(config, folder.clone(), now);
    let inherited = match earlier.found {
        Some(Found::Inherited(inherited, line)) => {
            host.log(format_args!("{line}"));
            Some(inherited)
        }
        Some(Found::Nothing(reason)) => {
            host.log(format_args!("{reason}"));
            None
        }
        None => None,
    };
    let store = Store::start(Folder(folder.clone()), &record.tuning)
        .inspect_err(|e| host.log(format_args!("recording disabled: {e}")))
        .ok()?;
    let secret = matches!(config.key_hasher, KeyHasher::Secret(_));
    let recorder = Recorder::new(record.tuning.clone(), record.on, Box::new(store), inherited)
        .with_program(concat!("mothpier ", env!("CARGO_PKG_VERSION")), secret)
        .with_monotonic_clock(monotonic)
        .recovered_at(now.clock)
        .after_incarnation(earlier.largest_incarnation);
    Some(recorder)
}

/// What the folder of records shows about earlier incarnations.
#[derive(Default)]
struct EarlierIncarnations {
    largest_incarnation: Option<u64>,
    /// `None` if there is no segment, or recovery is switched off.
    found: Option<Found>,
}

/// Reads the folder on a separate thread, and waits at most [`FOLDER_WAIT`] for it.
fn read_earlier_incarnations(config: &Config, folder: PathBuf, now: ClockReading) -> EarlierIncarnations {
    let record = &config.operator.record;
    let recover = record.on && record.recover;
    let node = config.name.clone();
    // The settings that the node will use, with the operator's overrides.
    let settings =
        Settings { storm_mitigation: config.operator.storm.damping(), ..config.site.policy.clone() };
    let unseen = UnrecordedTail { duration: (record.tuning.hand_over_ms * 1000.0) as u64 };
    let (sender, result) = mpsc::sync_channel(1);
    let (reader_node, reader_settings) = (node.clone(), settings.clone());
    let read = move || {
        let recovery =
            Recovery { node: &reader_node, settings: &reader_settings, now, unrecorded_tail: unseen };
        // Sending fails once the wait has timed out.
        let _ = sender.send(read_folder(&recovery, folder, recover));
    };
    let started = std::thread::Builder::new().name("recover".into()).spawn(read);
    let reason = match started.map(|_| result.recv_timeout(FOLDER_WAIT)) {
        Ok(Ok(earlier)) => return earlier,
        Ok(Err(_)) => "reading its folder timed out".to_string(),
        Err(e) => format!("cannot start a thread to read it: {e}"),
    };
    let recovery = Recovery { node: &node, settings: &settings, now, unrecorded_tail: unseen };
    EarlierIncarnations {
        largest_incarnation: None,
        found: recover.then(|| recovery.assume_maximum(&reason)),
    }
}

fn read_folder(recovery: &Recovery<'_>, folder: PathBuf, recover: bool) -> EarlierIncarnations {
    let mut folder = Folder(folder);
    let segments = match newest_first(&mut folder, recovery.node) {
        Ok(segments) => segments,
        Err(e) => {
            let reason = format!("cannot read {}: {e}", folder.0.display());
            return EarlierIncarnations {
                found: recover.then(|| recovery.assume_maximum(&reason)),
                ..EarlierIncarnations::default()
            };
        }
    };
    let read = |name: &str| std::fs::read(folder.0.join(name));
    let found = (recover && !segments.is_empty()).then(|| recovery.recover_newest(&segments, read));
    EarlierIncarnations { largest_incarnation: largest_incarnation(&segments), found }
}

/// Reads the monotonic clock that `Instant` uses. `None` if the boot can't be identified: readings of different boots
/// can't be compared.
fn monotonic() -> Option<MonotonicReading> {
    let boot_id = std::fs::read_to_string(BOOT_ID).ok()?;
    let digits: String = boot_id.chars().filter(char::is_ascii_hexdigit).collect();
    let boot = u128::from_str_radix(&digits, 16).ok()?;
    let time = ClockId::CLOCK_MONOTONIC.now().ok()?;
    let at = u64::try_from(time.tv_sec()).ok()? * 1_000_000 + u64::try_from(time.tv_nsec()).ok()? / 1000;
    Some(MonotonicReading { boot_id: boot, at })
}
