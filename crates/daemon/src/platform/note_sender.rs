//! Where notes to other senders go out, whoever writes them.

use notchpoint_seam::DatagramSocket;
use std::net::SocketAddr;
use std::rc::Rc;

/// A longer datagram is not allowed.
pub const MAX_NOTE_BYTES: usize = 256;

pub struct NoteSender {
    socket: Rc<dyn DatagramSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl NoteSender {
    pub fn new(socket: Rc<dyn DatagramSocket>, peers: Vec<SocketAddr>, all: Option<SocketAddr>) -> Self {
        Self { socket, peers, all }
    }

    /// A note may be lost, so failing to send one is no matter.
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        let to = to.map_or(self.all, |n| self.peers.get(n as usize).copied());
        if let Some(to) = to.filter(|_| body.len() <= MAX_NOTE_BYTES) {
            let _ = self.socket.try_send_to(body, to);
        }
    }
}
