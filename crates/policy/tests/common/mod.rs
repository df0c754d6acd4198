//! Shared test support: settings, and a caller that drives one sender and records its actions.
#![allow(dead_code)]

use notchpoint_policy::*;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;
pub const IDEMPOTENT: u32 = 0;
pub const DEDUPLICATED: u32 = 1;
pub const AT_MOST_ONCE: u32 = 2;
pub const ORDERED: u32 = 3;

pub fn class(effect: Effect, in_order: bool) -> Class {
    let (dedup_window, target_time, deadline) = (5 * SEC, 2 * SEC, 20 * SEC);
    Class {
        effect,
        dedup_scope: DedupScope::All,
        dedup_window,
        target_time,
        deadline,
        worth: 1.0,
        late_share: 0.3,
        in_order,
    }
}

pub fn settings() -> Settings {
    Settings {
        slots: 16,
        max_held: 200,
        max_attempts: 6,
        senders: 1,
        zone: 0,
        parallel_attempts: false,
        may_cancel: true,
        may_probe: false,
        may_send_notes: false,
        list: ListMode::Push,
        classes: vec![
            class(Effect::Idempotent, false),
            class(Effect::Deduplicated, false),
            class(Effect::AtMostOnce, false),
            class(Effect::Deduplicated, true),
        ],
        tenant_allowances: vec![],
        over_share_worth: 0.2,
        kinds: vec![
            Kind { per_endpoint: false, max_bundle: 1 },
            Kind { per_endpoint: true, max_bundle: 1 },
            Kind { per_endpoint: false, max_bundle: 5 },
        ],
        worth_decay: WorthDecay::Linear,
        clients_mark_retries: false,
        start_capacity: 0.2,
        warm_up: 10 * SEC,
        overload_factor: 2.0,
        overload_after: 2 * SEC,
        key_rest: SEC,
        connect_timeout: SEC,
        conn_idle: 5 * SEC,
        multiplex: 1,
        connections_reported: false,
        tick: 5 * MS,
        max_retry_after: 2 * SEC,
    }
}

