//! Telling a storm from growth and from one tenant's burst.
//!
//! A storm feeds itself: what fails comes back as more work. That, and not the load alone, is what the signs look
//! for. Three of them are *feeders* (repeats, reconnects, work for requests that were over); three say how bad things
//! are (the fleet's present capacity, what ends unserved, what peers tell). It is a storm when two signs are there and one of them is a
//! feeder; load without feeders is growth, or a burst where most of it is one tenant's.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::settings::Settings;

/// Rates follow over this time.
const FAST: Duration = Duration::from_secs(1);
/// Before this time has passed since the first look there is no usual rate to compare with.
const UNKNOWN: Duration = Duration::from_secs(5);
/// What ended unserved is remembered for this long, so that a repeat is known that does not say it is one.
const REMEMBERED: Duration = Duration::from_secs(5);
/// Places for what ended unserved; a newer one takes the place of an older.
const PLACES: usize = 4096;
/// What a peer told counts for this long.
const PEERS: Duration = Duration::from_secs(3);
/// Arrivals a second below which shares of them say nothing.
const LEAST: f64 = 2.0;

/// What kind of time it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weather {
    /// As usual.
    #[default]
    Calm,
    /// More than usual, from everybody, and nothing that feeds itself.
    Growth,
    /// More than usual, most of it from one tenant.
    Burst {
        /// Which.
        tenant: usize,
    },
    /// What fails comes back and makes more fail.
    Storm {
        /// The tenant of most repeats, where it is one.
        of: Option<usize>,
    },
}

impl Weather {
    fn rank(self) -> u8 {
        match self {
            Weather::Calm => 0,
            Weather::Growth => 1,
            Weather::Burst { .. } => 2,
            Weather::Storm { .. } => 3,
        }
    }

    /// Whether it is a storm.
    pub fn is_storm(self) -> bool {
        matches!(self, Weather::Storm { .. })
    }
}

impl fmt::Display for Weather {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Weather::Calm => f.write_str("calm"),
            Weather::Growth => f.write_str("growth"),
            Weather::Burst { tenant } => write!(f, "burst of tenant {tenant}"),
            Weather::Storm { of: None } => f.write_str("storm"),
            Weather::Storm { of: Some(tenant) } => write!(f, "storm of tenant {tenant}"),
        }
    }
}

/// One of the things that are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sign {
    /// Many arrivals repeat earlier tries.
    Repeats,
    /// Many connections are new.
    Connections,
    /// Much work is done for requests that are over.
    Wasted,
    /// The fleet can do much less than when it is warm.
    Capacity,
    /// Much ends unserved.
    Unserved,
    /// Half of the peers heard lately are in a storm.
    Peers,
    /// More arrives than usual.
    Arrivals,
}

const SIGNS: [Sign; 7] = [
    Sign::Repeats,
    Sign::Connections,
    Sign::Wasted,
    Sign::Capacity,
    Sign::Unserved,
    Sign::Peers,
    Sign::Arrivals,
];

impl Sign {
    fn feeds(self) -> bool {
        matches!(self, Sign::Repeats | Sign::Connections | Sign::Wasted)
    }
}

/// What the signs are read from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// First tries a second, and how many are usual; the latter 0 while unknown.
    pub arrivals: (f64, f64),
    /// Repeats as a part of all arrivals.
    pub repeats: f64,
    /// New connections a second, and how many are usual.
    pub connections: (f64, f64),
    /// Work for requests that were over, as a part of all work.
    pub wasted: f64,
    /// Present capacity of the fleet, as a part of what it has when warm.
    pub capacity: f64,
    /// Requests that ended unserved, as a part of the arrivals.
    pub unserved: f64,
    /// The part of the peers heard lately that told of a storm.
    pub peers: f64,
}

/// The weather has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadStateChange {
    /// What it was.
    pub from: Weather,
    /// What it is now.
    pub to: Weather,
    /// The signs that are there.
    pub signs: Vec<Sign>,
    /// What they are read from.
    pub figures: Figures,
}

impl fmt::Display for LoadStateChange {
    /// One line for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let g = &self.figures;
        write!(f, "weather: {}, was {}", self.to, self.from)?;
        for (i, sign) in self.signs.iter().enumerate() {
            f.write_str(if i == 0 { " (" } else { ", " })?;
            match sign {
                Sign::Repeats => write!(f, "{:.0}% of arrivals are repeats", g.repeats * 100.0)?,
                Sign::Connections => {
                    write!(
                        f,
                        "{:.0} new connections a second, {:.0} usual",
                        g.connections.0, g.connections.1
                    )?;
                }
                Sign::Wasted => write!(f, "{:.0}% of the work was not wanted any more", g.wasted * 100.0)?,
                Sign::Capacity => write!(f, "the fleet can do {:.0}%", g.capacity * 100.0)?,
                Sign::Unserved => write!(f, "{:.0}% end unserved", g.unserved * 100.0)?,
                Sign::Peers => write!(f, "{:.0}% of the peers say so", g.peers * 100.0)?,
                Sign::Arrivals => {
                    write!(f, "{:.0} arrivals a second, {:.0} usual", g.arrivals.0, g.arrivals.1)?;
                }
            }
        }
        f.write_str(if self.signs.is_empty() { "" } else { ")" })
    }
}

