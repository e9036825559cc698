//! Which servers a key's order is taken over first. A balancer is told how far each zone is and how many of its keys stay
//! near ([`ZoneRouting`]); this is the bookkeeping that makes ranks and parts of it. Without a pool every server is near, and all
//! figures are what they were.

use serde::{Deserialize, Serialize};

use crate::interface::{Key, RequestId};
use crate::state::unit_hash;

/// Rings of zones by their distance: near, next, far, and given up.
pub const RINGS: usize = 4;
/// The ring of zones that are given up: nothing is due to them, and they come last in every order.
pub const GIVEN_UP: u8 = 3;
/// What a server over its load bound is ranked behind: every ring.
const OVER: u8 = RINGS as u8;
/// The purpose of the hash that says which ring is a key's pool.
const REACH: u64 = 2;
/// The purpose of the hash that says which keys go to a zone that is not open to all.
const OPEN: u64 = 3;
/// Of a ring or a zone that keeps no more than this only scouts are left. These are drawn by requests and not by keys: a hot key
/// would make a scout of a tenth of all traffic.
const SCOUTS: f64 = 0.05;
/// By the ring that is a key's pool: the ranks of near, next and far. What has left a ring goes back there only where
/// nothing else is left, else it would not be relieved.
const ORDERS: [[u8; 3]; 3] = [[0, 1, 2], [1, 0, 2], [2, 1, 0]];
/// The same for a request that has been tried.
const TRIED: [u8; 3] = [2, 0, 1];

/// How far zones are, and how many keys stay near.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneRouting {
    /// The ring of each zone by its number; zones beyond it are far.
    pub zone_rings: Vec<u8>,
    /// The part of the keys whose pool is the near ring, and the part whose pool is that or the next; the pool of the rest is
    /// what is far. The same keys at every balancer that is told the same.
    pub cumulative_key_shares: [f64; 2],
    /// The part of its keys that goes to each zone, by its number; all of them to those beyond it. The rest of a zone's keys go as
    /// if it were given up.
    pub zone_key_shares: Vec<f64>,
}

impl ZoneRouting {
    /// The ring of a zone.
    pub fn ring(&self, zone: u8) -> u8 {
        self.zone_rings.get(usize::from(zone)).copied().unwrap_or(2).min(GIVEN_UP)
    }

    /// The part of its keys that goes to a zone.
    fn open(&self, zone: u8) -> f64 {
        self.zone_key_shares.get(usize::from(zone)).map_or(1.0, |open| open.clamp(0.0, 1.0))
    }

    /// The ring that is a key's pool.
    fn reach(&self, key: Key, request: RequestId) -> u8 {
        let draw = unit_hash(if self.cumulative_key_shares[0] <= SCOUTS { request } else { key }, 0, REACH);
        u8::from(draw >= self.cumulative_key_shares[0])
            + u8::from(draw >= self.cumulative_key_shares[1].max(self.cumulative_key_shares[0]))
    }

    /// Parts of the keys by the ring that is their pool.
    fn parts(&self) -> [f64; 3] {
        let near = self.cumulative_key_shares[0].clamp(0.0, 1.0);
        let next = self.cumulative_key_shares[1].clamp(near, 1.0);
        [near, next - near, 1.0 - next]
    }
}

/// Weights of servers by ring, for one class.
type Sums = [f64; RINGS];

/// A pool, and the weights of the servers in it.
#[derive(Default)]
pub struct Pools {
    pool: Option<ZoneRouting>,
    /// By class: of the servers that are ready, the same falling no faster than servers warm, and that with every zone open.
    sums: Vec<[Sums; 3]>,
}

impl Pools {
    /// From now on this one holds, or none.
    pub fn set(&mut self, pool: Option<ZoneRouting>) {
        // Which servers are near may have changed: what was there lately is counted anew.
        if self.pool.as_ref().map(|p| (&p.zone_rings, &p.zone_key_shares))
            != pool.as_ref().map(|p| (&p.zone_rings, &p.zone_key_shares))
        {
            self.sums.clear();
        }
        self.pool = pool;
    }

    /// How far out of its pool a request would go in a zone: those with less come first. One that has been tried looks
    /// farther out first: what ails a server often ails its zone. Where every server of a ring is over its load bound, or
    /// has more to answer than there is time for, the next ring comes before them, as the next server does within a ring.
    pub fn rank(
        &self,
        (key, request): (Key, RequestId),
        zone: u8,
        tried: bool,
        over: impl FnOnce() -> bool,
    ) -> u8 {
        let Some(pool) = &self.pool else { return 0 };
        let ring = pool.ring(zone);
        let open = pool.open(zone);
        let drawn = if open <= SCOUTS { request } else { key };
        if ring == GIVEN_UP || open < 1.0 && unit_hash(drawn, zone.into(), OPEN) >= open {
            return 2 * OVER;
        }
        let order = if tried { TRIED } else { ORDERS[usize::from(pool.reach(key, request))] };
        order[usize::from(ring)] + if over() { OVER } else { 0 }
    }

