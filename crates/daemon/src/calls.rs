//! Connections and calls to endpoints: what a call came to, and whether it can have run.

use crate::config::Config;
use crate::handover::{Frame, Out, Wait};
use crate::input::Input;
use crate::io::{Observed, Observer};
use crate::journal::Journal;
use crate::safety::Safety;
use bytes::Bytes;
use http_body_util::{BodyExt, Full as Body, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use notchpoint_policy::*;
use notchpoint_seam::{Network, Stream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// An attempt whose record is not safe by then is not made.
const SAFE_WITHIN: Duration = Duration::from_secs(1);
/// An answer's body tells at most a line for each message of a batch.
const ANSWER: usize = 64 << 10;
/// An idle connection is dropped after this share of the time after which its endpoint may close it: the
/// rest covers the way there, so that no request meets a closing connection.
const IDLE_SHARE: f64 = 0.8;
/// A destination whose last endpoint left the list is known for so long: a replacement may be under way.
const LATELY: Duration = Duration::from_secs(60);
const SWEEP: Duration = Duration::from_millis(500);
/// An answer comes in one piece. What is not there so long after its first byte, a lost packet's second try
/// included, does not come.
const WHOLE: Duration = Duration::from_millis(500);
/// Where its first line has settled the call, the rest is only waited for to keep the connection.
const REST: Duration = Duration::from_millis(50);
/// hyper reads a head into this at most; one of an answer is a few hundred bytes.
const BUFFER: usize = 16 << 10;
/// A message whose time is up so soon (in microseconds) will have ended before anything else can be done
/// with it.
const TURN: u64 = 20_000;
/// How long a connection may take to be ready for the next call before it is let go.
const SETTLE: Duration = Duration::from_millis(20);

/// A message in a call.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: MessageId,
    pub attempt: u32,
    pub timeout: Duration,
    pub body: Bytes,
}

/// An endpoint as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    pub address: SocketAddr,
    pub dest: DestinationId,
    pub live: bool,
    pub apart: bool,
    /// Messages in one call at most.
    pub bundle: usize,
}

impl Target {
    fn route(&self, id: EndpointId) -> Route {
        (self.dest, self.apart.then_some(id))
    }
}

/// An attempt, by its message and number.
type AttemptId = (MessageId, u32);
/// What shares a limit and waits: a destination, or one endpoint of it where they are apart.
type Route = (DestinationId, Option<EndpointId>);

/// One outcome, and what came with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    pub outcome: Outcome,
    pub over: bool,
    pub allowance: Option<Allowance>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, over: outcome == Outcome::Served, allowance: None }
    }
}

/// What a call came to: for all alike, or for each message (what is not named may have run).
enum Answer {
    Alike(End),
    Each(BTreeMap<MessageId, End>),
}

/// What passes for the present request: how much of it has been written, and what came back.
#[derive(Default)]
struct Progress {
    /// How much of the blank line that ends the head was seen; 4 once it was.
    head: Cell<usize>,
    body_left: Cell<usize>,
    came: RefCell<Came>,
    /// Something came.
    news: Notify,
}

/// What came back, read beside hyper: the first line counts also where hyper can make nothing of the rest.
#[derive(Debug, Default)]
struct Came {
    /// When its first byte came.
    since: Option<Instant>,
    /// It came before the request's last byte was written, so it belongs to something else.
    early: bool,
    bytes: usize,
    line: Vec<u8>,
    status: Option<u16>,
    /// Bytes in the line of the head that is being read, its end not counted.
    column: usize,
    /// Where its body begins.
    head: Option<usize>,
}

/// `HTTP/1.1 200`, and a byte that ends the number.
const LINE: usize = 13;

impl Came {
    fn take(&mut self, byte: u8) {
        let end = byte == b'\n';
        self.bytes += 1;
        if self.head.is_some() || (self.line.is_empty() && matches!(byte, b'\r' | b'\n')) {
            return;
        }
        if self.line.len() < LINE {
            // A line that ends early stays short, and says nothing.
            self.line.push(byte);
            if self.line.len() == LINE || end {
                self.status = read_line(&self.line);
                self.line.resize(LINE, 0);
            }
        }
        match (end, self.column) {
            (true, 0) if self.status.is_some_and(|s| (100..200).contains(&s)) => *self = Self::default(),
            (true, 0) => self.head = Some(self.bytes),
            (true, _) => self.column = 0,
            (false, _) => self.column += usize::from(byte != b'\r'),
        }
    }
}

/// The status, where a first line gives one.
fn read_line(line: &[u8]) -> Option<u16> {
    let (version, rest) = line.split_at_checked(9)?;
    let (digits, end) = rest.split_at_checked(3)?;
    let fits = version.starts_with(b"HTTP/1.") && version[7].is_ascii_digit() && version[8] == b' ';
    let fits = fits && digits.iter().all(u8::is_ascii_digit) && !end.first()?.is_ascii_digit();
    std::str::from_utf8(digits).ok()?.parse().ok().filter(|_| fits)
}

