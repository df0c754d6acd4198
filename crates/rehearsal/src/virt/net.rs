//! A network in memory. It behaves like the system's network where a sender can observe it: written data may
//! arrive although the peer has closed, a full buffer accepts no more data, and a machine that is cut off
//! sends nothing.
//!
//! It is deterministic: all random numbers come from the seed, and the order of events is fixed because it
//! is used from one thread, on a runtime with paused time. Without latency, a byte arrives in the instant in
//! which it is sent.

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

/// Bytes in transit in one direction before a writer has to wait; similar to the socket buffers of common
/// systems.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// Maximum number of connections that wait to be accepted; further ones are refused.
const BACKLOG: usize = 1_024;
/// Maximum number of datagrams that wait to be read; further ones are lost.
const MAX_QUEUED_DATAGRAMS: usize = 1_000;

/// The network between the machines of an environment.
pub struct Net {
    listeners: RefCell<BTreeMap<SocketAddr, Rc<ListenQueue>>>,
    mailboxes: RefCell<BTreeMap<SocketAddr, Rc<Mailbox>>>,
    /// Datagrams to this address reach all mailboxes except the sender's own.
    broadcast_addr: Cell<Option<SocketAddr>>,
    cut_hosts: RefCell<BTreeSet<IpAddr>>,
    /// Blocked links, as pairs of source and destination.
    blocked_links: RefCell<BTreeSet<(IpAddr, IpAddr)>>,
    /// Additional delays of links, by source and destination.
    link_delays: RefCell<BTreeMap<(IpAddr, IpAddr), Duration>>,
    /// Connections that may be open. Faults of machines are applied to them.
    connections: RefCell<Vec<Weak<Connection>>>,
    latency: Duration,
    datagram_faults: RefCell<DatagramFaults>,
}

/// Random faults of datagrams.
struct DatagramFaults {
    lost: f64,
    max_delay: Duration,
    random: Pcg64Mcg,
}

impl Net {
    /// Creates a network with this one-way latency, in whole milliseconds (the resolution of the runtime's
    /// timers).
    pub fn new(latency: Duration, seed: u64) -> Rc<Self> {
        let datagram_faults =
            DatagramFaults { lost: 0.0, max_delay: Duration::ZERO, random: Pcg64Mcg::seed_from_u64(seed) };
        Rc::new(Self {
            listeners: RefCell::default(),
            mailboxes: RefCell::default(),
            broadcast_addr: Cell::new(None),
            cut_hosts: RefCell::default(),
            blocked_links: RefCell::default(),
            link_delays: RefCell::default(),
            connections: RefCell::default(),
            latency,
            datagram_faults: RefCell::new(datagram_faults),
        })
    }

    /// Creates the network of one process on a machine.
    pub fn host(self: &Rc<Self>, ip: IpAddr) -> Rc<Host> {
        Rc::new(Host { net: self.clone(), ip, dead: Rc::default() })
    }

    /// Sets the broadcast address of datagrams.
    pub fn set_broadcast_addr(&self, at: SocketAddr) {
        self.broadcast_addr.set(Some(at));
    }

    /// Sets the share of datagrams that is lost and the maximum additional delay of the others.
    pub fn set_datagram_faults(&self, lost: f64, max_delay: Duration) {
        let mut datagram_faults = self.datagram_faults.borrow_mut();
        (datagram_faults.lost, datagram_faults.max_delay) = (lost, max_delay);
    }

    /// Cuts a machine off without notifying its peers, or reconnects it, which resets its open connections.
    pub fn set_cut(&self, ip: IpAddr, cut: bool) {
        if cut {
            self.cut_hosts.borrow_mut().insert(ip);
        } else if self.cut_hosts.borrow_mut().remove(&ip) {
            for connection in self.open_connections(|connection| connection.ends.contains(&ip)) {
                connection.reset();
            }
        }
    }

    /// Blocks the link from one machine to another, or unblocks it, which resets the open connections
    /// between them.
    pub fn set_link_blocked(&self, from: IpAddr, to: IpAddr, blocked: bool) {
        if blocked {
            self.blocked_links.borrow_mut().insert((from, to));
        } else if self.blocked_links.borrow_mut().remove(&(from, to)) {
            for connection in self
                .open_connections(|connection| connection.ends == [from, to] || connection.ends == [to, from])
            {
                connection.reset();
            }
        }
    }

    /// Sets the additional delay from one machine to another.
    pub fn set_link_delay(&self, from: IpAddr, to: IpAddr, delay: Duration) {
        if delay.is_zero() {
            self.link_delays.borrow_mut().remove(&(from, to));
        } else {
            self.link_delays.borrow_mut().insert((from, to), delay);
        }
    }

