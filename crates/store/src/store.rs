//! The store itself: performs on the disk what the format, the index, the plan and recovery decide.

use crate::checkpoint::{self, Checkpoint, Writer};
use crate::error::{Corruption, Error};
use crate::format::{
    Batch, FRAME_HEADER_LEN, Frame, FrameError, HEADER_LEN, Header, Record, Table, checksum_seed, frame,
    frame_len, read_frame, records, segment_file_name, segment_number, u64_at,
};
use crate::index::{Index, Place};
use crate::plan::{Durability, Options, Plan, SpaceUsage, WriteKind, blocks};
use crate::recover::{Recovery, RecoveryReport, SegmentFile, Tail, order};
use crc32c::crc32c_append;
use notchpoint_seam::disk::SyncFuture;
use notchpoint_seam::{Disk, File};
use std::any::Any;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// The file name of a new segment until its header is complete.
const NEW_SEGMENT_FILE: &str = "log.new";
/// The file that keeps disk space free; it is removed so that ends can be written when the disk is full.
const RESERVE_FILE: &str = "reserve";
/// Deferred writes are buffered up to this number of bytes.
const MAX_DEFERRED_BYTES: usize = 32 << 10;
/// The number of compaction steps that a new item waits for before it is refused: one or two milliseconds.
const MAX_COMPACT_STEPS_FOR_NEW: usize = 4;
/// The number of writes between the removal of the reserve file, or a failure to create it, and the next
/// attempt to create it.
const RESERVE_RETRY_WRITES: u32 = 256;

/// The segment that is written to.
pub(crate) struct ActiveSegment {
    pub(crate) header: Header,
    file: Box<dyn File>,
    /// The number of bytes written to the file.
    written_len: u64,
    /// The checksum of the bytes written to the file.
    checksum: u32,
    /// Frames that are not written to the file yet.
    pending: Vec<u8>,
    /// The end of the part that is durable, as [`Durability`] defines it.
    durable: Point,
}

/// A position in the active segment.
#[derive(Clone, Copy)]
struct Point {
    /// The number of bytes before the position.
    len: u64,
    /// The checksum of these bytes.
    checksum: u32,
    /// The sequence number of the frame that starts at the position.
    seq: u64,
}

/// The position of the end of a write. The write is durable once the log is durable up to this position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    segment: u32,
    end: u64,
}

/// A segment that compaction has copied, and whose copies may not be durable yet.
pub(crate) struct ObsoleteSegment {
    pub(crate) segment: u32,
    pub(crate) len: u64,
    pub(crate) copies_end: LogPosition,
}

/// How far compaction has read the oldest segment.
pub(crate) struct CompactionCursor {
    pub(crate) segment: u32,
    pub(crate) offset: u32,
}

/// A sync in progress. The caller awaits `future` and passes its result to [`Store::finish_sync`].
pub struct PendingSync {
    /// The future to await.
    pub future: Option<SyncFuture>,
    segment: u32,
    point: Point,
}

/// Counters and sizes of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Live keys.
    pub key_count: usize,
    /// Bytes of live records.
    pub live_bytes: u64,
    /// Bytes of all segments.
    pub log_bytes: u64,
    /// Bytes that all files of the folder occupy.
    pub used_bytes: u64,
    /// Segments.
    pub segment_count: usize,
    /// Bytes written by callers since the start, and bytes that compaction copied.
    pub written_bytes: (u64, u64),
    /// A write or a sync failed and the log is not repaired yet, or compaction found damage.
    pub is_degraded: bool,
}

/// An open store.
pub struct Store {
    pub(crate) disk: Rc<dyn Disk>,
    pub(crate) options: Options,
    pub(crate) plan: Plan,
    pub(crate) index: Index,
    pub(crate) active: ActiveSegment,
    pub(crate) log_start: u32,
    pub(crate) compaction: Option<CompactionCursor>,
    pub(crate) obsolete: Vec<ObsoleteSegment>,
    /// Damage that compaction found: it does not continue.
    pub(crate) compaction_error: Option<Corruption>,
    /// Bytes of the folder's files that are not segments in the index, checkpoints included. The reserve file
    /// and a checkpoint in progress are added separately.
    pub(crate) other_bytes: u64,
    pub(crate) copied_bytes: u64,
    next_seq: u64,
    /// After a failed write or sync, the active segment is not trusted beyond this point.
    untrusted_from: Option<Point>,
    /// Nothing more may be appended to the active segment.
    must_roll: bool,
    expected_end_bytes: u64,
    written_bytes: u64,
    new_checkpoint: Option<(Writer, Box<dyn File>, u64)>,
    checkpoint_bytes: u64,
    bytes_since_checkpoint: u64,
    has_reserve: bool,
    reserve_retry_writes: u32,
    _lock: Box<dyn Any>,
}

