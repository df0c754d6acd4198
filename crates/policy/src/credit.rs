//! The credit of routes that are paced, in recovery or behind an open breaker. It grows with the messages
//! that arrive for the route. `choice.rs` decides when a route needs credit.

use crate::interface::{Micros, Settings};
use crate::state::{Breaker, Route};

/// The least pace that refusals leave.
const MIN_PACE: f64 = 0.03;
/// Probes and calls in slow start stay below this share of the rate that would overload a returning
/// destination, where the rate of incoming messages stands for its capacity.
const LOAD_SHARE: f64 = 0.4;
/// The same if no rate limit is known, that is without refusals for a minute: its capacity is then no lower
/// than that rate.
const LOAD_SHARE_UNLIMITED: f64 = 0.65;
/// The least probes per second of all senders together.
const MIN_PROBE_RATE: f64 = 1.5;

impl Route {
    /// Returns the share of the incoming messages that the route may be sent.
    pub fn send_share(&self, settings: &Settings, now: Micros) -> f64 {
        let warm = match self.breaker {
            // Senders detect the return one after another, each within the gap between two of its probes. If
            // each acts as if the destination had been back for the whole gap and then grows with time,
            // the calls of all senders together grow as fast as its capacity. The slow start ends only a
            // whole warm-up time after a call was served, when the capacity is certain to be full.
            Breaker::SlowStart { since, gap } => {
                (now - since + gap / 2).max(gap) as f64 / settings.warm_up.max(1) as f64
            }
            // The destination may have returned only now, and the probes of all senders add up.
            Breaker::Open { .. } => 0.0,
            Breaker::Closed => return self.pace,
        };
        let load_share = if self.rate.estimate().is_none() { LOAD_SHARE_UNLIMITED } else { LOAD_SHARE };
        load_share
            * settings.overload_factor
            * (settings.start_capacity + (1.0 - settings.start_capacity) * warm)
    }

    /// Returns the credit that accrues with time, in calls per second.
    pub fn credit_rate(&self, settings: &Settings, now: Micros, rate: f64) -> f64 {
        let share = self.send_share(settings, now);
        // A new message adds at most one call; the rest accrues with time.
        ((share + (share - 1.0).max(0.0)) * rate).max(MIN_PROBE_RATE / f64::from(settings.senders))
    }

    /// Returns when the outage for which the breaker is open began, as far as is known. A sender that
    /// detected it by a call of its own may have done so late, so it counts from the last served call.
    pub fn outage_start(&self) -> Option<Micros> {
        let Breaker::Open { since, .. } = self.breaker else { return None };
        Some(if self.failures > 0 { since.min(self.last_served) } else { since })
    }

    /// Returns whether calls on the route need credit.
    pub fn is_metered(&self) -> bool {
        self.pace < 1.0 || !matches!(self.breaker, Breaker::Closed)
    }

    /// Lowers the pace after a refusal, since refused calls may use up the limit, too. Served calls raise it
    /// again.
    pub fn slow_down(&mut self, now: Micros, by: f64) {
        self.credit_updated = if self.is_metered() { self.credit_updated } else { now };
        self.pace = (self.pace * by).max(MIN_PACE);
    }

    /// Accrues the credit of a route: for `messages` (in part if each endpoint is a route) and for time.
    /// Credit follows this sender's own traffic, so that any number of senders together stay under what the
    /// destination can bear.
    pub fn accrue_credit(&mut self, settings: &Settings, now: Micros, messages: f64, rate: f64) {
        if !self.is_metered() {
            return;
        }
        // No credit accrues while a failing destination has asked to wait; otherwise all senders would have a
        // probe ready at the instant at which the wait ends.
        let wait_end = if matches!(self.breaker, Breaker::Open { .. }) { self.paused_until } else { 0 };
        let elapsed_s = now.saturating_sub(self.credit_updated.max(wait_end)) as f64 / 1e6;
        let messages = if now < wait_end { 0.0 } else { messages };
        let added =
            self.send_share(settings, now) * messages + self.credit_rate(settings, now, rate) * elapsed_s;
        (self.credit, self.credit_updated) = ((self.credit + added).min(1.0), now);
        if matches!(self.breaker, Breaker::SlowStart { since, .. } if now >= since + settings.warm_up) {
            self.breaker = Breaker::Closed;
        }
    }
}
