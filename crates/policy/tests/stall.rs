//! The shape of a recorded stall: a sender with few slots, whose calls now and then get no answer although
//! their destinations are well. Unsafe ones among them may wait for their whole deadline, and a call of
//! several messages holds its slot until the last of them has ended.

mod common;
use common::*;
use notchpoint_policy::*;
use std::collections::BTreeMap;

/// A call takes so long where it is answered.
const TAKES: Micros = 100 * MS;
const TICK: Micros = 5 * MS;

/// Whether an answer comes, and a call's messages with attempt and time-out.
type Call = (bool, Vec<(MessageId, u32, Micros)>);

struct World {
    sender: Sender,
    now: Micros,
    /// Calls by endpoint and moment.
    calls: BTreeMap<(EndpointId, Micros), Call>,
    attempts: BTreeMap<MessageId, u32>,
    events: Vec<Event>,
    made: u64,
    next: u64,
    /// Of so many calls one gets no answer; 0 for none.
    lost_of: u64,
    served: u64,
    failed: u64,
    refused: u64,
    /// Slots held by calls without an answer, summed over the ticks.
    held_for_nothing: u64,
    ticks: u64,
}

impl World {
    fn new(lost_of: u64, may_cancel: bool) -> Self {
        let mut set = Settings { slots: 7, max_held: 600, senders: 2, may_cancel, ..settings() };
        set.classes[AT_MOST_ONCE as usize].worth = 3.0;
        set.classes[IDEMPOTENT as usize] =
            Class { target_time: SEC, deadline: 6 * SEC, ..set.classes[IDEMPOTENT as usize].clone() };
        let sender = Sender::new(set, 5).expect("sound");
        let (calls, attempts, events) = Default::default();
        let mut w = Self {
            sender,
            now: 100 * SEC,
            calls,
            attempts,
            events,
            made: 0,
            next: 1,
            lost_of,
            served: 0,
            failed: 0,
            refused: 0,
            held_for_nothing: 0,
            ticks: 0,
        };
        // Three destinations take five messages in a call, three others one.
        let list = (0..12).map(|e| entry(e, u64::from(e) / 2, if e < 6 { 2 } else { 0 }, Phase::Live));
        w.events.push(Event::List(ListUpdate::Restored(list.collect())));
        w
    }

    fn submit(&mut self) {
        let (id, class) = (MessageId(self.next), if self.next % 5 < 3 { IDEMPOTENT } else { AT_MOST_ONCE });
        // Most go to those that take many at once.
        let dest = DestinationId([0, 1, 2, 0, 1, 2, 3, 4, 5][(self.next % 9) as usize]);
        let expires_in = if class == IDEMPOTENT { 6 * SEC } else { 20 * SEC };
        self.next += 1;
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
        for ((_, at), (answered, messages)) in &mut self.calls {
            if *answered && now >= at + TAKES {
                ends.extend(messages.drain(..).map(|m| (m.0, m.1, Outcome::Served)));
            }
            let timed_out = messages.extract_if(.., |m| now >= at + m.2);
            ends.extend(timed_out.map(|m| (m.0, m.1, Outcome::TimedOut)));
        }
        self.calls.retain(|_, c| !c.1.is_empty());
        ends.into_iter().for_each(|(id, attempt, outcome)| self.end(id, attempt, outcome));
        self.ticks += 1;
        self.held_for_nothing += self.calls.values().filter(|c| !c.0).count() as u64;
        let (events, mut actions) = (std::mem::take(&mut self.events), Vec::new());
        self.sender.handle(now, &events, &mut actions);
        for a in actions {
            match a {
                Action::Send { id, endpoint, timeout, .. } => {
                    let n = self.attempts.entry(id).or_default();
                    let attempt = std::mem::replace(n, *n + 1);
                    if !self.calls.contains_key(&(endpoint, now)) {
                        self.made += 1;
                    }
                    let answered = self.lost_of == 0 || !self.made.is_multiple_of(self.lost_of);
                    let call = self.calls.entry((endpoint, now)).or_insert((answered, Vec::new()));
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

    /// So many messages a second for so long.
    fn run(&mut self, rate: u64, seconds: u64) {
        for n in 0..seconds * SEC / TICK {
            let due = |n: u64| n * rate * TICK / SEC;
            for _ in due(n)..due(n + 1) {
                self.submit();
            }
            self.tick();
        }
    }
}

#[test]
fn lost_answers_do_not_stall_a_sender_with_few_slots() {
    let mut sound = World::new(0, true);
    sound.run(90, 30);
    assert!(
        sound.served * 100 >= sound.next * 90,
        "the load is bearable: {} of {}",
        sound.served,
        sound.next
    );
    let mut w = World::new(20, true);
    w.run(90, 30);
    let held = w.held_for_nothing as f64 / w.ticks as f64;
    let shares = [w.served, w.failed, w.refused].map(|n| n as f64 / w.next as f64);
    assert!(shares[0] >= 0.8, "served, failed, refused {shares:?}; {held:.2} slots held for nothing");
    assert!(held <= 2.0, "{held:.2} of 7 slots held for nothing in the mean");
}

#[test]
fn all_messages_of_a_call_are_called_off_together() {
    // Guards against a call that counts as gone and holds its slot for as long as one of its messages lives.
    let mut w = World::new(4, true);
    w.run(90, 5);
    let mut before: BTreeMap<_, usize> = BTreeMap::new();
    let mut called_off = 0;
    for n in 0..2_000 {
        if n % 2 == 0 {
            w.submit();
        }
        before.clear();
        before.extend(w.calls.iter().map(|(k, c)| (*k, c.1.iter().filter(|m| w.now < k.1 + m.2).count())));
        w.tick();
        for (key, n) in &before {
            let now = w.calls.get(key).map_or(0, |c| c.1.len());
            assert!(now == 0 || now >= *n, "of {n} messages in a call {now} are left");
            called_off += usize::from(*n > 1 && now == 0);
        }
    }
    assert!(called_off > 0, "no call of several messages ended");
}

#[test]
fn a_late_unsafe_call_is_left_alone_while_slots_are_free() {
    let mut w = World::new(10, true);
    // Five messages a second need a slot or two.
    w.run(5, 12);
    assert_eq!(w.failed, 0, "given up though nobody needed the slot");
}

#[test]
fn nothing_is_called_off_where_that_is_forbidden() {
    let mut w = World::new(20, false);
    w.run(90, 10);
    assert!(w.held_for_nothing > 0 && w.failed == 0);
}
