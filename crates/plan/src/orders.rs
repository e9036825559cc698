//! What staff have ordered by hand: a zone kept out of service, or kept in it, for a time.
//!
//! Each zone has a register of one order. Any node takes an order, numbers it above the one that it knows of that zone, and tells it
//! with its evidence; the decider puts it into the plan; whoever hears of an order with a higher number has that one from then on.
//! So an order survives the node that took it, any decider, and all voters at once, for as long as one node that knows it runs.
//! It ends by itself: each node counts its span down by its own clock, and the shortest count that it has heard holds. A
//! release is an order too, and what has run out is kept, so that an old message brings neither back.

use std::collections::BTreeMap;
use std::fmt;

use crate::evidence::Spoilt;
use crate::{MOST_ZONES, Millis};

/// The longest span of an order, in milliseconds: 18 hours, what its bytes can tell. Whoever means longer orders again.
pub const LONGEST: Millis = 18 * 3600 * 1000;
/// Plans tell spans that are longer than the second figure in steps of the first, rounded up, in milliseconds: else each second
/// would be another plan. The last minute is told by the second, so that all come to the end together.
const GRAIN: (Millis, Millis) = (15_000, 60_000);
/// The step otherwise.
const SECOND: Millis = 1_000;
/// Numbers from which on an order is nonsense: staff do not order so often, and no higher one would be left.
const MOST_NUMBER: u16 = 60_000;
/// Bytes of an order that is told: zone and what is ordered, number, node, span in seconds.
const BYTES: usize = 7;

/// What staff want of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Nothing any more: what nodes see decides.
    Released,
    /// It keeps its keys, whatever nodes see.
    KeepIn,
    /// None of its keys go there.
    KeepOut,
    /// None of its keys go there, and its nodes' clients go elsewhere.
    Drain,
}

impl OrderKind {
    /// Whether keys are kept away.
    pub fn is_out(self) -> bool {
        matches!(self, OrderKind::KeepOut | OrderKind::Drain)
    }

    /// One word for people and for the second address.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderKind::Released => "released",
            OrderKind::KeepIn => "in",
            OrderKind::KeepOut => "out",
            OrderKind::Drain => "drain",
        }
    }
}

/// An order as staff give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOrder {
    /// The zone, by its number in the settings.
    pub zone: usize,
    /// What they want of it.
    pub kind: OrderKind,
    /// For how long, in milliseconds.
    pub duration_ms: Millis,
}

/// Why an order is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There is no such zone.
    NoZone,
    /// A span of nothing, or longer than [`LONGEST`].
    Span,
    /// No zone would be left.
    LastZone,
    /// The zone's numbers are used up.
    Numbers,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NoZone => f.write_str("there is no such zone"),
            Refused::Span => write!(f, "a span is between 1 and {} seconds", LONGEST / 1000),
            Refused::LastZone => f.write_str("every other zone is kept out already: none would be left"),
            Refused::Numbers => f.write_str("the numbers of this zone's orders are used up"),
        }
    }
}

impl std::error::Error for Refused {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Order {
    number: u16,
    node: u16,
    how: OrderKind,
    /// When it ends, by this node's clock.
    until: Millis,
}

impl Order {
    fn rank(&self) -> (u16, u16) {
        (self.number, self.node)
    }

    fn stands(&self, now: Millis) -> bool {
        self.how != OrderKind::Released && now < self.until
    }
}

/// An order as nodes tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    zone: u8,
    number: u16,
    node: u16,
    how: OrderKind,
    left_s: u16,
}

impl OrderMessage {
    pub(crate) fn is_of(&self, zone: usize) -> bool {
        usize::from(self.zone) == zone
    }

    /// Whether it has neither run out nor been taken back.
    pub(crate) fn stands(&self) -> bool {
        self.how != OrderKind::Released && self.left_s > 0
    }

    pub(crate) fn how(&self) -> OrderKind {
        self.how
    }

    pub(crate) fn write(&self, bytes: &mut Vec<u8>) {
        bytes.push(self.zone | (self.how as u8) << 4);
        for field in [self.number, self.node, self.left_s] {
            bytes.extend(field.to_le_bytes());
        }
    }

