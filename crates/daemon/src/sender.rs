//! One real sender: its parts, its start and its end.

use crate::calls::{Calls, End};
use crate::clients::accept_queue::AcceptQueue;
use crate::clients::admission::{Admission, FRONT_DRAIN_TIME};
use crate::clients::inbound::Inbound;
use crate::copies::service::ReplicationService;
use crate::decision_loop::{Components, DecisionLoop};
use crate::handover::protocol::{ForwardResult, Frame, Next, State, after_silence, told};
use crate::handover::successor::Successor;
use crate::handover::transport::{self, Ends, Found};
use crate::input::Input;
use crate::operators::admin::{self, Admin, Shown};
use crate::operators::flight::Flight;
use crate::platform::discovery::Discovery;
use crate::platform::peers::Peers;
use crate::platform::reports::Reports;
use crate::platform::zone_monitor::ZoneMonitor;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::settings::active::{self, ActiveSettings};
use crate::settings::config::Config;
use crate::settings::descriptors::DescriptorBudget;
use crate::settings::operator::{self, OperatorSettings};
use crate::startup;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, OpenMessage};
use crate::state::pending_writes;
use crate::state::storage;
use notchpoint_policy::{MessageId, Micros};
use notchpoint_seam::{Clock, ConfigSource, Disk, Environment, Listener, Network, Signal};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::pending;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// After SIGTERM: until then calls are started: what starts later may not end in time, and may then not be
/// repeated.
const SENDING: Duration = Duration::from_millis(2_200);
/// Then the process ends, whatever is still out.
const LAST: Duration = Duration::from_millis(3_300);
/// For so long nobody has been inside: the queue of connections is empty too.
const QUEUE: Duration = Duration::from_millis(50);
/// How often it is looked whether all has ended.
const LOOK: Duration = Duration::from_millis(10);

/// Senders that keep copies know this one within this, or it begins without them: until they do, it promises
/// nothing.
const KNOWN: Duration = Duration::from_secs(1);
const KNOWN_AGAIN: Duration = Duration::from_millis(100);
/// The last word to the new process is written within this.
const WRITTEN: Duration = Duration::from_millis(200);
/// A configuration that could not be read is tried again after this.
const READ_AGAIN: Duration = Duration::from_millis(100);
/// The place where the next process asks is tried again after this.
const PLACE_AGAIN: Duration = Duration::from_secs(1);
/// Mistakes in a configuration that are told one by one.
const MISTAKES: usize = 20;

pub type Failure = Box<dyn std::error::Error>;

/// What a sender needs, from the environment that the platform gives it.
///
/// # Errors
/// A variable is missing, or signals cannot be watched.
pub fn surroundings() -> Result<Environment, Failure> {
    let variable =
        |name: &str| std::env::var_os(name).map(PathBuf::from).ok_or_else(|| format!("{name} is not set"));
    let within = std::env::var_os("TMPDIR").map(PathBuf::from);
    let (state, config) = (variable("BALANCER_STATE")?, variable("BALANCER_CONFIG")?);
    // Before anything else is opened: a number that is free by mistake is not taken for the socket.
    let accept = match std::env::var("BALANCER_ACCEPT_FD").ok().filter(|n| !n.is_empty()) {
        Some(number) => Some(
            (number.parse().map_err(|e: std::num::ParseIntError| e.to_string()))
                .and_then(|n| notchpoint_seam::system::inherited_listener(n).map_err(|e| e.to_string()))
                .map_err(|e| format!("BALANCER_ACCEPT_FD: {number} is no listening socket: {e}"))?,
        ),
        None => None,
    };
    let world = notchpoint_seam::system::environment(&state, config, within)?;
    let admin = std::env::var("BALANCER_ADMIN_ADDR").ok().filter(|a| !a.is_empty());
    let admin = admin.map(|a| a.parse().map_err(|e| format!("BALANCER_ADMIN_ADDR: {a}: {e}"))).transpose()?;
    Ok(Environment { admin_addr: admin, client_listener: accept, ..world })
}

