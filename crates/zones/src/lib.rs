//! Whether a zone fails, as the senders of a fleet find together, and how far they leave it. No I/O and no
//! clock: [`Zones`] is told what calls came to and what other senders wrote, and says what to write to whom,
//! what it found, and what share of its calls each zone is to be sent.
//!
//! - `evidence`: what this sender saw of late, by zone and destination.
//! - `note`: what a sender writes to others, within one datagram: its own word and nobody else's.
//! - `pool`: the newest word of each sender. Merging is a join: in any order, doubled or late, the same words
//!   give the same pool.
//! - `judge`: what the pool says of each zone. No sender's word counts for more than a few calls, and one
//!   sender, one destination or one link is never enough.
//! - `course`: how far a zone is left, and what takes it further: the same machine at each sender, without
//!   time, so that it can be checked through all its states.
//! - `pace`: the steps of a return, and who tries.
//!
//! Moments are microseconds; the zero of each clock is the caller's, and no two clocks are compared.
#![warn(missing_docs)]

mod course;
mod evidence;
mod judge;
#[cfg(test)]
mod model;
mod names;
mod note;
mod pace;
mod pool;
mod zones;

pub use course::{Course, Look, Trial, Why, followed};
pub use evidence::{Came, WINDOW};
pub use judge::{Finding, Rules, Standing};
pub use names::{Dest, Micros, Place, Zone};
pub use note::{FORM, LONGEST, Report, Seen, Taken, read, write};
pub use pace::{Cold, Pace};
pub use pool::{Merged, Pool};
pub use zones::{Event, Output, Set, Stand, State, Zones};
