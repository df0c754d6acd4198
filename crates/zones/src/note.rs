//! What senders write to one another: what each saw of late, in one datagram.

use crate::names::{Dest, Micros, Peer, Zone};
use serde::{Deserialize, Serialize};

/// The first byte of such a note; others on the same address begin with another.
pub const FORM: u8 = 0xd2;
/// A longer datagram is not allowed.
pub const LONGEST: usize = 256;
/// Reports in a note, and pairs in a report: more do not fit.
const REPORTS: usize = 16;
const PAIRS: usize = 24;
/// A report's own part of the note, so that something of others fits beside it.
const OWN: usize = 8;
/// Ages are written by so much.
const GRAIN: Micros = 10_000;

/// What a sender saw of a destination's endpoints in one zone, within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Where.
    pub zone: Zone,
    /// Of which destination.
    pub dest: Dest,
    /// Calls that were answered, 255 at most.
    pub answered: u8,
    /// Calls that failed, 255 at most.
    pub failed: u8,
}

/// What one sender saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Who.
    pub from: Peer,
    /// Where it stands.
    pub stands: Zone,
    /// Its process: drawn at each start.
    pub life: u32,
    /// Later reports of one process have higher numbers.
    pub number: u32,
    /// How old it is where it was written, in hundredths of a second.
    pub age: u16,
    /// What.
    pub seen: Vec<Seen>,
}

impl Report {
    /// How old it is.
    pub fn aged(&self) -> Micros {
        Micros::from(self.age) * GRAIN
    }

    /// The same, so old by now.
    pub fn at_age(mut self, age: Micros) -> Self {
        self.age = u16::try_from(age.div_ceil(GRAIN)).unwrap_or(u16::MAX);
        self
    }
}

/// A note: the writer's own report first, then the newest of others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// What it holds.
    pub reports: Vec<Report>,
}

/// Writes as many of these reports, in their order, as fit. The first one is cut if need be: what stands
/// first in it is what matters most.
pub fn write(reports: &[Report]) -> Vec<u8> {
    let mut note = Note::default();
    let bytes = |note: &Note| {
        let mut all = vec![FORM];
        all.extend(postcard::to_allocvec(note).unwrap_or_default());
        all
    };
    let mut fits = bytes(&note);
    for (n, report) in reports.iter().take(REPORTS).enumerate() {
        let mut report = report.clone();
        report.seen.truncate(if n == 0 && reports.len() > 1 { OWN } else { PAIRS });
        let wanted = report.seen.len();
        note.reports.push(report);
        let mut now = bytes(&note);
        while now.len() > LONGEST {
            let Some(last) = note.reports.last_mut() else { break };
            if last.seen.pop().is_none() {
                break;
            }
            now = bytes(&note);
        }
        // A report of others with nothing left in it tells nothing.
        let empty = wanted > 0 && note.reports.last().is_none_or(|r| r.seen.is_empty());
        if now.len() > LONGEST || empty {
            return fits;
        }
        fits = now;
    }
    fits
}

/// Reads a note; nothing where it is none.
pub fn read(bytes: &[u8]) -> Option<Note> {
    let body = bytes.strip_prefix(&[FORM])?;
    if bytes.len() > LONGEST {
        return None;
    }
    let (note, rest) = postcard::take_from_bytes::<Note>(body).ok()?;
    let sound = rest.is_empty()
        && note.reports.len() <= REPORTS
        && note
            .reports
            .iter()
            .all(|r| r.seen.len() <= PAIRS && r.seen.iter().all(|s| s.answered | s.failed > 0));
    sound.then_some(note)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(from: u64, pairs: u32) -> Report {
        let seen =
            |n| Seen { zone: Zone(u32::MAX - n), dest: Dest(u32::MAX - n), answered: 255, failed: 255 };
        Report {
            from: Peer(u64::MAX - from),
            stands: Zone(u32::MAX),
            life: u32::MAX,
            number: u32::MAX,
            age: u16::MAX,
            seen: (0..pairs).map(seen).collect(),
        }
    }

    #[test]
    fn what_is_written_is_read_and_never_too_long() {
        for (reports, pairs) in [(0, 0), (1, 1), (1, 100), (3, 4), (40, 40), (16, 0)] {
            let all: Vec<Report> = (0..reports).map(|n| report(n, pairs)).collect();
            let bytes = write(&all);
            assert!(bytes.len() <= LONGEST, "{reports} of {pairs}: {}", bytes.len());
            let note = read(&bytes).expect("it is one");
            assert!(note.reports.iter().zip(&all).all(|(a, b)| (a.from, a.number) == (b.from, b.number)));
            assert!(all.is_empty() || !note.reports.is_empty());
        }
        let two = read(&write(&[report(1, 40), report(2, 4)])).expect("it is one");
        assert_eq!(two.reports.len(), 2, "one's own leaves room for another's");
    }

    #[test]
    fn what_is_cut_changed_or_another_note_is_passed_over_or_read_as_what_it_says() {
        let bytes = write(&[report(1, 3), report(2, 2)]);
        for cut in 0..bytes.len() {
            assert_eq!(read(&bytes[..cut]), None, "cut at {cut}");
        }
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut wrong = bytes.clone();
                wrong[at] ^= 1 << bit;
                let _ = read(&wrong);
            }
        }
        assert_eq!(read(&[&bytes[..], &[0]].concat()), None);
        assert_eq!(read(&[0xd1, 0, 1]), None);
    }
}
