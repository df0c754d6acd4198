//! The encoding of notes between senders. `choice.rs` decides which notes are sent.

use crate::interface::{DestinationId, EndpointId};
use crate::state::RouteId;

/// The first byte of every note identifies its format. Other notes are ignored.
const FORMAT: u8 = 0xd1;

/// What a note reports about a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// Calls fail, and the breaker is open.
    Down,
    /// A call was served.
    Up,
    /// Several calls in a row were refused.
    Full,
    /// A connection was refused and a call served soon after: connections are scarce at this kind of
    /// destination.
    Scarce,
    /// The destination asked to wait for this many milliseconds.
    Wait(u32),
}

impl Report {
    /// Returns the byte that identifies the variant, and the number that follows the route.
    fn code(self) -> (u8, Option<u32>) {
        match self {
            Self::Down => (0, None),
            Self::Up => (1, None),
            Self::Full => (2, None),
            Self::Scarce => (3, None),
            Self::Wait(ms) => (4, Some(ms)),
        }
    }
}

/// Encodes a note.
pub fn encode(report: Report, route: RouteId) -> Vec<u8> {
    let (code, number) = report.code();
    let mut body = vec![FORMAT, code];
    body.extend(route.0.0.to_le_bytes());
    if let Some(endpoint) = route.1 {
        body.extend(endpoint.0.to_le_bytes());
    }
    if let Some(number) = number {
        body.extend(number.to_le_bytes());
    }
    body
}

/// Decodes a note; returns `None` if it is malformed.
pub fn decode(body: &[u8]) -> Option<(Report, RouteId)> {
    let number = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).ok();
    let (&[FORMAT, code], mut rest) = body.split_at_checked(2)? else { return None };
    let report = match code {
        0 => Report::Down,
        1 => Report::Up,
        2 => Report::Full,
        3 => Report::Scarce,
        4 => {
            let (route_bytes, ms) = rest.split_last_chunk()?;
            rest = route_bytes;
            Report::Wait(u32::from_le_bytes(*ms))
        }
        _ => return None,
    };
    let endpoint = match rest.len() {
        8 => None,
        16 => Some(EndpointId(number(&rest[8..])?)),
        _ => return None,
    };
    Some((report, (DestinationId(number(&rest[..8])?), endpoint)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notes_survive_a_round_trip_and_malformed_ones_are_rejected() {
        for report in [Report::Down, Report::Up, Report::Full, Report::Scarce, Report::Wait(u32::MAX)] {
            for endpoint in [None, Some(EndpointId(u64::MAX))] {
                let route = (DestinationId(1 << 40), endpoint);
                let body = encode(report, route);
                assert_eq!(decode(&body), Some((report, route)));
                assert_eq!(decode(&body[1..]), None);
                assert_eq!(decode(&[&body[..], &[0]].concat()), None);
            }
        }
        assert_eq!(decode(&[]), None);
        assert_eq!(decode(&[FORMAT, 5, 0, 0, 0, 0, 0, 0, 0, 0]), None);
    }
}
