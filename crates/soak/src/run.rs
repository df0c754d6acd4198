//! One play: senders, their partners and clients, and the troubles of a plan.

use crate::book::{Book, Violation};
use crate::client::{self, Client};
use crate::configuration::{self, DESCRIPTORS, MEMORY_MB, Place};
use crate::crowd;
use crate::notes::Notes;
use crate::partners::{Endpoint, List, Manner, Member, list_service, shown};
use crate::plan::{FaultKind, RunSize, ScheduledFault, Series};
use crate::sender::{Configure, Sender, Setting};
use crate::topology::{is_held, route};
use fastrand::Rng;
use notchpoint_faults::Fault;
use rustix::process::Signal;
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
/// Idle connections end within this.
const SETTLED: Duration = Duration::from_secs(12);
/// Connections to the list service, for notices and for operators that may stand then and did not before.
const STANDING: usize = 6;
/// A sender that is drained tells the front so within this; the platform's page allows four seconds.
const DRAINED: Duration = Duration::from_secs(1);
/// Operators try a word again for so long where it was not heeded.
const OPERATORS: Duration = Duration::from_secs(6);
const OPERATORS_AGAIN: Duration = Duration::from_millis(200);
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
/// An outage that leaves a destination cold lasts so long beyond the trouble's span.
const OUTAGE: Duration = Duration::from_secs(3);

/// Plays of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// What a play saw.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    /// Messages that clients were promised.
    pub acknowledged: usize,
    /// Messages that were delivered.
    pub delivered: usize,
    /// Messages that were ended by a notice.
    pub ended: usize,
    /// Hand-overs that were begun.
    pub handovers: usize,
    /// How late this machine woke its threads at the worst.
    pub max_wake_delay: Duration,
}

/// What a play came to.
#[derive(Debug)]
pub struct RunReport {
    /// What it saw.
    pub counts: Counts,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// What was seen of the first message that is concerned, and the end of its sender's log.
    pub timeline: String,
}

/// Where a sender or an endpoint is reached. Its address is nobody else's on the loopback network, so that
/// while it is down no other socket can get its port: another play's messages would come in there.
fn address(run_number: u32, number: usize, port: u16) -> SocketAddr {
    let run = std::process::id().wrapping_mul(7).wrapping_add(run_number);
    let [_, _, high, low] = run.to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, low, number as u8 + 1], port))
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
pub fn run(program: &Path, seed: u64, size: &RunSize, plan: &[ScheduledFault]) -> io::Result<RunReport> {
    let folder = tempfile::tempdir()?;
    let run_number = RUNS.fetch_add(1, Ordering::Relaxed);
    let (book, list) = (Arc::new(Book::default()), Arc::new(List::default()));
    let endpoints: Vec<_> = (0..2 * size.destinations)
        .map(|number| Endpoint::new(number, address(run_number, FIRST_ENDPOINT + number, PORT), &book))
        .collect::<io::Result<_>>()?;
    let readers: Vec<_> = (0..size.senders).map(|n| address(run_number, n, NOTES_PORT)).collect();
    let notes = Arc::new(Notes::new(&readers, seed)?);
    for (number, endpoint) in endpoints.iter().enumerate() {
        list.add(number, number / 2, endpoint.address);
    }
    let senders: Vec<_> = (0..size.senders)
        .map(|number| {
            let discovery = [list_service(number, &list, &book)?, list_service(number, &list, &book)?];
            let address = address(run_number, number, PORT);
            let place = Place { listen: address, notes: readers[number], discovery };
            let (list, told, notes) = (list.clone(), book.clone(), notes.clone());
            let configure: Configure = Box::new(move |reloads| {
                let known = |mut member: Member| {
                    member.drains = told.knows_drain(number, member.endpoint);
                    shown(&member)
                };
                let members: Vec<String> = list.since(0).0.into_iter().map(known).collect();
                let seed = seed ^ number as u64;
                configuration::text(number, seed, &place, &notes, &members.join(","), reloads)
            });
            let (program, held) = (program.to_owned(), is_held(number));
            let setting = Setting { program, address, held, configure };
            Sender::new(number, folder.path(), setting, &book)
        })
        .collect::<io::Result<_>>()?;
    thread::scope(|scope| {
        for sender in &senders {
            scope.spawn(|| started(&book, sender.start()));
        }
    });
    let before: Vec<usize> = senders.iter().map(|sender| sender.descriptors()).collect();
    let turns = endpoints.iter().map(|_| Mutex::default()).collect();
    let world = Arc::new(World { senders, endpoints, list, notes, turns });
    let begun = Instant::now();
    let until = begun + size.duration;
    thread::scope(|scope| {
        for sender in &world.senders {
            for n in 0..CLIENTS_EACH {
                let own = seed.wrapping_mul(31).wrapping_add(sender.number as u64 * CLIENTS_EACH + n);
                let random = Rng::with_seed(own);
                let client = Client { sender, dests: size.destinations, book: &book, random };
                scope.spawn(move || client.run(EVERY, until));
            }
        }
        scope.spawn(|| {
            while Instant::now() < until {
                world.senders.iter().for_each(|sender| check_limits(sender, &book));
                thread::sleep(LIMITS_LOOK);
            }
        });
        // Signals of one sender one after another: a process that is being restarted cannot be killed. What
        // else goes wrong goes on beside them.
        for which in 0..world.senders.len().max(world.endpoints.len()) {
            for signals in [true, false] {
                let its =
                    |fault: &&ScheduledFault| fault.target == which && fault.kind.is_signal() == signals;
                let mut its: Vec<&ScheduledFault> = plan.iter().filter(its).collect();
                its.sort_by_key(|fault| fault.start);
                let (world, book) = (&*world, &*book);
                scope.spawn(move || {
                    for fault in its {
                        thread::sleep((begun + fault.start).saturating_duration_since(Instant::now()));
                        world.inject(fault, book);
                    }
                });
            }
        }
    });
    thread::sleep((until + client::TIME + AFTERWARDS).saturating_duration_since(Instant::now()));
    check_leaks(&world.senders, &before, &book);
    let comes = size.senders as f64 * CLIENTS_EACH as f64 / EVERY.as_secs_f64() / size.destinations as f64;
    let violations = book.violations(|route| configuration::slow_start(comes, route));
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
    let (acknowledged, delivered, ended) = book.counts();
    let handovers = world.senders.iter().map(|sender| sender.handovers()).sum();
    let counts = Counts { acknowledged, delivered, ended, handovers, max_wake_delay: book.worst_lag() };
    Ok(RunReport { counts, violations, timeline: timeline + &logs })
}

