//! The options of the store in the state folder, and the commands that inspect such a folder.

use crate::settings::config::Config;
use crate::settings::operator::{Durability, StoreSettings};
use crate::state::operator_marks::OPERATOR_MARKS;
use crate::state::record::{self, CLASSES, COPIES, MESSAGES, REQUEST_IDS};
use crate::state::timeline::TIMELINE;
use crate::stdout::print;
use clap::Subcommand;
use notchpoint_seam::system::Folder;
use notchpoint_store::format::Record;
use notchpoint_store::inspect::{self, LogItem};
use notchpoint_store::{Error, Options, Table, format};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

type Failure = Box<dyn std::error::Error>;

/// The divisor of the disk limit that gives the space reserved for ends when the disk itself is full.
const RESERVE_DIVISOR: u64 = 64;
const MAX_RESERVE_BYTES: u64 = 1 << 20;

/// Returns the store's options for a configuration and the operator's settings.
pub fn options(config: &Config, settings: &StoreSettings) -> Options {
    let durability = match settings.durability {
        Durability::Process => notchpoint_store::Durability::Process,
        Durability::Power => notchpoint_store::Durability::Power,
    };
    let defaults = Options::new(config.seed, config.disk_bytes);
    let reserve_bytes = (config.disk_bytes / RESERVE_DIVISOR).min(MAX_RESERVE_BYTES);
    Options { durability, step_bytes: settings.step_kb as usize * 1024, reserve_bytes, ..defaults }
}

/// Describes why the journal did not open, and for a damaged one the commands that help.
pub fn describe_open_error(error: Error) -> Failure {
    match error {
        Error::Corrupt(corruption) => format!(
            "the journal is damaged: {corruption}. The sender does not start, and nothing was changed. \
             `notchpoint store check DIR` reports the damage; `notchpoint store salvage DIR --to NEW` \
             saves all that can be read"
        )
        .into(),
        error => format!("the journal cannot be opened: {error}").into(),
    }
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read every byte of a folder and report whether a sender would start on it
    ///
    /// Nothing is changed, and the folder may be in use. Exit status: 0 it is sound; 1 it is damaged, and the
    /// position is printed; 2 it cannot be read.
    Check {
        /// The folder (BALANCER_STATE)
        dir: PathBuf,
    },
    /// List all records in the order written, and the parts that cannot be read
    Dump {
        /// The folder (BALANCER_STATE)
        dir: PathBuf,
    },
    /// Save all that can be read of a damaged folder into a new one, and report the rest
    ///
    /// The damaged folder is only read. If lost records may hold an attempt or the end of an open message,
    /// the message is marked as attempted: it is not sent again unless its class allows repeats. Exit status:
    /// 0 everything was saved; 1 something was lost; 2 nothing was done.
    Salvage {
        /// The damaged folder
        dir: PathBuf,
        /// The new folder, which must be empty
        #[arg(long, value_name = "NEW")]
        to: PathBuf,
    },
}

/// Runs a command.
pub fn run(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Check { dir } => check(&dir),
        Command::Dump { dir } => dump(&dir),
        Command::Salvage { dir, to } => salvage(&dir, &to),
    }
}

