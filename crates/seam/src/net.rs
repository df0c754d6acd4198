//! Sockets, as a non-blocking one behaves: readiness is polled, then an operation is tried.
//!
//! Bytes that were handed over by [`Stream::try_write`] may have reached the peer: what has run is judged by
//! them, so no world may buffer before it counts.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A connection that is being made.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Rc<dyn Stream>>>>>;

/// Where connections come from and go to.
pub trait Network {
    /// Connects. It waits for as long as the system does; callers set their own limit.
    fn connect(&self, to: SocketAddr) -> ConnectFuture;

    /// Listens for connections.
    ///
    /// # Errors
    /// The address cannot be had.
    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>>;

    /// Listens for connections of this machine's own processes, at a private place of that name; who listened
    /// there before no longer hears of new ones.
    ///
    /// # Errors
    /// The place cannot be had.
    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>>;

    /// Connects to who listens at that private place.
    fn connect_local(&self, name: &str) -> ConnectFuture;

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// The address cannot be had.
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>>;
}

/// A connection. It ends when the last handle is dropped.
pub trait Stream {
    /// Ready once [`Self::try_read`] may find something, its end included.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what is there; 0 at the end.
    ///
    /// # Errors
    /// `WouldBlock` where nothing is there, `OutOfMemory` where the system lacks memory just now.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize>;
    /// Ready once [`Self::try_write`] may find room.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Hands over what there is room for.
    ///
    /// # Errors
    /// `WouldBlock` where there is none, `OutOfMemory` where the system lacks memory just now.
    fn try_write(&self, buf: &[u8]) -> io::Result<usize>;
    /// Whether the peer has said nothing that was not read yet, its end included. It asks the system itself:
    /// what the runtime knows of a socket is as old as its last look.
    fn has_no_unread_data(&self) -> bool;
    /// Ends one direction, or both.
    ///
    /// # Errors
    /// It had ended before.
    fn shutdown(&self, how: Shutdown) -> io::Result<()>;
    /// Small writes go out at once.
    ///
    /// # Errors
    /// The connection has ended.
    fn set_nodelay(&self) -> io::Result<()>;
}

/// Takes connections.
pub trait Listener {
    /// The next connection, and who made it.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>>;
    /// Where it listens.
    ///
    /// # Errors
    /// The socket is of no use.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// Takes the next connection.
///
/// # Errors
/// As the listener's.
pub async fn accept(listener: &dyn Listener) -> io::Result<Rc<dyn Stream>> {
    poll_fn(|cx| listener.poll_accept(cx)).await
}

/// A socket for datagrams.
pub trait DatagramSocket {
    /// The next one, cut to the buffer's length, and who sent it.
    fn poll_recv_from(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>>;
    /// Sends one; it may be lost.
    ///
    /// # Errors
    /// It was not sent.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;
}