impl Progress {
    fn expect(&self, body: usize) {
        self.head.set(0);
        self.body_left.set(body);
        self.came.take();
    }

    fn complete(&self) -> bool {
        self.head.get() == 4 && self.body_left.get() == 0
    }

    fn says_ok(&self) -> bool {
        let came = self.came.borrow();
        came.status == Some(200) && !came.early && self.complete()
    }

    /// More came than an answer with a body of this length has.
    fn has_more(&self, body: u64) -> bool {
        let came = self.came.borrow();
        came.head.is_none_or(|head| (came.bytes - head) as u64 > body)
    }
}

impl Observer for Rc<Progress> {
    fn read(&self, bytes: &[u8]) {
        let complete = self.complete();
        let mut came = self.came.borrow_mut();
        for &byte in bytes {
            if came.since.is_none() {
                (came.since, came.early) = (Some(Instant::now()), !complete);
            }
            came.take(byte);
        }
        self.news.notify_one();
    }

    fn wrote(&self, mut bytes: &[u8]) {
        while self.head.get() < 4 {
            let Some((&b, rest)) = bytes.split_first() else { return };
            let seen = self.head.get();
            self.head.set(match (b == b"\r\n\r\n"[seen], b) {
                (true, _) => seen + 1,
                (false, b'\r') => 1,
                _ => 0,
            });
            bytes = rest;
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len()));
    }
}

struct Connection {
    sender: SendRequest<Body<Bytes>>,
    driver: Driver,
    progress: Rc<Progress>,
    stream: Rc<dyn Stream>,
    address: SocketAddr,
}

impl Connection {
    /// It may carry a call: it stands, and nothing has come on it that no call waits for.
    fn is_fit(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }

    /// Ends the connection, and returns once it has ended: until then its call holds a slot over there.
    async fn close(mut self) {
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

struct Idle {
    connection: Connection,
    since: Instant,
}

pub struct Calls {
    net: Rc<dyn Network>,
    targets: RefCell<BTreeMap<EndpointId, Target>>,
    /// Endpoints that operators have taken out.
    taken_out: RefCell<BTreeSet<EndpointId>>,
    /// The destinations that the list names, or, until then, has named.
    named: RefCell<BTreeMap<DestinationId, Option<Instant>>>,
    pool: RefCell<BTreeMap<EndpointId, Vec<Idle>>>,
    waits: RefCell<BTreeMap<Route, Instant>>,
    cancels: RefCell<BTreeMap<AttemptId, (EndpointId, UnboundedSender<AttemptId>)>>,
    /// Attempts that are out at the process before this one, which tells of their ends.
    adopted: RefCell<BTreeMap<AttemptId, EndpointId>>,
    /// Where to tell it to stop waiting for one.
    before: RefCell<Option<UnboundedSender<Frame>>>,
    /// Another process decides: what is out ends here, and connections are not kept.
    given: Cell<bool>,
    out: Cell<usize>,
    journal: Rc<RefCell<Journal>>,
    safety: Rc<Safety>,
    inputs: UnboundedSender<Input>,
    connect_timeout: Duration,
    idle: Duration,
    /// Connections that may stand idle, so that descriptors are left for clients.
    most_idle: usize,
    second_copies: bool,
}

impl Calls {
    pub fn new(
        config: &Config,
        net: Rc<dyn Network>,
        journal: Rc<RefCell<Journal>>,
        safety: Rc<Safety>,
        inputs: UnboundedSender<Input>,
    ) -> Rc<Self> {
        let set = &config.settings;
        let calls = Rc::new(Self {
            net,
            targets: RefCell::default(),
            taken_out: RefCell::default(),
            named: RefCell::default(),
            pool: RefCell::default(),
            waits: RefCell::default(),
            cancels: RefCell::default(),
            adopted: RefCell::default(),
            before: RefCell::default(),
            given: Cell::new(false),
            out: Cell::new(0),
            journal,
            safety,
            inputs,
            connect_timeout: Duration::from_micros(set.connect_timeout),
            idle: Duration::from_micros(set.conn_idle).mul_f64(IDLE_SHARE),
            most_idle: config.sockets / 4,
            second_copies: set.second_copies,
        });
        let swept = Rc::downgrade(&calls);
        tokio::task::spawn_local(async move {
            while let Some(calls) = swept.upgrade() {
                calls.sweep();
                drop(calls);
                tokio::time::sleep(SWEEP).await;
            }
        });
        calls
    }

    /// Calls that are out.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// An attempt of this message is out.
    pub fn has_out(&self, id: MessageId) -> bool {
        let all = (id, 0)..=(id, u32::MAX);
        let own = self.cancels.borrow().range(all.clone()).next().is_some();
        own || self.adopted.borrow().range(all).next().is_some()
    }

    /// What the list says of an endpoint; connections to one that moved or left are closed.
    pub fn list(&self, id: EndpointId, target: Option<Target>) {
        let old = match target {
            Some(t) => self.targets.borrow_mut().insert(id, t),
            None => self.targets.borrow_mut().remove(&id),
        };
        if old.map(|t| (t.address, t.live)) != target.map(|t| (t.address, t.live)) {
            let closed = self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len());
            self.tell_closed(id, closed);
        }
        let left = old.filter(|o| self.targets.borrow().values().all(|t| t.dest != o.dest));
        let mut named = self.named.borrow_mut();
        named.extend(left.map(|o| (o.dest, Some(Instant::now() + LATELY))));
        named.extend(target.map(|t| (t.dest, None)));
    }

    /// Operators took an endpoint out, or put it back: a call that is not written yet is not made, and idle
    /// connections end, since it will be restarted.
    pub fn set_out(&self, id: EndpointId, out: bool) {
        let mut all = self.taken_out.borrow_mut();
        if out {
            all.insert(id);
            let closed = self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len());
            self.tell_closed(id, closed);
        } else {
            all.remove(&id);
        }
    }

