//! Whether clients may come in: what `/up` says, and when connections end.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// After a word to drain, or SIGTERM, the front goes on dealing out connections for up to 0.4 s; what comes
/// until then is served, and open connections are closed between two requests from then on.
pub const COMING: Duration = Duration::from_millis(600);

/// What all connections look at.
#[derive(Default)]
pub struct Door {
    /// The parts behind it stand, and what was left open is taken up.
    open: Cell<bool>,
    /// Clients are sent elsewhere, for one reason or more: since when. Work goes on, and what comes all the
    /// same is served.
    shut: [Cell<Option<Instant>>; 2],
    /// The process is about to end: nothing more is taken on.
    pub ending: Cell<bool>,
    /// Another process takes clients; what was read here is recorded there.
    pub given: Cell<bool>,
    /// Connections that there are.
    pub inside: Cell<usize>,
    /// Asks connections to end between two requests.
    pub close: Closing,
    news: Notify,
}

/// Why clients are sent elsewhere while the sender works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shut {
    /// Operators have taken the sender out.
    Operators,
    /// The fleet has left the zone in which it stands.
    Zone,
}

impl Door {
    /// This process takes clients from now on.
    pub fn open(&self) {
        self.open.set(true);
    }

    /// Clients may be sent here.
    pub fn is_up(&self) -> bool {
        self.open.get() && self.since().is_none() && !self.ending.get()
    }

    /// A connection ends with its next answer.
    pub fn is_closing(&self) -> bool {
        self.since().is_some() || self.ending.get() || self.given.get()
    }

    /// Whether it is shut for this reason.
    pub fn is_shut(&self, why: Shut) -> bool {
        self.shut[why as usize].get().is_some()
    }

    /// Since when it is shut, for whatever reason.
    fn since(&self) -> Option<Instant> {
        self.shut.iter().filter_map(Cell::get).min()
    }

    /// Told twice is told once: the first word counts.
    pub fn shut(&self, why: Shut, wanted: bool) {
        if wanted == self.is_shut(why) {
            return;
        }
        self.shut[why as usize].set(wanted.then(Instant::now));
        if self.since().is_none() && !self.ending.get() {
            self.close.unsay();
        }
        self.news.notify_one();
    }

    /// Asks idle connections to end once the front has stopped dealing out new ones.
    pub async fn watch(&self) {
        loop {
            match self.since().map(|since| since + COMING) {
                Some(due) if Instant::now() >= due && !self.close.is_said() => self.close.say(),
                Some(due) if !self.close.is_said() => {
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
pub struct Closing {
    said: Cell<bool>,
    news: Notify,
}

impl Closing {
    pub fn say(&self) {
        self.said.set(true);
        self.news.notify_waiters();
    }

    pub fn is_said(&self) -> bool {
        self.said.get()
    }

    /// Connections that have not heard it stay.
    fn unsay(&self) {
        self.said.set(false);
    }

    pub async fn wait(&self) {
        let news = self.news.notified();
        if !self.said.get() {
            news.await;
        }
    }
}
