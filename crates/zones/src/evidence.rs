//! What this sender's own calls came to of late.

use crate::ids::{DestinationHash, Micros, ZoneId};
use crate::note::Observation;
use std::collections::BTreeMap;

/// Answers that are older say nothing of now, and so do others' words.
pub const EVIDENCE_WINDOW: Micros = 3_000_000;
/// Answers are counted by so much of it.
const BUCKET_SPAN: Micros = 500_000;
const BUCKETS: usize = (EVIDENCE_WINDOW / BUCKET_SPAN) as usize;
/// A failure that nothing was answered since counts for longer: after one, a sender hardly calls there any
/// more, and what it saw must not be forgotten for that. The module's own trials come sooner.
const FAILURE_MEMORY: Micros = 10_000_000;
/// Pairs of zone and destination that are counted: a sender has few destinations, and fewer zones. Beyond,
/// the pair that was not seen for longest gives way.
const MAX_PAIRS: usize = 512;

/// What a call came to, as far as it tells of its endpoint's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered, be it with a refusal: somebody is there.
    Answered,
    /// No connection, a reset, or silence.
    Failed,
}

#[derive(Debug, Default)]
struct Counts {
    /// The bucket that was counted into last, by number since the clock's zero.
    last: u64,
    answered: [u32; BUCKETS],
    /// Failures since the last answer, and when the last one was.
    failed: u32,
    failed_at: Micros,
}

impl Counts {
    /// Empties what has left the window.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.last).min(BUCKETS as u64);
        for n in 0..passed {
            let at = ((self.last + 1 + n) % BUCKETS as u64) as usize;
            self.answered[at] = 0;
        }
        self.last = self.last.max(bucket);
    }
}

/// All that was seen in the window.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    pairs: BTreeMap<(ZoneId, DestinationHash), Counts>,
    /// Calls of a zone that began before this moment say nothing any more: a step began then.
    since: BTreeMap<ZoneId, Micros>,
}

impl Evidence {
    /// A new step of a zone begins: only what begins from now on says anything of it.
    pub fn forget(&mut self, now: Micros, zone: ZoneId) {
        self.pairs.retain(|(z, _), _| *z != zone);
        self.since.insert(zone, now);
    }

    pub fn observe(
        &mut self,
        now: Micros,
        began: Micros,
        zone: ZoneId,
        dest: DestinationHash,
        came: CallResult,
    ) {
        if self.since.get(&zone).is_some_and(|&s| began < s) {
            return;
        }
        if !self.pairs.contains_key(&(zone, dest)) && self.pairs.len() >= MAX_PAIRS {
            let oldest = self.pairs.iter().min_by_key(|(_, c)| c.last).map(|(&k, _)| k);
            oldest.map(|k| self.pairs.remove(&k));
        }
        let counts = self.pairs.entry((zone, dest)).or_default();
        let bucket = now / BUCKET_SPAN;
        counts.advance(bucket);
        // A clock that was stepped back counts where it was before.
        let at = (counts.last % BUCKETS as u64) as usize;
        match came {
            CallResult::Answered => {
                counts.answered[at] = counts.answered[at].saturating_add(1);
                counts.failed = 0;
            }
            CallResult::Failed => {
                counts.failed = counts.failed.saturating_add(1);
                counts.failed_at = now;
            }
        }
    }

