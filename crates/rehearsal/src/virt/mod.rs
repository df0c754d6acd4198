//! An environment in memory and in virtual time. It runs the daemon's own code, with many senders in one
//! thread, and everything in it is a function of scenario and seed.

pub mod disk;
pub mod net;

use crate::hosts::{EnvironmentWrapper, Hosts, Options, Role};
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

/// Start of the wall clock in Unix microseconds: 2026-03-01. The choice of the day is arbitrary.
pub const EPOCH: u64 = 1_772_323_200_000_000;
/// Number of polls in one instant of virtual time after which a process counts as hanging: it no longer
/// waits for anything.
const MAX_POLLS_PER_INSTANT: u32 = 20_000;
/// Size limit of one sender's flight recording; enough for a run of several minutes.
const RECORDING_MB: f64 = 256.0;
/// Maximum number of signals that wait to be handled.
const SIGNAL_QUEUE_LENGTH: usize = 8;

/// The environment in memory.
pub struct Virtual {
    net: Rc<Net>,
    clock: Rc<VirtualClock>,
    environment_wrapper: Option<EnvironmentWrapper>,
    senders: RefCell<Vec<Machine>>,
    heartbeat: Arc<AtomicU64>,
    /// Folder in which the senders' flight recorders write, if enabled.
    record: Option<PathBuf>,
    /// Number of replicas of each message.
    copies: usize,
    /// Whether senders evacuate failing zones.
    zones_enabled: bool,
    /// All zones of the scenario; senders are assigned to them round-robin.
    zones: Vec<String>,
}

struct Machine {
    store: Rc<Store>,
    config: Rc<RefCell<String>>,
    process: Option<Process>,
}

struct Process {
    frozen: Rc<FreezeState>,
    host: Rc<Host>,
    signals: Sender<Signal>,
    task: AbortHandle,
    ended: Rc<RefCell<Option<String>>>,
}

/// Whether a process is stopped, and the waker that resumes it.
#[derive(Default)]
struct FreezeState {
    is_frozen: Cell<bool>,
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
    /// Creates an environment for the senders of a scenario. `heartbeat` is incremented whenever a sender
    /// has been polled; a watchdog outside observes it.
    pub fn new(scenario: &Scenario, seed: u64, options: &Options, heartbeat: Arc<AtomicU64>) -> Rc<Self> {
        let disk = (scenario.senders.disk_mb * 1e6) as u64;
        let machine = |_| Machine { store: Store::new(disk), config: Rc::default(), process: None };
        let net = Net::new(Duration::from_millis(scenario.network.latency_ms), seed);
        net.set_datagram_faults(
            scenario.network.notes_lost,
            Duration::from_millis(scenario.network.notes_late_ms),
        );
        net.set_broadcast_addr(SocketAddr::from((BROADCAST_ADDR, NOTE_PORT)));
        Rc::new(Self {
            net,
            clock: Rc::new(VirtualClock(Instant::now())),
            environment_wrapper: options.environment_wrapper.clone(),
            senders: RefCell::new((0..scenario.senders.count).map(machine).collect()),
            heartbeat,
            record: options.record.clone(),
            copies: scenario.senders.copies,
            zones_enabled: scenario.senders.zones,
            zones: scenario.zones(),
        })
    }

    /// Returns the network, to which a scenario's faults are applied.
    pub fn net(&self) -> &Rc<Net> {
        &self.net
    }

    /// Returns the zone settings of the operator's file.
    fn zone_settings(&self) -> ZoneSettings {
        ZoneSettings { watch: self.zones_enabled, leave: self.zones_enabled, ..ZoneSettings::default() }
    }

    /// Returns the replication settings of a sender's operator file, if replication is enabled.
    fn copies_settings(&self, sender: usize) -> Option<CopiesSettings> {
        let senders = self.senders.borrow().len();
        let at = |n| SocketAddr::from((ip(0, n), REPLICATION_PORT));
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

    /// Replaces a sender's machine by one with an empty state folder.
    pub fn replace_machine(&self, sender: usize) {
        let store = &mut self.senders.borrow_mut()[sender].store;
        *store = Store::new(store.limit);
    }

    /// Returns a sender's state folder.
    pub fn store(&self, sender: usize) -> Rc<Store> {
        self.senders.borrow()[sender].store.clone()
    }
}

/// Notes to this address reach all other senders.
const BROADCAST_ADDR: Ipv4Addr = Ipv4Addr::new(10, 3, 255, 1);
/// Port on which senders receive notes.
const NOTE_PORT: u16 = 7_946;
/// Port on which senders listen for replication.
const REPLICATION_PORT: u16 = 7_950;
/// Address of the emulated platform.
const PLATFORM_ADDR: Ipv4Addr = Ipv4Addr::new(10, 2, 0, 1);

/// Returns the address of the n-th machine of a network of 62,500 machines.
fn ip(net: u8, n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, net, (n / 250) as u8, (n % 250) as u8 + 1)
}

