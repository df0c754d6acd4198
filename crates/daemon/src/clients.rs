//! Where clients come in: connections, their places, and whether the door is open.

pub mod door;
pub mod inbound;
pub mod queue;
pub mod requests;
pub mod seats;
