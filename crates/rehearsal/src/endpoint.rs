//! A partner's endpoints on the wire: a thin shell round the model, the same on any world's network.

use crate::book::Book;
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

/// Between two bytes of an answer that trickles.
const TRICKLE: Duration = Duration::from_millis(20);
/// Bytes of an answer after which its status is plain: `HTTP/1.1 200 `.
const FIRST_LINE: usize = 13;
/// A caller that closes so soon after an answer had not read it: its patience ended in that moment.
const CROSSING: Micros = 2_000;
/// Noise in place of an answer.
const NOISE: &[u8] = b"\x16\x03\x01\x00\xa5 not an answer at all\r\n\r\n";

/// A destination with its endpoints.
pub struct Shell {
    /// Its number, counted from 0 over all partners.
    pub destination: usize,
    model: RefCell<Partner>,
    waiting: RefCell<BTreeMap<CallId, oneshot::Sender<Reply>>>,
    news: Notify,
    sites: RefCell<Vec<Site>>,
    /// Classes by position: their names, and how long repeats are dropped.
    classes: Vec<(String, Option<Micros>)>,
    book: Rc<Book>,
}

/// Where an endpoint stands.
struct Site {
    net: Rc<dyn Network>,
    at: SocketAddr,
    /// Its server, while it is up.
    server: Option<AbortHandle>,
    /// It has left for good.
    left: bool,
    /// Until then it says nothing.
    silent: Micros,
}

impl Shell {
    /// A shell round a model that has no endpoints yet.
    pub fn new(destination: usize, model: Partner, s: &Scenario, book: Rc<Book>) -> Rc<Self> {
        let memory =
            |c: &crate::scenario::Class| (c.effect == "deduplicated").then_some((c.memory_s * 1e6) as Micros);
        let classes = s.class.iter().map(|c| (c.get_ref().name.clone(), memory(c.get_ref()))).collect();
        let (waiting, news, sites) = Default::default();
        Rc::new(Self { destination, model: RefCell::new(model), waiting, news, sites, classes, book })
    }

