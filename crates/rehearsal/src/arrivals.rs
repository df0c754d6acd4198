//! Generates the arrivals of a run. They depend only on scenario and seed, not on what happens to the
//! messages.

use crate::client::mix;
use crate::scenario::{Scenario, Traffic};
use notchpoint_emulator::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// An order that a client creates.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the order is created.
    pub at: Micros,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the destination.
    pub destination: usize,
    /// Size of the body in bytes.
    pub body: usize,
    /// Whether it exceeds its tenant's allowance.
    pub over_share: bool,
}

/// Returns all arrivals of a run in the order of time.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (n, traffic) in scenario.traffic.iter().enumerate() {
        add_traffic(scenario, traffic.get_ref(), mix(seed, 1_000 + n as u64), &mut all);
    }
    all.extend(scenario.trace.iter().map(|entry| Arrival {
        at: (entry.at_s * 1e6) as Micros,
        class: entry.class,
        tenant: entry.tenant,
        destination: entry.destination,
        body: entry.body,
        over_share: false,
    }));
    all.sort_by_key(|arrival| arrival.at);
    mark_over_share(scenario, &mut all);
    all
}

fn add_traffic(scenario: &Scenario, traffic: &Traffic, seed: u64, all: &mut Vec<Arrival>) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let class = scenario.class.iter().position(|c| c.get_ref().name == traffic.class).unwrap_or(0);
    let named = |name: &String| scenario.tenant.iter().position(|x| x.get_ref().name == *name);
    let tenant = traffic.tenant.as_ref().and_then(named).unwrap_or(0);
    let destinations = scenario.select(None, traffic.partner.as_deref(), traffic.destination);
    let (from, until) = (traffic.from_s, traffic.to_s.unwrap_or(scenario.duration_s));
    let mut add = |at: f64, random: &mut Pcg64Mcg| {
        let destination = destinations[random.random_range(0..destinations.len())];
        let at = (at * 1e6) as Micros;
        all.push(Arrival { at, class, tenant, destination, body: traffic.body, over_share: false });
    };
    if let Some(count) = traffic.count {
        let step = (until - from) / f64::from(count);
        (0..count).for_each(|n| add(from + step * f64::from(n), &mut random));
    }
    if let Some(gaps) = traffic.rate_per_s.and_then(|rate| Exp::new(rate).ok()) {
        let mut at = from + gaps.sample(&mut random);
        while at < until {
            add(at, &mut random);
            at += gaps.sample(&mut random);
        }
    }
}

/// Marks arrivals that exceed their tenant's allowance, counted over the preceding second.
fn mark_over_share(scenario: &Scenario, all: &mut [Arrival]) {
    let mut recent: BTreeMap<usize, VecDeque<Micros>> = BTreeMap::new();
    for arrival in all {
        let Some(allowance) = scenario.tenant.get(arrival.tenant).and_then(|t| t.get_ref().allowance_per_s)
        else {
            continue;
        };
        let seen = recent.entry(arrival.tenant).or_default();
        while seen.front().is_some_and(|&t| t + 1_000_000 <= arrival.at) {
            seen.pop_front();
        }
        arrival.over_share = seen.len() as f64 >= allowance;
        if !arrival.over_share {
            seen.push_back(arrival.at);
        }
    }
}
