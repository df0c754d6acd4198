//! Connections and calls to endpoints: what a call came to, and whether it can have run.

mod answer;
mod call;
mod error;
mod exchange;
mod passing;
mod pool;
mod progress;

use crate::copies::service::ReplicationService;
use crate::handover::protocol::Frame;
use crate::input::Input;
use crate::platform::zone_monitor::ZoneMonitor;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::reasons::ReasonCounts;
use crate::settings::config::Config;
use crate::settings::descriptors::DescriptorBudget;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, Verdict};
use answer::Answer;
pub use answer::End;
use bytes::Bytes;
use call::{Call, take};
use error::CallError;
use notchpoint_policy::*;
use notchpoint_seam::Network;
use pool::{Connection, Idle};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// An idle connection is dropped after this share of the time after which its endpoint may close it: the
/// rest covers the way there, so that no request meets a closing connection.
const IDLE_SHARE: f64 = 0.8;
/// A destination whose last endpoint left the list is known for so long: a replacement may be under way.
const LATELY: Duration = Duration::from_secs(60);
const SWEEP: Duration = Duration::from_millis(500);
/// An answer that comes so shortly before the end of a message's time may have been written after it: a
/// client's time began a little before its message was read here.
const TURN: Duration = Duration::from_millis(10);
/// The same where the process was held up before it read the message: an answer that comes in this time
/// before the end is taken for one, and its message is ended by a notice all the same, which does no harm.
const DOUBT: Duration = Duration::from_millis(170);
/// No message lives longer.
const FOREVER: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// A message in a call.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: MessageId,
    pub attempt: u32,
    pub timeout: Duration,
    /// Its first byte may be written for so long.
    pub within: Duration,
    /// Not on a connection that has not carried an answer.
    pub proven_only: bool,
    pub idempotency_key: String,
    pub body: Bytes,
}

/// An endpoint as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    pub address: SocketAddr,
    pub dest: DestinationId,
    pub live: bool,
    pub apart: bool,
    /// Messages in one call at most.
    pub bundle: usize,
}

impl Target {
    fn route(&self, id: EndpointId) -> Route {
        (self.dest, self.apart.then_some(id))
    }
}

/// An attempt, by its message and number.
type AttemptId = (MessageId, u32);
/// What shares a limit and waits: a destination, or one endpoint of it where they are apart.
type Route = (DestinationId, Option<EndpointId>);

pub struct Calls {
    net: Rc<dyn Network>,
    targets: RefCell<BTreeMap<EndpointId, Target>>,
    /// Endpoints that operators have taken out.
    taken_out: RefCell<BTreeSet<EndpointId>>,
    /// How many endpoints the list has of each destination.
    endpoints_of: RefCell<BTreeMap<DestinationId, usize>>,
    /// The destinations that the list names, or, until then, has named.
    named: RefCell<BTreeMap<DestinationId, Option<Instant>>>,
    pool: RefCell<BTreeMap<EndpointId, Vec<Idle>>>,
    waits: RefCell<BTreeMap<Route, Instant>>,
    cancels: RefCell<BTreeMap<AttemptId, (EndpointId, UnboundedSender<AttemptId>)>>,
    /// Attempts that are out at the process before this one, which tells of their ends.
    adopted: RefCell<BTreeMap<AttemptId, EndpointId>>,
    /// Where to tell it to stop waiting for one.
    before: RefCell<Option<UnboundedSender<Frame>>>,
    /// After that no call begins: this process ends.
    last_start: Cell<Option<Instant>>,
    /// Another process decides: what is out ends here, and connections are not kept.
    given: Cell<bool>,
    out: Cell<usize>,
    journal: Rc<RefCell<Journal>>,
    durability: Rc<DurabilityTracker>,
    /// Where copies are kept, their keepers have a word in each attempt.
    copies: Option<Rc<ReplicationService>>,
    /// Where operators want it, what calls come to is watched by zone.
    zone_monitor: RefCell<Option<Rc<ZoneMonitor>>>,
    inputs: UnboundedSender<Input>,
    connect_timeout: Duration,
    idle: Duration,
    /// Connections that may stand idle, so that descriptors are left for clients.
    most_idle: usize,
    second_copies: bool,
    /// What fails on this side.
    trouble: RateLimitedWarning,
    /// Why what happened.
    pub reasons: Rc<ReasonCounts>,
}

