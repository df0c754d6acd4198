//! Messages that this sender owns: their copies, when they are committed, and which attempts may be made.

use super::*;

impl Replicator {
    /// Adds a message that a client submits, and asks replicas to store copies.
    pub(super) fn submit(&mut self, id: Id, record: Record, out: &mut Vec<Output>) {
        let (local_id, key) = (LocalId(id.0), Key { group: self.current_group(), id });
        let mut message = OwnedMessage::new(key, FIRST_TERM, record);
        message.replicas_requested_at = self.time.now;
        self.owned.insert(local_id, message);
        self.request_replicas(local_id, out);
    }

    /// Returns the number of replicas that have a copy. A replica whose link has been down for a short time
    /// still counts.
    pub(super) fn stored_replicas(&self, message: &OwnedMessage) -> usize {
        let has_copy = |(peer, replica): &(&Peer, &(Incarnation, ReplicaStatus))| {
            let is_up = |l: &Link| match l.up {
                Some((incarnation, _)) => incarnation == replica.0,
                None => self.time.now.saturating_sub(l.down_since) < REPLICA_AWAY_TIMEOUT,
            };
            replica.1 == ReplicaStatus::Stored && self.links.get(peer).is_some_and(is_up)
        };
        message.replicas.iter().filter(has_copy).count()
    }

    /// Asks as many further senders to store a copy as copies are missing.
    pub(super) fn request_replicas(&mut self, local_id: LocalId, out: &mut Vec<Output>) {
        let Some(message) = self.owned.messages.get(&local_id) else { return };
        let missing = self
            .membership
            .copy_count()
            .saturating_sub(self.stored_replicas(message) + message.pending_replicas());
        if missing == 0 {
            return;
        }
        let (now, local_peer) = (self.time.now, self.membership.local_peer());
        let mut available: Vec<(bool, bool, f64, Peer, Incarnation)> = Vec::new();
        for peer in self.membership.candidates(local_peer) {
            let Some(link) = self.links.get(&peer) else { continue };
            let Some((incarnation, _)) = link.up else { continue };
            if message
                .replicas
                .get(&peer)
                .is_some_and(|replica| replica.0 == incarnation && replica.1 != ReplicaStatus::Unknown)
            {
                continue;
            }
            let free_kib = f64::from(link.free_kib.max(1));
            let rank = self.membership.rank(message.id, peer, free_kib);
            available.push((
                link.is_slow(now),
                self.membership.same_zone(local_peer, peer),
                rank,
                peer,
                incarnation,
            ));
        }
        available.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        let frame = Frame::StoreCopy {
            key: message.key(),
            term: message.term,
            record: Box::new(message.record.with_relative_times(self.time.unix)),
        };
        let chosen: Vec<(Peer, Incarnation)> = available.iter().take(missing).map(|f| (f.3, f.4)).collect();
        for &(peer, incarnation) in &chosen {
            let usual =
                self.links.get(&peer).map_or(0.0, |l| l.response_times.upper_bound(*REPLICA_TIMEOUT.start()));
            let due = now + (usual as Micros).clamp(*REPLICA_TIMEOUT.start(), *REPLICA_TIMEOUT.end());
            self.owned.replica_timeouts.insert((due, local_id));
            if let Some(message) = self.owned.messages.get_mut(&local_id) {
                message.replicas.insert(peer, (incarnation, ReplicaStatus::Pending(now)));
            }
            out.push(Output::SendRequest(peer, frame.clone()));
        }
        if let Some(message) = self.owned.messages.get_mut(&local_id)
            && chosen.len() < missing
            && !message.awaits_replica()
            && !message.committed
            && !std::mem::replace(&mut message.shortage_reported, true)
        {
            out.push(Output::TooFewReplicas(local_id));
        }
    }

