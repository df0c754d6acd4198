//! One run of a scenario: builds what stands, plays what happens, and gives what was seen.

use crate::arrivals::{Arrival, arrivals};
use crate::book::{Book, Life, Order};
use crate::client::{Clients, mix};
use crate::config::{self, Addresses};
use crate::endpoint::Shell;
use crate::hosts::{Hosts, Options, Who};
use crate::live::Live;
use crate::platform::{Member, Platform};
use crate::scenario::{Do, Event, Mode, Scenario};
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

/// Senders have so long to be ready before clients come: the run's zero lies so long behind the start of
/// its world.
pub const LEAD: Duration = Duration::from_secs(2);
/// After the last deadline: notices may be so late, and a little.
const TAIL: Micros = 1_000_000;
/// How often it is looked how much waits at partners.
const SAMPLE: Micros = 250_000;
/// From SIGTERM to SIGKILL, and from the end of a process to its next start.
const GRACE: Duration = Duration::from_millis(3_700);
const DOWN: f64 = 0.6;
/// An endpoint that was removed from the list ends so long after that.
const LINGER: Duration = Duration::from_secs(2);
/// An old place of discovery takes no new connection and closes the open ones after this.
const MOVED: Duration = Duration::from_millis(1_500);
/// The watchdog ends a run in which nothing has moved for so long by the wall clock.
const STUCK: Duration = Duration::from_secs(30);

/// What was seen in a run.
pub struct Outcome {
    /// What was played.
    pub scenario: Rc<Scenario>,
    /// With which chance.
    pub seed: u64,
    /// What those beside the senders saw.
    pub book: Rc<Book>,
    /// What each destination saw, in their order.
    pub ledgers: Vec<Ledger>,
    /// What waited at each destination, by sample: in service, and in queues.
    pub loads: Vec<Vec<(u32, usize)>>,
    /// The event log, to the byte the same for the same scenario and seed in virtual time.
    pub log: String,
    /// Until when it was played.
    pub end: Micros,
    /// It was played on real sockets.
    pub live: bool,
}

/// Plays a scenario in virtual time.
///
/// # Errors
/// What could not be built.
pub fn run(scenario: &Rc<Scenario>, seed: u64, options: &Options) -> Result<Outcome, String> {
    let beats = Arc::new(AtomicU64::new(0));
    let _watchdog = Watchdog::new(beats.clone(), &scenario.name, seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(|e| e.to_string())?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async {
        let s = &scenario.senders;
        let hosts = Virtual::new(scenario, mix(seed, 3), options, beats);
        let play = Play::build(scenario.clone(), seed, hosts.clone(), Some(hosts.clone()), LEAD)?;
        let outcome = play.run().await?;
        for n in 0..s.count {
            if hosts.store(n).over.get() {
                outcome.book.odd(format!("sender {n}: its folder held more than {} MB", s.disk_mb));
            }
        }
        Ok(Outcome { log: outcome.book.take_log(), ..outcome })
    }))
}

/// Plays a scenario on loopback sockets, against real processes of `place`. `look` is called once a second.
///
/// # Errors
/// What could not be built, or is for virtual time only.
pub fn run_live(
    scenario: &Rc<Scenario>,
    seed: u64,
    place: Live,
    strangers: bool,
    look: impl Fn(&Play) + 'static,
) -> Result<Outcome, String> {
    let not = scenario.only_virtual();
    if !not.is_empty() {
        return Err(not.join("\n"));
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async {
        let play = Play::build(scenario.clone(), seed, Rc::new(place), None, LEAD)?;
        play.book.strangers.set(strangers);
        let watched = play.clone();
        tokio::task::spawn_local(async move {
            for second in 0.. {
                sleep_until(watched.book.at(second * 1_000_000)).await;
                look(&watched);
            }
        });
        let outcome = play.run().await?;
        Ok(Outcome { log: outcome.book.take_log(), ..outcome })
    }))
}

