//! The note that a sender sends to others: its recent observations and how far it has evacuated zones, in one
//! datagram.
//!
//! A note holds its sender's own report only. Reports of others are not forwarded, since their origin could
//! not be verified, and each sender receives enough reports directly.

use crate::evacuation::EvacuationState;
use crate::ids::{DestinationHash, ZoneId};
use serde::{Deserialize, Serialize};

/// The first byte of a note of this format. Other notes on the same address begin with other bytes.
pub const NOTE_FORMAT: u8 = 0xd3;
/// The maximum length of a datagram between senders.
pub const MAX_NOTE_BYTES: usize = 256;
/// The maximum numbers of observations and evacuations in a note; more do not fit.
const MAX_OBSERVATIONS: usize = 32;
const MAX_EVACUATIONS: usize = 6;

/// What a sender observed of the endpoints of a destination in one zone, within the evidence window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The zone of the endpoints.
    pub zone: ZoneId,
    /// Their destination.
    pub destination: DestinationHash,
    /// The number of calls that were answered, 255 at most.
    pub answered: u8,
    /// The number of calls that failed, 255 at most.
    pub failed: u8,
}

/// How far a sender has evacuated a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: ZoneId,
    /// How far it is evacuated.
    pub state: EvacuationState,
    /// The number of times in a row that it has failed.
    pub consecutive_failures: u8,
}

/// The report of one sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The zone in which the sender runs.
    pub sender_zone: ZoneId,
    /// The process of the sender: a random number drawn at each start.
    pub incarnation: u32,
    /// Increases with each report of one incarnation.
    pub sequence: u32,
    /// How far the sender has evacuated zones. Zones that it never evacuated are left out.
    pub evacuations: Vec<ZoneEvacuation>,
    /// The sender's observations.
    pub observations: Vec<Observation>,
}

/// Encodes a report. What does not fit is cut off, so the most important entries come first in each list.
pub fn encode(report: &Report) -> Vec<u8> {
    let mut report = report.clone();
    report.evacuations.truncate(MAX_EVACUATIONS);
    report.observations.truncate(MAX_OBSERVATIONS);
    loop {
        let mut bytes = vec![NOTE_FORMAT];
        bytes.extend(postcard::to_allocvec(&report).unwrap_or_default());
        if bytes.len() <= MAX_NOTE_BYTES || report.observations.pop().is_none() {
            return bytes;
        }
    }
}

/// Decodes a note. Returns `None` if the bytes are not a valid note of this format.
pub fn decode(bytes: &[u8]) -> Option<Report> {
    let body = bytes.strip_prefix(&[NOTE_FORMAT])?;
    if bytes.len() > MAX_NOTE_BYTES {
        return None;
    }
    let (report, rest) = postcard::take_from_bytes::<Report>(body).ok()?;
    let is_valid = rest.is_empty()
        && report.observations.len() <= MAX_OBSERVATIONS
        && report.evacuations.len() <= MAX_EVACUATIONS
        && report.observations.iter().all(|o| o.answered | o.failed > 0);
    is_valid.then_some(report)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(observations: u32, evacuations: u32) -> Report {
        let observation = |n| Observation {
            zone: ZoneId(u32::MAX - n),
            destination: DestinationHash(u32::MAX - n),
            answered: 255,
            failed: 255,
        };
        let state = EvacuationState { term: u32::MAX, level: 254 };
        let evacuation = |n| ZoneEvacuation { zone: ZoneId(u32::MAX - n), state, consecutive_failures: 255 };
        Report {
            sender_zone: ZoneId(u32::MAX),
            incarnation: u32::MAX,
            sequence: u32::MAX,
            evacuations: (0..evacuations).map(evacuation).collect(),
            observations: (0..observations).map(observation).collect(),
        }
    }

    #[test]
    fn an_encoded_report_is_decoded_and_never_too_long() {
        for (observations, evacuations) in [(0, 0), (1, 1), (100, 0), (100, 100), (0, 100)] {
            let (all, bytes) =
                (report(observations, evacuations), encode(&report(observations, evacuations)));
            assert!(bytes.len() <= MAX_NOTE_BYTES, "{observations} and {evacuations}: {}", bytes.len());
            let decoded = decode(&bytes).expect("a valid note");
            assert!(
                all.observations.starts_with(&decoded.observations)
                    && all.evacuations.starts_with(&decoded.evacuations)
            );
            assert!(decoded.evacuations.len() >= all.evacuations.len().min(MAX_EVACUATIONS));
            assert!(
                decoded.observations.len() >= all.observations.len().min(9),
                "{}",
                decoded.observations.len()
            );
        }
    }

    #[test]
    fn a_truncated_note_or_one_of_another_format_is_rejected_and_a_corrupt_one_does_not_panic() {
        let bytes = encode(&report(3, 2));
        for len in 0..bytes.len() {
            assert_eq!(decode(&bytes[..len]), None, "truncated to {len} bytes");
        }
        for index in 0..bytes.len() {
            for bit in 0..8 {
                let mut corrupt = bytes.clone();
                corrupt[index] ^= 1 << bit;
                let _ = decode(&corrupt);
            }
        }
        assert_eq!(decode(&[&bytes[..], &[0]].concat()), None);
        assert_eq!(decode(&[0xd1, 0, 1]), None);
        assert_eq!(decode(&[0xd2, 0]), None, "the format of the previous build");
    }
}
