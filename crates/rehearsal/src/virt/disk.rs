//! A lasting folder in memory: it outlasts the processes that write to it, may be full, and may tear a write.

use notchpoint_seam::{Disk, File};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// Each file counts in whole blocks.
const BLOCK: u64 = 512;

/// What lies in it, and what is wrong with it.
pub struct Store {
    files: RefCell<BTreeMap<String, Rc<RefCell<Vec<u8>>>>>,
    /// Bytes that the platform allows; more is a crash.
    pub limit: u64,
    /// No byte more fits than lies there now: a write is torn where the room ends.
    pub full: Cell<bool>,
    /// It held more than it may at some time.
    pub over: Cell<bool>,
    /// Bytes written in all.
    pub written: Cell<u64>,
}

impl Store {
    /// An empty one.
    pub fn new(limit: u64) -> Rc<Self> {
        let (files, full, over, written) = Default::default();
        Rc::new(Self { files, limit, full, over, written })
    }

    /// Bytes that lie in it, in whole blocks.
    pub fn used(&self) -> u64 {
        self.files.borrow().values().map(|f| (f.borrow().len() as u64).div_ceil(BLOCK) * BLOCK).sum()
    }

    /// For one process; it does nothing more once that is dead.
    pub fn handle(self: &Rc<Self>, dead: Rc<Cell<bool>>) -> Rc<dyn Disk> {
        Rc::new(Handle { store: self.clone(), dead })
    }
}

struct Handle {
    store: Rc<Store>,
    dead: Rc<Cell<bool>>,
}

impl Handle {
    fn alive(&self) -> io::Result<()> {
        if self.dead.get() { Err(ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }
}

impl Disk for Handle {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.alive()?;
        Ok(self.store.files.borrow().get(name).map(|f| f.borrow().clone()))
    }

    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.alive()?;
        let files = self.store.files.borrow();
        let file = files.get(name).ok_or(ErrorKind::NotFound)?.borrow();
        let from = file.len().min(usize::try_from(offset).unwrap_or(usize::MAX));
        Ok(file[from..].iter().take(len).copied().collect())
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        self.alive()?;
        let files = self.store.files.borrow();
        Ok(files.iter().map(|(name, f)| (name.clone(), f.borrow().len() as u64)).collect())
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        self.alive()?;
        let bytes = self.store.files.borrow_mut().entry(name.to_owned()).or_default().clone();
        Ok(Box::new(Open { bytes, store: self.store.clone(), dead: self.dead.clone() }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.alive()?;
        let mut files = self.store.files.borrow_mut();
        let file = files.remove(from).ok_or(ErrorKind::NotFound)?;
        files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.alive()?;
        self.store.files.borrow_mut().remove(name);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.alive()
    }

    fn lock(&self) -> io::Result<Box<dyn Any>> {
        self.alive()?;
        Ok(Box::new(()))
    }
}

struct Open {
    bytes: Rc<RefCell<Vec<u8>>>,
    store: Rc<Store>,
    dead: Rc<Cell<bool>>,
}

impl File for Open {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.dead.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if self.store.full.get() {
            // The room ends in the middle of what is written.
            self.bytes.borrow_mut().extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(ErrorKind::StorageFull.into());
        }
        self.bytes.borrow_mut().extend_from_slice(bytes);
        self.store.written.set(self.store.written.get() + bytes.len() as u64);
        if self.store.used() > self.store.limit {
            self.store.over.set(true);
        }
        Ok(())
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        if self.dead.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        self.bytes.borrow_mut().truncate(usize::try_from(len).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        if self.dead.get() { Err(ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }
}
