//! Connections and calls to endpoints: how each call ended, and whether it can have run.

mod answer;
mod attribution;
mod call;
mod error;
mod exchange;
mod framing;
mod handover;
mod pool;
mod progress;
mod request;
mod response_stream;
mod surplus;

use crate::copies::service::ReplicationService;
use crate::descriptor_limits::DescriptorLimits;
use crate::handover::protocol::Frame;
use crate::input::Input;
use crate::platform::zone_monitor::ZoneMonitor;
use crate::rate_limited_warning::RateLimitedWarning;
use crate::reasons::ReasonCounts;
use crate::settings::config::Config;
use crate::state::durability::DurabilityTracker;
use crate::state::journal::{Journal, RequestId, Verdict};
pub use answer::AttemptEnd;
use answer::CallResult;
use bytes::Bytes;
use call::{Call, GiveUpReason, remove_matching};
use error::CallError;
use notchpoint_policy::*;
use notchpoint_seam::Network;
use pool::{Connection, IdleConnection};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use surplus::SurplusResponses;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// An idle connection is dropped after this share of the time after which its endpoint may close it. The
/// rest covers the network delay, so that no request meets a closing connection.
const IDLE_SHARE: f64 = 0.8;
/// A destination whose last endpoint left the list stays known for this time: a replacement may follow.
const DESTINATION_RETENTION: Duration = Duration::from_secs(60);
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A response that arrives less than this before a message's deadline may have been written after it: the
/// client's time began a little before its message was read here.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// The same margin for a process that was delayed before it read the message. A response that arrives less
/// than this before the deadline counts as a delivery, and a notice is sent for its message all the same,
/// which does no harm.
const UNCERTAINTY_MARGIN: Duration = Duration::from_millis(170);
/// No message has a longer time to its deadline.
const MAX_LIFETIME: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// A message in a call.
#[derive(Clone, Debug)]
pub struct CallItem {
    pub id: MessageId,
    /// The id by which the endpoint knows the message. No two messages of a call have the same.
    pub request_id: RequestId,
    pub attempt: u32,
    pub timeout: Duration,
    /// Time from the start of the call in which its first byte may be written.
    pub start_within: Duration,
    /// The attempt may only use a proven connection: one that has carried a response.
    pub proven_only: bool,
    pub idempotency_key: String,
    pub body: Bytes,
}

/// An endpoint as the list describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    pub address: SocketAddr,
    pub dest: DestinationId,
    pub live: bool,
    /// The endpoint is a route of its own, apart from the other endpoints of its destination.
    pub per_endpoint: bool,
    /// Most messages in one call.
    pub max_bundle: usize,
}

impl Target {
    fn route(&self, id: EndpointId) -> Route {
        (self.dest, self.per_endpoint.then_some(id))
    }
}

/// An attempt, by its message and number.
type AttemptId = (MessageId, u32);
/// A route: a destination, or a single endpoint of it if `Target::per_endpoint` is set. A wait that a
/// destination asks for applies to a whole route.
type Route = (DestinationId, Option<EndpointId>);

