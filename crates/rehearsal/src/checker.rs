//! Checks the rules against the observations of a run. The checker knows the protocol but not how senders
//! decide: it never reads a sender's state.

use crate::observations::Message;
use crate::run::RunResult;
use crate::scenario::{Event, EventKind};
use notchpoint_emulator::{CallRecord, Micros};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
/// Tolerance after the deadline within which an accepted message must have ended.
const END_TOLERANCE: Micros = 300 * MS;
/// Tolerance added to each limit for runs on real sockets.
const SOCKET_TOLERANCE: Micros = 50 * MS;
/// Time that a sender has after it is ready again to complete what came due while it was unavailable.
const CATCH_UP_TIME: Micros = 1_500 * MS;
/// Time that a takeover by a replica takes: to detect that the owner is silent, to agree on it, and to reach
/// the other replicas.
const TAKEOVER_TIME: Micros = 4 * SEC;
/// Time after which a list change counts as received once discovery was able to send it, whether or not it
/// arrived.
const LIST_PROPAGATION_TIME: Micros = 6 * SEC;
/// Time after a requested wait or a drain in which calls that were already in flight are permitted.
const IN_FLIGHT_GRACE: Micros = 100 * MS;
/// Time within which a notice may follow the delivery of its message, or the acknowledgement of an earlier
/// notice, without a violation: the two may have crossed.
const ANSWER_CROSSING_TIME: Micros = 50 * MS;
/// Time within which a malformed request must receive an error or a close.
const BAD_CLIENT_TIMEOUT: Micros = 3 * SEC;

/// A rule that senders must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every accepted message is delivered, or ended by a notice in time.
    NothingMissing,
    /// A message that must not be repeated takes effect at most once.
    NothingTwice,
    /// A message that was delivered or ended is not ended again.
    OneFinalAnswer,
    /// No calls are sent to an endpoint that is draining or removed.
    DrainsKept,
    /// A destination that restarts cold is not overloaded.
    ReturningNotPushed,
    /// No calls are sent during a wait that the destination requested.
    WaitsHeeded,
    /// A message has no more attempts than permitted, and no two at once.
    AttemptLimit,
    /// A sender's concurrent calls to one destination stay within three quarters of its slots, and all of
    /// them within its slots.
    OwnCap,
    /// A sender does not crash, hang or exceed the size limit of its folder.
    StaysUp,
    /// Malformed requests receive an error or a close.
    BadClients,
    /// Calls and notices are well-formed, go to the right destination, and belong to submitted messages.
    Protocol,
}

/// All rules in their order.
pub const RULES: [Rule; 11] = [
    Rule::NothingMissing,
    Rule::NothingTwice,
    Rule::OneFinalAnswer,
    Rule::DrainsKept,
    Rule::ReturningNotPushed,
    Rule::WaitsHeeded,
    Rule::AttemptLimit,
    Rule::OwnCap,
    Rule::StaysUp,
    Rule::BadClients,
    Rule::Protocol,
];

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// Time of the violation in microseconds.
    pub at: Micros,
    /// The rule.
    pub rule: Rule,
    /// The `X-Request-ID` of the message concerned, if any.
    pub message: Option<String>,
    /// What each side observed.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = self.message.as_ref().map(|m| format!(" message {m}")).unwrap_or_default();
        write!(f, "{:>9.3} s  {:?}{message}: {}", self.at as f64 / 1e6, self.rule, self.what)
    }
}

/// Returns all violations in the order of time.
pub fn check(result: &RunResult) -> Vec<Violation> {
    let mut checker = Checker { result, violations: Vec::new() };
    checker.check_messages();
    checker.check_effects();
    checker.check_drains();
    checker.check_calls();
    checker.check_processes();
    checker.violations.sort();
    checker.violations
}

struct Checker<'a> {
    result: &'a RunResult,
    violations: Vec<Violation>,
}

fn seconds(t: Micros) -> String {
    format!("{:.3} s", t as f64 / 1e6)
}

