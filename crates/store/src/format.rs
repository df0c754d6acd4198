//! The format of a segment: a header, followed by frames. Each frame holds a batch of records. Numbers are
//! little-endian.

use crc32c::{crc32c, crc32c_append};

/// The first bytes of each segment.
pub const MAGIC: [u8; 8] = *b"npstore\n";
/// The format version that this build writes. Later versions cannot be read.
pub const VERSION: u16 = 1;
/// The length of a segment's header in bytes.
pub const HEADER_LEN: usize = 64;
/// The length in bytes of a frame's header, which precedes its records.
pub const FRAME_HEADER_LEN: usize = 24;
/// The maximum length in bytes of the records in one frame: many times a body of 64 KiB and its keys. A frame
/// header with a longer length is invalid.
pub const MAX_PAYLOAD_LEN: usize = 1 << 20;
/// The length in bytes of a record's header: the operation and table, and the lengths of key and value.
const RECORD_HEADER_LEN: usize = 6;
/// The maximum length of a segment in bytes, well below the range of 32-bit offsets.
pub const MAX_SEGMENT_LEN: u64 = 1 << 30;

/// A key space. Callers may use the numbers 0 to 62.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Table(pub u8);

/// The number of tables. Table numbers are below it.
pub const TABLE_COUNT: u8 = 63;

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The id of the store that the segment belongs to: a random number drawn when the store was created.
    pub store_id: u64,
    /// The segment's number, which is also in its file name.
    pub number: u32,
    /// The sequence number of the segment's first frame.
    pub first_seq: u64,
    /// The number of the first segment of the log when this one was started; lower ones had been dropped.
    pub log_start: u32,
    /// The number of bytes of the previous segment that are part of the log.
    pub previous_len: u32,
    /// The checksum of these bytes.
    pub previous_checksum: u32,
}

impl Header {
    /// Encodes the header.
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
        let checksum = crc32c(&bytes);
        bytes.extend(checksum.to_le_bytes());
        let mut encoded = [0; HEADER_LEN];
        encoded.copy_from_slice(&bytes);
        encoded
    }

    /// Decodes a header.
    ///
    /// # Errors
    /// The offset within the header, what was expected there and what was found.
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
        // The version is checked before the checksum: the header of a later version may have another form.
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        let stored = u32_at(bytes, HEADER_LEN - 4);
        let computed = crc32c(&bytes[..HEADER_LEN - 4]);
        if version > VERSION && stored == computed {
            return Err((8, format!("version {VERSION} or older"), format!("version {version}")));
        }
        if stored != computed {
            return Err((HEADER_LEN - 4, format!("checksum {computed:08x}"), format!("{stored:08x}")));
        }
        let u32_from_u64 = |offset: usize| u32::try_from(u64_at(bytes, offset)).unwrap_or(u32::MAX);
        Ok(Self {
            store_id: u64_at(bytes, 16),
            number: u32_from_u64(24),
            first_seq: u64_at(bytes, 32),
            log_start: u32_from_u64(40),
            previous_len: u32_from_u64(48),
            previous_checksum: u32_at(bytes, 56),
        })
    }
}

/// Returns the initial value for the checksums of a segment's frames. It makes frames of another segment or
/// another store invalid.
pub fn checksum_seed(store: u64, number: u32) -> u32 {
    crc32c_append(crc32c(&store.to_le_bytes()), &number.to_le_bytes())
}

pub(crate) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..).and_then(|b| b.first_chunk()).map_or(0, |b| u32::from_le_bytes(*b))
}

pub(crate) fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..).and_then(|b| b.first_chunk()).map_or(0, |b| u64::from_le_bytes(*b))
}

/// Records that are written atomically: after a crash either all of them are recovered or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    payload: Vec<u8>,
    count: u32,
}

/// The operations of a record, in the low two bits of its first byte; the other bits are the table.
const PUT: u8 = 0;
const DELETE: u8 = 1;
const DELETE_PREFIX: u8 = 2;
/// Segments below the given number are no longer part of the log.
const LOG_START: u8 = 3;

impl Batch {
    fn record(&mut self, operation: u8, key: &[u8], value: &[u8]) {
        self.payload.push(operation);
        // `fits` rejects a longer key before anything is written.
        self.payload.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
        self.payload.extend((value.len() as u32).to_le_bytes());
        self.payload.extend(key);
        self.payload.extend(value);
        self.count += 1;
        if key.len() > usize::from(u8::MAX) {
            self.count = u32::MAX; // Makes `fits` return false.
        }
    }

    /// Adds a record that sets the value of a key.
    pub fn put(&mut self, table: Table, key: &[u8], value: &[u8]) {
        self.record(table.0 << 2 | PUT, key, value);
    }

    /// Adds a record that removes a key.
    pub fn delete(&mut self, table: Table, key: &[u8]) {
        self.record(table.0 << 2 | DELETE, key, &[]);
    }

    /// Adds a record that removes all keys with this prefix.
    pub fn delete_prefix(&mut self, table: Table, prefix: &[u8]) {
        self.record(table.0 << 2 | DELETE_PREFIX, prefix, &[]);
    }

    pub(crate) fn set_log_start(&mut self, number: u32) {
        self.record(LOG_START, &number.to_le_bytes(), &[]);
    }

    /// Returns whether the batch has no records.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the length of the batch as a frame, in bytes.
    pub fn len(&self) -> usize {
        FRAME_HEADER_LEN + self.payload.len()
    }

    /// Returns whether the batch fits in a frame.
    pub fn fits(&self) -> bool {
        self.payload.len() <= MAX_PAYLOAD_LEN && self.count < u32::MAX && self.count > 0
    }