/// Runs one sender until it is told to end. It belongs inside a `LocalSet`.
///
/// # Errors
/// Why it could not start.
pub async fn run(world: Environment, operator: OperatorSettings) -> Result<(), Failure> {
    let Environment { net, clock, disk, signals, config: source, admin_addr, client_listener: accept } =
        world;
    let operators = Rc::new(Admin::default());
    let told = Rc::new(Told { operator: operator.clone(), ..Told::default() });
    let source = Rc::new(source);
    tokio::task::spawn_local(told.clone().heed(signals, source.clone()));
    let trouble = RateLimitedWarning::default();
    let fixed = Fixed { net, clock, disk, accept, operator, operators, told, trouble };
    let own = match fixed.patiently("the configuration", || source()).await {
        Ok(None) => return Ok(()),
        Ok(Some(text)) => crate::settings::config::read(&text).map(|c| (c, text)).map_err(Failure::from),
        Err(why) => Err(why.into()),
    };
    // Before anything else: operators are told that it starts while it does.
    let mut admin = admin_addr.or(own.as_ref().ok().and_then(|(config, _)| config.admin_addr));
    let known = admin.is_some();
    if let Some(address) = admin
        && !fixed.listen_for_operators(address).await?
    {
        return Ok(());
    }
    let mut before = Before::Nobody;
    if fixed.accept.is_some() {
        before = fixed.ask().await;
    }
    let mut own = Some(own);
    loop {
        let (config, text) = match (&before, own.take()) {
            // What is in force there; whether the file says something else is looked at afterwards.
            (Before::Given(state, _), _) => (crate::settings::config::read(&state.text)?, state.text.clone()),
            (_, Some(own)) => own?,
            (_, None) => {
                let text = fixed.told.text();
                (crate::settings::config::read(&text)?, text)
            }
        };
        // Where the file cannot be read just now, the address stands in what the other process had in force.
        if let Some(address) = config.admin_addr.filter(|_| !known && admin.is_none()) {
            admin = Some(address);
            if !fixed.listen_for_operators(address).await? {
                return Ok(());
            }
        }
        match fixed.live(config, text, before, &source).await? {
            Some(next) => before = next,
            None => return Ok(()),
        }
    }
}

/// Who served before.
enum Before {
    Nobody,
    /// Another process, which gave its state.
    Given(Box<State>, Ends),
    /// What is left of this process's own earlier life, beside the folder.
    Rest(Ends, Left),
}

/// Messages of which something is still open in an earlier life of this process.
#[derive(Default)]
struct Left {
    /// A call is out there.
    out: BTreeSet<MessageId>,
    /// Their clients have not heard yet that they were taken on.
    unheard: BTreeSet<MessageId>,
}

/// What lasts as long as the process, however often it takes over.
struct Fixed {
    net: Rc<dyn Network>,
    clock: Rc<dyn Clock>,
    disk: Rc<dyn Disk>,
    accept: Option<Rc<dyn Listener>>,
    operator: OperatorSettings,
    operators: Rc<Admin>,
    told: Rc<Told>,
    /// What fails while it starts.
    trouble: RateLimitedWarning,
}

impl Fixed {
    /// Does one step of the start; gives nothing where the process is told to end meanwhile.
    async fn patiently<T>(&self, what: &str, step: impl FnMut() -> io::Result<T>) -> io::Result<Option<T>> {
        startup::patiently(&self.trouble, &self.told.terminate, what, step).await
    }

    /// Opens the operators' address. Whether to go on: not where the process is told to end meanwhile.
    async fn listen_for_operators(&self, address: SocketAddr) -> Result<bool, Failure> {
        let what = format!("operators' address (admin_addr) {address}");
        let opened = self.patiently(&what, || self.net.listen(address)).await;
        let Some(listener) = opened.map_err(|e| format!("{what}: {e}"))? else { return Ok(false) };
        tracing::info!("operators at {}", listener.local_addr()?);
        tokio::task::spawn_local(admin::serve(self.operators.clone(), listener));
        Ok(true)
    }

