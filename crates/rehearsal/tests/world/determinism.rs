//! A run is a function of scenario and seed, and of nothing else.

use crate::{DAY, play, shipped};
use notchpoint_rehearsal::Options;
use notchpoint_rehearsal::hunt::{Ground, hunt};
use std::path::PathBuf;

/// Seeds that are played twice. `notchpoint-rehearse twice FILE --seeds 200` is the full form.
const SEEDS: u64 = 20;

#[test]
fn the_same_seed_gives_the_same_log_to_the_byte() {
    for seed in 1..=SEEDS {
        let (one, score, breaches) = play(DAY, seed, &Options::default());
        let (two, again, _) = play(DAY, seed, &Options::default());
        assert!(one.log.lines().count() > 2_000, "a log of {} lines", one.log.lines().count());
        let differ = one.log.lines().zip(two.log.lines()).find(|(a, b)| a != b);
        assert!(one.log == two.log, "seed {seed}: {differ:?}");
        assert_eq!(score, again, "seed {seed}");
        assert!(breaches.is_empty(), "seed {seed}: {}", breaches[0]);
    }
    let logs: Vec<String> = (1..3).map(|seed| play(DAY, seed, &Options::default()).0.log).collect();
    assert_ne!(logs[0], logs[1], "chance comes from the seed");
}

#[test]
fn four_jobs_find_what_one_finds() {
    let ground = Ground { text: DAY.into(), name: "day".into(), folder: PathBuf::new() };
    let find = |jobs| {
        let f = hunt(&ground, 1, 8, jobs, |_, _| {}).expect("sound");
        (f.seeds, f.kept.to_bits(), f.rules, f.breaches, f.failed)
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
        let (_, score, breaches) = play(&shipped(&format!("{name}.toml")), 1, &Options::default());
        assert!(breaches.is_empty(), "{name}: {}", breaches[0]);
        assert!(score.kept > 0.8, "{name}: {}", score.kept);
    }
    let (_, score, breaches) = play(&shipped("calm.toml"), 1, &Options::default());
    assert!(breaches.is_empty() && score.score > 0.99, "{score:?}");
}
