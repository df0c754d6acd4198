//! A world in memory, in virtual time: the daemon's own code, many senders in one thread, and nothing that is
//! not a function of scenario and seed.

pub mod disk;
pub mod net;

use crate::hosts::{Around, Hosts, Options, Who};
use crate::scenario::Scenario;
use disk::Store;
use net::{Host, Net};
use notchpoint::settings::operator::{
    CopiesSettings, OperatorSettings, PeerSettings, RecorderSettings, RecorderStore as Recording,
    ZoneSettings,
};
use notchpoint_seam::{BootId, Clock, Environment, Network, Signal};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::Instant;

/// The wall clock of a world begins here, in Unix microseconds: 2026-03-01, as good as any day.
pub const EPOCH: u64 = 1_772_323_200_000_000;
/// A process that is polled so often in one instant does not wait for anything any more: it hangs.
const SPINS: u32 = 20_000;
/// What one sender's flight recorder may take: a rehearsal of minutes fits.
const RECORDING_MB: f64 = 256.0;
/// Signals that wait to be heeded.
const SIGNALS: usize = 8;

/// The world.
pub struct Virtual {
    net: Rc<Net>,
    clock: Rc<VirtualClock>,
    around: Option<Around>,
    senders: RefCell<Vec<Machine>>,
    beats: Arc<AtomicU64>,
    /// Where each sender's flight recorder writes, if it does.
    record: Option<PathBuf>,
    /// Copies of each message, and where each sender stands.
    copies: usize,
    leave: bool,
    zones: Vec<String>,
}

struct Machine {
    store: Rc<Store>,
    config: Rc<RefCell<String>>,
    process: Option<Process>,
}

struct Process {
    frozen: Rc<Frozen>,
    host: Rc<Host>,
    signals: Sender<Signal>,
    task: AbortHandle,
    ended: Rc<RefCell<Option<String>>>,
}

/// Whether a process is stopped, and who goes on with it.
#[derive(Default)]
struct Frozen {
    is: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

struct VirtualClock(Instant);

impl Clock for VirtualClock {
    fn unix_now(&self) -> u64 {
        EPOCH + self.monotonic_now()
    }

    fn monotonic_now(&self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }

    fn boot_id(&self) -> io::Result<Option<BootId>> {
        Ok(Some(BootId([1; 16])))
    }
}

impl Virtual {
    /// A world for the senders of a scenario. `beats` is raised whenever one has been run, for a watchdog
    /// outside.
    pub fn new(s: &Scenario, seed: u64, options: &Options, beats: Arc<AtomicU64>) -> Rc<Self> {
        let disk = (s.senders.disk_mb * 1e6) as u64;
        let machine = |_| Machine { store: Store::new(disk), config: Rc::default(), process: None };
        let net = Net::new(Duration::from_millis(s.network.latency_ms), seed);
        net.set_notes(s.network.notes_lost, Duration::from_millis(s.network.notes_late_ms));
        net.set_everybody(SocketAddr::from((EVERYBODY, PEERS)));
        Rc::new(Self {
            net,
            clock: Rc::new(VirtualClock(Instant::now())),
            around: options.around.clone(),
            senders: RefCell::new((0..s.senders.count).map(machine).collect()),
            beats,
            record: options.record.clone(),
            copies: s.senders.copies,
            leave: s.senders.zones,
            zones: s.halls(),
        })
    }

    /// The network, for what a scenario does to it.
    pub fn net(&self) -> &Rc<Net> {
        &self.net
    }

    /// What the operator's file says of zones.
    fn leaving(&self) -> ZoneSettings {
        ZoneSettings { watch: self.leave, leave: self.leave, ..ZoneSettings::default() }
    }

    /// What the operator's file says of copies.
    fn copies(&self, sender: usize) -> Option<CopiesSettings> {
        let senders = self.senders.borrow().len();
        let at = |n| SocketAddr::from((ip(0, n), COPIES));
        let zone = |n: usize| self.zones.get(n % self.zones.len().max(1)).cloned();
        let others = (0..senders).filter(|&n| n != sender);
        let others = others.map(|n| PeerSettings { name: format!("n{n}"), address: at(n), zone: zone(n) });
        (self.copies > 0).then(|| CopiesSettings {
            count: self.copies,
            listen: at(sender),
            when_short: Default::default(),
            keep_mb: 64.0,
            zone: zone(sender),
            installation: "rehearsal".into(),
            silence_ms: 1_500,
            senders: others.collect(),
        })
    }

    /// A sender's machine is gone; an empty one is in its place.
    pub fn lose(&self, sender: usize) {
        let store = &mut self.senders.borrow_mut()[sender].store;
        *store = Store::new(store.limit);
    }