impl Checker<'_> {
    fn report(&mut self, at: Micros, rule: Rule, message: Option<u64>, details: String) {
        let message = message.map(|id| format!("{id:016x}"));
        self.violations.push(Violation { at, rule, message, what: details });
    }

    fn check_messages(&mut self) {
        let observations = self.result.observations.clone();
        for (&id, message) in observations.messages.borrow().iter() {
            let accepted = message.answer.filter(|(_, status)| matches!(status, 200 | 202));
            if let Some((accepted_at, _)) = accepted.filter(|_| message.abandoned_at.is_none()) {
                self.check_end(id, message, accepted_at);
            }
            self.check_single_answer(id, message);
        }
    }

    fn check_end(&mut self, id: u64, message: &Message, accepted_at: Micros) {
        let ended = message.delivered.into_iter().chain(message.notices.iter().map(|n| n.at)).min();
        // A stopped process reads a request only after it resumes, and the deadline counts from then on: a
        // socket does not report when bytes arrived.
        let unread_time = self
            .freeze_intervals(message.sender)
            .find(|freeze| (freeze.0..freeze.1).contains(&message.submitted_at))
            .map_or(0, |freeze| freeze.1 - message.submitted_at);
        let due = self
            .extend_limit(message.sender, message.deadline + END_TOLERANCE + SOCKET_TOLERANCE + unread_time);
        if due >= self.result.end || ended.is_some_and(|e| e <= due) {
            return;
        }
        let (accepted_at, calls) = (seconds(accepted_at), self.describe_calls(id));
        let end = ended.map_or("no end".to_owned(), |e| format!("its end only at {}", seconds(e)));
        let details = format!(
            "client: taken on by sender {} at {accepted_at}, to end by {}; platform: {end}; partner: {calls}",
            message.sender,
            seconds(message.deadline + END_TOLERANCE)
        );
        self.report(due, Rule::NothingMissing, Some(id), details);
    }

    /// Extends the time limit of a notice by the periods in which its sender was unavailable.
    fn extend_limit(&self, sender: usize, due: Micros) -> Micros {
        let lifetimes = self.result.observations.lifetimes.borrow();
        let mut due = due;
        for pair in lifetimes[sender].windows(2) {
            let (Some(stopped_at), back) = (pair[0].stop_requested.or(pair[0].ended), pair[1].ready) else {
                continue;
            };
            let until = back.map_or(Micros::MAX, |b| b + CATCH_UP_TIME);
            if (stopped_at..until).contains(&due) {
                due = until;
            }
        }
        // A sender that is cut off the network cannot send notices either.
        for (at, until) in self.cut_intervals(sender) {
            if (at..until + CATCH_UP_TIME).contains(&due) {
                due = until + CATCH_UP_TIME;
            }
        }
        // With replication, another sender ends the message once it is certain that the owner has failed.
        // During a fault it may be unable to establish that.
        if self.result.scenario.senders.copies > 0 {
            for (at, until) in self.sender_fault_intervals() {
                if (at..until + TAKEOVER_TIME).contains(&due) {
                    due = until + TAKEOVER_TIME;
                }
            }
        }
        due
    }

    /// Returns the intervals of all faults that affect senders or the links between them.
    fn sender_fault_intervals(&self) -> Vec<(Micros, Micros)> {
        let micros = |s: f64| (s * 1e6) as Micros;
        let events = self.result.scenario.event.iter().map(|e| e.get_ref());
        let affects_senders = |event: &&Event| {
            let is_sender_cut = event.kind == EventKind::Cut && event.sender.is_some();
            let is_sender_fault = matches!(
                event.kind,
                EventKind::Kill
                    | EventKind::Restart
                    | EventKind::Lose
                    | EventKind::Freeze
                    | EventKind::DiskFull
            );
            is_sender_cut || is_sender_fault || matches!(event.kind, EventKind::Part | EventKind::SlowLink)
        };
        let span = |event: &Event| {
            event.for_s.unwrap_or(1.0) + if event.kind == EventKind::Restart { 3.7 } else { 0.0 }
        };
        let mut all: Vec<_> = events
            .filter(affects_senders)
            .map(|event| (micros(event.at_s), micros(event.at_s + span(event))))
            .collect();
        all.sort_unstable();
        all
    }

    /// Returns whether, with replication, a fault may have prevented one sender from learning what another
    /// did with a message between two times.
    fn may_be_partitioned(&self, from: Micros, to: Micros) -> bool {
        let copies = self.result.scenario.senders.copies > 0;
        copies
            && self
                .sender_fault_intervals()
                .iter()
                .any(|&(at, until)| at <= to && until + TAKEOVER_TIME >= from)
    }

    /// Returns the intervals in which a sender's process is stopped.
    fn freeze_intervals(&self, sender: usize) -> impl Iterator<Item = (Micros, Micros)> {
        let events = self.result.scenario.event.iter().map(|e| e.get_ref());
        let freezes = events.filter(move |e| e.kind == EventKind::Freeze && e.sender == Some(sender));
        let micros = |s: f64| (s * 1e6) as Micros;
        freezes.map(move |e| (micros(e.at_s), micros(e.at_s + e.for_s.unwrap_or(0.0))))
    }

    /// Returns the intervals in which a sender is cut off the network.
    fn cut_intervals(&self, sender: usize) -> Vec<(Micros, Micros)> {
        let events = self.result.scenario.event.iter().map(|e| e.get_ref());
        let cut = events.filter(|e| e.kind == EventKind::Cut && e.sender == Some(sender));
        let micros = |s: f64| (s * 1e6) as Micros;
        cut.map(|e| (micros(e.at_s), micros(e.at_s + e.for_s.unwrap_or(0.0)))).collect()
    }

    /// Describes the calls for a message that partners received.
    fn describe_calls(&self, id: u64) -> String {
        let mut all = Vec::new();
        for (destination, ledger) in self.result.ledgers.iter().enumerate() {
            for call in ledger.calls.iter().filter(|call| call.messages.contains(&id)) {
                let end = match (call.answer, call.caller_gone_at) {
                    (Some((at, status)), _) => format!("answered {status} at {}", seconds(at)),
                    (None, Some(at)) => format!("its caller closed at {}", seconds(at)),
                    _ => "never answered".to_owned(),
                };
                all.push(format!(
                    "call to {destination}/{} at {}, {end}",
                    call.endpoint,
                    seconds(call.received_at)
                ));
            }
        }
        if all.is_empty() { "no call".to_owned() } else { all.join("; ") }
    }

    fn check_single_answer(&mut self, id: u64, message: &Message) {
        let Some(first) = message.notices.first() else { return };
        // An answer that was written during a network cut did not arrive.
        let was_received = !self
            .unobservable_destinations()
            .contains(&self.result.observations.orders.borrow()[message.order].destination);
        if let Some(delivered) = message.delivered.filter(|_| was_received && !message.is_answer_crossed)
            && let Some(notice) =
                message.notices.iter().find(|notice| notice.at > delivered + ANSWER_CROSSING_TIME)
        {
            // A process that ended between the two events cannot know of the delivery, unless it had the
            // answer well before its end.
            if !self.process_ended_between(message.sender, delivered, notice.at)
                && !self.may_be_partitioned(message.submitted_at, notice.at)
            {
                let details = format!(
                    "partner: delivered at {}; platform: ended as {} at {}",
                    seconds(delivered),
                    notice.verdict,
                    seconds(notice.at)
                );
                self.report(notice.at, Rule::OneFinalAnswer, Some(id), details);
            }
        }
        for notice in &message.notices[1..] {
            let was_acknowledged = first.acknowledged.is_some_and(|t| notice.at > t + ANSWER_CROSSING_TIME);
            let was_repeated =
                was_acknowledged && !self.process_ended_between(message.sender, first.at, notice.at);
            let is_partitioned = self.may_be_partitioned(message.submitted_at, notice.at);
            if (notice.verdict != first.verdict || was_repeated) && !is_partitioned {
                let details = format!(
                    "platform: ended as {} at {}, and as {} at {}",
                    first.verdict,
                    seconds(first.at),
                    notice.verdict,
                    seconds(notice.at)
                );
                self.report(notice.at, Rule::OneFinalAnswer, Some(id), details);
                break;
            }
        }
    }

    fn process_ended_between(&self, sender: usize, from: Micros, to: Micros) -> bool {
        let lifetimes = self.result.observations.lifetimes.borrow();
        lifetimes[sender].iter().any(|l| l.ended.is_some_and(|t| t + ANSWER_CROSSING_TIME >= from && t <= to))
    }

    fn check_effects(&mut self) {
        let observations = self.result.observations.clone();
        let (messages, orders) = (observations.messages.borrow(), observations.orders.borrow());
        // By order: time, message, destination and endpoint of each effect. Messages whose client stopped
        // waiting do not count.
        let mut effects: BTreeMap<usize, Vec<(Micros, u64, usize, usize)>> = BTreeMap::new();
        for (destination, ledger) in self.result.ledgers.iter().enumerate() {
            for effect in ledger.effects.iter().filter(|effect| !effect.is_duplicate) {
                let Some(message) =
                    messages.get(&effect.message).filter(|message| message.abandoned_at.is_none())
                else {
                    continue;
                };
                let class = self.result.scenario.class[orders[message.order].class].get_ref();
                if class.effect != "idempotent" {
                    effects.entry(message.order).or_default().push((
                        effect.at,
                        effect.message,
                        destination,
                        effect.endpoint,
                    ));
                }
            }
        }
        for (order, all) in effects.iter().filter(|(_, all)| all.len() > 1) {
            let times: Vec<String> = all
                .iter()
                .map(|(at, id, destination, endpoint)| {
                    format!("{id:016x} at {} at {destination}/{endpoint}", seconds(*at))
                })
                .collect();
            let class = &self.result.scenario.class[orders[*order].class].get_ref().name;
            let calls = self.describe_calls(all[1].1);
            let details = format!(
                "order {order} of class {class} ran {} times: {}; {calls}",
                all.len(),
                times.join(", ")
            );
            self.report(all[1].0, Rule::NothingTwice, Some(all[1].1), details);
        }
    }

    /// Returns the number of a sender's process lifetime at a given time, counted from 1.
    fn lifetime_at(&self, sender: usize, at: Micros) -> u32 {
        let lifetimes = self.result.observations.lifetimes.borrow();
        lifetimes[sender].iter().filter(|l| l.started <= at).count().max(1) as u32
    }

    /// Returns the earliest time at or after `at` at which discovery was able to send changes.
    fn discovery_available_from(&self, at: Micros) -> Micros {
        let mut outages = self.result.observations.outages.borrow().clone();
        outages.sort_unstable();
        outages.iter().fold(at, |at, &(from, until)| if (from..until).contains(&at) { until } else { at })
    }

    fn check_drains(&mut self) {
        let observations = self.result.observations.clone();
        let listed = observations.list_changes.borrow();
        for change in listed.iter().filter(|c| c.closed) {
            let (destination, endpoint) = change.endpoint;
            let later: Vec<&CallRecord> = self.result.ledgers[destination]
                .calls
                .iter()
                .filter(|c| c.endpoint == endpoint && c.first_byte_at > change.at)
                .collect();
            for call in later {
                let lifetime = self.lifetime_at(call.sender, call.first_byte_at);
                let started = observations.lifetimes.borrow()[call.sender]
                    .get(lifetime as usize - 1)
                    .map_or(0, |l| l.started);
                // A change that was sent during a network cut did not arrive.
                let cut_intervals = self.cut_intervals(call.sender);
                let was_received =
                    |t: Micros| !cut_intervals.iter().any(|(from, until)| (*from..*until).contains(&t));
                let notified_at = change.notified.iter().filter(|(sender, sender_lifetime, at)| {
                    *sender == call.sender && *sender_lifetime == lifetime && was_received(*at)
                });
                let notified_at = notified_at
                    .map(|t| t.2)
                    .min()
                    .unwrap_or(Micros::MAX)
                    .min(self.discovery_available_from(change.at.max(started)) + LIST_PROPAGATION_TIME);
                if call.first_byte_at > notified_at + IN_FLIGHT_GRACE + SOCKET_TOLERANCE {
                    let details = format!(
                        "platform: revision {} closed {destination}/{endpoint} at {}, told sender {} \
                         at {}; partner: a call began at {}",
                        change.revision,
                        seconds(change.at),
                        call.sender,
                        seconds(notified_at),
                        seconds(call.first_byte_at)
                    );
                    self.report(
                        call.first_byte_at,
                        Rule::DrainsKept,
                        call.messages.first().copied(),
                        details,
                    );
                    break;
                }
            }
        }
    }

    fn check_calls(&mut self) {
        let result = self.result;
        let scenario = &result.scenario;
        let unobservable_destinations = self.unobservable_destinations();
        let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
        for (destination, ledger) in result.ledgers.iter().enumerate() {
            for (at, endpoint) in &ledger.overload_failures {
                let from: BTreeSet<usize> = ledger
                    .calls
                    .iter()
                    .filter(|c| c.received_at <= *at && c.received_at + 2 * SEC > *at)
                    .map(|c| c.sender)
                    .collect();
                let details = format!(
                    "partner: {destination}/{endpoint} failed from overload while cold; calls from senders \
                     {from:?}"
                );
                self.report(*at, Rule::ReturningNotPushed, None, details);
            }
            for call in &ledger.calls {
                call.messages.iter().for_each(|id| *attempts.entry(*id).or_default() += 1);
            }
            self.check_waits(destination, &ledger.calls);
            if !scenario.senders.parallel_tries && !unobservable_destinations.contains(&destination) {
                self.check_parallel_attempts(destination, &ledger.calls);
            }
        }
        let limit = scenario.senders.max_attempts;
        for (id, n) in attempts.into_iter().filter(|(_, n)| *n > limit) {
            let details =
                format!("partner: {n} calls, but at most {limit} are permitted: {}", self.describe_calls(id));
            self.report(0, Rule::AttemptLimit, Some(id), details);
        }
        self.check_slot_limits(&unobservable_destinations);
    }

    /// Returns the destinations that cannot detect a caller's close because of a network cut.
    fn unobservable_destinations(&self) -> BTreeSet<usize> {
        let scenario = &self.result.scenario;
        let cut: Vec<_> =
            scenario.event.iter().map(|e| e.get_ref()).filter(|e| e.kind == EventKind::Cut).collect();
        if cut.iter().any(|e| e.sender.is_some()) {
            return (0..self.result.ledgers.len()).collect();
        }
        cut.iter()
            .flat_map(|e| scenario.select(e.zone.as_deref(), e.partner.as_deref(), e.destination))
            .collect()
    }

    fn check_waits(&mut self, destination: usize, calls: &[CallRecord]) {
        let (partner, _) = self.result.scenario.destinations()[destination];
        let per_endpoint = self.result.scenario.partner[partner].get_ref().per_endpoint;
        // Requested waits: start, end, sender, endpoint and lifetime number of the sender.
        let mut waits: Vec<(Micros, Micros, usize, usize, u32)> = Vec::new();
        for call in calls {
            if let (Some((at, 429)), Some(wait)) = (call.answer, call.retry_after) {
                waits.push((at, at + wait, call.sender, call.endpoint, self.lifetime_at(call.sender, at)));
            }
        }
        waits.sort_unstable();
        let longest = waits.iter().map(|wait| wait.1 - wait.0).max().unwrap_or(0);
        for call in calls {
            let first = waits.partition_point(|wait| wait.0 + longest < call.received_at);
            let lifetime = self.lifetime_at(call.sender, call.received_at);
            let ignored_wait = waits[first..]
                .iter()
                .take_while(|wait| wait.0 + IN_FLIGHT_GRACE + SOCKET_TOLERANCE < call.received_at)
                .find(|wait| {
                    call.received_at < wait.1
                        && wait.2 == call.sender
                        && wait.4 == lifetime
                        && (!per_endpoint || wait.3 == call.endpoint)
                });
            if let Some(wait) = ignored_wait {
                let details = format!(
                    "partner: told sender {} at {} to wait until {}, but received a call at {}",
                    call.sender,
                    seconds(wait.0),
                    seconds(wait.1),
                    seconds(call.received_at)
                );
                self.report(call.received_at, Rule::WaitsHeeded, call.messages.first().copied(), details);
            }
        }
    }

    /// Returns the interval in which a call was in flight.
    fn call_interval(&self, call: &CallRecord) -> (Micros, Micros) {
        let ends = call
            .answer
            .filter(|answer| answer.1 != 0)
            .map(|answer| answer.0)
            .into_iter()
            .chain(call.caller_gone_at)
            .min();
        (call.received_at, ends.or(call.answer.map(|answer| answer.0)).unwrap_or(self.result.end))
    }

    fn check_parallel_attempts(&mut self, destination: usize, calls: &[CallRecord]) {
        let mut last: BTreeMap<u64, (Micros, usize)> = BTreeMap::new();
        for call in calls {
            let (at, until) = self.call_interval(call);
            for id in &call.messages {
                // Two senders that are partitioned cannot know of each other's calls. `NothingTwice` covers
                // messages that must not be repeated.
                let is_partitioned = self.may_be_partitioned(at, at);
                if let Some((busy, endpoint)) = last.get(id).filter(|(busy, _)| *busy > at && !is_partitioned)
                {
                    let details = format!(
                        "partner: {destination}/{} received a call at {} while one to \
                         {destination}/{endpoint} was in flight until {}",
                        call.endpoint,
                        seconds(at),
                        seconds(*busy)
                    );
                    self.report(at, Rule::AttemptLimit, Some(*id), details);
                }
                last.insert(*id, (until, call.endpoint));
            }
        }
    }

    fn check_slot_limits(&mut self, unobservable_destinations: &BTreeSet<usize>) {
        let slots = self.result.scenario.senders.slots;
        let limit = (f64::from(slots) * 0.75).floor().max(1.0) as i64;
        // Starts and ends of calls: time, change of the number of calls in flight (1 or -1), sender and
        // destination.
        let mut steps: Vec<(Micros, i64, usize, usize)> = Vec::new();
        for (destination, ledger) in self
            .result
            .ledgers
            .iter()
            .enumerate()
            .filter(|(destination, _)| !unobservable_destinations.contains(destination))
        {
            for call in &ledger.calls {
                let (from, to) = self.call_interval(call);
                if to > from {
                    steps.extend([(from, 1, call.sender, destination), (to, -1, call.sender, destination)]);
                }
            }
        }
        // At equal times the sort puts ends before starts.
        steps.sort_unstable();
        let mut by_destination: BTreeMap<(usize, usize), i64> = BTreeMap::new();
        let mut by_sender: BTreeMap<usize, i64> = BTreeMap::new();
        let mut reported = BTreeSet::new();
        for (at, change, sender, destination) in steps {
            let here = by_destination.entry((sender, destination)).or_default();
            *here += change;
            let all = by_sender.entry(sender).or_default();
            *all += change;
            let details = if *here > limit {
                format!(
                    "partner {destination}: {here} calls of sender {sender} are in flight, but at most \
                     {limit} are permitted"
                )
            } else if *all > i64::from(slots) {
                format!("partners: {all} calls of sender {sender} are in flight, but it has {slots} slots")
            } else {
                continue;
            };
            if reported.insert((sender, destination)) {
                self.report(at, Rule::OwnCap, None, details);
            }
        }
    }

    fn check_processes(&mut self) {
        let observations = self.result.observations.clone();
        for (sender, lifetimes) in observations.lifetimes.borrow().iter().enumerate() {
            for lifetime in lifetimes {
                // A sender with a full disk cannot write its first record and does not start. The supervisor
                // retries.
                let is_disk_full_error = |why: &String| {
                    let full =
                        self.result.scenario.event.iter().any(|e| e.get_ref().kind == EventKind::DiskFull);
                    full && why.contains("no storage space")
                };
                if let Some(why) = lifetime.crashed.as_ref().filter(|w| !is_disk_full_error(w)) {
                    let at = lifetime.ended.unwrap_or(lifetime.started);
                    self.report(at, Rule::StaysUp, None, format!("sender {sender} {why}"));
                }
            }
        }
        for request in observations.bad_requests.borrow().iter() {
            let was_unavailable = self.extend_limit(request.sender, request.at) != request.at
                || self.extend_limit(request.sender, request.at + BAD_CLIENT_TIMEOUT)
                    != request.at + BAD_CLIENT_TIMEOUT;
            let was_answered = request.response.is_some_and(|(t, status)| {
                !(200..300).contains(&status) && t <= request.at + BAD_CLIENT_TIMEOUT + SOCKET_TOLERANCE
            });
            if !was_answered && !was_unavailable {
                let details = format!(
                    "a client that sent {} to sender {} received {:?}",
                    request.kind, request.sender, request.response
                );
                self.report(request.at + BAD_CLIENT_TIMEOUT, Rule::BadClients, None, details);
            }
        }
        for (at, details) in observations.anomalies.borrow().iter() {
            let rule = if details.contains("folder held") { Rule::StaysUp } else { Rule::Protocol };
            self.report(*at, rule, None, details.clone());
        }
    }
}
