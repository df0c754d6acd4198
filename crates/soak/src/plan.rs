//! The troubles of one play, drawn from its seed: two or three at once.

use std::fmt;
use std::time::Duration;

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A sender is killed and started again.
    Kill,
    /// A sender is told to end, and started again.
    Restart,
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
}

impl Kind {
    /// Whether a sender's process gets a signal: two of these wait for each other.
    pub const fn is_signal(self) -> bool {
        matches!(self, Self::Kill | Self::Restart | Self::HeldUp | Self::Reload)
    }
}

/// One trouble of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// Which sender or endpoint, as far as one is meant.
    pub which: usize,
    /// From when on, since the play's begin.
    pub from: Duration,
    /// For how long.
    pub span: Duration,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, which, from, span } = self;
        let (from, span) = (from.as_secs_f64(), span.as_secs_f64());
        write!(f, "{from:6.2} s, for {span:.2} s: {kind:?} of {which}")
    }
}

/// How large a play is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Sender processes.
    pub senders: usize,
    /// Destinations; each has two endpoints.
    pub dests: usize,
    /// For how long messages are handed in.
    pub span: Duration,
    /// Troubles.
    pub troubles: usize,
}

const HOUR_MICROS: i64 = 3_600_000_000;
/// The first trouble comes after this, the last one ends so long before messages end.
const QUIET: Duration = Duration::from_secs(1);

/// Draws the troubles of a seed. Each begins near another one, so that they overlap, also at one sender.
pub fn draw(seed: u64, size: &Size) -> Vec<Trouble> {
    let mut random = fastrand::Rng::with_seed(seed);
    let room = size.span.saturating_sub(2 * QUIET);
    let (mut moment, mut concerned) = (Duration::ZERO, 0);
    let all = size.senders.max(2 * size.dests);
    (0..size.troubles)
        .map(|n| {
            // Three by three they share a moment.
            if n % 3 == 0 {
                moment = QUIET + room.mul_f64(random.f64());
                concerned = random.usize(..all);
            }
            let kind = kind(&mut random);
            // Half of the others meet the same sender or endpoint: what goes wrong together is looked for.
            let which = if random.bool() { concerned } else { random.usize(..all) };
            let from = moment + Duration::from_millis(random.u64(..400));
            Trouble { kind, which, from, span: Duration::from_millis(random.u64(300..3_000)) }
        })
        .collect()
}

fn kind(random: &mut fastrand::Rng) -> Kind {
    match random.u8(..24) {
        0..=1 => Kind::Kill,
        2..=3 => Kind::Restart,
        4 => Kind::HeldUp,
        5 => Kind::Reload,
        6 => Kind::Clock(if random.bool() { HOUR_MICROS } else { -HOUR_MICROS }),
        7 => Kind::Clock(random.i64(-5_000_000..5_000_000)),
        8 => Kind::Connect(if random.bool() { libc::EADDRNOTAVAIL } else { libc::ENFILE }),
        9 => Kind::FileWrite(if random.bool() { libc::ENOSPC } else { libc::EIO }),
        10 => Kind::SocketIo,
        11 => Kind::Accept(if random.bool() { libc::ECONNABORTED } else { libc::ENFILE }),
        12 => Kind::Hangs,
        13 => Kind::Resets,
        14 => Kind::Full,
        15 => Kind::Slow,
        16 => Kind::Drain,
        17 => Kind::FileRead(if random.bool() { libc::ENFILE } else { libc::EIO }),
        18 => Kind::Memory(if random.bool() { libc::ENOMEM } else { libc::ENOBUFS }),
        19 => Kind::Socket(if random.bool() { libc::ENFILE } else { libc::ENOBUFS }),
        20 => Kind::NotesLost(random.u32(300..1_000)),
        21..=22 => Kind::Outage,
        _ => Kind::ListDown,
    }
}
