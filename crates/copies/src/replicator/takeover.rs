//! Taking over the messages of a failed sender.

use super::*;

impl Replicator {
    /// Acts on the state of a claim after a response.
    pub(super) fn apply_claim_progress(
        &mut self,
        key: Key,
        progress: ClaimProgress,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        match progress {
            ClaimProgress::Pending => {}
            ClaimProgress::Released(term, round) => self.send_release(key, term, round, ledger, out),
            ClaimProgress::Blocked(claimant) => {
                self.connect(claimant.peer, out);
                self.send_request(claimant.peer, Frame::QueryOwnership { keys: vec![key] }, out);
            }
            ClaimProgress::Ended => drop(self.copies.delete(key, ledger)),
            ClaimProgress::Moved { term, to, attempts } => {
                self.complete_claimed_move((key, term), to, &attempts, ledger, out)
            }
            ClaimProgress::Won { term, attempts, may_be_incomplete } => {
                self.take_over(key, term, attempts, may_be_incomplete, ledger, out)
            }
        }
    }

    /// Records that a witness denied a claim.
    pub(super) fn claim_denied(
        &mut self,
        claim: (Key, Term, u64),
        witness: Peer,
        reason: Rejection,
    ) -> ClaimProgress {
        // The copies are moved out for the call, since `has_failed` needs the rest of `self`.
        let mut copies = std::mem::take(&mut self.copies);
        let progress =
            copies.record_denial(&self.membership, self.time.now, claim, witness, reason, |owner| {
                self.has_failed(owner)
            });
        self.copies = copies;
        progress
    }

    /// Releases a claim at all witnesses of its group.
    pub(super) fn send_release(
        &mut self,
        key: Key,
        term: Term,
        round: u64,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        for peer in self.membership.witnesses(key.group) {
            if peer == self.membership.local_peer() {
                self.witness.release_claim((key, term, round), self.local.instance, ledger);
            } else {
                self.send_request(peer, Frame::ReleaseClaims { round, claims: vec![(key, term)] }, out);
            }
        }
    }

    /// Takes over a message whose claim is granted, with all known attempts.
    pub(super) fn take_over(
        &mut self,
        key: Key,
        term: Term,
        attempts: Vec<AttemptRecord>,
        may_be_incomplete: bool,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if self.owned.find(&key).is_some() {
            // This is a copy of a message that this sender owns already.
            self.copies.delete(key, ledger);
            return;
        }
        let Some(copy) = self.copies.get(&key) else { return };
        let (from, mut record) = (copy.owner, copy.record.clone());
        record.date_attempts(&attempts);
        attempts.into_iter().for_each(|attempt| record.add_attempt(attempt));
        // Its client may not have received 202, and may have submitted the message again. It is ended instead
        // of delivered, which is safe for both submissions.
        if may_be_incomplete || record.at_most_once && !record.acknowledged {
            record.add_attempt(POSSIBLE_ATTEMPT);
        }
        // The first owner may have made these attempts without consent, so that no witness knows them. The
        // record of the last one makes this owner continue with the number after it.
        let free_attempts = attempts_without_consent(self.settings.max_attempts);
        if !record.at_most_once
            && free_attempts > 0
            && record.attempts.iter().all(|attempt| attempt.number + 1 < free_attempts)
        {
            record.add_attempt(AttemptRecord {
                number: free_attempts - 1,
                endpoint: 0,
                at: self.time.unix,
                never_ran: true,
            });
        }
        // Clients choose the ids, and each sender that accepted a message under this one has promised its
        // own an end.
        let local_id = ledger.free_local_id(key.id);
        let placement = Placement { group: key.group, term };
        let rows = [
            put_row(Row::Placement(local_id), &placement),
            delete_row(Row::Copy(key)),
            delete_row(Row::CopyAcknowledged(key)),
        ];
        if !ledger.adopt(AdoptedMessage { local_id, id: key.id, record: &record }, &rows) {
            out.push(Output::Log(Event::WriteFailed));
            return;
        }
        self.copies.remove(key);
        record.acknowledged = true;
        self.placements.insert(local_id, placement);
        let mut message = OwnedMessage::new(key, term, record);
        message.committed = true;
        // If the earlier owner is alive after all, it keeps a copy of its message.
        message.replicas.insert(from.peer, (from.incarnation, ReplicaStatus::Unknown));
        self.owned.insert(local_id, message);
        *self.taken_over.entry(from).or_default() += 1;
        out.push(Output::TakenOver(local_id));
        self.request_replicas(local_id, out);
        if self.incarnations.get(&from.peer).is_none_or(|known| known.current == from.incarnation)
            && from != self.local.instance
        {
            self.takeovers.entry(from).or_default().insert(key, term);
            self.connect(from.peer, out);
            self.send_request(from.peer, Frame::TakenOver { claims: vec![(key, term)] }, out);
        }
    }

    /// Sends the claims that are due, and releases those that are obsolete.
    pub(super) fn send_claims(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        self.claim_round += 1;
        let (round, now) = (self.claim_round, self.time.now);
        // The copies are moved out for the call, since `has_failed` needs the rest of `self`.
        let mut copies = std::mem::take(&mut self.copies);
        let obsolete = copies.obsolete_claims(|owner| self.has_failed(owner));
        let due = copies.due_claims(now, round, |owner| self.has_failed(owner), MAX_PER_HEARTBEAT);
        let orphans = copies
            .expired_orphans(self.time.unix.saturating_sub(ORPHAN_RETENTION), |owner| self.has_failed(owner));
        self.copies = copies;
        for key in orphans {
            self.copies.delete(key, ledger);
        }
        for (key, term, round) in obsolete {
            self.copies.drop_claim(key);
            self.send_release(key, term, round, ledger, out);
        }
        let mut by_peer: BTreeMap<(Peer, u64), Vec<(Key, Term)>> = BTreeMap::new();
        for (key, term, round) in due {
            let progress = self.copies.claim_progress(&self.membership, key);
            self.apply_claim_progress(key, progress, ledger, out);
            for peer in self.membership.witnesses(key.group) {
                if self.copies.has_response_from(&key, peer) {
                    continue;
                }
                if peer != self.membership.local_peer() {
                    self.copies.record_claim_sent(&key, peer, self.time.unix);
                    by_peer.entry((peer, round)).or_default().push((key, term));
                    continue;
                }
                let progress = match self.grant_claim(key, (term, round), self.local.instance, ledger) {
                    Ok(grant) => self.copies.record_grant(&self.membership, (key, term, round), peer, grant),
                    Err(reason) => self.claim_denied((key, term, round), peer, reason),
                };
                self.apply_claim_progress(key, progress, ledger, out);
            }
        }
        for ((peer, round), claims) in by_peer {
            self.send_request(peer, Frame::Claim { round, claims }, out);
        }
    }
}
