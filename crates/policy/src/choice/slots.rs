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
    number: u64,
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
        for call in self.calls.values_mut().filter(|call| !call.cancelled) {
            while call.late_stage < LATE_STAGES
                && self.now >= call.sent + (call.late_after << call.late_stage)
            {
                let route_table = self.routes.get_mut(&call.route).map(|r| &mut r.life_table);
                for table in [Some(&mut self.life_table), route_table].into_iter().flatten() {
                    table.add_reached(call.lost, call.late_stage, 1.0);
                }
                call.late_stage += 1;
            }
        }
    }

    /// Estimates the probability that a late call is still answered, by its age, from the calls on its route
    /// and, while those are few, from the calls on all routes.
    fn answer_probability(&self, call: &Call) -> f64 {
        let (lost, route_table) =
            (usize::from(call.lost), self.routes.get(&call.route).map(|r| &r.life_table));
        let no_answer = (call.late_stage.max(1) - 1..LATE_STAGES).map(|stage| {
            let all_routes = self.life_table.answer_share(lost, stage, PRIOR[lost]);
            1.0 - route_table.map_or(all_routes, |table| table.answer_share(lost, stage, all_routes))
        });
        1.0 - no_answer.product::<f64>()
    }

    /// Returns the late calls by rising cost of cancelling them. Probes of a breaker are omitted, since they
    /// show when the destination returns.
    fn late_calls(&self) -> Vec<LateCall> {
        let mut found: BTreeMap<u64, LateCall> = BTreeMap::new();
        for (&id, held) in &self.held {
            for (&number, attempt) in held.attempts.iter().zip(0..) {
                let Some(call) =
                    self.calls.get(&number).filter(|call| call.late_stage > 0 && !call.cancelled)
                else {
                    continue;
                };
                if matches!(
                    self.routes[&call.route].breaker,
                    Breaker::Open { probe: Some(probe), .. } if probe == number
                ) {
                    continue;
                }
                let (probability, age) = (self.answer_probability(call), self.now - call.sent);
                let time_left = call.timeout_at.saturating_sub(self.now);
                let answer_in = age.min(time_left);
                let hold_time =
                    (time_left as f64 * (1.0 - probability) + answer_in as f64 * probability) as Micros;
                let late = found.entry(number).or_insert(LateCall {
                    number,
                    hold_time,
                    cost: 0.0,
                    messages: Vec::new(),
                });
                late.messages.push((id, attempt));
                if !held.done {
                    late.cost += self.cancel_cost(held, probability, answer_in);
                }
            }
        }
        let mut all: Vec<LateCall> = found.into_values().collect();
        all.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.number.cmp(&b.number)));
        all
    }

    /// Returns the worth that a message loses if its call is cancelled: the expected worth of an answer,
    /// minus the worth of the next attempt if the message may be repeated.
    fn cancel_cost(&self, held: &Held, probability: f64, answer_in: Micros) -> f64 {
        let expected = probability * held.worth_at(&self.settings, self.now + answer_in);
        let class = &self.settings.classes[held.class];
        let may_repeat = match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => {
                let since = held.ran_at.map_or(self.now, |r| r.0);
                class.dedup_scope == DedupScope::All && self.now + MIN_OVERDUE < since + class.dedup_window
            }
            Effect::AtMostOnce => false,
        };
        let can_retry = may_repeat && held.attempt_count() < self.settings.max_attempts as usize;
        let wait = self.dests.get(&held.dest).map_or(0, |d| self.expected_wait(held.dest, d));
        let next = if can_retry { held.worth_at(&self.settings, self.now + wait) } else { 0.0 };
        (expected - next).max(0.0)
    }

    /// Collects the calls that could be sent if slots were free.
    fn ready_calls(&self) -> ReadyCalls {
        let mut ready = ReadyCalls { calls: Vec::new(), admitted: 0, mean_duration: 0.0 };
        let (mut latency_sum, mut route_count) = (0.0, 0.0);
        let mut ranked: Vec<(f64, Vec<MessageId>)> = Vec::new();
        for (dest_id, dest) in self.waiting() {
            let (share_room, arrival_rate) = (self.share_room(dest_id), dest.arrival_rate(self.now));
            let (mut window_room, mut counted, mut queue) = (0, BTreeSet::new(), BTreeSet::new());
            for &id in dest.endpoints.iter().filter(|id| self.endpoint_hold(**id).is_none()) {
                let route_id = (dest_id, dest.per_endpoint.then_some(id));
                let Some(route) = self.routes.get(&route_id) else { continue };
                let Ok(is_probe) = self.check_route(route, arrival_rate) else { continue };
                queue.extend(
                    dest.queue.iter().filter(|message| self.is_sendable(**message, id)).take(MAX_CONSIDERED),
                );
                if counted.insert(route_id) {
                    window_room += if is_probe { 1 } else { route.free_window() };
                    latency_sum += route.latency.mean(CALL_TIME);
                    route_count += 1.0;
                }
            }
            let wait = self.expected_wait(dest_id, dest);
            let mut queue: Vec<MessageId> = queue.into_iter().collect();
            queue.sort_by(|a, b| self.compare_priority(a, b, wait));
            let calls = queue.chunks(dest.max_bundle.max(1)).take(MAX_CONSIDERED);
            ready.admitted += window_room.min(share_room).min(calls.len());
            if window_room.min(share_room) > 0 {
                let priority =
                    |c: &[MessageId]| c.iter().map(|id| self.priority(&self.held[id], wait)).sum::<f64>();
                ranked.extend(calls.map(|call| (priority(call), call.to_vec())));
            }
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ready.calls = ranked.into_iter().map(|r| r.1).take(MAX_CONSIDERED).collect();
        ready.mean_duration = latency_sum / f64::max(route_count, 1.0);
        ready
    }

    /// Returns the worth that the queued messages gain if one slot more than `slots` serves them for this
    /// time. Messages served later gain as well, since the queue ahead of them is shorter.
    fn slot_gain(&self, ready: &ReadyCalls, slots: usize, hold_time: Micros) -> f64 {
        let (hold_time, duration) = (hold_time as f64, ready.mean_duration);
        let gain = |(ahead, call): (usize, &Vec<MessageId>)| {
            let ahead = ahead as f64;
            let without =
                if slots == 0 { hold_time + ahead * duration } else { ahead * duration / slots as f64 };
            let with = (ahead * duration / (slots + 1) as f64).max(without - hold_time / slots.max(1) as f64);
            let [with, without] = [with, without].map(|wait| self.now + (wait + duration) as Micros);
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
            self.calls.entry(late.number).and_modify(|c| c.cancelled = true);
            (free, working) = (free + 1, working + 1);
        }
    }
}
