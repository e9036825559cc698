//! `chalksill scale`: what control costs by the size of a fleet.

mod real_sockets;
mod run;

use clap::Subcommand;

use crate::Verdict;

/// The subcommands.
#[derive(Subcommand)]
pub enum Scale {
    /// Runs a fleet's control code at each size of a scenario, and tells what each role cost
    Run(run::Run),
    /// Runs hollow and real nodes on loopback sockets by a plan that tells how many of each
    RealSockets(real_sockets::RealSockets),
    /// A worker process of a run on real sockets; its plan comes on standard input
    #[command(hide = true)]
    Worker,
}

/// Carries a subcommand out.
pub fn execute(scale: Scale) -> Result<Verdict, String> {
    match scale {
        Scale::Run(run) => run::execute(&run),
        Scale::RealSockets(args) => real_sockets::execute(&args),
        Scale::Worker => real_sockets::work(),
    }
}
