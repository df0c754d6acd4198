//! A small embedded store for what must outlast a process: a segmented log, an index in memory, compaction
//! beside the traffic, and recovery that restores a consistent state or refuses to start, and never guesses.
//!
//! It holds keys and values by [`Table`]. What belongs together is written as one [`Batch`], which is there
//! whole or not at all. `format` is the bytes, `index` what is where, `plan` what is decided (when to roll,
//! what is admitted, when and how fast to compact), `recover` what a folder's bytes mean; none of these does
//! I/O. [`Store`] is the shell that carries out what they say on a [`Disk`](notchpoint_seam::Disk).
//!
//! Sizes are bytes. The format stands byte by byte in `docs/design/store.md`.
#![warn(missing_docs)]

mod checkpoint;
mod compact;
mod error;
pub mod format;
mod index;
pub mod inspect;
pub mod plan;
mod recover;
mod store;

pub use error::{Corruption, Error};
pub use format::{Batch, Table};
pub use plan::{Durability, Options, WriteKind};
pub use recover::RecoveryReport;
pub use store::{LogPosition, PendingSync, Stats, Store};
