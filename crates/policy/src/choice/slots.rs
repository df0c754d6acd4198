//! What a slot is worth: late calls are called off where the messages that wait for their slots would earn
//! more with them than the calls themselves are still worth.

use super::*;

/// The chance that a late call is answered before its age has doubled, while nothing is known: of one that is
/// only slow, and of one that later calls overtook, whose connection is probably gone.
const PRIOR: [f64; 2] = [0.2, 0.05];
/// Calls looked at for one decision: many times what slots carry in a second.
const LOOKED: usize = 256;

/// A late call that holds a slot.
struct Stuck {
    call: u64,
    /// How long it will still hold it, as far as can be told.
    span: Micros,
    /// What calling it off loses.
    cost: f64,
    messages: Vec<(MessageId, u32)>,
}

/// What could be sent now but for the slots.
struct Ready {
    calls: Vec<Vec<MessageId>>,
    /// How many of them the windows let go at once.
    places: usize,
    /// What a call takes, in the mean.
    took: f64,
}

impl Sender {
    /// Enters in the life tables which calls came to their next age.
    pub(super) fn age(&mut self) {
        for c in self.calls.values_mut().filter(|c| !c.called_off) {
            while c.stage < STAGES && self.now >= c.sent + (c.late << c.stage) {
                let route = self.routes.get_mut(&c.route).map(|r| &mut r.late);
                for table in [Some(&mut self.late), route].into_iter().flatten() {
                    table.enter(c.lost, c.stage, 1.0);
                }
                c.stage += 1;
            }
        }
    }

    /// The chance that an answer to a late call still comes: by its age, by what this route's answers have
    /// shown, and as long as that is little by what all have.
    fn chance(&self, c: &Call) -> f64 {
        let (lost, known) = (usize::from(c.lost), self.routes.get(&c.route).map(|r| &r.late));
        let silent = (c.stage.max(1) - 1..STAGES).map(|n| {
            let all = self.late.share(lost, n, PRIOR[lost]);
            1.0 - known.map_or(all, |l| l.share(lost, n, all))
        });
        1.0 - silent.product::<f64>()
    }