    /// Returns whether enough witnesses have registered the epoch for a claim to be granted, so that another
    /// sender can take a message over. A reachable witness that has not confirmed yet is waited for, since
    /// otherwise fewer losses could be tolerated than there are copies. An unreachable one is such a loss
    /// already.
    pub(super) fn can_commit(&self, group: WitnessGroup) -> bool {
        let is_up = |w: &Peer| self.links.get(w).is_some_and(|l| l.up.is_some());
        let is_confirmed = |w: &Peer| self.local.confirmed_by.contains(w);
        let witnesses = self.membership.witnesses(group);
        let has_quorum =
            witnesses.iter().filter(|w| is_confirmed(w)).count() >= self.membership.claim_quorum(group);
        group == self.current_group() && has_quorum && witnesses.iter().all(|w| is_confirmed(w) || !is_up(w))
    }

    /// Commits a message once enough replicas have stored it.
    pub(super) fn commit_if_replicated(&mut self, local_id: LocalId, out: &mut Vec<Output>) {
        let Some(message) = self.owned.messages.get(&local_id).filter(|message| !message.committed) else {
            return;
        };
        if self.stored_replicas(message) < self.membership.copy_count() || !self.can_commit(message.group) {
            return;
        }
        if let Some(message) = self.owned.messages.get_mut(&local_id) {
            (message.committed, message.record.acknowledged) = (true, true);
            out.push(Output::Committed(local_id));
            if message.record.at_most_once {
                // This is sent at once, since a new owner ends the message instead of delivering it if it
                // does not know that the message was acknowledged.
                let (key, term) = (message.key(), message.term);
                let replicas: Vec<Peer> = message.replicas.keys().copied().collect();
                for peer in replicas {
                    self.send_request(peer, Frame::Acknowledged { keys: vec![(key, term)] }, out);
                }
            }
        }
    }

    /// Resumes a message of an earlier process. Its replicas are unknown, and it may have been claimed
    /// meanwhile.
    pub(super) fn resume(&mut self, local_id: LocalId, id: Id, record: Record) {
        // Each message that was open when an epoch began has a row with its group.
        let default = Placement { group: self.current_group(), term: FIRST_TERM };
        let placement = self.placements.get(&local_id).copied().unwrap_or(default);
        let key = Key { group: placement.group, id };
        let mut message = OwnedMessage::new(key, placement.term, record);
        (message.committed, message.recovered) = (true, true);
        message.consent_requested = message
            .record
            .attempts
            .iter()
            .any(|attempt| message.needs_consent(attempt.number, self.settings.max_attempts));
        self.awaited_witnesses.extend(self.membership.witnesses(placement.group));
        self.awaited_witnesses.remove(&self.membership.local_peer());
        self.owned.insert(local_id, message);
    }

    /// Grants an attempt, or asks the witnesses for their consent to it.
    pub(super) fn begin_attempt(
        &mut self,
        local_id: LocalId,
        attempt: AttemptRecord,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let number = attempt.number;
        let Some(message) = self.owned.messages.get_mut(&local_id) else {
            out.push(Output::AttemptRefused(local_id, number));
            return;
        };
        if attempt.number != CLOSING_ATTEMPT {
            message.record.add_attempt(attempt);
        }
        if attempt.number != CLOSING_ATTEMPT && !message.needs_consent(number, self.settings.max_attempts) {
            out.push(Output::AttemptGranted(local_id, number));
            return;
        }
        // The message is being moved, and the witnesses of the old group were sent all attempts so far.
        if message.pending_move.is_some() {
            out.push(Output::AttemptRefused(local_id, number));
            return;
        }
        message.consent_requested = true;
        let (key, term, needed) =
            (message.key(), message.term, PendingConsent::quorum(&self.membership, message));
        let consent = self.owned.consents.entry((local_id, number)).or_default();
        if consent.granted {
            out.push(Output::AttemptGranted(local_id, number));
            return;
        }
        consent.refused_by.clear();
        let (witnesses, group) = (self.membership.witnesses(key.group), self.current_group());
        let mut reachable = 0;
        for peer in witnesses {
            if peer == self.membership.local_peer() {
                match self.witness.record_attempt(key, term, self.local.instance, attempt, ledger) {
                    Ok(()) => {
                        reachable += 1;
                        if let Some(c) = self.owned.consents.get_mut(&(local_id, number)) {
                            c.granted_by.insert(peer);
                        }
                    }
                    Err(reason) => self.record_claimant(local_id, peer, reason, out),
                }
                continue;
            }
            let is_linked = self.links.get(&peer).is_some_and(|l| l.up.is_some());
            let has_registered = key.group != group || self.local.confirmed_by.contains(&peer);
            if is_linked && has_registered {
                reachable += 1;
                let frame =
                    Frame::RequestConsent { key, term, attempt: convert_age(attempt, self.time.unix) };
                out.push(Output::SendRequest(peer, frame));
            }
        }
        if reachable < needed {
            self.owned.consents.remove(&(local_id, number));
            out.push(Output::AttemptRefused(local_id, number));
            return;
        }
        self.check_consent(local_id, number, out);
    }