/// Reads the header of each segment file.
pub(crate) fn read_headers(disk: &dyn Disk) -> io::Result<Vec<SegmentFile>> {
    let mut found = Vec::new();
    for (name, len) in disk.list_files()? {
        if let Some(number) = segment_number(&name) {
            found.push(SegmentFile {
                number,
                len,
                header: Header::decode(&disk.read_at(&name, 0, HEADER_LEN)?),
            });
        }
    }
    Ok(found)
}

/// What recovery read from a folder.
pub(crate) struct LoadedLog {
    pub(crate) recovery: Recovery,
    /// The last segment: its header, its valid end and the length of its file.
    pub(crate) last: Option<(Header, Tail, u64)>,
    /// Segments that are no longer part of the log.
    pub(crate) dropped: Vec<u32>,
    pub(crate) report: RecoveryReport,
    is_from_checkpoint: bool,
}

/// Reads everything that recovery needs. Nothing is changed.
pub(crate) fn load(disk: &dyn Disk, options: &Options) -> Result<LoadedLog, Error> {
    let order = order(read_headers(disk)?)?;
    let mut report = RecoveryReport { is_new: order.log.is_empty(), ..RecoveryReport::default() };
    let Some((oldest, _, first)) = order.log.first().copied() else {
        let recovery = Recovery::default();
        return Ok(LoadedLog {
            recovery,
            last: None,
            dropped: order.below_gap,
            report,
            is_from_checkpoint: false,
        });
    };
    let checkpoint = disk.read(checkpoint::FILE)?.map(|bytes| checkpoint::read(&bytes, first.store_id));
    let log_bytes: u64 = order.log.iter().map(|segment| segment.1).sum();
    let is_long = options.checkpoint_interval > 0 && log_bytes >= 2 * options.checkpoint_interval;
    let checkpoint = match checkpoint {
        Some(Ok(checkpoint)) => {
            let newest = order.log.last().map_or(0, |segment| segment.0);
            if checkpoint.segment > newest {
                let (expected, found) =
                    ("this segment, which the index checkpoint refers to", "no such file");
                let (expected, found) = (expected.into(), found.into());
                return Err(Corruption {
                    file: segment_file_name(checkpoint.segment),
                    offset: 0,
                    expected,
                    found,
                }
                .into());
            }
            Some(checkpoint).filter(|c| is_long && c.segment >= oldest)
        }
        Some(Err(reason)) => {
            report.unused_checkpoint = Some(reason);
            None
        }
        None => None,
    };
    let (mut recovery, from) = match checkpoint {
        Some(Checkpoint { segment, first_seq, index }) => (Recovery::from(index, first_seq), segment),
        None => (Recovery::default(), oldest),
    };
    let mut last = None;
    for (n, (number, len, header)) in order.log.iter().enumerate() {
        let next = order.log.get(n + 1).map(|segment| &segment.2);
        if *number < from {
            recovery.index.set_segment_len(*number, *len);
            recovery.index.set_log_len(*number, next.map_or(0, |h| h.previous_len));
            continue;
        }
        let bytes = disk.read(&segment_file_name(*number))?.unwrap_or_default();
        let tail = recovery.segment(header, &bytes, next)?;
        report.segments_read += 1;
        if next.is_none() {
            let torn_bytes = bytes.len() as u64 - u64::from(tail.len);
            report.torn_tail = (torn_bytes > 0).then(|| (segment_file_name(*number), torn_bytes));
            last = Some((*header, tail, bytes.len() as u64));
        }
    }
    let dropped = recovery.finish(oldest, &order.below_gap)?;
    // A checkpoint that refers to a segment which the log has dropped is older than the log.
    let stale = recovery
        .index
        .segments()
        .find(|s| s.1.live_bytes > 0)
        .filter(|s| s.0 < recovery.log_start.max(oldest));
    if let Some((number, _)) = stale {
        if from == oldest {
            let (expected, found) = ("no live record, since the segment was dropped", "live records");
            let (expected, found) = (expected.into(), found.into());
            return Err(Corruption { file: segment_file_name(number), offset: 0, expected, found }.into());
        }
        let without_checkpoint = Options { checkpoint_interval: 0, ..options.clone() };
        let mut loaded = load(disk, &without_checkpoint)?;
        loaded.report.unused_checkpoint =
            Some(format!("{}: it refers to a segment that was dropped", checkpoint::FILE));
        return Ok(loaded);
    }
    report.key_count = recovery.index.len();
    report.removed_segments = dropped.clone();
    Ok(LoadedLog { recovery, last, dropped, report, is_from_checkpoint: from > oldest })
}

