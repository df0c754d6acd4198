//! Worth delivered over worth asked.

use crate::run::Outcome;
use notchpoint_emulator::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// The width of the windows of which the worst is told, and their step.
const WINDOW: usize = 10;
/// A window in which less than this share of a usual one's worth was asked tells nothing.
const ENOUGH: f64 = 0.2;

/// How a run went.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Score {
    /// Worth delivered over worth asked; 0 if a rule was broken.
    pub score: f64,
    /// The same, whatever the rules say.
    pub kept: f64,
    /// By class.
    pub classes: BTreeMap<String, f64>,
    /// By tenant.
    pub tenants: BTreeMap<String, f64>,
    /// By partner.
    pub partners: BTreeMap<String, f64>,
    /// Of the ten seconds that went worst: when they begin, and their share.
    pub worst: (f64, f64),
    /// Orders, those delivered in time, hand-ins, calls, refused calls.
    pub counts: Counts,
    /// By second: worth asked, and what of it was delivered (at any time).
    #[serde(skip)]
    pub seconds: Vec<(f64, f64)>,
}

/// What happened how often.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Things that clients asked for.
    pub orders: usize,
    /// Of them, delivered in time.
    pub delivered: usize,
    /// Times that one was handed in.
    pub handed: usize,
    /// Of those, taken on.
    pub taken: usize,
    /// Notices that a message ended without having been delivered.
    pub notices: usize,
    /// Calls that partners got.
    pub calls: usize,
    /// Of them, turned away.
    pub refused: usize,
    /// Things that took effect.
    pub effects: usize,
}

/// What an order is worth if it is delivered so long after it was asked for.
fn worth(o: &Outcome, class: usize, after: Option<Micros>) -> f64 {
    let c = o.scenario.class[class].get_ref();
    let Some(after) = after.map(|t| t as f64 / 1e6).filter(|t| *t <= c.deadline_s) else { return 0.0 };
    if after <= c.wanted_s {
        return c.worth;
    }
    let share = if o.scenario.senders.fades == "even" {
        let span = (c.deadline_s - c.wanted_s).max(1e-9);
        1.0 - (1.0 - c.late_share) * (after - c.wanted_s) / span
    } else {
        0.5f64.powf((after - c.wanted_s) / c.wanted_s)
    };
    c.worth * share.max(c.late_share)
}

/// Scores a run in which so many rules were broken.
pub fn score(o: &Outcome, breaches: usize) -> Score {
    let s = &o.scenario;
    let seconds = (s.duration_s.ceil() as usize).max(1);
    let mut by_second = vec![(0.0, 0.0); seconds];
    let (mut classes, mut tenants, mut partners): (BTreeMap<_, (f64, f64)>, BTreeMap<_, _>, BTreeMap<_, _>) =
        Default::default();
    let mut counts = Counts::default();
    let destinations = s.destinations();
    for order in o.book.orders.borrow().iter() {
        let share = if order.over_share { s.senders.over_share_worth } else { 1.0 };
        let asked = s.class[order.class].get_ref().worth * share;
        let after = order.delivered.map(|t| t.saturating_sub(order.asked));
        let got = worth(o, order.class, after) * share;
        let second = ((order.asked / 1_000_000) as usize).min(seconds - 1);
        let tenant = s.tenant.get(order.tenant).map_or("-", |t| t.get_ref().name.as_str());
        let partner = &s.partner[destinations[order.destination].0].get_ref().name;
        let add = |sum: &mut (f64, f64)| *sum = (sum.0 + asked, sum.1 + got);
        add(&mut by_second[second]);
        add(classes.entry(s.class[order.class].get_ref().name.clone()).or_default());
        add(tenants.entry(tenant.to_owned()).or_default());
        add(partners.entry(partner.clone()).or_default());
        counts.orders += 1;
        counts.delivered += usize::from(got > 0.0);
        counts.handed += order.handed as usize;
    }
    for m in o.book.messages.borrow().values() {
        counts.taken += usize::from(m.answered.is_some_and(|a| matches!(a.1, 200 | 202)));
        counts.notices += usize::from(!m.notices.is_empty());
    }
    for l in &o.ledgers {
        counts.calls += l.calls.len();
        counts.refused += l.calls.iter().filter(|c| matches!(c.answer, Some((_, 429 | 503)))).count();
        counts.effects += l.effects.iter().filter(|e| !e.is_duplicate).count();
    }
    let all = sum(&by_second);
    let kept = share(all);
    let shares = |m: BTreeMap<String, (f64, f64)>| m.into_iter().map(|(k, v)| (k, share(v))).collect();
    Score {
        score: if breaches == 0 { kept } else { 0.0 },
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

fn share((asked, got): (f64, f64)) -> f64 {
    if asked > 0.0 { got / asked } else { 1.0 }
}

fn worst(seconds: &[(f64, f64)]) -> (f64, f64) {
    let usual = sum(seconds).0 / seconds.len() as f64 * WINDOW.min(seconds.len()) as f64;
    let windows = seconds.windows(WINDOW.min(seconds.len())).map(sum).enumerate();
    let told = windows.filter(|(_, w)| w.0 >= usual * ENOUGH);
    let worst = told.map(|(n, w)| (n as f64, share(w))).min_by(|a, b| a.1.total_cmp(&b.1));
    worst.unwrap_or((0.0, 1.0))
}
