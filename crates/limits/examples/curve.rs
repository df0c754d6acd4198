//! Compares the estimators with simpler rules: the window under random resets if every reset counts as
//! congestion and if only those do that [`ConnectionFailures`] attributes to the destination; the calls that
//! a rate limit admits from senders with a doubling backoff after a refusal and from senders paced by
//! [`AdaptiveRate`]. It also measures the cost of an event in each estimator.
//!
//! `cargo run --release -p notchpoint-limits --example curve -- FOLDER` writes `resets.csv`, `resets.svg`,
//! `admitted.csv` and `admitted.svg`.

use notchpoint_limits::{AdaptiveRate, ConnectionFailures, FailureCause, Latency};
use plotters::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::path::PathBuf;

type Error = Box<dyn std::error::Error>;

/// The window follows the rule of the decision module: it grows by half a call per served call, but not
/// within eight seconds of a cut by half, and stays between 1 and 12.
const CEILING: f64 = 12.0;
const COOLDOWN_MS: u64 = 8_000;
/// The duration of a call.
const CALL_MS: u64 = 100;
/// The simulated time.
const SPAN_MS: u64 = 3_600_000;
/// The number of events in each cost measurement.
const EVENTS: u64 = 50_000_000;

/// Returns the mean window if this share of the calls is reset.
fn mean_window(share: f64, is_congestion: impl Fn(&mut ConnectionFailures) -> bool) -> f64 {
    let (mut failures, mut random) = (ConnectionFailures::default(), Pcg64Mcg::seed_from_u64(3));
    let (mut window, mut last_cut, mut sum) = (1.0f64, None::<u64>, 0.0);
    let steps = SPAN_MS / CALL_MS;
    for now in (0..steps).map(|n| n * CALL_MS) {
        sum += window;
        for _ in 0..window as u64 {
            if !random.random_bool(share) {
                failures.record_answer();
                if last_cut.is_none_or(|t| now >= t + COOLDOWN_MS) {
                    window = (window + 0.5).min(CEILING);
                }
            } else if is_congestion(&mut failures) && window > 1.0 {
                (window, last_cut) = ((window / 2.0).max(1.0), Some(now));
            }
        }
    }
    sum / steps as f64
}

/// A token bucket of two calls that limits the calls of all senders together.
#[derive(Clone, Copy)]
struct Limit {
    senders: usize,
    per_s: f64,
    /// Refused calls take a token, too.
    counts_refused: bool,
}

/// The doubling backoff: 250 ms after a refusal, doubling up to 2 s until a call is served.
const BACKOFF_MS: u64 = 250;
const BACKOFF_DOUBLINGS: u32 = 3;
/// The limit is constant, then halved, then doubled again, for this long each.
const PHASE_S: u64 = 40;

/// Returns the mean number of admitted and of refused calls in each second over several seeds. Senders
/// always have a call to send, and at most two in flight.
fn simulate_limit(limit: Limit, paced: bool) -> Vec<(f64, f64)> {
    const SEEDS: u64 = 20;
    let mut sums = vec![(0.0, 0.0); 3 * PHASE_S as usize];
    for seed in 0..SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut rates = vec![AdaptiveRate::default(); limit.senders];
        let mut backoffs = vec![(0u64, 0u32); limit.senders];
        let mut in_flight: Vec<(usize, u64, u64, bool)> = Vec::new();
        let mut tokens = 2.0f64;
        for ms in (0..3 * PHASE_S * 1_000).step_by(5) {
            let now = ms * 1_000;
            let phase = ms / 1_000 / PHASE_S;
            let per_s = if phase == 1 { limit.per_s / 2.0 } else { limit.per_s };
            tokens = (tokens + per_s * 0.005).min(2.0);
            for (n, sent, _, refused) in in_flight.extract_if(.., |c| c.2 <= ms) {
                rates[n].record_answer(now, sent * 1_000, refused);
                let (until, refusals) = &mut backoffs[n];
                if refused {
                    *until = ms
                        + (BACKOFF_MS << (*refusals).min(BACKOFF_DOUBLINGS)) * random.random_range(75..125)
                            / 100;
                }
                *refusals = if refused { *refusals + 1 } else { 0 };
            }
            let first = random.random_range(0..limit.senders);
            for n in (0..limit.senders).map(|k| (first + k) % limit.senders) {
                let is_free = in_flight.iter().filter(|c| c.0 == n).count() < 2;
                let is_ready = if paced { rates[n].next_call_at(now) <= now } else { backoffs[n].0 <= ms };
                if !is_free || !is_ready {
                    continue;
                }
                rates[n].record_sent(now);
                let is_admitted = tokens >= 1.0;
                if is_admitted || limit.counts_refused {
                    tokens = (tokens - 1.0).max(-2.0);
                }
                let duration = if is_admitted { random.random_range(50..150) } else { 20 };
                in_flight.push((n, ms, ms + duration, !is_admitted));
                let sum = &mut sums[(ms / 1_000) as usize];
                *(if is_admitted { &mut sum.0 } else { &mut sum.1 }) += 1.0 / SEEDS as f64;
            }
        }
    }
    sums
}

