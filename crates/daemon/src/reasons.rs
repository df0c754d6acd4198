//! Why requests are refused, connections end, attempts end and messages are given up: closed sets of reasons,
//! counted, so that operators see which of them it was.

use crate::state::journal::Verdict;
use notchpoint_policy::Outcome;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Why a request is answered 503, or with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The process ends.
    ShuttingDown,
    /// No list has named its destination lately.
    UnknownDestination,
    /// As many messages are held as may be, its time is up, or the folder takes nothing.
    NoRoom,
    /// As many bodies are being read as may be.
    BodiesFull,
    /// Its record was not safe in time, and was taken back.
    NotDurable,
    /// Its record was not safe in time, and could not be taken back.
    NotWithdrawn,
    /// The process that has taken over refused it.
    Successor,
    /// It is malformed, its id is in use, or its method or path is none.
    Invalid,
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Close {
    /// The client ended it, it broke, or its last answer said so.
    Finished,
    /// Its time was up: nothing came, or no whole request.
    TimedOut,
    /// Its place was wanted by another.
    PlaceWanted,
    /// The process ends, or is drained, and nothing was open on it.
    Drained,
}

type Counts<K> = RefCell<BTreeMap<K, u64>>;

/// How often what happened for which reason, since the start.
#[derive(Debug, Default)]
pub struct ReasonCounts {
    refusals: Counts<Refusal>,
    closes: Counts<Close>,
    attempts: Counts<&'static str>,
    notices: Counts<&'static str>,
}

fn count<K: Ord>(counts: &Counts<K>, key: K) {
    *counts.borrow_mut().entry(key).or_default() += 1;
}

impl ReasonCounts {
    /// A request was refused.
    pub fn count_refusal(&self, why: Refusal) {
        count(&self.refusals, why);
    }

    /// A client's connection ended.
    pub fn count_close(&self, why: Close) {
        count(&self.closes, why);
    }

    /// An attempt ended.
    pub fn count_attempt(&self, outcome: Outcome) {
        count(&self.attempts, outcome_name(outcome));
    }

    /// A message was given up.
    pub fn count_notice(&self, verdict: Verdict) {
        let name = if verdict == Verdict::Dead { "Dead" } else { "Bounced" };
        count(&self.notices, name);
    }

    /// All counts, as operators see them.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "refusals": named(&self.refusals),
            "closes": named(&self.closes),
            "attempts": &*self.attempts.borrow(),
            "notices": &*self.notices.borrow(),
        })
    }
}

fn named<K: std::fmt::Debug>(counts: &Counts<K>) -> BTreeMap<String, u64> {
    counts.borrow().iter().map(|(key, count)| (format!("{key:?}"), *count)).collect()
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "Served",
        Outcome::Failed => "Failed",
        Outcome::Full { wait: None } => "Full",
        Outcome::Full { wait: Some(_) } => "FullWait",
        Outcome::TimedOut => "TimedOut",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Spoilt => "Spoilt",
        Outcome::Cancelled => "Cancelled",
        Outcome::Moot => "Moot",
        Outcome::NotSent => "NotSent",
    }
}
