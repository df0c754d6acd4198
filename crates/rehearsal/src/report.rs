//! Formats the result of a run as text, as JSON, and as a self-contained HTML page.

use crate::checker::{RULES, Violation};
use crate::run::RunResult;
use crate::score::Score;
use crate::windows;
use plotters::prelude::*;
use serde_json::json;
use std::fmt::Write;

/// Maximum number of violations that are printed; the others are only counted.
const MAX_SHOWN_VIOLATIONS: usize = 20;
/// Seconds covered by one row of the table by time.
pub const ROW_SECONDS: usize = 5;
/// Load samples of partners per second.
const SAMPLES_PER_SECOND: usize = 4;

/// Formats a result for a terminal.
pub fn text(result: &RunResult, score: &Score, violations: &[Violation]) -> String {
    let mut out = String::new();
    let counts = &score.counts;
    let environment = if result.live { "on loopback sockets" } else { "in virtual time" };
    let _ = writeln!(out, "{}, seed {}, {environment}", result.scenario.name, result.seed);
    let _ = writeln!(
        out,
        "  score {:.4}   worth kept {:.4}   worst 10 s from {:.0} s on: {:.3}",
        score.score, score.kept, score.worst.0, score.worst.1
    );
    let _ = writeln!(
        out,
        "  {} asked for, {} delivered in time; {} hand-ins, {} taken on; {} notices; {} calls, \
         {} refused; {} effects",
        counts.orders,
        counts.delivered,
        counts.submissions,
        counts.accepted,
        counts.notices,
        counts.calls,
        counts.refused,
        counts.effects
    );
    for (what, shares) in
        [("class", &score.classes), ("tenant", &score.tenants), ("partner", &score.partners)]
    {
        let all: Vec<String> = shares.iter().map(|(name, share)| format!("{name} {share:.3}")).collect();
        let _ = writeln!(out, "  by {what}: {}", all.join("  "));
    }
    if violations.is_empty() {
        let _ = writeln!(out, "  rules: all {} kept", RULES.len());
    } else {
        let _ = writeln!(out, "  rules: BROKEN {} times (seed {})", violations.len(), result.seed);
        for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
            let _ = writeln!(out, "    {violation}");
        }
        if violations.len() > MAX_SHOWN_VIOLATIONS {
            let _ = writeln!(out, "    and {} more", violations.len() - MAX_SHOWN_VIOLATIONS);
        }
    }
    out
}

/// A row of the table by time. Shares relate to the orders created in its seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Row {
    /// First second of the row.
    pub from_s: usize,
    /// Number of orders created.
    #[serde(rename = "asked")]
    pub orders: usize,
    /// Share of orders delivered within the wanted time.
    pub in_time: f64,
    /// Share of orders delivered later, but before the deadline.
    pub late: f64,
    /// Attempts per accepted message.
    pub attempts: f64,
    /// Number of calls made.
    pub calls: usize,
    /// Number of those calls that were refused.
    pub refused: usize,
    /// Number of those calls that were never answered.
    pub unanswered: usize,
    /// Share of pairs of destination and second in which messages were held for the destination but no call
    /// was made.
    pub held_back: f64,
}

