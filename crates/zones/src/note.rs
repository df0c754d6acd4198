//! What a sender writes to others: what it saw of late and how far it has left zones, in one datagram.
//!
//! It speaks for itself alone. Words of others are not passed on: nobody could tell who made them up, and
//! each sender hears enough of the fleet at first hand.

use crate::evacuation::EvacuationState;
use crate::ids::{DestinationHash, ZoneId};
use serde::{Deserialize, Serialize};

/// The first byte of such a note; others on the same address begin with another.
pub const NOTE_FORMAT: u8 = 0xd3;
/// A longer datagram is not allowed.
pub const MAX_NOTE_BYTES: usize = 256;
/// Pairs and courses in a note: more do not fit.
const MAX_OBSERVATIONS: usize = 32;
const MAX_EVACUATIONS: usize = 6;

/// What a sender saw of a destination's endpoints in one zone, within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Where.
    pub zone: ZoneId,
    /// Of which destination.
    pub destination: DestinationHash,
    /// Calls that were answered, 255 at most.
    pub answered: u8,
    /// Calls that failed, 255 at most.
    pub failed: u8,
}

/// How far a sender has left a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// Which.
    pub zone: ZoneId,
    /// How far.
    pub state: EvacuationState,
    /// How often in a row it has failed.
    pub consecutive_failures: u8,
}

/// What one sender says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Where it stands.
    pub sender_zone: ZoneId,
    /// Its process: drawn at each start.
    pub incarnation: u32,
    /// Later reports of one process have higher numbers.
    pub sequence: u32,
    /// How far it has left zones; those that were never left are not named.
    pub evacuations: Vec<ZoneEvacuation>,
    /// What it saw.
    pub observations: Vec<Observation>,
}

/// Writes a report, as much of it as fits: what stands first in it is what matters most.
pub fn encode(report: &Report) -> Vec<u8> {
    let mut report = report.clone();
    report.evacuations.truncate(MAX_EVACUATIONS);
    report.observations.truncate(MAX_OBSERVATIONS);
    loop {
        let mut all = vec![NOTE_FORMAT];
        all.extend(postcard::to_allocvec(&report).unwrap_or_default());
        if all.len() <= MAX_NOTE_BYTES || report.observations.pop().is_none() {
            return all;
        }
    }
}

/// Reads a note; nothing where it is none.
pub fn decode(bytes: &[u8]) -> Option<Report> {
    let body = bytes.strip_prefix(&[NOTE_FORMAT])?;
    if bytes.len() > MAX_NOTE_BYTES {
        return None;
    }
    let (report, rest) = postcard::take_from_bytes::<Report>(body).ok()?;
    let sound = rest.is_empty()
        && report.observations.len() <= MAX_OBSERVATIONS
        && report.evacuations.len() <= MAX_EVACUATIONS
        && report.observations.iter().all(|s| s.answered | s.failed > 0);
    sound.then_some(report)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(pairs: u32, courses: u32) -> Report {
        let seen = |n| Observation {
            zone: ZoneId(u32::MAX - n),
            destination: DestinationHash(u32::MAX - n),
            answered: 255,
            failed: 255,
        };
        let course = EvacuationState { term: u32::MAX, level: 254 };
        let taken =
            |n| ZoneEvacuation { zone: ZoneId(u32::MAX - n), state: course, consecutive_failures: 255 };
        Report {
            sender_zone: ZoneId(u32::MAX),
            incarnation: u32::MAX,
            sequence: u32::MAX,
            evacuations: (0..courses).map(taken).collect(),
            observations: (0..pairs).map(seen).collect(),
        }
    }

    #[test]
    fn what_is_written_is_read_and_never_too_long() {
        for (pairs, courses) in [(0, 0), (1, 1), (100, 0), (100, 100), (0, 100)] {
            let (all, bytes) = (report(pairs, courses), encode(&report(pairs, courses)));
            assert!(bytes.len() <= MAX_NOTE_BYTES, "{pairs} and {courses}: {}", bytes.len());
            let read = decode(&bytes).expect("it is one");
            assert!(
                all.observations.starts_with(&read.observations)
                    && all.evacuations.starts_with(&read.evacuations)
            );
            assert!(read.evacuations.len() >= all.evacuations.len().min(MAX_EVACUATIONS));
            assert!(read.observations.len() >= all.observations.len().min(9), "{}", read.observations.len());
        }
    }

    #[test]
    fn what_is_cut_changed_or_another_note_is_passed_over_or_read_as_what_it_says() {
        let bytes = encode(&report(3, 2));
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), None, "cut at {cut}");
        }
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut wrong = bytes.clone();
                wrong[at] ^= 1 << bit;
                let _ = decode(&wrong);
            }
        }
        assert_eq!(decode(&[&bytes[..], &[0]].concat()), None);
        assert_eq!(decode(&[0xd1, 0, 1]), None);
        assert_eq!(decode(&[0xd2, 0]), None, "the form of the build before");
    }
}
