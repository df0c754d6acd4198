//! Measures how late threads of this machine are woken. Events may be observed as much too
//! late, for which no sender is responsible.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the measuring thread sleeps.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Measures how late a sleeping thread is woken, until it is dropped.
#[derive(Clone, Debug, Default)]
pub struct WakeDelay(Arc<AtomicU64>);

impl WakeDelay {
    /// Starts the measurement.
    pub fn start() -> Self {
        let delay = Self::default();
        let max_micros = Arc::downgrade(&delay.0);
        thread::spawn(move || {
            while let Some(max_micros) = max_micros.upgrade() {
                let started_at = Instant::now();
                thread::sleep(SAMPLE_INTERVAL);
                let late = started_at.elapsed().saturating_sub(SAMPLE_INTERVAL);
                max_micros.fetch_max(late.as_micros() as u64, Ordering::Relaxed);
            }
        });
        delay
    }

    /// Returns the longest delay so far.
    pub fn max(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}
