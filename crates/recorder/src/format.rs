//! The form of a recording.
//!
//! A segment begins with [`MAGIC`]; after it come frames: length and CRC-32 (IEEE) of the payload, each four
//! bytes in little-endian order, then the payload, a [`Record`] in postcard's encoding (its 1.0 wire format).
//! A segment's first record is its [`Header`], which holds all that is needed to play it without the segments
//! before it. A recording is any number of segments one behind the other.

use notchpoint_policy::{Action, EndpointId, Event, Micros, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Begins each segment; the last byte is the version of the form.
pub const MAGIC: [u8; 8] = *b"NPTREC\0\x01";
/// Length and checksum before each payload.
pub const FRAME_HEADER_LEN: usize = 8;
/// No record is longer: a state of 100,000 messages and destinations takes a third of it.
pub const MAX_RECORD_LEN: usize = 64 << 20;

/// What a segment starts from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SegmentStart {
    /// The start of a process: any build can play it.
    Fresh {
        /// What the module was told.
        settings: Settings,
        /// Its seed.
        seed: u64,
    },
    /// The module's state before the first turn, in the form that `state_form` names.
    State(Vec<u8>),
}

/// The first record of a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's name.
    pub sender: String,
    /// Which process of it: Unix time at its start, in microseconds.
    pub run: u64,
    /// The number of the segment in its run.
    pub segment: u64,
    /// The number of its first turn.
    pub first_turn: u64,
    /// The decisions' text, see [`notchpoint_policy::FINGERPRINT`].
    pub fingerprint: u64,
    /// The state's form, see [`notchpoint_policy::STATE_FORM`].
    pub state_form: u64,
    /// The module's clock, and Unix time, in microseconds.
    pub at: Micros,
    /// See `at`.
    pub unix: u64,
    /// The names of classes, by position.
    pub classes: Vec<String>,
    /// Endpoints by number and name.
    pub endpoints: Vec<(EndpointId, String)>,
    /// What it starts from.
    pub start: SegmentStart,
}

/// One turn of the module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// Its number in the run.
    pub number: u64,
    /// The module's clock.
    pub at: Micros,
    /// What it was told.
    pub events: Vec<Event>,
    /// What it answered.
    pub actions: Vec<Action>,
}

/// What a frame holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The first of a segment.
    Header(Box<Header>),
    /// A turn.
    Turn(Turn),
    /// Unix time stepped against the module's clock: both, in microseconds.
    Clock {
        /// The module's clock.
        at: Micros,
        /// Unix time.
        unix: u64,
    },
    /// An endpoint was named.
    Name(EndpointId, String),
}

/// A [`Record::Turn`] to be written, without a copy of what is in it. Its encoding is the same.
#[derive(Serialize)]
struct TurnToWrite<'a> {
    number: u64,
    at: Micros,
    events: &'a [Event],
    actions: &'a [Action],
}

/// The place of [`Record::Turn`] among the records.
const TURN: u8 = 1;

/// Why a record could not be written.
#[derive(Debug)]
pub struct TooLong(pub usize);

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a record of {} bytes; {MAX_RECORD_LEN} are allowed", self.0)
    }
}

impl std::error::Error for TooLong {}

/// Appends a record as a frame.
pub fn write_record(record: &Record, to: &mut Vec<u8>) -> Result<(), TooLong> {
    frame(&[], record, to)
}

/// Appends a turn as a frame; as [`write_record()`] of a [`Record::Turn`], but nothing is copied on the way.
pub fn write_turn(
    number: u64,
    at: Micros,
    events: &[Event],
    actions: &[Action],
    to: &mut Vec<u8>,
) -> Result<(), TooLong> {
    frame(&[TURN], &TurnToWrite { number, at, events, actions }, to)
}

