//! The processes of a sender together hold no more descriptors than `limits.sockets`, whatever clients do.

use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// The limit of descriptors in most tests, as in the soak.
const DESCRIPTORS: usize = 256;
/// The interval between two counts of the descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(3);
/// The number of samples after which a process that is not one of the sender counts as another one. Between
/// its start and that of the program a process still has the environment of the test.
const SAMPLES_BEFORE_EXCLUSION: u32 = 50;
/// The interval at which a client that is connected looks whether its connection was closed.
const CROWD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time for which a crowd of clients acts on a sender.
const CROWD_TIME: Duration = Duration::from_millis(1_500);
/// The number of threads that open a crowd's connections.
const CROWD_THREADS: usize = 8;
/// The time-out of a connect. A connect to a full accept queue is not answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// The start of a request, without the rest.
const REQUEST_PART: &[u8] = b"POST /update HTTP/1.1\r\nHost: api.internal\r\nContent-Le";
/// The times after the start of a successor at which one of the two processes is killed. A hand-over takes
/// some tens of milliseconds.
const KILL_DELAYS_MS: [u64; 6] = [5, 15, 25, 40, 60, 120];
/// The descriptors of a process that has all of them and many clients: half of the limit, which is the most
/// that clients have, less those reserved for the start of a successor.
const WHOLE_SHARE: usize = 120;

/// The descriptors of all processes of a sender at one time.
#[derive(Default)]
struct Sample {
    total: usize,
    /// The number for each process id.
    processes: Vec<(u32, usize)>,
}

/// Counts the descriptors of all processes of a sender repeatedly, also of those that are still starting.
struct DescriptorSampler {
    is_ended: Arc<AtomicBool>,
    sampling: JoinHandle<Sample>,
}

impl DescriptorSampler {
    fn start(node: &Node) -> Self {
        let marker = format!("TMPDIR={}\0", node.folder().display()).into_bytes();
        let is_ended = Arc::new(AtomicBool::new(false));
        let ended = is_ended.clone();
        let sampling = thread::spawn(move || {
            let mut largest = Sample::default();
            let mut samples_as_other: BTreeMap<u32, u32> = BTreeMap::new();
            while !ended.load(Ordering::Relaxed) {
                let own = process_ids().into_iter().filter(|&pid| {
                    let samples = samples_as_other.entry(pid).or_default();
                    let is_own = *samples < SAMPLES_BEFORE_EXCLUSION && is_process_of(pid, &marker);
                    *samples += u32::from(!is_own);
                    is_own
                });
                let processes: Vec<(u32, usize)> = own.map(|pid| (pid, descriptors(pid))).collect();
                let total = processes.iter().map(|(_, count)| count).sum();
                if total > largest.total {
                    largest = Sample { total, processes };
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
            largest
        });
        Self { is_ended, sampling }
    }

    /// Ends the sampling, and fails the test if any sample has more descriptors than this.
    fn assert_at_most(self, limit: usize) {
        self.is_ended.store(true, Ordering::Relaxed);
        let Sample { total, processes } = self.sampling.join().expect("the samples are taken");
        assert!(total <= limit, "{total} descriptors; those of each process: {processes:?}");
    }
}

fn process_ids() -> Vec<u32> {
    let entries = fs::read_dir("/proc").expect("processes are listed").flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect()
}

/// Whether the environment of a process has this variable with this value.
fn is_process_of(pid: u32, marker: &[u8]) -> bool {
    let environment = fs::read(Path::new("/proc").join(pid.to_string()).join("environ")).unwrap_or_default();
    environment.windows(marker.len()).any(|window| window == marker)
}

/// Returns the number of open descriptors of a process; 0 if it has ended.
fn descriptors(pid: u32) -> usize {
    fs::read_dir(Path::new("/proc").join(pid.to_string()).join("fd")).map_or(0, Iterator::count)
}

/// Clients that open connections, send nothing or a part of a request, and open a connection again as soon as
/// one is closed.
struct Crowd {
    is_ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(address: SocketAddr, connections: usize, request_part: &'static [u8]) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let threads = (0..CROWD_THREADS).map(|_| {
            let ended = is_ended.clone();
            thread::spawn(move || {
                keep_connections(address, connections / CROWD_THREADS, request_part, &ended)
            })
        });
        Self { threads: threads.collect(), is_ended }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().expect("the clients run"));
    }
}

