//! Compares the store with its predecessor (one file that is rewritten when it is full) and with an embedded
//! store from the registry, in one run: messages per second, the longest pause, the bytes written, and the
//! time of the next start.
//!
//! `cargo run --release -p notchpoint-store --example compare -- [STATE_MB [MESSAGES [FOLDER]]]`

use hdrhistogram::Histogram;
use notchpoint_seam::Disk;
use notchpoint_seam::system::Folder;
use notchpoint_store::{Batch, Durability, Options, Store, Table, WriteKind};
use redb::{Database, ReadableTable, TableDefinition};
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

type Failure = Box<dyn Error>;

const BODY_LEN: usize = 1_000;
const TABLE: Table = Table(1);

/// A store under test, with the operations for a message: accept it, record an attempt, and end it.
trait Journal {
    fn accept(&mut self, id: u64, body: &[u8]) -> Result<(), Failure>;
    fn attempt(&mut self, id: u64) -> Result<(), Failure>;
    fn end(&mut self, id: u64) -> Result<(), Failure>;
    /// Makes everything acknowledged durable.
    fn sync(&mut self) -> Result<(), Failure> {
        Ok(())
    }
}

fn key(id: u64, kind: u8) -> [u8; 9] {
    let mut key = [kind; 9];
    key[..8].copy_from_slice(&id.to_be_bytes());
    key
}

struct Segmented {
    store: Store,
    is_power: bool,
}

impl Segmented {
    fn open(folder: &Path, state_bytes: u64, durability: Durability) -> Result<Self, Failure> {
        let disk = Rc::new(Folder(folder.to_owned()));
        let options = Options { durability, ..Options::new(1, state_bytes * 5 / 2 + (4 << 20)) };
        Ok(Self { store: Store::open(disk, options)?.0, is_power: durability == Durability::Power })
    }
}

impl Journal for Segmented {
    fn accept(&mut self, id: u64, body: &[u8]) -> Result<(), Failure> {
        let mut batch = Batch::default();
        batch.put(TABLE, &key(id, b'T'), body);
        self.store.apply(&batch, WriteKind::New)?;
        Ok(())
    }

    fn attempt(&mut self, id: u64) -> Result<(), Failure> {
        let mut batch = Batch::default();
        batch.put(TABLE, &key(id, b'A'), &[0; 17]);
        self.store.apply(&batch, WriteKind::Update)?;
        Ok(())
    }

    fn end(&mut self, id: u64) -> Result<(), Failure> {
        let mut batch = Batch::default();
        batch.delete_prefix(TABLE, &id.to_be_bytes());
        self.store.apply(&batch, WriteKind::End)?;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Failure> {
        if self.is_power {
            self.store.sync_now()?;
        }
        Ok(())
    }
}

/// One file that is rewritten completely when it is full, as in builds before 0.3.
struct OneFile {
    disk: Folder,
    file: Box<dyn notchpoint_seam::File>,
    /// The body of each open message, and whether it was attempted.
    open: BTreeMap<u64, (Vec<u8>, bool)>,
    size: u64,
    limit: u64,
}

impl OneFile {
    fn open(folder: &Path, state_bytes: u64) -> Result<Self, Failure> {
        let disk = Folder(folder.to_owned());
        let file = disk.append("journal")?;
        Ok(Self { disk, file, open: BTreeMap::new(), size: 0, limit: state_bytes * 5 / 2 + (4 << 20) })
    }

    fn record(to: &mut Vec<u8>, kind: u8, id: u64, rest: &[u8]) {
        let mut record = vec![kind];
        record.extend(id.to_le_bytes());
        record.extend(rest);
        to.extend((record.len() as u32).to_le_bytes());
        to.extend(crc32c::crc32c(&record).to_le_bytes());
        to.extend(record);
    }

