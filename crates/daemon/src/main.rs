//! `notchpoint`: without arguments one real sender, the decision module on real sockets; its subcommands look
//! at recordings of such senders.

mod calls;
mod cli;
mod config;
mod discovery;
mod flight;
mod inbound;
mod input;
mod io;
mod journal;
mod listing;
mod node;
mod notices;
mod operator;
mod peers;
mod reports;
mod sender;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(cli::Cli::parse())
}
