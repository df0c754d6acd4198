//! Hand-over of one sender from a running process to its successor.

pub mod protocol;
pub mod successor;
pub mod transport;
