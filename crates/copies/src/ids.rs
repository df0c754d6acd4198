//! Identifiers of senders, of their incarnations, and of messages.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A time or a duration, in microseconds.
pub type Micros = u64;

/// A sender, identified by a hash of its name in the operators' files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer(pub u64);

impl Peer {
    /// Returns the identifier for a name. It must be the same in every build, since it is part of frames and
    /// of stored rows.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// An incarnation of a sender's data folder: a random number drawn when a sender starts with an empty folder.
/// Incarnations can be compared for equality only; they have no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// An instance of a sender: the sender in one incarnation of its folder. Messages are owned by instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The sender.
    pub peer: Peer,
    /// The incarnation of its folder.
    pub incarnation: Incarnation,
}

/// A group of witnesses: all messages that clients submit to an instance during an epoch belong to it. The
/// epoch determines the witnesses permanently ([`Epoch`]). A new epoch begins when a witness has lost its
/// state, or was lost before it had registered the epoch: whatever it forgot, or never received, then
/// concerns earlier epochs only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WitnessGroup {
    /// The instance to which the messages were submitted.
    pub owner: Instance,
    /// The epoch of that instance.
    pub epoch: Epoch,
}

/// An epoch: its number, and which of the owner's replica candidates are its witnesses. Both are packed into
/// one integer, so that a sender that receives a group knows its witnesses without a further request. Rows
/// and frames of builds that could not select witnesses keep their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u32);

/// Bits for the number, which allow a million epochs per incarnation.
const NUMBER_BITS: u32 = 20;
const MAX_NUMBER: u32 = (1 << NUMBER_BITS) - 1;

impl Epoch {
    /// The first epoch, whose witnesses are the first candidates.
    pub const FIRST: Self = Self(0);
    /// The number of candidates from which witnesses can be selected.
    pub const MAX_SELECTABLE: usize = (u32::BITS - NUMBER_BITS) as usize;

    /// Returns the number of the epoch, counted from 0.
    pub fn number(self) -> u32 {
        self.0 & MAX_NUMBER
    }

    /// Returns the positions of its witnesses among the candidates; `None` if the witnesses are the first
    /// candidates.
    pub fn chosen(self) -> Option<impl Iterator<Item = usize>> {
        let chosen = self.0 >> NUMBER_BITS;
        (chosen > 0).then(|| (0..Self::MAX_SELECTABLE).filter(move |position| chosen & 1 << position > 0))
    }

    /// Returns the epoch after this one, with the candidates at these positions as witnesses, or with the
    /// first candidates if `chosen` is empty. Returns `None` if all numbers are used.
    pub fn next(self, chosen: &[usize]) -> Option<Self> {
        let number = Some(self.number() + 1).filter(|number| *number <= MAX_NUMBER)?;
        let positions = chosen.iter().fold(0, |all, position| all | 1 << position);
        Some(Self(positions << NUMBER_BITS | number))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())?;
        let Some(chosen) = self.chosen() else { return Ok(()) };
        let positions: Vec<String> = chosen.map(|position| (position + 1).to_string()).collect();
        write!(f, " (witnesses: candidates {})", positions.join(", "))
    }
}

/// The identifier of a message, assigned by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identifier of a message within one sender: the one that its client assigned, unless another open
/// message of this sender has that. It never leaves the sender; frames and rows of other senders' messages
/// have a [`Key`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LocalId(pub u64);

impl fmt::Display for LocalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identifier of a message together with its group, since clients choose the ids, and several senders may
/// have accepted different messages under the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The group that it belongs to.
    pub group: WitnessGroup,
    /// Its id.
    pub id: Id,
}

/// The number of an ownership. Each change of the owner raises it; an owner with a lower term than the last
/// one granted does not own the message any more.
pub type Term = u32;

/// The term of the sender to which the client submitted the message.
pub const FIRST_TERM: Term = 1;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_epoch_of_an_earlier_build_is_decoded_unchanged() {
        // Earlier builds stored a plain number, and the witnesses were the first candidates.
        for number in [0_u32, 1, 7, 300] {
            let bytes = postcard::to_allocvec(&number).expect("plain data");
            let epoch: Epoch = postcard::from_bytes(&bytes).expect("a number");
            assert_eq!((epoch.number(), epoch.chosen().is_none()), (number, true));
        }
    }
}
