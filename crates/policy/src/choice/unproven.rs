//! Limits on at-most-once messages on unproven connections, which have not carried an answer yet.
//!
//! A new connection may stay silent for ever. An at-most-once message on it may have run, so it cannot be
//! repeated and is lost to its client, with or without a restart. Therefore few such messages are sent on
//! new connections to an endpoint until it has answered. Repeatable messages are sent as usual and show
//! whether it answers.

use super::*;

/// The most at-most-once messages in flight on new connections to an endpoint that has not answered since
/// they were sent: for an endpoint that answered recently before, and for any other.
const UNPROVEN_RECENT: u32 = 4;
const UNPROVEN_OTHER: u32 = 1;

impl Sender {
    /// Returns whether a call to the endpoint would be a probe of its route's breaker or of its zone.
    pub(super) fn is_probe(&self, id: EndpointId) -> bool {
        let dest = self.endpoints[&id].dest;
        let route = self.routes.get(&(dest, self.dests[&dest].per_endpoint.then_some(id)));
        route.is_some_and(|r| matches!(r.breaker, Breaker::Open { .. })) || self.is_zone_probe(id)
    }

    /// Returns whether the endpoint's idle connections must not be used, because others that had been idle
    /// for as long were found dropped.
    pub(super) fn has_stale_idle(&self, endpoint: &Endpoint) -> bool {
        let (now, max_idle) = (self.now, self.dests[&endpoint.dest].max_idle(self.now));
        let mut idle = endpoint.idle_since.iter().filter(|&&t| self.is_idle_open(t));
        let exceeds_max_idle = endpoint.idle_since.last().is_some_and(|t| t.saturating_add(max_idle) < now);
        exceeds_max_idle || now < self.trusted_idle.1 && idle.any(|t| t + self.trusted_idle.0 < now)
    }

    /// Returns whether a connection that has been idle since a time is still open, as far as is known.
    pub(super) fn is_idle_open(&self, since: Micros) -> bool {
        self.settings.connections_reported || since + self.settings.conn_idle > self.now
    }

    /// Returns how many at-most-once messages the next call to the endpoint may carry. A probe carries only
    /// one message anyway, so calls without an answer do not hold it back.
    pub(super) fn unproven_room(&self, id: EndpointId) -> usize {
        let endpoint = &self.endpoints[&id];
        let is_proven =
            endpoint.idle_since.iter().any(|&t| self.is_idle_open(t)) && !self.has_stale_idle(endpoint);
        if is_proven || self.is_probe(id) {
            return usize::MAX;
        }
        self.unproven_limit(id).saturating_sub(endpoint.unproven) as usize
    }

    /// Returns how many at-most-once messages may be in flight on new connections to the endpoint.
    pub(super) fn unproven_limit(&self, id: EndpointId) -> u32 {
        let endpoint = &self.endpoints[&id];
        let is_recent = endpoint.last_answer > 0 && self.now < endpoint.last_answer + self.settings.conn_idle;
        if is_recent { UNPROVEN_RECENT } else { UNPROVEN_OTHER }
    }

    /// Returns whether a message must not be repeated once it may have run.
    pub(super) fn is_at_most_once(&self, held: &Held) -> bool {
        self.settings.classes[held.class].effect == Effect::AtMostOnce
    }

    /// Returns the messages of a call: the first one, and of the rest, in their order, as many as are
    /// allowed.
    pub(super) fn fill_bundle(
        &self,
        endpoint: EndpointId,
        first: MessageId,
        rest: Vec<MessageId>,
        max: usize,
    ) -> Vec<MessageId> {
        let at_most_once = |id: &MessageId| self.is_at_most_once(&self.held[id]);
        let mut room = self.unproven_room(endpoint).saturating_sub(usize::from(at_most_once(&first)));
        let fits = |id: &MessageId| {
            let is_allowed = !at_most_once(id) || room > 0;
            room -= usize::from(is_allowed && at_most_once(id));
            is_allowed
        };
        let rest = rest.into_iter().filter(fits).take(max.saturating_sub(1));
        std::iter::once(first).chain(rest).collect()
    }
}
