//! Connections that have not carried an answer: what may be written to one.
//!
//! A new connection may be silent for good. What must not be repeated is lost to its client with it, since it
//! may have run, with or without a restart: so few of such messages go out on new connections of an endpoint
//! until that has answered. What may be repeated goes with them, and finds out.

use super::*;

/// So many messages that must not be repeated may be out on new connections of an endpoint that has not
/// answered since: of one that answered lately, and of any other.
const UNHEARD_KNOWN: u32 = 4;
const UNHEARD_OTHER: u32 = 1;

impl Sender {
    /// Whether a call there would try whether its route, or zone, serves again.
    pub(super) fn is_trial(&self, id: EndpointId) -> bool {
        let dest = self.endpoints[&id].dest;
        let route = self.routes.get(&(dest, self.dests[&dest].per_endpoint.then_some(id)));
        route.is_some_and(|r| matches!(r.health, Health::Open { .. })) || self.is_tried(id)
    }

    /// Its idle connections are not to be used: others were dropped unseen that had stood for as long.
    pub(super) fn is_stale(&self, e: &Endpoint) -> bool {
        let (now, trusted) = (self.now, self.dests[&e.dest].trusted(self.now));
        let mut idle = e.idle.iter().filter(|&&t| self.stands(t));
        let dropped = e.idle.last().is_some_and(|t| t.saturating_add(trusted) < now);
        dropped || now < self.idle_safe.1 && idle.any(|t| t + self.idle_safe.0 < now)
    }

    /// Whether a connection that has been idle since then still stands, as far as is known.
    pub(super) fn stands(&self, since: Micros) -> bool {
        self.set.connections_reported || since + self.set.conn_idle > self.now
    }

    /// How many messages that must not be repeated the next call there may carry. A new connection may be
    /// silent for good, and what is written to it is lost to its client then: few go there until the endpoint
    /// has answered. A trial takes one message as it is, so that a silence of the past holds nothing back.
    pub(super) fn unsafe_room(&self, id: EndpointId) -> usize {
        let e = &self.endpoints[&id];
        let proven = e.idle.iter().any(|&t| self.stands(t)) && !self.is_stale(e);
        if proven || self.is_trial(id) {
            return usize::MAX;
        }
        self.unheard_most(id).saturating_sub(e.unheard) as usize
    }

    /// How many such messages may be out on new connections of an endpoint.
    pub(super) fn unheard_most(&self, id: EndpointId) -> u32 {
        let e = &self.endpoints[&id];
        let lately = e.answered > 0 && self.now < e.answered + self.set.conn_idle;
        if lately { UNHEARD_KNOWN } else { UNHEARD_OTHER }
    }

    pub(super) fn is_unsafe(&self, h: &Held) -> bool {
        self.set.classes[h.class].effect == Effect::AtMostOnce
    }

    /// What goes in a call with its first message: of the rest, in their order, as many as may.
    pub(super) fn load(
        &self,
        endpoint: EndpointId,
        first: MessageId,
        rest: Vec<MessageId>,
        most: usize,
    ) -> Vec<MessageId> {
        let is_unsafe = |id: &MessageId| self.is_unsafe(&self.held[id]);
        let mut room = self.unsafe_room(endpoint).saturating_sub(usize::from(is_unsafe(&first)));
        let fits = |id: &MessageId| {
            let fits = !is_unsafe(id) || room > 0;
            room -= usize::from(fits && is_unsafe(id));
            fits
        };
        let rest = rest.into_iter().filter(fits).take(most.saturating_sub(1));
        std::iter::once(first).chain(rest).collect()
    }
}
