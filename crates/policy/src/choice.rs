//! All decisions of the library. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! The main path is one fractional AIMD window for each route, after "Stop Hard-Coding Your Agent
//! Concurrency: Let It Tune Itself From What It Observes". Everything else protects it.

use crate::interface::Outcome::{
    Cancelled, ConnectFailed, Failed, Full, Moot, NotSent, Reset, Served, Spoilt, TimedOut,
};
use crate::interface::*;
use crate::note::{self, Word};
use crate::state::*;
use notchpoint_limits::Says;
use std::collections::{BTreeMap, BTreeSet};

mod guard;
mod notes;
mod outcome;
mod slots;
mod unproven;
mod view;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
/// The initial and least window, its growth per served call, and the factor that congestion applies.
const FLOOR: f64 = 1.0;
const STEP: f64 = 0.5;
const CUT: f64 = 0.5;
/// The window does not grow for this long after a cut. It spans many calls, so that a cut takes effect first.
const COOLDOWN: Micros = 8 * SEC;
/// The share of the slots that a destination may occupy, normally and while it fails or is slow.
const CEILING: f64 = 0.75;
const CEILING_TROUBLED: f64 = 0.5;
/// The window does not grow while less than this share of the reported rate limit is left.
const LOW_ALLOWANCE: f64 = 0.1;
/// The least backoff after a refusal without a wait. The learned rate sets its usual length.
const REST: Micros = 250 * MS;
/// With few messages the backoff is this share of the time between two of them, up to a limit.
const REST_FLOW: f64 = 0.5;
const REST_MOST: Micros = 4 * SEC;
/// The backoff of a route after a call that this side could not send: an immediate retry would not mend the
/// fault, and each try costs as much as a call.
const LOCAL_REST: Micros = 100 * MS;
/// The factors that a served call and a note of a refusal apply to the pace.
const PACE_UP: f64 = 1.3;
/// After this many refusals in a row a limit counts as overwhelmed, not just as reached.
const DROWNED: u32 = 2;
const PACE_HEARD: f64 = 0.7;
/// The least wait before a trial call of the breaker. Most outages that a sender sees are brief stalls.
const TRIAL_WAIT: Micros = 500 * MS;
/// This many failed calls with none served in between open the breaker; one may be random.
const FAILS_OPEN: u32 = 2;
/// The same for plain errors, which are a weaker sign: healthy destinations return some.
const ERRORS_OPEN: u32 = 3;
/// If calls failed but one was served within this time, answers were lost; there was no outage that needs a
/// slow start. A longer time could omit the slow start after a short crash.
const OUTAGE_LEAST: Micros = 3 * SEC;
/// A call is overdue after this multiple of the latency bound, and after this time at least.
const OVERDUE_TIMES: f64 = 2.0;
const OVERDUE_LEAST: Micros = 500 * MS;
/// A call is late, and may be cancelled for its slot, after the latency bound and this time at least.
const LATE_LEAST: Micros = 250 * MS;
/// The time-out of repeatable messages as a multiple of the latency bound. Calls become overdue before it, so
/// that the breaker reacts first.
const TIMEOUT_TIMES: f64 = 3.0;
/// The backoff of a failed endpoint, which doubles; for a class it starts after this many errors.
const ENDPOINT_REST: Micros = SEC;
const ERRORS_REST: u32 = 2;
/// A destination counts as slow at this multiple of its best latency.
const SLOW_TIMES: f64 = 3.0;
/// The least rate at which a queue is assumed to move, in messages per second.
const RATE_LEAST: f64 = 1.0;
/// The interval at which held messages that wait for credit are checked.
const RAMP_LOOK: Micros = 100 * MS;
/// Load shedding keeps this share of the room for messages free, so that the sender selects what to shed.
const ROOM_FREE: f64 = 0.05;
/// The assumed remaining time of an outage, and the assumed duration of a call.
const OUTAGE_GUESS: Micros = 6 * SEC;
const CALL_GUESS: Micros = 300 * MS;
/// The weight of a message's worth beside the worth that it loses by waiting.
const EARNS: f64 = 0.2;
/// A call without an answer is no sign of its destination if its connection had been idle for this long.
const IDLE_DOUBT: Micros = 500 * MS;
/// A connection that is reset after less idle time was closed at that instant; its age is not learned.
const CROSSING: Micros = 20 * MS;
/// Connections are used up to this share of the idle time after which one was found closed.
const IDLE_SHARE: f64 = 0.75;
/// The backoff of a message after an error or a failed connect, which doubles.
const AGAIN: Micros = 150 * MS;
/// A repeat may begin only if it would still be in time this much later: the process may stall for 150 ms
/// before the first byte.
const ARRIVES: Micros = 250 * MS;
/// The delay before a failed watch is renewed, and the time-out of an unanswered one. With the duration of an
/// attempt they stay under the 6 s after which changes must be known. If they were shorter, a hundred senders
/// would overload a service that has room for few calls, and none would be answered.
const WATCH_AGAIN: Micros = 2 * SEC;
const WATCH_LAST: Micros = 3 * SEC;
/// How long the state of a route is kept after the list dropped it.
const FORGET: Micros = 60 * SEC;
/// How long a note of an outage waits for a second one, and the least time between two notes about a route.
const NOTE_SPAN: Micros = 5 * SEC;
const NOTE_LEAST: Micros = 2 * SEC;

