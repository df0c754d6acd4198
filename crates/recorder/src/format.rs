//! The format of a recording.
//!
//! A segment begins with [`MAGIC`], followed by frames. A frame is the length and the CRC-32 (IEEE) of its
//! payload, each four bytes in little-endian order, and then the payload: a [`Record`] in postcard's encoding
//! (its 1.0 wire format). A segment's first record is its [`Header`], which holds everything that is needed
//! to replay the segment without the segments before it. A recording is a sequence of any number of segments.

use notchpoint_policy::{Action, EndpointId, Event, Micros, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The first bytes of each segment. The last byte is the version of the format.
pub const MAGIC: [u8; 8] = *b"NPTREC\0\x01";
/// The length in bytes of a frame's header: the payload's length and checksum.
pub const FRAME_HEADER_LEN: usize = 8;
/// The maximum length of a record in bytes: three times a state of 100,000 messages and destinations.
pub const MAX_RECORD_LEN: usize = 64 << 20;

/// The state of the decision module at the start of a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SegmentStart {
    /// A new process. Any build can replay it.
    Fresh {
        /// The module's settings.
        settings: Settings,
        /// The module's random seed.
        seed: u64,
    },
    /// The module's serialized state before the first turn, in the format given by [`Header::state_form`].
    State(Vec<u8>),
}

/// The first record of a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The name of the sender.
    pub sender: String,
    /// The process: the Unix time of its start, in microseconds.
    pub run: u64,
    /// The number of the segment in its process.
    pub segment: u64,
    /// The number of the segment's first turn.
    pub first_turn: u64,
    /// The fingerprint of the decision module's source, see [`notchpoint_policy::FINGERPRINT`].
    pub fingerprint: u64,
    /// The format of the serialized state, see [`notchpoint_policy::STATE_FORM`].
    pub state_form: u64,
    /// The module's clock at the start of the segment, in microseconds.
    pub at: Micros,
    /// The Unix time at the start of the segment, in microseconds.
    pub unix: u64,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The ids and names of the endpoints.
    pub endpoints: Vec<(EndpointId, String)>,
    /// The state of the decision module.
    pub start: SegmentStart,
}

/// One turn of the decision module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The number of the turn in its process.
    pub number: u64,
    /// The module's clock in microseconds.
    pub at: Micros,
    /// The events passed to the module.
    pub events: Vec<Event>,
    /// The actions that the module returned.
    pub actions: Vec<Action>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The first record of a segment.
    Header(Box<Header>),
    /// A turn of the decision module.
    Turn(Turn),
    /// The Unix clock was stepped relative to the module's clock.
    Clock {
        /// The module's clock in microseconds.
        at: Micros,
        /// The Unix time in microseconds.
        unix: u64,
    },
    /// The name of an endpoint.
    Name(EndpointId, String),
}

/// A borrowed [`Record::Turn`] with the same encoding. It is written without a copy of its content.
#[derive(Serialize)]
struct BorrowedTurn<'a> {
    number: u64,
    at: Micros,
    events: &'a [Event],
    actions: &'a [Action],
}

/// The index of the variant [`Record::Turn`].
const TURN_VARIANT: u8 = 1;

/// A record could not be written because it has this number of bytes.
#[derive(Debug)]
pub struct TooLong(pub usize);

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a record of {} bytes exceeds the maximum of {MAX_RECORD_LEN} bytes", self.0)
    }
}

impl std::error::Error for TooLong {}

/// Appends a record to `to` as a frame.
pub fn write_record(record: &Record, to: &mut Vec<u8>) -> Result<(), TooLong> {
    frame(&[], record, to)
}

/// Appends a turn to `to` as a frame. The result is that of [`write_record()`] with a [`Record::Turn`], but
/// the events and actions are not copied.
pub fn write_turn(
    number: u64,
    at: Micros,
    events: &[Event],
    actions: &[Action],
    to: &mut Vec<u8>,
) -> Result<(), TooLong> {
    frame(&[TURN_VARIANT], &BorrowedTurn { number, at, events, actions }, to)
}

