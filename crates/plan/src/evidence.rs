//! What nodes see, and what a plan says, as few bytes each.

use std::fmt;

use crate::MOST_ZONES;
use crate::orders::{OrderKind, OrderMessage};

/// The layout of both, the first byte of each: pairs alone, and pairs with orders of staff behind them. The second is written only
/// where there are orders, so that nodes which know the first go on reading all else.
const VERSIONS: (u8, u8) = (1, 2);

/// Attempts are told in parts of one: of a zone that is given up each node has less than one at a time.
pub const PARTS: f64 = 8.0;
/// A node that has sent a zone fewer attempts than this of late can't tell how it is.
pub(crate) const ENOUGH: f64 = 3.0;

/// What a node sees of each zone: attempts of late, and the part of them that nobody answered in time, both as 0 to 255.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// By zone: attempts in eighths, and silent ones of 255.
    pub zones: Vec<(u8, u8)>,
    /// Orders of staff that the plan lacks.
    pub orders: Vec<OrderMessage>,
}

/// Bytes that are no evidence or no plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt;

impl fmt::Display for Spoilt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes of another version, or spoilt ones")
    }
}

impl std::error::Error for Spoilt {}

/// Pairs by zone, and orders.
type Parts = (Vec<(u8, u8)>, Vec<OrderMessage>);

/// What stands behind the version: a count, pairs, orders.
fn parts(bytes: &[u8]) -> Result<Parts, Spoilt> {
    let [version, count, rest @ ..] = bytes else { return Err(Spoilt) };
    let pairs = 2 * usize::from(*count);
    if usize::from(*count) > MOST_ZONES || rest.len() < pairs {
        return Err(Spoilt);
    }
    let (pairs, behind) = rest.split_at(pairs);
    let orders = match (*version, behind) {
        (version, []) if version == VERSIONS.0 => Vec::new(),
        (version, orders) if version == VERSIONS.1 => OrderMessage::read(orders)?,
        _ => return Err(Spoilt),
    };
    Ok((pairs.chunks_exact(2).map(|pair| (pair[0], pair[1])).collect(), orders))
}

fn write(pairs: impl ExactSizeIterator<Item = (u8, u8)>, orders: &[OrderMessage]) -> Vec<u8> {
    let version = if orders.is_empty() { VERSIONS.0 } else { VERSIONS.1 };
    let mut bytes = vec![version, pairs.len().min(MOST_ZONES) as u8];
    bytes.extend(pairs.take(MOST_ZONES).flat_map(|(a, b)| [a, b]));
    orders.iter().take(MOST_ZONES).for_each(|told| told.write(&mut bytes));
    bytes
}

impl Evidence {
    /// What a node tells of a zone that it has left by itself: as many attempts as it takes to tell, and all of them silent.
    pub const LOST: (u8, u8) = ((ENOUGH * PARTS) as u8, 255);

    /// Of attempts and silent ones by zone.
    pub fn from_counts(zones: impl Iterator<Item = (f64, f64)>) -> Evidence {
        let byte = |figure: f64| figure.clamp(0.0, 255.0).round() as u8;
        let one = |(all, silent): (f64, f64)| {
            (byte(all * PARTS), if all > 0.0 { byte(255.0 * silent / all) } else { 0 })
        };
        Evidence { zones: zones.map(one).collect(), orders: Vec::new() }
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        write(self.zones.iter().copied(), &self.orders)
    }

    /// Reads evidence.
    ///
    /// # Errors
    /// Bytes that are none.
    pub fn decode(bytes: &[u8]) -> Result<Evidence, Spoilt> {
        let (zones, orders) = parts(bytes)?;
        Ok(Evidence { zones, orders })
    }
}

/// What a zone is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// It has all of its keys.
    Serving,
    /// Much that goes there is not answered; nothing is done about it yet.
    Suspected,
    /// Its keys go elsewhere, but for a few by which its return is seen.
    GivenUp,
    /// It answers again, and gets its keys back in steps.
    Returning,
}

impl ZoneState {
    /// One word for people and programs.
    pub fn as_str(self) -> &'static str {
        match self {
            ZoneState::Serving => "serving",
            ZoneState::Suspected => "suspected",
            ZoneState::GivenUp => "given-up",
            ZoneState::Returning => "returning",
        }
    }
}

/// A zone in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// What it is.
    pub state: ZoneState,
    /// The part of its keys that goes there, in hundredths.
    pub open_percent: u8,
}

/// What all nodes act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// By zone.
    pub zones: Vec<Zone>,
    /// What staff have ordered.
    pub orders: Vec<OrderMessage>,
}

impl Plan {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        write(self.zones.iter().map(|z| (z.state as u8, z.open_percent)), &self.orders)
    }

    /// Reads a plan. No bytes at all are the plan in which nothing is wrong.
    ///
    /// # Errors
    /// Bytes that are no plan.
    pub fn decode(bytes: &[u8]) -> Result<Plan, Spoilt> {
        if bytes.is_empty() {
            return Ok(Plan::default());
        }
        let zone = |(state, open): (u8, u8)| {
            let state = match state {
                0 => ZoneState::Serving,
                1 => ZoneState::Suspected,
                2 => ZoneState::GivenUp,
                3 => ZoneState::Returning,
                _ => return Err(Spoilt),
            };
            if open > 100 { Err(Spoilt) } else { Ok(Zone { state, open_percent: open }) }
        };
        let (zones, orders) = parts(bytes)?;
        Ok(Plan { zones: zones.into_iter().map(zone).collect::<Result<_, _>>()?, orders })
    }

    /// The part of a zone's keys that goes there, from 0 to 1.
    pub fn open_share(&self, zone: usize) -> f64 {
        self.zones.get(zone).map_or(1.0, |z| f64::from(z.open_percent) / 100.0)
    }

    /// What staff have ordered of a zone and has not run out, as far as the plan tells.
    pub fn active_order(&self, zone: usize) -> Option<OrderKind> {
        let order = self.orders.iter().find(|told| told.is_of(zone) && told.stands())?;
        Some(order.how())
    }

    /// One line for people: the zones that are not simply serving, by their names.
    pub fn describe(&self, names: &[String]) -> String {
        let odd = self.zones.iter().enumerate();
        let odd = odd.filter(|(i, z)| z.state != ZoneState::Serving || self.active_order(*i).is_some());
        let one = |(i, z): (usize, &Zone)| {
            let name = names.get(i).map_or("?", String::as_str);
            let what = match (self.active_order(i), z.state) {
                (Some(OrderKind::KeepIn), _) => "is kept in by staff",
                (Some(OrderKind::KeepOut), _) => "is kept out by staff",
                (Some(OrderKind::Drain), _) => "is kept out by staff, its clients go elsewhere",
                (_, ZoneState::Serving) => "serves",
                (_, ZoneState::Suspected) => "is suspected",
                (_, ZoneState::GivenUp) => "is given up",
                (_, ZoneState::Returning) => "is returning",
            };
            format!("{name} {what}, {}% of its keys go there", z.open_percent)
        };
        let told: Vec<String> = odd.map(one).collect();
        if told.is_empty() { "all zones serve".into() } else { told.join("; ") }
    }
}
