//! Runs the replication state machine: sends its frames over links, completes pending commits and consents,
//! and passes messages that were taken over to the node.

use crate::copies::link::{self, SendQueue};
use crate::copies::rows::{JournalLedger, to_copies_verdict, to_record};
use crate::input::Input;
use crate::settings::active::ActiveSettings;
use crate::settings::config::Config;
use crate::settings::operator::{CopiesSettings, WhenShort};
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, MessageUpdate, OpenMessage};
use notchpoint_copies::{
    AttemptRecord, CLOSING_ATTEMPT, Event, Frame, Hello, Id, Incarnation, Input as ProtocolInput, Instance,
    LocalId, Membership, MembershipError, Output, Peer, Redundancy, Replicator, Sender, Timestamps,
};
use notchpoint_policy::MessageId;
use notchpoint_seam::{Listener, Network, Stream, net::accept};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// The time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a link is dialed again. It is shorter than any time after which a sender is suspected.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// The time that witnesses have to record an attempt before it is abandoned.
const CONSENT_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for closing a message that is returned to its client as safe to submit again: the final status
/// has to be reported within 300 ms of its deadline.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The limit of accepted connections that have not completed the handshake, in addition to one for each other
/// sender.
const ADDITIONAL_HANDSHAKES: usize = 4;
/// The limit of distinct warnings about peers; each is logged once.
const MAX_WARNINGS: usize = 64;
/// The interval at which the counts are logged if they have changed.
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The number of consecutive checks without enough redundancy, one each `CHECK_INTERVAL`, before that is
/// logged.
const CHECKS_BEFORE_WARNING: usize = 2;
/// The interval of checks, and of logging messages with too few replicas.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Copies may take the size limit of the folder divided by this number: the rest is for this sender's own
/// messages and for compaction.
const DISK_SHARE_DIVISOR: u64 = 4;

