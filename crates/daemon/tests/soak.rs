//! A few fixed plans of the soak, with the real program: see `crates/soak`.

use notchpoint_soak::plan::{RunSize, generate};
use notchpoint_soak::run;
use std::path::Path;
use std::time::Duration;

const SIZE: RunSize = RunSize {
    senders: 24,
    destinations: 6,
    duration: Duration::from_secs(10),
    fault_count: 15,
    prefer_handovers: false,
};
/// Enough that a play in which hardly anything was taken on is no pass.
const MIN_ACKNOWLEDGED: usize = 1_000;

#[test]
fn two_dozen_senders_keep_the_rules_while_troubles_overlap() {
    for seed in [3, 8] {
        let plan = generate(seed, &SIZE);
        let program = Path::new(env!("CARGO_BIN_EXE_notchpoint"));
        let outcome = run(program, seed, &SIZE, &plan).expect("the machine gives what a play takes");
        let told: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(told.is_empty(), "seed {seed}: {told:#?}\n{plan:#?}\n{}", outcome.timeline);
        assert!(outcome.counts.acknowledged >= MIN_ACKNOWLEDGED, "seed {seed}: {:?}", outcome.counts);
    }
}
