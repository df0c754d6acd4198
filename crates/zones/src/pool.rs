//! The newest word of each sender.

use crate::course::Course;
use crate::evidence::WINDOW;
use crate::names::{Micros, Place, Zone};
use crate::note::{Report, Seen, Taken};
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
    over: Vec<u32>,
    /// When it came.
    pub at: Micros,
    pub report: Report,
}

/// One writer's word, as it is weighed: its own senders' as well as others'.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word<'a> {
    pub from: Place,
    pub stands: Zone,
    pub courses: &'a [Taken],
    pub seen: &'a [Seen],
}

impl Word<'_> {
    /// How far its sender has left a zone.
    pub fn taken(&self, zone: Zone) -> Taken {
        let never = Taken { zone, course: Course::default(), failed: 0 };
        self.courses.iter().find(|t| t.zone == zone).copied().unwrap_or(never)
    }
}

/// The newest word of each sender.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    known: BTreeMap<Place, Known>,
}

impl Pool {
    /// Takes a sender's report in. The same reports in any order, any number of times, give the same pool,
    /// but for when each seems to have come.
    pub fn merge(&mut self, now: Micros, from: Place, report: Report) -> Merged {
        let Some(known) = self.known.get_mut(&from) else {
            if self.known.len() >= SENDERS {
                let oldest = self.known.iter().min_by_key(|(_, k)| k.at).map(|(&p, _)| p);
                oldest.map(|p| self.known.remove(&p));
            }
            self.known.insert(from, Known { over: Vec::new(), at: now, report });
            return Merged::News;
        };
        if known.over.contains(&report.life) {
            return Merged::Over;
        }
        let last = &known.report;
        if report.life == last.life {
            if report.number < last.number {
                return Merged::Old;
            }
            if report.number == last.number {
                return if report == *last { Merged::Old } else { Merged::Odd };
            }
        } else {
            known.over.push(last.life);
            let more = known.over.len().saturating_sub(LIVES);
            known.over.drain(..more);
        }
        (known.at, known.report) = (now, report);
        Merged::News
    }

    /// What was heard within the window.
    pub(crate) fn fresh(&self, now: Micros) -> impl Iterator<Item = Word<'_>> {
        let fresh = move |k: &&Known| now.saturating_sub(k.at) <= WINDOW;
        self.known.iter().filter(move |(_, k)| fresh(k)).map(|(&from, k)| {
            let Report { stands, courses, seen, .. } = &k.report;
            Word { from, stands: *stands, courses, seen }
        })
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

    fn report(life: u32, number: u32, failed: u8) -> Report {
        let seen = vec![Seen { zone: Zone(1), dest: Dest(1), answered: 1, failed }];
        Report { stands: Zone(2), life, number, courses: Vec::new(), seen }
    }

    fn failed(pool: &Pool, now: Micros) -> Vec<u8> {
        pool.fresh(now).map(|w| w.seen[0].failed).collect()
    }

    #[test]
    fn in_any_order_and_doubled_the_same_words_give_the_same_pool() {
        let words: Vec<(Place, Report)> =
            (0..5).flat_map(|from| (1..6).map(move |n| (Place(from), report(7, n, n as u8)))).collect();
        let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
        let last = |order: &[(Place, Report)]| {
            let mut pool = Pool::default();
            for (from, r) in order {
                pool.merge(9, *from, r.clone());
            }
            failed(&pool, 9)
        };
        let first = last(&words);
        assert_eq!(first, [5; 5]);
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
        let one = Place(1);
        assert_eq!(pool.merge(0, one, report(7, 5, 1)), Merged::News);
        assert_eq!(pool.merge(0, one, report(7, 4, 9)), Merged::Old);
        assert_eq!(pool.merge(0, one, report(7, 5, 1)), Merged::Old);
        assert_eq!(pool.merge(0, one, report(7, 5, 9)), Merged::Odd);
        assert_eq!(pool.merge(0, one, report(8, 1, 2)), Merged::News, "a restart");
        assert_eq!(pool.merge(0, one, report(7, 99, 9)), Merged::Over);
        assert_eq!(failed(&pool, 0), [2]);
        assert!(failed(&pool, WINDOW + 1).is_empty(), "what is old does not count");
        for from in 0..3_000 {
            pool.merge(Micros::from(from), Place(from), report(1, 1, 1));
        }
        assert_eq!(pool.len(), SENDERS);
    }
}