fn open_folder(dir: &Path) -> Result<Folder, Failure> {
    std::fs::read_dir(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    Ok(Folder(dir.to_owned()))
}

fn table_name(table: Table) -> String {
    match table {
        MESSAGES => "messages".to_owned(),
        CLASSES => "classes".to_owned(),
        OPERATOR_MARKS => "operators' marks".to_owned(),
        COPIES => "copies".to_owned(),
        REQUEST_IDS => "request ids".to_owned(),
        TIMELINE => "timeline".to_owned(),
        other => format!("table {}", other.0),
    }
}

fn check(dir: &Path) -> Result<ExitCode, Failure> {
    let name = dir.display();
    let report = match inspect::check(&open_folder(dir)?) {
        Ok(report) => report,
        Err(Error::Corrupt(corruption)) => {
            print(&format!("{name}: damaged: {corruption}\n"))?;
            return Ok(ExitCode::from(1));
        }
        Err(error) => return Err(format!("{name}: {error}").into()),
    };
    print(&format!("{name}: sound: {}\n", report.recovery))?;
    for (number, keys, bytes) in report.tables.iter().map(|(t, (k, b))| (*t, k, b)) {
        print(&format!("  {}: {keys} keys, {bytes} bytes\n", table_name(Table(number))))?;
    }
    for (number, len, live) in report.segments {
        print(&format!("  {}: {len} bytes, {live} in force\n", format::segment_file_name(number)))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn hex(key: &[u8]) -> String {
    key.iter().map(|b| format!("{b:02x}")).collect()
}

fn dump(dir: &Path) -> Result<ExitCode, Failure> {
    let mut failed = Ok(());
    inspect::walk(&open_folder(dir)?, |number, piece| {
        let file = format::segment_file_name(number);
        let line = match piece {
            LogItem::Unreadable { from, to } => format!("{file}, bytes {from} to {to}: cannot be read"),
            LogItem::MissingFrames { from, to } => format!("{file}: frames {from} to {} are missing", to - 1),
            LogItem::Record { offset, seq, record } => {
                let text = match record {
                    Record::Put { table: COPIES, key, value, .. } => {
                        let row = notchpoint_copies::describe_row(key, Some(value));
                        format!("put copies: {}", row.unwrap_or_else(|| hex(key)))
                    }
                    Record::Delete { table: COPIES, key } => {
                        let row = notchpoint_copies::describe_row(key, None);
                        format!("delete copies: {}", row.unwrap_or_else(|| hex(key)))
                    }
                    Record::Put { table: table_id, key, value, .. } => {
                        format!("put {} {} ({} bytes)", table_name(table_id), hex(key), value.len())
                    }
                    Record::Delete { table: table_id, key } => {
                        format!("delete {} {}", table_name(table_id), hex(key))
                    }
                    Record::DeletePrefix { table: table_id, key } => {
                        format!("delete {} {}*", table_name(table_id), hex(key))
                    }
                    Record::LogStart(n) => format!("segments below {n} are dropped"),
                };
                format!("{file}, byte {offset}, frame {seq}: {text}")
            }
        };
        if failed.is_ok() {
            failed = print(&format!("{line}\n"));
        }
    })?;
    Ok(failed.map(|()| ExitCode::SUCCESS)?)
}

fn salvage(dir: &Path, to: &Path) -> Result<ExitCode, Failure> {
    let from = open_folder(dir)?;
    std::fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
    if std::fs::read_dir(to)?.next().is_some() {
        return Err(format!("{}: the new folder must be empty", to.display()).into());
    }
    let options = Options::new(fastrand::u64(..), u64::MAX / 4);
    let amend = |table: Table, key: &[u8], _: &[u8], batch: &mut notchpoint_store::Batch| {
        if let Some(id) = record::message_id(key).filter(|_| table == MESSAGES) {
            record::presume_attempt(batch, id);
        }
    };
    let saved = inspect::salvage(&from, Rc::new(Folder(to.to_owned())), options, amend)?;
    print(&format!("{}: {} keys saved\n", to.display(), saved.key_count))?;
    for (number, from, to) in &saved.unreadable {
        print(&format!("lost: {}, bytes {from} to {to}\n", format::segment_file_name(*number)))?;
    }
    for (from, to) in &saved.missing_frames {
        print(&format!("lost: frames {from} to {}\n", to - 1))?;
    }
    for (table_id, key) in &saved.uncertain {
        print(&format!(
            "in doubt: {} {}: lost records may have changed or ended it\n",
            table_name(*table_id),
            hex(key)
        ))?;
    }
    let is_complete = saved.unreadable.is_empty() && saved.missing_frames.is_empty();
    Ok(ExitCode::from(u8::from(!is_complete)))
}
