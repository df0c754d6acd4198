//! Whether a zone fails, as the senders of a fleet find together. No I/O and no clock: [`Zones`] is told what
//! calls came to and what other senders wrote, and says what to write to whom, and what it found.
//!
//! - `evidence`: what this sender saw of late, by zone and destination.
//! - `note`: what senders write to one another, within one datagram.
//! - `pool`: the newest word of each sender. Merging is a join: in any order, doubled or late, the same words
//!   give the same pool.
//! - `judge`: what the pool says of each zone. No sender's word counts for more than a few calls, and one
//!   sender, one destination or one link is never enough.
//!
//! Moments are microseconds; the zero of each clock is the caller's, and no two clocks are compared: what is
//! written carries its age.
#![warn(missing_docs)]

mod evidence;
mod judge;
mod names;
mod note;
mod pool;
mod zones;

pub use evidence::{Came, WINDOW};
pub use judge::{Finding, Rules, Standing};
pub use names::{Dest, Micros, Peer, Zone};
pub use note::{FORM, LONGEST, Note, Report, Seen, read, write};
pub use pool::{Merged, Pool};
pub use zones::{Event, Output, Set, Stand, Zones};
