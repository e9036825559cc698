//! Orders of operators: a zone kept out of service, or kept in service, for a time.
//!
//! Each zone has a register of one order. Any node accepts an order, numbers it above the one that it knows for that
//! zone, and sends it with its evidence; the leader puts it into the plan; a node that receives an order with a higher
//! number keeps that one. So an order survives the node that accepted it, any leader, and all voters at once, for as
//! long as one node that knows it runs. It expires by itself: each node counts its duration down by its own clock, and
//! the shortest count that it has received holds. A release is an order too, and expired orders are kept, so that an
//! old message brings neither back.

use std::collections::BTreeMap;
use std::fmt;

use crate::evidence::DecodeError;
use crate::{MOST_ZONES, Millis};

/// The longest duration of an order, in milliseconds: 18 hours, which its encoding can hold. For longer, order again.
pub const MAX_ORDER_MS: Millis = 18 * 3600 * 1000;
/// The resolution of the time left of an order in a plan, in milliseconds, rounded up: with seconds each second would
/// be another plan.
const PLAN_RESOLUTION_MS: Millis = 15_000;
/// With this much time left or less, in milliseconds, plans use seconds, so that the order expires everywhere at the
/// same time.
const FULL_RESOLUTION_BELOW_MS: Millis = 60_000;
/// The resolution otherwise, in milliseconds.
const SECOND_MS: Millis = 1_000;
/// Order numbers from here on are invalid: operators do not order so often, and no higher number would be left.
const MAX_NUMBER: u16 = 60_000;
/// The length of an encoded order in bytes: zone and kind, number, node, duration in seconds.
const ENCODED_BYTES: usize = 7;

/// What an operator orders for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// No order any more: evidence decides.
    Released,
    /// The zone keeps its keys, whatever the evidence says.
    KeepIn,
    /// None of its keys go there.
    KeepOut,
    /// None of its keys go there, and clients of its nodes are sent elsewhere.
    Drain,
}

impl OrderKind {
    /// Whether keys are kept away from the zone.
    pub fn is_out(self) -> bool {
        matches!(self, OrderKind::KeepOut | OrderKind::Drain)
    }

    /// The kind as one word, for logs and the operations endpoint.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderKind::Released => "released",
            OrderKind::KeepIn => "in",
            OrderKind::KeepOut => "out",
            OrderKind::Drain => "drain",
        }
    }
}

/// An order as an operator gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOrder {
    /// The zone, by its index in the settings.
    pub zone: usize,
    /// The kind of order.
    pub kind: OrderKind,
    /// How long it lasts, in milliseconds.
    pub duration_ms: Millis,
}

/// Why an order is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// There is no such zone.
    UnknownZone,
    /// A duration of 0, or one longer than [`MAX_ORDER_MS`].
    Duration,
    /// No zone would be left.
    LastZone,
    /// The zone has no order numbers left.
    NumbersExhausted,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::UnknownZone => f.write_str("there is no such zone"),
            OrderError::Duration => {
                write!(f, "the duration is not between 1 and {} seconds", MAX_ORDER_MS / 1000)
            }
            OrderError::LastZone => {
                f.write_str("every other zone is kept out already, so none would be left")
            }
            OrderError::NumbersExhausted => f.write_str("the order numbers of this zone are exhausted"),
        }
    }
}

impl std::error::Error for OrderError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Order {
    number: u16,
    node: u16,
    kind: OrderKind,
    /// When it expires, by this node's clock.
    expires_at: Millis,
}

impl Order {
    fn rank(&self) -> (u16, u16) {
        (self.number, self.node)
    }

    fn is_active(&self, now: Millis) -> bool {
        self.kind != OrderKind::Released && now < self.expires_at
    }
}

/// An order in a message between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    zone: u8,
    number: u16,
    node: u16,
    kind: OrderKind,
    left_s: u16,
}

impl OrderMessage {
    pub(crate) fn is_for(&self, zone: usize) -> bool {
        usize::from(self.zone) == zone
    }

    /// Whether it has neither expired nor been released.
    pub(crate) fn is_active(&self) -> bool {
        self.kind != OrderKind::Released && self.left_s > 0
    }

    pub(crate) fn kind(&self) -> OrderKind {
        self.kind
    }

    pub(crate) fn encode_into(&self, bytes: &mut Vec<u8>) {
        bytes.push(self.zone | (self.kind as u8) << 4);
        for field in [self.number, self.node, self.left_s] {
            bytes.extend(field.to_le_bytes());
        }
    }

