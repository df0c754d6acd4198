//! The one owner of the decision module: hands it what happened, once a tick at most, and does what it says.

use crate::calls::{Calls, Item, Target};
use crate::clients::admission::{Admission, DrainReason};
use crate::copies::service::ReplicationService;
use crate::endpoint_list::{EndpointList, Member, State, endpoint};
use crate::handover::protocol::State as Given;
use crate::input::{Answer, CLOCK_START, Done, Input, Reply};
use crate::operations::{No, Word};
use crate::operators::flight::Flight;
use crate::platform::discovery::Discovery;
use crate::platform::peers::Peers;
use crate::platform::reports::Reports;
use crate::platform::zone_monitor::ZoneMonitor;
use crate::settings::active::ActiveSettings;
use crate::settings::config::Config;
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

/// A message without consent rests so long after its first attempt, and twice as long after each further one.
const REST: Duration = Duration::from_millis(100);
const REST_MOST: u32 = 6;
/// It is given to the module again so long before its time is up, to be ended by it.
const LAST_WORD: Duration = Duration::from_millis(60);
/// What an earlier process has out ends with its time, and its word takes a moment: so long behind it the
/// message is ended here all the same.
const WORD_OF_ANOTHER: Duration = Duration::from_millis(50);

/// A configuration that the store did not take is tried again after this.
const CONFIGURE_AGAIN: Duration = Duration::from_millis(200);

/// Records a verdict, and has the platform told of it once that is safe.
fn tell_verdict(journal: &Rc<RefCell<Journal>>, reports: &Rc<Reports>, id: MessageId, verdict: Verdict) {
    let written = journal.borrow_mut().record_verdict(id, verdict);
    if written || verdict == Verdict::Dead {
        return reports.push(id, verdict);
    }
    let (journal, reports) = (journal.clone(), reports.clone());
    tokio::task::spawn_local(async move {
        if let Some(verdict) = wait_for_verdict_write(&journal, id, verdict).await {
            reports.push(id, verdict);
        }
    });
}

pub struct DecisionLoop {
    sender: Sender,
    terms: Rc<RefCell<ActiveSettings>>,
    kinds: Vec<Kind>,
    tick: Duration,
    started: Instant,
    /// The module's clock when this process started it: where it took over, the clock goes on.
    origin: Micros,
    /// The configuration in force, and the list as it was last told.
    text: String,
    members: BTreeMap<EndpointId, Member>,
    /// A newer configuration that waits for the store to take its classes.
    unstored: Option<(Box<Config>, String)>,
    /// Messages with a call out that began in an earlier life: what becomes of them is seen at its end.
    elsewhere: BTreeSet<MessageId>,
    /// Messages that the process before this one recorded and whose clients have not heard yet.
    unheard: BTreeSet<MessageId>,
    journal: Rc<RefCell<Journal>>,
    calls: Rc<Calls>,
    copies: Option<Rc<ReplicationService>>,
    reports: Rc<Reports>,
    discovery: Rc<Discovery>,
    peers: Option<Peers>,
    zone_monitor: Option<Rc<ZoneMonitor>>,
    flight: Rc<Flight>,
    admission: Rc<Admission>,
    inputs: UnboundedReceiver<Input>,
    /// Words that hold after this turn.
    replies: Vec<(Reply, Answer)>,
    /// The attempts made for each message that is open or has one out.
    attempts: HashMap<MessageId, Attempts>,
    /// When the module asked to be called, by its own clock. It is forgotten by the same comparison as over
    /// there: a moment that only one of the two takes to have passed would leave neither waiting for the
    /// next.
    wake: Option<Micros>,
    last_turn: Option<Instant>,
    events: Vec<Event>,
}

/// What the module says of an attempt that it starts, see [`Action::Send`].
struct Attempt {
    timeout: Duration,
    within: Duration,
    proven_only: bool,
}

#[derive(Default)]
struct Attempts {
    made: u32,
    out: u32,
}

