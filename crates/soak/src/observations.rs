//! Records what clients, endpoints and the list service observe, and checks the rules on it.

use crate::topology::route;
use crate::wake_delay::WakeDelay;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which destinations drop duplicates of a message of a deduplicated class, according to the
/// configuration of the senders. The emulated endpoints drop none; a duplicate after this time is a
/// violation.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(1);
/// Time after its deadline from which on a message without a delivery or notice is lost.
const OVERDUE_AFTER: Duration = Duration::from_millis(350);
/// Time after the start of a sender in which no notice is overdue.
const START_GRACE: Duration = Duration::from_millis(1_500);
/// Time after a drain was announced in which the endpoint may still be called, including [`SOCKET_SLACK`].
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Time after a wait was requested in which calls are still allowed, including [`SOCKET_SLACK`].
const WAIT_SLACK: Duration = Duration::from_millis(150);
/// Minimum delay with which events may be recorded, since the machine runs hundreds of threads. The longest
/// wake-up delay that is measured during the run is added to it.
const BASE_SCHEDULING_SLACK: Duration = Duration::from_millis(250);
/// Time that is added to limits for the transfer over sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// Maximum number of senders that are listed in a violation of the slow start.
const MAX_LISTED_SENDERS: usize = 8;

/// Whether a message may be carried out more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The message may be repeated.
    Idempotent,
    /// Duplicates are dropped within [`DEDUP_WINDOW`]. A later duplicate would be carried out again.
    Deduplicated,
    /// The message must be carried out at most once.
    AtMostOnce,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Id of the message, if the violation concerns one.
    pub message: Option<u64>,
    /// Description of what was observed.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.message {
            Some(id) => write!(f, "{}: message {id:016x}: {}", self.rule, self.description),
            None => write!(f, "{}: {}", self.rule, self.description),
        }
    }
}

/// What was observed of a message.
#[derive(Debug)]
struct MessageRecord {
    sender: usize,
    effect: Effect,
    deadline: Instant,
    is_acknowledged: bool,
    /// Number of times that an endpoint carried it out, and the time of the first.
    executions: u32,
    first_executed_at: Option<Instant>,
    is_delivered: bool,
    /// Whether an answer or a notice stated that it is safe to submit it again. It must not be carried out
    /// after that.
    is_refused: bool,
    /// Whether it was sent to the sender on two connections. The answer on one then does not apply to the
    /// other.
    is_resent: bool,
    /// Time of the first notice.
    ended_at: Option<Instant>,
    events: Vec<(Instant, String)>,
}

#[derive(Debug, Default)]
struct State {
    messages: BTreeMap<u64, MessageRecord>,
    /// Times in which a sender was down, from the signal that ended it until it was ready, by sender.
    downtimes: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    /// The same from the signal that requested a graceful end, by sender. No notice is overdue from then on.
    restarts: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    /// Time since which a sender has known that an endpoint drains, by sender and endpoint.
    draining_since: BTreeMap<(usize, usize), Instant>,
    /// Time since which operators have had an endpoint out of service, by sender and endpoint.
    out_of_service: BTreeMap<(usize, usize), Instant>,
    /// Begin and end of the wait that was requested, by sender and route.
    waits: BTreeMap<(usize, usize), (Instant, Instant)>,
    /// Outages, by route.
    outages: BTreeMap<usize, Vec<Outage>>,
    violations: Vec<Violation>,
}

/// An outage of a route.
#[derive(Debug)]
struct Outage {
    from: Instant,
    /// `None` while it lasts.
    to: Option<Instant>,
    /// Calls after its end: time and sender.
    calls: Vec<(Instant, usize)>,
}

/// Load that a route can take after an outage.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Calls a second when it is warm.
    pub capacity: f64,
    /// Share of the capacity directly after the outage. It grows linearly to 1 over [`SlowStart::warm_up`].
    pub start_share: f64,
    /// Time until the route has its full capacity.
    pub warm_up: Duration,
    /// Multiple of the current capacity that overloads the route when it lasts for [`SlowStart::window`].
    pub overload_factor: f64,
    /// Time over which calls are counted for [`SlowStart::overload_factor`].
    pub window: Duration,
}

