//! What the stand-ins and the nodes of a simulated fleet are told: the world's scenario, and each node's configuration.

use std::net::SocketAddr;

use chalksill_world::agreement;
use chalksill_world::discovery::Discovery;
use chalksill_world::process::{NodeAddresses, node_configuration};
use chalksill_world::scenario::{Scenario as World, parse};
use mothpier_node::config::{self, Config};
use mothpier_node::operator;

use super::layout::{self, Layout};
use crate::record::FleetSize;
use crate::scenario::Scenario;

/// Quotas of all tenants together where the load is less, in requests a second.
const LEAST_QUOTA: f64 = 300.0;
/// Keys that a cache server holds.
const HELD_KEYS: f64 = 100.0;
/// Keys where every read misses: so many that none comes twice.
const COLD_KEYS: f64 = 1e9;
/// A read is in time within so many milliseconds, and ends within the second figure; a write likewise.
const READ_MS: (u64, u64) = (2000, 4000);
const WRITE_MS: (u64, u64) = (2500, 6000);

/// What clients' tenants may send together, in requests a second.
pub fn quota(scenario: &Scenario) -> f64 {
    scenario.load.per_s.max(LEAST_QUOTA)
}

/// The longest aim of all classes, in seconds.
pub fn longest_aim_s() -> f64 {
    WRITE_MS.0 as f64 / 1e3
}

/// The world round the nodes. Calls of the origin take half a second and find a place at once, and discovery answers at
/// once: what holds calls back are the nodes' own limits.
pub fn world(scenario: &Scenario, size: FleetSize, layout: &Layout) -> Result<World, String> {
    let zones: Vec<String> = layout.settings_zones().iter().map(|zone| format!("{zone:?}")).collect();
    let (keys, held) = match scenario.load.misses {
        misses if misses >= 1.0 => (COLD_KEYS, 1.0),
        misses => (HELD_KEYS / (1.0 - misses), HELD_KEYS),
    };
    let text = format!(
        r#"name = "{name}"
seconds = {seconds:?}
zones = [{zones}]
[load]
rate = {rate:?}
keys = {keys}
zipf = 0.0
[[class]]
name = "read"
share = {reads:?}
aim_ms = {read_aim}
deadline_ms = {read_deadline}
effect = "pure"
work_ms = [1.0, 2.0]
[[class]]
name = "write"
share = {writes:?}
worth = 5.0
aim_ms = {write_aim}
deadline_ms = {write_deadline}
effect = "token"
window_ms = 12000
work_ms = [1.0, 2.0]
[[tenant]]
name = "all"
share = 1.0
quota = {quota:?}
[nodes]
count = {nodes}
memory_mb = 64.0
operator = '''
{operator}'''
[boxes]
count = {servers}
cores = 4
speeds = [1.0]
room = 1000
keys = {held}
connections = 20000
[origin]
slots = 1000000
room = 1000000
time_ms = [400.0, 600.0]
[discovery]
lag_ms = [0, 0]
call_ms = 0.0
"#,
        name = scenario.name,
        seconds = scenario.measured.as_secs_f64(),
        zones = zones.join(", "),
        rate = scenario.load.per_s.max(0.1),
        keys = keys as u64,
        reads = 1.0 - scenario.load.writes,
        writes = scenario.load.writes,
        read_aim = READ_MS.0,
        read_deadline = READ_MS.1,
        write_aim = WRITE_MS.0,
        write_deadline = WRITE_MS.1,
        quota = quota(scenario),
        nodes = size.nodes,
        operator = operator_text(scenario, layout),
        servers = size.cache_servers,
        held = held as usize,
    );
    parse(&text).map_err(|e| format!("the world of the scenario: {e}"))
}

/// The operator's file of all nodes: places and the agreement, where the scenario has it; else nothing.
fn operator_text(scenario: &Scenario, layout: &Layout) -> String {
    if !scenario.agreement {
        return String::new();
    }
    let voters: Vec<String> = layout.voters().iter().map(ToString::to_string).collect();
    format!("[places]\non = true\npool = \"all\"\n[accord]\non = true\nvoters = [{}]\n", voters.join(", "))
}

/// The configurations of all nodes. What is the same at all of them, and grows with the fleet, is read once and shared.
pub struct Configurations {
    first: Config,
    layout: Layout,
}

impl Configurations {
    /// Reads the configuration of the first node, as the platform would write it.
    ///
    /// # Errors
    /// What the node would say of it.
    pub fn new(world: &World, layout: Layout, discovery: &Discovery) -> Result<Configurations, String> {
        let nodes = world.nodes.count;
        let peers: Vec<_> = (0..nodes).map(layout::peer_address).collect();
        let listen = SocketAddr::new(layout::node_ip(0), layout::DATA_PORT);
        let staff = Some(layout::staff_address(0));
        let addresses =
            NodeAddresses { listen, discovery: layout::DISCOVERY, peers: &peers, operations: staff };
        let text = node_configuration(world, 0, &addresses, 0, discovery.known_list(0));
        let environment = config::Environment::default();
        let config = config::read(text.to_string().as_bytes(), environment, config::Precedence::Environment)?;
        let members: Vec<_> = (0..nodes).map(agreement_address).collect();
        let operator = agreement::operator_config(&world.nodes.operator, agreement_address(0), &members)?;
        Ok(Configurations { first: Config { operator: operator::read(&operator)?, ..config }, layout })
    }

    /// The configuration of a node.
    pub fn of(&self, node: usize, seed: u64) -> Config {
        let mut config = self.first.clone();
        config.name = format!("n{node}");
        config.listen.set_ip(layout::node_ip(node));
        config.seed = seed;
        config.peer_listen = Some(layout::peer_address(node));
        config.ops_listen = Some(layout::staff_address(node));
        config.site.policy.node_index = node as u32;
        config.site.zone = Some(self.layout.settings_zone(self.layout.node_zone(node)) as u8);
        if config.operator.agreement.on {
            config.operator.agreement.listen = Some(agreement_address(node));
        }
        config
    }
}

fn agreement_address(node: usize) -> SocketAddr {
    SocketAddr::new(layout::node_ip(node), agreement::PORT)
}
