//! An estimator of the cause of reset and failed connections.

use serde::{Deserialize, Serialize};

/// The weight of one call in the average, which covers about sixteen calls. DCTCP (RFC 8257, section 3.3)
/// uses the same gain for its share of marked packets.
const GAIN: f64 = 1.0 / 16.0;
/// The highest share of failures that is attributed to the network; above it the destination is the cause.
const MAX_RANDOM_SHARE: f64 = 0.2;
/// This many failures without an answer in between are not random either: at a share of `MAX_RANDOM_SHARE`
/// they occur once in 25 calls, and a destination that is down is detected by its second call.
const MAX_RANDOM_RUN: u32 = 2;

/// The estimated cause of a failed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// A random network failure, which is no sign of the destination's load or health.
    Random,
    /// Too many connections fail: the destination is overloaded or down.
    Destination,
}

/// The share of calls to a route whose connection broke or was not established, and how many of the last
/// calls in a row did.
///
/// A sender that takes every single reset for congestion halves its window once in about sixty calls if the
/// network resets connections at random, and its window stays at its minimum. For the same reason TCP
/// Westwood and DCTCP cut in proportion to the affected packets. Here a cut is always by half, so the
/// estimator only decides whether a failure counts.
///
/// ```
/// use notchpoint_limits::{ConnectionFailures, FailureCause};
/// let mut failures = ConnectionFailures::default();
/// (0..50).for_each(|_| failures.record_answer());
/// assert_eq!(failures.record_failure(), FailureCause::Random); // one in fifty
/// assert_eq!(failures.record_failure(), FailureCause::Destination); // two in a row
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConnectionFailures {
    share: f64,
    run: u32,
}

impl ConnectionFailures {
    /// Records an answered call, with whatever answer: its connection did not fail.
    pub fn record_answer(&mut self) {
        self.share -= self.share * GAIN;
        self.run = 0;
    }

    /// Records a connection that broke or was not established, and returns the estimated cause.
    pub fn record_failure(&mut self) -> FailureCause {
        self.share += (1.0 - self.share) * GAIN;
        self.run = self.run.saturating_add(1);
        if self.run >= MAX_RANDOM_RUN || self.share > MAX_RANDOM_SHARE {
            FailureCause::Destination
        } else {
            FailureCause::Random
        }
    }

    /// Returns the share of failures in about the last sixteen calls, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.share
    }

    /// Returns the number of failures since a call was last answered.
    pub fn consecutive_failures(&self) -> u32 {
        self.run
    }
}
