//! A socket that tells what passes on it: what a peer can have heard, and what it has said, decide what may
//! be done next.

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

/// Read at a time: far more than a usual request or answer, and little enough to lie on the stack.
const BLOCK: usize = 4 << 10;

/// Read at a time where a length was told, so that one that is a lie takes no memory.
const PIECE: usize = 64 << 10;

/// An operation that goes on failing although its socket is ready is tried again after this.
const REST: Duration = Duration::from_millis(5);
/// So many interruptions in a row are no signals any more.
const INTERRUPTIONS: u32 = 8;

/// Whether an error of `connect` is of this machine, which lacks a socket, a port, memory or a route: all
/// that Linux documents for `socket` and `connect` but what the other side, or the way there, has said.
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

/// When an operation that failed is to be tried again; the connection itself is sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    /// Once the socket is ready, or at once where a signal came in between.
    Now,
    /// After a rest: the system lacks memory for it, or it is interrupted again and again.
    Later,
}

/// The errors of one operation that is tried again and again.
#[derive(Debug, Default)]
struct Failures {
    interrupted: u32,
}

impl Failures {
    /// When it is to be tried again after this error; nothing where it ends the connection.
    fn again(&mut self, why: &io::Error) -> Option<Again> {
        match why.kind() {
            ErrorKind::WouldBlock => Some(Again::Now),
            ErrorKind::OutOfMemory => Some(Again::Later),
            ErrorKind::Interrupted => {
                self.interrupted += 1;
                Some(if self.interrupted.is_multiple_of(INTERRUPTIONS) { Again::Later } else { Again::Now })
            }
            _ => None,
        }
    }

    /// The same, with the rest.
    async fn rest(&mut self, why: io::Error) -> io::Result<()> {
        match self.again(&why) {
            Some(Again::Now) => Ok(()),
            Some(Again::Later) => {
                sleep(REST).await;
                Ok(())
            }
            None => Err(why),
        }
    }
}

/// Reads what is there, once something is; 0 at the end.
pub async fn read_some(stream: &dyn Stream, block: &mut [u8]) -> io::Result<usize> {
    let mut failures = Failures::default();
    loop {
        poll_fn(|cx| stream.poll_read_ready(cx)).await?;
        match stream.try_read(block) {
            Ok(read) => return Ok(read),
            Err(why) => failures.rest(why).await?,
        }
    }
}

/// Reads so many bytes.
pub async fn read_exactly(stream: &dyn Stream, mut len: usize) -> io::Result<Vec<u8>> {
    let (mut all, mut block) = (Vec::new(), vec![0; PIECE.min(len)]);
    while len > 0 {
        let most = PIECE.min(len);
        match read_some(stream, &mut block[..most]).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => {
                all.extend_from_slice(&block[..n]);
                len -= n;
            }
        }
    }
    Ok(all)
}

/// Writes all of it.
pub async fn write_all(stream: &dyn Stream, mut bytes: &[u8]) -> io::Result<()> {
    let mut failures = Failures::default();
    while !bytes.is_empty() {
        poll_fn(|cx| stream.poll_write_ready(cx)).await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(why) => failures.rest(why).await?,
        }
    }
    Ok(())
}

pub trait Observer {
    /// These bytes came from the peer, and are handed on.
    fn on_read(&self, bytes: &[u8]);
    /// These bytes were handed to the system.
    fn on_write(&self, bytes: &[u8]);
    /// Nothing is left unwritten.
    fn on_flush(&self) {}
}

/// Nobody looks on.
impl Observer for () {
    fn on_read(&self, _: &[u8]) {}
    fn on_write(&self, _: &[u8]) {}
}

pub struct ObservedStream<O> {
    stream: Rc<dyn Stream>,
    observer: O,
    reading: Rest,
    writing: Rest,
}

/// One direction of a connection rests for this while its operations fail.
type Rest = Option<Pin<Box<Sleep>>>;

impl<O> ObservedStream<O> {
    pub fn new(stream: Rc<dyn Stream>, observer: O) -> Self {
        Self { stream, observer, reading: None, writing: None }
    }
}

/// Runs an operation of the system until it is done or the socket is not ready for it.
fn attempt<T>(
    cx: &mut Context<'_>,
    rest: &mut Rest,
    ready: impl Fn(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut run: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    let mut failures = Failures::default();
    loop {
        if let Some(resting) = rest {
            ready!(resting.as_mut().poll(cx));
            *rest = None;
        }
        ready!(ready(cx))?;
        match run() {
            Ok(done) => return Poll::Ready(Ok(done)),
            Err(why) => match failures.again(&why) {
                Some(Again::Now) => {}
                Some(Again::Later) => *rest = Some(Box::pin(sleep(REST))),
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
        let mut block = [0; BLOCK];
        let room = BLOCK.min(buf.remaining());
        let Self { stream, reading, .. } = &mut *self;
        let ready = |cx: &mut Context<'_>| stream.poll_read_ready(cx);
        let n = ready!(attempt(cx, reading, ready, || stream.try_read(&mut block[..room])))?;
        self.observer.on_read(&block[..n]);
        buf.put_slice(&block[..n]);
        Poll::Ready(Ok(()))
    }
}

impl<O: Observer + Unpin> Write for ObservedStream<O> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Self { stream, writing, .. } = &mut *self;
        let ready = |cx: &mut Context<'_>| stream.poll_write_ready(cx);
        let n = ready!(attempt(cx, writing, ready, || stream.try_write(buf)))?;
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
