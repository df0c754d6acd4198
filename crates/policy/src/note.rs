//! How notes between senders are written as bytes. Who writes what is decided in `choice.rs`.

use crate::interface::{DestinationId, EndpointId};
use crate::state::RouteId;

/// The first byte of every note: its form. Others are passed over.
const FORM: u8 = 0xd1;

/// What a note says of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Held back: calls fail there.
    Down,
    /// A call was served there.
    Up,
    /// It refuses call after call.
    Full,
    /// It turned connections away and served soon after: they are scarce at its kind.
    Scarce,
    /// It told to wait so long, in milliseconds.
    Wait(u32),
}

impl Word {
    /// The byte that names it, and what follows the route.
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

/// Writes a note.
pub fn write(word: Word, route: RouteId) -> Vec<u8> {
    let (code, more) = word.code();
    let mut body = vec![FORM, code];
    body.extend(route.0.0.to_le_bytes());
    if let Some(e) = route.1 {
        body.extend(e.0.to_le_bytes());
    }
    if let Some(more) = more {
        body.extend(more.to_le_bytes());
    }
    body
}

/// Reads a note; nothing where it is not one.
pub fn read(body: &[u8]) -> Option<(Word, RouteId)> {
    let number = |b: &[u8]| b.try_into().map(u64::from_le_bytes).ok();
    let (&[FORM, code], mut rest) = body.split_at_checked(2)? else { return None };
    let word = match code {
        0 => Word::Down,
        1 => Word::Up,
        2 => Word::Full,
        3 => Word::Scarce,
        4 => {
            let (before, ms) = rest.split_last_chunk()?;
            rest = before;
            Word::Wait(u32::from_le_bytes(*ms))
        }
        _ => return None,
    };
    let endpoint = match rest.len() {
        8 => None,
        16 => Some(EndpointId(number(&rest[8..])?)),
        _ => return None,
    };
    Some((word, (DestinationId(number(&rest[..8])?), endpoint)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_and_nothing_else() {
        for word in [Word::Down, Word::Up, Word::Full, Word::Scarce, Word::Wait(u32::MAX)] {
            for endpoint in [None, Some(EndpointId(u64::MAX))] {
                let route = (DestinationId(1 << 40), endpoint);
                let body = write(word, route);
                assert_eq!(read(&body), Some((word, route)));
                assert_eq!(read(&body[1..]), None);
                assert_eq!(read(&[&body[..], &[0]].concat()), None);
            }
        }
        assert_eq!(read(&[]), None);
        assert_eq!(read(&[FORM, 5, 0, 0, 0, 0, 0, 0, 0, 0]), None);
    }
}
