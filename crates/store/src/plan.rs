//! The decisions of the store: which writes to admit, when a segment is full, and when and how fast to
//! compact the log.

use crate::format::{HEADER_LEN, MAX_SEGMENT_LEN};
use std::ops::RangeInclusive;

/// What a write survives once it is durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// Every write survives the end of the process, in whatever way it ends. A loss of power may lose the
    /// last writes.
    #[default]
    Process,
    /// Synced writes survive a loss of power. Callers wait for the sync before they acknowledge anything.
    Power,
}

/// What a write is for. Space is reserved for the kinds that must not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteKind {
    /// A new item. It is the first kind to be refused.
    New,
    /// An update of an open item.
    Update,
    /// The end of an item. Space is reserved for it.
    End,
    /// Data imported from another store. It may use all of the space within the limit.
    Import,
    /// Data that may be lost. It is written together with the next write of another kind, or by a flush.
    Deferred,
}

/// The block size in bytes. Each file is counted in whole blocks.
pub const BLOCK: u64 = 512;
/// Returns the bytes that a file of this length occupies.
pub fn blocks(len: u64) -> u64 {
    len.div_ceil(BLOCK) * BLOCK
}

/// Bytes of the limit that stay unused: the folder itself may count, and so may files created next to the
/// store's.
const UNUSED_BYTES: u64 = 16 << 10;
/// The limit divided by this is the segment length. In the worst case the oldest segment is copied completely
/// while it is dropped, so this fraction of the space is needed for compaction.
const SEGMENTS_PER_LIMIT: u64 = 16;
/// The range of segment lengths in bytes. The minimum leaves room for more than one body of 64 KiB; the
/// maximum is there because a start reads whole segments.
const SEGMENT_LEN_RANGE: RangeInclusive<u64> = (96 << 10)..=(16 << 20);
/// New items are admitted while live records occupy at most this fraction of the space: above it, compaction
/// would copy several bytes for each byte written.
const MAX_LIVE_FRACTION: f64 = 0.6;
/// Compaction is needed if more than this fraction of the log is dead and the log is longer than
/// [`DEAD_CHECK_SEGMENTS`], or if more than [`HIGH_USE_FRACTION`] of the space is used.
const MAX_DEAD_FRACTION: f64 = 0.5;
/// The log length, in segments, above which the dead fraction is checked.
const DEAD_CHECK_SEGMENTS: u64 = 4;
/// The fraction of the space above which compaction runs in any case.
const HIGH_USE_FRACTION: f64 = 0.7;
/// Bytes that compaction reads for each byte written. With half of the log dead, 2 would be sufficient.
const COMPACT_BYTES_PER_WRITTEN: u64 = 4;

/// The options of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The id of a new store: a random number that distinguishes its files from those of other stores.
    pub id: u64,
    /// The maximum number of bytes of all files together.
    pub limit_bytes: u64,
    /// What writes must survive.
    pub durability: Durability,
    /// The maximum number of bytes that one step of compaction reads.
    pub step_bytes: usize,
    /// The size of a file that keeps disk space free for ends and is removed when the disk is full; 0 for
    /// none.
    pub reserve_bytes: u64,
    /// A checkpoint of the index is written each time the log has grown by this number of bytes; 0 for never.
    /// A start reads all of a log that is shorter than twice this.
    pub checkpoint_interval: u64,
    /// The length of a segment in bytes, or `None` to derive it from the limit.
    pub segment_len: Option<u64>,
}

impl Options {
    /// Returns the default options for this limit.
    pub fn new(id: u64, limit: u64) -> Self {
        let checkpoint_interval =
            if limit >= MIN_LIMIT_FOR_CHECKPOINTS { DEFAULT_CHECKPOINT_INTERVAL } else { 0 };
        Self {
            id,
            limit_bytes: limit,
            durability: Durability::Process,
            step_bytes: DEFAULT_STEP_BYTES,
            reserve_bytes: 0,
            checkpoint_interval,
            segment_len: None,
        }
    }
}

/// The bytes that one step of compaction reads, checks and copies: well under two milliseconds, even on a
/// slow core.
const DEFAULT_STEP_BYTES: usize = 64 << 10;
/// The smallest limit with checkpoints: below it, reading the whole log takes less than a tenth of a second.
const MIN_LIMIT_FOR_CHECKPOINTS: u64 = 256 << 20;
const DEFAULT_CHECKPOINT_INTERVAL: u64 = 64 << 20;