    /// Opens the place where the next process asks this one to hand over; tried again where it cannot be had.
    fn place_for_hand_over(&self) -> Option<Rc<dyn Listener>> {
        let place = self.net.listen_local(transport::PLACE);
        place.inspect_err(|e| self.trouble.warn(&format_args!("no hand-over is possible yet: {e}"))).ok()
    }

    /// Asks who serves to hand over.
    async fn ask(&self) -> Before {
        match transport::ask(&*self.net).await {
            Found::Nobody => Before::Nobody,
            Found::Refused(why) => {
                tracing::warn!("hand-over: {why}; waiting for the store");
                Before::Nobody
            }
            Found::State(state, ends) => {
                tracing::info!("hand-over: {} attempts are out there", state.out.len());
                Before::Given(state, ends)
            }
        }
    }

    /// Opens the store. Where processes may take turns it waits for the one that has it, and goes on asking
    /// that one to hand over; none where this one was told to end meanwhile.
    async fn open(
        &self,
        options: notchpoint_store::Options,
        before: &mut Before,
    ) -> Result<Option<(Journal, notchpoint_store::Notes)>, Failure> {
        let (mut said, begun) = (false, Instant::now());
        loop {
            match Journal::open(self.disk.clone(), self.clock.clone(), options.clone()) {
                Ok(opened) => return Ok(Some(opened)),
                Err(notchpoint_store::Error::Io(e))
                    if e.kind() == ErrorKind::WouldBlock && self.accept.is_some() =>
                {
                    if !std::mem::replace(&mut said, true) {
                        tracing::info!("waiting: {e}");
                    }
                }
                Err(notchpoint_store::Error::Io(e)) if startup::may_pass(&e, begun) => {
                    self.trouble.warn(&format_args!("the folder cannot be opened yet: {e}"));
                }
                Err(e) => return Err(storage::describe_open_error(e)),
            }
            if !startup::rest(&self.told.terminate).await {
                return Ok(None);
            }
            // One that had given its store away and finds yet another owner asks for nothing: it would take
            // the store from a process that is newer.
            if matches!(before, Before::Nobody) {
                *before = self.ask().await;
            }
        }
    }

    /// Takes up copies, where operators want any, and waits until others know this sender.
    async fn copies(
        &self,
        config: &Config,
        journal: &Rc<RefCell<Journal>>,
        durability: &Rc<DurabilityTracker>,
        terms: &Rc<RefCell<ActiveSettings>>,
        inputs: &UnboundedSender<Input>,
        before: &Before,
    ) -> Result<Option<Rc<ReplicationService>>, Failure> {
        let Some(set) = self.operator.copies.as_ref().filter(|c| c.count > 0) else { return Ok(None) };
        let careful = |open: &OpenMessage| terms.borrow().is_unsafe_to_repeat(&open.class);
        let (net, journal, durability) = (self.net.clone(), journal.clone(), durability.clone());
        let copies =
            ReplicationService::open(set, config, net, journal, durability, inputs.clone(), careful)?;
        copies.listen(set.listen)?;
        // Where clients wait already, they wait no longer than for a slow disk.
        let taking_over = !matches!(before, Before::Nobody);
        copies.wait_until_ready(if taking_over { KNOWN_AGAIN } else { KNOWN }).await;
        Ok(Some(copies))
    }

    /// How long ago nobody waited at the clients' socket. One that is opened here has nobody yet; of one that
    /// the platform holds only the process that served before may know.
    fn queue_seen_empty(&self, before: &Before, journal: &Journal) -> Option<Duration> {
        match before {
            _ if self.accept.is_none() => Some(Duration::ZERO),
            Before::Given(state, _) => {
                let gap = journal.unix_now().saturating_sub(state.unix);
                state.queue_seen_empty.map(|ago| Duration::from_micros(ago + gap))
            }
            Before::Nobody | Before::Rest(..) => None,
        }
    }

