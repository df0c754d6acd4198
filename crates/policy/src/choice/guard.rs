//! The guards that hold messages. Candidates are rejected only here.

use super::*;

/// Returns the later of two optional holds.
fn later_of(a: Option<Hold>, b: Option<Hold>) -> Option<Hold> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.later(b)),
        (a, b) => a.or(b),
    }
}

impl Sender {
    /// Returns the hold on a route, or `Ok` if it may start a call now. The value states whether that call
    /// is a probe of the breaker.
    pub(super) fn check_route(&self, route: &Route, arrival_rate: f64) -> Result<bool, Hold> {
        let mut hold = None;
        let due = route.paused_until.max(route.rate.next_call_at(self.now));
        if self.now < due {
            let guard = if due <= route.wait_until { Guard::Wait } else { Guard::Rest };
            hold = Some(Hold::until(guard, due));
        }
        if route.is_metered() && route.credit < 1.0 {
            let guard = match route.breaker {
                Breaker::Closed => Guard::Pace,
                Breaker::SlowStart { .. } => Guard::Cold,
                Breaker::Open { .. } => Guard::Breaker,
            };
            let due =
                (1.0 - route.credit) / route.credit_rate(&self.settings, self.now, arrival_rate) * SEC as f64;
            hold = later_of(hold, Some(Hold::until(guard, self.now + 1 + due as Micros)));
        }
        let probe = match &route.breaker {
            Breaker::Open { probe: Some(_), .. } => {
                hold = later_of(hold, Some(Hold::until_event(Guard::Breaker)));
                true
            }
            Breaker::Open { until, .. } => {
                let not_due = (self.now < *until).then(|| Hold::until(Guard::Breaker, *until));
                hold = later_of(hold, not_due);
                true
            }
            _ => {
                let full = route.free_window() == 0;
                hold = later_of(hold, full.then(|| Hold::until_event(Guard::Window)));
                false
            }
        };
        hold.map_or(Ok(probe), Err)
    }

    /// Returns the hold on a destination that occupies its share of the slots: calls that hang there must
    /// leave slots for others.
    pub(super) fn share_hold(&self, dest: DestinationId) -> Option<Hold> {
        (self.share_room(dest) == 0).then(|| Hold::until_event(Guard::Share))
    }

    /// Returns how many calls a destination may start until it occupies its share of the slots.
    pub(super) fn share_room(&self, dest: DestinationId) -> usize {
        let in_flight: u32 = self.routes.range(routes_of(dest)).map(|(_, r)| r.in_flight).sum();
        (self.slot_limit(dest) as usize).saturating_sub(in_flight as usize)
    }

    /// Returns the hold on an endpoint for all messages.
    pub(super) fn endpoint_hold(&self, id: EndpointId) -> Option<Hold> {
        let endpoint = &self.endpoints[&id];
        if !endpoint.live {
            return Some(Hold::until_event(Guard::Drained));
        }
        if self.avoids_zone(endpoint) {
            return Some(Hold::until_event(Guard::Zone));
        }
        let mut others = self.dests[&endpoint.dest].endpoints.iter().map(|o| &self.endpoints[o]);
        // An endpoint in slow start gets one call at a time while others are not in slow start, so that it is
        // not overloaded.
        if self.now < endpoint.warm_up_until
            && endpoint.in_flight > 0
            && others.any(|o| o.live && self.now >= o.warm_up_until)
        {
            return Some(Hold::until_event(Guard::Cold));
        }
        // A backoff is a preference: if all live endpoints back off, the route's breaker decides on probes.
        let until = self.backoff_until(endpoint)?;
        let mut others = self.dests[&endpoint.dest].endpoints.iter().map(|o| &self.endpoints[o]);
        let has_other = others.any(|o| o.live && self.backoff_until(o).is_none() && !self.avoids_zone(o));
        has_other.then(|| Hold::until(Guard::Endpoint, until))
    }

    /// Returns whether an endpoint is avoided for its zone: the zone is evacuated or has had its share, and
    /// the destination has live endpoints in unaffected zones. Each sender is spared time-outs in a zone
    /// that the fleet knows to fail, and the senders do not return to it all at once.
    fn avoids_zone(&self, endpoint: &Endpoint) -> bool {
        let is_full = |zone: u32| self.zone_shares.get(&zone).is_none_or(|z| z.is_full_for(endpoint.dest));
        let mut others = self.dests[&endpoint.dest].endpoints.iter().map(|o| &self.endpoints[o]);
        !is_full(endpoint.zone) && !self.zone_due(endpoint) && others.any(|o| o.live && is_full(o.zone))
    }

