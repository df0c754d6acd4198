//! The HTTP server for clients: `GET /up` and `POST /CLASS`.

use crate::calls::Calls;
use crate::clients::accept_queue::AcceptQueue;
use crate::clients::admission::Admission;
use crate::clients::connection_table::{
    ConnectionSlot, ConnectionTable, READ_GRACE, SLOT_POLL_INTERVAL, Stage,
};
use crate::copies::service::ReplicationService;
use crate::descriptor_limits::DescriptorLimits;
use crate::handover::protocol::{ForwardResult, ForwardedRequest};
use crate::handover::successor::Successor;
use crate::holds::IdHold;
use crate::input::{AcceptedMessage, Input};
use crate::io::{ObservedStream, Observer};
use crate::rate_limited_warning::RateLimitedWarning;
use crate::reasons::{Close, Refusal};
use crate::settings::active::ActiveSettings;
use crate::settings::config::Config;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, OpenMessage, RequestId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use notchpoint_policy::*;
use notchpoint_seam::{Listener, Stream};
use notchpoint_store::LogPosition;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

const MAX_BODY_BYTES: usize = 64 << 10;
/// The longest idempotency key. It is kept with each message.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// The longest head. A head has a few hundred bytes; the rest is for headers that proxies add.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// How often a connection that is to be closed is checked for a gap between two requests.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The memory that a connection takes: hyper's two buffers, its task and its state.
const CONNECTION_BYTES: u64 = 32 << 10;
/// The divisors of the memory limit for connections, and for the bodies that are being read on them.
const CONNECTIONS_MEMORY_DIVISOR: u64 = 4;
const BODIES_MEMORY_DIVISOR: u64 = 8;
/// The time within which a record must be durable. Otherwise it is withdrawn, and the client is asked to
/// retry. The client waits 400 ms.
const DURABILITY_TIMEOUT: Duration = Duration::from_millis(300);
/// The time that the event loop gets to poll the socket for the first time. Before that an empty queue cannot
/// be told from one that was not polled.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_millis(1);
/// The delay before the next `accept` if this machine lacks a resource for a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The `Retry-After` of refused requests.
const RETRY_ADVICE: Micros = 1_000_000;

/// The state that all client connections share.
pub struct Inbound {
    /// The settings in force.
    pub active_settings: Rc<RefCell<ActiveSettings>>,
    pub journal: Rc<RefCell<Journal>>,
    pub durability: Rc<DurabilityTracker>,
    /// If copies are kept, a message is acknowledged only after other senders have it.
    pub copies: Option<Rc<ReplicationService>>,
    pub calls: Rc<Calls>,
    pub inputs: UnboundedSender<Input>,
    /// Whether clients are admitted, and when connections end.
    pub admission: Rc<Admission>,
    /// The process that took over, once it owns the store.
    pub successor: RefCell<Option<Rc<Successor>>>,
    /// The accept queue of the clients' socket. Its times are counted from `accepting_since`.
    pub accept_queue: RefCell<AcceptQueue>,
    pub accepting_since: Instant,
    /// Whether the event loop has polled the clients' socket, and the connection that it accepted then.
    pub is_queue_polled: Cell<bool>,
    pub first_stream: RefCell<Option<Rc<dyn Stream>>>,
    /// Messages whose 202 is not written yet.
    pub unanswered: RefCell<BTreeSet<MessageId>>,
    pub connections: Rc<ConnectionTable>,
    /// The limits of connections by descriptors and by memory.
    pub descriptors: Rc<DescriptorLimits>,
    pub max_connections_in_memory: usize,
    /// The bytes of all bodies that are being read, and the limit for them.
    pub body_bytes: Cell<usize>,
    pub max_body_bytes: usize,
}

impl Inbound {
    /// Returns the present time as the accept queue counts it.
    fn queue_time(&self) -> Duration {
        AcceptQueue::START + self.accepting_since.elapsed()
    }

    /// Returns how many connections may be open at present.
    fn max_connections(&self) -> usize {
        self.descriptors.budget().client_connections.min(self.max_connections_in_memory)
    }

