//! The operator's own settings file, for features that are off by default. `deploy/notchpoint.toml` is an
//! example.

use notchpoint_zones::{FailureThresholds, ZoneId};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The content of the file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    #[serde(default)]
    pub recorder: RecorderSettings,
    #[serde(default)]
    pub log: LogSettings,
    #[serde(default)]
    pub store: StoreSettings,
    pub copies: Option<CopiesSettings>,
    #[serde(default)]
    pub zones: ZoneSettings,
    /// The path of the file, if the settings were read from one. Some sections are read again at SIGHUP.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

impl OperatorSettings {
    /// Returns the sections that differ in `new` and that only a new process adopts.
    pub fn changes_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let unchanged = [
            ("recorder", self.recorder == new.recorder),
            ("log", self.log == new.log),
            ("store", self.store == new.store),
            ("copies", self.copies == new.copies),
            ("zones (they were off)", self.zones.is_enabled() || !new.zones.is_enabled()),
        ];
        unchanged.into_iter().filter(|u| !u.1).map(|u| u.0).collect()
    }
}

/// The settings for replicating the messages that this sender holds to other senders.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CopiesSettings {
    /// The number of senders that keep a replica of each message before its client receives 202; 0 for none.
    #[serde(default)]
    pub count: usize,
    /// The address on which other senders connect.
    pub listen: SocketAddr,
    /// What happens to a message with too few replicas.
    #[serde(default)]
    pub when_short: WhenShort,
    /// The space for replicas of other senders' messages, in megabytes (10^6 bytes).
    #[serde(default = "default_keep_mb")]
    pub keep_mb: f64,
    /// The zone of this sender; by default the locality in the configuration.
    pub zone: Option<String>,
    /// The name of this installation. Connections from senders of another one are rejected.
    #[serde(default)]
    pub installation: String,
    /// The shortest time without a heartbeat, in milliseconds, after which another sender may count as dead.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// The other senders.
    #[serde(default)]
    pub senders: Vec<PeerSettings>,
}

/// Another sender, and the address at which this one reaches it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    pub name: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
}

/// What happens to a message with too few replicas.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WhenShort {
    /// It is refused, and its client is told when to retry.
    #[default]
    Refuse,
    /// It is accepted, and the log counts such messages.
    Accept,
}

fn default_keep_mb() -> f64 {
    64.0
}

fn default_silence_ms() -> u64 {
    1_500
}

/// Each further replica makes every message wait longer for its answer, and operators need no more than this.
const MAX_COPIES: usize = 3;
/// A sender may hold a connection to each of the others.
const MAX_SENDERS: usize = 1_024;
/// In milliseconds. A shorter time can pass between two heartbeats if one packet is lost; a longer one
/// exceeds the lifetime of messages.
const SILENCE_RANGE: std::ops::RangeInclusive<u64> = 300..=60_000;
const KEEP_MB_RANGE: std::ops::RangeInclusive<f64> = 0.1..=1e5;

impl CopiesSettings {
    /// Returns all errors, by key. `own_name` is this sender's name, if it is known.
    pub fn find_errors(&self, own_name: Option<&str>) -> Vec<String> {
        let mut errors = Vec::new();
        if self.count > MAX_COPIES {
            errors.push(format!("copies.count: {} is not within 0 to {MAX_COPIES}", self.count));
        }
        if self.senders.len() > MAX_SENDERS {
            errors.push(format!(
                "copies.senders: {} entries exceed the limit of {MAX_SENDERS}",
                self.senders.len()
            ));
        }
        if !SILENCE_RANGE.contains(&self.silence_ms) {
            errors.push(format!("copies.silence_ms: {} is not within 300 to 60000", self.silence_ms));
        }
        if !KEEP_MB_RANGE.contains(&self.keep_mb) {
            errors.push(format!("copies.keep_mb: {} is not within 0.1 to 100000", self.keep_mb));
        }
        let entry = |n: usize| format!("copies.senders, entry {}", n + 1);
        for (n, sender) in self.senders.iter().enumerate() {
            if own_name == Some(sender.name.as_str()) {
                errors.push(format!("{}: {} is this sender itself", entry(n), sender.name));
            }
            if let Some(first) = self.senders[..n].iter().position(|o| o.name == sender.name) {
                errors.push(format!("{}: {} is entry {} already", entry(n), sender.name, first + 1));
            }
            if sender.address == self.listen {
                errors.push(format!("{}: {} is where this sender listens", entry(n), sender.address));
            } else if let Some(first) = self.senders[..n].iter().position(|o| o.address == sender.address) {
                errors.push(format!(
                    "{}: {} is the address of entry {}",
                    entry(n),
                    sender.address,
                    first + 1
                ));
            }
        }
        let required = 2 * self.count;
        if self.count > 0 && self.senders.len() + 1 < required.max(2) {
            errors.push(format!(
                "copies.count: {} copies take {} senders, this one included; {} are named",
                self.count,
                required.max(2),
                self.senders.len() + 1
            ));
        }
        errors
    }

