//! A network in memory. It behaves as the system's does where the sender can tell: what was handed over may
//! arrive although its peer has gone, a full buffer takes nothing more, a machine that is cut off says
//! nothing.
//!
//! Nothing in it is random but what the seed says, and nothing has an order but that of events: it is used
//! from one thread, on a runtime whose time is paused. Without latency a byte is there in the instant it is
//! sent.

use notchpoint_seam::net::ConnectFuture;
use notchpoint_seam::{DatagramSocket, Listener, Network, Stream};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::{Future, pending};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Bytes on their way in one direction before a writer has to wait; a usual system's buffers hold about as
/// much.
const BUFFER: usize = 256 << 10;
/// Connections that wait to be accepted; further ones are refused.
const BACKLOG: usize = 1_024;
/// Datagrams that wait to be read; further ones are lost.
const MAILBOX: usize = 1_000;

/// What passes between the machines of a world.
pub struct Net {
    listeners: RefCell<BTreeMap<SocketAddr, Rc<Queue>>>,
    mailboxes: RefCell<BTreeMap<SocketAddr, Rc<Mailbox>>>,
    /// Datagrams to this address reach all mailboxes but the sender's own.
    everybody: Cell<Option<SocketAddr>>,
    cut: RefCell<BTreeSet<IpAddr>>,
    /// Ways between two machines, from one to the other, on which nothing passes.
    parted: RefCell<BTreeSet<(IpAddr, IpAddr)>>,
    /// And those on which it passes later than usual.
    slow: RefCell<BTreeMap<(IpAddr, IpAddr), Duration>>,
    /// Connections that may be open, for what happens to machines.
    pairs: RefCell<Vec<Weak<Pair>>>,
    latency: Duration,
    notes: RefCell<Notes>,
}

/// What becomes of datagrams.
struct Notes {
    lost: f64,
    late: Duration,
    random: Pcg64Mcg,
}

impl Net {
    /// A network with this latency one way (whole milliseconds, the grain of the runtime's timers).
    pub fn new(latency: Duration, seed: u64) -> Rc<Self> {
        let notes = Notes { lost: 0.0, late: Duration::ZERO, random: Pcg64Mcg::seed_from_u64(seed) };
        Rc::new(Self {
            listeners: RefCell::default(),
            mailboxes: RefCell::default(),
            everybody: Cell::new(None),
            cut: RefCell::default(),
            parted: RefCell::default(),
            slow: RefCell::default(),
            pairs: RefCell::default(),
            latency,
            notes: RefCell::new(notes),
        })
    }

    /// A process on a machine.
    pub fn host(self: &Rc<Self>, ip: IpAddr) -> Rc<Host> {
        Rc::new(Host { net: self.clone(), ip, dead: Rc::default() })
    }

    /// Datagrams to this address reach everybody else.
    pub fn set_everybody(&self, at: SocketAddr) {
        self.everybody.set(Some(at));
    }

    /// This share of datagrams is lost, and the rest is up to so late.
    pub fn set_notes(&self, lost: f64, late: Duration) {
        let mut notes = self.notes.borrow_mut();
        (notes.lost, notes.late) = (lost, late);
    }

    /// Cuts a machine off, without a word to anybody; or lets it back, which resets what was open.
    pub fn set_cut(&self, ip: IpAddr, cut: bool) {
        if cut {
            self.cut.borrow_mut().insert(ip);
        } else if self.cut.borrow_mut().remove(&ip) {
            for pair in self.open(|p| p.ends.contains(&ip)) {
                pair.reset();
            }
        }
    }

    /// Cuts the way from one machine to another, or opens it again, which resets what was open.
    pub fn set_parted(&self, from: IpAddr, to: IpAddr, parted: bool) {
        if parted {
            self.parted.borrow_mut().insert((from, to));
        } else if self.parted.borrow_mut().remove(&(from, to)) {
            for pair in self.open(|p| p.ends == [from, to] || p.ends == [to, from]) {
                pair.reset();
            }
        }
    }

    /// What passes from one machine to another takes so much longer.
    pub fn set_slow(&self, from: IpAddr, to: IpAddr, by: Duration) {
        if by.is_zero() {
            self.slow.borrow_mut().remove(&(from, to));
        } else {
            self.slow.borrow_mut().insert((from, to), by);
        }
    }