impl Store {
    /// Opens the store of a folder, or creates one in an empty folder. Repairs what a crash left behind.
    ///
    /// # Errors
    /// Another process uses the folder, the folder cannot be read or written, or its content cannot be
    /// explained by a crash. In the last case nothing is changed.
    pub fn open(disk: Rc<dyn Disk>, options: Options) -> Result<(Self, RecoveryReport), Error> {
        let lock = disk.lock().map_err(|e| match e.kind() {
            ErrorKind::WouldBlock => {
                io::Error::new(e.kind(), "another process has this folder (its lock is held)")
            }
            _ => e,
        })?;
        let LoadedLog { recovery, last, dropped, report, is_from_checkpoint } = load(&*disk, &options)?;
        let Recovery { mut index, log_start, .. } = recovery;
        // A crash may leave files that did not get their final name yet.
        for file in [NEW_SEGMENT_FILE, checkpoint::NEW_FILE] {
            disk.remove(file)?;
        }
        for number in dropped {
            disk.remove(&segment_file_name(number))?;
            index.remove_segment(number);
        }
        let (active, next_seq) = match last {
            Some((header, tail, len)) => {
                let mut file = disk.append(&segment_file_name(header.number))?;
                if len > u64::from(tail.len) {
                    file.set_len(tail.len.into())?;
                }
                if options.durability == Durability::Power {
                    // What the last process wrote without a sync counts as durable from now on.
                    file.sync()?;
                }
                index.set_segment_len(header.number, tail.len.into());
                let durable = Point { len: tail.len.into(), checksum: tail.checksum, seq: tail.seq };
                let (written_len, checksum, pending) = (durable.len, durable.checksum, Vec::new());
                (ActiveSegment { header, file, written_len, checksum, pending, durable }, tail.seq)
            }
            None => {
                let header = Header {
                    store_id: options.id,
                    number: 1,
                    first_seq: 1,
                    log_start: 1,
                    previous_len: 0,
                    previous_checksum: 0,
                };
                (create_segment(&*disk, &options, header, &[])?, 1)
            }
        };
        index.set_segment_len(active.header.number, active.written_len);
        let plan = Plan::new(&options);
        let (log_start, bytes_since_checkpoint) =
            (log_start.max(1), if is_from_checkpoint { 0 } else { options.checkpoint_interval });
        let mut store = Self {
            disk,
            plan,
            index,
            active,
            log_start,
            compaction: None,
            obsolete: Vec::new(),
            compaction_error: None,
            other_bytes: 0,
            copied_bytes: 0,
            next_seq,
            untrusted_from: None,
            must_roll: false,
            expected_end_bytes: 0,
            written_bytes: 0,
            new_checkpoint: None,
            checkpoint_bytes: 0,
            bytes_since_checkpoint,
            has_reserve: false,
            reserve_retry_writes: 0,
            options,
            _lock: lock,
        };
        // An existing reserve file is not counted here: `create_reserve` replaces it.
        let occupied = |names: &[(String, u64)], file: &str| {
            names.iter().find(|f| f.0 == file).map_or(0, |f| blocks(f.1))
        };
        let names = store.disk.list_files()?;
        store.other_bytes =
            names.iter().filter(|f| segment_number(&f.0).is_none()).map(|f| blocks(f.1)).sum();
        store.other_bytes -= occupied(&names, RESERVE_FILE);
        store.checkpoint_bytes = occupied(&names, checkpoint::FILE);
        store.create_reserve();
        Ok((store, report))
    }

