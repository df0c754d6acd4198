//! A fleet in virtual time: what each sender finds while zones fail, senders lose their links, and notes are
//! lost, late, doubled, or wrong.

use notchpoint_zones::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// Whether a call from a sender to a destination's endpoint in a zone fails.
type Fails = dyn Fn(usize, usize, u32) -> bool;

struct Fleet {
    senders: Vec<Zones>,
    /// Zones by number: a sender stands in its own number's.
    zones: usize,
    dests: u32,
    now: Micros,
    rng: Pcg64,
    /// Notes under way.
    way: Vec<(Micros, usize, Vec<u8>)>,
    lost: f64,
    late: Micros,
    /// Notes and failing calls so far.
    notes: usize,
    bytes: usize,
    /// Calls that each sender makes a second.
    rate: f64,
    /// Who cannot write to whom.
    cut: Box<dyn Fn(usize, usize) -> bool>,
    said: Vec<(Micros, usize, Event)>,
}

fn zone(n: usize) -> Zone {
    Zone::named(&format!("z{n}"))
}

impl Fleet {
    fn new(seed: u64, n: usize, zones: usize) -> Self {
        let set = |i: usize| Set {
            me: Peer(i as u64),
            stands: zone(i % zones),
            others: n - 1,
            rules: Rules { senders: 3.min(n), ..Rules::default() },
        };
        Self {
            senders: (0..n).map(|i| Zones::new(set(i), seed.wrapping_mul(1_000) + i as u64, 0)).collect(),
            zones,
            dests: 6,
            now: 0,
            rng: Pcg64::seed_from_u64(seed),
            way: Vec::new(),
            lost: 0.1,
            late: 50 * MS,
            notes: 0,
            bytes: 0,
            rate: 20.0,
            cut: Box::new(|_, _| false),
            said: Vec::new(),
        }
    }

    fn run(&mut self, how_long: Micros, fails: &Fails) {
        let until = self.now + how_long;
        while self.now < until {
            self.now += 10 * MS;
            let now = self.now;
            let due: Vec<(usize, Vec<u8>)> =
                self.way.extract_if(.., |w| w.0 <= now).map(|w| (w.1, w.2)).collect();
            for (to, body) in due {
                self.hear(to, &body);
            }
            for i in 0..self.senders.len() {
                if self.rng.random_bool((self.rate / 100.0).min(1.0)) {
                    let (z, d) = (self.rng.random_range(0..self.zones), self.rng.random_range(0..self.dests));
                    let came = if fails(i, z, d) { Came::Failed } else { Came::Answered };
                    self.senders[i].observe(now, zone(z), Dest(d), came);
                }
                let mut out = Vec::new();
                self.senders[i].tick(now, &mut out);
                self.carry_out(i, out);
            }
        }
    }

    fn hear(&mut self, to: usize, body: &[u8]) {
        let mut out = Vec::new();
        assert!(self.senders[to].heard(self.now, body, &mut out));
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, i: usize, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send(place, body) => {
                    assert!(body.len() <= LONGEST);
                    (self.notes, self.bytes) = (self.notes + 1, self.bytes + body.len());
                    let to = if place < i { place } else { place + 1 };
                    if !self.rng.random_bool(self.lost) && !(self.cut)(i, to) {
                        let at = self.now + self.rng.random_range(MS..self.late.max(2 * MS));
                        self.way.push((at, to, body));
                    }
                }
                Output::Say(event) => self.said.push((self.now, i, event)),
            }
        }
    }

    fn standing(&self, i: usize, z: usize) -> Standing {
        self.senders[i].stands().get(&zone(z)).map_or(Standing::Serving, |s| s.standing)
    }

    /// How many senders find it failing.
    fn finding(&self, z: usize) -> usize {
        (0..self.senders.len()).filter(|&i| self.standing(i, z) == Standing::Failing).count()
    }
}

fn nothing(_: usize, _: usize, _: u32) -> bool {
    false
}

fn z1(_: usize, z: usize, _: u32) -> bool {
    z == 1
}

#[test]
fn a_zone_that_fails_is_found_failing_by_all_and_no_other_and_serving_again_when_it_is_back() {
    for (seed, n) in [(1, 6), (2, 12), (3, 40), (4, 120)] {
        let mut fleet = Fleet::new(seed, n, 3);
        fleet.run(5 * S, &nothing);
        assert_eq!((fleet.finding(0), fleet.finding(1), fleet.finding(2)), (0, 0, 0));
        fleet.run(6 * S, &z1);
        assert_eq!((fleet.finding(0), fleet.finding(1), fleet.finding(2)), (0, n, 0), "{n} senders");
        fleet.run(12 * S, &nothing);
        assert_eq!(fleet.finding(1), 0, "{n} senders");
    }
}

#[test]
fn a_senders_own_link_one_destination_or_one_senders_word_leaves_nothing() {
    let found = |fails: &Fails| {
        let mut fleet = Fleet::new(5, 9, 3);
        fleet.run(5 * S, &nothing);
        let mut most = 0;
        for _ in 0..20 {
            fleet.run(S / 2, fails);
            most = most.max((0..3).map(|z| fleet.finding(z)).sum());
        }
        most
    };
    assert_eq!(found(&|i, _, _| i == 0), 0, "everything fails from one");
    assert_eq!(found(&|i, z, _| i == 0 && z == 1), 0, "one sender's way to a zone");
    assert_eq!(found(&|_, z, d| z == 1 && d == 2), 0, "one destination");
    assert_eq!(found(&|_, _, _| true), 0, "everything fails for all: never all left");
    assert_eq!(found(&|i, z, d| z == 1 && d < 2 && i < 4), 0, "two of six destinations, for some");
}

