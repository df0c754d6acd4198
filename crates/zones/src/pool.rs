//! The newest report of each sender.

use crate::evacuation::EvacuationState;
use crate::evidence::EVIDENCE_WINDOW;
use crate::ids::{Micros, SenderId, ZoneId};
use crate::note::{Observation, Report, ZoneEvacuation};
use std::collections::BTreeMap;

/// The maximum number of senders whose report is kept; fleets have hundreds. A further sender replaces the
/// one whose report is oldest.
const MAX_SENDERS: usize = 1_024;
/// The maximum number of ended incarnations that are remembered for each sender.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// The result of merging a report into the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The report is the newest of its sender and was taken in.
    Accepted,
    /// The same report or a newer one was received before.
    Stale,
    /// The report comes from an incarnation that another one has replaced.
    EndedIncarnation,
    /// The report differs from an earlier one with the same sequence number. The first one counts.
    Contradictory,
}

/// The newest report of a sender.
#[derive(Clone, Debug)]
pub(crate) struct PoolEntry {
    ended_incarnations: Vec<u32>,
    /// When the report was received.
    pub received_at: Micros,
    pub report: Report,
}

/// A report as it is assessed: this sender's own as well as those of others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportView<'a> {
    pub from: SenderId,
    pub sender_zone: ZoneId,
    pub evacuations: &'a [ZoneEvacuation],
    pub observations: &'a [Observation],
}

impl ReportView<'_> {
    /// Returns how far the sender has evacuated a zone.
    pub fn evacuation(&self, zone: ZoneId) -> ZoneEvacuation {
        let never = ZoneEvacuation { zone, state: EvacuationState::default(), consecutive_failures: 0 };
        self.evacuations.iter().find(|e| e.zone == zone).copied().unwrap_or(never)
    }
}

/// The newest report of each sender.
#[derive(Clone, Debug, Default)]
pub struct ReportPool {
    entries: BTreeMap<SenderId, PoolEntry>,
}

impl ReportPool {
    /// Merges a sender's report. The same reports in any order, any number of times, give the same pool,
    /// except for the times at which they were received.
    pub fn merge(&mut self, now: Micros, from: SenderId, report: Report) -> MergeResult {
        let Some(entry) = self.entries.get_mut(&from) else {
            if self.entries.len() >= MAX_SENDERS {
                let oldest = self.entries.iter().min_by_key(|(_, e)| e.received_at).map(|(&id, _)| id);
                oldest.map(|id| self.entries.remove(&id));
            }
            self.entries.insert(from, PoolEntry { ended_incarnations: Vec::new(), received_at: now, report });
            return MergeResult::Accepted;
        };
        if entry.ended_incarnations.contains(&report.incarnation) {
            return MergeResult::EndedIncarnation;
        }
        let last = &entry.report;
        if report.incarnation == last.incarnation {
            if report.sequence < last.sequence {
                return MergeResult::Stale;
            }
            if report.sequence == last.sequence {
                return if report == *last { MergeResult::Stale } else { MergeResult::Contradictory };
            }
        } else {
            entry.ended_incarnations.push(last.incarnation);
            let excess = entry.ended_incarnations.len().saturating_sub(MAX_ENDED_INCARNATIONS);
            entry.ended_incarnations.drain(..excess);
        }
        (entry.received_at, entry.report) = (now, report);
        MergeResult::Accepted
    }

    /// Returns the reports that were received within the evidence window.
    pub(crate) fn fresh(&self, now: Micros) -> impl Iterator<Item = ReportView<'_>> {
        let is_fresh = move |e: &&PoolEntry| now.saturating_sub(e.received_at) <= EVIDENCE_WINDOW;
        self.entries.iter().filter(move |(_, e)| is_fresh(e)).map(|(&from, e)| {
            let Report { sender_zone, evacuations, observations, .. } = &e.report;
            ReportView { from, sender_zone: *sender_zone, evacuations, observations }
        })
    }

    /// Returns the number of senders with a report.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no report.
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

    fn report(incarnation: u32, sequence: u32, failed: u8) -> Report {
        let observations =
            vec![Observation { zone: ZoneId(1), destination: DestinationHash(1), answered: 1, failed }];
        Report { sender_zone: ZoneId(2), incarnation, sequence, evacuations: Vec::new(), observations }
    }

    fn failed_counts(pool: &ReportPool, now: Micros) -> Vec<u8> {
        pool.fresh(now).map(|r| r.observations[0].failed).collect()
    }

    #[test]
    fn the_same_reports_in_any_order_and_duplicated_give_the_same_pool() {
        let reports: Vec<(SenderId, Report)> =
            (0..5).flat_map(|from| (1..6).map(move |n| (SenderId(from), report(7, n, n as u8)))).collect();
        let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
        let merged = |order: &[(SenderId, Report)]| {
            let mut pool = ReportPool::default();
            for (from, report) in order {
                pool.merge(9, *from, report.clone());
            }
            failed_counts(&pool, 9)
        };
        let expected = merged(&reports);
        assert_eq!(expected, [5; 5]);
        for _ in 0..100 {
            let mut order = reports.clone();
            order.extend(reports.iter().filter(|_| rng.random_bool(0.5)).cloned().collect::<Vec<_>>());
            order.shuffle(&mut rng);
            assert_eq!(merged(&order), expected);
        }
    }

    #[test]
    fn stale_and_contradictory_reports_and_those_of_ended_incarnations_are_rejected() {
        let mut pool = ReportPool::default();
        let sender = SenderId(1);
        assert_eq!(pool.merge(0, sender, report(7, 5, 1)), MergeResult::Accepted);
        assert_eq!(pool.merge(0, sender, report(7, 4, 9)), MergeResult::Stale);
        assert_eq!(pool.merge(0, sender, report(7, 5, 1)), MergeResult::Stale);
        assert_eq!(pool.merge(0, sender, report(7, 5, 9)), MergeResult::Contradictory);
        assert_eq!(pool.merge(0, sender, report(8, 1, 2)), MergeResult::Accepted, "a restart");
        assert_eq!(pool.merge(0, sender, report(7, 99, 9)), MergeResult::EndedIncarnation);
        assert_eq!(failed_counts(&pool, 0), [2]);
        assert!(failed_counts(&pool, EVIDENCE_WINDOW + 1).is_empty(), "old reports do not count");
        for from in 0..3_000 {
            pool.merge(Micros::from(from), SenderId(from), report(1, 1, 1));
        }
        assert_eq!(pool.len(), MAX_SENDERS);
    }
}
