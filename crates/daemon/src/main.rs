//! The program `notchpoint`. Without a subcommand it runs one sender on real sockets; its subcommands examine
//! recordings, settings and the store of such senders.

use clap::Parser;
use notchpoint::cli::{Cli, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    run(Cli::parse())
}
