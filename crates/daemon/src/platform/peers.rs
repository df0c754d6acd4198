//! Notes between senders, by UDP.

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

const AGAIN: Duration = Duration::from_millis(10);

pub struct Peers {
    note_sender: Rc<NoteSender>,
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
        zone_monitor: Option<Rc<ZoneMonitor>>,
    ) -> io::Result<Self> {
        let socket = net.bind_datagram(address)?;
        let (peers, all) = (config.peers.clone(), config.broadcast_addr);
        let (heard, known) = (socket.clone(), peers.clone());
        let hears = tokio::task::spawn_local(async move {
            let mut buffer = [0; MAX_NOTE_BYTES + 1];
            loop {
                // An error tells of an earlier datagram that found nobody. A lasting one must not spin.
                let Ok((n, from)) = poll_fn(|cx| heard.poll_recv_from(cx, &mut buffer)).await else {
                    sleep(AGAIN).await;
                    continue;
                };
                // Only senders of the tier are believed.
                if let Some(from) = known.iter().position(|p| *p == from).filter(|_| n <= MAX_NOTE_BYTES) {
                    if zone_monitor.as_ref().is_some_and(|z| z.receive_note(from, &buffer[..n])) {
                        continue;
                    }
                    let (from, body) = (from as u32, buffer[..n].to_vec());
                    let _ = inputs.send(Input::Event(Event::Note { from, body }));
                }
            }
        });
        let note_sender = Rc::new(NoteSender::new(socket, peers, all));
        Ok(Self { note_sender, hears: hears.abort_handle() })
    }

    /// Where others of this sender's parts write.
    pub fn note_sender(&self) -> Rc<NoteSender> {
        self.note_sender.clone()
    }

    /// See [`NoteSender::send`].
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        self.note_sender.send(to, body);
    }
}
