//! Checks each formula against a value computed by hand.
#![allow(missing_docs)]

use chalksill_scale::arithmetic::{self, CONTROL_ROWS, Exceedance, ORDER_BYTES, with_nodes};
use chalksill_scale::target::{TARGET, Target};
use chalksill_scale::text::format_number;
use mothpier_plan::{Evidence, OrderKind, ZoneOrder, ZoneOrders};

#[test]
fn values_at_the_target() {
    let assert_close = |name: &str, of: fn(&Target) -> f64, expected: f64| {
        let found = of(&TARGET);
        assert!((found - expected).abs() <= 0.005 * expected, "{name}: {found} and not {expected}");
    };
    assert_close("leader's messages", arithmetic::leader_messages, 26_396.0);
    assert_close("leader's messages, urgent", arithmetic::leader_messages_urgent, 79_188.0);
    assert_close("discovery's calls", arithmetic::discovery_calls, 3_300.0);
    assert_close("after its restart", arithmetic::discovery_restart_s, 6.6);
    assert_close("bytes after its restart", arithmetic::discovery_restart_bytes, 970.2e6);
    assert_close("list", arithmetic::list_bytes, 147_000.0);
    assert_close("changes of the list", arithmetic::list_changes, 0.004_085);
    assert_close("replies for these changes", arithmetic::discovery_change_answers, 26.96);
    assert_close("lists fetched by restarted nodes", arithmetic::restart_bytes_per_day, 116.5e6);
    assert_close("origin", arithmetic::origin_outstanding, 13_200.0);
    assert_close("origin's quotas", arithmetic::quotas_for_outstanding, 132_000.0);
    assert_close("origin at the peak", arithmetic::origin_outstanding_at_peak, 440_000.0);
    assert_close("origin's rate", arithmetic::origin_rate, 198_000.0);
    assert_close("cold", arithmetic::cold_calls, 13_200.0);
    assert_close("cold, bound", arithmetic::cold_calls_bound, 1_683.7);
    assert_close("connections of a server", arithmetic::connections_per_server, 6_600.0);
    assert_close("of a region", arithmetic::connections_per_server_of_region, 660.0);
    assert_close("of a node", arithmetic::connections_per_node, 980.0);
    assert_close("of all", arithmetic::connections, 6_468_000.0);
    assert_close("requests of a node", arithmetic::requests_per_node, 666.7);
    assert_close("requests of a server", arithmetic::requests_per_server, 4_489.8);
    assert_close("bits of a node", arithmetic::bits_per_node, 2.424e9);
    assert_close("bits of a server", arithmetic::bits_per_server, 16.33e9);
    assert_close("bytes of an answer", arithmetic::answer_bytes, 454_545.0);
    assert_close("objects of a server", arithmetic::objects_per_server, 25.51e6);
    assert_close("hit share", arithmetic::hit_share_within_origin_limits, 0.955);
    assert_close("purges", arithmetic::purge_messages, 36_260.0);
    assert_close("purges in progress", arithmetic::purges_in_progress, 92.5);
    assert_close("settings", arithmetic::settings_change_messages, 2_291.7);
    assert_close("settings changes in progress", arithmetic::settings_changes_in_progress, 5.903);
    assert_close("between changes of settings", arithmetic::settings_change_interval_s, 2.88);
    assert_close("between peers", arithmetic::peer_bytes, 16_384.0);
    assert_close("remembered peers", arithmetic::remembered_peers, 32.0);
    assert_close("between restarts", arithmetic::restart_interval_s, 94.95);
    assert_close("nodes of a zone", arithmetic::nodes_per_zone, 165.0);
    assert_close("nodes of a site", arithmetic::nodes_per_site, 22.0);
    assert_close("cache servers of a zone", arithmetic::servers_per_zone, 24.5);
    assert_close("partitioned region", arithmetic::partitioned_region_messages, 7_920.0);
    assert_close("relayed", arithmetic::relay_messages, 15_840.0);
    assert!((arithmetic::leader_change_s() - 4.3).abs() < 1e-9);
    assert_eq!(arithmetic::plan_validity_s(), 8.0);
}

#[test]
fn agreement_bytes_match_its_messages() {
    // A simulation of 300 members and 3 zones sent 557 to 626 messages and 14 to 16 kB a second from its
    // leader.
    let fleet = Target { zones: 3.0, ..with_nodes(&TARGET, 300.0) };
    let sent = 598.0 * arithmetic::reply_bytes(arithmetic::zones_bytes(3.0));
    assert!((14e3..24e3).contains(&sent), "{sent}");
    assert!(arithmetic::leader_bytes(&fleet) > sent);
    assert!((arithmetic::leader_bytes_urgent(&fleet) / arithmetic::leader_bytes(&fleet) - 3.0).abs() < 1e-9);
    let each = arithmetic::follower_bytes(&fleet);
    assert!((arithmetic::leader_bytes(&fleet) / 299.0 - each).abs() < 1e-6);
    assert!((arithmetic::follower_bytes_urgent(&fleet) - 3.0 * each).abs() < 1e-6);
}

#[test]
fn evidence_and_orders_have_the_computed_size() {
    let zones = vec![(1, 1); 16];
    let bare = Evidence { zones: zones.clone(), orders: Vec::new() }.encode().len();
    assert_eq!(bare as f64, arithmetic::zones_bytes(16.0));
    let mut orders = ZoneOrders::default();
    orders.issue(0, 1, ZoneOrder { zone: 2, kind: OrderKind::KeepOut, duration_ms: 600_000 }, 16).unwrap();
    let with_order = Evidence { zones, orders: orders.messages(0) }.encode().len();
    assert_eq!(with_order - bare, ORDER_BYTES as usize);
}

#[test]
fn sizes_at_which_bounds_are_exceeded() {
    let exceedance = |quantity: &str| {
        CONTROL_ROWS.iter().find(|row| row.quantity.starts_with(quantity)).unwrap().exceedance()
    };
    assert_eq!(exceedance("calls out that nodes' limits"), Exceedance::From(41.0));
    assert_eq!(exceedance("connections, nodes of its region"), Exceedance::From(321.0));
    assert_eq!(exceedance("calls at once while cold"), Exceedance::From(842.0));
    assert_eq!(exceedance("calls/s, calm"), Exceedance::From(2_001.0));
    assert_eq!(exceedance("zones to tell apart"), Exceedance::Always);
    assert_eq!(exceedance("bytes/s of the agreement, calm"), Exceedance::Never);
}

#[test]
fn a_tenth_of_the_objects_gets_most_requests() {
    // The harmonic sums of 100 and of 1,000 objects are 5.187 and 7.485.
    assert!((arithmetic::zipf_share(1_000.0, 0.1) - 0.693).abs() < 0.001);
    assert!((arithmetic::hit_share_of_top_tenth(&TARGET) - 0.896).abs() < 0.001);
}

#[test]
fn numbers_have_three_digits_and_thousands_separators() {
    let written = [0.0, 1.0, 0.001_234, 12.345, 999.6, 1_234_567.0, -1_500.0, 0.000_001_23, f64::INFINITY];
    let expected = ["0", "1", "0.00123", "12.3", "1,000", "1,230,000", "-1,500", "1.23e-6", "-"];
    assert_eq!(written.map(format_number), expected);
}