fn frame(prefix: &[u8], payload: &impl Serialize, to: &mut Vec<u8>) -> Result<(), TooLong> {
    let start = to.len();
    to.extend([0; FRAME_HEADER_LEN]);
    to.extend(prefix);
    // Serializing plain data into memory cannot fail.
    *to = postcard::to_extend(payload, std::mem::take(to)).map_err(|_| TooLong(usize::MAX))?;
    let payload_start = start + FRAME_HEADER_LEN;
    let length = to.len() - payload_start;
    if length > MAX_RECORD_LEN {
        to.truncate(start);
        return Err(TooLong(length));
    }
    let checksum = crc32fast::hash(&to[payload_start..]);
    to[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
    to[start + 4..payload_start].copy_from_slice(&checksum.to_le_bytes());
    Ok(())
}

/// A damaged or unsupported part of a recording. Offsets are counted from the start of the recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// The bytes end within a record: the process was killed while it wrote, or the file was truncated.
    Truncated {
        /// The offset of the incomplete record.
        offset: usize,
    },
    /// A record has a valid checksum, but cannot be decoded: another version wrote it.
    UnknownFormat {
        /// The offset of the record.
        offset: usize,
    },
    /// The checksum of a record does not match.
    ChecksumMismatch {
        /// The offset of the record.
        offset: usize,
    },
    /// These bytes are not a segment.
    NoSegment {
        /// The offset of the bytes.
        offset: usize,
    },
    /// The segment has another version of the format.
    UnsupportedVersion {
        /// The offset of the segment.
        offset: usize,
        /// The version of the format.
        version: u8,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { offset } => write!(f, "byte {offset}: the recording ends within a record"),
            Self::UnknownFormat { offset } => {
                write!(
                    f,
                    "byte {offset}: a valid record in a format that this build does not know: it was "
                )?;
                write!(f, "written by another version, and only a build with that format can replay it")
            }
            Self::ChecksumMismatch { offset } => {
                write!(f, "byte {offset}: the checksum of a record does not match")
            }
            Self::NoSegment { offset } => write!(f, "byte {offset}: no segment of a recording begins here"),
            Self::UnsupportedVersion { offset, version } => {
                write!(
                    f,
                    "byte {offset}: format version {version} is not supported (this build reads {})",
                    MAGIC[7]
                )
            }
        }
    }
}

/// The result of decoding a frame.
enum Frame<'a> {
    /// The record, and the bytes after the frame.
    Valid(Record, &'a [u8]),
    Truncated,
    ChecksumMismatch,
    UnknownFormat,
}

/// Returns the payload of the first frame and the bytes after the frame, or why the frame is invalid.
fn split_frame(bytes: &[u8]) -> Result<(&[u8], &[u8]), Frame<'static>> {
    let (header, rest) = bytes.split_at_checked(FRAME_HEADER_LEN).ok_or(Frame::Truncated)?;
    let u32_at = |n: usize| u32::from_le_bytes([header[n], header[n + 1], header[n + 2], header[n + 3]]);
    let length = u32_at(0) as usize;
    if length > MAX_RECORD_LEN {
        return Err(Frame::ChecksumMismatch);
    }
    let (payload, rest) = rest.split_at_checked(length).ok_or(Frame::Truncated)?;
    if crc32fast::hash(payload) != u32_at(4) {
        return Err(Frame::ChecksumMismatch);
    }
    Ok((payload, rest))
}

fn read_frame(bytes: &[u8]) -> Frame<'_> {
    let (payload, rest) = match split_frame(bytes) {
        Ok(frame) => frame,
        Err(invalid) => return invalid,
    };
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Frame::Valid(record, rest),
        _ => Frame::UnknownFormat,
    }
}

/// A segment of a recording.
#[derive(Clone, Debug)]
pub struct Segment<'a> {
    /// The offset of the segment in the recording.
    pub offset: usize,
    /// The segment's header.
    pub header: Header,
    /// The bytes of the records after the header.
    records: &'a [u8],
    /// The offset of these bytes in the recording.
    records_offset: usize,
}

/// A recording, decoded as far as possible.
#[derive(Clone, Debug, Default)]
pub struct Recording<'a> {
    /// The segments, oldest first.
    pub segments: Vec<Segment<'a>>,
    /// The damaged or unsupported parts.
    pub damage: Vec<Damage>,
}

