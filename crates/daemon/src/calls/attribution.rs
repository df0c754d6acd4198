//! Decides which response on a connection answers its current call.
//!
//! HTTP/1.1 matches responses to requests by their order alone. An endpoint that writes a second copy of a
//! response shifts the order: a copy that crosses the next request looks like the response to it. Therefore a
//! response counts only if no earlier call on its connection can have had the same one:
//!
//! - On a new connection the first response answers the first call.
//! - A connection carries a further call only after responses with status 200. Any other status is no copy.
//! - A response with status 200 has to show which call it answers. That to a batch lists messages that the
//!   call before did not carry. Any other request asks the endpoint to close the connection, and its
//!   response announces that with `Connection: close`, as no earlier response on the connection did.
//!
//! All other responses are surplus and are discarded. Nothing of this depends on time.

use super::answer::read_batch;
use super::framing::{Head, HeadStart, Unreadable, is_interim};
use crate::state::record::RequestId;
use std::collections::VecDeque;
use std::io;
use tokio::time::Instant;

/// What a response to the current call looks like.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum ExpectedResponse {
    /// No call is in progress.
    #[default]
    None,
    /// Any: it is the first on its connection.
    First,
    /// If its status is 200, it lists one of these messages or announces the end of the connection.
    Later { listed: Vec<RequestId> },
}

/// What the bytes at the start of those held back are.
#[derive(Debug, PartialEq, Eq)]
enum Attribution {
    /// More bytes are needed to tell.
    Undecided,
    /// The response to the current call begins here.
    CurrentCall,
    /// A response of this length that precedes the final one, or that answers no call.
    Skipped { length: usize, is_surplus: bool },
}

/// Holds back the bytes received on a connection until they are known to answer the current call, and
/// discards those that do not.
#[derive(Debug, Default)]
pub(super) struct ResponseFilter {
    expected: ExpectedResponse,
    /// The messages of the current call, or of the last one if none is in progress.
    messages: Vec<RequestId>,
    /// The messages of the call before that.
    earlier_messages: Vec<RequestId>,
    /// Bytes of a response that is not attributed yet.
    held: Vec<u8>,
    /// When the last of them was received.
    held_at: Option<Instant>,
    /// The current call's response has begun, and all that follows passes.
    passes: bool,
    /// Bytes that are ready to be read.
    released: VecDeque<u8>,
    surplus_responses: usize,
    has_received: bool,
}

impl ResponseFilter {
    /// Starts a call with these messages.
    pub(super) fn start_call(&mut self, expected: ExpectedResponse, messages: Vec<RequestId>) {
        let passes = expected == ExpectedResponse::First;
        let earlier_messages = std::mem::take(&mut self.messages);
        *self = Self { expected, messages, earlier_messages, passes, ..Self::default() };
    }

    /// Ends the call. Whatever is received from now on answers none.
    pub(super) fn end_call(&mut self) {
        (self.expected, self.passes) = (ExpectedResponse::None, false);
    }

    /// The messages of the current call, or of the last one if none is in progress.
    pub(super) fn messages(&self) -> &[RequestId] {
        &self.messages
    }

    /// The messages of the call before that.
    pub(super) fn earlier_messages(&self) -> &[RequestId] {
        &self.earlier_messages
    }

    /// Whether bytes are passed on as they are.
    pub(super) fn is_transparent(&self) -> bool {
        self.passes && self.released.is_empty()
    }

    /// Whether bytes are ready to be read.
    pub(super) fn has_released(&self) -> bool {
        !self.released.is_empty()
    }

    /// Whether no bytes are kept here, ready or not.
    pub(super) fn is_empty(&self) -> bool {
        self.released.is_empty() && self.held.is_empty()
    }

    /// Moves released bytes to `buf`, and returns their number.
    pub(super) fn read_released(&mut self, buf: &mut [u8]) -> usize {
        let count = buf.len().min(self.released.len());
        buf.iter_mut().zip(self.released.drain(..count)).for_each(|(to, byte)| *to = byte);
        count
    }

    /// When the last byte was received of a response that is still held back.
    pub(super) fn held_at(&self) -> Option<Instant> {
        self.held_at
    }

    /// The number of responses that were discarded in the current call because they do not answer it.
    pub(super) fn surplus_responses(&self) -> usize {
        self.surplus_responses
    }

    /// Whether any byte was received in the current call.
    pub(super) fn has_received(&self) -> bool {
        self.has_received
    }

    /// Takes bytes received from the endpoint.
    ///
    /// # Errors
    /// `InvalidData` if they are no response, or one whose end cannot be found.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.has_received = true;
        if self.expected == ExpectedResponse::None && !self.passes {
            self.surplus_responses += 1;
            self.passes = true;
        }
        if self.passes {
            self.released.extend(bytes);
            return Ok(());
        }
        self.held.extend_from_slice(bytes);
        loop {
            match self.attribute().map_err(|Unreadable| io::ErrorKind::InvalidData)? {
                Attribution::Undecided => break,
                Attribution::CurrentCall => {
                    self.passes = true;
                    self.released.extend(self.held.drain(..));
                }
                Attribution::Skipped { length, is_surplus } => {
                    self.held.drain(..length);
                    self.surplus_responses += usize::from(is_surplus);
                }
            }
        }
        self.held_at = if self.held.is_empty() { None } else { Some(Instant::now()) };
        Ok(())
    }

    fn attribute(&self) -> Result<Attribution, Unreadable> {
        let start = HeadStart::read(&self.held);
        if start.status.is_some_and(|status| !is_interim(status) && (status != 200 || start.closes)) {
            return Ok(Attribution::CurrentCall);
        }
        let Some(head) = Head::parse(&self.held)? else { return Ok(Attribution::Undecided) };
        if is_interim(head.status) {
            return Ok(Attribution::Skipped { length: head.length, is_surplus: false });
        }
        let Some(response) = head.read_response(&self.held)? else { return Ok(Attribution::Undecided) };
        let results = read_batch(&response.body, None, None);
        if self.listed_messages().iter().any(|id| results.contains_key(id)) {
            return Ok(Attribution::CurrentCall);
        }
        Ok(Attribution::Skipped { length: response.length, is_surplus: true })
    }

    fn listed_messages(&self) -> &[RequestId] {
        match &self.expected {
            ExpectedResponse::Later { listed } => listed,
            ExpectedResponse::None | ExpectedResponse::First => &[],
        }
    }
}

#[cfg(test)]
mod tests;
