//! Links: which instances are connected, and which count as failed.

use super::*;

impl Replicator {
    /// Returns whether an instance is the current incarnation of its peer. An incarnation that was never seen
    /// replaces the one before permanently: the order of incarnations is unknown, and no clock decides it.
    pub(super) fn accept_incarnation(
        &mut self,
        from: Instance,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) -> bool {
        let known = match self.incarnations.get(&from.peer) {
            Some(known) if known.current == from.incarnation => return true,
            Some(known) if known.retired.contains(&from.incarnation) => {
                if self.reported_stale.insert(from) {
                    out.push(Output::Log(Event::StaleIncarnationRejected(from)));
                }
                return false;
            }
            Some(known) => {
                let mut known = known.clone();
                known.retired.push(std::mem::replace(&mut known.current, from.incarnation));
                let more = known.retired.len().saturating_sub(MAX_RETIRED_INCARNATIONS);
                known.retired.drain(..more);
                known
            }
            None => Incarnations { current: from.incarnation, retired: Vec::new() },
        };
        // If this cannot be written, the next process learns it from the first instance that dials it. Safety
        // rests on the witnesses alone.
        if !ledger.write(&[put_row(Row::PeerIncarnations(from.peer), &known)]) {
            out.push(Output::Log(Event::WriteFailed));
        }
        if let Some(&before) = known.retired.last() {
            let before = Instance { peer: from.peer, incarnation: before };
            self.takeovers.remove(&before);
            out.push(Output::Log(Event::InstanceFailed(before)));
        }
        self.incarnations.insert(from.peer, known);
        true
    }

    /// Returns whether an instance counts as failed: it is an earlier incarnation, or is suspected by the
    /// failure detector.
    pub(super) fn has_failed(&self, instance: Instance) -> bool {
        if instance == self.local.instance {
            return false;
        }
        if instance.peer == self.local.instance.peer
            || self
                .incarnations
                .get(&instance.peer)
                .is_some_and(|known| known.current != instance.incarnation)
        {
            return true;
        }
        match self.inbound.get(&instance.peer) {
            Some(inbound) => inbound.failure_detector.is_suspected(self.time.now, self.settings.min_silence),
            // This process has not received anything from it yet, and waits for its first heartbeat.
            None => self.time.now.saturating_sub(self.started_at) > self.settings.min_silence,
        }
    }

    /// Handles a new link: registers the group, and sends everything that the peer may have missed.
    pub(super) fn link_up(
        &mut self,
        instance: Instance,
        link: u64,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let Instance { peer, incarnation } = instance;
        if !self.accept_incarnation(instance, ledger, out) {
            return;
        }
        let Some(link_state) = self.links.get_mut(&peer) else { return };
        (link_state.up, link_state.unanswered_heartbeat) = (Some((incarnation, link)), None);
        self.copies.forget_claims_sent(peer);
        if link_state.last_incarnation.replace(incarnation).is_some_and(|before| before != incarnation) {
            // The new incarnation does not know what the earlier one has confirmed.
            self.local.confirmed_by.remove(&peer);
        }
        // Copies of the earlier incarnation are lost.
        for message in self.owned.messages.values_mut() {
            if message.replicas.get(&peer).is_some_and(|replica| replica.0 != incarnation) {
                message.replicas.remove(&peer);
            }
            // A request on the earlier link, or its response, may have been lost.
            if let Some(replica) =
                message.replicas.get_mut(&peer).filter(|replica| replica.1 != ReplicaStatus::Stored)
            {
                replica.1 = ReplicaStatus::Unknown;
            }
        }
        self.register_group(peer, incarnation, ledger, out);
        if self.awaited_witnesses.contains(&peer) {
            let groups: BTreeSet<WitnessGroup> =
                self.owned.messages.values().map(|message| message.group).collect();
            for group in groups.into_iter().filter(|group| self.membership.witnesses(*group).contains(&peer))
            {
                out.push(Output::SendRequest(peer, Frame::QueryClaims { group }));
            }
        }
        for keys in self.owned.pending_ends_for(peer).chunks(MAX_LIST_LEN) {
            out.push(Output::SendRequest(peer, Frame::Ended { keys: keys.to_vec() }));
        }
        let taken_over = self.takeovers.get(&instance).into_iter().flatten();
        let taken_over: Vec<(Key, Term)> = taken_over.map(|(&key, &term)| (key, term)).collect();
        for claims in taken_over.chunks(MAX_LIST_LEN) {
            out.push(Output::SendRequest(peer, Frame::TakenOver { claims: claims.to_vec() }));
        }
        let claimed = self
            .owned
            .messages
            .iter()
            .filter(|(_, message)| message.claimants.values().any(|claimant| claimant.0 == instance));
        let claimed: Vec<Key> = claimed.map(|(_, message)| message.key()).collect();
        for keys in claimed.chunks(MAX_LIST_LEN) {
            out.push(Output::SendRequest(peer, Frame::QueryOwnership { keys: keys.to_vec() }));
        }
        self.send_heartbeat(peer, out);
        let uncommitted: Vec<LocalId> =
            self.owned.messages.iter().filter(|(_, message)| !message.committed).map(|(&id, _)| id).collect();
        uncommitted.into_iter().for_each(|id| self.request_replicas(id, out));
    }

