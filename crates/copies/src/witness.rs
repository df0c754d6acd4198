//! The witness: records attempts, moves and claims, and grants or rejects them. It keeps each record for as
//! long as some sender may act on it, and never grants anything on missing information.

use crate::ids::{FIRST_TERM, Id, Instance, Key, Term, WitnessGroup};
use crate::ledger::{Attempts, Change, Ledger, Row, delete_row, put_row};
use crate::record::AttemptRecord;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The default number of messages of which a witness keeps an entry. Beyond it the oldest entry is evicted
/// and its group is closed: from then on no ownership in that group can rest on this witness. An entry takes
/// some 150 bytes.
pub const DEFAULT_WITNESS_ENTRIES: usize = 65_536;
/// The number of groups that a witness keeps: one for each incarnation and epoch of the few senders for which
/// it witnesses.
const MAX_GROUPS: usize = 4_096;
/// A release with this round covers every grant in a term after the given one.
pub(crate) const ANY_ROUND: u64 = u64::MAX;
/// The limit of claims on one message that were granted and not released.
const MAX_UNRELEASED_CLAIMS: usize = 16;
/// The limit of attempts of one message; the configured limit is far lower.
const MAX_ATTEMPTS: usize = 256;

/// The reason for rejecting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The group was never registered with this incarnation of the witness.
    UnknownGroup,
    /// This witness receives heartbeats of the owner.
    OwnerAlive,
    /// Another instance owns the message.
    OwnedByOther {
        /// The owner.
        owner: Instance,
        /// The term of its ownership.
        term: Term,
    },
    /// The message was moved to this group.
    Moved(WitnessGroup),
    /// The message has ended.
    Ended,
    /// The witness has evicted entries of this group, so that no ownership there can rest on it.
    GroupClosed,
    /// There is no space, or the ledger could not be written.
    NoSpace,
}

/// The entry of one message. There is none before the first attempt or claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct WitnessEntry {
    pub term: Term,
    pub owner: Instance,
    /// The earlier owners with the term and round of their claims, the latest one last. These claims may
    /// still be released; if all are, the first of them owns the message again.
    pub previous_claims: Vec<(Term, Instance, u64)>,
    /// The claimant's round in which the claim was granted.
    pub round: u64,
    pub attempts: Attempts,
    /// The group to which the owner has moved the message, or begun to move it, and the owner's term.
    pub moved: Option<(Term, WitnessGroup)>,
    pub ended: bool,
}

/// What a claimant receives with a grant: the recorded attempts, and the group to which the message may have
/// moved.
pub(crate) type ClaimGrant = (Attempts, Option<(Term, WitnessGroup)>);

/// The groups that a witness has registered, and its entries of their messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Witness {
    entries: BTreeMap<Key, WitnessEntry>,
    /// The order of eviction.
    order: VecDeque<Key>,
    /// The registered groups, and whether each is closed.
    groups: BTreeMap<WitnessGroup, bool>,
    max_entries: usize,
}

impl Witness {
    pub fn new(max_entries: usize) -> Self {
        Self { max_entries, ..Self::default() }
    }

    pub fn restore_group(&mut self, group: WitnessGroup, closed: bool) {
        self.groups.insert(group, closed);
    }

    pub fn restore_entry(&mut self, key: Key, entry: WitnessEntry) {
        if self.entries.insert(key, entry).is_none() {
            self.order.push_back(key);
        }
    }

    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Registers a group. The owner does that at most once for each incarnation of this witness.
    pub fn register(&mut self, group: WitnessGroup, ledger: &mut dyn Ledger) -> Result<(), Rejection> {
        if !self.groups.contains_key(&group) {
            if self.groups.len() >= MAX_GROUPS || !ledger.write(&[put_row(Row::WitnessGroup(group), &false)])
            {
                return Err(Rejection::NoSpace);
            }
            self.groups.insert(group, false);
        }
        Ok(())
    }

    /// Returns whether a registered group is closed.
    fn is_closed(&self, group: &WitnessGroup) -> Result<bool, Rejection> {
        self.groups.get(group).copied().ok_or(Rejection::UnknownGroup)
    }