impl Calls {
    pub fn new(
        config: &Config,
        net: Rc<dyn Network>,
        journal: Rc<RefCell<Journal>>,
        durability: Rc<DurabilityTracker>,
        copies: Option<Rc<ReplicationService>>,
        inputs: UnboundedSender<Input>,
    ) -> Rc<Self> {
        let set = &config.settings;
        let calls = Rc::new(Self {
            net,
            targets: RefCell::default(),
            taken_out: RefCell::default(),
            endpoints_of: RefCell::default(),
            named: RefCell::default(),
            pool: RefCell::default(),
            waits: RefCell::default(),
            cancels: RefCell::default(),
            adopted: RefCell::default(),
            before: RefCell::default(),
            last_start: Cell::new(None),
            given: Cell::new(false),
            out: Cell::new(0),
            journal,
            durability,
            copies,
            zone_monitor: RefCell::default(),
            inputs,
            connect_timeout: Duration::from_micros(set.connect_timeout),
            idle: Duration::from_micros(set.conn_idle).mul_f64(IDLE_SHARE),
            most_idle: DescriptorBudget::new(config).idle_connections,
            second_copies: set.parallel_attempts,
            trouble: RateLimitedWarning::default(),
            reasons: Rc::default(),
        });
        let swept = Rc::downgrade(&calls);
        tokio::task::spawn_local(async move {
            while let Some(calls) = swept.upgrade() {
                calls.sweep();
                drop(calls);
                tokio::time::sleep(SWEEP).await;
            }
        });
        calls
    }

    /// From now on what attempts come to is told there as well.
    pub fn watched_by(&self, zone_monitor: Rc<ZoneMonitor>) {
        *self.zone_monitor.borrow_mut() = Some(zone_monitor);
    }

    /// Where what happens is told.
    pub fn inputs(&self) -> UnboundedSender<Input> {
        self.inputs.clone()
    }

    /// This process ends: what has not begun by then is left to the next one.
    pub fn start_until(&self, last: Instant) {
        self.last_start.set(Some(last));
    }

    /// Calls that are out.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// An attempt of this message is out.
    pub fn has_open_attempt(&self, id: MessageId) -> bool {
        let all = (id, 0)..=(id, u32::MAX);
        let own = self.cancels.borrow().range(all.clone()).next().is_some();
        own || self.adopted.borrow().range(all).next().is_some()
    }

