//! How late this machine's threads are woken: what the rig saw too late by as much is no sender's fault.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(10);

/// Watches how late a sleeping thread is woken, for as long as it lives.
#[derive(Clone, Debug, Default)]
pub struct Lag(Arc<AtomicU64>);

impl Lag {
    /// Begins to watch.
    pub fn watch() -> Self {
        let lag = Self::default();
        let worst = Arc::downgrade(&lag.0);
        thread::spawn(move || {
            while let Some(worst) = worst.upgrade() {
                let begun = Instant::now();
                thread::sleep(LOOK);
                let late = begun.elapsed().saturating_sub(LOOK);
                worst.fetch_max(late.as_micros() as u64, Ordering::Relaxed);
            }
        });
        lag
    }

    /// The latest that a thread was woken.
    pub fn worst(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}