/// Ends the process if a sender blocks the only thread there is: virtual time cannot pass then.
struct Watchdog(Arc<AtomicU64>);

const OVER: u64 = u64::MAX;

impl Watchdog {
    fn new(beats: Arc<AtomicU64>, name: &str, seed: u64) -> Self {
        let (watched, name) = (beats.clone(), name.to_owned());
        std::thread::spawn(move || {
            let (mut last, mut since) = (0, std::time::Instant::now());
            loop {
                std::thread::sleep(Duration::from_millis(200));
                let now = watched.load(Ordering::Relaxed);
                if now == OVER {
                    return;
                }
                if now != last {
                    (last, since) = (now, std::time::Instant::now());
                }
                if since.elapsed() > STUCK {
                    eprintln!(
                        "{name}, seed {seed}: BROKEN: a sender blocks its thread; nothing moved for {STUCK:?}"
                    );
                    std::process::exit(3);
                }
            }
        });
        Self(beats)
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.store(OVER, Ordering::Relaxed);
    }
}

/// A run under way.
pub struct Play {
    scenario: Rc<Scenario>,
    seed: u64,
    hosts: Rc<dyn Hosts>,
    /// The same, where the world is in memory.
    virt: Option<Rc<Virtual>>,
    book: Rc<Book>,
    shells: Vec<Rc<Shell>>,
    platform: Rc<Platform>,
    clients: Rc<Clients>,
    /// Endpoints and addresses of discovery that there were in all.
    endpoints: Cell<usize>,
    places: Cell<usize>,
    discovery: RefCell<Vec<(std::net::SocketAddr, tokio::task::AbortHandle)>>,
    loads: RefCell<Vec<Vec<(u32, usize)>>>,
    /// Until when a sender's process is someone's to restart.
    resting: RefCell<Vec<bool>>,
}

impl Play {
    /// Builds all that stands beside the senders.
    ///
    /// # Errors
    /// An address cannot be had.
    pub fn build(
        scenario: Rc<Scenario>,
        seed: u64,
        hosts: Rc<dyn Hosts>,
        virt: Option<Rc<Virtual>>,
        lead: Duration,
    ) -> Result<Rc<Self>, String> {
        let s = &scenario;
        let book = Rc::new(Book::new(s.senders.count, Instant::now() + lead));
        let mut members = Vec::new();
        let mut shells = Vec::new();
        let mut endpoints = 0;
        for (destination, (partner, number)) in s.destinations().into_iter().enumerate() {
            let p = s.partner[partner].get_ref();
            let model = Partner::new(p.is.clone(), 0, mix(seed, 10_000 + destination as u64));
            let shell = Shell::new(destination, model, s, book.clone());
            for n in 0..p.endpoints {
                let who = Who::Endpoint(endpoints);
                endpoints += 1;
                let added = shell.add(hosts.network(who), hosts.address(who));
                let (endpoint, address) = added.map_err(|e| format!("an endpoint of {}: {e}", p.name))?;
                members.push(Member {
                    endpoint: (destination, endpoint),
                    id: format!("{}-{number}-{n}", p.name),
                    address,
                    hall: p.hall_of(n).to_owned(),
                    kind: p.name.clone(),
                    phase: "up",
                    revision: 1,
                });
            }
            tokio::task::spawn_local(shell.clone().drive());
            shells.push(shell);
        }
        let platform = Platform::new(members, book.clone());
        let senders = (0..s.senders.count).map(|n| hosts.address(Who::Sender(n))).collect();
        let net = hosts.network(Who::Clients);
        let clients = Clients::new(net, senders, s.clone(), seed, book.clone());
        let told = clients.clone();
        platform.on_bounced(move |id, wait| told.bounced(id, wait));
        let loads = RefCell::new(vec![Vec::new(); shells.len()]);
        let resting = RefCell::new(vec![false; s.senders.count]);
        let play = Rc::new(Self {
            scenario,
            seed,
            hosts,
            virt,
            book,
            shells,
            platform,
            clients,
            endpoints: Cell::new(endpoints),
            places: Cell::new(0),
            discovery: RefCell::default(),
            loads,
            resting,
        });
        for sender in 0..play.scenario.senders.count {
            let place = play.open_discovery(sender)?;
            play.discovery.borrow_mut().push(place);
        }
        Ok(play)
    }

