//! How one process takes over from another.

pub mod handover;
pub mod passage;
pub mod successor;
