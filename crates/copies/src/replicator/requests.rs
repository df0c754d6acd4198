//! Handling of requests from other senders.

use super::*;

impl Replicator {
    /// Handles a request from a peer that dialed this sender.
    pub(super) fn handle_request(
        &mut self,
        from: Instance,
        link: u64,
        frame: Frame,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let now = self.time.now;
        // Frames of a link that a later one from the same peer has replaced are ignored: what they request
        // may have been undone since.
        let Some(inbound) = self.inbound.get_mut(&from.peer).filter(|i| i.link == link) else { return };
        if self.incarnations.get(&from.peer).is_none_or(|l| l.current != from.incarnation) {
            return;
        }
        inbound.failure_detector.record_heartbeat(now);
        if std::mem::replace(&mut inbound.suspected, false) {
            out.push(Output::Log(Event::InstanceReachable(from)));
        }
        let peer = from.peer;
        let mut respond = |frame| out.push(Output::SendResponse(peer, frame));
        match frame {
            Frame::Heartbeat { number } => {
                respond(Frame::HeartbeatResponse { number, free_kib: self.free_kib() })
            }
            Frame::RegisterGroup { group }
                if group.owner == from && self.witness.register(group, ledger).is_ok() =>
            {
                respond(Frame::GroupRegistered { group });
            }
            Frame::StoreCopy { key, term, record } => {
                let mut record = record.with_absolute_times(self.time.unix);
                // The time left is as of when the frame was sent. It must be reduced by the time that the
                // frame has waited here.
                if now.saturating_sub(self.stall.0) < STALL_AFTERMATH {
                    record.deadline = record.deadline.saturating_sub(self.stall.1);
                }
                let message = self.owned.get(&key).filter(|message| message.term >= term);
                let result = match message {
                    Some(message) => {
                        Err(Rejection::OwnedByOther { owner: self.local.instance, term: message.term })
                    }
                    None => self.copies.store(key, from, term, record, ledger),
                };
                respond(match result {
                    Ok(()) => Frame::CopyStored { key, term, free_kib: self.free_kib() },
                    Err(reason) => Frame::CopyRejected { key, term, reason },
                });
            }
            Frame::Progress { key, term, attempts, verdict, left } => {
                let unix = self.time.unix;
                let attempts: Vec<AttemptRecord> =
                    attempts.into_iter().map(|attempt| convert_age(attempt, unix)).collect();
                self.witness.record_never_ran((key, term, from), &attempts, ledger);
                let deadline = unix.saturating_add(left);
                self.copies.record_progress((key, term, from), &attempts, verdict, deadline, ledger);
            }
            Frame::Acknowledged { keys } => {
                keys.into_iter()
                    .for_each(|(key, term)| self.copies.mark_acknowledged(key, term, from, ledger));
            }
            Frame::Ended { keys } => {
                let mut recorded = Vec::new();
                for (key, term) in keys {
                    // An earlier owner has delivered the message nevertheless, or reported its final status.
                    if let Some(local_id) = self.owned_in_later_term(&key, term) {
                        out.push(Output::OwnershipLost(local_id));
                    }
                    let is_recorded = self.witness.record_end(key, term, from, ledger);
                    if self.copies.record_end(key, term, ledger) && is_recorded {
                        recorded.push(key);
                    }
                }
                out.push(Output::SendResponse(peer, Frame::EndsRecorded { keys: recorded }));
            }
            Frame::Forget { keys } => keys.into_iter().for_each(|k| self.witness.forget(k, from, ledger)),
            Frame::RequestConsent { key, term, attempt } => {
                let (number, attempt) = (attempt.number, convert_age(attempt, self.time.unix));
                respond(match self.witness.record_attempt(key, term, from, attempt, ledger) {
                    Ok(()) => Frame::AttemptGranted { key, term, number },
                    Err(reason) => Frame::AttemptRefused { key, term, number, reason },
                });
            }
            Frame::RecordMove { key, term, to, attempts } => {
                let unix = self.time.unix;
                let attempts: Vec<AttemptRecord> =
                    attempts.into_iter().map(|attempt| convert_age(attempt, unix)).collect();
                respond(match self.witness.record_move(key, (term, from), to, &attempts, ledger) {
                    Ok(()) => Frame::MoveRecorded { key, term, to },
                    Err(reason) => Frame::MoveRejected { key, term, reason },
                });
            }
            Frame::Claim { round, claims } => self.answer_claims(from, round, claims, ledger, out),
            Frame::ReleaseClaims { round, claims } => {
                for (key, term) in claims {
                    self.witness.release_claim((key, term, round), from, ledger);
                }
            }
            Frame::TakenOver { claims } => {
                let all: Vec<Key> = claims.iter().map(|c| c.0).collect();
                for (key, term) in claims {
                    self.give_up(key, from, term, ledger, out);
                }
                let keys = all.into_iter().filter(|key| self.owned.find(key).is_none()).collect();
                out.push(Output::SendResponse(peer, Frame::NotOwner { keys }));
            }
            Frame::QueryOwnership { keys } => {
                // A message that was taken over from the requesting sender may have ended since. Then nothing
                // of it is left here, but the claim was not abandoned. A sender that asks before it has
                // received `TakenOver` must not conclude that it still owns the message.
                let taken_over = |k: &Key| self.takeovers.get(&from)?.get(k).copied();
                let owned_term = |k: &Key| match self.owned.get(k) {
                    Some(message) => Some(message.term),
                    None => taken_over(k),
                };
                let (mut claims, mut not_owned) = (Vec::new(), Vec::new());
                for key in keys {
                    match owned_term(&key) {
                        Some(term) => claims.push((key, term)),
                        None if !self.copies.is_claiming(&key) => not_owned.push(key),
                        None => {}
                    }
                }
                if !claims.is_empty() {
                    respond(Frame::Owner { claims });
                }
                respond(Frame::NotOwner { keys: not_owned.clone() });
                // Witnesses may have grants for this sender that an earlier process of it requested, or that
                // could not be released. Those in a later term than that of the copy can be released: if
                // this sender had owned the message in one of them, it would now have no copy, or a copy
                // from the next owner.
                for key in not_owned {
                    if let Some(term) = self.copies.get(&key).map(|copy| copy.term) {
                        self.send_release(key, term, ANY_ROUND, ledger, out);
                    }
                }
            }
            Frame::QueryClaims { group } => {
                let all = self.witness.claimed_messages(group);
                let parts = all.chunks(MAX_LIST_LEN).count();
                for (index, claims) in all.chunks(MAX_LIST_LEN).enumerate() {
                    let more = index + 1 < parts;
                    respond(Frame::ClaimedMessages { group, claims: claims.to_vec(), more });
                }
                if parts == 0 {
                    respond(Frame::ClaimedMessages { group, claims: Vec::new(), more: false });
                }
            }
            // A dialing peer sends no responses.
            _ => {}
        }
    }

