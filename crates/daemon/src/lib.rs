//! The sender as a library: the program `notchpoint` is a thin shell round it, and a rehearsal runs many of
//! it in one process. What surrounds it comes through `notchpoint_seam`.

mod admin;
mod calls;
mod check;
mod classes;
pub mod cli;
pub mod config;
mod discovery;
mod door;
mod duty;
mod flight;
mod handover;
mod inbound;
mod input;
mod io;
mod journal;
mod legacy;
pub mod listing;
mod node;
mod notices;
mod operations;
pub mod operator;
mod out;
mod passage;
mod peers;
mod queue;
mod record;
mod reports;
mod safety;
mod seats;
pub mod sender;
mod storage;
mod successor;
mod terms;
