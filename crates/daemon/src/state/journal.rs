//! The journal records accepted messages until they end: the messages, their attempts and their verdicts. The
//! records are in the store's table of messages; open messages are held in memory as well.
//!
//! Written records outlast the process without a sync. If the operator asks for more (`[store]`),
//! `durability.rs` waits for the sync before anything is acknowledged or sent.

use crate::holds::{IdHold, IdHolds};
use crate::rate_limited_warning::RateLimitedWarning;
use crate::settings::classes;
use crate::state::legacy;
use crate::state::operator_marks::{self, MarkChange, OPERATOR_MARKS, OperatorMarks};
use crate::state::record::{
    self, ATTEMPT, Attempt, CLASSES, COPIES, MESSAGE, MESSAGES, REQUEST_IDS, UNCONFIRMED, VERDICT,
    encode_attempt, encode_message, encode_verdict, key, load_record, load_request_id,
};
pub use crate::state::record::{OpenMessage, RequestId, Verdict};
use crate::state::timeline::{ClockReading, Continuity, TIMELINE, Timeline};
use notchpoint_policy::{Class, EndpointId, MessageId, Micros};
use notchpoint_seam::{Clock, Disk};
use notchpoint_store::{Batch, Error, LogPosition, Options, PendingSync, RecoveryReport, Store, WriteKind};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::ops::Bound;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// The space in the log that a verdict and an end of one message take. It is reserved for each open message.
const END_RESERVE_BYTES: u64 = 96;
/// The difference between ids that are tried for a message whose request id is in use: odd, so that all ids
/// are tried, and far apart, since clients may count theirs up.
const ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// The smallest step of the wall clock, in microseconds, that is logged at the start.
const MIN_LOGGED_CLOCK_STEP: u64 = 1_000_000;
/// The time recorded for attempts whose time is not known.
const UNKNOWN_TIME: u64 = 0;

/// The journal of one sender: its store, and the open messages in memory.
pub struct Journal {
    /// `None` once another process owns the store. The messages in memory then only serve to finish calls.
    store: Option<Store>,
    /// The position behind the last record, once the store is released.
    released_log_end: LogPosition,
    clock: Rc<dyn Clock>,
    timeline: Timeline,
    continuity: Continuity,
    open: BTreeMap<MessageId, OpenMessage>,
    /// The open messages whose request id is another one.
    renamed: BTreeSet<(RequestId, MessageId)>,
    id_holds: IdHolds,
    /// The number of messages without an end or a verdict.
    held_count: usize,
    operator_marks: OperatorMarks,
    /// Definitions of classes that messages may have, by tag, as they were when the journal was opened.
    stored_classes: BTreeMap<String, Class>,
    /// Verdicts, ends and the timeline that could not be written yet, oldest first: at most a few for each
    /// open message. They are written before anything else, see `pending_writes.rs`.
    pending_writes: VecDeque<Batch>,
    /// Notified when a pending write is added.
    pending_write_signal: Rc<Notify>,
    write_warning: RateLimitedWarning,
    /// Rows of copies that an earlier process left, until `take_copies` returns them.
    copies: Vec<(Vec<u8>, Vec<u8>)>,
    /// Receives updates of messages, if copies are kept.
    subscriber: Option<UnboundedSender<MessageUpdate>>,
}

/// A change of a message that the copies of it must follow.
#[derive(Debug)]
pub enum MessageUpdate {
    AttemptNeverRan(MessageId, u32),
    Verdict(MessageId, Verdict),
    /// The id stays in use until the copies are being deleted.
    Ended(IdHold),
}

/// A row of copies: its key, and its value, or `None` to delete the row.
pub type CopyRow<'a> = (&'a [u8], Option<&'a [u8]>);