/// The space usage of a folder, which the decisions are based on.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpaceUsage {
    /// Bytes that all files occupy, in whole blocks.
    pub used_bytes: u64,
    /// Bytes of the log.
    pub log_bytes: u64,
    /// Bytes of live records.
    pub live_bytes: u64,
    /// The length of the longest segment, which compaction may have to copy.
    pub longest_segment: u64,
    /// Bytes that the ends of all open items will need.
    pub expected_end_bytes: u64,
}

/// Makes the decisions for one store.
#[derive(Clone, Debug)]
pub struct Plan {
    limit_bytes: u64,
    segment_len: u64,
    step_bytes: usize,
}

impl Plan {
    /// Creates a plan for these options.
    pub fn new(options: &Options) -> Self {
        let default_len = (options.limit_bytes / SEGMENTS_PER_LIMIT)
            .clamp(*SEGMENT_LEN_RANGE.start(), *SEGMENT_LEN_RANGE.end());
        let segment_len =
            options.segment_len.unwrap_or(default_len).clamp(HEADER_LEN as u64 + 1, MAX_SEGMENT_LEN);
        Self {
            limit_bytes: options.limit_bytes.saturating_sub(UNUSED_BYTES),
            segment_len,
            step_bytes: options.step_bytes.max(1),
        }
    }

    /// Returns whether a write that adds this number of bytes is admitted.
    pub fn admits(&self, kind: WriteKind, added: u64, usage: &SpaceUsage) -> bool {
        // A new segment may have to be started, and each file is rounded up to whole blocks.
        let used_after = usage.used_bytes + added + 2 * BLOCK;
        let copy_bytes = usage.longest_segment.max(self.segment_len).min(self.limit_bytes / 4) + BLOCK;
        let live_after = (usage.live_bytes + added + usage.expected_end_bytes) as f64;
        match kind {
            WriteKind::New => {
                let space_for_live = self.limit_bytes.saturating_sub(2 * copy_bytes) as f64;
                used_after + copy_bytes + usage.expected_end_bytes <= self.limit_bytes
                    && live_after <= space_for_live * MAX_LIVE_FRACTION
            }
            WriteKind::Update | WriteKind::Deferred => {
                used_after + copy_bytes + usage.expected_end_bytes <= self.limit_bytes
            }
            WriteKind::End => used_after + copy_bytes <= self.limit_bytes,
            WriteKind::Import => used_after <= self.limit_bytes,
        }
    }

    /// Returns whether compaction may write this number of bytes. Only compaction may use the space that is
    /// reserved for it.
    pub fn admits_copy(&self, added: u64, usage: &SpaceUsage) -> bool {
        usage.used_bytes + added + 2 * BLOCK <= self.limit_bytes
    }

    /// Returns whether a new segment must be started before this number of bytes is added to a segment of
    /// this length.
    pub fn should_roll(&self, len: u64, added: u64) -> bool {
        len > HEADER_LEN as u64 && len + added > self.segment_len
    }

    /// Returns whether the log needs compaction.
    pub fn needs_compaction(&self, usage: &SpaceUsage) -> bool {
        let dead_bytes = usage.log_bytes.saturating_sub(usage.live_bytes) as f64;
        let is_mostly_dead = usage.log_bytes > DEAD_CHECK_SEGMENTS * self.segment_len
            && dead_bytes > usage.log_bytes as f64 * MAX_DEAD_FRACTION;
        is_mostly_dead || usage.used_bytes as f64 > self.limit_bytes as f64 * HIGH_USE_FRACTION
    }

    /// Returns the number of bytes that compaction reads after a write of this length.
    pub fn compaction_budget(&self, written: u64) -> usize {
        usize::try_from(written * COMPACT_BYTES_PER_WRITTEN)
            .unwrap_or(usize::MAX)
            .clamp(self.step_bytes.min(4 << 10), self.step_bytes)
    }

    /// Returns the number of bytes that a full step of compaction reads.
    pub fn step_bytes(&self) -> usize {
        self.step_bytes
    }
}
