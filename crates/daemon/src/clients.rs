//! The client side: connections, their slots, and admission of requests.

pub mod accept_queue;
pub mod admission;
pub mod connection_table;
pub mod inbound;
pub mod request_counter;