/// All calls to endpoints and the connections for them.
pub struct Calls {
    net: Rc<dyn Network>,
    targets: RefCell<BTreeMap<EndpointId, Target>>,
    /// Endpoints that operators have taken out of service.
    out_of_service: RefCell<BTreeSet<EndpointId>>,
    /// The number of endpoints of each destination in the list.
    endpoint_counts: RefCell<BTreeMap<DestinationId, usize>>,
    /// The destinations in the list, and those that left it, which stay known until the given time.
    known_destinations: RefCell<BTreeMap<DestinationId, Option<Instant>>>,
    pool: RefCell<BTreeMap<EndpointId, Vec<IdleConnection>>>,
    /// Responses that answer no call.
    surplus: Rc<SurplusResponses>,
    route_waits: RefCell<BTreeMap<Route, Instant>>,
    cancels: RefCell<BTreeMap<AttemptId, (EndpointId, UnboundedSender<AttemptId>)>>,
    /// Attempts in flight at the predecessor, which reports how they end.
    adopted_attempts: RefCell<BTreeMap<AttemptId, EndpointId>>,
    /// Sends requests to cancel such attempts to the predecessor.
    predecessor: RefCell<Option<UnboundedSender<Frame>>>,
    /// No call starts after this time: the process is shutting down.
    start_deadline: Cell<Option<Instant>>,
    /// The successor makes the decisions: calls in progress end here, and connections are not kept.
    is_handed_over: Cell<bool>,
    active_calls: Cell<usize>,
    journal: Rc<RefCell<Journal>>,
    durability: Rc<DurabilityTracker>,
    /// If replicas are configured, they have to consent to each attempt.
    copies: Option<Rc<ReplicationService>>,
    /// If operators have enabled it, the outcomes of calls are observed by zone.
    zone_monitor: RefCell<Option<Rc<ZoneMonitor>>>,
    inputs: UnboundedSender<Input>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// Limits of calls and of idle connections, so that descriptors are left for clients.
    descriptors: Rc<DescriptorLimits>,
    parallel_attempts: bool,
    /// Warnings about failures on this machine.
    warnings: RateLimitedWarning,
    /// Counts of ends and refusals by reason.
    pub reasons: Rc<ReasonCounts>,
}

impl Calls {
    /// Creates the calls and starts the task that closes expired connections. It has to be called within a
    /// `LocalSet`.
    pub fn new(
        config: &Config,
        descriptors: Rc<DescriptorLimits>,
        net: Rc<dyn Network>,
        journal: Rc<RefCell<Journal>>,
        durability: Rc<DurabilityTracker>,
        copies: Option<Rc<ReplicationService>>,
        inputs: UnboundedSender<Input>,
    ) -> Rc<Self> {
        let settings = &config.settings;
        let reasons = Rc::<ReasonCounts>::default();
        let calls = Rc::new(Self {
            net,
            targets: RefCell::default(),
            out_of_service: RefCell::default(),
            endpoint_counts: RefCell::default(),
            known_destinations: RefCell::default(),
            pool: RefCell::default(),
            surplus: SurplusResponses::new(reasons.clone()),
            route_waits: RefCell::default(),
            cancels: RefCell::default(),
            adopted_attempts: RefCell::default(),
            predecessor: RefCell::default(),
            start_deadline: Cell::new(None),
            is_handed_over: Cell::new(false),
            active_calls: Cell::new(0),
            journal,
            durability,
            copies,
            zone_monitor: RefCell::default(),
            inputs,
            connect_timeout: Duration::from_micros(settings.connect_timeout),
            idle_timeout: Duration::from_micros(settings.conn_idle).mul_f64(IDLE_SHARE),
            descriptors,
            parallel_attempts: settings.parallel_attempts,
            warnings: RateLimitedWarning::default(),
            reasons,
        });
        let swept = Rc::downgrade(&calls);
        tokio::task::spawn_local(async move {
            while let Some(calls) = swept.upgrade() {
                calls.sweep();
                drop(calls);
                tokio::time::sleep(SWEEP_INTERVAL).await;
            }
        });
        calls
    }

    /// Reports the outcomes of attempts to `zone_monitor` as well from now on.
    pub fn set_zone_monitor(&self, zone_monitor: Rc<ZoneMonitor>) {
        *self.zone_monitor.borrow_mut() = Some(zone_monitor);
    }

    /// Returns the sender of inputs for the decision loop.
    pub fn inputs(&self) -> UnboundedSender<Input> {
        self.inputs.clone()
    }

    /// Starts no call after the deadline: the process is shutting down, and leaves the rest to the next one.
    pub fn start_until(&self, deadline: Instant) {
        self.start_deadline.set(Some(deadline));
    }

    /// The number of calls in progress.
    pub fn active_calls(&self) -> usize {
        self.active_calls.get()
    }

