//! The environment of the program in the tests: endpoints, the platform and clients, all on loopback sockets.
//! Tests wait for conditions; the time limit only makes a failing test end.

use notchpoint_faults::{Fault, FaultController};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The control file of the fault shim, in the folder of a sender that faults are injected into.
const FAULT_FILE: &str = "faults";
/// How long `Client::try_submit` waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// The accept backlog of a reserved address that starts to listen.
const ACCEPT_BACKLOG: i32 = 128;
/// How long a test waits for a condition before it fails.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Waits until a condition holds, and fails the test with `what` if it does not within `WAIT_LIMIT`.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "the condition was not met in {WAIT_LIMIT:?}: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A request or a response that was read.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// `METHOD path` of a request, or the status code of a response.
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub received_at: Instant,
    /// The number of the connection, in the order in which the endpoint accepted them.
    pub connection: usize,
}

impl HttpMessage {
    /// Returns a header's value; empty if the header is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.parse().expect("the status is a number")
    }

    /// Returns the ids of a batch's messages, in their order.
    pub fn ids(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter(|l| l.contains(" - ")).map(|l| l[..16].to_owned()).collect()
    }
}

/// Reads a request or a response. Returns `None` if the connection ends before its last byte.
pub fn read_message(from: &mut impl BufRead, connection: usize) -> Option<HttpMessage> {
    let mut first = String::new();
    from.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut words = first.split_whitespace();
    let (first_word, second_word) = (words.next()?.to_owned(), words.next()?.to_owned());
    let line =
        if first_word.starts_with("HTTP/") { second_word } else { format!("{first_word} {second_word}") };
    let mut headers = BTreeMap::new();
    loop {
        let mut text = String::new();
        from.read_line(&mut text).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = text.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(HttpMessage { line, headers, body, received_at: Instant::now(), connection })
}

/// Returns a reply with this status line, these header lines and this body.
pub fn response(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Respond(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()))
}

/// Returns the text of a response with the announcement that the connection is closed after it.
pub fn announce_close(response: &str) -> String {
    response.replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

/// What an endpoint does with a call. Texts are written as they are, but that a request which asks for the
/// end of its connection gets a response that announces it, and the connection is closed.
pub enum Reply {
    Respond(String),
    /// Writes the text and closes the connection.
    RespondAndClose(String),
    /// Writes the text after this time.
    RespondAfter(Duration, String),
    /// Writes the first text, and the second 50 ms later.
    RespondTwice(String, String),
    /// Writes nothing and keeps the connection open.
    Hang,
    /// Closes the connection without a response.
    Close,
}

pub type RequestLog = Arc<Mutex<Vec<HttpMessage>>>;

/// An address that refuses connects and that no other socket is given. A listener may still be bound to it:
/// both sockets have `SO_REUSEADDR`, and this one does not listen.
pub struct ReservedAddress {
    socket: socket2::Socket,
    pub address: SocketAddr,
}

impl ReservedAddress {
    pub fn new() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("the option is set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        let address = socket.local_addr().expect("it is bound").as_socket().expect("an IP address");
        Self { socket, address }
    }

    /// Listens, so that connects succeed, and returns the listener.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(ACCEPT_BACKLOG).expect("it listens");
        self.socket.into()
    }
}

