//! The table of client connections: how long a connection may hold its slot, and which one is evicted if all
//! slots are taken.

use crate::clients::admission::Signal;
use crate::clients::request_counter::RequestCounter;
use crate::io::read_some;
use notchpoint_seam::Stream;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};

/// The time-out from the first to the last byte of a request, and for reading the answer. A request may
/// arrive in pieces over more than 2 s. A client that takes longer than this has given up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The time-out for the first byte on a new connection. A client that connects has a message to send.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time-out from connecting until the first request is complete.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_750);
/// The time-out of an idle connection. Clients keep connections for their next message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The time for which a new connection is not ended. Its first request is on the way, and would be lost if
/// the connection closed without an answer.
const MIN_LIFETIME: Duration = Duration::from_millis(500);
/// The idle time after which a connection may be evicted, if all slots are taken. It is long enough for a
/// client to send a request that it has ready. Clients in the accept queue wait 400 ms at most, and a request
/// that crosses the end of an idle connection is sent again on a new one.
const MIN_IDLE_TO_EVICT: Duration = Duration::from_millis(50);
/// The longest time for which a connection is read beyond its time-out, while bytes keep arriving.
pub const READ_GRACE: Duration = Duration::from_millis(100);
/// The time for which a connection is read and its bytes discarded after this side has ended it. Closing it
/// with unread bytes would reset it, and a reset destroys the last answer.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The number of bytes discarded at a time.
const DISCARD_BLOCK_BYTES: usize = 16 << 10;
/// How often the table is checked for a free slot while there is none.
pub const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The stage that a connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request is open.
    Idle,
    /// The first byte of a request has arrived.
    Reading,
    /// The head has arrived, and the body is being read.
    Serving,
    /// The answer is being written.
    Answering,
    /// This side has ended the connection.
    Lingering,
}

/// The slot of one connection, with the connection's state.
pub struct ConnectionSlot {
    pub stream: Rc<dyn Stream>,
    opened: Instant,
    /// The longest time that the client may have waited in the accept queue.
    waited: Duration,
    /// Whether an answer has been written.
    pub has_answered: Cell<bool>,
    /// Whether the current answer announces the end of the connection.
    pub is_last_answer: Cell<bool>,
    pub stage: Cell<Stage>,
    /// Since when a request is open, or since when none is.
    since: Cell<Instant>,
    requests: RefCell<RequestCounter>,
    /// Set when the slot is given to another connection.
    evicted: Signal,
}

impl ConnectionSlot {
    /// Creates the slot of a connection that has waited in the accept queue for this long at most.
    pub fn new(stream: Rc<dyn Stream>, waited: Duration) -> Self {
        let opened = Instant::now();
        let (has_answered, stage, since) = (Cell::new(false), Cell::new(Stage::Idle), Cell::new(opened));
        let (is_last_answer, requests, evicted) = Default::default();
        Self { stream, opened, waited, has_answered, is_last_answer, stage, since, requests, evicted }
    }

    /// Records bytes that were read on the connection.
    pub fn record_read(&self, bytes: &[u8]) {
        self.requests.borrow_mut().read(bytes);
        if self.stage.get() == Stage::Idle && self.requests.borrow().has_unserved() {
            self.enter(Stage::Reading);
        }
    }

    /// Records that the head of a request is complete.
    pub fn record_head(&self) {
        self.requests.borrow_mut().record_served();
        self.enter(Stage::Serving);
    }

    /// Records that an answer has been written. Bytes after its request may have been read already.
    pub fn record_answered(&self) {
        self.has_answered.set(true);
        self.enter(Stage::Idle);
        if self.requests.borrow().has_unserved() {
            self.enter(Stage::Reading);
        }
    }

    /// Whether nothing has arrived after the request that is being answered, so that its answer may be the
    /// last.
    pub fn has_read_all(&self) -> bool {
        !self.requests.borrow().has_unserved() && self.stream.has_no_unread_data()
    }

    /// Ends the connection without reading any more. If a request crosses the end, the client sends it again
    /// on a new connection.
    fn evict(&self) {
        self.evicted.set();
    }

    /// Waits until the slot is given to another connection.
    pub async fn wait_for_eviction(&self) {
        self.evicted.wait().await;
    }

    /// Enters a stage.
    pub fn enter(&self, stage: Stage) {
        if (self.stage.get() == Stage::Idle) != (stage == Stage::Idle) {
            self.since.set(Instant::now());
        }
        self.stage.set(stage);
    }

    /// Returns how long ago the client may have sent the first byte of the open request. The first request of
    /// a connection may have waited in the accept queue.
    pub fn max_request_age(&self) -> Duration {
        let waited = if self.has_answered.get() { Duration::ZERO } else { self.waited };
        self.since.get().elapsed() + waited
    }

