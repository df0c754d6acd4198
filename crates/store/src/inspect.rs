//! Looking at a folder without being its owner: check it, list it, save what can be saved.

use crate::error::Error;
use crate::format::{
    Batch, HEADER_LEN, Record, Table, checksum_seed, read_frame, records, segment_file_name,
};
use crate::plan::{Options, WriteKind};
use crate::recover::RecoveryReport;
use crate::store::{Store, read, read_found};
use notchpoint_seam::Disk;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a check found in a sound folder.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// As at a start.
    pub recovery: RecoveryReport,
    /// For each table keys and bytes of records in force.
    pub tables: BTreeMap<u8, (u64, u64)>,
    /// For each segment its bytes and those of records in force.
    pub segments: Vec<(u32, u64, u64)>,
}

/// Reads every byte and every record. Nothing is changed, and the folder may be in use.
///
/// # Errors
/// As at a start.
pub fn check(disk: &dyn Disk) -> Result<CheckReport, Error> {
    // Read whole, whatever a checkpoint says.
    let found = read(disk, &Options { checkpoint_interval: 0, ..Options::new(0, u64::MAX) })?;
    let index = &found.recovery.index;
    let mut tables = BTreeMap::new();
    for table in 0..crate::format::TABLE_COUNT {
        let (mut keys, mut bytes) = (0, 0);
        for (key, place) in index.range(Table(table), &[]) {
            (keys, bytes) = (keys + 1, bytes + key.len() as u64 + u64::from(place.len));
        }
        if keys > 0 {
            tables.insert(table, (keys, bytes));
        }
    }
    let segments = index.segments().map(|(n, u)| (n, u.len, u.live)).collect();
    Ok(CheckReport { recovery: found.notes, tables, segments })
}

/// A sound frame, or bytes that are none.
#[derive(Clone, Debug)]
pub enum LogItem<'a> {
    /// A record, and the frame that it stands in: its place and number.
    Record {
        /// Where the frame begins.
        offset: u64,
        /// Its number.
        seq: u64,
        /// The record.
        record: Record<'a>,
    },
    /// Nothing can be read from here ...
    Unreadable {
        /// ... from this byte on ...
        from: u64,
        /// ... up to this one.
        to: u64,
    },
    /// The frames from this number on are missing, up to the next one that was read.
    MissingFrames {
        /// The first of them.
        from: u64,
        /// The next that is there.
        to: u64,
    },
}

/// Tells all that stands in a folder, in the order written, damage included.
///
/// # Errors
/// The folder cannot be read.
pub fn walk(disk: &dyn Disk, mut each: impl FnMut(u32, LogItem<'_>)) -> Result<(), Error> {
    let mut found = read_found(disk)?;
    found.sort_by_key(|f| f.number);
    // A segment whose header is lost is read by what the others say.
    let store = found.iter().find_map(|f| f.header.as_ref().ok()).map_or(0, |h| h.store_id);
    let mut expected: Option<u64> = None;
    for (n, f) in found.iter().enumerate() {
        let number = f.number;
        let seed = checksum_seed(f.header.as_ref().map_or(store, |h| h.store_id), number);
        let mut bytes = disk.read(&segment_file_name(number))?.unwrap_or_default();
        let next = found.get(n + 1).filter(|x| x.number == number + 1).and_then(|x| x.header.as_ref().ok());
        if let Some(next) = next {
            bytes.truncate(next.previous_len as usize);
        }
        if f.header.is_err() {
            each(number, LogItem::Unreadable { from: 0, to: HEADER_LEN.min(bytes.len()) as u64 });
        }
        let (mut at, mut lost) = (HEADER_LEN.min(bytes.len()), None);
        while at < bytes.len() {
            let Ok(frame) = read_frame(&bytes[at..], seed) else {
                lost.get_or_insert(at);
                at += 1;
                continue;
            };
            if let Some(from) = lost.take() {
                each(number, LogItem::Unreadable { from: from as u64, to: at as u64 });
            }
            if let Some(from) = expected.filter(|e| *e < frame.seq) {
                each(number, LogItem::MissingFrames { from, to: frame.seq });
            }
            for record in records(frame.payload).flatten() {
                each(number, LogItem::Record { offset: at as u64, seq: frame.seq, record });
            }
            expected = Some(frame.seq + 1);
            at += frame.len();
        }
        if let Some(from) = lost {
            each(number, LogItem::Unreadable { from: from as u64, to: bytes.len() as u64 });
        }
    }
    Ok(())
}

/// What was saved, and what was not.
#[derive(Clone, Debug, Default)]
pub struct SalvageReport {
    /// Keys that stand in the new folder.
    pub key_count: u64,
    /// Bytes that could not be read: the segment, from, to.
    pub unreadable: Vec<(u32, u64, u64)>,
    /// Frames that are missing: from this number on, up to the next that was read. What was known before them
    /// may have been changed or ended by them.
    pub missing_frames: Vec<(u64, u64)>,
    /// Keys whose last frame that was read came before such a gap.
    pub uncertain: Vec<(Table, Vec<u8>)>,
}

/// Saves what can be read into another folder, which must hold no store. `amend` is told of each key that may
/// have been changed or ended by a frame that is missing, with its value, and may add to what is written.
///
/// # Errors
/// A folder cannot be read or written, or the new one holds a store already.
pub fn salvage(
    from: &dyn Disk,
    to: Rc<dyn Disk>,
    options: Options,
    mut amend: impl FnMut(Table, &[u8], &[u8], &mut Batch),
) -> Result<SalvageReport, Error> {
    let mut saved = SalvageReport::default();
    let mut known: BTreeMap<(u8, Vec<u8>), (u64, Vec<u8>)> = BTreeMap::new();
    // Whether the last bytes of all are lost: they may have held frames that nothing counts.
    let mut tail = false;
    walk(from, |number, piece| {
        tail = matches!(piece, LogItem::Unreadable { .. });
        match piece {
            LogItem::Unreadable { from, to } => saved.unreadable.push((number, from, to)),
            LogItem::MissingFrames { from, to } => saved.missing_frames.push((from, to)),
            LogItem::Record { seq, record, .. } => match record {
                Record::Put { table, key, value, .. } => {
                    known.insert((table.0, key.to_vec()), (seq, value.to_vec()));
                }
                Record::Delete { table, key } => {
                    known.remove(&(table.0, key.to_vec()));
                }
                Record::DeletePrefix { table, key } => {
                    known.retain(|(t, k), _| *t != table.0 || !k.starts_with(key))
                }
                Record::LogStart(_) => {}
            },
        }
    })?;
    if !read_found(&*to)?.is_empty() {
        let why =
            std::io::Error::new(std::io::ErrorKind::AlreadyExists, "the new folder holds a store already");
        return Err(why.into());
    }
    let (mut store, _) = Store::open(to, options)?;
    let gap = if tail { Some(u64::MAX) } else { saved.missing_frames.last().map(|m| m.0) };
    for ((table, key), (seq, value)) in known {
        let mut batch = Batch::default();
        batch.put(Table(table), &key, &value);
        if gap.is_some_and(|gap| seq < gap) {
            amend(Table(table), &key, &value, &mut batch);
            saved.uncertain.push((Table(table), key));
        }
        store.apply(&batch, WriteKind::Update)?;
        saved.key_count += 1;
    }
    Ok(saved)
}
