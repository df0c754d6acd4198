//! An upper bound on how long a connection waited in the system's accept queue, derived from when that queue
//! was seen empty. A client's time-out runs while its connection waits there.
//!
//! This module uses no sockets and reads no clock.

use std::time::Duration;

/// A client waits this long for its answer. A connection that has waited longer has no client any more.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of the accept queue. Times are counted from `CLIENT_TIMEOUT` before this process began to
/// accept connections: the clients of earlier connections have given up.
#[derive(Debug, Default)]
pub struct AcceptQueue {
    /// All connections in the queue arrived after this time. `None` if the queue was never seen empty.
    empty_at: Option<Duration>,
    /// The queue was seen empty and no connection has been accepted since, so the next one is accepted at
    /// once.
    is_awaited: bool,
}

impl AcceptQueue {
    /// The time at which this process begins to accept connections.
    pub const START: Duration = CLIENT_TIMEOUT;

    /// Creates the state for a queue that was last seen empty this long before the start, if ever.
    pub fn new(seen_empty: Option<Duration>) -> Self {
        Self { empty_at: seen_empty.and_then(|ago| Self::START.checked_sub(ago)), is_awaited: false }
    }

    /// Returns how long ago the queue was last seen empty, if ever.
    pub fn seen_empty(&self, now: Duration) -> Option<Duration> {
        let empty_at = if self.is_awaited { Some(now) } else { self.empty_at };
        empty_at.map(|at| now.saturating_sub(at))
    }

    /// Records that the queue is empty, and that the next connection is accepted as soon as it arrives.
    pub fn record_empty(&mut self, now: Duration) {
        self.empty_at = Some(now);
        self.is_awaited = true;
    }

    /// Records that a connection was accepted. Returns the longest time that it may have waited.
    pub fn record_accepted(&mut self, now: Duration) -> Duration {
        if std::mem::take(&mut self.is_awaited) {
            self.empty_at = Some(now);
        }
        self.empty_at.map_or(CLIENT_TIMEOUT, |since| now.saturating_sub(since).min(CLIENT_TIMEOUT))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn the_first_connection_after_an_empty_queue_has_not_waited_and_later_ones_at_most_since_then() {
        let mut queue = AcceptQueue::default();
        assert_eq!(queue.record_accepted(ms(0)), CLIENT_TIMEOUT, "inherited: nothing is known of it");
        queue.record_empty(ms(10));
        // No connection arrives for a minute, then one does.
        assert_eq!(queue.record_accepted(ms(60_000)), ms(0));
        // No slot is free for a while: the next connections may have arrived right after it.
        assert_eq!(queue.record_accepted(ms(60_150)), ms(150));
        assert_eq!(queue.record_accepted(ms(60_320)), ms(320));
        assert_eq!(queue.record_accepted(ms(63_000)), CLIENT_TIMEOUT);
        queue.record_empty(ms(63_001));
        assert_eq!(queue.record_accepted(ms(63_100)), ms(0));
    }
}
