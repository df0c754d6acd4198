//! Stand-ins for the review's cases: the platform (discovery and notices), endpoints, clients, and senders that are
//! started with the deploy file's `run`. Standard library only; everything listens on loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const STOP: i32 = 19;
pub const CONT: i32 = 18;
pub const HUP: i32 = 1;
pub const TERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, ...) -> i32;
}

/// The descriptor at which a sender inherits the clients' listening socket, and `fcntl`'s command for its flags.
const ACCEPT_FD: i32 = 4;
const F_SETFD: i32 = 2;

/// Why a case could not run. It ends the script with status 2.
pub type Failure = String;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A case runs for 120 seconds at most. After this time it waits for nothing more.
const LIMIT: Duration = Duration::from_secs(100);
static BEGUN: OnceLock<Instant> = OnceLock::new();

/// Waits until a condition holds; a case that waits in vain could not run.
pub fn wait_for(what: &str, limit_ms: u64, condition: impl Fn() -> bool) -> Result<(), Failure> {
    let limit = *BEGUN.get_or_init(Instant::now) + LIMIT;
    let until = (Instant::now() + Duration::from_millis(limit_ms)).min(limit);
    while !condition() {
        if Instant::now() >= until {
            return Err(format!("waited {limit_ms} ms in vain for {what}"));
        }
        sleep_ms(10);
    }
    Ok(())
}

/// `record.txt`: what was sent, answered and run, with the seconds since the case began.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, Failure> {
        let file = fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), begun: Instant::now() })
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:8.3} {text}", self.now());
    }
}

/// A request or an answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message with a `Content-Length`; `None` at the end of the connection.
fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut text_line = || {
        let mut line = String::new();
        let count = stream.read_line(&mut line).ok()?;
        (count > 0).then(|| line.trim_end().to_owned())
    };
    let mut message = Message { line: text_line()?, ..Message::default() };
    loop {
        let line = text_line()?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn listen() -> Result<(TcpListener, SocketAddr), Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("listen: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    Ok((listener, address))
}

fn serve(listener: TcpListener, connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let connection = Arc::new(connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = connection.clone();
            thread::spawn(move || connection(stream));
        }
    });
}

/// The ports that this process gave to senders, which have to open them themselves.
static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a free loopback address that no other part of the case was given.
pub fn free_address() -> Result<SocketAddr, Failure> {
    loop {
        let (_, address) = listen()?;
        let mut given = lock(&PORTS);
        if !given.contains(&address.port()) {
            given.push(address.port());
            return Ok(address);
        }
    }
}

/// One entry of discovery's list, in hall-a.
pub fn member(id: &str, address: SocketAddr, kind: &str, cell: u64, phase: &str) -> String {
    member_in("hall-a", id, address, kind, cell, phase)
}

/// One entry of discovery's list.
pub fn member_in(zone: &str, id: &str, address: SocketAddr, kind: &str, cell: u64, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"flavor\":\"{kind}\",\"cell\":{cell},\
         \"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// A notice as the platform received it.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: f64,
    pub id: String,
    pub result: String,
}

/// Discovery, and the address for notices.
pub struct Platform {
    pub address: SocketAddr,
    pub members: Vec<String>,
    notices: Arc<Mutex<Vec<Notice>>>,
    /// The entries that changed since the first list, whose revision is [`REVISION`], one with each revision.
    changes: Arc<Mutex<Vec<String>>>,
    record: Record,
}

const REVISION: usize = 41;

