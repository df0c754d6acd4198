//! The server at the operators' address: sockets, limits and time-outs. `operations.rs` parses the requests,
//! and the decision loop executes them.

use crate::clients::admission::{Admission, DrainReason};
use crate::copies::service::ReplicationService;
use crate::input::{CommandReply, Input};
use crate::io::ObservedStream;
use crate::operations::{self, AdminRequest, OperatorCommand, Rejection};
use crate::platform::zone_monitor::ZoneMonitor;
use crate::reasons::ReasonCounts;
use crate::settings::descriptors::IDLE_OPERATOR_CONNECTIONS;
use crate::state::durability::DurabilityTracker;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use notchpoint_seam::{Listener, Stream, net::accept};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Longest head of a request; usual ones are a few hundred bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// A connection is closed unless its request arrives and its response is read within this time.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// A response has to follow within a second: if the decision loop has not executed a command within this
/// time, the operator receives an error.
const DECISION_WITHIN: Duration = Duration::from_millis(700);
/// The rest of that second, less a margin, in which an executed command has to be durable.
const DURABLE_WITHIN: Duration = Duration::from_millis(200);
/// Delay after `accept` failed, and while all connections are in use.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The state of the server. It refuses requests while the process starts, and once another one has taken
/// over.
pub struct AdminServer {
    context: RefCell<Option<Rc<RequestContext>>>,
    /// Limit of simultaneous connections. At the limit, one without a complete request is closed for the
    /// next.
    max_connections: Cell<usize>,
    /// Connections that have a descriptor, in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, AdminConnection>>,
    connection_closed: Notify,
}

impl Default for AdminServer {
    fn default() -> Self {
        Self {
            context: RefCell::default(),
            max_connections: Cell::new(IDLE_OPERATOR_CONNECTIONS),
            connections: RefCell::default(),
            connection_closed: Notify::new(),
        }
    }
}

/// The parts whose state `/status` shows.
#[derive(Default)]
pub struct StatusSources {
    pub copies: Option<Rc<ReplicationService>>,
    pub zone_monitor: Option<Rc<ZoneMonitor>>,
    pub reasons: Rc<ReasonCounts>,
}

/// The parts that requests need.
struct RequestContext {
    name: String,
    admission: Rc<Admission>,
    durability: Rc<DurabilityTracker>,
    sources: StatusSources,
    inputs: UnboundedSender<Input>,
}

impl AdminServer {
    /// Starts answering requests.
    pub fn open(
        &self,
        name: &str,
        admission: &Rc<Admission>,
        durability: &Rc<DurabilityTracker>,
        sources: StatusSources,
        inputs: &UnboundedSender<Input>,
    ) {
        let (admission, durability, inputs) = (admission.clone(), durability.clone(), inputs.clone());
        let name = name.to_owned();
        *self.context.borrow_mut() =
            Some(Rc::new(RequestContext { name, admission, durability, sources, inputs }));
    }