/// An address whose accept queue is full, so that connects to it stay pending.
pub struct Unreachable {
    listener: socket2::Socket,
    pub address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl Unreachable {
    pub fn new() -> Self {
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("the socket listens");
        let address =
            listener.local_addr().expect("the socket has an address").as_socket().expect("an IP address");
        let mut queued = vec![TcpStream::connect(address).expect("the queue has room for a connection")];
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        Self { listener, address, queued }
    }

    /// Returns whether a connect to the address is pending: the system's table of TCP sockets has one in the
    /// state SYN-SENT.
    pub fn has_pending_connect(&self) -> bool {
        let (port, table) =
            (format!(":{:04X} 02 ", self.address.port()), std::fs::read_to_string("/proc/net/tcp"));
        table.expect("the table of TCP sockets is readable").contains(&port)
    }

    /// Empties the accept queue, so that connects succeed, and returns the listener.
    pub fn into_listener(self) -> TcpListener {
        drop(self.queued);
        self.listener.into()
    }
}

/// A partner's endpoint. The test's handler decides what it does with each call.
pub struct Endpoint {
    pub address: SocketAddr,
    pub requests: RequestLog,
    /// How many connections have been closed by either side.
    pub closed_connections: Arc<Mutex<usize>>,
    /// How often the second text of `Reply::RespondTwice` was written.
    pub late_responses: Arc<Mutex<usize>>,
}

impl Endpoint {
    pub fn new(handler: impl FnMut(&HttpMessage) -> Reply + Send + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a free port"), handler)
    }

    pub fn on(listener: TcpListener, handler: impl FnMut(&HttpMessage) -> Reply + Send + 'static) -> Self {
        let address = listener.local_addr().expect("the socket has an address");
        let (requests, closed_connections, late_responses) =
            (RequestLog::default(), Arc::<Mutex<usize>>::default(), Arc::default());
        let (log, closed, handler) =
            (requests.clone(), closed_connections.clone(), Arc::new(Mutex::new(handler)));
        let late_count: Arc<Mutex<usize>> = Arc::clone(&late_responses);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (log, closed, handler) = (log.clone(), closed.clone(), handler.clone());
                let late = late_count.clone();
                thread::spawn(move || {
                    let Ok(stream) = stream else { return };
                    let mut reader = BufReader::new(&stream);
                    while let Some(request) = read_message(&mut reader, number) {
                        log.lock().expect("not poisoned").push(request.clone());
                        let reply = (handler.lock().expect("not poisoned"))(&request);
                        let closes = request.header("connection") == "close";
                        let write = |text: &str| match closes {
                            true => (&stream).write_all(announce_close(text).as_bytes()),
                            false => (&stream).write_all(text.as_bytes()),
                        };
                        let written = match &reply {
                            Reply::Respond(text) | Reply::RespondAndClose(text) => write(text),
                            Reply::RespondAfter(span, text) => {
                                thread::sleep(*span);
                                write(text)
                            }
                            Reply::RespondTwice(first, later) => {
                                let written = write(first);
                                thread::sleep(Duration::from_millis(50));
                                let written = written.and_then(|()| (&stream).write_all(later.as_bytes()));
                                *late.lock().expect("not poisoned") += 1;
                                written
                            }
                            Reply::Hang => continue,
                            Reply::Close => break,
                        };
                        if written.is_err() || closes || matches!(reply, Reply::RespondAndClose(_)) {
                            break;
                        }
                    }
                    drop(stream);
                    *closed.lock().expect("not poisoned") += 1;
                });
            }
        });
        Self { address, requests, closed_connections, late_responses }
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.requests.lock().expect("not poisoned").len()
    }

    /// Waits for the call with this number, counted from 0, and returns it.
    pub fn call(&self, n: usize) -> HttpMessage {
        wait_until("a call", || self.calls() > n);
        self.requests.lock().expect("not poisoned")[n].clone()
    }
}

