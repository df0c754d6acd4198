//! How one process takes over from another.

pub mod protocol;
pub mod successor;
pub mod transport;
