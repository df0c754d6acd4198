//! Migrates the single-file journal of builds before 0.3 into the store.
//!
//! A record of that journal is a length, a checksum (CRC-32) and the bytes. A kill may leave a torn tail.

use crate::state::record::{Attempt, Fields, OpenMessage, Verdict, write};
use notchpoint_policy::{EndpointId, MessageId};
use notchpoint_seam::Disk;
use notchpoint_store::{Batch, Corruption, Error, Store, WriteKind};
use std::collections::BTreeMap;

const FILE_NAME: &str = "journal";
const TEMP_FILE_NAME: &str = "journal.new";
/// The length of an id.
const ID_BYTES: usize = 8;
/// The longest record. It holds one body of at most 64 KiB.
const MAX_RECORD_BYTES: usize = 1 << 17;

/// Writes the open messages of an old journal into the store, and removes the old journal. After a kill in
/// between, the next process repeats it, which changes nothing in the store.
///
/// # Errors
/// The folder cannot be read or written, or the old journal is damaged. The old journal then stays unchanged.
pub fn migrate(disk: &dyn Disk, store: &mut Store) -> Result<(), Error> {
    // A process may have ended while it replaced the file. The old file is then still complete.
    disk.remove(TEMP_FILE_NAME)?;
    let Some(old) = disk.read(FILE_NAME)? else { return Ok(()) };
    let open = read(&old)?;
    for (id, message) in &open {
        let mut batch = Batch::default();
        write(&mut batch, *id, message);
        store.apply(&batch, WriteKind::Import)?;
    }
    store.sync_now()?;
    disk.remove(FILE_NAME)?;
    disk.sync_directory()?;
    tracing::info!("journal: {} open messages migrated from the format of an earlier build", open.len());
    Ok(())
}

/// Returns the open messages of an old journal. A torn tail is dropped. Invalid bytes that valid records
/// follow are not a torn tail, but damage.
pub fn read(old: &[u8]) -> Result<BTreeMap<MessageId, OpenMessage>, Corruption> {
    let (mut open, mut rest) = (BTreeMap::new(), old);
    while let Some((record, after)) = unframe(rest) {
        if replay(record, &mut open).is_none() {
            break;
        }
        rest = after;
    }
    let offset = (old.len() - rest.len()) as u64;
    let is_valid = |n: &usize| {
        unframe(&rest[*n..]).is_some_and(|(r, _)| r.first().is_some_and(|k| b"TANVE".contains(k)))
    };
    if let Some(n) = (1..rest.len()).find(is_valid) {
        return Err(Corruption {
            file: FILE_NAME.into(),
            offset,
            expected: "a record, or the end of the file".into(),
            found: format!("invalid bytes, and a valid record {n} bytes further on"),
        });
    }
    Ok(open)
}

/// Splits off the first record. Returns `None` if it is torn.
fn unframe(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    // The shortest record is its kind and an id.
    if !(1 + ID_BYTES..=MAX_RECORD_BYTES).contains(&length) {
        return None;
    }
    let (record, rest) = rest.split_at_checked(length)?;
    (crc32fast::hash(record) == u32::from_le_bytes(*sum)).then_some((record, rest))
}