    /// Sets the number of bytes that the ends of all open items will need. This space is kept free.
    pub fn set_expected_end_bytes(&mut self, bytes: u64) {
        self.expected_end_bytes = bytes;
    }

    pub(crate) fn space_usage(&self) -> SpaceUsage {
        let (mut log_bytes, mut used_bytes, mut longest_segment) = (0, self.other_bytes, 0);
        for (_, segment) in self.index.segments() {
            (log_bytes, used_bytes, longest_segment) =
                (log_bytes + segment.len, used_bytes + blocks(segment.len), longest_segment.max(segment.len));
        }
        used_bytes += blocks(self.options.reserve_bytes) * u64::from(self.has_reserve);
        used_bytes += self.new_checkpoint.as_ref().map_or(0, |c| blocks(c.2));
        SpaceUsage {
            used_bytes,
            log_bytes,
            live_bytes: self.index.live_bytes(),
            longest_segment,
            expected_end_bytes: self.expected_end_bytes,
        }
    }

    /// Writes a batch: all of it, or nothing if an error is returned. Returns the position up to which the
    /// log must be durable ([`Self::is_durable`]) for the batch to be durable.
    ///
    /// # Errors
    /// There is no space, or the disk cannot be written. The next call tries again.
    pub fn apply(&mut self, batch: &Batch, kind: WriteKind) -> Result<LogPosition, Error> {
        if batch.is_empty() {
            return Ok(self.log_end());
        }
        if !batch.fits() {
            return Err(Error::TooLong);
        }
        self.repair()?;
        let added = batch.len() as u64;
        self.make_space(added, kind)?;
        let end = self.append(batch, kind)?;
        self.written_bytes += added;
        // From here on the write is done: the outcome of the following work does not change its result.
        if self.plan.needs_compaction(&self.space_usage()) || self.compaction.is_some() {
            let _ = self.compact(self.plan.compaction_budget(added));
        }
        if self.step_checkpoint(added).is_err() {
            self.abandon_checkpoint();
        }
        if !self.has_reserve && kind == WriteKind::New {
            self.create_reserve();
        }
        Ok(end)
    }

    fn make_space(&mut self, added: u64, kind: WriteKind) -> Result<(), Error> {
        let mut steps = 0;
        while !self.plan.admits(kind, added, &self.space_usage()) {
            steps += 1;
            let is_over_limit = kind == WriteKind::New && steps > MAX_COMPACT_STEPS_FOR_NEW;
            if is_over_limit || !self.compact(self.plan.step_bytes())? {
                return Err(Error::Full);
            }
        }
        Ok(())
    }

    /// Appends a batch to the log, in a new segment if the active one is full.
    pub(crate) fn append(&mut self, batch: &Batch, kind: WriteKind) -> Result<LogPosition, Error> {
        self.repair()?;
        if self.must_roll || self.plan.should_roll(self.active.len(), batch.len() as u64) {
            self.roll()?;
        }
        let active = &mut self.active;
        let (number, offset) = (active.header.number, active.len() as u32);
        let durable_len = match self.options.durability {
            Durability::Process => offset,
            Durability::Power => active.durable.len as u32,
        };
        let bytes = batch.frame(checksum_seed(active.header.store_id, number), self.next_seq, durable_len);
        let pending_len = active.pending.len();
        active.pending.extend(&bytes);
        let is_deferred = kind == WriteKind::Deferred && active.pending.len() <= MAX_DEFERRED_BYTES;
        if !is_deferred && let Err(e) = self.write_pending(kind) {
            self.active.pending.truncate(pending_len);
            return Err(e.into());
        }
        self.index_frame(&bytes[FRAME_HEADER_LEN..], offset);
        Ok(self.log_end())
    }

    /// Adds the records of a valid frame at this offset of the active segment to the index.
    fn index_frame(&mut self, payload: &[u8], offset: u32) {
        let number = self.active.header.number;
        for record in records(payload).flatten() {
            self.index.apply(&record, number, offset, offset + FRAME_HEADER_LEN as u32);
        }
        self.next_seq += 1;
        self.index.set_segment_len(number, self.active.len());
    }