/// What a node is made of.
pub struct Components {
    pub journal: Rc<RefCell<Journal>>,
    pub terms: Rc<RefCell<ActiveSettings>>,
    pub calls: Rc<Calls>,
    pub copies: Option<Rc<ReplicationService>>,
    pub reports: Rc<Reports>,
    pub discovery: Rc<Discovery>,
    pub peers: Option<Peers>,
    pub zone_monitor: Option<Rc<ZoneMonitor>>,
    pub flight: Rc<Flight>,
    pub admission: Rc<Admission>,
    pub inputs: UnboundedReceiver<Input>,
}

impl DecisionLoop {
    /// A node that has the list known before, and all messages that an earlier process left open.
    pub fn new(
        config: &Config,
        text: &str,
        (elsewhere, unheard): (BTreeSet<MessageId>, BTreeSet<MessageId>),
        parts: Components,
    ) -> Result<Self, SettingsError> {
        let sender = Sender::new(parts.terms.borrow().settings.clone(), config.seed)?;
        let mut node = Self::build(sender, config, text, parts);
        (node.elsewhere, node.unheard) = (elsewhere, unheard);
        node.restore_marks();
        let entries = node.entries(&config.initial_list, true);
        node.events.push(Event::List(ListUpdate::Restored(entries)));
        node.resume(None);
        Ok(node)
    }

    /// A node that goes on where another process's was. What the journal holds is that process's as well:
    /// only notices are told again, since who was told is not known.
    pub fn continued(config: &Config, given: Given, parts: Components) -> Self {
        let unix = parts.journal.borrow().unix_now();
        let gap = unix.saturating_sub(given.unix);
        let mut node = Self::build(given.sender, config, &given.text, parts);
        node.origin = given.at + gap;
        let marks = node.journal.borrow().operator_marks().clone();
        node.admission.set_draining(DrainReason::Operators, marks.standby);
        marks.out_of_service.keys().for_each(|&id| node.calls.set_out(id, true));
        let list = EndpointList { revision: given.revision, complete: true, members: given.members };
        node.entries(&list, true);
        node.events = given.events;
        node.events.push(Event::Wake);
        node.wake = given.wake;
        node.attempts = given.attempts.iter().map(|&(id, made, out)| (id, Attempts { made, out })).collect();
        node.elsewhere = given.elsewhere.into_iter().collect();
        for (id, open) in node.journal.clone().borrow().iter() {
            if let Some(verdict) = open.verdict {
                node.reports.push(id, verdict);
            } else if !node.attempts.contains_key(&id) && !node.elsewhere.contains(&id) {
                node.unheard.insert(id);
            }
        }
        node
    }

    /// Gives all that is known away; after that this process decides nothing. What comes in from now on is
    /// for who took it.
    pub fn give(mut self) -> (Given, UnboundedReceiver<Input>) {
        self.discovery.stop();
        self.flight.close();
        let (out, waits) = self.calls.give();
        // What has happened and was not told yet, in its order, and what the give-away itself brought.
        while let Ok(input) = self.inputs.try_recv() {
            self.note(input);
        }
        self.replies.drain(..).for_each(|(reply, answer)| reply.give(answer));
        let given = Given {
            text: self.text.clone(),
            at: self.now(),
            unix: self.journal.borrow().unix_now(),
            events: std::mem::take(&mut self.events),
            wake: self.wake,
            attempts: self.attempts.iter().map(|(&id, a)| (id, a.made, a.out)).collect(),
            out,
            elsewhere: self.elsewhere.iter().copied().collect(),
            queue_seen_empty: None,
            waits,
            members: self.members.values().cloned().collect(),
            revision: self.discovery.revision(),
            classes: self.terms.borrow().classes.entries(),
            sender: self.sender,
        };
        (given, self.inputs)
    }