    /// The list names this destination, or did lately.
    pub fn knows(&self, dest: DestinationId) -> bool {
        self.named.borrow().contains_key(&dest)
    }

    /// Messages in one call to an endpoint at most.
    pub fn bundle(&self, id: EndpointId) -> usize {
        self.targets.borrow().get(&id).map_or(1, |t| t.bundle)
    }

    pub fn listed(&self) -> Vec<EndpointId> {
        self.targets.borrow().keys().copied().collect()
    }

    pub fn is_listed(&self, id: EndpointId) -> bool {
        self.targets.borrow().contains_key(&id)
    }

    /// The module has these closed, and knows.
    pub fn close_idle(&self, id: EndpointId) {
        self.pool.borrow_mut().remove(&id);
    }

    /// Tells that so many idle connections ended.
    fn tell_closed(&self, id: EndpointId, count: usize) {
        for _ in 0..count {
            let _ = self.inputs.send(Input::Event(Event::Closed(id)));
        }
    }

    /// Connections that stand idle, by endpoint.
    pub fn idle(&self) -> BTreeMap<EndpointId, usize> {
        self.pool.borrow().iter().map(|(&id, idle)| (id, idle.len())).collect()
    }

    /// Attempts that are out.
    pub fn attempts_out(&self) -> usize {
        self.cancels.borrow().len() + self.adopted.borrow().len()
    }

