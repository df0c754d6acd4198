//! Identifiers and time units that the whole crate uses.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A sender, identified by its number in the fleet. The platform maps the source address of a note to this
/// number, so a sender cannot write a note in another sender's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub u32);

/// A zone, identified by a 32-bit hash of its name so that notes stay short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub u32);

/// A destination, identified by a 32-bit hash of its number so that notes stay short. Two destinations with
/// the same hash count as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DestinationHash(pub u32);

impl ZoneId {
    /// Returns the identifier of the zone with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

impl DestinationHash {
    /// Returns the hash of the destination with this number.
    pub fn from_number(number: u64) -> Self {
        Self(xxh3_64(&number.to_le_bytes()) as u32)
    }
}