impl Journal {
    /// Opens the journal of the folder and reads what an earlier process left, including the format of
    /// earlier builds.
    pub fn open(
        disk: Rc<dyn Disk>,
        clock: Rc<dyn Clock>,
        options: Options,
    ) -> Result<(Self, RecoveryReport), Error> {
        let (mut store, report) = Store::open(disk.clone(), options)?;
        legacy::migrate(&*disk, &mut store)?;
        let mut open = BTreeMap::new();
        let (mut operator_marks, mut stored_classes, mut unreadable) =
            (OperatorMarks::default(), BTreeMap::new(), None);
        let (mut copies, mut saved_timeline) = (Vec::new(), None);
        store.visit(|table, key, value| {
            let (kind, loaded) = match table {
                MESSAGES => ("message", load_record(key, value, &mut open)),
                REQUEST_IDS => ("request id", load_request_id(key, value, &mut open)),
                CLASSES => ("class definition", load_class(key, value, &mut stored_classes)),
                OPERATOR_MARKS => ("operator mark", operator_marks.load_record(key, value)),
                COPIES => return copies.push((key.to_vec(), value.to_vec())),
                TIMELINE => {
                    saved_timeline = Timeline::load_record(key, value);
                    ("timeline", saved_timeline.map(drop))
                }
                _ => return,
            };
            if loaded.is_none() {
                unreadable.get_or_insert_with(|| format!("{kind} record cannot be read: key {key:02x?}"));
            }
        })?;
        // An attempt or a verdict whose message has no record leaves an entry without a deadline, for which
        // there is nothing to deliver or to report.
        open.retain(|_, m: &mut OpenMessage| m.deadline > 0);
        if let Some(error) = unreadable {
            return Err(io::Error::new(io::ErrorKind::InvalidData, error).into());
        }
        for message in open.values_mut() {
            message.attempts.sort_by_key(|a| a.number);
        }
        let renamed = open.iter().filter_map(|(&id, m)| Some((m.request_id?, id))).collect();
        let held_count = open.values().filter(|m| m.verdict.is_none()).count();
        let released_log_end = store.log_end();
        let (store, pending_writes, subscriber) = (Some(store), VecDeque::new(), None);
        let now =
            ClockReading { boot: clock.boot_id()?, monotonic: clock.monotonic_now(), wall: clock.unix_now() };
        let (timeline, continuity) = Timeline::resume(saved_timeline, now);
        let mut journal = Self {
            store,
            released_log_end,
            clock,
            timeline,
            continuity,
            open,
            renamed,
            id_holds: IdHolds::default(),
            held_count,
            operator_marks,
            stored_classes,
            pending_writes,
            pending_write_signal: Rc::default(),
            write_warning: RateLimitedWarning::default(),
            copies,
            subscriber,
        };
        journal.reserve_for_ends();
        journal.start_timeline();
        Ok((journal, report))
    }

    /// Dates records by this process's timeline from now on. After a boot the age of attempts is not known,
    /// so attempts that may have run are treated as older than any deduplication window.
    fn start_timeline(&mut self) {
        if self.continuity == Continuity::SameBoot {
            let step = self.clock.unix_now().abs_diff(self.unix_now());
            if step >= MIN_LOGGED_CLOCK_STEP {
                let seconds = step / MIN_LOGGED_CLOCK_STEP;
                tracing::info!(
                    "journal: the wall clock was stepped; timestamps of records differ from it by {seconds} s"
                );
            }
            return;
        }
        let mut batch = Batch::default();
        self.timeline.write(&mut batch);
        if self.continuity == Continuity::OtherBoot {
            tracing::warn!(
                "journal: written before a reboot or on another machine; deadlines follow the wall clock"
            );
            for (id, open) in &mut self.open {
                for attempt in open.attempts.iter_mut().filter(|a| !a.never_ran) {
                    attempt.started_at = UNKNOWN_TIME;
                    batch.put(MESSAGES, &key(*id, ATTEMPT, Some(attempt.number)), &encode_attempt(attempt));
                }
            }
        }
        // Pending writes come first, so this is written before any record that the timeline dates.
        self.append_or_defer(batch);
    }