    fn latency(&self, from: IpAddr, to: IpAddr) -> Duration {
        self.latency + self.slow.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Whether nothing passes from `a` to `b`.
    fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        let cut = self.cut.borrow();
        !cut.is_empty() && (cut.contains(&a) || cut.contains(&b)) || self.parted.borrow().contains(&(a, b))
    }

    fn open(&self, of: impl Fn(&Pair) -> bool) -> Vec<Rc<Pair>> {
        let mut pairs = self.pairs.borrow_mut();
        pairs.retain(|p| p.strong_count() > 0);
        pairs.iter().filter_map(Weak::upgrade).filter(|p| of(p)).collect()
    }

    fn add(&self, pair: &Rc<Pair>) {
        let mut pairs = self.pairs.borrow_mut();
        // What has ended goes whenever the list has doubled.
        if pairs.len() == pairs.capacity() {
            pairs.retain(|p| p.strong_count() > 0);
        }
        pairs.push(Rc::downgrade(pair));
    }
}

/// A process on a machine: what it holds ends with it.
pub struct Host {
    net: Rc<Net>,
    ip: IpAddr,
    dead: Rc<Cell<bool>>,
}

impl Host {
    /// Whether it was killed; shared with what it holds.
    pub fn dead(&self) -> Rc<Cell<bool>> {
        self.dead.clone()
    }

    /// The process is gone in this moment: its connections are reset, and nothing that its remains still do
    /// has any effect.
    pub fn kill(&self) {
        self.dead.set(true);
        let mine = |owner: &Rc<Cell<bool>>| Rc::ptr_eq(owner, &self.dead);
        for pair in self.net.open(|p| p.owners.borrow().iter().any(mine)) {
            pair.reset();
        }
        self.net.listeners.borrow_mut().retain(|_, q| !mine(&q.owner));
        self.net.mailboxes.borrow_mut().retain(|_, m| !mine(&m.owner));
    }
}

/// A connection: its two directions, and what is true of both.
struct Pair {
    ends: [IpAddr; 2],
    owners: RefCell<Vec<Rc<Cell<bool>>>>,
    ways: [Way; 2],
}

/// One direction. `ways[0]` is read by the end that accepted, `ways[1]` by the one that connected.
#[derive(Default)]
struct Way {
    queue: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    /// Bytes of the first piece that were read.
    offset: Cell<usize>,
    size: Cell<usize>,
    fin: Cell<Option<Instant>>,
    reset: Cell<bool>,
    /// Nobody reads it any more.
    unread: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
}

impl Way {
    fn wake_reader(&self) {
        if let Some(w) = self.reader.take() {
            w.wake();
        }
    }

    fn wake_writer(&self) {
        if let Some(w) = self.writer.take() {
            w.wake();
        }
    }

    fn end(&self, at: Instant) {
        if self.fin.get().is_none() {
            self.fin.set(Some(at));
            self.wake_reader();
        }
    }
}

impl Pair {
    fn reset(&self) {
        for way in &self.ways {
            way.reset.set(true);
            way.wake_reader();
            way.wake_writer();
        }
    }
}

