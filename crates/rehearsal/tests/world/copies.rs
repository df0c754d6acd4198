//! Replication between senders, with the daemon's own code in virtual time.

use crate::{parse, run_text, shipped};
use notchpoint_rehearsal::Options;
use notchpoint_rehearsal::hunt::{BaseScenario, hunt};
use std::path::PathBuf;

#[test]
fn lost_sender_loses_messages_only_without_copies() {
    let text = shipped("copies.toml");
    let (_, kept, violations) = run_text(&text, 1, &Options::default());
    assert!(violations.is_empty(), "{}", violations[0]);
    let without = text.replace("copies = 1", "copies = 0");
    let (_, score, violations) = run_text(&without, 1, &Options::default());
    assert!(
        violations.iter().any(|violation| violation.what.contains("taken on by sender 0")),
        "the messages it held are lost"
    );
    assert!(score.counts.delivered < kept.counts.delivered);
}

#[test]
fn hunt_among_senders_that_keep_copies_finds_nothing() {
    let text = shipped("copies-calm.toml");
    parse(&text);
    let base = BaseScenario { text, name: "copies-calm.toml".into(), folder: PathBuf::new() };
    let found = hunt(&base, 1, 40, 2, |_, _| ()).expect("the scenario is valid");
    let first = found.violations.iter().next();
    assert!(first.is_none() && found.failed.is_empty(), "{first:?} {:?}", found.failed);
}