    /// Registers this sender's group with a witness, once for each incarnation of the witness. A witness that
    /// had registered it in an earlier incarnation has forgotten its grants, and must not register the group
    /// again. A new epoch begins, of which no witness can have forgotten anything.
    pub(super) fn register_group(
        &mut self,
        peer: Peer,
        incarnation: Incarnation,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if !self.membership.witnesses(self.current_group()).contains(&peer) {
            return;
        }
        match self.local.registered.get(&peer) {
            Some(known) if *known == incarnation => {}
            Some(_) => {
                // Even if the row of the new epoch cannot be written, the witness does not know this epoch.
                self.local.confirmed_by.remove(&peer);
                out.push(Output::Log(Event::WitnessStateLost(peer)));
                // This registers the new epoch with all witnesses, including this one.
                return self.begin_epoch(ledger, out);
            }
            None => {
                let mut local = self.local.clone();
                local.registered.insert(peer, incarnation);
                if !ledger.write(&[put_row(Row::LocalState, &local)]) {
                    out.push(Output::Log(Event::WriteFailed));
                    return;
                }
                self.local = local;
            }
        }
        let group = self.current_group();
        out.push(Output::SendRequest(peer, Frame::RegisterGroup { group }));
    }

    /// Records that a witness has registered an epoch.
    pub(super) fn group_registered(
        &mut self,
        peer: Peer,
        group: WitnessGroup,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if group != self.current_group() || self.local.confirmed_by.contains(&peer) {
            return;
        }
        self.local.confirmed_by.insert(peer);
        // If this cannot be written, the next process registers it again.
        let _ = ledger.write(&[put_row(Row::LocalState, &self.local)]);
        let uncommitted = self.owned.messages.iter().filter(|(_, message)| !message.committed);
        let uncommitted: Vec<LocalId> = uncommitted.map(|(&id, _)| id).collect();
        uncommitted.into_iter().for_each(|id| self.commit_if_replicated(id, out));
    }

    /// Handles the end of a link. A replica that has not answered on it may or may not have stored a copy.
    pub(super) fn link_down(&mut self, peer: Peer, link: u64, out: &mut Vec<Output>) {
        let Some(link_state) = self.links.get_mut(&peer).filter(|l| l.up.is_some_and(|up| up.1 == link))
        else {
            return;
        };
        (link_state.up, link_state.unanswered_heartbeat, link_state.down_since) = (None, None, self.time.now);
        let mut affected = Vec::new();
        for (&id, message) in &mut self.owned.messages {
            if let Some(replica) = message
                .replicas
                .get_mut(&peer)
                .filter(|replica| matches!(replica.1, ReplicaStatus::Pending(_) | ReplicaStatus::Late))
            {
                replica.1 = ReplicaStatus::Unknown;
                affected.push(id);
            }
        }
        affected.into_iter().for_each(|id| self.request_replicas(id, out));
    }

    /// Sends a heartbeat if the link is up.
    pub(super) fn send_heartbeat(&mut self, peer: Peer, out: &mut Vec<Output>) {
        self.heartbeats_sent += 1;
        let (number, now) = (self.heartbeats_sent, self.time.now);
        if let Some(link) = self.links.get_mut(&peer).filter(|l| l.up.is_some()) {
            link.unanswered_heartbeat.get_or_insert((number, now));
            out.push(Output::SendRequest(peer, Frame::Heartbeat { number }));
        }
    }
}
