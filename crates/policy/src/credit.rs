//! Arithmetic of what a route that is held back, or comes back, may be sent: credit that grows with what
//! comes in for it. What opens and ends such times is decided in `choice.rs`.

use crate::interface::{Micros, Settings};
use crate::state::{Health, Route};

/// What refusals leave of the pace at least.
const PACE_LEAST: f64 = 0.03;
/// Trials and a ramp's calls stay under this part of what would push a returning destination over, measured
/// by what comes in for it; and all senders together make at least so many trials a second.
const METER: f64 = 0.4;
/// The same where it refused nothing in the last minute: what came in is then no more than it can do.
const METER_ROOM: f64 = 0.65;
const TRIALS_LEAST: f64 = 1.5;

impl Route {
    /// The share of what comes in that a destination held back or returning may be sent.
    pub fn share(&self, set: &Settings, now: Micros) -> f64 {
        let warm = match self.health {
            // Senders find it back one after another, each within the gap between two of its trials. Where
            // each goes on as if it had been back for all of that, and then grows with time, what all of
            // them send together grows as fast as what it can do. It is warm for certain, and this ends,
            // only a whole cold time after a call was served.
            Health::Ramp { since, gap } => {
                (now - since + gap / 2).max(gap) as f64 / set.warm_up.max(1) as f64
            }
            // It may be back since just now, and the trials of all senders add up.
            Health::Open { .. } => 0.0,
            Health::Closed => return self.pace,
        };
        let meter = if self.rate.estimate().is_none() { METER_ROOM } else { METER };
        meter * set.overload_factor * (set.start_capacity + (1.0 - set.start_capacity) * warm)
    }

    /// Credit that time brings, in calls a second.
    pub fn refill(&self, set: &Settings, now: Micros, rate: f64) -> f64 {
        let share = self.share(set, now);
        // A message that comes in brings one call at the most; time brings the rest.
        ((share + (share - 1.0).max(0.0)) * rate).max(TRIALS_LEAST / f64::from(set.senders))
    }

    /// When the outage for which the route is held back began, as far as is known. A sender that found it by
    /// a call of its own may have found it late: it began behind the last call that was served.
    pub fn outage_begun(&self) -> Option<Micros> {
        let Health::Open { since, .. } = self.health else { return None };
        Some(if self.fails > 0 { since.min(self.last_ok) } else { since })
    }

    pub fn metered(&self) -> bool {
        self.pace < 1.0 || !matches!(self.health, Health::Closed)
    }

    /// A refusal slows what is sent, since refused calls may use up the limit too; each served call forgives.
    pub fn slow_down(&mut self, now: Micros, by: f64) {
        self.credit_at = if self.metered() { self.credit_at } else { now };
        self.pace = (self.pace * by).max(PACE_LEAST);
    }

    /// Accrues the credit of a route: for `more` messages (in part if each endpoint is a route) and for time.
    /// Credit follows this sender's own traffic, so that any number of senders together stay under what the
    /// destination can bear.
    pub fn accrue(&mut self, set: &Settings, now: Micros, more: f64, rate: f64) {
        if !self.metered() {
            return;
        }
        // While one that fails has told to wait, no credit comes up: all senders would have a trial ready
        // for the very moment at which the wait ends.
        let waits = if matches!(self.health, Health::Open { .. }) { self.rest_until } else { 0 };
        let dt = now.saturating_sub(self.credit_at.max(waits)) as f64 / 1e6;
        let more = if now < waits { 0.0 } else { more };
        let more = self.share(set, now) * more + self.refill(set, now, rate) * dt;
        (self.credit, self.credit_at) = ((self.credit + more).min(1.0), now);
        if matches!(self.health, Health::Ramp { since, .. } if now >= since + set.warm_up) {
            self.health = Health::Closed;
        }
    }
}
