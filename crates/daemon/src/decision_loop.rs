//! The decision loop owns the policy. It passes events to the policy, at most once per tick, and executes the
//! actions that the policy returns.

use crate::calls::{CallItem, Calls, Target};
use crate::clients::admission::{Admission, DrainReason};
use crate::copies::service::ReplicationService;
use crate::endpoint_list::{EndpointList, Member, MemberPhase, endpoint_id};
use crate::handover::protocol::HandoverState;
use crate::holds::{IdHold, IdHolds};
use crate::input::{AcceptedMessage, AppliedCommand, CLOCK_START, CommandReply, CommandResult, Input};
use crate::operations::{OperatorCommand, Rejection};
use crate::operators::flight_recorder::FlightRecorder;
use crate::platform::discovery::Discovery;
use crate::platform::peers::Peers;
use crate::platform::reports::Reports;
use crate::platform::zone_monitor::ZoneMonitor;
use crate::settings::active::ActiveSettings;
use crate::settings::classes::ClassHold;
use crate::settings::config::Config;
use crate::settings::descriptors::HeldDescriptors;
use crate::state::journal::{Journal, OpenMessage, Verdict};
use crate::state::operator_marks::{MAX_OUT_OF_SERVICE, MarkChange};
use crate::state::pending_writes::wait_for_verdict_write;
use hyper::StatusCode;
use notchpoint_policy::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};

/// Pause of a message after its first attempt without consent; it doubles with each further attempt.
const CONSENT_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// A paused message returns to the policy at least this long before its deadline, so that the policy ends it.
const FINAL_DECISION_TIME: Duration = Duration::from_millis(60);
/// Attempts at the predecessor end by their message's deadline, and the report takes some time. A message
/// whose report has not arrived this long after its deadline is ended here.
const PREDECESSOR_REPORT_DELAY: Duration = Duration::from_millis(50);

/// Interval of the checks that no open message is forgotten, and how many messages each of them covers.
const AUDIT_INTERVAL: Duration = Duration::from_millis(100);
const MESSAGES_PER_AUDIT: usize = 256;

/// Interval of the retries of a configuration that the store did not accept.
const CONFIG_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Records a verdict, and sends the platform its notice once that is safe.
fn record_verdict(journal: &Rc<RefCell<Journal>>, reports: &Rc<Reports>, id: MessageId, verdict: Verdict) {
    let written = journal.borrow_mut().record_verdict(id, verdict);
    if written || verdict == Verdict::Dead {
        return reports.push(id, verdict);
    }
    let hold = journal.borrow().hold(id);
    let (journal, reports) = (journal.clone(), reports.clone());
    tokio::task::spawn_local(async move {
        let _hold = hold;
        if let Some(verdict) = wait_for_verdict_write(&journal, id, verdict).await {
            reports.push(id, verdict);
        }
    });
}

/// The policy, its inputs, and the parts that execute its actions.
pub struct DecisionLoop {
    sender: Sender,
    active_settings: Rc<RefCell<ActiveSettings>>,
    kinds: Vec<Kind>,
    tick: Duration,
    started_at: Instant,
    /// The policy's clock at `started_at`; after a hand-over the clock of the predecessor continues.
    clock_origin: Micros,
    /// Text of the configuration in force.
    config_text: String,
    /// The endpoint list as it was last received.
    members: BTreeMap<EndpointId, Member>,
    /// A newer configuration whose classes the store has not accepted yet.
    pending_config: Option<(Box<Config>, String)>,
    /// Messages with an attempt in flight at the predecessor, or in an earlier session: they are decided on
    /// once it ends.
    predecessor_attempts: BTreeSet<MessageId>,
    /// Messages that the predecessor recorded and whose clients have not received the acknowledgement yet.
    unacknowledged: BTreeSet<MessageId>,
    /// Keeps the ids of these messages in use until the predecessor, or the earlier session, has ended: it
    /// may report on them even after they have been decided on here.
    predecessor_holds: Vec<IdHold>,
    /// Keeps the classes of requests that are still being read there, which will be recorded here.
    predecessor_class_holds: Vec<ClassHold>,
    journal: Rc<RefCell<Journal>>,
    calls: Rc<Calls>,
    copies: Option<Rc<ReplicationService>>,
    reports: Rc<Reports>,
    discovery: Rc<Discovery>,
    peers: Option<Peers>,
    zone_monitor: Option<Rc<ZoneMonitor>>,
    flight: Rc<FlightRecorder>,
    admission: Rc<Admission>,
    inputs: UnboundedReceiver<Input>,
    /// Replies to operators' commands that are in effect after the current turn.
    pending_replies: Vec<(CommandReply, CommandResult)>,
    /// The number of attempts of each message that the policy holds or that has an attempt in flight.
    attempts: HashMap<MessageId, AttemptCounts>,
    /// When the policy asked to be called, by its own clock. It is cleared by the same comparison as in the
    /// policy: if the two disagreed on whether this time has passed, the policy might not be called at the
    /// next one.
    wake_at: Option<Micros>,
    last_turn_at: Option<Instant>,
    events: Vec<Event>,
    /// When the next check for forgotten messages is due, and the message that it begins behind.
    next_audit: Instant,
    audited_up_to: Option<MessageId>,
}

/// The limits that the policy sets for an attempt, see [`Action::Send`].
struct AttemptLimits {
    timeout: Duration,
    start_within: Duration,
    proven_only: bool,
}

