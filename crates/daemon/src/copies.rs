//! Replication of the messages that this sender holds: carries out what `notchpoint_copies` decides.

pub mod link;
pub mod rows;
pub mod service;
