//! What all senders of a fleet did together: by second and destination, summed over their recordings.
//!
//! A sender that behaves well alone can do harm in step with others, and no recording of one shows it. The
//! counts are of what was recorded, not played again, so recordings of any build with this form can be read.

use crate::format::{Damage, Record, Recording, SegmentStart, Turn};
use notchpoint_policy::{
    Action, DestinationId, EndpointId, Event, ListUpdate, MessageId, Micros, Outcome, Settings,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Cells (second and destination) that are counted at most: a day of a hundred destinations would fill
/// them. What comes for further ones is said to be left out, not guessed.
const CELLS: usize = 1 << 20;

/// What was counted in a second of a destination, over all senders.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DestinationCounts {
    /// Messages taken on.
    pub taken: u64,
    /// Calls started; of a bundle it is one.
    pub calls: u64,
    /// Messages in them.
    pub messages: u64,
    /// Calls by how they ended: served, refused as full, timed out, not connected, reset, else.
    pub served: u64,
    /// See `served`.
    pub full: u64,
    /// See `served`.
    pub timed_out: u64,
    /// See `served`.
    pub unconnected: u64,
    /// See `served`.
    pub reset: u64,
    /// See `served`.
    pub other: u64,
    /// Messages refused or given up.
    pub ended: u64,
    /// Connections closed by decision, and idle ones that ended.
    pub closed: u64,
    /// See `closed`.
    pub idle_ended: u64,
    /// Senders that started calls here.
    pub senders: BTreeSet<u32>,
}

/// What was counted in a second that belongs to no destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SharedCounts {
    /// Watches or fetches of the list begun, and those that failed or broke.
    #[serde(rename = "asked")]
    pub list_requests: u64,
    /// See `asked`.
    pub unavailable: u64,
    /// Lists that came: whole ones, and changes.
    pub whole: u64,
    /// See `whole`.
    pub changes: u64,
    /// Entries in them.
    pub entries: u64,
    /// Notes written, to one or all, and their bytes; and notes that arrived.
    pub notes: u64,
    /// See `notes`.
    pub note_bytes: u64,
    /// See `notes`.
    #[serde(rename = "heard")]
    pub notes_received: u64,
}

/// What senders were told of a zone in a second: how many took it to nothing, to a part of its share, to the
/// whole, and how many turns to try there were.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneCounts {
    /// Nothing is sent there from now on.
    #[serde(rename = "left")]
    pub evacuated: u64,
    /// A part of its share is.
    #[serde(rename = "part")]
    pub partial: u64,
    /// All of it is.
    pub whole: u64,
    /// Turns to try.
    #[serde(rename = "tries")]
    pub probes: u64,
}

/// The counts of a fleet.
#[derive(Debug, Default)]
pub struct FleetCounts {
    zones: BTreeMap<(u64, u32), ZoneCounts>,
    cells: BTreeMap<(u64, DestinationId), DestinationCounts>,
    common: BTreeMap<u64, SharedCounts>,
    senders: u32,
    left_out: u64,
}

/// A process as far as it was read.
#[derive(Default)]
struct Process {
    sender: u32,
    /// Unix time less the module's clock.
    offset: i128,
    bundles: Vec<bool>,
    endpoints: BTreeMap<EndpointId, (DestinationId, u32)>,
    messages: BTreeMap<MessageId, DestinationId>,
    /// Calls that are out, by message and attempt: none but the first message of a bundle tells of it.
    calls: BTreeMap<(MessageId, u32), (DestinationId, bool)>,
    attempts: BTreeMap<MessageId, u32>,
}

impl Process {
    fn list(&mut self, news: &ListUpdate) -> usize {
        let (ListUpdate::Whole(all) | ListUpdate::Changes(all) | ListUpdate::Restored(all)) = news else {
            return 0;
        };
        self.endpoints.extend(all.iter().map(|e| (e.endpoint, (e.dest, e.kind))));
        all.len()
    }

    fn forget(&mut self, id: MessageId) {
        self.messages.remove(&id);
        self.attempts.remove(&id);
    }
}