    /// Late calls by what they cost to call off. A breaker's trial is left: it is what tells of a return.
    fn stuck(&self) -> Vec<Stuck> {
        let mut found: BTreeMap<u64, Stuck> = BTreeMap::new();
        for (&id, h) in &self.held {
            for (&call, n) in h.attempts.iter().zip(0..) {
                let Some(c) = self.calls.get(&call).filter(|c| c.stage > 0 && !c.called_off) else {
                    continue;
                };
                if matches!(self.routes[&c.route].health, Health::Open { trial: Some(t), .. } if t == call) {
                    continue;
                }
                let (chance, age) = (self.chance(c), self.now - c.sent);
                let left = c.until.saturating_sub(self.now);
                let answer = age.min(left);
                let span = (left as f64 * (1.0 - chance) + answer as f64 * chance) as Micros;
                let s = found.entry(call).or_insert(Stuck { call, span, cost: 0.0, messages: Vec::new() });
                s.messages.push((id, n));
                if !h.done {
                    s.cost += self.loss(h, chance, answer);
                }
            }
        }
        let mut all: Vec<Stuck> = found.into_values().collect();
        all.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.call.cmp(&b.call)));
        all
    }

    /// What a message loses if its call is called off: the worth that an answer would still have, and for one
    /// that may be repeated less what its next attempt earns.
    fn loss(&self, h: &Held, chance: f64, answer: Micros) -> f64 {
        let kept = chance * h.worth(&self.set, self.now + answer);
        let c = &self.set.classes[h.class];
        let repeat = match c.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => {
                let since = h.ran_at.map_or(self.now, |r| r.0);
                c.dedup_scope == DedupScope::All && self.now + OVERDUE_LEAST < since + c.dedup_window
            }
            Effect::AtMostOnce => false,
        };
        let again = repeat && h.tries() < self.set.max_attempts as usize;
        let wait = self.dests.get(&h.dest).map_or(0, |d| self.expected_wait(h.dest, d));
        let next = if again { h.worth(&self.set, self.now + wait) } else { 0.0 };
        (kept - next).max(0.0)
    }

    fn ready(&self) -> Ready {
        let mut ready = Ready { calls: Vec::new(), places: 0, took: 0.0 };
        let (mut took, mut routes) = (0.0, 0.0);
        let mut ranked: Vec<(f64, Vec<MessageId>)> = Vec::new();
        for (dest, d) in self.waiting() {
            let (share, flow) = (self.share_room(dest), d.flow(self.now));
            let (mut room, mut seen, mut queue) = (0, BTreeSet::new(), BTreeSet::new());
            for &e in d.endpoints.iter().filter(|e| self.endpoint_hold(**e).is_none()) {
                let route = (dest, d.per_endpoint.then_some(e));
                let Some(r) = self.routes.get(&route) else { continue };
                let Ok(trial) = self.route_ready(r, flow) else { continue };
                queue.extend(d.queue.iter().filter(|q| self.sendable(**q, e)).take(LOOKED));
                if seen.insert(route) {
                    room += if trial { 1 } else { r.room() };
                    took += r.latency.mean(CALL_GUESS);
                    routes += 1.0;
                }
            }
            let wait = self.expected_wait(dest, d);
            let mut queue: Vec<MessageId> = queue.into_iter().collect();
            queue.sort_by(|a, b| self.order(a, b, wait));
            let calls = queue.chunks(d.max_bundle.max(1)).take(LOOKED);
            ready.places += room.min(share).min(calls.len());
            if room.min(share) > 0 {
                let gain = |c: &[MessageId]| c.iter().map(|id| self.index(&self.held[id], wait)).sum::<f64>();
                ranked.extend(calls.map(|c| (gain(c), c.to_vec())));
            }
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ready.calls = ranked.into_iter().map(|r| r.1).take(LOOKED).collect();
        ready.took = took / f64::max(routes, 1.0);
        ready
    }

    /// What the waiting messages would earn more if for this time one slot more than `slots` carried them.
    /// Those served after it gain as well, since the queue before them is shorter.
    fn gain(&self, ready: &Ready, slots: usize, span: Micros) -> f64 {
        let (span, took) = (span as f64, ready.took);
        let gain = |(n, call): (usize, &Vec<MessageId>)| {
            let n = n as f64;
            let without = if slots == 0 { span + n * took } else { n * took / slots as f64 };
            let with = (n * took / (slots + 1) as f64).max(without - span / slots.max(1) as f64);
            let [with, without] = [with, without].map(|t| self.now + (t + took) as Micros);
            let held = call.iter().map(|id| &self.held[id]);
            held.map(|h| h.worth(&self.set, with) - h.worth(&self.set, without)).sum::<f64>()
        };
        ready.calls.iter().enumerate().map(gain).sum()
    }

    /// Short of slots: calls off late calls for as long as the slot earns more than the call is worth. It
    /// guards against hangs and lost answers that fill all slots with calls whose effect no early time-out
    /// may risk. An unsafe message is given up by it, so its worth counts by the chance of an answer.
    pub(super) fn free_slots(&mut self) {
        let late = |c: &&Call| c.stage > 0 && !c.called_off;
        let stuck = self.calls.values().filter(late).count();
        if stuck == 0 || !self.set.may_cancel || self.waiting().next().is_none() {
            return;
        }
        let gone = self.calls.values().filter(|c| c.called_off).count();
        let mut free = (self.set.slots as usize + gone).saturating_sub(self.calls.len());
        let mut working = (self.set.slots as usize).saturating_sub(stuck);
        if free >= self.set.slots as usize {
            return;
        }
        let ready = self.ready();
        if ready.places <= free {
            return;
        }
        for s in self.stuck() {
            if ready.places <= free || self.gain(&ready, working, s.span) <= s.cost {
                break;
            }
            // All messages of the call: it holds its slot until the last of them has ended.
            for (id, attempt) in s.messages {
                self.out.push(Action::Cancel { id, attempt });
            }
            self.calls.entry(s.call).and_modify(|c| c.called_off = true);
            (free, working) = (free + 1, working + 1);
        }
    }
}
