//! Counted holds on keys: a key is in use for as long as any part of the program holds it.
//!
//! The parts of the program learn at different times that a message has ended. A part that may still act on
//! the message by its id (an attempt in flight, a queued input, a notice that is being posted) keeps an
//! [`IdHold`]. A new message is accepted only under an id that has neither a record nor a hold, so that
//! nothing that concerns an earlier message reaches a later one. Conversely, each open message of the journal
//! has a hold: one without a hold is forgotten by all parts, which the decision loop detects.
//!
//! In the same way the class of a request that is still being read is held, by its index.

use notchpoint_policy::MessageId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::rc::Rc;

/// Which message ids are in use besides the records of the journal.
pub type IdHolds = Holds<MessageId>;
/// Keeps a message id in use until it is dropped.
pub type IdHold = Hold<MessageId>;

/// The keys that are held, each with the number of its holds.
#[derive(Clone)]
pub struct Holds<Key>(Rc<RefCell<HashMap<Key, usize>>>);

impl<Key> Default for Holds<Key> {
    fn default() -> Self {
        Self(Rc::default())
    }
}

impl<Key: fmt::Debug> fmt::Debug for Holds<Key> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.0.borrow().iter()).finish()
    }
}

impl<Key: Copy + Eq + Hash> Holds<Key> {
    /// Holds a key until the returned value is dropped.
    pub fn hold(&self, key: Key) -> Hold<Key> {
        *self.0.borrow_mut().entry(key).or_default() += 1;
        Hold { key, holds: self.clone() }
    }

    /// Whether any part holds this key.
    pub fn is_held(&self, key: Key) -> bool {
        self.0.borrow().contains_key(&key)
    }

    fn release(&self, key: Key) {
        let mut counts = self.0.borrow_mut();
        let Some(count) = counts.get_mut(&key) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// Keeps a key in use until it is dropped.
pub struct Hold<Key: Copy + Eq + Hash> {
    key: Key,
    holds: Holds<Key>,
}

impl<Key: Copy + Eq + Hash> Hold<Key> {
    /// Returns the key that is held.
    pub fn key(&self) -> Key {
        self.key
    }
}

impl<Key: Copy + Eq + Hash> Clone for Hold<Key> {
    fn clone(&self) -> Self {
        self.holds.hold(self.key)
    }
}

impl<Key: Copy + Eq + Hash> Drop for Hold<Key> {
    fn drop(&mut self) {
        self.holds.release(self.key);
    }
}

impl<Key: Copy + Eq + Hash + fmt::Debug> fmt::Debug for Hold<Key> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hold({:?})", self.key)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_held_until_its_last_hold_is_dropped() {
        let holds = IdHolds::default();
        let first = holds.hold(MessageId(1));
        let second = first.clone();
        drop(first);
        assert!(holds.is_held(MessageId(1)) && !holds.is_held(MessageId(2)));
        drop(second);
        assert!(!holds.is_held(MessageId(1)));
        assert!(holds.0.borrow().is_empty(), "nothing is kept of a key without holds");
    }
}
