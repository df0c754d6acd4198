//! The command line.

use crate::sender::{self, Failure};
use crate::settings::descriptors::{DescriptorBudget, SharedDescriptors};
use crate::settings::operator::{self, LogFormat, LogSettings};
use crate::state::storage;
use crate::stdout::print;
use clap::{Parser, Subcommand};
use notchpoint_policy::{DestinationId, FINGERPRINT, MessageId, Micros};
use notchpoint_recorder::explain::{Explainer, Query};
use notchpoint_recorder::fleet::FleetCounts;
use notchpoint_recorder::replay::{NoObserver, ReplayObserver, ReplayReport};
use notchpoint_recorder::{Recording, plot, replay, store, text};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A sender: accepts messages from clients, delivers each or gives it up, and answers each exactly once.
///
/// Without a subcommand it runs the sender in the foreground. The environment variables BALANCER_CONFIG (a
/// JSON file) and BALANCER_STATE (a folder that outlasts the process) configure it.
#[derive(Debug, Parser)]
#[command(name = "notchpoint", version)]
pub struct Cli {
    /// The operator's settings file [default: NOTCHPOINT_OPERATOR; without a file its features are off]
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Repeat the recorded decisions and check that each is identical to the recorded one, bit for bit
    ///
    /// Exit status: 0 all are identical; 1 they differ, and the first difference is printed; 2 nothing could
    /// be read.
    Replay {
        /// A recording: a dump, or the folder that the recorder writes to
        file: PathBuf,
    },
    /// Show which guard kept messages from being sent, from when to when, and why
    ///
    /// Times are seconds since the first record of a process. Exit status as for replay.
    Explain {
        /// A recording: a dump, or the folder that the recorder writes to
        file: PathBuf,
        /// One message, by its X-Request-ID
        #[arg(long, value_name = "ID", value_parser = parse_id)]
        message: Option<MessageId>,
        /// One destination, by its number, with its window over time
        #[arg(long, value_name = "N")]
        dest: Option<u64>,
        /// Only what was in force from this second on
        #[arg(long, value_name = "T", value_parser = parse_seconds)]
        from: Option<Micros>,
        /// Only what was in force up to this second
        #[arg(long, value_name = "T", value_parser = parse_seconds)]
        to: Option<Micros>,
        /// Write JSON, one object for each process
        #[arg(long)]
        json: bool,
        /// Draw the destination's window, calls and waits into this file (requires --dest)
        #[arg(long, value_name = "FILE", requires = "dest")]
        svg: Option<PathBuf>,
    },
    /// Count what all senders of a fleet did together, by second and destination
    ///
    /// A file that is truncated or not a recording is reported with the position, and the rest is still read.
    /// Exit status: 0; 1 not all of the files could be read; 2 none could be read.
    Fleet {
        /// Recordings, one per sender: dumps, or the folders that the recorder writes to
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// One destination, by its number
        #[arg(long, value_name = "N")]
        dest: Option<u64>,
    },
    /// Check a settings file and report all mistakes in it
    ///
    /// For the operator's file it shows what the file switches on; for a configuration (a name that ends in
    /// .json) every mistake, by key. Exit status: 0 the file is valid; 2 it is not, or cannot be read.
    Check {
        /// The operator's file (TOML), or a configuration (JSON)
        file: PathBuf,
    },
    /// Examine the folder that outlasts a sender, or save what can be read of it
    Store {
        #[command(subcommand)]
        what: storage::Command,
    },
}

fn parse_id(text: &str) -> Result<MessageId, String> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
    id.map(MessageId).ok_or_else(|| "an id consists of 16 hex digits".to_owned())
}

fn parse_seconds(text: &str) -> Result<Micros, String> {
    let seconds: f64 = text.parse().map_err(|_| "not a number of seconds, such as 12.5".to_owned())?;
    let is_valid = (0.0..1e9).contains(&seconds);
    is_valid
        .then_some((seconds * 1e6) as Micros)
        .ok_or_else(|| "the number of seconds is negative or too large".to_owned())
}

