//! Interprets the bytes of a folder. Bytes that a crash can leave behind are dropped and reported; any other
//! invalid bytes are an error with their position.
//!
//! A crash of the process leaves complete writes and one torn write, at the end of the last segment. A loss
//! of power may also leave holes in the part that was not synced. Each frame contains the length up to which
//! its segment was durable when the frame was written (`durable_len`). Invalid bytes before that point of a
//! later valid frame were durable before, so they are damage and not the result of a crash.

use crate::error::Corruption;
use crate::format::{
    Frame, FrameError, HEADER_LEN, Header, Record, TABLE_COUNT, checksum_seed, read_frame, records,
    segment_file_name,
};
use crate::index::Index;
use crc32c::crc32c;
use std::fmt;

/// What a start found in a folder, for the operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// The folder was empty, and the store is new.
    pub is_new: bool,
    /// The torn tail that was dropped: the file and the number of bytes.
    pub torn_tail: Option<(String, u64)>,
    /// Segments that compaction had dropped and whose files were removed at this start.
    pub removed_segments: Vec<u32>,
    /// Why the index's checkpoint was not used.
    pub unused_checkpoint: Option<String>,
    /// The number of segments that were read completely.
    pub segments_read: u32,
    /// The number of live keys.
    pub key_count: usize,
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_new {
            return f.write_str("a new store");
        }
        write!(f, "{} keys from {} segments", self.key_count, self.segments_read)?;
        if let Some((file, bytes)) = &self.torn_tail {
            write!(f, "; a torn tail of {bytes} bytes was dropped from {file}")?;
        }
        if !self.removed_segments.is_empty() {
            write!(f, "; {} segments that had been dropped were removed", self.removed_segments.len())?;
        }
        self.unused_checkpoint
            .as_ref()
            .map_or(Ok(()), |reason| write!(f, "; the index was rebuilt from the log: {reason}"))
    }
}

/// A segment's file.
pub struct SegmentFile {
    /// The segment's number, from the file name.
    pub number: u32,
    /// The file's length in bytes.
    pub len: u64,
    /// The header, or the offset of an error in it, what was expected there and what was found.
    pub header: Result<Header, (usize, String, String)>,
}

fn corruption(number: u32, offset: u64, expected: impl Into<String>, found: impl Into<String>) -> Corruption {
    Corruption { file: segment_file_name(number), offset, expected: expected.into(), found: found.into() }
}

/// The order of a folder's segments.
#[derive(Debug)]
pub struct Order {
    /// The segments that make up the log, oldest first: number, file length and header.
    pub log: Vec<(u32, u64, Header)>,
    /// Segments below a gap in the numbers, which must have been dropped. The log's start has to confirm
    /// this.
    pub below_gap: Vec<u32>,
}

/// Checks the headers against one another and orders the segments.
///
/// # Errors
/// A header is invalid or belongs to another file or store, a segment is missing, or a segment is shorter
/// than the next one declares.
pub fn order(mut found: Vec<SegmentFile>) -> Result<Order, Corruption> {
    found.sort_by_key(|file| file.number);
    let mut log: Vec<(u32, u64, Header)> = Vec::new();
    for file in &found {
        // A segment's file gets its final name once the header is complete, so a crash leaves no file with an
        // incomplete header.
        let invalid = |(offset, expected, found): &(usize, String, String)| {
            corruption(file.number, *offset as u64, expected.clone(), found.clone())
        };
        let header = *file.header.as_ref().map_err(invalid)?;
        if header.number != file.number {
            let found = format!("segment {}", header.number);
            return Err(corruption(file.number, 24, format!("segment {}", file.number), found));
        }
        log.push((file.number, file.len, header));
    }
    let Some(store) = log.last().map(|segment| segment.2.store_id) else {
        return Ok(Order { log, below_gap: Vec::new() });
    };
    if let Some(foreign) = log.iter().find(|segment| segment.2.store_id != store) {
        let found = format!("store {:016x}", foreign.2.store_id);
        return Err(corruption(foreign.0, 16, format!("store {store:016x}, as in the last segment"), found));
    }
    // After a loss of power any of the removed files may exist again, so there may be gaps among them.
    let gap = log.windows(2).rposition(|pair| pair[1].0 != pair[0].0 + 1).map_or(0, |n| n + 1);
    let below_gap = log.drain(..gap).map(|segment| segment.0).collect();
    for pair in log.windows(2) {
        let ((number, len, _), next) = (pair[0], pair[1].2);
        if len < u64::from(next.previous_len) {
            let found = format!("the end of the file (according to {})", segment_file_name(pair[1].0));
            return Err(corruption(number, len, format!("{} bytes", next.previous_len), found));
        }
    }
    Ok(Order { log, below_gap })
}

/// The end of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The number of valid bytes in the last segment.
    pub len: u32,
    /// The checksum of these bytes.
    pub checksum: u32,
    /// The sequence number of the next frame.
    pub seq: u64,
}

/// Rebuilds the index from the segments, in order.
#[derive(Default)]
pub struct Recovery {
    /// The places of all live values read so far.
    pub index: Index,
    /// Segments below this number are not part of the log.
    pub log_start: u32,
    next_seq: Option<u64>,
}

