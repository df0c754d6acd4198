//! Non-blocking sockets: the caller polls for readiness, then tries an operation.
//!
//! Bytes that [`Stream::try_write`] has accepted may have reached the peer. The daemon decides by their
//! number whether a call may have been executed, so an implementation must not buffer bytes before it counts
//! them.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A connection attempt in progress.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Rc<dyn Stream>>>>>;

/// The network.
pub trait Network {
    /// Connects to an address. It has no time-out but the system's; callers set their own.
    fn connect(&self, to: SocketAddr) -> ConnectFuture;

    /// Listens for connections on an address.
    ///
    /// # Errors
    /// The address is not available.
    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>>;

    /// Listens for connections of processes on the same machine, on a private socket of this name. An earlier
    /// listener of the same name receives no further connections.
    ///
    /// # Errors
    /// The socket cannot be created.
    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>>;

    /// Connects to the private socket of this name.
    fn connect_local(&self, name: &str) -> ConnectFuture;

    /// Opens a datagram socket on an address.
    ///
    /// # Errors
    /// The address is not available.
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>>;
}

/// A connection. It is closed when the last handle is dropped.
pub trait Stream {
    /// Polls until [`Self::try_read`] may find data or the end of the stream.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads the available bytes. Returns 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` if no bytes are available, `OutOfMemory` if the system lacks memory at present.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize>;
    /// Polls until [`Self::try_write`] may find room.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Writes as many bytes as there is room for, and returns their number.
    ///
    /// # Errors
    /// `WouldBlock` if there is no room, `OutOfMemory` if the system lacks memory at present.
    fn try_write(&self, buf: &[u8]) -> io::Result<usize>;
    /// Returns whether no unread data has arrived from the peer, nor the end of the stream. It queries the
    /// system itself, since the runtime's view of a socket is only as recent as its last poll.
    fn has_no_unread_data(&self) -> bool;
    /// Shuts down one direction, or both.
    ///
    /// # Errors
    /// The connection had ended before.
    fn shutdown(&self, how: Shutdown) -> io::Result<()>;
    /// Disables Nagle's algorithm, so that small writes are sent at once.
    ///
    /// # Errors
    /// The connection has ended.
    fn set_nodelay(&self) -> io::Result<()>;
}

/// A listening socket.
pub trait Listener {
    /// Polls for the next connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>>;
    /// Returns the address of the socket.
    ///
    /// # Errors
    /// The socket has no address, or it cannot be read.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// Accepts the next connection.
///
/// # Errors
/// As [`Listener::poll_accept`].
pub async fn accept(listener: &dyn Listener) -> io::Result<Rc<dyn Stream>> {
    poll_fn(|cx| listener.poll_accept(cx)).await
}

/// A datagram socket.
pub trait DatagramSocket {
    /// Polls for the next datagram, truncated to the length of the buffer. Returns its length and its sender.
    fn poll_recv_from(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>>;
    /// Sends a datagram, which may be lost.
    ///
    /// # Errors
    /// The datagram was not sent.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;
}
