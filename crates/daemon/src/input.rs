//! What the parts of the program tell the node. It stands apart, so that no part imports the node.

use crate::endpoint_list::EndpointList;
use crate::operations::{No, Word};
use crate::settings::config::Config;
use notchpoint_policy::{DestinationId, Event, Message, MessageId, Micros, Outcome};
use notchpoint_store::Mark;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tokio::sync::oneshot;

/// The module's clock starts here, so that no span looks back beyond its zero: longer ones are turned down in
/// settings.
pub const CLOCK_START: Micros = 1 << 50;

/// A message that was taken on. What is left of its time stands in its record alone: counted here as well, it
/// would run from a later moment behind a slow disk or on its way from another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    pub id: MessageId,
    /// By position, as the tenant.
    pub class: u32,
    pub tenant: Option<u32>,
    pub dest: DestinationId,
    /// It is known to have been handed in before.
    pub again: bool,
}

impl AcceptedMessage {
    /// What the decisions are told of it.
    pub fn message(&self, expires_in: Micros) -> Message {
        let Self { id, class, tenant, dest, again } = *self;
        Message { id, class, tenant, key: None, dest, is_retry: again, expires_in }
    }
}

/// One piece of news for the node.
#[derive(Debug)]
pub enum Input {
    Event(Event),
    /// A message was taken on, and its client can have heard it.
    Acknowledged(AcceptedMessage),
    ListUpdate(EndpointList),
    /// The watch with this number failed or ended.
    WatchEnded(u64),
    /// A new configuration, checked whole, and its text.
    ConfigurationChanged(Box<Config>, String),
    /// A configuration that the store did not take is to be tried again.
    RetryConfiguration,
    /// The client of a message that was recorded did not hear of it; the record is gone.
    Unacknowledged(MessageId),
    /// An attempt that was out in an earlier life has ended.
    PredecessorAttemptEnded {
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        /// Nothing is owed for the message any more.
        over: bool,
    },
    /// The process before this one has ended: what it had recorded and not told of is taken up.
    PredecessorEnded(BTreeSet<MessageId>),
    /// A message that another sender had promised is this one's, and stands in the journal.
    Adopted(MessageId),
    /// A message is another sender's: nothing is owed for it here, and its record is gone.
    OwnershipLost(MessageId),
    /// An attempt of this message was not made, since others did not consent: it rests.
    ConsentDenied(MessageId),
    /// A message was answered so late that its answer may not count.
    DeliveryUncertain(MessageId),
    /// A message has rested.
    PauseElapsed(MessageId),
    /// Clients are sent elsewhere, or again here: the zone in which this sender stands was left.
    RedirectClients(bool),
    /// An operator's word, and where it is answered once it holds.
    OperatorCommand(Word, Reply),
}

/// What a word came to.
pub type Answer = Result<Done, No>;

/// A word holds from now on, and outlasts the process once the store is safe up to the mark.
#[derive(Debug)]
pub struct Done {
    pub what: String,
    pub mark: Mark,
}

/// Where a word is answered, once.
#[derive(Debug)]
pub struct Reply(pub oneshot::Sender<Answer>);

impl Reply {
    /// Who asked may have gone; the word holds all the same.
    pub fn give(self, answer: Answer) {
        let _ = self.0.send(answer);
    }
}
