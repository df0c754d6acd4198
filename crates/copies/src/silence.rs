//! When somebody who speaks at a beat counts as gone. That decides when something is tried, and nothing
//! else: being wrong costs frames.

use crate::names::Micros;
use notchpoint_limits::Latency;

/// So many times the usual gap is no usual gap any more.
const TIMES: f64 = 3.0;

/// One who is listened to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silence {
    last: Micros,
    gaps: Latency,
}

impl Silence {
    pub fn begin(now: Micros) -> Self {
        Self { last: now, gaps: Latency::default() }
    }

    pub fn heard(&mut self, now: Micros) {
        self.gaps.observe(now.saturating_sub(self.last).max(1));
        self.last = now;
    }

    /// Who listens was not there itself: what it did not hear means nothing.
    pub fn excuse(&mut self, now: Micros) {
        self.last = now;
    }

    /// Silent for longer than is usual, and than `floor`.
    pub fn is_gone(&self, now: Micros, floor: Micros) -> bool {
        let usual = (self.gaps.usual(0) * TIMES) as Micros;
        now.saturating_sub(self.last) > floor.max(usual)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_speaks_slowly_is_given_longer() {
        let (mut quick, mut slow) = (Silence::begin(0), Silence::begin(0));
        (1..=100).for_each(|n| quick.heard(n * 100_000));
        (1..=100).for_each(|n| slow.heard(n * 2_000_000));
        let floor = 1_500_000;
        assert!(!quick.is_gone(10_000_000 + floor, floor) && quick.is_gone(10_000_001 + floor, floor));
        assert!(!slow.is_gone(204_000_000, floor) && slow.is_gone(206_100_000, floor));
    }
}