/// Replicates this sender's messages, and stores copies for other senders.
pub struct ReplicationService {
    replicator: RefCell<Replicator>,
    journal: Rc<RefCell<Journal>>,
    active_settings: Rc<RefCell<ActiveSettings>>,
    durability: Rc<DurabilityTracker>,
    net: Rc<dyn Network>,
    inputs: UnboundedSender<Input>,
    started: Instant,
    when_short: WhenShort,
    installation: u64,
    instance: Instance,
    addresses: BTreeMap<Peer, SocketAddr>,
    /// Frames to be written on the links that this sender dialed.
    request_queues: RefCell<BTreeMap<Peer, Rc<SendQueue>>>,
    /// Frames to be written on the links that this sender accepted.
    response_queues: RefCell<BTreeMap<Peer, Rc<SendQueue>>>,
    next_link: Cell<u64>,
    pending_commits: RefCell<HashMap<LocalId, oneshot::Sender<bool>>>,
    pending_consents: RefCell<HashMap<(LocalId, u32), oneshot::Sender<bool>>>,
    /// When [`Self::run`] calls the state machine next, in microseconds since `started`.
    next_wake: Cell<u64>,
    /// Notified if the state machine has to be called earlier than that.
    wake_earlier: Notify,
    handshakes: Cell<usize>,
    /// Warnings that were logged.
    warned: RefCell<BTreeSet<String>>,
    /// The number of messages with too few replicas since that was last logged.
    shortages: Cell<usize>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// Returns how many descriptors replication takes: its socket, the links that this sender dials and accepts,
/// and connections that have not completed the handshake.
pub fn max_descriptors(settings: &CopiesSettings) -> usize {
    let others = settings.senders.len();
    if settings.count == 0 { 0 } else { 1 + 2 * others + max_handshakes(others) }
}

/// Returns the limit of accepted connections that have not completed the handshake.
fn max_handshakes(other_senders: usize) -> usize {
    other_senders + ADDITIONAL_HANDSHAKES
}

/// The result of a request for consent to an attempt.
pub enum AttemptConsent {
    /// The attempt may be made.
    Granted,
    /// The attempt must not be made now.
    Refused,
    /// The witnesses have not answered yet. Receives whether the attempt may be made.
    Pending(oneshot::Receiver<bool>),
}

/// Builds the membership from the settings.
fn membership(settings: &CopiesSettings, config: &Config) -> Result<Membership, String> {
    let errors = settings.find_errors(Some(&config.name));
    if !errors.is_empty() {
        return Err(errors.join("\n"));
    }
    let zone = config.names.zones.get(config.settings.zone as usize).cloned();
    let me = Sender { name: config.name.clone(), zone: settings.zone.clone().or(zone) };
    let others = settings.senders.iter().map(|s| Sender { name: s.name.clone(), zone: s.zone.clone() });
    Membership::new(me, others.collect(), settings.count).map_err(|error| match error {
        MembershipError::DuplicateName(name) => format!("copies.senders: {name} is listed twice"),
        MembershipError::TooFewSenders { count, senders, needed } => {
            format!("copies.count: {count} copies need {needed} senders; there are {senders}")
        }
    })
}

impl ReplicationService {
    /// Restores copies and this sender's own messages from the folder.
    ///
    /// # Errors
    /// The settings are invalid, or the rows of the folder cannot be decoded.
    pub fn open(
        settings: &CopiesSettings,
        config: &Config,
        net: Rc<dyn Network>,
        journal: Rc<RefCell<Journal>>,
        durability: Rc<DurabilityTracker>,
        inputs: UnboundedSender<Input>,
        active_settings: Rc<RefCell<ActiveSettings>>,
    ) -> Result<Rc<Self>, String> {
        let membership = membership(settings, config)?;
        if membership.is_single_zone() {
            tracing::warn!("copies: no sender is known to be in another zone");
        }
        let rows = journal.borrow_mut().take_copies();
        let max_copy_bytes = ((settings.keep_mb * 1e6) as u64).min(config.disk_bytes / DISK_SHARE_DIVISOR);
        let replicator_settings = notchpoint_copies::Settings {
            min_silence: settings.silence_ms * 1_000,
            max_copy_bytes: usize::try_from(max_copy_bytes).unwrap_or(usize::MAX),
            max_attempts: config.settings.max_attempts,
            ..notchpoint_copies::Settings::default()
        };
        let unix = journal.borrow().unix_now();
        // Two incarnations must differ, and need no order. The seed is new with each start; the time is added
        // for configurations written by hand.
        let incarnation = Incarnation(config.seed ^ unix.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let time = Timestamps { now: 0, unix };
        let replicator = {
            let mut journal = journal.borrow_mut();
            Replicator::new(
                membership,
                replicator_settings,
                incarnation,
                rows.into_iter(),
                time,
                &mut JournalLedger { journal: &mut journal, active_settings: &active_settings },
            )?
        };
        let addresses = settings.senders.iter().map(|s| (Peer::from_name(&s.name), s.address)).collect();
        let (update_sender, updates) = unbounded_channel();
        let service = Rc::new(Self {
            instance: replicator.instance(),
            replicator: RefCell::new(replicator),
            journal,
            active_settings,
            durability,
            net,
            inputs,
            started: Instant::now(),
            when_short: settings.when_short,
            installation: Hello::installation(&settings.installation),
            addresses,
            request_queues: RefCell::default(),
            response_queues: RefCell::default(),
            next_link: Cell::new(1),
            pending_commits: RefCell::default(),
            pending_consents: RefCell::default(),
            next_wake: Cell::new(0),
            wake_earlier: Notify::new(),
            handshakes: Cell::new(0),
            warned: RefCell::default(),
            shortages: Cell::new(0),
            tasks: RefCell::default(),
        });
        let messages: Vec<ProtocolInput> = {
            let mut journal = service.journal.borrow_mut();
            journal.subscribe(update_sender);
            let resume = |(id, open): (MessageId, &OpenMessage)| ProtocolInput::Resume {
                local_id: LocalId(id.0),
                id: Id(open.request_id(id).0),
                record: to_record(open, &service.active_settings.borrow()),
            };
            journal.iter().map(resume).collect()
        };
        messages.into_iter().for_each(|message| service.handle_input(message));
        service.spawn(service.clone().run(updates));
        Ok(service)
    }

    /// Accepts links from other senders. If an earlier process still has the address, tries again in the
    /// background until it is free.
    pub fn listen(self: &Rc<Self>, at: SocketAddr) -> Result<(), String> {
        let listener = self.net.listen(at);
        let (service, net) = (self.clone(), self.net.clone());
        match listener {
            Ok(listener) => self.spawn(service.accept(listener)),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => self.spawn(async move {
                loop {
                    sleep(RECONNECT_DELAY).await;
                    if let Ok(listener) = net.listen(at) {
                        return service.accept(listener).await;
                    }
                }
            }),
            Err(e) => return Err(format!("copies.listen {at}: {e}")),
        }
        Ok(())
    }

    /// Waits until other senders have registered this one and have reported which of its messages were taken
    /// over, or until `limit` has passed.
    pub async fn wait_until_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let ready = || {
            let replicator = self.replicator.borrow();
            replicator.is_ready() && replicator.is_recovered()
        };
        while !ready() {
            if Instant::now() >= until {
                let (up, wanted) = self.replicator.borrow().links();
                tracing::warn!(
                    "copies: {up} of {wanted} links are up after {limit:?}; continuing without the others"
                );
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops all tasks, since another process continues from the folder.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
        for queues in [&self.request_queues, &self.response_queues] {
            queues.borrow_mut().values().for_each(|q| q.end());
        }
        self.pending_commits.borrow_mut().clear();
        self.pending_consents.borrow_mut().clear();
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|t| !t.is_finished());
        tasks.push(tokio::task::spawn_local(task).abort_handle());
    }

    fn timestamps(&self) -> Timestamps {
        Timestamps { now: self.started.elapsed().as_micros() as u64, unix: self.journal.borrow().unix_now() }
    }

    /// Passes an input to the state machine and carries out its actions. The caller must not hold a borrow of
    /// the journal.
    fn handle_input(self: &Rc<Self>, input: ProtocolInput) {
        let (time, mut out) = (self.timestamps(), Vec::new());
        {
            let (journal, active_settings) = (&mut self.journal.borrow_mut(), &self.active_settings);
            let mut ledger = JournalLedger { journal, active_settings };
            self.replicator.borrow_mut().handle(time, input, &mut ledger, &mut out);
        }
        self.carry_out(out);
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Connect(peer) => {
                    if let Some(&address) = self.addresses.get(&peer) {
                        self.spawn(self.clone().dial(peer, address));
                    }
                }
                Output::Disconnect(peer) => {
                    if let Some(queue) = self.request_queues.borrow().get(&peer) {
                        queue.end();
                    }
                }
                Output::SendRequest(peer, frame) => self.push(&self.request_queues, peer, &frame),
                Output::SendResponse(peer, frame) => self.push(&self.response_queues, peer, &frame),
                Output::Committed(id) => self.commit_decided(id, true),
                Output::TooFewReplicas(id) => {
                    self.shortages.set(self.shortages.get() + 1);
                    self.commit_decided(id, false);
                }
                Output::AttemptGranted(id, number) => self.consent_decided(id, number, true),
                Output::AttemptRefused(id, number) => self.consent_decided(id, number, false),
                Output::TakenOver(id) => {
                    let hold = self.journal.borrow().hold(MessageId(id.0));
                    let _ = self.inputs.send(Input::Adopted(hold));
                }
                Output::OwnershipLost(id) => {
                    self.journal.borrow_mut().record_end(MessageId(id.0));
                    let _ = self.inputs.send(Input::OwnershipLost(MessageId(id.0)));
                }
                Output::Log(event) => self.log_event(&event),
            }
        }
        if self.replicator.borrow().next_wake() < self.next_wake.get() {
            self.wake_earlier.notify_one();
        }
    }

