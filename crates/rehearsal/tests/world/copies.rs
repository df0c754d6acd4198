//! Senders that keep copies for one another, with the daemon's own code in virtual time.

use crate::{parse, play, shipped};
use notchpoint_rehearsal::Options;
use notchpoint_rehearsal::hunt::{Ground, hunt};
use std::path::PathBuf;

#[test]
fn a_sender_lost_with_what_it_held_loses_nothing_and_without_copies_it_does() {
    let text = shipped("copies.toml");
    let (_, kept, breaches) = play(&text, 1, &Options::default());
    assert!(breaches.is_empty(), "{}", breaches[0]);
    let without = text.replace("copies = 1", "copies = 0");
    let (_, score, breaches) = play(&without, 1, &Options::default());
    assert!(breaches.iter().any(|b| b.what.contains("taken on by sender 0")), "what it held is gone");
    assert!(score.counts.delivered < kept.counts.delivered);
}

#[test]
fn a_hunt_among_senders_that_keep_copies_finds_nothing() {
    let text = shipped("copies-calm.toml");
    parse(&text);
    let ground = Ground { text, name: "copies-calm.toml".into(), folder: PathBuf::new() };
    let found = hunt(&ground, 1, 40, 2, |_, _| ()).expect("sound");
    let first = found.breaches.iter().next();
    assert!(first.is_none() && found.failed.is_empty(), "{first:?} {:?}", found.failed);
}
