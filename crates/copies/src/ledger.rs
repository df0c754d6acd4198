//! What has to outlast the process, as rows of bytes. Whoever owns the folder keeps them.

use crate::names::{Epoch, Holder, Home, Id, Key, Peer, Reign, Term};
use crate::record::{Record, Tried};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet};

/// A row that is written, or goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its key.
    pub key: Vec<u8>,
    /// What stands there from now on; nothing where it goes.
    pub value: Option<Vec<u8>>,
}

/// Writes what must outlast the process. Each call is carried out whole or not at all, and is done when it
/// returns.
pub trait Ledger {
    /// Whether the changes are written.
    fn write(&mut self, changes: &[Change]) -> bool;
    /// Takes a message on that another sender had promised, together with the changes. Whether that is
    /// written.
    fn adopt(&mut self, id: Id, record: &Record, changes: &[Change]) -> bool;
}

/// What kinds of rows there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Row {
    /// This sender's life: [`Me`].
    Me,
    /// Lives of a peer: [`Lives`].
    Peer(Peer),
    /// A message of one's own that is not at home here, or of an earlier epoch: [`Place`].
    Own(Id),
    /// A copy, as the keeper has it.
    Copy(Key),
    /// A copy's message was promised.
    Sure(Key),
    /// A home that this sender witnesses for: whether it is closed.
    Home(Home),
    /// What a witness knows of a message.
    Seat(Key),
}

/// This sender's life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Me {
    pub holder: Holder,
    pub epoch: Epoch,
    /// Where the epoch was made known, and to which life of each.
    pub registered: BTreeMap<Peer, Reign>,
    /// Who the witnesses are in this epoch.
    pub witnesses: Vec<Peer>,
    /// Who has said that it witnesses for the epoch.
    pub known: BTreeSet<Peer>,
}

/// What is known of a peer's lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Lives {
    pub current: Reign,
    /// Those before it, oldest first.
    pub retired: Vec<Reign>,
}

/// Where a message of one's own is at home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Place {
    pub home: Home,
    pub term: Term,
}

/// What a witness and a keeper tell of attempts.
pub(crate) type Attempts = Vec<Tried>;

fn bytes(what: &impl Serialize) -> Vec<u8> {
    // Plain data into memory: there is nothing that could fail.
    postcard::to_allocvec(what).unwrap_or_default()
}

pub(crate) fn put(row: Row, value: &impl Serialize) -> Change {
    Change { key: bytes(&row), value: Some(bytes(value)) }
}

pub(crate) fn gone(row: Row) -> Change {
    Change { key: bytes(&row), value: None }
}

pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// A copy's row, which before idempotency keys were kept ended where they stand: an empty one is meant.
pub(crate) fn read_copy<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    read(bytes).or_else(|| read(&[bytes, &[0]].concat()))
}
