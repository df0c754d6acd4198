//! Measures what replication costs a sender in fleets of different size: links, frames and bytes per second
//! while idle, bytes per message, and the time after a loss until another one is tolerated.
//!
//! `cargo run --release -p notchpoint-copies --example size -- FOLDER` writes `copies-size.csv` and
//! `copies-size.svg`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use plotters::prelude::*;
use sim::{Fleet, MS, Mutant, S};
use std::fmt::Write;
use std::path::PathBuf;

type Failure = Box<dyn std::error::Error>;
/// A line of the plot: its name, colour, and value for a fleet size.
type Line = (&'static str, RGBColor, fn(&Row) -> f64);

const SIZES: [usize; 6] = [5, 10, 30, 100, 300, 1_000];
/// The number of messages that are submitted to each sender while bytes are counted.
const MESSAGES: usize = 20;

/// The results for one fleet size. Means and maxima are over the senders.
struct Row {
    senders: usize,
    /// The mean and the maximum number of links.
    links: (f64, usize),
    /// The mean and the maximum of frames per second while idle.
    idle_frames: (f64, f64),
    /// The mean of bytes per second while idle.
    idle_bytes: f64,
    bytes_per_message: f64,
    /// The time after a loss until another one is tolerated.
    recovery_ms: u64,
}

fn mean(all: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = all.fold((0.0, 0), |(sum, n), x| (sum + x, n + 1));
    sum / f64::from(n.max(1))
}

fn measure(senders: usize) -> Row {
    let mut fleet = Fleet::new(1, senders, 1, Mutant::None);
    fleet.full_percent = 0;
    fleet.silent_percent = 0;
    fleet.run(S);
    let links = fleet.link_counts();
    let before = fleet.sent.clone();
    fleet.run(S);
    let idle: Vec<(u64, u64)> =
        fleet.sent.iter().zip(&before).map(|(now, was)| (now.0 - was.0, now.1 - was.1)).collect();
    let idle_bytes = mean(idle.iter().map(|i| i.1 as f64));
    let before: u64 = fleet.sent.iter().map(|s| s.1).sum();
    let started_at = fleet.now;
    for n in 0..MESSAGES {
        for i in 0..senders {
            fleet.submit(i, n % 2 == 0, 5 * S);
        }
        fleet.run(50 * MS);
    }
    fleet.run(S);
    let seconds = (fleet.now - started_at) as f64 / S as f64;
    let all_bytes = fleet.sent.iter().map(|s| s.1).sum::<u64>() - before;
    let message_bytes = all_bytes as f64 - idle_bytes * senders as f64 * seconds;
    // A sender is lost while it holds many messages.
    fleet.full_percent = 100;
    for n in 0..40 {
        fleet.submit(0, n % 2 == 0, 30 * S);
    }
    fleet.run(200 * MS);
    let lost_at = fleet.now;
    fleet.lose(0, 100 * MS);
    fleet.run(200 * MS);
    assert!(fleet.run_until_redundant(), "{:?}", fleet.redundancies());
    Row {
        senders,
        links: (mean(links.iter().map(|&l| l as f64)), links.iter().copied().max().unwrap_or(0)),
        idle_frames: (
            mean(idle.iter().map(|i| i.0 as f64)),
            idle.iter().map(|i| i.0).max().unwrap_or(0) as f64,
        ),
        idle_bytes,
        bytes_per_message: message_bytes / (MESSAGES * senders) as f64,
        recovery_ms: (fleet.now - lost_at) / MS,
    }
}

fn main() -> Result<(), Failure> {
    let folder = PathBuf::from(std::env::args_os().nth(1).ok_or("size FOLDER")?);
    let rows: Vec<Row> =
        SIZES.into_iter().map(measure).inspect(|r| eprintln!("{} senders measured", r.senders)).collect();
    let mut csv = String::from(
        "senders,links_mean,links_max,idle_frames_mean,idle_frames_max,idle_bytes_mean,\
         bytes_per_message,tolerant_again_ms\n",
    );
    for r in &rows {
        writeln!(
            csv,
            "{},{:.1},{},{:.0},{:.0},{:.0},{:.0},{}",
            r.senders,
            r.links.0,
            r.links.1,
            r.idle_frames.0,
            r.idle_frames.1,
            r.idle_bytes,
            r.bytes_per_message,
            r.recovery_ms
        )?;
    }
    print!("{csv}");
    std::fs::write(folder.join("copies-size.csv"), csv)?;
    plot(&folder.join("copies-size.svg"), &rows)
}

fn plot(path: &std::path::Path, rows: &[Row]) -> Result<(), Failure> {
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Copies: load of a sender by fleet size", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d((4f64..1_200f64).log_scale(), (1f64..20_000f64).log_scale())?;
    chart.configure_mesh().x_desc("senders").y_desc("per sender, log scale").draw()?;
    let lines: [Line; 5] = [
        ("links, mean", BLUE, |r| r.links.0),
        ("links, most", CYAN, |r| r.links.1 as f64),
        ("frames per second when idle, most", RED, |r| r.idle_frames.1),
        ("bytes per second when idle, mean", BLACK, |r| r.idle_bytes),
        ("ms until another loss is tolerated", GREEN, |r| r.recovery_ms as f64),
    ];
    for (name, color, value) in lines {
        let points = rows.iter().map(|r| (r.senders as f64, value(r).max(1.0)));
        let line = LineSeries::new(points, color.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