    fn push(&self, queues: &RefCell<BTreeMap<Peer, Rc<SendQueue>>>, peer: Peer, frame: &Frame) {
        if let Some(queue) = queues.borrow().get(&peer) {
            queue.push(frame, self.durability.log_end());
        }
    }

    fn commit_decided(&self, id: LocalId, is_committed: bool) {
        if let Some(pending) = self.pending_commits.borrow_mut().remove(&id) {
            let _ = pending.send(is_committed);
        }
    }

    fn consent_decided(&self, id: LocalId, number: u32, granted: bool) {
        if let Some(pending) = self.pending_consents.borrow_mut().remove(&(id, number)) {
            let _ = pending.send(granted);
        }
    }

    fn name(&self, peer: Peer) -> String {
        self.replicator.borrow().membership().name(peer).to_owned()
    }

    fn log_event(&self, event: &Event) {
        let name = |instance: &Instance| self.name(instance.peer);
        match event {
            Event::MessagesTakenOver { from, count } => {
                tracing::warn!("copies: took over {count} messages of {}", name(from));
            }
            Event::MessagesGivenUp { to, count } => {
                tracing::warn!("copies: {count} messages are taken over by {}", name(to));
            }
            Event::InstanceFailed(instance) => {
                tracing::warn!("copies: {} has failed or is unreachable", name(instance));
            }
            Event::InstanceReachable(instance) => tracing::info!("copies: {} is reachable", name(instance)),
            Event::StaleIncarnationRejected(instance) => {
                tracing::warn!("copies: rejected {}: its incarnation has been replaced", name(instance));
            }
            Event::WitnessStateLost(peer) => {
                tracing::warn!("copies: {} has lost its folder; a new epoch begins", self.name(*peer));
            }
            Event::WitnessReplaced(peer) => {
                let name = self.name(*peer);
                tracing::warn!(
                    "copies: {name} failed before it had registered the epoch; a new epoch begins without it"
                );
            }
            Event::WriteFailed => {
                self.warn_once("copies: cannot write to the folder, or an id is in use".to_owned())
            }
        }
    }

