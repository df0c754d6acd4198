//! Where clients connect: `GET /up` and `POST /CLASS`.

use crate::calls::Calls;
use crate::config::Names;
use crate::io::{Observed, Observer};
use crate::journal::{Journal, Open, unix_now};
use crate::node::Input;
use bytes::Bytes;
use damsonspool::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, timeout};

const BODY: usize = 64 << 10;
/// A client that writes its request more slowly than this has long given up.
const SLOW: Duration = Duration::from_secs(5);
/// Connections idle for longer are closed, so that forgotten ones do not use up the descriptors.
const IDLE: Duration = Duration::from_secs(60);
/// Advice to clients that find no room.
const COME_BACK: Micros = 1_000_000;
/// No message may be delivered for longer: what asks for more is no time-out.
const LONGEST_MS: u64 = 24 * 3_600_000;

/// What all connections share.
pub struct Inbound {
    pub set: Settings,
    pub names: Names,
    pub journal: Rc<RefCell<Journal>>,
    pub calls: Rc<Calls>,
    pub inputs: UnboundedSender<Input>,
    /// The process is about to end: nothing more is taken on.
    pub draining: Cell<bool>,
    /// Asks connections to end between two requests.
    pub close: watch::Sender<bool>,
}

/// Tells whether a client can have heard that its message was taken on. Until then it is not sent, and if
/// the answer cannot be written it is withdrawn: the client may hand it in again.
struct Receipt {
    due: RefCell<Option<Due>>,
    inbound: Rc<Inbound>,
}

struct Due {
    message: Message,
    since: Instant,
    begun: bool,
}

impl Observer for Rc<Receipt> {
    fn wrote(&self, _: &[u8]) {
        if let Some(due) = &mut *self.due.borrow_mut() {
            due.begun = true;
        }
    }

    fn flushed(&self) {
        let due = self.due.borrow_mut().take_if(|d| d.begun);
        if let Some(due) = due {
            let _ = self.inbound.inputs.send(Input::Taken(due.message, due.since));
        }
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        if let Some(due) = self.due.take() {
            self.inbound.journal.borrow_mut().end(due.message.id);
        }
    }
}

/// Accepts connections, so many at once. Those that find no place wait in the system's queue.
pub async fn serve(inbound: Rc<Inbound>, listener: TcpListener, most: usize) {
    let places = Arc::new(Semaphore::new(most));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, or a client that left: neither is mended by asking again at once.
                eprintln!("accept: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let inbound = inbound.clone();
        tokio::task::spawn_local(async move {
            connection(inbound, stream).await;
            drop(place);
        });
    }
}