impl FleetCounts {
    /// Counts one sender's recording; gives what is wrong with it. What is whole before and behind a damaged
    /// place counts.
    pub fn add_recording(&mut self, bytes: &[u8]) -> Vec<Damage> {
        let recording = Recording::read(bytes);
        let mut damage = recording.damage.clone();
        if recording.segments.is_empty() {
            return damage;
        }
        self.senders += 1;
        let mut run = None;
        let mut p = Process::default();
        for segment in &recording.segments {
            let h = &segment.header;
            if run.replace(h.run) != Some(h.run) {
                p = Process { sender: self.senders, ..Process::default() };
            }
            p.offset = i128::from(h.unix) - i128::from(h.at);
            if let SegmentStart::Fresh { settings, .. } = &h.start {
                p.bundles = bundles(settings);
            }
            let mut records = segment.records();
            for record in &mut records {
                match record {
                    Record::Turn(turn) => self.turn(&mut p, &turn),
                    Record::Clock { at, unix } => p.offset = i128::from(unix) - i128::from(at),
                    Record::Header(_) | Record::Name(..) => {}
                }
            }
            damage.extend(records.damage);
        }
        damage
    }

    fn turn(&mut self, p: &mut Process, turn: &Turn) {
        let second = second(p.offset, turn.at);
        for e in &turn.events {
            self.event(p, second, e);
        }
        let mut bundled = BTreeSet::new();
        for a in &turn.actions {
            self.action(p, second, a, &mut bundled);
        }
    }

    fn event(&mut self, p: &mut Process, second: u64, event: &Event) {
        match event {
            Event::Taken(m) | Event::Resumed { message: m, .. } => {
                p.messages.insert(m.id, m.dest);
                let before = if let Event::Resumed { attempts, .. } = event { *attempts } else { 0 };
                p.attempts.insert(m.id, before);
                self.cell(second, m.dest, |c| c.taken += 1);
            }
            Event::Ended { id, attempt, outcome, is_final, .. } => {
                if let Some((dest, true)) = p.calls.remove(&(*id, *attempt)) {
                    self.cell(second, dest, |c| match outcome {
                        Outcome::Served => c.served += 1,
                        Outcome::Full { .. } => c.full += 1,
                        Outcome::TimedOut => c.timed_out += 1,
                        Outcome::ConnectFailed => c.unconnected += 1,
                        Outcome::Reset => c.reset += 1,
                        _ => c.other += 1,
                    });
                }
                if *is_final || *outcome == Outcome::Served {
                    p.forget(*id);
                }
            }
            Event::Withdrawn(id) => p.forget(*id),
            Event::Closed(endpoint) => {
                if let Some((dest, _)) = p.endpoints.get(endpoint).copied() {
                    self.cell(second, dest, |c| c.idle_ended += 1);
                }
            }
            Event::List(news) => {
                let entries = p.list(news) as u64;
                let c = self.common.entry(second).or_default();
                match news {
                    ListUpdate::Unavailable => c.unavailable += 1,
                    ListUpdate::Whole(_) => c.whole += 1,
                    ListUpdate::Changes(_) => c.changes += 1,
                    ListUpdate::Restored(_) => return,
                }
                c.entries += entries;
            }
            Event::Note { .. } => self.common.entry(second).or_default().notes_received += 1,
            Event::Wake | Event::Unused(_) | Event::Probed { .. } => {}
            Event::Service { .. } | Event::Settings(_) => {}
            Event::Zone { zone, share, probe, .. } => self.zone(second, *zone, *share, *probe),
        }
    }

    fn zone(&mut self, second: u64, zone: u32, share: f64, tries: bool) {
        let key = (second, zone);
        if self.zones.len() >= CELLS && !self.zones.contains_key(&key) {
            self.left_out += 1;
            return;
        }
        let z = self.zones.entry(key).or_default();
        let count = match share {
            _ if tries => &mut z.probes,
            s if s <= 0.0 => &mut z.evacuated,
            s if s < 1.0 => &mut z.partial,
            _ => &mut z.whole,
        };
        *count += 1;
    }

