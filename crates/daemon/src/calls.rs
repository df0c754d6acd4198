//! Connections and calls to endpoints: what a call came to, and whether it can have run.

mod answer;
mod exchange;
mod passing;
mod pool;
mod progress;

use crate::copies::copying::Copying;
use crate::input::Input;
use crate::platform::zoning::Zoning;
use crate::settings::config::Config;
use crate::state::journal::Journal;
use crate::state::safety::Safety;
use crate::upgrade::handover::Frame;
use answer::Answer;
pub use answer::End;
use bytes::Bytes;
use notchpoint_policy::*;
use notchpoint_seam::Network;
use pool::{Connection, Idle};
use progress::Progress;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// An idle connection is dropped after this share of the time after which its endpoint may close it: the
/// rest covers the way there, so that no request meets a closing connection.
const IDLE_SHARE: f64 = 0.8;
/// A destination whose last endpoint left the list is known for so long: a replacement may be under way.
const LATELY: Duration = Duration::from_secs(60);
const SWEEP: Duration = Duration::from_millis(500);
/// A message whose time is up so soon (in microseconds) will have ended before anything else can be done
/// with it.
const TURN: u64 = 20_000;

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
    /// Where copies are kept, their keepers have a word in each attempt.
    copies: Option<Rc<Copying>>,
    /// Where operators want it, what calls come to is watched by zone.
    zoning: RefCell<Option<Rc<Zoning>>>,
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
        copies: Option<Rc<Copying>>,
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
            copies,
            zoning: RefCell::default(),
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

    /// From now on what attempts come to is told there as well.
    pub fn watched_by(&self, zoning: Rc<Zoning>) {
        *self.zoning.borrow_mut() = Some(zoning);
    }

    /// Where what happens is told.
    pub fn inputs(&self) -> UnboundedSender<Input> {
        self.inputs.clone()
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

    /// Attempts that are out.
    pub fn attempts_out(&self) -> usize {
        self.cancels.borrow().len() + self.adopted.borrow().len()
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

    /// Stops waiting for all attempts of a message.
    pub fn cancel_all(&self, id: MessageId) {
        let all = (id, 0)..=(id, u32::MAX);
        let own: Vec<u32> = self.cancels.borrow().range(all.clone()).map(|(a, _)| a.1).collect();
        let adopted: Vec<u32> = self.adopted.borrow().range(all).map(|(a, _)| a.1).collect();
        own.into_iter().chain(adopted).for_each(|attempt| self.cancel(id, attempt));
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
        let sent =
            journal.get(id).and_then(|m| m.attempts.iter().find(|a| a.number == attempt)).map(|a| a.at);
        let age = sent.map_or(0, |at| journal.unix_now().saturating_sub(at));
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
        if let Some(zoning) = &*self.zoning.borrow() {
            zoning.came(endpoint, outcome, age);
        }
        let (over, allowance) = (end.over, end.allowance);
        let _ = self.inputs.send(Input::Event(Event::Ended { id, attempt, outcome, over, allowance }));
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
}

fn take(waiting: &RefCell<Vec<Item>>, which: impl FnMut(&mut Item) -> bool) -> Vec<Item> {
    waiting.borrow_mut().extract_if(.., which).collect()
}

#[cfg(test)]
mod tests {
    use super::answer::read_batch;
    use super::*;
    use crate::io::Observer;
    use crate::state::journal::{Open, tests::journal};
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
            let mut config =
                crate::settings::config::read(crate::settings::config::tests::TEXT).expect("sound");
            config.settings.second_copies = true;
            let journal = Rc::new(RefCell::new(journal(folder.path())));
            let (inputs, received) = unbounded_channel();
            let safety = Safety::new(journal.clone());
            let calls =
                Calls::new(&config, Rc::new(Sockets::default()), journal.clone(), safety, None, inputs);
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