    /// One life: from the store's opening until the end, or until another process that had taken over falls
    /// silent.
    async fn live(
        &self,
        mut config: Config,
        mut text: String,
        mut before: Before,
        source: &Rc<ConfigSource>,
    ) -> Result<Option<Before>, Failure> {
        let options = storage::options(&config, &self.operator.store);
        let Some((journal, notes)) = self.open(options, &mut before).await? else { return Ok(None) };
        tracing::info!("journal: {notes}");
        if let Before::Given(state, ends) = &before {
            let _ = ends.to.send(Frame::Owned);
            (config, text) = (crate::settings::config::read(&state.text)?, state.text.clone());
        }
        let descriptors = DescriptorBudget::new(&config);
        if let Some(doubt) = descriptors.warning(&config) {
            tracing::warn!("{doubt}: {}", descriptors.describe(&config));
        }
        self.operators.limit(descriptors.operator_connections);
        let journal = Rc::new(RefCell::new(journal));
        let terms = Rc::new(RefCell::new(terms(&config, &before, &mut journal.borrow_mut())));
        let durability = DurabilityTracker::new(journal.clone());
        tokio::task::spawn_local(pending_writes::retry_pending_writes(Rc::downgrade(&journal)));
        let (inputs, received) = unbounded_channel();
        let copies = self.copies(&config, &journal, &durability, &terms, &inputs, &before).await?;
        let calls = Calls::new(
            &config,
            self.net.clone(),
            journal.clone(),
            durability.clone(),
            copies.clone(),
            inputs.clone(),
        );
        let reports = Reports::new(config.discovery_addr, self.net.clone(), journal.clone());
        let revision = match &before {
            Before::Given(state, _) => state.revision,
            _ => config.initial_list.revision,
        };
        let discovery = Discovery::new(config.discovery_addr, revision, self.net.clone(), inputs.clone());
        let discovery = Rc::new(discovery);
        let flight = Flight::open(&self.operator.recorder, &config, self.clock.clone())?;
        flight.watch_panics();
        let admission = Rc::new(Admission::default());
        let zone_monitor = ZoneMonitor::from_settings(&self.operator.zones, &config, &inputs);
        self.told.begin(&text, &inputs, &flight, zone_monitor.clone());
        let peers = match config.peer_listen_addr.filter(|_| config.settings.may_send_notes) {
            Some(address) => {
                let bind = || Peers::bind(address, &config, &*self.net, inputs.clone(), zone_monitor.clone());
                match self.patiently("address for notes", bind).await? {
                    Some(peers) => Some(peers),
                    None => return Ok(None),
                }
            }
            None => None,
        };
        if let Some(zone_monitor) = &zone_monitor {
            calls.watched_by(zone_monitor.clone());
            zone_monitor.start(peers.as_ref().map(Peers::note_sender));
        }
        let parts = Components {
            flight,
            journal: journal.clone(),
            terms: terms.clone(),
            calls: calls.clone(),
            copies: copies.clone(),
            reports: reports.clone(),
            discovery: discovery.clone(),
            peers,
            zone_monitor: zone_monitor.clone(),
            admission: admission.clone(),
            inputs: received,
        };
        let inbound = Rc::new(Inbound {
            max_connections: crate::clients::inbound::max_connections(&config),
            max_body_bytes: crate::clients::inbound::max_body_bytes(&config),
            body_bytes: Cell::new(0),
            active_settings: terms,
            journal: journal.clone(),
            durability: durability.clone(),
            copies: copies.clone(),
            calls: calls.clone(),
            inputs: inputs.clone(),
            admission: admission.clone(),
            successor: RefCell::default(),
            unanswered: RefCell::default(),
            accept_queue: RefCell::new(AcceptQueue::new(self.queue_seen_empty(&before, &journal.borrow()))),
            accepting_since: Instant::now(),
            is_queue_polled: Cell::new(false),
            first_stream: RefCell::default(),
        });
        let mut node = match before {
            Before::Given(mut state, ends) => {
                let gap = journal.borrow().unix_now().saturating_sub(state.unix);
                state.grow_older(gap);
                calls.adopt(&state.out, &state.waits, ends.to.clone());
                tokio::task::spawn_local(inherit(inbound.clone(), ends, BTreeSet::new()));
                // One that is silent: the watch is begun anew, from where the other's had come.
                discovery.watch();
                DecisionLoop::continued(&config, *state, parts)
            }
            Before::Rest(ends, left) => {
                calls.adopt(&[], &[], ends.to.clone());
                tokio::task::spawn_local(inherit(inbound.clone(), ends, left.unheard.clone()));
                DecisionLoop::new(&config, &text, (left.out, left.unheard), parts)?
            }
            Before::Nobody => DecisionLoop::new(&config, &text, Default::default(), parts)?,
        };
        // What was left open is taken up: only now is the sender ready.
        let listener = match &self.accept {
            Some(listener) => listener.clone(),
            None => {
                let listen = || self.net.listen(config.listen_addr);
                match self.patiently("clients' address", listen).await? {
                    Some(listener) => listener,
                    None => return Ok(None),
                }
            }
        };
        crate::clients::inbound::poll_queue_first(&inbound, &*listener).await;
        tracing::info!("listening on {}", listener.local_addr()?);
        let accepting = tokio::task::spawn_local(crate::clients::inbound::serve(inbound.clone(), listener));
        let watched = admission.clone();
        let watching = tokio::task::spawn_local(async move { watched.close_idle_after_drain().await });
        admission.start();
        let told_of = Shown {
            copies: copies.clone(),
            zone_monitor: zone_monitor.clone(),
            reasons: calls.reasons.clone(),
        };
        self.operators.open(&config.name, &admission, &durability, told_of, &inputs);
        self.told.look_again(source);
        let mut asked = None;
        loop {
            if self.accept.is_some() && asked.is_none() {
                asked = self.place_for_hand_over();
            }
            let asking = async {
                match &asked {
                    Some(listener) => return Some(transport::asked(&**listener).await),
                    None if self.accept.is_some() => sleep(PLACE_AGAIN).await,
                    None => pending().await,
                }
                None
            };
            let stream = tokio::select! {
                biased;
                () = node.run() => break,
                () = self.told.terminate.notified() => break,
                stream = asking => stream,
            };
            let Some(stream) = stream else { continue };
            // From here to the frames nothing waits: no event falls between the two owners.
            let released = journal.borrow_mut().release();
            if let Err(why) = released {
                tracing::warn!("hand-over: the store cannot be given up: {why}");
                transport::refuse(&*stream, &why.to_string()).await;
                continue;
            }
            accepting.abort();
            watching.abort();
            drop(asked);
            copies.iter().for_each(|c| c.stop());
            zone_monitor.iter().for_each(|z| z.stop());
            admission.is_handed_over.set(true);
            let (mut state, received) = node.give();
            state.queue_seen_empty = inbound.queue_seen_empty().map(|ago| ago.as_micros() as Micros);
            let (ends, written) = transport::give(stream, state.clone());
            *inbound.successor.borrow_mut() = Some(Rc::new(Successor::new(ends.to.clone())));
            admission.close_signal.set();
            self.operators.close();
            tracing::info!("handed over; {} calls end here", calls.out());
            let rest = Rest { inbound, received, told: Vec::new() };
            return Ok(rest.end(&self.told.terminate, state, ends, written).await);
        }
        let told = Instant::now();
        admission.is_shutting_down.set(true);
        calls.start_until(told + SENDING);
        let _ = timeout_at(told + FRONT_DRAIN_TIME, node.run()).await;
        // Idle connections end between two requests; one that crosses this comes again on a new connection.
        admission.close_signal.set();
        while told.elapsed() < SENDING && !node.is_done() {
            let _ = timeout_at(Instant::now() + LOOK, node.run()).await;
        }
        // No decision is made any more. What ends from here on is recorded, and the rest is for the next
        // process.
        // Who has come in is answered first: a connection that ends on a request loses it. Those that wait in
        // the system's queue come in as others leave.
        let owing = || journal.borrow().has_pending_writes();
        let open =
            || calls.out() > 0 || !reports.is_empty() || admission.open_connections.get() > 0 || owing();
        let mut quiet = Instant::now();
        while told.elapsed() < LAST && quiet.elapsed() < QUEUE {
            if open() {
                quiet = Instant::now();
            }
            sleep(LOOK).await;
        }
        Ok(None)
    }
}