    /// Returns the time by which the request that is being read must be complete.
    pub fn request_deadline(&self) -> Instant {
        let by = self.since.get() + REQUEST_TIMEOUT;
        if self.has_answered.get() { by } else { by.min(self.opened + FIRST_REQUEST_TIMEOUT) }
    }

    /// Returns the time at which the connection times out if nothing happens on it.
    pub fn times_out_at(&self) -> Instant {
        match self.stage.get() {
            Stage::Idle if self.has_answered.get() => self.since.get() + IDLE_TIMEOUT,
            Stage::Idle => self.since.get() + FIRST_BYTE_TIMEOUT,
            Stage::Reading => self.request_deadline(),
            Stage::Serving | Stage::Answering => self.request_deadline() + REQUEST_TIMEOUT,
            Stage::Lingering => self.since.get() + LINGER_TIME,
        }
    }

    /// Closes the connection gracefully: first its writing side, and then all of it, once the client has
    /// closed its own side or the time for that is over.
    pub async fn close_gracefully(&self) {
        if self.evicted.is_set() {
            return;
        }
        self.enter(Stage::Lingering);
        self.since.set(Instant::now());
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut block = vec![0; DISCARD_BLOCK_BYTES];
        let read = async { while read_some(&*self.stream, &mut block).await.is_ok_and(|n| n > 0) {} };
        let ended = async { drop(timeout_at(self.times_out_at(), read).await) };
        tokio::select! {
            biased;
            () = self.wait_for_eviction() => {}
            () = ended => {}
        }
    }

    /// Whether no request is open on the connection or waits unread.
    pub fn is_unused(&self) -> bool {
        self.stage.get() == Stage::Idle && self.stream.has_no_unread_data()
    }

    /// Whether the connection may be ended now, between two requests, because the process stops serving
    /// clients.
    pub fn may_end(&self) -> bool {
        self.is_unused() && (self.has_answered.get() || self.opened.elapsed() >= MIN_LIFETIME)
    }

    /// Whether no further request would be served on the connection.
    fn is_ended(&self) -> bool {
        self.stage.get() == Stage::Lingering
    }
}

/// The slots of all connections, by number.
#[derive(Default)]
pub struct ConnectionTable {
    next_number: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    /// Connections whose slots are freed, and whose descriptors are not closed yet.
    evicted: RefCell<BTreeSet<u64>>,
    connection_closed: Notify,
}

impl ConnectionTable {
    /// Waits until a further connection may be accepted, so that at most `max_connections` have a descriptor.
    pub async fn wait_for_descriptor(&self, max_connections: usize) {
        self.wait_for_slot(max_connections).await;
        while self.open_connections() >= max_connections {
            let _ = timeout(SLOT_POLL_INTERVAL, self.connection_closed.notified()).await;
        }
    }

    /// Returns the number of connections that have a descriptor.
    pub fn open_connections(&self) -> usize {
        self.slots.borrow().len() + self.evicted.borrow().len()
    }

    /// Waits until one of `max_connections` slots is free. If all are taken, evicts the connection that has
    /// been idle longest. A connection on which a request is being read or answered is never evicted.
    pub async fn wait_for_slot(&self, max_connections: usize) {
        while self.slots.borrow().len() >= max_connections {
            if let Some((number, slot)) = self.find_evictable() {
                slot.evict();
                self.slots.borrow_mut().remove(&number);
                self.evicted.borrow_mut().insert(number);
                return;
            }
            let _ = timeout(SLOT_POLL_INTERVAL, self.connection_closed.notified()).await;
        }
    }

    fn find_evictable(&self) -> Option<(u64, Rc<ConnectionSlot>)> {
        let slots = self.slots.borrow();
        let mut idle: Vec<_> = slots
            .iter()
            .filter(|(_, s)| s.stage.get() == Stage::Idle || s.is_ended())
            .filter(|(_, s)| s.since.get().elapsed() >= MIN_IDLE_TO_EVICT)
            .collect();
        idle.sort_by_key(|(_, s)| s.since.get());
        idle.into_iter().find(|(_, s)| s.is_ended() || s.is_unused()).map(|(&n, s)| (n, s.clone()))
    }

    /// Adds a connection's slot and returns its number.
    pub fn insert(&self, slot: &Rc<ConnectionSlot>) -> u64 {
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        number
    }

    /// Frees the slot of a connection whose descriptor is closed before any other task runs.
    pub fn remove(&self, number: u64) {
        let had_slot = self.slots.borrow_mut().remove(&number).is_some();
        if had_slot || self.evicted.borrow_mut().remove(&number) {
            self.connection_closed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
