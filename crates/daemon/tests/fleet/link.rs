//! Relays between the senders of a fleet, and between a sender and an endpoint. A test can cut, delay,
//! throttle or reset them.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::sleep;

/// The interval at which a relay that holds bytes looks whether its link is open again.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a link treats the bytes that pass it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkState {
    /// Whether bytes pass from the dialing side to the dialed side, and in the opposite direction.
    pub forward: bool,
    pub backward: bool,
    /// The time by which bytes are delayed.
    pub delay: Duration,
    /// The number of bytes after which a connection is closed.
    pub reset_after_bytes: Option<usize>,
    /// The throughput limit.
    pub bytes_per_second: Option<u32>,
}

/// The state of a link that passes all bytes at once.
pub const OPEN_LINK: LinkState = LinkState {
    forward: true,
    backward: true,
    delay: Duration::ZERO,
    reset_after_bytes: None,
    bytes_per_second: None,
};

/// Returns a runtime for the relays of a fleet. All of them end when it is dropped.
pub fn relay_runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("the runtime starts")
}

/// What the connections of a link share.
struct Shared {
    state: Mutex<LinkState>,
    bytes_passed: AtomicU64,
}

impl Shared {
    fn state(&self) -> LinkState {
        *self.state.lock().expect("not poisoned")
    }
}

/// A relay between a sender and an address that it dials.
pub struct Link {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Tells the open connections to close.
    close: watch::Sender<()>,
}

impl Link {
    /// Starts a relay to this address.
    pub fn new(runtime: &Runtime, to: SocketAddr) -> Self {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("the socket has an address");
        let shared = Arc::new(Shared { state: Mutex::new(OPEN_LINK), bytes_passed: AtomicU64::default() });
        let (close, _) = watch::channel(());
        let link = Self { address, shared: shared.clone(), close: close.clone() };
        runtime.spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                tokio::spawn(relay_connection(near, to, shared.clone(), close.subscribe()));
            }
        });
        link
    }

    /// Returns the state of the link.
    pub fn state(&self) -> LinkState {
        self.shared.state()
    }

    /// Changes the state of the link. Open connections heed it from their next bytes on.
    pub fn update(&self, update: impl FnOnce(&mut LinkState)) {
        update(&mut self.shared.state.lock().expect("not poisoned"));
    }

    /// Returns the number of bytes that have passed in both directions.
    pub fn bytes_passed(&self) -> u64 {
        self.shared.bytes_passed.load(Ordering::Relaxed)
    }

    /// Closes all connections of the link.
    pub fn break_all(&self) {
        self.close.send_replace(());
    }
}

/// Relays a connection in both directions until one side or the test closes it.
async fn relay_connection(
    near: TcpStream,
    to: SocketAddr,
    shared: Arc<Shared>,
    mut closed: watch::Receiver<()>,
) {
    // The connection itself is made over a cut too; its bytes are held while the cut lasts.
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = relay_bytes(&near, &far, &shared, |state| state.forward) => {}
        _ = relay_bytes(&far, &near, &shared, |state| state.backward) => {}
        _ = closed.changed() => {}
    }
}

/// Relays bytes in one direction, according to the state of the link, until the connection is to be closed.
async fn relay_bytes(
    from: &TcpStream,
    to: &TcpStream,
    shared: &Shared,
    is_open: impl Fn(&LinkState) -> bool,
) -> io::Result<()> {
    let mut block = [0; 4096];
    let mut passed = 0;
    loop {
        let length = read(from, &mut block).await?;
        if length == 0 {
            return Ok(());
        }
        while !is_open(&shared.state()) {
            if let Some(error) = to.take_error()? {
                return Err(error);
            }
            sleep(CUT_POLL_INTERVAL).await;
        }
        let state = shared.state();
        let transfer_time =
            state.bytes_per_second.map_or(Duration::ZERO, |rate| Duration::from_secs(length as u64) / rate);
        let delay = state.delay + transfer_time;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let limit = state.reset_after_bytes.map_or(length, |max| max.saturating_sub(passed).min(length));
        passed += length;
        shared.bytes_passed.fetch_add(limit as u64, Ordering::Relaxed);
        write_all(to, &block[..limit]).await?;
        if limit < length {
            return Ok(());
        }
    }
}

/// Reads what has arrived; 0 at the end of the stream.
async fn read(from: &TcpStream, block: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(block) {
            Err(why) if why.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write_all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(why) if why.kind() == ErrorKind::WouldBlock => {}
            Err(why) => return Err(why),
        }
    }
    Ok(())
}

/// Relays of the notes (datagrams) between senders. Each sender sends to, and receives from, an address of
/// the test's for each other sender. A relay is cut together with the link between the two senders.
pub struct NoteRelays {
    /// For each sender the addresses of all senders, itself included as on the platform's list.
    pub peers: Vec<Vec<SocketAddr>>,
    /// For each sender its broadcast address.
    pub all: Vec<SocketAddr>,
}

/// Where a note is relayed to: the link that it shares its fate with, the socket that it is sent from, and
/// the address of the receiver.
type NoteRoute = (Arc<Shared>, Arc<UdpSocket>, SocketAddr);

impl NoteRelays {
    /// Starts the relays between these senders, whose notes arrive at `peer_address`.
    pub fn new(
        runtime: &Runtime,
        links: &BTreeMap<(usize, usize), Link>,
        sender_count: usize,
        peer_address: impl Fn(usize) -> SocketAddr,
    ) -> Self {
        let socket = || Arc::new(runtime.block_on(UdpSocket::bind("127.0.0.1:0")).expect("a free port"));
        let relays: BTreeMap<(usize, usize), Arc<UdpSocket>> =
            links.keys().map(|&pair| (pair, socket())).collect();
        let others = |sender: usize| (0..sender_count).filter(move |&peer| peer != sender);
        let relay_from = |socket: Arc<UdpSocket>, from: usize, to: Vec<usize>| {
            let address = socket.local_addr().expect("the socket has an address");
            let route = |peer| {
                (links[&(from, peer)].shared.clone(), relays[&(peer, from)].clone(), peer_address(peer))
            };
            let routes: Vec<NoteRoute> = to.into_iter().map(route).collect();
            runtime.spawn(relay_notes(socket, routes));
            address
        };
        let address = |sender: usize, peer: usize| match sender == peer {
            true => peer_address(sender),
            false => relay_from(relays[&(sender, peer)].clone(), sender, vec![peer]),
        };
        let peers =
            (0..sender_count).map(|sender| (0..sender_count).map(|peer| address(sender, peer)).collect());
        Self {
            peers: peers.collect(),
            all: (0..sender_count).map(|s| relay_from(socket(), s, others(s).collect())).collect(),
        }
    }
}

/// Relays the notes that arrive at a socket to these routes.
async fn relay_notes(socket: Arc<UdpSocket>, routes: Vec<NoteRoute>) {
    let mut note = [0; 512];
    while let Ok((length, _)) = socket.recv_from(&mut note).await {
        for (shared, relay, to) in &routes {
            let state = shared.state();
            if state.forward && state.delay.is_zero() {
                let _ = relay.send_to(&note[..length], *to).await;
            } else if state.forward {
                let (note, relay, to) = (note[..length].to_vec(), relay.clone(), *to);
                tokio::spawn(async move {
                    sleep(state.delay).await;
                    let _ = relay.send_to(&note, to).await;
                });
            }
        }
    }
}
