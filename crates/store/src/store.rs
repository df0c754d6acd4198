//! The shell: carries out on the disk what the format, the index, the plan and recovery say.

use crate::checkpoint::{self, Checkpoint, Writer};
use crate::error::{Corruption, Error};
use crate::format::{
    Batch, FRAME_HEADER_LEN, Frame, FrameError, HEADER_LEN, Header, Record, Table, checksum_seed, frame,
    frame_len, read_frame, records, segment_file_name, segment_number, u64_at,
};
use crate::index::{Index, Place};
use crate::plan::{Durability, Options, Plan, SpaceUsage, WriteKind, blocks};
use crate::recover::{Found, Recovery, RecoveryReport, Tail, order};
use crc32c::crc32c_append;
use notchpoint_seam::disk::SyncFuture;
use notchpoint_seam::{Disk, File};
use std::any::Any;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// A segment is called this until its header is whole.
const NEW: &str = "log.new";
/// Room on the disk that is given up for ends when the disk is full.
const RESERVE: &str = "reserve";
/// Relaxed writes that are kept back until then.
const RELAXED_MOST: usize = 32 << 10;
/// Steps of compaction that new work waits for: a millisecond or two. Then it is refused.
const STEPS_FOR_NEW: usize = 4;
/// A reserve that was given up is made again at the earliest after so many writes.
const RESERVE_AGAIN: u32 = 256;

/// The segment that is written to.
pub(crate) struct Active {
    pub(crate) header: Header,
    file: Box<dyn File>,
    /// What was written, and its checksum.
    written: u64,
    sum: u32,
    /// Frames that were not written yet.
    pending: Vec<u8>,
    /// What is safe, by the store's durability.
    firm: Point,
}

/// A place in the active segment: what stands before it, and the frame that comes there.
#[derive(Clone, Copy)]
struct Point {
    len: u64,
    sum: u32,
    seq: u64,
}

/// Where a write ends: it is safe once the log is up to there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    segment: u32,
    end: u64,
}

/// A segment whose copies may not be safe yet.
pub(crate) struct Condemned {
    pub(crate) segment: u32,
    pub(crate) len: u64,
    pub(crate) mark: LogPosition,
}

/// How far the oldest segment is looked through.
pub(crate) struct Cleaner {
    pub(crate) segment: u32,
    pub(crate) at: u32,
}

/// A sync that is under way: await `done`, and hand it back with what came of it.
pub struct PendingSync {
    /// What is to be awaited.
    pub future: Option<SyncFuture>,
    segment: u32,
    point: Point,
}

/// How a store stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Keys in force.
    pub keys: usize,
    /// Bytes of records in force.
    pub live: u64,
    /// Bytes of all segments.
    pub log: u64,
    /// What all files of the folder take.
    pub used: u64,
    /// Segments.
    pub segments: usize,
    /// Bytes that were handed in since the start, and bytes that compaction wrote again.
    pub written: (u64, u64),
    /// A write, or a sync, failed, and the log has not been put right yet.
    pub troubled: bool,
}

/// The store.
pub struct Store {
    pub(crate) disk: Rc<dyn Disk>,
    pub(crate) options: Options,
    pub(crate) plan: Plan,
    pub(crate) index: Index,
    pub(crate) active: Active,
    pub(crate) base: u32,
    pub(crate) cleaner: Option<Cleaner>,
    pub(crate) condemned: Vec<Condemned>,
    /// Damage that compaction met: it goes no further.
    pub(crate) damaged: Option<Corruption>,
    /// What other files of the folder take, the reserve and checkpoints included.
    pub(crate) others: u64,
    pub(crate) copied: u64,
    seq: u64,
    /// The active segment is not to be trusted beyond this point.
    trouble: Option<Point>,
    /// Nothing more may be added to the active segment.
    must_roll: bool,
    ends: u64,
    written: u64,
    checkpoint: Option<(Writer, Box<dyn File>, u64)>,
    checkpoint_len: u64,
    since_checkpoint: u64,
    reserve: bool,
    reserve_again: u32,
    _lock: Box<dyn Any>,
}

