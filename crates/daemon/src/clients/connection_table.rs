//! The places that clients' connections take: how long each may be held, and who gives way where all are
//! taken.

use crate::clients::admission::Signal;
use crate::clients::request_counter::RequestCounter;
use crate::io::read_some;
use notchpoint_seam::Stream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};

/// A request may come in pieces over more than 2 s; who takes longer than this from its first byte to its
/// last, or to read the answer, has given up.
const SLOW: Duration = Duration::from_millis(2_500);
/// A new connection that says nothing for so long is closed, since a client that opens one has a message.
const SILENT: Duration = Duration::from_secs(2);
/// So long after connecting the first request has come whole, or the connection ends.
const FIRST: Duration = Duration::from_millis(2_750);
/// Clients keep connections, so that the next message needs no new one; forgotten ones end after this.
const IDLE: Duration = Duration::from_secs(10);
/// A new connection is not ended for this long: its first request is on its way, and one that is closed
/// with no answer is a request lost.
const FRESH: Duration = Duration::from_millis(500);
/// Where all places are taken, the connection idle longest gives up its own, once its client has had so long
/// to send what it had ready: those in the queue wait for 400 ms at most, and a request that crosses the end
/// of an idle connection comes again on a new one.
const UNUSED: Duration = Duration::from_millis(50);
/// Beyond its end a connection is read for so long at most, while something comes.
pub const GRACE: Duration = Duration::from_millis(100);
/// So long a connection that has ended on this side is still read, and what comes is thrown away: closed over
/// bytes that nobody has read it would be reset, and a reset takes with it the answer that was written last.
const LINGER: Duration = Duration::from_millis(500);
/// Thrown away at a time.
const BLOCK: usize = 16 << 10;
/// How often it is looked for a place while there is none.
pub const LOOK: Duration = Duration::from_millis(20);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request is open.
    Idle,
    /// A request's first byte has come.
    Reading,
    /// Its head has come, and the body is read.
    Serving,
    /// The answer is written.
    Answering,
    /// It has ended on this side.
    Lingering,
}

/// The place that a connection takes.
pub struct ConnectionSlot {
    pub stream: Rc<dyn Stream>,
    opened: Instant,
    /// How long its client may have waited before: at most.
    waited: Duration,
    /// It has had an answer.
    pub asked: Cell<bool>,
    /// Its answer said that the connection ends with it.
    pub last: Cell<bool>,
    pub stage: Cell<Stage>,
    /// Since when nothing was open on it, or a request is.
    since: Cell<Instant>,
    requests: RefCell<RequestCounter>,
    /// Its place is another's.
    given_up: Signal,
}

impl ConnectionSlot {
    pub fn new(stream: Rc<dyn Stream>, waited: Duration) -> Self {
        let opened = Instant::now();
        let (asked, stage, since) = (Cell::new(false), Cell::new(Stage::Idle), Cell::new(opened));
        let (last, requests, given_up) = Default::default();
        Self { stream, opened, waited, asked, last, stage, since, requests, given_up }
    }

    /// These bytes were read on it.
    pub fn read(&self, bytes: &[u8]) {
        self.requests.borrow_mut().read(bytes);
        if self.stage.get() == Stage::Idle && self.requests.borrow().has_unserved() {
            self.enter(Stage::Reading);
        }
    }

    /// A request's head has come whole.
    pub fn serve(&self) {
        self.requests.borrow_mut().serve();
        self.enter(Stage::Serving);
    }

    /// An answer has been written. More may have been read behind its request.
    pub fn answered(&self) {
        self.asked.set(true);
        self.enter(Stage::Idle);
        if self.requests.borrow().has_unserved() {
            self.enter(Stage::Reading);
        }
    }

    /// Nothing has come behind the request that is being answered: its answer may be the last.
    pub fn has_read_all(&self) -> bool {
        !self.requests.borrow().has_unserved() && self.stream.has_no_unread_data()
    }

    /// Ends it with nothing more read: what crosses that is not this process's, and comes again.
    fn give_up(&self) {
        self.given_up.set();
    }

