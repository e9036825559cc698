//! Settings of a simulated fleet: the scenario of its stubs, and the configuration of each node.

use std::net::SocketAddr;

use chalksill_world::agreement;
use chalksill_world::discovery::Discovery;
use chalksill_world::process::{NodeAddresses, node_configuration};
use chalksill_world::scenario::{Scenario as WorldScenario, parse};
use mothpier_node::config::{self, Config};
use mothpier_node::operator;

use super::layout::{self, Layout};
use crate::record::FleetSize;
use crate::scenario::Scenario;

/// Total quota of all tenants if the load is smaller, in requests per second.
const MIN_QUOTA: f64 = 300.0;
/// Keys stored on a cache server.
const KEYS_PER_SERVER: f64 = 100.0;
/// Number of keys if every read is to miss: large enough that no key is requested twice.
const KEYS_WITHOUT_REPEATS: f64 = 1e9;
const READ_TARGET_LATENCY_MS: u64 = 2000;
const READ_DEADLINE_MS: u64 = 4000;
const WRITE_TARGET_LATENCY_MS: u64 = 2500;
const WRITE_DEADLINE_MS: u64 = 6000;

/// The total quota of the clients' tenants, in requests per second.
pub fn quota(scenario: &Scenario) -> f64 {
    scenario.load.per_s.max(MIN_QUOTA)
}

/// The longest target latency of all classes, in seconds.
pub fn longest_target_latency_s() -> f64 {
    WRITE_TARGET_LATENCY_MS as f64 / 1e3
}

/// The scenario of the simulated environment. Origin calls take half a second and are never queued, and
/// discovery answers immediately: calls are held back only by the nodes' own limits.
pub fn world_scenario(
    scenario: &Scenario,
    size: FleetSize,
    layout: &Layout,
) -> Result<WorldScenario, String> {
    let zones: Vec<String> = layout.settings_zones().iter().map(|zone| format!("{zone:?}")).collect();
    let (keys, stored) = match scenario.load.misses {
        misses if misses >= 1.0 => (KEYS_WITHOUT_REPEATS, 1.0),
        misses => (KEYS_PER_SERVER / (1.0 - misses), KEYS_PER_SERVER),
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
aim_ms = {read_target_latency}
deadline_ms = {read_deadline}
effect = "pure"
work_ms = [1.0, 2.0]
[[class]]
name = "write"
share = {writes:?}
worth = 5.0
aim_ms = {write_target_latency}
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
keys = {stored}
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
        read_target_latency = READ_TARGET_LATENCY_MS,
        read_deadline = READ_DEADLINE_MS,
        write_target_latency = WRITE_TARGET_LATENCY_MS,
        write_deadline = WRITE_DEADLINE_MS,
        quota = quota(scenario),
        nodes = size.nodes,
        operator = operator_text(scenario, layout),
        servers = size.cache_servers,
        stored = stored as usize,
    );
    parse(&text).map_err(|e| format!("scenario of the simulated environment: {e}"))
}

/// The operator's file, the same for all nodes: zone routing and the agreement if the scenario has it, else
/// empty.
fn operator_text(scenario: &Scenario, layout: &Layout) -> String {
    if !scenario.agreement {
        return String::new();
    }
    let voters: Vec<String> = layout.voters().iter().map(ToString::to_string).collect();
    format!("[places]\non = true\npool = \"all\"\n[accord]\non = true\nvoters = [{}]\n", voters.join(", "))
}

/// The configurations of all nodes. What is common to all of them, and grows with the fleet, is read once and
/// shared.
pub struct Configurations {
    first: Config,
    layout: Layout,
}

impl Configurations {
    /// Reads the configuration of the first node, as the platform writes it.
    ///
    /// # Errors
    /// The node rejects the configuration.
    pub fn new(
        world_scenario: &WorldScenario,
        layout: Layout,
        discovery: &Discovery,
    ) -> Result<Configurations, String> {
        let nodes = world_scenario.nodes.count;
        let peers: Vec<_> = (0..nodes).map(layout::peer_address).collect();
        let listen = SocketAddr::new(layout::node_ip(0), layout::DATA_PORT);
        let operations = Some(layout::ops_address(0));
        let addresses = NodeAddresses { listen, discovery: layout::DISCOVERY, peers: &peers, operations };
        let text = node_configuration(world_scenario, 0, &addresses, 0, discovery.known_list(0));
        let environment = config::Environment::default();
        let config = config::read(text.to_string().as_bytes(), environment, config::Precedence::Environment)?;
        let members: Vec<_> = (0..nodes).map(agreement_address).collect();
        let operator =
            agreement::operator_config(&world_scenario.nodes.operator, agreement_address(0), &members)?;
        Ok(Configurations { first: Config { operator: operator::read(&operator)?, ..config }, layout })
    }

    /// The configuration of a node.
    pub fn for_node(&self, node: usize, seed: u64) -> Config {
        let mut config = self.first.clone();
        config.name = format!("n{node}");
        config.listen.set_ip(layout::node_ip(node));
        config.seed = seed;
        config.peer_listen = Some(layout::peer_address(node));
        config.ops_listen = Some(layout::ops_address(node));
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
