//! Runs many real processes of the sender on loopback with overlapping faults that are drawn from a seed. It
//! checks rules on what clients, endpoints and the list service observe, without access to the processes
//! themselves.
#![warn(missing_docs)]

mod client;
mod configuration;
mod http;
mod idle_clients;
mod note_network;
pub mod observations;
mod partners;
pub mod plan;
mod process;
mod run;
mod sender;
mod topology;
mod wake_delay;

pub use run::{Counts, RunResult, run};
