//! What is shown of a run: text, JSON, and one page of HTML that needs nothing beside it.

use crate::checker::{Breach, RULES};
use crate::run::Outcome;
use crate::score::Score;
use crate::windows;
use plotters::prelude::*;
use serde_json::json;
use std::fmt::Write;

/// Breaches that are written out; the rest is counted.
const SHOWN: usize = 20;
/// Seconds in a line of the table by time.
pub const WIDTH: usize = 5;
/// Samples in a second of what waits at partners.
const SAMPLES: usize = 4;

/// For a terminal.
pub fn text(o: &Outcome, s: &Score, breaches: &[Breach]) -> String {
    let mut t = String::new();
    let c = &s.counts;
    let how = if o.live { "on loopback sockets" } else { "in virtual time" };
    let _ = writeln!(t, "{}, seed {}, {how}", o.scenario.name, o.seed);
    let _ = writeln!(
        t,
        "  score {:.4}   worth kept {:.4}   worst 10 s from {:.0} s on: {:.3}",
        s.score, s.kept, s.worst.0, s.worst.1
    );
    let _ = writeln!(
        t,
        "  {} asked for, {} delivered in time; {} hand-ins, {} taken on; {} notices; {} calls, \
         {} refused; {} effects",
        c.orders, c.delivered, c.handed, c.taken, c.notices, c.calls, c.refused, c.effects
    );
    for (what, shares) in [("class", &s.classes), ("tenant", &s.tenants), ("partner", &s.partners)] {
        let all: Vec<String> = shares.iter().map(|(name, x)| format!("{name} {x:.3}")).collect();
        let _ = writeln!(t, "  by {what}: {}", all.join("  "));
    }
    if breaches.is_empty() {
        let _ = writeln!(t, "  rules: all {} kept", RULES.len());
    } else {
        let _ = writeln!(t, "  rules: BROKEN {} times (seed {})", breaches.len(), o.seed);
        for b in breaches.iter().take(SHOWN) {
            let _ = writeln!(t, "    {b}");
        }
        if breaches.len() > SHOWN {
            let _ = writeln!(t, "    and {} more", breaches.len() - SHOWN);
        }
    }
    t
}

/// A line of the table by time. Shares are of what was asked for in its seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Row {
    /// The second from which it counts.
    pub from_s: usize,
    /// Things asked for.
    pub asked: usize,
    /// Delivered within the wanted time, and later.
    pub in_time: f64,
    /// See `in_time`.
    pub late: f64,
    /// Attempts for each message that was taken on.
    pub attempts: f64,
    /// Calls that were made in these seconds; of them turned away, and never answered.
    pub calls: usize,
    /// See `calls`.
    pub refused: usize,
    /// See `calls`.
    pub unanswered: usize,
    /// The share of destinations that got no call in a second in which something was held for them, taken
    /// over these seconds: held back.
    pub held_back: f64,
}

