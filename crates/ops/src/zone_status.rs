//! Status and operator orders of zones, where the operator's file switches places on. The node publishes the status;
//! HTTP requests read it and carry orders.

use std::sync::{Mutex, PoisonError};

use mothpier_plan::{MAX_ORDER_MS, OrderKind, ZoneOrder};

/// The published status of zones, and the check of orders against it.
#[derive(Debug)]
pub struct ZoneStatusBoard {
    zones: Vec<String>,
    /// Whether zones can be kept in or out: only where nodes agree on a plan.
    agrees: bool,
    published: Mutex<PublishedStatus>,
}

#[derive(Debug, Default)]
struct PublishedStatus {
    json: String,
    /// By zone, whether an operator's order keeps it out.
    kept_out: Vec<bool>,
}

impl ZoneStatusBoard {
    /// A board with nothing published yet.
    pub fn new(zones: Vec<String>, agrees: bool) -> ZoneStatusBoard {
        ZoneStatusBoard { zones, agrees, published: Mutex::default() }
    }

    /// Publishes the present status as JSON, and which zones are kept out by an order.
    pub fn publish(&self, json: String, kept_out: Vec<bool>) {
        *self.published.lock().unwrap_or_else(PoisonError::into_inner) = PublishedStatus { json, kept_out };
    }

    /// The published status as JSON; empty before the node has published any.
    pub(crate) fn json(&self) -> String {
        self.published.lock().unwrap_or_else(PoisonError::into_inner).json.clone()
    }

    /// Parses the order in a request's query.
    ///
    /// # Errors
    /// One line for the response: a key that is missing, unknown or out of range, or why the order is not possible.
    pub(crate) fn parse_order(&self, path: &str, query: &str) -> Result<ZoneOrder, String> {
        if !self.agrees {
            return Err("accord.on is false: nodes that do not agree can't keep a zone in or out".into());
        }
        let (mut zone, mut kind, mut duration_s) = (None, None, None);
        for (key, value) in form_urlencoded::parse(query.as_bytes()) {
            match key.as_ref() {
                "zone" => {
                    let found = self.zones.iter().position(|name| *name == value);
                    let all = self.zones.join(", ");
                    zone =
                        Some(found.ok_or_else(|| format!("zone: there is no {value:?}; there are {all}"))?);
                }
                "how" if path == HOLD_PATH => {
                    let kinds = [OrderKind::KeepIn, OrderKind::KeepOut, OrderKind::Drain];
                    let found = kinds.into_iter().find(|kind| kind.as_str() == value);
                    kind = Some(found.ok_or_else(|| format!("how: {value:?} is none of in, out, drain"))?);
                }
                "for_s" if path == HOLD_PATH => {
                    let valid = value.parse().ok().filter(|s| (1..=MAX_ORDER_MS / 1000).contains(s));
                    let range = || format!("for_s: {value:?} is not between 1 and {}", MAX_ORDER_MS / 1000);
                    duration_s = Some(valid.ok_or_else(range)?);
                }
                _ => return Err(format!("{key}: no such key; zone, how and for_s are")),
            }
        }
        let zone = zone.ok_or("zone: is missing")?;
        if path == RELEASE_PATH {
            return Ok(ZoneOrder { zone, kind: OrderKind::Released, duration_ms: 0 });
        }
        let kind = kind.ok_or("how: is missing")?;
        let duration_ms = 1000 * duration_s.ok_or("for_s: is missing: an order needs an end")?;
        let published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let is_kept_out = |z: usize| published.kept_out.get(z).copied().unwrap_or(false);
        if kind.is_out() && (0..self.zones.len()).all(|z| z == zone || is_kept_out(z)) {
            return Err("zone: every other one is kept out already; none would be left".into());
        }
        Ok(ZoneOrder { zone, kind, duration_ms })
    }

    /// Confirms an order in one line.
    pub(crate) fn confirmation(&self, order: ZoneOrder) -> String {
        let name = &self.zones[order.zone];
        match order.kind {
            OrderKind::Released => format!("{name} released\n"),
            kind => format!("{name} {} for {} s\n", kind.as_str(), order.duration_ms / 1000),
        }
    }
}

/// Paths of the endpoints.
pub(crate) const STATUS_PATH: &str = "/places";
pub(crate) const HOLD_PATH: &str = "/places/hold";
pub(crate) const RELEASE_PATH: &str = "/places/release";
