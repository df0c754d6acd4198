//! Carries out what the decisions on copies say: frames go to links, words to whoever waits for them, and
//! what was taken over to the node.

use crate::copies::link::{self, Queue};
use crate::copies::rows::{Rows, record, told};
use crate::input::Input;
use crate::settings::config::Config;
use crate::settings::operator::{Copies as Set, WhenShort};
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, MessageUpdate, OpenMessage};
use notchpoint_copies::{
    At, CLOSED, Copies, Event, Frame, Hello, Holder, Id, Input as Told, Output, Peer, Reign, Sender, Stake,
    Tried, View, Wrong,
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

/// A connection that is not made by then is tried again.
const CONNECTING: Duration = Duration::from_secs(1);
/// A link that ended is dialed again so much later: sooner than any silence counts.
const AGAIN: Duration = Duration::from_millis(50);
/// An attempt that witnesses have not recorded by then is not made now.
const CONSENT: Duration = Duration::from_millis(300);
/// The same for a message that is to be given back as harmless: it has to be told within 300 ms of its time.
const CLOSING: Duration = Duration::from_millis(150);
/// Who dialed and has not said who it is: connections that may wait for that at once.
const STRANGERS: usize = 32;
/// What was turned down is said once for each reason, up to so many.
const REASONS: usize = 64;
/// How often the log tells what is kept, where that has changed.
const TELLING: Duration = Duration::from_secs(10);
/// So many looks in a row, one each `SHORT`, at which another loss would cost something, and it is said.
const LASTING: usize = 2;
/// How often it tells that keepers are short.
const SHORT: Duration = Duration::from_secs(1);
/// Copies take this part of the folder at most: the rest is for what is this sender's own, and for
/// compaction.
const SHARE: u64 = 4;

pub struct Copying {
    machine: RefCell<Copies>,
    journal: Rc<RefCell<Journal>>,
    durability: Rc<DurabilityTracker>,
    net: Rc<dyn Network>,
    inputs: UnboundedSender<Input>,
    started: Instant,
    when_short: WhenShort,
    installation: u64,
    me: Holder,
    addresses: BTreeMap<Peer, SocketAddr>,
    /// What waits to be written on the links that this sender dialed, and on those that others did.
    asks: RefCell<BTreeMap<Peer, Rc<Queue>>>,
    answers: RefCell<BTreeMap<Peer, Rc<Queue>>>,
    next_link: Cell<u64>,
    promises: RefCell<HashMap<Id, oneshot::Sender<bool>>>,
    consents: RefCell<HashMap<(Id, u32), oneshot::Sender<bool>>>,
    /// When the decisions are called next, and word that it may be sooner.
    due: Cell<u64>,
    sooner: Notify,
    strangers: Cell<usize>,
    said: RefCell<BTreeSet<String>>,
    short: Cell<usize>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// What came of asking for a consent.
pub enum Asked {
    Granted,
    Refused,
    Waits(oneshot::Receiver<bool>),
}

/// The view that the settings give.
fn view(set: &Set, config: &Config) -> Result<View, String> {
    let wrong = set.mistakes(Some(&config.name));
    if !wrong.is_empty() {
        return Err(wrong.join("\n"));
    }
    let locality = config.names.zones.get(config.settings.zone as usize).cloned();
    let me = Sender { name: config.name.clone(), zone: set.zone.clone().or(locality) };
    let others = set.senders.iter().map(|s| Sender { name: s.name.clone(), zone: s.zone.clone() });
    View::new(me, others.collect(), set.count).map_err(|wrong| match wrong {
        Wrong::Twice(name) => format!("copies.senders: {name} stands there twice"),
        Wrong::TooFew { count, senders, needed } => {
            format!("copies.count: {count} copies take {needed} senders; there are {senders}")
        }
    })
}

impl Copying {
    /// Takes up what the folder holds of copies, and of this sender's own messages. `careful` says which must
    /// not be repeated.
    ///
    /// # Errors
    /// The settings make no sense, the folder's rows cannot be read, or the address cannot be had.
    pub fn open(
        set: &Set,
        config: &Config,
        net: Rc<dyn Network>,
        journal: Rc<RefCell<Journal>>,
        durability: Rc<DurabilityTracker>,
        inputs: UnboundedSender<Input>,
        careful: impl Fn(&OpenMessage) -> bool,
    ) -> Result<Rc<Self>, String> {
        let view = view(set, config)?;
        if view.none_apart() {
            tracing::warn!("copies: no sender is known to stand in another zone");
        }
        let rows = journal.borrow_mut().take_copies();
        let keep = ((set.keep_mb * 1e6) as u64).min(config.disk / SHARE);
        let machine_set = notchpoint_copies::Set {
            silence: set.silence_ms * 1_000,
            keep: usize::try_from(keep).unwrap_or(usize::MAX),
            attempts: config.settings.max_attempts,
            ..notchpoint_copies::Set::default()
        };
        let unix = journal.borrow().unix_now();
        // Two lives must differ, and need no order: the seed is new with each start, the clock beside it is
        // for configurations written by hand.
        let reign = Reign(config.seed ^ unix.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let at = At { now: 0, unix };
        let machine = {
            let mut journal = journal.borrow_mut();
            Copies::new(view, machine_set, reign, rows.into_iter(), at, &mut Rows(&mut journal))?
        };
        let addresses = set.senders.iter().map(|s| (Peer::named(&s.name), s.address)).collect();
        let (watch, watched) = unbounded_channel();
        let copying = Rc::new(Self {
            me: machine.holder(),
            machine: RefCell::new(machine),
            journal,
            durability,
            net,
            inputs,
            started: Instant::now(),
            when_short: set.when_short,
            installation: Hello::installation(&set.installation),
            addresses,
            asks: RefCell::default(),
            answers: RefCell::default(),
            next_link: Cell::new(1),
            promises: RefCell::default(),
            consents: RefCell::default(),
            due: Cell::new(0),
            sooner: Notify::new(),
            strangers: Cell::new(0),
            said: RefCell::default(),
            short: Cell::new(0),
            tasks: RefCell::default(),
        });
        let own: Vec<(Id, notchpoint_copies::Record)> = {
            let mut journal = copying.journal.borrow_mut();
            journal.subscribe(watch);
            journal.iter().map(|(id, open)| (Id(id.0), record(open, careful(open)))).collect()
        };
        own.into_iter().for_each(|(id, record)| copying.tell(Told::Resume { id, record }));
        copying.spawn(copying.clone().run(watched));
        Ok(copying)
    }

    /// Listens to the others. Where a process before this one has the address still, it is waited for.
    pub fn listen(self: &Rc<Self>, at: SocketAddr) -> Result<(), String> {
        let listener = self.net.listen(at);
        let (copying, net) = (self.clone(), self.net.clone());
        match listener {
            Ok(listener) => self.spawn(copying.accept(listener)),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => self.spawn(async move {
                loop {
                    sleep(AGAIN).await;
                    if let Ok(listener) = net.listen(at) {
                        return copying.accept(listener).await;
                    }
                }
            }),
            Err(e) => return Err(format!("copies.listen {at}: {e}")),
        }
        Ok(())
    }

    /// Waits until others know this sender, and have said what of its own was taken over, or this time has
    /// passed.
    pub async fn begun(&self, most: Duration) {
        let until = Instant::now() + most;
        let ready = || {
            let machine = self.machine.borrow();
            machine.may_begin() && machine.is_back()
        };
        while !ready() {
            if Instant::now() >= until {
                let (up, wanted) = self.machine.borrow().links();
                tracing::warn!(
                    "copies: {up} of {wanted} links stand after {most:?}; going on without the rest"
                );
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Ends all that it does: another process goes on from the folder.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
        for queues in [&self.asks, &self.answers] {
            queues.borrow_mut().values().for_each(|q| q.end());
        }
        self.promises.borrow_mut().clear();
        self.consents.borrow_mut().clear();
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|t| !t.is_finished());
        tasks.push(tokio::task::spawn_local(task).abort_handle());
    }

    fn at(&self) -> At {
        At { now: self.started.elapsed().as_micros() as u64, unix: self.journal.borrow().unix_now() }
    }

    /// Tells the decisions, and does what they say. Nobody who calls this may hold the journal.
    fn tell(self: &Rc<Self>, input: Told) {
        let (at, mut out) = (self.at(), Vec::new());
        {
            let mut journal = self.journal.borrow_mut();
            self.machine.borrow_mut().handle(at, input, &mut Rows(&mut journal), &mut out);
        }
        self.carry_out(out);
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Dial(peer) => {
                    if let Some(&address) = self.addresses.get(&peer) {
                        self.spawn(self.clone().dial(peer, address));
                    }
                }
                Output::Hang(peer) => {
                    if let Some(queue) = self.asks.borrow().get(&peer) {
                        queue.end();
                    }
                }
                Output::Ask(peer, frame) => self.push(&self.asks, peer, &frame),
                Output::Answer(peer, frame) => self.push(&self.answers, peer, &frame),
                Output::Promised(id) => self.promised(id, true),
                Output::Short(id) => {
                    self.short.set(self.short.get() + 1);
                    self.promised(id, false);
                }
                Output::Granted(id, number) => self.consented(id, number, true),
                Output::Refused(id, number) => self.consented(id, number, false),
                Output::Adopted(id) => drop(self.inputs.send(Input::Adopted(MessageId(id.0)))),
                Output::Lost(id) => {
                    self.journal.borrow_mut().record_end(MessageId(id.0));
                    let _ = self.inputs.send(Input::OwnershipLost(MessageId(id.0)));
                }
                Output::Say(event) => self.say(&event),
            }
        }
        if self.machine.borrow().wake() < self.due.get() {
            self.sooner.notify_one();
        }
    }

    fn push(&self, queues: &RefCell<BTreeMap<Peer, Rc<Queue>>>, peer: Peer, frame: &Frame) {
        if let Some(queue) = queues.borrow().get(&peer) {
            queue.push(frame, self.durability.log_end());
        }
    }

    fn promised(&self, id: Id, kept: bool) {
        if let Some(waits) = self.promises.borrow_mut().remove(&id) {
            let _ = waits.send(kept);
        }
    }

    fn consented(&self, id: Id, number: u32, granted: bool) {
        if let Some(waits) = self.consents.borrow_mut().remove(&(id, number)) {
            let _ = waits.send(granted);
        }
    }

    fn name(&self, peer: Peer) -> String {
        self.machine.borrow().view().name(peer).to_owned()
    }

    fn say(&self, event: &Event) {
        let name = |h: &Holder| self.name(h.peer);
        match event {
            Event::TookOver { from, count } => {
                tracing::warn!("copies: took over {count} messages of {}", name(from));
            }
            Event::GaveUp { to, count } => {
                tracing::warn!("copies: {count} messages are taken over by {}", name(to));
            }
            Event::Gone(holder) => tracing::warn!("copies: {} is gone, as seen from here", name(holder)),
            Event::Back(holder) => tracing::info!("copies: {} is there", name(holder)),
            Event::Old(holder) => {
                tracing::warn!("copies: turned down {}: a life of it that is over", name(holder));
            }
            Event::Forgot(peer) => {
                tracing::warn!("copies: {} has lost its folder; a new epoch begins", self.name(*peer));
            }
            Event::Replaced(peer) => {
                let name = self.name(*peer);
                tracing::warn!(
                    "copies: {name} went before it knew of the epoch; a new one begins without it"
                );
            }
            Event::Unwritten => self.say_once("copies: the folder takes nothing just now".to_owned()),
        }
    }

    /// What a peer does wrong again and again is said once.
    fn say_once(&self, what: String) {
        let mut said = self.said.borrow_mut();
        if said.len() < REASONS && said.insert(what.clone()) {
            tracing::warn!("{what}");
        }
    }

    // What the rest of the sender asks.

    /// What operators are told, among it whether the next machine may be taken down.
    pub fn status(&self) -> serde_json::Value {
        let machine = self.machine.borrow();
        let ((up, wanted), stake) = (machine.links(), machine.stake());
        serde_json::json!({
            "bears_another_loss": stake.is_none(),
            "lacking": stake.lacking,
            "elsewhere": stake.elsewhere,
            "unclaimed": stake.unclaimed,
            "witnesses": { "stand": stake.witnesses.0, "all": stake.witnesses.1 },
            "links": { "stand": up, "all": wanted },
            "kept_for_others": machine.held(),
        })
    }

    /// Has a message kept by others. Whether it may be promised: as many keepers as are wanted have it, or
    /// operators want it taken on all the same. Its record stands in the journal.
    pub async fn promise(self: &Rc<Self>, id: MessageId, careful: bool, most: Duration) -> bool {
        let until = Instant::now() + most;
        let taken = self.journal.borrow().get(id).map(|open| record(open, careful));
        let Some(record) = taken else { return false };
        let id = Id(id.0);
        let (tell, told) = oneshot::channel();
        self.promises.borrow_mut().insert(id, tell);
        // Who asked may go away meanwhile.
        let _waiting = Waiting { copying: self.clone(), id };
        self.tell(Told::Take { id, record });
        let kept = match timeout_at(until, told).await {
            Ok(kept) => kept.unwrap_or(false),
            Err(_) => {
                self.short.set(self.short.get() + 1);
                false
            }
        };
        let accept = !kept && self.when_short == WhenShort::Accept;
        if accept {
            self.tell(Told::Accept { id });
        }
        kept || accept
    }

    /// Asks for the consent that an attempt takes. Its record stands in the journal.
    pub fn ask(self: &Rc<Self>, id: MessageId, number: u32, endpoint: u64) -> Asked {
        let tried = Tried { number, endpoint, at: self.journal.borrow().unix_now(), never_ran: false };
        let id = Id(id.0);
        let (tell, mut told) = oneshot::channel();
        self.consents.borrow_mut().insert((id, number), tell);
        self.tell(Told::Intend { id, tried });
        match told.try_recv() {
            Ok(true) => Asked::Granted,
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => Asked::Refused,
            Err(oneshot::error::TryRecvError::Empty) => Asked::Waits(told),
        }
    }

    /// Waits for consents. Gives those attempts that must not be made.
    pub async fn settle(&self, asked: Vec<((MessageId, u32), Asked)>) -> Vec<(MessageId, u32)> {
        let until = Instant::now() + CONSENT;
        let mut refused = Vec::new();
        for ((id, number), asked) in asked {
            let granted = match asked {
                Asked::Granted => true,
                Asked::Refused => false,
                Asked::Waits(told) => matches!(timeout_at(until, told).await, Ok(Ok(true))),
            };
            if !granted {
                self.consents.borrow_mut().remove(&(Id(id.0), number));
                refused.push((id, number));
            }
        }
        refused
    }

    /// Whether it may be said of a message that handing it in again is harmless: nobody else may attempt it
    /// from then on.
    pub async fn close(self: &Rc<Self>, id: MessageId) -> bool {
        match self.ask(id, CLOSED, 0) {
            Asked::Granted => true,
            Asked::Refused => false,
            Asked::Waits(told) => matches!(timeout(CLOSING, told).await, Ok(Ok(true))),
        }
    }

    // Links.

    async fn dial(self: Rc<Self>, peer: Peer, address: SocketAddr) {
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECTING, self.net.connect(address)).await
                && stream.set_nodelay().is_ok()
            {
                let own = Hello { installation: self.installation, from: self.me, to: peer };
                match link::greet_first(&*stream, &own).await {
                    Ok(hello) => self.dialed(hello.from, stream).await,
                    Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                        self.say_once(format!("copies: turned down {} at {address}: {e}", self.name(peer)));
                    }
                    Err(_) => {}
                }
            }
            sleep(AGAIN).await;
        }
    }

    fn number(&self) -> u64 {
        self.next_link.replace(self.next_link.get() + 1)
    }

    async fn dialed(self: &Rc<Self>, holder: Holder, stream: Rc<dyn Stream>) {
        let (link, queue, peer) = (self.number(), Rc::new(Queue::default()), holder.peer);
        self.asks.borrow_mut().insert(peer, queue.clone());
        self.tell(Told::Linked { holder, link });
        let heard = |frame: Frame| {
            let fits = !frame.asks();
            if fits {
                self.tell(Told::Answered { from: peer, link, frame });
            }
            fits
        };
        let why = link::run(stream, &queue, heard, self.safe()).await;
        self.asks.borrow_mut().remove(&peer);
        self.ended(peer, &why);
        self.tell(Told::Unlinked { peer, link });
    }

    fn safe(&self) -> impl AsyncFn(&notchpoint_store::Mark) -> bool + use<> {
        let durability = self.durability.clone();
        async move |mark| durability.is_durable(mark) || durability.wait_until_durable(mark, CONNECTING).await
    }

    fn ended(&self, peer: Peer, why: &std::io::Error) {
        if matches!(why.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::TimedOut) {
            self.say_once(format!("copies: the link with {} ended: {why}", self.name(peer)));
        }
    }

    async fn accept(self: Rc<Self>, listener: Rc<dyn Listener>) {
        loop {
            let Ok(stream) = accept(&*listener).await else {
                sleep(AGAIN).await;
                continue;
            };
            if self.strangers.get() >= STRANGERS || stream.set_nodelay().is_err() {
                continue;
            }
            self.strangers.set(self.strangers.get() + 1);
            self.spawn(self.clone().answer(stream));
        }
    }

    async fn answer(self: Rc<Self>, stream: Rc<dyn Stream>) {
        let own = |to| Hello { installation: self.installation, from: self.me, to };
        let greeted = link::greet_second(&*stream, own).await;
        self.strangers.set(self.strangers.get().saturating_sub(1));
        let from = match greeted {
            Ok(hello) => hello.from,
            Err(e) => {
                if e.kind() == std::io::ErrorKind::InvalidData {
                    self.say_once(format!("copies: turned down who dialed: {e}"));
                }
                return;
            }
        };
        let (link, queue, mut out) = (self.number(), Rc::new(Queue::default()), Vec::new());
        let fine = {
            let at = self.at();
            let mut journal = self.journal.borrow_mut();
            self.machine.borrow_mut().greet(at, from, link, &mut Rows(&mut journal), &mut out)
        };
        self.carry_out(out);
        if !fine {
            return self.say_once(format!("copies: turned down {}, which dialed", self.name(from.peer)));
        }
        // Of two links from one peer the later one counts.
        if let Some(before) = self.answers.borrow_mut().insert(from.peer, queue.clone()) {
            before.end();
        }
        let heard = |frame: Frame| {
            let fits = frame.asks();
            if fits {
                self.tell(Told::Asked { from, link, frame });
            }
            fits
        };
        let why = link::run(stream, &queue, heard, self.safe()).await;
        self.ended(from.peer, &why);
        let mut answers = self.answers.borrow_mut();
        if answers.get(&from.peer).is_some_and(|q| Rc::ptr_eq(q, &queue)) {
            answers.remove(&from.peer);
        }
    }

    // Time.

    async fn run(self: Rc<Self>, mut watched: UnboundedReceiver<MessageUpdate>) {
        self.tell(Told::Tick);
        let (mut telling, mut last) = (Instant::now() + SHORT, (Instant::now(), String::new()));
        let mut staked = Staked::default();
        loop {
            let wake = self.machine.borrow().wake();
            self.due.set(wake);
            tokio::select! {
                biased;
                Some(what) = watched.recv() => self.tell(match what {
                    MessageUpdate::AttemptNeverRan(id, number) => Told::NeverRan { id: Id(id.0), number },
                    MessageUpdate::Verdict(id, verdict) => {
                        Told::Judged { id: Id(id.0), verdict: told(verdict) }
                    }
                    MessageUpdate::Ended(id) => Told::Over { id: Id(id.0) },
                }),
                () = sleep_until(self.started + Duration::from_micros(wake)) => self.tell(Told::Tick),
                () = self.sooner.notified() => {}
            }
            if telling <= Instant::now() {
                telling = Instant::now() + SHORT;
                self.tell_counts(&mut last);
                staked.tell(self.machine.borrow().stake());
            }
        }
    }

    fn tell_counts(&self, last: &mut (Instant, String)) {
        let short = self.short.take();
        if short > 0 {
            let what = match self.when_short {
                WhenShort::Refuse => "refused",
                WhenShort::Accept => "taken on all the same",
            };
            tracing::warn!("copies: short of keepers: {short} messages {what}");
        }
        if last.0.elapsed() < TELLING {
            return;
        }
        last.0 = Instant::now();
        let machine = self.machine.borrow();
        let (up, wanted) = machine.links();
        let text = format!(
            "copies: {up} of {wanted} links stand; {} own messages lack copies; {} kept for others",
            machine.lacking(),
            machine.held(),
        );
        if text != last.1 {
            tracing::info!("{text}");
            last.1 = text;
        }
    }
}

/// What the log last said of what another loss would cost.
#[derive(Default)]
struct Staked {
    /// Looks in a row at which it would have cost something.
    looks: usize,
    said: bool,
}

impl Staked {
    /// What is under way for a moment is not worth a line.
    fn tell(&mut self, stake: Stake) {
        if stake.is_none() {
            self.looks = 0;
            if std::mem::take(&mut self.said) {
                tracing::info!("copies: another loss can be borne again");
            }
            return;
        }
        self.looks += 1;
        if self.looks >= LASTING && !std::mem::replace(&mut self.said, true) {
            let Stake { lacking, elsewhere, unclaimed, witnesses: (stand, all) } = stake;
            tracing::warn!(
                "copies: another loss could cost messages: {lacking} lack copies, \
                 {elsewhere} are at home elsewhere, {unclaimed} of gone senders are not \
                 taken over, {stand} of {all} witnesses stand"
            );
        }
    }
}

/// A promise that is waited for.
struct Waiting {
    copying: Rc<Copying>,
    id: Id,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.copying.promises.borrow_mut().remove(&self.id);
    }
}
