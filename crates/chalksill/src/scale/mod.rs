//! `chalksill scale`: the cost of control by fleet size.

mod fit;
mod page;
mod real_sockets;
mod run;

use clap::Subcommand;

use crate::Verdict;

/// Subcommands of `chalksill scale`.
#[derive(Subcommand)]
pub enum Scale {
    /// Fits models to the runs of one kind, and extrapolates them to the target size
    Fit(fit::Fit),
    /// Writes the tables of the capacity page from the committed runs, or checks them
    Page(page::Page),
    /// Runs a fleet's control code at each size of a scenario, and prints the cost of each role
    Run(run::Run),
    /// Runs hollow and real nodes on loopback sockets by a plan that sets the number of each
    RealSockets(real_sockets::RealSockets),
    /// A worker process of a run on real sockets; reads its plan from standard input
    #[command(hide = true)]
    Worker,
}

/// Executes a subcommand.
pub fn execute(scale: Scale) -> Result<Verdict, String> {
    match scale {
        Scale::Fit(fit) => fit::execute(&fit),
        Scale::Page(page) => page::execute(&page),
        Scale::Run(run) => run::execute(&run),
        Scale::RealSockets(args) => real_sockets::execute(&args),
        Scale::Worker => real_sockets::execute_worker(),
    }
}
