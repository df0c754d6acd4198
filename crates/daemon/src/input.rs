//! The inputs of the decision loop. They have a module of their own, so that no part of the program imports
//! the decision loop.

use crate::endpoint_list::EndpointList;
use crate::holds::IdHold;
use crate::operations::{OperatorCommand, Rejection};
use crate::settings::config::Config;
use notchpoint_policy::{DestinationId, Event, MessageId, Micros, Outcome};
use notchpoint_store::LogPosition;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// The policy's clock starts at this value. Settings with longer durations are rejected, so no duration that
/// is subtracted from a time leads below zero.
pub const CLOCK_START: Micros = 1 << 50;

/// A message that was accepted. Only its record says what it is. A remaining time kept here would begin to
/// run too late, after a slow write to the disk or the transfer from another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    pub id: MessageId,
    /// The index of the class in the settings of the process or session that accepted the message, as
    /// `tenant` is the index of the tenant. Both mean something else in other tables, and only the frames'
    /// form keeps them.
    pub class: u32,
    pub tenant: Option<u32>,
    pub dest: DestinationId,
    /// The client has marked it as a resend.
    pub is_retry: bool,
}

/// One input of the decision loop.
#[derive(Debug)]
pub enum Input {
    Event(Event),
    /// A message was accepted, and its client can have received the acknowledgement.
    Acknowledged(AcceptedMessage),
    ListUpdate(EndpointList),
    /// The watch with this number failed or ended.
    WatchEnded(u64),
    /// A new configuration that was checked as a whole, and its text.
    ConfigurationChanged(Box<Config>, String),
    /// Time to retry a configuration that the store did not accept.
    RetryConfiguration,
    /// The client of a recorded message did not receive the acknowledgement; the record is deleted.
    Unacknowledged(MessageId),
    /// An attempt that was in flight at the predecessor, or in an earlier session, has ended.
    PredecessorAttemptEnded {
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        /// The message needs no further attempt.
        is_final: bool,
    },
    /// The predecessor has ended: the messages that it recorded and did not report on are resumed here.
    PredecessorEnded(Vec<IdHold>),
    /// This sender has taken over a message that another one had acknowledged; the journal holds it.
    Adopted(IdHold),
    /// Another sender owns this message: its record here is deleted, and nothing more is done for it.
    OwnershipLost(MessageId),
    /// An attempt of this message was not made, since the replicas did not consent to it: the message pauses.
    ConsentDenied(MessageId),
    /// A message was delivered so close to its deadline that the delivery may not count.
    DeliveryUncertain(IdHold),
    /// The pause of a message is over.
    PauseElapsed(IdHold),
    /// Whether clients are to be directed to other senders, because the zone of this sender is evacuated.
    RedirectClients(bool),
    /// An operator's command, and the reply to send once it is in effect.
    OperatorCommand(OperatorCommand, CommandReply),
}

/// The result of an operator's command.
pub type CommandResult = Result<AppliedCommand, Rejection>;

/// A command that is in effect. It outlasts the process once the store is durable up to `log_end`.
#[derive(Debug)]
pub struct AppliedCommand {
    pub description: String,
    /// The position behind the command's records.
    pub log_end: LogPosition,
}

/// Answers an operator's command, once.
#[derive(Debug)]
pub struct CommandReply(pub oneshot::Sender<CommandResult>);

impl CommandReply {
    /// Sends the result. The command stays in effect even if the connection that asked has gone.
    pub fn send(self, result: CommandResult) {
        let _ = self.0.send(result);
    }
}
