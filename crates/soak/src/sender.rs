//! One sender: its folder, its processes one after another, and what is done to them from outside.

use crate::book::Book;
use crate::process::Process;
use notchpoint_faults::FaultController;
use rustix::process::Signal;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A process is ready within this.
const READY: Duration = Duration::from_secs(10);
/// After SIGTERM new connections go on coming for so long.
const COMING: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// And the next start so long after that.
const REST: Duration = Duration::from_millis(600);
/// It is held up for this between two of its steps.
const HELD_UP: Duration = Duration::from_millis(150);
/// Between two signals of a series.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(2);
/// A kill that is to come behind a promise comes after this at the latest.
const PROMISE: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_millis(5);

/// Gives a sender's configuration as it is at a start or reload: with the list as this sender last had it.
/// Every second one differs from the ones between.
pub type Configure = Box<dyn Fn(usize) -> String + Send + Sync>;

/// One of the two processes of a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one that serves.
    Old,
    /// The one that takes over.
    New,
}

/// What is the same for all processes of a sender.
pub struct Setting {
    /// The program.
    pub program: PathBuf,
    /// Where clients connect, which stays over restarts.
    pub address: SocketAddr,
    /// The platform holds the clients' socket, and processes may take over from one another.
    pub held: bool,
    /// Makes its configuration.
    pub configure: Configure,
}

/// One sender.
pub struct Sender {
    /// Its number in the book.
    pub number: usize,
    /// What makes its system calls fail.
    pub faults: FaultController,
    setting: Setting,
    folder: PathBuf,
    held: Option<TcpListener>,
    process: Mutex<Option<Process>>,
    /// The one before it, while both are there.
    before: Mutex<Option<Process>>,
    accepts: AtomicBool,
    /// It is to be killed as soon as a client hears a promise.
    dies_at_promise: AtomicBool,
    reloads: AtomicUsize,
    handovers: AtomicUsize,
    book: Arc<Book>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until something holds. Whether it did in time.
fn within(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > time {
            return false;
        }
        thread::sleep(LOOK);
    }
    true
}

impl Sender {
    /// Prepares a sender, with a configuration made anew for each start.
    ///
    /// # Errors
    /// Its folder cannot be made, or its address cannot be had.
    pub fn new(number: usize, within: &Path, setting: Setting, book: &Arc<Book>) -> io::Result<Arc<Self>> {
        let folder = within.join(format!("n{number}"));
        fs::create_dir_all(folder.join("state"))?;
        let held = setting.held.then(|| TcpListener::bind(setting.address)).transpose()?;
        Ok(Arc::new(Self {
            number,
            faults: FaultController::create(&folder.join("faults"))?,
            setting,
            folder,
            held,
            process: Mutex::default(),
            before: Mutex::default(),
            accepts: AtomicBool::new(false),
            dies_at_promise: AtomicBool::new(false),
            reloads: AtomicUsize::new(0),
            handovers: AtomicUsize::new(0),
            book: book.clone(),
        }))
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.setting.address
    }

    /// Whether clients may open connections to it.
    pub fn accepts(&self) -> bool {
        self.accepts.load(Ordering::Relaxed)
    }

    /// Hand-overs that were begun.
    pub fn handovers(&self) -> usize {
        self.handovers.load(Ordering::Relaxed)
    }

    fn write_configuration(&self) -> io::Result<()> {
        let text = (self.setting.configure)(self.reloads.load(Ordering::Relaxed));
        // Whole or not at all: it is read at any moment.
        let next = self.folder.join("config.next");
        fs::write(&next, text)?;
        fs::rename(next, self.folder.join("config.json"))
    }

