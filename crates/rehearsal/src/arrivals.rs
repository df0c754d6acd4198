//! When what is asked for: the same for a scenario and a seed, whatever becomes of it.

use crate::client::mix;
use crate::scenario::{Scenario, Traffic};
use notchpoint_emulator::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Something that is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Class, by position.
    pub class: usize,
    /// Tenant, by position.
    pub tenant: usize,
    /// Destination, counted from 0.
    pub destination: usize,
    /// Bytes of its body.
    pub body: usize,
    /// It is over its tenant's allowance.
    pub over_share: bool,
}

/// All arrivals of a run, in the order of time.
pub fn arrivals(s: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (n, t) in s.traffic.iter().enumerate() {
        traffic(s, t.get_ref(), mix(seed, 1_000 + n as u64), &mut all);
    }
    all.extend(s.trace.iter().map(|t| Arrival {
        at: (t.at_s * 1e6) as Micros,
        class: t.class,
        tenant: t.tenant,
        destination: t.destination,
        body: t.body,
        over_share: false,
    }));
    all.sort_by_key(|a| a.at);
    share(s, &mut all);
    all
}

fn traffic(s: &Scenario, t: &Traffic, seed: u64, all: &mut Vec<Arrival>) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let class = s.class.iter().position(|c| c.get_ref().name == t.class).unwrap_or(0);
    let named = |name: &String| s.tenant.iter().position(|x| x.get_ref().name == *name);
    let tenant = t.tenant.as_ref().and_then(named).unwrap_or(0);
    let to = s.select(None, t.partner.as_deref(), t.destination);
    let (from, until) = (t.from_s, t.to_s.unwrap_or(s.duration_s));
    let mut add = |at: f64, random: &mut Pcg64Mcg| {
        let destination = to[random.random_range(0..to.len())];
        let at = (at * 1e6) as Micros;
        all.push(Arrival { at, class, tenant, destination, body: t.body, over_share: false });
    };
    if let Some(count) = t.count {
        let step = (until - from) / f64::from(count);
        (0..count).for_each(|n| add(from + step * f64::from(n), &mut random));
    }
    if let Some(gaps) = t.rate_per_s.and_then(|r| Exp::new(r).ok()) {
        let mut at = from + gaps.sample(&mut random);
        while at < until {
            add(at, &mut random);
            at += gaps.sample(&mut random);
        }
    }
}

/// Marks what is over its tenant's allowance, counted over the second before.
fn share(s: &Scenario, all: &mut [Arrival]) {
    let mut lately: BTreeMap<usize, VecDeque<Micros>> = BTreeMap::new();
    for a in all {
        let Some(allowance) = s.tenant.get(a.tenant).and_then(|t| t.get_ref().allowance_per_s) else {
            continue;
        };
        let seen = lately.entry(a.tenant).or_default();
        while seen.front().is_some_and(|&t| t + 1_000_000 <= a.at) {
            seen.pop_front();
        }
        a.over_share = seen.len() as f64 >= allowance;
        if !a.over_share {
            seen.push_back(a.at);
        }
    }
}