/// How the run went by stretches of so many seconds.
pub fn rows(o: &Outcome, width: usize) -> Vec<Row> {
    let seconds = (o.scenario.duration_s.ceil() as usize).max(1);
    let mut rows: Vec<Row> =
        (0..seconds.div_ceil(width)).map(|n| Row { from_s: n * width, ..Row::default() }).collect();
    let last = rows.len() - 1;
    let place = |t: u64| ((t / 1_000_000) as usize / width).min(last);
    for order in o.book.orders.borrow().iter() {
        let row = &mut rows[place(order.asked)];
        row.asked += 1;
        let class = o.scenario.class[order.class].get_ref();
        if let Some(took) = order.delivered.map(|t| (t - order.asked) as f64 / 1e6) {
            row.in_time += f64::from(u8::from(took <= class.wanted_s));
            row.late += f64::from(u8::from(took > class.wanted_s && took <= class.deadline_s));
        }
    }
    let orders = o.book.orders.borrow();
    let (mut tries, mut taken) = (vec![0usize; rows.len()], vec![0usize; rows.len()]);
    // By destination: seconds with something held, and seconds with a call.
    let mut held = vec![vec![false; seconds]; o.ledgers.len()];
    let mut called = held.clone();
    for m in o.book.messages.borrow().values() {
        if m.answered.is_some_and(|a| matches!(a.1, 200 | 202)) {
            let order = &orders[m.order];
            taken[place(m.handed)] += 1;
            let end = m.delivered.or(m.notices.first().map(|n| n.at)).unwrap_or(m.deadline);
            for second in (m.handed / 1_000_000 + 1)..(end / 1_000_000) {
                if let Some(h) = held[order.destination].get_mut(second as usize) {
                    *h = true;
                }
            }
        }
    }
    for (d, ledger) in o.ledgers.iter().enumerate() {
        for c in &ledger.calls {
            let row = place(c.received_at);
            rows[row].calls += 1;
            rows[row].refused += usize::from(matches!(c.answer, Some((_, 429 | 503))));
            rows[row].unanswered += usize::from(c.answer.is_none_or(|a| a.1 == 0));
            tries[row] += c.messages.len();
            if let Some(x) = called[d].get_mut((c.received_at / 1_000_000) as usize) {
                *x = true;
            }
        }
    }
    for (n, row) in rows.iter_mut().enumerate() {
        let asked = row.asked.max(1) as f64;
        (row.in_time, row.late) = (row.in_time / asked, row.late / asked);
        row.attempts = tries[n] as f64 / taken[n].max(1) as f64;
        let all = || {
            (row.from_s..(row.from_s + width).min(seconds)).flat_map(|s| (0..held.len()).map(move |d| (d, s)))
        };
        let back = all().filter(|&(d, s)| held[d][s] && !called[d][s]).count();
        row.held_back = back as f64 / all().count().max(1) as f64;
    }
    rows
}

/// The same as text.
pub fn table(rows: &[Row]) -> String {
    let mut t = String::from(
        "  from s   asked  in time %  late %  attempts   calls  refused  unanswered  held back %\n",
    );
    for r in rows {
        let _ = writeln!(
            t,
            "  {:>6} {:>7} {:>10.1} {:>7.1} {:>9.2} {:>7} {:>8} {:>11} {:>12.1}",
            r.from_s,
            r.asked,
            r.in_time * 100.0,
            r.late * 100.0,
            r.attempts,
            r.calls,
            r.refused,
            r.unanswered,
            r.held_back * 100.0
        );
    }
    t
}

/// For programs.
pub fn json(o: &Outcome, s: &Score, breaches: &[Breach]) -> serde_json::Value {
    let rules: serde_json::Map<_, _> = RULES
        .iter()
        .map(|r| {
            (
                json!(r).as_str().unwrap_or_default().to_owned(),
                json!(breaches.iter().filter(|b| b.rule == *r).count()),
            )
        })
        .collect();
    json!({"scenario": o.scenario.name, "seed": o.seed, "live": o.live, "score": s, "rules": rules,
        "breaches": breaches, "windows": rows(o, WIDTH)})
}

/// What is plotted: by second, worth asked and delivered; by partner, calls, refusals and what waits.
struct Course {
    name: String,
    calls: Vec<f64>,
    refused: Vec<f64>,
    waiting: Vec<f64>,
}

fn courses(o: &Outcome) -> Vec<Course> {
    let seconds = (o.end / 1_000_000) as usize + 1;
    let partners = o.scenario.partner.iter().enumerate();
    let destinations = o.scenario.destinations();
    partners
        .map(|(n, p)| {
            let mut c = Course {
                name: p.get_ref().name.clone(),
                calls: vec![0.0; seconds],
                refused: vec![0.0; seconds],
                waiting: vec![0.0; seconds],
            };
            for (d, _) in destinations.iter().enumerate().filter(|(_, x)| x.0 == n) {
                for call in &o.ledgers[d].calls {
                    let at = ((call.received_at / 1_000_000) as usize).min(seconds - 1);
                    c.calls[at] += 1.0;
                    c.refused[at] += f64::from(u8::from(matches!(call.answer, Some((_, 429 | 503)))));
                }
                for (k, (serving, queued)) in o.loads[d].iter().enumerate() {
                    let at = (k / SAMPLES).min(seconds - 1);
                    c.waiting[at] += (f64::from(*serving) + *queued as f64) / SAMPLES as f64;
                }
            }
            c
        })
        .collect()
}

