//! Where clients connect: `GET /up` and `POST /CLASS`.

use crate::calls::Calls;
use crate::clients::accept_queue::AcceptQueue;
use crate::clients::admission::Admission;
use crate::clients::connection_table::{ConnectionSlot, ConnectionTable, GRACE, LOOK, Stage};
use crate::copies::service::ReplicationService;
use crate::handover::protocol::{ForwardResult, ForwardedRequest};
use crate::handover::successor::Successor;
use crate::input::{AcceptedMessage, Input};
use crate::io::{ObservedStream, Observer};
use crate::rate_limited_warning::RateLimitedWarning;
use crate::reasons::{Close, Refusal};
use crate::settings::active::ActiveSettings;
use crate::settings::config::Config;
use crate::settings::descriptors::DescriptorBudget;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, OpenMessage};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use notchpoint_policy::*;
use notchpoint_seam::{Listener, Stream};
use notchpoint_store::Mark;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

const BODY: usize = 64 << 10;
/// The longest idempotency key: it is kept with each message.
const KEY: usize = 255;
/// A head is a few hundred bytes; the rest is room for what fronts add.
const HEAD: usize = 16 << 10;
/// How often a connection that is to end is looked at for the gap between two requests.
const CLOSING_LOOK: Duration = Duration::from_millis(5);
/// What a connection takes of the memory: hyper's two buffers, its task and its state.
const PLACE: u64 = 32 << 10;
/// The shares of the memory for connections and for the bodies that are being read on them.
const PLACES_SHARE: u64 = 4;
const BODIES_SHARE: u64 = 8;
/// A record that is not safe by then is taken back, and the client told to come again: it waits 400 ms.
const SAFE_WITHIN: Duration = Duration::from_millis(300);
/// Until the event loop has looked at the socket, that nobody waits there is not known.
const FIRST_LOOK: Duration = Duration::from_millis(1);
/// How long `accept` rests where this machine lacks what a connection takes.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
/// Advice to clients that find no room.
const COME_BACK: Micros = 1_000_000;

/// What all connections share.
pub struct Inbound {
    /// The settings in force.
    pub terms: Rc<RefCell<ActiveSettings>>,
    pub journal: Rc<RefCell<Journal>>,
    pub durability: Rc<DurabilityTracker>,
    /// Where copies are kept, nothing is promised before others have it.
    pub copies: Option<Rc<ReplicationService>>,
    pub calls: Rc<Calls>,
    pub inputs: UnboundedSender<Input>,
    /// Whether clients may come in, and when connections end.
    pub admission: Rc<Admission>,
    /// Once another process owns the store.
    pub successor: RefCell<Option<Rc<Successor>>>,
    /// What is known of the queue at the clients' socket, by the time since connections are taken.
    pub accept_queue: RefCell<AcceptQueue>,
    pub accepting_since: Instant,
    /// The event loop has looked at the clients' socket, and who was there then.
    pub is_queue_polled: Cell<bool>,
    pub first_stream: RefCell<Option<Rc<dyn Stream>>>,
    /// Messages whose 202 is not written yet.
    pub unanswered: RefCell<BTreeSet<MessageId>>,
    /// Connections at once.
    pub max_connections: usize,
    /// Bytes of the bodies that are being read, and how many there may be.
    pub body_bytes: Cell<usize>,
    pub max_body_bytes: usize,
}

impl Inbound {
    /// The moment by which the queue counts.
    fn queue_time(&self) -> Duration {
        AcceptQueue::BEGINS + self.accepting_since.elapsed()
    }

    /// How long ago nobody waited at the clients' socket, if that is known.
    pub fn queue_seen_empty(&self) -> Option<Duration> {
        self.accept_queue.borrow().seen_empty(self.queue_time())
    }

    /// Messages that may be recorded, and whose clients have not heard yet.
    pub fn unacknowledged(&self) -> BTreeSet<MessageId> {
        let mut all = self.unanswered.borrow().clone();
        all.extend(self.successor.borrow().iter().flat_map(|successor| successor.pending()));
        all
    }
}

/// As many as descriptors and memory allow.
pub fn max_connections(config: &Config) -> usize {
    let fit = usize::try_from(config.memory_bytes / PLACES_SHARE / PLACE).unwrap_or(usize::MAX);
    DescriptorBudget::new(config).client_connections.min(fit).max(1)
}

