//! The bytes of a segment: a header, then frames, each a batch of records. Numbers are little-endian.

use crc32c::{crc32c, crc32c_append};

/// The first bytes of each segment.
pub const MAGIC: [u8; 8] = *b"npstore\n";
/// The version of the format that this build writes; it reads no later one.
pub const VERSION: u16 = 1;
/// Bytes of a segment's header.
pub const HEADER_LEN: usize = 64;
/// Bytes before a frame's records.
pub const FRAME_HEADER_LEN: usize = 24;
/// Bytes of records in one frame at most: a body of 64 KiB and its keys many times over; a longer length is
/// no frame.
pub const MAX_PAYLOAD_LEN: usize = 1 << 20;
/// Bytes before a record's key and value: what it is, the lengths of key and value.
const RECORD_HEADER_LEN: usize = 6;
/// Segments end well before offsets of 32 bits do.
pub const MAX_SEGMENT_LEN: u64 = 1 << 30;

/// A space of keys of its own. Numbers from 0 to 62 are the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Table(pub u8);

/// Tables above are not to be had.
pub const TABLE_COUNT: u8 = 63;

/// What a segment says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The store that it belongs to: drawn at random when that was made.
    pub store_id: u64,
    /// Its number, which its name has too.
    pub number: u32,
    /// The sequence number of its first frame.
    pub first_seq: u64,
    /// Segments below this number had been dropped when it was begun.
    pub log_start: u32,
    /// So many bytes of the segment before are part of the log, ...
    pub previous_len: u32,
    /// ... and this is their checksum.
    pub previous_checksum: u32,
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> [u8; HEADER_LEN] {
        let mut bytes = Vec::with_capacity(HEADER_LEN);
        bytes.extend(MAGIC);
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend([0; 6]);
        bytes.extend(self.store_id.to_le_bytes());
        bytes.extend(u64::from(self.number).to_le_bytes());
        bytes.extend(self.first_seq.to_le_bytes());
        bytes.extend(u64::from(self.log_start).to_le_bytes());
        bytes.extend(u64::from(self.previous_len).to_le_bytes());
        bytes.extend(self.previous_checksum.to_le_bytes());
        let sum = crc32c(&bytes);
        bytes.extend(sum.to_le_bytes());
        let mut whole = [0; HEADER_LEN];
        whole.copy_from_slice(&bytes);
        whole
    }

    /// Reads one, or says what is wrong with it: where, what should stand there, what does.
    ///
    /// # Errors
    /// The place within the header, what was expected and what was found.
    pub fn decode(bytes: &[u8]) -> Result<Self, (usize, String, String)> {
        let Some(bytes) = bytes.first_chunk::<HEADER_LEN>() else {
            return Err((
                bytes.len(),
                format!("a header of {HEADER_LEN} bytes"),
                "the end of the file".into(),
            ));
        };
        if bytes[..8] != MAGIC {
            return Err((0, "the first bytes of a segment".into(), format!("{:02x?}", &bytes[..8])));
        }
        // The version comes before the checksum: a later one may have its header in another form.
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        let sum = u32_at(bytes, HEADER_LEN - 4);
        let computed = crc32c(&bytes[..HEADER_LEN - 4]);
        if version > VERSION && sum == computed {
            return Err((8, format!("version {VERSION} or older"), format!("version {version}")));
        }
        if sum != computed {
            return Err((HEADER_LEN - 4, format!("checksum {computed:08x}"), format!("{sum:08x}")));
        }
        let small = |at: usize| u32::try_from(u64_at(bytes, at)).unwrap_or(u32::MAX);
        Ok(Self {
            store_id: u64_at(bytes, 16),
            number: small(24),
            first_seq: u64_at(bytes, 32),
            log_start: small(40),
            previous_len: small(48),
            previous_checksum: u32_at(bytes, 56),
        })
    }
}