/// The terms that a life begins with.
fn terms(config: &Config, before: &Before, journal: &mut Journal) -> ActiveSettings {
    if let Before::Given(state, _) = before {
        return ActiveSettings::from_predecessor(config, state.sender.settings(), &state.classes);
    }
    let (terms, changes) = {
        let used = journal.iter().map(|(_, m)| m.class.as_str()).collect();
        ActiveSettings::new(config, journal.stored_classes(), &used)
    };
    // Without room for them messages would only lose their class to a change of it and a restart at once.
    if let Err(why) = journal.update_classes(&changes) {
        tracing::warn!("journal: {why}; classes are known for this process only");
    }
    let deadline = |tag: &str| Some(terms.settings.classes.get(terms.classes.index_of(tag)?)?.deadline);
    journal.bound_deadlines(deadline);
    terms
}

/// Hears what the process before this one still tells, until it has ended. `unheard` may have been recorded
/// by one in between, which did not live to say so.
async fn inherit(inbound: Rc<Inbound>, ends: Ends, unheard: BTreeSet<MessageId>) {
    let Ends { to, mut from } = ends;
    // What was recorded for clients that have not heard yet; none once nobody can tell them any more.
    let taken = Rc::new(RefCell::new(Some(BTreeSet::<MessageId>::new())));
    let forget = |id: MessageId| taken.borrow_mut().as_mut().is_some_and(|ids| ids.remove(&id));
    while let Some(frame) = from.recv().await {
        match frame {
            Frame::Ended { id, attempt, outcome, over, allowance } => {
                inbound.calls.adopted_ended(id, attempt, End { outcome, over, allowance });
            }
            Frame::ForwardRequest { number, handed } => {
                let (inbound, to, recorded, id) = (inbound.clone(), to.clone(), taken.clone(), handed.id);
                let before = unheard.contains(&id);
                tokio::task::spawn_local(async move {
                    let taken = crate::clients::inbound::record_handed_over(&inbound, handed, before).await;
                    if matches!(taken, ForwardResult::Recorded { .. }) {
                        match &mut *recorded.borrow_mut() {
                            Some(ids) => _ = ids.insert(id),
                            // Who asked has ended meanwhile, and its client with it.
                            None => _ = inbound.journal.borrow_mut().record_end(id),
                        }
                    }
                    let _ = to.send(Frame::Answer { number, taken });
                });
            }
            Frame::Acknowledged(accepted) => {
                forget(accepted.id);
                let _ = inbound.inputs.send(Input::Acknowledged(accepted));
            }
            Frame::Unacknowledged(id) => {
                forget(id);
                inbound.journal.borrow_mut().record_end(id);
                let _ = inbound.inputs.send(Input::Unacknowledged(id));
            }
            other => tracing::warn!("hand-over: {other:?} came from the process before"),
        }
    }
    tracing::info!("hand-over: the process before has ended");
    inbound.calls.orphan();
    let taken = taken.take().unwrap_or_default();
    let _ = inbound.inputs.send(Input::PredecessorEnded(taken));
}

