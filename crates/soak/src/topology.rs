//! Which endpoints belong together, and for which senders the platform holds the clients' socket.

/// Whether the endpoints of a destination are routes of their own, and take several messages in a call.
pub const fn is_apart(dest: usize) -> bool {
    dest % 2 == 1
}

/// What shares a limit: a destination, by its first endpoint, or one endpoint of it.
pub const fn route(endpoint: usize) -> usize {
    if is_apart(endpoint / 2) { endpoint } else { endpoint / 2 * 2 }
}

/// Whether the platform holds the clients' socket of a sender, so that processes may take over from one
/// another.
pub const fn is_held(sender: usize) -> bool {
    sender.is_multiple_of(2)
}

/// The sender next to this one of which that is so.
pub const fn platform_held(sender: usize) -> usize {
    if is_held(sender) { sender } else { sender - 1 }
}
