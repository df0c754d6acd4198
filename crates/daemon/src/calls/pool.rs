//! The pool of connections to endpoints: opens them, keeps idle ones and closes them.

use super::Calls;
use super::error::CallError;
use super::progress::Progress;
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
use tokio::time::{Instant, sleep, timeout};

/// Limit of hyper's read buffer; the head of a response is a few hundred bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// A connection that takes longer than this to be ready for the next call is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a connection rests after a response before the next request is written on it. A second copy of
/// the response that arrives meanwhile shows that the connection is of no further use. One that arrives after
/// the next request was written cannot be told from that request's response.
pub(super) const REST_BEFORE_REUSE: Duration = Duration::from_millis(100);
/// A call that would wait longer than this for the rest of a connection opens another one. Without it the
/// slots of the settings would be taken by calls that wait.
const MAX_REST_WAIT: Duration = Duration::from_millis(50);

/// A connection to an endpoint.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body<Bytes>>,
    driver: Driver,
    pub(super) progress: Rc<Progress>,
    pub(super) stream: Rc<dyn Stream>,
    address: SocketAddr,
    /// When the last response on the connection was complete; `None` before the first one.
    last_response_at: Option<Instant>,
}

impl Connection {
    /// Whether the connection may carry a call: it is open, and no bytes have arrived outside of a call.
    pub(super) fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.stream.has_no_unread_data()
    }

    /// Whether the connection is proven: it has carried a response.
    pub(super) fn is_proven(&self) -> bool {
        self.last_response_at.is_some()
    }

    /// Marks the end of a complete response.
    pub(super) fn record_response(&mut self) {
        self.last_response_at = Some(Instant::now());
    }

    /// How much longer the connection has to rest before the next request is written on it.
    pub(super) fn rest_left(&self) -> Duration {
        self.last_response_at.map_or(Duration::ZERO, |at| REST_BEFORE_REUSE.saturating_sub(at.elapsed()))
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
        self.close_all_idle(id);
    }

    /// Reports that this number of idle connections ended.
    pub(super) fn report_closed(&self, id: EndpointId, count: usize) {
        for _ in 0..count {
            let _ = self.inputs.send(Input::Event(Event::Closed(id)));
        }
    }

    /// Reports that a connection is idle.
    fn report_idle(&self, id: EndpointId) {
        let _ = self.inputs.send(Input::Event(Event::Unused(id)));
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

    /// Takes, of the idle connections that have rested, the one that was used last, so that the others can
    /// expire. If none has, takes the one whose rest ends first. If that is too late, and the call may use an
    /// unproven connection, the connection is set aside and the call opens another one.
    pub(super) fn take_idle(self: &Rc<Self>, id: EndpointId, must_be_proven: bool) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&id)?;
        let before = idle.len();
        idle.retain(|i| self.is_usable(i) && i.connection.is_reusable());
        let closed = before - idle.len();
        let rest_left = |i: &IdleConnection| i.connection.rest_left();
        let last_rested = idle.iter().rposition(|i| rest_left(i).is_zero());
        let first_to_rest = || (0..idle.len()).min_by_key(|&n| rest_left(&idle[n]));
        let used = last_rested.or_else(first_to_rest).map(|n| idle.remove(n));
        if idle.is_empty() {
            pool.remove(&id);
        }
        // The policy counts one of them as used, whether any was reusable or not.
        self.report_closed(id, if used.is_some() { closed } else { closed.saturating_sub(1) });
        let used = used?;
        if must_be_proven || rest_left(&used) <= MAX_REST_WAIT {
            return Some(used.connection);
        }
        self.set_aside(id, used);
        None
    }

    /// Keeps an idle connection out of the pool, unknown to the policy, until it has rested.
    fn set_aside(self: &Rc<Self>, id: EndpointId, idle: IdleConnection) {
        let rest_left = idle.connection.rest_left();
        self.resting.borrow_mut().entry(id).or_default().push(idle);
        let calls = Rc::downgrade(self);
        tokio::task::spawn_local(async move {
            sleep(rest_left).await;
            if let Some(calls) = calls.upgrade() {
                calls.return_rested(id);
            }
        });
    }

    /// Returns the connections to the pool that were set aside and have rested.
    fn return_rested(&self, id: EndpointId) {
        let mut resting = self.resting.borrow_mut();
        let Some(aside) = resting.get_mut(&id) else { return };
        let rested = aside.extract_if(.., |i| i.connection.rest_left().is_zero());
        for idle in rested.filter(|i| i.connection.is_reusable()) {
            self.pool.borrow_mut().entry(id).or_default().push(idle);
            self.report_idle(id);
        }
        if aside.is_empty() {
            resting.remove(&id);
        }
    }

    /// Closes the idle connections to an endpoint, and returns how many of them the policy knows of.
    pub(super) fn close_all_idle(&self, id: EndpointId) -> usize {
        self.resting.borrow_mut().remove(&id);
        self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len())
    }

    /// Returns a connection to the pool, or closes it.
    pub(super) async fn release(&self, id: EndpointId, mut connection: Connection) {
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        let count =
            |lists: &BTreeMap<EndpointId, Vec<IdleConnection>>| lists.values().map(Vec::len).sum::<usize>();
        let idle_count = count(&self.pool.borrow()) + count(&self.resting.borrow());
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
        self.report_idle(id);
    }

    /// Opens a connection.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, CallError> {
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
        let observed = ObservedStream::new(stream.clone(), progress.clone());
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(observed).await;
        let (sender, driver) = handshake.map_err(|_| CallError::Broken)?;
        // The request sender reports the end of the connection.
        let driver = Driver(tokio::task::spawn_local(async move { drop(driver.await) }));
        Ok(Connection { sender, driver, progress, stream, address, last_response_at: None })
    }
}
