//! Senders in virtual time, the notes between them, and endpoints that are down, cold, or pushed over.
#![allow(dead_code)]

use notchpoint_zones::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// Whether a call from a sender to a destination's endpoint in a zone fails.
pub type Fails = dyn Fn(usize, usize, u32) -> bool;

pub fn zone(n: usize) -> Zone {
    Zone::named(&format!("z{n}"))
}

pub fn nothing(_: usize, _: usize, _: u32) -> bool {
    false
}

pub fn z1(_: usize, z: usize, _: u32) -> bool {
    z == 1
}

pub const COLD: Cold = Cold { start: 0.17, span: 9_200_000, over: 2.0 };

pub fn pace() -> Pace {
    Pace::new(COLD)
}

/// Endpoints are judged over so long.
const TIP: Micros = 2 * S;

/// How a sender sends to one zone.
#[derive(Clone, Copy)]
struct Lean {
    share: f64,
    credit: f64,
    /// Destinations that it may still try, whatever the share.
    tries: u64,
    /// Destinations that are sent as if nothing had been said.
    spared: u64,
}

pub struct Fleet {
    pub senders: Vec<Zones>,
    sets: Vec<Set>,
    leans: Vec<BTreeMap<usize, Lean>>,
    /// Zones by number: a sender stands in its own number's.
    zones: usize,
    listed: Vec<usize>,
    dests: u32,
    pub now: Micros,
    rng: Pcg64,
    /// Notes under way.
    way: Vec<(Micros, usize, usize, Vec<u8>)>,
    pub lost: f64,
    pub late: Micros,
    /// Notes and trials so far, calls that failed, and all.
    pub notes: usize,
    pub tries: usize,
    pub failed: usize,
    pub calls: usize,
    /// Calls by zone.
    pub called: Vec<usize>,
    /// Calls that each sender makes a second.
    pub rate: f64,
    /// Senders call no zone but their own, but while their endpoint there rests.
    pub own_only: bool,
    /// By sender, zone and destination: failures in a row, and until when the endpoint is passed over. So the
    /// module does, for itself.
    rests: BTreeMap<(usize, usize, u32), (u32, Micros)>,
    /// Who cannot write to whom.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub said: Vec<(Micros, usize, Event)>,
    /// Since when a zone is back, and the calls to each of its endpoints within the last while.
    back: BTreeMap<usize, Micros>,
    got: BTreeMap<(usize, u32), Vec<Micros>>,
    pub pushed_over: usize,
    starts: u64,
    /// Who sends its clients elsewhere.
    pub give_way: Vec<bool>,
}

impl Fleet {
    pub fn new(seed: u64, n: usize, zones: usize) -> Self {
        Self::with(seed, n, zones, Some(pace()))
    }

    pub fn watching(seed: u64, n: usize, zones: usize) -> Self {
        Self::with(seed, n, zones, None)
    }

    fn with(seed: u64, n: usize, zones: usize, pace: Option<Pace>) -> Self {
        let set = |i: usize| Set {
            place: Place(i as u32),
            fleet: n as u32,
            stands: zone(i % zones),
            writes: true,
            rules: Rules { senders: 3.min(n), ..Rules::default() },
            pace: pace.clone(),
            pinned: BTreeMap::new(),
        };
        let sets: Vec<Set> = (0..n).map(set).collect();
        let begin = |(i, s): (usize, &Set)| Zones::new(s.clone(), seed.wrapping_mul(1_000) + i as u64, 0);
        let mut fleet = Self {
            senders: sets.iter().enumerate().map(begin).collect(),
            sets,
            leans: vec![BTreeMap::new(); n],
            zones,
            listed: Vec::new(),
            dests: 6,
            now: 0,
            rng: Pcg64::seed_from_u64(seed),
            way: Vec::new(),
            lost: 0.1,
            late: 50 * MS,
            notes: 0,
            tries: 0,
            failed: 0,
            calls: 0,
            called: vec![0; zones],
            rate: 20.0,
            own_only: false,
            rests: BTreeMap::new(),
            cut: Box::new(|_, _| false),
            said: Vec::new(),
            back: BTreeMap::new(),
            got: BTreeMap::new(),
            pushed_over: 0,
            starts: 0,
            give_way: vec![false; n],
        };
        fleet.list(&(0..zones).collect::<Vec<_>>());
        fleet
    }

    /// Zones that the list names from now on.
    pub fn list(&mut self, zones: &[usize]) {
        self.listed = zones.to_vec();
        for s in &mut self.senders {
            s.list(zones.iter().map(|&z| zone(z)).collect());
        }
    }

    /// A new process in a sender's place.
    pub fn restart(&mut self, i: usize) {
        self.starts += 1;
        self.senders[i] = Zones::new(self.sets[i].clone(), 990_000 + self.starts, self.now);
        self.senders[i].list(self.listed.iter().map(|&z| zone(z)).collect());
        self.leans[i].clear();
    }

    /// A zone's endpoints are cold from now on.
    pub fn come_back(&mut self, z: usize) {
        self.back.insert(z, self.now);
    }

