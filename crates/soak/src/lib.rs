//! Runs many real processes of the sender on loopback, with overlapping faults drawn from a seed, and judges
//! them from outside: by what clients, endpoints and the list service saw.
#![warn(missing_docs)]

pub mod book;
mod client;
mod configuration;
mod crowd;
mod http;
mod lag;
mod notes;
mod partners;
pub mod plan;
mod process;
mod run;
mod sender;
mod topology;

pub use run::{Counts, RunReport, run};
