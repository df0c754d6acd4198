//! Start, sessions and shutdown of one sender process.

use crate::calls::{AttemptEnd, Calls};
use crate::clients::accept_queue::AcceptQueue;
use crate::clients::admission::{Admission, FRONT_DRAIN_TIME, SHUTDOWN_TIMEOUT};
use crate::clients::inbound::Inbound;
use crate::copies::service::{self as replication, ReplicationService};
use crate::decision_loop::{Components, DecisionLoop};
use crate::descriptor_limits::DescriptorLimits;
use crate::handover::protocol::{ForwardResult, Frame};
use crate::handover::successor::Successor;
use crate::handover::transport::{self, FrameChannel, HandoverReply};
use crate::holds::IdHold;
use crate::input::Input;
use crate::operators::admin::{self, AdminServer, StatusSources};
use crate::operators::flight_recorder::FlightRecorder;
use crate::platform::discovery::Discovery;
use crate::platform::peers::Peers;
use crate::platform::reports::Reports;
use crate::platform::zone_monitor::ZoneMonitor;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::retired_session::{POLL_INTERVAL, RetiredParts, RetiredSession, StartFrom};
use crate::settings::active::{self, ActiveSettings};
use crate::settings::config::Config;
use crate::settings::descriptors::{DescriptorBudget, HeldDescriptors, SharedDescriptors};
use crate::settings::operator::{self, OperatorSettings};
use crate::startup;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::Journal;
use crate::state::pending_writes;
use crate::state::storage;
use notchpoint_policy::{MessageId, Micros};
use notchpoint_seam::{Clock, ConfigSource, Disk, Environment, Listener, Network, Signal};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout_at};

/// Time after SIGTERM in which calls are still started. A call that starts later may not end in time, and
/// some messages must not be repeated then.
const START_CALLS_FOR: Duration = Duration::from_millis(2_200);
/// Once no connection has been open for this time, the accept queue is empty, too.
const QUEUE_QUIET_TIME: Duration = Duration::from_millis(50);

/// The replicas have to know this sender within this time, or it starts without them. Until they do, it
/// acknowledges nothing.
const REPLICAS_TIMEOUT: Duration = Duration::from_secs(1);
/// The same when the process takes over, while clients are already waiting.
const REPLICAS_TIMEOUT_AT_TAKEOVER: Duration = Duration::from_millis(100);
/// Interval of the retries to read the configuration.
const CONFIG_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the retries to open the socket for hand-overs.
const SOCKET_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most mistakes in one configuration that are logged.
const MAX_LOGGED_MISTAKES: usize = 20;

/// Any error that ends a command or the start of the sender.
pub type Failure = Box<dyn std::error::Error>;

/// Builds the environment of a sender from the environment variables that the platform sets.
///
/// # Errors
/// A variable is missing, or signals cannot be watched.
pub fn environment_from_variables() -> Result<Environment, Failure> {
    let variable =
        |name: &str| std::env::var_os(name).map(PathBuf::from).ok_or_else(|| format!("{name} is not set"));
    let local_dir = std::env::var_os("TMPDIR").map(PathBuf::from);
    let (state, config) = (variable("BALANCER_STATE")?, variable("BALANCER_CONFIG")?);
    // The descriptor is checked before anything else is opened: if it is not open yet, a file that is opened
    // here could get its number and pass for the socket.
    let client_listener = match std::env::var("BALANCER_ACCEPT_FD").ok().filter(|n| !n.is_empty()) {
        Some(number) => Some(
            (number.parse().map_err(|e: std::num::ParseIntError| e.to_string()))
                .and_then(|n| notchpoint_seam::system::inherited_listener(n).map_err(|e| e.to_string()))
                .map_err(|e| format!("BALANCER_ACCEPT_FD: {number} is no listening socket: {e}"))?,
        ),
        None => None,
    };
    let environment = notchpoint_seam::system::environment(&state, config, local_dir)?;
    let admin_addr = std::env::var("BALANCER_ADMIN_ADDR").ok().filter(|a| !a.is_empty());
    let admin_addr =
        admin_addr.map(|a| a.parse().map_err(|e| format!("BALANCER_ADMIN_ADDR: {a}: {e}"))).transpose()?;
    Ok(Environment { admin_addr, client_listener, ..environment })
}

