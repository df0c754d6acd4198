//! What outlasts the process: messages, marks, and when they are safe.

pub mod debts;
pub mod duty;
pub mod journal;
pub mod legacy;
pub mod record;
pub mod safety;
pub mod storage;
pub mod timeline;
