//! Crashes at each operation of a scripted run with compaction and checkpoints, against a plain map.
//!
//! The full form: `cargo run --release -p notchpoint-store --example crashes -- --help`.

mod sim;

use notchpoint_store::Durability;
use sim::{Fault, Sim, options, play, verify};
use std::io::ErrorKind;

/// So many batches: some fifteen segments, of which all but five are dropped again.
const BATCHES: usize = 160;

fn ops(durability: Durability, seed: u64) -> u64 {
    let sim = Sim::new(seed, None);
    let played = play(&sim, durability, seed, BATCHES);
    assert!(played.promised > 0 && played.refused == 0);
    assert!(sim.files().keys().all(|f| f != "0000000001.log"), "compaction dropped the first segment");
    sim.ops()
}

#[test]
fn a_kill_at_each_operation_loses_nothing_that_was_taken() {
    let durability = Durability::Process;
    for at in 1..=ops(durability, 5) {
        let sim = Sim::new(at, Some((at, Fault::Crash)));
        let played = play(&sim, durability, 5, BATCHES);
        verify(&sim.after_kill(at), durability, &played)
            .unwrap_or_else(|e| panic!("killed in operation {at}: {e}"));
    }
}

#[test]
fn a_power_cut_at_each_operation_loses_nothing_that_was_synced() {
    let durability = Durability::Power;
    for at in 1..=ops(durability, 6) {
        let sim = Sim::new(at, Some((at, Fault::Crash)));
        let played = play(&sim, durability, 6, BATCHES);
        for cut in 0..3 {
            let after = sim.after_power_cut(at * 31 + cut);
            verify(&after, durability, &played)
                .unwrap_or_else(|e| panic!("cut {cut} in operation {at}: {e}"));
        }
    }
}

#[test]
fn an_error_at_each_operation_refuses_cleanly_and_heals() {
    for durability in [Durability::Process, Durability::Power] {
        for at in 12..=ops(durability, 7) {
            for fault in [
                Fault::Once(ErrorKind::StorageFull),
                Fault::Once(ErrorKind::Other),
                Fault::Span(ErrorKind::StorageFull, 9),
            ] {
                let sim = Sim::new(at, Some((at, fault)));
                let mut played = play(&sim, durability, 7, BATCHES);
                // What was taken is there, and what was refused is not, for this process and the next.
                played.promised = played.written;
                let after = sim.after_kill(at);
                verify(&after, durability, &played)
                    .unwrap_or_else(|e| panic!("{durability:?}, {fault:?} in operation {at}: {e}"));
            }
        }
    }
}

#[test]
fn errors_and_a_power_cut_behind_them() {
    // A sync that failed promises nothing, and what it was for is safe only once it stands elsewhere.
    let durability = Durability::Power;
    let last = ops(durability, 8);
    for at in (12..last).step_by(2) {
        let sim = Sim::new(at, Some((at, Fault::Span(ErrorKind::Other, 1 + at % 4))));
        let played = play(&sim, durability, 8, BATCHES);
        let after = sim.after_power_cut(at);
        verify(&after, durability, &played).unwrap_or_else(|e| panic!("error in operation {at}: {e}"));
    }
}

#[test]
fn the_folder_is_never_over_its_limit() {
    let limit = options(Durability::Process).limit_bytes;
    for seed in 0..40 {
        let sim = Sim::new(seed, None);
        let played = play(&sim, Durability::Process, seed, 600);
        assert!(sim.most.get() <= limit, "seed {seed}: {} of {limit}", sim.most.get());
        verify(&sim.after_kill(seed), Durability::Process, &played)
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
