//! Processing of outcomes: what the end of a call means for its messages, its route and its endpoint.

use super::*;

impl Sender {
    /// Records the end of an attempt, and queues its message again or ends it.
    pub(super) fn end_attempt(
        &mut self,
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        is_final: bool,
        allowance: Option<Allowance>,
    ) {
        let now = self.now;
        let Some(h) = self.held.get_mut(&id) else { return };
        let Some(call_number) = h.attempts.get_mut(attempt as usize) else { return };
        let number = std::mem::replace(call_number, u64::MAX);
        let Some(call) = self.calls.get_mut(&number) else { return };
        h.in_flight -= 1;
        // A reset in less than half the best latency, on a connection that had been idle: the endpoint had
        // closed it. That shows how long connections live and is no sign of load or health.
        let latency = self.routes.get(&call.route).map(|r| r.latency).unwrap_or_default();
        let (best, bound) = (latency.best(), latency.upper_bound(0));
        let was_dropped = outcome == Reset && call.idle > 0 && ((now - call.sent) as f64) < best / 2.0;
        if let Some(d) =
            self.dests.get_mut(&call.route.0).filter(|_| was_dropped && call.idle >= MIN_LEARNED_IDLE)
        {
            let max_idle = d.max_idle(now).min((call.idle as f64 * TRUSTED_IDLE_SHARE) as Micros);
            d.trusted_idle = (max_idle, now + FORGET_AFTER);
        }
        if let Some(r) = self.routes.get_mut(&call.route).filter(|_| !call.evaluated && !was_dropped) {
            match outcome {
                Reset | ConnectFailed => {
                    call.random_failure = r.connection_failures.record_failure() == FailureCause::Random
                }
                Served | Failed | Full { .. } | Spoilt => {
                    r.connection_failures.record_answer();
                    r.rate.record_answer(now, call.sent, matches!(outcome, Full { .. }));
                }
                TimedOut | Cancelled | Moot | NotSent => {}
            }
        }
        // The call had less time than answers usually take, so its time-out is no sign of load or health.
        let too_short = outcome == TimedOut && ((now - call.sent) as f64) < bound;
        let broke = matches!(outcome, Reset | ConnectFailed) && !was_dropped && !call.random_failure;
        let congestion = broke || matches!(outcome, Full { .. }) || outcome == TimedOut && !too_short;
        // Overload would have delayed later calls, too, so a lost call cuts nothing. All calls that one crash
        // breaks cut the window once.
        let was_cut = self.routes.get(&call.route).and_then(|r| r.last_cut).is_some_and(|t| call.sent < t);
        let cuts = congestion && !h.congested && !call.has_cut && !call.lost && (!broke || !was_cut);
        h.congested |= congestion;
        call.has_cut |= cuts;
        if matches!(outcome, Failed | Spoilt | TimedOut | Reset | Cancelled) {
            let run = (call.sent, call.endpoint);
            h.ran_at = Some(h.ran_at.map_or(run, |r| if r.0 <= run.0 { r } else { run }));
        }
        if matches!(outcome, Failed | ConnectFailed) {
            h.not_before = now + (MESSAGE_BACKOFF << h.attempt_count().min(4));
        }
        h.unsent += u32::from(outcome == NotSent);
        if matches!(outcome, TimedOut | Reset | Cancelled)
            && let Some(k) = h.key.as_ref().and_then(|k| self.keys.get_mut(k))
        {
            k.1 = k.1.max(now + self.settings.key_rest);
        }
        let (ended, class, mut was_full) = (*call, h.class, false);
        call.evaluated = true;
        call.open -= 1;
        if call.open == 0 {
            self.calls.remove(&number);
            self.life_table.record_end(&ended, outcome);
            self.routes.entry(ended.route).and_modify(|r| {
                r.life_table.record_end(&ended, outcome);
                (r.in_flight, r.lost) = (r.in_flight - 1, r.lost - u32::from(ended.lost));
            });
            if let Some(e) = self.endpoints.get_mut(&ended.endpoint) {
                (e.in_flight, e.unproven) = (e.in_flight - 1, e.unproven - ended.unproven);
                // A connection is refused at once, and a later call is served soon or without a sign of an
                // outage: the endpoint's connection table was full. In an outage it refuses all connections
                // meanwhile.
                let in_outage = |r: &Route| matches!(r.breaker, Breaker::Open { failed: true, .. });
                let no_outage = |r: &Route| !in_outage(r) && r.outage_report.is_none();
                let is_sound = self.routes.get(&ended.route).is_some_and(no_outage);
                let is_up = e.last_answer > 0 && (is_sound || now < e.last_answer + MIN_OUTAGE);
                was_full = outcome == Served && e.refused_at > e.last_answer && is_up;
                if outcome == ConnectFailed && is_up && now - ended.sent < self.settings.connect_timeout / 4 {
                    e.refused_at = now;
                }
                if matches!(outcome, Served | Failed | Full { .. } | Spoilt) {
                    e.last_answer = now;
                    if std::mem::take(&mut e.unproven) > 0 {
                        let other_calls = self.calls.values_mut().filter(|c| c.endpoint == ended.endpoint);
                        other_calls.for_each(|c| c.unproven = 0);
                    }
                }
                if was_full {
                    self.scarce_until[e.kind] = now + FORGET_AFTER;
                }
                if matches!(outcome, Served | Failed | Full { .. }) {
                    if !self.settings.connections_reported {
                        e.idle_since.push(now);
                    }
                    // A connection that would stay idle until it closes may be the one that another sender
                    // cannot open: hundreds of senders fill an endpoint's connection table. This costs
                    // handshakes.
                    if now < self.scarce_until[e.kind] && e.use_gap > self.settings.conn_idle / 8 {
                        e.idle_since.clear();
                        self.actions.push(Action::CloseIdle { endpoint: ended.endpoint });
                    }
                }
            }
        }
        let effective = if was_dropped || too_short { Spoilt } else { outcome };
        self.apply_outcome(number, Call { has_cut: cuts, ..ended }, class, effective, allowance);
        if was_full {
            self.send_note(ended.route, Report::Scarce);
        }
        let h = &self.held[&id];
        let can_retry = self.permitted(h).0 && now < self.give_up_at(h);
        match (is_final || outcome == Served || h.done, h.in_flight, can_retry) {
            (true, ..) => self.finish(id),
            (_, 0, true) => {
                self.enqueue(h.dest, id);
            }
            (_, 0, false) => self.give_up(id),
            _ => {}
        }
    }

