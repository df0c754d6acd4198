//! The checkpoint of the index: the places of all keys, so that a start reads only a small part of a long
//! log. The checkpoint is an optimization: the index can always be rebuilt from the log alone.
//!
//! It is written in steps while the index keeps changing. Replaying the log from the segment that the
//! checkpoint names sets each key to its last place, no matter at which point an entry was written.

use crate::format::{Header, u32_at, u64_at};
use crate::index::{Index, Place};
use crc32c::{crc32c, crc32c_append};
use std::ops::Bound;

/// The file name of the checkpoint.
pub const FILE: &str = "index";
/// The file name of a checkpoint until it is complete.
pub const NEW_FILE: &str = "index.new";
const MAGIC: [u8; 8] = *b"npindex\n";
const VERSION: u64 = 1;
const HEADER_LEN: usize = 40;
/// The number of entries written in one step.
const ENTRIES_PER_STEP: usize = 512;

/// Writes a checkpoint.
pub struct Writer {
    /// The checkpoint covers the segments before this one.
    pub segment: u32,
    checksum: u32,
    last_key: Option<Box<[u8]>>,
}

impl Writer {
    /// Begins a checkpoint that covers everything before the segment with this header. Returns its first
    /// bytes.
    pub fn begin(header: &Header) -> (Self, Vec<u8>) {
        let mut bytes = Vec::with_capacity(HEADER_LEN);
        bytes.extend(MAGIC);
        for n in [VERSION, header.store_id, header.number.into(), header.first_seq] {
            bytes.extend(n.to_le_bytes());
        }
        let checksum = crc32c(&bytes);
        (Self { segment: header.number, checksum, last_key: None }, bytes)
    }

    /// Returns the next bytes, and whether they are the last.
    pub fn step(&mut self, index: &Index) -> (Vec<u8>, bool) {
        let from = self.last_key.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
        let entries = index.entries_from(from, ENTRIES_PER_STEP);
        let mut bytes = Vec::new();
        for (key, place) in &entries {
            bytes.extend((key.len() as u16).to_le_bytes());
            bytes.extend(&**key);
            for n in [place.segment, place.frame, place.value, place.len] {
                bytes.extend(n.to_le_bytes());
            }
        }
        self.checksum = crc32c_append(self.checksum, &bytes);
        let is_done = entries.len() < ENTRIES_PER_STEP;
        match entries.into_iter().last() {
            Some((key, _)) if !is_done => self.last_key = Some(key),
            _ => {
                // A key length of 0 marks the end; no key is that short.
                self.checksum = crc32c_append(self.checksum, &[0, 0]);
                bytes.extend([0, 0]);
                bytes.extend(self.checksum.to_le_bytes());
            }
        }
        (bytes, is_done)
    }
}

/// A decoded checkpoint.
pub struct Checkpoint {
    /// The checkpoint covers the segments before this one.
    pub segment: u32,
    /// The sequence number of that segment's first frame.
    pub first_seq: u64,
    /// The index when the checkpoint was written.
    pub index: Index,
}

/// Decodes a checkpoint of this store.
///
/// # Errors
/// Why the checkpoint cannot be used.
pub fn read(bytes: &[u8], store: u64) -> Result<Checkpoint, String> {
    if bytes.len() < HEADER_LEN + 6 || bytes[..8] != MAGIC {
        return Err(format!("{FILE}, byte 0: not a checkpoint"));
    }
    let (body, checksum) = bytes.split_at(bytes.len() - 4);
    if crc32c(body) != u32_at(checksum, 0) {
        return Err(format!("{FILE}, byte {}: the checksum does not match", body.len()));
    }
    if u64_at(bytes, 8) != VERSION {
        return Err(format!("{FILE}, byte 8: version {} is not supported", u64_at(bytes, 8)));
    }
    if u64_at(bytes, 16) != store {
        return Err(format!("{FILE}, byte 16: the checkpoint belongs to another store"));
    }
    let segment = u32::try_from(u64_at(bytes, 24)).unwrap_or(u32::MAX);
    let (mut index, mut offset) = (Index::default(), HEADER_LEN);
    loop {
        let truncated = || format!("{FILE}, byte {offset}: the entry is truncated");
        let len = body.get(offset..).and_then(|b| b.first_chunk()).map(|b| u16::from_le_bytes(*b));
        let len = usize::from(len.ok_or_else(truncated)?);
        if len == 0 {
            break;
        }
        let key = body.get(offset + 2..offset + 2 + len).ok_or_else(truncated)?;
        let place = body.get(offset + 2 + len..offset + 18 + len).ok_or_else(truncated)?;
        let [segment, frame, value, value_len] = [0, 4, 8, 12].map(|n| u32_at(place, n));
        index.insert(key.into(), Place { segment, frame, value, len: value_len });
        offset += 18 + len;
    }
    Ok(Checkpoint { segment, first_seq: u64_at(bytes, 32), index })
}
