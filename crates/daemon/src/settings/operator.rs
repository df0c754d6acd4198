//! The operator's own file: what is off unless somebody wants it. `deploy/notchpoint.toml` is an example.

use notchpoint_zones::{FailureThresholds, ZoneId};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// All that the file may set.
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
    /// Where it stands, if it was read from a file: some of it is read anew at SIGHUP.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

impl OperatorSettings {
    /// Sections that another text of the file says otherwise and that only a new process takes up.
    pub fn changes_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let same = [
            ("recorder", self.recorder == new.recorder),
            ("log", self.log == new.log),
            ("store", self.store == new.store),
            ("copies", self.copies == new.copies),
            ("zones (they were off)", self.zones.is_enabled() || !new.zones.is_enabled()),
        ];
        same.into_iter().filter(|s| !s.1).map(|s| s.0).collect()
    }
}

/// Copies of what this sender holds, at further senders.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CopiesSettings {
    /// Senders that keep a copy of each message before its client hears 202; 0 for none.
    #[serde(default)]
    pub count: usize,
    /// Where the others call.
    pub listen: SocketAddr,
    /// What a message comes to that lacks keepers.
    #[serde(default)]
    pub when_short: WhenShort,
    /// Megabytes (10^6 bytes) for copies of others' messages.
    #[serde(default = "keep_mb")]
    pub keep_mb: f64,
    /// Where this sender stands; without it, the configuration's locality.
    pub zone: Option<String>,
    /// Senders of another installation are turned down.
    #[serde(default)]
    pub installation: String,
    /// The shortest silence, in milliseconds, after which another sender may be taken for gone.
    #[serde(default = "silence_ms")]
    pub silence_ms: u64,
    /// The others.
    #[serde(default)]
    pub senders: Vec<PeerSettings>,
}

/// Another sender, as this one reaches it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    pub name: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
}

/// What a message comes to that lacks keepers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WhenShort {
    /// Its client is told when to come back.
    #[default]
    Refuse,
    /// It is taken on, and the log says how many were.
    Accept,
}

fn keep_mb() -> f64 {
    64.0
}

fn silence_ms() -> u64 {
    1_500
}

/// More copies cost each message as many waits; more than this nobody has asked for.
const MOST_COPIES: usize = 3;
/// A sender holds links to each of the others at most.
const MOST_SENDERS: usize = 1_024;
/// Less is within one beat and a lost packet; more is longer than messages live.
const SILENCE: std::ops::RangeInclusive<u64> = 300..=60_000;
const KEEP: std::ops::RangeInclusive<f64> = 0.1..=1e5;

impl CopiesSettings {
    /// All that is wrong, by key. `name` is this sender's, where it is known.
    pub fn find_errors(&self, name: Option<&str>) -> Vec<String> {
        let mut wrong = Vec::new();
        if self.count > MOST_COPIES {
            wrong.push(format!("copies.count: {} is not within 0 to {MOST_COPIES}", self.count));
        }
        if self.senders.len() > MOST_SENDERS {
            wrong.push(format!("copies.senders: {} are over {MOST_SENDERS}", self.senders.len()));
        }
        if !SILENCE.contains(&self.silence_ms) {
            wrong.push(format!("copies.silence_ms: {} is not within 300 to 60000", self.silence_ms));
        }
        if !KEEP.contains(&self.keep_mb) {
            wrong.push(format!("copies.keep_mb: {} is not within 0.1 to 100000", self.keep_mb));
        }
        let place = |n: usize| format!("copies.senders, entry {}", n + 1);
        for (n, s) in self.senders.iter().enumerate() {
            if name == Some(s.name.as_str()) {
                wrong.push(format!("{}: {} is this sender itself", place(n), s.name));
            }
            if let Some(first) = self.senders[..n].iter().position(|o| o.name == s.name) {
                wrong.push(format!("{}: {} stands in entry {} already", place(n), s.name, first + 1));
            }
            if s.address == self.listen {
                wrong.push(format!("{}: {} is where this sender listens", place(n), s.address));
            } else if let Some(first) = self.senders[..n].iter().position(|o| o.address == s.address) {
                wrong.push(format!("{}: {} is the address of entry {}", place(n), s.address, first + 1));
            }
        }
        let needed = 2 * self.count;
        if self.count > 0 && self.senders.len() + 1 < needed.max(2) {
            wrong.push(format!(
                "copies.count: {} copies take {} senders, this one included; {} are named",
                self.count,
                needed.max(2),
                self.senders.len() + 1
            ));
        }
        wrong
    }

