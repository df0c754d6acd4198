//! The usual latency of a partner's answers.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Smoothed latency, its mean deviation, and the best it has been of late.
///
/// Smoothing and the bound on what is usual are those of a retransmission timer (RFC 6298, section 2: gains
/// of 1/8 and 1/4, and four deviations).
///
/// ```
/// let mut l = notchpoint_limits::Latency::default();
/// assert_eq!(l.upper_bound(1_000_000), 1_000_000.0); // nothing is known: what is wanted
/// (0..100).for_each(|_| l.observe(20_000));
/// assert!((l.upper_bound(1_000_000) - 20_000.0).abs() < 1.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    smoothed: f64,
    deviation: f64,
    best: f64,
}

impl Latency {
    /// An answer took so long.
    pub fn observe(&mut self, took: Micros) {
        let x = took as f64;
        if self.smoothed == 0.0 {
            (self.smoothed, self.deviation, self.best) = (x, x / 2.0, x);
        } else {
            self.deviation += ((x - self.smoothed).abs() - self.deviation) / 4.0;
            self.smoothed += (x - self.smoothed) / 8.0;
            // It rises slowly with the smoothed latency, so that a partner that moved away is not slow for
            // ever.
            self.best = (self.best + (self.smoothed - self.best).max(0.0) / 256.0).min(self.smoothed);
        }
    }

    /// The slowest answer that is still usual; `unknown` while there was none.
    pub fn upper_bound(&self, unknown: Micros) -> f64 {
        if self.smoothed == 0.0 { unknown as f64 } else { self.smoothed + 4.0 * self.deviation }
    }

    /// What an answer takes on average; `unknown` while there was none.
    pub fn mean(&self, unknown: Micros) -> f64 {
        if self.smoothed > 0.0 { self.smoothed } else { unknown as f64 }
    }

    /// The smoothed latency at its best; 0 while nothing is known.
    pub fn best(&self) -> f64 {
        self.best
    }

    /// It answers so many times slower than at its best.
    pub fn is_slow(&self, times: f64) -> bool {
        self.smoothed > times * self.best
    }
}
