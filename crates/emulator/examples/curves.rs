//! Plots the behaviour of an emulated partner next to what its parameters state: throughput, latency and
//! refusals over offered load, a rate limit, and the warm-up after an outage.
//!
//! `cargo run --release -p notchpoint-emulator --example curves -- FOLDER` writes `curves.csv` and one SVG
//! file for each plot to the folder. It prints the largest relative difference between measured and stated
//! throughput, over constant loads and over the seconds of a warm-up.

use notchpoint_emulator::probe::{AnsweredCall, offer};
use notchpoint_emulator::{Change, ColdStart, Micros, Partner, PartnerSpec, Service};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

const SECOND: Micros = 1_000_000;
/// Duration of each rate in seconds. It gives thousands of calls, which is enough for a stable mean.
const SECONDS_PER_RATE: f64 = 60.0;
const SLOTS: u32 = 4;
const MEAN_MS: f64 = 50.0;
/// Calls a second that four slots of 50 ms expected serve.
const CAPACITY: f64 = SLOTS as f64 / MEAN_MS * 1e3;
const RATE: f64 = 30.0;
const COLD: ColdStart =
    ColdStart { start_share: 0.2, warm_s: 10.0, fall_multiple: 100.0, fall_after_s: 1.0, down_s: 3.0 };