/// What is left of a life whose store and decisions another process has.
struct Rest {
    inbound: Rc<Inbound>,
    received: UnboundedReceiver<Input>,
    /// What was told to an owner that has not said yet that it is one.
    told: Vec<Frame>,
}

impl Rest {
    /// Nothing is open here any more, nor at a process before this one, whose word passes through here.
    fn is_done(&self) -> bool {
        let calls = &self.inbound.calls;
        // A request whose client has gone meanwhile is recorded over there, and withdrawn by a word from
        // here.
        let waits = self.inbound.successor.borrow().as_ref().is_some_and(|s| s.is_asked());
        let open =
            calls.out() > 0 || calls.attempts_out() > 0 || self.inbound.admission.open_connections.get() > 0;
        !open && !waits && !calls.has_before()
    }

    /// Tells the new process how things end here. Gives who served before for a next life, where the new
    /// process falls silent.
    async fn end(
        mut self,
        terminate: &Notify,
        state: State,
        ends: Ends,
        written: JoinHandle<()>,
    ) -> Option<Before> {
        let Ends { to, mut from } = ends;
        let (mut owned, mut ending) = (false, None::<Instant>);
        let next = loop {
            if ending.is_some_and(|since| since.elapsed() >= LAST) || (owned && self.is_done()) {
                break Next::Leave;
            }
            tokio::select! {
                biased;
                frame = from.recv() => match frame {
                    Some(Frame::Owned) => {
                        owned = true;
                        self.told.clear();
                    }
                    Some(frame) => self.heed(frame),
                    None => break after_silence(owned, ending.is_some()),
                },
                Some(input) = self.received.recv() => {
                    if let Some(frame) = told(input) {
                        if !owned {
                            self.told.push(frame.clone());
                        }
                        let _ = to.send(frame);
                    }
                }
                () = terminate.notified(), if ending.is_none() => ending = Some(Instant::now()),
                () = sleep(LOOK) => {}
            }
        };
        if next == Next::Leave {
            while let Ok(input) = self.received.try_recv() {
                told(input).into_iter().for_each(|frame| drop(to.send(frame)));
            }
            // Nothing is told any more: the writer ends once all of it is written.
            self.inbound.successor.borrow_mut().take().inspect(|s| s.gone());
            drop((to, self));
            let _ = timeout(WRITTEN, written).await;
            return None;
        }
        tracing::warn!("hand-over: the new process has ended; this one serves again ({next:?})");
        let (near, far) = transport::pair();
        self.told.drain(..).for_each(|frame| drop(near.to.send(frame)));
        let out = state.out.iter().map(|o| o.0).collect();
        let left = Left { out, unheard: self.inbound.unacknowledged() };
        if let Some(successor) = &*self.inbound.successor.borrow() {
            successor.replaced_by(near.to.clone());
        }
        tokio::task::spawn_local(self.linger(near));
        Some(if next == Next::GoOn { Before::Given(Box::new(state), far) } else { Before::Rest(far, left) })
    }