impl SlowStart {
    /// Returns the number of calls that are allowed in the window that ends this long after the outage. It
    /// includes a margin for random variation.
    pub fn budget(&self, since_return: Duration) -> f64 {
        let warm = (since_return.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let share = self.start_share + (1.0 - self.start_share) * warm;
        let calls = self.overload_factor * self.capacity * share * self.window.as_secs_f64();
        if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
    }
}

/// Everything that was observed in one run.
#[derive(Debug)]
pub struct Observations {
    started_at: Instant,
    wake_delay: WakeDelay,
    state: Mutex<State>,
}

impl Default for Observations {
    fn default() -> Self {
        Self { started_at: Instant::now(), wake_delay: WakeDelay::start(), state: Mutex::default() }
    }
}

impl Observations {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the longest wake-up delay of a thread on this machine so far.
    pub fn max_wake_delay(&self) -> Duration {
        self.wake_delay.max()
    }

    /// Returns the delay with which events may be recorded.
    pub fn scheduling_slack(&self) -> Duration {
        BASE_SCHEDULING_SLACK + self.wake_delay.max()
    }

    /// Adds an event to the timeline of a message and updates its record.
    fn record_event(&self, id: u64, event: String, change: impl FnOnce(&mut MessageRecord)) {
        if let Some(record) = self.state().messages.get_mut(&id) {
            record.events.push((Instant::now(), event));
            change(record);
        }
    }

    /// Records that a client submits a message, which has this much time.
    pub fn record_submission(&self, id: u64, sender: usize, effect: Effect, time: Duration) {
        let events = vec![(Instant::now(), format!("submitted to sender {sender}"))];
        let (deadline, ended_at) = (Instant::now() + time, None);
        let record = MessageRecord {
            sender,
            effect,
            deadline,
            is_acknowledged: false,
            executions: 0,
            first_executed_at: None,
            is_delivered: false,
            is_refused: false,
            is_resent: false,
            ended_at,
            events,
        };
        self.state().messages.insert(id, record);
    }

    /// Records that the client of a message received its acknowledgement.
    pub fn record_acknowledgement(&self, id: u64) {
        self.record_event(id, "client received 202".into(), |record| record.is_acknowledged = true);
    }

    /// Records that the client of a message received a status other than an acknowledgement.
    pub fn record_other_status(&self, id: u64, status: u16) {
        let is_safe_to_resend = matches!(status, 429 | 503);
        self.record_event(id, format!("client received {status}"), |record| {
            record.is_refused |= is_safe_to_resend && !record.is_resent
        });
    }

    /// Records that the connection of a message ended and that it is sent once more on another one.
    pub fn record_resend(&self, id: u64) {
        self.record_event(id, "submitted again on another connection".into(), |record| {
            record.is_resent = true
        });
    }

    /// Records that a message is sent on a new connection. Its deadline counts from now on.
    pub fn record_send(&self, id: u64, time: Duration) {
        self.record_event(id, "sent on a new connection".into(), |record| {
            record.deadline = Instant::now() + time
        });
    }

    /// Records that a sender refused a new connection. It may do so only while it is down.
    pub fn record_refused_connection(&self, sender: usize) {
        let slack = self.scheduling_slack();
        let mut state = self.state();
        if !state.was_down(sender, Instant::now(), slack) {
            let description = format!("sender {sender} refused a connection while it was to accept new ones");
            state.violations.push(Violation { rule: "turned away", message: None, description });
        }
    }

    /// Records that the connection of a request that was written in full ended without an answer.
    pub fn record_unanswered(&self, id: u64) {
        let slack = self.scheduling_slack();
        let mut state = self.state();
        let Some(record) = state.messages.get_mut(&id) else { return };
        record.events.push((Instant::now(), "connection ended without an answer".into()));
        let (sender, now) = (record.sender, Instant::now());
        if !state.was_down(sender, now, slack) {
            let description = format!("sender {sender} closed the connection without an answer");
            state.violations.push(Violation { rule: "unanswered", message: Some(id), description });
        }
    }

