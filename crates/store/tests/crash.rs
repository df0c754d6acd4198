//! Crashes at each operation of a script with compaction and checkpoints, compared with a plain map.
//!
//! The long form: `cargo run --release -p notchpoint-store --example crashes -- --help`.

mod sim;

use notchpoint_store::Durability;
use sim::{Fault, SimDisk, options, run_script, verify};
use std::io::ErrorKind;

/// The number of batches: about fifteen segments, of which all but five are dropped again.
const BATCHES: usize = 160;

/// Returns the number of operations of a script without faults.
fn count_operations(durability: Durability, seed: u64) -> u64 {
    let sim = SimDisk::new(seed, None);
    let result = run_script(&sim, durability, seed, BATCHES);
    assert!(result.durable_index > 0 && result.refused == 0);
    assert!(sim.files().keys().all(|f| f != "0000000001.log"), "compaction dropped the first segment");
    sim.operations()
}

#[test]
fn kill_at_any_operation_loses_no_accepted_batch() {
    let durability = Durability::Process;
    for at in 1..=count_operations(durability, 5) {
        let sim = SimDisk::new(at, Some((at, Fault::Crash)));
        let result = run_script(&sim, durability, 5, BATCHES);
        verify(&sim.after_kill(at), durability, &result)
            .unwrap_or_else(|e| panic!("kill in operation {at}: {e}"));
    }
}

#[test]
fn power_loss_at_any_operation_loses_no_synced_batch() {
    let durability = Durability::Power;
    for at in 1..=count_operations(durability, 6) {
        let sim = SimDisk::new(at, Some((at, Fault::Crash)));
        let result = run_script(&sim, durability, 6, BATCHES);
        for cut in 0..3 {
            let after = sim.after_power_cut(at * 31 + cut);
            verify(&after, durability, &result)
                .unwrap_or_else(|e| panic!("cut {cut} in operation {at}: {e}"));
        }
    }
}

#[test]
fn error_at_any_operation_is_reported_and_repaired() {
    for durability in [Durability::Process, Durability::Power] {
        for at in 12..=count_operations(durability, 7) {
            for fault in [
                Fault::Once(ErrorKind::StorageFull),
                Fault::Once(ErrorKind::Other),
                Fault::Span(ErrorKind::StorageFull, 9),
            ] {
                let sim = SimDisk::new(at, Some((at, fault)));
                let mut result = run_script(&sim, durability, 7, BATCHES);
                // Accepted batches are present and refused batches are not, for this process and the next.
                result.durable_index = result.written_index;
                let after = sim.after_kill(at);
                verify(&after, durability, &result)
                    .unwrap_or_else(|e| panic!("{durability:?}, {fault:?} in operation {at}: {e}"));
            }
        }
    }
}

#[test]
fn power_loss_after_errors_loses_no_synced_batch() {
    // A failed sync makes nothing durable: its data is durable only once it is written again elsewhere.
    let durability = Durability::Power;
    let last = count_operations(durability, 8);
    for at in (12..last).step_by(2) {
        let sim = SimDisk::new(at, Some((at, Fault::Span(ErrorKind::Other, 1 + at % 4))));
        let result = run_script(&sim, durability, 8, BATCHES);
        let after = sim.after_power_cut(at);
        verify(&after, durability, &result).unwrap_or_else(|e| panic!("error in operation {at}: {e}"));
    }
}

#[test]
fn folder_never_exceeds_its_limit() {
    let limit = options(Durability::Process).limit_bytes;
    for seed in 0..40 {
        let sim = SimDisk::new(seed, None);
        let result = run_script(&sim, Durability::Process, seed, 600);
        assert!(sim.max_used_bytes.get() <= limit, "seed {seed}: {} of {limit}", sim.max_used_bytes.get());
        verify(&sim.after_kill(seed), Durability::Process, &result)
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