impl Platform {
    pub fn start(members: Vec<String>, record: &Record) -> Result<Self, Failure> {
        let (listener, address) = listen()?;
        let notices = Arc::new(Mutex::new(Vec::new()));
        let changes: Arc<Mutex<Vec<String>>> = Arc::default();
        let platform = Self {
            address,
            members: members.clone(),
            notices: notices.clone(),
            changes: changes.clone(),
            record: record.clone(),
        };
        let (kept, record) = (notices, record.clone());
        let list = |complete: bool, revision: usize, members: &[String]| {
            let members = members.join(",");
            format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{members}]}}\n")
        };
        serve(listener, move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_message(&mut reader) {
                if request.line.starts_with("POST /reports ") {
                    for line in String::from_utf8_lossy(&request.body).lines() {
                        let field = |name: &str| {
                            let (_, rest) = line.split_once(&format!("\"{name}\":\""))?;
                            rest.split('"').next().map(str::to_owned)
                        };
                        let (Some(id), Some(result)) = (field("ref"), field("result")) else { continue };
                        record.line(&format!("notice: {id} {result}"));
                        lock(&kept).push(Notice { at: record.now(), id, result });
                    }
                    if writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                    continue;
                }
                let index = request.line.split_once("index=").and_then(|(_, rest)| rest.split(' ').next());
                let Some(index) = index.and_then(|index| index.parse::<usize>().ok()) else {
                    let changes = lock(&changes).clone();
                    let list = list(true, REVISION + changes.len(), &[members.clone(), changes].concat());
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                };
                // A watch: first what changed after that version, then each change, and an empty line every 2 s.
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let (mut known, mut written_at) = (index.saturating_sub(REVISION), None::<Instant>);
                let mut is_open = writer.write_all(head).is_ok();
                while is_open {
                    let new = lock(&changes)[known..].to_vec();
                    let is_quiet = written_at.is_some_and(|at| at.elapsed() >= Duration::from_millis(2_000));
                    let line = if written_at.is_none() || !new.is_empty() {
                        known += new.len();
                        list(false, REVISION + known, &new)
                    } else if is_quiet {
                        "\n".to_owned()
                    } else {
                        sleep_ms(20);
                        continue;
                    };
                    is_open = writer.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok();
                    written_at = Some(Instant::now());
                }
                return;
            }
        });
        Ok(platform)
    }

    /// Changes one entry of the list, or adds one.
    pub fn publish(&self, entry: String) {
        self.record.line(&format!("discovery: {entry}"));
        lock(&self.changes).push(entry);
    }

    pub fn notices(&self) -> Vec<Notice> {
        lock(&self.notices).clone()
    }
}

/// What an endpoint does with a call.
pub enum Reply {
    /// 200: the call has run.
    Ok,
    /// No answer; the connection stays open.
    Hang,
}

/// A call as an endpoint received it.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: f64,
    pub endpoint: usize,
    pub id: String,
}

/// An endpoint of kind `small-shop`, which takes one message in a call.
pub struct Endpoint {
    pub address: SocketAddr,
}

impl Endpoint {
    /// Starts an endpoint. `decide` is called once the last byte of a call has come.
    pub fn start(
        number: usize,
        record: &Record,
        decide: impl Fn(&Call) -> Reply + Send + Sync + 'static,
    ) -> Result<Self, Failure> {
        let (listener, address) = listen()?;
        Ok(Self::serve(number, record, listener, address, decide))
    }

    /// Starts an endpoint at an address from `free_address`, where connections were refused until now.
    pub fn start_at(
        number: usize,
        record: &Record,
        address: SocketAddr,
        decide: impl Fn(&Call) -> Reply + Send + Sync + 'static,
    ) -> Result<Self, Failure> {
        let listener = TcpListener::bind(address).map_err(|e| format!("listen at {address}: {e}"))?;
        Ok(Self::serve(number, record, listener, address, decide))
    }

    fn serve(
        number: usize,
        record: &Record,
        listener: TcpListener,
        address: SocketAddr,
        decide: impl Fn(&Call) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let record = record.clone();
        serve(listener, move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_message(&mut reader) {
                let call = Call {
                    at: record.now(),
                    endpoint: number,
                    id: request.header("x-request-id").to_owned(),
                };
                record.line(&format!("call: {} at endpoint s-{number}", call.id));
                let closes = request.header("connection").eq_ignore_ascii_case("close");
                match decide(&call) {
                    Reply::Hang => {
                        // The sender ends the wait by closing its connection.
                        let _ = std::io::copy(&mut reader, &mut std::io::sink());
                        return;
                    }
                    Reply::Ok => {
                        let end = if closes { "Connection: close\r\n" } else { "" };
                        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{end}\r\n");
                        if writer.write_all(answer.as_bytes()).is_err() || closes {
                            return;
                        }
                        record.line(&format!("answer: {} 200 from endpoint s-{number}", call.id));
                    }
                }
            }
        });
        Self { address }
    }
}

/// The command of the deploy file.
fn run_command(root: &Path) -> Result<String, Failure> {
    let path = root.join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).ok_or("the deploy file has no `run`")?;
    Ok(line.split('"').next().unwrap_or_default().to_owned())
}

