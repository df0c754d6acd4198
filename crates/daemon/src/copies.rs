//! Copies of what this sender holds, at further senders: what `notchpoint_copies` decides is done here.

pub mod copying;
pub mod link;
pub mod rows;
