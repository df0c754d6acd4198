//! Counts what all senders of a fleet did, by second and destination, summed over their recordings.
//!
//! Senders that behave well on their own can do harm together if they act at the same time, and no recording
//! of a single sender shows this. The counts are taken from the recorded events and actions without a replay,
//! so recordings of any build with this format can be read.

use crate::format::{Damage, Record, Recording, SegmentStart, Turn};
use notchpoint_policy::{
    Action, DestinationId, EndpointId, Event, ListUpdate, MessageId, Micros, Outcome, Settings,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// The maximum number of cells (second and destination); a day of a hundred destinations would fill them.
/// Counts for further cells are dropped and reported as left out.
const MAX_CELLS: usize = 1 << 20;

/// The counts of one second and destination, over all senders.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DestinationCounts {
    /// Messages accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Calls started. A bundle is one call.
    pub calls: u64,
    /// Messages in the started calls.
    pub messages: u64,
    /// Calls that ended as served.
    pub served: u64,
    /// Calls that were refused as full.
    pub full: u64,
    /// Calls that timed out.
    pub timed_out: u64,
    /// Calls that failed to connect.
    pub unconnected: u64,
    /// Calls that ended with a reset.
    pub reset: u64,
    /// Calls that ended in any other way.
    pub other: u64,
    /// Messages that were refused or failed.
    pub ended: u64,
    /// Idle connections that the decision module closed.
    pub closed: u64,
    /// Idle connections that ended on their own.
    pub idle_ended: u64,
    /// Senders that started calls to the destination.
    pub senders: BTreeSet<u32>,
}

/// The counts of one second that belong to no destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SharedCounts {
    /// Watches and fetches of the endpoint list that were started.
    #[serde(rename = "asked")]
    pub list_requests: u64,
    /// Watches and fetches that failed or were interrupted.
    pub unavailable: u64,
    /// Complete lists received.
    #[serde(rename = "whole")]
    pub full_lists: u64,
    /// Changes of the list received.
    pub changes: u64,
    /// Entries in the lists and changes.
    pub entries: u64,
    /// Notes sent, to one sender or to all.
    pub notes: u64,
    /// Bytes of the notes sent.
    pub note_bytes: u64,
    /// Notes received.
    #[serde(rename = "heard")]
    pub notes_received: u64,
}

/// The changes of a zone's share in one second, over all senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneCounts {
    /// Changes to a share of nothing.
    #[serde(rename = "left")]
    pub evacuated: u64,
    /// Changes to a part of the share.
    #[serde(rename = "part")]
    pub partial: u64,
    /// Changes to the whole share.
    #[serde(rename = "whole")]
    pub full: u64,
    /// Probes of the zone.
    #[serde(rename = "tries")]
    pub probes: u64,
}

/// The counts of a fleet.
#[derive(Debug, Default)]
pub struct FleetCounts {
    /// By Unix second and the zone's index in the configuration.
    zones: BTreeMap<(u64, u32), ZoneCounts>,
    /// By Unix second and destination.
    cells: BTreeMap<(u64, DestinationId), DestinationCounts>,
    /// By Unix second.
    shared: BTreeMap<u64, SharedCounts>,
    /// Senders whose recordings were read.
    senders: u32,
    /// Counts that were dropped because there were too many cells.
    left_out: u64,
}

/// The state of a process while its recording is read.
#[derive(Default)]
struct Process {
    sender: u32,
    /// Unix time minus the module's clock in microseconds.
    unix_offset: i128,
    /// Whether each kind bundles messages, by index.
    bundles: Vec<bool>,
    /// The destination and the kind of each listed endpoint.
    endpoints: BTreeMap<EndpointId, (DestinationId, u32)>,
    /// The destination of each open message.
    messages: BTreeMap<MessageId, DestinationId>,
    /// Calls in flight, by message and attempt: the destination, and whether the message is the first of its
    /// call. Only the first message of a bundle counts the end of the call.
    calls: BTreeMap<(MessageId, u32), (DestinationId, bool)>,
    /// The number of attempts made for each open message.
    attempts: BTreeMap<MessageId, u32>,
}

impl Process {
    /// Updates the endpoints. Returns the number of entries.
    fn update_endpoints(&mut self, update: &ListUpdate) -> usize {
        let (ListUpdate::Whole(entries) | ListUpdate::Changes(entries) | ListUpdate::Restored(entries)) =
            update
        else {
            return 0;
        };
        self.endpoints.extend(entries.iter().map(|e| (e.endpoint, (e.dest, e.kind))));
        entries.len()
    }

    fn forget(&mut self, id: MessageId) {
        self.messages.remove(&id);
        self.attempts.remove(&id);
    }
}

