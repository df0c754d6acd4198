//! What a sender writes to others: what it saw of late and how far it has left zones, in one datagram.
//!
//! It speaks for itself alone. Words of others are not passed on: nobody could tell who made them up, and
//! each sender hears enough of the fleet at first hand.

use crate::course::Course;
use crate::names::{Dest, Zone};
use serde::{Deserialize, Serialize};

/// The first byte of such a note; others on the same address begin with another.
pub const FORM: u8 = 0xd3;
/// A longer datagram is not allowed.
pub const LONGEST: usize = 256;
/// Pairs and courses in a note: more do not fit.
const PAIRS: usize = 32;
const COURSES: usize = 6;

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

/// How far a sender has left a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Which.
    pub zone: Zone,
    /// How far.
    pub course: Course,
    /// How often in a row it has failed.
    pub failed: u8,
}

/// What one sender says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Where it stands.
    pub stands: Zone,
    /// Its process: drawn at each start.
    pub life: u32,
    /// Later reports of one process have higher numbers.
    pub number: u32,
    /// How far it has left zones; those that were never left are not named.
    pub courses: Vec<Taken>,
    /// What it saw.
    pub seen: Vec<Seen>,
}

/// Writes a report, as much of it as fits: what stands first in it is what matters most.
pub fn write(report: &Report) -> Vec<u8> {
    let mut report = report.clone();
    report.courses.truncate(COURSES);
    report.seen.truncate(PAIRS);
    loop {
        let mut all = vec![FORM];
        all.extend(postcard::to_allocvec(&report).unwrap_or_default());
        if all.len() <= LONGEST || report.seen.pop().is_none() {
            return all;
        }
    }
}

/// Reads a note; nothing where it is none.
pub fn read(bytes: &[u8]) -> Option<Report> {
    let body = bytes.strip_prefix(&[FORM])?;
    if bytes.len() > LONGEST {
        return None;
    }
    let (report, rest) = postcard::take_from_bytes::<Report>(body).ok()?;
    let sound = rest.is_empty()
        && report.seen.len() <= PAIRS
        && report.courses.len() <= COURSES
        && report.seen.iter().all(|s| s.answered | s.failed > 0);
    sound.then_some(report)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(pairs: u32, courses: u32) -> Report {
        let seen =
            |n| Seen { zone: Zone(u32::MAX - n), dest: Dest(u32::MAX - n), answered: 255, failed: 255 };
        let course = Course { term: u32::MAX, level: 254 };
        let taken = |n| Taken { zone: Zone(u32::MAX - n), course, failed: 255 };
        Report {
            stands: Zone(u32::MAX),
            life: u32::MAX,
            number: u32::MAX,
            courses: (0..courses).map(taken).collect(),
            seen: (0..pairs).map(seen).collect(),
        }
    }

    #[test]
    fn what_is_written_is_read_and_never_too_long() {
        for (pairs, courses) in [(0, 0), (1, 1), (100, 0), (100, 100), (0, 100)] {
            let (all, bytes) = (report(pairs, courses), write(&report(pairs, courses)));
            assert!(bytes.len() <= LONGEST, "{pairs} and {courses}: {}", bytes.len());
            let read = read(&bytes).expect("it is one");
            assert!(all.seen.starts_with(&read.seen) && all.courses.starts_with(&read.courses));
            assert!(read.courses.len() >= all.courses.len().min(COURSES));
            assert!(read.seen.len() >= all.seen.len().min(9), "{}", read.seen.len());
        }
    }

    #[test]
    fn what_is_cut_changed_or_another_note_is_passed_over_or_read_as_what_it_says() {
        let bytes = write(&report(3, 2));
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
        assert_eq!(read(&[0xd2, 0]), None, "the form of the build before");
    }
}
