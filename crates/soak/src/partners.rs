//! Endpoints of destinations, and the list service, which also receives notices.

use crate::http::{Message, answer};
use crate::observations::Observations;
use crate::topology::is_limited_per_endpoint;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a normal call takes.
const LATENCY: Duration = Duration::from_millis(20);
/// Wait that a full endpoint asks for.
const RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Time between two checks of an endpoint for new connections and for changes of its behaviour.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two checks of a watch for changes of the list.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without changes after which a watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Behaviour of an endpoint towards calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    /// It carries calls out and answers.
    Normal = 0,
    /// It carries calls out and does not answer.
    NoAnswer = 1,
    /// It carries calls out and closes the connection without an answer.
    Reset = 2,
    /// It refuses calls and asks for a wait of [`RETRY_AFTER`].
    Full = 3,
    /// It answers a second late.
    Slow = 4,
    /// It is down: its connections are closed, and new ones are refused.
    Down = 5,
    /// It is disconnected: it receives nothing, and its connections are closed when it is reachable again.
    Disconnected = 6,
    /// It carries calls out and closes the connection within the first line of its answer.
    TruncatedAnswer = 7,
}

/// All behaviours, by their numbers.
const BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::Normal,
    Behaviour::NoAnswer,
    Behaviour::Reset,
    Behaviour::Full,
    Behaviour::Slow,
    Behaviour::Down,
    Behaviour::Disconnected,
    Behaviour::TruncatedAnswer,
];

impl Behaviour {
    fn from_number(number: u8) -> Self {
        BEHAVIOURS[usize::from(number) % BEHAVIOURS.len()]
    }
}

/// An endpoint of a destination.
#[derive(Debug)]
pub struct Endpoint {
    /// Address that it listens on.
    pub address: SocketAddr,
    behaviour: AtomicU8,
    /// Its open connections, which are closed when it goes down.
    open_connections: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Starts to listen on an address that no other socket uses, even while the endpoint is down. `number`
    /// identifies the endpoint in the observations.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn new(
        number: usize,
        address: SocketAddr,
        observations: &Arc<Observations>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let endpoint =
            Arc::new(Self { address, behaviour: AtomicU8::new(0), open_connections: Mutex::default() });
        let (shared, observations) = (endpoint.clone(), observations.clone());
        thread::spawn(move || shared.listen(listener, number, &observations));
        Ok(endpoint)
    }

    /// Changes its behaviour.
    pub fn set(&self, behaviour: Behaviour) {
        self.behaviour.store(behaviour as u8, Ordering::Relaxed);
        if behaviour == Behaviour::Down {
            for stream in self.connections().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn behaviour(&self) -> Behaviour {
        Behaviour::from_number(self.behaviour.load(Ordering::Relaxed))
    }

    /// Waits while the endpoint is disconnected. Returns whether it was.
    fn wait_while_disconnected(&self) -> bool {
        let was_disconnected = self.behaviour() == Behaviour::Disconnected;
        while self.behaviour() == Behaviour::Disconnected {
            thread::sleep(LISTEN_POLL_INTERVAL);
        }
        was_disconnected
    }

    fn connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.open_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Binds the address again after the endpoint was down.
    fn bind(&self) -> std::io::Result<TcpListener> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Accepts connections until the program ends, except while the endpoint is down.
    fn listen(self: Arc<Self>, first: TcpListener, number: usize, observations: &Arc<Observations>) {
        let mut listener = Some(first);
        loop {
            if self.behaviour() == Behaviour::Down {
                listener = None;
            } else if listener.is_none() {
                listener = self.bind().ok();
            }
            let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else {
                thread::sleep(LISTEN_POLL_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let mut connections = self.connections();
            connections.retain(|stream| stream.peer_addr().is_ok());
            connections.extend(stream.try_clone());
            drop(connections);
            let (shared, observations) = (self.clone(), observations.clone());
            thread::spawn(move || {
                shared.serve(&stream, number, &observations);
                // The clone in `open_connections` would keep the connection open.
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    /// Serves the calls of a connection.
    fn serve(&self, mut stream: &TcpStream, number: usize, observations: &Observations) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            if reader.fill_buf().map_or(true, <[u8]>::is_empty) {
                return;
            }
            let first_byte_at = Instant::now();
            if self.wait_while_disconnected() {
                return;
            }
            let Some(call) = Message::read(&mut reader) else { return };
            let ids = call.ids();
            let Some(&first) = ids.first() else { return };
            let close_header = if call.asks_to_close() { "Connection: close\r\n" } else { "" };
            observations.record_call(first, number, first_byte_at);
            ids.iter().for_each(|id| observations.record_call_of_message(*id, number));
            let behaviour = self.behaviour();
            if behaviour == Behaviour::Full {
                let headers = format!("Retry-After: {}\r\n{close_header}", RETRY_AFTER.as_secs_f64());
                observations.record_wait_request(first, number, RETRY_AFTER);
                let is_written = stream.write_all(answer("429 Full", &headers, "").as_bytes()).is_ok();
                if !is_written || call.asks_to_close() {
                    return;
                }
                continue;
            }
            ids.iter().for_each(|id| observations.record_execution(*id, number));
            match behaviour {
                Behaviour::NoAnswer => continue,
                Behaviour::TruncatedAnswer => {
                    let _ = stream.write_all(b"HTTP/1.1 20");
                    return;
                }
                Behaviour::Reset | Behaviour::Down => return,
                Behaviour::Slow => thread::sleep(Duration::from_secs(1)),
                _ => thread::sleep(LATENCY),
            }
            if self.wait_while_disconnected() {
                return;
            }
            let body: String = match call.is_batch() {
                true => ids.iter().map(|id| format!("{id:016x} done\r\n")).collect(),
                false => String::new(),
            };
            if stream.write_all(answer("200 OK", close_header, &body).as_bytes()).is_err() {
                return;
            }
            ids.iter().for_each(|id| observations.record_delivery(*id));
            if call.asks_to_close() {
                return;
            }
        }
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Number of the endpoint, from which its id is made.
    pub endpoint: usize,
    /// Number of its destination.
    pub destination: usize,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it drains and accepts no new calls.
    pub is_draining: bool,
    revision: u64,
}

/// The endpoint list, which all instances of the list service share.
#[derive(Debug, Default)]
pub struct EndpointList {
    members: Mutex<BTreeMap<usize, Member>>,
    is_down: AtomicBool,
    is_silent: AtomicBool,
}

/// Revision of a new list.
pub const FIRST_REVISION: u64 = 41;

impl EndpointList {
    /// Adds a member with the first revision.
    pub fn add(&self, endpoint: usize, destination: usize, address: SocketAddr) {
        let member = Member { endpoint, destination, address, is_draining: false, revision: FIRST_REVISION };
        self.lock().insert(endpoint, member);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<usize, Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes whether an endpoint drains.
    pub fn set_draining(&self, endpoint: usize, is_draining: bool) {
        let mut members = self.lock();
        let revision = members.values().map(|member| member.revision).max().unwrap_or(FIRST_REVISION) + 1;
        members
            .entry(endpoint)
            .and_modify(|member| (member.is_draining, member.revision) = (is_draining, revision));
    }

    /// Stops or resumes the list service.
    pub fn set_down(&self, down: bool) {
        self.is_down.store(down, Ordering::Relaxed);
    }

    /// Makes the list service silent, also on open watches, or lets it send again.
    pub fn set_silent(&self, silent: bool) {
        self.is_silent.store(silent, Ordering::Relaxed);
    }

    /// Returns the members that changed after a revision, and the current revision of the list.
    pub fn since(&self, revision: u64) -> (Vec<Member>, u64) {
        let members = self.lock();
        let newest = members.values().map(|member| member.revision).max().unwrap_or(FIRST_REVISION);
        (members.values().filter(|member| member.revision > revision).cloned().collect(), newest)
    }

    fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::Relaxed)
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }
}

/// Returns a member as JSON.
pub fn member_json(member: &Member) -> String {
    format!(
        "{{\"id\":\"e-{}\",\"host_port\":\"{}\",\"locality\":\"a\",\"flavor\":\"{}\",\"cell\":{},\
         \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":0}}",
        member.endpoint,
        member.address,
        if is_limited_per_endpoint(member.destination) { "chain" } else { "shop" },
        member.destination,
        if member.is_draining { "draining" } else { "up" }
    )
}

/// Starts the instance of the list service for one sender and returns its address. Each sender has its own,
/// so that the data that it received is known.
///
/// # Errors
/// No port is available.
pub fn start_list_service(
    sender: usize,
    list: &Arc<EndpointList>,
    observations: &Arc<Observations>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (list, observations) = (list.clone(), observations.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, observations) = (list.clone(), observations.clone());
            thread::spawn(move || serve_list_client(&stream, sender, &list, &observations));
        }
    });
    Ok(address)
}

