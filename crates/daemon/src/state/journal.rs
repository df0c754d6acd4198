//! What was taken on, from its record to its end: messages, their attempts and verdicts, in the store's table
//! of messages, and those that are open in memory.
//!
//! What is written outlasts the process without a sync; where the operator asks for more (`[store]`),
//! `durability.rs` waits for the sync before anything is promised or sent.

use crate::rate_limited_warning::RateLimitedWarning;
use crate::settings::classes;
use crate::state::legacy;
use crate::state::operator_marks::{self, MarkChange, OPERATOR_MARKS, OperatorMarks};
use crate::state::record::{
    self, Attempt, CLASSES, COPIES, JUDGED, MESSAGES, TAKEN, TRIED, UNSURE, judged, key, read, taken, tried,
};
pub use crate::state::record::{OpenMessage, Verdict};
use crate::state::timeline::{Continuity, Reading, TIMELINE, Timeline};
use notchpoint_policy::{Class, EndpointId, MessageId, Micros};
use notchpoint_seam::{Clock, Disk};
use notchpoint_store::{Batch, Error, Mark, Notes, Options, Store, Sync, Work};
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// What a verdict and an end take of the log: room is kept for those of all that is open.
const ENDS: u64 = 96;
/// A step of the wall clock that is told at a start.
const NOTABLE_STEP: u64 = 1_000_000;
/// When an attempt was made of which that is not known.
const LONG_AGO: u64 = 0;

pub struct Journal {
    /// None once another process owns it: then what is known here only helps calls to their end.
    store: Option<Store>,
    last: Mark,
    clock: Rc<dyn Clock>,
    timeline: Timeline,
    continuity: Continuity,
    open: BTreeMap<MessageId, OpenMessage>,
    /// Messages without an end or a verdict.
    held: usize,
    /// What operators have set.
    operator_marks: OperatorMarks,
    /// Definitions of classes that messages may have, by tag, as they were when this was opened.
    classes: BTreeMap<String, Class>,
    /// Verdicts, ends and the timeline that could not be written yet, oldest first: at most a few for each
    /// open message.
    /// They are written before anything else is, see `pending_writes.rs`.
    owed: VecDeque<Batch>,
    /// Told once there are any.
    owing: Rc<Notify>,
    trouble: RateLimitedWarning,
    /// Rows of copies, as an earlier process left them, until they are taken.
    copies: Vec<(Vec<u8>, Vec<u8>)>,
    /// Who is told what becomes of messages, where copies are kept.
    watch: Option<UnboundedSender<MessageUpdate>>,
}

/// What became of a message, for who keeps copies of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageUpdate {
    AttemptNeverRan(MessageId, u32),
    Verdict(MessageId, Verdict),
    Ended(MessageId),
}

/// A row of copies: its key, and what stands there, if it stays.
pub type CopyRow<'a> = (&'a [u8], Option<&'a [u8]>);

impl Journal {
    /// Reads what an earlier process left, the form of earlier builds included.
    pub fn open(disk: Rc<dyn Disk>, clock: Rc<dyn Clock>, options: Options) -> Result<(Self, Notes), Error> {
        let (mut store, notes) = Store::open(disk.clone(), options)?;
        legacy::carry_over(&*disk, &mut store)?;
        let mut open = BTreeMap::new();
        let (mut operator_marks, mut classes, mut unread) = (OperatorMarks::default(), BTreeMap::new(), None);
        let (mut copies, mut saved) = (Vec::new(), None);
        store.visit(|table, key, value| {
            let (what, read) = match table {
                MESSAGES => ("a message's record", read(key, value, &mut open)),
                CLASSES => ("a class's definition", read_class(key, value, &mut classes)),
                OPERATOR_MARKS => ("an operator's mark", operator_marks.read(key, value)),
                COPIES => return copies.push((key.to_vec(), value.to_vec())),
                TIMELINE => {
                    saved = Timeline::read(key, value);
                    ("the timeline's record", saved.map(drop))
                }
                _ => return,
            };
            if read.is_none() {
                unread.get_or_insert_with(|| format!("{what} that cannot be read: key {key:02x?}"));
            }
        })?;
        // An attempt or a verdict without its message would be one: nothing is told of it.
        open.retain(|_, m: &mut OpenMessage| m.deadline > 0);
        if let Some(why) = unread {
            return Err(io::Error::new(io::ErrorKind::InvalidData, why).into());
        }
        for m in open.values_mut() {
            m.attempts.sort_by_key(|a| a.number);
        }
        let held = open.values().filter(|m| m.verdict.is_none()).count();
        let last = store.mark();
        let (store, owed, watch) = (Some(store), VecDeque::new(), None);
        let now =
            Reading { boot: clock.boot_id()?, monotonic: clock.monotonic_now(), wall: clock.unix_now() };
        let (timeline, continuity) = Timeline::resume(saved, now);
        let mut journal = Self {
            store,
            last,
            clock,
            timeline,
            continuity,
            open,
            held,
            operator_marks,
            classes,
            owed,
            owing: Rc::default(),
            trouble: RateLimitedWarning::default(),
            copies,
            watch,
        };
        journal.expect_ends();
        journal.begin_timeline();
        Ok((journal, notes))
    }

