//! `notchpoint-rehearse` runs scenarios.

use clap::{Parser, Subcommand};
use notchpoint_rehearsal::compare::{Side, compare};
use notchpoint_rehearsal::demo::demo;
use notchpoint_rehearsal::explain::explain;
use notchpoint_rehearsal::fidelity::{self, fidelity};
use notchpoint_rehearsal::hunt::{BaseScenario, hunt, shrink};
use notchpoint_rehearsal::live::Live;
use notchpoint_rehearsal::run::STARTUP_TIME;
use notchpoint_rehearsal::run::run_live;
use notchpoint_rehearsal::{Options, checker, report, run, scenario, score, windows};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// Test how senders behave when partners fail
///
/// Real senders run in one process and in virtual time, against emulated partners, clients and discovery. A
/// run depends only on scenario and seed: the same two give a byte-identical event log.
#[derive(Debug, Parser)]
#[command(name = "notchpoint-rehearse", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a demo of half a minute: a real sender, emulated partners, two classes, a zone that stops
    /// responding
    ///
    /// Writes a report with plots, and the configuration that was used, as a starting point. Exit status as
    /// for run.
    Demo {
        /// Folder for report, configuration, state and log
        #[arg(long, value_name = "FOLDER", default_value = "notchpoint-demo")]
        folder: PathBuf,
    },
    /// Run a sender, like `notchpoint` without arguments
    #[command(hide = true)]
    Sender,
    /// Run a scenario, score it and check the rules
    ///
    /// Exit status: 0 all rules were kept; 1 a rule was broken; 2 the scenario could not be run; 3 a sender
    /// blocked.
    Run {
        /// The scenario, a TOML file
        file: PathBuf,
        /// Seed to use instead of the scenario's
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
        /// File for the event log
        #[arg(long, value_name = "FILE")]
        log: Option<PathBuf>,
        /// File for an HTML page with plots; in virtual time also with the senders' windows, by partner
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Folder for the senders' flight recordings, for `notchpoint explain`
        #[arg(long, value_name = "FOLDER")]
        record: Option<PathBuf>,
        /// Run on loopback sockets, against real processes and in real time
        #[arg(long, conflicts_with = "record")]
        live: bool,
        /// With --live: program to start as the sender [default: this build's own]
        #[arg(long, value_name = "PROGRAM", requires = "live")]
        sender: Option<PathBuf>,
        /// With --live: folder for the senders' configuration, state and log
        #[arg(long, value_name = "FOLDER", default_value = "notchpoint-live", requires = "live")]
        folder: PathBuf,
        /// Print a table with a row for every five seconds as well
        #[arg(long)]
        table: bool,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
    },
    /// Run a scenario with random faults for many seeds and look for broken rules
    ///
    /// The faults of the first seed that breaks a rule are reduced to a minimal set and written as a
    /// scenario. Exit status: 0 nothing was found; 1 a rule was broken; 2 the scenario could not be run.
    Hunt {
        /// The scenario, a TOML file
        file: PathBuf,
        /// Number of seeds
        #[arg(long, value_name = "N", default_value_t = 1_000)]
        seeds: u64,
        /// First seed
        #[arg(long, value_name = "N", default_value_t = 1)]
        from: u64,
        /// Number of threads [default: one for each core]
        #[arg(long, value_name = "N")]
        jobs: Option<usize>,
        /// File for the reduced scenario
        #[arg(long, value_name = "FILE", default_value = "found.toml")]
        out: PathBuf,
    },
    /// Run two settings, or two builds, on the same seeds and report whether they differ by more than chance
    ///
    /// Exit status: 0 compared; 2 a run failed.
    Compare {
        /// A scenario
        a: PathBuf,
        /// Another scenario, or the same
        b: PathBuf,
        /// Program that runs B: a notchpoint-rehearse of another build [default: this one]
        #[arg(long, value_name = "PROGRAM")]
        build: Option<PathBuf>,
        /// Number of seeds
        #[arg(long, value_name = "N", default_value_t = 30)]
        seeds: u64,
        /// First seed
        #[arg(long, value_name = "N", default_value_t = 1)]
        from: u64,
        /// Number of threads [default: one for each core]
        #[arg(long, value_name = "N")]
        jobs: Option<usize>,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
    },
    /// Run each seed twice and look for a difference in the event log
    ///
    /// Exit status: 0 all logs are byte-identical; 1 two differ; 2 the scenario could not be run.
    Twice {
        /// The scenario, a TOML file
        file: PathBuf,
        /// Number of seeds
        #[arg(long, value_name = "N", default_value_t = 200)]
        seeds: u64,
    },
    /// Run a scenario in virtual time and on loopback sockets, and report whether both agree
    ///
    /// Exit status: 0 the same rules were kept and the share of worth kept differs by no more than --within;
    /// 1 they differ; 2 the scenario could not be run.
    Fidelity {
        /// The scenario, a TOML file
        file: PathBuf,
        /// Seed to use instead of the scenario's
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
        /// Permitted difference of the share of worth kept
        #[arg(long, value_name = "SHARE", default_value_t = fidelity::DEFAULT_TOLERANCE)]
        within: f64,
        /// Folder for the configuration, state and log of the senders on loopback sockets
        #[arg(long, value_name = "FOLDER", default_value = "notchpoint-live")]
        folder: PathBuf,
    },
    /// Print all that is known of a message: from client, partners, platform and its sender's recorder
    ///
    /// Exit status: 0 printed; 2 the scenario could not be run, or has no such message.
    Explain {
        /// The scenario, a TOML file
        file: PathBuf,
        /// X-Request-ID of the message
        #[arg(long, value_name = "ID", value_parser = read_id)]
        message: u64,
        /// Seed to use instead of the scenario's
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
    },
    /// Validate scenarios and print all errors, by line and key
    ///
    /// Exit status: 0 all are valid; 2 one is not.
    Check {
        /// The scenarios
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Sender => return notchpoint::cli::run(notchpoint::cli::Cli::parse_from(["notchpoint"])),
        Command::Demo { folder } => {
            own_sender().and_then(|c| demo(c, &folder)).map(|kept| ExitCode::from(u8::from(!kept)))
        }
        Command::Run { file, seed, log, html, record, live, sender, folder, table, json } => {
            let world = if live {
                let command = sender.map_or_else(own_sender, |program| Ok(vec![program]));
                command.map(|command| World::Live(command, folder))
            } else {
                Ok(World::Virtual(Options { record, ..Options::default() }))
            };
            world.and_then(|world| {
                run_command(&file, seed, log.as_deref(), html.as_deref(), world, OutputFormat { table, json })
            })
        }
        Command::Hunt { file, seeds, from, jobs, out } => hunt_command(&file, seeds, from, jobs, &out),
        Command::Compare { a, b, build, seeds, from, jobs, json } => {
            compare_command(a, b, build, seeds, from, jobs, json)
        }
        Command::Twice { file, seeds } => twice_command(&file, seeds),
        Command::Fidelity { file, seed, within, folder } => {
            own_sender().and_then(|command| fidelity_command(&file, seed, within, command, &folder))
        }
        Command::Explain { file, message, seed } => explain_command(&file, message, seed),
        Command::Check { files } => check_command(&files),
    };
    done.unwrap_or_else(|why| {
        eprintln!("{why}");
        ExitCode::from(2)
    })
}