    fn latency(&self, from: IpAddr, to: IpAddr) -> Duration {
        self.latency + self.link_delays.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Returns whether traffic from `from` to `to` is blocked.
    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        let cut = self.cut_hosts.borrow();
        !cut.is_empty() && (cut.contains(&from) || cut.contains(&to))
            || self.blocked_links.borrow().contains(&(from, to))
    }

    fn open_connections(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).filter(|connection| predicate(connection)).collect()
    }

    fn add(&self, connection: &Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        // Closed connections are removed whenever the vector would have to grow.
        if connections.len() == connections.capacity() {
            connections.retain(|connection| connection.strong_count() > 0);
        }
        connections.push(Rc::downgrade(connection));
    }
}

/// The network of one process on a machine. Its connections end with the process.
pub struct Host {
    net: Rc<Net>,
    ip: IpAddr,
    dead: Rc<Cell<bool>>,
}

impl Host {
    /// Returns the flag that is set once the process is killed. Its sockets and files share it.
    pub fn dead(&self) -> Rc<Cell<bool>> {
        self.dead.clone()
    }

    /// Kills the process: resets its connections and makes all further operations of it ineffective.
    pub fn kill(&self) {
        self.dead.set(true);
        let is_own = |owner: &Rc<Cell<bool>>| Rc::ptr_eq(owner, &self.dead);
        for connection in
            self.net.open_connections(|connection| connection.owners.borrow().iter().any(is_own))
        {
            connection.reset();
        }
        self.net.listeners.borrow_mut().retain(|_, queue| !is_own(&queue.owner));
        self.net.mailboxes.borrow_mut().retain(|_, mailbox| !is_own(&mailbox.owner));
    }
}

/// A connection with its two directions.
struct Connection {
    ends: [IpAddr; 2],
    owners: RefCell<Vec<Rc<Cell<bool>>>>,
    directions: [Direction; 2],
}

/// One direction of a connection. The accepting end reads `directions[0]`, the connecting end
/// `directions[1]`.
#[derive(Default)]
struct Direction {
    /// Chunks of data, each written at once, with their times of arrival.
    queue: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    /// Bytes of the first chunk that have been read.
    offset: Cell<usize>,
    size: Cell<usize>,
    fin: Cell<Option<Instant>>,
    reset: Cell<bool>,
    /// Whether the reader has closed its end.
    reader_closed: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
}

impl Direction {
    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    fn wake_writer(&self) {
        if let Some(waker) = self.writer.take() {
            waker.wake();
        }
    }

    fn finish(&self, at: Instant) {
        if self.fin.get().is_none() {
            self.fin.set(Some(at));
            self.wake_reader();
        }
    }
}

impl Connection {
    fn reset(&self) {
        for direction in &self.directions {
            direction.reset.set(true);
            direction.wake_reader();
            direction.wake_writer();
        }
    }
}

