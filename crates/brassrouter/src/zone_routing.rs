//! Preference among zones. A node is given the distance of each zone and the shares of the keys that stay
//! close ([`ZoneRouting`]). This module derives the rank of a zone for a request and the share of the
//! attempts that is due to a server. Without a [`ZoneRouting`] all zones are alike.

use serde::{Deserialize, Serialize};

use crate::interface::{Key, RequestId};
use crate::state::unit_hash;

/// Number of rings of zones by distance: near, next, far and evacuated.
pub const RING_COUNT: usize = 4;
/// The ring of evacuated zones: no attempts are due to them, and they come last in every order.
pub const EVACUATED: u8 = 3;
/// Added to the rank of a server over its load bound, so that it comes after every ring.
const OVERLOADED: u8 = RING_COUNT as u8;
/// Purpose of the hash that determines the home ring of a key.
const HOME_RING_HASH: u64 = 2;
/// Purpose of the hash that determines which keys go to a zone that gets only a share of its keys.
const ZONE_SHARE_HASH: u64 = 3;
/// A ring or a zone with at most this share of its keys only gets probe traffic. Probes are drawn by request
/// and not by key: with a hot key, a tenth of all traffic could be probes.
const PROBE_SHARE: f64 = 0.05;
/// Ranks of the near, next and far ring, by the home ring of a key. Keys that have been moved out of a ring
/// return to it only if nothing else is left; otherwise the ring would not be relieved.
const RANKS: [[u8; 3]; 3] = [[0, 1, 2], [1, 0, 2], [2, 1, 0]];
/// The same for a request that has already been tried.
const RANKS_IF_TRIED: [u8; 3] = [2, 0, 1];

/// Distance of the zones, and the shares of keys that go to them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneRouting {
    /// The ring of each zone by its number; zones without an entry are far.
    pub zone_rings: Vec<u8>,
    /// The share of keys whose home is the near ring, and the share whose home is the near or the next ring;
    /// the home of the other keys is the far ring. Nodes with the same values choose the same keys.
    pub cumulative_key_shares: [f64; 2],
    /// The share of its keys that each zone gets, by its number; 1 for zones without an entry. The other keys
    /// of a zone are routed as if the zone were evacuated.
    pub zone_key_shares: Vec<f64>,
}

impl ZoneRouting {
    /// The ring of a zone.
    pub fn ring(&self, zone: u8) -> u8 {
        self.zone_rings.get(usize::from(zone)).copied().unwrap_or(2).min(EVACUATED)
    }

    /// The share of its keys that a zone gets.
    fn zone_key_share(&self, zone: u8) -> f64 {
        self.zone_key_shares.get(usize::from(zone)).map_or(1.0, |share| share.clamp(0.0, 1.0))
    }

    /// The home ring of a key.
    fn home_ring(&self, key: Key, request: RequestId) -> u8 {
        let draw = unit_hash(
            if self.cumulative_key_shares[0] <= PROBE_SHARE { request } else { key },
            0,
            HOME_RING_HASH,
        );
        u8::from(draw >= self.cumulative_key_shares[0])
            + u8::from(draw >= self.cumulative_key_shares[1].max(self.cumulative_key_shares[0]))
    }

    /// Shares of the keys by home ring.
    fn home_ring_shares(&self) -> [f64; 3] {
        let near = self.cumulative_key_shares[0].clamp(0.0, 1.0);
        let next = self.cumulative_key_shares[1].clamp(near, 1.0);
        [near, next - near, 1.0 - next]
    }
}

/// Total weights of servers by ring, for one class.
type RingWeights = [f64; RING_COUNT];

/// The current [`ZoneRouting`], and the weights of the servers by ring.
#[derive(Default)]
pub struct ZoneRouter {
    routing: Option<ZoneRouting>,
    /// By class, the weights of the ready servers: at present; falling no faster than servers warm up; and
    /// the latter as if every zone got all of its keys.
    weights: Vec<[RingWeights; 3]>,
}

