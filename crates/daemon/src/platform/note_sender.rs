//! Sends notes to other senders, for all parts of this sender.

use notchpoint_seam::DatagramSocket;
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest note. The platform does not allow longer datagrams.
pub const MAX_NOTE_BYTES: usize = 256;

/// Sends notes as datagrams.
pub struct NoteSender {
    socket: Rc<dyn DatagramSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl NoteSender {
    /// Creates a sender of notes to single peers, and to all peers at the address `all`.
    pub fn new(socket: Rc<dyn DatagramSocket>, peers: Vec<SocketAddr>, all: Option<SocketAddr>) -> Self {
        Self { socket, peers, all }
    }

    /// Sends a note to the peer with this number, or to all peers. Notes may be lost, so errors are ignored.
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        let to = to.map_or(self.all, |n| self.peers.get(n as usize).copied());
        if let Some(to) = to.filter(|_| body.len() <= MAX_NOTE_BYTES) {
            let _ = self.socket.try_send_to(body, to);
        }
    }
}
