//! Whether a zone fails, as the senders of a fleet find together, and how far they leave it. No I/O and no
//! clock: [`ZoneStateMachine`] is told what calls came to and what other senders wrote, and says what
//! to write to whom, what it found, and what share of its calls each zone is to be sent.
//!
//! - `evidence`: what this sender saw of late, by zone and destination.
//! - `note`: what a sender writes to others, within one datagram: its own word and nobody else's.
//! - `pool`: the newest word of each sender. Merging is a join: in any order, doubled or late, the same words
//!   give the same pool.
//! - `assess`: what the pool says of each zone. No sender's word counts for more than a few calls, and one
//!   sender, one destination or one link is never enough.
//! - `evacuation`: how far a zone is left, and what takes it further: the same machine at each sender,
//!   without time, so that it can be checked through all its states.
//! - `return_schedule`: the steps of a return, and who tries.
//!
//! Moments are microseconds; the zero of each clock is the caller's, and no two clocks are compared.
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
