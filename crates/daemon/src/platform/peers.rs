//! Notes between senders, over UDP.

use crate::input::Input;
use crate::platform::note_sender::{MAX_NOTE_BYTES, NoteSender};
use crate::platform::zone_monitor::ZoneMonitor;
use crate::settings::config::Config;
use notchpoint_policy::Event;
use notchpoint_seam::Network;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// The delay before the next receive after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The socket for notes. Receives for as long as this lives; then another process may bind the address.
pub struct Peers {
    note_sender: Rc<NoteSender>,
    receiver: AbortHandle,
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.receiver.abort();
    }
}

impl Peers {
    /// Binds the address and begins to receive. Notes about zones go to the zone monitor, all others to the
    /// inputs.
    pub fn bind(
        address: SocketAddr,
        config: &Config,
        net: &dyn Network,
        inputs: UnboundedSender<Input>,
        zone_monitor: Option<Rc<ZoneMonitor>>,
    ) -> io::Result<Self> {
        let socket = net.bind_datagram(address)?;
        let (peers, all) = (config.peers.clone(), config.broadcast_addr);
        let (receiving_socket, known_peers) = (socket.clone(), peers.clone());
        let receiver = tokio::task::spawn_local(async move {
            let mut buffer = [0; MAX_NOTE_BYTES + 1];
            loop {
                // An error may report an earlier datagram that could not be delivered. The delay keeps a
                // persistent error from causing a busy loop.
                let Ok((len, from)) = poll_fn(|cx| receiving_socket.poll_recv_from(cx, &mut buffer)).await
                else {
                    sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                };
                // Only notes from senders of the fleet are accepted.
                if let Some(from) =
                    known_peers.iter().position(|p| *p == from).filter(|_| len <= MAX_NOTE_BYTES)
                {
                    if zone_monitor.as_ref().is_some_and(|z| z.receive_note(from, &buffer[..len])) {
                        continue;
                    }
                    let (from, body) = (from as u32, buffer[..len].to_vec());
                    let _ = inputs.send(Input::Event(Event::Note { from, body }));
                }
            }
        });
        let note_sender = Rc::new(NoteSender::new(socket, peers, all));
        Ok(Self { note_sender, receiver: receiver.abort_handle() })
    }

    /// Returns the sender of notes, for other parts of this process.
    pub fn note_sender(&self) -> Rc<NoteSender> {
        self.note_sender.clone()
    }

    /// See [`NoteSender::send`].
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        self.note_sender.send(to, body);
    }
}