fn keep_connections(address: SocketAddr, count: usize, request_part: &[u8], ended: &AtomicBool) {
    let mut connections: Vec<TcpStream> = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        connections.retain_mut(is_open);
        if connections.len() < count
            && let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
        {
            let _ = stream.write_all(request_part);
            stream.set_nonblocking(true).expect("the option is set");
            connections.push(stream);
        } else {
            thread::sleep(CROWD_POLL_INTERVAL);
        }
    }
}

fn is_open(stream: &mut TcpStream) -> bool {
    stream.read(&mut [0; 64]).is_err_and(|why| why.kind() == ErrorKind::WouldBlock)
}

/// Sets the limits of descriptors and of calls in a configuration.
fn with_limits(descriptors: usize, slots: usize) -> impl Fn(String) -> String {
    move |text| {
        text.replace("\"sockets\": 1024", &format!("\"sockets\": {descriptors}"))
            .replace("\"slots\": 7", &format!("\"slots\": {slots}"))
    }
}

/// Starts a sender that inherits its clients' socket, with an endpoint that answers each call.
fn start_with_limits(descriptors: usize, slots: usize) -> (Node, Endpoint) {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "up")];
    (Node::with_inherited_socket_and_config(&members, with_limits(descriptors, slots)), endpoint)
}

/// Whether a process reports to operators that it accepts clients. It may close the connection for another
/// one before the request arrives.
fn accepts_clients(admin: SocketAddr) -> bool {
    let mut answer = [0; 12];
    let answered = TcpStream::connect(admin).and_then(|mut stream| {
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: operators\r\n\r\n")?;
        stream.read_exact(&mut answer)
    });
    answered.is_ok() && answer.ends_with(b"200")
}

#[test]
fn clients_that_reconnect_at_once_leave_a_process_within_its_descriptors() {
    // Guards against accepting a connection for each one that is evicted, before that one is closed.
    let (node, endpoint) = start_with_limits(DESCRIPTORS, 10);
    let sampler = DescriptorSampler::start(&node);
    let crowd = Crowd::start(node.address, 2 * DESCRIPTORS, b"");
    thread::sleep(CROWD_TIME);
    let mut id = 0;
    wait_until("a client with a message is served", || {
        id += 1;
        Client::new(node.address).try_submit("update", id, 3, LONG, b"x") == Some(202)
    });
    endpoint.call(0);
    drop(crowd);
    sampler.assert_at_most(DESCRIPTORS);
}

#[test]
fn operators_that_reconnect_at_once_leave_a_process_within_its_descriptors() {
    // Guards against accepting an operator's connection for each one that is closed for it, before that one
    // has given its descriptor back.
    let (node, _endpoint) = start_with_limits(DESCRIPTORS, 10);
    let sampler = DescriptorSampler::start(&node);
    let crowds = [node.address, node.admin].map(|address| Crowd::start(address, 2 * DESCRIPTORS, b""));
    thread::sleep(CROWD_TIME);
    wait_until("an operator is answered", || accepts_clients(node.admin));
    drop(crowds);
    sampler.assert_at_most(DESCRIPTORS);
}

/// Clients that submit messages one after the other, each on a new connection.
struct Callers {
    is_ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<u64>>>,
}

impl Callers {
    fn start(address: SocketAddr, count: u64) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let threads = (1..=count).map(|caller| {
            let ended = is_ended.clone();
            thread::spawn(move || {
                let ids = (caller << 32..).take_while(|_| !ended.load(Ordering::Relaxed));
                ids.filter(|&id| Client::new(address).try_submit("update", id, 3, LONG, b"x") == Some(202))
                    .collect()
            })
        });
        Self { threads: threads.collect(), is_ended }
    }

    /// Ends the clients, and waits until each acknowledged message was called or ended by a notice.
    fn assert_none_lost(self, node: &Node, endpoint: &Endpoint) {
        self.is_ended.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        let mut open: Vec<u64> = threads.flat_map(|caller| caller.join().expect("it ends")).collect();
        assert!(!open.is_empty(), "no message was acknowledged");
        wait_until("a call or a notice of each acknowledged message", || {
            let requests = endpoint.requests.lock().expect("not poisoned");
            let called: BTreeSet<&str> = requests.iter().map(|r| r.header("x-request-id")).collect();
            open.retain(|id| {
                !called.contains(format!("{id:016x}").as_str()) && !node.platform.has_notice(*id)
            });
            open.is_empty()
        });
    }
}

