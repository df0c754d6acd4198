//! A simulated disk with injected crashes, torn writes, lost writes and errors, and a random script of
//! batches that is applied to a store on this disk and to a plain map as the reference.
#![allow(dead_code)]

use notchpoint_seam::{Disk, File};
use notchpoint_store::{Batch, Durability, Error, LogPosition, Options, Store, Table, WriteKind};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// The unit in bytes that a loss of power writes completely or not at all.
const SECTOR_LEN: usize = 512;

#[derive(Clone, Default)]
struct Inode {
    data: Vec<u8>,
    /// The bytes that survive a loss of power.
    durable: Vec<u8>,
}

/// A fault that is injected into an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends during the operation, and a write may be partially done. All later operations fail.
    Crash,
    /// The operation fails with this error, and a write may be partially done. Later operations succeed.
    Once(ErrorKind),
    /// The operation and the following ones fail, this number in all.
    Span(ErrorKind, u64),
}

#[derive(Default)]
struct State {
    inodes: Vec<Rc<RefCell<Inode>>>,
    names: BTreeMap<String, usize>,
    /// Changes of the directory that are not durable: the name, and its new inode.
    pending_names: Vec<(String, Option<usize>)>,
    durable_names: BTreeMap<String, usize>,
}

/// The simulated disk.
pub struct SimDisk {
    state: RefCell<State>,
    operations: Cell<u64>,
    fault: Cell<Option<(u64, Fault)>>,
    is_crashed: Cell<bool>,
    locked: Rc<Cell<bool>>,
    /// The maximum number of bytes that the files occupied, in whole blocks.
    pub max_used_bytes: Cell<u64>,
    random: RefCell<Pcg64Mcg>,
}

impl SimDisk {
    pub fn new(seed: u64, fault: Option<(u64, Fault)>) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            operations: Cell::new(0),
            fault: Cell::new(fault),
            is_crashed: Cell::new(false),
            locked: Rc::default(),
            max_used_bytes: Cell::new(0),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    /// Returns the number of operations so far.
    pub fn operations(&self) -> u64 {
        self.operations.get()
    }

    pub fn is_crashed(&self) -> bool {
        self.is_crashed.get()
    }

    /// Injects a fault into an operation, counted from the next one as 1.
    pub fn inject(&self, after: u64, fault: Fault) {
        self.fault.set(Some((self.operations.get() + after, fault)));
    }

    /// Counts an operation. Returns an error if it is to fail.
    fn operation(&self) -> io::Result<()> {
        if self.is_crashed.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let n = self.operations.get() + 1;
        self.operations.set(n);
        match self.fault.get() {
            Some((at, Fault::Crash)) if n == at => {
                self.is_crashed.set(true);
                Err(ErrorKind::BrokenPipe.into())
            }
            Some((at, Fault::Once(kind))) if n == at => Err(kind.into()),
            Some((at, Fault::Span(kind, count))) if (at..at + count).contains(&n) => Err(kind.into()),
            _ => Ok(()),
        }
    }

    /// Returns the random length of a partial write.
    fn partial_len(&self, len: usize) -> usize {
        self.random.borrow_mut().random_range(0..=len)
    }

    fn inode(&self, name: &str) -> Option<Rc<RefCell<Inode>>> {
        let state = self.state.borrow();
        state.names.get(name).map(|n| state.inodes[*n].clone())
    }

    /// Changes the inode of a name.
    fn set_name(&self, name: &str, inode: Option<usize>) {
        let mut state = self.state.borrow_mut();
        match inode {
            Some(n) => state.names.insert(name.to_owned(), n),
            None => state.names.remove(name),
        };
        state.pending_names.push((name.to_owned(), inode));
    }

    fn update_max_used(&self) {
        let state = self.state.borrow();
        let occupied = |n: &usize| (state.inodes[*n].borrow().data.len() as u64).div_ceil(512) * 512;
        self.max_used_bytes.set(self.max_used_bytes.get().max(state.names.values().map(occupied).sum()));
    }