    /// Records that an endpoint received a call in full. `id` is its first message, `began_at` the time of
    /// its first byte.
    pub fn record_call(&self, id: u64, endpoint: usize, began_at: Instant) {
        let slack = self.scheduling_slack();
        let mut state = self.state();
        let Some(sender) = state.messages.get(&id).map(|record| record.sender) else { return };
        let route = route(endpoint);
        if let Some(outage) = state.outages.get_mut(&route).and_then(|all| all.last_mut())
            && outage.to.is_some()
        {
            outage.calls.push((began_at, sender));
        }
        if let Some((requested_at, until)) = state.waits.get(&(sender, route)).copied()
            && requested_at + WAIT_SLACK + slack < began_at
            && began_at < until
        {
            let description =
                format!("sent to endpoint {endpoint} {:?} before the requested wait ended", until - began_at);
            state.violations.push(Violation { rule: "wait", message: Some(id), description });
        }
        let listed_at = state.draining_since.get(&(sender, endpoint)).copied();
        let out_of_service_at = state.out_of_service.get(&(sender, endpoint)).copied();
        let known_at = listed_at.into_iter().chain(out_of_service_at).min();
        if let Some(late) =
            known_at.map(|known_at| began_at.saturating_duration_since(known_at + DRAIN_GRACE + slack))
            && !late.is_zero()
        {
            let description =
                format!("sent to draining endpoint {endpoint}, {late:?} after the grace period");
            state.violations.push(Violation { rule: "drain", message: Some(id), description });
        }
    }

    /// Records that operators have taken an endpoint out of service at a sender, or are about to return it to
    /// service.
    pub fn set_out_of_service(&self, sender: usize, endpoint: usize, is_out: bool) {
        let mut state = self.state();
        if is_out {
            state.out_of_service.insert((sender, endpoint), Instant::now());
        } else {
            state.out_of_service.remove(&(sender, endpoint));
        }
    }

    /// Records that an endpoint received a message in a call.
    pub fn record_call_of_message(&self, id: u64, endpoint: usize) {
        self.record_event(id, format!("called at endpoint {endpoint}"), |_| {});
    }

    /// Records that an endpoint refuses a call with this message and asks its sender to wait.
    pub fn record_wait_request(&self, id: u64, endpoint: usize, span: Duration) {
        let mut state = self.state();
        let Some(sender) = state.messages.get(&id).map(|record| record.sender) else { return };
        let now = Instant::now();
        let wait = state.waits.entry((sender, route(endpoint))).or_insert((now, now));
        // A wait that directly follows another one extends it. Otherwise each refused call would allow
        // further calls within the slack.
        *wait = (if now < wait.1 { wait.0 } else { now }, now + span);
    }

    /// Records that the route of an endpoint is down.
    pub fn start_outage(&self, endpoint: usize) {
        let outage = Outage { from: Instant::now(), to: None, calls: Vec::new() };
        self.state().outages.entry(route(endpoint)).or_default().push(outage);
    }

    /// Records that the route of an endpoint is up again. It is cold.
    pub fn end_outage(&self, endpoint: usize) {
        if let Some(outage) = self.state().outages.entry(route(endpoint)).or_default().last_mut() {
            outage.to = Some(Instant::now());
        }
    }

    /// Records that an endpoint carried a message out.
    pub fn record_execution(&self, id: u64, endpoint: usize) {
        let now = Instant::now();
        self.record_event(id, format!("carried out at endpoint {endpoint}"), |record| {
            record.executions += 1;
            record.first_executed_at.get_or_insert(now);
        });
        let mut state = self.state();
        let is_beyond_dedup = |record: &MessageRecord| {
            record
                .first_executed_at
                .is_some_and(|first| now > first + DEDUP_WINDOW + SOCKET_SLACK + self.wake_delay.max())
        };
        let is_violation = state.messages.get(&id).is_some_and(|record| match record.effect {
            Effect::Idempotent => false,
            Effect::Deduplicated => is_beyond_dedup(record),
            Effect::AtMostOnce => record.executions > 1,
        });
        if is_violation {
            let description = format!("carried out again at endpoint {endpoint}");
            state.violations.push(Violation { rule: "twice", message: Some(id), description });
        }
        if state.messages.get(&id).is_some_and(|record| record.is_refused) {
            let description = format!("carried out at endpoint {endpoint} although it was refused");
            state.violations.push(Violation { rule: "refused", message: Some(id), description });
        }
    }