    /// Waits until a further connection may be accepted.
    async fn wait_for_descriptor(&self) {
        loop {
            tokio::select! {
                biased;
                () = self.connections.wait_for_descriptor(self.max_connections()) => return,
                () = self.descriptors.changed() => {}
            }
        }
    }

    /// Returns how long ago the accept queue of the clients' socket was last seen empty, if ever.
    pub fn queue_seen_empty(&self) -> Option<Duration> {
        self.accept_queue.borrow().seen_empty(self.queue_time())
    }
}

/// Returns how many connections the memory allows. It allows at least one.
pub fn max_connections_in_memory(config: &Config) -> usize {
    let fit = config.memory_bytes / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
    usize::try_from(fit).unwrap_or(usize::MAX).max(1)
}

/// Returns how many bytes bodies may take while they are read. It allows at least one body.
pub fn max_body_bytes(config: &Config) -> usize {
    usize::try_from(config.memory_bytes / BODIES_MEMORY_DIVISOR).unwrap_or(usize::MAX).max(MAX_BODY_BYTES)
}

/// Observes a connection to know when a client can have received the acknowledgement of its message. Until
/// then the message is not sent, and if the answer cannot be written the message is withdrawn, since the
/// client may resend it. A client that pipelines requests has several acknowledgements on the way.
struct AckTracker {
    pending: RefCell<Vec<PendingAck>>,
    slot: Rc<ConnectionSlot>,
    inbound: Rc<Inbound>,
}

/// An acknowledgement that is not written completely.
struct PendingAck {
    accepted: AcceptedMessage,
    is_begun: bool,
    /// If the answer is lost, the record with this id is withdrawn.
    _hold: IdHold,
}

impl AckTracker {
    /// Expects the next answer that is written to acknowledge this message.
    fn expect(&self, accepted: AcceptedMessage) {
        self.inbound.unanswered.borrow_mut().insert(accepted.id);
        let hold = self.inbound.journal.borrow().hold(accepted.id);
        self.pending.borrow_mut().push(PendingAck { accepted, is_begun: false, _hold: hold });
    }

    fn record_answered(&self, id: MessageId) {
        self.inbound.unanswered.borrow_mut().remove(&id);
    }
}

impl Observer for Rc<AckTracker> {
    fn on_read(&self, bytes: &[u8]) {
        self.slot.record_read(bytes);
    }

    fn on_write(&self, _: &[u8]) {
        self.pending.borrow_mut().iter_mut().for_each(|ack| ack.is_begun = true);
    }

    fn on_flush(&self) {
        if self.slot.stage.get() == Stage::Answering {
            self.slot.record_answered();
        }
        for ack in self.pending.borrow_mut().extract_if(.., |ack| ack.is_begun) {
            self.record_answered(ack.accepted.id);
            let _ = self.inbound.inputs.send(Input::Acknowledged(ack.accepted));
        }
    }
}

impl Drop for AckTracker {
    fn drop(&mut self) {
        for ack in self.pending.take() {
            self.record_answered(ack.accepted.id);
            self.inbound.journal.borrow_mut().record_end(ack.accepted.id);
            let _ = self.inbound.inputs.send(Input::Unacknowledged(ack.accepted.id));
        }
    }
}

/// Gives the event loop the time to poll the clients' socket. Before the first poll it reports no connection,
/// even if some wait.
pub async fn poll_queue_first(inbound: &Inbound, listener: &dyn Listener) {
    let accepted = timeout(FIRST_POLL_TIMEOUT, poll_fn(|cx| listener.poll_accept(cx))).await;
    match accepted {
        Ok(stream) => *inbound.first_stream.borrow_mut() = stream.ok(),
        Err(_) => inbound.accept_queue.borrow_mut().record_empty(inbound.queue_time()),
    }
    inbound.is_queue_polled.set(true);
}

