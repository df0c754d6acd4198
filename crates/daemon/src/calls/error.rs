//! Why a call has no answer.

use crate::io::is_local_error;
use std::io;

/// Why a call came to nothing. How far its request got tells whether it can have run.
#[derive(Debug)]
pub(super) enum CallError {
    /// The system here had no socket, port or route for a connection. It says nothing of the endpoint.
    NotSent(io::Error),
    /// The endpoint refused the connection, or did not answer in time.
    Unreachable,
    /// The connection broke, or what came on it is no answer.
    Broken,
}

impl CallError {
    /// What an error of `connect` means. Only what the other side, or the way there, said is held against the
    /// endpoint.
    pub(super) fn of_connect(why: io::Error) -> Self {
        if is_local_error(&why) { Self::NotSent(why) } else { Self::Unreachable }
    }
}