pub(crate) fn read_found(disk: &dyn Disk) -> io::Result<Vec<Found>> {
    let mut found = Vec::new();
    for (name, len) in disk.list_files()? {
        if let Some(number) = segment_number(&name) {
            found.push(Found { number, len, header: Header::decode(&disk.read_at(&name, 0, HEADER_LEN)?) });
        }
    }
    Ok(found)
}

/// What recovery read of a folder.
pub(crate) struct Read {
    pub(crate) recovery: Recovery,
    pub(crate) last: Option<(Header, Tail, u64)>,
    pub(crate) left: Vec<u32>,
    pub(crate) notes: RecoveryReport,
    checkpointed: bool,
}

/// Reads all that is needed. Nothing is changed.
pub(crate) fn read(disk: &dyn Disk, options: &Options) -> Result<Read, Error> {
    let order = order(read_found(disk)?)?;
    let mut notes = RecoveryReport { created: order.log.is_empty(), ..RecoveryReport::default() };
    let Some((oldest, _, first)) = order.log.first().copied() else {
        let recovery = Recovery::default();
        return Ok(Read { recovery, last: None, left: order.below, notes, checkpointed: false });
    };
    let checkpoint = disk.read(checkpoint::FILE)?.map(|bytes| checkpoint::read(&bytes, first.store_id));
    let log: u64 = order.log.iter().map(|l| l.1).sum();
    let long = options.checkpoint_interval > 0 && log >= 2 * options.checkpoint_interval;
    let checkpoint = match checkpoint {
        Some(Ok(c)) => {
            let newest = order.log.last().map_or(0, |l| l.0);
            if c.segment > newest {
                let (expected, found) = ("this segment, which the index knows", "no such file");
                let (expected, found) = (expected.into(), found.into());
                return Err(
                    Corruption { file: segment_file_name(c.segment), offset: 0, expected, found }.into()
                );
            }
            Some(c).filter(|c| long && c.segment >= oldest)
        }
        Some(Err(why)) => {
            notes.index = Some(why);
            None
        }
        None => None,
    };
    let (mut recovery, from) = match checkpoint {
        Some(Checkpoint { segment, first, index }) => (Recovery::from(index, first), segment),
        None => (Recovery::default(), oldest),
    };
    let mut last = None;
    for (n, (number, len, header)) in order.log.iter().enumerate() {
        let next = order.log.get(n + 1).map(|l| &l.2);
        if *number < from {
            recovery.index.grown(*number, *len);
            recovery.index.sealed(*number, next.map_or(0, |h| h.previous_len));
            continue;
        }
        let bytes = disk.read(&segment_file_name(*number))?.unwrap_or_default();
        let tail = recovery.segment(header, &bytes, next)?;
        notes.read += 1;
        if next.is_none() {
            let torn = bytes.len() as u64 - u64::from(tail.len);
            notes.torn = (torn > 0).then(|| (segment_file_name(*number), torn));
            last = Some((*header, tail, bytes.len() as u64));
        }
    }
    let left = recovery.finish(oldest, &order.below)?;
    // An index that names a segment which the log has dropped knows less than the log does.
    let stray = recovery.index.segments().find(|s| s.1.live > 0).filter(|s| s.0 < recovery.base.max(oldest));
    if let Some((number, _)) = stray {
        if from == oldest {
            let (expected, found) = ("no record in force, since it was dropped", "some");
            let (expected, found) = (expected.into(), found.into());
            return Err(Corruption { file: segment_file_name(number), offset: 0, expected, found }.into());
        }
        let plain = Options { checkpoint_interval: 0, ..options.clone() };
        let mut again = read(disk, &plain)?;
        again.notes.index = Some(format!("{}: it names a segment that was dropped", checkpoint::FILE));
        return Ok(again);
    }
    notes.keys = recovery.index.len();
    notes.leftovers = left.clone();
    Ok(Read { recovery, last, left, notes, checkpointed: from > oldest })
}