/// The settings of a fleet. Two or more senders keep copies for each other.
pub struct FleetSettings {
    pub senders: usize,
    pub disk_mb: u32,
    pub most_held: u32,
    /// The classes, as JSON.
    pub classes: String,
    /// Whether the platform holds the clients' listening sockets, so that senders can be upgraded.
    pub holds_sockets: bool,
    /// Whether the senders' links go through a network that can be cut.
    pub can_be_cut: bool,
}

/// The network between two senders: it passes bytes on, and holds them, and new connections, during a cut.
fn network_between(to: SocketAddr, is_cut: Arc<AtomicBool>) -> Result<SocketAddr, Failure> {
    let (listener, address) = listen()?;
    serve(listener, move |from| {
        let wait = |is_cut: &AtomicBool| {
            while is_cut.load(Relaxed) {
                sleep_ms(2);
            }
        };
        wait(&is_cut);
        let Ok(onward) = TcpStream::connect(to) else { return };
        let _ = (from.set_nodelay(true), onward.set_nodelay(true));
        let pass = move |mut reader: TcpStream, mut writer: TcpStream, is_cut: Arc<AtomicBool>| {
            let mut block = [0; 16 << 10];
            while let Ok(count) = reader.read(&mut block) {
                wait(&is_cut);
                if count == 0 || writer.write_all(&block[..count]).is_err() {
                    break;
                }
            }
            let _ = writer.shutdown(Shutdown::Write);
        };
        let (Ok(back_reader), Ok(back_writer)) = (onward.try_clone(), from.try_clone()) else { return };
        let cut = is_cut.clone();
        thread::spawn(move || pass(back_reader, back_writer, cut));
        pass(from, onward, is_cut.clone());
    });
    Ok(address)
}

/// One sender: its folder, its files, and its process.
pub struct Sender {
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    config: String,
    admin: SocketAddr,
    /// The clients' listening socket, if the platform holds it.
    socket: Option<TcpListener>,
    process: Option<Child>,
    number: u32,
    starts: u32,
    record: Record,
}

impl Sender {
    /// The folder that outlasts the process.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Ends the process with SIGKILL. The folder stays.
    pub fn kill(&mut self) {
        self.end_process();
        self.record.line(&format!("{}: killed", self.name));
    }

    /// Runs `notchpoint store COMMAND`, and returns its exit status and output.
    pub fn store(&self, command: &[&str]) -> Result<(i32, String), Failure> {
        let root = std::env::var("REVIEW_ROOT").map_err(|_| "REVIEW_ROOT is not set")?;
        let program = Path::new(&root).join("target/release/notchpoint");
        let output = Command::new(program).arg("store").args(command).current_dir(&self.folder).output();
        let output = output.map_err(|e| format!("notchpoint store: {e}"))?;
        Ok((output.status.code().unwrap_or(-1), String::from_utf8_lossy(&output.stdout).into_owned()))
    }

    fn write(&self, name: &str, text: &str) -> Result<(), Failure> {
        let (path, new) = (self.folder.join(name), self.folder.join(format!("{name}.new")));
        fs::write(&new, text).and_then(|()| fs::rename(&new, &path)).map_err(|e| format!("{name}: {e}"))
    }

    /// Writes the configuration, with the seed of the current start: the platform gives each one a new seed.
    fn write_config(&self) -> Result<(), Failure> {
        let seed = 0x5be2_a07c_9b1f_03a4_u64.wrapping_mul(u64::from(self.starts * 100 + self.number + 1));
        self.write("config.json", &self.config.replace("SEED", &format!("{seed:016x}")))
    }

