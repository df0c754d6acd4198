//! Which endpoints belong together.

/// Whether the endpoints of a destination are routes of their own, and take several messages in a call.
pub const fn is_apart(dest: usize) -> bool {
    dest % 2 == 1
}

/// What shares a limit: a destination, by its first endpoint, or one endpoint of it.
pub const fn route(endpoint: usize) -> usize {
    if is_apart(endpoint / 2) { endpoint } else { endpoint / 2 * 2 }
}