impl Recovery {
    /// Continues from an index that covers everything before the segment with this first frame.
    pub fn from(index: Index, first_seq: u64) -> Self {
        Self { index, log_start: 0, next_seq: Some(first_seq) }
    }

    /// Reads a segment. `next` is the header of the segment that follows it.
    ///
    /// # Errors
    /// The segment has invalid bytes that a crash cannot explain.
    pub fn segment(
        &mut self,
        header: &Header,
        bytes: &[u8],
        next: Option<&Header>,
    ) -> Result<Tail, Corruption> {
        let number = header.number;
        if let Some(next_seq) = self.next_seq.filter(|n| *n != header.first_seq) {
            let found = format!("frame {}", header.first_seq);
            return Err(corruption(number, 32, format!("frame {next_seq} as the first"), found));
        }
        self.log_start = self.log_start.max(header.log_start);
        let end = next.map_or(bytes.len(), |n| (n.previous_len as usize).min(bytes.len()));
        let (mut offset, mut seq, seed) =
            (HEADER_LEN, header.first_seq, checksum_seed(header.store_id, number));
        while offset < end {
            let frame = match read_frame(&bytes[offset..end], seed) {
                Ok(frame) => frame,
                Err(error) if next.is_some() => return Err(invalid_frame(number, offset, seq, error)),
                Err(error) => match find_proof_of_damage(&bytes[offset..], seed, offset, seq) {
                    Some((later_offset, later_seq)) => {
                        let mut damage = invalid_frame(number, offset, seq, error);
                        damage.found +=
                            &format!(", although frame {later_seq} at byte {later_offset} is valid");
                        return Err(damage);
                    }
                    None => break,
                },
            };
            if frame.seq != seq {
                let found = format!("frame {}", frame.seq);
                return Err(corruption(number, offset as u64, format!("frame {seq}"), found));
            }
            self.index_frame(number, offset, &frame)?;
            offset += frame.len();
            seq += 1;
        }
        let checksum = crc32c(&bytes[..offset]);
        if let Some(next) = next.filter(|n| n.previous_checksum != checksum) {
            let expected = format!(
                "bytes with checksum {:08x} (according to {})",
                next.previous_checksum,
                segment_file_name(next.number)
            );
            return Err(corruption(number, 0, expected, format!("{checksum:08x}")));
        }
        self.index.set_segment_len(number, bytes.len() as u64);
        self.index.set_log_len(number, offset as u32);
        self.next_seq = Some(seq);
        Ok(Tail { len: offset as u32, checksum, seq })
    }

    fn index_frame(&mut self, number: u32, offset: usize, frame: &Frame<'_>) -> Result<(), Corruption> {
        let payload_offset = offset + crate::format::FRAME_HEADER_LEN;
        for record in records(frame.payload) {
            let invalid = |record_offset: usize| {
                corruption(
                    number,
                    (payload_offset + record_offset) as u64,
                    "a record",
                    "bytes that are no record",
                )
            };
            let record = record.map_err(invalid)?;
            match record {
                Record::LogStart(start) => self.log_start = self.log_start.max(start),
                Record::Put { table, .. } if table.0 >= TABLE_COUNT => return Err(invalid(0)),
                _ => {}
            }
            self.index.apply(&record, number, offset as u32, payload_offset as u32);
        }
        Ok(())
    }

    /// Checks, after all segments are read, that no segment of the log is missing at its start. Returns the
    /// segments that exist although the log has dropped them.
    ///
    /// # Errors
    /// A segment is missing.
    pub fn finish(&mut self, oldest: u32, below_gap: &[u32]) -> Result<Vec<u32>, Corruption> {
        // The first segment of a store has number 1.
        let log_start = self.log_start.max(1);
        if oldest > log_start || below_gap.iter().any(|n| *n >= log_start) {
            return Err(corruption(
                log_start.min(oldest),
                0,
                "this segment, which the log has not dropped",
                "no such file",
            ));
        }
        let mut dropped: Vec<u32> = below_gap.to_vec();
        dropped.extend(oldest..log_start);
        Ok(dropped)
    }
}

fn invalid_frame(number: u32, offset: usize, seq: u64, error: FrameError) -> Corruption {
    let found = match error {
        FrameError::Truncated => "the end of the file within a frame".to_owned(),
        FrameError::InvalidLength(n) => format!("an invalid frame length of {n} bytes"),
        FrameError::ChecksumMismatch { computed, stored } => {
            format!("bytes with checksum {computed:08x} and a stored checksum of {stored:08x}")
        }
    };
    corruption(number, offset as u64, format!("frame {seq}"), found)
}

/// Finds a valid frame after an invalid place that proves that the place was durable before. `bytes` starts
/// at the place, whose offset in the segment is `from`. Returns the frame's offset and sequence number.
fn find_proof_of_damage(bytes: &[u8], seed: u32, from: usize, seq: u64) -> Option<(usize, u64)> {
    (1..bytes.len()).find_map(|offset| {
        // The sequence number excludes most offsets, so the costly checksum is rarely computed.
        let found_seq = crate::format::u64_at(&bytes[offset..], 8);
        if found_seq <= seq || found_seq - seq > bytes.len() as u64 {
            return None;
        }
        let frame = read_frame(&bytes[offset..], seed).ok()?;
        (frame.durable_len as usize > from).then_some((from + offset, frame.seq))
    })
}
