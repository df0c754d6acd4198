//! Tests that need access to private state.

use super::*;

fn settings() -> Settings {
    let kinds = vec![Kind { per_endpoint: false, max_bundle: 1 }, Kind { per_endpoint: true, max_bundle: 2 }];
    let class = Class {
        effect: Effect::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        target_time: SEC,
        deadline: 6 * SEC,
        worth: 1.0,
        late_share: 0.0,
        in_order: false,
    };
    Settings {
        slots: 4,
        max_held: 9,
        max_attempts: 8,
        senders: 1,
        zone: 0,
        parallel_attempts: false,
        may_cancel: true,
        may_probe: false,
        may_send_notes: false,
        list: ListMode::Push,
        classes: vec![class],
        tenant_allowances: vec![],
        over_share_worth: 1.0,
        kinds,
        worth_decay: WorthDecay::Linear,
        clients_mark_retries: true,
        start_capacity: 0.2,
        warm_up: SEC,
        overload_factor: 2.0,
        overload_after: SEC,
        key_rest: 0,
        connect_timeout: SEC,
        conn_idle: SEC,
        multiplex: 1,
        connections_reported: false,
        tick: 5 * MS,
        max_retry_after: SEC,
    }
}

#[test]
fn destinations_that_leave_the_list_are_dropped_after_a_while() {
    // Guards against memory that grows for as long as the process runs.
    let mut sender = Sender::new(settings(), 1).expect("valid settings");
    let (mut now, mut out) = (0, Vec::new());
    for n in 0..200u64 {
        now += SEC;
        let (endpoint, dest) = (EndpointId(n), DestinationId(n));
        let entry = ListEntry { endpoint, dest, zone: 0, kind: (n % 2) as u32, phase: Phase::Live };
        let id = MessageId(n);
        let message =
            Message { id, class: 0, tenant: None, key: None, dest, is_retry: false, expires_in: SEC };
        let removed = ListEntry { phase: Phase::Gone, ..entry.clone() };
        let list = |e| Event::List(ListUpdate::Changes(vec![e]));
        sender.handle(now, &[list(entry), Event::Taken(message)], &mut out);
        let ended = Event::Ended { id, attempt: 0, outcome: Served, is_final: true, allowance: None };
        sender.handle(now + MS, &[ended, list(removed)], &mut out);
    }
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 200);
    let limit = (FORGET_AFTER / SEC) as usize + 2;
    let counts = [sender.dests.len(), sender.routes.len(), sender.endpoints.len(), sender.held.len()];
    assert!(counts.iter().all(|&n| n <= limit), "{counts:?}");
}

/// A sender whose list, messages and calls change at random.
struct RandomWorld {
    sender: Sender,
    random: fastrand::Rng,
    now: Micros,
    next: u64,
    in_flight: Vec<(MessageId, u32)>,
    attempts: BTreeMap<MessageId, u32>,
}

impl RandomWorld {
    fn entry(&mut self) -> ListEntry {
        let endpoint = self.random.u64(..12);
        let phase = [Phase::Live, Phase::Live, Phase::Draining, Phase::Gone][self.random.usize(..4)];
        let (dest, kind) = (DestinationId(endpoint / 2), (endpoint / 2 % 2) as u32);
        ListEntry { endpoint: EndpointId(endpoint), dest, zone: 0, kind, phase }
    }

    fn event(&mut self) -> Option<Event> {
        Some(match self.random.u8(..10) {
            0..=2 => {
                Event::List(ListUpdate::Changes((0..self.random.usize(1..4)).map(|_| self.entry()).collect()))
            }
            3 => Event::List(ListUpdate::Whole((0..self.random.usize(..9)).map(|_| self.entry()).collect())),
            4..=6 => {
                self.next += 1;
                // Some messages go to a destination that no list names.
                let (id, dest) = (MessageId(self.next), DestinationId(self.random.u64(..8)));
                let expires_in = 20 * SEC;
                Event::Taken(Message {
                    id,
                    class: 0,
                    tenant: None,
                    key: None,
                    dest,
                    is_retry: false,
                    expires_in,
                })
            }
            7..=8 if !self.in_flight.is_empty() => {
                let (id, attempt) = self.in_flight.swap_remove(self.random.usize(..self.in_flight.len()));
                let outcome = [Served, Full { wait: None }, TimedOut, ConnectFailed][self.random.usize(..4)];
                Event::Ended { id, attempt, outcome, is_final: outcome == Served, allowance: None }
            }
            9 => Event::Service {
                endpoint: EndpointId(self.random.u64(..12)),
                out_of_service: self.random.bool(),
            },
            _ => return None,
        })
    }

    fn step(&mut self) {
        let durations = [5 * MS, 100 * MS, 5 * SEC, 70 * SEC];
        self.now += durations[self.random.usize(..durations.len())];
        let (event, mut actions) = (self.event(), Vec::new());
        // Due work is done first, so that only the list changes in the second turn.
        self.sender.handle(self.now, &[Event::Wake], &mut actions);
        self.sender.handle(self.now, event.as_slice(), &mut actions);
        for action in actions {
            if let Action::Send { id, .. } = action {
                let count = self.attempts.entry(id).or_default();
                self.in_flight.push((id, *count));
                *count += 1;
            }
        }
        self.check(matches!(event, Some(Event::List(_))));
    }

    /// Compares `unlisted` with a search of the whole state.
    fn check(&self, list_changed: bool) {
        let Sender { endpoints, dests, routes, unlisted, queued, .. } = &self.sender;
        let removed: BTreeSet<EndpointId> =
            endpoints.iter().filter(|(_, e)| !e.listed).map(|(&id, _)| id).collect();
        assert_eq!(unlisted.endpoints, removed);
        for (id, d) in dests.iter().filter(|(_, d)| d.endpoints.is_empty()) {
            assert!(unlisted.dests.contains(id), "{id:?}");
            let is_in_use =
                !d.queue.is_empty() || queued.contains(id) || d.rate_updated + FORGET_AFTER > self.now;
            assert!(!list_changed || is_in_use, "{id:?} is kept without need");
        }
        for (id, route) in routes {
            let is_known = id.1.map_or_else(|| dests.contains_key(&id.0), |e| endpoints.contains_key(&e));
            assert!(is_known || unlisted.routes.contains(id), "{id:?}");
            let is_in_use =
                route.in_flight > 0 || route.last_served.max(route.paused_until) + FORGET_AFTER > self.now;
            assert!(!list_changed || is_known || is_in_use, "{id:?} is kept without need");
        }
    }
}

#[test]
fn unlisted_items_match_a_search_of_the_whole_state() {
    for seed in 0..100 {
        let sender = Sender::new(settings(), seed).expect("valid settings");
        let random = fastrand::Rng::with_seed(seed);
        let (in_flight, attempts) = Default::default();
        let mut world = RandomWorld { sender, random, now: 1 << 40, next: 0, in_flight, attempts };
        (0..300).for_each(|_| world.step());
    }
}