    /// Starts the process. `wait_until_up` waits for it.
    fn start(&mut self, root: &Path) -> Result<(), Failure> {
        self.starts += 1;
        self.write_config()?;
        for folder in ["state", "tmp"] {
            fs::create_dir_all(self.folder.join(folder)).map_err(|e| e.to_string())?;
        }
        let log = self.folder.join("log");
        let log = fs::File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        if let Some(socket) = &self.socket {
            let descriptor = socket.as_raw_fd();
            command.env("BALANCER_ACCEPT_FD", ACCEPT_FD.to_string());
            // Only these two system calls run between the fork and the program.
            unsafe {
                command.pre_exec(move || {
                    dup2(descriptor, ACCEPT_FD);
                    fcntl(ACCEPT_FD, F_SETFD, 0);
                    Ok(())
                });
            }
        }
        let child = command
            .args(["-c", &run_command(root)?])
            .current_dir(root)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.state())
            .env("NOTCHPOINT_OPERATOR", self.folder.join("operator.toml"))
            .env("TMPDIR", self.folder.join("tmp"))
            .env("BALANCER_ADMIN_ADDR", self.admin.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("sender {}: {e}", self.name))?;
        // `run-case-2.sh` ends these processes if this one ends early.
        let pids = self.folder.with_file_name("pids");
        let pids = fs::File::options().create(true).append(true).open(pids);
        let written = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        written.map_err(|e| format!("pids: {e}"))?;
        self.record.line(&format!("{}: started, process {}", self.name, child.id()));
        self.process = Some(child);
        Ok(())
    }

    fn wait_until_up(&self) -> Result<(), Failure> {
        wait_for(&format!("{} to answer GET /up with 200", self.name), 20_000, || {
            let up = exchange(self.address, b"GET /up HTTP/1.1\r\nHost: sender\r\n\r\n", 500);
            up.is_some_and(|answer| answer.line.contains(" 200"))
        })
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&mut self, from: &str, to: &str) -> Result<(), Failure> {
        let config = self.config.replace(from, to);
        if config == self.config {
            return Err(format!("the configuration has no {from}"));
        }
        self.config = config;
        self.write_config()?;
        self.record.line(&format!("{}: new configuration, SIGHUP", self.name));
        self.signal(HUP);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    pub fn stop(&self) {
        self.record.line(&format!("{}: stopped", self.name));
        self.signal(STOP);
    }

    pub fn resume(&self) {
        self.signal(CONT);
        self.record.line(&format!("{}: continues", self.name));
    }

    /// Whether the process has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.process.as_mut().is_some_and(|p| !matches!(p.try_wait(), Ok(None)))
    }

    fn end_process(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// The machine is lost, with its disk.
    pub fn lose(&mut self) -> Result<(), Failure> {
        self.end_process();
        fs::remove_dir_all(self.state()).map_err(|e| e.to_string())?;
        self.record.line(&format!("{}: lost with its folder", self.name));
        Ok(())
    }

    /// Upgrades the sender as the platform does: starts `run` once more with a new second address, waits for its yes,
    /// and sends SIGTERM to the old process. That ends by itself, or with SIGKILL 3.7 s later.
    pub fn upgrade(&mut self, root: &Path) -> Result<(), Failure> {
        self.admin = free_address()?;
        let old = self.process.take();
        let started = self.start(root).and_then(|()| {
            wait_for("the new process to say yes", 6_000, || self.status().contains("\"ok\":true"))
        });
        let Some(mut old) = old else { return started };
        self.record.line(&format!("{}: the new process says yes, SIGTERM to the old one", self.name));
        unsafe { kill(old.id() as i32, TERM) };
        let until = Instant::now() + Duration::from_millis(3_700);
        while started.is_ok() && Instant::now() < until && matches!(old.try_wait(), Ok(None)) {
            sleep_ms(10);
        }
        let _ = old.kill();
        let _ = old.wait();
        self.record.line(&format!("{}: the old process has ended", self.name));
        started
    }

    /// Returns whether the sender's log has a line with this text.
    pub fn has_logged(&self, text: &str) -> bool {
        fs::read_to_string(self.folder.join("log")).is_ok_and(|log| log.contains(text))
    }

    /// The answer to `GET /status`.
    pub fn status(&self) -> String {
        let answer = exchange(self.admin, b"GET /status HTTP/1.1\r\nHost: sender\r\n\r\n", 1_000);
        answer.map(|a| String::from_utf8_lossy(&a.body).into_owned()).unwrap_or_default()
    }

    /// A client of this sender, for another thread.
    pub fn client(&self) -> Client {
        Client { name: self.name.clone(), address: self.address, record: self.record.clone() }
    }

    /// Hands in a message, see [`Client::submit`].
    pub fn submit(&self, class: &str, id: u64, dest: u64, timeout_ms: u64, body: &[u8]) -> u16 {
        self.client().submit(class, id, dest, timeout_ms, body)
    }
}

/// A client of one sender.
pub struct Client {
    name: String,
    address: SocketAddr,
    record: Record,
}

