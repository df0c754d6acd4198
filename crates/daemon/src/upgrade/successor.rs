//! The process that has taken over, as the old one sees it: what is still read here is recorded there.

use crate::upgrade::handover::{Frame, Handed, Taken};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

pub struct Successor {
    to: UnboundedSender<Frame>,
    next: Cell<u64>,
    /// Requests that wait for its answer: as many as connections at most.
    asked: RefCell<BTreeMap<u64, oneshot::Sender<Taken>>>,
}

impl Successor {
    pub fn new(to: UnboundedSender<Frame>) -> Self {
        Self { to, next: Cell::new(0), asked: RefCell::default() }
    }

    /// Has a request recorded. Without an answer nothing was promised, and the client is told to come back.
    pub async fn take(&self, handed: Handed) -> Taken {
        let number = self.next.replace(self.next.get() + 1);
        let (answer, answered) = oneshot::channel();
        self.asked.borrow_mut().insert(number, answer);
        let _ = self.to.send(Frame::Handed { number, handed });
        answered.await.unwrap_or(Taken::ComeBack)
    }

    pub fn answered(&self, number: u64, taken: Taken) {
        if let Some(answer) = self.asked.borrow_mut().remove(&number) {
            let _ = answer.send(taken);
        }
    }

    /// It has gone: nobody answers any more.
    pub fn gone(&self) {
        self.asked.borrow_mut().clear();
    }
}
