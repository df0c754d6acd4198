//! Why a call has no answer.

use std::io::{self, ErrorKind};

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
    /// endpoint; all else that Linux documents for `socket` and `connect` is of this machine.
    pub(super) fn of_connect(why: io::Error) -> Self {
        match why.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable => Self::Unreachable,
            _ => Self::NotSent(why),
        }
    }
}
