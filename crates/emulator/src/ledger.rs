//! Record of the calls that a partner received and of the messages that took effect. A checker verifies its
//! rules with it.

use crate::Micros;

/// Number of a call. The partner numbers calls in the order in which it receives them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A message that took effect, or that was recognised as a duplicate of one that had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Time of the effect.
    pub at: Micros,
    /// Id of the message.
    pub message: u64,
    /// Endpoint of the partner that carried the message out.
    pub endpoint: usize,
    /// Whether the caller had closed its connection before that time.
    pub abandoned: bool,
    /// Whether the message was dropped as a duplicate and had no second effect.
    pub is_duplicate: bool,
}

/// A call that the partner received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Number of the call.
    pub call: CallId,
    /// Time at which its first byte was received.
    pub first_byte_at: Micros,
    /// Time at which its last byte was received.
    pub received_at: Micros,
    /// Endpoint that received it.
    pub endpoint: usize,
    /// Number of the sender that made it.
    pub sender: usize,
    /// Ids of the messages in it.
    pub messages: Vec<u64>,
    /// Time and status of the answer. The status is 0 where what was returned is not a valid answer.
    pub answer: Option<(Micros, u16)>,
    /// Wait that the answer asked for.
    pub retry_after: Option<Micros>,
    /// Time at which the caller closed its connection without waiting for the answer.
    pub caller_gone_at: Option<Micros>,
}

/// All calls and effects of a run. It is never pruned, so its size is bounded only by the length of the run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Effects in order of time.
    pub effects: Vec<Effect>,
    /// Calls in order of their numbers, which is also the order of time.
    pub calls: Vec<CallRecord>,
    /// Times at which a cold endpoint failed because it received too many calls, with its number.
    pub overload_failures: Vec<(Micros, usize)>,
}
