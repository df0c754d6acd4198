//! What passes between two processes of one sender while the new one takes over from the old, and what each
//! does when the other falls silent. Free of I/O and clocks; `passage.rs` moves the frames.
//!
//! One process owns the store and decides at any moment. The old one gives its state and releases the store;
//! the new one opens the store, says [`Frame::Owned`], and owns from then on. What is still open at the old
//! one, calls and half-read requests, ends there, and every end is told to the owner.

use crate::endpoint_list::Member;
use crate::input::{AcceptedMessage, Input};
use crate::operations::No;
use hyper::StatusCode;
use notchpoint_policy::{
    Allowance, Class, DestinationId, EndpointId, Event, MessageId, Micros, Outcome, Sender,
};
use serde::{Deserialize, Serialize};

/// Raised with every change of the frames; the form of the module's state has a number of its own.
pub const VERSION: u16 = 3;
const MAGIC: [u8; 6] = *b"NPHAND";
/// The first word of both sides, the same in every version.
pub const HELLO: usize = 16;

/// An attempt that is out: its message, its number, and where.
pub type Out = (MessageId, u32, EndpointId);
/// A wait in force on a route, and what is left of it.
pub type Wait = (DestinationId, Option<EndpointId>, Micros);

/// The state that a process gives away.
#[derive(Clone, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub text: String,
    /// The module's clock, and the journal's timeline at that moment (microseconds).
    pub at: Micros,
    pub unix: u64,
    pub sender: Sender,
    /// What the module has not heard of yet.
    pub events: Vec<Event>,
    /// When the module asked to be called.
    pub wake: Option<Micros>,
    /// For each message that is open or has one out: attempts made, and out.
    pub attempts: Vec<(MessageId, u32, u32)>,
    /// Attempts that are out.
    pub out: Vec<Out>,
    /// Messages with an attempt out that is known to an earlier life only.
    pub elsewhere: Vec<MessageId>,
    /// How long ago nobody waited at the clients' socket, if that is known.
    pub queue_seen_empty: Option<Micros>,
    /// Waits in force: what is left of each.
    pub waits: Vec<Wait>,
    pub members: Vec<Member>,
    pub revision: u64,
    /// Classes by place: tag, definition, and whether clients may use it.
    pub classes: Vec<(String, Class, bool)>,
}

/// A request that the old process has read and the owner is to record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    pub id: MessageId,
    pub tag: String,
    pub tenant: String,
    pub dest: DestinationId,
    /// When its time is up, by the journal's timeline, which both processes read: the way here takes time.
    pub deadline: u64,
    pub idempotency_key: String,
    pub body: Vec<u8>,
}

/// What the owner says of such a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// Recorded, in this place of classes.
    Recorded { class: u32 },
    /// No room: the client is told when to come back.
    RetryLater,
    /// An id that is in use.
    Conflict,
}

#[derive(Clone, Serialize, Deserialize)]
pub enum Frame {
    /// Old: nothing is given away, for this reason. It goes on serving.
    No(String),
    /// Old: this is all; the store is free.
    State(Box<State>),
    /// New: the store is mine.
    Owned,
    /// Old: an attempt ended.
    Ended { id: MessageId, attempt: u32, outcome: Outcome, over: bool, allowance: Option<Allowance> },
    /// New: stop waiting for an attempt.
    Cancel { id: MessageId, attempt: u32 },
    /// Old: a request was read whole.
    ForwardRequest { number: u64, handed: ForwardedRequest },
    /// New: what became of it.
    Answer { number: u64, taken: ForwardResult },
    /// Old: a client can have heard that its message was taken on.
    Acknowledged(AcceptedMessage),
    /// Old: a client did not hear it, and its message is withdrawn.
    Unacknowledged(MessageId),
}

impl std::fmt::Debug for Frame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::No(_) => "No",
            Self::State(_) => "State",
            Self::Owned => "Owned",
            Self::Ended { .. } => "Ended",
            Self::Cancel { .. } => "Cancel",
            Self::ForwardRequest { .. } => "Handed",
            Self::Answer { .. } => "Answer",
            Self::Acknowledged(_) => "Heard",
            Self::Unacknowledged(_) => "Unheard",
        })
    }
}

/// This build's first word.
pub fn hello() -> [u8; HELLO] {
    let mut word = [0; HELLO];
    word[..6].copy_from_slice(&MAGIC);
    word[6..8].copy_from_slice(&VERSION.to_le_bytes());
    word[8..].copy_from_slice(&notchpoint_policy::STATE_FORM.to_le_bytes());
    word
}

/// Whether the other side's first word is one to go on with.
///
/// # Errors
/// Why it is not.
pub fn greeted(word: &[u8; HELLO]) -> Result<(), String> {
    let ours = hello();
    if word[..6] != ours[..6] {
        return Err("what speaks there is no notchpoint".into());
    }
    if word[6..8] != ours[6..8] {
        let theirs = u16::from_le_bytes([word[6], word[7]]);
        return Err(format!("the other process hands over in version {theirs}, this one in {VERSION}"));
    }
    if word[8..] != ours[8..] {
        return Err("the other process's build keeps its decisions in another form".into());
    }
    Ok(())
}

/// What the old process tells the owner of something that happened at it.
pub fn told(input: Input) -> Option<Frame> {
    match input {
        Input::Event(Event::Ended { id, attempt, outcome, is_final: over, allowance }) => {
            Some(Frame::Ended { id, attempt, outcome, over, allowance })
        }
        Input::PredecessorAttemptEnded { id, attempt, outcome, over } => {
            Some(Frame::Ended { id, attempt, outcome, over, allowance: None })
        }
        Input::Acknowledged(accepted) => Some(Frame::Acknowledged(accepted)),
        Input::Unacknowledged(id) => Some(Frame::Unacknowledged(id)),
        Input::OperatorCommand(_, reply) => {
            let why = "another process has taken over: ask at its address";
            reply.give(Err(No::new(StatusCode::SERVICE_UNAVAILABLE, why)));
            None
        }
        // Its list, its connections and its configuration are the owner's matter now.
        _ => None,
    }
}

/// What the old process does when the new one falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing has changed hands: it goes on with the state that it wrote, and what ended meanwhile.
    GoOn,
    /// The new one may have decided: what the folder holds counts.
    FromFolder,
    /// It has been told to end.
    Leave,
}

pub fn after_silence(owned: bool, ending: bool) -> Next {
    match (owned, ending) {
        (_, true) => Next::Leave,
        (true, _) => Next::FromFolder,
        (false, _) => Next::GoOn,
    }
}

impl State {
    /// What was to last for a time counted from the moment of the state has so much less of it now.
    pub fn grow_older(&mut self, by: Micros) {
        self.waits.iter_mut().for_each(|w| w.2 = w.2.saturating_sub(by));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_same_version_and_form_is_gone_on_with() {
        assert_eq!(greeted(&hello()), Ok(()));
        for (byte, said) in [(0, "no notchpoint"), (6, "in version"), (8, "another form")] {
            let mut word = hello();
            word[byte] ^= 1;
            let why = greeted(&word).expect_err(said);
            assert!(why.contains(said), "byte {byte}: {why}");
        }
    }

    #[test]
    fn who_owned_last_says_what_the_old_process_does_in_silence() {
        assert_eq!(after_silence(false, false), Next::GoOn);
        assert_eq!(after_silence(true, false), Next::FromFolder);
        assert_eq!([after_silence(false, true), after_silence(true, true)], [Next::Leave; 2]);
    }
}
