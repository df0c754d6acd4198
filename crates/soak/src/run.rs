//! One run: senders, their partners and clients, and the faults of a plan.

use crate::client::{self, Client};
use crate::configuration::{self, Addresses, DESCRIPTORS, MEMORY_MB};
use crate::idle_clients;
use crate::note_network::NoteNetwork;
use crate::observations::{Observations, Violation};
use crate::partners::{Behaviour, Endpoint, EndpointList, Member, member_json, start_list_service};
use crate::plan::{FaultKind, RunSize, ScheduledFault, SignalSeries};
use crate::sender::{Configure, Sender, SenderSetup};
use crate::topology::{inherits_listener, route};
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

/// Mean time between two messages of a client.
const MEAN_SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Clients of each sender.
const CLIENTS_PER_SENDER: u64 = 2;
/// Time after the last deadline, for late notices and for restarts that have not finished.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time within which idle connections must be closed.
const LEAK_CHECK_TIMEOUT: Duration = Duration::from_secs(12);
/// Descriptors that a sender may have open after a run in addition to those before it: connections to the
/// list service, for notices and from operators.
const ADDITIONAL_DESCRIPTORS: usize = 6;
/// Time within which a draining sender reports that to the load balancer. The specification of the platform
/// allows four seconds.
const DRAIN_REPORT_TIME: Duration = Duration::from_secs(1);
/// Time for which a failed operator request is repeated.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between two operator requests.
const OPERATOR_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Share of failing calls, in thousandths, for faults that affect half of the calls.
const HALF_PER_MILLE: u32 = 500;
/// Share of failing calls, in thousandths, for faults that affect almost all calls.
const MOST_PER_MILLE: u32 = 950;
/// Reloads of the fault [`FaultKind::Reload`].
const RELOAD_COUNT: usize = 4;
/// Ports for clients and for notes. They are below the range that the system assigns.
const CLIENT_PORT: u16 = 20_000;
const NOTES_PORT: u16 = 20_001;
/// Number of the address of the first endpoint. Those of senders come before it.
const FIRST_ENDPOINT: usize = 100;
/// Time between two checks of the descriptors and the memory of senders.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time that an outage lasts beyond the duration of its fault, so that the route is cold afterwards.
const ADDITIONAL_OUTAGE_TIME: Duration = Duration::from_secs(3);

/// Number of runs of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Counts of one run.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    /// Messages that were acknowledged to clients.
    pub acknowledged: usize,
    /// Messages that were delivered.
    pub delivered: usize,
    /// Messages that were ended by a notice.
    pub ended: usize,
    /// Hand-overs that were started.
    pub handovers: usize,
    /// Longest wake-up delay of a thread on this machine.
    pub max_wake_delay: Duration,
}

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Its counts.
    pub counts: Counts,
    /// Violations of rules.
    pub violations: Vec<Violation>,
    /// Events of the first message that has a violation, and the end of the log of its sender.
    pub timeline: String,
}

/// Returns the address of a sender or an endpoint. It is unique on the loopback network. Otherwise another
/// socket could get its port while it is down, and messages of another run would be received there.
fn address(run_number: u32, number: usize, port: u16) -> SocketAddr {
    let run = std::process::id().wrapping_mul(7).wrapping_add(run_number);
    let [_, _, high, low] = run.to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, low, number as u8 + 1], port))
}

/// Senders and partners of a run.
struct Environment {
    senders: Vec<Arc<Sender>>,
    endpoints: Vec<Arc<Endpoint>>,
    list: Arc<EndpointList>,
    notes: Arc<NoteNetwork>,
    /// A lock for each route. It is held during a fault, so that only one fault affects its endpoints at a
    /// time.
    route_locks: Vec<Mutex<()>>,
}

