//! Whether clients may come in: what `/up` says, and when connections end.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// After a word to drain, or SIGTERM, the front goes on dealing out connections for up to 0.4 s; what comes
/// until then is served, and open connections are closed between two requests from then on.
pub const FRONT_DRAIN_TIME: Duration = Duration::from_millis(600);

/// What all connections look at.
#[derive(Default)]
pub struct Admission {
    /// The parts behind it stand, and what was left open is taken up.
    started: Cell<bool>,
    /// Clients are sent elsewhere, for one reason or more: since when. Work goes on, and what comes all the
    /// same is served.
    draining_since: [Cell<Option<Instant>>; 2],
    /// The process is about to end: nothing more is taken on.
    pub is_shutting_down: Cell<bool>,
    /// Another process takes clients; what was read here is recorded there.
    pub is_handed_over: Cell<bool>,
    /// Connections that there are.
    pub open_connections: Cell<usize>,
    /// Asks connections to end between two requests.
    pub close_signal: Signal,
    news: Notify,
}

/// Why clients are sent elsewhere while the sender works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Operators have taken the sender out.
    Operators,
    /// The fleet has left the zone in which it stands.
    Zone,
}

impl Admission {
    /// This process takes clients from now on.
    pub fn start(&self) {
        self.started.set(true);
    }

    /// Clients may be sent here.
    pub fn is_up(&self) -> bool {
        self.started.get() && self.since().is_none() && !self.is_shutting_down.get()
    }

    /// A connection ends with its next answer.
    pub fn is_closing(&self) -> bool {
        self.since().is_some() || self.is_shutting_down.get() || self.is_handed_over.get()
    }

    /// Whether it is shut for this reason.
    pub fn is_draining(&self, reason: DrainReason) -> bool {
        self.draining_since[reason as usize].get().is_some()
    }

    /// Since when it is shut, for whatever reason.
    fn since(&self) -> Option<Instant> {
        self.draining_since.iter().filter_map(Cell::get).min()
    }

    /// Told twice is told once: the first word counts.
    pub fn set_draining(&self, reason: DrainReason, wanted: bool) {
        if wanted == self.is_draining(reason) {
            return;
        }
        self.draining_since[reason as usize].set(wanted.then(Instant::now));
        if self.since().is_none() && !self.is_shutting_down.get() {
            self.close_signal.clear();
        }
        self.news.notify_one();
    }

    /// Asks idle connections to end once the front has stopped dealing out new ones.
    pub async fn close_idle_after_drain(&self) {
        loop {
            match self.since().map(|since| since + FRONT_DRAIN_TIME) {
                Some(due) if Instant::now() >= due && !self.close_signal.is_set() => self.close_signal.set(),
                Some(due) if !self.close_signal.is_set() => {
                    tokio::select! {
                        biased;
                        () = self.news.notified() => {}
                        () = sleep_until(due) => {}
                    }
                }
                _ => self.news.notified().await,
            }
        }
    }
}

/// A word to all connections, heard in the order in which they began to listen. (A watch channel wakes its
/// receivers in random order.)
#[derive(Default)]
pub struct Signal {
    is_set: Cell<bool>,
    news: Notify,
}

impl Signal {
    pub fn set(&self) {
        self.is_set.set(true);
        self.news.notify_waiters();
    }

    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Connections that have not heard it stay.
    fn clear(&self) {
        self.is_set.set(false);
    }

    pub async fn wait(&self) {
        let news = self.news.notified();
        if !self.is_set.get() {
            news.await;
        }
    }
}
