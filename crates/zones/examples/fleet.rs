//! Simulates fleets in virtual time while zones fail, are cut off, flap, or fail two seconds apart. Compares
//! the failed calls, overloaded endpoints, and evacuations with those of senders that decide on their own.
//! Also shows how the numbers of probes and notes depend on the size of the fleet.
//!
//! `cargo run --release -p notchpoint-zones --example fleet -- FOLDER [SEEDS [SENDERS]]` writes
//! `zones-size.csv`, `zones-size.svg` and `zones-return.svg`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use plotters::prelude::*;
use sim::{Fails, Fleet, MS, S, none_fails, zone_1_fails};
use std::fmt::Write;
use std::path::PathBuf;

type BoxError = Box<dyn std::error::Error>;

const ZONES: usize = 3;
/// The number of messages per second of the whole fleet, regardless of its size.
const RATE: f64 = 600.0;
const FLEET_SIZES: [usize; 5] = [10, 30, 100, 300, 1_000];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Zone 1 fails.
    Fails,
    /// Zones 0 and 1 are cut off from each other.
    Cut,
    /// Zone 1 fails for 7 s and serves for 3 s, four times.
    Flaps,
    /// Zone 1 fails, and two seconds later zone 2 as well.
    Two,
    /// Most destinations fail in zone 1.
    Most,
}

const FAULTS: [Fault; 5] = [Fault::Fails, Fault::Cut, Fault::Flaps, Fault::Two, Fault::Most];

/// The results of one seed.
#[derive(Clone, Copy, Debug, Default)]
struct SeedResult {
    /// The share of failed calls, from the beginning of the fault until 30 s after its end.
    failed_share: f64,
    /// The number of failed calls per second during the fault.
    failed_per_s: f64,
    overloads: usize,
    /// How often a sender was seen to give no zone its full share.
    without_full_zone: usize,
    /// The number of senders that had not returned to a zone in the end.
    not_returned: usize,
    /// The number of senders that evacuated a zone that serves.
    wrong_evacuations: usize,
}

fn fleet(seed: u64, senders: usize, is_cooperative: bool) -> Fleet {
    let mut fleet =
        if is_cooperative { Fleet::new(seed, senders, ZONES) } else { Fleet::watching(seed, senders, ZONES) };
    fleet.rate = RATE / senders as f64;
    fleet.run(5 * S, &none_fails);
    (fleet.calls, fleet.failed) = (0, 0);
    fleet
}

/// Runs the fleet and counts, every half second, the senders that give no zone its full share.
fn run(fleet: &mut Fleet, result: &mut SeedResult, duration: u64, fails: &Fails) {
    let until = fleet.now + duration;
    while fleet.now < until {
        fleet.run((S / 2).min(until - fleet.now), fails);
        let has_full_zone = |i: &usize| (0..ZONES).any(|z| fleet.share(*i, z) >= 1.0);
        result.without_full_zone += (0..fleet.senders.len()).filter(|i| !has_full_zone(i)).count();
    }
}

fn run_seed(seed: u64, senders: usize, is_cooperative: bool, fault: Fault) -> SeedResult {
    let mut fleet = fleet(seed, senders, is_cooperative);
    let mut result = SeedResult::default();
    let duration = (8 + seed % 12) * S;
    let (calls, failed) = (fleet.calls, fleet.failed);
    let started_at = fleet.now;
    match fault {
        Fault::Fails => run(&mut fleet, &mut result, duration, &zone_1_fails),
        Fault::Most => run(&mut fleet, &mut result, duration, &|_, z, d| z == 1 && d < 4),
        Fault::Two => {
            run(&mut fleet, &mut result, 2 * S, &zone_1_fails);
            run(&mut fleet, &mut result, duration, &|_, z, _| z > 0);
            fleet.recover_cold(2);
        }
        Fault::Flaps => {
            for _ in 0..4 {
                run(&mut fleet, &mut result, 7 * S, &zone_1_fails);
                run(&mut fleet, &mut result, 3 * S, &none_fails);
            }
        }
        Fault::Cut => {
            fleet.is_cut = Box::new(|a, b| (a % 3, b % 3) == (0, 1) || (a % 3, b % 3) == (1, 0));
            run(&mut fleet, &mut result, duration, &|i, z, _| (i % 3, z) == (0, 1) || (i % 3, z) == (1, 0));
            result.wrong_evacuations = (0..ZONES).map(|z| fleet.evacuated_by(z)).sum();
            fleet.is_cut = Box::new(|_, _| false);
        }
    }
    result.failed_per_s = (fleet.failed - failed) as f64 / ((fleet.now - started_at) as f64 / S as f64);
    // A cut leaves no endpoint cold, nor does a zone where most destinations failed: the rest served calls.
    if matches!(fault, Fault::Fails | Fault::Two) {
        fleet.recover_cold(1);
    }
    run(&mut fleet, &mut result, 30 * S, &none_fails);
    result.failed_share = (fleet.failed - failed) as f64 / (fleet.calls - calls).max(1) as f64;
    result.overloads = fleet.overloads;
    run(&mut fleet, &mut result, 120 * S, &none_fails);
    result.not_returned = (0..ZONES).map(|z| fleet.evacuated_by(z)).sum();
    result
}

