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

/// Exit code for bad input: a flag, a file or a figure.
const BAD_INPUT: u8 = 2;

/// Worlds round a mothpier node: run them on a virtual clock, break them, and see that the rules hold.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Whole worlds on a virtual clock: the node's own code against stand-ins, faults from a seed, every rule checked
    #[command(subcommand)]
    Sim(sim::Sim),
    /// The same stand-ins on loopback sockets in real time, round real mothpier processes
    #[command(subcommand)]
    World(world::World),
    /// Loads of a special kind: storms after an outage
    #[command(subcommand)]
    Load(load::Load),
    /// Records of what nodes decided: check, replay, ask why, cut, compare, put together
    #[command(subcommand)]
    Record(record::Record),
    /// Zones of running nodes: what each acts on, and zones kept in or out by hand
    #[command(subcommand)]
    Places(places::Places),
    /// Trials of real nodes: several processes, faults on the ways between them and on themselves
    #[command(subcommand)]
    Trial(trial::Trial),
    /// What control costs by the size of a fleet: runs, fits over sizes, and the capacity page
    #[command(subcommand)]
    Scale(scale::Scale),
}

/// How a command ended that did not fail.
enum Verdict {
    /// All is well.
    Good,
    /// It did its work, and found something broken.
    Broken,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Sim(sim) => sim::execute(sim),
        Command::World(world) => world::execute(world),
        Command::Load(load) => load::execute(load),
        Command::Record(record) => record::execute(record),
        Command::Places(places) => places::execute(places),
        Command::Trial(trial) => trial::execute(trial),
        Command::Scale(scale) => scale::execute(scale),
    };
    match done {
        Ok(Verdict::Good) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("chalksill: {e}");
            ExitCode::from(BAD_INPUT)
        }
    }
}
