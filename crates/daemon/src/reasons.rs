//! Counts, by reason, how often requests are refused, connections end, attempts end and messages are given
//! up. The sets of reasons are fixed; `/status` shows the counts.

use crate::state::journal::Verdict;
use notchpoint_policy::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Why a request is answered with 503 or another error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The process is shutting down.
    ShuttingDown,
    /// No recent list has named its destination.
    UnknownDestination,
    /// The limit of held messages is reached, its deadline has passed, or the store accepts no records.
    NoRoom,
    /// The limit for bodies that are being read is reached.
    BodiesFull,
    /// Its record was not durable in time and was withdrawn.
    NotDurable,
    /// Its record was not durable in time and could not be withdrawn.
    NotWithdrawn,
    /// The successor process refused it.
    Successor,
    /// Its id belongs to a message that has ended, and parts of this sender have not learned of that yet.
    IdInUse,
    /// It is malformed, an open message has its id, or its method or path does not exist.
    Invalid,
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Close {
    /// The client closed it, it broke, or its last response closed it.
    Finished,
    /// It timed out: nothing arrived, or no complete request.
    TimedOut,
    /// Its connection slot was needed for another client.
    PlaceWanted,
    /// The process is shutting down or drained, and no request was open on it.
    Drained,
}

type Counts<K> = RefCell<BTreeMap<K, u64>>;

/// Counts by reason since the session started.
#[derive(Debug, Default)]
pub struct ReasonCounts {
    refusals: Counts<Refusal>,
    closes: Counts<Close>,
    attempts: Counts<&'static str>,
    notices: Counts<&'static str>,
    forgotten_messages: Cell<u64>,
    surplus_responses: Cell<u64>,
}

fn count<K: Ord>(counts: &Counts<K>, key: K) {
    *counts.borrow_mut().entry(key).or_default() += 1;
}

impl ReasonCounts {
    /// Counts a refused request.
    pub fn count_refusal(&self, why: Refusal) {
        count(&self.refusals, why);
    }

    /// Counts the end of a client's connection.
    pub fn count_close(&self, why: Close) {
        count(&self.closes, why);
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, outcome: Outcome) {
        count(&self.attempts, outcome_name(outcome));
    }

    /// Counts a message that was given up.
    pub fn count_notice(&self, verdict: Verdict) {
        let name = if verdict == Verdict::Dead { "Dead" } else { "Bounced" };
        count(&self.notices, name);
    }

    /// Counts a message that was open in the journal and that no part of the program would have ended.
    pub fn count_forgotten_message(&self) {
        self.forgotten_messages.set(self.forgotten_messages.get() + 1);
    }

    /// Counts a response of an endpoint that answers no call.
    pub fn count_surplus_response(&self) {
        self.surplus_responses.set(self.surplus_responses.get() + 1);
    }

    /// Returns all counts in the form of `/status`.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "refusals": counts_by_name(&self.refusals),
            "closes": counts_by_name(&self.closes),
            "attempts": &*self.attempts.borrow(),
            "notices": &*self.notices.borrow(),
            "forgotten_messages": self.forgotten_messages.get(),
            "surplus_responses": self.surplus_responses.get(),
        })
    }
}

fn counts_by_name<K: std::fmt::Debug>(counts: &Counts<K>) -> BTreeMap<String, u64> {
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
