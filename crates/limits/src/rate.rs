//! An estimator of the rate that a destination admits, and a token bucket that paces calls under it.

use crate::Micros;
use serde::{Deserialize, Serialize};

const SEC: f64 = 1_000_000.0;
/// The time constant in seconds of the average rate of admitted calls: long enough for a few calls at one per
/// second, short enough to follow a limit that changes in steps.
const AVERAGE_SPAN_S: f64 = 3.0;
/// The factor that a refusal applies to the average admitted rate. The result is below the limit, so that
/// calls that are queued at the limit drain. CUBIC (RFC 9438, section 4.6) leaves 0.7 of a window; this cut
/// is smaller, since other senders share the limit and cut their own rates.
const CUT: f64 = 0.85;
/// One refusal leaves at least this share of the rate: it may only show that other senders took the whole
/// limit for an instant.
const MIN_CUT_SHARE: f64 = 0.6;
/// Below `PROBE_FROM`, each admitted call closes this part of the gap to the rate at which the limit was last
/// met (the concave part of CUBIC's curve).
const RECOVERY: f64 = 0.2;
/// From this share of the rate at which the limit was last met on, each admitted call raises the rate by a
/// relative step (the convex part of the curve).
const PROBE_FROM: f64 = 0.95;
/// The first step, the growth of the step with each admitted call, and its maximum. A limit that was doubled
/// is found in about twenty calls.
const PROBE_STEP: f64 = 0.03;
const PROBE_STEP_GROWTH: f64 = 1.2;
const MAX_PROBE_STEP: f64 = 0.25;
/// The factor that each admitted call applies to the rate while no refusal has shown where the limit is.
const SLOW_START: f64 = 2.0;
/// The depth of the token bucket in seconds at the current rate; it holds one call at least.
const BURST_S: f64 = 0.25;
/// The least rate in calls per second. A lower limit is indistinguishable from an outage, and held messages
/// need calls that detect its end.
const MIN_RATE: f64 = 0.5;
/// The least assumed rate before the first refusal, in calls per second, which most limits admit.
const INITIAL_RATE: f64 = 4.0;
/// An average over a shorter part of its time constant counts as one over this part.
const MIN_AVERAGE_PART: f64 = 0.1;
/// The time without a refusal after which the limit is taken to be gone.
const FORGET_AFTER: f64 = 60.0 * SEC;

/// The calls per second that a route admits from this sender, as far as refusals show, and a token bucket
/// that paces calls under that rate.
///
/// A destination does not announce its rate limit: the limit shows only as refusals, while calls stay short.
/// A sender that reacts with a fixed backoff retries too early at a low limit and too late at a high one. If
/// refused calls count against the limit, too, the retries themselves keep it exhausted. Therefore calls are
/// spaced by a token bucket (as in RFC 2697): a refusal sets its rate slightly below the recent average of
/// admitted calls, and each admitted call raises it towards the limit and beyond, along the curve of CUBIC
/// (RFC 9438). Senders that share a limit converge on their shares by the same refusals.
///
/// ```
/// use notchpoint_limits::AdaptiveRate;
/// let mut rate = AdaptiveRate::default();
/// assert_eq!((rate.next_call_at(0), rate.estimate()), (0, None)); // no refusal, no limit
/// for n in 0..30 {
///     rate.record_sent(n * 200_000);
///     rate.record_admitted(n * 200_000 + 50_000);
/// }
/// rate.record_sent(6_000_000);
/// rate.record_refused(6_050_000, 6_000_000);
/// let estimate = rate.estimate().expect("a limit has shown");
/// assert!((3.0..5.0).contains(&estimate), "{estimate}"); // five calls per second were admitted
/// assert!(rate.next_call_at(6_050_000) > 6_200_000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdaptiveRate {
    /// The rate of the token bucket in calls per second; 0 while no limit has shown.
    rate: f64,
    /// The rate at which the limit was last met.
    limit_rate: f64,
    /// The relative size of the next step above the limit.
    probe_step: f64,
    tokens: f64,
    tokens_updated: Micros,
    /// Whether the last call had to wait for its token. A rate that is not fully used is not raised
    /// (RFC 7661).
    was_limiting: bool,
    /// The average rate of admitted calls per second since the first one.
    average: f64,
    average_updated: Micros,
    first_admitted: Option<Micros>,
    /// When a refusal last cut the rate.
    last_cut: Micros,
    admitted_since_cut: bool,
    /// Whether a refusal came between admitted calls, which shows where the limit is. Refusals alone may be
    /// an outage.
    limit_seen: bool,
}