    fn build(sender: Sender, config: &Config, text: &str, parts: Components) -> Self {
        let Components {
            journal,
            terms,
            calls,
            copies,
            reports,
            discovery,
            peers,
            zone_monitor,
            flight,
            admission,
            inputs,
        } = parts;
        Self {
            sender,
            terms,
            kinds: config.settings.kinds.clone(),
            tick: Duration::from_micros(config.settings.tick),
            started: Instant::now(),
            origin: CLOCK_START,
            text: text.to_owned(),
            members: BTreeMap::new(),
            unstored: None,
            elsewhere: BTreeSet::new(),
            unheard: BTreeSet::new(),
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
            replies: Vec::new(),
            attempts: HashMap::new(),
            wake: None,
            last_turn: None,
            events: Vec::new(),
        }
    }

    /// What operators had set holds before anything is taken up or sent.
    fn restore_marks(&mut self) {
        let marks = self.journal.borrow().operator_marks().clone();
        self.admission.set_draining(DrainReason::Operators, marks.standby);
        for (&endpoint, name) in &marks.out_of_service {
            tracing::info!("endpoint {name} is out of service, as operators set it");
            self.calls.set_out(endpoint, true);
            self.events.push(Event::Service { endpoint, out_of_service: true });
        }
    }

    /// Takes up what the journal holds open, or of that only these, as far as they are not known yet. What
    /// becomes of each is the module's decision.
    fn resume(&mut self, only: Option<&BTreeSet<MessageId>>) {
        let journal = self.journal.clone();
        for (id, open) in journal.borrow().iter() {
            let known = |ids: &BTreeSet<MessageId>| {
                !ids.contains(&id) || open.verdict.is_some() || self.attempts.contains_key(&id)
            };
            let waits = self.elsewhere.contains(&id) || only.is_none() && self.unheard.contains(&id);
            if only.is_some_and(known) || waits {
                continue;
            }
            if let Some(verdict) = open.verdict {
                self.reports.push(id, verdict);
                continue;
            }
            let made = open.attempts_made();
            self.attempts.insert(id, Attempts { made, out: 0 });
            let Some(event) = self.resumed(id, open, made) else {
                // Its class left the settings, or it was not promised: nothing but its end can come of it.
                self.reports.push(id, Verdict::Dead);
                continue;
            };
            self.events.push(event);
        }
    }

