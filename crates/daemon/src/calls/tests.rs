//! Calls over real connections to endpoints whose part a test plays itself.

use super::answer::read_batch;
use super::progress::Progress;
use super::*;
use crate::io::Observer;
use crate::state::journal::{OpenMessage, tests::journal};
use notchpoint_seam::net::ConnectFuture;
use notchpoint_seam::system::SystemSockets;
use notchpoint_seam::{DatagramSocket, Listener};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

#[test]
fn a_request_is_complete_with_its_last_byte_and_not_before() {
    let bytes = b"POST / HTTP/1.1\r\nA: b\r\r\n\r\nbo\r\n\r\ndy";
    for cut in 0..bytes.len() {
        let progress = Rc::new(Progress::default());
        progress.expect(8);
        for part in [&bytes[..cut], &bytes[cut..]] {
            assert!(!progress.complete());
            progress.on_write(part);
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
        Self::on(Rc::new(SystemSockets::default()), bundle).await
    }

    async fn on(net: Rc<dyn Network>, bundle: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut config = crate::settings::config::read(crate::settings::config::tests::TEXT).expect("sound");
        config.settings.parallel_attempts = true;
        let journal = Rc::new(RefCell::new(journal(folder.path())));
        let (inputs, received) = unbounded_channel();
        let durability = DurabilityTracker::new(journal.clone());
        let calls = Calls::new(&config, net, journal.clone(), durability, None, inputs);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let target = Target { address, dest: DestinationId(3), live: true, apart: false, bundle };
        calls.update_endpoint(ENDPOINT, Some(target));
        Self { calls, journal, received, listener, _folder: folder }
    }

    /// A message that is taken on, to be waited for so long. Its call may begin whenever the machine comes to
    /// it: a test that is about the latest start sets its own.
    fn take(&self, id: u64, deadline: u64, timeout: Duration, body: Bytes) -> Item {
        let open = OpenMessage::new("payment", "acme", 3, deadline, Bytes::new());
        self.journal.borrow_mut().accept(MessageId(id), open).expect("room");
        let (id, idempotency_key) = (MessageId(id), String::new());
        Item { id, attempt: 0, timeout, within: LONG, proven_only: false, idempotency_key, body }
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
    // Only so that a test that waits in vain ends.
    let limited = async { tokio::time::timeout(Duration::from_secs(60), play).await.expect("it ends") };
    tokio::task::LocalSet::new().block_on(&runtime, limited)
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
    } else if !cut {
        // Only now does the time run out, however long the call took to begin.
        tokio::time::pause();
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
        while stream.has_no_unread_data() {
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

/// Reads one request, and gives its head and body.
async fn request(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.expect("a length").parse().expect("a number")];
    stream.read_exact(&mut body).await.expect("its body");
    (head, body)
}

/// An answer to a batch that says `done` of all of these.
fn all_done(ids: &[u64]) -> String {
    let lines: String = ids.iter().map(|id| format!("{id:016x} done\r\n")).collect();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{lines}", lines.len())
}

#[test]
fn the_message_with_most_time_leads_its_call_and_others_that_end_do_not_end_it() {
    // Guards against a call that is over with the first of its messages: a call was dropped with the message
    // that stood first in it, and the others, taken for delivered, were lost.
    on_sockets(async {
        let mut place = Place::new(3).await;
        let now = place.journal.borrow().unix_now();
        // The first has a shorter try than time. The second's time is up while the call goes on.
        let items = [(1, 5, 500), (2, 40, 10), (3, 300, 600)].map(|(id, wait_s, left_s)| {
            place.take(id, now + left_s * 1_000_000, Duration::from_secs(wait_s), Bytes::new())
        });
        place.calls.start(ENDPOINT, items.to_vec());
        let (mut stream, _) = place.listener.accept().await.expect("a call");
        let (_, body) = request(&mut stream).await;
        assert!(body.starts_with(b"0000000000000003 - 0"), "the third has most time");
        tokio::time::pause();
        for id in [1, 2] {
            assert_eq!(place.ended().await, (id, Outcome::TimedOut));
        }
        tokio::time::resume();
        stream.write_all(all_done(&[3, 1, 2]).as_bytes()).await.expect("written");
        assert_eq!(place.ended().await, (3, Outcome::Served));
    });
}

#[test]
fn a_call_is_given_up_whole_once_the_time_of_its_first_message_is_up() {
    // The answer to such a call counts for none of its messages: those still waited for were lost. The first
    // one's own attempt has long been given up by then, and it may have been delivered elsewhere.
    for delivered in [false, true] {
        on_sockets(async {
            let mut place = Place::new(3).await;
            let now = place.journal.borrow().unix_now();
            let items = [(1, 10, 40), (2, 600, 30)].map(|(id, wait_s, left_s)| {
                place.take(id, now + left_s * 1_000_000, Duration::from_secs(wait_s), Bytes::new())
            });
            place.calls.start(ENDPOINT, items.to_vec());
            let (mut stream, _) = place.listener.accept().await.expect("a call");
            request(&mut stream).await;
            tokio::time::pause();
            assert_eq!(place.ended().await, (1, Outcome::TimedOut));
            if delivered {
                place.journal.borrow_mut().record_end(MessageId(1));
            }
            assert_eq!(place.calls.attempts_out(), 1, "the second is waited for");
            assert_eq!(place.ended().await, (2, Outcome::TimedOut));
            tokio::time::resume();
            // And its connection is closed: that is how a call is given up.
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.expect("its end");
        });
    }
}

/// Plays one call of these messages, each with so many milliseconds left, whose answer and the end of whose
/// time are there at the same look: nothing of the program has its turn in between.
async fn crossed(left_ms: &[u64], answer: &str) -> Vec<(u64, Outcome)> {
    let mut place = Place::new(3).await;
    let now = place.journal.borrow().unix_now();
    let take = |(n, ms): (usize, &u64)| place.take(n as u64 + 1, now + ms * 1_000, LONG, Bytes::new());
    let items: Vec<Item> = left_ms.iter().enumerate().map(take).collect();
    let count = items.len();
    place.calls.start(ENDPOINT, items);
    let (mut stream, _) = place.listener.accept().await.expect("a call");
    request(&mut stream).await;
    stream.try_write(answer.as_bytes()).expect("written");
    let last = now + left_ms.iter().max().expect("some") * 1_000;
    while place.journal.borrow().unix_now() < last {
        std::thread::yield_now();
    }
    let mut ends = Vec::new();
    for _ in 0..count {
        ends.push(place.ended().await);
    }
    ends
}

#[test]
fn an_answer_that_crosses_the_end_of_a_messages_time_is_no_delivery() {
    // Guards against a message that is taken for delivered by an answer that was written once its time was
    // up: nobody else counted it, and it was lost. A notice too many does no harm.
    on_sockets(async {
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(crossed(&[1_000], ok).await, [(1, Outcome::TimedOut)]);
        // Also where only the first line has come.
        assert_eq!(crossed(&[1_000], "HTTP/1.1 200 OK\r\nContent-Le").await, [(1, Outcome::TimedOut)]);
        let both = crossed(&[1_000, 900], &all_done(&[1, 2])).await;
        assert_eq!(both, [(1, Outcome::TimedOut), (2, Outcome::TimedOut)]);
    });
}

#[test]
fn only_a_whole_first_line_settles_a_message() {
    // Half a line at the close was taken for a delivery: what was meant is not known, and it may have run.
    on_sockets(async {
        for (answer, outcome) in [
            ("HTTP/1.1 20", Outcome::Spoilt),
            ("HTTP/1.1 200 ", Outcome::Spoilt),
            ("HTTP/1.1 200 OK\r", Outcome::Spoilt),
            ("HTTP/1.1 200 OK\r\n", Outcome::Served),
            ("HTTP/1.1 200\r\n", Outcome::Served),
            ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo", Outcome::Served),
        ] {
            let mut place = Place::new(1).await;
            place.calls.start(ENDPOINT, vec![place.take(1, u64::MAX, LONG, Bytes::new())]);
            let (mut stream, _) = place.listener.accept().await.expect("a call");
            request(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.expect("written");
            if outcome == Outcome::Served {
                // The line alone settles it, whatever becomes of the rest: here the connection is reset.
                while place.journal.borrow().get(MessageId(1)).is_some() {
                    tokio::task::yield_now().await;
                }
                stream.set_zero_linger().expect("set");
            }
            drop(stream);
            assert_eq!(place.ended().await.1, outcome, "{answer:?}");
        }
    });
}

#[test]
fn a_call_that_ends_before_its_last_byte_never_ran() {
    // Guards unsafe messages: taken for a reset or a time-out, they would be lost.
    let play = |cut, patience, cancel| on_sockets(long_call(cut, patience, cancel));
    assert_eq!(play(true, LONG, false), (Outcome::ConnectFailed, true));
    assert_eq!(play(false, LONG, true), (Outcome::Moot, true));
    assert_eq!(play(false, Duration::from_secs(20), false), (Outcome::ConnectFailed, true));
}

/// The system's sockets, but each connection to an endpoint comes up only when the test says so.
#[derive(Default)]
struct Held {
    sockets: SystemSockets,
    dials: Rc<Cell<usize>>,
    up: Rc<Notify>,
}

impl Network for Held {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let (made, up) = (self.sockets.connect(to), self.up.clone());
        self.dials.set(self.dials.get() + 1);
        Box::pin(async move {
            let stream = made.await;
            up.notified().await;
            stream
        })
    }

    fn listen(&self, at: SocketAddr) -> std::io::Result<Rc<dyn Listener>> {
        self.sockets.listen(at)
    }

    fn listen_local(&self, name: &str) -> std::io::Result<Rc<dyn Listener>> {
        self.sockets.listen_local(name)
    }

    fn connect_local(&self, name: &str) -> ConnectFuture {
        self.sockets.connect_local(name)
    }

    fn bind_datagram(&self, at: SocketAddr) -> std::io::Result<Rc<dyn DatagramSocket>> {
        self.sockets.bind_datagram(at)
    }
}

/// One call of two messages whose connection comes up late: the first may begin for `within`, the second
/// without end. Gives the ends of both, and what the endpoint read of the request, if one came.
async fn late_connection(within: Duration, ends: bool) -> (Vec<(u64, Outcome)>, Option<Vec<u8>>) {
    let net = Rc::new(Held::default());
    let mut place = Place::on(net.clone(), 2).await;
    let items = [(1, within), (2, LONG)]
        .map(|(id, within)| Item { within, ..place.take(id, u64::MAX, LONG, Bytes::new()) });
    if ends {
        place.calls.start_until(Instant::now() + Duration::from_millis(20));
    }
    place.calls.start(ENDPOINT, items.to_vec());
    let (mut stream, _) = place.listener.accept().await.expect("a connection");
    assert_eq!(net.dials.get(), 1);
    tokio::time::sleep(Duration::from_millis(50)).await;
    net.up.notify_one();
    let mut got = Vec::new();
    let mut body = None;
    tokio::select! {
        (_, sent) = request(&mut stream) => {
            stream.write_all(all_done(&[1, 2]).as_bytes()).await.expect("written");
            body = Some(sent);
            got.push(place.ended().await);
            got.push(place.ended().await);
        }
        first = place.ended() => {
            got.push(first);
            let second = place.ended();
            tokio::select! {
                end = second => got.push(end),
                (_, sent) = request(&mut stream) => {
                    stream.write_all(OK).await.expect("written");
                    body = Some(sent);
                }
            }
            if got.len() == 1 {
                got.push(place.ended().await);
            }
        }
    }
    let moot = |id: u64| got.contains(&(id, Outcome::Moot));
    let journal = place.journal.borrow();
    let never = |id| journal.get(MessageId(id)).is_some_and(|m| m.attempts.iter().all(|a| a.never_ran));
    assert!([1, 2].into_iter().all(|id| moot(id) == never(id)), "what is moot has never run");
    drop(journal);
    (got, body)
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[test]
fn an_attempt_that_comes_too_late_for_its_first_byte_is_not_begun() {
    // Between the decision and the first byte lies dialling: a repeat that arrives once its key is forgotten
    // takes effect twice.
    on_sockets(async {
        let (ends, body) = late_connection(Duration::from_millis(20), false).await;
        assert_eq!(ends, [(1, Outcome::Moot), (2, Outcome::Served)]);
        assert_eq!(body.expect("a call"), b"", "of the second alone");
        let (ends, body) = late_connection(LONG, false).await;
        assert_eq!(ends, [(1, Outcome::Served), (2, Outcome::Served)]);
        assert!(!body.expect("a call").is_empty());
        // A process that ends leaves what has not begun to the next one: all of it.
        let (ends, body) = late_connection(LONG, true).await;
        assert_eq!(ends, [(1, Outcome::Moot), (2, Outcome::Moot)]);
        assert!(body.is_none(), "nothing was written");
    });
}