    /// Logs a warning once, however often a peer causes it.
    fn warn_once(&self, text: String) {
        let mut warned = self.warned.borrow_mut();
        if warned.len() < MAX_WARNINGS && warned.insert(text.clone()) {
            tracing::warn!("{text}");
        }
    }

    // Methods that the rest of the sender calls.

    /// Returns the status for operators, including whether another sender may be taken down.
    pub fn status(&self) -> serde_json::Value {
        let replicator = self.replicator.borrow();
        let ((up, wanted), redundancy) = (replicator.links(), replicator.redundancy());
        serde_json::json!({
            "bears_another_loss": redundancy.tolerates_loss(),
            "lacking": redundancy.missing_copies,
            "elsewhere": redundancy.in_other_groups,
            "unclaimed": redundancy.unclaimed,
            "witnesses": { "stand": redundancy.witnesses.0, "all": redundancy.witnesses.1 },
            "links": { "stand": up, "all": wanted },
            "kept_for_others": replicator.stored_copies(),
        })
    }

    /// Whether other senders have yet to delete their copies of a message that had this id.
    pub fn is_end_pending(&self, id: MessageId) -> bool {
        self.replicator.borrow().is_end_pending(Id(id.0))
    }

    /// Has copies of a message stored by other senders. Returns whether it is committed: enough replicas have
    /// stored it, or operators have configured that it is accepted anyway. Its record must be in the journal.
    pub async fn replicate(self: &Rc<Self>, id: MessageId, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let record =
            self.journal.borrow().get(id).map(|open| to_record(open, &self.active_settings.borrow()));
        let Some(record) = record else { return false };
        let (id, local_id) = (Id(id.0), LocalId(id.0));
        let (sender, receiver) = oneshot::channel();
        self.pending_commits.borrow_mut().insert(local_id, sender);
        // The caller's future may be dropped meanwhile.
        let _pending = PendingCommit { service: self.clone(), local_id };
        self.handle_input(ProtocolInput::Submit { id, record });
        let is_replicated = match timeout_at(until, receiver).await {
            Ok(is_replicated) => is_replicated.unwrap_or(false),
            Err(_) => {
                self.shortages.set(self.shortages.get() + 1);
                false
            }
        };
        if !is_replicated {
            let copies = self.replicator.borrow().describe_copies(local_id);
            let waited = (limit - until.saturating_duration_since(Instant::now())).as_millis();
            tracing::debug!("copies: message {id} has too few replicas after {waited} ms: {copies}");
        }
        let accept_anyway = !is_replicated && self.when_short == WhenShort::Accept;
        if accept_anyway {
            self.handle_input(ProtocolInput::CommitAnyway { local_id });
        }
        is_replicated || accept_anyway
    }

