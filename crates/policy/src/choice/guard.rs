//! Which guard keeps a message: the one place where a candidate is turned down.

use super::*;

/// Of two guards that may hold, the one that lets go last.
fn both(a: Option<Hold>, b: Option<Hold>) -> Option<Hold> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.later(b)),
        (a, b) => a.or(b),
    }
}

impl Sender {
    /// Whether the route may start a call now; true if it would be a breaker's trial.
    pub(super) fn route_ready(&self, r: &Route, flow: f64) -> Result<bool, Hold> {
        let mut hold = None;
        let due = r.rest_until.max(r.rate.due(self.now));
        if self.now < due {
            let guard = if due <= r.told_until { Guard::Wait } else { Guard::Rest };
            hold = Some(Hold::until(guard, due));
        }
        if r.metered() && r.credit < 1.0 {
            let guard = match r.health {
                Health::Closed => Guard::Pace,
                Health::Ramp { .. } => Guard::Cold,
                Health::Open { .. } => Guard::Breaker,
            };
            let due = (1.0 - r.credit) / r.refill(&self.set, self.now, flow) * SEC as f64;
            hold = both(hold, Some(Hold::until(guard, self.now + 1 + due as Micros)));
        }
        let trial = match &r.health {
            Health::Open { trial: Some(_), .. } => {
                hold = both(hold, Some(Hold::until_event(Guard::Breaker)));
                true
            }
            Health::Open { until, .. } => {
                let closed = (self.now < *until).then(|| Hold::until(Guard::Breaker, *until));
                hold = both(hold, closed);
                true
            }
            _ => {
                let full = r.room() == 0;
                hold = both(hold, full.then(|| Hold::until_event(Guard::Window)));
                false
            }
        };
        hold.map_or(Ok(trial), Err)
    }

    /// Holds a destination that has its share of the slots: what hangs there must leave room for others.
    pub(super) fn share_hold(&self, dest: DestinationId) -> Option<Hold> {
        (self.share_room(dest) == 0).then(|| Hold::until_event(Guard::Share))
    }

    /// Calls that a destination may still start before it holds its share of the slots.
    pub(super) fn share_room(&self, dest: DestinationId) -> usize {
        let total: u32 = self.routes.range(routes_of(dest)).map(|(_, r)| r.out).sum();
        (self.ceiling(dest) as usize).saturating_sub(total as usize)
    }

    /// Holds an endpoint for all messages.
    pub(super) fn endpoint_hold(&self, id: EndpointId) -> Option<Hold> {
        let e = &self.endpoints[&id];
        if !e.live {
            return Some(Hold::until_event(Guard::Drained));
        }
        if self.left_alone(e) {
            return Some(Hold::until_event(Guard::Zone));
        }
        let mut fellows = self.dests[&e.dest].endpoints.iter().map(|o| &self.endpoints[o]);
        // Cold among others that serve: one call at a time, so that it is not pushed over.
        if self.now < e.cold_until && e.out > 0 && fellows.any(|o| o.live && self.now >= o.cold_until) {
            return Some(Hold::until_event(Guard::Cold));
        }
        // A rest is a preference: where all live endpoints rest, the route's breaker decides on trials.
        let rest = self.rest(e)?;
        let mut others = self.dests[&e.dest].endpoints.iter().map(|o| &self.endpoints[o]);
        let other = others.any(|o| o.live && self.rest(o).is_none() && !self.left_alone(o));
        other.then(|| Hold::until(Guard::Endpoint, rest))
    }

    /// Whether its zone is left, or has had its share, and its destination has endpoints in one that is not.
    /// It guards against each sender paying for its own time-outs where the fleet knows that a zone fails,
    /// and against all coming back at once.
    fn left_alone(&self, e: &Endpoint) -> bool {
        let whole = |zone: u32| self.leans.get(&zone).is_none_or(|l| l.is_whole_for(e.dest));
        let mut others = self.dests[&e.dest].endpoints.iter().map(|o| &self.endpoints[o]);
        !whole(e.zone) && !self.is_due(e) && others.any(|o| o.live && whole(o.zone))
    }

