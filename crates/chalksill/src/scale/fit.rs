//! `chalksill scale fit`.

use std::path::PathBuf;

use chalksill_scale::record::Run;
use chalksill_scale::report::{FitJson, fit_all, terminal_table};
use chalksill_scale::{plot, records};
use clap::Args;

use crate::{Verdict, files};

/// Fits.
#[derive(Args)]
pub struct Fit {
    /// Records of runs, all of one scenario, host and state
    #[arg(required = true, value_name = "RUNS")]
    runs: Vec<PathBuf>,
    /// Writes the fits to this file as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Draws them to this file as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// Carries it out.
pub fn execute(fit: &Fit) -> Result<Verdict, String> {
    let mut read = Vec::new();
    for path in &fit.runs {
        read.push((path.clone(), records::read(path).map_err(|e| e.to_string())?));
    }
    records::check_one_kind(&read).map_err(|e| e.to_string())?;
    let runs: Vec<&Run> = read.iter().flat_map(|(_, record)| &record.runs).collect();
    let fits = fit_all(&runs);
    if fits.is_empty() {
        return Err(format!("{}: no run with a figure in it", fit.runs[0].display()));
    }
    print!("{}", terminal_table(&fits));
    if let Some(path) = &fit.json {
        let fits: Vec<FitJson> = fits.iter().map(FitJson::from).collect();
        files::write(path, &files::json(&fits)?)?;
    }
    if let Some(path) = &fit.svg {
        let picture = plot::svg(&fits).map_err(|e| format!("cannot draw {}: {e}", path.display()))?;
        files::write(path, &picture)?;
    }
    Ok(Verdict::Good)
}
