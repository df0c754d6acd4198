//! The sender as a library: the program `notchpoint` is a thin shell round it, and a rehearsal runs many of
//! it in one process. What surrounds it comes through `notchpoint_seam`.

mod calls;
pub mod cli;
mod clients;
mod copies;
mod input;
mod io;
pub mod listing;
mod node;
mod operations;
mod operators;
mod out;
mod platform;
mod rare_warning;
mod reasons;
pub mod sender;
pub mod settings;
mod startup;
mod state;
mod upgrade;