/// How the result of a run is printed.
struct OutputFormat {
    table: bool,
    json: bool,
}

/// The environment in which a scenario is run.
enum World {
    Virtual(Options),
    /// The command that starts a sender, and the folder for the senders' configuration, state and log.
    Live(Vec<PathBuf>, PathBuf),
}

/// Returns the command that starts this program as a sender, so that no other program is needed.
fn own_sender() -> Result<Vec<PathBuf>, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(vec![program, "sender".into()])
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run_command(
    file: &Path,
    seed: Option<u64>,
    log: Option<&Path>,
    html: Option<&Path>,
    world: World,
    format: OutputFormat,
) -> Result<ExitCode, String> {
    let scenario = Rc::new(scenario::read(file).map_err(|e| e.to_string())?);
    let seed = seed.unwrap_or(scenario.seed);
    // The plots also show the senders' windows, which are read from their flight recordings.
    let temporary_folder = std::env::temp_dir().join(format!("notchpoint-record-{}", std::process::id()));
    let mut recorded = None;
    let result = match world {
        World::Virtual(mut options) => {
            if html.is_some() {
                options.record.get_or_insert_with(|| temporary_folder.clone());
            }
            recorded.clone_from(&options.record);
            run(&scenario, seed, &options)?
        }
        World::Live(command, folder) => {
            let hosts = Live::new(scenario.senders.count, command, &folder)?;
            run_live(&scenario, seed, hosts, false, |_| {})?
        }
    };
    let violations = checker::check(&result);
    let score = score::score(&result, violations.len());
    if format.json {
        println!("{:#}", report::json(&result, &score, &violations));
    } else {
        print!("{}", report::text(&result, &score, &violations));
        if format.table {
            print!("{}", report::table(&report::rows(&result, report::ROW_SECONDS)));
        }
    }
    if let Some(path) = log {
        write(path, &result.log)?;
    }
    if let Some(path) = html {
        let seconds = (result.end / 1_000_000) as usize + 1;
        let startup_micros = STARTUP_TIME.as_micros() as u64;
        let sender_views = recorded.map(|folder| windows::read(&folder, &scenario, seconds, startup_micros));
        // The recordings are large, so they are removed even if they could not be read.
        let _ = std::fs::remove_dir_all(&temporary_folder);
        write(path, &report::html(&result, &score, &violations, sender_views.transpose()?.as_deref())?)?;
    }
    Ok(ExitCode::from(u8::from(!violations.is_empty())))
}

fn read_id(text: &str) -> Result<u64, String> {
    let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    id.ok_or_else(|| "an ID has 16 hexadecimal digits".to_owned())
}

