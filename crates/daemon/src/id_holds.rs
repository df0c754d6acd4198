//! Which message ids are in use besides the records of the journal.
//!
//! The parts of the program learn at different times that a message has ended. A part that may still act on
//! the message by its id (an attempt in flight, a queued input, a notice that is being posted) keeps an
//! [`IdHold`]. A new message is accepted only under an id that has neither a record nor a hold, so that
//! nothing that concerns an earlier message reaches a later one. Conversely, each open message of the journal
//! has a hold: one without a hold is forgotten by all parts, which the decision loop detects.

use notchpoint_policy::MessageId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

/// The ids that are held, each with the number of its holds.
#[derive(Clone, Default)]
pub struct IdHolds(Rc<RefCell<HashMap<MessageId, usize>>>);

impl IdHolds {
    /// Holds an id until the returned value is dropped.
    pub fn hold(&self, id: MessageId) -> IdHold {
        *self.0.borrow_mut().entry(id).or_default() += 1;
        IdHold { id, holds: self.clone() }
    }

    /// Whether any part holds this id.
    pub fn is_held(&self, id: MessageId) -> bool {
        self.0.borrow().contains_key(&id)
    }

    fn release(&self, id: MessageId) {
        let mut counts = self.0.borrow_mut();
        let Some(count) = counts.get_mut(&id) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&id);
        }
    }
}

/// Keeps a message id in use until it is dropped.
pub struct IdHold {
    id: MessageId,
    holds: IdHolds,
}

impl IdHold {
    /// Returns the id that is held.
    pub fn id(&self) -> MessageId {
        self.id
    }
}

impl Clone for IdHold {
    fn clone(&self) -> Self {
        self.holds.hold(self.id)
    }
}

impl Drop for IdHold {
    fn drop(&mut self) {
        self.holds.release(self.id);
    }
}

impl fmt::Debug for IdHold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "IdHold({:016x})", self.id.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_held_until_its_last_hold_is_dropped() {
        let holds = IdHolds::default();
        let first = holds.hold(MessageId(1));
        let second = first.clone();
        drop(first);
        assert!(holds.is_held(MessageId(1)) && !holds.is_held(MessageId(2)));
        drop(second);
        assert!(!holds.is_held(MessageId(1)));
        assert!(holds.0.borrow().is_empty(), "nothing is kept of an id without holds");
    }
}
