//! What those may see who look on. Nothing is decided here.

use super::*;

impl Sender {
    /// What is believed of the routes of a destination, or of all.
    pub fn route_views(&self, dest: Option<DestinationId>) -> Vec<RouteView> {
        let range = match dest {
            Some(d) => self.routes.range(routes_of(d)),
            None => self.routes.range(..),
        };
        let view = |(&(dest, endpoint), r): (&RouteId, &Route)| RouteView {
            dest,
            endpoint,
            window: r.window,
            in_flight: r.out,
            lost: r.lost,
            last_cut: r.last_cut.zip(r.cut_by),
            paused_until: r.rest_until,
            admitted_rate: r.rate.estimate(),
            hold: self.route_ready(r, self.dests.get(&dest).map_or(0.0, |d| d.flow(self.now))).err(),
        };
        range.map(view).collect()
    }

    /// All messages that are not answered yet, with class and destination, and whether a call of them is out.
    pub fn open_messages(&self) -> Vec<(MessageId, u32, DestinationId, bool)> {
        let open = self.held.iter().filter(|(_, h)| !h.done);
        open.map(|(&id, h)| (id, h.class as u32, h.dest, h.out > 0)).collect()
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// The places of the classes that messages have, of those as well that are over and have a call out.
    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.held.values().map(|h| h.class).collect()
    }

    /// How many messages are held and have no call out.
    pub fn waiting_count(&self) -> usize {
        self.waiting().map(|(_, d)| d.queue.len()).sum()
    }

    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.held.values().map(|h| h.out as usize).sum()
    }

    /// Connections that are believed to stand idle, by endpoint.
    pub fn idle_connections(&self) -> Vec<(EndpointId, usize)> {
        self.endpoints.iter().map(|(&id, e)| (id, e.idle.len())).collect()
    }
}