impl Hosts for Virtual {
    fn address(&self, role: Role) -> SocketAddr {
        match role {
            Role::Sender(n) => SocketAddr::from((ip(0, n), 8_081)),
            Role::Endpoint(n) => SocketAddr::from((ip(1, n), 8_081)),
            Role::Platform(n) => SocketAddr::from((PLATFORM_ADDR, 10_000 + n as u16)),
            Role::Clients => SocketAddr::from((ip(9, 0), 0)),
        }
    }

    fn network(&self, role: Role) -> Rc<dyn Network> {
        self.net.host(self.address(role).ip())
    }

    fn note_addresses(&self, sender: usize) -> Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)> {
        let at = |n| SocketAddr::from((ip(3, n), NOTE_PORT));
        let senders = (0..self.senders.borrow().len()).map(at).collect();
        Some((at(sender), senders, SocketAddr::from((BROADCAST_ADDR, NOTE_PORT))))
    }

    fn configure(&self, sender: usize, text: String) {
        *self.senders.borrow()[sender].config.borrow_mut() = text;
    }

    fn start(&self, sender: usize) -> Result<(), String> {
        let copies = self.copies_settings(sender);
        let mut senders = self.senders.borrow_mut();
        let machine = &mut senders[sender];
        let host = self.net.host(IpAddr::V4(ip(0, sender)));
        let frozen = Rc::<FreezeState>::default();
        let (signals, signal_receiver) = channel(SIGNAL_QUEUE_LENGTH);
        let config = machine.config.clone();
        let environment = Environment {
            net: host.clone(),
            clock: self.clock.clone(),
            disk: machine.store.handle(host.dead()),
            signals: signal_receiver,
            config: Box::new(move || Ok(config.borrow().clone())),
            admin_addr: None,
            client_listener: None,
        };
        let environment = match &self.environment_wrapper {
            Some(wrap) => wrap(sender, environment),
            None => environment,
        };
        let ended = Rc::new(RefCell::new(None));
        let local = LocalSet::new();
        let mut operator =
            OperatorSettings { copies, zones: self.zone_settings(), ..OperatorSettings::default() };
        if let Some(folder) = &self.record {
            let folder = Some(folder.join(format!("n{sender}")));
            operator.recorder = RecorderSettings { store: Recording::Folder, folder, limit_mb: RECORDING_MB };
        }
        let main = local.spawn_local(notchpoint::sender::run(environment, operator));
        let exit_reason = ended.clone();
        let (last_polled, polls_in_instant, heartbeat) = (Instant::now(), 0, self.heartbeat.clone());
        let process =
            ProcessFuture { local, last_polled, polls_in_instant, heartbeat, frozen: frozen.clone() };
        let task = tokio::task::spawn_local(async move {
            let reason = tokio::select! {
                biased;
                () = process => "hangs: it runs on and on and waits for nothing".to_owned(),
                end = main => match end {
                    Ok(Ok(())) => String::new(),
                    Ok(Err(e)) => format!("ended: {e}"),
                    Err(e) => format!("ended: {e}"),
                },
            };
            exit_reason.borrow_mut().get_or_insert(reason);
        });
        machine.process = Some(Process { frozen, host, signals, task: task.abort_handle(), ended });
        Ok(())
    }

    fn signal(&self, sender: usize, signal: Signal) {
        if let Some(process) = &self.senders.borrow()[sender].process {
            let _ = process.signals.try_send(signal);
        }
    }

    fn kill(&self, sender: usize) {
        if let Some(process) = self.senders.borrow_mut()[sender].process.take() {
            // The host is marked dead first, so that dropping the process has no effect on the network or
            // the folder.
            process.host.kill();
            process.task.abort();
        }
    }

    fn exit_reason(&self, sender: usize) -> Option<String> {
        let senders = self.senders.borrow();
        let process = senders[sender].process.as_ref()?;
        process.ended.borrow().clone()
    }

    fn freeze(&self, sender: usize, frozen: bool) {
        if let Some(process) = &self.senders.borrow()[sender].process {
            process.frozen.is_frozen.set(frozen);
            if !frozen && let Some(waker) = process.frozen.waker.take() {
                waker.wake();
            }
        }
    }
}

/// A running process. The future completes only if the process hangs.
struct ProcessFuture {
    local: LocalSet,
    last_polled: Instant,
    polls_in_instant: u32,
    heartbeat: Arc<AtomicU64>,
    frozen: Rc<FreezeState>,
}

impl Future for ProcessFuture {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.frozen.is_frozen.get() {
            *self.frozen.waker.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let now = Instant::now();
        self.polls_in_instant = if self.last_polled == now { self.polls_in_instant + 1 } else { 0 };
        self.last_polled = now;
        if self.polls_in_instant > MAX_POLLS_PER_INSTANT {
            return Poll::Ready(());
        }
        let done = Pin::new(&mut self.local).poll(cx);
        self.heartbeat.fetch_add(1, Ordering::Relaxed);
        match done {
            // All tasks have ended. The main task reports the reason.
            Poll::Ready(()) | Poll::Pending => Poll::Pending,
        }
    }
}