    /// Writes the pending frames to the file.
    fn write_pending(&mut self, kind: WriteKind) -> io::Result<()> {
        let active = &mut self.active;
        if active.pending.is_empty() {
            return Ok(());
        }
        if self.untrusted_from.is_some() {
            // Nothing may be written after a torn write.
            return Err(ErrorKind::WriteZero.into());
        }
        while let Err(e) = active.file.write_all(&active.pending) {
            // A part may have been written. It is cut off, so that the next frame does not follow it.
            if active.file.set_len(active.written_len).is_err() {
                let written = Point {
                    len: active.written_len,
                    checksum: active.checksum,
                    seq: u64_at(&active.pending, 8),
                };
                // The next segment's header declares everything before this point to be part of the log.
                let is_power = self.options.durability == Durability::Power;
                self.untrusted_from = Some(if is_power { active.durable } else { written });
                return Err(e);
            }
            let is_disk_full = matches!(e.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded);
            if !(is_disk_full && kind == WriteKind::End && self.has_reserve)
                || self.disk.remove(RESERVE_FILE).is_err()
            {
                return Err(e);
            }
            (self.has_reserve, self.reserve_retry_writes) = (false, RESERVE_RETRY_WRITES);
        }
        active.checksum = crc32c_append(active.checksum, &active.pending);
        active.written_len += active.pending.len() as u64;
        active.pending.clear();
        Ok(())
    }

    /// Writes the buffered [`WriteKind::Deferred`] batches.
    ///
    /// # Errors
    /// They cannot be written. They stay buffered.
    pub fn flush(&mut self) -> Result<(), Error> {
        self.repair()?;
        Ok(self.write_pending(WriteKind::Deferred)?)
    }

    /// Starts a new segment.
    fn roll(&mut self) -> Result<(), Error> {
        self.write_pending(WriteKind::Update)?;
        if self.options.durability == Durability::Power && self.active.durable.len < self.active.written_len {
            // The next segment's header declares this segment to be complete, so it must be durable first.
            if let Err(e) = self.active.file.sync() {
                self.untrusted_from = Some(self.active.durable);
                return Err(e.into());
            }
        }
        let active = &self.active;
        let end = Point { len: active.written_len, checksum: active.checksum, seq: self.next_seq };
        let header = self.header_after(end);
        // If creating the segment fails, its file may still have got its final name, and its header says
        // where the active segment ends. Nothing may be appended to the active segment after that.
        self.must_roll = true;
        let new_segment = create_segment(&*self.disk, &self.options, header, &[])?;
        self.activate(new_segment, end);
        Ok(())
    }

    fn header_after(&self, end: Point) -> Header {
        let old = self.active.header;
        Header {
            number: old.number + 1,
            first_seq: end.seq,
            log_start: self.log_start,
            previous_len: end.len as u32,
            previous_checksum: end.checksum,
            ..old
        }
    }

    /// Replaces the active segment by a new one. The log contains the old one up to `end`.
    fn activate(&mut self, new_segment: ActiveSegment, end: Point) {
        self.index.set_log_len(self.active.header.number, end.len as u32);
        self.index.set_segment_len(self.active.header.number, self.active.written_len);
        self.index.set_segment_len(new_segment.header.number, new_segment.written_len);
        (self.active, self.must_roll) = (new_segment, false);
        self.remove_obsolete();
    }

    /// Repairs the log after a torn write that could not be cut off, or after a failed sync: writes
    /// everything after the last trusted point again, in a new segment. The old segment is no longer trusted
    /// beyond that point.
    fn repair(&mut self) -> Result<(), Error> {
        let Some(trusted) = self.untrusted_from else { return Ok(()) };
        let active = &self.active;
        let (number, span) = (active.header.number, active.written_len.saturating_sub(trusted.len) as usize);
        let mut rewritten = self.disk.read_at(&segment_file_name(number), trusted.len, span)?;
        if rewritten.len() != span {
            return Err(io::Error::from(ErrorKind::UnexpectedEof).into());
        }
        rewritten.extend(&active.pending);
        let seed = checksum_seed(active.header.store_id, number);
        let mut frames = Vec::new();
        let mut rest = &rewritten[..];
        while !rest.is_empty() {
            let frame = read_frame(rest, seed).map_err(|e| invalid_frame(number, trusted.len, e))?;
            rest = &rest[frame.len()..];
            frames.push(frame);
        }
        let header = self.header_after(trusted);
        // The new segment contains all of the frames before it gets its final name, so a crash leaves either
        // all of them or none.
        let new_segment = create_segment(&*self.disk, &self.options, header, &frames)?;
        self.next_seq = trusted.seq;
        self.activate(new_segment, trusted);
        let mut offset = HEADER_LEN as u32;
        for frame in &frames {
            self.index_frame(frame.payload, offset);
            offset += frame.len() as u32;
        }
        self.untrusted_from = None;
        Ok(())
    }

