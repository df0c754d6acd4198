//! Copies of messages that other senders own, and this sender's claims on them.

use crate::ids::{FIRST_TERM, Instance, Key, Micros, Peer, Term, WitnessGroup};
use crate::ledger::{Attempts, Ledger, Row, delete_row, put_row};
use crate::membership::Membership;
use crate::record::{AttemptRecord, POSSIBLE_ATTEMPT, Record, UNKNOWN_TIME, Verdict};
use crate::witness::{ClaimGrant, Rejection};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The difference up to which a new deadline does not replace the stored one.
const DEADLINE_TOLERANCE: Micros = 20_000;
/// The time after which an undecided claim is sent again.
const CLAIM_RETRY_INTERVAL: Micros = 250_000;
/// The time after which a claim is sent again that was denied because a witness receives heartbeats of the
/// owner.
const OWNER_ALIVE_RETRY_INTERVAL: Micros = 1_000_000;

/// A copy of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredCopy {
    pub owner: Instance,
    pub term: Term,
    pub record: Record,
}

/// A claim that is not decided yet.
#[derive(Clone, Debug)]
struct Claim {
    owner: Instance,
    term: Term,
    /// The current round, or 0 if the claim was released and is to be sent again in a new one. Grants of an
    /// earlier round may have been released.
    round: u64,
    /// When the claim was first sent to each witness in this round and on the present link.
    sent_at: BTreeMap<Peer, Micros>,
    grants: BTreeMap<Peer, ClaimGrant>,
    /// The group to which the message has moved, and the witnesses of the old group that have recorded that.
    moved: Option<(WitnessGroup, BTreeSet<Peer>)>,
    /// Witnesses that have closed the group.
    closed_by: BTreeSet<Peer>,
    /// The time at which the claim is sent again.
    retry_at: Micros,
}

/// The state of a claim after a response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClaimProgress {
    /// More responses are needed.
    Pending,
    /// The claim is granted. These attempts are known, and there may be further ones if the flag is set.
    Won { term: Term, attempts: Attempts, may_be_incomplete: bool },
    /// The claim is granted, and the message has, or may have, moved to another group. The move is completed
    /// first.
    Moved { term: Term, to: WitnessGroup, attempts: Attempts },
    /// A witness granted the message to this instance, over which this sender takes precedence.
    Blocked(Instance),
    /// The claim is abandoned, and the witnesses that granted it must be notified.
    Released(Term, u64),
    /// The message has ended, and the copy is to be deleted.
    Ended,
}

/// The copies that this sender stores, and its claims on their messages.
#[derive(Debug, Default)]
pub(crate) struct CopyStore {
    copies: BTreeMap<Key, StoredCopy>,
    claims: BTreeMap<Key, Claim>,
    /// The claimants of messages, as witnesses reported them, with their terms. Such a claim may still be
    /// released. It therefore only determines whose failure is watched: the copy belongs to its owner until a
    /// new owner sends its own.
    claimants: BTreeMap<Key, (Instance, Term)>,
    bytes: usize,
    max_bytes: usize,
}

