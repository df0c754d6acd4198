//! Moves messages to this sender's current group if they belong to another sender's group, or to an epoch of
//! which a witness has lost its state. The witnesses of the current group know all of its messages from their
//! first record on.

use super::*;

impl Replicator {
    /// Begins a new epoch for all further messages, since a witness has lost its state of the current one or
    /// has closed its group. Nothing that any witness forgot concerns the new epoch.
    pub(super) fn begin_epoch(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let Some(epoch) = self.membership.next_epoch(self.current_group(), |peer| self.is_linked(peer))
        else {
            return;
        };
        let instance = self.local.instance;
        let witnesses = self.membership.witnesses(WitnessGroup { owner: instance, epoch });
        let local = LocalState {
            instance,
            epoch,
            registered: BTreeMap::new(),
            witnesses,
            confirmed_by: BTreeSet::new(),
        };
        // Messages of the earlier epoch get a row with their group. Those that wait for their commit belong
        // to the new one.
        let mut rows = vec![put_row(Row::LocalState, &local)];
        let mut new_placements = Vec::new();
        let stays = |id: &LocalId, message: &OwnedMessage| {
            !message.awaits_commit() && !self.placements.contains_key(id)
        };
        for (&id, message) in self.owned.messages.iter().filter(|(id, message)| stays(id, message)) {
            let placement = Placement { group: message.group, term: message.term };
            rows.push(put_row(Row::Placement(id), &placement));
            new_placements.push((id, placement));
        }
        if !ledger.write(&rows) {
            out.push(Output::Log(Event::WriteFailed));
            return;
        }
        self.placements.extend(new_placements);
        self.local = local;
        self.submit_again(out);
        let up: Vec<(Peer, Incarnation)> =
            self.links.iter().filter_map(|(&p, l)| l.up.map(|up| (p, up.0))).collect();
        for (peer, incarnation) in up {
            self.register_group(peer, incarnation, ledger, out);
        }
    }

    /// Submits the messages that wait for their commit to the current group, since witnesses may not know the
    /// earlier one. Their copies there are ended first: a replica that claimed such a copy as well as the new
    /// one could end a committed message.
    fn submit_again(&mut self, out: &mut Vec<Output>) {
        let (group, now) = (self.current_group(), self.time.now);
        let mut ends: BTreeMap<Peer, Vec<(Key, Term)>> = BTreeMap::new();
        let mut waiting = Vec::new();
        for (&id, message) in self.owned.messages.iter_mut().filter(|(_, message)| message.awaits_commit()) {
            let (key, term) = (message.key(), message.term);
            let replicas: BTreeSet<Peer> = std::mem::take(&mut message.replicas).into_keys().collect();
            (message.group, message.term, message.replicas_requested_at) = (group, FIRST_TERM, now);
            replicas.iter().for_each(|&peer| ends.entry(peer).or_default().push((key, term)));
            waiting.push((id, key, PendingEnd { term, unacknowledged_by: replicas, forget: false }));
        }
        for (peer, keys) in ends {
            for keys in keys.chunks(MAX_LIST_LEN) {
                self.send_request(peer, Frame::Ended { keys: keys.to_vec() }, out);
            }
        }
        for (id, key, end) in waiting {
            if !end.unacknowledged_by.is_empty() {
                self.owned.add_pending_end(key, end);
            }
            self.request_replicas(id, out);
        }
    }

    /// Returns whether a request can be sent to a sender now.
    pub(super) fn is_linked(&self, peer: Peer) -> bool {
        self.links.get(&peer).is_some_and(|l| l.up.is_some())
    }

    /// Returns whether a sender has been unreachable for longer than a reconnect, or a first connection,
    /// takes.
    fn is_away(&self, peer: Peer) -> bool {
        let Some(link) = self.links.get(&peer) else { return false };
        let (since, time_out) = if link.last_incarnation.is_some() {
            (link.down_since, REPLICA_AWAY_TIMEOUT)
        } else {
            (self.started_at, self.settings.min_silence)
        };
        link.up.is_none() && self.time.now.saturating_sub(since) > time_out
    }

