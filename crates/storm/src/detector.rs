//! Telling a retry storm from growth and from one tenant's burst.
//!
//! A storm sustains itself: failed requests come back as more work. The signs look for that, and not for load alone.
//! Three of them show feedback (repeats, reconnects, work for requests that were over); three show how bad the
//! situation is (the present capacity of the cache servers, requests that end unserved, reports of peers). It is a
//! storm when two signs are present and one of them shows feedback; load without feedback is growth, or a burst where
//! one tenant causes most of it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::settings::Settings;

/// The time constant of the present rates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// For this long after the first evaluation there is no baseline to compare with.
const BASELINE_WARM_UP: Duration = Duration::from_secs(5);
/// How long an unserved request is remembered, so that a repeat without the mark of one is recognized.
const UNSERVED_MEMORY: Duration = Duration::from_secs(5);
/// Slots for unserved requests; a newer one overwrites an older one in the same slot.
const UNSERVED_SLOTS: usize = 4096;
/// How long a peer's report counts.
const PEER_REPORT_VALIDITY: Duration = Duration::from_secs(3);
/// Arrivals a second below which ratios to them mean nothing.
const MIN_ARRIVALS_PER_S: f64 = 2.0;

/// The kind of load that a node is under.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadState {
    /// The usual load.
    #[default]
    Normal,
    /// More than usual, from all tenants, without feedback.
    Growth,
    /// More than usual, most of it from one tenant.
    Burst {
        /// The tenant.
        tenant: usize,
    },
    /// Failed requests come back and make more requests fail.
    Storm {
        /// The tenant with most of the repeats, where there is one.
        tenant: Option<usize>,
    },
}

impl LoadState {
    fn severity(self) -> u8 {
        match self {
            LoadState::Normal => 0,
            LoadState::Growth => 1,
            LoadState::Burst { .. } => 2,
            LoadState::Storm { .. } => 3,
        }
    }

    /// Whether this is a storm.
    pub fn is_storm(self) -> bool {
        matches!(self, LoadState::Storm { .. })
    }
}

impl fmt::Display for LoadState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadState::Normal => f.write_str("normal"),
            LoadState::Growth => f.write_str("growth"),
            LoadState::Burst { tenant } => write!(f, "burst of tenant {tenant}"),
            LoadState::Storm { tenant: None } => f.write_str("storm"),
            LoadState::Storm { tenant: Some(tenant) } => write!(f, "storm of tenant {tenant}"),
        }
    }
}

/// A sign that the detector looks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sign {
    /// Many arrivals are repeats of earlier attempts.
    Repeats,
    /// Many connections are new.
    Connections,
    /// Much work is done for requests that are already over.
    WastedWork,
    /// The cache servers have much less capacity than when they are warm.
    Capacity,
    /// Many requests end unserved.
    Unserved,
    /// Half of the peers that reported recently are in a storm.
    Peers,
    /// More requests arrive than usual.
    Arrivals,
}

const SIGNS: [Sign; 7] = [
    Sign::Repeats,
    Sign::Connections,
    Sign::WastedWork,
    Sign::Capacity,
    Sign::Unserved,
    Sign::Peers,
    Sign::Arrivals,
];

impl Sign {
    fn is_feedback(self) -> bool {
        matches!(self, Sign::Repeats | Sign::Connections | Sign::WastedWork)
    }
}

/// The measurements from which the signs are read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measurements {
    /// First attempts a second, and the baseline; the latter 0 while unknown.
    pub arrivals: (f64, f64),
    /// The share of repeats in all arrivals.
    pub repeat_share: f64,
    /// New connections a second, and the baseline.
    pub connections: (f64, f64),
    /// The share of work for requests that were over in all work.
    pub wasted_share: f64,
    /// Present capacity of the cache servers, relative to when they are warm.
    pub capacity: f64,
    /// Requests that ended unserved, relative to arrivals.
    pub unserved_share: f64,
    /// The share of recently reporting peers that are in a storm.
    pub peer_share: f64,
}