/// What a sender's processes hold is within what it may hold.
fn check_limits(sender: &Sender, book: &Book) {
    let (number, open, kilobytes) = (sender.number, sender.descriptors(), sender.kilobytes());
    if open > DESCRIPTORS {
        book.broken("descriptors", format!("sender {number} holds {open} descriptors"));
    }
    if kilobytes > MEMORY_MB * 1_024 {
        book.broken("memory", format!("sender {number} takes {kilobytes} kB"));
    }
}

/// After a play, with no client and nothing to send, senders hold no more than before it.
fn check_leaks(senders: &[Arc<Sender>], before: &[usize], book: &Book) {
    let begun = Instant::now();
    let leaks = || {
        let held = senders.iter().zip(before).map(|(sender, before)| (sender, *before, sender.descriptors()));
        held.filter(|(_, before, now)| *now > before + STANDING).collect::<Vec<_>>()
    };
    while begun.elapsed() < SETTLED && !leaks().is_empty() {
        thread::sleep(LIMITS_LOOK);
    }
    for (sender, before, now) in leaks() {
        let what = format!("sender {} holds {now} descriptors at rest for {before} before", sender.number);
        book.broken("leak", what);
    }
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

    fn inject(&self, fault: &ScheduledFault, book: &Book) {
        let sender = &self.senders[fault.target % self.senders.len()];
        let number = fault.target % self.endpoints.len();
        let endpoint = &self.endpoints[number];
        let fails = |calls: &[(Fault, i32, u32)]| {
            for (what, errno, per_mille) in calls {
                let _ = sender.faults.fail(*what, *errno, *per_mille);
            }
            thread::sleep(fault.duration);
            calls.iter().for_each(|(what, ..)| drop(sender.faults.fail(*what, 0, 0)));
        };
        let misbehaves = |manner: Manner| {
            let _turn = self.turn(number);
            endpoint.set(manner);
            thread::sleep(fault.duration);
            endpoint.set(Manner::Sound);
        };
        match fault.kind {
            FaultKind::Kill => started(book, sender.kill_and_start()),
            FaultKind::Restart => started(book, sender.restart(&[Signal::TERM])),
            FaultKind::Signals(series) => started(book, sender.restart(signals(series))),
            FaultKind::SignalsAtStart(millis) => {
                let signals = [Signal::TERM, Signal::HUP];
                started(book, sender.signals_at_start(&signals, Duration::from_millis(millis)));
            }
            FaultKind::KillBehindPromise => started(book, sender.kill_behind_a_promise()),
            FaultKind::Handover => started(book, sender.hand_over(None)),
            FaultKind::HandoverKill(side, millis) => {
                started(book, sender.hand_over(Some((side, Duration::from_millis(millis)))));
            }
            FaultKind::Standby => stand_by(sender, fault.duration),
            FaultKind::OutOfService => take_out(sender, number, fault.duration, book),
            FaultKind::Crowd => crowd::come(sender.address(), fault.duration),
            FaultKind::HeldUp => {
                let begun = Instant::now();
                while begun.elapsed() < fault.duration {
                    sender.hold_up();
                    thread::sleep(Duration::from_millis(300));
                }
            }
            FaultKind::Reload => (0..RELOADS).for_each(|_| sender.reload()),
            FaultKind::Clock(step) => drop(sender.faults.set_wall_clock_offset(step)),
            FaultKind::Connect(errno) => fails(&[(Fault::Connect, errno, HALF)]),
            FaultKind::FileWrite(errno) => {
                fails(&[(Fault::PartialWrite, errno, HALF), (Fault::FileWrite, errno, MOST)]);
            }
            FaultKind::SocketIo => {
                fails(&[(Fault::SocketIo, libc::EINTR, HALF / 2), (Fault::ShortIo, 0, HALF)])
            }
            FaultKind::Accept(errno) => fails(&[(Fault::Accept, errno, HALF)]),
            FaultKind::SlowDisk(millis) => {
                let _ = sender.faults.delay_writes(Duration::from_millis(millis));
                thread::sleep(fault.duration);
                let _ = sender.faults.delay_writes(Duration::ZERO);
            }
            FaultKind::FileRead(errno) => fails(&[(Fault::FileRead, errno, MOST)]),
            FaultKind::Memory(errno) => fails(&[(Fault::SocketIo, errno, HALF / 2)]),
            FaultKind::Socket(errno) => fails(&[(Fault::Socket, errno, HALF)]),
            FaultKind::NotesLost(per_mille) => {
                self.notes.lose(per_mille);
                thread::sleep(fault.duration);
                self.notes.lose(0);
            }
            FaultKind::Outage => self.outage(number, fault.duration + OUTAGE, book),
            FaultKind::Hangs => misbehaves(Manner::Hangs),
            FaultKind::Cut => misbehaves(Manner::Cut),
            FaultKind::CutAnswers => misbehaves(Manner::CutAnswers),
            FaultKind::Resets => misbehaves(Manner::Resets),
            FaultKind::Full => misbehaves(Manner::Full),
            FaultKind::Slow => misbehaves(Manner::Slow),
            FaultKind::Drain => {
                self.list.drain(number, true);
                thread::sleep(fault.duration);
                self.list.drain(number, false);
            }
            FaultKind::ListDown => {
                self.list.set_down(true);
                thread::sleep(fault.duration);
                self.list.set_down(false);
            }
            FaultKind::ListSilent => {
                self.list.set_silent(true);
                thread::sleep(fault.duration);
                self.list.set_silent(false);
            }
        }
    }
}

const fn signals(series: Series) -> &'static [Signal] {
    match series {
        Series::ReloadsAndEnd => &[Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP],
        Series::EndTwice => &[Signal::TERM, Signal::TERM],
        Series::EndAndReload => &[Signal::TERM, Signal::HUP],
    }
}

/// An operator's word, again until it is heeded. Whether it was in time.
fn heeded(sender: &Sender, line: &str) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < OPERATORS {
        if sender.ask(line) == Some(200) {
            return true;
        }
        thread::sleep(OPERATORS_AGAIN);
    }
    false
}

fn stand_by(sender: &Sender, span: Duration) {
    if heeded(sender, "POST /standby") {
        thread::sleep(DRAINED + span);
        heeded(sender, "POST /active");
    }
}

/// From the yes on nothing may be sent there, until it is put back.
fn take_out(sender: &Sender, endpoint: usize, span: Duration, book: &Book) {
    if heeded(sender, &format!("POST /maintenance/enter?name=e-{endpoint}")) {
        book.out_of_service(sender.number, endpoint, true);
        thread::sleep(span);
        book.out_of_service(sender.number, endpoint, false);
        heeded(sender, &format!("POST /maintenance/exit?name=e-{endpoint}"));
    }
}