impl Store {
    /// Opens a folder, or begins a store where it has none. What a crash left is put right.
    ///
    /// # Errors
    /// Another process has the folder, it cannot be read or written, or what stands in it is explained by no
    /// crash. Then nothing was changed.
    pub fn open(disk: Rc<dyn Disk>, options: Options) -> Result<(Self, RecoveryReport), Error> {
        let lock = disk.lock().map_err(|e| match e.kind() {
            ErrorKind::WouldBlock => {
                io::Error::new(e.kind(), "another process has this folder (its lock is held)")
            }
            _ => e,
        })?;
        let Read { recovery, last, left, notes, checkpointed } = read(&*disk, &options)?;
        let Recovery { mut index, base, .. } = recovery;
        // What a crash left of things that get their name when they are whole.
        for file in [NEW, checkpoint::NEW] {
            disk.remove(file)?;
        }
        for number in left {
            disk.remove(&segment_file_name(number))?;
            index.dropped(number);
        }
        let (active, seq) = match last {
            Some((header, tail, len)) => {
                let mut file = disk.append(&segment_file_name(header.number))?;
                if len > u64::from(tail.len) {
                    file.set_len(tail.len.into())?;
                }
                if options.durability == Durability::Power {
                    // What the last process wrote and did not sync is promised from now on.
                    file.sync()?;
                }
                index.grown(header.number, tail.len.into());
                let firm = Point { len: tail.len.into(), sum: tail.sum, seq: tail.seq };
                let (written, sum, pending) = (firm.len, firm.sum, Vec::new());
                (Active { header, file, written, sum, pending, firm }, tail.seq)
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
                (create(&*disk, &options, header, &[])?, 1)
            }
        };
        index.grown(active.header.number, active.written);
        let plan = Plan::new(&options);
        let (base, since) = (base.max(1), if checkpointed { 0 } else { options.checkpoint_interval });
        let mut store = Self {
            disk,
            plan,
            index,
            active,
            base,
            cleaner: None,
            condemned: Vec::new(),
            damaged: None,
            others: 0,
            copied: 0,
            seq,
            trouble: None,
            must_roll: false,
            ends: 0,
            written: 0,
            checkpoint: None,
            checkpoint_len: 0,
            since_checkpoint: since,
            reserve: false,
            reserve_again: 0,
            options,
            _lock: lock,
        };
        // What is left over of a reserve or a checkpoint has been counted among the others.
        let takes = |names: &[(String, u64)], file: &str| {
            names.iter().find(|f| f.0 == file).map_or(0, |f| blocks(f.1))
        };
        let names = store.disk.list_files()?;
        store.others = names.iter().filter(|f| segment_number(&f.0).is_none()).map(|f| blocks(f.1)).sum();
        store.others -= takes(&names, RESERVE);
        store.checkpoint_len = takes(&names, checkpoint::FILE);
        store.make_reserve();
        Ok((store, notes))
    }

    /// What the ends of all that is open will take: room is kept for it.
    pub fn set_expected_end_bytes(&mut self, bytes: u64) {
        self.ends = bytes;
    }

    pub(crate) fn room(&self) -> SpaceUsage {
        let (mut log, mut used, mut longest) = (0, self.others, 0);
        for (_, u) in self.index.segments() {
            (log, used, longest) = (log + u.len, used + blocks(u.len), longest.max(u.len));
        }
        used += blocks(self.options.reserve_bytes) * u64::from(self.reserve);
        used += self.checkpoint.as_ref().map_or(0, |c| blocks(c.2));
        SpaceUsage { used, log, live: self.index.live(), longest, ends: self.ends }
    }

    /// Writes a batch: all of it, or after an error nothing. Where its safety is awaited, by
    /// [`Self::is_durable`].
    ///
    /// # Errors
    /// There is no room, or the disk cannot be written. The next call tries anew.
    pub fn apply(&mut self, batch: &Batch, work: WriteKind) -> Result<LogPosition, Error> {
        if batch.is_empty() {
            return Ok(self.log_end());
        }
        if !batch.fits() {
            return Err(Error::TooLong);
        }
        self.heal()?;
        let add = batch.len() as u64;
        self.make_room(add, work)?;
        let mark = self.place(batch, work)?;
        self.written += add;
        // From here on the write stands, whatever becomes of the rest.
        if self.plan.due(&self.room()) || self.cleaner.is_some() {
            let _ = self.clean(self.plan.pace(add));
        }
        if self.step_checkpoint(add).is_err() {
            self.give_up_checkpoint();
        }
        if !self.reserve && work == WriteKind::New {
            self.make_reserve();
        }
        Ok(mark)
    }

