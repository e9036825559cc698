//! Operators' orders: they outlive the node that accepted them, expire by themselves, and no late, duplicate or old
//! message brings one back.
#![allow(missing_docs)]

use mothpier_plan::{
    Evidence, MAX_ORDER_MS, MOST_ZONES, Millis, OrderError, OrderKind, Plan, Planner, Tuning, ZoneOrder,
    ZoneOrders, ZonePlan, ZoneState,
};
use oorandom::Rand64;

fn order(zone: usize, kind: OrderKind, seconds: Millis) -> ZoneOrder {
    ZoneOrder { zone, kind, duration_ms: seconds * 1000 }
}

/// Nodes that learn of each other's orders only by messages, each with its own clock.
struct Fleet {
    nodes: Vec<(ZoneOrders, Millis)>,
    sent: Vec<Vec<mothpier_plan::OrderMessage>>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        // Clocks start at different values.
        let nodes = (0..count).map(|i| (ZoneOrders::default(), 1_000 * i as Millis)).collect();
        Fleet { nodes, sent: Vec::new() }
    }

    fn pass(&mut self, millis: Millis) {
        self.nodes.iter_mut().for_each(|(_, now)| *now += millis);
    }

    fn send(&mut self, node: usize) -> usize {
        let (orders, now) = &self.nodes[node];
        self.sent.push(orders.messages(*now));
        self.sent.len() - 1
    }

    fn deliver(&mut self, node: usize, message: usize) {
        let (orders, now) = &mut self.nodes[node];
        orders.merge(*now, &self.sent[message], 3);
    }

    fn active(&self, node: usize, zone: usize) -> Option<OrderKind> {
        self.nodes[node].0.active(zone, self.nodes[node].1).map(|(kind, _)| kind)
    }
}

#[test]
fn an_order_spreads_expires_everywhere_and_is_not_restored_by_old_messages() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[0].0.issue(0, 0, order(2, OrderKind::KeepOut, 60), 3).unwrap();
    let early = fleet.send(0);
    fleet.deliver(1, early);
    // The node that accepted it restarts without state; the second node informs the third.
    fleet.nodes[0].0 = ZoneOrders::default();
    fleet.pass(5_000);
    let later = fleet.send(1);
    (0..3).for_each(|node| fleet.deliver(node, later));
    assert_eq!([0, 1, 2].map(|node| fleet.active(node, 2)), [Some(OrderKind::KeepOut); 3]);
    assert_eq!([0, 1, 2].map(|node| fleet.active(node, 1)), [None; 3]);
    fleet.pass(56_000);
    assert_eq!([0, 1, 2].map(|node| fleet.active(node, 2)), [None; 3], "it expires without a message");
    // The first message arrives a minute late, at all nodes.
    (0..3).for_each(|node| fleet.deliver(node, early));
    assert_eq!([0, 1, 2].map(|node| fleet.active(node, 2)), [None; 3], "a late message has restored it");
    // A release is newer than what it releases, in whatever order they arrive.
    let (orders, now) = &mut fleet.nodes[1];
    orders.issue(*now, 1, order(2, OrderKind::KeepIn, 600), 3).unwrap();
    let kept_in = fleet.send(1);
    fleet.deliver(2, kept_in);
    let (orders, now) = &mut fleet.nodes[2];
    orders.issue(*now, 2, order(2, OrderKind::Released, 0), 3).unwrap();
    let released = fleet.send(2);
    for messages in [[kept_in, released], [released, kept_in]] {
        messages.iter().for_each(|m| fleet.deliver(0, *m));
        assert_eq!(fleet.active(0, 2), None);
        assert_eq!(fleet.nodes[0].0.issued_by(2), Some(2));
    }
}

