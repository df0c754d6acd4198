//! Replication of the messages that a sender holds: which other senders store copies of a message, which
//! sender owns it, which attempts may be made, and which sender takes it over when its owner fails. There is
//! no I/O and no clock here: [`Replicator`] is given events with their time, returns what is to be sent, and
//! writes through a [`Ledger`].
//!
//! - [`Membership`]: the senders of the installation, and which of them store copies and witness for which
//!   (rendezvous hashing, other zones first).
//! - `owned`: messages that this sender owns: their replicas, and the consents to their attempts.
//! - `copy_store`: copies of messages that other senders own, and claims on them.
//! - `witness`: records attempts and claims, so that intersecting quorums of senders agree on them.
//! - `failure_detector`: decides when a sender is suspected to have failed. A suspicion decides only when
//!   something is tried, above all when claims are made and granted: safety does not depend on it.
//!
//! Safety rests on two quorums among the witnesses of a message's group. An attempt of the first owner is
//! recorded by [`Membership::attempt_quorum`] of them, a claim by [`Membership::claim_quorum`], and any two
//! such sets have a member in common. That member refuses the old owner, or reports the attempt to the new
//! one. `docs/design/copies.md` has the whole argument.
//!
//! Times are in microseconds; the caller chooses the zero of each clock.
#![warn(missing_docs)]

mod copy_store;
mod describe;
mod failure_detector;
mod frame;
mod ids;
mod ledger;
mod membership;
#[cfg(test)]
mod model;
mod owned;
mod record;
mod replicator;
mod witness;

pub use describe::describe_row;
pub use frame::{Frame, FrameError, HELLO_LEN, Hello, MAX_FRAME_LEN, VERSION, read_frame, write_frame};
pub use ids::{Epoch, FIRST_TERM, Id, Incarnation, Instance, Key, LocalId, Micros, Peer, Term, WitnessGroup};
pub use ledger::{AdoptedMessage, Change, Ledger};
pub use membership::{Membership, MembershipError, REPLICA_CANDIDATES, Sender};
pub use record::{AttemptRecord, CLOSING_ATTEMPT, Record, Verdict};
pub use replicator::{Event, Input, Output, Redundancy, Replicator, Settings, Timestamps};
pub use witness::{DEFAULT_WITNESS_ENTRIES, Rejection};