pub fn entry(endpoint: u32, dest: u64, kind: u32, phase: Phase) -> ListEntry {
    ListEntry {
        endpoint: EndpointId(endpoint.into()),
        dest: DestinationId(dest),
        zone: endpoint % 2,
        kind,
        phase,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    pub id: u64,
    pub attempt: u32,
    pub endpoint: u32,
    pub at: Micros,
    pub timeout: Micros,
}

/// A test rig: the caller of one sender, with its clock, the attempts in flight and all actions so far.
pub struct Rig {
    pub sender: Sender,
    pub now: Micros,
    pub in_flight: Vec<InFlight>,
    pub actions: Vec<(Micros, Action)>,
    /// The number of attempts of each message.
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub wakes: Vec<Micros>,
    next: u64,
}

impl Rig {
    /// Creates a rig with destination 1 of the given kind, whose endpoints are numbered from 0.
    pub fn new(settings: Settings, kind: u32, endpoints: u32) -> Self {
        Self::seeded(settings, kind, endpoints, 7)
    }

    pub fn seeded(settings: Settings, kind: u32, endpoints: u32, seed: u64) -> Self {
        let sender = Sender::new(settings, seed).expect("valid settings");
        let (in_flight, actions, wakes, attempts) = Default::default();
        let mut rig = Self { sender, now: 100 * SEC, in_flight, actions, attempts, wakes, next: 1 };
        let entries = (0..endpoints).map(|e| entry(e, 1, kind, Phase::Live)).collect();
        rig.feed(&[Event::List(ListUpdate::Restored(entries))]);
        rig
    }

    /// Advances the clock until an attempt is in flight, by ten seconds at most.
    pub fn advance_until_sent(&mut self) {
        for _ in 0..200 {
            if !self.in_flight.is_empty() {
                return;
            }
            self.advance(50 * MS);
        }
        panic!("nothing was sent");
    }

    pub fn list(&mut self, entries: Vec<ListEntry>) {
        self.feed(&[Event::List(ListUpdate::Changes(entries))]);
    }

    /// Passes events to the sender and records its actions.
    pub fn feed(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.handle(self.now, events, &mut actions);
        for a in &actions {
            match *a {
                Action::Send { id, endpoint, timeout, .. } => {
                    let n = self.attempts.entry(id.0).or_default();
                    let (attempt, at) = (*n, self.now);
                    *n += 1;
                    self.in_flight.push(InFlight {
                        id: id.0,
                        attempt,
                        endpoint: endpoint.0 as u32,
                        at,
                        timeout,
                    });
                }
                Action::WakeAt(at) => self.wakes.push(at),
                _ => {}
            }
            self.actions.push((self.now, a.clone()));
        }
        actions
    }

    /// Advances the clock, waking the sender when it requested that, and at the end.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(&at) = self.wakes.iter().filter(|&&w| w > self.now && w <= end).min() {
            self.now = at;
            self.feed(&[Event::Wake]);
        }
        self.now = end;
        self.feed(&[Event::Wake]);
    }

    pub fn message(&mut self, class: u32, dest: u64, key: Option<&str>, expires_in: Micros) -> (u64, Event) {
        let id = self.next;
        self.next += 1;
        let (dest, key) = (DestinationId(dest), key.map(Box::from));
        let message =
            Message { id: MessageId(id), class, tenant: None, key, dest, is_retry: false, expires_in };
        (id, Event::Taken(message))
    }

    pub fn submit(&mut self, class: u32) -> u64 {
        self.submit_to(class, 1, None, 20 * SEC)
    }

    /// Submits `count` idempotent messages.
    pub fn submit_many(&mut self, count: u32) {
        for _ in 0..count {
            self.submit(IDEMPOTENT);
        }
    }

    pub fn submit_to(&mut self, class: u32, dest: u64, key: Option<&str>, expires_in: Micros) -> u64 {
        let (id, event) = self.message(class, dest, key, expires_in);
        self.feed(&[event]);
        id
    }

    pub fn end(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        self.end_with_allowance(id, outcome, None)
    }

    pub fn end_with_allowance(
        &mut self,
        id: u64,
        outcome: Outcome,
        allowance: Option<Allowance>,
    ) -> Vec<Action> {
        let at = self.in_flight.iter().position(|o| o.id == id).expect("the message is in flight");
        let attempt = self.in_flight.remove(at).attempt;
        let is_final = outcome == Outcome::Served;
        self.feed(&[Event::Ended { id: MessageId(id), attempt, outcome, is_final, allowance }])
    }

    /// Ends all attempts that are in flight now with the same outcome.
    pub fn end_all(&mut self, outcome: Outcome) {
        for attempt in self.in_flight.clone() {
            self.end(attempt.id, outcome);
        }
    }

    /// Ends `count` attempts as served, one every 100 ms.
    pub fn serve(&mut self, count: u32) {
        for _ in 0..count {
            self.advance(100 * MS);
            let id = self.in_flight.first().expect("an attempt is in flight").id;
            self.end(id, Outcome::Served);
        }
    }

    pub fn is_in_flight(&self, id: u64) -> bool {
        self.in_flight.iter().any(|o| o.id == id)
    }

    pub fn refused(&self, id: u64) -> bool {
        self.actions.iter().any(|(_, a)| matches!(a, Action::Refuse { id: i, .. } if i.0 == id))
    }

    pub fn failed(&self, id: u64) -> bool {
        self.actions.iter().any(|(_, a)| matches!(a, Action::Fail { id: i } if i.0 == id))
    }

    /// Returns how many final actions the sender took for a message.
    pub fn answer_count(&self, id: u64) -> usize {
        let is_final = |a: &Action| {
            matches!(a, Action::Fail { id: i } if i.0 == id)
                || matches!(a, Action::Refuse { id: i, .. } if i.0 == id)
        };
        self.actions.iter().filter(|(_, a)| is_final(a)).count()
    }

    pub fn log_has(&self, text: &str) -> bool {
        self.actions.iter().any(|(_, a)| matches!(a, Action::Log(l) if l.contains(text)))
    }
}
