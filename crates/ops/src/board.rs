//! What staff read and order of zones, where the operator's file switches places on. The node writes it; calls read it.

use std::sync::{Mutex, PoisonError};

use mothpier_plan::{LONGEST, OrderKind, ZoneOrder};

/// What is on the board.
#[derive(Debug)]
pub struct ZoneStatusBoard {
    zones: Vec<String>,
    /// Whether zones can be kept in or out: only where nodes agree.
    agrees: bool,
    told: Mutex<Told>,
}

#[derive(Debug, Default)]
struct Told {
    text: String,
    /// By zone, whether staff keep it out.
    out: Vec<bool>,
}

impl ZoneStatusBoard {
    /// An empty one.
    pub fn new(zones: Vec<String>, agrees: bool) -> ZoneStatusBoard {
        ZoneStatusBoard { zones, agrees, told: Mutex::default() }
    }

    /// What holds now, as JSON, and which zones are kept out by hand.
    pub fn publish(&self, text: String, out: Vec<bool>) {
        *self.told.lock().unwrap_or_else(PoisonError::into_inner) = Told { text, out };
    }

    /// What holds, or nothing before the node has begun.
    pub(crate) fn text(&self) -> String {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).text.clone()
    }

    /// Reads what staff order by a call's query.
    ///
    /// # Errors
    /// One plain line: what is missing, unknown or out of range, or why it can't be.
    pub(crate) fn wish(&self, path: &str, query: &str) -> Result<ZoneOrder, String> {
        if !self.agrees {
            return Err("accord.on is false: nodes that do not agree can't keep a zone in or out".into());
        }
        let (mut zone, mut how, mut seconds) = (None, None, None);
        for (key, value) in form_urlencoded::parse(query.as_bytes()) {
            match key.as_ref() {
                "zone" => {
                    let found = self.zones.iter().position(|name| *name == value);
                    let all = self.zones.join(", ");
                    zone =
                        Some(found.ok_or_else(|| format!("zone: there is no {value:?}; there are {all}"))?);
                }
                "how" if path == HOLD => {
                    let words = [OrderKind::KeepIn, OrderKind::KeepOut, OrderKind::Drain];
                    let found = words.into_iter().find(|how| how.as_str() == value);
                    how = Some(found.ok_or_else(|| format!("how: {value:?} is none of in, out, drain"))?);
                }
                "for_s" if path == HOLD => {
                    let within = value.parse().ok().filter(|s| (1..=LONGEST / 1000).contains(s));
                    let range = || format!("for_s: {value:?} is not between 1 and {}", LONGEST / 1000);
                    seconds = Some(within.ok_or_else(range)?);
                }
                _ => return Err(format!("{key}: no such key; zone, how and for_s are")),
            }
        }
        let zone = zone.ok_or("zone: is missing")?;
        if path == RELEASE {
            return Ok(ZoneOrder { zone, kind: OrderKind::Released, duration_ms: 0 });
        }
        let how = how.ok_or("how: is missing")?;
        let span = 1000 * seconds.ok_or("for_s: is missing: an order needs an end")?;
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let out = |z: usize| told.out.get(z).copied().unwrap_or(false);
        if how.is_out() && (0..self.zones.len()).all(|z| z == zone || out(z)) {
            return Err("zone: every other one is kept out already; none would be left".into());
        }
        Ok(ZoneOrder { zone, kind: how, duration_ms: span })
    }

    /// The order in words.
    pub(crate) fn say(&self, wish: ZoneOrder) -> String {
        let zone = &self.zones[wish.zone];
        match wish.kind {
            OrderKind::Released => format!("{zone} released\n"),
            how => format!("{zone} {} for {} s\n", how.as_str(), wish.duration_ms / 1000),
        }
    }
}

/// Paths of the calls.
pub(crate) const PLACES: &str = "/places";
pub(crate) const HOLD: &str = "/places/hold";
pub(crate) const RELEASE: &str = "/places/release";