/// One end of a connection.
struct ConnectionEnd {
    connection: Rc<Connection>,
    side: usize,
    net: Rc<Net>,
    owner: Rc<Cell<bool>>,
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl ConnectionEnd {
    fn incoming(&self) -> &Direction {
        &self.connection.directions[self.side]
    }

    fn outgoing(&self) -> &Direction {
        &self.connection.directions[1 - self.side]
    }

    /// Returns whether traffic from the other end is blocked.
    fn is_cut(&self) -> bool {
        self.net.is_cut(self.connection.ends[1 - self.side], self.connection.ends[self.side])
    }

    /// Returns the latency to the other end.
    fn latency(&self) -> Duration {
        self.net.latency(self.connection.ends[self.side], self.connection.ends[1 - self.side])
    }

    /// Returns when the next data or the end of the stream can be read.
    fn next_readable(&self) -> Option<Instant> {
        let direction = self.incoming();
        direction.queue.borrow().front().map(|chunk| chunk.0).or(direction.fin.get())
    }

    /// Polls the timer; ready once `at` is reached.
    fn poll_timer(&self, at: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let mut timer = self.timer.borrow_mut();
        let sleep = timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        sleep.as_mut().poll(cx)
    }
}

impl Stream for ConnectionEnd {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let direction = self.incoming();
        if direction.reset.get() || direction.reader_closed.get() {
            return Poll::Ready(Ok(()));
        }
        *direction.reader.borrow_mut() = Some(cx.waker().clone());
        match self.next_readable() {
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
        let direction = self.incoming();
        if direction.reset.get() {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if direction.reader_closed.get() {
            return Ok(0);
        }
        if self.is_cut() || self.next_readable().is_none_or(|at| at > Instant::now()) {
            return Err(ErrorKind::WouldBlock.into());
        }
        let mut queue = direction.queue.borrow_mut();
        let Some((_, chunk)) = queue.front() else { return Ok(0) };
        let remaining = &chunk[direction.offset.get()..];
        let length = remaining.len().min(buf.len());
        buf[..length].copy_from_slice(&remaining[..length]);
        if length == remaining.len() {
            queue.pop_front();
            direction.offset.set(0);
        } else {
            direction.offset.set(direction.offset.get() + length);
        }
        direction.size.set(direction.size.get() - length);
        direction.wake_writer();
        Ok(length)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let direction = self.outgoing();
        if direction.reset.get() || direction.reader_closed.get() || direction.size.get() < SEND_BUFFER_BYTES
        {
            return Poll::Ready(Ok(()));
        }
        *direction.writer.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        let direction = self.outgoing();
        if self.owner.get() || direction.reset.get() || direction.fin.get().is_some() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if direction.reader_closed.get() {
            // The system accepts the data, and the peer answers with a reset.
            self.connection.reset();
            return Ok(buf.len());
        }
        let length = buf.len().min(SEND_BUFFER_BYTES.saturating_sub(direction.size.get()));
        if length == 0 && !buf.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        // Data is never delivered before data that was sent earlier.
        let last = direction.queue.borrow().back().map(|chunk| chunk.0);
        let arrives_at = last.into_iter().fold(Instant::now() + self.latency(), Instant::max);
        direction.queue.borrow_mut().push_back((arrives_at, buf[..length].to_vec()));
        direction.size.set(direction.size.get() + length);
        direction.wake_reader();
        Ok(length)
    }

    fn has_no_unread_data(&self) -> bool {
        let direction = self.incoming();
        let ended = direction.reset.get() || direction.reader_closed.get();
        !ended && (self.is_cut() || self.next_readable().is_none_or(|at| at > Instant::now()))
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        if how != Shutdown::Read {
            self.outgoing().finish(Instant::now() + self.net.latency);
        }
        if how != Shutdown::Write {
            self.incoming().reader_closed.set(true);
            self.incoming().wake_reader();
        }
        Ok(())
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        if self.owner.get() {
            return;
        }
        let incoming = self.incoming();
        let has_unread_data = !incoming.queue.borrow().is_empty();
        incoming.reader_closed.set(true);
        incoming.wake_writer();
        if has_unread_data && !self.is_cut() {
            self.connection.reset();
        } else {
            self.outgoing().finish(Instant::now() + self.net.latency);
        }
    }
}

struct ListenQueue {
    at: SocketAddr,
    owner: Rc<Cell<bool>>,
    waiting: RefCell<VecDeque<Rc<ConnectionEnd>>>,
    waker: RefCell<Option<Waker>>,
}

struct MemoryListener {
    queue: Rc<ListenQueue>,
    net: Rc<Net>,
}

impl Listener for MemoryListener {
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

impl Drop for MemoryListener {
    fn drop(&mut self) {
        if self.queue.owner.get() {
            return;
        }
        let mut listeners = self.net.listeners.borrow_mut();
        if listeners.get(&self.queue.at).is_some_and(|queue| Rc::ptr_eq(queue, &self.queue)) {
            listeners.remove(&self.queue.at);
        }
        let waiting = self.queue.waiting.take();
        drop(listeners);
        waiting.iter().for_each(|end| end.connection.reset());
    }
}

/// Maps the name of a local socket to a port below those that are used otherwise.
fn local_port(name: &str) -> u16 {
    1 + name.bytes().fold(0u16, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into())) % 1_000
}

impl Network for Host {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let (net, ip, owner) = (self.net.clone(), self.ip, self.dead.clone());
        Box::pin(async move {
            if !net.latency.is_zero() {
                tokio::time::sleep(2 * net.latency).await;
            }
            if net.is_cut(ip, to.ip()) || net.is_cut(to.ip(), ip) {
                // A blocked link does not answer. The caller applies its own time-out.
                pending::<()>().await;
            }
            let queue = net.listeners.borrow().get(&to).cloned();
            let Some(queue) = queue.filter(|queue| queue.waiting.borrow().len() < BACKLOG) else {
                return Err(ErrorKind::ConnectionRefused.into());
            };
            let connection = Rc::new(Connection {
                ends: [to.ip(), ip],
                owners: RefCell::new(vec![queue.owner.clone(), owner.clone()]),
                directions: Default::default(),
            });
            net.add(&connection);
            let end = |side, owner| {
                Rc::new(ConnectionEnd {
                    connection: connection.clone(),
                    side,
                    net: net.clone(),
                    owner,
                    timer: RefCell::default(),
                })
            };
            queue.waiting.borrow_mut().push_back(end(0, queue.owner.clone()));
            if let Some(waker) = queue.waker.take() {
                waker.wake();
            }
            Ok(end(1, owner) as Rc<dyn Stream>)
        })
    }

    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>> {
        let at = SocketAddr::new(self.ip, local_port(name));
        self.net.listeners.borrow_mut().remove(&at);
        self.listen(at)
    }

