//! What stands round the program in the tests: endpoints, the platform, clients, all on loopback sockets.
//! It waits on conditions; the one time limit is only there so that a failing test ends.

use notchpoint_faults::{Fault, FaultController};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The control file of the fault shim, where a test injects faults.
const FAULTS: &str = "faults";
/// A client waits so long for an answer.
const PATIENCE: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(60);

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LIMIT, "never came: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[derive(Clone, Debug)]
pub struct Heard {
    /// `METHOD path` of a request, the status of an answer.
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub at: Instant,
    pub connection: usize,
}

impl Heard {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.parse().expect("a status")
    }

    /// The ids of a batch's messages, in their order.
    pub fn ids(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter(|l| l.contains(" - ")).map(|l| l[..16].to_owned()).collect()
    }
}

/// Reads a request or an answer; nothing where the connection ends before its last byte.
fn hear(from: &mut impl BufRead, connection: usize) -> Option<Heard> {
    let mut first = String::new();
    from.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut words = first.split_whitespace();
    let (a, b) = (words.next()?.to_owned(), words.next()?.to_owned());
    let line = if a.starts_with("HTTP/") { b } else { format!("{a} {b}") };
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
    Some(Heard { line, headers, body, at: Instant::now(), connection })
}

pub fn answer(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Say(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()))
}

pub enum Reply {
    Say(String),
    /// Says it and ends the connection.
    Last(String),
    /// Says it after a while.
    After(Duration, String),
    /// Says one thing, and another a little later.
    Twice(String, String),
    /// Keeps silent, with the connection open.
    Hang,
    Cut,
}

pub type Log = Arc<Mutex<Vec<Heard>>>;

/// An address whose queue of connections is full: what is dialed there is not answered.
pub struct Unreachable {
    listener: socket2::Socket,
    pub address: SocketAddr,
    held: Vec<TcpStream>,
}

impl Unreachable {
    pub fn new() -> Self {
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        listener.listen(0).expect("it listens");
        let address = listener.local_addr().expect("one").as_socket().expect("one");
        let mut held = vec![TcpStream::connect(address).expect("the queue takes one")];
        while let Ok(one) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            held.push(one);
        }
        Self { listener, address, held }
    }

    /// Some connection to it waits to come up: the system's table has one in the state SYN-SENT.
    pub fn is_dialed(&self) -> bool {
        let (port, table) =
            (format!(":{:04X} 02 ", self.address.port()), std::fs::read_to_string("/proc/net/tcp"));
        table.expect("the system's table").contains(&port)
    }

    /// It can be reached from now on.
    pub fn listen(self) -> TcpListener {
        drop(self.held);
        self.listener.into()
    }
}

/// A partner's endpoint. It does what the test says, call by call.
pub struct Endpoint {
    pub address: SocketAddr,
    pub heard: Log,
    pub closed: Arc<Mutex<usize>>,
    /// How often something was said later.
    pub late: Arc<Mutex<usize>>,
}

impl Endpoint {
    pub fn new(does: impl FnMut(&Heard) -> Reply + Send + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a port"), does)
    }

    pub fn on(listener: TcpListener, does: impl FnMut(&Heard) -> Reply + Send + 'static) -> Self {
        let address = listener.local_addr().expect("an address");
        let (heard, closed, late) = (Log::default(), Arc::<Mutex<usize>>::default(), Arc::default());
        let (log, ends, does) = (heard.clone(), closed.clone(), Arc::new(Mutex::new(does)));
        let told_late: Arc<Mutex<usize>> = Arc::clone(&late);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (log, ends, does) = (log.clone(), ends.clone(), does.clone());
                let late = told_late.clone();
                thread::spawn(move || {
                    let Ok(stream) = stream else { return };
                    let mut reader = BufReader::new(&stream);
                    while let Some(request) = hear(&mut reader, number) {
                        log.lock().expect("sound").push(request.clone());
                        let reply = (does.lock().expect("sound"))(&request);
                        let said = match &reply {
                            Reply::Say(text) | Reply::Last(text) => (&stream).write_all(text.as_bytes()),
                            Reply::After(span, text) => {
                                thread::sleep(*span);
                                (&stream).write_all(text.as_bytes())
                            }
                            Reply::Twice(first, later) => {
                                let said = (&stream).write_all(first.as_bytes());
                                thread::sleep(Duration::from_millis(50));
                                let said = said.and_then(|()| (&stream).write_all(later.as_bytes()));
                                *late.lock().expect("sound") += 1;
                                said
                            }
                            Reply::Hang => continue,
                            Reply::Cut => break,
                        };
                        if said.is_err() || matches!(reply, Reply::Last(_)) {
                            break;
                        }
                    }
                    drop(stream);
                    *ends.lock().expect("sound") += 1;
                });
            }
        });
        Self { address, heard, closed, late }
    }

    pub fn calls(&self) -> usize {
        self.heard.lock().expect("sound").len()
    }

    pub fn call(&self, n: usize) -> Heard {
        until("a call", || self.calls() > n);
        self.heard.lock().expect("sound")[n].clone()
    }
}