/// Serves a connection to the list service: notices, or a watch.
fn serve_list_client(
    mut stream: &TcpStream,
    sender: usize,
    list: &EndpointList,
    observations: &Observations,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader) {
        if request.line.starts_with("GET ") {
            let index = request.line.split_once("index=").map_or("", |(_, rest)| rest);
            let index = index.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok());
            return watch(stream, sender, index.unwrap_or(0), list, observations);
        }
        // Notices are accepted at any time, also while the list service is down.
        for line in String::from_utf8_lossy(&request.body).lines() {
            let field = |name: &str| line.split_once(name).and_then(|(_, rest)| rest.split('"').next());
            let id = field("\"ref\":\"").and_then(|id| u64::from_str_radix(id, 16).ok());
            if let (Some(id), Some(result)) = (id, field("\"result\":\"")) {
                observations.record_notice(id, result);
            }
        }
        let close_header = if request.asks_to_close() { "Connection: close\r\n" } else { "" };
        let is_written = stream.write_all(answer("204 Fine", close_header, "").as_bytes()).is_ok();
        if !is_written || request.asks_to_close() {
            return;
        }
    }
}

/// Serves a watch of the list from a revision on.
fn watch(
    mut stream: &TcpStream,
    sender: usize,
    mut revision: u64,
    list: &EndpointList,
    observations: &Observations,
) {
    if list.is_down() {
        let _ = stream.write_all(answer("503 Down", "", "").as_bytes());
        return;
    }
    while list.is_silent() {
        thread::sleep(WATCH_POLL_INTERVAL);
    }
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    let mut sent_at = Instant::now();
    while is_open && !list.is_down() {
        if list.is_silent() {
            thread::sleep(WATCH_POLL_INTERVAL);
            continue;
        }
        let (changed, newest) = list.since(revision);
        if changed.is_empty() {
            if sent_at.elapsed() >= HEARTBEAT_INTERVAL {
                is_open = stream.write_all(b"1\r\n\n\r\n").is_ok();
                sent_at = Instant::now();
            }
            thread::sleep(WATCH_POLL_INTERVAL);
            continue;
        }
        let members: Vec<String> = changed.iter().map(member_json).collect();
        let line =
            format!("{{\"revision\":{newest},\"complete\":false,\"members\":[{}]}}\n", members.join(","));
        is_open = stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok();
        changed
            .iter()
            .filter(|_| is_open)
            .for_each(|member| observations.record_drain_change(sender, member.endpoint, member.is_draining));
        (revision, sent_at) = (newest, Instant::now());
    }
}