    /// Returns the backoff after a refusal. The fewer messages this sender has for a destination, the more
    /// senders share it and add up their retries, and the longer is the backoff.
    pub(super) fn refusal_backoff(&self, route: RouteId) -> Micros {
        let rate = self.dests.get(&route.0).map_or(0.0, |d| d.arrival_rate(self.now)).max(f64::MIN_POSITIVE);
        let max = MAX_BACKOFF.min(MIN_BACKOFF * u64::from(self.settings.senders) / 4).max(MIN_BACKOFF);
        ((SEC as f64 * BACKOFF_SHARE / rate) as Micros).clamp(MIN_BACKOFF, max)
    }

    /// Applies the outcome of a call to its route and its endpoint.
    pub(super) fn apply_outcome(
        &mut self,
        number: u64,
        call: Call,
        class: usize,
        outcome: Outcome,
        allowance: Option<Allowance>,
    ) {
        let (now, route, sent) = (self.now, call.route, call.sent);
        let backoff = self.refusal_backoff(route);
        let (backoff, probe_wait) = (self.jitter(backoff), self.jitter(PROBE_WAIT));
        let local_backoff = if outcome == NotSent { self.jitter(LOCAL_BACKOFF) } else { 0 };
        let limit = self.slot_limit(route.0);
        let rate = self.dests.get(&route.0).map_or(0.0, |d| d.arrival_rate(now));
        let is_only = self.dests.get(&route.0).is_none_or(|d| d.per_endpoint || d.endpoints.len() < 2);
        let Some(r) = self.routes.get_mut(&route) else { return };
        let Some(e) = self.endpoints.get_mut(&call.endpoint) else { return };
        let was_probe = matches!(r.breaker, Breaker::Open { probe: Some(t), .. } if t == number);
        let was_open = matches!(r.breaker, Breaker::Open { .. });
        // At the floor the window is not cut and the cooldown does not restart.
        if call.has_cut && r.window > MIN_WINDOW {
            (r.window, r.last_cut, r.cut_by) =
                ((r.window * WINDOW_CUT).max(MIN_WINDOW), Some(now), Some(outcome));
        }
        let was_paused = now < r.paused_until;
        let mut wait_report = None;
        // Every message of a bundle may carry a wait, even after one of them timed out.
        if let Full { wait: Some(w) } = outcome {
            let end = now + w.min(MAX_TIME);
            r.paused_until = r.paused_until.max(end + backoff / 4);
            r.wait_until = r.paused_until;
            // Without a note each other sender would learn of the wait only by a refusal, and refused calls
            // may use up the limit.
            if end > r.known_wait_until + MIN_BACKOFF && w >= MIN_BACKOFF {
                wait_report = Some(Report::Wait((w / MS).try_into().unwrap_or(u32::MAX)));
            }
            r.known_wait_until = r.known_wait_until.max(end);
        }
        if call.evaluated {
            return;
        }
        let mut opened_by = None;
        match outcome {
            Served => {
                e.backoffs.retain(|c, _| c.is_some_and(|c| c != class));
                // If the connection was presumed dropped (`idle` is `MAX_TIME`), that was wrong: the message
                // was slow.
                self.trusted_idle.1 *= Micros::from(call.idle < MAX_TIME);
                let is_low = allowance.is_some_and(|a| a.left < LOW_ALLOWANCE && a.limit > 0.0);
                r.record_served(
                    now,
                    now.saturating_sub(sent),
                    is_low,
                    limit,
                    r.credit_rate(&self.settings, now, rate),
                );
            }
            Failed => {
                r.errors += 1;
                e.record_failure(Some(class), now, CLASS_ERRORS);
                opened_by = (was_probe || r.errors >= OPEN_ERRORS).then_some("errors");
            }
            Full { wait } => {
                if !was_paused && r.refusals >= OVERWHELMED_REFUSALS {
                    r.slow_down(now, WINDOW_CUT);
                }
                if wait.is_none() {
                    r.paused_until = r.paused_until.max(now + backoff);
                }
                r.refusals += 1;
                opened_by = was_probe.then_some("refuses all");
            }
            TimedOut | Reset | ConnectFailed => {
                e.idle_since.retain(|_| self.settings.connections_reported);
                // The endpoint of a lost call has been in backoff since the call was overdue.
                if !call.lost {
                    e.record_failure(None, now, if is_only { u32::MAX } else { 1 });
                }
                // If a call sent later was served, the call was slow or its endpoint failed; the route did
                // not.
                let is_failure = r.last_served <= sent;
                r.failures += u32::from(is_failure);
                r.last_failure = now;
                let opens = r.failures >= OPEN_FAILURES || !matches!(r.breaker, Breaker::Closed);
                opened_by = (is_failure && opens).then_some("calls fail");
            }
            NotSent => r.paused_until = r.paused_until.max(now + local_backoff),
            Spoilt | Cancelled | Moot => {}
        }
        match (&mut r.breaker, opened_by) {
            (Breaker::Open { failed, .. }, Some(_)) if !was_probe => *failed = true,
            (Breaker::Open { probe, .. }, None) if was_probe => *probe = None,
            (_, Some(_)) => r.open_breaker(now, true, probe_wait),
            _ => {}
        }
        let (was_reported, is_overwhelmed) = (r.outage_report.is_some(), r.refusals >= OVERWHELMED_REFUSALS);
        match (outcome, opened_by) {
            (Served, _) => r.outage_report = None,
            (_, Some(reason)) if !was_open => {
                self.log(route.0, &format!("held back: {reason}"));
                self.send_note(route, Report::Down);
            }
            (Full { .. }, _) if is_overwhelmed => self.send_note(route, Report::Full),
            _ => {}
        }
        if let Some(report) = wait_report {
            self.send_note(route, report);
        }
        if outcome == Served && (was_open || was_reported) {
            self.log(route.0, "answers again");
            self.send_note(route, Report::Up);
        }
    }
}
