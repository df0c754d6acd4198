//! What the end of a call says of its messages, its route and its endpoint.

use super::*;

impl Sender {
    pub(super) fn ended(
        &mut self,
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        is_final: bool,
        told: Option<Allowance>,
    ) {
        let now = self.now;
        let Some(h) = self.held.get_mut(&id) else { return };
        let Some(slot) = h.attempts.get_mut(attempt as usize) else { return };
        let call_id = std::mem::replace(slot, u64::MAX);
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        h.out -= 1;
        // Reset sooner than any answer ever came, on a connection that had been idle: nobody was there. That
        // tells how long connections live, and nothing of load or health.
        let latency = self.routes.get(&call.route).map(|r| r.latency).unwrap_or_default();
        let (best, usual) = (latency.best(), latency.upper_bound(0));
        let stale = outcome == Reset && call.idle > 0 && ((now - call.sent) as f64) < best / 2.0;
        if let Some(d) = self.dests.get_mut(&call.route.0).filter(|_| stale && call.idle >= CROSSING) {
            let safe = d.trusted(now).min((call.idle as f64 * IDLE_SHARE) as Micros);
            d.idle_safe = (safe, now + FORGET);
        }
        if let Some(r) = self.routes.get_mut(&call.route).filter(|_| !call.judged && !stale) {
            match outcome {
                Reset | ConnectFailed => call.chance = r.breaks.broke() == Says::Chance,
                Served | Failed | Full { .. } | Spoilt => {
                    r.breaks.answered();
                    r.rate.answered(now, call.sent, matches!(outcome, Full { .. }));
                }
                TimedOut | Cancelled | Moot | NotSent => {}
            }
        }
        // It had less time than usual answers take: that it ran out says nothing of load or health.
        let short = outcome == TimedOut && ((now - call.sent) as f64) < usual;
        let broken = matches!(outcome, Reset | ConnectFailed) && !stale && !call.chance;
        let congestion = broken || matches!(outcome, Full { .. }) || outcome == TimedOut && !short;
        // Overload would have held back also what was sent later; what one crash breaks was cut for once.
        let known = self.routes.get(&call.route).and_then(|r| r.last_cut).is_some_and(|t| call.sent < t);
        let cut = congestion && !h.congested && !call.cut && !call.lost && (!broken || !known);
        h.congested |= congestion;
        call.cut |= cut;
        if matches!(outcome, Failed | Spoilt | TimedOut | Reset | Cancelled) {
            let run = (call.sent, call.endpoint);
            h.ran_at = Some(h.ran_at.map_or(run, |r| if r.0 <= run.0 { r } else { run }));
        }
        if matches!(outcome, Failed | ConnectFailed) {
            h.not_before = now + (AGAIN << h.tries().min(4));
        }
        h.unsent += u32::from(outcome == NotSent);
        if matches!(outcome, TimedOut | Reset | Cancelled)
            && let Some(k) = h.key.as_ref().and_then(|k| self.keys.get_mut(k))
        {
            k.1 = k.1.max(now + self.set.key_rest);
        }
        let (ended, class, mut room) = (*call, h.class, false);
        call.judged = true;
        call.open -= 1;
        if call.open == 0 {
            self.calls.remove(&call_id);
            self.late.end(&ended, outcome);
            self.routes.entry(ended.route).and_modify(|r| {
                r.late.end(&ended, outcome);
                (r.out, r.lost) = (r.out - 1, r.lost - u32::from(ended.lost));
            });
            if let Some(e) = self.endpoints.get_mut(&ended.endpoint) {
                (e.out, e.unheard) = (e.out - 1, e.unheard - ended.unheard);
                // Turned away at the door at once, and served soon after or with no word of an outage: a full
                // table. A destination that was down refused all for as long as that.
                let known = |r: &Route| matches!(r.health, Health::Open { failed: true, .. });
                let quiet = |r: &Route| !known(r) && r.heard.is_none();
                let sound = self.routes.get(&ended.route).is_some_and(quiet);
                let up = e.answered > 0 && (sound || now < e.answered + OUTAGE_LEAST);
                room = outcome == Served && e.no_room > e.answered && up;
                if outcome == ConnectFailed && up && now - ended.sent < self.set.connect_timeout / 4 {
                    e.no_room = now;
                }
                if matches!(outcome, Served | Failed | Full { .. } | Spoilt) {
                    e.answered = now;
                    if std::mem::take(&mut e.unheard) > 0 {
                        let others = self.calls.values_mut().filter(|c| c.endpoint == ended.endpoint);
                        others.for_each(|c| c.unheard = 0);
                    }
                }
                if room {
                    self.scarce[e.kind] = now + FORGET;
                }
                if matches!(outcome, Served | Failed | Full { .. }) {
                    if !self.set.connections_reported {
                        e.idle.push(now);
                    }
                    // A connection that would lie idle until it closes may be the one that another sender
                    // cannot get: hundreds of senders fill what an endpoint accepts. Costs handshakes.
                    if now < self.scarce[e.kind] && e.gap > self.set.conn_idle / 8 {
                        e.idle.clear();
                        self.out.push(Action::CloseIdle { endpoint: ended.endpoint });
                    }
                }
            }
        }
        let said = if stale || short { Spoilt } else { outcome };
        self.judge(call_id, Call { cut, ..ended }, class, said, told);
        if room {
            self.tell(ended.route, Word::Scarce);
        }
        let h = &self.held[&id];
        let again = self.may(h).0 && now < self.answer_by(h);
        match (is_final || outcome == Served || h.done, h.out, again) {
            (true, ..) => self.finish(id),
            (_, 0, true) => {
                self.enqueue(h.dest, id);
            }
            (_, 0, false) => self.give_up(id),
            _ => {}
        }
    }