/// Applies a record to the open messages. Returns `None` if it cannot be read.
fn replay(record: &[u8], open: &mut BTreeMap<MessageId, OpenMessage>) -> Option<()> {
    let mut fields = Fields(record);
    let [kind] = fields.read_bytes()?;
    let id = MessageId(fields.read_u64()?);
    match kind {
        b'T' => drop(open.insert(id, fields.read_message()?)),
        b'A' => {
            let (number, endpoint, started_at) =
                (fields.read_u32()?, EndpointId(fields.read_u64()?), fields.read_u64()?);
            let attempts = &mut open.get_mut(&id)?.attempts;
            if attempts.iter().all(|a| a.number != number) {
                attempts.push(Attempt { number, endpoint, started_at, never_ran: false });
            }
        }
        b'N' => {
            let number = fields.read_u32()?;
            let attempts = open.get_mut(&id)?.attempts.iter_mut();
            attempts.filter(|a| a.number == number).for_each(|a| a.never_ran = true);
        }
        b'V' => {
            let is_bounced = fields.read_bytes()? != [0];
            let verdict = if is_bounced { Verdict::Bounced(fields.read_u64()?) } else { Verdict::Dead };
            open.get_mut(&id)?.verdict = Some(verdict);
        }
        b'E' => drop(open.remove(&id)),
        _ => return None,
    }
    Some(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::journal::Journal;
    use notchpoint_seam::system::{Folder, SystemClock};
    use notchpoint_store::Options;
    use std::fs;
    use std::path::Path;
    use std::rc::Rc;

    fn frame(record: &[u8]) -> Vec<u8> {
        let mut framed = (record.len() as u32).to_le_bytes().to_vec();
        framed.extend(crc32fast::hash(record).to_le_bytes());
        framed.extend(record);
        framed
    }

    /// Returns a journal as an old build wrote it: three messages, one with an attempt and a verdict, one
    /// ended.
    fn old_journal() -> Vec<u8> {
        let record = |kind: u8, id: u64, rest: &[u8]| {
            let mut record = vec![kind];
            record.extend(id.to_le_bytes());
            record.extend(rest);
            frame(&record)
        };
        let mut message = 3u64.to_le_bytes().to_vec();
        message.extend(9_000u64.to_le_bytes());
        for name in ["payment", "acme"] {
            message.extend((name.len() as u16).to_le_bytes());
            message.extend(name.as_bytes());
        }
        message.extend(b"body");
        let mut attempt = 0u32.to_le_bytes().to_vec();
        attempt.extend(9u64.to_le_bytes());
        attempt.extend(77u64.to_le_bytes());
        let mut bounced = vec![1];
        bounced.extend(250u64.to_le_bytes());
        let mut all = Vec::new();
        for (kind, id, rest) in [
            (b'T', 1, &message[..]),
            (b'T', 2, &message[..]),
            (b'A', 2, &attempt[..]),
            (b'N', 2, &attempt[..4]),
            (b'V', 2, &bounced[..]),
            (b'T', 3, &message[..]),
            (b'E', 3, &[][..]),
        ] {
            all.extend(record(kind, id, rest));
        }
        all
    }

    fn open(folder: &Path) -> Result<Journal, Error> {
        let disk = Rc::new(Folder(folder.to_owned()));
        Journal::open(disk, Rc::new(SystemClock), Options::new(1, 3_000_000)).map(|j| j.0)
    }

    #[test]
    fn the_old_journal_is_migrated_once() {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join(FILE_NAME), old_journal()).expect("written");
        for _ in 0..2 {
            let journal = open(folder.path()).expect("opened");
            let found: Vec<(u64, OpenMessage)> = journal.iter().map(|(id, m)| (id.0, m.clone())).collect();
            assert_eq!(found.iter().map(|f| f.0).collect::<Vec<_>>(), [1, 2]);
            let (message, attempt) = (
                &found[1].1,
                Attempt { number: 0, endpoint: EndpointId(9), started_at: 77, never_ran: true },
            );
            assert_eq!(
                (&message.attempts[..], message.verdict),
                (&[attempt][..], Some(Verdict::Bounced(250)))
            );
            assert_eq!(
                (&message.class[..], &message.tenant[..], &message.body[..], message.deadline),
                ("payment", "acme", &b"body"[..], 9_000)
            );
            assert!(!folder.path().join(FILE_NAME).exists());
        }
    }

    #[test]
    fn a_torn_tail_is_dropped_and_invalid_bytes_before_valid_records_are_refused() {
        let old = old_journal();
        assert_eq!(read(&old[..old.len() - 3]).expect("a torn tail").len(), 3);
        for at in 0..50 {
            let mut bad = old.clone();
            bad[at] ^= 0x10;
            let corruption = read(&bad).expect_err("valid records follow");
            assert!(corruption.offset == 0 && corruption.file == FILE_NAME, "{corruption}");
        }
        let folder = tempfile::tempdir().expect("a folder");
        let mut bad = old.clone();
        bad[20] ^= 0x10;
        fs::write(folder.path().join(FILE_NAME), &bad).expect("written");
        assert!(open(folder.path()).is_err());
        assert_eq!(fs::read(folder.path().join(FILE_NAME)).expect("still there"), bad);
    }
}
