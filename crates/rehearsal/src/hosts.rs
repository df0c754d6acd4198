//! Where processes run: in memory, or on this machine.

use notchpoint_seam::{Environment, Network, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Who stands somewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// A sender, by number.
    Sender(usize),
    /// An endpoint, counted over the whole run.
    Endpoint(usize),
    /// One of the platform's addresses, counted over the whole run.
    Platform(usize),
    /// All clients.
    Clients,
}

/// What a daemon finds in the place of the world around it, by sender. A test takes a guard out by lying to
/// it.
pub type Around = Rc<dyn Fn(usize, Environment) -> Environment>;

/// What may be asked of a run in virtual time.
#[derive(Clone, Default)]
pub struct Options {
    /// What senders find in the place of the world around them.
    pub around: Option<Around>,
    /// Where their flight recorders write, a folder each.
    pub record: Option<PathBuf>,
}

/// What a run needs of the place it runs in. A sender's process is started, told and killed by number.
pub trait Hosts {
    /// Where somebody is to listen. Port 0 stands for any.
    fn address(&self, who: Who) -> SocketAddr;
    /// What somebody connects and listens with.
    fn network(&self, who: Who) -> Rc<dyn Network>;
    /// Where notes between senders go, if they may: its own address, all in order, everybody's.
    fn peers(&self, sender: usize) -> Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>;
    /// What a sender finds as its configuration.
    fn configure(&self, sender: usize, text: String);
    /// Starts a sender.
    ///
    /// # Errors
    /// Why it could not be started.
    fn start(&self, sender: usize) -> Result<(), String>;
    /// Tells a sender something.
    fn signal(&self, sender: usize, signal: Signal);
    /// Ends a sender as SIGKILL does.
    fn kill(&self, sender: usize);
    /// Why a sender ended by itself, empty if it was in order; nothing while it runs.
    fn ended(&self, sender: usize) -> Option<String>;
    /// Stops a sender's process, or lets it go on, where that can be.
    fn freeze(&self, sender: usize, frozen: bool);
}
