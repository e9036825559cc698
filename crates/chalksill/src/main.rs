//! `chalksill`, the operator's command.

mod explore;
mod files;
mod load;
mod places;
mod plot;
mod record;
mod scale;
mod sim;
mod trial;
mod world;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Exit code for invalid input: a flag, a file or a value.
const BAD_INPUT: u8 = 2;

/// Simulated environments around mothpier nodes: runs them on a virtual clock, injects faults and checks that the rules hold
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Whole environments on a virtual clock: the node's own code against stubs, faults from a seed, every rule checked
    #[command(subcommand)]
    Sim(sim::Sim),
    /// The same stubs on loopback sockets in real time, around real mothpier processes
    #[command(subcommand)]
    World(world::World),
    /// Special loads: retry storms after an outage
    #[command(subcommand)]
    Load(load::Load),
    /// Records of what nodes decided: verify, replay, explain, cut, compare, merge
    #[command(subcommand)]
    Record(record::Record),
    /// Zones of running nodes: what each node acts on, and zones held in or out by an operator
    #[command(subcommand)]
    Places(places::Places),
    /// Trials of real nodes: several processes, faults on the links between them and in the processes themselves
    #[command(subcommand)]
    Trial(trial::Trial),
    /// Cost of control by fleet size: runs, fits over sizes, and the capacity page
    #[command(subcommand)]
    Scale(scale::Scale),
}

/// The result of a command that could be carried out.
enum Verdict {
    /// Everything that was checked holds; the exit code is 0.
    Good,
    /// The command completed and found a check that does not hold; the exit code is 1.
    Broken,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Sim(sim) => sim::execute(sim),
        Command::World(world) => world::execute(world),
        Command::Load(load) => load::execute(load),
        Command::Record(record) => record::execute(record),
        Command::Places(places) => places::execute(places),
        Command::Trial(trial) => trial::execute(trial),
        Command::Scale(scale) => scale::execute(scale),
    };
    match result {
        Ok(Verdict::Good) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("chalksill: {e}");
            ExitCode::from(BAD_INPUT)
        }
    }
}
