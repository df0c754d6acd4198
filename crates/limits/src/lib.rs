//! Estimators that the decision module uses: what the ends of calls show about a destination. They do no
//! I/O, have no clock and decide nothing; the decision module acts on the estimates.
//!
//! - [`Latency`]: the smoothed latency and its deviation, after RFC 6298.
//! - [`AdaptiveRate`]: the rate that a destination admits, and the pacing of calls under it.
//! - [`ConnectionFailures`]: whether a reset or failed connection is random or a sign of the destination's
//!   state.
//!
//! Times are in microseconds. The caller defines the zero of the clock.
#![warn(missing_docs)]

mod connection_failures;
mod latency;
mod rate;

pub use connection_failures::{ConnectionFailures, FailureCause};
pub use latency::Latency;
pub use rate::AdaptiveRate;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies the source text of the estimators (FNV-1a). Recordings carry it, since decisions depend on it.
pub const FINGERPRINT: u64 = {
    let hash = fnv1a(0xcbf2_9ce4_8422_2325, include_bytes!("connection_failures.rs"));
    let hash = fnv1a(hash, include_bytes!("latency.rs"));
    fnv1a(hash, include_bytes!("rate.rs"))
};

/// Continues an FNV-1a hash with a text.
pub const fn fnv1a(mut hash: u64, text: &[u8]) -> u64 {
    let mut n = 0;
    while n < text.len() {
        hash = (hash ^ text[n] as u64).wrapping_mul(0x0100_0000_01b3);
        n += 1;
    }
    hash
}