    pub fn run(&mut self, how_long: Micros, fails: &Fails) {
        let until = self.now + how_long;
        while self.now < until {
            self.now += 10 * MS;
            let now = self.now;
            let due: Vec<_> = self.way.extract_if(.., |w| w.0 <= now).collect();
            for (_, to, from, body) in due {
                self.hear(to, from, &body);
            }
            for i in 0..self.senders.len() {
                if self.rng.random_bool((self.rate / 100.0).min(1.0)) {
                    let dest = self.rng.random_range(0..self.dests);
                    if let Some(z) = self.choose(i, dest) {
                        let over = self.push(z, dest);
                        self.called[z] += 1;
                        let came = if fails(i, z, dest) || over { Came::Failed } else { Came::Answered };
                        (self.calls, self.failed) =
                            (self.calls + 1, self.failed + usize::from(came == Came::Failed));
                        if came == Came::Failed {
                            let (fails, until) = self.rests.entry((i, z, dest)).or_default();
                            *until = now + (S << (*fails).min(3));
                            *fails += 1;
                        } else {
                            self.rests.remove(&(i, z, dest));
                        }
                        self.senders[i].observe(now, now, zone(z), Dest(dest), came);
                    }
                }
                let mut out = Vec::new();
                self.senders[i].tick(now, &mut out);
                self.carry_out(i, out);
            }
        }
    }

    /// Where a message of a sender goes: to a zone that is tried, to one that has credit, or to any whole
    /// one.
    fn choose(&mut self, i: usize, dest: u32) -> Option<usize> {
        let part = 1.0 / self.listed.len().max(1) as f64;
        for lean in self.leans[i].values_mut() {
            lean.credit = (lean.credit + lean.share * part).min(1.0);
        }
        let listed = self.listed.clone();
        for &z in &listed {
            let Some(lean) = self.leans[i].get_mut(&z) else { continue };
            if lean.tries & (1 << dest) > 0 {
                lean.tries &= !(1 << dest);
                self.tries += 1;
                return Some(z);
            }
            if lean.share < 1.0 && lean.credit >= 1.0 && lean.spared & (1 << dest) == 0 {
                lean.credit -= 1.0;
                return Some(z);
            }
        }
        let whole =
            |z: &usize| self.leans[i].get(z).is_none_or(|l| l.share >= 1.0 || l.spared & (1 << dest) > 0);
        let mut open: Vec<usize> = listed.into_iter().filter(whole).collect();
        // A rest is a preference: where all rest, one of them is called.
        let rested = |z: &usize| self.rests.get(&(i, *z, dest)).is_none_or(|r| r.1 <= self.now);
        if open.iter().any(rested) {
            open.retain(rested);
        }
        let own = i % self.zones;
        if self.own_only && open.contains(&own) {
            return Some(own);
        }
        (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
    }

    /// A call to an endpoint. Whether that is pushed over by it.
    fn push(&mut self, z: usize, dest: u32) -> bool {
        let Some(&back) = self.back.get(&z) else { return false };
        let got = self.got.entry((z, dest)).or_default();
        got.push(self.now);
        got.retain(|&t| t + TIP > self.now);
        // What it can do when warm is taken to be what would come in for it.
        let whole = self.rate * self.senders.len() as f64 / (self.dests as usize * self.zones) as f64;
        let warm = ((self.now - back) as f64 / COLD.span as f64).min(1.0);
        let bears = whole * TIP as f64 / S as f64 * COLD.over * (COLD.start + (1.0 - COLD.start) * warm);
        let over = got.len() as f64 > bears + 3.0 * bears.sqrt() + 3.0;
        self.pushed_over += usize::from(over);
        over
    }

    pub fn hear(&mut self, to: usize, from: usize, body: &[u8]) {
        let mut out = Vec::new();
        assert!(self.senders[to].heard(self.now, Place(from as u32), body, &mut out));
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, i: usize, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send(Place(to), body) => {
                    assert!(body.len() <= LONGEST && to as usize != i);
                    self.notes += 1;
                    let to = to as usize;
                    if !self.rng.random_bool(self.lost) && !(self.cut)(i, to) {
                        let at = self.now + self.rng.random_range(MS..self.late.max(2 * MS));
                        self.way.push((at, to, i, body));
                    }
                }
                Output::Lean { zone: at, share, tries, spared } => {
                    let z = (0..self.zones).find(|&z| zone(z) == at).expect("a zone");
                    let credit = self.rng.random_range(0.0..1.0);
                    let lean =
                        self.leans[i].entry(z).or_insert(Lean { share: 1.0, credit, tries: 0, spared: 0 });
                    lean.share = share;
                    lean.spared = spared.iter().map(|d| 1 << d.0).sum();
                    if tries {
                        lean.tries = (1 << self.dests) - 1;
                    } else {
                        lean.tries = 0;
                    }
                }
                Output::GiveWay(wanted) => self.give_way[i] = wanted,
                Output::Say(event) => self.said.push((self.now, i, event)),
            }
        }
    }

    pub fn share(&self, i: usize, z: usize) -> f64 {
        self.senders[i].share(zone(z))
    }

    pub fn course(&self, i: usize, z: usize) -> Course {
        self.senders[i].stands().get(&zone(z)).map_or(Course::default(), |s| s.course)
    }

    /// How many senders do not give a zone its whole share.
    pub fn left(&self, z: usize) -> usize {
        (0..self.senders.len()).filter(|&i| self.share(i, z) < 1.0).count()
    }

    /// The terms that senders have of a zone.
    pub fn terms(&self, z: usize) -> BTreeSet<u32> {
        (0..self.senders.len()).map(|i| self.course(i, z).term).collect()
    }

    /// How many senders find it failing.
    pub fn finding(&self, z: usize) -> usize {
        let failing = |i: &usize| {
            let stand = self.senders[*i].stands().get(&zone(z));
            stand.is_some_and(|s| s.standing == Standing::Failing)
        };
        (0..self.senders.len()).filter(failing).count()
    }
}