    /// Replaces an epoch that too few of its witnesses have registered, if one of them is away and a new
    /// epoch with reachable witnesses can be registered. No message was committed in the replaced epoch. Open
    /// messages of earlier epochs move by means of the witnesses of their own group.
    pub(super) fn replace_witnesses(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let group = self.current_group();
        let witnesses = self.membership.witnesses(group);
        let confirmed = witnesses.iter().filter(|w| self.local.confirmed_by.contains(w)).count();
        if confirmed >= self.membership.claim_quorum(group) {
            return;
        }
        let away =
            witnesses.iter().copied().find(|&w| !self.local.confirmed_by.contains(&w) && self.is_away(w));
        let Some(away) = away else { return };
        let Some(epoch) = self.membership.next_epoch(group, |peer| self.is_linked(peer)) else { return };
        let next = WitnessGroup { epoch, ..group };
        let new_witnesses = self.membership.witnesses(next);
        let reachable = new_witnesses.iter().filter(|w| self.is_linked(**w)).count();
        // Otherwise the new epoch would not be registered any sooner.
        if new_witnesses != witnesses && reachable >= self.membership.claim_quorum(next) {
            out.push(Output::Log(Event::WitnessReplaced(away)));
            self.begin_epoch(ledger, out);
        }
    }

    /// Requests the moves that are due, those with the earliest deadline first.
    pub(super) fn move_messages(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let (now, group) = (self.time.now, self.current_group());
        if !self.can_commit(group) {
            return;
        }
        // The current group may know another message under this id.
        let is_key_free = |local_id: &LocalId, message: &OwnedMessage| {
            local_id.0 == message.id.0 && !self.is_end_pending(message.id)
        };
        let due = |local_id: &LocalId, message: &OwnedMessage| {
            message.committed
                && message.group != group
                && match &message.pending_move {
                    Some((_, requested_at, _)) => requested_at + MOVE_RETRY_INTERVAL <= now,
                    None => is_key_free(local_id, message),
                }
        };
        let due = self.owned.messages.iter().filter(|(local_id, message)| due(local_id, message));
        let mut due: Vec<(Micros, LocalId)> =
            due.map(|(&id, message)| (message.record.deadline, id)).collect();
        due.sort_unstable();
        for (_, id) in due.into_iter().take(MAX_PER_HEARTBEAT) {
            self.request_move(id, group, ledger, out);
        }
    }

    /// Requests the move of a message to the current group, or repeats the request.
    pub(super) fn request_move(
        &mut self,
        local_id: LocalId,
        group: WitnessGroup,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let now = self.time.now;
        let Some(message) = self.owned.messages.get_mut(&local_id) else { return };
        // A move that was begun must be completed, since a witness may have recorded it.
        let to = message.pending_move.get_or_insert_with(|| (group, now, BTreeSet::new()));
        to.1 = now;
        let to = to.0;
        let (key, term, attempts) = (message.key(), message.term, message.record.attempts.clone());
        // Consents that are still pending would come from the old group, so these attempts are refused.
        let pending =
            self.owned.consents.iter().filter(|((message_id, _), c)| *message_id == local_id && !c.granted);
        let pending: Vec<u32> = pending.map(|((_, number), _)| *number).collect();
        for number in pending {
            self.owned.consents.remove(&(local_id, number));
            out.push(Output::AttemptRefused(local_id, number));
        }
        if let Some(peer) = self.send_move((key, term), to, &attempts, out) {
            match self.witness.record_move(key, (term, self.local.instance), to, &attempts, ledger) {
                Ok(()) => self.move_recorded(key, term, to, peer, ledger, out),
                Err(reason) => self.resume_move(local_id, reason),
            }
        }
    }

