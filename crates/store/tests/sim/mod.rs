//! A disk in memory that crashes, tears, loses and refuses as it is told, and a script that is played on it
//! beside a plain map.
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

/// What a loss of power may tear.
const SECTOR: usize = 512;

#[derive(Clone, Default)]
struct Inode {
    data: Vec<u8>,
    /// What is on the platter.
    safe: Vec<u8>,
}

/// What is done to one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends in it: a write may have been done in part. All later ones fail.
    Crash,
    /// It fails with this, a write having been done in part; later ones work.
    Once(ErrorKind),
    /// It and the next ones fail, so many in all.
    Span(ErrorKind, u64),
}

#[derive(Default)]
struct State {
    inodes: Vec<Rc<RefCell<Inode>>>,
    names: BTreeMap<String, usize>,
    /// Changes of names that are not on the platter: the name, and what it then stands for.
    loose: Vec<(String, Option<usize>)>,
    safe_names: BTreeMap<String, usize>,
}

/// The disk.
pub struct Sim {
    state: RefCell<State>,
    ops: Cell<u64>,
    fault: Cell<Option<(u64, Fault)>>,
    dead: Cell<bool>,
    locked: Rc<Cell<bool>>,
    /// What its files took at most, in whole blocks.
    pub most: Cell<u64>,
    random: RefCell<Pcg64Mcg>,
}

impl Sim {
    pub fn new(seed: u64, fault: Option<(u64, Fault)>) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            ops: Cell::new(0),
            fault: Cell::new(fault),
            dead: Cell::new(false),
            locked: Rc::default(),
            most: Cell::new(0),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    /// Operations so far.
    pub fn ops(&self) -> u64 {
        self.ops.get()
    }

    pub fn is_dead(&self) -> bool {
        self.dead.get()
    }

    /// From now on this operation, counted from here, fares so.
    pub fn inject(&self, after: u64, fault: Fault) {
        self.fault.set(Some((self.ops.get() + after, fault)));
    }

    /// One operation: an error where it is to fail.
    fn op(&self) -> io::Result<()> {
        if self.dead.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let n = self.ops.get() + 1;
        self.ops.set(n);
        match self.fault.get() {
            Some((at, Fault::Crash)) if n == at => {
                self.dead.set(true);
                Err(ErrorKind::BrokenPipe.into())
            }
            Some((at, Fault::Once(kind))) if n == at => Err(kind.into()),
            Some((at, Fault::Span(kind, many))) if (at..at + many).contains(&n) => Err(kind.into()),
            _ => Ok(()),
        }
    }

    fn part(&self, len: usize) -> usize {
        self.random.borrow_mut().random_range(0..=len)
    }

    fn inode(&self, name: &str) -> Option<Rc<RefCell<Inode>>> {
        let state = self.state.borrow();
        state.names.get(name).map(|n| state.inodes[*n].clone())
    }

    fn rename_to(&self, name: &str, inode: Option<usize>) {
        let mut state = self.state.borrow_mut();
        match inode {
            Some(n) => state.names.insert(name.to_owned(), n),
            None => state.names.remove(name),
        };
        state.loose.push((name.to_owned(), inode));
    }

    fn measure(&self) {
        let state = self.state.borrow();
        let takes = |n: &usize| (state.inodes[*n].borrow().data.len() as u64).div_ceil(512) * 512;
        self.most.set(self.most.get().max(state.names.values().map(takes).sum()));
    }

    /// The files as they stand.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state.borrow();
        state.names.iter().map(|(name, n)| (name.clone(), state.inodes[*n].borrow().data.clone())).collect()
    }

    /// Changes a byte of a file.
    pub fn spoil(&self, name: &str, at: usize) {
        self.inode(name).expect("a file").borrow_mut().data[at] ^= 0x10;
    }

    /// A disk with these files, all of them safe.
    pub fn with(files: &BTreeMap<String, Vec<u8>>, seed: u64) -> Rc<Self> {
        let sim = Self::new(seed, None);
        for (n, (name, data)) in files.iter().enumerate() {
            let mut state = sim.state.borrow_mut();
            state.inodes.push(Rc::new(RefCell::new(Inode { data: data.clone(), safe: data.clone() })));
            state.names.insert(name.clone(), n);
            state.safe_names.insert(name.clone(), n);
        }
        sim
    }

    /// The disk that the next process finds after a kill.
    pub fn after_kill(&self, seed: u64) -> Rc<Self> {
        Self::with(&self.files(), seed)
    }

    /// The disk that the next process finds after a loss of power: what was not synced is there sector by
    /// sector or not, and changes of names have happened or not, in any choice.
    pub fn after_power_cut(&self, seed: u64) -> Rc<Self> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let state = self.state.borrow();
        let mut names = state.safe_names.clone();
        for (name, inode) in &state.loose {
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
            let mut data = inode.safe.clone();
            let most = if random.random_bool(0.5) {
                inode.data.len()
            } else {
                random.random_range(0..=inode.data.len())
            };
            data.resize(data.len().max(most), 0);
            for from in (0..data.len()).step_by(SECTOR) {
                let to = (from + SECTOR).min(data.len()).min(inode.data.len());
                if from < to && random.random_bool(0.6) {
                    data[from..to].copy_from_slice(&inode.data[from..to]);
                }
            }
            // What was synced is there.
            data[..inode.safe.len()].copy_from_slice(&inode.safe);
            files.insert(name, data);
        }
        Self::with(&files, seed)
    }
}