/// The platform: the discovery service, which the watches are opened at, and the receiver of notices.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    /// The lines of all notices received.
    pub notices: Arc<Mutex<Vec<String>>>,
    /// How many of the next requests with notices are rejected with 503.
    pub notices_to_reject: Arc<Mutex<usize>>,
    /// The open watches; each line that is sent to one is written to its stream.
    pub watches: Arc<Mutex<Vec<Sender<String>>>>,
    /// The published changes by revision; a watch that starts below a revision receives that change first.
    changes: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Platform {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let platform = Self {
            address: listener.local_addr().expect("the socket has an address"),
            notices: Arc::default(),
            notices_to_reject: Arc::default(),
            watches: Arc::default(),
            changes: Arc::default(),
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

    fn serve(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, 0) {
            if request.line.starts_with("GET ") {
                let (sender, lines) = channel();
                let index = request.line.split_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
                let mut watches = self.watches.lock().expect("not poisoned");
                let missed = self.changes.lock().expect("not poisoned").clone();
                for (_, line) in missed.into_iter().filter(|(revision, _)| *revision > index) {
                    let _ = sender.send(line);
                }
                watches.push(sender);
                drop(watches);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut is_open = stream.write_all(head.as_bytes()).is_ok();
                while is_open {
                    // While nothing changes, an empty line is the heartbeat.
                    let line = match lines.recv_timeout(Duration::from_secs(1)) {
                        Ok(line) => line + "\n",
                        Err(std::sync::mpsc::RecvTimeoutError::Timeout) => "\n".to_owned(),
                        Err(_) => return,
                    };
                    is_open = write!(stream, "{:x}\r\n{line}\r\n", line.len()).is_ok();
                }
                return;
            }
            let asks_to_close = request.header("connection") == "close";
            let is_rejected = {
                let mut left = self.notices_to_reject.lock().expect("not poisoned");
                let is_rejected = *left > 0;
                *left -= usize::from(is_rejected);
                is_rejected
            };
            if !is_rejected {
                let text = String::from_utf8(request.body).expect("the text is UTF-8");
                self.notices.lock().expect("not poisoned").extend(text.lines().map(str::to_owned));
            }
            let status = if is_rejected { "503 No" } else { "204 Fine" };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            if asks_to_close {
                let _ = stream.write_all(announce_close(&answer).as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends a change of the endpoint list to all watches.
    pub fn publish(&self, revision: u64, members: &[String]) {
        wait_until("a watch", || !self.watches.lock().expect("not poisoned").is_empty());
        let line =
            format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}", members.join(","));
        let mut watches = self.watches.lock().expect("not poisoned");
        self.changes.lock().expect("not poisoned").push((revision, line.clone()));
        watches.retain(|w| w.send(line.clone()).is_ok());
    }

    /// Sends a change to all watches in a form that cannot be parsed. A watch that starts below its revision
    /// receives the valid form.
    pub fn publish_malformed(&self, revision: u64, members: &[String]) {
        wait_until("a watch", || !self.watches.lock().expect("not poisoned").is_empty());
        let line =
            format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}", members.join(","));
        let malformed = line.replace("\"cell\":", "\"cell\":x");
        let mut watches = self.watches.lock().expect("not poisoned");
        self.changes.lock().expect("not poisoned").push((revision, line));
        watches.retain(|w| w.send(malformed.clone()).is_ok());
    }

    /// Waits for the notice for a message and returns it.
    pub fn notice(&self, id: u64) -> String {
        let found = || {
            let notices = self.notices.lock().expect("not poisoned");
            notices.iter().find(|n| n.contains(&format!("{id:016x}"))).cloned()
        };
        wait_until("a notice", || found().is_some());
        found().expect("the notice has arrived")
    }

    /// Returns whether the platform has received a notice for a message.
    pub fn has_notice(&self, id: u64) -> bool {
        self.notices.lock().expect("not poisoned").iter().any(|n| n.contains(&format!("{id:016x}")))
    }
}

/// Returns an endpoint's entry in the list.
pub fn member(id: &str, address: SocketAddr, kind: &str, dest: u64, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"flavor\":\"{kind}\",\
         \"cell\":{dest},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// Returns a change of the configuration that sets the address of the discovery service.
pub fn with_discovery(address: &str) -> impl Fn(String) -> String {
    move |text| {
        let (before, rest) =
            text.split_once("\"discovery\": \"").expect("the configuration has a discovery address");
        let (_, after) = rest.split_once('"').expect("the configuration has a discovery address");
        format!("{before}\"discovery\": \"{address}\"{after}")
    }
}

/// Adds the class `keyed` to a configuration, with a deduplication window of two seconds.
pub fn with_deduplicated_class(text: String) -> String {
    let keyed = r#""classes": [{"name": "keyed", "effect": "deduplicated", "group": "all", "memorySpanS": 2.0,
        "sloS": 1.0, "deadlineS": 60.0, "worth": 1.0},"#;
    text.replace("\"classes\": [", keyed)
}

/// A sender: a process of the program, with its folder. It is killed when dropped.
pub struct Node {
    pub folder: tempfile::TempDir,
    pub platform: Platform,
    pub address: SocketAddr,
    /// The operators' address.
    pub admin: SocketAddr,
    /// The clients' socket, if the test holds it.
    client_listener: Option<TcpListener>,
    child: Child,
}

impl Node {
    /// Starts a sender whose initial list has these entries; `change` edits its configuration.
    pub fn new(members: &[String], change: impl Fn(String) -> String) -> Self {
        Self::with_operator(members, change, None)
    }

    /// Starts a sender that inherits its clients' socket from the test, so that processes can hand over.
    pub fn with_inherited_socket(members: &[String]) -> Self {
        Self::with_inherited_socket_and_config(members, |text| text)
    }

    /// The same with a changed configuration.
    pub fn with_inherited_socket_and_config(members: &[String], change: impl Fn(String) -> String) -> Self {
        Self::build(members, change, None, true)
    }

    /// Starts a sender whose system calls can be made to fail, and returns the controller of the faults. They
    /// stay in force over restarts.
    pub fn with_faults(members: &[String], change: impl Fn(String) -> String) -> (Self, FaultController) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let faults =
            FaultController::create(&folder.path().join(FAULT_FILE)).expect("the control file is created");
        (Self::build_in(folder, members, change, None, false), faults)
    }

    /// Starts a sender that inherits its clients' socket and whose system calls can be made to fail.
    pub fn with_inherited_socket_and_faults(members: &[String]) -> (Self, FaultController) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let faults =
            FaultController::create(&folder.path().join(FAULT_FILE)).expect("the control file is created");
        (Self::build_in(folder, members, |text| text, None, true), faults)
    }

    /// Starts a sender that inherits its clients' socket and that, for `span` from its start, fails to create
    /// sockets of its own with a probability of `per_mille`.
    pub fn with_inherited_socket_and_failing_sockets(
        members: &[String],
        per_mille: u32,
        span: Duration,
    ) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let faults =
            FaultController::create(&folder.path().join(FAULT_FILE)).expect("the control file is created");
        faults.fail(Fault::Socket, libc::ENFILE, per_mille).expect("the fault is set");
        thread::spawn(move || {
            thread::sleep(span);
            faults.clear().expect("the faults are cleared");
        });
        Self::build_in(folder, members, |text| text, None, true)
    }

    /// Starts a sender with an operator's file, in which FOLDER stands for a folder beside the state.
    pub fn with_operator(
        members: &[String],
        change: impl Fn(String) -> String,
        operator: Option<&str>,
    ) -> Self {
        Self::build(members, change, operator, false)
    }

    fn build(
        members: &[String],
        change: impl Fn(String) -> String,
        operator: Option<&str>,
        inherits_socket: bool,
    ) -> Self {
        Self::build_in(
            tempfile::tempdir().expect("a temporary folder"),
            members,
            change,
            operator,
            inherits_socket,
        )
    }

    fn build_in(
        folder: tempfile::TempDir,
        members: &[String],
        change: impl Fn(String) -> String,
        operator: Option<&str>,
        inherits_socket: bool,
    ) -> Self {
        let platform = Platform::new();
        let text = include_str!("config.json")
            .replace("DISCOVERY", &platform.address.to_string())
            .replace("MEMBERS", &members.join(","));
        std::fs::create_dir(folder.path().join("state")).expect("the folder is created");
        std::fs::write(folder.path().join("config.json"), change(text)).expect("the file is written");
        if let Some(text) = operator {
            let text = text.replace("FOLDER", &folder.path().join("recording").display().to_string());
            std::fs::write(folder.path().join("operator.toml"), text).expect("the file is written");
        }
        let client_listener = inherits_socket.then(|| TcpListener::bind("127.0.0.1:0").expect("a free port"));
        let (child, address, admin) = start(&folder, client_listener.as_ref());
        let node = Self { folder, platform, address, admin, client_listener, child };
        assert_eq!(node.request("GET /up", &[], b"").status(), 200);
        node
    }

    /// Kills the process with SIGKILL and starts it again.
    pub fn restart(&mut self) {
        self.kill();
        // Changes from here on are sent only to the new process's watch.
        self.platform.watches.lock().expect("not poisoned").clear();
        self.start_again();
    }

    /// Starts the process again, after it has ended.
    pub fn start_again(&mut self) {
        (self.child, self.address, self.admin) = start(&self.folder, self.client_listener.as_ref());
    }

    /// Starts the process and sends it these signals once it logs a line that contains this text. Returns
    /// whether it then exits with success.
    pub fn start_and_signal_at(&mut self, text: &str, signals: &[&str]) -> bool {
        self.child =
            command(&self.folder, self.client_listener.as_ref()).spawn().expect("the program starts");
        self.signal_at_log_line(text, signals)
    }

    /// Sends these signals once the process logs a line that contains this text, and waits for its exit.
    /// Returns whether it exits with success.
    fn signal_at_log_line(&mut self, text: &str, signals: &[&str]) -> bool {
        let mut lines = BufReader::new(self.child.stdout.take().expect("the output is piped")).lines();
        while !lines.next().expect("the text is logged").expect("the output is UTF-8").contains(text) {}
        signals.iter().for_each(|signal| self.signal(signal));
        thread::spawn(move || lines.for_each(drop));
        self.exited_cleanly()
    }

    /// Starts a successor beside the running process and sends it these signals once it logs a line that
    /// contains this text. Returns whether it then exits with success.
    pub fn start_successor_and_signal_at(&mut self, text: &str, signals: &[&str]) -> bool {
        let child = command(&self.folder, self.client_listener.as_ref()).spawn().expect("the program starts");
        let predecessor = std::mem::replace(&mut self.child, child);
        let is_clean_exit = self.signal_at_log_line(text, signals);
        self.child = predecessor;
        is_clean_exit
    }

    /// Starts a successor beside the running process, kills it at the first log line that contains one of
    /// these texts, and returns the line.
    pub fn successor_log_line(&self, texts: &[&str]) -> String {
        let mut child =
            command(&self.folder, self.client_listener.as_ref()).spawn().expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("the output is piped")).lines();
        let mut log = lines.map(|line| line.expect("the output is UTF-8"));
        let found = log
            .find(|line| texts.iter().any(|text| line.contains(text)))
            .expect("the process logs one of these texts");
        child.kill().expect("the process runs");
        child.wait().expect("the process has ended");
        found
    }

    /// Starts a successor beside the running process, and returns the predecessor once the successor is
    /// ready.
    pub fn hand_over(&mut self) -> Predecessor {
        let (child, address, admin) = start(&self.folder, self.client_listener.as_ref());
        assert_eq!(address, self.address, "both processes use the same socket");
        let predecessor =
            Predecessor(std::mem::replace(&mut self.child, child), std::mem::replace(&mut self.admin, admin));
        wait_until("the successor answers operators", || self.admin_request("GET /status").status() == 200);
        predecessor
    }

    /// Starts a successor beside the running process and kills it after this time.
    pub fn start_and_kill_successor(&self, after: Duration) {
        let mut child =
            command(&self.folder, self.client_listener.as_ref()).spawn().expect("the program starts");
        thread::sleep(after);
        child.kill().expect("the process runs");
        child.wait().expect("the process has ended");
    }

    /// Makes the predecessor the running process again, after its successor was killed.
    pub fn continue_with(&mut self, mut predecessor: Predecessor) {
        std::mem::swap(&mut self.child, &mut predecessor.0);
        self.admin = predecessor.1;
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process has ended");
    }

    /// Limits the number of descriptors of the process.
    pub fn limit_descriptors(&self, limit: usize) {
        let args = [format!("--pid={}", self.child.id()), format!("--nofile={limit}:{limit}")];
        assert!(Command::new("prlimit").args(args).status().expect("prlimit runs").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).expect("the file is written");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the folder of the sender. All of its processes have it as `TMPDIR`.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub fn config(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("config.json")).expect("the file is readable")
    }

    /// Waits for the exit of the process, and returns whether it was successful.
    pub fn exited_cleanly(&mut self) -> bool {
        wait_until("the process exits", || {
            self.child.try_wait().expect("the exit status is available").is_some()
        });
        self.child.wait().expect("the exit status is available").success()
    }

    /// Sends an operator's request and returns the response.
    pub fn admin_request(&self, line: &str) -> HttpMessage {
        Client::new(self.admin).request(line, &[], b"")
    }

    /// Sends a request on a new connection to the clients' address and returns the response.
    pub fn request(&self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> HttpMessage {
        Client::new(self.address).request(line, headers, body)
    }

    /// Submits a message on a new connection and returns the response.
    pub fn submit(&self, class: &str, id: u64, dest: u64, timeout_ms: u64, body: &[u8]) -> HttpMessage {
        Client::new(self.address).submit(class, id, dest, timeout_ms, body)
    }

    /// Submits a message that expires before it can be sent, and waits for its notice. A request whose time
    /// is over before the message is recorded is refused with 503; it is repeated.
    pub fn expire_message(&self, class: &str, id: u64) {
        wait_until("a message that is accepted and expires", || {
            let status = self.submit(class, id, 3, 1, b"x").status();
            assert!(status == 202 || status == 503, "{status}");
            status == 202
        });
        self.platform.notice(id);
    }

    /// Returns the path of the store's first log file.
    pub fn log_path(&self) -> std::path::PathBuf {
        self.folder.path().join("state/0000000001.log")
    }
}