type Error = Box<dyn std::error::Error>;
/// Label, colour and points of a curve.
type Curve = (&'static str, RGBColor, Vec<(f64, f64)>);

const MEASURED: RGBColor = RGBColor(31, 90, 160);
const STATED: RGBColor = RGBColor(120, 120, 120);
const REFUSED: RGBColor = RGBColor(190, 40, 40);

fn spec(cv: f64) -> PartnerSpec {
    let service = BTreeMap::from([("default".to_owned(), Service { mean_ms: MEAN_MS, cv })]);
    PartnerSpec { slots: SLOTS, queue: 8, service, ..PartnerSpec::default() }
}

/// Writes a chart of these curves to an SVG file.
fn plot(path: PathBuf, title: &str, x_label: &str, lines: &[Curve]) -> Result<(), Error> {
    let points = || lines.iter().flat_map(|line| line.2.iter());
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(&path, (760, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x_label).light_line_style(WHITE).draw()?;
    for (name, color, points) in lines {
        let color = *color;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the calls served and refused in a second, and the mean latency of those served in milliseconds.
fn measure(answers: &BTreeMap<notchpoint_emulator::CallId, AnsweredCall>) -> (f64, f64, f64) {
    let served: Vec<&AnsweredCall> = answers.values().filter(|answer| answer.is_served()).collect();
    let refused = answers.values().filter(|answer| answer.is_refused()).count();
    let latency: Micros = served.iter().map(|answer| answer.answered_at - answer.sent_at).sum();
    let mean_ms = latency as f64 / 1e3 / served.len().max(1) as f64;
    (served.len() as f64 / SECONDS_PER_RATE, refused as f64 / SECONDS_PER_RATE, mean_ms)
}

fn main() -> Result<(), Error> {
    let folder = PathBuf::from(
        std::env::args().nth(1).ok_or("the output folder is missing: give it as the first argument")?,
    );
    let mut csv = String::from("kind,offered_per_s,stated_per_s,served_per_s,refused_per_s,mean_ms\n");
    let (mut worst_steady, mut worst_warm_up): (f64, f64) = (0.0, 0.0);

    let (mut served, mut refused, mut stated, mut latency) = (vec![], vec![], vec![], vec![]);
    for step in 1..=32 {
        let offered = f64::from(step) * 5.0;
        let mut partner = Partner::new(spec(0.5), 1, 7);
        let (served_per_s, refused_per_s, latency_ms) =
            measure(&offer(&mut partner, &[0], 0, SECONDS_PER_RATE, offered));
        let expected = offered.min(CAPACITY);
        worst_steady = worst_steady.max((served_per_s - expected).abs() / expected);
        writeln!(csv, "load,{offered},{expected},{served_per_s:.2},{refused_per_s:.2},{latency_ms:.1}")?;
        served.push((offered, served_per_s));
        refused.push((offered, refused_per_s));
        stated.push((offered, expected));
        latency.push((offered, latency_ms));
    }
    let title = "4 slots of 50 ms, a queue of 8: calls a second over offered load";
    let lines =
        [("stated capacity", STATED, stated), ("served", MEASURED, served), ("refused", REFUSED, refused)];
    plot(folder.join("load.svg"), title, "offered, calls a second", &lines)?;
    let min_latency = vec![(0.0, MEAN_MS), (160.0, MEAN_MS)];
    let max_ms = MEAN_MS * (1.0 + 8.0 / f64::from(SLOTS));
    let max_latency = vec![(0.0, max_ms), (160.0, max_ms)];
    let lines = [
        ("service time alone, and with a full queue", STATED, min_latency),
        ("", STATED, max_latency),
        ("measured", MEASURED, latency),
    ];
    plot(
        folder.join("latency.svg"),
        "4 slots of 50 ms, a queue of 8: mean latency in ms",
        "offered, calls a second",
        &lines,
    )?;

    let (mut served, mut stated) = (vec![], vec![]);
    for step in 1..=24 {
        let offered = f64::from(step) * 2.5;
        let mut partner =
            Partner::new(PartnerSpec { rate_per_s: Some(RATE), burst: 5.0, slots: 50, ..spec(0.5) }, 2, 7);
        let (served_per_s, refused_per_s, latency_ms) =
            measure(&offer(&mut partner, &[0, 1], 0, SECONDS_PER_RATE, offered));
        let expected = offered.min(RATE + 5.0 / SECONDS_PER_RATE);
        worst_steady = worst_steady.max((served_per_s - expected).abs() / expected);
        writeln!(csv, "rate,{offered},{expected:.2},{served_per_s:.2},{refused_per_s:.2},{latency_ms:.1}")?;
        served.push((offered, served_per_s));
        stated.push((offered, expected));
    }
    let lines = [("stated", STATED, stated), ("served", MEASURED, served)];
    let title = "rate limit of 30 calls a second over two endpoints: calls served a second";
    plot(folder.join("rate.svg"), title, "offered, calls a second", &lines)?;

    let mut partner = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(0.5) }, 1, 7);
    let mut out = Vec::new();
    partner.apply_change(0, 0, Change::Die, &mut out);
    partner.apply_change(SECOND, 0, Change::Return, &mut out);
    let answers = offer(&mut partner, &[0], SECOND, 20.0, 2.0 * CAPACITY);
    let (mut served, mut stated) = (vec![], vec![]);
    for second in 0..20u64 {
        let within = |t: Micros| (second * SECOND..(second + 1) * SECOND).contains(&(t - SECOND));
        let served_per_s =
            answers.values().filter(|answer| answer.is_served() && within(answer.answered_at)).count() as f64;
        let share =
            (COLD.start_share + (1.0 - COLD.start_share) * (second as f64 + 0.5) / COLD.warm_s).min(1.0);
        writeln!(csv, "warm,{},{:.2},{served_per_s:.2},,", second, share * CAPACITY)?;
        // The first second is left out because its first calls are still in service.
        if second > 0 {
            worst_warm_up = worst_warm_up.max((served_per_s - share * CAPACITY).abs() / (share * CAPACITY));
        }
        served.push((second as f64 + 0.5, served_per_s));
        stated.push((second as f64 + 0.5, share * CAPACITY));
    }
    let lines = [("stated", STATED, stated), ("served", MEASURED, served)];
    let title =
        "warm-up from a fifth of the capacity in 10 s, offered twice the capacity: calls served a second";
    plot(folder.join("warm.svg"), title, "seconds since the end of the outage", &lines)?;
    std::fs::write(folder.join("curves.csv"), csv)?;
    println!(
        "largest difference between served and stated throughput, constant loads: {:.1} %",
        worst_steady * 100.0
    );
    println!(
        "largest difference between served and stated throughput, seconds of a warm-up: {:.1} %",
        worst_warm_up * 100.0
    );
    Ok(())
}