    /// Returns warnings about settings that are valid and may not be intended.
    pub fn find_warnings(&self) -> Vec<String> {
        let zones: BTreeSet<_> = self.senders.iter().filter_map(|s| s.zone.as_ref()).collect();
        let own = self.zone.as_ref();
        let has_other_zone = zones.iter().any(|z| Some(*z) != own) && (own.is_some() || zones.len() > 1);
        let mut warnings = Vec::new();
        if self.count > 0 && !has_other_zone {
            warnings.push("copies.senders: none is known to be in another zone".to_owned());
        }
        warnings
    }
}

impl fmt::Display for CopiesSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.count == 0 {
            return f.write_str("copies off");
        }
        let when_short = match self.when_short {
            WhenShort::Refuse => "refused",
            WhenShort::Accept => "accepted",
        };
        write!(
            f,
            "{} {} of each message among {} other senders; with too few replicas it is {when_short}; \
             {} MB for others",
            self.count,
            if self.count == 1 { "copy" } else { "copies" },
            self.senders.len(),
            self.keep_mb
        )
    }
}

/// The settings for the detection of failing zones by the senders of the fleet, and for their evacuation.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneSettings {
    /// Whether call results are shared with other senders, and the health of zones is logged.
    pub watch: bool,
    /// Whether a zone that is found failing is evacuated, with a step-by-step return.
    pub leave: bool,
    /// Whether a sender in an evacuated zone redirects its clients to other zones.
    pub give_way: bool,
    /// Zones that receive nothing, whatever is found.
    pub out: Vec<String>,
    /// Zones that are never evacuated.
    pub stay: Vec<String>,
    /// A destination counts as failing in a zone if at least this share of its calls there fails.
    pub share: f64,
    /// The number of destinations that must fail in a zone.
    pub destinations: usize,
    /// The number of senders that must see the zone fail; all of them in a smaller fleet.
    pub senders: usize,
    /// The number of zones in which those senders must run.
    pub from_zones: usize,
}

/// A lower share of failed calls may occur in any zone for a while; a higher one occurs only once no sender
/// calls the zone any more.
const FAILED_SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.2..=0.95;
/// The maximum length of each list of pinned zones (`out` and `stay`); the platform names few zones.
const MAX_PINNED: usize = 16;
/// A single destination, sender or zone never suffices.
const THRESHOLD_RANGE: std::ops::RangeInclusive<usize> = 2..=100;

impl Default for ZoneSettings {
    fn default() -> Self {
        let FailureThresholds { failed_share, destinations, senders, zones } = FailureThresholds::default();
        let (out, stay) = (Vec::new(), Vec::new());
        Self {
            watch: false,
            leave: false,
            give_way: false,
            out,
            stay,
            share: failed_share,
            destinations,
            senders,
            from_zones: zones,
        }
    }
}

impl ZoneSettings {
    /// Returns the thresholds for a fleet of this size.
    pub fn failure_thresholds(&self, fleet_size: usize) -> FailureThresholds {
        let senders = self.senders.min(fleet_size.max(*THRESHOLD_RANGE.start()));
        FailureThresholds {
            failed_share: self.share,
            destinations: self.destinations,
            senders,
            zones: self.from_zones,
        }
    }

    /// Returns whether any setting of the section is on.
    pub fn is_enabled(&self) -> bool {
        self.watch || self.leave || !self.out.is_empty() || !self.stay.is_empty()
    }

    /// Returns the pinned zones: `true` for those that are never evacuated, `false` for those that receive
    /// nothing.
    pub fn pinned_zones(&self) -> BTreeMap<ZoneId, bool> {
        let out = self.out.iter().map(|name| (ZoneId::from_name(name), false));
        out.chain(self.stay.iter().map(|name| (ZoneId::from_name(name), true))).collect()
    }

    /// Returns the pinned zones that the configuration does not name.
    pub fn unknown_zones<'a>(&'a self, zones: &'a [String]) -> impl Iterator<Item = &'a String> {
        self.out.iter().chain(&self.stay).filter(|name| !zones.contains(name))
    }

