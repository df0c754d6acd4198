//! Admission of clients: what `/up` answers, and when connections end.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// After a drain begins, or SIGTERM, the load balancer in front goes on assigning connections for up to 0.4
/// s. Requests that arrive within this time are served, and open connections are then closed between two
/// requests.
pub const FRONT_DRAIN_TIME: Duration = Duration::from_millis(600);
/// Time after SIGTERM at which the process ends, even if calls are still in progress.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_300);

/// The state of admission that all client connections share.
#[derive(Default)]
pub struct Admission {
    /// All parts of the sender run, and the messages left open have been resumed.
    started: Cell<bool>,
    /// Since when clients are directed to other senders, for each `DrainReason`. Work goes on, and requests
    /// that arrive anyway are served.
    draining_since: [Cell<Option<Instant>>; 2],
    /// The process is about to end and accepts no new messages.
    pub is_shutting_down: Cell<bool>,
    /// Another process accepts clients, and records the requests that this process reads.
    pub is_handed_over: Cell<bool>,
    /// The number of open client connections.
    pub open_connections: Cell<usize>,
    /// Asks connections to end between two requests.
    pub close_signal: Signal,
    drain_changed: Notify,
}

/// Why clients are directed to other senders while this one goes on working.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Operators have taken the sender out of service.
    Operators,
    /// The fleet has evacuated the sender's zone.
    Zone,
}

impl Admission {
    /// Starts to admit clients.
    pub fn start(&self) {
        self.started.set(true);
    }

    /// Whether clients should connect to this sender.
    pub fn is_up(&self) -> bool {
        self.started.get() && self.drain_start().is_none() && !self.is_shutting_down.get()
    }

    /// Whether each connection ends with its next answer.
    pub fn is_closing(&self) -> bool {
        self.drain_start().is_some() || self.is_shutting_down.get() || self.is_handed_over.get()
    }

    /// Whether the sender is drained for this reason.
    pub fn is_draining(&self, reason: DrainReason) -> bool {
        self.draining_since[reason as usize].get().is_some()
    }

    /// Returns the time of the earliest drain in force.
    fn drain_start(&self) -> Option<Instant> {
        self.draining_since.iter().filter_map(Cell::get).min()
    }

    /// Starts or ends a drain. A repeated call has no effect: the drain keeps the time of the first one.
    pub fn set_draining(&self, reason: DrainReason, wanted: bool) {
        if wanted == self.is_draining(reason) {
            return;
        }
        self.draining_since[reason as usize].set(wanted.then(Instant::now));
        if self.drain_start().is_none() && !self.is_shutting_down.get() {
            self.close_signal.clear();
        }
        self.drain_changed.notify_one();
    }

    /// Asks idle connections to end once the load balancer has stopped assigning new ones. Runs forever.
    pub async fn close_idle_after_drain(&self) {
        loop {
            match self.drain_start().map(|since| since + FRONT_DRAIN_TIME) {
                Some(due) if Instant::now() >= due && !self.close_signal.is_set() => self.close_signal.set(),
                Some(due) if !self.close_signal.is_set() => {
                    tokio::select! {
                        biased;
                        () = self.drain_changed.notified() => {}
                        () = sleep_until(due) => {}
                    }
                }
                _ => self.drain_changed.notified().await,
            }
        }
    }
}

/// A signal to all connections. It wakes them in the order in which they began to wait, whereas a watch
/// channel wakes its receivers in random order.
#[derive(Default)]
pub struct Signal {
    is_set: Cell<bool>,
    changed: Notify,
}

impl Signal {
    /// Sets the signal and wakes all waiting tasks.
    pub fn set(&self) {
        self.is_set.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the signal is set.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Clears the signal. Connections that have not seen it stay open.
    fn clear(&self) {
        self.is_set.set(false);
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        let changed = self.changed.notified();
        if !self.is_set.get() {
            changed.await;
        }
    }
}