    /// A sender's lasting folder.
    pub fn store(&self, sender: usize) -> Rc<Store> {
        self.senders.borrow()[sender].store.clone()
    }
}

const EVERYBODY: Ipv4Addr = Ipv4Addr::new(10, 3, 255, 1);
const PEERS: u16 = 7_946;
/// Where senders listen to one another.
const COPIES: u16 = 7_950;
const PLATFORM: Ipv4Addr = Ipv4Addr::new(10, 2, 0, 1);

/// The n-th machine of a net of 62,500.
fn ip(net: u8, n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, net, (n / 250) as u8, (n % 250) as u8 + 1)
}

impl Hosts for Virtual {
    fn address(&self, who: Who) -> SocketAddr {
        match who {
            Who::Sender(n) => SocketAddr::from((ip(0, n), 8_081)),
            Who::Endpoint(n) => SocketAddr::from((ip(1, n), 8_081)),
            Who::Platform(n) => SocketAddr::from((PLATFORM, 10_000 + n as u16)),
            Who::Clients => SocketAddr::from((ip(9, 0), 0)),
        }
    }

    fn network(&self, who: Who) -> Rc<dyn Network> {
        self.net.host(self.address(who).ip())
    }

    fn peers(&self, sender: usize) -> Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)> {
        let at = |n| SocketAddr::from((ip(3, n), PEERS));
        let all = (0..self.senders.borrow().len()).map(at).collect();
        Some((at(sender), all, SocketAddr::from((EVERYBODY, PEERS))))
    }

    fn configure(&self, sender: usize, text: String) {
        *self.senders.borrow()[sender].config.borrow_mut() = text;
    }

    fn start(&self, sender: usize) -> Result<(), String> {
        let copies = self.copies(sender);
        let mut senders = self.senders.borrow_mut();
        let machine = &mut senders[sender];
        let host = self.net.host(IpAddr::V4(ip(0, sender)));
        let frozen = Rc::<Frozen>::default();
        let (signals, told) = channel(SIGNALS);
        let config = machine.config.clone();
        let world = Environment {
            net: host.clone(),
            clock: self.clock.clone(),
            disk: machine.store.handle(host.dead()),
            signals: told,
            config: Box::new(move || Ok(config.borrow().clone())),
            admin_addr: None,
            client_listener: None,
        };
        let world = match &self.around {
            Some(around) => around(sender, world),
            None => world,
        };
        let ended = Rc::new(RefCell::new(None));
        let local = LocalSet::new();
        let mut operator = OperatorSettings { copies, zones: self.leaving(), ..OperatorSettings::default() };
        if let Some(folder) = &self.record {
            let folder = Some(folder.join(format!("n{sender}")));
            operator.recorder = RecorderSettings { store: Recording::Folder, folder, limit_mb: RECORDING_MB };
        }
        let main = local.spawn_local(notchpoint::sender::run(world, operator));
        let tell = ended.clone();
        let (at, spins, beats) = (Instant::now(), 0, self.beats.clone());
        let process = Running { local, at, spins, beats, frozen: frozen.clone() };
        let task = tokio::task::spawn_local(async move {
            let why = tokio::select! {
                biased;
                () = process => "hangs: it runs on and on and waits for nothing".to_owned(),
                end = main => match end {
                    Ok(Ok(())) => String::new(),
                    Ok(Err(e)) => format!("ended: {e}"),
                    Err(e) => format!("ended: {e}"),
                },
            };
            tell.borrow_mut().get_or_insert(why);
        });
        machine.process = Some(Process { frozen, host, signals, task: task.abort_handle(), ended });
        Ok(())
    }

    fn signal(&self, sender: usize, signal: Signal) {
        if let Some(p) = &self.senders.borrow()[sender].process {
            let _ = p.signals.try_send(signal);
        }
    }

    fn kill(&self, sender: usize) {
        if let Some(p) = self.senders.borrow_mut()[sender].process.take() {
            // Dead first: what its remains do when they are dropped must have no effect.
            p.host.kill();
            p.task.abort();
        }
    }

    fn ended(&self, sender: usize) -> Option<String> {
        let senders = self.senders.borrow();
        let process = senders[sender].process.as_ref()?;
        process.ended.borrow().clone()
    }

    fn freeze(&self, sender: usize, is: bool) {
        if let Some(p) = &self.senders.borrow()[sender].process {
            p.frozen.is.set(is);
            if !is && let Some(waker) = p.frozen.waker.take() {
                waker.wake();
            }
        }
    }
}

/// A process that runs; ends only if it hangs.
struct Running {
    local: LocalSet,
    at: Instant,
    spins: u32,
    beats: Arc<AtomicU64>,
    frozen: Rc<Frozen>,
}

impl Future for Running {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.frozen.is.get() {
            *self.frozen.waker.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let now = Instant::now();
        self.spins = if self.at == now { self.spins + 1 } else { 0 };
        self.at = now;
        if self.spins > SPINS {
            return Poll::Ready(());
        }
        let done = Pin::new(&mut self.local).poll(cx);
        self.beats.fetch_add(1, Ordering::Relaxed);
        match done {
            // All tasks have ended; the main one tells why.
            Poll::Ready(()) | Poll::Pending => Poll::Pending,
        }
    }
}
