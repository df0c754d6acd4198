//! What operators have set and not taken back: kept in the store, so that it outlasts the process.

use notchpoint_policy::EndpointId;
use notchpoint_store::{Batch, Table};
use std::collections::BTreeMap;

/// Keys are what a mark is, and of an endpoint its id.
pub const DUTY: Table = Table(2);
const STANDBY: u8 = b'S';
const OUT: u8 = b'O';
/// Endpoints out at once. An id that has left the list keeps its mark, so they could add up.
pub const MOST_OUT: usize = 1_024;

/// The marks in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Duty {
    /// Drained: clients are sent elsewhere.
    pub standby: bool,
    /// Endpoints taken out, with their ids.
    pub out: BTreeMap<EndpointId, String>,
}

/// A change of one mark.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Standby(bool),
    Out(EndpointId, String, bool),
}

impl Duty {
    /// Whether the change would leave all as it is.
    pub fn has(&self, change: &Change) -> bool {
        match change {
            Change::Standby(wanted) => self.standby == *wanted,
            Change::Out(id, _, wanted) => self.out.contains_key(id) == *wanted,
        }
    }

    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Standby(wanted) => self.standby = wanted,
            Change::Out(id, name, true) => drop(self.out.insert(id, name)),
            Change::Out(id, _, false) => drop(self.out.remove(&id)),
        }
    }

    /// Enters a record in force; nothing where it cannot be read.
    pub fn read(&mut self, key: &[u8], value: &[u8]) -> Option<()> {
        match key {
            [STANDBY] => self.standby = true,
            [OUT, name @ ..] => {
                let id = EndpointId(u64::from_le_bytes(value.try_into().ok()?));
                self.out.insert(id, std::str::from_utf8(name).ok()?.to_owned());
            }
            _ => return None,
        }
        Some(())
    }
}

/// What a change writes.
pub fn batch(change: &Change) -> Batch {
    let mut batch = Batch::default();
    match change {
        Change::Standby(true) => batch.put(DUTY, &[STANDBY], &[]),
        Change::Standby(false) => batch.delete(DUTY, &[STANDBY]),
        Change::Out(id, name, true) => batch.put(DUTY, &out_key(name), &id.0.to_le_bytes()),
        Change::Out(_, name, false) => batch.delete(DUTY, &out_key(name)),
    }
    batch
}

fn out_key(name: &str) -> Vec<u8> {
    [&[OUT], name.as_bytes()].concat()
}