    /// Has records dated by this process's timeline from now on. After a boot the age of attempts is not
    /// known: those that may have run are taken to be older than any window.
    fn begin_timeline(&mut self) {
        if self.continuity == Continuity::SameBoot {
            let step = self.clock.unix_now().abs_diff(self.unix_now());
            if step >= NOTABLE_STEP {
                let seconds = step / NOTABLE_STEP;
                tracing::info!(
                    "journal: records are dated {seconds} s off the wall clock, which was stepped"
                );
            }
            return;
        }
        let mut batch = Batch::default();
        self.timeline.write(&mut batch);
        if self.continuity == Continuity::OtherBoot {
            tracing::warn!("journal: dated on another boot; deadlines are read by the wall clock");
            for (id, open) in &mut self.open {
                for attempt in open.attempts.iter_mut().filter(|a| !a.never_ran) {
                    attempt.started_at = LONG_AGO;
                    batch.put(MESSAGES, &key(*id, TRIED, Some(attempt.number)), &tried(attempt));
                }
            }
        }
        // Nothing that is dated by it is written before this is.
        self.append_or_owe(batch);
    }

    /// After a boot the wall clock may have been set back: no message has more time left than it may have at
    /// all. `longest` gives that for a class's tag.
    pub fn bound_deadlines(&mut self, longest: impl Fn(&str) -> Option<Micros>) {
        if self.continuity != Continuity::OtherBoot {
            return;
        }
        let (now, mut batch) = (self.unix_now(), Batch::default());
        for (id, open) in &mut self.open {
            let Some(latest) = longest(&open.class).map(|span| now.saturating_add(span)) else { continue };
            if open.deadline > latest {
                open.deadline = latest;
                batch.put(MESSAGES, &key(*id, TAKEN, None), &taken(open));
            }
        }
        if !batch.is_empty() {
            self.append_or_owe(batch);
        }
    }

    fn expect_ends(&mut self) {
        if let Some(store) = &mut self.store {
            store.expect_ends(self.open.len() as u64 * ENDS);
        }
    }

    /// Unix time in microseconds on the timeline by which records are dated: differences are spans of real
    /// time, whatever becomes of the wall clock.
    pub fn unix_now(&self) -> u64 {
        self.timeline.at(self.clock.monotonic_now())
    }

    pub fn get(&self, id: MessageId) -> Option<&OpenMessage> {
        self.open.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &OpenMessage)> {
        self.open.iter().map(|(&id, m)| (id, m))
    }

    /// Messages without an end or a verdict.
    pub fn held_count(&self) -> usize {
        self.held
    }

    /// Takes a message on. After an error nothing was taken on.
    pub fn accept(&mut self, id: MessageId, message: OpenMessage) -> io::Result<()> {
        let mut batch = Batch::default();
        record::write(&mut batch, id, &message);
        self.append(&batch, Work::New)?;
        self.held += 1;
        self.open.insert(id, message);
        self.expect_ends();
        Ok(())
    }

    /// Tells what becomes of messages from now on.
    pub fn subscribe(&mut self, watch: UnboundedSender<MessageUpdate>) {
        self.watch = Some(watch);
    }