/// Runs one sender until it is asked to end. It has to run inside a `LocalSet`.
///
/// # Errors
/// The sender could not start.
pub async fn run(environment: Environment, operator: OperatorSettings) -> Result<(), Failure> {
    let Environment { net, clock, disk, signals, config: source, admin_addr, client_listener } = environment;
    let admin_server = Rc::new(AdminServer::default());
    let signal_handler = Rc::new(SignalHandler { operator: operator.clone(), ..SignalHandler::default() });
    let source = Rc::new(source);
    tokio::task::spawn_local(signal_handler.clone().run(signals, source.clone()));
    let warnings = RateLimitedWarning::default();
    let process =
        Process { net, clock, disk, client_listener, operator, admin_server, signal_handler, warnings };
    let own_config = match process.run_with_retries("configuration", || source()).await {
        Ok(None) => return Ok(()),
        Ok(Some(text)) => crate::settings::config::read(&text).map(|c| (c, text)).map_err(Failure::from),
        Err(why) => Err(why.into()),
    };
    // The operators' address is opened first, so that operators can see that the process is starting.
    let mut admin_addr = admin_addr.or(own_config.as_ref().ok().and_then(|(config, _)| config.admin_addr));
    let is_admin_known = admin_addr.is_some();
    if let Some(address) = admin_addr
        && !process.listen_for_operators(address).await?
    {
        return Ok(());
    }
    let mut start_from = StartFrom::Store;
    if process.client_listener.is_some() {
        start_from = process.request_handover().await;
    }
    let mut own_config = Some(own_config);
    loop {
        let (config, text) = match (&start_from, own_config.take()) {
            // The predecessor's configuration is in force; whether the file differs is checked afterwards.
            (StartFrom::Handover(state, _), _) => {
                (crate::settings::config::read(&state.config_text)?, state.config_text.clone())
            }
            (_, Some(own_config)) => own_config?,
            (_, None) => {
                let text = process.signal_handler.config_text();
                (crate::settings::config::read(&text)?, text)
            }
        };
        // If the file could not be read, the address comes from the predecessor's configuration.
        if let Some(address) = config.admin_addr.filter(|_| !is_admin_known && admin_addr.is_none()) {
            admin_addr = Some(address);
            if !process.listen_for_operators(address).await? {
                return Ok(());
            }
        }
        match process.run_session(config, text, start_from, &source).await? {
            Some(next) => start_from = next,
            None => return Ok(()),
        }
    }
}

/// What stays the same for the whole process, over all of its sessions.
struct Process {
    net: Rc<dyn Network>,
    clock: Rc<dyn Clock>,
    disk: Rc<dyn Disk>,
    client_listener: Option<Rc<dyn Listener>>,
    operator: OperatorSettings,
    admin_server: Rc<AdminServer>,
    signal_handler: Rc<SignalHandler>,
    /// Warnings about failures during the start.
    warnings: RateLimitedWarning,
}

impl Process {
    /// Runs one start-up step with retries; returns `None` if the process is asked to end meanwhile.
    async fn run_with_retries<T>(
        &self,
        what: &str,
        step: impl FnMut() -> io::Result<T>,
    ) -> io::Result<Option<T>> {
        startup::run_with_retries(&self.warnings, &self.signal_handler.terminate, what, step).await
    }