/// Returns the table by time, with rows of `width` seconds.
pub fn rows(result: &RunResult, width: usize) -> Vec<Row> {
    let seconds = (result.scenario.duration_s.ceil() as usize).max(1);
    let mut rows: Vec<Row> =
        (0..seconds.div_ceil(width)).map(|n| Row { from_s: n * width, ..Row::default() }).collect();
    let last = rows.len() - 1;
    let row_index = |t: u64| ((t / 1_000_000) as usize / width).min(last);
    for order in result.observations.orders.borrow().iter() {
        let row = &mut rows[row_index(order.requested_at)];
        row.orders += 1;
        let class = result.scenario.class[order.class].get_ref();
        if let Some(latency) = order.delivered.map(|t| (t - order.requested_at) as f64 / 1e6) {
            row.in_time += f64::from(u8::from(latency <= class.wanted_s));
            row.late += f64::from(u8::from(latency > class.wanted_s && latency <= class.deadline_s));
        }
    }
    let orders = result.observations.orders.borrow();
    let (mut attempts, mut accepted) = (vec![0usize; rows.len()], vec![0usize; rows.len()]);
    // By destination: seconds with held messages, and seconds with calls.
    let mut held = vec![vec![false; seconds]; result.ledgers.len()];
    let mut called = held.clone();
    for message in result.observations.messages.borrow().values() {
        if message.answer.is_some_and(|answer| matches!(answer.1, 200 | 202)) {
            let order = &orders[message.order];
            accepted[row_index(message.submitted_at)] += 1;
            let end = message.delivered.or(message.notices.first().map(|n| n.at)).unwrap_or(message.deadline);
            for second in (message.submitted_at / 1_000_000 + 1)..(end / 1_000_000) {
                if let Some(is_held) = held[order.destination].get_mut(second as usize) {
                    *is_held = true;
                }
            }
        }
    }
    for (destination, ledger) in result.ledgers.iter().enumerate() {
        for call in &ledger.calls {
            let row = row_index(call.received_at);
            rows[row].calls += 1;
            rows[row].refused += usize::from(matches!(call.answer, Some((_, 429 | 503))));
            rows[row].unanswered += usize::from(call.answer.is_none_or(|answer| answer.1 == 0));
            attempts[row] += call.messages.len();
            if let Some(is_called) = called[destination].get_mut((call.received_at / 1_000_000) as usize) {
                *is_called = true;
            }
        }
    }
    for (n, row) in rows.iter_mut().enumerate() {
        let orders = row.orders.max(1) as f64;
        (row.in_time, row.late) = (row.in_time / orders, row.late / orders);
        row.attempts = attempts[n] as f64 / accepted[n].max(1) as f64;
        let all = || {
            (row.from_s..(row.from_s + width).min(seconds))
                .flat_map(|second| (0..held.len()).map(move |destination| (destination, second)))
        };
        let held_back = all()
            .filter(|&(destination, second)| held[destination][second] && !called[destination][second])
            .count();
        row.held_back = held_back as f64 / all().count().max(1) as f64;
    }
    rows
}

/// Formats the table by time as text.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(
        "  from s   asked  in time %  late %  attempts   calls  refused  unanswered  held back %\n",
    );
    for row in rows {
        let _ = writeln!(
            out,
            "  {:>6} {:>7} {:>10.1} {:>7.1} {:>9.2} {:>7} {:>8} {:>11} {:>12.1}",
            row.from_s,
            row.orders,
            row.in_time * 100.0,
            row.late * 100.0,
            row.attempts,
            row.calls,
            row.refused,
            row.unanswered,
            row.held_back * 100.0
        );
    }
    out
}

/// Formats a result as JSON.
pub fn json(result: &RunResult, score: &Score, violations: &[Violation]) -> serde_json::Value {
    let rules: serde_json::Map<_, _> = RULES
        .iter()
        .map(|rule| {
            (
                json!(rule).as_str().unwrap_or_default().to_owned(),
                json!(violations.iter().filter(|violation| violation.rule == *rule).count()),
            )
        })
        .collect();
    json!({"scenario": result.scenario.name, "seed": result.seed, "live": result.live, "score": score,
        "rules": rules, "breaches": violations, "windows": rows(result, ROW_SECONDS)})
}

/// The plotted values of a partner: calls, refusals and load in each second.
struct PartnerSeries {
    name: String,
    calls: Vec<f64>,
    refused: Vec<f64>,
    waiting: Vec<f64>,
}

fn partner_series(result: &RunResult) -> Vec<PartnerSeries> {
    let seconds = (result.end / 1_000_000) as usize + 1;
    let partners = result.scenario.partner.iter().enumerate();
    let destinations = result.scenario.destinations();
    partners
        .map(|(n, partner)| {
            let mut series = PartnerSeries {
                name: partner.get_ref().name.clone(),
                calls: vec![0.0; seconds],
                refused: vec![0.0; seconds],
                waiting: vec![0.0; seconds],
            };
            for (destination, _) in destinations.iter().enumerate().filter(|(_, x)| x.0 == n) {
                for call in &result.ledgers[destination].calls {
                    let at = ((call.received_at / 1_000_000) as usize).min(seconds - 1);
                    series.calls[at] += 1.0;
                    series.refused[at] += f64::from(u8::from(matches!(call.answer, Some((_, 429 | 503)))));
                }
                for (sample, (serving, queued)) in result.loads[destination].iter().enumerate() {
                    let at = (sample / SAMPLES_PER_SECOND).min(seconds - 1);
                    series.waiting[at] += (f64::from(*serving) + *queued as f64) / SAMPLES_PER_SECOND as f64;
                }
            }
            series
        })
        .collect()
}

/// One line of a plot: label, values and colour.
type Line<'a> = (&'a str, &'a [f64], RGBColor);

