//! One play: senders, their partners and clients, and the troubles of a plan.

use crate::book::{Book, Violation};
use crate::client;
use crate::partners::{Endpoint, FIRST_REVISION, List, Manner, Member, list_service, shown};
use crate::plan::{Kind, Size, Trouble};
use crate::sender::Sender;
use notchpoint_faults::Word;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
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
/// Below those that the system gives out.
const PORT: u16 = 20_000;

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

/// The configuration of a sender.
fn config(number: usize, seed: u64, listen: SocketAddr, discovery: SocketAddr, members: &str) -> String {
    format!(
        r#"{{"name": "n{number}", "listen": "{listen}", "discovery": "{discovery}", "seed": "{seed:016x}",
 "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}}, "peers": [],
 "known": {{"revision": {FIRST_REVISION}, "complete": true, "members": [{members}]}},
 "settings": {{
  "bounds": {{"cancelling": true, "connIdleS": 5.0, "connectTimeoutS": 1.5, "maxAttempts": 8,
    "maxRetryAfterS": 2.0, "mostHeld": 230, "multiplex": 1, "parallelTries": true, "retryAfter": true}},
  "classes": [
    {{"name": "update", "effect": "idempotent", "sloS": 1.0, "deadlineS": 6.0, "worth": 1.0}},
    {{"name": "payment", "effect": "at_most_once", "sloS": 2.0, "deadlineS": 6.0, "worth": 3.0}}],
  "clients": {{"marksRetry": true}}, "discovery": "ask",
  "familyInfo": {{"bundleMax": [1], "fades": "by_half", "kindApart": [false], "slots": 7}},
  "kinds": ["shop"], "locality": "a", "me": 0, "overShareWorth": 0.2,
  "parties": [{{"allowancePerS": 24.0, "name": "acme", "share": 1.0}}],
  "safety": {{"coldS": 9.2, "startCapacity": 0.17, "overloadFactor": 2.0, "tipAfterS": 2.0}},
  "siblings": 1, "tickS": 0.005, "zones": ["a"]}}}}"#
    )
}

/// Where clients reach a sender. Its address is nobody else's on the loopback network, so that while the
/// sender is down no other socket can get its port: another play's messages would come in there.
fn address(play_number: u32, sender: usize) -> SocketAddr {
    let play = std::process::id().wrapping_mul(7).wrapping_add(play_number);
    let [_, _, high, low] = play.to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, low, sender as u8 + 1], PORT))
}

struct World {
    senders: Vec<Arc<Sender>>,
    endpoints: Vec<Arc<Endpoint>>,
    list: Arc<List>,
}

/// Plays a plan with real processes of this program.
///
/// # Errors
/// The machine does not give what a play takes.
pub fn play(program: &Path, seed: u64, size: &Size, plan: &[Trouble]) -> io::Result<Outcome> {
    let folder = tempfile::tempdir()?;
    let play_number = PLAYS.fetch_add(1, Ordering::Relaxed);
    let (book, list) = (Arc::new(Book::default()), Arc::new(List::default()));
    let endpoints: Vec<_> =
        (0..2 * size.dests).map(|number| Endpoint::new(number, &book)).collect::<io::Result<_>>()?;
    for (number, endpoint) in endpoints.iter().enumerate() {
        list.add(number, number / 2, endpoint.address);
    }
    let senders: Vec<_> = (0..size.senders)
        .map(|number| {
            let place = list_service(number, &list, &book)?;
            let address = address(play_number, number);
            let (list, told) = (list.clone(), book.clone());
            let configure = move || {
                let known = |mut member: Member| {
                    member.drains = told.knows_drain(number, member.endpoint);
                    shown(&member)
                };
                let members: Vec<String> = list.since(0).0.into_iter().map(known).collect();
                config(number, seed ^ number as u64, address, place, &members.join(","))
            };
            Sender::new(number, program, folder.path(), address, Box::new(configure), &book)
        })
        .collect::<io::Result<_>>()?;
    thread::scope(|scope| {
        for sender in &senders {
            scope.spawn(|| started(&book, sender.start()));
        }
    });
    let world = Arc::new(World { senders, endpoints, list });
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
        // Troubles of one sender one after another: a process that is being restarted cannot be killed.
        for which in 0..world.senders.len().max(world.endpoints.len()) {
            let mut its: Vec<&Trouble> = plan.iter().filter(|trouble| trouble.which == which).collect();
            its.sort_by_key(|trouble| trouble.from);
            let (world, book) = (&*world, &*book);
            scope.spawn(move || {
                for trouble in its {
                    thread::sleep((begun + trouble.from).saturating_duration_since(Instant::now()));
                    world.play(trouble, book);
                }
            });
        }
    });
    thread::sleep((until + client::TIME + AFTERWARDS).saturating_duration_since(Instant::now()));
    let violations = book.violations();
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
    fn play(&self, trouble: &Trouble, book: &Book) {
        let sender = &self.senders[trouble.which % self.senders.len()];
        let number = trouble.which % self.endpoints.len();
        let endpoint = &self.endpoints[number];
        let fail = |what: Word, errno: i32, per_mille: u32| {
            let _ = sender.faults.fail(what, errno, per_mille);
        };
        let misbehaves = |manner: Manner| {
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
            Kind::Connect(errno) => {
                fail(Word::Connect, errno, HALF);
                thread::sleep(trouble.span);
                fail(Word::Connect, 0, 0);
            }
            Kind::FileWrite(errno) => {
                fail(Word::HalfWritten, errno, HALF);
                fail(Word::FileWrite, errno, MOST);
                thread::sleep(trouble.span);
                fail(Word::FileWrite, 0, 0);
            }
            Kind::SocketIo => {
                fail(Word::SocketIo, libc::EINTR, HALF / 2);
                fail(Word::ShortIo, 0, HALF);
                thread::sleep(trouble.span);
                fail(Word::SocketIo, 0, 0);
                fail(Word::ShortIo, 0, 0);
            }
            Kind::Accept(errno) => {
                fail(Word::Accept, errno, HALF);
                thread::sleep(trouble.span);
                fail(Word::Accept, 0, 0);
            }
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
