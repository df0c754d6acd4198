//! Which segment bytes go to, and which one gives way: decisions only.
//!
//! The recording as a whole never takes more than its limit. It is cut into segments, each of which can be
//! played by itself, and the oldest ones give way to new ones.

use std::collections::VecDeque;

/// A segment ends when it has this part of the limit: then so much of the past at least is kept.
const PART: u64 = 8;
/// But not before it is so many times as long as the state that it began with, so that states are a small
/// part of the whole; and at half of the limit in any case, so that the newest turns are never lost.
const STATES: u64 = 4;
const MOST: u64 = 2;

/// The segments that there are.
#[derive(Debug)]
pub struct Ring {
    limit: u64,
    /// Number and length, oldest first.
    segments: VecDeque<(u64, u64)>,
    next: u64,
    /// How long the last segment's beginning was.
    began: u64,
}

/// What is to be done for new bytes, in this order.
#[derive(Debug, PartialEq, Eq)]
pub struct Plan {
    /// These segments go.
    pub remove: Vec<u64>,
    /// The bytes go here.
    pub segment: u64,
}

/// The beginning of a segment is too long for the limit.
#[derive(Debug, PartialEq, Eq)]
pub struct LimitTooSmall {
    /// What would be needed, in bytes.
    pub needed: u64,
}

impl Ring {
    /// A ring with the segments that are there already, as number and length, oldest first.
    pub fn new(limit: u64, there: &[(u64, u64)]) -> Self {
        let next = there.last().map_or(0, |s| s.0 + 1);
        Self { limit, segments: there.iter().copied().collect(), next, began: 0 }
    }

    /// Bytes in all segments.
    pub fn size(&self) -> u64 {
        self.segments.iter().map(|s| s.1).sum()
    }

    /// The numbers of the segments, oldest first.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.segments.iter().map(|s| s.0)
    }

    /// Begins a segment with so many bytes.
    pub fn begin(&mut self, length: u64) -> Result<Plan, LimitTooSmall> {
        // Two beginnings and some turns must fit: the old segment goes only when the new one is there.
        if length > self.limit / MOST / 2 {
            return Err(LimitTooSmall { needed: length * MOST * 2 });
        }
        let remove = self.make_room(length);
        let segment = self.next;
        self.next += 1;
        self.began = length;
        self.segments.push_back((segment, length));
        Ok(Plan { remove, segment })
    }

    /// Whether so many bytes more call for a new segment.
    pub fn is_full(&self, length: u64) -> bool {
        let most = (self.limit / PART).max(STATES * self.began).min(self.limit / MOST);
        self.segments.back().is_none_or(|s| s.1 + length > most)
    }

    /// Adds bytes to the last segment.
    pub fn add(&mut self, length: u64) -> Result<Plan, LimitTooSmall> {
        // The last segment never gives way: what is added could not be played without its beginning.
        let last = self.segments.back().map_or(0, |s| s.1);
        if last + length > self.limit {
            return Err(LimitTooSmall { needed: last + length });
        }
        let remove = self.make_room(length);
        let last = self.segments.back_mut().ok_or(LimitTooSmall { needed: length })?;
        last.1 += length;
        Ok(Plan { remove, segment: last.0 })
    }

    fn make_room(&mut self, length: u64) -> Vec<u64> {
        let mut remove = Vec::new();
        while self.size() + length > self.limit {
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
    fn the_limit_is_kept_for_ever_and_the_newest_turns_stay() {
        // A day's turns in little room: 24 h at 200 turns a second, of 100 bytes or so.
        let mut ring = Ring::new(1 << 20, &[]);
        let mut rng = 7u64;
        ring.begin(2_000).expect("room");
        let mut most = 0;
        for _ in 0..24 * 3_600 * 200u64 {
            rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let length = 20 + (rng >> 33) % 180;
            if ring.is_full(length) {
                ring.begin(2_000).expect("room");
            }
            let plan = ring.add(length).expect("a segment");
            assert_eq!(Some(plan.segment), ring.segments.back().map(|s| s.0));
            most = most.max(ring.size());
        }
        assert!(most <= 1 << 20, "{most}");
        assert!(ring.size() >= (1 << 20) * 3 / 4, "much of the past is kept: {}", ring.size());
    }

    #[test]
    fn a_state_too_long_for_the_limit_is_said_with_what_it_needs() {
        let mut ring = Ring::new(1_000, &[]);
        assert_eq!(ring.begin(251), Err(LimitTooSmall { needed: 1_004 }));
        assert!(Ring::new(1_004, &[]).begin(251).is_ok());
    }

    #[test]
    fn what_an_earlier_process_left_counts_and_gives_way_first() {
        let mut ring = Ring::new(1_000, &[(3, 400), (4, 400)]);
        let plan = ring.begin(250).expect("room");
        assert_eq!(plan, Plan { remove: vec![3], segment: 5 });
        assert_eq!(ring.numbers().collect::<Vec<_>>(), [4, 5]);
    }
}