impl Route {
    fn troubled(&self) -> bool {
        self.fails > 0 || !matches!(self.health, Health::Closed) || self.latency.is_slow(SLOW_TIMES)
    }

    fn served(&mut self, now: Micros, took: Micros, low: bool, ceiling: f64, trials: f64) {
        self.latency.observe(took);
        if !low && self.last_cut.is_none_or(|t| now >= t + COOLDOWN) {
            self.window = (self.window + STEP).min(ceiling.max(FLOOR));
        }
        self.pace = (self.pace * PACE_UP).min(1.0);
        let gap = now.saturating_sub(self.last_ok);
        self.last_ok = now;
        (self.fails, self.errors, self.fulls) = (0, 0, 0);
        match self.health {
            Health::Open { failed: true, .. } if gap >= OUTAGE_LEAST => {
                // A sender that could not try meanwhile counts no more than the time between two trials.
                let gap = (now - self.failed_at).min((SEC as f64 / trials) as Micros);
                self.health = Health::Ramp { since: now, gap };
            }
            Health::Open { .. } => self.health = self.health.resumed(),
            _ => {}
        }
    }

    /// Opens the breaker, or postpones the next trial of an open one.
    fn open(&mut self, now: Micros, failed_now: bool, wait: Micros) {
        let (since, failed, ramp) = match self.health {
            Health::Open { since, failed, ramp, .. } => (since, failed || failed_now, ramp),
            Health::Ramp { since, gap } => (now, failed_now, Some((since, gap))),
            Health::Closed => (now, failed_now, None),
        };
        self.credit_at = if self.metered() { self.credit_at } else { now };
        self.failed_at = now;
        self.health = Health::Open { since, until: now + wait, failed, trial: None, ramp };
    }

    /// Returns how many calls the window still admits. A call whose answer is lost takes no place in it.
    fn room(&self) -> usize {
        let limit = if self.fails > 0 { 1 } else { self.window as u32 };
        limit.saturating_sub(self.out - self.lost) as usize
    }
}

impl Endpoint {
    /// Counts a failure and backs off, doubling, from `from` failures on. Per class, it avoids endpoints that
    /// fail one class, which the window does not show (bad releases, accounts). Faulty messages wait in vain.
    fn fail(&mut self, class: Option<usize>, now: Micros, from: u32) {
        let (fails, until) = self.rests.entry(class).or_default();
        if class.is_none() && now < *until {
            return; // The call was sent before the backoff began: it is the same failure.
        }
        *fails += 1;
        if *fails >= from {
            *until = now + (ENDPOINT_REST << (*fails - from).min(3));
        }
    }
}

