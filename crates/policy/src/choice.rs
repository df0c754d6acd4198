//! Every decision of the library. Its interface (settings, events, actions) is `src/interface.rs`.
//!
//! The ordinary path is one fractional AIMD window for each destination or route apart, after "Stop
//! Hard-Coding Your Agent Concurrency: Let It Tune Itself From What It Observes". All else guards it.

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
/// Window: where it starts and its floor, what a served call adds, what congestion leaves of it.
const FLOOR: f64 = 1.0;
const STEP: f64 = 0.5;
const CUT: f64 = 0.5;
/// No growth for so long after a cut: many call times, so that a cut is felt before it is undone.
const COOLDOWN: Micros = 8 * SEC;
/// A destination may hold this share of the slots, and the second while it fails or is slow.
const CEILING: f64 = 0.75;
const CEILING_TROUBLED: f64 = 0.5;
/// Less of the told allowance than this left: the window holds.
const LOW_ALLOWANCE: f64 = 0.1;
/// Least rest after a refusal that told no wait. The pace that was learned sets how long it is.
const REST: Micros = 250 * MS;
/// It is longer where few messages come in: by this share of the time between two, up to a limit.
const REST_FLOW: f64 = 0.5;
const REST_MOST: Micros = 4 * SEC;
/// A route rests so long after a call that this side could not send: what failed here is not mended by asking
/// at once, and each try costs as much as a call.
const LOCAL_REST: Micros = 100 * MS;
/// Pace: what a served call makes of it, and what a note of a refusal does.
const PACE_UP: f64 = 1.3;
/// So many refusals in a row, none served between: a drowned limit, not just a full one.
const DROWNED: u32 = 2;
const PACE_HEARD: f64 = 0.7;
/// Least wait before a breaker's trial, since most outages that a sender sees are brief stalls.
const TRIAL_WAIT: Micros = 500 * MS;
/// So many failed calls, none served in between, open the breaker: one may be chance.
const FAILS_OPEN: u32 = 2;
/// Plain errors say less: destinations err now and then when sound.
const ERRORS_OPEN: u32 = 3;
/// Calls failed, but the last served one is no older than this: lost answers, not an outage that leaves a
/// destination cold. Longer would risk a ramp left out after a short crash.
const OUTAGE_LEAST: Micros = 3 * SEC;
/// A call is overdue after so many times the estimate of the slowest usual answer, and this at least.
const OVERDUE_TIMES: f64 = 2.0;
const OVERDUE_LEAST: Micros = 500 * MS;
/// It is late, and may be called off where its slot is worth more, after the estimate and this at least.
const LATE_LEAST: Micros = 250 * MS;
/// Time-outs in the same measure, for what may be repeated: after overdue, so that the breaker acts first.
const TIMEOUT_TIMES: f64 = 3.0;
/// An endpoint that failed is passed over for so long, doubling; by class after so many errors.
const ENDPOINT_REST: Micros = SEC;
const ERRORS_REST: u32 = 2;
/// A destination answering so many times slower than its best counts as slow.
const SLOW_TIMES: f64 = 3.0;
/// A queue is taken to move at this rate at least (messages a second).
const RATE_LEAST: f64 = 1.0;
/// While held work waits for credit, it is looked at this often.
const RAMP_LOOK: Micros = 100 * MS;
/// Of the room to hold messages this share is kept free, so that the choice of what to shed is ours.
const ROOM_FREE: f64 = 0.05;
/// Guesses: what is left of an outage that shows, and what a call takes.
const OUTAGE_GUESS: Micros = 6 * SEC;
const CALL_GUESS: Micros = 300 * MS;
/// Weight of what a message earns beside what waiting would lose.
const EARNS: f64 = 0.2;
/// A call that goes silent on a connection idle for so long says nothing of its destination.
const IDLE_DOUBT: Micros = 500 * MS;
/// A reset connection that had been idle for less was closed in that very moment, which teaches nothing.
const CROSSING: Micros = 20 * MS;
/// A connection idle for this share of the time after which one was found dropped is still used.
const IDLE_SHARE: f64 = 0.75;
/// A message that failed by itself waits so long before its next attempt, doubling.
const AGAIN: Micros = 150 * MS;
/// A repeat has arrived so long after it was decided that it may begin: the process may be held up for 150 ms
/// before its first byte.
const ARRIVES: Micros = 250 * MS;
/// A watch that failed is asked for again after this, and one without an answer is given up after the second.
/// Together with what an attempt takes it stays under the 6 s after which changes count as told; shorter, a
/// hundred senders drown a service that has room for few calls, and none is answered.
const WATCH_AGAIN: Micros = 2 * SEC;
const WATCH_LAST: Micros = 3 * SEC;
/// What was known of a route apart that left the list is kept for so long.
const FORGET: Micros = 60 * SEC;
/// How long a note of an outage waits for a second, and the least time between two written about a route.
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
                // Who had nothing to try with, or was told to wait, learns no more by that than by a trial.
                let gap = (now - self.failed_at).min((SEC as f64 / trials) as Micros);
                self.health = Health::Ramp { since: now, gap };
            }
            Health::Open { .. } => self.health = self.health.resumed(),
            _ => {}
        }
    }

    /// Opens the breaker, or pushes out the next trial of an open one.
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

    /// Calls that the window lets go. One whose answer is lost holds no place in it.
    fn room(&self) -> usize {
        let limit = if self.fails > 0 { 1 } else { self.window as u32 };
        limit.saturating_sub(self.out - self.lost) as usize
    }
}