/// The number of attempts of a message.
struct AttemptCounts {
    made: u32,
    in_flight: u32,
    /// The policy has given the message up. Its verdict may not be recorded yet.
    is_given_up: bool,
    /// The policy, an attempt or the report of its end may still refer to the message.
    _hold: IdHold,
}

impl AttemptCounts {
    fn new(made: u32, in_flight: u32, hold: IdHold) -> Self {
        Self { made, in_flight, is_given_up: false, _hold: hold }
    }
}

/// Messages that are still open in an earlier session of this process.
#[derive(Clone, Default)]
pub struct PredecessorMessages {
    /// Those that have an attempt in flight there.
    pub attempts: BTreeSet<MessageId>,
    /// Those whose acknowledgement is not written yet.
    pub unanswered: BTreeSet<MessageId>,
    /// Those whose requests are forwarded, and which may have a record or not.
    pub forwarded: BTreeSet<MessageId>,
}

/// The parts that a decision loop works with.
pub struct Components {
    pub journal: Rc<RefCell<Journal>>,
    pub active_settings: Rc<RefCell<ActiveSettings>>,
    pub calls: Rc<Calls>,
    pub copies: Option<Rc<ReplicationService>>,
    pub reports: Rc<Reports>,
    pub discovery: Rc<Discovery>,
    pub peers: Option<Peers>,
    pub zone_monitor: Option<Rc<ZoneMonitor>>,
    pub flight: Rc<FlightRecorder>,
    pub admission: Rc<Admission>,
    pub inputs: UnboundedReceiver<Input>,
}

impl DecisionLoop {
    /// Creates a decision loop that has the list from the configuration, and all messages that the store
    /// holds.
    pub fn new(
        config: &Config,
        text: &str,
        predecessor: PredecessorMessages,
        components: Components,
    ) -> Result<Self, SettingsError> {
        let sender = Sender::new(components.active_settings.borrow().settings.clone(), config.seed)?;
        let mut decision_loop = Self::build(sender, config, text, components);
        decision_loop.predecessor_attempts = predecessor.attempts;
        decision_loop.unacknowledged = &predecessor.unanswered | &predecessor.forwarded;
        decision_loop.hold_for_predecessor(&predecessor.forwarded);
        decision_loop.restore_operator_settings();
        let entries = decision_loop.apply_list(&config.initial_list, true);
        decision_loop.events.push(Event::List(ListUpdate::Restored(entries)));
        decision_loop.resume(None);
        Ok(decision_loop)
    }

    /// Creates a decision loop that continues that of the predecessor. The journal's messages are known to
    /// it; only notices are sent again, since it is not known which were delivered.
    pub fn resume_from_handover(config: &Config, state: HandoverState, components: Components) -> Self {
        let unix = components.journal.borrow().unix_now();
        let gap = unix.saturating_sub(state.unix_time);
        let mut decision_loop = Self::build(state.sender, config, &state.config_text, components);
        decision_loop.clock_origin = state.policy_time + gap;
        let marks = decision_loop.journal.borrow().operator_marks().clone();
        decision_loop.admission.set_draining(DrainReason::Operators, marks.standby);
        marks.out_of_service.keys().for_each(|&id| decision_loop.calls.set_out_of_service(id, true));
        let list = EndpointList { revision: state.revision, complete: true, members: state.members };
        decision_loop.apply_list(&list, true);
        decision_loop.events = state.events;
        decision_loop.events.push(Event::Wake);
        decision_loop.wake_at = state.wake_at;
        decision_loop.attempts = state
            .attempt_counts
            .iter()
            .map(|&(id, made, in_flight)| {
                let hold = decision_loop.journal.borrow().hold(id);
                (id, AttemptCounts::new(made, in_flight, hold))
            })
            .collect();
        decision_loop.predecessor_attempts = state.predecessor_attempts.into_iter().collect();
        for (id, open) in decision_loop.journal.clone().borrow().iter() {
            if let Some(verdict) = open.verdict {
                decision_loop.reports.push(id, verdict);
            } else if !decision_loop.attempts.contains_key(&id)
                && !decision_loop.predecessor_attempts.contains(&id)
            {
                decision_loop.unacknowledged.insert(id);
            }
        }
        decision_loop.hold_for_predecessor(&BTreeSet::new());
        decision_loop
    }

    /// Returns the whole state for the successor, and the inputs, which are to be forwarded to it from now
    /// on. This process makes no decisions after that.
    pub fn into_handover_state(mut self) -> (HandoverState, UnboundedReceiver<Input>) {
        self.discovery.stop();
        self.flight.close();
        let (attempts_in_flight, waits) = self.calls.hand_over();
        // Processes, in order, the inputs that are still queued, and those that the hand-over caused.
        while let Ok(input) = self.inputs.try_recv() {
            self.process_input(input);
        }
        self.pending_replies.drain(..).for_each(|(reply, result)| reply.send(result));
        let state = HandoverState {
            config_text: self.config_text.clone(),
            policy_time: self.now(),
            unix_time: self.journal.borrow().unix_now(),
            events: std::mem::take(&mut self.events),
            wake_at: self.wake_at,
            attempt_counts: self.attempts.iter().map(|(&id, a)| (id, a.made, a.in_flight)).collect(),
            attempts_in_flight,
            predecessor_attempts: self.predecessor_attempts.iter().copied().collect(),
            queue_seen_empty: None,
            descriptors: HeldDescriptors::default(),
            waits,
            members: self.members.values().cloned().collect(),
            revision: self.discovery.revision(),
            classes: self.active_settings.borrow().classes.entries(),
            sender: self.sender,
        };
        (state, self.inputs)
    }

