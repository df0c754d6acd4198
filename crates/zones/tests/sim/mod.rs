//! Simulates a fleet in virtual time: senders, the notes between them, and endpoints that are down, cold, or
//! overloaded.
//!
//! `i` is the index of a sender, and `z` that of a zone.

#![allow(dead_code)]

use notchpoint_zones::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// Returns whether a call of a sender to the endpoint of a destination in a zone fails.
pub type Fails = dyn Fn(usize, usize, u32) -> bool;

pub fn zone(n: usize) -> ZoneId {
    ZoneId::from_name(&format!("z{n}"))
}

pub fn none_fails(_: usize, _: usize, _: u32) -> bool {
    false
}

pub fn zone_1_fails(_: usize, z: usize, _: u32) -> bool {
    z == 1
}

pub const COLD_START: ColdStart = ColdStart { initial_share: 0.17, warm_up: 9_200_000, overload_factor: 2.0 };

pub fn return_schedule() -> ReturnSchedule {
    ReturnSchedule::new(COLD_START)
}

/// The span over which the load of an endpoint is measured.
const LOAD_SPAN: Micros = 2 * S;

/// How a sender routes calls to one zone.
#[derive(Clone, Copy)]
struct Routing {
    /// The share of its traffic that the zone receives.
    share: f64,
    /// A call may go to the zone once this is 1, and takes 1 from it. Each message of the sender adds the
    /// share times the part of the messages that falls to one zone.
    credit: f64,
    /// Destinations that are still to be probed regardless of the share, as a bit set.
    probes: u64,
    /// Destinations whose calls are not reduced, as a bit set.
    exempt: u64,
}

pub struct Fleet {
    pub senders: Vec<ZoneStateMachine>,
    configs: Vec<ZonesConfig>,
    routing: Vec<BTreeMap<usize, Routing>>,
    /// The number of zones. Sender n runs in zone n modulo this number.
    zones: usize,
    listed: Vec<usize>,
    destinations: u32,
    pub now: Micros,
    rng: Pcg64,
    /// Notes in transit: arrival time, receiver, sender, body.
    in_transit: Vec<(Micros, usize, usize, Vec<u8>)>,
    /// The share of notes that is lost.
    pub loss: f64,
    /// The maximum latency of the other notes.
    pub max_latency: Micros,
    /// The number of notes sent so far.
    pub notes: usize,
    /// The number of probes sent so far.
    pub probes: usize,
    /// The number of calls that failed.
    pub failed: usize,
    /// The number of all calls.
    pub calls: usize,
    /// The number of calls by zone.
    pub calls_by_zone: Vec<usize>,
    /// The number of calls that each sender makes per second.
    pub rate: f64,
    /// Senders call only their own zone, except while their endpoint there is in backoff.
    pub own_zone_only: bool,
    /// By sender, zone and destination: the number of failures in a row, and when the backoff of the endpoint
    /// ends. The decision module keeps the same backoff.
    backoff: BTreeMap<(usize, usize, u32), (u32, Micros)>,
    /// Returns whether the network is cut from the first sender to the second.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    pub events: Vec<(Micros, usize, Event)>,
    /// By zone: when it recovered.
    recovered_at: BTreeMap<usize, Micros>,
    /// By zone and destination: when calls were made within the load span.
    recent_calls: BTreeMap<(usize, u32), Vec<Micros>>,
    /// The number of calls that overloaded an endpoint.
    pub overloads: usize,
    restarts: u64,
    /// Whether each sender redirects its clients to other zones.
    pub redirects_clients: Vec<bool>,
}

impl Fleet {
    pub fn new(seed: u64, n: usize, zones: usize) -> Self {
        Self::with(seed, n, zones, Some(return_schedule()))
    }

    pub fn watching(seed: u64, n: usize, zones: usize) -> Self {
        Self::with(seed, n, zones, None)
    }

