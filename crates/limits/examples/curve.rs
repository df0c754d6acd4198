//! What random resets do to a window: where every reset is taken for congestion, and where only those are
//! that [`Breaks`] blames on the partner. What a limit by rate lets through of senders that rest after a
//! refusal, and of senders that pace by [`Rate`]. And what an event costs.
//!
//! `cargo run --release -p notchpoint-limits --example curve -- FOLDER` writes `resets.csv`, `resets.svg`,
//! `admitted.csv` and `admitted.svg`.

use notchpoint_limits::{Breaks, Latency, Rate, Says};
use plotters::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::path::PathBuf;

type Failure = Box<dyn std::error::Error>;

/// A window as the decisions keep it: half a call up for each served one, but not for eight seconds after a
/// cut by half; from 1 to 12.
const CEILING: f64 = 12.0;
const COOLDOWN_MS: u64 = 8_000;
/// A call takes so long.
const CALL_MS: u64 = 100;
const SPAN_MS: u64 = 3_600_000;
/// Events that are timed.
const EVENTS: u64 = 50_000_000;

/// The mean window under resets at this share.
fn window(share: f64, blame: impl Fn(&mut Breaks) -> bool) -> f64 {
    let (mut b, mut r) = (Breaks::default(), Pcg64Mcg::seed_from_u64(3));
    let (mut window, mut cut, mut sum) = (1.0f64, None::<u64>, 0.0);
    let steps = SPAN_MS / CALL_MS;
    for now in (0..steps).map(|n| n * CALL_MS) {
        sum += window;
        for _ in 0..window as u64 {
            if !r.random_bool(share) {
                b.answered();
                if cut.is_none_or(|t| now >= t + COOLDOWN_MS) {
                    window = (window + 0.5).min(CEILING);
                }
            } else if blame(&mut b) && window > 1.0 {
                (window, cut) = ((window / 2.0).max(1.0), Some(now));
            }
        }
    }
    sum / steps as f64
}

/// A partner that admits so many calls a second of all senders together, from a bucket of two.
#[derive(Clone, Copy)]
struct Limit {
    senders: usize,
    per_s: f64,
    /// Refused calls use it up as well.
    counts_refused: bool,
}

/// Before: a rest of 250 ms after a refusal, doubling up to 2 s while none is served in between.
const REST_MS: u64 = 250;
const REST_DOUBLINGS: u32 = 3;
/// The limit holds, is halved, and is doubled again, for so long each.
const PART_S: u64 = 40;

/// For each second the calls admitted and refused, in the mean over seeds. Senders have all the work they may
/// do, and two calls out at most.
fn admitted(limit: Limit, paced: bool) -> Vec<(f64, f64)> {
    const SEEDS: u64 = 20;
    let mut sums = vec![(0.0, 0.0); 3 * PART_S as usize];
    for seed in 0..SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut rates = vec![Rate::default(); limit.senders];
        let mut rests = vec![(0u64, 0u32); limit.senders];
        let mut out: Vec<(usize, u64, u64, bool)> = Vec::new();
        let mut tokens = 2.0f64;
        for ms in (0..3 * PART_S * 1_000).step_by(5) {
            let now = ms * 1_000;
            let part = ms / 1_000 / PART_S;
            let per_s = if part == 1 { limit.per_s / 2.0 } else { limit.per_s };
            tokens = (tokens + per_s * 0.005).min(2.0);
            for (n, sent, _, full) in out.extract_if(.., |o| o.2 <= ms) {
                rates[n].answered(now, sent * 1_000, full);
                let (until, fulls) = &mut rests[n];
                if full {
                    *until =
                        ms + (REST_MS << (*fulls).min(REST_DOUBLINGS)) * random.random_range(75..125) / 100;
                }
                *fulls = if full { *fulls + 1 } else { 0 };
            }
            let first = random.random_range(0..limit.senders);
            for n in (0..limit.senders).map(|k| (first + k) % limit.senders) {
                let free = out.iter().filter(|o| o.0 == n).count() < 2;
                let ready = if paced { rates[n].due(now) <= now } else { rests[n].0 <= ms };
                if !free || !ready {
                    continue;
                }
                rates[n].sent(now);
                let room = tokens >= 1.0;
                if room || limit.counts_refused {
                    tokens = (tokens - 1.0).max(-2.0);
                }
                let takes = if room { random.random_range(50..150) } else { 20 };
                out.push((n, ms, ms + takes, !room));
                let sum = &mut sums[(ms / 1_000) as usize];
                *(if room { &mut sum.0 } else { &mut sum.1 }) += 1.0 / SEEDS as f64;
            }
        }
    }
    sums
}