    /// Returns the current files.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state.borrow();
        state.names.iter().map(|(name, n)| (name.clone(), state.inodes[*n].borrow().data.clone())).collect()
    }

    /// Changes a byte of a file.
    pub fn corrupt(&self, name: &str, at: usize) {
        self.inode(name).expect("a file").borrow_mut().data[at] ^= 0x10;
    }

    /// Creates a disk with these files, all of them durable.
    pub fn with_files(files: &BTreeMap<String, Vec<u8>>, seed: u64) -> Rc<Self> {
        let sim = Self::new(seed, None);
        for (n, (name, data)) in files.iter().enumerate() {
            let mut state = sim.state.borrow_mut();
            state.inodes.push(Rc::new(RefCell::new(Inode { data: data.clone(), durable: data.clone() })));
            state.names.insert(name.clone(), n);
            state.durable_names.insert(name.clone(), n);
        }
        sim
    }

    /// Returns the disk that the next process finds after a kill.
    pub fn after_kill(&self, seed: u64) -> Rc<Self> {
        Self::with_files(&self.files(), seed)
    }

    /// Returns the disk that the next process finds after a loss of power. Each sector that was not synced is
    /// present or not, and each change of a name has happened or not, in a random choice.
    pub fn after_power_cut(&self, seed: u64) -> Rc<Self> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let state = self.state.borrow();
        let mut names = state.durable_names.clone();
        for (name, inode) in &state.pending_names {
            if random.random_bool(0.5) {
                match inode {
                    Some(n) => names.insert(name.clone(), *n),
                    None => names.remove(name),
                };
            }
        }
        let mut files = BTreeMap::new();
        for (name, n) in names {
            let inode = state.inodes[n].borrow();
            let mut data = inode.durable.clone();
            let max_len = if random.random_bool(0.5) {
                inode.data.len()
            } else {
                random.random_range(0..=inode.data.len())
            };
            data.resize(data.len().max(max_len), 0);
            for from in (0..data.len()).step_by(SECTOR_LEN) {
                let to = (from + SECTOR_LEN).min(data.len()).min(inode.data.len());
                if from < to && random.random_bool(0.6) {
                    data[from..to].copy_from_slice(&inode.data[from..to]);
                }
            }
            // Synced bytes are always present.
            data[..inode.durable.len()].copy_from_slice(&inode.durable);
            files.insert(name, data);
        }
        Self::with_files(&files, seed)
    }
}

/// Access of a process to the simulated disk.
pub struct ProcessDisk(pub Rc<SimDisk>);

struct LockGuard(Rc<Cell<bool>>);

impl Drop for LockGuard {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Disk for ProcessDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.operation()?;
        Ok(self.0.inode(name).map(|i| i.borrow().data.clone()))
    }

    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.operation()?;
        let inode = self.0.inode(name).ok_or(ErrorKind::NotFound)?;
        let data = &inode.borrow().data;
        let from = data.len().min(offset as usize);
        Ok(data[from..data.len().min(from.saturating_add(len))].to_vec())
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        self.0.operation()?;
        Ok(self.0.files().into_iter().map(|(name, data)| (name, data.len() as u64)).collect())
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        self.0.operation()?;
        if self.0.inode(name).is_none() {
            let n = self.0.state.borrow().inodes.len();
            self.0.state.borrow_mut().inodes.push(Rc::default());
            self.0.set_name(name, Some(n));
        }
        let inode = self.0.inode(name).expect("the file exists");
        Ok(Box::new(OpenFile { sim: self.0.clone(), inode }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.operation()?;
        let n = self.0.state.borrow().names.get(from).copied().ok_or(ErrorKind::NotFound)?;
        self.0.set_name(to, Some(n));
        self.0.set_name(from, None);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.operation()?;
        if self.0.inode(name).is_some() {
            self.0.set_name(name, None);
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.0.operation()?;
        let mut state = self.0.state.borrow_mut();
        state.durable_names = state.names.clone();
        state.pending_names.clear();
        Ok(())
    }

    fn lock(&self) -> io::Result<Box<dyn Any>> {
        self.0.operation()?;
        if self.0.locked.replace(true) {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(Box::new(LockGuard(self.0.locked.clone())))
    }
}

struct OpenFile {
    sim: Rc<SimDisk>,
    inode: Rc<RefCell<Inode>>,
}

impl File for OpenFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let was_crashed = self.sim.is_crashed();
        let result = self.sim.operation();
        if !was_crashed {
            let len = if result.is_ok() { bytes.len() } else { self.sim.partial_len(bytes.len()) };
            self.inode.borrow_mut().data.extend_from_slice(&bytes[..len]);
            self.sim.update_max_used();
        }
        result
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.sim.operation()?;
        self.inode.borrow_mut().data.truncate(len as usize);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let was_crashed = self.sim.is_crashed();
        let result = self.sim.operation();
        let mut inode = self.inode.borrow_mut();
        match result {
            Ok(()) => inode.durable = inode.data.clone(),
            // After a failed sync the data counts as clean although it is not durable, as in page caches.
            Err(_) if !was_crashed && !self.sim.is_crashed() => {}
            Err(_) => {}
        }
        result
    }
}