    fn with(seed: u64, n: usize, zones: usize, return_schedule: Option<ReturnSchedule>) -> Self {
        let config = |i: usize| ZonesConfig {
            sender: SenderId(i as u32),
            fleet_size: n as u32,
            own_zone: zone(i % zones),
            can_send: true,
            thresholds: FailureThresholds { senders: 3.min(n), ..FailureThresholds::default() },
            return_schedule: return_schedule.clone(),
            pinned: BTreeMap::new(),
        };
        let configs: Vec<ZonesConfig> = (0..n).map(config).collect();
        let start = |(i, c): (usize, &ZonesConfig)| {
            ZoneStateMachine::new(c.clone(), seed.wrapping_mul(1_000) + i as u64, 0)
        };
        let mut fleet = Self {
            senders: configs.iter().enumerate().map(start).collect(),
            configs,
            routing: vec![BTreeMap::new(); n],
            zones,
            listed: Vec::new(),
            destinations: 6,
            now: 0,
            rng: Pcg64::seed_from_u64(seed),
            in_transit: Vec::new(),
            loss: 0.1,
            max_latency: 50 * MS,
            notes: 0,
            probes: 0,
            failed: 0,
            calls: 0,
            calls_by_zone: vec![0; zones],
            rate: 20.0,
            own_zone_only: false,
            backoff: BTreeMap::new(),
            is_cut: Box::new(|_, _| false),
            events: Vec::new(),
            recovered_at: BTreeMap::new(),
            recent_calls: BTreeMap::new(),
            overloads: 0,
            restarts: 0,
            redirects_clients: vec![false; n],
        };
        fleet.set_listed_zones(&(0..zones).collect::<Vec<_>>());
        fleet
    }

    /// Sets the zones that the endpoint list names from now on.
    pub fn set_listed_zones(&mut self, zones: &[usize]) {
        self.listed = zones.to_vec();
        for sender in &mut self.senders {
            sender.set_listed_zones(zones.iter().map(|&z| zone(z)).collect());
        }
    }

    /// Replaces a sender by a new process.
    pub fn restart(&mut self, i: usize) {
        self.restarts += 1;
        self.senders[i] = ZoneStateMachine::new(self.configs[i].clone(), 990_000 + self.restarts, self.now);
        self.senders[i].set_listed_zones(self.listed.iter().map(|&z| zone(z)).collect());
        self.routing[i].clear();
    }

    /// Makes the endpoints of a zone cold from now on.
    pub fn recover_cold(&mut self, z: usize) {
        self.recovered_at.insert(z, self.now);
    }

    pub fn run(&mut self, duration: Micros, fails: &Fails) {
        let until = self.now + duration;
        while self.now < until {
            self.now += 10 * MS;
            let now = self.now;
            let due: Vec<_> = self.in_transit.extract_if(.., |note| note.0 <= now).collect();
            for (_, to, from, body) in due {
                self.receive_note(to, from, &body);
            }
            for i in 0..self.senders.len() {
                if self.rng.random_bool((self.rate / 100.0).min(1.0)) {
                    let destination = self.rng.random_range(0..self.destinations);
                    if let Some(z) = self.choose_zone(i, destination) {
                        let is_overloaded = self.call_endpoint(z, destination);
                        self.calls_by_zone[z] += 1;
                        let result = if fails(i, z, destination) || is_overloaded {
                            CallResult::Failed
                        } else {
                            CallResult::Answered
                        };
                        (self.calls, self.failed) =
                            (self.calls + 1, self.failed + usize::from(result == CallResult::Failed));
                        if result == CallResult::Failed {
                            let (failures, until) = self.backoff.entry((i, z, destination)).or_default();
                            *until = now + (S << (*failures).min(3));
                            *failures += 1;
                        } else {
                            self.backoff.remove(&(i, z, destination));
                        }
                        self.senders[i].record_call(now, now, zone(z), DestinationHash(destination), result);
                    }
                }
                let mut out = Vec::new();
                self.senders[i].tick(now, &mut out);
                self.carry_out(i, out);
            }
        }
    }

