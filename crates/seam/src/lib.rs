//! What a sender needs of the world around it, as narrow as it can be: sockets, the wall clock, the folder
//! that outlasts it, its configuration and its signals. [`system`] is the system's own, by tokio; a rehearsal
//! brings another. The daemon is the same code in both.
//!
//! The monotonic clock and timers are tokio's in every world: a rehearsal runs on a runtime whose time is
//! paused. Random numbers come from the seed in the configuration.
#![warn(missing_docs)]

pub mod disk;
pub mod net;
mod signals;
pub mod system;

pub use disk::{Disk, File, SyncFuture};
pub use net::{DatagramSocket, Listener, Network, Stream};

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::Receiver;

/// The system's clocks, beside tokio's timers.
pub trait Clock {
    /// Unix time in microseconds, by the wall clock. It may be stepped at any moment.
    fn unix_now(&self) -> u64;
    /// Microseconds since the system was booted. All processes of one boot read the same clock, and nothing
    /// steps it.
    fn monotonic_now(&self) -> u64;
    /// Which boot that is; nothing where the system does not tell.
    ///
    /// # Errors
    /// The system tells, and cannot be asked just now.
    fn boot_id(&self) -> io::Result<Option<BootId>>;
}

/// Names one boot of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BootId(pub [u8; 16]);

/// What a process may be told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration anew (SIGHUP).
    Reload,
    /// End in an orderly way (SIGTERM, or an interrupt).
    Terminate,
    /// Write what the flight recorder holds to a file (SIGUSR1).
    Dump,
}

/// The configuration's text, read anew each time.
pub type ConfigSource = Box<dyn Fn() -> io::Result<String>>;

/// All that surrounds one sender.
pub struct Environment {
    /// Where connections come from and go to.
    pub net: Rc<dyn Network>,
    /// The wall clock.
    pub clock: Rc<dyn Clock>,
    /// The folder that outlasts the process.
    pub disk: Rc<dyn Disk>,
    /// What it is told from outside.
    pub signals: Receiver<Signal>,
    /// Its configuration.
    pub config: ConfigSource,
    /// Where operators call, if it was told beside the configuration.
    pub admin_addr: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it: processes then take turns at it, and may
    /// hand over to one another.
    pub client_listener: Option<Rc<dyn Listener>>,
}
