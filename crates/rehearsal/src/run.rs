//! Runs a scenario once: builds the emulated parties, applies the events and returns the observations.

use crate::arrivals::{Arrival, arrivals};
use crate::client::{Clients, mix};
use crate::config::{self, Addresses};
use crate::endpoint::EmulatedDestination;
use crate::hosts::{Hosts, Options, Role};
use crate::live::Live;
use crate::observations::{Lifetime, Observations, Order};
use crate::platform::{Member, Platform};
use crate::scenario::{DiscoveryFailure, Event, EventKind, Scenario};
use crate::virt::Virtual;
use notchpoint_emulator::{Change, Faults, Ledger, Micros, Partner};
use notchpoint_seam::Signal;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Time that senders have to become ready before clients start. Time zero of a run lies this long after the
/// start of its environment.
pub const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Time that a run continues after the last deadline. It covers the permitted delay of notices and a margin.
const END_MARGIN: Micros = 1_000_000;
/// Interval between two samples of the load at partners.
const LOAD_SAMPLE_INTERVAL: Micros = 250_000;
/// Time from SIGTERM to SIGKILL.
const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);
/// Default time from the end of a process to its next start, in seconds.
const DEFAULT_DOWNTIME_S: f64 = 0.6;
/// Time after which an endpoint that was removed from the list stops.
const REMOVED_ENDPOINT_LIFETIME: Duration = Duration::from_secs(2);
/// Time after a move until the old discovery address stops listening and closes its connections.
const OLD_DISCOVERY_LIFETIME: Duration = Duration::from_millis(1_500);
/// Wall-clock time without progress after which the watchdog aborts a run.
const WATCHDOG_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of a run: everything that was observed outside the senders.
pub struct RunResult {
    /// The scenario that was run.
    pub scenario: Rc<Scenario>,
    /// The seed of the run.
    pub seed: u64,
    /// Observations of clients, endpoints and platform.
    pub observations: Rc<Observations>,
    /// The ledger of each destination, in their order.
    pub ledgers: Vec<Ledger>,
    /// Load samples of each destination: calls in service and calls queued.
    pub loads: Vec<Vec<(u32, usize)>>,
    /// The event log. In virtual time it is byte-identical for the same scenario and seed.
    pub log: String,
    /// Time at which the run ended.
    pub end: Micros,
    /// Whether the run used real sockets.
    pub live: bool,
}

/// Runs a scenario in virtual time.
///
/// # Errors
/// Returns a description of what could not be set up.
pub fn run(scenario: &Rc<Scenario>, seed: u64, options: &Options) -> Result<RunResult, String> {
    let heartbeat = Arc::new(AtomicU64::new(0));
    let _watchdog = Watchdog::new(heartbeat.clone(), &scenario.name, seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(|e| e.to_string())?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async {
        let senders = &scenario.senders;
        let hosts = Virtual::new(scenario, mix(seed, 3), options, heartbeat);
        let runner = Runner::build(scenario.clone(), seed, hosts.clone(), Some(hosts.clone()), STARTUP_TIME)?;
        let result = runner.run().await?;
        for sender in 0..senders.count {
            if hosts.store(sender).limit_exceeded.get() {
                result.observations.record_anomaly(format!(
                    "sender {sender}: its folder held more than {} MB",
                    senders.disk_mb
                ));
            }
        }
        Ok(RunResult { log: result.observations.take_event_log(), ..result })
    }))
}

/// Runs a scenario on loopback sockets, against the real processes of `hosts`. Calls `on_second` once per
/// second.
///
/// # Errors
/// Returns a description of what could not be set up, or is supported in virtual time only.
pub fn run_live(
    scenario: &Rc<Scenario>,
    seed: u64,
    hosts: Live,
    allows_unknown_messages: bool,
    on_second: impl Fn(&Runner) + 'static,
) -> Result<RunResult, String> {
    let unsupported = scenario.virtual_time_only();
    if !unsupported.is_empty() {
        return Err(unsupported.join("\n"));
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async {
        let runner = Runner::build(scenario.clone(), seed, Rc::new(hosts), None, STARTUP_TIME)?;
        runner.observations.allows_unknown_messages.set(allows_unknown_messages);
        let watched = runner.clone();
        tokio::task::spawn_local(async move {
            for second in 0.. {
                sleep_until(watched.observations.instant_at(second * 1_000_000)).await;
                on_second(&watched);
            }
        });
        let result = runner.run().await?;
        Ok(RunResult { log: result.observations.take_event_log(), ..result })
    }))
}

