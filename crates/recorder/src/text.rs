//! An explanation for people.

use crate::explain::{Explanation, MessageState, MessageTimeline};
use notchpoint_policy::Micros;
use std::fmt::Write as _;

/// Lines of a list before the rest is only counted.
const LINES: usize = 40;

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// Writes it out; all times are seconds after the first recorded moment of the process.
pub fn render(e: &Explanation) -> String {
    let mut out = String::new();
    let held: Micros = e.totals.iter().map(|t| t.held).sum();
    let _ = writeln!(
        out,
        "{}, process of Unix time {:.3} s; {:.3} s recorded from Unix time {:.3} s on",
        e.sender,
        seconds(e.run),
        seconds(e.ends.saturating_sub(e.begins)),
        seconds(e.unix)
    );
    for (at, by) in &e.clock_steps {
        let at = seconds(at.saturating_sub(e.begins));
        let _ = writeln!(out, "  at {at:.3} s the wall clock stepped by {:+.3} s", *by as f64 / 1e6);
    }
    let _ = writeln!(out, "held time: {:.3} s over all messages that were asked for", seconds(held));
    for t in &e.totals {
        let share = 100.0 * t.held as f64 / held.max(1) as f64;
        let _ = writeln!(
            out,
            "  {:<10} {:>10.3} s {share:>5.1} %  {} messages",
            format!("{:?}", t.guard),
            seconds(t.held),
            t.messages
        );
    }
    if e.dests.len() > 1 {
        let _ = writeln!(out, "held time by destination:");
        for (dest, held) in e.dests.iter().take(10) {
            let _ = writeln!(out, "  {dest:<10} {:>10.3} s", seconds(*held));
        }
    }
    if !e.points.is_empty() {
        let _ = writeln!(out, "cuts of the window: {}", e.cuts.len());
        for c in e.cuts.iter().take(LINES) {
            let (at, route) = (seconds(c.at.saturating_sub(e.begins)), c.route.as_deref().unwrap_or("all"));
            let _ = writeln!(out, "  {at:>9.3} s  {route}: {:.1} to {:.1}: {}", c.from, c.to, c.cause);
        }
        more(&mut out, e.cuts.len());
        admits(&mut out, e);
    }
    for c in e.timelines.iter().take(LINES) {
        course(&mut out, e, c);
    }
    more(&mut out, e.timelines.len());
    out
}

/// The last estimate of each route that showed a limit by rate.
fn admits(out: &mut String, e: &Explanation) {
    let known =
        e.points.iter().filter_map(|p| p.admits.map(|a| (p.route.as_deref().unwrap_or("all"), (p.at, a))));
    let last: std::collections::BTreeMap<&str, (u64, f64)> = known.collect();
    for (route, (at, rate)) in last.into_iter().take(LINES) {
        let at = seconds(at.saturating_sub(e.begins));
        let _ = writeln!(out, "taken to admit {rate:.2} calls a second: {route}, as of {at:.3} s");
    }
}

fn more(out: &mut String, all: usize) {
    if all > LINES {
        let _ = writeln!(out, "  and {} more; --json has all", all - LINES);
    }
}

fn course(out: &mut String, e: &Explanation, c: &MessageTimeline) {
    let before = if c.from_before { ", held before the recording begins" } else { "" };
    let _ = writeln!(
        out,
        "message {} ({}) to destination {}{before}: {}; held for {:.3} s",
        c.id,
        c.class,
        c.dest,
        c.end.as_deref().unwrap_or("not ended when the recording ends"),
        seconds(c.held())
    );
    for s in &c.spans {
        let (from, to) = (s.from.saturating_sub(e.begins), s.to.saturating_sub(e.begins));
        let what = match (s.at, &s.endpoint) {
            (MessageState::Held(guard), _) => format!("{guard:?}"),
            (MessageState::Out, Some(endpoint)) => format!("out to {endpoint}"),
            (MessageState::Out, None) => "out".into(),
        };
        let _ = writeln!(
            out,
            "  {:>9.3} to {:>9.3} s  {what:<22} from: {}; until: {}",
            seconds(from),
            seconds(to),
            s.began,
            s.ended
        );
    }
}