    /// Requests the consent to an attempt. Its record must be in the journal.
    pub fn request_consent(self: &Rc<Self>, id: MessageId, number: u32, endpoint: u64) -> AttemptConsent {
        let attempt =
            AttemptRecord { number, endpoint, at: self.journal.borrow().unix_now(), never_ran: false };
        let local_id = LocalId(id.0);
        let (sender, mut receiver) = oneshot::channel();
        self.pending_consents.borrow_mut().insert((local_id, number), sender);
        self.handle_input(ProtocolInput::BeginAttempt { local_id, attempt });
        match receiver.try_recv() {
            Ok(true) => AttemptConsent::Granted,
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => AttemptConsent::Refused,
            Err(oneshot::error::TryRecvError::Empty) => AttemptConsent::Pending(receiver),
        }
    }

    /// Waits for consents. Returns the attempts that must not be made.
    pub async fn await_consents(
        &self,
        consents: Vec<((MessageId, u32), AttemptConsent)>,
    ) -> Vec<(MessageId, u32)> {
        let until = Instant::now() + CONSENT_TIMEOUT;
        let mut refused = Vec::new();
        for ((id, number), consent) in consents {
            let granted = match consent {
                AttemptConsent::Granted => true,
                AttemptConsent::Refused => false,
                AttemptConsent::Pending(receiver) => {
                    matches!(timeout_at(until, receiver).await, Ok(Ok(true)))
                }
            };
            if !granted {
                self.pending_consents.borrow_mut().remove(&(LocalId(id.0), number));
                refused.push((id, number));
            }
        }
        refused
    }

    /// Closes a message, so that no other sender may attempt it any more. Returns whether its client may be
    /// told that submitting it again is safe.
    pub async fn close_message(self: &Rc<Self>, id: MessageId) -> bool {
        match self.request_consent(id, CLOSING_ATTEMPT, 0) {
            AttemptConsent::Granted => true,
            AttemptConsent::Refused => false,
            AttemptConsent::Pending(receiver) => {
                matches!(timeout(CLOSE_TIMEOUT, receiver).await, Ok(Ok(true)))
            }
        }
    }

    // Links.

    async fn dial(self: Rc<Self>, peer: Peer, address: SocketAddr) {
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, self.net.connect(address)).await
                && stream.set_nodelay().is_ok()
            {
                let own = Hello { installation: self.installation, from: self.instance, to: peer };
                match link::handshake_as_dialer(&*stream, &own).await {
                    Ok(hello) => self.run_dialed_link(hello.from, stream).await,
                    Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                        self.warn_once(format!("copies: rejected {} at {address}: {e}", self.name(peer)));
                    }
                    Err(_) => {}
                }
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    fn next_link_number(&self) -> u64 {
        self.next_link.replace(self.next_link.get() + 1)
    }

