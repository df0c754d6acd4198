//! The command line.

use crate::sender::{self, Failure};
use crate::settings::descriptors::DescriptorBudget;
use crate::settings::operator::{self, LogFormat, LogSettings};
use crate::state::storage;
use crate::stdout::print;
use clap::{Parser, Subcommand};
use notchpoint_policy::{DestinationId, FINGERPRINT, MessageId, Micros};
use notchpoint_recorder::explain::{Explainer, Question};
use notchpoint_recorder::fleet::Fleet;
use notchpoint_recorder::replay::{Nobody, Outcome, Watcher};
use notchpoint_recorder::{Recording, picture, replay, store, text};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A sender: takes messages from clients and delivers each, or ends it, exactly once answered.
///
/// Without a subcommand it is the sender, in the foreground. It is told of its place by BALANCER_CONFIG (a
/// JSON file) and BALANCER_STATE (a folder that outlasts it).
#[derive(Debug, Parser)]
#[command(name = "notchpoint", version)]
pub struct Cli {
    /// The operator's own settings [default: NOTCHPOINT_OPERATOR; without it all that it switches on is off]
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Make the recorded decisions again and check that each is the recorded one, bit for bit
    ///
    /// Exit status: 0 all are equal; 1 they part, and the first difference is printed; 2 nothing could be
    /// read.
    Replay {
        /// A recording: a dump, or the folder that the recorder writes to
        file: PathBuf,
    },
    /// Say which guard kept messages from being sent, from when to when, and why
    ///
    /// Times are seconds after the first recorded moment of a process. Exit status as for replay.
    Explain {
        /// A recording: a dump, or the folder that the recorder writes to
        file: PathBuf,
        /// One message, by its X-Request-ID
        #[arg(long, value_name = "ID", value_parser = read_id)]
        message: Option<MessageId>,
        /// One destination, by its number, with the course of its window
        #[arg(long, value_name = "N")]
        dest: Option<u64>,
        /// Only what held from this second on
        #[arg(long, value_name = "T", value_parser = read_seconds)]
        from: Option<Micros>,
        /// Only what held up to this second
        #[arg(long, value_name = "T", value_parser = read_seconds)]
        to: Option<Micros>,
        /// Write JSON, one object for each process
        #[arg(long)]
        json: bool,
        /// Draw the destination's window, calls and waits into this file (needs --dest)
        #[arg(long, value_name = "FILE", requires = "dest")]
        svg: Option<PathBuf>,
    },
    /// Count what all senders of a fleet did together, by second and destination
    ///
    /// A file that is cut or foreign is named with the place, and the rest is still read. Exit status: 0;
    /// 1 not all that was named could be read; 2 nothing could be.
    Fleet {
        /// Recordings, one for each sender: dumps, or the folders that the recorder writes to
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// One destination, by its number
        #[arg(long, value_name = "N")]
        dest: Option<u64>,
    },
    /// Read a file and say all that is wrong with it
    ///
    /// Of the operator's file it says what that switches on; of a configuration (a name that ends in .json)
    /// every mistake, by key. Exit status: 0 the file is sound; 2 it is not, or cannot be read.
    Check {
        /// The operator's file (TOML), or a configuration (JSON)
        file: PathBuf,
    },
    /// Look at the folder that outlasts a sender, or save what can be read of it
    Store {
        #[command(subcommand)]
        what: storage::Command,
    },
}

fn read_id(text: &str) -> Result<MessageId, String> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| hex);
    id.map(MessageId).ok_or_else(|| "an id has 16 hex digits".to_owned())
}

fn read_seconds(text: &str) -> Result<Micros, String> {
    let seconds: f64 = text.parse().map_err(|_| "seconds, such as 12.5".to_owned())?;
    let fits = (0.0..1e9).contains(&seconds);
    fits.then_some((seconds * 1e6) as Micros).ok_or_else(|| "seconds, not less than 0".to_owned())
}

/// Does what the command line says.
pub fn run(cli: Cli) -> ExitCode {
    let done = match cli.command {
        None => serve(cli.operator),
        Some(Command::Replay { file }) => replay_command(&file),
        Some(Command::Store { what }) => storage::run(what),
        Some(Command::Explain { file, message, dest, from, to, json, svg }) => {
            let question = Question { message, dest: dest.map(DestinationId), from, to };
            explain_command(&file, question, json, svg.as_deref())
        }
        Some(Command::Fleet { files, dest }) => fleet_command(&files, dest.map(DestinationId)),
        Some(Command::Check { file }) if file.extension().is_some_and(|e| e == "json") => check_config(&file),
        Some(Command::Check { file }) => operator::read(&file).map_err(Failure::from).and_then(|o| {
            print(&format!("{0}: {1}\n{0}: {2}\n{0}: {3}\n", file.display(), o.recorder, o.store, o.zones))?;
            check_copies(&file, &o)?;
            Ok(ExitCode::SUCCESS)
        }),
    };
    done.unwrap_or_else(|why| {
        eprintln!("notchpoint: {why}");
        ExitCode::from(2)
    })
}

/// What the file says of copies. Whether this sender itself is among the others is known where the
/// configuration is.
fn check_copies(file: &Path, operator: &operator::OperatorSettings) -> Result<(), Failure> {
    let Some(copies) = &operator.copies else {
        return Ok(print(&format!("{}: copies off\n", file.display()))?);
    };
    let config = std::env::var_os("BALANCER_CONFIG").and_then(|c| std::fs::read_to_string(c).ok());
    let name = config.and_then(|text| crate::settings::config::read(&text).ok()).map(|c| c.name);
    let wrong = copies.find_errors(name.as_deref());
    if !wrong.is_empty() {
        let lines: Vec<String> = wrong.iter().map(|w| format!("{}: {w}", file.display())).collect();
        return Err(lines.join("\n").into());
    }
    print(&format!("{}: {copies}\n", file.display()))?;
    for doubt in copies.find_warnings() {
        print(&format!("{}: {doubt}\n", file.display()))?;
    }
    Ok(())
}

