//! Observes the bytes of the current request and its response on a connection, independently of hyper.

use super::attribution::ResponseFilter;
use super::framing::parse_status;
use crate::io::Observer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How much of the current request has been written, and what has been received in response.
#[derive(Default)]
pub(super) struct Progress {
    /// Matched bytes of the sequence `\r\n\r\n` that ends the request's head; 4 once the head is complete.
    head_end_matched: Cell<usize>,
    body_left: Cell<usize>,
    pub(super) received: RefCell<ReceivedBytes>,
    /// Holds back what may not belong to the response; `received` has only what it passes.
    pub(super) filter: RefCell<ResponseFilter>,
    /// Notified whenever bytes are received.
    pub(super) received_more: Notify,
}

/// The bytes received in response. The status line counts even if hyper cannot parse the rest.
#[derive(Debug, Default)]
pub(super) struct ReceivedBytes {
    /// When the first byte was received.
    pub(super) first_byte_at: Option<Instant>,
    /// The first byte was received before the request's last byte was written, so it does not belong to a
    /// response to this request.
    pub(super) early: bool,
    total_bytes: usize,
    status_line: Vec<u8>,
    status: Option<u16>,
    /// Bytes in the current line of the head, without the line's end.
    column: usize,
    /// Offset at which the body begins.
    body_start: Option<usize>,
}

/// Length of `HTTP/1.1 200` and one byte that ends the number.
const STATUS_LINE_BYTES: usize = 13;

impl ReceivedBytes {
    fn push(&mut self, byte: u8) {
        let end = byte == b'\n';
        self.total_bytes += 1;
        if self.body_start.is_some() || (self.status_line.is_empty() && matches!(byte, b'\r' | b'\n')) {
            return;
        }
        if self.status.is_none() && self.status_line.len() <= STATUS_LINE_BYTES {
            // Only a complete line counts: what an endpoint meant that stopped within the line is not known.
            if self.status_line.len() < STATUS_LINE_BYTES {
                self.status_line.push(byte);
            }
            if end {
                self.status = parse_status(&self.status_line);
                self.status_line.resize(STATUS_LINE_BYTES + 1, 0);
            }
        }
        match (end, self.column) {
            (true, 0) if self.status.is_some_and(|s| (100..200).contains(&s)) => *self = Self::default(),
            (true, 0) => self.body_start = Some(self.total_bytes),
            (true, _) => self.column = 0,
            (false, _) => self.column += usize::from(byte != b'\r'),
        }
    }
}

impl Progress {
    /// Resets the progress for a new request with a body of this length.
    pub(super) fn start_request(&self, body: usize) {
        self.head_end_matched.set(0);
        self.body_left.set(body);
        self.received.take();
    }

    /// Whether the request's last byte has been written.
    pub(super) fn is_request_complete(&self) -> bool {
        self.head_end_matched.get() == 4 && self.body_left.get() == 0
    }

    /// Whether the response to the complete request has status 200.
    pub(super) fn has_ok_status(&self) -> bool {
        let received = self.received.borrow();
        received.status == Some(200) && !received.early && self.is_request_complete()
    }

    /// When the time began in which the rest of a response has to arrive: with the first byte of the
    /// response, or with the last one so far of a response that is not attributed to a call yet.
    pub(super) fn response_awaited_since(&self) -> Option<Instant> {
        self.received.borrow().first_byte_at.or_else(|| self.filter.borrow().held_at())
    }

    /// Whether any byte was received in the current call, of whatever response.
    pub(super) fn has_received_bytes(&self) -> bool {
        self.received.borrow().first_byte_at.is_some() || self.filter.borrow().has_received()
    }

    /// Whether more bytes were received than a response with a body of this length has.
    pub(super) fn has_excess_bytes(&self, body: u64) -> bool {
        let received = self.received.borrow();
        received.body_start.is_none_or(|start| (received.total_bytes - start) as u64 > body)
    }
}

impl Observer for Rc<Progress> {
    fn on_read(&self, bytes: &[u8]) {
        let complete = self.is_request_complete();
        let mut received = self.received.borrow_mut();
        for &byte in bytes {
            if received.first_byte_at.is_none() {
                (received.first_byte_at, received.early) = (Some(Instant::now()), !complete);
            }
            received.push(byte);
        }
        self.received_more.notify_one();
    }

    fn on_write(&self, mut bytes: &[u8]) {
        while self.head_end_matched.get() < 4 {
            let Some((&b, rest)) = bytes.split_first() else { return };
            let seen = self.head_end_matched.get();
            self.head_end_matched.set(match (b == b"\r\n\r\n"[seen], b) {
                (true, _) => seen + 1,
                (false, b'\r') => 1,
                _ => 0,
            });
            bytes = rest;
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len()));
    }
}