/// A rate, and the usual one.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    counted: f64,
    fast: f64,
    usual: f64,
}

impl Pace {
    fn look(&mut self, seconds: f64, learn: Option<f64>) {
        let rate = self.counted / seconds;
        self.counted = 0.0;
        self.fast += (rate - self.fast) * (seconds / FAST.as_secs_f64()).min(1.0);
        if let Some(part) = learn {
            self.usual += (rate - self.usual) * part;
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tenant {
    first: Pace,
    repeats: Pace,
}

/// Judges from what arrives, and what became of it, what kind of time it is.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    tenants: Vec<Tenant>,
    connections: Pace,
    work: Pace,
    wasted: Pace,
    ended_unserved: Pace,
    /// Fingerprints of what ended unserved, and when; one for each place.
    unserved: Vec<(u64, Duration)>,
    peers: BTreeMap<u32, (Duration, bool)>,
    on: [bool; SIGNS.len()],
    weather: Weather,
    /// What it would be if it lasted, and since when.
    coming: (Weather, Duration),
    began: Option<Duration>,
    looked: Duration,
    figures: Figures,
}

impl Detector {
    /// One that has seen nothing yet, for so many tenants.
    pub fn new(settings: Settings, tenants: usize) -> Detector {
        Detector {
            settings,
            tenants: vec![Tenant::default(); tenants.max(1)],
            connections: Pace::default(),
            work: Pace::default(),
            wasted: Pace::default(),
            ended_unserved: Pace::default(),
            unserved: vec![(0, Duration::ZERO); PLACES],
            peers: BTreeMap::new(),
            on: [false; SIGNS.len()],
            weather: Weather::Calm,
            coming: (Weather::Calm, Duration::ZERO),
            began: None,
            looked: Duration::ZERO,
            figures: Figures::default(),
        }
    }

    /// What kind of time it is.
    pub fn state(&self) -> Weather {
        self.weather
    }

    /// What the signs were last read from.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// A request has come. The fingerprint stands for what it asks and for whom, so that a repeat which does not say
    /// that it is one is known by an earlier try that ended unserved. Whether it is a repeat.
    pub fn request_arrived(&mut self, now: Duration, tenant: usize, fingerprint: u64, marked: bool) -> bool {
        let place = &mut self.unserved[fingerprint as usize % PLACES];
        let known = place.0 == fingerprint && place.1 + REMEMBERED >= now && place.1 > Duration::ZERO;
        if known {
            // One repeat for each try that ended: two clients may ask for the same.
            *place = (0, Duration::ZERO);
        }
        let repeat = marked || known;
        if let Some(t) = self.tenants.get_mut(tenant) {
            if repeat { t.repeats.counted += 1.0 } else { t.first.counted += 1.0 }
        }
        repeat
    }

    /// A request ended without being served.
    pub fn request_unserved(&mut self, now: Duration, fingerprint: u64) {
        self.ended_unserved.counted += 1.0;
        self.unserved[fingerprint as usize % PLACES] = (fingerprint, now);
    }

    /// A connection was made by a client.
    pub fn connection_opened(&mut self) {
        self.connections.counted += 1.0;
    }

    /// An attempt has ended after so much time; whether its request was still open.
    pub fn attempt_ended(&mut self, took: Duration, wanted: bool) {
        self.work.counted += took.as_secs_f64();
        if !wanted {
            self.wasted.counted += took.as_secs_f64();
        }
    }

    /// A peer tells whether it is in a storm.
    pub fn peer_reported(&mut self, now: Duration, from: u32, storm: bool) {
        self.peers.insert(from, (now, storm));
    }

    /// Reads the signs; to be called a few times a second. `capacity` is what the fleet can do now, as a part of what
    /// it can do when warm.
    pub fn evaluate(&mut self, now: Duration, capacity: f64) -> Option<LoadStateChange> {
        let Some(began) = self.began else {
            (self.began, self.looked, self.coming.1) = (Some(now), now, now);
            return None;
        };
        let seconds = now.saturating_sub(self.looked).as_secs_f64();
        if seconds < 0.02 {
            return None;
        }
        self.looked = now;
        self.read(now, now - began, seconds, capacity);
        let would = self.judge();
        if would != self.coming.0 {
            self.coming = (would, now);
        }
        let worse = would.rank() >= self.weather.rank();
        let wait = if worse { self.settings.enter_ms } else { self.settings.leave_ms };
        if would == self.weather || now - self.coming.1 < Duration::from_millis(wait) {
            return None;
        }
        let from = std::mem::replace(&mut self.weather, would);
        let signs = SIGNS.into_iter().zip(self.on).filter(|(_, on)| *on).map(|(sign, _)| sign).collect();
        Some(LoadStateChange { from, to: would, signs, figures: self.figures })
    }

    fn read(&mut self, now: Duration, age: Duration, seconds: f64, capacity: f64) {
        // The mean of all at first, then one that fades. What is unusual must not become usual while it lasts, but
        // growth must in the end.
        let span = Duration::from_millis(self.settings.usual_ms).min(age).as_secs_f64().max(seconds);
        let calm = matches!(self.weather, Weather::Calm | Weather::Growth);
        let learn = calm.then_some((seconds / span).min(1.0));
        self.connections.look(seconds, learn);
        self.work.look(seconds, None);
        self.wasted.look(seconds, None);
        self.ended_unserved.look(seconds, None);
        for t in &mut self.tenants {
            t.first.look(seconds, learn);
            t.repeats.look(seconds, None);
        }
        self.peers.retain(|_, (told, _)| *told + PEERS >= now);
        let known = age >= UNKNOWN;
        let sum = |of: fn(&Tenant) -> f64| self.tenants.iter().map(of).sum::<f64>();
        let (first, repeats) = (sum(|t| t.first.fast), sum(|t| t.repeats.fast));
        let usual = |usual: f64| if known { usual } else { 0.0 };
        let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
        self.figures = Figures {
            arrivals: (first, usual(sum(|t| t.first.usual))),
            repeats: if first + repeats >= LEAST { part(repeats, first + repeats) } else { 0.0 },
            connections: (self.connections.fast, usual(self.connections.usual)),
            wasted: part(self.wasted.fast, self.work.fast),
            capacity,
            unserved: if first + repeats >= LEAST {
                part(self.ended_unserved.fast, first + repeats).min(1.0)
            } else {
                0.0
            },
            peers: part(self.peers.values().filter(|(_, s)| *s).count() as f64, self.peers.len() as f64),
        };
        let (f, s) = (self.figures, &self.settings);
        // A sign comes at its mark and goes only well below it.
        let between = |mark: f64, rest: f64| rest + (mark - rest) * s.gone_below;
        let times = |(is, usual): (f64, f64)| part(is, usual);
        let reconnects = times(f.connections) * f64::from(u8::from(f.connections.0 >= s.least_connections));
        let read = [
            (f.repeats, s.repeats, 0.0),
            (reconnects, s.connections, 1.0),
            (f.wasted, s.wasted, 0.0),
            (1.0 - f.capacity, 1.0 - s.capacity, 0.0),
            (f.unserved, s.unserved, 0.0),
            (f.peers, 0.5, 0.0),
            (times(f.arrivals), s.growth, 1.0),
        ];
        for (on, (value, mark, rest)) in self.on.iter_mut().zip(read) {
            *on = value >= mark.max(1e-9) || (*on && value > between(mark, rest));
        }
    }

    fn judge(&self) -> Weather {
        let there = || SIGNS.into_iter().zip(self.on).filter(|(_, on)| *on).map(|(sign, _)| sign);
        let of_storm = there().filter(|sign| *sign != Sign::Arrivals).count();
        // One that has begun lasts while anything feeds it: its other signs may go before it does.
        let enough = if self.weather.is_storm() { 1 } else { 2 };
        if there().any(Sign::feeds) && of_storm >= enough {
            let all: f64 = self.tenants.iter().map(|t| t.repeats.fast).sum();
            return Weather::Storm { of: self.most(all, |t| t.repeats.fast) };
        }
        if there().all(|sign| sign != Sign::Arrivals) {
            return Weather::Calm;
        }
        let more = |t: &Tenant| (t.first.fast - t.first.usual).max(0.0);
        let all = self.tenants.iter().map(more).sum();
        self.most(all, more).map_or(Weather::Growth, |tenant| Weather::Burst { tenant })
    }

    /// The tenant that has most of something, where there are several and one has.
    fn most(&self, all: f64, of: impl Fn(&Tenant) -> f64) -> Option<usize> {
        let mark = (all * self.settings.one_tenant).max(1e-9);
        let several = self.tenants.len() > 1;
        self.tenants.iter().position(|t| of(t) >= mark).filter(|_| several)
    }
}