    /// How long to rest after a refusal: the less a sender has for a destination, the more senders share it,
    /// and their tries add up.
    pub(super) fn rest_span(&self, route: RouteId) -> Micros {
        let flow = self.dests.get(&route.0).map_or(0.0, |d| d.flow(self.now)).max(f64::MIN_POSITIVE);
        let most = REST_MOST.min(REST * u64::from(self.set.senders) / 4).max(REST);
        ((SEC as f64 * REST_FLOW / flow) as Micros).clamp(REST, most)
    }

    /// What a call's end says of its destination and endpoint.
    pub(super) fn judge(
        &mut self,
        id: u64,
        call: Call,
        class: usize,
        outcome: Outcome,
        told: Option<Allowance>,
    ) {
        let (now, route, sent) = (self.now, call.route, call.sent);
        let span = self.rest_span(route);
        let (rest, trial_wait) = (self.jitter(span), self.jitter(TRIAL_WAIT));
        let local_rest = if outcome == NotSent { self.jitter(LOCAL_REST) } else { 0 };
        let ceiling = self.ceiling(route.0);
        let flow = self.dests.get(&route.0).map_or(0.0, |d| d.flow(now));
        let alone = self.dests.get(&route.0).is_none_or(|d| d.per_endpoint || d.endpoints.len() < 2);
        let Some(r) = self.routes.get_mut(&route) else { return };
        let Some(e) = self.endpoints.get_mut(&call.endpoint) else { return };
        let was_trial = matches!(r.health, Health::Open { trial: Some(t), .. } if t == id);
        let was_open = matches!(r.health, Health::Open { .. });
        // At its floor nothing can be cut, and the cooldown is not renewed.
        if call.cut && r.window > FLOOR {
            (r.window, r.last_cut, r.cut_by) = ((r.window * CUT).max(FLOOR), Some(now), Some(outcome));
        }
        let resting = now < r.rest_until;
        let mut news = None;
        // Every message of a bundle may bring a wait, also behind one that timed out earlier.
        if let Full { wait: Some(w) } = outcome {
            let end = now + w.min(FAR);
            r.rest_until = r.rest_until.max(end + rest / 4);
            r.told_until = r.rest_until;
            // Else each sender must be refused to learn of it, and refused calls may use up the limit.
            if end > r.wait_known + REST && w >= REST {
                news = Some(Word::Wait((w / MS).try_into().unwrap_or(u32::MAX)));
            }
            r.wait_known = r.wait_known.max(end);
        }
        if call.judged {
            return;
        }
        let mut open = None;
        match outcome {
            Served => {
                e.rests.retain(|c, _| c.is_some_and(|c| c != class));
                // It was the message that was slow, not the connection that was gone.
                self.idle_safe.1 *= Micros::from(call.idle < FAR);
                let low = told.is_some_and(|a| a.left < LOW_ALLOWANCE && a.limit > 0.0);
                r.served(now, now.saturating_sub(sent), low, ceiling, r.refill(&self.set, now, flow));
            }
            Failed => {
                r.errors += 1;
                e.fail(Some(class), now, ERRORS_REST);
                open = (was_trial || r.errors >= ERRORS_OPEN).then_some("errors");
            }
            Full { wait } => {
                if !resting && r.fulls >= DROWNED {
                    r.slow_down(now, CUT);
                }
                if wait.is_none() {
                    r.rest_until = r.rest_until.max(now + rest);
                }
                r.fulls += 1;
                open = was_trial.then_some("refuses all");
            }
            TimedOut | Reset | ConnectFailed => {
                e.idle.retain(|_| self.set.connections_reported);
                // A lost call's endpoint rests since it was overdue.
                if !call.lost {
                    e.fail(None, now, if alone { u32::MAX } else { 1 });
                }
                // Served since it was sent: slow or one endpoint's trouble, no outage of the route.
                let bad = r.last_ok <= sent;
                r.fails += u32::from(bad);
                r.failed_at = now;
                let weak = r.fails >= FAILS_OPEN || !matches!(r.health, Health::Closed);
                open = (bad && weak).then_some("calls fail");
            }
            NotSent => r.rest_until = r.rest_until.max(now + local_rest),
            Spoilt | Cancelled | Moot => {}
        }
        match (&mut r.health, open) {
            (Health::Open { failed, .. }, Some(_)) if !was_trial => *failed = true,
            (Health::Open { trial, .. }, None) if was_trial => *trial = None,
            (_, Some(_)) => r.open(now, true, trial_wait),
            _ => {}
        }
        let (noted, drowned) = (r.heard.is_some(), r.fulls >= DROWNED);
        match (outcome, open) {
            (Served, _) => r.heard = None,
            (_, Some(why)) if !was_open => {
                self.log(route.0, &format!("held back: {why}"));
                self.tell(route, Word::Down);
            }
            (Full { .. }, _) if drowned => self.tell(route, Word::Full),
            _ => {}
        }
        if let Some(word) = news {
            self.tell(route, word);
        }
        if outcome == Served && (was_open || noted) {
            self.log(route.0, "answers again");
            self.tell(route, Word::Up);
        }
    }
}