/// Executes a plan with real processes of this program.
///
/// # Errors
/// The machine lacks resources for the run.
pub fn run(program: &Path, seed: u64, size: &RunSize, plan: &[ScheduledFault]) -> io::Result<RunResult> {
    let folder = tempfile::tempdir()?;
    let run_number = RUNS.fetch_add(1, Ordering::Relaxed);
    let (observations, list) = (Arc::new(Observations::default()), Arc::new(EndpointList::default()));
    let endpoints: Vec<_> = (0..2 * size.destinations)
        .map(|number| {
            Endpoint::new(number, address(run_number, FIRST_ENDPOINT + number, CLIENT_PORT), &observations)
        })
        .collect::<io::Result<_>>()?;
    let readers: Vec<_> = (0..size.senders).map(|n| address(run_number, n, NOTES_PORT)).collect();
    let notes = Arc::new(NoteNetwork::new(&readers, seed)?);
    for (number, endpoint) in endpoints.iter().enumerate() {
        list.add(number, number / 2, endpoint.address);
    }
    let senders: Vec<_> = (0..size.senders)
        .map(|number| {
            let discovery = [
                start_list_service(number, &list, &observations)?,
                start_list_service(number, &list, &observations)?,
            ];
            let address = address(run_number, number, CLIENT_PORT);
            let addresses = Addresses { listen: address, notes: readers[number], discovery };
            let (list, observed, notes) = (list.clone(), observations.clone(), notes.clone());
            let configure: Configure = Box::new(move |reloads| {
                let with_drain_state = |mut member: Member| {
                    member.is_draining = observed.is_drain_known(number, member.endpoint);
                    member_json(&member)
                };
                let members: Vec<String> = list.since(0).0.into_iter().map(with_drain_state).collect();
                let seed = seed ^ number as u64;
                configuration::text(number, seed, &addresses, &notes, &members.join(","), reloads)
            });
            let (program, inherits_listener) = (program.to_owned(), inherits_listener(number));
            let setup = SenderSetup { program, address, inherits_listener, configure };
            Sender::new(number, folder.path(), setup, &observations)
        })
        .collect::<io::Result<_>>()?;
    thread::scope(|scope| {
        for sender in &senders {
            scope.spawn(|| record_start_error(&observations, sender.start()));
        }
    });
    let before: Vec<usize> = senders.iter().map(|sender| sender.descriptors()).collect();
    let route_locks = endpoints.iter().map(|_| Mutex::default()).collect();
    let environment = Arc::new(Environment { senders, endpoints, list, notes, route_locks });
    let started_at = Instant::now();
    let until = started_at + size.duration;
    thread::scope(|scope| {
        for sender in &environment.senders {
            for n in 0..CLIENTS_PER_SENDER {
                let client_seed =
                    seed.wrapping_mul(31).wrapping_add(sender.number as u64 * CLIENTS_PER_SENDER + n);
                let random = Rng::with_seed(client_seed);
                let client =
                    Client { sender, destinations: size.destinations, observations: &observations, random };
                scope.spawn(move || client.run(MEAN_SEND_INTERVAL, until));
            }
        }
        scope.spawn(|| {
            while Instant::now() < until {
                environment.senders.iter().for_each(|sender| check_limits(sender, &observations));
                thread::sleep(LIMIT_CHECK_INTERVAL);
            }
        });
        // Signals to one sender are sent one after the other, since a process that is being restarted cannot
        // be killed. Other faults take place at the same time.
        for target in 0..environment.senders.len().max(environment.endpoints.len()) {
            for is_signal in [true, false] {
                let is_selected =
                    |fault: &&ScheduledFault| fault.target == target && fault.kind.is_signal() == is_signal;
                let mut faults: Vec<&ScheduledFault> = plan.iter().filter(is_selected).collect();
                faults.sort_by_key(|fault| fault.start);
                let (environment, observations) = (&*environment, &*observations);
                scope.spawn(move || {
                    for fault in faults {
                        thread::sleep((started_at + fault.start).saturating_duration_since(Instant::now()));
                        environment.inject(fault, observations);
                    }
                });
            }
        }
    });
    thread::sleep((until + client::MESSAGE_TIME + SETTLE_TIME).saturating_duration_since(Instant::now()));
    check_leaks(&environment.senders, &before, &observations);
    let arrivals_per_s = size.senders as f64 * CLIENTS_PER_SENDER as f64
        / MEAN_SEND_INTERVAL.as_secs_f64()
        / size.destinations as f64;
    let violations = observations.violations(|route| configuration::slow_start(arrivals_per_s, route));
    let first = violations.iter().find_map(|violation| violation.message);
    let timeline = first.map(|id| observations.timeline(id)).unwrap_or_default();
    environment.senders.iter().for_each(|sender| sender.stop());
    thread::sleep(Duration::from_millis(100));
    let logs: String = if violations.is_empty() {
        String::new()
    } else {
        let log =
            |sender: &Arc<Sender>| format!("  log of sender {}:\n{}\n", sender.number, sender.log_tail(12));
        let is_in_timeline =
            |sender: &&Arc<Sender>| timeline.contains(&format!("to sender {}\n", sender.number));
        environment.senders.iter().filter(is_in_timeline).map(log).collect()
    };
    let (acknowledged, delivered, ended) = observations.counts();
    let handovers = environment.senders.iter().map(|sender| sender.handovers()).sum();
    let counts =
        Counts { acknowledged, delivered, ended, handovers, max_wake_delay: observations.max_wake_delay() };
    Ok(RunResult { counts, violations, timeline: timeline + &logs })
}