    /// Asks the witnesses of a message's old group to record its new group. Returns this sender if it is one
    /// of them.
    pub(super) fn send_move(
        &self,
        (key, term): (Key, Term),
        to: WitnessGroup,
        attempts: &[AttemptRecord],
        out: &mut Vec<Output>,
    ) -> Option<Peer> {
        let unix = self.time.unix;
        let relative: Vec<AttemptRecord> =
            attempts.iter().map(|&attempt| convert_age(attempt, unix)).take(MAX_LIST_LEN).collect();
        let witnesses = self.membership.witnesses(key.group);
        for &peer in witnesses.iter().filter(|&&p| p != self.membership.local_peer()) {
            self.send_request(peer, Frame::RecordMove { key, term, to, attempts: relative.clone() }, out);
        }
        witnesses.into_iter().find(|&p| p == self.membership.local_peer())
    }

    /// Completes a move that the earlier owner had begun of a message that this sender has claimed.
    pub(super) fn complete_claimed_move(
        &mut self,
        (key, term): (Key, Term),
        to: WitnessGroup,
        attempts: &[AttemptRecord],
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if let Some(local_peer) = self.send_move((key, term), to, attempts, out)
            && self.witness.record_move(key, (term, self.local.instance), to, attempts, ledger).is_ok()
        {
            self.copies.record_move(&self.membership, (key, term, to), local_peer, attempts, ledger);
        }
    }

    /// Continues a move that an earlier process of this sender has begun, and that witnesses may have
    /// recorded.
    pub(super) fn resume_move(&mut self, local_id: LocalId, reason: Rejection) {
        let Rejection::Moved(to) = reason else { return };
        if let Some(message) =
            self.owned.messages.get_mut(&local_id).filter(|_| to.owner == self.local.instance)
            && message.pending_move.as_ref().is_none_or(|m| m.0 != to)
        {
            message.pending_move = Some((to, 0, BTreeSet::new()));
        }
    }

    /// Handles the record of a move by a witness of the old group. The move is complete once a quorum has
    /// recorded it.
    pub(super) fn move_recorded(
        &mut self,
        key: Key,
        term: Term,
        to: WitnessGroup,
        witness: Peer,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let Some(local_id) = self.owned.find(&key) else { return };
        let Some(message) = self.owned.messages.get_mut(&local_id).filter(|message| message.term == term)
        else {
            return;
        };
        let Some(pending_move) = message.pending_move.as_mut().filter(|m| m.0 == to) else { return };
        pending_move.2.insert(witness);
        if pending_move.2.len() < PendingConsent::quorum(&self.membership, message) {
            return;
        }
        let placement = Placement { group: to, term: FIRST_TERM };
        if !ledger.write(&[put_row(Row::Placement(local_id), &placement)]) {
            out.push(Output::Log(Event::WriteFailed));
            return;
        }
        self.placements.insert(local_id, placement);
        let replicas: BTreeSet<Peer> = std::mem::take(&mut message.replicas).into_keys().collect();
        (message.group, message.term, message.pending_move, message.consent_requested) =
            (to, FIRST_TERM, None, false);
        message.claimants.clear();
        // Senders that still have a copy of the old group may ask later, so witnesses must not forget the
        // message.
        message.recovered = true;
        // The copies in the old group are kept until there are enough in the new one. A claim on one of them
        // leads to the new group.
        message.previous_groups.push((key, term, replicas));
        self.request_replicas(local_id, out);
    }

    /// Ends the copies in a message's earlier groups, which are not needed any more.
    pub(super) fn end_previous_copies(&mut self, local_id: LocalId) {
        let Some(message) = self.owned.messages.get_mut(&local_id) else { return };
        for (key, term, replicas) in std::mem::take(&mut message.previous_groups) {
            for &peer in &replicas {
                self.unsent_ends.entry(peer).or_default().push((key, term));
            }
            if !replicas.is_empty() {
                self.owned
                    .add_pending_end(key, PendingEnd { term, unacknowledged_by: replicas, forget: false });
                self.flush_at.get_or_insert(self.time.now + END_FLUSH_DELAY);
            }
        }
    }
}
