//! The compact encodings of a node's evidence and of a plan.

use std::fmt;

use crate::MOST_ZONES;
use crate::orders::{OrderKind, OrderMessage};

/// The first byte of an encoding of pairs without orders.
const VERSION_WITHOUT_ORDERS: u8 = 1;
/// The first byte of an encoding of pairs followed by orders. Written only where there are orders, so that nodes that
/// know only the former version can read everything else.
const VERSION_WITH_ORDERS: u8 = 2;

/// Attempts are encoded in fractions of one: each node has less than one at a time in a zone that is given up.
pub const UNITS_PER_ATTEMPT: f64 = 8.0;
/// A node with fewer recent attempts in a zone can't judge the zone.
pub(crate) const MIN_ATTEMPTS: f64 = 3.0;

/// A node's measurements of each zone: recent attempts and the share of unanswered ones, both as 0 to 255.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// By zone: attempts in eighths, and unanswered ones as parts of 255.
    pub zones: Vec<(u8, u8)>,
    /// Orders of operators that the plan lacks.
    pub orders: Vec<OrderMessage>,
}

/// Bytes that are no valid evidence or plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("evidence or plan of an unknown version, or corrupted")
    }
}

impl std::error::Error for DecodeError {}

/// Pairs by zone, and orders.
type Decoded = (Vec<(u8, u8)>, Vec<OrderMessage>);

/// Parses both encodings: version, count, pairs, orders.
fn decode(bytes: &[u8]) -> Result<Decoded, DecodeError> {
    let [version, count, rest @ ..] = bytes else { return Err(DecodeError) };
    let pairs = 2 * usize::from(*count);
    if usize::from(*count) > MOST_ZONES || rest.len() < pairs {
        return Err(DecodeError);
    }
    let (pairs, order_bytes) = rest.split_at(pairs);
    let orders = match (*version, order_bytes) {
        (version, []) if version == VERSION_WITHOUT_ORDERS => Vec::new(),
        (version, orders) if version == VERSION_WITH_ORDERS => OrderMessage::decode_all(orders)?,
        _ => return Err(DecodeError),
    };
    Ok((pairs.chunks_exact(2).map(|pair| (pair[0], pair[1])).collect(), orders))
}

fn encode(pairs: impl ExactSizeIterator<Item = (u8, u8)>, orders: &[OrderMessage]) -> Vec<u8> {
    let version = if orders.is_empty() { VERSION_WITHOUT_ORDERS } else { VERSION_WITH_ORDERS };
    let mut bytes = vec![version, pairs.len().min(MOST_ZONES) as u8];
    bytes.extend(pairs.take(MOST_ZONES).flat_map(|(a, b)| [a, b]));
    orders.iter().take(MOST_ZONES).for_each(|order| order.encode_into(&mut bytes));
    bytes
}

impl Evidence {
    /// What a node reports of a zone that it has left by itself: just enough attempts to judge, all of them unanswered.
    pub const LOST: (u8, u8) = ((MIN_ATTEMPTS * UNITS_PER_ATTEMPT) as u8, 255);

    /// From attempts and unanswered attempts by zone.
    pub fn from_counts(zones: impl Iterator<Item = (f64, f64)>) -> Evidence {
        let byte = |value: f64| value.clamp(0.0, 255.0).round() as u8;
        let pair = |(attempts, unanswered): (f64, f64)| {
            (
                byte(attempts * UNITS_PER_ATTEMPT),
                if attempts > 0.0 { byte(255.0 * unanswered / attempts) } else { 0 },
            )
        };
        Evidence { zones: zones.map(pair).collect(), orders: Vec::new() }
    }

    /// Serializes the evidence.
    pub fn encode(&self) -> Vec<u8> {
        encode(self.zones.iter().copied(), &self.orders)
    }

    /// Deserializes evidence.
    ///
    /// # Errors
    /// Bytes that are no evidence.
    pub fn decode(bytes: &[u8]) -> Result<Evidence, DecodeError> {
        let (zones, orders) = decode(bytes)?;
        Ok(Evidence { zones, orders })
    }
}

