//! Arithmetic of a zone that the fleet has left or comes back to: what share of a destination's messages may
//! go there. Who leaves what when is found elsewhere (`crates/zones`); which endpoint a message goes to is
//! decided in `choice.rs`.

use crate::interface::DestinationId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a zone is sent. A destination that is not named has not been sent to since.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Lean {
    pub share: f64,
    credit: BTreeMap<DestinationId, f64>,
    tries: BTreeSet<DestinationId>,
    exempt: BTreeSet<DestinationId>,
}

impl Lean {
    /// One that is sent its whole share.
    pub fn whole() -> Self {
        Self { share: 1.0, ..Self::default() }
    }

    /// Another share: credit for the last one is void where nothing may go there any more.
    pub fn turn(&mut self, share: f64, exempt: &[DestinationId]) {
        self.share = share;
        self.tries.clear();
        self.exempt = exempt.iter().copied().collect();
        if share <= 0.0 {
            self.credit.clear();
        }
    }

    /// One call to each of these, whatever the share.
    pub fn try_all(&mut self, dests: impl Iterator<Item = DestinationId>) {
        self.tries = dests.collect();
    }

    /// Whether it is said to be tried.
    pub fn tries(&self, dest: DestinationId) -> bool {
        self.tries.contains(&dest)
    }

    /// Whether calls may go there beside others, as if nothing had been said.
    pub fn is_whole(&self) -> bool {
        self.share >= 1.0
    }

    /// The same for one destination.
    pub fn is_whole_for(&self, dest: DestinationId) -> bool {
        self.is_whole() || self.exempt.contains(&dest)
    }

    /// Whether the next call goes there rather than elsewhere: its share is due, or it is tried.
    pub fn due(&self, dest: DestinationId) -> bool {
        let credit = || self.credit.get(&dest).is_some_and(|&c| c >= 1.0);
        self.tries(dest) || !self.is_whole_for(dest) && credit()
    }

    /// A message came in for a destination that has this part of its endpoints there. All senders begin
    /// somewhere between two calls, or as many as there are would begin with one at once.
    pub fn arrived(&mut self, dest: DestinationId, part: f64, begin: impl FnOnce() -> f64) {
        if self.share > 0.0 && !self.is_whole_for(dest) {
            let credit = self.credit.entry(dest).or_insert_with(begin);
            *credit = (*credit + self.share * part).min(1.0);
        }
    }

    /// A call went there.
    pub fn sent(&mut self, dest: DestinationId) {
        if !self.tries.remove(&dest) {
            self.credit.entry(dest).and_modify(|c| *c -= 1.0);
        }
    }

    /// Destinations that are gone are forgotten.
    pub fn keep(&mut self, known: impl Fn(DestinationId) -> bool) {
        self.credit.retain(|&d, _| known(d));
        self.tries.retain(|&d| known(d));
        self.exempt.retain(|&d| known(d));
    }
}