/// Runs the command that the command line names.
pub fn run(cli: Cli) -> ExitCode {
    let result = match cli.command {
        None => serve(cli.operator),
        Some(Command::Replay { file }) => replay_command(&file),
        Some(Command::Store { what }) => storage::run(what),
        Some(Command::Explain { file, message, dest, from, to, json, svg }) => {
            let query = Query { message, dest: dest.map(DestinationId), from, to };
            explain_command(&file, query, json, svg.as_deref())
        }
        Some(Command::Fleet { files, dest }) => fleet_command(&files, dest.map(DestinationId)),
        Some(Command::Check { file }) if file.extension().is_some_and(|e| e == "json") => check_config(&file),
        Some(Command::Check { file }) => operator::read(&file).map_err(Failure::from).and_then(|o| {
            print(&format!("{0}: {1}\n{0}: {2}\n{0}: {3}\n", file.display(), o.recorder, o.store, o.zones))?;
            check_copies(&file, &o)?;
            Ok(ExitCode::SUCCESS)
        }),
    };
    result.unwrap_or_else(|why| {
        eprintln!("notchpoint: {why}");
        ExitCode::from(2)
    })
}

/// Checks and prints the section about copies. Whether it lists this sender itself can only be checked where
/// BALANCER_CONFIG names the configuration.
fn check_copies(file: &Path, operator: &operator::OperatorSettings) -> Result<(), Failure> {
    let Some(copies) = &operator.copies else {
        return Ok(print(&format!("{}: copies off\n", file.display()))?);
    };
    let config = std::env::var_os("BALANCER_CONFIG").and_then(|c| std::fs::read_to_string(c).ok());
    let name = config.and_then(|text| crate::settings::config::read(&text).ok()).map(|c| c.name);
    let mistakes = copies.find_errors(name.as_deref());
    if !mistakes.is_empty() {
        let lines: Vec<String> = mistakes.iter().map(|m| format!("{}: {m}", file.display())).collect();
        return Err(lines.join("\n").into());
    }
    print(&format!("{}: {copies}\n", file.display()))?;
    for warning in copies.find_warnings() {
        print(&format!("{}: {warning}\n", file.display()))?;
    }
    Ok(())
}