/// Checks that the processes of a sender are within their limits of descriptors and memory.
fn check_limits(sender: &Sender, observations: &Observations) {
    let (number, open, kilobytes) = (sender.number, sender.descriptors(), sender.memory_kilobytes());
    if open > DESCRIPTORS {
        observations.record_violation(
            "descriptors",
            format!("sender {number} has {open} open descriptors (limit {DESCRIPTORS})"),
        );
    }
    if kilobytes > MEMORY_MB * 1_024 {
        observations.record_violation(
            "memory",
            format!("sender {number} uses {kilobytes} kB of memory (limit {MEMORY_MB} MB)"),
        );
    }
}

/// Checks that after a run, without clients and open messages, senders have no more open descriptors than
/// before it.
fn check_leaks(senders: &[Arc<Sender>], before: &[usize], observations: &Observations) {
    let started_at = Instant::now();
    let leaks = || {
        let counts =
            senders.iter().zip(before).map(|(sender, before)| (sender, *before, sender.descriptors()));
        counts.filter(|(_, before, now)| *now > before + ADDITIONAL_DESCRIPTORS).collect::<Vec<_>>()
    };
    while started_at.elapsed() < LEAK_CHECK_TIMEOUT && !leaks().is_empty() {
        thread::sleep(LIMIT_CHECK_INTERVAL);
    }
    for (sender, before, now) in leaks() {
        let description = format!(
            "sender {} has {now} open descriptors after the run and had {before} before it",
            sender.number
        );
        observations.record_violation("leak", description);
    }
}

/// Records a failed start of a sender.
fn record_start_error(observations: &Observations, result: io::Result<()>) {
    if let Err(error) = result {
        observations.record_violation("start", error.to_string());
    }
}

impl Environment {
    /// Locks the route of an endpoint.
    fn lock_route(&self, endpoint: usize) -> MutexGuard<'_, ()> {
        self.route_locks[route(endpoint)].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes all endpoints of a route refuse connections for this time.
    fn outage(&self, number: usize, span: Duration, observations: &Observations) {
        let _guard = self.lock_route(number);
        let all = || self.endpoints.iter().enumerate().filter(|(n, _)| route(*n) == route(number));
        observations.start_outage(number);
        all().for_each(|(_, endpoint)| endpoint.set(Behaviour::Down));
        thread::sleep(span);
        observations.end_outage(number);
        all().for_each(|(_, endpoint)| endpoint.set(Behaviour::Normal));
    }

