//! Scores a run by the worth delivered relative to the worth requested.

use crate::run::RunResult;
use notchpoint_emulator::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// Width, in seconds, of the sliding windows of which the worst is reported.
const WORST_WINDOW_S: usize = 10;
/// Windows in which less than this share of the average worth was requested are ignored.
const MIN_WINDOW_WORTH: f64 = 0.2;

/// The score of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Score {
    /// Worth delivered relative to worth requested; 0 if a rule was violated.
    pub score: f64,
    /// The same ratio regardless of violations.
    pub kept: f64,
    /// The ratio by class.
    pub classes: BTreeMap<String, f64>,
    /// The ratio by tenant.
    pub tenants: BTreeMap<String, f64>,
    /// The ratio by partner.
    pub partners: BTreeMap<String, f64>,
    /// The ten seconds with the lowest ratio: start time and ratio.
    pub worst: (f64, f64),
    /// Counts of orders, messages and calls.
    pub counts: Counts,
    /// By second: worth requested, and how much of it was delivered (at any time).
    #[serde(skip)]
    pub seconds: Vec<(f64, f64)>,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Orders that clients created.
    pub orders: usize,
    /// Orders delivered before their deadline.
    pub delivered: usize,
    /// Submissions of orders.
    #[serde(rename = "handed")]
    pub submissions: usize,
    /// Submissions that were accepted.
    #[serde(rename = "taken")]
    pub accepted: usize,
    /// Messages for which a notice of failure was received.
    pub notices: usize,
    /// Calls that partners received.
    pub calls: usize,
    /// Calls that partners refused.
    pub refused: usize,
    /// Deliveries that took effect.
    pub effects: usize,
}

/// Returns the worth of an order that is delivered `after` this time; 0 if it is not delivered.
fn delivered_worth(result: &RunResult, class: usize, after: Option<Micros>) -> f64 {
    let class_spec = result.scenario.class[class].get_ref();
    let Some(after) = after.map(|t| t as f64 / 1e6).filter(|t| *t <= class_spec.deadline_s) else {
        return 0.0;
    };
    if after <= class_spec.wanted_s {
        return class_spec.worth;
    }
    let share = if result.scenario.senders.fades == "even" {
        let span = (class_spec.deadline_s - class_spec.wanted_s).max(1e-9);
        1.0 - (1.0 - class_spec.late_share) * (after - class_spec.wanted_s) / span
    } else {
        0.5f64.powf((after - class_spec.wanted_s) / class_spec.wanted_s)
    };
    class_spec.worth * share.max(class_spec.late_share)
}

/// Scores a run with the given number of violations.
pub fn score(result: &RunResult, violations: usize) -> Score {
    let scenario = &result.scenario;
    let seconds = (scenario.duration_s.ceil() as usize).max(1);
    let mut by_second = vec![(0.0, 0.0); seconds];
    let (mut classes, mut tenants, mut partners): (BTreeMap<_, (f64, f64)>, BTreeMap<_, _>, BTreeMap<_, _>) =
        Default::default();
    let mut counts = Counts::default();
    let destinations = scenario.destinations();
    for order in result.observations.orders.borrow().iter() {
        let share = if order.over_share { scenario.senders.over_share_worth } else { 1.0 };
        let requested = scenario.class[order.class].get_ref().worth * share;
        let after = order.delivered.map(|t| t.saturating_sub(order.requested_at));
        let delivered = delivered_worth(result, order.class, after) * share;
        let second = ((order.requested_at / 1_000_000) as usize).min(seconds - 1);
        let tenant = scenario.tenant.get(order.tenant).map_or("-", |t| t.get_ref().name.as_str());
        let partner = &scenario.partner[destinations[order.destination].0].get_ref().name;
        let add = |sum: &mut (f64, f64)| *sum = (sum.0 + requested, sum.1 + delivered);
        add(&mut by_second[second]);
        add(classes.entry(scenario.class[order.class].get_ref().name.clone()).or_default());
        add(tenants.entry(tenant.to_owned()).or_default());
        add(partners.entry(partner.clone()).or_default());
        counts.orders += 1;
        counts.delivered += usize::from(delivered > 0.0);
        counts.submissions += order.submissions as usize;
    }
    for message in result.observations.messages.borrow().values() {
        counts.accepted += usize::from(message.answer.is_some_and(|answer| matches!(answer.1, 200 | 202)));
        counts.notices += usize::from(!message.notices.is_empty());
    }
    for ledger in &result.ledgers {
        counts.calls += ledger.calls.len();
        counts.refused +=
            ledger.calls.iter().filter(|call| matches!(call.answer, Some((_, 429 | 503)))).count();
        counts.effects += ledger.effects.iter().filter(|e| !e.is_duplicate).count();
    }
    let all = sum(&by_second);
    let kept = share(all);
    let shares = |by_name: BTreeMap<String, (f64, f64)>| {
        by_name.into_iter().map(|(name, worth)| (name, share(worth))).collect()
    };
    Score {
        score: if violations == 0 { kept } else { 0.0 },
        kept,
        classes: shares(classes),
        tenants: shares(tenants),
        partners: shares(partners),
        worst: worst(&by_second),
        counts,
        seconds: by_second,
    }
}

fn sum(all: &[(f64, f64)]) -> (f64, f64) {
    all.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))
}

/// Returns the delivered share; 1 if nothing was requested.
fn share((requested, delivered): (f64, f64)) -> f64 {
    if requested > 0.0 { delivered / requested } else { 1.0 }
}

/// Returns the start and the delivered share of the window with the lowest share.
fn worst(seconds: &[(f64, f64)]) -> (f64, f64) {
    let usual = sum(seconds).0 / seconds.len() as f64 * WORST_WINDOW_S.min(seconds.len()) as f64;
    let windows = seconds.windows(WORST_WINDOW_S.min(seconds.len())).map(sum).enumerate();
    let eligible = windows.filter(|(_, window)| window.0 >= usual * MIN_WINDOW_WORTH);
    let worst =
        eligible.map(|(start, window)| (start as f64, share(window))).min_by(|a, b| a.1.total_cmp(&b.1));
    worst.unwrap_or((0.0, 1.0))
}
