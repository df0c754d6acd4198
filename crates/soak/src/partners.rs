//! Endpoints of destinations, and the list service with its place for notices.

use crate::book::Book;
use crate::http::{Message, answer};
use crate::topology::is_apart;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What a usual call takes.
const LATENCY: Duration = Duration::from_millis(20);
/// How long a full endpoint tells callers to wait.
const WAIT: Duration = Duration::from_millis(1_500);
/// How often an endpoint looks for connections, and whether it is to be down.
const LISTEN_LOOK: Duration = Duration::from_millis(2);
/// How often a watch looks for news.
const WATCH_LOOK: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_secs(2);

/// How an endpoint treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Manner {
    /// It carries them out and answers.
    Sound = 0,
    /// It carries them out and says nothing.
    Hangs = 1,
    /// It carries them out and resets the connection.
    Resets = 2,
    /// It turns them away for half a second.
    Full = 3,
    /// It answers a second late.
    Slow = 4,
    /// It is not there: connections end, and new ones are refused.
    Down = 5,
    /// It is cut off: nothing comes, and its connections are reset when it is back.
    Cut = 6,
    /// It carries calls out and ends the connection within the first line of its answer.
    CutAnswers = 7,
}

const MANNERS: [Manner; 8] = [
    Manner::Sound,
    Manner::Hangs,
    Manner::Resets,
    Manner::Full,
    Manner::Slow,
    Manner::Down,
    Manner::Cut,
    Manner::CutAnswers,
];

impl Manner {
    fn of(number: u8) -> Self {
        MANNERS[usize::from(number) % MANNERS.len()]
    }
}