fn frame(before: &[u8], payload: &impl Serialize, to: &mut Vec<u8>) -> Result<(), TooLong> {
    let start = to.len();
    to.extend([0; FRAME_HEADER_LEN]);
    to.extend(before);
    // Writing into memory cannot fail for plain data.
    *to = postcard::to_extend(payload, std::mem::take(to)).map_err(|_| TooLong(usize::MAX))?;
    let body = start + FRAME_HEADER_LEN;
    let length = to.len() - body;
    if length > MAX_RECORD_LEN {
        to.truncate(start);
        return Err(TooLong(length));
    }
    let sum = crc32fast::hash(&to[body..]);
    to[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
    to[start + 4..body].copy_from_slice(&sum.to_le_bytes());
    Ok(())
}

/// What is wrong with a segment, and from where on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// It ends within a record: the process was killed while it wrote, or the file was cut.
    Truncated {
        /// Where the torn record begins, counted from the start of the recording.
        offset: usize,
    },
    /// A record is whole by its checksum, but says nothing that this build knows: another version wrote it.
    UnknownFormat {
        /// Where it begins.
        offset: usize,
    },
    /// A record does not fit its checksum.
    ChecksumMismatch {
        /// Where it begins.
        offset: usize,
    },
    /// These bytes are no segment.
    NoSegment {
        /// Where they begin.
        offset: usize,
    },
    /// The form is of another version.
    UnsupportedVersion {
        /// Where the segment begins.
        offset: usize,
        /// Its version.
        version: u8,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { offset } => write!(f, "byte {offset}: the recording ends within a record"),
            Self::UnknownFormat { offset } => {
                write!(f, "byte {offset}: a whole record in a form that this build does not know: it was ")?;
                write!(f, "written by another version, and only a build with that form can play it")
            }
            Self::ChecksumMismatch { offset } => {
                write!(f, "byte {offset}: a record does not fit its checksum")
            }
            Self::NoSegment { offset } => write!(f, "byte {offset}: no segment of a recording begins here"),
            Self::UnsupportedVersion { offset, version } => {
                write!(
                    f,
                    "byte {offset}: a segment of version {version}, this build reads version {}",
                    MAGIC[7]
                )
            }
        }
    }
}

enum Frame<'a> {
    Whole(Record, &'a [u8]),
    Cut,
    Spoilt,
    Foreign,
}

/// The payload of the first frame, and what follows it; else whether the bytes end within it.
fn check(bytes: &[u8]) -> Result<(&[u8], &[u8]), Frame<'static>> {
    let (head, rest) = bytes.split_at_checked(FRAME_HEADER_LEN).ok_or(Frame::Cut)?;
    let word = |n: usize| u32::from_le_bytes([head[n], head[n + 1], head[n + 2], head[n + 3]]);
    let length = word(0) as usize;
    if length > MAX_RECORD_LEN {
        return Err(Frame::Spoilt);
    }
    let (body, rest) = rest.split_at_checked(length).ok_or(Frame::Cut)?;
    if crc32fast::hash(body) != word(4) {
        return Err(Frame::Spoilt);
    }
    Ok((body, rest))
}

fn read(bytes: &[u8]) -> Frame<'_> {
    let (body, rest) = match check(bytes) {
        Ok(found) => found,
        Err(bad) => return bad,
    };
    match postcard::take_from_bytes(body) {
        Ok((record, [])) => Frame::Whole(record, rest),
        _ => Frame::Foreign,
    }
}

/// A segment of a recording: its header, and the bytes behind it.
#[derive(Clone, Debug)]
pub struct Segment<'a> {
    /// Where it begins.
    pub offset: usize,
    /// Its header.
    pub header: Header,
    records: &'a [u8],
    records_at: usize,
}

/// A recording, read as far as it makes sense.
#[derive(Clone, Debug, Default)]
pub struct Recording<'a> {
    /// Its segments, oldest first.
    pub segments: Vec<Segment<'a>>,
    /// What is wrong with it.
    pub damage: Vec<Damage>,
}

