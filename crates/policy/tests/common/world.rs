//! Arbitrary valid sequences of events and an independent checker of the rules. The sequence determines the
//! outcomes; no server is simulated.
#![allow(dead_code)]

use super::common::{MS, SEC, entry};
use notchpoint_policy::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        class: u32,
        dest: u64,
        key: u8,
        expires: u64,
    },
    End {
        pick: usize,
        outcome: u8,
        wait: u64,
    },
    Withdraw {
        pick: usize,
    },
    List {
        endpoint: u32,
        phase: u8,
    },
    /// A note from another sender, possibly truncated, repeated or malformed.
    Note {
        from: u32,
        code: u8,
        dest: u64,
        endpoint: u64,
        length: usize,
        times: usize,
    },
    Advance {
        ms: u64,
    },
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u32, 1..5u64, 0..3u8, 50..20_000u64)
            .prop_map(|(class, dest, key, expires)| Step::Submit { class, dest, key, expires }),
        4 => (any::<usize>(), 0..8u8, 0..3_000u64)
            .prop_map(|(pick, outcome, wait)| Step::End { pick, outcome, wait }),
        1 => any::<usize>().prop_map(|pick| Step::Withdraw { pick }),
        1 => (0..8u32, 0..3u8).prop_map(|(endpoint, phase)| Step::List { endpoint, phase }),
        1 => (0..9u32, 0..6u8, 0..6u64, 0..9u64, 0..24usize, 1..4usize).prop_map(
            |(from, code, dest, endpoint, length, times)| {
                Step::Note { from, code, dest, endpoint, length, times }
            }),
        3 => (1..1_500u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

#[derive(Clone, Debug)]
pub struct Attempt {
    endpoint: u32,
    at: Micros,
    timeout: Micros,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
pub struct Submitted {
    class: u32,
    dest: u64,
    key: Option<u8>,
    expires: Micros,
    order: usize,
    attempts: Vec<Attempt>,
    pub done: bool,
}

/// Checks the rules against the events and actions, without knowledge of how the sender decides.
pub struct Checker {
    set: Settings,
    sender: Sender,
    now: Micros,
    pub messages: BTreeMap<u64, Submitted>,
    live: BTreeSet<u32>,
    waits: BTreeMap<(u64, u32), Micros>,
    key_rest: BTreeMap<u8, Micros>,
    wakes: BTreeSet<Micros>,
    pub trace: Vec<String>,
    /// An observer of each turn, which receives the clock, the events, the actions and the sender.
    pub observer: Option<Observer>,
}

pub type Observer = Box<dyn FnMut(Micros, &[Event], &[Action], &Sender)>;

/// Returns the destination of an endpoint. Destination d has the endpoints 2d-2 and 2d-1, and its kind is d
/// modulo the number of kinds.
pub fn owner(endpoint: u32) -> u64 {
    u64::from(endpoint / 2) + 1
}

pub fn kind(dest: u64, set: &Settings) -> u32 {
    (dest % set.kinds.len() as u64) as u32
}

pub fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Moot | Outcome::NotSent)
}

impl Checker {
    pub fn new(set: Settings, seed: u64) -> Self {
        Self::observed(set, seed, None)
    }

    pub fn observed(set: Settings, seed: u64, observer: Option<Observer>) -> Self {
        let sender = Sender::new(set.clone(), seed).expect("valid settings");
        let all = (0..8).map(|e| entry(e, owner(e), kind(owner(e), &set), Phase::Live)).collect();
        let (messages, waits, key_rest, wakes, trace) = Default::default();
        let (now, live) = (50 * SEC, (0..8).collect());
        let mut c = Self { set, sender, now, messages, live, waits, key_rest, wakes, trace, observer };
        c.feed(&[Event::List(ListUpdate::Restored(all))]);
        c
    }

    fn route(&self, endpoint: u32) -> (u64, u32) {
        let dest = owner(endpoint);
        let per_endpoint = self.set.kinds[kind(dest, &self.set) as usize].per_endpoint;
        (dest, if per_endpoint { endpoint } else { u32::MAX })
    }