    /// The book, to look at while it is written.
    pub fn book(&self) -> &Rc<Book> {
        &self.book
    }

    /// What is played.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// The destinations, to look at.
    pub fn shells(&self) -> &[Rc<Shell>] {
        &self.shells
    }

    fn open_discovery(
        &self,
        sender: usize,
    ) -> Result<(std::net::SocketAddr, tokio::task::AbortHandle), String> {
        let who = Who::Platform(self.places.replace(self.places.get() + 1));
        let listener = self.hosts.network(who).listen(self.hosts.address(who));
        let listener = listener.map_err(|e| format!("discovery: {e}"))?;
        let at = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let task = tokio::task::spawn_local(self.platform.clone().serve(sender, listener));
        Ok((at, task.abort_handle()))
    }

    fn configure(&self, sender: usize, known: &serde_json::Value) {
        let s = &self.scenario;
        let addresses = Addresses {
            listen: self.hosts.address(Who::Sender(sender)),
            discovery: self.discovery.borrow()[sender].0,
            peers: self.hosts.peers(sender).filter(|_| s.senders.notes),
        };
        let life = self.book.life(sender);
        let text = config::text(s, sender, life, &addresses, known, self.seed);
        self.hosts.configure(sender, text);
    }

    fn start(self: &Rc<Self>, sender: usize, known: &serde_json::Value) -> Result<(), String> {
        self.configure(sender, known);
        let (started, ready, told, ended, crashed) = (self.book.now(), None, None, None, None);
        self.book.lives.borrow_mut()[sender].push(Life { started, ready, told, ended, crashed });
        self.book.log(format_args!("start {sender}"));
        self.hosts.start(sender)?;
        let play = self.clone();
        let life = self.book.life(sender);
        tokio::task::spawn_local(async move {
            if play.clients.up(sender, Duration::from_secs(30)).await && play.book.life(sender) == life {
                let now = play.book.now();
                play.book.log(format_args!("ready {sender}"));
                if let Some(l) = play.book.lives.borrow_mut()[sender].last_mut() {
                    l.ready = Some(now);
                }
            }
        });
        Ok(())
    }

    /// Plays it to its end.
    ///
    /// # Errors
    /// A sender could not be started, or was not ready in time.
    pub async fn run(self: Rc<Self>) -> Result<Outcome, String> {
        let known = self.platform.list();
        let senders = self.scenario.senders.count;
        for sender in 0..senders {
            self.start(sender, &known)?;
        }
        sleep_until(self.book.at(0)).await;
        for (sender, lives) in self.book.lives.borrow().iter().enumerate() {
            if lives.last().is_none_or(|l| l.ready.is_none()) {
                let why = self.hosts.ended(sender).unwrap_or_default();
                return Err(format!("sender {sender} is not ready in time. {why}"));
            }
        }
        tokio::task::spawn_local(self.clone().arrive());
        tokio::task::spawn_local(self.clone().happen(known));
        tokio::task::spawn_local(self.clone().watch());
        for (n, b) in self.scenario.bad_client.iter().enumerate() {
            self.misbehave(n, b.get_ref());
        }
        let longest = self.scenario.class.iter().map(|c| c.get_ref().deadline_s).fold(0.0, f64::max);
        let end = ((self.scenario.duration_s + longest) * 1e6) as Micros + TAIL;
        sleep_until(self.book.at(end)).await;
        (0..senders).for_each(|n| self.hosts.kill(n));
        let ledgers = self.shells.iter().map(|s| s.model().ledger().clone()).collect();
        Ok(Outcome {
            scenario: self.scenario.clone(),
            seed: self.seed,
            book: self.book.clone(),
            ledgers,
            loads: self.loads.take(),
            log: String::new(),
            end,
            live: self.virt.is_none(),
        })
    }

