//! What is decided: what is admitted, when a segment is full, when and how fast the log is compacted.

use crate::format::{HEADER_LEN, MAX_SEGMENT_LEN};
use std::ops::RangeInclusive;

/// What outlasts what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// What was written outlasts the process, however it ends. A loss of power may take what came last.
    #[default]
    Process,
    /// What was synced outlasts a loss of power. Who promises anything waits for that.
    Power,
}

/// What a write is for. Room is kept for those that must not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteKind {
    /// Something new is taken on: refused first.
    New,
    /// What goes on with something that was taken on.
    Update,
    /// The end of something: room is kept for it.
    End,
    /// What another store held: all that the limit leaves may be used for it.
    Import,
    /// What may be lost. It is written with the next write of another kind, or by a flush.
    Deferred,
}

/// Each file counts in whole blocks.
pub const BLOCK: u64 = 512;
/// What a file of this length takes.
pub fn blocks(len: u64) -> u64 {
    len.div_ceil(BLOCK) * BLOCK
}

/// Kept free of the limit: the folder itself may count, and files that are made beside the store.
const SPARE: u64 = 16 << 10;
/// The limit in so many segments: the oldest is copied whole at worst while it is dropped, so that this share
/// of the room is for compaction.
const SEGMENTS: u64 = 16;
/// A segment is this long at least, so that one body of 64 KiB does not fill it, and at most: it is read
/// whole at a start.
const SEGMENT: RangeInclusive<u64> = (96 << 10)..=(16 << 20);
/// New work is admitted while what is in force takes this share of the room: beyond, each byte written would
/// have compaction copy several.
const LIVE_MOST: f64 = 0.6;
/// Compaction begins where more than this share of the log is dead, ...
const DEAD: f64 = 0.5;
/// ... once there are so many segments, or ...
const DEAD_SEGMENTS: u64 = 4;
/// ... where this share of the room is used.
const HIGH: f64 = 0.7;
/// For each byte written so many are looked through: at half of the log dead two would do.
const PACE: u64 = 4;

/// How a store is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// What a new store calls itself: a random number, so that a file of another store is told apart.
    pub id: u64,
    /// What all files together may take.
    pub limit_bytes: u64,
    /// What outlasts what.
    pub durability: Durability,
    /// Bytes that one step of compaction looks through at most.
    pub step_bytes: usize,
    /// Kept on the disk for ends, in a file that is given up when the disk is full; 0 for none.
    pub reserve_bytes: u64,
    /// A checkpoint of the index is written each time that the log has grown by so much; 0 for never. Logs
    /// that are shorter than twice this are read whole at a start.
    pub checkpoint_interval: u64,
    /// The length of a segment, where it is not to follow from the limit.
    pub segment_len: Option<u64>,
}

impl Options {
    /// As is usual under this limit.
    pub fn new(id: u64, limit: u64) -> Self {
        let checkpoint = if limit >= CHECKPOINT_FROM { CHECKPOINT } else { 0 };
        Self {
            id,
            limit_bytes: limit,
            durability: Durability::Process,
            step_bytes: STEP,
            reserve_bytes: 0,
            checkpoint_interval: checkpoint,
            segment_len: None,
        }
    }
}

/// One step: read, checked and copied in well under two milliseconds, also by a slow core.
const STEP: usize = 64 << 10;
/// Logs that may grow longer than this have checkpoints: below, reading all takes less than a tenth of a
/// second.
const CHECKPOINT_FROM: u64 = 256 << 20;
const CHECKPOINT: u64 = 64 << 20;

/// What is known when something is decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpaceUsage {
    /// What all files take, in whole blocks.
    pub used: u64,
    /// The log's bytes.
    pub log: u64,
    /// Bytes of records in force.
    pub live: u64,
    /// The longest segment that may have to be copied.
    pub longest: u64,
    /// What the ends of all that is open will take.
    pub ends: u64,
}

/// The decisions for one store.
#[derive(Clone, Debug)]
pub struct Plan {
    limit: u64,
    segment: u64,
    step: usize,
}

impl Plan {
    /// For these options.
    pub fn new(o: &Options) -> Self {
        let usual = (o.limit_bytes / SEGMENTS).clamp(*SEGMENT.start(), *SEGMENT.end());
        let segment = o.segment_len.unwrap_or(usual).clamp(HEADER_LEN as u64 + 1, MAX_SEGMENT_LEN);
        Self { limit: o.limit_bytes.saturating_sub(SPARE), segment, step: o.step_bytes.max(1) }
    }

    /// Whether so many bytes more may be written.
    pub fn admits(&self, work: WriteKind, add: u64, room: &SpaceUsage) -> bool {
        // A new segment may have to begin, and each file is rounded up.
        let after = room.used + add + 2 * BLOCK;
        let copies = room.longest.max(self.segment).min(self.limit / 4) + BLOCK;
        let live = (room.live + add + room.ends) as f64;
        match work {
            WriteKind::New => {
                let room_for_all = self.limit.saturating_sub(2 * copies) as f64;
                after + copies + room.ends <= self.limit && live <= room_for_all * LIVE_MOST
            }
            WriteKind::Update | WriteKind::Deferred => after + copies + room.ends <= self.limit,
            WriteKind::End => after + copies <= self.limit,
            WriteKind::Import => after <= self.limit,
        }
    }

    /// Whether compaction may write so many bytes more: it alone may use the room that is kept for it.
    pub fn admits_copy(&self, add: u64, room: &SpaceUsage) -> bool {
        room.used + add + 2 * BLOCK <= self.limit
    }

    /// Whether a segment of this length is to be followed by a new one before so many bytes are added.
    pub fn rolls(&self, len: u64, add: u64) -> bool {
        len > HEADER_LEN as u64 && len + add > self.segment
    }

    /// Whether compaction has something to do.
    pub fn due(&self, room: &SpaceUsage) -> bool {
        let dead = room.log.saturating_sub(room.live) as f64;
        let many = room.log > DEAD_SEGMENTS * self.segment && dead > room.log as f64 * DEAD;
        many || room.used as f64 > self.limit as f64 * HIGH
    }

    /// How many bytes compaction looks through for so many that were written.
    pub fn pace(&self, written: u64) -> usize {
        usize::try_from(written * PACE).unwrap_or(usize::MAX).clamp(self.step.min(4 << 10), self.step)
    }

    /// A whole step.
    pub fn step(&self) -> usize {
        self.step
    }
}