/// The state of a zone in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// It has all of its keys.
    Serving,
    /// Many attempts there are unanswered; nothing is done about it yet.
    Suspected,
    /// Its keys go elsewhere, except for a few whose attempts show when it is back.
    GivenUp,
    /// It answers again, and gets its keys back in steps.
    Returning,
}

impl ZoneState {
    /// The state as one word, for logs and the operations endpoint.
    pub fn as_str(self) -> &'static str {
        match self {
            ZoneState::Serving => "serving",
            ZoneState::Suspected => "suspected",
            ZoneState::GivenUp => "given-up",
            ZoneState::Returning => "returning",
        }
    }
}

/// One zone of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePlan {
    /// The state of the zone.
    pub state: ZoneState,
    /// The share of its keys that goes there, in percent.
    pub open_percent: u8,
}

/// The plan that all nodes act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// By zone.
    pub zones: Vec<ZonePlan>,
    /// Orders of operators.
    pub orders: Vec<OrderMessage>,
}

impl Plan {
    /// Serializes the plan.
    pub fn encode(&self) -> Vec<u8> {
        encode(self.zones.iter().map(|z| (z.state as u8, z.open_percent)), &self.orders)
    }

    /// Deserializes a plan. An empty slice is the plan in which nothing is wrong.
    ///
    /// # Errors
    /// Bytes that are no plan.
    pub fn decode(bytes: &[u8]) -> Result<Plan, DecodeError> {
        if bytes.is_empty() {
            return Ok(Plan::default());
        }
        let zone = |(state, open): (u8, u8)| {
            let state = match state {
                0 => ZoneState::Serving,
                1 => ZoneState::Suspected,
                2 => ZoneState::GivenUp,
                3 => ZoneState::Returning,
                _ => return Err(DecodeError),
            };
            if open > 100 { Err(DecodeError) } else { Ok(ZonePlan { state, open_percent: open }) }
        };
        let (zones, orders) = decode(bytes)?;
        Ok(Plan { zones: zones.into_iter().map(zone).collect::<Result<_, _>>()?, orders })
    }

    /// The share of a zone's keys that goes there, from 0 to 1.
    pub fn open_share(&self, zone: usize) -> f64 {
        self.zones.get(zone).map_or(1.0, |z| f64::from(z.open_percent) / 100.0)
    }

    /// The order for a zone that has not expired, as far as the plan says.
    pub fn active_order(&self, zone: usize) -> Option<OrderKind> {
        let order = self.orders.iter().find(|order| order.is_for(zone) && order.is_active())?;
        Some(order.kind())
    }

    /// One line for operators: the zones that are not simply serving, by their names.
    pub fn describe(&self, names: &[String]) -> String {
        let noteworthy = self.zones.iter().enumerate();
        let noteworthy = noteworthy
            .filter(|(index, zone)| zone.state != ZoneState::Serving || self.active_order(*index).is_some());
        let describe_zone = |(index, zone): (usize, &ZonePlan)| {
            let name = names.get(index).map_or("?", String::as_str);
            let status = match (self.active_order(index), zone.state) {
                (Some(OrderKind::KeepIn), _) => "is kept in by staff",
                (Some(OrderKind::KeepOut), _) => "is kept out by staff",
                (Some(OrderKind::Drain), _) => "is kept out by staff, its clients go elsewhere",
                (_, ZoneState::Serving) => "serves",
                (_, ZoneState::Suspected) => "is suspected",
                (_, ZoneState::GivenUp) => "is given up",
                (_, ZoneState::Returning) => "is returning",
            };
            format!("{name} {status}, {}% of its keys go there", zone.open_percent)
        };
        let descriptions: Vec<String> = noteworthy.map(describe_zone).collect();
        if descriptions.is_empty() { "all zones serve".into() } else { descriptions.join("; ") }
    }
}