    fn check(&self) -> Result<(), String> {
        for (key, names) in [("out", &self.out), ("stay", &self.stay)] {
            if names.len() > MAX_PINNED {
                return Err(format!("zones.{key}: {} entries exceed the limit of {MAX_PINNED}", names.len()));
            }
            if names.iter().any(String::is_empty) {
                return Err(format!("zones.{key}: a zone without a name"));
            }
        }
        if self.give_way && !self.leave {
            return Err("zones.give_way: requires zones.leave".into());
        }
        if let Some(both) = self.out.iter().find(|name| self.stay.contains(name)) {
            return Err(format!("zones.stay: {both} is in zones.out as well"));
        }
        if !FAILED_SHARE_RANGE.contains(&self.share) {
            return Err(format!("zones.share: {} is not within 0.2 to 0.95", self.share));
        }
        for (key, n) in
            [("destinations", self.destinations), ("senders", self.senders), ("from_zones", self.from_zones)]
        {
            if !THRESHOLD_RANGE.contains(&n) {
                return Err(format!("zones.{key}: {n} is not within 2 to 100"));
            }
        }
        Ok(())
    }
}

impl fmt::Display for ZoneSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_enabled() {
            return f.write_str("zones are not watched");
        }
        write!(
            f,
            "zones are watched: a zone fails if {} destinations have a share of {} failed calls there, as \
             seen by {} senders in {} zones; {}",
            self.destinations,
            self.share,
            self.senders,
            self.from_zones,
            if self.leave { "it is evacuated, with a step-by-step return" } else { "it is only logged" }
        )?;
        if self.give_way {
            f.write_str("; senders in that zone redirect their clients to other zones")?;
        }
        for (names, description) in [(&self.out, "nothing is sent to"), (&self.stay, "never evacuated")] {
            if !names.is_empty() {
                write!(f, "; {description}: {}", names.join(", "))?;
            }
        }
        Ok(())
    }
}

/// The settings of the store of accepted messages, in the state folder.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    pub durability: Durability,
    /// The kilobytes (1024 bytes) that one step of compaction reads.
    pub step_kb: u32,
}

/// What an accepted message (answered with 202) and the record of an attempt survive.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The end of the process, also by a crash.
    #[default]
    Process,
    /// A loss of power as well: each record is synced first.
    Power,
}

/// Smaller steps let compaction fall behind; larger ones take more than two milliseconds to read and copy.
const STEP_KB_RANGE: std::ops::RangeInclusive<u32> = 4..=512;

impl Default for StoreSettings {
    fn default() -> Self {
        Self { durability: Durability::Process, step_kb: 64 }
    }
}

impl fmt::Display for StoreSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let survived = match self.durability {
            Durability::Process => "the end of the process",
            Durability::Power => "a loss of power (synced before each answer)",
        };
        write!(f, "accepted messages survive {survived}; compaction in steps of {} KiB", self.step_kb)
    }
}

impl StoreSettings {
    fn check(&self) -> Result<(), String> {
        let is_valid = STEP_KB_RANGE.contains(&self.step_kb);
        is_valid
            .then_some(())
            .ok_or_else(|| format!("store.step_kb: {} is not within 4 to 512", self.step_kb))
    }
}

/// The settings of the log, which the program writes to standard output.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    pub format: LogFormat,
    /// Whether each attempt, connection and message that ends is logged, too.
    pub detail: bool,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The settings of the flight recorder.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RecorderSettings {
    pub store: RecorderStore,
    /// The folder for segments (`store = "folder"`) and dumps.
    pub folder: Option<PathBuf>,
    /// The maximum size of a recording, in megabytes (10^6 bytes). Each dump may take as much again.
    pub limit_mb: f64,
}

/// Where a recording is kept.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RecorderStore {
    Off,
    Memory,
    Folder,
}

/// Less cannot hold the state of a sender with some hundred messages; with more the recording would hardly
/// ever wrap around.
const LIMIT_MB_RANGE: std::ops::RangeInclusive<f64> = 0.25..=1e6;

impl Default for RecorderSettings {
    fn default() -> Self {
        Self { store: RecorderStore::Off, folder: None, limit_mb: 16.0 }
    }
}

impl fmt::Display for RecorderSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let folder = self.folder.as_deref().unwrap_or(Path::new("")).display();
        match self.store {
            RecorderStore::Off => write!(f, "recorder off"),
            RecorderStore::Memory => {
                write!(f, "recorder in memory, {} MB at most, dumps in {folder}", self.limit_mb)
            }
            RecorderStore::Folder => write!(f, "recorder in {folder}, {} MB at most", self.limit_mb),
        }
    }
}

impl RecorderSettings {
    fn check(&self) -> Result<(), String> {
        if !LIMIT_MB_RANGE.contains(&self.limit_mb) {
            return Err(format!("recorder.limit_mb: {} is not within 0.25 to 1000000", self.limit_mb));
        }
        if self.store != RecorderStore::Off && self.folder.is_none() {
            return Err("recorder.folder: is missing; segments and dumps are written there".into());
        }
        Ok(())
    }

