//! The operator's own file: what is off unless somebody wants it. `deploy/notchpoint.toml` is an example.

use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// All that the file may set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    #[serde(default)]
    pub recorder: Recorder,
    #[serde(default)]
    pub log: Log,
    #[serde(default)]
    pub store: Storage,
}

/// The store of what was taken on, in the folder that outlasts the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Storage {
    pub durability: Durability,
    /// Kilobytes (1024 bytes) that one step of compaction looks through.
    pub step_kb: u32,
}

/// What an answer of 202, and an attempt's record, outlast.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The process, however it ends.
    #[default]
    Process,
    /// A loss of power as well: each is synced first.
    Power,
}

/// Less makes compaction fall behind; more is read and copied in more than two milliseconds.
const STEP: std::ops::RangeInclusive<u32> = 4..=512;

impl Default for Storage {
    fn default() -> Self {
        Self { durability: Durability::Process, step_kb: 64 }
    }
}

impl fmt::Display for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outlasts = match self.durability {
            Durability::Process => "the process",
            Durability::Power => "a loss of power (synced before each answer)",
        };
        write!(f, "what is taken on outlasts {outlasts}; compaction by {} KiB", self.step_kb)
    }
}

impl Storage {
    fn check(&self) -> Result<(), String> {
        let fits = STEP.contains(&self.step_kb);
        fits.then_some(()).ok_or_else(|| format!("store.step_kb: {} is not within 4 to 512", self.step_kb))
    }
}

/// The program's log, on standard output.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: Format,
}

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// The flight recorder.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Recorder {
    pub store: Store,
    /// Where segments (`store = "folder"`) and dumps lie.
    pub folder: Option<PathBuf>,
    /// What a recording takes at most, in megabytes (10^6 bytes). Each dump takes as much again.
    pub limit_mb: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Store {
    Off,
    Memory,
    Folder,
}

/// Less holds no state of a sender with some hundred messages; more than this is no ring.
const LIMIT: std::ops::RangeInclusive<f64> = 0.25..=1e6;

impl Default for Recorder {
    fn default() -> Self {
        Self { store: Store::Off, folder: None, limit_mb: 16.0 }
    }
}

impl fmt::Display for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let folder = self.folder.as_deref().unwrap_or(Path::new("")).display();
        match self.store {
            Store::Off => write!(f, "recorder off"),
            Store::Memory => write!(f, "recorder in memory, {} MB at most, dumps to {folder}", self.limit_mb),
            Store::Folder => write!(f, "recorder in {folder}, {} MB at most", self.limit_mb),
        }
    }
}

impl Recorder {
    fn check(&self) -> Result<(), String> {
        if !LIMIT.contains(&self.limit_mb) {
            return Err(format!("recorder.limit_mb: {} is not within 0.25 to 1000000", self.limit_mb));
        }
        if self.store != Store::Off && self.folder.is_none() {
            return Err("recorder.folder: is missing; segments and dumps need a place".into());
        }
        Ok(())
    }

    /// The limit in bytes.
    pub fn limit(&self) -> u64 {
        (self.limit_mb * 1e6) as u64
    }
}

/// Reads the file. Errors name it, and the line.
pub fn read(path: &Path) -> Result<Operator, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let operator: Operator = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    operator.recorder.check().and_then(|()| operator.store.check()).map_err(|e| format!("{name}: {e}"))?;
    Ok(operator)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read_text(text: &str) -> Result<Operator, String> {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("notchpoint.toml");
        std::fs::write(&path, text).expect("written");
        read(&path)
    }

    #[test]
    fn the_example_is_sound_and_switches_nothing_on() {
        let example = include_str!("../../../../deploy/notchpoint.toml");
        assert_eq!(read_text(example), Ok(Operator::default()));
        assert_eq!(read_text(""), Ok(Operator::default()));
    }

    #[test]
    fn what_is_wrong_is_said_with_its_place() {
        for (text, said) in [
            ("[recorder]\nstore = \"disk\"", "line 2"),
            ("[recorder]\nstroe = \"memory\"", "line 2"),
            ("[recorders]", "line 1"),
            ("[recorder]\nstore = \"memory\"", "recorder.folder"),
            ("[recorder]\nlimit_mb = 0", "recorder.limit_mb"),
            ("[recorder]\nlimit_mb = nan", "recorder.limit_mb"),
            ("[store]\ndurability = \"disk\"", "line 2"),
            ("[store]\nstep_kb = 1", "store.step_kb"),
        ] {
            let error = read_text(text).expect_err(text);
            assert!(error.contains(said) && error.contains("notchpoint.toml"), "{text}: {error}");
        }
    }
}
