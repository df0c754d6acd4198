//! One sender: its folder, its successive processes, and the signals and hand-overs that the run applies to
//! them.

use crate::observations::Observations;
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

/// Time within which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after SIGTERM in which the load balancer still opens new connections.
const LOAD_BALANCER_DRAIN_TIME: Duration = Duration::from_millis(300);
/// Time between SIGTERM and SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Time between the end of a process and the next start.
const RESTART_PAUSE: Duration = Duration::from_millis(600);
/// Time for which a process is stopped by SIGSTOP.
const STOP_TIME: Duration = Duration::from_millis(150);
/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a kill that waits for an acknowledgement takes place without one.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the configuration of a sender for its next start or reload. The argument is the number of reloads
/// so far; the configuration differs between even and odd numbers. It has the endpoint list that the sender
/// last received.
pub type Configure = Box<dyn Fn(usize) -> String + Send + Sync>;

/// One of the two processes of a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverProcess {
    /// The process that serves.
    Predecessor,
    /// The process that takes over.
    Successor,
}

/// What all processes of a sender have in common.
pub struct SenderSetup {
    /// Path of the sender program.
    pub program: PathBuf,
    /// Address that clients connect to. It is the same after restarts.
    pub address: SocketAddr,
    /// Whether its processes inherit the listening socket for clients, as from the platform. Only then can
    /// one process take over from another.
    pub inherits_listener: bool,
    /// Returns its configuration.
    pub configure: Configure,
}

