//! The flight recorder of a sender.
//!
//! The decision module is pure: from its state, the clock and the events of a turn follow its actions. A
//! recording holds exactly these, so that each decision can be made again, bit for bit, and asked for its
//! reason. Bodies of messages never enter it.
//!
//! - [`mod@format`]: how a recording is written as bytes, and read as far as it is whole.
//! - [`ring`]: which segment bytes go to, and which one gives way, so that the whole has a bound.
//! - [`store`]: where segments lie: in memory or in a folder.
//! - [`recorder`]: what the sender calls once a turn.
//! - [`mod@replay`]: makes the decisions again and finds the first that differs.
//! - [`explain`]: which guard kept each message, from when to when, and what began and ended it.
//! - [`fleet`]: what all senders of a fleet did together, by second and destination.
//! - [`text`]: an explanation for people.
//! - [`plot`]: a destination's window, calls and waits over time, as SVG.
#![warn(missing_docs)]

pub mod explain;
pub mod fleet;
pub mod format;
pub mod plot;
pub mod recorder;
pub mod replay;
pub mod ring;
pub mod store;
pub mod text;

pub use format::{Damage, Recording};
pub use recorder::{Options, Recorder};
pub use replay::{ReplayReport, replay};
