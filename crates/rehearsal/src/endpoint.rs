//! Serves a partner's endpoints over HTTP. It connects the emulator's model to the network and is the same
//! in every environment.

use crate::observations::Observations;
use crate::scenario::Scenario;
use crate::wire::{Message, Wire};
use notchpoint_emulator::partner::IncomingMessage;
use notchpoint_emulator::{CallId, Change, Completion, MessageResult, Micros, Partner, Reply};
use notchpoint_seam::net::accept;
use notchpoint_seam::{Listener, Network, Stream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};

/// Interval between two bytes of a trickling answer.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes of an answer after which its status is known: `HTTP/1.1 200 `.
const STATUS_LINE_BYTES: usize = 13;
/// A caller that closes within this time after an answer was written may not have read it, because its
/// time-out elapsed at the same time.
const CROSSING_TIME: Micros = 2_000;
/// The empty line that ends the head of an answer.
const END_OF_HEAD: &[u8] = b"\r\n";
/// Bytes that are sent in place of an answer.
const GARBAGE_ANSWER: &[u8] = b"\x16\x03\x01\x00\xa5 not an answer at all\r\n\r\n";

/// An emulated destination with its endpoints.
pub struct EmulatedDestination {
    /// Index of the destination over all partners.
    pub destination: usize,
    model: RefCell<Partner>,
    waiting: RefCell<BTreeMap<CallId, oneshot::Sender<Reply>>>,
    model_changed: Notify,
    endpoint_states: RefCell<Vec<EndpointState>>,
    /// Name and deduplication window of each class.
    classes: Vec<(String, Option<Micros>)>,
    observations: Rc<Observations>,
}

/// The network state of an endpoint.
struct EndpointState {
    net: Rc<dyn Network>,
    at: SocketAddr,
    /// The task that serves it, while it is up.
    server: Option<AbortHandle>,
    /// Whether it was removed permanently.
    has_left: bool,
    /// Time until which it sends no answers.
    silent_until: Micros,
}

impl EmulatedDestination {
    /// Creates a destination for a model that has no endpoints yet.
    pub fn new(
        destination: usize,
        model: Partner,
        scenario: &Scenario,
        observations: Rc<Observations>,
    ) -> Rc<Self> {
        let dedup_window =
            |c: &crate::scenario::Class| (c.effect == "deduplicated").then_some((c.memory_s * 1e6) as Micros);
        let classes =
            scenario.class.iter().map(|c| (c.get_ref().name.clone(), dedup_window(c.get_ref()))).collect();
        let (waiting, model_changed, endpoint_states) = Default::default();
        Rc::new(Self {
            destination,
            model: RefCell::new(model),
            waiting,
            model_changed,
            endpoint_states,
            classes,
            observations,
        })
    }