    /// Chooses the zone for a message of a sender: one that is probed, one that has credit, or any that
    /// receives its full share.
    fn choose_zone(&mut self, i: usize, destination: u32) -> Option<usize> {
        let part = 1.0 / self.listed.len().max(1) as f64;
        for routing in self.routing[i].values_mut() {
            routing.credit = (routing.credit + routing.share * part).min(1.0);
        }
        let listed = self.listed.clone();
        for &z in &listed {
            let Some(routing) = self.routing[i].get_mut(&z) else { continue };
            if routing.probes & (1 << destination) > 0 {
                routing.probes &= !(1 << destination);
                self.probes += 1;
                return Some(z);
            }
            if routing.share < 1.0 && routing.credit >= 1.0 && routing.exempt & (1 << destination) == 0 {
                routing.credit -= 1.0;
                return Some(z);
            }
        }
        let is_full = |z: &usize| {
            self.routing[i].get(z).is_none_or(|r| r.share >= 1.0 || r.exempt & (1 << destination) > 0)
        };
        let mut open: Vec<usize> = listed.into_iter().filter(is_full).collect();
        // Backoff is a preference: if all endpoints are in backoff, one of them is called.
        let is_available =
            |z: &usize| self.backoff.get(&(i, *z, destination)).is_none_or(|backoff| backoff.1 <= self.now);
        if open.iter().any(is_available) {
            open.retain(is_available);
        }
        let own_zone = i % self.zones;
        if self.own_zone_only && open.contains(&own_zone) {
            return Some(own_zone);
        }
        (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
    }

    /// Adds a call to the load of an endpoint. Returns whether that overloads it.
    fn call_endpoint(&mut self, z: usize, destination: u32) -> bool {
        let Some(&recovered_at) = self.recovered_at.get(&z) else { return false };
        let calls = self.recent_calls.entry((z, destination)).or_default();
        calls.push(self.now);
        calls.retain(|&called_at| called_at + LOAD_SPAN > self.now);
        // The capacity of a warm endpoint is taken to be its even share of all calls.
        let capacity =
            self.rate * self.senders.len() as f64 / (self.destinations as usize * self.zones) as f64;
        let warmth = ((self.now - recovered_at) as f64 / COLD_START.warm_up as f64).min(1.0);
        let sustained = capacity * LOAD_SPAN as f64 / S as f64
            * COLD_START.overload_factor
            * (COLD_START.initial_share + (1.0 - COLD_START.initial_share) * warmth);
        let is_overloaded = calls.len() as f64 > sustained + 3.0 * sustained.sqrt() + 3.0;
        self.overloads += usize::from(is_overloaded);
        is_overloaded
    }

    pub fn receive_note(&mut self, to: usize, from: usize, body: &[u8]) {
        let mut out = Vec::new();
        assert!(self.senders[to].receive_note(self.now, SenderId(from as u32), body, &mut out));
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, i: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(SenderId(to), body) => {
                    assert!(body.len() <= MAX_NOTE_BYTES && to as usize != i);
                    self.notes += 1;
                    let to = to as usize;
                    if !self.rng.random_bool(self.loss) && !(self.is_cut)(i, to) {
                        let arrives_at = self.now + self.rng.random_range(MS..self.max_latency.max(2 * MS));
                        self.in_transit.push((arrives_at, to, i, body));
                    }
                }
                Output::SetShare { zone: id, share, probe, exempt } => {
                    let z = (0..self.zones).find(|&z| zone(z) == id).expect("a known zone");
                    let credit = self.rng.random_range(0.0..1.0);
                    let routing = self.routing[i].entry(z).or_insert(Routing {
                        share: 1.0,
                        credit,
                        probes: 0,
                        exempt: 0,
                    });
                    routing.share = share;
                    routing.exempt = exempt.iter().map(|d| 1 << d.0).sum();
                    if probe {
                        routing.probes = (1 << self.destinations) - 1;
                    } else {
                        routing.probes = 0;
                    }
                }
                Output::RedirectClients(redirects) => self.redirects_clients[i] = redirects,
                Output::Log(event) => self.events.push((self.now, i, event)),
            }
        }
    }

    pub fn share(&self, i: usize, z: usize) -> f64 {
        self.senders[i].share(zone(z))
    }

    pub fn evacuation(&self, i: usize, z: usize) -> EvacuationState {
        self.senders[i].statuses().get(&zone(z)).map_or(EvacuationState::default(), |s| s.evacuation)
    }

    /// Returns how many senders do not give a zone its full share.
    pub fn evacuated_by(&self, z: usize) -> usize {
        (0..self.senders.len()).filter(|&i| self.share(i, z) < 1.0).count()
    }

    /// Returns the terms that the senders have for a zone.
    pub fn terms(&self, z: usize) -> BTreeSet<u32> {
        (0..self.senders.len()).map(|i| self.evacuation(i, z).term).collect()
    }

    /// Returns how many senders find a zone failing.
    pub fn found_failing_by(&self, z: usize) -> usize {
        let is_failing = |i: &usize| {
            let status = self.senders[*i].statuses().get(&zone(z));
            status.is_some_and(|s| s.health == Health::Failing)
        };
        (0..self.senders.len()).filter(is_failing).count()
    }
}
