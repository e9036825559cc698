//! `chalksill scale fit`: fits cost models to records of runs.

use std::path::PathBuf;

use chalksill_scale::record::Run;
use chalksill_scale::report::{FitJson, fit_all, terminal_table};
use chalksill_scale::{plot, records};
use clap::Args;

use crate::{Verdict, files};

/// Arguments of `scale fit`.
#[derive(Args)]
pub struct Fit {
    /// Records of runs, all with the same scenario, host and state
    #[arg(required = true, value_name = "RUNS")]
    runs: Vec<PathBuf>,
    /// Writes the fits to this file as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Draws the fits to this file as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// Executes the subcommand.
pub fn execute(fit: &Fit) -> Result<Verdict, String> {
    let mut records = Vec::new();
    for path in &fit.runs {
        records.push((path.clone(), records::read(path).map_err(|e| e.to_string())?));
    }
    records::check_one_kind(&records).map_err(|e| e.to_string())?;
    let runs: Vec<&Run> = records.iter().flat_map(|(_, record)| &record.runs).collect();
    let fits = fit_all(&runs);
    if fits.is_empty() {
        return Err(format!("{}: no run with a measured value in it", fit.runs[0].display()));
    }
    print!("{}", terminal_table(&fits));
    if let Some(path) = &fit.json {
        let fits: Vec<FitJson> = fits.iter().map(FitJson::from).collect();
        files::write(path, &files::to_json(&fits)?)?;
    }
    if let Some(path) = &fit.svg {
        let drawing = plot::svg(&fits).map_err(|e| format!("cannot draw {}: {e}", path.display()))?;
        files::write(path, &drawing)?;
    }
    Ok(Verdict::Good)
}
