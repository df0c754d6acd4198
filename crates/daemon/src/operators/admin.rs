//! The operators' own address. Calls are read by `operations.rs` and answered by the node; here are only
//! sockets, bounds and times.

use crate::clients::admission::{Admission, DrainReason};
use crate::copies::service::ReplicationService;
use crate::input::{Input, Reply};
use crate::io::ObservedStream;
use crate::operations::{self, Asked, No, Word};
use crate::platform::zone_monitor::ZoneMonitor;
use crate::reasons::ReasonCounts;
use crate::settings::descriptors::MAX_OPERATOR_CONNECTIONS;
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
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// A head is a few hundred bytes.
const HEAD: usize = 8 << 10;
/// A call comes whole and its answer is read within this, or its connection ends.
const WHOLE: Duration = Duration::from_secs(5);
/// Answers are owed within a second: what the node has not answered by then is told so.
const NODE_WITHIN: Duration = Duration::from_millis(700);
const SAFE_WITHIN: Duration = Duration::from_millis(200);
/// After `accept` failed, and while no place can be had.
const AGAIN: Duration = Duration::from_millis(10);

/// What the listener needs of the rest: nothing is there while the process starts, and after another has
/// taken over.
pub struct Admin {
    desk: RefCell<Option<Rc<Desk>>>,
    /// Connections at once. Who has sent no whole call gives way to the next.
    most: Cell<usize>,
}

impl Default for Admin {
    fn default() -> Self {
        Self { desk: RefCell::default(), most: Cell::new(MAX_OPERATOR_CONNECTIONS) }
    }
}

/// What operators see of other parts.
#[derive(Default)]
pub struct Shown {
    pub copies: Option<Rc<ReplicationService>>,
    pub zone_monitor: Option<Rc<ZoneMonitor>>,
    pub reasons: Rc<ReasonCounts>,
}

struct Desk {
    name: String,
    admission: Rc<Admission>,
    durability: Rc<DurabilityTracker>,
    shown: Shown,
    inputs: UnboundedSender<Input>,
}

impl Admin {
    /// Calls are answered from now on.
    pub fn open(
        &self,
        name: &str,
        admission: &Rc<Admission>,
        durability: &Rc<DurabilityTracker>,
        shown: Shown,
        inputs: &UnboundedSender<Input>,
    ) {
        let (admission, durability, inputs) = (admission.clone(), durability.clone(), inputs.clone());
        let name = name.to_owned();
        *self.desk.borrow_mut() = Some(Rc::new(Desk { name, admission, durability, shown, inputs }));
    }

    /// So many connections at once from now on.
    pub fn limit(&self, most: usize) {
        self.most.set(most);
    }

    pub fn close(&self) {
        self.desk.borrow_mut().take();
    }

    fn desk(&self) -> Result<Rc<Desk>, No> {
        let no = "not ready for clients: this process starts, or another has taken over";
        self.desk.borrow().clone().ok_or_else(|| No::new(StatusCode::SERVICE_UNAVAILABLE, no))
    }
}

/// A connection that has sent no whole call yet.
struct Caller {
    asked: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// Accepts calls for as long as it runs.
pub async fn serve(admin: Rc<Admin>, listener: Rc<dyn Listener>) {
    let callers: Rc<RefCell<BTreeMap<u64, Caller>>> = Rc::default();
    for number in 0.. {
        let stream = loop {
            match accept(&*listener).await {
                Ok(stream) => break stream,
                Err(e) => {
                    tracing::warn!("operators' address: accept: {e}");
                    tokio::time::sleep(AGAIN).await;
                }
            }
        };
        while callers.borrow().len() >= admin.most.get() && !give_way(&callers) {
            tokio::time::sleep(AGAIN).await;
        }
        let (asked, admin, ended) = (Rc::new(Cell::new(false)), admin.clone(), callers.clone());
        let heard = asked.clone();
        let task = tokio::task::spawn_local(async move {
            let _ = timeout(WHOLE, connection(admin, stream, heard)).await;
            ended.borrow_mut().remove(&number);
        });
        callers.borrow_mut().insert(number, Caller { asked, task: task.abort_handle() });
    }
}

/// Ends the oldest connection without a whole call; false where all are being answered.
fn give_way(callers: &RefCell<BTreeMap<u64, Caller>>) -> bool {
    let mut callers = callers.borrow_mut();
    let Some(number) = callers.iter().find(|(_, c)| !c.asked.get()).map(|(&n, _)| n) else { return false };
    callers.remove(&number).inspect(|c| c.task.abort());
    true
}

async fn connection(admin: Rc<Admin>, stream: Rc<dyn Stream>, asked: Rc<Cell<bool>>) {
    if stream.set_nodelay().is_err() {
        return;
    }
    let service = service_fn(|request| {
        asked.set(true);
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(answer(&admin, &request).await) }
    });
    let served = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(HEAD)
        .serve_connection(ObservedStream::new(stream, ()), service);
    let _ = served.await;
}

async fn answer(admin: &Admin, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let said = match operations::read(request.method(), uri.path(), uri.query()) {
        Ok(Asked::Status) => admin.desk().map(|desk| status(&desk)),
        Ok(Asked::Word(word)) => {
            tracing::info!("operators: {word:?}");
            match admin.desk() {
                Ok(desk) => told(&desk, word).await,
                Err(no) => Err(no),
            }
        }
        Err(no) => Err(no),
    };
    let (status, allow, body) = match said {
        Ok(body) => (StatusCode::OK, None, body),
        Err(no) => (no.status, no.allow, serde_json::json!({ "ok": false, "why": no.why })),
    };
    let mut answer = Response::new(Full::from(format!("{body}\n")));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if let Some(allow) = allow {
        headers.insert(ALLOW, HeaderValue::from_static(allow));
    }
    answer
}

fn status(desk: &Desk) -> serde_json::Value {
    let draining = |reason| desk.admission.is_draining(reason);
    let state = match (
        desk.admission.is_shutting_down.get(),
        draining(DrainReason::Operators),
        draining(DrainReason::Zone),
    ) {
        (true, ..) => "ending",
        (_, true, _) => "standby",
        (_, _, true) => "gives way",
        _ => "active",
    };
    let mut said = serde_json::json!({ "ok": true, "name": desk.name, "state": state });
    said["reasons"] = desk.shown.reasons.to_json();
    if let Some(copies) = &desk.shown.copies {
        said["copies"] = copies.status();
    }
    if let Some(zone_monitor) = &desk.shown.zone_monitor {
        said["zones"] = zone_monitor.status();
    }
    said
}

/// Hands a word to the node. A yes is given once it holds, and lasts as long as the store promises.
async fn told(desk: &Desk, word: Word) -> Result<serde_json::Value, No> {
    let late =
        || No::new(StatusCode::SERVICE_UNAVAILABLE, "the sender did not come to it in time; ask again");
    let (reply, answered) = oneshot::channel();
    let _ = desk.inputs.send(Input::OperatorCommand(word, Reply(reply)));
    let done = timeout(NODE_WITHIN, answered).await.map_err(|_| late())?.map_err(|_| late())??;
    if !desk.durability.wait_until_durable(&done.mark, SAFE_WITHIN).await {
        return Err(late());
    }
    Ok(serde_json::json!({ "ok": true, "done": done.what }))
}