impl Endpoint {
    /// Passes the endpoint over, doubling, from so many failures on. By class, it guards against ones that
    /// fail one class, unseen by the window; also bad releases, broken accounts. Bad messages wait in vain.
    fn fail(&mut self, class: Option<usize>, now: Micros, from: u32) {
        let (fails, until) = self.rests.entry(class).or_default();
        if class.is_none() && now < *until {
            return; // It was sent before the rest began: the same trouble.
        }
        *fails += 1;
        if *fails >= from {
            *until = now + (ENDPOINT_REST << (*fails - from).min(3));
        }
    }
}

impl Sender {
    /// Takes in all events of one moment, then makes one dispatch pass. `now` must not run backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.clamp(self.now, FAR);
        self.wake = self.wake.filter(|&w| w > self.now);
        self.passed.clear();
        for e in events {
            match e {
                Event::Taken(m) => self.taken(m, 0, None),
                Event::Resumed { message, attempts, ran } => self.resumed(message, *attempts, *ran),
                Event::Ended { id, attempt, outcome, over, allowance } => {
                    self.ended(*id, *attempt, *outcome, *over, *allowance);
                }
                Event::Withdrawn(id) => self.finish(*id),
                Event::List(news) => self.list(news),
                Event::Note { from, body } => self.note(*from, body),
                Event::Unused(id) => self.idle(*id, true),
                Event::Closed(id) => self.idle(*id, false),
                Event::Service { endpoint, out } => self.service(*endpoint, *out),
                Event::Settings(set) => self.retune(set),
                Event::Zone { zone, share, tries, spared } => self.set_zone(*zone, *share, *tries, spared),
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

    fn list(&mut self, news: &ListNews) {
        if *news == ListNews::Unavailable {
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
        if !matches!(news, ListNews::Restored(_)) {
            self.watch_at = Micros::MAX;
        }
    }

    /// New settings bind from now on: what has had all its attempts under them waits for nothing.
    fn retune(&mut self, set: &Settings) {
        self.set_terms(set);
        let spent = self.held.iter().filter(|(_, h)| !h.done && h.out == 0 && !self.may(h).0);
        spent.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
    }

    /// Operators restart what they take out: it comes back cold, from an outage that no call has seen.
    fn service(&mut self, id: EndpointId, out: bool) {
        let (news, others) = self.set_out(id, out);
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| news && !out) else { return };
        (e.cold_until, e.no_room) = (self.now + self.set.cold, 0);
        e.rests.clear();
        let apart = self.dests.get(&e.dest).is_some_and(|d| d.apart).then_some(id);
        if let Some(r) = self.routes.get_mut(&(e.dest, apart)).filter(|_| !others) {
            (r.health, r.fails, r.errors) = (Health::Ramp { since: self.now, gap: 0 }, 0, 0);
            (r.credit, r.credit_at) = (r.credit.min(1.0), self.now);
        }
    }

    /// An earlier process may have sent it: its attempts count, and what may have run binds as ever.
    fn resumed(&mut self, m: &Message, attempts: u32, ran: Option<(Micros, EndpointId)>) {
        let ran = ran.map(|(ago, endpoint)| (self.now.saturating_sub(ago), endpoint));
        self.taken(m, attempts, ran);
        if self.held.get(&m.id).is_some_and(|h| !h.done && !self.may(h).0) {
            self.give_up(m.id);
        }
    }

    fn taken(&mut self, m: &Message, attempts: u32, ran: Option<(Micros, EndpointId)>) {
        let class = self.set.classes.get(m.class as usize).map(|c| (c.wanted, c.deadline, c.in_order));
        let Some((wanted, deadline, in_order)) = class else {
            return self.out.push(Action::Refuse { id: m.id, after: 0 });
        };
        if self.held.contains_key(&m.id) {
            return;
        }
        let expires = self.now + m.expires_in.min(FAR);
        // Where clients mark what they hand in again, what is unmarked is fresh, even with little time left.
        let fresh = self.set.clients_mark && !m.again;
        let aim = if fresh { self.now + wanted } else { (expires + wanted).saturating_sub(deadline) };
        let over_share = m.tenant.is_some_and(|t| self.over_share(t as usize));
        let key = m.key.clone().filter(|_| in_order);
        if let Some(k) = &key {
            self.keys.entry(k.clone()).or_default().0.push_back(m.id);
        }
        let class = m.class as usize;
        // No call of this process bears the number that stands for earlier attempts.
        let attempts = vec![u64::MAX; attempts as usize];
        let held =
            Held { class, dest: m.dest, key, over_share, aim, expires, attempts, ran, ..Held::default() };
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

    /// Room is short: refuses what earns least for the time that it will fill a place. It guards against a
    /// rush to one destination, or dead ones, pushing out the rest; it hurts where the wait is misjudged.
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
        self.out.push(Action::Refuse { id, after: SEC.min(self.set.max_advice) });
        self.finish(id);
        true
    }

    /// How long until a message that joins this queue would be answered, as far as can be told.
    fn expected_wait(&self, dest: DestinationId, d: &Dest) -> Micros {
        let live = d.endpoints.iter().any(|e| self.endpoints[e].live);
        let shut = self.routes.range(routes_of(dest)).all(|(_, r)| matches!(r.health, Health::Open { .. }));
        let base = if !live || shut { OUTAGE_GUESS } else { CALL_GUESS };
        let rate = d.flow(self.now).max(RATE_LEAST) / d.part() * d.bundle.max(1) as f64;
        base + (d.queue.len() as f64 / rate * SEC as f64) as Micros
    }

    /// The one place that says whether a message may be sent again, and whether it may be refused.
    /// Nothing that may have run is sent or refused beyond what its effect allows.
    fn may(&self, h: &Held) -> (bool, bool) {
        let c = &self.set.classes[h.class];
        let left = h.tries() < self.set.max_attempts as usize;
        match (c.effect, h.ran) {
            (_, None) => (left && h.out == 0, h.out == 0),
            (Effect::Safe, _) => (left && h.out == 0, true),
            (Effect::Keyed, Some((since, _))) => {
                let known = |span| self.now + span < since + c.memory;
                // Refused, its client comes again after the advice at the latest, with a whole deadline.
                let harmless = c.group == Group::All && known(self.set.max_advice + c.deadline);
                (left && h.out == 0 && known(OVERDUE_LEAST), h.out == 0 && harmless)
            }
            (Effect::Unsafe, _) => (false, false),
        }
    }

    /// For how long an attempt that is decided now may still begin: a repeat has to arrive while it is known.
    fn start_within(&self, h: &Held) -> Micros {
        let c = &self.set.classes[h.class];
        let known = h
            .ran
            .filter(|_| c.effect == Effect::Keyed)
            .map(|(since, _)| (since + c.memory).saturating_sub(ARRIVES));
        known.map_or(h.expires, |at| at.min(h.expires)).saturating_sub(self.now)
    }

    /// For a keyed message that may have run: only to who would drop the repeat.
    fn may_go_to(&self, h: &Held, id: EndpointId) -> bool {
        let c = &self.set.classes[h.class];
        match (c.effect, h.ran, c.group) {
            (Effect::Keyed, Some((_, e)), Group::Endpoint) => e == id,
            (Effect::Keyed, Some((_, e)), Group::Zone) => {
                self.endpoints.get(&e).map(|x| x.zone) == Some(self.endpoints[&id].zone)
            }
            _ => true,
        }
    }

    /// The last word where no more can be done: a refusal if it may be one, else no promise. It comes at
    /// once, so a client that may try again is told when: after as long as the next trial would wait.
    fn give_up(&mut self, id: MessageId) {
        let (refuse, after) = (self.may(&self.held[&id]).1, TRIAL_WAIT.min(self.set.max_advice));
        self.out.push(if refuse { Action::Refuse { id, after } } else { Action::Fail { id } });
        self.finish(id);
    }

    fn expire(&mut self) {
        let due = self.held.iter().filter(|(_, h)| !h.done && self.now >= self.answer_by(h));
        due.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
        let now = self.now;
        self.keys.retain(|_, k| !k.0.is_empty() || k.1 > now);
    }

    /// With an attempt out its time-out at the deadline answers as well; else a turn earlier.
    fn answer_by(&self, h: &Held) -> Micros {
        if h.out > 0 { h.expires } else { h.expires.saturating_sub(2 * self.set.tick) }
    }

    /// Silence counts before the time-out does: a call overdue with nothing heard since it was sent opens the
    /// breaker. It guards against hung and silent destinations; it might hold back one that has only a slow
    /// message, for a trial's time.
    fn find_silent(&mut self) {
        let wait = self.jitter(TRIAL_WAIT);
        let mut silent = Vec::new();
        for (&id, c) in &mut self.calls {
            let Some(r) = self.routes.get_mut(&c.route) else { continue };
            if self.now >= c.overdue && r.last_ok > c.sent && !c.lost {
                // What was sent later was served: it is the connection that fell silent, or a slow message.
                // It is waited for, but holds no place in the window, which one such call could fill for as
                // long as its message lives. Its endpoint is passed over unless that has answered since.
                (c.lost, r.lost) = (true, r.lost + 1);
                [&mut self.late, &mut r.late].into_iter().for_each(|l| l.lose(c.stage));
                let alone = self.dests.get(&c.route.0).is_none_or(|d| d.apart || d.endpoints.len() < 2);
                if let Some(e) =
                    self.endpoints.get_mut(&c.endpoint).filter(|e| e.answered <= c.sent && !alone)
                {
                    e.fail(None, self.now, 1);
                }
                continue;
            }
            if self.now >= c.overdue && (IDLE_DOUBT..FAR).contains(&c.idle) {
                // Idle connections may be dropped unseen: the connection is blamed first, and those idle as
                // long are closed. A hung destination shows by the next call, on a fresh connection.
                let old = if self.now < self.idle_safe.1 { self.idle_safe.0 } else { FAR };
                self.idle_safe = (old.min(c.idle * 3 / 4), self.now + FORGET);
                (c.idle, c.overdue) = (FAR, c.overdue + (c.overdue - c.sent));
                continue;
            }
            match r.health {
                _ if self.now < c.overdue || r.last_ok > c.sent => {}
                // The next trial does not wait for this one's time-out, which may be an unsafe message's.
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
        // Best is what gains most for the time that it holds a slot: a call of many messages, a quick route.
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
            let Some(r) = self.routes.get(&(dest, d.apart.then_some(id))) else { continue };
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
            let risk = |id| if trial { self.set.classes[self.held[id].class].effect } else { Effect::Safe };
            let able = d.queue.iter().filter(|id| self.sendable(**id, endpoint));
            let found = able.min_by(|a, b| risk(a).cmp(&risk(b)).then(self.order(a, b, wait)));
            if let Some(&id) = found {
                let index = |q: &MessageId| self.index(&self.held[q], wait);
                let mut rest: Vec<MessageId> = Vec::new();
                if !trial && d.bundle > 1 {
                    rest.extend(d.queue.iter().filter(|q| **q != id && self.sendable(**q, endpoint)));
                    rest.sort_by(|a, b| index(b).total_cmp(&index(a)));
                }
                let load = self.load(endpoint, id, rest, d.bundle);
                let took = self.routes[&(dest, d.apart.then_some(endpoint))].latency.mean(CALL_GUESS);
                return Some((load.iter().map(index).sum::<f64>() / took, endpoint, id));
            }
        }
        None
    }

    /// Order of serving: what would be lost by waiting for the queue once more, then what is earned.
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
        let route_id = (dest, d.apart.then_some(endpoint));
        let trial = self.is_trial(endpoint);
        let mut load = vec![id];
        if d.bundle > 1 {
            barred.push(endpoint);
            let wait = self.expected_wait(dest, d);
            let wary =
                |q: &MessageId| self.endpoints[&endpoint].rests.contains_key(&Some(self.held[q].class));
            // A call ends with the first of its messages whose time is up: those near it go together.
            let near = |q: &MessageId| self.held[q].expires < self.now + OVERDUE_LEAST;
            let fit = |q: &MessageId| !wary(q) && near(q) == near(&id) && self.sendable(*q, endpoint);
            let able = |q: &&MessageId| **q != id && !trial && fit(q);
            let mut rest: Vec<MessageId> = d.queue.iter().filter(able).copied().collect();
            rest.sort_by(|a, b| self.order(a, b, wait));
            load = self.load(endpoint, id, rest, d.bundle);
        }
        let call = self.next_call;
        self.next_call += 1;
        let r = &self.routes[&route_id];
        let class = self.held[&id].class;
        let unknown = self.set.classes[class].wanted;
        let usual = r.latency.usual(unknown);
        let overdue = self.now + ((OVERDUE_TIMES * usual) as Micros).max(OVERDUE_LEAST);
        let late = (usual as Micros).max(LATE_LEAST);
        let now = self.now;
        let open = load.len() as u32;
        let stale = self.is_stale(&self.endpoints[&endpoint]);
        let mut used = None;
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.idle.retain(|&t| self.set.conns_told || t + self.set.conn_idle > now);
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
            let within = self.start_within(&self.held[&id]);
            // The idle connection that is counted on may have ended by now, and a new one take its place.
            let careful = self.is_unsafe(&self.held[&id]);
            let proven_only = careful && unproven == 0;
            unproven = unproven.saturating_sub(u32::from(careful));
            self.out.push(Action::Send { id, endpoint, timeout, within, proven_only });
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
            // After a rest one message of the class tries; the others wait for what it finds.
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

    /// Time-outs follow observed latency. A safe message gains by another try; an unsafe one loses all by an
    /// early time-out, so it gets the time that it has left.
    fn timeout(&self, h: &Held, r: &Route) -> Micros {
        let c = &self.set.classes[h.class];
        let left = h.expires.saturating_sub(self.now).max(1);
        if c.effect == Effect::Unsafe || h.tries() + 1 >= self.set.max_attempts as usize {
            return left;
        }
        ((TIMEOUT_TIMES * r.latency.usual(c.wanted)) as Micros).max(c.wanted).min(left)
    }

    /// Asks to be woken when the next thing falls due that no event announces.
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