    fn tell(&self, what: MessageUpdate) {
        // Who listened may have ended with this process's life.
        if let Some(watch) = &self.watch {
            let _ = watch.send(what);
        }
    }

    /// Rows of copies, as an earlier process left them.
    pub fn take_copies(&mut self) -> Vec<(Vec<u8>, Vec<u8>)> {
        std::mem::take(&mut self.copies)
    }

    /// Writes rows of copies, as one step. After an error nothing has changed.
    pub fn write_copies<'a>(&mut self, rows: impl Iterator<Item = CopyRow<'a>>) -> io::Result<()> {
        let mut batch = Batch::default();
        let all_go = enter(&mut batch, rows);
        Ok(self.append(&batch, if all_go { Work::End } else { Work::New })?)
    }

    /// Takes a message on that another sender had promised, together with rows of copies. After an error
    /// nothing has changed.
    pub fn adopt<'a>(
        &mut self,
        id: MessageId,
        message: OpenMessage,
        rows: impl Iterator<Item = CopyRow<'a>>,
    ) -> io::Result<()> {
        let mut batch = Batch::default();
        record::write(&mut batch, id, &message);
        enter(&mut batch, rows);
        self.append(&batch, Work::Going)?;
        self.held += usize::from(message.verdict.is_none());
        self.open.insert(id, message);
        self.expect_ends();
        Ok(())
    }

    /// A message that was taken on as unsure is promised from here on. After an error it must not be.
    pub fn confirm(&mut self, id: MessageId) -> io::Result<()> {
        if self.open.get(&id).is_none_or(|o| o.is_confirmed) {
            return Ok(());
        }
        let mut batch = Batch::default();
        batch.delete(MESSAGES, &key(id, UNSURE, None));
        self.append(&batch, Work::Going)?;
        self.open.entry(id).and_modify(|o| o.is_confirmed = true);
        Ok(())
    }

    /// What operators have set.
    pub fn operator_marks(&self) -> &OperatorMarks {
        &self.operator_marks
    }

    /// Definitions of classes, by tag, as an earlier process left them.
    pub fn stored_classes(&self) -> &BTreeMap<String, Class> {
        &self.classes
    }

    /// Writes which definitions are kept from now on, as one step. After an error nothing has changed.
    pub fn update_classes(&mut self, changes: &[classes::ClassChange]) -> io::Result<()> {
        let mut batch = Batch::default();
        for change in changes {
            match change {
                classes::ClassChange::Put { tag, text } => {
                    batch.put(CLASSES, tag.as_bytes(), text.as_bytes())
                }
                classes::ClassChange::Delete { tag } => batch.delete(CLASSES, tag.as_bytes()),
            }
        }
        if !batch.is_empty() {
            self.append(&batch, Work::Going)?;
        }
        Ok(())
    }

    /// Sets or takes back a mark. After an error nothing has changed.
    pub fn set_mark(&mut self, change: MarkChange) -> io::Result<()> {
        if !self.operator_marks.has(&change) {
            self.append(&operator_marks::batch(&change), Work::Going)?;
            self.operator_marks.apply(change);
        }
        Ok(())
    }

    /// To be called before an attempt's first byte is written; after an error it must not be.
    pub fn record_attempt(&mut self, id: MessageId, number: u32, endpoint: EndpointId) -> io::Result<()> {
        let at = self.unix_now();
        if !self.open.contains_key(&id) {
            return Ok(());
        }
        let attempt = Attempt { number, endpoint, started_at: at, never_ran: false };
        let mut batch = Batch::default();
        batch.put(MESSAGES, &key(id, TRIED, Some(number)), &tried(&attempt));
        self.append(&batch, Work::Going)?;
        self.open.entry(id).and_modify(|m| m.attempts.push(attempt));
        Ok(())
    }

    /// An outcome proved that an attempt never ran. Without this record a restart would have to give up what
    /// may not be repeated, so it is owed like an end.
    pub fn record_never_ran(&mut self, id: MessageId, number: u32) {
        let attempts = self.open.get_mut(&id).into_iter().flat_map(|m| &mut m.attempts);
        let Some(attempt) = attempts.into_iter().find(|a| a.number == number) else { return };
        attempt.never_ran = true;
        if let Some(watch) = &self.watch {
            let _ = watch.send(MessageUpdate::AttemptNeverRan(id, number));
        }
        let mut batch = Batch::default();
        batch.put(MESSAGES, &key(id, TRIED, Some(number)), &tried(attempt));
        self.append_or_owe(batch);
    }

    /// A verdict is written before its notice: from then on the client may hand the message in again. Gives
    /// whether it is written; else it is owed, and a kill would forget it.
    pub fn record_verdict(&mut self, id: MessageId, verdict: Verdict) -> bool {
        let Some(m) = self.open.get_mut(&id) else { return true };
        if m.verdict.replace(verdict).is_none() {
            self.held -= 1;
        }
        let mut batch = Batch::default();
        batch.put(MESSAGES, &key(id, JUDGED, None), &judged(verdict));
        let written = self.append_or_owe(batch);
        self.tell(MessageUpdate::Verdict(id, verdict));
        written
    }

    /// Nothing is owed for a message any more. Gives whether that is written.
    pub fn record_end(&mut self, id: MessageId) -> bool {
        let Some(m) = self.open.remove(&id) else { return true };
        self.held -= usize::from(m.verdict.is_none());
        let mut batch = Batch::default();
        batch.delete_prefix(MESSAGES, &id.0.to_be_bytes());
        let written = self.append_or_owe(batch);
        self.tell(MessageUpdate::Ended(id));
        self.expect_ends();
        written
    }

    fn append_or_owe(&mut self, batch: Batch) -> bool {
        let written = self.append(&batch, Work::End);
        if let Err(why) = &written {
            self.trouble.warn(&format_args!("journal: {why}; what could not be written is tried again"));
            self.owed.push_back(batch);
            self.owing.notify_one();
        }
        written.is_ok()
    }

    /// Whether records wait to be written.
    pub fn has_pending_writes(&self) -> bool {
        !self.owed.is_empty()
    }

    /// Is notified once records wait to be written.
    pub fn pending_write_signal(&self) -> Rc<Notify> {
        self.owing.clone()
    }

    /// Writes what waits to be written.
    ///
    /// # Errors
    /// The folder takes nothing yet.
    pub fn flush_pending_writes(&mut self) -> Result<(), Error> {
        let Some(store) = &mut self.store else { return Ok(()) };
        while let Some(first) = self.owed.front() {
            store.apply(first, Work::End)?;
            self.owed.pop_front();
        }
        Ok(())
    }

    fn append(&mut self, batch: &Batch, work: Work) -> Result<(), Error> {
        self.flush_pending_writes()?;
        let Some(store) = &mut self.store else {
            // The owner records ends; nothing new is begun here.
            let gone = || io::Error::other("another process owns the store");
            return if work == Work::End { Ok(()) } else { Err(gone().into()) };
        };
        store.apply(batch, work).map(drop)
    }

    /// Writes all that was kept back and gives the store up, lock included. After an error it is kept.
    pub fn release(&mut self) -> Result<(), Error> {
        self.flush_pending_writes()?;
        let Some(store) = &mut self.store else { return Ok(()) };
        store.flush()?;
        store.sync_now()?;
        self.last = store.mark();
        self.store = None;
        Ok(())
    }

    /// The end of all that was written, and whether a loss of power would leave all up to there.
    pub fn log_end(&self) -> Mark {
        self.store.as_ref().map_or(self.last, Store::mark)
    }

    pub fn is_durable(&self, mark: &Mark) -> bool {
        self.store.as_ref().is_none_or(|s| s.is_firm(mark))
    }

    pub fn sync_begin(&mut self) -> Result<Option<Sync>, Error> {
        self.store.as_mut().map_or(Ok(None), Store::sync_begin)
    }

    pub fn sync_end(&mut self, sync: &Sync, result: io::Result<()>) -> Result<(), Error> {
        self.store.as_mut().map_or(Ok(()), |s| s.sync_end(sync, result))
    }
}

