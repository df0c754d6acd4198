//! Data that must survive the process, as rows of bytes. The caller stores them in the data folder.

use crate::ids::{Epoch, Id, Incarnation, Instance, Key, LocalId, Peer, Term, WitnessGroup};
use crate::record::{AttemptRecord, Record};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet};

/// The change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its key.
    pub key: Vec<u8>,
    /// The new value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// Writes data that must survive the process. Each call is atomic, and complete when it returns.
pub trait Ledger {
    /// Writes the changes. Returns whether they are written.
    fn write(&mut self, changes: &[Change]) -> bool;
    /// Returns the identifier under which this sender can take over a message: the client's, unless it is in
    /// use here.
    fn free_local_id(&self, id: Id) -> LocalId;
    /// Takes over a message that another sender had accepted, together with the changes. Returns whether that
    /// is written.
    fn adopt(&mut self, adopted: AdoptedMessage<'_>, changes: &[Change]) -> bool;
}

/// A message that another sender had accepted.
#[derive(Clone, Copy, Debug)]
pub struct AdoptedMessage<'a> {
    /// Its identifier here, as [`Ledger::free_local_id`] returned it.
    pub local_id: LocalId,
    /// The identifier that its client assigned.
    pub id: Id,
    /// Its record.
    pub record: &'a Record,
}

/// The kinds of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Row {
    /// The state of this sender: [`LocalState`].
    LocalState,
    /// The incarnations of a peer: [`Incarnations`].
    PeerIncarnations(Peer),
    /// The group of a message that this sender owns, if that is not this sender's current group:
    /// [`Placement`].
    Placement(LocalId),
    /// A copy that this sender stores.
    Copy(Key),
    /// A copy whose message may be acknowledged to its client.
    CopyAcknowledged(Key),
    /// A group for which this sender is a witness, and whether it is closed.
    WitnessGroup(WitnessGroup),
    /// A witness's entry of a message.
    WitnessEntry(Key),
}

/// The state of this sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LocalState {
    pub instance: Instance,
    pub epoch: Epoch,
    /// The witnesses that were asked to register the epoch, each with its incarnation at that time.
    pub registered: BTreeMap<Peer, Incarnation>,
    /// The witnesses of this epoch.
    pub witnesses: Vec<Peer>,
    /// The witnesses that have confirmed the registration.
    pub confirmed_by: BTreeSet<Peer>,
}

/// The known incarnations of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Incarnations {
    pub current: Incarnation,
    /// Earlier ones, the oldest first.
    pub retired: Vec<Incarnation>,
}

/// The group and term in which this sender owns a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Placement {
    pub group: WitnessGroup,
    pub term: Term,
}

/// Attempts as a witness and a replica report them.
pub(crate) type Attempts = Vec<AttemptRecord>;

fn encode(value: &impl Serialize) -> Vec<u8> {
    // Serializing plain data into memory cannot fail.
    postcard::to_allocvec(value).unwrap_or_default()
}

pub(crate) fn put_row(row: Row, value: &impl Serialize) -> Change {
    Change { key: encode(&row), value: Some(encode(value)) }
}

pub(crate) fn delete_row(row: Row) -> Change {
    Change { key: encode(&row), value: None }
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Decodes the row of a copy. Rows from before idempotency keys were stored end in front of the key, which is
/// empty for them.
pub(crate) fn decode_copy<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode(bytes).or_else(|| decode(&[bytes, &[0]].concat()))
}
