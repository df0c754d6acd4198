//! What can go wrong, and where.

use std::fmt;
use std::io;

/// Why a folder is not opened: the place, what should stand there, and what does. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The file.
    pub file: String,
    /// The byte in it.
    pub offset: u64,
    /// What should stand there.
    pub expected: String,
    /// What does.
    pub found: String,
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, offset, expected, found } = self;
        write!(f, "{file}, byte {offset}: expected {expected}, found {found}")
    }
}

/// What a call to the store met.
#[derive(Debug)]
pub enum Error {
    /// The folder cannot be trusted, and nothing was changed in it.
    Corrupt(Corruption),
    /// The folder's limit leaves no room for this. Room comes back by ends and compaction.
    Full,
    /// The disk could not be read or written. The store goes on once it can.
    Io(io::Error),
    /// A key, a value or a batch is longer than the format holds.
    TooLong,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt(why) => why.fmt(f),
            Self::Full => f.write_str("the folder's limit leaves no room"),
            Self::Io(e) => e.fmt(f),
            Self::TooLong => f.write_str("longer than the format holds"),
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
    fn from(why: Corruption) -> Self {
        Self::Corrupt(why)
    }
}

impl From<Error> for io::Error {
    fn from(e: Error) -> Self {
        match e {
            Error::Io(e) => e,
            Error::Full => Self::from(io::ErrorKind::StorageFull),
            Error::Corrupt(why) => Self::new(io::ErrorKind::InvalidData, why.to_string()),
            Error::TooLong => Self::from(io::ErrorKind::InvalidInput),
        }
    }
}
