//! The durable log of what was taken on, and the messages that are open by it.
//!
//! Append-only records, each with length and checksum. What is written outlasts the process without a sync.
//! A file is replaced by writing a new one and renaming it, so that both together stay under the disk limit.

use bytes::Bytes;
use notchpoint_policy::{EndpointId, MessageId};
use notchpoint_seam::{Clock, Disk, File};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

const FILE: &str = "journal";
const NEW: &str = "journal.new";
/// Length and checksum stand before each record.
const HEAD: usize = 8;
/// A record holds one body of 64 KiB at most; a longer length is garbage.
const LONGEST: usize = 1 << 17;
/// What the records of a message's attempts and end may add to its first one.
const TAIL: u64 = 512;
/// Kept free of the limit: two files are rounded up to 512 bytes, and the folder may count.
const SPARE: u64 = 16 << 10;

/// How a message that is not delivered ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    /// Handing it in again is harmless, after so many milliseconds if not 0.
    Bounced(u64),
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    /// Unix time in microseconds.
    pub at: u64,
    /// An outcome proved that it never ran.
    pub never_ran: bool,
}

/// A message from being taken on to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    pub class: String,
    pub tenant: String,
    pub dest: u64,
    /// Unix time in microseconds.
    pub deadline: u64,
    pub body: Bytes,
    pub attempts: Vec<Attempt>,
    pub verdict: Option<Verdict>,
}

impl Open {
    pub fn new(class: &str, tenant: &str, dest: u64, deadline: u64, body: Bytes) -> Self {
        let (class, tenant) = (class.to_owned(), tenant.to_owned());
        Self { class, tenant, dest, deadline, body, attempts: Vec::new(), verdict: None }
    }

    /// What it takes of the disk at most.
    fn weight(&self) -> u64 {
        (HEAD + 32 + self.class.len() + self.tenant.len() + self.body.len()) as u64 + TAIL
    }
}

pub struct Journal {
    disk: Rc<dyn Disk>,
    clock: Rc<dyn Clock>,
    file: Box<dyn File>,
    size: u64,
    limit: u64,
    /// The weight of all that is open.
    weight: u64,
    /// A failed write left the file in doubt: it must be written anew before anything is added.
    broken: bool,
    open: BTreeMap<MessageId, Open>,
    /// Messages without an end or a verdict.
    held: usize,
}

impl Journal {
    /// Reads what an earlier process left, drops a torn tail, and starts a file with what is still open.
    pub fn open(disk: Rc<dyn Disk>, clock: Rc<dyn Clock>, limit: u64) -> io::Result<Self> {
        // Left by a process that ended within a replacement; the old file is whole.
        disk.remove(NEW)?;
        let old = disk.read(FILE)?.unwrap_or_default();
        let mut open = BTreeMap::new();
        let mut rest = &old[..];
        while let Some((record, after)) = unframe(rest) {
            if replay(record, &mut open).is_none() {
                break;
            }
            rest = after;
        }
        let file = disk.append(FILE)?;
        let weight = open.values().map(Open::weight).sum();
        let held = open.values().filter(|m| m.verdict.is_none()).count();
        let size = old.len() as u64;
        let mut journal = Self { disk, clock, file, size, limit, weight, broken: false, open, held };
        journal.replace()?;
        Ok(journal)
    }

    /// Unix time in microseconds, by the clock that its deadlines are written in.
    pub fn unix_now(&self) -> u64 {
        self.clock.unix_now()
    }

    pub fn get(&self, id: MessageId) -> Option<&Open> {
        self.open.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &Open)> {
        self.open.iter().map(|(&id, m)| (id, m))
    }