    fn connect_local(&self, name: &str) -> ConnectFuture {
        self.connect(SocketAddr::new(self.ip, local_port(name)))
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        let mut listeners = self.net.listeners.borrow_mut();
        if listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let (waiting, waker) = Default::default();
        let queue = Rc::new(ListenQueue { at, owner: self.dead.clone(), waiting, waker });
        listeners.insert(at, queue.clone());
        Ok(Rc::new(MemoryListener { queue, net: self.net.clone() }))
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>> {
        let mut mailboxes = self.net.mailboxes.borrow_mut();
        if mailboxes.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let owner = self.dead.clone();
        let (datagrams, waker, timer) = Default::default();
        let mailbox = Rc::new(Mailbox { at, owner, datagrams, waker, timer });
        mailboxes.insert(at, mailbox.clone());
        Ok(Rc::new(MemoryDatagramSocket { mailbox, net: self.net.clone() }))
    }
}

struct Mailbox {
    at: SocketAddr,
    owner: Rc<Cell<bool>>,
    /// Datagrams in the order of arrival: time of arrival, sender and content.
    datagrams: RefCell<VecDeque<(Instant, SocketAddr, Vec<u8>)>>,
    waker: RefCell<Option<Waker>>,
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
}

struct MemoryDatagramSocket {
    mailbox: Rc<Mailbox>,
    net: Rc<Net>,
}

impl MemoryDatagramSocket {
    fn send(&self, to: &Mailbox, bytes: &[u8]) {
        let arrives_at = {
            let mut datagram_faults = self.net.datagram_faults.borrow_mut();
            let (lost, max_delay) = (datagram_faults.lost, datagram_faults.max_delay.as_micros() as u64);
            if lost > 0.0 && datagram_faults.random.random_bool(lost) {
                return;
            }
            let delay = if max_delay > 0 { datagram_faults.random.random_range(0..=max_delay) } else { 0 };
            Instant::now() + self.net.latency + Duration::from_micros(delay)
        };
        let mut datagrams = to.datagrams.borrow_mut();
        if datagrams.len() < MAX_QUEUED_DATAGRAMS && !self.net.is_cut(self.mailbox.at.ip(), to.at.ip()) {
            let position = datagrams.partition_point(|datagram| datagram.0 <= arrives_at);
            datagrams.insert(position, (arrives_at, self.mailbox.at, bytes.to_vec()));
            if let Some(waker) = to.waker.take() {
                waker.wake();
            }
        }
    }
}

impl DatagramSocket for MemoryDatagramSocket {
    fn poll_recv_from(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        let mut datagrams = self.mailbox.datagrams.borrow_mut();
        *self.mailbox.waker.borrow_mut() = Some(cx.waker().clone());
        let Some(at) = datagrams.front().map(|datagram| datagram.0) else { return Poll::Pending };
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
        let Some((_, from, bytes)) = datagrams.pop_front() else { return Poll::Pending };
        let length = bytes.len().min(buf.len());
        buf[..length].copy_from_slice(&bytes[..length]);
        Poll::Ready(Ok((length, from)))
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        if self.mailbox.owner.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let receivers: Vec<Rc<Mailbox>> = {
            let all = self.net.mailboxes.borrow();
            if self.net.broadcast_addr.get() == Some(to) {
                all.values().filter(|mailbox| mailbox.at != self.mailbox.at).cloned().collect()
            } else {
                all.get(&to).cloned().into_iter().collect()
            }
        };
        receivers.iter().for_each(|receiver| self.send(receiver, bytes));
        Ok(bytes.len())
    }
}

impl Drop for MemoryDatagramSocket {
    fn drop(&mut self) {
        if !self.mailbox.owner.get() {
            self.net.mailboxes.borrow_mut().remove(&self.mailbox.at);
        }
    }
}