    fn sweep(&self) {
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

    /// Stops waiting for an attempt.
    pub fn cancel(&self, id: MessageId, attempt: u32) {
        if let Some((_, call)) = self.cancels.borrow().get(&(id, attempt)) {
            let _ = call.send((id, attempt));
        } else if self.adopted.borrow().contains_key(&(id, attempt))
            && let Some(before) = &*self.before.borrow()
        {
            let _ = before.send(Frame::Cancel { id, attempt });
        }
    }

    /// Starts one call with these messages. Each of them ends once.
    pub fn start(self: &Rc<Self>, endpoint: EndpointId, mut items: Vec<Item>) {
        let (cancel, cancelled) = unbounded_channel();
        let least = items.iter().map(|i| i.timeout).min().unwrap_or_default();
        for i in &mut items {
            if !self.second_copies {
                // One sent again while the call goes on for the others would be a second copy.
                i.timeout = least;
            }
            self.cancels.borrow_mut().insert((i.id, i.attempt), (endpoint, cancel.clone()));
        }
        self.out.set(self.out.get() + 1);
        // Chosen now, not when the call gets its turn: what became idle in between the module would count
        // twice, since it had decided without it.
        let used = self.pooled(endpoint);
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            calls.call(endpoint, items, used, cancelled).await;
            calls.out.set(calls.out.get() - 1);
        });
    }

    async fn call(
        self: &Rc<Self>,
        endpoint: EndpointId,
        items: Vec<Item>,
        used: Option<Connection>,
        mut cancelled: UnboundedReceiver<AttemptId>,
    ) {
        let started = Instant::now();
        let waiting = RefCell::new(items);
        let connection = RefCell::new(None);
        // Nothing of an earlier request counts: the progress is this one's once the connection is there.
        let progress: RefCell<Option<Rc<Progress>>> = RefCell::new(None);
        let written = || progress.borrow().as_ref().is_some_and(|p| p.complete());
        let answered = || progress.borrow().as_ref().is_some_and(|p| p.came.borrow().since.is_some());
        // A single message is delivered once the first line says so, whatever becomes of the rest.
        let batch = waiting.borrow().len() > 1;
        let settled = || !batch && progress.borrow().as_ref().is_some_and(|p| p.says_ok());
        let mut last = Vec::new();
        let answer = {
            let exchange = self.exchange(endpoint, started, used, &waiting, &connection, &progress);
            tokio::pin!(exchange);
            loop {
                let next = waiting.borrow().iter().map(|i| started + i.timeout).min();
                let Some(next) = next else { break None };
                let outcome = tokio::select! {
                    biased;
                    answer = &mut exchange => break Some(answer),
                    Some(one) = cancelled.recv() => {
                        let outcome = match (settled(), written()) {
                            (true, _) => Outcome::Served,
                            (_, true) => Outcome::Cancelled,
                            _ => Outcome::Moot,
                        };
                        last = take(&waiting, |i| (i.id, i.attempt) == one);
                        outcome
                    }
                    () = sleep_until(next) => {
                        let outcome = match (settled(), written()) {
                            (true, _) => Outcome::Served,
                            (_, true) => Outcome::TimedOut,
                            _ => Outcome::ConnectFailed,
                        };
                        // Whole calls are given up, never a message of one: an answer that comes after a
                        // message has ended would count for it as well, or for none of its call.
                        let due = |i: &Item| started + i.timeout <= next;
                        let over = waiting.borrow().iter().any(|i| due(i) && self.is_over(i.id));
                        last = take(&waiting, |i| over || due(i));
                        outcome
                    }
                };
                let ended = std::mem::take(&mut last).into_iter().map(|i| (i, End::from(outcome)));
                if waiting.borrow().is_empty() {
                    // The connection goes first: the call holds its slot for as long as that is open.
                    last = ended.map(|(i, _)| i).collect();
                    break Some(Ok(Answer::Alike(outcome.into())));
                }
                ended.for_each(|(i, end)| self.report(endpoint, &i, end));
            }
        };
        let open = connection.borrow_mut().take();
        if let Some(c) = open {
            c.close().await;
        }
        last.extend(waiting.take());
        for item in last {
            let end = match &answer {
                Some(Ok(Answer::Alike(end))) => *end,
                Some(Ok(Answer::Each(ends))) => ends.get(&item.id).copied().unwrap_or(Outcome::Spoilt.into()),
                _ if settled() => Outcome::Served.into(),
                _ if written() && answered() => Outcome::Spoilt.into(),
                _ if written() => Outcome::Reset.into(),
                _ => Outcome::ConnectFailed.into(),
            };
            self.report(endpoint, &item, end);
        }
    }

    /// A message has had its end, or its time is up.
    fn is_over(&self, id: MessageId) -> bool {
        let journal = self.journal.borrow();
        let soon = journal.unix_now() + TURN;
        journal.get(id).is_none_or(|m| m.verdict.is_some() || m.deadline <= soon)
    }

    fn report(&self, endpoint: EndpointId, item: &Item, end: End) {
        self.cancels.borrow_mut().remove(&(item.id, item.attempt));
        self.ended(endpoint, (item.id, item.attempt), end);
    }

    /// Records how an attempt ended, and tells the node.
    fn ended(&self, endpoint: EndpointId, (id, attempt): AttemptId, end: End) {
        let outcome = end.outcome;
        let mut journal = self.journal.borrow_mut();
        if end.over || outcome == Outcome::Served {
            journal.end(id);
        } else if matches!(outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Moot) {
            journal.never_ran(id, attempt);
        }
        if let (Outcome::Full { wait: Some(wait) }, Some(t)) = (outcome, self.targets.borrow().get(&endpoint))
        {
            let until = Instant::now() + Duration::from_micros(wait);
            let mut waits = self.waits.borrow_mut();
            let w = waits.entry(t.route(endpoint)).or_insert(until);
            *w = until.max(*w);
        }
        let (over, allowance) = (end.over, end.allowance);
        let _ = self.inputs.send(Input::Event(Event::Ended { id, attempt, outcome, over, allowance }));
    }

    /// Everything that is out is given to another process: its ends will be told there. Idle connections end.
    /// What is out, by attempt, and the waits that are left.
    pub fn give(&self) -> (Vec<Out>, Vec<Wait>) {
        self.given.set(true);
        let pool = std::mem::take(&mut *self.pool.borrow_mut());
        pool.iter().for_each(|(&id, idle)| self.tell_closed(id, idle.len()));
        let own = self.cancels.borrow().iter().map(|(&(id, n), (e, _))| (id, n, *e)).collect::<Vec<_>>();
        let adopted = self.adopted.borrow().iter().map(|(&(id, n), &e)| (id, n, e)).collect::<Vec<_>>();
        let now = Instant::now();
        let left = |until: &Instant| until.saturating_duration_since(now).as_micros() as Micros;
        let waits = self.waits.borrow().iter().map(|(&(d, e), until)| (d, e, left(until))).collect();
        ([own, adopted].concat(), waits)
    }

    /// Takes over what another process has out and was told to wait for.
    pub fn adopt(&self, out: &[Out], waits: &[Wait], before: UnboundedSender<Frame>) {
        self.adopted.borrow_mut().extend(out.iter().map(|&(id, n, e)| ((id, n), e)));
        let now = Instant::now();
        let waits = waits.iter().map(|&(d, e, left)| ((d, e), now + Duration::from_micros(left)));
        self.waits.borrow_mut().extend(waits);
        *self.before.borrow_mut() = Some(before);
    }

    /// An attempt that was taken over has ended. Of one that is not known, since this process began from the
    /// folder, only that its message is delivered means something.
    pub fn adopted_ended(&self, id: MessageId, attempt: u32, end: End) {
        let known = self.adopted.borrow_mut().remove(&(id, attempt));
        match known {
            Some(endpoint) => self.ended(endpoint, (id, attempt), end),
            None => {
                if end.over || end.outcome == Outcome::Served {
                    self.journal.borrow_mut().end(id);
                    let _ = self.inputs.send(Input::Event(Event::Withdrawn(id)));
                }
                let _ = self.inputs.send(Input::Home(id));
            }
        }
    }

    /// The process that had them out has ended, and their connections with it.
    pub fn orphan(&self) {
        self.before.borrow_mut().take();
        let all = std::mem::take(&mut *self.adopted.borrow_mut());
        for (attempt, endpoint) in all {
            self.ended(endpoint, attempt, Outcome::Reset.into());
        }
    }

    /// The call itself. An error is a connection that failed; how far the request got tells what that means.
    async fn exchange(
        &self,
        endpoint: EndpointId,
        started: Instant,
        mut used: Option<Connection>,
        waiting: &RefCell<Vec<Item>>,
        connection: &RefCell<Option<Connection>>,
        progress: &RefCell<Option<Rc<Progress>>>,
    ) -> Result<Answer, ()> {
        let moot = Ok(Answer::Alike(Outcome::Moot.into()));
        let Some(target) = self.target(endpoint) else {
            if let Some(conn) = used {
                self.release(endpoint, conn).await;
            }
            return moot;
        };
        // Looked at once more: what came on it since it was chosen would pass for this call's answer.
        if let Some(unfit) = used.take_if(|c| !c.is_fit()) {
            unfit.close().await;
        }
        let mut recorded = None;
        loop {
            let reused = used.is_some();
            let mut conn = match used.take() {
                Some(c) => c,
                None => self.connect(target.address).await?,
            };
            // Connecting takes time: the list or a wait may have closed the door meanwhile, or messages be
            // over.
            if self.target(endpoint).is_none_or(|t| t.address != target.address) {
                conn.close().await;
                return moot;
            }
            let gone = take(waiting, |i| {
                let mut journal = self.journal.borrow_mut();
                let open = journal.get(i.id).is_some_and(|m| m.verdict.is_none());
                !open || (recorded.is_none() && journal.attempt(i.id, i.attempt, endpoint).is_err())
            });
            gone.iter().for_each(|i| self.report(endpoint, i, Outcome::Moot.into()));
            // An attempt's record comes before its first byte, on whatever it is to outlast.
            let mark = *recorded.get_or_insert_with(|| self.safety.mark());
            if !self.safety.is_firm(&mark) {
                if !self.safety.reached(&mark, SAFE_WITHIN).await {
                    self.release(endpoint, conn).await;
                    return moot;
                }
                // That took time: all is looked at again.
                used = Some(conn);
                continue;
            }
            let sent = waiting.borrow().clone();
            let Some(request) = request(target.address, &sent, started.elapsed(), &conn.progress) else {
                self.release(endpoint, conn).await;
                return moot;
            };
            let passed = conn.progress.clone();
            *progress.borrow_mut() = Some(passed.clone());
            let response = conn.sender.send_request(request);
            *connection.borrow_mut() = Some(conn);
            let answer = tokio::select! {
                biased;
                answer = read_answer(response, sent.len() > 1, &passed) => answer,
                () = self.overdue(&sent, &passed) => Err(()),
            };
            match answer {
                Ok((answer, keep)) => {
                    let conn = connection.borrow_mut().take();
                    if let Some(conn) = conn.filter(|_| keep) {
                        self.release(endpoint, conn).await;
                    }
                    return Ok(answer);
                }
                // Closed in the very moment of its use: it says nothing of how a new connection would fare.
                Err(()) if reused && !passed.complete() => {
                    let old = connection.borrow_mut().take();
                    if let Some(old) = old {
                        old.close().await;
                    }
                }
                Err(()) => return Err(()),
            }
        }
    }

    /// Ends once no more of an answer that has begun is to be waited for. A message that its first line
    /// settles is over from then on, also for the next process.
    async fn overdue(&self, sent: &[Item], passed: &Progress) {
        loop {
            let since = passed.came.borrow().since;
            let Some(since) = since else {
                passed.news.notified().await;
                continue;
            };
            let settled = passed.says_ok() && sent.len() == 1;
            if settled {
                sent.iter().for_each(|i| self.journal.borrow_mut().end(i.id));
            }
            let until = since + if settled { REST } else { WHOLE };
            tokio::select! {
                biased;
                () = passed.news.notified() => {}
                () = sleep_until(until) => return,
            }
        }
    }

    /// The endpoint, where a call may begin now.
    fn target(&self, id: EndpointId) -> Option<Target> {
        let target = self.targets.borrow().get(&id).copied().filter(|t| t.live)?;
        if self.taken_out.borrow().contains(&id) {
            return None;
        }
        let waits = self.waits.borrow();
        waits.get(&target.route(id)).is_none_or(|&until| Instant::now() >= until).then_some(target)
    }

    /// The connection used last: the others may then grow old and close.
    fn pooled(&self, id: EndpointId) -> Option<Connection> {
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

    async fn release(&self, id: EndpointId, mut connection: Connection) {
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

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ()> {
        let stream = timeout(self.connect_timeout, self.net.connect(address)).await;
        let stream = stream.map_err(drop)?.map_err(drop)?;
        stream.set_nodelay().map_err(drop)?;
        let progress = Rc::new(Progress::default());
        let observed = Observed::new(stream.clone(), progress.clone());
        let made = http1::Builder::new().max_buf_size(BUFFER).handshake(observed).await;
        let (sender, driver) = made.map_err(drop)?;
        // Its end shows at the sender.
        let driver = Driver(tokio::task::spawn_local(async move { drop(driver.await) }));
        Ok(Connection { sender, driver, progress, stream, address })
    }
}

fn take(waiting: &RefCell<Vec<Item>>, which: impl FnMut(&mut Item) -> bool) -> Vec<Item> {
    waiting.borrow_mut().extract_if(.., which).collect()
}

fn request(
    host: SocketAddr,
    items: &[Item],
    elapsed: Duration,
    progress: &Progress,
) -> Option<Request<Body<Bytes>>> {
    let patience = items.iter().map(|i| i.timeout).max()?.saturating_sub(elapsed).as_millis().max(1) as u64;
    let builder = Request::post(if items.len() > 1 { "/v1/messages:batch" } else { "/v1/messages" })
        .header(HOST, host.to_string())
        .header("X-Timeout-Ms", patience);
    let (builder, body) = match items {
        [one] => (builder.header("X-Request-ID", format!("{:016x}", one.id.0)), one.body.clone()),
        many => {
            let mut lines = Vec::new();
            for i in many {
                lines.extend(format!("{:016x} - {}\r\n", i.id.0, i.body.len()).into_bytes());
                lines.extend(&i.body);
                lines.extend(b"\r\n");
            }
            (builder, lines.into())
        }
    };
    progress.expect(body.len());
    builder.header(CONTENT_LENGTH, body.len()).body(Body::new(body)).ok()
}

/// The answer, once it has come whole, and whether its connection may carry another call. An error is one
/// that does not come, or cannot be read.
async fn read_answer(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    batch: bool,
    passed: &Progress,
) -> Result<(Answer, bool), ()> {
    let response = response.await.map_err(drop)?;
    if passed.came.borrow().early {
        // Nothing waited for it: it is left over from an earlier call, and what is said is not meant for
        // this.
        return Err(());
    }
    let keep = !closes(&response);
    let each = batch && response.status() == StatusCode::OK;
    let (end, wait) = (read_status(&response), read_wait(response.headers()));
    let length = response.body().size_hint().exact();
    let body = Limited::new(response.into_body(), ANSWER).collect().await.map_err(drop)?.to_bytes();
    let keep = keep && !length.is_some_and(|n| passed.has_more(n));
    let answer = if each { Answer::Each(read_batch(&body, wait, end.allowance)) } else { Answer::Alike(end) };
    Ok((answer, keep))
}

fn closes(response: &Response<Incoming>) -> bool {
    let said = response.headers().get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    said.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

fn read_status(response: &Response<Incoming>) -> End {
    let headers = response.headers();
    let no_slot = headers.get("X-No-Slot").is_some_and(|v| v == "1");
    let (outcome, over) = match response.status().as_u16() {
        200 => (Outcome::Served, true),
        503 if no_slot => (Outcome::Moot, false),
        429 | 503 => (Outcome::Full { wait: read_wait(headers) }, false),
        504 | 413 => (Outcome::Moot, false),
        410 => (Outcome::Moot, true),
        other => {
            if other != 500 {
                tracing::warn!("an endpoint answered {other}");
            }
            (Outcome::Failed, false)
        }
    };
    End { outcome, over, allowance: read_allowance(headers) }
}

/// Seconds, with decimals; a fraction of a microsecond counts in full. Waits of over a day are not believed.
fn read_wait(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| (seconds.min(86_400.0) * 1e6).ceil() as Micros)
}

/// `TEXT x0=0.4, x1=25`
fn read_allowance(headers: &HeaderMap) -> Option<Allowance> {
    let text = headers.get("X-Server-Load")?.to_str().ok()?;
    let field = |name: &str| {
        let pairs = text.split([' ', ',']).filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<f64>().ok())
    };
    Some(Allowance { left: field("x0")?, limit: field("x1")? })
}

