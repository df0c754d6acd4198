//! The state folder, which survives the process: a flat folder with few files, which are only appended to.

use std::any::Any;
use std::future::{Future, ready};
use std::io;
use std::pin::Pin;

/// A sync in progress, on another thread if the environment has one.
pub type SyncFuture = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// The state folder.
pub trait Disk {
    /// Reads a whole file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// The file exists and cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Reads up to `len` bytes of a file from this offset on; fewer if the file ends before.
    ///
    /// # Errors
    /// The file does not exist or cannot be read.
    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>>;

    /// Returns the names and lengths of all files, in no particular order.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list_files(&self) -> io::Result<Vec<(String, u64)>>;

    /// Opens a file for appending, and creates it if it does not exist.
    ///
    /// # Errors
    /// The file cannot be created or opened.
    fn append(&self, name: &str) -> io::Result<Box<dyn File>>;

    /// Renames a file atomically and replaces the target if it exists. Open files are not affected.
    ///
    /// # Errors
    /// The file does not exist or cannot be renamed. Nothing has changed then.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. It is no error if the file does not exist.
    ///
    /// # Errors
    /// The file exists and cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the directory: files created, renamed and removed so far survive a loss of power.
    ///
    /// # Errors
    /// After an error any of these changes may be lost.
    fn sync_directory(&self) -> io::Result<()>;

    /// Locks the folder against other processes until the returned value is dropped.
    ///
    /// # Errors
    /// `WouldBlock` if another process holds the lock.
    fn lock(&self) -> io::Result<Box<dyn Any>>;
}

/// An open file.
pub trait File {
    /// Appends all these bytes. They survive the process.
    ///
    /// # Errors
    /// After an error a part of the bytes may have been written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to this length.
    ///
    /// # Errors
    /// After an error the length of the file is unknown.
    fn set_len(&mut self, len: u64) -> io::Result<()>;

    /// Syncs the file: what was written so far survives a loss of power.
    ///
    /// # Errors
    /// After an error, what was written so far may be lost, even if a later sync of the same file succeeds:
    /// the system may have dropped the data that it failed to write.
    fn sync(&self) -> io::Result<()>;

    /// Does the same as [`Self::sync`], without blocking the caller.
    fn sync_in_background(&self) -> SyncFuture {
        Box::pin(ready(self.sync()))
    }
}