    /// Limits the time that messages have left to the longest time of their class, since after a boot the
    /// wall clock may have been set back. `longest` returns the limit for a class's tag.
    pub fn bound_deadlines(&mut self, longest: impl Fn(&str) -> Option<Micros>) {
        if self.continuity != Continuity::OtherBoot {
            return;
        }
        let (now, mut batch) = (self.unix_now(), Batch::default());
        for (id, open) in &mut self.open {
            let Some(latest) = longest(&open.class).map(|span| now.saturating_add(span)) else { continue };
            if open.deadline > latest {
                open.deadline = latest;
                batch.put(MESSAGES, &key(*id, MESSAGE, None), &encode_message(open));
            }
        }
        if !batch.is_empty() {
            self.append_or_defer(batch);
        }
    }

    /// Reserves space in the store for the verdicts and ends of all open messages.
    fn reserve_for_ends(&mut self) {
        if let Some(store) = &mut self.store {
            store.set_expected_end_bytes(self.open.len() as u64 * END_RESERVE_BYTES);
        }
    }

    /// Returns the Unix time in microseconds on the timeline that dates records. Differences are spans of
    /// real time, regardless of steps of the wall clock.
    pub fn unix_now(&self) -> u64 {
        self.timeline.time_at(self.clock.monotonic_now())
    }

    /// Returns an open message.
    pub fn get(&self, id: MessageId) -> Option<&OpenMessage> {
        self.open.get(&id)
    }

    /// Whether a new message may have this id: no record has it, and no part of the program holds it.
    pub fn is_id_free(&self, id: MessageId) -> bool {
        !self.open.contains_key(&id) && !self.id_holds.is_held(id)
    }

    /// Whether a message that a client submitted under this id is open.
    pub fn is_request_open(&self, request_id: RequestId) -> bool {
        let (first, last) = ((request_id, MessageId(0)), (request_id, MessageId(u64::MAX)));
        let id = MessageId(request_id.0);
        self.open.get(&id).is_some_and(|message| message.request_id(id) == request_id)
            || self.renamed.range(first..=last).next().is_some()
    }

    /// Returns the id that the client gave a message.
    pub fn request_id(&self, id: MessageId) -> RequestId {
        self.open.get(&id).map_or(RequestId(id.0), |message| message.request_id(id))
    }

    /// Returns an id for a message that is taken over: its request id, unless that is in use.
    pub fn free_id(&self, request_id: RequestId) -> MessageId {
        let id = |n: u64| MessageId(request_id.0 ^ n.wrapping_mul(ID_STEP));
        (0..=u64::MAX).map(id).find(|id| self.is_id_free(*id)).unwrap_or(id(0))
    }

    /// Keeps an id in use until the returned value is dropped.
    pub fn hold(&self, id: MessageId) -> IdHold {
        self.id_holds.hold(id)
    }

    /// Returns the ids that are held.
    pub fn id_holds(&self) -> &IdHolds {
        &self.id_holds
    }

