//! Partners that behave like partners. [`Partner`] is a destination with its endpoints: a model that is told
//! of calls and of time and says what is answered when. It does no I/O and has no clock; [`Ledger`] holds
//! what it saw and what took effect, for a checker that knows nothing of senders.
//!
//! Times are microseconds from the start of a run. All chance comes from the seed.
#![warn(missing_docs)]

pub mod ledger;
pub mod partner;
pub mod probe;
pub mod spec;

pub use ledger::{CallId, CallRecord, Effect, Ledger};
pub use partner::{Change, Completion, MessageResult, Partner, Reply};
pub use spec::{ColdStart, Faults, PartnerSpec, Service, Thrash};

/// A moment or a span, in microseconds.
pub type Micros = u64;