    /// Updates an endpoint from the list; `None` removes it. Idle connections to an endpoint that changed its
    /// address or phase are closed.
    pub fn update_endpoint(&self, id: EndpointId, target: Option<Target>) {
        let old = match target {
            Some(t) => self.targets.borrow_mut().insert(id, t),
            None => {
                self.surplus.forget(id);
                self.targets.borrow_mut().remove(&id)
            }
        };
        if old.map(|t| (t.address, t.live)) != target.map(|t| (t.address, t.live)) {
            let closed = self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len());
            self.report_closed(id, closed);
        }
        let left = self.count_endpoint(old, target);
        let mut known = self.known_destinations.borrow_mut();
        known.extend(left.map(|dest| (dest, Some(Instant::now() + DESTINATION_RETENTION))));
        known.extend(target.map(|t| (t.dest, None)));
    }

    /// Counts an endpoint that was added, removed or changed. Returns the destination that lost its last
    /// endpoint.
    fn count_endpoint(&self, old: Option<Target>, new: Option<Target>) -> Option<DestinationId> {
        let mut counts = self.endpoint_counts.borrow_mut();
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

    /// Takes an endpoint out of service by an operator's command, or returns it. Calls that are not written
    /// yet are not made, and idle connections are closed, since the endpoint will be restarted.
    pub fn set_out_of_service(&self, id: EndpointId, is_out: bool) {
        let mut all = self.out_of_service.borrow_mut();
        if is_out {
            all.insert(id);
            let closed = self.pool.borrow_mut().remove(&id).map_or(0, |idle| idle.len());
            self.report_closed(id, closed);
        } else {
            all.remove(&id);
        }
    }

    /// Whether the list names this destination, or has named it recently.
    pub fn knows_destination(&self, dest: DestinationId) -> bool {
        self.known_destinations.borrow().contains_key(&dest)
    }

    /// Most messages in one call to an endpoint.
    pub fn max_bundle(&self, id: EndpointId) -> usize {
        self.targets.borrow().get(&id).map_or(1, |t| t.max_bundle)
    }

    /// Returns all endpoints of the list.
    pub fn listed(&self) -> Vec<EndpointId> {
        self.targets.borrow().keys().copied().collect()
    }

    /// Whether the list has this endpoint.
    pub fn is_listed(&self, id: EndpointId) -> bool {
        self.targets.borrow().contains_key(&id)
    }

    /// The number of attempts in flight, including those at the predecessor.
    pub fn attempts_in_flight(&self) -> usize {
        self.cancels.borrow().len() + self.adopted_attempts.borrow().len()
    }

    /// Stops waiting for an attempt.
    pub fn cancel(&self, id: MessageId, attempt: u32) {
        if let Some((_, call)) = self.cancels.borrow().get(&(id, attempt)) {
            let _ = call.send((id, attempt));
        } else if self.adopted_attempts.borrow().contains_key(&(id, attempt))
            && let Some(predecessor) = &*self.predecessor.borrow()
        {
            let _ = predecessor.send(Frame::CancelAttempt { id, attempt });
        }
    }

    /// Stops waiting for all attempts of a message.
    pub fn cancel_all(&self, id: MessageId) {
        let all = (id, 0)..=(id, u32::MAX);
        let own: Vec<u32> = self.cancels.borrow().range(all.clone()).map(|(a, _)| a.1).collect();
        let adopted: Vec<u32> = self.adopted_attempts.borrow().range(all).map(|(a, _)| a.1).collect();
        own.into_iter().chain(adopted).for_each(|attempt| self.cancel(id, attempt));
    }

    /// Starts one call with these messages. The attempt of each of them ends exactly once.
    pub fn start(self: &Rc<Self>, endpoint: EndpointId, mut items: Vec<CallItem>) {
        let (cancel, cancelled) = unbounded_channel();
        let shortest = items.iter().map(|i| i.timeout).min().unwrap_or_default();
        for item in &mut items {
            if !self.parallel_attempts {
                // Otherwise a message could be sent again while this call goes on for the others, and two
                // attempts of it would be in flight.
                item.timeout = shortest;
            }
            self.cancels.borrow_mut().insert((item.id, item.attempt), (endpoint, cancel.clone()));
        }
        self.active_calls.set(self.active_calls.get() + 1);
        // The connection is taken now, not when the task runs: one that becomes idle in between is not part
        // of the policy's decision, and would be counted twice.
        let idle = self.take_idle(endpoint);
        let calls = self.clone();
        tokio::task::spawn_local(async move {
            calls.call(endpoint, items, idle, cancelled).await;
            calls.active_calls.set(calls.active_calls.get() - 1);
        });
    }

    /// Makes one call and reports how the attempt of each of its messages ended.
    async fn call(
        self: &Rc<Self>,
        endpoint: EndpointId,
        items: Vec<CallItem>,
        idle: Option<Connection>,
        mut cancelled: UnboundedReceiver<AttemptId>,
    ) {
        let call = Call::new(items);
        let mut removed = Vec::new();
        let result = {
            let exchange = self.exchange(endpoint, idle, &call);
            tokio::pin!(exchange);
            loop {
                let Some(next) = call.next_due() else { break None };
                let is_settled;
                let reason = tokio::select! {
                    biased;
                    result = &mut exchange => break Some(result),
                    () = call.deadline_changed.notified() => continue,
                    Some(attempt) = cancelled.recv() => {
                        is_settled = self.is_settled(&call);
                        removed = remove_matching(&call.waiting, |i| (i.id, i.attempt) == attempt);
                        GiveUpReason::Cancelled
                    }
                    () = sleep_until(next) => {
                        is_settled = self.is_settled(&call);
                        // The whole call ends with the deadline of its first message.
                        let expired = call.is_expired();
                        removed =
                            remove_matching(&call.waiting, |i| expired || call.started + i.timeout <= next);
                        GiveUpReason::TimedOut
                    }
                };
                let outcome = if is_settled { Outcome::Served } else { call.outcome_of_given_up(reason) };
                let ended = std::mem::take(&mut removed).into_iter().map(|i| (i, AttemptEnd::from(outcome)));
                if call.waiting.borrow().is_empty() {
                    // The connection is closed first: the call holds its slot for as long as that is open.
                    removed = ended.map(|(i, _)| i).collect();
                    break Some(Ok(CallResult::SameForAll(outcome.into())));
                }
                ended.for_each(|(i, end)| self.report_end(endpoint, &i, end));
            }
        };
        if let Some(Err(CallError::NotSent(why))) = &result {
            self.warnings.warn(&format_args!("cannot open a connection to an endpoint, local error: {why}"));
        }
        let open = call.connection.borrow_mut().take();
        if let Some(connection) = open {
            connection.close().await;
        }
        removed.extend(call.waiting.take());
        for item in removed {
            let end = match &result {
                Some(Ok(CallResult::SameForAll(end))) => *end,
                Some(Ok(CallResult::PerMessage(ends))) => {
                    ends.get(&item.request_id).copied().unwrap_or(Outcome::Spoilt.into())
                }
                _ if self.is_settled(&call) => Outcome::Served.into(),
                _ if call.is_request_written() && call.has_response_bytes() => Outcome::Spoilt.into(),
                _ if call.is_request_written() => Outcome::Reset.into(),
                Some(Err(CallError::NotSent(_))) => Outcome::NotSent.into(),
                _ => Outcome::ConnectFailed.into(),
            };
            let is_uncertain = end.outcome == Outcome::Served && call.expires_within(UNCERTAINTY_MARGIN);
            if is_uncertain && self.is_handed_over.get() {
                // No frame can report the uncertainty to the message's owner, so a time-out is reported,
                // which claims no more than is known.
                self.report_end(endpoint, &item, Outcome::TimedOut.into());
                continue;
            }
            if is_uncertain {
                // Recorded before the end: a verdict stays in the journal until the notice is delivered.
                let mut journal = self.journal.borrow_mut();
                journal.record_verdict(item.id, Verdict::Dead);
                let _ = self.inputs.send(Input::DeliveryUncertain(journal.hold(item.id)));
            }
            self.report_end(endpoint, &item, end);
        }
    }

    /// Whether the status line of the response has settled a call with a single message: the message is
    /// delivered, whatever happens to the rest, and its record is ended, also for the next process.
    fn is_settled(&self, call: &Call) -> bool {
        let has_ok_status = || call.progress.borrow().as_ref().is_some_and(|p| p.has_ok_status());
        if !call.is_settled.get() && !call.is_batch.get() && has_ok_status() && !call.is_expired() {
            call.is_settled.set(true);
            // If the response may not count, the record stays for the notice.
            if !call.expires_within(UNCERTAINTY_MARGIN) {
                call.waiting.borrow().iter().for_each(|i| _ = self.journal.borrow_mut().record_end(i.id));
            }
        }
        call.is_settled.get()
    }

    /// Moves the message with the latest deadline to the front, since a call ends with its first message.
    /// Returns when the call ends.
    fn order_by_deadline(&self, items: &mut [CallItem]) -> Option<Instant> {
        let journal = self.journal.borrow();
        let deadline = |i: &CallItem| journal.get(i.id).map_or(0, |m| m.deadline);
        let (first, at) = items.iter().map(deadline).enumerate().max_by_key(|&(n, at)| (at, Reverse(n)))?;
        items[..=first].rotate_right(1);
        // The time left is added to the clock that was read first: a delay between the two reads makes the
        // call end too early, never too late.
        let now = Instant::now();
        let left = Duration::from_micros(at.saturating_sub(journal.unix_now())).min(MAX_LIFETIME);
        Some(now + left.saturating_sub(DEADLINE_MARGIN))
    }

    /// Ends an attempt that was made here: it can no longer be cancelled.
    fn report_end(&self, endpoint: EndpointId, item: &CallItem, end: AttemptEnd) {
        self.cancels.borrow_mut().remove(&(item.id, item.attempt));
        self.record_end(endpoint, (item.id, item.attempt), end);
    }

    /// Records how an attempt ended and reports it to the decision loop.
    fn record_end(&self, endpoint: EndpointId, (id, attempt): AttemptId, end: AttemptEnd) {
        let outcome = end.outcome;
        self.reasons.count_attempt(outcome);
        tracing::debug!("message {:016x}, attempt {attempt} at {endpoint:?} ended: {outcome:?}", id.0);
        let mut journal = self.journal.borrow_mut();
        let sent = journal
            .get(id)
            .and_then(|m| m.attempts.iter().find(|a| a.number == attempt))
            .map(|a| a.started_at);
        let age = sent.map_or(0, |at| journal.unix_now().saturating_sub(at));
        if end.is_final || outcome == Outcome::Served {
            // A message with a verdict ends once its notice is delivered.
            if journal.get(id).is_some_and(|m| m.verdict.is_none()) {
                journal.record_end(id);
            }
        } else if outcome.never_ran() {
            journal.record_never_ran(id, attempt);
        }
        if let (Outcome::Full { wait: Some(wait) }, Some(target)) =
            (outcome, self.targets.borrow().get(&endpoint))
        {
            let until = Instant::now() + Duration::from_micros(wait);
            let mut waits = self.route_waits.borrow_mut();
            let route_wait = waits.entry(target.route(endpoint)).or_insert(until);
            *route_wait = until.max(*route_wait);
        }
        if let Some(zone_monitor) = &*self.zone_monitor.borrow() {
            zone_monitor.record_outcome(endpoint, outcome, age);
        }
        let (is_final, allowance) = (end.is_final, end.allowance);
        let _ = self.inputs.send(Input::Event(Event::Ended { id, attempt, outcome, is_final, allowance }));
    }

    /// Returns the endpoint if a call to it may start now.
    fn callable_target(&self, id: EndpointId) -> Option<Target> {
        let target = self.targets.borrow().get(&id).copied().filter(|t| t.live)?;
        if self.out_of_service.borrow().contains(&id) {
            return None;
        }
        let waits = self.route_waits.borrow();
        waits.get(&target.route(id)).is_none_or(|&until| Instant::now() >= until).then_some(target)
    }
}

#[cfg(test)]
mod tests;
