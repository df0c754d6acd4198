//! What a partner saw and what took effect: the evidence that rules are checked on.

use crate::Micros;

/// A call, numbered by the partner in the order in which they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A message took effect, or was recognised as one that had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effect {
    /// When.
    pub at: Micros,
    /// The message.
    pub message: u64,
    /// At which of the partner's endpoints.
    pub endpoint: usize,
    /// Its caller had gone by then.
    pub abandoned: bool,
    /// It was dropped as a repeat: no second effect.
    pub is_duplicate: bool,
}

/// A call that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Its number.
    pub call: CallId,
    /// When its first byte came.
    pub first_byte_at: Micros,
    /// When its last byte came.
    pub received_at: Micros,
    /// At which endpoint.
    pub endpoint: usize,
    /// Which sender made it.
    pub sender: usize,
    /// The messages in it.
    pub messages: Vec<u64>,
    /// When it was answered, with which status; 0 for what is no answer.
    pub answer: Option<(Micros, u16)>,
    /// How long the answer told to wait.
    pub retry_after: Option<Micros>,
    /// When its caller was gone.
    pub caller_gone_at: Option<Micros>,
}

/// All of it. It grows with the run; a run has an end.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// In the order of time.
    pub effects: Vec<Effect>,
    /// In the order of their numbers, which is that of time.
    pub calls: Vec<CallRecord>,
    /// When an endpoint that was still cold got too much and fell over.
    pub overload_failures: Vec<(Micros, usize)>,
}