impl Client {
    /// Hands in a message, waits 400 ms for the answer as clients do, and returns its status; 0 for none.
    pub fn submit(&self, class: &str, id: u64, dest: u64, timeout_ms: u64, body: &[u8]) -> u16 {
        let mut request = format!(
            "POST /{class} HTTP/1.1\r\nHost: sender\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: {class}\r\n\
             X-Tenant-Id: acme\r\nX-Timeout-Ms: {timeout_ms}\r\nX-Envelope: dest={dest}\r\n\
             Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        request.extend(body);
        let answer = exchange(self.address, &request, 400);
        let status = answer.and_then(|a| a.line.split(' ').nth(1)?.parse().ok()).unwrap_or(0);
        self.record.line(&format!(
            "client: {id:016x}, {class}, destination {dest}, {timeout_ms} ms, {} bytes, to {}: {status}",
            body.len(),
            self.name
        ));
        status
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.end_process();
    }
}

/// Writes a request on a connection of its own and reads the answer.
fn exchange(address: SocketAddr, request: &[u8], limit_ms: u64) -> Option<Message> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Senders that keep one copy of each message at another one.
pub struct Fleet {
    pub senders: Vec<Sender>,
    /// Whether each sender is cut off from the others.
    cuts: Vec<Arc<AtomicBool>>,
    record: Record,
    root: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all senders and waits until each tolerates the loss of another one.
    pub fn start(settings: &FleetSettings, platform: &Platform, record: &Record) -> Result<Self, Failure> {
        let root = std::env::var("REVIEW_ROOT").map(PathBuf::from).map_err(|_| "REVIEW_ROOT is not set")?;
        let folder = std::env::var("REVIEW_WORK").map(PathBuf::from).map_err(|_| "REVIEW_WORK is not set")?;
        let mut copies = Vec::new();
        for _ in 0..settings.senders {
            copies.push(free_address()?);
        }
        let mut fleet = Self {
            senders: Vec::new(),
            cuts: (0..settings.senders).map(|_| Arc::default()).collect(),
            record: record.clone(),
            root,
            folder,
        };
        for n in 0..settings.senders {
            let (name, address, admin) = (format!("n{n}"), free_address()?, free_address()?);
            let own = fleet.folder.join(&name);
            fs::create_dir_all(&own).map_err(|e| e.to_string())?;
            let mut operator = String::new();
            if settings.senders > 1 {
                operator += &format!("[copies]\ncount = 1\nlisten = \"{}\"\n", copies[n]);
            }
            for (other, &at) in copies.iter().enumerate().filter(|(other, _)| *other != n) {
                // Only the last sender can be cut off, so each link has at most one network that holds it.
                let last = settings.senders - 1;
                let is_cuttable = settings.can_be_cut && (n == last || other == last);
                let at = if is_cuttable { network_between(at, fleet.cuts[last].clone())? } else { at };
                operator += &format!("[[copies.senders]]\nname = \"n{other}\"\naddress = \"{at}\"\n");
            }
            let config = config_text(n, address, admin, platform, settings);
            let socket = settings.holds_sockets.then(|| TcpListener::bind(address)).transpose();
            let socket = socket.map_err(|e| format!("the clients' socket: {e}"))?;
            let (process, number, starts, record) = (None, n as u32, 0, record.clone());
            let folder = own;
            let sender =
                Sender { name, address, folder, config, admin, socket, process, number, starts, record };
            sender.write("operator.toml", &operator)?;
            fleet.senders.push(sender);
        }
        for sender in &mut fleet.senders {
            sender.start(&fleet.root)?;
        }
        for sender in &fleet.senders {
            sender.wait_until_up()?;
        }
        for sender in fleet.senders.iter().filter(|_| settings.senders > 1) {
            wait_for(&format!("{} to tolerate a loss", sender.name), 10_000, || {
                sender.status().contains("\"bears_another_loss\":true")
            })?;
        }
        let copies = if settings.senders > 1 { " and report that another loss can be tolerated" } else { "" };
        record.line(&format!("all senders are up{copies}"));
        Ok(fleet)
    }

    /// Cuts the last sender off from the others, or ends the cut.
    pub fn cut_last(&self, is_cut: bool) {
        let last = self.cuts.len() - 1;
        self.cuts[last].store(is_cut, Relaxed);
        let what = if is_cut { "is cut off from the other senders" } else { "is no longer cut off" };
        self.record.line(&format!("n{last}: {what}"));
    }

    /// Upgrades a sender.
    pub fn upgrade(&mut self, n: usize) -> Result<(), Failure> {
        let root = self.root.clone();
        self.senders[n].upgrade(&root)
    }