    /// Grants or refuses an attempt once enough witnesses have answered.
    pub(super) fn check_consent(&mut self, local_id: LocalId, number: u32, out: &mut Vec<Output>) {
        let Some(message) = self.owned.messages.get(&local_id) else { return };
        let (needed, all) = (
            PendingConsent::quorum(&self.membership, message),
            self.membership.witnesses(message.group).len(),
        );
        let Some(consent) = self.owned.consents.get_mut(&(local_id, number)).filter(|c| !c.granted) else {
            return;
        };
        if consent.granted_by.len() >= needed {
            consent.granted = true;
            out.push(Output::AttemptGranted(local_id, number));
        } else if all - consent.refused_by.len() < needed {
            self.owned.consents.remove(&(local_id, number));
            out.push(Output::AttemptRefused(local_id, number));
        }
    }

    /// Records that a witness reports another owner of a message, and asks that sender: only it knows whether
    /// it pursues its claim, and it releases what it does not need.
    pub(super) fn record_claimant(
        &mut self,
        local_id: LocalId,
        witness: Peer,
        reason: Rejection,
        out: &mut Vec<Output>,
    ) {
        let Rejection::OwnedByOther { owner, term } = reason else { return };
        let Some(message) = self.owned.messages.get_mut(&local_id) else { return };
        if term > message.term && owner != self.local.instance {
            message.claimants.insert(witness, (owner, term));
            let key = message.key();
            self.connect(owner.peer, out);
            self.send_request(owner.peer, Frame::QueryOwnership { keys: vec![key] }, out);
        }
    }

    /// Gives a message up to its new owner, and stores it as a copy. If it were deleted at once, it could be
    /// lost with the new owner before that sender has stored copies.
    pub(super) fn give_up(
        &mut self,
        key: Key,
        to: Instance,
        term: Term,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let Some(local_id) = self.owned.find(&key) else { return };
        let Some(message) = self.owned.messages.get(&local_id).filter(|message| message.term < term) else {
            return;
        };
        if self.copies.store(key, to, term, message.record.clone(), ledger).is_err() {
            // There is no space for the copy now. The new owner will notify this sender again.
            return;
        }
        self.owned.remove(local_id);
        *self.given_up.entry(to).or_default() += 1;
        out.push(Output::OwnershipLost(local_id));
    }

    /// Returns the frame that reports the progress of a message.
    pub(super) fn progress_frame(&self, message: &OwnedMessage) -> Frame {
        let unix = self.time.unix;
        Frame::Progress {
            key: message.key(),
            term: message.term,
            attempts: message
                .record
                .attempts
                .iter()
                .take(MAX_LIST_LEN)
                .map(|&attempt| convert_age(attempt, unix))
                .collect(),
            verdict: message.record.verdict,
            left: message.record.deadline.saturating_sub(unix),
        }
    }

