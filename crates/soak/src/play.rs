//! One play: senders, their partners and clients, and the troubles of a plan.

use crate::book::{Book, SlowStart, Violation};
use crate::client;
use crate::notes::Notes;
use crate::partners::{Endpoint, FIRST_REVISION, List, Manner, Member, list_service, shown};
use crate::plan::{Kind, Size, Trouble};
use crate::sender::Sender;
use crate::topology::{is_apart, route};
use notchpoint_faults::Word;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Between two messages of one client.
const EVERY: Duration = Duration::from_millis(250);
const CLIENTS_EACH: u64 = 2;
/// After the last message's time: notices, and restarts that are still under way.
const AFTERWARDS: Duration = Duration::from_secs(3);
const HALF: u32 = 500;
const MOST: u32 = 950;
const RELOADS: usize = 4;
/// Below those that the system gives out: for clients, and for notes.
const PORT: u16 = 20_000;
const NOTES_PORT: u16 = 20_001;
/// Endpoints have addresses behind those of senders.
const FIRST_ENDPOINT: usize = 100;
/// How often it is looked what senders hold.
const LIMITS_LOOK: Duration = Duration::from_millis(200);
const MEMORY_MB: u64 = 192;
const DESCRIPTORS: usize = 256;
/// What destinations bear: so many times what comes in for them, and see `safety` in the configuration.
const HEADROOM: f64 = 10.0 / 7.0;
const COLD: Duration = Duration::from_millis(9_200);
const START_SHARE: f64 = 0.17;
const OVERLOAD_FACTOR: f64 = 2.0;
const TIP_AFTER: Duration = Duration::from_secs(2);
/// An outage that leaves a destination cold lasts so long beyond the trouble's span.
const OUTAGE: Duration = Duration::from_secs(3);

/// Plays of this process so far.
static PLAYS: AtomicU32 = AtomicU32::new(0);

/// What a play came to.
#[derive(Debug)]
pub struct Outcome {
    /// Messages that were promised, delivered, and ended by a notice.
    pub counts: (usize, usize, usize),
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// What was seen of the first message that is concerned, and the end of its sender's log.
    pub timeline: String,
}

/// Where a sender finds its neighbours.
struct Place {
    listen: SocketAddr,
    notes: SocketAddr,
    discovery: SocketAddr,
}

/// The configuration of a sender.
fn config(number: usize, seed: u64, place: &Place, notes: &Notes, members: &str) -> String {
    let Place { listen, notes: own, discovery } = place;
    let peers: Vec<String> = notes.peers[number].iter().map(|peer| format!("\"{peer}\"")).collect();
    let (peers, siblings, to_all) = (peers.join(","), peers.len(), notes.to_all[number]);
    let (cold, tip) = (COLD.as_secs_f64(), TIP_AFTER.as_secs_f64());
    format!(
        r#"{{"name": "n{number}", "listen": "{listen}", "discovery": "{discovery}", "seed": "{seed:016x}",
 "limits": {{"cores": 1.0, "memory_mb": {MEMORY_MB}, "sockets": {DESCRIPTORS}, "disk_mb": 3}},
 "peer_listen": "{own}", "peers": [{peers}], "peers_all": "{to_all}",
 "known": {{"revision": {FIRST_REVISION}, "complete": true, "members": [{members}]}},
 "settings": {{
  "bounds": {{"cancelling": true, "connIdleS": 5.0, "connectTimeoutS": 1.5, "maxAttempts": 8,
    "maxRetryAfterS": 2.0, "mostHeld": 230, "multiplex": 1, "parallelTries": true, "peerMessages": true,
    "retryAfter": true}},
  "classes": [
    {{"name": "update", "effect": "idempotent", "sloS": 1.0, "deadlineS": 6.0, "worth": 1.0}},
    {{"name": "payment", "effect": "at_most_once", "sloS": 2.0, "deadlineS": 6.0, "worth": 3.0}}],
  "clients": {{"marksRetry": true}}, "discovery": "ask",
  "familyInfo": {{"bundleMax": [1, 20], "fades": "by_half", "kindApart": [false, true], "slots": 7}},
  "kinds": ["shop", "chain"], "locality": "a", "me": {number}, "overShareWorth": 0.2,
  "parties": [{{"allowancePerS": 24.0, "name": "acme", "share": 1.0}}],
  "safety": {{"coldS": {cold}, "startCapacity": {START_SHARE}, "overloadFactor": {OVERLOAD_FACTOR},
    "tipAfterS": {tip}}},
  "siblings": {siblings}, "tickS": 0.005, "zones": ["a"]}}}}"#
    )
}

