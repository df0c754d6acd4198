//! Two fixed plans of the soak (`crates/soak`), run with the real program.

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
/// A run in which hardly any message was accepted must not pass.
const MIN_ACKNOWLEDGED: usize = 1_000;

#[test]
fn two_dozen_senders_keep_the_rules_while_faults_overlap() {
    for seed in [3, 8] {
        let plan = generate(seed, &SIZE);
        let program = Path::new(env!("CARGO_BIN_EXE_notchpoint"));
        let outcome = run(program, seed, &SIZE, &plan).expect("the machine has the resources for a run");
        let violations: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}\n{plan:#?}\n{}", outcome.timeline);
        assert!(outcome.counts.acknowledged >= MIN_ACKNOWLEDGED, "seed {seed}: {:?}", outcome.counts);
    }
}