    /// Starts a sender again, and waits until it is up.
    pub fn restart(&mut self, n: usize) -> Result<(), Failure> {
        let root = self.root.clone();
        self.senders[n].start(&root)?;
        self.senders[n].wait_until_up()
    }

    /// Fails if the process of a sender that nobody ended has ended.
    pub fn check_alive(&mut self) -> Result<(), Failure> {
        for sender in &mut self.senders {
            if sender.has_crashed() {
                return Err(format!("{} has ended by itself", sender.name));
            }
        }
        Ok(())
    }
}

fn config_text(
    number: usize,
    address: SocketAddr,
    admin: SocketAddr,
    platform: &Platform,
    settings: &FleetSettings,
) -> String {
    let (discovery, members) = (platform.address, platform.members.join(","));
    let FleetSettings { senders, disk_mb, most_held, classes, .. } = settings;
    format!(
        r#"{{"name":"n{number}","listen":"{address}","admin_addr":"{admin}","discovery":"{discovery}",
"seed":"SEED",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{disk_mb}}},"peers":[],
"known":{{"revision":41,"complete":true,"members":[{members}]}},
"settings":{{
"bounds":{{"cancelling":true,"connIdleS":5.0,"connectTimeoutS":1.5,"maxAttempts":8,"maxRetryAfterS":2.0,
"mostHeld":{most_held},"multiplex":1,"parallelTries":true,"peerMessages":false,"retryAfter":true}},
"classes":[{classes}],
"clients":{{"marksRetry":true}},"discovery":"ask",
"familyInfo":{{"bundleMax":[1],"fades":"by_half","kindApart":[false],"slots":7}},
"kinds":["small-shop"],"locality":"hall-a","me":{number},"overShareWorth":0.2,
"parties":[{{"allowancePerS":75.0,"name":"acme","share":1.0}}],
"safety":{{"askWithinS":10.0,"coldS":9.2,"startCapacity":0.17,"overloadFactor":2.0,"tipAfterS":2.0}},
"siblings":{senders},"tickS":0.005,"zones":["hall-a","hall-c"]}}}}
"#
    )
}

/// Ends everything if the script is gone, which SIGKILL can do: all processes of the case, by their ids, the folder,
/// and this process.
fn watch_script() {
    let Some(script) = std::env::var("SCRIPT_PID").ok() else { return };
    let Some(work) = std::env::var("REVIEW_WORK").ok().map(PathBuf::from) else { return };
    let is_gone = move || {
        let stat = fs::read_to_string(format!("/proc/{script}/stat")).unwrap_or_default();
        stat.rsplit(") ").next().is_none_or(|rest| rest.is_empty() || rest.starts_with('Z'))
    };
    thread::spawn(move || {
        while !is_gone() {
            sleep_ms(200);
        }
        let pids = fs::read_to_string(work.join("pids")).unwrap_or_default();
        let own = format!("BALANCER_STATE={}/", work.display());
        for pid in pids.lines().filter_map(|line| line.parse::<i32>().ok()) {
            let environment = fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
            if environment.split(|&byte| byte == 0).any(|variable| variable.starts_with(own.as_bytes())) {
                unsafe { kill(pid, 9) };
            }
        }
        sleep_ms(100);
        let _ = fs::remove_dir_all(&work);
        std::process::exit(2);
    });
}

/// Runs a case: writes the record, and ends with 0 if the rule held, 1 if it was broken, 2 if the case could not
/// run. `case` gets whether the disruption is to be made, and returns what broke the rule.
pub fn run_case(case: impl FnOnce(&Record, bool) -> Result<Vec<String>, Failure>) -> ! {
    BEGUN.get_or_init(Instant::now);
    watch_script();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::var("REVIEW_RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let status = match Record::create(Path::new(&path)) {
        Err(why) => {
            println!("could not run: {why}");
            2
        }
        Ok(record) => {
            record.line(if with_trouble {
                "with the disruption"
            } else {
                "without the disruption (TROUBLE=0)"
            });
            let (status, text) = match case(&record, with_trouble) {
                Err(why) => (2, format!("could not run: {why}")),
                Ok(breaks) if breaks.is_empty() => (0, "the rule held".to_owned()),
                Ok(breaks) => (1, format!("the rule was broken: {}", breaks.join("; "))),
            };
            record.line(&text);
            println!("{text}");
            status
        }
    };
    std::process::exit(status)
}