/// Where a checksum of a segment's frames begins: bytes of another segment, or another store, do not pass.
pub fn checksum_seed(store: u64, number: u32) -> u32 {
    crc32c_append(crc32c(&store.to_le_bytes()), &number.to_le_bytes())
}

pub(crate) fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..).and_then(|b| b.first_chunk()).map_or(0, |b| u32::from_le_bytes(*b))
}

pub(crate) fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..).and_then(|b| b.first_chunk()).map_or(0, |b| u64::from_le_bytes(*b))
}

/// Records that are written together: after a crash all of them are there, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    payload: Vec<u8>,
    count: u32,
}

/// The kinds of record, in the low bits of its first byte; the table stands above them.
const PUT: u8 = 0;
const DELETE: u8 = 1;
const DELETE_PREFIX: u8 = 2;
/// Segments below this number are not part of the log any more.
const LOG_START: u8 = 3;

impl Batch {
    fn record(&mut self, op: u8, key: &[u8], value: &[u8]) {
        self.payload.push(op);
        // Longer ones are found by `fits`, before anything is written.
        self.payload.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
        self.payload.extend((value.len() as u32).to_le_bytes());
        self.payload.extend(key);
        self.payload.extend(value);
        self.count += 1;
        if key.len() > usize::from(u8::MAX) {
            self.count = u32::MAX; // It fits no frame.
        }
    }

    /// Sets a key's value.
    pub fn put(&mut self, table: Table, key: &[u8], value: &[u8]) {
        self.record(table.0 << 2 | PUT, key, value);
    }

    /// Removes a key.
    pub fn delete(&mut self, table: Table, key: &[u8]) {
        self.record(table.0 << 2 | DELETE, key, &[]);
    }

    /// Removes all keys that begin like this.
    pub fn delete_prefix(&mut self, table: Table, prefix: &[u8]) {
        self.record(table.0 << 2 | DELETE_PREFIX, prefix, &[]);
    }

    pub(crate) fn set_log_start(&mut self, number: u32) {
        self.record(LOG_START, &number.to_le_bytes(), &[]);
    }

    /// Nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Bytes that it takes in a segment.
    pub fn len(&self) -> usize {
        FRAME_HEADER_LEN + self.payload.len()
    }

    /// Whether it fits in a frame.
    pub fn fits(&self) -> bool {
        self.payload.len() <= MAX_PAYLOAD_LEN && self.count < u32::MAX && self.count > 0
    }

    /// Its bytes as a frame. `durable_len` is how far the segment is known to be safe.
    pub fn frame(&self, seed: u32, seq: u64, durable_len: u32) -> Vec<u8> {
        frame(&self.payload, self.count, seed, seq, durable_len)
    }
}

/// The bytes of a frame with these records.
pub fn frame(payload: &[u8], count: u32, seed: u32, seq: u64, durable_len: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_LEN + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(durable_len.to_le_bytes());
    bytes.extend(seq.to_le_bytes());
    bytes.extend(count.to_le_bytes());
    let sum = crc32c_append(crc32c_append(seed, &bytes), payload);
    bytes.extend(sum.to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// A frame that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Its sequence number.
    pub seq: u64,
    /// The segment was safe up to there when it was written.
    pub durable_len: u32,
    /// How many records it has.
    pub count: u32,
    /// The records.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Bytes that it takes.
    pub fn len(&self) -> usize {
        FRAME_HEADER_LEN + self.payload.len()
    }

    /// A frame has always records.
    pub fn is_empty(&self) -> bool {
        false
    }
}

/// Why no frame could be read at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes end before it does.
    Truncated,
    /// No frame is so long.
    InvalidLength(u32),
    /// The checksum is another.
    ChecksumMismatch {
        /// Of what stands there.
        computed: u32,
        /// What the frame says.
        stored: u32,
    },
}

