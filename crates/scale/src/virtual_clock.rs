//! The virtual clock host: all nodes of a fleet, with the daemon's own code, on a simulated network in one process.
//!
//! A run begins with the fleet without nodes, whose processor time and memory are what the nodes' are told less of. Then
//! nodes start, warm up, and are measured while the state of the scenario happens; at last a change is made, and it is
//! seen how long all take to act on it. Counts of messages and bytes follow from the seed; time and memory of the process
//! do not.

mod costs;
mod fleet;
mod layout;
mod origin_sums;
mod settings;
mod spread;
mod states;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::record::{FleetSize, Run};
use crate::scenario::Scenario;
use crate::usage::{ProcessorTime, machine, resident_bytes};
use costs::{Connections, Measured};
use fleet::SimulatedFleet;
use origin_sums::OriginCalls;
use spread::AgreementLog;

/// Memory that a run is expected to need, in bytes: of the process, of each node by itself, and of each line of the list
/// at each node. Runs of 200 to 6,600 nodes with 98 and 980 cache servers took 0.10 MB and 0.51 kB; half as much again
/// is reckoned with, since a disturbed fleet holds more on its way.
const MEMORY: (f64, f64, f64) = (100e6, 150e3, 800.0);
/// Between two looks at connections and at the nodes' limits.
const LOOK: Duration = Duration::from_millis(200);

/// The memory that a run of a size is expected to need, in bytes.
pub fn expected_memory(size: &FleetSize) -> f64 {
    let (process, node, line) = MEMORY;
    process + f64::from(size.nodes) * (node + line * f64::from(size.cache_servers))
}

/// Looks whether all sizes of a scenario can be run on a machine with so much memory.
///
/// # Errors
/// The first that can't, with the expected figure and the bound.
pub fn check(scenario: &Scenario, memory_bytes: u64) -> Result<(), String> {
    states::possible(scenario.state)?;
    let bound = memory_bytes as f64 * scenario.bounds.memory_part;
    for size in &scenario.sizes {
        let expected = expected_memory(size);
        if expected > bound {
            return Err(format!(
                "{} nodes with {} cache servers are expected to need {:.1} GB of memory, and {:.1} GB is the bound \
                 (bounds.memory_part {} of the machine's)",
                size.nodes,
                size.cache_servers,
                expected / 1e9,
                bound / 1e9,
                scenario.bounds.memory_part,
            ));
        }
    }
    Ok(())
}

/// Runs one size once, on this thread. Memory is told best where the process has run nothing before.
///
/// # Errors
/// A size beyond the bound of memory, or a scenario that makes no fleet.
pub fn run(scenario: &Scenario, size: FleetSize, repetition: u32) -> Result<Run, String> {
    check(&Scenario { sizes: vec![size], ..scenario.clone() }, machine().memory_bytes)?;
    let begin = std::time::Instant::now();
    let run = chalksill_simnet::run(|| play(scenario.clone(), size, repetition))?;
    Ok(Run { wall_s: begin.elapsed().as_secs_f64(), ..run })
}

async fn play(scenario: Scenario, size: FleetSize, repetition: u32) -> Result<Run, String> {
    let seed = scenario.seed_of(repetition);
    let fleet = SimulatedFleet::start(&scenario, size, seed).await?;
    let idle = processor_time_over(scenario.measured).await;
    let resident_without = resident_bytes();
    let log = scenario.agreement.then(|| AgreementLog::watch(&fleet));
    fleet.start_nodes()?;
    sleep(scenario.warm_up).await;

    let origin_calls = OriginCalls::watch(&fleet);
    if scenario.load.per_s > 0.0 {
        fleet.start_clients();
    }
    if size.changes_per_s > 0.0 {
        spawn_local(keep_changing(fleet.clone(), scenario.measured));
    }
    let state = spawn_local(states::happen(fleet.clone(), scenario.state));
    fleet.net.count_traffic();
    let before = ProcessorTime::now();
    let looked = look_over(&fleet, scenario.measured).await;
    let used = ProcessorTime::now().since(before);
    let measured = Measured {
        span: scenario.measured,
        hollow: scenario.load.per_s == 0.0,
        resident_bytes: resident_bytes()
            .zip(resident_without)
            .map(|(with, without)| with.saturating_sub(without)),
        processor: used.since(idle),
        connections: looked.connections,
        leader: log.as_ref().and_then(AgreementLog::leader),
    };
    let roles = costs::of_roles(&fleet, &measured);
    let sums = origin_calls.sums(&scenario, size.nodes, looked.allowed_out);

    let mut spreads = Vec::new();
    let spread_of_state = state.await.map_err(|e| format!("the state of the fleet: {e}"))??;
    match spread_of_state {
        Some(spread) => spreads.push(spread),
        None => spreads.push(spread::of_list(&fleet).await),
    }
    if let Some(log) = &log {
        spreads.push(spread::of_plan(&fleet, log).await);
    }
    fleet.end();
    let measured_s = scenario.measured.as_secs_f64();
    Ok(Run { size, repetition, seed, measured_s, wall_s: 0.0, roles, sums, spreads })
}

/// Processor time that the fleet as it is takes over a span.
async fn processor_time_over(span: Duration) -> ProcessorTime {
    let before = ProcessorTime::now();
    sleep(span).await;
    ProcessorTime::now().since(before)
}

struct Looked {
    connections: Connections,
    /// The most that the nodes' own limits of calls out at the origin added up to.
    allowed_out: f64,
}

/// Looks at the fleet again and again until a span is over.
async fn look_over(fleet: &SimulatedFleet, span: Duration) -> Looked {
    let end = Instant::now() + span;
    let mut looked = Looked { connections: Connections::default(), allowed_out: 0.0 };
    loop {
        looked.connections.look(fleet);
        let allowed = Cell::new(0);
        fleet.each_node(|_, node| allowed.set(allowed.get() + node.desk.metrics.origin_calls_limit()));
        looked.allowed_out = looked.allowed_out.max(allowed.get() as f64);
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return looked;
        }
        sleep(left.min(LOOK)).await;
    }
}

/// Lets listed cache servers begin to drain, and end doing so, in turn and at the rate of the scenario.
async fn keep_changing(fleet: Rc<SimulatedFleet>, span: Duration) {
    let pause = Duration::from_secs_f64(1.0 / fleet.size.changes_per_s);
    let changes = (span.as_secs_f64() * fleet.size.changes_per_s) as usize;
    for change in 0..changes {
        // Each drains at one change, and is ready again at the next.
        fleet.toggle(change / 2 % fleet.origin());
        sleep(pause).await;
    }
}