    /// Evicts the oldest entry if the limit is reached, and closes its group, so that a missing entry is
    /// never taken for a message without attempts and claims.
    fn evict_oldest(&mut self, changes: &mut Vec<Change>) -> Option<Key> {
        if self.entries.len() < self.max_entries {
            return None;
        }
        // Keys of entries that were forgotten earlier are still in the order.
        let oldest = self.order.iter().find(|&k| self.entries.contains_key(k)).copied()?;
        changes.push(delete_row(Row::WitnessEntry(oldest)));
        changes.push(put_row(Row::WitnessGroup(oldest.group), &true));
        Some(oldest)
    }

    /// Writes an entry, and evicts the oldest one if the limit is reached.
    fn store_entry(
        &mut self,
        key: Key,
        entry: WitnessEntry,
        ledger: &mut dyn Ledger,
    ) -> Result<(), Rejection> {
        let mut changes = vec![put_row(Row::WitnessEntry(key), &entry)];
        let known = self.entries.contains_key(&key);
        let oldest = if known { None } else { self.evict_oldest(&mut changes) };
        if !ledger.write(&changes) {
            return Err(Rejection::NoSpace);
        }
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
            self.groups.insert(oldest.group, true);
            while self.order.front().is_some_and(|k| !self.entries.contains_key(k)) {
                self.order.pop_front();
            }
        }
        if !known {
            // The order stays bounded: keys of forgotten entries that are not at its front are removed once
            // it is twice as long as the limit of entries, so that the cost of a pass is spread over many new
            // keys.
            if self.order.len() >= 2 * self.max_entries {
                self.order.retain(|k| self.entries.contains_key(k));
            }
            self.order.push_back(key);
        }
        self.entries.insert(key, entry);
        Ok(())
    }

    /// Records that `caller`, the owner in this term, is about to attempt a message.
    pub fn record_attempt(
        &mut self,
        key: Key,
        term: Term,
        caller: Instance,
        attempt: AttemptRecord,
        ledger: &mut dyn Ledger,
    ) -> Result<(), Rejection> {
        let mut entry = self.entry_of_owner(key, term, caller)?;
        if let Some((_, to)) = entry.moved {
            return Err(Rejection::Moved(to));
        }
        let is_full = entry.attempts.len() >= MAX_ATTEMPTS;
        match entry.attempts.iter_mut().find(|known| known.number == attempt.number) {
            Some(known) if !known.never_ran => return Ok(()),
            // The attempt was abandoned before its first byte, and is made after all.
            Some(known) => known.never_ran = false,
            None if is_full => return Err(Rejection::NoSpace),
            None => entry.attempts.push(attempt),
        }
        self.store_entry(key, entry, ledger)
    }

    /// Returns the entry of a message for a request of its owner in this term.
    fn entry_of_owner(&self, key: Key, term: Term, caller: Instance) -> Result<WitnessEntry, Rejection> {
        let closed = self.is_closed(&key.group)?;
        match self.entries.get(&key) {
            Some(entry) if entry.ended => Err(Rejection::Ended),
            Some(entry) if (entry.term, entry.owner) != (term, caller) => {
                Err(Rejection::OwnedByOther { owner: entry.owner, term: entry.term })
            }
            Some(entry) => Ok(entry.clone()),
            None => Self::new_entry(key, term, caller, closed),
        }
    }

    /// Returns the entry with which the first request on a message starts.
    fn new_entry(key: Key, term: Term, caller: Instance, closed: bool) -> Result<WitnessEntry, Rejection> {
        // An evicted entry may have held a claim.
        if closed {
            return Err(Rejection::GroupClosed);
        }
        // This witness has not received the claim of a later term, and must not record anything in that term.
        if term != FIRST_TERM || caller != key.group.owner {
            return Err(Rejection::UnknownGroup);
        }
        Ok(WitnessEntry {
            term,
            owner: caller,
            previous_claims: Vec::new(),
            round: 0,
            attempts: Vec::new(),
            moved: None,
            ended: false,
        })
    }

    /// Records that `caller`, the owner in this term, moves a message to another group, with all attempts
    /// that it knows. From then on no attempt of it is recorded here.
    pub fn record_move(
        &mut self,
        key: Key,
        (term, caller): (Term, Instance),
        to: WitnessGroup,
        attempts: &[AttemptRecord],
        ledger: &mut dyn Ledger,
    ) -> Result<(), Rejection> {
        let mut entry = self.entry_of_owner(key, term, caller)?;
        if let Some((_, known)) = entry.moved.filter(|m| m.0 == term && m.1 != to) {
            return Err(Rejection::Moved(known));
        }
        for attempt in attempts.iter().take(MAX_ATTEMPTS) {
            match entry.attempts.iter_mut().find(|known| known.number == attempt.number) {
                Some(known) => *known = AttemptRecord { at: known.at.min(attempt.at), ..*attempt },
                None => entry.attempts.push(*attempt),
            }
        }
        entry.moved = Some((term, to));
        self.store_entry(key, entry, ledger)
    }

    /// Grants a message to `claimant`, unless `is_alive` returns true for its owner. Returns what is recorded
    /// of it.
    pub fn grant_claim(
        &mut self,
        (key, term, round): (Key, Term, u64),
        claimant: Instance,
        is_alive: impl Fn(Instance) -> bool,
        ledger: &mut dyn Ledger,
    ) -> Result<ClaimGrant, Rejection> {
        let closed = self.is_closed(&key.group)?;
        let mut previous_claims =
            self.entries.get(&key).map_or_else(Vec::new, |entry| entry.previous_claims.clone());
        if previous_claims.len() >= MAX_UNRELEASED_CLAIMS {
            return Err(Rejection::NoSpace);
        }
        let (current_term, owner, (attempts, moved)) = match self.entries.get(&key) {
            Some(entry) if entry.ended => return Err(Rejection::Ended),
            Some(entry) if (entry.term, entry.owner) == (term, claimant) => {
                let entry = WitnessEntry { round, ..entry.clone() };
                let grant = (entry.attempts.clone(), entry.moved);
                return self.store_entry(key, entry, ledger).map(|()| grant);
            }
            Some(entry) => (entry.term, entry.owner, (entry.attempts.clone(), entry.moved)),
            None if closed => return Err(Rejection::GroupClosed),
            None => (FIRST_TERM, key.group.owner, (Vec::new(), None)),
        };
        if term <= current_term {
            return Err(Rejection::OwnedByOther { owner, term: current_term });
        }
        if owner != claimant && is_alive(owner) {
            return Err(Rejection::OwnerAlive);
        }
        previous_claims.push((current_term, owner, self.entries.get(&key).map_or(0, |entry| entry.round)));
        let entry = WitnessEntry {
            term,
            owner: claimant,
            previous_claims,
            round,
            attempts: attempts.clone(),
            moved,
            ended: false,
        };
        self.store_entry(key, entry, ledger)?;
        Ok((attempts, moved))
    }

    /// Releases a claim that the claimant abandons, as if it had not been granted.
    pub fn release_claim(
        &mut self,
        (key, term, round): (Key, Term, u64),
        claimant: Instance,
        ledger: &mut dyn Ledger,
    ) {
        let is_released = |(claim_term, owner, claim_round): (Term, Instance, u64)| {
            let is_in_scope = match round {
                ANY_ROUND => claim_term > term,
                _ => (claim_term, claim_round) == (term, round),
            };
            owner == claimant && is_in_scope
        };
        let Some(entry) = self.entries.get(&key).filter(|entry| !entry.ended) else { return };
        let mut entry = entry.clone();
        // The first one is the original owner, which made no claim here.
        let keep = entry.previous_claims.len().min(1);
        let mut later = entry.previous_claims.split_off(keep);
        later.retain(|&claim| !is_released(claim));
        entry.previous_claims.append(&mut later);
        if is_released((entry.term, entry.owner, entry.round)) {
            let Some((term, owner, round)) = entry.previous_claims.pop() else { return };
            (entry.term, entry.owner, entry.round) = (term, owner, round);
        }
        if self.entries.get(&key) == Some(&entry) {
            return;
        }
        // If this cannot be written, the claim stays. That costs time, but not safety.
        let _ = self.store_entry(key, entry, ledger);
    }

    /// Records that a message has ended, as its owner reports. Returns whether that is recorded; there may be
    /// nothing to record.
    pub fn record_end(&mut self, key: Key, term: Term, caller: Instance, ledger: &mut dyn Ledger) -> bool {
        let Some(entry) = self
            .entries
            .get(&key)
            .filter(|entry| (entry.term, entry.owner) == (term, caller) && !entry.ended)
        else {
            return true;
        };
        let entry = WitnessEntry { ended: true, ..entry.clone() };
        self.store_entry(key, entry, ledger).is_ok()
    }

    /// Records attempts that never ran, as the owner reports. For any other sender the number may by now
    /// denote a different attempt.
    pub fn record_never_ran(
        &mut self,
        (key, term, caller): (Key, Term, Instance),
        attempts: &[AttemptRecord],
        ledger: &mut dyn Ledger,
    ) {
        let Some(entry) = self.entries.get(&key).filter(|entry| (entry.term, entry.owner) == (term, caller))
        else {
            return;
        };
        let mut entry = entry.clone();
        let mut changed = false;
        for attempt in attempts.iter().filter(|attempt| attempt.never_ran) {
            for known in
                entry.attempts.iter_mut().filter(|known| known.number == attempt.number && !known.never_ran)
            {
                (known.never_ran, changed) = (true, true);
            }
        }
        if changed {
            let _ = self.store_entry(key, entry, ledger);
        }
    }

    /// Deletes the entry of a message of which all replicas have deleted their copies, as its first owner
    /// reports. An entry with claims is kept: other senders may have copies of which the first owner does not
    /// know.
    pub fn forget(&mut self, key: Key, caller: Instance, ledger: &mut dyn Ledger) {
        let can_forget = |entry: &&WitnessEntry| {
            entry.ended && entry.term == FIRST_TERM && entry.owner == caller && caller == key.group.owner
        };
        if self.entries.get(&key).filter(can_forget).is_some()
            && ledger.write(&[delete_row(Row::WitnessEntry(key))])
        {
            self.entries.remove(&key);
        }
    }

    /// Returns the messages of a group that were claimed.
    pub fn claimed_messages(&self, group: WitnessGroup) -> Vec<(Id, Instance, Term)> {
        let (from, to) = (Key { group, id: Id(0) }, Key { group, id: Id(u64::MAX) });
        let claimed = self.entries.range(from..=to).filter(|(_, entry)| entry.term > FIRST_TERM);
        claimed.map(|(key, entry)| (key.id, entry.owner, entry.term)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Epoch, Incarnation, LocalId, Peer};
    use crate::ledger::AdoptedMessage;

    #[derive(Default)]
    struct TestLedger {
        full: bool,
    }

    impl Ledger for TestLedger {
        fn write(&mut self, _: &[Change]) -> bool {
            !self.full
        }

        fn free_local_id(&self, id: Id) -> LocalId {
            LocalId(id.0)
        }

        fn adopt(&mut self, _: AdoptedMessage<'_>, _: &[Change]) -> bool {
            !self.full
        }
    }

    fn instance(n: u64) -> Instance {
        Instance { peer: Peer(n), incarnation: Incarnation(n) }
    }

    fn key(id: u64) -> Key {
        Key { group: WitnessGroup { owner: instance(1), epoch: Epoch(0) }, id: Id(id) }
    }

    fn test_attempt(number: u32) -> AttemptRecord {
        AttemptRecord { number, endpoint: 1, at: 0, never_ran: false }
    }

    fn witness(max_entries: usize) -> (Witness, TestLedger) {
        let (mut witness, mut ledger) = (Witness::new(max_entries), TestLedger::default());
        witness.register(key(0).group, &mut ledger).expect("room");
        (witness, ledger)
    }

    #[test]
    fn the_previous_owner_is_rejected_and_the_claimant_receives_the_recorded_attempts() {
        let (mut witness, mut ledger) = witness(10);
        witness
            .record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(0), &mut ledger)
            .expect("recorded for the owner");
        let known = witness
            .grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger)
            .expect("the owner is not alive");
        assert_eq!(known, (vec![test_attempt(0)], None));
        let rejection = Rejection::OwnedByOther { owner: instance(2), term: 2 };
        assert_eq!(
            witness.record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(1), &mut ledger),
            Err(rejection)
        );
        assert_eq!(witness.grant_claim((key(1), 2, 1), instance(3), |_| false, &mut ledger), Err(rejection));
        witness
            .record_attempt(key(1), 2, instance(2), test_attempt(1), &mut ledger)
            .expect("recorded for the new owner");
        let known =
            witness.grant_claim((key(1), 3, 1), instance(3), |_| false, &mut ledger).expect("a later term");
        assert_eq!(known.0.len(), 2);
        assert_eq!(witness.claimed_messages(key(0).group), [(Id(1), instance(3), 3)]);
    }

    #[test]
    fn a_claim_is_rejected_while_this_witness_receives_heartbeats_of_the_owner() {
        let (mut witness, mut ledger) = witness(10);
        assert_eq!(
            witness.grant_claim((key(1), 2, 1), instance(2), |owner| owner == instance(1), &mut ledger),
            Err(Rejection::OwnerAlive)
        );
        witness
            .record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(0), &mut ledger)
            .expect("it is still the owner");
    }

    #[test]
    fn a_released_claim_restores_the_previous_owner() {
        let (mut witness, mut ledger) = witness(10);
        witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger).expect("granted");
        witness.release_claim((key(1), 2, 1), instance(3), &mut ledger);
        witness.release_claim((key(1), 2, 0), instance(2), &mut ledger);
        assert!(
            witness.record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(0), &mut ledger).is_err(),
            "another claimant, another round"
        );
        witness.release_claim((key(1), 2, 1), instance(2), &mut ledger);
        witness
            .record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(0), &mut ledger)
            .expect("it is the owner again");
    }

    #[test]
    fn only_the_owner_can_report_that_an_attempt_never_ran() {
        let (mut witness, mut ledger) = witness(10);
        witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger).expect("granted");
        witness
            .record_attempt(key(1), 2, instance(2), test_attempt(0), &mut ledger)
            .expect("recorded for the new owner");
        let never = [AttemptRecord { never_ran: true, ..test_attempt(0) }];
        witness.record_never_ran((key(1), FIRST_TERM, instance(1)), &never, &mut ledger);
        let known =
            witness.grant_claim((key(1), 3, 1), instance(3), |_| false, &mut ledger).expect("granted");
        assert_eq!(known.0, [test_attempt(0)], "the number of the old owner is another attempt");
        witness.record_never_ran((key(1), 3, instance(3)), &never, &mut ledger);
        let known =
            witness.grant_claim((key(1), 4, 1), instance(4), |_| false, &mut ledger).expect("granted");
        assert_eq!(known.0, never);
    }

    #[test]
    fn a_moved_message_is_not_attempted_in_its_old_group_and_a_claimant_receives_the_new_group() {
        let (mut witness, mut ledger) = witness(10);
        let (to, other) = (
            WitnessGroup { owner: instance(1), epoch: Epoch(1) },
            WitnessGroup { owner: instance(1), epoch: Epoch(2) },
        );
        let own = (FIRST_TERM, instance(1));
        witness
            .record_move(key(1), own, to, &[test_attempt(0)], &mut ledger)
            .expect("recorded for the owner");
        assert_eq!(
            witness.record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(1), &mut ledger),
            Err(Rejection::Moved(to))
        );
        assert_eq!(
            witness.record_move(key(1), own, other, &[], &mut ledger),
            Err(Rejection::Moved(to)),
            "a move has begun"
        );
        let grant =
            witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger).expect("granted");
        assert_eq!(grant, (vec![test_attempt(0)], Some((FIRST_TERM, to))));
        assert!(witness.record_move(key(1), own, to, &[], &mut ledger).is_err(), "another instance owns it");
        witness
            .record_move(key(1), (2, instance(2)), to, &[], &mut ledger)
            .expect("the new owner completes the move");
    }

    #[test]
    fn a_move_does_not_change_the_time_of_a_recorded_attempt_to_a_later_one() {
        let (mut witness, mut ledger) = witness(10);
        let at = |at| AttemptRecord { at, ..test_attempt(0) };
        witness
            .record_attempt(key(1), FIRST_TERM, instance(1), at(1_000), &mut ledger)
            .expect("recorded for the owner");
        let to = WitnessGroup { owner: instance(1), epoch: Epoch(1) };
        // The age in this frame was a while under way.
        witness
            .record_move(key(1), (FIRST_TERM, instance(1)), to, &[at(4_000)], &mut ledger)
            .expect("recorded for the owner");
        let grant =
            witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger).expect("granted");
        assert_eq!(grant.0, [at(1_000)]);
    }

    #[test]
    fn a_witness_without_its_state_rejects_claims_and_attempts() {
        let (mut witness, mut ledger) = (Witness::new(10), TestLedger::default());
        assert_eq!(
            witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger),
            Err(Rejection::UnknownGroup)
        );
        assert_eq!(
            witness.record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(0), &mut ledger),
            Err(Rejection::UnknownGroup)
        );
    }

    #[test]
    fn an_evicted_entry_closes_its_group_and_nothing_unknown_is_granted_there() {
        let (mut witness, mut ledger) = witness(3);
        for id in 0..4 {
            witness
                .record_attempt(key(id), FIRST_TERM, instance(1), test_attempt(0), &mut ledger)
                .expect("an entry is evicted");
        }
        assert_eq!(witness.entry_count(), 3);
        assert_eq!(
            witness.grant_claim((key(0), 2, 1), instance(2), |_| false, &mut ledger),
            Err(Rejection::GroupClosed)
        );
        assert_eq!(
            witness.record_attempt(key(9), FIRST_TERM, instance(1), test_attempt(0), &mut ledger),
            Err(Rejection::GroupClosed)
        );
        assert!(
            witness.grant_claim((key(3), 2, 1), instance(2), |_| false, &mut ledger).is_ok(),
            "its entry is known"
        );
    }

    #[test]
    fn an_ended_entry_is_forgotten_on_request_of_its_owner_unless_it_was_claimed() {
        let (mut witness, mut ledger) = witness(10);
        for id in 1..=2 {
            witness
                .record_attempt(key(id), FIRST_TERM, instance(1), test_attempt(0), &mut ledger)
                .expect("recorded for the owner");
        }
        witness.grant_claim((key(2), 2, 1), instance(2), |_| false, &mut ledger).expect("granted");
        witness.forget(key(1), instance(1), &mut ledger);
        assert_eq!(witness.entry_count(), 2, "not ended");
        assert!(
            witness.record_end(key(1), FIRST_TERM, instance(1), &mut ledger)
                && witness.record_end(key(2), 2, instance(2), &mut ledger)
        );
        assert_eq!(
            witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger),
            Err(Rejection::Ended)
        );
        (1..=2).for_each(|id| witness.forget(key(id), instance(1), &mut ledger));
        assert_eq!(witness.entry_count(), 1);
        assert_eq!(
            witness.grant_claim((key(2), 3, 1), instance(3), |_| false, &mut ledger),
            Err(Rejection::Ended)
        );
    }

    #[test]
    fn what_could_not_be_written_is_not_granted() {
        let (mut witness, mut ledger) = witness(10);
        ledger.full = true;
        assert_eq!(
            witness.record_attempt(key(1), FIRST_TERM, instance(1), test_attempt(0), &mut ledger),
            Err(Rejection::NoSpace)
        );
        assert_eq!(
            witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger),
            Err(Rejection::NoSpace)
        );
        ledger.full = false;
        assert_eq!(
            witness.grant_claim((key(1), 2, 1), instance(2), |_| false, &mut ledger),
            Ok((vec![], None)),
            "nothing was recorded"
        );
    }
}
