//! Sending and receiving notes about routes.

use super::*;

impl Sender {
    /// Sends a note about a route to all other senders, since one sender of hundreds sees too little of a
    /// destination. Notes are rare: what was sent or received recently is not sent again.
    pub(super) fn send_note(&mut self, route_id: RouteId, report: Report) {
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let last = if matches!(report, Report::Full | Report::Scarce) {
            &mut route.refusal_note_at
        } else {
            &mut route.last_note
        };
        let is_wait = matches!(report, Report::Wait(_)); // These are sent only if the wait is new.
        if !self.settings.may_send_notes
            || self.settings.senders < 2
            || !is_wait && self.now < *last + MIN_NOTE_INTERVAL
        {
            return;
        }
        *last = if is_wait { *last } else { self.now.max(1) };
        self.actions.push(Action::Note { to: None, body: note::encode(report, route_id) });
    }

    /// Processes a note from another sender. Reports of a failing route from two senders, with no call
    /// served since, count like failures of this sender's calls; one report of a served call ends an outage.
    /// Unreadable notes are ignored, and lost ones cost only time.
    pub(super) fn receive_note(&mut self, from: u32, body: &[u8]) {
        let now = self.now;
        let Some((report, route_id)) = note::decode(body).filter(|_| self.settings.may_send_notes) else {
            return;
        };
        let spread = self.refusal_backoff(route_id) as f64 / 2.0;
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        match report {
            Report::Down => {
                let is_confirmed = route
                    .outage_report
                    .replace((from, now))
                    .is_some_and(|previous| previous.0 != from && now < previous.1 + NOTE_VALIDITY);
                if (is_confirmed || route.failures > 0) && !matches!(route.breaker, Breaker::Open { .. }) {
                    route.last_note = now;
                    route.open_breaker(now, true, 0);
                }
            }
            Report::Up => {
                let start = route.outage_start();
                (route.outage_report, route.failures, route.last_note) = (None, 0, now);
                if let Some(start) = start {
                    let is_long = now >= start + MIN_OUTAGE;
                    route.breaker = if is_long {
                        Breaker::SlowStart { since: now, gap: 0 }
                    } else {
                        route.breaker.resumed()
                    };
                    // Connections were refused because of the outage, not because they are scarce.
                    let concerns =
                        |id, e: &Endpoint| e.dest == route_id.0 && route_id.1.is_none_or(|only| only == id);
                    let endpoints = self.endpoints.iter_mut().filter(|(id, e)| concerns(**id, e));
                    endpoints.for_each(|(_, e)| e.refused_at = 0);
                }
            }
            Report::Full => {
                route.refusal_note_at = now;
                if now >= route.last_served + MIN_OUTAGE {
                    route.slow_down(now, PACE_NOTE_CUT);
                }
            }
            Report::Wait(ms) => {
                // The wait is respected only for a limited time, and the same sender cannot extend it: a
                // faulty sender must not block a destination for all. The ends are spread over the senders.
                let end = now + (Micros::from(ms) * MS).min(NOTE_VALIDITY);
                let is_extension = now < route.paused_until && route.wait_reporter == Some(from);
                if end > route.known_wait_until && !is_extension {
                    (route.known_wait_until, route.wait_reporter) = (end, Some(from));
                    route.paused_until = route.paused_until.max(end + (spread * self.rng.f64()) as Micros);
                }
            }
            Report::Scarce => {
                route.refusal_note_at = now;
                let kind = self.dests.get(&route_id.0).map_or(0, |d| d.kind);
                self.scarce_until[kind] = now + FORGET_AFTER;
                let same_kind = self.endpoints.iter().filter(|(_, e)| e.kind == kind).map(|(&id, _)| id);
                self.close_after_events.extend(same_kind);
            }
        }
    }
}