/// Accepts connections, as many at once as descriptors and memory allow. The rest wait in the system's accept
/// queue.
pub async fn serve(inbound: Rc<Inbound>, listener: Rc<dyn Listener>) {
    let accept_warning = RateLimitedWarning::default();
    if !inbound.is_queue_polled.get() {
        poll_queue_first(&inbound, &*listener).await;
    }
    loop {
        inbound.wait_for_descriptor().await;
        let next = poll_fn(|cx| {
            let polled = listener.poll_accept(cx);
            if polled.is_pending() {
                inbound.accept_queue.borrow_mut().record_empty(inbound.queue_time());
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
            // Only this client's connection failed. The next one may be in the queue.
            Err(error) if is_connection_error(&error) => {
                tracing::debug!("accepting a client's connection failed: {error}");
                continue;
            }
            Err(error) => {
                // The machine is out of descriptors or memory. An immediate retry would fail as well.
                accept_warning.warn(&format_args!("accepting clients' connections failed: {error}"));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let waited = inbound.accept_queue.borrow_mut().record_accepted(inbound.queue_time());
        let slot = Rc::new(ConnectionSlot::new(stream, waited));
        let inbound = inbound.clone();
        let number = inbound.connections.insert(&slot);
        tokio::task::spawn_local(async move {
            let open_connections = &inbound.admission.open_connections;
            open_connections.set(open_connections.get() + 1);
            let reason = serve_connection(inbound.clone(), slot.clone()).await;
            tracing::debug!("client's connection {number} ended: {reason:?}");
            inbound.calls.reasons.count_close(reason);
            // A request that crosses the end of an idle connection stays unread, so that its client notices.
            if slot.is_last_answer.get() {
                slot.close_gracefully().await;
            }
            open_connections.set(open_connections.get() - 1);
            inbound.connections.remove(number);
        });
    }
}

/// Whether an error of `accept` concerns only the connection that would have been accepted, and not this
/// machine.
fn is_connection_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
    )
}

/// Serves a client's connection and returns why it ended.
async fn serve_connection(inbound: Rc<Inbound>, slot: Rc<ConnectionSlot>) -> Close {
    if let Err(error) = slot.stream.set_nodelay() {
        // The connection works without the option, with some delay of answers.
        tracing::debug!("setting TCP_NODELAY on a client's connection failed: {error}");
    }
    let tracker =
        Rc::new(AckTracker { pending: RefCell::default(), slot: slot.clone(), inbound: inbound.clone() });
    let service = {
        let tracker = Rc::downgrade(&tracker);
        let inbound = inbound.clone();
        service_fn(move |request| {
            let (inbound, tracker) = (inbound.clone(), tracker.clone());
            async move {
                let tracker = tracker.upgrade();
                let mut answer = match handle_request(&inbound, request, tracker.as_deref()).await {
                    Ok(answer) => answer,
                    Err(status) => {
                        inbound.calls.reasons.count_refusal(Refusal::Invalid);
                        empty_response(status)
                    }
                };
                // Requests that were read after this one are answered too. Only the last answer announces the
                // end of the connection.
                if inbound.admission.is_closing() && tracker.as_ref().is_none_or(|t| t.slot.has_read_all()) {
                    announce_close(&mut answer);
                }
                // From here to the answer's last byte, only the writing takes time.
                let is_last = answer.headers().contains_key(CONNECTION);
                tracker.inspect(|t| {
                    t.slot.is_last_answer.set(is_last);
                    t.slot.enter(Stage::Answering);
                });
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let served = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(ObservedStream::new(slot.stream.clone(), tracker), service);
    tokio::pin!(served);
    let (mut is_closing, mut is_shut_down) = (false, false);
    loop {
        tokio::select! {
            biased;
            // This branch comes first, so that nothing more is read after an eviction.
            () = slot.wait_for_eviction() => return Close::PlaceWanted,
            _ = &mut served => return if is_shut_down { Close::Drained } else { Close::Finished },
            () = inbound.admission.close_signal.wait(), if !is_closing => is_closing = true,
            // While a request is being read or answered, its answer ends the connection. A graceful shutdown
            // of hyper between two requests would drop a request that has arrived in part.
            () = tokio::time::sleep(CLOSE_POLL_INTERVAL), if is_closing && !is_shut_down => {
                if slot.may_end() {
                    is_shut_down = true;
                    served.as_mut().graceful_shutdown();
                }
            }
            // Dropping `served` ends the connection. Its time-out may have moved meanwhile.
            () = sleep_until(slot.times_out_at()) => {
                let is_due = slot.times_out_at() <= Instant::now();
                // Bytes that have arrived are read first, even those of a late request: with its last byte
                // unread a request would be lost. A client that never stops sending times out all the same.
                if is_due
                    && (slot.stream.has_no_unread_data()
                        || slot.times_out_at() + READ_GRACE <= Instant::now())
                {
                    return Close::TimedOut;
                }
                if is_due {
                    // Bytes have just arrived. The next iterations of the loop read them.
                    tokio::time::sleep(SLOT_POLL_INTERVAL).await;
                }
            }
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn handle_request(
    inbound: &Inbound,
    request: Request<Incoming>,
    tracker: Option<&AckTracker>,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let Some(tracker) = tracker else { return Err(StatusCode::SERVICE_UNAVAILABLE) };
    tracker.slot.record_head();
    // The client's time-out runs from when it sent the request, even while the request waited to be read.
    let now = Instant::now();
    let sent_at = now.checked_sub(tracker.slot.max_request_age()).unwrap_or(now);
    let path = request.uri().path();
    if path == "/up" {
        return match (request.method(), !inbound.admission.is_up()) {
            (&Method::GET | &Method::HEAD, false) => Ok(empty_response(StatusCode::OK)),
            (&Method::GET | &Method::HEAD, true) => Err(StatusCode::SERVICE_UNAVAILABLE),
            _ => Ok(method_not_allowed("GET")),
        };
    }
    let name = path.strip_prefix('/').unwrap_or(path);
    let name = name.split('/').next().unwrap_or(name).to_owned();
    // Held until the message has its record: a new configuration may replace the class while the body
    // arrives.
    let Some(class) = inbound.active_settings.borrow().classes.hold_current(&name) else {
        return Err(StatusCode::NOT_FOUND);
    };
    if request.method() != Method::POST {
        return Ok(method_not_allowed("POST"));
    }
    // A head with two lengths may smuggle a second request, and hyper exposes only one of the lengths. The
    // length of a message is always known, so no other encoding is accepted.
    if request.headers().contains_key(TRANSFER_ENCODING) {
        return Ok(closing_response(StatusCode::LENGTH_REQUIRED));
    }
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Ok(closing_response(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let (headers, tag) = {
        let active = inbound.active_settings.borrow();
        let headers = parse_headers(&active, request.headers(), &name, class.key());
        (headers, active.classes.tag_at(class.key()).to_owned())
    };
    // The body is read even if the headers are invalid: an answer to a request that is still being written is
    // lost.
    let body =
        match timeout_at(tracker.slot.request_deadline(), read_body(inbound, request.into_body())).await {
            Err(_) => return Ok(closing_response(StatusCode::REQUEST_TIMEOUT)),
            Ok(Err(BodyError::OverLimit)) => {
                let mut answer = refuse(inbound, Refusal::BodiesFull);
                announce_close(&mut answer);
                return Ok(answer);
            }
            Ok(Err(BodyError::Broken)) => return Ok(closing_response(StatusCode::BAD_REQUEST)),
            Ok(Ok(body)) => body,
        };
    let headers = headers?;
    if inbound.admission.is_shutting_down.get() {
        return Ok(refuse(inbound, Refusal::ShuttingDown));
    }
    // A destination that no recent list named is refused with 503 and not as invalid, since the list may be
    // late.
    if !inbound.calls.knows_destination(headers.dest) {
        return Ok(refuse(inbound, Refusal::UnknownDestination));
    }
    let successor = inbound.successor.borrow().clone();
    if let Some(successor) = successor {
        return forward_to_successor(inbound, &successor, headers, tag, body, sent_at, tracker).await;
    }
    let mut open = OpenMessage::new(
        &tag,
        &headers.tenant_name,
        headers.dest.0,
        message_deadline(inbound, &headers, sent_at),
        body,
    );
    open.idempotency_key.clone_from(&headers.idempotency_key);
    let mut record = match record_message(inbound, headers.id, open) {
        Ok(record) => record,
        Err(RecordError::Conflict) => return Err(StatusCode::CONFLICT),
        Err(RecordError::Refused(reason)) => return Ok(refuse(inbound, reason)),
    };
    let position = inbound.durability.log_end();
    if !wait_until_safe(inbound, headers.id, &position).await {
        return if record.withdraw() {
            Ok(refuse(inbound, Refusal::NotDurable))
        } else {
            inbound.calls.reasons.count_refusal(Refusal::NotWithdrawn);
            Err(StatusCode::INTERNAL_SERVER_ERROR)
        };
    }
    // There is no await between here and the return, so the next flush on this connection is this answer's.
    tracker.expect(headers.accepted(class.key() as u32));
    record.keep();
    Ok(empty_response(StatusCode::ACCEPTED))
}

/// Lets the successor process record a message, and answers with the result.
async fn forward_to_successor(
    inbound: &Inbound,
    successor: &Successor,
    headers: ParsedHeaders,
    tag: String,
    body: Bytes,
    sent_at: Instant,
    tracker: &AckTracker,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let request = ForwardedRequest {
        id: headers.id,
        tag,
        tenant: headers.tenant_name.clone(),
        dest: headers.dest,
        deadline: message_deadline(inbound, &headers, sent_at),
        idempotency_key: headers.idempotency_key.clone(),
        body: body.to_vec(),
    };
    let class = match successor.forward(request).await {
        ForwardResult::Recorded { class } => class,
        ForwardResult::RetryLater => return Ok(refuse(inbound, Refusal::Successor)),
        ForwardResult::Conflict => return Err(StatusCode::CONFLICT),
    };
    tracker.expect(headers.accepted(class));
    Ok(empty_response(StatusCode::ACCEPTED))
}

/// Records a message that the predecessor process has read, under the same conditions as one that this
/// process reads. If `may_be_recorded` is set, a process in between may have recorded it and died before its
/// answer; an existing record with the same content then belongs to the same request.
pub async fn record_forwarded(
    inbound: &Inbound,
    request: ForwardedRequest,
    may_be_recorded: bool,
) -> ForwardResult {
    let class = inbound.active_settings.borrow().classes.index_of(&request.tag);
    let Some(class) = class.filter(|_| inbound.calls.knows_destination(request.dest)) else {
        return ForwardResult::RetryLater;
    };
    let ForwardedRequest { id, tag, tenant, dest, deadline, idempotency_key, body } = request;
    let mut open = OpenMessage::new(&tag, &tenant, dest.0, deadline, body.into());
    open.idempotency_key = idempotency_key;
    if may_be_recorded && inbound.journal.borrow().get(id).is_some_and(|known| known.is_same_request(&open)) {
        return ForwardResult::Recorded { class: class as u32 };
    }
    let mut record = match record_message(inbound, id, open) {
        Ok(record) => record,
        Err(RecordError::Conflict) => return ForwardResult::Conflict,
        Err(RecordError::Refused(_)) => return ForwardResult::RetryLater,
    };
    let position = inbound.durability.log_end();
    if !wait_until_safe(inbound, id, &position).await {
        return if record.withdraw() { ForwardResult::RetryLater } else { ForwardResult::Conflict };
    }
    record.keep();
    ForwardResult::Recorded { class: class as u32 }
}

/// Waits until a record is durable and copied as far as the settings ask for. Returns whether its message may
/// be acknowledged.
async fn wait_until_safe(inbound: &Inbound, id: MessageId, position: &LogPosition) -> bool {
    let Some(copies) = &inbound.copies else {
        return inbound.durability.wait_until_durable(position, DURABILITY_TIMEOUT).await;
    };
    let at_most_once = {
        let (journal, active) = (inbound.journal.borrow(), inbound.active_settings.borrow());
        journal.get(id).is_none_or(|open| active.counts_as_at_most_once(&open.class))
    };
    // Both run at once, since the replicas' disks are no faster than this one.
    let (is_copied, is_durable) = tokio::join!(
        copies.replicate(id, DURABILITY_TIMEOUT),
        inbound.durability.wait_until_durable(position, DURABILITY_TIMEOUT)
    );
    // If the confirmation is not written, the message is not acknowledged, and a restart treats it so.
    is_copied && is_durable && (!at_most_once || inbound.journal.borrow_mut().confirm(id).is_ok())
}

/// Returns the deadline of a message on the journal's timeline. A delay between the two clock readings makes
/// it too early, never too late.
fn message_deadline(inbound: &Inbound, headers: &ParsedHeaders, sent_at: Instant) -> u64 {
    let now = inbound.journal.borrow().unix_now();
    now + headers.timeout.saturating_sub(sent_at.elapsed()).as_micros() as Micros
}

/// Why a message was not recorded.
enum RecordError {
    /// An open message has its id.
    Conflict,
    Refused(Refusal),
}

/// Records a message.
fn record_message(
    inbound: &Inbound,
    id: MessageId,
    mut open: OpenMessage,
) -> Result<UnacknowledgedRecord<'_>, RecordError> {
    let mut journal = inbound.journal.borrow_mut();
    // Clients use a new id for each message. With an id that is still in use, the ends of two messages would
    // be confused.
    if journal.is_request_open(RequestId(id.0)) {
        return Err(RecordError::Conflict);
    }
    let is_end_pending = || inbound.copies.as_ref().is_some_and(|copies| copies.is_end_pending(id));
    if !journal.is_id_free(id) || is_end_pending() {
        return Err(RecordError::Refused(Refusal::IdInUse));
    }
    let is_expired = open.deadline <= journal.unix_now();
    if is_expired || journal.held_count() >= inbound.active_settings.borrow().settings.max_held as usize {
        return Err(RecordError::Refused(Refusal::NoRoom));
    }
    // A process that ends before other senders have the message has not acknowledged it.
    open.is_confirmed =
        inbound.copies.is_none() || !inbound.active_settings.borrow().counts_as_at_most_once(&open.class);
    // The record is written before the answer. A message without a record is not acknowledged.
    journal.accept(id, open).map_err(|_| RecordError::Refused(Refusal::NoRoom))?;
    Ok(UnacknowledgedRecord { inbound, hold: Some(journal.hold(id)) })
}

/// Withdraws the record of a message on drop, unless it is kept since the message may be acknowledged.
struct UnacknowledgedRecord<'a> {
    inbound: &'a Inbound,
    hold: Option<IdHold>,
}

impl UnacknowledgedRecord<'_> {
    /// Withdraws the record and returns whether that is written. If not, the next process would find the
    /// message and send it, so the client must not learn that a resend is harmless.
    fn withdraw(&mut self) -> bool {
        self.hold.take().is_none_or(|hold| self.inbound.journal.borrow_mut().record_end(hold.key()))
    }

    /// Keeps the record.
    fn keep(&mut self) {
        self.hold = None;
    }
}

impl Drop for UnacknowledgedRecord<'_> {
    fn drop(&mut self) {
        self.withdraw();
    }
}

/// Returns a response after which the connection ends and nothing more is read.
fn closing_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = empty_response(status);
    announce_close(&mut answer);
    answer
}

fn announce_close(answer: &mut Response<Full<Bytes>>) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Why a body could not be read.
enum BodyError {
    Broken,
    /// All bodies that are being read exceed the memory for them.
    OverLimit,
}

/// A share of the memory for bodies, which is returned on drop.
struct BodyReservation<'a> {
    inbound: &'a Inbound,
    bytes: usize,
}

impl BodyReservation<'_> {
    /// Reserves more bytes. Returns false if they exceed the limit.
    fn try_grow(&mut self, bytes: usize) -> bool {
        let total = self.inbound.body_bytes.get() + bytes;
        let fits = total <= self.inbound.max_body_bytes;
        if fits {
            self.inbound.body_bytes.set(total);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.inbound.body_bytes.set(self.inbound.body_bytes.get() - self.bytes);
    }
}

/// Reads a body of known length. Only received bytes take memory, so the announcement of a long body costs
/// nothing.
async fn read_body(inbound: &Inbound, mut body: Incoming) -> Result<Bytes, BodyError> {
    let mut reservation = BodyReservation { inbound, bytes: 0 };
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if !reservation.try_grow(data.len()) {
            return Err(BodyError::OverLimit);
        }
        read.extend_from_slice(&data);
    }
    read.shrink_to_fit();
    Ok(read.into())
}

fn method_not_allowed(method: &'static str) -> Response<Full<Bytes>> {
    let mut answer = empty_response(StatusCode::METHOD_NOT_ALLOWED);
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    answer
}

/// Refuses a request with 503 and a `Retry-After` within the limit that clients obey.
fn refuse(inbound: &Inbound, reason: Refusal) -> Response<Full<Bytes>> {
    inbound.calls.reasons.count_refusal(reason);
    let mut answer = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let advice = RETRY_ADVICE.min(inbound.active_settings.borrow().settings.max_retry_after);
    if advice > 0
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", advice as f64 / 1e6))
    {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// The headers of a message.
struct ParsedHeaders {
    id: MessageId,
    tenant: Option<u32>,
    tenant_name: String,
    dest: DestinationId,
    is_retry: bool,
    timeout: Duration,
    idempotency_key: String,
}

impl ParsedHeaders {
    fn accepted(&self, class: u32) -> AcceptedMessage {
        let Self { id, tenant, dest, is_retry, .. } = *self;
        AcceptedMessage { id, class, tenant, dest, is_retry }
    }
}

fn parse_headers(
    active: &ActiveSettings,
    headers: &HeaderMap,
    name: &str,
    class: usize,
) -> Result<ParsedHeaders, StatusCode> {
    let bad = StatusCode::BAD_REQUEST;
    // A repeated header is ambiguous: a program that reads the other line would understand something else.
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
    let tenants = &active.names.tenants;
    let tenant_name = text("X-Tenant-Id")?.unwrap_or("");
    let tenant = tenants.iter().position(|t| t == tenant_name).map(|t| t as u32);
    if tenant.is_none() && !tenants.is_empty() {
        return Err(bad);
    }
    let id = text("X-Request-ID")?.ok_or(bad)?;
    let ms = text("X-Timeout-Ms")?.and_then(parse_number).ok_or(bad)?;
    // The time-out must not exceed the deadline of the class.
    if ms.saturating_mul(1_000) > active.settings.classes.get(class).map_or(0, |c| c.deadline) {
        return Err(bad);
    }
    let fields = text("X-Envelope")?.ok_or(bad)?.split([',', ';', '&', ' ']);
    let mut dests = fields.filter_map(|f| f.trim().strip_prefix("dest="));
    let (Some(dest), None) = (dests.next(), dests.next()) else { return Err(bad) };
    let idempotency_key = text("Idempotency-Key")?.unwrap_or("");
    if !is_valid_idempotency_key(idempotency_key) {
        return Err(bad);
    }
    Ok(ParsedHeaders {
        id: parse_id(id).ok_or(bad)?,
        tenant,
        tenant_name: tenant_name.to_owned(),
        dest: DestinationId(parse_number(dest).ok_or(bad)?),
        is_retry: text("X-Retried")?.is_some_and(|v| !v.is_empty() && v != "0"),
        timeout: Duration::from_millis(ms),
        idempotency_key: idempotency_key.to_owned(),
    })
}

/// Whether a key is valid. It is sent on unchanged, and in a batch as one word of a line, where `-` means no
/// key.
fn is_valid_idempotency_key(key: &str) -> bool {
    key.len() <= MAX_IDEMPOTENCY_KEY_BYTES && key != "-" && key.bytes().all(|b| b.is_ascii_graphic())
}

/// Parses a number that has only digits. `str::parse` would allow a sign.
fn parse_number(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Parses an id of 16 lower-case hex digits. This form ensures that it is returned unchanged in notices.
fn parse_id(text: &str) -> Option<MessageId> {
    let is_valid = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| is_valid).map(MessageId)
}

#[cfg(test)]
mod tests;