impl<'a> Recording<'a> {
    /// Finds the segments. Behind a damaged one the next is looked for, since each can be played by itself.
    pub fn read(bytes: &'a [u8]) -> Self {
        let mut found = Self::default();
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            let next = |from: usize| find(bytes, from).unwrap_or(bytes.len());
            if rest.len() < MAGIC.len() && MAGIC.starts_with(rest) {
                found.damage.push(Damage::Truncated { offset: at });
                break;
            }
            if !rest.starts_with(&MAGIC[..7]) {
                found.damage.push(Damage::NoSegment { offset: at });
                at = next(at + 1);
                continue;
            }
            if rest[7] != MAGIC[7] {
                found.damage.push(Damage::UnsupportedVersion { offset: at, version: rest[7] });
                at = next(at + 1);
                continue;
            }
            let begin = at + MAGIC.len();
            match read(&bytes[begin..]) {
                Frame::Whole(Record::Header(header), rest) => {
                    let records_at = bytes.len() - rest.len();
                    let end = end(bytes, records_at);
                    let records = &bytes[records_at..end];
                    found.segments.push(Segment { offset: at, header: *header, records, records_at });
                    at = end;
                }
                Frame::Cut if find(bytes, begin).is_none() => {
                    found.damage.push(Damage::Truncated { offset: at });
                    break;
                }
                Frame::Foreign => {
                    found.damage.push(Damage::UnknownFormat { offset: at });
                    at = next(begin);
                }
                _ => {
                    found.damage.push(Damage::ChecksumMismatch { offset: at });
                    at = next(begin);
                }
            }
        }
        found
    }
}

/// Where the next segment begins, by its magic, at or after `from`.
fn find(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(MAGIC.len()).position(|w| w == MAGIC).map(|n| from + n)
}

/// Where a segment's records end: at the next segment, or with the bytes.
fn end(bytes: &[u8], mut at: usize) -> usize {
    loop {
        if bytes[at..].starts_with(&MAGIC) {
            return at;
        }
        match check(&bytes[at..]) {
            Ok((_, [])) => return bytes.len(),
            Ok((_, rest)) => at = bytes.len() - rest.len(),
            // Torn or spoilt, so its length is not believed: what follows begins with the next magic.
            Err(_) => return find(bytes, at).unwrap_or(bytes.len()),
        }
    }
}

impl<'a> Segment<'a> {
    /// Its records, up to the last whole one.
    pub fn records(&self) -> Records<'a> {
        Records { bytes: self.records, at: self.records_at, damage: None }
    }
}

/// Reads records one by one.
#[derive(Clone, Debug)]
pub struct Records<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Why it ended, if not with the segment's end.
    pub damage: Option<Damage>,
}

impl Iterator for Records<'_> {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        if self.bytes.is_empty() || self.damage.is_some() {
            return None;
        }
        match read(self.bytes) {
            Frame::Whole(Record::Header(_), _) | Frame::Spoilt => {
                self.damage = Some(Damage::ChecksumMismatch { offset: self.at });
                None
            }
            Frame::Foreign => {
                self.damage = Some(Damage::UnknownFormat { offset: self.at });
                None
            }
            Frame::Cut => {
                self.damage = Some(Damage::Truncated { offset: self.at });
                None
            }
            Frame::Whole(record, rest) => {
                self.at += self.bytes.len() - rest.len();
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
    fn a_whole_record_of_another_version_is_not_taken_for_damage() {
        let mut bytes = MAGIC.to_vec();
        frame(&[77], &"a record of a later version", &mut bytes).expect("fits");
        assert_eq!(Recording::read(&bytes).damage, [Damage::UnknownFormat { offset: 0 }]);
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        assert_eq!(Recording::read(&bytes).damage, [Damage::ChecksumMismatch { offset: 0 }]);
    }

    #[test]
    fn a_turn_written_without_a_copy_is_the_same_bytes() {
        let (events, actions) = (vec![Event::Wake], vec![Action::Watch, Action::WakeAt(7)]);
        let (mut a, mut b) = (Vec::new(), Vec::new());
        write_turn(300, 5, &events, &actions, &mut a).expect("fits");
        write_record(&Record::Turn(Turn { number: 300, at: 5, events, actions }), &mut b).expect("fits");
        assert_eq!(a, b);
    }
}