/// One line of a plot.
type Line<'a> = (&'a str, &'a [f64], RGBColor);

/// A plot over the seconds of a run, as SVG.
///
/// # Errors
/// The library's.
pub fn plot(title: &str, lines: &[Line<'_>]) -> Result<String, String> {
    let mut svg = String::new();
    let seconds = lines.iter().map(|l| l.1.len()).max().unwrap_or(1).max(2);
    let top = lines.iter().flat_map(|l| l.1.iter().copied()).fold(1.0, f64::max) * 1.05;
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

/// A page of its own. `beliefs` is what the senders' recorders say, a course for each partner, where they
/// were on.
///
/// # Errors
/// A plot cannot be drawn.
pub fn html(
    o: &Outcome,
    s: &Score,
    breaches: &[Breach],
    beliefs: Option<&[windows::Course]>,
) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Rehearsal</title>\n<style>\
         body{font-family:sans-serif;max-width:800px;margin:2em auto;color:#222}pre{background:#f4f4f4;\
         padding:1em;overflow:auto}.broken{color:#b00}.kept{color:#070}</style></head><body>\n",
    );
    let _ = writeln!(page, "<h1>{}</h1>\n<p>{}</p>", escape(&o.scenario.name), escape(&o.scenario.about));
    let (class, verdict) = match breaches.len() {
        0 => ("kept", "all rules kept".to_owned()),
        n => ("broken", format!("rules broken {n} times")),
    };
    let _ =
        writeln!(page, "<p class=\"{class}\"><b>score {:.4}</b>, {verdict}, seed {}</p>", s.score, o.seed);
    let _ = writeln!(page, "<pre>{}</pre>", escape(&text(o, s, breaches)));
    let asked: Vec<f64> = s.seconds.iter().map(|x| x.0).collect();
    let got: Vec<f64> = s.seconds.iter().map(|x| x.1).collect();
    page += &plot(
        "worth by the second in which it was asked for",
        &[("asked", &asked, GREY_LINE), ("delivered", &got, BLUE_LINE)],
    )?;
    for (n, c) in courses(o).iter().enumerate() {
        page += &plot(
            &format!("{}: calls a second, and what is in service or waits there", c.name),
            &[
                ("calls", &c.calls, BLUE_LINE),
                ("refused", &c.refused, RED_LINE),
                ("in service or queued", &c.waiting, GREY_LINE),
            ],
        )?;
        if let Some(b) = beliefs.and_then(|b| b.get(n)) {
            page += &plot(
                &format!("{}: what senders believe, all together", c.name),
                &[
                    ("windows", &b.window, BLUE_LINE),
                    ("calls out", &b.out, RED_LINE),
                    ("messages held", &b.held, GREY_LINE),
                ],
            )?;
        }
    }
    page += "<h2>What happened when</h2>\n<ul>\n";
    for e in &o.scenario.event {
        let e = e.get_ref();
        let whom = e
            .hall
            .clone()
            .or(e.partner.clone())
            .or(e.sender.map(|n| format!("sender {n}")))
            .unwrap_or_default();
        let long = e.for_s.map(|t| format!(" for {t} s")).unwrap_or_default();
        let _ = writeln!(page, "<li>{} s: {:?} {}{long}</li>", e.at_s, e.what, escape(&whom));
    }
    page += "</ul>\n</body></html>\n";
    Ok(page)
}