    fn spawn(&self) -> io::Result<Process> {
        self.write_configuration()?;
        let mut command = Command::new(&self.setting.program);
        notchpoint_faults::preload(&self.folder.join("faults"), &mut command)?;
        if let Some(held) = &self.held {
            let socket: OwnedFd = held.try_clone()?.into();
            command.stdin(Stdio::from(socket)).env("BALANCER_ACCEPT_FD", "0");
        }
        command
            .env("TMPDIR", &self.folder)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"));
        Process::start(command, self.folder.join("log"), self.number, &self.book)
    }

    /// Starts its process, and waits until that is ready.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let process = self.spawn()?;
        self.serve(process);
        Ok(())
    }

    /// Waits until a process is ready; from then on it is the one that serves.
    fn serve(&self, mut process: Process) {
        let mut ended = None;
        let ready = within(READY, || {
            ended = process.ended();
            ended.is_some() || process.is_ready()
        });
        if let Some(status) = ended {
            self.book.broken("start", format!("sender {} ended at its start: {status}", self.number));
            return;
        }
        if !ready {
            self.book.broken("start", format!("sender {} was not ready in {READY:?}", self.number));
        }
        *lock(&self.process) = Some(process);
        self.book.up(self.number);
        self.accepts.store(true, Ordering::Relaxed);
    }

    /// Ends it as SIGKILL does, and starts it again after a moment.
    ///
    /// # Errors
    /// It cannot be started again.
    pub fn kill_and_start(&self) -> io::Result<()> {
        self.kill();
        self.accepts.store(false, Ordering::Relaxed);
        thread::sleep(REST);
        self.start()
    }

    fn kill(&self) {
        self.book.down(self.number);
        self.end();
    }

    /// The same, right behind the next 202 that a client hears.
    ///
    /// # Errors
    /// It cannot be started again.
    pub fn kill_behind_a_promise(&self) -> io::Result<()> {
        self.dies_at_promise.store(true, Ordering::Relaxed);
        within(PROMISE, || !self.dies_at_promise.load(Ordering::Relaxed));
        self.dies_at_promise.store(false, Ordering::Relaxed);
        self.kill_and_start()
    }

    /// A client has heard a promise.
    pub fn has_promised(&self) {
        if self.dies_at_promise.swap(false, Ordering::Relaxed) {
            self.book.down(self.number);
            if let Some(process) = &*lock(&self.process) {
                process.signal(Signal::KILL);
            }
        }
    }

    /// Ends it as a planned restart does, by these signals in a row, and starts it again.
    ///
    /// # Errors
    /// It cannot be started again.
    pub fn restart(&self, signals: &[Signal]) -> io::Result<()> {
        let told = Instant::now();
        self.book.told_to_end(self.number);
        for signal in signals {
            self.signal(*signal);
            thread::sleep(BETWEEN_SIGNALS);
        }
        thread::sleep(COMING);
        self.accepts.store(false, Ordering::Relaxed);
        within(KILL_AFTER.saturating_sub(told.elapsed()), || self.has_ended());
        self.book.down(self.number);
        self.end();
        thread::sleep(REST);
        self.start()
    }

    /// Sends signals while it starts, so long after it was begun. It may end by them; then it is started
    /// anew.
    ///
    /// # Errors
    /// It cannot be started again.
    pub fn signals_at_start(&self, signals: &[Signal], after: Duration) -> io::Result<()> {
        self.kill();
        self.accepts.store(false, Ordering::Relaxed);
        thread::sleep(REST);
        let mut process = self.spawn()?;
        thread::sleep(after);
        signals.iter().for_each(|signal| process.signal(*signal));
        if within(KILL_AFTER, || process.ended().is_some()) {
            // Before it heeds signals they end it as the system does, with no code.
            let code = process.ended().and_then(|status| status.code());
            if code.is_some_and(|code| code != 0) {
                self.book.broken("crash", format!("sender {} ended at its start: {code:?}", self.number));
            }
        }
        drop(process);
        thread::sleep(REST);
        self.start()
    }

    fn has_ended(&self) -> bool {
        let mut process = lock(&self.process);
        let Some(status) = process.as_mut().and_then(Process::ended) else { return false };
        if !status.success() {
            self.book.broken("crash", format!("sender {} ended: {status}", self.number));
        }
        true
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &*lock(&self.process) {
            process.signal(signal);
        }
    }

    /// A new process takes over from the one that serves. One of the two may be killed so long after the new
    /// one was begun.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn hand_over(&self, killed: Option<(Side, Duration)>) -> io::Result<()> {
        if self.held.is_none() || lock(&self.process).is_none() {
            return Ok(());
        }
        self.handovers.fetch_add(1, Ordering::Relaxed);
        let begun = Instant::now();
        let mut new = self.spawn()?;
        if let Some((side, after)) = killed {
            thread::sleep(after.saturating_sub(begun.elapsed()));
            if side == Side::New {
                self.book.down(self.number);
                new.kill();
                return self.goes_on();
            }
            self.kill();
        }
        let mut ended = None;
        let ready = within(READY, || {
            ended = new.ended();
            ended.is_some() || new.is_ready() && new.says_yes()
        });
        if !ready || ended.is_some() {
            let what = format!("sender {}: no hand-over in {READY:?}, ended: {ended:?}", self.number);
            self.book.broken("hand-over", what);
        }
        let old = lock(&self.process).replace(new);
        *lock(&self.before) = old;
        if killed.is_some() {
            self.book.up(self.number);
        }
        self.retire();
        Ok(())
    }

    /// The process before the one that serves is told to end, and killed where it does not in time.
    fn retire(&self) {
        if let Some(before) = &*lock(&self.before) {
            before.signal(Signal::TERM);
        }
        within(KILL_AFTER, || {
            let mut before = lock(&self.before);
            let Some(status) = before.as_mut().map(Process::ended) else { return true };
            if let Some(status) = status.filter(|status| !status.success()) {
                self.book.broken("crash", format!("sender {}: handed over, ended: {status}", self.number));
            }
            status.is_some()
        });
        lock(&self.before).take();
    }

    /// The new process of a hand-over is gone: the old one serves, or has left already and is started.
    fn goes_on(&self) -> io::Result<()> {
        let mut left = false;
        let serves = within(READY, || {
            let mut process = lock(&self.process);
            left = process.as_mut().is_none_or(|process| process.ended().is_some());
            left || process.as_ref().is_some_and(Process::says_yes)
        });
        if left {
            return self.start();
        }
        if !serves {
            let what = format!("sender {}: the old process does not serve in {READY:?}", self.number);
            self.book.broken("hand-over", what);
        }
        self.book.up(self.number);
        Ok(())
    }

    /// Has its configuration read anew, changed.
    pub fn reload(&self) {
        self.reloads.fetch_add(1, Ordering::Relaxed);
        if self.write_configuration().is_ok() {
            self.signal(Signal::HUP);
        }
    }

    /// An operator's call, by its first line: the status of the answer, if there is one in time.
    pub fn ask(&self, line: &str) -> Option<u16> {
        lock(&self.process).as_ref()?.ask(line)
    }

    /// Descriptors that its processes hold.
    pub fn descriptors(&self) -> usize {
        self.sum(Process::descriptors)
    }

    /// Memory that its processes hold, in kilobytes.
    pub fn kilobytes(&self) -> u64 {
        self.sum(Process::kilobytes)
    }

    fn sum<T: std::iter::Sum>(&self, of: impl Fn(&Process) -> T) -> T {
        let (process, before) = (lock(&self.process), lock(&self.before));
        process.iter().chain(before.iter()).map(of).sum()
    }

    /// Holds it up for a moment.
    pub fn hold_up(&self) {
        self.signal(Signal::STOP);
        thread::sleep(HELD_UP);
        self.signal(Signal::CONT);
    }

    /// Ends it for good.
    pub fn end(&self) {
        lock(&self.process).take();
    }

    /// The end of its log.
    pub fn log(&self, lines: usize) -> String {
        let text = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}
