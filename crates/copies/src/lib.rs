//! Copies of what a sender holds, at further senders: who keeps what, who owns a message, what may be
//! attempted, and who goes on with it once its owner is gone. No I/O and no clock: [`Copies`] is told what
//! happened and when, says what to send, and writes through a [`Ledger`].
//!
//! - [`View`]: the senders there are, and who stands where for whom (rendezvous hashes, other zones first).
//! - `owner`: what this sender holds itself: its keepers, and the consents to its attempts.
//! - `keeper`: copies of what others hold, and the claims on them.
//! - `witness`: who may attempt what, agreed on by sets of senders that always meet.
//! - `silence`: when somebody counts as gone. That decides when something is tried, and nothing else.
//!
//! Safety rests on two counts. Of the witnesses of a message's home, an attempt by its first owner is
//! recorded by so many, and a claim by so many others, that they have a member in common
//! ([`View::consents`], [`View::grants`]). That member refuses the old owner, or shows the attempt to the
//! new one. `docs/design/copies.md` has the whole argument.
//!
//! Moments are microseconds; the zero of each clock is the caller's.
#![warn(missing_docs)]

mod copies;
mod frame;
mod keeper;
mod ledger;
#[cfg(test)]
mod model;
mod names;
mod owner;
mod record;
mod shown;
mod silence;
mod view;
mod witness;

pub use copies::{At, Copies, Event, Input, Output, Set, Stake};
pub use frame::{Bad, Frame, HELLO, Hello, LONGEST, VERSION, read, write};
pub use ledger::{Change, Ledger};
pub use names::{Epoch, FIRST, Holder, Home, Id, Key, Micros, Peer, Reign, Term};
pub use record::{CLOSED, Record, Tried, Verdict};
pub use shown::shown;
pub use view::{PARTNERS, Sender, View, Wrong};
pub use witness::{SEATS, Why};
