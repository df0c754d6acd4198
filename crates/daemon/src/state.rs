//! What outlasts the process: messages, marks, and when they are safe.

pub mod durability;
pub mod journal;
pub mod legacy;
pub mod operator_marks;
pub mod pending_writes;
pub mod record;
pub mod storage;
pub mod timeline;
