//! Connections to endpoints: made, kept while they stand idle, and closed.

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
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// hyper reads a head into this at most; one of an answer is a few hundred bytes.
const BUFFER: usize = 16 << 10;
/// How long a connection may take to be ready for the next call before it is let go.
const SETTLE: Duration = Duration::from_millis(20);

pub(super) struct Connection {
    pub(super) sender: SendRequest<Body<Bytes>>,
    driver: Driver,
    pub(super) progress: Rc<Progress>,
    pub(super) stream: Rc<dyn Stream>,
    address: SocketAddr,
    /// It has carried an answer.
    pub(super) answered: bool,
}

impl Connection {
    /// It may carry a call: it stands, and nothing has come on it that no call waits for.
    pub(super) fn is_fit(&self) -> bool {
        self.sender.is_ready() && self.stream.has_no_unread_data()
    }

    /// Ends the connection, and returns once it has ended: until then its call holds a slot over there.
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

pub(super) struct Idle {
    pub(super) connection: Connection,
    since: Instant,
}

impl Calls {
    /// The module has these closed, and knows.
    pub fn close_idle(&self, id: EndpointId) {
        self.pool.borrow_mut().remove(&id);
    }

    /// Tells that so many idle connections ended.
    pub(super) fn tell_closed(&self, id: EndpointId, count: usize) {
        for _ in 0..count {
            let _ = self.inputs.send(Input::Event(Event::Closed(id)));
        }
    }

    /// Connections that stand idle, by endpoint.
    pub fn idle(&self) -> BTreeMap<EndpointId, usize> {
        self.pool.borrow().iter().map(|(&id, idle)| (id, idle.len())).collect()
    }

    pub(super) fn sweep(&self) {
        self.pool.borrow_mut().retain(|id, idle| {
            let before = idle.len();
            idle.retain(|i| self.fresh(i));
            self.tell_closed(*id, before - idle.len());
            !idle.is_empty()
        });
        let now = Instant::now();
        self.waits.borrow_mut().retain(|_, until| *until > now);
        self.named.borrow_mut().retain(|_, until| until.is_none_or(|t| t > now));
    }

    fn fresh(&self, idle: &Idle) -> bool {
        !idle.connection.sender.is_closed() && idle.since.elapsed() < self.idle
    }

    /// The connection used last: the others may then grow old and close.
    pub(super) fn pooled(&self, id: EndpointId) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&id)?;
        let before = idle.len();
        idle.retain(|i| self.fresh(i) && i.connection.is_fit());
        let closed = before - idle.len();
        let used = idle.pop().map(|i| i.connection);
        if idle.is_empty() {
            pool.remove(&id);
        }
        // The module counts one of them as used, whether it was fit or not.
        self.tell_closed(id, if used.is_some() { closed } else { closed.saturating_sub(1) });
        used
    }

    pub(super) async fn release(&self, id: EndpointId, mut connection: Connection) {
        let ready = timeout(SETTLE, connection.sender.ready()).await;
        let idle: usize = self.pool.borrow().values().map(Vec::len).sum();
        let room = idle < self.most_idle;
        let wanted =
            self.targets.borrow().get(&id).is_some_and(|t| t.live && t.address == connection.address)
                && !self.taken_out.borrow().contains(&id);
        if self.given.get() || !room || !wanted || !matches!(ready, Ok(Ok(()))) || !connection.is_fit() {
            return connection.close().await;
        }
        self.pool.borrow_mut().entry(id).or_default().push(Idle { connection, since: Instant::now() });
        let _ = self.inputs.send(Input::Event(Event::Unused(id)));
    }

    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let connecting = timeout(self.connect_timeout, self.net.connect(address)).await;
        let stream = connecting.map_err(|_| CallError::Unreachable)?.map_err(CallError::of_connect)?;
        // Without it small writes wait for a while: no reason to do without the connection.
        if let Err(why) = stream.set_nodelay() {
            self.trouble.warn(&format_args!("TCP_NODELAY: {why}"));
        }
        let progress = Rc::new(Progress::default());
        let observed = ObservedStream::new(stream.clone(), progress.clone());
        let made = http1::Builder::new().max_buf_size(BUFFER).handshake(observed).await;
        let (sender, driver) = made.map_err(|_| CallError::Broken)?;
        // Its end shows at the sender.
        let driver = Driver(tokio::task::spawn_local(async move { drop(driver.await) }));
        Ok(Connection { sender, driver, progress, stream, address, answered: false })
    }
}