    pub fn feed(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.sender.handle(self.now, events, &mut actions);
        if let Some(observer) = &mut self.observer {
            observer(self.now, events, &actions, &self.sender);
        }
        let mut calls: BTreeSet<(Micros, u32, usize)> = BTreeSet::new();
        for a in &actions {
            self.trace.push(format!("{} {a:?}", self.now));
            match a {
                Action::Send { id, endpoint, timeout, .. } => self.send(id.0, endpoint.0 as u32, *timeout),
                Action::Refuse { id, .. } => self.answer(id.0, true),
                Action::Fail { id } => self.answer(id.0, false),
                Action::WakeAt(at) => {
                    assert!(*at > self.now, "a wake-up in the past");
                    self.wakes.insert(*at);
                }
                Action::Cancel { id, attempt } => {
                    assert!(self.set.may_cancel && (*attempt as usize) < self.messages[&id.0].attempts.len());
                }
                Action::Probe { .. } => assert!(self.set.may_probe),
                Action::Note { .. } => assert!(self.set.may_send_notes),
                _ => {}
            }
        }
        // Messages of one turn to one endpoint share a call, and thus a slot, if the kind allows bundles.
        let (mut call_count, mut per_dest) = (0, BTreeMap::<u64, usize>::new());
        for (id, message) in &self.messages {
            for attempt in message.attempts.iter().filter(|a| a.outcome.is_none()) {
                let bundles = self.set.kinds[kind(message.dest, &self.set) as usize].max_bundle > 1;
                let message_key = if bundles { usize::MAX } else { *id as usize };
                if calls.insert((attempt.at, attempt.endpoint, message_key)) {
                    call_count += 1;
                    *per_dest.entry(message.dest).or_default() += 1;
                }
            }
        }
        assert!(call_count <= self.set.slots as usize, "more calls than slots");
        let ceiling = (self.set.slots as f64 * 0.75).floor().max(1.0) as usize;
        assert!(per_dest.values().all(|&n| n <= ceiling), "a destination exceeds its share of the slots");
        for (id, message) in &self.messages {
            assert!(
                message.done || self.now <= message.expires + 20 * MS,
                "message {id} has no final status in time"
            );
        }
    }

    fn send(&mut self, id: u64, endpoint: u32, timeout: Micros) {
        let message = &self.messages[&id];
        assert!(!message.done, "sent after its final status");
        assert!(timeout > 0 && self.now < message.expires, "sent after its deadline");
        assert_eq!(owner(endpoint), message.dest, "sent to another destination");
        assert!(self.live.contains(&endpoint), "sent to an endpoint that is draining or removed");
        assert!(message.attempts.len() < self.set.max_attempts as usize, "too many attempts");
        assert!(message.attempts.iter().all(|a| a.outcome.is_some()), "two attempts in flight");
        let class = &self.set.classes[message.class as usize];
        let ran: Vec<&Attempt> =
            message.attempts.iter().filter(|a| a.outcome.is_some_and(may_have_run)).collect();
        match class.effect {
            Effect::Idempotent => {}
            Effect::AtMostOnce => {
                assert!(ran.is_empty(), "an at-most-once message that may have run is sent again")
            }
            Effect::Deduplicated => {
                if let Some(first) = ran.iter().map(|a| a.at).min() {
                    assert!(self.now < first + class.dedup_window, "sent after the deduplication window");
                }
                let zone = |e: u32| e % 2;
                if class.dedup_scope == DedupScope::Zone {
                    assert!(
                        ran.iter().all(|y| zone(y.endpoint) == zone(endpoint)),
                        "sent outside its deduplication scope"
                    );
                }
            }
        }
        if let Some(k) = message.key {
            let is_earlier = |other: &&Submitted| other.key == Some(k) && other.order < message.order;
            for earlier in self.messages.values().filter(is_earlier) {
                assert!(earlier.done && earlier.attempts.iter().all(|a| a.outcome.is_some()), "out of order");
            }
            let has_earlier_attempt = message.attempts.iter().any(|a| a.outcome.is_some());
            let blocked_until = self.key_rest.get(&k).copied().unwrap_or(0);
            assert!(has_earlier_attempt || self.now >= blocked_until, "sent while its key is blocked");
        }
        let wait = self.waits.get(&self.route(endpoint)).copied().unwrap_or(0);
        assert!(self.now >= wait, "sent before the requested wait was over");
        let attempt = Attempt { endpoint, at: self.now, timeout, outcome: None };
        self.messages.get_mut(&id).expect("known").attempts.push(attempt);
    }