/// Discovery and the place for notices.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<String>>>,
    /// So many requests with notices are turned away first.
    pub turn_away: Arc<Mutex<usize>>,
    pub watches: Arc<Mutex<Vec<Sender<String>>>>,
    /// Changes that were told, by revision: a watch that begins behind one is told of it.
    told: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Platform {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let platform = Self {
            address: listener.local_addr().expect("an address"),
            notices: Arc::default(),
            turn_away: Arc::default(),
            watches: Arc::default(),
            told: Arc::default(),
        };
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.talk(&stream));
            }
        });
        platform
    }

    fn talk(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = hear(&mut reader, 0) {
            if request.line.starts_with("GET ") {
                let (tell, told) = channel();
                let index = request.line.split_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
                let mut watches = self.watches.lock().expect("sound");
                let behind = self.told.lock().expect("sound").clone();
                for (_, line) in behind.into_iter().filter(|(revision, _)| *revision > index) {
                    let _ = tell.send(line);
                }
                watches.push(tell);
                drop(watches);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut fine = stream.write_all(head.as_bytes()).is_ok();
                while fine {
                    // While nothing changes, an empty line comes.
                    let line = match told.recv_timeout(Duration::from_secs(1)) {
                        Ok(line) => line + "\n",
                        Err(std::sync::mpsc::RecvTimeoutError::Timeout) => "\n".to_owned(),
                        Err(_) => return,
                    };
                    fine = write!(stream, "{:x}\r\n{line}\r\n", line.len()).is_ok();
                }
                return;
            }
            let away = {
                let mut left = self.turn_away.lock().expect("sound");
                let away = *left > 0;
                *left -= usize::from(away);
                away
            };
            if !away {
                let text = String::from_utf8(request.body).expect("text");
                self.notices.lock().expect("sound").extend(text.lines().map(str::to_owned));
            }
            let status = if away { "503 No" } else { "204 Fine" };
            if write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    /// Tells all watches of a change.
    pub fn tell(&self, revision: u64, members: &[String]) {
        until("a watch", || !self.watches.lock().expect("sound").is_empty());
        let line =
            format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}", members.join(","));
        let mut watches = self.watches.lock().expect("sound");
        self.told.lock().expect("sound").push((revision, line.clone()));
        watches.retain(|w| w.send(line.clone()).is_ok());
    }

    /// Tells all watches of a change in a value that cannot be read. A watch that begins behind it is told
    /// whole.
    pub fn tell_spoilt(&self, revision: u64, members: &[String]) {
        until("a watch", || !self.watches.lock().expect("sound").is_empty());
        let line =
            format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}", members.join(","));
        let spoilt = line.replace("\"cell\":", "\"cell\":x");
        let mut watches = self.watches.lock().expect("sound");
        self.told.lock().expect("sound").push((revision, line));
        watches.retain(|w| w.send(spoilt.clone()).is_ok());
    }

    /// The notice for a message, once it has come.
    pub fn notice(&self, id: u64) -> String {
        let found = || {
            let notices = self.notices.lock().expect("sound");
            notices.iter().find(|n| n.contains(&format!("{id:016x}"))).cloned()
        };
        until("a notice", || found().is_some());
        found().expect("it has come")
    }

    pub fn has_notice(&self, id: u64) -> bool {
        self.notices.lock().expect("sound").iter().any(|n| n.contains(&format!("{id:016x}")))
    }
}

