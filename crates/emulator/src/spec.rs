//! What a partner is like, as a scenario states it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A partner. Limits hold for each of its endpoints unless said otherwise.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PartnerSpec {
    /// Calls served at once.
    pub slots: u32,
    /// Calls that wait for a slot; more are refused.
    pub queue: u32,
    /// Service time by class of message; `default` stands for the classes that are not named.
    pub service: BTreeMap<String, Service>,
    /// What each further message of one call adds, as a share of a call's service time.
    pub each_more: f64,
    /// Calls a second that all endpoints together take from all senders. Above it calls are refused with 429.
    pub rate_per_s: Option<f64>,
    /// Calls that may come at once under `rate_per_s`.
    pub burst: f64,
    /// Whether a refusal by rate tells how long to wait. Without it the answer is a bare 503.
    pub hint: bool,
    /// How long a refusal for a full queue tells to wait, in milliseconds; absent: no hint.
    pub full_hint_ms: Option<u64>,
    /// What it is like after an outage.
    pub cold: Option<ColdStart>,
    /// How it slows down under load.
    pub thrash: Option<Thrash>,
    /// Share of calls that end with an error.
    pub error_share: f64,
    /// Share of those errors that took effect nevertheless.
    pub error_ran_share: f64,
    /// Connections at once; more are closed as soon as they come.
    pub connections: u32,
    /// It closes a connection that stood idle for so long, in seconds.
    pub idle_s: f64,
    /// Messages in one call at most.
    pub bundle: u32,
    /// A call that waits in its queue runs even if its caller has gone. One in service always does.
    pub runs_abandoned: bool,
}

/// A service time: log-normal, by its mean and its coefficient of variation.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Milliseconds.
    pub mean_ms: f64,
    /// Standard deviation over mean; 0 for always the same.
    #[serde(default)]
    pub cv: f64,
}

/// After an outage: what share of its capacity it has at first, and when it falls over.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Share of its capacity in the first moment, growing evenly to all of it.
    pub start_share: f64,
    /// Seconds until it has all of it.
    pub warm_s: f64,
    /// It falls over when it gets more than this multiple of what it can then do ...
    pub fall_multiple: f64,
    /// ... over so many seconds.
    pub fall_after_s: f64,
    /// It is down again for so many seconds.
    pub down_s: f64,
}

/// Each call takes longer once more than `from_load` calls for each slot are there.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Thrash {
    /// Calls in service and waiting, for each slot.
    pub from_load: f64,
    /// What one more call for each slot adds to a service time, as a share of it.
    pub slowdown: f64,
}

/// What is done to answers, each by its share of calls. The call has run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// No answer; the connection stays open.
    pub silent: f64,
    /// The connection is reset in place of an answer.
    pub reset: f64,
    /// Noise in place of an answer.
    pub spoilt: f64,
    /// The first half of an answer, then nothing.
    pub half: f64,
    /// An answer byte by byte.
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

fn within(name: &str, x: f64, least: f64, most: f64) -> Result<(), String> {
    let fits = (least..=most).contains(&x);
    fits.then_some(()).ok_or_else(|| format!("{name}: {x} is not within {least} to {most}"))
}

impl Faults {
    /// Says the first key that makes no sense.
    ///
    /// # Errors
    /// The key, its value and what it may be.
    pub fn check(&self) -> Result<(), String> {
        let all = [
            ("silent", self.silent),
            ("reset", self.reset),
            ("spoilt", self.spoilt),
            ("half", self.half),
            ("trickle", self.trickle),
        ];
        all.iter().try_for_each(|(name, x)| within(name, *x, 0.0, 1.0))?;
        within("the sum of all shares", all.iter().map(|f| f.1).sum(), 0.0, 1.0)
    }
}

impl PartnerSpec {
    /// Says the first key that makes no sense.
    ///
    /// # Errors
    /// The key, its value and what it may be.
    pub fn check(&self) -> Result<(), String> {
        within("slots", self.slots.into(), 1.0, 100_000.0)?;
        within("queue", self.queue.into(), 0.0, 1e6)?;
        within("bundle", self.bundle.into(), 1.0, 1_000.0)?;
        within("connections", self.connections.into(), 1.0, 1e6)?;
        within("each_more", self.each_more, 0.0, 10.0)?;
        within("burst", self.burst, 1.0, 1e6)?;
        within("error_share", self.error_share, 0.0, 1.0)?;
        within("error_ran_share", self.error_ran_share, 0.0, 1.0)?;
        within("idle_s", self.idle_s, 0.1, 86_400.0)?;
        if let Some(rate) = self.rate_per_s {
            within("rate_per_s", rate, 0.01, 1e6)?;
        }
        for (class, s) in &self.service {
            within(&format!("service.{class}.mean_ms"), s.mean_ms, 0.0, 3.6e6)?;
            within(&format!("service.{class}.cv"), s.cv, 0.0, 10.0)?;
        }
        if let Some(c) = &self.cold {
            within("cold.start_share", c.start_share, 0.01, 1.0)?;
            within("cold.warm_s", c.warm_s, 0.0, 3_600.0)?;
            within("cold.fall_multiple", c.fall_multiple, 1.0, 1_000.0)?;
            within("cold.fall_after_s", c.fall_after_s, 0.01, 3_600.0)?;
            within("cold.down_s", c.down_s, 0.0, 3_600.0)?;
        }
        if let Some(t) = &self.thrash {
            within("thrash.from_load", t.from_load, 0.0, 1_000.0)?;
            within("thrash.slowdown", t.slowdown, 0.0, 1_000.0)?;
        }
        Ok(())
    }

    /// The service time of a class.
    pub fn service(&self, class: &str) -> Service {
        let found = self.service.get(class).or_else(|| self.service.get("default"));
        found.copied().unwrap_or_default()
    }
}
