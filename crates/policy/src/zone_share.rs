//! The share of a destination's messages that is sent to a zone which the fleet has evacuated or is
//! returning to. `crates/zones` decides about evacuations and returns; `choice.rs` selects the endpoint of a
//! message.

use crate::interface::DestinationId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a zone is sent. Destinations without an entry have not been sent to since.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct ZoneShare {
    /// The share of the usual messages, from 0 to 1.
    pub share: f64,
    /// For each destination, the calls to the zone that are due.
    credit: BTreeMap<DestinationId, f64>,
    /// Destinations to which a probe is due.
    probes: BTreeSet<DestinationId>,
    /// Destinations that are served in the zone nevertheless.
    exempt: BTreeSet<DestinationId>,
}

impl ZoneShare {
    /// Returns a zone that is sent its whole share.
    pub fn full() -> Self {
        Self { share: 1.0, ..Self::default() }
    }

    /// Changes the share. Credit is dropped if nothing may be sent to the zone any more.
    pub fn change(&mut self, share: f64, exempt: &[DestinationId]) {
        self.share = share;
        self.probes.clear();
        self.exempt = exempt.iter().copied().collect();
        if share <= 0.0 {
            self.credit.clear();
        }
    }

    /// Makes one probe due for each of these destinations, whatever the share.
    pub fn probe_all(&mut self, dests: impl Iterator<Item = DestinationId>) {
        self.probes = dests.collect();
    }

    /// Returns whether a probe of the destination is due.
    pub fn is_probe_due(&self, dest: DestinationId) -> bool {
        self.probes.contains(&dest)
    }

    /// Returns whether the zone is sent its whole share.
    pub fn is_full(&self) -> bool {
        self.share >= 1.0
    }

    /// Returns whether the zone is sent its whole share of a destination's messages.
    pub fn is_full_for(&self, dest: DestinationId) -> bool {
        self.is_full() || self.exempt.contains(&dest)
    }

    /// Returns whether the next call goes to this zone rather than elsewhere: its share or a probe is due.
    pub fn is_due(&self, dest: DestinationId) -> bool {
        let credit = || self.credit.get(&dest).is_some_and(|&c| c >= 1.0);
        self.is_probe_due(dest) || !self.is_full_for(dest) && credit()
    }

    /// Accrues credit for a new message to a destination that has this part of its endpoints in the zone.
    /// Each sender starts with a random part of a call; otherwise all of them would send one at the same
    /// time.
    pub fn record_arrival(&mut self, dest: DestinationId, part: f64, initial: impl FnOnce() -> f64) {
        if self.share > 0.0 && !self.is_full_for(dest) {
            let credit = self.credit.entry(dest).or_insert_with(initial);
            *credit = (*credit + self.share * part).min(1.0);
        }
    }

    /// Accounts for a call to the zone.
    pub fn record_call(&mut self, dest: DestinationId) {
        if !self.probes.remove(&dest) {
            self.credit.entry(dest).and_modify(|c| *c -= 1.0);
        }
    }

    /// Drops destinations that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(DestinationId) -> bool) {
        self.credit.retain(|&d, _| is_known(d));
        self.probes.retain(|&d| is_known(d));
        self.exempt.retain(|&d| is_known(d));
    }
}