    /// Records that an endpoint answered that a message is delivered.
    pub fn record_delivery(&self, id: u64) {
        self.record_event(id, "endpoint answered 200".into(), |record| record.is_delivered = true);
    }

    /// Records a notice on a message.
    pub fn record_notice(&self, id: u64, result: &str) {
        let now = Instant::now();
        let mut has_run = false;
        self.record_event(id, format!("notice: {result}"), |record| {
            record.ended_at = record.ended_at.or(Some(now));
            record.is_refused |= result == "bounced";
            has_run = record.is_refused && record.effect == Effect::AtMostOnce && record.executions > 0;
        });
        if has_run {
            let description =
                "the notice states that it is safe to submit again, but it had been carried out".to_owned();
            self.state().violations.push(Violation { rule: "refused", message: Some(id), description });
        }
    }

    /// Records that the list service reported to a sender that an endpoint drains, or that it no longer does.
    pub fn record_drain_change(&self, sender: usize, endpoint: usize, drains: bool) {
        let mut state = self.state();
        if drains {
            state.draining_since.entry((sender, endpoint)).or_insert_with(Instant::now);
        } else {
            state.draining_since.remove(&(sender, endpoint));
        }
    }

    /// Returns whether the list service has reported to a sender that an endpoint drains.
    pub fn is_drain_known(&self, sender: usize, endpoint: usize) -> bool {
        self.state().draining_since.contains_key(&(sender, endpoint))
    }

    /// Records that a sender received a signal to end gracefully. It will be started again.
    pub fn begin_restart(&self, sender: usize) {
        self.state().restarts.entry(sender).or_default().push((Instant::now(), None));
    }

    /// Records that a sender received a signal that ends it at once, or that it has ended.
    pub fn record_down(&self, sender: usize) {
        let (mut state, now) = (self.state(), Instant::now());
        state.downtimes.entry(sender).or_default().push((now, None));
        state.restarts.entry(sender).or_default().push((now, None));
        // A new process does not know the waits that were requested from the old one.
        state.waits.retain(|(waiting, _), _| *waiting != sender);
    }

    /// Records that a sender is ready again.
    pub fn record_up(&self, sender: usize) {
        let (mut state, now) = (self.state(), Instant::now());
        let State { downtimes, restarts, .. } = &mut *state;
        for spans in [downtimes, restarts] {
            spans
                .entry(sender)
                .or_default()
                .iter_mut()
                .for_each(|downtime| _ = downtime.1.get_or_insert(now));
        }
    }

    /// Records a violation that concerns no single message.
    pub fn record_violation(&self, rule: &'static str, description: String) {
        self.state().violations.push(Violation { rule, message: None, description });
    }

    /// Returns the numbers of messages that were acknowledged, delivered, and ended by a notice.
    pub fn counts(&self) -> (usize, usize, usize) {
        let state = self.state();
        let all = || state.messages.values().filter(|record| record.is_acknowledged);
        let ended = all().filter(|record| record.ended_at.is_some() && !record.is_delivered).count();
        (all().count(), all().filter(|record| record.is_delivered).count(), ended)
    }

    /// Returns all violations. It must be called when no further event can occur.
    pub fn violations(&self, slow_start: impl Fn(usize) -> SlowStart) -> Vec<Violation> {
        let slack = self.scheduling_slack();
        let state = self.state();
        let mut found = state.violations.clone();
        found.extend(state.find_slow_start_violations(slow_start));
        for (&id, record) in
            state.messages.iter().filter(|(_, record)| record.is_acknowledged && !record.is_delivered)
        {
            let due = state.extend_deadline(record.sender, record.deadline + OVERDUE_AFTER) + slack;
            match record.ended_at {
                Some(at) if at <= due => {}
                Some(at) => {
                    let description = format!("the notice was {:?} late", at - due);
                    found.push(Violation { rule: "late", message: Some(id), description });
                }
                None => {
                    let description = "neither delivered nor ended by a notice".to_owned();
                    found.push(Violation { rule: "lost", message: Some(id), description });
                }
            }
        }
        found
    }