    /// Returns the position after the last write.
    pub fn log_end(&self) -> LogPosition {
        LogPosition { segment: self.active.header.number, end: self.active.len() }
    }

    /// Returns whether everything up to this position is durable, as the store's [`Durability`] defines it.
    pub fn is_durable(&self, position: &LogPosition) -> bool {
        match self.options.durability {
            Durability::Process => true,
            Durability::Power => {
                // A segment that is followed by another was synced, or its uncertain part was written again.
                position.segment < self.active.header.number || position.end <= self.active.durable.len
            }
        }
    }

    /// Starts a sync of all writes, if one is needed.
    ///
    /// # Errors
    /// Buffered writes cannot be written.
    pub fn begin_sync(&mut self) -> Result<Option<PendingSync>, Error> {
        self.repair()?;
        self.write_pending(WriteKind::Update)?;
        let active = &self.active;
        if self.options.durability == Durability::Process || active.durable.len == active.written_len {
            return Ok(None);
        }
        let point = Point { len: active.written_len, checksum: active.checksum, seq: self.next_seq };
        Ok(Some(PendingSync {
            future: Some(active.file.sync_in_background()),
            segment: active.header.number,
            point,
        }))
    }

    /// Records the result of a sync. If the sync failed, its data is written again in a new segment.
    ///
    /// # Errors
    /// Writing the data again failed as well. The next call tries again, and nothing becomes durable until
    /// then.
    pub fn finish_sync(&mut self, sync: &PendingSync, result: io::Result<()>) -> Result<(), Error> {
        if sync.segment == self.active.header.number {
            match result {
                Ok(()) if self.untrusted_from.is_none() => {
                    if sync.point.len > self.active.durable.len {
                        self.active.durable = sync.point;
                    }
                }
                Ok(()) => {}
                Err(_) => self.untrusted_from = Some(self.active.durable),
            }
        }
        self.repair()?;
        self.remove_obsolete();
        Ok(())
    }

    /// Syncs all writes and blocks until that is done.
    ///
    /// # Errors
    /// The disk cannot be written or synced.
    pub fn sync_now(&mut self) -> Result<(), Error> {
        if let Some(sync) = self.begin_sync()? {
            let result = self.active.file.sync();
            self.finish_sync(&sync, result)?;
        }
        Ok(())
    }