/// A change of the load state.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadStateChange {
    /// The state before.
    pub from: LoadState,
    /// The state now.
    pub to: LoadState,
    /// The signs that are present.
    pub signs: Vec<Sign>,
    /// The measurements behind them.
    pub measurements: Measurements,
}

impl fmt::Display for LoadStateChange {
    /// One line for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let measured = &self.measurements;
        write!(f, "load state: {}, was {}", self.to, self.from)?;
        for (i, sign) in self.signs.iter().enumerate() {
            f.write_str(if i == 0 { " (" } else { ", " })?;
            match sign {
                Sign::Repeats => write!(f, "{:.0}% of arrivals are repeats", measured.repeat_share * 100.0)?,
                Sign::Connections => {
                    write!(
                        f,
                        "{:.0} new connections/s, baseline {:.0}",
                        measured.connections.0, measured.connections.1
                    )?;
                }
                Sign::WastedWork => write!(
                    f,
                    "{:.0}% of the work was for requests that were over",
                    measured.wasted_share * 100.0
                )?,
                Sign::Capacity => write!(f, "cache capacity at {:.0}%", measured.capacity * 100.0)?,
                Sign::Unserved => {
                    write!(f, "{:.0}% of requests end unserved", measured.unserved_share * 100.0)?
                }
                Sign::Peers => write!(f, "{:.0}% of peers report a storm", measured.peer_share * 100.0)?,
                Sign::Arrivals => {
                    write!(f, "{:.0} arrivals/s, baseline {:.0}", measured.arrivals.0, measured.arrivals.1)?;
                }
            }
        }
        f.write_str(if self.signs.is_empty() { "" } else { ")" })
    }
}

/// An event's present rate and its baseline.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    counted: f64,
    present: f64,
    baseline: f64,
}

