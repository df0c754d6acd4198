//! The index's checkpoint: the places of all keys, so that a start reads little of a long log. It is only
//! ever a help: the log alone rebuilds the index.
//!
//! It is written bit by bit while the index goes on changing. Replaying the log from the segment that it
//! names brings every key to its last place, whichever of two moments an entry was written in.

use crate::format::{Header, u32_at, u64_at};
use crate::index::{Index, Place};
use crc32c::{crc32c, crc32c_append};
use std::ops::Bound;

/// The file.
pub const FILE: &str = "index";
/// What it is called until it is whole.
pub const NEW: &str = "index.new";
const MAGIC: [u8; 8] = *b"npindex\n";
const VERSION: u64 = 1;
const HEAD: usize = 40;
/// Entries written in one step.
const SOME: usize = 512;

/// One that is being written.
pub struct Writer {
    /// Segments before this one are covered.
    pub segment: u32,
    sum: u32,
    last: Option<Box<[u8]>>,
}

impl Writer {
    /// Covers all before the segment with this header. Gives its first bytes.
    pub fn begin(header: &Header) -> (Self, Vec<u8>) {
        let mut bytes = Vec::with_capacity(HEAD);
        bytes.extend(MAGIC);
        for n in [VERSION, header.store_id, header.number.into(), header.first_seq] {
            bytes.extend(n.to_le_bytes());
        }
        let sum = crc32c(&bytes);
        (Self { segment: header.number, sum, last: None }, bytes)
    }

    /// The next bytes, and whether they are the last.
    pub fn step(&mut self, index: &Index) -> (Vec<u8>, bool) {
        let from = self.last.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
        let some = index.some_from(from, SOME);
        let mut bytes = Vec::new();
        for (key, p) in &some {
            bytes.extend((key.len() as u16).to_le_bytes());
            bytes.extend(&**key);
            for n in [p.segment, p.frame, p.at, p.len] {
                bytes.extend(n.to_le_bytes());
            }
        }
        self.sum = crc32c_append(self.sum, &bytes);
        let done = some.len() < SOME;
        match some.into_iter().last() {
            Some((key, _)) if !done => self.last = Some(key),
            _ => {
                // No key has a length of nought.
                self.sum = crc32c_append(self.sum, &[0, 0]);
                bytes.extend([0, 0]);
                bytes.extend(self.sum.to_le_bytes());
            }
        }
        (bytes, done)
    }
}

/// One that was read.
pub struct Checkpoint {
    /// Segments before this one are covered.
    pub segment: u32,
    /// The number of that segment's first frame.
    pub first: u64,
    /// What stood where.
    pub index: Index,
}

/// Reads one of this store.
///
/// # Errors
/// Why it is of no use.
pub fn read(bytes: &[u8], store: u64) -> Result<Checkpoint, String> {
    if bytes.len() < HEAD + 6 || bytes[..8] != MAGIC {
        return Err(format!("{FILE}, byte 0: no checkpoint"));
    }
    let (whole, sum) = bytes.split_at(bytes.len() - 4);
    if crc32c(whole) != u32_at(sum, 0) {
        return Err(format!("{FILE}, byte {}: its checksum is not that of its bytes", whole.len()));
    }
    if u64_at(bytes, 8) != VERSION {
        return Err(format!("{FILE}, byte 8: version {}", u64_at(bytes, 8)));
    }
    if u64_at(bytes, 16) != store {
        return Err(format!("{FILE}, byte 16: of another store"));
    }
    let segment = u32::try_from(u64_at(bytes, 24)).unwrap_or(u32::MAX);
    let (mut index, mut at) = (Index::default(), HEAD);
    loop {
        let cut = || format!("{FILE}, byte {at}: an entry that ends too soon");
        let len = whole.get(at..).and_then(|b| b.first_chunk()).map(|b| u16::from_le_bytes(*b));
        let len = usize::from(len.ok_or_else(cut)?);
        if len == 0 {
            break;
        }
        let key = whole.get(at + 2..at + 2 + len).ok_or_else(cut)?;
        let place = whole.get(at + 2 + len..at + 18 + len).ok_or_else(cut)?;
        let [segment, frame, value, size] = [0, 4, 8, 12].map(|n| u32_at(place, n));
        index.enter(key.into(), Place { segment, frame, at: value, len: size });
        at += 18 + len;
    }
    Ok(Checkpoint { segment, first: u64_at(bytes, 32), index })
}
