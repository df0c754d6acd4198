//! What a folder's bytes mean. Nothing is guessed: bytes that a crash explains are dropped and said, all
//! others are a refusal with the place.
//!
//! A crash of the process leaves whole writes and one torn one, at the end of the last segment. A loss of
//! power may also leave holes in what was not synced. Each frame says up to where its segment was safe when
//! it was written (`firm`): bad bytes before that point of a later sound frame were safe once, so they are
//! damage.

use crate::error::Corruption;
use crate::format::{
    Frame, FrameError, HEADER_LEN, Header, Record, TABLE_COUNT, checksum_seed, read_frame, records,
    segment_file_name,
};
use crate::index::Index;
use crc32c::crc32c;
use std::fmt;

/// What was found at a start that an operator wants to know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Nothing was there: the store is new.
    pub created: bool,
    /// Bytes of a torn tail that were dropped, and the file.
    pub torn: Option<(String, u64)>,
    /// Segments that compaction had dropped already and that were removed now.
    pub leftovers: Vec<u32>,
    /// Why the index's checkpoint was not used.
    pub index: Option<String>,
    /// Segments read from end to end.
    pub read: u32,
    /// Keys in force.
    pub keys: usize,
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.created {
            return f.write_str("a new store");
        }
        write!(f, "{} keys from {} segments", self.keys, self.read)?;
        if let Some((file, bytes)) = &self.torn {
            write!(f, "; a torn tail of {bytes} bytes was dropped from {file}")?;
        }
        if !self.leftovers.is_empty() {
            write!(f, "; {} segments that had been dropped were removed", self.leftovers.len())?;
        }
        self.index.as_ref().map_or(Ok(()), |why| write!(f, "; the index was built anew: {why}"))
    }
}

/// A segment's file: its number, its length, and its header or what is wrong with it.
pub struct Found {
    /// By its name.
    pub number: u32,
    /// Bytes.
    pub len: u64,
    /// Read, or the place, what was expected and what was found.
    pub header: Result<Header, (usize, String, String)>,
}

fn refuse(number: u32, offset: u64, expected: impl Into<String>, found: impl Into<String>) -> Corruption {
    Corruption { file: segment_file_name(number), offset, expected: expected.into(), found: found.into() }
}

/// The segments that make up the log, oldest first, and those below a gap, which must have been dropped.
#[derive(Debug)]
pub struct Order {
    /// The log.
    pub log: Vec<(u32, u64, Header)>,
    /// What is left of dropped segments, if the log says so.
    pub below: Vec<u32>,
}

/// Holds the headers against one another.
///
/// # Errors
/// A header that cannot be read or belongs elsewhere, a segment that is missing or shorter than the next
/// says.
pub fn order(mut found: Vec<Found>) -> Result<Order, Corruption> {
    found.sort_by_key(|f| f.number);
    let mut log: Vec<(u32, u64, Header)> = Vec::new();
    for f in &found {
        // A segment gets its name when its header is whole: a crash leaves none without.
        let bad = |(at, e, f2): &(usize, String, String)| refuse(f.number, *at as u64, e.clone(), f2.clone());
        let header = *f.header.as_ref().map_err(bad)?;
        if header.number != f.number {
            let found = format!("segment {}", header.number);
            return Err(refuse(f.number, 24, format!("segment {}", f.number), found));
        }
        log.push((f.number, f.len, header));
    }
    let Some(store) = log.last().map(|l| l.2.store_id) else { return Ok(Order { log, below: Vec::new() }) };
    if let Some(l) = log.iter().find(|l| l.2.store_id != store) {
        let found = format!("store {:016x}", l.2.store_id);
        return Err(refuse(l.0, 16, format!("store {store:016x}, as the last segment"), found));
    }
    // Names that were removed come back in any order after a loss of power.
    let gap = log.windows(2).rposition(|w| w[1].0 != w[0].0 + 1).map_or(0, |n| n + 1);
    let below = log.drain(..gap).map(|l| l.0).collect();
    for w in log.windows(2) {
        let ((number, len, _), next) = (w[0], w[1].2);
        if len < u64::from(next.previous_len) {
            let found = format!("the end of the file (so says {})", segment_file_name(w[1].0));
            return Err(refuse(number, len, format!("{} bytes", next.previous_len), found));
        }
    }
    Ok(Order { log, below })
}

/// Where the log ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tail {
    /// Sound bytes of the last segment.
    pub len: u32,
    /// Their checksum.
    pub sum: u32,
    /// The number of the next frame.
    pub seq: u64,
}

/// Reads segment after segment.
#[derive(Default)]
pub struct Recovery {
    /// What stands where.
    pub index: Index,
    /// Segments below are not part of the log.
    pub base: u32,
    next: Option<u64>,
}