    fn make_room(&mut self, add: u64, work: WriteKind) -> Result<(), Error> {
        let mut steps = 0;
        while !self.plan.admits(work, add, &self.room()) {
            steps += 1;
            let enough = work == WriteKind::New && steps > STEPS_FOR_NEW;
            if enough || !self.clean(self.plan.step())? {
                return Err(Error::Full);
            }
        }
        Ok(())
    }

    /// Writes a batch behind all others, in a new segment if the present one is full.
    pub(crate) fn place(&mut self, batch: &Batch, work: WriteKind) -> Result<LogPosition, Error> {
        self.heal()?;
        if self.must_roll || self.plan.rolls(self.active.len(), batch.len() as u64) {
            self.roll()?;
        }
        let a = &mut self.active;
        let (number, at) = (a.header.number, a.len() as u32);
        let firm = match self.options.durability {
            Durability::Process => at,
            Durability::Power => a.firm.len as u32,
        };
        let bytes = batch.frame(checksum_seed(a.header.store_id, number), self.seq, firm);
        let before = a.pending.len();
        a.pending.extend(&bytes);
        let later = work == WriteKind::Deferred && a.pending.len() <= RELAXED_MOST;
        if !later && let Err(e) = self.write(work) {
            self.active.pending.truncate(before);
            return Err(e.into());
        }
        self.enter(&bytes[FRAME_HEADER_LEN..], at);
        Ok(self.log_end())
    }

    /// Enters the records of a frame that stands there, which is known to be sound.
    fn enter(&mut self, payload: &[u8], at: u32) {
        let number = self.active.header.number;
        for record in records(payload).flatten() {
            self.index.apply(&record, number, at, at + FRAME_HEADER_LEN as u32);
        }
        self.seq += 1;
        self.index.grown(number, self.active.len());
    }

    /// Writes what is pending.
    fn write(&mut self, work: WriteKind) -> io::Result<()> {
        let a = &mut self.active;
        if a.pending.is_empty() {
            return Ok(());
        }
        if self.trouble.is_some() {
            // Behind a torn write nothing is to stand.
            return Err(ErrorKind::WriteZero.into());
        }
        while let Err(e) = a.file.write_all(&a.pending) {
            // A part of it may have been written, and what comes next must not stand behind that.
            if a.file.set_len(a.written).is_err() {
                let written = Point { len: a.written, sum: a.sum, seq: u64_at(&a.pending, 8) };
                // The next header will vouch for what stands before this point.
                let power = self.options.durability == Durability::Power;
                self.trouble = Some(if power { a.firm } else { written });
                return Err(e);
            }
            let full = matches!(e.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded);
            if !(full && work == WriteKind::End && self.reserve) || self.disk.remove(RESERVE).is_err() {
                return Err(e);
            }
            (self.reserve, self.reserve_again) = (false, RESERVE_AGAIN);
        }
        a.sum = crc32c_append(a.sum, &a.pending);
        a.written += a.pending.len() as u64;
        a.pending.clear();
        Ok(())
    }

    /// Writes what may be lost and was kept back until now.
    ///
    /// # Errors
    /// It cannot be written, and is kept.
    pub fn flush(&mut self) -> Result<(), Error> {
        self.heal()?;
        Ok(self.write(WriteKind::Deferred)?)
    }

    fn roll(&mut self) -> Result<(), Error> {
        self.write(WriteKind::Update)?;
        if self.options.durability == Durability::Power && self.active.firm.len < self.active.written {
            // The next header says that this segment is whole.
            if let Err(e) = self.active.file.sync() {
                self.trouble = Some(self.active.firm);
                return Err(e.into());
            }
        }
        let a = &self.active;
        let end = Point { len: a.written, sum: a.sum, seq: self.seq };
        let header = self.header_after(end);
        // One that could not be made may have got its name all the same: its header says where this one ends.
        self.must_roll = true;
        let fresh = create(&*self.disk, &self.options, header, &[])?;
        self.succeed(fresh, end);
        Ok(())
    }

    fn header_after(&self, end: Point) -> Header {
        let old = self.active.header;
        Header {
            number: old.number + 1,
            first_seq: end.seq,
            log_start: self.base,
            previous_len: end.len as u32,
            previous_checksum: end.sum,
            ..old
        }
    }

