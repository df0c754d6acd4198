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

/// Environment variable with the path of the control file, which the shim reads.
pub const CONTROL_VARIABLE: &str = "NOTCHPOINT_FAULTS";
/// File name of the shim as cargo builds it.
pub const SHIM_FILE_NAME: &str = "libnotchpoint_faults_shim.so";
/// Number of words in the control file: a setting for each [`Fault`], followed by a counter for each.
pub const CONTROL_WORDS: usize = 32;
/// Offset of the first counter in the control file, in words.
pub const FIRST_COUNTER: usize = 16;
/// Probability with which every call fails. Probabilities are in thousandths.
pub const ALWAYS: u32 = 1_000;

/// Size of a word of the control file.
const WORD_BYTES: usize = 8;

/// A kind of fault, with its offset in the control file in words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// Offset of the wall clock in microseconds, as a signed number.
    WallClockOffset = 0,
    /// `connect` to an IPv4 address.
    Connect = 1,
    /// `write` to a regular file.
    FileWrite = 2,
    /// Thousandths of the failing writes that still write half of their bytes.
    PartialWrite = 3,
    /// `fsync` and `fdatasync`.
    Sync = 4,
    /// `rename`, `unlink`, `ftruncate`, and `open` for writing.
    FileOperation = 5,
    /// `accept4`.
    Accept = 6,
    /// `setsockopt` with `TCP_NODELAY`.
    NoDelay = 7,
    /// `recv` and `send` on a socket.
    SocketIo = 8,
    /// Thousandths of the `recv` and `send` calls that transfer only one byte.
    ShortIo = 9,
    /// `pthread_create`.
    ThreadCreate = 10,
    /// `open` for reading, and `read` from a regular file.
    FileRead = 11,
    /// `socket`.
    Socket = 12,
    /// `epoll_ctl` that adds a descriptor.
    EpollAdd = 13,
    /// Microseconds by which each `write` to a regular file is delayed after its bytes are written.
    SlowWrite = 14,
}

impl Fault {
    /// Returns the offset of its counter in the control file, in words.
    pub const fn counter(self) -> usize {
        FIRST_COUNTER + self as usize
    }
}

/// Packs an error number and its probability in thousandths into a setting.
pub const fn pack_setting(errno: i32, per_mille: u32) -> u64 {
    ((errno as u64) << 32) | per_mille as u64
}

/// Splits a packed setting into the error number and the probability in thousandths.
pub const fn unpack_setting(setting: u64) -> (i32, u32) {
    ((setting >> 32) as i32, setting as u32)
}

/// The control file of one process under test. All faults are off at the start.
#[derive(Debug)]
pub struct FaultController {
    file: File,
}

impl FaultController {
    /// Creates a control file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; CONTROL_WORDS * WORD_BYTES], 0)?;
        Ok(Self { file })
    }

    /// Makes calls fail with this error number and this probability in thousandths. With 0 they succeed
    /// again.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn fail(&self, fault: Fault, errno: i32, per_mille: u32) -> io::Result<()> {
        self.write(fault as usize, pack_setting(errno, per_mille))
    }

    /// Sets the offset of the wall clock in microseconds.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn set_wall_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.write(Fault::WallClockOffset as usize, micros as u64)
    }

    /// Delays each write to a regular file by this time. Zero ends the delay.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn delay_writes(&self, delay: Duration) -> io::Result<()> {
        self.write(Fault::SlowWrite as usize, delay.as_micros() as u64)
    }

    /// Turns all faults off, except for the offset of the wall clock.
    ///
    /// # Errors
    /// The control file cannot be written.
    pub fn clear(&self) -> io::Result<()> {
        (Fault::Connect as usize..FIRST_COUNTER).try_for_each(|word| self.write(word, 0))
    }

    /// Returns how many times a fault has been injected since the control file was created.
    ///
    /// # Errors
    /// The control file cannot be read.
    pub fn injected_count(&self, fault: Fault) -> io::Result<u64> {
        let mut bytes = [0; WORD_BYTES];
        self.file.read_exact_at(&mut bytes, (fault.counter() * WORD_BYTES) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    fn write(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (word * WORD_BYTES) as u64)
    }
}

/// Configures a command to run with the shim and this control file.
///
/// # Errors
/// The shim is not in the folder of this program.
pub fn preload(control: &Path, command: &mut Command) -> io::Result<()> {
    command.env("LD_PRELOAD", shim()?).env(CONTROL_VARIABLE, control);
    Ok(())
}

/// Returns the path of the shim. It is searched in the folder of the running program and in the one above it,
/// and in their subfolders `deps`, which is where cargo writes it.
fn shim() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(2);
    let candidates =
        folders.flat_map(|folder| [folder.join(SHIM_FILE_NAME), folder.join("deps").join(SHIM_FILE_NAME)]);
    let missing = || {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("{SHIM_FILE_NAME} was not found beside the program: it has not been built"),
        )
    };
    candidates.into_iter().find(|candidate| candidate.exists()).ok_or_else(missing)
}
