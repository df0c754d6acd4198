//! Searches for violations of the rules: runs a scenario with random faults for many seeds, and reduces the
//! faults of the first seed with a violation to a minimal set that still causes it.

use crate::checker::{Rule, Violation, check};
use crate::client::mix;
use crate::hosts::Options;
use crate::run::run;
use crate::scenario::{self, Scenario, ScenarioError};
use crate::score;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of random faults for a seed.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 1..=6;

/// The text of a scenario to which faults are added.
#[derive(Clone, Debug)]
pub struct BaseScenario {
    /// Text of the file.
    pub text: String,
    /// Name used in errors.
    pub name: String,
    /// Folder relative to which other files are read.
    pub folder: PathBuf,
}

impl BaseScenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// See [`scenario::read`].
    pub fn read(path: &std::path::Path) -> Result<Self, ScenarioError> {
        scenario::read(path)?;
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError(vec![format!("{name}: {e}")]))?;
        Ok(Self { text, name, folder: path.parent().unwrap_or(std::path::Path::new("")).to_owned() })
    }

    fn with(&self, faults: &[String]) -> String {
        self.text.clone() + &faults.concat()
    }

    fn parse(&self, faults: &[String]) -> Result<Rc<Scenario>, ScenarioError> {
        scenario::parse(&self.with(faults), &self.name, self.folder.clone()).map(Rc::new)
    }
}

/// Result of a hunt.
#[derive(Debug, Default)]
pub struct HuntResult {
    /// Number of seeds that were run.
    pub seeds: u64,
    /// Mean share of worth kept.
    pub kept: f64,
    /// Number of seeds in which each rule was violated.
    pub rules: BTreeMap<Rule, u64>,
    /// The first violation of each seed with violations.
    pub violations: BTreeMap<u64, Violation>,
    /// Seeds that could not be run, with the reason.
    pub failed: BTreeMap<u64, String>,
}

/// Returns the random faults of a seed as scenario text.
pub fn random_faults(scenario: &Scenario, seed: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(mix(seed, 99));
    let count = rng.random_range(FAULT_COUNT);
    let mut all: Vec<String> = (0..count).map(|_| random_fault(scenario, &mut rng)).collect();
    // With replication, faults between senders are added, and losses of at most as many machines as there
    // are replicas.
    let copies = scenario.senders.copies;
    if copies > 0 {
        let count = rng.random_range(FAULT_COUNT);
        all.extend((0..count).map(|_| random_sender_fault(scenario, &mut rng)));
        let losses = rng.random_range(0..=copies);
        all.extend((0..losses).map(|_| {
            let (at, sender) =
                (rng.random_range(0.0..scenario.duration_s), rng.random_range(0..scenario.senders.count));
            let back = rng.random_range(0.2..3.0);
            format!("\n[[event]]\nat_s = {at:.3}\ndo = \"lose\"\nsender = {sender}\nfor_s = {back:.3}\n")
        }));
    }
    all
}

/// Returns a random fault of a sender or of a link between senders.
fn random_sender_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> String {
    let sender = rng.random_range(0..scenario.senders.count);
    let other = (sender + rng.random_range(1..scenario.senders.count)) % scenario.senders.count;
    let link = format!("sender = {sender}\nother = {other}\n");
    let (what, rest) = match rng.random_range(0..6) {
        0 | 1 => ("part", link),
        2 => ("part", link + "one_way = true\n"),
        3 => ("slow_link", format!("{link}late_ms = {}\n", rng.random_range(1..1_500))),
        4 => ("disk_full", format!("sender = {sender}\n")),
        _ => ("freeze", format!("sender = {sender}\n")),
    };
    let (at, span) = (rng.random_range(0.0..scenario.duration_s), rng.random_range(0.1..5.0));
    format!("\n[[event]]\nat_s = {at:.3}\ndo = {what:?}\n{rest}for_s = {span:.3}\n")
}

