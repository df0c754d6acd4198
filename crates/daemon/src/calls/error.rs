//! Why a call has no response.

use crate::io::is_local_error;
use std::io;

/// Why a call failed. Whether it can have run depends on how much of its request was written.
#[derive(Debug)]
pub(super) enum CallError {
    /// This machine had no socket, port or route for a connection. The endpoint is not to blame.
    NotSent(io::Error),
    /// The endpoint refused the connection, or did not accept it in time.
    Unreachable,
    /// The connection broke, or what was received on it is not a response.
    Broken,
}

impl CallError {
    /// Classifies an error of `connect`. Only what the other side or the network reported counts against the
    /// endpoint.
    pub(super) fn of_connect(why: io::Error) -> Self {
        if is_local_error(&why) { Self::NotSent(why) } else { Self::Unreachable }
    }
}