/// Reads the frame at the beginning of these bytes.
///
/// # Errors
/// Why there is none.
pub fn read_frame(bytes: &[u8], seed: u32) -> Result<Frame<'_>, FrameError> {
    let head = bytes.first_chunk::<FRAME_HEADER_LEN>().ok_or(FrameError::Truncated)?;
    let (len, count) = (u32_at(head, 0), u32_at(head, 16));
    if len as usize > MAX_PAYLOAD_LEN || (len as usize) < RECORD_HEADER_LEN || count == 0 {
        return Err(FrameError::InvalidLength(len));
    }
    let payload =
        bytes.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len as usize).ok_or(FrameError::Truncated)?;
    let (computed, stored) =
        (crc32c_append(crc32c_append(seed, &head[..FRAME_HEADER_LEN - 4]), payload), u32_at(head, 20));
    if computed != stored {
        return Err(FrameError::ChecksumMismatch { computed, stored });
    }
    Ok(Frame { seq: u64_at(head, 8), durable_len: u32_at(head, 4), count, payload })
}

/// How long the frame is that begins like this, as far as its own length can be believed.
pub fn frame_len(head: &[u8]) -> Option<usize> {
    let len = u32_at(head.get(..FRAME_HEADER_LEN)?, 0) as usize;
    (len <= MAX_PAYLOAD_LEN).then_some(FRAME_HEADER_LEN + len)
}

/// What a record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record<'a> {
    /// A key's value, and where in the frame's payload that stands.
    Put {
        /// Its table.
        table: Table,
        /// The key.
        key: &'a [u8],
        /// The value.
        value: &'a [u8],
        /// Where the value stands in the payload.
        value_offset: usize,
    },
    /// A key is gone.
    Delete {
        /// Its table.
        table: Table,
        /// The key.
        key: &'a [u8],
    },
    /// All keys that begin like this are gone.
    DeletePrefix {
        /// Their table.
        table: Table,
        /// What they begin with.
        key: &'a [u8],
    },
    /// Segments below this number are not part of the log any more.
    LogStart(u32),
}

/// The records of a frame. An error is the place of one that cannot be read; a sound frame has none.
pub fn records(payload: &[u8]) -> impl Iterator<Item = Result<Record<'_>, usize>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        if at >= payload.len() {
            return None;
        }
        let found = record(payload, at).ok_or(at);
        at = found.as_ref().map_or(payload.len(), |f| f.1);
        Some(found.map(|f| f.0))
    })
}

fn record(payload: &[u8], at: usize) -> Option<(Record<'_>, usize)> {
    let (&op, &key_len) = (payload.get(at)?, payload.get(at + 1)?);
    let value_len = u32::from_le_bytes(*payload.get(at + 2..)?.first_chunk()?) as usize;
    let value_at = at + RECORD_HEADER_LEN + usize::from(key_len);
    let key = payload.get(at + RECORD_HEADER_LEN..value_at)?;
    let value = payload.get(value_at..value_at.checked_add(value_len)?)?;
    let table = Table(op >> 2);
    let record = match op & 3 {
        PUT => Record::Put { table, key, value, value_offset: value_at },
        DELETE => Record::Delete { table, key },
        DELETE_PREFIX => Record::DeletePrefix { table, key },
        _ => Record::LogStart(u32::from_le_bytes(*key.first_chunk()?)),
    };
    Some((record, value_at + value_len))
}

/// What a put takes of a segment, its share of a frame included.
pub fn put_len(key: usize, value: usize) -> u64 {
    (FRAME_HEADER_LEN + RECORD_HEADER_LEN + key + value) as u64
}

/// The file of a segment.
pub fn segment_file_name(number: u32) -> String {
    format!("{number:010}.log")
}

/// The number of a segment by its file's name.
pub fn segment_number(name: &str) -> Option<u32> {
    let digits =
        name.strip_suffix(".log").filter(|d| d.len() == 10 && d.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok().filter(|n| *n > 0)
}
