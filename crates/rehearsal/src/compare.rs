//! Compares two builds or two settings on the same seeds and estimates the error of the difference.

use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// One side of a comparison: a program and the scenario that it runs.
#[derive(Clone, Debug)]
pub struct Side {
    /// Path of a `notchpoint-rehearse` program.
    pub program: PathBuf,
    /// Path of the scenario.
    pub file: PathBuf,
}

/// Result of a comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Number of seeds run on both sides.
    pub seeds: u64,
    /// Mean share of worth kept, by side.
    pub kept: [f64; 2],
    /// Standard deviation over the seeds, by side.
    pub spread: [f64; 2],
    /// Number of seeds in which a rule was violated, by side.
    #[serde(rename = "broken")]
    pub violating_seeds: [u64; 2],
    /// Mean over the seeds of the second side minus the first.
    pub difference: f64,
    /// Standard error of that mean. A difference below twice this error may be chance.
    pub error: f64,
}

/// By seed and side: share of worth kept, and whether a rule was violated.
type SeedResults = BTreeMap<(u64, usize), (f64, bool)>;

/// Runs the seeds `from..from + count` on both sides.
///
/// # Errors
/// Fails if a seed cannot be run.
pub fn compare(sides: &[Side; 2], from: u64, count: u64, jobs: usize) -> Result<Comparison, String> {
    let next = AtomicU64::new(0);
    let done: Mutex<Result<SeedResults, String>> = Mutex::new(Ok(SeedResults::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let (seed, side) = (from + index / 2, (index % 2) as usize);
                    if seed >= from + count {
                        return;
                    }
                    let run_result = run_seed(&sides[side].program, &sides[side].file, seed);
                    let Ok(mut done) = done.lock() else { return };
                    match (run_result, done.as_mut()) {
                        (Ok(result), Ok(all)) => drop(all.insert((seed, side), result)),
                        (Err(why), Ok(_)) => *done = Err(why),
                        _ => return,
                    }
                }
            });
        }
    });
    let all = done.into_inner().map_err(|e| e.to_string())??;
    let of_side =
        |wanted: usize| all.iter().filter(move |((_, side), _)| *side == wanted).map(|(_, result)| *result);
    let kept: Vec<Vec<f64>> = (0..2).map(|side| of_side(side).map(|result| result.0).collect()).collect();
    let differences: Vec<f64> = kept[0].iter().zip(&kept[1]).map(|(a, b)| b - a).collect();
    Ok(Comparison {
        seeds: differences.len() as u64,
        kept: [mean(&kept[0]), mean(&kept[1])],
        spread: [standard_deviation(&kept[0]), standard_deviation(&kept[1])],
        violating_seeds: [
            of_side(0).filter(|result| result.1).count() as u64,
            of_side(1).filter(|result| result.1).count() as u64,
        ],
        difference: mean(&differences),
        error: standard_deviation(&differences) / (differences.len().max(1) as f64).sqrt(),
    })
}

fn mean(all: &[f64]) -> f64 {
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

fn standard_deviation(all: &[f64]) -> f64 {
    let average = mean(all);
    (all.iter().map(|x| (x - average) * (x - average)).sum::<f64>()
        / all.len().saturating_sub(1).max(1) as f64)
        .sqrt()
}

/// Runs one seed. Returns the share of worth kept and whether a rule was violated.
fn run_seed(program: &Path, file: &Path, seed: u64) -> Result<(f64, bool), String> {
    let name = program.display();
    let run =
        Command::new(program).arg("run").arg(file).args(["--seed", &seed.to_string(), "--json"]).output();
    let out = run.map_err(|e| format!("{name}: {e}"))?;
    if !matches!(out.status.code(), Some(0 | 1)) {
        return Err(format!(
            "{name} run {} --seed {seed}: {}",
            file.display(),
            String::from_utf8_lossy(&out.stderr)
        ));
    }
    let report: serde_json::Value =
        serde_json::from_slice(&out.stdout).map_err(|e| format!("{name}: {e}"))?;
    let kept =
        report["score"]["kept"].as_f64().ok_or_else(|| format!("{name}: its report has no score.kept"))?;
    Ok((kept, out.status.code() == Some(1)))
}
