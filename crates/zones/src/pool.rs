//! The newest word of each sender.

use crate::evidence::WINDOW;
use crate::names::{Micros, Peer, Zone};
use crate::note::{Report, Seen};
use std::collections::BTreeMap;

/// Senders whose word is kept: a fleet of hundreds. Beyond, the one whose word is oldest gives way.
const SENDERS: usize = 1_024;
/// Lives of a sender that are remembered as over.
const LIVES: usize = 4;

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It is the newest of its sender.
    News,
    /// It was known, or one after it is.
    Old,
    /// It is of a process that another one has taken the place of.
    Over,
    /// It contradicts what its sender wrote under the same number: the first one counts.
    Odd,
}

/// The newest word of a sender.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    life: u32,
    over: Vec<u32>,
    number: u32,
    pub stands: Zone,
    /// When it was written, by the clock here.
    pub at: Micros,
    pub seen: Vec<Seen>,
}

/// The newest word of each sender.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    known: BTreeMap<Peer, Known>,
}

impl Pool {
    /// Takes a report in. The same reports in any order, any number of times, give the same pool, but for how
    /// old each seems.
    pub fn merge(&mut self, now: Micros, report: Report) -> Merged {
        let at = now.saturating_sub(report.aged());
        let Report { from, stands, life, number, seen, .. } = report;
        let Some(known) = self.known.get_mut(&from) else {
            if self.known.len() >= SENDERS {
                let oldest = self.known.iter().min_by_key(|(_, k)| k.at).map(|(&p, _)| p);
                oldest.map(|p| self.known.remove(&p));
            }
            self.known.insert(from, Known { life, over: Vec::new(), number, stands, at, seen });
            return Merged::News;
        };
        if known.over.contains(&life) {
            return Merged::Over;
        }
        if life == known.life {
            if number < known.number {
                return Merged::Old;
            }
            if number == known.number {
                // It may have been cut to fit; what is in both has to agree.
                let agrees =
                    |s: &Seen| known.seen.iter().all(|k| (k.zone, k.dest) != (s.zone, s.dest) || k == s);
                let same = stands == known.stands && seen.iter().all(agrees);
                if same && seen.len() > known.seen.len() {
                    known.seen = seen;
                }
                return if same { Merged::Old } else { Merged::Odd };
            }
        } else {
            known.over.push(std::mem::replace(&mut known.life, life));
            let more = known.over.len().saturating_sub(LIVES);
            known.over.drain(..more);
        }
        (known.number, known.stands, known.at, known.seen) = (number, stands, at, seen);
        Merged::News
    }

    /// What was written within the window, newest first.
    pub(crate) fn fresh(&self, now: Micros) -> Vec<(Peer, &Known)> {
        let fresh = |k: &&Known| now.saturating_sub(k.at) <= WINDOW;
        let mut all: Vec<_> = self.known.iter().filter(|(_, k)| fresh(k)).map(|(&p, k)| (p, k)).collect();
        all.sort_by_key(|(p, k)| (std::cmp::Reverse(k.at), *p));
        all
    }

    /// The same as reports, to be passed on.
    pub(crate) fn reports(&self, now: Micros) -> Vec<Report> {
        let report = |(from, k): (Peer, &Known)| {
            let (stands, life, number, seen) = (k.stands, k.life, k.number, k.seen.clone());
            Report { from, stands, life, number, age: 0, seen }.at_age(now.saturating_sub(k.at))
        };
        self.fresh(now).into_iter().map(report).collect()
    }

    /// Senders that are known of.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::Dest;
    use rand::seq::SliceRandom;
    use rand::{Rng, SeedableRng};

    fn report(from: u64, life: u32, number: u32, failed: u8) -> Report {
        let seen = vec![Seen { zone: Zone(1), dest: Dest(1), answered: 1, failed }];
        Report { from: Peer(from), stands: Zone(2), life, number, age: 0, seen }
    }

    #[test]
    fn in_any_order_and_doubled_the_same_words_give_the_same_pool() {
        let words: Vec<Report> =
            (0..5).flat_map(|from| (1..6).map(move |n| report(from, 7, n, n as u8))).collect();
        let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
        let last = |order: &[Report]| {
            let mut pool = Pool::default();
            for r in order {
                pool.merge(9, r.clone());
            }
            pool.reports(9)
        };
        let first = last(&words);
        for _ in 0..100 {
            let mut order = words.clone();
            order.extend(words.iter().filter(|_| rng.random_bool(0.5)).cloned().collect::<Vec<_>>());
            order.shuffle(&mut rng);
            assert_eq!(last(&order), first);
        }
    }

    #[test]
    fn old_words_contradictions_and_lives_that_are_over_are_turned_down() {
        let mut pool = Pool::default();
        assert_eq!(pool.merge(0, report(1, 7, 5, 1)), Merged::News);
        assert_eq!(pool.merge(0, report(1, 7, 4, 9)), Merged::Old);
        assert_eq!(pool.merge(0, report(1, 7, 5, 9)), Merged::Odd);
        assert_eq!(pool.merge(0, report(1, 8, 1, 2)), Merged::News, "a restart");
        assert_eq!(pool.merge(0, report(1, 7, 99, 9)), Merged::Over);
        assert_eq!(pool.reports(0)[0].seen[0].failed, 2);
        assert!(pool.reports(WINDOW + 1).is_empty(), "what is old is not passed on");
        for from in 0..3_000 {
            pool.merge(from, report(from, 1, 1, 1));
        }
        assert_eq!(pool.len(), SENDERS);
    }
}