#[test]
fn both_processes_of_a_handover_share_the_descriptors() {
    // Guards against two processes of which each divides all of the descriptors for itself.
    for request_part in [b"".as_slice(), REQUEST_PART] {
        let (mut node, endpoint) = start_with_limits(DESCRIPTORS, 40);
        let sampler = DescriptorSampler::start(&node);
        let crowd = Crowd::start(node.address, DESCRIPTORS, request_part);
        thread::sleep(CROWD_TIME);
        let callers = Callers::start(node.address, 4);
        for _ in 0..3 {
            let mut predecessor = node.hand_over();
            predecessor.signal("-TERM");
            assert!(predecessor.exited_cleanly());
        }
        drop(crowd);
        callers.assert_none_lost(&node, &endpoint);
        sampler.assert_at_most(DESCRIPTORS);
    }
}

#[test]
fn process_that_is_killed_in_a_handover_leaves_its_descriptors_to_the_other() {
    for kills_predecessor in [false, true] {
        let (mut node, endpoint) = start_with_limits(DESCRIPTORS, 20);
        node.limit_descriptors(DESCRIPTORS);
        let sampler = DescriptorSampler::start(&node);
        let crowd = Crowd::start(node.address, DESCRIPTORS, b"");
        let callers = Callers::start(node.address, 4);
        for delay in KILL_DELAYS_MS.map(Duration::from_millis) {
            wait_until("the process has many clients", || descriptors(node.pid()) >= WHOLE_SHARE);
            if kills_predecessor {
                let pid = node.pid().to_string();
                let killing = thread::spawn(move || {
                    thread::sleep(delay);
                    Command::new("kill").args(["-KILL", &pid]).status().expect("kill runs")
                });
                drop(node.hand_over());
                killing.join().expect("the process was killed");
                node.limit_descriptors(DESCRIPTORS);
            } else {
                node.start_and_kill_successor(delay);
                wait_until("the process serves", || node.admin_request("GET /status").status() == 200);
            }
        }
        wait_until("the process has its whole share", || descriptors(node.pid()) >= WHOLE_SHARE);
        drop(crowd);
        callers.assert_none_lost(&node, &endpoint);
        sampler.assert_at_most(DESCRIPTORS);
    }
}

#[test]
fn handover_is_refused_if_a_second_process_has_too_few_descriptors() {
    let (node, endpoint) = start_with_limits(140, 60);
    let sampler = DescriptorSampler::start(&node);
    let log_line = node.successor_log_line(&["waiting for the store", "listening on"]);
    assert!(log_line.contains("too few descriptors"), "{log_line}");
    assert_eq!(node.submit("update", 1, 3, LONG, b"x").status(), 202, "the first process goes on serving");
    endpoint.call(0);
    sampler.assert_at_most(140);
}

#[test]
fn connections_for_replication_leave_a_process_within_its_descriptors() {
    // Guards against links between senders that are not in the budget.
    const FEW_DESCRIPTORS: usize = 64;
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "up")];
    let reserved = [(); 3].map(|()| ReservedAddress::new());
    let [listen, others @ ..] = [0, 1, 2].map(|n| reserved[n].address);
    let others = others.map(|at| format!("[[copies.senders]]\nname = \"at-{at}\"\naddress = \"{at}\"\n"));
    let operator =
        format!("[copies]\ncount = 1\nlisten = \"{listen}\"\ninstallation = \"tests\"\n{}", others.concat());
    let node = Node::with_operator(&members, with_limits(FEW_DESCRIPTORS, 7), Some(&operator));
    let sampler = DescriptorSampler::start(&node);
    let crowds = [node.address, node.admin, listen].map(|at| Crowd::start(at, FEW_DESCRIPTORS, b""));
    thread::sleep(CROWD_TIME);
    drop(crowds);
    sampler.assert_at_most(FEW_DESCRIPTORS);
}
