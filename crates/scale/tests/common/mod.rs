//! Generated records for tests.

use std::collections::BTreeMap;

use chalksill_scale::record::{
    Change, ChangePropagation, FleetSize, FleetState, FleetSum, HostKind, Limit, Machine, Role, RoleCost,
    Run, RunRecord, VERSION,
};

/// One run: a hollow node costs 100 bytes per second plus 3 for each node, the leader two messages for each
/// node.
pub fn run(nodes: u32, repetition: u32) -> Run {
    let noise = 1.0 + 0.002 * (f64::from(repetition) - 1.0);
    let size = f64::from(nodes);
    let node = RoleCost {
        members: nodes,
        resident_bytes: Some(2e6 * noise),
        bytes_in_per_s: (100.0 + 3.0 * size) * noise,
        ..RoleCost::default()
    };
    let leader = RoleCost { members: 1, messages_in_per_s: 2.0 * size * noise, ..RoleCost::default() };
    Run {
        size: FleetSize { nodes, sites: 4, zones: 4, regions: 2, cache_servers: 40, changes_per_s: 0.5 },
        repetition,
        seed: u64::from(repetition) + 1,
        measured_s: 20.0,
        wall_s: 1.5,
        roles: BTreeMap::from([(Role::HollowNode, node), (Role::AgreementLeader, leader)]),
        sums: vec![FleetSum {
            limit: Limit::OriginOutstanding,
            bound: 80.0,
            allowed: (2.0 * size).max(80.0),
            peak: 30.0,
        }],
        spreads: vec![ChangePropagation {
            change: Change::List,
            acted: nodes,
            expected: nodes,
            p50_s: 0.5,
            p99_s: 1.0,
            last_s: 1.5 * noise,
        }],
    }
}

/// A record of three runs at each size.
pub fn record(sizes: &[u32]) -> RunRecord {
    let repetitions = |nodes: &u32| (0..3).map(|r| run(*nodes, r)).collect::<Vec<_>>();
    RunRecord {
        version: VERSION,
        scenario: "made-up".into(),
        host: HostKind::VirtualClock,
        state: FleetState::Calm,
        machine: Machine { cores: 8, memory_bytes: 24 << 30, processor: "some processor".into() },
        commit: "0123abc".into(),
        date: "2026-12-02".into(),
        runs: sizes.iter().flat_map(repetitions).collect(),
    }
}
