//! `chalksill scale`: what control costs by the size of a fleet.

mod fit;
mod page;
mod real_sockets;
mod run;

use clap::Subcommand;

use crate::Verdict;

/// The subcommands.
#[derive(Subcommand)]
pub enum Scale {
    /// Fits models to the runs of one kind, and says what they tell of the target
    Fit(fit::Fit),
    /// Writes the tables of the capacity page from the runs that are kept, or checks them
    Page(page::Page),
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
        Scale::Fit(fit) => fit::execute(&fit),
        Scale::Page(page) => page::execute(&page),
        Scale::Run(run) => run::execute(&run),
        Scale::RealSockets(args) => real_sockets::execute(&args),
        Scale::Worker => real_sockets::work(),
    }
}
