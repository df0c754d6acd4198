//! Draws a destination's window, calls in flight, held messages and guards over time as SVG.

use crate::explain::{Explanation, RouteSample};
use notchpoint_policy::Micros;
use std::fmt::Write as _;

/// The width of the drawing and its margins.
const WIDTH: f64 = 1_000.0;
const LEFT_MARGIN: f64 = 60.0;
const RIGHT_MARGIN: f64 = 20.0;
/// The height of a panel, of the strip of guards below it, and of the gap to the next panel.
const PANEL_HEIGHT: f64 = 120.0;
const STRIP_HEIGHT: f64 = 14.0;
const GAP_HEIGHT: f64 = 54.0;
/// The maximum number of samples drawn for a route. With more samples only every n-th is drawn, so that the
/// file stays small.
const MAX_SAMPLES: usize = 4_000;

/// A line of a panel: the value of a sample, the maximum of the scale, and the color.
type Line<'a> = (&'a dyn Fn(&RouteSample) -> f64, f64, &'a str);

/// Maps times to horizontal positions.
struct TimeScale {
    from: Micros,
    to: Micros,
}

impl TimeScale {
    fn x(&self, at: Micros) -> f64 {
        let span = self.to.saturating_sub(self.from).max(1) as f64;
        let at = at.clamp(self.from, self.to) - self.from;
        LEFT_MARGIN + (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * at as f64 / span
    }
}

/// Returns the path of a line that keeps each value until the next.
fn step_path(samples: &[(Micros, f64)], scale: &TimeScale, top: f64, max: f64) -> String {
    let mut path = String::new();
    let mut last_y = None;
    for &(at, value) in samples.iter().chain(samples.last().map(|p| (scale.to, p.1)).iter()) {
        let (x, y) = (scale.x(at), top + PANEL_HEIGHT * (1.0 - value / max.max(1.0)));
        match last_y {
            None => _ = write!(path, "M{x:.1} {y:.1}"),
            Some(previous) if previous != y => _ = write!(path, "H{x:.1}V{y:.1}"),
            Some(_) => _ = write!(path, "H{x:.1}"),
        }
        last_y = Some(y);
    }
    path
}

/// Draws the destination that was selected for the explanation, with one panel for each route.
pub fn draw(explanation: &Explanation, dest: u64) -> String {
    let mut routes: Vec<Option<String>> = explanation.points.iter().map(|p| p.route.clone()).collect();
    routes.sort();
    routes.dedup();
    let times = explanation.points.iter().map(|p| p.at);
    let scale = TimeScale {
        from: times.clone().min().unwrap_or(explanation.begins),
        to: times.max().unwrap_or(explanation.ends),
    };
    let height = 50.0 + routes.len().max(1) as f64 * (PANEL_HEIGHT + STRIP_HEIGHT + GAP_HEIGHT);
    let mut svg = String::new();
    let _ = write!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\
         <rect width=\"{WIDTH}\" height=\"{height}\" fill=\"#fff\"/>\
         <text x=\"{LEFT_MARGIN}\" y=\"20\" font-size=\"15\">{} to destination {dest}</text>\
         <text x=\"{LEFT_MARGIN}\" y=\"38\"><tspan fill=\"#1f5fa8\">window</tspan>  \
         <tspan fill=\"#c2571a\">calls in flight</tspan>  \
         <tspan fill=\"#8a2be2\">answers presumed lost\
         </tspan>  <tspan fill=\"#777\">held (own scale)</tspan>  \
         <tspan fill=\"#0a7d4f\">estimated calls admitted per second</tspan>  \
         <tspan fill=\"#b00020\">cut</tspan>  strip: the guard that holds the route</text>",
        escape_xml(&explanation.sender)
    );
    if routes.is_empty() {
        svg.push_str("<text x=\"60\" y=\"80\">nothing is recorded for this destination</text>");
    }
    for (n, route) in routes.iter().enumerate() {
        let top = 60.0 + n as f64 * (PANEL_HEIGHT + STRIP_HEIGHT + GAP_HEIGHT);
        let samples: Vec<&RouteSample> = explanation.points.iter().filter(|p| p.route == *route).collect();
        let samples: Vec<&RouteSample> =
            samples.iter().step_by(samples.len() / MAX_SAMPLES + 1).copied().collect();
        draw_panel(&mut svg, explanation, route.as_deref(), &samples, &scale, top);
    }
    svg.push_str("</svg>\n");
    svg
}

