//! Two builds, or two settings, on the same seeds: the difference, and how much of it is chance.

use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// One side: a program that plays, and what it plays.
#[derive(Clone, Debug)]
pub struct Side {
    /// A `notchpoint-rehearse`.
    pub program: PathBuf,
    /// A scenario.
    pub file: PathBuf,
}

/// What came out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// Seeds played on both sides.
    pub seeds: u64,
    /// Worth kept on average, by side.
    pub kept: [f64; 2],
    /// Standard deviation over the seeds, by side.
    pub spread: [f64; 2],
    /// Seeds on which a rule was broken, by side.
    pub broken: [u64; 2],
    /// The second side less the first, seed by seed: its average.
    pub difference: f64,
    /// The standard error of that average: under twice this it may be chance.
    pub error: f64,
}

/// By seed and side: worth kept, and whether a rule was broken.
type Played = BTreeMap<(u64, usize), (f64, bool)>;

/// Plays seeds `from..from + many` on both sides.
///
/// # Errors
/// One of them cannot be played.
pub fn compare(sides: &[Side; 2], from: u64, many: u64, jobs: usize) -> Result<Compared, String> {
    let next = AtomicU64::new(0);
    let done: Mutex<Result<Played, String>> = Mutex::new(Ok(Played::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let (seed, side) = (from + n / 2, (n % 2) as usize);
                    if seed >= from + many {
                        return;
                    }
                    let played = play(&sides[side].program, &sides[side].file, seed);
                    let Ok(mut done) = done.lock() else { return };
                    match (played, done.as_mut()) {
                        (Ok(p), Ok(all)) => drop(all.insert((seed, side), p)),
                        (Err(why), Ok(_)) => *done = Err(why),
                        _ => return,
                    }
                }
            });
        }
    });
    let all = done.into_inner().map_err(|e| e.to_string())??;
    let side = |k: usize| all.iter().filter(move |((_, s), _)| *s == k).map(|(_, v)| *v);
    let kept: Vec<Vec<f64>> = (0..2).map(|k| side(k).map(|v| v.0).collect()).collect();
    let differences: Vec<f64> = kept[0].iter().zip(&kept[1]).map(|(a, b)| b - a).collect();
    Ok(Compared {
        seeds: differences.len() as u64,
        kept: [mean(&kept[0]), mean(&kept[1])],
        spread: [spread(&kept[0]), spread(&kept[1])],
        broken: [side(0).filter(|v| v.1).count() as u64, side(1).filter(|v| v.1).count() as u64],
        difference: mean(&differences),
        error: spread(&differences) / (differences.len().max(1) as f64).sqrt(),
    })
}

fn mean(all: &[f64]) -> f64 {
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

fn spread(all: &[f64]) -> f64 {
    let m = mean(all);
    (all.iter().map(|x| (x - m) * (x - m)).sum::<f64>() / all.len().saturating_sub(1).max(1) as f64).sqrt()
}

/// Worth kept, and whether a rule was broken.
fn play(program: &Path, file: &Path, seed: u64) -> Result<(f64, bool), String> {
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
    let told: serde_json::Value = serde_json::from_slice(&out.stdout).map_err(|e| format!("{name}: {e}"))?;
    let kept =
        told["score"]["kept"].as_f64().ok_or_else(|| format!("{name}: its report has no score.kept"))?;
    Ok((kept, out.status.code() == Some(1)))
}