    /// What is sound, and may not be meant.
    pub fn find_warnings(&self) -> Vec<String> {
        let zones: BTreeSet<_> = self.senders.iter().filter_map(|s| s.zone.as_ref()).collect();
        let own = self.zone.as_ref();
        let apart = zones.iter().any(|z| Some(*z) != own) && (own.is_some() || zones.len() > 1);
        let mut doubts = Vec::new();
        if self.count > 0 && !apart {
            doubts.push("copies.senders: none is known to stand in another zone".to_owned());
        }
        doubts
    }
}

impl fmt::Display for CopiesSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.count == 0 {
            return f.write_str("copies off");
        }
        let short = match self.when_short {
            WhenShort::Refuse => "refused",
            WhenShort::Accept => "taken on all the same",
        };
        write!(
            f,
            "{} {} of each message among {} other senders; short of keepers it is {short}; {} MB for others",
            self.count,
            if self.count == 1 { "copy" } else { "copies" },
            self.senders.len(),
            self.keep_mb
        )
    }
}

/// Zones that fail, as the senders of the fleet find together.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneSettings {
    /// Calls' ends are pooled with other senders', and what is found of zones is said.
    pub watch: bool,
    /// A zone that is found failing is left, and returned to step by step.
    pub leave: bool,
    /// A sender that stands in a zone that is left sends its clients elsewhere.
    pub give_way: bool,
    /// Zones that get nothing, whatever is found, and those that are never left.
    pub out: Vec<String>,
    /// See `out`.
    pub stay: Vec<String>,
    /// A destination fails in a zone where this share of its calls does, at least.
    pub share: f64,
    /// A zone fails where so many destinations do,
    pub destinations: usize,
    /// as so many senders see (all, where there are fewer),
    pub senders: usize,
    /// that stand in so many zones.
    pub from_zones: usize,
}

/// Less is what any zone has on a bad day; all calls fail only where nobody tries any more.
const SHARE_FAILING: std::ops::RangeInclusive<f64> = 0.2..=0.95;
/// The platform names few zones.
const MOST_PINNED: usize = 16;
/// One destination, sender or zone is never enough.
const ENOUGH: std::ops::RangeInclusive<usize> = 2..=100;

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
    /// What a fleet of so many senders goes by.
    pub fn failure_thresholds(&self, fleet: usize) -> FailureThresholds {
        let senders = self.senders.min(fleet.max(*ENOUGH.start()));
        FailureThresholds {
            failed_share: self.share,
            destinations: self.destinations,
            senders,
            zones: self.from_zones,
        }
    }

    /// Whether anything of it is wanted.
    pub fn is_enabled(&self) -> bool {
        self.watch || self.leave || !self.out.is_empty() || !self.stay.is_empty()
    }

    /// Zones that are pinned, and whether they stay.
    pub fn pinned_zones(&self) -> BTreeMap<ZoneId, bool> {
        let out = self.out.iter().map(|name| (ZoneId::from_name(name), false));
        out.chain(self.stay.iter().map(|name| (ZoneId::from_name(name), true))).collect()
    }

    /// Zones that are pinned and that the configuration does not name.
    pub fn unknown_zones<'a>(&'a self, zones: &'a [String]) -> impl Iterator<Item = &'a String> {
        self.out.iter().chain(&self.stay).filter(|name| !zones.contains(name))
    }

    fn check(&self) -> Result<(), String> {
        for (key, names) in [("out", &self.out), ("stay", &self.stay)] {
            if names.len() > MOST_PINNED {
                return Err(format!("zones.{key}: {} are over {MOST_PINNED}", names.len()));
            }
            if names.iter().any(String::is_empty) {
                return Err(format!("zones.{key}: a zone without a name"));
            }
        }
        if self.give_way && !self.leave {
            return Err("zones.give_way: goes with zones.leave".into());
        }
        if let Some(both) = self.out.iter().find(|name| self.stay.contains(name)) {
            return Err(format!("zones.stay: {both} stands in zones.out as well"));
        }
        if !SHARE_FAILING.contains(&self.share) {
            return Err(format!("zones.share: {} is not within 0.2 to 0.95", self.share));
        }
        for (key, n) in
            [("destinations", self.destinations), ("senders", self.senders), ("from_zones", self.from_zones)]
        {
            if !ENOUGH.contains(&n) {
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
            "zones are watched: one fails where {} destinations lose {} of their calls, as {} senders in \
             {} zones see; {}",
            self.destinations,
            self.share,
            self.senders,
            self.from_zones,
            if self.leave { "it is left, and returned to step by step" } else { "nothing is done about it" }
        )?;
        if self.give_way {
            f.write_str("; a sender that stands there sends its clients elsewhere")?;
        }
        for (names, what) in [(&self.out, "nothing goes to"), (&self.stay, "never left")] {
            if !names.is_empty() {
                write!(f, "; {what}: {}", names.join(", "))?;
            }
        }
        Ok(())
    }
}

