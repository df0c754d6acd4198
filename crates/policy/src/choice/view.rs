//! Read-only views of the state for diagnostics. This module decides nothing.

use super::*;

impl Sender {
    /// Returns the state of the routes of a destination, or of all routes.
    pub fn route_views(&self, dest: Option<DestinationId>) -> Vec<RouteView> {
        let range = match dest {
            Some(d) => self.routes.range(routes_of(d)),
            None => self.routes.range(..),
        };
        let view = |(&(dest, endpoint), route): (&RouteId, &Route)| RouteView {
            dest,
            endpoint,
            window: route.window,
            in_flight: route.in_flight,
            lost: route.lost,
            last_cut: route.last_cut.zip(route.cut_by),
            paused_until: route.paused_until,
            admitted_rate: route.rate.estimate(),
            hold: self
                .check_route(route, self.dests.get(&dest).map_or(0.0, |d| d.arrival_rate(self.now)))
                .err(),
        };
        range.map(view).collect()
    }

    /// Returns all messages without a final status: id, class, destination, and whether an attempt is in
    /// flight.
    pub fn open_messages(&self) -> Vec<(MessageId, u32, DestinationId, bool)> {
        let open = self.held.iter().filter(|(_, h)| !h.done);
        open.map(|(&id, h)| (id, h.class as u32, h.dest, h.in_flight > 0)).collect()
    }

    /// Whether this message has no final status.
    pub fn is_open(&self, id: MessageId) -> bool {
        self.held.get(&id).is_some_and(|h| !h.done)
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the positions of the classes of all held messages, including done ones with an attempt in
    /// flight.
    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.held.values().map(|h| h.class).collect()
    }

    /// Returns the number of queued messages, which have no attempt in flight.
    pub fn waiting_count(&self) -> usize {
        self.waiting().map(|(_, d)| d.queue.len()).sum()
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.held.values().map(|h| h.in_flight as usize).sum()
    }

    /// Returns the presumed number of idle connections to each endpoint.
    pub fn idle_connections(&self) -> Vec<(EndpointId, usize)> {
        self.endpoints.iter().map(|(&id, e)| (id, e.idle_since.len())).collect()
    }
}