    fn action(&mut self, p: &mut Process, second: u64, action: &Action, bundled: &mut BTreeSet<EndpointId>) {
        match action {
            Action::Send { id, endpoint, .. } => {
                let Some((dest, kind)) = p.endpoints.get(endpoint).copied() else { return };
                // Sends of one turn to one endpoint are one call where the kind bundles.
                let bundles = p.bundles.get(kind as usize).copied().unwrap_or(false);
                let first = bundled.insert(*endpoint) || !bundles;
                let n = p.attempts.entry(*id).or_default();
                p.calls.insert((*id, *n), (dest, first));
                *n += 1;
                let sender = p.sender;
                self.cell(second, dest, |c| {
                    c.calls += u64::from(first);
                    c.messages += 1;
                    c.senders.insert(sender);
                });
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                if let Some(dest) = p.messages.get(id).copied() {
                    self.cell(second, dest, |c| c.ended += 1);
                }
                p.forget(*id);
            }
            Action::CloseIdle { endpoint } => {
                if let Some((dest, _)) = p.endpoints.get(endpoint).copied() {
                    self.cell(second, dest, |c| c.closed += 1);
                }
            }
            Action::Watch | Action::Fetch => self.common.entry(second).or_default().list_requests += 1,
            Action::Note { body, .. } => {
                let c = self.common.entry(second).or_default();
                (c.notes, c.note_bytes) = (c.notes + 1, c.note_bytes + body.len() as u64);
            }
            Action::Cancel { .. } | Action::WakeAt(_) | Action::Probe { .. } | Action::Log(_) => {}
        }
    }

    fn cell(&mut self, second: u64, dest: DestinationId, count: impl FnOnce(&mut DestinationCounts)) {
        let key = (second, dest);
        if self.cells.len() >= CELLS && !self.cells.contains_key(&key) {
            self.left_out += 1;
            return;
        }
        count(self.cells.entry(key).or_default());
    }

    /// Senders that were read.
    pub fn senders(&self) -> u32 {
        self.senders
    }

    /// Counts that found no room.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// The cells, by Unix second and destination.
    pub fn by_destination(&self) -> impl Iterator<Item = (u64, DestinationId, &DestinationCounts)> {
        self.cells.iter().map(|((s, d), c)| (*s, *d, c))
    }

    /// What belongs to no destination, by Unix second.
    pub fn shared(&self) -> impl Iterator<Item = (u64, &SharedCounts)> {
        self.common.iter().map(|(s, c)| (*s, c))
    }

    /// What senders were told of zones, by Unix second and the zone's place in the configuration.
    pub fn by_zone(&self) -> impl Iterator<Item = (u64, u32, &ZoneCounts)> {
        self.zones.iter().map(|((s, z), c)| (*s, *z, c))
    }

    /// The tables for people; seconds count from the first one. Of one destination, or of all.
    pub fn text(&self, dest: Option<DestinationId>) -> String {
        let seconds = self.cells.keys().map(|k| k.0).chain(self.common.keys().copied());
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
        for ((s, d), c) in self.cells.iter().filter(|((_, d), _)| dest.is_none_or(|only| only == *d)) {
            let _ = writeln!(
                out,
                "{:>4} {:>5} {:>6} {:>6} {:>8} {:>6} {:>6} {:>5} {:>6} {:>5} {:>5} {:>6} {:>6} {:>6} {:>7}",
                s - first,
                d.0,
                c.taken,
                c.calls,
                c.messages,
                c.served,
                c.full,
                c.timed_out,
                c.unconnected,
                c.reset,
                c.other,
                c.ended,
                c.closed,
                c.idle_ended,
                c.senders.len()
            );
        }
        let _ = writeln!(
            out,
            "{:>4} {:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6}",
            "s", "asked", "failed", "whole", "changes", "entries", "notes", "bytes", "heard"
        );
        for (s, c) in &self.common {
            let _ = writeln!(
                out,
                "{:>4} {:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6}",
                s - first,
                c.list_requests,
                c.unavailable,
                c.whole,
                c.changes,
                c.entries,
                c.notes,
                c.note_bytes,
                c.notes_received
            );
        }
        if !self.zones.is_empty() {
            let _ = writeln!(
                out,
                "{:>4} {:>5} {:>6} {:>6} {:>6} {:>6}",
                "s", "zone", "left", "part", "whole", "tries"
            );
        }
        for ((s, zone), z) in &self.zones {
            let _ = writeln!(
                out,
                "{:>4} {zone:>5} {:>6} {:>6} {:>6} {:>6}",
                s - first,
                z.evacuated,
                z.partial,
                z.whole,
                z.probes
            );
        }
        if self.left_out > 0 {
            let _ = writeln!(out, "{} counts found no room and are left out", self.left_out);
        }
        out
    }
}

fn bundles(set: &Settings) -> Vec<bool> {
    set.kinds.iter().map(|k| k.max_bundle > 1).collect()
}

fn second(offset: i128, at: Micros) -> u64 {
    u64::try_from((offset + i128::from(at)) / 1_000_000).unwrap_or(0)
}
