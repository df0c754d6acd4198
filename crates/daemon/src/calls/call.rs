//! What is known of one call while it is out.

use super::Item;
use super::pool::Connection;
use super::progress::Progress;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

pub(super) struct Call {
    pub(super) started: Instant,
    /// Messages that are still waited for; once the request is written, in its order.
    pub(super) waiting: RefCell<Vec<Item>>,
    /// The request carries several messages.
    pub(super) batch: Cell<bool>,
    pub(super) connection: RefCell<Option<Connection>>,
    /// Nothing of an earlier request counts: it is this one's once the connection is there.
    pub(super) progress: RefCell<Option<Rc<Progress>>>,
    /// From then on no answer counts: the time of the message that stands first in the request is up. The
    /// other end knows a call by that message, and drops it with that.
    over_at: Cell<Option<Instant>>,
    /// That moment was set.
    pub(super) news: Notify,
    /// Its only message was delivered while that counted.
    pub(super) settled: Cell<bool>,
}

impl Call {
    pub(super) fn new(items: Vec<Item>) -> Self {
        let (connection, progress, over_at, news) = Default::default();
        let (batch, settled) = (Cell::new(items.len() > 1), Cell::new(false));
        let (started, waiting) = (Instant::now(), RefCell::new(items));
        Self { started, waiting, batch, connection, progress, over_at, news, settled }
    }

    /// When the next of its messages, or all of it, is given up; nothing where nobody waits.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let next = self.waiting.borrow().iter().map(|i| self.started + i.timeout).min()?;
        Some(self.over_at.get().map_or(next, |at| at.min(next)))
    }

    /// Its request is written now, and stands until then.
    pub(super) fn begin(&self, over_at: Option<Instant>) {
        self.over_at.set(over_at);
        self.batch.set(self.waiting.borrow().len() > 1);
        self.news.notify_one();
    }

    pub(super) fn is_over(&self) -> bool {
        self.over_at.get().is_some_and(|at| Instant::now() >= at)
    }

    /// It is over within this time.
    pub(super) fn is_nearly_over(&self, within: Duration) -> bool {
        self.over_at.get().is_some_and(|at| Instant::now() + within >= at)
    }

    /// Its request's last byte has been written.
    pub(super) fn is_written(&self) -> bool {
        self.progress.borrow().as_ref().is_some_and(|p| p.complete())
    }

    /// Something of an answer has come.
    pub(super) fn is_answered(&self) -> bool {
        self.progress.borrow().as_ref().is_some_and(|p| p.came.borrow().since.is_some())
    }
}

pub(super) fn take(waiting: &RefCell<Vec<Item>>, which: impl FnMut(&mut Item) -> bool) -> Vec<Item> {
    waiting.borrow_mut().extract_if(.., which).collect()
}