    async fn run_dialed_link(self: &Rc<Self>, instance: Instance, stream: Rc<dyn Stream>) {
        let (link, queue, peer) = (self.next_link_number(), Rc::new(SendQueue::default()), instance.peer);
        self.request_queues.borrow_mut().insert(peer, queue.clone());
        self.handle_input(ProtocolInput::LinkUp { instance, link });
        let on_frame = |frame: Frame| {
            let is_allowed = !frame.is_request();
            if is_allowed {
                self.handle_input(ProtocolInput::Response { from: peer, link, frame });
            }
            is_allowed
        };
        let reason = link::run(stream, &queue, on_frame, self.wait_until_durable()).await;
        self.request_queues.borrow_mut().remove(&peer);
        self.log_link_end(peer, &reason);
        self.handle_input(ProtocolInput::LinkDown { peer, link });
    }

    fn wait_until_durable(&self) -> impl AsyncFn(&notchpoint_store::LogPosition) -> bool + use<> {
        let durability = self.durability.clone();
        async move |log_end| {
            durability.is_durable(log_end) || durability.wait_until_durable(log_end, CONNECT_TIMEOUT).await
        }
    }

    fn log_link_end(&self, peer: Peer, reason: &std::io::Error) {
        if matches!(reason.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::TimedOut) {
            self.warn_once(format!("copies: link to {} closed: {reason}", self.name(peer)));
        }
    }

