//! A few fixed plans of the soak, with the real program: see `crates/soak`.

use notchpoint_soak::plan::{Size, draw};
use notchpoint_soak::play;
use std::path::Path;
use std::time::Duration;

const SIZE: Size =
    Size { senders: 24, dests: 6, span: Duration::from_secs(10), troubles: 15, many_hand_overs: false };
/// Enough that a play in which hardly anything was taken on is no pass.
const PROMISED: usize = 1_000;

#[test]
fn two_dozen_senders_keep_the_rules_while_troubles_overlap() {
    for seed in [3, 8] {
        let plan = draw(seed, &SIZE);
        let program = Path::new(env!("CARGO_BIN_EXE_notchpoint"));
        let outcome = play(program, seed, &SIZE, &plan).expect("the machine gives what a play takes");
        let told: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(told.is_empty(), "seed {seed}: {told:#?}\n{plan:#?}\n{}", outcome.timeline);
        assert!(outcome.counts.promised >= PROMISED, "seed {seed}: {:?}", outcome.counts);
    }
}
