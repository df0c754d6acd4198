//! Runs the same scenario in virtual time and on loopback sockets. Findings in virtual time are valid as far
//! as both agree.

use crate::Options;
use crate::checker::{Rule, check};
use crate::live::Live;
use crate::run::{RunResult, run, run_live};
use crate::scenario::Scenario;
use crate::score::{Score, score};
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Permitted difference of the share of worth kept. Real sockets and threads add some milliseconds to each
/// step, and partners draw their service times in a different order.
pub const DEFAULT_TOLERANCE: f64 = 0.03;

/// The result in one environment.
#[derive(Clone, Debug, PartialEq)]
pub struct WorldResult {
    /// Score and counts.
    pub score: Score,
    /// Rules that were violated.
    pub violated: BTreeSet<Rule>,
}

/// The results in both environments.
#[derive(Clone, Debug, PartialEq)]
pub struct FidelityReport {
    /// Result in virtual time.
    pub virt: WorldResult,
    /// Result on loopback sockets with real processes.
    pub live: WorldResult,
}

impl FidelityReport {
    /// Returns whether the same rules were kept and the shares of worth kept differ by at most `within`.
    pub fn agrees(&self, within: f64) -> bool {
        let difference = (self.virt.score.kept - self.live.score.kept).abs();
        self.virt.violated == self.live.violated && difference <= within
    }
}

impl fmt::Display for FidelityReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, result) in [("virtual", &self.virt), ("loopback", &self.live)] {
            let counts = &result.score.counts;
            let rules = if result.violated.is_empty() {
                "all kept".into()
            } else {
                format!("BROKEN: {:?}", result.violated)
            };
            writeln!(
                f,
                "{name:<9} worth kept {:.4}   {} asked for, {} delivered, {} calls, {} refused; \
                 rules: {rules}",
                result.score.kept, counts.orders, counts.delivered, counts.calls, counts.refused
            )?;
        }
        write!(f, "loopback less virtual: {:+.4}", self.live.score.kept - self.virt.score.kept)
    }
}

fn evaluate(result: &RunResult) -> WorldResult {
    let violations = check(result);
    WorldResult {
        score: score(result, violations.len()),
        violated: violations.into_iter().map(|violation| violation.rule).collect(),
    }
}

/// Runs a scenario in both environments, without latency and without notes between senders, which loopback
/// sockets do not support.
///
/// # Errors
/// Fails if the scenario cannot be run or needs features that only virtual time supports.
pub fn fidelity(
    mut scenario: Scenario,
    seed: u64,
    command: Vec<PathBuf>,
    folder: &Path,
) -> Result<FidelityReport, String> {
    scenario.senders.notes = false;
    scenario.network.latency_ms = 0;
    let scenario = Rc::new(scenario);
    let hosts = Live::new(scenario.senders.count, command, folder)?;
    let live = evaluate(&run_live(&scenario, seed, hosts, false, |_| {})?);
    Ok(FidelityReport { virt: evaluate(&run(&scenario, seed, &Options::default())?), live })
}
