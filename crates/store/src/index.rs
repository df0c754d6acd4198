//! The index: the place of each key's value in the log, and the number of live bytes in each segment.

use crate::format::{Record, Table, put_len};
use std::collections::BTreeMap;
use std::ops::Bound;

/// The place of a value in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The number of the segment.
    pub segment: u32,
    /// The offset of the frame in the segment.
    pub frame: u32,
    /// The offset of the value in the segment.
    pub value: u32,
    /// The length of the value in bytes.
    pub len: u32,
}

/// The size of a segment and its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentUsage {
    /// The length of the segment in bytes.
    pub len: u64,
    /// Bytes of live records.
    pub live_bytes: u64,
    /// The number of bytes that are part of the log. Bytes after them were written, but a write or a sync
    /// failed.
    pub log_len: u32,
}

/// The index. A key is stored with the number of its table before it.
#[derive(Default)]
pub struct Index {
    places: BTreeMap<Box<[u8]>, Place>,
    segments: BTreeMap<u32, SegmentUsage>,
    live_bytes: u64,
}

fn key_with_table(table: Table, key: &[u8]) -> Box<[u8]> {
    let mut bytes = Vec::with_capacity(1 + key.len());
    bytes.push(table.0);
    bytes.extend(key);
    bytes.into()
}

/// Returns the first key after all keys with this prefix.
fn prefix_end(prefix: &[u8]) -> Option<Box<[u8]>> {
    let last = prefix.iter().rposition(|&b| b < u8::MAX)?;
    let mut end = prefix[..=last].to_vec();
    end[last] += 1;
    Some(end.into())
}

impl Index {
    /// Applies a record. `frame` is the offset of its frame in the segment, and `payload_offset` that of the
    /// frame's records.
    pub fn apply(&mut self, record: &Record<'_>, segment: u32, frame: u32, payload_offset: u32) {
        match *record {
            Record::Put { table, key, value, value_offset } => {
                let place = Place {
                    segment,
                    frame,
                    value: payload_offset + value_offset as u32,
                    len: value.len() as u32,
                };
                self.insert(key_with_table(table, key), place);
            }
            Record::Delete { table, key } => {
                let key = key_with_table(table, key);
                if let Some(old) = self.places.remove(&key) {
                    self.subtract_live(key.len() - 1, old);
                }
            }
            Record::DeletePrefix { table, key } => {
                let found: Vec<Box<[u8]>> = self.range(table, key).map(|(k, _)| k.into()).collect();
                for key in found {
                    if let Some(old) = self.places.remove(&key) {
                        self.subtract_live(key.len() - 1, old);
                    }
                }
            }
            Record::LogStart(_) => {}
        }
    }

    /// Inserts a key, with its table's number before it.
    pub fn insert(&mut self, key: Box<[u8]>, place: Place) {
        let (key_len, added) = (key.len() - 1, put_len(key.len() - 1, place.len as usize));
        self.segments.entry(place.segment).or_default().live_bytes += added;
        self.live_bytes += added;
        if let Some(old) = self.places.insert(key, place) {
            self.subtract_live(key_len, old);
        }
    }

    fn subtract_live(&mut self, key_len: usize, old: Place) {
        let removed = put_len(key_len, old.len as usize);
        self.live_bytes -= removed;
        if let Some(segment) = self.segments.get_mut(&old.segment) {
            segment.live_bytes = segment.live_bytes.saturating_sub(removed);
        }
    }

    /// Returns the place of a key's value.
    pub fn get(&self, table: Table, key: &[u8]) -> Option<Place> {
        self.places.get(&key_with_table(table, key)).copied()
    }

    /// Returns all keys with this prefix, each with its table's number before it.
    pub fn range(&self, table: Table, prefix: &[u8]) -> impl Iterator<Item = (&[u8], Place)> {
        let from = key_with_table(table, prefix);
        let end = prefix_end(&from);
        let to = end.map_or(Bound::Unbounded, Bound::Excluded);
        self.places.range((Bound::Included(from), to)).map(|(k, p)| (&**k, *p))
    }

    /// Returns at most `limit` keys from this one on, in order.
    pub fn entries_from(&self, from: Bound<&[u8]>, limit: usize) -> Vec<(Box<[u8]>, Place)> {
        let from = from.map(Box::from);
        self.places.range((from, Bound::Unbounded)).take(limit).map(|(k, p)| (k.clone(), *p)).collect()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Sets the length of a segment.
    pub fn set_segment_len(&mut self, segment: u32, len: u64) {
        self.segments.entry(segment).or_default().len = len;
    }

    /// Sets how many bytes of a segment are part of the log.
    pub fn set_log_len(&mut self, segment: u32, log_len: u32) {
        self.segments.entry(segment).or_default().log_len = log_len;
    }

    /// Removes a segment.
    pub fn remove_segment(&mut self, segment: u32) {
        self.segments.remove(&segment);
    }

    /// Returns the number and the usage of all segments, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (u32, SegmentUsage)> {
        self.segments.iter().map(|(number, usage)| (*number, *usage))
    }

    /// Returns the bytes of all live records.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }
}
