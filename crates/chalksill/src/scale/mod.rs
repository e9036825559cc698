//! `chalksill scale`: what control costs by the size of a fleet.

mod run;

use clap::Subcommand;

use crate::Verdict;

/// The subcommands.
#[derive(Subcommand)]
pub enum Scale {
    /// Runs a fleet's control code at each size of a scenario, and tells what each role cost
    Run(run::Run),
}

/// Carries a subcommand out.
pub fn execute(scale: Scale) -> Result<Verdict, String> {
    match scale {
        Scale::Run(run) => run::execute(&run),
    }
}
