//! A run depends on scenario and seed only.

use crate::{DAY, run_text, shipped};
use notchpoint_rehearsal::Options;
use notchpoint_rehearsal::hunt::{BaseScenario, hunt};
use std::path::PathBuf;

/// Number of seeds that are run twice. `notchpoint-rehearse twice FILE --seeds 200` runs the full check.
const SEEDS: u64 = 20;

#[test]
fn same_seed_gives_byte_identical_log() {
    for seed in 1..=SEEDS {
        let (one, score, violations) = run_text(DAY, seed, &Options::default());
        let (two, again, _) = run_text(DAY, seed, &Options::default());
        assert!(one.log.lines().count() > 2_000, "a log of {} lines", one.log.lines().count());
        let differ = one.log.lines().zip(two.log.lines()).find(|(a, b)| a != b);
        assert!(one.log == two.log, "seed {seed}: {differ:?}");
        assert_eq!(score, again, "seed {seed}");
        assert!(violations.is_empty(), "seed {seed}: {}", violations[0]);
    }
    let logs: Vec<String> = (1..3).map(|seed| run_text(DAY, seed, &Options::default()).0.log).collect();
    assert_ne!(logs[0], logs[1], "different seeds must give different logs");
}

#[test]
fn four_jobs_find_the_same_as_one() {
    let base = BaseScenario { text: DAY.into(), name: "day".into(), folder: PathBuf::new() };
    let find = |jobs| {
        let found = hunt(&base, 1, 8, jobs, |_, _| {}).expect("the scenario is valid");
        (found.seeds, found.kept.to_bits(), found.rules, found.violations, found.failed)
    };
    let one = find(1);
    assert!(one.0 == 8 && one.4.is_empty(), "{one:?}");
    assert_eq!(one, find(4));
}

#[test]
fn every_shipped_scenario_keeps_the_rules() {
    for name in
        ["hall-silent", "thundering-return", "list-out-of-reach", "rolling-replacement", "payment-storm"]
    {
        let (_, score, violations) = run_text(&shipped(&format!("{name}.toml")), 1, &Options::default());
        assert!(violations.is_empty(), "{name}: {}", violations[0]);
        assert!(score.kept > 0.8, "{name}: {}", score.kept);
    }
    let (_, score, violations) = run_text(&shipped("calm.toml"), 1, &Options::default());
    assert!(violations.is_empty() && score.score > 0.99, "{score:?}");
}
