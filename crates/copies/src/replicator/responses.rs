//! Handling of responses from other senders.

use super::*;

impl Replicator {
    /// Handles a response from a peer that this sender dialed.
    pub(super) fn handle_response(
        &mut self,
        from: Instance,
        frame: Frame,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let (peer, now) = (from.peer, self.time.now);
        match frame {
            Frame::HeartbeatResponse { number, free_kib } => {
                if let Some(link) = self.links.get_mut(&peer) {
                    link.free_kib = free_kib;
                    if let Some((_, sent_at)) = link.unanswered_heartbeat.filter(|sent| number >= sent.0) {
                        link.response_times.observe(now.saturating_sub(sent_at).max(1));
                        link.unanswered_heartbeat = None;
                    }
                }
            }
            Frame::GroupRegistered { group } => self.group_registered(peer, group, ledger, out),
            Frame::CopyStored { key, term, free_kib } => {
                if let Some(link) = self.links.get_mut(&peer) {
                    link.free_kib = free_kib;
                }
                let Some(local_id) = self.owned_in_term(&key, term) else { return };
                let message = self.owned.messages.get_mut(&local_id);
                if let Some(replica) = message
                    .and_then(|message| message.replicas.get_mut(&peer))
                    .filter(|replica| replica.0 == from.incarnation)
                {
                    if let ReplicaStatus::Pending(since) = replica.1
                        && let Some(link) = self.links.get_mut(&peer)
                    {
                        link.response_times.observe(now.saturating_sub(since).max(1));
                    }
                    let is_long = matches!(replica.1, ReplicaStatus::Pending(since)
                        if now.saturating_sub(since) > LONG_ROUND_TRIP);
                    let is_late = is_long || replica.1 == ReplicaStatus::Late;
                    replica.1 = ReplicaStatus::Stored;
                    if is_late && let Some(message) = self.owned.messages.get(&local_id) {
                        out.push(Output::SendRequest(peer, self.progress_frame(message)));
                    }
                    self.commit_if_replicated(local_id, out);
                    let message = self
                        .owned
                        .messages
                        .get(&local_id)
                        .filter(|message| !message.previous_groups.is_empty());
                    if message
                        .is_some_and(|message| self.stored_replicas(message) >= self.membership.copy_count())
                    {
                        self.end_previous_copies(local_id);
                    }
                }
            }
            Frame::CopyRejected { key, term, .. } => {
                let Some(local_id) = self.owned_in_term(&key, term) else { return };
                let message = self.owned.messages.get_mut(&local_id);
                if let Some(replica) = message
                    .and_then(|message| message.replicas.get_mut(&peer))
                    .filter(|replica| replica.0 == from.incarnation)
                {
                    // It is not asked again at once, since it would reject the copy again.
                    replica.1 = ReplicaStatus::Rejected;
                    self.request_replicas(local_id, out);
                }
            }
            Frame::EndsRecorded { keys } => {
                let forget: Vec<Key> = keys
                    .into_iter()
                    .take(MAX_LIST_LEN)
                    .filter(|&k| self.owned.acknowledge_end(k, peer))
                    .collect();
                self.send_forget(forget, out);
            }
            Frame::AttemptGranted { key, term, number } => {
                let Some(local_id) = self.owned_in_term(&key, term) else { return };
                if let Some(c) = self.owned.consents.get_mut(&(local_id, number)) {
                    c.granted_by.insert(peer);
                }
                self.check_consent(local_id, number, out);
            }
            Frame::MoveRecorded { key, term, to } => {
                self.copies.record_move(&self.membership, (key, term, to), peer, &[], ledger);
                self.move_recorded(key, term, to, peer, ledger, out);
            }
            Frame::MoveRejected { key, term, reason } => {
                let Some(local_id) = self.owned_in_term(&key, term) else { return };
                self.resume_move(local_id, reason);
                self.record_claimant(local_id, peer, reason, out);
            }
            Frame::AttemptRefused { key, term, number, reason } => {
                let Some(local_id) = self.owned_in_term(&key, term) else { return };
                if let Some(c) = self.owned.consents.get_mut(&(local_id, number)) {
                    c.refused_by.insert(peer);
                }
                self.check_consent(local_id, number, out);
                self.resume_move(local_id, reason);
                self.record_claimant(local_id, peer, reason, out);
                if reason == Rejection::GroupClosed && key.group == self.current_group() {
                    self.begin_epoch(ledger, out);
                }
            }
            Frame::ClaimsGranted { round, claims } => {
                for (key, term, attempts, moved) in claims {
                    let sent_at = self.copies.claim_sent_at(&key, peer);
                    let attempts = attempts.into_iter().map(|attempt| attempt.at_earliest(sent_at));
                    let grant = (attempts.collect(), moved);
                    let progress =
                        self.copies.record_grant(&self.membership, (key, term, round), peer, grant);
                    self.apply_claim_progress(key, progress, ledger, out);
                }
            }
            Frame::ClaimsDenied { round, claims } => {
                for (key, term, reason) in claims {
                    let progress = self.claim_denied((key, term, round), peer, reason);
                    self.apply_claim_progress(key, progress, ledger, out);
                }
            }
            Frame::Owner { claims } => {
                for (key, term) in claims {
                    self.give_up(key, from, term, ledger, out);
                }
            }
            Frame::NotOwner { keys } => {
                for key in &keys {
                    // The claim that witnesses reported was abandoned.
                    if let Some(message) = self.owned.get_mut(key) {
                        message.claimants.retain(|_, claimant| claimant.0 != from);
                    }
                }
                if let Some(claims) = self.takeovers.get_mut(&from) {
                    claims.retain(|k, _| !keys.contains(k));
                    if claims.is_empty() {
                        self.takeovers.remove(&from);
                    }
                }
                for key in keys {
                    self.copies.clear_claimant(&key, from);
                    let is_expired =
                        |copy: &StoredCopy| copy.owner == from && copy.record.deadline < self.time.unix;
                    if self.copies.get(&key).is_some_and(is_expired) {
                        self.copies.delete(key, ledger);
                    }
                }
            }
            Frame::ClaimedMessages { group, claims, more } => {
                for (id, owner, term) in claims {
                    if let Some(local_id) = self.owned.find(&Key { group, id }) {
                        self.record_claimant(local_id, peer, Rejection::OwnedByOther { owner, term }, out);
                    }
                }
                if !more {
                    self.awaited_witnesses.remove(&peer);
                }
            }
            // A dialed peer sends no requests.
            _ => {}
        }
    }
}