/// What bodies may take while they are read: one fits always.
pub fn max_body_bytes(config: &Config) -> usize {
    usize::try_from(config.memory_bytes / BODIES_SHARE).unwrap_or(usize::MAX).max(BODY)
}

/// Watches what passes on a connection. It tells whether a client can have heard that its message was taken
/// on: until then it is not sent, and if the answer cannot be written it is withdrawn, since the client may
/// hand it in again. A client that sends requests without waiting has several answers on the way.
struct Receipt {
    due: RefCell<Vec<Due>>,
    slot: Rc<ConnectionSlot>,
    inbound: Rc<Inbound>,
}

struct Due {
    accepted: AcceptedMessage,
    begun: bool,
}

impl Receipt {
    /// Its client hears of it with the next answer that is written.
    fn expect(&self, accepted: AcceptedMessage) {
        self.inbound.unanswered.borrow_mut().insert(accepted.id);
        self.due.borrow_mut().push(Due { accepted, begun: false });
    }

    fn is_answered(&self, id: MessageId) {
        self.inbound.unanswered.borrow_mut().remove(&id);
    }
}

impl Observer for Rc<Receipt> {
    fn on_read(&self, bytes: &[u8]) {
        self.slot.read(bytes);
    }

    fn on_write(&self, _: &[u8]) {
        self.due.borrow_mut().iter_mut().for_each(|d| d.begun = true);
    }

    fn on_flush(&self) {
        if self.slot.stage.get() == Stage::Answering {
            self.slot.answered();
        }
        for due in self.due.borrow_mut().extract_if(.., |d| d.begun) {
            self.is_answered(due.accepted.id);
            let _ = self.inbound.inputs.send(Input::Acknowledged(due.accepted));
        }
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        for due in self.due.take() {
            self.is_answered(due.accepted.id);
            self.inbound.journal.borrow_mut().record_end(due.accepted.id);
            let _ = self.inbound.inputs.send(Input::Unacknowledged(due.accepted.id));
        }
    }
}

/// Gives the event loop the time to look at the clients' socket: before that it says that nobody waits there,
/// whoever does.
pub async fn poll_queue_first(inbound: &Inbound, listener: &dyn Listener) {
    let came = timeout(FIRST_LOOK, poll_fn(|cx| listener.poll_accept(cx))).await;
    match came {
        Ok(stream) => *inbound.first_stream.borrow_mut() = stream.ok(),
        Err(_) => inbound.accept_queue.borrow_mut().is_empty(inbound.queue_time()),
    }
    inbound.is_queue_polled.set(true);
}

