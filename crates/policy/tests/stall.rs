//! Tests that reproduce a recorded stall: a sender with few slots, some of whose calls get no answer
//! although the destinations are healthy. At-most-once messages may wait for their whole deadline, and a
//! call with several messages holds its slot until the last of them has ended.

mod common;
use common::*;
use notchpoint_policy::*;
use std::collections::BTreeMap;

/// The duration of a call that is answered.
const CALL_TIME: Micros = 100 * MS;
const TICK: Micros = 5 * MS;

/// Whether the call is answered, and its messages with the number and the time-out of their attempts.
type Call = (bool, Vec<(MessageId, u32, Micros)>);

struct World {
    sender: Sender,
    now: Micros,
    /// The calls in flight by endpoint and time of sending.
    calls: BTreeMap<(EndpointId, Micros), Call>,
    attempts: BTreeMap<MessageId, u32>,
    events: Vec<Event>,
    call_count: u64,
    next_id: u64,
    /// One of this many calls gets no answer; 0 for none.
    lost_one_of: u64,
    served: u64,
    failed: u64,
    refused: u64,
    /// The slots held by calls without an answer, summed over the ticks.
    wasted_slots: u64,
    ticks: u64,
}

impl World {
    fn new(lost_one_of: u64, may_cancel: bool) -> Self {
        let mut set = Settings { slots: 7, max_held: 600, senders: 2, may_cancel, ..settings() };
        set.classes[AT_MOST_ONCE as usize].worth = 3.0;
        set.classes[IDEMPOTENT as usize] =
            Class { target_time: SEC, deadline: 6 * SEC, ..set.classes[IDEMPOTENT as usize].clone() };
        let sender = Sender::new(set, 5).expect("valid settings");
        let (calls, attempts, events) = Default::default();
        let mut world = Self {
            sender,
            now: 100 * SEC,
            calls,
            attempts,
            events,
            call_count: 0,
            next_id: 1,
            lost_one_of,
            served: 0,
            failed: 0,
            refused: 0,
            wasted_slots: 0,
            ticks: 0,
        };
        // Three destinations accept five messages per call, three others one.
        let list = (0..12).map(|e| entry(e, u64::from(e) / 2, if e < 6 { 2 } else { 0 }, Phase::Live));
        world.events.push(Event::List(ListUpdate::Restored(list.collect())));
        world
    }

    fn submit(&mut self) {
        let (id, class) =
            (MessageId(self.next_id), if self.next_id % 5 < 3 { IDEMPOTENT } else { AT_MOST_ONCE });
        // Most messages go to the destinations that accept bundles.
        let dest = DestinationId([0, 1, 2, 0, 1, 2, 3, 4, 5][(self.next_id % 9) as usize]);
        let expires_in = if class == IDEMPOTENT { 6 * SEC } else { 20 * SEC };
        self.next_id += 1;
        let (tenant, key, is_retry) = (None, None, false);
        self.events.push(Event::Taken(Message { id, class, tenant, key, dest, is_retry, expires_in }));
    }

