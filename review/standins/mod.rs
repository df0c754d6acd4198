//! Small stand-ins for the cases of the review: the platform (discovery and notices), partners' endpoints, a
//! proxy that stands for the network, clients, and a sender process. They use the standard library alone and
//! follow PROTOCOL and DEPLOY. All addresses are loopback addresses with ports that the system assigns.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

mod c {
    unsafe extern "C" {
        pub fn kill(pid: i32, signal: i32) -> i32;
        pub fn dup2(old: i32, new: i32) -> i32;
        pub fn listen(fd: i32, backlog: i32) -> i32;
        pub fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
        pub fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    }
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_micros() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: what was sent, answered and run, with the time in seconds.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the file that the environment variable `RECORD` names.
    pub fn create() -> Self {
        end_with_script();
        let path = std::env::var("RECORD").unwrap_or_else(|_| fail("RECORD is not set"));
        let file = File::create(&path).unwrap_or_else(|e| fail(&format!("{path}: {e}")));
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// Ends this program, and with it the processes that it started, if the script that started it is gone.
fn end_with_script() {
    let Ok(pid) = std::env::var("SCRIPT_PID") else { return };
    thread::spawn(move || {
        loop {
            let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            if stat.rsplit(')').next().is_none_or(|rest| rest.trim().is_empty() || rest.trim().starts_with('Z')) {
                let _ = fs::remove_dir_all(work_folder());
                std::process::exit(COULD_NOT_RUN);
            }
            thread::sleep(ms(200));
        }
    });
}

/// Ends the case, since it could not run.
pub fn fail(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN)
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() {
        if begun.elapsed() > limit {
            return false;
        }
        thread::sleep(ms(5));
    }
    true
}

/// A request or a response that was read.
#[derive(Clone, Debug)]
pub struct Http {
    /// `METHOD path`, or the status.
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request or a response. Returns `None` if the connection ends before its last byte.
pub fn read_http(from: &mut impl BufRead) -> Option<Http> {
    let mut first = String::new();
    from.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut words = first.split_whitespace();
    let (a, b) = (words.next()?.to_owned(), words.next()?.to_owned());
    let line = if a.starts_with("HTTP/") { b } else { format!("{a} {b}") };
    let mut headers = BTreeMap::new();
    loop {
        let mut text = String::new();
        from.read_line(&mut text).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = text.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Http { line, headers, body })
}

/// A message of a call.
#[derive(Clone, Debug)]
pub struct Called {
    pub id: String,
    pub key: String,
    pub body: Vec<u8>,
}

/// Returns the messages of a call to an endpoint, `None` if it is malformed.
pub fn messages_of(request: &Http) -> Option<Vec<Called>> {
    match request.line.as_str() {
        "POST /v1/messages" => {
            let (id, key) =
                (request.header("x-request-id").to_owned(), request.header("idempotency-key").to_owned());
            (!id.is_empty()).then(|| vec![Called { id, key, body: request.body.clone() }])
        }
        "POST /v1/messages:batch" => {
            let (mut all, mut rest) = (Vec::new(), &request.body[..]);
            while !rest.is_empty() {
                let end = rest.windows(2).position(|w| w == b"\r\n")?;
                let line = std::str::from_utf8(&rest[..end]).ok()?.to_owned();
                let words: Vec<&str> = line.split(' ').collect();
                let [id, key, len] = words[..] else { return None };
                let len: usize = len.parse().ok()?;
                let body = rest.get(end + 2..end + 2 + len)?.to_vec();
                if rest.get(end + 2 + len..end + 4 + len)? != b"\r\n" {
                    return None;
                }
                all.push(Called { id: id.to_owned(), key: key.to_owned(), body });
                rest = &rest[end + 4 + len..];
            }
            Some(all)
        }
        _ => None,
    }
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// Answers 200 to a call: `done` for each message.
pub fn done(called: &[Called]) -> String {
    if called.len() == 1 {
        return answer("200 OK", "", "");
    }
    let lines: String = called.iter().map(|m| format!("{} done\r\n", m.id)).collect();
    answer("200 OK", "", &lines)
}

/// What an endpoint does with a call that has arrived.
pub enum Reply {
    Answer(String),
    After(Duration, String),
    /// Resets the connection without an answer.
    Reset,
}

/// An endpoint of a partner. The handler is called with each call whose last byte has come.
pub fn endpoint(
    record: &Record,
    name: &str,
    handler: impl FnMut(&[Called], &Http) -> Reply + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let (handler, record, name) = (Arc::new(Mutex::new(handler)), record.clone(), name.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, record, name) = (handler.clone(), record.clone(), name.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(&stream);
                while let Some(request) = read_http(&mut reader) {
                    let Some(called) = messages_of(&request) else {
                        record.line(&format!("endpoint {name}: unreadable call {}", request.line));
                        let _ = (&stream).write_all(answer("400 Bad", "", "").as_bytes());
                        continue;
                    };
                    let reply = (handler.lock().unwrap())(&called, &request);
                    let text = match reply {
                        Reply::Answer(text) => text,
                        Reply::After(span, text) => {
                            thread::sleep(span);
                            text
                        }
                        Reply::Reset => {
                            reset_on_close(&stream);
                            break;
                        }
                    };
                    if (&stream).write_all(text.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    unsafe { c::setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Gives a listening socket the segment size and the receive buffer of an ordinary link. Loopback has
/// segments of 64 KiB, and so buffers that take whole calls.
pub fn like_ethernet(listener: &TcpListener) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let (segment, buffer) = (1_448, 32 << 10);
    unsafe {
        c::setsockopt(listener.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        c::setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &buffer, 4);
    }
}

/// Lets connects to a listening socket stay pending: its queue is full. Returns what fills it. Nothing may accept
/// connections meanwhile.
pub fn stop_connects(listener: &TcpListener) -> Vec<TcpStream> {
    unsafe { c::listen(listener.as_raw_fd(), 0) };
    let (address, mut filling) = (listener.local_addr().unwrap(), Vec::new());
    while let Ok(stream) = TcpStream::connect_timeout(&address, ms(30)) {
        filling.push(stream);
    }
    filling
}

/// Lets connects succeed again.
pub fn resume_connects(listener: &TcpListener) {
    unsafe { c::listen(listener.as_raw_fd(), 128) };
}

/// A notice that the platform received.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub result: String,
    pub at: Instant,
}

/// The platform: discovery, which answers lists and watches, and the receiver of notices.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<Notice>>>,
    list: Arc<Mutex<(u64, Vec<String>)>>,
    changes: Arc<Mutex<Vec<(u64, Vec<String>)>>>,
    watches: Arc<Mutex<Vec<Sender<String>>>>,
    record: Record,
}

fn list_text(revision: u64, complete: bool, members: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

impl Platform {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
        let platform = Self {
            address: listener.local_addr().unwrap(),
            notices: Arc::default(),
            list: Arc::new(Mutex::new((41, Vec::new()))),
            changes: Arc::default(),
            watches: Arc::default(),
            record: record.clone(),
        };
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(&stream));
            }
        });
        platform
    }