/// Accepts connections, so many at once. Those that find no place wait in the system's queue.
pub async fn serve(inbound: Rc<Inbound>, listener: Rc<dyn Listener>) {
    let connections = Rc::new(ConnectionTable::default());
    let trouble = RateLimitedWarning::default();
    if !inbound.is_queue_polled.get() {
        poll_queue_first(&inbound, &*listener).await;
    }
    loop {
        connections.free(inbound.max_connections).await;
        let next = poll_fn(|cx| {
            let polled = listener.poll_accept(cx);
            if polled.is_pending() {
                inbound.accept_queue.borrow_mut().is_empty(inbound.queue_time());
            }
            polled
        });
        let first = inbound.first_stream.take();
        let stream = match first {
            Some(stream) => Ok(stream),
            None => next.await,
        };
        let stream = match stream {
            Ok(stream) => stream,
            // One client's connection: the next may wait behind it.
            Err(why) if is_of_one_connection(&why) => {
                tracing::debug!("accept: {why}");
                continue;
            }
            Err(why) => {
                // Out of descriptors or memory: that is not mended by asking again at once.
                trouble.warn(&format_args!("accept: {why}"));
                tokio::time::sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let waited = inbound.accept_queue.borrow_mut().taken(inbound.queue_time());
        let slot = Rc::new(ConnectionSlot::new(stream, waited));
        let (inbound, connections) = (inbound.clone(), connections.clone());
        let number = connections.take(&slot);
        tokio::task::spawn_local(async move {
            let inside = &inbound.admission.open_connections;
            inside.set(inside.get() + 1);
            let why = connection(inbound.clone(), slot.clone()).await;
            tracing::debug!("client's connection {number} ended: {why:?}");
            inbound.calls.reasons.count_close(why);
            // What crosses the end of a resting connection stays unread: its client has to see that.
            if slot.last.get() {
                slot.end().await;
            }
            inside.set(inside.get() - 1);
            connections.leave(number);
        });
    }
}

/// Whether an error of `accept` is of the connection that would have been next, which is gone with it, and
/// not of this machine.
fn is_of_one_connection(why: &io::Error) -> bool {
    matches!(
        why.kind(),
        ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
    )
}

async fn connection(inbound: Rc<Inbound>, slot: Rc<ConnectionSlot>) -> Close {
    if let Err(why) = slot.stream.set_nodelay() {
        // Answers may wait a little; without the connection there would be none.
        tracing::debug!("a client's connection: TCP_NODELAY: {why}");
    }
    let receipt = Rc::new(Receipt { due: RefCell::default(), slot: slot.clone(), inbound: inbound.clone() });
    let service = {
        let receipt = Rc::downgrade(&receipt);
        let inbound = inbound.clone();
        service_fn(move |request| {
            let (inbound, receipt) = (inbound.clone(), receipt.clone());
            async move {
                let receipt = receipt.upgrade();
                let mut answer = match answer(&inbound, request, receipt.as_deref()).await {
                    Ok(answer) => answer,
                    Err(status) => {
                        inbound.calls.reasons.count_refusal(Refusal::Invalid);
                        plain(status)
                    }
                };
                // What has been read behind it has its answer too, and the last one says so.
                if inbound.admission.is_closing() && receipt.as_ref().is_none_or(|r| r.slot.has_read_all()) {
                    close_after(&mut answer);
                }
                // From here to the answer's last byte nothing waits but the writing.
                let last = answer.headers().contains_key(CONNECTION);
                receipt.inspect(|r| {
                    r.slot.last.set(last);
                    r.slot.enter(Stage::Answering);
                });
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let served = http1::Builder::new()
        .max_buf_size(HEAD)
        .serve_connection(ObservedStream::new(slot.stream.clone(), receipt), service);
    tokio::pin!(served);
    let (mut closing, mut told) = (false, false);
    loop {
        tokio::select! {
            biased;
            // Before anything more is read.
            () = slot.is_given_up() => return Close::PlaceWanted,
            _ = &mut served => return if told { Close::Drained } else { Close::Finished },
            () = inbound.admission.close_signal.wait(), if !closing => closing = true,
            // A request that is being read or answered ends the connection itself; what has come in part is
            // never dropped. hyper would, between two requests.
            () = tokio::time::sleep(CLOSING_LOOK), if closing && !told => {
                if slot.may_end() {
                    told = true;
                    served.as_mut().graceful_shutdown();
                }
            }
            // Dropping it ends the connection. What happened meanwhile may have moved the end.
            () = sleep_until(slot.ends_at()) => {
                let due = slot.ends_at() <= Instant::now();
                // What has come is read first, also of a request that is late: a last byte unread is a
                // request lost. Who never falls silent ends all the same.
                if due && (slot.stream.has_no_unread_data() || slot.ends_at() + GRACE <= Instant::now()) {
                    return Close::TimedOut;
                }
                if due {
                    // Something came in this very moment: the connection's own turn reads it.
                    tokio::time::sleep(LOOK).await;
                }
            }
        }
    }
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
    let Some(receipt) = receipt else { return Err(StatusCode::SERVICE_UNAVAILABLE) };
    receipt.slot.serve();
    // The client's time runs from when it sent the request, also while that waited to be read.
    let now = Instant::now();
    let since = now.checked_sub(receipt.slot.sent_ago()).unwrap_or(now);
    let path = request.uri().path();
    if path == "/up" {
        return match (request.method(), !inbound.admission.is_up()) {
            (&Method::GET | &Method::HEAD, false) => Ok(plain(StatusCode::OK)),
            (&Method::GET | &Method::HEAD, true) => Err(StatusCode::SERVICE_UNAVAILABLE),
            _ => Ok(not_allowed("GET")),
        };
    }
    let name = path.strip_prefix('/').unwrap_or(path);
    let name = name.split('/').next().unwrap_or(name).to_owned();
    let Some(class) = inbound.terms.borrow().classes.current_index(&name) else {
        return Err(StatusCode::NOT_FOUND);
    };
    if request.method() != Method::POST {
        return Ok(not_allowed("POST"));
    }
    // Two lengths may hide a request behind another, and hyper shows only one of them: a message's length is
    // always known, so nothing else is read.
    if request.headers().contains_key(TRANSFER_ENCODING) {
        return Ok(last(StatusCode::LENGTH_REQUIRED));
    }
    if request.body().size_hint().lower() > BODY as u64 {
        return Ok(last(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let (handed, tag) = {
        let terms = inbound.terms.borrow();
        (read_headers(&terms, request.headers(), &name, class), terms.classes.tag_at(class).to_owned())
    };
    // The body is read even where the headers say no: an answer across a request still being written is lost.
    let body = match timeout_at(receipt.slot.whole_by(), read_body(inbound, request.into_body())).await {
        Err(_) => return Ok(last(StatusCode::REQUEST_TIMEOUT)),
        Ok(Err(NotRead::NoRoom)) => {
            let mut answer = come_back(inbound, Refusal::BodiesFull);
            close_after(&mut answer);
            return Ok(answer);
        }
        Ok(Err(NotRead::Broken)) => return Ok(last(StatusCode::BAD_REQUEST)),
        Ok(Ok(body)) => body,
    };
    let handed = handed?;
    // A destination that no list has named lately is refused, not failed: the list may be late.
    if inbound.admission.is_shutting_down.get() {
        return Ok(come_back(inbound, Refusal::ShuttingDown));
    }
    if !inbound.calls.knows_destination(handed.dest) {
        return Ok(come_back(inbound, Refusal::UnknownDestination));
    }
    let successor = inbound.successor.borrow().clone();
    if let Some(successor) = successor {
        return pass_on(inbound, &successor, handed, tag, body, since, receipt).await;
    }
    let mut open =
        OpenMessage::new(&tag, &handed.tenant_name, handed.dest.0, deadline(inbound, &handed, since), body);
    open.idempotency_key.clone_from(&handed.idempotency_key);
    if !record(inbound, handed.id, open)? {
        return Ok(come_back(inbound, Refusal::NoRoom));
    }
    let (mark, mut record) = (inbound.durability.log_end(), Record { inbound, id: Some(handed.id) });
    if !is_safe(inbound, handed.id, &mark).await {
        return if record.withdraw() {
            Ok(come_back(inbound, Refusal::NotDurable))
        } else {
            inbound.calls.reasons.count_refusal(Refusal::NotWithdrawn);
            Err(StatusCode::INTERNAL_SERVER_ERROR)
        };
    }
    record.id = None;
    // From here to the return nothing waits: the next flush on this connection is this answer's.
    receipt.expect(handed.accepted(class as u32));
    Ok(plain(StatusCode::ACCEPTED))
}

/// Has a message recorded by the process that has taken over, and answers as it says.
async fn pass_on(
    inbound: &Inbound,
    successor: &Successor,
    handed: Handed,
    tag: String,
    body: Bytes,
    since: Instant,
    receipt: &Receipt,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let passed = ForwardedRequest {
        id: handed.id,
        tag,
        tenant: handed.tenant_name.clone(),
        dest: handed.dest,
        deadline: deadline(inbound, &handed, since),
        idempotency_key: handed.idempotency_key.clone(),
        body: body.to_vec(),
    };
    let class = match successor.forward(passed).await {
        ForwardResult::Recorded { class } => class,
        ForwardResult::RetryLater => return Ok(come_back(inbound, Refusal::Successor)),
        ForwardResult::Conflict => return Err(StatusCode::CONFLICT),
    };
    receipt.expect(handed.accepted(class));
    Ok(plain(StatusCode::ACCEPTED))
}

/// Records what the process before this one has read, under the same conditions. A process in between may
/// have done that (`before`) and died with its answer: the record is the same request's then.
pub async fn record_handed_over(inbound: &Inbound, passed: ForwardedRequest, before: bool) -> ForwardResult {
    let place = inbound.terms.borrow().classes.index_of(&passed.tag);
    let Some(class) = place.filter(|_| inbound.calls.knows_destination(passed.dest)) else {
        return ForwardResult::RetryLater;
    };
    if before && inbound.journal.borrow().get(passed.id).is_some() {
        return ForwardResult::Recorded { class: class as u32 };
    }
    let ForwardedRequest { id, tag, tenant, dest, deadline, idempotency_key, body } = passed;
    let mut open = OpenMessage::new(&tag, &tenant, dest.0, deadline, body.into());
    open.idempotency_key = idempotency_key;
    match record(inbound, id, open) {
        Ok(true) => {}
        Ok(false) => return ForwardResult::RetryLater,
        Err(_) => return ForwardResult::Conflict,
    }
    let (mark, mut record) = (inbound.durability.log_end(), Record { inbound, id: Some(id) });
    if !is_safe(inbound, id, &mark).await {
        return if record.withdraw() { ForwardResult::RetryLater } else { ForwardResult::Conflict };
    }
    record.id = None;
    ForwardResult::Recorded { class: class as u32 }
}

/// Whether a record is on all that it is to outlast, once it is.
async fn is_safe(inbound: &Inbound, id: MessageId, mark: &Mark) -> bool {
    let Some(copies) = &inbound.copies else {
        return inbound.durability.wait_until_durable(mark, SAFE_WITHIN).await;
    };
    let careful = {
        let (journal, terms) = (inbound.journal.borrow(), inbound.terms.borrow());
        journal.get(id).is_none_or(|open| terms.is_unsafe_to_repeat(&open.class))
    };
    // Both at once: the keepers' disks are no faster than this one.
    let (kept, firm) = tokio::join!(
        copies.replicate(id, careful, SAFE_WITHIN),
        inbound.durability.wait_until_durable(mark, SAFE_WITHIN)
    );
    // What is not written is not promised, and after a restart nobody takes it for promised.
    kept && firm && (!careful || inbound.journal.borrow_mut().confirm(id).is_ok())
}

/// When the time of a message that its client sent then is up, by the journal's timeline. Held up between the
/// two looks at a clock, it ends too soon and not too late.
fn deadline(inbound: &Inbound, handed: &Handed, since: Instant) -> u64 {
    let now = inbound.journal.borrow().unix_now();
    now + handed.time.saturating_sub(since.elapsed()).as_micros() as Micros
}

/// Records a message; false where there is no room for it, or its time is up.
fn record(inbound: &Inbound, id: MessageId, mut open: OpenMessage) -> Result<bool, StatusCode> {
    let mut journal = inbound.journal.borrow_mut();
    // An id is new each time. One that is still in use would mix up the ends of two messages.
    if journal.get(id).is_some() || inbound.calls.has_open_attempt(id) {
        return Err(StatusCode::CONFLICT);
    }
    let is_over = open.deadline <= journal.unix_now();
    if is_over || journal.held_count() >= inbound.terms.borrow().settings.max_held as usize {
        return Ok(false);
    }
    // Until others have it, a process that ends here has promised nothing.
    open.is_confirmed = inbound.copies.is_none() || !inbound.terms.borrow().is_unsafe_to_repeat(&open.class);
    // The record comes before the answer. Without a record there is no promise.
    Ok(journal.accept(id, open).is_ok())
}

/// A record whose message is not promised yet: it ends with the request.
struct Record<'a> {
    inbound: &'a Inbound,
    id: Option<MessageId>,
}

impl Record<'_> {
    /// Takes the record back. Where that is not written, the next process would find the message and send it:
    /// its client must not be told that handing it in again is harmless.
    fn withdraw(&mut self) -> bool {
        self.id.take().is_none_or(|id| self.inbound.journal.borrow_mut().record_end(id))
    }
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        self.withdraw();
    }
}

/// An answer after which nothing more is read.
fn last(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = plain(status);
    close_after(&mut answer);
    answer
}

fn close_after(answer: &mut Response<Full<Bytes>>) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

enum NotRead {
    Broken,
    /// Too much is being read already.
    NoRoom,
}

/// Bytes that count as being read for as long as this lives.
struct Reading<'a> {
    inbound: &'a Inbound,
    bytes: usize,
}

impl Reading<'_> {
    fn add(&mut self, bytes: usize) -> bool {
        let all = self.inbound.body_bytes.get() + bytes;
        let fits = all <= self.inbound.max_body_bytes;
        if fits {
            self.inbound.body_bytes.set(all);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.inbound.body_bytes.set(self.inbound.body_bytes.get() - self.bytes);
    }
}

/// Reads a body of known length. Only what has come takes room, so that promises of long bodies cost nothing.
async fn read_body(inbound: &Inbound, mut body: Incoming) -> Result<Bytes, NotRead> {
    let mut reading = Reading { inbound, bytes: 0 };
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| NotRead::Broken)?.into_data() else { continue };
        if !reading.add(data.len()) {
            return Err(NotRead::NoRoom);
        }
        read.extend_from_slice(&data);
    }
    read.shrink_to_fit();
    Ok(read.into())
}

fn not_allowed(method: &'static str) -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED);
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    answer
}

/// Refused, with advice on when to come back as far as clients heed it.
fn come_back(inbound: &Inbound, why: Refusal) -> Response<Full<Bytes>> {
    inbound.calls.reasons.count_refusal(why);
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let advice = COME_BACK.min(inbound.terms.borrow().settings.max_retry_after);
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
    idempotency_key: String,
}

impl Handed {
    fn accepted(&self, class: u32) -> AcceptedMessage {
        let Self { id, tenant, dest, again, .. } = *self;
        AcceptedMessage { id, class, tenant, dest, again }
    }
}

fn read_headers(
    terms: &ActiveSettings,
    headers: &HeaderMap,
    name: &str,
    class: usize,
) -> Result<Handed, StatusCode> {
    let bad = StatusCode::BAD_REQUEST;
    // A header given twice would mean one thing to us and another to who reads the other line.
    let text = |name: &str| {
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (value, None) => value.map(|v| v.to_str().map(str::trim)).transpose().map_err(|_| bad),
            _ => Err(bad),
        }
    };
    if text("X-Priority-Class")? != Some(name) {
        return Err(bad);
    }
    let tenants = &terms.names.tenants;
    let tenant_name = text("X-Tenant-Id")?.unwrap_or("");
    let tenant = tenants.iter().position(|t| t == tenant_name).map(|t| t as u32);
    if tenant.is_none() && !tenants.is_empty() {
        return Err(bad);
    }
    let id = text("X-Request-ID")?.ok_or(bad)?;
    let ms = text("X-Timeout-Ms")?.and_then(read_number).ok_or(bad)?;
    // No message of a class may be delivered for longer.
    if ms.saturating_mul(1_000) > terms.settings.classes.get(class).map_or(0, |c| c.deadline) {
        return Err(bad);
    }
    let fields = text("X-Envelope")?.ok_or(bad)?.split([',', ';', '&', ' ']);
    let mut dests = fields.filter_map(|f| f.trim().strip_prefix("dest="));
    let (Some(dest), None) = (dests.next(), dests.next()) else { return Err(bad) };
    let idempotency_key = text("Idempotency-Key")?.unwrap_or("");
    if !fits_a_line(idempotency_key) {
        return Err(bad);
    }
    Ok(Handed {
        id: read_id(id).ok_or(bad)?,
        tenant,
        tenant_name: tenant_name.to_owned(),
        dest: DestinationId(read_number(dest).ok_or(bad)?),
        again: text("X-Retried")?.is_some_and(|v| !v.is_empty() && v != "0"),
        time: Duration::from_millis(ms),
        idempotency_key: idempotency_key.to_owned(),
    })
}

/// A key goes on unchanged, also as one word of a batch's line, where `-` stands for none.
fn fits_a_line(key: &str) -> bool {
    key.len() <= KEY && key != "-" && key.bytes().all(|b| b.is_ascii_graphic())
}

/// Digits and nothing else: Rust's own reading lets a sign pass.
fn read_number(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Ids are 16 hex digits in small letters, so that they come back unchanged.
fn read_id(text: &str) -> Option<MessageId> {
    let fits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| fits).map(MessageId)
}

#[cfg(test)]
mod tests;