/// Aborts the process if a sender blocks its thread. All senders share that thread, so virtual time would
/// not advance.
struct Watchdog(Arc<AtomicU64>);

const FINISHED: u64 = u64::MAX;

impl Watchdog {
    fn new(heartbeat: Arc<AtomicU64>, name: &str, seed: u64) -> Self {
        let (watched, name) = (heartbeat.clone(), name.to_owned());
        std::thread::spawn(move || {
            let (mut last, mut since) = (0, std::time::Instant::now());
            loop {
                std::thread::sleep(Duration::from_millis(200));
                let now = watched.load(Ordering::Relaxed);
                if now == FINISHED {
                    return;
                }
                if now != last {
                    (last, since) = (now, std::time::Instant::now());
                }
                if since.elapsed() > WATCHDOG_TIMEOUT {
                    eprintln!(
                        "{name}, seed {seed}: BROKEN: a sender blocks its thread; nothing moved for \
                         {WATCHDOG_TIMEOUT:?}"
                    );
                    std::process::exit(3);
                }
            }
        });
        Self(heartbeat)
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.store(FINISHED, Ordering::Relaxed);
    }
}

/// A run in progress.
pub struct Runner {
    scenario: Rc<Scenario>,
    seed: u64,
    hosts: Rc<dyn Hosts>,
    /// The same object as `hosts` in virtual time; None on loopback sockets.
    virt: Option<Rc<Virtual>>,
    observations: Rc<Observations>,
    emulated_destinations: Vec<Rc<EmulatedDestination>>,
    platform: Rc<Platform>,
    clients: Rc<Clients>,
    /// Number of endpoints and of discovery addresses that were created.
    endpoint_count: Cell<usize>,
    discovery_count: Cell<usize>,
    discovery: RefCell<Vec<(std::net::SocketAddr, tokio::task::AbortHandle)>>,
    loads: RefCell<Vec<Vec<(u32, usize)>>>,
    /// Whether each sender is being stopped and restarted; the monitor ignores it meanwhile.
    is_restarting: RefCell<Vec<bool>>,
}