    fn build(sender: Sender, config: &Config, text: &str, components: Components) -> Self {
        let Components {
            journal,
            active_settings,
            calls,
            copies,
            reports,
            discovery,
            peers,
            zone_monitor,
            flight,
            admission,
            inputs,
        } = components;
        Self {
            sender,
            active_settings,
            kinds: config.settings.kinds.clone(),
            tick: Duration::from_micros(config.settings.tick),
            started_at: Instant::now(),
            clock_origin: CLOCK_START,
            config_text: text.to_owned(),
            members: BTreeMap::new(),
            pending_config: None,
            predecessor_attempts: BTreeSet::new(),
            unacknowledged: BTreeSet::new(),
            predecessor_holds: Vec::new(),
            predecessor_class_holds: Vec::new(),
            journal,
            calls,
            copies,
            reports,
            discovery,
            peers,
            zone_monitor,
            flight,
            admission,
            inputs,
            pending_replies: Vec::new(),
            attempts: HashMap::new(),
            wake_at: None,
            last_turn_at: None,
            events: Vec::new(),
            next_audit: Instant::now() + AUDIT_INTERVAL,
            audited_up_to: None,
        }
    }

    /// Restores what operators have set, before any message is resumed or sent.
    fn restore_operator_settings(&mut self) {
        let marks = self.journal.borrow().operator_marks().clone();
        self.admission.set_draining(DrainReason::Operators, marks.standby);
        for (&endpoint, name) in &marks.out_of_service {
            tracing::info!("endpoint {name} is out of service by an earlier operators' command");
            self.calls.set_out_of_service(endpoint, true);
            self.events.push(Event::Service { endpoint, out_of_service: true });
        }
    }

    /// Passes open messages of the journal to the policy, which decides on them: all that do not wait for the
    /// predecessor, or only those in `only` that are not known yet.
    fn resume(&mut self, only: Option<&BTreeSet<MessageId>>) {
        let journal = self.journal.clone();
        let mut not_resumable = Vec::new();
        for (id, open) in journal.borrow().iter() {
            let is_skipped = |ids: &BTreeSet<MessageId>| {
                !ids.contains(&id) || open.verdict.is_some() || self.attempts.contains_key(&id)
            };
            let is_waiting = self.predecessor_attempts.contains(&id)
                || only.is_none() && self.unacknowledged.contains(&id);
            if only.is_some_and(is_skipped) || is_waiting {
                continue;
            }
            if let Some(verdict) = open.verdict {
                self.reports.push(id, verdict);
                continue;
            }
            let made = open.attempts_made();
            let Some(event) = self.resume_event(id, open, made) else {
                not_resumable.push(id);
                continue;
            };
            let hold = journal.borrow().hold(id);
            self.attempts.insert(id, AttemptCounts::new(made, 0, hold));
            self.events.push(event);
        }
        // The class of these left the settings, or they were never acknowledged: they can only be ended.
        for id in not_resumable {
            record_verdict(&self.journal, &self.reports, id, Verdict::Dead);
        }
    }

    /// Returns the event that resumes a message; `None` if it cannot be resumed.
    fn resume_event(&self, id: MessageId, open: &OpenMessage, attempts: u32) -> Option<Event> {
        let message = self.policy_message(id, open, true)?;
        // The client may not have received the 202, and may have sent the message again.
        let may_be_resent = self.copies.is_some()
            && !open.is_confirmed
            && self.active_settings.borrow().counts_as_at_most_once(&open.class);
        if may_be_resent {
            return None;
        }
        Some(Event::Resumed { message, attempts, ran_ago: self.first_possible_run(id) })
    }

    /// Returns a message as the policy receives it; `None` if its class left the settings. All comes from the
    /// record: an index of a class or a tenant means another one in another session's tables.
    fn policy_message(&self, id: MessageId, open: &OpenMessage, is_retry: bool) -> Option<Message> {
        let active_settings = self.active_settings.borrow();
        let tenants = &active_settings.names.tenants;
        Some(Message {
            id,
            class: active_settings.classes.index_of(&open.class)? as u32,
            tenant: tenants.iter().position(|name| *name == open.tenant).map(|index| index as u32),
            key: None,
            dest: DestinationId(open.dest),
            is_retry,
            expires_in: self.time_left(id),
        })
    }

    /// Returns the event by which the policy receives a message whose client can have received the
    /// acknowledgement; `None` if there is nothing to decide.
    fn acknowledged_event(&mut self, accepted: &AcceptedMessage) -> Option<Event> {
        let id = accepted.id;
        self.unacknowledged.remove(&id);
        // It may have been resumed from the store already, and may have ended.
        if self.attempts.contains_key(&id) {
            return None;
        }
        let journal = self.journal.clone();
        let message = {
            let journal = journal.borrow();
            let open = journal.get(id).filter(|open| open.verdict.is_none())?;
            self.policy_message(id, open, accepted.is_retry)
        };
        let Some(message) = message else {
            record_verdict(&self.journal, &self.reports, id, Verdict::Dead);
            return None;
        };
        let hold = journal.borrow().hold(id);
        self.attempts.insert(id, AttemptCounts::new(0, 0, hold));
        Some(Event::Taken(message))
    }