/// The store of what was taken on, in the folder that outlasts the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
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

impl Default for StoreSettings {
    fn default() -> Self {
        Self { durability: Durability::Process, step_kb: 64 }
    }
}

impl fmt::Display for StoreSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outlasts = match self.durability {
            Durability::Process => "the process",
            Durability::Power => "a loss of power (synced before each answer)",
        };
        write!(f, "what is taken on outlasts {outlasts}; compaction by {} KiB", self.step_kb)
    }
}

impl StoreSettings {
    fn check(&self) -> Result<(), String> {
        let fits = STEP.contains(&self.step_kb);
        fits.then_some(()).ok_or_else(|| format!("store.step_kb: {} is not within 4 to 512", self.step_kb))
    }
}

/// The program's log, on standard output.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    pub format: LogFormat,
    /// Each attempt, connection and message that ends has a line too.
    pub detail: bool,
}

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The flight recorder.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RecorderSettings {
    pub store: RecorderStore,
    /// Where segments (`store = "folder"`) and dumps lie.
    pub folder: Option<PathBuf>,
    /// What a recording takes at most, in megabytes (10^6 bytes). Each dump takes as much again.
    pub limit_mb: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RecorderStore {
    Off,
    Memory,
    Folder,
}

/// Less holds no state of a sender with some hundred messages; more than this is no ring.
const LIMIT: std::ops::RangeInclusive<f64> = 0.25..=1e6;

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
                write!(f, "recorder in memory, {} MB at most, dumps to {folder}", self.limit_mb)
            }
            RecorderStore::Folder => write!(f, "recorder in {folder}, {} MB at most", self.limit_mb),
        }
    }
}

impl RecorderSettings {
    fn check(&self) -> Result<(), String> {
        if !LIMIT.contains(&self.limit_mb) {
            return Err(format!("recorder.limit_mb: {} is not within 0.25 to 1000000", self.limit_mb));
        }
        if self.store != RecorderStore::Off && self.folder.is_none() {
            return Err("recorder.folder: is missing; segments and dumps need a place".into());
        }
        Ok(())
    }

    /// The limit in bytes.
    pub fn limit_bytes(&self) -> u64 {
        (self.limit_mb * 1e6) as u64
    }
}

/// Reads the file. Errors name it, and the line.
pub fn read(path: &Path) -> Result<OperatorSettings, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let operator: OperatorSettings = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    operator.recorder.check().and_then(|()| operator.store.check()).map_err(|e| format!("{name}: {e}"))?;
    operator.zones.check().map_err(|e| format!("{name}: {e}"))?;
    let wrong = operator.copies.as_ref().map_or_else(Vec::new, |c| c.find_errors(None));
    if !wrong.is_empty() {
        return Err(wrong.iter().map(|w| format!("{name}: {w}")).collect::<Vec<_>>().join("\n"));
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
    fn the_example_is_sound_and_switches_nothing_on() {
        let example = include_str!("../../../../deploy/notchpoint.toml");
        assert_eq!(read_text(example), Ok(OperatorSettings::default()));
        assert_eq!(read_text(""), Ok(OperatorSettings::default()));
    }

    #[test]
    fn mistakes_among_the_senders_are_all_said_by_their_place() {
        let text = "[copies]\ncount = 2\nlisten = \"127.0.0.1:1\"\n\
            [[copies.senders]]\nname = \"n1\"\naddress = \"127.0.0.1:2\"\n\
            [[copies.senders]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\n\
            [[copies.senders]]\nname = \"n0\"\naddress = \"127.0.0.1:2\"\n";
        let error = read_text(text).expect_err("mistakes");
        for said in [
            "entry 2: n1 stands in entry 1 already",
            "entry 2: 127.0.0.1:1 is where this sender listens",
            "entry 3: 127.0.0.1:2 is the address of entry 1",
        ] {
            assert!(error.contains(said), "{said}: {error}");
        }
        let copies: OperatorSettings = toml::from_str(text).expect("a form");
        let copies = copies.copies.expect("a part");
        let wrong = copies.find_errors(Some("n0"));
        assert!(wrong.iter().any(|w| w.contains("entry 3: n0 is this sender itself")), "{wrong:?}");
        assert_eq!(copies.find_warnings(), ["copies.senders: none is known to stand in another zone"]);
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
            assert!(error.contains(said) && error.contains("notchpoint.toml"), "{text}: {error}");
        }
    }
}
