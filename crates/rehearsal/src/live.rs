//! The environment of this machine: real processes and real sockets on loopback addresses.

use crate::hosts::{Hosts, Role};
use notchpoint_seam::system::SystemSockets;
use notchpoint_seam::{Network, Signal};
use rustix::process::{Pid, Signal as Number, kill_process};
use socket2::{Domain, Socket, Type};
use std::cell::RefCell;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// The environment on loopback sockets.
pub struct Live {
    /// Command that starts a sender: the program and its arguments.
    command: Vec<PathBuf>,
    senders: RefCell<Vec<Machine>>,
}

struct Machine {
    folder: PathBuf,
    listen: ReservedAddress,
    child: Option<Child>,
    /// Why it ended on its own.
    ended: Option<String>,
}

/// Loopback address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An address that the system gives to no other socket. A sender can still listen there: both sockets have
/// `SO_REUSEADDR`, and this one does not listen.
struct ReservedAddress {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedAddress {
    fn new() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&ANY_PORT.into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, _socket: socket })
    }
}

impl Live {
    /// Creates an environment for a number of senders, which `command` starts. Each sender has its own
    /// folder under `folder` with its configuration, state and log.
    ///
    /// # Errors
    /// Fails if a folder cannot be created or a port cannot be bound.
    pub fn new(senders: usize, command: Vec<PathBuf>, folder: &Path) -> Result<Self, String> {
        let fail = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut all = Vec::new();
        for n in 0..senders {
            let folder = folder.join(format!("n{n}"));
            if folder.join("state").exists() {
                fs::remove_dir_all(folder.join("state")).map_err(fail)?;
            }
            fs::create_dir_all(folder.join("state")).map_err(fail)?;
            let listen = ReservedAddress::new().map_err(fail)?;
            all.push(Machine { folder, listen, child: None, ended: None });
        }
        Ok(Self { command, senders: RefCell::new(all) })
    }

    fn send_signal(&self, sender: usize, number: Number) {
        let senders = self.senders.borrow();
        let child = senders[sender].child.as_ref();
        if let Some(pid) = child.and_then(|c| i32::try_from(c.id()).ok()).and_then(Pid::from_raw) {
            // The process may have ended meanwhile.
            let _ = kill_process(pid, number);
        }
    }
}

impl Hosts for Live {
    fn address(&self, role: Role) -> SocketAddr {
        match role {
            Role::Sender(n) => self.senders.borrow()[n].listen.address,
            _ => ANY_PORT,
        }
    }

    fn network(&self, _: Role) -> Rc<dyn Network> {
        Rc::new(SystemSockets::default())
    }

    fn note_addresses(&self, _: usize) -> Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)> {
        // Loopback sockets cannot send a broadcast datagram from the sender's own address.
        None
    }

    fn configure(&self, sender: usize, text: String) {
        let folder = self.senders.borrow()[sender].folder.clone();
        let partial = folder.join("config.half");
        let written =
            fs::write(&partial, text).and_then(|()| fs::rename(&partial, folder.join("config.json")));
        if let Err(e) = written {
            eprintln!("{}: {e}", folder.display());
        }
    }

    fn start(&self, sender: usize) -> Result<(), String> {
        let mut senders = self.senders.borrow_mut();
        let machine = &mut senders[sender];
        let fail = |e: std::io::Error| format!("{}: {e}", machine.folder.display());
        let log = File::options().create(true).append(true).open(machine.folder.join("log")).map_err(fail)?;
        let errors = log.try_clone().map_err(fail)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("BALANCER_CONFIG", machine.folder.join("config.json"))
            .env("BALANCER_STATE", machine.folder.join("state"))
            .env_remove("NOTCHPOINT_OPERATOR")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.command[0].display()))?;
        (machine.child, machine.ended) = (Some(child), None);
        Ok(())
    }

    fn signal(&self, sender: usize, signal: Signal) {
        self.send_signal(
            sender,
            match signal {
                Signal::Reload => Number::HUP,
                Signal::Terminate => Number::TERM,
                Signal::Dump => Number::USR1,
            },
        );
    }

    fn kill(&self, sender: usize) {
        if let Some(mut child) = self.senders.borrow_mut()[sender].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn exit_reason(&self, sender: usize) -> Option<String> {
        let mut senders = self.senders.borrow_mut();
        let machine = &mut senders[sender];
        if let Ok(Some(status)) = machine.child.as_mut()?.try_wait() {
            let reason = if status.success() { String::new() } else { format!("ended: {status}") };
            machine.ended.get_or_insert(reason);
        }
        machine.ended.clone()
    }

    fn freeze(&self, sender: usize, frozen: bool) {
        self.send_signal(sender, if frozen { Number::STOP } else { Number::CONT });
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        let senders = self.senders.borrow().len();
        (0..senders).for_each(|n| self.kill(n));
    }
}
