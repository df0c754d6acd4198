//! What things are called.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// A sender, by its number in the fleet: the platform gives the same number to the address that its notes
/// come from, so nobody can write in another's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub u32);

/// A zone, by its name; short, since notes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub u32);

/// A destination; short, since notes are. Two that share a number count as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DestinationHash(pub u32);

impl ZoneId {
    /// The zone of this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

impl DestinationHash {
    /// The destination of this number.
    pub fn from_number(number: u64) -> Self {
        Self(xxh3_64(&number.to_le_bytes()) as u32)
    }
}
