//! The record of a message as its copies store it.

use crate::ids::Micros;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The number of a pseudo-attempt with which an owner closes a message: it gives the message up, and no other
/// sender may attempt it.
pub const CLOSING_ATTEMPT: u32 = u32::MAX;

/// An attempt whose first byte may have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Its number, counted from 0 over all owners.
    pub number: u32,
    /// The endpoint that was called.
    pub endpoint: u64,
    /// When it began, by the wall clock of the sender that stores this record. Another sender learns only how
    /// old it was when a frame was written, and 0 stands for an unknown time.
    pub at: Micros,
    /// Whether its outcome proved that the message was not processed.
    pub never_ran: bool,
}

/// The time of an attempt of which it is not known when it began. It is earlier than any other.
pub(crate) const UNKNOWN_TIME: Micros = 0;

impl AttemptRecord {
    /// Adds what another record says of the same attempt. It counts as never run when either says so, and it
    /// began at the earlier time.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.never_ran |= other.never_ran;
        self.at = self.at.min(other.at);
    }

    /// Replaces the age in a response by a time at which the attempt began at the latest. The response was
    /// written at some time after `requested_at`, so that the age was at least this much then.
    pub(crate) fn at_earliest(self, requested_at: Micros) -> Self {
        Self { at: requested_at.saturating_sub(self.at), ..self }
    }
}

/// Stands for an attempt that may have been made, but of which nothing is known.
pub(crate) const POSSIBLE_ATTEMPT: AttemptRecord =
    AttemptRecord { number: CLOSING_ATTEMPT, endpoint: 0, at: UNKNOWN_TIME, never_ran: false };

/// The final status of a message that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No further attempt is made. An earlier one may have processed the message.
    Dead,
    /// Submitting it again is safe, after this number of milliseconds if it is not 0.
    Bounced(u64),
}

/// Everything that another sender needs to take over a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The tag of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// Its destination.
    pub dest: u64,
    /// Its deadline, by the wall clock of the sender that stores this record.
    pub deadline: Micros,
    /// Its body.
    pub body: Bytes,
    /// Whether it must not be delivered twice: each of its attempts needs consent.
    pub at_most_once: bool,
    /// Whether its client may have received 202. Otherwise the client submits the message again under another
    /// id, so that a message that must not be delivered twice is not sent under this one.
    pub acknowledged: bool,
    /// The attempts that are known.
    pub attempts: Vec<AttemptRecord>,
    /// The final status, once it is decided. It may not have been reported yet.
    pub verdict: Option<Verdict>,
    /// The key by which the destination detects duplicates; empty if the client gave none. It is the last
    /// field: rows of earlier builds end before it.
    pub idempotency_key: String,
}

impl Record {
    /// Returns the record in the form that is sent. The clocks of senders differ, so the deadline becomes the
    /// time that is left and times of attempts become their age.
    pub(crate) fn with_relative_times(&self, unix: Micros) -> Self {
        let mut record = self.clone();
        record.deadline = self.deadline.saturating_sub(unix);
        record.attempts.iter_mut().for_each(|attempt| attempt.at = unix.saturating_sub(attempt.at));
        record
    }

    /// Converts a received record to times of the local wall clock.
    pub(crate) fn with_absolute_times(mut self, unix: Micros) -> Self {
        self.deadline = unix.saturating_add(self.deadline);
        self.attempts.iter_mut().for_each(|attempt| attempt.at = unix.saturating_sub(attempt.at));
        self
    }

    /// Returns the bytes that count against the limit for copies: its strings and the overhead of its row and
    /// map entries.
    pub(crate) fn stored_size(&self) -> usize {
        const ROW_OVERHEAD: usize = 256;
        self.body.len() + self.class.len() + self.tenant.len() + self.idempotency_key.len() + ROW_OVERHEAD
    }

    /// Sets the time of each attempt to that at which witnesses have recorded it, and to an unknown one if
    /// none of them has. A witness whose consent counts has recorded an attempt before it was made. Any
    /// other time is that of a frame which may have been under way for long.
    pub(crate) fn date_attempts(&mut self, recorded: &[AttemptRecord]) {
        for attempt in &mut self.attempts {
            let known = recorded.iter().find(|known| known.number == attempt.number);
            attempt.at = known.map_or(UNKNOWN_TIME, |known| known.at);
        }
    }

    /// Adds an attempt. If the attempt is known already, it counts as never run when either record says so.
    pub(crate) fn add_attempt(&mut self, attempt: AttemptRecord) {
        match self.attempts.iter_mut().find(|known| known.number == attempt.number) {
            Some(known) => known.never_ran |= attempt.never_ran,
            None => self.attempts.push(attempt),
        }
    }
}