    /// Iterates over the open messages.
    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &OpenMessage)> {
        self.open.iter().map(|(&id, m)| (id, m))
    }

    /// Iterates over the open messages behind this id, or over all.
    pub fn iter_after(&self, id: Option<MessageId>) -> impl Iterator<Item = (MessageId, &OpenMessage)> {
        let from = id.map_or(Bound::Unbounded, Bound::Excluded);
        self.open.range((from, Bound::Unbounded)).map(|(&id, m)| (id, m))
    }

    /// Returns the number of messages without an end or a verdict.
    pub fn held_count(&self) -> usize {
        self.held_count
    }

    /// Records a new message. After an error nothing has changed.
    pub fn accept(&mut self, id: MessageId, message: OpenMessage) -> io::Result<()> {
        let mut batch = Batch::default();
        record::write(&mut batch, id, &message);
        self.append(&batch, WriteKind::New)?;
        self.held_count += 1;
        self.open.insert(id, message);
        self.reserve_for_ends();
        Ok(())
    }

    /// Sends updates of messages to the subscriber from now on.
    pub fn subscribe(&mut self, subscriber: UnboundedSender<MessageUpdate>) {
        self.subscriber = Some(subscriber);
    }

    fn notify_subscriber(&self, update: MessageUpdate) {
        // The receiver may have ended already.
        if let Some(subscriber) = &self.subscriber {
            let _ = subscriber.send(update);
        }
    }

    /// Returns the rows of copies that an earlier process left. A second call returns none.
    pub fn take_copies(&mut self) -> Vec<(Vec<u8>, Vec<u8>)> {
        std::mem::take(&mut self.copies)
    }

    /// Writes rows of copies atomically. After an error nothing has changed.
    pub fn write_copies<'a>(&mut self, rows: impl Iterator<Item = CopyRow<'a>>) -> io::Result<()> {
        let mut batch = Batch::default();
        let only_deletes = add_copy_rows(&mut batch, rows);
        Ok(self.append(&batch, if only_deletes { WriteKind::End } else { WriteKind::New })?)
    }

    /// Takes over a message that another sender had acknowledged, and writes rows of copies in the same
    /// batch. After an error nothing has changed. It fails as long as the id is in use here.
    pub fn adopt<'a>(
        &mut self,
        id: MessageId,
        message: OpenMessage,
        rows: impl Iterator<Item = CopyRow<'a>>,
    ) -> io::Result<()> {
        if !self.is_id_free(id) {
            return Err(io::Error::new(io::ErrorKind::AlreadyExists, "the message id is in use"));
        }
        let mut batch = Batch::default();
        record::write(&mut batch, id, &message);
        add_copy_rows(&mut batch, rows);
        self.append(&batch, WriteKind::Update)?;
        self.held_count += usize::from(message.verdict.is_none());
        self.renamed.extend(message.request_id.map(|request_id| (request_id, id)));
        self.open.insert(id, message);
        self.reserve_for_ends();
        Ok(())
    }

    /// Records that an unconfirmed message may be acknowledged. After an error it must not be.
    pub fn confirm(&mut self, id: MessageId) -> io::Result<()> {
        if self.open.get(&id).is_none_or(|o| o.is_confirmed) {
            return Ok(());
        }
        let mut batch = Batch::default();
        batch.delete(MESSAGES, &key(id, UNCONFIRMED, None));
        self.append(&batch, WriteKind::Update)?;
        self.open.entry(id).and_modify(|o| o.is_confirmed = true);
        Ok(())
    }

    /// Returns the marks that operators have set.
    pub fn operator_marks(&self) -> &OperatorMarks {
        &self.operator_marks
    }

    /// Returns the definitions of classes, by tag, that an earlier process left.
    pub fn stored_classes(&self) -> &BTreeMap<String, Class> {
        &self.stored_classes
    }

    /// Stores and deletes definitions of classes atomically. After an error nothing has changed.
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
            self.append(&batch, WriteKind::Update)?;
        }
        Ok(())
    }

    /// Sets or clears an operator's mark. After an error nothing has changed.
    pub fn set_mark(&mut self, change: MarkChange) -> io::Result<()> {
        if !self.operator_marks.includes(&change) {
            self.append(&operator_marks::batch(&change), WriteKind::Update)?;
            self.operator_marks.apply(change);
        }
        Ok(())
    }

    /// Records an attempt before its first byte is sent. After an error that byte must not be sent.
    pub fn record_attempt(&mut self, id: MessageId, number: u32, endpoint: EndpointId) -> io::Result<()> {
        let started_at = self.unix_now();
        if !self.open.contains_key(&id) {
            return Ok(());
        }
        let attempt = Attempt { number, endpoint, started_at, never_ran: false };
        let mut batch = Batch::default();
        batch.put(MESSAGES, &key(id, ATTEMPT, Some(number)), &encode_attempt(&attempt));
        self.append(&batch, WriteKind::Update)?;
        self.open.entry(id).and_modify(|m| m.attempts.push(attempt));
        Ok(())
    }

    /// Records that an attempt never ran, as its outcome proved. Without this record a restart would have to
    /// end a message that must not be repeated, so a failed write is retried like that of an end.
    pub fn record_never_ran(&mut self, id: MessageId, number: u32) {
        let attempts = self.open.get_mut(&id).into_iter().flat_map(|m| &mut m.attempts);
        let Some(attempt) = attempts.into_iter().find(|a| a.number == number) else { return };
        attempt.never_ran = true;
        let mut batch = Batch::default();
        batch.put(MESSAGES, &key(id, ATTEMPT, Some(number)), &encode_attempt(attempt));
        self.notify_subscriber(MessageUpdate::AttemptNeverRan(id, number));
        self.append_or_defer(batch);
    }

    /// Records a verdict, before its notice is sent: after the notice the client may send the message again.
    /// Returns whether the verdict is written. If not, the write is pending, and a kill would lose it.
    pub fn record_verdict(&mut self, id: MessageId, verdict: Verdict) -> bool {
        let Some(message) = self.open.get_mut(&id) else { return true };
        if message.verdict.replace(verdict).is_none() {
            self.held_count -= 1;
        }
        let mut batch = Batch::default();
        batch.put(MESSAGES, &key(id, VERDICT, None), &encode_verdict(verdict));
        let written = self.append_or_defer(batch);
        self.notify_subscriber(MessageUpdate::Verdict(id, verdict));
        written
    }

    /// Records the end of a message, for which nothing is left to do. Returns whether that is written.
    pub fn record_end(&mut self, id: MessageId) -> bool {
        let Some(message) = self.open.remove(&id) else { return true };
        self.held_count -= usize::from(message.verdict.is_none());
        self.renamed.remove(&(message.request_id(id), id));
        let mut batch = Batch::default();
        record::delete(&mut batch, id, &message);
        let written = self.append_or_defer(batch);
        self.notify_subscriber(MessageUpdate::Ended(self.hold(id)));
        self.reserve_for_ends();
        written
    }

    /// Writes a batch now or, if that fails, as soon as the folder accepts it. Returns whether it is written.
    fn append_or_defer(&mut self, batch: Batch) -> bool {
        let written = self.append(&batch, WriteKind::End);
        if let Err(error) = &written {
            self.write_warning.warn(&format_args!("journal: {error}; the write is retried"));
            self.pending_writes.push_back(batch);
            self.pending_write_signal.notify_one();
        }
        written.is_ok()
    }

    /// Whether records wait to be written.
    pub fn has_pending_writes(&self) -> bool {
        !self.pending_writes.is_empty()
    }

    /// Returns the signal that is notified when records wait to be written.
    pub fn pending_write_signal(&self) -> Rc<Notify> {
        self.pending_write_signal.clone()
    }

    /// Writes the pending records.
    ///
    /// # Errors
    /// The folder still accepts no writes.
    pub fn flush_pending_writes(&mut self) -> Result<(), Error> {
        let Some(store) = &mut self.store else { return Ok(()) };
        while let Some(first) = self.pending_writes.front() {
            store.apply(first, WriteKind::End)?;
            self.pending_writes.pop_front();
        }
        Ok(())
    }

    fn append(&mut self, batch: &Batch, kind: WriteKind) -> Result<(), Error> {
        self.flush_pending_writes()?;
        let Some(store) = &mut self.store else {
            // The owner of the store records ends. Nothing new starts in this process.
            let not_owned = || io::Error::other("another process owns the store");
            return if kind == WriteKind::End { Ok(()) } else { Err(not_owned().into()) };
        };
        store.apply(batch, kind).map(drop)
    }

    /// Writes and syncs everything, then closes the store and releases its lock. After an error the store
    /// stays open.
    pub fn release(&mut self) -> Result<(), Error> {
        self.flush_pending_writes()?;
        let Some(store) = &mut self.store else { return Ok(()) };
        store.flush()?;
        store.sync_now()?;
        self.released_log_end = store.log_end();
        self.store = None;
        Ok(())
    }

    /// Returns the position behind the last written record.
    pub fn log_end(&self) -> LogPosition {
        self.store.as_ref().map_or(self.released_log_end, Store::log_end)
    }

    /// Whether all records up to a position survive what the operator asked for: the end of the process, or a
    /// loss of power.
    pub fn is_durable(&self, position: &LogPosition) -> bool {
        self.store.as_ref().is_none_or(|s| s.is_durable(position))
    }

    /// Begins a sync. Returns `None` if there is nothing to sync.
    pub fn begin_sync(&mut self) -> Result<Option<PendingSync>, Error> {
        self.store.as_mut().map_or(Ok(None), Store::begin_sync)
    }

    /// Ends a sync with its result. If it failed, its records are written to another segment.
    pub fn finish_sync(&mut self, sync: &PendingSync, result: io::Result<()>) -> Result<(), Error> {
        self.store.as_mut().map_or(Ok(()), |s| s.finish_sync(sync, result))
    }
}