/// Draws the panel of one route.
fn draw_panel(
    svg: &mut String,
    explanation: &Explanation,
    route: Option<&str>,
    samples: &[&RouteSample],
    scale: &TimeScale,
    top: f64,
) {
    let timed_values =
        |value: &dyn Fn(&RouteSample) -> f64| samples.iter().map(|s| (s.at, value(s))).collect::<Vec<_>>();
    let highest = |p: &&RouteSample| p.window.max(f64::from(p.in_flight)).max(p.admitted_rate.unwrap_or(0.0));
    let max = samples.iter().map(highest).fold(1.0, f64::max).ceil();
    let max_held = samples.iter().map(|p| p.held).max().unwrap_or(0).max(1) as f64;
    let bottom = top + PANEL_HEIGHT;
    let _ = write!(
        svg,
        "<text x=\"{LEFT_MARGIN}\" y=\"{:.0}\">{}</text><path d=\"M{LEFT_MARGIN} {top}V{bottom}H{}\" \
         stroke=\"#999\" fill=\"none\"/><text x=\"8\" y=\"{:.0}\">{max}</text>\
         <text x=\"8\" y=\"{bottom:.0}\">0</text>\
         <text x=\"{}\" y=\"{:.0}\" fill=\"#777\" text-anchor=\"end\">held up to {max_held}</text>",
        top - 4.0,
        route.map_or("all endpoints".into(), escape_xml),
        WIDTH - RIGHT_MARGIN,
        top + 10.0,
        WIDTH - RIGHT_MARGIN,
        top - 4.0,
    );
    let lines: [Line; 5] = [
        (&|p| p.held as f64, max_held, "#bbb"),
        (&|p| p.admitted_rate.unwrap_or(0.0), max, "#0a7d4f"),
        (&|p| f64::from(p.lost), max, "#8a2be2"),
        (&|p| f64::from(p.in_flight), max, "#c2571a"),
        (&|p| p.window, max, "#1f5fa8"),
    ];
    for (value, max, color) in lines {
        let path = step_path(&timed_values(value), scale, top, max);
        let _ = write!(svg, "<path d=\"{path}\" fill=\"none\" stroke=\"{color}\" stroke-width=\"1.4\"/>");
    }
    for cut in explanation.cuts.iter().filter(|cut| cut.route.as_deref() == route) {
        let x = scale.x(cut.at);
        let _ = write!(
            svg,
            "<path d=\"M{x:.1} {top}V{bottom}\" stroke=\"#b00020\" stroke-dasharray=\"3 3\"><title>{:.3} s: \
             {:.1} to {:.1}, {}</title></path>",
            cut.at.saturating_sub(explanation.begins) as f64 / 1e6,
            cut.from,
            cut.to,
            escape_xml(&cut.cause)
        );
    }
    for (n, sample) in samples.iter().enumerate() {
        let Some(guard) = sample.hold else { continue };
        let (x, to) = (scale.x(sample.at), samples.get(n + 1).map_or(scale.to, |next| next.at));
        let width = (scale.x(to) - x).max(0.2);
        // Each guard has the same hue in all drawings.
        let hue = (guard as u32 * 47) % 360;
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{width:.1}\" height=\"{STRIP_HEIGHT}\" \
             fill=\"hsl({hue},60%,70%)\"><title>{guard:?}</title></rect>",
            bottom + 4.0,
        );
    }
    for tick in 0..=10u64 {
        let at = scale.from + (scale.to - scale.from) / 10 * tick;
        let _ = write!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\" fill=\"#555\">{:.2} s</text>",
            scale.x(at),
            bottom + STRIP_HEIGHT + 18.0,
            at.saturating_sub(explanation.begins) as f64 / 1e6
        );
    }
}

fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