pub const TABLES: u8 = 3;
pub type Map = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

/// Returns options with small segments, so that a short script starts segments, compacts and writes
/// checkpoints often.
pub fn options(durability: Durability) -> Options {
    let segment_len = Some(2_500);
    Options {
        segment_len,
        durability,
        step_bytes: 700,
        checkpoint_interval: 6_000,
        ..Options::new(77, 64_000 + (16 << 10))
    }
}

/// The result of a script.
pub struct ScriptResult {
    /// The reference map before the first batch and after each batch that was accepted, or that a crash
    /// interrupted.
    pub maps: Vec<Map>,
    /// The index of the last map that must be recovered.
    pub durable_index: usize,
    /// The index of the last map whose batches were written, without deferred batches that were still
    /// buffered.
    pub written_index: usize,
    /// The map with a batch whose write failed and could not be cut off, if nothing was written after it: the
    /// batch may be recovered.
    pub possible_map: Option<Map>,
    /// The number of refused batches.
    pub refused: u32,
    /// A crash interrupted the last batch: it may be recovered or not.
    pub is_last_uncertain: bool,
}

fn random_key(random: &mut Pcg64Mcg) -> Vec<u8> {
    let mut key = random.random_range(0u64..14).to_be_bytes().to_vec();
    key.extend(vec![random.random_range(0..3u8); random.random_range(0..3)]);
    key
}

/// Applies a random record to a map and a batch.
fn random_change(map: &mut Map, batch: &mut Batch, random: &mut Pcg64Mcg) {
    let table = random.random_range(0..TABLES);
    let key = random_key(random);
    match random.random_range(0..10) {
        0..=4 => {
            let value = vec![random.random::<u8>(); random.random_range(0..260)];
            batch.put(Table(table), &key, &value);
            map.insert((table, key), value);
        }
        5 | 6 => {
            batch.delete(Table(table), &key);
            map.remove(&(table, key));
        }
        _ => {
            batch.delete_prefix(Table(table), &key[..8]);
            map.retain(|(t, k), _| *t != table || !k.starts_with(&key[..8]));
        }
    }
}

/// Reads the map of a store with [`Store::visit`] and checks it against [`Store::keys`] and [`Store::get`].
pub fn read_map(store: &Store) -> Result<Map, Error> {
    let mut found = Map::new();
    store.visit(|table, key, value| {
        found.insert((table.0, key.to_vec()), value.to_vec());
    })?;
    let mut keys = 0;
    for table in 0..TABLES {
        for key in store.keys(Table(table), &[]) {
            keys += 1;
            let value = store.get(Table(table), key)?;
            assert_eq!(
                value.as_ref(),
                found.get(&(table, key.to_vec())),
                "visit and get return the same value"
            );
        }
    }
    assert_eq!(keys, found.len(), "the index and the log have the same keys");
    Ok(found)
}

