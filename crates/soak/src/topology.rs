//! Which endpoints share a limit, and which senders inherit their listening socket from the platform.

/// Returns whether each endpoint of a destination is a route of its own. Such endpoints also take several
/// messages in a call.
pub const fn is_limited_per_endpoint(destination: usize) -> bool {
    destination % 2 == 1
}

/// Returns the route of an endpoint, which shares one limit: the first endpoint of its destination, or the
/// endpoint itself.
pub const fn route(endpoint: usize) -> usize {
    if is_limited_per_endpoint(endpoint / 2) { endpoint } else { endpoint / 2 * 2 }
}

/// Returns whether the processes of a sender inherit the listening socket for clients, so that one can take
/// over from another.
pub const fn inherits_listener(sender: usize) -> bool {
    sender.is_multiple_of(2)
}

/// Returns this sender, or the one before it, whichever inherits its listening socket.
pub const fn nearest_with_inherited_listener(sender: usize) -> usize {
    if inherits_listener(sender) { sender } else { sender - 1 }
}