/// One end of a connection.
struct End {
    pair: Rc<Pair>,
    side: usize,
    net: Rc<Net>,
    owner: Rc<Cell<bool>>,
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl End {
    fn reads(&self) -> &Way {
        &self.pair.ways[self.side]
    }

    fn writes(&self) -> &Way {
        &self.pair.ways[1 - self.side]
    }

    /// Whether nothing comes here from the other end.
    fn is_cut(&self) -> bool {
        self.net.is_cut(self.pair.ends[1 - self.side], self.pair.ends[self.side])
    }

    /// How long what is written here takes to the other end.
    fn latency(&self) -> Duration {
        self.net.latency(self.pair.ends[self.side], self.pair.ends[1 - self.side])
    }

    /// When there is, or will be, something to read.
    fn next(&self) -> Option<Instant> {
        let way = self.reads();
        way.queue.borrow().front().map(|p| p.0).or(way.fin.get())
    }

    /// Waits with the timer; ready once its moment has come.
    fn poll_timer(&self, at: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let mut timer = self.timer.borrow_mut();
        let sleep = timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        sleep.as_mut().poll(cx)
    }
}

impl Stream for End {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let way = self.reads();
        if way.reset.get() || way.unread.get() {
            return Poll::Ready(Ok(()));
        }
        *way.reader.borrow_mut() = Some(cx.waker().clone());
        match self.next() {
            Some(at) if !self.is_cut() => {
                if at <= Instant::now() {
                    return Poll::Ready(Ok(()));
                }
                self.poll_timer(at, cx).map(Ok)
            }
            _ => Poll::Pending,
        }
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let way = self.reads();
        if way.reset.get() {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if way.unread.get() {
            return Ok(0);
        }
        if self.is_cut() || self.next().is_none_or(|at| at > Instant::now()) {
            return Err(ErrorKind::WouldBlock.into());
        }
        let mut queue = way.queue.borrow_mut();
        let Some((_, piece)) = queue.front() else { return Ok(0) };
        let left = &piece[way.offset.get()..];
        let n = left.len().min(buf.len());
        buf[..n].copy_from_slice(&left[..n]);
        if n == left.len() {
            queue.pop_front();
            way.offset.set(0);
        } else {
            way.offset.set(way.offset.get() + n);
        }
        way.size.set(way.size.get() - n);
        way.wake_writer();
        Ok(n)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let way = self.writes();
        if way.reset.get() || way.unread.get() || way.size.get() < BUFFER {
            return Poll::Ready(Ok(()));
        }
        *way.writer.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        let way = self.writes();
        if self.owner.get() || way.reset.get() || way.fin.get().is_some() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if way.unread.get() {
            // The system takes it, and the peer answers with a reset.
            self.pair.reset();
            return Ok(buf.len());
        }
        let n = buf.len().min(BUFFER.saturating_sub(way.size.get()));
        if n == 0 && !buf.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        // What was sent before is not overtaken.
        let last = way.queue.borrow().back().map(|p| p.0);
        let at = last.into_iter().fold(Instant::now() + self.latency(), Instant::max);
        way.queue.borrow_mut().push_back((at, buf[..n].to_vec()));
        way.size.set(way.size.get() + n);
        way.wake_reader();
        Ok(n)
    }

    fn has_no_unread_data(&self) -> bool {
        let way = self.reads();
        let ended = way.reset.get() || way.unread.get();
        !ended && (self.is_cut() || self.next().is_none_or(|at| at > Instant::now()))
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        if how != Shutdown::Read {
            self.writes().end(Instant::now() + self.net.latency);
        }
        if how != Shutdown::Write {
            self.reads().unread.set(true);
            self.reads().wake_reader();
        }
        Ok(())
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for End {
    fn drop(&mut self) {
        if self.owner.get() {
            return;
        }
        let reads = self.reads();
        let ignored = !reads.queue.borrow().is_empty();
        reads.unread.set(true);
        reads.wake_writer();
        if ignored && !self.is_cut() {
            self.pair.reset();
        } else {
            self.writes().end(Instant::now() + self.net.latency);
        }
    }
}

struct Queue {
    at: SocketAddr,
    owner: Rc<Cell<bool>>,
    waiting: RefCell<VecDeque<Rc<End>>>,
    waker: RefCell<Option<Waker>>,
}

struct Listening {
    queue: Rc<Queue>,
    net: Rc<Net>,
}

impl Listener for Listening {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        if let Some(end) = self.queue.waiting.borrow_mut().pop_front() {
            return Poll::Ready(Ok(end));
        }
        *self.queue.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.queue.at)
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        if self.queue.owner.get() {
            return;
        }
        let mut listeners = self.net.listeners.borrow_mut();
        if listeners.get(&self.queue.at).is_some_and(|q| Rc::ptr_eq(q, &self.queue)) {
            listeners.remove(&self.queue.at);
        }
        let waiting = self.queue.waiting.take();
        drop(listeners);
        waiting.iter().for_each(|end| end.pair.reset());
    }
}

/// A port for a private place: below those that anybody else listens at.
fn within(name: &str) -> u16 {
    1 + name.bytes().fold(0u16, |h, b| h.wrapping_mul(31).wrapping_add(b.into())) % 1_000
}

impl Network for Host {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let (net, ip, owner) = (self.net.clone(), self.ip, self.dead.clone());
        Box::pin(async move {
            if !net.latency.is_zero() {
                tokio::time::sleep(2 * net.latency).await;
            }
            if net.is_cut(ip, to.ip()) || net.is_cut(to.ip(), ip) {
                // The way there is silent; whoever asks has a limit of his own.
                pending::<()>().await;
            }
            let queue = net.listeners.borrow().get(&to).cloned();
            let Some(queue) = queue.filter(|q| q.waiting.borrow().len() < BACKLOG) else {
                return Err(ErrorKind::ConnectionRefused.into());
            };
            let pair = Rc::new(Pair {
                ends: [to.ip(), ip],
                owners: RefCell::new(vec![queue.owner.clone(), owner.clone()]),
                ways: Default::default(),
            });
            net.add(&pair);
            let end = |side, owner| {
                Rc::new(End { pair: pair.clone(), side, net: net.clone(), owner, timer: RefCell::default() })
            };
            queue.waiting.borrow_mut().push_back(end(0, queue.owner.clone()));
            if let Some(w) = queue.waker.take() {
                w.wake();
            }
            Ok(end(1, owner) as Rc<dyn Stream>)
        })
    }

    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>> {
        let at = SocketAddr::new(self.ip, within(name));
        self.net.listeners.borrow_mut().remove(&at);
        self.listen(at)
    }

