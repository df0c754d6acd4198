//! Rehearsals run real senders against emulated partners, clients and an emulated platform, in virtual time
//! or on loopback sockets. Runs are scored by delivered worth and checked against the rules, using only
//! observations made outside the senders.
//!
//! `scenario.rs` parses scenarios, `run.rs` runs them, `checker.rs` and `score.rs` evaluate the result, and
//! `report.rs` formats it. `virt/` implements the environment in memory, `live.rs` the one on loopback
//! sockets.
#![warn(missing_docs)]

pub mod arrivals;
pub mod checker;
pub mod client;
pub mod compare;
pub mod config;
pub mod demo;
pub mod endpoint;
pub mod explain;
pub mod fidelity;
pub mod hosts;
pub mod hunt;
pub mod live;
pub mod observations;
pub mod platform;
pub mod report;
pub mod run;
pub mod scenario;
pub mod score;
pub mod virt;
pub mod windows;
pub mod wire;

pub use hosts::Options;
pub use run::{RunResult, run};
pub use scenario::Scenario;