#[test]
fn nodes_converge_despite_loss_and_no_order_outlives_its_duration() {
    for seed in 0..200 {
        let mut rng = Rand64::new(seed);
        let mut fleet = Fleet::new(4);
        let mut draw = |bound: u64| rng.rand_range(0..bound);
        let mut last_end = [0; 3];
        let mut time = 0;
        for _ in 0..400 {
            let millis = draw(400);
            fleet.pass(millis);
            time += millis;
            let node = draw(4) as usize;
            match draw(20) {
                0 => {
                    let (zone, seconds) = (draw(3) as usize, 1 + draw(30));
                    let kind = [OrderKind::Released, OrderKind::KeepIn, OrderKind::KeepOut, OrderKind::Drain]
                        [draw(4) as usize];
                    let (orders, now) = &mut fleet.nodes[node];
                    if orders.issue(*now, node as u16, order(zone, kind, seconds), 3).is_ok() {
                        last_end[zone] = last_end[zone].max(time + seconds * 1000 + 15_000);
                    }
                }
                1 => fleet.nodes[node].0 = ZoneOrders::default(),
                2..8 => drop(fleet.send(node)),
                // One of the last few messages arrives, each any number of times; older ones are lost.
                _ if !fleet.sent.is_empty() => {
                    let all = fleet.sent.len();
                    fleet.deliver(node, all - 1 - draw(all.min(8) as u64) as usize);
                }
                _ => {}
            }
        }
        for _ in 0..3 {
            for node in 0..4 {
                let message = fleet.send(node);
                (0..4).for_each(|to| fleet.deliver(to, message));
            }
        }
        for zone in 0..3 {
            let all = [0, 1, 2, 3].map(|node| fleet.active(node, zone));
            assert_eq!(all, [all[0]; 4], "seed {seed}: nodes that exchange messages differ over zone {zone}");
        }
        // Messages may have been some seconds old when they reported the time left.
        let end = last_end.iter().max().unwrap() + 20_000;
        fleet.pass(end.saturating_sub(time));
        let none = (0..4).all(|node| (0..3).all(|zone| fleet.active(node, zone).is_none()));
        assert!(none, "seed {seed}: an order outlives its duration");
    }
}

#[test]
fn invalid_orders_are_rejected_and_the_last_zone_is_kept() {
    let mut orders = ZoneOrders::default();
    assert_eq!(orders.issue(0, 0, order(3, OrderKind::KeepOut, 60), 3), Err(OrderError::UnknownZone));
    assert_eq!(orders.issue(0, 0, order(0, OrderKind::KeepOut, 0), 3), Err(OrderError::Duration));
    assert_eq!(
        orders.issue(0, 0, order(0, OrderKind::KeepOut, MAX_ORDER_MS / 1000 + 1), 3),
        Err(OrderError::Duration)
    );
    orders.issue(0, 0, order(0, OrderKind::KeepOut, 60), 3).unwrap();
    orders.issue(0, 0, order(2, OrderKind::Drain, 60), 3).unwrap();
    assert_eq!(orders.issue(0, 0, order(1, OrderKind::KeepOut, 60), 3), Err(OrderError::LastZone));
    orders.issue(0, 0, order(1, OrderKind::KeepIn, 60), 3).unwrap();
    orders.issue(61_000, 0, order(1, OrderKind::KeepOut, 60), 3).unwrap();
    assert_eq!(orders.active(0, 59_999), Some((OrderKind::KeepOut, 1)));
    assert_eq!(orders.active(0, 60_000), None);
}

/// Runs a planner over a time in which all nodes report the same evidence.
fn run(planner: &mut Planner, from: Millis, to: Millis, unanswered: f64, orders: &ZoneOrders) -> Plan {
    let mut plan = planner.plan(from);
    for now in (from..to).step_by(100) {
        let counts = (0..3).map(|z| (12.0, if z == 2 { 12.0 * unanswered } else { 0.0 }));
        let evidence = Evidence { orders: orders.messages(now), ..Evidence::from_counts(counts) };
        let node = (now / 100 % 9) as u16;
        planner.add_evidence(now, node, Evidence::decode(&evidence.encode()).unwrap());
        plan = planner.step(now);
    }
    plan
}

