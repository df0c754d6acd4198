//! The frames of a hand-over between two processes of one sender, and what each process does when the
//! connection to the other one ends. Free of I/O and clocks; `transport.rs` moves the frames.
//!
//! At any time one process owns the store and makes the decisions. The predecessor sends its state and
//! releases the store; the successor opens the store, sends [`Frame::Owned`], and is the owner from then on.
//! Calls and partly read requests that are still open at the predecessor end there, and the predecessor
//! reports the end of each to the owner.

use crate::endpoint_list::Member;
use crate::input::{AcceptedMessage, Input};
use crate::operations::Rejection;
use crate::settings::descriptors::HeldDescriptors;
use hyper::StatusCode;
use notchpoint_policy::{
    Allowance, Class, DestinationId, EndpointId, Event, MessageId, Micros, Outcome, Sender,
};
use serde::{Deserialize, Serialize};

/// Incremented with every change to the frames. The format of the policy's state has its own number.
pub const VERSION: u16 = 4;
const MAGIC: [u8; 6] = *b"NPHAND";
/// Length of the greeting that both sides send first; the same in every version.
pub const HELLO_BYTES: usize = 16;

/// An attempt in flight: its message, its number, and its endpoint.
pub type AttemptInFlight = (MessageId, u32, EndpointId);
/// A wait in force on a route, and the time that is left of it.
pub type RouteWait = (DestinationId, Option<EndpointId>, Micros);

/// The state that the predecessor sends to its successor.
#[derive(Clone, Serialize, Deserialize)]
pub struct HandoverState {
    /// Text of the configuration in force.
    pub config_text: String,
    /// The policy's clock when the state was taken.
    pub policy_time: Micros,
    /// The journal's timeline when the state was taken, in microseconds.
    pub unix_time: u64,
    pub sender: Sender,
    /// Events that the policy has not processed yet.
    pub events: Vec<Event>,
    /// When the policy asked to be called again, by its own clock.
    pub wake_at: Option<Micros>,
    /// For each message that is open or has an attempt in flight: attempts made, and attempts in flight.
    pub attempt_counts: Vec<(MessageId, u32, u32)>,
    /// Attempts in flight.
    pub attempts_in_flight: Vec<AttemptInFlight>,
    /// Messages with an attempt in flight that only an earlier process or session knows.
    pub predecessor_attempts: Vec<MessageId>,
    /// How long ago the accept queue of the clients' socket was empty, if that is known.
    pub queue_seen_empty: Option<Micros>,
    /// Waits in force on routes, with the time that is left of each.
    pub waits: Vec<RouteWait>,
    pub members: Vec<Member>,
    pub revision: u64,
    /// What the predecessor holds at most from now on.
    pub descriptors: HeldDescriptors,
    /// Classes by index: tag, definition, and whether clients may use it.
    pub classes: Vec<(String, Class, bool)>,
}

/// A request that the predecessor has read and that the owner records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    pub id: MessageId,
    pub tag: String,
    pub tenant: String,
    pub dest: DestinationId,
    /// The message's deadline by the journal's timeline, which both processes read: a remaining time would
    /// not count the time that the frame takes.
    pub deadline: u64,
    pub idempotency_key: String,
    pub body: Vec<u8>,
}

/// The owner's response to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// The message was recorded; `class` is the index of its class.
    Recorded { class: u32 },
    /// There is no room: the client is advised to retry later.
    RetryLater,
    /// The id is in use.
    Conflict,
}

/// A frame of the hand-over protocol.
#[derive(Clone, Serialize, Deserialize)]
pub enum Frame {
    /// From the predecessor: the hand-over is refused for this reason, and the predecessor goes on serving.
    Refused(String),
    /// From the predecessor: its whole state. The store is released.
    State(Box<HandoverState>),
    /// From the successor: it owns the store.
    Owned,
    /// From the predecessor: it holds at most this many descriptors from now on. The others are the owner's.
    Descriptors(HeldDescriptors),
    /// From the predecessor: an attempt ended.
    AttemptEnded {
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        is_final: bool,
        allowance: Option<Allowance>,
    },
    /// From the successor: stop waiting for an attempt.
    CancelAttempt { id: MessageId, attempt: u32 },
    /// From the predecessor: a request was read completely and is to be recorded.
    ForwardRequest { number: u64, request: ForwardedRequest },
    /// From the successor: the response to a forwarded request.
    ForwardResponse { number: u64, result: ForwardResult },
    /// From the predecessor: the client can have received the acknowledgement of its message.
    Acknowledged(AcceptedMessage),
    /// From the predecessor: the client did not receive the acknowledgement, and the message is withdrawn.
    Unacknowledged(MessageId),
}