    /// Opens the operators' address. Returns false if the process is asked to end meanwhile.
    async fn listen_for_operators(&self, address: SocketAddr) -> Result<bool, Failure> {
        let what = format!("operators' address (admin_addr) {address}");
        let opened = self.run_with_retries(&what, || self.net.listen(address)).await;
        let Some(listener) = opened.map_err(|e| format!("{what}: {e}"))? else { return Ok(false) };
        tracing::info!("operators at {}", listener.local_addr()?);
        tokio::task::spawn_local(admin::serve(self.admin_server.clone(), listener));
        Ok(true)
    }

    /// Opens the socket on which a successor requests the hand-over. The caller retries after a failure.
    fn listen_for_handover(&self) -> Option<Rc<dyn Listener>> {
        let socket = self.net.listen_local(transport::SOCKET_NAME);
        socket
            .inspect_err(|e| self.warnings.warn(&format_args!("hand-over: cannot open its socket: {e}")))
            .ok()
    }

    /// Asks the process that serves, if there is one, to hand over.
    async fn request_handover(&self) -> StartFrom {
        match transport::request_handover(&*self.net).await {
            HandoverReply::NoPredecessor => StartFrom::Store,
            HandoverReply::Refused(why) => {
                self.warnings.warn(&format_args!("hand-over: {why}; waiting for the store"));
                StartFrom::Store
            }
            HandoverReply::State(state, channel) => {
                tracing::info!(
                    "hand-over: {} attempts are in flight at the predecessor",
                    state.attempts_in_flight.len()
                );
                StartFrom::Handover(state, channel)
            }
        }
    }

    /// Opens the store. Where one process may take over from another, it waits for the one that owns the
    /// store and keeps requesting the hand-over. Returns `None` if this process is asked to end meanwhile.
    async fn open_store(
        &self,
        options: notchpoint_store::Options,
        start_from: &mut StartFrom,
    ) -> Result<Option<(Journal, notchpoint_store::RecoveryReport)>, Failure> {
        let (mut is_logged, begun) = (false, Instant::now());
        loop {
            match Journal::open(self.disk.clone(), self.clock.clone(), options.clone()) {
                Ok(opened) => return Ok(Some(opened)),
                Err(notchpoint_store::Error::Io(e))
                    if e.kind() == ErrorKind::WouldBlock && self.client_listener.is_some() =>
                {
                    if !std::mem::replace(&mut is_logged, true) {
                        tracing::info!("waiting: {e}");
                    }
                }
                Err(notchpoint_store::Error::Io(e)) if startup::should_retry(&e, begun) => {
                    self.warnings.warn(&format_args!("the store's folder cannot be opened yet: {e}"));
                }
                Err(e) => return Err(storage::describe_open_error(e)),
            }
            if !startup::wait_before_retry(&self.signal_handler.terminate).await {
                return Ok(None);
            }
            // A process that has handed its store over and finds another owner does not request a hand-over:
            // it would take the store from a newer process.
            if matches!(start_from, StartFrom::Store) {
                *start_from = self.request_handover().await;
            }
        }
    }

    /// Starts replication if it is configured, and waits until the replicas know this sender.
    async fn start_copies(
        &self,
        config: &Config,
        journal: &Rc<RefCell<Journal>>,
        durability: &Rc<DurabilityTracker>,
        active_settings: &Rc<RefCell<ActiveSettings>>,
        inputs: &UnboundedSender<Input>,
        start_from: &StartFrom,
    ) -> Result<Option<Rc<ReplicationService>>, Failure> {
        let Some(settings) = self.operator.copies.as_ref().filter(|c| c.count > 0) else { return Ok(None) };
        let (net, journal, durability) = (self.net.clone(), journal.clone(), durability.clone());
        let copies = ReplicationService::open(
            settings,
            config,
            net,
            journal,
            durability,
            inputs.clone(),
            active_settings.clone(),
        )?;
        copies.listen(settings.listen)?;
        // When clients are waiting already, the delay is kept as short as that of a slow disk.
        let is_taking_over = !matches!(start_from, StartFrom::Store);
        copies
            .wait_until_ready(if is_taking_over { REPLICAS_TIMEOUT_AT_TAKEOVER } else { REPLICAS_TIMEOUT })
            .await;
        Ok(Some(copies))
    }