    fn end(&mut self, id: MessageId, attempt: u32, outcome: Outcome) {
        let is_final = outcome == Outcome::Served;
        self.served += u64::from(is_final);
        self.events.push(Event::Ended { id, attempt, outcome, is_final, allowance: None });
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut ends = Vec::new();
        for ((_, sent), (is_answered, messages)) in &mut self.calls {
            if *is_answered && now >= sent + CALL_TIME {
                ends.extend(messages.drain(..).map(|m| (m.0, m.1, Outcome::Served)));
            }
            let timed_out = messages.extract_if(.., |m| now >= sent + m.2);
            ends.extend(timed_out.map(|m| (m.0, m.1, Outcome::TimedOut)));
        }
        self.calls.retain(|_, c| !c.1.is_empty());
        ends.into_iter().for_each(|(id, attempt, outcome)| self.end(id, attempt, outcome));
        self.ticks += 1;
        self.wasted_slots += self.calls.values().filter(|c| !c.0).count() as u64;
        let (events, mut actions) = (std::mem::take(&mut self.events), Vec::new());
        self.sender.handle(now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let count = self.attempts.entry(id).or_default();
                    let attempt = std::mem::replace(count, *count + 1);
                    if !self.calls.contains_key(&(endpoint, now)) {
                        self.call_count += 1;
                    }
                    let is_answered =
                        self.lost_one_of == 0 || !self.call_count.is_multiple_of(self.lost_one_of);
                    let call = self.calls.entry((endpoint, now)).or_insert((is_answered, Vec::new()));
                    call.1.push((id, attempt, timeout));
                }
                Action::Cancel { id, attempt } => {
                    for c in self.calls.values_mut() {
                        c.1.retain(|m| (m.0, m.1) != (id, attempt));
                    }
                    self.calls.retain(|_, c| !c.1.is_empty());
                    self.end(id, attempt, Outcome::Cancelled);
                }
                Action::Refuse { .. } => self.refused += 1,
                Action::Fail { .. } => self.failed += 1,
                _ => {}
            }
        }
        assert!(self.calls.len() <= 7, "more calls than slots");
        self.now += TICK;
    }

    /// Submits `rate` messages per second for some seconds.
    fn run(&mut self, rate: u64, seconds: u64) {
        for n in 0..seconds * SEC / TICK {
            let submitted = |n: u64| n * rate * TICK / SEC;
            for _ in submitted(n)..submitted(n + 1) {
                self.submit();
            }
            self.tick();
        }
    }
}

#[test]
fn lost_answers_do_not_stall_a_sender_with_few_slots() {
    let mut healthy = World::new(0, true);
    healthy.run(90, 30);
    assert!(
        healthy.served * 100 >= healthy.next_id * 90,
        "the load is feasible: {} of {}",
        healthy.served,
        healthy.next_id
    );
    let mut world = World::new(20, true);
    world.run(90, 30);
    let held = world.wasted_slots as f64 / world.ticks as f64;
    let shares = [world.served, world.failed, world.refused].map(|n| n as f64 / world.next_id as f64);
    assert!(shares[0] >= 0.8, "served, failed, refused {shares:?}; {held:.2} slots wasted");
    assert!(held <= 2.0, "{held:.2} of 7 slots wasted in the mean");
}

#[test]
fn all_messages_of_a_call_are_cancelled_together() {
    // Guards against a call that counts as cancelled but holds its slot until the last of its messages
    // expires.
    let mut world = World::new(4, true);
    world.run(90, 5);
    let mut before: BTreeMap<_, usize> = BTreeMap::new();
    let mut cancelled = 0;
    for n in 0..2_000 {
        if n % 2 == 0 {
            world.submit();
        }
        before.clear();
        before.extend(
            world.calls.iter().map(|(k, c)| (*k, c.1.iter().filter(|m| world.now < k.1 + m.2).count())),
        );
        world.tick();
        for (key, count) in &before {
            let left = world.calls.get(key).map_or(0, |c| c.1.len());
            assert!(left == 0 || left >= *count, "of {count} messages in a call {left} are left");
            cancelled += usize::from(*count > 1 && left == 0);
        }
    }
    assert!(cancelled > 0, "no call of several messages ended");
}

#[test]
fn a_late_at_most_once_call_is_not_cancelled_while_slots_are_free() {
    let mut world = World::new(10, true);
    // Five messages per second need one or two slots.
    world.run(5, 12);
    assert_eq!(world.failed, 0, "given up although no message needed the slot");
}

#[test]
fn nothing_is_cancelled_if_cancelling_is_not_allowed() {
    let mut world = World::new(20, false);
    world.run(90, 10);
    assert!(world.wasted_slots > 0 && world.failed == 0);
}
