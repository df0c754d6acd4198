//! Notes between senders, by UDP.

use crate::input::Input;
use crate::settings::config::Config;
use notchpoint_policy::Event;
use notchpoint_seam::{Datagrams, Network};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// A longer datagram is not allowed.
const LONGEST: usize = 256;
const AGAIN: Duration = Duration::from_millis(10);

pub struct Peers {
    socket: Rc<dyn Datagrams>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    /// Hears for as long as this lives; then the address is free for another process.
    hears: AbortHandle,
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.hears.abort();
    }
}

impl Peers {
    pub fn bind(
        address: SocketAddr,
        config: &Config,
        net: &dyn Network,
        inputs: UnboundedSender<Input>,
    ) -> io::Result<Self> {
        let socket = net.datagrams(address)?;
        let (peers, all) = (config.peers.clone(), config.peers_all);
        let (heard, known) = (socket.clone(), peers.clone());
        let hears = tokio::task::spawn_local(async move {
            let mut buffer = [0; LONGEST + 1];
            loop {
                // An error tells of an earlier datagram that found nobody. A lasting one must not spin.
                let Ok((n, from)) = poll_fn(|cx| heard.poll_recv_from(cx, &mut buffer)).await else {
                    sleep(AGAIN).await;
                    continue;
                };
                // Only senders of the tier are believed.
                if let Some(from) = known.iter().position(|p| *p == from).filter(|_| n <= LONGEST) {
                    let (from, body) = (from as u32, buffer[..n].to_vec());
                    let _ = inputs.send(Input::Event(Event::Note { from, body }));
                }
            }
        });
        Ok(Self { socket, peers, all, hears: hears.abort_handle() })
    }

    /// A note may be lost, so failing to send one is no matter.
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        let to = to.map_or(self.all, |n| self.peers.get(n as usize).copied());
        if let Some(to) = to.filter(|_| body.len() <= LONGEST) {
            let _ = self.socket.try_send_to(body, to);
        }
    }
}
