//! The folder that outlasts the process: flat, with few files, each written at its end only.

use std::any::Any;
use std::future::{Future, ready};
use std::io;
use std::pin::Pin;

/// A sync that is under way, off the thread that decides where the world has another.
pub type SyncFuture = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// The lasting folder.
pub trait Disk {
    /// All of a file; nothing where there is none.
    ///
    /// # Errors
    /// It is there and cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// So many bytes of a file from this offset on; fewer where it ends.
    ///
    /// # Errors
    /// It is not there, or cannot be read.
    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>>;

    /// The names of all files, in no order, and how long each is.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list_files(&self) -> io::Result<Vec<(String, u64)>>;

    /// A file to be written at its end, made if there is none.
    ///
    /// # Errors
    /// It cannot be made or opened.
    fn append(&self, name: &str) -> io::Result<Box<dyn File>>;

    /// Puts a file in the place of another, whole or not at all. Open files keep what they are.
    ///
    /// # Errors
    /// It is not there, or cannot be moved; then nothing has changed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; one that is not there is no error.
    ///
    /// # Errors
    /// It is there and cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes what was made, renamed and removed outlast a loss of power.
    ///
    /// # Errors
    /// Nothing is promised.
    fn sync_directory(&self) -> io::Result<()>;

    /// Keeps other processes out for as long as what it gives lives.
    ///
    /// # Errors
    /// `WouldBlock` where another process has it.
    fn lock(&self) -> io::Result<Box<dyn Any>>;
}

/// An open file.
pub trait File {
    /// Writes all of this at the end. What is written outlasts the process.
    ///
    /// # Errors
    /// A part of it may have been written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file to this length.
    ///
    /// # Errors
    /// The length is in doubt.
    fn set_len(&mut self, len: u64) -> io::Result<()>;

    /// Makes what was written so far outlast a loss of power.
    ///
    /// # Errors
    /// Nothing is promised, now and of a later sync of the same file: what failed may have been dropped.
    fn sync(&self) -> io::Result<()>;

    /// The same, beside other work.
    fn sync_in_background(&self) -> SyncFuture {
        Box::pin(ready(self.sync()))
    }
}
