//! The same daemon in both environments: a run on loopback sockets has the same result as in virtual time.

use crate::parse;
use notchpoint_rehearsal::fidelity::fidelity;
use std::path::PathBuf;

/// The wanted times are long enough for slow machines, because the test compares the results of messages,
/// not their latencies. One partner dies and returns, one refuses calls, one endpoint is replaced, and a
/// sender is killed.
const SCENARIO: &str = r#"
name = "both"
duration_s = 5.0
[senders]
count = 2
[[class]]
name = "update"
effect = "idempotent"
wanted_s = 12.0
deadline_s = 12.0
[[class]]
name = "payment"
effect = "at_most_once"
wanted_s = 12.0
deadline_s = 12.0
worth = 3.0
[[partner]]
name = "shop"
hall = "north"
endpoints = 2
[partner.is]
service = { default = { mean_ms = 20.0, cv = 0.3 } }
[[partner]]
name = "bank"
hall = "south"
endpoints = 2
[partner.is]
rate_per_s = 25.0
service = { default = { mean_ms = 10.0, cv = 0.3 } }
[[traffic]]
class = "update"
rate_per_s = 20.0
[[traffic]]
class = "payment"
partner = "bank"
rate_per_s = 10.0
[[event]]
at_s = 1.0
do = "die"
partner = "shop"
for_s = 1.0
[[event]]
at_s = 2.0
do = "replace"
partner = "bank"
endpoint = 0
for_s = 1.0
[[event]]
at_s = 3.0
do = "kill"
sender = 0
"#;

#[test]
fn both_environments_keep_the_rules_and_deliver_the_same() {
    let folder = tempfile::tempdir().expect("a folder");
    let command = vec![PathBuf::from(env!("CARGO_BIN_EXE_notchpoint-rehearse")), "sender".into()];
    let scenario = std::rc::Rc::unwrap_or_clone(parse(SCENARIO));
    let both = fidelity(scenario, 1, command, folder.path()).expect("the scenario runs");
    assert!(both.virt.violated.is_empty() && both.live.violated.is_empty(), "{both}");
    // Only messages that were in flight or unanswered when a process was killed may differ because of
    // timing.
    let orders = both.virt.score.counts.orders;
    assert!(orders > 100 && orders == both.live.score.counts.orders, "{both}");
    assert!(both.agrees(0.1), "{both}");
}