/// Runs a script of this number of batches on a new store. It ends early if the disk crashes.
pub fn run_script(sim: &Rc<SimDisk>, durability: Durability, seed: u64, batches: usize) -> ScriptResult {
    let mut result = ScriptResult {
        maps: vec![Map::new()],
        durable_index: 0,
        written_index: 0,
        possible_map: None,
        refused: 0,
        is_last_uncertain: false,
    };
    let Ok((mut store, _)) = Store::open(Rc::new(ProcessDisk(sim.clone())), options(durability)) else {
        return result;
    };
    continue_script(&mut store, sim, &mut result, seed, batches);
    result
}

/// Runs a script on an open store.
pub fn continue_script(
    store: &mut Store,
    sim: &Rc<SimDisk>,
    result: &mut ScriptResult,
    seed: u64,
    batches: usize,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut positions: Vec<(usize, LogPosition)> = Vec::new();
    for n in 0..batches {
        let (mut next, mut batch) = (result.maps.last().cloned().unwrap_or_default(), Batch::default());
        for _ in 0..random.random_range(1..4) {
            random_change(&mut next, &mut batch, &mut random);
        }
        let kind = match random.random_range(0..8) {
            0 => WriteKind::Deferred,
            1 | 2 => WriteKind::New,
            3 | 4 => WriteKind::End,
            _ => WriteKind::Update,
        };
        match store.apply(&batch, kind) {
            Ok(position) => {
                result.possible_map = None;
                result.maps.push(next);
                // A deferred batch becomes durable with the next write of another kind.
                if kind != WriteKind::Deferred {
                    result.written_index = result.maps.len() - 1;
                    positions.push((result.maps.len() - 1, position));
                }
            }
            Err(_) if sim.is_crashed() => {
                // The batch may be recovered or not.
                result.maps.push(next);
                result.is_last_uncertain = true;
                break;
            }
            Err(_) => {
                result.refused += 1;
                if store.stats().is_degraded && result.possible_map.is_none() {
                    result.possible_map = Some(next);
                }
            }
        }
        if n % 5 == 4
            && let Ok(sync) = store.begin_sync()
        {
            result.written_index = result.maps.len() - 1;
            if let Some(mut sync) = sync {
                let synced = ready_result(sync.future.take().expect("a sync"));
                let _ = store.finish_sync(&sync, synced);
            }
        }
        if sim.is_crashed() {
            break;
        }
        for (n, position) in &positions {
            if store.is_durable(position) {
                result.durable_index = result.durable_index.max(*n);
            }
        }
    }
}

/// Returns the result of a future that is ready.
fn ready_result(mut future: notchpoint_seam::disk::SyncFuture) -> io::Result<()> {
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    match future.as_mut().poll(&mut cx) {
        std::task::Poll::Ready(result) => result,
        std::task::Poll::Pending => panic!("the simulated disk syncs immediately"),
    }
}

/// Opens the store that a crash left behind and compares it with the script. Returns the index of the
/// recovered map, or what is wrong.
pub fn verify(sim: &Rc<SimDisk>, durability: Durability, result: &ScriptResult) -> Result<usize, String> {
    let (store, report) = match Store::open(Rc::new(ProcessDisk(sim.clone())), options(durability)) {
        Ok(opened) => opened,
        Err(e) => return Err(format!("refused: {e}")),
    };
    let found = read_map(&store).map_err(|e| format!("cannot be read: {e}"))?;
    let recovered = (result.durable_index..result.maps.len()).rev().find(|n| result.maps[*n] == found);
    if result.possible_map.as_ref() == Some(&found) {
        return Ok(result.maps.len());
    }
    let describe = || {
        let earlier = result.maps.iter().rposition(|m| *m == found);
        format!(
            "durable {}, submitted {}, found {earlier:?}; {report}",
            result.durable_index,
            result.maps.len() - 1
        )
    };
    recovered.ok_or_else(describe)
}