impl CopyStore {
    /// Creates a store whose copies may take `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, ..Self::default() }
    }

    pub fn restore(&mut self, key: Key, copy: StoredCopy) {
        self.bytes += copy.record.stored_size();
        self.copies.insert(key, copy);
    }

    pub fn restore_acknowledged(&mut self, key: &Key) {
        if let Some(copy) = self.copies.get_mut(key) {
            copy.record.acknowledged = true;
        }
    }

    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns the bytes that are left.
    pub fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.bytes)
    }

    pub fn get(&self, key: &Key) -> Option<&StoredCopy> {
        self.copies.get(key)
    }

    /// Returns the instances whose failure matters for the copies here.
    pub fn owners(&self) -> BTreeSet<Instance> {
        self.copies.values().map(|copy| copy.owner).chain(self.claimants.values().map(|c| c.0)).collect()
    }

    /// Returns the latest known owner of a message, and its term.
    fn latest_owner(&self, key: &Key, copy: &StoredCopy) -> (Instance, Term) {
        self.claimants.get(key).copied().unwrap_or((copy.owner, copy.term))
    }

    /// Returns the copies of messages whose latest owner fulfils a condition.
    pub fn copies_owned_by(&self, is_match: impl Fn(Instance) -> bool) -> impl Iterator<Item = &StoredCopy> {
        self.copies
            .iter()
            .filter(move |(k, copy)| is_match(self.latest_owner(k, copy).0))
            .map(|(_, copy)| copy)
    }

    pub fn groups(&self) -> BTreeSet<WitnessGroup> {
        self.copies.keys().map(|k| k.group).collect()
    }

    /// Stores a copy for `owner`. It replaces a copy of an earlier owner.
    pub fn store(
        &mut self,
        key: Key,
        owner: Instance,
        term: Term,
        record: Record,
        ledger: &mut dyn Ledger,
    ) -> Result<(), Rejection> {
        let old = match self.copies.get(&key) {
            Some(copy) if (copy.term, copy.owner) != (term, owner) && copy.term >= term => {
                return Err(Rejection::OwnedByOther { owner: copy.owner, term: copy.term });
            }
            Some(copy) => copy.record.stored_size(),
            None => 0,
        };
        let bytes = self.bytes - old + record.stored_size();
        let copy = StoredCopy { owner, term, record };
        if bytes > self.max_bytes || !ledger.write(&[put_row(Row::Copy(key), &copy)]) {
            return Err(Rejection::NoSpace);
        }
        self.bytes = bytes;
        self.copies.insert(key, copy);
        self.claims.remove(&key);
        self.claimants.remove(&key);
        Ok(())
    }

    /// Records that the owner may have acknowledged the message to its client.
    pub fn mark_acknowledged(&mut self, key: Key, term: Term, owner: Instance, ledger: &mut dyn Ledger) {
        let same =
            |copy: &&mut StoredCopy| (copy.term, copy.owner) == (term, owner) && !copy.record.acknowledged;
        if let Some(copy) = self.copies.get_mut(&key).filter(same) {
            // It has a row of its own, since the row of the copy includes the body.
            copy.record.acknowledged = ledger.write(&[put_row(Row::CopyAcknowledged(key), &())]);
        }
    }

    /// Records what the owner reports of attempts and of the final status.
    pub fn record_progress(
        &mut self,
        (key, term, owner): (Key, Term, Instance),
        attempts: &[AttemptRecord],
        verdict: Option<Verdict>,
        deadline: Micros,
        ledger: &mut dyn Ledger,
    ) {
        let Some(copy) = self.copies.get_mut(&key).filter(|copy| (copy.term, copy.owner) == (term, owner))
        else {
            return;
        };
        let mut updated = copy.clone();
        attempts.iter().for_each(|attempt| updated.record.add_attempt(*attempt));
        updated.record.verdict = verdict.or(updated.record.verdict);
        // The time left is reported without the time on the network, so the earliest deadline is the most
        // accurate. A small difference is not worth writing a row.
        if deadline + DEADLINE_TOLERANCE < updated.record.deadline {
            updated.record.deadline = deadline;
        }
        // If this cannot be written, a new owner makes one attempt more, or sends a notice again.
        if updated != *copy && ledger.write(&[put_row(Row::Copy(key), &updated)]) {
            *copy = updated;
        }
    }

    /// Records that a message has ended, as this or a later owner reports. Returns whether the copy is
    /// deleted.
    pub fn record_end(&mut self, key: Key, term: Term, ledger: &mut dyn Ledger) -> bool {
        match self.copies.get(&key) {
            // The report comes from an earlier owner than the one known here, whose own report decides.
            Some(copy) if copy.term > term => true,
            Some(_) => self.delete(key, ledger),
            None => true,
        }
    }

    /// Deletes a copy with its rows. Returns whether that is written.
    pub fn delete(&mut self, key: Key, ledger: &mut dyn Ledger) -> bool {
        if self.copies.contains_key(&key)
            && !ledger.write(&[delete_row(Row::Copy(key)), delete_row(Row::CopyAcknowledged(key))])
        {
            return false;
        }
        self.remove(key);
        true
    }

    /// Removes a copy from memory; its row has been deleted already.
    pub fn remove(&mut self, key: Key) -> Option<StoredCopy> {
        self.claims.remove(&key);
        self.claimants.remove(&key);
        let copy = self.copies.remove(&key)?;
        self.bytes -= copy.record.stored_size();
        Some(copy)
    }

    /// Returns the claims that are due on copies whose owner has failed: at most `limit`, those with the
    /// earliest deadline first.
    pub fn due_claims(
        &mut self,
        now: Micros,
        round: u64,
        has_failed: impl Fn(Instance) -> bool,
        limit: usize,
    ) -> Vec<(Key, Term, u64)> {
        let mut due: Vec<(Micros, Key)> = Vec::new();
        for (key, copy) in self.copies.iter().filter(|(k, copy)| has_failed(self.latest_owner(k, copy).0)) {
            if self.claims.get(key).is_none_or(|c| c.retry_at <= now) {
                due.push((copy.record.deadline, *key));
            }
        }
        due.sort_unstable();
        due.truncate(limit);
        due.iter()
            .map(|&(_, key)| {
                let (owner, last_term) = self.latest_owner(&key, &self.copies[&key]);
                let term = last_term + 1;
                let claim = self.claims.entry(key).or_insert_with(|| Claim {
                    owner,
                    term,
                    round,
                    sent_at: BTreeMap::new(),
                    grants: BTreeMap::new(),
                    moved: None,
                    closed_by: BTreeSet::new(),
                    retry_at: 0,
                });
                claim.retry_at = now + CLAIM_RETRY_INTERVAL;
                if claim.round == 0 {
                    // The claim was released before, and with it all grants.
                    claim.sent_at.clear();
                    claim.grants.clear();
                    claim.closed_by.clear();
                    claim.round = round;
                }
                (key, claim.term, claim.round)
            })
            .collect()
    }

    /// Records that a claim is sent to a witness.
    pub fn record_claim_sent(&mut self, key: &Key, witness: Peer, unix: Micros) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.sent_at.entry(witness).or_insert(unix);
        }
    }

    /// Records that there is a new link to a witness, on which no claim was sent yet.
    pub fn forget_claims_sent(&mut self, witness: Peer) {
        for claim in self.claims.values_mut() {
            claim.sent_at.remove(&witness);
        }
    }

    /// Returns a time before which a witness did not respond to a claim.
    pub fn claim_sent_at(&self, key: &Key, witness: Peer) -> Micros {
        self.claims.get(key).and_then(|claim| claim.sent_at.get(&witness)).copied().unwrap_or(UNKNOWN_TIME)
    }

    /// Returns whether a witness has answered a claim already; its answer is durable there.
    pub fn has_response_from(&self, key: &Key, witness: Peer) -> bool {
        self.claims
            .get(key)
            .is_some_and(|c| c.grants.contains_key(&witness) || c.closed_by.contains(&witness))
    }

    /// Returns the state of a claim. The caller carries out a granted claim, also if an earlier try to do so
    /// could not be written.
    pub fn claim_progress(&self, membership: &Membership, key: Key) -> ClaimProgress {
        self.evaluate_claim(membership, key)
    }

    /// Returns the claims whose owner has turned out to be alive.
    pub fn obsolete_claims(&self, has_failed: impl Fn(Instance) -> bool) -> Vec<(Key, Term, u64)> {
        let obsolete = self.claims.iter().filter(|(_, c)| !has_failed(c.owner));
        obsolete.map(|(&key, c)| (key, c.term, c.round)).collect()
    }

    /// Returns whether a claim on a message is pending.
    pub fn is_claiming(&self, key: &Key) -> bool {
        self.claims.contains_key(key)
    }

    /// Drops a claim.
    pub fn drop_claim(&mut self, key: Key) {
        self.claims.remove(&key);
    }

    /// Records that a witness granted a claim.
    pub fn record_grant(
        &mut self,
        membership: &Membership,
        (key, term, round): (Key, Term, u64),
        witness: Peer,
        grant: ClaimGrant,
    ) -> ClaimProgress {
        let same = |c: &&mut Claim| (c.term, c.round) == (term, round);
        let Some(claim) = self.claims.get_mut(&key).filter(same) else { return ClaimProgress::Pending };
        claim.grants.insert(witness, grant);
        self.evaluate_claim(membership, key)
    }

    /// Returns the state of a claim from its grants.
    fn evaluate_claim(&self, membership: &Membership, key: Key) -> ClaimProgress {
        let Some(claim) = self.claims.get(&key) else { return ClaimProgress::Pending };
        if claim.grants.len() + claim.closed_by.len() < membership.claim_quorum(key.group) {
            return ClaimProgress::Pending;
        }
        let mut all = Attempts::new();
        for attempt in claim.grants.values().flat_map(|g| &g.0) {
            match all.iter_mut().find(|known| known.number == attempt.number) {
                Some(known) => known.merge(attempt),
                None => all.push(*attempt),
            }
        }
        // If a move was completed, at least one of the granting witnesses has recorded it. A move that was
        // only begun may have been completed. The move of the latest term counts.
        match claim.grants.values().filter_map(|g| g.1).max_by_key(|m| m.0) {
            Some((_, to)) => ClaimProgress::Moved { term: claim.term, to, attempts: all },
            None => ClaimProgress::Won {
                term: claim.term,
                attempts: all,
                may_be_incomplete: !claim.closed_by.is_empty(),
            },
        }
    }

    /// Records that a witness has recorded the new group of a claimed message. Once a claim quorum has, no
    /// sender can own the message in the old group any more, and the copy is assigned to the new group.
    pub fn record_move(
        &mut self,
        membership: &Membership,
        (key, term, to): (Key, Term, WitnessGroup),
        witness: Peer,
        attempts: &[AttemptRecord],
        ledger: &mut dyn Ledger,
    ) {
        let Some(claim) = self.claims.get_mut(&key).filter(|c| c.term == term) else { return };
        let known = claim.moved.get_or_insert_with(|| (to, BTreeSet::new()));
        if known.0 != to {
            *known = (to, BTreeSet::new());
        }
        known.1.insert(witness);
        if known.1.len() < membership.claim_quorum(key.group) {
            return;
        }
        let Some(copy) = self.copies.get(&key) else { return };
        let new_key = Key { group: to, ..key };
        let mut rows = vec![delete_row(Row::Copy(key)), delete_row(Row::CopyAcknowledged(key))];
        let mut updated = None;
        if !self.copies.contains_key(&new_key) {
            let mut moved = StoredCopy { owner: to.owner, term: FIRST_TERM, record: copy.record.clone() };
            claim
                .grants
                .values()
                .flat_map(|g| &g.0)
                .chain(attempts)
                .for_each(|attempt| moved.record.add_attempt(*attempt));
            if !claim.closed_by.is_empty() {
                moved.record.add_attempt(POSSIBLE_ATTEMPT);
            }
            rows.push(put_row(Row::Copy(new_key), &moved));
            updated = Some(moved);
        }
        if !ledger.write(&rows) {
            return;
        }
        self.remove(key);
        if let Some(moved) = updated {
            self.restore(new_key, moved);
        }
    }

    /// Records that a witness denied a claim.
    pub fn record_denial(
        &mut self,
        membership: &Membership,
        now: Micros,
        (key, term, round): (Key, Term, u64),
        witness: Peer,
        reason: Rejection,
        has_failed: impl Fn(Instance) -> bool,
    ) -> ClaimProgress {
        let same = |c: &&mut Claim| (c.term, c.round) == (term, round);
        let Some(claim) = self.claims.get_mut(&key).filter(same) else { return ClaimProgress::Pending };
        match reason {
            Rejection::Ended => ClaimProgress::Ended,
            Rejection::GroupClosed => {
                claim.closed_by.insert(witness);
                self.evaluate_claim(membership, key)
            }
            Rejection::OwnedByOther { owner, term: their_term } => {
                let has_precedence = their_term == term
                    && !membership.takes_precedence(key.id, owner.peer, membership.local_peer());
                // That sender must give way, and then its grants are released, unless it has failed.
                if has_precedence && !has_failed(owner) {
                    return ClaimProgress::Blocked(owner);
                }
                // From now on the failure of that claimant is watched.
                if self.copies.get(&key).is_some_and(|copy| self.latest_owner(&key, copy).1 < their_term) {
                    self.claimants.insert(key, (owner, their_term));
                }
                self.claims.remove(&key);
                ClaimProgress::Released(term, round)
            }
            Rejection::OwnerAlive => {
                // Grants that were or will be given must not block the owner's attempts meanwhile. They are
                // released, and responses of this round do not count any more.
                claim.retry_at = now + OWNER_ALIVE_RETRY_INTERVAL;
                claim.round = 0;
                claim.grants.clear();
                ClaimProgress::Released(term, round)
            }
            Rejection::UnknownGroup | Rejection::NoSpace | Rejection::Moved(_) => ClaimProgress::Pending,
        }
    }

    /// Returns the copies with a deadline before `unix` whose owner has failed and on which no claim was
    /// granted.
    pub fn expired_orphans(&self, unix: Micros, has_failed: impl Fn(Instance) -> bool) -> Vec<Key> {
        let expired =
            self.copies.iter().filter(|(_, copy)| copy.record.deadline < unix && has_failed(copy.owner));
        expired.map(|(&k, _)| k).collect()
    }

    /// Returns copies that are claimed by other senders, at most `limit`. Those senders are asked whether
    /// they still pursue their claims: two senders that each expect the other to take over would wait
    /// forever.
    pub fn copies_claimed_by_others(&self, limit: usize) -> Vec<(Instance, Key)> {
        self.claimants.iter().map(|(&k, c)| (c.0, k)).take(limit).collect()
    }

    /// Records that a claimant has abandoned its claim.
    pub fn clear_claimant(&mut self, key: &Key, claimant: Instance) {
        if self.claimants.get(key).is_some_and(|c| c.0 == claimant) {
            self.claimants.remove(key);
        }
    }

    /// Returns copies with a deadline before `unix`, at most `limit`. Owners that are alive are asked whether
    /// they still own them.
    pub fn overdue(&self, unix: Micros, limit: usize) -> Vec<(Instance, Key)> {
        let expired = self.copies.iter().filter(|(_, copy)| copy.record.deadline < unix);
        expired.map(|(&k, copy)| (copy.owner, k)).take(limit).collect()
    }
}