    /// Messages without an end or a verdict.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes a message on. After an error nothing was taken on.
    pub fn take(&mut self, id: MessageId, message: Open) -> io::Result<()> {
        let weight = message.weight();
        // Old and new file must fit beside each other, with a tenth of the room for what is added between.
        if 2 * (self.weight + weight) + self.limit / 10 + SPARE > self.limit {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.append(&taken(id, &message))?;
        self.weight += weight;
        self.held += 1;
        self.open.insert(id, message);
        Ok(())
    }

    /// To be called before an attempt's first byte is written; after an error it must not be.
    pub fn attempt(&mut self, id: MessageId, number: u32, endpoint: EndpointId) -> io::Result<()> {
        let at = self.unix_now();
        let Some(m) = self.open.get_mut(&id) else { return Ok(()) };
        let attempt = Attempt { number, endpoint, at, never_ran: false };
        m.attempts.push(attempt);
        self.append(&attempted(id, &attempt)).inspect_err(|_| {
            if let Some(m) = self.open.get_mut(&id) {
                m.attempts.pop();
            }
        })
    }

    /// An outcome proved that an attempt never ran. Losing this record costs a message, never a repeat.
    pub fn never_ran(&mut self, id: MessageId, number: u32) {
        let attempts = self.open.get_mut(&id).into_iter().flat_map(|m| &mut m.attempts);
        let Some(attempt) = attempts.into_iter().find(|a| a.number == number) else { return };
        attempt.never_ran = true;
        let record = not_run(id, number);
        self.append_or_log(&record);
    }

    /// A verdict is written before its notice: from then on the client may hand the message in again.
    pub fn verdict(&mut self, id: MessageId, verdict: Verdict) {
        let Some(m) = self.open.get_mut(&id) else { return };
        if m.verdict.replace(verdict).is_none() {
            self.held -= 1;
        }
        self.append_or_log(&judged(id, verdict));
    }

    pub fn end(&mut self, id: MessageId) {
        let Some(m) = self.open.remove(&id) else { return };
        self.weight -= m.weight();
        self.held -= usize::from(m.verdict.is_none());
        self.append_or_log(&ended(id));
    }

    fn append_or_log(&mut self, record: &[u8]) {
        if let Err(e) = self.append(record) {
            tracing::warn!("journal: {e}");
        }
    }

    fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let add = (HEAD + record.len()) as u64;
        // What is open already shows the change, so that the new file may hold it: it does no harm twice.
        if self.broken || self.size + add + self.weight + SPARE > self.limit {
            self.replace()?;
        }
        let framed = frame(record);
        if let Err(e) = self.file.write_all(&framed) {
            self.broken = self.file.set_len(self.size).is_err();
            return Err(e);
        }
        self.size += add;
        Ok(())
    }

    /// Writes a new file with what is open and puts it in the old one's place.
    fn replace(&mut self) -> io::Result<()> {
        let mut text = Vec::new();
        for (&id, m) in &self.open {
            text.extend(frame(&taken(id, m)));
            for a in &m.attempts {
                text.extend(frame(&attempted(id, a)));
                if a.never_ran {
                    text.extend(frame(&not_run(id, a.number)));
                }
            }
            if let Some(v) = m.verdict {
                text.extend(frame(&judged(id, v)));
            }
        }
        let mut file = self.disk.append(NEW)?;
        file.set_len(0)?;
        if let Err(e) = file.write_all(&text).and_then(|()| self.disk.rename(NEW, FILE)) {
            // A half-written file would count against the limit for as long as it stays.
            let _ = self.disk.remove(NEW);
            return Err(e);
        }
        (self.file, self.size, self.broken) = (file, text.len() as u64, false);
        Ok(())
    }
}

fn frame(record: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(HEAD + record.len());
    framed.extend((record.len() as u32).to_le_bytes());
    framed.extend(crc32fast::hash(record).to_le_bytes());
    framed.extend(record);
    framed
}

/// The first record and what follows it; nothing where it is torn.
fn unframe(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let (record, rest) = rest.split_at_checked(length.min(LONGEST))?;
    (length <= LONGEST && crc32fast::hash(record) == u32::from_le_bytes(*sum)).then_some((record, rest))
}

fn start(kind: u8, id: MessageId) -> Vec<u8> {
    let mut record = vec![kind];
    record.extend(id.0.to_le_bytes());
    record
}

fn taken(id: MessageId, m: &Open) -> Vec<u8> {
    let mut record = start(b'T', id);
    record.extend(m.dest.to_le_bytes());
    record.extend(m.deadline.to_le_bytes());
    for name in [&m.class, &m.tenant] {
        record.extend((name.len() as u16).to_le_bytes());
        record.extend(name.as_bytes());
    }
    record.extend(&m.body);
    record
}

fn attempted(id: MessageId, a: &Attempt) -> Vec<u8> {
    let mut record = start(b'A', id);
    record.extend(a.number.to_le_bytes());
    record.extend(a.endpoint.0.to_le_bytes());
    record.extend(a.at.to_le_bytes());
    record
}

fn not_run(id: MessageId, number: u32) -> Vec<u8> {
    let mut record = start(b'N', id);
    record.extend(number.to_le_bytes());
    record
}

fn judged(id: MessageId, verdict: Verdict) -> Vec<u8> {
    let mut record = start(b'V', id);
    match verdict {
        Verdict::Dead => record.push(0),
        Verdict::Bounced(wait) => {
            record.push(1);
            record.extend(wait.to_le_bytes());
        }
    }
    record
}

fn ended(id: MessageId) -> Vec<u8> {
    start(b'E', id)
}

struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn bytes<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    fn number(&mut self) -> Option<u64> {
        self.bytes().map(u64::from_le_bytes)
    }

    fn small(&mut self) -> Option<u32> {
        self.bytes().map(u32::from_le_bytes)
    }

    fn name(&mut self) -> Option<String> {
        let length = u16::from_le_bytes(self.bytes()?) as usize;
        let (name, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        String::from_utf8(name.to_vec()).ok()
    }
}