    /// What counts now: the failures since the last answer, or the answers. What failed most and what was
    /// answered most take turns, so that what is cut off at the end leaves some of both.
    pub fn seen(&mut self, now: Micros) -> Vec<Observation> {
        let short = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        for counts in self.pairs.values_mut() {
            counts.advance(now / BUCKET_SPAN);
            if now.saturating_sub(counts.failed_at) > FAILURE_MEMORY {
                counts.failed = 0;
            }
        }
        self.pairs.retain(|_, c| c.failed > 0 || c.answered.iter().any(|&n| n > 0));
        let seen = |(&(zone, dest), c): (&(ZoneId, DestinationHash), &Counts)| {
            let answered = if c.failed > 0 { 0 } else { c.answered.iter().sum() };
            Observation { zone, destination: dest, answered: short(answered), failed: short(c.failed) }
        };
        let mut seen: Vec<Observation> = self.pairs.iter().map(seen).collect();
        seen.sort_by_key(|s| std::cmp::Reverse((s.failed, s.answered)));
        let (failed, answered): (Vec<Observation>, Vec<Observation>) =
            seen.into_iter().partition(|s| s.failed > 0);
        let longest = failed.len().max(answered.len());
        (0..longest).flat_map(|n| [failed.get(n), answered.get(n)]).flatten().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const Z: ZoneId = ZoneId(1);

    #[test]
    fn a_failure_counts_until_an_answer_or_for_long_and_answers_for_the_window() {
        let mut e = Evidence::default();
        let counts = |e: &mut Evidence, now| e.seen(now).first().map(|s| (s.answered, s.failed));
        e.observe(0, 0, Z, DestinationHash(1), CallResult::Answered);
        e.observe(0, 0, Z, DestinationHash(1), CallResult::Failed);
        assert_eq!(counts(&mut e, 1), Some((0, 1)), "it stays away from now on");
        assert_eq!(counts(&mut e, FAILURE_MEMORY), Some((0, 1)));
        e.observe(FAILURE_MEMORY, 0, Z, DestinationHash(1), CallResult::Failed);
        assert_eq!(counts(&mut e, FAILURE_MEMORY + 1), Some((0, 2)));
        e.observe(FAILURE_MEMORY + 2, 0, Z, DestinationHash(1), CallResult::Answered);
        assert_eq!(counts(&mut e, FAILURE_MEMORY + 3), Some((1, 0)));
        assert_eq!(counts(&mut e, FAILURE_MEMORY + 2 * EVIDENCE_WINDOW), None);
        e.observe(2 * FAILURE_MEMORY, 0, Z, DestinationHash(1), CallResult::Failed);
        assert_eq!(counts(&mut e, 3 * FAILURE_MEMORY + 1), None);
    }

    #[test]
    fn pairs_are_bounded_and_a_clock_stepped_back_is_borne() {
        let mut e = Evidence::default();
        for n in 0..2 * MAX_PAIRS as u32 {
            e.observe(u64::from(n) * 10, 0, Z, DestinationHash(n), CallResult::Failed);
        }
        assert_eq!(e.pairs.len(), MAX_PAIRS);
        e.observe(10 * EVIDENCE_WINDOW, 0, Z, DestinationHash(7), CallResult::Answered);
        e.observe(EVIDENCE_WINDOW, 0, Z, DestinationHash(7), CallResult::Answered);
        assert_eq!(e.seen(10 * EVIDENCE_WINDOW)[0].answered, 2);
    }

    #[test]
    fn calls_that_began_before_a_step_say_nothing_of_it() {
        let mut e = Evidence::default();
        e.observe(10, 5, Z, DestinationHash(1), CallResult::Failed);
        e.observe(10, 5, ZoneId(2), DestinationHash(1), CallResult::Failed);
        e.forget(20, Z);
        e.observe(30, 19, Z, DestinationHash(1), CallResult::Failed);
        assert_eq!(e.seen(30).iter().map(|s| s.zone).collect::<Vec<_>>(), [ZoneId(2)]);
        e.observe(30, 20, Z, DestinationHash(1), CallResult::Answered);
        assert_eq!(e.seen(30).len(), 2);
    }

    #[test]
    fn what_is_cut_off_leaves_some_that_failed_and_some_that_were_answered() {
        let mut e = Evidence::default();
        for n in 0..20 {
            e.observe(
                0,
                0,
                Z,
                DestinationHash(n),
                if n < 15 { CallResult::Failed } else { CallResult::Answered },
            );
        }
        let first = &e.seen(1)[..6];
        assert_eq!(first.iter().filter(|s| s.failed > 0).count(), 3);
        assert_eq!(e.seen(1).len(), 20);
    }
}
