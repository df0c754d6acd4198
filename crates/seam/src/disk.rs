//! The folder that outlasts the process: flat, with few files, each written at its end only.

use std::io;

/// The lasting folder.
pub trait Disk {
    /// All of a file; nothing where there is none.
    ///
    /// # Errors
    /// It is there and cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

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
}
