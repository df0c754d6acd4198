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

/// An operation for which the system lacks memory is tried again after this.
const MEMORY_REST: Duration = Duration::from_millis(5);

/// Whether an error of `connect` is of this machine, which lacks a socket, a port, memory or a route: all that
/// Linux documents for `socket` and `connect` but what the other side, or the way there, has said.
pub fn is_local(why: &io::Error) -> bool {
    !matches!(
        why.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
    )
}

/// Whether the system lacks memory for an operation on a socket just now; the connection itself is sound.
fn lacks_memory(why: &io::Error) -> bool {
    why.kind() == ErrorKind::OutOfMemory
}

/// Whether an operation on a socket is to be tried again: it is not ready, or a signal came in between.
fn is_passing(why: &io::Error) -> bool {
    matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads what is there, once something is; 0 at the end.
pub async fn read_some(stream: &dyn Stream, block: &mut [u8]) -> io::Result<usize> {
    loop {
        poll_fn(|cx| stream.poll_read_ready(cx)).await?;
        match stream.try_read(block) {
            Err(why) if is_passing(&why) => {}
            Err(why) if lacks_memory(&why) => sleep(MEMORY_REST).await,
            done => return done,
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
    while !bytes.is_empty() {
        poll_fn(|cx| stream.poll_write_ready(cx)).await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(why) if is_passing(&why) => {}
            Err(why) if lacks_memory(&why) => sleep(MEMORY_REST).await,
            Err(why) => return Err(why),
        }
    }
    Ok(())
}

pub trait Observer {
    /// These bytes came from the peer, and are handed on.
    fn read(&self, bytes: &[u8]);
    /// These bytes were handed to the system.
    fn wrote(&self, bytes: &[u8]);
    /// Nothing is left unwritten.
    fn flushed(&self) {}
}

/// Nobody looks on.
impl Observer for () {
    fn read(&self, _: &[u8]) {}
    fn wrote(&self, _: &[u8]) {}
}

pub struct Observed<O> {
    stream: Rc<dyn Stream>,
    observer: O,
    reading: Rest,
    writing: Rest,
}

/// One direction of a connection rests for this while the system lacks memory for it.
type Rest = Option<Pin<Box<Sleep>>>;

impl<O> Observed<O> {
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
    loop {
        if let Some(resting) = rest {
            ready!(resting.as_mut().poll(cx));
            *rest = None;
        }
        ready!(ready(cx))?;
        match run() {
            Err(why) if is_passing(&why) => {}
            Err(why) if lacks_memory(&why) => *rest = Some(Box::pin(sleep(MEMORY_REST))),
            done => return Poll::Ready(done),
        }
    }
}

impl<O: Observer + Unpin> Read for Observed<O> {
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
        self.observer.read(&block[..n]);
        buf.put_slice(&block[..n]);
        Poll::Ready(Ok(()))
    }
}

impl<O: Observer + Unpin> Write for Observed<O> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Self { stream, writing, .. } = &mut *self;
        let ready = |cx: &mut Context<'_>| stream.poll_write_ready(cx);
        let n = ready!(attempt(cx, writing, ready, || stream.try_write(buf)))?;
        self.observer.wrote(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown(Shutdown::Write))
    }
}
