//! The process that has taken over, as the old one sees it: what is still read here is recorded there.

use crate::handover::protocol::{ForwardResult, ForwardedRequest, Frame};
use notchpoint_policy::MessageId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

pub struct Successor {
    to: RefCell<UnboundedSender<Frame>>,
    next: Cell<u64>,
    /// Requests that wait for its answer: as many as connections at most.
    asked: RefCell<BTreeMap<u64, Asked>>,
}

/// A request that waits for an answer.
struct Asked {
    handed: ForwardedRequest,
    answer: oneshot::Sender<ForwardResult>,
}

impl Successor {
    pub fn new(to: UnboundedSender<Frame>) -> Self {
        Self { to: RefCell::new(to), next: Cell::new(0), asked: RefCell::default() }
    }

    /// Has a request recorded. Where nobody answers any more, nothing was promised, and the client is told to
    /// come back. If this is dropped, since the client has gone, the record is withdrawn.
    pub async fn forward(&self, handed: ForwardedRequest) -> ForwardResult {
        let number = self.next.replace(self.next.get() + 1);
        let (answer, answered) = oneshot::channel();
        let mut waiting = Waiting { successor: self, id: handed.id, answered };
        self.send(Frame::ForwardRequest { number, handed: handed.clone() });
        self.asked.borrow_mut().insert(number, Asked { handed, answer });
        (&mut waiting.answered).await.unwrap_or(ForwardResult::RetryLater)
    }

    pub fn answered(&self, number: u64, taken: ForwardResult) {
        let Some(Asked { handed, answer }) = self.asked.borrow_mut().remove(&number) else { return };
        if answer.send(taken) == Err(taken) {
            self.withdraw(handed.id, taken);
        }
    }

    /// Requests that wait for an answer.
    pub fn pending(&self) -> BTreeSet<MessageId> {
        self.asked.borrow().values().map(|asked| asked.handed.id).collect()
    }

    /// Requests wait for an answer.
    pub fn is_asked(&self) -> bool {
        !self.asked.borrow().is_empty()
    }

    /// It has gone, and another owner takes its place. It may have recorded what it did not answer: only who
    /// reads the folder next can tell, so the same is asked once more, and nothing is refused before that.
    pub fn replaced_by(&self, to: UnboundedSender<Frame>) {
        *self.to.borrow_mut() = to;
        for (&number, asked) in &*self.asked.borrow() {
            self.send(Frame::ForwardRequest { number, handed: asked.handed.clone() });
        }
    }

    /// Nobody answers any more.
    pub fn gone(&self) {
        self.asked.borrow_mut().clear();
    }

    fn send(&self, frame: Frame) {
        let _ = self.to.borrow().send(frame);
    }

    fn withdraw(&self, id: MessageId, taken: ForwardResult) {
        if matches!(taken, ForwardResult::Recorded { .. }) {
            self.send(Frame::Unacknowledged(id));
        }
    }
}

/// A request for whose answer its connection waits.
struct Waiting<'a> {
    successor: &'a Successor,
    id: MessageId,
    answered: oneshot::Receiver<ForwardResult>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        // An answer that has come and was not heard; after this one that comes finds nobody.
        self.answered.close();
        if let Ok(taken) = self.answered.try_recv() {
            self.successor.withdraw(self.id, taken);
        }
    }
}