    /// Grants or denies claims as a witness.
    pub(super) fn answer_claims(
        &mut self,
        from: Instance,
        round: u64,
        claims: Vec<(Key, Term)>,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let (mut granted, mut denied) = (Vec::new(), Vec::new());
        for (key, term) in claims {
            match self.grant_claim(key, (term, round), from, ledger) {
                Ok((attempts, moved)) => {
                    let unix = self.time.unix;
                    granted.push((
                        key,
                        term,
                        attempts.into_iter().map(|attempt| convert_age(attempt, unix)).collect(),
                        moved,
                    ));
                }
                Err(reason) => denied.push((key, term, reason)),
            }
        }
        if !granted.is_empty() {
            out.push(Output::SendResponse(from.peer, Frame::ClaimsGranted { round, claims: granted }));
        }
        if !denied.is_empty() {
            out.push(Output::SendResponse(from.peer, Frame::ClaimsDenied { round, claims: denied }));
        }
    }

    /// Grants a claim unless its owner is alive.
    pub(super) fn grant_claim(
        &mut self,
        key: Key,
        (term, round): (Term, u64),
        claimant: Instance,
        ledger: &mut dyn Ledger,
    ) -> Result<ClaimGrant, Rejection> {
        // The witness is moved out for the call, since `has_failed` needs the rest of `self`.
        let mut witness = std::mem::take(&mut self.witness);
        let granted =
            witness.grant_claim((key, term, round), claimant, |owner| !self.has_failed(owner), ledger);
        self.witness = witness;
        granted
    }

    /// Returns the space left for copies, in KiB.
    pub(super) fn free_kib(&self) -> u32 {
        u32::try_from(self.copies.free_bytes() / 1_024).unwrap_or(u32::MAX)
    }
}