    fn answer(&mut self, id: u64, refusal: bool) {
        let message = self.messages.get_mut(&id).expect("known");
        assert!(!message.done, "two final statuses");
        message.done = true;
        if !refusal {
            return;
        }
        let class = &self.set.classes[message.class as usize];
        let never_ran = message.attempts.iter().all(|a| a.outcome.is_some_and(|o| !may_have_run(o)));
        let allowed = match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => never_ran,
            Effect::Deduplicated => never_ran || class.dedup_scope == DedupScope::All,
        };
        assert!(allowed, "refused a message that may have run");
    }

    /// Ends an attempt and reports that to the sender.
    pub fn end(&mut self, id: u64, n: usize, outcome: Outcome) {
        let now = self.now;
        let message = self.messages.get_mut(&id).expect("known");
        message.attempts[n].outcome = Some(outcome);
        message.done |= outcome == Outcome::Served;
        let (is_final, endpoint, key) = (message.done, message.attempts[n].endpoint, message.key);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
            && let Some(k) = key
        {
            let blocked_until = self.key_rest.entry(k).or_default();
            *blocked_until = (*blocked_until).max(now + self.set.key_rest);
        }
        if let Outcome::Full { wait: Some(w) } = outcome {
            let route = self.route(endpoint);
            let until = self.waits.entry(route).or_default();
            *until = (*until).max(now + w);
        }
        let (id, attempt) = (MessageId(id), n as u32);
        self.feed(&[Event::Ended { id, attempt, outcome, is_final, allowance: None }]);
    }

    /// Returns each message with an attempt in flight, and the number of that attempt.
    pub fn outstanding(&self) -> Vec<(u64, usize)> {
        let in_flight = |message: &Submitted| message.attempts.iter().position(|a| a.outcome.is_none());
        self.messages.iter().filter_map(|(&id, message)| in_flight(message).map(|n| (id, n))).collect()
    }

    /// Advances the clock; time-outs and wake-ups happen when they are due.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let out = self.outstanding();
            let due = |&(id, n): &(u64, usize)| {
                let (message, attempt) = (&self.messages[&id], &self.messages[&id].attempts[n]);
                ((attempt.at + attempt.timeout).min(message.expires), id, n)
            };
            let time_out = out.iter().map(due).min().filter(|d| d.0 <= end);
            let wake = self.wakes.first().copied().filter(|&w| w <= end);
            match (time_out, wake) {
                (Some((at, id, n)), w) if w.is_none_or(|w| at <= w) => {
                    self.now = self.now.max(at);
                    self.end(id, n, Outcome::TimedOut);
                }
                (_, Some(w)) => {
                    self.wakes.remove(&w);
                    self.now = self.now.max(w);
                    self.feed(&[Event::Wake]);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit { class, dest, key, expires } => {
                let (order, id) = (self.messages.len(), self.messages.len() as u64 + 1);
                let in_order = self.set.classes[class as usize].in_order;
                let (key, expires_in) = (in_order.then_some(key), expires * MS);
                let expires = self.now + expires_in;
                self.messages.insert(
                    id,
                    Submitted { class, dest, key, expires, order, attempts: vec![], done: false },
                );
                let key = key.map(|k| k.to_string().into_boxed_str());
                let (id, dest, tenant) = (MessageId(id), DestinationId(dest), None);
                let is_retry = false;
                self.feed(&[Event::Taken(Message { id, class, tenant, key, dest, is_retry, expires_in })]);
            }
            Step::End { pick, outcome, wait } => {
                let out = self.outstanding();
                if out.is_empty() {
                    return;
                }
                let (id, n) = out[pick % out.len()];
                let outcome = match outcome {
                    0 | 1 => Outcome::Served,
                    2 => Outcome::Failed,
                    3 => Outcome::Full { wait: (wait > 0).then_some(wait * MS) },
                    4 => Outcome::Full { wait: None },
                    5 => Outcome::ConnectFailed,
                    6 => Outcome::Reset,
                    _ => Outcome::Moot,
                };
                self.end(id, n, outcome);
            }
            Step::Withdraw { pick } => {
                let open: Vec<u64> =
                    self.messages.iter().filter(|(_, m)| !m.done).map(|(&id, _)| id).collect();
                if open.is_empty() {
                    return;
                }
                let id = open[pick % open.len()];
                self.messages.get_mut(&id).expect("known").done = true;
                self.feed(&[Event::Withdrawn(MessageId(id))]);
            }
            Step::List { endpoint, phase } => {
                let phase = [Phase::Live, Phase::Draining, Phase::Gone][phase as usize];
                if phase == Phase::Live {
                    self.live.insert(endpoint);
                } else {
                    self.live.remove(&endpoint);
                }
                let e = entry(endpoint, owner(endpoint), kind(owner(endpoint), &self.set), phase);
                self.feed(&[Event::List(ListUpdate::Changes(vec![e]))]);
            }
            Step::Note { from, code, dest, endpoint, length, times } => {
                let mut body = vec![0xd1, code];
                body.extend(dest.to_le_bytes());
                // The length is that of a note about an endpoint, about a destination, or neither.
                body.extend(endpoint.to_le_bytes());
                body.truncate(if length > 18 { 10 } else { length });
                for from in (from..).take(times) {
                    self.feed(&[Event::Note { from, body: body.clone() }]);
                }
            }
            Step::Advance { ms } => self.advance(ms * MS),
        }
    }
}
