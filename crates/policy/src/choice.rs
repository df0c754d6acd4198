//! All decisions of the library. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! Calls are limited mainly by one fractional AIMD window for each route, after "Stop Hard-Coding Your Agent
//! Concurrency: Let It Tune Itself From What It Observes". All other limits supplement it.

use crate::interface::Outcome::{
    Cancelled, ConnectFailed, Failed, Full, Moot, NotSent, Reset, Served, Spoilt, TimedOut,
};
use crate::interface::*;
use crate::note::{self, Report};
use crate::state::*;
use notchpoint_limits::FailureCause;
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
const MIN_WINDOW: f64 = 1.0;
const WINDOW_STEP: f64 = 0.5;
const WINDOW_CUT: f64 = 0.5;
/// The window does not grow for this long after a cut. It spans many calls, so that a cut takes effect first.
const CUT_COOLDOWN: Micros = 8 * SEC;
/// The share of the slots that a destination may occupy, normally and while it fails or is slow.
const SLOT_SHARE: f64 = 0.75;
const SLOT_SHARE_TROUBLED: f64 = 0.5;
/// The window does not grow while less than this share of the reported rate limit is left.
const LOW_ALLOWANCE: f64 = 0.1;
/// The least backoff after a refusal without a wait. The learned rate sets its usual length.
const MIN_BACKOFF: Micros = 250 * MS;
/// With few messages the backoff is this share of the time between two of them, up to a limit.
const BACKOFF_SHARE: f64 = 0.5;
const MAX_BACKOFF: Micros = 4 * SEC;
/// The backoff after a call that this side could not send: a retry at once would not help, and costs a call.
const LOCAL_BACKOFF: Micros = 100 * MS;
/// The factor that a served call applies to the pace. That of a note of refusals is `PACE_NOTE_CUT`.
const PACE_GROWTH: f64 = 1.3;
/// After this many refusals in a row a limit counts as overwhelmed, not just as reached.
const OVERWHELMED_REFUSALS: u32 = 2;
const PACE_NOTE_CUT: f64 = 0.7;
/// The least wait before a probe (trial call) of a breaker. Most outages that a sender sees are brief stalls.
const PROBE_WAIT: Micros = 500 * MS;
/// This many failed calls with none served in between open the breaker; one may be random.
const OPEN_FAILURES: u32 = 2;
/// The same for plain errors, which are a weaker sign: healthy destinations return some.
const OPEN_ERRORS: u32 = 3;
/// If calls failed but one was served within this time, answers were lost; there was no outage that needs a
/// slow start. A longer time could omit the slow start after a short crash.
const MIN_OUTAGE: Micros = 3 * SEC;
/// A call is overdue after this multiple of the latency bound, and after this time at least.
const OVERDUE_FACTOR: f64 = 2.0;
const MIN_OVERDUE: Micros = 500 * MS;
/// A call is late, and may be cancelled for its slot, after the latency bound and this time at least.
const MIN_LATE: Micros = 250 * MS;
/// Repeatable messages time out after this many latency bounds; an overdue call can open the breaker before.
const TIMEOUT_FACTOR: f64 = 3.0;
/// The backoff of a failed endpoint, which doubles; for a class it starts after this many errors.
const ENDPOINT_BACKOFF: Micros = SEC;
const CLASS_ERRORS: u32 = 2;
/// A destination counts as slow at this multiple of its best latency.
const SLOW_FACTOR: f64 = 3.0;
/// The least rate at which a queue is assumed to move, in messages per second.
const MIN_RATE: f64 = 1.0;
/// The interval at which held messages that wait for credit are checked.
const CREDIT_CHECK: Micros = 100 * MS;
/// Load shedding keeps this share of `max_held` free, so that the sender selects what to shed.
const FREE_SHARE: f64 = 0.05;
/// The assumed remaining time of an outage, and the assumed duration of a call.
const OUTAGE_TIME: Micros = 6 * SEC;
const CALL_TIME: Micros = 300 * MS;
/// The weight of a message's worth beside the worth that it loses by waiting.
const WORTH_WEIGHT: f64 = 0.2;
/// An unanswered call is no sign of its destination's health if its connection had been idle for this long.
const DOUBTFUL_IDLE: Micros = 500 * MS;
/// A connection that is reset after less idle time was just being closed; its idle time shows no limit.
const MIN_LEARNED_IDLE: Micros = 20 * MS;
/// Connections are used up to this share of the idle time after which one was found closed.
const TRUSTED_IDLE_SHARE: f64 = 0.75;
/// The backoff of a message after an error or a failed connect, which doubles.
const MESSAGE_BACKOFF: Micros = 150 * MS;
/// A repeat may begin only if it would still be in time this much later: the process may stall for 150 ms
/// before the first byte.
const REPEAT_MARGIN: Micros = 250 * MS;
/// The delay before a failed watch is renewed, and the time-out of an unanswered one. With the duration of an
/// attempt they stay under the 6 s after which changes must be known. If they were shorter, a hundred senders
/// would overload a service that has room for few calls, and none would be answered.
const WATCH_RETRY: Micros = 2 * SEC;
const WATCH_TIMEOUT: Micros = 3 * SEC;
/// How long routes that left the list, learned idle times and signs of scarce connections are remembered.
const FORGET_AFTER: Micros = 60 * SEC;
/// How long a note of an outage waits for a second one, and the least time between two notes about a route.
const NOTE_VALIDITY: Micros = 5 * SEC;
const MIN_NOTE_INTERVAL: Micros = 2 * SEC;