#[test]
fn a_cut_between_two_zones_that_both_live_leaves_neither() {
    // z0 and z1 do not reach each other, and z2 reaches both.
    let cut = |i: usize, z: usize, _: u32| (i % 3, z) == (0, 1) || (i % 3, z) == (1, 0);
    let mut fleet = Fleet::new(6, 12, 3);
    fleet.cut = Box::new(|a, b| (a % 3, b % 3) == (0, 1) || (a % 3, b % 3) == (1, 0));
    fleet.run(5 * S, &nothing);
    for _ in 0..20 {
        fleet.run(S / 2, &cut);
        assert_eq!((fleet.finding(0), fleet.finding(1), fleet.finding(2)), (0, 0, 0));
    }
}

#[test]
fn notes_all_lost_leave_nothing_and_a_sender_that_hears_nobody_doubts_itself() {
    let mut fleet = Fleet::new(7, 9, 3);
    fleet.lost = 1.0;
    fleet.run(20 * S, &z1);
    assert_eq!(fleet.finding(1), 0);
    assert!(fleet.senders.iter().all(Zones::is_alone));
    assert!(fleet.said.iter().all(|s| matches!(s.2, Event::Alone(_) | Event::Stands { .. })));
}

#[test]
fn a_sender_that_is_cut_off_keeps_what_it_had_found() {
    let mut fleet = Fleet::new(12, 9, 3);
    fleet.run(5 * S, &nothing);
    fleet.run(6 * S, &z1);
    assert_eq!(fleet.finding(1), 9);
    fleet.cut = Box::new(|a, b| a == 0 || b == 0);
    // The zone is back, and n0 reaches nobody.
    fleet.run(20 * S, &|i, _, _| i == 0);
    assert!(fleet.senders[0].is_alone());
    assert_eq!((fleet.standing(0, 1), fleet.finding(1)), (Standing::Failing, 1));
    fleet.cut = Box::new(|_, _| false);
    fleet.run(10 * S, &nothing);
    assert_eq!(fleet.finding(1), 0);
}

#[test]
fn late_notes_and_a_third_of_senders_starting_anew_change_nothing_of_what_is_found() {
    let mut fleet = Fleet::new(8, 30, 3);
    (fleet.lost, fleet.late) = (0.4, 1_500 * MS);
    fleet.run(5 * S, &nothing);
    fleet.run(S, &z1);
    for i in (0..30).step_by(3) {
        let set = Set { me: Peer(i), stands: zone(i as usize % 3), others: 29, rules: Rules::default() };
        fleet.senders[i as usize] = Zones::new(set, 99 + i, fleet.now);
    }
    fleet.run(10 * S, &z1);
    assert_eq!((fleet.finding(0), fleet.finding(1), fleet.finding(2)), (0, 30, 0));
}

#[test]
fn one_that_lies_replays_or_contradicts_itself_is_bounded_and_said_once() {
    let mut fleet = Fleet::new(9, 9, 3);
    fleet.run(5 * S, &nothing);
    let seen = |failed| -> Vec<Seen> {
        (0..6).map(|d| Seen { zone: zone(1), dest: Dest(d), answered: 1, failed }).collect()
    };
    let lie = |number, failed| {
        let (from, stands) = (Peer(8), zone(2));
        write(&[Report { from, stands, life: 1, number, age: 0, seen: seen(failed) }])
    };
    for n in 0..100 {
        for to in 0..8 {
            // The same number with other counts, again and again; old ones; new ones.
            for body in [lie(n, 255), lie(n, 254), lie(n / 2, 255)] {
                fleet.hear(to, &body);
            }
        }
        fleet.run(100 * MS, &nothing);
    }
    assert_eq!(fleet.finding(1), 0, "one sender is not three");
    let odd: Vec<usize> = fleet.said.iter().filter(|s| s.2 == Event::Odd(Peer(8))).map(|s| s.1).collect();
    assert_eq!(odd.len(), odd.iter().collect::<BTreeSet<_>>().len(), "said once by each");
}

#[test]
fn what_each_sender_writes_does_not_grow_with_the_fleet() {
    let a_second = |n: usize, fails: &Fails| {
        let mut fleet = Fleet::new(10, n, 3);
        fleet.run(4 * S, &nothing);
        fleet.notes = 0;
        fleet.run(4 * S, fails);
        fleet.notes as f64 / (n * 4) as f64
    };
    let (rest, trouble): (Vec<f64>, Vec<f64>) =
        [6, 30, 150].map(|n| (a_second(n, &nothing), a_second(n, &z1))).into_iter().unzip();
    assert!(rest.iter().all(|r| (0.4..0.6).contains(r)), "{rest:?}");
    assert!(trouble.iter().all(|r| (5.0..=6.5).contains(r)), "{trouble:?}");
}

#[test]
fn no_zones_two_senders_and_one_find_nothing_alone() {
    for n in [1, 2] {
        let mut fleet = Fleet::new(11, n, 1);
        fleet.run(10 * S, &|_, _, _| true);
        assert_eq!(fleet.finding(0), 0, "{n}");
    }
}