impl ZoneRouter {
    /// Replaces the current routing.
    pub fn set(&mut self, routing: Option<ZoneRouting>) {
        // If rings or shares of zones have changed, the recent weights are counted anew.
        if self.routing.as_ref().map(|r| (&r.zone_rings, &r.zone_key_shares))
            != routing.as_ref().map(|r| (&r.zone_rings, &r.zone_key_shares))
        {
            self.weights.clear();
        }
        self.routing = routing;
    }

    /// Rank of a zone for a request; lower ranks come first. A request that has been tried prefers zones
    /// farther out, since a fault of a server often affects its zone. A server that is over its load bound,
    /// or has a backlog too long for the request, comes after all rings, as it comes after the other servers
    /// within a ring.
    pub fn rank(
        &self,
        (key, request): (Key, RequestId),
        zone: u8,
        tried: bool,
        overloaded: impl FnOnce() -> bool,
    ) -> u8 {
        let Some(routing) = &self.routing else { return 0 };
        let ring = routing.ring(zone);
        let zone_key_share = routing.zone_key_share(zone);
        let hashed = if zone_key_share <= PROBE_SHARE { request } else { key };
        if ring == EVACUATED
            || zone_key_share < 1.0 && unit_hash(hashed, zone.into(), ZONE_SHARE_HASH) >= zone_key_share
        {
            return 2 * OVERLOADED;
        }
        let ranks = if tried { RANKS_IF_TRIED } else { RANKS[usize::from(routing.home_ring(key, request))] };
        ranks[usize::from(ring)] + if overloaded() { OVERLOADED } else { 0 }
    }

    /// Updates the weights for a class from the zone and weight of each ready server.
    pub fn count_servers(&mut self, class: usize, servers: impl Iterator<Item = (u8, f64)>) {
        let Some(routing) = &self.routing else { return };
        let (mut now, mut unreduced) = (RingWeights::default(), RingWeights::default());
        servers.for_each(|(zone, weight)| {
            now[usize::from(routing.ring(zone))] += weight * routing.zone_key_share(zone);
            unreduced[usize::from(routing.ring(zone))] += weight;
        });
        if self.weights.len() <= class {
            self.weights.resize(class + 1, [RingWeights::default(); 3]);
        }
        let [present, recent, recent_unreduced] = &mut self.weights[class];
        *present = now;
        for (recent, now) in [(recent, now), (recent_unreduced, unreduced)] {
            recent.iter_mut().zip(now).for_each(|(recent, now)| *recent = recent.max(now));
        }
    }

    /// Multiplies the recent weights by a factor.
    pub fn decay(&mut self, factor: f64) {
        let recent = self.weights.iter_mut().flat_map(|[_, recent @ ..]| recent.iter_mut().flatten());
        recent.for_each(|weight| *weight *= factor);
    }

    /// The share of this node's attempts of a class that is due to a server of some weight, as numerator and
    /// denominator; `total` is the weight of all servers, present or recent.
    ///
    /// The recent share limits what a cold server is sent. If its zone is evacuated or keys have left its
    /// ring, only probe traffic is due to it now, and by that alone it would not be seen to have recovered
    /// before it is warm. So it may receive what would be due to it without any evacuation, a load that it
    /// has borne before.
    pub fn due_share(&self, class: usize, zone: u8, weight: f64, (total, recent): (f64, bool)) -> (f64, f64) {
        let (Some(routing), Some([present, recent_weights, recent_unreduced])) =
            (&self.routing, self.weights.get(class))
        else {
            return (weight, total);
        };
        let weights = if recent { recent_weights } else { present };
        let now = share_of_attempts(
            routing,
            zone,
            weight * routing.zone_key_share(zone),
            weights,
            routing.home_ring_shares(),
        );
        // If no zone gets any keys, all servers are alike.
        let Some(now) = now else { return (weight, total) };
        let without_evacuation =
            share_of_attempts(routing, zone, weight, recent_unreduced, [1.0, 0.0, 0.0]).filter(|_| recent);
        (without_evacuation.map_or(now, |share| share.max(now)), 1.0)
    }
}

