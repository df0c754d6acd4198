//! Names of senders, of their lives, and of messages.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// A sender, by its name in the operators' files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer(pub u64);

impl Peer {
    /// The same in every build: it stands in frames and in stores.
    pub fn named(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// The life of a sender's folder: a number drawn when a sender starts with an empty one. Two lives are told
/// apart, and not put in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reign(pub u64);

/// Who may own a message: a sender in one life of its folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The sender.
    pub peer: Peer,
    /// Its folder's life.
    pub reign: Reign,
}

/// Where a message was first taken on. Its witnesses follow from that for good ([`Epoch`]). The epoch moves
/// on when one of them has lost its memory, or was lost before it knew of the epoch: what it forgot, or never
/// heard, then concerns earlier epochs alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Home {
    /// Who took it on.
    pub holder: Holder,
    /// In that life.
    pub epoch: Epoch,
}

/// A configuration of witnesses: its number, and who they are among the partners of its holder. Both stand in
/// one number, so that whoever hears of a home knows its witnesses without a word, and rows and frames from
/// before witnesses were chosen mean what they meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u32);

/// Bits for the number: a million epochs in a life.
const NUMBER_BITS: u32 = 20;
const NUMBERS: u32 = (1 << NUMBER_BITS) - 1;

impl Epoch {
    /// The first one, whose witnesses are the first partners.
    pub const FIRST: Self = Self(0);
    /// Partners that can be chosen from.
    pub const CHOICES: usize = (u32::BITS - NUMBER_BITS) as usize;

    /// Its number, counted from 0.
    pub fn number(self) -> u32 {
        self.0 & NUMBERS
    }

    /// Which partners are its witnesses, by their places; none where the first ones are.
    pub fn chosen(self) -> Option<impl Iterator<Item = usize>> {
        let chosen = self.0 >> NUMBER_BITS;
        (chosen > 0).then(|| (0..Self::CHOICES).filter(move |place| chosen & 1 << place > 0))
    }

    /// The one behind it, with these partners as witnesses, or the first ones if none is named. Nothing where
    /// all numbers are used.
    pub fn next(self, chosen: &[usize]) -> Option<Self> {
        let number = Some(self.number() + 1).filter(|number| *number <= NUMBERS)?;
        let places = chosen.iter().fold(0, |all, place| all | 1 << place);
        Some(Self(places << NUMBER_BITS | number))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())?;
        let Some(chosen) = self.chosen() else { return Ok(()) };
        let places: Vec<String> = chosen.map(|place| (place + 1).to_string()).collect();
        write!(f, " (witnesses: partners {})", places.join(", "))
    }
}

/// A message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A message with its home, since ids are other people's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Where it was taken on.
    pub home: Home,
    /// Its name.
    pub id: Id,
}

/// Ownership of a message passes from term to term. Nobody owns it in a lower term than was granted.
pub type Term = u32;

/// The term of who took it on.
pub const FIRST: Term = 1;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_epoch_of_an_earlier_build_is_read_as_the_one_that_it_was() {
        // Rows and frames held a number, and its witnesses were the first partners.
        for number in [0_u32, 1, 7, 300] {
            let bytes = postcard::to_allocvec(&number).expect("plain data");
            let epoch: Epoch = postcard::from_bytes(&bytes).expect("a number");
            assert_eq!((epoch.number(), epoch.chosen().is_none()), (number, true));
        }
    }
}