    fn connect_local(&self, name: &str) -> ConnectFuture {
        self.connect(SocketAddr::new(self.ip, within(name)))
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        let mut listeners = self.net.listeners.borrow_mut();
        if listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let (waiting, waker) = Default::default();
        let queue = Rc::new(Queue { at, owner: self.dead.clone(), waiting, waker });
        listeners.insert(at, queue.clone());
        Ok(Rc::new(Listening { queue, net: self.net.clone() }))
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>> {
        let mut mailboxes = self.net.mailboxes.borrow_mut();
        if mailboxes.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let owner = self.dead.clone();
        let (letters, waker, timer) = Default::default();
        let mailbox = Rc::new(Mailbox { at, owner, letters, waker, timer });
        mailboxes.insert(at, mailbox.clone());
        Ok(Rc::new(Posting { mailbox, net: self.net.clone() }))
    }
}

struct Mailbox {
    at: SocketAddr,
    owner: Rc<Cell<bool>>,
    /// In the order in which they arrive.
    letters: RefCell<VecDeque<(Instant, SocketAddr, Vec<u8>)>>,
    waker: RefCell<Option<Waker>>,
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
}

struct Posting {
    mailbox: Rc<Mailbox>,
    net: Rc<Net>,
}

impl Posting {
    fn send(&self, to: &Mailbox, bytes: &[u8]) {
        let at = {
            let mut notes = self.net.notes.borrow_mut();
            let (lost, late) = (notes.lost, notes.late.as_micros() as u64);
            if lost > 0.0 && notes.random.random_bool(lost) {
                return;
            }
            let late = if late > 0 { notes.random.random_range(0..=late) } else { 0 };
            Instant::now() + self.net.latency + Duration::from_micros(late)
        };
        let mut letters = to.letters.borrow_mut();
        if letters.len() < MAILBOX && !self.net.is_cut(self.mailbox.at.ip(), to.at.ip()) {
            let place = letters.partition_point(|l| l.0 <= at);
            letters.insert(place, (at, self.mailbox.at, bytes.to_vec()));
            if let Some(w) = to.waker.take() {
                w.wake();
            }
        }
    }
}

impl DatagramSocket for Posting {
    fn poll_recv_from(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        let mut letters = self.mailbox.letters.borrow_mut();
        *self.mailbox.waker.borrow_mut() = Some(cx.waker().clone());
        let Some(at) = letters.front().map(|l| l.0) else { return Poll::Pending };
        if at > Instant::now() {
            let mut timer = self.mailbox.timer.borrow_mut();
            let sleep = timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
            if sleep.deadline() != at {
                sleep.as_mut().reset(at);
            }
            if sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let Some((_, from, bytes)) = letters.pop_front() else { return Poll::Pending };
        let n = bytes.len().min(buf.len());
        buf[..n].copy_from_slice(&bytes[..n]);
        Poll::Ready(Ok((n, from)))
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        if self.mailbox.owner.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let boxes: Vec<Rc<Mailbox>> = {
            let all = self.net.mailboxes.borrow();
            if self.net.everybody.get() == Some(to) {
                all.values().filter(|m| m.at != self.mailbox.at).cloned().collect()
            } else {
                all.get(&to).cloned().into_iter().collect()
            }
        };
        boxes.iter().for_each(|m| self.send(m, bytes));
        Ok(bytes.len())
    }
}

impl Drop for Posting {
    fn drop(&mut self) {
        if !self.mailbox.owner.get() {
            self.net.mailboxes.borrow_mut().remove(&self.mailbox.at);
        }
    }
}