    fn succeed(&mut self, fresh: Active, end: Point) {
        self.index.sealed(self.active.header.number, end.len as u32);
        self.index.grown(self.active.header.number, self.active.written);
        self.index.grown(fresh.header.number, fresh.written);
        (self.active, self.must_roll) = (fresh, false);
        self.discard();
    }

    /// After a write whose torn part could not be cut off, or a sync that failed: what stands behind the last
    /// safe point is written again, in a new segment. The old one is not trusted beyond that point any more.
    fn heal(&mut self) -> Result<(), Error> {
        let Some(trusted) = self.trouble else { return Ok(()) };
        let a = &self.active;
        let (number, span) = (a.header.number, a.written.saturating_sub(trusted.len) as usize);
        let mut again = self.disk.read_at(&segment_file_name(number), trusted.len, span)?;
        if again.len() != span {
            return Err(io::Error::from(ErrorKind::UnexpectedEof).into());
        }
        again.extend(&a.pending);
        let seed = checksum_seed(a.header.store_id, number);
        let mut frames = Vec::new();
        let mut rest = &again[..];
        while !rest.is_empty() {
            let frame = read_frame(rest, seed).map_err(|flaw| unsound(number, trusted.len, flaw))?;
            rest = &rest[frame.len()..];
            frames.push(frame);
        }
        let header = self.header_after(trusted);
        // All of it stands in the new segment before that gets its name: there is no half-way.
        let fresh = create(&*self.disk, &self.options, header, &frames)?;
        self.seq = trusted.seq;
        self.succeed(fresh, trusted);
        let mut at = HEADER_LEN as u32;
        for f in &frames {
            self.enter(f.payload, at);
            at += f.len() as u32;
        }
        self.trouble = None;
        Ok(())
    }

    /// The end of all that was handed in.
    pub fn log_end(&self) -> LogPosition {
        LogPosition { segment: self.active.header.number, end: self.active.len() }
    }

    /// Whether all up to there outlasts what the store's durability says.
    pub fn is_durable(&self, mark: &LogPosition) -> bool {
        match self.options.durability {
            Durability::Process => true,
            Durability::Power => {
                // A segment that has a successor was synced, or what was in doubt of it written again.
                mark.segment < self.active.header.number || mark.end <= self.active.firm.len
            }
        }
    }

    /// Begins a sync of all that was written, where one is needed.
    ///
    /// # Errors
    /// What was kept back cannot be written.
    pub fn begin_sync(&mut self) -> Result<Option<PendingSync>, Error> {
        self.heal()?;
        self.write(WriteKind::Update)?;
        let a = &self.active;
        if self.options.durability == Durability::Process || a.firm.len == a.written {
            return Ok(None);
        }
        let point = Point { len: a.written, sum: a.sum, seq: self.seq };
        Ok(Some(PendingSync { future: Some(a.file.sync_in_background()), segment: a.header.number, point }))
    }

    /// Takes in how a sync ended. After one that failed what it was for is written again elsewhere.
    ///
    /// # Errors
    /// That failed as well; the next call tries anew, and nothing is firm until then.
    pub fn finish_sync(&mut self, sync: &PendingSync, result: io::Result<()>) -> Result<(), Error> {
        if sync.segment == self.active.header.number {
            match result {
                Ok(()) if self.trouble.is_none() => {
                    if sync.point.len > self.active.firm.len {
                        self.active.firm = sync.point;
                    }
                }
                Ok(()) => {}
                Err(_) => self.trouble = Some(self.active.firm),
            }
        }
        self.heal()?;
        self.discard();
        Ok(())
    }

    /// Syncs all that was written, here and now.
    ///
    /// # Errors
    /// It cannot be written or synced.
    pub fn sync_now(&mut self) -> Result<(), Error> {
        if let Some(sync) = self.begin_sync()? {
            let done = self.active.file.sync();
            self.finish_sync(&sync, done)?;
        }
        Ok(())
    }

