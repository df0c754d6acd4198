//! Draws what an emulated partner does beside what its parameters say: throughput, latency and refusals
//! against offered load, a limit by rate, and the warm-up after an outage.
//!
//! `cargo run --release -p notchpoint-emulator --example curves -- FOLDER` writes `curves.csv` and one SVG a
//! plot into the folder, and prints the largest distance between measured and stated
//! throughput, over steady loads and over the seconds of a warm-up.

use notchpoint_emulator::probe::{Answered, offer};
use notchpoint_emulator::{Change, ColdStart, Micros, Partner, PartnerSpec, Service};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

const SEC: Micros = 1_000_000;
/// Offered for so long at each rate: thousands of calls, so that a mean says something.
const SECONDS: f64 = 60.0;
const SLOTS: u32 = 4;
const MEAN_MS: f64 = 50.0;
/// What four slots of 50 ms can do.
const CAPACITY: f64 = SLOTS as f64 / MEAN_MS * 1e3;
const RATE: f64 = 30.0;
const COLD: ColdStart =
    ColdStart { start_share: 0.2, warm_s: 10.0, fall_multiple: 100.0, fall_after_s: 1.0, down_s: 3.0 };

type Failure = Box<dyn std::error::Error>;
type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

const MEASURED: RGBColor = RGBColor(31, 90, 160);
const STATED: RGBColor = RGBColor(120, 120, 120);
const REFUSED: RGBColor = RGBColor(190, 40, 40);

fn spec(cv: f64) -> PartnerSpec {
    let service = BTreeMap::from([("default".to_owned(), Service { mean_ms: MEAN_MS, cv })]);
    PartnerSpec { slots: SLOTS, queue: 8, service, ..PartnerSpec::default() }
}

fn plot(path: PathBuf, title: &str, x: &str, lines: &[Line]) -> Result<(), Failure> {
    let all = || lines.iter().flat_map(|l| l.2.iter());
    let right = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all().map(|p| p.1).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(&path, (760, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x).light_line_style(WHITE).draw()?;
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

/// Served and refused a second, and the mean time of those served in milliseconds.
fn measure(answers: &BTreeMap<notchpoint_emulator::CallId, Answered>) -> (f64, f64, f64) {
    let served: Vec<&Answered> = answers.values().filter(|a| a.served()).collect();
    let refused = answers.values().filter(|a| a.refused()).count();
    let took: Micros = served.iter().map(|a| a.answered - a.at).sum();
    let mean = took as f64 / 1e3 / served.len().max(1) as f64;
    (served.len() as f64 / SECONDS, refused as f64 / SECONDS, mean)
}

fn main() -> Result<(), Failure> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("name the folder that is written to")?);
    let mut csv = String::from("kind,offered_per_s,stated_per_s,served_per_s,refused_per_s,mean_ms\n");
    let (mut worst, mut worst_warm): (f64, f64) = (0.0, 0.0);

    let (mut served, mut refused, mut stated, mut latency) = (vec![], vec![], vec![], vec![]);
    for step in 1..=32 {
        let offered = f64::from(step) * 5.0;
        let mut p = Partner::new(spec(0.5), 1, 7);
        let (s, r, ms) = measure(&offer(&mut p, &[0], 0, SECONDS, offered));
        let can = offered.min(CAPACITY);
        worst = worst.max((s - can).abs() / can);
        writeln!(csv, "load,{offered},{can},{s:.2},{r:.2},{ms:.1}")?;
        served.push((offered, s));
        refused.push((offered, r));
        stated.push((offered, can));
        latency.push((offered, ms));
    }
    let title = "4 slots of 50 ms, a queue of 8: calls a second against offered load";
    let lines =
        [("stated capacity", STATED, stated), ("served", MEASURED, served), ("refused", REFUSED, refused)];
    plot(folder.join("load.svg"), title, "offered, calls a second", &lines)?;
    let floor = vec![(0.0, MEAN_MS), (160.0, MEAN_MS)];
    let most = MEAN_MS * (1.0 + 8.0 / f64::from(SLOTS));
    let roof = vec![(0.0, most), (160.0, most)];
    let lines = [
        ("service alone, and behind a full queue", STATED, floor),
        ("", STATED, roof),
        ("measured", MEASURED, latency),
    ];
    plot(folder.join("latency.svg"), "the same: mean latency in ms", "offered, calls a second", &lines)?;

    let (mut served, mut stated) = (vec![], vec![]);
    for step in 1..=24 {
        let offered = f64::from(step) * 2.5;
        let mut p =
            Partner::new(PartnerSpec { rate_per_s: Some(RATE), burst: 5.0, slots: 50, ..spec(0.5) }, 2, 7);
        let (s, r, ms) = measure(&offer(&mut p, &[0, 1], 0, SECONDS, offered));
        let can = offered.min(RATE + 5.0 / SECONDS);
        worst = worst.max((s - can).abs() / can);
        writeln!(csv, "rate,{offered},{can:.2},{s:.2},{r:.2},{ms:.1}")?;
        served.push((offered, s));
        stated.push((offered, can));
    }
    let lines = [("stated", STATED, stated), ("served", MEASURED, served)];
    let title = "30 calls a second over two endpoints: calls served a second";
    plot(folder.join("rate.svg"), title, "offered, calls a second", &lines)?;

    let mut p = Partner::new(PartnerSpec { cold: Some(COLD), ..spec(0.5) }, 1, 7);
    let mut out = Vec::new();
    p.apply_change(0, 0, Change::Die, &mut out);
    p.apply_change(SEC, 0, Change::Return, &mut out);
    let answers = offer(&mut p, &[0], SEC, 20.0, 2.0 * CAPACITY);
    let (mut served, mut stated) = (vec![], vec![]);
    for second in 0..20u64 {
        let within = |t: Micros| (second * SEC..(second + 1) * SEC).contains(&(t - SEC));
        let s = answers.values().filter(|a| a.served() && within(a.answered)).count() as f64;
        let share =
            (COLD.start_share + (1.0 - COLD.start_share) * (second as f64 + 0.5) / COLD.warm_s).min(1.0);
        writeln!(csv, "warm,{},{:.2},{s:.2},,", second, share * CAPACITY)?;
        // In the first second the first calls are still under way.
        if second > 0 {
            worst_warm = worst_warm.max((s - share * CAPACITY).abs() / (share * CAPACITY));
        }
        served.push((second as f64 + 0.5, s));
        stated.push((second as f64 + 0.5, share * CAPACITY));
    }
    let lines = [("stated", STATED, stated), ("served", MEASURED, served)];
    let title = "back at a fifth, warm after 10 s, offered twice its capacity: calls served a second";
    plot(folder.join("warm.svg"), title, "seconds since its return", &lines)?;
    std::fs::write(folder.join("curves.csv"), csv)?;
    println!("largest distance between served and stated, steady loads: {:.1} %", worst * 100.0);
    println!("the same over single seconds of a warm-up: {:.1} %", worst_warm * 100.0);
    Ok(())
}