impl FleetCounts {
    /// Counts the recording of one sender and returns its damage. Records before and after a damaged part are
    /// counted.
    pub fn add_recording(&mut self, bytes: &[u8]) -> Vec<Damage> {
        let recording = Recording::read(bytes);
        let mut damage = recording.damage.clone();
        if recording.segments.is_empty() {
            return damage;
        }
        self.senders += 1;
        let mut run = None;
        let mut process = Process::default();
        for segment in &recording.segments {
            let header = &segment.header;
            if run.replace(header.run) != Some(header.run) {
                process = Process { sender: self.senders, ..Process::default() };
            }
            process.unix_offset = i128::from(header.unix) - i128::from(header.at);
            if let SegmentStart::Fresh { settings, .. } = &header.start {
                process.bundles = bundles_by_kind(settings);
            }
            let mut records = segment.records();
            for record in &mut records {
                match record {
                    Record::Turn(turn) => self.count_turn(&mut process, &turn),
                    Record::Clock { at, unix } => process.unix_offset = i128::from(unix) - i128::from(at),
                    Record::Header(_) | Record::Name(..) => {}
                }
            }
            damage.extend(records.damage);
        }
        damage
    }

    fn count_turn(&mut self, process: &mut Process, turn: &Turn) {
        let second = unix_second(process.unix_offset, turn.at);
        for e in &turn.events {
            self.count_event(process, second, e);
        }
        let mut bundled = BTreeSet::new();
        for a in &turn.actions {
            self.count_action(process, second, a, &mut bundled);
        }
    }

    fn count_event(&mut self, process: &mut Process, second: u64, event: &Event) {
        match event {
            Event::Taken(m) | Event::Resumed { message: m, .. } => {
                process.messages.insert(m.id, m.dest);
                let attempts = if let Event::Resumed { attempts, .. } = event { *attempts } else { 0 };
                process.attempts.insert(m.id, attempts);
                self.count_cell(second, m.dest, |c| c.accepted += 1);
            }
            Event::Ended { id, attempt, outcome, is_final, .. } => {
                if let Some((dest, true)) = process.calls.remove(&(*id, *attempt)) {
                    self.count_cell(second, dest, |c| match outcome {
                        Outcome::Served => c.served += 1,
                        Outcome::Full { .. } => c.full += 1,
                        Outcome::TimedOut => c.timed_out += 1,
                        Outcome::ConnectFailed => c.unconnected += 1,
                        Outcome::Reset => c.reset += 1,
                        _ => c.other += 1,
                    });
                }
                if *is_final || *outcome == Outcome::Served {
                    process.forget(*id);
                }
            }
            Event::Withdrawn(id) => process.forget(*id),
            Event::Closed(endpoint) => {
                if let Some((dest, _)) = process.endpoints.get(endpoint).copied() {
                    self.count_cell(second, dest, |c| c.idle_ended += 1);
                }
            }
            Event::List(update) => {
                let entries = process.update_endpoints(update) as u64;
                let counts = self.shared.entry(second).or_default();
                match update {
                    ListUpdate::Unavailable => counts.unavailable += 1,
                    ListUpdate::Whole(_) => counts.full_lists += 1,
                    ListUpdate::Changes(_) => counts.changes += 1,
                    ListUpdate::Restored(_) => return,
                }
                counts.entries += entries;
            }
            Event::Note { .. } => self.shared.entry(second).or_default().notes_received += 1,
            Event::Wake | Event::Unused(_) | Event::Probed { .. } => {}
            Event::Service { .. } | Event::Settings(_) => {}
            Event::Zone { zone, share, probe, .. } => self.count_zone(second, *zone, *share, *probe),
        }
    }

    fn count_zone(&mut self, second: u64, zone: u32, share: f64, is_probe: bool) {
        let key = (second, zone);
        if self.zones.len() >= MAX_CELLS && !self.zones.contains_key(&key) {
            self.left_out += 1;
            return;
        }
        let counts = self.zones.entry(key).or_default();
        let count = match share {
            _ if is_probe => &mut counts.probes,
            s if s <= 0.0 => &mut counts.evacuated,
            s if s < 1.0 => &mut counts.partial,
            _ => &mut counts.full,
        };
        *count += 1;
    }

    fn count_action(
        &mut self,
        process: &mut Process,
        second: u64,
        action: &Action,
        bundled: &mut BTreeSet<EndpointId>,
    ) {
        match action {
            Action::Send { id, endpoint, .. } => {
                let Some((dest, kind)) = process.endpoints.get(endpoint).copied() else { return };
                // The messages sent to one endpoint in one turn are one call if its kind bundles messages.
                let bundles = process.bundles.get(kind as usize).copied().unwrap_or(false);
                let is_first = bundled.insert(*endpoint) || !bundles;
                let attempt = process.attempts.entry(*id).or_default();
                process.calls.insert((*id, *attempt), (dest, is_first));
                *attempt += 1;
                let sender = process.sender;
                self.count_cell(second, dest, |c| {
                    c.calls += u64::from(is_first);
                    c.messages += 1;
                    c.senders.insert(sender);
                });
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                if let Some(dest) = process.messages.get(id).copied() {
                    self.count_cell(second, dest, |c| c.ended += 1);
                }
                process.forget(*id);
            }
            Action::CloseIdle { endpoint } => {
                if let Some((dest, _)) = process.endpoints.get(endpoint).copied() {
                    self.count_cell(second, dest, |c| c.closed += 1);
                }
            }
            Action::Watch | Action::Fetch => self.shared.entry(second).or_default().list_requests += 1,
            Action::Note { body, .. } => {
                let counts = self.shared.entry(second).or_default();
                (counts.notes, counts.note_bytes) = (counts.notes + 1, counts.note_bytes + body.len() as u64);
            }
            Action::Cancel { .. } | Action::WakeAt(_) | Action::Probe { .. } | Action::Log(_) => {}
        }
    }