fn thread_count(jobs: Option<usize>) -> usize {
    jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, std::num::NonZero::get))
}

fn compare_command(
    a: PathBuf,
    b: PathBuf,
    build: Option<PathBuf>,
    seeds: u64,
    from: u64,
    jobs: Option<usize>,
    json: bool,
) -> Result<ExitCode, String> {
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let other = build.unwrap_or_else(|| own_program.clone());
    let sides = [Side { program: own_program, file: a }, Side { program: other, file: b }];
    let comparison = compare(&sides, from, seeds, thread_count(jobs))?;
    if json {
        println!("{}", serde_json::to_string_pretty(&comparison).map_err(|e| e.to_string())?);
        return Ok(ExitCode::SUCCESS);
    }
    for (side, name) in ["A", "B"].iter().enumerate() {
        println!(
            "{name}: worth kept {:.4} on average, spread {:.4}; rules broken on {} of {} seeds",
            comparison.kept[side],
            comparison.spread[side],
            comparison.violating_seeds[side],
            comparison.seeds
        );
    }
    let chance = if comparison.difference.abs() < 2.0 * comparison.error {
        "may be chance"
    } else {
        "more than chance"
    };
    println!(
        "B minus A, mean over the seeds: {:+.4}, standard error {:.4}: {chance}",
        comparison.difference, comparison.error
    );
    Ok(ExitCode::SUCCESS)
}

fn twice_command(file: &Path, seeds: u64) -> Result<ExitCode, String> {
    let scenario = Rc::new(scenario::read(file).map_err(|e| e.to_string())?);
    for seed in 1..=seeds {
        let log = || run(&scenario, seed, &Options::default()).map(|o| o.log);
        let (one, two) = (log()?, log()?);
        if one != two {
            let differ = one.lines().zip(two.lines()).enumerate().find(|(_, (a, b))| a != b);
            println!("seed {seed}: two runs differ: {differ:?}");
            return Ok(ExitCode::from(1));
        }
    }
    println!("{seeds} seeds, each run twice: all logs are byte-identical");
    Ok(ExitCode::SUCCESS)
}

fn fidelity_command(
    file: &Path,
    seed: Option<u64>,
    within: f64,
    command: Vec<PathBuf>,
    folder: &Path,
) -> Result<ExitCode, String> {
    let scenario = scenario::read(file).map_err(|e| e.to_string())?;
    let seed = seed.unwrap_or(scenario.seed);
    let both = fidelity(scenario, seed, command, folder)?;
    println!("{both}");
    Ok(ExitCode::from(u8::from(!both.agrees(within))))
}

fn explain_command(file: &Path, message: u64, seed: Option<u64>) -> Result<ExitCode, String> {
    let scenario = Rc::new(scenario::read(file).map_err(|e| e.to_string())?);
    let folder = std::env::temp_dir().join(format!("notchpoint-explain-{}", std::process::id()));
    let explained = explain(&scenario, seed.unwrap_or(scenario.seed), message, &folder);
    // The recordings are large, so they are removed even if the explanation failed.
    let _ = std::fs::remove_dir_all(&folder);
    explained.map(|_| ExitCode::SUCCESS)
}

fn hunt_command(
    file: &Path,
    seeds: u64,
    from: u64,
    jobs: Option<usize>,
    out: &Path,
) -> Result<ExitCode, String> {
    let base = BaseScenario::read(file).map_err(|e| e.to_string())?;
    let jobs = thread_count(jobs);
    let done = std::sync::atomic::AtomicU64::new(0);
    let found = hunt(&base, from, seeds, jobs, |seed, violation| {
        let done = done.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1;
        if let Some(violation) = violation {
            eprintln!("seed {seed}: {violation}");
        }
        if done.is_multiple_of(100) || done == seeds {
            let _ = writeln!(std::io::stderr(), "{done} of {seeds} seeds");
        }
    })
    .map_err(|e| e.to_string())?;
    println!("{} seeds, worth kept {:.4} on average", found.seeds, found.kept);
    for (rule, n) in &found.rules {
        println!("  {rule:?}: broken in {n} seeds");
    }
    for (seed, why) in &found.failed {
        println!("  seed {seed} could not be run: {why}");
    }
    let Some((seed, _)) = found.violations.first_key_value() else {
        println!("  no rule was broken");
        return Ok(ExitCode::from(if found.failed.is_empty() { 0 } else { 2 }));
    };
    let (text, violation) = shrink(&base, *seed)?;
    write(out, &text)?;
    println!("seed {seed}, reduced to {}: {violation}", out.display());
    Ok(ExitCode::from(1))
}

fn check_command(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut errors = Vec::new();
    for file in files {
        match scenario::read(file) {
            Ok(scenario) => println!("{}: sound: {}", file.display(), scenario.about),
            Err(e) => errors.push(e.to_string()),
        }
    }
    if errors.is_empty() { Ok(ExitCode::SUCCESS) } else { Err(errors.join("\n")) }
}