fn read_batch(body: &[u8], wait: Option<Micros>, allowance: Option<Allowance>) -> BTreeMap<MessageId, End> {
    let mut ends = BTreeMap::new();
    for line in String::from_utf8_lossy(body).lines() {
        let mut words = line.split_ascii_whitespace();
        let (Some(id), Some(word)) = (words.next(), words.next()) else { continue };
        let Ok(id) = u64::from_str_radix(id, 16) else { continue };
        let outcome = match word {
            "done" => Outcome::Served,
            "failed" => Outcome::Failed,
            "busy" => Outcome::Full { wait },
            "void" | "used_up" => Outcome::Moot,
            _ => continue,
        };
        let over = matches!(word, "done" | "void");
        // Said twice, only the first word counts.
        ends.entry(MessageId(id)).or_insert(End { outcome, over, allowance });
    }
    ends
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::journal::{Open, tests::journal};
    use notchpoint_seam::real::Sockets;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;

    #[test]
    fn a_request_is_complete_with_its_last_byte_and_not_before() {
        let bytes = b"POST / HTTP/1.1\r\nA: b\r\r\n\r\nbo\r\n\r\ndy";
        for cut in 0..bytes.len() {
            let progress = Rc::new(Progress::default());
            progress.expect(8);
            for part in [&bytes[..cut], &bytes[cut..]] {
                assert!(!progress.complete());
                progress.wrote(part);
            }
            assert!(progress.complete(), "cut at {cut}");
            progress.expect(0);
            assert!(!progress.complete(), "a new request");
        }
    }

    #[test]
    fn a_batch_answer_is_read_as_far_as_it_makes_sense() {
        let body = b"000000000000000a done\r\n000000000000000a failed\r\nxyz done\r\n000000000000000b\r\n\
            000000000000000c busy\r\n000000000000000d void\r\n\xff\xfe\r\n000000000000000e used_up";
        let ends = read_batch(body, Some(5), None);
        let mut found: Vec<_> = ends.iter().map(|(id, e)| (id.0, e.outcome, e.over)).collect();
        found.sort_by_key(|f| f.0);
        let full = Outcome::Full { wait: Some(5) };
        let (served, moot) = (Outcome::Served, Outcome::Moot);
        assert_eq!(found, [(10, served, true), (12, full, false), (13, moot, true), (14, moot, false)]);
    }

    /// Calls to one endpoint, whose part a test plays itself, and what stands round them.
    struct Place {
        calls: Rc<Calls>,
        journal: Rc<RefCell<Journal>>,
        received: UnboundedReceiver<Input>,
        listener: TcpListener,
        _folder: tempfile::TempDir,
    }

    const ENDPOINT: EndpointId = EndpointId(2);

    impl Place {
        async fn new(bundle: usize) -> Self {
            let folder = tempfile::tempdir().expect("a folder");
            let mut config = crate::config::read(crate::config::tests::TEXT).expect("sound");
            config.settings.second_copies = true;
            let journal = Rc::new(RefCell::new(journal(folder.path())));
            let (inputs, received) = unbounded_channel();
            let safety = Safety::new(journal.clone());
            let calls = Calls::new(&config, Rc::new(Sockets::default()), journal.clone(), safety, inputs);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let target = Target { address, dest: DestinationId(3), live: true, apart: false, bundle };
            calls.list(ENDPOINT, Some(target));
            Self { calls, journal, received, listener, _folder: folder }
        }

        /// A message that is taken on, to be waited for so long.
        fn take(&self, id: u64, deadline: u64, timeout: Duration, body: Bytes) -> Item {
            let open = Open::new("payment", "acme", 3, deadline, Bytes::new());
            self.journal.borrow_mut().take(MessageId(id), open).expect("room");
            Item { id: MessageId(id), attempt: 0, timeout, body }
        }

        /// The end of the next attempt.
        async fn ended(&mut self) -> (u64, Outcome) {
            loop {
                let input = self.received.recv().await.expect("each attempt ends");
                if let Input::Event(Event::Ended { id, outcome, .. }) = input {
                    return (id.0, outcome);
                }
            }
        }
    }

    /// Plays on sockets.
    fn on_sockets<T>(play: impl Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, play)
    }

    /// One call with a body so long that no socket takes it whole, to an endpoint that reads one byte.
    /// Gives the outcome, and whether the journal holds that the attempt never ran.
    async fn long_call(cut: bool, patience: Duration, cancel: bool) -> (Outcome, bool) {
        let mut place = Place::new(1).await;
        let item = place.take(1, u64::MAX, patience, Bytes::from(vec![0; 64 << 20]));
        place.calls.start(ENDPOINT, vec![item]);
        let (mut stream, _) = place.listener.accept().await.expect("a call");
        stream.read_u8().await.expect("its first byte");
        let never_ran = |p: &Place| p.journal.borrow().get(MessageId(1)).expect("open").attempts[0].never_ran;
        assert!(!never_ran(&place), "it is under way");
        if cancel {
            place.calls.cancel(MessageId(1), 0);
        }
        let kept = (!cut).then_some(stream);
        let (_, outcome) = place.ended().await;
        drop(kept);
        (outcome, never_ran(&place))
    }

    /// Reads one request without a body, and writes `answer`.
    async fn answer_one(stream: &mut tokio::net::TcpStream, answer: &[u8]) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a request"));
        }
        tokio::io::AsyncWriteExt::write_all(stream, answer).await.expect("written");
    }

    const LONG: Duration = Duration::from_secs(600);

    #[test]
    fn what_comes_between_choice_and_use_is_no_answer_to_the_new_call() {
        // A second copy of an earlier answer that comes once the connection was chosen: taken for the new
        // call's, a message would count as delivered that no partner has seen.
        on_sockets(async {
            let mut place = Place::new(1).await;
            let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            place.calls.start(ENDPOINT, vec![place.take(1, u64::MAX, LONG, Bytes::new())]);
            let (mut first, _) = place.listener.accept().await.expect("a call");
            answer_one(&mut first, ok).await;
            while place.calls.idle().is_empty() {
                place.received.recv().await.expect("its end, and an idle connection");
            }
            let stream = place.calls.pool.borrow()[&ENDPOINT][0].connection.stream.clone();
            place.calls.start(ENDPOINT, vec![place.take(2, u64::MAX, LONG, Bytes::new())]);
            assert!(place.calls.idle().is_empty(), "it is chosen");
            // Nothing of the call has had its turn: this test waits without giving the thread away.
            first.try_write(ok).expect("written");
            while stream.is_quiet() {
                std::thread::yield_now();
            }
            drop(stream);
            let accepted = tokio::select! {
                accepted = place.listener.accept() => accepted,
                () = async { while place.calls.out() > 0 { place.received.recv().await; } } => {
                    panic!("the call ended without a connection of its own")
                }
            };
            let (mut second, _) = accepted.expect("a connection of its own");
            answer_one(&mut second, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
            let end = loop {
                let end = place.ended().await;
                if end.0 == 2 {
                    break end.1;
                }
            };
            assert_eq!(end, Outcome::Full { wait: None });
            assert!(place.journal.borrow().get(MessageId(2)).is_some(), "it is still owed");
        });
    }

    #[test]
    fn a_call_is_given_up_whole_once_one_of_its_messages_is_over() {
        // The answer to such a call counts for none of its messages: those still waited for were lost.
        on_sockets(async {
            let mut place = Place::new(3).await;
            let now = place.journal.borrow().unix_now();
            // The first has a shorter try than time: its end alone ends nothing. The second's time is up.
            let items = [(1, 50, 600_000), (2, 100, 100), (3, 300, 600_000)].map(|(id, wait_ms, left_ms)| {
                place.take(id, now + left_ms * 1_000, Duration::from_millis(wait_ms), Bytes::new())
            });
            place.calls.start(ENDPOINT, items.to_vec());
            let (mut stream, _) = place.listener.accept().await.expect("a call");
            for (id, out) in [(1, 2), (2, 0), (3, 0)] {
                assert_eq!(place.ended().await, (id, Outcome::TimedOut));
                assert_eq!(place.calls.attempts_out(), out, "with the second all are over: {id}");
            }
            // And its connection is closed: that is how a call is given up.
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.expect("its end");
        });
    }

    #[test]
    fn a_call_that_ends_before_its_last_byte_never_ran() {
        // Guards unsafe messages: taken for a reset or a time-out, they would be lost.
        let play = |cut, patience, cancel| on_sockets(long_call(cut, patience, cancel));
        assert_eq!(play(true, LONG, false), (Outcome::ConnectFailed, true));
        assert_eq!(play(false, LONG, true), (Outcome::Moot, true));
        assert_eq!(play(false, Duration::from_millis(200), false), (Outcome::ConnectFailed, true));
    }
}