    fn count_cell(&mut self, second: u64, dest: DestinationId, count: impl FnOnce(&mut DestinationCounts)) {
        let key = (second, dest);
        if self.cells.len() >= MAX_CELLS && !self.cells.contains_key(&key) {
            self.left_out += 1;
            return;
        }
        count(self.cells.entry(key).or_default());
    }

    /// Returns the number of senders whose recordings were read.
    pub fn senders(&self) -> u32 {
        self.senders
    }

    /// Returns the number of counts that were left out because there were too many cells.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Returns the counts by Unix second and destination.
    pub fn by_destination(&self) -> impl Iterator<Item = (u64, DestinationId, &DestinationCounts)> {
        self.cells.iter().map(|((s, d), c)| (*s, *d, c))
    }

    /// Returns the counts that belong to no destination, by Unix second.
    pub fn shared(&self) -> impl Iterator<Item = (u64, &SharedCounts)> {
        self.shared.iter().map(|(s, c)| (*s, c))
    }

    /// Returns the counts of zones by Unix second and the zone's index in the configuration.
    pub fn by_zone(&self) -> impl Iterator<Item = (u64, u32, &ZoneCounts)> {
        self.zones.iter().map(|((s, z), c)| (*s, *z, c))
    }

    /// Formats the counts of one destination, or of all, as tables. Seconds are counted from the first one.
    pub fn text(&self, dest: Option<DestinationId>) -> String {
        let seconds = self.cells.keys().map(|k| k.0).chain(self.shared.keys().copied());
        let first = seconds.chain(self.zones.keys().map(|k| k.0)).min().unwrap_or(0);
        let mut out = format!("{} senders, from Unix second {first} on\n", self.senders);
        let _ = writeln!(
            out,
            "{:>4} {:>5} {:>6} {:>6} {:>8} {:>6} {:>6} {:>5} {:>6} {:>5} {:>5} {:>6} {:>6} {:>6} {:>7}",
            "s",
            "dest",
            "taken",
            "calls",
            "messages",
            "served",
            "full",
            "t/o",
            "unconn",
            "reset",
            "other",
            "ended",
            "closed",
            "idle",
            "senders"
        );
        for ((second, cell_dest), counts) in
            self.cells.iter().filter(|((_, d), _)| dest.is_none_or(|only| only == *d))
        {
            let _ = writeln!(
                out,
                "{:>4} {:>5} {:>6} {:>6} {:>8} {:>6} {:>6} {:>5} {:>6} {:>5} {:>5} {:>6} {:>6} {:>6} {:>7}",
                second - first,
                cell_dest.0,
                counts.accepted,
                counts.calls,
                counts.messages,
                counts.served,
                counts.full,
                counts.timed_out,
                counts.unconnected,
                counts.reset,
                counts.other,
                counts.ended,
                counts.closed,
                counts.idle_ended,
                counts.senders.len()
            );
        }
        let _ = writeln!(
            out,
            "{:>4} {:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6}",
            "s", "asked", "failed", "whole", "changes", "entries", "notes", "bytes", "heard"
        );
        for (second, counts) in &self.shared {
            let _ = writeln!(
                out,
                "{:>4} {:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6}",
                second - first,
                counts.list_requests,
                counts.unavailable,
                counts.full_lists,
                counts.changes,
                counts.entries,
                counts.notes,
                counts.note_bytes,
                counts.notes_received
            );
        }
        if !self.zones.is_empty() {
            let _ = writeln!(
                out,
                "{:>4} {:>5} {:>6} {:>6} {:>6} {:>6}",
                "s", "zone", "left", "part", "whole", "tries"
            );
        }
        for ((second, zone), counts) in &self.zones {
            let _ = writeln!(
                out,
                "{:>4} {zone:>5} {:>6} {:>6} {:>6} {:>6}",
                second - first,
                counts.evacuated,
                counts.partial,
                counts.full,
                counts.probes
            );
        }
        if self.left_out > 0 {
            let _ = writeln!(
                out,
                "{} counts are left out: there are too many seconds and destinations",
                self.left_out
            );
        }
        out
    }
}

fn bundles_by_kind(settings: &Settings) -> Vec<bool> {
    settings.kinds.iter().map(|k| k.max_bundle > 1).collect()
}

fn unix_second(unix_offset: i128, at: Micros) -> u64 {
    u64::try_from((unix_offset + i128::from(at)) / 1_000_000).unwrap_or(0)
}
