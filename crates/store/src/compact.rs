//! Compaction: copies the live records of the oldest segment to the end of the log and drops the segment.
//!
//! Only the oldest segment is ever dropped. A delete is always written after the put that it removes, so no
//! delete is dropped before its put, and no removed key can reappear.

use crate::error::Error;
use crate::format::{
    Batch, FRAME_HEADER_LEN, FrameError, HEADER_LEN, Record, checksum_seed, frame_len, read_frame, records,
    segment_file_name,
};
use crate::index::Place;
use crate::plan::{WriteKind, blocks};
use crate::store::{CompactionCursor, ObsoleteSegment, Store, invalid_frame};

impl Store {
    /// Processes about this number of bytes of the oldest segment. Returns whether there was anything to do.
    pub(crate) fn compact(&mut self, budget: usize) -> Result<bool, Error> {
        let Some((segment, usage)) = self.index.segments().next() else { return Ok(false) };
        if segment == self.active.header.number || self.compaction_error.is_some() {
            return Ok(false);
        }
        let offset = match &self.compaction {
            Some(c) if c.segment == segment => c.offset,
            _ => HEADER_LEN as u32,
        };
        let (batch, bytes_read) = if offset < usage.log_len {
            self.collect_live(segment, offset, usage.log_len, budget)?
        } else {
            Default::default()
        };
        if !batch.is_empty() {
            self.copy(&batch)?;
        }
        let offset = offset + bytes_read as u32;
        self.compaction = Some(CompactionCursor { segment, offset });
        if offset >= usage.log_len {
            self.drop_oldest(segment)?;
        }
        Ok(true)
    }

    /// Returns the live records of complete frames from this offset on, and the number of bytes that the
    /// frames occupy.
    fn collect_live(
        &mut self,
        segment: u32,
        offset: u32,
        log_len: u32,
        budget: usize,
    ) -> Result<(Batch, usize), Error> {
        let file = segment_file_name(segment);
        let remaining = (log_len - offset) as usize;
        let mut bytes =
            self.disk.read_at(&file, offset.into(), budget.max(FRAME_HEADER_LEN).min(remaining))?;
        // At least one frame is read, however long it is.
        if let Some(len) = frame_len(&bytes).filter(|len| *len > bytes.len() && *len <= remaining) {
            bytes = self.disk.read_at(&file, offset.into(), len)?;
        }
        let (seed, mut batch, mut bytes_read) =
            (checksum_seed(self.active.header.store_id, segment), Batch::default(), 0);
        while bytes_read < bytes.len() {
            let frame = match read_frame(&bytes[bytes_read..], seed) {
                Ok(frame) => frame,
                Err(FrameError::Truncated) if bytes_read > 0 => break,
                Err(error) => {
                    // The frame was valid before. Other frames of the segment may be needed, so the segment
                    // is kept.
                    let damage = invalid_frame(segment, u64::from(offset) + bytes_read as u64, error);
                    self.compaction_error = Some(damage.clone());
                    return Err(damage.into());
                }
            };
            let frame_offset = offset + bytes_read as u32;
            for record in records(frame.payload).flatten() {
                let Record::Put { table, key, value, value_offset } = record else { continue };
                let value_start = frame_offset + (FRAME_HEADER_LEN + value_offset) as u32;
                let here =
                    Place { segment, frame: frame_offset, value: value_start, len: value.len() as u32 };
                if self.index.get(table, key) == Some(here) {
                    batch.put(table, key, value);
                }
            }
            bytes_read += frame.len();
        }
        Ok((batch, bytes_read))
    }

    fn copy(&mut self, batch: &Batch) -> Result<(), Error> {
        let added = batch.len() as u64;
        if !self.plan.admits_copy(added, &self.space_usage()) {
            return Err(Error::Full);
        }
        self.append(batch, WriteKind::Update)?;
        self.copied_bytes += added;
        Ok(())
    }

    fn drop_oldest(&mut self, segment: u32) -> Result<(), Error> {
        let mut batch = Batch::default();
        batch.set_log_start(segment + 1);
        let copies_end = self.append(&batch, WriteKind::End)?;
        let len = self.index.segments().find(|s| s.0 == segment).map_or(0, |s| blocks(s.1.len));
        self.index.remove_segment(segment);
        (self.log_start, self.compaction) = (segment + 1, None);
        // The file occupies its space until it is removed.
        self.other_bytes += len;
        self.obsolete.push(ObsoleteSegment { segment, len, copies_end });
        self.remove_obsolete();
        Ok(())
    }

    /// Removes the files of obsolete segments whose copies are durable.
    pub(crate) fn remove_obsolete(&mut self) {
        let disk = self.disk.clone();
        let durable = self.obsolete.iter().take_while(|o| self.is_durable(&o.copies_end)).count();
        // A file that cannot be removed now is tried again with the next one, or removed at the next start.
        let removed = self
            .obsolete
            .iter()
            .take(durable)
            .take_while(|o| disk.remove(&segment_file_name(o.segment)).is_ok())
            .count();
        self.other_bytes -= self.obsolete.drain(..removed).map(|o| o.len).sum::<u64>();
    }
}