fn check_config(file: &Path) -> Result<ExitCode, Failure> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let mistakes = crate::settings::check::find_errors(&text);
    if mistakes.is_empty() {
        print(&format!("{name}: valid\n"))?;
        let config = crate::settings::config::read(&text)?;
        let descriptors = DescriptorBudget::new(&config);
        print(&format!("{name}: {}\n", descriptors.describe(&config)))?;
        if let Some(warning) = descriptors.warning(&config) {
            print(&format!("{name}: warning: {warning}\n"))?;
        }
        let shared = SharedDescriptors::new(&config, true);
        print(&format!("{name}: {}\n", shared.describe()))?;
        if let Some(warning) = shared.warning() {
            print(&format!("{name}: warning: {warning}\n"))?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let lines: Vec<String> = mistakes.iter().map(|m| format!("{name}: {m}")).collect();
    Err(lines.join("\n").into())
}

fn serve(file: Option<PathBuf>) -> Result<ExitCode, Failure> {
    let file = file.or_else(|| std::env::var_os("NOTCHPOINT_OPERATOR").map(PathBuf::from));
    let operator = file.map_or(Ok(operator::OperatorSettings::default()), |f| operator::read(&f))?;
    init_logging(operator.log);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    runtime.block_on(
        local.run_until(async { sender::run(sender::environment_from_variables()?, operator).await }),
    )?;
    Ok(ExitCode::SUCCESS)
}

/// Starts logging to standard output, one line per event.
fn init_logging(settings: LogSettings) {
    let level = if settings.detail { tracing::Level::DEBUG } else { tracing::Level::INFO };
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_target(false).with_max_level(level);
    match settings.format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}

fn load(file: &Path) -> Result<Vec<u8>, Failure> {
    let bytes = store::load(file).map_err(|e| format!("{}: {e}", file.display()))?;
    if bytes.is_empty() {
        return Err(format!("{}: the recording is empty", file.display()).into());
    }
    Ok(bytes)
}

/// Replays a recording and reports on standard error what limits the result.
fn replay_file(
    file: &Path,
    bytes: &[u8],
    observer: &mut dyn ReplayObserver,
) -> Result<ReplayReport, Failure> {
    let recording = Recording::read(bytes);
    let report = replay(&recording, observer);
    for damage in &report.damage {
        eprintln!("{}: {damage}", file.display());
    }
    for (run, segment, why) in &report.skipped {
        eprintln!("{}: segment {segment} of process {run} was not replayed: {why}", file.display());
    }
    for other in &report.other_builds {
        eprintln!(
            "{}: recorded by another version of the policy ({other:016x}; this build has \
             {FINGERPRINT:016x})",
            file.display()
        );
    }
    if let Some((run, segment)) = report.state_differs {
        eprintln!(
            "{}: process {run}: the state at segment {segment} differs from the recorded one",
            file.display()
        );
    }
    if report.segments == 0 {
        return Err(format!("{}: no segment could be replayed", file.display()).into());
    }
    Ok(report)
}

fn fleet_command(files: &[PathBuf], dest: Option<DestinationId>) -> Result<ExitCode, Failure> {
    let mut fleet = FleetCounts::default();
    let mut is_complete = true;
    for file in files {
        let damage = match load(file) {
            Ok(bytes) => fleet.add_recording(&bytes),
            Err(why) => {
                eprintln!("notchpoint: {why}");
                is_complete = false;
                continue;
            }
        };
        is_complete &= damage.is_empty();
        damage.iter().for_each(|d| eprintln!("{}: {d}", file.display()));
    }
    if fleet.senders() == 0 {
        return Err("none of the given files is a recording".into());
    }
    print(&fleet.text(dest))?;
    Ok(ExitCode::from(u8::from(!is_complete)))
}

fn exit_code(report: &ReplayReport) -> ExitCode {
    ExitCode::from(u8::from(!report.is_equal()))
}

fn replay_command(file: &Path) -> Result<ExitCode, Failure> {
    let report = replay_file(file, &load(file)?, &mut NoObserver)?;
    let (turns, segments, runs, states) = (report.turns, report.segments, report.runs, report.states);
    print(&format!(
        "{turns} turns identical, in {segments} segments of {runs} processes; {states} states identical\n"
    ))?;
    if let Some(d) = &report.difference {
        print(&format!("{d}\n"))?;
    }
    Ok(exit_code(&report))
}

fn explain_command(file: &Path, query: Query, json: bool, svg: Option<&Path>) -> Result<ExitCode, Failure> {
    let bytes = load(file)?;
    let mut explainer = Explainer::new(query.clone());
    let report = replay_file(file, &bytes, &mut explainer)?;
    if let Some(d) = &report.difference {
        eprintln!("{}: {d}\nturns after this one are not explained", file.display());
    }
    let explanations = explainer.finish();
    let is_found = explanations.iter().any(|e| !e.timelines.is_empty());
    if let (Some(id), false) = (query.message, is_found) {
        return Err(format!("{}: message {:016x} is not in the recording", file.display(), id.0).into());
    }
    for explanation in &explanations {
        if json {
            print(&format!("{}\n", serde_json::to_string(explanation)?))?;
        } else {
            print(&text::render(explanation))?;
        }
    }
    // Of several processes, draws the one with the most points.
    if let (Some(path), Some(dest)) = (svg, query.dest)
        && let Some(explanation) = explanations.iter().max_by_key(|e| e.points.len())
    {
        std::fs::write(path, plot::draw(explanation, dest.0))
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(exit_code(&report))
}
