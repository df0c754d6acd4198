//! The watch on the list of endpoints. When to watch again after a failure is the module's decision.

use crate::input::Input;
use crate::io::Observed;
use crate::listing::Listing;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HOST;
use notchpoint_seam::Network;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Two heartbeats of 2 s, and a little for the way: a watch silent for longer is dead. A change counts as
/// told 6 s after it at the latest, so the next watch must not be much later.
const SILENCE: Duration = Duration::from_millis(4_100);
/// Nothing is heard of a connection over a cut, also once that is over: it is made anew sooner than a watch
/// that is silent. Together with the silence before and the rest after it, that stays under the 6 s.
const CONNECTING: Duration = Duration::from_millis(1_500);
/// A longer line is no list.
const LONGEST: usize = 4 << 20;

pub struct Discovery {
    net: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    revision: Rc<Cell<u64>>,
    inputs: UnboundedSender<Input>,
    watch: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    pub fn new(
        address: SocketAddr,
        revision: u64,
        net: Rc<dyn Network>,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let (address, revision) = (Cell::new(address), Rc::new(Cell::new(revision)));
        Self { net, address, revision, inputs, watch: RefCell::default() }
    }

    /// The list is kept elsewhere from now on. The watch begins there at once: what it tells counts as told
    /// a few seconds later, and the old place ends its connections in its own time.
    pub fn relocate(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.watch();
        }
    }

    /// What the list was read up to.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Ends the watch: another process has one.
    pub fn stop(&self) {
        if let Some(old) = self.watch.borrow_mut().take() {
            old.abort();
        }
    }

    /// Begins a watch in place of the one before.
    pub fn watch(&self) {
        let (address, revision, inputs) = (self.address.get(), self.revision.clone(), self.inputs.clone());
        let net = self.net.clone();
        let task = tokio::task::spawn_local(async move {
            if let Err(why) = follow(&*net, address, &revision, &inputs).await {
                tracing::warn!("discovery: {why}");
            }
            let _ = inputs.send(Input::Unlisted);
        });
        if let Some(old) = self.watch.borrow_mut().replace(task.abort_handle()) {
            old.abort();
        }
    }
}

type Failure = Box<dyn std::error::Error>;

async fn follow(
    net: &dyn Network,
    address: SocketAddr,
    revision: &Cell<u64>,
    inputs: &UnboundedSender<Input>,
) -> Result<(), Failure> {
    let stream = timeout(CONNECTING, net.connect(address)).await??;
    stream.set_nodelay()?;
    let (mut sender, driver) = http1::handshake(Observed::new(stream, ())).await?;
    let driver = tokio::task::spawn_local(driver);
    let _closed_with_the_watch = AbortOnDrop(driver.abort_handle());
    let request = Request::get(format!("/discovery/hosts?stream=1&index={}", revision.get()))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(SILENCE, sender.send_request(request)).await??;
    if response.status() != 200 {
        return Err(format!("a watch was answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut pending = Vec::new();
    while let Some(frame) = timeout(SILENCE, body.frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        pending.extend(&data);
        while let Some(end) = pending.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let line = line.trim_ascii();
            // Also an empty line answers the watch: nothing has changed.
            let empty = Listing { revision: revision.get(), ..Listing::default() };
            match if line.is_empty() { Ok(empty) } else { serde_json::from_slice::<Listing>(line) } {
                Ok(news) => {
                    revision.set(news.revision);
                    let _ = inputs.send(Input::Listed(news));
                }
                // The lines after it may well be sound.
                Err(why) => tracing::warn!("discovery: a line: {why}"),
            }
        }
        if pending.len() > LONGEST {
            return Err("a line is too long".into());
        }
    }
    Err("the watch ended".into())
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
