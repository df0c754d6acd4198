//! Compaction: the oldest segment's records that are in force are written again at the log's end, and the
//! segment is dropped.
//!
//! Only ever the oldest: an end is always younger than what it ends, so no end is dropped before what it
//! ends, and nothing can come to life again.

use crate::error::Error;
use crate::format::{
    Batch, FRAME_HEADER_LEN, FrameError, HEADER_LEN, Record, checksum_seed, frame_len, read_frame, records,
    segment_file_name,
};
use crate::index::Place;
use crate::plan::{WriteKind, blocks};
use crate::store::{Cleaner, Condemned, Store, unsound};

impl Store {
    /// Looks through so many bytes of the oldest segment. Says whether there was anything to do.
    pub(crate) fn clean(&mut self, budget: usize) -> Result<bool, Error> {
        let Some((segment, usage)) = self.index.segments().next() else { return Ok(false) };
        if segment == self.active.header.number || self.damaged.is_some() {
            return Ok(false);
        }
        let at = match &self.cleaner {
            Some(c) if c.segment == segment => c.at,
            _ => HEADER_LEN as u32,
        };
        let (batch, read) = if at < usage.until {
            self.gather(segment, at, usage.until, budget)?
        } else {
            Default::default()
        };
        if !batch.is_empty() {
            self.copy(&batch)?;
        }
        let at = at + read as u32;
        self.cleaner = Some(Cleaner { segment, at });
        if at >= usage.until {
            self.drop_oldest(segment)?;
        }
        Ok(true)
    }

    /// The records in force of whole frames from there on, and how many bytes they span.
    fn gather(&mut self, segment: u32, at: u32, until: u32, budget: usize) -> Result<(Batch, usize), Error> {
        let file = segment_file_name(segment);
        let left = (until - at) as usize;
        let mut bytes = self.disk.read_at(&file, at.into(), budget.max(FRAME_HEADER_LEN).min(left))?;
        // One frame at least, however long it is.
        if let Some(len) = frame_len(&bytes).filter(|len| *len > bytes.len() && *len <= left) {
            bytes = self.disk.read_at(&file, at.into(), len)?;
        }
        let (seed, mut batch, mut read) =
            (checksum_seed(self.active.header.store_id, segment), Batch::default(), 0);
        while read < bytes.len() {
            let frame = match read_frame(&bytes[read..], seed) {
                Ok(frame) => frame,
                Err(FrameError::Truncated) if read > 0 => break,
                Err(flaw) => {
                    // It was sound once, and what else is in it may be needed: nothing of it is dropped.
                    let why = unsound(segment, u64::from(at) + read as u64, flaw);
                    self.damaged = Some(why.clone());
                    return Err(why.into());
                }
            };
            let begins = at + read as u32;
            for record in records(frame.payload).flatten() {
                let Record::Put { table, key, value, value_offset } = record else { continue };
                let at = begins + (FRAME_HEADER_LEN + value_offset) as u32;
                let here = Place { segment, frame: begins, at, len: value.len() as u32 };
                if self.index.get(table, key) == Some(here) {
                    batch.put(table, key, value);
                }
            }
            read += frame.len();
        }
        Ok((batch, read))
    }

    fn copy(&mut self, batch: &Batch) -> Result<(), Error> {
        let add = batch.len() as u64;
        if !self.plan.admits_copy(add, &self.room()) {
            return Err(Error::Full);
        }
        self.place(batch, WriteKind::Update)?;
        self.copied += add;
        Ok(())
    }

    fn drop_oldest(&mut self, segment: u32) -> Result<(), Error> {
        let mut batch = Batch::default();
        batch.set_log_start(segment + 1);
        let mark = self.place(&batch, WriteKind::End)?;
        let len = self.index.segments().find(|s| s.0 == segment).map_or(0, |s| blocks(s.1.len));
        self.index.dropped(segment);
        (self.base, self.cleaner) = (segment + 1, None);
        // It takes its room until it is gone.
        self.others += len;
        self.condemned.push(Condemned { segment, len, mark });
        self.discard();
        Ok(())
    }

    /// Removes segments whose copies are safe.
    pub(crate) fn discard(&mut self) {
        let disk = self.disk.clone();
        let safe = self.condemned.iter().take_while(|c| self.is_durable(&c.mark)).count();
        // One that cannot be removed now is tried again with the next, or is a leftover for the next start.
        let gone = self
            .condemned
            .iter()
            .take(safe)
            .take_while(|c| disk.remove(&segment_file_name(c.segment)).is_ok())
            .count();
        self.others -= self.condemned.drain(..gone).map(|c| c.len).sum::<u64>();
    }
}
