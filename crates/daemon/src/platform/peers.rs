//! Notes between senders, by UDP.

use crate::input::Input;
use crate::platform::post::{LONGEST, Post};
use crate::platform::zoning::Zoning;
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
    post: Rc<Post>,
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
        zoning: Option<Rc<Zoning>>,
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
                    if zoning.as_ref().is_some_and(|z| z.heard(from, &buffer[..n])) {
                        continue;
                    }
                    let (from, body) = (from as u32, buffer[..n].to_vec());
                    let _ = inputs.send(Input::Event(Event::Note { from, body }));
                }
            }
        });
        let post = Rc::new(Post::new(socket, peers, all));
        Ok(Self { post, hears: hears.abort_handle() })
    }

    /// Where others of this sender's parts write.
    pub fn post(&self) -> Rc<Post> {
        self.post.clone()
    }

    /// See [`Post::send`].
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        self.post.send(to, body);
    }
}