    /// Returns the value of a key.
    ///
    /// # Errors
    /// It cannot be read, or its frame is damaged.
    pub fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        self.index.get(table, key).map(|place| self.read_value(place)).transpose()
    }

    fn read_value(&self, place: Place) -> Result<Vec<u8>, Error> {
        let file = segment_file_name(place.segment);
        let active = &self.active;
        let is_pending =
            place.segment == active.header.number && u64::from(place.frame) >= active.written_len;
        let bytes = if is_pending {
            active.pending[(u64::from(place.frame) - active.written_len) as usize..].to_vec()
        } else {
            let len_to_value_end = (place.value - place.frame + place.len) as usize;
            let bytes = self.disk.read_at(&file, place.frame.into(), len_to_value_end)?;
            // The checksum covers the whole frame, so all of it is read.
            match frame_len(&bytes).filter(|len| *len > len_to_value_end) {
                Some(len) => self.disk.read_at(&file, place.frame.into(), len)?,
                None => bytes,
            }
        };
        let frame = read_frame(&bytes, checksum_seed(active.header.store_id, place.segment));
        let frame = frame.map_err(|e| invalid_frame(place.segment, place.frame.into(), e))?;
        let from = (place.value - place.frame) as usize - FRAME_HEADER_LEN;
        let value = frame.payload.get(from..from + place.len as usize);
        value
            .map(<[u8]>::to_vec)
            .ok_or_else(|| invalid_frame(place.segment, place.value.into(), FrameError::Truncated).into())
    }

    /// Returns whether the store contains a key.
    pub fn contains_key(&self, table: Table, key: &[u8]) -> bool {
        self.index.get(table, key).is_some()
    }

    /// Returns all keys of a table with this prefix, in order.
    pub fn keys(&self, table: Table, prefix: &[u8]) -> impl Iterator<Item = &[u8]> {
        self.index.range(table, prefix).map(|(k, _)| &k[1..])
    }

    /// Reads the whole log and calls `visitor` with each live key and its value, in the order written.
    ///
    /// # Errors
    /// The log cannot be read, or is damaged.
    pub fn visit(&self, mut visitor: impl FnMut(Table, &[u8], &[u8])) -> Result<(), Error> {
        for (number, segment) in self.index.segments() {
            let mut bytes = self.disk.read(&segment_file_name(number))?.unwrap_or_default();
            let is_active = number == self.active.header.number;
            let log_len = if is_active { self.active.written_len } else { segment.log_len.into() };
            if (bytes.len() as u64) < log_len {
                return Err(invalid_frame(number, bytes.len() as u64, FrameError::Truncated).into());
            }
            bytes.truncate(log_len as usize);
            if is_active {
                bytes.extend(&self.active.pending);
            }
            let (mut offset, seed) = (HEADER_LEN, checksum_seed(self.active.header.store_id, number));
            while offset < bytes.len() {
                let frame = read_frame(&bytes[offset..], seed)
                    .map_err(|e| invalid_frame(number, offset as u64, e))?;
                for record in records(frame.payload).flatten() {
                    let Record::Put { table, key, value, value_offset } = record else { continue };
                    let indexed = self.index.get(table, key);
                    let here = (number, offset as u32, (offset + FRAME_HEADER_LEN + value_offset) as u32);
                    if indexed.is_some_and(|p| (p.segment, p.frame, p.value) == here) {
                        visitor(table, key, value);
                    }
                }
                offset += frame.len();
            }
        }
        Ok(())
    }

    /// Performs one step of compaction if there is something to do. It is called while there is no traffic.
    ///
    /// # Errors
    /// The disk cannot be read or written. Nothing is lost.
    pub fn compact_step(&mut self) -> Result<bool, Error> {
        self.repair()?;
        if !self.plan.needs_compaction(&self.space_usage()) && self.compaction.is_none() {
            return Ok(false);
        }
        self.compact(self.plan.step_bytes())
    }

    /// Returns the store's counters and sizes.
    pub fn stats(&self) -> Stats {
        let usage = self.space_usage();
        Stats {
            key_count: self.index.len(),
            live_bytes: usage.live_bytes,
            log_bytes: usage.log_bytes,
            used_bytes: usage.used_bytes,
            segment_count: self.index.segments().count(),
            written_bytes: (self.written_bytes, self.copied_bytes),
            is_degraded: self.untrusted_from.is_some() || self.compaction_error.is_some(),
        }
    }

    /// Returns the damage that stopped compaction, if there is any. Nothing is lost by it, but no space is
    /// freed any more.
    pub fn compaction_error(&self) -> Option<&Corruption> {
        self.compaction_error.as_ref()
    }

    fn step_checkpoint(&mut self, added: u64) -> Result<(), Error> {
        if self.options.checkpoint_interval == 0 {
            return Ok(());
        }
        self.bytes_since_checkpoint += added;
        if self.new_checkpoint.is_none() {
            if self.bytes_since_checkpoint < self.options.checkpoint_interval {
                return Ok(());
            }
            self.bytes_since_checkpoint = 0;
            let (writer, header) = Writer::begin(&self.active.header);
            self.disk.remove(checkpoint::NEW_FILE)?;
            let mut file = self.disk.append(checkpoint::NEW_FILE)?;
            file.write_all(&header)?;
            self.new_checkpoint = Some((writer, file, header.len() as u64));
            return Ok(());
        }
        let oldest = self.index.segments().next().map_or(0, |s| s.0);
        let Some((mut writer, mut file, len)) = self.new_checkpoint.take() else { return Ok(()) };
        if oldest > writer.segment {
            self.abandon_checkpoint(); // The segment from which the log would be replayed is dropped.
            return Ok(());
        }
        let (bytes, is_done) = writer.step(&self.index);
        file.write_all(&bytes)?;
        let len = len + bytes.len() as u64;
        if !is_done {
            self.new_checkpoint = Some((writer, file, len));
            return Ok(());
        }
        // The checkpoint refers to places up to the end of the log, so these must be as durable as the
        // checkpoint itself.
        self.write_pending(WriteKind::Update)?;
        if self.options.durability == Durability::Power {
            self.sync_now()?;
            file.sync()?;
        }
        self.disk.rename(checkpoint::NEW_FILE, checkpoint::FILE)?;
        self.other_bytes = self.other_bytes + blocks(len) - self.checkpoint_bytes;
        self.checkpoint_bytes = blocks(len);
        Ok(())
    }

    fn abandon_checkpoint(&mut self) {
        self.new_checkpoint = None;
        // A file that cannot be removed now is removed at the next start or by the next checkpoint.
        let _ = self.disk.remove(checkpoint::NEW_FILE);
    }

    fn create_reserve(&mut self) {
        if self.options.reserve_bytes == 0 || self.has_reserve {
            return;
        }
        self.reserve_retry_writes = self.reserve_retry_writes.saturating_sub(1);
        let usage = SpaceUsage {
            used_bytes: self.space_usage().used_bytes + blocks(self.options.reserve_bytes),
            ..self.space_usage()
        };
        if self.reserve_retry_writes > 0 || !self.plan.admits(WriteKind::New, 0, &usage) {
            return;
        }
        let bytes = vec![0; self.options.reserve_bytes as usize];
        let created =
            self.disk.remove(RESERVE_FILE).and_then(|()| self.disk.append(RESERVE_FILE)?.write_all(&bytes));
        self.has_reserve = created.is_ok();
        if created.is_err() {
            let _ = self.disk.remove(RESERVE_FILE);
            self.reserve_retry_writes = RESERVE_RETRY_WRITES;
        }
    }
}

