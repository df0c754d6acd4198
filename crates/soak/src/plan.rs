//! The troubles of one play, drawn from its seed: two or three at once.

use crate::sender::Side;
use crate::topology::platform_held;
use std::fmt;
use std::time::Duration;

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A sender is killed and started again.
    Kill,
    /// A sender is told to end, and started again.
    Restart,
    /// A sender is told to end by several signals within milliseconds.
    Signals(Series),
    /// A sender is killed, and told to end and to reload so many milliseconds after its next start.
    SignalsAtStart(u64),
    /// A sender is killed right behind a 202.
    KillBehindPromise,
    /// A new process takes over from the one that serves.
    Handover,
    /// The same, and one of them is killed so many milliseconds after the new one was begun.
    HandoverKill(Side, u64),
    /// Operators drain a sender, and have it take clients again.
    Standby,
    /// Operators take an endpoint out of service at a sender, and put it back.
    OutOfService,
    /// Idle clients come, more than a sender has descriptors; some stop within a request.
    Crowd,
    /// A sender is held up for 0.15 s, again and again.
    HeldUp,
    /// A sender reads its configuration anew, several times in a row.
    Reload,
    /// A sender's wall clock is stepped, forward or back.
    Clock(i64),
    /// Half of a sender's connects fail with this error number.
    Connect(i32),
    /// A sender's file writes fail with this error number, half of them half done.
    FileWrite(i32),
    /// A sender's reads and writes on sockets are interrupted or short.
    SocketIo,
    /// A sender's accepts fail with this error number.
    Accept(i32),
    /// Each write of a sender to a file takes so many milliseconds more.
    SlowDisk(u64),
    /// A sender can read no file: this error number.
    FileRead(i32),
    /// A sender's calls on sockets lack memory now and then.
    Memory(i32),
    /// A sender has no sockets now and then: this error number.
    Socket(i32),
    /// Notes between senders are lost, so many of a thousand.
    NotesLost(u32),
    /// All endpoints of a destination refuse connections, and come back cold.
    Outage,
    /// An endpoint says nothing.
    Hangs,
    /// An endpoint is cut off: nothing that is sent comes, and its connections are reset when it is back.
    Cut,
    /// An endpoint carries calls out and ends the connection within its answer.
    CutAnswers,
    /// An endpoint resets connections after it has carried calls out.
    Resets,
    /// An endpoint turns calls away.
    Full,
    /// An endpoint answers late.
    Slow,
    /// An endpoint drains, and serves again.
    Drain,
    /// The list service is down.
    ListDown,
    /// The list service says nothing, also on open watches.
    ListSilent,
}

/// Signals in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Series {
    /// Reloads round one to end.
    ReloadsAndEnd,
    /// To end, twice.
    EndTwice,
    /// To end, and a reload behind it.
    EndAndReload,
}

impl FaultKind {
    /// Whether a sender's process gets a signal: two of these wait for each other.
    pub const fn is_signal(self) -> bool {
        matches!(
            self,
            Self::Kill
                | Self::Restart
                | Self::Signals(_)
                | Self::SignalsAtStart(_)
                | Self::KillBehindPromise
                | Self::Handover
                | Self::HandoverKill(..)
                | Self::HeldUp
                | Self::Reload
        )
    }

    /// Whether a new process takes over.
    pub const fn is_handover(self) -> bool {
        matches!(self, Self::Handover | Self::HandoverKill(..))
    }
}

/// One trouble of a plan.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// What.
    pub kind: FaultKind,
    /// Which sender or endpoint, as far as one is meant.
    pub target: usize,
    /// From when on, since the play's begin.
    pub start: Duration,
    /// For how long.
    pub duration: Duration,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, target, start, duration } = self;
        let (start, duration) = (start.as_secs_f64(), duration.as_secs_f64());
        write!(f, "{start:6.2} s, for {duration:.2} s: {kind:?} of {target}")
    }
}

