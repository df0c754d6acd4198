//! A state folder in memory. It outlives the processes that write to it, can be full, and can tear a write.

use notchpoint_seam::{Disk, File};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// Files are counted in whole blocks of this size.
const BLOCK_BYTES: u64 = 512;

/// The files of a folder and its faults.
pub struct Store {
    files: RefCell<BTreeMap<String, Rc<RefCell<Vec<u8>>>>>,
    /// Size limit in bytes. Exceeding it violates a rule.
    pub limit: u64,
    /// Whether the folder is full. A write is then torn: only its first half is stored.
    pub is_full: Cell<bool>,
    /// Whether the folder has ever exceeded its limit.
    pub limit_exceeded: Cell<bool>,
    /// Total number of bytes written.
    pub written: Cell<u64>,
}

impl Store {
    /// Creates an empty folder.
    pub fn new(limit: u64) -> Rc<Self> {
        let (files, is_full, limit_exceeded, written) = Default::default();
        Rc::new(Self { files, limit, is_full, limit_exceeded, written })
    }

    /// Returns the size of all files, counted in whole blocks.
    pub fn used(&self) -> u64 {
        self.files
            .borrow()
            .values()
            .map(|f| (f.borrow().len() as u64).div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
            .sum()
    }

    /// Returns a handle for one process. All its operations fail once `dead` is set.
    pub fn handle(self: &Rc<Self>, dead: Rc<Cell<bool>>) -> Rc<dyn Disk> {
        Rc::new(Handle { store: self.clone(), dead })
    }
}

struct Handle {
    store: Rc<Store>,
    dead: Rc<Cell<bool>>,
}

impl Handle {
    fn check_alive(&self) -> io::Result<()> {
        if self.dead.get() { Err(ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }
}

impl Disk for Handle {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.check_alive()?;
        Ok(self.store.files.borrow().get(name).map(|f| f.borrow().clone()))
    }

    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.check_alive()?;
        let files = self.store.files.borrow();
        let file = files.get(name).ok_or(ErrorKind::NotFound)?.borrow();
        let from = file.len().min(usize::try_from(offset).unwrap_or(usize::MAX));
        Ok(file[from..].iter().take(len).copied().collect())
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        self.check_alive()?;
        let files = self.store.files.borrow();
        Ok(files.iter().map(|(name, f)| (name.clone(), f.borrow().len() as u64)).collect())
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        self.check_alive()?;
        let bytes = self.store.files.borrow_mut().entry(name.to_owned()).or_default().clone();
        Ok(Box::new(OpenFile { bytes, store: self.store.clone(), dead: self.dead.clone() }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.check_alive()?;
        let mut files = self.store.files.borrow_mut();
        let file = files.remove(from).ok_or(ErrorKind::NotFound)?;
        files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.check_alive()?;
        self.store.files.borrow_mut().remove(name);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.check_alive()
    }

    fn lock(&self) -> io::Result<Box<dyn Any>> {
        self.check_alive()?;
        Ok(Box::new(()))
    }
}

struct OpenFile {
    bytes: Rc<RefCell<Vec<u8>>>,
    store: Rc<Store>,
    dead: Rc<Cell<bool>>,
}

impl File for OpenFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.dead.get() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if self.store.is_full.get() {
            // The folder becomes full in the middle of the write.
            self.bytes.borrow_mut().extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(ErrorKind::StorageFull.into());
        }
        self.bytes.borrow_mut().extend_from_slice(bytes);
        self.store.written.set(self.store.written.get() + bytes.len() as u64);
        if self.store.used() > self.store.limit {
            self.store.limit_exceeded.set(true);
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