/// The share of all attempts that is due to a weight in a zone, by the shares of keys with each home ring;
/// `None` if no ring has any weight.
fn share_of_attempts(
    routing: &ZoneRouting,
    zone: u8,
    weight: f64,
    weights: &RingWeights,
    home_ring_shares: [f64; 3],
) -> Option<f64> {
    let ring = usize::from(routing.ring(zone));
    // The first ring by rank that has any servers.
    let first = |ranks: &[u8; 3]| (0..3).filter(|ring| weights[*ring] > 0.0).min_by_key(|ring| ranks[*ring]);
    first(&RANKS[0])?;
    let due = RANKS.iter().zip(home_ring_shares).filter(|(ranks, _)| first(ranks) == Some(ring));
    Some(due.map(|(_, share)| share * weight / weights[ring]).sum())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Zones 0 to 3 are near, next, far and evacuated; four servers of weight 1 in each.
    fn router(cumulative_key_shares: [f64; 2]) -> ZoneRouter {
        let mut router = ZoneRouter::default();
        router.set(Some(ZoneRouting {
            zone_rings: vec![0, 1, 2, 3],
            cumulative_key_shares,
            ..ZoneRouting::default()
        }));
        router.count_servers(0, (0..4u8).flat_map(|zone| [(zone, 1.0); 4]));
        router
    }

    fn share(router: &ZoneRouter, zone: u8, weight: f64, total: (f64, bool)) -> f64 {
        let (due, total) = router.due_share(0, zone, weight, total);
        due / total
    }

    fn shares(router: &ZoneRouter) -> [f64; 4] {
        [0, 1, 2, 3].map(|zone| share(router, zone, 1.0, (16.0, false)))
    }

    #[test]
    fn without_a_routing_all_zones_are_alike() {
        let router = ZoneRouter::default();
        assert_eq!(router.due_share(0, 7, 2.0, (16.0, false)), (2.0, 16.0));
        assert_eq!(router.rank((9, 1), 7, true, || true), 0);
    }

    #[test]
    fn due_shares_add_up_to_all_attempts_for_any_key_shares() {
        for key_shares in [[1.0, 1.0], [0.0, 0.0], [0.3, 0.8], [0.3, 0.1], [2.0, -1.0]] {
            let router = router(key_shares);
            let all: f64 = shares(&router).iter().map(|d| d * 4.0).sum();
            assert!((all - 1.0).abs() < 1e-9, "{key_shares:?}: {all}");
        }
        assert_eq!(shares(&router([1.0, 1.0])), [0.25, 0.0, 0.0, 0.0]);
        assert_eq!(shares(&router([0.0, 1.0])), [0.0, 0.25, 0.0, 0.0]);
        assert_eq!(shares(&router([0.5, 0.5])), [0.125, 0.0, 0.125, 0.0]);
        assert_eq!(shares(&router([0.0, 0.0]))[3], 0.0, "nothing is due to an evacuated zone");
    }

    #[test]
    fn without_near_servers_the_next_ring_gets_the_near_share_too() {
        let mut router = ZoneRouter::default();
        router.set(Some(ZoneRouting {
            zone_rings: vec![0, 1, 2],
            cumulative_key_shares: [0.9, 0.9],
            ..ZoneRouting::default()
        }));
        router.count_servers(0, [(1, 1.0), (2, 1.0)].into_iter());
        assert!((share(&router, 1, 1.0, (2.0, false)) - 0.9).abs() < 1e-9);
        assert!((share(&router, 2, 1.0, (2.0, false)) - 0.1).abs() < 1e-9);
        router.count_servers(0, std::iter::empty());
        assert_eq!(share(&router, 2, 1.0, (2.0, false)), 0.5, "without any servers the total counts");
        assert!((share(&router, 1, 1.0, (2.0, true)) - 1.0).abs() < 1e-9, "recent weights stay");
    }

    #[test]
    fn home_rings_follow_the_key_shares_and_are_the_same_everywhere() {
        let router = router([0.6, 0.9]);
        let first = |key| (0..3).find(|zone| router.rank((key, 1), *zone, false, || false) == 0).unwrap();
        let part = |ring| (1..20_000).filter(|key| first(*key) == ring).count() as f64 / 20_000.0;
        assert!((part(0) - 0.6).abs() < 0.02 && (part(1) - 0.3).abs() < 0.02, "{} {}", part(0), part(1));
        assert_eq!([0, 1, 2, 3].map(|zone| router.rank((5, 1), zone, true, || false)), [2, 0, 1, 8]);
        let near = (1..).find(|key| router.rank((*key, 1), 0, false, || false) == 0).unwrap();
        let overloaded = [0, 1, 2, 3].map(|zone| router.rank((near, 1), zone, false, || true));
        assert_eq!(overloaded, [4, 5, 6, 8], "after every ring with free capacity, before evacuated zones");
    }

    #[test]
    fn a_cold_server_in_a_ring_without_keys_may_be_sent_its_full_share() {
        let router = router([0.02, 0.02]);
        assert!((share(&router, 0, 1.0, (16.0, false)) - 0.005).abs() < 1e-9);
        assert!((share(&router, 0, 1.0, (16.0, true)) - 0.25).abs() < 1e-9);
        assert!(
            (share(&router, 2, 1.0, (16.0, true)) - 0.245).abs() < 1e-9,
            "the ring that takes over gets more"
        );
        assert_eq!(share(&router, 3, 1.0, (16.0, true)), 0.0, "a zone in the evacuated ring gets nothing");
    }

    #[test]
    fn a_zone_gets_its_share_of_keys_and_the_other_zones_get_the_rest() {
        let mut router = ZoneRouter::default();
        router.set(Some(ZoneRouting {
            zone_rings: vec![0, 0, 0],
            cumulative_key_shares: [1.0, 1.0],
            zone_key_shares: vec![1.0, 1.0, 0.4],
        }));
        router.count_servers(0, (0..3u8).flat_map(|zone| [(zone, 1.0); 4]));
        let all: f64 = [0, 1, 2].map(|zone| 4.0 * share(&router, zone, 1.0, (12.0, false))).iter().sum();
        assert!((all - 1.0).abs() < 1e-9, "{all}");
        assert!((share(&router, 2, 1.0, (12.0, false)) - 0.4 / 9.6).abs() < 1e-9);
        let goes = (1..20_000).filter(|key| router.rank((*key, 1), 2, false, || false) == 0).count() as f64
            / 20_000.0;
        assert!((goes - 0.4).abs() < 0.02, "{goes}");
        assert!((1..1000).all(|key| router.rank((key, 1), 1, false, || false) == 0));
        // While cold, a zone with a reduced share may be sent its full share, and the others what is due to
        // them now.
        let cold = |zone: u8| share(&router, zone, 1.0, (12.0, true));
        assert!((cold(2) - 1.0 / 12.0).abs() < 1e-9 && (cold(0) - 1.0 / 9.6).abs() < 1e-9);
        // Probe traffic is the same share of every key's requests, also of the hottest key's.
        router.set(Some(ZoneRouting {
            zone_rings: vec![0, 0, 0],
            cumulative_key_shares: [1.0, 1.0],
            zone_key_shares: vec![1.0, 1.0, 0.04],
        }));
        let goes =
            (1..20_000).filter(|id| router.rank((7, *id), 2, false, || false) == 0).count() as f64 / 20_000.0;
        assert!((goes - 0.04).abs() < 0.01, "{goes}");
    }
}