    async fn accept(self: Rc<Self>, listener: Rc<dyn Listener>) {
        loop {
            let Ok(stream) = accept(&*listener).await else {
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            if self.handshakes.get() >= max_handshakes(self.addresses.len()) || stream.set_nodelay().is_err()
            {
                continue;
            }
            self.handshakes.set(self.handshakes.get() + 1);
            self.spawn(self.clone().run_accepted_link(stream));
        }
    }

    async fn run_accepted_link(self: Rc<Self>, stream: Rc<dyn Stream>) {
        let own = |to| Hello { installation: self.installation, from: self.instance, to };
        let handshake = link::handshake_as_acceptor(&*stream, own).await;
        self.handshakes.set(self.handshakes.get().saturating_sub(1));
        let from = match handshake {
            Ok(hello) => hello.from,
            Err(e) => {
                if e.kind() == std::io::ErrorKind::InvalidData {
                    self.warn_once(format!("copies: rejected an incoming connection: {e}"));
                }
                return;
            }
        };
        let (link, queue, mut out) = (self.next_link_number(), Rc::new(SendQueue::default()), Vec::new());
        let accepted = {
            let time = self.timestamps();
            let (journal, active_settings) = (&mut self.journal.borrow_mut(), &self.active_settings);
            let mut ledger = JournalLedger { journal, active_settings };
            self.replicator.borrow_mut().accept_link(time, from, link, &mut ledger, &mut out)
        };
        self.carry_out(out);
        if !accepted {
            return self.warn_once(format!("copies: rejected a connection from {}", self.name(from.peer)));
        }
        // If a peer has dialed twice, the later link replaces the earlier one.
        if let Some(before) = self.response_queues.borrow_mut().insert(from.peer, queue.clone()) {
            before.end();
        }
        let on_frame = |frame: Frame| {
            let is_allowed = frame.is_request();
            if is_allowed {
                self.handle_input(ProtocolInput::Request { from, link, frame });
            }
            is_allowed
        };
        let reason = link::run(stream, &queue, on_frame, self.wait_until_durable()).await;
        self.log_link_end(from.peer, &reason);
        let mut queues = self.response_queues.borrow_mut();
        if queues.get(&from.peer).is_some_and(|q| Rc::ptr_eq(q, &queue)) {
            queues.remove(&from.peer);
        }
    }

    // Timers and logging.

    async fn run(self: Rc<Self>, mut updates: UnboundedReceiver<MessageUpdate>) {
        self.handle_input(ProtocolInput::Tick);
        let (mut next_check, mut last) = (Instant::now() + CHECK_INTERVAL, (Instant::now(), String::new()));
        let mut redundancy_log = RedundancyLog::default();
        loop {
            let wake = self.replicator.borrow().next_wake();
            self.next_wake.set(wake);
            tokio::select! {
                biased;
                Some(update) = updates.recv() => self.handle_input(protocol_input(&update)),
                () = sleep_until(self.started + Duration::from_micros(wake)) =>
                    self.handle_input(ProtocolInput::Tick),
                () = self.wake_earlier.notified() => {}
            }
            if next_check <= Instant::now() {
                next_check = Instant::now() + CHECK_INTERVAL;
                self.log_counts(&mut last);
                redundancy_log.update(self.replicator.borrow().redundancy());
            }
        }
    }

    /// Logs how many messages had too few replicas since the last call, and the counts of links and copies if
    /// they have changed. `last` holds when these counts were last compared, and those that were last logged.
    fn log_counts(&self, last: &mut (Instant, String)) {
        let shortages = self.shortages.take();
        if shortages > 0 {
            let result = match self.when_short {
                WhenShort::Refuse => "refused",
                WhenShort::Accept => "accepted anyway",
            };
            tracing::warn!("copies: too few replicas: {shortages} messages {result}");
        }
        if last.0.elapsed() < STATUS_LOG_INTERVAL {
            return;
        }
        last.0 = Instant::now();
        let replicator = self.replicator.borrow();
        let (up, wanted) = replicator.links();
        let text = format!(
            "copies: {up} of {wanted} links are up; {} own messages lack copies; \
             {} copies are stored for others",
            replicator.missing_copies(),
            replicator.stored_copies(),
        );
        if text != last.1 {
            tracing::info!("{text}");
            last.1 = text;
        }
    }
}

/// Returns the input by which the state machine receives an update of a message.
fn protocol_input(update: &MessageUpdate) -> ProtocolInput {
    let local_id = |id: MessageId| LocalId(id.0);
    match update {
        MessageUpdate::AttemptNeverRan(id, number) => {
            ProtocolInput::NeverRan { local_id: local_id(*id), number: *number }
        }
        MessageUpdate::Verdict(id, verdict) => {
            let verdict = to_copies_verdict(*verdict);
            ProtocolInput::VerdictRecorded { local_id: local_id(*id), verdict }
        }
        MessageUpdate::Ended(hold) => ProtocolInput::Ended { local_id: local_id(hold.key()) },
    }
}

/// Logs when redundancy is lost, and when it is restored.
#[derive(Default)]
struct RedundancyLog {
    /// The number of consecutive checks without enough redundancy.
    checks: usize,
    warned: bool,
}

impl RedundancyLog {
    /// Logs a change of redundancy. A loss of redundancy is not logged if it lasts for a single check only.
    fn update(&mut self, redundancy: Redundancy) {
        if redundancy.tolerates_loss() {
            self.checks = 0;
            if std::mem::take(&mut self.warned) {
                tracing::info!("copies: redundancy is restored: another sender may fail without loss");
            }
            return;
        }
        self.checks += 1;
        if self.checks >= CHECKS_BEFORE_WARNING && !std::mem::replace(&mut self.warned, true) {
            let Redundancy { missing_copies, in_other_groups, unclaimed, witnesses: (up, all) } = redundancy;
            tracing::warn!(
                "copies: another failure could lose messages: {missing_copies} lack copies, \
                 {in_other_groups} are in other witness groups, {unclaimed} of failed senders are not \
                 taken over, {up} of {all} witnesses are up"
            );
        }
    }
}

/// A commit that is waited for.
struct PendingCommit {
    service: Rc<ReplicationService>,
    local_id: LocalId,
}

impl Drop for PendingCommit {
    fn drop(&mut self) {
        self.service.pending_commits.borrow_mut().remove(&self.local_id);
    }
}
