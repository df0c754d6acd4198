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
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(call_number) = held.attempts.get_mut(attempt as usize) else { return };
        let number = std::mem::replace(call_number, u64::MAX);
        let Some(call) = self.calls.get_mut(&number) else { return };
        held.in_flight -= 1;
        // A reset in less than half the best latency, on a connection that had been idle: the endpoint had
        // closed it. That shows how long connections live and is no sign of load or health.
        let latency = self.routes.get(&call.route).map(|route| route.latency).unwrap_or_default();
        let (best, bound) = (latency.best(), latency.upper_bound(0));
        let was_dropped = outcome == Reset && call.idle > 0 && ((now - call.sent) as f64) < best / 2.0;
        if let Some(dest) =
            self.dests.get_mut(&call.route.0).filter(|_| was_dropped && call.idle >= MIN_LEARNED_IDLE)
        {
            let max_idle = dest.max_idle(now).min((call.idle as f64 * TRUSTED_IDLE_SHARE) as Micros);
            dest.trusted_idle = (max_idle, now + FORGET_AFTER);
        }
        if let Some(route) = self.routes.get_mut(&call.route).filter(|_| !call.evaluated && !was_dropped) {
            match outcome {
                Reset | ConnectFailed => {
                    call.random_failure = route.connection_failures.record_failure() == FailureCause::Random
                }
                Served | Failed | Full { .. } | Spoilt => {
                    route.connection_failures.record_answer();
                    route.rate.record_answer(now, call.sent, matches!(outcome, Full { .. }));
                }
                TimedOut | Cancelled | Moot | NotSent => {}
            }
        }
        // The call had less time than answers usually take, so its time-out is no sign of load or health.
        let too_short = outcome == TimedOut && ((now - call.sent) as f64) < bound;
        let broke = matches!(outcome, Reset | ConnectFailed) && !was_dropped && !call.random_failure;
        let congestion = broke || matches!(outcome, Full { .. }) || outcome == TimedOut && !too_short;
        // A call whose answer is lost cuts nothing: overload would have delayed later calls, too. All calls
        // that one crash breaks cut the window once.
        let was_cut =
            self.routes.get(&call.route).and_then(|route| route.last_cut).is_some_and(|t| call.sent < t);
        let cuts = congestion && !held.congested && !call.has_cut && !call.lost && (!broke || !was_cut);
        held.congested |= congestion;
        call.has_cut |= cuts;
        if matches!(outcome, Failed | Spoilt | TimedOut | Reset | Cancelled) {
            let run = (call.sent, call.endpoint);
            held.ran_at = Some(held.ran_at.map_or(run, |first| if first.0 <= run.0 { first } else { run }));
        }
        if matches!(outcome, Failed | ConnectFailed) {
            held.not_before = now + (MESSAGE_BACKOFF << held.attempt_count().min(4));
        }
        held.unsent += u32::from(outcome == NotSent);
        if matches!(outcome, TimedOut | Reset | Cancelled)
            && let Some(queue) = held.key.as_ref().and_then(|k| self.keys.get_mut(k))
        {
            queue.1 = queue.1.max(now + self.settings.key_rest);
        }
        let (ended, class, mut table_was_full) = (*call, held.class, false);
        call.evaluated = true;
        call.open -= 1;
        if call.open == 0 {
            self.calls.remove(&number);
            self.life_table.record_end(&ended, outcome);
            self.routes.entry(ended.route).and_modify(|route| {
                route.life_table.record_end(&ended, outcome);
                (route.in_flight, route.lost) = (route.in_flight - 1, route.lost - u32::from(ended.lost));
            });
            if let Some(endpoint) = self.endpoints.get_mut(&ended.endpoint) {
                (endpoint.in_flight, endpoint.unproven) =
                    (endpoint.in_flight - 1, endpoint.unproven - ended.unproven);
                // If a connection was refused at once, and a later call is served soon or without a sign of
                // an outage, the endpoint's connection table was full. In an outage the endpoint would have
                // refused all connections meanwhile.
                let in_outage = |route: &Route| matches!(route.breaker, Breaker::Open { failed: true, .. });
                let shows_none = |route: &Route| !in_outage(route) && route.outage_report.is_none();
                let no_outage = self.routes.get(&ended.route).is_some_and(shows_none);
                let is_up =
                    endpoint.last_answer > 0 && (no_outage || now < endpoint.last_answer + MIN_OUTAGE);
                table_was_full = outcome == Served && endpoint.refused_at > endpoint.last_answer && is_up;
                if outcome == ConnectFailed && is_up && now - ended.sent < self.settings.connect_timeout / 4 {
                    endpoint.refused_at = now;
                }
                if matches!(outcome, Served | Failed | Full { .. } | Spoilt) {
                    endpoint.last_answer = now;
                    if std::mem::take(&mut endpoint.unproven) > 0 {
                        let other_calls = self.calls.values_mut().filter(|c| c.endpoint == ended.endpoint);
                        other_calls.for_each(|c| c.unproven = 0);
                    }
                }
                if table_was_full {
                    self.scarce_until[endpoint.kind] = now + FORGET_AFTER;
                }
                if matches!(outcome, Served | Failed | Full { .. }) {
                    if !self.settings.connections_reported {
                        endpoint.idle_since.push(now);
                    }
                    // A connection that would stay idle until it closes may be the one that another sender
                    // cannot open: hundreds of senders fill an endpoint's connection table. Closing it costs
                    // a later handshake.
                    if now < self.scarce_until[endpoint.kind]
                        && endpoint.use_gap > self.settings.conn_idle / 8
                    {
                        self.close_after_events.insert(ended.endpoint);
                    }
                }
            }
        }
        let effective = if was_dropped || too_short { Spoilt } else { outcome };
        self.apply_outcome(number, Call { has_cut: cuts, ..ended }, class, effective, allowance);
        if table_was_full {
            self.send_note(ended.route, Report::Scarce);
        }
        let held = &self.held[&id];
        let can_retry = self.permitted(held).0 && now < self.give_up_at(held);
        match (is_final || outcome == Served || held.done, held.in_flight, can_retry) {
            (true, ..) => self.finish(id),
            (_, 0, true) => {
                self.enqueue(held.dest, id);
            }
            (_, 0, false) => self.give_up(id),
            _ => {}
        }
    }

    /// Returns the backoff after a refusal. The fewer messages this sender has for a destination, the more
    /// senders share it and add up their retries, and the longer is the backoff.
    pub(super) fn refusal_backoff(&self, route_id: RouteId) -> Micros {
        let rate =
            self.dests.get(&route_id.0).map_or(0.0, |d| d.arrival_rate(self.now)).max(f64::MIN_POSITIVE);
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
        let (now, route_id, sent) = (self.now, call.route, call.sent);
        let backoff = self.refusal_backoff(route_id);
        let (backoff, probe_wait) = (self.jitter(backoff), self.jitter(PROBE_WAIT));
        let local_backoff = if outcome == NotSent { self.jitter(LOCAL_BACKOFF) } else { 0 };
        let max_window = self.slot_limit(route_id.0);
        let arrival_rate = self.dests.get(&route_id.0).map_or(0.0, |d| d.arrival_rate(now));
        let is_sole = self.dests.get(&route_id.0).is_none_or(|d| d.per_endpoint || d.endpoints.len() < 2);
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        let was_probe = matches!(route.breaker, Breaker::Open { probe: Some(probe), .. } if probe == number);
        let was_open = matches!(route.breaker, Breaker::Open { .. });
        // A window at its minimum is not cut, and the cooldown does not restart.
        if call.has_cut && route.window > MIN_WINDOW {
            (route.window, route.last_cut, route.cut_by) =
                ((route.window * WINDOW_CUT).max(MIN_WINDOW), Some(now), Some(outcome));
        }
        let was_paused = now < route.paused_until;
        let mut wait_report = None;
        // Any message of a bundle may carry a wait, also after the outcome of its call has been evaluated.
        if let Full { wait: Some(wait) } = outcome {
            let end = now + wait.min(MAX_TIME);
            route.paused_until = route.paused_until.max(end + backoff / 4);
            route.wait_until = route.paused_until;
            // Without a note each other sender would learn of the wait only by a refusal, and refused calls
            // may use up the limit.
            if end > route.known_wait_until + MIN_BACKOFF && wait >= MIN_BACKOFF {
                wait_report = Some(Report::Wait((wait / MS).try_into().unwrap_or(u32::MAX)));
            }
            route.known_wait_until = route.known_wait_until.max(end);
        }
        if call.evaluated {
            return;
        }
        let mut opened_by = None;
        match outcome {
            Served => {
                endpoint.backoffs.retain(|c, _| c.is_some_and(|c| c != class));
                // If the connection was presumed dropped (`idle` is `MAX_TIME`), that was wrong: the message
                // was slow. The limit on idle times that this set is withdrawn.
                self.trusted_idle.1 *= Micros::from(call.idle < MAX_TIME);
                let is_low = allowance.is_some_and(|a| a.left < LOW_ALLOWANCE && a.limit > 0.0);
                route.record_served(
                    now,
                    now.saturating_sub(sent),
                    is_low,
                    max_window,
                    route.credit_rate(&self.settings, now, arrival_rate),
                );
            }
            Failed => {
                route.errors += 1;
                endpoint.record_failure(Some(class), now, CLASS_ERRORS);
                opened_by = (was_probe || route.errors >= OPEN_ERRORS).then_some("errors");
            }
            Full { wait } => {
                if !was_paused && route.refusals >= OVERWHELMED_REFUSALS {
                    route.slow_down(now, WINDOW_CUT);
                }
                if wait.is_none() {
                    route.paused_until = route.paused_until.max(now + backoff);
                }
                route.refusals += 1;
                opened_by = was_probe.then_some("refuses all");
            }
            TimedOut | Reset | ConnectFailed => {
                endpoint.idle_since.retain(|_| self.settings.connections_reported);
                // The endpoint of a lost call has been in backoff since the call was overdue.
                if !call.lost {
                    endpoint.record_failure(None, now, if is_sole { u32::MAX } else { 1 });
                }
                // If a call sent later was served, this call was slow or its endpoint failed, but not the
                // route.
                let is_failure = route.last_served <= sent;
                route.failures += u32::from(is_failure);
                route.last_failure = now;
                let opens = route.failures >= OPEN_FAILURES || !matches!(route.breaker, Breaker::Closed);
                opened_by = (is_failure && opens).then_some("calls fail");
            }
            NotSent => route.paused_until = route.paused_until.max(now + local_backoff),
            Spoilt | Cancelled | Moot => {}
        }
        match (&mut route.breaker, opened_by) {
            (Breaker::Open { failed, .. }, Some(_)) if !was_probe => *failed = true,
            (Breaker::Open { probe, .. }, None) if was_probe => *probe = None,
            (_, Some(_)) => route.open_breaker(now, true, probe_wait),
            _ => {}
        }
        let (was_reported, is_overwhelmed) =
            (route.outage_report.is_some(), route.refusals >= OVERWHELMED_REFUSALS);
        match (outcome, opened_by) {
            (Served, _) => route.outage_report = None,
            (_, Some(reason)) if !was_open => {
                self.log(route_id.0, &format!("held back: {reason}"));
                self.send_note(route_id, Report::Down);
            }
            (Full { .. }, _) if is_overwhelmed => self.send_note(route_id, Report::Full),
            _ => {}
        }
        if let Some(report) = wait_report {
            self.send_note(route_id, report);
        }
        if outcome == Served && (was_open || was_reported) {
            self.log(route_id.0, "answers again");
            self.send_note(route_id, Report::Up);
        }
    }
}