impl EventRate {
    fn update(&mut self, seconds: f64, baseline_weight: Option<f64>) {
        let rate = self.counted / seconds;
        self.counted = 0.0;
        self.present += (rate - self.present) * (seconds / RATE_TIME_CONSTANT.as_secs_f64()).min(1.0);
        if let Some(weight) = baseline_weight {
            self.baseline += (rate - self.baseline) * weight;
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TenantRates {
    first_attempts: EventRate,
    repeats: EventRate,
}

/// Judges from arrivals, and from how requests end, which kind of load the node is under.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    tenants: Vec<TenantRates>,
    connections: EventRate,
    work: EventRate,
    wasted: EventRate,
    unserved: EventRate,
    /// Fingerprints of unserved requests, and when they ended; one for each slot.
    unserved_slots: Vec<(u64, Duration)>,
    peers: BTreeMap<u32, (Duration, bool)>,
    present: [bool; SIGNS.len()],
    state: LoadState,
    /// The state that the present signs suggest, and since when they have suggested it.
    pending: (LoadState, Duration),
    started_at: Option<Duration>,
    evaluated_at: Duration,
    measurements: Measurements,
}

impl Detector {
    /// A detector without measurements, for this many tenants.
    pub fn new(settings: Settings, tenants: usize) -> Detector {
        Detector {
            settings,
            tenants: vec![TenantRates::default(); tenants.max(1)],
            connections: EventRate::default(),
            work: EventRate::default(),
            wasted: EventRate::default(),
            unserved: EventRate::default(),
            unserved_slots: vec![(0, Duration::ZERO); UNSERVED_SLOTS],
            peers: BTreeMap::new(),
            present: [false; SIGNS.len()],
            state: LoadState::Normal,
            pending: (LoadState::Normal, Duration::ZERO),
            started_at: None,
            evaluated_at: Duration::ZERO,
            measurements: Measurements::default(),
        }
    }

    /// The present load state.
    pub fn state(&self) -> LoadState {
        self.state
    }

    /// The measurements from which the signs were last read.
    pub fn measurements(&self) -> &Measurements {
        &self.measurements
    }

    /// Counts an arriving request; returns whether it is a repeat. The fingerprint stands for the client and what it
    /// asks for, so that a repeat that is not marked as one is recognized by an earlier attempt that ended unserved.
    pub fn request_arrived(
        &mut self,
        now: Duration,
        tenant: usize,
        fingerprint: u64,
        marked_as_repeat: bool,
    ) -> bool {
        let slot = &mut self.unserved_slots[fingerprint as usize % UNSERVED_SLOTS];
        let known = slot.0 == fingerprint && slot.1 + UNSERVED_MEMORY >= now && slot.1 > Duration::ZERO;
        if known {
            // One repeat for each attempt that ended: two clients may ask for the same.
            *slot = (0, Duration::ZERO);
        }
        let repeat = marked_as_repeat || known;
        if let Some(t) = self.tenants.get_mut(tenant) {
            if repeat { t.repeats.counted += 1.0 } else { t.first_attempts.counted += 1.0 }
        }
        repeat
    }

    /// A request ended without being served.
    pub fn request_unserved(&mut self, now: Duration, fingerprint: u64) {
        self.unserved.counted += 1.0;
        self.unserved_slots[fingerprint as usize % UNSERVED_SLOTS] = (fingerprint, now);
    }

    /// A client opened a connection.
    pub fn connection_opened(&mut self) {
        self.connections.counted += 1.0;
    }

    /// An attempt ended after this time; `wanted` says whether its request was still open.
    pub fn attempt_ended(&mut self, took: Duration, wanted: bool) {
        self.work.counted += took.as_secs_f64();
        if !wanted {
            self.wasted.counted += took.as_secs_f64();
        }
    }

    /// A peer reported whether it is in a storm.
    pub fn peer_reported(&mut self, now: Duration, from: u32, storm: bool) {
        self.peers.insert(from, (now, storm));
    }

    /// Reads the signs; to be called a few times a second. `capacity` is the present capacity of the cache servers
    /// relative to when they are warm. Returns a change of the load state, if any.
    pub fn evaluate(&mut self, now: Duration, capacity: f64) -> Option<LoadStateChange> {
        let Some(started_at) = self.started_at else {
            (self.started_at, self.evaluated_at, self.pending.1) = (Some(now), now, now);
            return None;
        };
        let seconds = now.saturating_sub(self.evaluated_at).as_secs_f64();
        if seconds < 0.02 {
            return None;
        }
        self.evaluated_at = now;
        self.read_signs(now, now - started_at, seconds, capacity);
        let suggested = self.judge();
        if suggested != self.pending.0 {
            self.pending = (suggested, now);
        }
        let worsens = suggested.severity() >= self.state.severity();
        let wait = if worsens { self.settings.enter_ms } else { self.settings.leave_ms };
        if suggested == self.state || now - self.pending.1 < Duration::from_millis(wait) {
            return None;
        }
        let from = std::mem::replace(&mut self.state, suggested);
        let signs = SIGNS
            .into_iter()
            .zip(self.present)
            .filter(|(_, present)| *present)
            .map(|(sign, _)| sign)
            .collect();
        Some(LoadStateChange { from, to: suggested, signs, measurements: self.measurements })
    }

    fn read_signs(&mut self, now: Duration, age: Duration, seconds: f64, capacity: f64) {
        // The mean of all measurements at first, then an exponentially weighted one. Unusual load must not become the
        // baseline while it lasts, but growth must in the end.
        let averaging_time =
            Duration::from_millis(self.settings.baseline_ms).min(age).as_secs_f64().max(seconds);
        let learns = matches!(self.state, LoadState::Normal | LoadState::Growth);
        let baseline_weight = learns.then_some((seconds / averaging_time).min(1.0));
        self.connections.update(seconds, baseline_weight);
        self.work.update(seconds, None);
        self.wasted.update(seconds, None);
        self.unserved.update(seconds, None);
        for t in &mut self.tenants {
            t.first_attempts.update(seconds, baseline_weight);
            t.repeats.update(seconds, None);
        }
        self.peers.retain(|_, (reported_at, _)| *reported_at + PEER_REPORT_VALIDITY >= now);
        let baseline_known = age >= BASELINE_WARM_UP;
        let sum = |of: fn(&TenantRates) -> f64| self.tenants.iter().map(of).sum::<f64>();
        let (first_attempts, repeats) = (sum(|t| t.first_attempts.present), sum(|t| t.repeats.present));
        let baseline = |baseline: f64| if baseline_known { baseline } else { 0.0 };
        let share = |of: f64, total: f64| if total > 0.0 { of / total } else { 0.0 };
        self.measurements = Measurements {
            arrivals: (first_attempts, baseline(sum(|t| t.first_attempts.baseline))),
            repeat_share: if first_attempts + repeats >= MIN_ARRIVALS_PER_S {
                share(repeats, first_attempts + repeats)
            } else {
                0.0
            },
            connections: (self.connections.present, baseline(self.connections.baseline)),
            wasted_share: share(self.wasted.present, self.work.present),
            capacity,
            unserved_share: if first_attempts + repeats >= MIN_ARRIVALS_PER_S {
                share(self.unserved.present, first_attempts + repeats).min(1.0)
            } else {
                0.0
            },
            peer_share: share(
                self.peers.values().filter(|(_, in_storm)| *in_storm).count() as f64,
                self.peers.len() as f64,
            ),
        };
        let (measured, settings) = (self.measurements, &self.settings);
        // Hysteresis: a sign appears at its threshold and disappears only well below it.
        let disappears_below =
            |threshold: f64, neutral: f64| neutral + (threshold - neutral) * settings.clear_factor;
        let ratio = |(present, baseline): (f64, f64)| share(present, baseline);
        let reconnects = ratio(measured.connections)
            * f64::from(u8::from(measured.connections.0 >= settings.min_connections_per_s));
        let readings = [
            (measured.repeat_share, settings.repeat_share, 0.0),
            (reconnects, settings.connection_factor, 1.0),
            (measured.wasted_share, settings.wasted_share, 0.0),
            (1.0 - measured.capacity, 1.0 - settings.min_capacity, 0.0),
            (measured.unserved_share, settings.unserved_share, 0.0),
            (measured.peer_share, 0.5, 0.0),
            (ratio(measured.arrivals), settings.arrival_factor, 1.0),
        ];
        for (sign_present, (value, threshold, neutral)) in self.present.iter_mut().zip(readings) {
            *sign_present = value >= threshold.max(1e-9)
                || (*sign_present && value > disappears_below(threshold, neutral));
        }
    }

    fn judge(&self) -> LoadState {
        let present_signs =
            || SIGNS.into_iter().zip(self.present).filter(|(_, present)| *present).map(|(sign, _)| sign);
        let storm_signs = present_signs().filter(|sign| *sign != Sign::Arrivals).count();
        // A storm lasts while any feedback lasts: its other signs may disappear before it does.
        let enough = if self.state.is_storm() { 1 } else { 2 };
        if present_signs().any(Sign::is_feedback) && storm_signs >= enough {
            let total: f64 = self.tenants.iter().map(|t| t.repeats.present).sum();
            return LoadState::Storm { tenant: self.dominant_tenant(total, |t| t.repeats.present) };
        }
        if present_signs().all(|sign| sign != Sign::Arrivals) {
            return LoadState::Normal;
        }
        let excess = |t: &TenantRates| (t.first_attempts.present - t.first_attempts.baseline).max(0.0);
        let total = self.tenants.iter().map(excess).sum();
        self.dominant_tenant(total, excess).map_or(LoadState::Growth, |tenant| LoadState::Burst { tenant })
    }

    /// The tenant with the share `dominant_tenant_share` of a quantity, where there are several tenants.
    fn dominant_tenant(&self, total: f64, quantity: impl Fn(&TenantRates) -> f64) -> Option<usize> {
        let threshold = (total * self.settings.dominant_tenant_share).max(1e-9);
        let several = self.tenants.len() > 1;
        self.tenants.iter().position(|tenant| quantity(tenant) >= threshold).filter(|_| several)
    }
}
