//! The fault plan of one run. It is drawn from the seed, with two or three faults at the same time.

use crate::sender::HandoverProcess;
use crate::topology::nearest_with_inherited_listener;
use std::fmt;
use std::time::Duration;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A sender is killed and started again.
    Kill,
    /// A sender receives SIGTERM and is started again.
    Restart,
    /// A sender receives SIGTERM and other signals within milliseconds, and is started again.
    Signals(SignalSeries),
    /// A sender is killed, and receives SIGTERM and SIGHUP this number of milliseconds after its next start.
    SignalsAtStart(u64),
    /// A sender is killed directly after a client has received a 202.
    KillAfterAcknowledgement,
    /// A new process takes over from the one that serves.
    Handover,
    /// The same, and one of the two processes is killed this number of milliseconds after the start of the
    /// new one.
    HandoverKill(HandoverProcess, u64),
    /// Operators put a sender on standby, and make it accept clients again.
    Standby,
    /// Operators take an endpoint out of service at a sender, and return it to service.
    OutOfService,
    /// More idle clients connect than a sender has descriptors. Some of them stop within a request.
    IdleConnections,
    /// A sender is stopped for 0.15 s repeatedly.
    Stopped,
    /// A sender reloads its configuration several times in sequence.
    Reload,
    /// The wall clock of a sender is stepped forward or backward by this number of microseconds.
    Clock(i64),
    /// Half of the connect calls of a sender fail with this error number.
    Connect(i32),
    /// Writes of a sender to files fail with this error number, half of them after half of the bytes.
    FileWrite(i32),
    /// Reads and writes of a sender on sockets are interrupted or short.
    SocketIo,
    /// Accept calls of a sender fail with this error number.
    Accept(i32),
    /// Each write of a sender to a file takes this number of milliseconds longer.
    SlowDisk(u64),
    /// A sender cannot read files: reads fail with this error number.
    FileRead(i32),
    /// Some socket calls of a sender fail with this error number, which reports a lack of memory.
    Memory(i32),
    /// A sender sometimes cannot create sockets: the call fails with this error number.
    Socket(i32),
    /// Of a thousand notes between senders, this number is lost.
    NotesLost(u32),
    /// All endpoints of a route refuse connections, and are cold afterwards.
    Outage,
    /// An endpoint does not answer.
    NoAnswer,
    /// An endpoint is disconnected: it receives nothing, and its connections are reset when it is reachable
    /// again.
    Disconnected,
    /// An endpoint carries calls out and closes the connection within its answer.
    TruncatedAnswers,
    /// An endpoint resets connections after it has carried calls out.
    Resets,
    /// An endpoint refuses calls.
    Full,
    /// An endpoint answers late.
    Slow,
    /// An endpoint drains, and serves again afterwards.
    Drain,
    /// The list service is down.
    ListDown,
    /// The list service sends nothing, not even on open watches.
    ListSilent,
}

/// A series of signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// SIGTERM with SIGHUP before and after it.
    ReloadsAndTerminate,
    /// SIGTERM twice.
    TerminateTwice,
    /// SIGTERM, and SIGHUP after it.
    TerminateAndReload,
}

impl FaultKind {
    /// Returns whether the fault signals or replaces the process of a sender. Two of these at one sender take
    /// place one after the other.
    pub const fn is_signal(self) -> bool {
        matches!(
            self,
            Self::Kill
                | Self::Restart
                | Self::Signals(_)
                | Self::SignalsAtStart(_)
                | Self::KillAfterAcknowledgement
                | Self::Handover
                | Self::HandoverKill(..)
                | Self::Stopped
                | Self::Reload
        )
    }

    /// Returns whether the fault is a hand-over.
    pub const fn is_handover(self) -> bool {
        matches!(self, Self::Handover | Self::HandoverKill(..))
    }
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// Its kind.
    pub kind: FaultKind,
    /// Number of the sender or endpoint, for kinds that affect one.
    pub target: usize,
    /// Time of its start, since the start of the run.
    pub start: Duration,
    /// Its duration.
    pub duration: Duration,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, target, start, duration } = self;
        let (start, duration) = (start.as_secs_f64(), duration.as_secs_f64());
        write!(f, "{start:6.2} s, for {duration:.2} s: {kind:?}, target {target}")
    }
}

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    /// Number of senders.
    pub senders: usize,
    /// Number of destinations, each with two endpoints.
    pub destinations: usize,
    /// Time for which messages are submitted.
    pub duration: Duration,
    /// Number of faults.
    pub fault_count: usize,
    /// Whether half of the faults are hand-overs.
    pub prefer_handovers: bool,
}

/// An hour in microseconds.
const HOUR_MICROS: i64 = 3_600_000_000;
/// Time without faults at the beginning of a run, and between the latest start of a fault and the last
/// messages.
const FAULT_FREE_TIME: Duration = Duration::from_secs(1);