    /// A key's value.
    ///
    /// # Errors
    /// It cannot be read, or is not what was written.
    pub fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        self.index.get(table, key).map(|p| self.value(p)).transpose()
    }

    fn value(&self, p: Place) -> Result<Vec<u8>, Error> {
        let file = segment_file_name(p.segment);
        let a = &self.active;
        let own = p.segment == a.header.number && u64::from(p.frame) >= a.written;
        let bytes = if own {
            a.pending[(u64::from(p.frame) - a.written) as usize..].to_vec()
        } else {
            let some = (p.at - p.frame + p.len) as usize;
            let bytes = self.disk.read_at(&file, p.frame.into(), some)?;
            // The checksum is the whole frame's.
            match frame_len(&bytes).filter(|len| *len > some) {
                Some(len) => self.disk.read_at(&file, p.frame.into(), len)?,
                None => bytes,
            }
        };
        let frame = read_frame(&bytes, checksum_seed(a.header.store_id, p.segment));
        let frame = frame.map_err(|flaw| unsound(p.segment, p.frame.into(), flaw))?;
        let from = (p.at - p.frame) as usize - FRAME_HEADER_LEN;
        let value = frame.payload.get(from..from + p.len as usize);
        value.map(<[u8]>::to_vec).ok_or_else(|| unsound(p.segment, p.at.into(), FrameError::Truncated).into())
    }

    /// Whether a key is there.
    pub fn contains_key(&self, table: Table, key: &[u8]) -> bool {
        self.index.get(table, key).is_some()
    }

    /// All keys that begin like this, in order.
    pub fn keys(&self, table: Table, prefix: &[u8]) -> impl Iterator<Item = &[u8]> {
        self.index.range(table, prefix).map(|(k, _)| &k[1..])
    }

    /// All keys and values in force, in the order written, read from the log from end to end.
    ///
    /// # Errors
    /// It cannot be read, or is not what was written.
    pub fn visit(&self, mut each: impl FnMut(Table, &[u8], &[u8])) -> Result<(), Error> {
        for (number, usage) in self.index.segments() {
            let mut bytes = self.disk.read(&segment_file_name(number))?.unwrap_or_default();
            let active = number == self.active.header.number;
            let until = if active { self.active.written } else { usage.until.into() };
            if (bytes.len() as u64) < until {
                return Err(unsound(number, bytes.len() as u64, FrameError::Truncated).into());
            }
            bytes.truncate(until as usize);
            if active {
                bytes.extend(&self.active.pending);
            }
            let (mut at, seed) = (HEADER_LEN, checksum_seed(self.active.header.store_id, number));
            while at < bytes.len() {
                let frame =
                    read_frame(&bytes[at..], seed).map_err(|flaw| unsound(number, at as u64, flaw))?;
                for record in records(frame.payload).flatten() {
                    let Record::Put { table, key, value, value_offset: v } = record else { continue };
                    let there = self.index.get(table, key);
                    let here = (number, at as u32, (at + FRAME_HEADER_LEN + v) as u32);
                    if there.is_some_and(|p| (p.segment, p.frame, p.at) == here) {
                        each(table, key, value);
                    }
                }
                at += frame.len();
            }
        }
        Ok(())
    }

    /// One step of compaction, where there is something to do: for moments without traffic.
    ///
    /// # Errors
    /// The disk cannot be read or written; nothing is lost.
    pub fn compact_step(&mut self) -> Result<bool, Error> {
        self.heal()?;
        if !self.plan.due(&self.room()) && self.cleaner.is_none() {
            return Ok(false);
        }
        self.clean(self.plan.step())
    }

    /// How it stands.
    pub fn stats(&self) -> Stats {
        let room = self.room();
        Stats {
            keys: self.index.len(),
            live: room.live,
            log: room.log,
            used: room.used,
            segments: self.index.segments().count(),
            written: (self.written, self.copied),
            troubled: self.trouble.is_some() || self.damaged.is_some(),
        }
    }

    /// The place that compaction could not read, if it met one: nothing was lost by that, and room runs out.
    pub fn compaction_error(&self) -> Option<&Corruption> {
        self.damaged.as_ref()
    }

    fn step_checkpoint(&mut self, add: u64) -> Result<(), Error> {
        if self.options.checkpoint_interval == 0 {
            return Ok(());
        }
        self.since_checkpoint += add;
        if self.checkpoint.is_none() {
            if self.since_checkpoint < self.options.checkpoint_interval {
                return Ok(());
            }
            self.since_checkpoint = 0;
            let (writer, head) = Writer::begin(&self.active.header);
            self.disk.remove(checkpoint::NEW)?;
            let mut file = self.disk.append(checkpoint::NEW)?;
            file.write_all(&head)?;
            self.checkpoint = Some((writer, file, head.len() as u64));
            return Ok(());
        }
        let oldest = self.index.segments().next().map_or(0, |s| s.0);
        let Some((mut writer, mut file, len)) = self.checkpoint.take() else { return Ok(()) };
        if oldest > writer.segment {
            self.give_up_checkpoint(); // What it begins from is gone.
            return Ok(());
        }
        let (bytes, done) = writer.step(&self.index);
        file.write_all(&bytes)?;
        let len = len + bytes.len() as u64;
        if !done {
            self.checkpoint = Some((writer, file, len));
            return Ok(());
        }
        // It names places up to the log's end: they must be no less lasting than it is.
        self.write(WriteKind::Update)?;
        if self.options.durability == Durability::Power {
            self.sync_now()?;
            file.sync()?;
        }
        self.disk.rename(checkpoint::NEW, checkpoint::FILE)?;
        self.others = self.others + blocks(len) - self.checkpoint_len;
        self.checkpoint_len = blocks(len);
        Ok(())
    }

    fn give_up_checkpoint(&mut self) {
        self.checkpoint = None;
        // What cannot be removed now is removed at the next start, or by the next one.
        let _ = self.disk.remove(checkpoint::NEW);
    }

    fn make_reserve(&mut self) {
        if self.options.reserve_bytes == 0 || self.reserve {
            return;
        }
        self.reserve_again = self.reserve_again.saturating_sub(1);
        let room = SpaceUsage { used: self.room().used + blocks(self.options.reserve_bytes), ..self.room() };
        if self.reserve_again > 0 || !self.plan.admits(WriteKind::New, 0, &room) {
            return;
        }
        let bytes = vec![0; self.options.reserve_bytes as usize];
        let made = self.disk.remove(RESERVE).and_then(|()| self.disk.append(RESERVE)?.write_all(&bytes));
        self.reserve = made.is_ok();
        if made.is_err() {
            let _ = self.disk.remove(RESERVE);
            self.reserve_again = RESERVE_AGAIN;
        }
    }
}

