//! Decides which segment bytes go to, and which segments to remove.
//!
//! The recording never exceeds its limit. It is divided into segments, each of which can be replayed on its
//! own, and the oldest segments are removed to make space for new ones.

use std::collections::VecDeque;

/// A segment is full once its length is the limit divided by this. At least the rest of the limit then holds
/// earlier turns.
const SEGMENTS_PER_LIMIT: u64 = 8;
/// But a segment becomes at least this many times as long as the state that it begins with, so that states
/// are only a small part of the recording.
const MIN_LEN_IN_STATES: u64 = 4;
/// In any case a segment is full once its length is the limit divided by this, so that the newest turns are
/// never lost.
const MAX_LEN_DIVISOR: u64 = 2;

/// The segments of a recording.
#[derive(Debug)]
pub struct Ring {
    limit_bytes: u64,
    /// The number and length of each segment, oldest first.
    segments: VecDeque<(u64, u64)>,
    next_number: u64,
    /// The length of the last segment's beginning, which holds the state.
    beginning_len: u64,
}

/// What to do with new bytes, in this order.
#[derive(Debug, PartialEq, Eq)]
pub struct Plan {
    /// The segments to remove.
    pub remove: Vec<u64>,
    /// The segment that the bytes are written to.
    pub segment: u64,
}

/// The beginning of a segment is too long for the limit.
#[derive(Debug, PartialEq, Eq)]
pub struct LimitTooSmall {
    /// The limit that would be needed, in bytes.
    pub needed: u64,
}

impl Ring {
    /// Creates a ring with the existing segments: their numbers and lengths, oldest first.
    pub fn new(limit: u64, existing: &[(u64, u64)]) -> Self {
        let next_number = existing.last().map_or(0, |s| s.0 + 1);
        Self {
            limit_bytes: limit,
            segments: existing.iter().copied().collect(),
            next_number,
            beginning_len: 0,
        }
    }

    /// Returns the number of bytes in all segments.
    pub fn size(&self) -> u64 {
        self.segments.iter().map(|s| s.1).sum()
    }

    /// Returns the numbers of the segments, oldest first.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.segments.iter().map(|s| s.0)
    }

    /// Begins a segment with this number of bytes.
    pub fn begin(&mut self, length: u64) -> Result<Plan, LimitTooSmall> {
        // Two beginnings and some turns must fit: the old segment is only removed when the new one exists.
        if length > self.limit_bytes / MAX_LEN_DIVISOR / 2 {
            return Err(LimitTooSmall { needed: length * MAX_LEN_DIVISOR * 2 });
        }
        let remove = self.make_space(length);
        let segment = self.next_number;
        self.next_number += 1;
        self.beginning_len = length;
        self.segments.push_back((segment, length));
        Ok(Plan { remove, segment })
    }

    /// Returns whether a new segment is needed before this number of bytes is added.
    pub fn is_full(&self, length: u64) -> bool {
        let max_len = (self.limit_bytes / SEGMENTS_PER_LIMIT)
            .max(MIN_LEN_IN_STATES * self.beginning_len)
            .min(self.limit_bytes / MAX_LEN_DIVISOR);
        self.segments.back().is_none_or(|s| s.1 + length > max_len)
    }

    /// Adds bytes to the last segment.
    pub fn add(&mut self, length: u64) -> Result<Plan, LimitTooSmall> {
        // The last segment is never removed: the added bytes could not be replayed without its beginning.
        let last_len = self.segments.back().map_or(0, |s| s.1);
        if last_len + length > self.limit_bytes {
            return Err(LimitTooSmall { needed: last_len + length });
        }
        let remove = self.make_space(length);
        let last = self.segments.back_mut().ok_or(LimitTooSmall { needed: length })?;
        last.1 += length;
        Ok(Plan { remove, segment: last.0 })
    }

    fn make_space(&mut self, length: u64) -> Vec<u64> {
        let mut remove = Vec::new();
        while self.size() + length > self.limit_bytes {
            let Some((number, _)) = self.segments.pop_front() else { break };
            remove.push(number);
        }
        remove
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn size_never_exceeds_the_limit_and_the_newest_turns_are_kept() {
        // The turns of one day with a small limit: 24 h at 200 turns per second of about 100 bytes each.
        let mut ring = Ring::new(1 << 20, &[]);
        let mut rng = 7u64;
        ring.begin(2_000).expect("the state fits into the limit");
        let mut max_size = 0;
        for _ in 0..24 * 3_600 * 200u64 {
            rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let length = 20 + (rng >> 33) % 180;
            if ring.is_full(length) {
                ring.begin(2_000).expect("the state fits into the limit");
            }
            let plan = ring.add(length).expect("the turn fits into the limit");
            assert_eq!(Some(plan.segment), ring.segments.back().map(|s| s.0));
            max_size = max_size.max(ring.size());
        }
        assert!(max_size <= 1 << 20, "{max_size}");
        assert!(ring.size() >= (1 << 20) * 3 / 4, "most of the space holds earlier turns: {}", ring.size());
    }

    #[test]
    fn state_too_long_for_the_limit_is_refused_with_the_needed_limit() {
        let mut ring = Ring::new(1_000, &[]);
        assert_eq!(ring.begin(251), Err(LimitTooSmall { needed: 1_004 }));
        assert!(Ring::new(1_004, &[]).begin(251).is_ok());
    }

    #[test]
    fn segments_of_an_earlier_process_count_and_are_removed_first() {
        let mut ring = Ring::new(1_000, &[(3, 400), (4, 400)]);
        let plan = ring.begin(250).expect("the state fits into the limit");
        assert_eq!(plan, Plan { remove: vec![3], segment: 5 });
        assert_eq!(ring.numbers().collect::<Vec<_>>(), [4, 5]);
    }
}
