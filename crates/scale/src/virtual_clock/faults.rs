//! The faults under which a fleet is measured. Each begins shortly after the start of the measurement, and
//! ends before its end if the measurement is long enough.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::fleet::SimulatedFleet;
use super::propagation;
use crate::record::{ChangePropagation, FleetState};

/// Time from the start of the measurement to the fault.
const FAULT_DELAY: Duration = Duration::from_secs(1);
/// How long discovery is down.
const DISCOVERY_DOWNTIME: Duration = Duration::from_secs(3);
/// How long regions are partitioned.
const PARTITION_DURATION: Duration = Duration::from_secs(4);
/// How long a killed node is down.
const NODE_DOWNTIME: Duration = Duration::from_secs(2);
/// One node in this many is restarted.
const RESTARTED_ONE_IN: usize = 10;

/// Checks whether the simulated network supports a state.
///
/// # Errors
/// The state is not supported.
pub fn check_supported(state: FleetState) -> Result<(), String> {
    match state {
        FleetState::ZoneLost => Err("state: zone-lost can't be run under the virtual clock yet".into()),
        _ => Ok(()),
    }
}

/// Injects the fault of a state and waits until it is over. Returns the propagation of a change that was made
/// during the fault, if any.
///
/// # Errors
/// Nodes cannot be started again.
pub async fn inject(
    fleet: Rc<SimulatedFleet>,
    state: FleetState,
) -> Result<Option<ChangePropagation>, String> {
    sleep(FAULT_DELAY).await;
    match state {
        FleetState::Calm | FleetState::ZoneLost => Ok(None),
        FleetState::DiscoveryRestart => Ok(Some(restart_discovery(&fleet).await)),
        FleetState::RegionsApart => {
            partition_regions(&fleet).await;
            Ok(None)
        }
        FleetState::NodesRestarted => restart_nodes(&fleet).await.map(|()| None),
    }
}

/// Stops discovery and starts it again with a list that has changed in between. The propagation time counts
/// from the new start.
async fn restart_discovery(fleet: &SimulatedFleet) -> ChangePropagation {
    fleet.stop_discovery();
    sleep(DISCOVERY_DOWNTIME).await;
    let revision = fleet.add_listed_server();
    fleet.start_discovery().await;
    propagation::until_listed(fleet, revision).await
}

/// Partitions the last two regions. Discovery, the origin and the clients are in the first region.
async fn partition_regions(fleet: &SimulatedFleet) {
    let regions = fleet.size.regions as usize;
    let (left, right) = (fleet.layout.zones_of(regions - 2), fleet.layout.zones_of(regions - 1));
    fleet.net.partition_zones(&left, &right);
    sleep(PARTITION_DURATION).await;
    fleet.net.heal_zones(&left, &right);
}

/// Kills one node in ten at the same time, and starts them again after a while.
async fn restart_nodes(fleet: &SimulatedFleet) -> Result<(), String> {
    let killed: Vec<usize> = (0..fleet.size.nodes as usize).step_by(RESTARTED_ONE_IN).collect();
    killed.iter().for_each(|node| fleet.kill_node(*node));
    sleep(NODE_DOWNTIME).await;
    let configurations = fleet.configurations()?;
    killed.iter().for_each(|node| fleet.start_node(*node, 1, &configurations));
    Ok(())
}