impl<'a> Recording<'a> {
    /// Finds the segments. After a damaged segment it searches for the next one, because each segment can be
    /// replayed on its own.
    pub fn read(bytes: &'a [u8]) -> Self {
        let mut recording = Self::default();
        let mut position = 0;
        while position < bytes.len() {
            let rest = &bytes[position..];
            let next = |from: usize| find_segment(bytes, from).unwrap_or(bytes.len());
            if rest.len() < MAGIC.len() && MAGIC.starts_with(rest) {
                recording.damage.push(Damage::Truncated { offset: position });
                break;
            }
            if !rest.starts_with(&MAGIC[..7]) {
                recording.damage.push(Damage::NoSegment { offset: position });
                position = next(position + 1);
                continue;
            }
            if rest[7] != MAGIC[7] {
                recording.damage.push(Damage::UnsupportedVersion { offset: position, version: rest[7] });
                position = next(position + 1);
                continue;
            }
            let header_start = position + MAGIC.len();
            match read_frame(&bytes[header_start..]) {
                Frame::Valid(Record::Header(header), rest) => {
                    let records_offset = bytes.len() - rest.len();
                    let end = segment_end(bytes, records_offset);
                    let records = &bytes[records_offset..end];
                    recording.segments.push(Segment {
                        offset: position,
                        header: *header,
                        records,
                        records_offset,
                    });
                    position = end;
                }
                Frame::Truncated if find_segment(bytes, header_start).is_none() => {
                    recording.damage.push(Damage::Truncated { offset: position });
                    break;
                }
                Frame::UnknownFormat => {
                    recording.damage.push(Damage::UnknownFormat { offset: position });
                    position = next(header_start);
                }
                _ => {
                    recording.damage.push(Damage::ChecksumMismatch { offset: position });
                    position = next(header_start);
                }
            }
        }
        recording
    }
}

/// Returns the offset of the first segment at or after `from`, found by its magic bytes.
fn find_segment(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(MAGIC.len()).position(|w| w == MAGIC).map(|n| from + n)
}

/// Returns the offset where a segment's records end: at the next segment, or at the end of the bytes.
fn segment_end(bytes: &[u8], mut offset: usize) -> usize {
    loop {
        if bytes[offset..].starts_with(&MAGIC) {
            return offset;
        }
        match split_frame(&bytes[offset..]) {
            Ok((_, [])) => return bytes.len(),
            Ok((_, rest)) => offset = bytes.len() - rest.len(),
            // The record is truncated or damaged, so its length cannot be trusted. The search continues with
            // the next magic bytes.
            Err(_) => return find_segment(bytes, offset).unwrap_or(bytes.len()),
        }
    }
}

impl<'a> Segment<'a> {
    /// Returns the segment's records, up to the first invalid one.
    pub fn records(&self) -> Records<'a> {
        Records { bytes: self.records, offset: self.records_offset, damage: None }
    }
}

/// Iterates over the records of a segment.
#[derive(Clone, Debug)]
pub struct Records<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// Why the iteration stopped before the end of the segment.
    pub damage: Option<Damage>,
}

impl Iterator for Records<'_> {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        if self.bytes.is_empty() || self.damage.is_some() {
            return None;
        }
        match read_frame(self.bytes) {
            Frame::Valid(Record::Header(_), _) | Frame::ChecksumMismatch => {
                self.damage = Some(Damage::ChecksumMismatch { offset: self.offset });
                None
            }
            Frame::UnknownFormat => {
                self.damage = Some(Damage::UnknownFormat { offset: self.offset });
                None
            }
            Frame::Truncated => {
                self.damage = Some(Damage::Truncated { offset: self.offset });
                None
            }
            Frame::Valid(record, rest) => {
                self.offset += self.bytes.len() - rest.len();
                self.bytes = rest;
                Some(record)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_record_of_another_version_is_not_reported_as_damaged() {
        let mut bytes = MAGIC.to_vec();
        frame(&[77], &"a record of a later version", &mut bytes).expect("the record is not too long");
        assert_eq!(Recording::read(&bytes).damage, [Damage::UnknownFormat { offset: 0 }]);
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        assert_eq!(Recording::read(&bytes).damage, [Damage::ChecksumMismatch { offset: 0 }]);
    }

    #[test]
    fn borrowed_turn_has_the_same_encoding() {
        let (events, actions) = (vec![Event::Wake], vec![Action::Watch, Action::WakeAt(7)]);
        let (mut borrowed, mut owned) = (Vec::new(), Vec::new());
        write_turn(300, 5, &events, &actions, &mut borrowed).expect("the record is not too long");
        write_record(&Record::Turn(Turn { number: 300, at: 5, events, actions }), &mut owned)
            .expect("the record is not too long");
        assert_eq!(borrowed, owned);
    }
}
