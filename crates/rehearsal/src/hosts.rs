//! The abstraction of where processes run: in memory or on this machine.

use notchpoint_seam::{Environment, Network, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// A party of a run that has a network address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A sender, by index.
    Sender(usize),
    /// An endpoint, numbered over the whole run.
    Endpoint(usize),
    /// One of the platform's addresses, numbered over the whole run.
    Platform(usize),
    /// All clients.
    Clients,
}

/// Wraps the environment of a sender, given its index. Tests use it to disable a safeguard of the daemon by
/// falsifying its inputs.
pub type EnvironmentWrapper = Rc<dyn Fn(usize, Environment) -> Environment>;

/// Options of a run in virtual time.
#[derive(Clone, Default)]
pub struct Options {
    /// Wraps the environment of each sender.
    pub environment_wrapper: Option<EnvironmentWrapper>,
    /// Folder in which the flight recorders write, in a subfolder for each sender.
    pub record: Option<PathBuf>,
}

/// The operations that a run needs from its environment. Senders are addressed by index.
pub trait Hosts {
    /// Returns the address on which a party is to listen. Port 0 stands for any port.
    fn address(&self, role: Role) -> SocketAddr;
    /// Returns the network that a party connects and listens with.
    fn network(&self, role: Role) -> Rc<dyn Network>;
    /// Returns the addresses for notes between senders, if they are supported: the sender's own, those of
    /// all senders in order, and the broadcast address.
    fn note_addresses(&self, sender: usize) -> Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>;
    /// Sets the configuration that a sender reads.
    fn configure(&self, sender: usize, text: String);
    /// Starts a sender.
    ///
    /// # Errors
    /// Returns why the sender could not be started.
    fn start(&self, sender: usize) -> Result<(), String>;
    /// Sends a signal to a sender.
    fn signal(&self, sender: usize, signal: Signal);
    /// Ends a sender as SIGKILL does.
    fn kill(&self, sender: usize);
    /// Returns why a sender ended on its own, or an empty text if it exited successfully; None while it
    /// runs.
    fn exit_reason(&self, sender: usize) -> Option<String>;
    /// Stops or resumes a sender's process, where supported.
    fn freeze(&self, sender: usize, frozen: bool);
}