    /// Returns the limit in bytes.
    pub fn limit_bytes(&self) -> u64 {
        (self.limit_mb * 1e6) as u64
    }
}

/// Reads the file. An error names the file, and the line or the key.
pub fn read(path: &Path) -> Result<OperatorSettings, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let operator: OperatorSettings = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    operator.recorder.check().and_then(|()| operator.store.check()).map_err(|e| format!("{name}: {e}"))?;
    operator.zones.check().map_err(|e| format!("{name}: {e}"))?;
    let errors = operator.copies.as_ref().map_or_else(Vec::new, |c| c.find_errors(None));
    if !errors.is_empty() {
        return Err(errors.iter().map(|e| format!("{name}: {e}")).collect::<Vec<_>>().join("\n"));
    }
    Ok(OperatorSettings { file: Some(path.to_owned()), ..operator })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read_text(text: &str) -> Result<OperatorSettings, String> {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("notchpoint.toml");
        std::fs::write(&path, text).expect("written");
        let read = read(&path)?;
        assert_eq!(read.file, Some(path));
        Ok(OperatorSettings { file: None, ..read })
    }

    #[test]
    fn the_example_is_valid_and_enables_nothing() {
        let example = include_str!("../../../../deploy/notchpoint.toml");
        assert_eq!(read_text(example), Ok(OperatorSettings::default()));
        assert_eq!(read_text(""), Ok(OperatorSettings::default()));
    }

    #[test]
    fn all_errors_in_the_list_of_senders_are_reported_by_entry() {
        let text = "[copies]\ncount = 2\nlisten = \"127.0.0.1:1\"\n\
            [[copies.senders]]\nname = \"n1\"\naddress = \"127.0.0.1:2\"\n\
            [[copies.senders]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\n\
            [[copies.senders]]\nname = \"n0\"\naddress = \"127.0.0.1:2\"\n";
        let error = read_text(text).expect_err("errors");
        for expected in [
            "entry 2: n1 is entry 1 already",
            "entry 2: 127.0.0.1:1 is where this sender listens",
            "entry 3: 127.0.0.1:2 is the address of entry 1",
        ] {
            assert!(error.contains(expected), "{expected}: {error}");
        }
        let operator: OperatorSettings = toml::from_str(text).expect("valid TOML");
        let copies = operator.copies.expect("a copies section");
        let errors = copies.find_errors(Some("n0"));
        assert!(errors.iter().any(|e| e.contains("entry 3: n0 is this sender itself")), "{errors:?}");
        assert_eq!(copies.find_warnings(), ["copies.senders: none is known to be in another zone"]);
    }

    #[test]
    fn errors_name_the_file_and_the_line_or_key() {
        for (text, expected) in [
            ("[recorder]\nstore = \"disk\"", "line 2"),
            ("[recorder]\nstroe = \"memory\"", "line 2"),
            ("[recorders]", "line 1"),
            ("[recorder]\nstore = \"memory\"", "recorder.folder"),
            ("[recorder]\nlimit_mb = 0", "recorder.limit_mb"),
            ("[recorder]\nlimit_mb = nan", "recorder.limit_mb"),
            ("[store]\ndurability = \"disk\"", "line 2"),
            ("[store]\nstep_kb = 1", "store.step_kb"),
            ("[zones]\nwatch = 1", "line 2"),
            ("[zones]\nshare = 0.1", "zones.share"),
            ("[zones]\nsenders = 1", "zones.senders"),
            ("[zones]\nleave = \"b\"", "line 2"),
            ("[zones]\nout = [\"b\"]\nstay = [\"b\"]", "zones.stay: b"),
            ("[zones]\nout = [\"\"]", "zones.out"),
            ("[zones]\ngive_way = true", "zones.give_way"),
            ("[zones]\nfrom_zones = 0", "zones.from_zones"),
            ("[copies]\ncount = 1", "listen"),
            ("[copies]\nlisten = \"127.0.0.1:1\"\nwhen_short = \"perhaps\"", "line 3"),
            ("[copies]\nlisten = \"127.0.0.1:1\"\ncount = 4", "copies.count"),
            ("[copies]\nlisten = \"127.0.0.1:1\"\nkeep_mb = 0", "copies.keep_mb"),
            ("[copies]\nlisten = \"127.0.0.1:1\"\nsilence_ms = 5", "copies.silence_ms"),
            (
                "[copies]\nlisten = \"127.0.0.1:1\"\ncount = 1",
                "take 2 senders, this one included; 1 are named",
            ),
        ] {
            let error = read_text(text).expect_err(text);
            assert!(error.contains(expected) && error.contains("notchpoint.toml"), "{text}: {error}");
        }
    }
}