pub fn member(id: &str, address: SocketAddr, kind: &str, dest: u64, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"flavor\":\"{kind}\",\
         \"cell\":{dest},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// The configuration with the list service there.
pub fn at(address: &str) -> impl Fn(String) -> String {
    move |text| {
        let (before, rest) = text.split_once("\"discovery\": \"").expect("there");
        let (_, after) = rest.split_once('"').expect("there");
        format!("{before}\"discovery\": \"{address}\"{after}")
    }
}

/// Adds a class whose repeats are known for two seconds.
pub fn with_keyed_class(text: String) -> String {
    let keyed = r#""classes": [{"name": "keyed", "effect": "deduplicated", "group": "all", "memorySpanS": 2.0,
        "sloS": 1.0, "deadlineS": 60.0, "worth": 1.0},"#;
    text.replace("\"classes\": [", keyed)
}

/// The program, with its folder. It is killed when dropped.
pub struct Node {
    pub folder: tempfile::TempDir,
    pub platform: Platform,
    pub address: SocketAddr,
    /// Where operators call.
    pub admin: SocketAddr,
    /// The clients' socket, where the test holds it.
    held: Option<TcpListener>,
    child: Child,
}

impl Node {
    /// Knows these endpoints from the start; `change` alters its configuration.
    pub fn new(members: &[String], change: impl Fn(String) -> String) -> Self {
        Self::with_operator(members, change, None)
    }

    /// One whose clients' socket the test holds, so that processes may take over from one another.
    pub fn held(members: &[String]) -> Self {
        Self::build(members, |c| c, None, true)
    }

    /// One whose system calls can be made to fail. Gives what controls that beside it; it goes on over
    /// restarts.
    pub fn with_faults(members: &[String], change: impl Fn(String) -> String) -> (Self, FaultController) {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = FaultController::create(&folder.path().join(FAULTS)).expect("a control file");
        (Self::build_in(folder, members, change, None, false), faults)
    }

    /// One whose clients' socket the test holds, and whose system calls can be made to fail.
    pub fn held_with_faults(members: &[String]) -> (Self, FaultController) {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = FaultController::create(&folder.path().join(FAULTS)).expect("a control file");
        (Self::build_in(folder, members, |text| text, None, true), faults)
    }