impl Sender {
    /// Processes all events of one turn, then dispatches messages once. `now` must not go backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.clamp(self.now, FAR);
        self.wake = self.wake.filter(|&w| w > self.now);
        self.passed.clear();
        for e in events {
            match e {
                Event::Taken(m) => self.taken(m, 0, None),
                Event::Resumed { message, attempts, ran_ago } => self.resumed(message, *attempts, *ran_ago),
                Event::Ended { id, attempt, outcome, is_final, allowance } => {
                    self.ended(*id, *attempt, *outcome, *is_final, *allowance);
                }
                Event::Withdrawn(id) => self.finish(*id),
                Event::List(news) => self.list(news),
                Event::Note { from, body } => self.note(*from, body),
                Event::Unused(id) => self.idle(*id, true),
                Event::Closed(id) => self.idle(*id, false),
                Event::Service { endpoint, out_of_service } => self.service(*endpoint, *out_of_service),
                Event::Settings(set) => self.retune(set),
                Event::Zone { zone, share, probe, exempt } => self.set_zone(*zone, *share, *probe, exempt),
                Event::Wake | Event::Probed { .. } => {}
            }
        }
        if self.now >= self.watch_at {
            self.out.push(Action::Watch);
            self.watch_at = self.now + WATCH_LAST;
        }
        self.expire();
        self.find_silent();
        self.age();
        self.free_slots();
        self.dispatch();
        self.plan_wake();
        out.append(&mut self.out);
    }

    fn jitter(&mut self, span: Micros) -> Micros {
        (span as f64 * (0.75 + 0.5 * self.rng.f64())) as Micros
    }

    fn list(&mut self, news: &ListUpdate) {
        if *news == ListUpdate::Unavailable {
            let ask = self.set.list == ListMode::Ask;
            self.watch_at = if ask { self.now + self.jitter(WATCH_AGAIN) } else { self.watch_at };
            return;
        }
        for route in self.enter(news) {
            let credit = self.rng.f64();
            let fresh = || Route { window: FLOOR, pace: 1.0, credit, ..Route::default() };
            self.routes.entry(route).or_insert_with(fresh);
        }
        self.forget_unlisted(FORGET);
        let dests = &self.dests;
        self.leans.values_mut().for_each(|l| l.keep(|d| dests.contains_key(&d)));
        if !matches!(news, ListUpdate::Restored(_)) {
            self.watch_at = Micros::MAX;
        }
    }

    /// Applies new settings. Messages that have no attempt left under them are given up.
    fn retune(&mut self, set: &Settings) {
        self.set_terms(set);
        let spent = self.held.iter().filter(|(_, h)| !h.done && h.out == 0 && !self.may(h).0);
        spent.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
    }

    /// Operators restart what they take out of service, so it returns cold after an outage without calls.
    fn service(&mut self, id: EndpointId, out: bool) {
        let (news, others) = self.set_out(id, out);
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| news && !out) else { return };
        (e.cold_until, e.no_room) = (self.now + self.set.warm_up, 0);
        e.rests.clear();
        let endpoint = self.dests.get(&e.dest).is_some_and(|d| d.per_endpoint).then_some(id);
        if let Some(r) = self.routes.get_mut(&(e.dest, endpoint)).filter(|_| !others) {
            (r.health, r.fails, r.errors) = (Health::Ramp { since: self.now, gap: 0 }, 0, 0);
            (r.credit, r.credit_at) = (r.credit.min(1.0), self.now);
        }
    }

    /// Resumes a message of an earlier process. Earlier attempts count, as does one that may have run.
    fn resumed(&mut self, m: &Message, attempts: u32, ran_ago: Option<(Micros, EndpointId)>) {
        let ran_at = ran_ago.map(|(ago, endpoint)| (self.now.saturating_sub(ago), endpoint));
        self.taken(m, attempts, ran_at);
        if self.held.get(&m.id).is_some_and(|h| !h.done && !self.may(h).0) {
            self.give_up(m.id);
        }
    }

    fn taken(&mut self, m: &Message, attempts: u32, ran_at: Option<(Micros, EndpointId)>) {
        let class = self.set.classes.get(m.class as usize).map(|c| (c.target_time, c.deadline, c.in_order));
        let Some((target, deadline, in_order)) = class else {
            return self.out.push(Action::Refuse { id: m.id, retry_after: 0 });
        };
        if self.held.contains_key(&m.id) {
            return;
        }
        let expires = self.now + m.expires_in.min(FAR);
        // If clients mark retries, an unmarked message is new even if it has little time left.
        let fresh = self.set.clients_mark_retries && !m.is_retry;
        let aim = if fresh { self.now + target } else { (expires + target).saturating_sub(deadline) };
        let over_share = m.tenant.is_some_and(|t| self.over_share(t as usize));
        let key = m.key.clone().filter(|_| in_order);
        if let Some(k) = &key {
            self.keys.entry(k.clone()).or_default().0.push_back(m.id);
        }
        let class = m.class as usize;
        // This number of earlier attempts belongs to no call of this process.
        let attempts = vec![u64::MAX; attempts as usize];
        let held =
            Held { class, dest: m.dest, key, over_share, aim, expires, attempts, ran_at, ..Held::default() };
        self.held.insert(m.id, held);
        self.live += 1;
        let now = self.now;
        let d = self.enqueue(m.dest, m.id);
        let (flow, part) = (d.flow(now), d.part());
        d.arrived(now);
        for (_, r) in self.routes.range_mut(routes_of(m.dest)) {
            r.accrue(&self.set, self.now, part, flow);
        }
        self.accrue_zones(m.dest);
        let room = self.set.max_held as f64 * (1.0 - ROOM_FREE);
        while self.live as f64 > room.max(1.0) && self.shed() {}
    }

    /// Refuses the message with the least worth per time that it would be held. This keeps a rush to one
    /// destination, or failed destinations, from displacing other messages; it errs if the wait is misjudged.
    fn shed(&mut self) -> bool {
        let mut victim: Option<(f64, MessageId)> = None;
        for (dest, d) in self.waiting() {
            let wait = self.expected_wait(dest, d);
            for &id in d.queue.iter().filter(|id| self.may(&self.held[id]).1) {
                let earns = self.held[&id].worth(&self.set, self.now + wait) / wait as f64;
                if victim.is_none_or(|v| earns <= v.0) {
                    victim = Some((earns, id));
                }
            }
        }
        let Some((_, id)) = victim else { return false };
        self.out.push(Action::Refuse { id, retry_after: SEC.min(self.set.max_retry_after) });
        self.finish(id);
        true
    }

    /// Estimates how long a message that joins this queue waits until it is answered.
    fn expected_wait(&self, dest: DestinationId, d: &Dest) -> Micros {
        let live = d.endpoints.iter().any(|e| self.endpoints[e].live);
        let shut = self.routes.range(routes_of(dest)).all(|(_, r)| matches!(r.health, Health::Open { .. }));
        let base = if !live || shut { OUTAGE_GUESS } else { CALL_GUESS };
        let rate = d.flow(self.now).max(RATE_LEAST) / d.part() * d.max_bundle.max(1) as f64;
        base + (d.queue.len() as f64 / rate * SEC as f64) as Micros
    }

    /// Returns whether a message may be sent, and whether it may be refused. No other code decides it, so
    /// that nothing that may have run is sent or refused beyond what its effect allows.
    fn may(&self, h: &Held) -> (bool, bool) {
        let c = &self.set.classes[h.class];
        let left = h.tries() < self.set.max_attempts as usize;
        match (c.effect, h.ran_at) {
            (_, None) => (left && h.out == 0, h.out == 0),
            (Effect::Idempotent, _) => (left && h.out == 0, true),
            (Effect::Deduplicated, Some((since, _))) => {
                let known = |span| self.now + span < since + c.dedup_window;
                // Its client retries after the longest advice at the latest, with a whole new deadline.
                let safe = c.dedup_scope == DedupScope::All && known(self.set.max_retry_after + c.deadline);
                (left && h.out == 0 && known(OVERDUE_LEAST), h.out == 0 && safe)
            }
            (Effect::AtMostOnce, _) => (false, false),
        }
    }

    /// Returns how long an attempt may take to begin: a repeat must arrive within the deduplication window.
    fn start_within(&self, h: &Held) -> Micros {
        let c = &self.set.classes[h.class];
        let known = h
            .ran_at
            .filter(|_| c.effect == Effect::Deduplicated)
            .map(|(since, _)| (since + c.dedup_window).saturating_sub(ARRIVES));
        known.map_or(h.expires, |at| at.min(h.expires)).saturating_sub(self.now)
    }

    /// Returns whether the endpoint may receive the message: a repeat goes only where it would be dropped.
    fn may_go_to(&self, h: &Held, id: EndpointId) -> bool {
        let c = &self.set.classes[h.class];
        match (c.effect, h.ran_at, c.dedup_scope) {
            (Effect::Deduplicated, Some((_, e)), DedupScope::Endpoint) => e == id,
            (Effect::Deduplicated, Some((_, e)), DedupScope::Zone) => {
                self.endpoints.get(&e).map(|x| x.zone) == Some(self.endpoints[&id].zone)
            }
            _ => true,
        }
    }

    /// Ends a message that cannot be sent again: with a refusal if it may be refused, otherwise as failed. A
    /// refusal comes early, so it advises the client to wait as long as a trial would.
    fn give_up(&mut self, id: MessageId) {
        let (refuse, retry_after) = (self.may(&self.held[&id]).1, TRIAL_WAIT.min(self.set.max_retry_after));
        self.out.push(if refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.finish(id);
    }

    fn expire(&mut self) {
        let due = self.held.iter().filter(|(_, h)| !h.done && self.now >= self.answer_by(h));
        due.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
        let now = self.now;
        self.keys.retain(|_, k| !k.0.is_empty() || k.1 > now);
    }

    /// Returns when a message is given up: at its deadline if an attempt is in flight, else two ticks before.
    fn answer_by(&self, h: &Held) -> Micros {
        if h.out > 0 { h.expires } else { h.expires.saturating_sub(2 * self.set.tick) }
    }

    /// Opens the breaker of a route with an overdue call if none sent since was served. This detects hung
    /// destinations before time-outs do; it may pause a route that has only a slow message until a trial.
    fn find_silent(&mut self) {
        let wait = self.jitter(TRIAL_WAIT);
        let mut silent = Vec::new();
        for (&id, c) in &mut self.calls {
            let Some(r) = self.routes.get_mut(&c.route) else { continue };
            if self.now >= c.overdue && r.last_ok > c.sent && !c.lost {
                // A later call was served, so only this connection is silent or the message is slow. The call
                // continues but takes no place in the window, which it could fill until its message expires.
                // Its endpoint is avoided unless it has answered since.
                (c.lost, r.lost) = (true, r.lost + 1);
                [&mut self.late, &mut r.late].into_iter().for_each(|l| l.lose(c.stage));
                let only = self.dests.get(&c.route.0).is_none_or(|d| d.per_endpoint || d.endpoints.len() < 2);
                if let Some(e) = self.endpoints.get_mut(&c.endpoint).filter(|e| e.answered <= c.sent && !only)
                {
                    e.fail(None, self.now, 1);
                }
                continue;
            }
            if self.now >= c.overdue && (IDLE_DOUBT..FAR).contains(&c.idle) {
                // An idle connection may have been dropped silently. It is blamed first, and connections idle
                // for as long are closed; a hung destination shows in the next call, on a new connection.
                let old = if self.now < self.idle_safe.1 { self.idle_safe.0 } else { FAR };
                self.idle_safe = (old.min(c.idle * 3 / 4), self.now + FORGET);
                (c.idle, c.overdue) = (FAR, c.overdue + (c.overdue - c.sent));
                continue;
            }
            match r.health {
                _ if self.now < c.overdue || r.last_ok > c.sent => {}
                // The next trial does not wait for the time-out of this one, which may be long.
                Health::Open { trial: Some(t), .. } if t == id => r.open(self.now, false, wait),
                Health::Open { .. } => {}
                _ => {
                    r.open(self.now, false, 0);
                    silent.push(c.route);
                    self.out.push(Action::Log(format!("destination {} held back: silent", c.route.0.0)));
                }
            }
        }
        silent.into_iter().for_each(|route| self.tell(route, Word::Down));
    }

    fn ceiling(&self, dest: DestinationId) -> f64 {
        let troubled = self.routes.range(routes_of(dest)).any(|(_, r)| r.troubled());
        let share = if troubled { CEILING_TROUBLED } else { CEILING };
        (self.set.slots as f64 * share).floor().max(1.0)
    }

    fn dispatch(&mut self) {
        self.queued.retain(|id| !self.dests[id].queue.is_empty());
        for &id in &self.queued {
            let flow = self.dests[&id].flow(self.now);
            for (_, r) in self.routes.range_mut(routes_of(id)) {
                r.accrue(&self.set, self.now, 0.0, flow);
            }
        }
        let mut barred: Vec<EndpointId> = Vec::new();
        while self.calls.len() < self.set.slots as usize {
            let mut best: Option<(f64, EndpointId, MessageId)> = None;
            for (id, d) in self.waiting() {
                let found = self.candidate(id, d, &barred);
                if found.is_some_and(|f| best.is_none_or(|b| f.0 > b.0)) {
                    best = found;
                }
            }
            let Some((_, endpoint, id)) = best else { return };
            self.send_call(endpoint, id, &mut barred);
        }
    }

    fn candidate(
        &self,
        dest: DestinationId,
        d: &Dest,
        barred: &[EndpointId],
    ) -> Option<(f64, EndpointId, MessageId)> {
        // The best call has the most priority per time in a slot: many messages, or a fast route.
        if self.share_hold(dest).is_some() {
            return None;
        }
        let flow = d.flow(self.now);
        let mut ends: Vec<(bool, bool, Micros, u32, bool, bool, EndpointId)> = Vec::new();
        for &id in &d.endpoints {
            let e = &self.endpoints[&id];
            if barred.contains(&id) || self.endpoint_hold(id).is_some() {
                continue;
            }
            let Some(r) = self.routes.get(&(dest, d.per_endpoint.then_some(id))) else { continue };
            let Ok(trial) = self.route_ready(r, flow) else { continue };
            let lives = self.set.conn_idle.min(d.trusted(self.now));
            let cold = !e.idle.iter().any(|&t| t + lives > self.now);
            let rest = self.rest(e).unwrap_or(0);
            ends.push((trial, !self.is_due(e), rest, e.out, cold, e.zone != self.set.zone, id));
        }
        ends.sort_unstable();
        let wait = self.expected_wait(dest, d);
        for &(trial, .., endpoint) in &ends {
            let trial = trial || self.is_tried(endpoint);
            let risk =
                |id| if trial { self.set.classes[self.held[id].class].effect } else { Effect::Idempotent };
            let able = d.queue.iter().filter(|id| self.sendable(**id, endpoint));
            let found = able.min_by(|a, b| risk(a).cmp(&risk(b)).then(self.order(a, b, wait)));
            if let Some(&id) = found {
                let index = |q: &MessageId| self.index(&self.held[q], wait);
                let mut rest: Vec<MessageId> = Vec::new();
                if !trial && d.max_bundle > 1 {
                    rest.extend(d.queue.iter().filter(|q| **q != id && self.sendable(**q, endpoint)));
                    rest.sort_by(|a, b| index(b).total_cmp(&index(a)));
                }
                let load = self.load(endpoint, id, rest, d.max_bundle);
                let took = self.routes[&(dest, d.per_endpoint.then_some(endpoint))].latency.mean(CALL_GUESS);
                return Some((load.iter().map(index).sum::<f64>() / took, endpoint, id));
            }
        }
        None
    }

    /// Returns the priority of a message: the worth lost by waiting `wait` longer, and part of its worth.
    fn index(&self, h: &Held, wait: Micros) -> f64 {
        let now = h.worth(&self.set, self.now + CALL_GUESS);
        now - h.worth(&self.set, self.now + CALL_GUESS + wait) + EARNS * now
    }

    fn order(&self, a: &MessageId, b: &MessageId, wait: Micros) -> std::cmp::Ordering {
        let (x, y) = (&self.held[a], &self.held[b]);
        self.index(y, wait).total_cmp(&self.index(x, wait)).then(x.aim.cmp(&y.aim)).then(a.cmp(b))
    }

    fn send_call(&mut self, endpoint: EndpointId, id: MessageId, barred: &mut Vec<EndpointId>) {
        let dest = self.endpoints[&endpoint].dest;
        let d = &self.dests[&dest];
        let route_id = (dest, d.per_endpoint.then_some(endpoint));
        let trial = self.is_trial(endpoint);
        let mut load = vec![id];
        if d.max_bundle > 1 {
            barred.push(endpoint);
            let wait = self.expected_wait(dest, d);
            let wary =
                |q: &MessageId| self.endpoints[&endpoint].rests.contains_key(&Some(self.held[q].class));
            // A call ends when the first of its messages expires, so messages close to that share a call.
            let near = |q: &MessageId| self.held[q].expires < self.now + OVERDUE_LEAST;
            let fit = |q: &MessageId| !wary(q) && near(q) == near(&id) && self.sendable(*q, endpoint);
            let able = |q: &&MessageId| **q != id && !trial && fit(q);
            let mut rest: Vec<MessageId> = d.queue.iter().filter(able).copied().collect();
            rest.sort_by(|a, b| self.order(a, b, wait));
            load = self.load(endpoint, id, rest, d.max_bundle);
        }
        let call = self.next_call;
        self.next_call += 1;
        let r = &self.routes[&route_id];
        let class = self.held[&id].class;
        let unknown = self.set.classes[class].target_time;
        let usual = r.latency.upper_bound(unknown);
        let overdue = self.now + ((OVERDUE_TIMES * usual) as Micros).max(OVERDUE_LEAST);
        let late = (usual as Micros).max(LATE_LEAST);
        let now = self.now;
        let open = load.len() as u32;
        let stale = self.is_stale(&self.endpoints[&endpoint]);
        let mut used = None;
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.idle.retain(|&t| self.set.connections_reported || t + self.set.conn_idle > now);
            if stale {
                e.idle.clear();
                self.out.push(Action::CloseIdle { endpoint });
            }
            used = e.idle.pop();
        }
        let idle = used.map_or(0, |t| now - t);
        let careful = load.iter().filter(|id| self.is_unsafe(&self.held[id])).count() as u32;
        let unheard = if used.is_none() { careful } else { 0 };
        let takes = 0.75 + 0.5 * self.rng.f64();
        let (route, sent) = (route_id, now);
        let mut fresh = Call { route, endpoint, sent, overdue, late, idle, open, unheard, ..Call::default() };
        self.passed.insert(dest);
        let mut unproven = self.unheard_most(endpoint);
        for &id in &load {
            let timeout = self.timeout(&self.held[&id], &self.routes[&route_id]);
            fresh.until = fresh.until.max(now.saturating_add(timeout));
            let start_within = self.start_within(&self.held[&id]);
            // The expected idle connection may have ended, and a new one would replace it.
            let careful = self.is_unsafe(&self.held[&id]);
            let proven_only = careful && unproven == 0;
            unproven = unproven.saturating_sub(u32::from(careful));
            self.out.push(Action::Send { id, endpoint, timeout, start_within, proven_only });
            if let Some(h) = self.held.get_mut(&id) {
                h.attempts.push(call);
                h.out += 1;
            }
        }
        self.calls.insert(call, fresh);
        self.dests.entry(dest).and_modify(|d| d.queue.retain(|q| !load.contains(q)));
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            (e.out, e.unheard) = (e.out + 1, e.unheard + unheard);
            (e.gap, e.used) = (now - e.used, now);
            self.leans.entry(e.zone).and_modify(|l| l.sent(dest));
            // After a backoff one message of the class is sent; the others wait for its outcome.
            if let Some((_, until)) = e.rests.get_mut(&Some(class)).filter(|r| r.0 >= ERRORS_REST) {
                *until = now + ENDPOINT_REST;
            }
        }
        if let Some(r) = self.routes.get_mut(&route_id) {
            r.out += 1;
            r.rate.sent(now);
            r.credit -= f64::from(u8::from(r.metered())) * takes;
            if let Health::Open { trial, .. } = &mut r.health {
                *trial = Some(call);
            }
        }
    }

    /// Returns the time-out, which follows the observed latency. A message that must not be repeated, or has
    /// no attempt left, would be lost by an early time-out, so it gets all the time that is left.
    fn timeout(&self, h: &Held, r: &Route) -> Micros {
        let c = &self.set.classes[h.class];
        let left = h.expires.saturating_sub(self.now).max(1);
        if c.effect == Effect::AtMostOnce || h.tries() + 1 >= self.set.max_attempts as usize {
            return left;
        }
        ((TIMEOUT_TIMES * r.latency.upper_bound(c.target_time)) as Micros).max(c.target_time).min(left)
    }

    /// Requests a wake-up at the next time at which something is due without an event.
    fn plan_wake(&mut self) {
        let now = self.now;
        let mut next = self.watch_at;
        let mut at = |t: Micros| {
            if t > now && t < next {
                next = t;
            }
        };
        for h in self.held.values().filter(|h| !h.done) {
            at(self.answer_by(h));
            at(h.not_before);
        }
        self.keys.values().for_each(|k| at(k.1));
        self.calls.values().for_each(|c| at(c.overdue));
        for (id, d) in self.waiting() {
            let rests = d.endpoints.iter().flat_map(|e| self.endpoints[e].rests.values());
            rests.for_each(|r| at(r.1));
            for (_, r) in self.routes.range(routes_of(id)) {
                at(r.rest_until.max(r.rate.due(now)));
                let until = if let Health::Open { until, .. } = r.health { until } else { now };
                at(if r.metered() { until.max(now + RAMP_LOOK) } else { now });
            }
        }
        if next < Micros::MAX && self.wake.is_none_or(|w| next < w) {
            self.out.push(Action::WakeAt(next));
            self.wake = Some(next);
        }
    }
}

#[cfg(test)]
mod tests;