/// An endpoint of a destination.
#[derive(Debug)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    manner: AtomicU8,
    /// Its connections, to be ended when it goes down.
    open: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Begins to listen at an address that is nobody else's, also while it is down. `number` is its name in
    /// the book.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(number: usize, address: SocketAddr, book: &Arc<Book>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let endpoint = Arc::new(Self { address, manner: AtomicU8::new(0), open: Mutex::default() });
        let (shared, book) = (endpoint.clone(), book.clone());
        thread::spawn(move || shared.listen(listener, number, &book));
        Ok(endpoint)
    }

    /// Changes how it treats calls.
    pub fn set(&self, manner: Manner) {
        self.manner.store(manner as u8, Ordering::Relaxed);
        if manner == Manner::Down {
            for stream in self.connections().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn manner(&self) -> Manner {
        Manner::of(self.manner.load(Ordering::Relaxed))
    }

    /// Whether it is cut off; then it waits until it is not.
    fn was_cut(&self) -> bool {
        let cut = self.manner() == Manner::Cut;
        while self.manner() == Manner::Cut {
            thread::sleep(LISTEN_LOOK);
        }
        cut
    }

    fn connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bind(&self) -> std::io::Result<TcpListener> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Takes connections for as long as the process lives, but while it is down.
    fn listen(self: Arc<Self>, first: TcpListener, number: usize, book: &Arc<Book>) {
        let mut listener = Some(first);
        loop {
            if self.manner() == Manner::Down {
                listener = None;
            } else if listener.is_none() {
                listener = self.bind().ok();
            }
            let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else {
                thread::sleep(LISTEN_LOOK);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let mut connections = self.connections();
            connections.retain(|stream| stream.peer_addr().is_ok());
            connections.extend(stream.try_clone());
            drop(connections);
            let (shared, book) = (self.clone(), book.clone());
            thread::spawn(move || {
                shared.serve(&stream, number, &book);
                // The other handle of it, by which it is ended from outside, would keep it open.
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    fn serve(&self, mut stream: &TcpStream, number: usize, book: &Book) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            if reader.fill_buf().map_or(true, <[u8]>::is_empty) {
                return;
            }
            let began = Instant::now();
            if self.was_cut() {
                return;
            }
            let Some(call) = Message::read(&mut reader) else { return };
            let ids = call.ids();
            let Some(&first) = ids.first() else { return };
            book.call(first, number, began);
            ids.iter().for_each(|id| book.called(*id, number));
            let manner = self.manner();
            if manner == Manner::Full {
                let waits = format!("Retry-After: {}\r\n", WAIT.as_secs_f64());
                book.told_to_wait(first, number, WAIT);
                if stream.write_all(answer("429 Full", &waits, "").as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            ids.iter().for_each(|id| book.ran(*id, number));
            match manner {
                Manner::Hangs => continue,
                Manner::CutAnswers => {
                    let _ = stream.write_all(b"HTTP/1.1 20");
                    return;
                }
                Manner::Resets | Manner::Down => return,
                Manner::Slow => thread::sleep(Duration::from_secs(1)),
                _ => thread::sleep(LATENCY),
            }
            if self.was_cut() {
                return;
            }
            let done: String = match call.is_batch() {
                true => ids.iter().map(|id| format!("{id:016x} done\r\n")).collect(),
                false => String::new(),
            };
            if stream.write_all(answer("200 OK", "", &done).as_bytes()).is_err() {
                return;
            }
            ids.iter().for_each(|id| book.delivered(*id));
        }
    }
}

/// A member of the list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its number, which is its id.
    pub endpoint: usize,
    /// Its destination.
    pub dest: usize,
    /// Where it is.
    pub address: SocketAddr,
    /// It wants nothing new.
    pub drains: bool,
    revision: u64,
}

/// The list of endpoints, shared by all places of the service.
#[derive(Debug, Default)]
pub struct List {
    members: Mutex<BTreeMap<usize, Member>>,
    down: AtomicBool,
    silent: AtomicBool,
}

/// Where a list begins.
pub const FIRST_REVISION: u64 = 41;

impl List {
    /// Enters a member as it is known from the start.
    pub fn add(&self, endpoint: usize, dest: usize, address: SocketAddr) {
        let member = Member { endpoint, dest, address, drains: false, revision: FIRST_REVISION };
        self.lock().insert(endpoint, member);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<usize, Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says that an endpoint drains, or serves again.
    pub fn drain(&self, endpoint: usize, drains: bool) {
        let mut members = self.lock();
        let revision = members.values().map(|m| m.revision).max().unwrap_or(FIRST_REVISION) + 1;
        members.entry(endpoint).and_modify(|m| (m.drains, m.revision) = (drains, revision));
    }

    /// Stops answering, or begins again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Says nothing, also on open watches, or begins again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// The members that changed after a revision, and the list's revision.
    pub fn since(&self, revision: u64) -> (Vec<Member>, u64) {
        let members = self.lock();
        let newest = members.values().map(|m| m.revision).max().unwrap_or(FIRST_REVISION);
        (members.values().filter(|m| m.revision > revision).cloned().collect(), newest)
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }
}

/// A member as JSON.
pub fn shown(member: &Member) -> String {
    format!(
        "{{\"id\":\"e-{}\",\"host_port\":\"{}\",\"locality\":\"a\",\"flavor\":\"{}\",\"cell\":{},\
         \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":0}}",
        member.endpoint,
        member.address,
        if is_apart(member.dest) { "chain" } else { "shop" },
        member.dest,
        if member.drains { "draining" } else { "up" }
    )
}

/// The place at which one sender finds the list service: so it is known who was told what.
///
/// # Errors
/// There is no port.
pub fn list_service(sender: usize, list: &Arc<List>, book: &Arc<Book>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (list, book) = (list.clone(), book.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, book) = (list.clone(), book.clone());
            thread::spawn(move || talk(&stream, sender, &list, &book));
        }
    });
    Ok(address)
}

fn talk(mut stream: &TcpStream, sender: usize, list: &List, book: &Book) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader) {
        if request.line.starts_with("GET ") {
            let index = request.line.split_once("index=").map_or("", |(_, rest)| rest);
            let index = index.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok());
            return watch(stream, sender, index.unwrap_or(0), list, book);
        }
        // Notices are taken at any time, also while the list is down.
        for line in String::from_utf8_lossy(&request.body).lines() {
            let field = |name: &str| line.split_once(name).and_then(|(_, rest)| rest.split('"').next());
            let id = field("\"ref\":\"").and_then(|id| u64::from_str_radix(id, 16).ok());
            if let (Some(id), Some(result)) = (id, field("\"result\":\"")) {
                book.notice(id, result);
            }
        }
        if stream.write_all(answer("204 Fine", "", "").as_bytes()).is_err() {
            return;
        }
    }
}

fn watch(mut stream: &TcpStream, sender: usize, mut revision: u64, list: &List, book: &Book) {
    if list.is_down() {
        let _ = stream.write_all(answer("503 Down", "", "").as_bytes());
        return;
    }
    while list.is_silent() {
        thread::sleep(WATCH_LOOK);
    }
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut sound = stream.write_all(head.as_bytes()).is_ok();
    let mut said = Instant::now();
    while sound && !list.is_down() {
        if list.is_silent() {
            thread::sleep(WATCH_LOOK);
            continue;
        }
        let (changed, newest) = list.since(revision);
        if changed.is_empty() {
            if said.elapsed() >= HEARTBEAT {
                sound = stream.write_all(b"1\r\n\n\r\n").is_ok();
                said = Instant::now();
            }
            thread::sleep(WATCH_LOOK);
            continue;
        }
        let members: Vec<String> = changed.iter().map(shown).collect();
        let line =
            format!("{{\"revision\":{newest},\"complete\":false,\"members\":[{}]}}\n", members.join(","));
        sound = stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok();
        changed.iter().filter(|_| sound).for_each(|m| book.told(sender, m.endpoint, m.drains));
        (revision, said) = (newest, Instant::now());
    }
}