    /// Sets the list as it stands at the start.
    pub fn set_members(&self, members: &[String]) {
        self.list.lock().unwrap().1 = members.to_vec();
    }

    /// Tells a change of the list to all watches.
    pub fn publish(&self, members: &[String]) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        self.changes.lock().unwrap().push((list.0, members.to_vec()));
        let line = list_text(list.0, false, members);
        self.watches.lock().unwrap().retain(|w| w.send(line.clone()).is_ok());
    }

    fn serve(&self, mut stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_http(&mut reader) {
            if request.line.starts_with("GET /discovery/hosts?stream=1") {
                return self.watch(stream, &request);
            }
            if request.line.starts_with("GET ") {
                let list = self.list.lock().unwrap().clone();
                if stream.write_all(answer("200 OK", "", &list_text(list.0, true, &list.1)).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let text = String::from_utf8_lossy(&request.body).into_owned();
            for line in text.lines() {
                let value = |name: &str| {
                    let at = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
                    line[at..].split('"').next().map(str::to_owned)
                };
                let (Some(id), Some(result)) = (value("ref"), value("result")) else { continue };
                self.record.line(&format!("platform: notice {line}"));
                self.notices.lock().unwrap().push(Notice { id, result, at: Instant::now() });
            }
            if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
        }
    }

    fn watch(&self, mut stream: &TcpStream, request: &Http) {
        let index = request.line.split_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0u64);
        let (sender, lines): (Sender<String>, Receiver<String>) = channel();
        {
            let list = self.list.lock().unwrap();
            for (revision, members) in self.changes.lock().unwrap().iter().filter(|c| c.0 > index) {
                let _ = sender.send(list_text(*revision, false, members));
            }
            self.watches.lock().unwrap().push(sender);
            drop(list);
        }
        let mut open = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok();
        while open {
            let line = match lines.recv_timeout(ms(2_000)) {
                Ok(line) => line + "\n",
                Err(RecvTimeoutError::Timeout) => "\n".to_owned(),
                Err(_) => return,
            };
            open = write!(stream, "{:x}\r\n{line}\r\n", line.len()).is_ok();
        }
    }

    /// The results of the notices for a message.
    pub fn notices_for(&self, id: &str) -> Vec<String> {
        self.notices.lock().unwrap().iter().filter(|n| n.id == id).map(|n| n.result.clone()).collect()
    }
}

/// An entry of the list.
pub fn member(id: &str, address: SocketAddr, dest: u64, kind: &str, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"hall-a\",\"flavor\":\"{kind}\",\
         \"cell\":{dest},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// The classes of the site.
pub const STATUS_UPDATE: &str = r#"{"name":"status-update","effect":"idempotent","sloS":1.0,"deadlineS":6.0,"worth":1.0,"lateShare":0.0,"memorySpanS":5.0,"group":"all","streaming":false}"#;
pub const ORDER_PAYMENT: &str = r#"{"name":"order-payment","effect":"at_most_once","sloS":2.0,"deadlineS":24.0,"worth":3.0,"lateShare":0.3,"memorySpanS":5.0,"group":"all","streaming":false}"#;

/// What a configuration of a sender says besides the site's settings.
#[derive(Clone)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub discovery: SocketAddr,
    pub members: Vec<String>,
    pub classes: Vec<String>,
    pub sockets: u32,
    pub slots: u32,
    pub extra: String,
}

impl Deployment {
    /// The text of the configuration, with the settings of the site for one sender.
    pub fn text(&self) -> String {
        let Self { name, listen, admin, discovery, members, classes, sockets, slots, extra } = self;
        let (members, classes) = (members.join(",\n  "), classes.join(",\n   "));
        format!(
            r#"{{"name":"{name}","listen":"{listen}","admin_addr":"{admin}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets},"disk_mb":16}},"peers":[],{extra}
 "known":{{"revision":41,"complete":true,"members":[{members}]}},
 "settings":{{
  "bounds":{{"cancelling":true,"connIdleS":5.0,"connectTimeoutS":1.5,"maxAttempts":8,"maxRetryAfterS":2.0,"mayProbe":false,
   "mostHeld":230,"multiplex":1,"parallelTries":true,"peerMessages":false,"retryAfter":true}},
  "classes":[{classes}],
  "clients":{{"marksRetry":true}},"discovery":"ask","domainType":"deliver",
  "familyInfo":{{"bundleMax":[20,1],"fades":"by_half","kindApart":[true,false],"refusedPrice":0.05,"slots":{slots}}},
  "kinds":["chain-partner","small-shop"],"locality":"hall-a","me":0,"overShareWorth":0.2,
  "parties":[{{"allowancePerS":24.0,"name":"gradnja-jug","share":1.0}}],
  "prices":{{"connection":0.0,"crossZone":0.01,"handshake":0.06,"lateFail":0.02,"peer":0.01,"waste":0.08}},
  "safety":{{"askWithinS":10.0,"coldS":9.2,"graceToAnswerS":0.02,"overloadFactor":2.0,"startCapacity":0.17,"stopSendingWithinS":1.0,"tipAfterS":2.0}},
  "siblings":1,"tickS":0.005,"tier":0,"valueBy":"request","weightSource":"none","zones":["hall-a","hall-b","hall-c"]}}}}
"#
        )
    }
}