impl ActiveSegment {
    /// Returns the length including the pending frames.
    fn len(&self) -> u64 {
        self.written_len + self.pending.len() as u64
    }
}

pub(crate) fn invalid_frame(number: u32, offset: u64, error: FrameError) -> Corruption {
    Corruption {
        file: segment_file_name(number),
        offset,
        expected: "a valid frame".into(),
        found: format!("{error:?}"),
    }
}

/// Creates a segment with these frames. The file gets its final name only once its header and frames are
/// complete, so that a crash leaves no incomplete segment.
fn create_segment(
    disk: &dyn Disk,
    options: &Options,
    header: Header,
    frames: &[Frame<'_>],
) -> Result<ActiveSegment, Error> {
    let mut bytes = header.encode().to_vec();
    for (n, old) in frames.iter().enumerate() {
        let durable_len = if options.durability == Durability::Process { bytes.len() as u32 } else { 0 };
        bytes.extend(frame(
            old.payload,
            old.count,
            checksum_seed(header.store_id, header.number),
            header.first_seq + n as u64,
            durable_len,
        ));
    }
    let created = (|| {
        disk.remove(NEW_SEGMENT_FILE)?;
        let mut file = disk.append(NEW_SEGMENT_FILE)?;
        file.write_all(&bytes)?;
        if options.durability == Durability::Power {
            file.sync()?;
        }
        disk.rename(NEW_SEGMENT_FILE, &segment_file_name(header.number))?;
        if options.durability == Durability::Power {
            disk.sync_directory()?;
        }
        Ok(file)
    })();
    let file: Box<dyn File> = created.inspect_err(|_: &io::Error| {
        // An incomplete file would count against the limit as long as it exists.
        let _ = disk.remove(NEW_SEGMENT_FILE);
    })?;
    let checksum = crc32c_append(0, &bytes);
    let (len, seq) = (bytes.len() as u64, header.first_seq + frames.len() as u64);
    Ok(ActiveSegment {
        header,
        file,
        written_len: len,
        checksum,
        pending: Vec::new(),
        durable: Point { len, checksum, seq },
    })
}
