//! The watch on the list of endpoints. When to watch again after a failure is the module's decision.
//!
//! A change counts as told 6 s after the service had it and could be reached, whatever failed before. Of
//! that, finding out that a watch is silent takes [`SILENCE`], after which the next one begins at once. An
//! attempt that began before the service could be reached takes [`ANSWER`], and the module's rest after it
//! as much at most. Either way the attempt that succeeds begins a second before at the latest.

use crate::endpoint_list::EndpointList;
use crate::input::Input;
use crate::io::{ObservedStream, is_local_error};
use crate::platform::watch_parser::{WatchItem, WatchParser};
use crate::rate_limited_warning::RateLimitedWarning;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HOST;
use notchpoint_seam::Network;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A heartbeat comes every 2 s; this is a little for the way. Only whole values and heartbeats count: bytes
/// that complete nothing keep no watch alive.
const SILENCE: Duration = Duration::from_millis(2_600);
/// After a value that could not be read the watch is begun anew, from before that value: what stood in it
/// counts as told after 6 s. Until then sound values behind it are read, and a service whose values are never
/// sound is not asked more often.
const REREAD: Duration = Duration::from_secs(2);
/// An attempt has brought an answer's head by then, or it failed. Connecting has its part of that: nothing is
/// heard of a connection over a cut, also once that is over.
const ANSWER: Duration = Duration::from_millis(2_500);
const CONNECTING: Duration = Duration::from_millis(1_500);

/// A watch that this side could not begin is tried again after this: that asks nothing of the service.
const LOCAL_REST: Duration = Duration::from_millis(100);

pub struct Discovery {
    net: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    revision: Rc<Cell<u64>>,
    inputs: UnboundedSender<Input>,
    watch: RefCell<Option<AbortHandle>>,
    /// The number of the watch in force: the end of one before it means nothing any more.
    number: Cell<u64>,
}

impl Discovery {
    pub fn new(
        address: SocketAddr,
        revision: u64,
        net: Rc<dyn Network>,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let (address, revision) = (Cell::new(address), Rc::new(Cell::new(revision)));
        Self { net, address, revision, inputs, watch: RefCell::default(), number: Cell::new(0) }
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
        let number = self.number.get() + 1;
        self.number.set(number);
        let task = tokio::task::spawn_local(async move {
            let trouble = RateLimitedWarning::default();
            loop {
                let ended = follow(&*net, address, &revision, &inputs).await;
                match ended {
                    // What it missed is due: the next one begins at once.
                    Ok(Silent) => tracing::warn!(
                        "discovery: the watch fell silent, or a value was spoilt; watching anew"
                    ),
                    Err(Failure::Local(why)) => {
                        trouble.warn(&format_args!("discovery: a connection cannot be made here: {why}"));
                        sleep(LOCAL_REST).await;
                    }
                    Err(Failure::Watch(why)) => {
                        tracing::warn!("discovery: {why}");
                        break;
                    }
                }
            }
            let _ = inputs.send(Input::WatchEnded(number));
        });
        if let Some(old) = self.watch.borrow_mut().replace(task.abort_handle()) {
            old.abort();
        }
    }

    /// Whether this is the watch in force.
    pub fn is_current(&self, number: u64) -> bool {
        self.number.get() == number
    }
}

/// Why there is no watch.
enum Failure {
    /// This machine has no socket, port or route for its connection just now.
    Local(io::Error),
    /// The service refused it, did not answer, or ended it.
    Watch(Box<dyn std::error::Error>),
}

impl<E: Into<Box<dyn std::error::Error>>> From<E> for Failure {
    fn from(why: E) -> Self {
        Self::Watch(why.into())
    }
}

/// A watch that had begun brought nothing for too long, or something that could not be read.
struct Silent;

async fn follow(
    net: &dyn Network,
    address: SocketAddr,
    revision: &Cell<u64>,
    inputs: &UnboundedSender<Input>,
) -> Result<Silent, Failure> {
    let begun = Instant::now();
    let stream = timeout(CONNECTING, net.connect(address)).await?;
    let stream = stream.map_err(|why| if is_local_error(&why) { Failure::Local(why) } else { why.into() })?;
    let _ = stream.set_nodelay(); // Without it small writes wait, and still arrive.
    let (mut sender, driver) = http1::handshake(ObservedStream::new(stream, ())).await?;
    let driver = tokio::task::spawn_local(driver);
    let _closed_with_the_watch = AbortOnDrop(driver.abort_handle());
    let request = Request::get(format!("/discovery/hosts?stream=1&index={}", revision.get()))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout_at(begun + ANSWER, sender.send_request(request)).await??;
    if response.status() != 200 {
        return Err(format!("a watch was answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let (mut values, mut pieces) = (WatchParser::default(), Vec::new());
    let mut alive = Instant::now();
    // What is known by this watch, and since when a value of it is missing: the next watch has to begin
    // before.
    let (mut known, mut missing) = (revision.get(), None::<Instant>);
    loop {
        let until = missing.map_or(alive + SILENCE, |since| (alive + SILENCE).min(since + REREAD));
        let Ok(frame) = timeout_at(until, body.frame()).await else { return Ok(Silent) };
        let Ok(data) = frame.ok_or("the watch ended")??.into_data() else { continue };
        if missing.is_some_and(|since| since.elapsed() >= REREAD) {
            return Ok(Silent);
        }
        let cut = values.push(&data, &mut pieces);
        for piece in pieces.drain(..) {
            let news = match piece {
                WatchItem::List(news) if !news.complete && news.revision < known => {
                    tracing::warn!("discovery: changes of {}, which is known", news.revision);
                    continue;
                }
                WatchItem::List(news) => news,
                // Also an empty line answers the watch.
                WatchItem::Heartbeat => EndpointList { revision: known, ..EndpointList::default() },
                // The values after it may well be sound.
                WatchItem::Spoilt(why) => {
                    tracing::warn!("discovery: a value: {why}; what it told is asked for again");
                    missing.get_or_insert_with(Instant::now);
                    continue;
                }
            };
            alive = Instant::now();
            known = news.revision;
            if news.complete {
                missing = None;
            }
            if missing.is_none() {
                revision.set(known);
            }
            let _ = inputs.send(Input::ListUpdate(news));
        }
        cut?;
    }
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