impl Route {
    fn is_troubled(&self) -> bool {
        self.failures > 0 || !matches!(self.breaker, Breaker::Closed) || self.latency.is_slow(SLOW_FACTOR)
    }

    fn record_served(&mut self, now: Micros, latency: Micros, is_low: bool, limit: f64, probe_rate: f64) {
        self.latency.observe(latency);
        if !is_low && self.last_cut.is_none_or(|t| now >= t + CUT_COOLDOWN) {
            self.window = (self.window + WINDOW_STEP).min(limit.max(MIN_WINDOW));
        }
        self.pace = (self.pace * PACE_GROWTH).min(1.0);
        let gap = now.saturating_sub(self.last_served);
        self.last_served = now;
        (self.failures, self.errors, self.refusals) = (0, 0, 0);
        match self.breaker {
            Breaker::Open { failed: true, .. } if gap >= MIN_OUTAGE => {
                // A sender that could not try meanwhile counts no more than the time between two probes.
                let gap = (now - self.last_failure).min((SEC as f64 / probe_rate) as Micros);
                self.breaker = Breaker::SlowStart { since: now, gap };
            }
            Breaker::Open { .. } => self.breaker = self.breaker.resumed(),
            _ => {}
        }
    }

    /// Opens the breaker, or postpones the next probe of an open one.
    fn open_breaker(&mut self, now: Micros, failed_now: bool, wait: Micros) {
        let (since, failed, slow_start) = match self.breaker {
            Breaker::Open { since, failed, slow_start, .. } => (since, failed || failed_now, slow_start),
            Breaker::SlowStart { since, gap } => (now, failed_now, Some((since, gap))),
            Breaker::Closed => (now, failed_now, None),
        };
        self.credit_updated = if self.is_metered() { self.credit_updated } else { now };
        self.last_failure = now;
        self.breaker = Breaker::Open { since, until: now + wait, failed, probe: None, slow_start };
    }

    /// Returns how many calls the window still admits. Calls whose answers are presumed lost do not count.
    fn free_window(&self) -> usize {
        let limit = if self.failures > 0 { 1 } else { self.window as u32 };
        limit.saturating_sub(self.in_flight - self.lost) as usize
    }
}

impl Endpoint {
    /// Counts a failure and backs off, doubling, from `from` failures on. Per class, it avoids endpoints that
    /// fail one class, which the window does not show (bad releases, accounts). Faulty messages gain nothing.
    fn record_failure(&mut self, class: Option<usize>, now: Micros, threshold: u32) {
        let (failures, until) = self.backoffs.entry(class).or_default();
        if class.is_none() && now < *until {
            return; // The call was sent before the backoff began: it is the same failure.
        }
        *failures += 1;
        if *failures >= threshold {
            *until = now + (ENDPOINT_BACKOFF << (*failures - threshold).min(3));
        }
    }
}