/// Enters rows of copies. Whether none of them stays.
fn enter<'a>(batch: &mut Batch, rows: impl Iterator<Item = CopyRow<'a>>) -> bool {
    let mut all_go = true;
    for (key, value) in rows {
        match value {
            Some(value) => batch.put(COPIES, key, value),
            None => batch.delete(COPIES, key),
        }
        all_go &= value.is_none();
    }
    all_go
}

fn read_class(key: &[u8], value: &[u8], classes: &mut BTreeMap<String, Class>) -> Option<()> {
    let tag = std::str::from_utf8(key).ok()?;
    classes.insert(tag.to_owned(), serde_json::from_slice(value).ok()?);
    Some(())
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use notchpoint_seam::system::{Folder, SystemClock};
    use notchpoint_seam::{File, SyncFuture};
    use std::any::Any;
    use std::cell::Cell;
    use std::fs;
    use std::path::Path;

    const LIMIT: u64 = 600_000;

    /// One as on the platform, for tests of what stands on it.
    pub fn journal(folder: &Path) -> Journal {
        let disk = Rc::new(Folder(folder.to_owned()));
        Journal::open(disk, Rc::new(SystemClock), Options::new(1, 3_000_000)).expect("a journal").0
    }

    fn open(folder: &Path) -> Journal {
        let disk = Rc::new(Folder(folder.to_owned()));
        Journal::open(disk, Rc::new(SystemClock), Options::new(1, LIMIT)).expect("a journal").0
    }

    fn message(body: usize) -> OpenMessage {
        OpenMessage::new("payment", "acme", 3, 1_000, vec![7; body].into())
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
            journal.accept(id, message(5)).expect("room");
            journal.record_attempt(id, 0, EndpointId(9)).expect("room");
        }
        journal.record_never_ran(ids[1], 0);
        journal.record_verdict(ids[2], Verdict::Bounced(250));
        journal.record_end(ids[3]);
        let left: Vec<(MessageId, OpenMessage)> = journal.iter().map(|(id, m)| (id, m.clone())).collect();
        drop(journal);
        for _ in 0..2 {
            let journal = open(folder.path());
            assert_eq!(journal.iter().map(|(id, m)| (id, m.clone())).collect::<Vec<_>>(), left);
            assert_eq!(journal.held_count(), 2);
        }
        assert_eq!(left.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [0, 1, 2]);
        assert!(!left[0].1.attempts[0].never_ran && left[1].1.attempts[0].never_ran);
        assert_eq!(left[2].1.verdict, Some(Verdict::Bounced(250)));
    }

    #[test]
    fn the_folder_stays_under_its_limit_and_ends_always_find_room() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        let (mut last, mut refused) = (None, 0);
        for n in 0..400 {
            let id = MessageId(n);
            match journal.accept(id, message(20_000)) {
                Ok(()) => last = Some(id),
                // Full: refused, and mended by an end.
                Err(e) => {
                    assert_eq!(e.kind(), io::ErrorKind::StorageFull);
                    refused += 1;
                    let first = journal.iter().next().expect("something is open").0;
                    journal.record_end(first);
                    assert!(journal.owed.is_empty(), "it found room");
                }
            }
            if let Some(id) = last.filter(|id| journal.get(*id).is_some()) {
                for number in 0..8 {
                    journal.record_attempt(id, number, EndpointId(1)).expect("room");
                    journal.record_never_ran(id, number);
                }
            }
            assert!(used(folder.path()) <= LIMIT, "{}", used(folder.path()));
        }
        assert!(refused > 100);
        let open_now = journal.iter().count();
        drop(journal);
        assert_eq!(open(folder.path()).iter().count(), open_now);
    }

    /// How a folder fares.
    pub const SOUND: u8 = 0;
    pub const TAKES_NOTHING: u8 = 1;
    pub const SYNCS_FAIL: u8 = 2;

    /// A folder that takes nothing for a while, or whose syncs fail.
    pub struct Broken(Folder, Rc<Cell<u8>>);

    impl Broken {
        pub fn new(folder: &Path, how: Rc<Cell<u8>>) -> Self {
            Self(Folder(folder.to_owned()), how)
        }
    }

    struct BrokenFile(Box<dyn File>, Rc<Cell<u8>>);

    fn fails(how: &Cell<u8>) -> io::Result<()> {
        if how.get() == TAKES_NOTHING { Err(io::ErrorKind::ReadOnlyFilesystem.into()) } else { Ok(()) }
    }

    impl Disk for Broken {
        fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
            self.0.read(name)
        }

        fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
            self.0.read_at(name, offset, len)
        }

        fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
            self.0.list_files()
        }

        fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
            fails(&self.1)?;
            Ok(Box::new(BrokenFile(self.0.append(name)?, self.1.clone())))
        }

        fn rename(&self, from: &str, to: &str) -> io::Result<()> {
            fails(&self.1)?;
            self.0.rename(from, to)
        }

        fn remove(&self, name: &str) -> io::Result<()> {
            fails(&self.1)?;
            self.0.remove(name)
        }

        fn sync_directory(&self) -> io::Result<()> {
            self.0.sync_directory()
        }

        fn lock(&self) -> io::Result<Box<dyn Any>> {
            self.0.lock()
        }
    }

    impl File for BrokenFile {
        fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
            fails(&self.1)?;
            self.0.write_all(bytes)
        }

        fn set_len(&mut self, len: u64) -> io::Result<()> {
            fails(&self.1)?;
            self.0.set_len(len)
        }

        fn sync(&self) -> io::Result<()> {
            if self.1.get() == SYNCS_FAIL { Err(io::ErrorKind::Other.into()) } else { self.0.sync() }
        }

        fn sync_in_background(&self) -> SyncFuture {
            if self.1.get() == SYNCS_FAIL {
                Box::pin(std::future::ready(self.sync()))
            } else {
                self.0.sync_in_background()
            }
        }
    }

    #[test]
    fn while_nothing_can_be_written_nothing_is_taken_or_tried_and_ends_are_owed() {
        let folder = tempfile::tempdir().expect("a folder");
        let broken = Rc::new(Cell::new(SOUND));
        let disk = Rc::new(Broken::new(folder.path(), broken.clone()));
        let opened = Journal::open(disk, Rc::new(SystemClock), Options::new(1, LIMIT));
        let mut journal = opened.expect("a journal").0;
        (1..=3).for_each(|id| journal.accept(MessageId(id), message(5)).expect("room"));
        broken.set(TAKES_NOTHING);
        assert!(journal.accept(MessageId(4), message(5)).is_err() && journal.get(MessageId(4)).is_none());
        assert!(journal.record_attempt(MessageId(1), 0, EndpointId(1)).is_err());
        assert!(journal.get(MessageId(1)).expect("open").attempts.is_empty());
        journal.record_end(MessageId(2));
        journal.record_verdict(MessageId(3), Verdict::Dead);
        assert_eq!((journal.owed.len(), journal.held_count()), (2, 1));
        // It heals by itself: what is owed is written first.
        broken.set(SOUND);
        journal.accept(MessageId(5), message(5)).expect("written");
        assert!(journal.owed.is_empty());
        drop(journal);
        let journal = open(folder.path());
        let left: Vec<(u64, bool)> = journal.iter().map(|(id, m)| (id.0, m.verdict.is_some())).collect();
        assert_eq!(left, [(1, false), (3, true), (5, false)]);
    }

    #[test]
    fn a_damaged_folder_is_refused_with_the_place_and_what_helps() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        (1..=3).for_each(|id| journal.accept(MessageId(id), message(50)).expect("room"));
        drop(journal);
        let path = folder.path().join("0000000001.log");
        let mut bytes = fs::read(&path).expect("a segment");
        bytes[120] ^= 1;
        fs::write(&path, &bytes).expect("written");
        let disk = Rc::new(Folder(folder.path().to_owned()));
        let Err(e) = Journal::open(disk, Rc::new(SystemClock), Options::new(1, LIMIT)) else {
            panic!("opened")
        };
        let said = crate::state::storage::describe_open_error(e).to_string();
        for part in ["0000000001.log, byte 64", "frame 1", "notchpoint store salvage"] {
            assert!(said.contains(part), "{said}");
        }
        assert_eq!(fs::read(&path).expect("still there"), bytes, "nothing was changed");
    }
}