    /// Counts the servers of a class anew: zone and weight of each that is ready.
    pub fn count(&mut self, class: usize, servers: impl Iterator<Item = (u8, f64)>) {
        let Some(pool) = &self.pool else { return };
        let (mut now, mut whole) = (Sums::default(), Sums::default());
        servers.for_each(|(zone, weight)| {
            now[usize::from(pool.ring(zone))] += weight * pool.open(zone);
            whole[usize::from(pool.ring(zone))] += weight;
        });
        if self.sums.len() <= class {
            self.sums.resize(class + 1, [Sums::default(); 3]);
        }
        let [present, lately, lately_whole] = &mut self.sums[class];
        *present = now;
        for (lately, now) in [(lately, now), (lately_whole, whole)] {
            lately.iter_mut().zip(now).for_each(|(lately, now)| *lately = lately.max(now));
        }
    }

    /// What was there lately fades.
    pub fn fade(&mut self, keep: f64) {
        let lately = self.sums.iter_mut().flat_map(|[_, lately @ ..]| lately.iter_mut().flatten());
        lately.for_each(|sum| *sum *= keep);
    }

    /// The part of this balancer's attempts of a class that is due to a server, by its weight, as a fraction's two numbers;
    /// `total` is the weight of all servers, now or lately.
    ///
    /// What is due lately bounds what a cold server is sent. Where its zone is given up, or its ring left, only scouts are due to it
    /// now: by them alone it could not be seen to be back before it is warm. So it may have what would be due to it were nothing
    /// given up, which it has had to bear before.
    pub fn due(&self, class: usize, zone: u8, weight: f64, (total, lately): (f64, bool)) -> (f64, f64) {
        let (Some(pool), Some([present, recent, whole])) = (&self.pool, self.sums.get(class)) else {
            return (weight, total);
        };
        let sums = if lately { recent } else { present };
        let now = part(pool, zone, weight * pool.open(zone), sums, pool.parts());
        // Where nothing is open to anybody, every server is as good as another.
        let Some(now) = now else { return (weight, total) };
        let as_usual = part(pool, zone, weight, whole, [1.0, 0.0, 0.0]).filter(|_| lately);
        (as_usual.map_or(now, |usual| usual.max(now)), 1.0)
    }
}