    /// Whether the next call of its destination goes to its zone.
    pub(super) fn is_due(&self, e: &Endpoint) -> bool {
        self.leans.get(&e.zone).is_some_and(|l| l.due(e.dest))
    }

    /// Whether that call would be the one that tries its zone.
    pub(super) fn is_tried(&self, id: EndpointId) -> bool {
        let e = &self.endpoints[&id];
        self.leans.get(&e.zone).is_some_and(|l| l.tries(e.dest))
    }

    /// Until when an endpoint rests.
    pub(super) fn rest(&self, e: &Endpoint) -> Option<Micros> {
        e.rests.get(&None).map(|r| r.1).filter(|&until| self.now < until)
    }

    /// Holds a message, whatever room there is.
    pub(super) fn message_hold(&self, id: MessageId, endpoint: EndpointId) -> Option<Hold> {
        let h = &self.held[&id];
        let mut hold = None;
        if let Some(r) = self.endpoints[&endpoint].rests.get(&Some(h.class)).filter(|r| self.now < r.1) {
            hold = Some(Hold::until(Guard::ClassRest, r.1));
        }
        if self.now < h.not_before {
            hold = both(hold, Some(Hold::until(Guard::Again, h.not_before)));
        }
        if !self.may(h).0 {
            hold = both(hold, Some(Hold::until_event(Guard::Spent)));
        } else if !self.may_go_to(h, endpoint) {
            hold = both(hold, Some(Hold::until_event(Guard::Repeat)));
        }
        if self.is_unsafe(h) && self.endpoints[&endpoint].unheard > 0 && self.unsafe_room(endpoint) == 0 {
            hold = both(hold, Some(Hold::until_event(Guard::Unproven)));
        }
        let Some(k) = h.key.as_ref().and_then(|k| self.keys.get(k)) else { return hold };
        if k.0.front() != Some(&id) {
            hold = both(hold, Some(Hold::until_event(Guard::Key)));
        } else if self.now < k.1 {
            hold = both(hold, Some(Hold::until(Guard::Key, k.1)));
        }
        hold
    }

    pub(super) fn sendable(&self, id: MessageId, endpoint: EndpointId) -> bool {
        self.message_hold(id, endpoint).is_none()
    }

    /// The guard that keeps each message that is held and not out, as of the last turn: of an endpoint's
    /// guards the one that lets go last, and of its endpoints the one that would be free first.
    pub fn holds(&self) -> Vec<(MessageId, DestinationId, Hold)> {
        let full = self.calls.len() >= self.set.slots as usize;
        let mut all = Vec::new();
        for (dest, d) in self.waiting() {
            let (share, flow) = (self.share_hold(dest), d.flow(self.now));
            let end = |&id: &EndpointId| {
                let route = self.routes.get(&(dest, d.per_endpoint.then_some(id)));
                let route = route
                    .map_or(Some(Hold::until_event(Guard::Drained)), |r| self.route_ready(r, flow).err());
                (id, both(both(share, self.endpoint_hold(id)), route))
            };
            let ends: Vec<(EndpointId, Option<Hold>)> = d.endpoints.iter().map(end).collect();
            for &id in &d.queue {
                let held = ends.iter().map(|(e, h)| both(*h, self.message_hold(id, *e)));
                let first = held.min_by_key(|h| h.map(|h| (h.until.is_none(), h.until)));
                let passed = self.passed.contains(&dest);
                let hold = match first {
                    None => Hold::until_event(Guard::Drained),
                    Some(None) if full && self.passed.is_empty() => Hold::until_event(Guard::Slots),
                    Some(None) => Hold::until_event(Guard::Order),
                    Some(Some(h)) if passed && h.guard.is_capacity_limit() => Hold::until_event(Guard::Order),
                    Some(Some(h)) => h,
                };
                all.push((id, dest, hold));
            }
        }
        all
    }
}