    /// The same towards a next life of this process.
    async fn linger(mut self, ends: Ends) {
        let Ends { to, mut from } = ends;
        while !self.is_done() {
            tokio::select! {
                biased;
                Some(frame) = from.recv() => self.heed(frame),
                Some(input) = self.received.recv() => {
                    told(input).into_iter().for_each(|frame| drop(to.send(frame)));
                }
                () = sleep(LOOK) => {}
            }
        }
        while let Ok(input) = self.received.try_recv() {
            told(input).into_iter().for_each(|frame| drop(to.send(frame)));
        }
        self.inbound.successor.borrow_mut().take();
    }

    fn heed(&self, frame: Frame) {
        match frame {
            Frame::Cancel { id, attempt } => self.inbound.calls.cancel(id, attempt),
            Frame::Answer { number, taken } => {
                if let Some(successor) = &*self.inbound.successor.borrow() {
                    successor.answered(number, taken);
                }
            }
            _ => {}
        }
    }
}

/// What signals are about.
#[derive(Default)]
struct Told {
    /// The operator's file as it was at the start.
    operator: OperatorSettings,
    terminate: Notify,
    /// The configuration could not be read when it was to be, and is tried again.
    unread: Cell<bool>,
    life: RefCell<Option<Life>>,
}

/// What signals change in a life of this process.
struct Life {
    /// The configuration's text.
    in_force: String,
    inputs: UnboundedSender<Input>,
    flight: Rc<Flight>,
    zone_monitor: Option<Rc<ZoneMonitor>>,
}

