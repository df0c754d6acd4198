//! Parameters of a partner, as a scenario file states them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parameters of a partner. Limits apply to each of its endpoints unless stated otherwise.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PartnerSpec {
    /// Calls in service at the same time.
    pub slots: u32,
    /// Calls that wait for a slot. Further calls are refused.
    pub queue: u32,
    /// Service time by class of message. The entry `default` applies to classes that have no entry.
    pub service: BTreeMap<String, Service>,
    /// Service time that each further message of a call adds, as a share of the service time of a call.
    pub each_more: f64,
    /// Maximum number of calls a second over all endpoints and senders. Calls above it are refused with 429.
    pub rate_per_s: Option<f64>,
    /// Calls that `rate_per_s` allows at once.
    pub burst: f64,
    /// Whether a refusal by the rate limit states how long to wait. If not, it is a 503 without a hint.
    pub hint: bool,
    /// Wait that a refusal for a full queue asks for, in milliseconds. Without it the refusal has no hint.
    pub full_hint_ms: Option<u64>,
    /// Behaviour after an outage.
    pub cold: Option<ColdStart>,
    /// Slowdown under load.
    pub thrash: Option<Thrash>,
    /// Share of calls that end with an error.
    pub error_share: f64,
    /// Share of those errors whose messages took effect nevertheless.
    pub error_ran_share: f64,
    /// Maximum number of open connections. Further ones are closed as soon as they are accepted.
    pub connections: u32,
    /// Seconds after which an idle connection is closed.
    pub idle_s: f64,
    /// Maximum number of messages in one call.
    pub bundle: u32,
    /// Whether a call in the queue runs even if its caller has closed the connection. One in service always
    /// does.
    pub runs_abandoned: bool,
}

/// A log-normal service time, given by its mean and its coefficient of variation.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Mean in milliseconds.
    pub mean_ms: f64,
    /// Standard deviation divided by the mean. With 0 the service time is constant.
    #[serde(default)]
    pub cv: f64,
}

/// Behaviour of an endpoint after an outage: its warm-up, and the load under which it fails again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Share of its capacity directly after the outage. It grows linearly to 1.
    pub start_share: f64,
    /// Seconds until it has its full capacity.
    pub warm_s: f64,
    /// The endpoint fails when it receives more than this multiple of its current capacity over
    /// `fall_after_s`.
    pub fall_multiple: f64,
    /// Seconds over which calls are counted for `fall_multiple`.
    pub fall_after_s: f64,
    /// Seconds for which it is down after such a failure.
    pub down_s: f64,
}

/// Slowdown of an endpoint while it has more than `from_load` calls for each slot.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Thrash {
    /// Calls in service and in the queue, for each slot, from which on calls take longer.
    pub from_load: f64,
    /// Share of the service time that is added for each further call for each slot.
    pub slowdown: f64,
}

/// Faults of answers, each with the share of calls that it affects. The calls themselves take effect.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// No answer is sent, and the connection stays open.
    pub silent: f64,
    /// The connection is reset instead of an answer.
    pub reset: f64,
    /// Bytes that are not HTTP are sent instead of an answer.
    pub spoilt: f64,
    /// Only the first half of an answer is sent.
    pub half: f64,
    /// The answer is sent byte by byte.
    pub trickle: f64,
}

impl Default for PartnerSpec {
    fn default() -> Self {
        Self {
            slots: 4,
            queue: 8,
            service: BTreeMap::new(),
            each_more: 0.1,
            rate_per_s: None,
            burst: 10.0,
            hint: true,
            full_hint_ms: None,
            cold: None,
            thrash: None,
            error_share: 0.0,
            error_ran_share: 0.5,
            connections: 1_000,
            idle_s: 5.0,
            bundle: 1,
            runs_abandoned: false,
        }
    }
}

impl Default for Service {
    fn default() -> Self {
        Self { mean_ms: 50.0, cv: 0.5 }
    }
}

fn check_range(name: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
    let is_in_range = (min..=max).contains(&value);
    is_in_range.then_some(()).ok_or_else(|| format!("{name}: {value} is not within {min} to {max}"))
}

impl Faults {
    /// Checks that every value is within its range.
    ///
    /// # Errors
    /// Returns the first key whose value is out of range, with the value and the range.
    pub fn check(&self) -> Result<(), String> {
        let all = [
            ("silent", self.silent),
            ("reset", self.reset),
            ("spoilt", self.spoilt),
            ("half", self.half),
            ("trickle", self.trickle),
        ];
        all.iter().try_for_each(|(name, share)| check_range(name, *share, 0.0, 1.0))?;
        check_range("the sum of all shares", all.iter().map(|fault| fault.1).sum(), 0.0, 1.0)
    }
}

impl PartnerSpec {
    /// Checks that every value is within its range.
    ///
    /// # Errors
    /// Returns the first key whose value is out of range, with the value and the range.
    pub fn check(&self) -> Result<(), String> {
        check_range("slots", self.slots.into(), 1.0, 100_000.0)?;
        check_range("queue", self.queue.into(), 0.0, 1e6)?;
        check_range("bundle", self.bundle.into(), 1.0, 1_000.0)?;
        check_range("connections", self.connections.into(), 1.0, 1e6)?;
        check_range("each_more", self.each_more, 0.0, 10.0)?;
        check_range("burst", self.burst, 1.0, 1e6)?;
        check_range("error_share", self.error_share, 0.0, 1.0)?;
        check_range("error_ran_share", self.error_ran_share, 0.0, 1.0)?;
        check_range("idle_s", self.idle_s, 0.1, 86_400.0)?;
        if let Some(rate) = self.rate_per_s {
            check_range("rate_per_s", rate, 0.01, 1e6)?;
        }
        for (class, service) in &self.service {
            check_range(&format!("service.{class}.mean_ms"), service.mean_ms, 0.0, 3.6e6)?;
            check_range(&format!("service.{class}.cv"), service.cv, 0.0, 10.0)?;
        }
        if let Some(cold) = &self.cold {
            check_range("cold.start_share", cold.start_share, 0.01, 1.0)?;
            check_range("cold.warm_s", cold.warm_s, 0.0, 3_600.0)?;
            check_range("cold.fall_multiple", cold.fall_multiple, 1.0, 1_000.0)?;
            check_range("cold.fall_after_s", cold.fall_after_s, 0.01, 3_600.0)?;
            check_range("cold.down_s", cold.down_s, 0.0, 3_600.0)?;
        }
        if let Some(thrash) = &self.thrash {
            check_range("thrash.from_load", thrash.from_load, 0.0, 1_000.0)?;
            check_range("thrash.slowdown", thrash.slowdown, 0.0, 1_000.0)?;
        }
        Ok(())
    }

    /// Returns the service time of a class.
    pub fn service(&self, class: &str) -> Service {
        let found = self.service.get(class).or_else(|| self.service.get("default"));
        found.copied().unwrap_or_default()
    }
}
