//! Periodic work.

use super::*;

impl Replicator {
    /// Handles the passage of time: time-outs, collected ends and heartbeats.
    pub(super) fn tick(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let now = self.time.now;
        // This process was stopped or starved, and may have missed heartbeats.
        if now.saturating_sub(self.last_tick) > self.settings.min_silence / 2 {
            self.inbound.values_mut().for_each(|inbound| inbound.failure_detector.restart(now));
            self.started_at = self.started_at.max(now);
        }
        self.last_tick = now;
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush_at = None;
            for (peer, keys) in std::mem::take(&mut self.unsent_ends) {
                for keys in keys.chunks(MAX_LIST_LEN) {
                    self.send_request(peer, Frame::Ended { keys: keys.to_vec() }, out);
                }
            }
        }
        while let Some(&(at, local_id)) = self.owned.replica_timeouts.first().filter(|due| due.0 <= now) {
            self.owned.replica_timeouts.remove(&(at, local_id));
            let mut late = false;
            if let Some(message) = self.owned.messages.get_mut(&local_id) {
                for (_, status) in message.replicas.values_mut() {
                    if matches!(status, ReplicaStatus::Pending(since)
                        if now.saturating_sub(*since) >= *REPLICA_TIMEOUT.start())
                    {
                        (*status, late) = (ReplicaStatus::Late, true);
                    }
                }
            }
            if late {
                self.request_replicas(local_id, out);
            }
        }
        if self.next_heartbeat <= now {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.on_heartbeat(ledger, out);
        }
    }

    /// Does the work of a heartbeat.
    pub(super) fn on_heartbeat(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let local_peer = self.membership.local_peer();
        let mut wanted: BTreeSet<Peer> = self.membership.candidates(local_peer).into_iter().collect();
        wanted.extend(self.copies.owners().iter().map(|owner| owner.peer));
        for group in
            self.copies.groups().into_iter().chain(self.owned.messages.values().map(|message| message.group))
        {
            wanted.extend(self.membership.witnesses(group));
        }
        wanted.into_iter().for_each(|peer| self.connect(peer, out));
        let is_unresponsive = |l: &Link| {
            l.up.is_some()
                && l.unanswered_heartbeat
                    .is_some_and(|sent| self.time.now.saturating_sub(sent.1) > LINK_TIMEOUT)
        };
        out.extend(
            self.links.iter().filter(|(_, l)| is_unresponsive(l)).map(|(&p, _)| Output::Disconnect(p)),
        );
        let up: Vec<Peer> = self.links.iter().filter(|(_, l)| l.up.is_some()).map(|(&p, _)| p).collect();
        up.into_iter().for_each(|peer| self.send_heartbeat(peer, out));
        // Registers the group with witnesses that could not write it, or were unreachable when the epoch
        // began.
        for peer in self.membership.witnesses(self.current_group()) {
            let link = self.links.get(&peer).filter(|_| !self.local.confirmed_by.contains(&peer));
            if let Some((incarnation, _)) = link.and_then(|l| l.up) {
                self.register_group(peer, incarnation, ledger, out);
            }
        }
        let (now, silence) = (self.time.now, self.settings.min_silence);
        for (&peer, inbound) in &mut self.inbound {
            if !inbound.suspected && inbound.failure_detector.is_suspected(now, silence) {
                inbound.suspected = true;
                if let Some(known) = self.incarnations.get(&peer) {
                    out.push(Output::Log(Event::InstanceFailed(Instance {
                        peer,
                        incarnation: known.current,
                    })));
                }
            }
        }
        if !self.placements_cleaned {
            self.placements_cleaned = true;
            self.delete_orphaned_placements(ledger);
        }
        // The senders in the operators' files have changed. Quorums of different sets of witnesses need not
        // intersect, so open messages move to a new epoch.
        if self.local.witnesses != self.membership.witnesses(self.current_group()) {
            self.begin_epoch(ledger, out);
        }
        self.replace_witnesses(ledger, out);
        self.send_claims(ledger, out);
        self.move_messages(ledger, out);
        self.replace_lost_replicas(out);
        self.query_owners(out);
        for (from, count) in std::mem::take(&mut self.taken_over) {
            out.push(Output::Log(Event::MessagesTakenOver { from, count }));
        }
        for (to, count) in std::mem::take(&mut self.given_up) {
            out.push(Output::Log(Event::MessagesGivenUp { to, count }));
        }
    }

    /// Deletes placements of messages that ended while an earlier process stopped.
    pub(super) fn delete_orphaned_placements(&mut self, ledger: &mut dyn Ledger) {
        let orphaned: Vec<LocalId> =
            self.placements.keys().copied().filter(|id| !self.owned.messages.contains_key(id)).collect();
        let rows: Vec<Change> = orphaned.iter().map(|&id| delete_row(Row::Placement(id))).collect();
        if !rows.is_empty() && ledger.write(&rows) {
            self.placements.retain(|id, _| !orphaned.contains(id));
        }
    }

    /// Asks owners about overdue copies, and claimants about their claims.
    pub(super) fn query_owners(&mut self, out: &mut Vec<Output>) {
        let overdue =
            self.copies.overdue(self.time.unix.saturating_sub(OWNER_QUERY_DELAY), MAX_PER_HEARTBEAT);
        let mut by_owner: BTreeMap<Peer, Vec<Key>> = BTreeMap::new();
        let claimed = self.copies.copies_claimed_by_others(MAX_PER_HEARTBEAT);
        for (owner, key) in overdue.into_iter().chain(claimed).filter(|(owner, _)| !self.has_failed(*owner)) {
            by_owner.entry(owner.peer).or_default().push(key);
        }
        for (peer, keys) in by_owner {
            self.send_request(peer, Frame::QueryOwnership { keys }, out);
        }
    }
}
