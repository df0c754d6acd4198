//! Zone failure detection by the senders of a fleet, and evacuation of a failing zone. The crate has no I/O
//! and reads no clock: the caller reports to [`ZoneStateMachine`] how calls ended and which notes other
//! senders sent, and the state machine returns the notes to send, the health that it found for each zone, and
//! the share of its traffic that each zone is to receive.
//!
//! - `evidence`: how this sender's recent calls ended, by zone and destination.
//! - `note`: the note that a sender sends to others, within one datagram. It holds the sender's own
//!   observations only.
//! - `pool`: the newest report of each sender. Merging is a join: the same reports in any order, duplicated
//!   or late, give the same pool.
//! - `assess`: the health of each zone, as the pooled reports show it. One sender's calls have a bounded
//!   weight, and one sender, one destination or one link is never enough to find a zone failing.
//! - `evacuation`: how far a zone is evacuated, and the transitions between these states. Each sender runs
//!   the same state machine; it has no notion of time, so that a model checker can explore all its states.
//! - `return_schedule`: the steps of a return to a zone, and which senders send probes.
//! - `state_machine`: [`ZoneStateMachine`], which brings these together.
//!
//! Points in time are in microseconds. The caller chooses the origin of its clock, and the times of two
//! clocks are never compared.
#![warn(missing_docs)]

mod assess;
mod evacuation;
mod evidence;
mod ids;
#[cfg(test)]
mod model;
mod note;
mod pool;
mod return_schedule;
mod state_machine;

pub use assess::{FailureThresholds, Finding, Health};
pub use evacuation::{DecisionInput, EvacuationState, ProbeResult, TransitionReason, quorum_len};
pub use evidence::{CallResult, EVIDENCE_WINDOW};
pub use ids::{DestinationHash, Micros, SenderId, ZoneId};
pub use note::{MAX_NOTE_BYTES, NOTE_FORMAT, Observation, Report, ZoneEvacuation, decode, encode};
pub use pool::{MergeResult, ReportPool};
pub use return_schedule::{ColdStart, ReturnSchedule};
pub use state_machine::{Event, Output, ZonePhase, ZoneStateMachine, ZoneStatus, ZonesConfig};