impl Sender {
    /// Processes all events of one turn, then dispatches messages once. `now` must not go backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.begin_turn(now);
        for event in events {
            match event {
                Event::Taken(message) => self.accept(message, 0, None),
                Event::Resumed { message, attempts, ran_ago } => self.resume(message, *attempts, *ran_ago),
                Event::Ended { id, attempt, outcome, is_final, allowance } => {
                    self.end_attempt(*id, *attempt, *outcome, *is_final, *allowance);
                }
                Event::Withdrawn(id) => self.finish(*id),
                Event::List(update) => self.update_list(update),
                Event::Note { from, body } => self.receive_note(*from, body),
                Event::Unused(id) => self.update_idle(*id, true),
                Event::Closed(id) => self.update_idle(*id, false),
                Event::Service { endpoint, out_of_service } => self.set_service(*endpoint, *out_of_service),
                Event::Settings(settings) => self.change_settings(settings),
                Event::Zone { zone, share, probe, exempt } => self.set_zone(*zone, *share, *probe, exempt),
                Event::Wake | Event::Probed { .. } => {}
            }
        }
        self.close_idle_connections();
        if self.now >= self.watch_at {
            self.actions.push(Action::Watch);
            self.watch_at = self.now + WATCH_TIMEOUT;
        }
        self.expire_messages();
        self.detect_silence();
        self.advance_stages();
        self.free_slots();
        self.dispatch();
        self.plan_wake();
        actions.append(&mut self.actions);
    }

    fn jitter(&mut self, duration: Micros) -> Micros {
        (duration as f64 * (0.75 + 0.5 * self.rng.f64())) as Micros
    }

    fn update_list(&mut self, update: &ListUpdate) {
        if *update == ListUpdate::Unavailable {
            let ask = self.settings.list == ListMode::Ask;
            self.watch_at = if ask { self.now + self.jitter(WATCH_RETRY) } else { self.watch_at };
            return;
        }
        for route_id in self.apply_list(update) {
            let credit = self.rng.f64();
            let new_route = || Route { window: MIN_WINDOW, pace: 1.0, credit, ..Route::default() };
            self.routes.entry(route_id).or_insert_with(new_route);
        }
        self.forget_unlisted(FORGET_AFTER);
        let dests = &self.dests;
        self.zone_shares.values_mut().for_each(|z| z.retain(|d| dests.contains_key(&d)));
        if !matches!(update, ListUpdate::Restored(_)) {
            self.watch_at = Micros::MAX;
        }
    }

    /// Applies new settings. Messages that have no attempt left under them are given up.
    fn change_settings(&mut self, settings: &Settings) {
        self.apply_settings(settings);
        let spent = self.held.iter().filter(|(_, h)| !h.done && h.in_flight == 0 && !self.permitted(h).0);
        spent.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
    }

    /// Operators restart what they take out of service, so it returns cold, as from an outage without calls.
    fn set_service(&mut self, id: EndpointId, out_of_service: bool) {
        let (changed, other_live) = self.mark_service(id, out_of_service);
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| changed && !out_of_service) else { return };
        (e.warm_up_until, e.refused_at) = (self.now + self.settings.warm_up, 0);
        e.backoffs.clear();
        let endpoint = self.dests.get(&e.dest).is_some_and(|d| d.per_endpoint).then_some(id);
        if let Some(r) = self.routes.get_mut(&(e.dest, endpoint)).filter(|_| !other_live) {
            (r.breaker, r.failures, r.errors) = (Breaker::SlowStart { since: self.now, gap: 0 }, 0, 0);
            (r.credit, r.credit_updated) = (r.credit.min(1.0), self.now);
        }
    }

    /// Resumes a message of an earlier process. Earlier attempts count, as does one that may have run.
    fn resume(&mut self, message: &Message, attempts: u32, ran_ago: Option<(Micros, EndpointId)>) {
        let ran_at = ran_ago.map(|(ago, endpoint)| (self.now.saturating_sub(ago), endpoint));
        self.accept(message, attempts, ran_at);
        if self.held.get(&message.id).is_some_and(|h| !h.done && !self.permitted(h).0) {
            self.give_up(message.id);
        }
    }

    fn accept(&mut self, m: &Message, attempts: u32, ran_at: Option<(Micros, EndpointId)>) {
        let class =
            self.settings.classes.get(m.class as usize).map(|c| (c.target_time, c.deadline, c.in_order));
        let Some((target, deadline, in_order)) = class else {
            return self.actions.push(Action::Refuse { id: m.id, retry_after: 0 });
        };
        if self.held.contains_key(&m.id) {
            return;
        }
        let expires = self.now + m.expires_in.min(MAX_TIME);
        // If clients mark retries, an unmarked message is new even if it has little time left.
        let is_new = self.settings.clients_mark_retries && !m.is_retry;
        let due = if is_new { self.now + target } else { (expires + target).saturating_sub(deadline) };
        let over_share = m.tenant.is_some_and(|t| self.charge_tenant(t as usize));
        let key = m.key.clone().filter(|_| in_order);
        if let Some(key) = &key {
            self.keys.entry(key.clone()).or_default().0.push_back(m.id);
        }
        let class = m.class as usize;
        // This number of earlier attempts belongs to no call of this process.
        let attempts = vec![u64::MAX; attempts as usize];
        let held =
            Held { class, dest: m.dest, key, over_share, due, expires, attempts, ran_at, ..Held::default() };
        self.held.insert(m.id, held);
        self.open_count += 1;
        let now = self.now;
        let dest = self.enqueue(m.dest, m.id);
        let (rate, share) = (dest.arrival_rate(now), dest.route_share());
        dest.record_arrival(now);
        for (_, route) in self.routes.range_mut(routes_of(m.dest)) {
            route.accrue_credit(&self.settings, self.now, share, rate);
        }
        self.accrue_zones(m.dest);
        let room = self.settings.max_held as f64 * (1.0 - FREE_SHARE);
        while self.open_count as f64 > room.max(1.0) && self.shed() {}
    }

    /// Refuses the message with the least worth per time that it would be held. This keeps a rush to one
    /// destination, or failed destinations, from displacing other messages; it errs if the wait is misjudged.
    fn shed(&mut self) -> bool {
        let mut least: Option<(f64, MessageId)> = None;
        for (dest_id, dest) in self.waiting() {
            let wait = self.expected_wait(dest_id, dest);
            for &id in dest.queue.iter().filter(|id| self.permitted(&self.held[id]).1) {
                let worth = self.held[&id].worth_at(&self.settings, self.now + wait) / wait as f64;
                if least.is_none_or(|v| worth <= v.0) {
                    least = Some((worth, id));
                }
            }
        }
        let Some((_, id)) = least else { return false };
        self.actions.push(Action::Refuse { id, retry_after: SEC.min(self.settings.max_retry_after) });
        self.finish(id);
        true
    }

    /// Estimates how long a message that joins this queue waits until it is answered.
    fn expected_wait(&self, dest: DestinationId, d: &Dest) -> Micros {
        let has_live = d.endpoints.iter().any(|e| self.endpoints[e].live);
        let open = self.routes.range(routes_of(dest)).all(|(_, r)| matches!(r.breaker, Breaker::Open { .. }));
        let base = if !has_live || open { OUTAGE_TIME } else { CALL_TIME };
        let rate = d.arrival_rate(self.now).max(MIN_RATE) / d.route_share() * d.max_bundle.max(1) as f64;
        base + (d.queue.len() as f64 / rate * SEC as f64) as Micros
    }

    /// Returns whether a message may be sent, and whether it may be refused. No other code decides it, so
    /// that nothing that may have run is sent or refused beyond what its effect allows.
    fn permitted(&self, held: &Held) -> (bool, bool) {
        let class = &self.settings.classes[held.class];
        let has_attempts = held.attempt_count() < self.settings.max_attempts as usize;
        match (class.effect, held.ran_at) {
            (_, None) => (has_attempts && held.in_flight == 0, held.in_flight == 0),
            (Effect::Idempotent, _) => (has_attempts && held.in_flight == 0, true),
            (Effect::Deduplicated, Some((since, _))) => {
                let known = |after| self.now + after < since + class.dedup_window;
                // Its client retries after the longest advised wait at the latest, with a whole new deadline.
                let is_safe = class.dedup_scope == DedupScope::All
                    && known(self.settings.max_retry_after + class.deadline);
                (has_attempts && held.in_flight == 0 && known(MIN_OVERDUE), held.in_flight == 0 && is_safe)
            }
            (Effect::AtMostOnce, _) => (false, false),
        }
    }

    /// Returns how long an attempt may take to begin: a repeat must arrive within the deduplication window.
    fn start_within(&self, held: &Held) -> Micros {
        let class = &self.settings.classes[held.class];
        let repeat_until = held
            .ran_at
            .filter(|_| class.effect == Effect::Deduplicated)
            .map(|(since, _)| (since + class.dedup_window).saturating_sub(REPEAT_MARGIN));
        repeat_until.map_or(held.expires, |until| until.min(held.expires)).saturating_sub(self.now)
    }

    /// Returns whether the endpoint may receive the message: a repeat goes only where it would be dropped.
    fn may_go_to(&self, held: &Held, endpoint: EndpointId) -> bool {
        let class = &self.settings.classes[held.class];
        match (class.effect, held.ran_at, class.dedup_scope) {
            (Effect::Deduplicated, Some((_, first)), DedupScope::Endpoint) => first == endpoint,
            (Effect::Deduplicated, Some((_, first)), DedupScope::Zone) => {
                self.endpoints.get(&first).map(|e| e.zone) == Some(self.endpoints[&endpoint].zone)
            }
            _ => true,
        }
    }

    /// Ends a message that cannot be sent again. A refusal precedes the deadline, so it advises `PROBE_WAIT`.
    fn give_up(&mut self, id: MessageId) {
        let (may_refuse, retry_after) =
            (self.permitted(&self.held[&id]).1, PROBE_WAIT.min(self.settings.max_retry_after));
        self.actions.push(if may_refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.finish(id);
    }

    fn expire_messages(&mut self) {
        let due = self.held.iter().filter(|(_, h)| !h.done && self.now >= self.give_up_at(h));
        due.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
        let now = self.now;
        self.keys.retain(|_, queue| !queue.0.is_empty() || queue.1 > now);
    }

    /// Returns when a message is given up: at its deadline if an attempt is in flight, else two ticks before.
    fn give_up_at(&self, held: &Held) -> Micros {
        if held.in_flight > 0 { held.expires } else { held.expires.saturating_sub(2 * self.settings.tick) }
    }

    /// Opens the breaker of a route with an overdue call if none sent since was served. This detects hung
    /// destinations before time-outs do; a route with merely a slow message may be held back until a probe.
    fn detect_silence(&mut self) {
        let wait = self.jitter(PROBE_WAIT);
        let mut silent = Vec::new();
        for (&number, c) in &mut self.calls {
            let Some(r) = self.routes.get_mut(&c.route) else { continue };
            if self.now >= c.overdue_at && r.last_served > c.sent && !c.lost {
                // A later call was served, so only this connection is silent or the message is slow. The call
                // continues but takes no place in the window, which it could fill until its message expires.
                // Its endpoint is avoided unless it has answered since.
                (c.lost, r.lost) = (true, r.lost + 1);
                [&mut self.life_table, &mut r.life_table].into_iter().for_each(|l| l.mark_lost(c.late_stage));
                let sole = self.dests.get(&c.route.0).is_none_or(|d| d.per_endpoint || d.endpoints.len() < 2);
                if let Some(e) =
                    self.endpoints.get_mut(&c.endpoint).filter(|e| e.last_answer <= c.sent && !sole)
                {
                    e.record_failure(None, self.now, 1);
                }
                continue;
            }
            if self.now >= c.overdue_at && (DOUBTFUL_IDLE..MAX_TIME).contains(&c.idle) {
                // An idle connection may have been dropped silently. This is assumed first, and those idle
                // for as long are closed; a hung destination shows in the next call, on a new connection.
                let previous = if self.now < self.trusted_idle.1 { self.trusted_idle.0 } else { MAX_TIME };
                self.trusted_idle = (previous.min(c.idle * 3 / 4), self.now + FORGET_AFTER);
                (c.idle, c.overdue_at) = (MAX_TIME, c.overdue_at + (c.overdue_at - c.sent));
                continue;
            }
            match r.breaker {
                _ if self.now < c.overdue_at || r.last_served > c.sent => {}
                // The next probe does not wait for the time-out of this one, which may be long.
                Breaker::Open { probe: Some(t), .. } if t == number => r.open_breaker(self.now, false, wait),
                Breaker::Open { .. } => {}
                _ => {
                    r.open_breaker(self.now, false, 0);
                    silent.push(c.route);
                    self.actions.push(Action::Log(format!("destination {} held back: silent", c.route.0.0)));
                }
            }
        }
        silent.into_iter().for_each(|route| self.send_note(route, Report::Down));
    }

    fn slot_limit(&self, dest: DestinationId) -> f64 {
        let is_troubled = self.routes.range(routes_of(dest)).any(|(_, r)| r.is_troubled());
        let share = if is_troubled { SLOT_SHARE_TROUBLED } else { SLOT_SHARE };
        (self.settings.slots as f64 * share).floor().max(1.0)
    }

    fn dispatch(&mut self) {
        self.queued.retain(|id| !self.dests[id].queue.is_empty());
        for &id in &self.queued {
            let rate = self.dests[&id].arrival_rate(self.now);
            for (_, route) in self.routes.range_mut(routes_of(id)) {
                route.accrue_credit(&self.settings, self.now, 0.0, rate);
            }
        }
        let mut excluded: Vec<EndpointId> = Vec::new();
        while self.calls.len() < self.settings.slots as usize {
            let mut best: Option<(f64, EndpointId, MessageId)> = None;
            for (id, dest) in self.waiting() {
                let candidate = self.best_candidate(id, dest, &excluded);
                if candidate.is_some_and(|found| best.is_none_or(|b| found.0 > b.0)) {
                    best = candidate;
                }
            }
            let Some((_, endpoint, id)) = best else { return };
            self.send_call(endpoint, id, &mut excluded);
        }
    }

    fn best_candidate(
        &self,
        dest: DestinationId,
        d: &Dest,
        excluded: &[EndpointId],
    ) -> Option<(f64, EndpointId, MessageId)> {
        // The best call has the most priority per time in a slot: many messages, or a fast route.
        if self.share_hold(dest).is_some() {
            return None;
        }
        let rate = d.arrival_rate(self.now);
        let mut ranks: Vec<(bool, bool, Micros, u32, bool, bool, EndpointId)> = Vec::new();
        for &id in &d.endpoints {
            let e = &self.endpoints[&id];
            if excluded.contains(&id) || self.endpoint_hold(id).is_some() {
                continue;
            }
            let Some(route) = self.routes.get(&(dest, d.per_endpoint.then_some(id))) else { continue };
            let Ok(probe) = self.check_route(route, rate) else { continue };
            let max_idle = self.settings.conn_idle.min(d.max_idle(self.now));
            let new = !e.idle_since.iter().any(|&t| t + max_idle > self.now);
            let until = self.backoff_until(e).unwrap_or(0);
            ranks.push((probe, !self.zone_due(e), until, e.in_flight, new, e.zone != self.settings.zone, id));
        }
        ranks.sort_unstable();
        let wait = self.expected_wait(dest, d);
        for &(probe, .., endpoint) in &ranks {
            let probe = probe || self.is_zone_probe(endpoint);
            let risk = |id| {
                if probe { self.settings.classes[self.held[id].class].effect } else { Effect::Idempotent }
            };
            let sendable = d.queue.iter().filter(|id| self.is_sendable(**id, endpoint));
            let first = sendable.min_by(|a, b| risk(a).cmp(&risk(b)).then(self.compare_priority(a, b, wait)));
            if let Some(&id) = first {
                let priority = |q: &MessageId| self.priority(&self.held[q], wait);
                let mut rest: Vec<MessageId> = Vec::new();
                if !probe && d.max_bundle > 1 {
                    rest.extend(d.queue.iter().filter(|q| **q != id && self.is_sendable(**q, endpoint)));
                    rest.sort_by(|a, b| priority(b).total_cmp(&priority(a)));
                }
                let bundle = self.fill_bundle(endpoint, id, rest, d.max_bundle);
                let mean = self.routes[&(dest, d.per_endpoint.then_some(endpoint))].latency.mean(CALL_TIME);
                return Some((bundle.iter().map(priority).sum::<f64>() / mean, endpoint, id));
            }
        }
        None
    }

    /// Returns the priority of a message: the worth lost by waiting `wait` longer, and part of its worth.
    fn priority(&self, held: &Held, wait: Micros) -> f64 {
        let worth = held.worth_at(&self.settings, self.now + CALL_TIME);
        worth - held.worth_at(&self.settings, self.now + CALL_TIME + wait) + WORTH_WEIGHT * worth
    }

    fn compare_priority(&self, a: &MessageId, b: &MessageId, wait: Micros) -> std::cmp::Ordering {
        let (x, y) = (&self.held[a], &self.held[b]);
        self.priority(y, wait).total_cmp(&self.priority(x, wait)).then(x.due.cmp(&y.due)).then(a.cmp(b))
    }

    fn send_call(&mut self, endpoint: EndpointId, id: MessageId, excluded: &mut Vec<EndpointId>) {
        let dest_id = self.endpoints[&endpoint].dest;
        let dest = &self.dests[&dest_id];
        let route_id = (dest_id, dest.per_endpoint.then_some(endpoint));
        let is_probe = self.is_probe(endpoint);
        let mut bundle = vec![id];
        if dest.max_bundle > 1 {
            excluded.push(endpoint);
            let wait = self.expected_wait(dest_id, dest);
            let in_backoff =
                |q: &MessageId| self.endpoints[&endpoint].backoffs.contains_key(&Some(self.held[q].class));
            // A call ends when the first of its messages expires, so messages close to that share a call.
            let soon = |q: &MessageId| self.held[q].expires < self.now + MIN_OVERDUE;
            let fits =
                |q: &MessageId| !in_backoff(q) && soon(q) == soon(&id) && self.is_sendable(*q, endpoint);
            let others = |q: &&MessageId| **q != id && !is_probe && fits(q);
            let mut rest: Vec<MessageId> = dest.queue.iter().filter(others).copied().collect();
            rest.sort_by(|a, b| self.compare_priority(a, b, wait));
            bundle = self.fill_bundle(endpoint, id, rest, dest.max_bundle);
        }
        let number = self.next_call;
        self.next_call += 1;
        let r = &self.routes[&route_id];
        let class = self.held[&id].class;
        let default = self.settings.classes[class].target_time;
        let bound = r.latency.upper_bound(default);
        let overdue_at = self.now + ((OVERDUE_FACTOR * bound) as Micros).max(MIN_OVERDUE);
        let late_after = (bound as Micros).max(MIN_LATE);
        let now = self.now;
        let open = bundle.len() as u32;
        let stale = self.has_stale_idle(&self.endpoints[&endpoint]);
        let mut used = None;
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.idle_since.retain(|&t| self.settings.connections_reported || t + self.settings.conn_idle > now);
            if stale {
                e.idle_since.clear();
                self.actions.push(Action::CloseIdle { endpoint });
            }
            used = e.idle_since.pop();
        }
        let idle = used.map_or(0, |t| now - t);
        let at_most_once = bundle.iter().filter(|id| self.is_at_most_once(&self.held[id])).count() as u32;
        let unproven = if used.is_none() { at_most_once } else { 0 };
        let credit = 0.75 + 0.5 * self.rng.f64();
        let (route, sent) = (route_id, now);
        let mut call =
            Call { route, endpoint, sent, overdue_at, late_after, idle, open, unproven, ..Call::default() };
        self.sent_this_turn.insert(dest_id);
        let mut unproven_left = self.unproven_limit(endpoint);
        for &id in &bundle {
            let timeout = self.timeout(&self.held[&id], &self.routes[&route_id]);
            call.timeout_at = call.timeout_at.max(now.saturating_add(timeout));
            let start_within = self.start_within(&self.held[&id]);
            // The expected idle connection may have ended, and a new one would replace it.
            let is_at_most_once = self.is_at_most_once(&self.held[&id]);
            let proven_only = is_at_most_once && unproven_left == 0;
            unproven_left = unproven_left.saturating_sub(u32::from(is_at_most_once));
            self.actions.push(Action::Send { id, endpoint, timeout, start_within, proven_only });
            if let Some(h) = self.held.get_mut(&id) {
                h.attempts.push(number);
                h.in_flight += 1;
            }
        }
        self.calls.insert(number, call);
        self.dests.entry(dest_id).and_modify(|dest| dest.queue.retain(|q| !bundle.contains(q)));
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            (e.in_flight, e.unproven) = (e.in_flight + 1, e.unproven + unproven);
            (e.use_gap, e.last_used) = (now - e.last_used, now);
            self.zone_shares.entry(e.zone).and_modify(|z| z.record_call(dest_id));
            // After a backoff one message of the class is sent; the others wait for its outcome.
            if let Some((_, until)) = e.backoffs.get_mut(&Some(class)).filter(|r| r.0 >= CLASS_ERRORS) {
                *until = now + ENDPOINT_BACKOFF;
            }
        }
        if let Some(r) = self.routes.get_mut(&route_id) {
            r.in_flight += 1;
            r.rate.record_sent(now);
            r.credit -= f64::from(u8::from(r.is_metered())) * credit;
            if let Breaker::Open { probe, .. } = &mut r.breaker {
                *probe = Some(number);
            }
        }
    }

    /// Returns the time-out, which follows the observed latency. A message that must not be repeated, or has
    /// no attempt left, would be lost by an early time-out, so it gets all the time that is left.
    fn timeout(&self, held: &Held, r: &Route) -> Micros {
        let c = &self.settings.classes[held.class];
        let time_left = held.expires.saturating_sub(self.now).max(1);
        if c.effect == Effect::AtMostOnce || held.attempt_count() + 1 >= self.settings.max_attempts as usize {
            return time_left;
        }
        ((TIMEOUT_FACTOR * r.latency.upper_bound(c.target_time)) as Micros).max(c.target_time).min(time_left)
    }

    /// Requests a wake-up at the next time at which something is due without an event.
    fn plan_wake(&mut self) {
        let now = self.now;
        let mut next = self.watch_at;
        let mut at = |time: Micros| {
            if time > now && time < next {
                next = time;
            }
        };
        for held in self.held.values().filter(|held| !held.done) {
            at(self.give_up_at(held));
            at(held.not_before);
        }
        self.keys.values().for_each(|queue| at(queue.1));
        self.calls.values().for_each(|call| at(call.overdue_at));
        for (dest_id, dest) in self.waiting() {
            let backoffs = dest.endpoints.iter().flat_map(|e| self.endpoints[e].backoffs.values());
            backoffs.for_each(|backoff| at(backoff.1));
            for (_, route) in self.routes.range(routes_of(dest_id)) {
                at(route.paused_until.max(route.rate.next_call_at(now)));
                let until = if let Breaker::Open { until, .. } = route.breaker { until } else { now };
                at(if route.is_metered() { until.max(now + CREDIT_CHECK) } else { now });
            }
        }
        if next < Micros::MAX && self.wake_at.is_none_or(|w| next < w) {
            self.actions.push(Action::WakeAt(next));
            self.wake_at = Some(next);
        }
    }
}

#[cfg(test)]
mod tests;