/// Draws the plan of a seed. Each fault starts near another one, so that they overlap, also at one sender.
pub fn generate(seed: u64, size: &RunSize) -> Vec<ScheduledFault> {
    let mut random = fastrand::Rng::with_seed(seed);
    let available = size.duration.saturating_sub(2 * FAULT_FREE_TIME);
    let (mut shared_start, mut shared_target) = (Duration::ZERO, 0);
    let target_count = size.senders.max(2 * size.destinations);
    (0..size.fault_count)
        .map(|n| {
            // Three faults at a time share a start, to which each adds up to 400 ms.
            if n % 3 == 0 {
                shared_start = FAULT_FREE_TIME + available.mul_f64(random.f64());
                shared_target = random.usize(..target_count);
            }
            let is_handover = size.prefer_handovers && random.bool();
            let kind = if is_handover { draw_handover_kind(&mut random) } else { draw_kind(&mut random) };
            // Half of the faults affect the same sender or endpoint, to test combinations of faults.
            let target = if random.bool() { shared_target } else { random.usize(..target_count) };
            let target = if kind.is_handover() {
                nearest_with_inherited_listener(target % size.senders)
            } else {
                target
            };
            let start = shared_start + Duration::from_millis(random.u64(..400));
            ScheduledFault { kind, target, start, duration: Duration::from_millis(random.u64(300..3_000)) }
        })
        .collect()
}

/// Limit of the time of a kill after the start of a hand-over. A hand-over takes some tens of milliseconds,
/// so that kills occur at any step of it and shortly after it.
const MAX_HANDOVER_KILL_MILLIS: u64 = 150;
/// Limit of the time of signals after a start, which takes about as long as a hand-over.
const MAX_START_SIGNAL_MILLIS: u64 = 100;

/// Range of write delays. With longer delays the disk cannot keep up with the incoming messages.
const SLOW_DISK_MILLIS: std::ops::Range<u64> = 5..25;

/// Draws a hand-over, with or without a kill.
fn draw_handover_kind(random: &mut fastrand::Rng) -> FaultKind {
    let after = random.u64(..MAX_HANDOVER_KILL_MILLIS);
    match random.u8(..4) {
        0..=1 => FaultKind::Handover,
        2 => FaultKind::HandoverKill(HandoverProcess::Predecessor, after),
        _ => FaultKind::HandoverKill(HandoverProcess::Successor, after),
    }
}

/// Draws any kind of fault.
fn draw_kind(random: &mut fastrand::Rng) -> FaultKind {
    match random.u8(..36) {
        0 => FaultKind::Kill,
        1 => FaultKind::KillAfterAcknowledgement,
        2 => FaultKind::Restart,
        3 => FaultKind::Signals(match random.u8(..3) {
            0 => SignalSeries::ReloadsAndTerminate,
            1 => SignalSeries::TerminateTwice,
            _ => SignalSeries::TerminateAndReload,
        }),
        4 => FaultKind::SignalsAtStart(random.u64(..MAX_START_SIGNAL_MILLIS)),
        5..=7 => draw_handover_kind(random),
        8 => FaultKind::Standby,
        9 => FaultKind::OutOfService,
        10 => FaultKind::IdleConnections,
        11 => FaultKind::Stopped,
        12..=13 => FaultKind::Reload,
        14 => FaultKind::Clock(if random.bool() { HOUR_MICROS } else { -HOUR_MICROS }),
        15 => FaultKind::Clock(random.i64(-5_000_000..5_000_000)),
        16 => FaultKind::Connect(if random.bool() { libc::EADDRNOTAVAIL } else { libc::ENFILE }),
        17 => FaultKind::FileWrite(if random.bool() { libc::ENOSPC } else { libc::EIO }),
        18 => FaultKind::SlowDisk(random.u64(SLOW_DISK_MILLIS)),
        19 => FaultKind::SocketIo,
        20 => FaultKind::Accept(if random.bool() { libc::ECONNABORTED } else { libc::ENFILE }),
        21 => FaultKind::NoAnswer,
        22 => FaultKind::Disconnected,
        23 => FaultKind::TruncatedAnswers,
        24 => FaultKind::Resets,
        25 => FaultKind::Full,
        26 => FaultKind::Slow,
        27 => FaultKind::Drain,
        28 => FaultKind::FileRead(if random.bool() { libc::ENFILE } else { libc::EIO }),
        29 => FaultKind::Memory(if random.bool() { libc::ENOMEM } else { libc::ENOBUFS }),
        30 => FaultKind::Socket(if random.bool() { libc::ENFILE } else { libc::ENOBUFS }),
        31 => FaultKind::NotesLost(random.u32(300..1_000)),
        32..=33 => FaultKind::Outage,
        34 => FaultKind::ListDown,
        _ => FaultKind::ListSilent,
    }
}