fn compare_limits(folder: &std::path::Path) -> Result<(), Error> {
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
        "senders  limit/s  refused count  how               of the limit used  calls refused  \
         in 10 s after: halved  doubled"
    );
    let mut shown = Vec::new();
    for (senders, per_s, counts_refused) in cases {
        for (how, paced) in [("doubling backoff", false), ("AdaptiveRate", true)] {
            let all = simulate_limit(Limit { senders, per_s, counts_refused }, paced);
            for (second, (admitted, refused)) in all.iter().enumerate() {
                writeln!(
                    csv,
                    "{senders},{per_s},{counts_refused},{how},{second},{admitted:.3},{refused:.3}"
                )?;
            }
            let phase = PHASE_S as usize;
            let sum = |from: usize, to: usize, value: fn(&(f64, f64)) -> f64| {
                all[from..to].iter().map(value).sum::<f64>()
            };
            let (admitted, refused) = (sum(0, phase, |x| x.0), sum(0, phase, |x| x.1));
            let share_after = |from: usize, limit: f64| sum(from, from + 10, |x| x.0) / 10.0 / limit;
            println!(
                "{senders:>7}  {per_s:>7}  {:>13}  {how:<16}  {:>17.2}  {:>13.2}  {:>21.2}  {:>7.2}",
                if counts_refused { "yes" } else { "no" },
                admitted / phase as f64 / per_s,
                refused / (admitted + refused),
                share_after(phase, per_s / 2.0),
                share_after(2 * phase, per_s)
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
        let color = if *name == "AdaptiveRate" { blue } else { red };
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

fn main() -> Result<(), Error> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the output folder is missing")?);
    let mut csv = String::from("reset_share,window_each_halves,window_breaks\n");
    let (mut each, mut learned) = (Vec::new(), Vec::new());
    for step in 0..=40 {
        let share = f64::from(step) / 400.0;
        let simple = mean_window(share, |failures| {
            failures.record_failure();
            true
        });
        let estimated = mean_window(share, |failures| failures.record_failure() == FailureCause::Destination);
        writeln!(csv, "{share},{simple:.2},{estimated:.2}")?;
        each.push((share * 100.0, simple));
        learned.push((share * 100.0, estimated));
        if step % 8 == 0 {
            let percent = share * 100.0;
            println!(
                "{percent:>4.1} % reset: mean window {simple:>5.2} if each halves it, {estimated:>5.2} with \
                 ConnectionFailures"
            );
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
    for (name, color, points) in [("each reset halves", red, each), ("ConnectionFailures", blue, learned)] {
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    area.present()?;

    let started = std::time::Instant::now();
    let (mut failures, mut destination_count) = (ConnectionFailures::default(), 0u64);
    for n in 0..EVENTS {
        if n % 50 == 0 {
            destination_count += u64::from(failures.record_failure() == FailureCause::Destination)
        } else {
            failures.record_answer()
        }
    }
    let failures_ns = started.elapsed().as_nanos() as f64 / EVENTS as f64;
    let started = std::time::Instant::now();
    let mut latency = Latency::default();
    (0..EVENTS).for_each(|n| latency.observe(20_000 + n % 977));
    let latency_ns = started.elapsed().as_nanos() as f64 / EVENTS as f64;
    let started = std::time::Instant::now();
    let mut rate = AdaptiveRate::default();
    (0..EVENTS).for_each(|n| {
        rate.record_sent(n * 1_000);
        rate.record_answer(n * 1_000, n * 1_000, n % 50 == 0);
    });
    let rate_ns = started.elapsed().as_nanos() as f64 / EVENTS as f64;
    println!(
        "an event: {failures_ns:.1} ns in ConnectionFailures, {latency_ns:.1} ns in Latency, {rate_ns:.1} ns \
         in AdaptiveRate (a call: sent, answered)"
    );
    println!(
        "({destination_count}, {:.0}, {:.1})",
        latency.upper_bound(1),
        rate.admitted_rate(EVENTS * 1_000)
    );
    compare_limits(&folder)
}
