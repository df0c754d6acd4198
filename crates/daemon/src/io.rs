//! Reading and writing of streams, with retries, and streams whose reads and writes are reported to an
//! observer: what a peer can have received, and what it has sent, decide what may be done next.

use hyper::rt::{Read, ReadBufCursor, Write};
use notchpoint_seam::Stream;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// Bytes read at a time: far more than a usual request or response, and few enough to lie on the stack.
const READ_BLOCK_BYTES: usize = 4 << 10;

/// Bytes read at a time where the peer announced a length, so that a false length takes no memory.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// Pause before an operation is retried that keeps failing although its socket is ready.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// This many interruptions in a row cannot come from signals.
const INTERRUPTIONS_BEFORE_DELAY: u32 = 8;

/// Whether an error of `connect` has its cause on this machine, which lacks a socket, a port, memory or a
/// route. These are all errors that Linux documents for `socket` and `connect`, except those that the other
/// side or the network reported.
pub fn is_local_error(why: &io::Error) -> bool {
    !matches!(
        why.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
    )
}

/// When a failed operation is retried; the connection itself is intact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// Once the socket is ready, or immediately if a signal interrupted the operation.
    Now,
    /// After a delay: the system lacks memory for it, or it was interrupted repeatedly.
    Later,
}

/// Decides on retries of one operation by its errors.
#[derive(Debug, Default)]
struct RetryPolicy {
    interrupted: u32,
}

impl RetryPolicy {
    /// When to retry after this error; `None` if the error ends the connection.
    fn after(&mut self, why: &io::Error) -> Option<Retry> {
        match why.kind() {
            ErrorKind::WouldBlock => Some(Retry::Now),
            ErrorKind::OutOfMemory => Some(Retry::Later),
            ErrorKind::Interrupted => {
                self.interrupted += 1;
                Some(if self.interrupted.is_multiple_of(INTERRUPTIONS_BEFORE_DELAY) {
                    Retry::Later
                } else {
                    Retry::Now
                })
            }
            _ => None,
        }
    }

    /// Waits until the operation may be retried; returns the error if it ends the connection.
    async fn wait(&mut self, why: io::Error) -> io::Result<()> {
        match self.after(&why) {
            Some(Retry::Now) => Ok(()),
            Some(Retry::Later) => {
                sleep(RETRY_DELAY).await;
                Ok(())
            }
            None => Err(why),
        }
    }
}

/// Waits until the stream is readable and reads what is there; returns 0 at the end of the stream.
pub async fn read_some(stream: &dyn Stream, block: &mut [u8]) -> io::Result<usize> {
    let mut retries = RetryPolicy::default();
    loop {
        poll_fn(|cx| stream.poll_read_ready(cx)).await?;
        match stream.try_read(block) {
            Ok(read) => return Ok(read),
            Err(why) => retries.wait(why).await?,
        }
    }
}

/// Reads exactly `len` bytes.
pub async fn read_exactly(stream: &dyn Stream, mut len: usize) -> io::Result<Vec<u8>> {
    let (mut all, mut block) = (Vec::new(), vec![0; READ_CHUNK_BYTES.min(len)]);
    while len > 0 {
        let limit = READ_CHUNK_BYTES.min(len);
        match read_some(stream, &mut block[..limit]).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => {
                all.extend_from_slice(&block[..n]);
                len -= n;
            }
        }
    }
    Ok(all)
}

/// Writes all bytes.
pub async fn write_all(stream: &dyn Stream, mut bytes: &[u8]) -> io::Result<()> {
    let mut retries = RetryPolicy::default();
    while !bytes.is_empty() {
        poll_fn(|cx| stream.poll_write_ready(cx)).await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(why) => retries.wait(why).await?,
        }
    }
    Ok(())
}

/// Is notified of what passes on a stream.
pub trait Observer {
    /// These bytes were received from the peer and are passed on to the reader.
    fn on_read(&self, bytes: &[u8]);
    /// These bytes were passed to the operating system.
    fn on_write(&self, bytes: &[u8]);
    /// All bytes were passed to the operating system.
    fn on_flush(&self) {}
}

/// Observes nothing.
impl Observer for () {
    fn on_read(&self, _: &[u8]) {}
    fn on_write(&self, _: &[u8]) {}
}

/// A stream for hyper that notifies an observer of its reads and writes.
pub struct ObservedStream<O> {
    stream: Rc<dyn Stream>,
    observer: O,
    read_delay: RetryDelay,
    write_delay: RetryDelay,
}

/// The delay in force for one direction of a connection while its operations fail.
type RetryDelay = Option<Pin<Box<Sleep>>>;

impl<O> ObservedStream<O> {
    /// Wraps a stream, whose reads and writes the observer is notified of.
    pub fn new(stream: Rc<dyn Stream>, observer: O) -> Self {
        Self { stream, observer, read_delay: None, write_delay: None }
    }
}

/// Runs a system call until it succeeds, fails for good, or the socket is not ready for it.
fn poll_with_retries<T>(
    cx: &mut Context<'_>,
    delay: &mut RetryDelay,
    ready: impl Fn(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut run: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    let mut retries = RetryPolicy::default();
    loop {
        if let Some(sleeping) = delay {
            ready!(sleeping.as_mut().poll(cx));
            *delay = None;
        }
        ready!(ready(cx))?;
        match run() {
            Ok(done) => return Poll::Ready(Ok(done)),
            Err(why) => match retries.after(&why) {
                Some(Retry::Now) => {}
                Some(Retry::Later) => *delay = Some(Box::pin(sleep(RETRY_DELAY))),
                None => return Poll::Ready(Err(why)),
            },
        }
    }
}

impl<O: Observer + Unpin> Read for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut block = [0; READ_BLOCK_BYTES];
        let room = READ_BLOCK_BYTES.min(buf.remaining());
        let Self { stream, read_delay, .. } = &mut *self;
        let ready = |cx: &mut Context<'_>| stream.poll_read_ready(cx);
        let n = ready!(poll_with_retries(cx, read_delay, ready, || stream.try_read(&mut block[..room])))?;
        self.observer.on_read(&block[..n]);
        buf.put_slice(&block[..n]);
        Poll::Ready(Ok(()))
    }
}

impl<O: Observer + Unpin> Write for ObservedStream<O> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Self { stream, write_delay, .. } = &mut *self;
        let ready = |cx: &mut Context<'_>| stream.poll_write_ready(cx);
        let n = ready!(poll_with_retries(cx, write_delay, ready, || stream.try_write(buf)))?;
        self.observer.on_write(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown(Shutdown::Write))
    }
}