    /// What the list says of an endpoint; connections to one that moved or left are closed.
    pub fn update_endpoint(&self, id: EndpointId, target: Option<Target>) {
        let old = match target {
            Some(t) => self.targets.borrow_mut().insert(id, t),
            None => self.targets.borrow_mut().remove(&id),
        };
        if old.map(|t| (t.address, t.live)) != target.map(|t| (t.address, t.live)) {
            let closed = self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len());
            self.tell_closed(id, closed);
        }
        let left = self.count_endpoint(old, target);
        let mut named = self.named.borrow_mut();
        named.extend(left.map(|dest| (dest, Some(Instant::now() + LATELY))));
        named.extend(target.map(|t| (t.dest, None)));
    }

    /// Counts an endpoint that came, left or moved; gives the destination whose last one it was.
    fn count_endpoint(&self, old: Option<Target>, new: Option<Target>) -> Option<DestinationId> {
        let mut counts = self.endpoints_of.borrow_mut();
        if let Some(target) = new {
            *counts.entry(target.dest).or_default() += 1;
        }
        let count = counts.get_mut(&old?.dest)?;
        *count -= 1;
        if *count > 0 {
            return None;
        }
        counts.remove(&old?.dest);
        Some(old?.dest)
    }

    /// Operators took an endpoint out, or put it back: a call that is not written yet is not made, and idle
    /// connections end, since it will be restarted.
    pub fn set_out(&self, id: EndpointId, out: bool) {
        let mut all = self.taken_out.borrow_mut();
        if out {
            all.insert(id);
            let closed = self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len());
            self.tell_closed(id, closed);
        } else {
            all.remove(&id);
        }
    }

    /// The list names this destination, or did lately.
    pub fn knows_destination(&self, dest: DestinationId) -> bool {
        self.named.borrow().contains_key(&dest)
    }

    /// Messages in one call to an endpoint at most.
    pub fn bundle(&self, id: EndpointId) -> usize {
        self.targets.borrow().get(&id).map_or(1, |t| t.bundle)
    }

    pub fn listed(&self) -> Vec<EndpointId> {
        self.targets.borrow().keys().copied().collect()
    }

    pub fn is_listed(&self, id: EndpointId) -> bool {
        self.targets.borrow().contains_key(&id)
    }

    /// Attempts that are out.
    pub fn attempts_out(&self) -> usize {
        self.cancels.borrow().len() + self.adopted.borrow().len()
    }

    /// Stops waiting for an attempt.
    pub fn cancel(&self, id: MessageId, attempt: u32) {
        if let Some((_, call)) = self.cancels.borrow().get(&(id, attempt)) {
            let _ = call.send((id, attempt));
        } else if self.adopted.borrow().contains_key(&(id, attempt))
            && let Some(before) = &*self.before.borrow()
        {
            let _ = before.send(Frame::Cancel { id, attempt });
        }
    }

    /// Stops waiting for all attempts of a message.
    pub fn cancel_all(&self, id: MessageId) {
        let all = (id, 0)..=(id, u32::MAX);
        let own: Vec<u32> = self.cancels.borrow().range(all.clone()).map(|(a, _)| a.1).collect();
        let adopted: Vec<u32> = self.adopted.borrow().range(all).map(|(a, _)| a.1).collect();
        own.into_iter().chain(adopted).for_each(|attempt| self.cancel(id, attempt));
    }

    /// Starts one call with these messages. Each of them ends once.
    pub fn start(self: &Rc<Self>, endpoint: EndpointId, mut items: Vec<Item>) {
        let (cancel, cancelled) = unbounded_channel();
        let least = items.iter().map(|i| i.timeout).min().unwrap_or_default();
        for i in &mut items {
            if !self.second_copies {
                // One sent again while the call goes on for the others would be a second copy.
                i.timeout = least;
            }
            self.cancels.borrow_mut().insert((i.id, i.attempt), (endpoint, cancel.clone()));
        }
        self.out.set(self.out.get() + 1);
        // Chosen now, not when the call gets its turn: what became idle in between the module would count
        // twice, since it had decided without it.
        let used = self.pooled(endpoint);
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            calls.call(endpoint, items, used, cancelled).await;
            calls.out.set(calls.out.get() - 1);
        });
    }

    async fn call(
        self: &Rc<Self>,
        endpoint: EndpointId,
        items: Vec<Item>,
        used: Option<Connection>,
        mut cancelled: UnboundedReceiver<AttemptId>,
    ) {
        let call = Call::new(items);
        let mut last = Vec::new();
        let answer = {
            let exchange = self.exchange(endpoint, used, &call);
            tokio::pin!(exchange);
            loop {
                let Some(next) = call.next_due() else { break None };
                let outcome = tokio::select! {
                    biased;
                    answer = &mut exchange => break Some(answer),
                    () = call.news.notified() => continue,
                    Some(one) = cancelled.recv() => {
                        let outcome = match (self.is_settled(&call), call.is_written()) {
                            (true, _) => Outcome::Served,
                            (_, true) => Outcome::Cancelled,
                            _ => Outcome::Moot,
                        };
                        last = take(&call.waiting, |i| (i.id, i.attempt) == one);
                        outcome
                    }
                    () = sleep_until(next) => {
                        let outcome = match (self.is_settled(&call), call.is_written()) {
                            (true, _) => Outcome::Served,
                            (_, true) => Outcome::TimedOut,
                            _ => Outcome::ConnectFailed,
                        };
                        // With its first message the whole call is over.
                        let over = call.is_over();
                        last = take(&call.waiting, |i| over || call.started + i.timeout <= next);
                        outcome
                    }
                };
                let ended = std::mem::take(&mut last).into_iter().map(|i| (i, End::from(outcome)));
                if call.waiting.borrow().is_empty() {
                    // The connection goes first: the call holds its slot for as long as that is open.
                    last = ended.map(|(i, _)| i).collect();
                    break Some(Ok(Answer::Alike(outcome.into())));
                }
                ended.for_each(|(i, end)| self.report(endpoint, &i, end));
            }
        };
        if let Some(Err(CallError::NotSent(why))) = &answer {
            self.trouble.warn(&format_args!("a connection cannot be made here: {why}"));
        }
        let open = call.connection.borrow_mut().take();
        if let Some(c) = open {
            c.close().await;
        }
        last.extend(call.waiting.take());
        for item in last {
            let end = match &answer {
                Some(Ok(Answer::Alike(end))) => *end,
                Some(Ok(Answer::Each(ends))) => ends.get(&item.id).copied().unwrap_or(Outcome::Spoilt.into()),
                _ if self.is_settled(&call) => Outcome::Served.into(),
                _ if call.is_written() && call.is_answered() => Outcome::Spoilt.into(),
                _ if call.is_written() => Outcome::Reset.into(),
                Some(Err(CallError::NotSent(_))) => Outcome::NotSent.into(),
                _ => Outcome::ConnectFailed.into(),
            };
            let doubtful = end.outcome == Outcome::Served && call.is_nearly_over(DOUBT);
            if doubtful && self.given.get() {
                // The owner of the message cannot be told of the doubt: it takes it for unanswered, which
                // promises no more than is known.
                self.report(endpoint, &item, Outcome::TimedOut.into());
                continue;
            }
            if doubtful {
                // Before its end is recorded: a verdict stands until the notice has been told.
                self.journal.borrow_mut().record_verdict(item.id, Verdict::Dead);
                let _ = self.inputs.send(Input::DeliveryUncertain(item.id));
            }
            self.report(endpoint, &item, end);
        }
    }

    /// Whether the first line of its answer has settled a call of a single message: that one is delivered,
    /// whatever becomes of the rest, and over from now on also for the next process.
    fn is_settled(&self, call: &Call) -> bool {
        let says_ok = || call.progress.borrow().as_ref().is_some_and(|p| p.says_ok());
        if !call.settled.get() && !call.batch.get() && says_ok() && !call.is_over() {
            call.settled.set(true);
            // Where its answer may not count its record stays, for the notice.
            if !call.is_nearly_over(DOUBT) {
                call.waiting.borrow().iter().for_each(|i| _ = self.journal.borrow_mut().record_end(i.id));
            }
        }
        call.settled.get()
    }

    /// The message that has the most time left goes first: a call is over with its first message. Gives when
    /// that is.
    fn lead(&self, items: &mut [Item]) -> Option<Instant> {
        let journal = self.journal.borrow();
        let deadline = |i: &Item| journal.get(i.id).map_or(0, |m| m.deadline);
        let (first, at) = items.iter().map(deadline).enumerate().max_by_key(|&(n, at)| (at, Reverse(n)))?;
        items[..=first].rotate_right(1);
        // The earlier look at a clock is the one that is added to: held up between the two, it ends too soon.
        let now = Instant::now();
        let left = Duration::from_micros(at.saturating_sub(journal.unix_now())).min(FOREVER);
        Some(now + left.saturating_sub(TURN))
    }

    fn report(&self, endpoint: EndpointId, item: &Item, end: End) {
        self.cancels.borrow_mut().remove(&(item.id, item.attempt));
        self.ended(endpoint, (item.id, item.attempt), end);
    }

    /// Records how an attempt ended, and tells the node.
    fn ended(&self, endpoint: EndpointId, (id, attempt): AttemptId, end: End) {
        let outcome = end.outcome;
        self.reasons.count_attempt(outcome);
        tracing::debug!("message {:016x}, attempt {attempt} at {endpoint:?}: {outcome:?}", id.0);
        let mut journal = self.journal.borrow_mut();
        let sent = journal
            .get(id)
            .and_then(|m| m.attempts.iter().find(|a| a.number == attempt))
            .map(|a| a.started_at);
        let age = sent.map_or(0, |at| journal.unix_now().saturating_sub(at));
        if end.over || outcome == Outcome::Served {
            // One with a verdict ends once that has been told.
            if journal.get(id).is_some_and(|m| m.verdict.is_none()) {
                journal.record_end(id);
            }
        } else if outcome.never_ran() {
            journal.record_never_ran(id, attempt);
        }
        if let (Outcome::Full { wait: Some(wait) }, Some(t)) = (outcome, self.targets.borrow().get(&endpoint))
        {
            let until = Instant::now() + Duration::from_micros(wait);
            let mut waits = self.waits.borrow_mut();
            let w = waits.entry(t.route(endpoint)).or_insert(until);
            *w = until.max(*w);
        }
        if let Some(zone_monitor) = &*self.zone_monitor.borrow() {
            zone_monitor.record_outcome(endpoint, outcome, age);
        }
        let (over, allowance) = (end.over, end.allowance);
        let _ =
            self.inputs.send(Input::Event(Event::Ended { id, attempt, outcome, is_final: over, allowance }));
    }

    /// The endpoint, where a call may begin now.
    fn target(&self, id: EndpointId) -> Option<Target> {
        let target = self.targets.borrow().get(&id).copied().filter(|t| t.live)?;
        if self.taken_out.borrow().contains(&id) {
            return None;
        }
        let waits = self.waits.borrow();
        waits.get(&target.route(id)).is_none_or(|&until| Instant::now() >= until).then_some(target)
    }
}

#[cfg(test)]
mod tests;