    /// Waits until its place is wanted by another.
    pub async fn is_given_up(&self) {
        self.given_up.wait().await;
    }

    pub fn enter(&self, stage: Stage) {
        if (self.stage.get() == Stage::Idle) != (stage == Stage::Idle) {
            self.since.set(Instant::now());
        }
        self.stage.set(stage);
    }

    /// How long ago the client may have sent the first byte of the request that is open. The first one may
    /// have waited with its connection.
    pub fn sent_ago(&self) -> Duration {
        let waited = if self.asked.get() { Duration::ZERO } else { self.waited };
        self.since.get().elapsed() + waited
    }

    /// When the request that is being read must have come whole.
    pub fn whole_by(&self) -> Instant {
        let by = self.since.get() + SLOW;
        if self.asked.get() { by } else { by.min(self.opened + FIRST) }
    }

    /// When the connection ends, if nothing happens on it.
    pub fn ends_at(&self) -> Instant {
        match self.stage.get() {
            Stage::Idle if self.asked.get() => self.since.get() + IDLE,
            Stage::Idle => self.since.get() + SILENT,
            Stage::Reading => self.whole_by(),
            Stage::Serving | Stage::Answering => self.whole_by() + SLOW,
            Stage::Lingering => self.since.get() + LINGER,
        }
    }

    /// Ends the connection in an orderly way: its writing side first, and all of it once the client has ended
    /// its own, or has had the time for that.
    pub async fn end(&self) {
        if self.given_up.is_set() {
            return;
        }
        self.enter(Stage::Lingering);
        self.since.set(Instant::now());
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut block = vec![0; BLOCK];
        let read = async { while read_some(&*self.stream, &mut block).await.is_ok_and(|n| n > 0) {} };
        let gone = async { drop(timeout_at(self.ends_at(), read).await) };
        tokio::select! {
            biased;
            () = self.is_given_up() => {}
            () = gone => {}
        }
    }

    /// No request is open on it, nor waits unread.
    pub fn is_unused(&self) -> bool {
        self.stage.get() == Stage::Idle && self.stream.has_no_unread_data()
    }

    /// It may be ended between two requests, since this process or its turn ends.
    pub fn may_end(&self) -> bool {
        self.is_unused() && (self.asked.get() || self.opened.elapsed() >= FRESH)
    }

    /// Nothing that comes on it would be served.
    fn is_over(&self) -> bool {
        self.stage.get() == Stage::Lingering
    }
}

/// The connections that there are, by their number.
#[derive(Default)]
pub struct ConnectionTable {
    next: Cell<u64>,
    taken: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    freed: Notify,
}

impl ConnectionTable {
    /// Waits for a place. Where all are taken, the connection that has been idle longest loses its own; one
    /// with a request that is being read or answered never does.
    pub async fn free(&self, most: usize) {
        while self.taken.borrow().len() >= most {
            if let Some((number, slot)) = self.unused() {
                slot.give_up();
                self.taken.borrow_mut().remove(&number);
                return;
            }
            let _ = timeout(LOOK, self.freed.notified()).await;
        }
    }

    fn unused(&self) -> Option<(u64, Rc<ConnectionSlot>)> {
        let taken = self.taken.borrow();
        let mut idle: Vec<_> = taken
            .iter()
            .filter(|(_, s)| s.stage.get() == Stage::Idle || s.is_over())
            .filter(|(_, s)| s.since.get().elapsed() >= UNUSED)
            .collect();
        idle.sort_by_key(|(_, s)| s.since.get());
        idle.into_iter().find(|(_, s)| s.is_over() || s.is_unused()).map(|(&n, s)| (n, s.clone()))
    }

    pub fn take(&self, slot: &Rc<ConnectionSlot>) -> u64 {
        let number = self.next.replace(self.next.get() + 1);
        self.taken.borrow_mut().insert(number, slot.clone());
        number
    }

    pub fn leave(&self, number: u64) {
        if self.taken.borrow_mut().remove(&number).is_some() {
            self.freed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
