//! A warning that is logged at most once per second, for operations that may fail many times in a row.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Warnings of one kind. Those that follow the last one too soon are counted; the next line has the count.
#[derive(Debug, Default)]
pub struct RateLimitedWarning {
    last: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl RateLimitedWarning {
    /// Logs a warning, or counts it.
    pub fn warn(&self, what: &dyn Display) {
        if self.last.get().is_some_and(|at| at.elapsed() < MIN_INTERVAL) {
            return self.suppressed.set(self.suppressed.get() + 1);
        }
        self.last.set(Some(Instant::now()));
        match self.suppressed.take() {
            0 => tracing::warn!("{what}"),
            suppressed => tracing::warn!("{what} ({suppressed} similar warnings suppressed)"),
        }
    }
}
