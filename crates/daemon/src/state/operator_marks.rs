//! Marks that operators have set and not cleared. They are kept in the store and outlast the process.

use notchpoint_policy::EndpointId;
use notchpoint_store::{Batch, Table};
use std::collections::BTreeMap;

/// Holds the marks. A key is the kind of the mark, followed by the endpoint's id for a mark of an endpoint.
pub const OPERATOR_MARKS: Table = Table(2);
const STANDBY: u8 = b'S';
const OUT_OF_SERVICE: u8 = b'O';
/// Endpoints that may be out of service at once. An id that has left the list keeps its mark, so without a
/// limit the marks could pile up.
pub const MAX_OUT_OF_SERVICE: usize = 1_024;

/// The marks in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorMarks {
    /// The sender is drained: clients are directed to other senders.
    pub standby: bool,
    /// Endpoints taken out of service, with their ids as text.
    pub out_of_service: BTreeMap<EndpointId, String>,
}

/// A change of one mark. The flag is the new value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkChange {
    Standby(bool),
    OutOfService(EndpointId, String, bool),
}

impl OperatorMarks {
    /// Whether the change would have no effect.
    pub fn includes(&self, change: &MarkChange) -> bool {
        match change {
            MarkChange::Standby(wanted) => self.standby == *wanted,
            MarkChange::OutOfService(id, _, wanted) => self.out_of_service.contains_key(id) == *wanted,
        }
    }

    /// Applies a change in memory.
    pub fn apply(&mut self, change: MarkChange) {
        match change {
            MarkChange::Standby(wanted) => self.standby = wanted,
            MarkChange::OutOfService(id, name, true) => drop(self.out_of_service.insert(id, name)),
            MarkChange::OutOfService(id, _, false) => drop(self.out_of_service.remove(&id)),
        }
    }

    /// Applies a stored record. Returns `None` if the record cannot be read.
    pub fn load_record(&mut self, key: &[u8], value: &[u8]) -> Option<()> {
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

/// Returns the writes that store a change.
pub fn batch(change: &MarkChange) -> Batch {
    let mut batch = Batch::default();
    match change {
        MarkChange::Standby(true) => batch.put(OPERATOR_MARKS, &[STANDBY], &[]),
        MarkChange::Standby(false) => batch.delete(OPERATOR_MARKS, &[STANDBY]),
        MarkChange::OutOfService(id, name, true) => {
            batch.put(OPERATOR_MARKS, &out_of_service_key(name), &id.0.to_le_bytes())
        }
        MarkChange::OutOfService(_, name, false) => batch.delete(OPERATOR_MARKS, &out_of_service_key(name)),
    }
    batch
}

fn out_of_service_key(name: &str) -> Vec<u8> {
    [&[OUT_OF_SERVICE], name.as_bytes()].concat()
}
