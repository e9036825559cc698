//! The states that a fleet is in while it is measured, beside calm: each begins soon after the measurement, and is over
//! before its end where the measurement is long enough.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::fleet::SimulatedFleet;
use super::spread;
use crate::record::{ChangeSpread, FleetState};

/// From the beginning of the measurement until the fault.
const BEFORE: Duration = Duration::from_secs(1);
/// For how long discovery is down.
const DISCOVERY_DOWN: Duration = Duration::from_secs(3);
/// For how long regions are apart.
const APART: Duration = Duration::from_secs(4);
/// For how long a killed node is down.
const NODE_DOWN: Duration = Duration::from_secs(2);
/// One node in so many is restarted.
const RESTARTED: usize = 10;

/// Whether the simulated network can have a fleet in a state.
///
/// # Errors
/// One that it can't.
pub fn possible(state: FleetState) -> Result<(), String> {
    match state {
        FleetState::ZoneLost => Err("state: zone-lost can't be run under the virtual clock yet".into()),
        _ => Ok(()),
    }
}

/// Lets the fault of a state happen and be over; with how long a change took that fell into it.
///
/// # Errors
/// Nodes that can't be started again.
pub async fn happen(fleet: Rc<SimulatedFleet>, state: FleetState) -> Result<Option<ChangeSpread>, String> {
    sleep(BEFORE).await;
    match state {
        FleetState::Calm | FleetState::ZoneLost => Ok(None),
        FleetState::DiscoveryRestart => Ok(Some(restart_discovery(&fleet).await)),
        FleetState::RegionsApart => {
            part_regions(&fleet).await;
            Ok(None)
        }
        FleetState::NodesRestarted => restart_nodes(&fleet).await.map(|()| None),
    }
}

/// Discovery ends and starts again with a list that has changed meanwhile. The spread counts from its new start.
async fn restart_discovery(fleet: &SimulatedFleet) -> ChangeSpread {
    fleet.stop_discovery();
    sleep(DISCOVERY_DOWN).await;
    let revision = fleet.list_one_more();
    fleet.start_discovery().await;
    spread::until_list(fleet, revision).await
}

/// The two last regions lose each other. Discovery, the origin and the clients are in the first.
async fn part_regions(fleet: &SimulatedFleet) {
    let regions = fleet.size.regions as usize;
    let (left, right) = (fleet.layout.zones_of(regions - 2), fleet.layout.zones_of(regions - 1));
    fleet.net.partition_zones(&left, &right);
    sleep(APART).await;
    fleet.net.heal_zones(&left, &right);
}

/// One node in ten is killed at once, and started again after a while.
async fn restart_nodes(fleet: &SimulatedFleet) -> Result<(), String> {
    let killed: Vec<usize> = (0..fleet.size.nodes as usize).step_by(RESTARTED).collect();
    killed.iter().for_each(|node| fleet.kill_node(*node));
    sleep(NODE_DOWN).await;
    let configurations = fleet.configurations()?;
    killed.iter().for_each(|node| fleet.start_node(*node, 1, &configurations));
    Ok(())
}
