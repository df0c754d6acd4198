//! How this sender's own recent calls ended.

use crate::ids::{DestinationHash, Micros, ZoneId};
use crate::note::Observation;
use std::collections::BTreeMap;

/// Older answers, and older reports of other senders, are no evidence of the present state of a zone.
pub const EVIDENCE_WINDOW: Micros = 3_000_000;
/// Answers are counted in buckets of this span within the window.
const BUCKET_SPAN: Micros = 500_000;
const BUCKETS: usize = (EVIDENCE_WINDOW / BUCKET_SPAN) as usize;
/// A failure that was followed by no answer counts for longer than the window: after a failure a sender makes
/// hardly any calls there, and its evidence must not expire for lack of calls. The probes of this crate come
/// sooner than this.
const FAILURE_MEMORY: Micros = 10_000_000;
/// The maximum number of pairs of zone and destination that are counted; a sender has few destinations, and
/// fewer zones. A further pair replaces the one that was observed least recently.
const MAX_PAIRS: usize = 512;

/// How a call ended, as far as it is evidence for the zone of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint answered, even if it refused the call: it is reachable.
    Answered,
    /// No connection, a reset, or a time-out.
    Failed,
}

#[derive(Debug, Default)]
struct Counts {
    /// The bucket that was last counted into, numbered from the origin of the clock.
    last_bucket: u64,
    /// The number of answers in each bucket.
    answered: [u32; BUCKETS],
    /// The number of failures since the last answer.
    failed: u32,
    /// When the last failure was recorded.
    failed_at: Micros,
}

impl Counts {
    /// Clears the buckets that have left the window.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.last_bucket).min(BUCKETS as u64);
        for n in 0..passed {
            let index = ((self.last_bucket + 1 + n) % BUCKETS as u64) as usize;
            self.answered[index] = 0;
        }
        self.last_bucket = self.last_bucket.max(bucket);
    }
}

/// All evidence within the window.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    pairs: BTreeMap<(ZoneId, DestinationHash), Counts>,
    /// When the current step of a zone began. Calls to the zone that began earlier are ignored.
    step_started_at: BTreeMap<ZoneId, Micros>,
}

impl Evidence {
    /// Discards the evidence for a zone. Only calls that begin from now on count for its new step.
    pub fn forget(&mut self, now: Micros, zone: ZoneId) {
        self.pairs.retain(|(pair_zone, _), _| *pair_zone != zone);
        self.step_started_at.insert(zone, now);
    }

    pub fn record_call(
        &mut self,
        now: Micros,
        began: Micros,
        zone: ZoneId,
        destination: DestinationHash,
        result: CallResult,
    ) {
        if self.step_started_at.get(&zone).is_some_and(|&started_at| began < started_at) {
            return;
        }
        if !self.pairs.contains_key(&(zone, destination)) && self.pairs.len() >= MAX_PAIRS {
            let oldest = self.pairs.iter().min_by_key(|(_, c)| c.last_bucket).map(|(&k, _)| k);
            oldest.map(|k| self.pairs.remove(&k));
        }
        let counts = self.pairs.entry((zone, destination)).or_default();
        let bucket = now / BUCKET_SPAN;
        counts.advance(bucket);
        // If the clock was stepped back, the call counts in the last bucket.
        let index = (counts.last_bucket % BUCKETS as u64) as usize;
        match result {
            CallResult::Answered => {
                counts.answered[index] = counts.answered[index].saturating_add(1);
                counts.failed = 0;
            }
            CallResult::Failed => {
                counts.failed = counts.failed.saturating_add(1);
                counts.failed_at = now;
            }
        }
    }

