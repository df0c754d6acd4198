//! Where clients come in: connections, their places, and whether the door is open.

pub mod accept_queue;
pub mod admission;
pub mod connection_table;
pub mod inbound;
pub mod request_counter;