async fn connection(inbound: Rc<Inbound>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let receipt = Rc::new(Receipt { due: RefCell::default(), inbound: inbound.clone() });
    let service = {
        let receipt = Rc::downgrade(&receipt);
        let inbound = inbound.clone();
        service_fn(move |request| {
            let (inbound, receipt) = (inbound.clone(), receipt.clone());
            async move {
                let mut answer = match answer(&inbound, request, receipt.upgrade().as_deref()).await {
                    Ok(answer) => answer,
                    Err(status) => plain(status),
                };
                if inbound.draining.get() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let mut close = inbound.close.subscribe();
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(Observed::new(stream, receipt), service);
    tokio::pin!(served);
    tokio::select! {
        _ = &mut served => return,
        _ = close.wait_for(|c| *c) => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn answer(
    inbound: &Inbound,
    request: Request<Incoming>,
    receipt: Option<&Receipt>,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let since = Instant::now();
    let path = request.uri().path();
    if path == "/up" {
        return match (request.method(), inbound.draining.get()) {
            (&Method::GET | &Method::HEAD, false) => Ok(plain(StatusCode::OK)),
            (&Method::GET | &Method::HEAD, true) => Err(StatusCode::SERVICE_UNAVAILABLE),
            _ => Ok(not_allowed("GET")),
        };
    }
    let name = path.strip_prefix('/').unwrap_or(path);
    let name = name.split('/').next().unwrap_or(name).to_owned();
    let Some(class) = inbound.names.classes.iter().position(|c| *c == name) else {
        return Err(StatusCode::NOT_FOUND);
    };
    if request.method() != Method::POST {
        return Ok(not_allowed("POST"));
    }
    let handed = read_headers(inbound, request.headers(), &name);
    let too_long = request.body().size_hint().lower() > BODY as u64;
    // The body is read even where the headers say no: an answer across a request still being written is lost.
    let body = match timeout(SLOW, Limited::new(request.into_body(), BODY).collect()).await {
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
        Ok(Err(_)) if too_long => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => return Err(StatusCode::BAD_REQUEST),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let handed = handed?;
    if inbound.draining.get() {
        return Ok(come_back(inbound));
    }
    let mut journal = inbound.journal.borrow_mut();
    // An id is new each time. One that is still in use would mix up the ends of two messages.
    if journal.get(handed.id).is_some() || inbound.calls.has_out(handed.id) {
        return Err(StatusCode::CONFLICT);
    }
    let left = handed.time.saturating_sub(since.elapsed());
    if left.is_zero() || journal.held() >= inbound.set.max_held as usize {
        return Ok(come_back(inbound));
    }
    let left = left.as_micros() as Micros;
    let open = Open::new(&name, &handed.tenant_name, handed.dest.0, unix_now() + left, body);
    // The record comes before the answer. Without a record there is no promise.
    let (Some(receipt), Ok(())) = (receipt, journal.take(handed.id, open)) else {
        return Ok(come_back(inbound));
    };
    // From here to the return nothing waits: the next flush on this connection is this answer's.
    let message = Message {
        id: handed.id,
        class: class as u32,
        tenant: handed.tenant,
        key: None,
        dest: handed.dest,
        again: handed.again,
        expires_in: left,
    };
    *receipt.due.borrow_mut() = Some(Due { message, since: Instant::now(), begun: false });
    Ok(plain(StatusCode::ACCEPTED))
}

fn not_allowed(method: &'static str) -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED);
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    answer
}

/// Refused, with advice on when to come back as far as clients heed it.
fn come_back(inbound: &Inbound) -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let advice = COME_BACK.min(inbound.set.max_advice);
    if advice > 0
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", advice as f64 / 1e6))
    {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

struct Handed {
    id: MessageId,
    tenant: Option<u32>,
    tenant_name: String,
    dest: DestinationId,
    again: bool,
    time: Duration,
}

fn read_headers(inbound: &Inbound, headers: &HeaderMap, class: &str) -> Result<Handed, StatusCode> {
    let bad = StatusCode::BAD_REQUEST;
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    if text("X-Priority-Class") != Some(class) {
        return Err(bad);
    }
    let tenants = &inbound.names.tenants;
    let tenant_name = text("X-Tenant-Id").unwrap_or("");
    let tenant = tenants.iter().position(|t| t == tenant_name).map(|t| t as u32);
    if tenant.is_none() && !tenants.is_empty() {
        return Err(bad);
    }
    let id = text("X-Request-ID").ok_or(bad)?;
    let ms: u64 = text("X-Timeout-Ms").and_then(|t| t.parse().ok()).ok_or(bad)?;
    let mut fields = text("X-Envelope").ok_or(bad)?.split([',', ';', '&', ' ']);
    let dest = fields.find_map(|f| f.trim().strip_prefix("dest=")).and_then(|d| d.parse().ok());
    if ms > LONGEST_MS {
        return Err(bad);
    }
    Ok(Handed {
        id: read_id(id).ok_or(bad)?,
        tenant,
        tenant_name: tenant_name.to_owned(),
        dest: DestinationId(dest.ok_or(bad)?),
        again: text("X-Retried").is_some_and(|v| !v.is_empty() && v != "0"),
        time: Duration::from_millis(ms),
    })
}

/// Ids are 16 hex digits in small letters, so that they come back unchanged.
fn read_id(text: &str) -> Option<MessageId> {
    let fits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| fits).map(MessageId)
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::sync::mpsc::unbounded_channel;

    #[test]
    fn a_message_counts_only_once_its_client_can_have_heard() {
        // Guards against sending what its client, gone before the answer, has handed in elsewhere by now.
        let local = tokio::task::LocalSet::new();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        local.block_on(&runtime, async {
            let folder = tempfile::tempdir().expect("a folder");
            let config = crate::config::read(crate::config::tests::TEXT).expect("sound");
            let journal = Rc::new(RefCell::new(Journal::open(folder.path(), 3_000_000).expect("a journal")));
            let (inputs, mut received) = unbounded_channel();
            let inbound = Rc::new(Inbound {
                calls: Calls::new(&config, journal.clone(), inputs.clone()),
                set: config.settings,
                names: config.names,
                journal: journal.clone(),
                inputs,
                draining: Cell::new(false),
                close: watch::Sender::new(false),
            });
            let take = |id: u64| {
                let (id, class, tenant, dest) = (MessageId(id), 0, None, DestinationId(3));
                let open = Open::new("update", "acme", 3, u64::MAX, Bytes::new());
                journal.borrow_mut().take(id, open).expect("room");
                let (again, key, expires_in) = (false, None, 1_000_000);
                let message = Message { id, class, tenant, key, dest, again, expires_in };
                let due = Due { message, since: Instant::now(), begun: false };
                let due = RefCell::new(Some(due));
                Rc::new(Receipt { due, inbound: inbound.clone() })
            };
            // The connection ends before anything, or before all of the answer is written.
            for begun in [false, true] {
                let receipt = take(1);
                receipt.flushed();
                if begun {
                    receipt.wrote(b"HTTP/1.1 2");
                }
                drop(receipt);
                assert!(journal.borrow().get(MessageId(1)).is_none() && received.try_recv().is_err());
            }
            let receipt = take(2);
            receipt.wrote(b"HTTP/1.1 202 Accepted\r\n\r\n");
            receipt.flushed();
            drop(receipt);
            assert!(journal.borrow().get(MessageId(2)).is_some());
            assert!(matches!(received.try_recv(), Ok(Input::Taken(m, _)) if m.id == MessageId(2)));
        });
    }
}