/// Where a sender or an endpoint is reached. Its address is nobody else's on the loopback network, so that
/// while it is down no other socket can get its port: another play's messages would come in there.
fn address(play_number: u32, number: usize, port: u16) -> SocketAddr {
    let play = std::process::id().wrapping_mul(7).wrapping_add(play_number);
    let [_, _, high, low] = play.to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, low, number as u8 + 1], port))
}

/// What a route bears after an outage: all senders' messages come in for its destination in the mean.
fn slow_start(size: &Size, route: usize) -> SlowStart {
    let comes = size.senders as f64 * CLIENTS_EACH as f64 / EVERY.as_secs_f64() / size.dests as f64;
    let endpoints = if is_apart(route / 2) { 2.0 } else { 1.0 };
    SlowStart {
        capacity: comes * HEADROOM / endpoints,
        start_share: START_SHARE,
        cold: COLD,
        factor: OVERLOAD_FACTOR,
        window: TIP_AFTER,
    }
}

struct World {
    senders: Vec<Arc<Sender>>,
    endpoints: Vec<Arc<Endpoint>>,
    list: Arc<List>,
    notes: Arc<Notes>,
    /// By route: its endpoints are in one trouble at a time.
    turns: Vec<Mutex<()>>,
}

/// Plays a plan with real processes of this program.
///
/// # Errors
/// The machine does not give what a play takes.
pub fn play(program: &Path, seed: u64, size: &Size, plan: &[Trouble]) -> io::Result<Outcome> {
    let folder = tempfile::tempdir()?;
    let play_number = PLAYS.fetch_add(1, Ordering::Relaxed);
    let (book, list) = (Arc::new(Book::default()), Arc::new(List::default()));
    let endpoints: Vec<_> = (0..2 * size.dests)
        .map(|number| Endpoint::new(number, address(play_number, FIRST_ENDPOINT + number, PORT), &book))
        .collect::<io::Result<_>>()?;
    let readers: Vec<_> = (0..size.senders).map(|n| address(play_number, n, NOTES_PORT)).collect();
    let notes = Arc::new(Notes::new(&readers, seed)?);
    for (number, endpoint) in endpoints.iter().enumerate() {
        list.add(number, number / 2, endpoint.address);
    }
    let senders: Vec<_> = (0..size.senders)
        .map(|number| {
            let discovery = list_service(number, &list, &book)?;
            let listen = address(play_number, number, PORT);
            let place = Place { listen, notes: readers[number], discovery };
            let (list, told, notes) = (list.clone(), book.clone(), notes.clone());
            let configure = move || {
                let known = |mut member: Member| {
                    member.drains = told.knows_drain(number, member.endpoint);
                    shown(&member)
                };
                let members: Vec<String> = list.since(0).0.into_iter().map(known).collect();
                config(number, seed ^ number as u64, &place, &notes, &members.join(","))
            };
            Sender::new(number, program, folder.path(), listen, Box::new(configure), &book)
        })
        .collect::<io::Result<_>>()?;
    thread::scope(|scope| {
        for sender in &senders {
            scope.spawn(|| started(&book, sender.start()));
        }
    });
    let turns = endpoints.iter().map(|_| Mutex::default()).collect();
    let world = Arc::new(World { senders, endpoints, list, notes, turns });
    let begun = Instant::now();
    let until = begun + size.span;
    thread::scope(|scope| {
        for sender in &world.senders {
            for n in 0..CLIENTS_EACH {
                let (book, dests) = (&*book, size.dests);
                let own = seed.wrapping_mul(31).wrapping_add(sender.number as u64 * CLIENTS_EACH + n);
                scope.spawn(move || client::run(sender, dests, EVERY, until, book, own));
            }
        }
        scope.spawn(|| {
            while Instant::now() < until {
                world.senders.iter().for_each(|sender| sender.check_limits(DESCRIPTORS, MEMORY_MB));
                thread::sleep(LIMITS_LOOK);
            }
        });
        // Signals of one sender one after another: a process that is being restarted cannot be killed. What
        // else goes wrong goes on beside them.
        for which in 0..world.senders.len().max(world.endpoints.len()) {
            for signals in [true, false] {
                let its = |trouble: &&Trouble| trouble.which == which && trouble.kind.is_signal() == signals;
                let mut its: Vec<&Trouble> = plan.iter().filter(its).collect();
                its.sort_by_key(|trouble| trouble.from);
                let (world, book) = (&*world, &*book);
                scope.spawn(move || {
                    for trouble in its {
                        thread::sleep((begun + trouble.from).saturating_duration_since(Instant::now()));
                        world.play(trouble, book);
                    }
                });
            }
        }
    });
    thread::sleep((until + client::TIME + AFTERWARDS).saturating_duration_since(Instant::now()));
    let violations = book.violations(|route| slow_start(size, route));
    let first = violations.iter().find_map(|violation| violation.message);
    let timeline = first.map(|id| book.timeline(id)).unwrap_or_default();
    world.senders.iter().for_each(|sender| sender.end());
    thread::sleep(Duration::from_millis(100));
    let logs: String = if violations.is_empty() {
        String::new()
    } else {
        let log = |sender: &Arc<Sender>| format!("  log of sender {}:\n{}\n", sender.number, sender.log(12));
        let named = |sender: &&Arc<Sender>| timeline.contains(&format!("to sender {}\n", sender.number));
        world.senders.iter().filter(named).map(log).collect()
    };
    Ok(Outcome { counts: book.counts(), violations, timeline: timeline + &logs })
}