impl Told {
    fn begin(
        &self,
        text: &str,
        inputs: &UnboundedSender<Input>,
        flight: &Rc<Flight>,
        zone_monitor: Option<Rc<ZoneMonitor>>,
    ) {
        let (in_force, inputs, flight) = (text.to_owned(), inputs.clone(), flight.clone());
        let life = Life { in_force, inputs, flight, zone_monitor };
        *self.life.borrow_mut() = Some(life);
    }

    /// The configuration in force.
    fn text(&self) -> String {
        self.life.borrow().as_ref().map_or(String::new(), |l| l.in_force.clone())
    }

    async fn heed(self: Rc<Self>, mut signals: Receiver<Signal>, source: Rc<ConfigSource>) {
        while let Some(signal) = signals.recv().await {
            match signal {
                Signal::Reload => {
                    self.reload_operator();
                    self.reload(&source);
                }
                Signal::Terminate => self.terminate.notify_one(),
                Signal::Dump => self.dump(),
            }
        }
    }

    /// What was in force where this process took over may not be what the file says by now.
    fn look_again(self: &Rc<Self>, source: &Rc<ConfigSource>) {
        let same = source().is_ok_and(|text| text == self.text());
        if !same {
            self.reload(source);
        }
    }

    /// Of the operator's file, what is said of zones is taken up anew. One with a mistake changes nothing.
    fn reload_operator(&self) {
        let Some(file) = &self.operator.file else { return };
        let new = match operator::read(file) {
            Ok(new) => new,
            Err(why) => return tracing::warn!("the operator's file stays as it was: {why}"),
        };
        let waits = self.operator.changes_needing_restart(&new);
        if !waits.is_empty() {
            tracing::warn!("operator's file: some of it waits for the next start: {}", waits.join(", "));
        }
        if let Some(zone_monitor) = self.life.borrow().as_ref().and_then(|l| l.zone_monitor.as_ref()) {
            zone_monitor.update_operator_settings(&new.zones);
        }
    }

    /// The configuration is read anew, checked whole, and handed to the node as one step. One with a mistake
    /// changes nothing; one that cannot be read is tried again.
    fn reload(self: &Rc<Self>, source: &Rc<ConfigSource>) {
        let mut life = self.life.borrow_mut();
        // While this process starts: it reads the file itself.
        let Some(life) = life.as_mut() else { return };
        let text = match source() {
            Ok(text) => text,
            Err(why) => {
                if !self.unread.replace(true) {
                    tracing::warn!("the configuration stays as it was until it can be read: {why}");
                    tokio::task::spawn_local(self.clone().reload_until_read(source.clone()));
                }
                return;
            }
        };
        self.unread.set(false);
        match active::read_replacement(&text, &life.in_force) {
            Ok(config) => {
                life.in_force.clone_from(&text);
                let _ = life.inputs.send(Input::ConfigurationChanged(Box::new(config), text));
            }
            Err(wrong) => {
                tracing::warn!("the configuration stays as it was; mistakes in the new one: {}", wrong.len());
                wrong.iter().take(MISTAKES).for_each(|w| tracing::warn!("configuration: {w}"));
            }
        }
    }

    async fn reload_until_read(self: Rc<Self>, source: Rc<ConfigSource>) {
        while self.unread.get() {
            sleep(READ_AGAIN).await;
            self.reload(&source);
        }
    }

    /// What is recorded is written to a file of its own.
    fn dump(&self) {
        let life = self.life.borrow();
        let Some(life) = life.as_ref() else { return };
        match life.flight.dump() {
            Ok(Some(path)) => tracing::info!("recording written to {}", path.display()),
            Ok(None) => tracing::warn!("nothing is recorded: the recorder is off"),
            Err(why) => tracing::warn!("the recording could not be written: {why}"),
        }
    }
}