    /// The policy's clock.
    fn now(&self) -> Micros {
        self.clock_origin + self.started_at.elapsed().as_micros() as Micros
    }

    /// Runs for as long as it is polled. Dropping the future between two polls stops all decisions; calls in
    /// progress continue, and their ends still reach the journal.
    pub async fn run(&mut self) {
        loop {
            let wake = self
                .wake_at
                .map(|at| self.started_at + Duration::from_micros(at.saturating_sub(self.clock_origin)));
            let alarm = async {
                match wake {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            let wait_ends = self.predecessor_wait_ends();
            let wait_ends = async {
                match wait_ends {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            if self.events.is_empty() && self.pending_replies.is_empty() {
                // The order of branches is fixed, as everywhere in this program: a random choice between two
                // that are ready would make runs impossible to reproduce.
                tokio::select! {
                    biased;
                    () = alarm => self.events.push(Event::Wake),
                    () = wait_ends => self.resume_expired(),
                    input = self.inputs.recv() => {
                        let Some(input) = input else { return };
                        self.process_input(input);
                    }
                    () = sleep_until(self.next_audit) => {
                        self.audit();
                        continue;
                    }
                }
            }
            // Inputs within a tick of the last turn wait; after a quiet time the next turn runs at once.
            if let Some(due) = self.last_turn_at.map(|t| t + self.tick) {
                sleep_until(due).await;
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.process_input(input);
            }
            self.run_turn();
            // The policy has received all events by now, and no input is left that an earlier one precedes.
            if Instant::now() >= self.next_audit {
                self.audit();
            }
        }
    }

    /// Checks some messages of the journal for one that no part of the program will deliver or end, and takes
    /// it up again. It has to be called while no event and no input is waiting.
    fn audit(&mut self) {
        self.next_audit = Instant::now() + AUDIT_INTERVAL;
        let journal = self.journal.clone();
        let forgotten: Vec<(MessageId, Option<Verdict>)> = {
            let journal = journal.borrow();
            let batch = journal.iter_after(self.audited_up_to).take(MESSAGES_PER_AUDIT);
            let (mut checked, mut forgotten) = (0, Vec::new());
            for (id, open) in batch {
                (checked, self.audited_up_to) = (checked + 1, Some(id));
                if self.is_forgotten(id, open, journal.id_holds()) {
                    forgotten.push((id, open.verdict));
                }
            }
            if checked < MESSAGES_PER_AUDIT {
                self.audited_up_to = None;
            }
            forgotten
        };
        for (id, verdict) in forgotten {
            tracing::error!("message {:016x} is open in the journal, but forgotten: it is resumed", id.0);
            self.calls.reasons.count_forgotten_message();
            self.attempts.remove(&id);
            match verdict {
                Some(verdict) => self.reports.push(id, verdict),
                None => self.resume(Some(&BTreeSet::from([id]))),
            }
        }
    }

    /// Whether no part of the program will deliver or end an open message: none holds its id, or only this
    /// loop does, and the policy does not have the message.
    fn is_forgotten(&self, id: MessageId, open: &OpenMessage, holds: &IdHolds) -> bool {
        match self.attempts.get(&id) {
            None => !holds.is_held(id),
            Some(counts) => counts.in_flight == 0 && open.verdict.is_none() && !self.sender.is_open(id),
        }
    }

    /// Holds the ids of messages on which the predecessor may report, and the classes of requests that it
    /// still reads. A request in `forwarded` that has no record yet is about to be recorded, so its id stays
    /// free.
    fn hold_for_predecessor(&mut self, forwarded: &BTreeSet<MessageId>) {
        let journal = self.journal.borrow();
        let ids =
            self.awaiting_predecessor().filter(|id| journal.get(*id).is_some() || !forwarded.contains(id));
        self.predecessor_holds = ids.map(|id| journal.hold(id)).collect();
        if self.calls.has_predecessor() {
            self.predecessor_class_holds = self.active_settings.borrow().classes.hold_all();
        }
    }

    /// Messages on which the predecessor, or an earlier session, has yet to report.
    fn awaiting_predecessor(&self) -> impl Iterator<Item = MessageId> {
        self.predecessor_attempts.iter().chain(&self.unacknowledged).copied()
    }

    /// When the wait for the first of these reports ends.
    fn predecessor_wait_ends(&self) -> Option<Instant> {
        let left = self.awaiting_predecessor().map(|id| Duration::from_micros(self.time_left(id))).min()?;
        Some(Instant::now() + left + PREDECESSOR_REPORT_DELAY)
    }

    /// Resumes those messages whose deadline has passed, so that they end here even if the predecessor goes
    /// on.
    fn resume_expired(&mut self) {
        let expired: BTreeSet<MessageId> =
            self.awaiting_predecessor().filter(|id| self.time_left(*id) == 0).collect();
        self.predecessor_attempts.retain(|id| !expired.contains(id));
        self.unacknowledged.retain(|id| !expired.contains(id));
        self.resume(Some(&expired));
    }

    /// Handles the end of an attempt of the predecessor, or of an earlier session: its message is delivered,
    /// or resumed here.
    fn predecessor_attempt_ended(
        &mut self,
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        is_final: bool,
    ) -> Option<Event> {
        let was_awaited = self.predecessor_attempts.remove(&id);
        if is_final || outcome == Outcome::Served {
            self.journal.borrow_mut().record_end(id);
            return Some(self.withdraw(id));
        }
        if outcome.never_ran() {
            self.journal.borrow_mut().record_never_ran(id, attempt);
        }
        if was_awaited {
            self.resume(Some(&BTreeSet::from([id])));
        }
        None
    }

    /// Applies the newest configuration. The address of the list service takes effect at once; the rest takes
    /// effect in one step, once the store has the classes that messages name.
    fn apply_pending_config(&mut self) -> Option<Event> {
        let (config, text) = self.pending_config.take()?;
        self.discovery.relocate(config.discovery_addr);
        self.reports.relocate(config.discovery_addr);
        let (active_settings, changes, needs_restart) = {
            let (active_settings, journal) = (self.active_settings.borrow(), self.journal.borrow());
            // Includes the classes of accepted messages that the policy has not received yet.
            let mut in_use: BTreeSet<usize> = self.sender.classes_in_use();
            in_use.extend(journal.iter().filter_map(|(_, m)| active_settings.classes.index_of(&m.class)));
            active_settings.reconfigured(&config, &in_use)
        };
        if let Err(why) = self.journal.borrow_mut().update_classes(&changes) {
            tracing::warn!("configuration not applied yet: the store does not accept its classes: {why}");
            self.pending_config = Some((config, text));
            self.schedule_config_retry();
            return None;
        }
        self.config_text = text;
        tracing::info!("configuration reloaded: discovery at {}", config.discovery_addr);
        if !needs_restart.is_empty() {
            tracing::warn!(
                "configuration: changes that take effect at the next start: {}",
                needs_restart.join(", ")
            );
        }
        let is_changed = active_settings.settings != self.active_settings.borrow().settings;
        if let Some(zone_monitor) = self.zone_monitor.as_ref().filter(|_| is_changed) {
            zone_monitor.update_cold_settings(&active_settings.settings);
        }
        let event = is_changed.then(|| Event::Settings(Box::new(active_settings.settings.clone())));
        *self.active_settings.borrow_mut() = active_settings;
        event
    }

    /// Schedules another attempt to apply the pending configuration.
    fn schedule_config_retry(&self) {
        let inputs = self.calls.inputs();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CONFIG_RETRY_INTERVAL).await;
            let _ = inputs.send(Input::RetryConfiguration);
        });
    }

    /// Applies an operator's command. It is answered at the end of the current turn.
    fn apply_command(&mut self, command: OperatorCommand, reply: CommandReply) {
        let result = match &command {
            OperatorCommand::Standby => self.set_standby(true),
            OperatorCommand::Active => self.set_standby(false),
            OperatorCommand::Enter(name) => self.set_endpoint_out(name, true),
            OperatorCommand::Exit(name) => self.set_endpoint_out(name, false),
        };
        let log_end = || self.journal.borrow().log_end();
        self.pending_replies
            .push((reply, result.map(|description| AppliedCommand { description, log_end: log_end() })));
    }

    fn set_standby(&mut self, wanted: bool) -> Result<String, Rejection> {
        self.store_change(MarkChange::Standby(wanted))?;
        self.admission.set_draining(DrainReason::Operators, wanted);
        Ok(if wanted { "standby" } else { "active" }.into())
    }

    /// Takes an endpoint out of service or returns it; repeating a command changes nothing. An id is known as
    /// long as the list names it or the endpoint is out of service.
    fn set_endpoint_out(&mut self, name: &str, out_of_service: bool) -> Result<String, Rejection> {
        let id = endpoint_id(name);
        let (was_out, is_full) = {
            let journal = self.journal.borrow();
            let marks = &journal.operator_marks().out_of_service;
            (marks.get(&id).is_some_and(|n| n == name), marks.len() >= MAX_OUT_OF_SERVICE)
        };
        if !was_out && !self.calls.is_listed(id) {
            return Err(Rejection::new(StatusCode::NOT_FOUND, format!("no endpoint has the id {name}")));
        }
        if out_of_service && !was_out && is_full {
            let why = format!(
                "{MAX_OUT_OF_SERVICE} endpoints are out of service already; return some to service first"
            );
            return Err(Rejection::new(StatusCode::INSUFFICIENT_STORAGE, why));
        }
        self.store_change(MarkChange::OutOfService(id, name.to_owned(), out_of_service))?;
        if was_out != out_of_service {
            self.calls.set_out_of_service(id, out_of_service);
            self.events.push(Event::Service { endpoint: id, out_of_service });
        }
        Ok(format!("{name} {}", if out_of_service { "is out of service" } else { "may serve" }))
    }

    /// Stores what an operator has set. It is refused if it cannot be written, since it would not outlast the
    /// process.
    fn store_change(&mut self, change: MarkChange) -> Result<(), Rejection> {
        let written = self.journal.borrow_mut().set_mark(change);
        written.map_err(|e| {
            Rejection::new(StatusCode::INSUFFICIENT_STORAGE, format!("cannot write to the store: {e}"))
        })
    }

    /// Processes one input; most of them become an event for the next turn.
    fn process_input(&mut self, input: Input) {
        let event = match input {
            // The message's record is deleted already. The message is known here only if the store was read
            // before its client had gone.
            Input::Unacknowledged(id) => {
                self.unacknowledged.remove(&id);
                if !self.attempts.contains_key(&id) {
                    return;
                }
                self.withdraw(id)
            }
            Input::PredecessorAttemptEnded { id, attempt, outcome, is_final } => {
                match self.predecessor_attempt_ended(id, attempt, outcome, is_final) {
                    Some(event) => event,
                    None => return,
                }
            }
            Input::PredecessorEnded(recorded) => {
                let mut messages: BTreeSet<MessageId> = recorded.iter().map(IdHold::key).collect();
                messages.append(&mut self.predecessor_attempts);
                messages.append(&mut self.unacknowledged);
                self.resume(Some(&messages));
                self.predecessor_holds.clear();
                self.predecessor_class_holds.clear();
                return;
            }
            Input::ConfigurationChanged(config, text) => {
                self.pending_config = Some((config, text));
                match self.apply_pending_config() {
                    Some(event) => event,
                    None => return,
                }
            }
            Input::RetryConfiguration => match self.apply_pending_config() {
                Some(event) => event,
                None => return,
            },
            Input::Adopted(hold) => return self.take_over(hold.key()),
            Input::OwnershipLost(id) => self.withdraw(id),
            Input::ConsentDenied(id) => match self.pause(id) {
                Some(event) => event,
                None => return,
            },
            Input::DeliveryUncertain(hold) => return self.reports.push(hold.key(), Verdict::Dead),
            Input::PauseElapsed(hold) => return self.resume(Some(&BTreeSet::from([hold.key()]))),
            Input::OperatorCommand(command, reply) => return self.apply_command(command, reply),
            Input::RedirectClients(wanted) => return self.admission.set_draining(DrainReason::Zone, wanted),
            Input::Event(event) => event,
            Input::Acknowledged(accepted) => match self.acknowledged_event(&accepted) {
                Some(event) => event,
                None => return,
            },
            Input::ListUpdate(list) => {
                let entries = self.apply_list(&list, list.complete);
                Event::List(if list.complete {
                    ListUpdate::Whole(entries)
                } else {
                    ListUpdate::Changes(entries)
                })
            }
            // The watch may have ended just before another one replaced it.
            Input::WatchEnded(number) if !self.discovery.is_current(number) => return,
            Input::WatchEnded(_) => Event::List(ListUpdate::Unavailable),
        };
        if let Event::Ended { id, .. } = event {
            let is_open = self.journal.borrow().get(id).is_some_and(|m| m.verdict.is_none());
            if let Some(counts) = self.attempts.get_mut(&id) {
                counts.in_flight = counts.in_flight.saturating_sub(1);
                if counts.in_flight == 0 && (!is_open || counts.is_given_up) {
                    self.attempts.remove(&id);
                }
            }
        }
        self.events.push(event);
    }

    /// Withdraws a message from the policy, and cancels its attempts.
    fn withdraw(&mut self, id: MessageId) -> Event {
        self.calls.cancel_all(id);
        if self.attempts.get(&id).is_some_and(|a| a.in_flight == 0) {
            self.attempts.remove(&id);
        }
        Event::Withdrawn(id)
    }

    /// Resumes a message that another sender had acknowledged, as after a restart.
    fn take_over(&mut self, id: MessageId) {
        let verdict = self.journal.borrow().get(id).and_then(|open| open.verdict);
        match verdict {
            Some(verdict) => self.reports.push(id, verdict),
            None => self.resume(Some(&BTreeSet::from([id]))),
        }
    }

    /// Pauses a message whose attempt was not made for lack of consent. The message is withdrawn from the
    /// policy and resumed later: if the policy kept it, it would retry at once, and hold a slot for each
    /// wait.
    fn pause(&mut self, id: MessageId) -> Option<Event> {
        let pause = {
            let journal = self.journal.borrow();
            let open = journal.get(id).filter(|o| o.verdict.is_none())?;
            let left = Duration::from_micros(open.deadline.saturating_sub(journal.unix_now()));
            (CONSENT_PAUSE * (1 << open.attempts_made().min(MAX_PAUSE_DOUBLINGS)))
                .min(left.saturating_sub(FINAL_DECISION_TIME))
        };
        self.attempts.get(&id).filter(|a| a.in_flight == 0)?;
        self.attempts.remove(&id);
        let (inputs, hold) = (self.calls.inputs(), self.journal.borrow().hold(id));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            let _ = inputs.send(Input::PauseElapsed(hold));
        });
        Some(Event::Withdrawn(id))
    }

    /// Updates the endpoints of the calls from a list, or from changes to it, and returns the policy's
    /// entries.
    fn apply_list(&mut self, list: &EndpointList, is_whole: bool) -> Vec<ListEntry> {
        let entries: Vec<ListEntry> = list.members.iter().map(|m| self.policy_entry(m)).collect();
        if is_whole {
            self.members.clear();
        }
        for (entry, member) in entries.iter().zip(&list.members) {
            if member.phase == MemberPhase::Removed {
                self.members.remove(&entry.endpoint);
            } else {
                self.members.insert(entry.endpoint, member.clone());
            }
        }
        if is_whole {
            let named: HashSet<_> = entries.iter().map(|e| e.endpoint).collect();
            let removed = self.calls.listed().into_iter().filter(|id| !named.contains(id));
            removed.for_each(|id| self.calls.update_endpoint(id, None));
        }
        for (entry, member) in entries.iter().zip(&list.members) {
            // The policy does not use an endpoint whose kind the settings do not name.
            let Some(&Kind { per_endpoint, max_bundle }) = self.kinds.get(entry.kind as usize) else {
                continue;
            };
            let (live, max_bundle) = (entry.phase == Phase::Live, max_bundle as usize);
            let target = Target { address: member.address, dest: entry.dest, live, per_endpoint, max_bundle };
            self.calls.update_endpoint(entry.endpoint, (entry.phase != Phase::Gone).then_some(target));
            self.flight.record_name(entry.endpoint, &member.id);
            if let Some(zone_monitor) = &self.zone_monitor {
                zone_monitor.update_endpoint(
                    entry.endpoint,
                    entry.dest,
                    &member.zone,
                    entry.phase == Phase::Gone,
                );
            }
        }
        self.flight.retain_names(|id| self.calls.is_listed(id));
        if let Some(zone_monitor) = &self.zone_monitor {
            zone_monitor.retain_endpoints(|id| self.calls.is_listed(id));
        }
        entries
    }

    /// Converts a member of the list into the policy's form.
    fn policy_entry(&self, member: &Member) -> ListEntry {
        let index_of = |list: &[String], name: &str| list.iter().position(|n| n == name).map(|n| n as u32);
        let names = &self.active_settings.borrow().names;
        ListEntry {
            endpoint: endpoint_id(&member.id),
            dest: DestinationId(member.dest),
            zone: index_of(&names.zones, &member.zone).unwrap_or(u32::MAX),
            kind: index_of(&names.kinds, &member.kind).unwrap_or(u32::MAX),
            phase: match member.phase {
                MemberPhase::Up => Phase::Live,
                MemberPhase::Draining => Phase::Draining,
                MemberPhase::Removed => Phase::Gone,
            },
        }
    }

    /// The time until a message's deadline, by its record.
    fn time_left(&self, id: MessageId) -> Micros {
        let journal = self.journal.borrow();
        journal.get(id).map_or(0, |open| open.deadline.saturating_sub(journal.unix_now()))
    }

    /// How long ago the earliest attempt that may have run was made, and at which endpoint.
    fn first_possible_run(&self, id: MessageId) -> Option<(Micros, EndpointId)> {
        let journal = self.journal.borrow();
        let (open, now) = (journal.get(id)?, journal.unix_now());
        let first = open.attempts.iter().filter(|a| !a.never_ran).min_by_key(|a| a.started_at)?;
        Some((now.saturating_sub(first.started_at), first.endpoint))
    }

    /// Recomputes the durations in events. The policy counts them from the turn in which it receives them,
    /// and an event may have waited for its turn: for seconds if the start waits for an address, or after a
    /// hand-over.
    fn refresh_durations(&self, events: &mut [Event]) {
        for event in events {
            match event {
                Event::Taken(message) => message.expires_in = self.time_left(message.id),
                Event::Resumed { message, ran_ago, .. } => {
                    message.expires_in = self.time_left(message.id);
                    *ran_ago = self.first_possible_run(message.id);
                }
                _ => {}
            }
        }
    }

    /// Makes sure that the policy knows the classes of messages that were taken over before it receives these
    /// events.
    fn pass_on_added_classes(&self, events: &mut Vec<Event>) {
        let settings = &self.active_settings.borrow().settings;
        let is_new = |event: &Event| matches!(event, Event::Settings(new) if new.classes == settings.classes);
        if self.sender.settings().classes != settings.classes && !events.iter().any(is_new) {
            events.insert(0, Event::Settings(Box::new(settings.clone())));
        }
    }

    /// Passes the collected events to the policy and executes its actions.
    fn run_turn(&mut self) {
        let mut actions = Vec::new();
        let mut events = std::mem::take(&mut self.events);
        self.last_turn_at = Some(Instant::now());
        self.pass_on_added_classes(&mut events);
        self.refresh_durations(&mut events);
        let now = self.now();
        if cfg!(debug_assertions) {
            self.check_connections(&events);
        }
        self.wake_at = self.wake_at.filter(|&w| w > now);
        self.sender.handle(now, &events, &mut actions);
        self.flight.record_turn(now, &events, &actions, &self.sender);
        let mut new_calls: Vec<(EndpointId, Vec<CallItem>)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, start_within, proven_only } => {
                    let [timeout, start_within] = [timeout, start_within].map(Duration::from_micros);
                    let limits = AttemptLimits { timeout, start_within, proven_only };
                    self.add_to_call(&mut new_calls, id, endpoint, limits);
                }
                Action::Cancel { id, attempt } => self.calls.cancel(id, attempt),
                Action::Refuse { id, retry_after } => {
                    self.give_up(id, Verdict::Bounced(retry_after.div_ceil(1_000)))
                }
                Action::Fail { id } => self.give_up(id, Verdict::Dead),
                Action::WakeAt(at) => {
                    let at = at.max(self.clock_origin);
                    self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
                }
                Action::Watch => self.discovery.watch(),
                Action::Note { to, body } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &body);
                    }
                }
                Action::CloseIdle { endpoint } => self.calls.close_idle(endpoint),
                Action::Log(line) => tracing::info!("{line}"),
                // The protocol has no probes, and the policy requests none; a watch delivers the whole list.
                Action::Probe { .. } | Action::Fetch => {}
            }
        }
        new_calls.into_iter().for_each(|(endpoint, items)| self.calls.start(endpoint, items));
        self.pending_replies.drain(..).for_each(|(reply, result)| reply.send(result));
        if cfg!(debug_assertions) {
            self.check_held_messages();
        }
    }

    /// Checks in debug builds that the policy's view of connections and attempts, after these events, matches
    /// the actual ones: with a difference, the policy would decide on wrong facts.
    fn check_connections(&self, events: &[Event]) {
        let in_flight = self.calls.attempts_in_flight();
        let ended = events.iter().filter(|e| matches!(e, Event::Ended { .. })).count();
        let expected = self.sender.attempts_in_flight();
        assert_eq!(
            expected,
            in_flight + ended,
            "attempts in flight: in the policy, and actual with those that ended"
        );
        let actual = self.calls.idle_connections();
        for (id, expected) in self.sender.idle_connections() {
            let after = events.iter().fold(expected, |n, e| match e {
                Event::Unused(x) if *x == id => n + 1,
                Event::Closed(x) if *x == id => n.saturating_sub(1),
                _ => n,
            });
            let actual = actual.get(&id).copied().unwrap_or(0);
            assert_eq!(after, actual, "idle connections to {id:?}");
        }
    }

    /// Checks in debug builds that the policy holds the messages that are open in the journal, except those
    /// that it has not received yet.
    fn check_held_messages(&self) {
        let journal = self.journal.borrow();
        let open = journal.iter().filter(|(id, m)| m.verdict.is_none() && self.attempts.contains_key(id));
        let open: Vec<MessageId> = open.map(|(id, _)| id).collect();
        // A message that the status line of its response has settled has ended in the journal; the policy is
        // informed once the rest of the response has arrived or is overdue.
        let is_settled =
            |id| journal.get(id).is_none() && self.attempts.get(&id).is_some_and(|a| a.in_flight > 0);
        let held = self.sender.open_messages().into_iter().map(|o| o.0).filter(|id| !is_settled(*id));
        let held: Vec<MessageId> = held.collect();
        assert_eq!(held, open, "messages that the policy holds, and open messages of the journal");
    }

    /// Adds a message to a call that this turn makes to the endpoint. A call that has as many messages as the
    /// endpoint's kind allows, or one with the same request id, is followed by another one.
    fn add_to_call(
        &mut self,
        new_calls: &mut Vec<(EndpointId, Vec<CallItem>)>,
        id: MessageId,
        endpoint: EndpointId,
        limits: AttemptLimits,
    ) {
        let max_bundle = self.calls.max_bundle(endpoint);
        let request_id = self.journal.borrow().request_id(id);
        let content = |m: &OpenMessage| (m.idempotency_key.clone(), m.body.clone());
        let (idempotency_key, body) = self.journal.borrow().get(id).map(content).unwrap_or_default();
        let new_counts = || AttemptCounts::new(0, 0, self.journal.borrow().hold(id));
        let counts = self.attempts.entry(id).or_insert_with(new_counts);
        let AttemptLimits { timeout, start_within, proven_only } = limits;
        let item = CallItem {
            id,
            request_id,
            attempt: counts.made,
            timeout,
            start_within,
            proven_only,
            idempotency_key,
            body,
        };
        counts.made += 1;
        counts.in_flight += 1;
        let has_place = |items: &[CallItem]| {
            items.len() < max_bundle && items.iter().all(|item| item.request_id != request_id)
        };
        match new_calls.iter_mut().find(|(e, items)| *e == endpoint && has_place(items)) {
            Some((_, items)) => items.push(item),
            None => new_calls.push((endpoint, vec![item])),
        }
    }

    /// Ends a message that the policy has given up: records the verdict first, then sends the notice.
    fn give_up(&mut self, id: MessageId, verdict: Verdict) {
        if self.journal.borrow().get(id).is_none() {
            return;
        }
        self.calls.reasons.count_notice(verdict);
        tracing::debug!("message {:016x} given up: {verdict:?}", id.0);
        match (&self.copies, verdict) {
            (Some(copies), Verdict::Bounced(_)) if self.counts_as_at_most_once(id) => {
                // Another sender may have taken it over, or may still do so: that the client sends it again
                // is harmless only once no sender can attempt it any more.
                let (copies, journal, reports) = (copies.clone(), self.journal.clone(), self.reports.clone());
                let hold = journal.borrow().hold(id);
                tokio::task::spawn_local(async move {
                    let _hold = hold;
                    let verdict = if copies.close_message(id).await { verdict } else { Verdict::Dead };
                    if journal.borrow().get(id).is_some_and(|o| o.verdict.is_none()) {
                        record_verdict(&journal, &reports, id, verdict);
                    }
                });
            }
            _ => record_verdict(&self.journal, &self.reports, id, verdict),
        }
        match self.attempts.get_mut(&id) {
            Some(counts) if counts.in_flight > 0 => counts.is_given_up = true,
            _ => drop(self.attempts.remove(&id)),
        }
    }

    /// Whether a message counts as at-most-once, see [`ActiveSettings::counts_as_at_most_once`]. One that the
    /// journal does not hold does.
    fn counts_as_at_most_once(&self, id: MessageId) -> bool {
        self.journal
            .borrow()
            .get(id)
            .is_none_or(|open| self.active_settings.borrow().counts_as_at_most_once(&open.class))
    }

    /// Whether the journal holds no message.
    pub fn has_no_messages(&self) -> bool {
        self.journal.borrow().iter().next().is_none()
    }
}

#[cfg(test)]
mod tests;
