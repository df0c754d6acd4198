//! `notchpoint-rehearse`: plays scenarios.

use clap::{Parser, Subcommand};
use notchpoint_rehearsal::{checker, report, run, scenario, score};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// Rehearses what senders do when partners fail.
///
/// Real senders run in one process, in virtual time, among emulated partners, clients and discovery. A run is
/// a pure function of scenario and seed: the same two give the same event log to the byte.
#[derive(Debug, Parser)]
#[command(name = "notchpoint-rehearse", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a scenario, score it and check the rules
    ///
    /// Exit status: 0 all rules were kept; 1 one was broken; 2 the scenario could not be played; 3 a sender
    /// blocked.
    Run {
        /// The scenario, a TOML file
        file: PathBuf,
        /// Chance, in place of the scenario's own seed
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
        /// Write the event log here
        #[arg(long, value_name = "FILE")]
        log: Option<PathBuf>,
        /// Write a page with plots here
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Print JSON in place of text
        #[arg(long)]
        json: bool,
    },
    /// Read scenarios and say all that is wrong with them, by line and key
    ///
    /// Exit status: 0 all are sound; 2 one is not.
    Check {
        /// The scenarios
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run { file, seed, log, html, json } => {
            play(&file, seed, log.as_deref(), html.as_deref(), json)
        }
        Command::Check { files } => check(&files),
    };
    done.unwrap_or_else(|why| {
        eprintln!("{why}");
        ExitCode::from(2)
    })
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn play(
    file: &Path,
    seed: Option<u64>,
    log: Option<&Path>,
    html: Option<&Path>,
    json: bool,
) -> Result<ExitCode, String> {
    let scenario = Rc::new(scenario::read(file).map_err(|e| e.to_string())?);
    let seed = seed.unwrap_or(scenario.seed);
    let outcome = run(&scenario, seed, None)?;
    let breaches = checker::check(&outcome);
    let score = score::score(&outcome, breaches.len());
    if json {
        println!("{:#}", report::json(&outcome, &score, &breaches));
    } else {
        print!("{}", report::text(&outcome, &score, &breaches));
    }
    if let Some(path) = log {
        write(path, &outcome.log)?;
    }
    if let Some(path) = html {
        write(path, &report::html(&outcome, &score, &breaches)?)?;
    }
    Ok(ExitCode::from(u8::from(!breaches.is_empty())))
}

fn check(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut wrong = Vec::new();
    for file in files {
        match scenario::read(file) {
            Ok(s) => println!("{}: sound: {}", file.display(), s.about),
            Err(e) => wrong.push(e.to_string()),
        }
    }
    if wrong.is_empty() { Ok(ExitCode::SUCCESS) } else { Err(wrong.join("\n")) }
}