    /// Injects a fault for its duration.
    fn inject(&self, fault: &ScheduledFault, observations: &Observations) {
        let sender = &self.senders[fault.target % self.senders.len()];
        let number = fault.target % self.endpoints.len();
        let endpoint = &self.endpoints[number];
        let inject_errors = |calls: &[(Fault, i32, u32)]| {
            for (call, errno, per_mille) in calls {
                let _ = sender.faults.fail(*call, *errno, *per_mille);
            }
            thread::sleep(fault.duration);
            calls.iter().for_each(|(call, ..)| drop(sender.faults.fail(*call, 0, 0)));
        };
        let set_behaviour = |behaviour: Behaviour| {
            let _guard = self.lock_route(number);
            endpoint.set(behaviour);
            thread::sleep(fault.duration);
            endpoint.set(Behaviour::Normal);
        };
        match fault.kind {
            FaultKind::Kill => record_start_error(observations, sender.kill_and_restart()),
            FaultKind::Restart => record_start_error(observations, sender.restart(&[Signal::TERM])),
            FaultKind::Signals(series) => record_start_error(observations, sender.restart(signals(series))),
            FaultKind::SignalsAtStart(millis) => {
                let signals = [Signal::TERM, Signal::HUP];
                record_start_error(
                    observations,
                    sender.signal_during_start(&signals, Duration::from_millis(millis)),
                );
            }
            FaultKind::KillAfterAcknowledgement => {
                record_start_error(observations, sender.kill_after_acknowledgement())
            }
            FaultKind::Handover => record_start_error(observations, sender.hand_over(None)),
            FaultKind::HandoverKill(target, millis) => {
                record_start_error(
                    observations,
                    sender.hand_over(Some((target, Duration::from_millis(millis)))),
                );
            }
            FaultKind::Standby => put_on_standby(sender, fault.duration),
            FaultKind::OutOfService => take_out_of_service(sender, number, fault.duration, observations),
            FaultKind::IdleConnections => idle_clients::run(sender.address(), fault.duration),
            FaultKind::Stopped => {
                let started_at = Instant::now();
                while started_at.elapsed() < fault.duration {
                    sender.pause();
                    thread::sleep(Duration::from_millis(300));
                }
            }
            FaultKind::Reload => (0..RELOAD_COUNT).for_each(|_| sender.reload()),
            FaultKind::Clock(step) => drop(sender.faults.set_wall_clock_offset(step)),
            FaultKind::Connect(errno) => inject_errors(&[(Fault::Connect, errno, HALF_PER_MILLE)]),
            FaultKind::FileWrite(errno) => {
                inject_errors(&[
                    (Fault::PartialWrite, errno, HALF_PER_MILLE),
                    (Fault::FileWrite, errno, MOST_PER_MILLE),
                ]);
            }
            FaultKind::SocketIo => inject_errors(&[
                (Fault::SocketIo, libc::EINTR, HALF_PER_MILLE / 2),
                (Fault::ShortIo, 0, HALF_PER_MILLE),
            ]),
            FaultKind::Accept(errno) => inject_errors(&[(Fault::Accept, errno, HALF_PER_MILLE)]),
            FaultKind::SlowDisk(millis) => {
                let _ = sender.faults.delay_writes(Duration::from_millis(millis));
                thread::sleep(fault.duration);
                let _ = sender.faults.delay_writes(Duration::ZERO);
            }
            FaultKind::FileRead(errno) => inject_errors(&[(Fault::FileRead, errno, MOST_PER_MILLE)]),
            FaultKind::Memory(errno) => inject_errors(&[(Fault::SocketIo, errno, HALF_PER_MILLE / 2)]),
            FaultKind::Socket(errno) => inject_errors(&[(Fault::Socket, errno, HALF_PER_MILLE)]),
            FaultKind::NotesLost(per_mille) => {
                self.notes.set_loss(per_mille);
                thread::sleep(fault.duration);
                self.notes.set_loss(0);
            }
            FaultKind::Outage => self.outage(number, fault.duration + ADDITIONAL_OUTAGE_TIME, observations),
            FaultKind::NoAnswer => set_behaviour(Behaviour::NoAnswer),
            FaultKind::Disconnected => set_behaviour(Behaviour::Disconnected),
            FaultKind::TruncatedAnswers => set_behaviour(Behaviour::TruncatedAnswer),
            FaultKind::Resets => set_behaviour(Behaviour::Reset),
            FaultKind::Full => set_behaviour(Behaviour::Full),
            FaultKind::Slow => set_behaviour(Behaviour::Slow),
            FaultKind::Drain => {
                self.list.set_draining(number, true);
                thread::sleep(fault.duration);
                self.list.set_draining(number, false);
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

/// Returns the signals of a series.
const fn signals(series: SignalSeries) -> &'static [Signal] {
    match series {
        SignalSeries::ReloadsAndTerminate => &[Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP],
        SignalSeries::TerminateTwice => &[Signal::TERM, Signal::TERM],
        SignalSeries::TerminateAndReload => &[Signal::TERM, Signal::HUP],
    }
}

/// Repeats an operator request until it is answered with 200. Returns whether it was in time.
fn send_until_accepted(sender: &Sender, line: &str) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < OPERATOR_TIMEOUT {
        if sender.send_operator_request(line) == Some(200) {
            return true;
        }
        thread::sleep(OPERATOR_RETRY_INTERVAL);
    }
    false
}

/// Puts a sender on standby for this time.
fn put_on_standby(sender: &Sender, span: Duration) {
    if send_until_accepted(sender, "POST /standby") {
        thread::sleep(DRAIN_REPORT_TIME + span);
        send_until_accepted(sender, "POST /active");
    }
}

/// Takes an endpoint out of service at a sender for this time. The sender must not call it from the answer
/// 200 until it is returned to service.
fn take_out_of_service(sender: &Sender, endpoint: usize, span: Duration, observations: &Observations) {
    if send_until_accepted(sender, &format!("POST /maintenance/enter?name=e-{endpoint}")) {
        observations.set_out_of_service(sender.number, endpoint, true);
        thread::sleep(span);
        observations.set_out_of_service(sender.number, endpoint, false);
        send_until_accepted(sender, &format!("POST /maintenance/exit?name=e-{endpoint}"));
    }
}