/// One sender.
pub struct Sender {
    /// Number of the sender in the observations.
    pub number: usize,
    /// Injects faults into its system calls.
    pub faults: FaultController,
    setup: SenderSetup,
    folder: PathBuf,
    /// The listening socket that its processes inherit.
    listener: Option<TcpListener>,
    process: Mutex<Option<Process>>,
    /// The predecessor of its process, while both run.
    predecessor: Mutex<Option<Process>>,
    accepts_connections: AtomicBool,
    /// Whether it is to be killed as soon as a client receives an acknowledgement.
    kill_on_acknowledgement: AtomicBool,
    reloads: AtomicUsize,
    handovers: AtomicUsize,
    observations: Arc<Observations>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until a condition holds or the time is over. Returns whether the condition holds.
fn wait_for(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let started_at = Instant::now();
    while !holds() {
        if started_at.elapsed() > timeout {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

impl Sender {
    /// Prepares a sender. Its configuration is written anew for each start.
    ///
    /// # Errors
    /// Its folder cannot be created, or its address cannot be bound.
    pub fn new(
        number: usize,
        parent: &Path,
        setup: SenderSetup,
        observations: &Arc<Observations>,
    ) -> io::Result<Arc<Self>> {
        let folder = parent.join(format!("n{number}"));
        fs::create_dir_all(folder.join("state"))?;
        let listener = setup.inherits_listener.then(|| TcpListener::bind(setup.address)).transpose()?;
        Ok(Arc::new(Self {
            number,
            faults: FaultController::create(&folder.join("faults"))?,
            setup,
            folder,
            listener,
            process: Mutex::default(),
            predecessor: Mutex::default(),
            accepts_connections: AtomicBool::new(false),
            kill_on_acknowledgement: AtomicBool::new(false),
            reloads: AtomicUsize::new(0),
            handovers: AtomicUsize::new(0),
            observations: observations.clone(),
        }))
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.setup.address
    }

    /// Returns whether clients may open connections to it.
    pub fn accepts_connections(&self) -> bool {
        self.accepts_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of hand-overs that were started.
    pub fn handovers(&self) -> usize {
        self.handovers.load(Ordering::Relaxed)
    }

    fn write_configuration(&self) -> io::Result<()> {
        let text = (self.setup.configure)(self.reloads.load(Ordering::Relaxed));
        // The file is replaced by a rename, because a process may read it at any time.
        let next = self.folder.join("config.next");
        fs::write(&next, text)?;
        fs::rename(next, self.folder.join("config.json"))
    }

    fn spawn(&self) -> io::Result<Process> {
        self.write_configuration()?;
        let mut command = Command::new(&self.setup.program);
        notchpoint_faults::preload(&self.folder.join("faults"), &mut command)?;
        if let Some(listener) = &self.listener {
            let socket: OwnedFd = listener.try_clone()?.into();
            command.stdin(Stdio::from(socket)).env("BALANCER_ACCEPT_FD", "0");
        }
        command
            .env("TMPDIR", &self.folder)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"));
        Process::start(command, self.folder.join("log"), self.number, &self.observations)
    }

    /// Starts its process and waits until it is ready.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let process = self.spawn()?;
        self.wait_until_ready(process);
        Ok(())
    }

    /// Waits until a process is ready. It is the one that serves from then on.
    fn wait_until_ready(&self, mut process: Process) {
        let mut ended = None;
        let is_ready = wait_for(READY_TIMEOUT, || {
            ended = process.exit_status();
            ended.is_some() || process.is_ready()
        });
        if let Some(status) = ended {
            self.observations.record_violation(
                "start",
                format!("sender {} ended during its start: {status}", self.number),
            );
            return;
        }
        if !is_ready {
            self.observations.record_violation(
                "start",
                format!("sender {} was not ready within {READY_TIMEOUT:?}", self.number),
            );
        }
        *lock(&self.process) = Some(process);
        self.observations.record_up(self.number);
        self.accepts_connections.store(true, Ordering::Relaxed);
    }

    /// Kills its process with SIGKILL and starts it again after [`RESTART_PAUSE`].
    ///
    /// # Errors
    /// The process cannot be started again.
    pub fn kill_and_restart(&self) -> io::Result<()> {
        self.kill();
        self.accepts_connections.store(false, Ordering::Relaxed);
        thread::sleep(RESTART_PAUSE);
        self.start()
    }

    fn kill(&self) {
        self.observations.record_down(self.number);
        self.stop();
    }

    /// Kills its process directly after the next acknowledgement (202) that a client receives, and starts it
    /// again.
    ///
    /// # Errors
    /// The process cannot be started again.
    pub fn kill_after_acknowledgement(&self) -> io::Result<()> {
        self.kill_on_acknowledgement.store(true, Ordering::Relaxed);
        wait_for(ACKNOWLEDGEMENT_TIMEOUT, || !self.kill_on_acknowledgement.load(Ordering::Relaxed));
        self.kill_on_acknowledgement.store(false, Ordering::Relaxed);
        self.kill_and_restart()
    }

    /// Reacts to an acknowledgement that a client has received.
    pub fn on_acknowledgement(&self) {
        if self.kill_on_acknowledgement.swap(false, Ordering::Relaxed) {
            self.observations.record_down(self.number);
            if let Some(process) = &*lock(&self.process) {
                process.signal(Signal::KILL);
            }
        }
    }

    /// Restarts it as planned: sends these signals in sequence, waits for its end, and starts it again.
    ///
    /// # Errors
    /// The process cannot be started again.
    pub fn restart(&self, signals: &[Signal]) -> io::Result<()> {
        let signalled_at = Instant::now();
        self.observations.begin_restart(self.number);
        for signal in signals {
            self.signal(*signal);
            thread::sleep(SIGNAL_INTERVAL);
        }
        thread::sleep(LOAD_BALANCER_DRAIN_TIME);
        self.accepts_connections.store(false, Ordering::Relaxed);
        wait_for(KILL_DELAY.saturating_sub(signalled_at.elapsed()), || self.has_ended());
        self.observations.record_down(self.number);
        self.stop();
        thread::sleep(RESTART_PAUSE);
        self.start()
    }

    /// Kills its process and sends signals to the next one this long after its start. They may end it. It is
    /// started again in any case.
    ///
    /// # Errors
    /// The process cannot be started again.
    pub fn signal_during_start(&self, signals: &[Signal], after: Duration) -> io::Result<()> {
        self.kill();
        self.accepts_connections.store(false, Ordering::Relaxed);
        thread::sleep(RESTART_PAUSE);
        let mut process = self.spawn()?;
        thread::sleep(after);
        signals.iter().for_each(|signal| process.signal(*signal));
        if wait_for(KILL_DELAY, || process.exit_status().is_some()) {
            // Before it has installed its signal handlers a signal ends it without an exit code.
            let code = process.exit_status().and_then(|status| status.code());
            if code.is_some_and(|code| code != 0) {
                self.observations.record_violation(
                    "crash",
                    format!("sender {} ended during its start: {code:?}", self.number),
                );
            }
        }
        drop(process);
        thread::sleep(RESTART_PAUSE);
        self.start()
    }

    fn has_ended(&self) -> bool {
        let mut process = lock(&self.process);
        let Some(status) = process.as_mut().and_then(Process::exit_status) else { return false };
        if !status.success() {
            self.observations.record_violation("crash", format!("sender {} ended: {status}", self.number));
        }
        true
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &*lock(&self.process) {
            process.signal(signal);
        }
    }

    /// Starts a new process that takes over from the one that serves. One of the two may be killed this long
    /// after the new one was started.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn hand_over(&self, killed: Option<(HandoverProcess, Duration)>) -> io::Result<()> {
        if self.listener.is_none() || lock(&self.process).is_none() {
            return Ok(());
        }
        self.handovers.fetch_add(1, Ordering::Relaxed);
        let started_at = Instant::now();
        let mut successor = self.spawn()?;
        if let Some((target, after)) = killed {
            thread::sleep(after.saturating_sub(started_at.elapsed()));
            if target == HandoverProcess::Successor {
                self.observations.record_down(self.number);
                successor.kill();
                return self.resume_predecessor();
            }
            self.kill();
        }
        let mut ended = None;
        let is_ready = wait_for(READY_TIMEOUT, || {
            ended = successor.exit_status();
            ended.is_some() || successor.is_ready() && successor.accepts_clients()
        });
        if !is_ready || ended.is_some() {
            let description =
                format!("sender {}: no hand-over within {READY_TIMEOUT:?}, ended: {ended:?}", self.number);
            self.observations.record_violation("hand-over", description);
        }
        let predecessor = lock(&self.process).replace(successor);
        *lock(&self.predecessor) = predecessor;
        if killed.is_some() {
            self.observations.record_up(self.number);
        }
        self.stop_predecessor();
        Ok(())
    }

    /// Sends SIGTERM to the predecessor, and kills it if it does not end in time.
    fn stop_predecessor(&self) {
        if let Some(predecessor) = &*lock(&self.predecessor) {
            predecessor.signal(Signal::TERM);
        }
        wait_for(KILL_DELAY, || {
            let mut predecessor = lock(&self.predecessor);
            let Some(status) = predecessor.as_mut().map(Process::exit_status) else { return true };
            if let Some(status) = status.filter(|status| !status.success()) {
                self.observations.record_violation(
                    "crash",
                    format!("sender {}: predecessor ended after the hand-over: {status}", self.number),
                );
            }
            status.is_some()
        });
        lock(&self.predecessor).take();
    }

    /// Waits until the predecessor serves again after its successor has been killed. Starts a new process if
    /// the predecessor has ended already.
    fn resume_predecessor(&self) -> io::Result<()> {
        let mut has_ended = false;
        let is_serving = wait_for(READY_TIMEOUT, || {
            let mut process = lock(&self.process);
            has_ended = process.as_mut().is_none_or(|process| process.exit_status().is_some());
            has_ended || process.as_ref().is_some_and(Process::accepts_clients)
        });
        if has_ended {
            return self.start();
        }
        if !is_serving {
            let description =
                format!("sender {}: the predecessor does not serve within {READY_TIMEOUT:?}", self.number);
            self.observations.record_violation("hand-over", description);
        }
        self.observations.record_up(self.number);
        Ok(())
    }

    /// Changes its configuration and makes its process read it.
    pub fn reload(&self) {
        self.reloads.fetch_add(1, Ordering::Relaxed);
        if self.write_configuration().is_ok() {
            self.signal(Signal::HUP);
        }
    }

    /// Sends an operator request with this request line. Returns the status of the answer, if one is received
    /// in time.
    pub fn send_operator_request(&self, line: &str) -> Option<u16> {
        lock(&self.process).as_ref()?.send_operator_request(line)
    }

    /// Returns the number of descriptors that its processes have open.
    pub fn descriptors(&self) -> usize {
        self.sum(Process::descriptors)
    }

    /// Returns the resident memory of its processes in kilobytes.
    pub fn memory_kilobytes(&self) -> u64 {
        self.sum(Process::memory_kilobytes)
    }

    fn sum<T: std::iter::Sum>(&self, of: impl Fn(&Process) -> T) -> T {
        let (process, predecessor) = (lock(&self.process), lock(&self.predecessor));
        process.iter().chain(predecessor.iter()).map(of).sum()
    }

    /// Stops its process for [`STOP_TIME`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        thread::sleep(STOP_TIME);
        self.signal(Signal::CONT);
    }

    /// Kills its process and does not start it again.
    pub fn stop(&self) {
        lock(&self.process).take();
    }

    /// Returns the last lines of its log.
    pub fn log_tail(&self, lines: usize) -> String {
        let text = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}
