//! A warning that is written to the log once a second at most, for what may fail many times in a row.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

const SPAN: Duration = Duration::from_secs(1);

/// Warnings of one kind. Those that come too soon behind another are counted, and told of with the next.
#[derive(Debug, Default)]
pub struct RateLimitedWarning {
    last: Cell<Option<Instant>>,
    dropped: Cell<u64>,
}

impl RateLimitedWarning {
    /// Writes a warning, or counts it.
    pub fn warn(&self, what: &dyn Display) {
        if self.last.get().is_some_and(|at| at.elapsed() < SPAN) {
            return self.dropped.set(self.dropped.get() + 1);
        }
        self.last.set(Some(Instant::now()));
        match self.dropped.take() {
            0 => tracing::warn!("{what}"),
            dropped => tracing::warn!("{what} ({dropped} more like it since the last)"),
        }
    }
}
