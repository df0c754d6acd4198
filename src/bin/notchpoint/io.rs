//! A socket that tells what passes out of it: what a peer can have heard decides what may be done next.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

pub trait Observer {
    /// These bytes were handed to the system.
    fn wrote(&self, bytes: &[u8]);
    /// Nothing is left unwritten.
    fn flushed(&self) {}
}

pub struct Observed<O> {
    inner: TokioIo<TcpStream>,
    observer: O,
}

impl<O> Observed<O> {
    pub fn new(stream: TcpStream, observer: O) -> Self {
        Self { inner: TokioIo::new(stream), observer }
    }
}

impl<O: Unpin> Read for Observed<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<O: Observer + Unpin> Write for Observed<O> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = done {
            self.observer.wrote(&buf[..n]);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.inner).poll_flush(cx);
        if let Poll::Ready(Ok(())) = done {
            self.observer.flushed();
        }
        done
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