/// Plots values over the seconds of a run, as SVG.
///
/// # Errors
/// Returns the error of the plotting library.
pub fn plot(title: &str, lines: &[Line<'_>]) -> Result<String, String> {
    let mut svg = String::new();
    let seconds = lines.iter().map(|line| line.1.len()).max().unwrap_or(1).max(2);
    let top = lines.iter().flat_map(|line| line.1.iter().copied()).fold(1.0, f64::max) * 1.05;
    {
        let area = SVGBackend::with_string(&mut svg, (760, 220)).into_drawing_area();
        let fail = |e: &dyn std::fmt::Display| e.to_string();
        area.fill(&WHITE).map_err(|e| fail(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..(seconds - 1) as f64, 0.0..top)
            .map_err(|e| fail(&e))?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw().map_err(|e| fail(&e))?;
        for (name, values, color) in lines {
            let points = values.iter().enumerate().map(|(n, y)| (n as f64, *y));
            let (color, legend) = (*color, *color);
            chart
                .draw_series(LineSeries::new(points, color))
                .map_err(|e| fail(&e))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], legend));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK.mix(0.2))
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(|e| fail(&e))?;
        area.present().map_err(|e| fail(&e))?;
    }
    Ok(svg)
}

const BLUE_LINE: RGBColor = RGBColor(31, 90, 160);
const RED_LINE: RGBColor = RGBColor(190, 40, 40);
const GREY_LINE: RGBColor = RGBColor(120, 120, 120);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Formats a result as an HTML page. `sender_views` has the series of each partner from the senders'
/// recorders, if they were enabled.
///
/// # Errors
/// Fails if a plot cannot be drawn.
pub fn html(
    result: &RunResult,
    score: &Score,
    violations: &[Violation],
    sender_views: Option<&[windows::SenderViewSeries]>,
) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Rehearsal</title>\n<style>\
         body{font-family:sans-serif;max-width:800px;margin:2em auto;color:#222}pre{background:#f4f4f4;\
         padding:1em;overflow:auto}.broken{color:#b00}.kept{color:#070}</style></head><body>\n",
    );
    let _ = writeln!(
        page,
        "<h1>{}</h1>\n<p>{}</p>",
        escape(&result.scenario.name),
        escape(&result.scenario.about)
    );
    let (class, verdict) = match violations.len() {
        0 => ("kept", "all rules kept".to_owned()),
        n => ("broken", format!("rules broken {n} times")),
    };
    let _ = writeln!(
        page,
        "<p class=\"{class}\"><b>score {:.4}</b>, {verdict}, seed {}</p>",
        score.score, result.seed
    );
    let _ = writeln!(page, "<pre>{}</pre>", escape(&text(result, score, violations)));
    let requested: Vec<f64> = score.seconds.iter().map(|worth| worth.0).collect();
    let delivered: Vec<f64> = score.seconds.iter().map(|worth| worth.1).collect();
    page += &plot(
        "worth by the second in which it was asked for",
        &[("asked", &requested, GREY_LINE), ("delivered", &delivered, BLUE_LINE)],
    )?;
    for (n, partner) in partner_series(result).iter().enumerate() {
        page += &plot(
            &format!("{}: calls a second, and what is in service or waits there", partner.name),
            &[
                ("calls", &partner.calls, BLUE_LINE),
                ("refused", &partner.refused, RED_LINE),
                ("in service or queued", &partner.waiting, GREY_LINE),
            ],
        )?;
        if let Some(view) = sender_views.and_then(|all| all.get(n)) {
            page += &plot(
                &format!("{}: what senders believe, all together", partner.name),
                &[
                    ("windows", &view.window, BLUE_LINE),
                    ("calls out", &view.in_flight, RED_LINE),
                    ("messages held", &view.held, GREY_LINE),
                ],
            )?;
        }
    }
    page += "<h2>What happened when</h2>\n<ul>\n";
    for event in &result.scenario.event {
        let event = event.get_ref();
        let target = event
            .zone
            .clone()
            .or(event.partner.clone())
            .or(event.sender.map(|n| format!("sender {n}")))
            .unwrap_or_default();
        let duration = event.for_s.map(|t| format!(" for {t} s")).unwrap_or_default();
        let _ = writeln!(page, "<li>{} s: {:?} {}{duration}</li>", event.at_s, event.kind, escape(&target));
    }
    page += "</ul>\n</body></html>\n";
    Ok(page)
}