    /// Returns the model.
    pub fn model(&self) -> std::cell::Ref<'_, Partner> {
        self.model.borrow()
    }

    /// Adds an endpoint, which starts to listen. Returns its number and address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn add(
        self: &Rc<Self>,
        net: Rc<dyn Network>,
        at: SocketAddr,
    ) -> std::io::Result<(usize, SocketAddr)> {
        let listener = net.listen(at)?;
        let at = listener.local_addr()?;
        let endpoint = self.model.borrow_mut().add_endpoint();
        let server = Some(tokio::task::spawn_local(self.clone().serve(endpoint, listener)).abort_handle());
        self.endpoint_states.borrow_mut().push(EndpointState {
            net,
            at,
            server,
            has_left: false,
            silent_until: 0,
        });
        Ok((endpoint, at))
    }

    /// Returns the endpoints that have not been removed.
    pub fn endpoints(&self) -> Vec<usize> {
        self.endpoint_states
            .borrow()
            .iter()
            .enumerate()
            .filter(|(_, state)| !state.has_left)
            .map(|(endpoint, _)| endpoint)
            .collect()
    }

    /// Applies a change of the scenario to an endpoint.
    pub fn change(self: &Rc<Self>, endpoint: usize, change: Change) {
        let mut done = Vec::new();
        self.model.borrow_mut().apply_change(self.observations.now(), endpoint, change, &mut done);
        self.apply_results(done);
        self.model_changed.notify_one();
    }

    /// Makes an endpoint unresponsive for a time, as a hanging process is. Incoming data stays in the
    /// system's buffers.
    pub fn silence(self: &Rc<Self>, endpoint: usize, span: Micros) {
        self.endpoint_states.borrow_mut()[endpoint].silent_until = self.observations.now() + span;
        self.change(endpoint, Change::Pause(span));
    }

    /// Removes an endpoint permanently.
    pub fn remove(self: &Rc<Self>, endpoint: usize) {
        self.endpoint_states.borrow_mut()[endpoint].has_left = true;
        self.change(endpoint, Change::Die);
    }

    async fn wait_while_silent(&self, endpoint: usize) {
        loop {
            let until = self.endpoint_states.borrow()[endpoint].silent_until;
            if until <= self.observations.now() {
                return;
            }
            sleep_until(self.observations.instant_at(until)).await;
        }
    }

    /// Passes replies on to the waiting connections, and starts or stops endpoint servers as the model
    /// requires. Only the model knows when an endpoint fails.
    fn apply_results(self: &Rc<Self>, done: Vec<Completion>) {
        for completion in done {
            if let Some(waiter) = self.waiting.borrow_mut().remove(&completion.call) {
                let _ = waiter.send(completion.reply);
            }
        }
        let model = self.model.borrow();
        for (endpoint, state) in self.endpoint_states.borrow_mut().iter_mut().enumerate() {
            match (model.is_up(endpoint), state.server.is_some()) {
                (true, false) if !state.has_left => match state.net.listen(state.at) {
                    Ok(listener) => {
                        self.observations.log(format_args!("up {}/{endpoint}", self.destination));
                        let server = tokio::task::spawn_local(self.clone().serve(endpoint, listener));
                        state.server = Some(server.abort_handle());
                    }
                    Err(e) => self
                        .observations
                        .record_anomaly(format!("endpoint {}/{endpoint}: {e}", self.destination)),
                },
                (false, true) => {
                    self.observations.log(format_args!("down {}/{endpoint}", self.destination));
                    state.server.take().inspect(AbortHandle::abort);
                }
                _ => {}
            }
        }
    }

    /// Advances the model's time. Never returns.
    pub async fn run_model(self: Rc<Self>) {
        loop {
            let wake = self.model.borrow().next_wake();
            let alarm = async {
                match wake {
                    Some(at) => sleep_until(self.observations.instant_at(at)).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.model_changed.notified() => {}
                () = alarm => {}
            }
            let mut done = Vec::new();
            let effects = {
                let mut model = self.model.borrow_mut();
                let before = model.ledger().effects.len();
                model.poll(self.observations.now(), &mut done);
                model.ledger().effects[before..].to_vec()
            };
            for effect in effects {
                let kind = if effect.is_duplicate { "repeat" } else { "effect" };
                let late = if effect.abandoned { " abandoned" } else { "" };
                self.observations.log(format_args!(
                    "{kind} {:016x} at {}/{}{late}",
                    effect.message, self.destination, effect.endpoint
                ));
            }
            self.apply_results(done);
        }
    }

    /// Serves one endpoint until the future is dropped, which closes its connections.
    pub async fn serve(self: Rc<Self>, endpoint: usize, listener: Rc<dyn Listener>) {
        let mut connections = JoinSet::new();
        let max_connections = self.model.borrow().spec().connections as usize;
        loop {
            tokio::select! {
                biased;
                Some(_) = connections.join_next() => {}
                stream = accept(&*listener) => {
                    let Ok(stream) = stream else {
                        sleep(Duration::from_millis(10)).await;
                        continue;
                    };
                    if connections.len() < max_connections {
                        connections.spawn_local(self.clone().connection(endpoint, stream));
                    }
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, endpoint: usize, stream: Rc<dyn Stream>) {
        let mut wire = Wire::new(stream);
        let idle = Duration::from_secs_f64(self.model.borrow().spec().idle_s);
        let mut answered: Option<(Micros, Vec<u64>)> = None;
        loop {
            let request = match timeout(idle, wire.read_request()).await {
                Ok(Ok(Some(request))) => request,
                Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
                    self.observations.record_anomaly(format!(
                        "destination {}: a request that cannot be read: {e}",
                        self.destination
                    ));
                    return;
                }
                ended => {
                    if let (Ok(_), Some((at, ids))) = (ended, answered)
                        && self.observations.now() <= at + CROSSING_TIME
                    {
                        self.observations.record_crossed(&ids);
                    }
                    return;
                }
            };
            let Some(ids) = parse_message_ids(&request) else {
                self.observations.record_anomaly(format!(
                    "destination {}: a request that makes no sense",
                    self.destination
                ));
                let _ = wire.write(&empty_response(400, "")).await;
                continue;
            };
            let Some((sender, messages)) = self.resolve_messages(&ids) else {
                let _ = wire.write(&empty_response(400, "")).await;
                continue;
            };
            let (reply, call) = self.call(endpoint, sender, &request, messages);
            let reply = async {
                let reply = reply.await.unwrap_or(Reply::Reset);
                self.wait_while_silent(endpoint).await;
                reply
            };
            let reply = tokio::select! {
                biased;
                reply = reply => reply,
                () = wire.wait_closed() => {
                    self.observations.log(format_args!("gone {:?}", call.0));
                    self.model.borrow_mut().abandon_call(self.observations.now(), call);
                    self.waiting.borrow_mut().remove(&call);
                    return;
                }
            };
            if !self.write_answer(&mut wire, &request, &ids, reply).await || request.closes() {
                return;
            }
            answered = Some((self.observations.now(), ids));
        }
    }

    /// Looks up the messages of a call for the model. Returns the sender they were submitted to and the
    /// messages, or None if one is unknown.
    fn resolve_messages(&self, ids: &[u64]) -> Option<(usize, Vec<IncomingMessage>)> {
        let (messages, orders) = (self.observations.messages.borrow(), self.observations.orders.borrow());
        let mut found = Vec::new();
        let mut sender = 0;
        for id in ids {
            let Some(message) = messages.get(id) else {
                if self.observations.allows_unknown_messages.get() {
                    let (class, dedup_window) = self.classes[0].clone();
                    found.push(IncomingMessage { id: *id, class, dedup_window, dedup_key: *id });
                    continue;
                }
                drop(messages);
                self.observations.record_anomaly(format!("message {id:016x} was called and never handed in"));
                return None;
            };
            let order = &orders[message.order];
            if order.destination != self.destination {
                let (to, expected) = (self.destination, order.destination);
                self.observations.record_anomaly(format!(
                    "message {id:016x} went to destination {to} and belongs to {expected}"
                ));
            }
            let (class, dedup_window) = self.classes[order.class].clone();
            found.push(IncomingMessage { id: *id, class, dedup_window, dedup_key: message.order as u64 });
            sender = message.sender;
        }
        Some((sender, found))
    }

    fn call(
        self: &Rc<Self>,
        endpoint: usize,
        sender: usize,
        request: &Message,
        messages: Vec<IncomingMessage>,
    ) -> (oneshot::Receiver<Reply>, CallId) {
        let now = self.observations.now();
        let first_byte_at = request.first_byte_at.map_or(now, |t| self.observations.time_of(t));
        let (reply_sender, reply_receiver) = oneshot::channel();
        let mut done = Vec::new();
        let ids: Vec<String> = messages.iter().map(|m| format!("{:016x}", m.id)).collect();
        let call =
            self.model.borrow_mut().receive_call(now, first_byte_at, endpoint, sender, messages, &mut done);
        let (destination, ids) = (self.destination, ids.join(","));
        self.observations
            .log(format_args!("call {} to {destination}/{endpoint} from {sender} with {ids}", call.0));
        self.waiting.borrow_mut().insert(call, reply_sender);
        self.apply_results(done);
        self.model_changed.notify_one();
        (reply_receiver, call)
    }

    /// Writes an answer. Returns false if the connection cannot be used any more.
    async fn write_answer(&self, wire: &mut Wire, request: &Message, ids: &[u64], reply: Reply) -> bool {
        self.observations.log(format_args!("answer {:016x} {reply:?}", ids[0]));
        let close = if request.closes() { "Connection: close\r\n" } else { "" };
        let mut text = Vec::new();
        let mut done: &[u64] = &[];
        let each: Vec<u64>;
        match reply {
            Reply::Status(200, _) if is_batch(request) => {
                let results: Vec<_> = ids.iter().map(|&id| (id, MessageResult::Done)).collect();
                (text, done) = (batch_response(&results, close), ids);
            }
            Reply::Status(200, _) => {
                (text, done) = (empty_response(200, close), ids);
            }
            Reply::Status(status, wait) => {
                let wait =
                    wait.map(|w| format!("Retry-After: {:.6}\r\n", w as f64 / 1e6)).unwrap_or_default();
                text = empty_response(status, &format!("{wait}{close}"));
            }
            Reply::Each(results) => {
                text = batch_response(&results, close);
                each = results
                    .iter()
                    .filter(|result| result.1 == MessageResult::Done)
                    .map(|result| result.0)
                    .collect();
                done = &each;
            }
            Reply::Silent => {
                wire.wait_closed().await;
                return false;
            }
            Reply::Reset => return false,
            Reply::Spoilt => text.extend_from_slice(GARBAGE_ANSWER),
            // For a single message the status line is enough; for several the complete answer is needed.
            Reply::Half => {
                text = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 40\r\nX-Tr").into_bytes();
                done = if is_batch(request) { &[] } else { ids };
            }
            Reply::Trickle => {
                done = if is_batch(request) { &[] } else { ids };
                let response = empty_response(200, close);
                // Up to the announcement of the close nothing shows the caller that this is no copy of the
                // answer before.
                let shown_after = response.len() - END_OF_HEAD.len();
                for (n, byte) in response.into_iter().enumerate() {
                    if wire.write(&[byte]).await.is_err() {
                        return false;
                    }
                    if n + 1 == STATUS_LINE_BYTES {
                        done.iter().for_each(|id| self.observations.record_delivered(*id));
                    }
                    // The caller may close before it has read the rest, or even a status line with 200.
                    tokio::select! {
                        biased;
                        () = wire.wait_closed() => {
                            if request.closes() && n + 1 < shown_after {
                                self.observations.record_crossed(done);
                            }
                            return false;
                        }
                        () = sleep(TRICKLE_INTERVAL) => {}
                    }
                }
                return true;
            }
        }
        done.iter().for_each(|id| self.observations.record_delivered(*id));
        let is_spoilt = text == GARBAGE_ANSWER || text.ends_with(b"X-Tr");
        let written = wire.write(&text).await.is_ok();
        if is_spoilt && written {
            wire.wait_closed().await;
        }
        written && !is_spoilt
    }
}

fn empty_response(status: u16, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{headers}\r\n").into_bytes()
}

/// Returns the response to a call in the form for several messages, with the result of each.
fn batch_response(results: &[(u64, MessageResult)], headers: &str) -> Vec<u8> {
    let mut body = String::new();
    for (id, result) in results {
        let result = if *result == MessageResult::Done { "done" } else { "failed" };
        let _ = write!(body, "{id:016x} {result}\r\n");
    }
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}

/// Whether a call has the form for several messages.
fn is_batch(request: &Message) -> bool {
    request.path == "/v1/messages:batch"
}

/// Returns the IDs of the messages in a call, or None if the call is malformed.
fn parse_message_ids(request: &Message) -> Option<Vec<u64>> {
    let parse_id = |text: &str| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/messages") => Some(vec![parse_id(request.header("x-request-id"))?]),
        ("POST", "/v1/messages:batch") => {
            let mut rest = &request.body[..];
            let mut ids = Vec::new();
            while !rest.is_empty() {
                let end = rest.windows(2).position(|w| w == b"\r\n")?;
                let line = std::str::from_utf8(&rest[..end]).ok()?;
                let mut fields = line.split(' ');
                let (id, _key, length) = (parse_id(fields.next()?)?, fields.next()?, fields.next()?);
                rest = rest.get(end + 2 + length.parse::<usize>().ok()? + 2..)?;
                if ids.contains(&id) {
                    return None;
                }
                ids.push(id);
            }
            Some(ids).filter(|ids| !ids.is_empty())
        }
        _ => None,
    }
}