    /// Reads all that are told.
    pub(crate) fn read(bytes: &[u8]) -> Result<Vec<OrderMessage>, Spoilt> {
        if !bytes.len().is_multiple_of(BYTES) || bytes.len() > MOST_ZONES * BYTES {
            return Err(Spoilt);
        }
        let one = |b: &[u8]| {
            let how = match b[0] >> 4 {
                0 => OrderKind::Released,
                1 => OrderKind::KeepIn,
                2 => OrderKind::KeepOut,
                3 => OrderKind::Drain,
                _ => return Err(Spoilt),
            };
            let field = |at: usize| u16::from_le_bytes([b[at], b[at + 1]]);
            Ok(OrderMessage { zone: b[0] & 15, number: field(1), node: field(3), how, left_s: field(5) })
        };
        bytes.chunks_exact(BYTES).map(one).collect()
    }
}

/// What is known of staff's orders, by zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneOrders {
    zones: BTreeMap<u8, Order>,
}

impl ZoneOrders {
    /// Staff order something at this node.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn issue(&mut self, now: Millis, node: u16, wish: ZoneOrder, zones: usize) -> Result<(), Refused> {
        if wish.zone >= zones.min(MOST_ZONES) {
            return Err(Refused::NoZone);
        }
        if wish.kind != OrderKind::Released && !(1000..=LONGEST).contains(&wish.duration_ms) {
            return Err(Refused::Span);
        }
        let zone = wish.zone as u8;
        let out = |z: usize| self.active(z, now).is_some_and(|(how, _)| how.is_out());
        if wish.kind.is_out() && (0..zones).all(|z| z == wish.zone || out(z)) {
            return Err(Refused::LastZone);
        }
        let number = self.zones.get(&zone).map_or(0, |o| o.number) + 1;
        if number >= MOST_NUMBER {
            return Err(Refused::Numbers);
        }
        self.zones.insert(zone, Order { number, node, how: wish.kind, until: now + wish.duration_ms });
        Ok(())
    }

    /// What is ordered of a zone now, and for how much longer.
    pub fn active(&self, zone: usize, now: Millis) -> Option<(OrderKind, Millis)> {
        let order = self.zones.get(&u8::try_from(zone).ok()?)?;
        order.stands(now).then(|| (order.how, order.until - now))
    }

    /// Which node took the last order of a zone.
    pub fn issued_by(&self, zone: usize) -> Option<u16> {
        self.zones.get(&u8::try_from(zone).ok()?).map(|o| o.node)
    }

    /// What this node tells others, releases and what has run out included.
    pub fn messages(&self, now: Millis) -> Vec<OrderMessage> {
        self.tell(now, |_| SECOND)
    }

    /// The same for a plan, which is another one only now and then while an order's time goes on.
    pub fn planned(&self, now: Millis) -> Vec<OrderMessage> {
        self.tell(now, |left| if left > GRAIN.1 { GRAIN.0 } else { SECOND })
    }

    fn tell(&self, now: Millis, step: impl Fn(Millis) -> Millis) -> Vec<OrderMessage> {
        let one = |(zone, o): (&u8, &Order)| {
            let left = if o.stands(now) { o.until - now } else { 0 };
            let left_s = (left.next_multiple_of(step(left)) / 1000).min(u64::from(u16::MAX)) as u16;
            OrderMessage { zone: *zone, number: o.number, node: o.node, how: o.how, left_s }
        };
        self.zones.iter().map(one).collect()
    }

    /// Hears what another tells. What is newer holds; of the same order the shorter count does.
    pub fn merge(&mut self, now: Millis, told: &[OrderMessage], zones: usize) {
        for t in told {
            let left = Millis::from(t.left_s) * 1000;
            if usize::from(t.zone) >= zones || t.number >= MOST_NUMBER || left > LONGEST + GRAIN.0 {
                continue;
            }
            let heard = Order { number: t.number, node: t.node, how: t.how, until: now + left };
            self.zones
                .entry(t.zone)
                .and_modify(|known| {
                    if heard.rank() > known.rank() {
                        *known = heard;
                    } else if heard.rank() == known.rank() {
                        known.until = known.until.min(heard.until);
                    }
                })
                .or_insert(heard);
        }
    }

    /// Whether it knows an order that what was told lacks.
    pub fn has_newer_than(&self, told: &[OrderMessage]) -> bool {
        let lacks = |(zone, o): (&u8, &Order)| {
            !told.iter().any(|t| t.zone == *zone && (t.number, t.node) >= o.rank())
        };
        self.zones.iter().any(lacks)
    }
}