#[test]
fn a_plan_follows_an_order_in_steps_and_evidence_after_it() {
    let serving = ZonePlan { state: ZoneState::Serving, open_percent: 100 };
    let mut planner = Planner::new(Tuning::default(), 3, &Plan::default(), 0);
    let mut orders = ZoneOrders::default();
    orders.issue(0, 4, order(2, OrderKind::KeepOut, 60), 3).unwrap();
    let first = run(&mut planner, 0, 200, 0.0, &orders);
    assert_eq!(
        first.zones[2],
        ZonePlan { state: ZoneState::GivenUp, open_percent: 40 },
        "in steps, like any move"
    );
    let plan = run(&mut planner, 200, 20_000, 0.0, &orders);
    assert_eq!(plan.zones, [serving, serving, ZonePlan { state: ZoneState::GivenUp, open_percent: 0 }]);
    assert_eq!(plan.active_order(2), Some(OrderKind::KeepOut));
    let names = ["east", "west", "south"].map(String::from);
    assert_eq!(plan.describe(&names), "south is kept out by staff, 0% of its keys go there");
    // A new leader that knows only this plan continues it.
    let mut successor = Planner::new(Tuning::default(), 3, &Plan::decode(&plan.encode()).unwrap(), 20_000);
    let plan = run(&mut successor, 20_000, 50_000, 0.0, &ZoneOrders::default());
    assert_eq!(plan.zones[2].open_percent, 0);
    let plan = run(&mut successor, 50_000, 90_000, 0.0, &ZoneOrders::default());
    assert_eq!(plan.zones[2], serving, "it has expired: probe traffic, then back in steps");
    // Kept in, it is not given up whatever the evidence says, and a zone that was given up returns.
    let mut orders = ZoneOrders::default();
    let given_up = run(&mut successor, 90_000, 93_000, 1.0, &orders);
    assert_eq!(given_up.zones[2].open_percent, 4);
    orders.issue(93_000, 1, order(2, OrderKind::KeepIn, 20), 3).unwrap();
    orders.issue(93_000, 1, order(2, OrderKind::KeepIn, 20), 3).unwrap();
    let plan = run(&mut successor, 93_000, 100_000, 1.0, &orders);
    assert_eq!(plan.zones[2], serving);
    let plan = run(&mut successor, 100_000, 140_000, 1.0, &orders);
    assert_eq!(plan.zones[2].open_percent, 4, "it expires, and evidence counts again");
}

#[test]
fn orders_fit_into_a_message_and_invalid_ones_are_ignored() {
    let mut orders = ZoneOrders::default();
    for zone in 0..MOST_ZONES - 1 {
        orders.issue(0, 9, order(zone, OrderKind::KeepOut, MAX_ORDER_MS / 1000), MOST_ZONES).unwrap();
    }
    let zones = vec![ZonePlan { state: ZoneState::GivenUp, open_percent: 0 }; MOST_ZONES];
    let plan = Plan { zones, orders: orders.messages(0) };
    let bytes = plan.encode();
    assert!(bytes.len() <= 2 + 9 * MOST_ZONES);
    assert_eq!(Plan::decode(&bytes), Ok(plan));
    for length in 1..bytes.len() {
        // Truncated behind a whole order it is a plan with fewer orders: the checksum of the message detects that.
        assert!(Plan::decode(&bytes[..length]).is_err() || (length - 2 - 2 * MOST_ZONES).is_multiple_of(7));
    }
    assert!(Plan::decode(&[2, 0, 0x42, 0, 0, 0, 0, 0, 0]).is_err(), "no such order");
    // Invalid numbers and durations are ignored.
    let mut received = ZoneOrders::default();
    for invalid in [[2, 0, 0x20, 0xff, 0xff, 0, 0, 60, 0], [2, 0, 0x20, 1, 0, 0, 0, 0xff, 0xff]] {
        received.merge(0, &Plan::decode(&invalid).unwrap().orders, 3);
        assert_eq!(received, ZoneOrders::default());
    }
    received.merge(0, &Plan::decode(&[2, 0, 0x27, 1, 0, 0, 0, 60, 0]).unwrap().orders, 3);
    assert_eq!(received, ZoneOrders::default(), "an unknown zone");
}