impl Runner {
    /// Builds everything outside the senders.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub fn build(
        scenario: Rc<Scenario>,
        seed: u64,
        hosts: Rc<dyn Hosts>,
        virt: Option<Rc<Virtual>>,
        startup_time: Duration,
    ) -> Result<Rc<Self>, String> {
        let s = &scenario;
        let observations = Rc::new(Observations::new(s.senders.count, Instant::now() + startup_time));
        let mut members = Vec::new();
        let mut emulated_destinations = Vec::new();
        let mut endpoints = 0;
        for (destination, (partner, number)) in s.destinations().into_iter().enumerate() {
            let partner_kind = s.partner[partner].get_ref();
            let model = Partner::new(partner_kind.spec.clone(), 0, mix(seed, 10_000 + destination as u64));
            let emulated = EmulatedDestination::new(destination, model, s, observations.clone());
            for n in 0..partner_kind.endpoints {
                let role = Role::Endpoint(endpoints);
                endpoints += 1;
                let added = emulated.add(hosts.network(role), hosts.address(role));
                let (endpoint, address) =
                    added.map_err(|e| format!("an endpoint of {}: {e}", partner_kind.name))?;
                members.push(Member {
                    endpoint: (destination, endpoint),
                    id: format!("{}-{number}-{n}", partner_kind.name),
                    address,
                    zone: partner_kind.zone_of(n).to_owned(),
                    kind: partner_kind.name.clone(),
                    phase: "up",
                    revision: 1,
                });
            }
            tokio::task::spawn_local(emulated.clone().run_model());
            emulated_destinations.push(emulated);
        }
        let platform = Platform::new(members, observations.clone());
        let senders = (0..s.senders.count).map(|n| hosts.address(Role::Sender(n))).collect();
        let net = hosts.network(Role::Clients);
        let clients = Clients::new(net, senders, s.clone(), seed, observations.clone());
        let bounce_receiver = clients.clone();
        platform.on_bounced(move |id, wait| bounce_receiver.bounced(id, wait));
        let loads = RefCell::new(vec![Vec::new(); emulated_destinations.len()]);
        let is_restarting = RefCell::new(vec![false; s.senders.count]);
        let runner = Rc::new(Self {
            scenario,
            seed,
            hosts,
            virt,
            observations,
            emulated_destinations,
            platform,
            clients,
            endpoint_count: Cell::new(endpoints),
            discovery_count: Cell::new(0),
            discovery: RefCell::default(),
            loads,
            is_restarting,
        });
        for sender in 0..runner.scenario.senders.count {
            let address = runner.open_discovery(sender)?;
            runner.discovery.borrow_mut().push(address);
        }
        Ok(runner)
    }

    /// Returns the observations, which are still being recorded.
    pub fn observations(&self) -> &Rc<Observations> {
        &self.observations
    }

    /// Returns the scenario.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Returns the emulated destinations.
    pub fn emulated_destinations(&self) -> &[Rc<EmulatedDestination>] {
        &self.emulated_destinations
    }

    fn open_discovery(
        &self,
        sender: usize,
    ) -> Result<(std::net::SocketAddr, tokio::task::AbortHandle), String> {
        let role = Role::Platform(self.discovery_count.replace(self.discovery_count.get() + 1));
        let listener = self.hosts.network(role).listen(self.hosts.address(role));
        let listener = listener.map_err(|e| format!("discovery: {e}"))?;
        let at = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let task = tokio::task::spawn_local(self.platform.clone().serve(sender, listener));
        Ok((at, task.abort_handle()))
    }

    fn configure(&self, sender: usize, known: &serde_json::Value) {
        let scenario = &self.scenario;
        let addresses = Addresses {
            listen: self.hosts.address(Role::Sender(sender)),
            discovery: self.discovery.borrow()[sender].0,
            notes: self.hosts.note_addresses(sender).filter(|_| scenario.senders.notes),
        };
        let lifetime = self.observations.lifetime(sender);
        let text = config::config_text(scenario, sender, lifetime, &addresses, known, self.seed);
        self.hosts.configure(sender, text);
    }

    fn start(self: &Rc<Self>, sender: usize, known: &serde_json::Value) -> Result<(), String> {
        self.configure(sender, known);
        let (started, ready, stop_requested, ended, crashed) =
            (self.observations.now(), None, None, None, None);
        self.observations.lifetimes.borrow_mut()[sender].push(Lifetime {
            started,
            ready,
            stop_requested,
            ended,
            crashed,
        });
        self.observations.log(format_args!("start {sender}"));
        self.hosts.start(sender)?;
        let runner = self.clone();
        let lifetime = self.observations.lifetime(sender);
        tokio::task::spawn_local(async move {
            if runner.clients.wait_until_ready(sender, Duration::from_secs(30)).await
                && runner.observations.lifetime(sender) == lifetime
            {
                let now = runner.observations.now();
                runner.observations.log(format_args!("ready {sender}"));
                if let Some(lifetime) = runner.observations.lifetimes.borrow_mut()[sender].last_mut() {
                    lifetime.ready = Some(now);
                }
            }
        });
        Ok(())
    }

    /// Runs the scenario to its end.
    ///
    /// # Errors
    /// Fails if a sender cannot be started or is not ready in time.
    pub async fn run(self: Rc<Self>) -> Result<RunResult, String> {
        let known = self.platform.list_json();
        let senders = self.scenario.senders.count;
        for sender in 0..senders {
            self.start(sender, &known)?;
        }
        sleep_until(self.observations.instant_at(0)).await;
        for (sender, lifetimes) in self.observations.lifetimes.borrow().iter().enumerate() {
            if lifetimes.last().is_none_or(|l| l.ready.is_none()) {
                let reason = self.hosts.exit_reason(sender).unwrap_or_default();
                return Err(format!("sender {sender} is not ready in time. {reason}"));
            }
        }
        tokio::task::spawn_local(self.clone().submit_arrivals());
        tokio::task::spawn_local(self.clone().apply_events(known));
        tokio::task::spawn_local(self.clone().monitor());
        for (group, bad_client) in self.scenario.bad_client.iter().enumerate() {
            self.start_bad_clients(group, bad_client.get_ref());
        }
        let longest_deadline = self.scenario.class.iter().map(|c| c.get_ref().deadline_s).fold(0.0, f64::max);
        let end = ((self.scenario.duration_s + longest_deadline) * 1e6) as Micros + END_MARGIN;
        sleep_until(self.observations.instant_at(end)).await;
        (0..senders).for_each(|n| self.hosts.kill(n));
        let ledgers =
            self.emulated_destinations.iter().map(|emulated| emulated.model().ledger().clone()).collect();
        Ok(RunResult {
            scenario: self.scenario.clone(),
            seed: self.seed,
            observations: self.observations.clone(),
            ledgers,
            loads: self.loads.take(),
            log: String::new(),
            end,
            live: self.virt.is_none(),
        })
    }

    async fn submit_arrivals(self: Rc<Self>) {
        for arrival in arrivals(&self.scenario, self.seed) {
            sleep_until(self.observations.instant_at(arrival.at)).await;
            let Arrival { at, class, tenant, destination, body, over_share } = arrival;
            let order = {
                let mut orders = self.observations.orders.borrow_mut();
                let (delivered, submissions) = (None, 0);
                orders.push(Order {
                    class,
                    tenant,
                    destination,
                    requested_at: at,
                    over_share,
                    delivered,
                    submissions,
                });
                orders.len() - 1
            };
            tokio::task::spawn_local(self.clients.clone().submit_order(order, body));
        }
    }

    fn start_bad_clients(&self, group: usize, bad_client: &crate::scenario::BadClient) {
        let until = bad_client.to_s.unwrap_or(self.scenario.duration_s);
        let count = ((until - bad_client.from_s) * bad_client.rate_per_s) as usize;
        for index in 0..count {
            let at = ((bad_client.from_s + index as f64 / bad_client.rate_per_s) * 1e6) as Micros;
            tokio::task::spawn_local(self.clients.clone().send_bad_request(group * 3 + index, at));
        }
    }

    /// Samples the load of the destinations and restarts senders that have ended on their own.
    async fn monitor(self: Rc<Self>) {
        for sample in 0.. {
            sleep_until(self.observations.instant_at(sample * LOAD_SAMPLE_INTERVAL)).await;
            for (emulated, loads) in self.emulated_destinations.iter().zip(self.loads.borrow_mut().iter_mut())
            {
                loads.push(emulated.model().load());
            }
            for sender in 0..self.scenario.senders.count {
                if self.is_restarting.borrow()[sender] {
                    continue;
                }
                if let Some(reason) = self.hosts.exit_reason(sender) {
                    self.observations.log(format_args!("ended {sender} {reason}"));
                    let now = self.observations.now();
                    if let Some(lifetime) = self.observations.lifetimes.borrow_mut()[sender].last_mut() {
                        lifetime.ended = Some(now);
                        lifetime.crashed.get_or_insert(reason.clone());
                    }
                    let is_hang = reason.starts_with("hangs");
                    self.hosts.kill(sender);
                    if is_hang {
                        // A restarted sender would hang again.
                        self.is_restarting.borrow_mut()[sender] = true;
                    } else {
                        // Restarts the process as a supervisor would.
                        self.restart_later(sender, DEFAULT_DOWNTIME_S);
                    }
                }
            }
        }
    }

    fn restart_later(self: &Rc<Self>, sender: usize, downtime_s: f64) {
        self.is_restarting.borrow_mut()[sender] = true;
        let runner = self.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(downtime_s)).await;
            if !std::mem::replace(&mut runner.is_restarting.borrow_mut()[sender], false) {
                // The sender was stopped twice and has been restarted since.
                return;
            }
            let known = runner.platform.list_json();
            if let Err(reason) = runner.start(sender, &known) {
                runner.observations.record_anomaly(format!("sender {sender} did not start again: {reason}"));
            }
        });
    }

    async fn apply_events(self: Rc<Self>, known: serde_json::Value) {
        let mut events: Vec<Event> =
            self.scenario.event.iter().map(|event| event.get_ref().clone()).collect();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for event in events {
            sleep_until(self.observations.instant_at((event.at_s * 1e6) as Micros)).await;
            self.observations.log(format_args!("event {:?}", event.kind));
            self.apply_event(&event, &known);
        }
    }

    /// Returns the endpoints to which an event applies.
    fn targeted_endpoints(&self, event: &Event) -> Vec<(Rc<EmulatedDestination>, usize)> {
        let destinations =
            self.scenario.select(event.zone.as_deref(), event.partner.as_deref(), event.destination);
        let endpoints_of = |destination: usize| {
            let emulated = self.emulated_destinations[destination].clone();
            let all = emulated.endpoints();
            let selected = event.endpoint.map_or(all.clone(), |n| all.get(n).copied().into_iter().collect());
            let partner = self.scenario.partner[self.scenario.destinations()[destination].0].get_ref();
            let is_in_zone = |n: &usize| event.zone.as_deref().is_none_or(|zone| partner.zone_of(*n) == zone);
            selected.into_iter().filter(is_in_zone).map(move |n| (emulated.clone(), n)).collect::<Vec<_>>()
        };
        if event.zone.is_none() && event.partner.is_none() {
            Vec::new()
        } else {
            destinations.into_iter().flat_map(endpoints_of).collect()
        }
    }

    fn apply_event(self: &Rc<Self>, event: &Event, known: &serde_json::Value) {
        let for_s = event.for_s.unwrap_or(0.0);
        let span = (for_s * 1e6) as Micros;
        let sender = event.sender.unwrap_or(0);
        match event.kind {
            EventKind::Discovery => {
                let delay = event.late_ms.unwrap_or(0) * 1_000;
                self.platform.fail(event.mode.unwrap_or(DiscoveryFailure::Broken), span, delay);
            }
            EventKind::MoveDiscovery => self.move_discovery(known),
            EventKind::Kill => {
                self.record_kill(sender);
                self.hosts.kill(sender);
                self.restart_later(sender, event.for_s.unwrap_or(DEFAULT_DOWNTIME_S));
            }
            EventKind::Lose => {
                self.record_kill(sender);
                self.hosts.kill(sender);
                if let Some(virt) = &self.virt {
                    virt.replace_machine(sender);
                }
                self.restart_later(sender, event.for_s.unwrap_or(DEFAULT_DOWNTIME_S));
            }
            EventKind::Part | EventKind::SlowLink => self.apply_link_event(event, sender, for_s),
            EventKind::Restart => self.restart(sender, event.for_s.unwrap_or(DEFAULT_DOWNTIME_S)),
            EventKind::Freeze => {
                self.hosts.freeze(sender, true);
                let runner = self.clone();
                self.schedule(for_s, move || runner.hosts.freeze(sender, false));
            }
            EventKind::DiskFull => {
                if let Some(store) = self.virt.as_ref().map(|v| v.store(sender)) {
                    store.is_full.set(true);
                    self.schedule(for_s, move || store.is_full.set(false));
                }
            }
            EventKind::Cut => self.cut(event, for_s),
            EventKind::Silent => self
                .targeted_endpoints(event)
                .iter()
                .for_each(|(emulated, endpoint)| emulated.silence(*endpoint, span)),
            EventKind::Pause => self
                .targeted_endpoints(event)
                .iter()
                .for_each(|(emulated, endpoint)| emulated.change(*endpoint, Change::Pause(span))),
            EventKind::Die => self.apply_and_revert(event, for_s, Change::Die, Change::Return),
            EventKind::Slow => self.apply_and_revert(
                event,
                for_s,
                Change::Slow(event.times.unwrap_or(1.0)),
                Change::Slow(1.0),
            ),
            EventKind::Faults => {
                let faults = event.faults.unwrap_or_default();
                self.apply_and_revert(
                    event,
                    for_s,
                    Change::Faults(faults),
                    Change::Faults(Faults::default()),
                );
            }
            EventKind::Drain => {
                for (emulated, endpoint) in self.targeted_endpoints(event) {
                    self.drain(&emulated, endpoint, for_s);
                }
            }
            EventKind::Replace => {
                for (emulated, endpoint) in self.targeted_endpoints(event) {
                    self.replace(&emulated, endpoint);
                    self.drain(&emulated, endpoint, for_s);
                }
            }
        }
    }

    fn schedule(&self, seconds: f64, action: impl FnOnce() + 'static) {
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            action();
        });
    }

    /// Applies `now` to the endpoints of an event, and `then` to the same endpoints after `for_s`.
    fn apply_and_revert(&self, event: &Event, for_s: f64, now: Change, then: Change) {
        let endpoints = self.targeted_endpoints(event);
        endpoints.iter().for_each(|(emulated, endpoint)| emulated.change(*endpoint, now));
        self.schedule(for_s, move || {
            endpoints.iter().for_each(|(emulated, endpoint)| emulated.change(*endpoint, then))
        });
    }

    fn cut(&self, event: &Event, for_s: f64) {
        let Some(virt) = self.virt.clone() else { return };
        let mut cut: Vec<_> =
            event.sender.map(|sender| virt.address(Role::Sender(sender)).ip()).into_iter().collect();
        for (emulated, endpoint) in self.targeted_endpoints(event) {
            cut.extend(
                self.platform.member((emulated.destination, endpoint)).map(|member| member.address.ip()),
            );
        }
        cut.iter().for_each(|ip| virt.net().set_cut(*ip, true));
        self.schedule(for_s, move || cut.iter().for_each(|ip| virt.net().set_cut(*ip, false)));
    }

    /// Blocks or slows down the link between two senders.
    fn apply_link_event(&self, event: &Event, sender: usize, for_s: f64) {
        let (Some(virt), Some(other)) = (self.virt.clone(), event.other) else { return };
        let ip = |n| virt.address(Role::Sender(n)).ip();
        let (from, to) = (ip(sender), ip(other));
        if event.kind == EventKind::SlowLink {
            virt.net().set_link_delay(from, to, Duration::from_millis(event.late_ms.unwrap_or(0)));
            return self.schedule(for_s, move || virt.net().set_link_delay(from, to, Duration::ZERO));
        }
        let is_bidirectional = !event.one_way;
        let apply = move |virt: &Virtual, blocked| {
            virt.net().set_link_blocked(from, to, blocked);
            if is_bidirectional {
                virt.net().set_link_blocked(to, from, blocked);
            }
        };
        apply(&virt, true);
        self.schedule(for_s, move || apply(&virt, false));
    }

    fn drain(self: &Rc<Self>, emulated: &Rc<EmulatedDestination>, endpoint: usize, for_s: f64) {
        let at = (emulated.destination, endpoint);
        let Some(member) = self.platform.member(at) else { return };
        self.platform.change(Member { phase: "draining", ..member.clone() });
        let (platform, emulated) = (self.platform.clone(), emulated.clone());
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(for_s)).await;
            platform.change(Member { phase: "removed", ..member });
            sleep(REMOVED_ENDPOINT_LIFETIME).await;
            emulated.remove(endpoint);
        });
    }

    fn replace(&self, emulated: &Rc<EmulatedDestination>, old_endpoint: usize) {
        let Some(old) = self.platform.member((emulated.destination, old_endpoint)) else { return };
        let number = self.endpoint_count.replace(self.endpoint_count.get() + 1);
        let role = Role::Endpoint(number);
        match emulated.add(self.hosts.network(role), self.hosts.address(role)) {
            Ok((endpoint, address)) => {
                let (endpoint, id) = ((emulated.destination, endpoint), format!("{}-r{number}", old.kind));
                self.platform.change(Member { endpoint, id, address, phase: "up", ..old });
            }
            Err(e) => self.observations.record_anomaly(format!("a new endpoint of {}: {e}", old.kind)),
        }
    }

    fn move_discovery(self: &Rc<Self>, known: &serde_json::Value) {
        for sender in 0..self.scenario.senders.count {
            match self.open_discovery(sender) {
                Ok(address) => {
                    let (_, old) = std::mem::replace(&mut self.discovery.borrow_mut()[sender], address);
                    tokio::task::spawn_local(async move {
                        sleep(OLD_DISCOVERY_LIFETIME).await;
                        old.abort();
                    });
                }
                Err(reason) => self.observations.record_anomaly(reason),
            }
            self.configure(sender, known);
            self.hosts.signal(sender, Signal::Reload);
        }
    }

    fn record_kill(&self, sender: usize) {
        let now = self.observations.now();
        self.observations.log(format_args!("kill {sender}"));
        if let Some(lifetime) = self.observations.lifetimes.borrow_mut()[sender].last_mut() {
            lifetime.stop_requested.get_or_insert(now);
            lifetime.ended = Some(now);
        }
    }

    fn restart(self: &Rc<Self>, sender: usize, downtime_s: f64) {
        let now = self.observations.now();
        self.observations.log(format_args!("terminate {sender}"));
        if let Some(lifetime) = self.observations.lifetimes.borrow_mut()[sender].last_mut() {
            lifetime.stop_requested.get_or_insert(now);
        }
        self.is_restarting.borrow_mut()[sender] = true;
        self.hosts.signal(sender, Signal::Terminate);
        let runner = self.clone();
        tokio::task::spawn_local(async move {
            let kill_at = Instant::now() + TERMINATION_GRACE;
            while runner.hosts.exit_reason(sender).is_none() && Instant::now() < kill_at {
                sleep(Duration::from_millis(10)).await;
            }
            if let Some(reason) = runner.hosts.exit_reason(sender).filter(|reason| !reason.is_empty())
                && let Some(lifetime) = runner.observations.lifetimes.borrow_mut()[sender].last_mut()
            {
                lifetime.crashed = Some(reason);
            }
            runner.record_kill(sender);
            runner.hosts.kill(sender);
            runner.restart_later(sender, downtime_s);
        });
    }
}