/// How large a play is.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    /// Sender processes.
    pub senders: usize,
    /// Destinations; each has two endpoints.
    pub destinations: usize,
    /// For how long messages are handed in.
    pub duration: Duration,
    /// Troubles.
    pub fault_count: usize,
    /// Hand-overs in place of half of the signals.
    pub prefer_handovers: bool,
}

const HOUR_MICROS: i64 = 3_600_000_000;
/// The first trouble comes after this, the last one ends so long before messages end.
const QUIET: Duration = Duration::from_secs(1);

/// Draws the troubles of a seed. Each begins near another one, so that they overlap, also at one sender.
pub fn generate(seed: u64, size: &RunSize) -> Vec<ScheduledFault> {
    let mut random = fastrand::Rng::with_seed(seed);
    let room = size.duration.saturating_sub(2 * QUIET);
    let (mut moment, mut concerned) = (Duration::ZERO, 0);
    let all = size.senders.max(2 * size.destinations);
    (0..size.fault_count)
        .map(|n| {
            // Three by three they share a moment.
            if n % 3 == 0 {
                moment = QUIET + room.mul_f64(random.f64());
                concerned = random.usize(..all);
            }
            let is_handover = size.prefer_handovers && random.bool();
            let kind = if is_handover { handover_kind(&mut random) } else { kind(&mut random) };
            // Half of the others meet the same sender or endpoint: what goes wrong together is looked for.
            let target = if random.bool() { concerned } else { random.usize(..all) };
            let target = if kind.is_handover() { platform_held(target % size.senders) } else { target };
            let start = moment + Duration::from_millis(random.u64(..400));
            ScheduledFault { kind, target, start, duration: Duration::from_millis(random.u64(300..3_000)) }
        })
        .collect()
}

/// A hand-over takes some tens of milliseconds; kills come at any step of it, and a little behind it.
const HAND_OVER_MILLIS: u64 = 150;
/// A start takes as long.
const START_MILLIS: u64 = 100;

/// Beyond this the disk carries less than comes in.
const SLOW_DISK_MILLIS: std::ops::Range<u64> = 5..25;

fn handover_kind(random: &mut fastrand::Rng) -> FaultKind {
    let after = random.u64(..HAND_OVER_MILLIS);
    match random.u8(..4) {
        0..=1 => FaultKind::Handover,
        2 => FaultKind::HandoverKill(Side::Old, after),
        _ => FaultKind::HandoverKill(Side::New, after),
    }
}

fn kind(random: &mut fastrand::Rng) -> FaultKind {
    match random.u8(..36) {
        0 => FaultKind::Kill,
        1 => FaultKind::KillBehindPromise,
        2 => FaultKind::Restart,
        3 => FaultKind::Signals(match random.u8(..3) {
            0 => Series::ReloadsAndEnd,
            1 => Series::EndTwice,
            _ => Series::EndAndReload,
        }),
        4 => FaultKind::SignalsAtStart(random.u64(..START_MILLIS)),
        5..=7 => handover_kind(random),
        8 => FaultKind::Standby,
        9 => FaultKind::OutOfService,
        10 => FaultKind::Crowd,
        11 => FaultKind::HeldUp,
        12..=13 => FaultKind::Reload,
        14 => FaultKind::Clock(if random.bool() { HOUR_MICROS } else { -HOUR_MICROS }),
        15 => FaultKind::Clock(random.i64(-5_000_000..5_000_000)),
        16 => FaultKind::Connect(if random.bool() { libc::EADDRNOTAVAIL } else { libc::ENFILE }),
        17 => FaultKind::FileWrite(if random.bool() { libc::ENOSPC } else { libc::EIO }),
        18 => FaultKind::SlowDisk(random.u64(SLOW_DISK_MILLIS)),
        19 => FaultKind::SocketIo,
        20 => FaultKind::Accept(if random.bool() { libc::ECONNABORTED } else { libc::ENFILE }),
        21 => FaultKind::Hangs,
        22 => FaultKind::Cut,
        23 => FaultKind::CutAnswers,
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
