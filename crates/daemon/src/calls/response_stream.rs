//! A connection to an endpoint as hyper reads it: without responses that answer no call.

use super::progress::Progress;
use super::surplus::SurplusResponses;
use notchpoint_policy::EndpointId;
use notchpoint_seam::Stream;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Bytes read at a time while it is not known which call they answer.
const READ_BLOCK_BYTES: usize = 4 << 10;

/// A stream that passes on what the filter of its connection attributes to the current call.
pub(super) struct ResponseStream {
    pub(super) stream: Rc<dyn Stream>,
    pub(super) progress: Rc<Progress>,
    pub(super) endpoint: EndpointId,
    pub(super) surplus: Rc<SurplusResponses>,
}

impl ResponseStream {
    /// Passes received bytes to the filter, and records the responses that it discards.
    fn receive(&self, bytes: &[u8]) -> io::Result<()> {
        let mut filter = self.progress.filter.borrow_mut();
        let before = filter.surplus_responses();
        let received = filter.receive(bytes);
        for _ in before..filter.surplus_responses() {
            self.surplus.record(self.endpoint, &filter);
        }
        self.progress.received_more.notify_one();
        received
    }
}

impl Stream for ResponseStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.filter.borrow().has_released() {
            return Poll::Ready(Ok(()));
        }
        self.stream.poll_read_ready(cx)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        if self.progress.filter.borrow().is_transparent() {
            return self.stream.try_read(buf);
        }
        if !self.progress.filter.borrow().has_released() {
            let mut block = [0; READ_BLOCK_BYTES];
            let count = self.stream.try_read(&mut block)?;
            if count == 0 {
                return Ok(0);
            }
            self.receive(&block[..count])?;
        }
        match self.progress.filter.borrow_mut().read_released(buf) {
            0 => Err(io::ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.poll_write_ready(cx)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        self.stream.try_write(buf)
    }

    fn has_no_unread_data(&self) -> bool {
        self.progress.filter.borrow().is_empty() && self.stream.has_no_unread_data()
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.stream.shutdown(how)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay()
    }
}
