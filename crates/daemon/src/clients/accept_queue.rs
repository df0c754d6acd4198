//! How long a connection may have waited in the system's queue before it was taken: a bound, from what was
//! seen of the queue, free of sockets and clock. A client's time runs while it waits there.

use std::time::Duration;

/// A client waits so long for its answer: one that has waited longer is not there any more.
const PATIENCE: Duration = Duration::from_millis(400);

/// What is known of the queue. Moments are counted from one that lies so long before its owner began to take
/// connections: what came earlier is not waited for any more.
#[derive(Debug, Default)]
pub struct AcceptQueue {
    /// Who is in it came after this; nothing is known of a queue that was never seen empty.
    empty: Option<Duration>,
    /// It was seen empty, and nobody has been taken from it since: who comes is taken at once.
    watched: bool,
}

impl AcceptQueue {
    /// The moment at which its owner begins to take connections.
    pub const BEGINS: Duration = PATIENCE;

    /// A queue that was seen empty so long before its owner begins, if it was.
    pub fn new(seen_empty: Option<Duration>) -> Self {
        Self { empty: seen_empty.and_then(|ago| Self::BEGINS.checked_sub(ago)), watched: false }
    }

    /// How long ago it was seen empty, if it was.
    pub fn seen_empty(&self, now: Duration) -> Option<Duration> {
        let empty = if self.watched { Some(now) } else { self.empty };
        empty.map(|at| now.saturating_sub(at))
    }

    /// Nobody is in it, and the next who comes is told of.
    pub fn is_empty(&mut self, now: Duration) {
        self.empty = Some(now);
        self.watched = true;
    }

    /// Somebody was taken from it. Gives how long that one has waited at most.
    pub fn taken(&mut self, now: Duration) -> Duration {
        if std::mem::take(&mut self.watched) {
            self.empty = Some(now);
        }
        self.empty.map_or(PATIENCE, |since| now.saturating_sub(since).min(PATIENCE))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn who_comes_to_a_watched_queue_has_not_waited_and_those_behind_as_long_as_it_was_not_empty() {
        let mut queue = AcceptQueue::default();
        assert_eq!(queue.taken(ms(0)), PATIENCE, "inherited: nothing is known of it");
        queue.is_empty(ms(10));
        // Quiet for a minute, then one comes.
        assert_eq!(queue.taken(ms(60_000)), ms(0));
        // No place for a while: the next ones may have come just behind it.
        assert_eq!(queue.taken(ms(60_150)), ms(150));
        assert_eq!(queue.taken(ms(60_320)), ms(320));
        assert_eq!(queue.taken(ms(63_000)), PATIENCE);
        queue.is_empty(ms(63_001));
        assert_eq!(queue.taken(ms(63_100)), ms(0));
    }
}
