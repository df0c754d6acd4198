//! The world of this machine: real processes, and real sockets on loopback addresses.

use crate::hosts::{Hosts, Who};
use notchpoint_seam::system::SystemSockets;
use notchpoint_seam::{Network, Signal};
use rustix::process::{Pid, Signal as Number, kill_process};
use std::cell::RefCell;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// The world.
pub struct Live {
    /// How a sender is started: a program and its arguments.
    command: Vec<PathBuf>,
    senders: RefCell<Vec<Machine>>,
}

struct Machine {
    folder: PathBuf,
    listen: SocketAddr,
    child: Option<Child>,
    /// Why it ended by itself.
    ended: Option<String>,
}

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Live {
    /// A world for so many senders, which `command` starts; each has a folder of its own under `folder`, with
    /// its configuration, its state and its log.
    ///
    /// # Errors
    /// A folder or a port cannot be had.
    pub fn new(senders: usize, command: Vec<PathBuf>, folder: &Path) -> Result<Self, String> {
        let fail = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut all = Vec::new();
        // All ports are held until the last one is chosen, so that no two are the same.
        let mut held = Vec::new();
        for n in 0..senders {
            let folder = folder.join(format!("n{n}"));
            if folder.join("state").exists() {
                fs::remove_dir_all(folder.join("state")).map_err(fail)?;
            }
            fs::create_dir_all(folder.join("state")).map_err(fail)?;
            let listener = TcpListener::bind(ANY).map_err(fail)?;
            let listen = listener.local_addr().map_err(fail)?;
            held.push(listener);
            all.push(Machine { folder, listen, child: None, ended: None });
        }
        Ok(Self { command, senders: RefCell::new(all) })
    }

    fn tell(&self, sender: usize, number: Number) {
        let senders = self.senders.borrow();
        let child = senders[sender].child.as_ref();
        if let Some(pid) = child.and_then(|c| i32::try_from(c.id()).ok()).and_then(Pid::from_raw) {
            // It may have ended in this moment.
            let _ = kill_process(pid, number);
        }
    }
}

impl Hosts for Live {
    fn address(&self, who: Who) -> SocketAddr {
        match who {
            Who::Sender(n) => self.senders.borrow()[n].listen,
            _ => ANY,
        }
    }

    fn network(&self, _: Who) -> Rc<dyn Network> {
        Rc::new(SystemSockets::default())
    }

    fn peers(&self, _: usize) -> Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)> {
        // A datagram to everybody cannot come from its sender's address here.
        None
    }

    fn configure(&self, sender: usize, text: String) {
        let folder = self.senders.borrow()[sender].folder.clone();
        let half = folder.join("config.half");
        let written = fs::write(&half, text).and_then(|()| fs::rename(&half, folder.join("config.json")));
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
        self.tell(
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

    fn ended(&self, sender: usize) -> Option<String> {
        let mut senders = self.senders.borrow_mut();
        let machine = &mut senders[sender];
        if let Ok(Some(status)) = machine.child.as_mut()?.try_wait() {
            let why = if status.success() { String::new() } else { format!("ended: {status}") };
            machine.ended.get_or_insert(why);
        }
        machine.ended.clone()
    }

    fn freeze(&self, sender: usize, frozen: bool) {
        self.tell(sender, if frozen { Number::STOP } else { Number::CONT });
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        let senders = self.senders.borrow().len();
        (0..senders).for_each(|n| self.kill(n));
    }
}