/// Writes only the kind of the frame: a frame may hold message bodies and the whole state.
impl std::fmt::Debug for Frame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Refused(_) => "Refused",
            Self::State(_) => "State",
            Self::Owned => "Owned",
            Self::Descriptors(_) => "Descriptors",
            Self::AttemptEnded { .. } => "AttemptEnded",
            Self::CancelAttempt { .. } => "CancelAttempt",
            Self::ForwardRequest { .. } => "ForwardRequest",
            Self::ForwardResponse { .. } => "ForwardResponse",
            Self::Acknowledged(_) => "Acknowledged",
            Self::Unacknowledged(_) => "Unacknowledged",
        })
    }
}

/// The greeting of this build.
pub fn hello() -> [u8; HELLO_BYTES] {
    let mut greeting = [0; HELLO_BYTES];
    greeting[..6].copy_from_slice(&MAGIC);
    greeting[6..8].copy_from_slice(&VERSION.to_le_bytes());
    greeting[8..].copy_from_slice(&notchpoint_policy::STATE_FORM.to_le_bytes());
    greeting
}

/// Checks that the other side's greeting is compatible with this build.
///
/// # Errors
/// Why it is not compatible.
pub fn check_hello(greeting: &[u8; HELLO_BYTES]) -> Result<(), String> {
    let own = hello();
    if greeting[..6] != own[..6] {
        return Err("the other side is not notchpoint".into());
    }
    if greeting[6..8] != own[6..8] {
        let theirs = u16::from_le_bytes([greeting[6], greeting[7]]);
        return Err(format!("protocol version {theirs} is not supported (this build speaks {VERSION})"));
    }
    if greeting[8..] != own[8..] {
        return Err("the other process's build has a different format of the policy's state".into());
    }
    Ok(())
}

/// Returns the frame by which the predecessor reports an input of its own to the owner, if the owner needs
/// it. Operators' commands are refused here.
pub fn frame_for(input: Input) -> Option<Frame> {
    match input {
        Input::Event(Event::Ended { id, attempt, outcome, is_final, allowance }) => {
            Some(Frame::AttemptEnded { id, attempt, outcome, is_final, allowance })
        }
        Input::PredecessorAttemptEnded { id, attempt, outcome, is_final } => {
            Some(Frame::AttemptEnded { id, attempt, outcome, is_final, allowance: None })
        }
        Input::Acknowledged(accepted) => Some(Frame::Acknowledged(accepted)),
        Input::Unacknowledged(id) => Some(Frame::Unacknowledged(id)),
        Input::OperatorCommand(_, reply) => {
            let why = "another process has taken over: send the command to its address";
            reply.send(Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, why)));
            None
        }
        // The owner has its own list, connections and configuration.
        _ => None,
    }
}

/// What the predecessor does once the connection to its successor has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterDisconnect {
    /// The successor never owned the store: go on with the state that was sent, and what ended meanwhile.
    Resume,
    /// The successor may have made decisions: start again from what the store holds.
    ReloadFromStore,
    /// This process was asked to end.
    Exit,
}

/// Decides what the predecessor does. `owned` says whether the successor reported that it owns the store,
/// `ending` whether this process was asked to end.
pub fn after_disconnect(owned: bool, ending: bool) -> AfterDisconnect {
    match (owned, ending) {
        (_, true) => AfterDisconnect::Exit,
        (true, _) => AfterDisconnect::ReloadFromStore,
        (false, _) => AfterDisconnect::Resume,
    }
}

impl HandoverState {
    /// Shortens the waits by the time that has passed since the state was taken.
    pub fn subtract_elapsed(&mut self, elapsed: Micros) {
        self.waits.iter_mut().for_each(|w| w.2 = w.2.saturating_sub(elapsed));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_same_version_and_state_format_are_accepted() {
        assert_eq!(check_hello(&hello()), Ok(()));
        for (byte, reason) in [(0, "is not notchpoint"), (6, "protocol version"), (8, "different format")] {
            let mut greeting = hello();
            greeting[byte] ^= 1;
            let why = check_hello(&greeting).expect_err(reason);
            assert!(why.contains(reason), "byte {byte}: {why}");
        }
    }

    #[test]
    fn after_a_disconnect_the_last_owner_decides_what_the_predecessor_does() {
        assert_eq!(after_disconnect(false, false), AfterDisconnect::Resume);
        assert_eq!(after_disconnect(true, false), AfterDisconnect::ReloadFromStore);
        assert_eq!([after_disconnect(false, true), after_disconnect(true, true)], [AfterDisconnect::Exit; 2]);
    }
}