fn check_config(file: &Path) -> Result<ExitCode, Failure> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let wrong = crate::settings::check::find_errors(&text);
    if wrong.is_empty() {
        print(&format!("{name}: sound\n"))?;
        let config = crate::settings::config::read(&text)?;
        let descriptors = DescriptorBudget::new(&config);
        print(&format!("{name}: {}\n", descriptors.describe(&config)))?;
        if let Some(doubt) = descriptors.warning(&config) {
            print(&format!("{name}: warning: {doubt}\n"))?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let lines: Vec<String> = wrong.iter().map(|w| format!("{name}: {w}")).collect();
    Err(lines.join("\n").into())
}

fn serve(file: Option<PathBuf>) -> Result<ExitCode, Failure> {
    let file = file.or_else(|| std::env::var_os("NOTCHPOINT_OPERATOR").map(PathBuf::from));
    let operator = file.map_or(Ok(operator::OperatorSettings::default()), |f| operator::read(&f))?;
    log(operator.log);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(async { sender::run(sender::surroundings()?, operator).await }))?;
    Ok(ExitCode::SUCCESS)
}

/// From now on what happens is logged to standard output, a line each.
fn log(set: LogSettings) {
    let level = if set.detail { tracing::Level::DEBUG } else { tracing::Level::INFO };
    let lines = tracing_subscriber::fmt().with_ansi(false).with_target(false).with_max_level(level);
    match set.format {
        LogFormat::Text => lines.init(),
        LogFormat::Json => lines.json().flatten_event(true).init(),
    }
}

fn load(file: &Path) -> Result<Vec<u8>, Failure> {
    let bytes = store::load(file).map_err(|e| format!("{}: {e}", file.display()))?;
    if bytes.is_empty() {
        return Err(format!("{}: nothing is recorded here", file.display()).into());
    }
    Ok(bytes)
}

/// Plays a recording and says on standard error what is to be known of it.
fn play(file: &Path, bytes: &[u8], watch: &mut dyn Watcher) -> Result<Outcome, Failure> {
    let recording = Recording::read(bytes);
    let done = replay(&recording, watch);
    for d in &done.damage {
        eprintln!("{}: {d}", file.display());
    }
    for (run, segment, why) in &done.skipped {
        eprintln!("{}: segment {segment} of process {run} was not played: {why}", file.display());
    }
    for other in &done.others {
        eprintln!(
            "{}: recorded by another version of the decisions ({other:016x}; this build has \
             {FINGERPRINT:016x})",
            file.display()
        );
    }
    if let Some((run, segment)) = done.state_differs {
        eprintln!(
            "{}: process {run}: the state at segment {segment} is not the recorded one",
            file.display()
        );
    }
    if done.segments == 0 {
        return Err(format!("{}: nothing in it could be played", file.display()).into());
    }
    Ok(done)
}

fn fleet_command(files: &[PathBuf], dest: Option<DestinationId>) -> Result<ExitCode, Failure> {
    let mut fleet = Fleet::default();
    let mut whole = true;
    for file in files {
        let damage = match load(file) {
            Ok(bytes) => fleet.add(&bytes),
            Err(why) => {
                eprintln!("notchpoint: {why}");
                whole = false;
                continue;
            }
        };
        whole &= damage.is_empty();
        damage.iter().for_each(|d| eprintln!("{}: {d}", file.display()));
    }
    if fleet.senders() == 0 {
        return Err("no recording among the files named".into());
    }
    print(&fleet.text(dest))?;
    Ok(ExitCode::from(u8::from(!whole)))
}

fn verdict(done: &Outcome) -> ExitCode {
    ExitCode::from(u8::from(!done.is_equal()))
}

fn replay_command(file: &Path) -> Result<ExitCode, Failure> {
    let done = play(file, &load(file)?, &mut Nobody)?;
    let (turns, segments, runs, states) = (done.turns, done.segments, done.runs, done.states);
    print(&format!(
        "{turns} turns equal, in {segments} segments of {runs} processes; {states} states equal\n"
    ))?;
    if let Some(d) = &done.difference {
        print(&format!("{d}\n"))?;
    }
    Ok(verdict(&done))
}

fn explain_command(
    file: &Path,
    question: Question,
    json: bool,
    svg: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let bytes = load(file)?;
    let mut explainer = Explainer::new(question.clone());
    let done = play(file, &bytes, &mut explainer)?;
    if let Some(d) = &done.difference {
        eprintln!("{}: {d}\nwhat comes behind this turn is not explained", file.display());
    }
    let all = explainer.finish();
    let found = all.iter().any(|e| !e.courses.is_empty());
    if let (Some(id), false) = (question.message, found) {
        return Err(format!("{}: message {:016x} is not in the recording", file.display(), id.0).into());
    }
    for e in &all {
        if json {
            print(&format!("{}\n", serde_json::to_string(e)?))?;
        } else {
            print(&text::write(e))?;
        }
    }
    // Of several processes the one with the most to show.
    if let (Some(path), Some(dest)) = (svg, question.dest)
        && let Some(e) = all.iter().max_by_key(|e| e.points.len())
    {
        std::fs::write(path, picture::draw(e, dest.0)).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(verdict(&done))
}