/// Does over again what a record tells; nothing where it cannot be read.
fn replay(record: &[u8], open: &mut BTreeMap<MessageId, Open>) -> Option<()> {
    let mut f = Fields(record);
    let [kind] = f.bytes()?;
    let id = MessageId(f.number()?);
    match kind {
        b'T' => {
            let (dest, deadline) = (f.number()?, f.number()?);
            let (class, tenant) = (f.name()?, f.name()?);
            let body = Bytes::copy_from_slice(f.0);
            open.insert(id, Open { body, ..Open::new(&class, &tenant, dest, deadline, Bytes::new()) });
        }
        b'A' => {
            let (number, endpoint, at) = (f.small()?, EndpointId(f.number()?), f.number()?);
            let attempts = &mut open.get_mut(&id)?.attempts;
            if attempts.iter().all(|a| a.number != number) {
                attempts.push(Attempt { number, endpoint, at, never_ran: false });
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
pub mod tests {
    use super::*;
    use notchpoint_seam::real::{Folder, SystemClock};
    use std::fs;
    use std::path::Path;

    const LIMIT: u64 = 300_000;

    /// One as on the platform, for tests of what stands on it.
    pub fn journal(folder: &Path) -> Journal {
        let disk = Rc::new(Folder(folder.to_owned()));
        Journal::open(disk, Rc::new(SystemClock), 3_000_000).expect("a journal")
    }

    fn open(folder: &Path) -> Journal {
        let disk = Rc::new(Folder(folder.to_owned()));
        Journal::open(disk, Rc::new(SystemClock), LIMIT).expect("a journal")
    }

    fn message(body: usize) -> Open {
        Open::new("payment", "acme", 3, 1_000, vec![7; body].into())
    }

    fn used(folder: &Path) -> u64 {
        let files = fs::read_dir(folder).expect("a folder").flatten();
        files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
    }

    #[test]
    fn what_is_written_is_there_for_the_next_process() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        let ids: Vec<MessageId> = (0..4).map(MessageId).collect();
        for &id in &ids {
            journal.take(id, message(5)).expect("room");
            journal.attempt(id, 0, EndpointId(9)).expect("room");
        }
        journal.never_ran(ids[1], 0);
        journal.verdict(ids[2], Verdict::Bounced(250));
        journal.end(ids[3]);
        let left: Vec<(MessageId, Open)> = journal.iter().map(|(id, m)| (id, m.clone())).collect();
        drop(journal);
        // Twice: read from the records as they came, and from the file that replaced them.
        for _ in 0..2 {
            let journal = open(folder.path());
            assert_eq!(journal.iter().map(|(id, m)| (id, m.clone())).collect::<Vec<_>>(), left);
        }
        assert_eq!(left.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [0, 1, 2]);
        assert!(!left[0].1.attempts[0].never_ran && left[1].1.attempts[0].never_ran);
        assert_eq!(left[2].1.verdict, Some(Verdict::Bounced(250)));
    }

    #[test]
    fn a_tail_torn_anywhere_is_dropped_and_the_rest_kept() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        journal.take(MessageId(1), message(5)).expect("room");
        let whole = journal.size as usize;
        journal.take(MessageId(2), message(50)).expect("room");
        let text = fs::read(folder.path().join(FILE)).expect("a file");
        for cut in whole..text.len() {
            fs::write(folder.path().join(FILE), &text[..cut]).expect("written");
            assert_eq!(open(folder.path()).iter().count(), 1, "cut at {cut}");
            let mut spoilt = text.clone();
            spoilt[cut] ^= 0x40;
            fs::write(folder.path().join(FILE), &spoilt).expect("written");
            assert_eq!(open(folder.path()).iter().count(), 1, "spoilt at {cut}");
        }
    }

    #[test]
    fn old_and_new_file_stay_under_the_limit_and_ends_always_find_room() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        let mut last = None;
        for n in 0..400 {
            let id = MessageId(n);
            match journal.take(id, message(20_000)) {
                Ok(()) => last = Some(id),
                // Full: refused, and mended by an end.
                Err(e) => {
                    assert_eq!(e.kind(), io::ErrorKind::StorageFull);
                    let first = journal.iter().next().expect("something is open").0;
                    journal.end(first);
                }
            }
            if let Some(id) = last {
                for number in 0..8 {
                    journal.attempt(id, number, EndpointId(1)).expect("room");
                    journal.never_ran(id, number);
                }
            }
            // While the file is replaced, what is open lies in both.
            assert!(used(folder.path()) + journal.weight < LIMIT, "{}", used(folder.path()));
        }
        assert_eq!(open(folder.path()).iter().count(), journal.iter().count());
    }

    #[test]
    fn a_message_that_could_not_be_written_is_not_taken_on() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        journal.take(MessageId(1), message(5)).expect("room");
        // A file that cannot be written to, as on a broken disk; later writing works again.
        journal.file = Box::new(fs::File::open(folder.path().join(FILE)).expect("a file"));
        assert!(journal.take(MessageId(2), message(5)).is_err());
        assert!(journal.broken && journal.get(MessageId(2)).is_none());
        journal.take(MessageId(3), message(5)).expect("written anew");
        assert_eq!(open(folder.path()).iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [1, 3]);
    }
}
