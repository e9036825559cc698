//! `chalksill scale page`: writes or checks the tables of the capacity page.

use std::path::PathBuf;

use chalksill_scale::page::{difference, tables, with_tables};
use chalksill_scale::records;
use clap::Args;

use crate::{Verdict, files};

/// Arguments of `scale page`.
#[derive(Args)]
pub struct Page {
    /// Writes nothing; exit code 1 where the page and the runs differ
    #[arg(long)]
    check: bool,
    /// The folder of the committed runs
    #[arg(long, default_value = "scale/runs", value_name = "FOLDER")]
    runs: PathBuf,
    /// The capacity page
    #[arg(long, default_value = "docs/CAPACITY.md", value_name = "FILE")]
    page: PathBuf,
}

/// Executes the subcommand.
pub fn execute(args: &Page) -> Result<Verdict, String> {
    let records = records::read_folder(&args.runs).map_err(|e| e.to_string())?;
    let page = files::text(&args.page)?;
    let name = args.page.display();
    let expected = with_tables(&page, &tables(&records)).map_err(|e| format!("{name}: {e}"))?;
    match difference(&page, &expected) {
        None => Ok(Verdict::Good),
        Some(difference) if args.check => {
            println!("{name}, {difference}");
            Ok(Verdict::Broken)
        }
        Some(_) => files::write(&args.page, &expected).map(|()| Verdict::Good),
    }
}