/// Returns the mean and its standard error.
fn mean(all: &[f64]) -> (f64, f64) {
    let n = all.len().max(1) as f64;
    let mean = all.iter().sum::<f64>() / n;
    let variance = all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, (variance / n).sqrt())
}

fn compare_faults(seeds: u64, senders: usize) -> Result<(), BoxError> {
    println!("{seeds} seeds of each fault, {senders} senders, {RATE} messages a second");
    println!("fault    calls failed %, together and each alone   overloads     no full zone  behind  wrong");
    for fault in FAULTS {
        // Seeds run in parallel, since each takes a second.
        let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(4);
        let spawn = |t: u64, is_cooperative| {
            std::thread::spawn(move || -> Vec<SeedResult> {
                let own_seeds = (0..seeds).filter(|s| s % threads == t);
                own_seeds.map(|s| run_seed(1_000 + s, senders, is_cooperative, fault)).collect()
            })
        };
        let all = |is_cooperative| -> Result<Vec<SeedResult>, BoxError> {
            let running: Vec<_> = (0..threads).map(|t| spawn(t, is_cooperative)).collect();
            let mut results = Vec::new();
            for thread in running {
                results.extend(thread.join().map_err(|_| "a seed violated an assertion of the simulation")?);
            }
            Ok(results)
        };
        let (together, alone) = (all(true)?, all(false)?);
        let failed_percent = |results: &[SeedResult]| {
            mean(&results.iter().map(|r| 100.0 * r.failed_share).collect::<Vec<_>>())
        };
        let sum =
            |results: &[SeedResult], of: fn(&SeedResult) -> usize| results.iter().map(of).sum::<usize>();
        let ((mean, error), (alone_mean, alone_error)) = (failed_percent(&together), failed_percent(&alone));
        println!(
            "{:8} {mean:6.2} +- {error:.2}   {alone_mean:6.2} +- {alone_error:.2}   \
             {:6} ({} alone) {:6} {:6} {:6}",
            format!("{fault:?}"),
            sum(&together, |r| r.overloads),
            sum(&alone, |r| r.overloads),
            sum(&together, |r| r.without_full_zone),
            sum(&together, |r| r.not_returned),
            sum(&together, |r| r.wrong_evacuations),
        );
    }
    Ok(())
}

/// The results for one fleet size: rates per second, and times in seconds.
struct SizeResult {
    senders: usize,
    notes_at_rest: f64,
    notes: f64,
    probes: f64,
    first_evacuated_s: f64,
    last_evacuated_s: f64,
}

/// Runs a fleet while a zone fails for a minute. The traffic does not depend on the size of the fleet.
fn run_size(senders: usize) -> SizeResult {
    let mut fleet = fleet(7, senders, true);
    let before = fleet.notes;
    fleet.run(8 * S, &none_fails);
    let notes_at_rest = (fleet.notes - before) as f64 / senders as f64 / 8.0;
    let started_at = fleet.now;
    let (mut first, mut last) = (None, None);
    while last.is_none() && fleet.now < started_at + 30 * S {
        fleet.run(100 * MS, &zone_1_fails);
        let since = (fleet.now - started_at) as f64 / S as f64;
        let evacuated_by = fleet.evacuated_by(1);
        first = first.or((evacuated_by > 0).then_some(since));
        last = (evacuated_by == senders).then_some(since);
    }
    let (notes, probes) = (fleet.notes, fleet.probes);
    fleet.run(60 * S, &zone_1_fails);
    SizeResult {
        senders,
        notes_at_rest,
        notes: (fleet.notes - notes) as f64 / senders as f64 / 60.0,
        probes: (fleet.probes - probes) as f64 / 60.0,
        first_evacuated_s: first.unwrap_or(f64::NAN),
        last_evacuated_s: last.unwrap_or(f64::NAN),
    }
}