    async fn arrive(self: Rc<Self>) {
        for a in arrivals(&self.scenario, self.seed) {
            sleep_until(self.book.at(a.at)).await;
            let Arrival { at, class, tenant, destination, body, over_share } = a;
            let order = {
                let mut orders = self.book.orders.borrow_mut();
                let (delivered, handed) = (None, 0);
                orders.push(Order { class, tenant, destination, asked: at, over_share, delivered, handed });
                orders.len() - 1
            };
            tokio::task::spawn_local(self.clients.clone().ask(order, body));
        }
    }

    fn misbehave(&self, n: usize, b: &crate::scenario::BadClient) {
        let until = b.to_s.unwrap_or(self.scenario.duration_s);
        let many = ((until - b.from_s) * b.rate_per_s) as usize;
        for k in 0..many {
            let at = ((b.from_s + k as f64 / b.rate_per_s) * 1e6) as Micros;
            tokio::task::spawn_local(self.clients.clone().misbehave(n * 3 + k, at));
        }
    }

    /// Looks how much waits where, and whether a sender has ended by itself.
    async fn watch(self: Rc<Self>) {
        for n in 0.. {
            sleep_until(self.book.at(n * SAMPLE)).await;
            for (shell, loads) in self.shells.iter().zip(self.loads.borrow_mut().iter_mut()) {
                loads.push(shell.model().load());
            }
            for sender in 0..self.scenario.senders.count {
                if self.resting.borrow()[sender] {
                    continue;
                }
                if let Some(why) = self.hosts.ended(sender) {
                    self.book.log(format_args!("ended {sender} {why}"));
                    let now = self.book.now();
                    if let Some(l) = self.book.lives.borrow_mut()[sender].last_mut() {
                        l.ended = Some(now);
                        l.crashed.get_or_insert(why.clone());
                    }
                    let hangs = why.starts_with("hangs");
                    self.hosts.kill(sender);
                    if hangs {
                        // It would only hang again.
                        self.resting.borrow_mut()[sender] = true;
                    } else {
                        // As any supervisor does.
                        self.restart_later(sender, DOWN);
                    }
                }
            }
        }
    }

