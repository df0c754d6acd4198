//! The folder that outlasts the process: how it is kept, and the commands that look at one.

use crate::settings::config::Config;
use crate::settings::operator::{Durability, StoreSettings};
use crate::state::operator_marks::OPERATOR_MARKS;
use crate::state::record::{self, CLASSES, COPIES, MESSAGES};
use crate::state::timeline::TIMELINE;
use crate::stdout::print;
use clap::Subcommand;
use notchpoint_seam::system::Folder;
use notchpoint_store::format::Record;
use notchpoint_store::inspect::{self, Piece};
use notchpoint_store::{Error, Options, Table, format};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

type Failure = Box<dyn std::error::Error>;

/// Kept for ends when the disk itself is full: this part of the limit, and no more than so much.
const RESERVE_PART: u64 = 64;
const RESERVE_MOST: u64 = 1 << 20;

/// How the store is kept under a configuration.
pub fn options(config: &Config, set: &StoreSettings) -> Options {
    let durability = match set.durability {
        Durability::Process => notchpoint_store::Durability::Process,
        Durability::Power => notchpoint_store::Durability::Power,
    };
    let usual = Options::new(config.seed, config.disk_bytes);
    let reserve = (config.disk_bytes / RESERVE_PART).min(RESERVE_MOST);
    Options { durability, step: set.step_kb as usize * 1024, reserve, ..usual }
}

/// With what helps.
pub fn describe_open_error(e: Error) -> Failure {
    match e {
        Error::Refused(why) => format!(
            "the journal is damaged, and going on would be a guess: {why}. Nothing was changed. \
             `notchpoint store check DIR` says the same; `notchpoint store salvage DIR --to NEW` \
             saves what can be read"
        )
        .into(),
        e => format!("the journal cannot be opened: {e}").into(),
    }
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read every byte of a folder and say whether a sender would start on it
    ///
    /// Nothing is changed, and the folder may be in use. Exit status: 0 it is sound; 1 it is damaged, and the
    /// place is said; 2 it cannot be read.
    Check {
        /// The folder (BALANCER_STATE)
        dir: PathBuf,
    },
    /// List all records in the order written, and what cannot be read
    Dump {
        /// The folder (BALANCER_STATE)
        dir: PathBuf,
    },
    /// Save what can be read of a damaged folder into a new one, and say what could not
    ///
    /// The damaged folder is only read. An open message that may have been tried, or may have ended, in
    /// records that are lost is marked as tried: it is not sent again unless its class allows repeats. Exit
    /// status: 0 all was saved; 1 something was lost; 2 nothing was done.
    Salvage {
        /// The damaged folder
        dir: PathBuf,
        /// The new one, which must be empty
        #[arg(long, value_name = "NEW")]
        to: PathBuf,
    },
}

/// Does what the command line says.
pub fn run(what: Command) -> Result<ExitCode, Failure> {
    match what {
        Command::Check { dir } => check(&dir),
        Command::Dump { dir } => dump(&dir),
        Command::Salvage { dir, to } => salvage(&dir, &to),
    }
}

fn folder(dir: &Path) -> Result<Folder, Failure> {
    std::fs::read_dir(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    Ok(Folder(dir.to_owned()))
}

fn table(t: Table) -> String {
    match t {
        MESSAGES => "messages".to_owned(),
        CLASSES => "classes".to_owned(),
        OPERATOR_MARKS => "operators' marks".to_owned(),
        COPIES => "copies".to_owned(),
        TIMELINE => "timeline".to_owned(),
        other => format!("table {}", other.0),
    }
}

fn check(dir: &Path) -> Result<ExitCode, Failure> {
    let name = dir.display();
    let report = match inspect::check(&folder(dir)?) {
        Ok(report) => report,
        Err(Error::Refused(why)) => {
            print(&format!("{name}: damaged: {why}\n"))?;
            return Ok(ExitCode::from(1));
        }
        Err(e) => return Err(format!("{name}: {e}").into()),
    };
    print(&format!("{name}: sound: {}\n", report.notes))?;
    for (number, keys, bytes) in report.tables.iter().map(|(t, (k, b))| (*t, k, b)) {
        print(&format!("  {}: {keys} keys, {bytes} bytes\n", table(Table(number))))?;
    }
    for (number, len, live) in report.segments {
        print(&format!("  {}: {len} bytes, {live} in force\n", format::name(number)))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn shown(key: &[u8]) -> String {
    key.iter().map(|b| format!("{b:02x}")).collect()
}

fn dump(dir: &Path) -> Result<ExitCode, Failure> {
    let mut failed = Ok(());
    inspect::walk(&folder(dir)?, |number, piece| {
        let file = format::name(number);
        let line = match piece {
            Piece::Lost { from, to } => format!("{file}, bytes {from} to {to}: cannot be read"),
            Piece::Missing { from, to } => format!("{file}: frames {from} to {} are missing", to - 1),
            Piece::Record { at, seq, record } => {
                let what = match record {
                    Record::Put { table: COPIES, key, value, .. } => {
                        let what = notchpoint_copies::describe_row(key, Some(value));
                        format!("put copies: {}", what.unwrap_or_else(|| shown(key)))
                    }
                    Record::Delete { table: COPIES, key } => {
                        let what = notchpoint_copies::describe_row(key, None);
                        format!("delete copies: {}", what.unwrap_or_else(|| shown(key)))
                    }
                    Record::Put { table: t, key, value, .. } => {
                        format!("put {} {} ({} bytes)", table(t), shown(key), value.len())
                    }
                    Record::Delete { table: t, key } => format!("delete {} {}", table(t), shown(key)),
                    Record::DeletePrefix { table: t, key } => format!("delete {} {}*", table(t), shown(key)),
                    Record::Base(n) => format!("segments below {n} are dropped"),
                };
                format!("{file}, byte {at}, frame {seq}: {what}")
            }
        };
        if failed.is_ok() {
            failed = print(&format!("{line}\n"));
        }
    })?;
    Ok(failed.map(|()| ExitCode::SUCCESS)?)
}

fn salvage(dir: &Path, to: &Path) -> Result<ExitCode, Failure> {
    let from = folder(dir)?;
    std::fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
    if std::fs::read_dir(to)?.next().is_some() {
        return Err(format!("{}: the new folder must be empty", to.display()).into());
    }
    let options = Options::new(fastrand::u64(..), u64::MAX / 4);
    let amend = |table: Table, key: &[u8], _: &[u8], batch: &mut notchpoint_store::Batch| {
        if let Some(id) = record::id_of(key).filter(|_| table == MESSAGES) {
            record::doubt(batch, id);
        }
    };
    let saved = inspect::salvage(&from, Rc::new(Folder(to.to_owned())), options, amend)?;
    print(&format!("{}: {} keys saved\n", to.display(), saved.keys))?;
    for (number, from, to) in &saved.lost {
        print(&format!("lost: {}, bytes {from} to {to}\n", format::name(*number)))?;
    }
    for (from, to) in &saved.missing {
        print(&format!("lost: frames {from} to {}\n", to - 1))?;
    }
    for (t, key) in &saved.doubtful {
        print(&format!(
            "in doubt: {} {}: lost records may have changed or ended it\n",
            table(*t),
            shown(key)
        ))?;
    }
    let whole = saved.lost.is_empty() && saved.missing.is_empty();
    Ok(ExitCode::from(u8::from(!whole)))
}
