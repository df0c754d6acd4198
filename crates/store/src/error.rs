//! The errors of the store.

use std::fmt;
use std::io;

/// Why a folder cannot be opened: a position in a file, what was expected there, and what was found. Nothing
/// was changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The file name.
    pub file: String,
    /// The byte offset in the file.
    pub offset: u64,
    /// What was expected at the offset.
    pub expected: String,
    /// What was found at the offset.
    pub found: String,
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, offset, expected, found } = self;
        write!(f, "{file}, byte {offset}: expected {expected}, found {found}")
    }
}

/// Why a call to the store failed.
#[derive(Debug)]
pub enum Error {
    /// The folder is damaged, and nothing was changed in it.
    Corrupt(Corruption),
    /// The folder's size limit leaves no space for the write. Space is freed by ends and by compaction.
    Full,
    /// The disk could not be read or written. The store continues once it can be.
    Io(io::Error),
    /// A key, a value or a batch is longer than the format allows.
    TooLong,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt(corruption) => corruption.fmt(f),
            Self::Full => f.write_str("the folder's size limit leaves no space"),
            Self::Io(e) => e.fmt(f),
            Self::TooLong => f.write_str("a key, a value or a batch is longer than the format allows"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<Corruption> for Error {
    fn from(corruption: Corruption) -> Self {
        Self::Corrupt(corruption)
    }
}

impl From<Error> for io::Error {
    fn from(e: Error) -> Self {
        match e {
            Error::Io(e) => e,
            Error::Full => Self::from(io::ErrorKind::StorageFull),
            Error::Corrupt(corruption) => Self::new(io::ErrorKind::InvalidData, corruption.to_string()),
            Error::TooLong => Self::from(io::ErrorKind::InvalidInput),
        }
    }
}