    /// Returns whether the next call to the endpoint's destination goes to the endpoint's zone.
    pub(super) fn zone_due(&self, endpoint: &Endpoint) -> bool {
        self.zone_shares.get(&endpoint.zone).is_some_and(|z| z.is_due(endpoint.dest))
    }

    /// Returns whether the next call to the endpoint's destination is the probe of the endpoint's zone.
    pub(super) fn is_zone_probe(&self, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[&id];
        self.zone_shares.get(&endpoint.zone).is_some_and(|z| z.is_probe_due(endpoint.dest))
    }

    /// Returns the end of an endpoint's backoff for all classes, if it is in one.
    pub(super) fn backoff_until(&self, endpoint: &Endpoint) -> Option<Micros> {
        endpoint.backoffs.get(&None).map(|r| r.1).filter(|&until| self.now < until)
    }

    /// Returns the hold on a message at an endpoint, regardless of capacity.
    pub(super) fn message_hold(&self, id: MessageId, endpoint: EndpointId) -> Option<Hold> {
        let held = &self.held[&id];
        let mut hold = None;
        if let Some(backoff) =
            self.endpoints[&endpoint].backoffs.get(&Some(held.class)).filter(|backoff| self.now < backoff.1)
        {
            hold = Some(Hold::until(Guard::ClassRest, backoff.1));
        }
        if self.now < held.not_before {
            hold = later_of(hold, Some(Hold::until(Guard::Again, held.not_before)));
        }
        if !self.permitted(held).0 {
            hold = later_of(hold, Some(Hold::until_event(Guard::Spent)));
        } else if !self.may_go_to(held, endpoint) {
            hold = later_of(hold, Some(Hold::until_event(Guard::Repeat)));
        }
        if self.is_at_most_once(held)
            && self.endpoints[&endpoint].unproven > 0
            && self.unproven_room(endpoint) == 0
        {
            hold = later_of(hold, Some(Hold::until_event(Guard::Unproven)));
        }
        let Some(queue) = held.key.as_ref().and_then(|k| self.keys.get(k)) else { return hold };
        if queue.0.front() != Some(&id) {
            hold = later_of(hold, Some(Hold::until_event(Guard::Key)));
        } else if self.now < queue.1 {
            hold = later_of(hold, Some(Hold::until(Guard::Key, queue.1)));
        }
        hold
    }

    /// Returns whether nothing but capacity holds a message at an endpoint.
    pub(super) fn is_sendable(&self, id: MessageId, endpoint: EndpointId) -> bool {
        self.message_hold(id, endpoint).is_none()
    }

    /// Returns the hold on each queued message as of the last turn: of all holds at an endpoint the one that
    /// ends last, and of all endpoints the one that is available first.
    pub fn holds(&self) -> Vec<(MessageId, DestinationId, Hold)> {
        let no_slots = self.calls.len() >= self.settings.slots as usize;
        let mut all = Vec::new();
        for (dest_id, dest) in self.waiting() {
            let (share_hold, rate) = (self.share_hold(dest_id), dest.arrival_rate(self.now));
            let hold_at = |&id: &EndpointId| {
                let route = self.routes.get(&(dest_id, dest.per_endpoint.then_some(id)));
                let route_hold = route
                    .map_or(Some(Hold::until_event(Guard::Drained)), |r| self.check_route(r, rate).err());
                (id, later_of(later_of(share_hold, self.endpoint_hold(id)), route_hold))
            };
            let endpoint_holds: Vec<(EndpointId, Option<Hold>)> =
                dest.endpoints.iter().map(hold_at).collect();
            for &id in &dest.queue {
                let options = endpoint_holds
                    .iter()
                    .map(|(endpoint, hold)| later_of(*hold, self.message_hold(id, *endpoint)));
                let first = options.min_by_key(|h| h.map(|h| (h.until.is_none(), h.until)));
                let was_sent_to = self.sent_this_turn.contains(&dest_id);
                let hold = match first {
                    None => Hold::until_event(Guard::Drained),
                    Some(None) if no_slots && self.sent_this_turn.is_empty() => {
                        Hold::until_event(Guard::Slots)
                    }
                    Some(None) => Hold::until_event(Guard::Order),
                    Some(Some(hold)) if was_sent_to && hold.guard.is_capacity_limit() => {
                        Hold::until_event(Guard::Order)
                    }
                    Some(Some(hold)) => hold,
                };
                all.push((id, dest_id, hold));
            }
        }
        all
    }
}
