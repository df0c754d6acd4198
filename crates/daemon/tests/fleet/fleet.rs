//! A fleet: several processes of the program, each with its own folder, and between any two a link that the
//! test can cut, delay, throttle, or break in the middle of a frame. Tests wait for conditions: lines of a
//! sender's log, calls at endpoints, notices at the platform.

use crate::world::{Client, Endpoint, HttpMessage, Platform, Reply, member, response, wait_until};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

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

const OPEN_LINK: LinkState = LinkState {
    forward: true,
    backward: true,
    delay: Duration::ZERO,
    reset_after_bytes: None,
    bytes_per_second: None,
};

/// A relay between a sender and an address that it dials.
struct Link {
    address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    bytes_passed: Arc<AtomicU64>,
}

impl Link {
    fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (state, streams) = (Arc::new(Mutex::new(OPEN_LINK)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let bytes_passed = Arc::<AtomicU64>::default();
        let (shared, open_streams, count) = (state.clone(), streams.clone(), bytes_passed.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let (state, streams, count) = (shared.clone(), open_streams.clone(), count.clone());
                thread::spawn(move || relay_connection(near, to, &state, &streams, &count));
            }
        });
        Self { address, state, streams, bytes_passed }
    }

    /// Closes all connections of the link.
    fn break_all(&self) {
        for stream in self.streams.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Relays a connection in both directions until one side closes.
fn relay_connection(
    near: TcpStream,
    to: SocketAddr,
    state: &Arc<Mutex<LinkState>>,
    streams: &Mutex<Vec<TcpStream>>,
    count: &Arc<AtomicU64>,
) {
    // The connection itself is made over a cut too; its bytes are held while the cut lasts.
    let Ok(far) = TcpStream::connect(to) else { return };
    let duplicate = |s: &TcpStream| s.try_clone().expect("a handle");
    streams.lock().expect("not poisoned").extend([duplicate(&near), duplicate(&far)]);
    let (back_from, back_to, shared, back_count) =
        (duplicate(&far), duplicate(&near), state.clone(), count.clone());
    let back = thread::spawn(move || relay_bytes(&back_from, &back_to, &shared, &back_count, |w| w.backward));
    relay_bytes(&near, &far, state, count, |w| w.forward);
    let _ = back.join();
}

/// Relays bytes in one direction, according to the state of the link.
fn relay_bytes(
    from: &TcpStream,
    to: &TcpStream,
    state: &Mutex<LinkState>,
    count: &AtomicU64,
    is_open: impl Fn(&LinkState) -> bool,
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut block = [0; 4096];
    let mut passed = 0;
    let close = || {
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    };
    loop {
        let n = match (&*from).read(&mut block) {
            Ok(0) => return close(),
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => return close(),
        };
        loop {
            let now = *state.lock().expect("not poisoned");
            if is_open(&now) {
                let transfer_time =
                    now.bytes_per_second.map_or(Duration::ZERO, |p| Duration::from_secs(n as u64) / p);
                thread::sleep(now.delay + transfer_time);
                let limit = now.reset_after_bytes.map_or(n, |m| m.saturating_sub(passed).min(n));
                passed += n;
                count.fetch_add(limit as u64, Ordering::Relaxed);
                if (&*to).write_all(&block[..limit]).is_err() || limit < n {
                    return close();
                }
                break;
            }
            if matches!(to.take_error(), Ok(Some(_))) {
                return close();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Relays of the notes (datagrams) between senders. Each sender sends to, and receives from, an address of
/// the test's for each other sender. A relay is cut together with the link between the two senders.
struct NoteRelays {
    /// For each sender the addresses of all senders, itself included as on the platform's list, and the
    /// broadcast address.
    peers: Vec<Vec<SocketAddr>>,
    all: Vec<SocketAddr>,
}

impl NoteRelays {
    fn new(
        links: &BTreeMap<(usize, usize), Link>,
        n: usize,
        peer_address: impl Fn(usize) -> SocketAddr,
    ) -> Self {
        let socket = || Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a port"));
        let relays: BTreeMap<(usize, usize), Arc<UdpSocket>> = links.keys().map(|&k| (k, socket())).collect();
        let others = |i: usize| (0..n).filter(move |&j| j != i);
        let relay_from = |socket: Arc<UdpSocket>, from: usize, to: Vec<usize>| {
            let address = socket.local_addr().expect("an address");
            let route = |j| (links[&(from, j)].state.clone(), relays[&(j, from)].clone(), peer_address(j));
            let routes: Vec<_> = to.into_iter().map(route).collect();
            thread::spawn(move || {
                let mut note = [0; 512];
                while let Ok((n, _)) = socket.recv_from(&mut note) {
                    for (state, relay, to) in &routes {
                        let state = *state.lock().expect("not poisoned");
                        if state.forward && state.delay.is_zero() {
                            let _ = relay.send_to(&note[..n], to);
                        } else if state.forward {
                            let (note, relay, to) = (note[..n].to_vec(), relay.clone(), *to);
                            thread::spawn(move || {
                                thread::sleep(state.delay);
                                let _ = relay.send_to(&note, to);
                            });
                        }
                    }
                }
            });
            address
        };
        let to = |i: usize, j: usize| match i == j {
            true => peer_address(i),
            false => relay_from(relays[&(i, j)].clone(), i, vec![j]),
        };
        let peers = (0..n).map(|i| (0..n).map(|j| to(i, j)).collect());
        Self {
            peers: peers.collect(),
            all: (0..n).map(|i| relay_from(socket(), i, others(i).collect())).collect(),
        }
    }
}

/// What endpoints do with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Serve,
    /// Responds 503: the call did not run.
    Refuse,
    /// Responds 503 with `Retry-After` of two seconds.
    RefuseWithRetryAfter,
    /// Runs the call and does not respond.
    Hang,
}

/// What the endpoints are to do, and the calls that they received.
#[derive(Default)]
pub struct EndpointState {
    /// Zones whose endpoints close each connection on its first call.
    pub down_zones: BTreeSet<char>,
    /// If set, only endpoints of these destinations do so.
    pub down_destinations: Option<BTreeSet<u64>>,
    /// The time, zone and destination of each call, whether or not it was answered.
    pub call_log: Vec<(Instant, char, u64)>,
    /// What all endpoints do; they serve if it is not set.
    pub behavior: Option<Behavior>,
    /// For each message: how often it ran, whether that was answered, and how often it was called.
    pub runs: BTreeMap<String, usize>,
    pub answered: BTreeSet<String>,
    pub calls: BTreeMap<String, usize>,
}

/// A sender of the fleet.
pub struct Sender {
    pub name: String,
    pub folder: tempfile::TempDir,
    pub address: SocketAddr,
    pub child: Option<Child>,
    pub log: Arc<Mutex<Vec<String>>>,
    /// The address that the links of the other senders lead to.
    pub peer_address: SocketAddr,
    /// The clients' socket, if the test holds it so that processes can hand over.
    pub client_listener: Option<TcpListener>,
}

/// A fleet, its platform and its endpoints. The processes are killed when it is dropped.
pub struct Fleet {
    pub senders: Vec<Sender>,
    pub platform: Platform,
    pub endpoint_state: Arc<Mutex<EndpointState>>,
    _endpoints: Vec<Endpoint>,
    links: BTreeMap<(usize, usize), Link>,
    /// The links between a sender and each zone's endpoints, in fleets with evacuation.
    zone_links: BTreeMap<(usize, char), Vec<Link>>,
    starts: u64,
}

/// The number of fleets of this test process: each has loopback addresses of its own.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);
/// The port on which senders listen for each other. No test binds it on 127.0.0.1.
const PEER_PORT: u16 = 7950;
/// The port of the operators' address.
const ADMIN_PORT: u16 = 7951;
/// The port on which senders receive notes.
const NOTE_PORT: u16 = 7952;
/// The warm-up time of cold endpoints in fleets with evacuation.
pub const WARM_UP_SECONDS: f64 = 3.0;

/// The options of a fleet.
pub struct FleetOptions<'a> {
    pub senders: usize,
    /// How many replicas each message has.
    pub copies: usize,
    /// Further lines for the operator's file of each sender.
    pub operator_lines: &'a str,
    /// A sender, and the limit of its folder in megabytes.
    pub small_disk: Option<(usize, f64)>,
    /// Senders dial each other directly, without a link of the test.
    pub direct_links: bool,
    /// The test holds the clients' sockets.
    pub inherited_sockets: bool,
    /// Senders send notes to each other.
    pub notes: bool,
    /// Destinations 3 and 4 are in one zone and 5 in another; senders watch the zones and keep no replicas.
    pub zones: bool,
    /// All three destinations have an endpoint in each zone; senders evacuate zones and return to them.
    pub evacuation: bool,
    /// The shortest silence after which a sender counts as failed; a sender short of processor time is silent
    /// too.
    pub silence_ms: u64,
    /// A sender that uses 1,500 ms instead.
    pub impatient_sender: Option<usize>,
}

impl FleetOptions<'_> {
    /// Returns the default options.
    pub fn of(senders: usize, copies: usize) -> Self {
        Self {
            senders,
            copies,
            operator_lines: "",
            small_disk: None,
            direct_links: false,
            inherited_sockets: false,
            notes: false,
            zones: false,
            evacuation: false,
            silence_ms: 1_500,
            impatient_sender: None,
        }
    }
}

impl Fleet {
    /// Starts a fleet with the default options.
    pub fn new(senders: usize, copies: usize) -> Self {
        Self::with(&FleetOptions::of(senders, copies))
    }

    /// Starts a fleet and waits until all senders listen.
    pub fn with(options: &FleetOptions<'_>) -> Self {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let base = (std::process::id() % 200 + 20) as u8;
        let endpoint_state = Arc::<Mutex<EndpointState>>::default();
        let shared = endpoint_state.clone();
        // One zone with all endpoints; or two zones with destinations of their own, which all senders call,
        // also those in the third zone; or all destinations in each of three zones.
        let endpoint_keys: Vec<(char, u64)> = match (options.evacuation, options.zones) {
            (true, _) => ZONES.iter().flat_map(|&z| [(z, 3), (z, 4), (z, 5)]).collect(),
            (false, true) => vec![('b', 3), ('b', 4), ('c', 5)],
            (false, false) => vec![('a', 3), ('a', 4)],
        };
        let of = |&(zone, dest): &(char, u64)| {
            let shared = shared.clone();
            Endpoint::new(move |call| handle_call(&shared, zone, dest, call))
        };
        let endpoints: Vec<Endpoint> = endpoint_keys.iter().map(of).collect();
        let platform = Platform::new();
        let n = options.senders;
        let peer_address = |i: usize| {
            let ip = [127, base, (number % 250) as u8, i as u8 + 1];
            SocketAddr::from((ip, PEER_PORT))
        };
        let mut links = BTreeMap::new();
        for from in 0..n {
            for to in (0..n).filter(|&to| to != from) {
                links.insert((from, to), Link::new(peer_address(to)));
            }
        }
        let notes = options
            .notes
            .then(|| NoteRelays::new(&links, n, |j| SocketAddr::new(peer_address(j).ip(), NOTE_PORT)));
        let mut fleet = Self {
            senders: Vec::new(),
            platform,
            endpoint_state,
            _endpoints: endpoints,
            links,
            zone_links: BTreeMap::new(),
            starts: 0,
        };
        // Each sender has its own link to each endpoint, and finds the link's address in its list.
        if options.evacuation {
            for i in 0..n {
                for (at, &(zone, _)) in fleet._endpoints.iter().zip(&endpoint_keys) {
                    fleet.zone_links.entry((i, zone)).or_default().push(Link::new(at.address));
                }
            }
        }
        let listed = |i: usize, n: usize, (zone, dest): (char, u64)| {
            let link_address = fleet.zone_links.get(&(i, zone)).map(|w| w[(dest - 3) as usize].address);
            let at = link_address.unwrap_or(fleet._endpoints[n].address);
            let line = member(&format!("s-{zone}{dest}"), at, "shop", dest, "up");
            line.replace("\"locality\":\"a\"", &format!("\"locality\":\"{zone}\""))
        };
        let members: Vec<String> = (0..n)
            .map(|i| {
                let all = endpoint_keys.iter().enumerate().map(|(n, &place)| listed(i, n, place));
                all.collect::<Vec<_>>().join(",")
            })
            .collect();
        for (i, members) in members.iter().enumerate() {
            let folder = tempfile::tempdir().expect("a folder");
            std::fs::create_dir(folder.path().join("state")).expect("a folder");
            let disk = options.small_disk.filter(|s| s.0 == i).map_or(64.0, |s| s.1);
            let config = include_str!("../sockets/config.json")
                .replace("DISCOVERY", &fleet.platform.address.to_string())
                .replace("MEMBERS", members)
                .replace("\"name\": \"n0\"", &format!("\"name\": \"n{i}\""))
                .replace("\"disk_mb\": 3", &format!("\"disk_mb\": {disk}"))
                .replace(
                    "\"coldS\": 9.2",
                    &format!("\"coldS\": {}", if options.evacuation { WARM_UP_SECONDS } else { 9.2 }),
                )
                .replace("\"slots\": 7", "\"slots\": 40")
                .replace("\"mostHeld\": 230", "\"mostHeld\": 5000")
                .replace("\"locality\": \"a\"", &format!("\"locality\": \"{}\"", zone(i)))
                .replace("\"zones\": [\"a\"]", "\"zones\": [\"a\", \"b\", \"c\"]");
            let config = match &notes {
                Some(notes) => {
                    let listen = SocketAddr::new(peer_address(i).ip(), NOTE_PORT);
                    let peers: Vec<String> = notes.peers[i].iter().map(|a| format!("\"{a}\"")).collect();
                    let (peers, all) = (peers.join(","), notes.all[i]);
                    let ways = format!(
                        "\"peer_listen\": \"{listen}\", \"peers\": [{peers}], \"peers_all\": \"{all}\""
                    );
                    config
                        .replace("\"connIdleS\"", "\"peerMessages\": true, \"connIdleS\"")
                        .replace("\"siblings\": 1", &format!("\"siblings\": {n}"))
                        .replace("\"me\": 0", &format!("\"me\": {i}"))
                        .replace("\"peers\": []", &ways)
                }
                None => config,
            };
            std::fs::write(folder.path().join("config.json"), config).expect("a file");
            let mut operator = format!(
                "[copies]\ncount = {}\nlisten = \"{}\"\ninstallation = \"tests\"\nsilence_ms = {}\n{}\n",
                options.copies,
                peer_address(i),
                if options.impatient_sender == Some(i) { 1_500 } else { options.silence_ms },
                options.operator_lines
            );
            for j in (0..n).filter(|&j| j != i) {
                let at = if options.direct_links { peer_address(j) } else { fleet.links[&(i, j)].address };
                operator += &format!(
                    "[[copies.senders]]\nname = \"n{j}\"\naddress = \"{at}\"\nzone = \"{}\"\n",
                    zone(j)
                );
            }
            // Without replicas there is no file: earlier builds do not know these settings.
            if options.zones || options.evacuation {
                operator = format!(
                    "[zones]\nwatch = true\nleave = {}\n{}\n",
                    options.evacuation, options.operator_lines
                );
            }
            if options.copies > 0 || options.zones || options.evacuation {
                std::fs::write(folder.path().join("operator.toml"), operator).expect("a file");
            }
            fleet.senders.push(Sender {
                name: format!("n{i}"),
                folder,
                address: "127.0.0.1:0".parse().expect("an address"),
                child: None,
                log: Arc::default(),
                peer_address: peer_address(i),
                client_listener: options
                    .inherited_sockets
                    .then(|| TcpListener::bind("127.0.0.1:0").expect("a port")),
            });
        }
        // All start at once: each waits for the others before it admits clients.
        let waits: Vec<_> = (0..n).map(|i| fleet.spawn(i)).collect();
        for (i, started) in waits.into_iter().enumerate() {
            fleet.senders[i].address = started.join().expect("it started");
        }
        fleet
    }

    /// Starts a process; the returned thread ends with its clients' address once it listens.
    fn spawn(&mut self, i: usize) -> thread::JoinHandle<SocketAddr> {
        self.starts += 1;
        let s = &mut self.senders[i];
        let path = s.folder.path();
        let config = std::fs::read_to_string(path.join("config.json")).expect("a file");
        // The platform sets a new seed at each start.
        let seed = format!("\"seed\": \"{:016x}\"", 0x5eed_0000 + self.starts);
        let config: String = config
            .lines()
            .map(|l| match l.find("\"seed\": \"") {
                Some(at) => format!("{}{seed}{}\n", &l[..at], &l[at + seed.len()..]),
                None => format!("{l}\n"),
            })
            .collect();
        std::fs::write(path.join("config.json"), config).expect("a file");
        let program = std::env::var_os("PROGRAM");
        let mut command = Command::new(program.unwrap_or_else(|| env!("CARGO_BIN_EXE_notchpoint").into()));
        if path.join("operator.toml").exists() {
            command.arg("--operator").arg(path.join("operator.toml"));
        }
        // Two processes during a hand-over cannot both bind it.
        if s.client_listener.is_none() {
            command.env("BALANCER_ADMIN_ADDR", SocketAddr::new(s.peer_address.ip(), ADMIN_PORT).to_string());
        }
        if let Some(listener) = &s.client_listener {
            // The platform passes descriptor 4; a test can pass the standard input without unsafe code.
            let socket: std::os::fd::OwnedFd = listener.try_clone().expect("a descriptor").into();
            command.stdin(Stdio::from(socket)).env("BALANCER_ACCEPT_FD", "0");
        }
        let mut child = command
            .env("TMPDIR", path)
            .env("BALANCER_CONFIG", path.join("config.json"))
            .env("BALANCER_STATE", path.join("state"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let output = BufReader::new(child.stdout.take().expect("its output"));
        s.child = Some(child);
        let (log, name, shown_log) = (s.log.clone(), s.name.clone(), s.log.clone());
        let (ready, address) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if std::env::var_os("SHOW").is_some() {
                    println!("{name}: {line}");
                }
                if let Some((_, at)) = line.split_once("listening on ") {
                    let _ = ready.send(at.parse().expect("an address"));
                }
                log.lock().expect("not poisoned").push(line);
            }
        });
        thread::spawn(move || {
            let listening = address.recv_timeout(Duration::from_secs(30));
            listening.unwrap_or_else(|e| {
                panic!("it does not listen: {e}; {:?}", shown_log.lock().expect("not poisoned"))
            })
        })
    }

    /// Starts a sender's process and waits until it listens.
    pub fn start(&mut self, i: usize) {
        let started = self.spawn(i);
        self.senders[i].address = started.join().expect("it started");
    }

    /// Starts a successor beside the running process, and returns the predecessor.
    pub fn hand_over(&mut self, i: usize) -> Predecessor {
        let predecessor = Predecessor(self.senders[i].child.take().expect("it runs"));
        let before = self.senders[i].address;
        self.start(i);
        assert_eq!(self.senders[i].address, before, "both have one socket");
        predecessor
    }

    /// Sends a signal to a sender's process.
    pub fn signal(&self, i: usize, name: &str) {
        let pid = self.senders[i].child.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Kills the process with SIGKILL; the folder stays.
    pub fn kill(&mut self, i: usize) {
        let mut child = self.senders[i].child.take().expect("it runs");
        child.kill().expect("it runs");
        child.wait().expect("it ended");
    }

    /// Kills the process and empties its folder, as the loss of the machine does.
    pub fn lose_machine(&mut self, i: usize) {
        self.kill(i);
        let state = self.senders[i].folder.path().join("state");
        std::fs::remove_dir_all(&state).expect("a folder");
        std::fs::create_dir(&state).expect("a folder");
    }

    /// Updates the links that carry bytes from `from` to `to`. `how` receives `true` for the link that `from`
    /// dials, and `false` for the one that `to` dials.
    fn update_links(&self, from: usize, to: usize, how: impl Fn(&mut LinkState, bool)) {
        how(&mut self.links[&(from, to)].state.lock().expect("not poisoned"), true);
        how(&mut self.links[&(to, from)].state.lock().expect("not poisoned"), false);
    }

    /// Holds all bytes from one sender to the other, on both links.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.update_links(from, to, |w, dialed| if dialed { w.forward = false } else { w.backward = false });
    }

    /// Holds all bytes between two senders.
    pub fn cut(&self, a: usize, b: usize) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Cuts a sender off from all others.
    pub fn isolate(&self, i: usize) {
        (0..self.senders.len()).filter(|&j| j != i).for_each(|j| self.cut(i, j));
    }

    /// Delays the bytes on the links that `from` dials to `to`.
    pub fn delay(&self, from: usize, to: usize, by: Duration) {
        self.links[&(from, to)].state.lock().expect("not poisoned").delay = by;
    }

    /// Limits the throughput of the links between two senders, in each direction.
    pub fn throttle(&self, a: usize, b: usize, bytes_per_second: u32) {
        for link in [(a, b), (b, a)] {
            self.links[&link].state.lock().expect("not poisoned").bytes_per_second = Some(bytes_per_second);
        }
    }

    /// Returns whether a sender's folder contains these bytes.
    pub fn has_written(&self, i: usize, what: &[u8]) -> bool {
        let state = self.senders[i].folder.path().join("state");
        let files = std::fs::read_dir(state).expect("a folder").flatten();
        files.filter_map(|f| std::fs::read(f.path()).ok()).any(|b| b.windows(what.len()).any(|w| w == what))
    }

    /// Makes each connection that `from` dials to `to` break after so many bytes.
    pub fn reset_after(&self, from: usize, to: usize, bytes: usize) {
        self.links[&(from, to)].state.lock().expect("not poisoned").reset_after_bytes = Some(bytes);
        self.links[&(from, to)].break_all();
    }

    /// Restores all links; connections on those that were changed are closed.
    pub fn heal(&self) {
        for link in self.links.values() {
            let was = std::mem::replace(&mut *link.state.lock().expect("not poisoned"), OPEN_LINK);
            if was != OPEN_LINK {
                link.break_all();
            }
        }
    }

    /// Sets what all endpoints do with calls.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.endpoint_state.lock().expect("not poisoned").behavior = Some(behavior);
    }

    /// Makes a zone's endpoints fail, or serve again.
    pub fn set_zone_down(&self, zone: char, fails: bool) {
        let mut endpoint_state = self.endpoint_state.lock().expect("not poisoned");
        if fails {
            endpoint_state.down_zones.insert(zone)
        } else {
            endpoint_state.down_zones.remove(&zone)
        };
    }

    /// Returns the list entry of a zone's endpoint for a destination, with an id that starts with `name`.
    pub fn list_entry(&self, zone: char, dest: u64, name: &str, phase: &str) -> String {
        let place = ZONES.iter().position(|z| *z == zone).expect("a zone") * 3 + (dest - 3) as usize;
        let line =
            member(&format!("{name}-{zone}{dest}"), self._endpoints[place].address, "shop", dest, phase);
        line.replace("\"locality\":\"a\"", &format!("\"locality\":\"{zone}\""))
    }

    /// Cuts a sender off from a zone's endpoints, or restores its links to them.
    pub fn set_zone_cut(&self, i: usize, zone: char, cut: bool) {
        for link in &self.zone_links[&(i, zone)] {
            let mut state = link.state.lock().expect("not poisoned");
            (state.forward, state.backward) = (!cut, !cut);
            link.break_all();
        }
    }

    /// Submits a message for destination 3 to a sender and returns the response.
    pub fn submit(&self, i: usize, class: &str, id: u64, ms: u64) -> HttpMessage {
        Client::new(self.senders[i].address).submit(class, id, 3, ms, b"hello")
    }

    /// Submits messages of both classes, payments with even ids and updates with odd ones, and returns the
    /// ids that were acknowledged.
    pub fn submit_many(&self, i: usize, ids: std::ops::Range<u64>, ms: u64) -> Vec<u64> {
        let mut client = Client::new(self.senders[i].address);
        let mut is_accepted = |id: &u64| {
            let class = if id.is_multiple_of(2) { "payment" } else { "update" };
            client.submit(class, *id, 3, ms, b"hello").status() == 202
        };
        ids.filter(|id| is_accepted(id)).collect()
    }

    /// Returns how many calls endpoints received for a message, except in zones that are down.
    pub fn calls(&self, id: u64) -> usize {
        self.endpoint_state
            .lock()
            .expect("not poisoned")
            .calls
            .get(&format!("{id:016x}"))
            .copied()
            .unwrap_or(0)
    }

    /// Returns how often a message ran at endpoints.
    pub fn runs(&self, id: u64) -> usize {
        self.endpoint_state
            .lock()
            .expect("not poisoned")
            .runs
            .get(&format!("{id:016x}"))
            .copied()
            .unwrap_or(0)
    }

    pub fn was_answered(&self, id: u64) -> bool {
        self.endpoint_state.lock().expect("not poisoned").answered.contains(&format!("{id:016x}"))
    }

    /// Returns whether a message was answered by an endpoint or has a notice.
    pub fn has_ended(&self, id: u64) -> bool {
        self.was_answered(id) || self.platform.has_notice(id)
    }

    /// Waits until all these messages have ended.
    pub fn wait_until_all_ended(&self, ids: &[u64]) {
        let open = || ids.iter().filter(|id| !self.has_ended(**id)).count();
        let begun = Instant::now();
        while open() > 0 {
            let some: Vec<u64> = ids.iter().copied().filter(|id| !self.has_ended(*id)).take(10).collect();
            let late = begun.elapsed() > Duration::from_secs(90);
            assert!(!late, "{} of {} messages have not ended, such as {some:?}", open(), ids.len());
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Asserts that each payment ran at most once, and that none which ran was reported as bounced (safe to
    /// submit again).
    pub fn assert_nothing_twice(&self, ids: &[u64]) {
        let is_bounced = |id: u64| {
            let notices = self.platform.notices.lock().expect("not poisoned");
            let name = format!("{id:016x}");
            notices.iter().any(|n| n.contains(&name) && n.contains("bounced"))
        };
        for &id in ids.iter().filter(|id| id.is_multiple_of(2)) {
            assert!(self.runs(id) <= 1, "payment {id} ran {} times", self.runs(id));
            assert!(self.runs(id) == 0 || !is_bounced(id), "payment {id} ran and was bounced");
        }
    }

    /// Returns the number of bytes that passed on all links.
    pub fn bytes_on_links(&self) -> u64 {
        self.links.values().map(|l| l.bytes_passed.load(Ordering::Relaxed)).sum()
    }

    /// Returns the part `copies` of a sender's status; `None` if the sender does not respond.
    pub fn status(&self, i: usize) -> Option<serde_json::Value> {
        self.status_of(i, "copies")
    }

    /// Returns a part of a sender's status; `None` if the sender does not respond.
    pub fn status_of(&self, i: usize, part: &str) -> Option<serde_json::Value> {
        let at = SocketAddr::new(self.senders[i].peer_address.ip(), ADMIN_PORT);
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: it\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let status: serde_json::Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
        status.get(part).cloned()
    }

    /// Loses machines and replaces them by empty ones. Waits until all others know that the old incarnations
    /// have ended, and all senders report that another loss can be borne.
    pub fn lose_and_replace(&mut self, lost: &[usize]) {
        let n = self.senders.len();
        let failure_text = |i: usize| format!("n{i} has failed or is unreachable");
        let others: Vec<usize> = (0..n).filter(|i| !lost.contains(i)).collect();
        let known_losses = |fleet: &Self| -> usize {
            let reports =
                |&at: &usize| lost.iter().map(|&i| fleet.log_count(at, &failure_text(i))).sum::<usize>();
            others.iter().map(reports).sum()
        };
        let before = known_losses(self);
        lost.iter().for_each(|&i| self.lose_machine(i));
        self.set_behavior(Behavior::Serve);
        let starts: Vec<_> = lost.iter().map(|&i| (i, self.spawn(i))).collect();
        for (i, started) in starts {
            self.senders[i].address = started.join().expect("it started");
        }
        wait_until("all others know of the loss", || {
            known_losses(self) >= before + lost.len() * others.len()
        });
        self.wait_until_redundant();
    }

    /// Waits until all senders report that another loss can be borne.
    pub fn wait_until_redundant(&self) {
        let is_redundant = |i| self.status(i).is_some_and(|s| s["bears_another_loss"] == true);
        wait_until("another loss can be borne", || (0..self.senders.len()).all(is_redundant));
    }

    /// Returns how many lines of a sender's log contain this text.
    pub fn log_count(&self, i: usize, what: &str) -> usize {
        self.senders[i].log.lock().expect("not poisoned").iter().filter(|l| l.contains(what)).count()
    }

    /// Waits until a sender's log contains this text.
    pub fn wait_for_log(&self, i: usize, what: &str) {
        wait_until(&format!("n{i}: {what}"), || self.log_count(i, what) > 0);
    }

    /// Waits until the log of any sender contains this text.
    pub fn wait_for_log_of_any(&self, what: &str) {
        wait_until(what, || (0..self.senders.len()).any(|i| self.log_count(i, what) > 0));
    }
}

/// A process that hands over to a successor. It is killed at the end of the test in any case.
pub struct Predecessor(Child);

impl Drop for Predecessor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.senders.iter_mut().filter_map(|s| s.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

const ZONES: [char; 3] = ['a', 'b', 'c'];

/// Returns the zone of a sender.
fn zone(i: usize) -> char {
    ZONES[i % 3]
}

/// Records a call at an endpoint and returns the reply that the test's settings call for.
fn handle_call(endpoint_state: &Mutex<EndpointState>, zone: char, dest: u64, call: &HttpMessage) -> Reply {
    let id = call.header("x-request-id").to_owned();
    let mut all = endpoint_state.lock().expect("not poisoned");
    all.call_log.push((Instant::now(), zone, dest));
    if all.down_zones.contains(&zone) && all.down_destinations.as_ref().is_none_or(|d| d.contains(&dest)) {
        return Reply::Close;
    }
    *all.calls.entry(id.clone()).or_default() += 1;
    let behavior = all.behavior.unwrap_or(Behavior::Serve);
    if !matches!(behavior, Behavior::Refuse | Behavior::RefuseWithRetryAfter) {
        *all.runs.entry(id.clone()).or_default() += 1;
    }
    match behavior {
        Behavior::Serve => {
            all.answered.insert(id);
            response("200 OK", "", "")
        }
        Behavior::Refuse => response("503 Busy", "", ""),
        Behavior::RefuseWithRetryAfter => response("503 Busy", "Retry-After: 2\r\n", ""),
        Behavior::Hang => Reply::Hang,
    }
}