impl Recovery {
    /// Goes on from an index that knows all before the segment with this first frame.
    pub fn from(index: Index, first: u64) -> Self {
        Self { index, base: 0, next: Some(first) }
    }

    /// Takes in a segment. `next` is the header of the one that follows.
    ///
    /// # Errors
    /// Bytes that no crash explains.
    pub fn segment(
        &mut self,
        header: &Header,
        bytes: &[u8],
        next: Option<&Header>,
    ) -> Result<Tail, Corruption> {
        let number = header.number;
        if let Some(next) = self.next.filter(|n| *n != header.first_seq) {
            let found = format!("frame {}", header.first_seq);
            return Err(refuse(number, 32, format!("frame {next} as the first"), found));
        }
        self.base = self.base.max(header.log_start);
        let until = next.map_or(bytes.len(), |n| (n.previous_len as usize).min(bytes.len()));
        let (mut at, mut seq, seed) = (HEADER_LEN, header.first_seq, checksum_seed(header.store_id, number));
        while at < until {
            let frame = match read_frame(&bytes[at..until], seed) {
                Ok(frame) => frame,
                Err(flaw) if next.is_some() => return Err(flawed(number, at, seq, flaw)),
                Err(flaw) => match later(&bytes[at..], seed, at, seq) {
                    Some((place, later)) => {
                        let mut why = flawed(number, at, seq, flaw);
                        why.found += &format!(", though frame {later} at byte {place} is sound");
                        return Err(why);
                    }
                    None => break,
                },
            };
            if frame.seq != seq {
                let found = format!("frame {}", frame.seq);
                return Err(refuse(number, at as u64, format!("frame {seq}"), found));
            }
            self.enter(number, at, &frame)?;
            at += frame.len();
            seq += 1;
        }
        let sum = crc32c(&bytes[..at]);
        if let Some(next) = next.filter(|n| n.previous_checksum != sum) {
            let expected = format!(
                "bytes with checksum {:08x} (so says {})",
                next.previous_checksum,
                segment_file_name(next.number)
            );
            return Err(refuse(number, 0, expected, format!("{sum:08x}")));
        }
        self.index.grown(number, bytes.len() as u64);
        self.index.sealed(number, at as u32);
        self.next = Some(seq);
        Ok(Tail { len: at as u32, sum, seq })
    }

    fn enter(&mut self, number: u32, at: usize, frame: &Frame<'_>) -> Result<(), Corruption> {
        let payload = at + crate::format::FRAME_HEADER_LEN;
        for record in records(frame.payload) {
            let unread = |o: usize| refuse(number, (payload + o) as u64, "a record", "bytes that are none");
            let record = record.map_err(unread)?;
            match record {
                Record::LogStart(base) => self.base = self.base.max(base),
                Record::Put { table, .. } if table.0 >= TABLE_COUNT => return Err(unread(0)),
                _ => {}
            }
            self.index.apply(&record, number, at as u32, payload as u32);
        }
        Ok(())
    }

    /// All segments are read: is the oldest one the one that should be? Gives those that are left over.
    ///
    /// # Errors
    /// A segment is missing.
    pub fn finish(&mut self, oldest: u32, below: &[u32]) -> Result<Vec<u32>, Corruption> {
        // The first segment of all is number 1.
        let base = self.base.max(1);
        if oldest > base || below.iter().any(|b| *b >= base) {
            return Err(refuse(
                base.min(oldest),
                0,
                "this segment, which the log has not dropped",
                "no such file",
            ));
        }
        let mut left: Vec<u32> = below.to_vec();
        left.extend(oldest..base);
        Ok(left)
    }
}

fn flawed(number: u32, at: usize, seq: u64, flaw: FrameError) -> Corruption {
    let found = match flaw {
        FrameError::Truncated => "an end within a frame".to_owned(),
        FrameError::InvalidLength(n) => format!("a frame of {n} bytes, which none has"),
        FrameError::ChecksumMismatch { computed, stored } => {
            format!("bytes with checksum {computed:08x} under a checksum of {stored:08x}")
        }
    };
    refuse(number, at as u64, format!("frame {seq}"), found)
}

/// A sound frame behind a bad place that proves that place to have been safe once: where, and its number.
fn later(bytes: &[u8], seed: u32, from: usize, seq: u64) -> Option<(usize, u64)> {
    (1..bytes.len()).find_map(|n| {
        // The number alone tells most places apart; a checksum is only then worth its time.
        let found = crate::format::u64_at(&bytes[n..], 8);
        if found <= seq || found - seq > bytes.len() as u64 {
            return None;
        }
        let frame = read_frame(&bytes[n..], seed).ok()?;
        (frame.durable_len as usize > from).then_some((from + n, frame.seq))
    })
}
