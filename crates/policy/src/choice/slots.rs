//! Cancellation of late calls: a late call is cancelled if the messages that wait for its slot would gain
//! more worth from the slot than the call is still expected to yield.

use super::*;

/// The prior probability that a late call is answered before its age has doubled: for a slow call, and for
/// one whose answer is presumed lost, since later calls were served and its connection has probably failed.
const PRIOR: [f64; 2] = [0.2, 0.05];
/// The most calls considered for one decision, many times what the slots carry in a second.
const MAX_CONSIDERED: usize = 256;

/// A late call that holds a slot.
struct LateCall {
    call: u64,
    /// The expected time for which it still holds the slot.
    hold_time: Micros,
    /// The expected worth that is lost by cancelling it.
    cost: f64,
    /// The messages of the call, each with the number of its attempt.
    messages: Vec<(MessageId, u32)>,
}

/// The calls that could be sent now if slots were free.
struct ReadyCalls {
    /// The messages of each call, by falling priority.
    calls: Vec<Vec<MessageId>>,
    /// The number of calls that the windows admit at once.
    admitted: usize,
    /// The mean duration of a call.
    mean_duration: f64,
}

impl Sender {
    /// Advances late calls to their next stage and counts that in the life tables.
    pub(super) fn advance_stages(&mut self) {
        for c in self.calls.values_mut().filter(|c| !c.cancelled) {
            while c.late_stage < LATE_STAGES && self.now >= c.sent + (c.late_after << c.late_stage) {
                let route_table = self.routes.get_mut(&c.route).map(|r| &mut r.life_table);
                for table in [Some(&mut self.life_table), route_table].into_iter().flatten() {
                    table.add_reached(c.lost, c.late_stage, 1.0);
                }
                c.late_stage += 1;
            }
        }
    }

    /// Estimates the probability that a late call is still answered, by its age, from the calls on its route
    /// and, while those are few, from the calls on all routes.
    fn answer_probability(&self, c: &Call) -> f64 {
        let (lost, route_table) = (usize::from(c.lost), self.routes.get(&c.route).map(|r| &r.life_table));
        let no_answer = (c.late_stage.max(1) - 1..LATE_STAGES).map(|n| {
            let all = self.life_table.answer_share(lost, n, PRIOR[lost]);
            1.0 - route_table.map_or(all, |l| l.answer_share(lost, n, all))
        });
        1.0 - no_answer.product::<f64>()
    }