fn started(book: &Book, result: io::Result<()>) {
    if let Err(why) = result {
        book.broken("start", why.to_string());
    }
}

impl World {
    fn turn(&self, endpoint: usize) -> MutexGuard<'_, ()> {
        self.turns[route(endpoint)].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes all endpoints of a route out of service for a while.
    fn outage(&self, number: usize, span: Duration, book: &Book) {
        let _turn = self.turn(number);
        let all = || self.endpoints.iter().enumerate().filter(|(n, _)| route(*n) == route(number));
        book.outage(number);
        all().for_each(|(_, endpoint)| endpoint.set(Manner::Down));
        thread::sleep(span);
        book.back(number);
        all().for_each(|(_, endpoint)| endpoint.set(Manner::Sound));
    }

    fn play(&self, trouble: &Trouble, book: &Book) {
        let sender = &self.senders[trouble.which % self.senders.len()];
        let number = trouble.which % self.endpoints.len();
        let endpoint = &self.endpoints[number];
        let fails = |calls: &[(Word, i32, u32)]| {
            for (what, errno, per_mille) in calls {
                let _ = sender.faults.fail(*what, *errno, *per_mille);
            }
            thread::sleep(trouble.span);
            calls.iter().for_each(|(what, ..)| drop(sender.faults.fail(*what, 0, 0)));
        };
        let misbehaves = |manner: Manner| {
            let _turn = self.turn(number);
            endpoint.set(manner);
            thread::sleep(trouble.span);
            endpoint.set(Manner::Sound);
        };
        match trouble.kind {
            Kind::Kill => started(book, sender.kill_and_start()),
            Kind::Restart => started(book, sender.restart()),
            Kind::HeldUp => {
                let begun = Instant::now();
                while begun.elapsed() < trouble.span {
                    sender.hold_up();
                    thread::sleep(Duration::from_millis(300));
                }
            }
            Kind::Reload => (0..RELOADS).for_each(|_| sender.reload()),
            Kind::Clock(step) => drop(sender.faults.step_wall_clock(step)),
            Kind::Connect(errno) => fails(&[(Word::Connect, errno, HALF)]),
            Kind::FileWrite(errno) => {
                fails(&[(Word::HalfWritten, errno, HALF), (Word::FileWrite, errno, MOST)]);
            }
            Kind::SocketIo => fails(&[(Word::SocketIo, libc::EINTR, HALF / 2), (Word::ShortIo, 0, HALF)]),
            Kind::Accept(errno) => fails(&[(Word::Accept, errno, HALF)]),
            Kind::FileRead(errno) => fails(&[(Word::FileRead, errno, MOST)]),
            Kind::Memory(errno) => fails(&[(Word::SocketIo, errno, HALF / 2)]),
            Kind::Socket(errno) => fails(&[(Word::Socket, errno, HALF)]),
            Kind::NotesLost(per_mille) => {
                self.notes.lose(per_mille);
                thread::sleep(trouble.span);
                self.notes.lose(0);
            }
            Kind::Outage => self.outage(number, trouble.span + OUTAGE, book),
            Kind::Hangs => misbehaves(Manner::Hangs),
            Kind::Resets => misbehaves(Manner::Resets),
            Kind::Full => misbehaves(Manner::Full),
            Kind::Slow => misbehaves(Manner::Slow),
            Kind::Drain => {
                self.list.drain(number, true);
                thread::sleep(trouble.span);
                self.list.drain(number, false);
            }
            Kind::ListDown => {
                self.list.set_down(true);
                thread::sleep(trouble.span);
                self.list.set_down(false);
            }
        }
    }
}
