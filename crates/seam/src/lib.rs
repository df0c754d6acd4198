//! The interface between a sender and its environment, kept as narrow as possible: sockets, clocks, the state
//! folder, the configuration and signals. [`system`] implements it on the operating system with tokio;
//! rehearsals implement it in memory. The daemon runs the same code on both.
//!
//! Timers are tokio's in every environment: a rehearsal runs on a runtime whose time is paused. Random
//! numbers come from the seed in the configuration.
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

/// The clocks of the system, besides tokio's timers.
pub trait Clock {
    /// Returns the Unix time in microseconds, by the wall clock, which may be stepped at any time.
    fn unix_now(&self) -> u64;
    /// Returns the time since the system was booted, in microseconds. All processes of one boot read the same
    /// clock, and it is never stepped.
    fn monotonic_now(&self) -> u64;
    /// Returns the identifier of the current boot, or `None` if the system does not provide one.
    ///
    /// # Errors
    /// The system provides one, but it cannot be read at present.
    fn boot_id(&self) -> io::Result<Option<BootId>>;
}

/// Identifies one boot of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BootId(pub [u8; 16]);

/// A signal to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Shut down in an orderly way (SIGTERM, or an interrupt).
    Terminate,
    /// Write the content of the flight recorder to a file (SIGUSR1).
    Dump,
}

/// Reads the text of the configuration, again at each call.
pub type ConfigSource = Box<dyn Fn() -> io::Result<String>>;

/// The environment of one sender.
pub struct Environment {
    /// The network.
    pub net: Rc<dyn Network>,
    /// The clocks.
    pub clock: Rc<dyn Clock>,
    /// The state folder.
    pub disk: Rc<dyn Disk>,
    /// Signals to the process.
    pub signals: Receiver<Signal>,
    /// The configuration.
    pub config: ConfigSource,
    /// The address for operators, if it is given outside the configuration.
    pub admin_addr: Option<SocketAddr>,
    /// The listening socket for clients, if the platform holds it open. Successive processes then use the
    /// same socket, and one may hand over to the next.
    pub client_listener: Option<Rc<dyn Listener>>,
}
