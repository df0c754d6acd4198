//! The predecessor's side of its successor: requests that this process still reads are recorded by the
//! successor.

use crate::handover::protocol::{ForwardResult, ForwardedRequest, Frame};
use notchpoint_policy::MessageId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// The process that has taken over or, once that has ended, the next session of this process.
pub struct Successor {
    outgoing: RefCell<UnboundedSender<Frame>>,
    next_number: Cell<u64>,
    /// Requests that wait for a response, at most one for each connection.
    pending: RefCell<BTreeMap<u64, PendingRequest>>,
}

/// A request that waits for a response.
struct PendingRequest {
    request: ForwardedRequest,
    response: oneshot::Sender<ForwardResult>,
}

impl Successor {
    /// Creates the successor that receives these frames.
    pub fn new(outgoing: UnboundedSender<Frame>) -> Self {
        Self { outgoing: RefCell::new(outgoing), next_number: Cell::new(0), pending: RefCell::default() }
    }

    /// Has the successor record a request. If no process responds any more, nothing was acknowledged, and
    /// the client is advised to retry later. If the returned future is dropped because the client has gone,
    /// the record is withdrawn.
    pub async fn forward(&self, request: ForwardedRequest) -> ForwardResult {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (response, responded) = oneshot::channel();
        let mut waiting = WaitingRequest { successor: self, id: request.id, responded };
        self.send(Frame::ForwardRequest { number, request: request.clone() });
        self.pending.borrow_mut().insert(number, PendingRequest { request, response });
        (&mut waiting.responded).await.unwrap_or(ForwardResult::RetryLater)
    }

    /// Delivers the response to a forwarded request.
    pub fn complete(&self, number: u64, result: ForwardResult) {
        let Some(PendingRequest { request, response }) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        if response.send(result) == Err(result) {
            self.withdraw(request.id, result);
        }
    }

    /// Messages of the requests that wait for a response.
    pub fn pending(&self) -> BTreeSet<MessageId> {
        self.pending.borrow().values().map(|pending| pending.request.id).collect()
    }

    /// Whether any request waits for a response.
    pub fn has_pending(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Replaces a successor that has ended by the next owner of the store. The ended one may have recorded
    /// requests that it did not respond to: only the process that reads the store next can know, so the same
    /// requests are sent again, and none is refused before that.
    pub fn redirect(&self, outgoing: UnboundedSender<Frame>) {
        *self.outgoing.borrow_mut() = outgoing;
        for (&number, pending) in &*self.pending.borrow() {
            self.send(Frame::ForwardRequest { number, request: pending.request.clone() });
        }
    }

    /// Drops all waiting requests: no process responds any more.
    pub fn close(&self) {
        self.pending.borrow_mut().clear();
    }

    fn send(&self, frame: Frame) {
        let _ = self.outgoing.borrow().send(frame);
    }

    fn withdraw(&self, id: MessageId, result: ForwardResult) {
        if matches!(result, ForwardResult::Recorded { .. }) {
            self.send(Frame::Unacknowledged(id));
        }
    }
}

/// A forwarded request whose client connection waits for the response.
struct WaitingRequest<'a> {
    successor: &'a Successor,
    id: MessageId,
    responded: oneshot::Receiver<ForwardResult>,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        // Withdraws the record if the response has arrived and was not processed. A response that arrives
        // after this finds the channel closed, and `complete` withdraws the record.
        self.responded.close();
        if let Ok(result) = self.responded.try_recv() {
            self.successor.withdraw(self.id, result);
        }
    }
}
