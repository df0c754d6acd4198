//! How many descriptors a session may use while an earlier process, or an earlier session of this one, still
//! holds some.
//!
//! Both processes of a hand-over together stay within the limit of the configuration. The predecessor reports
//! how many descriptors it holds at most, in its state and whenever its connections or calls end. The number
//! never rises, since it accepts no more clients and starts no more calls. The successor has the rest, and
//! all of them once the predecessor has ended.

use crate::settings::descriptors::{DescriptorBudget, HeldDescriptors, SharedDescriptors};
use std::cell::Cell;
use tokio::sync::Notify;

/// The limits of one session.
pub struct DescriptorLimits {
    shared: SharedDescriptors,
    /// What the predecessor holds at most.
    predecessor: Cell<HeldDescriptors>,
    changed: Notify,
}

impl DescriptorLimits {
    /// Creates the limits of a session whose predecessor holds these of the descriptors.
    pub fn new(shared: SharedDescriptors, predecessor: HeldDescriptors) -> Self {
        Self { shared, predecessor: Cell::new(predecessor), changed: Notify::new() }
    }

    /// Records what the predecessor holds at most from now on.
    pub fn record_predecessor(&self, held: HeldDescriptors) {
        if self.predecessor.replace(held) != held {
            self.changed.notify_one();
        }
    }

    /// What the predecessor holds at most.
    pub fn predecessor(&self) -> HeldDescriptors {
        self.predecessor.get()
    }

    /// Returns the present budget of the session.
    pub fn budget(&self) -> DescriptorBudget {
        self.shared.budget(self.predecessor.get())
    }

    /// Returns how many calls may be in progress at present, if fewer than the policy starts.
    pub fn reduced_calls(&self) -> Option<usize> {
        self.shared.reduced_calls(self.predecessor.get())
    }

    /// Whether a successor has enough descriptors if this process holds these after the hand-over.
    pub fn has_room_for_successor(&self, held: HeldDescriptors) -> bool {
        self.shared.has_room_for_successor(held)
    }

    /// Waits until the limits change. Only one task may wait.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
