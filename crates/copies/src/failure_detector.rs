//! Detects failed senders by missing heartbeats. A suspicion decides only when something is tried,
//! above all when claims are made and granted; a wrong one costs some frames, but not safety.

use crate::ids::Micros;
use notchpoint_limits::Latency;

/// A sender is suspected after this multiple of its usual gap between heartbeats.
const USUAL_GAP_FACTOR: f64 = 3.0;

/// The failure detector for one sender.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetector {
    last_heartbeat: Micros,
    gaps: Latency,
}

impl FailureDetector {
    pub fn new(now: Micros) -> Self {
        Self { last_heartbeat: now, gaps: Latency::default() }
    }

    pub fn record_heartbeat(&mut self, now: Micros) {
        self.gaps.observe(now.saturating_sub(self.last_heartbeat).max(1));
        self.last_heartbeat = now;
    }

    /// Restarts the time since the last heartbeat, since this process was not running and may have missed
    /// heartbeats.
    pub fn restart(&mut self, now: Micros) {
        self.last_heartbeat = now;
    }

    /// Returns whether no heartbeat came for longer than usual, and for longer than `min_silence`.
    pub fn is_suspected(&self, now: Micros, min_silence: Micros) -> bool {
        let usual = (self.gaps.upper_bound(0) * USUAL_GAP_FACTOR) as Micros;
        now.saturating_sub(self.last_heartbeat) > min_silence.max(usual)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_sender_with_longer_gaps_is_suspected_later() {
        let (mut quick, mut slow) = (FailureDetector::new(0), FailureDetector::new(0));
        (1..=100).for_each(|n| quick.record_heartbeat(n * 100_000));
        (1..=100).for_each(|n| slow.record_heartbeat(n * 2_000_000));
        let floor = 1_500_000;
        assert!(
            !quick.is_suspected(10_000_000 + floor, floor) && quick.is_suspected(10_000_001 + floor, floor)
        );
        assert!(!slow.is_suspected(204_000_000, floor) && slow.is_suspected(206_100_000, floor));
    }
}