/// Returns an address that nothing listens on at present.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
    listener.local_addr().unwrap()
}

/// The temporary folder of the case.
pub fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| fail("WORK is not set")))
}

/// A sender process, started with the command `run` of the deploy file.
pub struct SenderProcess {
    child: Child,
    pub pid: i32,
}

impl SenderProcess {
    /// Starts a process. `variables` come in addition to those of the platform.
    pub fn start(folder: &Path, deployment: &Deployment, variables: &[(&str, String)]) -> Self {
        Self::start_with_listener(folder, deployment, variables, None)
    }

    /// Starts a process that inherits the clients' listening socket as descriptor 4, if there is one.
    pub fn start_with_listener(
        folder: &Path,
        deployment: &Deployment,
        variables: &[(&str, String)],
        listener: Option<&TcpListener>,
    ) -> Self {
        let command = std::env::var("RUN_COMMAND").unwrap_or_else(|_| fail("RUN_COMMAND is not set"));
        for sub in ["state", "tmp"] {
            fs::create_dir_all(folder.join(sub)).unwrap_or_else(|e| fail(&e.to_string()));
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log"));
        let log = log.unwrap_or_else(|e| fail(&e.to_string()));
        let mut command_line = Command::new("/bin/sh");
        // The process ends with this program, however that ends. In the child, between fork and exec: this call.
        const PR_SET_PDEATHSIG: i32 = 1;
        unsafe {
            command_line.pre_exec(|| {
                c::prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        if let Some(listener) = listener {
            let descriptor = listener.as_raw_fd();
            command_line.env("BALANCER_ACCEPT_FD", "4");
            // In the child, between fork and exec: only this call.
            unsafe {
                command_line.pre_exec(move || {
                    (c::dup2(descriptor, 4) == 4).then_some(()).ok_or_else(std::io::Error::last_os_error)
                });
            }
        }
        let child = command_line
            .arg("-c")
            .arg(command)
            .env("BALANCER_NAME", &deployment.name)
            .env("BALANCER_LISTEN", deployment.listen.to_string())
            .env("BALANCER_DISCOVERY", deployment.discovery.to_string())
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .env("BALANCER_STATE", folder.join("state"))
            .env("TMPDIR", folder.join("tmp"))
            .envs(variables.iter().map(|(n, v)| (*n, v.clone())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| fail(&e.to_string()));
        let pid = child.id() as i32;
        // The script ends these if this program is ended before it can.
        if let Ok(mut pids) = fs::OpenOptions::new().create(true).append(true).open(work_folder().join("pids")) {
            let _ = writeln!(pids, "{pid}");
        }
        Self { child, pid }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { c::kill(self.pid, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_some())
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the configuration of a sender, as a whole.
pub fn write_config(folder: &Path, text: &str) {
    let new = folder.join("config.new");
    fs::create_dir_all(folder).and_then(|()| fs::write(&new, text)).unwrap_or_else(|e| fail(&e.to_string()));
    fs::rename(new, folder.join("config.json")).unwrap_or_else(|e| fail(&e.to_string()));
}

/// Whether the sender answers `GET /up` with 200.
pub fn is_up(address: SocketAddr) -> bool {
    request(address, "GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n", ms(400))
        .is_some_and(|r| r.line == "200")
}

/// Makes one request on a new connection.
pub fn request(address: SocketAddr, text: &str, limit: Duration) -> Option<Http> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_read_timeout(Some(limit));
    (&stream).write_all(text.as_bytes()).ok()?;
    read_http(&mut BufReader::new(&stream))
}

/// Returns the head of a request that hands in a message.
pub fn head(id: &str, class: &str, dest: u64, timeout: Duration, body: usize) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: gradnja-jug\r\nX-Timeout-Ms: {}\r\nContent-Length: {body}\r\nX-Envelope: dest={dest}\r\n\r\n",
        timeout.as_millis()
    )
}

/// Hands in a message in one piece, on a new connection, and waits 400 ms for the answer. Returns its status.
pub fn hand_in(sender: SocketAddr, id: &str, class: &str, dest: u64, timeout: Duration, body: &[u8]) -> Option<u16> {
    write_request(sender, head(id, class, dest, timeout, body.len()), body)
}

/// The same for a message that comes again after a refusal.
pub fn hand_in_again(sender: SocketAddr, id: &str, class: &str, dest: u64, timeout: Duration, body: &[u8]) -> Option<u16> {
    let head = head(id, class, dest, timeout, body.len());
    write_request(sender, head.replace("X-Envelope", "X-Retried: 1\r\nX-Envelope"), body)
}

fn write_request(sender: SocketAddr, head: String, body: &[u8]) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&sender, ms(400)).ok()?;
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(ms(400))));
    let mut text = head.into_bytes();
    text.extend(body);
    (&stream).write_all(&text).ok()?;
    let status = read_http(&mut BufReader::new(&stream)).and_then(|r| r.line.parse().ok());
    let _ = stream.shutdown(Shutdown::Both);
    status
}