/// The part of all attempts that goes to a weight in a zone, where so many keys have each ring as their pool; `None` where no ring
/// has any weight.
fn part(pool: &ZoneRouting, zone: u8, weight: f64, sums: &Sums, parts: [f64; 3]) -> Option<f64> {
    let ring = usize::from(pool.ring(zone));
    // By the order of a pool: the first ring that has any servers.
    let first = |order: &[u8; 3]| (0..3).filter(|ring| sums[*ring] > 0.0).min_by_key(|ring| order[*ring]);
    first(&ORDERS[0])?;
    let due = ORDERS.iter().zip(parts).filter(|(order, _)| first(order) == Some(ring));
    Some(due.map(|(_, part)| part * weight / sums[ring]).sum())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Zones 0 and 1 near and next, zone 2 far, zone 3 given up; four servers of weight 1 in each.
    fn pools(keep: [f64; 2]) -> Pools {
        let mut pools = Pools::default();
        pools.set(Some(ZoneRouting {
            zone_rings: vec![0, 1, 2, 3],
            cumulative_key_shares: keep,
            ..ZoneRouting::default()
        }));
        pools.count(0, (0..4u8).flat_map(|zone| [(zone, 1.0); 4]));
        pools
    }

    fn share(pools: &Pools, zone: u8, weight: f64, of: (f64, bool)) -> f64 {
        let (due, of) = pools.due(0, zone, weight, of);
        due / of
    }

    fn due(pools: &Pools) -> [f64; 4] {
        [0, 1, 2, 3].map(|zone| share(pools, zone, 1.0, (16.0, false)))
    }

    #[test]
    fn without_a_pool_all_is_as_before() {
        let pools = Pools::default();
        assert_eq!(pools.due(0, 7, 2.0, (16.0, false)), (2.0, 16.0));
        assert_eq!(pools.rank((9, 1), 7, true, || true), 0);
    }

    #[test]
    fn what_is_due_adds_up_to_all_attempts_whatever_part_stays_near() {
        for keep in [[1.0, 1.0], [0.0, 0.0], [0.3, 0.8], [0.3, 0.1], [2.0, -1.0]] {
            let pools = pools(keep);
            let all: f64 = due(&pools).iter().map(|d| d * 4.0).sum();
            assert!((all - 1.0).abs() < 1e-9, "{keep:?}: {all}");
        }
        assert_eq!(due(&pools([1.0, 1.0])), [0.25, 0.0, 0.0, 0.0]);
        assert_eq!(due(&pools([0.0, 1.0])), [0.0, 0.25, 0.0, 0.0]);
        assert_eq!(due(&pools([0.5, 0.5])), [0.125, 0.0, 0.125, 0.0]);
        assert_eq!(due(&pools([0.0, 0.0]))[3], 0.0, "nothing is due to what is given up");
    }

    #[test]
    fn where_nobody_is_near_the_next_ring_has_the_near_part_too() {
        let mut pools = Pools::default();
        pools.set(Some(ZoneRouting {
            zone_rings: vec![0, 1, 2],
            cumulative_key_shares: [0.9, 0.9],
            ..ZoneRouting::default()
        }));
        pools.count(0, [(1, 1.0), (2, 1.0)].into_iter());
        assert!((share(&pools, 1, 1.0, (2.0, false)) - 0.9).abs() < 1e-9);
        assert!((share(&pools, 2, 1.0, (2.0, false)) - 0.1).abs() < 1e-9);
        pools.count(0, std::iter::empty());
        assert_eq!(share(&pools, 2, 1.0, (2.0, false)), 0.5, "and without any, the whole counts");
        assert!((share(&pools, 1, 1.0, (2.0, true)) - 1.0).abs() < 1e-9, "what was there lately stays");
    }

    #[test]
    fn keys_reach_as_far_as_their_parts_say_and_the_same_everywhere() {
        let pools = pools([0.6, 0.9]);
        let first = |key| (0..3).find(|zone| pools.rank((key, 1), *zone, false, || false) == 0).unwrap();
        let part = |ring| (1..20_000).filter(|key| first(*key) == ring).count() as f64 / 20_000.0;
        assert!((part(0) - 0.6).abs() < 0.02 && (part(1) - 0.3).abs() < 0.02, "{} {}", part(0), part(1));
        assert_eq!([0, 1, 2, 3].map(|zone| pools.rank((5, 1), zone, true, || false)), [2, 0, 1, 8]);
        let near = (1..).find(|key| pools.rank((*key, 1), 0, false, || false) == 0).unwrap();
        let over = [0, 1, 2, 3].map(|zone| pools.rank((near, 1), zone, false, || true));
        assert_eq!(over, [4, 5, 6, 8], "behind every ring that has room, and before what is given up");
    }

    #[test]
    fn a_ring_that_is_left_may_be_sent_its_part_while_it_is_cold() {
        let pools = pools([0.02, 0.02]);
        assert!((share(&pools, 0, 1.0, (16.0, false)) - 0.005).abs() < 1e-9);
        assert!((share(&pools, 0, 1.0, (16.0, true)) - 0.25).abs() < 1e-9);
        assert!((share(&pools, 2, 1.0, (16.0, true)) - 0.245).abs() < 1e-9, "what takes over is due more");
        assert_eq!(share(&pools, 3, 1.0, (16.0, true)), 0.0, "a pool that names a zone as given up means it");
    }

    #[test]
    fn a_zone_that_is_open_to_a_part_of_its_keys_gets_that_part_and_the_others_the_rest() {
        let mut pools = Pools::default();
        pools.set(Some(ZoneRouting {
            zone_rings: vec![0, 0, 0],
            cumulative_key_shares: [1.0, 1.0],
            zone_key_shares: vec![1.0, 1.0, 0.4],
        }));
        pools.count(0, (0..3u8).flat_map(|zone| [(zone, 1.0); 4]));
        let all: f64 = [0, 1, 2].map(|zone| 4.0 * share(&pools, zone, 1.0, (12.0, false))).iter().sum();
        assert!((all - 1.0).abs() < 1e-9, "{all}");
        assert!((share(&pools, 2, 1.0, (12.0, false)) - 0.4 / 9.6).abs() < 1e-9);
        let goes = (1..20_000).filter(|key| pools.rank((*key, 1), 2, false, || false) == 0).count() as f64
            / 20_000.0;
        assert!((goes - 0.4).abs() < 0.02, "{goes}");
        assert!((1..1000).all(|key| pools.rank((key, 1), 1, false, || false) == 0));
        // What is given up may be sent what is due to it in full while it is cold, and the others what is due to them now.
        let cold = |zone: u8| share(&pools, zone, 1.0, (12.0, true));
        assert!((cold(2) - 1.0 / 12.0).abs() < 1e-9 && (cold(0) - 1.0 / 9.6).abs() < 1e-9);
        // Scouts are so many of each key's requests, the hottest key's as well.
        pools.set(Some(ZoneRouting {
            zone_rings: vec![0, 0, 0],
            cumulative_key_shares: [1.0, 1.0],
            zone_key_shares: vec![1.0, 1.0, 0.04],
        }));
        let goes =
            (1..20_000).filter(|id| pools.rank((7, *id), 2, false, || false) == 0).count() as f64 / 20_000.0;
        assert!((goes - 0.04).abs() < 0.01, "{goes}");
    }
}
