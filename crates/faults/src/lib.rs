//! Fault injection for processes under test.
//!
//! [`FaultController`] is the controlling side: a file of 64-bit words that a test or the soak program
//! writes and that the shim (`crates/faults-shim`, loaded with `LD_PRELOAD`) maps into the process under
//! test. A change takes effect with the next system call of the process. The shim counts the faults that it
//! injects, so that a test can verify that its fault has happened.
#![warn(missing_docs)]

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Names the control file to the shim.
pub const CONTROL_VARIABLE: &str = "NOTCHPOINT_FAULTS";
/// File name of the shim, as cargo builds it.
pub const SHIM_FILE_NAME: &str = "libnotchpoint_faults_shim.so";
/// Words in the control file: one setting for each [`Fault`], and behind them one counter for each.
pub const CONTROL_WORDS: usize = 32;
/// Where the counters begin.
pub const FIRST_COUNTER: usize = 16;
/// Probabilities are given in thousandths.
pub const ALWAYS: u32 = 1_000;

const WORD_BYTES: usize = 8;

/// What can be made to fail, by its place in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// Microseconds that are added to the wall clock, as a signed number.
    WallClockOffset = 0,
    /// `connect` to an IPv4 address.
    Connect = 1,
    /// `write` to a regular file.
    FileWrite = 2,
    /// Thousandths of the failing writes that leave half of their bytes behind.
    PartialWrite = 3,
    /// `fsync` and `fdatasync`.
    Sync = 4,
    /// `rename`, `unlink`, `ftruncate` and opening for writing.
    FileOperation = 5,
    /// `accept4`.
    Accept = 6,
    /// `setsockopt` of `TCP_NODELAY`.
    NoDelay = 7,
    /// `recv` and `send` on a socket.
    SocketIo = 8,
    /// Thousandths of the `recv` and `send` calls that handle one byte only.
    ShortIo = 9,
    /// `pthread_create`.
    ThreadCreate = 10,
    /// Opening a file for reading, and `read` from a regular file.
    FileRead = 11,
    /// `socket`.
    Socket = 12,
    /// `epoll_ctl` that adds a descriptor.
    EpollAdd = 13,
    /// Microseconds that each `write` to a regular file takes longer, once its bytes are written.
    SlowWrite = 14,
}

impl Fault {
    /// Offset of its counter in the control file, in words.
    pub const fn counter(self) -> usize {
        FIRST_COUNTER + self as usize
    }
}

/// Packs an error number and how often it is given.
pub const fn pack_setting(errno: i32, per_mille: u32) -> u64 {
    ((errno as u64) << 32) | per_mille as u64
}

/// Splits a packed setting into the error number and the probability in thousandths.
pub const fn unpack_setting(word: u64) -> (i32, u32) {
    ((word >> 32) as i32, word as u32)
}

/// The control file of one process under test. All faults are off at first.
#[derive(Debug)]
pub struct FaultController {
    file: File,
}

impl FaultController {
    /// Makes a control file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; CONTROL_WORDS * WORD_BYTES], 0)?;
        Ok(Self { file })
    }

    /// Makes a call fail with this error number, so many times in a thousand; 0 to let it succeed again.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn fail(&self, what: Fault, errno: i32, per_mille: u32) -> io::Result<()> {
        self.write(what as usize, pack_setting(errno, per_mille))
    }

    /// Sets how far the wall clock is off, in microseconds.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn set_wall_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.write(Fault::WallClockOffset as usize, micros as u64)
    }

    /// Has each write to a regular file take so much longer; nothing to have it as quick as it is.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn delay_writes(&self, by: Duration) -> io::Result<()> {
        self.write(Fault::SlowWrite as usize, by.as_micros() as u64)
    }

    /// Lets everything succeed again; the wall clock stays where it is.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn clear(&self) -> io::Result<()> {
        (Fault::Connect as usize..FIRST_COUNTER).try_for_each(|word| self.write(word, 0))
    }

    /// How often a fault was injected since the control file was made.
    ///
    /// # Errors
    /// The control file cannot be read.
    pub fn injected_count(&self, what: Fault) -> io::Result<u64> {
        let mut bytes = [0; WORD_BYTES];
        self.file.read_exact_at(&mut bytes, (what.counter() * WORD_BYTES) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    fn write(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (word * WORD_BYTES) as u64)
    }
}

/// Has a command run under the shim, with this control file.
///
/// # Errors
/// The shim has not been built beside this program.
pub fn preload(control: &Path, command: &mut Command) -> io::Result<()> {
    command.env("LD_PRELOAD", shim()?).env(CONTROL_VARIABLE, control);
    Ok(())
}

/// Finds the shim beside the running program, where cargo puts both.
fn shim() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(2);
    let places =
        folders.flat_map(|folder| [folder.join(SHIM_FILE_NAME), folder.join("deps").join(SHIM_FILE_NAME)]);
    let missing = || io::Error::new(io::ErrorKind::NotFound, format!("{SHIM_FILE_NAME} has not been built"));
    places.into_iter().find(|place| place.exists()).ok_or_else(missing)
}