    /// Returns the events of a message in order, one a line.
    pub fn timeline(&self, id: u64) -> String {
        let state = self.state();
        let events = state.messages.get(&id).map(|record| &record.events[..]).unwrap_or_default();
        let line = |(at, event): &(Instant, String)| {
            format!("  {:8.3} s  {event}\n", (*at - self.started_at).as_secs_f64())
        };
        events.iter().map(line).collect()
    }
}

impl State {
    /// Returns a violation for each outage after which a route received more calls than its budget. A window
    /// counts only if more than two thirds of its calls are from senders that have not been down since the
    /// outage began.
    fn find_slow_start_violations(&self, slow_start: impl Fn(usize) -> SlowStart) -> Vec<Violation> {
        let mut found = Vec::new();
        for (&route, outages) in &self.outages {
            let limits = slow_start(route);
            for outage in outages {
                let Some(recovered_at) = outage.to else { continue };
                let was_up = |sender: usize, at: Instant| !self.was_restarted_within(sender, outage.from, at);
                let mut worst: Option<(f64, usize, f64, Instant)> = None;
                for (n, (at, _)) in outage.calls.iter().enumerate() {
                    let begins = at.checked_sub(limits.window).unwrap_or(recovered_at);
                    let window = outage.calls[..=n].iter().filter(|call| call.0 > begins);
                    let (all, from_informed) = window.fold((0, 0), |(all, from_informed), call| {
                        (all + 1, from_informed + usize::from(was_up(call.1, call.0)))
                    });
                    let budget = limits.budget(*at - recovered_at);
                    let excess = all as f64 / budget;
                    if from_informed * 3 > all * 2 && worst.is_none_or(|worst| excess > worst.0) {
                        worst = Some((excess, all, budget, *at));
                    }
                }
                if let Some((_, calls, budget, at)) = worst.filter(|worst| worst.0 > 1.0) {
                    let begins = at.checked_sub(limits.window).unwrap_or(recovered_at);
                    let window = outage.calls.iter().filter(|call| call.0 > begins && call.0 <= at);
                    let mut by_sender: BTreeMap<usize, usize> = BTreeMap::new();
                    window.for_each(|call| *by_sender.entry(call.1).or_default() += 1);
                    let mut most: Vec<(usize, usize)> = by_sender.into_iter().collect();
                    most.sort_by_key(|(_, calls)| Reverse(*calls));
                    most.truncate(MAX_LISTED_SENDERS);
                    let description = format!(
                        "route {route} received {calls} calls where {budget:.0} are allowed, {:?} after its \
                         outage; senders with the most calls (number, calls): {most:?}",
                        at - recovered_at
                    );
                    found.push(Violation { rule: "slow start", message: None, description });
                }
            }
        }
        found
    }

    /// Returns whether a sender was down in this time. Its new process does not know of the outage.
    fn was_restarted_within(&self, sender: usize, from: Instant, to: Instant) -> bool {
        let downtimes = self.downtimes.get(&sender).map(Vec::as_slice).unwrap_or_default();
        downtimes.iter().any(|(down, up)| *down <= to && up.is_none_or(|up| from <= up))
    }

    /// Returns whether a sender was down at this time or at most `slack` before it.
    fn was_down(&self, sender: usize, at: Instant, slack: Duration) -> bool {
        let downtimes = self.downtimes.get(&sender).map(Vec::as_slice).unwrap_or_default();
        downtimes.iter().any(|(from, to)| *from <= at && to.is_none_or(|to| at <= to + slack))
    }

    /// Returns the time from which on something that is due at `due` is overdue: not while its sender is
    /// restarted, nor within [`START_GRACE`] after that.
    fn extend_deadline(&self, sender: usize, mut due: Instant) -> Instant {
        for (from, to) in self.restarts.get(&sender).map(Vec::as_slice).unwrap_or_default() {
            let Some(grace_end) = to.map(|to| to + START_GRACE) else { continue };
            if *from <= due && due < grace_end {
                due = grace_end;
            }
        }
        due
    }
}
