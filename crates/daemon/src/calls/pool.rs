//! The pool of connections to endpoints: opens them, keeps idle ones and closes them.

use super::Calls;
use super::error::CallError;
use super::progress::Progress;
use super::response_stream::ResponseStream;
use crate::input::Input;
use crate::io::ObservedStream;
use bytes::Bytes;
use http_body_util::Full as Body;
use hyper::client::conn::http1::{self, SendRequest};
use notchpoint_policy::*;
use notchpoint_seam::Stream;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Limit of hyper's read buffer; the head of a response is a few hundred bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// A connection that takes longer than this to be ready for the next call is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// A connection to an endpoint.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body<Bytes>>,
    driver: Driver,
    pub(super) progress: Rc<Progress>,
    pub(super) stream: Rc<dyn Stream>,
    address: SocketAddr,
    /// The connection has carried a response.
    pub(super) is_proven: bool,
}

impl Connection {
    /// Whether the connection may carry a call: it is open, and no bytes have arrived outside of a call.
    pub(super) fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.stream.has_no_unread_data()
    }

    /// Closes the connection, and returns once it is closed: until then its call holds a slot at the
    /// endpoint.
    pub(super) async fn close(mut self) {
        self.driver.0.abort();
        let _ = (&mut self.driver.0).await;
    }
}

/// The task that moves a connection's bytes; the connection ends with it.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in the pool, and since when it is idle.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    since: Instant,
}

impl Calls {
    /// Closes the idle connections to an endpoint by order of the policy, which counts them as closed.
    pub fn close_idle(&self, id: EndpointId) {
        self.pool.borrow_mut().remove(&id);
    }

    /// Reports that this number of idle connections ended.
    pub(super) fn report_closed(&self, id: EndpointId, count: usize) {
        for _ in 0..count {
            let _ = self.inputs.send(Input::Event(Event::Closed(id)));
        }
    }

    /// Returns the number of idle connections by endpoint.
    pub fn idle_connections(&self) -> BTreeMap<EndpointId, usize> {
        self.pool.borrow().iter().map(|(&id, idle)| (id, idle.len())).collect()
    }

    /// Drops idle connections, waits and destinations whose time is over.
    pub(super) fn sweep(&self) {
        self.pool.borrow_mut().retain(|id, idle| {
            let before = idle.len();
            idle.retain(|i| self.is_usable(i));
            self.report_closed(*id, before - idle.len());
            !idle.is_empty()
        });
        let now = Instant::now();
        self.route_waits.borrow_mut().retain(|_, until| *until > now);
        self.known_destinations.borrow_mut().retain(|_, until| until.is_none_or(|t| t > now));
    }

    /// Whether the connection is open and not idle for too long.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        !idle.connection.sender.is_closed() && idle.since.elapsed() < self.idle_timeout
    }

    /// Takes the idle connection that was used last, so that the others can expire.
    pub(super) fn take_idle(&self, id: EndpointId) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&id)?;
        let before = idle.len();
        idle.retain(|i| self.is_usable(i) && i.connection.is_reusable());
        let closed = before - idle.len();
        let taken = idle.pop().map(|i| i.connection);
        if idle.is_empty() {
            pool.remove(&id);
        }
        // The policy counts one of them as used, whether it was reusable or not.
        self.report_closed(id, if taken.is_some() { closed } else { closed.saturating_sub(1) });
        taken
    }

    /// Returns a connection to the pool, or closes it.
    pub(super) async fn release(&self, id: EndpointId, mut connection: Connection) {
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        let idle_count: usize = self.pool.borrow().values().map(Vec::len).sum();
        let has_room = idle_count < self.descriptors.budget().idle_connections;
        let is_wanted =
            self.targets.borrow().get(&id).is_some_and(|t| t.live && t.address == connection.address)
                && !self.out_of_service.borrow().contains(&id);
        if self.is_handed_over.get()
            || !has_room
            || !is_wanted
            || !matches!(ready, Ok(Ok(())))
            || !connection.is_reusable()
        {
            return connection.close().await;
        }
        self.pool
            .borrow_mut()
            .entry(id)
            .or_default()
            .push(IdleConnection { connection, since: Instant::now() });
        let _ = self.inputs.send(Input::Event(Event::Unused(id)));
    }

    /// Opens a connection.
    pub(super) async fn connect(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Result<Connection, CallError> {
        if self.descriptors.reduced_calls().is_some_and(|most| self.active_calls.get() > most) {
            return Err(CallError::NotSent(io::Error::other("an earlier session has the descriptors")));
        }
        let connecting = timeout(self.connect_timeout, self.net.connect(address)).await;
        let stream = connecting.map_err(|_| CallError::Unreachable)?.map_err(CallError::of_connect)?;
        // Without TCP_NODELAY small writes are delayed, which is no reason to give up the connection.
        if let Err(why) = stream.set_nodelay() {
            self.warnings.warn(&format_args!("cannot set TCP_NODELAY on a connection to an endpoint: {why}"));
        }
        let progress = Rc::new(Progress::default());
        let surplus = self.surplus.clone();
        let stream: Rc<dyn Stream> =
            Rc::new(ResponseStream { stream, progress: progress.clone(), endpoint, surplus });
        let observed = ObservedStream::new(stream.clone(), progress.clone());
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(observed).await;
        let (sender, driver) = handshake.map_err(|_| CallError::Broken)?;
        // The request sender reports the end of the connection.
        let driver = Driver(tokio::task::spawn_local(async move { drop(driver.await) }));
        Ok(Connection { sender, driver, progress, stream, address, is_proven: false })
    }
}