/// A process that has handed over to a successor, and its operators' address.
pub struct Predecessor(pub Child, pub SocketAddr);

impl Predecessor {
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    /// Waits for the exit of the process, and returns whether it was successful.
    pub fn exited_cleanly(&mut self) -> bool {
        wait_until("the process exits", || {
            self.0.try_wait().expect("the exit status is available").is_some()
        });
        self.0.wait().expect("the exit status is available").success()
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.0.try_wait().expect("the exit status is available").is_some()
    }
}

impl Drop for Predecessor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(folder: &tempfile::TempDir, client_listener: Option<&TcpListener>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_notchpoint"));
    let operator = folder.path().join("operator.toml");
    if operator.exists() {
        command.arg("--operator").arg(operator);
    }
    let faults = folder.path().join(FAULT_FILE);
    if faults.exists() {
        notchpoint_faults::preload(&faults, &mut command).expect("the fault shim is built");
    }
    if let Some(client_listener) = client_listener {
        // The platform passes descriptor 4; a test can pass the standard input without unsafe code.
        let socket: std::os::fd::OwnedFd =
            client_listener.try_clone().expect("the descriptor is duplicated").into();
        command.stdin(Stdio::from(socket)).env("BALANCER_ACCEPT_FD", "0");
    }
    command
        .env("TMPDIR", folder.path())
        .env("BALANCER_CONFIG", folder.path().join("config.json"))
        .env("BALANCER_STATE", folder.path().join("state"))
        .stdout(Stdio::piped());
    command
}

