//! What clients, endpoints and the list service saw, and what that says of the rules.

use crate::lag::Lag;
use crate::topology::route;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// So long a keyed message's repeat is known.
pub const KEY_WINDOW: Duration = Duration::from_secs(1);
/// A message that has neither been delivered nor ended so long after its time is lost.
const OVERDUE: Duration = Duration::from_millis(350);
/// After a start no notice is overdue for this long.
const AFTER_START: Duration = Duration::from_millis(1_500);
/// A draining endpoint may be called so long after the change was told, the slack of sockets included.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Calls that come so soon after a wait was told are let through, the slack of sockets included.
const WAIT_SLACK: Duration = Duration::from_millis(150);
/// This machine runs hundreds of threads: what is written here is late by so much, and by what is seen of
/// that while a play runs.
const MACHINE: Duration = Duration::from_millis(250);
/// Each limit of time is so much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);

/// Senders that are named where a destination is pushed over.
const MOST_NAMED: usize = 8;

/// Whether a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated.
    Repeatable,
    /// A repeat is known for a while, and dropped; after that it would run again.
    Keyed,
    /// It must run at most once.
    Once,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule, in a word.
    pub rule: &'static str,
    /// The message, where one is concerned.
    pub message: Option<u64>,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.message {
            Some(id) => write!(f, "{}: message {id:016x}: {}", self.rule, self.what),
            None => write!(f, "{}: {}", self.rule, self.what),
        }
    }
}

#[derive(Debug)]
struct Entry {
    sender: usize,
    effect: Effect,
    deadline: Instant,
    promised: bool,
    /// Calls that an endpoint carried out, and when the first one came.
    runs: u32,
    first_run: Option<Instant>,
    delivered: bool,
    /// Handing it in again was said to be harmless: nothing of it may run from then on.
    refused: bool,
    /// It went to the sender on two connections: an answer on one says nothing of the other.
    again: bool,
    /// When the first notice came.
    ended: Option<Instant>,
    events: Vec<(Instant, String)>,
}

#[derive(Debug, Default)]
struct Pages {
    messages: BTreeMap<u64, Entry>,
    /// By sender: when it was down, from its signal to its readiness.
    downs: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    /// The same from the signal that told it to end in a while: no notice is overdue from then on.
    restarts: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    /// By sender and endpoint: since when it knows that the endpoint drains.
    drained: BTreeMap<(usize, usize), Instant>,
    /// By sender and endpoint: since when operators have taken it out of service.
    out_of_service: BTreeMap<(usize, usize), Instant>,
    /// By sender and route: since when it has been told to wait, and until when.
    waits: BTreeMap<(usize, usize), (Instant, Instant)>,
    /// By route: when it was last out of service, and the calls that came after that, with their senders.
    outages: BTreeMap<usize, Vec<Outage>>,
    violations: Vec<Violation>,
}

#[derive(Debug)]
struct Outage {
    from: Instant,
    to: Option<Instant>,
    calls: Vec<(Instant, usize)>,
}

/// What a destination that comes back can bear.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Calls a second that it does when it is warm.
    pub capacity: f64,
    /// The share of that which it does at first, and after how long it does all.
    pub start_share: f64,
    /// See [`SlowStart::start_share`].
    pub cold: Duration,
    /// So many times what it does just then, for so long, push it over.
    pub factor: f64,
    /// See [`SlowStart::factor`].
    pub window: Duration,
}

impl SlowStart {
    /// Calls that may come in one window which ends so long after its return, with the slack for chance.
    pub fn budget(&self, since_return: Duration) -> f64 {
        let warm = (since_return.as_secs_f64() / self.cold.as_secs_f64()).min(1.0);
        let share = self.start_share + (1.0 - self.start_share) * warm;
        let calls = self.factor * self.capacity * share * self.window.as_secs_f64();
        if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
    }
}

/// Everything that was seen in one play.
#[derive(Debug)]
pub struct Book {
    begun: Instant,
    lag: Lag,
    pages: Mutex<Pages>,
}

impl Default for Book {
    fn default() -> Self {
        Self { begun: Instant::now(), lag: Lag::watch(), pages: Mutex::default() }
    }
}