fn limits(folder: &std::path::Path) -> Result<(), Failure> {
    let mut csv = String::from("senders,limit_per_s,counts_refused,how,second,admitted,refused\n");
    let cases = [
        (3, 3.0, false),
        (3, 3.0, true),
        (3, 12.0, false),
        (3, 12.0, true),
        (1, 4.0, true),
        (30, 10.0, false),
    ];
    println!(
        "senders  limit/s  refused count  how    of the limit used  calls refused  in 10 s after: halved  \
         doubled"
    );
    let mut shown = Vec::new();
    for (senders, per_s, counts_refused) in cases {
        for (how, paced) in [("rests", false), ("Rate", true)] {
            let all = admitted(Limit { senders, per_s, counts_refused }, paced);
            for (second, (a, r)) in all.iter().enumerate() {
                writeln!(csv, "{senders},{per_s},{counts_refused},{how},{second},{a:.3},{r:.3}")?;
            }
            let part = PART_S as usize;
            let sum = |from: usize, to: usize, of: fn(&(f64, f64)) -> f64| {
                all[from..to].iter().map(of).sum::<f64>()
            };
            let (a, r) = (sum(0, part, |x| x.0), sum(0, part, |x| x.1));
            let after = |from: usize, limit: f64| sum(from, from + 10, |x| x.0) / 10.0 / limit;
            println!(
                "{senders:>7}  {per_s:>7}  {:>13}  {how:<5}  {:>17.2}  {:>13.2}  {:>21.2}  {:>7.2}",
                if counts_refused { "yes" } else { "no" },
                a / part as f64 / per_s,
                r / (a + r),
                after(part, per_s / 2.0),
                after(2 * part, per_s)
            );
            if (senders, per_s, counts_refused) == (3, 12.0, true) {
                shown.push((how, all));
            }
        }
    }
    std::fs::write(folder.join("admitted.csv"), csv)?;
    let path = folder.join("admitted.svg");
    let area = SVGBackend::new(&path, (760, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "three senders, 12 calls a second, 6 from 40 s, 12 from 80 s; refused calls count",
            ("sans-serif", 15),
        )
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..120.0, 0.0..20.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("calls a second").light_line_style(WHITE).draw()?;
    let (red, blue) = (RGBColor(190, 40, 40), RGBColor(31, 90, 160));
    for (name, all) in &shown {
        let color = if *name == "Rate" { blue } else { red };
        let points = |of: fn(&(f64, f64)) -> f64| all.iter().enumerate().map(move |(n, x)| (n as f64, of(x)));
        let legend = move |(x, y): (i32, i32)| PathElement::new(vec![(x, y), (x + 14, y)], color);
        chart
            .draw_series(LineSeries::new(points(|x| x.0), color.stroke_width(2)))?
            .label(format!("{name}: admitted"))
            .legend(legend);
        chart
            .draw_series(LineSeries::new(points(|x| x.1), color.mix(0.4)))?
            .label(format!("{name}: refused (pale)"))
            .legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Failure> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("name the folder that is written to")?);
    let mut csv = String::from("reset_share,window_each_halves,window_breaks\n");
    let (mut each, mut learned) = (Vec::new(), Vec::new());
    for step in 0..=40 {
        let share = f64::from(step) / 400.0;
        let a = window(share, |b| {
            b.broke();
            true
        });
        let b = window(share, |b| b.broke() == Says::Partner);
        writeln!(csv, "{share},{a:.2},{b:.2}")?;
        each.push((share * 100.0, a));
        learned.push((share * 100.0, b));
        if step % 8 == 0 {
            let percent = share * 100.0;
            println!("{percent:>4.1} % reset: mean window {a:>5.2} where each halves, {b:>5.2} with Breaks");
        }
    }
    std::fs::write(folder.join("resets.csv"), csv)?;
    let path = folder.join("resets.svg");
    let area = SVGBackend::new(&path, (760, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("mean window (ceiling 12) under random resets", ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..10.0, 0.0..13.0)?;
    chart.configure_mesh().x_desc("calls reset, %").light_line_style(WHITE).draw()?;
    let (red, blue) = (RGBColor(190, 40, 40), RGBColor(31, 90, 160));
    for (name, color, points) in [("each reset halves", red, each), ("Breaks", blue, learned)] {
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    area.present()?;

    let begun = std::time::Instant::now();
    let (mut b, mut blamed) = (Breaks::default(), 0u64);
    for n in 0..EVENTS {
        if n % 50 == 0 { blamed += u64::from(b.broke() == Says::Partner) } else { b.answered() }
    }
    let breaks = begun.elapsed().as_nanos() as f64 / EVENTS as f64;
    let begun = std::time::Instant::now();
    let mut l = Latency::default();
    (0..EVENTS).for_each(|n| l.observe(20_000 + n % 977));
    let latency = begun.elapsed().as_nanos() as f64 / EVENTS as f64;
    let begun = std::time::Instant::now();
    let mut r = Rate::default();
    (0..EVENTS).for_each(|n| {
        r.sent(n * 1_000);
        r.answered(n * 1_000, n * 1_000, n % 50 == 0);
    });
    let rate = begun.elapsed().as_nanos() as f64 / EVENTS as f64;
    println!(
        "an event: {breaks:.1} ns in Breaks, {latency:.1} ns in Latency, {rate:.1} ns in Rate (a call: sent, \
         answered)"
    );
    println!("({blamed}, {:.0}, {:.1})", l.upper_bound(1), r.through(EVENTS * 1_000));
    limits(&folder)
}