impl Active {
    /// Its length with what is pending.
    fn len(&self) -> u64 {
        self.written + self.pending.len() as u64
    }
}

pub(crate) fn unsound(number: u32, offset: u64, flaw: FrameError) -> Corruption {
    Corruption {
        file: segment_file_name(number),
        offset,
        expected: "a sound frame".into(),
        found: format!("{flaw:?}"),
    }
}

/// Makes a segment. It gets its name when its header and these frames stand in it whole, so that a crash
/// leaves no segment without them.
fn create(disk: &dyn Disk, options: &Options, header: Header, frames: &[Frame<'_>]) -> Result<Active, Error> {
    let mut bytes = header.encode().to_vec();
    for (n, f) in frames.iter().enumerate() {
        let firm = if options.durability == Durability::Process { bytes.len() as u32 } else { 0 };
        bytes.extend(frame(
            f.payload,
            f.count,
            checksum_seed(header.store_id, header.number),
            header.first_seq + n as u64,
            firm,
        ));
    }
    let made = (|| {
        disk.remove(NEW)?;
        let mut file = disk.append(NEW)?;
        file.write_all(&bytes)?;
        if options.durability == Durability::Power {
            file.sync()?;
        }
        disk.rename(NEW, &segment_file_name(header.number))?;
        if options.durability == Durability::Power {
            disk.sync_directory()?;
        }
        Ok(file)
    })();
    let file: Box<dyn File> = made.inspect_err(|_: &io::Error| {
        // Half of one would count against the limit for as long as it stays.
        let _ = disk.remove(NEW);
    })?;
    let sum = crc32c_append(0, &bytes);
    let (len, seq) = (bytes.len() as u64, header.first_seq + frames.len() as u64);
    Ok(Active { header, file, written: len, sum, pending: Vec::new(), firm: Point { len, sum, seq } })
}