    fn append(&mut self, kind: u8, id: u64, rest: &[u8]) -> Result<(), Failure> {
        let mut bytes = Vec::new();
        Self::record(&mut bytes, kind, id, rest);
        let rewritten_len: u64 = self.open.len() as u64 * (BODY_LEN as u64 + 60);
        if self.size + rewritten_len > self.limit {
            let mut all = Vec::new();
            for (id, (body, is_attempted)) in &self.open {
                Self::record(&mut all, b'T', *id, body);
                if *is_attempted {
                    Self::record(&mut all, b'A', *id, &[0; 20]);
                }
            }
            let mut file = self.disk.append("journal.new")?;
            file.set_len(0)?;
            file.write_all(&all)?;
            self.disk.rename("journal.new", "journal")?;
            (self.file, self.size) = (file, all.len() as u64);
        }
        self.file.write_all(&bytes)?;
        self.size += bytes.len() as u64;
        Ok(())
    }
}

impl Journal for OneFile {
    fn accept(&mut self, id: u64, body: &[u8]) -> Result<(), Failure> {
        self.append(b'T', id, body)?;
        self.open.insert(id, (body.to_vec(), false));
        Ok(())
    }

    fn attempt(&mut self, id: u64) -> Result<(), Failure> {
        self.open.entry(id).and_modify(|m| m.1 = true);
        self.append(b'A', id, &[0; 20])
    }

    fn end(&mut self, id: u64) -> Result<(), Failure> {
        self.open.remove(&id);
        self.append(b'E', id, &[])
    }
}

/// The maximum state in bytes that redb fills within seconds.
const MAX_REDB_STATE: u64 = 100_000_000;

const REDB_TABLE: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("messages");

/// A copy-on-write B-tree file, with a transaction for each operation.
struct RedbStore {
    db: Database,
    durability: redb::Durability,
}

impl RedbStore {
    fn transaction(
        &self,
        operation: impl FnOnce(&mut redb::Table<'_, &[u8], &[u8]>) -> Result<(), Failure>,
    ) -> Result<(), Failure> {
        let mut tx = self.db.begin_write()?;
        tx.set_durability(self.durability)?;
        {
            let mut table = tx.open_table(REDB_TABLE)?;
            operation(&mut table)?;
        }
        tx.commit()?;
        Ok(())
    }
}

impl Journal for RedbStore {
    fn accept(&mut self, id: u64, body: &[u8]) -> Result<(), Failure> {
        self.transaction(|t| Ok(t.insert(&key(id, b'T')[..], body).map(drop)?))
    }

    fn attempt(&mut self, id: u64) -> Result<(), Failure> {
        self.transaction(|t| Ok(t.insert(&key(id, b'A')[..], &[0u8; 17][..]).map(drop)?))
    }

    fn end(&mut self, id: u64) -> Result<(), Failure> {
        self.transaction(|t| {
            t.remove(&key(id, b'T')[..])?;
            t.remove(&key(id, b'A')[..])?;
            Ok(())
        })
    }
}

/// Returns the bytes that this process passed to write calls.
fn bytes_written() -> u64 {
    let text = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("wchar: "));
    line.and_then(|n| n.trim().parse().ok()).unwrap_or(0)
}

fn max_resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// Fills the state, then accepts and ends this number of messages, the oldest first. A sync follows each
/// group of `group` messages.
fn run(name: &str, journal: &mut dyn Journal, state: u64, messages: u64, group: u64) -> Result<(), Failure> {
    let body = vec![7u8; BODY_LEN];
    let open = (state / BODY_LEN as u64).max(1);
    let mut queue = VecDeque::new();
    for id in 0..open {
        journal.accept(id, &body)?;
        queue.push_back(id);
    }
    journal.sync()?;
    let mut pauses = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3)?;
    let (before, started) = (bytes_written(), Instant::now());
    for n in 0..messages {
        let at = Instant::now();
        journal.accept(open + n, &body)?;
        journal.attempt(open + n)?;
        if let Some(old) = queue.pop_front() {
            journal.end(old)?;
        }
        queue.push_back(open + n);
        if n % group == group - 1 {
            journal.sync()?;
        }
        pauses.saturating_record((at.elapsed().as_nanos() as u64 / 1_000).max(1));
    }
    let elapsed = started.elapsed().as_secs_f64();
    let payload_bytes = messages * (BODY_LEN as u64 + 17 + 3 * 9);
    println!(
        "{name:<34} {:>9.0} msg/s   p50 {:>6} us  p99 {:>6} us  longest {:>9.2} ms   {:>5.2} x written",
        messages as f64 / elapsed,
        pauses.value_at_quantile(0.5),
        pauses.value_at_quantile(0.99),
        pauses.max() as f64 / 1_000.0,
        (bytes_written() - before) as f64 / payload_bytes as f64
    );
    Ok(())
}