/// A process's hands on it.
pub struct Hands(pub Rc<Sim>);

struct Locked(Rc<Cell<bool>>);

impl Drop for Locked {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Disk for Hands {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.op()?;
        Ok(self.0.inode(name).map(|i| i.borrow().data.clone()))
    }

    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.op()?;
        let inode = self.0.inode(name).ok_or(ErrorKind::NotFound)?;
        let data = &inode.borrow().data;
        let from = data.len().min(offset as usize);
        Ok(data[from..data.len().min(from.saturating_add(len))].to_vec())
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        self.0.op()?;
        Ok(self.0.files().into_iter().map(|(name, data)| (name, data.len() as u64)).collect())
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        self.0.op()?;
        if self.0.inode(name).is_none() {
            let n = self.0.state.borrow().inodes.len();
            self.0.state.borrow_mut().inodes.push(Rc::default());
            self.0.rename_to(name, Some(n));
        }
        let inode = self.0.inode(name).expect("it is there");
        Ok(Box::new(Open { sim: self.0.clone(), inode }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.op()?;
        let n = self.0.state.borrow().names.get(from).copied().ok_or(ErrorKind::NotFound)?;
        self.0.rename_to(to, Some(n));
        self.0.rename_to(from, None);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.op()?;
        if self.0.inode(name).is_some() {
            self.0.rename_to(name, None);
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.0.op()?;
        let mut state = self.0.state.borrow_mut();
        state.safe_names = state.names.clone();
        state.loose.clear();
        Ok(())
    }

    fn lock(&self) -> io::Result<Box<dyn Any>> {
        self.0.op()?;
        if self.0.locked.replace(true) {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(Box::new(Locked(self.0.locked.clone())))
    }
}

struct Open {
    sim: Rc<Sim>,
    inode: Rc<RefCell<Inode>>,
}

impl File for Open {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let dead = self.sim.is_dead();
        let done = self.sim.op();
        if !dead {
            let some = if done.is_ok() { bytes.len() } else { self.sim.part(bytes.len()) };
            self.inode.borrow_mut().data.extend_from_slice(&bytes[..some]);
            self.sim.measure();
        }
        done
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.sim.op()?;
        self.inode.borrow_mut().data.truncate(len as usize);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let dead = self.sim.is_dead();
        let done = self.sim.op();
        let mut inode = self.inode.borrow_mut();
        match done {
            Ok(()) => inode.safe = inode.data.clone(),
            // What failed to be written is taken to be clean from now on, as page caches do.
            Err(_) if !dead && !self.sim.is_dead() => {}
            Err(_) => {}
        }
        done
    }
}

pub const TABLES: u8 = 3;
pub type Map = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

/// The options of a script: small segments, so that a short run rolls, compacts and checkpoints often.
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

/// What came of a script.
pub struct Played {
    /// The map before the first batch, and behind each one that was handed in, whether it was taken or not.
    pub maps: Vec<Map>,
    /// So many of them are promised.
    pub promised: usize,
    /// So many of them were written: all but those that may be lost and were kept back.
    pub written: usize,
    /// A batch was refused since its write failed, what was written of it could not be cut off, and nothing
    /// has been written since: it may be there whole.
    pub maybe: Option<Map>,
    /// Batches that were refused.
    pub refused: u32,
    /// The last one handed in ended with an error of the disk: it is there or not.
    pub open_end: bool,
}

fn key(random: &mut Pcg64Mcg) -> Vec<u8> {
    let mut key = random.random_range(0u64..14).to_be_bytes().to_vec();
    key.extend(vec![random.random_range(0..3u8); random.random_range(0..3)]);
    key
}

fn change(map: &mut Map, batch: &mut Batch, random: &mut Pcg64Mcg) {
    let table = random.random_range(0..TABLES);
    let key = key(random);
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

/// The map of a store, read record by record.
pub fn map(store: &Store) -> Result<Map, Error> {
    let mut found = Map::new();
    store.visit(|table, key, value| {
        found.insert((table.0, key.to_vec()), value.to_vec());
    })?;
    let mut keys = 0;
    for table in 0..TABLES {
        for key in store.keys(Table(table), &[]) {
            keys += 1;
            let value = store.get(Table(table), key)?;
            assert_eq!(value.as_ref(), found.get(&(table, key.to_vec())), "what is told and what is got");
        }
    }
    assert_eq!(keys, found.len(), "the index and the log agree on what there is");
    Ok(found)
}

/// Plays so many batches, beside a map. It ends early where the disk crashes.
pub fn play(sim: &Rc<Sim>, durability: Durability, seed: u64, batches: usize) -> Played {
    let mut played =
        Played { maps: vec![Map::new()], promised: 0, written: 0, maybe: None, refused: 0, open_end: false };
    let Ok((mut store, _)) = Store::open(Rc::new(Hands(sim.clone())), options(durability)) else {
        return played;
    };
    go_on(&mut store, sim, &mut played, seed, batches);
    played
}

/// Goes on with a script on an open store.
pub fn go_on(store: &mut Store, sim: &Rc<Sim>, played: &mut Played, seed: u64, batches: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut marks: Vec<(usize, LogPosition)> = Vec::new();
    for n in 0..batches {
        let (mut next, mut batch) = (played.maps.last().cloned().unwrap_or_default(), Batch::default());
        for _ in 0..random.random_range(1..4) {
            change(&mut next, &mut batch, &mut random);
        }
        let work = match random.random_range(0..8) {
            0 => WriteKind::Deferred,
            1 | 2 => WriteKind::New,
            3 | 4 => WriteKind::End,
            _ => WriteKind::Update,
        };
        match store.apply(&batch, work) {
            Ok(mark) => {
                played.maybe = None;
                played.maps.push(next);
                // What may be lost is promised with the next write of another kind.
                if work != WriteKind::Deferred {
                    played.written = played.maps.len() - 1;
                    marks.push((played.maps.len() - 1, mark));
                }
            }
            Err(_) if sim.is_dead() => {
                // It is there or not.
                played.maps.push(next);
                played.open_end = true;
                break;
            }
            Err(_) => {
                played.refused += 1;
                if store.stats().is_degraded && played.maybe.is_none() {
                    played.maybe = Some(next);
                }
            }
        }
        if n % 5 == 4
            && let Ok(sync) = store.begin_sync()
        {
            played.written = played.maps.len() - 1;
            if let Some(mut sync) = sync {
                let done = futures_ready(sync.future.take().expect("a sync"));
                let _ = store.finish_sync(&sync, done);
            }
        }
        if sim.is_dead() {
            break;
        }
        for (n, mark) in &marks {
            if store.is_durable(mark) {
                played.promised = played.promised.max(*n);
            }
        }
    }
}

/// What a future that is ready gives.
fn futures_ready(mut done: notchpoint_seam::disk::SyncFuture) -> io::Result<()> {
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    match done.as_mut().poll(&mut cx) {
        std::task::Poll::Ready(done) => done,
        std::task::Poll::Pending => panic!("the simulated disk syncs at once"),
    }
}

/// Opens what a crash left and holds it against the script. Says what is wrong, and gives the state that it
/// is.
pub fn verify(sim: &Rc<Sim>, durability: Durability, played: &Played) -> Result<usize, String> {
    let (store, notes) = match Store::open(Rc::new(Hands(sim.clone())), options(durability)) {
        Ok(opened) => opened,
        Err(e) => return Err(format!("refused: {e}")),
    };
    let found = map(&store).map_err(|e| format!("cannot be read: {e}"))?;
    let fits = (played.promised..played.maps.len()).rev().find(|n| played.maps[*n] == found);
    if played.maybe.as_ref() == Some(&found) {
        return Ok(played.maps.len());
    }
    let missing = || {
        let earlier = played.maps.iter().rposition(|m| *m == found);
        format!(
            "promised {}, handed in {}, found {earlier:?}; {notes}",
            played.promised,
            played.maps.len() - 1
        )
    };
    fits.ok_or_else(missing)
}