    /// Encodes the batch as a frame. `durable_len` is the length up to which the segment is known to be
    /// durable.
    pub fn frame(&self, seed: u32, seq: u64, durable_len: u32) -> Vec<u8> {
        frame(&self.payload, self.count, seed, seq, durable_len)
    }
}

/// Encodes a frame with these records.
pub fn frame(payload: &[u8], count: u32, seed: u32, seq: u64, durable_len: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_LEN + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(durable_len.to_le_bytes());
    bytes.extend(seq.to_le_bytes());
    bytes.extend(count.to_le_bytes());
    let checksum = crc32c_append(crc32c_append(seed, &bytes), payload);
    bytes.extend(checksum.to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// A decoded frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The sequence number.
    pub seq: u64,
    /// The length up to which the segment was durable when the frame was written.
    pub durable_len: u32,
    /// The number of records.
    pub count: u32,
    /// The encoded records.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the length of the frame in bytes.
    pub fn len(&self) -> usize {
        FRAME_HEADER_LEN + self.payload.len()
    }

    /// Returns false: a frame always has records.
    pub fn is_empty(&self) -> bool {
        false
    }
}

/// Why bytes could not be decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes end before the frame does.
    Truncated,
    /// The length in the frame's header is outside of the allowed range.
    InvalidLength(u32),
    /// The checksum does not match.
    ChecksumMismatch {
        /// The checksum of the bytes.
        computed: u32,
        /// The checksum in the frame's header.
        stored: u32,
    },
}

/// Decodes the frame at the beginning of these bytes.
///
/// # Errors
/// Why the bytes are no valid frame.
pub fn read_frame(bytes: &[u8], seed: u32) -> Result<Frame<'_>, FrameError> {
    let header = bytes.first_chunk::<FRAME_HEADER_LEN>().ok_or(FrameError::Truncated)?;
    let (len, count) = (u32_at(header, 0), u32_at(header, 16));
    if len as usize > MAX_PAYLOAD_LEN || (len as usize) < RECORD_HEADER_LEN || count == 0 {
        return Err(FrameError::InvalidLength(len));
    }
    let payload =
        bytes.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len as usize).ok_or(FrameError::Truncated)?;
    let (computed, stored) =
        (crc32c_append(crc32c_append(seed, &header[..FRAME_HEADER_LEN - 4]), payload), u32_at(header, 20));
    if computed != stored {
        return Err(FrameError::ChecksumMismatch { computed, stored });
    }
    Ok(Frame { seq: u64_at(header, 8), durable_len: u32_at(header, 4), count, payload })
}

/// Returns the length of the frame with this header, or `None` if the length in the header is invalid.
pub fn frame_len(header: &[u8]) -> Option<usize> {
    let len = u32_at(header.get(..FRAME_HEADER_LEN)?, 0) as usize;
    (len <= MAX_PAYLOAD_LEN).then_some(FRAME_HEADER_LEN + len)
}

/// A decoded record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record<'a> {
    /// Sets the value of a key.
    Put {
        /// The key's table.
        table: Table,
        /// The key.
        key: &'a [u8],
        /// The value.
        value: &'a [u8],
        /// The offset of the value in the frame's payload.
        value_offset: usize,
    },
    /// Removes a key.
    Delete {
        /// The key's table.
        table: Table,
        /// The key.
        key: &'a [u8],
    },
    /// Removes all keys with a prefix.
    DeletePrefix {
        /// The table of the keys.
        table: Table,
        /// The prefix.
        key: &'a [u8],
    },
    /// Segments below this number are no longer part of the log.
    LogStart(u32),
}

/// Decodes the records of a frame. An error is the offset of a record that cannot be decoded; a valid frame
/// has none.
pub fn records(payload: &[u8]) -> impl Iterator<Item = Result<Record<'_>, usize>> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        if offset >= payload.len() {
            return None;
        }
        let decoded = record(payload, offset).ok_or(offset);
        offset = decoded.as_ref().map_or(payload.len(), |d| d.1);
        Some(decoded.map(|d| d.0))
    })
}

/// Decodes the record at an offset, and returns it with the offset of its end.
fn record(payload: &[u8], offset: usize) -> Option<(Record<'_>, usize)> {
    let (&operation, &key_len) = (payload.get(offset)?, payload.get(offset + 1)?);
    let value_len = u32::from_le_bytes(*payload.get(offset + 2..)?.first_chunk()?) as usize;
    let value_start = offset + RECORD_HEADER_LEN + usize::from(key_len);
    let key = payload.get(offset + RECORD_HEADER_LEN..value_start)?;
    let value = payload.get(value_start..value_start.checked_add(value_len)?)?;
    let table = Table(operation >> 2);
    let record = match operation & 3 {
        PUT => Record::Put { table, key, value, value_offset: value_start },
        DELETE => Record::Delete { table, key },
        DELETE_PREFIX => Record::DeletePrefix { table, key },
        _ => Record::LogStart(u32::from_le_bytes(*key.first_chunk()?)),
    };
    Some((record, value_start + value_len))
}

/// Returns the bytes that a put of these lengths occupies in a segment, including a whole frame header.
pub fn put_len(key: usize, value: usize) -> u64 {
    (FRAME_HEADER_LEN + RECORD_HEADER_LEN + key + value) as u64
}

/// Returns the file name of a segment.
pub fn segment_file_name(number: u32) -> String {
    format!("{number:010}.log")
}

/// Parses the number of a segment from its file name.
pub fn segment_number(name: &str) -> Option<u32> {
    let digits =
        name.strip_suffix(".log").filter(|d| d.len() == 10 && d.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok().filter(|n| *n > 0)
}
