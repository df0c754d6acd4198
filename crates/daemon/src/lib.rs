//! The sender as a library. The program `notchpoint` is a thin wrapper around it, and a rehearsal runs many
//! senders in one process. Its clock, disk, network and signals come through `notchpoint_seam`.

mod abort_on_drop;
mod calls;
pub mod cli;
mod clients;
mod copies;
mod decision_loop;
mod descriptor_limits;
pub mod endpoint_list;
mod handover;
mod holds;
mod http_options;
mod input;
mod io;
mod operations;
mod operators;
mod platform;
mod rate_limited_warning;
mod reasons;
mod retired_session;
pub mod sender;
pub mod settings;
mod startup;
mod state;
mod stdout;
