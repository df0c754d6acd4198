//! The flight recorder of a sender.
//!
//! The decision module is deterministic: its actions follow from its state, the clock and the events of a
//! turn. A recording holds exactly these, so each decision can be replayed bit for bit and explained. It
//! never contains the bodies of messages.
//!
//! - [`mod@format`]: encodes a recording, and decodes it up to the first damaged record of each segment.
//! - [`ring`]: decides which segment bytes go to and which segments to remove, so that the size is bounded.
//! - [`store`]: stores segments in memory or in a folder.
//! - [`recorder`]: records each turn of a sender.
//! - [`mod@replay`]: repeats the recorded decisions and finds the first that differs.
//! - [`explain`]: reports which guard held each message, for how long, and which events began and ended it.
//! - [`fleet`]: counts what all senders of a fleet did, by second and destination.
//! - [`text`]: formats an explanation as text.
//! - [`plot`]: draws a destination's window, calls and held messages over time as SVG.
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