    /// Deserializes all orders of a message.
    pub(crate) fn decode_all(bytes: &[u8]) -> Result<Vec<OrderMessage>, DecodeError> {
        if !bytes.len().is_multiple_of(ENCODED_BYTES) || bytes.len() > MOST_ZONES * ENCODED_BYTES {
            return Err(DecodeError);
        }
        let decode_one = |b: &[u8]| {
            let kind = match b[0] >> 4 {
                0 => OrderKind::Released,
                1 => OrderKind::KeepIn,
                2 => OrderKind::KeepOut,
                3 => OrderKind::Drain,
                _ => return Err(DecodeError),
            };
            let field = |at: usize| u16::from_le_bytes([b[at], b[at + 1]]);
            Ok(OrderMessage { zone: b[0] & 15, number: field(1), node: field(3), kind, left_s: field(5) })
        };
        bytes.chunks_exact(ENCODED_BYTES).map(decode_one).collect()
    }
}

/// The known orders, by zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneOrders {
    zones: BTreeMap<u8, Order>,
}

impl ZoneOrders {
    /// Accepts an operator's order at this node.
    ///
    /// # Errors
    /// Why the order is rejected.
    pub fn issue(
        &mut self,
        now: Millis,
        node: u16,
        order: ZoneOrder,
        zones: usize,
    ) -> Result<(), OrderError> {
        if order.zone >= zones.min(MOST_ZONES) {
            return Err(OrderError::UnknownZone);
        }
        if order.kind != OrderKind::Released && !(1000..=MAX_ORDER_MS).contains(&order.duration_ms) {
            return Err(OrderError::Duration);
        }
        let zone = order.zone as u8;
        let is_kept_out = |z: usize| self.active(z, now).is_some_and(|(kind, _)| kind.is_out());
        if order.kind.is_out() && (0..zones).all(|z| z == order.zone || is_kept_out(z)) {
            return Err(OrderError::LastZone);
        }
        let number = self.zones.get(&zone).map_or(0, |o| o.number) + 1;
        if number >= MAX_NUMBER {
            return Err(OrderError::NumbersExhausted);
        }
        self.zones
            .insert(zone, Order { number, node, kind: order.kind, expires_at: now + order.duration_ms });
        Ok(())
    }

    /// The active order for a zone, and how long it still lasts.
    pub fn active(&self, zone: usize, now: Millis) -> Option<(OrderKind, Millis)> {
        let order = self.zones.get(&u8::try_from(zone).ok()?)?;
        order.is_active(now).then(|| (order.kind, order.expires_at - now))
    }

    /// The node that accepted the last order for a zone.
    pub fn issued_by(&self, zone: usize) -> Option<u16> {
        self.zones.get(&u8::try_from(zone).ok()?).map(|o| o.node)
    }

    /// The orders that this node sends to others, releases and expired ones included.
    pub fn messages(&self, now: Millis) -> Vec<OrderMessage> {
        self.messages_with_resolution(now, |_| SECOND_MS)
    }

    /// The orders for a plan, with a coarser time left: otherwise each second would be another plan.
    pub fn plan_messages(&self, now: Millis) -> Vec<OrderMessage> {
        self.messages_with_resolution(now, |left_ms| {
            if left_ms > FULL_RESOLUTION_BELOW_MS { PLAN_RESOLUTION_MS } else { SECOND_MS }
        })
    }

    fn messages_with_resolution(
        &self,
        now: Millis,
        resolution_ms: impl Fn(Millis) -> Millis,
    ) -> Vec<OrderMessage> {
        let message = |(zone, o): (&u8, &Order)| {
            let left_ms = if o.is_active(now) { o.expires_at - now } else { 0 };
            let left_s =
                (left_ms.next_multiple_of(resolution_ms(left_ms)) / 1000).min(u64::from(u16::MAX)) as u16;
            OrderMessage { zone: *zone, number: o.number, node: o.node, kind: o.kind, left_s }
        };
        self.zones.iter().map(message).collect()
    }

    /// Merges the orders of a message. A newer order replaces an older one; of the same order the shorter time left
    /// holds.
    pub fn merge(&mut self, now: Millis, messages: &[OrderMessage], zones: usize) {
        for message in messages {
            let left_ms = Millis::from(message.left_s) * 1000;
            if usize::from(message.zone) >= zones
                || message.number >= MAX_NUMBER
                || left_ms > MAX_ORDER_MS + PLAN_RESOLUTION_MS
            {
                continue;
            }
            let received = Order {
                number: message.number,
                node: message.node,
                kind: message.kind,
                expires_at: now + left_ms,
            };
            self.zones
                .entry(message.zone)
                .and_modify(|known| {
                    if received.rank() > known.rank() {
                        *known = received;
                    } else if received.rank() == known.rank() {
                        known.expires_at = known.expires_at.min(received.expires_at);
                    }
                })
                .or_insert(received);
        }
    }

    /// Whether an order is known that these messages lack.
    pub fn has_newer_than(&self, messages: &[OrderMessage]) -> bool {
        let is_newer = |(zone, o): (&u8, &Order)| {
            !messages
                .iter()
                .any(|message| message.zone == *zone && (message.number, message.node) >= o.rank())
        };
        self.zones.iter().any(is_newer)
    }
}
