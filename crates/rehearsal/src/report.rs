//! What is shown of a run: text, JSON, and one page of HTML that needs nothing beside it.

use crate::checker::{Breach, RULES};
use crate::run::Outcome;
use crate::score::Score;
use plotters::prelude::*;
use serde_json::json;
use std::fmt::Write;

/// Breaches that are written out; the rest is counted.
const SHOWN: usize = 20;
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
        "breaches": breaches})
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
                    let at = ((call.at / 1_000_000) as usize).min(seconds - 1);
                    c.calls[at] += 1.0;
                    c.refused[at] += f64::from(u8::from(matches!(call.answered, Some((_, 429 | 503)))));
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

/// A page of its own.
///
/// # Errors
/// A plot cannot be drawn.
pub fn html(o: &Outcome, s: &Score, breaches: &[Breach]) -> Result<String, String> {
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
    for c in courses(o) {
        page += &plot(
            &format!("{}: calls a second, and what is in service or waits there", c.name),
            &[
                ("calls", &c.calls, BLUE_LINE),
                ("refused", &c.refused, RED_LINE),
                ("in service or queued", &c.waiting, GREY_LINE),
            ],
        )?;
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
