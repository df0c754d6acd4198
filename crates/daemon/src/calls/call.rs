//! The state of one call while it is in progress.

use super::CallItem;
use super::pool::Connection;
use super::progress::Progress;
use notchpoint_policy::Outcome;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One call: its messages, its connection, and how far it has got.
pub(super) struct Call {
    pub(super) started: Instant,
    /// Messages whose outcome is still open; once the request is written, in the request's order.
    pub(super) waiting: RefCell<Vec<CallItem>>,
    /// The request has the form for several messages, so that its response tells the result of each.
    pub(super) is_batch: Cell<bool>,
    pub(super) connection: RefCell<Option<Connection>>,
    /// Set once the call has its connection, so that nothing of an earlier request on it counts.
    pub(super) progress: RefCell<Option<Rc<Progress>>>,
    /// From then on no response counts, since the deadline of the request's first message has passed. The
    /// endpoint identifies a call by that message and drops the call with it.
    deadline: Cell<Option<Instant>>,
    /// Notified when `deadline` is set.
    pub(super) deadline_changed: Notify,
    /// The only message was delivered before the call's deadline.
    pub(super) is_settled: Cell<bool>,
}

/// Why the response is no longer awaited for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GiveUpReason {
    Cancelled,
    TimedOut,
}

impl Call {
    pub(super) fn new(items: Vec<CallItem>) -> Self {
        let (connection, progress, deadline, deadline_changed) = Default::default();
        let (is_batch, is_settled) = (Cell::new(items.len() > 1), Cell::new(false));
        let (started, waiting) = (Instant::now(), RefCell::new(items));
        Self { started, waiting, is_batch, connection, progress, deadline, deadline_changed, is_settled }
    }

    /// Returns when the next message, or the whole call, is given up; `None` if no message is waiting.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let next = self.waiting.borrow().iter().map(|i| self.started + i.timeout).min()?;
        Some(self.deadline.get().map_or(next, |at| at.min(next)))
    }

    /// Marks the start of writing the request, which is valid until the deadline.
    pub(super) fn begin(&self, deadline: Option<Instant>, is_batch: bool) {
        self.deadline.set(deadline);
        self.is_batch.set(is_batch);
        self.deadline_changed.notify_one();
    }

    /// Whether the call's deadline has passed.
    pub(super) fn is_expired(&self) -> bool {
        self.deadline.get().is_some_and(|at| Instant::now() >= at)
    }

    /// Whether the call's deadline passes within this time.
    pub(super) fn expires_within(&self, within: Duration) -> bool {
        self.deadline.get().is_some_and(|at| Instant::now() + within >= at)
    }

    /// Whether the request's last byte has been written.
    pub(super) fn is_request_written(&self) -> bool {
        self.progress.borrow().as_ref().is_some_and(|p| p.is_request_complete())
    }

    /// Whether the request may still reach the endpoint as a whole. Its connection goes on writing it for as
    /// long as any message of the call is waiting, also for the messages that have been given up. Once none
    /// is waiting, the connection is closed.
    fn may_arrive(&self) -> bool {
        let is_being_written = self.connection.borrow().is_some() && !self.waiting.borrow().is_empty();
        self.is_request_written() || is_being_written
    }

    /// Returns the outcome of messages that have just been removed from those waiting.
    pub(super) fn outcome_of_given_up(&self, reason: GiveUpReason) -> Outcome {
        match (reason, self.may_arrive()) {
            (GiveUpReason::Cancelled, true) => Outcome::Cancelled,
            (GiveUpReason::Cancelled, false) => Outcome::Moot,
            (GiveUpReason::TimedOut, true) => Outcome::TimedOut,
            (GiveUpReason::TimedOut, false) => Outcome::ConnectFailed,
        }
    }

    /// Whether any byte of a response was received.
    pub(super) fn has_response_bytes(&self) -> bool {
        self.progress.borrow().as_ref().is_some_and(|p| p.has_received_bytes())
    }
}

/// Removes and returns the messages that match.
pub(super) fn remove_matching(
    waiting: &RefCell<Vec<CallItem>>,
    which: impl FnMut(&mut CallItem) -> bool,
) -> Vec<CallItem> {
    waiting.borrow_mut().extract_if(.., which).collect()
}