/// Adds rows of copies to a batch. Returns whether all of them are deleted.
fn add_copy_rows<'a>(batch: &mut Batch, rows: impl Iterator<Item = CopyRow<'a>>) -> bool {
    let mut only_deletes = true;
    for (key, value) in rows {
        match value {
            Some(value) => batch.put(COPIES, key, value),
            None => batch.delete(COPIES, key),
        }
        only_deletes &= value.is_none();
    }
    only_deletes
}

fn load_class(key: &[u8], value: &[u8], classes: &mut BTreeMap<String, Class>) -> Option<()> {
    let tag = std::str::from_utf8(key).ok()?;
    classes.insert(tag.to_owned(), serde_json::from_slice(value).ok()?);
    Some(())
}

#[cfg(test)]
mod id_reuse_tests;

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

    /// Opens a journal with real files and clock, for tests of code that uses one.
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

    /// Returns the disk space that the folder's files take.
    fn disk_usage(folder: &Path) -> u64 {
        let files = fs::read_dir(folder).expect("a folder").flatten();
        files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
    }

    #[test]
    fn the_next_process_reads_what_was_written() {
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
    fn the_folder_stays_under_its_limit_and_ends_always_have_space() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        let (mut last, mut refused) = (None, 0);
        for number in 0..400 {
            let id = MessageId(number);
            match journal.accept(id, message(20_000)) {
                Ok(()) => last = Some(id),
                // The folder is full: the message is refused, and an end frees space.
                Err(error) => {
                    assert_eq!(error.kind(), io::ErrorKind::StorageFull);
                    refused += 1;
                    let first = journal.iter().next().expect("something is open").0;
                    journal.record_end(first);
                    assert!(journal.pending_writes.is_empty(), "it had space");
                }
            }
            if let Some(id) = last.filter(|id| journal.get(*id).is_some()) {
                for number in 0..8 {
                    journal.record_attempt(id, number, EndpointId(1)).expect("room");
                    journal.record_never_ran(id, number);
                }
            }
            assert!(disk_usage(folder.path()) <= LIMIT, "{}", disk_usage(folder.path()));
        }
        assert!(refused > 100);
        let open_count = journal.iter().count();
        drop(journal);
        assert_eq!(open(folder.path()).iter().count(), open_count);
    }

    /// The states of a `FaultyDisk`.
    pub const WORKING: u8 = 0;
    pub const WRITES_FAIL: u8 = 1;
    pub const SYNCS_FAIL: u8 = 2;

    /// A folder whose writes or syncs fail as long as its state says so.
    pub struct FaultyDisk(Folder, Rc<Cell<u8>>);

    impl FaultyDisk {
        pub fn new(folder: &Path, state: Rc<Cell<u8>>) -> Self {
            Self(Folder(folder.to_owned()), state)
        }
    }

    struct FaultyFile(Box<dyn File>, Rc<Cell<u8>>);

    fn check_writable(state: &Cell<u8>) -> io::Result<()> {
        if state.get() == WRITES_FAIL { Err(io::ErrorKind::ReadOnlyFilesystem.into()) } else { Ok(()) }
    }

    impl Disk for FaultyDisk {
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
            check_writable(&self.1)?;
            Ok(Box::new(FaultyFile(self.0.append(name)?, self.1.clone())))
        }

        fn rename(&self, from: &str, to: &str) -> io::Result<()> {
            check_writable(&self.1)?;
            self.0.rename(from, to)
        }

        fn remove(&self, name: &str) -> io::Result<()> {
            check_writable(&self.1)?;
            self.0.remove(name)
        }

        fn sync_directory(&self) -> io::Result<()> {
            self.0.sync_directory()
        }

        fn lock(&self) -> io::Result<Box<dyn Any>> {
            self.0.lock()
        }
    }

    impl File for FaultyFile {
        fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
            check_writable(&self.1)?;
            self.0.write_all(bytes)
        }

        fn set_len(&mut self, len: u64) -> io::Result<()> {
            check_writable(&self.1)?;
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
    fn while_writes_fail_messages_and_attempts_are_refused_and_ends_stay_pending() {
        let folder = tempfile::tempdir().expect("a folder");
        let disk_state = Rc::new(Cell::new(WORKING));
        let disk = Rc::new(FaultyDisk::new(folder.path(), disk_state.clone()));
        let opened = Journal::open(disk, Rc::new(SystemClock), Options::new(1, LIMIT));
        let mut journal = opened.expect("a journal").0;
        (1..=3).for_each(|id| journal.accept(MessageId(id), message(5)).expect("room"));
        disk_state.set(WRITES_FAIL);
        assert!(journal.accept(MessageId(4), message(5)).is_err() && journal.get(MessageId(4)).is_none());
        assert!(journal.record_attempt(MessageId(1), 0, EndpointId(1)).is_err());
        assert!(journal.get(MessageId(1)).expect("open").attempts.is_empty());
        journal.record_end(MessageId(2));
        journal.record_verdict(MessageId(3), Verdict::Dead);
        assert_eq!((journal.pending_writes.len(), journal.held_count()), (2, 1));
        // It recovers by itself: pending records are written first.
        disk_state.set(WORKING);
        journal.accept(MessageId(5), message(5)).expect("written");
        assert!(journal.pending_writes.is_empty());
        drop(journal);
        let journal = open(folder.path());
        let left: Vec<(u64, bool)> = journal.iter().map(|(id, m)| (id.0, m.verdict.is_some())).collect();
        assert_eq!(left, [(1, false), (3, true), (5, false)]);
    }

    #[test]
    fn a_damaged_folder_is_refused_with_the_position_and_the_command_that_helps() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut journal = open(folder.path());
        (1..=3).for_each(|id| journal.accept(MessageId(id), message(50)).expect("room"));
        drop(journal);
        let path = folder.path().join("0000000001.log");
        let mut bytes = fs::read(&path).expect("a segment");
        bytes[120] ^= 1;
        fs::write(&path, &bytes).expect("written");
        let disk = Rc::new(Folder(folder.path().to_owned()));
        let Err(error) = Journal::open(disk, Rc::new(SystemClock), Options::new(1, LIMIT)) else {
            panic!("opened")
        };
        let text = crate::state::storage::describe_open_error(error).to_string();
        for part in ["0000000001.log, byte 64", "frame 1", "notchpoint store salvage"] {
            assert!(text.contains(part), "{text}");
        }
        assert_eq!(fs::read(&path).expect("still there"), bytes, "nothing was changed");
    }
}