    fn restart_later(self: &Rc<Self>, sender: usize, down: f64) {
        self.resting.borrow_mut()[sender] = true;
        let play = self.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(down)).await;
            if !std::mem::replace(&mut play.resting.borrow_mut()[sender], false) {
                // It was ended twice, and has been started since.
                return;
            }
            let known = play.platform.list();
            if let Err(why) = play.start(sender, &known) {
                play.book.odd(format!("sender {sender} did not start again: {why}"));
            }
        });
    }

    async fn happen(self: Rc<Self>, known: serde_json::Value) {
        let mut events: Vec<Event> = self.scenario.event.iter().map(|e| e.get_ref().clone()).collect();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for e in events {
            sleep_until(self.book.at((e.at_s * 1e6) as Micros)).await;
            self.book.log(format_args!("event {:?}", e.what));
            self.event(&e, &known);
        }
    }

    /// The endpoints that an event is about.
    fn endpoints(&self, e: &Event) -> Vec<(Rc<Shell>, usize)> {
        let to = self.scenario.select(e.hall.as_deref(), e.partner.as_deref(), e.destination);
        let of = |d: usize| {
            let shell = self.shells[d].clone();
            let all = shell.endpoints();
            let one = e.endpoint.map_or(all.clone(), |n| all.get(n).copied().into_iter().collect());
            let partner = self.scenario.partner[self.scenario.destinations()[d].0].get_ref();
            let there = |n: &usize| e.hall.as_deref().is_none_or(|h| partner.hall_of(*n) == h);
            one.into_iter().filter(there).map(move |n| (shell.clone(), n)).collect::<Vec<_>>()
        };
        if e.hall.is_none() && e.partner.is_none() {
            Vec::new()
        } else {
            to.into_iter().flat_map(of).collect()
        }
    }

    fn event(self: &Rc<Self>, e: &Event, known: &serde_json::Value) {
        let for_s = e.for_s.unwrap_or(0.0);
        let span = (for_s * 1e6) as Micros;
        let sender = e.sender.unwrap_or(0);
        match e.what {
            Do::Discovery => {
                let late = e.late_ms.unwrap_or(0) * 1_000;
                self.platform.fail(e.mode.unwrap_or(Mode::Broken), span, late);
            }
            Do::MoveDiscovery => self.move_discovery(known),
            Do::Kill => {
                self.end_life(sender);
                self.hosts.kill(sender);
                self.restart_later(sender, e.for_s.unwrap_or(DOWN));
            }
            Do::Lose => {
                self.end_life(sender);
                self.hosts.kill(sender);
                if let Some(virt) = &self.virt {
                    virt.lose(sender);
                }
                self.restart_later(sender, e.for_s.unwrap_or(DOWN));
            }
            Do::Part | Do::SlowLink => self.part(e, sender, for_s),
            Do::Restart => self.restart(sender, e.for_s.unwrap_or(DOWN)),
            Do::Freeze => {
                self.hosts.freeze(sender, true);
                let play = self.clone();
                self.later(for_s, move || play.hosts.freeze(sender, false));
            }
            Do::DiskFull => {
                if let Some(store) = self.virt.as_ref().map(|v| v.store(sender)) {
                    store.full.set(true);
                    self.later(for_s, move || store.full.set(false));
                }
            }
            Do::Cut => self.cut(e, for_s),
            Do::Silent => self.endpoints(e).iter().for_each(|(s, n)| s.silence(*n, span)),
            Do::Pause => self.endpoints(e).iter().for_each(|(s, n)| s.change(*n, Change::Pause(span))),
            Do::Die => self.twice(e, for_s, Change::Die, Change::Return),
            Do::Slow => self.twice(e, for_s, Change::Slow(e.times.unwrap_or(1.0)), Change::Slow(1.0)),
            Do::Faults => {
                let faults = e.faults.unwrap_or_default();
                self.twice(e, for_s, Change::Faults(faults), Change::Faults(Faults::default()));
            }
            Do::Drain => {
                for (shell, n) in self.endpoints(e) {
                    self.drain(&shell, n, for_s);
                }
            }
            Do::Replace => {
                for (shell, n) in self.endpoints(e) {
                    self.replace(&shell, n);
                    self.drain(&shell, n, for_s);
                }
            }
        }
    }

    fn later(&self, seconds: f64, what: impl FnOnce() + 'static) {
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            what();
        });
    }

    /// Does one thing to endpoints now, and another to the same ones later.
    fn twice(&self, e: &Event, for_s: f64, now: Change, then: Change) {
        let endpoints = self.endpoints(e);
        endpoints.iter().for_each(|(s, n)| s.change(*n, now));
        self.later(for_s, move || endpoints.iter().for_each(|(s, n)| s.change(*n, then)));
    }

    fn cut(&self, e: &Event, for_s: f64) {
        let Some(virt) = self.virt.clone() else { return };
        let mut cut: Vec<_> = e.sender.map(|n| virt.address(Who::Sender(n)).ip()).into_iter().collect();
        for (shell, n) in self.endpoints(e) {
            cut.extend(self.platform.member((shell.destination, n)).map(|m| m.address.ip()));
        }
        cut.iter().for_each(|ip| virt.net().set_cut(*ip, true));
        self.later(for_s, move || cut.iter().for_each(|ip| virt.net().set_cut(*ip, false)));
    }

    /// Something befalls the ways between two senders.
    fn part(&self, e: &Event, sender: usize, for_s: f64) {
        let (Some(virt), Some(other)) = (self.virt.clone(), e.other) else { return };
        let ip = |n| virt.address(Who::Sender(n)).ip();
        let (from, to) = (ip(sender), ip(other));
        if e.what == Do::SlowLink {
            virt.net().set_slow(from, to, Duration::from_millis(e.late_ms.unwrap_or(0)));
            return self.later(for_s, move || virt.net().set_slow(from, to, Duration::ZERO));
        }
        let both = !e.one_way;
        let set = move |virt: &Virtual, parted| {
            virt.net().set_parted(from, to, parted);
            if both {
                virt.net().set_parted(to, from, parted);
            }
        };
        set(&virt, true);
        self.later(for_s, move || set(&virt, false));
    }

    fn drain(self: &Rc<Self>, shell: &Rc<Shell>, n: usize, for_s: f64) {
        let at = (shell.destination, n);
        let Some(member) = self.platform.member(at) else { return };
        self.platform.change(Member { phase: "draining", ..member.clone() });
        let (platform, shell) = (self.platform.clone(), shell.clone());
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(for_s)).await;
            platform.change(Member { phase: "removed", ..member });
            sleep(LINGER).await;
            shell.leave(n);
        });
    }

    fn replace(&self, shell: &Rc<Shell>, n: usize) {
        let Some(old) = self.platform.member((shell.destination, n)) else { return };
        let number = self.endpoints.replace(self.endpoints.get() + 1);
        let who = Who::Endpoint(number);
        match shell.add(self.hosts.network(who), self.hosts.address(who)) {
            Ok((endpoint, address)) => {
                let (endpoint, id) = ((shell.destination, endpoint), format!("{}-r{number}", old.kind));
                self.platform.change(Member { endpoint, id, address, phase: "up", ..old });
            }
            Err(e) => self.book.odd(format!("a new endpoint of {}: {e}", old.kind)),
        }
    }

    fn move_discovery(self: &Rc<Self>, known: &serde_json::Value) {
        for sender in 0..self.scenario.senders.count {
            match self.open_discovery(sender) {
                Ok(place) => {
                    let (_, old) = std::mem::replace(&mut self.discovery.borrow_mut()[sender], place);
                    tokio::task::spawn_local(async move {
                        sleep(MOVED).await;
                        old.abort();
                    });
                }
                Err(why) => self.book.odd(why),
            }
            self.configure(sender, known);
            self.hosts.signal(sender, Signal::Reload);
        }
    }

    fn end_life(&self, sender: usize) {
        let now = self.book.now();
        self.book.log(format_args!("kill {sender}"));
        if let Some(l) = self.book.lives.borrow_mut()[sender].last_mut() {
            l.told.get_or_insert(now);
            l.ended = Some(now);
        }
    }

    fn restart(self: &Rc<Self>, sender: usize, down: f64) {
        let now = self.book.now();
        self.book.log(format_args!("terminate {sender}"));
        if let Some(l) = self.book.lives.borrow_mut()[sender].last_mut() {
            l.told.get_or_insert(now);
        }
        self.resting.borrow_mut()[sender] = true;
        self.hosts.signal(sender, Signal::Terminate);
        let play = self.clone();
        tokio::task::spawn_local(async move {
            let by = Instant::now() + GRACE;
            while play.hosts.ended(sender).is_none() && Instant::now() < by {
                sleep(Duration::from_millis(10)).await;
            }
            if let Some(why) = play.hosts.ended(sender).filter(|why| !why.is_empty())
                && let Some(l) = play.book.lives.borrow_mut()[sender].last_mut()
            {
                l.crashed = Some(why);
            }
            play.end_life(sender);
            play.hosts.kill(sender);
            play.restart_later(sender, down);
        });
    }
}
