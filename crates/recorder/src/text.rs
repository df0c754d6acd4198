//! Formats an explanation as text.

use crate::explain::{Explanation, MessageState, MessageTimeline};
use notchpoint_policy::Micros;
use std::fmt::Write as _;

/// The maximum number of lines of a list. Further entries are only counted.
const MAX_LINES: usize = 40;

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// Formats an explanation. All times are in seconds after the first recorded time of the process.
pub fn render(explanation: &Explanation) -> String {
    let mut out = String::new();
    let held: Micros = explanation.totals.iter().map(|t| t.held).sum();
    let _ = writeln!(
        out,
        "{}, process of Unix time {:.3} s; {:.3} s recorded from Unix time {:.3} s on",
        explanation.sender,
        seconds(explanation.run),
        seconds(explanation.ends.saturating_sub(explanation.begins)),
        seconds(explanation.unix)
    );
    for (at, by) in &explanation.clock_steps {
        let at = seconds(at.saturating_sub(explanation.begins));
        let _ = writeln!(out, "  at {at:.3} s the wall clock stepped by {:+.3} s", *by as f64 / 1e6);
    }
    let _ = writeln!(out, "held time: {:.3} s over all selected messages", seconds(held));
    for total in &explanation.totals {
        let share = 100.0 * total.held as f64 / held.max(1) as f64;
        let _ = writeln!(
            out,
            "  {:<10} {:>10.3} s {share:>5.1} %  {} messages",
            format!("{:?}", total.guard),
            seconds(total.held),
            total.messages
        );
    }
    if explanation.dests.len() > 1 {
        let _ = writeln!(out, "held time by destination:");
        for (dest, held) in explanation.dests.iter().take(10) {
            let _ = writeln!(out, "  {dest:<10} {:>10.3} s", seconds(*held));
        }
    }
    if !explanation.points.is_empty() {
        let _ = writeln!(out, "window cuts: {}", explanation.cuts.len());
        for cut in explanation.cuts.iter().take(MAX_LINES) {
            let (at, route) =
                (seconds(cut.at.saturating_sub(explanation.begins)), cut.route.as_deref().unwrap_or("all"));
            let _ = writeln!(out, "  {at:>9.3} s  {route}: {:.1} to {:.1}: {}", cut.from, cut.to, cut.cause);
        }
        write_omitted(&mut out, explanation.cuts.len());
        write_rate_limits(&mut out, explanation);
    }
    for timeline in explanation.timelines.iter().take(MAX_LINES) {
        write_timeline(&mut out, explanation, timeline);
    }
    write_omitted(&mut out, explanation.timelines.len());
    out
}

/// Writes the last estimated rate limit of each route that has one.
fn write_rate_limits(out: &mut String, explanation: &Explanation) {
    let estimates = explanation
        .points
        .iter()
        .filter_map(|s| s.admitted_rate.map(|rate| (s.route.as_deref().unwrap_or("all"), (s.at, rate))));
    let last: std::collections::BTreeMap<&str, (u64, f64)> = estimates.collect();
    for (route, (at, rate)) in last.into_iter().take(MAX_LINES) {
        let at = seconds(at.saturating_sub(explanation.begins));
        let _ = writeln!(out, "estimated limit of {rate:.2} calls per second: {route}, as of {at:.3} s");
    }
}

/// Writes how many entries of a list were left out.
fn write_omitted(out: &mut String, total: usize) {
    if total > MAX_LINES {
        let _ = writeln!(out, "  and {} more; --json has all", total - MAX_LINES);
    }
}

fn write_timeline(out: &mut String, explanation: &Explanation, timeline: &MessageTimeline) {
    let before = if timeline.from_before { ", held before the recording begins" } else { "" };
    let _ = writeln!(
        out,
        "message {} ({}) to destination {}{before}: {}; held for {:.3} s",
        timeline.id,
        timeline.class,
        timeline.dest,
        timeline.end.as_deref().unwrap_or("not ended when the recording ends"),
        seconds(timeline.held())
    );
    for span in &timeline.spans {
        let (from, to) =
            (span.from.saturating_sub(explanation.begins), span.to.saturating_sub(explanation.begins));
        let state = match (span.state, &span.endpoint) {
            (MessageState::Held(guard), _) => format!("{guard:?}"),
            (MessageState::InFlight, Some(endpoint)) => format!("out to {endpoint}"),
            (MessageState::InFlight, None) => "out".into(),
        };
        let _ = writeln!(
            out,
            "  {:>9.3} to {:>9.3} s  {state:<22} from: {}; until: {}",
            seconds(from),
            seconds(to),
            span.began,
            span.ended
        );
    }
}