/// Measures the next start, in a separate process so that its memory use is measured alone.
fn recover(folder: &Path, state: u64) -> Result<(), Failure> {
    let started = Instant::now();
    let store = Segmented::open(folder, state, Durability::Process)?.store;
    let elapsed: Duration = started.elapsed();
    let stats = store.stats();
    println!(
        "next start: {} keys, {:.0} MB of log in {elapsed:.2?}, {:.0} MB resident at peak",
        stats.key_count,
        stats.log_bytes as f64 / 1e6,
        max_resident_mb()
    );
    Ok(())
}

fn main() -> Result<(), Failure> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "recover") {
        let folder = args.get(1).ok_or("recover FOLDER STATE")?;
        return recover(Path::new(folder), args.get(2).ok_or("recover FOLDER STATE")?.parse()?);
    }
    let number = |n: usize, default: u64| args.get(n).map_or(Ok(default), |a| a.parse::<u64>());
    let (state, messages) = (number(0, 3)? * 1_000_000, number(1, 20_000)?);
    let base = args.get(2).map_or_else(std::env::temp_dir, PathBuf::from);
    println!(
        "{} MB of open messages, bodies of {BODY_LEN} bytes, {messages} more messages accepted, attempted \
         and ended",
        state / 1_000_000
    );
    let folder = |name: &str| -> Result<PathBuf, Failure> {
        let path = base.join(format!("compare-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(path)
    };
    let (one_file, segmented, power, tree) =
        (folder("one")?, folder("seg")?, folder("power")?, folder("tree")?);
    run("one file, rewritten (before 0.3)", &mut OneFile::open(&one_file, state)?, state, messages, 1)?;
    {
        let mut journal = Segmented::open(&segmented, state, Durability::Process)?;
        run("store, process", &mut journal, state, messages, 1)?;
        println!("{:?}", journal.store.stats());
    }
    let exe = std::env::current_exe()?;
    std::process::Command::new(exe).arg("recover").arg(&segmented).arg(state.to_string()).status()?;
    let synced_messages = messages.min(2_000);
    run(
        "store, power, a sync for each message",
        &mut Segmented::open(&power, state, Durability::Power)?,
        state,
        synced_messages,
        1,
    )?;
    std::fs::remove_dir_all(&power)?;
    run(
        "store, power, a sync for 32 messages",
        &mut Segmented::open(&recreate_folder(&power)?, state, Durability::Power)?,
        state,
        synced_messages,
        32,
    )?;
    if state > MAX_REDB_STATE {
        println!("(redb is left out: filling this state would take minutes)");
    } else {
        let fast = RedbStore { db: Database::create(tree.join("db"))?, durability: redb::Durability::None };
        run("redb, no durability", &mut { fast }, state, messages, 1)?;
        let synced =
            RedbStore { db: Database::create(tree.join("db2"))?, durability: redb::Durability::Immediate };
        run(
            "redb, a sync for each operation",
            &mut { synced },
            state.min(3_000_000),
            synced_messages.min(500),
            1,
        )?;
        let read = Database::open(tree.join("db2"))?;
        let keys = read.begin_write()?.open_table(REDB_TABLE)?.iter()?.count();
        println!("({keys} keys in the last store)");
    }
    for folder in [one_file, segmented, power, tree] {
        std::fs::remove_dir_all(folder)?;
    }
    Ok(())
}

fn recreate_folder(folder: &Path) -> Result<PathBuf, Failure> {
    std::fs::create_dir_all(folder)?;
    Ok(folder.to_owned())
}
