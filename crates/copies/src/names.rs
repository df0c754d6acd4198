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

/// Where a message was first taken on. Its witnesses follow from that for good. The epoch moves on when one
/// of them has lost its memory: what it forgot then concerns earlier epochs alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Home {
    /// Who took it on.
    pub holder: Holder,
    /// Counted from 0 in that life.
    pub epoch: u32,
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
