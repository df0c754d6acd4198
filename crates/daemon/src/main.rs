//! `notchpoint`: without arguments one real sender, the decision module on real sockets; its subcommands look
//! at recordings of such senders.

use clap::Parser;
use notchpoint::cli::{Cli, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    run(Cli::parse())
}