    /// Reports the progress of a message to its replicas and witnesses.
    pub(super) fn send_progress(&mut self, local_id: LocalId, out: &mut Vec<Output>) {
        let Some(message) = self.owned.messages.get(&local_id) else { return };
        let frame = self.progress_frame(message);
        let mut recipients: BTreeSet<Peer> = message.replicas.keys().copied().collect();
        if message.consent_requested {
            recipients.extend(self.membership.witnesses(message.group));
        }
        recipients.remove(&self.membership.local_peer());
        recipients.into_iter().for_each(|peer| self.send_request(peer, frame.clone(), out));
    }

    /// Removes a message that has ended, and notifies the senders that have copies or entries of it.
    pub(super) fn end_message(&mut self, local_id: LocalId, ledger: &mut dyn Ledger) {
        if self.placements.remove(&local_id).is_some() {
            // If the row stays, it does no harm: ids are not used again.
            let _ = ledger.write(&[delete_row(Row::Placement(local_id))]);
        }
        self.end_previous_copies(local_id);
        let Some(message) = self.owned.messages.get(&local_id) else { return };
        let (key, term, local_peer) = (message.key(), message.term, self.membership.local_peer());
        let witnesses = self.membership.witnesses(key.group);
        let recipients = self.owned.end(local_id, &witnesses);
        self.witness.record_end(key, term, self.local.instance, ledger);
        let Some((key, recipients)) = recipients else { return };
        for peer in recipients {
            if peer == local_peer {
                self.owned.acknowledge_end(key, local_peer);
            } else {
                self.unsent_ends.entry(peer).or_default().push((key, term));
            }
        }
        self.flush_at.get_or_insert(self.time.now + END_FLUSH_DELAY);
    }

    /// Returns the message with this key if this sender owns it in this term.
    pub(super) fn owned_in_term(&self, key: &Key, term: Term) -> Option<LocalId> {
        self.owned.find(key).filter(|local_id| self.owned.messages[local_id].term == term)
    }

    /// Returns the message with this key if this sender owns it in a later term.
    pub(super) fn owned_in_later_term(&self, key: &Key, term: Term) -> Option<LocalId> {
        self.owned.find(key).filter(|local_id| self.owned.messages[local_id].term > term)
    }

    /// Asks the witnesses to delete their entries of messages.
    pub(super) fn send_forget(&self, keys: Vec<Key>, out: &mut Vec<Output>) {
        let mut by_group: BTreeMap<WitnessGroup, Vec<Key>> = BTreeMap::new();
        keys.into_iter().for_each(|key| by_group.entry(key.group).or_default().push(key));
        for (group, keys) in by_group {
            for peer in self.membership.witnesses(group) {
                self.send_request(peer, Frame::Forget { keys: keys.clone() }, out);
            }
        }
    }

    /// Asks for new replicas of messages that have lost some, those with the earliest deadline first.
    pub(super) fn replace_lost_replicas(&mut self, out: &mut Vec<Output>) {
        let (now, count) = (self.time.now, self.membership.copy_count());
        let due = |message: &OwnedMessage| {
            message.committed
                && message.replicas_requested_at + REPLACEMENT_INTERVAL <= now
                && self.stored_replicas(message) < count
        };
        let due = self.owned.messages.iter().filter(|(_, message)| due(message));
        let mut due: Vec<(Micros, LocalId)> =
            due.map(|(&local_id, message)| (message.record.deadline, local_id)).collect();
        due.sort_unstable();
        for (_, local_id) in due.into_iter().take(MAX_PER_HEARTBEAT) {
            if let Some(message) = self.owned.messages.get_mut(&local_id) {
                message.replicas_requested_at = now;
                // A late replica has had its time, and one without space may have some now.
                for replica in
                    message.replicas.values_mut().filter(|replica| replica.1 != ReplicaStatus::Stored)
                {
                    replica.1 = ReplicaStatus::Unknown;
                }
            }
            self.request_replicas(local_id, out);
        }
    }
}