impl AdaptiveRate {
    /// Returns the depth of the token bucket.
    fn burst(&self) -> f64 {
        (self.rate * BURST_S).max(1.0)
    }

    /// Returns the tokens at a time.
    fn tokens(&self, now: Micros) -> f64 {
        let added = self.rate * now.saturating_sub(self.tokens_updated) as f64 / SEC;
        (self.tokens + added).min(self.burst())
    }

    /// Returns the average, decayed since its last update.
    fn decayed_average(&self, now: Micros) -> f64 {
        self.average * (-(now.saturating_sub(self.average_updated) as f64) / SEC / AVERAGE_SPAN_S).exp()
    }

    /// Returns the recent rate of admitted calls per second.
    pub fn admitted_rate(&self, now: Micros) -> f64 {
        // The average started at 0, so it is divided by the part of the time constant that it covers.
        let covered =
            self.first_admitted.map_or(0.0, |t| now.saturating_sub(t) as f64 / SEC / AVERAGE_SPAN_S);
        self.decayed_average(now) / (1.0 - (-covered.max(MIN_AVERAGE_PART)).exp())
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, now: Micros) {
        if self.rate > 0.0 {
            // The rate was limiting if the call was sent less than one token's time after it became possible.
            let tokens = self.tokens + self.rate * now.saturating_sub(self.tokens_updated) as f64 / SEC;
            self.was_limiting = tokens < 2.0;
            (self.tokens, self.tokens_updated) = (self.tokens(now) - 1.0, now);
        }
    }

    /// Records the answer to a call that was sent at `sent`: refused because of a limit, or admitted.
    pub fn record_answer(&mut self, now: Micros, sent: Micros, refused: bool) {
        if refused { self.record_refused(now, sent) } else { self.record_admitted(now) }
    }

    /// Records that a call was admitted, whatever its outcome.
    pub fn record_admitted(&mut self, now: Micros) {
        self.first_admitted.get_or_insert(now);
        (self.average, self.average_updated) = (self.decayed_average(now) + 1.0 / AVERAGE_SPAN_S, now);
        self.admitted_since_cut = true;
        if self.rate == 0.0 {
            return;
        }
        if now.saturating_sub(self.last_cut) as f64 > FORGET_AFTER {
            *self = Self {
                average: self.average,
                average_updated: now,
                first_admitted: self.first_admitted,
                ..Self::default()
            };
        } else if !self.limit_seen {
            // It is not known where the limit is, or whether there is one (slow start, RFC 5681).
            self.rate *= SLOW_START;
        } else if self.rate < PROBE_FROM * self.limit_rate {
            // This applies even if the rate was not used: other senders may have caused the refusal.
            self.rate += (self.limit_rate - self.rate) * RECOVERY;
        } else if self.was_limiting {
            // Tokens since the last update accrue at the old rate.
            (self.tokens, self.tokens_updated) = (self.tokens(now), now);
            self.rate *= 1.0 + self.probe_step;
            self.probe_step = (self.probe_step * PROBE_STEP_GROWTH).min(MAX_PROBE_STEP);
        }
    }

    /// Records that a call that was sent at `sent` was refused because of a limit.
    pub fn record_refused(&mut self, now: Micros, sent: Micros) {
        let admitted = self.admitted_rate(now);
        if self.rate > 0.0 && sent < self.last_cut {
            return; // The call was sent before the last cut: it belongs to the same event.
        }
        let previous = if self.rate > 0.0 { self.rate } else { admitted.max(INITIAL_RATE) };
        let cut = CUT * admitted.min(previous);
        self.rate = cut.max(previous * MIN_CUT_SHARE).max(MIN_RATE);
        // Refusals without an admitted call in between come from an outage, or by chance at a shared limit,
        // and do not show how high the limit is.
        self.limit_rate = if self.admitted_since_cut { previous } else { self.limit_rate.max(previous) };
        self.limit_seen |= self.admitted_since_cut;
        (self.probe_step, self.last_cut, self.admitted_since_cut) = (PROBE_STEP, now, false);
        (self.tokens, self.tokens_updated) = (0.0, now);
    }

    /// Returns when the next call may be sent; this is `now` if it may be sent at once.
    pub fn next_call_at(&self, now: Micros) -> Micros {
        let missing = 1.0 - self.tokens(now);
        if self.rate == 0.0 || missing <= 0.0 {
            return now;
        }
        now + (missing / self.rate * SEC).ceil() as Micros
    }

    /// Returns the estimated limit in calls per second; `None` while no limit has shown.
    pub fn estimate(&self) -> Option<f64> {
        (self.rate > 0.0).then_some(self.rate)
    }
}
