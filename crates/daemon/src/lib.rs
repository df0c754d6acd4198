//! The sender as a library: the program `notchpoint` is a thin shell round it, and a rehearsal runs many of
//! it in one process. What surrounds it comes through `notchpoint_seam`.

mod calls;
pub mod cli;
mod clients;
mod copies;
mod decision_loop;
pub mod endpoint_list;
mod handover;
mod input;
mod io;
mod operations;
mod operators;
mod platform;
mod rate_limited_warning;
mod reasons;
pub mod sender;
pub mod settings;
mod startup;
mod state;
mod stdout;