/// Starts the program, and returns the process, its clients' address and its operators' address once it
/// listens.
fn start(
    folder: &tempfile::TempDir,
    client_listener: Option<&TcpListener>,
) -> (Child, SocketAddr, SocketAddr) {
    let mut child = command(folder, client_listener).spawn().expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("the output is piped")).lines();
    let mut admin = None;
    let address = loop {
        let line = lines.next().expect("the process logs the expected line").expect("the output is UTF-8");
        if let Some((_, at)) = line.split_once("operators at ") {
            admin = at.parse().ok();
        }
        if let Some((_, address)) = line.split_once("listening on ") {
            break address.parse().expect("a valid address");
        }
    };
    // The rest of the output is read, so that the process never blocks on a full pipe.
    thread::spawn(move || lines.for_each(drop));
    (child, address, admin.expect("the operators' address was logged before"))
}

/// A client with one connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the connection is accepted");
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("the read timeout is set");
        Self(BufReader::new(stream))
    }

    /// Sends a request without reading the response.
    pub fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) {
        let mut text = format!("{line} HTTP/1.1\r\nHost: api.internal\r\nContent-Length: {}\r\n", body.len());
        headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
        let bytes = [text.as_bytes(), b"\r\n", body].concat();
        // A response may arrive before all is written.
        let _ = self.0.get_mut().write_all(&bytes);
    }

    /// Sends a request and returns the response.
    pub fn request(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> HttpMessage {
        self.send(line, headers, body);
        self.read_response()
    }

    /// Reads one response.
    pub fn read_response(&mut self) -> HttpMessage {
        read_message(&mut self.0, 0).expect("the response is complete")
    }

    /// Submits a message and returns the response.
    pub fn submit(&mut self, class: &str, id: u64, dest: u64, timeout_ms: u64, body: &[u8]) -> HttpMessage {
        let (id, timeout, dest) = (format!("{id:016x}"), timeout_ms.to_string(), format!("dest={dest}"));
        let headers = headers(&id, class, &timeout, &dest);
        self.request(&format!("POST /{class}"), &headers, body)
    }

    /// Submits a message. Returns the status, or `None` if the connection ends without a response or 400 ms
    /// pass.
    pub fn try_submit(
        &mut self,
        class: &str,
        id: u64,
        dest: u64,
        timeout_ms: u64,
        body: &[u8],
    ) -> Option<u16> {
        self.0.get_ref().set_read_timeout(Some(CLIENT_TIMEOUT)).expect("the read timeout is set");
        let (id, timeout, dest) = (format!("{id:016x}"), timeout_ms.to_string(), format!("dest={dest}"));
        self.send(&format!("POST /{class}"), &headers(&id, class, &timeout, &dest), body);
        read_message(&mut self.0, 0).map(|response| response.status())
    }

    /// Writes these bytes to the connection.
    pub fn write_raw(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the bytes are written");
    }

    /// Reads until the other side closes the connection.
    pub fn read_to_close(&mut self) -> String {
        let mut received = Vec::new();
        if let Err(e) = self.0.read_to_end(&mut received) {
            assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "the connection was not closed");
        }
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Waits for a byte or the end of the connection, and returns whether the other side has closed it.
    pub fn is_closed(&mut self) -> bool {
        self.0.read(&mut [0; 1]).is_ok_and(|n| n == 0)
    }
}

/// Returns the headers of a message with this time in milliseconds.
pub fn headers<'a>(id: &'a str, class: &'a str, timeout: &'a str, dest: &'a str) -> [(&'a str, &'a str); 5] {
    let (tenant, class) = (("X-Tenant-Id", "acme"), ("X-Priority-Class", class));
    [("X-Request-ID", id), class, tenant, ("X-Timeout-Ms", timeout), ("X-Envelope", dest)]
}
