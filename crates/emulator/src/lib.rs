//! Emulated partners. [`Partner`] models a destination with its endpoints: it is given calls and the current
//! time, and returns replies when they are due. It does no I/O and has no clock. [`Ledger`] records the calls
//! that a partner received and the messages that took effect, for a checker that is independent of the
//! senders.
//!
//! Times are microseconds since the start of a run. All random numbers are drawn from the seed.
#![warn(missing_docs)]

pub mod ledger;
pub mod partner;
pub mod probe;
pub mod spec;

pub use ledger::{CallId, CallRecord, Effect, Ledger};
pub use partner::{Change, Completion, MessageResult, Partner, Reply};
pub use spec::{ColdStart, Faults, PartnerSpec, Service, Thrash};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