    /// Returns the current observations: for each pair the failures since the last answer, or the answers.
    /// The pairs with the most failures and those with the most answers alternate, so that a note that is
    /// truncated keeps some of both.
    pub fn observations(&mut self, now: Micros) -> Vec<Observation> {
        let saturated = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        for counts in self.pairs.values_mut() {
            counts.advance(now / BUCKET_SPAN);
            if now.saturating_sub(counts.failed_at) > FAILURE_MEMORY {
                counts.failed = 0;
            }
        }
        self.pairs.retain(|_, c| c.failed > 0 || c.answered.iter().any(|&n| n > 0));
        let observation = |(&(zone, destination), counts): (&(ZoneId, DestinationHash), &Counts)| {
            let answered = if counts.failed > 0 { 0 } else { counts.answered.iter().sum() };
            Observation { zone, destination, answered: saturated(answered), failed: saturated(counts.failed) }
        };
        let mut observations: Vec<Observation> = self.pairs.iter().map(observation).collect();
        observations.sort_by_key(|o| std::cmp::Reverse((o.failed, o.answered)));
        let (failed, answered): (Vec<Observation>, Vec<Observation>) =
            observations.into_iter().partition(|o| o.failed > 0);
        let longest = failed.len().max(answered.len());
        (0..longest).flat_map(|n| [failed.get(n), answered.get(n)]).flatten().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ZONE: ZoneId = ZoneId(1);

    #[test]
    fn a_failure_counts_until_an_answer_or_for_the_failure_memory_and_an_answer_for_the_window() {
        let mut evidence = Evidence::default();
        let first = |e: &mut Evidence, now| e.observations(now).first().map(|o| (o.answered, o.failed));
        evidence.record_call(0, 0, ZONE, DestinationHash(1), CallResult::Answered);
        evidence.record_call(0, 0, ZONE, DestinationHash(1), CallResult::Failed);
        assert_eq!(first(&mut evidence, 1), Some((0, 1)), "a failure resets the count of answers");
        assert_eq!(first(&mut evidence, FAILURE_MEMORY), Some((0, 1)));
        evidence.record_call(FAILURE_MEMORY, 0, ZONE, DestinationHash(1), CallResult::Failed);
        assert_eq!(first(&mut evidence, FAILURE_MEMORY + 1), Some((0, 2)));
        evidence.record_call(FAILURE_MEMORY + 2, 0, ZONE, DestinationHash(1), CallResult::Answered);
        assert_eq!(first(&mut evidence, FAILURE_MEMORY + 3), Some((1, 0)));
        assert_eq!(first(&mut evidence, FAILURE_MEMORY + 2 * EVIDENCE_WINDOW), None);
        evidence.record_call(2 * FAILURE_MEMORY, 0, ZONE, DestinationHash(1), CallResult::Failed);
        assert_eq!(first(&mut evidence, 3 * FAILURE_MEMORY + 1), None);
    }

    #[test]
    fn pairs_are_bounded_and_a_clock_that_is_stepped_back_is_tolerated() {
        let mut evidence = Evidence::default();
        for n in 0..2 * MAX_PAIRS as u32 {
            evidence.record_call(u64::from(n) * 10, 0, ZONE, DestinationHash(n), CallResult::Failed);
        }
        assert_eq!(evidence.pairs.len(), MAX_PAIRS);
        evidence.record_call(10 * EVIDENCE_WINDOW, 0, ZONE, DestinationHash(7), CallResult::Answered);
        evidence.record_call(EVIDENCE_WINDOW, 0, ZONE, DestinationHash(7), CallResult::Answered);
        assert_eq!(evidence.observations(10 * EVIDENCE_WINDOW)[0].answered, 2);
    }

    #[test]
    fn calls_that_began_before_a_step_are_no_evidence_for_it() {
        let mut evidence = Evidence::default();
        evidence.record_call(10, 5, ZONE, DestinationHash(1), CallResult::Failed);
        evidence.record_call(10, 5, ZoneId(2), DestinationHash(1), CallResult::Failed);
        evidence.forget(20, ZONE);
        evidence.record_call(30, 19, ZONE, DestinationHash(1), CallResult::Failed);
        assert_eq!(evidence.observations(30).iter().map(|o| o.zone).collect::<Vec<_>>(), [ZoneId(2)]);
        evidence.record_call(30, 20, ZONE, DestinationHash(1), CallResult::Answered);
        assert_eq!(evidence.observations(30).len(), 2);
    }

    #[test]
    fn truncated_observations_keep_some_failures_and_some_answers() {
        let mut evidence = Evidence::default();
        for n in 0..20 {
            evidence.record_call(
                0,
                0,
                ZONE,
                DestinationHash(n),
                if n < 15 { CallResult::Failed } else { CallResult::Answered },
            );
        }
        let first = &evidence.observations(1)[..6];
        assert_eq!(first.iter().filter(|o| o.failed > 0).count(), 3);
        assert_eq!(evidence.observations(1).len(), 20);
    }
}