fn compare_sizes(folder: &std::path::Path) -> Result<(), BoxError> {
    let rows: Vec<SizeResult> = FLEET_SIZES.into_iter().map(run_size).collect();
    let mut table = String::from(
        "senders,notes_per_second_of_one_when_idle,notes_per_second_of_one_during_failure,\
         probes_per_second_of_all,first_evacuated_s,last_evacuated_s\n",
    );
    for row in &rows {
        writeln!(
            table,
            "{},{:.2},{:.2},{:.2},{:.1},{:.1}",
            row.senders,
            row.notes_at_rest,
            row.notes,
            row.probes,
            row.first_evacuated_s,
            row.last_evacuated_s
        )?;
    }
    print!("{table}");
    std::fs::write(folder.join("zones-size.csv"), &table)?;
    let path = folder.join("zones-size.svg");
    let area = SVGBackend::new(&path, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("A zone that fails for a minute, 600 messages a second in all", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d((10f64..1_000f64).log_scale(), 0f64..8f64)?;
    chart.configure_mesh().x_desc("senders").y_desc("a second, or seconds").draw()?;
    type Line = (&'static str, RGBColor, fn(&SizeResult) -> f64);
    let lines: [Line; 4] = [
        ("notes a second, each sender", BLUE, |r| r.notes),
        ("probes a second, whole fleet", RED, |r| r.probes),
        ("first sender has evacuated, s", GREEN, |r| r.first_evacuated_s),
        ("last sender has evacuated, s", MAGENTA, |r| r.last_evacuated_s),
    ];
    for (name, colour, value) in lines {
        chart
            .draw_series(LineSeries::new(rows.iter().map(|r| (r.senders as f64, value(r))), &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

/// Plots an evacuation and a return: for each half second the calls to the zone, those that failed, and the
/// share of the zone.
fn plot_return(folder: &std::path::Path, senders: usize) -> Result<(), BoxError> {
    let mut fleet = fleet(3, senders, true);
    // The time in seconds, the calls to the zone and the failed calls per second, and the mean share that the
    // senders give the zone.
    let mut rows: Vec<(f64, f64, f64, f64)> = Vec::new();
    let started_at = fleet.now;
    for step in 0..90 {
        let (calls, failed) = (fleet.calls_by_zone[1], fleet.failed);
        // The zone serves for 5 s, is down for 12 s, and then recovers.
        if step == 34 {
            fleet.recover_cold(1);
        }
        fleet.run(S / 2, if (10..34).contains(&step) { &zone_1_fails } else { &none_fails });
        let share = (0..senders).map(|i| fleet.share(i, 1)).sum::<f64>() / senders as f64;
        let at = (fleet.now - started_at) as f64 / S as f64;
        rows.push((
            at,
            2.0 * (fleet.calls_by_zone[1] - calls) as f64,
            2.0 * (fleet.failed - failed) as f64,
            share,
        ));
    }
    let path = folder.join("zones-return.svg");
    let area = SVGBackend::new(&path, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_calls = rows.iter().map(|r| r.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("A zone down from 5 to 17 s, {senders} senders"), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0f64..45f64, 0f64..1.1 * max_calls)?;
    chart.configure_mesh().x_desc("seconds").y_desc("calls a second to the zone").draw()?;
    type Line = (&'static str, RGBColor, fn(&(f64, f64, f64, f64), f64) -> f64);
    let lines: [Line; 3] = [
        ("calls to the zone", BLUE, |r, _| r.1),
        ("calls that failed", RED, |r, _| r.2),
        ("mean share at the senders (top: full share)", GREEN, |r, max_calls| r.3 * max_calls),
    ];
    for (name, colour, value) in lines {
        chart
            .draw_series(LineSeries::new(rows.iter().map(|r| (r.0, value(r, max_calls))), &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), BoxError> {
    let mut args = std::env::args().skip(1);
    let folder = PathBuf::from(args.next().ok_or("usage: fleet FOLDER [SEEDS [SENDERS]]")?);
    let seeds = args.next().map_or(Ok(20), |n| n.parse())?;
    let senders = args.next().map_or(Ok(300), |n| n.parse())?;
    plot_return(&folder, 30)?;
    compare_sizes(&folder)?;
    compare_faults(seeds, senders)
}