    fn resumed(&self, id: MessageId, open: &OpenMessage, attempts: u32) -> Option<Event> {
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name).map(|n| n as u32);
        let terms = self.terms.borrow();
        let message = Message {
            id,
            class: terms.classes.index_of(&open.class)? as u32,
            tenant: place(&terms.names.tenants, &open.tenant),
            key: None,
            dest: DestinationId(open.dest),
            is_retry: true,
            expires_in: self.left(id),
        };
        // Its client may not have heard 202, and have handed it in again.
        let unsure = self.copies.is_some()
            && !open.is_confirmed
            && self.terms.borrow().is_unsafe_to_repeat(&open.class);
        if unsure {
            return None;
        }
        Some(Event::Resumed { message, attempts, ran_ago: self.ran(id) })
    }

    fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    /// Runs for as long as it is polled. Dropping it between two polls stops all decisions; calls that are
    /// out go on, and their ends still reach the journal.
    pub async fn run(&mut self) {
        loop {
            let wake =
                self.wake.map(|at| self.started + Duration::from_micros(at.saturating_sub(self.origin)));
            let alarm = async {
                match wake {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            let unattended = self.unattended_until();
            let unattended = async {
                match unattended {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            if self.events.is_empty() && self.replies.is_empty() {
                // The order is fixed, here as wherever this program waits for several things: what decides
                // between two that are ready must not be chance, or no run could be played again.
                tokio::select! {
                    biased;
                    () = alarm => self.events.push(Event::Wake),
                    () = unattended => self.attend(),
                    input = self.inputs.recv() => {
                        let Some(input) = input else { return };
                        self.note(input);
                    }
                }
            }
            // What comes within a tick of the last turn waits; after quiet a turn is due at once.
            if let Some(due) = self.last_turn.map(|t| t + self.tick) {
                sleep_until(due).await;
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.note(input);
            }
            self.turn();
        }
    }

    /// Messages that an earlier process, or life, has to tell of.
    fn unattended(&self) -> impl Iterator<Item = MessageId> {
        self.elsewhere.iter().chain(&self.unheard).copied()
    }

    /// Until when the first of them is waited for.
    fn unattended_until(&self) -> Option<Instant> {
        let left = self.unattended().map(|id| Duration::from_micros(self.left(id))).min()?;
        Some(Instant::now() + left + WORD_OF_ANOTHER)
    }

    /// Takes up those whose time is over: nobody else may, however long the earlier process stays.
    fn attend(&mut self) {
        let over: BTreeSet<MessageId> = self.unattended().filter(|id| self.left(*id) == 0).collect();
        self.elsewhere.retain(|id| !over.contains(id));
        self.unheard.retain(|id| !over.contains(id));
        self.resume(Some(&over));
    }

    /// An attempt of an earlier life has ended: its message is delivered, or is taken up here.
    fn ended_elsewhere(
        &mut self,
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        over: bool,
    ) -> Option<Event> {
        let waited_for = self.elsewhere.remove(&id);
        if over || outcome == Outcome::Served {
            self.journal.borrow_mut().record_end(id);
            return Some(self.withdraw(id));
        }
        if outcome.never_ran() {
            self.journal.borrow_mut().record_never_ran(id, attempt);
        }
        if waited_for {
            self.resume(Some(&BTreeSet::from([id])));
        }
        None
    }

    /// Takes the newest configuration. Where the list service is holds at once; all else holds as one step,
    /// once the store has the classes that messages name.
    fn configure(&mut self) -> Option<Event> {
        let (config, text) = self.unstored.take()?;
        self.discovery.relocate(config.discovery_addr);
        self.reports.relocate(config.discovery_addr);
        let (terms, changes, waits) = {
            let (terms, journal) = (self.terms.borrow(), self.journal.borrow());
            // Also what was taken on and the module has not heard of yet.
            let mut in_use: BTreeSet<usize> = self.sender.classes_in_use();
            in_use.extend(journal.iter().filter_map(|(_, m)| terms.classes.index_of(&m.class)));
            terms.reconfigured(&config, &in_use)
        };
        if let Err(why) = self.journal.borrow_mut().update_classes(&changes) {
            tracing::warn!("the configuration waits for the store: {why}");
            self.unstored = Some((config, text));
            self.retry_configuration();
            return None;
        }
        self.text = text;
        tracing::info!("configuration read anew: discovery at {}", config.discovery_addr);
        if !waits.is_empty() {
            tracing::warn!("some of it waits for the next start: {}", waits.join(", "));
        }
        let changed = terms.settings != self.terms.borrow().settings;
        if let Some(zone_monitor) = self.zone_monitor.as_ref().filter(|_| changed) {
            zone_monitor.update_cold_settings(&terms.settings);
        }
        let event = changed.then(|| Event::Settings(Box::new(terms.settings.clone())));
        *self.terms.borrow_mut() = terms;
        event
    }

    fn retry_configuration(&self) {
        let inputs = self.calls.inputs();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CONFIGURE_AGAIN).await;
            let _ = inputs.send(Input::RetryConfiguration);
        });
    }

    /// Takes an operator's word. It is answered once the turn that it belongs to is over.
    fn word(&mut self, word: Word, reply: Reply) {
        let done = match &word {
            Word::Standby => self.stand_by(true),
            Word::Active => self.stand_by(false),
            Word::Enter(name) => self.take_out(name, true),
            Word::Exit(name) => self.take_out(name, false),
        };
        let mark = || self.journal.borrow().log_end();
        self.replies.push((reply, done.map(|what| Done { what, mark: mark() })));
    }

    fn stand_by(&mut self, wanted: bool) -> Result<String, No> {
        self.enter_mark(MarkChange::Standby(wanted))?;
        self.admission.set_draining(DrainReason::Operators, wanted);
        Ok(if wanted { "standby" } else { "active" }.into())
    }

    /// Told twice is told once. An id is known as long as the list names it or it is out.
    fn take_out(&mut self, name: &str, out: bool) -> Result<String, No> {
        let id = endpoint(name);
        let (was, many) = {
            let journal = self.journal.borrow();
            let marks = &journal.operator_marks().out_of_service;
            (marks.get(&id).is_some_and(|n| n == name), marks.len() >= MAX_OUT_OF_SERVICE)
        };
        if !was && !self.calls.is_listed(id) {
            return Err(No::new(StatusCode::NOT_FOUND, format!("no endpoint has the id {name}")));
        }
        if out && !was && many {
            let why = format!("{MAX_OUT_OF_SERVICE} endpoints are out already; put some back first");
            return Err(No::new(StatusCode::INSUFFICIENT_STORAGE, why));
        }
        self.enter_mark(MarkChange::OutOfService(id, name.to_owned(), out))?;
        if was != out {
            self.calls.set_out(id, out);
            self.events.push(Event::Service { endpoint: id, out_of_service: out });
        }
        Ok(format!("{name} {}", if out { "is out of service" } else { "may serve" }))
    }

    /// A mark that cannot be written is none: it would not outlast the process.
    fn enter_mark(&mut self, change: MarkChange) -> Result<(), No> {
        let written = self.journal.borrow_mut().set_mark(change);
        written.map_err(|e| No::new(StatusCode::INSUFFICIENT_STORAGE, format!("the store: {e}")))
    }

    fn note(&mut self, input: Input) {
        let event = match input {
            // Nothing is owed for it, and the record is gone. It is known here only where the folder was read
            // before its client had gone.
            Input::Unacknowledged(id) => {
                self.unheard.remove(&id);
                if !self.attempts.contains_key(&id) {
                    return;
                }
                self.withdraw(id)
            }
            Input::PredecessorAttemptEnded { id, attempt, outcome, over } => {
                match self.ended_elsewhere(id, attempt, outcome, over) {
                    Some(event) => event,
                    None => return,
                }
            }
            Input::PredecessorEnded(mut taken) => {
                taken.append(&mut self.elsewhere);
                taken.append(&mut self.unheard);
                return self.resume(Some(&taken));
            }
            Input::ConfigurationChanged(config, text) => {
                self.unstored = Some((config, text));
                match self.configure() {
                    Some(event) => event,
                    None => return,
                }
            }
            Input::RetryConfiguration => match self.configure() {
                Some(event) => event,
                None => return,
            },
            Input::Adopted(id) => return self.adopt(id),
            Input::OwnershipLost(id) => self.withdraw(id),
            Input::ConsentDenied(id) => match self.park(id) {
                Some(event) => event,
                None => return,
            },
            Input::DeliveryUncertain(id) => return self.reports.push(id, Verdict::Dead),
            Input::PauseElapsed(id) => return self.resume(Some(&BTreeSet::from([id]))),
            Input::OperatorCommand(word, reply) => return self.word(word, reply),
            Input::RedirectClients(wanted) => return self.admission.set_draining(DrainReason::Zone, wanted),
            Input::Event(event) => event,
            Input::Acknowledged(accepted) => {
                self.unheard.remove(&accepted.id);
                // Taken up from the folder already, and perhaps over.
                let known = self.attempts.contains_key(&accepted.id);
                if known || self.journal.borrow().get(accepted.id).is_none() {
                    return;
                }
                self.attempts.insert(accepted.id, Attempts::default());
                Event::Taken(accepted.message(self.left(accepted.id)))
            }
            Input::ListUpdate(news) => {
                let entries = self.entries(&news, news.complete);
                Event::List(if news.complete {
                    ListUpdate::Whole(entries)
                } else {
                    ListUpdate::Changes(entries)
                })
            }
            // It may have ended just before another took its place.
            Input::WatchEnded(number) if !self.discovery.is_current(number) => return,
            Input::WatchEnded(_) => Event::List(ListUpdate::Unavailable),
        };
        if let Event::Ended { id, .. } = event {
            let open = self.journal.borrow().get(id).is_some_and(|m| m.verdict.is_none());
            if let Some(a) = self.attempts.get_mut(&id) {
                a.out = a.out.saturating_sub(1);
                if a.out == 0 && !open {
                    self.attempts.remove(&id);
                }
            }
        }
        self.events.push(event);
    }

    /// The decisions let a message go; calls that it is in end.
    fn withdraw(&mut self, id: MessageId) -> Event {
        self.calls.cancel_all(id);
        if self.attempts.get(&id).is_some_and(|a| a.out == 0) {
            self.attempts.remove(&id);
        }
        Event::Withdrawn(id)
    }

    /// Goes on with a message that another sender had promised, as after a restart.
    fn adopt(&mut self, id: MessageId) {
        let verdict = self.journal.borrow().get(id).and_then(|open| open.verdict);
        match verdict {
            Some(verdict) => self.reports.push(id, verdict),
            None => self.resume(Some(&BTreeSet::from([id]))),
        }
    }

    /// An attempt was not made for want of consent. The module lets the message go and is given it anew
    /// later: held by it, it would be tried again at once, and hold a slot for each wait.
    fn park(&mut self, id: MessageId) -> Option<Event> {
        let rests = {
            let journal = self.journal.borrow();
            let open = journal.get(id).filter(|o| o.verdict.is_none())?;
            let left = Duration::from_micros(open.deadline.saturating_sub(journal.unix_now()));
            (REST * (1 << open.attempts_made().min(REST_MOST))).min(left.saturating_sub(LAST_WORD))
        };
        self.attempts.get(&id).filter(|a| a.out == 0)?;
        self.attempts.remove(&id);
        let inputs = self.calls.inputs();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(rests).await;
            let _ = inputs.send(Input::PauseElapsed(id));
        });
        Some(Event::Withdrawn(id))
    }

    /// Enters a list where calls are made from, and turns it into the module's form.
    fn entries(&mut self, news: &EndpointList, whole: bool) -> Vec<ListEntry> {
        let entries: Vec<ListEntry> = news.members.iter().map(|m| self.entry(m)).collect();
        if whole {
            self.members.clear();
        }
        for (e, m) in entries.iter().zip(&news.members) {
            if m.phase == State::Removed {
                self.members.remove(&e.endpoint);
            } else {
                self.members.insert(e.endpoint, m.clone());
            }
        }
        if whole {
            let named: HashSet<_> = entries.iter().map(|e| e.endpoint).collect();
            let left = self.calls.listed().into_iter().filter(|id| !named.contains(id));
            left.for_each(|id| self.calls.update_endpoint(id, None));
        }
        for (e, m) in entries.iter().zip(&news.members) {
            // The module makes no use of an endpoint whose kind the settings do not name.
            let Some(&Kind { per_endpoint: apart, max_bundle: bundle }) = self.kinds.get(e.kind as usize)
            else {
                continue;
            };
            let (live, bundle) = (e.phase == Phase::Live, bundle as usize);
            let target = Target { address: m.host_port, dest: e.dest, live, apart, bundle };
            self.calls.update_endpoint(e.endpoint, (e.phase != Phase::Gone).then_some(target));
            self.flight.name(e.endpoint, &m.id);
            if let Some(zone_monitor) = &self.zone_monitor {
                zone_monitor.update_endpoint(e.endpoint, e.dest, &m.locality, e.phase == Phase::Gone);
            }
        }
        self.flight.keep_names(|id| self.calls.is_listed(id));
        if let Some(zone_monitor) = &self.zone_monitor {
            zone_monitor.retain_endpoints(|id| self.calls.is_listed(id));
        }
        entries
    }

    fn entry(&self, m: &Member) -> ListEntry {
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name).map(|n| n as u32);
        let names = &self.terms.borrow().names;
        ListEntry {
            endpoint: endpoint(&m.id),
            dest: DestinationId(m.cell),
            zone: place(&names.zones, &m.locality).unwrap_or(u32::MAX),
            kind: place(&names.kinds, &m.flavor).unwrap_or(u32::MAX),
            phase: match m.phase {
                State::Up => Phase::Live,
                State::Draining => Phase::Draining,
                State::Removed => Phase::Gone,
            },
        }
    }

    /// What is left of a message's time, by its record.
    fn left(&self, id: MessageId) -> Micros {
        let journal = self.journal.borrow();
        journal.get(id).map_or(0, |open| open.deadline.saturating_sub(journal.unix_now()))
    }

    /// How long ago the earliest attempt that may have run was made, and where.
    fn ran(&self, id: MessageId) -> Option<(Micros, EndpointId)> {
        let journal = self.journal.borrow();
        let (open, now) = (journal.get(id)?, journal.unix_now());
        let first = open.attempts.iter().filter(|a| !a.never_ran).min_by_key(|a| a.started_at)?;
        Some((now.saturating_sub(first.started_at), first.endpoint))
    }

    /// The module counts spans from the turn in which it hears of them, and an event may have waited for its
    /// turn: for seconds where a start waits for an address, or another process took over.
    fn renew_spans(&self, events: &mut [Event]) {
        for event in events {
            match event {
                Event::Taken(message) => message.expires_in = self.left(message.id),
                Event::Resumed { message, ran_ago: ran, .. } => {
                    message.expires_in = self.left(message.id);
                    *ran = self.ran(message.id);
                }
                _ => {}
            }
        }
    }

    fn turn(&mut self) {
        let mut actions = Vec::new();
        let mut events = std::mem::take(&mut self.events);
        self.last_turn = Some(Instant::now());
        self.renew_spans(&mut events);
        let now = self.now();
        if cfg!(debug_assertions) {
            self.compare_connections(&events);
        }
        self.wake = self.wake.filter(|&w| w > now);
        self.sender.handle(now, &events, &mut actions);
        self.flight.turn(now, &events, &actions, &self.sender);
        let mut loads: Vec<(EndpointId, Vec<Item>)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, start_within: within, proven_only } => {
                    let [timeout, within] = [timeout, within].map(Duration::from_micros);
                    let attempt = Attempt { timeout, within, proven_only };
                    self.load(&mut loads, id, endpoint, attempt);
                }
                Action::Cancel { id, attempt } => self.calls.cancel(id, attempt),
                Action::Refuse { id, retry_after: after } => {
                    self.end(id, Verdict::Bounced(after.div_ceil(1_000)))
                }
                Action::Fail { id } => self.end(id, Verdict::Dead),
                Action::WakeAt(at) => {
                    let at = at.max(self.origin);
                    self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
                }
                Action::Watch => self.discovery.watch(),
                Action::Note { to, body } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &body);
                    }
                }
                Action::CloseIdle { endpoint } => self.calls.close_idle(endpoint),
                Action::Log(line) => tracing::info!("{line}"),
                // The protocol has no probes, and the module asks for none; a watch brings the whole list.
                Action::Probe { .. } | Action::Fetch => {}
            }
        }
        loads.into_iter().for_each(|(endpoint, items)| self.calls.start(endpoint, items));
        self.replies.drain(..).for_each(|(reply, answer)| reply.give(answer));
        if cfg!(debug_assertions) {
            self.compare_held();
        }
    }

    /// What the module will believe of connections and attempts once it has heard these events is what there
    /// is: a difference would be a decision on something untrue. In test builds only.
    fn compare_connections(&self, events: &[Event]) {
        let out = self.calls.attempts_out();
        let ended = events.iter().filter(|e| matches!(e, Event::Ended { .. })).count();
        let believed = self.sender.attempts_in_flight();
        assert_eq!(believed, out + ended, "attempts out: believed, and real with those that ended");
        let real = self.calls.idle();
        for (id, believed) in self.sender.idle_connections() {
            let after = events.iter().fold(believed, |n, e| match e {
                Event::Unused(x) if *x == id => n + 1,
                Event::Closed(x) if *x == id => n.saturating_sub(1),
                _ => n,
            });
            let real = real.get(&id).copied().unwrap_or(0);
            assert_eq!(after, real, "idle connections to {id:?}");
        }
    }

    /// What the module holds is what the journal says is owed, but for messages that it was not told of yet.
    fn compare_held(&self) {
        let journal = self.journal.borrow();
        let owed = journal.iter().filter(|(id, m)| m.verdict.is_none() && self.attempts.contains_key(id));
        let owed: Vec<MessageId> = owed.map(|(id, _)| id).collect();
        // One that the first line of its answer has settled is over for the journal; the module hears of it
        // once the rest of the answer has come, or not come.
        let settled = |id| journal.get(id).is_none() && self.attempts.get(&id).is_some_and(|a| a.out > 0);
        let held = self.sender.open_messages().into_iter().map(|o| o.0).filter(|id| !settled(*id));
        let held: Vec<MessageId> = held.collect();
        assert_eq!(held, owed, "messages held, and owed by the journal");
    }

    /// Adds a message to the call that this turn makes to an endpoint, as far as its kind allows.
    fn load(
        &mut self,
        loads: &mut Vec<(EndpointId, Vec<Item>)>,
        id: MessageId,
        endpoint: EndpointId,
        attempt: Attempt,
    ) {
        let most = self.calls.bundle(endpoint);
        let known = |m: &OpenMessage| (m.idempotency_key.clone(), m.body.clone());
        let (idempotency_key, body) = self.journal.borrow().get(id).map(known).unwrap_or_default();
        let made = self.attempts.entry(id).or_default();
        let Attempt { timeout, within, proven_only } = attempt;
        let item = Item { id, attempt: made.made, timeout, within, proven_only, idempotency_key, body };
        made.made += 1;
        made.out += 1;
        match loads.iter_mut().find(|(e, items)| *e == endpoint && items.len() < most) {
            Some((_, items)) => items.push(item),
            None => loads.push((endpoint, vec![item])),
        }
    }

    /// The module has given a message up: the record comes first, then the notice, at once.
    fn end(&mut self, id: MessageId, verdict: Verdict) {
        if self.journal.borrow().get(id).is_none() {
            return;
        }
        self.calls.reasons.count_notice(verdict);
        tracing::debug!("message {:016x} is given up: {verdict:?}", id.0);
        match (&self.copies, verdict) {
            (Some(copies), Verdict::Bounced(_)) if self.is_careful(id) => {
                // Another sender may have taken it over, or may yet: it is harmless to hand in again only if
                // nobody can attempt it any more.
                let (copies, journal, reports) = (copies.clone(), self.journal.clone(), self.reports.clone());
                tokio::task::spawn_local(async move {
                    let verdict = if copies.close_message(id).await { verdict } else { Verdict::Dead };
                    if journal.borrow().get(id).is_some_and(|o| o.verdict.is_none()) {
                        tell_verdict(&journal, &reports, id, verdict);
                    }
                });
            }
            _ => tell_verdict(&self.journal, &self.reports, id, verdict),
        }
        if self.attempts.get(&id).is_some_and(|a| a.out == 0) {
            self.attempts.remove(&id);
        }
    }

    /// Whether a message must not be repeated.
    fn is_careful(&self, id: MessageId) -> bool {
        self.journal.borrow().get(id).is_none_or(|open| self.terms.borrow().is_unsafe_to_repeat(&open.class))
    }

    /// Nothing is owed to anyone.
    pub fn is_done(&self) -> bool {
        self.journal.borrow().iter().next().is_none()
    }
}
