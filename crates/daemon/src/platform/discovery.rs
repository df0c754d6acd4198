//! The watch on the list of endpoints. The policy decides when to retry after a failure.
//!
//! A change has to be known at most 6 s after the list service had it and was reachable, regardless of
//! earlier failures. Of that time, [`SILENCE_TIMEOUT`] passes until a silent watch is detected, and the next
//! one begins at once. An attempt that began before the service was reachable takes up to [`ANSWER_TIMEOUT`],
//! and the policy's delay after it takes at most as long. In both cases the attempt that succeeds
//! begins at least a second before the 6 s are over.

use crate::abort_on_drop::AbortOnDrop;
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

/// The time without a heartbeat or a complete value after which a watch counts as silent. A heartbeat comes
/// every 2 s, and the rest allows for the network. Bytes that complete nothing do not keep a watch alive.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The time from a malformed value to the start of a new watch. That watch begins at the revision before the
/// malformed value, whose content has to be known after 6 s. Until then, valid values after it are read. The
/// delay also limits the requests to a service whose values are never valid.
const REREAD_DELAY: Duration = Duration::from_secs(2);
/// The time-out from the start of an attempt until the head of the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The part of [`ANSWER_TIMEOUT`] for connecting. An attempt to connect that began during a network partition
/// may stay without a result even after the partition has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delay before a retry if this machine could not make the connection. Such a retry costs the service
/// nothing.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Watches the list of endpoints and sends its changes as inputs.
pub struct Discovery {
    net: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    revision: Rc<Cell<u64>>,
    inputs: UnboundedSender<Input>,
    watch: RefCell<Option<AbortHandle>>,
    /// The number of the current watch. The end of an earlier one has no meaning any more.
    number: Cell<u64>,
}

impl Discovery {
    /// Creates the watcher. It begins no watch yet. `revision` is the one of the last known list.
    pub fn new(
        address: SocketAddr,
        revision: u64,
        net: Rc<dyn Network>,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let (address, revision) = (Cell::new(address), Rc::new(Cell::new(revision)));
        Self { net, address, revision, inputs, watch: RefCell::default(), number: Cell::new(0) }
    }

    /// Changes the address of the list service and begins a watch there at once. A change there has to be
    /// known within a few seconds, and the old service may keep its connections open for longer.
    pub fn relocate(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.watch();
        }
    }

    /// Returns the revision up to which the list was read.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Ends the watch, because another process has one.
    pub fn stop(&self) {
        if let Some(old) = self.watch.borrow_mut().take() {
            old.abort();
        }
    }

    /// Begins a watch and ends the previous one.
    pub fn watch(&self) {
        let (address, revision, inputs) = (self.address.get(), self.revision.clone(), self.inputs.clone());
        let net = self.net.clone();
        let number = self.number.get() + 1;
        self.number.set(number);
        let task = tokio::task::spawn_local(async move {
            let local_warning = RateLimitedWarning::default();
            loop {
                let ended = follow(&*net, address, &revision, &inputs).await;
                match ended {
                    // Missed changes have to be known soon, so the next watch begins at once.
                    Ok(Interrupted) => {
                        tracing::warn!("discovery: watch restarted after silence or a malformed value")
                    }
                    Err(Failure::Local(error)) => {
                        local_warning
                            .warn(&format_args!("discovery: this machine cannot open a connection: {error}"));
                        sleep(LOCAL_RETRY_DELAY).await;
                    }
                    Err(Failure::Watch(error)) => {
                        tracing::warn!("discovery: the watch failed: {error}");
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

    /// Whether this is the number of the current watch.
    pub fn is_current(&self, number: u64) -> bool {
        self.number.get() == number
    }
}

/// Why a watch failed.
enum Failure {
    /// This machine has no socket, port or route for a connection at present.
    Local(io::Error),
    /// The service refused the watch, did not answer, or ended it.
    Watch(Box<dyn std::error::Error>),
}

impl<E: Into<Box<dyn std::error::Error>>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Watch(error.into())
    }
}

/// A running watch was silent for too long, or sent a value that could not be read.
struct Interrupted;

/// Runs one watch until it ends.
async fn follow(
    net: &dyn Network,
    address: SocketAddr,
    revision: &Cell<u64>,
    inputs: &UnboundedSender<Input>,
) -> Result<Interrupted, Failure> {
    let begun = Instant::now();
    let stream = timeout(CONNECT_TIMEOUT, net.connect(address)).await?;
    let stream =
        stream.map_err(|error| if is_local_error(&error) { Failure::Local(error) } else { error.into() })?;
    let _ = stream.set_nodelay(); // If it fails, small writes are delayed, but still arrive.
    let (mut sender, driver) = http1::handshake(ObservedStream::new(stream, ())).await?;
    let driver = tokio::task::spawn_local(driver);
    let _closes_connection = AbortOnDrop(driver.abort_handle());
    let request = Request::get(format!("/discovery/hosts?stream=1&index={}", revision.get()))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout_at(begun + ANSWER_TIMEOUT, sender.send_request(request)).await??;
    if response.status() != 200 {
        return Err(format!("the service answered with status {}", response.status()).into());
    }
    let mut body = response.into_body();
    let (mut parser, mut items) = (WatchParser::default(), Vec::new());
    let mut last_received = Instant::now();
    // The revision that this watch has reached, and since when a value of it is missing. The next watch has
    // to begin at the revision before the missing value.
    let (mut known, mut missing_since) = (revision.get(), None::<Instant>);
    loop {
        let until = missing_since.map_or(last_received + SILENCE_TIMEOUT, |since| {
            (last_received + SILENCE_TIMEOUT).min(since + REREAD_DELAY)
        });
        let Ok(frame) = timeout_at(until, body.frame()).await else { return Ok(Interrupted) };
        let Ok(data) = frame.ok_or("the service ended it")??.into_data() else { continue };
        if missing_since.is_some_and(|since| since.elapsed() >= REREAD_DELAY) {
            return Ok(Interrupted);
        }
        let parsed = parser.push(&data, &mut items);
        for item in items.drain(..) {
            let listing = match item {
                WatchItem::List(listing) if !listing.complete && listing.revision < known => {
                    tracing::warn!(
                        "discovery: changes of revision {} ignored, which is already known",
                        listing.revision
                    );
                    continue;
                }
                WatchItem::List(listing) => listing,
                // An empty line confirms that nothing has changed.
                WatchItem::Heartbeat => EndpointList { revision: known, ..EndpointList::default() },
                // The values after a malformed one may be valid.
                WatchItem::Malformed(error) => {
                    tracing::warn!("discovery: malformed value: {error}; its content is requested again");
                    missing_since.get_or_insert_with(Instant::now);
                    continue;
                }
            };
            last_received = Instant::now();
            known = listing.revision;
            if listing.complete {
                missing_since = None;
            }
            if missing_since.is_none() {
                revision.set(known);
            }
            let _ = inputs.send(Input::ListUpdate(listing));
        }
        parsed?;
    }
}
