//! An embedded key-value store for data that must survive the process: a segmented log, an index in memory,
//! incremental compaction, and a recovery that either restores a consistent state or refuses to open.
//!
//! Keys and values belong to a [`Table`]. Records that belong together are written as one [`Batch`], which is
//! recovered completely or not at all. `format` encodes and decodes the bytes, `index` keeps the place of
//! each value, `plan` decides when to start a segment, which writes to admit, and when and how fast to
//! compact, and `recover` interprets the bytes of a folder. None of these performs I/O: [`Store`] does, on a
//! [`Disk`](notchpoint_seam::Disk).
//!
//! Sizes are in bytes. `docs/design/store.md` describes the format byte by byte.
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
