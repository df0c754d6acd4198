//! An estimator of the latency of a destination's answers.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The smoothed latency, its mean deviation, and its recent minimum.
///
/// The smoothing and the upper bound are those of a retransmission timer (RFC 6298, section 2: gains of 1/8
/// and 1/4, and four deviations).
///
/// ```
/// let mut latency = notchpoint_limits::Latency::default();
/// assert_eq!(latency.upper_bound(1_000_000), 1_000_000.0); // the default, without any answer
/// (0..100).for_each(|_| latency.observe(20_000));
/// assert!((latency.upper_bound(1_000_000) - 20_000.0).abs() < 1.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    smoothed: f64,
    deviation: f64,
    best: f64,
}

impl Latency {
    /// Records the latency of an answer.
    pub fn observe(&mut self, latency: Micros) {
        let latency = latency as f64;
        if self.smoothed == 0.0 {
            (self.smoothed, self.deviation, self.best) = (latency, latency / 2.0, latency);
        } else {
            self.deviation += ((latency - self.smoothed).abs() - self.deviation) / 4.0;
            self.smoothed += (latency - self.smoothed) / 8.0;
            // The minimum rises slowly with the smoothed latency, so that a destination that has moved
            // further away does not count as slow for ever.
            self.best = (self.best + (self.smoothed - self.best).max(0.0) / 256.0).min(self.smoothed);
        }
    }

    /// Returns the longest latency that is still usual, or `default` before the first answer.
    pub fn upper_bound(&self, default: Micros) -> f64 {
        if self.smoothed == 0.0 { default as f64 } else { self.smoothed + 4.0 * self.deviation }
    }

    /// Returns the smoothed latency, or `default` before the first answer.
    pub fn mean(&self, default: Micros) -> f64 {
        if self.smoothed > 0.0 { self.smoothed } else { default as f64 }
    }

    /// Returns the recent minimum of the smoothed latency; 0 before the first answer.
    pub fn best(&self) -> f64 {
        self.best
    }

    /// Returns whether the smoothed latency exceeds `factor` times its minimum.
    pub fn is_slow(&self, factor: f64) -> bool {
        self.smoothed > factor * self.best
    }
}