impl Book {
    fn pages(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How late this machine woke its threads at the worst.
    pub fn worst_lag(&self) -> Duration {
        self.lag.worst()
    }

    /// How late what is written here may be.
    pub fn machine(&self) -> Duration {
        MACHINE + self.lag.worst()
    }

    fn note(&self, id: u64, what: String, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.pages().messages.get_mut(&id) {
            entry.events.push((Instant::now(), what));
            change(entry);
        }
    }

    /// A client hands a message in.
    pub fn handed_in(&self, id: u64, sender: usize, effect: Effect, time: Duration) {
        let events = vec![(Instant::now(), format!("handed in to sender {sender}"))];
        let (deadline, ended) = (Instant::now() + time, None);
        let entry = Entry {
            sender,
            effect,
            deadline,
            promised: false,
            runs: 0,
            first_run: None,
            delivered: false,
            refused: false,
            again: false,
            ended,
            events,
        };
        self.pages().messages.insert(id, entry);
    }

    /// Its client heard that it was taken on.
    pub fn promised(&self, id: u64) {
        self.note(id, "its client heard 202".into(), |entry| entry.promised = true);
    }

    /// Its client heard something else.
    pub fn answered(&self, id: u64, status: u16) {
        let harmless = matches!(status, 429 | 503);
        self.note(id, format!("its client heard {status}"), |entry| {
            entry.refused |= harmless && !entry.again
        });
    }

    /// Its connection ended, and it goes to the sender once more on another.
    pub fn handed_in_again(&self, id: u64) {
        self.note(id, "handed in on another connection".into(), |entry| entry.again = true);
    }

    /// A connection for it has come up: its time counts from when it is sent.
    pub fn sent(&self, id: u64, time: Duration) {
        self.note(id, "sent on a new connection".into(), |entry| entry.deadline = Instant::now() + time);
    }

    /// A new connection was refused.
    pub fn turned_away(&self, sender: usize) {
        let machine = self.machine();
        let mut pages = self.pages();
        if !pages.was_down(sender, Instant::now(), machine) {
            let what = format!("sender {sender} refused a connection while new ones still come");
            pages.violations.push(Violation { rule: "turned away", message: None, what });
        }
    }

    /// The connection of a request that was written whole ended without an answer.
    pub fn unanswered(&self, id: u64) {
        let machine = self.machine();
        let mut pages = self.pages();
        let Some(entry) = pages.messages.get_mut(&id) else { return };
        entry.events.push((Instant::now(), "its connection ended with no answer".into()));
        let (sender, now) = (entry.sender, Instant::now());
        if !pages.was_down(sender, now, machine) {
            let what = format!("sender {sender} ended its connection with no answer");
            pages.violations.push(Violation { rule: "unanswered", message: Some(id), what });
        }
    }

    /// A call came whole at an endpoint; this is its first message.
    pub fn call(&self, id: u64, endpoint: usize, began: Instant) {
        let machine = self.machine();
        let mut pages = self.pages();
        let Some(sender) = pages.messages.get(&id).map(|entry| entry.sender) else { return };
        let route = route(endpoint);
        if let Some(outage) = pages.outages.get_mut(&route).and_then(|all| all.last_mut())
            && outage.to.is_some()
        {
            outage.calls.push((began, sender));
        }
        if let Some((told, until)) = pages.waits.get(&(sender, route)).copied()
            && told + WAIT_SLACK + machine < began
            && began < until
        {
            let what = format!("sent to endpoint {endpoint} {:?} before its wait was over", until - began);
            pages.violations.push(Violation { rule: "wait", message: Some(id), what });
        }
        let listed = pages.drained.get(&(sender, endpoint)).copied();
        let out = pages.out_of_service.get(&(sender, endpoint)).copied();
        let told = listed.into_iter().chain(out).min();
        if let Some(late) = told.map(|told| began.saturating_duration_since(told + DRAIN_GRACE + machine))
            && !late.is_zero()
        {
            let what = format!("sent to draining endpoint {endpoint}, {late:?} after the grace");
            pages.violations.push(Violation { rule: "drain", message: Some(id), what });
        }
    }

    /// Operators have taken an endpoint out of service at a sender, or are about to put it back.
    pub fn out_of_service(&self, sender: usize, endpoint: usize, out: bool) {
        let mut pages = self.pages();
        if out {
            pages.out_of_service.insert((sender, endpoint), Instant::now());
        } else {
            pages.out_of_service.remove(&(sender, endpoint));
        }
    }

    /// A message came in a call.
    pub fn called(&self, id: u64, endpoint: usize) {
        self.note(id, format!("called at endpoint {endpoint}"), |_| {});
    }

    /// An endpoint turns a call with this message away, and its sender is told to wait.
    pub fn told_to_wait(&self, id: u64, endpoint: usize, span: Duration) {
        let mut pages = self.pages();
        let Some(sender) = pages.messages.get(&id).map(|entry| entry.sender) else { return };
        let now = Instant::now();
        let wait = pages.waits.entry((sender, route(endpoint))).or_insert((now, now));
        // One wait behind another is one: calls that go on coming make no room for more.
        *wait = (if now < wait.1 { wait.0 } else { now }, now + span);
    }

    /// An endpoint is down, with all that share its limit.
    pub fn outage(&self, endpoint: usize) {
        let outage = Outage { from: Instant::now(), to: None, calls: Vec::new() };
        self.pages().outages.entry(route(endpoint)).or_default().push(outage);
    }

    /// It is back, and cold.
    pub fn back(&self, endpoint: usize) {
        if let Some(outage) = self.pages().outages.entry(route(endpoint)).or_default().last_mut() {
            outage.to = Some(Instant::now());
        }
    }

    /// An endpoint carried a message out.
    pub fn ran(&self, id: u64, endpoint: usize) {
        let now = Instant::now();
        self.note(id, format!("carried out at endpoint {endpoint}"), |entry| {
            entry.runs += 1;
            entry.first_run.get_or_insert(now);
        });
        let mut pages = self.pages();
        let unknown = |e: &Entry| {
            e.first_run.is_some_and(|first| now > first + KEY_WINDOW + SOCKETS + self.lag.worst())
        };
        let twice = pages.messages.get(&id).is_some_and(|entry| match entry.effect {
            Effect::Repeatable => false,
            Effect::Keyed => unknown(entry),
            Effect::Once => entry.runs > 1,
        });
        if twice {
            let what = format!("carried out again at endpoint {endpoint}");
            pages.violations.push(Violation { rule: "twice", message: Some(id), what });
        }
        if pages.messages.get(&id).is_some_and(|entry| entry.refused) {
            let what = format!("carried out at endpoint {endpoint} although it was refused");
            pages.violations.push(Violation { rule: "refused", message: Some(id), what });
        }
    }

    /// An endpoint wrote that it is delivered.
    pub fn delivered(&self, id: u64) {
        self.note(id, "answered 200".into(), |entry| entry.delivered = true);
    }

    /// A notice came.
    pub fn notice(&self, id: u64, result: &str) {
        let now = Instant::now();
        let mut has_run = false;
        self.note(id, format!("notice: {result}"), |entry| {
            entry.ended = entry.ended.or(Some(now));
            entry.refused |= result == "bounced";
            has_run = entry.refused && entry.effect == Effect::Once && entry.runs > 0;
        });
        if has_run {
            let what = "handing it in again was said to be harmless after it had run".to_owned();
            self.pages().violations.push(Violation { rule: "refused", message: Some(id), what });
        }
    }

    /// A sender was told that an endpoint drains, or that it serves.
    pub fn told(&self, sender: usize, endpoint: usize, drains: bool) {
        let mut pages = self.pages();
        if drains {
            pages.drained.entry((sender, endpoint)).or_insert_with(Instant::now);
        } else {
            pages.drained.remove(&(sender, endpoint));
        }
    }

    /// Whether a sender was told that an endpoint drains.
    pub fn knows_drain(&self, sender: usize, endpoint: usize) -> bool {
        self.pages().drained.contains_key(&(sender, endpoint))
    }

    /// A sender got a signal that ends it in a while, and will be started again.
    pub fn told_to_end(&self, sender: usize) {
        self.pages().restarts.entry(sender).or_default().push((Instant::now(), None));
    }

    /// A sender got a signal that ends it, or has ended.
    pub fn down(&self, sender: usize) {
        let (mut pages, now) = (self.pages(), Instant::now());
        pages.downs.entry(sender).or_default().push((now, None));
        pages.restarts.entry(sender).or_default().push((now, None));
        // A wait ends with the process that was told.
        pages.waits.retain(|(told, _), _| *told != sender);
    }

    /// It is ready again.
    pub fn up(&self, sender: usize) {
        let (mut pages, now) = (self.pages(), Instant::now());
        let Pages { downs, restarts, .. } = &mut *pages;
        for spans in [downs, restarts] {
            spans.entry(sender).or_default().iter_mut().for_each(|span| _ = span.1.get_or_insert(now));
        }
    }

    /// Something else broke a rule.
    pub fn broken(&self, rule: &'static str, what: String) {
        self.pages().violations.push(Violation { rule, message: None, what });
    }

    /// Messages that were promised, delivered, and ended by a notice.
    pub fn counts(&self) -> (usize, usize, usize) {
        let pages = self.pages();
        let all = || pages.messages.values().filter(|entry| entry.promised);
        let ended = all().filter(|entry| entry.ended.is_some() && !entry.delivered).count();
        (all().count(), all().filter(|entry| entry.delivered).count(), ended)
    }

    /// All broken rules, once nothing can come any more.
    pub fn violations(&self, slow_start: impl Fn(usize) -> SlowStart) -> Vec<Violation> {
        let machine = self.machine();
        let pages = self.pages();
        let mut found = pages.violations.clone();
        found.extend(pages.pushed_over(slow_start));
        for (&id, entry) in pages.messages.iter().filter(|(_, e)| e.promised && !e.delivered) {
            let due = pages.due(entry.sender, entry.deadline + OVERDUE) + machine;
            match entry.ended {
                Some(at) if at <= due => {}
                Some(at) => {
                    let what = format!("its notice came {:?} too late", at - due);
                    found.push(Violation { rule: "late", message: Some(id), what });
                }
                None => {
                    let what = "neither delivered nor ended".to_owned();
                    found.push(Violation { rule: "lost", message: Some(id), what });
                }
            }
        }
        found
    }

    /// What was seen of a message, in order.
    pub fn timeline(&self, id: u64) -> String {
        let pages = self.pages();
        let events = pages.messages.get(&id).map(|entry| &entry.events[..]).unwrap_or_default();
        let line = |(at, what): &(Instant, String)| {
            format!("  {:8.3} s  {what}\n", (*at - self.begun).as_secs_f64())
        };
        events.iter().map(line).collect()
    }
}

impl Pages {
    /// Destinations that got more than they bear after an outage, most of it from senders that lived through
    /// it.
    fn pushed_over(&self, slow_start: impl Fn(usize) -> SlowStart) -> Vec<Violation> {
        let mut found = Vec::new();
        for (&route, outages) in &self.outages {
            let limits = slow_start(route);
            for outage in outages {
                let Some(back) = outage.to else { continue };
                let knew = |sender: usize, at: Instant| !self.began_within(sender, outage.from, at);
                let mut worst: Option<(f64, usize, f64, Instant)> = None;
                for (n, (at, _)) in outage.calls.iter().enumerate() {
                    let begins = at.checked_sub(limits.window).unwrap_or(back);
                    let window = outage.calls[..=n].iter().filter(|call| call.0 > begins);
                    let (all, told) = window.fold((0, 0), |(all, told), call| {
                        (all + 1, told + usize::from(knew(call.1, call.0)))
                    });
                    let budget = limits.budget(*at - back);
                    let excess = all as f64 / budget;
                    if told * 3 > all * 2 && worst.is_none_or(|worst| excess > worst.0) {
                        worst = Some((excess, all, budget, *at));
                    }
                }
                if let Some((_, calls, budget, at)) = worst.filter(|worst| worst.0 > 1.0) {
                    let begins = at.checked_sub(limits.window).unwrap_or(back);
                    let window = outage.calls.iter().filter(|call| call.0 > begins && call.0 <= at);
                    let mut by_sender: BTreeMap<usize, usize> = BTreeMap::new();
                    window.for_each(|call| *by_sender.entry(call.1).or_default() += 1);
                    let mut most: Vec<(usize, usize)> = by_sender.into_iter().collect();
                    most.sort_by_key(|(_, calls)| Reverse(*calls));
                    most.truncate(MOST_NAMED);
                    let what = format!(
                        "route {route} got {calls} calls for {budget:.0}, {:?} after its return, most of \
                         them by senders (number, calls) {most:?}",
                        at - back
                    );
                    found.push(Violation { rule: "slow start", message: None, what });
                }
            }
        }
        found
    }

    /// Whether a sender began anew in this time, and forgot.
    fn began_within(&self, sender: usize, from: Instant, to: Instant) -> bool {
        let downs = self.downs.get(&sender).map(Vec::as_slice).unwrap_or_default();
        downs.iter().any(|(down, up)| *down <= to && up.is_none_or(|up| from <= up))
    }

    /// Whether a sender was down, or had just been told to end.
    fn was_down(&self, sender: usize, at: Instant, slack: Duration) -> bool {
        let downs = self.downs.get(&sender).map(Vec::as_slice).unwrap_or_default();
        downs.iter().any(|(from, to)| *from <= at && to.is_none_or(|to| at <= to + slack))
    }

    /// When something that is due then is overdue: not while its sender is down, nor just after.
    fn due(&self, sender: usize, mut due: Instant) -> Instant {
        for (from, to) in self.restarts.get(&sender).map(Vec::as_slice).unwrap_or_default() {
            let Some(back) = to.map(|to| to + AFTER_START) else { continue };
            if *from <= due && due < back {
                due = back;
            }
        }
        due
    }
}