    /// One whose clients' socket the test holds, and which has no sockets of its own for a while as it
    /// starts: so many times in a thousand each.
    pub fn held_short_of_sockets(members: &[String], per_mille: u32, span: Duration) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = FaultController::create(&folder.path().join(FAULTS)).expect("a control file");
        faults.fail(Fault::Socket, libc::ENFILE, per_mille).expect("set");
        thread::spawn(move || {
            thread::sleep(span);
            faults.clear().expect("set");
        });
        Self::build_in(folder, members, |text| text, None, true)
    }

    /// With an operator's file; in it FOLDER stands for a folder beside the state.
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
        holds: bool,
    ) -> Self {
        Self::build_in(tempfile::tempdir().expect("a folder"), members, change, operator, holds)
    }

    fn build_in(
        folder: tempfile::TempDir,
        members: &[String],
        change: impl Fn(String) -> String,
        operator: Option<&str>,
        holds: bool,
    ) -> Self {
        let platform = Platform::new();
        let text = include_str!("config.json")
            .replace("DISCOVERY", &platform.address.to_string())
            .replace("MEMBERS", &members.join(","));
        std::fs::create_dir(folder.path().join("state")).expect("a folder");
        std::fs::write(folder.path().join("config.json"), change(text)).expect("a file");
        if let Some(text) = operator {
            let text = text.replace("FOLDER", &folder.path().join("recording").display().to_string());
            std::fs::write(folder.path().join("operator.toml"), text).expect("a file");
        }
        let held = holds.then(|| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let (child, address, admin) = start(&folder, held.as_ref());
        let node = Self { folder, platform, address, admin, held, child };
        assert_eq!(node.ask("GET /up", &[], b"").status(), 200);
        node
    }

    /// Ends it as SIGKILL does and starts it again.
    pub fn restart(&mut self) {
        self.kill();
        // Only the new process's watch is told of what changes from here on.
        self.platform.watches.lock().expect("sound").clear();
        self.start_again();
    }

    pub fn start_again(&mut self) {
        (self.child, self.address, self.admin) = start(&self.folder, self.held.as_ref());
    }

    /// Starts it, and sends these signals once it says that it has come to this step. Whether it then ends as
    /// it should.
    pub fn starts_until(&mut self, step: &str, signals: &[&str]) -> bool {
        self.child = command(&self.folder, self.held.as_ref()).spawn().expect("the program");
        self.says_until(step, signals)
    }

    fn says_until(&mut self, step: &str, signals: &[&str]) -> bool {
        let mut lines = BufReader::new(self.child.stdout.take().expect("its output")).lines();
        while !lines.next().expect("it started").expect("text").contains(step) {}
        signals.iter().for_each(|signal| self.signal(signal));
        thread::spawn(move || lines.for_each(drop));
        self.exit()
    }

    /// Starts the next process beside this one, and sends it these signals once it says that it has come to
    /// this step. Whether it then ends as it should.
    pub fn next_until(&mut self, step: &str, signals: &[&str]) -> bool {
        let child = command(&self.folder, self.held.as_ref()).spawn().expect("the program");
        let serves = std::mem::replace(&mut self.child, child);
        let ended = self.says_until(step, signals);
        self.child = serves;
        ended
    }

    /// Starts the next process beside this one, and kills it at the first of these lines; gives that.
    pub fn next_says(&self, either: &[&str]) -> String {
        let mut child = command(&self.folder, self.held.as_ref()).spawn().expect("the program");
        let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let mut said = lines.map(|line| line.expect("text"));
        let found = said.find(|line| either.iter().any(|part| line.contains(part))).expect("it says one");
        child.kill().expect("it runs");
        child.wait().expect("it ended");
        found
    }

    /// Starts the next process beside this one, and gives the old one once the new one is ready.
    pub fn upgrade(&mut self) -> Old {
        let (child, address, admin) = start(&self.folder, self.held.as_ref());
        assert_eq!(address, self.address, "one socket for both");
        let old = Old(std::mem::replace(&mut self.child, child), std::mem::replace(&mut self.admin, admin));
        until("a yes", || self.say("GET /status").status() == 200);
        old
    }

    /// The process before the one that was killed serves again.
    pub fn goes_on_with(&mut self, mut old: Old) {
        std::mem::swap(&mut self.child, &mut old.0);
        self.admin = old.1;
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ended");
    }

    /// The system lets it have no more descriptors than so many.
    pub fn limit_descriptors(&self, most: usize) {
        let args = [format!("--pid={}", self.child.id()), format!("--nofile={most}:{most}")];
        assert!(Command::new("prlimit").args(args).status().expect("prlimit").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration, and says so.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).expect("a file");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// The number of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn config(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("config.json")).expect("a file")
    }

    pub fn exit(&mut self) -> bool {
        until("its exit", || self.child.try_wait().expect("a child").is_some());
        self.child.wait().expect("a child").success()
    }

    /// An operator's call.
    pub fn say(&self, line: &str) -> Heard {
        Client::new(self.admin).ask(line, &[], b"")
    }

    pub fn ask(&self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Heard {
        Client::new(self.address).ask(line, headers, body)
    }

    /// Hands in a message, and gives the answer.
    pub fn hand_in(&self, class: &str, id: u64, dest: u64, ms: u64, body: &[u8]) -> Heard {
        Client::new(self.address).hand_in(class, id, dest, ms, body)
    }

    pub fn journal(&self) -> std::path::PathBuf {
        self.folder.path().join("state/0000000001.log")
    }
}

/// A process that another has taken over from, and where operators called it.
pub struct Old(pub Child, pub SocketAddr);

impl Old {
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Whether it ended as it should, once it has.
    pub fn left(&mut self) -> bool {
        until("its exit", || self.0.try_wait().expect("a child").is_some());
        self.0.wait().expect("a child").success()
    }

    pub fn has_left(&mut self) -> bool {
        self.0.try_wait().expect("a child").is_some()
    }
}

impl Drop for Old {
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

fn command(folder: &tempfile::TempDir, held: Option<&TcpListener>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_notchpoint"));
    let operator = folder.path().join("operator.toml");
    if operator.exists() {
        command.arg("--operator").arg(operator);
    }
    let faults = folder.path().join(FAULTS);
    if faults.exists() {
        notchpoint_faults::preload(&faults, &mut command).expect("the shim is built");
    }
    if let Some(held) = held {
        // The platform names descriptor 4; a test can hand on the standard input without unsafe code.
        let socket: std::os::fd::OwnedFd = held.try_clone().expect("a descriptor").into();
        command.stdin(Stdio::from(socket)).env("BALANCER_ACCEPT_FD", "0");
    }
    command
        .env("TMPDIR", folder.path())
        .env("BALANCER_CONFIG", folder.path().join("config.json"))
        .env("BALANCER_STATE", folder.path().join("state"))
        .stdout(Stdio::piped());
    command
}

fn start(folder: &tempfile::TempDir, held: Option<&TcpListener>) -> (Child, SocketAddr, SocketAddr) {
    let mut child = command(folder, held).spawn().expect("the program");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let mut admin = None;
    let address = loop {
        let line = lines.next().expect("it started").expect("text");
        if let Some((_, at)) = line.split_once("operators at ") {
            admin = at.parse().ok();
        }
        if let Some((_, address)) = line.split_once("listening on ") {
            break address.parse().expect("an address");
        }
    };
    // What it says later is read, so that it never blocks on a full pipe.
    thread::spawn(move || lines.for_each(drop));
    (child, address, admin.expect("an address for operators"))
}

/// One connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("an option");
        Self(BufReader::new(stream))
    }

    pub fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) {
        let mut text = format!("{line} HTTP/1.1\r\nHost: api.internal\r\nContent-Length: {}\r\n", body.len());
        headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
        let bytes = [text.as_bytes(), b"\r\n", body].concat();
        // An answer may come before all is written.
        let _ = self.0.get_mut().write_all(&bytes);
    }

    pub fn ask(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Heard {
        self.send(line, headers, body);
        hear(&mut self.0, 0).expect("an answer")
    }

    pub fn hand_in(&mut self, class: &str, id: u64, dest: u64, ms: u64, body: &[u8]) -> Heard {
        let (id, ms, dest) = (format!("{id:016x}"), ms.to_string(), format!("dest={dest}"));
        let headers = headers(&id, class, &ms, &dest);
        self.ask(&format!("POST /{class}"), &headers, body)
    }

    /// The status, or nothing where the connection ends without an answer, or 400 ms pass.
    pub fn try_hand_in(&mut self, class: &str, id: u64, dest: u64, ms: u64, body: &[u8]) -> Option<u16> {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).expect("an option");
        let (id, ms, dest) = (format!("{id:016x}"), ms.to_string(), format!("dest={dest}"));
        self.send(&format!("POST /{class}"), &headers(&id, class, &ms, &dest), body);
        hear(&mut self.0, 0).map(|heard| heard.status())
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("written");
    }

    /// What the other side says until it ends the connection.
    pub fn until_end(&mut self) -> String {
        let mut said = Vec::new();
        if let Err(e) = self.0.read_to_end(&mut said) {
            assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "it never ended");
        }
        String::from_utf8_lossy(&said).into_owned()
    }

    /// The other side has ended the connection.
    pub fn ended(&mut self) -> bool {
        self.0.read(&mut [0; 1]).is_ok_and(|n| n == 0)
    }
}

pub fn headers<'a>(id: &'a str, class: &'a str, ms: &'a str, dest: &'a str) -> [(&'a str, &'a str); 5] {
    let (tenant, class) = (("X-Tenant-Id", "acme"), ("X-Priority-Class", class));
    [("X-Request-ID", id), class, tenant, ("X-Timeout-Ms", ms), ("X-Envelope", dest)]
}
