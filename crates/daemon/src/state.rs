//! State that outlasts the process: messages, operators' marks, and when they are durable.

pub mod durability;
pub mod journal;
pub mod legacy;
pub mod operator_marks;
pub mod pending_writes;
pub mod record;
pub mod storage;
pub mod timeline;