    /// The model, to look at.
    pub fn model(&self) -> std::cell::Ref<'_, Partner> {
        self.model.borrow()
    }

    /// One more endpoint, which listens from now on; gives its number and its address.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn add(
        self: &Rc<Self>,
        net: Rc<dyn Network>,
        at: SocketAddr,
    ) -> std::io::Result<(usize, SocketAddr)> {
        let listener = net.listen(at)?;
        let at = listener.local_addr()?;
        let endpoint = self.model.borrow_mut().add_endpoint();
        let server = Some(tokio::task::spawn_local(self.clone().serve(endpoint, listener)).abort_handle());
        self.sites.borrow_mut().push(Site { net, at, server, left: false, silent: 0 });
        Ok((endpoint, at))
    }

    /// Endpoints that have not left.
    pub fn endpoints(&self) -> Vec<usize> {
        self.sites.borrow().iter().enumerate().filter(|(_, s)| !s.left).map(|(n, _)| n).collect()
    }

    /// Does what the scenario says.
    pub fn change(self: &Rc<Self>, endpoint: usize, change: Change) {
        let mut done = Vec::new();
        self.model.borrow_mut().apply_change(self.book.now(), endpoint, change, &mut done);
        self.settle(done);
        self.news.notify_one();
    }

    /// An endpoint says nothing for so long, as a process does that hangs. What comes is held by its system.
    pub fn silence(self: &Rc<Self>, endpoint: usize, span: Micros) {
        self.sites.borrow_mut()[endpoint].silent = self.book.now() + span;
        self.change(endpoint, Change::Pause(span));
    }

    /// An endpoint ends, for good.
    pub fn leave(self: &Rc<Self>, endpoint: usize) {
        self.sites.borrow_mut()[endpoint].left = true;
        self.change(endpoint, Change::Die);
    }

    async fn audible(&self, endpoint: usize) {
        loop {
            let until = self.sites.borrow()[endpoint].silent;
            if until <= self.book.now() {
                return;
            }
            sleep_until(self.book.at(until)).await;
        }
    }

    /// Hands answers out, and has the servers of those endpoints run that are up: the model alone knows when
    /// one falls over.
    fn settle(self: &Rc<Self>, done: Vec<Completion>) {
        for d in done {
            if let Some(waits) = self.waiting.borrow_mut().remove(&d.call) {
                let _ = waits.send(d.reply);
            }
        }
        let model = self.model.borrow();
        for (endpoint, site) in self.sites.borrow_mut().iter_mut().enumerate() {
            match (model.is_up(endpoint), site.server.is_some()) {
                (true, false) if !site.left => match site.net.listen(site.at) {
                    Ok(listener) => {
                        self.book.log(format_args!("up {}/{endpoint}", self.destination));
                        let server = tokio::task::spawn_local(self.clone().serve(endpoint, listener));
                        site.server = Some(server.abort_handle());
                    }
                    Err(e) => self.book.odd(format!("endpoint {}/{endpoint}: {e}", self.destination)),
                },
                (false, true) => {
                    self.book.log(format_args!("down {}/{endpoint}", self.destination));
                    site.server.take().inspect(AbortHandle::abort);
                }
                _ => {}
            }
        }
    }

    /// Moves the model's time; never ends.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let wake = self.model.borrow().next_wake();
            let alarm = async {
                match wake {
                    Some(at) => sleep_until(self.book.at(at)).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.news.notified() => {}
                () = alarm => {}
            }
            let mut done = Vec::new();
            let effects = {
                let mut model = self.model.borrow_mut();
                let before = model.ledger().effects.len();
                model.poll(self.book.now(), &mut done);
                model.ledger().effects[before..].to_vec()
            };
            for e in effects {
                let what = if e.is_duplicate { "repeat" } else { "effect" };
                let late = if e.abandoned { " abandoned" } else { "" };
                self.book.log(format_args!(
                    "{what} {:016x} at {}/{}{late}",
                    e.message, self.destination, e.endpoint
                ));
            }
            self.settle(done);
        }
    }

    /// Serves one endpoint until it is dropped; its connections end with it.
    pub async fn serve(self: Rc<Self>, endpoint: usize, listener: Rc<dyn Listener>) {
        let mut connections = JoinSet::new();
        let most = self.model.borrow().spec().connections as usize;
        loop {
            tokio::select! {
                biased;
                Some(_) = connections.join_next() => {}
                stream = accept(&*listener) => {
                    let Ok(stream) = stream else {
                        sleep(Duration::from_millis(10)).await;
                        continue;
                    };
                    if connections.len() < most {
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
            let request = match timeout(idle, wire.request()).await {
                Ok(Ok(Some(request))) => request,
                Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
                    self.book
                        .odd(format!("destination {}: a request that cannot be read: {e}", self.destination));
                    return;
                }
                ended => {
                    if let (Ok(_), Some((at, ids))) = (ended, answered)
                        && self.book.now() <= at + CROSSING
                    {
                        self.book.crossed(&ids);
                    }
                    return;
                }
            };
            let Some(ids) = ids(&request) else {
                self.book.odd(format!("destination {}: a request that makes no sense", self.destination));
                let _ = wire.write(&plain(400, "")).await;
                continue;
            };
            let Some((sender, messages)) = self.known(&ids) else {
                let _ = wire.write(&plain(400, "")).await;
                continue;
            };
            let (reply, call) = self.call(endpoint, sender, &request, messages);
            let reply = async {
                let reply = reply.await.unwrap_or(Reply::Reset);
                self.audible(endpoint).await;
                reply
            };
            let reply = tokio::select! {
                biased;
                reply = reply => reply,
                () = wire.ended() => {
                    self.book.log(format_args!("gone {:?}", call.0));
                    self.model.borrow_mut().abandon_call(self.book.now(), call);
                    self.waiting.borrow_mut().remove(&call);
                    return;
                }
            };
            if !self.answer(&mut wire, &ids, reply).await || request.closes() {
                return;
            }
            answered = Some((self.book.now(), ids));
        }
    }

    /// The messages of a call as the model sees them, and whose they are.
    fn known(&self, ids: &[u64]) -> Option<(usize, Vec<IncomingMessage>)> {
        let (messages, orders) = (self.book.messages.borrow(), self.book.orders.borrow());
        let mut found = Vec::new();
        let mut sender = 0;
        for id in ids {
            let Some(m) = messages.get(id) else {
                if self.book.strangers.get() {
                    let (class, dedup_window) = self.classes[0].clone();
                    found.push(IncomingMessage { id: *id, class, dedup_window, dedup_key: *id });
                    continue;
                }
                drop(messages);
                self.book.odd(format!("message {id:016x} was called and never handed in"));
                return None;
            };
            let order = &orders[m.order];
            if order.destination != self.destination {
                let (to, is) = (self.destination, order.destination);
                self.book.odd(format!("message {id:016x} went to destination {to} and belongs to {is}"));
            }
            let (class, dedup_window) = self.classes[order.class].clone();
            found.push(IncomingMessage { id: *id, class, dedup_window, dedup_key: m.order as u64 });
            sender = m.sender;
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
        let now = self.book.now();
        let first = request.first.map_or(now, |t| self.book.time(t));
        let (tell, told) = oneshot::channel();
        let mut done = Vec::new();
        let ids: Vec<String> = messages.iter().map(|m| format!("{:016x}", m.id)).collect();
        let call = self.model.borrow_mut().receive_call(now, first, endpoint, sender, messages, &mut done);
        let (d, ids) = (self.destination, ids.join(","));
        self.book.log(format_args!("call {} to {d}/{endpoint} from {sender} with {ids}", call.0));
        self.waiting.borrow_mut().insert(call, tell);
        self.settle(done);
        self.news.notify_one();
        (told, call)
    }

    /// Writes what is answered; false where the connection is of no further use.
    async fn answer(&self, wire: &mut Wire, ids: &[u64], reply: Reply) -> bool {
        self.book.log(format_args!("answer {:016x} {reply:?}", ids[0]));
        let mut text = Vec::new();
        let mut done: &[u64] = &[];
        let each: Vec<u64>;
        match reply {
            Reply::Status(200, _) => {
                (text, done) = (plain(200, ""), ids);
            }
            Reply::Status(status, wait) => {
                let wait =
                    wait.map(|w| format!("Retry-After: {:.6}\r\n", w as f64 / 1e6)).unwrap_or_default();
                text = plain(status, &wait);
            }
            Reply::Each(words) => {
                let mut body = String::new();
                for (id, word) in &words {
                    let word = if *word == MessageResult::Done { "done" } else { "failed" };
                    let _ = write!(body, "{id:016x} {word}\r\n");
                }
                text =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
                each = words.iter().filter(|w| w.1 == MessageResult::Done).map(|w| w.0).collect();
                done = &each;
            }
            Reply::Silent => {
                wire.ended().await;
                return false;
            }
            Reply::Reset => return false,
            Reply::Spoilt => text.extend_from_slice(NOISE),
            // Of a single message the first line settles it; of several only the whole answer does.
            Reply::Half => {
                text.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\nX-Tr");
                done = if ids.len() == 1 { ids } else { &[] };
            }
            Reply::Trickle => {
                done = if ids.len() == 1 { ids } else { &[] };
                for (n, byte) in plain(200, "").into_iter().enumerate() {
                    if wire.write(&[byte]).await.is_err() {
                        return false;
                    }
                    if n + 1 == FIRST_LINE {
                        done.iter().for_each(|id| self.book.delivered(*id));
                    }
                    // Nobody is there to read the rest of it, nor, maybe, a first line that says 200.
                    tokio::select! {
                        biased;
                        () = wire.ended() => return false,
                        () = sleep(TRICKLE) => {}
                    }
                }
                return true;
            }
        }
        done.iter().for_each(|id| self.book.delivered(*id));
        let spoilt = text == NOISE || text.ends_with(b"X-Tr");
        let written = wire.write(&text).await.is_ok();
        if spoilt && written {
            wire.ended().await;
        }
        written && !spoilt
    }
}

fn plain(status: u16, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{headers}\r\n").into_bytes()
}

/// The messages that a call names; nothing where it cannot be read.
fn ids(request: &Message) -> Option<Vec<u64>> {
    let read = |text: &str| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/messages") => Some(vec![read(request.header("x-request-id"))?]),
        ("POST", "/v1/messages:batch") => {
            let mut rest = &request.body[..];
            let mut ids = Vec::new();
            while !rest.is_empty() {
                let end = rest.windows(2).position(|w| w == b"\r\n")?;
                let line = std::str::from_utf8(&rest[..end]).ok()?;
                let mut words = line.split(' ');
                let (id, _key, length) = (read(words.next()?)?, words.next()?, words.next()?);
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
