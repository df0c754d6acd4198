//! What operators have set and not taken back: kept in the store, so that it outlasts the process.

use notchpoint_policy::EndpointId;
use notchpoint_store::{Batch, Table};
use std::collections::BTreeMap;

/// Keys are what a mark is, and of an endpoint its id.
pub const OPERATOR_MARKS: Table = Table(2);
const STANDBY: u8 = b'S';
const OUT_OF_SERVICE: u8 = b'O';
/// Endpoints out at once. An id that has left the list keeps its mark, so they could add up.
pub const MAX_OUT_OF_SERVICE: usize = 1_024;

/// The marks in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorMarks {
    /// Drained: clients are sent elsewhere.
    pub standby: bool,
    /// Endpoints taken out, with their ids.
    pub out_of_service: BTreeMap<EndpointId, String>,
}

/// A change of one mark.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkChange {
    Standby(bool),
    OutOfService(EndpointId, String, bool),
}

impl OperatorMarks {
    /// Whether the change would leave all as it is.
    pub fn has(&self, change: &MarkChange) -> bool {
        match change {
            MarkChange::Standby(wanted) => self.standby == *wanted,
            MarkChange::OutOfService(id, _, wanted) => self.out_of_service.contains_key(id) == *wanted,
        }
    }

    pub fn apply(&mut self, change: MarkChange) {
        match change {
            MarkChange::Standby(wanted) => self.standby = wanted,
            MarkChange::OutOfService(id, name, true) => drop(self.out_of_service.insert(id, name)),
            MarkChange::OutOfService(id, _, false) => drop(self.out_of_service.remove(&id)),
        }
    }

    /// Enters a record in force; nothing where it cannot be read.
    pub fn read(&mut self, key: &[u8], value: &[u8]) -> Option<()> {
        match key {
            [STANDBY] => self.standby = true,
            [OUT_OF_SERVICE, name @ ..] => {
                let id = EndpointId(u64::from_le_bytes(value.try_into().ok()?));
                self.out_of_service.insert(id, std::str::from_utf8(name).ok()?.to_owned());
            }
            _ => return None,
        }
        Some(())
    }
}

/// What a change writes.
pub fn batch(change: &MarkChange) -> Batch {
    let mut batch = Batch::default();
    match change {
        MarkChange::Standby(true) => batch.put(OPERATOR_MARKS, &[STANDBY], &[]),
        MarkChange::Standby(false) => batch.delete(OPERATOR_MARKS, &[STANDBY]),
        MarkChange::OutOfService(id, name, true) => {
            batch.put(OPERATOR_MARKS, &out_key(name), &id.0.to_le_bytes())
        }
        MarkChange::OutOfService(_, name, false) => batch.delete(OPERATOR_MARKS, &out_key(name)),
    }
    batch
}

fn out_key(name: &str) -> Vec<u8> {
    [&[OUT_OF_SERVICE], name.as_bytes()].concat()
}
