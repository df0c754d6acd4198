//! What the parts of the program tell the node. It stands apart, so that no part imports the node.

use crate::listing::Listing;
use notchpoint_policy::{Event, Message, Micros};
use tokio::time::Instant;

/// The module's clock starts here, so that no span looks back beyond its zero.
pub const CLOCK_START: Micros = 100_000_000;

/// One piece of news for the node.
#[derive(Debug)]
pub enum Input {
    Event(Event),
    /// A message was taken on, and its client can have heard it; the time left counts from then.
    Taken(Message, Instant),
    Listed(Listing),
    /// The watch failed or ended.
    Unlisted,
}
