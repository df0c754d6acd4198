//! What is where: each key's place in the log, and how much of each segment is still of use.

use crate::format::{Record, Table, put_len};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Where a value stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The segment.
    pub segment: u32,
    /// Where its frame begins there.
    pub frame: u32,
    /// Where the value begins there.
    pub at: u32,
    /// How long it is.
    pub len: u32,
}

/// What a segment holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Its bytes.
    pub len: u64,
    /// Bytes of records that are still in force.
    pub live: u64,
    /// So many of its bytes are part of the log; what stands behind was written but never trusted.
    pub until: u32,
}

/// The index. A key stands behind its table's number.
#[derive(Default)]
pub struct Index {
    map: BTreeMap<Box<[u8]>, Place>,
    segments: BTreeMap<u32, Usage>,
    live: u64,
}

fn full(table: Table, key: &[u8]) -> Box<[u8]> {
    let mut all = Vec::with_capacity(1 + key.len());
    all.push(table.0);
    all.extend(key);
    all.into()
}

/// The first key behind all that begin like this.
fn behind(prefix: &[u8]) -> Option<Box<[u8]>> {
    let last = prefix.iter().rposition(|&b| b < u8::MAX)?;
    let mut end = prefix[..=last].to_vec();
    end[last] += 1;
    Some(end.into())
}

impl Index {
    /// Enters a record of a frame that begins there, whose records begin at `payload`.
    pub fn apply(&mut self, record: &Record<'_>, segment: u32, frame: u32, payload: u32) {
        match *record {
            Record::Put { table, key, value, value_offset } => {
                let place =
                    Place { segment, frame, at: payload + value_offset as u32, len: value.len() as u32 };
                self.enter(full(table, key), place);
            }
            Record::Delete { table, key } => {
                let key = full(table, key);
                if let Some(old) = self.map.remove(&key) {
                    self.forget(key.len() - 1, old);
                }
            }
            Record::DeletePrefix { table, key } => {
                let found: Vec<Box<[u8]>> = self.range(table, key).map(|(k, _)| k.into()).collect();
                for key in found {
                    if let Some(old) = self.map.remove(&key) {
                        self.forget(key.len() - 1, old);
                    }
                }
            }
            Record::LogStart(_) => {}
        }
    }

    /// Enters a key, its table's number before it.
    pub fn enter(&mut self, key: Box<[u8]>, place: Place) {
        let (len, add) = (key.len() - 1, put_len(key.len() - 1, place.len as usize));
        self.segments.entry(place.segment).or_default().live += add;
        self.live += add;
        if let Some(old) = self.map.insert(key, place) {
            self.forget(len, old);
        }
    }

    fn forget(&mut self, key: usize, old: Place) {
        let gone = put_len(key, old.len as usize);
        self.live -= gone;
        if let Some(s) = self.segments.get_mut(&old.segment) {
            s.live = s.live.saturating_sub(gone);
        }
    }

    /// Where a key's value stands.
    pub fn get(&self, table: Table, key: &[u8]) -> Option<Place> {
        self.map.get(&full(table, key)).copied()
    }

    /// All keys that begin like this, each behind its table's number.
    pub fn range(&self, table: Table, prefix: &[u8]) -> impl Iterator<Item = (&[u8], Place)> {
        let from = full(table, prefix);
        let end = behind(&from);
        let to = end.map_or(Bound::Unbounded, Bound::Excluded);
        self.map.range((Bound::Included(from), to)).map(|(k, p)| (&**k, *p))
    }

    /// So many keys from this one on, in order.
    pub fn some_from(&self, from: Bound<&[u8]>, most: usize) -> Vec<(Box<[u8]>, Place)> {
        let from = from.map(Box::from);
        self.map.range((from, Bound::Unbounded)).take(most).map(|(k, p)| (k.clone(), *p)).collect()
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// A segment is so long now.
    pub fn grown(&mut self, segment: u32, len: u64) {
        self.segments.entry(segment).or_default().len = len;
    }

    /// So many of a segment's bytes are part of the log.
    pub fn sealed(&mut self, segment: u32, until: u32) {
        self.segments.entry(segment).or_default().until = until;
    }

    /// A segment is gone.
    pub fn dropped(&mut self, segment: u32) {
        self.segments.remove(&segment);
    }

    /// All segments, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (u32, Usage)> {
        self.segments.iter().map(|(n, u)| (*n, *u))
    }

    /// Bytes of all records that are in force.
    pub fn live(&self) -> u64 {
        self.live
    }
}