    /// Returns the late calls by rising cost of cancelling them. Probes of a breaker are omitted, since they
    /// show when the destination returns.
    fn late_calls(&self) -> Vec<LateCall> {
        let mut found: BTreeMap<u64, LateCall> = BTreeMap::new();
        for (&id, h) in &self.held {
            for (&call, n) in h.attempts.iter().zip(0..) {
                let Some(c) = self.calls.get(&call).filter(|c| c.late_stage > 0 && !c.cancelled) else {
                    continue;
                };
                if matches!(self.routes[&c.route].breaker, Breaker::Open { probe: Some(t), .. } if t == call)
                {
                    continue;
                }
                let (probability, age) = (self.answer_probability(c), self.now - c.sent);
                let time_left = c.timeout_at.saturating_sub(self.now);
                let answer_in = age.min(time_left);
                let hold_time =
                    (time_left as f64 * (1.0 - probability) + answer_in as f64 * probability) as Micros;
                let late = found.entry(call).or_insert(LateCall {
                    call,
                    hold_time,
                    cost: 0.0,
                    messages: Vec::new(),
                });
                late.messages.push((id, n));
                if !h.done {
                    late.cost += self.cancel_cost(h, probability, answer_in);
                }
            }
        }
        let mut all: Vec<LateCall> = found.into_values().collect();
        all.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.call.cmp(&b.call)));
        all
    }

    /// Returns the worth that a message loses if its call is cancelled: the expected worth of an answer,
    /// minus the worth of the next attempt if the message may be repeated.
    fn cancel_cost(&self, h: &Held, probability: f64, answer_in: Micros) -> f64 {
        let expected = probability * h.worth_at(&self.settings, self.now + answer_in);
        let c = &self.settings.classes[h.class];
        let may_repeat = match c.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => {
                let since = h.ran_at.map_or(self.now, |r| r.0);
                c.dedup_scope == DedupScope::All && self.now + MIN_OVERDUE < since + c.dedup_window
            }
            Effect::AtMostOnce => false,
        };
        let can_retry = may_repeat && h.attempt_count() < self.settings.max_attempts as usize;
        let wait = self.dests.get(&h.dest).map_or(0, |d| self.expected_wait(h.dest, d));
        let next = if can_retry { h.worth_at(&self.settings, self.now + wait) } else { 0.0 };
        (expected - next).max(0.0)
    }

    /// Collects the calls that could be sent if slots were free.
    fn ready_calls(&self) -> ReadyCalls {
        let mut ready = ReadyCalls { calls: Vec::new(), admitted: 0, mean_duration: 0.0 };
        let (mut total, mut routes) = (0.0, 0.0);
        let mut ranked: Vec<(f64, Vec<MessageId>)> = Vec::new();
        for (dest, d) in self.waiting() {
            let (share, rate) = (self.share_room(dest), d.arrival_rate(self.now));
            let (mut room, mut counted, mut queue) = (0, BTreeSet::new(), BTreeSet::new());
            for &e in d.endpoints.iter().filter(|e| self.endpoint_hold(**e).is_none()) {
                let route = (dest, d.per_endpoint.then_some(e));
                let Some(r) = self.routes.get(&route) else { continue };
                let Ok(probe) = self.check_route(r, rate) else { continue };
                queue.extend(d.queue.iter().filter(|q| self.is_sendable(**q, e)).take(MAX_CONSIDERED));
                if counted.insert(route) {
                    room += if probe { 1 } else { r.free_window() };
                    total += r.latency.mean(CALL_TIME);
                    routes += 1.0;
                }
            }
            let wait = self.expected_wait(dest, d);
            let mut queue: Vec<MessageId> = queue.into_iter().collect();
            queue.sort_by(|a, b| self.compare_priority(a, b, wait));
            let calls = queue.chunks(d.max_bundle.max(1)).take(MAX_CONSIDERED);
            ready.admitted += room.min(share).min(calls.len());
            if room.min(share) > 0 {
                let worth =
                    |c: &[MessageId]| c.iter().map(|id| self.priority(&self.held[id], wait)).sum::<f64>();
                ranked.extend(calls.map(|c| (worth(c), c.to_vec())));
            }
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ready.calls = ranked.into_iter().map(|r| r.1).take(MAX_CONSIDERED).collect();
        ready.mean_duration = total / f64::max(routes, 1.0);
        ready
    }

    /// Returns the worth that the queued messages gain if one slot more than `slots` serves them for this
    /// time. Messages served later gain as well, since the queue ahead of them is shorter.
    fn slot_gain(&self, ready: &ReadyCalls, slots: usize, hold_time: Micros) -> f64 {
        let (hold_time, duration) = (hold_time as f64, ready.mean_duration);
        let gain = |(n, call): (usize, &Vec<MessageId>)| {
            let n = n as f64;
            let without = if slots == 0 { hold_time + n * duration } else { n * duration / slots as f64 };
            let with = (n * duration / (slots + 1) as f64).max(without - hold_time / slots.max(1) as f64);
            let [with, without] = [with, without].map(|t| self.now + (t + duration) as Micros);
            let held = call.iter().map(|id| &self.held[id]);
            held.map(|h| h.worth_at(&self.settings, with) - h.worth_at(&self.settings, without)).sum::<f64>()
        };
        ready.calls.iter().enumerate().map(gain).sum()
    }

    /// If slots are short, cancels late calls as long as a slot gains more than its call is worth. Otherwise
    /// hung calls and lost answers could fill all slots with messages that must not time out early. An
    /// at-most-once message is thereby given up, so its worth counts with the probability of an answer.
    pub(super) fn free_slots(&mut self) {
        let is_late = |c: &&Call| c.late_stage > 0 && !c.cancelled;
        let late_count = self.calls.values().filter(is_late).count();
        if late_count == 0 || !self.settings.may_cancel || self.waiting().next().is_none() {
            return;
        }
        let cancelled = self.calls.values().filter(|c| c.cancelled).count();
        let mut free = (self.settings.slots as usize + cancelled).saturating_sub(self.calls.len());
        let mut working = (self.settings.slots as usize).saturating_sub(late_count);
        if free >= self.settings.slots as usize {
            return;
        }
        let ready = self.ready_calls();
        if ready.admitted <= free {
            return;
        }
        for late in self.late_calls() {
            if ready.admitted <= free || self.slot_gain(&ready, working, late.hold_time) <= late.cost {
                break;
            }
            // All messages of the call are cancelled, since it holds its slot until the last of them has
            // ended.
            for (id, attempt) in late.messages {
                self.actions.push(Action::Cancel { id, attempt });
            }
            self.calls.entry(late.call).and_modify(|c| c.cancelled = true);
            (free, working) = (free + 1, working + 1);
        }
    }
}