    /// How long ago the accept queue of the clients' socket was empty, if that is known. The queue of a
    /// socket that this process opens is empty; about the queue of one that the platform passed in, only the
    /// predecessor may know.
    fn queue_seen_empty(&self, start_from: &StartFrom, journal: &Journal) -> Option<Duration> {
        match start_from {
            _ if self.client_listener.is_none() => Some(Duration::ZERO),
            StartFrom::Handover(state, _) => {
                let gap = journal.unix_now().saturating_sub(state.unix_time);
                state.queue_seen_empty.map(|ago| Duration::from_micros(ago + gap))
            }
            StartFrom::Store | StartFrom::StoreAfterHandover(..) => None,
        }
    }

    /// Runs one session: from opening the store until the process ends or has handed over. Returns what the
    /// next session starts from if the successor has ended before this process.
    async fn run_session(
        &self,
        mut config: Config,
        mut text: String,
        mut start_from: StartFrom,
        source: &Rc<ConfigSource>,
    ) -> Result<Option<StartFrom>, Failure> {
        let options = storage::options(&config, &self.operator.store);
        let Some((journal, report)) = self.open_store(options, &mut start_from).await? else {
            return Ok(None);
        };
        tracing::info!("journal: {report}");
        if let StartFrom::Handover(state, channel) = &start_from {
            let _ = channel.outgoing.send(Frame::Owned);
            (config, text) = (crate::settings::config::read(&state.config_text)?, state.config_text.clone());
        }
        let for_replication = self.operator.copies.as_ref().map_or(0, replication::max_descriptors);
        let shared = SharedDescriptors::new(&config, self.client_listener.is_some());
        let shared = shared.with_replication(for_replication);
        warn_of_few_descriptors(&config, &shared);
        let descriptors = Rc::new(DescriptorLimits::new(shared, start_from.held_descriptors()));
        self.admin_server.limit(descriptors.budget().operator_connections);
        let journal = Rc::new(RefCell::new(journal));
        let active_settings =
            Rc::new(RefCell::new(initial_settings(&config, &start_from, &mut journal.borrow_mut())));
        let durability = DurabilityTracker::new(journal.clone());
        tokio::task::spawn_local(pending_writes::retry_pending_writes(Rc::downgrade(&journal)));
        let (inputs, received) = unbounded_channel();
        let copies =
            self.start_copies(&config, &journal, &durability, &active_settings, &inputs, &start_from).await?;
        let calls = Calls::new(
            &config,
            descriptors.clone(),
            self.net.clone(),
            journal.clone(),
            durability.clone(),
            copies.clone(),
            inputs.clone(),
        );
        let reports = Reports::new(config.discovery_addr, self.net.clone(), journal.clone());
        let revision = match &start_from {
            StartFrom::Handover(state, _) => state.revision,
            _ => config.initial_list.revision,
        };
        let discovery = Discovery::new(config.discovery_addr, revision, self.net.clone(), inputs.clone());
        let discovery = Rc::new(discovery);
        let flight = FlightRecorder::open(&self.operator.recorder, &config, self.clock.clone())?;
        flight.dump_on_panic();
        let admission = Rc::new(Admission::default());
        let zone_monitor = ZoneMonitor::from_settings(&self.operator.zones, &config, &inputs);
        self.signal_handler.start_session(&text, &inputs, &flight, zone_monitor.clone());
        let peers = match config.peer_listen_addr.filter(|_| config.settings.may_send_notes) {
            Some(address) => {
                let bind = || Peers::bind(address, &config, &*self.net, inputs.clone(), zone_monitor.clone());
                match self.run_with_retries("address for notes", bind).await? {
                    Some(peers) => Some(peers),
                    None => return Ok(None),
                }
            }
            None => None,
        };
        if let Some(zone_monitor) = &zone_monitor {
            calls.set_zone_monitor(zone_monitor.clone());
            zone_monitor.start(peers.as_ref().map(Peers::note_sender));
        }
        let components = Components {
            flight,
            journal: journal.clone(),
            active_settings: active_settings.clone(),
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
            connections: Rc::default(),
            descriptors: descriptors.clone(),
            max_connections_in_memory: crate::clients::inbound::max_connections_in_memory(&config),
            max_body_bytes: crate::clients::inbound::max_body_bytes(&config),
            body_bytes: Cell::new(0),
            active_settings,
            journal: journal.clone(),
            durability: durability.clone(),
            copies: copies.clone(),
            calls: calls.clone(),
            inputs: inputs.clone(),
            admission: admission.clone(),
            successor: RefCell::default(),
            unanswered: RefCell::default(),
            accept_queue: RefCell::new(AcceptQueue::new(
                self.queue_seen_empty(&start_from, &journal.borrow()),
            )),
            accepting_since: Instant::now(),
            is_queue_polled: Cell::new(false),
            first_stream: RefCell::default(),
        });
        let mut decision_loop = match start_from {
            StartFrom::Handover(mut state, channel) => {
                let gap = journal.borrow().unix_now().saturating_sub(state.unix_time);
                state.subtract_elapsed(gap);
                calls.adopt_attempts(&state.attempts_in_flight, &state.waits, channel.outgoing.clone());
                tokio::task::spawn_local(follow_predecessor(inbound.clone(), channel, BTreeSet::new()));
                // The predecessor's watch has ended: a new one starts at the revision that it had reached.
                discovery.watch();
                DecisionLoop::resume_from_handover(&config, *state, components)
            }
            StartFrom::StoreAfterHandover(channel, open, _) => {
                calls.adopt_attempts(&[], &[], channel.outgoing.clone());
                let unacknowledged = &open.unanswered | &open.forwarded;
                tokio::task::spawn_local(follow_predecessor(inbound.clone(), channel, unacknowledged));
                DecisionLoop::new(&config, &text, open, components)?
            }
            StartFrom::Store => DecisionLoop::new(&config, &text, Default::default(), components)?,
        };
        // The sender is ready only now that it has resumed the open messages.
        let listener = match &self.client_listener {
            Some(listener) => listener.clone(),
            None => {
                let listen = || self.net.listen(config.listen_addr);
                match self.run_with_retries("clients' address", listen).await? {
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
        let status_sources = StatusSources {
            copies: copies.clone(),
            zone_monitor: zone_monitor.clone(),
            reasons: calls.reasons.clone(),
        };
        self.admin_server.open(&config.name, &admission, &durability, status_sources, &inputs);
        self.signal_handler.reload_if_changed(source);
        let mut handover_listener = None;
        loop {
            if self.client_listener.is_some() && handover_listener.is_none() {
                handover_listener = self.listen_for_handover();
            }
            let handover_request = async {
                match &handover_listener {
                    Some(listener) => return Some(transport::accept_request(&**listener).await),
                    None if self.client_listener.is_some() => sleep(SOCKET_RETRY_INTERVAL).await,
                    None => pending().await,
                }
                None
            };
            let stream = tokio::select! {
                biased;
                () = decision_loop.run() => break,
                () = self.signal_handler.terminate.notified() => break,
                stream = handover_request => stream,
            };
            let Some(stream) = stream else { continue };
            let retired_process = RetiredParts::Process(self.admin_server.clone());
            if !descriptors.has_room_for_successor(retired_process.held_descriptors(&inbound)) {
                let why = "this process leaves too few descriptors (limits.sockets) for a second one";
                self.warnings.warn(&format_args!("hand-over: {why}; this process goes on serving"));
                transport::send_refusal(&*stream, why).await;
                continue;
            }
            // There is no await from here until the frames are queued, so that no event is lost between the
            // two owners.
            let released = journal.borrow_mut().release();
            if let Err(why) = released {
                tracing::warn!("hand-over: the store cannot be released: {why}");
                transport::send_refusal(&*stream, &why.to_string()).await;
                continue;
            }
            accepting.abort();
            watching.abort();
            drop(handover_listener);
            copies.iter().for_each(|c| c.stop());
            zone_monitor.iter().for_each(|z| z.stop());
            admission.is_handed_over.set(true);
            let (mut state, received) = decision_loop.into_handover_state();
            state.queue_seen_empty = inbound.queue_seen_empty().map(|ago| ago.as_micros() as Micros);
            self.admin_server.close();
            state.descriptors = retired_process.held_descriptors(&inbound);
            let (channel, written) = transport::send_state(stream, state.clone());
            *inbound.successor.borrow_mut() = Some(Rc::new(Successor::new(channel.outgoing.clone())));
            admission.close_signal.set();
            tracing::info!("hand-over: state sent; {} calls end in this process", calls.active_calls());
            let unconfirmed = Vec::new();
            let retired = RetiredSession { inbound, reports, received, unconfirmed, parts: retired_process };
            return Ok(retired.finish(&self.signal_handler.terminate, state, channel, written).await);
        }
        let terminated_at = Instant::now();
        admission.is_shutting_down.set(true);
        calls.start_until(terminated_at + START_CALLS_FOR);
        let _ = timeout_at(terminated_at + FRONT_DRAIN_TIME, decision_loop.run()).await;
        // Idle connections are closed between two requests. A client whose request arrives just then sends it
        // again on a new connection.
        admission.close_signal.set();
        while terminated_at.elapsed() < START_CALLS_FOR && !decision_loop.has_no_messages() {
            let _ = timeout_at(Instant::now() + POLL_INTERVAL, decision_loop.run()).await;
        }
        // No more decisions are made. Calls that end from here on are recorded, and the rest is left to the
        // next process. Connected clients are answered first, since closing a connection with an open request
        // loses the request. Connections in the accept queue are accepted as others end.
        let is_writing = || journal.borrow().has_pending_writes();
        let is_open = || {
            calls.active_calls() > 0
                || !reports.is_empty()
                || admission.open_connections.get() > 0
                || is_writing()
        };
        let mut quiet_since = Instant::now();
        while terminated_at.elapsed() < SHUTDOWN_TIMEOUT && quiet_since.elapsed() < QUEUE_QUIET_TIME {
            if is_open() {
                quiet_since = Instant::now();
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }
}

/// Returns the settings that a session starts with.
fn initial_settings(config: &Config, start_from: &StartFrom, journal: &mut Journal) -> ActiveSettings {
    if let StartFrom::Handover(state, _) = start_from {
        return ActiveSettings::from_predecessor(config, state.sender.settings(), &state.classes);
    }
    let (active_settings, changes) = {
        let mut used: BTreeSet<&str> = journal.iter().map(|(_, m)| m.class.as_str()).collect();
        // The earlier session may still read requests of any class that it knew.
        if matches!(start_from, StartFrom::StoreAfterHandover(..)) {
            used.extend(journal.stored_classes().keys().map(String::as_str));
        }
        ActiveSettings::new(config, journal.stored_classes(), &used)
    };
    // If the changes cannot be stored, a message loses its class only by a change of that class together with
    // a restart, so the start goes on.
    if let Err(why) = journal.update_classes(&changes) {
        tracing::warn!("journal: cannot store the classes: {why}; they are known to this process only");
    }
    let deadline = |tag: &str| {
        Some(active_settings.settings.classes.get(active_settings.classes.index_of(tag)?)?.deadline)
    };
    journal.bound_deadlines(deadline);
    active_settings
}

/// Processes the frames of the predecessor until it has ended. The messages in `unacknowledged` may have been
/// recorded already, by an earlier successor that ended before it could respond.
async fn follow_predecessor(
    inbound: Rc<Inbound>,
    channel: FrameChannel,
    unacknowledged: BTreeSet<MessageId>,
) {
    let FrameChannel { outgoing, mut incoming } = channel;
    // Messages that were recorded here and whose clients have not received the acknowledgement yet; `None`
    // once the predecessor, which has their connections, has ended.
    let forwarded = Rc::new(RefCell::new(Some(BTreeMap::<MessageId, IdHold>::new())));
    let forget = |id: MessageId| forwarded.borrow_mut().as_mut().and_then(|ids| ids.remove(&id));
    while let Some(frame) = incoming.recv().await {
        match frame {
            Frame::AttemptEnded { id, attempt, outcome, is_final, allowance } => {
                inbound.calls.adopted_attempt_ended(id, attempt, AttemptEnd { outcome, is_final, allowance });
            }
            Frame::ForwardRequest { number, request } => {
                let (inbound, outgoing, recorded, id) =
                    (inbound.clone(), outgoing.clone(), forwarded.clone(), request.id);
                let may_be_recorded = unacknowledged.contains(&id);
                tokio::task::spawn_local(async move {
                    let result =
                        crate::clients::inbound::record_forwarded(&inbound, request, may_be_recorded).await;
                    if matches!(result, ForwardResult::Recorded { .. }) {
                        match &mut *recorded.borrow_mut() {
                            Some(ids) => _ = ids.insert(id, inbound.journal.borrow().hold(id)),
                            // The predecessor has ended meanwhile, and its connection to the client with it.
                            None => _ = inbound.journal.borrow_mut().record_end(id),
                        }
                    }
                    let _ = outgoing.send(Frame::ForwardResponse { number, result });
                });
            }
            Frame::Descriptors(held) => inbound.descriptors.record_predecessor(held),
            Frame::Acknowledged(accepted) => {
                forget(accepted.id);
                let _ = inbound.inputs.send(Input::Acknowledged(accepted));
            }
            Frame::Unacknowledged(id) => {
                inbound.journal.borrow_mut().record_end(id);
                forget(id);
                let _ = inbound.inputs.send(Input::Unacknowledged(id));
            }
            other => tracing::warn!("hand-over: unexpected frame {other:?} from the predecessor"),
        }
    }
    tracing::info!("hand-over: the predecessor has ended");
    inbound.calls.predecessor_ended();
    inbound.descriptors.record_predecessor(HeldDescriptors::default());
    let forwarded = forwarded.take().unwrap_or_default();
    let _ = inbound.inputs.send(Input::PredecessorEnded(forwarded.into_values().collect()));
}

/// Logs a warning if parts of the sender have too few descriptors.
fn warn_of_few_descriptors(config: &Config, shared: &SharedDescriptors) {
    let budget = DescriptorBudget::new(config);
    if let Some(warning) = budget.warning(config) {
        tracing::warn!("{warning}: {}", budget.describe(config));
    }
    if let Some(warning) = shared.warning() {
        tracing::warn!("{warning}: {}", shared.describe());
    }
}

/// Handles signals: reload, termination and dumps.
#[derive(Default)]
struct SignalHandler {
    /// The operator's file as it was at the start.
    operator: OperatorSettings,
    terminate: Notify,
    /// The last reload could not read the configuration, and it is retried.
    is_reload_pending: Cell<bool>,
    session: RefCell<Option<SessionHandle>>,
}

/// The parts of a session that signals act on.
struct SessionHandle {
    /// Text of the configuration in force.
    config_text: String,
    inputs: UnboundedSender<Input>,
    flight: Rc<FlightRecorder>,
    zone_monitor: Option<Rc<ZoneMonitor>>,
}

impl SignalHandler {
    /// Directs signals to a new session.
    fn start_session(
        &self,
        text: &str,
        inputs: &UnboundedSender<Input>,
        flight: &Rc<FlightRecorder>,
        zone_monitor: Option<Rc<ZoneMonitor>>,
    ) {
        let (config_text, inputs, flight) = (text.to_owned(), inputs.clone(), flight.clone());
        let session = SessionHandle { config_text, inputs, flight, zone_monitor };
        *self.session.borrow_mut() = Some(session);
    }

    /// Returns the text of the configuration in force.
    fn config_text(&self) -> String {
        self.session.borrow().as_ref().map_or(String::new(), |s| s.config_text.clone())
    }

    /// Handles signals until their source ends.
    async fn run(self: Rc<Self>, mut signals: Receiver<Signal>, source: Rc<ConfigSource>) {
        while let Some(signal) = signals.recv().await {
            match signal {
                Signal::Reload => {
                    self.reload_operator_file();
                    self.reload(&source);
                }
                Signal::Terminate => self.terminate.notify_one(),
                Signal::Dump => self.dump(),
            }
        }
    }

    /// Reloads the configuration if the file differs from the one in force, as it may after a hand-over.
    fn reload_if_changed(self: &Rc<Self>, source: &Rc<ConfigSource>) {
        let is_same = source().is_ok_and(|text| text == self.config_text());
        if !is_same {
            self.reload(source);
        }
    }

    /// Reloads the section about zones of the operator's file. A file with a mistake changes nothing.
    fn reload_operator_file(&self) {
        let Some(file) = &self.operator.file else { return };
        let new = match operator::read(file) {
            Ok(new) => new,
            Err(why) => return tracing::warn!("operator's file not reloaded: {why}"),
        };
        let needs_restart = self.operator.changes_needing_restart(&new);
        if !needs_restart.is_empty() {
            tracing::warn!(
                "operator's file: changes that take effect at the next start: {}",
                needs_restart.join(", ")
            );
        }
        if let Some(zone_monitor) = self.session.borrow().as_ref().and_then(|s| s.zone_monitor.as_ref()) {
            zone_monitor.update_operator_settings(&new.zones);
        }
    }

    /// Reads the configuration again, checks it as a whole, and passes it to the decision loop in one step. A
    /// configuration with a mistake changes nothing; reading one that cannot be read is retried.
    fn reload(self: &Rc<Self>, source: &Rc<ConfigSource>) {
        let mut session = self.session.borrow_mut();
        // Without a session the process is starting, and reads the file itself.
        let Some(session) = session.as_mut() else { return };
        let text = match source() {
            Ok(text) => text,
            Err(why) => {
                if !self.is_reload_pending.replace(true) {
                    tracing::warn!("configuration not reloaded, retrying until it can be read: {why}");
                    tokio::task::spawn_local(self.clone().retry_reload(source.clone()));
                }
                return;
            }
        };
        self.is_reload_pending.set(false);
        match active::read_replacement(&text, &session.config_text) {
            Ok(config) => {
                session.config_text.clone_from(&text);
                let _ = session.inputs.send(Input::ConfigurationChanged(Box::new(config), text));
            }
            Err(mistakes) => {
                tracing::warn!("configuration not reloaded; mistakes in the new one: {}", mistakes.len());
                mistakes.iter().take(MAX_LOGGED_MISTAKES).for_each(|m| tracing::warn!("configuration: {m}"));
            }
        }
    }

    /// Retries the reload until the configuration can be read.
    async fn retry_reload(self: Rc<Self>, source: Rc<ConfigSource>) {
        while self.is_reload_pending.get() {
            sleep(CONFIG_RETRY_INTERVAL).await;
            self.reload(&source);
        }
    }

    /// Writes the recording to a new file.
    fn dump(&self) {
        let session = self.session.borrow();
        let Some(session) = session.as_ref() else { return };
        match session.flight.dump() {
            Ok(Some(path)) => tracing::info!("recording written to {}", path.display()),
            Ok(None) => tracing::warn!("no recording written: the recorder is off"),
            Err(why) => tracing::warn!("recording could not be written: {why}"),
        }
    }
}
