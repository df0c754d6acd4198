//! The one-file journal of builds before 0.3, read once and carried over into the store.
//!
//! Its records were a length, a checksum (CRC-32) and the bytes; its tail could be torn by a kill.

use crate::state::record::{Attempt, Fields, OpenMessage, Verdict, write};
use notchpoint_policy::{EndpointId, MessageId};
use notchpoint_seam::Disk;
use notchpoint_store::{Batch, Error, Refusal, Store, Work};
use std::collections::BTreeMap;

const FILE: &str = "journal";
const NEW: &str = "journal.new";
/// Length and checksum stood before each record.
const HEAD: usize = 8;
/// A record held one body of 64 KiB at most.
const LONGEST: usize = 1 << 17;

/// Writes what an old journal holds open into the store, and removes it. Killed in between it does so again:
/// the same records once more change nothing.
///
/// # Errors
/// The folder cannot be read or written, or the old journal is damaged: then it stays as it is.
pub fn carry_over(disk: &dyn Disk, store: &mut Store) -> Result<(), Error> {
    // Left by a process that ended within a replacement; the old file is whole.
    disk.remove(NEW)?;
    let Some(old) = disk.read(FILE)? else { return Ok(()) };
    let open = read(&old)?;
    for (id, m) in &open {
        let mut batch = Batch::default();
        write(&mut batch, *id, m);
        store.apply(&batch, Work::Carried)?;
    }
    store.sync_now()?;
    disk.remove(FILE)?;
    disk.sync_directory()?;
    tracing::info!("{} open messages carried over from the journal of an earlier build", open.len());
    Ok(())
}

/// What is open by an old journal. A torn tail is dropped; bad bytes with sound records behind them are no
/// torn tail.
pub fn read(old: &[u8]) -> Result<BTreeMap<MessageId, OpenMessage>, Refusal> {
    let (mut open, mut rest) = (BTreeMap::new(), old);
    while let Some((record, after)) = unframe(rest) {
        if replay(record, &mut open).is_none() {
            break;
        }
        rest = after;
    }
    let offset = (old.len() - rest.len()) as u64;
    let sound = |n: &usize| {
        unframe(&rest[*n..]).is_some_and(|(r, _)| r.first().is_some_and(|k| b"TANVE".contains(k)))
    };
    if let Some(n) = (1..rest.len()).find(sound) {
        return Err(Refusal {
            file: FILE.into(),
            offset,
            expected: "a record, or the end of the file".into(),
            found: format!("bytes that are none, with a sound record {n} bytes on"),
        });
    }
    Ok(open)
}

/// The first record and what follows it; nothing where it is torn.
fn unframe(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    // None was shorter than its kind and an id.
    if !(1 + HEAD..=LONGEST).contains(&length) {
        return None;
    }
    let (record, rest) = rest.split_at_checked(length)?;
    (crc32fast::hash(record) == u32::from_le_bytes(*sum)).then_some((record, rest))
}

/// Does over again what a record tells; nothing where it cannot be read.
fn replay(record: &[u8], open: &mut BTreeMap<MessageId, OpenMessage>) -> Option<()> {
    let mut f = Fields(record);
    let [kind] = f.bytes()?;
    let id = MessageId(f.number()?);
    match kind {
        b'T' => drop(open.insert(id, f.taken()?)),
        b'A' => {
            let (number, endpoint, at) = (f.small()?, EndpointId(f.number()?), f.number()?);
            let attempts = &mut open.get_mut(&id)?.attempts;
            if attempts.iter().all(|a| a.number != number) {
                attempts.push(Attempt { number, endpoint, started_at: at, never_ran: false });
            }
        }
        b'N' => {
            let number = f.small()?;
            let attempts = open.get_mut(&id)?.attempts.iter_mut();
            attempts.filter(|a| a.number == number).for_each(|a| a.never_ran = true);
        }
        b'V' => {
            let bounced = f.bytes()? != [0];
            let verdict = if bounced { Verdict::Bounced(f.number()?) } else { Verdict::Dead };
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

    /// As an old build wrote it: three messages, one with attempts and a verdict, one ended.
    fn old() -> Vec<u8> {
        let record = |kind: u8, id: u64, rest: &[u8]| {
            let mut r = vec![kind];
            r.extend(id.to_le_bytes());
            r.extend(rest);
            frame(&r)
        };
        let mut taken = 3u64.to_le_bytes().to_vec();
        taken.extend(9_000u64.to_le_bytes());
        for name in ["payment", "acme"] {
            taken.extend((name.len() as u16).to_le_bytes());
            taken.extend(name.as_bytes());
        }
        taken.extend(b"body");
        let mut tried = 0u32.to_le_bytes().to_vec();
        tried.extend(9u64.to_le_bytes());
        tried.extend(77u64.to_le_bytes());
        let mut bounced = vec![1];
        bounced.extend(250u64.to_le_bytes());
        let mut all = Vec::new();
        for (kind, id, rest) in [
            (b'T', 1, &taken[..]),
            (b'T', 2, &taken[..]),
            (b'A', 2, &tried[..]),
            (b'N', 2, &tried[..4]),
            (b'V', 2, &bounced[..]),
            (b'T', 3, &taken[..]),
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
    fn the_old_journal_is_carried_over_once() {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join(FILE), old()).expect("written");
        for _ in 0..2 {
            let journal = open(folder.path()).expect("opened");
            let found: Vec<(u64, OpenMessage)> = journal.iter().map(|(id, m)| (id.0, m.clone())).collect();
            assert_eq!(found.iter().map(|f| f.0).collect::<Vec<_>>(), [1, 2]);
            let (m, a) = (
                &found[1].1,
                Attempt { number: 0, endpoint: EndpointId(9), started_at: 77, never_ran: true },
            );
            assert_eq!((&m.attempts[..], m.verdict), (&[a][..], Some(Verdict::Bounced(250))));
            assert_eq!(
                (&m.class[..], &m.tenant[..], &m.body[..], m.deadline),
                ("payment", "acme", &b"body"[..], 9_000)
            );
            assert!(!folder.path().join(FILE).exists());
        }
    }

    #[test]
    fn a_torn_tail_is_dropped_and_bad_bytes_before_sound_ones_refused() {
        let old = old();
        assert_eq!(read(&old[..old.len() - 3]).expect("a torn tail").len(), 3);
        for at in 0..50 {
            let mut bad = old.clone();
            bad[at] ^= 0x10;
            let why = read(&bad).expect_err("sound records follow");
            assert!(why.offset == 0 && why.file == FILE, "{why}");
        }
        let folder = tempfile::tempdir().expect("a folder");
        let mut bad = old.clone();
        bad[20] ^= 0x10;
        fs::write(folder.path().join(FILE), &bad).expect("written");
        assert!(open(folder.path()).is_err());
        assert_eq!(fs::read(folder.path().join(FILE)).expect("still there"), bad);
    }
}
