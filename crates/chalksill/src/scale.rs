//! `chalksill scale`: what a fleet's control code costs by size.

use clap::Subcommand;

use crate::Verdict;
use crate::scale_real::{self, RealSockets};

/// The subcommands.
#[derive(Subcommand)]
pub enum Scale {
    /// Runs hollow and real nodes on loopback sockets, and writes the record of what they cost
    RealSockets(RealSockets),
    /// A worker process of a run; its plan comes on standard input
    #[command(hide = true)]
    Worker,
}

/// Carries a subcommand out.
pub fn execute(scale: Scale) -> Result<Verdict, String> {
    match scale {
        Scale::RealSockets(args) => scale_real::execute(&args),
        Scale::Worker => {
            chalksill_scale::real_sockets::work().map(|()| Verdict::Good).map_err(|e| e.to_string())
        }
    }
}
