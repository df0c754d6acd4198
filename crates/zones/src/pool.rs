//! The newest word of each sender.

use crate::evacuation::EvacuationState;
use crate::evidence::EVIDENCE_WINDOW;
use crate::ids::{Micros, SenderId, ZoneId};
use crate::note::{Observation, Report, ZoneEvacuation};
use std::collections::BTreeMap;

/// Senders whose word is kept: a fleet of hundreds. Beyond, the one whose word is oldest gives way.
const MAX_SENDERS: usize = 1_024;
/// Lives of a sender that are remembered as over.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// It is the newest of its sender.
    Accepted,
    /// It was known, or one after it is.
    Stale,
    /// It is of a process that another one has taken the place of.
    EndedIncarnation,
    /// It contradicts what its sender wrote under the same number: the first one counts.
    Contradictory,
}

/// The newest word of a sender.
#[derive(Clone, Debug)]
pub(crate) struct PoolEntry {
    ended_incarnations: Vec<u32>,
    /// When it came.
    pub received_at: Micros,
    pub report: Report,
}

/// One writer's word, as it is weighed: its own senders' as well as others'.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportView<'a> {
    pub from: SenderId,
    pub sender_zone: ZoneId,
    pub evacuations: &'a [ZoneEvacuation],
    pub observations: &'a [Observation],
}

impl ReportView<'_> {
    /// How far its sender has left a zone.
    pub fn evacuation(&self, zone: ZoneId) -> ZoneEvacuation {
        let never = ZoneEvacuation { zone, state: EvacuationState::default(), consecutive_failures: 0 };
        self.evacuations.iter().find(|t| t.zone == zone).copied().unwrap_or(never)
    }
}

/// The newest word of each sender.
#[derive(Clone, Debug, Default)]
pub struct ReportPool {
    entries: BTreeMap<SenderId, PoolEntry>,
}

impl ReportPool {
    /// Takes a sender's report in. The same reports in any order, any number of times, give the same pool,
    /// but for when each seems to have come.
    pub fn merge(&mut self, now: Micros, from: SenderId, report: Report) -> MergeResult {
        let Some(known) = self.entries.get_mut(&from) else {
            if self.entries.len() >= MAX_SENDERS {
                let oldest = self.entries.iter().min_by_key(|(_, k)| k.received_at).map(|(&p, _)| p);
                oldest.map(|p| self.entries.remove(&p));
            }
            self.entries.insert(from, PoolEntry { ended_incarnations: Vec::new(), received_at: now, report });
            return MergeResult::Accepted;
        };
        if known.ended_incarnations.contains(&report.incarnation) {
            return MergeResult::EndedIncarnation;
        }
        let last = &known.report;
        if report.incarnation == last.incarnation {
            if report.sequence < last.sequence {
                return MergeResult::Stale;
            }
            if report.sequence == last.sequence {
                return if report == *last { MergeResult::Stale } else { MergeResult::Contradictory };
            }
        } else {
            known.ended_incarnations.push(last.incarnation);
            let more = known.ended_incarnations.len().saturating_sub(MAX_ENDED_INCARNATIONS);
            known.ended_incarnations.drain(..more);
        }
        (known.received_at, known.report) = (now, report);
        MergeResult::Accepted
    }

    /// What was heard within the window.
    pub(crate) fn fresh(&self, now: Micros) -> impl Iterator<Item = ReportView<'_>> {
        let fresh = move |k: &&PoolEntry| now.saturating_sub(k.received_at) <= EVIDENCE_WINDOW;
        self.entries.iter().filter(move |(_, k)| fresh(k)).map(|(&from, k)| {
            let Report { sender_zone: stands, evacuations: courses, observations: seen, .. } = &k.report;
            ReportView { from, sender_zone: *stands, evacuations: courses, observations: seen }
        })
    }

    /// Senders that are known of.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::DestinationHash;
    use rand::seq::SliceRandom;
    use rand::{Rng, SeedableRng};

    fn report(life: u32, number: u32, failed: u8) -> Report {
        let seen =
            vec![Observation { zone: ZoneId(1), destination: DestinationHash(1), answered: 1, failed }];
        Report {
            sender_zone: ZoneId(2),
            incarnation: life,
            sequence: number,
            evacuations: Vec::new(),
            observations: seen,
        }
    }

    fn failed(pool: &ReportPool, now: Micros) -> Vec<u8> {
        pool.fresh(now).map(|w| w.observations[0].failed).collect()
    }

    #[test]
    fn in_any_order_and_doubled_the_same_words_give_the_same_pool() {
        let words: Vec<(SenderId, Report)> =
            (0..5).flat_map(|from| (1..6).map(move |n| (SenderId(from), report(7, n, n as u8)))).collect();
        let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
        let last = |order: &[(SenderId, Report)]| {
            let mut pool = ReportPool::default();
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
        let mut pool = ReportPool::default();
        let one = SenderId(1);
        assert_eq!(pool.merge(0, one, report(7, 5, 1)), MergeResult::Accepted);
        assert_eq!(pool.merge(0, one, report(7, 4, 9)), MergeResult::Stale);
        assert_eq!(pool.merge(0, one, report(7, 5, 1)), MergeResult::Stale);
        assert_eq!(pool.merge(0, one, report(7, 5, 9)), MergeResult::Contradictory);
        assert_eq!(pool.merge(0, one, report(8, 1, 2)), MergeResult::Accepted, "a restart");
        assert_eq!(pool.merge(0, one, report(7, 99, 9)), MergeResult::EndedIncarnation);
        assert_eq!(failed(&pool, 0), [2]);
        assert!(failed(&pool, EVIDENCE_WINDOW + 1).is_empty(), "what is old does not count");
        for from in 0..3_000 {
            pool.merge(Micros::from(from), SenderId(from), report(1, 1, 1));
        }
        assert_eq!(pool.len(), MAX_SENDERS);
    }
}
