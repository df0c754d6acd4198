//! Inspects a folder without opening its store: checks it, lists its records, and salvages what is readable.

use crate::error::Error;
use crate::format::{
    Batch, HEADER_LEN, Record, Table, checksum_seed, read_frame, records, segment_file_name,
};
use crate::plan::{Options, WriteKind};
use crate::recover::RecoveryReport;
use crate::store::{Store, load, read_headers};
use notchpoint_seam::Disk;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The content of a valid folder.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// What a start would report.
    pub recovery: RecoveryReport,
    /// The number of keys and the bytes of live records, by table.
    pub tables: BTreeMap<u8, (u64, u64)>,
    /// For each segment its number, its length and the bytes of its live records.
    pub segments: Vec<(u32, u64, u64)>,
}

/// Reads every byte and every record. Nothing is changed, and the folder may be in use.
///
/// # Errors
/// The same errors as [`Store::open`], except for the lock.
pub fn check(disk: &dyn Disk) -> Result<CheckReport, Error> {
    // Without checkpoints the whole log is read.
    let loaded = load(disk, &Options { checkpoint_interval: 0, ..Options::new(0, u64::MAX) })?;
    let index = &loaded.recovery.index;
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
    let segments = index.segments().map(|(number, usage)| (number, usage.len, usage.live_bytes)).collect();
    Ok(CheckReport { recovery: loaded.report, tables, segments })
}

/// A part of a log as [`walk`] reports it.
#[derive(Clone, Debug)]
pub enum LogItem<'a> {
    /// A record of a valid frame.
    Record {
        /// The offset of the frame in the segment.
        offset: u64,
        /// The sequence number of the frame.
        seq: u64,
        /// The record.
        record: Record<'a>,
    },
    /// Bytes that cannot be read.
    Unreadable {
        /// The offset of the first byte.
        from: u64,
        /// The offset after the last byte.
        to: u64,
    },
    /// Frames that are missing.
    MissingFrames {
        /// The sequence number of the first missing frame.
        from: u64,
        /// The sequence number of the next frame that was read.
        to: u64,
    },
}

/// Calls `visitor` with each segment's number and items, in the order written, including damaged parts.
///
/// # Errors
/// The folder cannot be read.
pub fn walk(disk: &dyn Disk, mut visitor: impl FnMut(u32, LogItem<'_>)) -> Result<(), Error> {
    let mut found = read_headers(disk)?;
    found.sort_by_key(|file| file.number);
    // A segment without a valid header is read with the store id of another segment.
    let store = found.iter().find_map(|file| file.header.as_ref().ok()).map_or(0, |h| h.store_id);
    let mut expected_seq: Option<u64> = None;
    for (n, file) in found.iter().enumerate() {
        let number = file.number;
        let seed = checksum_seed(file.header.as_ref().map_or(store, |h| h.store_id), number);
        let mut bytes = disk.read(&segment_file_name(number))?.unwrap_or_default();
        let next = found
            .get(n + 1)
            .filter(|next| next.number == number + 1)
            .and_then(|next| next.header.as_ref().ok());
        if let Some(next) = next {
            bytes.truncate(next.previous_len as usize);
        }
        if file.header.is_err() {
            visitor(number, LogItem::Unreadable { from: 0, to: HEADER_LEN.min(bytes.len()) as u64 });
        }
        let (mut offset, mut unreadable_from) = (HEADER_LEN.min(bytes.len()), None);
        while offset < bytes.len() {
            let Ok(frame) = read_frame(&bytes[offset..], seed) else {
                unreadable_from.get_or_insert(offset);
                offset += 1;
                continue;
            };
            if let Some(from) = unreadable_from.take() {
                visitor(number, LogItem::Unreadable { from: from as u64, to: offset as u64 });
            }
            if let Some(from) = expected_seq.filter(|seq| *seq < frame.seq) {
                visitor(number, LogItem::MissingFrames { from, to: frame.seq });
            }
            for record in records(frame.payload).flatten() {
                visitor(number, LogItem::Record { offset: offset as u64, seq: frame.seq, record });
            }
            expected_seq = Some(frame.seq + 1);
            offset += frame.len();
        }
        if let Some(from) = unreadable_from {
            visitor(number, LogItem::Unreadable { from: from as u64, to: bytes.len() as u64 });
        }
    }
    Ok(())
}

/// What was salvaged, and what was not.
#[derive(Clone, Debug, Default)]
pub struct SalvageReport {
    /// The number of keys in the new folder.
    pub key_count: u64,
    /// Bytes that could not be read: the segment, the first offset and the offset after the last byte.
    pub unreadable: Vec<(u32, u64, u64)>,
    /// Ranges of missing frames: the sequence number of the first, and of the next frame that was read. These
    /// frames may have changed or removed keys that were written before them.
    pub missing_frames: Vec<(u64, u64)>,
    /// Keys that were last written before missing frames.
    pub uncertain: Vec<(Table, Vec<u8>)>,
}

/// Copies everything readable to another folder, which must not contain a store. `amend` is called with each
/// key that a missing frame may have changed or removed, and with its value; it may add records to the batch
/// that writes the key.
///
/// # Errors
/// A folder cannot be read or written, or the new folder contains a store already.
pub fn salvage(
    from: &dyn Disk,
    to: Rc<dyn Disk>,
    options: Options,
    mut amend: impl FnMut(Table, &[u8], &[u8], &mut Batch),
) -> Result<SalvageReport, Error> {
    let mut report = SalvageReport::default();
    let mut found: BTreeMap<(u8, Vec<u8>), (u64, Vec<u8>)> = BTreeMap::new();
    // Whether the end of the log is unreadable: it may have contained frames that no sequence number reveals.
    let mut is_tail_unreadable = false;
    walk(from, |number, item| {
        is_tail_unreadable = matches!(item, LogItem::Unreadable { .. });
        match item {
            LogItem::Unreadable { from, to } => report.unreadable.push((number, from, to)),
            LogItem::MissingFrames { from, to } => report.missing_frames.push((from, to)),
            LogItem::Record { seq, record, .. } => match record {
                Record::Put { table, key, value, .. } => {
                    found.insert((table.0, key.to_vec()), (seq, value.to_vec()));
                }
                Record::Delete { table, key } => {
                    found.remove(&(table.0, key.to_vec()));
                }
                Record::DeletePrefix { table, key } => {
                    found.retain(|(t, k), _| *t != table.0 || !k.starts_with(key))
                }
                Record::LogStart(_) => {}
            },
        }
    })?;
    if !read_headers(&*to)?.is_empty() {
        let error =
            std::io::Error::new(std::io::ErrorKind::AlreadyExists, "the new folder contains a store already");
        return Err(error.into());
    }
    let (mut store, _) = Store::open(to, options)?;
    let last_gap =
        if is_tail_unreadable { Some(u64::MAX) } else { report.missing_frames.last().map(|m| m.0) };
    for ((table, key), (seq, value)) in found {
        let mut batch = Batch::default();
        batch.put(Table(table), &key, &value);
        if last_gap.is_some_and(|gap| seq < gap) {
            amend(Table(table), &key, &value, &mut batch);
            report.uncertain.push((Table(table), key));
        }
        store.apply(&batch, WriteKind::Update)?;
        report.key_count += 1;
    }
    Ok(report)
}
