//! Several processes of the program, each with its own folder, and between any two a link that the test can
//! cut, hold, slow down, or break in the middle of a frame. It waits on conditions: what a sender says in
//! its log, what endpoints saw, what the platform was told.

use crate::world::{Client, Endpoint, Heard, Platform, Reply, answer, member, until};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a link fares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Bytes pass from who dialed to who was dialed, and back.
    pub there: bool,
    pub back: bool,
    /// They wait so long on the way.
    pub delay: Duration,
    /// So many pass, and then the connection is reset.
    pub reset_after: Option<usize>,
    /// So many pass in a second.
    pub per_second: Option<u32>,
}

const OPEN: Way = Way { there: true, back: true, delay: Duration::ZERO, reset_after: None, per_second: None };

/// What lies between one sender and another that it dials.
struct Link {
    at: SocketAddr,
    way: Arc<Mutex<Way>>,
    standing: Arc<Mutex<Vec<TcpStream>>>,
    passed: Arc<AtomicU64>,
}

impl Link {
    fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let (way, standing) = (Arc::new(Mutex::new(OPEN)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let passed = Arc::<AtomicU64>::default();
        let (shared, streams, count) = (way.clone(), standing.clone(), passed.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let (way, streams, count) = (shared.clone(), streams.clone(), count.clone());
                thread::spawn(move || pass(near, to, &way, &streams, &count));
            }
        });
        Self { at, way, standing, passed }
    }

    fn break_all(&self) {
        for stream in self.standing.lock().expect("sound").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Moves bytes both ways while both ends stand.
fn pass(
    near: TcpStream,
    to: SocketAddr,
    way: &Arc<Mutex<Way>>,
    streams: &Mutex<Vec<TcpStream>>,
    count: &Arc<AtomicU64>,
) {
    // Over a cut nobody answers: the connection comes up once that is over, if it still stands.
    let Ok(far) = TcpStream::connect(to) else { return };
    let pair = |s: &TcpStream| s.try_clone().expect("a handle");
    streams.lock().expect("sound").extend([pair(&near), pair(&far)]);
    let (back_from, back_to, shared, counted) = (pair(&far), pair(&near), way.clone(), count.clone());
    let back = thread::spawn(move || one_way(&back_from, &back_to, &shared, &counted, |w| w.back));
    one_way(&near, &far, way, count, |w| w.there);
    let _ = back.join();
}

fn one_way(
    from: &TcpStream,
    to: &TcpStream,
    way: &Mutex<Way>,
    count: &AtomicU64,
    open: impl Fn(&Way) -> bool,
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut block = [0; 4096];
    let mut passed = 0;
    let end = || {
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    };
    loop {
        let n = match (&*from).read(&mut block) {
            Ok(0) => return end(),
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => return end(),
        };
        loop {
            let now = *way.lock().expect("sound");
            if open(&now) {
                let pace = now.per_second.map_or(Duration::ZERO, |p| Duration::from_secs(n as u64) / p);
                thread::sleep(now.delay + pace);
                let most = now.reset_after.map_or(n, |m| m.saturating_sub(passed).min(n));
                passed += n;
                count.fetch_add(most as u64, Ordering::Relaxed);
                if (&*to).write_all(&block[..most]).is_err() || most < n {
                    return end();
                }
                break;
            }
            if matches!(to.take_error(), Ok(Some(_))) {
                return end();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// The ways of datagrams between senders: each reaches another under an address of the test's, and hears it
/// from there. They are cut with the links between the two.
struct Notes {
    /// Where a sender writes to each, itself among them as on the platform's list, and to all at once.
    peers: Vec<Vec<SocketAddr>>,
    all: Vec<SocketAddr>,
}

impl Notes {
    fn new(links: &BTreeMap<(usize, usize), Link>, n: usize, listens: impl Fn(usize) -> SocketAddr) -> Self {
        let socket = || Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a port"));
        let relays: BTreeMap<(usize, usize), Arc<UdpSocket>> = links.keys().map(|&k| (k, socket())).collect();
        let others = |i: usize| (0..n).filter(move |&j| j != i);
        let hears = |socket: Arc<UdpSocket>, from: usize, to: Vec<usize>| {
            let at = socket.local_addr().expect("an address");
            let way = |j| (links[&(from, j)].way.clone(), relays[&(j, from)].clone(), listens(j));
            let ways: Vec<_> = to.into_iter().map(way).collect();
            thread::spawn(move || {
                let mut note = [0; 512];
                while let Ok((n, _)) = socket.recv_from(&mut note) {
                    for (way, relay, to) in &ways {
                        let way = *way.lock().expect("sound");
                        if way.there && way.delay.is_zero() {
                            let _ = relay.send_to(&note[..n], to);
                        } else if way.there {
                            let (note, relay, to) = (note[..n].to_vec(), relay.clone(), *to);
                            thread::spawn(move || {
                                thread::sleep(way.delay);
                                let _ = relay.send_to(&note, to);
                            });
                        }
                    }
                }
            });
            at
        };
        let to = |i: usize, j: usize| match i == j {
            true => listens(i),
            false => hears(relays[&(i, j)].clone(), i, vec![j]),
        };
        let peers = (0..n).map(|i| (0..n).map(|j| to(i, j)).collect());
        Self {
            peers: peers.collect(),
            all: (0..n).map(|i| hears(socket(), i, others(i).collect())).collect(),
        }
    }
}

/// What endpoints do, and what came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Serve,
    /// Turned away: it never ran.
    Busy,
    /// The same, and told to wait for two seconds.
    Wait,
    /// It runs, and nobody hears of it.
    Hang,
}

#[derive(Default)]
pub struct Effects {
    /// Zones whose endpoints end each connection on its first call.
    pub down: BTreeSet<char>,
    /// Of these only such destinations.
    pub down_dests: Option<BTreeSet<u64>>,
    /// When which endpoint was called, by zone and destination, whether or not it answered.
    pub called: Vec<(Instant, char, u64)>,
    pub does: Option<Does>,
    /// For each message: how often it ran, how often that was answered, and all calls.
    pub ran: BTreeMap<String, usize>,
    pub answered: BTreeSet<String>,
    pub calls: BTreeMap<String, usize>,
}

/// One sender.
pub struct Sender {
    pub name: String,
    pub folder: tempfile::TempDir,
    pub address: SocketAddr,
    pub child: Option<Child>,
    pub log: Arc<Mutex<Vec<String>>>,
    /// Where the others' links end.
    pub listens: SocketAddr,
    /// The clients' socket, where the test holds it, so that processes may take over from one another.
    pub held: Option<TcpListener>,
}

pub struct Fleet {
    pub senders: Vec<Sender>,
    pub platform: Platform,
    pub effects: Arc<Mutex<Effects>>,
    _endpoints: Vec<Endpoint>,
    links: BTreeMap<(usize, usize), Link>,
    /// Between a sender and each zone's endpoints, where it is asked for.
    ways: BTreeMap<(usize, char), Vec<Link>>,
    starts: u64,
}

/// Fleets of this process: each has loopback addresses of its own.
static FLEETS: AtomicU32 = AtomicU32::new(0);
/// Where senders listen to one another. No test binds it on 127.0.0.1.
const PORT: u16 = 7950;
/// And where operators call them.
const ADMIN: u16 = 7951;
/// And where their notes come.
const NOTES: u16 = 7952;
/// How long endpoints are cold in fleets that leave zones.
pub const COLD_S: f64 = 3.0;

pub struct Wanted<'a> {
    pub senders: usize,
    pub count: usize,
    /// Lines for the operator's file of all.
    pub more: &'a str,
    /// A sender with a folder of so many megabytes.
    pub small: Option<(usize, f64)>,
    /// Senders reach each other without a link of the test's between them.
    pub direct: bool,
    /// The test holds the clients' sockets.
    pub held: bool,
    /// Senders may write notes to one another.
    pub notes: bool,
    /// Destinations 3 and 4 stand in one zone and 5 in another; senders watch those, without copies.
    pub zones: bool,
    /// All three have an endpoint in each zone; senders leave zones and return to them.
    pub leave: bool,
    /// The shortest silence that counts, in milliseconds; a sender that is starved is silent too.
    pub silence: u64,
    /// One that takes others for gone sooner than that.
    pub impatient: Option<usize>,
}

impl Wanted<'_> {
    pub fn of(senders: usize, count: usize) -> Self {
        Self {
            senders,
            count,
            more: "",
            small: None,
            direct: false,
            held: false,
            notes: false,
            zones: false,
            leave: false,
            silence: 1_500,
            impatient: None,
        }
    }
}

impl Fleet {
    pub fn new(senders: usize, count: usize) -> Self {
        Self::with(&Wanted::of(senders, count))
    }

    pub fn with(wanted: &Wanted<'_>) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let base = (std::process::id() % 200 + 20) as u8;
        let effects = Arc::<Mutex<Effects>>::default();
        let shared = effects.clone();
        // One for all; or one in each of two zones, with destinations of its own: all senders call both, also
        // those that stand in the third one.
        let places: Vec<(char, u64)> = match (wanted.leave, wanted.zones) {
            (true, _) => ZONES.iter().flat_map(|&z| [(z, 3), (z, 4), (z, 5)]).collect(),
            (false, true) => vec![('b', 3), ('b', 4), ('c', 5)],
            (false, false) => vec![('a', 3), ('a', 4)],
        };
        let of = |&(zone, dest): &(char, u64)| {
            let shared = shared.clone();
            Endpoint::new(move |call| does(&shared, zone, dest, call))
        };
        let endpoints: Vec<Endpoint> = places.iter().map(of).collect();
        let platform = Platform::new();
        let n = wanted.senders;
        let listens = |i: usize| {
            let ip = [127, base, (number % 250) as u8, i as u8 + 1];
            SocketAddr::from((ip, PORT))
        };
        let mut links = BTreeMap::new();
        for from in 0..n {
            for to in (0..n).filter(|&to| to != from) {
                links.insert((from, to), Link::new(listens(to)));
            }
        }
        let notes = wanted.notes.then(|| Notes::new(&links, n, |j| SocketAddr::new(listens(j).ip(), NOTES)));
        let mut fleet = Self {
            senders: Vec::new(),
            platform,
            effects,
            _endpoints: endpoints,
            links,
            ways: BTreeMap::new(),
            starts: 0,
        };
        // Endpoints may have another address for each sender: here, that of the way there.
        if wanted.leave {
            for i in 0..n {
                for (at, &(zone, _)) in fleet._endpoints.iter().zip(&places) {
                    fleet.ways.entry((i, zone)).or_default().push(Link::new(at.address));
                }
            }
        }
        let listed = |i: usize, n: usize, (zone, dest): (char, u64)| {
            let way = fleet.ways.get(&(i, zone)).map(|w| w[(dest - 3) as usize].at);
            let at = way.unwrap_or(fleet._endpoints[n].address);
            let line = member(&format!("s-{zone}{dest}"), at, "shop", dest, "up");
            line.replace("\"locality\":\"a\"", &format!("\"locality\":\"{zone}\""))
        };
        let members: Vec<String> = (0..n)
            .map(|i| {
                let all = places.iter().enumerate().map(|(n, &place)| listed(i, n, place));
                all.collect::<Vec<_>>().join(",")
            })
            .collect();
        for (i, members) in members.iter().enumerate() {
            let folder = tempfile::tempdir().expect("a folder");
            std::fs::create_dir(folder.path().join("state")).expect("a folder");
            let disk = wanted.small.filter(|s| s.0 == i).map_or(64.0, |s| s.1);
            let config = include_str!("../sockets/config.json")
                .replace("DISCOVERY", &fleet.platform.address.to_string())
                .replace("MEMBERS", members)
                .replace("\"name\": \"n0\"", &format!("\"name\": \"n{i}\""))
                .replace("\"disk_mb\": 3", &format!("\"disk_mb\": {disk}"))
                .replace("\"coldS\": 9.2", &format!("\"coldS\": {}", if wanted.leave { COLD_S } else { 9.2 }))
                .replace("\"slots\": 7", "\"slots\": 40")
                .replace("\"mostHeld\": 230", "\"mostHeld\": 5000")
                .replace("\"locality\": \"a\"", &format!("\"locality\": \"{}\"", zone(i)))
                .replace("\"zones\": [\"a\"]", "\"zones\": [\"a\", \"b\", \"c\"]");
            let config = match &notes {
                Some(notes) => {
                    let listen = SocketAddr::new(listens(i).ip(), NOTES);
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
                wanted.count,
                listens(i),
                if wanted.impatient == Some(i) { 1_500 } else { wanted.silence },
                wanted.more
            );
            for j in (0..n).filter(|&j| j != i) {
                let at = if wanted.direct { listens(j) } else { fleet.links[&(i, j)].at };
                operator += &format!(
                    "[[copies.senders]]\nname = \"n{j}\"\naddress = \"{at}\"\nzone = \"{}\"\n",
                    zone(j)
                );
            }
            // Without copies no file at all: earlier builds know nothing of them.
            if wanted.zones || wanted.leave {
                operator = format!("[zones]\nwatch = true\nleave = {}\n{}\n", wanted.leave, wanted.more);
            }
            if wanted.count > 0 || wanted.zones || wanted.leave {
                std::fs::write(folder.path().join("operator.toml"), operator).expect("a file");
            }
            fleet.senders.push(Sender {
                name: format!("n{i}"),
                folder,
                address: "127.0.0.1:0".parse().expect("an address"),
                child: None,
                log: Arc::default(),
                listens: listens(i),
                held: wanted.held.then(|| TcpListener::bind("127.0.0.1:0").expect("a port")),
            });
        }
        // All at once: each waits for the others before it takes clients.
        let waits: Vec<_> = (0..n).map(|i| fleet.spawn(i)).collect();
        for (i, started) in waits.into_iter().enumerate() {
            fleet.senders[i].address = started.join().expect("it started");
        }
        fleet
    }

    fn spawn(&mut self, i: usize) -> thread::JoinHandle<SocketAddr> {
        self.starts += 1;
        let s = &mut self.senders[i];
        let path = s.folder.path();
        let config = std::fs::read_to_string(path.join("config.json")).expect("a file");
        // The platform gives a new seed with each start.
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
        // Two processes that take turns cannot both have it.
        if s.held.is_none() {
            command.env("BALANCER_ADMIN_ADDR", SocketAddr::new(s.listens.ip(), ADMIN).to_string());
        }
        if let Some(held) = &s.held {
            // The platform names descriptor 4; a test can hand on the standard input without unsafe code.
            let socket: std::os::fd::OwnedFd = held.try_clone().expect("a descriptor").into();
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
        let (log, name, said) = (s.log.clone(), s.name.clone(), s.log.clone());
        let (tell, told) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if std::env::var_os("SHOW").is_some() {
                    println!("{name}: {line}");
                }
                if let Some((_, at)) = line.split_once("listening on ") {
                    let _ = tell.send(at.parse().expect("an address"));
                }
                log.lock().expect("sound").push(line);
            }
        });
        thread::spawn(move || {
            let listens = told.recv_timeout(Duration::from_secs(30));
            listens.unwrap_or_else(|e| panic!("it does not listen: {e}; {:?}", said.lock().expect("sound")))
        })
    }

    pub fn start(&mut self, i: usize) {
        let started = self.spawn(i);
        self.senders[i].address = started.join().expect("it started");
    }

    /// Starts the next process beside this one. Gives the old one.
    pub fn upgrade(&mut self, i: usize) -> Old {
        let old = Old(self.senders[i].child.take().expect("it runs"));
        let before = self.senders[i].address;
        self.start(i);
        assert_eq!(self.senders[i].address, before, "one socket for both");
        old
    }

    pub fn signal(&self, i: usize, name: &str) {
        let pid = self.senders[i].child.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Ends it as SIGKILL does; the folder stays.
    pub fn kill(&mut self, i: usize) {
        let mut child = self.senders[i].child.take().expect("it runs");
        child.kill().expect("it runs");
        child.wait().expect("it ended");
    }

    /// The machine is gone, and its folder with it.
    pub fn lose(&mut self, i: usize) {
        self.kill(i);
        let state = self.senders[i].folder.path().join("state");
        std::fs::remove_dir_all(&state).expect("a folder");
        std::fs::create_dir(&state).expect("a folder");
    }

    /// Alters one way between two senders: the links that `from` dialed there, and those from there to it.
    fn alter(&self, from: usize, to: usize, how: impl Fn(&mut Way, bool)) {
        how(&mut self.links[&(from, to)].way.lock().expect("sound"), true);
        how(&mut self.links[&(to, from)].way.lock().expect("sound"), false);
    }

    /// Nothing passes from one to the other any more, on whatever link.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.alter(from, to, |w, dialed| if dialed { w.there = false } else { w.back = false });
    }

    pub fn cut(&self, a: usize, b: usize) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// A sender alone.
    pub fn cut_off(&self, i: usize) {
        (0..self.senders.len()).filter(|&j| j != i).for_each(|j| self.cut(i, j));
    }

    pub fn delay(&self, from: usize, to: usize, by: Duration) {
        self.links[&(from, to)].way.lock().expect("sound").delay = by;
    }

    /// No more than so many bytes a second pass on the links between two, each way.
    pub fn throttle(&self, a: usize, b: usize, per_second: u32) {
        for link in [(a, b), (b, a)] {
            self.links[&link].way.lock().expect("sound").per_second = Some(per_second);
        }
    }

    /// Whether a sender's folder holds these bytes.
    pub fn has_written(&self, i: usize, what: &[u8]) -> bool {
        let state = self.senders[i].folder.path().join("state");
        let files = std::fs::read_dir(state).expect("a folder").flatten();
        files.filter_map(|f| std::fs::read(f.path()).ok()).any(|b| b.windows(what.len()).any(|w| w == what))
    }

    /// The links that `from` dials to `to` break after so many bytes, again and again.
    pub fn reset_after(&self, from: usize, to: usize, bytes: usize) {
        self.links[&(from, to)].way.lock().expect("sound").reset_after = Some(bytes);
        self.links[&(from, to)].break_all();
    }

    /// All links are as new; what a cut had held is reset.
    pub fn heal(&self) {
        for link in self.links.values() {
            let was = std::mem::replace(&mut *link.way.lock().expect("sound"), OPEN);
            if was != OPEN {
                link.break_all();
            }
        }
    }

    pub fn do_all(&self, does: Does) {
        self.effects.lock().expect("sound").does = Some(does);
    }

    /// A zone's endpoints fail, or serve again.
    pub fn down(&self, zone: char, fails: bool) {
        let mut effects = self.effects.lock().expect("sound");
        if fails {
            effects.down.insert(zone)
        } else {
            effects.down.remove(&zone)
        };
    }

    /// The list's line of the endpoint that a zone has for a destination, under a name of this making.
    pub fn line(&self, zone: char, dest: u64, name: &str, phase: &str) -> String {
        let place = ZONES.iter().position(|z| *z == zone).expect("a zone") * 3 + (dest - 3) as usize;
        let line =
            member(&format!("{name}-{zone}{dest}"), self._endpoints[place].address, "shop", dest, phase);
        line.replace("\"locality\":\"a\"", &format!("\"locality\":\"{zone}\""))
    }

    /// A sender no longer reaches a zone's endpoints, or does again.
    pub fn cut_from(&self, i: usize, zone: char, cut: bool) {
        for link in &self.ways[&(i, zone)] {
            let mut way = link.way.lock().expect("sound");
            (way.there, way.back) = (!cut, !cut);
            link.break_all();
        }
    }

    pub fn hand_in(&self, i: usize, class: &str, id: u64, ms: u64) -> Heard {
        Client::new(self.senders[i].address).hand_in(class, id, 3, ms, b"hello")
    }

    /// Hands in so many of both classes, and gives those that were promised.
    pub fn hand_in_many(&self, i: usize, ids: std::ops::Range<u64>, ms: u64) -> Vec<u64> {
        let mut client = Client::new(self.senders[i].address);
        let mut taken = |id: &u64| {
            let class = if id.is_multiple_of(2) { "payment" } else { "update" };
            client.hand_in(class, *id, 3, ms, b"hello").status() == 202
        };
        ids.filter(|id| taken(id)).collect()
    }

    pub fn calls(&self, id: u64) -> usize {
        self.effects.lock().expect("sound").calls.get(&format!("{id:016x}")).copied().unwrap_or(0)
    }

    pub fn ran(&self, id: u64) -> usize {
        self.effects.lock().expect("sound").ran.get(&format!("{id:016x}")).copied().unwrap_or(0)
    }

    pub fn was_answered(&self, id: u64) -> bool {
        self.effects.lock().expect("sound").answered.contains(&format!("{id:016x}"))
    }

    pub fn has_ended(&self, id: u64) -> bool {
        self.was_answered(id) || self.platform.has_notice(id)
    }

    pub fn all_end(&self, ids: &[u64]) {
        let open = || ids.iter().filter(|id| !self.has_ended(**id)).count();
        let begun = Instant::now();
        while open() > 0 {
            let some: Vec<u64> = ids.iter().copied().filter(|id| !self.has_ended(*id)).take(10).collect();
            let late = begun.elapsed() > Duration::from_secs(90);
            assert!(!late, "{} of {} never ended, such as {some:?}", open(), ids.len());
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Payments took effect once at the most, and none was said to be harmless to hand in again that did.
    pub fn nothing_twice(&self, ids: &[u64]) {
        let bounced = |id: u64| {
            let notices = self.platform.notices.lock().expect("sound");
            let name = format!("{id:016x}");
            notices.iter().any(|n| n.contains(&name) && n.contains("bounced"))
        };
        for &id in ids.iter().filter(|id| id.is_multiple_of(2)) {
            assert!(self.ran(id) <= 1, "payment {id} took effect {} times", self.ran(id));
            assert!(self.ran(id) == 0 || !bounced(id), "payment {id} took effect and was given back");
        }
    }

    /// Bytes that have passed on all links.
    pub fn passed(&self) -> u64 {
        self.links.values().map(|l| l.passed.load(Ordering::Relaxed)).sum()
    }

    /// What a sender tells operators of its copies; nothing where it does not run, or not yet.
    pub fn status(&self, i: usize) -> Option<serde_json::Value> {
        self.status_of(i, "copies")
    }

    /// What it tells of a part.
    pub fn status_of(&self, i: usize, part: &str) -> Option<serde_json::Value> {
        let at = SocketAddr::new(self.senders[i].listens.ip(), ADMIN);
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: it\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let status: serde_json::Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
        status.get(part).cloned()
    }

    /// Loses a machine and puts an empty one in its place; once all others know that its life is over, and
    /// all say that another loss could be borne, it is as it was.
    pub fn lose_and_mend(&mut self, lost: &[usize]) {
        let n = self.senders.len();
        let gone = |i: usize| format!("n{i} has failed or is unreachable");
        let others: Vec<usize> = (0..n).filter(|i| !lost.contains(i)).collect();
        let knew = |fleet: &Self| -> usize {
            let told = |&at: &usize| lost.iter().map(|&i| fleet.said(at, &gone(i))).sum::<usize>();
            others.iter().map(told).sum()
        };
        let before = knew(self);
        lost.iter().for_each(|&i| self.lose(i));
        self.do_all(Does::Serve);
        let starts: Vec<_> = lost.iter().map(|&i| (i, self.spawn(i))).collect();
        for (i, started) in starts {
            self.senders[i].address = started.join().expect("it started");
        }
        until("all know", || knew(self) >= before + lost.len() * others.len());
        self.all_whole();
    }

    /// Waits until all say that another loss could be borne.
    pub fn all_whole(&self) {
        let whole = |i| self.status(i).is_some_and(|s| s["bears_another_loss"] == true);
        until("another loss can be borne", || (0..self.senders.len()).all(whole));
    }

    /// How often a sender has said this.
    pub fn said(&self, i: usize, what: &str) -> usize {
        self.senders[i].log.lock().expect("sound").iter().filter(|l| l.contains(what)).count()
    }

    pub fn says(&self, i: usize, what: &str) {
        until(&format!("n{i}: {what}"), || self.said(i, what) > 0);
    }

    /// Some sender says it.
    pub fn somebody_says(&self, what: &str) {
        until(what, || (0..self.senders.len()).any(|i| self.said(i, what) > 0));
    }
}

/// A process that another one takes over from. It ends with the test, whatever becomes of that.
pub struct Old(Child);

impl Drop for Old {
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

fn zone(i: usize) -> char {
    ZONES[i % 3]
}

fn does(effects: &Mutex<Effects>, zone: char, dest: u64, call: &Heard) -> Reply {
    let id = call.header("x-request-id").to_owned();
    let mut all = effects.lock().expect("sound");
    all.called.push((Instant::now(), zone, dest));
    if all.down.contains(&zone) && all.down_dests.as_ref().is_none_or(|d| d.contains(&dest)) {
        return Reply::Cut;
    }
    *all.calls.entry(id.clone()).or_default() += 1;
    let does = all.does.unwrap_or(Does::Serve);
    if !matches!(does, Does::Busy | Does::Wait) {
        *all.ran.entry(id.clone()).or_default() += 1;
    }
    match does {
        Does::Serve => {
            all.answered.insert(id);
            answer("200 OK", "", "")
        }
        Does::Busy => answer("503 Busy", "", ""),
        Does::Wait => answer("503 Busy", "Retry-After: 2\r\n", ""),
        Does::Hang => Reply::Hang,
    }
}