fn random_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> String {
    // Times are whole milliseconds, the resolution of virtual time.
    let ms = |rng: &mut Pcg64Mcg, from: f64, to: f64| (rng.random_range(from..to) * 1e3).round() / 1e3;
    let at = ms(rng, 0.0, scenario.duration_s);
    let partner = scenario.partner[rng.random_range(0..scenario.partner.len())].get_ref();
    let mut target = if rng.random_bool(0.25) {
        format!("hall = {:?}\n", partner.zone)
    } else {
        let mut target = format!("partner = {:?}\n", partner.name);
        if rng.random_bool(0.5) {
            let _ = writeln!(target, "destination = {}", rng.random_range(0..partner.destinations));
        }
        target
    };
    if rng.random_bool(0.4) {
        let _ = writeln!(target, "endpoint = {}", rng.random_range(0..partner.endpoints));
    }
    let sender = format!("sender = {}\n", rng.random_range(0..scenario.senders.count));
    let span = |rng: &mut Pcg64Mcg, most: f64| format!("for_s = {:?}\n", ms(rng, 0.1, most));
    let (what, rest) = match rng.random_range(0..15) {
        0 | 1 => ("silent", target + &span(rng, 12.0)),
        2 | 3 => ("die", target + &span(rng, 12.0)),
        4 => ("pause", target + &span(rng, 4.0)),
        5 => ("slow", format!("{target}times = {:.1}\n{}", rng.random_range(1.5..8.0), span(rng, 15.0))),
        6 => {
            let mut share = || rng.random_range(0.0..0.15);
            let (silent, reset, spoilt, half, trickle) = (share(), share(), share(), share(), share());
            let faults = format!(
                "faults = {{ silent = {silent:.3}, reset = {reset:.3}, spoilt = {spoilt:.3}, \
                 half = {half:.3}, trickle = {trickle:.3} }}\n"
            );
            ("faults", format!("{target}{faults}{}", span(rng, 15.0)))
        }
        7 => ("drain", format!("{target}{}", span(rng, 6.0))),
        8 | 9 => ("replace", format!("{target}{}", span(rng, 6.0))),
        10 => {
            let (mode, rest) = match rng.random_range(0..4) {
                0 => ("down", span(rng, 12.0)),
                1 => ("silent", span(rng, 12.0)),
                2 => ("late", format!("late_ms = {}\n{}", rng.random_range(1..3_000), span(rng, 12.0))),
                _ => ("broken", String::new()),
            };
            ("discovery", format!("mode = {mode:?}\n{rest}"))
        }
        11 => ("move_discovery", String::new()),
        12 => ("kill", sender),
        13 => ("restart", sender),
        _ => {
            let target = if rng.random_bool(0.3) { sender } else { target };
            ("cut", target + &span(rng, 8.0))
        }
    };
    format!("\n[[event]]\nat_s = {at:?}\ndo = {what:?}\n{rest}")
}

/// Runs one seed with the given faults. Returns the share of worth kept and the violations.
fn run_seed(base: &BaseScenario, faults: &[String], seed: u64) -> Result<(f64, Vec<Violation>), String> {
    let scenario = base.parse(faults).map_err(|e| e.to_string())?;
    let result = run(&scenario, seed, &Options::default())?;
    let violations = check(&result);
    Ok((score::score(&result, violations.len()).kept, violations))
}

/// Runs the seeds `from..from + count` on `jobs` threads; the result does not depend on their number. Calls
/// `on_seed` after each seed.
///
/// # Errors
/// Returns the errors of the scenario.
pub fn hunt(
    base: &BaseScenario,
    from: u64,
    count: u64,
    jobs: usize,
    on_seed: impl Fn(u64, Option<&Violation>) + Sync,
) -> Result<HuntResult, ScenarioError> {
    base.parse(&[])?;
    let next = AtomicU64::new(from);
    let found = Mutex::new((HuntResult::default(), BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= from + count {
                        return;
                    }
                    let Ok(scenario) = base.parse(&[]) else { return };
                    let done = run_seed(base, &random_faults(&scenario, seed), seed);
                    let Ok(mut found) = found.lock() else { return };
                    let (found, kept) = &mut *found;
                    found.seeds += 1;
                    match done {
                        Ok((worth, violations)) => {
                            kept.insert(seed, worth);
                            let rules: std::collections::BTreeSet<Rule> =
                                violations.iter().map(|violation| violation.rule).collect();
                            rules.into_iter().for_each(|r| *found.rules.entry(r).or_default() += 1);
                            on_seed(seed, violations.first());
                            if let Some(first) = violations.into_iter().next() {
                                found.violations.insert(seed, first);
                            }
                        }
                        Err(why) => {
                            on_seed(seed, None);
                            found.failed.insert(seed, why);
                        }
                    }
                }
            });
        }
    });
    let (mut found, kept) = found.into_inner().unwrap_or_default();
    // Summed in the order of seeds, because the order changes the last digits of a floating-point sum.
    found.kept = kept.values().sum::<f64>() / kept.len().max(1) as f64;
    Ok(found)
}

/// Reduces a seed's faults to a minimal set under which the same rule is violated. Returns the scenario text
/// and its violation.
///
/// # Errors
/// Fails if the seed violates no rule or cannot be run.
pub fn shrink(base: &BaseScenario, seed: u64) -> Result<(String, Violation), String> {
    let scenario = base.parse(&[]).map_err(|e| e.to_string())?;
    let mut remaining = random_faults(&scenario, seed);
    let violations = run_seed(base, &remaining, seed)?.1;
    let mut first = violations.into_iter().next().ok_or("this seed breaks no rule")?;
    let mut at = 0;
    while at < remaining.len() {
        let mut fewer = remaining.clone();
        fewer.remove(at);
        match run_seed(base, &fewer, seed)?.1.into_iter().find(|violation| violation.rule == first.rule) {
            Some(violation) => (remaining, first) = (fewer, violation),
            None => at += 1,
        }
    }
    let text = base.with(&remaining);
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    if let Some(line) = lines.iter_mut().find(|l| l.starts_with("seed =")) {
        *line = format!("seed = {seed}");
    } else {
        lines.insert(0, format!("seed = {seed}"));
    }
    Ok((format!("# Found by a hunt: {first}\n{}\n", lines.join("\n")), first))
}
