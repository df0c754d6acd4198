//! The long form of `tests/crash.rs`: scripts from many seeds with a kill, a loss of power or errors at each
//! operation, compared with a plain map.
//!
//! `cargo run --release -p notchpoint-store --example crashes -- [SCRIPTS [FIRST_SEED [BATCHES]]]`

#[path = "../tests/sim/mod.rs"]
mod sim;

use notchpoint_store::Durability;
use sim::{Fault, SimDisk, run_script, verify};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1).map(|a| a.parse::<u64>());
    let mut next = |default: u64| match args.next() {
        Some(Ok(n)) => Some(n),
        Some(Err(_)) => None,
        None => Some(default),
    };
    let (Some(scripts), Some(first), Some(batches)) = (next(20), next(1), next(300)) else {
        eprintln!("usage: crashes [SCRIPTS [FIRST_SEED [BATCHES]]], numbers");
        return ExitCode::from(2);
    };
    let started = std::time::Instant::now();
    // For each kind of fault: the number of cases, and how many of them were wrong.
    let mut counts: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut total_wrong = 0u64;
    let mut record = |fault_name: &'static str,
                      durability: Durability,
                      seed: u64,
                      at: u64,
                      found: Result<usize, String>| {
        let entry = counts.entry(fault_name).or_default();
        entry.0 += 1;
        if let Err(error) = found {
            entry.1 += 1;
            total_wrong += 1;
            println!("{fault_name}, {durability:?}, seed {seed}, operation {at}: {error}");
        }
    };
    for seed in first..first + scripts {
        for durability in [Durability::Process, Durability::Power] {
            let complete = SimDisk::new(seed, None);
            run_script(&complete, durability, seed, batches as usize);
            for at in 1..=complete.operations() {
                let sim = SimDisk::new(at, Some((at, Fault::Crash)));
                let result = run_script(&sim, durability, seed, batches as usize);
                record("killed", durability, seed, at, verify(&sim.after_kill(at), durability, &result));
                if durability == Durability::Power {
                    for cut in 0..2 {
                        let after = sim.after_power_cut(at * 31 + cut);
                        record("power cut", durability, seed, at, verify(&after, durability, &result));
                    }
                }
                if at < 12 {
                    continue; // The first operations belong to `Store::open`, whose errors the caller gets.
                }
                for (fault_name, fault) in [
                    ("disk full, once", Fault::Once(ErrorKind::StorageFull)),
                    ("disk full for a while", Fault::Span(ErrorKind::StorageFull, 1 + at % 17)),
                    ("input/output errors", Fault::Span(ErrorKind::Other, 1 + at % 5)),
                ] {
                    let sim = SimDisk::new(at, Some((at, fault)));
                    let mut result = run_script(&sim, durability, seed, batches as usize);
                    let after = sim.after_power_cut(at);
                    if durability == Durability::Power {
                        record(
                            "errors, then a power cut",
                            durability,
                            seed,
                            at,
                            verify(&after, durability, &result),
                        );
                    }
                    result.durable_index = result.written_index;
                    record(
                        fault_name,
                        durability,
                        seed,
                        at,
                        verify(&sim.after_kill(at), durability, &result),
                    );
                }
            }
        }
    }
    for (fault_name, (cases, wrong)) in &counts {
        println!("{fault_name:<26} {cases:>8} cases, {wrong} wrong");
    }
    let cases: u64 = counts.values().map(|c| c.0).sum();
    println!(
        "{cases} cases from seeds {first} to {} in {:.1?}: {total_wrong} wrong",
        first + scripts - 1,
        started.elapsed()
    );
    ExitCode::from(u8::from(total_wrong > 0))
}