    /// Sets the limit of simultaneous connections.
    pub fn limit(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Refuses requests from now on, with few connections.
    pub fn close(&self) {
        self.context.borrow_mut().take();
        self.limit(IDLE_OPERATOR_CONNECTIONS);
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    fn context(&self) -> Result<Rc<RequestContext>, Rejection> {
        let why = "not ready for clients: this process is starting, or another one has taken over";
        self.context.borrow().clone().ok_or_else(|| Rejection::new(StatusCode::SERVICE_UNAVAILABLE, why))
    }
}

/// An open connection.
struct AdminConnection {
    /// It has sent a complete request.
    has_request: Rc<Cell<bool>>,
    task: AbortHandle,
    /// It is closed for the next one, but still has its descriptor.
    is_evicted: bool,
}

impl AdminServer {
    /// Waits until there are fewer connections than the limit. At the limit, it closes the oldest connection
    /// without a complete request.
    async fn wait_for_place(&self) {
        while self.connections.borrow().len() >= self.max_connections.get() {
            self.evict_oldest_idle();
            let _ = timeout(RETRY_DELAY, self.connection_closed.notified()).await;
        }
    }

    /// Closes the oldest connection without a complete request, unless one is being closed already.
    fn evict_oldest_idle(&self) {
        let mut connections = self.connections.borrow_mut();
        if connections.values().any(|c| c.is_evicted) {
            return;
        }
        if let Some(oldest) = connections.values_mut().find(|c| !c.has_request.get()) {
            oldest.is_evicted = true;
            oldest.task.abort();
        }
    }
}

/// Removes a connection from the server when the task that has its stream ends or is aborted.
struct ConnectionEntry {
    admin: Rc<AdminServer>,
    number: u64,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.admin.connections.borrow_mut().remove(&self.number);
        self.admin.connection_closed.notify_one();
    }
}

/// Accepts connections until it is dropped. At the limit, one of them waits here, and the rest in the
/// system's accept queue.
pub async fn serve(admin: Rc<AdminServer>, listener: Rc<dyn Listener>) {
    for number in 0.. {
        let stream = loop {
            match accept(&*listener).await {
                Ok(stream) => break stream,
                Err(e) => {
                    tracing::warn!("operators' address: cannot accept a connection: {e}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        };
        admin.wait_for_place().await;
        let (has_request, served) = (Rc::new(Cell::new(false)), admin.clone());
        let (request_seen, entry) = (has_request.clone(), ConnectionEntry { admin: admin.clone(), number });
        let task = tokio::task::spawn_local(async move {
            let _entry = entry;
            let _ = timeout(CONNECTION_TIMEOUT, connection(served, stream, request_seen)).await;
        });
        let connection = AdminConnection { has_request, task: task.abort_handle(), is_evicted: false };
        admin.connections.borrow_mut().insert(number, connection);
    }
}

async fn connection(admin: Rc<AdminServer>, stream: Rc<dyn Stream>, has_request: Rc<Cell<bool>>) {
    if stream.set_nodelay().is_err() {
        return;
    }
    let service = service_fn(|request| {
        has_request.set(true);
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(answer(&admin, &request).await) }
    });
    let served = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(ObservedStream::new(stream, ()), service);
    let _ = served.await;
}

async fn answer(admin: &AdminServer, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let result = match operations::parse_request(request.method(), uri.path(), uri.query()) {
        Ok(AdminRequest::Status) => admin.context().map(|context| status(&context)),
        Ok(AdminRequest::Command(command)) => {
            tracing::info!("operators: received command {command:?}");
            match admin.context() {
                Ok(context) => apply_command(&context, command).await,
                Err(rejection) => Err(rejection),
            }
        }
        Err(rejection) => Err(rejection),
    };
    let (status, allow, body) = match result {
        Ok(body) => (StatusCode::OK, None, body),
        Err(rejection) => {
            (rejection.status, rejection.allow, serde_json::json!({ "ok": false, "why": rejection.why }))
        }
    };
    let mut response = Response::new(Full::from(format!("{body}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if let Some(allow) = allow {
        headers.insert(ALLOW, HeaderValue::from_static(allow));
    }
    response
}

fn status(context: &RequestContext) -> serde_json::Value {
    let is_draining = |why| context.admission.is_draining(why);
    let state = match (
        context.admission.is_shutting_down.get(),
        is_draining(DrainReason::Operators),
        is_draining(DrainReason::Zone),
    ) {
        (true, ..) => "ending",
        (_, true, _) => "standby",
        (_, _, true) => "gives way",
        _ => "active",
    };
    let mut body = serde_json::json!({ "ok": true, "name": context.name, "state": state });
    body["reasons"] = context.sources.reasons.to_json();
    if let Some(copies) = &context.sources.copies {
        body["copies"] = copies.status();
    }
    if let Some(zone_monitor) = &context.sources.zone_monitor {
        body["zones"] = zone_monitor.status();
    }
    body
}

/// Passes a command to the decision loop. It returns success once the command is in effect and as durable as
/// the store is configured to be.
async fn apply_command(
    context: &RequestContext,
    command: OperatorCommand,
) -> Result<serde_json::Value, Rejection> {
    let too_late =
        || Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "the sender did not execute it in time; retry");
    let (reply, replied) = oneshot::channel();
    let _ = context.inputs.send(Input::OperatorCommand(command, CommandReply(reply)));
    let applied =
        timeout(DECISION_WITHIN, replied).await.map_err(|_| too_late())?.map_err(|_| too_late())??;
    if !context.durability.wait_until_durable(&applied.log_end, DURABLE_WITHIN).await {
        return Err(too_late());
    }
    Ok(serde_json::json!({ "ok": true, "done": applied.description }))
}
