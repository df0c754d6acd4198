//! A destination's window, calls in flight, held messages and waits over time, as SVG.

use crate::explain::{Explanation, RouteSample};
use notchpoint_policy::Micros;
use std::fmt::Write as _;

const WIDTH: f64 = 1_000.0;
const LEFT: f64 = 60.0;
const RIGHT: f64 = 20.0;
/// Height of a panel, and of the strip of guards below it.
const PANEL: f64 = 120.0;
const STRIP: f64 = 14.0;
const GAP: f64 = 54.0;
/// Points drawn for a route; of more only every n-th is drawn, so that a picture stays small.
const POINTS: usize = 4_000;

/// What of a point is drawn, the top of its scale, and its colour.
type Line<'a> = (&'a dyn Fn(&RouteSample) -> f64, f64, &'a str);

struct Scale {
    from: Micros,
    to: Micros,
}

impl Scale {
    fn x(&self, at: Micros) -> f64 {
        let span = self.to.saturating_sub(self.from).max(1) as f64;
        let at = at.clamp(self.from, self.to) - self.from;
        LEFT + (WIDTH - LEFT - RIGHT) * at as f64 / span
    }
}

/// A line that keeps each value until the next.
fn steps(points: &[(Micros, f64)], scale: &Scale, top: f64, most: f64) -> String {
    let mut path = String::new();
    let mut last = None;
    for &(at, value) in points.iter().chain(points.last().map(|p| (scale.to, p.1)).iter()) {
        let (x, y) = (scale.x(at), top + PANEL * (1.0 - value / most.max(1.0)));
        match last {
            None => _ = write!(path, "M{x:.1} {y:.1}"),
            Some(before) if before != y => _ = write!(path, "H{x:.1}V{y:.1}"),
            Some(_) => _ = write!(path, "H{x:.1}"),
        }
        last = Some(y);
    }
    path
}

/// The picture of the destination that the explanation was asked for; one panel for each route.
pub fn draw(e: &Explanation, dest: u64) -> String {
    let mut routes: Vec<Option<String>> = e.points.iter().map(|p| p.route.clone()).collect();
    routes.sort();
    routes.dedup();
    let ends = e.points.iter().map(|p| p.at);
    let scale = Scale { from: ends.clone().min().unwrap_or(e.begins), to: ends.max().unwrap_or(e.ends) };
    let height = 50.0 + routes.len().max(1) as f64 * (PANEL + STRIP + GAP);
    let mut svg = String::new();
    let _ = write!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\
         <rect width=\"{WIDTH}\" height=\"{height}\" fill=\"#fff\"/>\
         <text x=\"{LEFT}\" y=\"20\" font-size=\"15\">{} to destination {dest}</text>\
         <text x=\"{LEFT}\" y=\"38\"><tspan fill=\"#1f5fa8\">window</tspan>  \
         <tspan fill=\"#c2571a\">calls out</tspan>  \
         <tspan fill=\"#8a2be2\">answers taken to be lost\
         </tspan>  <tspan fill=\"#777\">held (its own scale)</tspan>  \
         <tspan fill=\"#0a7d4f\">admitted a second, as taken</tspan>  \
         <tspan fill=\"#b00020\">cut</tspan>  strip: the guard that holds the route</text>",
        escape(&e.sender)
    );
    if routes.is_empty() {
        svg.push_str("<text x=\"60\" y=\"80\">nothing is recorded of it</text>");
    }
    for (n, route) in routes.iter().enumerate() {
        let top = 60.0 + n as f64 * (PANEL + STRIP + GAP);
        let own: Vec<&RouteSample> = e.points.iter().filter(|p| p.route == *route).collect();
        let own: Vec<&RouteSample> = own.iter().step_by(own.len() / POINTS + 1).copied().collect();
        panel(&mut svg, e, route.as_deref(), &own, &scale, top);
    }
    svg.push_str("</svg>\n");
    svg
}

fn panel(
    svg: &mut String,
    e: &Explanation,
    route: Option<&str>,
    own: &[&RouteSample],
    scale: &Scale,
    top: f64,
) {
    let line = |f: &dyn Fn(&RouteSample) -> f64| own.iter().map(|p| (p.at, f(p))).collect::<Vec<_>>();
    let highest = |p: &&RouteSample| p.window.max(f64::from(p.out)).max(p.admits.unwrap_or(0.0));
    let most = own.iter().map(highest).fold(1.0, f64::max).ceil();
    let held = own.iter().map(|p| p.held).max().unwrap_or(0).max(1) as f64;
    let bottom = top + PANEL;
    let _ = write!(
        svg,
        "<text x=\"{LEFT}\" y=\"{:.0}\">{}</text><path d=\"M{LEFT} {top}V{bottom}H{}\" stroke=\"#999\" \
         fill=\"none\"/><text x=\"8\" y=\"{:.0}\">{most}</text><text x=\"8\" y=\"{bottom:.0}\">0</text>\
         <text x=\"{}\" y=\"{:.0}\" fill=\"#777\" text-anchor=\"end\">held up to {held}</text>",
        top - 4.0,
        route.map_or("all endpoints".into(), escape),
        WIDTH - RIGHT,
        top + 10.0,
        WIDTH - RIGHT,
        top - 4.0,
    );
    let lines: [Line; 5] = [
        (&|p| p.held as f64, held, "#bbb"),
        (&|p| p.admits.unwrap_or(0.0), most, "#0a7d4f"),
        (&|p| f64::from(p.lost), most, "#8a2be2"),
        (&|p| f64::from(p.out), most, "#c2571a"),
        (&|p| p.window, most, "#1f5fa8"),
    ];
    for (value, most, colour) in lines {
        let path = steps(&line(value), scale, top, most);
        let _ = write!(svg, "<path d=\"{path}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.4\"/>");
    }
    for c in e.cuts.iter().filter(|c| c.route.as_deref() == route) {
        let x = scale.x(c.at);
        let _ = write!(
            svg,
            "<path d=\"M{x:.1} {top}V{bottom}\" stroke=\"#b00020\" stroke-dasharray=\"3 3\"><title>{:.3} s: \
             {:.1} to {:.1}, {}</title></path>",
            c.at.saturating_sub(e.begins) as f64 / 1e6,
            c.from,
            c.to,
            escape(&c.cause)
        );
    }
    for (n, p) in own.iter().enumerate() {
        let Some(guard) = p.hold else { continue };
        let (x, to) = (scale.x(p.at), own.get(n + 1).map_or(scale.to, |q| q.at));
        let width = (scale.x(to) - x).max(0.2);
        // A hue for each guard, the same in all pictures.
        let hue = (guard as u32 * 47) % 360;
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{width:.1}\" height=\"{STRIP}\" \
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
            bottom + STRIP + 18.0,
            at.saturating_sub(e.begins) as f64 / 1e6
        );
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
