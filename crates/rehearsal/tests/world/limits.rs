//! Whole runs that guard against errors in the learned limits which once cost worth.

use crate::run_text;
use notchpoint_rehearsal::Options;

/// Two classes that share calls, and a partner that does not answer some of them.
const SILENT: &str = r#"
name = "some silent"
duration_s = 10.0
[senders]
count = 1
slots = 12
[[class]]
name = "update"
effect = "idempotent"
wanted_s = 0.4
deadline_s = 5.0
[[class]]
name = "order"
effect = "idempotent"
wanted_s = 3.0
deadline_s = 5.0
[[partner]]
name = "merchant"
endpoints = 2
[partner.is]
slots = 4
bundle = 6
service = { default = { mean_ms = 80.0, cv = 0.3 } }
[[traffic]]
class = "update"
rate_per_s = 20.0
[[traffic]]
class = "order"
rate_per_s = 20.0
[[event]]
at_s = 1.0
do = "faults"
partner = "merchant"
faults = { silent = 0.15 }
for_s = 8.0
"#;

#[test]
fn missing_answers_do_not_block_both_endpoints() {
    // Regression test: the share of worth kept was 0.50, because nine tenths of the waiting time was for
    // endpoints that were both paused for eight seconds.
    let kept = (1..=6).map(|seed| {
        let (_, score, violations) = run_text(SILENT, seed, &Options::default());
        assert!(violations.is_empty(), "seed {seed}: {}", violations[0]);
        score.kept
    });
    let kept = kept.sum::<f64>() / 6.0;
    assert!(kept > 0.75, "{kept}");
}
