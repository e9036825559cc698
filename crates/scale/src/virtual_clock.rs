//! The virtual clock host: all nodes of a fleet run the daemon's own code on a simulated network in one
//! process.
//!
//! A run first measures the fleet without nodes; its processor time and memory are subtracted from those with
//! nodes. Then nodes start, warm up, and are measured while the scenario's fault occurs. At the end a change
//! is made, and the time until all nodes act on it is measured. Message and byte counts are determined by the
//! seed; processor time and memory are not.

mod costs;
mod faults;
mod fleet;
mod layout;
mod origin_sums;
mod propagation;
mod settings;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::record::{FleetSize, Run};
use crate::scenario::Scenario;
use crate::usage::{ProcessorTime, machine, resident_bytes};
use costs::{Connections, Measurement};
use fleet::SimulatedFleet;
use origin_sums::OriginCalls;
use propagation::AgreementLog;

/// Expected memory of a run: of the process, of each node, and of each list entry at each node. Runs of 200
/// to 6,600 nodes with 98 and 980 cache servers took 0.10 MB per node and 0.51 kB per entry; 50% is added,
/// since a fleet with a fault needs more.
const PROCESS_MEMORY_BYTES: f64 = 100e6;
const NODE_MEMORY_BYTES: f64 = 150e3;
const LIST_ENTRY_MEMORY_BYTES: f64 = 800.0;
/// Interval between samples of the connections and of the nodes' limits.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// The memory that a run of this size is expected to need, in bytes.
pub fn expected_memory(size: &FleetSize) -> f64 {
    PROCESS_MEMORY_BYTES
        + f64::from(size.nodes)
            * (NODE_MEMORY_BYTES + LIST_ENTRY_MEMORY_BYTES * f64::from(size.cache_servers))
}

/// Checks whether all sizes of a scenario can be run on a machine with this much memory.
///
/// # Errors
/// The first size that cannot, with the expected memory and the bound.
pub fn check(scenario: &Scenario, memory_bytes: u64) -> Result<(), String> {
    faults::check_supported(scenario.state)?;
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

/// Runs one size once, on this thread. Memory is measured most accurately if the process has run nothing
/// before.
///
/// # Errors
/// The size exceeds the memory bound, or no fleet can be built from the scenario.
pub fn run(scenario: &Scenario, size: FleetSize, repetition: u32) -> Result<Run, String> {
    check(&Scenario { sizes: vec![size], ..scenario.clone() }, machine().memory_bytes)?;
    let begin = std::time::Instant::now();
    let run = chalksill_simnet::run(|| simulate(scenario.clone(), size, repetition))?;
    Ok(Run { wall_s: begin.elapsed().as_secs_f64(), ..run })
}

async fn simulate(scenario: Scenario, size: FleetSize, repetition: u32) -> Result<Run, String> {
    let seed = scenario.seed_of(repetition);
    let fleet = SimulatedFleet::start(&scenario, size, seed).await?;
    let idle = processor_time_over(scenario.measured).await;
    let resident_without_nodes = resident_bytes();
    let log = scenario.agreement.then(|| AgreementLog::watch(&fleet));
    fleet.start_nodes()?;
    sleep(scenario.warm_up).await;

    let origin_calls = OriginCalls::watch(&fleet);
    if scenario.load.per_s > 0.0 {
        fleet.start_clients();
    }
    if size.changes_per_s > 0.0 {
        spawn_local(keep_changing_list(fleet.clone(), scenario.measured));
    }
    let fault = spawn_local(faults::inject(fleet.clone(), scenario.state));
    fleet.net.count_traffic();
    let before = ProcessorTime::now();
    let samples = take_samples(&fleet, scenario.measured).await;
    let used = ProcessorTime::now().since(before);
    let measurement = Measurement {
        duration: scenario.measured,
        hollow: scenario.load.per_s == 0.0,
        resident_bytes: resident_bytes()
            .zip(resident_without_nodes)
            .map(|(with, without)| with.saturating_sub(without)),
        processor: used.since(idle),
        connections: samples.connections,
        leader: log.as_ref().and_then(AgreementLog::leader),
    };
    let roles = costs::role_costs(&fleet, &measurement);
    let sums = origin_calls.sums(&scenario, size.nodes, samples.allowed_outstanding);

    let mut spreads = Vec::new();
    let propagation_of_fault = fault.await.map_err(|e| format!("fault injection: {e}"))??;
    match propagation_of_fault {
        Some(propagation) => spreads.push(propagation),
        None => spreads.push(propagation::of_list_change(&fleet).await),
    }
    if let Some(log) = &log {
        spreads.push(propagation::of_plan_change(&fleet, log).await);
    }
    fleet.end();
    let measured_s = scenario.measured.as_secs_f64();
    Ok(Run { size, repetition, seed, measured_s, wall_s: 0.0, roles, sums, spreads })
}

/// Measures the processor time that the fleet in its present state uses in this time.
async fn processor_time_over(duration: Duration) -> ProcessorTime {
    let before = ProcessorTime::now();
    sleep(duration).await;
    ProcessorTime::now().since(before)
}

struct Samples {
    connections: Connections,
    /// The maximum over time of the sum of the nodes' own limits of outstanding origin calls.
    allowed_outstanding: f64,
}

/// Samples the fleet until this time has passed.
async fn take_samples(fleet: &SimulatedFleet, duration: Duration) -> Samples {
    let end = Instant::now() + duration;
    let mut samples = Samples { connections: Connections::default(), allowed_outstanding: 0.0 };
    loop {
        samples.connections.sample(fleet);
        let allowed = Cell::new(0);
        fleet.for_each_node(|_, node| {
            allowed.set(allowed.get() + node.ops_endpoint.metrics.origin_calls_limit())
        });
        samples.allowed_outstanding = samples.allowed_outstanding.max(allowed.get() as f64);
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return samples;
        }
        sleep(left.min(SAMPLE_INTERVAL)).await;
    }
}

/// Sets listed cache servers to draining and back to ready, one after another, at the scenario's rate.
async fn keep_changing_list(fleet: Rc<SimulatedFleet>, duration: Duration) {
    let interval = Duration::from_secs_f64(1.0 / fleet.size.changes_per_s);
    let changes = (duration.as_secs_f64() * fleet.size.changes_per_s) as usize;
    for change in 0..changes {
        // Each server drains with one change and is ready again with the next.
        fleet.toggle_draining(change / 2 % fleet.origin_number());
        sleep(interval).await;
    }
}
